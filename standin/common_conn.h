/*
 * NAME
 *     common_conn - HTTP connection that is kept open, one request at a time
 *
 * DESCRIPTION
 *     Reports each attempt: libcurl resends a request by itself if a reused
 *     connection closes before the answer, so a caller would not know how many
 *     attempts there were. The connection is opened by the first request and
 *     kept until the peer or a timeout closes it.
 */
#ifndef COLTSFOOT_STANDIN_COMMON_CONN_H
#define COLTSFOOT_STANDIN_COMMON_CONN_H

#include "buf.h"
#include "loop.h"
#include "settings.h"

typedef struct Conn Conn;

typedef enum ConnOutcome {
    CONN_ANSWERED,
    CONN_NOT_SENT, /* no byte of the request was sent */
    CONN_BROKEN,   /* the connection ended before a complete answer */
    CONN_TIMED_OUT
} ConnOutcome;

typedef struct ConnResult {
    ConnOutcome outcome;
    int status;
    const char *body;
    size_t body_len;
    int retry_after_s;  /* -1 if the header is missing */
    int64_t written_ms; /* wall time at which the last byte was sent */
} ConnResult;

typedef void (*ConnFn)(void *arg, const ConnResult *result);

Conn *Conn_New(Loop *loop, const SettingsAddress *address);
void Conn_Free(Conn *conn);
bool Conn_IsBusy(const Conn *conn);
bool Conn_IsOpen(const Conn *conn);

/* Sends the bytes of a request on an idle connection. fn is called once, after
 * this function has returned. Takes the content of the buffer. */
void Conn_Send(Conn *conn, Buf *request, int64_t timeout_ms, ConnFn fn,
               void *arg);

#endif
