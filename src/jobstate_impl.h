/*
 * NAME
 *     jobstate_impl - internals shared by the source files of jobstate
 */
#ifndef COLTSFOOT_JOBSTATE_IMPL_H
#define COLTSFOOT_JOBSTATE_IMPL_H

#include "jobcodec.h"
#include "jobstate.h"

/* The cancellation of a job that was not submitted yet. */
typedef struct JobEarlyCancel {
    char id[JOB_ID_BYTES];
    int64_t wall_ms;
    char tenant[JOB_NAME_BYTES]; /* empty: of a caller without one */
} JobEarlyCancel;

/* A target that is no longer in the state. */
typedef struct JobRemovedTarget {
    char id[JOB_NAME_BYTES];
    uint64_t alive_from; /* incarnations that started earlier have ended */
    int64_t wall_ms;
} JobRemovedTarget;

struct JobState {
    JobConfig config;
    StrMap *jobs;
    size_t job_bytes; /* sum of JobState_MeasureJob() */
    Job *active_first;
    Job *active_last;
    JobTarget **targets;
    uint32_t target_rows;
    StrMap *targets_by_id;
    StrMap *targets_by_vm; /* most recently started target by VM */
    uint64_t next_serial;
    JobNode *nodes;
    size_t node_count;
    JobWave *waves;
    size_t wave_count;
    StrMap *tenants;   /* JobTenantUse by name */
    StrMap *vm_orders; /* JobVmOrder by VM, in the order of addition */
    JobEarlyCancel *early_cancels; /* in the order in which they are applied */
    size_t early_cancel_count;
    JobRemovedTarget *removed_targets; /* in the order of their removal */
    size_t removed_target_count;
    uint64_t open_tasks; /* number of tasks of open occurrences of all jobs */
    int64_t now_ms;
    bool caught_up;
    JobStateObserver observer;
};

Job *JobStateImpl_AddJob(JobState *state, const char *id, const char *queue);
/* Sets the pools and priorities of the active jobs by their queues. */
void JobStateImpl_UpdateQueues(JobState *state);
/* Returns the terms of a queue. NULL: of one that is not known, whose jobs
 * end with the first failed run. */
JobTerms JobStateImpl_GetTerms(const JobQueue *queue);
/* Takes ownership of the contents of spec. */
void JobStateImpl_SetSpec(JobState *state, Job *job, JobSpec *spec);
/* Opens an occurrence unless it is open, and returns it. It must not be before
 * first_incomplete. */
JobOccurrence *JobStateImpl_EnsureOpen(JobState *state, Job *job,
                                       uint32_t occurrence);
/* Frees the tasks of an occurrence if all are done. */
void JobStateImpl_CloseIfDone(JobState *state, Job *job, uint32_t occurrence);
/* Frees the tasks of all occurrences. */
void JobStateImpl_CloseAll(JobState *state, Job *job);
void JobStateImpl_ActivateJob(JobState *state, Job *job);
void JobStateImpl_FreeJob(JobState *state, Job *job);
JobTarget *JobStateImpl_AddTarget(JobState *state, uint32_t row);
/* Adds a target to the indexes; its announcement must be set. */
void JobStateImpl_IndexTarget(JobState *state, JobTarget *target);
/* Adds the node or replaces the one of the same name. */
void JobStateImpl_SetNode(JobState *state, const JobNode *node);
void JobStateImpl_SetVmOrder(JobState *state, const JobVmOrder *order);
/* Adds the cancellation of a job that was not submitted yet. */
void JobStateImpl_AddEarlyCancel(JobState *state, const char *id,
                                 int64_t wall_ms, const char *tenant);
/* Returns the row of a tenant, which is added if it is missing; NULL for an
 * empty name. */
JobTenantUse *JobStateImpl_EnsureTenantUse(JobState *state, const char *name);
/* jobstate_removed.c: removed targets. Add replaces the row of the id. */
void JobStateImpl_AddRemovedTarget(JobState *state,
                                   const JobRemovedTarget *removed);
const JobRemovedTarget *JobStateImpl_FindRemovedTarget(const JobState *state,
                                                       const char *id);
/* Forgets the targets that were removed before wall_ms. */
void JobStateImpl_ExpireRemovedTargets(JobState *state, int64_t wall_ms);

/* Adds a wave with the fields of head and allocates its VMs. */
JobWave *JobStateImpl_AddWave(JobState *state, const JobWave *head);
void JobStateImpl_AddRun(JobTarget *target, const JobRun *run);
/* Frees everything that the state holds and zeroes it. */
void JobStateImpl_FreeContents(JobState *state);

void JobStateImpl_DeactivateJob(JobState *state, Job *job);
/* Removes a job from the active list once it has ended and none of its tasks
 * can run. */
void JobStateImpl_DeactivateJobIfEnded(JobState *state, Job *job);
void JobStateImpl_RequeueTargetTasks(JobState *state, const JobTarget *target);
void JobStateImpl_RequeueTask(JobState *state, const JobRun *run);
void JobStateImpl_UnindexTarget(JobState *state, const JobTarget *target);
void JobStateImpl_EndJob(JobState *state, Job *job, JobPhase phase,
                         int64_t wall_ms);

/* jobstate_field.c: encoding of fields that commands and snapshots share.
 * ReadNode and ReadVmOrder store the decoded fields in the state. */
void JobStateImpl_PackNode(msgpack_packer *packer, const JobNode *node);
bool JobStateImpl_ReadNode(JobState *state, MpRead *reader);
/* Encodes all fields but the VMs, whose number comes last. */
void JobStateImpl_PackWaveHead(msgpack_packer *packer, const JobWave *wave);
bool JobStateImpl_ReadWaveHead(MpRead *reader, JobWave *head);
void JobStateImpl_PackVmOrder(msgpack_packer *packer, const JobVmOrder *order);
bool JobStateImpl_ReadVmOrder(JobState *state, MpRead *reader);

/* jobstate_fleet.c: commands about targets, nodes, waves and VMs */
JobResult JobStateImpl_ApplyTarget(JobState *state, MpRead *reader);
JobResult JobStateImpl_ApplyTargetGone(JobState *state, MpRead *reader);
JobResult JobStateImpl_ApplyNode(JobState *state, MpRead *reader);
JobResult JobStateImpl_ApplyWave(JobState *state, MpRead *reader);
JobResult JobStateImpl_ApplyWaveVm(JobState *state, MpRead *reader);
JobResult JobStateImpl_ApplyVmOrder(JobState *state, MpRead *reader);

/* First item of each encoded command. */
typedef enum JobCommandKind {
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
    JOB_CMD_VM_ORDER = 12,
    JOB_CMD_CRASHES = 13,
    JOB_CMD_BEGUN = 14
} JobCommandKind;

#endif
