/*
 * NAME
 *     httpserver - HTTP server of one event loop over libmicrohttpd
 *
 * DESCRIPTION
 *     The handler is called with each complete request and replies within the
 *     call or later, on the same thread. A request whose body exceeds the
 *     limit gets status 413. Several servers may listen on one address
 *     (SO_REUSEPORT), one per traffic thread.
 */
#ifndef COLTSFOOT_HTTPSERVER_H
#define COLTSFOOT_HTTPSERVER_H

#include <stddef.h>

#include "buf.h"
#include "loop.h"
#include "settings.h"
#include "status.h"

#define HTTP_MAX_REPLY_HEADERS 8

typedef struct HttpServer HttpServer;
typedef struct HttpRequest HttpRequest;
typedef void (*HttpHandler)(void *arg, HttpRequest *request);

typedef struct HttpServerOptions {
    SettingsAddress address;
    size_t max_body_bytes;
    unsigned int idle_timeout_s; /* time after which idle connections close */
    HttpHandler handler;
    void *arg;
} HttpServerOptions;

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
