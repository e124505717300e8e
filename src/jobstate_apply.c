#include "jobstate_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

static JobStep *
step_of(const Job *job, uint32_t step)
{
    return &job->spec.steps[step];
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
    return JOB_RESULT_OK;
}

static JobResult
apply_submit(JobState *state, MpRead *reader)
{
    char id[JOB_ID_BYTES];
    char queue[JOB_NAME_BYTES];
    int64_t wall_ms;
    JobSpec spec;
    const JobQueue *row;
    Job *job;

    if (!MpRead_Text(reader, id, sizeof(id)) ||
        !MpRead_Text(reader, queue, sizeof(queue)) ||
        !MpRead_I64(reader, &wall_ms)) {
        return JOB_RESULT_CORRUPT;
    }
    if (StrMap_Get(state->jobs, id) != NULL) {
        return JOB_RESULT_EXISTS;
    }
    row = JobConfig_Queue(&state->config, queue);
    if (row == NULL) {
        return JOB_RESULT_UNKNOWN;
    }
    if (!JobCodec_ReadSpec(reader, &spec)) {
        JobSpec_Free(&spec);
        return JOB_RESULT_CORRUPT;
    }
    job = JobStateImpl_AddJob(state, id, queue);
    snprintf(job->pool, sizeof(job->pool), "%s", row->pool);
    job->accepted_ms = wall_ms;
    JobStateImpl_SetSpec(job, &spec);
    JobStateImpl_Activate(state, job);
    if (state->live && state->watch.accepted != NULL) {
        state->watch.accepted(state->watch.arg, state->now_ms, job);
    }
    return JOB_RESULT_OK;
}

static JobResult
apply_cancel(JobState *state, MpRead *reader)
{
    char id[JOB_ID_BYTES];
    int64_t wall_ms;
    Job *job;

    if (!MpRead_Text(reader, id, sizeof(id)) ||
        !MpRead_I64(reader, &wall_ms)) {
        return JOB_RESULT_CORRUPT;
    }
    job = StrMap_Get(state->jobs, id);
    if (job == NULL) {
        return JOB_RESULT_UNKNOWN;
    }
    if (job->phase >= JOB_COMPLETED) {
        return JOB_RESULT_EXISTS;
    }
    JobStateImpl_EndJob(state, job, JOB_CANCELLED, wall_ms);
    return JOB_RESULT_OK;
}

static void
assign(JobState *state, const JobAssignment *row)
{
    Job *job;
    JobTask *task = JobState_Task(state, &row->task, &job);
    JobTarget *target = JobState_Target(state, row->target);

    if (task == NULL || task->state != JOB_TASK_WAITING ||
        job->phase >= JOB_COMPLETED || row->attempt <= task->attempt ||
        target == NULL || target->serial != row->serial) {
        return;
    }
    task->state = JOB_TASK_ASSIGNED;
    task->attempt = row->attempt;
    task->target = row->target;
    task->assigned_ms = state->live ? state->now_ms : 0;
    job->assigned++;
    job->phase = JOB_RUNNING;
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
            !JobCodec_ReadTask(reader, &row.task) ||
            !MpRead_U32(reader, &row.attempt) ||
            !MpRead_U32(reader, &row.target) ||
            !MpRead_U64(reader, &row.serial)) {
            return JOB_RESULT_CORRUPT;
        }
        assign(state, &row);
    }
    return JOB_RESULT_OK;
}

static void
finish_task(JobState *state, Job *job, const JobTaskRef *ref, JobTask *task,
            int64_t wall_ms)
{
    JobOccurrence *open = &job->occurrences[ref->occurrence];

    if (task->state == JOB_TASK_ASSIGNED) {
        if (state->live && state->watch.done != NULL &&
            task->assigned_ms != 0 && task->checkpoint == NULL) {
            state->watch.done(state->watch.arg, job, ref->step,
                              state->now_ms - task->assigned_ms);
        }
        JobStateImpl_Release(
            state, &(JobRun){job, ref->occurrence, ref->step, ref->index});
    }
    task->state = JOB_TASK_DONE;
    free(task->checkpoint);
    task->checkpoint = NULL;
    open->step_done[ref->step]++;
    job->has_waiting = true; /* the next steps may be due */
    if (++open->done == job->tasks_each) {
        job->occurrences_done++;
        while (job->first_open < job->occurrence_count &&
               job->occurrences[job->first_open].done == job->tasks_each) {
            job->first_open++;
        }
    }
    if (job->occurrences_done == job->occurrence_count &&
        job->phase < JOB_COMPLETED) {
        JobStateImpl_EndJob(state, job, JOB_COMPLETED, wall_ms);
    }
}

/* The end of one member of a gang that is done stands for all of them. */
static void
finish_gang(JobState *state, Job *job, const JobTaskRef *ref, int64_t wall_ms)
{
    JobTaskRef member = *ref;
    JobTask *tasks = job->occurrences[ref->occurrence].tasks;

    for (member.index = 0; member.index < job->spec.steps[ref->step].count;
         member.index++) {
        JobTask *task = &tasks[job->step_first[ref->step] + member.index];
        if (task->state != JOB_TASK_DONE) {
            finish_task(state, job, &member, task, wall_ms);
        }
    }
}

static void
fail_task(JobState *state, Job *job, const JobTaskRef *ref, JobTask *task,
          int64_t wall_ms)
{
    const JobQueue *queue = JobConfig_Queue(&state->config, job->queue);
    const JobStep *step = step_of(job, ref->step);
    JobTask *counted = task;

    if (step->lasting) {
        return;
    }
    if (step->gang) {
        counted = &job->occurrences[ref->occurrence]
                       .tasks[job->step_first[ref->step]];
    }
    if (counted->failures < UINT8_MAX) {
        counted->failures++;
    }
    if (queue != NULL && counted->failures >= queue->max_attempts &&
        job->phase < JOB_COMPLETED) {
        JobStateImpl_EndJob(state, job, JOB_FAILED, wall_ms);
    }
}

static void
keep_checkpoint(JobTask *task, const char *checkpoint)
{
    if (checkpoint[0] != '\0') {
        free(task->checkpoint);
        task->checkpoint = strdup(checkpoint);
    }
}

static void
end_run(JobState *state, uint32_t target, const JobEnd *end, int64_t wall_ms)
{
    Job *job;
    JobTask *task = JobState_Task(state, &end->task, &job);

    if (task == NULL) {
        return;
    }
    if (task->state == JOB_TASK_WAITING && end->kind == JOB_END_DONE &&
        end->attempt > 0 && end->attempt <= task->attempt &&
        !step_of(job, end->task.step)->lasting &&
        !step_of(job, end->task.step)->gang) {
        /* It was given up with its target, but had been done before. */
        finish_task(state, job, &end->task, task, wall_ms);
        JobStateImpl_Settle(state, job);
        return;
    }
    if (task->state != JOB_TASK_ASSIGNED || task->target != target ||
        task->attempt != end->attempt) {
        return;
    }
    if (end->kind == JOB_END_DONE && !step_of(job, end->task.step)->lasting) {
        if (step_of(job, end->task.step)->gang) {
            finish_gang(state, job, &end->task, wall_ms);
        }
        else {
            finish_task(state, job, &end->task, task, wall_ms);
        }
    }
    else {
        JobStateImpl_Release(state,
                             &(JobRun){job, end->task.occurrence,
                                       end->task.step, end->task.index});
        keep_checkpoint(task, end->checkpoint);
        if (end->kind == JOB_END_FAILED) {
            fail_task(state, job, &end->task, task, wall_ms);
        }
    }
    JobStateImpl_Settle(state, job);
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
    target = JobState_Target(state, row);
    if (target == NULL || target->serial != serial) {
        return JOB_RESULT_IGNORED;
    }
    for (i = 0; i < count; i++) {
        char checkpoint[256];
        uint32_t items;
        uint32_t kind;
        JobEnd end;
        if (!MpRead_Array(reader, &items) || items != 5 ||
            !JobCodec_ReadTask(reader, &end.task) ||
            !MpRead_U32(reader, &end.attempt) || !MpRead_U32(reader, &kind) ||
            kind >= JOB_END_KINDS || !MpRead_U64(reader, &end.number) ||
            !MpRead_Text(reader, checkpoint, sizeof(checkpoint))) {
            return JOB_RESULT_CORRUPT;
        }
        end.kind = (JobEndKind)kind;
        end.checkpoint = checkpoint;
        end_run(state, row, &end, wall_ms);
        if (end.number > target->ends_taken) {
            target->ends_taken = end.number;
        }
    }
    return JOB_RESULT_OK;
}

static JobResult
apply_target(JobState *state, MpRead *reader)
{
    JobAnnouncement says;
    JobTarget *target;
    uint32_t row = 0;

    if (!JobCodec_ReadAnnouncement(reader, &says)) {
        return JOB_RESULT_CORRUPT;
    }
    target = JobState_FindTarget(state, says.id);
    if (target != NULL && says.born < target->says.born) {
        return JOB_RESULT_IGNORED;
    }
    if (target != NULL && says.born > target->says.born) {
        JobStateImpl_ReleaseAll(state, target);
        target->ends_taken = 0;
        target->serial = state->next_serial++;
    }
    if (target == NULL) {
        while (JobState_Target(state, row) != NULL) {
            row++;
        }
        target = JobStateImpl_AddTarget(state, row);
        target->serial = state->next_serial++;
    }
    else {
        JobStateImpl_UnindexTarget(state, target);
    }
    target->says = says;
    JobStateImpl_IndexTarget(state, target);
    return JOB_RESULT_OK;
}

static JobResult
apply_target_gone(JobState *state, MpRead *reader)
{
    uint32_t row;
    uint64_t serial;
    JobTarget *target;

    if (!MpRead_U32(reader, &row) || !MpRead_U64(reader, &serial)) {
        return JOB_RESULT_CORRUPT;
    }
    target = JobState_Target(state, row);
    if (target == NULL || target->serial != serial) {
        return JOB_RESULT_IGNORED;
    }
    JobStateImpl_ReleaseAll(state, target);
    JobStateImpl_UnindexTarget(state, target);
    free(target->live);
    free(target->runs);
    free(target);
    state->targets[row] = NULL;
    return JOB_RESULT_OK;
}

void
JobStateImpl_AddNode(JobState *state, const JobNode *node)
{
    size_t i;

    for (i = 0; i < state->node_count; i++) {
        if (strcmp(state->nodes[i].name, node->name) == 0) {
            state->nodes[i] = *node;
            return;
        }
    }
    state->nodes =
        Mem_Resize(state->nodes, (state->node_count + 1) * sizeof(*node));
    state->nodes[state->node_count++] = *node;
}

static JobResult
apply_node(JobState *state, MpRead *reader)
{
    return JobStateImpl_ReadNode(state, reader) ? JOB_RESULT_OK
                                                : JOB_RESULT_CORRUPT;
}

JobWave *
JobStateImpl_AddWave(JobState *state, const JobWave *head)
{
    JobWave *wave;

    state->waves =
        Mem_Resize(state->waves, (state->wave_count + 1) * sizeof(*wave));
    wave = &state->waves[state->wave_count++];
    *wave = *head;
    wave->vms = Mem_New(head->vm_count, sizeof(JobWaveVm));
    return wave;
}

static JobResult
apply_wave(JobState *state, MpRead *reader)
{
    JobWave head;
    JobWave *wave;
    uint32_t i;

    if (!JobStateImpl_ReadWaveHead(reader, &head)) {
        return JOB_RESULT_CORRUPT;
    }
    if (JobState_Wave(state, head.number) != NULL) {
        return JOB_RESULT_EXISTS;
    }
    wave = JobStateImpl_AddWave(state, &head);
    for (i = 0; i < wave->vm_count; i++) {
        MpRead_Text(reader, wave->vms[i].vm, sizeof(wave->vms[i].vm));
    }
    return JOB_RESULT_OK;
}

static JobResult
apply_wave_vm(JobState *state, MpRead *reader)
{
    uint64_t number;
    char vm[JOB_NAME_BYTES];
    bool done;
    const JobWave *found;
    uint32_t i;

    if (!MpRead_U64(reader, &number) || !MpRead_Text(reader, vm, sizeof(vm)) ||
        !MpRead_Bool(reader, &done)) {
        return JOB_RESULT_CORRUPT;
    }
    found = JobState_Wave(state, number);
    for (i = 0; found != NULL && i < found->vm_count; i++) {
        JobWaveVm *row = &found->vms[i];
        if (strcmp(row->vm, vm) != 0) {
            continue;
        }
        row->ordered = true;
        if (done && !row->done) {
            row->done = true;
            state->waves[found - state->waves].done++;
        }
        return JOB_RESULT_OK;
    }
    return JOB_RESULT_UNKNOWN;
}

void
JobStateImpl_SetOrder(JobState *state, const JobVmOrder *order)
{
    JobVmOrder *row = NULL;
    size_t i;

    for (i = 0; i < state->order_count && row == NULL; i++) {
        if (strcmp(state->orders[i].vm, order->vm) == 0) {
            row = &state->orders[i];
        }
    }
    if (row != NULL) {
        *row = *order;
        row->seen_ms = state->now_ms;
        return;
    }
    state->orders =
        Mem_Resize(state->orders, (state->order_count + 1) * sizeof(*order));
    state->orders[state->order_count] = *order;
    state->orders[state->order_count++].seen_ms = state->now_ms;
}

void
JobState_SetNow(JobState *state, int64_t now)
{
    state->now_ms = now;
}

void
JobState_SetLive(JobState *state, bool live)
{
    state->live = live;
}

void
JobState_Watch(JobState *state, const JobStateWatch *watch)
{
    state->watch = *watch;
}

static JobResult
apply_vm_order(JobState *state, MpRead *reader)
{
    return JobStateImpl_ReadOrder(state, reader) ? JOB_RESULT_OK
                                                 : JOB_RESULT_CORRUPT;
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
        JobStateImpl_FreeJob(job);
    }
    return JOB_RESULT_OK;
}

static JobResult
apply(JobState *state, MpRead *reader)
{
    static JobResult (*const functions[])(JobState *, MpRead *) = {
        [JOB_CMD_CONFIG] = apply_config,
        [JOB_CMD_SUBMIT] = apply_submit,
        [JOB_CMD_CANCEL] = apply_cancel,
        [JOB_CMD_ASSIGN] = apply_assign,
        [JOB_CMD_ENDS] = apply_ends,
        [JOB_CMD_TARGET] = apply_target,
        [JOB_CMD_TARGET_GONE] = apply_target_gone,
        [JOB_CMD_NODE] = apply_node,
        [JOB_CMD_WAVE] = apply_wave,
        [JOB_CMD_WAVE_VM] = apply_wave_vm,
        [JOB_CMD_EXPIRE] = apply_expire,
        [JOB_CMD_VM_ORDER] = apply_vm_order,
    };
    uint32_t items;
    uint64_t command;

    if (!MpRead_Array(reader, &items) || !MpRead_U64(reader, &command) ||
        command < JOB_CMD_CONFIG || command > JOB_CMD_VM_ORDER) {
        return JOB_RESULT_CORRUPT;
    }
    return functions[command](state, reader);
}

void
JobState_Apply(JobState *state, const char *command, size_t len, Buf *result)
{
    MpRead reader;
    char answer;

    MpRead_Init(&reader, command, len);
    answer = (char)apply(state, &reader);
    Buf_Append(result, &answer, 1);
}
