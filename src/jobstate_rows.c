#include "jobstate_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* --- jobs --- */

size_t
JobState_MeasureJob(const JobSpec *spec)
{
    return sizeof(Job) + spec->text_len +
           spec->step_count * (sizeof(JobStep) + sizeof(uint32_t));
}

size_t
JobState_GetJobBytes(const JobState *state)
{
    return state->job_bytes;
}

Job *
JobStateImpl_AddJob(JobState *state, const char *id, const char *queue)
{
    Job *job = Mem_New(1, sizeof(*job));

    snprintf(job->id, sizeof(job->id), "%s", id);
    snprintf(job->queue, sizeof(job->queue), "%s", queue);
    StrMap_Put(state->jobs, job->id, job);
    return job;
}

JobTenantUse *
JobStateImpl_EnsureTenantUse(JobState *state, const char *name)
{
    JobTenantUse *use;

    if (name[0] == '\0') {
        return NULL;
    }
    use = StrMap_Get(state->tenants, name);
    if (use == NULL) {
        use = Mem_New(1, sizeof(*use));
        snprintf(use->name, sizeof(use->name), "%s", name);
        StrMap_Put(state->tenants, use->name, use);
    }
    return use;
}

JobTerms
JobStateImpl_GetTerms(const JobQueue *queue)
{
    static const JobTerms unknown = {1, 1000, 2.0};

    return queue != NULL ? (JobTerms){queue->max_attempts, queue->objective_ms,
                                      queue->slack}
                         : unknown;
}

void
JobStateImpl_SetSpec(JobState *state, Job *job, JobSpec *spec)
{
    uint32_t task_count = 0;
    uint32_t i;

    state->job_bytes += JobState_MeasureJob(spec);
    job->spec = *spec;
    memset(spec, 0, sizeof(*spec));
    job->step_first_task = Mem_New(job->spec.step_count, sizeof(uint32_t));
    for (i = 0; i < job->spec.step_count; i++) {
        job->step_first_task[i] = task_count;
        task_count += job->spec.steps[i].count;
    }
    job->tasks_per_occurrence = task_count;
    job->occurrence_count = job->spec.repeats > 0 ? job->spec.repeats : 1;
}

void
JobStateImpl_ActivateJob(JobState *state, Job *job)
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
JobStateImpl_DeactivateJob(JobState *state, Job *job)
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
JobStateImpl_FreeJob(JobState *state, Job *job)
{
    JobStateImpl_CloseAll(state, job);
    if (job->step_first_task != NULL) {
        state->job_bytes -= JobState_MeasureJob(&job->spec);
    }
    free(job->step_first_task);
    JobSpec_Free(&job->spec);
    free(job);
}

/* The job stays in the state until it expires, without its tasks and text. */
void
JobStateImpl_DeactivateJobIfEnded(JobState *state, Job *job)
{
    if (job->phase >= JOB_COMPLETED && job->assigned == 0) {
        JobStateImpl_DeactivateJob(state, job);
        JobStateImpl_CloseAll(state, job);
        state->job_bytes -= job->spec.text_len;
        free(job->spec.text);
        job->spec.text = NULL;
        job->spec.text_len = 0;
    }
}

void
JobStateImpl_EndJob(JobState *state, Job *job, JobPhase phase, int64_t wall_ms)
{
    job->phase = phase;
    job->ended_ms = wall_ms;
    JobStateImpl_DeactivateJobIfEnded(state, job);
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
JobRun_GetTask(const JobRun *run)
{
    return &Job_FindStepTasks(run->job, run->occurrence,
                              run->step)[run->index];
}

const JobStep *
JobRun_GetStep(const JobRun *run)
{
    return &run->job->spec.steps[run->step];
}

JobTaskRef
JobRun_GetTaskRef(const JobRun *run)
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
    const JobStep *step = JobRun_GetStep(run);

    if (target->run_count == target->run_capacity) {
        target->run_capacity = target->run_capacity * 2 + 8;
        target->runs = Mem_Resize(target->runs, target->run_capacity *
                                                    sizeof(*target->runs));
    }
    target->runs[target->run_count++] = *run;
    target->used.cpu += step->best_effort ? 0 : step->need.cpu;
    target->used.memory_mb += step->need.memory_mb;
    target->used.accelerators += step->need.accelerators;
    if (run->job->tenant != NULL) {
        JobTenantUse *use = run->job->tenant;
        use->used.cpu += step->need.cpu;
        use->used.memory_mb += step->need.memory_mb;
        use->used.accelerators += step->need.accelerators;
        use->runs++;
    }
}

static void
release_tenant_use(JobTenantUse *use, const JobStep *step)
{
    use->used.cpu -= step->need.cpu;
    use->used.memory_mb -= step->need.memory_mb;
    use->used.accelerators -= step->need.accelerators;
    use->runs--;
}

static void
remove_run(JobTarget *target, const JobRun *run)
{
    const JobStep *step = JobRun_GetStep(run);
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *row = &target->runs[i];
        if (row->job == run->job && row->occurrence == run->occurrence &&
            row->step == run->step && row->index == run->index) {
            target->runs[i] = target->runs[--target->run_count];
            target->used.cpu -= step->best_effort ? 0 : step->need.cpu;
            target->used.memory_mb -= step->need.memory_mb;
            target->used.accelerators -= step->need.accelerators;
            if (run->job->tenant != NULL) {
                release_tenant_use(run->job->tenant, step);
            }
            return;
        }
    }
}

JobTarget *
JobState_TargetAt(const JobState *state, uint32_t row)
{
    return row < state->target_rows ? state->targets[row] : NULL;
}

void
JobStateImpl_IndexTarget(JobState *state, JobTarget *target)
{
    const JobTarget *other =
        StrMap_Get(state->targets_by_vm, target->announcement.vm);

    StrMap_Put(state->targets_by_id, target->announcement.id, target);
    if (target->announcement.vm[0] != '\0' &&
        (other == NULL ||
         other->announcement.born <= target->announcement.born)) {
        StrMap_Put(state->targets_by_vm, target->announcement.vm, target);
    }
}

/* Removes a target from the indexes before its announcement changes. */
void
JobStateImpl_UnindexTarget(JobState *state, const JobTarget *target)
{
    StrMap_Remove(state->targets_by_id, target->announcement.id);
    if (StrMap_Get(state->targets_by_vm, target->announcement.vm) == target) {
        StrMap_Remove(state->targets_by_vm, target->announcement.vm);
    }
}

JobTarget *
JobState_FindTarget(const JobState *state, const char *id)
{
    return StrMap_Get(state->targets_by_id, id);
}

JobTarget *
JobState_FindVmTarget(const JobState *state, const char *vm)
{
    return StrMap_Get(state->targets_by_vm, vm);
}

/* Ends the run of a task, which waits for a new assignment. */
void
JobStateImpl_RequeueTask(JobState *state, const JobRun *run)
{
    JobTask *task = JobRun_GetTask(run);
    JobTarget *target = JobState_TargetAt(state, task->target);

    if (target != NULL) {
        remove_run(target, run);
    }
    task->state = JOB_TASK_WAITING;
    task->target = JOB_NO_TARGET;
    memset(&task->sched_state, 0, sizeof(task->sched_state));
    run->job->assigned--;
    run->job->has_waiting = true;
}

/* Ends all runs at a target; their tasks wait for new assignments. */
void
JobStateImpl_RequeueTargetTasks(JobState *state, const JobTarget *target)
{
    while (target->run_count > 0) {
        JobRun run = target->runs[0];
        JobStateImpl_RequeueTask(state, &run);
        JobStateImpl_DeactivateJobIfEnded(state, run.job);
    }
}
