#include "loopstall.h"

/* Time between two iterations that counts as a stall. */
#define MIN_STALL_US 200000
/* Time within which the requests that waited in sockets are received. */
#define BACKLOG_US 100000

void
LoopStall_BeginIteration(LoopStall *stall, int64_t now_us)
{
    int64_t between_us = now_us - stall->iteration_end_us;

    if (stall->iteration_end_us == 0 || between_us < MIN_STALL_US) {
        return;
    }
    stall->count++;
    stall->total_us += between_us;
    stall->ended_us = now_us;
    stall->duration_us = between_us;
    stall->requests_before = stall->iteration_end_count;
}

void
LoopStall_EndIteration(LoopStall *stall, int64_t now_us, uint64_t requests)
{
    stall->iteration_end_us = now_us;
    stall->iteration_end_count = requests;
}

bool
LoopStall_Report(LoopStall *stall, int64_t now_us, uint64_t requests,
                 LoopStallReport *report)
{
    if (stall->ended_us == 0 || now_us - stall->ended_us < BACKLOG_US) {
        return false;
    }
    report->stalled_ms = stall->duration_us / 1000;
    report->ago_ms = (now_us - stall->ended_us) / 1000;
    report->requests = requests - stall->requests_before;
    stall->ended_us = 0;
    return true;
}
