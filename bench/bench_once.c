/* Time of a whole unrepeatable request at the home, by the number of tokens
 * that are kept: the ratio shows whether an operation scans them. */
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

/* Runs REQUESTS requests while about kept tokens are in retention. */
static double
run(uint32_t kept)
{
    OnceOptions options = ONCE_OPTIONS_DEFAULT;
    int64_t gap = Once_RetentionMs(options.ttl_ms) / kept;
    int64_t now = 0;
    double start = 0.0;
    Once *once;
    uint32_t i;

    options.home = "entry-1";
    options.incarnation = 1;
    once = Once_New(&options);
    for (i = 0; i < kept + REQUESTS; i++) {
        char token[1][ONCE_TOKEN_BYTES];
        uint32_t attempt;
        OnceView view;
        now += gap;
        if (i == kept) {
            start = now_us();
        }
        if (Once_Issue(once, now, 1, token) != ST_OK ||
            Once_Begin(once, now, token[0], "caller", "request", &view) !=
                ONCE_FRESH) {
            abort();
        }
        Once_IntentRecorded(once, now, token[0], true);
        Once_Dispatch(once, now, token[0], &attempt);
        Once_Finish(once, now, token[0], attempt, ONCE_OUTCOME_DONE, 200,
                    "answer", 6);
    }
    start = (now_us() - start) / REQUESTS;
    printf("once: %" PRIu32 " tokens kept: %.2f us a request\n",
           Once_Counts(once).tokens, start);
    Once_Free(once);
    return start;
}

int
main(void)
{
    double few = run(1000);
    double many = run(100000);

    printf("once: ratio %.2f\n", many / few);
    return EXIT_SUCCESS;
}
