/*
 * NAME
 *     jobsched_impl - internals shared by the source files of jobsched
 */
#ifndef COLTSFOOT_JOBSCHED_IMPL_H
#define COLTSFOOT_JOBSCHED_IMPL_H

#include "jobcodec.h"
#include "jobdemand.h"
#include "jobest.h"
#include "jobsched.h"

/* Run time from which on a crash is not attributed to a task. */
#define SCHED_PROBATION_MS 3500
/* Age of the suspects of an isolated target from which on those of a further
 * job may join them, and a crash that the newer ones explain is not counted
 * against them. A deadly task crashes its target within some tens of ms, or
 * much later. */
#define SCHED_SETTLE_MS 250
/* Wait of a lasting suspect after which the most targets may be isolated for
 * it, and of another lasting task after which it may use isolated ones. */
#define SCHED_MAX_SUSPECT_WAIT_MS 2000
/* Time after the longest lease at which a lasting task that does not run is
 * started on any target. It has to run 3 s after that lease; a start takes up
 * to 1 s. */
#define SCHED_RESTART_MS 2000
/* Bits of a fencing token below the term. */
#define SCHED_FENCE_BITS 20

/* The time span in which a target crashed. */
typedef struct SchedCrash {
    char pool[JOB_NAME_BYTES];
    int64_t from_ms; /* last sign of life */
    int64_t to_ms;   /* first call without an answer */
} SchedCrash;

/* Number of the latest crashes that are remembered. */
#define SCHED_MAX_CRASHES 64

/* The leader's unreplicated state of one target. */
typedef struct SchedTarget {
    uint64_t serial;
    uint64_t incarnation; /* local number, raised when a restart is detected */
    uint64_t fence;       /* fencing token of calls to the target */
    int64_t clock_ms;     /* last reading of the target's clock */
    int64_t clock_at_ms;  /* time of the last clock reading */
    int64_t room_at_ms;   /* when its last announcement was made */
    /* Highest deadline that the target may have, and that this leader has
     * sent, in target time. */
    int64_t granted_until_ms;
    int64_t sent_until_ms;
    int64_t last_seen_ms; /* time of the last announcement or answer */
    int64_t last_answer_ms;
    int64_t hold_due_ms;
    /* When a notice of departure arrived that no later answer has refuted, or
     * 0. */
    int64_t departure_ms;
    uint32_t departure_missed; /* calls since then without an answer */
    uint64_t order;            /* sequence number of the last announcement */
    uint64_t checked_born;     /* start time of the incarnation to verify */
    int64_t restart_seen_ms;   /* when the new incarnation was first seen */
    int64_t quarantine_end_ms; /* end of the quarantine after failures */
    int64_t known_since_ms;  /* when this leader learned of the incarnation */
    int64_t silent_since_ms; /* first of the consecutive unanswered calls */
    SchedCrash restart;      /* when it restarted, if checking_restart */
    int64_t isolated_until_ms; /* until then only suspects are placed on it */
    char isolated_for[JOB_ID_BYTES]; /* job of the suspects, or empty while
                                        runs of others have to end first */
    bool isolated_crashed_alone;     /* they have crashed a target alone */
    bool isolated_joined;      /* suspects of other jobs have joined them */
    uint32_t unanswered;       /* consecutive calls without an answer */
    JobAnnouncement successor; /* of the incarnation to verify, if born says
                                  so */
    JobResources room;         /* in its last announcement */
    JobResources reserved;     /* room taken by assignments in flight */
    uint32_t reserved_count;
    uint32_t slot; /* in the current placement */
    /* Runs of a job, with the assignments that the placement of this number
     * made for it. */
    uint64_t placement;
    const Job *placed_job;
    uint32_t placed_count;
    uint32_t gang_runs; /* of any job, when placed_count was counted */
    /* Tasks of a step of placed_job, see SchedImpl_CountStepTasks. */
    uint32_t counted_occurrence;
    uint32_t counted_step;
    uint32_t step_tasks;
    bool step_counted;
    uint32_t failures;       /* consecutive runs that ended as failed */
    uint32_t ends_in_flight; /* proposals of ends */
    /* Calls in flight that start or stop runs, and those that wait until they
     * are fewer. */
    uint32_t run_calls;
    uint32_t delayed_run_calls;
    int64_t hold_not_before_ms; /* spaces out answers with long lists */
    bool clock_known;
    bool room_known; /* the incarnation has announced itself in this term */
    bool hold_in_flight;
    bool fenced;  /* a hold with this fencing token was answered */
    bool ack_due; /* an acknowledgement of ends has not been sent yet */
    bool checking_restart;     /* a new incarnation is being verified */
    bool checked_leaving;      /* it has announced that it leaves */
    bool announcement_pending; /* a proposal of an announcement is in flight */
    bool readmitting;    /* a proposal that ends the old incarnation's runs is
                            in flight */
    bool crash_recorded; /* SchedImpl_RecordCrash has been called */
    bool cordoned;       /* no new tasks, because of a move or maintenance */
} SchedTarget;

typedef enum SchedMark {
    SCHED_LISTED_RUNNING = 1, /* in the answer that is handled */
    SCHED_LISTED_ENDED = 2,
    SCHED_AWAITS_EVIDENCE = 4 /* see SchedImpl_MarkAwaitedEvidence */
} SchedMark;

/* A run that was given up when the lease of its target expired, while it is
 * not known whether the target has crashed. */
typedef struct SchedLostRun {
    uint32_t row; /* the target */
    uint64_t serial;
    JobCrash crash;  /* what a crash of the target would say about it */
    uint64_t cookie; /* of the proposal that counts the crash; 0: none */
    int64_t lost_ms;
} SchedLostRun;

typedef enum SchedProposalKind {
    SCHED_ASSIGN,
    SCHED_ENDS,
    SCHED_TARGET,
    SCHED_CRASHES, /* proposed again if it is refused */
    SCHED_OTHER
} SchedProposalKind;

typedef struct SchedProposal {
    uint64_t cookie;
    SchedProposalKind kind;
    uint32_t row;
    uint64_t serial;
    JobAssignment *assignments;
    size_t assignment_count;
    Buf crashes;             /* copy of the command of SCHED_CRASHES */
    char id[JOB_NAME_BYTES]; /* id of a new target, or empty */
    bool leaving;            /* the announcement is a notice of leaving */
    int64_t clock_ms;
    int64_t clock_at_ms;
    struct SchedProposal *next;
} SchedProposal;

/* The room of one target, kept together with those of its pool, so that a
 * search for room reads little memory. */
typedef struct SchedSlot {
    uint32_t cpu; /* free */
    uint32_t memory_mb;
    uint32_t accelerators;
    uint32_t fill; /* used share of its processors, in thousandths */
    bool crowded;  /* see SchedImpl_IsCrowded */
} SchedSlot;

/* What one placement needs of a pool. */
typedef struct SchedPool {
    const char *name;
    JobTarget **targets; /* the usable ones */
    SchedSlot *slots;    /* in the same order */
    size_t count;
    size_t capacity;
    /* Targets with suspects, and those whose suspects have crashed one alone.
     * While other tasks wait, silent ones count, so that a target that
     * suspects have crashed is not replaced by another one at once. */
    size_t isolated;
    size_t crashed_alone;
    uint32_t silent;    /* targets that may have crashed lately */
    bool crashing;      /* see SchedImpl_IsPoolCrashing */
    bool suspects_wait; /* those that have not crashed one alone */
    bool full;          /* a task with unplaced_need did not fit */
    JobResources unplaced_need;
    JobTotals total; /* of all targets that are not known to have ended */
    struct SchedAccount *account; /* of a candidate in this pool, or NULL */
} SchedPool;

typedef enum SchedClass {
    /* Those with a task that waits longest for a target first. */
    SCHED_LASTING,
    /* Jobs that have begun and are expected to end in time, or late by at most
     * half of the allowed time, since only part of their work remains. */
    SCHED_BEGUN,
    /* Other jobs that can still meet their objective, most slack first,
     * because an overloaded pool would otherwise complete each of them just
     * too late. */
    SCHED_ON_TIME,
    /* Late jobs, those that have begun first, then by age, newest first. */
    SCHED_LATE,
    SCHED_CRASHED_ALONE /* jobs with a task that has crashed a target alone */
} SchedClass;

/* The place of a job in the order of placement: by class, then by priority,
 * then by rank, each time the lowest first. */
typedef struct SchedRank {
    SchedClass class;
    uint32_t priority; /* that of the queue; 0 in classes without an order by
                          priority: lasting, late and crashed alone */
    int64_t rank;      /* order within a class and priority */
} SchedRank;

/* What one tenant, or all jobs without one, use of a pool. */
typedef struct SchedAccount {
    size_t pool;
    uint32_t weight;
    JobTotals used; /* by runs and assignments in flight */
    uint64_t share; /* largest part of the pool's resources, by weight */
} SchedAccount;

/* A job that waits for a placement. */
typedef struct SchedCandidate {
    Job *job;
    SchedRank rank;
    uint32_t band; /* jobs of a lower band go first, whatever their tenant */
    SchedAccount *account;
    size_t turn;      /* number of assignments in its turn, and of those */
    size_t taken;     /* that it has had */
    bool interrupted; /* its turn ended before all its tasks were looked at */
} SchedCandidate;

/* One placement of waiting tasks. */
typedef struct SchedPass {
    JobSched *sched;
    int64_t now;
    int64_t wall_ms;
    SchedCandidate *candidates;
    size_t count;
    SchedPool *pools;
    size_t pool_count;
    SchedAccount *accounts; /* by pool and tenant */
    size_t account_count;
    size_t batch_limit; /* length of the batch that ends the turn of a job */
} SchedPass;
typedef struct SchedAdmission SchedAdmission;

struct JobSched {
    JobSchedOptions options;
    int64_t next_hold_wait_ms; /* longest wait of the next holds */
    JobState *state;
    bool leads;
    uint64_t term;
    uint64_t fence;
    int64_t leading_since_ms;
    int64_t wall_ms; /* wall time of the last tick */
    int64_t now_ms;  /* latest time passed by the caller */
    int64_t next_expire_ms;
    int64_t next_begun_ms;
    uint64_t placement; /* number of the current placement */
    bool placing;       /* a placement runs, so the state does not change */
    int64_t full_ms; /* when a task last found no room in its pool; 0: never */
    uint64_t next_cookie;
    uint64_t next_incarnation;
    JobAction *actions; /* entries before action_first are taken */
    size_t action_first;
    size_t action_count;
    size_t action_capacity;
    SchedProposal *proposals;
    SchedProposal *refused_crashes; /* to be proposed again */
    JobAssignment *batch;           /* assignments of the current placement */
    size_t batch_count;
    size_t batch_capacity;
    size_t assignments_in_flight; /* in proposals */
    size_t tick_text_bytes;  /* of longer texts, started since the last tick */
    uint32_t long_list_runs; /* runs of targets with over SCHED_LONG_LIST */
    JobEst *est;
    JobDemand *demand;
    int64_t placing_since_ms;  /* first placement in this term; 0: none yet */
    SchedAdmission *admission; /* NULL without overload control */
    SchedCrash crashes[SCHED_MAX_CRASHES]; /* ring */
    size_t crash_count; /* number of crashes ever recorded */
    SchedLostRun *lost_runs;
    size_t lost_run_count;
    size_t lost_run_capacity;
    JobSchedCounts counts;
};

/* Calls that start or stop runs that are in flight to one target at a time.
 * Further ones would time out while they wait for a connection, and the target
 * would count as silent. */
#define SCHED_MAX_RUN_CALLS 32
/* Runs and assignments in flight of one target that are not of gangs. Each
 * hold lists all of its runs. */
#define SCHED_MAX_TARGET_RUNS 2048
/* The same with those of gangs, of which the largest fits on one target. An
 * answer to a hold, with a checkpoint of each run, fits in MAX_ANSWER_BYTES of
 * jobctl_call.c. */
#define SCHED_MAX_TARGET_GANG_RUNS (SCHED_MAX_TARGET_RUNS + JOB_MAX_TASKS)
/* Runs of a target beyond which its holds are spaced out. */
#define SCHED_LONG_LIST 256
/* Ends or crashes in one command. */
#define SCHED_MAX_COMMAND_ROWS 500
/* Delay before a hold that follows a failed one, or ends that the log has
 * refused. */
#define SCHED_HOLD_RETRY_MS 250

/* Returns the leader's state of a target, or NULL if it has none yet. */
SchedTarget *SchedImpl_FindLive(const JobTarget *target);
/* Returns the leader's state of a target; creates it if there is none. */
SchedTarget *SchedImpl_EnsureLive(JobSched *sched, JobTarget *target);
JobAction *SchedImpl_AddAction(JobSched *sched, JobActionKind kind);
void SchedImpl_Propose(JobSched *sched, SchedProposalKind kind, Buf *command,
                       uint32_t row, uint64_t serial);
void SchedImpl_StartRun(JobSched *sched, int64_t now, const JobRun *run);

/* jobsched_pool.c: demand */
/* Returns the expected work of an occurrence of a job, without lasting steps,
 * in thousandths of a core x ms. */
int64_t SchedImpl_PredictWork(const JobSched *sched, const JobSpec *spec,
                              const char *queue);
/* Adds the expected work of an accepted job to the demand of its pool. */
void SchedImpl_RecordDemand(void *arg, int64_t now, const Job *job);

/* jobsched.c: clocks and leases */
/* Returns the lease deadline for a call. The lease of a target that does not
 * answer is not extended, so that it expires in bounded time. */
int64_t SchedImpl_GrantLease(const JobSched *sched, SchedTarget *live,
                             int64_t now);
void SchedImpl_RecordClock(const JobSched *sched, SchedTarget *live,
                           int64_t now, int64_t clock_ms);
/* Returns whether the target has announced itself or answered lately. */
bool SchedImpl_IsRecentlySeen(const JobSched *sched, const SchedTarget *live,
                              int64_t now);
void SchedImpl_FillCall(JobAction *action, const JobTarget *target,
                        const SchedTarget *live, int64_t now);
/* Returns when all runs of a silent target have certainly ended. */
int64_t SchedImpl_LeaseExpiryMs(const JobSched *sched,
                                const SchedTarget *live);

/* jobsched_rank.c: the order in which jobs are placed */
SchedRank SchedImpl_RankJob(const JobSched *sched, int64_t now,
                            int64_t wall_ms, Job *job);
/* Returns the time from its submission in which a job is in time, by the run
 * times that were expected when it was last ranked. */
int64_t SchedImpl_GetAllowedMs(const Job *job);
/* Returns the expected run time in ms of the critical path of a job that has
 * not begun. */
int64_t SchedImpl_PredictCriticalPath(const JobSched *sched,
                                      const JobSpec *spec, const char *queue);
/* Returns a negative number if a is placed before b, 0 if neither is before
 * the other, and a positive number otherwise. */
int SchedImpl_CompareRanks(const SchedRank *a, const SchedRank *b);
/* Returns the band of a rank. Jobs of one band are placed by their tenants'
 * shares, and those of one tenant by rank. Jobs in time that have begun share
 * the band of the others of their priority: a tenant that has begun many jobs
 * would otherwise delay the other tenants. */
uint32_t SchedImpl_GetBand(const SchedRank *rank);

/* jobsched_admit.c: which jobs are accepted */
SchedAdmission *SchedImpl_NewAdmission(uint64_t seed);
void SchedImpl_FreeAdmission(SchedAdmission *admission);
/* Forgets the forecasts and refusals of an earlier term. */
void SchedImpl_ResetAdmission(SchedAdmission *admission);
/* Looks whether recent refusals were needless. */
void SchedImpl_ReviewRefusals(JobSched *sched, int64_t now);

/* jobsched_turn.c: turns of waiting jobs */
void SchedImpl_CollectCandidates(SchedPass *pass);
/* Gives each candidate a turn: by rank, or, where several tenants wait in a
 * pool, by band, then by the tenant's share of the pool, then by rank. Then
 * fills the batch with the tasks of those whose turn was too short. */
void SchedImpl_PlaceCandidates(SchedPass *pass);

/* jobsched_place.c: targets of the tasks of a job */
/* Assigns the waiting tasks of a job until its turn is over. Returns whether
 * it was. */
bool SchedImpl_PlaceJob(SchedPass *pass, Job *job);
/* Returns the index of a pool, or the number of pools if it has no target. */
size_t SchedImpl_FindPoolIndex(const SchedPass *pass, const char *name);

/* jobsched_fit.c: which targets a task fits */
bool SchedImpl_HasLabel(const JobTarget *target, const char *label);
/* Returns whether a target has as many runs, or starts that wait, that it may
 * not take a further task whatever its room; see SchedImpl_MayTake. */
bool SchedImpl_IsCrowded(const JobTarget *target);
/* Returns whether a target can start one more task of a job soon and list it
 * with its other runs. */
bool SchedImpl_MayTake(const JobSched *sched, const Job *job,
                       const JobStep *step, const JobTarget *target);
/* Returns whether a target has room for a task, the label that it requires,
 * and not too many tasks of its step, including assignments in flight. */
bool SchedImpl_Fits(const JobSched *sched, const Job *job, uint32_t occurrence,
                    uint32_t step, const JobTarget *target);
/* Returns the number of tasks of a step that are assigned to a target. */
uint32_t SchedImpl_CountAssigned(const Job *job, uint32_t occurrence,
                                 uint32_t step, const JobTarget *target);
/* Returns the number of runs of a job at a target, including the assignments
 * of the current placement but not those of earlier ones in flight. */
uint32_t SchedImpl_CountJobRuns(const JobSched *sched, const Job *job,
                                const JobTarget *target);
/* Returns the number of tasks of a step at a target, including assignments in
 * flight. */
uint32_t SchedImpl_CountStepTasks(const JobSched *sched, const Job *job,
                                  uint32_t occurrence, uint32_t step,
                                  const JobTarget *target);
/* Returns the score of a target for a task, or -1 if the task cannot be placed
 * there. The highest score is best. */
int64_t SchedImpl_ScoreTarget(const JobSched *sched, const SchedPool *pool,
                              const Job *job, uint32_t occurrence,
                              uint32_t step_index, const JobTarget *target);
/* Room reserved while an assignment is in flight. */
void SchedImpl_ReserveRoom(SchedTarget *live, const JobStep *step);
void SchedImpl_ReleaseRoom(SchedTarget *live, const JobStep *step);

/* jobsched_room.c: room of targets, which may shrink and grow */
void SchedImpl_RecordRoom(SchedTarget *live, int64_t now,
                          const JobAnnouncement *announcement);
/* Returns the latest room of a target that is known. */
const JobResources *SchedImpl_GetRoom(const JobTarget *target);
/* Returns whether a start that fits the known room cannot exceed the actual
 * one: the last announcement is recent, or the target enforces its capacity.
 */
bool SchedImpl_IsRoomCertain(const JobSched *sched, int64_t now,
                             const JobTarget *target);
/* Returns whether the start of a run may be sent now. Other runs at its target
 * use room from when their first start is sent until their end is listed. */
bool SchedImpl_MayStart(const JobSched *sched, int64_t now, const JobRun *run);

/* jobsched_share.c: what tenants may use */
/* Count an assignment of a job that is in flight, also for its tenant. */
void SchedImpl_ReserveUse(Job *job, const JobStep *step);
void SchedImpl_ReleaseUse(Job *job, const JobStep *step);
/* Counts the reserved use of all tenants again, after an assignment in flight
 * has lost its job. */
void SchedImpl_RecountReservedUse(const JobSched *sched);
/* Returns whether the assignment of one task of a step, or of a whole gang,
 * keeps the tenant of its job within its cap. A tenant without runs may start
 * one task that is larger than its cap. Jobs of a tenant that the
 * configuration no longer has run one task or gang at a time each, besides
 * lasting ones, which run as before. A job that the cap delays for long is
 * waited for by the others of its tenant. Logs a cap that is reached. */
bool SchedImpl_IsWithinCap(const JobSched *sched, Job *job,
                           const JobStep *step);
/* Returns whether the start of a run may be sent although the cap of its
 * tenant may have been lowered since the assignment. Unsent starts do not
 * count against each other; a gang of which one start was sent is completed.
 */
bool SchedImpl_MayStartWithinCap(const JobSched *sched, const JobRun *run);
/* Returns whether the cap of a tenant allows each step of a job by itself.
 * tenant is empty for a job without one. */
bool SchedImpl_CanEverRun(const JobSched *sched, const char *tenant,
                          const JobSpec *spec);
/* Computes what each tenant uses of each pool. Does nothing and returns false
 * unless the configuration has tenants of which two, or one and jobs without a
 * tenant, wait in the same pool. */
bool SchedImpl_OpenAccounts(SchedPass *pass);
/* Adds the assignments of the batch from the first on to an account. */
void SchedImpl_ChargeAccount(const SchedPass *pass, SchedAccount *account,
                             size_t first);

/* jobsched_run.c: calls that start and stop tasks, and ends of runs */
/* Notes that a task of a job has started. */
void SchedImpl_NoteBegun(Job *job);
/* Proposes to store which jobs have begun, so that a later leader knows it. */
void SchedImpl_ProposeBegun(JobSched *sched, int64_t now);
void SchedImpl_StopTask(JobSched *sched, int64_t now, JobTarget *target,
                        const JobTaskRef *ref, uint32_t attempt);
void SchedImpl_StopRun(JobSched *sched, int64_t now, const JobRun *run);
/* Sends the start or stop that a run needs now, if any. It is delayed while
 * SCHED_MAX_RUN_CALLS are in flight to its target. */
void SchedImpl_AdvanceRun(JobSched *sched, int64_t now, const JobRun *run);
/* Returns whether the runs of a target may be started and stopped: its
 * incarnation is known. */
bool SchedImpl_MayAdvance(const SchedTarget *live);
/* Advances all runs of a target. */
void SchedImpl_AdvanceRuns(JobSched *sched, int64_t now, JobTarget *target);
/* Records the answer to a start or stop, and sends delayed ones. */
void SchedImpl_FinishRunCall(JobSched *sched, int64_t now, JobTarget *target);
/* Proposes ends in commands of at most SCHED_MAX_COMMAND_ROWS. */
void SchedImpl_ProposeEnds(JobSched *sched, JobTarget *target,
                           const JobEnd *ends, size_t count);
/* Returns and counts the end of a run that its target does not list. */
JobEnd SchedImpl_GetUnlistedEnd(JobSched *sched, const JobRun *run,
                                JobEndKind kind);
/* Proposes that all runs of a target end as lost. */
void SchedImpl_LoseRuns(JobSched *sched, JobTarget *target);

/* jobsched_crash.c: crashes of targets */
/* Returns the time span in which a target that is silent, or of which a later
 * incarnation was seen, ended. Call it before that sign of life is noted. */
SchedCrash SchedImpl_GetCrashSpan(const JobTarget *target, int64_t now);
/* Records that a target has ended without notice, and counts the crash against
 * the tasks that may have caused it. Call it before its runs are released;
 * further calls for the same incarnation do nothing. */
void SchedImpl_RecordCrash(JobSched *sched, int64_t now, JobTarget *target);
/* Remembers the runs of a target whose lease has expired until it is known
 * whether the target has crashed. */
void SchedImpl_RememberLostRuns(JobSched *sched, int64_t now,
                                const JobTarget *target);
/* Remembers the runs that earlier leaders have given up, as far as this node
 * has seen it. */
void SchedImpl_RecallLostRuns(JobSched *sched, int64_t now);
/* Forgets the lost runs of a target that has answered, and so did not crash.
 */
void SchedImpl_ForgetLostRuns(JobSched *sched, const JobTarget *target);
/* Proposes crashes that the log has refused again. */
void SchedImpl_RetryCrashes(JobSched *sched);
/* Forgets the lost runs whose crash a proposal has counted. */
void SchedImpl_ForgetCountedRuns(JobSched *sched, uint64_t cookie);
/* Clears the crashes of a task that has outlived its probation. */
void SchedImpl_ClearCrashes(JobSched *sched, const JobRun *run);
/* Marks the tasks that have to wait until it is known whether their last
 * target has crashed, or clears the marks. */
void SchedImpl_MarkAwaitedEvidence(const JobSched *sched, bool marked);

/* jobsched_isolate.c: suspects run alone, so that a crash of their target
 * blames no other task */
bool SchedImpl_IsSuspect(const JobTask *task, const JobStep *step);
/* Returns whether a target has lately become silent with runs on probation. */
bool SchedImpl_MayHaveCrashed(const JobTarget *target, int64_t now);
/* Returns whether several targets of a pool have crashed lately, including
 * those that may have. */
bool SchedImpl_IsPoolCrashing(const JobSched *sched, const SchedPool *pool,
                              int64_t now);
/* Returns whether a target is kept free of tasks that are no suspects. */
bool SchedImpl_IsIsolated(const SchedTarget *live, int64_t now);
/* Returns whether a target has a suspect that is still on probation. */
bool SchedImpl_HasSuspect(const JobTarget *target);
/* Extends the isolation of a target while it runs a suspect on probation. */
void SchedImpl_UpdateIsolation(const JobTarget *target, int64_t now);
/* Returns whether a suspect has crashed a target that ran nothing else that
 * may have. */
bool SchedImpl_HasCrashedAlone(const JobTask *task);
/* Returns for how long no target has been found for a task, in ms. */
int64_t SchedImpl_GetWait(const JobSched *sched, const JobTask *task);
/* Returns whether a lasting task has not run for so long that it has to be
 * started on any target. */
bool SchedImpl_IsRestartDue(const JobSched *sched, const JobTask *task);
/* Returns the target of a pool on which a suspect can run now, or NULL: with
 * no others than suspects of its job, with some that have settled, or, if it
 * is due, beside any runs. If there is none, it may keep one free for the
 * suspect. */
JobTarget *SchedImpl_IsolateTarget(JobSched *sched, SchedPool *pool,
                                   const JobRun *run);
/* Returns a target on which a task fits beside any other runs, isolated or
 * not, or NULL. */
JobTarget *SchedImpl_ShareTarget(JobSched *sched, SchedPool *pool,
                                 const JobRun *run);

/* jobsched_target.c: announcements */
void SchedImpl_ProposeTarget(JobSched *sched,
                             const JobAnnouncement *announcement,
                             JobTarget *target);
typedef enum SchedRemoval {
    SCHED_REMOVE_SILENT, /* it may be alive and announce itself again */
    SCHED_REMOVE_ENDED,
    SCHED_REMOVE_ORDERED /* ended by an order for its VM, after which a target
                            sends no notice of departure; not remembered */
} SchedRemoval;

void SchedImpl_ProposeRemoval(JobSched *sched, JobTarget *target,
                              SchedRemoval kind, const char *reason);
/* Proposes to remove a target that has reported its own end and does not
 * answer. Returns false if it may not be removed yet. */
bool SchedImpl_RemoveIfDeparted(JobSched *sched, JobTarget *target);
/* Begins to verify a new incarnation under the same id by a hold with a new
 * fencing token, so that calls to the earlier incarnation have no effect. */
void SchedImpl_BeginRestartCheck(JobSched *sched, int64_t now,
                                 JobTarget *target, uint64_t born);

#endif
