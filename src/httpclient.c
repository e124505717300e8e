#include "httpclient.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <xxhash.h>

#define HTTP_CONNECT_TIMEOUT_MS 1000
#define HTTP_HEADER_LINE_BYTES 512
/* Allows two or three per target of a large fleet. */
#define HTTP_MAX_IDLE_CONNECTIONS 2048L
#define HTTP_MAX_FREE_HANDLES 64
/* Once a second libcurl checks every idle connection of a multi handle. With
 * 1000 connections in one handle, this blocks the event loop for 0.1 s. */
#define HTTP_SHARD_COUNT 16

/* Calls and connections to the hosts whose hash selects this shard. */
typedef struct HttpShard {
    HttpClient *client;
    CURLM *multi;
    LoopTimer *timer;
} HttpShard;

/* Socket of libcurl that the event loop watches. */
typedef struct SocketWatch {
    HttpShard *shard;
    curl_socket_t socket;
    LoopWatch *watch;
} SocketWatch;

struct HttpClient {
    Loop *loop;
    HttpShard shards[HTTP_SHARD_COUNT];
    HttpCall *calls; /* calls in flight */
    /* Handles for reuse: creating one costs more than a small call. */
    CURL *free_handles[HTTP_MAX_FREE_HANDLES];
    size_t free_handle_count;
};

struct HttpCall {
    HttpShard *shard;
    HttpCall *next;
    HttpCall *previous;
    CURL *easy;
    struct curl_slist *headers;
    const char *sent_body; /* a long body; NULL once it is released */
    size_t sent_len;
    size_t sent_at; /* bytes that libcurl has read */
    Buf body;
    size_t max_answer_bytes;
    bool too_large;
    HttpCallFn fn;
    void *arg;
};

static void
free_call(HttpCall *call)
{
    HttpClient *client = call->shard->client;

    if (call->previous != NULL) {
        call->previous->next = call->next;
    }
    else {
        client->calls = call->next;
    }
    if (call->next != NULL) {
        call->next->previous = call->previous;
    }
    curl_multi_remove_handle(call->shard->multi, call->easy);
    if (client->free_handle_count < HTTP_MAX_FREE_HANDLES) {
        curl_easy_reset(call->easy);
        client->free_handles[client->free_handle_count++] = call->easy;
    }
    else {
        curl_easy_cleanup(call->easy);
    }
    curl_slist_free_all(call->headers);
    Buf_Free(&call->body);
    free(call);
}

/* Returns whether any byte of the request was sent. After libcurl has resent
 * the request on a new connection, the last error says nothing of the first.
 */
static bool
was_sent(const HttpCall *call)
{
    long request_bytes = 0;
    curl_off_t body_bytes = 0;

    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &body_bytes);
    return request_bytes > 0 || body_bytes > 0;
}

static HttpCallStatus
get_call_status(const HttpCall *call, CURLcode code)
{
    if (code == CURLE_OK) {
        return HTTP_CALL_ANSWERED;
    }
    if (call->too_large) {
        return HTTP_CALL_TOO_LARGE;
    }
    if (code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST &&
        code != CURLE_OPERATION_TIMEDOUT) {
        return HTTP_CALL_LOST;
    }
    if (!was_sent(call)) {
        return HTTP_CALL_NOT_SENT;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? HTTP_CALL_TIMED_OUT
                                            : HTTP_CALL_LOST;
}

static void
complete_calls(HttpShard *shard)
{
    CURLMsg *message;
    int left;

    while ((message = curl_multi_info_read(shard->multi, &left)) != NULL) {
        HttpCall *call = NULL;
        HttpCallResult result = {0};
        long http_status = 0;
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE,
                          &http_status);
        result.status = get_call_status(call, message->data.result);
        result.http_status = (int)http_status;
        result.body = call->body.data != NULL ? call->body.data : "";
        result.body_len = call->body.len;
        result.call = call;
        call->fn(call->arg, &result);
        free_call(call);
    }
}

static void
on_socket_event(void *arg, int events)
{
    const SocketWatch *watch = arg;
    HttpShard *shard = watch->shard;
    int mask = 0;
    int running;

    mask |= events & LOOP_READ ? CURL_CSELECT_IN : 0;
    mask |= events & LOOP_WRITE ? CURL_CSELECT_OUT : 0;
    curl_multi_socket_action(shard->multi, watch->socket, mask, &running);
    complete_calls(shard);
}

static void
unwatch_socket(HttpShard *shard, curl_socket_t socket, SocketWatch *watch)
{
    if (watch != NULL) {
        Loop_Unwatch(watch->watch);
        free(watch);
        curl_multi_assign(shard->multi, socket, NULL);
    }
}

static int
on_curl_socket(CURL *easy, curl_socket_t socket, int what, void *arg,
               void *socket_arg)
{
    HttpShard *shard = arg;
    SocketWatch *watch = socket_arg;
    int events = 0;

    (void)easy;
    if (what == CURL_POLL_REMOVE) {
        unwatch_socket(shard, socket, watch);
        return 0;
    }
    events |= what & CURL_POLL_IN ? LOOP_READ : 0;
    events |= what & CURL_POLL_OUT ? LOOP_WRITE : 0;
    if (watch != NULL) {
        Loop_SetEvents(watch->watch, events);
        return 0;
    }
    watch = calloc(1, sizeof(*watch));
    if (watch == NULL) {
        return -1;
    }
    watch->shard = shard;
    watch->socket = socket;
    watch->watch = Loop_Watch(shard->client->loop, (int)socket, events,
                              on_socket_event, watch);
    curl_multi_assign(shard->multi, socket, watch);
    return 0;
}

static int
on_curl_timer(CURLM *multi, long timeout_ms, void *arg)
{
    HttpShard *shard = arg;

    (void)multi;
    if (timeout_ms < 0) {
        Loop_Disarm(shard->timer);
    }
    else {
        Loop_Arm(shard->timer, timeout_ms, 0);
    }
    return 0;
}

static void
on_timer(void *arg)
{
    HttpShard *shard = arg;
    int running;

    curl_multi_socket_action(shard->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    complete_calls(shard);
}

static void
init_shard(HttpClient *client, HttpShard *shard, long max_connections_per_host)
{
    shard->client = client;
    shard->multi = curl_multi_init();
    shard->timer = Loop_NewTimer(client->loop, on_timer, shard);
    curl_multi_setopt(shard->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
    curl_multi_setopt(shard->multi, CURLMOPT_SOCKETDATA, shard);
    curl_multi_setopt(shard->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
    curl_multi_setopt(shard->multi, CURLMOPT_TIMERDATA, shard);
    curl_multi_setopt(shard->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      max_connections_per_host);
    curl_multi_setopt(shard->multi, CURLMOPT_MAXCONNECTS,
                      HTTP_MAX_IDLE_CONNECTIONS / HTTP_SHARD_COUNT);
}

HttpClient *
HttpClient_New(Loop *loop, long max_connections_per_host)
{
    HttpClient *client = calloc(1, sizeof(*client));
    size_t i;

    if (client == NULL) {
        return NULL;
    }
    client->loop = loop;
    for (i = 0; i < HTTP_SHARD_COUNT; i++) {
        init_shard(client, &client->shards[i], max_connections_per_host);
    }
    return client;
}

void
HttpClient_Free(HttpClient *client)
{
    HttpCall *call;
    HttpCall *next;
    size_t i;

    if (client == NULL) {
        return;
    }
    for (call = client->calls; call != NULL; call = next) {
        next = call->next;
        call->next = NULL;
        call->previous = NULL;
        free_call(call);
    }
    while (client->free_handle_count > 0) {
        curl_easy_cleanup(client->free_handles[--client->free_handle_count]);
    }
    for (i = 0; i < HTTP_SHARD_COUNT; i++) {
        curl_multi_cleanup(client->shards[i].multi);
        Loop_FreeTimer(client->shards[i].timer);
    }
    free(client);
}

static size_t
on_body(char *data, size_t size, size_t count, void *arg)
{
    HttpCall *call = arg;
    size_t len = size * count;

    if (call->body.len + len > call->max_answer_bytes) {
        call->too_large = true;
        return 0;
    }
    Buf_Append(&call->body, data, len);
    return len;
}

static void
add_headers(HttpCall *call, const HttpCallOptions *options)
{
    char line[HTTP_HEADER_LINE_BYTES];
    size_t i;

    for (i = 0; i < options->header_count; i++) {
        snprintf(line, sizeof(line), "%s: %s", options->headers[i].name,
                 options->headers[i].value);
        call->headers = curl_slist_append(call->headers, line);
    }
    /* Disables "Expect: 100-continue", for which libcurl delays a large body
     * by up to 1 s. */
    call->headers = curl_slist_append(call->headers, "Expect:");
    call->headers = curl_slist_append(call->headers, "Content-Type:");
}

static size_t
on_read_body(char *out, size_t size, size_t count, void *arg)
{
    HttpCall *call = arg;
    size_t len = call->sent_len - call->sent_at;

    if (call->sent_body == NULL) {
        return call->sent_at == call->sent_len ? 0 : CURL_READFUNC_ABORT;
    }
    if (len > size * count) {
        len = size * count;
    }
    memcpy(out, call->sent_body + call->sent_at, len);
    call->sent_at += len;
    return len;
}

/* libcurl sends a body again if a reused connection was closed before the
 * answer. */
static int
on_seek_body(void *arg, curl_off_t offset, int origin)
{
    HttpCall *call = arg;

    if (call->sent_body == NULL || origin != SEEK_SET || offset < 0 ||
        (size_t)offset > call->sent_len) {
        return CURL_SEEKFUNC_FAIL;
    }
    call->sent_at = (size_t)offset;
    return CURL_SEEKFUNC_OK;
}

static void
set_body(HttpCall *call, const HttpCallOptions *options)
{
    CURL *easy = call->easy;

    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)options->body_len);
    if (options->body_len <= HTTP_CLIENT_SHORT_BODY_BYTES) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, options->body);
        return;
    }
    call->sent_body = options->body;
    call->sent_len = options->body_len;
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_read_body);
    curl_easy_setopt(easy, CURLOPT_READDATA, call);
    curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, on_seek_body);
    curl_easy_setopt(easy, CURLOPT_SEEKDATA, call);
}

static void
set_options(HttpCall *call, const HttpCallOptions *options)
{
    Buf url = BUF_INIT;
    CURL *easy = call->easy;

    Buf_Printf(&url, "http://%s:%d%s%s", options->address.host,
               options->address.port, options->path,
               options->query != NULL ? options->query : "");
    curl_easy_setopt(easy, CURLOPT_URL, Buf_Text(&url));
    Buf_Free(&url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    if (options->body != NULL) {
        set_body(call, options);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options->method);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     options->timeout_ms > 0 ? (long)options->timeout_ms : 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)HTTP_CONNECT_TIMEOUT_MS);
    if (options->fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        /* Fresh connections that stay open would exhaust the target's limit
         * on connections. */
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

/* Returns the shard of a host. All calls to one host use the same shard, which
 * enforces the limit on its connections. */
static HttpShard *
select_shard(HttpClient *client, const SettingsAddress *address)
{
    uint64_t hash = XXH64(address->host, strlen(address->host),
                          (XXH64_hash_t)address->port);

    return &client->shards[hash % HTTP_SHARD_COUNT];
}

HttpCall *
HttpClient_StartCall(HttpClient *client, const HttpCallOptions *options,
                     HttpCallFn fn, void *arg)
{
    HttpCall *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        return NULL;
    }
    call->easy = client->free_handle_count > 0
                     ? client->free_handles[--client->free_handle_count]
                     : curl_easy_init();
    if (call->easy == NULL) {
        free(call);
        return NULL;
    }
    call->shard = select_shard(client, &options->address);
    call->fn = fn;
    call->arg = arg;
    call->max_answer_bytes = options->max_answer_bytes;
    add_headers(call, options);
    set_options(call, options);
    call->next = client->calls;
    if (client->calls != NULL) {
        client->calls->previous = call;
    }
    client->calls = call;
    curl_multi_add_handle(call->shard->multi, call->easy);
    return call;
}

bool
HttpCall_ReleaseBody(HttpCall *call)
{
    if (call->sent_len == 0 || call->sent_at < call->sent_len) {
        return false;
    }
    call->sent_body = NULL;
    return true;
}

void
HttpCall_Abort(HttpCall *call)
{
    free_call(call);
}

const char *
HttpCall_GetHeader(const HttpCall *call, const char *name)
{
    struct curl_header *header = NULL;

    if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) !=
        CURLHE_OK) {
        return NULL;
    }
    return header->value;
}
