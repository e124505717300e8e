/*
 * NAME
 *     gateway - traffic threads between callers and targets
 *
 * DESCRIPTION
 *     Each traffic thread runs an event loop with an HTTP client and an HTTP
 *     server; all servers listen on the same traffic address. One mutex guards
 *     the state of the traffic, once and registry modules, which all threads
 *     share. A request belongs to the thread that received it. The control
 *     thread publishes the configuration of services, teams and targets as a
 *     GatewayView.
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

/* Service-level objective of a service; slo_ms is 0 if it has none. */
typedef struct GatewayObjective {
    int64_t slo_ms;
    double slo_percent;
} GatewayObjective;

/* Services, teams and targets as published by the control thread. Immutable
 * once published. */
typedef struct GatewayView {
    TrafficService *services;
    GatewayObjective *objectives; /* one per service */
    size_t service_count;
    TrafficTeam *teams;
    size_t team_count;
    /* Cookies come from Gateway_PackTarget and Gateway_PackRemote. */
    TrafficTarget *targets;
    size_t target_count;
    apr_pool_t *pool;  /* memory of the view and all its arrays */
    uint64_t sequence; /* argument of GatewayHooks.view_applied */
} GatewayView;

/* Callbacks from the traffic threads to the control thread. Each must be safe
 * to call from any thread. */
typedef struct GatewayHooks {
    void *arg;
    /* Records the intent in the local log or on another entry VM, then calls
     * Gateway_ReportIntent with the cookie. */
    void (*record_intent)(void *arg, uint64_t cookie, const char *record,
                          size_t len);
    /* Records the outcome of an unrepeatable request. */
    void (*record_outcome)(void *arg, const char *record, size_t len);
    /* Reports that no later dispatch uses an older view. */
    void (*view_applied)(void *arg, uint64_t sequence);
} GatewayHooks;

typedef struct GatewayOptions {
    const Settings *settings;
    uint64_t incarnation;
    uint64_t seed;
    GatewayHooks hooks;
} GatewayOptions;

Gateway *Gateway_New(const GatewayOptions *options, ErrCtx *err);

/* Opens the listening sockets and starts the traffic threads. */
Status Gateway_Start(Gateway *gateway, ErrCtx *err);

/* Publishes a view and takes ownership of its pool. */
void Gateway_PublishView(Gateway *gateway, GatewayView *view);

/* Sets whether the gateway accepts requests. It refuses them until the node
 * has caught up with the configuration. */
void Gateway_SetReady(Gateway *gateway, bool ready);

/* Reports whether GatewayHooks.record_intent recorded the intent. */
void Gateway_ReportIntent(Gateway *gateway, uint64_t cookie, bool recorded);

/* Stores a record of another entry VM; see Once_HoldIntent and
 * Once_HoldOutcome. */
Status Gateway_HoldIntent(Gateway *gateway, const char *record, size_t len);
Status Gateway_HoldOutcome(Gateway *gateway, const char *record, size_t len);

/* Reads the records of earlier incarnations. Call before Gateway_Start. */
Status Gateway_RecoverRecords(Gateway *gateway, const char *bytes, size_t len,
                              OnceRecovery *out, ErrCtx *err);

/* Stops listening and refuses new requests with "not run". Requests in flight
 * continue. */
void Gateway_BeginShutdown(Gateway *gateway);

/* Returns the number of admitted requests that have no reply yet. */
size_t Gateway_CountActive(Gateway *gateway);

void Gateway_GetStats(Gateway *gateway, TrafficStats *stats);

/* Returns the number of attempts in flight from this entry VM to a target. */
uint32_t Gateway_GetTargetInFlight(Gateway *gateway, const char *target);
void Gateway_GetPoolLoad(Gateway *gateway, const char *pool,
                         TrafficPoolLoad *load);

/* Returns the highest burn rate of any service over the short window. */
double Gateway_GetHighestBurn(Gateway *gateway);

typedef enum GatewayFormat {
    GATEWAY_TEXT,
    GATEWAY_JSON,
    GATEWAY_HTML
} GatewayFormat;

/* Appends the report on burn rates of the service-level objectives. */
void Gateway_ReportBurn(Gateway *gateway, GatewayFormat format, Buf *out);

/* Stops the traffic threads. Requests still in flight get no reply. */
void Gateway_StopThreads(Gateway *gateway);
void Gateway_Free(Gateway *gateway);

/* Packs the address of a target and the port of the platform interface on the
 * same host into a cookie. The platform port is 0 if there is none. */
uint64_t Gateway_PackTarget(const SettingsAddress *address, int platform_port);

/* Packs the address of an entry VM in another data centre into a cookie. That
 * entry VM runs requests of pools that have no VM in this data centre. */
uint64_t Gateway_PackRemote(const SettingsAddress *address);

#endif
