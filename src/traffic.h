/*
 * NAME
 *     traffic - admission, placement, retry and reply decisions for requests
 *
 * DESCRIPTION
 *     Combines the modules admit, route, class and retry for one entry VM.
 *     It does no I/O and reads no clock: every call takes the time in ms,
 *     which must not go backwards. After each call, Traffic_TakeAction has to
 *     be called until it returns false. Not thread-safe.
 *
 *     Life cycle of a request: Traffic_SubmitRequest queues it. When a target
 *     has a free slot, TRAFFIC_DISPATCH names the attempt and the target. For
 *     an unrepeatable request, TRAFFIC_RECORD_INTENT comes first and the
 *     dispatch follows Traffic_ReportIntent. The I/O layer calls
 *     Traffic_ReportResult exactly once for every dispatched attempt. Each
 *     accepted request gets exactly one TRAFFIC_REPLY, after which its handle
 *     is stale.
 *
 *     When a request ends (cancel, deadline) while an attempt runs,
 *     TRAFFIC_STOP names the attempt and the reply follows immediately. The
 *     slot stays taken until Traffic_ReportResult is called for the attempt,
 *     but at most for TRAFFIC_STOPPED_SLOT_TIMEOUT_MS. That call returns
 *     ST_STALE, and the response has to be discarded.
 *
 *     Guarantees: the outcome is TRAFFIC_NOT_RUN only if no attempt was
 *     dispatched or the targets refused every attempt without running it. An
 *     unrepeatable request has at most one attempt that may have run.
 */
#ifndef COLTSFOOT_TRAFFIC_H
#define COLTSFOOT_TRAFFIC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"
#include "table.h"
#include "traffic_types.h"

/* Time after which a stopped attempt without a result frees its slot. A target
 * that is still busy then refuses new work with "not run". */
#define TRAFFIC_STOPPED_SLOT_TIMEOUT_MS 30000

typedef enum TrafficActionKind {
    TRAFFIC_DISPATCH,
    TRAFFIC_RECORD_INTENT,
    TRAFFIC_REPLY,
    TRAFFIC_STOP,
    TRAFFIC_THROTTLE /* throttle the attempt, which keeps running */
} TrafficActionKind;

typedef enum TrafficOutcome {
    TRAFFIC_DONE, /* the attempt in the action returned a response */
    TRAFFIC_NOT_RUN,
    TRAFFIC_UNKNOWN,
    TRAFFIC_UNABLE,
    TRAFFIC_CANCELLED
} TrafficOutcome;

typedef enum TrafficReason {
    TRAFFIC_REASON_NONE,
    TRAFFIC_REASON_QUEUE_FULL,
    TRAFFIC_REASON_DEADLINE, /* cannot start or did not end in time */
    TRAFFIC_REASON_QUOTA,
    TRAFFIC_REASON_NO_TARGET,    /* the pool has no usable target */
    TRAFFIC_REASON_REFUSED,      /* too many refusals by targets */
    TRAFFIC_REASON_FAILED,       /* failed and not retried */
    TRAFFIC_REASON_LOST,         /* response lost and not retried */
    TRAFFIC_REASON_RETRY_BUDGET, /* retry budget exhausted */
    TRAFFIC_REASON_NO_INTENT,    /* the intent could not be recorded */
    TRAFFIC_REASON_SERVICE_REMOVED,
    TRAFFIC_REASON_UNABLE, /* failed on several different targets */
    TRAFFIC_REASON_CANCELLED
} TrafficReason;

typedef struct TrafficAction {
    TrafficActionKind kind;
    Handle request;
    uint64_t request_cookie;
    Handle attempt;          /* HANDLE_NONE if the action has none */
    uint32_t attempt_number; /* counted from 1 in each request */
    uint64_t target_cookie;
    uint64_t epoch;
    const char *target; /* valid until the targets are next changed */
    int64_t deadline_ms;
    TrafficOutcome outcome; /* set for TRAFFIC_REPLY */
    TrafficReason reason;
    bool may_have_run; /* set for TRAFFIC_REPLY */
    int64_t retry_ms;  /* wait before a resend after a refusal; else 0 */
} TrafficAction;

typedef struct TrafficOptions {
    const char *data_centre; /* own data centre, preferred in routing */
    uint64_t seed;
    uint32_t max_requests; /* limit on waiting and running requests */
    uint32_t queue_limit;  /* default of TrafficService.max_queue */
    int64_t short_ms;      /* default of TrafficService.short_ms */
    uint32_t long_share_percent;
    uint32_t retry_percent;  /* retries per 100 requests; see retry.h */
    uint32_t unable_targets; /* failed targets that end a request */
} TrafficOptions;

#define TRAFFIC_OPTIONS_DEFAULT                                               \
    {                                                                         \
        "", 1, 262144, 4096, 1000, 50, 10, 3                                  \
    }

/* Counters since the start and the current load. */
typedef struct TrafficStats {
    uint64_t submitted;
    uint64_t dispatched;
    uint64_t retried;
    uint64_t replies[TRAFFIC_CANCELLED + 1]; /* by TrafficOutcome */
    uint64_t dropped_results;
    uint64_t evictions;
    uint32_t waiting; /* requests without a running attempt */
    uint32_t running; /* attempts that hold a slot, including stopped ones */
    uint32_t slots;   /* credited slots of usable targets */
    uint32_t slots_held; /* slots held by attempts and pending intents */
} TrafficStats;

typedef struct Traffic Traffic;

/* Copies the options. Returns NULL if memory is exhausted. */
Traffic *Traffic_New(const TrafficOptions *options);
void Traffic_Free(Traffic *t);

/* Replaces the services; the pool of a known service may change. Waiting
 * requests of a removed service get a reply. Returns ST_INVALID and changes
 * nothing if a name is empty or too long. */
Status Traffic_SetServices(Traffic *t, int64_t now_ms,
                           const TrafficService *services, size_t count);

/* Replaces the quotas of teams; a team that is not listed has none. */
Status Traffic_SetTeams(Traffic *t, int64_t now_ms, const TrafficTeam *teams,
                        size_t count);

/* Replaces the targets of all pools. A target whose name was listed before
 * keeps its load and its history. A target that is no longer listed gets no
 * new work. Returns ST_INVALID and changes nothing if a name is empty, too
 * long or repeated. */
Status Traffic_SetTargets(Traffic *t, int64_t now_ms,
                          const TrafficTarget *targets, size_t count);

/* Adds or changes one target, at a cost independent of the number of targets.
 * Returns ST_INVALID if a name is empty or too long. */
Status Traffic_PutTarget(Traffic *t, int64_t now_ms,
                         const TrafficTarget *target);

/* Removes one target; its attempts continue. Returns ST_NOT_FOUND if the
 * target is not listed. */
Status Traffic_RemoveTarget(Traffic *t, const char *name);

/* Accepts a request and stores its handle. The request gets exactly one
 * TRAFFIC_REPLY, also when it is refused for queue length, quota or deadline.
 * Returns ST_NOT_FOUND if the service is unknown and ST_FULL if max_requests
 * are held; then no action follows and nothing has run. */
Status Traffic_SubmitRequest(Traffic *t, int64_t now_ms,
                             const TrafficRequest *request, Handle *out);

/* Reports the result of an attempt. Returns ST_OK if the result was used:
 * TRAFFIC_OK then leads to a TRAFFIC_REPLY with TRAFFIC_DONE for this attempt.
 * Returns ST_STALE if the request has ended; then discard the response. */
Status Traffic_ReportResult(Traffic *t, int64_t now_ms, Handle attempt,
                            TrafficResult result);

/* Reports whether the intent of an unrepeatable request was recorded. Returns
 * ST_STALE if the request has ended. */
Status Traffic_ReportIntent(Traffic *t, int64_t now_ms, Handle request,
                            bool ok);

/* Cancels a request, in O(1) apart from the actions that follow. Returns
 * ST_STALE if the request has ended. */
Status Traffic_CancelRequest(Traffic *t, int64_t now_ms, Handle request);

/* Ends requests past their deadline, reclassifies and throttles running work,
 * and starts waiting requests. Must be called at least every 100 ms. */
void Traffic_Tick(Traffic *t, int64_t now_ms);

/* Removes the next pending action and stores it. Returns false if there is
 * none. */
bool Traffic_TakeAction(Traffic *t, TrafficAction *action);

void Traffic_GetStats(const Traffic *t, TrafficStats *stats);

/* Returns the number of attempts of this entry VM that hold a slot of the
 * target. */
uint32_t Traffic_GetTargetInFlight(const Traffic *t, const char *target);

/* Load of one pool as seen by this entry VM. */
typedef struct TrafficPoolLoad {
    uint32_t waiting;
    uint32_t running;
} TrafficPoolLoad;

/* Stores zeros for a pool without targets and services. */
void Traffic_GetPoolLoad(Traffic *t, const char *pool, TrafficPoolLoad *load);

/* Returns a fixed lower-case word such as "not-run". */
const char *Traffic_GetOutcomeName(TrafficOutcome outcome);

/* Returns a short English description. */
const char *Traffic_GetReasonText(TrafficReason reason);

#endif
