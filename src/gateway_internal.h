/*
 * NAME
 *     gateway_internal - types and functions private to the gateway module
 */
#ifndef COLTSFOOT_GATEWAY_INTERNAL_H
#define COLTSFOOT_GATEWAY_INTERNAL_H

#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include "burn.h"
#include "gateway.h"
#include "httpclient.h"
#include "httpserver.h"
#include "loop.h"
#include "registry.h"
#include "table.h"

#define GATEWAY_ID_BYTES 128
#define GATEWAY_MAX_REQUESTS 262144
#define GATEWAY_LOG_PREFIX "traffic"
#define GATEWAY_FORWARDED_HEADER "Coltsfoot-Forwarded"
#define GATEWAY_SINGLE_ATTEMPT_HEADER "Coltsfoot-Single-Attempt"
/* Value of a cookie's platform port that marks an entry VM in another data
 * centre. */
#define GATEWAY_REMOTE_PORT 0xffff

typedef struct GwThread {
    Gateway *gateway;
    size_t index;
    Loop *loop;
    HttpServer *server;
    HttpClient *client;
    LoopTimer *tick_timer; /* NULL in all threads but the first */
    apr_thread_t *thread;
} GwThread;

/* Request of a caller. Its thread frees it after the reply, once no call to a
 * target uses its body. */
typedef struct GwRequest {
    GwThread *thread;
    HttpRequest *http;
    Handle handle;  /* row in Gateway.requests */
    Handle traffic; /* request of the traffic module */
    char service[TRAFFIC_NAME_BYTES];
    char caller[GATEWAY_ID_BYTES];
    char id[GATEWAY_ID_BYTES];
    char team[TRAFFIC_NAME_BYTES];
    char kind[TRAFFIC_NAME_BYTES];
    char class[TRAFFIC_NAME_BYTES];
    char token[ONCE_TOKEN_BYTES]; /* empty for repeatable requests */
    /* True for an unrepeatable request from another entry VM, which keeps its
     * record: at most one attempt may run, and this node keeps no record. */
    bool single_attempt;
    bool forwarded; /* true if another entry VM sent it; not sent on again */
    Buf body;
    int64_t deadline_ms;
    int64_t received_us;
    int64_t wait_us; /* time to the first dispatch; -1 before it */
    const HttpCallResult *answer; /* set only within on_call_result() */
    uint32_t once_attempt; /* attempt number of the last Once_BeginAttempt */
    uint32_t call_count;   /* calls to targets in flight */
    struct GwCall *calls;
    bool replied;
} GwRequest;

struct Gateway {
    GatewayOptions options;
    apr_pool_t *pool;
    apr_thread_mutex_t *mutex; /* guards the members below except threads */
    Traffic *traffic;
    Once *once;
    Registry *registry;
    Burn *burn;
    Table *requests;     /* rows are GwRequest pointers */
    size_t active_count; /* admitted requests without a reply */
    bool ready;
    bool stopping;
    GwThread *threads;
    size_t thread_count;
};

/* Pending actions of the traffic module for the requests of one thread. */
typedef struct GwBatch {
    TrafficAction *items;
    size_t count;
    size_t capacity;
} GwBatch;

void Gw_Lock(Gateway *gateway);
void Gw_Unlock(Gateway *gateway);

/* Takes all pending actions of the traffic module. Posts those of other
 * threads' requests to these threads. Call with the lock held. */
void Gw_TakeActions(GwThread *self, GwBatch *batch);

/* Performs the actions and those that result from them, and frees the batch.
 * Call without the lock. */
void Gw_PerformActions(GwThread *self, GwBatch *batch);

/* Handles one HTTP request; arg is the GwThread. */
void Gw_HandleHttp(void *arg, HttpRequest *http);

/* Replies to a request with its outcome. */
void Gw_ReplyOutcome(GwRequest *request, TrafficOutcome outcome,
                     const char *reason, int64_t retry_ms);

/* Replies with an outcome and a JSON body. */
void Gw_ReplyJson(HttpRequest *http, int status, const char *id,
                  const char *outcome, const char *reason, int64_t retry_ms);

/* Replies with the answer of a target and the outcome "done". */
void Gw_ReplyBody(HttpRequest *http, const char *id, const char *body,
                  size_t len);

void Gw_FreeRequest(GwRequest *request);

#endif
