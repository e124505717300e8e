/*
 * NAME
 *     traffic_types - input types shared by the traffic modules
 */
#ifndef COLTSFOOT_TRAFFIC_TYPES_H
#define COLTSFOOT_TRAFFIC_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#define TRAFFIC_NAME_BYTES 64

typedef enum TrafficClass {
    TRAFFIC_URGENT,
    TRAFFIC_SHORT,
    TRAFFIC_LONG,
    TRAFFIC_UNDECLARED /* learned from run times; short until known */
} TrafficClass;

#define TRAFFIC_CLASSES 3

/* Strings are copied; NULL means "". All but service are truncated to
 * TRAFFIC_NAME_BYTES - 1 bytes. */
typedef struct TrafficRequest {
    const char *service;
    const char *caller;
    const char *team;
    const char *kind;
    TrafficClass class;
    int64_t deadline_ms; /* absolute time */
    bool unrepeatable;
    uint64_t cookie; /* opaque value, returned in every action */
} TrafficRequest;

typedef enum TrafficTargetState {
    TRAFFIC_TARGET_OPEN,
    TRAFFIC_TARGET_SUSPECT, /* no heartbeats; used only if no other is left */
    TRAFFIC_TARGET_DRAINING,
    TRAFFIC_TARGET_LEAVING,
    TRAFFIC_TARGET_CLOSED /* being moved between pools */
} TrafficTargetState;

typedef struct TrafficTarget {
    const char *name; /* unique; identifies the target in later calls */
    const char *pool;
    const char *data_centre;
    const char *rack;
    uint64_t epoch; /* epoch of the assignment; returned in TRAFFIC_DISPATCH */
    TrafficTargetState state;
    uint32_t slots;       /* credited to this entry VM */
    uint32_t connections; /* credited to this entry VM */
    uint64_t cookie;
} TrafficTarget;

typedef struct TrafficService {
    const char *name;
    const char *pool;
    int64_t short_ms;   /* longest run time of short work; 0: default */
    uint32_t max_queue; /* limit on waiting requests of a class; 0: default */
} TrafficService;

typedef struct TrafficTeam {
    const char *name;
    uint32_t quota; /* attempts in flight from this entry VM; 0: unlimited */
} TrafficTeam;

typedef enum TrafficResultKind {
    TRAFFIC_OK,
    TRAFFIC_FAILED,      /* the target reported a failure */
    TRAFFIC_REFUSED,     /* the target reported that it did not run the work */
    TRAFFIC_UNREACHABLE, /* nothing was sent; counts against the target */
    TRAFFIC_LOST,        /* unknown whether it ran */
    TRAFFIC_TIMED_OUT    /* no response in time; unknown whether it ran */
} TrafficResultKind;

typedef struct TrafficResult {
    TrafficResultKind kind;
    int64_t run_us; /* from dispatch to response */
} TrafficResult;

#endif
