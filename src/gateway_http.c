#include "gateway_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "diag.h"
#include "mem.h"

#define GATEWAY_PATH_BYTES 512
#define GATEWAY_RETRY_RUNNING_MS 200
#define GATEWAY_RETRY_HOME_MS 1000

/* Request forwarded to the home of its token, the entry VM that issued it. */
typedef struct GwForward {
    GwThread *thread;
    HttpRequest *http;
    char id[GATEWAY_ID_BYTES];
    char token[ONCE_TOKEN_BYTES];
    char caller[GATEWAY_ID_BYTES];
    Buf body;
    char path[GATEWAY_PATH_BYTES];
} GwForward;

void
Gw_ReplyJson(HttpRequest *http, int status, const char *id,
             const char *outcome, const char *reason, int64_t retry_ms)
{
    char retry_after[24];
    char *body;
    HttpReply reply = {.status = status, .content_type = "application/json"};
    json_t *json = json_pack("{s:s, s:s, s:I}", "outcome", outcome, "reason",
                             reason, "retry_ms", (json_int_t)retry_ms);

    if (strcmp(outcome, "unknown") == 0) {
        Diag_Log(DIAG_WARNING, GATEWAY_LOG_PREFIX,
                 "The outcome of request %s is unknown: %s.", id, reason);
    }
    body = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    snprintf(retry_after, sizeof(retry_after), "%" PRId64,
             (retry_ms + 999) / 1000);
    reply.headers[0] = (HttpHeader){"Coltsfoot-Outcome", outcome};
    reply.headers[1] = (HttpHeader){"Coltsfoot-Request-Id", id};
    reply.headers[2] = (HttpHeader){"Retry-After", retry_after};
    reply.header_count = retry_ms > 0 ? 3 : 2;
    reply.body = body != NULL ? body : "";
    reply.body_len = strlen(reply.body);
    HttpRequest_Reply(http, &reply);
    free(body);
}

void
Gw_ReplyBody(HttpRequest *http, const char *id, const char *body, size_t len)
{
    HttpReply reply = {.status = 200,
                       .content_type = "application/octet-stream",
                       .header_count = 2,
                       .body = body,
                       .body_len = len};

    reply.headers[0] = (HttpHeader){"Coltsfoot-Outcome", "done"};
    reply.headers[1] = (HttpHeader){"Coltsfoot-Request-Id", id};
    HttpRequest_Reply(http, &reply);
}

void
Gw_ReplyOutcome(GwRequest *request, TrafficOutcome outcome, const char *reason,
                int64_t retry_ms)
{
    static const int statuses[] = {[TRAFFIC_DONE] = 200,
                                   [TRAFFIC_NOT_RUN] = 503,
                                   [TRAFFIC_UNKNOWN] = 504,
                                   [TRAFFIC_UNABLE] = 422,
                                   [TRAFFIC_CANCELLED] = 409};

    if (outcome == TRAFFIC_DONE && request->answer != NULL) {
        Gw_ReplyBody(request->http, request->id, request->answer->body,
                     request->answer->body_len);
        return;
    }
    Gw_ReplyJson(request->http, statuses[outcome], request->id,
                 Traffic_GetOutcomeName(outcome), reason, retry_ms);
}

static const char *
get_header_or(HttpRequest *http, const char *name, const char *fallback)
{
    const char *value = HttpRequest_GetHeader(http, name);

    return value != NULL ? value : fallback;
}

/* Parses a non-negative decimal number. Returns -1 for any other text. */
static int64_t
parse_number(const char *text)
{
    char *end;
    long long value = strtoll(text, &end, 10);

    return *text != '\0' && *end == '\0' && value >= 0 ? value : -1;
}

static bool
parse_class(const char *text, TrafficClass *class)
{
    static const char *const names[] = {[TRAFFIC_URGENT] = "urgent",
                                        [TRAFFIC_SHORT] = "short",
                                        [TRAFFIC_LONG] = "long",
                                        [TRAFFIC_UNDECLARED] = ""};
    size_t i;

    for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strcmp(text, names[i]) == 0) {
            *class = (TrafficClass)i;
            return true;
        }
    }
    return false;
}

/* Checks the headers of a request and stores its class and, if given, its
 * deadline. Returns NULL, or a description of the first invalid header. */
static const char *
parse_headers(HttpRequest *http, TrafficClass *class, int64_t *deadline_ms)
{
    const char *id = HttpRequest_GetHeader(http, "Coltsfoot-Request-Id");
    const char *caller = HttpRequest_GetHeader(http, "Coltsfoot-Caller");
    const char *deadline =
        HttpRequest_GetHeader(http, "Coltsfoot-Deadline-Ms");
    const char *unrepeatable =
        get_header_or(http, "Coltsfoot-Unrepeatable", "0");

    if (caller == NULL || *caller == '\0' ||
        strlen(caller) >= GATEWAY_ID_BYTES) {
        return "Coltsfoot-Caller must have 1 to 127 bytes";
    }
    if (id == NULL || *id == '\0' || strlen(id) >= GATEWAY_ID_BYTES) {
        return "Coltsfoot-Request-Id must have 1 to 127 bytes";
    }
    if (deadline != NULL && (*deadline_ms = parse_number(deadline)) <= 0) {
        return "Coltsfoot-Deadline-Ms must be a number of ms above 0";
    }
    if (!parse_class(get_header_or(http, "Coltsfoot-Class", ""), class)) {
        return "Coltsfoot-Class must be urgent, short or long";
    }
    if (strcmp(unrepeatable, "0") != 0 && strcmp(unrepeatable, "1") != 0) {
        return "Coltsfoot-Unrepeatable must be 0 or 1";
    }
    return NULL;
}

static GwRequest *
new_request(GwThread *self, HttpRequest *http, const char *service,
            int64_t deadline_ms)
{
    GwRequest *request = Mem_New(1, sizeof(*request));

    request->thread = self;
    request->http = http;
    request->received_us = Loop_NowUs();
    request->wait_us = -1;
    request->deadline_ms = Loop_NowMs() + deadline_ms;
    snprintf(request->service, sizeof(request->service), "%s", service);
    snprintf(request->team, sizeof(request->team), "%s",
             get_header_or(http, "Coltsfoot-Team", ""));
    snprintf(request->kind, sizeof(request->kind), "%s",
             get_header_or(http, "Coltsfoot-Kind", ""));
    snprintf(request->class, sizeof(request->class), "%s",
             get_header_or(http, "Coltsfoot-Class", ""));
    request->forwarded =
        HttpRequest_GetHeader(http, GATEWAY_FORWARDED_HEADER) != NULL;
    request->single_attempt =
        request->forwarded &&
        HttpRequest_GetHeader(http, GATEWAY_SINGLE_ATTEMPT_HEADER) != NULL;
    snprintf(request->caller, sizeof(request->caller), "%s",
             HttpRequest_GetHeader(http, "Coltsfoot-Caller"));
    snprintf(request->id, sizeof(request->id), "%s",
             HttpRequest_GetHeader(http, "Coltsfoot-Request-Id"));
    return request;
}

static void
refuse_request(GwRequest *request, int status, const char *reason,
               int64_t retry_ms)
{
    Gw_ReplyJson(request->http, status, request->id, "not-run", reason,
                 retry_ms);
    Gw_FreeRequest(request);
}

/* Adds the request to the registry, the request table and the traffic module.
 * Call with the lock held. */
static Status
admit_locked(Gateway *gateway, GwRequest *request, TrafficClass class)
{
    TrafficRequest submission = {.service = request->service,
                                 .caller = request->caller,
                                 .team = request->team,
                                 .kind = request->kind,
                                 .class = class,
                                 .deadline_ms = request->deadline_ms,
                                 .unrepeatable = request->token[0] != '\0' ||
                                                 request->single_attempt};
    GwRequest **row;
    Status status;

    if (!Registry_Add(gateway->registry, request->caller, request->id)) {
        return ST_EXISTS;
    }
    request->handle = Table_Add(gateway->requests);
    row = Table_Get(gateway->requests, request->handle);
    if (row == NULL) {
        Registry_Drop(gateway->registry, request->caller, request->id);
        return ST_FULL;
    }
    *row = request;
    submission.cookie = Handle_Pack(request->handle);
    status = Traffic_SubmitRequest(gateway->traffic, Loop_NowMs(), &submission,
                                   &request->traffic);
    if (status != ST_OK) {
        Table_Remove(gateway->requests, request->handle);
        Registry_Drop(gateway->registry, request->caller, request->id);
        return status;
    }
    Registry_SetHandle(gateway->registry, request->caller, request->id,
                       request->traffic);
    gateway->active_count++;
    return ST_OK;
}

/* Records the outcome "not run" for a request that was not admitted after
 * Once_BeginRequest. */
static void
finish_once_not_run(Gateway *gateway, const GwRequest *request)
{
    if (request->token[0] != '\0') {
        Gw_Lock(gateway);
        Once_FinishRequest(gateway->once, Loop_NowMs(), request->token, 0,
                           ONCE_OUTCOME_NOT_RUN, 0, NULL, 0);
        Gw_Unlock(gateway);
    }
}

static void
submit_request(GwThread *self, GwRequest *request, TrafficClass class)
{
    Gateway *gateway = self->gateway;
    HttpRequest *http = request->http;
    GwBatch batch = {0};
    Status status;

    HttpRequest_TakeBody(http, &request->body);
    Gw_Lock(gateway);
    status = admit_locked(gateway, request, class);
    Gw_TakeActions(self, &batch);
    Gw_Unlock(gateway);
    if (status != ST_OK) {
        finish_once_not_run(gateway, request);
    }
    if (status == ST_NOT_FOUND) {
        refuse_request(request, 404, "unknown service", 0);
    }
    else if (status == ST_EXISTS) {
        /* The request with this id is still running, so "not run" would be
         * wrong. */
        Gw_ReplyJson(http, 504, request->id, "unknown",
                     "a request of this caller with this id is running",
                     GATEWAY_RETRY_RUNNING_MS);
        Gw_FreeRequest(request);
    }
    else if (status != ST_OK) {
        refuse_request(request, 503, "too many requests", 1000);
    }
    Gw_PerformActions(self, &batch);
}

/* --- unrepeatable requests --- */

static void
free_forward(GwForward *forward)
{
    Buf_Free(&forward->body);
    free(forward);
}

/* Replies from the copy of the record on this entry VM, since the home of the
 * token did not answer. */
static void
reply_from_held_record(GwForward *forward)
{
    Gateway *gateway = forward->thread->gateway;
    OnceView view = {0};
    Buf answer = BUF_INIT;
    Status status;
    bool done;

    Gw_Lock(gateway);
    status = Once_FindHeldRecord(gateway->once, Loop_NowMs(), forward->token,
                                 forward->caller, forward->id, &view);
    done = status == ST_OK && view.outcome == ONCE_OUTCOME_DONE &&
           view.answer != NULL;
    if (done) {
        Buf_Append(&answer, view.answer, view.len);
    }
    Gw_Unlock(gateway);
    if (done) {
        Gw_ReplyBody(forward->http, forward->id,
                     answer.data != NULL ? answer.data : "", answer.len);
    }
    else {
        Gw_ReplyJson(forward->http, 504, forward->id, "unknown",
                     "the entry VM that issued the token did not answer",
                     GATEWAY_RETRY_HOME_MS);
    }
    Buf_Free(&answer);
}

static void
on_forward_result(void *arg, const HttpCallResult *result)
{
    GwForward *forward = arg;
    HttpReply reply = {.status = result->http_status,
                       .content_type = "application/json",
                       .header_count = 2,
                       .body = result->body,
                       .body_len = result->body_len};
    const char *outcome =
        result->status == HTTP_CALL_ANSWERED
            ? HttpCall_GetHeader(result->call, "Coltsfoot-Outcome")
            : NULL;

    if (outcome == NULL) {
        reply_from_held_record(forward);
        free_forward(forward);
        return;
    }
    if (result->http_status == 200) {
        reply.content_type = "application/octet-stream";
    }
    reply.headers[0] = (HttpHeader){"Coltsfoot-Outcome", outcome};
    reply.headers[1] = (HttpHeader){"Coltsfoot-Request-Id", forward->id};
    HttpRequest_Reply(forward->http, &reply);
    free_forward(forward);
}

static const SettingsPeer *
find_home_peer(const Gateway *gateway, const char *home)
{
    const Settings *settings = gateway->options.settings;
    size_t i;

    for (i = 0; i < settings->peer_count; i++) {
        if (strcmp(settings->peers[i].name, home) == 0) {
            return &settings->peers[i];
        }
    }
    return NULL;
}

static void
forward_header(HttpCallOptions *options, HttpRequest *http, const char *name)
{
    const char *value = HttpRequest_GetHeader(http, name);

    if (value != NULL) {
        options->headers[options->header_count++] = (HttpHeader){name, value};
    }
}

static void
forward_to_home(GwThread *self, GwRequest *request, const SettingsPeer *home)
{
    static const char *const names[] = {
        "Coltsfoot-Caller",       "Coltsfoot-Request-Id", "Coltsfoot-Team",
        "Coltsfoot-Deadline-Ms",  "Coltsfoot-Class",      "Coltsfoot-Kind",
        "Coltsfoot-Unrepeatable", "Coltsfoot-Token"};
    GwForward *forward = Mem_New(1, sizeof(*forward));
    HttpCallOptions options = {.method = "POST", .address = home->traffic};
    size_t i;

    forward->thread = self;
    forward->http = request->http;
    snprintf(forward->id, sizeof(forward->id), "%s", request->id);
    snprintf(forward->caller, sizeof(forward->caller), "%s", request->caller);
    snprintf(forward->token, sizeof(forward->token), "%s", request->token);
    snprintf(forward->path, sizeof(forward->path), "%s",
             HttpRequest_GetPath(request->http));
    for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        forward_header(&options, request->http, names[i]);
    }
    options.headers[options.header_count++] = (HttpHeader){
        GATEWAY_FORWARDED_HEADER, self->gateway->options.settings->name};
    HttpRequest_TakeBody(request->http, &forward->body);
    options.path = forward->path;
    options.body = forward->body.data != NULL ? forward->body.data : "";
    options.body_len = forward->body.len;
    options.timeout_ms = request->deadline_ms - Loop_NowMs();
    options.max_answer_bytes =
        (size_t)self->gateway->options.settings->max_body_bytes;
    Gw_FreeRequest(request);
    if (HttpClient_StartCall(self->client, &options, on_forward_result,
                             forward) == NULL) {
        reply_from_held_record(forward);
        free_forward(forward);
    }
}

static void
reply_finished(GwRequest *request, const OnceView *view)
{
    if (view->outcome == ONCE_OUTCOME_DONE && view->answer != NULL) {
        Gw_ReplyBody(request->http, request->id, view->answer, view->len);
    }
    else if (view->outcome == ONCE_OUTCOME_DONE) {
        Gw_ReplyJson(request->http, 410, request->id, "unknown",
                     "the request ran; its answer is no longer kept", 0);
    }
    else if (view->outcome == ONCE_OUTCOME_NOT_RUN) {
        Gw_ReplyJson(request->http, 503, request->id, "not-run",
                     "an earlier send was refused; take a new token", 0);
    }
    else if (view->outcome == ONCE_OUTCOME_CANCELLED) {
        Gw_ReplyJson(request->http, 409, request->id, "cancelled", "cancelled",
                     0);
    }
    else {
        Gw_ReplyJson(request->http, 504, request->id, "unknown",
                     "the request may have run", 0);
    }
}

static void
reply_decision(GwRequest *request, OnceDecision decision, const OnceView *view)
{
    switch (decision) {
    case ONCE_RUNNING:
        Gw_ReplyJson(request->http, 504, request->id, "unknown",
                     "the request is running", GATEWAY_RETRY_RUNNING_MS);
        break;
    case ONCE_FINISHED:
        reply_finished(request, view);
        break;
    case ONCE_EXPIRED:
        Gw_ReplyJson(request->http, 410, request->id, "unknown",
                     "the token has expired", 0);
        break;
    case ONCE_INVALID:
        Gw_ReplyJson(request->http, 400, request->id, "not-run",
                     "the token is not valid for this request", 0);
        break;
    case ONCE_UNKNOWN:
    case ONCE_FORWARD:
    case ONCE_FIRST_USE:
        Gw_ReplyJson(request->http, 504, request->id, "unknown",
                     "the request may have run", 0);
        break;
    }
    Gw_FreeRequest(request);
}

/* Begins an unrepeatable request. Returns true if the caller has to submit it;
 * otherwise the request was replied to or forwarded. */
static bool
begin_once_request(GwThread *self, GwRequest *request)
{
    Gateway *gateway = self->gateway;
    const char *token =
        HttpRequest_GetHeader(request->http, "Coltsfoot-Token");
    const SettingsPeer *home = NULL;
    OnceView view = {0};
    OnceDecision decision;

    if (token == NULL || strlen(token) >= sizeof(request->token)) {
        refuse_request(request, 428, "an unrepeatable request needs a token",
                       0);
        return false;
    }
    snprintf(request->token, sizeof(request->token), "%s", token);
    Gw_Lock(gateway);
    decision = Once_BeginRequest(gateway->once, Loop_NowMs(), token,
                                 request->caller, request->id, &view);
    if (decision == ONCE_FORWARD) {
        home = find_home_peer(gateway, view.home);
    }
    else if (decision != ONCE_FIRST_USE) {
        /* The view points into the records, so it is read under the lock. */
        reply_decision(request, decision, &view);
    }
    Gw_Unlock(gateway);
    if (decision == ONCE_FORWARD && home != NULL && !request->forwarded) {
        forward_to_home(self, request, home);
    }
    else if (decision == ONCE_FORWARD) {
        reply_decision(request, ONCE_UNKNOWN, &view);
    }
    return decision == ONCE_FIRST_USE;
}

/* --- HTTP interface for callers --- */

/* Returns whether new requests are accepted. If not, reason says why. */
static bool
is_accepting(Gateway *gateway, const char **reason)
{
    bool open;

    Gw_Lock(gateway);
    open = gateway->ready && !gateway->stopping;
    *reason = gateway->stopping ? "this entry VM is stopping"
                                : "this entry VM is starting";
    Gw_Unlock(gateway);
    return open;
}

static void
handle_submit(GwThread *self, HttpRequest *http, const char *service)
{
    TrafficClass class = TRAFFIC_UNDECLARED;
    int64_t deadline_ms = self->gateway->options.settings->default_deadline_ms;
    const char *problem = parse_headers(http, &class, &deadline_ms);
    const char *id = get_header_or(http, "Coltsfoot-Request-Id", "");
    GwRequest *request;

    if (problem != NULL) {
        Gw_ReplyJson(http, 400, id, "not-run", problem, 0);
        return;
    }
    request = new_request(self, http, service, deadline_ms);
    if (strcmp(get_header_or(http, "Coltsfoot-Unrepeatable", "0"), "1") == 0 &&
        !request->single_attempt && !begin_once_request(self, request)) {
        return;
    }
    submit_request(self, request, class);
}

static void
handle_tokens(GwThread *self, HttpRequest *http)
{
    const char *text = HttpRequest_GetQuery(http, "count");
    int64_t count = text != NULL ? parse_number(text) : 1;
    char(*tokens)[ONCE_TOKEN_BYTES];
    json_t *json;
    char *body;
    Status status;
    int64_t i;

    if (count < 1 || count > ONCE_MAX_TOKENS_PER_CALL) {
        Gw_ReplyJson(http, 400, "", "not-run", "count must be from 1 to 1024",
                     0);
        return;
    }
    tokens = Mem_New((size_t)count, sizeof(*tokens));
    Gw_Lock(self->gateway);
    status = Once_IssueTokens(self->gateway->once, Loop_NowMs(), (size_t)count,
                              tokens);
    Gw_Unlock(self->gateway);
    if (status != ST_OK) {
        Gw_ReplyJson(http, 503, "", "not-run", "too many tokens are in use",
                     1000);
        free(tokens);
        return;
    }
    json = json_array();
    for (i = 0; i < count; i++) {
        json_array_append_new(json, json_string(tokens[i]));
    }
    body = json_dumps(json, JSON_COMPACT);
    HttpRequest_ReplyText(http, 200, "application/json", body);
    free(body);
    json_decref(json);
    free(tokens);
}

static void
handle_status_or_cancel(GwThread *self, HttpRequest *http, const char *caller,
                        const char *id, bool cancel)
{
    Gateway *gateway = self->gateway;
    const RegistryEntry *found;
    RegistryEntry entry = {0};
    GwBatch batch = {0};

    Gw_Lock(gateway);
    found = Registry_Find(gateway->registry, caller, id);
    if (found != NULL) {
        entry = *found;
    }
    if (found != NULL && cancel && entry.running) {
        Traffic_CancelRequest(gateway->traffic, Loop_NowMs(), entry.request);
        Gw_TakeActions(self, &batch);
    }
    Gw_Unlock(gateway);
    Gw_PerformActions(self, &batch);
    if (found == NULL) {
        Gw_ReplyJson(http, 404, id, "unknown",
                     "this entry VM does not know the request", 0);
    }
    else if (entry.running) {
        Gw_ReplyJson(http, 202, id, cancel ? "cancelled" : "running",
                     cancel ? "cancelled" : "running", 0);
    }
    else {
        Gw_ReplyJson(http, 200, id, entry.outcome, "ended", 0);
    }
}

/* Splits a path at '/' in place. Returns the number of parts, or 0 if there
 * are more than max. */
static size_t
split_path(char *path, char **parts, size_t max)
{
    size_t count = 0;
    char *save = NULL;
    char *part = strtok_r(path, "/", &save);

    while (part != NULL && count < max) {
        parts[count++] = part;
        part = strtok_r(NULL, "/", &save);
    }
    return part == NULL ? count : 0;
}

void
Gw_HandleHttp(void *arg, HttpRequest *http)
{
    GwThread *self = arg;
    const char *method = HttpRequest_GetMethod(http);
    const char *id = get_header_or(http, "Coltsfoot-Request-Id", "");
    const char *reason;
    char path[GATEWAY_PATH_BYTES];
    char *parts[4];
    size_t count;
    bool open = is_accepting(self->gateway, &reason);

    snprintf(path, sizeof(path), "%s", HttpRequest_GetPath(http));
    count = split_path(path, parts, 4);
    if (count == 1 && strcmp(parts[0], "readyz") == 0) {
        HttpRequest_ReplyText(http, open ? 200 : 503, "text/plain",
                              open ? "ready\n" : "not ready\n");
    }
    else if (count == 4 && strcmp(parts[1], "requests") == 0 &&
             (strcmp(method, "DELETE") == 0 || strcmp(method, "GET") == 0)) {
        handle_status_or_cancel(self, http, parts[2], parts[3],
                                strcmp(method, "DELETE") == 0);
    }
    else if (!open && HttpRequest_GetHeader(http, "Coltsfoot-Token") != NULL) {
        /* An earlier copy of the request with this token may have run. */
        Gw_ReplyJson(http, 504, id, "unknown", reason, 1000);
    }
    else if (!open) {
        Gw_ReplyJson(http, 503, id, "not-run", reason, 1000);
    }
    else if (count == 4 && strcmp(parts[1], "services") == 0 &&
             strcmp(parts[3], "requests") == 0 &&
             strcmp(method, "POST") == 0) {
        handle_submit(self, http, parts[2]);
    }
    else if (count == 2 && strcmp(parts[1], "tokens") == 0 &&
             strcmp(method, "POST") == 0) {
        handle_tokens(self, http);
    }
    else {
        Gw_ReplyJson(http, 404, id, "not-run", "no such path", 0);
    }
}
