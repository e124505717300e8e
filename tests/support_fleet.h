/*
 * NAME
 *     support_fleet - discrete-event simulation of one pool of targets
 *
 * DESCRIPTION
 *     Simulates targets with slots and run times on a virtual clock under one
 *     of three scheduling policies: the traffic core; one FIFO queue; a fixed
 *     split of the slots by declared class. Networks, partitions and a second
 *     entry VM are not simulated.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_FLEET_H
#define COLTSFOOT_TESTS_SUPPORT_FLEET_H

#include <stdbool.h>
#include <stdint.h>

typedef enum FleetPolicy {
    FLEET_TRAFFIC,
    FLEET_FIFO,
    FLEET_FIXED_SPLIT
} FleetPolicy;

typedef struct FleetOptions {
    FleetPolicy policy;
    uint64_t seed;
    uint32_t targets;
    uint32_t slots;        /* per target */
    double load;           /* offered work as a share of all slots */
    bool peaks;            /* twice the load for 2 s in every 10 s */
    double long_percent;   /* percentage of long requests */
    int64_t short_us;      /* mean run time of short work */
    int64_t long_us;       /* mean run time of long work */
    double declared_error; /* maximum error factor of the declared size */
    bool shared_kind;      /* short and long work share their kinds */
    bool urgent;           /* one request in 50 is urgent */
    int64_t duration_ms;
    int64_t deadline_ms;
    uint32_t failing;     /* number of failing targets */
    double fail_share;    /* share of attempts that a failing target fails */
    int64_t fail_us;      /* run time of a failed attempt */
    int64_t fail_from_ms; /* time at which the targets start to fail */
    uint32_t external_slots; /* slots per target that other work occupies */
    bool unrepeatable;
    uint32_t retry_percent;
    uint32_t long_share_percent;
} FleetOptions;

#define FLEET_OPTIONS_DEFAULT                                                 \
    {                                                                         \
        FLEET_TRAFFIC, 1, 10, 8, 0.8, false, 5, 10000, 1000000, 10, false,    \
            false, 120000, 30000, 0, 1, 1000, 0, 0, false, 10, 50             \
    }

/* Distribution of the wait from submission to the first dispatch. */
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
    uint64_t attempts_after_failure;  /* attempts since fail_from_ms */
    uint64_t submitted_after_failure; /* requests since fail_from_ms */
    uint64_t attempts_on_failing; /* attempts that a failing target failed */
    uint64_t done;
    uint64_t not_run;
    uint64_t expired; /* requests not run by their deadline; part of not_run */
    uint64_t unknown;
    uint64_t unable;
    uint64_t throttles;
    uint64_t refused_attempts; /* attempts refused for lack of a free slot */
    double busy;               /* share of the slots in use */
} FleetResult;

/* Runs the simulation to its end and stores the counts and waits. */
void Fleet_Run(const FleetOptions *options, FleetResult *result);

#endif
