/* Measures the time of a complete unrepeatable request at the home of its
 * token with few and with many retained tokens. The ratio shows whether an
 * operation scans the tokens. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "once.h"

#define REQUESTS 200000

static double
now_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Returns the mean time of a request in microseconds while about the given
 * number of tokens is retained. */
static double
measure_request_us(uint32_t retained)
{
    OnceOptions options = ONCE_OPTIONS_DEFAULT;
    int64_t interval_ms = Once_GetRetentionMs(options.ttl_ms) / retained;
    int64_t now = 0;
    double time_us = 0.0;
    Once *once;
    uint32_t i;

    options.home = "entry-1";
    options.incarnation = 1;
    once = Once_New(&options);
    for (i = 0; i < retained + REQUESTS; i++) {
        char token[1][ONCE_TOKEN_BYTES];
        uint32_t attempt;
        OnceView view;
        now += interval_ms;
        if (i == retained) {
            time_us = now_us();
        }
        if (Once_IssueTokens(once, now, 1, token) != ST_OK ||
            Once_BeginRequest(once, now, token[0], "caller", "request",
                              &view) != ONCE_FIRST_USE) {
            abort();
        }
        Once_ReportIntent(once, now, token[0], true);
        Once_BeginAttempt(once, now, token[0], &attempt);
        Once_FinishRequest(once, now, token[0], attempt, ONCE_OUTCOME_DONE,
                           200, "answer", 6);
    }
    time_us = (now_us() - time_us) / REQUESTS;
    printf("once: %" PRIu32 " tokens kept: %.2f us a request\n",
           Once_GetCounts(once).tokens, time_us);
    Once_Free(once);
    return time_us;
}

int
main(void)
{
    double few = measure_request_us(1000);
    double many = measure_request_us(100000);

    printf("once: ratio %.2f\n", many / few);
    return EXIT_SUCCESS;
}
