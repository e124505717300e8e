/*
 * NAME
 *     jobsched - the leader's scheduler of jobs on targets
 *
 * DESCRIPTION
 *     Core without I/O. It reads the replicated JobState and keeps what only
 *     the leader believes: clocks, leases and reachability of targets, and
 *     how far each order to a target has come. Every change of the replicated
 *     state is a command for the log; every order is a call to a target. Both
 *     are queued as actions, which the caller takes after each call here.
 *
 *     A task is assigned through the log before its start is ordered. A
 *     start without an answer is ordered again at the same target, where it
 *     has the same effect once, until the target has answered or its lease
 *     has surely run out. Ends are in the log before a target may forget
 *     them.
 *
 *     Leases: what runs at a target ends when the target's own clock reaches
 *     the last deadline that it was told. That clock may be slow by
 *     JOBSCHED_CLOCK_DRIFT; runs of a silent target are given up after the
 *     longest time in which it can have reached the highest deadline ever
 *     sent.
 *
 *     Demand and run times are learned from the state on every node, leading
 *     or not (JobState_Watch).
 *
 *     Times are ms of the steady clock where not named wall.
 */
#ifndef COLTSFOOT_JOBSCHED_H
#define COLTSFOOT_JOBSCHED_H

#include "buf.h"
#include "job.h"
#include "jobstate.h"

/* Percent by which a target's clock may be slow, with some reserve. */
#define JOBSCHED_CLOCK_DRIFT 3

typedef struct JobSchedOptions {
    int64_t lease_ms;      /* time granted by each call */
    int64_t hold_wait_ms;  /* wait of a target for an end, in a small fleet */
    int64_t short_wait_ms; /* the same where short work runs */
    uint32_t holds_per_s;  /* beyond this, targets wait longer for an end */
    int64_t call_ms;       /* a call without an answer is over */
    int64_t announce_ms;   /* interval of announcements */
    int64_t stop_ms;       /* a target's longest time to stop a task */
    int64_t early_ms;      /* an occurrence may start this early */
    int64_t status_ms;     /* an ended job is remembered this long */
} JobSchedOptions;

#define JOBSCHED_OPTIONS_DEFAULT                                              \
    {                                                                         \
        .lease_ms = 4000, .hold_wait_ms = 1000, .short_wait_ms = 400,         \
        .holds_per_s = 200, .call_ms = 1000, .announce_ms = 1500,             \
        .stop_ms = 400, .early_ms = 0, .status_ms = 180000                    \
    }

typedef enum JobActionKind {
    JOB_ACTION_PROPOSE, /* command; answer with JobSched_Proposed */
    JOB_ACTION_START,   /* the others: answer with JobSched_Answered */
    JOB_ACTION_STOP,
    JOB_ACTION_HOLD
} JobActionKind;

typedef struct JobAction {
    JobActionKind kind;
    uint64_t cookie;
    Buf command; /* of a proposal; the taker frees it */
    uint32_t row;
    uint64_t serial;
    uint64_t life; /* of the scheduler's view of the target */
    char id[JOB_NAME_BYTES];
    char address[JOB_ADDRESS_BYTES];
    JobTaskRef task;
    uint32_t attempt;
    uint64_t fence;
    int64_t deadline_ms; /* on the target's clock */
    uint64_t ack;        /* ends up to here may be forgotten */
    int64_t wait_ms;
    const char *text; /* the job's; valid until the next call here */
    const char *checkpoint;
    int64_t sent_ms;
} JobAction;

typedef enum JobCallOutcome {
    JOB_CALL_OK,
    JOB_CALL_FENCED,         /* a higher fence is known there */
    JOB_CALL_OLD,            /* a later run was there */
    JOB_CALL_LATE,           /* the deadline had passed */
    JOB_CALL_NO_ROOM,        /* also: no valid ticket */
    JOB_CALL_UNHEALTHY,      /* nothing was done */
    JOB_CALL_OTHER_INSTANCE, /* another target has the address */
    JOB_CALL_INVALID,        /* the target does not understand the call */
    JOB_CALL_NO_ANSWER,      /* it may have been carried out, or may be yet */
    JOB_CALL_AGENT_LOST      /* the same, but the target is not to blame */
} JobCallOutcome;

typedef struct JobCallAnswer {
    JobCallOutcome outcome;
    int64_t clock_ms;          /* -1: not told */
    uint64_t born;             /* 0: not told */
    const JobRunning *running; /* of a hold */
    size_t running_count;
    const JobEnd *ends;
    size_t end_count;
} JobCallAnswer;

typedef struct JobSchedCounts {
    uint64_t started;
    uint64_t done;
    uint64_t failed;
    uint64_t lost;
    uint64_t refused;
    uint64_t calls;
    uint64_t holds;
    uint64_t unanswered;
} JobSchedCounts;

typedef struct JobSched JobSched;

/* The wait in ms of the holds of so many targets with runs: the lists of a
 * large fleet are read less often. */
int64_t JobSched_HoldWait(const JobSchedOptions *options, uint32_t held);
JobSched *JobSched_New(const JobSchedOptions *options, JobState *state);
void JobSched_Free(JobSched *sched);

/* Begins to schedule in a term; fences of a later term are higher. The state
 * must hold everything that earlier terms committed. */
void JobSched_Lead(JobSched *sched, int64_t now, uint64_t term);

/* Forgets everything; queued actions are dropped. */
void JobSched_Resign(JobSched *sched);
bool JobSched_Leads(const JobSched *sched);

/* Takes an announcement. Returns false while its content still has to be
 * stored: the announcement should be acknowledged only after a later one
 * returned true. */
bool JobSched_Announce(JobSched *sched, int64_t now,
                       const JobAnnouncement *announcement);

/* The target says that it has ended. */
void JobSched_Left(JobSched *sched, int64_t now, const char *id);

void JobSched_Tick(JobSched *sched, int64_t now, int64_t wall_ms);
void JobSched_Proposed(JobSched *sched, int64_t now, uint64_t cookie,
                       Status status);
void JobSched_Answered(JobSched *sched, int64_t now, const JobAction *call,
                       const JobCallAnswer *answer);

/* Places what waits; call it after jobs, ends or targets have changed. */
void JobSched_Place(JobSched *sched, int64_t now, int64_t wall_ms);

/* Takes the next action. Returns false when there is none. */
bool JobSched_Next(JobSched *sched, JobAction *action);

/* Returns whether a job can be accepted now; otherwise *retry_ms is when to
 * come back. */
bool JobSched_Admit(const JobSched *sched, int64_t now, const JobQueue *queue,
                    const JobSpec *spec, int64_t *retry_ms,
                    const char **reason);

/* What the planner of moves reads of a pool, in thousandths of a core. */
typedef struct JobPoolLoad {
    int64_t lasting;   /* used by lasting tasks */
    int64_t used;      /* by all assigned tasks */
    int64_t waiting;   /* wanted by tasks that could start now */
    int64_t arriving;  /* rate of arriving work */
    int64_t rising;    /* that rate continued ahead by its slope */
    int64_t forecast;  /* highest rate expected soon */
    int64_t period_ms; /* of its turns, 0: not known */
} JobPoolLoad;

void JobSched_PoolLoad(const JobSched *sched, int64_t now, const char *pool,
                       int64_t ahead_ms, JobPoolLoad *load);

/* Returns whether a target may get work now. */
bool JobSched_IsUsable(const JobSched *sched, const JobTarget *target,
                       int64_t now);

/* Keeps new work off a target, or lets it in again. */
void JobSched_Close(JobSched *sched, const JobTarget *target, bool closed);

/* Returns whether nothing runs at a target and nothing is on its way. */
bool JobSched_IsIdle(const JobSched *sched, const JobTarget *target);

/* Returns whether all that runs at a target may be cut off: no task whose
 * step limits how many are away is among it. */
bool JobSched_IsExpendable(const JobSched *sched, const JobTarget *target);

/* Stops the lasting tasks at a target, as far as their steps allow it now;
 * they start again elsewhere. */
void JobSched_Evacuate(JobSched *sched, int64_t now, JobTarget *target);

/* The target was ended by an order of this service. */
void JobSched_Ended(JobSched *sched, const JobTarget *target);

const JobSchedCounts *JobSched_Counts(const JobSched *sched);

/* Returns a fence that is higher than all used before in this term. */
uint64_t JobSched_NewFence(JobSched *sched);

#endif
