/*
 * NAME
 *     jobstate - the replicated state of jobs, targets and their assignments
 *
 * DESCRIPTION
 *     A deterministic state machine that applies commands built by
 *     JobCmd_Encode*.
 *     It holds the current configuration, all accepted jobs with the state of
 *     their tasks, the targets that announced themselves, the control nodes
 *     and the maintenance waves. The assignment of a task is committed before
 *     its target is told to start it, so a new leader knows every target at
 *     which a task may run.
 *
 *     Members named sched_state belong to the leader's scheduler. They are not
 *     replicated and are zero after a restore.
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
/* The oldest cancellation of an unknown job gives way to one beyond this
 * number. */
#define JOB_MAX_EARLY_CANCELS 1024
/* The oldest removed target is forgotten for one beyond this number. */
#define JOB_MAX_REMOVED_TARGETS 4096
/* Tasks of open occurrences of one job, and of all jobs. The tasks of the
 * largest jobs would exceed the memory of a node. */
#define JOB_MAX_OPEN_TASKS 8192
#define JOB_MAX_ALL_OPEN_TASKS (1024 * 1024)
/* Number of tasks up to which an occurrence may be opened beyond the limit for
 * all jobs. */
#define JOB_FEW_TASKS 64
/* Highest crash score from crashes that another job may have caused, and the
 * score at which the job of a task fails. */
#define JOB_MAX_SHARED_SCORE 4
#define JOB_MAX_CRASH_SCORE 10
/* Number of crashes at which it fails whatever its score. */
#define JOB_MAX_CRASHES 5
/* Age of a run that is given up beyond which a crash is not its own. */
#define JOB_MAX_LOST_RUN_MS 15000

typedef enum JobPhase {
    JOB_QUEUED = 0,
    JOB_RUNNING = 1, /* a task has started, though none may run now */
    JOB_COMPLETED = 2,
    JOB_FAILED = 3,
    JOB_CANCELLED = 4
} JobPhase;

typedef enum JobTaskState {
    JOB_TASK_WAITING = 0,
    JOB_TASK_ASSIGNED = 1, /* the task may run at its target */
    JOB_TASK_DONE = 2
} JobTaskState;

typedef enum JobTaskSchedPhase {
    JOB_SCHED_NONE = 0,
    JOB_SCHED_PROPOSED, /* its assignment is proposed but not yet committed */
    JOB_SCHED_STARTING, /* the target has not yet confirmed the start */
    JOB_SCHED_RUNNING,
    JOB_SCHED_STOPPING /* the target was told to stop the task */
} JobTaskSchedPhase;

typedef struct JobTaskSchedState {
    int64_t since_ms; /* start of the phase */
    int64_t sent_ms; /* when the start was first sent; 0: not by this leader */
    int64_t unplaced_ms; /* when no target was first found for it, or 0 */
    uint8_t phase;
    uint8_t percent;
    bool calling;   /* a start or stop call has no answer yet */
    bool unsent;    /* assigned by this leader, which has sent no start yet */
    bool must_stop; /* to be stopped for a move, a wave or a preemption */
    bool stop_accepted; /* the target has accepted the stop */
    bool proven;        /* it has run long enough not to cause a crash */
    uint8_t marks;      /* SchedMark bits, set only within one call of the
                           scheduler */
} JobTaskSchedState;

/* Where the last run of a task that was given up was, for leaders to come;
 * not replicated. */
typedef struct JobLostRun {
    uint32_t row; /* the target */
    uint64_t serial;
    uint32_t attempt;
    int64_t lost_ms; /* when this node applied the end; 0: none known */
} JobLostRun;

typedef struct JobTask {
    uint32_t attempt; /* number of the last assignment; 0: never assigned */
    uint32_t target;  /* row of its target while assigned */
    uint8_t state;
    uint8_t crash_score;     /* see JobCmd_EncodeCrashes */
    uint16_t failures;       /* UINT16_MAX of them fail any job */
    uint32_t failed_attempt; /* the last one that is counted in failures */
    uint32_t crash_attempts; /* bit n: the crash of attempt n modulo 32 is in
                              * crash_score */
    bool excused; /* a crash was not counted against it, as newer runs explain
                     it; known only to the leader that did so */
    char *checkpoint;    /* NULL if there is none */
    int64_t assigned_ms; /* monotonic time; 0: not known to this node */
    JobLostRun lost;
    int64_t ran_ms; /* when it last ran, as far as this node has led then; 0:
                       not known */
    JobTaskSchedState sched_state;
} JobTask;

/* An occurrence has tasks only while it is open: after the first assignment of
 * one, or JobState_OpenOccurrence, and before all are done. */
typedef struct JobOccurrence {
    JobTask *tasks;      /* tasks of all steps in order; NULL unless open */
    uint32_t done;       /* number of done tasks */
    uint32_t *step_done; /* number of done tasks by step; NULL unless open */
} JobOccurrence;

typedef struct JobSchedState {
    int64_t accepted_ms;   /* monotonic time of acceptance or takeover */
    int64_t retry_ms;      /* earliest time of the next attempt to place it */
    bool accepted_in_term; /* accepted since the takeover */
    int64_t critical_path_ms;    /* expected run time of an occurrence */
    int64_t left_ms;             /* expected run time of the remaining steps */
    int64_t critical_path_at_ms; /* when the critical path was computed */
    uint32_t critical_path_tasks_done; /* tasks done when it was computed */
    int64_t unplaced_ms; /* earliest unplaced_ms of its lasting tasks, or 0 */
    uint32_t proposed;   /* number of its assignments in flight */
    int64_t passed_ms;   /* since when others of its tenant have started while
                            the cap delayed it, or 0 */
    bool begun;          /* this leader has seen that a task started */
    int64_t begun_proposed_ms; /* when it last proposed to store that, or 0 */
    bool crashed_alone; /* a waiting task of it has crashed a target that ran
                          nothing else that may have */
} JobSchedState;

typedef struct JobTenantSchedState {
    int64_t reported_ms; /* when its cap was last logged; 0: not yet */
    int64_t capped_ms;   /* when its cap last delayed a task; 0: not yet */
    size_t index;        /* in the accounts of the current placement */
    /* Its terms in the configuration, or NULL, in the placement of this
     * number. */
    const JobTenant *terms;
    uint64_t terms_placement;
    /* The first job that the cap delayed in the placement of this number. */
    char delayed[JOB_ID_BYTES];
    uint64_t delayed_placement;
    /* The job for which its other jobs wait, or empty; since when, since when
     * while the tenant uses under half of its cap, and the last placement in
     * which the cap delayed the job. */
    char held_for[JOB_ID_BYTES];
    int64_t hold_ms;
    int64_t low_hold_ms;
    uint64_t hold_placement;
    int64_t next_hold_ms; /* no job is waited for until then */
} JobTenantSchedState;

/* What the assigned tasks of a tenant use at all targets. */
typedef struct JobTenantUse {
    char name[JOB_NAME_BYTES];
    JobTotals used; /* includes the CPU of best-effort steps */
    uint32_t runs;  /* number of assigned tasks */
    /* Of the leader's scheduler; see sched_state above. */
    JobTotals reserved; /* by assignments in flight */
    uint32_t reserved_runs;
    JobTenantSchedState sched_state;
} JobTenantUse;

typedef struct Job {
    char id[JOB_ID_BYTES];
    char queue[JOB_NAME_BYTES];
    char pool[JOB_NAME_BYTES]; /* pool of its queue, the last one if the queue
                                * was removed */
    uint32_t priority;    /* of its queue, as pool; not part of snapshots */
    JobTerms terms;       /* those of its queue when it was accepted */
    JobTenantUse *tenant; /* NULL: of a public queue or from before tenants */
    JobSpec spec;
    int64_t accepted_ms; /* wall time */
    int64_t ended_ms;    /* wall time */
    JobPhase phase;
    bool has_waiting; /* a task may be waiting; a hint for the scheduler */
    uint32_t tasks_per_occurrence;
    uint32_t *step_first_task; /* index of each step's first task */
    /* Occurrences from first_incomplete on, up to the last one that was
     * opened; empty once the job has ended and none of its tasks can run. */
    JobOccurrence *occurrences;
    uint32_t row_count;
    uint32_t row_capacity;
    uint32_t open_tasks; /* number of tasks of open occurrences */
    uint32_t occurrence_count;
    uint32_t occurrences_done;
    uint32_t first_incomplete; /* all earlier occurrences are done */
    uint32_t assigned;         /* number of assigned tasks */
    struct Job *next;          /* list of active jobs, oldest first */
    struct Job *previous;
    bool active;
    JobSchedState sched_state;
} Job;

/* A task that is assigned to a target and may run there. */
typedef struct JobRun {
    Job *job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
} JobRun;

typedef struct JobTarget {
    JobAnnouncement announcement;
    uint64_t serial;           /* unique to each incarnation of each target */
    uint64_t last_applied_end; /* highest number of its applied ends */
    uint32_t row;
    JobRun *runs; /* assigned tasks, unordered */
    uint32_t run_count;
    uint32_t run_capacity;
    JobResources used; /* sum over the assigned tasks */
    bool restarted;    /* an earlier incarnation had its id */
    void *sched_state; /* owned by the scheduler; may be NULL */
} JobTarget;

typedef struct JobNode {
    char name[JOB_NAME_BYTES];
    char data_centre[JOB_NAME_BYTES];
    char peer[JOB_ADDRESS_BYTES];
    char control[JOB_ADDRESS_BYTES];
} JobNode;

typedef struct JobWaveVm {
    char vm[JOB_VM_NAME_BYTES];
    bool ordered; /* a call for its maintenance may have been sent */
    bool done;    /* it is back, or it has left the fleet */
    int64_t absent_since_ms; /* when the planner missed it; not replicated */
} JobWaveVm;

typedef struct JobWave {
    uint64_t number;
    int64_t start_ms; /* wall time */
    int64_t duration_ms;
    uint32_t cap; /* maximum number of VMs under maintenance at a time */
    JobWaveVm *vms;
    uint32_t vm_count;
    uint32_t done; /* number of done VMs */
} JobWave;

/* The latest order for a VM, committed before it is sent. */
typedef struct JobVmOrder {
    char vm[JOB_VM_NAME_BYTES];
    uint64_t fence;  /* fencing token */
    int64_t wall_ms; /* wall time at which the leader gave the order */
    int64_t seen_ms; /* when this node applied it; not replicated */
} JobVmOrder;

typedef struct JobState JobState;

JobState *JobState_New(void);
void JobState_Free(JobState *state);

/* Sets the monotonic time, which is stored only in members that are not
 * replicated. */
void JobState_SetNow(JobState *state, int64_t now);

/* Sets whether commands are applied as they are committed. While a node
 * catches up, the time of applying a command is meaningless and the observer
 * is not called. */
void JobState_SetCaughtUp(JobState *state, bool caught_up);

/* Callbacks that run on every node, so that a new leader already knows the
 * demand and the run times. */
typedef struct JobStateObserver {
    void *arg;
    void (*on_job_accepted)(void *arg, int64_t now, const Job *job);
    /* Called only for runs that were not resumed from a checkpoint. */
    void (*on_task_done)(void *arg, const Job *job, uint32_t step,
                         int64_t took_ms);
} JobStateObserver;

void JobState_SetObserver(JobState *state, const JobStateObserver *observer);

/* Applies one command and appends its JobResult to result as one byte. */
void JobState_Apply(JobState *state, const char *command, size_t len,
                    Buf *result);
void JobState_Snapshot(const JobState *state, Buf *out);
Status JobState_Restore(JobState *state, const char *bytes, size_t len,
                        ErrCtx *err);

typedef enum JobResult {
    JOB_RESULT_OK = 0,
    JOB_RESULT_EXISTS = 1,  /* already present; nothing changed */
    JOB_RESULT_UNKNOWN = 2, /* the named object does not exist */
    JOB_RESULT_IGNORED = 3, /* the command is stale */
    JOB_RESULT_CORRUPT = 4,
    JOB_RESULT_DENIED = 5,      /* the tenant is not in the configuration */
    JOB_RESULT_OTHER_TENANT = 6 /* the object belongs to another tenant */
} JobResult;

const JobConfig *JobState_GetConfig(const JobState *state);
Job *JobState_FindJob(const JobState *state, const char *id);
Job *JobState_FirstActive(const JobState *state);
size_t JobState_JobCount(const JobState *state);
/* Returns the bytes that a job takes, without its open tasks. */
size_t JobState_MeasureJob(const JobSpec *spec);
/* Returns the bytes of all jobs. The text of a job that has ended is freed. */
size_t JobState_GetJobBytes(const JobState *state);
/* Returns what a tenant that has or had a job uses, or NULL. */
JobTenantUse *JobState_FindTenantUse(const JobState *state, const char *name);
size_t JobState_TenantUseCount(const JobState *state);
JobTenantUse *JobState_TenantUseAt(const JobState *state, size_t i);
/* Returns the number of cancellations of jobs that were not submitted yet. */
size_t JobState_EarlyCancelCount(const JobState *state);
/* Returns the number of removed targets that are remembered. */
size_t JobState_RemovedTargetCount(const JobState *state);
uint32_t JobState_TargetRows(const JobState *state);
/* Returns the target, or NULL if the row is free. */
JobTarget *JobState_TargetAt(const JobState *state, uint32_t row);
JobTarget *JobState_FindTarget(const JobState *state, const char *id);
/* Returns whether a target with this id that started at this time has been
 * removed because it has ended. A message of it may still arrive. */
bool JobState_HasTargetEnded(const JobState *state, const char *id,
                             uint64_t born);
/* Returns the most recently started target of a VM, or NULL. */
JobTarget *JobState_FindVmTarget(const JobState *state, const char *vm);
size_t JobState_NodeCount(const JobState *state);
const JobNode *JobState_NodeAt(const JobState *state, size_t i);
size_t JobState_WaveCount(const JobState *state);
JobWave *JobState_WaveAt(const JobState *state, size_t i);
const JobWave *JobState_FindWave(const JobState *state, uint64_t number);
/* Returns whether a call for the maintenance of a VM of a wave may have been
 * sent, or the wave does not contain the VM. */
bool JobState_IsMaintenanceOrdered(const JobState *state, uint64_t number,
                                   const char *vm);

/* Returns the latest order for a VM, or NULL. */
const JobVmOrder *JobState_FindVmOrder(const JobState *state, const char *vm);

/* Returns the task and stores its job in *job, or returns NULL if its
 * occurrence is not open or it does not exist. */
JobTask *JobState_FindTask(const JobState *state, const JobTaskRef *task,
                           Job **job);

/* Returns an occurrence, or NULL if neither it nor a later one was opened, or
 * if all occurrences up to it are done. */
JobOccurrence *Job_FindOccurrence(const Job *job, uint32_t occurrence);
/* Returns the first task of a step, or NULL if the occurrence is not open. */
JobTask *Job_FindStepTasks(const Job *job, uint32_t occurrence, uint32_t step);
bool Job_IsOccurrenceDone(const Job *job, uint32_t occurrence);

/* Returns whether one more occurrence of a job may be opened.
 * JOB_MAX_OPEN_TASKS does not apply to the first of a job, and
 * JOB_MAX_ALL_OPEN_TASKS not to the first of one with at most JOB_FEW_TASKS.
 */
bool JobState_MayOpenOccurrence(const JobState *state, const Job *job);
/* Allocates the tasks of an occurrence that is not done; they wait. */
void JobState_OpenOccurrence(JobState *state, Job *job, uint32_t occurrence);
/* Frees the tasks of an occurrence, none of which was ever assigned. */
void JobState_CloseOccurrence(JobState *state, Job *job, uint32_t occurrence);

JobTask *JobRun_GetTask(const JobRun *run);
const JobStep *JobRun_GetStep(const JobRun *run);
JobTaskRef JobRun_GetTaskRef(const JobRun *run);
bool JobTaskRef_IsSame(const JobTaskRef *a, const JobTaskRef *b);

/* Returns whether all steps that a step depends on are done. */
bool Job_IsStepReady(const Job *job, uint32_t occurrence, uint32_t step);

/* Returns the phase that callers are told. A leader may know that a queued job
 * is running before that is replicated. */
JobPhase Job_GetPhase(const Job *job);
/* Returns the number of jobs of a queue of which no task is known to have
 * started. */
size_t JobState_CountPending(const JobState *state, const char *queue);

/* Clears all members named sched_state. */
void JobState_ClearSchedState(JobState *state);

/* The JobCmd_Encode functions append an encoded command to out. The comments
 * below say what JobState_Apply does with it. */
void JobCmd_EncodeConfig(Buf *out, const JobConfig *config);
/* Adds a job of a tenant; an empty name means that it has none. Results:
 * UNKNOWN if there is no such queue, DENIED if the configuration has no such
 * tenant any more, or asks for a key where the name is empty, OTHER_TENANT if
 * the id is in use by another tenant's job, EXISTS if it is in use. */
void JobCmd_EncodeSubmit(Buf *out, const char *id, const char *queue,
                         int64_t wall_ms, const JobSpec *spec,
                         const char *tenant);
/* Cancels a job of a tenant, or of a public queue if the name is empty. A job
 * that JobTenant_MayUseJob refuses is UNKNOWN. The cancellation of an unknown
 * job is kept until it expires and ends the job as soon as that tenant submits
 * it, since a copy of the submission may arrive after the cancellation. */
void JobCmd_EncodeCancel(Buf *out, const char *id, int64_t wall_ms,
                         const char *tenant);

typedef struct JobAssignment {
    JobTaskRef task;
    uint32_t attempt;
    uint32_t target;
    uint64_t serial; /* serial of the target */
} JobAssignment;

void JobCmd_EncodeAssign(Buf *out, const JobAssignment *rows, size_t count);
/* Leaves out a checkpoint of JOB_CHECKPOINT_BYTES or more, which no node can
 * store; its task resumes from the last one that was stored. */
void JobCmd_EncodeEnds(Buf *out, uint32_t target, uint64_t serial,
                       int64_t wall_ms, const JobEnd *ends, size_t count);
/* Notes that tasks of queued jobs have started. Ends that only a run that
 * started can have do so, too; an assignment does not, as its start may never
 * take effect. Nodes of earlier versions ignore the command. */
void JobCmd_EncodeBegun(Buf *out, const Job *const *jobs, size_t count);
/* What a crash of a target says about a task that had started there. */
typedef enum JobCrashEvidence {
    JOB_CRASH_SHARED = 0, /* another task may have caused it */
    /* No other task can have caused it, and */
    JOB_CRASH_UNSURE = 1,  /* the target may have crashed before the start */
    JOB_CRASH_POOL = 2,    /* a third of the pool crashed at the same time */
    JOB_CRASH_LATE = 3,    /* the start is long ago */
    JOB_CRASH_SOON = 4,    /* the start is recent */
    JOB_CRASH_CLEARED = 5, /* the task has not crashed its target */
    JOB_CRASH_KINDS
} JobCrashEvidence;

typedef struct JobCrash {
    JobTaskRef task;
    uint32_t attempt;
    JobCrashEvidence evidence;
} JobCrash;

/* Adds crashes of targets to the scores of tasks that may have caused them,
 * once for each attempt, and fails the job of a task that reaches
 * JOB_MAX_CRASH_SCORE, or JOB_MAX_CRASHES, which gangs do not have. Shared
 * evidence counts up to JOB_MAX_SHARED_SCORE, except for gangs, which are
 * scored on their first task. */
void JobCmd_EncodeCrashes(Buf *out, int64_t wall_ms, const JobCrash *rows,
                          size_t count);
/* Adds or updates a target. A newer incarnation ends all runs of the previous
 * one. An announcement of an incarnation that has ended is ignored. */
void JobCmd_EncodeTarget(Buf *out, const JobAnnouncement *announcement);

typedef struct JobRemoval {
    uint32_t target;
    uint64_t serial;
    /* Incarnations under its id that started earlier have ended; 0: the
     * removal is not remembered, as no message of the target can be under way.
     */
    uint64_t alive_from;
    int64_t wall_ms; /* wall time of the removal */
} JobRemoval;

/* Removes a target. The removal is remembered until it expires. */
void JobCmd_EncodeTargetGone(Buf *out, const JobRemoval *removal);
void JobCmd_EncodeNode(Buf *out, const JobNode *node);
void JobCmd_EncodeWave(Buf *out, const JobWave *wave);
void JobCmd_EncodeWaveVm(Buf *out, uint64_t number, const char *vm, bool done);
void JobCmd_EncodeVmOrder(Buf *out, const JobVmOrder *order);
/* Removes jobs that ended before wall_ms, and forgets early cancellations and
 * removed targets from before it. */
void JobCmd_EncodeExpire(Buf *out, int64_t wall_ms);

#endif
