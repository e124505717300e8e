/*
 * NAME
 *     httpclient - HTTP calls of one event loop over libcurl's multi interface
 *
 * DESCRIPTION
 *     A result says whether the request was surely not sent, which is what a
 *     "not run" answer to a caller rests on.
 */
#ifndef COLTSFOOT_HTTPCLIENT_H
#define COLTSFOOT_HTTPCLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "httpserver.h"
#include "loop.h"

#define HTTP_MAX_CALL_HEADERS 12

typedef struct HttpClient HttpClient;
typedef struct HttpCall HttpCall;

typedef enum HttpCallStatus {
    HTTP_CALL_ANSWERED,  /* a whole answer arrived */
    HTTP_CALL_NOT_SENT,  /* no connection was made */
    HTTP_CALL_LOST,      /* the connection broke; the peer may have acted */
    HTTP_CALL_TIMED_OUT, /* no whole answer in time; the peer may have acted */
    HTTP_CALL_TOO_LARGE  /* the answer is larger than the limit */
} HttpCallStatus;

typedef struct HttpCallOptions {
    const char *method;
    SettingsAddress address;
    const char *path;
    HttpHeader headers[HTTP_MAX_CALL_HEADERS];
    size_t header_count;
    const char *body; /* must stay valid until the call ends */
    size_t body_len;
    int64_t timeout_ms;
    size_t max_answer_bytes;
    /* libcurl sends a request again on its own when a reused connection
     * closes before the first byte of an answer. A request that must not run
     * twice therefore needs a connection of its own. */
    bool fresh_connection;
} HttpCallOptions;

typedef struct HttpCallResult {
    HttpCallStatus status;
    int http_status;
    const char *body;
    size_t body_len;
    HttpCall *call; /* for HttpCall_Header */
} HttpCallResult;

typedef void (*HttpCallFn)(void *arg, const HttpCallResult *result);

HttpClient *HttpClient_New(Loop *loop, long max_per_host);
void HttpClient_Free(HttpClient *client);

/* Starts a call; fn runs once, on the loop's thread, never inside this call.
 * Returns NULL without memory, and fn does not run then. */
HttpCall *HttpClient_Start(HttpClient *client, const HttpCallOptions *options,
                           HttpCallFn fn, void *arg);

/* Returns a header of the answer, or NULL. */
const char *HttpCall_Header(const HttpCall *call, const char *name);

#endif
