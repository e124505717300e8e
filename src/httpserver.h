/*
 * NAME
 *     httpserver - HTTP server of one event loop over libmicrohttpd
 *
 * DESCRIPTION
 *     A handler gets each whole request and answers it at once or later, on
 *     the same thread. Bodies are bounded; a larger one is answered with 413.
 *     Several servers may listen on one address (SO_REUSEPORT), one for each
 *     traffic thread.
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
    unsigned int idle_timeout_s; /* of a connection without a request */
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

/* Closes the listening socket; connections in use go on. */
void HttpServer_StopListening(HttpServer *server);

void HttpServer_Free(HttpServer *server);

const char *HttpRequest_Method(const HttpRequest *request);
const char *HttpRequest_Path(const HttpRequest *request);

/* Returns a header or query value, or NULL. */
const char *HttpRequest_Header(const HttpRequest *request, const char *name);
const char *HttpRequest_Query(const HttpRequest *request, const char *name);
const char *HttpRequest_Body(const HttpRequest *request, size_t *len);

/* Moves the body out; the request has none afterwards. */
void HttpRequest_TakeBody(HttpRequest *request, Buf *body);

/* Answers the request and ends its life for the handler. Copies all. */
void HttpRequest_Reply(HttpRequest *request, const HttpReply *reply);

/* Answers with a body of text and a content type. */
void HttpRequest_ReplyText(HttpRequest *request, int status,
                           const char *content_type, const char *text);

#endif
