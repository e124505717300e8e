/*
 * NAME
 *     loopstall - times for which the event loop's process did not run
 *
 * DESCRIPTION
 *     A periodic timer limits the time between two iterations of an event
 *     loop. A much longer time means that the process was suspended or had no
 *     processor. Requests that arrive meanwhile wait in its sockets and are
 *     received just after.
 */
#ifndef COLTSFOOT_LOOPSTALL_H
#define COLTSFOOT_LOOPSTALL_H

#include <stdbool.h>
#include <stdint.h>

typedef struct LoopStall {
    uint64_t count;
    int64_t total_us; /* sum of the durations of all stalls */
    /* The rest is private. */
    int64_t iteration_end_us;     /* end of the last iteration, or 0 */
    uint64_t iteration_end_count; /* requests received until then */
    int64_t ended_us;             /* end of the stall to report, or 0 */
    int64_t duration_us;
    uint64_t requests_before;
} LoopStall;

typedef struct LoopStallReport {
    int64_t stalled_ms;
    int64_t ago_ms;    /* time since the end of the stall */
    uint64_t requests; /* requests received since the end of the stall */
} LoopStallReport;

/* Record the begin and the end of an iteration, between its waits. Times are
 * of the monotonic clock. requests counts all requests received so far. */
void LoopStall_BeginIteration(LoopStall *stall, int64_t now_us);
void LoopStall_EndIteration(LoopStall *stall, int64_t now_us,
                            uint64_t requests);

/* Returns true, once for a stall, when the requests that waited for its end
 * have been received. */
bool LoopStall_Report(LoopStall *stall, int64_t now_us, uint64_t requests,
                      LoopStallReport *report);

#endif
