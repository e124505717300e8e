#include "route.h"

#include <stdlib.h>
#include <string.h>

#include "keymap.h"
#include "mem.h"
#include "rng.h"
#include "route_internal.h"

/* Weight of the newest run time in a target's slowness. */
#define SLOWNESS_WEIGHT 0.2F
/* A failure counts as this many times the expected run time. With less, a
 * target that fails at once kept attracting work until its eviction. */
#define FAILURE_SLOWNESS 8.0F
#define SLOWNESS_MAX 64.0F
#define SLOWNESS_MIN 0.05F
/* Unrepeatable work probes only when no repeatable work came for this time.
 */
#define PROBE_ANY_MS 5000
#define PICK_TRIES 6
/* Higher than any ratio of loads that slots alone can give. */
#define SAME_RACK_LOAD 64.0F

Route *
Route_New(const RouteOptions *options)
{
    Route *r = calloc(1, sizeof(*r));

    if (r == NULL) {
        return NULL;
    }
    r->pool_names = Keymap_New();
    r->names = Keymap_New();
    if (r->pool_names == NULL || r->names == NULL) {
        Route_Free(r);
        return NULL;
    }
    r->data_centre = Keymap_Key(options->data_centre);
    r->long_percent = options->long_share_percent;
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
    Keymap_Free(r->names);
    free(r);
}

uint32_t
Route_Pool(Route *r, const char *name)
{
    uint64_t key = Keymap_Key(name);
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
Route_TargetInFlight(const Route *r, const char *name)
{
    uint32_t target;

    return Keymap_Get(r->names, Keymap_Key(name), &target)
               ? r->rows[target].in_flight
               : 0;
}

uint32_t
Route_PoolCount(const Route *r)
{
    return r->pool_count;
}

static void
list_add(Route *r, uint32_t target, int which)
{
    RouteRow *row = &r->rows[target];
    RouteList *list = &r->pools[row->pool].lists[which];

    if (row->place[which] != 0) {
        return;
    }
    if (list->count == list->capacity) {
        list->capacity = list->capacity ? list->capacity * 2 : 16;
        list->items =
            Mem_Resize(list->items, list->capacity * sizeof(*list->items));
    }
    list->items[list->count++] = target;
    row->place[which] = list->count;
}

static void
list_remove(Route *r, uint32_t target, int which)
{
    RouteRow *row = &r->rows[target];
    RouteList *list = &r->pools[row->pool].lists[which];
    uint32_t last;

    if (row->place[which] == 0) {
        return;
    }
    last = list->items[--list->count];
    list->items[row->place[which] - 1] = last;
    r->rows[last].place[which] = row->place[which];
    row->place[which] = 0;
}

static void
list_set(Route *r, uint32_t target, int which, bool member)
{
    if (member) {
        list_add(r, target, which);
    }
    else {
        list_remove(r, target, which);
    }
}

void
RouteRow_Relist(Route *r, uint32_t target)
{
    const RouteRow *row = &r->rows[target];
    bool usable = RouteRow_Usable(row);
    bool limited = usable && row->ceiling < row->slots;
    bool room = usable && row->in_flight < row->slots &&
                (!limited || row->in_flight < row->ceiling);
    bool long_room = room && row->long_in_flight < row->long_limit;
    int tier = row->state == TRAFFIC_TARGET_SUSPECT ? ROUTE_SUSPECT
               : row->local                         ? ROUTE_LOCAL
                                                    : ROUTE_REMOTE;
    int i;

    for (i = 0; i < ROUTE_TIERS; i++) {
        bool here = i == tier && !row->evicted;
        list_set(r, target, ROUTE_LIST(i, 0), here && room);
        list_set(r, target, ROUTE_LIST(i, 1), here && long_room);
    }
    list_set(r, target, ROUTE_EVICTED, usable && row->evicted);
    list_set(r, target, ROUTE_LIMITED, limited);
    list_set(r, target, ROUTE_PROBES,
             room && row->evicted && row->probe_ready && row->in_flight == 0);
}

void
Route_Take(Route *r, uint32_t target, bool is_long)
{
    RouteRow *row = &r->rows[target];
    RoutePoolInfo *info = &r->pools[row->pool].info;

    row->in_flight++;
    row->long_in_flight += is_long;
    if (RouteRow_Usable(row)) {
        info->in_flight++;
        info->long_in_flight += is_long;
    }
    RouteRow_Relist(r, target);
}

void
Route_Release(Route *r, uint32_t target, bool is_long)
{
    RouteRow *row = &r->rows[target];
    RoutePoolInfo *info = &r->pools[row->pool].info;

    row->in_flight--;
    row->long_in_flight -= is_long;
    if (RouteRow_Usable(row)) {
        info->in_flight--;
        info->long_in_flight -= is_long;
    }
    RouteRow_Relist(r, target);
    if (!row->listed && row->in_flight == 0) {
        RouteRow_Drop(r, target);
    }
}

void
Route_MakeLong(Route *r, uint32_t target)
{
    RouteRow *row = &r->rows[target];

    row->long_in_flight++;
    if (RouteRow_Usable(row)) {
        r->pools[row->pool].info.long_in_flight++;
    }
    RouteRow_Relist(r, target);
}

void
Route_Throttle(Route *r, uint32_t target, bool throttled)
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

/* Work that failed in a rack goes to another one if it can: racks and their
 * switches fail as a whole. */
static float
load_of(const Route *r, const RouteQuery *query, uint32_t target)
{
    const RouteRow *row = &r->rows[target];
    float load =
        (float)(row->in_flight + 1) * row->slowness / (float)row->slots;
    uint32_t i;

    for (i = 0; i < query->excluded_count; i++) {
        if (r->rows[query->excluded[i]].rack == row->rack) {
            return load * SAME_RACK_LOAD;
        }
    }
    return load;
}

/* Returns a random member that is not excluded, or ROUTE_NONE. */
static uint32_t
draw(Route *r, const RouteList *list, const RouteQuery *query)
{
    uint32_t i;

    for (i = 0; i < PICK_TRIES; i++) {
        uint32_t target = list->items[Rng_Below(&r->rng, list->count)];
        if (!is_excluded(query, target)) {
            return target;
        }
    }
    /* One more member than there are excluded targets is enough to look at. */
    for (i = 0; i < list->count && i <= query->excluded_count; i++) {
        if (!is_excluded(query, list->items[i])) {
            return list->items[i];
        }
    }
    return ROUTE_NONE;
}

static uint32_t
pick_of_two(Route *r, const RouteList *list, const RouteQuery *query)
{
    uint32_t a;
    uint32_t b;

    if (list->count == 0) {
        return ROUTE_NONE;
    }
    a = draw(r, list, query);
    if (a == ROUTE_NONE || list->count == 1) {
        return a;
    }
    b = draw(r, list, query);
    return load_of(r, query, b) < load_of(r, query, a) ? b : a;
}

static uint32_t
pick_probe(Route *r, const RouteQuery *query)
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
        query->now_ms < r->rows[target].evicted_until_ms + PROBE_ANY_MS) {
        return ROUTE_NONE;
    }
    return target;
}

/* Suspected targets are used when no other exists, or, once they are more
 * than may be left out, when the others are busy. */
static bool
suspects_allowed(const RoutePoolInfo *info)
{
    uint32_t out = info->suspect + info->evicted;

    return out >= info->targets ||
           out * 100 > info->targets * ROUTE_EVICT_PERCENT;
}

static bool
long_closed(const RoutePoolInfo *info, bool is_long)
{
    return is_long && info->long_in_flight >= info->long_slots;
}

void
Route_ReserveShort(Route *r, uint32_t pool, uint32_t slots)
{
    RoutePoolInfo *info = &r->pools[pool].info;
    uint32_t least = info->slots * r->long_percent / 100;
    uint32_t most = info->slots > slots ? info->slots - slots : 0;

    if (least == 0 && r->long_percent > 0) {
        least = 1;
    }
    most = most < least ? least : most;
    r->pools[pool].short_need = slots;
    info->long_slots = most < info->long_most ? most : info->long_most;
}

bool
Route_HasRoom(const Route *r, uint32_t pool, bool is_long)
{
    const RoutePool *row = &r->pools[pool];
    const RouteList *lists = row->lists;

    if (long_closed(&row->info, is_long)) {
        return false;
    }
    return lists[ROUTE_LIST(ROUTE_LOCAL, is_long)].count > 0 ||
           lists[ROUTE_LIST(ROUTE_REMOTE, is_long)].count > 0 ||
           lists[ROUTE_PROBES].count > 0 ||
           (suspects_allowed(&row->info) &&
            lists[ROUTE_LIST(ROUTE_SUSPECT, is_long)].count > 0);
}

RouteAnswer
Route_Pick(Route *r, const RouteQuery *query, uint32_t *target)
{
    const RoutePool *pool = &r->pools[query->pool];
    bool seen = false;
    int tier;

    if (pool->info.targets == 0) {
        return ROUTE_EMPTY;
    }
    if (long_closed(&pool->info, query->is_long)) {
        return ROUTE_BUSY;
    }
    *target = pick_probe(r, query);
    if (*target != ROUTE_NONE) {
        return ROUTE_FOUND;
    }
    for (tier = 0; tier < ROUTE_TIERS; tier++) {
        const RouteList *list = &pool->lists[ROUTE_LIST(tier, query->is_long)];
        if (tier == ROUTE_SUSPECT && !suspects_allowed(&pool->info)) {
            break;
        }
        *target = pick_of_two(r, list, query);
        if (*target != ROUTE_NONE) {
            return ROUTE_FOUND;
        }
        seen = seen || list->count > 0;
    }
    return seen ? ROUTE_EXCLUDED : ROUTE_BUSY;
}

static bool
may_evict(const RoutePoolInfo *info)
{
    return (info->evicted + info->suspect + 1) * 100 <=
           info->targets * ROUTE_EVICT_PERCENT;
}

static void
evict(Route *r, int64_t now_ms, uint32_t target)
{
    RouteRow *row = &r->rows[target];
    RoutePoolInfo *info = &r->pools[row->pool].info;
    int64_t ms = (int64_t)ROUTE_EVICT_MS << row->evict_level;

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
    RouteRow_Relist(r, target);
}

void
RouteRow_Readmit(Route *r, uint32_t target)
{
    RouteRow *row = &r->rows[target];

    if (row->evicted) {
        row->evicted = false;
        if (RouteRow_Usable(row)) {
            RoutePoolInfo *info = &r->pools[row->pool].info;
            info->evicted--;
            info->suspect += row->state == TRAFFIC_TARGET_SUSPECT;
        }
        row->probe_ready = false;
        row->failures = 0;
        row->slowness = 1.0F;
        RouteRow_Relist(r, target);
    }
}

bool
Route_Learn(Route *r, int64_t now_ms, uint32_t target,
            const TrafficResult *result, int64_t expected_us)
{
    RouteRow *row = &r->rows[target];
    float ratio = (float)result->run_us / (float)(expected_us + 1);
    bool was_evicted = row->evicted;

    if (result->kind == TRAFFIC_REFUSED) {
        row->ceiling = row->in_flight - 1;
        row->raised_ms = now_ms;
        RouteRow_Relist(r, target);
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
        row->failures = 0;
        row->evict_level = 0;
        RouteRow_Readmit(r, target);
        return false;
    }
    if (row->failures < ROUTE_EVICT_FAILURES) {
        row->failures++;
    }
    if (!RouteRow_Usable(row)) {
        return false;
    }
    if (row->evicted) {
        /* Late answers of before the eviction are no failed probes. */
        if (row->probe_ready) {
            evict(r, now_ms, target);
        }
    }
    else if (row->failures >= ROUTE_EVICT_FAILURES &&
             may_evict(&r->pools[row->pool].info)) {
        evict(r, now_ms, target);
    }
    return row->evicted && !was_evicted;
}

/* Lets targets that refused work try one more attempt at a time. */
static void
raise_ceilings(Route *r, int64_t now_ms, const RouteList *list)
{
    uint32_t i;

    for (i = list->count; i-- > 0;) {
        RouteRow *row = &r->rows[list->items[i]];
        if (now_ms >= row->raised_ms + ROUTE_RAISE_MS) {
            row->ceiling++;
            row->raised_ms = now_ms;
            RouteRow_Relist(r, list->items[i]);
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
        raise_ceilings(r, now_ms, &r->pools[p].lists[ROUTE_LIMITED]);
        for (i = 0; i < list->count; i++) {
            RouteRow *row = &r->rows[list->items[i]];
            if (!row->probe_ready && now_ms >= row->evicted_until_ms) {
                row->probe_ready = true;
                RouteRow_Relist(r, list->items[i]);
            }
        }
    }
}

bool
Route_MaySend(const Route *r, uint32_t target, uint64_t epoch)
{
    const RouteRow *row = &r->rows[target];

    return RouteRow_Usable(row) && row->epoch == epoch &&
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
    info->usable = RouteRow_Usable(row);
    info->evicted = row->evicted;
}

void
Route_GetPoolInfo(const Route *r, uint32_t pool, RoutePoolInfo *info)
{
    *info = r->pools[pool].info;
}
