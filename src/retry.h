/*
 * NAME
 *     retry - retry decisions and retry budget
 *
 * DESCRIPTION
 *     Each service has a token bucket. Each dispatched request adds a
 *     fraction of a token. RETRY_REFILL_PER_S tokens are added per second, so
 *     that a service with little traffic can retry as well. A retry takes one
 *     token, unless the target refused the work and nothing ran. A request
 *     ends after RETRY_MAX_REFUSALS refusals.
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
#define RETRY_MAX_REFUSED_TARGETS 2

typedef struct RetryBudget {
    double tokens;
    int64_t refilled_ms;
    bool initialized;
} RetryBudget;

/* The attempts of a request so far. targets holds the targets that failed,
 * followed by the latest ones that refused the request. */
typedef struct RetryState {
    uint32_t targets[RETRY_MAX_FAILED_TARGETS + RETRY_MAX_REFUSED_TARGETS];
    uint8_t failed_targets; /* number of distinct failed targets in targets */
    uint8_t failed_attempts;
    uint8_t refused_targets; /* number of refusing targets in targets */
    uint8_t refusals;
} RetryState;

typedef struct RetryInput {
    int64_t now_ms;
    int64_t deadline_ms;
    bool unrepeatable;
    uint32_t unable_targets; /* failed targets that end the request */
    uint32_t target;
    TrafficResultKind result; /* not TRAFFIC_OK */
} RetryInput;

typedef enum RetryDecision {
    RETRY_ALLOWED,
    RETRY_UNABLE,    /* failed on unable_targets distinct targets */
    RETRY_REFUSED,   /* too many refusals */
    RETRY_FORBIDDEN, /* unrepeatable, or too many failed attempts */
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
