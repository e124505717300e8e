/*
 * NAME
 *     jobsched_admit - state shared by the source files of admission
 *
 * DESCRIPTION
 *     jobsched_admit.c decides which jobs are accepted, by the forecasts that
 *     jobsched_outlook.c makes of the pools.
 */
#ifndef COLTSFOOT_JOBSCHED_ADMIT_H
#define COLTSFOOT_JOBSCHED_ADMIT_H

#include "joboutlook.h"
#include "jobsched_impl.h"
#include "rng.h"
#include "strmap.h"

typedef enum SizeClass {
    SIZE_TENTH, /* the largest tenth of the jobs of a queue, by work */
    SIZE_FIFTH, /* the fifth below */
    SIZE_OTHER,
    SIZE_CLASSES
} SizeClass;

/* How often jobs of a queue are admitted, by size. Each job counts once. */
typedef struct QueueSizes {
    char queue[JOB_NAME_BYTES];
    /* Logarithm of the work that a tenth and three tenths of the jobs exceed,
     * learned by stochastic approximation. */
    double tenth_log;
    double three_tenths_log;
    double offered[SIZE_CLASSES];
    double admitted[SIZE_CLASSES];
} QueueSizes;

typedef struct PoolOutlook {
    char pool[JOB_NAME_BYTES];
    JobOutlook outlook;
} PoolOutlook;

/* A job that was refused and not accepted since. */
typedef struct RefusedJob {
    char id[JOB_ID_BYTES]; /* empty if the entry is free */
    char pool[JOB_NAME_BYTES];
    int64_t first_ms;        /* of its first refusal */
    int64_t latest_start_ms; /* later its late objective cannot be met */
    int64_t cpu;             /* need of its first steps */
    bool needless;           /* counted as such */
} RefusedJob;

/* A job that was admitted and may not be committed yet. */
typedef struct PendingJob {
    char id[JOB_ID_BYTES];
    int64_t admitted_ms;
    struct PendingJob *next;
} PendingJob;

struct SchedAdmission {
    Rng rng;
    QueueSizes *sizes;
    size_t size_count;
    JobArrival *arrivals;
    size_t arrival_count;
    PoolOutlook *pools;
    size_t pool_count;
    int64_t made_ms; /* when the forecasts were made; 0: never */
    RefusedJob *refused;
    size_t refused_count; /* entries that are not free */
    /* Jobs that may be in the log, oldest first. A copy of such a job is not
     * refused, as the first one may be accepted. */
    StrMap *pending;
    PendingJob *first_pending;
    PendingJob *last_pending;
};

/* Returns the forecast of a pool, or NULL. */
JobOutlook *SchedAdmit_FindOutlook(const SchedAdmission *admission,
                                   const char *pool);
/* Makes the forecasts of all pools anew if they are out of date. */
void SchedAdmit_UpdateOutlooks(JobSched *sched, int64_t now);

#endif
