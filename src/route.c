#include "route.h"

#include <stdlib.h>
#include <string.h>

#include "keymap.h"
#include "mem.h"
#include "rng.h"
#include "route_internal.h"

/* Weight of the newest result in the moving average of slowness. */
#define SLOWNESS_WEIGHT 0.2F
/* Lower bound of the slowness of a failure. With a lower value, a target that
 * fails immediately kept attracting work until its eviction. */
#define FAILURE_SLOWNESS 8.0F
#define SLOWNESS_MAX 64.0F
#define SLOWNESS_MIN 0.05F
/* Time for which a target that is ready for a probe waits for repeatable work
 * before unrepeatable work may probe it. */
#define PROBE_UNREPEATABLE_DELAY_MS 5000
#define MAX_RANDOM_DRAWS 6
/* Factor on the load of targets in the rack of an excluded target. Exceeds any
 * ratio of loads that results from slot use alone. */
#define SAME_RACK_LOAD_FACTOR 64.0F

Route *
Route_New(const RouteOptions *options)
{
    Route *r = calloc(1, sizeof(*r));

    if (r == NULL) {
        return NULL;
    }
    r->pool_names = Keymap_New();
    r->target_names = Keymap_New();
    if (r->pool_names == NULL || r->target_names == NULL) {
        Route_Free(r);
        return NULL;
    }
    r->data_centre = Keymap_HashText(options->data_centre);
    r->min_long_percent = options->long_share_percent;
    r->free_row = ROUTE_NONE;
    Rng_Seed(&r->rng, options->seed);
    return r;
}

void
Route_Free(Route *r)
{
    uint32_t i;
    int list;

    if (r == NULL) {
        return;
    }
    for (i = 0; i < r->pool_count; i++) {
        for (list = 0; list < ROUTE_LISTS; list++) {
            free(r->pools[i].lists[list].items);
        }
    }
    free(r->pools);
    free(r->rows);
    Keymap_Free(r->pool_names);
    Keymap_Free(r->target_names);
    free(r);
}

uint32_t
Route_FindOrAddPool(Route *r, const char *name)
{
    uint64_t key = Keymap_HashText(name);
    uint32_t pool;

    if (Keymap_Get(r->pool_names, key, &pool)) {
        return pool;
    }
    pool = r->pool_count++;
    r->pools = Mem_Resize(r->pools, r->pool_count * sizeof(*r->pools));
    memset(&r->pools[pool], 0, sizeof(r->pools[pool]));
    Keymap_Put(r->pool_names, key, pool);
    return pool;
}

uint32_t
Route_CountInFlight(const Route *r, const char *name)
{
    uint32_t target;

    return Keymap_Get(r->target_names, Keymap_HashText(name), &target)
               ? r->rows[target].in_flight
               : 0;
}

uint32_t
Route_CountPools(const Route *r)
{
    return r->pool_count;
}

static void
add_to_list(Route *r, uint32_t target, int list_id)
{
    RouteRow *row = &r->rows[target];
    RouteList *list = &r->pools[row->pool].lists[list_id];

    if (row->list_positions[list_id] != 0) {
        return;
    }
    if (list->count == list->capacity) {
        list->capacity = list->capacity ? list->capacity * 2 : 16;
        list->items =
            Mem_Resize(list->items, list->capacity * sizeof(*list->items));
    }
    list->items[list->count++] = target;
    row->list_positions[list_id] = list->count;
}

static void
remove_from_list(Route *r, uint32_t target, int list_id)
{
    RouteRow *row = &r->rows[target];
    RouteList *list = &r->pools[row->pool].lists[list_id];
    uint32_t last;

    if (row->list_positions[list_id] == 0) {
        return;
    }
    last = list->items[--list->count];
    list->items[row->list_positions[list_id] - 1] = last;
    r->rows[last].list_positions[list_id] = row->list_positions[list_id];
    row->list_positions[list_id] = 0;
}

static void
set_list_membership(Route *r, uint32_t target, int list_id, bool is_member)
{
    if (is_member) {
        add_to_list(r, target, list_id);
    }
    else {
        remove_from_list(r, target, list_id);
    }
}

void
RouteRow_UpdateLists(Route *r, uint32_t target)
{
    const RouteRow *row = &r->rows[target];
    bool usable = RouteRow_IsUsable(row);
    bool limited = usable && row->in_flight_limit < row->slots;
    bool has_slot = usable && row->in_flight < row->slots &&
                    (!limited || row->in_flight < row->in_flight_limit);
    bool has_long_slot = has_slot && row->long_in_flight < row->long_limit;
    int tier = row->state == TRAFFIC_TARGET_SUSPECT ? ROUTE_SUSPECT
               : row->local                         ? ROUTE_LOCAL
                                                    : ROUTE_REMOTE;
    int i;

    for (i = 0; i < ROUTE_TIERS; i++) {
        bool in_tier = i == tier && !row->evicted;
        set_list_membership(r, target, ROUTE_LIST(i, 0), in_tier && has_slot);
        set_list_membership(r, target, ROUTE_LIST(i, 1),
                            in_tier && has_long_slot);
    }
    set_list_membership(r, target, ROUTE_EVICTED, usable && row->evicted);
    set_list_membership(r, target, ROUTE_LIMITED, limited);
    set_list_membership(r, target, ROUTE_PROBES,
                        has_slot && row->evicted && row->probe_ready &&
                            row->in_flight == 0);
}

void
Route_AcquireSlot(Route *r, uint32_t target, bool is_long)
{
    RouteRow *row = &r->rows[target];
    RoutePoolInfo *info = &r->pools[row->pool].info;

    row->in_flight++;
    row->long_in_flight += is_long;
    if (RouteRow_IsUsable(row)) {
        info->in_flight++;
        info->long_in_flight += is_long;
    }
    RouteRow_UpdateLists(r, target);
}

void
Route_ReleaseSlot(Route *r, uint32_t target, bool is_long)
{
    RouteRow *row = &r->rows[target];
    RoutePoolInfo *info = &r->pools[row->pool].info;

    row->in_flight--;
    row->long_in_flight -= is_long;
    if (RouteRow_IsUsable(row)) {
        info->in_flight--;
        info->long_in_flight -= is_long;
    }
    RouteRow_UpdateLists(r, target);
    if (!row->listed && row->in_flight == 0) {
        RouteRow_Free(r, target);
    }
}

void
Route_MarkLong(Route *r, uint32_t target)
{
    RouteRow *row = &r->rows[target];

    row->long_in_flight++;
    if (RouteRow_IsUsable(row)) {
        r->pools[row->pool].info.long_in_flight++;
    }
    RouteRow_UpdateLists(r, target);
}

void
Route_SetThrottled(Route *r, uint32_t target, bool throttled)
{
    r->rows[target].throttled += throttled ? 1 : UINT32_MAX;
}

static bool
is_excluded(const RouteQuery *query, uint32_t target)
{
    uint32_t i;

    for (i = 0; i < query->excluded_count; i++) {
        if (query->excluded[i] == target) {
            return true;
        }
    }
    return false;
}

/* Returns the load of the target with one more attempt. The load is raised in
 * the racks of excluded targets, because racks and their switches fail as a
 * whole and a retry should go to another rack. */
static float
estimate_load(const Route *r, const RouteQuery *query, uint32_t target)
{
    const RouteRow *row = &r->rows[target];
    float load =
        (float)(row->in_flight + 1) * row->slowness / (float)row->slots;
    uint32_t i;

    for (i = 0; i < query->excluded_count; i++) {
        if (r->rows[query->excluded[i]].rack == row->rack) {
            return load * SAME_RACK_LOAD_FACTOR;
        }
    }
    return load;
}

/* Returns a random target of the list that is not excluded, or ROUTE_NONE. */
static uint32_t
draw_candidate(Route *r, const RouteList *list, const RouteQuery *query)
{
    uint32_t i;

    for (i = 0; i < MAX_RANDOM_DRAWS; i++) {
        uint32_t target = list->items[Rng_Below(&r->rng, list->count)];
        if (!is_excluded(query, target)) {
            return target;
        }
    }
    /* Of excluded_count + 1 targets at least one is not excluded. */
    for (i = 0; i < list->count && i <= query->excluded_count; i++) {
        if (!is_excluded(query, list->items[i])) {
            return list->items[i];
        }
    }
    return ROUTE_NONE;
}

static uint32_t
select_less_loaded(Route *r, const RouteList *list, const RouteQuery *query)
{
    uint32_t a;
    uint32_t b;

    if (list->count == 0) {
        return ROUTE_NONE;
    }
    a = draw_candidate(r, list, query);
    if (a == ROUTE_NONE || list->count == 1) {
        return a;
    }
    b = draw_candidate(r, list, query);
    return estimate_load(r, query, b) < estimate_load(r, query, a) ? b : a;
}

static uint32_t
select_probe_target(Route *r, const RouteQuery *query)
{
    const RouteList *list = &r->pools[query->pool].lists[ROUTE_PROBES];
    uint32_t target;

    if (list->count == 0) {
        return ROUTE_NONE;
    }
    target = list->items[0];
    if (is_excluded(query, target) ||
        (query->is_long && r->rows[target].long_limit == 0)) {
        return ROUTE_NONE;
    }
    if (!query->repeatable &&
        query->now_ms <
            r->rows[target].evicted_until_ms + PROBE_UNREPEATABLE_DELAY_MS) {
        return ROUTE_NONE;
    }
    return target;
}

/* Returns whether suspect targets may be selected: if the suspect and evicted
 * targets together are all of the pool or more than ROUTE_EVICT_PERCENT. */
static bool
may_use_suspects(const RoutePoolInfo *info)
{
    uint32_t unavailable = info->suspect + info->evicted;

    return unavailable >= info->targets ||
           unavailable * 100 > info->targets * ROUTE_EVICT_PERCENT;
}

static bool
is_long_work_blocked(const RoutePoolInfo *info, bool is_long)
{
    return is_long && info->long_in_flight >= info->long_slots;
}

void
Route_ReserveShortSlots(Route *r, uint32_t pool, uint32_t slots)
{
    RoutePoolInfo *info = &r->pools[pool].info;
    uint32_t min_long_slots = info->slots * r->min_long_percent / 100;
    uint32_t max_long_slots = info->slots > slots ? info->slots - slots : 0;

    if (min_long_slots == 0 && r->min_long_percent > 0) {
        min_long_slots = 1;
    }
    max_long_slots =
        max_long_slots < min_long_slots ? min_long_slots : max_long_slots;
    r->pools[pool].reserved_short_slots = slots;
    info->long_slots = max_long_slots < info->long_limit_sum
                           ? max_long_slots
                           : info->long_limit_sum;
}

bool
Route_HasFreeSlot(const Route *r, uint32_t pool, bool is_long)
{
    const RoutePool *row = &r->pools[pool];
    const RouteList *lists = row->lists;

    if (is_long_work_blocked(&row->info, is_long)) {
        return false;
    }
    return lists[ROUTE_LIST(ROUTE_LOCAL, is_long)].count > 0 ||
           lists[ROUTE_LIST(ROUTE_REMOTE, is_long)].count > 0 ||
           lists[ROUTE_PROBES].count > 0 ||
           (may_use_suspects(&row->info) &&
            lists[ROUTE_LIST(ROUTE_SUSPECT, is_long)].count > 0);
}

RouteOutcome
Route_SelectTarget(Route *r, const RouteQuery *query, uint32_t *target)
{
    const RoutePool *pool = &r->pools[query->pool];
    bool has_candidates = false;
    int tier;

    if (pool->info.targets == 0) {
        return ROUTE_EMPTY;
    }
    if (is_long_work_blocked(&pool->info, query->is_long)) {
        return ROUTE_BUSY;
    }
    *target = select_probe_target(r, query);
    if (*target != ROUTE_NONE) {
        return ROUTE_FOUND;
    }
    for (tier = 0; tier < ROUTE_TIERS; tier++) {
        const RouteList *list = &pool->lists[ROUTE_LIST(tier, query->is_long)];
        if (tier == ROUTE_SUSPECT && !may_use_suspects(&pool->info)) {
            break;
        }
        *target = select_less_loaded(r, list, query);
        if (*target != ROUTE_NONE) {
            return ROUTE_FOUND;
        }
        has_candidates = has_candidates || list->count > 0;
    }
    return has_candidates ? ROUTE_EXCLUDED : ROUTE_BUSY;
}

static bool
may_evict(const RoutePoolInfo *info)
{
    return (info->evicted + info->suspect + 1) * 100 <=
           info->targets * ROUTE_EVICT_PERCENT;
}

static void
evict_target(Route *r, int64_t now_ms, uint32_t target)
{
    RouteRow *row = &r->rows[target];
    RoutePoolInfo *info = &r->pools[row->pool].info;
    int64_t ms = (int64_t)ROUTE_EVICT_MIN_MS << row->evict_level;

    if (!row->evicted) {
        row->evicted = true;
        info->evicted++;
        info->suspect -= row->state == TRAFFIC_TARGET_SUSPECT;
    }
    if (ms < ROUTE_EVICT_MAX_MS) {
        row->evict_level++;
    }
    row->evicted_until_ms = now_ms + ms;
    row->probe_ready = false;
    RouteRow_UpdateLists(r, target);
}

void
RouteRow_Readmit(Route *r, uint32_t target)
{
    RouteRow *row = &r->rows[target];

    if (row->evicted) {
        row->evicted = false;
        if (RouteRow_IsUsable(row)) {
            RoutePoolInfo *info = &r->pools[row->pool].info;
            info->evicted--;
            info->suspect += row->state == TRAFFIC_TARGET_SUSPECT;
        }
        row->probe_ready = false;
        row->consecutive_failures = 0;
        row->slowness = 1.0F;
        RouteRow_UpdateLists(r, target);
    }
}

bool
Route_RecordResult(Route *r, int64_t now_ms, uint32_t target,
                   const TrafficResult *result, int64_t expected_us)
{
    RouteRow *row = &r->rows[target];
    float ratio = (float)result->run_us / (float)(expected_us + 1);
    bool was_evicted = row->evicted;

    if (result->kind == TRAFFIC_REFUSED) {
        row->in_flight_limit = row->in_flight - 1;
        row->limit_raised_ms = now_ms;
        RouteRow_UpdateLists(r, target);
        return false;
    }
    if (result->kind != TRAFFIC_OK && ratio < FAILURE_SLOWNESS) {
        ratio = FAILURE_SLOWNESS;
    }
    ratio = ratio > SLOWNESS_MAX ? SLOWNESS_MAX : ratio;
    row->slowness += SLOWNESS_WEIGHT * (ratio - row->slowness);
    if (row->slowness < SLOWNESS_MIN) {
        row->slowness = SLOWNESS_MIN;
    }
    if (result->kind == TRAFFIC_OK) {
        row->consecutive_failures = 0;
        row->evict_level = 0;
        RouteRow_Readmit(r, target);
        return false;
    }
    if (row->consecutive_failures < ROUTE_EVICT_FAILURES) {
        row->consecutive_failures++;
    }
    if (!RouteRow_IsUsable(row)) {
        return false;
    }
    if (row->evicted) {
        /* A failure before the target is ready for a probe belongs to an
         * attempt from before the eviction and is no failed probe. */
        if (row->probe_ready) {
            evict_target(r, now_ms, target);
        }
    }
    else if (row->consecutive_failures >= ROUTE_EVICT_FAILURES &&
             may_evict(&r->pools[row->pool].info)) {
        evict_target(r, now_ms, target);
    }
    return row->evicted && !was_evicted;
}

/* Raises the limits of targets that refused work by one per interval. */
static void
raise_in_flight_limits(Route *r, int64_t now_ms, const RouteList *list)
{
    uint32_t i;

    for (i = list->count; i-- > 0;) {
        RouteRow *row = &r->rows[list->items[i]];
        if (now_ms >= row->limit_raised_ms + ROUTE_LIMIT_RAISE_MS) {
            row->in_flight_limit++;
            row->limit_raised_ms = now_ms;
            RouteRow_UpdateLists(r, list->items[i]);
        }
    }
}

void
Route_Tick(Route *r, int64_t now_ms)
{
    uint32_t p;
    uint32_t i;

    for (p = 0; p < r->pool_count; p++) {
        const RouteList *list = &r->pools[p].lists[ROUTE_EVICTED];
        raise_in_flight_limits(r, now_ms, &r->pools[p].lists[ROUTE_LIMITED]);
        for (i = 0; i < list->count; i++) {
            RouteRow *row = &r->rows[list->items[i]];
            if (!row->probe_ready && now_ms >= row->evicted_until_ms) {
                row->probe_ready = true;
                RouteRow_UpdateLists(r, list->items[i]);
            }
        }
    }
}

bool
Route_MayDispatch(const Route *r, uint32_t target, uint64_t epoch)
{
    const RouteRow *row = &r->rows[target];

    return RouteRow_IsUsable(row) && row->epoch == epoch &&
           row->in_flight <= row->slots;
}

void
Route_GetInfo(const Route *r, uint32_t target, RouteInfo *info)
{
    const RouteRow *row = &r->rows[target];

    info->name = row->name;
    info->epoch = row->epoch;
    info->cookie = row->cookie;
    info->in_flight = row->in_flight;
    info->long_in_flight = row->long_in_flight;
    info->throttled = row->throttled;
    info->slots = row->slots;
    info->long_limit = row->long_limit;
    info->usable = RouteRow_IsUsable(row);
    info->evicted = row->evicted;
}

void
Route_GetPoolInfo(const Route *r, uint32_t pool, RoutePoolInfo *info)
{
    *info = r->pools[pool].info;
}
