#include "gateway_internal.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "mem.h"
#include "rng.h"

#define GATEWAY_TICK_MS 20
#define GATEWAY_IDLE_TIMEOUT_S 120
/* Sixteenths of the descriptors of the process for connections of callers. The
 * threads divide them and max_open_bytes equally. */
#define CALLER_SHARE 8

typedef struct PostedAction {
    GwThread *thread;
    TrafficAction action;
} PostedAction;

typedef struct PostedIntentResult {
    GwThread *thread;
    uint64_t cookie;
    bool recorded;
} PostedIntentResult;

typedef struct PostedView {
    GwThread *thread;
    GatewayView *view;
} PostedView;

void
Gw_Lock(Gateway *gateway)
{
    apr_thread_mutex_lock(gateway->mutex);
}

void
Gw_Unlock(Gateway *gateway)
{
    apr_thread_mutex_unlock(gateway->mutex);
}

uint64_t
Gateway_PackTarget(const SettingsAddress *address, int platform_port)
{
    struct in_addr binary = {0};

    inet_pton(AF_INET, address->host, &binary);
    return (uint64_t)platform_port << 48 |
           (uint64_t)ntohl(binary.s_addr) << 16 |
           ((uint64_t)address->port & 0xffff);
}

uint64_t
Gateway_PackRemote(const SettingsAddress *address)
{
    return Gateway_PackTarget(address, GATEWAY_REMOTE_PORT);
}

Gateway *
Gateway_New(const GatewayOptions *options, ErrCtx *err)
{
    const Settings *settings = options->settings;
    Gateway *gateway = calloc(1, sizeof(*gateway));
    TrafficOptions traffic = TRAFFIC_OPTIONS_DEFAULT;
    OnceOptions once = ONCE_OPTIONS_DEFAULT;

    if (gateway == NULL) {
        Err_Set(err, ST_NO_MEMORY, "no memory for the gateway");
        return NULL;
    }
    gateway->options = *options;
    traffic.data_centre = settings->data_centre;
    traffic.seed = options->seed;
    traffic.max_requests = GATEWAY_MAX_REQUESTS;
    traffic.queue_limit = (uint32_t)settings->queue_limit;
    traffic.long_share_percent = (uint32_t)settings->long_share_percent;
    traffic.retry_percent = (uint32_t)settings->retry_percent;
    traffic.unable_targets = (uint32_t)settings->unable_targets;
    once.home = settings->name;
    once.incarnation = options->incarnation;
    once.ttl_ms = settings->token_ttl_s * 1000;
    apr_pool_create(&gateway->pool, NULL);
    apr_thread_mutex_create(&gateway->mutex, APR_THREAD_MUTEX_DEFAULT,
                            gateway->pool);
    gateway->traffic = Traffic_New(&traffic);
    gateway->once = Once_New(&once);
    gateway->registry = Registry_New(GATEWAY_MAX_REQUESTS);
    gateway->burn = Burn_New(&BURN_OPTIONS_DEFAULT);
    gateway->requests = Table_NewSeeded(
        sizeof(GwRequest *), GATEWAY_MAX_REQUESTS, Rng_SystemSeed());
    gateway->thread_count = (size_t)settings->traffic_threads;
    gateway->threads = calloc(gateway->thread_count, sizeof(GwThread));
    if (gateway->traffic == NULL || gateway->once == NULL ||
        gateway->registry == NULL || gateway->requests == NULL ||
        gateway->burn == NULL || gateway->threads == NULL) {
        Err_Set(err, ST_NO_MEMORY, "no memory for the gateway");
        Gateway_Free(gateway);
        return NULL;
    }
    return gateway;
}

static void
on_tick(void *arg)
{
    GwThread *self = arg;
    Gateway *gateway = self->gateway;
    GwBatch batch = {0};

    Gw_Lock(gateway);
    Traffic_Tick(gateway->traffic, Loop_NowMs());
    Once_DropExpired(gateway->once, Loop_NowMs());
    Gw_TakeActions(self, &batch);
    Gw_Unlock(gateway);
    Gw_PerformActions(self, &batch);
}

static void *APR_THREAD_FUNC
run_thread(apr_thread_t *thread, void *arg)
{
    GwThread *self = arg;

    (void)thread;
    Loop_Run(self->loop);
    return NULL;
}

static Status
start_thread(Gateway *gateway, size_t index, ErrCtx *err)
{
    const Settings *settings = gateway->options.settings;
    GwThread *self = &gateway->threads[index];
    HttpServerOptions options = {
        .address = settings->traffic,
        .max_body_bytes = (size_t)settings->max_body_bytes,
        .idle_timeout_s = GATEWAY_IDLE_TIMEOUT_S,
        .max_connections = HttpServer_LimitConnections(
                               settings->max_connections, CALLER_SHARE) /
                           gateway->thread_count,
        .max_open_bytes =
            (size_t)settings->max_open_bytes / gateway->thread_count,
        .handler = Gw_HandleHttp,
        .arg = self};

    self->gateway = gateway;
    self->index = index;
    self->loop = Loop_New(err);
    if (self->loop == NULL) {
        return err != NULL ? err->status : ST_IO;
    }
    /* A target's connection limit includes idle connections, so the
     * connections of each thread are bounded as well as the attempts in
     * flight. */
    self->client =
        HttpClient_New(self->loop, (long)settings->target_connections);
    self->server = HttpServer_New(self->loop, &options, err);
    if (self->client == NULL || self->server == NULL) {
        return err != NULL ? err->status : ST_IO;
    }
    if (index == 0) {
        /* Only the first thread advances the timers of the shared modules. */
        self->tick_timer = Loop_NewTimer(self->loop, on_tick, self);
        Loop_Arm(self->tick_timer, GATEWAY_TICK_MS, GATEWAY_TICK_MS);
    }
    return ST_OK;
}

Status
Gateway_Start(Gateway *gateway, ErrCtx *err)
{
    size_t i;

    for (i = 0; i < gateway->thread_count; i++) {
        Status status = start_thread(gateway, i, err);
        if (status != ST_OK) {
            return status;
        }
    }
    for (i = 0; i < gateway->thread_count; i++) {
        if (apr_thread_create(&gateway->threads[i].thread, NULL, run_thread,
                              &gateway->threads[i],
                              gateway->pool) != APR_SUCCESS) {
            return Err_Set(err, ST_IO, "a traffic thread cannot be started");
        }
    }
    return ST_OK;
}

static void
set_objectives(Gateway *gateway, const GatewayView *view)
{
    size_t i;
    size_t index;

    for (i = 0; i < view->service_count; i++) {
        const GatewayObjective *objective = &view->objectives[i];
        if (objective->slo_ms > 0) {
            Burn_SetObjective(gateway->burn, view->services[i].name,
                              objective->slo_ms, objective->slo_percent,
                              &index);
        }
    }
}

static void
apply_view(void *arg)
{
    PostedView *posted = arg;
    GwThread *self = posted->thread;
    Gateway *gateway = self->gateway;
    const GatewayView *view = posted->view;
    int64_t now = Loop_NowMs();
    GwBatch batch = {0};

    Gw_Lock(gateway);
    Traffic_SetServices(gateway->traffic, now, view->services,
                        view->service_count);
    set_objectives(gateway, view);
    Traffic_SetTeams(gateway->traffic, now, view->teams, view->team_count);
    Traffic_SetTargets(gateway->traffic, now, view->targets,
                       view->target_count);
    Gw_TakeActions(self, &batch);
    Gw_Unlock(gateway);
    Gw_PerformActions(self, &batch);
    gateway->options.hooks.view_applied(gateway->options.hooks.arg,
                                        view->sequence);
    apr_pool_destroy(view->pool);
    free(posted);
}

void
Gateway_PublishView(Gateway *gateway, GatewayView *view)
{
    PostedView *posted = Mem_New(1, sizeof(*posted));

    posted->thread = &gateway->threads[0];
    posted->view = view;
    Loop_Post(posted->thread->loop, apply_view, posted);
}

void
Gateway_SetReady(Gateway *gateway, bool ready)
{
    Gw_Lock(gateway);
    gateway->ready = ready;
    Gw_Unlock(gateway);
}

static void
apply_intent_result(void *arg)
{
    PostedIntentResult *posted = arg;
    GwThread *self = posted->thread;
    Gateway *gateway = self->gateway;
    GwBatch batch = {0};
    GwRequest **row;

    Gw_Lock(gateway);
    row = Table_Get(gateway->requests, Handle_Unpack(posted->cookie));
    if (row != NULL) {
        int64_t now = Loop_NowMs();
        const char *token = (*row)->token;
        /* Without a token, the record is on the entry VM that forwarded the
         * request. */
        bool ok =
            posted->recorded &&
            (token[0] == '\0' ||
             Once_ReportIntent(gateway->once, now, token, true) == ST_OK);
        Traffic_ReportIntent(gateway->traffic, now, (*row)->traffic, ok);
    }
    Gw_TakeActions(self, &batch);
    Gw_Unlock(gateway);
    Gw_PerformActions(self, &batch);
    free(posted);
}

void
Gateway_ReportIntent(Gateway *gateway, uint64_t cookie, bool recorded)
{
    PostedIntentResult *posted = Mem_New(1, sizeof(*posted));

    posted->thread = &gateway->threads[0];
    posted->cookie = cookie;
    posted->recorded = recorded;
    Loop_Post(posted->thread->loop, apply_intent_result, posted);
}

Status
Gateway_HoldIntent(Gateway *gateway, const char *record, size_t len)
{
    Status status;

    Gw_Lock(gateway);
    status = Once_HoldIntent(gateway->once, Loop_NowMs(), record, len);
    Gw_Unlock(gateway);
    return status;
}

Status
Gateway_HoldOutcome(Gateway *gateway, const char *record, size_t len)
{
    Status status;

    Gw_Lock(gateway);
    status = Once_HoldOutcome(gateway->once, Loop_NowMs(), record, len);
    Gw_Unlock(gateway);
    return status;
}

Status
Gateway_RecoverRecords(Gateway *gateway, const char *bytes, size_t len,
                       OnceRecovery *out, ErrCtx *err)
{
    return Once_RecoverRecords(gateway->once, Loop_NowMs(), bytes, len, out,
                               err);
}

static void
stop_listening(void *arg)
{
    GwThread *self = arg;

    HttpServer_StopListening(self->server);
}

void
Gateway_BeginShutdown(Gateway *gateway)
{
    size_t i;

    Gw_Lock(gateway);
    gateway->stopping = true;
    Gw_Unlock(gateway);
    for (i = 0; i < gateway->thread_count; i++) {
        Loop_Post(gateway->threads[i].loop, stop_listening,
                  &gateway->threads[i]);
    }
}

size_t
Gateway_CountActive(Gateway *gateway)
{
    size_t active;

    Gw_Lock(gateway);
    active = gateway->active_count;
    Gw_Unlock(gateway);
    return active;
}

void
Gateway_GetStats(Gateway *gateway, TrafficStats *stats)
{
    Gw_Lock(gateway);
    Traffic_GetStats(gateway->traffic, stats);
    Gw_Unlock(gateway);
}

uint32_t
Gateway_GetTargetInFlight(Gateway *gateway, const char *target)
{
    uint32_t count;

    Gw_Lock(gateway);
    count = Traffic_GetTargetInFlight(gateway->traffic, target);
    Gw_Unlock(gateway);
    return count;
}

void
Gateway_GetPoolLoad(Gateway *gateway, const char *pool, TrafficPoolLoad *load)
{
    Gw_Lock(gateway);
    Traffic_GetPoolLoad(gateway->traffic, pool, load);
    Gw_Unlock(gateway);
}

double
Gateway_GetHighestBurn(Gateway *gateway)
{
    int64_t now = Loop_NowMs();
    double highest = 0;
    size_t i;

    Gw_Lock(gateway);
    for (i = 0; i < BURN_OPTIONS_DEFAULT.max_services; i++) {
        double rate = Burn_GetRate(gateway->burn, now, i).recent.rate;
        highest = rate > highest ? rate : highest;
    }
    Gw_Unlock(gateway);
    return highest;
}

void
Gateway_ReportBurn(Gateway *gateway, GatewayFormat format, Buf *out)
{
    int64_t now = Loop_NowMs();

    Gw_Lock(gateway);
    if (format == GATEWAY_JSON) {
        Burn_ReportJson(gateway->burn, now, out);
    }
    else if (format == GATEWAY_HTML) {
        Burn_ReportHtml(gateway->burn, now, out);
    }
    else {
        Burn_ReportText(gateway->burn, now, out);
    }
    Gw_Unlock(gateway);
}

void
Gateway_StopThreads(Gateway *gateway)
{
    size_t i;

    for (i = 0; gateway->threads != NULL && i < gateway->thread_count; i++) {
        GwThread *thread = &gateway->threads[i];
        apr_status_t result;
        if (thread->thread != NULL) {
            Loop_Stop(thread->loop);
            apr_thread_join(&result, thread->thread);
            thread->thread = NULL;
        }
    }
}

void
Gateway_Free(Gateway *gateway)
{
    size_t i;
    uint32_t cursor = 0;
    Handle handle;

    if (gateway == NULL) {
        return;
    }
    Gateway_StopThreads(gateway);
    for (i = 0; gateway->threads != NULL && i < gateway->thread_count; i++) {
        HttpClient_Free(gateway->threads[i].client);
        HttpServer_Free(gateway->threads[i].server);
        Loop_Free(gateway->threads[i].loop);
    }
    while (gateway->requests != NULL &&
           !Handle_IsNone(handle = Table_Next(gateway->requests, &cursor))) {
        GwRequest **row = Table_Get(gateway->requests, handle);
        Gw_FreeRequest(*row);
    }
    Table_Free(gateway->requests);
    Registry_Free(gateway->registry);
    Burn_Free(gateway->burn);
    Once_Free(gateway->once);
    Traffic_Free(gateway->traffic);
    free(gateway->threads);
    apr_pool_destroy(gateway->pool);
    free(gateway);
}

static void
add_action(GwBatch *batch, const TrafficAction *action)
{
    if (batch->count == batch->capacity) {
        size_t capacity = batch->capacity ? batch->capacity * 2 : 8;
        batch->items =
            Mem_Resize(batch->items, capacity * sizeof(*batch->items));
        batch->capacity = capacity;
    }
    batch->items[batch->count++] = *action;
}

static void
perform_posted_action(void *arg)
{
    PostedAction *posted = arg;
    GwBatch batch = {0};

    add_action(&batch, &posted->action);
    Gw_PerformActions(posted->thread, &batch);
    free(posted);
}

void
Gw_TakeActions(GwThread *self, GwBatch *batch)
{
    Gateway *gateway = self->gateway;
    TrafficAction action;

    while (Traffic_TakeAction(gateway->traffic, &action)) {
        GwRequest **row =
            Table_Get(gateway->requests, Handle_Unpack(action.request_cookie));
        PostedAction *posted;
        if (row == NULL) {
            continue;
        }
        /* The target name is valid only until the next view. */
        action.target = NULL;
        if ((*row)->thread == self) {
            add_action(batch, &action);
            continue;
        }
        posted = Mem_New(1, sizeof(*posted));
        posted->thread = (*row)->thread;
        posted->action = action;
        Loop_Post(posted->thread->loop, perform_posted_action, posted);
    }
}
