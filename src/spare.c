#include "spare.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECENT_MOVES 256
#define DEFAULT_SERVICE_MS 1000
/* The weight of the newest sample. At 0.5, the noise of a 250 ms sample of the
 * queue's growth orders a VM too many in most peaks; at 0.1 a peak is half
 * over before its load is known. */
#define SMOOTHING 0.2
/* The remembered need outlives the turns of the other pools. */
#define NEED_HALF_MS 600000.0
/* A donor keeps this share of its remembered need, or less when the fleet
 * cannot give as much to all. Without it the pools at rest are emptied and
 * have to be filled up again at each peak, which took three times as many
 * moves; at 0.9 a pool in need finds no donor. */
#define DONOR_FLOOR 0.6
/* Bounds the VMs for the backlog, which is gone soon after they arrive. */
#define BACKLOG_SHARE 0.15
#define SPARE_PREFERENCE 1.0 /* VMs */
#define MAX_GAP_MS 5000      /* a longer pause between calls says nothing */

/* What is remembered of a pool from one call to the next. */
typedef struct Memory {
    char name[SPARE_NAME_BYTES];
    double regret;
    double growth;  /* of the waiting requests, by second, smoothed */
    double offered; /* VMs that its work would occupy, smoothed */
    double need;    /* the highest offered, which decays slowly */
    uint32_t queued;
    int64_t received; /* time of the last VM received, or -1 */
} Memory;

typedef struct RecentMove {
    char from[SPARE_NAME_BYTES];
    char to[SPARE_NAME_BYTES];
    int64_t time;
} RecentMove;

/* What is left of a pool while a plan is made. */
typedef struct Draft {
    uint32_t taken;    /* VMs planned away from it */
    uint32_t given;    /* VMs planned to it */
    uint32_t idle;     /* VMs without work, at the start */
    uint32_t can_give; /* at the start */
} Draft;

struct Spare {
    SpareOptions options;
    int64_t last; /* time of the last call, or -1 */
    Memory *memories;
    Memory *next_memories;
    Draft *drafts;
    size_t count;
    RecentMove recent[RECENT_MOVES];
    uint64_t recent_count;
};

Spare *
Spare_New(const SpareOptions *options)
{
    Spare *spare = calloc(1, sizeof(*spare));

    if (spare == NULL) {
        return NULL;
    }
    spare->options = *options;
    spare->last = -1;
    spare->memories = calloc(options->max_pools, sizeof(Memory));
    spare->next_memories = calloc(options->max_pools, sizeof(Memory));
    spare->drafts = calloc(options->max_pools, sizeof(Draft));
    if (spare->memories == NULL || spare->next_memories == NULL ||
        spare->drafts == NULL) {
        Spare_Free(spare);
        return NULL;
    }
    return spare;
}

void
Spare_Free(Spare *spare)
{
    if (spare != NULL) {
        free(spare->memories);
        free(spare->next_memories);
        free(spare->drafts);
        free(spare);
    }
}

static double
slots_of(const SparePool *pool)
{
    return pool->slots_per_vm > 0 ? (double)pool->slots_per_vm : 1.0;
}

/* Puts the memories into the order of the pools; new pools get a blank one.
 * Mostly the order is that of the last call already. */
static void
arrange_memories(Spare *spare, const SparePool *pools, size_t count)
{
    Memory *swap = spare->memories;
    size_t i;
    size_t j;

    for (i = 0; i < count; i++) {
        Memory *memory = &spare->next_memories[i];
        j = i;
        if (j >= spare->count ||
            strcmp(spare->memories[j].name, pools[i].name) != 0) {
            for (j = 0; j < spare->count; j++) {
                if (strcmp(spare->memories[j].name, pools[i].name) == 0) {
                    break;
                }
            }
        }
        if (j < spare->count) {
            *memory = spare->memories[j];
            continue;
        }
        memset(memory, 0, sizeof(*memory));
        memcpy(memory->name, pools[i].name, strlen(pools[i].name) + 1);
        memory->need = pools[i].size;
        memory->received = -1;
    }
    spare->memories = spare->next_memories;
    spare->next_memories = swap;
    spare->count = count;
}

static bool
is_within(int64_t since, int64_t now, int64_t span)
{
    return since >= 0 && now - since < span;
}

static double
service_seconds(const SparePool *pool)
{
    return (pool->service_ms > 0 ? pool->service_ms : DEFAULT_SERVICE_MS) /
           1000.0;
}

/* Returns the VMs that the pool lacks while requests wait: those for its
 * present or remembered load, and one more for each move_weight of points that
 * the backlog would save. */
static double
lacking_vms(const Spare *spare, const Memory *memory, const SparePool *pool)
{
    const SpareOptions *options = &spare->options;
    double load =
        memory->offered > memory->need ? memory->offered : memory->need;
    double backlog = options->wait_weight * pool->queued *
                     (double)options->saved_ms / 1000.0 /
                     (options->move_weight > 0.0 ? options->move_weight : 1.0);

    if (pool->queued == 0) {
        return 0.0;
    }
    if (backlog > load * BACKLOG_SHARE) {
        backlog = load * BACKLOG_SHARE;
    }
    return load + backlog - pool->size - pool->incoming;
}

static void
update_memory(const Spare *spare, Memory *memory, const SparePool *pool,
              double seconds)
{
    const SpareOptions *options = &spare->options;
    double growth = 0.0;
    double offered;
    double lacking;

    if (seconds > 0.0) {
        growth = ((double)pool->queued - memory->queued) / seconds;
    }
    memory->growth += SMOOTHING * (growth - memory->growth);
    offered = (pool->running + memory->growth * service_seconds(pool)) /
              slots_of(pool);
    memory->offered += SMOOTHING * (offered - memory->offered);
    memory->need *= exp2(-seconds * 1000.0 / NEED_HALF_MS);
    memory->need =
        memory->offered > memory->need ? memory->offered : memory->need;
    memory->queued = pool->queued;
    if (pool->queued == 0) {
        memory->regret = 0.0;
        return;
    }
    lacking = lacking_vms(spare, memory, pool);
    if (lacking > 0.0) {
        memory->regret += seconds * (options->wait_weight * pool->queued +
                                     options->buffer_weight * lacking);
    }
}

static void
start_draft(const Spare *spare, const Memory *memory, const SparePool *pool,
            int64_t now, double floor_share, Draft *draft)
{
    double floor_vms = ceil(memory->need * floor_share);
    double busy =
        ceil(((double)pool->running + pool->queued) / slots_of(pool));
    uint32_t keep = pool->min_size;
    uint32_t can_give = 0;

    if (floor_vms > keep) {
        keep = (uint32_t)floor_vms;
    }
    memset(draft, 0, sizeof(*draft));
    draft->idle = busy < pool->size ? pool->size - (uint32_t)busy : 0;
    if (pool->size > keep && pool->queued == 0 &&
        !is_within(memory->received, now, spare->options.hold_ms)) {
        can_give = pool->size - keep;
    }
    can_give = can_give < draft->idle ? can_give : draft->idle;
    can_give = can_give < pool->budget_left ? can_give : pool->budget_left;
    if (can_give > pool->movable_count) {
        can_give = (uint32_t)pool->movable_count;
    }
    draft->can_give = can_give;
}

/* Returns whether a VM went the other way within trade_ms. */
static bool
is_reverse(const Spare *spare, int64_t now, const char *from, const char *to)
{
    uint64_t i;

    for (i = 0; i < RECENT_MOVES && i < spare->recent_count; i++) {
        const RecentMove *move = &spare->recent[i];
        if (is_within(move->time, now, spare->options.trade_ms) &&
            strcmp(move->from, to) == 0 && strcmp(move->to, from) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the index of the pool that has the most VMs above its remembered
 * need, of those that may give one, or count. Such a pool has peaked with VMs
 * from elsewhere; taking them spares the others a move at their next peak. */
static size_t
choose_donor(const Spare *spare, int64_t now, const SparePool *pools,
             size_t to)
{
    size_t best = spare->count;
    double best_surplus = 0.0;
    size_t i;

    for (i = 0; i < spare->count; i++) {
        const Draft *draft = &spare->drafts[i];
        double surplus = (double)pools[i].size - draft->taken -
                         spare->memories[i].need +
                         (pools[i].spare ? SPARE_PREFERENCE : 0.0);
        if (i == to || draft->taken >= draft->can_give || draft->given > 0 ||
            (best < spare->count && surplus <= best_surplus) ||
            is_reverse(spare, now, pools[i].name, pools[to].name)) {
            continue;
        }
        best = i;
        best_surplus = surplus;
    }
    return best;
}

/* Returns whether another move can be remembered for trade_ms. */
static bool
has_room(const Spare *spare, int64_t now)
{
    const RecentMove *oldest =
        &spare->recent[spare->recent_count % RECENT_MOVES];

    return spare->recent_count < RECENT_MOVES ||
           !is_within(oldest->time, now, spare->options.trade_ms);
}

static void
add_move(Spare *spare, int64_t now, const SparePool *pools, size_t from,
         size_t to, double lacking, SpareMove *move)
{
    Draft *donor = &spare->drafts[from];
    RecentMove *recent = &spare->recent[spare->recent_count++ % RECENT_MOVES];

    move->vm = pools[from].movable[donor->taken];
    move->from = from;
    move->to = to;
    move->regret = spare->memories[to].regret;
    move->cost = spare->options.move_weight;
    move->lacking = lacking;
    move->idle = donor->idle - donor->taken;
    (void)snprintf(move->reason, sizeof(move->reason),
                   "%u requests wait, regret %.1f above cost %.1f",
                   pools[to].queued, move->regret, move->cost);
    donor->taken++;
    spare->drafts[to].given++;
    spare->memories[to].received = now;
    memcpy(recent->from, pools[from].name, strlen(pools[from].name) + 1);
    memcpy(recent->to, pools[to].name, strlen(pools[to].name) + 1);
    recent->time = now;
}

/* Plans the moves to one pool. Returns their count. */
static size_t
plan_pool(Spare *spare, int64_t now, const SparePool *pools, size_t to,
          SpareMove *moves, size_t max_moves)
{
    const SpareOptions *options = &spare->options;
    Memory *memory = &spare->memories[to];
    double lacking = lacking_vms(spare, memory, &pools[to]);
    size_t count = 0;

    while (count < max_moves && lacking > 0.0 && has_room(spare, now) &&
           memory->regret >= options->move_weight) {
        size_t from = choose_donor(spare, now, pools, to);
        if (from == spare->count) {
            break;
        }
        add_move(spare, now, pools, from, to, lacking, &moves[count++]);
        lacking -= 1.0;
    }
    if (count > 0) {
        memory->regret = 0.0;
    }
    return count;
}

static bool
are_valid(const Spare *spare, const SparePool *pools, size_t count)
{
    size_t i;

    if (count > spare->options.max_pools) {
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
Spare_Plan(Spare *spare, int64_t now, const SparePool *pools,
           size_t pool_count, SpareMove *moves, size_t max_moves,
           size_t *move_count)
{
    int64_t gap = spare->last < 0 || now < spare->last ? 0 : now - spare->last;
    double seconds = (double)(gap < MAX_GAP_MS ? gap : MAX_GAP_MS) / 1000.0;
    uint64_t in_flight = 0;
    double fleet = 0.0;
    double needed = 0.0;
    double floor_share;
    size_t i;

    *move_count = 0;
    if (!are_valid(spare, pools, pool_count)) {
        return ST_INVALID;
    }
    spare->last = now;
    arrange_memories(spare, pools, pool_count);
    for (i = 0; i < pool_count; i++) {
        update_memory(spare, &spare->memories[i], &pools[i], seconds);
        in_flight += pools[i].incoming;
        fleet += pools[i].size;
        needed += spare->memories[i].need;
    }
    floor_share = fleet < needed ? DONOR_FLOOR * fleet / needed : DONOR_FLOOR;
    for (i = 0; i < pool_count; i++) {
        start_draft(spare, &spare->memories[i], &pools[i], now, floor_share,
                    &spare->drafts[i]);
    }
    for (i = 0; i < pool_count; i++) {
        size_t room = max_moves - *move_count;
        if (in_flight + *move_count >= spare->options.max_in_flight) {
            break;
        }
        if (room > spare->options.max_in_flight - in_flight - *move_count) {
            room = spare->options.max_in_flight - in_flight - *move_count;
        }
        *move_count +=
            plan_pool(spare, now, pools, i, &moves[*move_count], room);
    }
    return ST_OK;
}
