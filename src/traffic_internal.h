/*
 * NAME
 *     traffic_internal - state shared by the source files of traffic
 */
#ifndef COLTSFOOT_TRAFFIC_INTERNAL_H
#define COLTSFOOT_TRAFFIC_INTERNAL_H

#include "admit.h"
#include "class.h"
#include "keymap.h"
#include "retry.h"
#include "route.h"
#include "traffic.h"
#include "wheel.h"

typedef enum RequestState {
    REQUEST_WAITING,        /* queued in admit */
    REQUEST_DEFERRED,       /* in no queue and without a slot */
    REQUEST_INTENT_PENDING, /* holds a slot; its intent is being recorded */
    REQUEST_RUNNING
} RequestState;

typedef struct RequestRow {
    Handle self;
    Handle attempt; /* set while running */
    uint64_t cookie;
    uint64_t caller;
    uint64_t team;
    uint64_t kind; /* key in Traffic.class */
    int64_t deadline_ms;
    int64_t expected_us;
    uint64_t epoch; /* assignment epoch of the target */
    uint32_t service;
    uint32_t pool;
    uint32_t target; /* set while a slot is held */
    uint32_t attempts;
    uint32_t possible_runs; /* attempts not refused by their target */
    RetryState retry;
    uint8_t state;    /* RequestState */
    uint8_t class;    /* TrafficClass of the queue */
    uint8_t declared; /* TrafficClass declared by the caller */
    bool unrepeatable;
    bool intent_recorded;
    bool is_long; /* its slot counts as one of long work */
} RequestRow;

typedef struct AttemptRow {
    Handle self;
    Handle request;
    Handle prev; /* neighbours in the list of running short work */
    Handle next;
    uint64_t kind;
    int64_t started_ms;
    int64_t expected_us;
    uint32_t service;
    uint32_t pool;
    uint32_t target;
    uint32_t team; /* value of Admit_DetachWork; set once stopped */
    bool is_long;
    bool linked; /* in the list of running short work */
    bool throttled;
    bool reclassified; /* started as short work, now counts as long */
    bool stopped;      /* the request has ended */
} AttemptRow;

typedef struct ServiceRow {
    char name[TRAFFIC_NAME_BYTES];
    uint32_t pool;
    uint32_t max_queue;
    int64_t short_us;
    bool listed;
    RetryBudget budget;
    Handle first_running; /* oldest attempt of running short work */
    Handle last_running;  /* newest attempt of running short work */
} ServiceRow;

typedef struct HandleList {
    Handle *items;
    uint32_t count;
    uint32_t capacity;
} HandleList;

typedef struct PoolRow {
    HandleList deferred;     /* requests in REQUEST_DEFERRED */
    HandleList reclassified; /* attempts not throttled yet */
    /* Expected run time of the work started since rates_updated_ms. */
    int64_t started_us[TRAFFIC_CLASSES];
    double service_rate[TRAFFIC_CLASSES]; /* see AdmitLimits */
    int64_t rates_updated_ms;
    double short_peak; /* decaying peak of the slots needed by short work */
    int64_t peak_updated_ms;
} PoolRow;

struct Traffic {
    TrafficOptions options;
    Route *route;
    Admit *admit;
    Class *class;
    Table *requests;
    Table *attempts;
    Handle *request_handles; /* request handles by index in requests */
    uint32_t request_handle_capacity;
    Handle *attempt_handles; /* attempt handles by index in attempts */
    uint32_t attempt_handle_capacity;
    Wheel *deadlines;     /* deadlines of requests, by index */
    Wheel *stop_timeouts; /* slot timeouts of stopped attempts, by index */
    Keymap *service_names;
    ServiceRow *services;
    uint32_t service_count;
    PoolRow *pools;
    uint32_t pool_count;
    TrafficAction *actions; /* ring buffer */
    uint32_t action_first;
    uint32_t action_count;
    uint32_t action_capacity;
    uint32_t stopped; /* attempts whose request has ended */
    TrafficStats stats;
};

/* Appends an action, fills it in from the request and returns it. */
TrafficAction *TrafficRun_AddAction(Traffic *t, TrafficActionKind kind,
                                    const RequestRow *request);

/* Appends the reply and frees the request, which must hold no slot. */
void TrafficRun_SendReply(Traffic *t, RequestRow *request,
                          TrafficOutcome outcome, TrafficReason reason,
                          int64_t retry_ms);

/* Ends a request in any state. Unless the reason is a cancellation, the
 * outcome is "not run" if that is certain and "unknown" otherwise. */
void TrafficRun_EndRequest(Traffic *t, int64_t now_ms, RequestRow *request,
                           TrafficReason reason);

/* Fills in the work of a request for admit. */
void TrafficRun_FillWork(const Traffic *t, const RequestRow *request,
                         AdmitWork *work);

/* Starts waiting requests of a pool while slots are free. */
void TrafficRun_StartWaiting(Traffic *t, int64_t now_ms, uint32_t pool);

/* Puts the deferred requests of a pool back into the queues. */
void TrafficRun_RequeueDeferred(Traffic *t, uint32_t pool);

/* Dispatches a request whose intent is recorded to the target whose slot it
 * holds, or requeues it if that target takes no more work. */
void TrafficRun_DispatchRecorded(Traffic *t, int64_t now_ms,
                                 RequestRow *request);

/* Frees the slot of a request that was not dispatched. */
void TrafficRun_ReleaseSlot(Traffic *t, RequestRow *request);

void HandleList_Push(HandleList *list, Handle handle);

/* Removes an attempt from its service's list of running short work. */
void TrafficRun_UnlinkAttempt(Traffic *t, AttemptRow *attempt);

/* Frees the attempt and its slot. */
void TrafficRun_FreeAttempt(Traffic *t, AttemptRow *attempt);

PoolRow *TrafficRun_GetPool(Traffic *t, uint32_t pool);

/* Sets the class and the expected run time of a request from the run times
 * known so far. */
void TrafficRun_UpdateEstimate(Traffic *t, int64_t now_ms,
                               RequestRow *request);

#endif
