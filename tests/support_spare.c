#include "support_spare.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "rng.h"

#define FINISH_TICKS 4096
#define PLAN_TICKS 5
#define MAX_MOVES 16
#define MAX_VMS 256
#define LONG_SHARE 0.002
#define LONG_FACTOR 30.0
#define MAX_UNAVAILABLE 3
#define REVERSE_MS 8000

typedef struct Pool {
    uint32_t size;
    uint32_t min_size;
    uint32_t first_size;
    uint32_t leaving;  /* VMs on their way out of it */
    uint32_t incoming; /* VMs on their way to it */
    uint32_t running;
    uint32_t finishing[FINISH_TICKS];
    const SpareJob **queue; /* jobs in order of arrival */
    size_t head;
    size_t tail;
} Pool;

typedef struct Transit {
    size_t from;
    size_t to;
    uint32_t until;
} Transit;

typedef struct PoolModel {
    const SpareUser *user;
    Pool pools[SPARE_SERVICES];
    Transit transits[MAX_VMS];
    size_t transit_count;
    int64_t last_move[SPARE_SERVICES][SPARE_SERVICES];
    SpareReport *report;
} PoolModel;

SpareUser
SpareUser_Hollis(void)
{
    SpareUser user = {"Hollis", {10, 12, 8, 10, 12},  400.0, 1.2,
                      1000,     SPARE_OPTIONS_DEFAULT};

    user.options.buffer_weight = 4;
    user.options.move_weight = 40;
    return user;
}

SpareUser
SpareUser_Alliance(void)
{
    SpareUser user = {"Alliance", {12, 10, 8, 12, 10},  250.0, 1.2,
                      1000,       SPARE_OPTIONS_DEFAULT};

    user.options.wait_weight = 4;
    return user;
}

static double
exponential(Rng *rng, double mean)
{
    return -mean * log(1.0 - Rng_Unit(rng));
}

static uint32_t
run_ticks(Rng *rng, const SpareUser *user, bool is_long)
{
    double ms = exponential(rng, is_long ? user->short_ms * LONG_FACTOR
                                         : user->short_ms);
    uint32_t ticks = (uint32_t)(ms / SPARE_TICK_MS) + 1;

    return ticks < FINISH_TICKS ? ticks : FINISH_TICKS - 1;
}

SpareDemand
SpareDemand_Record(const SpareUser *user, uint32_t seconds, uint64_t seed)
{
    SpareDemand demand = {NULL, 0, seconds * 1000 / SPARE_TICK_MS};
    double mean_ms =
        user->short_ms * (1.0 + LONG_SHARE * (LONG_FACTOR - 1.0)) +
        SPARE_TICK_MS / 2.0;
    size_t capacity = 0;
    uint32_t turn_end = 0;
    int turn = -1;
    uint32_t tick;
    Rng rng;
    int s;

    Rng_Seed(&rng, seed);
    for (tick = 0; tick < demand.ticks; tick++) {
        if (tick == turn_end) {
            turn = (turn + 1) % SPARE_SERVICES;
            turn_end += (8000 + Rng_Below(&rng, 12000)) / SPARE_TICK_MS;
        }
        for (s = 0; s < SPARE_SERVICES; s++) {
            /* A peak is five times the mean, a pause a twentieth of it. */
            double load = user->peak_load * (s == turn ? 1.0 : 0.01);
            double rate =
                load * user->sizes[s] * SPARE_SLOTS * SPARE_TICK_MS / mean_ms;
            double gap = exponential(&rng, 1.0);
            for (; gap < rate; gap += exponential(&rng, 1.0)) {
                bool is_long = Rng_Unit(&rng) < LONG_SHARE;
                if (demand.count == capacity) {
                    capacity = capacity ? capacity * 2 : 1024;
                    demand.jobs =
                        realloc(demand.jobs, capacity * sizeof(SpareJob));
                    if (demand.jobs == NULL) {
                        abort();
                    }
                }
                demand.jobs[demand.count++] = (SpareJob){
                    tick, run_ticks(&rng, user, is_long), (uint8_t)s, is_long};
            }
        }
    }
    return demand;
}

void
SpareDemand_Free(SpareDemand *demand)
{
    free(demand->jobs);
    demand->jobs = NULL;
}

static uint32_t
busy_vms(const Pool *pool)
{
    return (pool->running + SPARE_SLOTS - 1) / SPARE_SLOTS;
}

static uint32_t
idle_vms(const Pool *pool)
{
    uint32_t busy = busy_vms(pool);

    return busy < pool->size ? pool->size - busy : 0;
}

static uint32_t
waiting(const Pool *pool)
{
    return (uint32_t)(pool->tail - pool->head);
}

static bool
may_leave(const Pool *pool)
{
    return pool->size > pool->min_size && pool->leaving < MAX_UNAVAILABLE;
}

static void
start_move(PoolModel *model, size_t from, size_t to, uint32_t tick)
{
    Pool *donor = &model->pools[from];
    int64_t now = (int64_t)tick * SPARE_TICK_MS;
    int64_t back = model->last_move[to][from];

    model->report->moves++;
    if (!may_leave(donor)) {
        model->report->broken++;
    }
    if (back >= 0 && now - back < REVERSE_MS) {
        model->report->reversed++;
    }
    model->last_move[from][to] = now;
    donor->size--;
    donor->leaving++;
    model->pools[to].incoming++;
    model->transits[model->transit_count++] = (Transit){
        from, to, tick + (uint32_t)(model->user->move_ms / SPARE_TICK_MS)};
}

static void
finish_moves(PoolModel *model, uint32_t tick)
{
    size_t i = 0;

    while (i < model->transit_count) {
        Transit *transit = &model->transits[i];
        if (transit->until > tick) {
            i++;
            continue;
        }
        model->pools[transit->from].leaving--;
        model->pools[transit->to].incoming--;
        model->pools[transit->to].size++;
        *transit = model->transits[--model->transit_count];
    }
}

static void
plan_greedy(PoolModel *model, uint32_t tick, bool give_back)
{
    size_t to;
    size_t i;

    for (to = 0; to < SPARE_SERVICES; to++) {
        size_t best = SPARE_SERVICES;
        Pool *pool = &model->pools[to];
        if (waiting(pool) > 0) {
            for (i = 0; i < SPARE_SERVICES; i++) {
                const Pool *donor = &model->pools[i];
                if (i != to && may_leave(donor) && waiting(donor) == 0 &&
                    idle_vms(donor) > 0 &&
                    (best == SPARE_SERVICES ||
                     idle_vms(donor) > idle_vms(&model->pools[best]))) {
                    best = i;
                }
            }
            if (best < SPARE_SERVICES) {
                start_move(model, best, to, tick);
            }
        }
        else if (give_back && to != SPARE_SERVICES - 1 &&
                 pool->size > pool->first_size && idle_vms(pool) > 0 &&
                 may_leave(pool)) {
            start_move(model, to, SPARE_SERVICES - 1, tick);
        }
    }
}

static void
plan_rule(PoolModel *model, Spare *spare, uint32_t tick)
{
    static const char *const names[SPARE_SERVICES] = {"a", "b", "c", "d", "e"};
    static const uint32_t ids[MAX_VMS];
    SparePool inputs[SPARE_SERVICES];
    SpareMove moves[MAX_MOVES];
    size_t count;
    size_t i;

    for (i = 0; i < SPARE_SERVICES; i++) {
        const Pool *pool = &model->pools[i];
        inputs[i] = (SparePool){.name = names[i],
                                .size = pool->size,
                                .min_size = pool->min_size,
                                .incoming = pool->incoming,
                                .slots_per_vm = SPARE_SLOTS,
                                .queued = waiting(pool),
                                .running = pool->running,
                                .service_ms = (uint32_t)model->user->short_ms,
                                .budget_left = MAX_UNAVAILABLE - pool->leaving,
                                .spare = i == SPARE_SERVICES - 1,
                                .movable = ids,
                                .movable_count = pool->size};
    }
    if (Spare_Plan(spare, (int64_t)tick * SPARE_TICK_MS, inputs,
                   SPARE_SERVICES, moves, MAX_MOVES, &count) != ST_OK) {
        abort();
    }
    for (i = 0; i < count; i++) {
        start_move(model, moves[i].from, moves[i].to, tick);
    }
}

static void
serve(PoolModel *model, uint32_t tick)
{
    SpareReport *report = model->report;
    double seconds = SPARE_TICK_MS / 1000.0;
    size_t i;

    for (i = 0; i < SPARE_SERVICES; i++) {
        Pool *pool = &model->pools[i];
        uint32_t *finished = &pool->finishing[tick % FINISH_TICKS];
        pool->running -= *finished;
        *finished = 0;
        while (pool->head < pool->tail &&
               pool->running < pool->size * SPARE_SLOTS) {
            const SpareJob *job = pool->queue[pool->head++];
            pool->running++;
            pool->finishing[(tick + job->ticks) % FINISH_TICKS]++;
            if (!job->is_long) {
                Hist_Record(&report->wait_ms,
                            (uint64_t)(tick - job->tick) * SPARE_TICK_MS, 1);
            }
        }
        report->idle_vm_s += seconds * idle_vms(pool);
        report->shortfall += seconds * waiting(pool) / SPARE_SLOTS;
    }
    report->idle_vm_s += seconds * (double)model->transit_count;
}

static PoolModel *
new_model(const SpareUser *user, const SpareDemand *demand, uint32_t less,
          SpareReport *report)
{
    PoolModel *model = calloc(1, sizeof(*model));
    size_t i;
    size_t j;

    if (model == NULL) {
        abort();
    }
    model->user = user;
    model->report = report;
    memset(report, 0, sizeof(*report));
    for (i = 0; i < SPARE_SERVICES; i++) {
        Pool *pool = &model->pools[i];
        pool->size = user->sizes[i] - less;
        pool->first_size = pool->size;
        pool->min_size = user->sizes[i] / 3;
        pool->queue = calloc(demand->count + 1, sizeof(*pool->queue));
        if (pool->queue == NULL) {
            abort();
        }
        for (j = 0; j < SPARE_SERVICES; j++) {
            model->last_move[i][j] = -1;
        }
    }
    return model;
}

void
SpareModel_Run(const SpareUser *user, const SpareDemand *demand, uint32_t less,
               SparePolicy policy, SpareReport *report)
{
    PoolModel *model = new_model(user, demand, less, report);
    Spare *spare = Spare_New(&user->options);
    size_t next = 0;
    uint32_t tick;
    size_t i;

    for (tick = 0; tick < demand->ticks; tick++) {
        finish_moves(model, tick);
        while (next < demand->count && demand->jobs[next].tick == tick) {
            Pool *pool = &model->pools[demand->jobs[next].service];
            pool->queue[pool->tail++] = &demand->jobs[next++];
        }
        serve(model, tick);
        if (tick % PLAN_TICKS != 0 || policy == SPARE_STATIC) {
            continue;
        }
        if (policy == SPARE_RULE) {
            plan_rule(model, spare, tick);
        }
        else {
            plan_greedy(model, tick, policy == SPARE_GREEDY_RETURN);
        }
    }
    for (i = 0; i < SPARE_SERVICES; i++) {
        free(model->pools[i].queue);
    }
    Spare_Free(spare);
    free(model);
}
