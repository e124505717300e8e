/*
 * NAME
 *     support_jobworld - a world of targets and a log in virtual time
 *
 * DESCRIPTION
 *     Runs the job scheduler over the replicated job state against targets
 *     with leases on slow clocks, fences, lists of ends, lost and late
 *     orders, cuts, crashes and births under the same id, and against a log
 *     whose leader changes. An oracle checks every start that takes effect.
 *     The same seed gives the same run.
 */
#ifndef COLTSFOOT_SUPPORT_JOBWORLD_H
#define COLTSFOOT_SUPPORT_JOBWORLD_H

#include <stdint.h>

#include "jobsched.h"

/* A job is in time within this many times the usual time of its steps. */
#define WORLD_SLACK 2.0
#define WORLD_STEP_MS 1300

typedef struct JobWorldOptions {
    uint64_t seed;
    uint32_t pools;
    uint32_t targets_each; /* of a pool */
    double jobs_per_s;     /* over all pools */
    uint32_t lasting_each; /* lasting jobs of a pool, from the start */
    int64_t length_ms;     /* of arrivals and faults */
    int64_t settle_ms;     /* without faults, until all is done */
    double lost_order;     /* share of calls that never arrive */
    double lost_answer;    /* share carried out without an answer */
    double late_order;     /* share carried out 2 to 12 s later */
    double lost_agents;    /* of the unanswered calls, share of those whose
                              agent did not tell */
    double cuts_per_s;     /* targets that are cut off for some seconds */
    double crashes_per_s;  /* targets that crash; half return as they were */
    double leaders_per_s;  /* changes of the leader */
    double cancel_share;   /* jobs that are cancelled */
    double failing_share;  /* runs that end `failed` */
} JobWorldOptions;

#define JOB_WORLD_DEFAULT                                                     \
    {                                                                         \
        .seed = 1, .pools = 2, .targets_each = 6, .jobs_per_s = 4,            \
        .lasting_each = 1, .length_ms = 30000, .settle_ms = 60000,            \
        .failing_share = 0.01                                                 \
    }

typedef struct JobWorldReport {
    uint64_t jobs;
    uint64_t completed;
    uint64_t failed;
    uint64_t cancelled;
    uint64_t unfinished; /* neither ended nor cancelled at the end */
    uint64_t starts;
    uint64_t holds;
    uint64_t lasting_away; /* lasting tasks that do not run at the end */
    uint64_t in_time;      /* ended within WORLD_SLACK of their work */
    int64_t mean_ms;       /* from submission to the end */
    char violation[256];   /* first one; empty when none */
} JobWorldReport;

void JobWorld_Run(const JobWorldOptions *options, JobWorldReport *report);

#endif
