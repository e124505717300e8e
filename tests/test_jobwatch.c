#include "jobwatch.h"
#include "support.h"

typedef struct Case {
    const char *name;
    JobWatchInput input;
    JobWatchKind kind; /* the only one that holds; JOB_WATCH_COUNT for none */
} Case;

static const Case cases[] = {
    {"follower", {.leader_known = true}, JOB_WATCH_COUNT},
    {"candidate", {.leader_known = false}, JOB_WATCH_LEADER_UNKNOWN},
    {"leader",
     {.leader_known = true, .leads = true, .serves = true},
     JOB_WATCH_COUNT},
    {"leader with recent entries",
     {.leader_known = true,
      .leads = true,
      .serves = true,
      .uncommitted_ms = JOB_WATCH_STALLED_COMMIT_MS - 1},
     JOB_WATCH_COUNT},
    {"leader that commits nothing",
     {.leader_known = true,
      .leads = true,
      .serves = true,
      .uncommitted_ms = JOB_WATCH_STALLED_COMMIT_MS},
     JOB_WATCH_COMMIT_STALLED},
    {"leader before its takeover read",
     {.leader_known = true, .leads = true},
     JOB_WATCH_TAKEOVER_PENDING},
    {"leader whose tasks wait",
     {.leader_known = true, .leads = true, .serves = true, .tasks_wait = true},
     JOB_WATCH_PLACEMENT_IDLE},
    {"follower with old waiting tasks",
     {.leader_known = true, .tasks_wait = true},
     JOB_WATCH_COUNT},
    {"leader that stops",
     {.leader_known = true, .leads = true, .stopping = true},
     JOB_WATCH_COUNT},
};

#define CASE_COUNT (sizeof(cases) / sizeof(cases[0]))

START_TEST(node_that_does_no_work_tells_why)
{
    const Case *test = &cases[_i];
    JobWatch watch = {0};
    ConditionReport reports[JOB_WATCH_COUNT];
    int64_t lasted_ms[JOB_WATCH_COUNT];
    size_t i;

    JobWatch_Update(&watch, 1000, &test->input, reports, lasted_ms);
    JobWatch_Update(&watch, 1000 + CONDITION_FIRST_MS, &test->input, reports,
                    lasted_ms);
    for (i = 0; i < JOB_WATCH_COUNT; i++) {
        bool holds = i == test->kind;

        ck_assert_msg(reports[i] ==
                          (holds ? CONDITION_LASTS : CONDITION_SILENT),
                      "%s: condition %zu", test->name, i);
        ck_assert(JobWatch_GetSeconds(&watch, (JobWatchKind)i,
                                      2000 + CONDITION_FIRST_MS) ==
                  (holds ? 3.0 : 0.0));
    }
}
END_TEST

START_TEST(leader_that_starts_tasks_is_not_idle)
{
    JobWatchInput input = {.leader_known = true,
                           .leads = true,
                           .serves = true,
                           .tasks_wait = true};
    JobWatch watch = {0};
    ConditionReport reports[JOB_WATCH_COUNT];
    int64_t lasted_ms[JOB_WATCH_COUNT];
    int64_t now;

    for (now = 50; now < 20000; now += 50) {
        input.starts += now % 1500 == 0;
        JobWatch_Update(&watch, now, &input, reports, lasted_ms);
        ck_assert_int_eq(reports[JOB_WATCH_PLACEMENT_IDLE], CONDITION_SILENT);
    }
    for (; now < 23000; now += 50) {
        JobWatch_Update(&watch, now, &input, reports, lasted_ms);
    }
    ck_assert(JobWatch_GetSeconds(&watch, JOB_WATCH_PLACEMENT_IDLE, now) >
              3.0);
    input.starts++;
    JobWatch_Update(&watch, now, &input, reports, lasted_ms);
    ck_assert_int_eq(reports[JOB_WATCH_PLACEMENT_IDLE], CONDITION_ENDED);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobwatch");
    TCase *tcase = tcase_create("jobwatch");

    tcase_add_loop_test(tcase, node_that_does_no_work_tells_why, 0,
                        CASE_COUNT);
    tcase_add_test(tcase, leader_that_starts_tasks_is_not_idle);
    suite_add_tcase(suite, tcase);
    return suite;
}
