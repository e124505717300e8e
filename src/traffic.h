/*
 * NAME
 *     traffic - decisions on requests: admit, place, retry, reply
 *
 * DESCRIPTION
 *     Combines admit, route, class and retry for one entry VM. The module
 *     does no I/O and reads no clock: every call takes the time in ms, which
 *     must not go backwards. Decisions are taken with Traffic_NextAction
 *     after each call until it returns false. Not thread-safe.
 *
 *     Life of a request: Traffic_Submit queues it. When a target has a free
 *     slot, TRAFFIC_DISPATCH names attempt and target (for an unrepeatable
 *     request TRAFFIC_RECORD_INTENT comes first, and the dispatch follows
 *     Traffic_IntentRecorded). The I/O layer answers every dispatch with
 *     exactly one Traffic_Answer. Each accepted request gets exactly one
 *     TRAFFIC_REPLY, after which its handle is stale.
 *
 *     When a request ends (cancel, deadline) while an attempt runs,
 *     TRAFFIC_STOP names the attempt and the reply follows at once. The slot
 *     stays taken until Traffic_Answer is called for the attempt, which then
 *     returns ST_STALE, or for TRAFFIC_STOPPED_HOLD_MS. The answer has to be
 *     dropped.
 *
 *     Honesty: TRAFFIC_NOT_RUN is only used if no attempt was dispatched or
 *     every attempt was refused by its target as not run. An unrepeatable
 *     request has at most one attempt that may have run.
 */
#ifndef COLTSFOOT_TRAFFIC_H
#define COLTSFOOT_TRAFFIC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"
#include "table.h"
#include "traffic_types.h"

/* A stopped attempt whose answer never comes frees its slot after this time;
 * a target that is still busy then refuses with "not run". */
#define TRAFFIC_STOPPED_HOLD_MS 30000

typedef enum TrafficActionKind {
    TRAFFIC_DISPATCH,
    TRAFFIC_RECORD_INTENT,
    TRAFFIC_REPLY,
    TRAFFIC_STOP,
    TRAFFIC_THROTTLE
} TrafficActionKind;

typedef enum TrafficOutcome {
    TRAFFIC_DONE, /* the answer of the attempt named in the action */
    TRAFFIC_NOT_RUN,
    TRAFFIC_UNKNOWN,
    TRAFFIC_UNABLE,
    TRAFFIC_CANCELLED
} TrafficOutcome;

typedef enum TrafficReason {
    TRAFFIC_REASON_NONE,
    TRAFFIC_REASON_QUEUE_FULL,
    TRAFFIC_REASON_DEADLINE, /* cannot start, or did not end, in time */
    TRAFFIC_REASON_QUOTA,
    TRAFFIC_REASON_NO_TARGET,    /* the pool has no usable target */
    TRAFFIC_REASON_REFUSED,      /* too many refusals by targets */
    TRAFFIC_REASON_FAILED,       /* failed and not retried */
    TRAFFIC_REASON_LOST,         /* answer lost and not retried */
    TRAFFIC_REASON_RETRY_BUDGET, /* retry budget spent */
    TRAFFIC_REASON_NO_INTENT,    /* the intent could not be recorded */
    TRAFFIC_REASON_SERVICE_REMOVED,
    TRAFFIC_REASON_UNABLE, /* failed on several different targets */
    TRAFFIC_REASON_CANCELLED
} TrafficReason;

typedef struct TrafficAction {
    TrafficActionKind kind;
    Handle request;
    uint64_t request_cookie;
    Handle attempt;          /* HANDLE_NONE if no attempt is concerned */
    uint32_t attempt_number; /* from 1 in each request */
    uint64_t target_cookie;
    uint64_t epoch;
    const char *target; /* valid until targets are set or put */
    int64_t deadline_ms;
    TrafficOutcome outcome; /* of TRAFFIC_REPLY */
    TrafficReason reason;
    bool may_have_run; /* of TRAFFIC_REPLY */
    int64_t retry_ms;  /* of a refusal: wait before a resend; else 0 */
} TrafficAction;

typedef struct TrafficOptions {
    const char *data_centre; /* of this entry VM; preferred in routing */
    uint64_t seed;
    uint32_t max_requests; /* waiting and running */
    uint32_t queue_limit;  /* default of TrafficService.max_queue */
    int64_t short_ms;      /* default of TrafficService.short_ms */
    uint32_t long_share_percent;
    uint32_t retry_percent;
    uint32_t unable_targets;
} TrafficOptions;

#define TRAFFIC_OPTIONS_DEFAULT                                               \
    {                                                                         \
        "", 1, 262144, 4096, 1000, 50, 10, 3                                  \
    }

/* Counters since the start, and the present load. */
typedef struct TrafficStats {
    uint64_t submitted;
    uint64_t dispatched;
    uint64_t retried;
    uint64_t replies[TRAFFIC_CANCELLED + 1]; /* by TrafficOutcome */
    uint64_t dropped_answers;
    uint64_t evictions;
    uint32_t waiting;    /* requests without a running attempt */
    uint32_t running;    /* attempts that hold a slot, stopped ones included */
    uint32_t slots;      /* credited, of usable targets */
    uint32_t slots_held; /* of these: attempts and intents */
} TrafficStats;

typedef struct Traffic Traffic;

/* Copies the options. Returns NULL without memory. */
Traffic *Traffic_New(const TrafficOptions *options);
void Traffic_Free(Traffic *t);

/* Replaces the services; the pool of a known service may change. Requests
 * waiting for a removed service get a reply. Returns ST_INVALID for an empty
 * or overlong name, and then changes nothing. */
Status Traffic_SetServices(Traffic *t, int64_t now_ms,
                           const TrafficService *services, size_t count);

/* Replaces the quotas of teams; a team that is not listed has none. */
Status Traffic_SetTeams(Traffic *t, int64_t now_ms, const TrafficTeam *teams,
                        size_t count);

/* Replaces the targets of all pools; a target keeps its load and its history
 * by name. A target that is no longer listed gets no new work. Returns
 * ST_INVALID for an empty, overlong or repeated name, and then changes
 * nothing. */
Status Traffic_SetTargets(Traffic *t, int64_t now_ms,
                          const TrafficTarget *targets, size_t count);

/* Adds or changes one target at a cost that does not grow with their number.
 * Returns ST_INVALID for an empty or overlong name. */
Status Traffic_PutTarget(Traffic *t, int64_t now_ms,
                         const TrafficTarget *target);

/* Removes one target; its attempts run on. ST_NOT_FOUND if not listed. */
Status Traffic_DropTarget(Traffic *t, const char *name);

/* Accepts a request, which will get exactly one TRAFFIC_REPLY (refusals by
 * queue length, quota or deadline included), and stores its handle.
 * Otherwise no action follows and nothing has run: ST_NOT_FOUND for an
 * unknown service, ST_FULL when max_requests are held. */
Status Traffic_Submit(Traffic *t, int64_t now_ms,
                      const TrafficRequest *request, Handle *out);

/* Reports the result of an attempt. Returns ST_OK when it was used: a
 * TRAFFIC_OK then gives TRAFFIC_REPLY with TRAFFIC_DONE for this attempt.
 * ST_STALE when the request has ended, and the answer has to be dropped. */
Status Traffic_Answer(Traffic *t, int64_t now_ms, Handle attempt,
                      TrafficResult result);

/* Reports whether the intent of an unrepeatable request was recorded.
 * ST_STALE when the request has ended. */
Status Traffic_IntentRecorded(Traffic *t, int64_t now_ms, Handle request,
                              bool ok);

/* Cancels a request: O(1) but for the actions. ST_STALE when it has ended. */
Status Traffic_Cancel(Traffic *t, int64_t now_ms, Handle request);

/* Ends requests past their deadline, reclassifies running work and starts
 * what has become possible. Call it at least every 100 ms. */
void Traffic_Tick(Traffic *t, int64_t now_ms);

/* Takes the next action; false when there is none. */
bool Traffic_NextAction(Traffic *t, TrafficAction *action);

void Traffic_GetStats(const Traffic *t, TrafficStats *stats);

/* Returns the attempts of this entry VM that hold a slot of a target. */
uint32_t Traffic_TargetInFlight(const Traffic *t, const char *target);

/* The load that this entry VM sees of one pool. */
typedef struct TrafficPoolLoad {
    uint32_t waiting;
    uint32_t running;
} TrafficPoolLoad;

/* Returns zeros for a pool without targets and services. */
void Traffic_GetPoolLoad(Traffic *t, const char *pool, TrafficPoolLoad *load);

/* Returns a fixed lower-case word such as "not-run". */
const char *Traffic_OutcomeName(TrafficOutcome outcome);

/* Returns a short English text for people. */
const char *Traffic_ReasonText(TrafficReason reason);

#endif
