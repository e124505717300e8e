/*
 * NAME
 *     gateway - traffic threads: callers in front, targets behind
 *
 * DESCRIPTION
 *     Each traffic thread runs an event loop with an HTTP server that shares
 *     the traffic address, and an HTTP client. The decisions (traffic, once,
 *     registry) are shared by all threads under one mutex; a request belongs
 *     to the thread that received it. The control thread publishes views.
 */
#ifndef COLTSFOOT_GATEWAY_H
#define COLTSFOOT_GATEWAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "buf.h"
#include "once.h"
#include "settings.h"
#include "status.h"
#include "traffic.h"

typedef struct Gateway Gateway;

/* The service-level objective of a service; 0 for none. */
typedef struct GatewayObjective {
    int64_t slo_ms;
    double slo_percent;
} GatewayObjective;

/* What the control thread publishes; immutable once published. */
typedef struct GatewayView {
    TrafficService *services;
    GatewayObjective *objectives; /* one for each service */
    size_t service_count;
    TrafficTeam *teams;
    size_t team_count;
    TrafficTarget *targets; /* cookie: Gateway_PackTarget or _PackRemote */
    size_t target_count;
    apr_pool_t *pool;  /* storage of all of this */
    uint64_t sequence; /* told to GatewayHooks.view_applied */
} GatewayView;

/* Calls of the traffic threads into the control thread; each implementation
 * must be callable from any thread. */
typedef struct GatewayHooks {
    void *arg;
    /* Records the intent elsewhere, then Gateway_IntentRecorded(cookie). */
    void (*record_intent)(void *arg, uint64_t cookie, const char *record,
                          size_t len);
    void (*record_outcome)(void *arg, const char *record, size_t len);
    /* From here on no dispatch follows an older view. */
    void (*view_applied)(void *arg, uint64_t sequence);
} GatewayHooks;

typedef struct GatewayOptions {
    const Settings *settings;
    uint64_t incarnation;
    uint64_t seed;
    GatewayHooks hooks;
} GatewayOptions;

Gateway *Gateway_New(const GatewayOptions *options, ErrCtx *err);

/* Starts the threads and listens. */
Status Gateway_Start(Gateway *gateway, ErrCtx *err);

/* Publishes a view and takes over its pool. */
void Gateway_Publish(Gateway *gateway, GatewayView *view);

/* Opens or closes the gateway for callers; closed until the node has caught
 * up with the configuration. */
void Gateway_SetReady(Gateway *gateway, bool ready);

/* Answers GatewayHooks.record_intent. */
void Gateway_IntentRecorded(Gateway *gateway, uint64_t cookie, bool ok);

/* Keeps a record of another home; see Once_HoldIntent, Once_HoldOutcome. */
Status Gateway_HoldIntent(Gateway *gateway, const char *record, size_t len);
Status Gateway_HoldOutcome(Gateway *gateway, const char *record, size_t len);

/* Recovers records of earlier incarnations before Gateway_Start. */
Status Gateway_RecoverOnce(Gateway *gateway, const char *bytes, size_t len,
                           OnceRecovery *out, ErrCtx *err);

/* Stops listening and refuses new requests as not run; requests in flight go
 * on. */
void Gateway_BeginShutdown(Gateway *gateway);

/* Returns the count of requests without an answer. */
size_t Gateway_Active(Gateway *gateway);

void Gateway_GetStats(Gateway *gateway, TrafficStats *stats);

/* Returns the attempts in flight from this entry VM to a target. */
uint32_t Gateway_TargetInFlight(Gateway *gateway, const char *target);
void Gateway_GetPoolLoad(Gateway *gateway, const char *pool,
                         TrafficPoolLoad *load);

/* Returns the highest burn rate of a service over the short window. */
double Gateway_HighestBurn(Gateway *gateway);

typedef enum GatewayFormat {
    GATEWAY_TEXT,
    GATEWAY_JSON,
    GATEWAY_HTML
} GatewayFormat;

/* Appends the report on service-level burn. */
void Gateway_ReportBurn(Gateway *gateway, GatewayFormat format, Buf *out);

/* Stops the threads; what is still in flight is cut off. */
void Gateway_StopThreads(Gateway *gateway);
void Gateway_Free(Gateway *gateway);

/* Packs the address of a target into a cookie, with the port of its platform
 * interface on the same host; 0 for none. */
uint64_t Gateway_PackTarget(const SettingsAddress *address, int platform_port);

/* Packs the address of an entry VM in another data centre, which serves work
 * of pools that have no VM in this one. */
uint64_t Gateway_PackRemote(const SettingsAddress *address);

#endif
