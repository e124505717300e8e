#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "rng.h"
#include "support.h"
#include "support_job.h"

static JobState *state;

static void
setup(void)
{
    state = JobState_New();
    JobTest_Configure(state, 5);
    JobTest_Target(state, "t1", "vm1", "p", 100, false);
    JobTest_Target(state, "t2", "vm2", "p", 100, false);
}

static void
teardown(void)
{
    JobState_Free(state);
}

START_TEST(versions_only_rise)
{
    static const struct {
        uint64_t version;
        JobResult result;
        uint64_t then;
    } cases[] = {
        {5, JOB_RESULT_EXISTS, 5}, /* a resend changes nothing */
        {4, JOB_RESULT_EXISTS, 5}, /* an older one arrives again */
        {9, JOB_RESULT_OK, 9},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        ck_assert_int_eq(JobTest_Configure(state, cases[i].version),
                         cases[i].result);
        ck_assert_uint_eq(JobState_Config(state)->version, cases[i].then);
    }
}
END_TEST

START_TEST(a_resubmitted_job_is_one_job)
{
    ck_assert_int_eq(JobTest_Submit(state, "a", 2, 3, 500), JOB_RESULT_OK);
    ck_assert_int_eq(JobTest_Submit(state, "a", 1, 1, 500), JOB_RESULT_EXISTS);
    ck_assert_uint_eq(JobState_Job(state, "a")->spec.step_count, 2);
    ck_assert_uint_eq(JobState_Pending(state, "q"), 1);
}
END_TEST

START_TEST(steps_follow_each_other)
{
    const Job *job;

    JobTest_Submit(state, "a", 2, 2, 500);
    job = JobState_Job(state, "a");
    ck_assert(Job_StepReady(job, 0, 0));
    ck_assert(!Job_StepReady(job, 0, 1));
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobTest_Assign(state, "a", 0, 1, 1, "t2");
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_DONE, 1);
    ck_assert(!Job_StepReady(job, 0, 1));
    JobTest_End(state, "a", 0, 1, 1, "t2", JOB_END_DONE, 1);
    ck_assert(Job_StepReady(job, 0, 1));
    JobTest_Assign(state, "a", 1, 0, 1, "t1");
    JobTest_Assign(state, "a", 1, 1, 1, "t1");
    JobTest_End(state, "a", 1, 0, 1, "t1", JOB_END_DONE, 2);
    ck_assert_int_eq(job->phase, JOB_RUNNING);
    JobTest_End(state, "a", 1, 1, 1, "t1", JOB_END_DONE, 3);
    ck_assert_int_eq(job->phase, JOB_COMPLETED);
    ck_assert(!job->active);
}
END_TEST

typedef struct EndCase {
    const char *name;
    JobEndKind kind;
    uint32_t attempt; /* of the end; the task is at attempt 2 on t1 */
    const char *target;
    JobTaskState then;
} EndCase;

static const EndCase end_cases[] = {
    {"done", JOB_END_DONE, 2, "t1", JOB_TASK_DONE},
    {"failed once of two", JOB_END_FAILED, 2, "t1", JOB_TASK_WAITING},
    {"lapsed", JOB_END_LAPSED, 2, "t1", JOB_TASK_WAITING},
    {"stopped", JOB_END_STOPPED, 2, "t1", JOB_TASK_WAITING},
    {"an end of an earlier attempt", JOB_END_DONE, 1, "t1", JOB_TASK_ASSIGNED},
    {"an end from another target", JOB_END_DONE, 2, "t2", JOB_TASK_ASSIGNED},
};

START_TEST(ends_are_judged)
{
    const EndCase *row = &end_cases[_i];
    JobTaskRef ref = {"a", 0, 0, 0};
    Job *job;

    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 2, "t1");
    JobTest_End(state, "a", 0, 0, row->attempt, row->target, row->kind, 1);
    ck_assert_msg(JobState_Task(state, &ref, &job)->state == row->then, "%s",
                  row->name);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->used.cpu,
                      row->then == JOB_TASK_ASSIGNED ? 500 : 0);
}
END_TEST

START_TEST(failed_attempts_are_bounded)
{
    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_FAILED, 1);
    ck_assert_int_eq(JobState_Job(state, "a")->phase, JOB_RUNNING);
    JobTest_Assign(state, "a", 0, 0, 2, "t2");
    JobTest_End(state, "a", 0, 0, 2, "t2", JOB_END_FAILED, 1);
    ck_assert_int_eq(JobState_Job(state, "a")->phase, JOB_FAILED);
}
END_TEST

START_TEST(lasting_tasks_start_again_however_they_end)
{
    uint64_t number;
    JobTaskRef ref = {"a", 0, 0, 0};
    Job *job;

    JobTest_SubmitLasting(state, "a", 1, 1);
    for (number = 1; number <= 5; number++) {
        JobTest_Assign(state, "a", 0, 0, (uint32_t)number, "t1");
        JobTest_End(state, "a", 0, 0, (uint32_t)number, "t1",
                    number % 2 == 0 ? JOB_END_DONE : JOB_END_FAILED, number);
        ck_assert_int_eq(JobState_Task(state, &ref, &job)->state,
                         JOB_TASK_WAITING);
        ck_assert_int_eq(job->phase, JOB_RUNNING);
    }
}
END_TEST

START_TEST(a_done_run_that_was_given_up_counts_while_it_waits)
{
    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_LOST, 0);
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_DONE, 1);
    ck_assert_int_eq(JobState_Job(state, "a")->phase, JOB_COMPLETED);
    /* An assignment that was on its way is void. */
    JobTest_Assign(state, "a", 0, 0, 2, "t2");
    ck_assert_uint_eq(JobState_FindTarget(state, "t2")->run_count, 0);
}
END_TEST

START_TEST(a_cancelled_job_takes_no_assignment)
{
    Buf command = BUF_INIT;

    JobTest_Submit(state, "a", 1, 2, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobCmd_Cancel(&command, "a", 1500);
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    JobTest_Assign(state, "a", 0, 1, 1, "t2");
    ck_assert_uint_eq(JobState_FindTarget(state, "t2")->run_count, 0);
    ck_assert(JobState_Job(state, "a")->active);
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_STOPPED, 1);
    ck_assert(!JobState_Job(state, "a")->active);
    JobCmd_Cancel(&command, "a", 1500);
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_EXISTS);
    JobCmd_Cancel(&command, "b", 1500);
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_UNKNOWN);
}
END_TEST

START_TEST(a_later_life_ends_the_runs_of_an_earlier_one)
{
    uint64_t serial = JobState_FindTarget(state, "t1")->serial;

    JobTest_Submit(state, "a", 1, 2, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    ck_assert_int_eq(JobTest_Target(state, "t1", "vm1", "p", 90, false),
                     JOB_RESULT_IGNORED);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 1);
    JobTest_Target(state, "t1", "vm1", "p", 200, false);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 0);
    ck_assert_uint_ne(JobState_FindTarget(state, "t1")->serial, serial);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->ends_taken, 0);
}
END_TEST

START_TEST(the_latest_target_of_a_vm_is_found)
{
    JobTest_Target(state, "t3", "vm1", "p", 300, false);
    ck_assert_str_eq(JobState_VmTarget(state, "vm1")->says.id, "t3");
    ck_assert_ptr_null(JobState_VmTarget(state, "vm9"));
}
END_TEST

START_TEST(snapshots_hold_everything)
{
    JobState *copy = JobState_New();
    Buf first = BUF_INIT;
    Buf second = BUF_INIT;
    Buf command = BUF_INIT;
    JobWave wave = {.number = 3, .duration_ms = 20000, .cap = 2};
    JobWaveVm vms[2] = {{"vm1", false, false, 0}, {"vm2", false, false, 0}};
    JobVmOrder order = {"vm1", 77, 1234, 0};
    ErrCtx err;

    JobTest_Submit(state, "a", 2, 3, 500);
    JobTest_Submit(state, "b", 1, 1, 500);
    JobTest_SubmitLasting(state, "c", 2, 1);
    JobTest_Assign(state, "a", 0, 1, 1, "t1");
    JobTest_Assign(state, "b", 0, 0, 1, "t2");
    JobTest_End(state, "b", 0, 0, 1, "t2", JOB_END_DONE, 1);
    wave.vms = vms;
    wave.vm_count = 2;
    JobCmd_Wave(&command, &wave);
    JobTest_Apply(state, &command);
    JobCmd_WaveVm(&command, 3, "vm1", true);
    JobTest_Apply(state, &command);
    JobCmd_VmOrder(&command, &order);
    JobTest_Apply(state, &command);
    JobState_Snapshot(state, &first);
    ck_assert_int_eq(JobState_Restore(copy, first.data, first.len, &err),
                     ST_OK);
    JobState_Snapshot(copy, &second);
    ck_assert_uint_eq(first.len, second.len);
    ck_assert_mem_eq(first.data, second.data, first.len);
    ck_assert_uint_eq(JobState_FindTarget(copy, "t1")->used.cpu, 500);
    ck_assert_uint_eq(JobState_Wave(copy, 3)->done, 1);
    ck_assert_int_eq(JobState_Job(copy, "b")->phase, JOB_COMPLETED);
    ck_assert_uint_eq(JobState_VmOrder(copy, "vm1")->fence, 77);
    JobState_Free(copy);
    Buf_Free(&first);
    Buf_Free(&second);
}
END_TEST

/* Torn or foreign bytes are refused whole and leave the state as it was. */
START_TEST(damaged_snapshots_are_refused)
{
    Buf bytes = BUF_INIT;
    Rng rng;
    size_t i;
    ErrCtx err;

    JobTest_Submit(state, "a", 2, 3, 500);
    JobTest_Assign(state, "a", 0, 1, 1, "t1");
    JobState_Snapshot(state, &bytes);
    for (i = 0; i < bytes.len; i++) {
        ck_assert_int_eq(JobState_Restore(state, bytes.data, i, &err),
                         ST_CORRUPT);
    }
    Rng_Seed(&rng, 7);
    for (i = 0; i < 2000; i++) {
        JobState *copy = JobState_New();
        size_t at = Rng_Below(&rng, (uint32_t)bytes.len);
        char kept = bytes.data[at];
        bytes.data[at] = (char)Rng_Below(&rng, 256);
        JobState_Restore(copy, bytes.data, bytes.len, &err);
        bytes.data[at] = kept;
        JobState_Free(copy);
    }
    ck_assert_ptr_nonnull(JobState_Job(state, "a"));
    Buf_Free(&bytes);
}
END_TEST

START_TEST(ended_jobs_are_forgotten_in_time)
{
    Buf command = BUF_INIT;

    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Submit(state, "b", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_DONE, 1); /* at 2000 */
    JobCmd_Expire(&command, 2000);
    JobTest_Apply(state, &command);
    ck_assert_ptr_nonnull(JobState_Job(state, "a"));
    JobCmd_Expire(&command, 2001);
    JobTest_Apply(state, &command);
    ck_assert_ptr_null(JobState_Job(state, "a"));
    ck_assert_ptr_nonnull(JobState_Job(state, "b"));
}
END_TEST

typedef struct ConfigCase {
    const char *name;
    JobQueue queues[2];
    size_t count;
    size_t findings;
} ConfigCase;

#define QUEUE(n, pfx, pl, timeout)                                            \
    {                                                                         \
        .name = n, .host = "h", .prefix = pfx, .pool = pl,                    \
        .timeout_ms = timeout, .max_attempts = 2                              \
    }

static const ConfigCase config_cases[] = {
    {"a proper one",
     {QUEUE("a", "/a/", "p", 100), QUEUE("b", "/b/", "p", 1)},
     2,
     0},
    {"an unknown pool", {QUEUE("a", "/a/", "x", 100)}, 1, 1},
    {"two queues in one place",
     {QUEUE("a", "/a/", "p", 100), QUEUE("b", "/a/", "p", 100)},
     2,
     1},
    {"no time", {QUEUE("a", "/a/", "p", 0)}, 1, 1},
    {"all findings at once",
     {QUEUE("a", "/a/", "x", 0), QUEUE("b", "/a/", "y", 0)},
     2,
     5},
};

START_TEST(configurations_are_checked_whole)
{
    const ConfigCase *row = &config_cases[_i];
    JobPool pool = {.name = "p"};
    JobQueue queues[2] = {row->queues[0], row->queues[1]};
    JobConfig config = {1, queues, row->count, &pool, 1, NULL, 0};
    Findings *findings = Findings_New("test");

    JobConfig_Check(&config, findings);
    ck_assert_msg(Findings_Count(findings) == row->findings,
                  "%s: %zu findings", row->name, Findings_Count(findings));
    Findings_Free(findings);
}
END_TEST

START_TEST(the_longest_prefix_wins)
{
    JobQueue queues[2] = {QUEUE("short", "/a/", "p", 1),
                          QUEUE("long", "/a/b/", "p", 1)};
    JobConfig config = {1, queues, 2, NULL, 0, NULL, 0};

    ck_assert_str_eq(JobConfig_Match(&config, "h", "/a/b/x")->name, "long");
    ck_assert_str_eq(JobConfig_Match(&config, "h", "/a/x")->name, "short");
    ck_assert_ptr_null(JobConfig_Match(&config, "h", "/c/x"));
    ck_assert_ptr_null(JobConfig_Match(&config, "other", "/a/x"));
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobstate");
    TCase *tcase = tcase_create("state");

    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_test(tcase, versions_only_rise);
    tcase_add_test(tcase, a_resubmitted_job_is_one_job);
    tcase_add_test(tcase, steps_follow_each_other);
    tcase_add_loop_test(tcase, ends_are_judged, 0,
                        sizeof(end_cases) / sizeof(end_cases[0]));
    tcase_add_test(tcase, failed_attempts_are_bounded);
    tcase_add_test(tcase, lasting_tasks_start_again_however_they_end);
    tcase_add_test(tcase, a_done_run_that_was_given_up_counts_while_it_waits);
    tcase_add_test(tcase, a_cancelled_job_takes_no_assignment);
    tcase_add_test(tcase, a_later_life_ends_the_runs_of_an_earlier_one);
    tcase_add_test(tcase, the_latest_target_of_a_vm_is_found);
    tcase_add_test(tcase, snapshots_hold_everything);
    tcase_add_test(tcase, damaged_snapshots_are_refused);
    tcase_add_test(tcase, ended_jobs_are_forgotten_in_time);
    tcase_add_loop_test(tcase, configurations_are_checked_whole, 0,
                        sizeof(config_cases) / sizeof(config_cases[0]));
    tcase_add_test(tcase, the_longest_prefix_wins);
    suite_add_tcase(suite, tcase);
    return suite;
}
