#include "jobstate_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* --- jobs --- */

Job *
JobStateImpl_AddJob(JobState *state, const char *id, const char *queue)
{
    Job *job = Mem_New(1, sizeof(*job));

    snprintf(job->id, sizeof(job->id), "%s", id);
    snprintf(job->queue, sizeof(job->queue), "%s", queue);
    StrMap_Put(state->jobs, job->id, job);
    return job;
}

void
JobStateImpl_SetSpec(Job *job, JobSpec *spec)
{
    uint32_t first = 0;
    uint32_t i;

    job->spec = *spec;
    memset(spec, 0, sizeof(*spec));
    job->step_first = Mem_New(job->spec.step_count, sizeof(uint32_t));
    for (i = 0; i < job->spec.step_count; i++) {
        job->step_first[i] = first;
        first += job->spec.steps[i].count;
    }
    job->tasks_each = first;
    job->occurrence_count = job->spec.repeats > 0 ? job->spec.repeats : 1;
    job->occurrences = Mem_New(job->occurrence_count, sizeof(JobOccurrence));
}

JobTask *
JobStateImpl_OpenTasks(Job *job, uint32_t occurrence)
{
    JobOccurrence *open = &job->occurrences[occurrence];

    if (open->tasks == NULL) {
        open->tasks = Mem_New(job->tasks_each, sizeof(JobTask));
        open->step_done = Mem_New(job->spec.step_count, sizeof(uint32_t));
    }
    return open->tasks;
}

void
JobStateImpl_Activate(JobState *state, Job *job)
{
    job->active = true;
    job->has_waiting = true;
    job->next = NULL;
    job->previous = state->active_last;
    if (state->active_last != NULL) {
        state->active_last->next = job;
    }
    else {
        state->active_first = job;
    }
    state->active_last = job;
}

void
JobStateImpl_Deactivate(JobState *state, Job *job)
{
    if (!job->active) {
        return;
    }
    if (job->previous != NULL) {
        job->previous->next = job->next;
    }
    else {
        state->active_first = job->next;
    }
    if (job->next != NULL) {
        job->next->previous = job->previous;
    }
    else {
        state->active_last = job->previous;
    }
    job->active = false;
}

void
JobStateImpl_FreeJob(Job *job)
{
    uint32_t i;
    uint32_t j;

    for (i = 0; i < job->occurrence_count; i++) {
        JobOccurrence *occurrence = &job->occurrences[i];
        for (j = 0; occurrence->tasks != NULL && j < job->tasks_each; j++) {
            free(occurrence->tasks[j].checkpoint);
        }
        free(occurrence->tasks);
        free(occurrence->step_done);
    }
    free(job->occurrences);
    free(job->step_first);
    JobSpec_Free(&job->spec);
    free(job);
}

/* A job leaves the active list once it has ended and nothing of it can run.
 * What only its tasks needed is freed; its state stays readable. */
void
JobStateImpl_Settle(JobState *state, Job *job)
{
    if (job->phase >= JOB_COMPLETED && job->assigned == 0) {
        JobStateImpl_Deactivate(state, job);
    }
}

void
JobStateImpl_EndJob(JobState *state, Job *job, JobPhase phase, int64_t wall_ms)
{
    job->phase = phase;
    job->ended_ms = wall_ms;
    JobStateImpl_Settle(state, job);
}

bool
Job_StepReady(const Job *job, uint32_t occurrence, uint32_t step)
{
    const JobOccurrence *open = &job->occurrences[occurrence];
    uint32_t depends = job->spec.steps[step].depends;
    uint32_t i;

    for (i = 0; depends >> i != 0; i++) {
        if ((depends >> i & 1) != 0 &&
            (open->tasks == NULL ||
             open->step_done[i] < job->spec.steps[i].count)) {
            return false;
        }
        if (i == 31) {
            break;
        }
    }
    return true;
}

JobTask *
JobState_Task(JobState *state, const JobTaskRef *task, Job **job)
{
    Job *found = StrMap_Get(state->jobs, task->job);

    *job = found;
    if (found == NULL || task->occurrence >= found->occurrence_count ||
        task->step >= found->spec.step_count ||
        task->index >= found->spec.steps[task->step].count) {
        return NULL;
    }
    return &JobStateImpl_OpenTasks(
        found, task->occurrence)[found->step_first[task->step] + task->index];
}

/* --- targets --- */

JobTarget *
JobStateImpl_AddTarget(JobState *state, uint32_t row)
{
    if (row >= state->target_rows) {
        state->targets =
            Mem_Resize(state->targets, (row + 1) * sizeof(*state->targets));
        while (state->target_rows <= row) {
            state->targets[state->target_rows++] = NULL;
        }
    }
    state->targets[row] = Mem_New(1, sizeof(JobTarget));
    state->targets[row]->row = row;
    return state->targets[row];
}

JobTask *
JobRun_Task(const JobRun *run)
{
    return &run->job->occurrences[run->occurrence]
                .tasks[run->job->step_first[run->step] + run->index];
}

const JobStep *
JobRun_Step(const JobRun *run)
{
    return &run->job->spec.steps[run->step];
}

JobTaskRef
JobRun_Ref(const JobRun *run)
{
    JobTaskRef ref = {{0}, run->occurrence, run->step, run->index};

    snprintf(ref.job, sizeof(ref.job), "%s", run->job->id);
    return ref;
}

bool
JobTaskRef_IsSame(const JobTaskRef *a, const JobTaskRef *b)
{
    return a->index == b->index && a->step == b->step &&
           a->occurrence == b->occurrence && strcmp(a->job, b->job) == 0;
}

void
JobStateImpl_AddRun(JobTarget *target, const JobRun *run)
{
    const JobStep *step = JobRun_Step(run);

    if (target->run_count == target->run_capacity) {
        target->run_capacity = target->run_capacity * 2 + 8;
        target->runs = Mem_Resize(target->runs, target->run_capacity *
                                                    sizeof(*target->runs));
    }
    target->runs[target->run_count++] = *run;
    target->used.cpu += step->leftover ? 0 : step->need.cpu;
    target->used.memory_mb += step->need.memory_mb;
    target->used.accelerators += step->need.accelerators;
}

static void
remove_run(JobTarget *target, const JobRun *run)
{
    const JobStep *step = JobRun_Step(run);
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *row = &target->runs[i];
        if (row->job == run->job && row->occurrence == run->occurrence &&
            row->step == run->step && row->index == run->index) {
            target->runs[i] = target->runs[--target->run_count];
            target->used.cpu -= step->leftover ? 0 : step->need.cpu;
            target->used.memory_mb -= step->need.memory_mb;
            target->used.accelerators -= step->need.accelerators;
            return;
        }
    }
}

JobTarget *
JobState_Target(const JobState *state, uint32_t row)
{
    return row < state->target_rows ? state->targets[row] : NULL;
}

void
JobStateImpl_IndexTarget(JobState *state, JobTarget *target)
{
    const JobTarget *other = StrMap_Get(state->by_vm, target->says.vm);

    StrMap_Put(state->by_id, target->says.id, target);
    if (target->says.vm[0] != '\0' &&
        (other == NULL || other->says.born <= target->says.born)) {
        StrMap_Put(state->by_vm, target->says.vm, target);
    }
}

/* Takes a target out of the indexes before its announcement changes. */
void
JobStateImpl_UnindexTarget(JobState *state, const JobTarget *target)
{
    StrMap_Remove(state->by_id, target->says.id);
    if (StrMap_Get(state->by_vm, target->says.vm) == target) {
        StrMap_Remove(state->by_vm, target->says.vm);
    }
}

JobTarget *
JobState_FindTarget(const JobState *state, const char *id)
{
    return StrMap_Get(state->by_id, id);
}

JobTarget *
JobState_VmTarget(const JobState *state, const char *vm)
{
    return StrMap_Get(state->by_vm, vm);
}

/* Returns a task to the queue. */
void
JobStateImpl_Release(JobState *state, const JobRun *run)
{
    JobTask *task = JobRun_Task(run);
    JobTarget *target = JobState_Target(state, task->target);

    if (target != NULL) {
        remove_run(target, run);
    }
    task->state = JOB_TASK_WAITING;
    task->target = JOB_NO_TARGET;
    memset(&task->live, 0, sizeof(task->live));
    run->job->assigned--;
    run->job->has_waiting = true;
}

/* Ends all runs at a target. */
void
JobStateImpl_ReleaseAll(JobState *state, const JobTarget *target)
{
    while (target->run_count > 0) {
        JobRun run = target->runs[0];
        JobStateImpl_Release(state, &run);
        JobStateImpl_Settle(state, run.job);
    }
}
