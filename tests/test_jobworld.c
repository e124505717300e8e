#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "support.h"
#include "support_jobworld.h"

typedef struct WorldCase {
    const char *name; /* the failure that it guards against */
    JobWorldOptions options;
    uint64_t seeds;
} WorldCase;

static const WorldCase cases[] = {
    {"no fault: every job ends and nothing runs twice",
     {.pools = 2,
      .targets_each = 6,
      .jobs_per_s = 6,
      .lasting_each = 1,
      .length_ms = 20000,
      .settle_ms = 30000,
      .failing_share = 0.02},
     10},
    {"orders without an answer, carried out at once, late or never",
     {.pools = 2,
      .targets_each = 5,
      .jobs_per_s = 5,
      .lasting_each = 1,
      .length_ms = 20000,
      .settle_ms = 40000,
      .failing_share = 0.02,
      .lost_order = 0.04,
      .lost_answer = 0.04,
      .late_order = 0.05},
     30},
    {"targets cut off longer than a lease",
     {.pools = 2,
      .targets_each = 5,
      .jobs_per_s = 5,
      .lasting_each = 1,
      .length_ms = 20000,
      .settle_ms = 40000,
      .failing_share = 0.01,
      .cuts_per_s = 0.5},
     30},
    {"targets that crash and return, half of them under their old id",
     {.pools = 2,
      .targets_each = 5,
      .jobs_per_s = 5,
      .lasting_each = 1,
      .length_ms = 20000,
      .settle_ms = 50000,
      .failing_share = 0.01,
      .crashes_per_s = 0.5},
     30},
    {"leaders that change with assignments in the log",
     {.pools = 2,
      .targets_each = 5,
      .jobs_per_s = 5,
      .lasting_each = 1,
      .length_ms = 20000,
      .settle_ms = 40000,
      .failing_share = 0.01,
      .leaders_per_s = 0.4},
     30},
    {"all of it, with cancels",
     {.pools = 3,
      .targets_each = 5,
      .jobs_per_s = 6,
      .lasting_each = 1,
      .length_ms = 25000,
      .settle_ms = 60000,
      .failing_share = 0.03,
      .lost_order = 0.03,
      .lost_answer = 0.03,
      .late_order = 0.04,
      .cuts_per_s = 0.3,
      .crashes_per_s = 0.3,
      .leaders_per_s = 0.2,
      .cancel_share = 0.1},
     200},
    {"calls through agents that are lost",
     {.pools = 2,
      .targets_each = 5,
      .jobs_per_s = 6,
      .lasting_each = 1,
      .length_ms = 25000,
      .settle_ms = 60000,
      .failing_share = 0.02,
      .lost_order = 0.08,
      .lost_answer = 0.08,
      .late_order = 0.04,
      .lost_agents = 0.7,
      .cuts_per_s = 0.2,
      .crashes_per_s = 0.2,
      .leaders_per_s = 0.2,
      .cancel_share = 0.05},
     60},
};

START_TEST(test_world)
{
    const WorldCase *row = &cases[_i];
    uint64_t seed;

    for (seed = 1; seed <= row->seeds; seed++) {
        JobWorldOptions options = row->options;
        JobWorldReport report;
        options.seed = seed;
        JobWorld_Run(&options, &report);
        ck_assert_msg(report.violation[0] == '\0', "%s: %s", row->name,
                      report.violation);
        ck_assert_msg(report.unfinished == 0,
                      "%s: seed %llu: %llu of %llu jobs did not end",
                      row->name, (unsigned long long)seed,
                      (unsigned long long)report.unfinished,
                      (unsigned long long)report.jobs);
        ck_assert_msg(report.lasting_away == 0,
                      "%s: seed %llu: %llu lasting tasks do not run",
                      row->name, (unsigned long long)seed,
                      (unsigned long long)report.lasting_away);
    }
}
END_TEST

/* Twice the work that fits arrives for 20 s. Serving what is due first makes
 * most of it late by a little; as much as fits has to be in time. */
START_TEST(overload_serves_what_fits)
{
    JobWorldOptions options = JOB_WORLD_DEFAULT;
    JobWorldReport report;
    double fits;

    options.pools = 1;
    options.targets_each = 6;
    options.jobs_per_s = 24;
    options.lasting_each = 0;
    options.length_ms = 20000;
    options.settle_ms = 60000;
    JobWorld_Run(&options, &report);
    ck_assert_str_eq(report.violation, "");
    ck_assert_uint_eq(report.unfinished, 0);
    /* 2 steps of 3.5 tasks of 1.35 cores for 0.85 s on 96 cores. */
    fits = 96.0 / (2 * 3.5 * 1.35 * 0.85) / 24.0;
    ck_assert_msg((double)report.in_time >= fits * (double)report.jobs,
                  "%llu of %llu jobs in time, %.2f fit",
                  (unsigned long long)report.in_time,
                  (unsigned long long)report.jobs, fits);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobworld");
    TCase *tcase = tcase_create("faults");

    tcase_add_loop_test(tcase, test_world, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, overload_serves_what_fits);
    suite_add_tcase(suite, tcase);
    return suite;
}
