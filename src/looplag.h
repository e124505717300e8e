/*
 * NAME
 *     looplag - scheduling delay of the event loop of this process
 *
 * DESCRIPTION
 *     A process that is short of processor time reads answers late and would
 *     treat them as lost. Its timeouts for answers are therefore extended by
 *     its own delay: without this, retries add to the load that delayed the
 *     first attempts.
 *
 *     The delay is the time by which a periodic timer fires late. The tracked
 *     value is a maximum that decays by an eighth with each firing.
 */
#ifndef COLTSFOOT_LOOPLAG_H
#define COLTSFOOT_LOOPLAG_H

#include <stdint.h>

typedef struct LoopLag {
    int64_t period_ms;     /* period of the timer */
    int64_t last_fired_ms; /* 0 before the first firing */
    int64_t lag_ms;
} LoopLag;

/* Records that the timer fired at now_ms, a time of the monotonic clock. */
void LoopLag_RecordFiring(LoopLag *lag, int64_t now_ms);
/* Returns timeout_ms extended by the delay of the loop, at most max_ms. */
int64_t LoopLag_ExtendTimeout(const LoopLag *lag, int64_t timeout_ms,
                              int64_t max_ms);

#endif
