/*
 * NAME
 *     jobsched_impl - the inside of jobsched, shared by its source files
 */
#ifndef COLTSFOOT_JOBSCHED_IMPL_H
#define COLTSFOOT_JOBSCHED_IMPL_H

#include "jobcodec.h"
#include "jobdemand.h"
#include "jobest.h"
#include "jobsched.h"

/* Fences of one term. */
#define SCHED_FENCE_BITS 20

/* What the leader believes of one target. */
typedef struct SchedTarget {
    uint64_t serial;
    uint64_t life;       /* rises when the target is found to be another */
    uint64_t fence;      /* of all calls to it */
    int64_t clock_ms;    /* it showed at least this ... */
    int64_t clock_at_ms; /* ... at this time */
    bool clock_known;
    int64_t granted_ms; /* highest deadline ever sent, on its clock */
    int64_t heard_ms;   /* last announcement or answer */
    int64_t answered_ms;
    int64_t hold_due_ms;
    bool holding;
    bool fenced;         /* it has answered under this fence */
    bool ends_proposed;  /* ends are on their way through the log */
    bool ack_due;        /* it may forget ends and was not told yet */
    uint32_t unanswered; /* calls in a row */
    uint64_t order;      /* of its last announcement */
    bool reborn;         /* a later life was seen and is being checked */
    uint64_t reborn_at;  /* birth time of that life */
    int64_t reborn_ms;   /* when it was seen */
    bool storing;        /* an announcement is on its way through the log */
    bool readmitting;    /* that of a later life, which ends all runs */
    JobNeed reserved;    /* by assignments on their way */
    uint32_t reserved_count;
    uint32_t failures;  /* ends `failed` in a row */
    int64_t shunned_ms; /* no new work before, as it fails everything */
    bool closed;        /* a move or maintenance is wanted */
} SchedTarget;

typedef enum SchedProposalKind {
    SCHED_ASSIGN,
    SCHED_ENDS,
    SCHED_TARGET,
    SCHED_OTHER
} SchedProposalKind;

typedef struct SchedProposal {
    uint64_t cookie;
    SchedProposalKind kind;
    uint32_t row;
    uint64_t serial;
    JobAssignment *assignments;
    size_t assignment_count;
    char id[JOB_NAME_BYTES]; /* of an announcement, with its clock */
    int64_t clock_ms;
    int64_t clock_at_ms;
    struct SchedProposal *next;
} SchedProposal;

struct JobSched {
    JobSchedOptions options;
    int64_t wait_ms; /* of the next holds */
    JobState *state;
    bool leads;
    uint64_t term;
    uint64_t fence;
    int64_t lead_ms;
    int64_t wall_ms; /* of the last tick */
    int64_t now_ms;  /* of the last call that told it */
    int64_t expire_ms;
    uint64_t next_cookie;
    uint64_t next_life;
    JobAction *actions; /* from action_first to action_count */
    size_t action_first;
    size_t action_count;
    size_t action_capacity;
    SchedProposal *proposals;
    JobAssignment *batch; /* of the placement that is being made */
    size_t batch_count;
    size_t batch_capacity;
    JobEst *est;
    JobDemand *demand;
    JobSchedCounts counts;
};

/* What is believed of a target, or NULL when nothing is yet. */
SchedTarget *SchedImpl_LiveOf(const JobTarget *target);
SchedTarget *SchedImpl_Live(JobSched *sched, JobTarget *target);
JobAction *SchedImpl_Action(JobSched *sched, JobActionKind kind);
void SchedImpl_Propose(JobSched *sched, SchedProposalKind kind, Buf *command,
                       uint32_t row, uint64_t serial);
void SchedImpl_Start(JobSched *sched, int64_t now, const JobRun *run);

/* jobsched_pool.c: adds a job to the demand */
void SchedImpl_Accepted(void *arg, int64_t now, const Job *job);

/* jobsched.c: clocks and leases */
/* Returns the deadline for a call. A target that does not answer is not
 * granted more: its lease has to run out at some time. */
int64_t SchedImpl_Grant(const JobSched *sched, SchedTarget *live, int64_t now);
void SchedImpl_NoteClock(const JobSched *sched, SchedTarget *live, int64_t now,
                         int64_t clock_ms);
void SchedImpl_FillCall(JobAction *action, const JobTarget *target,
                        const SchedTarget *live, int64_t now);
/* Returns when everything that runs at a silent target has surely ended. */
int64_t SchedImpl_LapsedMs(const JobSched *sched, const SchedTarget *live);

/* jobsched_place.c: room for an assignment that is on its way, and no more */
void SchedImpl_Reserve(SchedTarget *live, const JobStep *step);
void SchedImpl_Unreserve(SchedTarget *live, const JobStep *step);

/* jobsched_run.c: orders for tasks, and their ends */
void SchedImpl_StopTask(JobSched *sched, int64_t now, JobTarget *target,
                        const JobTaskRef *ref, uint32_t attempt);
void SchedImpl_StopRun(JobSched *sched, int64_t now, const JobRun *run);
/* Orders what a run at a target needs now. */
void SchedImpl_DriveRun(JobSched *sched, int64_t now, const JobRun *run);
void SchedImpl_ProposeEnds(JobSched *sched, JobTarget *target,
                           const JobEnd *ends, size_t count);
/* Ends one run that its target does not list. */
void SchedImpl_EndUnlisted(JobSched *sched, JobTarget *target,
                           const JobRun *run, JobEndKind kind);
void SchedImpl_LoseAll(JobSched *sched, JobTarget *target);

/* jobsched_target.c: announcements */
void SchedImpl_ProposeTarget(JobSched *sched, const JobAnnouncement *says,
                             JobTarget *target);
void SchedImpl_ProposeGone(JobSched *sched, JobTarget *target,
                           const char *why);
/* A later life under the same id is checked by a hold under a new fence, so
 * that no order to the earlier life takes effect any more. */
void SchedImpl_BeginRebirth(JobSched *sched, int64_t now, JobTarget *target,
                            uint64_t born);

#endif
