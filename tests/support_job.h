/*
 * NAME
 *     support_job - small job states for tests
 */
#ifndef COLTSFOOT_SUPPORT_JOB_H
#define COLTSFOOT_SUPPORT_JOB_H

#include "jobstate.h"

/* Applies a command, frees it and returns the result. */
JobResult JobTest_Apply(JobState *state, Buf *command);

/* Sets configuration VERSION with queue "q" in pool "p" and the standby pool
 * "idle". */
JobResult JobTest_Configure(JobState *state, uint64_t version);

/* Adds or changes target ID of a pool with 16 cores. */
JobResult JobTest_Target(JobState *state, const char *id, const char *vm,
                         const char *pool, uint64_t born, bool leaving);

/* Submits a job with steps of count tasks, each after the one before. */
JobResult JobTest_Submit(JobState *state, const char *id, uint32_t steps,
                         uint32_t count, uint32_t cpu);
JobResult JobTest_SubmitLasting(JobState *state, const char *id,
                                uint32_t count, uint32_t max_unavailable);

JobResult JobTest_Assign(JobState *state, const char *id, uint32_t step,
                         uint32_t index, uint32_t attempt, const char *target);
JobResult JobTest_End(JobState *state, const char *id, uint32_t step,
                      uint32_t index, uint32_t attempt, const char *target,
                      JobEndKind kind, uint64_t number);

#endif
