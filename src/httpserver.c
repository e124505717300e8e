#include "httpserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <microhttpd.h>

#include "buf.h"
#include "diag.h"

/* Limits the work of a server in one event loop iteration. */
#define HTTP_MAX_RUNS_PER_POLL 16

struct HttpServer {
    struct MHD_Daemon *daemon;
    Loop *loop;
    LoopWatch *watch;
    HttpServerOptions options;
    HttpRequest *waiting; /* requests whose connections are suspended */
    bool stopping; /* true once the handler must not be called any more */
    bool resumed;  /* true if MHD_run() is due for a resumed connection */
};

struct HttpRequest {
    HttpServer *server;
    struct MHD_Connection *connection;
    char *method;
    char *path;
    Buf body;
    bool too_large;
    bool started;   /* true once handle_request() was called */
    bool suspended; /* true while the connection waits for a reply */
    HttpRequest *next_waiting;
    HttpRequest *previous_waiting;
    struct MHD_Response *response;
    unsigned int status;
};

static HttpRequest *
new_request(HttpServer *server, struct MHD_Connection *connection,
            const char *method, const char *path)
{
    HttpRequest *request = calloc(1, sizeof(*request));

    if (request != NULL) {
        request->server = server;
        request->connection = connection;
        request->method = strdup(method);
        request->path = strdup(path);
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

static void
append_body(HttpRequest *request, const char *data, size_t len)
{
    if (request->body.len + len > request->server->options.max_body_bytes) {
        request->too_large = true;
        return;
    }
    Buf_Append(&request->body, data, len);
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
    server->resumed = true;
    MHD_resume_connection(request->connection);
}

static enum MHD_Result
handle_request(HttpRequest *request)
{
    HttpServer *server = request->server;

    request->started = true;
    if (request->too_large) {
        HttpRequest_ReplyText(request, 413, "text/plain",
                              "the body is larger than the limit\n");
    }
    else if (server->stopping) {
        HttpRequest_ReplyText(request, 503, "text/plain",
                              "the server stops\n");
    }
    else {
        server->options.handler(server->options.arg, request);
    }
    if (request->response != NULL) {
        return send_response(request);
    }
    suspend_request(request);
    return MHD_YES;
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
        return request != NULL ? MHD_YES : MHD_NO;
    }
    if (*len > 0) {
        append_body(request, data, *len);
        *len = 0;
        return MHD_YES;
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

    (void)events;
    MHD_run(server->daemon);
}

static bool
run_pending(void *arg)
{
    HttpServer *server = arg;
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    int i;

    if (server->resumed) {
        server->resumed = false;
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

HttpServer *
HttpServer_New(Loop *loop, const HttpServerOptions *options, ErrCtx *err)
{
    HttpServer *server = calloc(1, sizeof(*server));
    struct sockaddr_in address;
    const union MHD_DaemonInfo *info;

    if (server == NULL) {
        Err_Set(err, ST_NO_MEMORY, "no memory for an HTTP server");
        return NULL;
    }
    server->loop = loop;
    server->options = *options;
    memset(&address, 0, sizeof(address));
    address.sin_family = AF_INET;
    address.sin_port = htons((uint16_t)options->address.port);
    inet_pton(AF_INET, options->address.host, &address.sin_addr);
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request,
        server, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_CONNECTION_TIMEOUT,
        options->idle_timeout_s, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
        server, MHD_OPTION_END);
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
    return server;
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
