#include "looplag.h"

/* A request is sent in one event loop iteration and its answer is read in
 * another one. */
#define LAG_ITERATIONS 3

void
LoopLag_RecordFiring(LoopLag *lag, int64_t now_ms)
{
    int64_t late_ms = 0;

    if (lag->last_fired_ms != 0) {
        late_ms = now_ms - lag->last_fired_ms - lag->period_ms;
    }
    lag->last_fired_ms = now_ms;
    lag->lag_ms -= (lag->lag_ms + 7) / 8;
    if (late_ms > lag->lag_ms) {
        lag->lag_ms = late_ms;
    }
}

int64_t
LoopLag_ExtendTimeout(const LoopLag *lag, int64_t timeout_ms, int64_t max_ms)
{
    int64_t extended_ms = timeout_ms + LAG_ITERATIONS * lag->lag_ms;

    return extended_ms < max_ms ? extended_ms : max_ms;
}
