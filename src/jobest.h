/*
 * NAME
 *     jobest - run time estimates of tasks
 *
 * DESCRIPTION
 *     Core without I/O. Declared run times may be wrong by a factor of ten or
 *     more. For each queue, the logarithms of measured run times are regressed
 *     on those of the declared ones. If declarations do not correlate with run
 *     times, the estimate is the geometric mean of the run times of the queue.
 *     The weight of a run halves every EST_HALF_LIFE_RUNS runs.
 */
#ifndef COLTSFOOT_JOBEST_H
#define COLTSFOOT_JOBEST_H

#include <stdint.h>

#define EST_HALF_LIFE_RUNS 400

typedef struct JobEst JobEst;

JobEst *JobEst_New(void);
void JobEst_Free(JobEst *est);

/* Records the measured and the declared time of a run. */
void JobEst_AddRun(JobEst *est, const char *queue, uint32_t declared_ms,
                   int64_t took_ms);

/* Returns the expected run time in ms. */
int64_t JobEst_Predict(const JobEst *est, const char *queue,
                       uint32_t declared_ms);

#endif
