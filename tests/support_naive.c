#include "support_naive.h"

#include <string.h>

static void
add_caller(NaiveQueue *q, uint32_t caller)
{
    uint32_t i;

    for (i = 0; i < q->caller_count; i++) {
        if (q->callers[i] == caller) {
            return;
        }
    }
    /* A new caller becomes the last of the current round. */
    memmove(&q->callers[q->turn + 1], &q->callers[q->turn],
            (q->caller_count - q->turn) * sizeof(q->callers[0]));
    q->callers[q->turn] = caller;
    q->caller_count++;
    q->turn = q->caller_count > 1 ? q->turn + 1 : 0;
    q->turn %= q->caller_count;
}

static void
remove_caller_if_idle(NaiveQueue *q, uint32_t caller)
{
    uint32_t i;

    for (i = 0; i < q->count; i++) {
        if (q->items[i].caller == caller) {
            return;
        }
    }
    for (i = 0; q->callers[i] != caller; i++) {
    }
    memmove(&q->callers[i], &q->callers[i + 1],
            (q->caller_count - i - 1) * sizeof(q->callers[0]));
    q->caller_count--;
    if (i < q->turn) {
        q->turn--;
    }
    q->turn = q->caller_count > 0 ? q->turn % q->caller_count : 0;
}

static void
remove_at(NaiveQueue *q, uint32_t i)
{
    memmove(&q->items[i], &q->items[i + 1],
            (q->count - i - 1) * sizeof(q->items[0]));
    q->count--;
}

void
NaiveQueue_Add(NaiveQueue *q, uint32_t id, uint32_t caller)
{
    q->items[q->count].id = id;
    q->items[q->count].caller = caller;
    q->count++;
    add_caller(q, caller);
}

bool
NaiveQueue_Remove(NaiveQueue *q, uint32_t id)
{
    uint32_t i;

    for (i = 0; i < q->count; i++) {
        if (q->items[i].id == id) {
            uint32_t caller = q->items[i].caller;
            remove_at(q, i);
            remove_caller_if_idle(q, caller);
            return true;
        }
    }
    return false;
}

bool
NaiveQueue_TakeOldest(NaiveQueue *q, uint32_t *id)
{
    if (q->count == 0) {
        return false;
    }
    *id = q->items[0].id;
    return NaiveQueue_Remove(q, *id);
}

bool
NaiveQueue_TakeRoundRobin(NaiveQueue *q, uint32_t *id)
{
    uint32_t caller;
    uint32_t i;

    if (q->count == 0) {
        return false;
    }
    caller = q->callers[q->turn];
    for (i = 0; q->items[i].caller != caller; i++) {
    }
    *id = q->items[i].id;
    remove_at(q, i);
    q->turn = (q->turn + 1) % q->caller_count;
    remove_caller_if_idle(q, caller);
    return true;
}

uint32_t
NaiveTargets_SelectTarget(const NaiveTarget *targets, uint32_t count,
                          bool is_long)
{
    uint32_t best = UINT32_MAX;
    double best_load = 0;
    uint32_t i;

    for (i = 0; i < count; i++) {
        const NaiveTarget *target = &targets[i];
        double load;
        if (!target->open || target->in_flight >= target->slots ||
            (is_long && target->long_in_flight >= target->long_limit)) {
            continue;
        }
        load = (double)(target->in_flight + 1) / target->slots +
               (target->local ? 0 : 1e6);
        if (best == UINT32_MAX || load < best_load) {
            best = i;
            best_load = load;
        }
    }
    return best;
}
