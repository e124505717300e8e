#include "jobstate_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

JobResult
JobStateImpl_ApplyTarget(JobState *state, MpRead *reader)
{
    JobAnnouncement announcement;
    JobTarget *target;
    uint32_t row = 0;

    if (!JobCodec_ReadAnnouncement(reader, &announcement)) {
        return JOB_RESULT_CORRUPT;
    }
    target = JobState_FindTarget(state, announcement.id);
    if (target != NULL ? announcement.born < target->announcement.born
                       : JobState_HasTargetEnded(state, announcement.id,
                                                 announcement.born)) {
        return JOB_RESULT_IGNORED;
    }
    if (target != NULL && announcement.born > target->announcement.born) {
        JobStateImpl_RequeueTargetTasks(state, target);
        target->last_applied_end = 0;
        target->serial = state->next_serial++;
        target->restarted = true;
    }
    if (target == NULL) {
        while (JobState_TargetAt(state, row) != NULL) {
            row++;
        }
        target = JobStateImpl_AddTarget(state, row);
        target->serial = state->next_serial++;
        target->restarted =
            JobStateImpl_FindRemovedTarget(state, announcement.id) != NULL;
    }
    else {
        JobStateImpl_UnindexTarget(state, target);
    }
    target->announcement = announcement;
    JobStateImpl_IndexTarget(state, target);
    return JOB_RESULT_OK;
}

/* Removals in earlier logs end with the serial. */
static bool
read_removal(MpRead *reader, JobRemoval *removal)
{
    memset(removal, 0, sizeof(*removal));
    return MpRead_U32(reader, &removal->target) &&
           MpRead_U64(reader, &removal->serial) &&
           (MpRead_Done(reader) || (MpRead_U64(reader, &removal->alive_from) &&
                                    MpRead_I64(reader, &removal->wall_ms)));
}

JobResult
JobStateImpl_ApplyTargetGone(JobState *state, MpRead *reader)
{
    JobRemoval removal;
    JobRemovedTarget removed = {{0}, 0, 0};
    JobTarget *target;

    if (!read_removal(reader, &removal)) {
        return JOB_RESULT_CORRUPT;
    }
    target = JobState_TargetAt(state, removal.target);
    if (target == NULL || target->serial != removal.serial) {
        return JOB_RESULT_IGNORED;
    }
    if (removal.alive_from != 0) {
        snprintf(removed.id, sizeof(removed.id), "%s",
                 target->announcement.id);
        removed.alive_from = removal.alive_from;
        removed.wall_ms = removal.wall_ms;
        JobStateImpl_AddRemovedTarget(state, &removed);
    }
    JobStateImpl_RequeueTargetTasks(state, target);
    JobStateImpl_UnindexTarget(state, target);
    free(target->sched_state);
    free(target->runs);
    free(target);
    state->targets[removal.target] = NULL;
    return JOB_RESULT_OK;
}

void
JobStateImpl_SetNode(JobState *state, const JobNode *node)
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

JobResult
JobStateImpl_ApplyNode(JobState *state, MpRead *reader)
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

JobResult
JobStateImpl_ApplyWave(JobState *state, MpRead *reader)
{
    JobWave head;
    JobWave *wave;
    uint32_t i;

    if (!JobStateImpl_ReadWaveHead(reader, &head)) {
        return JOB_RESULT_CORRUPT;
    }
    if (JobState_FindWave(state, head.number) != NULL) {
        return JOB_RESULT_EXISTS;
    }
    wave = JobStateImpl_AddWave(state, &head);
    for (i = 0; i < wave->vm_count; i++) {
        MpRead_Text(reader, wave->vms[i].vm, sizeof(wave->vms[i].vm));
    }
    return JOB_RESULT_OK;
}

JobResult
JobStateImpl_ApplyWaveVm(JobState *state, MpRead *reader)
{
    uint64_t number;
    char vm[JOB_VM_NAME_BYTES];
    bool done;
    const JobWave *found;
    uint32_t i;

    if (!MpRead_U64(reader, &number) || !MpRead_Text(reader, vm, sizeof(vm)) ||
        !MpRead_Bool(reader, &done)) {
        return JOB_RESULT_CORRUPT;
    }
    found = JobState_FindWave(state, number);
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
JobStateImpl_SetVmOrder(JobState *state, const JobVmOrder *order)
{
    JobVmOrder *row = StrMap_Get(state->vm_orders, order->vm);

    if (row == NULL) {
        row = Mem_New(1, sizeof(*row));
        *row = *order;
        StrMap_Put(state->vm_orders, row->vm, row);
    }
    *row = *order;
    row->seen_ms = state->now_ms;
}

JobResult
JobStateImpl_ApplyVmOrder(JobState *state, MpRead *reader)
{
    return JobStateImpl_ReadVmOrder(state, reader) ? JOB_RESULT_OK
                                                   : JOB_RESULT_CORRUPT;
}
