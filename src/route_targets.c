#include <string.h>

#include "mem.h"

#include "route_internal.h"

void
RouteRow_Free(Route *r, uint32_t target)
{
    RouteRow *row = &r->rows[target];

    Keymap_Remove(r->target_names, row->key);
    row->in_use = false;
    row->next_free = r->free_row;
    r->free_row = target;
}

static uint32_t
add_row(Route *r, const char *name, uint64_t key)
{
    uint32_t target = r->free_row;
    RouteRow *row;

    if (target != ROUTE_NONE) {
        r->free_row = r->rows[target].next_free;
    }
    else {
        if (r->row_count == r->row_capacity) {
            r->row_capacity = r->row_capacity ? r->row_capacity * 2 : 64;
            r->rows = Mem_Resize(r->rows, r->row_capacity * sizeof(*r->rows));
        }
        target = r->row_count++;
    }
    row = &r->rows[target];
    memset(row, 0, sizeof(*row));
    row->in_use = true;
    row->key = key;
    row->slowness = 1.0F;
    row->in_flight_limit = UINT32_MAX;
    memcpy(row->name, name, strlen(name)); /* checked by is_valid_target */
    Keymap_Put(r->target_names, key, target);
    return target;
}

static bool
is_valid_target(const TrafficTarget *target)
{
    return target->name != NULL && target->name[0] != '\0' &&
           strlen(target->name) < TRAFFIC_NAME_BYTES && target->pool != NULL;
}

static Status
check_targets(const TrafficTarget *targets, size_t count)
{
    Keymap *seen = Keymap_New();
    Status status = seen != NULL ? ST_OK : ST_NO_MEMORY;
    size_t i;

    for (i = 0; i < count && status == ST_OK; i++) {
        uint32_t value;
        uint64_t key;
        if (!is_valid_target(&targets[i])) {
            status = ST_INVALID;
            break;
        }
        key = Keymap_HashText(targets[i].name);
        if (Keymap_Get(seen, key, &value)) {
            status = ST_INVALID;
        }
        Keymap_Put(seen, key, 0);
    }
    Keymap_Free(seen);
    return status;
}

/* Marks the row as not listed and removes it from the lists of its pool. */
static void
unlist_row(Route *r, uint32_t target)
{
    RouteRow *row = &r->rows[target];

    row->listed = false;
    RouteRow_UpdateLists(r, target);
}

/* Returns the number of slots of the target that long work may take. The hash
 * of the target's name decides whether the number is rounded up, so that the
 * rounding errors of a large pool cancel out. */
static uint32_t
compute_long_limit(const Route *r, const RouteRow *row)
{
    uint32_t percent = r->min_long_percent > ROUTE_LONG_MAX_PERCENT
                           ? r->min_long_percent
                           : ROUTE_LONG_MAX_PERCENT;
    uint32_t share = r->min_long_percent == 0 ? 0 : row->slots * percent;

    return share / 100 + ((uint32_t)(row->key >> 40) % 100 < share % 100);
}

static void
update_row(Route *r, uint32_t target, const TrafficTarget *from)
{
    RouteRow *row = &r->rows[target];

    row->pool = Route_FindOrAddPool(r, from->pool);
    row->local = from->data_centre != NULL &&
                 Keymap_HashText(from->data_centre) == r->data_centre;
    row->rack =
        (uint32_t)Keymap_HashText(from->rack != NULL ? from->rack : "");
    row->epoch = from->epoch;
    row->cookie = from->cookie;
    row->state = (uint8_t)from->state;
    row->slots =
        from->slots < from->connections ? from->slots : from->connections;
    row->long_limit = compute_long_limit(r, row);
    row->listed = true;
}

/* Adds the row to the totals of its pool, or subtracts it. */
static void
update_pool_info(Route *r, const RouteRow *row, bool add)
{
    RoutePoolInfo *info = &r->pools[row->pool].info;
    uint32_t sign = add ? 1 : UINT32_MAX; /* -1 modulo 2^32 */

    if (RouteRow_IsUsable(row)) {
        info->targets += sign;
        info->slots += sign * row->slots;
        info->long_limit_sum += sign * row->long_limit;
        info->in_flight += sign * row->in_flight;
        info->long_in_flight += sign * row->long_in_flight;
        info->evicted += sign * row->evicted;
        info->suspect +=
            sign * (row->state == TRAFFIC_TARGET_SUSPECT && !row->evicted);
    }
}

/* Readmits targets until at most ROUTE_EVICT_PERCENT of a pool is evicted. */
static void
readmit_excess_targets(Route *r, uint32_t pool)
{
    RoutePool *row = &r->pools[pool];
    const RouteList *list = &row->lists[ROUTE_EVICTED];

    while (list->count > 0 &&
           row->info.evicted * 100 > row->info.targets * ROUTE_EVICT_PERCENT) {
        RouteRow_Readmit(r, list->items[0]);
    }
}

/* Opens one slot of the target to long work if the pool has no slot for long
 * work. Rounding can cause this if each target has one credited slot. */
static void
ensure_long_slot(Route *r, uint32_t target)
{
    RouteRow *row = &r->rows[target];
    RoutePoolInfo *info = &r->pools[row->pool].info;

    if (RouteRow_IsUsable(row) && info->long_limit_sum == 0 &&
        r->min_long_percent > 0) {
        row->long_limit = 1;
        info->long_limit_sum = 1;
    }
}

static void
update_pool_limits(Route *r, uint32_t pool)
{
    readmit_excess_targets(r, pool);
    Route_ReserveShortSlots(r, pool, r->pools[pool].reserved_short_slots);
}

static void
rebuild_pools(Route *r)
{
    uint32_t i;

    for (i = 0; i < r->pool_count; i++) {
        memset(&r->pools[i].info, 0, sizeof(r->pools[i].info));
    }
    for (i = 0; i < r->row_count; i++) {
        if (r->rows[i].in_use) {
            update_pool_info(r, &r->rows[i], true);
        }
    }
    for (i = 0; i < r->row_count; i++) {
        if (r->rows[i].in_use) {
            ensure_long_slot(r, i);
            RouteRow_UpdateLists(r, i);
        }
    }
    for (i = 0; i < r->pool_count; i++) {
        update_pool_limits(r, i);
    }
}

Status
Route_SetTargets(Route *r, const TrafficTarget *targets, size_t count)
{
    Status status = check_targets(targets, count);
    uint32_t target;
    uint32_t rows;
    size_t i;

    if (status != ST_OK) {
        return status;
    }
    for (i = 0; i < r->row_count; i++) {
        if (r->rows[i].in_use) {
            unlist_row(r, (uint32_t)i);
        }
    }
    for (i = 0; i < count; i++) {
        uint64_t key = Keymap_HashText(targets[i].name);
        if (!Keymap_Get(r->target_names, key, &target)) {
            target = add_row(r, targets[i].name, key);
        }
        update_row(r, target, &targets[i]);
    }
    rows = r->row_count;
    for (target = 0; target < rows; target++) {
        const RouteRow *row = &r->rows[target];
        if (row->in_use && !row->listed && row->in_flight == 0) {
            RouteRow_Free(r, target);
        }
    }
    rebuild_pools(r);
    return ST_OK;
}

Status
Route_PutTarget(Route *r, const TrafficTarget *from)
{
    uint32_t target;
    uint32_t old_pool;
    uint64_t key;

    if (!is_valid_target(from)) {
        return ST_INVALID;
    }
    key = Keymap_HashText(from->name);
    if (!Keymap_Get(r->target_names, key, &target)) {
        target = add_row(r, from->name, key);
        r->rows[target].pool = Route_FindOrAddPool(r, from->pool);
    }
    update_pool_info(r, &r->rows[target], false);
    unlist_row(r, target);
    old_pool = r->rows[target].pool;
    update_row(r, target, from);
    update_pool_info(r, &r->rows[target], true);
    ensure_long_slot(r, target);
    RouteRow_UpdateLists(r, target);
    update_pool_limits(r, old_pool);
    update_pool_limits(r, r->rows[target].pool);
    return ST_OK;
}

Status
Route_RemoveTarget(Route *r, const char *name)
{
    uint32_t target;
    uint32_t pool;

    if (name == NULL ||
        !Keymap_Get(r->target_names, Keymap_HashText(name), &target) ||
        !r->rows[target].listed) {
        return ST_NOT_FOUND;
    }
    pool = r->rows[target].pool;
    update_pool_info(r, &r->rows[target], false);
    unlist_row(r, target);
    if (r->rows[target].in_flight == 0) {
        RouteRow_Free(r, target);
    }
    update_pool_limits(r, pool);
    return ST_OK;
}

uint32_t
Route_GetCreditShare(const char *target, uint32_t total, uint32_t rank,
                     uint32_t count, const bool *silent)
{
    uint32_t first_rank = (uint32_t)(Keymap_HashText(target) % count);
    uint32_t share = 0;
    uint32_t reassigned = 0;
    uint32_t live_count = 0;
    uint32_t live_rank = 0;
    uint32_t i;

    if (silent != NULL && silent[rank]) {
        return 0;
    }
    for (i = 0; i < count; i++) {
        if (silent == NULL || !silent[i]) {
            live_rank = i == rank ? live_count : live_rank;
            live_count++;
        }
    }
    /* Credit i belongs to rank (first_rank + i) % count. The credits of silent
     * ranks go to the live ranks in round-robin order. */
    for (i = 0; i < total; i++) {
        uint32_t owner = (first_rank + i) % count;
        if (silent != NULL && silent[owner]) {
            share += (first_rank + reassigned) % live_count == live_rank;
            reassigned++;
        }
        else {
            share += owner == rank;
        }
    }
    return share;
}
