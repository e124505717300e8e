/*
 * NAME
 *     gateway_internal - shared by the files of the gateway module
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
#define GATEWAY_PART "traffic"
#define GATEWAY_FORWARD_HEADER "Coltsfoot-Forwarded"
#define GATEWAY_SINGLE_HEADER "Coltsfoot-Single-Attempt"
/* In place of a platform port: the cookie names an entry VM elsewhere. */
#define GATEWAY_REMOTE_MARK 0xffff

typedef struct GwThread {
    Gateway *gateway;
    size_t index;
    Loop *loop;
    HttpServer *server;
    HttpClient *client;
    LoopTimer *tick;
    apr_thread_t *thread;
} GwThread;

/* One request of a caller. Freed by its thread after the reply, once no call
 * to a target uses its body. */
typedef struct GwRequest {
    GwThread *thread;
    HttpRequest *http;
    Handle self;
    Handle traffic;
    char service[TRAFFIC_NAME_BYTES];
    char caller[GATEWAY_ID_BYTES];
    char id[GATEWAY_ID_BYTES];
    char team[TRAFFIC_NAME_BYTES];
    char kind[TRAFFIC_NAME_BYTES];
    char class[TRAFFIC_NAME_BYTES];
    char token[ONCE_TOKEN_BYTES]; /* empty for repeatable requests */
    /* Sent by the home of a token, which has recorded the intent: one attempt
     * that may run, and no record here. */
    bool single_attempt;
    bool forwarded; /* by another entry VM; not passed on again */
    Buf body;
    int64_t deadline_ms;
    int64_t received_us;
    int64_t waited_us;            /* until the first dispatch */
    const HttpCallResult *answer; /* during the callback of its call */
    uint32_t once_attempt;        /* of the last dispatch */
    uint32_t calls;
    bool replied;
} GwRequest;

struct Gateway {
    GatewayOptions options;
    apr_pool_t *pool;
    apr_thread_mutex_t *mutex; /* guards all below but threads */
    Traffic *traffic;
    Once *once;
    Registry *registry;
    Burn *burn;
    Table *requests; /* rows are GwRequest pointers */
    size_t active;
    bool ready;
    bool stopping;
    GwThread *threads;
    size_t thread_count;
};

/* Actions taken from the core by one thread for its own requests. */
typedef struct GwBatch {
    TrafficAction *items;
    size_t count;
    size_t capacity;
} GwBatch;

void Gw_Lock(Gateway *gateway);
void Gw_Unlock(Gateway *gateway);

/* Takes all actions of the core; those of other threads are posted to them.
 * Call with the lock held. */
void Gw_Drain(GwThread *self, GwBatch *batch);

/* Performs the actions and those that follow from them. Call without the
 * lock; frees the batch. */
void Gw_Perform(GwThread *self, GwBatch *batch);

/* Handles one HTTP request; arg is the GwThread. */
void Gw_HandleHttp(void *arg, HttpRequest *http);

/* Answers a request and ends it. */
void Gw_ReplyOutcome(GwRequest *request, TrafficOutcome outcome,
                     const char *reason, int64_t retry_ms);

/* Answers HTTP with an outcome and a JSON body. */
void Gw_ReplyRefusal(HttpRequest *http, int status, const char *id,
                     const char *outcome, const char *reason,
                     int64_t retry_ms);

void Gw_ReplyAnswer(HttpRequest *http, const char *id, const char *body,
                    size_t len);

void Gw_FreeRequest(GwRequest *request);

#endif
