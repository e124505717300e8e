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
 *
 *     The spread of the error is the root mean square of the logarithm of
 *     measured over predicted run times, each predicted before its run was
 *     recorded.
 */
#ifndef COLTSFOOT_JOBEST_H
#define COLTSFOOT_JOBEST_H

#include <stdint.h>

#define EST_HALF_LIFE_RUNS 400
/* Bound of JobEst_GetErrorFactor, and its value for a queue with few runs:
 * declared run times are wrong by up to this factor. */
#define EST_MAX_ERROR 10.0

typedef struct JobEst JobEst;

JobEst *JobEst_New(void);
void JobEst_Free(JobEst *est);

/* Records the measured and the declared time of a run. */
void JobEst_AddRun(JobEst *est, const char *queue, uint32_t declared_ms,
                   int64_t took_ms);

/* Returns the expected run time in ms. */
int64_t JobEst_Predict(const JobEst *est, const char *queue,
                       uint32_t declared_ms);

/* Returns by which factor, of at least 1, run times typically differ from the
 * predicted ones. */
double JobEst_GetErrorFactor(const JobEst *est, const char *queue);

/* Records the predicted work of an accepted job, in thousandths of a core x
 * ms. */
void JobEst_AddJob(JobEst *est, const char *queue, int64_t core_ms);

/* Returns the mean work of the jobs of a queue, or 0 if it had none. */
int64_t JobEst_GetMeanWork(const JobEst *est, const char *queue);

#endif
