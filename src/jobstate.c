#include "jobstate_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
allocate(size_t count, size_t bytes)
{
    void *memory = calloc(count > 0 ? count : 1, bytes);

    if (memory == NULL) {
        abort();
    }
    return memory;
}

JobState *
JobState_New(void)
{
    JobState *state = allocate(1, sizeof(*state));

    state->jobs = StrMap_New();
    state->by_id = StrMap_New();
    state->by_vm = StrMap_New();
    state->next_serial = 1;
    return state;
}

/* --- jobs --- */

Job *
JobStateImpl_AddJob(JobState *state, const char *id, const char *queue)
{
    Job *job = allocate(1, sizeof(*job));

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
    job->step_first = allocate(job->spec.step_count, sizeof(uint32_t));
    for (i = 0; i < job->spec.step_count; i++) {
        job->step_first[i] = first;
        first += job->spec.steps[i].count;
    }
    job->tasks_each = first;
    job->occurrence_count = job->spec.repeats > 0 ? job->spec.repeats : 1;
    job->occurrences = allocate(job->occurrence_count, sizeof(JobOccurrence));
}

JobTask *
JobStateImpl_OpenTasks(Job *job, uint32_t occurrence)
{
    JobOccurrence *open = &job->occurrences[occurrence];

    if (open->tasks == NULL) {
        open->tasks = allocate(job->tasks_each, sizeof(JobTask));
        open->step_done = allocate(job->spec.step_count, sizeof(uint32_t));
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

static void
deactivate(JobState *state, Job *job)
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
static void
settle(JobState *state, Job *job)
{
    if (job->phase >= JOB_COMPLETED && job->assigned == 0) {
        deactivate(state, job);
    }
}

static void
end_job(JobState *state, Job *job, JobPhase phase, int64_t wall_ms)
{
    job->phase = phase;
    job->ended_ms = wall_ms;
    settle(state, job);
}

static JobStep *
step_of(const Job *job, uint32_t step)
{
    return &job->spec.steps[step];
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
            realloc(state->targets, (row + 1) * sizeof(*state->targets));
        if (state->targets == NULL) {
            abort();
        }
        while (state->target_rows <= row) {
            state->targets[state->target_rows++] = NULL;
        }
    }
    state->targets[row] = allocate(1, sizeof(JobTarget));
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

void
JobStateImpl_AddRun(JobTarget *target, const JobRun *run)
{
    const JobStep *step = JobRun_Step(run);

    if (target->run_count == target->run_capacity) {
        target->run_capacity = target->run_capacity * 2 + 8;
        target->runs = realloc(target->runs,
                               target->run_capacity * sizeof(*target->runs));
        if (target->runs == NULL) {
            abort();
        }
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
static void
unindex(JobState *state, const JobTarget *target)
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
static void
release(JobState *state, const JobRun *run)
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
static void
release_all(JobState *state, const JobTarget *target)
{
    while (target->run_count > 0) {
        JobRun run = target->runs[0];
        release(state, &run);
        settle(state, run.job);
    }
}

/* --- commands --- */

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
    end_job(state, job, JOB_CANCELLED, wall_ms);
    return JOB_RESULT_OK;
}

static bool
read_u32(MpRead *reader, uint32_t *value)
{
    uint64_t wide = 0;

    if (!MpRead_U64(reader, &wide) || wide > UINT32_MAX) {
        reader->failed = true;
        return false;
    }
    *value = (uint32_t)wide;
    return true;
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
            !read_u32(reader, &row.attempt) ||
            !read_u32(reader, &row.target) ||
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
        release(state, &(JobRun){job, ref->occurrence, ref->step, ref->index});
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
        end_job(state, job, JOB_COMPLETED, wall_ms);
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
        end_job(state, job, JOB_FAILED, wall_ms);
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
        settle(state, job);
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
        release(state, &(JobRun){job, end->task.occurrence, end->task.step,
                                 end->task.index});
        keep_checkpoint(task, end->checkpoint);
        if (end->kind == JOB_END_FAILED) {
            fail_task(state, job, &end->task, task, wall_ms);
        }
    }
    settle(state, job);
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

    if (!read_u32(reader, &row) || !MpRead_U64(reader, &serial) ||
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
            !read_u32(reader, &end.attempt) || !read_u32(reader, &kind) ||
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
        release_all(state, target);
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
        unindex(state, target);
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

    if (!read_u32(reader, &row) || !MpRead_U64(reader, &serial)) {
        return JOB_RESULT_CORRUPT;
    }
    target = JobState_Target(state, row);
    if (target == NULL || target->serial != serial) {
        return JOB_RESULT_IGNORED;
    }
    release_all(state, target);
    unindex(state, target);
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
        realloc(state->nodes, (state->node_count + 1) * sizeof(*node));
    if (state->nodes == NULL) {
        abort();
    }
    state->nodes[state->node_count++] = *node;
}

static JobResult
apply_node(JobState *state, MpRead *reader)
{
    JobNode node = {{0}, {0}, {0}, {0}};

    if (!MpRead_Text(reader, node.name, sizeof(node.name)) ||
        !MpRead_Text(reader, node.data_centre, sizeof(node.data_centre)) ||
        !MpRead_Text(reader, node.peer, sizeof(node.peer)) ||
        !MpRead_Text(reader, node.control, sizeof(node.control))) {
        return JOB_RESULT_CORRUPT;
    }
    JobStateImpl_AddNode(state, &node);
    return JOB_RESULT_OK;
}

JobWave *
JobStateImpl_AddWave(JobState *state, uint32_t vm_count)
{
    JobWave *wave;

    state->waves =
        realloc(state->waves, (state->wave_count + 1) * sizeof(*wave));
    if (state->waves == NULL) {
        abort();
    }
    wave = &state->waves[state->wave_count++];
    memset(wave, 0, sizeof(*wave));
    wave->vms = allocate(vm_count, sizeof(JobWaveVm));
    wave->vm_count = vm_count;
    return wave;
}

static JobResult
apply_wave(JobState *state, MpRead *reader)
{
    JobWave head = {0};
    JobWave *wave;
    uint32_t count;
    uint32_t i;

    if (!MpRead_U64(reader, &head.number) ||
        !MpRead_I64(reader, &head.start_ms) ||
        !MpRead_I64(reader, &head.duration_ms) ||
        !read_u32(reader, &head.cap) || !MpRead_Array(reader, &count)) {
        return JOB_RESULT_CORRUPT;
    }
    if (JobState_Wave(state, head.number) != NULL) {
        return JOB_RESULT_EXISTS;
    }
    wave = JobStateImpl_AddWave(state, count);
    wave->number = head.number;
    wave->start_ms = head.start_ms;
    wave->duration_ms = head.duration_ms;
    wave->cap = head.cap;
    for (i = 0; i < count; i++) {
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
        realloc(state->orders, (state->order_count + 1) * sizeof(*order));
    if (state->orders == NULL) {
        abort();
    }
    state->orders[state->order_count] = *order;
    state->orders[state->order_count++].seen_ms = state->now_ms;
}

void
JobState_SetNow(JobState *state, int64_t now)
{
    state->now_ms = now;
}

static JobResult
apply_vm_order(JobState *state, MpRead *reader)
{
    JobVmOrder order = {{0}, 0, 0, 0};

    if (!MpRead_Text(reader, order.vm, sizeof(order.vm)) ||
        !MpRead_U64(reader, &order.fence) ||
        !MpRead_I64(reader, &order.wall_ms)) {
        return JOB_RESULT_CORRUPT;
    }
    JobStateImpl_SetOrder(state, &order);
    return JOB_RESULT_OK;
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

/* --- queries --- */

const JobConfig *
JobState_Config(const JobState *state)
{
    return &state->config;
}

Job *
JobState_Job(const JobState *state, const char *id)
{
    return StrMap_Get(state->jobs, id);
}

Job *
JobState_FirstActive(const JobState *state)
{
    return state->active_first;
}

size_t
JobState_JobCount(const JobState *state)
{
    return StrMap_Count(state->jobs);
}

uint32_t
JobState_TargetRows(const JobState *state)
{
    return state->target_rows;
}

size_t
JobState_NodeCount(const JobState *state)
{
    return state->node_count;
}

const JobNode *
JobState_NodeAt(const JobState *state, size_t i)
{
    return &state->nodes[i];
}

size_t
JobState_WaveCount(const JobState *state)
{
    return state->wave_count;
}

JobWave *
JobState_WaveAt(const JobState *state, size_t i)
{
    return &state->waves[i];
}

const JobWave *
JobState_Wave(const JobState *state, uint64_t number)
{
    size_t i;

    for (i = 0; i < state->wave_count; i++) {
        if (state->waves[i].number == number) {
            return &state->waves[i];
        }
    }
    return NULL;
}

const JobVmOrder *
JobState_VmOrder(const JobState *state, const char *vm)
{
    size_t i;

    for (i = 0; i < state->order_count; i++) {
        if (strcmp(state->orders[i].vm, vm) == 0) {
            return &state->orders[i];
        }
    }
    return NULL;
}

size_t
JobState_Pending(const JobState *state, const char *queue)
{
    const Job *job;
    size_t count = 0;

    for (job = state->active_first; job != NULL; job = job->next) {
        count += job->phase == JOB_QUEUED && strcmp(job->queue, queue) == 0;
    }
    return count;
}

void
JobState_ClearLive(JobState *state)
{
    Job *job;
    uint32_t k;
    uint32_t i;

    for (job = state->active_first; job != NULL; job = job->next) {
        memset(&job->live, 0, sizeof(job->live));
        job->has_waiting = true;
        for (k = job->first_open; k < job->occurrence_count; k++) {
            JobTask *tasks = job->occurrences[k].tasks;
            for (i = 0; tasks != NULL && i < job->tasks_each; i++) {
                memset(&tasks[i].live, 0, sizeof(tasks[i].live));
            }
        }
    }
    for (i = 0; i < state->target_rows; i++) {
        if (state->targets[i] != NULL) {
            free(state->targets[i]->live);
            state->targets[i]->live = NULL;
        }
    }
}

void
JobStateImpl_Clear(JobState *state)
{
    size_t i;

    JobState_ClearLive(state);
    for (i = 0; i < StrMap_Count(state->jobs); i++) {
        JobStateImpl_FreeJob(StrMap_At(state->jobs, i));
    }
    StrMap_Free(state->jobs);
    StrMap_Free(state->by_id);
    StrMap_Free(state->by_vm);
    JobConfig_Free(&state->config);
    for (i = 0; i < state->target_rows; i++) {
        if (state->targets[i] != NULL) {
            free(state->targets[i]->runs);
        }
        free(state->targets[i]);
    }
    free(state->targets);
    free(state->nodes);
    for (i = 0; i < state->wave_count; i++) {
        free(state->waves[i].vms);
    }
    free(state->waves);
    free(state->orders);
    memset(state, 0, sizeof(*state));
}

void
JobState_Free(JobState *state)
{
    if (state != NULL) {
        JobStateImpl_Clear(state);
        free(state);
    }
}
