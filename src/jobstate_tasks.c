#include "jobstate_impl.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

JobOccurrence *
Job_FindOccurrence(const Job *job, uint32_t occurrence)
{
    return occurrence >= job->first_incomplete &&
                   occurrence - job->first_incomplete < job->row_count
               ? &job->occurrences[occurrence - job->first_incomplete]
               : NULL;
}

JobTask *
Job_FindStepTasks(const Job *job, uint32_t occurrence, uint32_t step)
{
    const JobOccurrence *row = Job_FindOccurrence(job, occurrence);

    return row != NULL && row->tasks != NULL
               ? row->tasks + job->step_first_task[step]
               : NULL;
}

bool
Job_IsOccurrenceDone(const Job *job, uint32_t occurrence)
{
    const JobOccurrence *row = Job_FindOccurrence(job, occurrence);

    return occurrence < job->first_incomplete ||
           (row != NULL && row->done == job->tasks_per_occurrence);
}

bool
Job_IsStepReady(const Job *job, uint32_t occurrence, uint32_t step)
{
    const JobOccurrence *row = Job_FindOccurrence(job, occurrence);
    uint32_t depends = job->spec.steps[step].depends_mask;
    uint32_t i;

    for (i = 0; i < job->spec.step_count; i++) {
        if ((depends >> i & 1) != 0 &&
            (row == NULL || row->tasks == NULL ||
             row->step_done[i] < job->spec.steps[i].count)) {
            return false;
        }
    }
    return true;
}

JobTask *
JobState_FindTask(const JobState *state, const JobTaskRef *task, Job **job)
{
    Job *found = StrMap_Get(state->jobs, task->job);
    JobTask *tasks;

    *job = found;
    if (found == NULL || task->step >= found->spec.step_count ||
        task->index >= found->spec.steps[task->step].count) {
        return NULL;
    }
    tasks = Job_FindStepTasks(found, task->occurrence, task->step);
    return tasks != NULL ? &tasks[task->index] : NULL;
}

bool
JobState_MayOpenOccurrence(const JobState *state, const Job *job)
{
    uint64_t tasks = job->tasks_per_occurrence;

    if (tasks <= JOB_FEW_TASKS && job->open_tasks == 0) {
        return true;
    }
    return (job->open_tasks == 0 ||
            job->open_tasks + tasks <= JOB_MAX_OPEN_TASKS) &&
           state->open_tasks + tasks <= JOB_MAX_ALL_OPEN_TASKS;
}

JobOccurrence *
JobStateImpl_EnsureOpen(JobState *state, Job *job, uint32_t occurrence)
{
    uint32_t at = occurrence - job->first_incomplete;
    JobOccurrence *row;

    if (at >= job->row_count) {
        if (at >= job->row_capacity) {
            job->row_capacity = at + at / 2 + 1;
            job->occurrences =
                Mem_Resize(job->occurrences,
                           job->row_capacity * sizeof(*job->occurrences));
        }
        memset(job->occurrences + job->row_count, 0,
               (at + 1 - job->row_count) * sizeof(*job->occurrences));
        job->row_count = at + 1;
    }
    row = &job->occurrences[at];
    if (row->tasks == NULL) {
        row->tasks = Mem_New(job->tasks_per_occurrence, sizeof(JobTask));
        row->step_done = Mem_New(job->spec.step_count, sizeof(uint32_t));
        job->open_tasks += job->tasks_per_occurrence;
        state->open_tasks += job->tasks_per_occurrence;
    }
    return row;
}

void
JobState_OpenOccurrence(JobState *state, Job *job, uint32_t occurrence)
{
    JobStateImpl_EnsureOpen(state, job, occurrence);
}

static void
close_row(JobState *state, Job *job, JobOccurrence *row)
{
    uint32_t i;

    if (row->tasks == NULL) {
        return;
    }
    for (i = 0; i < job->tasks_per_occurrence; i++) {
        free(row->tasks[i].checkpoint);
    }
    free(row->tasks);
    free(row->step_done);
    row->tasks = NULL;
    row->step_done = NULL;
    job->open_tasks -= job->tasks_per_occurrence;
    state->open_tasks -= job->tasks_per_occurrence;
}

void
JobState_CloseOccurrence(JobState *state, Job *job, uint32_t occurrence)
{
    JobOccurrence *row = Job_FindOccurrence(job, occurrence);

    if (row != NULL) {
        close_row(state, job, row);
    }
}

void
JobStateImpl_CloseIfDone(JobState *state, Job *job, uint32_t occurrence)
{
    JobOccurrence *row = Job_FindOccurrence(job, occurrence);
    uint32_t done = 0;

    if (row == NULL || row->done < job->tasks_per_occurrence) {
        return;
    }
    close_row(state, job, row);
    while (done < job->row_count &&
           job->occurrences[done].done == job->tasks_per_occurrence) {
        done++;
    }
    job->first_incomplete += done;
    job->row_count -= done;
    memmove(job->occurrences, job->occurrences + done,
            job->row_count * sizeof(*job->occurrences));
}

void
JobStateImpl_CloseAll(JobState *state, Job *job)
{
    uint32_t i;

    for (i = 0; i < job->row_count; i++) {
        close_row(state, job, &job->occurrences[i]);
    }
    free(job->occurrences);
    job->occurrences = NULL;
    job->row_count = 0;
    job->row_capacity = 0;
}
