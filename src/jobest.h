/*
 * NAME
 *     jobest - learned run times of tasks
 *
 * DESCRIPTION
 *     Core without I/O. Declared run times may be off by a factor of ten or
 *     more. For each queue the run times seen are regressed on the declared
 *     ones, both as logarithms, so a queue whose declarations say little is
 *     predicted by its mean alone. Weights halve every EST_HALF_RUNS runs.
 */
#ifndef COLTSFOOT_JOBEST_H
#define COLTSFOOT_JOBEST_H

#include <stdint.h>

#define EST_HALF_RUNS 400

typedef struct JobEst JobEst;

JobEst *JobEst_New(void);
void JobEst_Free(JobEst *est);

/* Notes that a run took took_ms where declared_ms was declared. */
void JobEst_Add(JobEst *est, const char *queue, uint32_t declared_ms,
                int64_t took_ms);

/* Returns the expected run time in ms. */
int64_t JobEst_Predict(const JobEst *est, const char *queue,
                       uint32_t declared_ms);

#endif
