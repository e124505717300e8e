/*
 * NAME
 *     httpserver - HTTP server of one event loop over libmicrohttpd
 *
 * DESCRIPTION
 *     The handler is called with each complete request and replies within the
 *     call or later, on the same thread. Several servers may listen on one
 *     address (SO_REUSEPORT), one per traffic thread.
 *
 *     A request whose body exceeds the limit gets status 413, at once if its
 *     length is announced. The connections of a server, and the bytes of their
 *     bodies and answers, are bounded (httpbudget): connections without
 *     progress are closed, and if all are active, a request with a body gets
 *     status 503. No request that was refused or closed by these bounds
 *     reaches the handler.
 */
#ifndef COLTSFOOT_HTTPSERVER_H
#define COLTSFOOT_HTTPSERVER_H

#include <stddef.h>

#include "buf.h"
#include "httpbudget.h"
#include "loop.h"
#include "settings.h"
#include "status.h"

#define HTTP_MAX_REPLY_HEADERS 8

#define HTTP_DEFAULT_CONNECTIONS 1000
/* Limit for addresses that only health checks and scrapes use. */
#define HTTP_FEW_CONNECTIONS 64
/* Memory of libmicrohttpd for one connection, which also bounds its headers:
 * 16,384 bytes of headers, their index and the headers of the answer. */
#define HTTP_CONNECTION_BYTES 24576

typedef struct HttpServer HttpServer;
typedef struct HttpRequest HttpRequest;
typedef void (*HttpHandler)(void *arg, HttpRequest *request);

typedef struct HttpServerOptions {
    SettingsAddress address;
    size_t max_body_bytes;
    unsigned int idle_timeout_s; /* time after which idle connections close */
    size_t max_connections;      /* 0: HTTP_DEFAULT_CONNECTIONS */
    size_t max_open_bytes;       /* of bodies and answers; 0: no limit */
    HttpHandler handler;
    void *arg;
} HttpServerOptions;

/* Limits that may change while a server runs; 0 selects the default. */
typedef struct HttpLimits {
    size_t max_header_bytes; /* at most about HTTP_CONNECTION_BYTES */
    size_t max_body_bytes;   /* at most that of the options */
    int64_t header_timeout_ms;
    int64_t body_timeout_ms; /* without progress */
} HttpLimits;

typedef struct HttpHeader {
    const char *name;
    const char *value;
} HttpHeader;

typedef struct HttpReply {
    int status;
    const char *content_type;
    HttpHeader headers[HTTP_MAX_REPLY_HEADERS];
    size_t header_count;
    const char *body;
    size_t body_len;
} HttpReply;

HttpServer *HttpServer_New(Loop *loop, const HttpServerOptions *options,
                           ErrCtx *err);

/* Returns the smaller of wanted and share sixteenths of the descriptors that
 * the process may have, so that the rest remains for peers, targets and other
 * addresses. */
size_t HttpServer_LimitConnections(long long wanted, unsigned int share);

/* Applies limits to the requests that begin from now on. */
void HttpServer_SetLimits(HttpServer *server, const HttpLimits *limits);

/* Returns what the clients of the server hold, or NULL without a server. */
const HttpBudget *HttpServer_GetBudget(const HttpServer *server);

/* Logs what was closed or refused since the last such line, if anything was.
 * server may be NULL. Only for servers on the thread that owns the log; the
 * caller bounds the rate. */
void HttpServer_LogBudget(HttpServer *server, const char *address);

/* Closes the listening socket. Open connections remain usable. */
void HttpServer_StopListening(HttpServer *server);

/* Sends the replies that are due and answers requests that still wait for one
 * with 504. The handler's owner must not reply to them afterwards. */
void HttpServer_Free(HttpServer *server);

const char *HttpRequest_GetMethod(const HttpRequest *request);
const char *HttpRequest_GetPath(const HttpRequest *request);

/* Returns the value of a header or query parameter, or NULL. */
const char *HttpRequest_GetHeader(const HttpRequest *request,
                                  const char *name);
const char *HttpRequest_GetQuery(const HttpRequest *request, const char *name);
const char *HttpRequest_GetBody(const HttpRequest *request, size_t *len);

/* Moves the body to the caller's buffer and leaves the request without one. */
void HttpRequest_TakeBody(HttpRequest *request, Buf *body);

/* Replies to the request, which the handler must not use afterwards. Copies
 * the headers and the body. */
void HttpRequest_Reply(HttpRequest *request, const HttpReply *reply);

/* Replies with a text body. */
void HttpRequest_ReplyText(HttpRequest *request, int status,
                           const char *content_type, const char *text);

#endif
