/*
 * NAME
 *     httpbudget - bounds on what the clients of one HTTP server hold
 *
 * DESCRIPTION
 *     Core without I/O. Accounts for the connections of a server and for the
 *     bytes of their bodies and answers, and decides which connection to close
 *     when a bound is reached: the one that has been longest without progress.
 *     A connection whose request is being handled is never chosen, since its
 *     request may have run.
 *
 *     Each listening address has a budget of its own, so that callers cannot
 *     take the connections of operators, targets or peers.
 *
 *     Times are ms of a monotonic clock.
 */
#ifndef COLTSFOOT_HTTPBUDGET_H
#define COLTSFOOT_HTTPBUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A connection with progress within this time is not closed for bytes. */
#define HTTP_BUDGET_ACTIVE_MS 1000
/* A request that is still incomplete after this time counts as inactive even
 * if it makes progress: a body within the limits takes less. */
#define HTTP_BUDGET_SLOW_MS 30000
/* Default of the longest time for the headers of a first request and without
 * progress of a body: the idle timeout of the deployments so far. */
#define HTTP_BUDGET_IDLE_MS 15000

typedef enum HttpHolderState {
    HTTP_HOLDER_NEW,     /* no complete headers yet */
    HTTP_HOLDER_KEPT,    /* between requests, or without a body of its own */
    HTTP_HOLDER_READING, /* holds a part of a body */
    HTTP_HOLDER_BUSY,    /* its request is being handled */
    HTTP_HOLDER_SENDING, /* holds an answer */
    HTTP_HOLDER_STATE_COUNT
} HttpHolderState;

/* A connection. */
typedef struct HttpHolder {
    HttpHolderState state;
    size_t bytes;
    int64_t opened_ms; /* start of the connection or of its request */
    int64_t progress_ms;
    bool counted; /* false before HttpBudget_Open and after HttpBudget_Close */
    struct HttpHolder *next; /* in the list of its state, by progress */
    struct HttpHolder *previous;
} HttpHolder;

typedef enum HttpBudgetCause {
    HTTP_CLOSED_CONNECTIONS, /* closed for the bound on connections */
    HTTP_CLOSED_BYTES,       /* closed for the bound on bytes */
    HTTP_CLOSED_IDLE,        /* closed since it made no progress */
    HTTP_REFUSED_TOO_LARGE,  /* refused: its body is over the limit */
    HTTP_REFUSED_BUSY,       /* refused: all others are active */
    HTTP_CAUSE_COUNT
} HttpBudgetCause;

typedef struct HttpBudget {
    size_t max_connections;
    size_t max_bytes;
    int64_t header_timeout_ms; /* from the start of a connection */
    int64_t body_timeout_ms;   /* without progress */
    size_t connections;
    size_t bytes;
    uint64_t counts[HTTP_CAUSE_COUNT];
    HttpHolder *first[HTTP_HOLDER_STATE_COUNT];
    HttpHolder *last[HTTP_HOLDER_STATE_COUNT];
} HttpBudget;

/* Adds a connection, which may bring the budget over max_connections. */
void HttpBudget_Open(HttpBudget *budget, HttpHolder *holder, int64_t now);

/* Removes a connection and its bytes. Does nothing if it is not counted. */
void HttpBudget_Close(HttpBudget *budget, HttpHolder *holder);

/* Records progress of a connection. A change from or to HTTP_HOLDER_KEPT
 * begins a request. */
void HttpBudget_SetState(HttpBudget *budget, HttpHolder *holder,
                         HttpHolderState state, int64_t now);

/* Sets the bytes that a connection holds. */
void HttpBudget_SetBytes(HttpBudget *budget, HttpHolder *holder, size_t bytes);

bool HttpBudget_HasRoom(const HttpBudget *budget, size_t bytes);

/* Returns the connection other than except, which may be NULL, that has been
 * longest without progress, or NULL if all are busy. */
HttpHolder *HttpBudget_FindOldest(const HttpBudget *budget,
                                  const HttpHolder *except);

/* Returns the connection to close since there are more than max_connections,
 * or NULL if there are not. Returns newest if all others are busy. */
HttpHolder *HttpBudget_FindExcess(const HttpBudget *budget,
                                  HttpHolder *newest);

/* Returns the connection other than holder to close so that it can hold more
 * bytes, or NULL if all that hold bytes are active. */
HttpHolder *HttpBudget_FindInactive(const HttpBudget *budget,
                                    const HttpHolder *holder, int64_t now);

/* Returns a connection that has exceeded a timeout, or NULL. */
HttpHolder *HttpBudget_FindTimedOut(const HttpBudget *budget, int64_t now);

/* Returns the label of a cause. */
const char *HttpBudget_GetCauseName(HttpBudgetCause cause);

#endif
