/*
 * NAME
 *     route - choice of a target with a free slot
 *
 * DESCRIPTION
 *     Keeps the targets of each pool in lists of those with a free slot, so
 *     a choice costs the same for any number of targets. Candidates come
 *     from the own data centre first; of two taken at random the less loaded
 *     one wins (Mitzenmacher, 2001), by attempts in flight for each slot
 *     times observed slowness. Slowness is the run time as a ratio to the
 *     expected one, so long work does not make its target look slow; a
 *     failure counts as slow however fast it came.
 *
 *     A target that fails ROUTE_EVICT_FAILURES times in a row is evicted for
 *     a time that doubles with each failed probe. At most
 *     ROUTE_EVICT_PERCENT of the usable targets of a pool are evicted; above
 *     that, failing and suspected targets stay in use.
 *
 *     A target is named by a small number that stays valid while it is
 *     listed or has an attempt in flight.
 */
#ifndef COLTSFOOT_ROUTE_H
#define COLTSFOOT_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"
#include "traffic_types.h"

#define ROUTE_NONE UINT32_MAX
/* The rest of each target's slots is closed to long work at all times, so that
 * short work that comes after a quiet time finds a slot. */
#define ROUTE_LONG_MOST_PERCENT 88
#define ROUTE_EVICT_FAILURES 5
#define ROUTE_EVICT_PERCENT 50
#define ROUTE_EVICT_MS 1000
#define ROUTE_EVICT_MAX_MS 32000
/* A target that refused work gets no more at a time than it had accepted,
 * raised by one in this time. Without it, targets whose slots others had
 * taken refused 3.5 times for each request under load. */
#define ROUTE_RAISE_MS 100

typedef struct RouteOptions {
    const char *data_centre;
    uint64_t seed;
    uint32_t long_share_percent; /* of a pool's slots, always open to it */
} RouteOptions;

typedef struct RouteQuery {
    uint32_t pool;
    int64_t now_ms;
    bool is_long;
    bool repeatable; /* only such work probes an evicted target at once */
    const uint32_t *excluded; /* targets that failed or refused this work */
    uint32_t excluded_count;
} RouteQuery;

typedef enum RouteAnswer {
    ROUTE_FOUND,
    ROUTE_BUSY,     /* no free slot now */
    ROUTE_EXCLUDED, /* the only free slots are on excluded targets */
    ROUTE_EMPTY     /* the pool has no usable target */
} RouteAnswer;

typedef struct RouteInfo {
    const char *name; /* valid until the next Route_SetTargets */
    uint64_t epoch;
    uint64_t cookie;
    uint32_t in_flight;
    uint32_t long_in_flight;
    uint32_t throttled; /* of these */
    uint32_t slots;     /* the lower of slots and connections credited */
    uint32_t long_limit;
    bool usable; /* open or suspect, and listed */
    bool evicted;
} RouteInfo;

/* Load of a pool, of all its usable targets. */
typedef struct RoutePoolInfo {
    uint32_t targets;
    uint32_t slots;
    uint32_t long_slots; /* that long work may take in the whole pool */
    uint32_t long_most;  /* sum of the limits of the targets */
    uint32_t in_flight;
    uint32_t long_in_flight;
    uint32_t evicted;
    uint32_t suspect;
} RoutePoolInfo;

typedef struct Route Route;

Route *Route_New(const RouteOptions *options);
void Route_Free(Route *r);

/* Returns the number of a pool, which is created when it is new. */
uint32_t Route_Pool(Route *r, const char *name);
uint32_t Route_PoolCount(const Route *r);

/* Replaces the targets; see Traffic_SetTargets. */
Status Route_SetTargets(Route *r, const TrafficTarget *targets, size_t count);

/* Adds or changes one target; see Traffic_PutTarget. */
Status Route_PutTarget(Route *r, const TrafficTarget *target);
Status Route_DropTarget(Route *r, const char *name);

/* Chooses a target with a free slot and stores its number; takes nothing. */
RouteAnswer Route_Pick(Route *r, const RouteQuery *query, uint32_t *target);

/* Returns true when some target has a slot for this class of work. */
bool Route_HasRoom(const Route *r, uint32_t pool, bool is_long);

/* Takes a slot. */
void Route_Take(Route *r, uint32_t target, bool is_long);

/* Frees a slot. */
void Route_Release(Route *r, uint32_t target, bool is_long);

/* Sets how many slots of the pool short work needs. Long work may take the
 * others, but never less than its share and never more than
 * ROUTE_LONG_MOST_PERCENT of a target's slots. */
void Route_ReserveShort(Route *r, uint32_t pool, uint32_t slots);

/* Counts a running attempt as long from now on. */
void Route_MakeLong(Route *r, uint32_t target);

/* Counts a long attempt as throttled, or no longer so. */
void Route_Throttle(Route *r, uint32_t target, bool throttled);

/* Learns from an answer. run_us and expected_us give the slowness of
 * TRAFFIC_OK and TRAFFIC_FAILED. Returns true when the target was evicted by
 * it. */
bool Route_Learn(Route *r, int64_t now_ms, uint32_t target,
                 const TrafficResult *result, int64_t expected_us);

/* Makes evicted targets ready for a probe when their time has come. */
void Route_Tick(Route *r, int64_t now_ms);

/* Returns true while new work may be sent under this epoch. */
bool Route_MaySend(const Route *r, uint32_t target, uint64_t epoch);

/* Returns 0 for a name that is not known. */
uint32_t Route_TargetInFlight(const Route *r, const char *name);

void Route_GetInfo(const Route *r, uint32_t target, RouteInfo *info);
void Route_GetPoolInfo(const Route *r, uint32_t pool, RoutePoolInfo *info);

/* Returns the share of total credits of a target (slots or connections) for
 * the entry VM of the given rank among the count entry VMs of the target's
 * data centre. The shares of all ranks add up to total. silent, if not NULL,
 * marks the ranks whose credits are taken over by the others; then the
 * shares of the ranks that are not silent add up to total. */
uint32_t Route_DivideCredits(const char *target, uint32_t total, uint32_t rank,
                             uint32_t count, const bool *silent);

#endif
