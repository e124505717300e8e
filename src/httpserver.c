#include "httpserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <microhttpd.h>

#include "buf.h"
#include "diag.h"
#include "mem.h"
#include "slog.h"

/* Limits the work of a server in one event loop iteration. */
#define HTTP_MAX_RUNS_PER_POLL 16

/* First size of the buffer of a body of unknown length. */
#define HTTP_FIRST_BODY_BYTES 4096
#define HTTP_SWEEP_INTERVAL_MS 1000
/* Connections that libmicrohttpd may accept before those that are closed for
 * them have ended. It accepts a few in each run. */
#define HTTP_MAX_SLACK 64

#define HTTP_LAST_REPLY "Connection: close\r\nContent-Length: 0\r\n\r\n"

struct HttpServer {
    struct MHD_Daemon *daemon;
    Loop *loop;
    LoopWatch *watch;
    LoopTimer *sweep;
    HttpServerOptions options;
    HttpBudget budget;
    size_t max_body_bytes;
    size_t max_header_bytes; /* 0: only bounded by the connection's memory */
    uint64_t logged[HTTP_CAUSE_COUNT]; /* counts of the last log line */
    uint64_t accepted;       /* number of connections since the start */
    uint64_t swept_accepted; /* that number at the last sweep */
    HttpRequest *waiting;    /* requests whose connections are suspended */
    bool stopping; /* true once the handler must not be called any more */
    bool run_due;  /* true if MHD_run() is due without an event */
};

typedef struct HttpConnection {
    HttpHolder holder; /* the first member */
    HttpServer *server;
    HttpRequest *request; /* current request, or NULL */
    int fd;
    bool closing;
} HttpConnection;

struct HttpRequest {
    HttpServer *server;
    struct MHD_Connection *connection;
    HttpConnection *client;
    char *method;
    char *path;
    Buf body;
    uint64_t announced; /* Content-Length, or 0 if it is not known */
    size_t discarded;   /* bytes of a refused body that were not kept */
    int refused;        /* status of the refusal, or 0 */
    bool started;       /* true once handle_request() was called */
    bool suspended;     /* true while the connection waits for a reply */
    HttpRequest *next_waiting;
    HttpRequest *previous_waiting;
    struct MHD_Response *response;
    unsigned int status;
};

/* --- connections --- */

/* Answers a request whose body libmicrohttpd is still reading, when it accepts
 * no response. The client may not receive it. */
static void
send_refusal(const HttpConnection *client, int status)
{
    const char *text = "HTTP/1.1 503 Service Unavailable\r\n"
                       "Retry-After: 1\r\n" HTTP_LAST_REPLY;

    if (status == 408) {
        text = "HTTP/1.1 408 Request Timeout\r\n" HTTP_LAST_REPLY;
    }
    else if (status == 413) {
        text = "HTTP/1.1 413 Content Too Large\r\n" HTTP_LAST_REPLY;
    }
    send(client->fd, text, strlen(text), MSG_NOSIGNAL | MSG_DONTWAIT);
}

/* Closes a connection whose request, if it has one, is not being handled, and
 * frees what it holds. libmicrohttpd ends the connection when it notices that
 * its socket was shut down. */
static void
close_client(HttpServer *server, HttpHolder *holder, HttpBudgetCause cause)
{
    HttpConnection *client = (HttpConnection *)holder;
    HttpRequest *request = client->request;

    server->budget.counts[cause]++;
    if (holder->state == HTTP_HOLDER_READING) {
        send_refusal(client, cause == HTTP_CLOSED_IDLE ? 408 : 503);
    }
    HttpBudget_Close(&server->budget, holder);
    client->closing = true;
    if (request != NULL) {
        Buf_Free(&request->body);
        if (request->response != NULL) {
            MHD_destroy_response(request->response);
            request->response = NULL;
        }
    }
    shutdown(client->fd, SHUT_RDWR);
}

static void
on_connection(void *arg, struct MHD_Connection *connection, void **context,
              enum MHD_ConnectionNotificationCode code)
{
    HttpServer *server = arg;
    HttpConnection *client = *context;
    HttpHolder *excess;

    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        server->accepted++;
        client = Mem_New(1, sizeof(*client));
        client->server = server;
        client->fd = MHD_get_connection_info(connection,
                                             MHD_CONNECTION_INFO_CONNECTION_FD)
                         ->connect_fd;
        *context = client;
        HttpBudget_Open(&server->budget, &client->holder, Loop_NowMs());
        while ((excess = HttpBudget_FindExcess(&server->budget,
                                               &client->holder)) != NULL) {
            close_client(server, excess, HTTP_CLOSED_CONNECTIONS);
        }
        return;
    }
    HttpBudget_Close(&server->budget, &client->holder);
    free(client);
    *context = NULL;
    /* At its limit libmicrohttpd stops to accept connections, and begins again
     * only when it is run after one has ended. */
    server->run_due = true;
}

/* Returns whether connections wait to be accepted. */
static bool
has_waiting_connections(const HttpServer *server)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_LISTEN_FD);
    struct pollfd listener = {.fd = info != NULL ? info->listen_fd : -1,
                              .events = POLLIN};

    return listener.fd >= 0 && poll(&listener, 1, 0) == 1 &&
           (listener.revents & POLLIN) != 0;
}

/* Returns whether connections wait although none was accepted since the last
 * sweep: the process is out of descriptors, and libmicrohttpd has paused until
 * one of its connections ends. */
static bool
is_out_of_descriptors(HttpServer *server)
{
    bool idle = server->accepted == server->swept_accepted;

    server->swept_accepted = server->accepted;
    return idle && has_waiting_connections(server);
}

static void
on_sweep(void *arg)
{
    HttpServer *server = arg;
    HttpHolder *holder;

    Loop_SetEvents(server->watch, LOOP_READ);
    /* libmicrohttpd checks its timeouts only when it is run. What clients sent
     * while the process was suspended is read before they are judged. */
    MHD_run(server->daemon);
    while ((holder = HttpBudget_FindTimedOut(&server->budget, Loop_NowMs())) !=
           NULL) {
        close_client(server, holder, HTTP_CLOSED_IDLE);
    }
    if (is_out_of_descriptors(server) &&
        (holder = HttpBudget_FindOldest(&server->budget, NULL)) != NULL) {
        close_client(server, holder, HTTP_CLOSED_CONNECTIONS);
    }
}

static void
set_state(HttpConnection *client, HttpHolderState state)
{
    HttpBudget_SetState(&client->server->budget, &client->holder, state,
                        Loop_NowMs());
}

static void
set_bytes(HttpConnection *client, size_t bytes)
{
    HttpBudget_SetBytes(&client->server->budget, &client->holder, bytes);
}

/* --- requests --- */

static uint64_t
get_announced_length(struct MHD_Connection *connection)
{
    const char *text = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);

    return text != NULL ? strtoull(text, NULL, 10) : 0;
}

static HttpRequest *
new_request(HttpServer *server, struct MHD_Connection *connection,
            const char *method, const char *path)
{
    HttpRequest *request = calloc(1, sizeof(*request));

    if (request != NULL) {
        request->server = server;
        request->connection = connection;
        request->client = MHD_get_connection_info(
                              connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
                              ->socket_context;
        request->client->request = request;
        request->method = strdup(method);
        request->path = strdup(path);
        request->announced = get_announced_length(connection);
    }
    return request;
}

static enum MHD_Result
send_response(HttpRequest *request)
{
    enum MHD_Result result = MHD_queue_response(
        request->connection, request->status, request->response);

    MHD_destroy_response(request->response);
    request->response = NULL;
    return result;
}

/* Refuses a request whose body is not complete, and frees what was read. */
static void
refuse_request(HttpRequest *request, int status)
{
    HttpBudget *budget = &request->server->budget;

    budget
        ->counts[status == 413 ? HTTP_REFUSED_TOO_LARGE : HTTP_REFUSED_BUSY]++;
    request->refused = status;
    Buf_Free(&request->body);
    set_bytes(request->client, 0);
}

/* Closes inactive connections until more bytes can be held. Returns false if
 * all that hold bytes are active. */
static bool
make_room(HttpRequest *request, size_t bytes)
{
    HttpServer *server = request->server;
    HttpHolder *inactive;

    while (!HttpBudget_HasRoom(&server->budget, bytes)) {
        inactive = HttpBudget_FindInactive(
            &server->budget, &request->client->holder, Loop_NowMs());
        if (inactive == NULL) {
            return false;
        }
        close_client(server, inactive, HTTP_CLOSED_BYTES);
    }
    return true;
}

/* Returns the size of the buffer that a body of at least len bytes gets: it
 * doubles, but does not exceed what the body may have, and one byte for a
 * terminator. */
static size_t
get_body_capacity(const HttpRequest *request, size_t len)
{
    size_t most = request->server->max_body_bytes;
    size_t capacity = request->body.capacity * 2;

    if (request->announced != 0 && request->announced < most) {
        most = (size_t)request->announced;
    }
    if (capacity < HTTP_FIRST_BODY_BYTES) {
        capacity = HTTP_FIRST_BODY_BYTES;
    }
    if (capacity > most) {
        capacity = most;
    }
    return (capacity > len ? capacity : len) + 1;
}

static void
append_body(HttpRequest *request, const char *data, size_t len)
{
    size_t wanted = request->body.len + len;

    if (wanted > request->server->max_body_bytes) {
        refuse_request(request, 413);
        return;
    }
    if (wanted > request->body.capacity) {
        size_t capacity = get_body_capacity(request, wanted);
        if (!make_room(request, capacity - request->body.capacity)) {
            refuse_request(request, 503);
            return;
        }
        Buf_Reserve(&request->body, capacity);
        set_bytes(request->client, request->body.capacity);
    }
    Buf_Append(&request->body, data, len);
}

/* Takes a part of a body. A refused body is read and not kept, so that a
 * client that sends a little too much gets its answer, but at most for the
 * length of a legal body. */
static enum MHD_Result
receive_body(HttpRequest *request, const char *data, size_t len)
{
    if (request->refused == 0) {
        append_body(request, data, len);
    }
    if (request->refused == 0) {
        set_state(request->client, HTTP_HOLDER_READING);
        return MHD_YES;
    }
    request->discarded += len;
    if (request->discarded > request->server->max_body_bytes) {
        send_refusal(request->client, request->refused);
        return MHD_NO;
    }
    set_state(request->client, HTTP_HOLDER_KEPT);
    return MHD_YES;
}

static void
suspend_request(HttpRequest *request)
{
    HttpServer *server = request->server;

    request->suspended = true;
    request->next_waiting = server->waiting;
    if (server->waiting != NULL) {
        server->waiting->previous_waiting = request;
    }
    server->waiting = request;
    MHD_suspend_connection(request->connection);
}

static void
resume_request(HttpRequest *request)
{
    HttpServer *server = request->server;

    request->suspended = false;
    if (request->previous_waiting != NULL) {
        request->previous_waiting->next_waiting = request->next_waiting;
    }
    else {
        server->waiting = request->next_waiting;
    }
    if (request->next_waiting != NULL) {
        request->next_waiting->previous_waiting = request->previous_waiting;
    }
    server->run_due = true;
    MHD_resume_connection(request->connection);
}

static void
reply_refusal(HttpRequest *request)
{
    HttpReply busy = {.status = 503,
                      .content_type = "text/plain",
                      .headers = {{"Retry-After", "1"}},
                      .header_count = 1,
                      .body = "too many open requests\n",
                      .body_len = strlen("too many open requests\n")};

    if (request->refused == 413) {
        HttpRequest_ReplyText(request, 413, "text/plain",
                              "the body is larger than the limit\n");
    }
    else if (request->refused == 431) {
        HttpRequest_ReplyText(request, 431, "text/plain",
                              "the headers are larger than the limit\n");
    }
    else {
        HttpRequest_Reply(request, &busy);
    }
}

static enum MHD_Result
handle_request(HttpRequest *request)
{
    HttpServer *server = request->server;

    request->started = true;
    set_state(request->client, HTTP_HOLDER_BUSY);
    if (request->refused != 0) {
        reply_refusal(request);
    }
    else if (server->stopping) {
        HttpRequest_ReplyText(request, 503, "text/plain",
                              "the server stops\n");
    }
    else {
        server->options.handler(server->options.arg, request);
    }
    if (request->client->closing) {
        return MHD_NO;
    }
    if (request->response != NULL) {
        return send_response(request);
    }
    suspend_request(request);
    return MHD_YES;
}

static bool
has_long_headers(const HttpRequest *request)
{
    size_t most = request->server->max_header_bytes;

    return most != 0 &&
           MHD_get_connection_info(request->connection,
                                   MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
                   ->header_size > most;
}

/* Starts to read a request, or refuses it if its headers or its body are
 * too large. */
static enum MHD_Result
begin_request(HttpRequest *request)
{
    if (request->client->closing) {
        return MHD_NO;
    }
    set_state(request->client, HTTP_HOLDER_READING);
    if (request->announced > request->server->max_body_bytes) {
        refuse_request(request, 413);
    }
    else if (has_long_headers(request)) {
        refuse_request(request, 431);
    }
    return request->refused != 0 ? handle_request(request) : MHD_YES;
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *data,
           size_t *len, void **state)
{
    HttpRequest *request = *state;

    (void)version;
    if (request == NULL) {
        request = new_request(arg, connection, method, path);
        *state = request;
        return request != NULL ? begin_request(request) : MHD_NO;
    }
    if (request->client->closing) {
        return MHD_NO;
    }
    if (*len > 0) {
        size_t received = *len;
        *len = 0;
        return receive_body(request, data, received);
    }
    if (!request->started) {
        return handle_request(request);
    }
    return request->response != NULL ? send_response(request) : MHD_YES;
}

static void
on_completed(void *arg, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    HttpRequest *request = *state;

    (void)arg;
    (void)connection;
    (void)code;
    if (request == NULL) {
        return;
    }
    if (request->response != NULL) {
        MHD_destroy_response(request->response);
    }
    request->client->request = NULL;
    set_bytes(request->client, 0);
    set_state(request->client, HTTP_HOLDER_KEPT);
    Buf_Free(&request->body);
    free(request->method);
    free(request->path);
    free(request);
    *state = NULL;
}

static void
on_epoll_event(void *arg, int events)
{
    HttpServer *server = arg;

    uint64_t accepted = server->accepted;

    (void)events;
    MHD_run(server->daemon);
    /* Without a connection of its own libmicrohttpd does not pause when the
     * process is out of descriptors, so the events are paused until the next
     * sweep. */
    if (server->budget.connections == 0 && server->accepted == accepted &&
        has_waiting_connections(server)) {
        Loop_SetEvents(server->watch, 0);
    }
}

static bool
run_pending(void *arg)
{
    HttpServer *server = arg;
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    int i;

    if (server->run_due) {
        server->run_due = false;
        MHD_run(server->daemon);
    }
    for (i = 0; i < HTTP_MAX_RUNS_PER_POLL; i++) {
        if (MHD_get_timeout(server->daemon, &timeout) != MHD_YES ||
            timeout != 0) {
            return false;
        }
        MHD_run(server->daemon);
    }
    return true;
}

static void
set_limits(HttpServer *server)
{
    static const HttpLimits none = {0, 0, 0, 0};
    HttpServerOptions *options = &server->options;
    size_t slack;

    if (options->max_connections == 0) {
        options->max_connections = HTTP_DEFAULT_CONNECTIONS;
    }
    if (options->max_open_bytes == 0) {
        options->max_open_bytes = SIZE_MAX;
    }
    /* One body within the limits is always accepted. */
    if (options->max_open_bytes <= options->max_body_bytes) {
        options->max_open_bytes = options->max_body_bytes + 1;
    }
    slack = options->max_connections / 8 + 1;
    if (slack > HTTP_MAX_SLACK) {
        slack = HTTP_MAX_SLACK;
    }
    server->budget.max_connections = options->max_connections > slack
                                         ? options->max_connections - slack
                                         : 1;
    server->budget.max_bytes = options->max_open_bytes;
    HttpServer_SetLimits(server, &none);
}

static struct MHD_Daemon *
start_daemon(HttpServer *server)
{
    const HttpServerOptions *options = &server->options;
    struct sockaddr_in address;

    memset(&address, 0, sizeof(address));
    address.sin_family = AF_INET;
    address.sin_port = htons((uint16_t)options->address.port);
    inet_pton(AF_INET, options->address.host, &address.sin_addr);
    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request,
        server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_CONNECTION_TIMEOUT,
        options->idle_timeout_s, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned int)options->max_connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HTTP_CONNECTION_BYTES,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, server, MHD_OPTION_END);
}

HttpServer *
HttpServer_New(Loop *loop, const HttpServerOptions *options, ErrCtx *err)
{
    HttpServer *server = calloc(1, sizeof(*server));
    const union MHD_DaemonInfo *info;

    if (server == NULL) {
        Err_Set(err, ST_NO_MEMORY, "no memory for an HTTP server");
        return NULL;
    }
    server->loop = loop;
    server->options = *options;
    set_limits(server);
    server->daemon = start_daemon(server);
    if (server->daemon == NULL) {
        Err_Set(err, ST_IO, "cannot listen on %s:%d", options->address.host,
                options->address.port);
        free(server);
        return NULL;
    }
    info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    server->watch =
        Loop_Watch(loop, info->epoll_fd, LOOP_READ, on_epoll_event, server);
    Loop_AddPrepareHook(loop, run_pending, server);
    server->sweep = Loop_NewTimer(loop, on_sweep, server);
    Loop_Arm(server->sweep, HTTP_SWEEP_INTERVAL_MS, HTTP_SWEEP_INTERVAL_MS);
    return server;
}

size_t
HttpServer_LimitConnections(long long wanted, unsigned int share)
{
    struct rlimit limit;
    size_t most;

    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY) {
        return (size_t)wanted;
    }
    most = (size_t)limit.rlim_cur / 16 * share;
    return (size_t)wanted < most ? (size_t)wanted : most;
}

void
HttpServer_SetLimits(HttpServer *server, const HttpLimits *limits)
{
    server->max_header_bytes = limits->max_header_bytes;
    server->max_body_bytes = server->options.max_body_bytes;
    if (limits->max_body_bytes != 0 &&
        limits->max_body_bytes < server->max_body_bytes) {
        server->max_body_bytes = limits->max_body_bytes;
    }
    server->budget.header_timeout_ms = limits->header_timeout_ms != 0
                                           ? limits->header_timeout_ms
                                           : HTTP_BUDGET_IDLE_MS;
    server->budget.body_timeout_ms = limits->body_timeout_ms != 0
                                         ? limits->body_timeout_ms
                                         : HTTP_BUDGET_IDLE_MS;
}

const HttpBudget *
HttpServer_GetBudget(const HttpServer *server)
{
    return server != NULL ? &server->budget : NULL;
}

void
HttpServer_LogBudget(HttpServer *server, const char *address)
{
    const HttpBudget *budget;
    int i;

    if (server == NULL || memcmp(server->logged, server->budget.counts,
                                 sizeof(server->logged)) == 0) {
        return;
    }
    budget = &server->budget;
    Slog_Begin(SLOG_FAILURE, "clients_limited");
    Slog_AddText("address", address);
    Slog_AddInt("connections", (int64_t)budget->connections);
    Slog_AddInt("bytes", (int64_t)budget->bytes);
    for (i = 0; i < HTTP_CAUSE_COUNT; i++) {
        Slog_AddInt(HttpBudget_GetCauseName((HttpBudgetCause)i),
                    (int64_t)(budget->counts[i] - server->logged[i]));
    }
    Slog_End();
    memcpy(server->logged, budget->counts, sizeof(server->logged));
}

void
HttpServer_StopListening(HttpServer *server)
{
    MHD_socket listener = MHD_quiesce_daemon(server->daemon);

    if (listener != MHD_INVALID_SOCKET) {
        close(listener);
    }
}

void
HttpServer_Free(HttpServer *server)
{
    if (server != NULL) {
        server->stopping = true;
        /* MHD_stop_daemon() aborts if a connection is suspended. */
        while (server->waiting != NULL) {
            HttpRequest_ReplyText(server->waiting, 504, "text/plain",
                                  "the server stops\n");
        }
        run_pending(server);
        Loop_FreeTimer(server->sweep);
        Loop_Unwatch(server->watch);
        MHD_stop_daemon(server->daemon);
        free(server);
    }
}

const char *
HttpRequest_GetMethod(const HttpRequest *request)
{
    return request->method;
}

const char *
HttpRequest_GetPath(const HttpRequest *request)
{
    return request->path;
}

const char *
HttpRequest_GetHeader(const HttpRequest *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
HttpRequest_GetQuery(const HttpRequest *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

const char *
HttpRequest_GetBody(const HttpRequest *request, size_t *len)
{
    *len = request->body.len;
    return request->body.data != NULL ? request->body.data : "";
}

void
HttpRequest_TakeBody(HttpRequest *request, Buf *body)
{
    *body = request->body;
    request->body = (Buf)BUF_INIT;
}

/* Counts the answer instead of the body, which is no longer needed. If there
 * is no room for it, those connections are closed that have had an answer the
 * longest, since an answer may not be refused after its request has run. */
static void
hold_answer(HttpRequest *request, size_t bytes)
{
    HttpServer *server = request->server;
    HttpHolder *holder = &request->client->holder;
    HttpHolder *oldest;

    Buf_Free(&request->body);
    set_bytes(request->client, 0);
    set_state(request->client, HTTP_HOLDER_SENDING);
    if (bytes > 0 && !make_room(request, bytes)) {
        while (!HttpBudget_HasRoom(&server->budget, bytes) &&
               (oldest = server->budget.first[HTTP_HOLDER_SENDING]) !=
                   holder) {
            close_client(server, oldest, HTTP_CLOSED_BYTES);
        }
    }
    set_bytes(request->client, bytes);
}

void
HttpRequest_Reply(HttpRequest *request, const HttpReply *reply)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        reply->body_len, (void *)(uintptr_t)reply->body,
        MHD_RESPMEM_MUST_COPY);
    size_t i;

    for (i = 0; i < reply->header_count; i++) {
        MHD_add_response_header(response, reply->headers[i].name,
                                reply->headers[i].value);
    }
    if (reply->content_type != NULL) {
        MHD_add_response_header(response, "Content-Type", reply->content_type);
    }
    request->response = response;
    request->status = (unsigned int)reply->status;
    hold_answer(request, reply->body_len);
    if (request->suspended) {
        resume_request(request);
    }
}

void
HttpRequest_ReplyText(HttpRequest *request, int status,
                      const char *content_type, const char *text)
{
    HttpReply reply = {.status = status,
                       .content_type = content_type,
                       .body = text,
                       .body_len = strlen(text)};

    HttpRequest_Reply(request, &reply);
}
