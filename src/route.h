/*
 * NAME
 *     route - target selection and load balancing
 *
 * DESCRIPTION
 *     Each pool keeps lists of its targets with a free slot, so the cost of
 *     a selection does not depend on the number of targets. The local data
 *     centre is preferred. Of two random candidates the less loaded one is
 *     selected (power of two choices, Mitzenmacher, 2001). Load is the number
 *     of attempts in flight per slot, multiplied by the slowness of the
 *     target. Slowness is an average of the ratio of run time to expected run
 *     time, so long work does not raise it. A failure raises it even if the
 *     target reported the failure at once.
 *
 *     A target that fails ROUTE_EVICT_FAILURES times in a row is evicted for
 *     a time that doubles with each failed probe. At most
 *     ROUTE_EVICT_PERCENT of the usable targets of a pool are evicted; above
 *     that, failing and suspect targets stay in use.
 *
 *     Targets are identified by small integers, which stay valid while the
 *     target is listed or has an attempt in flight.
 */
#ifndef COLTSFOOT_ROUTE_H
#define COLTSFOOT_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"
#include "traffic_types.h"

#define ROUTE_NONE UINT32_MAX
/* Maximum share of a target's slots for long work, unless long_share_percent
 * is higher. The other slots are kept free of long work, so that short work
 * finds a slot after an idle period. */
#define ROUTE_LONG_MAX_PERCENT 88
#define ROUTE_EVICT_FAILURES 5
#define ROUTE_EVICT_PERCENT 50
#define ROUTE_EVICT_MIN_MS 1000
#define ROUTE_EVICT_MAX_MS 32000
/* A refusal limits the attempts in flight on the target to the number that it
 * had accepted. The limit rises by one in each interval of this length.
 * Without the limit, each request under load was refused 3.5 times by targets
 * whose slots other entry VMs had taken. */
#define ROUTE_LIMIT_RAISE_MS 100

typedef struct RouteOptions {
    const char *data_centre;
    uint64_t seed;
    uint32_t long_share_percent; /* minimum of a pool's slots for long work */
} RouteOptions;

typedef struct RouteQuery {
    uint32_t pool;
    int64_t now_ms;
    bool is_long;
    /* True for work that may run twice. Only repeatable work probes a target
     * as soon as its eviction time has passed. */
    bool repeatable;
    const uint32_t *excluded; /* targets that failed or refused this work */
    uint32_t excluded_count;
} RouteQuery;

typedef enum RouteOutcome {
    ROUTE_FOUND,
    ROUTE_BUSY,     /* no slot is free */
    ROUTE_EXCLUDED, /* the only free slots are on excluded targets */
    ROUTE_EMPTY     /* the pool has no usable target */
} RouteOutcome;

typedef struct RouteInfo {
    const char *name; /* valid until targets are added or removed */
    uint64_t epoch;
    uint64_t cookie;
    uint32_t in_flight;
    uint32_t long_in_flight;
    uint32_t throttled;  /* long attempts in flight that are throttled */
    uint32_t slots;      /* lower of the credited slots and connections */
    uint32_t long_limit; /* maximum of slots held by long work */
    bool usable;         /* listed, has slots, and is open or suspect */
    bool evicted;
} RouteInfo;

/* Totals over the usable targets of a pool. */
typedef struct RoutePoolInfo {
    uint32_t targets;
    uint32_t slots;
    uint32_t long_slots;     /* slots that long work may take */
    uint32_t long_limit_sum; /* sum of RouteInfo.long_limit */
    uint32_t in_flight;
    uint32_t long_in_flight;
    uint32_t evicted;
    uint32_t suspect;
} RoutePoolInfo;

typedef struct Route Route;

Route *Route_New(const RouteOptions *options);
void Route_Free(Route *r);

/* Returns the number of the named pool; adds the pool if it is new. */
uint32_t Route_FindOrAddPool(Route *r, const char *name);
uint32_t Route_CountPools(const Route *r);

/* Replaces the targets; see Traffic_SetTargets. */
Status Route_SetTargets(Route *r, const TrafficTarget *targets, size_t count);

/* Adds or changes one target; see Traffic_PutTarget. */
Status Route_PutTarget(Route *r, const TrafficTarget *target);
Status Route_RemoveTarget(Route *r, const char *name);

/* Selects a target with a free slot and stores its number. Does not acquire
 * the slot. */
RouteOutcome Route_SelectTarget(Route *r, const RouteQuery *query,
                                uint32_t *target);

/* Returns true if a usable target has a free slot for this class of work. */
bool Route_HasFreeSlot(const Route *r, uint32_t pool, bool is_long);

void Route_AcquireSlot(Route *r, uint32_t target, bool is_long);
void Route_ReleaseSlot(Route *r, uint32_t target, bool is_long);

/* Reserves slots of the pool for short work. Long work may take the other
 * slots and in any case long_share_percent of the pool, up to the long_limit
 * of each target. */
void Route_ReserveShortSlots(Route *r, uint32_t pool, uint32_t slots);

/* Reclassifies a running attempt as long. */
void Route_MarkLong(Route *r, uint32_t target);

/* Counts one more throttled attempt on the target, or one fewer. */
void Route_SetThrottled(Route *r, uint32_t target, bool throttled);

/* Updates the slowness of the target by the ratio of result->run_us to
 * expected_us, and evicts or readmits the target if needed. TRAFFIC_REFUSED
 * only lowers the limit of attempts in flight. Returns true if the result
 * evicted the target. */
bool Route_RecordResult(Route *r, int64_t now_ms, uint32_t target,
                        const TrafficResult *result, int64_t expected_us);

/* Makes targets ready for a probe when their eviction time has passed, and
 * raises the limits of targets that refused work. */
void Route_Tick(Route *r, int64_t now_ms);

/* Returns true if work for which a slot is held may be dispatched to the
 * target under this assignment epoch. */
bool Route_MayDispatch(const Route *r, uint32_t target, uint64_t epoch);

/* Returns the number of attempts in flight on a target, or 0 if the name is
 * unknown. */
uint32_t Route_CountInFlight(const Route *r, const char *name);

void Route_GetInfo(const Route *r, uint32_t target, RouteInfo *info);
void Route_GetPoolInfo(const Route *r, uint32_t pool, RoutePoolInfo *info);

/* Returns the share of total credits of a target (slots or connections) for
 * the entry VM of the given rank among the count entry VMs of the target's
 * data centre. The shares of all ranks add up to total. silent, if not NULL,
 * marks the ranks whose credits pass to the others; the shares of the ranks
 * that are not silent then add up to total. */
uint32_t Route_GetCreditShare(const char *target, uint32_t total,
                              uint32_t rank, uint32_t count,
                              const bool *silent);

#endif
