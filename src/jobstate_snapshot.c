#include "jobstate_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mppack.h"

/* A state without tenants has the format that versions without tenants read.
 */
#define SNAPSHOT_FORMAT 6
#define SNAPSHOT_FORMAT_WITHOUT_TENANTS 5
/* Earlier formats, which snapshots on disk may have: with all occurrences of a
 * job, without removed targets and the terms of jobs, without crashes of
 * tasks, and without early cancellations. */
#define FOURTH_SNAPSHOT_FORMAT 4
#define THIRD_SNAPSHOT_FORMAT 3
#define SECOND_SNAPSHOT_FORMAT 2
#define FIRST_SNAPSHOT_FORMAT 1
#define TASK_ITEMS 8
#define TASK_ITEMS_WITHOUT_FAILED_ATTEMPT 7
#define TASK_ITEMS_WITHOUT_CRASHES 5
#define JOB_ITEMS 12
#define JOB_ITEMS_WITHOUT_TENANT 11
#define JOB_ITEMS_WITH_ALL_OCCURRENCES 10
#define JOB_ITEMS_WITHOUT_TERMS 9
#define EARLY_CANCEL_ITEMS 3
#define EARLY_CANCEL_ITEMS_WITHOUT_TENANT 2
#define TARGET_ITEMS 5
#define TARGET_ITEMS_WITHOUT_RESTART 4

static void
pack_task(msgpack_packer *packer, const JobTask *task)
{
    msgpack_pack_array(packer, TASK_ITEMS);
    msgpack_pack_uint32(packer, task->attempt);
    msgpack_pack_uint32(packer, task->target);
    msgpack_pack_uint8(packer, task->state);
    msgpack_pack_uint16(packer, task->failures);
    MpPack_Text(packer, task->checkpoint != NULL ? task->checkpoint : "");
    msgpack_pack_uint8(packer, task->crash_score);
    msgpack_pack_uint32(packer, task->crash_attempts);
    msgpack_pack_uint32(packer, task->failed_attempt);
}

/* Returns whether an earlier version could not read the state. A tenant that
 * has left the configuration, and whose last job is forgotten, does not count:
 * a restored state does not have it either. */
static bool
has_tenants(const JobState *state)
{
    size_t i;

    for (i = 0; i < state->early_cancel_count; i++) {
        if (state->early_cancels[i].tenant[0] != '\0') {
            return true;
        }
    }
    for (i = 0;
         StrMap_Count(state->tenants) > 0 && i < StrMap_Count(state->jobs);
         i++) {
        const Job *job = StrMap_At(state->jobs, i);
        if (job->tenant != NULL) {
            return true;
        }
    }
    return state->config.tenant_count > 0;
}

static void
pack_job(msgpack_packer *packer, const Job *job, bool with_tenant)
{
    uint32_t k;
    uint32_t i;

    msgpack_pack_array(packer,
                       with_tenant ? JOB_ITEMS : JOB_ITEMS_WITHOUT_TENANT);
    MpPack_Text(packer, job->id);
    MpPack_Text(packer, job->queue);
    MpPack_Text(packer, job->pool);
    JobCodec_PackTerms(packer, &job->terms);
    if (with_tenant) {
        MpPack_Text(packer, job->tenant != NULL ? job->tenant->name : "");
    }
    JobCodec_PackSpec(packer, &job->spec);
    msgpack_pack_int64(packer, job->accepted_ms);
    msgpack_pack_int64(packer, job->ended_ms);
    msgpack_pack_uint32(packer, (uint32_t)job->phase);
    job->active ? msgpack_pack_true(packer) : msgpack_pack_false(packer);
    msgpack_pack_uint32(packer, job->first_incomplete);
    msgpack_pack_array(packer, job->row_count);
    for (k = 0; k < job->row_count; k++) {
        const JobOccurrence *row = &job->occurrences[k];
        msgpack_pack_array(packer, 2);
        row->done == job->tasks_per_occurrence ? msgpack_pack_true(packer)
                                               : msgpack_pack_false(packer);
        msgpack_pack_array(packer,
                           row->tasks != NULL ? job->tasks_per_occurrence : 0);
        for (i = 0; row->tasks != NULL && i < job->tasks_per_occurrence; i++) {
            pack_task(packer, &row->tasks[i]);
        }
    }
}

static void
pack_target(msgpack_packer *packer, const JobTarget *target)
{
    msgpack_pack_array(packer, TARGET_ITEMS);
    msgpack_pack_uint32(packer, target->row);
    msgpack_pack_uint64(packer, target->serial);
    msgpack_pack_uint64(packer, target->last_applied_end);
    JobCodec_PackAnnouncement(packer, &target->announcement);
    target->restarted ? msgpack_pack_true(packer) : msgpack_pack_false(packer);
}

static void
pack_wave(msgpack_packer *packer, const JobWave *wave)
{
    uint32_t i;

    msgpack_pack_array(packer, 5);
    JobStateImpl_PackWaveHead(packer, wave);
    for (i = 0; i < wave->vm_count; i++) {
        msgpack_pack_array(packer, 3);
        MpPack_Text(packer, wave->vms[i].vm);
        wave->vms[i].ordered ? msgpack_pack_true(packer)
                             : msgpack_pack_false(packer);
        wave->vms[i].done ? msgpack_pack_true(packer)
                          : msgpack_pack_false(packer);
    }
}

static void
pack_jobs(msgpack_packer *packer, const JobState *state, bool with_tenants)
{
    const Job *job;
    size_t i;

    /* A restore activates jobs in this order, so active jobs come first, in
     * the order of their list. */
    msgpack_pack_array(packer, StrMap_Count(state->jobs));
    for (job = state->active_first; job != NULL; job = job->next) {
        pack_job(packer, job, with_tenants);
    }
    for (i = 0; i < StrMap_Count(state->jobs); i++) {
        job = StrMap_At(state->jobs, i);
        if (!job->active) {
            pack_job(packer, job, with_tenants);
        }
    }
}

void
JobState_Snapshot(const JobState *state, Buf *out)
{
    msgpack_packer packer;
    bool with_tenants = has_tenants(state);
    uint32_t rows = 0;
    size_t i;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 10);
    msgpack_pack_int(&packer, with_tenants ? SNAPSHOT_FORMAT
                                           : SNAPSHOT_FORMAT_WITHOUT_TENANTS);
    JobCodec_PackConfig(&packer, &state->config);
    msgpack_pack_uint64(&packer, state->next_serial);
    for (i = 0; i < state->target_rows; i++) {
        rows += state->targets[i] != NULL;
    }
    msgpack_pack_array(&packer, rows);
    for (i = 0; i < state->target_rows; i++) {
        if (state->targets[i] != NULL) {
            pack_target(&packer, state->targets[i]);
        }
    }
    pack_jobs(&packer, state, with_tenants);
    msgpack_pack_array(&packer, state->node_count);
    for (i = 0; i < state->node_count; i++) {
        msgpack_pack_array(&packer, 4);
        JobStateImpl_PackNode(&packer, &state->nodes[i]);
    }
    msgpack_pack_array(&packer, state->wave_count);
    for (i = 0; i < state->wave_count; i++) {
        pack_wave(&packer, &state->waves[i]);
    }
    msgpack_pack_array(&packer, StrMap_Count(state->vm_orders));
    for (i = 0; i < StrMap_Count(state->vm_orders); i++) {
        msgpack_pack_array(&packer, 3);
        JobStateImpl_PackVmOrder(&packer, StrMap_At(state->vm_orders, i));
    }
    msgpack_pack_array(&packer, state->early_cancel_count);
    for (i = 0; i < state->early_cancel_count; i++) {
        const JobEarlyCancel *cancel = &state->early_cancels[i];
        msgpack_pack_array(&packer, with_tenants
                                        ? EARLY_CANCEL_ITEMS
                                        : EARLY_CANCEL_ITEMS_WITHOUT_TENANT);
        MpPack_Text(&packer, cancel->id);
        msgpack_pack_int64(&packer, cancel->wall_ms);
        if (with_tenants) {
            MpPack_Text(&packer, cancel->tenant);
        }
    }
    msgpack_pack_array(&packer, state->removed_target_count);
    for (i = 0; i < state->removed_target_count; i++) {
        const JobRemovedTarget *removed = &state->removed_targets[i];
        msgpack_pack_array(&packer, 3);
        MpPack_Text(&packer, removed->id);
        msgpack_pack_uint64(&packer, removed->alive_from);
        msgpack_pack_int64(&packer, removed->wall_ms);
    }
}

static bool
read_task(MpRead *reader, JobTask *task)
{
    char checkpoint[JOB_CHECKPOINT_BYTES];
    uint32_t state = 0;
    uint32_t failures = 0;
    uint32_t score = 0;
    uint32_t items = 0;

    if (!MpRead_Array(reader, &items) ||
        (items != TASK_ITEMS && items != TASK_ITEMS_WITHOUT_FAILED_ATTEMPT &&
         items != TASK_ITEMS_WITHOUT_CRASHES) ||
        !MpRead_U32(reader, &task->attempt) ||
        !MpRead_U32(reader, &task->target) || !MpRead_U32(reader, &state) ||
        !MpRead_U32(reader, &failures) ||
        !MpRead_Text(reader, checkpoint, sizeof(checkpoint)) ||
        (items != TASK_ITEMS_WITHOUT_CRASHES &&
         (!MpRead_U32(reader, &score) ||
          !MpRead_U32(reader, &task->crash_attempts))) ||
        (items == TASK_ITEMS && !MpRead_U32(reader, &task->failed_attempt)) ||
        state > JOB_TASK_DONE || failures > UINT16_MAX ||
        score > JOB_MAX_CRASH_SCORE) {
        reader->failed = true;
        return false;
    }
    task->state = (uint8_t)state;
    task->failures = (uint16_t)failures;
    task->crash_score = (uint8_t)score;
    task->checkpoint = checkpoint[0] != '\0' ? strdup(checkpoint) : NULL;
    return true;
}

/* Updates the counts and runs that are derived from the state of a task. */
static bool
derive_counts(JobState *state, Job *job, uint32_t occurrence, uint32_t step,
              uint32_t index, const JobTask *task)
{
    JobOccurrence *row = Job_FindOccurrence(job, occurrence);
    JobTarget *target;

    if (task->state == JOB_TASK_DONE) {
        row->done++;
        row->step_done[step]++;
    }
    if (task->state != JOB_TASK_ASSIGNED) {
        return true;
    }
    target = JobState_TargetAt(state, task->target);
    if (target == NULL) {
        return false;
    }
    job->assigned++;
    JobStateImpl_AddRun(target, &(JobRun){job, occurrence, step, index});
    return true;
}

static bool
read_tasks(JobState *state, MpRead *reader, Job *job, uint32_t k)
{
    uint32_t count;
    uint32_t step;
    uint32_t i;
    JobOccurrence *row;

    if (!MpRead_Array(reader, &count) ||
        (count != 0 && count != job->tasks_per_occurrence)) {
        reader->failed = true;
        return false;
    }
    if (count == 0) {
        return true;
    }
    row = JobStateImpl_EnsureOpen(state, job, k);
    for (step = 0; step < job->spec.step_count; step++) {
        for (i = 0; i < job->spec.steps[step].count; i++) {
            JobTask *task = &row->tasks[job->step_first_task[step] + i];
            if (!read_task(reader, task) ||
                !derive_counts(state, job, k, step, i, task)) {
                reader->failed = true;
                return false;
            }
        }
    }
    job->occurrences_done += row->done == job->tasks_per_occurrence;
    JobStateImpl_CloseIfDone(state, job, k);
    return true;
}

/* Reads whether an occurrence is done, or else its tasks if it is open. */
static bool
read_occurrence(JobState *state, MpRead *reader, Job *job, uint32_t k)
{
    bool done;

    if (!MpRead_ArrayOf(reader, 2) || !MpRead_Bool(reader, &done)) {
        return false;
    }
    if (done) {
        JobStateImpl_EnsureOpen(state, job, k)->done =
            job->tasks_per_occurrence;
        job->occurrences_done++;
        JobStateImpl_CloseIfDone(state, job, k);
    }
    return read_tasks(state, reader, job, k);
}

static bool
read_occurrences(JobState *state, MpRead *reader, Job *job, bool all)
{
    uint32_t first = 0;
    uint32_t count;
    uint32_t k;

    if ((!all && !MpRead_U32(reader, &first)) ||
        !MpRead_Array(reader, &count) || first > job->occurrence_count ||
        count > job->occurrence_count - first ||
        (all && count != job->occurrence_count)) {
        return false;
    }
    job->first_incomplete = first;
    job->occurrences_done = first;
    for (k = first; k < first + count; k++) {
        if (!(all ? read_tasks(state, reader, job, k)
                  : read_occurrence(state, reader, job, k))) {
            return false;
        }
    }
    return true;
}

static bool
read_job(JobState *state, MpRead *reader)
{
    char id[JOB_ID_BYTES];
    char queue[JOB_NAME_BYTES];
    char pool[JOB_NAME_BYTES];
    char tenant[JOB_NAME_BYTES] = "";
    JobTerms terms;
    JobSpec spec;
    Job *job;
    uint32_t items;
    uint32_t phase = 0;
    bool active = false;

    if (!MpRead_Array(reader, &items) || items > JOB_ITEMS ||
        items < JOB_ITEMS_WITHOUT_TERMS ||
        !MpRead_Text(reader, id, sizeof(id)) ||
        !MpRead_Text(reader, queue, sizeof(queue)) ||
        !MpRead_Text(reader, pool, sizeof(pool)) ||
        StrMap_Get(state->jobs, id) != NULL) {
        return false;
    }
    if (items == JOB_ITEMS_WITHOUT_TERMS) {
        terms =
            JobStateImpl_GetTerms(JobConfig_FindQueue(&state->config, queue));
    }
    else if (!JobCodec_ReadTerms(reader, &terms)) {
        return false;
    }
    if (items == JOB_ITEMS && !MpRead_Text(reader, tenant, sizeof(tenant))) {
        return false;
    }
    if (!JobCodec_ReadSpec(reader, &spec)) {
        JobSpec_Free(&spec);
        return false;
    }
    job = JobStateImpl_AddJob(state, id, queue);
    snprintf(job->pool, sizeof(job->pool), "%s", pool);
    job->terms = terms;
    job->tenant = JobStateImpl_EnsureTenantUse(state, tenant);
    JobStateImpl_SetSpec(state, job, &spec);
    if (!MpRead_I64(reader, &job->accepted_ms) ||
        !MpRead_I64(reader, &job->ended_ms) || !MpRead_U32(reader, &phase) ||
        phase > JOB_CANCELLED || !MpRead_Bool(reader, &active) ||
        !read_occurrences(state, reader, job,
                          items <= JOB_ITEMS_WITH_ALL_OCCURRENCES)) {
        return false;
    }
    job->phase = (JobPhase)phase;
    if (active) {
        JobStateImpl_ActivateJob(state, job);
    }
    else {
        JobStateImpl_CloseAll(state, job);
    }
    return true;
}

static bool
read_target(JobState *state, MpRead *reader)
{
    uint32_t row;
    uint32_t items;
    JobTarget *target;

    if (!MpRead_Array(reader, &items) ||
        (items != TARGET_ITEMS && items != TARGET_ITEMS_WITHOUT_RESTART) ||
        !MpRead_U32(reader, &row) || row > UINT16_MAX ||
        JobState_TargetAt(state, row) != NULL) {
        return false;
    }
    target = JobStateImpl_AddTarget(state, row);
    target->restarted = true; /* unless the snapshot says otherwise */
    if (!MpRead_U64(reader, &target->serial) ||
        !MpRead_U64(reader, &target->last_applied_end) ||
        !JobCodec_ReadAnnouncement(reader, &target->announcement) ||
        (items == TARGET_ITEMS && !MpRead_Bool(reader, &target->restarted))) {
        return false;
    }
    JobStateImpl_IndexTarget(state, target);
    return true;
}

static bool
read_node(JobState *state, MpRead *reader)
{
    return MpRead_ArrayOf(reader, 4) && JobStateImpl_ReadNode(state, reader);
}

static bool
read_wave(JobState *state, MpRead *reader)
{
    JobWave head;
    JobWave *wave;
    uint32_t i;

    if (!MpRead_ArrayOf(reader, 5) ||
        !JobStateImpl_ReadWaveHead(reader, &head)) {
        return false;
    }
    wave = JobStateImpl_AddWave(state, &head);
    for (i = 0; i < wave->vm_count; i++) {
        JobWaveVm *vm = &wave->vms[i];
        if (!MpRead_ArrayOf(reader, 3) ||
            !MpRead_Text(reader, vm->vm, sizeof(vm->vm)) ||
            !MpRead_Bool(reader, &vm->ordered) ||
            !MpRead_Bool(reader, &vm->done)) {
            return false;
        }
        wave->done += vm->done;
    }
    return true;
}

static bool
read_vm_order(JobState *state, MpRead *reader)
{
    return MpRead_ArrayOf(reader, 3) &&
           JobStateImpl_ReadVmOrder(state, reader);
}

static bool
read_early_cancel(JobState *state, MpRead *reader)
{
    char id[JOB_ID_BYTES];
    char tenant[JOB_NAME_BYTES] = "";
    int64_t wall_ms;
    uint32_t items;

    if (!MpRead_Array(reader, &items) ||
        (items != EARLY_CANCEL_ITEMS &&
         items != EARLY_CANCEL_ITEMS_WITHOUT_TENANT) ||
        !MpRead_Text(reader, id, sizeof(id)) ||
        !MpRead_I64(reader, &wall_ms) ||
        (items == EARLY_CANCEL_ITEMS &&
         !MpRead_Text(reader, tenant, sizeof(tenant)))) {
        return false;
    }
    JobStateImpl_AddEarlyCancel(state, id, wall_ms, tenant);
    return true;
}

static bool
read_removed_target(JobState *state, MpRead *reader)
{
    JobRemovedTarget removed;

    if (!MpRead_ArrayOf(reader, 3) ||
        !MpRead_Text(reader, removed.id, sizeof(removed.id)) ||
        !MpRead_U64(reader, &removed.alive_from) ||
        !MpRead_I64(reader, &removed.wall_ms)) {
        return false;
    }
    JobStateImpl_AddRemovedTarget(state, &removed);
    return true;
}

static bool
read_rows(JobState *state, MpRead *reader,
          bool (*read)(JobState *state, MpRead *reader))
{
    uint32_t count;
    uint32_t i;

    if (!MpRead_Array(reader, &count)) {
        return false;
    }
    for (i = 0; i < count; i++) {
        if (!read(state, reader)) {
            return false;
        }
    }
    return true;
}

static bool
read_format(MpRead *reader, uint64_t *format)
{
    uint32_t items;

    if (!MpRead_Array(reader, &items) || !MpRead_U64(reader, format)) {
        return false;
    }
    switch (*format) {
    case SNAPSHOT_FORMAT:
    case SNAPSHOT_FORMAT_WITHOUT_TENANTS:
    case FOURTH_SNAPSHOT_FORMAT:
        return items == 10;
    case THIRD_SNAPSHOT_FORMAT:
    case SECOND_SNAPSHOT_FORMAT:
        return items == 9;
    default:
        return *format == FIRST_SNAPSHOT_FORMAT && items == 8;
    }
}

Status
JobState_Restore(JobState *state, const char *bytes, size_t len, ErrCtx *err)
{
    JobState *fresh = JobState_New();
    JobState old;
    MpRead reader;
    uint64_t format = 0;

    fresh->now_ms = state->now_ms;
    fresh->caught_up = state->caught_up;
    fresh->observer = state->observer;
    MpRead_Init(&reader, bytes, len);
    if (!read_format(&reader, &format) ||
        !JobCodec_ReadConfig(&reader, &fresh->config) ||
        !MpRead_U64(&reader, &fresh->next_serial) ||
        !read_rows(fresh, &reader, read_target) ||
        !read_rows(fresh, &reader, read_job) ||
        !read_rows(fresh, &reader, read_node) ||
        !read_rows(fresh, &reader, read_wave) ||
        !read_rows(fresh, &reader, read_vm_order) ||
        (format != FIRST_SNAPSHOT_FORMAT &&
         !read_rows(fresh, &reader, read_early_cancel)) ||
        (format >= FOURTH_SNAPSHOT_FORMAT &&
         !read_rows(fresh, &reader, read_removed_target)) ||
        !MpRead_Done(&reader)) {
        size_t offset = MpRead_Offset(&reader);
        JobState_Free(fresh);
        return Err_Set(err, ST_CORRUPT,
                       "corrupt job state snapshot at offset %zu", offset);
    }
    JobStateImpl_UpdateQueues(fresh);
    old = *state;
    *state = *fresh;
    *fresh = old;
    JobState_Free(fresh);
    return ST_OK;
}
