/*
 * NAME
 *     support_jobsim - discrete-event simulation of the job scheduler
 *
 * DESCRIPTION
 *     Runs the job scheduler and the replicated job state in virtual time
 *     against simulated targets and a simulated log. The targets have slow
 *     clocks, leases, fencing tokens and lists of ends. Calls are lost or
 *     delayed, targets are partitioned, crash and restart under the same id,
 *     the room of targets shrinks and grows, and the leader changes while
 *     proposals are in flight. An oracle checks every start that takes effect.
 *     The same seed gives the same run.
 */
#ifndef COLTSFOOT_SUPPORT_JOBSIM_H
#define COLTSFOOT_SUPPORT_JOBSIM_H

#include <stdint.h>

#include "jobsched.h"

/* A job is on time if it takes at most this factor times the typical time of
 * its steps, JOBSIM_STEP_MS each. */
#define JOBSIM_ON_TIME_FACTOR 2.0
#define JOBSIM_STEP_MS 1300

typedef struct JobSimOptions {
    uint64_t seed;
    uint32_t pools;
    uint32_t targets_per_pool;
    double jobs_per_s;         /* arrival rate over all pools */
    uint32_t lasting_per_pool; /* lasting jobs, submitted at the start */
    int64_t active_ms;         /* duration of job arrivals and faults */
    int64_t settle_ms;         /* time left after that for jobs to end */
    double lost_call_share;    /* share of calls that never arrive */
    double lost_answer_share;  /* share of calls whose answer is lost */
    double late_call_share;    /* share carried out 2 to 12 s late, without
                                  an answer */
    double agent_lost_share;   /* share of unanswered calls that end with
                                  JOB_CALL_AGENT_LOST */
    double partitions_per_s;   /* rate of partitions of a target, which last
                                  0.5 to 9 s */
    double crashes_per_s;      /* rate of target crashes; half of the targets
                                  restart under the same id */
    double leader_changes_per_s;
    double cancel_share;      /* share of jobs that are cancelled */
    double failed_run_share;  /* share of runs that end with JOB_END_FAILED */
    uint32_t unguarded_pools; /* number of pools, from the first, whose targets
                                 start what does not fit */
    double shrinks_per_s;     /* rate at which the room of a target shrinks to
                                 20 to 80 % for 2 to 12 s */
    double mutes_per_s;       /* rate at which the announcements of a target
                                 are lost for 0.5 to 9 s */
    double log_stalls_per_s;  /* rate at which commits stop for 1 to 6 s */
    int64_t max_election_ms;  /* longest time without a leader */
} JobSimOptions;

#define JOBSIM_OPTIONS_DEFAULT                                                \
    {                                                                         \
        .seed = 1, .pools = 2, .targets_per_pool = 6, .jobs_per_s = 4,        \
        .lasting_per_pool = 1, .active_ms = 30000, .settle_ms = 60000,        \
        .failed_run_share = 0.01                                              \
    }

typedef struct JobSimReport {
    uint64_t jobs;
    uint64_t completed;
    uint64_t failed;
    uint64_t cancelled;
    uint64_t unfinished; /* jobs that had not ended when time was up */
    uint64_t starts;
    uint64_t holds;
    uint64_t lasting_not_running; /* lasting tasks not running at the end */
    uint64_t on_time;           /* completed jobs, see JOBSIM_ON_TIME_FACTOR */
    int64_t mean_completion_ms; /* mean time from submission to completion */
    char violation[256]; /* first violation found by the oracle, or empty */
} JobSimReport;

void JobSim_Run(const JobSimOptions *options, JobSimReport *report);

#endif
