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
 *     proposals are in flight. Deadly tasks crash each target that starts
 *     them. Tenants have caps, which configurations lower and raise while
 * starts are in flight. An oracle checks every start that takes effect and
 * every job that ends as failed. The same seed gives the same run.
 */
#ifndef COLTSFOOT_SUPPORT_JOBSIM_H
#define COLTSFOOT_SUPPORT_JOBSIM_H

#include <stdint.h>

#include "jobsched.h"

/* A job is on time if it takes at most this factor times the typical time of
 * its steps, JOBSIM_STEP_MS each. */
#define JOBSIM_ON_TIME_FACTOR 2.0
#define JOBSIM_STEP_MS 1300
#define JOBSIM_MAX_TENANTS 8
/* Longest time for which a job may wait with nothing running beside a pool of
 * which under half is in use. */
#define JOBSIM_MAX_IDLE_MS 3000
/* Time in which a lasting task is to run again after its last run, and time
 * without faults that it has for that. */
#define JOBSIM_MAX_RESTART_MS 9000
#define JOBSIM_CALM_MS 7000

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
    double planned_end_share;  /* share of crashes_per_s that end a target as
                                  planned, after 2 to 5 s of leaving */
    double late_message_share; /* share of ended targets whose last
                                  announcement, and share whose notice of
                                  departure, arrives up to 9 s late */
    double leader_changes_per_s;
    double restored_leader_share; /* share of leader changes to a node that
                                     restored its state from a snapshot */
    double cancel_share;          /* share of jobs that are cancelled */
    double gang_share;            /* share of steps whose tasks are a gang */
    double failed_run_share; /* share of runs that end with JOB_END_FAILED */
    /* share of jobs with a deadly task, which crashes its target 5 to 50 ms
     * after each start, for 2 to 5 s */
    double deadly_job_share;
    double deadly_lasting_share; /* the same share of lasting jobs */
    double deadly_step_share;    /* share of these jobs in which all tasks of a
                                    step are deadly */
    double late_crash_share;  /* share of these jobs whose tasks crash a target
                                 up to 3 s after the start */
    double long_outage_share; /* share of crashes that last 5 to 8 s, longer
                                 than any lease */
    bool crashes_refuse_calls; /* calls to a crashed target fail at once, but
                                  for those of long_outage_share */
    double pool_crashes_per_s; /* rate at which all targets of a pool, or half
                                  of them, crash within 100 ms; every second
                                  time again, 3 to 5 times in all, 2 to 6 s
                                  apart */
    uint32_t unguarded_pools; /* number of pools, from the first, whose targets
                                 start what does not fit */
    double shrinks_per_s;     /* rate at which the room of a target shrinks to
                                 20 to 80 % for 2 to 12 s */
    double mutes_per_s;       /* rate at which the announcements of a target
                                 are lost for 0.5 to 9 s */
    /* share of jobs with one step of 50 to 400 small tasks, or with 5 to 40
     * due occurrences of 5 to 40 */
    double large_job_share;
    double refused_share; /* share of proposals that the log refuses at once */
    double log_stalls_per_s; /* rate at which commits stop for 1 to 6 s */
    int64_t max_election_ms; /* longest time without a leader */
    uint32_t tenants;        /* 0: jobs have no tenant */
    uint32_t tenant_cap_cpu; /* cap of each tenant; 0: no limit */
    uint32_t tenant_weights[JOBSIM_MAX_TENANTS]; /* 0 counts as 1 */
    bool merges_tenants; /* all jobs are submitted as the first tenant, so that
                            shares decide nothing; reported by tenant */
    double flood_share;  /* share of jobs that are of the first tenant, beyond
                            its usual one */
    /* rate at which a configuration changes the cap of one tenant to 20 to
     * 150 %, or in one of ten cases removes the tenant */
    double cap_changes_per_s;
    /* Time after which a start must keep a lowered cap; 0: 15 s, the longest
     * with late calls and changes of the leader. */
    int64_t lowered_cap_ms;
    /* Whether a job of a tenant under half of its cap is found that waits 3 s
     * with nothing running beside room for its task twice over, in a pool of
     * which under half is in use. Set it only without other faults. */
    bool checks_waits;
    /* Load of callers that come back after a refusal; 0: jobs arrive at
     * jobs_per_s and are never refused. Mean work that they ask for as a share
     * of the capacity of the targets. */
    double load;
    bool overload_control;
    uint32_t priorities;   /* queues of each pool, one of each priority from 0
                              on, with the same work; 0: one queue */
    double burst_factor;   /* rate of arrivals during bursts, as a multiple of
                              the mean; 0: an even rate */
    int64_t burst_ms;      /* length of a burst; between two bursts the rate is
                              a twentieth of the mean */
    double flood_factor;   /* how much more than its usual load the sender of
                              the last queue of each pool sends; 0: no more */
    uint32_t large_factor; /* how many times as many tasks as the others jobs
                              of the last queue of each pool have, at as much
                              lower a rate; 0: as many */
    double estimate_error; /* declared run times are wrong by up to this factor
                              both ways; 0: they are right */
    uint32_t max_retries;  /* how often a refused caller comes back */
    uint32_t step_tasks;   /* tasks of each step; 0: 1 to 6 */
    uint32_t target_cores; /* processors of each target; 0: 16 */
    int64_t outage_at_ms;  /* when the leader is lost, for outage_ms */
    int64_t outage_ms;     /* 0: never */
    bool measure_waits;    /* fills max_suspects and the waits below */
    /* When the target with most runs crashes for 2 s, how often, and the time
     * between two of these crashes. */
    int64_t busiest_crash_ms;
    uint32_t busiest_crashes; /* 0: never */
    int64_t busiest_crash_gap_ms;
    bool measure_restarts; /* fills max_restart_ms */
    bool spread_lasting;   /* the first lasting job of a pool has one task at
                              each target, so that none is idle */
} JobSimOptions;

#define JOBSIM_OPTIONS_DEFAULT                                                \
    {                                                                         \
        .seed = 1, .pools = 2, .targets_per_pool = 6, .jobs_per_s = 4,        \
        .lasting_per_pool = 1, .active_ms = 30000, .settle_ms = 60000,        \
        .failed_run_share = 0.01                                              \
    }

/* Number of priorities that are reported one by one. */
#define JOBSIM_PRIORITIES 4

/* What the callers of a group of jobs got, with JobSimOptions.load. */
typedef struct JobSimGroup {
    uint64_t jobs;
    uint64_t in_time;   /* completed within their objective */
    uint64_t late;      /* completed within three times their objective */
    uint64_t worthless; /* accepted and not completed until then */
    uint64_t refused;   /* given up after the last refusal */
    double worth;       /* value of all jobs: 0.3 + 0.7 of their work over the
                           mean work of their queue, at most 4 */
    double earned;      /* value in time, and 0.07 of that of late ones */
} JobSimGroup;

typedef enum JobSimSize {
    JOBSIM_LARGEST_TENTH, /* by work, among the jobs of their queue */
    JOBSIM_NEXT_FIFTH,
    JOBSIM_SMALLER,
    JOBSIM_SIZES
} JobSimSize;

typedef struct JobSimReport {
    uint64_t jobs;
    uint64_t completed;
    uint64_t failed;
    uint64_t cancelled;
    uint64_t unfinished; /* jobs that had not ended when time was up, and
                            lasting jobs with a deadly task */
    uint64_t starts;
    uint64_t holds;
    uint64_t lasting_not_running; /* lasting tasks not running at the end */
    uint64_t large;
    uint64_t on_time;           /* completed jobs, see JOBSIM_ON_TIME_FACTOR,
                                   other than large ones */
    int64_t mean_completion_ms; /* mean time from submission to completion;
                                   no job with a deadly task completes */
    /* Of jobs by tenant: */
    uint64_t tenant_completed[JOBSIM_MAX_TENANTS];
    int64_t tenant_mean_ms[JOBSIM_MAX_TENANTS];
    uint64_t cap_changes;
    uint64_t deadly_jobs;
    uint64_t deadly_crashes;     /* crashes caused by deadly tasks */
    uint32_t max_deadly_starts;  /* most starts of one deadly task */
    uint64_t innocent_runs_lost; /* other runs that these crashes ended */
    JobSimGroup all;             /* with JobSimOptions.load */
    JobSimGroup by_priority[JOBSIM_PRIORITIES];
    JobSimGroup by_size[JOBSIM_SIZES];
    JobSchedCounts counts; /* of the last scheduler */
    uint32_t max_suspects; /* most tasks that waited as suspects at a time */
    /* Longest time for which a job without a deadly task had a waiting task
     * and none that was assigned, while under half of the targets' processors
     * that were up was in use and twice what the task needs was free; and the
     * number of jobs that waited JOBSIM_MAX_IDLE_MS so. */
    int64_t max_idle_ms;
    uint64_t idle_jobs;
    /* Longest time since the last run of a lasting task that is not deadly and
     * does not run, beside the same free room, after JOBSIM_CALM_MS without a
     * crash or a change of the leader. */
    int64_t max_restart_ms;
    char violation[256]; /* first violation found by the oracle, or empty */
} JobSimReport;

void JobSim_Run(const JobSimOptions *options, JobSimReport *report);

#endif
