#include <string.h>

#include "mem.h"

#include "route_internal.h"

void
RouteRow_Drop(Route *r, uint32_t target)
{
    RouteRow *row = &r->rows[target];

    Keymap_Remove(r->names, row->key);
    row->in_use = false;
    row->next_free = r->free_row;
    r->free_row = target;
}

static uint32_t
row_new(Route *r, const char *name, uint64_t key)
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
    row->ceiling = UINT32_MAX;
    memcpy(row->name, name, strlen(name)); /* checked to fit */
    Keymap_Put(r->names, key, target);
    return target;
}

static bool
target_valid(const TrafficTarget *target)
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
        if (!target_valid(&targets[i])) {
            status = ST_INVALID;
            break;
        }
        key = Keymap_Key(targets[i].name);
        if (Keymap_Get(seen, key, &value)) {
            status = ST_INVALID;
        }
        Keymap_Put(seen, key, 0);
    }
    Keymap_Free(seen);
    return status;
}

/* Takes the row out of the lists and figures of its pool, to be put back
 * with its new state. */
static void
withdraw(Route *r, uint32_t target)
{
    RouteRow *row = &r->rows[target];

    row->listed = false;
    RouteRow_Relist(r, target);
}

/* Rounds the share of slots for long work up for as many targets as makes
 * the sum over a pool come out right, chosen by the target's name. */
static uint32_t
long_limit_of(const Route *r, const RouteRow *row)
{
    uint32_t percent = r->long_percent > ROUTE_LONG_MOST_PERCENT
                           ? r->long_percent
                           : ROUTE_LONG_MOST_PERCENT;
    uint32_t share = r->long_percent == 0 ? 0 : row->slots * percent;

    return share / 100 + ((uint32_t)(row->key >> 40) % 100 < share % 100);
}

static void
apply(Route *r, uint32_t target, const TrafficTarget *from)
{
    RouteRow *row = &r->rows[target];

    row->pool = Route_Pool(r, from->pool);
    row->local = from->data_centre != NULL &&
                 Keymap_Key(from->data_centre) == r->data_centre;
    row->rack = (uint32_t)Keymap_Key(from->rack != NULL ? from->rack : "");
    row->epoch = from->epoch;
    row->cookie = from->cookie;
    row->state = (uint8_t)from->state;
    row->slots =
        from->slots < from->connections ? from->slots : from->connections;
    row->long_limit = long_limit_of(r, row);
    row->listed = true;
}

/* Adds the row to the figures of its pool, or takes it out of them. */
static void
count_row(Route *r, const RouteRow *row, bool add)
{
    RoutePoolInfo *info = &r->pools[row->pool].info;
    uint32_t sign = add ? 1 : UINT32_MAX; /* modular arithmetic */

    if (RouteRow_Usable(row)) {
        info->targets += sign;
        info->slots += sign * row->slots;
        info->long_most += sign * row->long_limit;
        info->in_flight += sign * row->in_flight;
        info->long_in_flight += sign * row->long_in_flight;
        info->evicted += sign * row->evicted;
        info->suspect +=
            sign * (row->state == TRAFFIC_TARGET_SUSPECT && !row->evicted);
    }
}

/* Brings the evicted share of a pool back under its cap. */
static void
readmit_surplus(Route *r, uint32_t pool)
{
    RoutePool *row = &r->pools[pool];
    const RouteList *list = &row->lists[ROUTE_EVICTED];

    while (list->count > 0 &&
           row->info.evicted * 100 > row->info.targets * ROUTE_EVICT_PERCENT) {
        RouteRow_Readmit(r, list->items[0]);
    }
}

/* Without this a pool of targets with one credited slot each could end up
 * with no slot for long work. */
static void
ensure_long(Route *r, uint32_t target)
{
    RouteRow *row = &r->rows[target];
    RoutePoolInfo *info = &r->pools[row->pool].info;

    if (RouteRow_Usable(row) && info->long_most == 0 && r->long_percent > 0) {
        row->long_limit = 1;
        info->long_most = 1;
    }
}

static void
settle_pool(Route *r, uint32_t pool)
{
    readmit_surplus(r, pool);
    Route_ReserveShort(r, pool, r->pools[pool].short_need);
}

static void
rebuild(Route *r)
{
    uint32_t i;

    for (i = 0; i < r->pool_count; i++) {
        memset(&r->pools[i].info, 0, sizeof(r->pools[i].info));
    }
    for (i = 0; i < r->row_count; i++) {
        if (r->rows[i].in_use) {
            count_row(r, &r->rows[i], true);
        }
    }
    for (i = 0; i < r->row_count; i++) {
        if (r->rows[i].in_use) {
            ensure_long(r, i);
            RouteRow_Relist(r, i);
        }
    }
    for (i = 0; i < r->pool_count; i++) {
        settle_pool(r, i);
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
            withdraw(r, (uint32_t)i);
        }
    }
    for (i = 0; i < count; i++) {
        uint64_t key = Keymap_Key(targets[i].name);
        if (!Keymap_Get(r->names, key, &target)) {
            target = row_new(r, targets[i].name, key);
        }
        apply(r, target, &targets[i]);
    }
    rows = r->row_count;
    for (target = 0; target < rows; target++) {
        const RouteRow *row = &r->rows[target];
        if (row->in_use && !row->listed && row->in_flight == 0) {
            RouteRow_Drop(r, target);
        }
    }
    rebuild(r);
    return ST_OK;
}

Status
Route_PutTarget(Route *r, const TrafficTarget *from)
{
    uint32_t target;
    uint32_t old_pool;
    uint64_t key;

    if (!target_valid(from)) {
        return ST_INVALID;
    }
    key = Keymap_Key(from->name);
    if (!Keymap_Get(r->names, key, &target)) {
        target = row_new(r, from->name, key);
        r->rows[target].pool = Route_Pool(r, from->pool);
    }
    count_row(r, &r->rows[target], false);
    withdraw(r, target);
    old_pool = r->rows[target].pool;
    apply(r, target, from);
    count_row(r, &r->rows[target], true);
    ensure_long(r, target);
    RouteRow_Relist(r, target);
    settle_pool(r, old_pool);
    settle_pool(r, r->rows[target].pool);
    return ST_OK;
}

Status
Route_DropTarget(Route *r, const char *name)
{
    uint32_t target;
    uint32_t pool;

    if (name == NULL || !Keymap_Get(r->names, Keymap_Key(name), &target) ||
        !r->rows[target].listed) {
        return ST_NOT_FOUND;
    }
    pool = r->rows[target].pool;
    count_row(r, &r->rows[target], false);
    withdraw(r, target);
    if (r->rows[target].in_flight == 0) {
        RouteRow_Drop(r, target);
    }
    settle_pool(r, pool);
    return ST_OK;
}

uint32_t
Route_DivideCredits(const char *target, uint32_t total, uint32_t rank,
                    uint32_t count, const bool *silent)
{
    uint32_t first = (uint32_t)(Keymap_Key(target) % count);
    uint32_t share = 0;
    uint32_t taken = 0;
    uint32_t live = 0;
    uint32_t own = 0;
    uint32_t i;

    if (silent != NULL && silent[rank]) {
        return 0;
    }
    for (i = 0; i < count; i++) {
        if (silent == NULL || !silent[i]) {
            own = i == rank ? live : own;
            live++;
        }
    }
    /* Credit number i belongs to rank (first + i) % count, or in turn to the
     * live ranks when that one is silent. */
    for (i = 0; i < total; i++) {
        uint32_t owner = (first + i) % count;
        if (silent != NULL && silent[owner]) {
            share += (first + taken) % live == own;
            taken++;
        }
        else {
            share += owner == rank;
        }
    }
    return share;
}
