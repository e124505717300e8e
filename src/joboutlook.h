/*
 * NAME
 *     joboutlook - capacity forecast of a pool
 *
 * DESCRIPTION
 *     Core without I/O. Holds the processor capacity of a pool that is free
 *     now, the times at which runs are expected to end or VMs to arrive, and
 *     the work that waits, by class and priority. It forecasts when the work
 *     ahead of a job will have been done. The work is treated as a fluid:
 *     capacity that becomes free serves it at once, in order, without loss to
 *     fragmentation. Forecasts are therefore early rather than late.
 *
 *     Capacity is in thousandths of a core, work in thousandths of a core x
 *     ms, times are ms of the steady clock.
 */
#ifndef COLTSFOOT_JOBOUTLOOK_H
#define COLTSFOOT_JOBOUTLOOK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Priorities from the last one on share an entry. */
#define OUTLOOK_PRIORITIES 8

typedef enum OutlookClass {
    OUTLOOK_BEGUN,   /* of jobs with a task that has been started */
    OUTLOOK_ON_TIME, /* of others that can still be in time */
    OUTLOOK_LATE,    /* of others that can still end before they are worthless
                      */
    OUTLOOK_CLASSES
} OutlookClass;

typedef struct OutlookGain {
    int64_t at_ms;
    int64_t cpu;
} OutlookGain;

/* Initialize with {0} and JobOutlook_Begin. */
typedef struct JobOutlook {
    int64_t made_ms;
    int64_t total; /* capacity of all targets that may get work */
    int64_t free;
    int64_t waiting[OUTLOOK_CLASSES][OUTLOOK_PRIORITIES];
    OutlookGain *gains; /* by time once JobOutlook_End was called */
    size_t gain_count;
    size_t gain_capacity;
} JobOutlook;

/* Empties the forecast; it is filled until JobOutlook_End. */
void JobOutlook_Begin(JobOutlook *outlook, int64_t now);
void JobOutlook_End(JobOutlook *outlook);
void JobOutlook_Free(JobOutlook *outlook);

/* Adds a target that may get work, of which a part is free now. */
void JobOutlook_AddTarget(JobOutlook *outlook, int64_t total, int64_t free);

/* Adds capacity that becomes free at a time: of a run that ends, or of a VM
 * that arrives. */
void JobOutlook_AddGain(JobOutlook *outlook, int64_t at_ms, int64_t cpu);

/* Adds work that waits. Allowed at any time. */
void JobOutlook_AddWork(JobOutlook *outlook, OutlookClass class,
                        uint32_t priority, int64_t core_ms);

/* Returns the work that is served before a new job of a priority while that
 * job can be in time: that of jobs that have begun, and that of jobs of the
 * same or a higher priority that can be in time. */
int64_t JobOutlook_GetAhead(const JobOutlook *outlook, uint32_t priority);

/* Returns the work that is served before a job that has become late. */
int64_t JobOutlook_GetAheadOfLate(const JobOutlook *outlook);

/* Returns the work that the pool can do until a time. */
int64_t JobOutlook_GetCapacity(const JobOutlook *outlook, int64_t until_ms);

/* Returns when some work will have been done and the next one can start, or
 * INT64_MAX if capacity for it is not in sight. */
int64_t JobOutlook_GetStartMs(const JobOutlook *outlook, int64_t core_ms);

#endif
