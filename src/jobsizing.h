/*
 * NAME
 *     jobsizing - processor capacity that a pool needs
 *
 * DESCRIPTION
 *     Core without I/O, for queues whose demand bursts to several times the
 *     capacity of their pool. VMs are added for the highest of the measured,
 *     extrapolated and forecast arrival rates and for a part of the backlog.
 *     They are given up when neither these rates nor the running and waiting
 *     tasks need them.
 *
 *     A VM that is given up and added again costs two moves, so a pool keeps
 *     the highest need within a sliding window of SIZING_WINDOW_MS. Keeping a
 *     VM for about that long costs as much as the moves (ski rental problem:
 *     Karlin, Manasse, Rudolph and Sleator, "Competitive Snoopy Caching",
 *     1988).
 *
 *     Processor amounts are thousandths of a core.
 */
#ifndef COLTSFOOT_JOBSIZING_H
#define COLTSFOOT_JOBSIZING_H

#include "job.h"
#include "jobsched.h"

/* Length of the sliding window over the need of a pool. */
#define SIZING_WINDOW_MS 3000
#define SIZING_SLOT_MS 200
#define SIZING_SLOTS (SIZING_WINDOW_MS / SIZING_SLOT_MS)

/* Sliding window over the need of one pool, initialized to zeros. */
typedef struct JobSizing {
    char pool[JOB_NAME_BYTES];
    int64_t slot_max[SIZING_SLOTS];    /* highest need in each slot */
    int64_t slot_number[SIZING_SLOTS]; /* time of each in SIZING_SLOT_MS */
} JobSizing;

typedef struct JobPoolSize {
    int64_t desired;        /* VMs are added up to this amount */
    int64_t transfer_floor; /* lower limit when other pools need VMs */
    int64_t standby_floor;  /* lower limit when VMs go to standby */
} JobPoolSize;

/* Returns the size of a pool for its load and records its need in the window.
 * vm_cpu is the processor amount of a typical VM. */
JobPoolSize JobSizing_Plan(JobSizing *sizing, int64_t now,
                           const JobPoolLoad *load, int64_t vm_cpu);

#endif
