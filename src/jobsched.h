/*
 * NAME
 *     jobsched - the leader's scheduler of jobs on targets
 *
 * DESCRIPTION
 *     Core without I/O. The scheduler reads the replicated JobState and keeps
 *     what only the leader tracks: clocks, leases and reachability of targets
 *     and the state of each call to them. It changes the replicated state by
 *     commands for the log and controls targets by calls. Both are queued as
 *     actions, which the caller takes after each call of this module.
 *
 *     A task is assigned through the log before its start is sent. An
 *     unanswered start is retried at the same target, where it is idempotent,
 *     until the target has answered or its lease has certainly expired. The
 *     end of a run is committed to the log before its target may discard it.
 *
 *     A hold is a long poll: it renews the lease of a target, waits for the
 *     next end of a run and returns the lists of running tasks and of ends.
 *
 *     Leases: a target ends its runs when its own clock reaches the last
 *     deadline that it received. That clock may be slow by
 *     JOBSCHED_CLOCK_DRIFT_PERCENT, so the runs of a silent target are
 *     declared lost only after the longest time in which it can have reached
 *     the highest deadline ever sent.
 *
 *     A target that restarts under the same id is a new incarnation,
 *     identified by its start time (born).
 *
 *     Demand and run times are learned from the state on every node, whether
 *     or not it leads (JobState_SetObserver).
 *
 *     Times are ms of the steady clock unless named wall.
 */
#ifndef COLTSFOOT_JOBSCHED_H
#define COLTSFOOT_JOBSCHED_H

#include "buf.h"
#include "job.h"
#include "jobstate.h"

/* How slow a target's clock may be, with some margin. */
#define JOBSCHED_CLOCK_DRIFT_PERCENT 3
/* A job that takes longer than this many times its objective is worthless to
 * its caller. */
#define JOBSCHED_LATE_FACTOR 3
/* Time for which a new leader refuses nothing, as it has not seen yet how the
 * pools serve what waits. */
#define JOBSCHED_LEARN_MS 2000

typedef struct JobSchedOptions {
    int64_t lease_ms;            /* lease granted by each call */
    int64_t max_lease_ms;        /* longest lease that a target accepts */
    int64_t hold_wait_ms;        /* wait of a hold in a small fleet */
    int64_t short_wait_ms;       /* wait of a hold while a short task runs */
    uint32_t holds_per_s;        /* rate above which holds wait longer */
    int64_t call_timeout_ms;     /* timeout of a call */
    int64_t announce_ms;         /* interval of announcements */
    int64_t stop_ms;             /* longest time to stop a task */
    int64_t early_start_ms;      /* how early an occurrence may start */
    int64_t status_retention_ms; /* how long an ended job is kept */
    bool overload_control;       /* refuse jobs that cannot be done in time */
    uint64_t seed;               /* of the spread of retry times */
} JobSchedOptions;

#define JOBSCHED_OPTIONS_DEFAULT                                              \
    {                                                                         \
        .lease_ms = 4000, .max_lease_ms = 6000, .hold_wait_ms = 1000,         \
        .short_wait_ms = 400, .holds_per_s = 200, .call_timeout_ms = 1000,    \
        .announce_ms = 1500, .stop_ms = 400, .early_start_ms = 0,             \
        .status_retention_ms = 180000                                         \
    }

typedef enum JobActionKind {
    JOB_ACTION_PROPOSE, /* see JobSched_HandleProposal */
    JOB_ACTION_START,   /* start, stop and hold: see JobSched_HandleAnswer */
    JOB_ACTION_STOP,
    JOB_ACTION_HOLD
} JobActionKind;

typedef struct JobAction {
    JobActionKind kind;
    uint64_t cookie;
    Buf command; /* command to propose; freed by the taker */
    uint32_t row;
    uint64_t serial;
    uint64_t incarnation; /* local number of the target's incarnation */
    char id[JOB_NAME_BYTES];
    char address[JOB_ADDRESS_BYTES];
    JobTaskRef task;
    uint32_t attempt;
    uint64_t fence;      /* fencing token */
    int64_t deadline_ms; /* lease deadline on the target's clock */
    uint64_t ack;        /* highest end that the target may discard */
    int64_t wait_ms;
    const char *text; /* text of the job; valid until the next call */
    const char *checkpoint;
    int64_t sent_ms;
} JobAction;

typedef enum JobCallOutcome {
    JOB_CALL_OK,
    JOB_CALL_FENCED,         /* the target knows a higher fencing token */
    JOB_CALL_STALE,          /* the target has seen a later run of the task */
    JOB_CALL_LATE,           /* the deadline had passed on arrival */
    JOB_CALL_NO_ROOM,        /* no room, or no valid ticket */
    JOB_CALL_UNHEALTHY,      /* the call had no effect */
    JOB_CALL_OTHER_INSTANCE, /* another target has the address */
    JOB_CALL_INVALID,        /* the target does not understand the call */
    JOB_CALL_NO_ANSWER,      /* the call may have taken effect, or may yet */
    JOB_CALL_AGENT_LOST      /* as NO_ANSWER, because the agent failed */
} JobCallOutcome;

typedef struct JobCallAnswer {
    JobCallOutcome outcome;
    int64_t clock_ms;          /* -1: unknown */
    uint64_t born;             /* 0: unknown */
    const JobRunning *running; /* listed by a hold, as are the ends */
    size_t running_count;
    const JobEnd *ends;
    size_t end_count;
} JobCallAnswer;

/* Why a job is refused. */
typedef enum JobRefusalCause {
    JOB_REFUSED_CAPACITY, /* it cannot be done before it is worthless */
    JOB_REFUSED_CAP,      /* its tenant's cap does not allow it to run */
    JOB_REFUSAL_CAUSES
} JobRefusalCause;

typedef struct JobSchedCounts {
    uint64_t started;
    uint64_t done;
    uint64_t failed;
    uint64_t lost;
    uint64_t crashed_targets;
    uint64_t overdue_tasks; /* started beside others after a long wait */
    uint64_t refused;
    uint64_t calls;
    uint64_t holds;
    uint64_t unanswered;
    uint64_t jobs_refused[JOB_REFUSAL_CAUSES];
    uint64_t needless_refusals; /* that a later look has shown as needless */
} JobSchedCounts;

typedef struct JobSched JobSched;

/* Returns the wait in ms of a hold while busy_targets targets have runs. It
 * grows with the fleet, so that the rate of holds stays bounded. */
int64_t JobSched_HoldWait(const JobSchedOptions *options,
                          uint32_t busy_targets);
JobSched *JobSched_New(const JobSchedOptions *options, JobState *state);
void JobSched_Free(JobSched *sched);

/* Begins to schedule in a term. Fencing tokens of a later term are higher.
 * The state must contain everything that earlier terms committed. */
void JobSched_Lead(JobSched *sched, int64_t now, uint64_t term);

/* Stops scheduling and drops the leader's state of targets and tasks and the
 * queued actions. Learned demand and run times remain. */
void JobSched_Resign(JobSched *sched);
bool JobSched_IsLeading(const JobSched *sched);

/* Handles an announcement. One that names a pool that is not in the
 * configuration, as a process of another deployment may send, has no effect,
 * unless its target is stored with that pool. Returns false while its content
 * is not yet stored; it should be acknowledged only once a later announcement
 * returns true. */
bool JobSched_HandleAnnouncement(JobSched *sched, int64_t now,
                                 const JobAnnouncement *announcement);

/* Returns whether the caller may store an announcement at once. It may not
 * while the target has runs of an earlier incarnation, as they would be
 * released before the restart check, or while an earlier announcement that
 * would replace it is queued. Call it before JobSched_HandleAnnouncement. */
bool JobSched_MayStore(const JobSched *sched,
                       const JobAnnouncement *announcement);

/* Handles a notice that a target has ended. The notice does not say which
 * incarnation sent it, and may arrive late, so the target is called; it gets
 * no new tasks until it answers. If it does not, it is removed: at once if it
 * has said that it leaves and its id had no earlier incarnation, otherwise
 * when the lease of its runs has expired. */
void JobSched_HandleDeparture(JobSched *sched, int64_t now, const char *id);

void JobSched_Tick(JobSched *sched, int64_t now, int64_t wall_ms);
void JobSched_HandleProposal(JobSched *sched, int64_t now, uint64_t cookie,
                             Status status);
void JobSched_HandleAnswer(JobSched *sched, int64_t now, const JobAction *call,
                           const JobCallAnswer *answer);

/* Assigns waiting tasks to targets. Call it after jobs, ends or targets have
 * changed. */
void JobSched_PlaceTasks(JobSched *sched, int64_t now, int64_t wall_ms);

/* Takes the next action. Returns false if there is none. */
bool JobSched_TakeAction(JobSched *sched, JobAction *action);

/* A job that a caller submits and that is not yet accepted. */
typedef struct JobSubmission {
    const char *id;
    const JobQueue *queue;
    const JobSpec *spec;
    const char *tenant; /* name, or empty */
} JobSubmission;

typedef struct JobRefusal {
    JobRefusalCause cause;
    int64_t retry_ms; /* when to try again */
    const char *reason;
} JobRefusal;

/* Returns whether a job can be accepted now; if not, fills in *refusal. Call
 * it before the job is proposed, and not for a job that the state contains.
 *
 * With JobSchedOptions.overload_control, a job is refused if by the forecast
 * it can neither be in time, as the work ahead of it takes too long, nor end
 * within JOBSCHED_LATE_FACTOR times its objective once it is late, as jobs
 * that arrive until then go before it. Its time runs from its first
 * submission. The error of the estimates of its queue is in its favour, the
 * wait counts less for jobs with little work and more for those with much.
 *
 * A job for whose first steps targets have room now, a lasting one and a
 * repeating one are accepted, and so are a copy of a job that may be in the
 * log and every job until the leader has placed tasks for JOBSCHED_LEARN_MS.
 */
bool JobSched_Admit(JobSched *sched, int64_t now,
                    const JobSubmission *submission, JobRefusal *refusal);

/* Capacity of a VM that is on its way to a pool. */
typedef struct JobArrival {
    char pool[JOB_NAME_BYTES];
    int64_t at_ms;
    int64_t cpu; /* thousandths of a core */
} JobArrival;

/* Replaces the arrivals that JobSched_Admit counts on, until they are due. */
void JobSched_SetArrivals(JobSched *sched, const JobArrival *arrivals,
                          size_t count);

/* Load of a pool as input to move planning, in thousandths of a core. */
typedef struct JobPoolLoad {
    int64_t lasting; /* use by lasting tasks */
    int64_t used;    /* use by all assigned tasks */
    int64_t waiting; /* need of tasks that could start now */
    int64_t backlog; /* its expected use, in thousandths of a core x ms */
    int64_t suspect; /* part of waiting, not of backlog, that runs apart */
    uint32_t suspect_jobs; /* jobs with such tasks, waiting or running */
    int64_t arriving;      /* arrival rate of work */
    int64_t rising;        /* arrival rate extrapolated by its slope */
    int64_t forecast;      /* highest arrival rate expected soon */
    int64_t period_ms;     /* period of its bursts, 0: unknown */
} JobPoolLoad;

void JobSched_PoolLoad(const JobSched *sched, int64_t now, const char *pool,
                       int64_t ahead_ms, JobPoolLoad *load);

/* Stores the members of JobPoolLoad from waiting to suspect_jobs for all pools
 * of the configuration, in its order. Its time grows with the sum of jobs and
 * pools, not with their product. */
void JobSched_GetWaiting(const JobSched *sched, JobPoolLoad *loads);

/* Returns whether a target may be assigned tasks now. */
bool JobSched_IsUsable(const JobSched *sched, const JobTarget *target,
                       int64_t now);

/* Sets whether a target is cordoned, that is, gets no new tasks. */
void JobSched_SetCordon(JobSched *sched, const JobTarget *target,
                        bool cordoned);

/* Returns whether a target has no runs and no pending assignments. */
bool JobSched_IsIdle(const JobSched *sched, const JobTarget *target);

/* Returns whether all runs of a target may be interrupted: it has no pending
 * assignments, and no step of a run sets max_unavailable. */
bool JobSched_IsInterruptible(const JobSched *sched, const JobTarget *target);

/* Stops the lasting tasks of a target as far as max_unavailable allows now.
 * They are placed again elsewhere. */
void JobSched_Evacuate(JobSched *sched, int64_t now, JobTarget *target);

/* Removes a target whose VM this service has moved or taken into
 * maintenance. */
void JobSched_RemoveTarget(JobSched *sched, const JobTarget *target);

const JobSchedCounts *JobSched_Counts(const JobSched *sched);

/* Returns a fencing token higher than all earlier ones of this term. */
uint64_t JobSched_NewFence(JobSched *sched);

#endif
