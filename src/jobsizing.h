/*
 * NAME
 *     jobsizing - how much processor a pool should have
 *
 * DESCRIPTION
 *     Core without I/O. It answers the load of queues whose demand rises by
 *     turns to several times what their pool holds: VMs are fetched for the
 *     work that arrives, its rise and a part of what waits, and given up when
 *     none of that needs them and neither does what runs and waits.
 *
 *     A VM that is given up and fetched again costs two moves, so a pool keeps
 *     what it needed within the last SIZING_HOLD_MS; about as long costs as
 *     much as the moves (ski rental: Karlin, Manasse, Rudolph and Sleator,
 *     "Competitive Snoopy Caching", 1988).
 *
 *     Processor amounts are thousandths of a core.
 */
#ifndef COLTSFOOT_JOBSIZING_H
#define COLTSFOOT_JOBSIZING_H

#include "job.h"
#include "jobsched.h"

/* What a pool needed stays needed for this long. */
#define SIZING_HOLD_MS 3000
#define SIZING_SLOT_MS 200
#define SIZING_SLOTS (SIZING_HOLD_MS / SIZING_SLOT_MS)

/* What is remembered of one pool. Zeroed at first. */
typedef struct JobSizing {
    char pool[JOB_NAME_BYTES];
    int64_t needed[SIZING_SLOTS];  /* highest need of a slot of time ... */
    int64_t slot_at[SIZING_SLOTS]; /* ... and its number */
} JobSizing;

typedef struct JobSize {
    int64_t want; /* VMs are fetched up to this, */
    int64_t keep; /* given up to pools that need them down to this, */
    int64_t hold; /* and to standby down to this */
} JobSize;

/* Plans a pool from its load; vm_cpu is that of a usual VM. */
JobSize JobSizing_Plan(JobSizing *sizing, int64_t now, const JobPoolLoad *load,
                       int64_t vm_cpu);

#endif
