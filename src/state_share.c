#include "state_impl.h"

#include <stdio.h>
#include <string.h>

#include "mem.h"

StateShare *
StateImpl_FindShare(const StatePool *pool, const char *data_centre)
{
    size_t i;

    for (i = 0; i < pool->share_count; i++) {
        if (strcmp(pool->shares[i].data_centre, data_centre) == 0) {
            return &pool->shares[i];
        }
    }
    return NULL;
}

StateShare *
StateImpl_AddShare(StatePool *pool, const char *data_centre)
{
    StateShare *share = StateImpl_FindShare(pool, data_centre);
    size_t at = pool->share_count;

    if (share != NULL) {
        return share;
    }
    share = Mem_Resize(pool->shares, (at + 1) * sizeof(*share));
    pool->shares = share;
    while (at > 0 && strcmp(share[at - 1].data_centre, data_centre) > 0) {
        share[at] = share[at - 1];
        at--;
    }
    memset(&share[at], 0, sizeof(share[at]));
    snprintf(share[at].data_centre, sizeof(share[at].data_centre), "%s",
             data_centre);
    pool->share_count++;
    return &share[at];
}

int64_t
State_ShareLimit(const StateShare *share)
{
    return (int64_t)(share->granted - share->released);
}

static int64_t
limit_sum(const StatePool *pool)
{
    int64_t sum = 0;
    size_t i;

    for (i = 0; i < pool->share_count; i++) {
        sum += State_ShareLimit(&pool->shares[i]);
    }
    return sum;
}

int64_t
State_PoolBudget(const StatePool *pool)
{
    int64_t sum = limit_sum(pool);

    return sum > pool->max_unavailable ? sum : pool->max_unavailable;
}

static bool
has_keeper(const State *state, const StateShare *share)
{
    const StateDataCentre *centre =
        StrMap_Get(state->data_centres, share->data_centre);

    return centre != NULL && centre->keeper[0] != '\0';
}

/* Returns the most units that a share may get in one apportionment: what its
 * keeper asked for, or without bound. */
static int64_t
bound_of(const State *state, const StateShare *share, bool by_demand)
{
    if (share->vms == 0 || !has_keeper(state, share)) {
        return 0;
    }
    return by_demand ? share->asked : INT64_MAX;
}

/* Gives each share the whole part of its proportion by VMs, which it gets by
 * highest averages in any case; what bounded shares leave goes to the
 * others. */
static void
give_whole_parts(const StatePool *pool, const int64_t *bounds, int64_t budget,
                 int64_t *given)
{
    bool again = true;

    while (again) {
        int64_t weight = 0;
        int64_t open = budget;
        size_t i;
        again = false;
        for (i = 0; i < pool->share_count; i++) {
            if (given[i] < bounds[i]) {
                weight += pool->shares[i].vms;
            }
            else {
                open -= given[i];
            }
        }
        for (i = 0; i < pool->share_count; i++) {
            if (given[i] < bounds[i]) {
                int64_t part = open * pool->shares[i].vms / weight;
                part = part < bounds[i] ? part : bounds[i];
                given[i] = part > given[i] ? part : given[i];
                again = again || given[i] == bounds[i];
            }
        }
    }
}

/* Apportions a budget by highest averages (D'Hondt), a tie to the first by
 * name, and adds the result to wanted. Returns what is left over. */
static int64_t
apportion(const State *state, StatePool *pool, int64_t budget, bool by_demand)
{
    int64_t bounds[STATE_MAX_DATA_CENTRES];
    int64_t given[STATE_MAX_DATA_CENTRES];
    size_t i;

    for (i = 0; i < pool->share_count; i++) {
        bounds[i] = bound_of(state, &pool->shares[i], by_demand);
        given[i] = 0;
    }
    give_whole_parts(pool, bounds, budget, given);
    for (i = 0; i < pool->share_count; i++) {
        budget -= given[i];
    }
    while (budget > 0) {
        size_t first = pool->share_count;
        for (i = 0; i < pool->share_count; i++) {
            if (given[i] < bounds[i] &&
                (first == pool->share_count ||
                 pool->shares[i].vms * (given[first] + 1) >
                     pool->shares[first].vms * (given[i] + 1))) {
                first = i;
            }
        }
        if (first == pool->share_count) {
            break;
        }
        given[first]++;
        budget--;
    }
    for (i = 0; i < pool->share_count; i++) {
        pool->shares[i].wanted += given[i];
    }
    return budget;
}

void
StateImpl_Settle(State *state, StatePool *pool)
{
    int64_t budget = pool->max_unavailable;
    int64_t unused = pool->max_unavailable - limit_sum(pool);
    size_t i;

    /* Nobody can lower the share of a data centre without a keeper. */
    for (i = 0; i < pool->share_count; i++) {
        StateShare *share = &pool->shares[i];
        share->wanted = 0;
        if (!has_keeper(state, share)) {
            share->wanted = State_ShareLimit(share);
            budget -= share->wanted;
        }
    }
    budget = apportion(state, pool, budget > 0 ? budget : 0, true);
    apportion(state, pool, budget, false);
    for (i = 0; i < pool->share_count && unused > 0; i++) {
        StateShare *share = &pool->shares[i];
        int64_t missing = share->wanted - State_ShareLimit(share);
        if (missing > 0) {
            int64_t grant = missing < unused ? missing : unused;
            share->granted += (uint64_t)grant;
            unused -= grant;
        }
    }
}

/* Finds the share that a keeper's command names, or refuses. */
static StateShare *
keeper_share(State *state, const StateCmd *command, StatePool **pool,
             StateResult *result)
{
    const StateDataCentre *centre =
        StrMap_Get(state->data_centres, command->data_centre);
    StateShare *share;

    *pool = StrMap_Get(state->pools, command->pool);
    if (*pool == NULL || (*pool)->number != command->pool_number) {
        StateImpl_Refuse(result, ST_STALE,
                         "pool %s is not that of number %llu", command->pool,
                         (unsigned long long)command->pool_number);
        return NULL;
    }
    share = StateImpl_FindShare(*pool, command->data_centre);
    if (centre == NULL || share == NULL) {
        StateImpl_Refuse(result, ST_NOT_FOUND, "pool %s has no share in %s",
                         command->pool, command->data_centre);
        return NULL;
    }
    if (centre->keeper_epoch != command->keeper_epoch) {
        StateImpl_Refuse(result, ST_STALE, "the keeper's epoch in %s is %llu",
                         centre->name,
                         (unsigned long long)centre->keeper_epoch);
        return NULL;
    }
    return share;
}

Status
StateImpl_ReleaseShare(State *state, const StateCmd *command,
                       StateResult *result)
{
    StatePool *pool;
    StateShare *share = keeper_share(state, command, &pool, result);

    if (share == NULL) {
        return result->status;
    }
    if (command->units <= share->released) {
        return StateImpl_Accept(result, "released before");
    }
    if (command->units > share->granted) {
        return StateImpl_Refuse(result, ST_INVALID,
                                "only %llu units were ever granted",
                                (unsigned long long)share->granted);
    }
    share->released = command->units;
    StateImpl_Settle(state, pool);
    return ST_OK;
}

Status
StateImpl_AskShare(State *state, const StateCmd *command, StateResult *result)
{
    StatePool *pool;
    StateShare *share = keeper_share(state, command, &pool, result);

    if (share == NULL) {
        return result->status;
    }
    if (command->units > STATE_MAX_SHARE) {
        return StateImpl_Refuse(result, ST_INVALID, "at most %d units",
                                STATE_MAX_SHARE);
    }
    share->asked = (int64_t)command->units;
    StateImpl_Settle(state, pool);
    return ST_OK;
}
