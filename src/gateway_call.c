#include "gateway_internal.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "mem.h"

/* Added to the timeout of a call, so that the request's deadline in the
 * traffic module, which determines the reply, passes first. */
#define GATEWAY_DEADLINE_SLACK_MS 200
/* Added to the timeout of an unrepeatable call, since a late answer still
 * determines the outcome of its request. */
#define GATEWAY_LATE_ANSWER_MS 30000
#define GATEWAY_NUMBER_BYTES 24
#define GATEWAY_PATH_BYTES 512
#define GATEWAY_TASK_TIMEOUT_MS 1000
#define GATEWAY_TASK_ANSWER_BYTES 4096

/* HTTP call that runs one attempt of a request on one target. */
typedef struct GwCall {
    GwRequest *request;
    HttpCall *http;
    struct GwCall *next; /* in the list of the request */
    bool remote;         /* true if the target is a remote entry VM */
    Handle attempt;
    uint32_t once_attempt; /* 0 without a token */
    int64_t started_us;
    char attempt_text[GATEWAY_NUMBER_BYTES];
} GwCall;

static GwRequest *
find_request(Gateway *gateway, uint64_t cookie)
{
    GwRequest **row;
    GwRequest *request;

    Gw_Lock(gateway);
    row = Table_Get(gateway->requests, Handle_Unpack(cookie));
    request = row != NULL ? *row : NULL;
    Gw_Unlock(gateway);
    return request;
}

void
Gw_FreeRequest(GwRequest *request)
{
    Buf_Free(&request->body);
    free(request);
}

static void
add_call(GwRequest *request, GwCall *call)
{
    call->next = request->calls;
    request->calls = call;
}

static void
remove_call(GwRequest *request, const GwCall *call)
{
    GwCall **at = &request->calls;

    while (*at != call) {
        at = &(*at)->next;
    }
    *at = call->next;
}

static void
free_request_if_unused(GwRequest *request)
{
    Gateway *gateway = request->thread->gateway;

    if (!request->replied || request->call_count > 0) {
        return;
    }
    Gw_Lock(gateway);
    Table_Remove(gateway->requests, request->handle);
    Gw_Unlock(gateway);
    Gw_FreeRequest(request);
}

static bool
echo_headers_match(const GwCall *call, const HttpCallResult *result)
{
    const char *id = HttpCall_GetHeader(result->call, "Coltsfoot-Request-Id");
    const char *attempt =
        HttpCall_GetHeader(result->call, "Coltsfoot-Attempt");

    return id != NULL && attempt != NULL &&
           strcmp(id, call->request->id) == 0 &&
           strcmp(attempt, call->attempt_text) == 0;
}

/* Classifies the answer of an entry VM, which has checked that its target
 * echoed the request id and attempt number. */
static TrafficResultKind
classify_remote_result(const HttpCallResult *result)
{
    if (result->http_status == 200) {
        return TRAFFIC_OK;
    }
    return result->http_status == 422 ? TRAFFIC_FAILED : TRAFFIC_LOST;
}

static TrafficResultKind
classify_result(const GwCall *call, const HttpCallResult *result)
{
    const char *outcome;

    switch (result->status) {
    case HTTP_CALL_NOT_SENT:
        return TRAFFIC_UNREACHABLE;
    case HTTP_CALL_TIMED_OUT:
        return TRAFFIC_TIMED_OUT;
    case HTTP_CALL_LOST:
    case HTTP_CALL_TOO_LARGE:
        return TRAFFIC_LOST;
    case HTTP_CALL_ANSWERED:
        break;
    }
    outcome = HttpCall_GetHeader(result->call, "Coltsfoot-Outcome");
    if (result->http_status == 503 && outcome != NULL &&
        strcmp(outcome, "not-run") == 0) {
        return TRAFFIC_REFUSED;
    }
    if (call->remote) {
        return classify_remote_result(result);
    }
    if (!echo_headers_match(call, result)) {
        return TRAFFIC_LOST;
    }
    return result->http_status == 200 ? TRAFFIC_OK : TRAFFIC_FAILED;
}

/* Updates the record of an unrepeatable request with the result of its
 * attempt. */
static void
record_once_result(Gateway *gateway, const GwCall *call,
                   TrafficResultKind kind, const HttpCallResult *result)
{
    const char *token = call->request->token;
    int64_t now = Loop_NowMs();

    if (token[0] == '\0') {
        return;
    }
    if (kind == TRAFFIC_REFUSED || kind == TRAFFIC_UNREACHABLE) {
        Once_ReportNotRun(gateway->once, now, token, call->once_attempt);
    }
    else if (kind == TRAFFIC_OK) {
        Once_FinishRequest(gateway->once, now, token, call->once_attempt,
                           ONCE_OUTCOME_DONE, result->http_status,
                           result->body, result->body_len);
    }
}

static void
on_call_result(void *arg, const HttpCallResult *result)
{
    GwCall *call = arg;
    GwRequest *request = call->request;
    GwThread *self = request->thread;
    Gateway *gateway = self->gateway;
    TrafficResultKind kind = classify_result(call, result);
    TrafficResult traffic = {kind, Loop_NowUs() - call->started_us};
    GwBatch batch = {0};

    remove_call(request, call);
    request->answer = result;
    Gw_Lock(gateway);
    record_once_result(gateway, call, kind, result);
    Traffic_ReportResult(gateway->traffic, Loop_NowMs(), call->attempt,
                         traffic);
    Gw_TakeActions(self, &batch);
    Gw_Unlock(gateway);
    Gw_PerformActions(self, &batch);
    request->answer = NULL;
    request->call_count--;
    free(call);
    free_request_if_unused(request);
}

static void
add_header(HttpCallOptions *options, const char *name, const char *value)
{
    options->headers[options->header_count++] = (HttpHeader){name, value};
}

static SettingsAddress
unpack_address(uint64_t cookie)
{
    struct in_addr binary = {htonl((uint32_t)(cookie >> 16))};
    SettingsAddress address = {.port = (int)(cookie & 0xffff)};

    inet_ntop(AF_INET, &binary, address.host, sizeof(address.host));
    return address;
}

static bool
is_unrepeatable(const GwRequest *request)
{
    return request->token[0] != '\0' || request->single_attempt;
}

static void
add_remote_headers(const GwThread *self, HttpCallOptions *options,
                   const GwRequest *request)
{
    add_header(options, GATEWAY_FORWARDED_HEADER,
               self->gateway->options.settings->name);
    add_header(options, "Coltsfoot-Team", request->team);
    add_header(options, "Coltsfoot-Kind", request->kind);
    add_header(options, "Coltsfoot-Class", request->class);
    if (is_unrepeatable(request)) {
        add_header(options, GATEWAY_SINGLE_ATTEMPT_HEADER, "1");
    }
}

static bool
start_call(GwThread *self, GwCall *call, uint64_t cookie)
{
    GwRequest *request = call->request;
    HttpCallOptions options = {.method = "POST", .path = "/run"};
    char path[GATEWAY_PATH_BYTES];
    char deadline[GATEWAY_NUMBER_BYTES];
    int64_t remaining_ms = request->deadline_ms - Loop_NowMs();

    options.address = unpack_address(cookie);
    call->remote = cookie >> 48 == GATEWAY_REMOTE_PORT;
    if (call->remote) {
        snprintf(path, sizeof(path), "/v1/services/%s/requests",
                 request->service);
        options.path = path;
        add_remote_headers(self, &options, request);
    }
    snprintf(deadline, sizeof(deadline), "%" PRId64,
             remaining_ms > 0 ? remaining_ms : 1);
    add_header(&options, "Coltsfoot-Service", request->service);
    add_header(&options, "Coltsfoot-Caller", request->caller);
    add_header(&options, "Coltsfoot-Request-Id", request->id);
    add_header(&options, "Coltsfoot-Attempt", call->attempt_text);
    add_header(&options, "Coltsfoot-Deadline-Ms", deadline);
    if (is_unrepeatable(request)) {
        add_header(&options, "Coltsfoot-Unrepeatable", "1");
    }
    options.body = request->body.data != NULL ? request->body.data : "";
    options.body_len = request->body.len;
    options.timeout_ms =
        remaining_ms + GATEWAY_DEADLINE_SLACK_MS +
        (is_unrepeatable(request) ? GATEWAY_LATE_ANSWER_MS : 0);
    options.max_answer_bytes =
        (size_t)self->gateway->options.settings->max_body_bytes;
    options.fresh_connection = is_unrepeatable(request);
    call->http =
        HttpClient_StartCall(self->client, &options, on_call_result, call);
    return call->http != NULL;
}

/* Reports an attempt as refused, since nothing was sent to its target. */
static void
report_unsent_attempt(GwThread *self, Handle attempt, const GwRequest *request,
                      uint32_t once_attempt, GwBatch *batch)
{
    Gateway *gateway = self->gateway;
    TrafficResult result = {TRAFFIC_REFUSED, 0};

    Gw_Lock(gateway);
    if (once_attempt != 0) {
        Once_ReportNotRun(gateway->once, Loop_NowMs(), request->token,
                          once_attempt);
    }
    Traffic_ReportResult(gateway->traffic, Loop_NowMs(), attempt, result);
    Gw_TakeActions(self, batch);
    Gw_Unlock(gateway);
}

static bool
begin_once_attempt(Gateway *gateway, GwRequest *request, uint32_t *attempt)
{
    Status status;

    *attempt = 0;
    if (request->token[0] == '\0') {
        return true;
    }
    Gw_Lock(gateway);
    status = Once_BeginAttempt(gateway->once, Loop_NowMs(), request->token,
                               attempt);
    Gw_Unlock(gateway);
    request->once_attempt = *attempt;
    return status == ST_OK;
}

static void
dispatch_attempt(GwThread *self, GwRequest *request,
                 const TrafficAction *action, GwBatch *batch)
{
    GwCall *call;
    uint32_t once_attempt;

    if ((request->forwarded &&
         action->target_cookie >> 48 == GATEWAY_REMOTE_PORT) ||
        !begin_once_attempt(self->gateway, request, &once_attempt)) {
        report_unsent_attempt(self, action->attempt, request, 0, batch);
        return;
    }
    call = Mem_New(1, sizeof(*call));
    call->request = request;
    call->attempt = action->attempt;
    call->once_attempt = once_attempt;
    call->started_us = Loop_NowUs();
    snprintf(call->attempt_text, sizeof(call->attempt_text), "%" PRIu32,
             action->attempt_number);
    if (request->wait_us < 0) {
        request->wait_us = call->started_us - request->received_us;
    }
    add_call(request, call);
    request->call_count++;
    if (!start_call(self, call, action->target_cookie)) {
        remove_call(request, call);
        request->call_count--;
        free(call);
        report_unsent_attempt(self, action->attempt, request, once_attempt,
                              batch);
    }
}

static void
record_intent(GwThread *self, GwRequest *request)
{
    Gateway *gateway = self->gateway;
    const GatewayHooks *hooks = &gateway->options.hooks;
    Buf record = BUF_INIT;
    Status status;

    if (request->single_attempt) {
        Gateway_ReportIntent(gateway, Handle_Pack(request->handle), true);
        return;
    }
    Gw_Lock(gateway);
    status = Once_EncodeRecord(gateway->once, request->token, &record);
    Gw_Unlock(gateway);
    if (status == ST_OK) {
        hooks->record_intent(hooks->arg, Handle_Pack(request->handle),
                             record.data, record.len);
    }
    else {
        Gateway_ReportIntent(gateway, Handle_Pack(request->handle), false);
    }
    Buf_Free(&record);
}

static OnceOutcome
get_once_outcome(TrafficOutcome outcome)
{
    switch (outcome) {
    case TRAFFIC_DONE:
        return ONCE_OUTCOME_DONE;
    case TRAFFIC_NOT_RUN:
        return ONCE_OUTCOME_NOT_RUN;
    case TRAFFIC_CANCELLED:
        return ONCE_OUTCOME_CANCELLED;
    case TRAFFIC_UNKNOWN:
    case TRAFFIC_UNABLE:
        break;
    }
    return ONCE_OUTCOME_UNKNOWN;
}

/* Stores the outcome of an unrepeatable request and passes its record to
 * GatewayHooks.record_outcome. Returns the outcome to report to the caller. */
static TrafficOutcome
finish_once_record(Gateway *gateway, const GwRequest *request,
                   TrafficOutcome outcome)
{
    const GatewayHooks *hooks = &gateway->options.hooks;
    Buf record = BUF_INIT;
    Status status = ST_OK;

    if (request->token[0] == '\0') {
        return outcome;
    }
    Gw_Lock(gateway);
    if (outcome != TRAFFIC_DONE) {
        status =
            Once_FinishRequest(gateway->once, Loop_NowMs(), request->token, 0,
                               get_once_outcome(outcome), 0, NULL, 0);
    }
    if (status == ST_CONFLICT) {
        /* An attempt is still in flight, so the request may have run. */
        outcome = TRAFFIC_UNKNOWN;
        Once_FinishRequest(gateway->once, Loop_NowMs(), request->token, 0,
                           ONCE_OUTCOME_UNKNOWN, 0, NULL, 0);
    }
    status = Once_EncodeRecord(gateway->once, request->token, &record);
    Gw_Unlock(gateway);
    if (status == ST_OK) {
        hooks->record_outcome(hooks->arg, record.data, record.len);
    }
    Buf_Free(&record);
    return outcome;
}

/* Ends an attempt of a request that has been replied to. */
static void
abort_call(GwThread *self, GwCall *call, GwBatch *batch)
{
    Gateway *gateway = self->gateway;
    TrafficResult result = {TRAFFIC_LOST, Loop_NowUs() - call->started_us};

    Gw_Lock(gateway);
    Traffic_ReportResult(gateway->traffic, Loop_NowMs(), call->attempt,
                         result);
    Gw_TakeActions(self, batch);
    Gw_Unlock(gateway);
    HttpCall_Abort(call->http);
    remove_call(call->request, call);
    call->request->call_count--;
    free(call);
}

/* Frees a long body after the reply. An attempt whose target has not received
 * all of it ends, since it cannot have begun; others go on, since a late
 * answer frees the slot and determines the outcome of an unrepeatable request.
 */
static void
release_body(GwThread *self, GwRequest *request, GwBatch *batch)
{
    GwCall *call = request->calls;

    if (request->body.len <= HTTP_CLIENT_SHORT_BODY_BYTES) {
        return;
    }
    while (call != NULL) {
        GwCall *next = call->next;
        if (!HttpCall_ReleaseBody(call->http)) {
            abort_call(self, call, batch);
        }
        call = next;
    }
    Buf_Free(&request->body);
}

static void
reply_to_caller(GwThread *self, GwRequest *request,
                const TrafficAction *action, GwBatch *batch)
{
    Gateway *gateway = self->gateway;
    TrafficOutcome outcome =
        finish_once_record(gateway, request, action->outcome);
    const char *reason = Traffic_GetReasonText(action->reason);
    size_t index;

    Gw_Lock(gateway);
    Registry_End(gateway->registry, request->caller, request->id,
                 Traffic_GetOutcomeName(outcome));
    if (outcome != TRAFFIC_CANCELLED &&
        Burn_FindService(gateway->burn, request->service, &index) == ST_OK) {
        Burn_RecordRequest(gateway->burn, Loop_NowMs(), index,
                           (Loop_NowUs() - request->received_us) / 1000,
                           outcome == TRAFFIC_DONE);
    }
    gateway->active_count--;
    Gw_Unlock(gateway);
    Gw_ReplyOutcome(request, outcome, reason, action->retry_ms);
    request->replied = true;
    release_body(self, request, batch);
    free_request_if_unused(request);
}

/* Returns whether an id needs no escaping in a URL path. */
static bool
is_path_safe(const char *id)
{
    return strspn(id, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                      "0123456789-_.") == strlen(id);
}

static void
ignore_task_result(void *arg, const HttpCallResult *result)
{
    (void)arg;
    (void)result;
}

/* Requests the platform to stop or throttle a task. If the platform cannot be
 * reached, the task continues and its answer frees the slot. */
static void
request_task_operation(GwThread *self, const GwRequest *request,
                       uint64_t cookie, const char *operation)
{
    HttpCallOptions options = {.method = "POST",
                               .address = unpack_address(cookie),
                               .body = "",
                               .timeout_ms = GATEWAY_TASK_TIMEOUT_MS,
                               .max_answer_bytes = GATEWAY_TASK_ANSWER_BYTES};
    char path[GATEWAY_PATH_BYTES];
    uint64_t port = cookie >> 48;

    if (port == 0 || port == GATEWAY_REMOTE_PORT ||
        !is_path_safe(request->id)) {
        return;
    }
    options.address.port = (int)port;
    snprintf(path, sizeof(path), "/platform/tasks/%s/%s", request->id,
             operation);
    options.path = path;
    HttpClient_StartCall(self->client, &options, ignore_task_result, NULL);
}

static void
perform_action(GwThread *self, const TrafficAction *action, GwBatch *batch)
{
    GwRequest *request = find_request(self->gateway, action->request_cookie);

    if (request == NULL) {
        return;
    }
    switch (action->kind) {
    case TRAFFIC_DISPATCH:
        dispatch_attempt(self, request, action, batch);
        break;
    case TRAFFIC_RECORD_INTENT:
        record_intent(self, request);
        break;
    case TRAFFIC_REPLY:
        reply_to_caller(self, request, action, batch);
        break;
    case TRAFFIC_STOP:
        request_task_operation(self, request, action->target_cookie, "stop");
        break;
    case TRAFFIC_THROTTLE:
        request_task_operation(self, request, action->target_cookie,
                               "throttle");
        break;
    }
}

void
Gw_PerformActions(GwThread *self, GwBatch *batch)
{
    size_t i;

    for (i = 0; i < batch->count; i++) {
        TrafficAction action = batch->items[i];
        perform_action(self, &action, batch);
    }
    free(batch->items);
}
