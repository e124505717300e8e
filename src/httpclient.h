/*
 * NAME
 *     httpclient - HTTP calls of one event loop over libcurl's multi interface
 *
 * DESCRIPTION
 *     HTTP_CALL_NOT_SENT guarantees that no byte of the request was sent. A
 *     "not run" reply to a caller relies on this.
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
/* Bodies up to this length are sent together with the headers. */
#define HTTP_CLIENT_SHORT_BODY_BYTES 65536

typedef struct HttpClient HttpClient;
typedef struct HttpCall HttpCall;

typedef enum HttpCallStatus {
    HTTP_CALL_ANSWERED,  /* a complete answer was received */
    HTTP_CALL_NOT_SENT,  /* nothing of the request was sent */
    HTTP_CALL_LOST,      /* the connection broke; the peer may have acted */
    HTTP_CALL_TIMED_OUT, /* the call timed out; the peer may have acted */
    HTTP_CALL_TOO_LARGE  /* the answer is larger than the limit */
} HttpCallStatus;

typedef struct HttpCallOptions {
    const char *method;
    SettingsAddress address;
    const char *path;
    const char *query; /* appended to path; NULL: none */
    HttpHeader headers[HTTP_MAX_CALL_HEADERS];
    size_t header_count;
    const char *body; /* must stay valid until the call ends, or until
                       * HttpCall_ReleaseBody() returns true */
    size_t body_len;
    int64_t timeout_ms;
    size_t max_answer_bytes;
    /* Uses a new connection. Required for a request that must not run twice:
     * libcurl resends a request when a reused connection closes before the
     * first byte of the answer. */
    bool fresh_connection;
} HttpCallOptions;

typedef struct HttpCallResult {
    HttpCallStatus status;
    int http_status;
    const char *body;
    size_t body_len;
    HttpCall *call; /* argument of HttpCall_GetHeader */
} HttpCallResult;

typedef void (*HttpCallFn)(void *arg, const HttpCallResult *result);

/* Creates a client. max_connections_per_host is 0 for no limit. */
HttpClient *HttpClient_New(Loop *loop, long max_connections_per_host);
void HttpClient_Free(HttpClient *client);

/* Starts a call. fn is called once, on the loop's thread, after this function
 * has returned. Returns NULL if memory is exhausted; fn is not called then. */
HttpCall *HttpClient_StartCall(HttpClient *client,
                               const HttpCallOptions *options, HttpCallFn fn,
                               void *arg);

/* Returns whether the body of a call is no longer needed, so that its memory
 * can be freed before the call ends: it is longer than
 * HTTP_CLIENT_SHORT_BODY_BYTES and all of it was sent. The call is then lost
 * if libcurl would have to send it again. */
bool HttpCall_ReleaseBody(HttpCall *call);

/* Ends a call without calling its function. */
void HttpCall_Abort(HttpCall *call);

/* Returns a header of the answer, or NULL. */
const char *HttpCall_GetHeader(const HttpCall *call, const char *name);

#endif
