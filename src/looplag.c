#include "looplag.h"

/* A turn of the loop sends, another one reads the answer. */
#define LAG_TURNS 3

void
LoopLag_Fired(LoopLag *lag, int64_t now_ms)
{
    int64_t late = 0;

    if (lag->fired_ms != 0) {
        late = now_ms - lag->fired_ms - lag->period_ms;
    }
    lag->fired_ms = now_ms;
    lag->lag_ms -= (lag->lag_ms + 7) / 8;
    if (late > lag->lag_ms) {
        lag->lag_ms = late;
    }
}

int64_t
LoopLag_Stretch(const LoopLag *lag, int64_t limit_ms, int64_t most_ms)
{
    int64_t stretched = limit_ms + LAG_TURNS * lag->lag_ms;

    return stretched < most_ms ? stretched : most_ms;
}
