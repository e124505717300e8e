/*
 * NAME
 *     jobstate - the replicated state of jobs, targets and their assignments
 *
 * DESCRIPTION
 *     A deterministic state machine over commands built by JobCmd_*. It holds
 *     the numbered configuration, every accepted job with the state of its
 *     tasks, the targets that announced themselves, the control nodes and the
 *     waves of maintenance. A task is assigned to a target before its start
 *     is ordered, so a new leader knows every place where a task may run.
 *
 *     Members named live belong to the scheduler of the leader. They are not
 *     replicated, and a restored snapshot has them zeroed.
 *
 *     Core without I/O; not thread-safe.
 */
#ifndef COLTSFOOT_JOBSTATE_H
#define COLTSFOOT_JOBSTATE_H

#include "buf.h"
#include "job.h"
#include "status.h"
#include "strmap.h"

#define JOB_NO_TARGET UINT32_MAX

typedef enum JobPhase {
    JOB_QUEUED = 0,
    JOB_RUNNING = 1, /* a task was assigned once */
    JOB_COMPLETED = 2,
    JOB_FAILED = 3,
    JOB_CANCELLED = 4
} JobPhase;

typedef enum JobTaskState {
    JOB_TASK_WAITING = 0,
    JOB_TASK_ASSIGNED = 1, /* may run at its target */
    JOB_TASK_DONE = 2
} JobTaskState;

typedef enum JobTaskLivePhase {
    JOB_LIVE_NONE = 0,
    JOB_LIVE_PROPOSED, /* its assignment is on its way through the log */
    JOB_LIVE_STARTING, /* a start was ordered and not yet confirmed */
    JOB_LIVE_RUNNING,
    JOB_LIVE_STOPPING /* a stop was ordered */
} JobTaskLivePhase;

typedef struct JobTaskLive {
    int64_t since_ms; /* of the phase */
    int64_t away_ms;  /* a lasting task: since when it is not at work */
    uint8_t phase;
    uint8_t percent;
    bool calling;   /* a start or stop has no answer yet */
    bool must_stop; /* wanted by a move, a wave or a preemption */
    bool settled;   /* the target has accepted the stop */
} JobTaskLive;

typedef struct JobTask {
    uint32_t attempt; /* of the last assignment; 0: never assigned */
    uint32_t target;  /* row, while assigned */
    uint8_t state;
    uint8_t failures;
    char *checkpoint;    /* NULL: none */
    int64_t assigned_ms; /* steady time; 0: not seen on this node */
    JobTaskLive live;
} JobTask;

typedef struct JobOccurrence {
    JobTask *tasks; /* of all steps in order; NULL before the first use */
    uint32_t done;
    uint32_t *step_done; /* tasks done, by step */
} JobOccurrence;

typedef struct JobLive {
    int64_t accepted_ms; /* steady time of the acceptance or takeover */
    int64_t retry_ms;    /* no placement is tried before */
    bool observed;       /* was not there at the takeover */
    int64_t chain_ms;    /* expected time of its longest chain ... */
    int64_t left_ms;     /* ... and of what is left of it */
    int64_t chain_at_ms; /* when these were worked out */
    uint32_t chain_done; /* tasks done then */
} JobLive;

typedef struct Job {
    char id[JOB_ID_BYTES];
    char queue[JOB_NAME_BYTES];
    char pool[JOB_NAME_BYTES]; /* as last named by a configuration */
    JobSpec spec;
    int64_t accepted_ms; /* wall time */
    int64_t ended_ms;    /* wall time */
    JobPhase phase;
    bool has_waiting;     /* a hint for the scheduler: tasks may wait */
    uint32_t tasks_each;  /* of one occurrence */
    uint32_t *step_first; /* index of each step's first task */
    JobOccurrence *occurrences;
    uint32_t occurrence_count;
    uint32_t occurrences_done;
    uint32_t first_open; /* earlier occurrences are done */
    uint32_t assigned;   /* tasks that may run now */
    struct Job *next;    /* among the active ones, oldest first */
    struct Job *previous;
    bool active;
    JobLive live;
} Job;

/* A task that may run at a target. */
typedef struct JobRun {
    Job *job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
} JobRun;

typedef struct JobTarget {
    JobAnnouncement says;
    uint64_t serial;     /* differs for each life of each target */
    uint64_t ends_taken; /* highest number of its ends in this state */
    uint32_t row;
    JobRun *runs; /* the assigned tasks, in no order */
    uint32_t run_count;
    uint32_t run_capacity;
    JobNeed used; /* by assigned tasks */
    void *live;   /* of the scheduler */
} JobTarget;

typedef struct JobNode {
    char name[JOB_NAME_BYTES];
    char data_centre[JOB_NAME_BYTES];
    char peer[JOB_ADDRESS_BYTES];
    char control[JOB_ADDRESS_BYTES];
} JobNode;

typedef struct JobWaveVm {
    char vm[JOB_NAME_BYTES];
    bool ordered;      /* its maintenance has begun */
    bool done;         /* it is back, or it has left */
    int64_t absent_ms; /* not replicated: the planner has missed it since */
} JobWaveVm;

typedef struct JobWave {
    uint64_t number;
    int64_t start_ms; /* wall time */
    int64_t duration_ms;
    uint32_t cap;
    JobWaveVm *vms;
    uint32_t vm_count;
    uint32_t done;
} JobWave;

/* The last order for a VM, stored before it is given. */
typedef struct JobVmOrder {
    char vm[JOB_NAME_BYTES];
    uint64_t fence;
    int64_t wall_ms;
    int64_t seen_ms; /* not replicated: when this node applied it */
} JobVmOrder;

typedef struct JobState JobState;

JobState *JobState_New(void);
void JobState_Free(JobState *state);

/* Tells the steady time, which only members that are not replicated take. */
void JobState_SetNow(JobState *state, int64_t now);

/* Tells whether commands are applied as they happen. While a node catches up
 * their times say nothing, and the watch is not called. */
void JobState_SetLive(JobState *state, bool live);

/* Told on every node of what happens, so that any of them knows the demand and
 * the run times when it begins to lead. */
typedef struct JobStateWatch {
    void *arg;
    void (*accepted)(void *arg, int64_t now, const Job *job);
    /* A run that was not resumed from a checkpoint is done. */
    void (*done)(void *arg, const Job *job, uint32_t step, int64_t took_ms);
} JobStateWatch;

void JobState_Watch(JobState *state, const JobStateWatch *watch);

/* Applies one command and appends one byte with a JobResult. */
void JobState_Apply(JobState *state, const char *command, size_t len,
                    Buf *result);
void JobState_Snapshot(const JobState *state, Buf *out);
Status JobState_Restore(JobState *state, const char *bytes, size_t len,
                        ErrCtx *err);

typedef enum JobResult {
    JOB_RESULT_OK = 0,
    JOB_RESULT_EXISTS = 1,  /* was there already; nothing changed */
    JOB_RESULT_UNKNOWN = 2, /* no such row */
    JOB_RESULT_IGNORED = 3, /* no longer applies */
    JOB_RESULT_CORRUPT = 4
} JobResult;

const JobConfig *JobState_Config(const JobState *state);
Job *JobState_Job(const JobState *state, const char *id);
Job *JobState_FirstActive(const JobState *state);
size_t JobState_JobCount(const JobState *state);
uint32_t JobState_TargetRows(const JobState *state);
/* Returns NULL for a row that is free. */
JobTarget *JobState_Target(const JobState *state, uint32_t row);
JobTarget *JobState_FindTarget(const JobState *state, const char *id);
/* Returns the latest target that announced itself on a VM, or NULL. */
JobTarget *JobState_VmTarget(const JobState *state, const char *vm);
size_t JobState_NodeCount(const JobState *state);
const JobNode *JobState_NodeAt(const JobState *state, size_t i);
size_t JobState_WaveCount(const JobState *state);
JobWave *JobState_WaveAt(const JobState *state, size_t i);
const JobWave *JobState_Wave(const JobState *state, uint64_t number);

/* Returns the last order for a VM, or NULL. */
const JobVmOrder *JobState_VmOrder(const JobState *state, const char *vm);

/* Returns the task, or NULL; creates the occurrence. */
JobTask *JobState_Task(JobState *state, const JobTaskRef *task, Job **job);

/* Returns the task of a run. */
JobTask *JobRun_Task(const JobRun *run);
const JobStep *JobRun_Step(const JobRun *run);
JobTaskRef JobRun_Ref(const JobRun *run);
bool JobTaskRef_IsSame(const JobTaskRef *a, const JobTaskRef *b);

/* Returns whether all steps that a step depends on are done. */
bool Job_StepReady(const Job *job, uint32_t occurrence, uint32_t step);

/* Returns the count of jobs of a queue for which no task was assigned yet. */
size_t JobState_Pending(const JobState *state, const char *queue);

/* Zeroes all members named live. */
void JobState_ClearLive(JobState *state);

/* Commands. */
void JobCmd_Config(Buf *out, const JobConfig *config);
void JobCmd_Submit(Buf *out, const char *id, const char *queue,
                   int64_t wall_ms, const JobSpec *spec);
void JobCmd_Cancel(Buf *out, const char *id, int64_t wall_ms);

typedef struct JobAssignment {
    JobTaskRef task;
    uint32_t attempt;
    uint32_t target;
    uint64_t serial; /* of the target */
} JobAssignment;

void JobCmd_Assign(Buf *out, const JobAssignment *rows, size_t count);
void JobCmd_Ends(Buf *out, uint32_t target, uint64_t serial, int64_t wall_ms,
                 const JobEnd *ends, size_t count);
/* Adds a target, or changes it; a later life ends the runs of an earlier
 * one. */
void JobCmd_Target(Buf *out, const JobAnnouncement *announcement);
/* The target has ended for good. */
void JobCmd_TargetGone(Buf *out, uint32_t target, uint64_t serial);
void JobCmd_Node(Buf *out, const JobNode *node);
void JobCmd_Wave(Buf *out, const JobWave *wave);
void JobCmd_WaveVm(Buf *out, uint64_t number, const char *vm, bool done);
void JobCmd_VmOrder(Buf *out, const JobVmOrder *order);
/* Forgets jobs that ended before wall_ms. */
void JobCmd_Expire(Buf *out, int64_t wall_ms);

#endif
