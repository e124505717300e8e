/*
 * NAME
 *     route_internal - rows of route, shared by route.c and route_targets.c
 */
#ifndef COLTSFOOT_ROUTE_INTERNAL_H
#define COLTSFOOT_ROUTE_INTERNAL_H

#include "keymap.h"
#include "rng.h"
#include "route.h"

/* Tiers in the order of preference. */
enum { ROUTE_LOCAL, ROUTE_REMOTE, ROUTE_SUSPECT, ROUTE_TIERS };

/* Lists of a pool: for each tier the targets with a slot free for short and
 * for long work, then the evicted ones, then those ready for a probe, then
 * those that refused work below their credits. */
#define ROUTE_LIST(tier, is_long) ((tier)*2 + ((is_long) ? 1 : 0))
enum {
    ROUTE_EVICTED = ROUTE_TIERS * 2,
    ROUTE_PROBES,
    ROUTE_LIMITED,
    ROUTE_LISTS
};

typedef struct RouteRow {
    char name[TRAFFIC_NAME_BYTES];
    uint64_t key;
    uint64_t epoch;
    uint64_t cookie;
    int64_t evicted_until_ms;
    uint32_t pool;
    uint32_t slots; /* the lower of slots and connections */
    uint32_t long_limit;
    uint32_t
        ceiling; /* attempts it was seen to accept; slots if not limited */
    int64_t raised_ms;
    uint32_t in_flight;
    uint32_t long_in_flight;
    uint32_t throttled;          /* of these */
    uint32_t place[ROUTE_LISTS]; /* position + 1 in each list; 0: absent */
    uint32_t next_free;
    uint32_t rack; /* hash of the name */
    float slowness;
    uint8_t state; /* TrafficTargetState */
    uint8_t failures;
    uint8_t evict_level;
    bool in_use;
    bool listed;
    bool local;
    bool evicted;
    bool probe_ready;
} RouteRow;

typedef struct RouteList {
    uint32_t *items;
    uint32_t count;
    uint32_t capacity;
} RouteList;

typedef struct RoutePool {
    RouteList lists[ROUTE_LISTS];
    RoutePoolInfo info;
    uint32_t short_need; /* from Route_ReserveShort */
} RoutePool;

struct Route {
    Keymap *pool_names;
    Keymap *names;
    RoutePool *pools;
    uint32_t pool_count;
    RouteRow *rows;
    uint32_t row_count;
    uint32_t row_capacity;
    uint32_t free_row;
    uint64_t data_centre;
    uint32_t long_percent;
    Rng rng;
};

static inline bool
RouteRow_Usable(const RouteRow *row)
{
    return row->listed && row->slots > 0 &&
           (row->state == TRAFFIC_TARGET_OPEN ||
            row->state == TRAFFIC_TARGET_SUSPECT);
}

/* Puts the row into the lists that fit its state. */
void RouteRow_Relist(Route *r, uint32_t target);

/* Takes the target back into normal use. */
void RouteRow_Readmit(Route *r, uint32_t target);

/* Frees a row that is not listed and has nothing in flight. */
void RouteRow_Drop(Route *r, uint32_t target);

#endif
