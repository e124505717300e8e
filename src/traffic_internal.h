/*
 * NAME
 *     traffic_internal - state of traffic, shared by its source files
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
    REQUEST_WAITING,  /* in admit */
    REQUEST_DEFERRED, /* waits for a target that it was not tried on */
    REQUEST_INTENT,   /* holds a slot; nothing sent */
    REQUEST_RUNNING
} RequestState;

typedef struct RequestRow {
    Handle self;
    Handle attempt; /* while running */
    uint64_t cookie;
    uint64_t caller;
    uint64_t team;
    uint64_t kind; /* key in class */
    int64_t deadline_ms;
    int64_t expected_us;
    uint64_t epoch; /* of target */
    uint32_t service;
    uint32_t pool;
    uint32_t target; /* while a slot is held */
    uint32_t attempts;
    uint32_t maybe_ran; /* attempts not refused by their target */
    RetryState retry;
    uint8_t state;    /* RequestState */
    uint8_t class;    /* TrafficClass of the queue */
    uint8_t declared; /* TrafficClass */
    bool unrepeatable;
    bool intent_recorded;
    bool is_long; /* how the slot is counted */
} RequestRow;

typedef struct AttemptRow {
    Handle self;
    Handle request;
    Handle prev; /* running short work of the service, oldest first */
    Handle next;
    uint64_t kind;
    int64_t started_ms;
    int64_t expected_us;
    uint32_t service;
    uint32_t pool;
    uint32_t target;
    uint32_t team; /* from Admit_Detach, once stopped */
    bool is_long;
    bool linked;
    bool throttled;
    bool outlived; /* was reclassified */
    bool stopped;  /* the request has ended */
} AttemptRow;

typedef struct ServiceRow {
    char name[TRAFFIC_NAME_BYTES];
    uint32_t pool;
    uint32_t max_queue;
    int64_t short_us;
    bool listed;
    RetryBudget budget;
    Handle first; /* running short work */
    Handle last;
} ServiceRow;

typedef struct HandleList {
    Handle *items;
    uint32_t count;
    uint32_t capacity;
} HandleList;

/* Requests set aside and attempts that outlived their class. */
typedef struct PoolRow {
    HandleList deferred;
    HandleList outlived;
    int64_t started_us[TRAFFIC_CLASSES]; /* expected, since the last tick */
    double rate[TRAFFIC_CLASSES];        /* see AdmitLimits */
    int64_t rated_ms;
    double short_peak; /* slots that short work needed of late */
    int64_t peak_ms;
} PoolRow;

struct Traffic {
    TrafficOptions options;
    Route *route;
    Admit *admit;
    Class *class;
    Table *requests;
    Table *attempts;
    Handle *by_id; /* request handles by index */
    uint32_t by_id_capacity;
    Handle *attempt_by_id;
    uint32_t attempt_by_id_capacity;
    Wheel *deadlines; /* of requests, by index */
    Wheel *holds;     /* of stopped attempts, by index */
    Keymap *service_names;
    ServiceRow *services;
    uint32_t service_count;
    PoolRow *pools;
    uint32_t pool_count;
    TrafficAction *actions; /* ring */
    uint32_t action_first;
    uint32_t action_count;
    uint32_t action_capacity;
    uint32_t stopped; /* attempts whose request has ended */
    TrafficStats stats;
};

/* Appends an action and returns it, filled in for the request. */
TrafficAction *TrafficRun_Emit(Traffic *t, TrafficActionKind kind,
                               const RequestRow *request);

/* Adds the reply and frees the request, which must hold no slot. */
void TrafficRun_Reply(Traffic *t, RequestRow *request, TrafficOutcome outcome,
                      TrafficReason reason, int64_t retry_ms);

/* Ends a request in any state: the outcome is "not run" if that is certain,
 * otherwise "unknown", unless the reason is a cancellation. */
void TrafficRun_End(Traffic *t, int64_t now_ms, RequestRow *request,
                    TrafficReason reason);

/* Fills in a piece of work for admit. */
void TrafficRun_Work(const Traffic *t, const RequestRow *request,
                     AdmitWork *work);

/* Starts waiting requests of a pool while slots are free. */
void TrafficRun_Pump(Traffic *t, int64_t now_ms, uint32_t pool);

/* Puts the requests set aside back into the queues. */
void TrafficRun_Resume(Traffic *t, uint32_t pool);

/* Sends a request whose intent is recorded to the target that it holds. */
void TrafficRun_SendHeld(Traffic *t, int64_t now_ms, RequestRow *request);

/* Frees the slot of a request that was not sent. */
void TrafficRun_Unhold(Traffic *t, RequestRow *request);

void HandleList_Push(HandleList *list, Handle handle);

/* Takes an attempt out of the running short work of its service. */
void TrafficRun_UnlinkRunning(Traffic *t, AttemptRow *attempt);

/* Frees the attempt and its slot. */
void TrafficRun_AttemptEnd(Traffic *t, AttemptRow *attempt);

PoolRow *TrafficRun_Pool(Traffic *t, uint32_t pool);

/* Returns the class and the expected run time by what is known now. */
void TrafficRun_Estimate(Traffic *t, int64_t now_ms, RequestRow *request);

#endif
