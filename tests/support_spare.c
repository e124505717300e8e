#include "support_spare.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "rng.h"

#define MAX_RUN_TICKS 4096
#define PLAN_INTERVAL_TICKS 5
#define MAX_MOVES 16
#define MAX_VMS 256
#define LONG_SHARE 0.002
#define LONG_FACTOR 30.0
#define MAX_UNAVAILABLE 3
#define REVERSE_WINDOW_MS 8000

typedef struct Pool {
    uint32_t size;
    uint32_t min_size;
    uint32_t initial_size;
    uint32_t leaving;  /* VMs in transit out of the pool */
    uint32_t incoming; /* VMs in transit to the pool */
    uint32_t running;
    uint32_t finishing[MAX_RUN_TICKS]; /* ring buffer: jobs ending at a tick */
    const SpareJob **queue;            /* jobs in order of arrival */
    size_t head;
    size_t tail;
} Pool;

typedef struct Transit {
    size_t from;
    size_t to;
    uint32_t end_tick;
} Transit;

typedef struct PoolModel {
    const SpareScenario *scenario;
    Pool pools[SPARE_SERVICES];
    Transit transits[MAX_VMS];
    size_t transit_count;
    int64_t last_move_ms[SPARE_SERVICES][SPARE_SERVICES];
    SpareReport *report;
} PoolModel;

SpareScenario
SpareScenario_GetHollis(void)
{
    SpareScenario scenario = {"Hollis", {10, 12, 8, 10, 12},  400.0, 1.2,
                              1000,     SPARE_OPTIONS_DEFAULT};

    scenario.options.buffer_weight = 4;
    scenario.options.move_weight = 40;
    return scenario;
}

SpareScenario
SpareScenario_GetAlliance(void)
{
    SpareScenario scenario = {"Alliance", {12, 10, 8, 12, 10},  250.0, 1.2,
                              1000,       SPARE_OPTIONS_DEFAULT};

    scenario.options.wait_weight = 4;
    return scenario;
}

static double
draw_exponential(Rng *rng, double mean)
{
    return -mean * log(1.0 - Rng_Unit(rng));
}

static uint32_t
draw_run_ticks(Rng *rng, const SpareScenario *scenario, bool is_long)
{
    double ms = draw_exponential(
        rng, is_long ? scenario->short_ms * LONG_FACTOR : scenario->short_ms);
    uint32_t ticks = (uint32_t)(ms / SPARE_TICK_MS) + 1;

    return ticks < MAX_RUN_TICKS ? ticks : MAX_RUN_TICKS - 1;
}

SpareDemand
SpareDemand_Generate(const SpareScenario *scenario, uint32_t seconds,
                     uint64_t seed)
{
    SpareDemand demand = {NULL, 0, seconds * 1000 / SPARE_TICK_MS};
    double mean_ms =
        scenario->short_ms * (1.0 + LONG_SHARE * (LONG_FACTOR - 1.0)) +
        SPARE_TICK_MS / 2.0;
    size_t capacity = 0;
    uint32_t peak_end_tick = 0;
    int peak_service = -1;
    uint32_t tick;
    Rng rng;
    int service;

    Rng_Seed(&rng, seed);
    for (tick = 0; tick < demand.ticks; tick++) {
        if (tick == peak_end_tick) {
            peak_service = (peak_service + 1) % SPARE_SERVICES;
            peak_end_tick += (8000 + Rng_Below(&rng, 12000)) / SPARE_TICK_MS;
        }
        for (service = 0; service < SPARE_SERVICES; service++) {
            /* Peak: 5 times the mean; between peaks: 1/20 of the mean. */
            double load =
                scenario->peak_load * (service == peak_service ? 1.0 : 0.01);
            double rate = load * scenario->pool_sizes[service] * SPARE_SLOTS *
                          SPARE_TICK_MS / mean_ms;
            double gap = draw_exponential(&rng, 1.0);
            for (; gap < rate; gap += draw_exponential(&rng, 1.0)) {
                bool is_long = Rng_Unit(&rng) < LONG_SHARE;
                if (demand.count == capacity) {
                    capacity = capacity ? capacity * 2 : 1024;
                    demand.jobs =
                        realloc(demand.jobs, capacity * sizeof(SpareJob));
                    if (demand.jobs == NULL) {
                        abort();
                    }
                }
                demand.jobs[demand.count++] =
                    (SpareJob){tick, draw_run_ticks(&rng, scenario, is_long),
                               (uint8_t)service, is_long};
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
count_busy_vms(const Pool *pool)
{
    return (pool->running + SPARE_SLOTS - 1) / SPARE_SLOTS;
}

static uint32_t
count_idle_vms(const Pool *pool)
{
    uint32_t busy = count_busy_vms(pool);

    return busy < pool->size ? pool->size - busy : 0;
}

static uint32_t
count_waiting(const Pool *pool)
{
    return (uint32_t)(pool->tail - pool->head);
}

static bool
can_donate(const Pool *pool)
{
    return pool->size > pool->min_size && pool->leaving < MAX_UNAVAILABLE;
}

static void
start_move(PoolModel *model, size_t from, size_t to, uint32_t tick)
{
    Pool *donor = &model->pools[from];
    int64_t now_ms = (int64_t)tick * SPARE_TICK_MS;
    int64_t last_reverse_ms = model->last_move_ms[to][from];

    model->report->moves++;
    if (!can_donate(donor)) {
        model->report->violations++;
    }
    if (last_reverse_ms >= 0 && now_ms - last_reverse_ms < REVERSE_WINDOW_MS) {
        model->report->reversed++;
    }
    model->last_move_ms[from][to] = now_ms;
    donor->size--;
    donor->leaving++;
    model->pools[to].incoming++;
    model->transits[model->transit_count++] = (Transit){
        from, to, tick + (uint32_t)(model->scenario->move_ms / SPARE_TICK_MS)};
}

static void
finish_moves(PoolModel *model, uint32_t tick)
{
    size_t i = 0;

    while (i < model->transit_count) {
        Transit *transit = &model->transits[i];
        if (transit->end_tick > tick) {
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
plan_greedy_moves(PoolModel *model, uint32_t tick, bool return_idle)
{
    size_t to;
    size_t i;

    for (to = 0; to < SPARE_SERVICES; to++) {
        size_t best = SPARE_SERVICES;
        Pool *pool = &model->pools[to];
        if (count_waiting(pool) > 0) {
            for (i = 0; i < SPARE_SERVICES; i++) {
                const Pool *donor = &model->pools[i];
                if (i != to && can_donate(donor) &&
                    count_waiting(donor) == 0 && count_idle_vms(donor) > 0 &&
                    (best == SPARE_SERVICES ||
                     count_idle_vms(donor) >
                         count_idle_vms(&model->pools[best]))) {
                    best = i;
                }
            }
            if (best < SPARE_SERVICES) {
                start_move(model, best, to, tick);
            }
        }
        else if (return_idle && to != SPARE_SERVICES - 1 &&
                 pool->size > pool->initial_size && count_idle_vms(pool) > 0 &&
                 can_donate(pool)) {
            start_move(model, to, SPARE_SERVICES - 1, tick);
        }
    }
}

static void
plan_regret_moves(PoolModel *model, SparePlanner *planner, uint32_t tick)
{
    static const char *const names[SPARE_SERVICES] = {"a", "b", "c", "d", "e"};
    static const uint32_t ids[MAX_VMS];
    SparePool inputs[SPARE_SERVICES];
    SpareMove moves[MAX_MOVES];
    size_t count;
    size_t i;

    for (i = 0; i < SPARE_SERVICES; i++) {
        const Pool *pool = &model->pools[i];
        inputs[i] =
            (SparePool){.name = names[i],
                        .size = pool->size,
                        .min_size = pool->min_size,
                        .incoming = pool->incoming,
                        .slots_per_vm = SPARE_SLOTS,
                        .queued = count_waiting(pool),
                        .running = pool->running,
                        .service_ms = (uint32_t)model->scenario->short_ms,
                        .budget_left = MAX_UNAVAILABLE - pool->leaving,
                        .spare = i == SPARE_SERVICES - 1,
                        .movable = ids,
                        .movable_count = pool->size};
    }
    if (SparePlanner_PlanMoves(planner, (int64_t)tick * SPARE_TICK_MS, inputs,
                               SPARE_SERVICES, moves, MAX_MOVES,
                               &count) != ST_OK) {
        abort();
    }
    for (i = 0; i < count; i++) {
        start_move(model, moves[i].from, moves[i].to, tick);
    }
}

static void
run_tick(PoolModel *model, uint32_t tick)
{
    SpareReport *report = model->report;
    double seconds = SPARE_TICK_MS / 1000.0;
    size_t i;

    for (i = 0; i < SPARE_SERVICES; i++) {
        Pool *pool = &model->pools[i];
        uint32_t *finished = &pool->finishing[tick % MAX_RUN_TICKS];
        pool->running -= *finished;
        *finished = 0;
        while (pool->head < pool->tail &&
               pool->running < pool->size * SPARE_SLOTS) {
            const SpareJob *job = pool->queue[pool->head++];
            pool->running++;
            pool->finishing[(tick + job->run_ticks) % MAX_RUN_TICKS]++;
            if (!job->is_long) {
                Hist_Record(
                    &report->wait_ms,
                    (uint64_t)(tick - job->arrival_tick) * SPARE_TICK_MS, 1);
            }
        }
        report->idle_vm_s += seconds * count_idle_vms(pool);
        report->shortfall += seconds * count_waiting(pool) / SPARE_SLOTS;
    }
    report->idle_vm_s += seconds * (double)model->transit_count;
}

static PoolModel *
create_model(const SpareScenario *scenario, const SpareDemand *demand,
             uint32_t removed_vms, SpareReport *report)
{
    PoolModel *model = calloc(1, sizeof(*model));
    size_t i;
    size_t j;

    if (model == NULL) {
        abort();
    }
    model->scenario = scenario;
    model->report = report;
    memset(report, 0, sizeof(*report));
    for (i = 0; i < SPARE_SERVICES; i++) {
        Pool *pool = &model->pools[i];
        pool->size = scenario->pool_sizes[i] - removed_vms;
        pool->initial_size = pool->size;
        pool->min_size = scenario->pool_sizes[i] / 3;
        pool->queue = calloc(demand->count + 1, sizeof(*pool->queue));
        if (pool->queue == NULL) {
            abort();
        }
        for (j = 0; j < SPARE_SERVICES; j++) {
            model->last_move_ms[i][j] = -1;
        }
    }
    return model;
}

void
SpareModel_Run(const SpareScenario *scenario, const SpareDemand *demand,
               uint32_t removed_vms, SparePolicy policy, SpareReport *report)
{
    PoolModel *model = create_model(scenario, demand, removed_vms, report);
    SparePlanner *planner = SparePlanner_New(&scenario->options);
    size_t next = 0;
    uint32_t tick;
    size_t i;

    for (tick = 0; tick < demand->ticks; tick++) {
        finish_moves(model, tick);
        while (next < demand->count &&
               demand->jobs[next].arrival_tick == tick) {
            Pool *pool = &model->pools[demand->jobs[next].service];
            pool->queue[pool->tail++] = &demand->jobs[next++];
        }
        run_tick(model, tick);
        if (tick % PLAN_INTERVAL_TICKS != 0 || policy == SPARE_STATIC) {
            continue;
        }
        if (policy == SPARE_REGRET) {
            plan_regret_moves(model, planner, tick);
        }
        else {
            plan_greedy_moves(model, tick, policy == SPARE_GREEDY_RETURN);
        }
    }
    for (i = 0; i < SPARE_SERVICES; i++) {
        free(model->pools[i].queue);
    }
    SparePlanner_Free(planner);
    free(model);
}
