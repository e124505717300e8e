#include "spare.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_RECENT_MOVES 256
#define DEFAULT_SERVICE_MS 1000
/* Weight of the newest sample in the moving averages. With 0.5, noise in
 * the queue growth, sampled every 250 ms, requests one VM too many in most
 * peaks; with 0.1, half of a peak is over before the average reaches its load.
 */
#define SMOOTHING_FACTOR 0.2
/* A pool's peak load has to last while the other pools peak in turn. */
#define PEAK_HALF_LIFE_MS 600000.0
/* Share of its peak load that a donor keeps; less if there are too few VMs for
 * the peak loads of all pools. Without the reserve, pools without load are
 * emptied and refilled at each peak, which takes three times as many moves;
 * with 0.9, a pool that is short of VMs finds no donor. */
#define DONOR_RESERVE_SHARE 0.6
/* Limit of the VMs requested for the backlog, as a share of the load. The
 * backlog is served soon after they arrive. */
#define MAX_BACKLOG_SHARE 0.15
/* VMs added to the surplus of a spare pool when donors are compared. */
#define SPARE_POOL_BONUS_VMS 1.0
/* Limit of the time since the last call that a call accounts for. The queue
 * during a longer interval is unknown. */
#define MAX_INTERVAL_MS 5000

/* The state of a pool that is kept between calls. */
typedef struct PoolHistory {
    char name[SPARE_NAME_BYTES];
    double regret;
    double queue_growth; /* moving average, in requests per second */
    double offered_vms;  /* moving average of the offered load, in VMs */
    double peak_vms;     /* decaying maximum of offered_vms */
    uint32_t queued;
    int64_t last_received_ms; /* time of the last move to the pool, or -1 */
} PoolHistory;

typedef struct RecentMove {
    char from[SPARE_NAME_BYTES];
    char to[SPARE_NAME_BYTES];
    int64_t time_ms;
} RecentMove;

/* The counts of a pool during one call. */
typedef struct PoolCounts {
    uint32_t vms_out;     /* VMs planned to leave the pool */
    uint32_t vms_in;      /* VMs planned to join the pool */
    uint32_t idle;        /* idle VMs before the first planned move */
    uint32_t max_vms_out; /* VMs that may leave the pool in this call */
} PoolCounts;

struct SparePlanner {
    SpareOptions options;
    int64_t last_plan_ms; /* time of the last call, or -1 */
    PoolHistory *histories;
    PoolHistory *next_histories;
    PoolCounts *counts;
    size_t count;
    RecentMove recent[MAX_RECENT_MOVES];
    uint64_t recent_count;
};

SparePlanner *
SparePlanner_New(const SpareOptions *options)
{
    SparePlanner *planner = calloc(1, sizeof(*planner));

    if (planner == NULL) {
        return NULL;
    }
    planner->options = *options;
    planner->last_plan_ms = -1;
    planner->histories = calloc(options->max_pools, sizeof(PoolHistory));
    planner->next_histories = calloc(options->max_pools, sizeof(PoolHistory));
    planner->counts = calloc(options->max_pools, sizeof(PoolCounts));
    if (planner->histories == NULL || planner->next_histories == NULL ||
        planner->counts == NULL) {
        SparePlanner_Free(planner);
        return NULL;
    }
    return planner;
}

void
SparePlanner_Free(SparePlanner *planner)
{
    if (planner != NULL) {
        free(planner->histories);
        free(planner->next_histories);
        free(planner->counts);
        free(planner);
    }
}

static double
get_slots_per_vm(const SparePool *pool)
{
    return pool->slots_per_vm > 0 ? (double)pool->slots_per_vm : 1.0;
}

/* Reorders the histories to match the pools and starts one for each new pool.
 * The order rarely changes between calls, so the same index is tried first. */
static void
match_histories(SparePlanner *planner, const SparePool *pools, size_t count)
{
    PoolHistory *swap = planner->histories;
    size_t i;
    size_t j;

    for (i = 0; i < count; i++) {
        PoolHistory *history = &planner->next_histories[i];
        j = i;
        if (j >= planner->count ||
            strcmp(planner->histories[j].name, pools[i].name) != 0) {
            for (j = 0; j < planner->count; j++) {
                if (strcmp(planner->histories[j].name, pools[i].name) == 0) {
                    break;
                }
            }
        }
        if (j < planner->count) {
            *history = planner->histories[j];
            continue;
        }
        memset(history, 0, sizeof(*history));
        memcpy(history->name, pools[i].name, strlen(pools[i].name) + 1);
        history->peak_vms = pools[i].size;
        history->last_received_ms = -1;
    }
    planner->histories = planner->next_histories;
    planner->next_histories = swap;
    planner->count = count;
}

static bool
is_within(int64_t since_ms, int64_t now_ms, int64_t span_ms)
{
    return since_ms >= 0 && now_ms - since_ms < span_ms;
}

static double
get_service_seconds(const SparePool *pool)
{
    return (pool->service_ms > 0 ? pool->service_ms : DEFAULT_SERVICE_MS) /
           1000.0;
}

/* Returns the number of VMs that a pool with queued requests is short of:
 * those for the higher of its current and peak load, and one more for each
 * move_weight points of waiting that a VM would save the queued requests, up
 * to MAX_BACKLOG_SHARE. */
static double
compute_shortage(const SparePlanner *planner, const PoolHistory *history,
                 const SparePool *pool)
{
    const SpareOptions *options = &planner->options;
    double load = history->offered_vms > history->peak_vms
                      ? history->offered_vms
                      : history->peak_vms;
    double backlog = options->wait_weight * pool->queued *
                     (double)options->request_saving_ms / 1000.0 /
                     (options->move_weight > 0.0 ? options->move_weight : 1.0);

    if (pool->queued == 0) {
        return 0.0;
    }
    if (backlog > load * MAX_BACKLOG_SHARE) {
        backlog = load * MAX_BACKLOG_SHARE;
    }
    return load + backlog - pool->size - pool->incoming;
}

static void
update_history(const SparePlanner *planner, PoolHistory *history,
               const SparePool *pool, double seconds)
{
    const SpareOptions *options = &planner->options;
    double queue_growth = 0.0;
    double offered_vms;
    double shortage;

    if (seconds > 0.0) {
        queue_growth = ((double)pool->queued - history->queued) / seconds;
    }
    history->queue_growth +=
        SMOOTHING_FACTOR * (queue_growth - history->queue_growth);
    offered_vms =
        (pool->running + history->queue_growth * get_service_seconds(pool)) /
        get_slots_per_vm(pool);
    history->offered_vms +=
        SMOOTHING_FACTOR * (offered_vms - history->offered_vms);
    history->peak_vms *= exp2(-seconds * 1000.0 / PEAK_HALF_LIFE_MS);
    history->peak_vms = history->offered_vms > history->peak_vms
                            ? history->offered_vms
                            : history->peak_vms;
    history->queued = pool->queued;
    if (pool->queued == 0) {
        history->regret = 0.0;
        return;
    }
    shortage = compute_shortage(planner, history, pool);
    if (shortage > 0.0) {
        history->regret += seconds * (options->wait_weight * pool->queued +
                                      options->buffer_weight * shortage);
    }
}

static void
init_counts(const SparePlanner *planner, const PoolHistory *history,
            const SparePool *pool, int64_t now_ms, double reserve_share,
            PoolCounts *counts)
{
    double reserve_vms = ceil(history->peak_vms * reserve_share);
    double busy_vms =
        ceil(((double)pool->running + pool->queued) / get_slots_per_vm(pool));
    uint32_t kept_vms = pool->min_size;
    uint32_t max_vms_out = 0;

    if (reserve_vms > kept_vms) {
        kept_vms = (uint32_t)reserve_vms;
    }
    memset(counts, 0, sizeof(*counts));
    counts->idle = busy_vms < pool->size ? pool->size - (uint32_t)busy_vms : 0;
    if (pool->size > kept_vms && pool->queued == 0 &&
        !is_within(history->last_received_ms, now_ms,
                   planner->options.receiver_hold_ms)) {
        max_vms_out = pool->size - kept_vms;
    }
    max_vms_out = max_vms_out < counts->idle ? max_vms_out : counts->idle;
    max_vms_out =
        max_vms_out < pool->budget_left ? max_vms_out : pool->budget_left;
    if (max_vms_out > pool->movable_count) {
        max_vms_out = (uint32_t)pool->movable_count;
    }
    counts->max_vms_out = max_vms_out;
}

/* Returns whether a VM moved in the other direction within reverse_block_ms.
 */
static bool
reverses_recent_move(const SparePlanner *planner, int64_t now_ms,
                     const char *from, const char *to)
{
    uint64_t i;

    for (i = 0; i < MAX_RECENT_MOVES && i < planner->recent_count; i++) {
        const RecentMove *move = &planner->recent[i];
        if (is_within(move->time_ms, now_ms,
                      planner->options.reverse_block_ms) &&
            strcmp(move->from, to) == 0 && strcmp(move->to, from) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the index of the pool with the most VMs above its peak load among
 * those that may give one, or the number of pools if there is none. The other
 * pools keep their VMs for their next peak, which saves moves then. */
static size_t
choose_donor(const SparePlanner *planner, int64_t now_ms,
             const SparePool *pools, size_t to)
{
    size_t best = planner->count;
    double best_surplus = 0.0;
    size_t i;

    for (i = 0; i < planner->count; i++) {
        const PoolCounts *counts = &planner->counts[i];
        double surplus = (double)pools[i].size - counts->vms_out -
                         planner->histories[i].peak_vms +
                         (pools[i].spare ? SPARE_POOL_BONUS_VMS : 0.0);
        if (i == to || counts->vms_out >= counts->max_vms_out ||
            counts->vms_in > 0 ||
            (best < planner->count && surplus <= best_surplus) ||
            reverses_recent_move(planner, now_ms, pools[i].name,
                                 pools[to].name)) {
            continue;
        }
        best = i;
        best_surplus = surplus;
    }
    return best;
}

/* Returns whether another move can be recorded without overwriting one that is
 * younger than reverse_block_ms. */
static bool
can_record_move(const SparePlanner *planner, int64_t now_ms)
{
    const RecentMove *oldest =
        &planner->recent[planner->recent_count % MAX_RECENT_MOVES];

    return planner->recent_count < MAX_RECENT_MOVES ||
           !is_within(oldest->time_ms, now_ms,
                      planner->options.reverse_block_ms);
}

static void
add_move(SparePlanner *planner, int64_t now_ms, const SparePool *pools,
         size_t from, size_t to, double shortage, SpareMove *move)
{
    PoolCounts *donor = &planner->counts[from];
    RecentMove *recent =
        &planner->recent[planner->recent_count++ % MAX_RECENT_MOVES];

    move->vm = pools[from].movable[donor->vms_out];
    move->from = from;
    move->to = to;
    move->regret = planner->histories[to].regret;
    move->cost = planner->options.move_weight;
    move->shortage = shortage;
    move->idle = donor->idle - donor->vms_out;
    (void)snprintf(move->reason, sizeof(move->reason),
                   "%u requests wait, regret %.1f above cost %.1f",
                   pools[to].queued, move->regret, move->cost);
    donor->vms_out++;
    planner->counts[to].vms_in++;
    planner->histories[to].last_received_ms = now_ms;
    memcpy(recent->from, pools[from].name, strlen(pools[from].name) + 1);
    memcpy(recent->to, pools[to].name, strlen(pools[to].name) + 1);
    recent->time_ms = now_ms;
}

/* Plans the moves to one pool. Returns their number. */
static size_t
plan_moves_to(SparePlanner *planner, int64_t now_ms, const SparePool *pools,
              size_t to, SpareMove *moves, size_t max_moves)
{
    const SpareOptions *options = &planner->options;
    PoolHistory *history = &planner->histories[to];
    double shortage = compute_shortage(planner, history, &pools[to]);
    size_t count = 0;

    while (count < max_moves && shortage > 0.0 &&
           can_record_move(planner, now_ms) &&
           history->regret >= options->move_weight) {
        size_t from = choose_donor(planner, now_ms, pools, to);
        if (from == planner->count) {
            break;
        }
        add_move(planner, now_ms, pools, from, to, shortage, &moves[count++]);
        shortage -= 1.0;
    }
    if (count > 0) {
        history->regret = 0.0;
    }
    return count;
}

static bool
are_pools_valid(const SparePlanner *planner, const SparePool *pools,
                size_t count)
{
    size_t i;

    if (count > planner->options.max_pools) {
        return false;
    }
    for (i = 0; i < count; i++) {
        if (pools[i].name == NULL || pools[i].name[0] == '\0' ||
            strlen(pools[i].name) >= SPARE_NAME_BYTES) {
            return false;
        }
    }
    return true;
}

Status
SparePlanner_PlanMoves(SparePlanner *planner, int64_t now_ms,
                       const SparePool *pools, size_t pool_count,
                       SpareMove *moves, size_t max_moves, size_t *move_count)
{
    int64_t interval_ms =
        planner->last_plan_ms < 0 || now_ms < planner->last_plan_ms
            ? 0
            : now_ms - planner->last_plan_ms;
    double seconds =
        (double)(interval_ms < MAX_INTERVAL_MS ? interval_ms
                                               : MAX_INTERVAL_MS) /
        1000.0;
    uint64_t in_flight = 0;
    double total_vms = 0.0;
    double total_peak_vms = 0.0;
    double reserve_share;
    size_t i;

    *move_count = 0;
    if (!are_pools_valid(planner, pools, pool_count)) {
        return ST_INVALID;
    }
    planner->last_plan_ms = now_ms;
    match_histories(planner, pools, pool_count);
    for (i = 0; i < pool_count; i++) {
        update_history(planner, &planner->histories[i], &pools[i], seconds);
        in_flight += pools[i].incoming;
        total_vms += pools[i].size;
        total_peak_vms += planner->histories[i].peak_vms;
    }
    reserve_share = total_vms < total_peak_vms
                        ? DONOR_RESERVE_SHARE * total_vms / total_peak_vms
                        : DONOR_RESERVE_SHARE;
    for (i = 0; i < pool_count; i++) {
        init_counts(planner, &planner->histories[i], &pools[i], now_ms,
                    reserve_share, &planner->counts[i]);
    }
    for (i = 0; i < pool_count; i++) {
        size_t room = max_moves - *move_count;
        if (in_flight + *move_count >= planner->options.max_in_flight) {
            break;
        }
        if (room > planner->options.max_in_flight - in_flight - *move_count) {
            room = planner->options.max_in_flight - in_flight - *move_count;
        }
        *move_count += plan_moves_to(planner, now_ms, pools, i,
                                     &moves[*move_count], room);
    }
    return ST_OK;
}
