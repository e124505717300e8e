/*
 * NAME
 *     retry - whether work that did not succeed may run again
 *
 * DESCRIPTION
 *     A token bucket by service: each fresh request adds a share of a token,
 *     and RETRY_MIN_PER_S tokens are added each second, so that a service
 *     with little traffic can retry at all. A retry takes one token.
 *     Refusals by targets take none, since nothing ran; each request gets at
 *     most RETRY_MAX_REFUSALS of them.
 */
#ifndef COLTSFOOT_RETRY_H
#define COLTSFOOT_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "traffic_types.h"

#define RETRY_MIN_PER_S 1
/* Bounds the retries that follow a quiet time in one burst. */
#define RETRY_BURST 50
#define RETRY_MAX_REFUSALS 8
#define RETRY_MAX_FAILED 10
#define RETRY_KEPT_REFUSED 2

typedef struct RetryBudget {
    double tokens;
    int64_t filled_ms;
    bool started;
} RetryBudget;

/* Targets on which one request was tried, failures first. */
typedef struct RetryState {
    uint32_t targets[RETRY_MAX_FAILED + RETRY_KEPT_REFUSED];
    uint8_t failed;       /* different targets */
    uint8_t failures;     /* attempts */
    uint8_t kept_refused; /* the latest targets that refused */
    uint8_t refusals;
} RetryState;

typedef struct RetryInput {
    int64_t now_ms;
    int64_t deadline_ms;
    bool unrepeatable;
    uint32_t unable_targets;
    uint32_t target;
    TrafficResultKind result; /* not TRAFFIC_OK */
} RetryInput;

typedef enum RetryVerdict {
    RETRY_AGAIN,
    RETRY_UNABLE,    /* failed on unable_targets different targets */
    RETRY_REFUSED,   /* too many refusals */
    RETRY_FORBIDDEN, /* unrepeatable, or failed too often */
    RETRY_LATE,
    RETRY_SPENT /* the budget */
} RetryVerdict;

/* Counts one fresh request, when it is first sent: a request that was refused
 * leads to no retry. */
void Retry_Fresh(RetryBudget *budget, int64_t now_ms, uint32_t percent);

/* Records the result and decides. Takes a token for RETRY_AGAIN after
 * anything but a refusal. */
RetryVerdict Retry_Decide(RetryState *state, RetryBudget *budget,
                          const RetryInput *input);

#endif
