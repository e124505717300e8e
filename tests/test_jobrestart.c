#include <check.h>
#include <stdlib.h>

#include "support.h"
#include "support_jobsim.h"

/* Sound lasting tasks that shared a target when it crashed run again in
 * bounded time, although each of them may have caused the crash. */
typedef struct RestartCase {
    const char *name; /* the failure that the case guards against */
    JobSimOptions options;
    uint64_t seeds;
} RestartCase;

/* The crash comes while the tasks have run for less than 3.5 s. */
#define CRASH_MS 1700

static const RestartCase cases[] = {
    {"suspects of one crash wait for each other in a small pool",
     {.pools = 1, .targets_per_pool = 7, .lasting_per_pool = 8},
     40},
    {"in a pool with twice as many suspects",
     {.pools = 1, .targets_per_pool = 7, .lasting_per_pool = 16},
     40},
    {"in a pool of two targets",
     {.pools = 1, .targets_per_pool = 2, .lasting_per_pool = 4},
     40},
    {"in a large pool",
     {.pools = 1, .targets_per_pool = 40, .lasting_per_pool = 80},
     10},
    {"suspects of several crashes wait for each other",
     {.pools = 1,
      .targets_per_pool = 7,
      .lasting_per_pool = 8,
      .busiest_crashes = 4,
      .busiest_crash_gap_ms = 4500},
     40},
    {"crashes of a target that is down for longer than a lease are waited for",
     {.pools = 1,
      .targets_per_pool = 7,
      .lasting_per_pool = 8,
      .long_outage_share = 0.7,
      .busiest_crashes = 3,
      .busiest_crash_gap_ms = 4500},
     40},
    {"a new leader begins to wait anew",
     {.pools = 1,
      .targets_per_pool = 7,
      .lasting_per_pool = 8,
      .outage_at_ms = CRASH_MS + 3500,
      .outage_ms = 1500},
     40},
    {"new leaders, some of which have seen none of the crashes",
     {.pools = 1,
      .targets_per_pool = 7,
      .lasting_per_pool = 8,
      .busiest_crashes = 3,
      .busiest_crash_gap_ms = 4500,
      .leader_changes_per_s = 0.15,
      .restored_leader_share = 0.5},
     40},
    {"beside jobs that end, some of them deadly",
     {.pools = 1,
      .targets_per_pool = 7,
      .lasting_per_pool = 4,
      .jobs_per_s = 3,
      .deadly_job_share = 0.05},
     40},
};

START_TEST(lasting_tasks_run_again_after_crashes)
{
    const RestartCase *row = &cases[_i];
    uint64_t seed;

    for (seed = 1; seed <= row->seeds; seed++) {
        JobSimOptions options = row->options;
        JobSimReport report;
        options.seed = seed;
        options.active_ms = 15000;
        options.settle_ms = 45000;
        options.step_tasks = 1;
        options.spread_lasting = true;
        options.target_cores = 32;
        options.crashes_refuse_calls = true;
        options.measure_restarts = true;
        options.busiest_crash_ms = CRASH_MS;
        options.busiest_crashes =
            options.busiest_crashes > 0 ? options.busiest_crashes : 1;
        JobSim_Run(&options, &report);
        ck_assert_msg(report.violation[0] == '\0', "%s: %s", row->name,
                      report.violation);
        ck_assert_msg(report.max_restart_ms <= JOBSIM_MAX_RESTART_MS,
                      "%s: seed %llu: a lasting task has not run for %lld ms",
                      row->name, (unsigned long long)seed,
                      (long long)report.max_restart_ms);
        ck_assert_msg(report.lasting_not_running == 0,
                      "%s: seed %llu: %llu lasting tasks do not run",
                      row->name, (unsigned long long)seed,
                      (unsigned long long)report.lasting_not_running);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobrestart");
    TCase *tcase = tcase_create("waits");

    tcase_add_loop_test(tcase, lasting_tasks_run_again_after_crashes, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    suite_add_tcase(suite, tcase);
    return suite;
}
