#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "support.h"
#include "support_jobsim.h"

typedef struct CrashCase {
    const char *name; /* the failure that the case guards against */
    JobSimOptions options;
    uint64_t seeds;
} CrashCase;

static const CrashCase cases[] = {
    {"a deadly task crashes target after target",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 5,
      .lasting_per_pool = 1,
      .active_ms = 20000,
      .settle_ms = 60000,
      .failed_run_share = 0.01,
      .crashes_refuse_calls = true,
      .deadly_job_share = 0.05},
     40},
    {"a step of deadly tasks crashes a whole pool",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 5,
      .lasting_per_pool = 1,
      .active_ms = 20000,
      .settle_ms = 60000,
      .failed_run_share = 0.01,
      .crashes_refuse_calls = true,
      .deadly_job_share = 0.03,
      .deadly_step_share = 0.7},
     30},
    {"a new leader forgets the crashes under a deadly task",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 5,
      .lasting_per_pool = 1,
      .active_ms = 20000,
      .settle_ms = 60000,
      .failed_run_share = 0.01,
      .crashes_refuse_calls = true,
      .leader_changes_per_s = 0.4,
      .restored_leader_share = 0.5,
      .deadly_job_share = 0.05},
     40},
    {"a new leader forgets runs that were given up before the crash is known",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 2,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 90000,
      .crashes_refuse_calls = true,
      .long_outage_share = 1,
      .leader_changes_per_s = 0.2,
      .deadly_job_share = 0.06},
     60},
    {"crashes behind partitions and unanswered calls are not counted",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 5,
      .lasting_per_pool = 1,
      .active_ms = 20000,
      .settle_ms = 60000,
      .failed_run_share = 0.01,
      .crashes_refuse_calls = true,
      .lost_call_share = 0.04,
      .lost_answer_share = 0.04,
      .late_call_share = 0.04,
      .agent_lost_share = 0.3,
      .partitions_per_s = 0.4,
      .deadly_job_share = 0.05},
     40},
    {"a lasting deadly task is started for ever",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 4,
      .lasting_per_pool = 3,
      .active_ms = 20000,
      .settle_ms = 60000,
      .failed_run_share = 0.01,
      .crashes_refuse_calls = true,
      .deadly_lasting_share = 0.4,
      .deadly_step_share = 0.2},
     40},
    {"crashes that show only in an expired lease are not counted",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 4,
      .lasting_per_pool = 2,
      .active_ms = 20000,
      .settle_ms = 70000,
      .failed_run_share = 0.01,
      .crashes_refuse_calls = true,
      .deadly_job_share = 0.05,
      .deadly_lasting_share = 0.2,
      .long_outage_share = 0.8},
     40},
    {"a deadly task that crashes its target late looks like a good one",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 4,
      .lasting_per_pool = 2,
      .active_ms = 20000,
      .settle_ms = 70000,
      .failed_run_share = 0.01,
      .crashes_refuse_calls = true,
      .deadly_job_share = 0.05,
      .deadly_lasting_share = 0.2,
      .late_crash_share = 0.8},
     40},
    {"a deadly member of a gang crashes target after target",
     {.pools = 2,
      .targets_per_pool = 6,
      .jobs_per_s = 4,
      .lasting_per_pool = 1,
      .active_ms = 20000,
      .settle_ms = 70000,
      .gang_share = 0.5,
      .failed_run_share = 0.01,
      .deadly_job_share = 0.06,
      .late_crash_share = 0.2},
     40},
    {"deadly tasks leave no target of a small pool for the others",
     {.pools = 2,
      .targets_per_pool = 2,
      .jobs_per_s = 1.5,
      .lasting_per_pool = 1,
      .active_ms = 20000,
      .settle_ms = 90000,
      .failed_run_share = 0.01,
      .deadly_job_share = 0.06,
      .late_crash_share = 0.2},
     40},
    {"deadly tasks are not found in a pool without an idle target",
     {.pools = 1,
      .targets_per_pool = 6,
      .jobs_per_s = 10,
      .lasting_per_pool = 4,
      .active_ms = 15000,
      .settle_ms = 90000,
      .failed_run_share = 0.01,
      .deadly_job_share = 0.03,
      .deadly_lasting_share = 0.1},
     40},
};

START_TEST(deadly_tasks_are_given_up_and_other_jobs_end)
{
    const CrashCase *row = &cases[_i];
    uint64_t seed;

    for (seed = 1; seed <= row->seeds; seed++) {
        JobSimOptions options = row->options;
        JobSimReport report;
        options.seed = seed;
        JobSim_Run(&options, &report);
        ck_assert_msg(report.violation[0] == '\0', "%s: %s", row->name,
                      report.violation);
        ck_assert_msg(report.unfinished == 0,
                      "%s: seed %llu: %llu of %llu jobs did not end",
                      row->name, (unsigned long long)seed,
                      (unsigned long long)report.unfinished,
                      (unsigned long long)report.jobs);
        ck_assert_msg(report.lasting_not_running == 0,
                      "%s: seed %llu: %llu lasting tasks do not run",
                      row->name, (unsigned long long)seed,
                      (unsigned long long)report.lasting_not_running);
    }
}
END_TEST

/* Good jobs beside deadly ones that arrive for 12 s, at 4 jobs a second. What
 * a target ends by its crash is lost to all jobs on it, so the share of good
 * jobs on time shows what deadly tasks cost their neighbours. */
static const struct {
    const char *name;
    double deadly_share;
    uint32_t targets;
    double min_on_time;
} outbreaks[] = {
    {"no deadly job", 0, 9, 0.95},
    {"one job in twenty", 0.05, 9, 0.75},
    {"three jobs in ten, with room for them", 0.3, 30, 0.75},
};

START_TEST(good_jobs_beside_deadly_ones_are_on_time)
{
    uint64_t good = 0;
    uint64_t on_time = 0;
    uint64_t seed;

    for (seed = 1; seed <= 20; seed++) {
        JobSimOptions options = {.seed = seed,
                                 .pools = 1,
                                 .targets_per_pool = outbreaks[_i].targets,
                                 .jobs_per_s = 4,
                                 .lasting_per_pool = 1,
                                 .active_ms = 12000,
                                 .settle_ms = 60000,
                                 .failed_run_share = 0.01,
                                 .crashes_refuse_calls = true,
                                 .deadly_job_share =
                                     outbreaks[_i].deadly_share};
        JobSimReport report;

        JobSim_Run(&options, &report);
        ck_assert_msg(report.violation[0] == '\0', "%s: %s",
                      outbreaks[_i].name, report.violation);
        good += report.jobs - options.lasting_per_pool - report.deadly_jobs;
        on_time += report.on_time;
    }
    ck_assert_msg((double)on_time >= outbreaks[_i].min_on_time * (double)good,
                  "%s: %llu of %llu good jobs on time", outbreaks[_i].name,
                  (unsigned long long)on_time, (unsigned long long)good);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobcrash");
    TCase *tcase = tcase_create("crashes");

    tcase_add_loop_test(tcase, deadly_tasks_are_given_up_and_other_jobs_end, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_loop_test(tcase, good_jobs_beside_deadly_ones_are_on_time, 0,
                        (int)(sizeof(outbreaks) / sizeof(outbreaks[0])));
    suite_add_tcase(suite, tcase);
    return suite;
}
