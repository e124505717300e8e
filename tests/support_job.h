/*
 * NAME
 *     support_job - helpers that build small job states for tests
 */
#ifndef COLTSFOOT_SUPPORT_JOB_H
#define COLTSFOOT_SUPPORT_JOB_H

#include "jobstate.h"

/* Applies a command, frees its buffer and returns the result. */
JobResult JobTest_Apply(JobState *state, Buf *command);

/* Sets a configuration with this version, queue "q" in pool "p" and standby
 * pool "idle". */
JobResult JobTest_Configure(JobState *state, uint64_t version);

/* The same with this pool and limit of attempts; NULL: without the queue. */
JobResult JobTest_ConfigureQueue(JobState *state, uint64_t version,
                                 const char *pool, uint32_t max_attempts);

/* Adds or changes a target with 16 cores. */
JobResult JobTest_SetTarget(JobState *state, const char *id, const char *vm,
                            const char *pool, uint64_t born, bool leaving);

/* Submits a job whose steps have count tasks each and depend on the previous
 * step. */
JobResult JobTest_Submit(JobState *state, const char *id, uint32_t steps,
                         uint32_t count, uint32_t cpu);
JobResult JobTest_SubmitLasting(JobState *state, const char *id,
                                uint32_t count, uint32_t max_unavailable);

JobResult JobTest_Assign(JobState *state, const char *id, uint32_t step,
                         uint32_t index, uint32_t attempt, const char *target);
/* Notes that a task of a job has started. */
JobResult JobTest_Begin(JobState *state, const char *id);
JobResult JobTest_End(JobState *state, const char *id, uint32_t step,
                      uint32_t index, uint32_t attempt, const char *target,
                      JobEndKind kind, uint64_t number);

#endif
