#include "joboutlook.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

void
JobOutlook_Begin(JobOutlook *outlook, int64_t now)
{
    outlook->made_ms = now;
    outlook->total = 0;
    outlook->free = 0;
    outlook->gain_count = 0;
    memset(outlook->waiting, 0, sizeof(outlook->waiting));
}

static int
compare_gains(const void *a, const void *b)
{
    const OutlookGain *left = a;
    const OutlookGain *right = b;

    return (left->at_ms > right->at_ms) - (left->at_ms < right->at_ms);
}

void
JobOutlook_End(JobOutlook *outlook)
{
    if (outlook->gain_count > 1) {
        qsort(outlook->gains, outlook->gain_count, sizeof(OutlookGain),
              compare_gains);
    }
}

void
JobOutlook_Free(JobOutlook *outlook)
{
    free(outlook->gains);
    memset(outlook, 0, sizeof(*outlook));
}

void
JobOutlook_AddTarget(JobOutlook *outlook, int64_t total, int64_t free)
{
    outlook->total += total;
    outlook->free += free;
}

void
JobOutlook_AddGain(JobOutlook *outlook, int64_t at_ms, int64_t cpu)
{
    if (outlook->gain_count == outlook->gain_capacity) {
        outlook->gain_capacity = outlook->gain_capacity * 2 + 64;
        outlook->gains = Mem_Resize(
            outlook->gains, outlook->gain_capacity * sizeof(*outlook->gains));
    }
    outlook->gains[outlook->gain_count++] = (OutlookGain){at_ms, cpu};
}

static uint32_t
get_level(uint32_t priority)
{
    return priority < OUTLOOK_PRIORITIES ? priority : OUTLOOK_PRIORITIES - 1;
}

void
JobOutlook_AddWork(JobOutlook *outlook, OutlookClass class, uint32_t priority,
                   int64_t core_ms)
{
    outlook->waiting[class][get_level(priority)] += core_ms;
}

int64_t
JobOutlook_GetAhead(const JobOutlook *outlook, uint32_t priority)
{
    int64_t ahead = 0;
    uint32_t level;

    for (level = 0; level < OUTLOOK_PRIORITIES; level++) {
        ahead += outlook->waiting[OUTLOOK_BEGUN][level];
        if (level <= get_level(priority)) {
            ahead += outlook->waiting[OUTLOOK_ON_TIME][level];
        }
    }
    return ahead;
}

int64_t
JobOutlook_GetAheadOfLate(const JobOutlook *outlook)
{
    return JobOutlook_GetAhead(outlook, OUTLOOK_PRIORITIES);
}

int64_t
JobOutlook_GetCapacity(const JobOutlook *outlook, int64_t until_ms)
{
    int64_t span_ms = until_ms - outlook->made_ms;
    int64_t core_ms = span_ms > 0 ? outlook->free * span_ms : 0;
    size_t i;

    for (i = 0; i < outlook->gain_count; i++) {
        const OutlookGain *gain = &outlook->gains[i];
        if (gain->at_ms < until_ms) {
            core_ms += gain->cpu * (until_ms - gain->at_ms);
        }
    }
    return core_ms;
}

int64_t
JobOutlook_GetStartMs(const JobOutlook *outlook, int64_t core_ms)
{
    int64_t at_ms = outlook->made_ms;
    int64_t cpu = outlook->free;
    size_t i;

    for (i = 0; i < outlook->gain_count; i++) {
        const OutlookGain *gain = &outlook->gains[i];
        int64_t span_ms = gain->at_ms - at_ms;
        if (cpu > 0 && core_ms <= cpu * (span_ms > 0 ? span_ms : 0)) {
            break;
        }
        if (span_ms > 0) {
            core_ms -= cpu * span_ms;
            at_ms = gain->at_ms;
        }
        cpu += gain->cpu;
    }
    return cpu > 0 ? at_ms + core_ms / cpu : INT64_MAX;
}
