#include <check.h>

#include "support.h"
#include "support_jobsim.h"

typedef struct RoomCase {
    const char *name; /* the faults beside rooms that shrink */
    JobSimOptions options;
    uint64_t seeds;
} RoomCase;

/* Of two pools, the targets of the first start what does not fit. */
static const RoomCase cases[] = {
    {"no other fault",
     {.pools = 2,
      .targets_per_pool = 5,
      .jobs_per_s = 8,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 60000,
      .unguarded_pools = 1,
      .shrinks_per_s = 1},
     20},
    {"targets partitioned for longer than their room may be unknown",
     {.pools = 2,
      .targets_per_pool = 5,
      .jobs_per_s = 8,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 60000,
      .unguarded_pools = 1,
      .shrinks_per_s = 1,
      .partitions_per_s = 0.6},
     20},
    {"calls without an answer that take effect at once, late or never",
     {.pools = 2,
      .targets_per_pool = 5,
      .jobs_per_s = 8,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 60000,
      .unguarded_pools = 1,
      .shrinks_per_s = 1,
      .lost_call_share = 0.06,
      .lost_answer_share = 0.06,
      .late_call_share = 0.04,
      .agent_lost_share = 0.5},
     20},
    {"leaders that change, with up to 6 s between them",
     {.pools = 2,
      .targets_per_pool = 5,
      .jobs_per_s = 8,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 60000,
      .unguarded_pools = 1,
      .shrinks_per_s = 1,
      .leader_changes_per_s = 0.3,
      .max_election_ms = 6000},
     20},
    {"targets that crash and restart",
     {.pools = 2,
      .targets_per_pool = 5,
      .jobs_per_s = 8,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 60000,
      .unguarded_pools = 1,
      .shrinks_per_s = 1,
      .crashes_per_s = 0.5},
     20},
    {"announcements that are lost while calls arrive",
     {.pools = 2,
      .targets_per_pool = 5,
      .jobs_per_s = 8,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 60000,
      .unguarded_pools = 1,
      .shrinks_per_s = 1,
      .mutes_per_s = 0.6},
     20},
    {"a log that stalls",
     {.pools = 2,
      .targets_per_pool = 5,
      .jobs_per_s = 8,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 60000,
      .unguarded_pools = 1,
      .shrinks_per_s = 1,
      .log_stalls_per_s = 0.3},
     20},
    {"all of these faults, with cancelled jobs",
     {.pools = 2,
      .targets_per_pool = 5,
      .jobs_per_s = 8,
      .lasting_per_pool = 1,
      .active_ms = 25000,
      .settle_ms = 70000,
      .unguarded_pools = 1,
      .shrinks_per_s = 1,
      .lost_call_share = 0.03,
      .lost_answer_share = 0.03,
      .late_call_share = 0.04,
      .agent_lost_share = 0.3,
      .partitions_per_s = 0.3,
      .crashes_per_s = 0.2,
      .leader_changes_per_s = 0.15,
      .max_election_ms = 3000,
      .mutes_per_s = 0.2,
      .log_stalls_per_s = 0.1,
      .cancel_share = 0.1,
      .failed_run_share = 0.02},
     40},
};

START_TEST(no_start_exceeds_room_that_has_shrunk)
{
    const RoomCase *row = &cases[_i];
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

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobroom");
    TCase *tcase = tcase_create("room");

    tcase_add_loop_test(tcase, no_start_exceeds_room_that_has_shrunk, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    suite_add_tcase(suite, tcase);
    return suite;
}
