/*
 * NAME
 *     jobspace - bounds on the bytes of the jobs that control VMs keep
 *
 * DESCRIPTION
 *     Core without I/O. Each control VM holds all accepted jobs in memory, in
 *     its last snapshot and on its disk. The leader refuses a job for which
 *     there is no space, before it proposes the job.
 *
 *     Jobs that are many times larger than others get at most a half of the
 *     space, so that they do not keep out the others. A second bound applies
 *     to the jobs whose proposals are in progress, which also wait in the log
 *     and in the queues to the other control VMs.
 *
 *     Bytes are those of JobState_MeasureJob().
 */
#ifndef COLTSFOOT_JOBSPACE_H
#define COLTSFOOT_JOBSPACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A job of 32 steps and a text of 4,000 bytes takes less. */
#define JOB_SPACE_LARGE_BYTES ((size_t)16 * 1024)
#define JOB_SPACE_PENDING_BYTES ((size_t)4 * 1024 * 1024)
/* Proposals end within milliseconds, jobs within seconds. */
#define JOB_SPACE_PENDING_RETRY_MS 1000
#define JOB_SPACE_FULL_RETRY_MS 5000

typedef struct JobSpace {
    size_t max_bytes;
    size_t pending_bytes; /* of jobs whose proposals are in progress */
    uint64_t refused;     /* number of jobs */
} JobSpace;

typedef enum JobSpaceVerdict {
    JOB_SPACE_FREE,
    JOB_SPACE_PENDING, /* too much is in progress */
    JOB_SPACE_FULL
} JobSpaceVerdict;

/* Returns whether there is space for a job beside the kept ones. A job is
 * always let through while no other is kept or in progress. */
JobSpaceVerdict JobSpace_Check(const JobSpace *space, size_t kept_bytes,
                               size_t bytes);

/* Account for a job from its proposal on until the outcome. */
void JobSpace_Begin(JobSpace *space, size_t bytes);
void JobSpace_End(JobSpace *space, size_t bytes);

#endif
