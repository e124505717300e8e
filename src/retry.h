/*
 * NAME
 *     retry - retry decisions and retry budget
 *
 * DESCRIPTION
 *     Each service has a token bucket. Each dispatched request adds a
 *     fraction of a token. RETRY_REFILL_PER_S tokens are added per second, so
 *     that a service with little traffic can retry as well. A retry takes one
 *     token. A retry after a refusal by the target takes none, since nothing
 *     ran; a request ends after RETRY_MAX_REFUSALS refusals.
 */
#ifndef COLTSFOOT_RETRY_H
#define COLTSFOOT_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "traffic_types.h"

#define RETRY_REFILL_PER_S 1
/* Capacity of the bucket: limits the burst of retries after an idle period. */
#define RETRY_MAX_TOKENS 50
#define RETRY_MAX_REFUSALS 8
#define RETRY_MAX_FAILED_TARGETS 10
#define RETRY_MAX_KEPT_REFUSED 2

typedef struct RetryBudget {
    double tokens;
    int64_t refilled_ms;
    bool initialized;
} RetryBudget;

/* Targets on which a request was tried: first those that failed, then those
 * that refused. */
typedef struct RetryState {
    uint32_t targets[RETRY_MAX_FAILED_TARGETS + RETRY_MAX_KEPT_REFUSED];
    uint8_t failed; /* number of distinct targets that failed */
    uint8_t failed_attempts;
    uint8_t kept_refused; /* number of targets kept that refused last */
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

typedef enum RetryDecision {
    RETRY_ALLOWED,
    RETRY_UNABLE,    /* failed on unable_targets distinct targets */
    RETRY_REFUSED,   /* too many refusals */
    RETRY_FORBIDDEN, /* unrepeatable, or failed too often */
    RETRY_DEADLINE_PASSED,
    RETRY_BUDGET_SPENT
} RetryDecision;

/* Adds percent / 100 tokens for one request. Called at the first dispatch of
 * the request, since a request refused before that causes no retry. */
void Retry_CountRequest(RetryBudget *budget, int64_t now_ms, uint32_t percent);

/* Records the result and decides whether the request may be retried. Takes a
 * token for RETRY_ALLOWED, except after a refusal. */
RetryDecision Retry_Decide(RetryState *state, RetryBudget *budget,
                           const RetryInput *input);

#endif
