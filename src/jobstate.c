#include "jobstate_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

JobState *
JobState_New(void)
{
    JobState *state = Mem_New(1, sizeof(*state));

    state->jobs = StrMap_New();
    state->targets_by_id = StrMap_New();
    state->targets_by_vm = StrMap_New();
    state->tenants = StrMap_New();
    state->vm_orders = StrMap_New();
    state->next_serial = 1;
    state->caught_up = true;
    return state;
}

/* --- queries --- */

const JobConfig *
JobState_GetConfig(const JobState *state)
{
    return &state->config;
}

Job *
JobState_FindJob(const JobState *state, const char *id)
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

JobTenantUse *
JobState_FindTenantUse(const JobState *state, const char *name)
{
    return StrMap_Get(state->tenants, name);
}

size_t
JobState_TenantUseCount(const JobState *state)
{
    return StrMap_Count(state->tenants);
}

JobTenantUse *
JobState_TenantUseAt(const JobState *state, size_t i)
{
    return StrMap_At(state->tenants, i);
}

size_t
JobState_EarlyCancelCount(const JobState *state)
{
    return state->early_cancel_count;
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
JobState_FindWave(const JobState *state, uint64_t number)
{
    size_t i;

    for (i = 0; i < state->wave_count; i++) {
        if (state->waves[i].number == number) {
            return &state->waves[i];
        }
    }
    return NULL;
}

bool
JobState_IsMaintenanceOrdered(const JobState *state, uint64_t number,
                              const char *vm)
{
    const JobWave *wave = JobState_FindWave(state, number);
    uint32_t i;

    for (i = 0; wave != NULL && i < wave->vm_count; i++) {
        if (strcmp(wave->vms[i].vm, vm) == 0) {
            return wave->vms[i].ordered;
        }
    }
    return true;
}

const JobVmOrder *
JobState_FindVmOrder(const JobState *state, const char *vm)
{
    return StrMap_Get(state->vm_orders, vm);
}

JobPhase
Job_GetPhase(const Job *job)
{
    return job->phase == JOB_QUEUED && job->sched_state.begun ? JOB_RUNNING
                                                              : job->phase;
}

size_t
JobState_CountPending(const JobState *state, const char *queue)
{
    const Job *job;
    size_t count = 0;

    for (job = state->active_first; job != NULL; job = job->next) {
        count +=
            Job_GetPhase(job) == JOB_QUEUED && strcmp(job->queue, queue) == 0;
    }
    return count;
}

void
JobState_ClearSchedState(JobState *state)
{
    Job *job;
    uint32_t k;
    uint32_t i;

    for (job = state->active_first; job != NULL; job = job->next) {
        memset(&job->sched_state, 0, sizeof(job->sched_state));
        job->has_waiting = true;
        for (k = 0; k < job->row_count; k++) {
            JobTask *tasks = job->occurrences[k].tasks;
            for (i = 0; tasks != NULL && i < job->tasks_per_occurrence; i++) {
                memset(&tasks[i].sched_state, 0, sizeof(tasks[i].sched_state));
            }
        }
    }
    for (i = 0; i < StrMap_Count(state->tenants); i++) {
        JobTenantUse *use = StrMap_At(state->tenants, i);
        memset(&use->reserved, 0, sizeof(use->reserved));
        use->reserved_runs = 0;
        memset(&use->sched_state, 0, sizeof(use->sched_state));
    }
    for (i = 0; i < state->target_rows; i++) {
        if (state->targets[i] != NULL) {
            free(state->targets[i]->sched_state);
            state->targets[i]->sched_state = NULL;
        }
    }
}

void
JobStateImpl_FreeContents(JobState *state)
{
    size_t i;

    JobState_ClearSchedState(state);
    for (i = 0; i < StrMap_Count(state->jobs); i++) {
        JobStateImpl_FreeJob(state, StrMap_At(state->jobs, i));
    }
    StrMap_Free(state->jobs);
    StrMap_Free(state->targets_by_id);
    StrMap_Free(state->targets_by_vm);
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
    StrMap_FreeAll(state->tenants);
    StrMap_FreeAll(state->vm_orders);
    free(state->early_cancels);
    free(state->removed_targets);
    memset(state, 0, sizeof(*state));
}

void
JobState_Free(JobState *state)
{
    if (state != NULL) {
        JobStateImpl_FreeContents(state);
        free(state);
    }
}
