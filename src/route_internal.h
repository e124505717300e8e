/*
 * NAME
 *     route_internal - structures shared by route.c and route_targets.c
 */
#ifndef COLTSFOOT_ROUTE_INTERNAL_H
#define COLTSFOOT_ROUTE_INTERNAL_H

#include "keymap.h"
#include "rng.h"
#include "route.h"

/* Tiers in the order of preference. */
enum { ROUTE_LOCAL, ROUTE_REMOTE, ROUTE_SUSPECT, ROUTE_TIERS };

/* Lists of a pool: two for each tier, of the targets with a free slot for
 * short and for long work; then the evicted targets, those ready for a probe,
 * and those limited to fewer attempts than their slots after a refusal. */
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
    uint32_t slots; /* lower of the credited slots and connections */
    uint32_t long_limit;
    uint32_t in_flight_limit; /* set by refusals; applies if below slots */
    int64_t limit_raised_ms;  /* time of the last change of in_flight_limit */
    uint32_t in_flight;
    uint32_t long_in_flight;
    uint32_t throttled; /* long attempts in flight that are throttled */
    uint32_t list_positions[ROUTE_LISTS]; /* 1-based; 0: not in the list */
    uint32_t next_free;
    uint32_t rack; /* hash of the rack name */
    float slowness;
    uint8_t state; /* TrafficTargetState */
    uint8_t consecutive_failures;
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
    uint32_t reserved_short_slots; /* set by Route_ReserveShortSlots */
} RoutePool;

struct Route {
    Keymap *pool_names;
    Keymap *target_names;
    RoutePool *pools;
    uint32_t pool_count;
    RouteRow *rows;
    uint32_t row_count;
    uint32_t row_capacity;
    uint32_t free_row;
    uint64_t data_centre;
    uint32_t min_long_percent;
    Rng rng;
};

static inline bool
RouteRow_IsUsable(const RouteRow *row)
{
    return row->listed && row->slots > 0 &&
           (row->state == TRAFFIC_TARGET_OPEN ||
            row->state == TRAFFIC_TARGET_SUSPECT);
}

/* Updates the list memberships of the row to match its state. */
void RouteRow_UpdateLists(Route *r, uint32_t target);

/* Ends the eviction of the target, if it is evicted. */
void RouteRow_Readmit(Route *r, uint32_t target);

/* Frees a row that is not listed and has no attempt in flight. */
void RouteRow_Free(Route *r, uint32_t target);

#endif
