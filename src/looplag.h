/*
 * NAME
 *     looplag - how late the event loop of this process runs
 *
 * DESCRIPTION
 *     A process that is short of processor time reads answers late and would
 *     take them for lost. Its limits on others' answers grow by its own delay:
 *     without this, repeated orders add to the load that delayed the first.
 *
 *     The delay is how much later than its period a timer fires; it is the
 *     largest one of late, and fades by an eighth with each firing.
 */
#ifndef COLTSFOOT_LOOPLAG_H
#define COLTSFOOT_LOOPLAG_H

#include <stdint.h>

typedef struct LoopLag {
    int64_t period_ms; /* of the timer */
    int64_t fired_ms;  /* last; 0: never */
    int64_t lag_ms;
} LoopLag;

/* The timer fired at now_ms, a steady time. */
void LoopLag_Fired(LoopLag *lag, int64_t now_ms);
/* limit_ms, or more while the loop is late; at most most_ms. */
int64_t LoopLag_Stretch(const LoopLag *lag, int64_t limit_ms, int64_t most_ms);

#endif
