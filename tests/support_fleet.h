/*
 * NAME
 *     support_fleet - event-driven fake of one pool of targets
 *
 * DESCRIPTION
 *     Targets with slots and run times on a virtual clock, in front of one of
 *     three rules: the traffic core; one queue, first come, first served; a
 *     fixed split of the slots by declared class. It knows no network, no
 *     partition and no second entry VM.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_FLEET_H
#define COLTSFOOT_TESTS_SUPPORT_FLEET_H

#include <stdbool.h>
#include <stdint.h>

typedef enum FleetRule {
    FLEET_TRAFFIC,
    FLEET_FIRST_COME,
    FLEET_FIXED_SPLIT
} FleetRule;

typedef struct FleetOptions {
    FleetRule rule;
    uint64_t seed;
    uint32_t targets;
    uint32_t slots;        /* of each target */
    double load;           /* offered work as a share of all slots */
    bool peaks;            /* 2 s in 10 at twice the load */
    double long_percent;   /* of requests */
    int64_t short_us;      /* mean run time of short work */
    int64_t long_us;       /* of long work */
    double declared_error; /* declared size is off by up to this factor */
    bool shared_kind;      /* short and long work have the same kind */
    bool urgent;           /* one request in 50 is urgent */
    int64_t duration_ms;
    int64_t deadline_ms;
    uint32_t failing;     /* targets that fail ... */
    double fail_share;    /* ... this share of what they get ... */
    int64_t fail_us;      /* ... after this time */
    int64_t fail_from_ms; /* ... from this time on */
    uint32_t foreign;     /* slots of each target taken by others */
    bool unrepeatable;
    uint32_t retry_percent;
    uint32_t long_share_percent;
} FleetOptions;

#define FLEET_OPTIONS_DEFAULT                                                 \
    {                                                                         \
        FLEET_TRAFFIC, 1, 10, 8, 0.8, false, 5, 10000, 1000000, 10, false,    \
            false, 120000, 30000, 0, 1, 1000, 0, 0, false, 10, 50             \
    }

/* Waits are from submission to the first dispatch, in microseconds. */
typedef struct FleetWait {
    uint32_t count;
    int64_t p50_us;
    int64_t p99_us;
    int64_t p999_us;
    int64_t max_us;
} FleetWait;

typedef struct FleetResult {
    FleetWait short_wait;
    FleetWait long_wait;
    FleetWait urgent_wait;
    uint64_t submitted;
    uint64_t attempts;
    uint64_t attempts_after; /* from fail_from_ms on */
    uint64_t submitted_after;
    uint64_t attempts_failing; /* sent to failing targets while they fail */
    uint64_t done;
    uint64_t not_run;
    uint64_t expired; /* of these, after a wait up to the deadline */
    uint64_t unknown;
    uint64_t unable;
    uint64_t throttles;
    uint64_t overrun; /* attempts that a target refused for lack of a slot */
    double busy;      /* share of the slots that were in use */
} FleetResult;

void Fleet_Run(const FleetOptions *options, FleetResult *result);

#endif
