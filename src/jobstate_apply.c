#include "jobstate_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobtenant.h"
#include "mem.h"

static JobStep *
get_step(const Job *job, uint32_t step)
{
    return &job->spec.steps[step];
}

/* Jobs follow their queues to other pools. */
void
JobStateImpl_UpdateQueues(JobState *state)
{
    const JobConfig *config = &state->config;
    StrMap *queues = StrMap_New();
    Job *job;
    size_t i;

    for (i = config->queue_count; i-- > 0;) {
        StrMap_Put(queues, config->queues[i].name, &config->queues[i]);
    }
    for (job = state->active_first; job != NULL; job = job->next) {
        const JobQueue *queue = StrMap_Get(queues, job->queue);
        if (queue != NULL) {
            snprintf(job->pool, sizeof(job->pool), "%s", queue->pool);
            job->priority = queue->priority;
        }
    }
    StrMap_Free(queues);
}

static JobResult
apply_config(JobState *state, MpRead *reader)
{
    JobConfig config;

    if (!JobCodec_ReadConfig(reader, &config)) {
        JobConfig_Free(&config);
        return JOB_RESULT_CORRUPT;
    }
    if (config.version <= state->config.version) {
        JobConfig_Free(&config);
        return JOB_RESULT_EXISTS;
    }
    JobConfig_Free(&state->config);
    state->config = config;
    JobStateImpl_UpdateQueues(state);
    return JOB_RESULT_OK;
}

/* Returns the index of an early cancellation by a tenant, or their number if
 * there is none. */
static size_t
find_early_cancel(const JobState *state, const char *id, const char *tenant)
{
    size_t i = 0;

    while (i < state->early_cancel_count &&
           (strcmp(state->early_cancels[i].id, id) != 0 ||
            strcmp(state->early_cancels[i].tenant, tenant) != 0)) {
        i++;
    }
    return i;
}

/* Reads the name of a tenant, which ends a command of a tenant. */
static bool
read_tenant(MpRead *reader, char *tenant)
{
    tenant[0] = '\0';
    return MpRead_Done(reader) || MpRead_Text(reader, tenant, JOB_NAME_BYTES);
}

static void
remove_early_cancel(JobState *state, size_t at)
{
    JobEarlyCancel *row = &state->early_cancels[at];

    state->early_cancel_count--;
    memmove(row, row + 1, (state->early_cancel_count - at) * sizeof(*row));
}

void
JobStateImpl_AddEarlyCancel(JobState *state, const char *id, int64_t wall_ms,
                            const char *tenant)
{
    JobEarlyCancel *row;

    if (state->early_cancel_count == JOB_MAX_EARLY_CANCELS) {
        remove_early_cancel(state, 0);
    }
    state->early_cancels = Mem_Resize(
        state->early_cancels, (state->early_cancel_count + 1) * sizeof(*row));
    row = &state->early_cancels[state->early_cancel_count++];
    memset(row, 0, sizeof(*row));
    snprintf(row->id, sizeof(row->id), "%s", id);
    snprintf(row->tenant, sizeof(row->tenant), "%s", tenant);
    row->wall_ms = wall_ms;
}

/* Returns why a submission to a queue, which is NULL if it does not exist,
 * adds no job, or JOB_RESULT_OK. job is the one that has its id, or NULL. The
 * log may order a configuration between the check of a key and the submission.
 */
static JobResult
find_refusal(const JobState *state, const Job *job, const JobQueue *queue,
             const char *tenant)
{
    if (job != NULL) {
        return JobTenant_MayUseJob(&state->config, job, tenant)
                   ? JOB_RESULT_EXISTS
                   : JOB_RESULT_OTHER_TENANT;
    }
    if (queue == NULL) {
        return JOB_RESULT_UNKNOWN;
    }
    return JobTenant_MaySubmit(&state->config, queue, tenant)
               ? JOB_RESULT_OK
               : JOB_RESULT_DENIED;
}

static JobResult
apply_submit(JobState *state, MpRead *reader)
{
    char id[JOB_ID_BYTES];
    char queue[JOB_NAME_BYTES];
    char tenant[JOB_NAME_BYTES];
    int64_t wall_ms;
    JobSpec spec;
    const JobQueue *row;
    size_t cancel;
    Job *job;
    JobResult refusal;

    if (!MpRead_Text(reader, id, sizeof(id)) ||
        !MpRead_Text(reader, queue, sizeof(queue)) ||
        !MpRead_I64(reader, &wall_ms)) {
        return JOB_RESULT_CORRUPT;
    }
    if (!JobCodec_ReadSpec(reader, &spec) || !read_tenant(reader, tenant)) {
        JobSpec_Free(&spec);
        return JOB_RESULT_CORRUPT;
    }
    job = StrMap_Get(state->jobs, id);
    row = JobConfig_FindQueue(&state->config, queue);
    refusal = find_refusal(state, job, row, tenant);
    if (refusal != JOB_RESULT_OK) {
        JobSpec_Free(&spec);
        return refusal;
    }
    job = JobStateImpl_AddJob(state, id, queue);
    job->tenant = JobStateImpl_EnsureTenantUse(state, tenant);
    snprintf(job->pool, sizeof(job->pool), "%s", row->pool);
    job->priority = row->priority;
    job->terms = JobStateImpl_GetTerms(row);
    job->accepted_ms = wall_ms;
    JobStateImpl_SetSpec(state, job, &spec);
    cancel = find_early_cancel(state, id, tenant);
    if (cancel < state->early_cancel_count) {
        remove_early_cancel(state, cancel);
        JobStateImpl_EndJob(state, job, JOB_CANCELLED, wall_ms);
        return JOB_RESULT_OK;
    }
    JobStateImpl_ActivateJob(state, job);
    if (state->caught_up && state->observer.on_job_accepted != NULL) {
        state->observer.on_job_accepted(state->observer.arg, state->now_ms,
                                        job);
    }
    return JOB_RESULT_OK;
}

static JobResult
apply_cancel(JobState *state, MpRead *reader)
{
    char id[JOB_ID_BYTES];
    char tenant[JOB_NAME_BYTES];
    int64_t wall_ms;
    Job *job;

    if (!MpRead_Text(reader, id, sizeof(id)) ||
        !MpRead_I64(reader, &wall_ms) || !read_tenant(reader, tenant)) {
        return JOB_RESULT_CORRUPT;
    }
    job = StrMap_Get(state->jobs, id);
    if (job != NULL && !JobTenant_MayUseJob(&state->config, job, tenant)) {
        return JOB_RESULT_UNKNOWN;
    }
    if (job == NULL) {
        if (find_early_cancel(state, id, tenant) ==
            state->early_cancel_count) {
            JobStateImpl_AddEarlyCancel(state, id, wall_ms, tenant);
        }
        return JOB_RESULT_UNKNOWN;
    }
    if (job->phase >= JOB_COMPLETED) {
        return JOB_RESULT_EXISTS;
    }
    JobStateImpl_EndJob(state, job, JOB_CANCELLED, wall_ms);
    return JOB_RESULT_OK;
}

static void
assign_task(JobState *state, const JobAssignment *row)
{
    Job *job = StrMap_Get(state->jobs, row->task.job);
    JobTarget *target = JobState_TargetAt(state, row->target);
    JobTask *task;

    if (job == NULL || job->phase >= JOB_COMPLETED ||
        row->task.occurrence >= job->occurrence_count ||
        Job_IsOccurrenceDone(job, row->task.occurrence) ||
        row->task.step >= job->spec.step_count ||
        row->task.index >= job->spec.steps[row->task.step].count ||
        target == NULL || target->serial != row->serial) {
        return;
    }
    JobStateImpl_EnsureOpen(state, job, row->task.occurrence);
    task = JobState_FindTask(state, &row->task, &job);
    if (task->state != JOB_TASK_WAITING || row->attempt <= task->attempt) {
        return;
    }
    task->state = JOB_TASK_ASSIGNED;
    task->attempt = row->attempt;
    task->target = row->target;
    task->assigned_ms = state->caught_up ? state->now_ms : 0;
    job->assigned++;
    JobStateImpl_AddRun(target, &(JobRun){job, row->task.occurrence,
                                          row->task.step, row->task.index});
}

static JobResult
apply_assign(JobState *state, MpRead *reader)
{
    uint32_t count;
    uint32_t items;
    uint32_t i;

    if (!MpRead_Array(reader, &count)) {
        return JOB_RESULT_CORRUPT;
    }
    for (i = 0; i < count; i++) {
        JobAssignment row;
        if (!MpRead_Array(reader, &items) || items != 4 ||
            !JobCodec_ReadTaskRef(reader, &row.task) ||
            !MpRead_U32(reader, &row.attempt) ||
            !MpRead_U32(reader, &row.target) ||
            !MpRead_U64(reader, &row.serial)) {
            return JOB_RESULT_CORRUPT;
        }
        assign_task(state, &row);
    }
    return JOB_RESULT_OK;
}

static void
note_begun(Job *job)
{
    if (job->phase == JOB_QUEUED) {
        job->phase = JOB_RUNNING;
    }
}

static JobResult
apply_begun(JobState *state, MpRead *reader)
{
    uint32_t count;
    uint32_t i;

    if (!MpRead_Array(reader, &count)) {
        return JOB_RESULT_CORRUPT;
    }
    for (i = 0; i < count; i++) {
        char id[JOB_ID_BYTES];
        Job *job;
        if (!MpRead_Text(reader, id, sizeof(id))) {
            return JOB_RESULT_CORRUPT;
        }
        job = StrMap_Get(state->jobs, id);
        if (job != NULL) {
            note_begun(job);
        }
    }
    return JOB_RESULT_OK;
}

static void
finish_task(JobState *state, Job *job, const JobTaskRef *ref, JobTask *task)
{
    JobOccurrence *row = Job_FindOccurrence(job, ref->occurrence);

    if (task->state == JOB_TASK_ASSIGNED) {
        if (state->caught_up && state->observer.on_task_done != NULL &&
            task->assigned_ms != 0 && task->checkpoint == NULL) {
            state->observer.on_task_done(state->observer.arg, job, ref->step,
                                         state->now_ms - task->assigned_ms);
        }
        JobStateImpl_RequeueTask(
            state, &(JobRun){job, ref->occurrence, ref->step, ref->index});
    }
    task->state = JOB_TASK_DONE;
    free(task->checkpoint);
    task->checkpoint = NULL;
    row->step_done[ref->step]++;
    job->has_waiting = true; /* dependent steps may be ready */
    if (++row->done == job->tasks_per_occurrence) {
        job->occurrences_done++;
    }
}

/* Frees the tasks of an occurrence whose last task was finished, and ends the
 * job if that was its last occurrence. */
static void
close_if_done(JobState *state, Job *job, uint32_t occurrence, int64_t wall_ms)
{
    JobStateImpl_CloseIfDone(state, job, occurrence);
    if (job->occurrences_done == job->occurrence_count &&
        job->phase < JOB_COMPLETED) {
        JobStateImpl_EndJob(state, job, JOB_COMPLETED, wall_ms);
    }
    JobStateImpl_DeactivateJobIfEnded(state, job);
}

/* Finishes all tasks of a gang, since one done member completes all. */
static void
finish_gang(JobState *state, Job *job, const JobTaskRef *ref)
{
    JobTaskRef member = *ref;
    JobTask *tasks = Job_FindStepTasks(job, ref->occurrence, ref->step);

    for (member.index = 0; member.index < job->spec.steps[ref->step].count;
         member.index++) {
        JobTask *task = &tasks[member.index];
        if (task->state != JOB_TASK_DONE) {
            finish_task(state, job, &member, task);
        }
    }
}

/* Returns the task on which failures and crashes are counted: of a gang, the
 * first one. */
static JobTask *
get_counted_task(const Job *job, const JobTaskRef *ref, JobTask *task)
{
    if (!get_step(job, ref->step)->gang) {
        return task;
    }
    return Job_FindStepTasks(job, ref->occurrence, ref->step);
}

/* Counts a failed attempt and fails the job at its limit. Several tasks of a
 * gang may fail in one attempt. */
static void
count_failure(JobState *state, Job *job, const JobTaskRef *ref, JobTask *task,
              uint32_t attempt, int64_t wall_ms)
{
    JobTask *counted = get_counted_task(job, ref, task);

    if (get_step(job, ref->step)->lasting ||
        attempt <= counted->failed_attempt) {
        return;
    }
    counted->failed_attempt = attempt;
    if (counted->failures < UINT16_MAX) {
        counted->failures++;
    }
    if ((counted->failures >= job->terms.max_attempts ||
         counted->failures == UINT16_MAX) &&
        job->phase < JOB_COMPLETED) {
        JobStateImpl_EndJob(state, job, JOB_FAILED, wall_ms);
    }
}

static void
store_checkpoint(JobTask *task, const char *checkpoint)
{
    if (checkpoint[0] != '\0') {
        free(task->checkpoint);
        task->checkpoint = strdup(checkpoint);
    }
}

/* Notes where a run is given up, unless it is old enough to be innocent of the
 * end of its target. */
static void
note_lost_run(const JobState *state, const JobTarget *target, JobTask *task)
{
    if (state->caught_up && task->assigned_ms != 0 &&
        state->now_ms - task->assigned_ms < JOB_MAX_LOST_RUN_MS) {
        task->lost = (JobLostRun){target->row, target->serial, task->attempt,
                                  state->now_ms};
    }
}

/* Returns whether only a run that had started can have ended so. A stop that
 * comes before the start is listed by no target. */
static bool
has_run(const JobEnd *end)
{
    return end->kind == JOB_END_STOPPED ? end->number > 0
                                        : end->kind < JOB_END_REFUSED;
}

static void
apply_end(JobState *state, uint32_t target, const JobEnd *end, int64_t wall_ms)
{
    Job *job;
    JobTask *task = JobState_FindTask(state, &end->task, &job);

    if (task == NULL) {
        return;
    }
    if (has_run(end)) {
        note_begun(job);
    }
    if (task->state == JOB_TASK_WAITING && end->kind == JOB_END_DONE &&
        end->attempt > 0 && end->attempt <= task->attempt &&
        !get_step(job, end->task.step)->lasting &&
        !get_step(job, end->task.step)->gang) {
        /* The task was done before its run was recorded as lost. */
        finish_task(state, job, &end->task, task);
        close_if_done(state, job, end->task.occurrence, wall_ms);
        return;
    }
    if (task->state != JOB_TASK_ASSIGNED || task->target != target ||
        task->attempt != end->attempt) {
        return;
    }
    if (end->kind == JOB_END_DONE && !get_step(job, end->task.step)->lasting) {
        if (get_step(job, end->task.step)->gang) {
            finish_gang(state, job, &end->task);
        }
        else {
            finish_task(state, job, &end->task, task);
        }
        close_if_done(state, job, end->task.occurrence, wall_ms);
        return;
    }
    if (end->kind == JOB_END_LOST) {
        note_lost_run(state, JobState_TargetAt(state, target), task);
    }
    JobStateImpl_RequeueTask(
        state,
        &(JobRun){job, end->task.occurrence, end->task.step, end->task.index});
    store_checkpoint(task, end->checkpoint);
    if (end->kind == JOB_END_FAILED) {
        count_failure(state, job, &end->task, task, end->attempt, wall_ms);
    }
    JobStateImpl_DeactivateJobIfEnded(state, job);
}

static JobResult
apply_ends(JobState *state, MpRead *reader)
{
    uint32_t row;
    uint64_t serial;
    int64_t wall_ms;
    uint32_t count;
    uint32_t i;
    JobTarget *target;

    if (!MpRead_U32(reader, &row) || !MpRead_U64(reader, &serial) ||
        !MpRead_I64(reader, &wall_ms) || !MpRead_Array(reader, &count)) {
        return JOB_RESULT_CORRUPT;
    }
    target = JobState_TargetAt(state, row);
    if (target == NULL || target->serial != serial) {
        return JOB_RESULT_IGNORED;
    }
    for (i = 0; i < count; i++) {
        char checkpoint[JOB_CHECKPOINT_BYTES];
        uint32_t items;
        uint32_t kind;
        JobEnd end;
        if (!MpRead_Array(reader, &items) || items != 5 ||
            !JobCodec_ReadTaskRef(reader, &end.task) ||
            !MpRead_U32(reader, &end.attempt) || !MpRead_U32(reader, &kind) ||
            kind >= JOB_END_KINDS || !MpRead_U64(reader, &end.number) ||
            !MpRead_Text(reader, checkpoint, sizeof(checkpoint))) {
            return JOB_RESULT_CORRUPT;
        }
        end.kind = (JobEndKind)kind;
        end.checkpoint = checkpoint;
        apply_end(state, row, &end, wall_ms);
        if (end.number > target->last_applied_end) {
            target->last_applied_end = end.number;
        }
    }
    return JOB_RESULT_OK;
}

/* Returns what a crash adds to a score. */
static uint8_t
get_crash_weight(const JobTask *task, JobCrashEvidence evidence, bool is_gang)
{
    static const uint8_t weights[JOB_CRASH_KINDS] = {[JOB_CRASH_SHARED] = 2,
                                                     [JOB_CRASH_UNSURE] = 2,
                                                     [JOB_CRASH_POOL] = 2,
                                                     [JOB_CRASH_LATE] = 3,
                                                     [JOB_CRASH_SOON] = 4};

    if (evidence == JOB_CRASH_SHARED && is_gang) {
        return weights[JOB_CRASH_LATE];
    }
    if ((evidence == JOB_CRASH_SHARED &&
         task->crash_score >= JOB_MAX_SHARED_SCORE) ||
        (evidence == JOB_CRASH_UNSURE &&
         task->crash_score + weights[evidence] >= JOB_MAX_CRASH_SCORE)) {
        return 0;
    }
    return weights[evidence];
}

static uint32_t
count_bits(uint32_t bits)
{
    uint32_t count = 0;

    for (; bits != 0; bits &= bits - 1) {
        count++;
    }
    return count;
}

static void
apply_crash(JobState *state, const JobCrash *crash, int64_t wall_ms)
{
    Job *job;
    JobTask *task = JobState_FindTask(state, &crash->task, &job);
    uint32_t attempt_bit = (uint32_t)1 << crash->attempt % 32;
    JobTask *counted;
    bool is_gang;
    bool is_certain;

    if (task == NULL || task->state == JOB_TASK_DONE) {
        return;
    }
    is_gang = get_step(job, crash->task.step)->gang;
    counted = get_counted_task(job, &crash->task, task);
    if (crash->evidence == JOB_CRASH_CLEARED) {
        if (crash->attempt == task->attempt) {
            counted->crash_score = 0;
            counted->crash_attempts = 0;
        }
        return;
    }
    if ((counted->crash_attempts & attempt_bit) != 0) {
        return;
    }
    counted->crash_attempts |= attempt_bit;
    counted->crash_score =
        (uint8_t)(counted->crash_score +
                  get_crash_weight(counted, crash->evidence, is_gang));
    is_certain = counted->crash_score >= JOB_MAX_CRASH_SCORE ||
                 (count_bits(counted->crash_attempts) >= JOB_MAX_CRASHES &&
                  crash->evidence != JOB_CRASH_UNSURE && !is_gang);
    if (counted->crash_score > JOB_MAX_CRASH_SCORE) {
        counted->crash_score = JOB_MAX_CRASH_SCORE;
    }
    if (is_certain && job->phase < JOB_COMPLETED) {
        JobStateImpl_EndJob(state, job, JOB_FAILED, wall_ms);
        JobStateImpl_DeactivateJobIfEnded(state, job);
    }
}

static JobResult
apply_crashes(JobState *state, MpRead *reader)
{
    int64_t wall_ms;
    uint32_t count;
    uint32_t i;

    if (!MpRead_I64(reader, &wall_ms) || !MpRead_Array(reader, &count)) {
        return JOB_RESULT_CORRUPT;
    }
    for (i = 0; i < count; i++) {
        JobCrash crash;
        uint32_t evidence;
        if (!MpRead_ArrayOf(reader, 3) ||
            !JobCodec_ReadTaskRef(reader, &crash.task) ||
            !MpRead_U32(reader, &crash.attempt) ||
            !MpRead_U32(reader, &evidence) || evidence >= JOB_CRASH_KINDS) {
            return JOB_RESULT_CORRUPT;
        }
        crash.evidence = (JobCrashEvidence)evidence;
        apply_crash(state, &crash, wall_ms);
    }
    return JOB_RESULT_OK;
}

void
JobState_SetNow(JobState *state, int64_t now)
{
    state->now_ms = now;
}

void
JobState_SetCaughtUp(JobState *state, bool caught_up)
{
    state->caught_up = caught_up;
}

void
JobState_SetObserver(JobState *state, const JobStateObserver *observer)
{
    state->observer = *observer;
}

static JobResult
apply_expire(JobState *state, MpRead *reader)
{
    int64_t wall_ms;
    size_t i = 0;

    if (!MpRead_I64(reader, &wall_ms)) {
        return JOB_RESULT_CORRUPT;
    }
    while (i < StrMap_Count(state->jobs)) {
        Job *job = StrMap_At(state->jobs, i);
        if (job->active || job->phase < JOB_COMPLETED ||
            job->ended_ms >= wall_ms) {
            i++;
            continue;
        }
        StrMap_Remove(state->jobs, job->id);
        JobStateImpl_FreeJob(state, job);
    }
    for (i = state->early_cancel_count; i-- > 0;) {
        if (state->early_cancels[i].wall_ms < wall_ms) {
            remove_early_cancel(state, i);
        }
    }
    JobStateImpl_ExpireRemovedTargets(state, wall_ms);
    return JOB_RESULT_OK;
}

static JobResult
apply_command(JobState *state, MpRead *reader)
{
    static JobResult (*const functions[])(JobState *, MpRead *) = {
        [JOB_CMD_CONFIG] = apply_config,
        [JOB_CMD_SUBMIT] = apply_submit,
        [JOB_CMD_CANCEL] = apply_cancel,
        [JOB_CMD_ASSIGN] = apply_assign,
        [JOB_CMD_ENDS] = apply_ends,
        [JOB_CMD_TARGET] = JobStateImpl_ApplyTarget,
        [JOB_CMD_TARGET_GONE] = JobStateImpl_ApplyTargetGone,
        [JOB_CMD_NODE] = JobStateImpl_ApplyNode,
        [JOB_CMD_WAVE] = JobStateImpl_ApplyWave,
        [JOB_CMD_WAVE_VM] = JobStateImpl_ApplyWaveVm,
        [JOB_CMD_EXPIRE] = apply_expire,
        [JOB_CMD_VM_ORDER] = JobStateImpl_ApplyVmOrder,
        [JOB_CMD_CRASHES] = apply_crashes,
        [JOB_CMD_BEGUN] = apply_begun,
    };
    uint32_t items;
    uint64_t command;

    if (!MpRead_Array(reader, &items) || !MpRead_U64(reader, &command) ||
        command < JOB_CMD_CONFIG || command > JOB_CMD_BEGUN) {
        return JOB_RESULT_CORRUPT;
    }
    return functions[command](state, reader);
}

void
JobState_Apply(JobState *state, const char *command, size_t len, Buf *result)
{
    MpRead reader;
    char code;

    MpRead_Init(&reader, command, len);
    code = (char)apply_command(state, &reader);
    Buf_Append(result, &code, 1);
}
