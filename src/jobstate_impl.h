/*
 * NAME
 *     jobstate_impl - the inside of jobstate, shared by its source files
 */
#ifndef COLTSFOOT_JOBSTATE_IMPL_H
#define COLTSFOOT_JOBSTATE_IMPL_H

#include "jobcodec.h"
#include "jobstate.h"

struct JobState {
    JobConfig config;
    StrMap *jobs;
    Job *active_first;
    Job *active_last;
    JobTarget **targets;
    uint32_t target_rows;
    StrMap *by_id; /* of the targets */
    StrMap *by_vm; /* the latest target of each VM */
    uint64_t next_serial;
    JobNode *nodes;
    size_t node_count;
    JobWave *waves;
    size_t wave_count;
    JobVmOrder *orders;
    size_t order_count;
    int64_t now_ms;
    bool live;
    JobStateWatch watch;
};

Job *JobStateImpl_AddJob(JobState *state, const char *id, const char *queue);
/* Takes over spec. */
void JobStateImpl_SetSpec(Job *job, JobSpec *spec);
JobTask *JobStateImpl_OpenTasks(Job *job, uint32_t occurrence);
void JobStateImpl_Activate(JobState *state, Job *job);
void JobStateImpl_FreeJob(Job *job);
JobTarget *JobStateImpl_AddTarget(JobState *state, uint32_t row);
/* Enters a target into the indexes once its announcement is set. */
void JobStateImpl_IndexTarget(JobState *state, JobTarget *target);
void JobStateImpl_AddNode(JobState *state, const JobNode *node);
void JobStateImpl_SetOrder(JobState *state, const JobVmOrder *order);
/* Adds a wave with the figures of head and room for its VMs. */
JobWave *JobStateImpl_AddWave(JobState *state, const JobWave *head);
void JobStateImpl_AddRun(JobTarget *target, const JobRun *run);
void JobStateImpl_Clear(JobState *state);

/* A job leaves the active list once it has ended and nothing of it can run. */
void JobStateImpl_Deactivate(JobState *state, Job *job);
void JobStateImpl_Settle(JobState *state, Job *job);
void JobStateImpl_ReleaseAll(JobState *state, const JobTarget *target);
void JobStateImpl_Release(JobState *state, const JobRun *run);
void JobStateImpl_UnindexTarget(JobState *state, const JobTarget *target);
void JobStateImpl_EndJob(JobState *state, Job *job, JobPhase phase,
                         int64_t wall_ms);

/* jobstate_field.c: fields that commands and snapshots have in common. */
void JobStateImpl_PackNode(msgpack_packer *packer, const JobNode *node);
bool JobStateImpl_ReadNode(JobState *state, MpRead *reader);
/* All but the VMs, of which the count comes last. */
void JobStateImpl_PackWaveHead(msgpack_packer *packer, const JobWave *wave);
bool JobStateImpl_ReadWaveHead(MpRead *reader, JobWave *head);
void JobStateImpl_PackOrder(msgpack_packer *packer, const JobVmOrder *order);
bool JobStateImpl_ReadOrder(JobState *state, MpRead *reader);

typedef enum JobCommand {
    JOB_CMD_CONFIG = 1,
    JOB_CMD_SUBMIT = 2,
    JOB_CMD_CANCEL = 3,
    JOB_CMD_ASSIGN = 4,
    JOB_CMD_ENDS = 5,
    JOB_CMD_TARGET = 6,
    JOB_CMD_TARGET_GONE = 7,
    JOB_CMD_NODE = 8,
    JOB_CMD_WAVE = 9,
    JOB_CMD_WAVE_VM = 10,
    JOB_CMD_EXPIRE = 11,
    JOB_CMD_VM_ORDER = 12
} JobCommand;

#endif
