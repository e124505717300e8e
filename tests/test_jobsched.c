#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobsched.h"
#include "support.h"
#include "support_job.h"

static JobState *state;
static JobSched *sched;
static int64_t now;
static JobAction calls[64];
static size_t call_count;

static void
setup(void)
{
    JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;

    now = 100000;
    call_count = 0;
    state = JobState_New();
    JobTest_Configure(state, 1);
    sched = JobSched_New(&options, state);
    JobSched_Lead(sched, now, 1);
}

static void
teardown(void)
{
    JobSched_Free(sched);
    JobState_Free(state);
}

/* Commits proposals at once and keeps calls. */
static void
take(void)
{
    JobAction action;

    while (JobSched_Next(sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            JobTest_Apply(state, &action.command);
            JobSched_Proposed(sched, now, action.cookie, ST_OK);
        }
        else if (call_count < 64) {
            calls[call_count++] = action;
        }
    }
}

static void
announce(const char *id, const char *vm, uint64_t born)
{
    JobAnnouncement says = {.room = {16000, 32000, 0}, .born = born};
    static uint64_t order;

    snprintf(says.id, sizeof(says.id), "%s", id);
    snprintf(says.vm, sizeof(says.vm), "%s", vm);
    snprintf(says.pool, sizeof(says.pool), "p");
    snprintf(says.address, sizeof(says.address), "10.0.0.1:80");
    says.clock_ms = now - 90000;
    says.order = ++order;
    JobSched_Announce(sched, now, &says);
    take();
}

static void
tick(int64_t ms)
{
    int64_t until = now + ms;

    while (now < until) {
        now += 50;
        JobSched_Tick(sched, now, now);
        JobSched_Place(sched, now, now);
        take();
    }
}

/* Answers all calls that are kept; holds list what runs as at work. */
static void
answer_all(JobCallOutcome outcome)
{
    size_t count = call_count;
    JobAction kept[64];
    size_t i;
    uint32_t j;

    memcpy(kept, calls, sizeof(kept));
    call_count = 0;
    for (i = 0; i < count; i++) {
        const JobTarget *target = JobState_Target(state, kept[i].row);
        JobRunning running[32];
        JobCallAnswer answer = {
            .outcome = outcome,
            .clock_ms = outcome == JOB_CALL_NO_ANSWER ? -1 : now - 90000,
            .running = running};
        for (j = 0; target != NULL && j < target->run_count && j < 32; j++) {
            running[j] = (JobRunning){JobRun_Ref(&target->runs[j]),
                                      JobRun_Task(&target->runs[j])->attempt,
                                      100, 0, ""};
            answer.running_count = j + 1;
        }
        JobSched_Answered(sched, now, &kept[i], &answer);
        take();
    }
}

static size_t
count_calls(JobActionKind kind)
{
    size_t count = 0;
    size_t i;

    for (i = 0; i < call_count; i++) {
        count += calls[i].kind == kind;
    }
    return count;
}

START_TEST(tasks_are_assigned_before_they_start)
{
    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 3, 500);
    tick(50);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 3);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START), 3);
    ck_assert_uint_eq(calls[0].fence >> 20, 1);
}
END_TEST

START_TEST(a_start_without_an_answer_stays_at_its_target)
{
    size_t i;

    announce("t1", "vm1", 10);
    announce("t2", "vm2", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    for (i = 0; i < 4; i++) {
        uint32_t row = calls[0].row;
        ck_assert_uint_gt(count_calls(JOB_ACTION_START), 0);
        answer_all(JOB_CALL_NO_ANSWER);
        call_count = 0;
        tick(400);
        ck_assert_uint_eq(calls[0].row, row);
        ck_assert_uint_eq(calls[0].attempt > 1, 0);
    }
}
END_TEST

START_TEST(a_silent_target_is_granted_nothing_more)
{
    int64_t deadline;
    size_t i;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    deadline = calls[0].deadline_ms;
    for (i = 0; i < 3; i++) {
        answer_all(JOB_CALL_NO_ANSWER);
        tick(400);
    }
    for (i = 0; i < call_count; i++) {
        ck_assert_int_le(calls[i].deadline_ms, deadline);
    }
    tick(6000);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 0);
}
END_TEST

START_TEST(silent_tasks_are_away)
{
    announce("t1", "vm1", 10);
    announce("t2", "vm2", 10);
    JobTest_SubmitLasting(state, "a", 4, 1);
    tick(50);
    answer_all(JOB_CALL_OK);
    tick(100);
    answer_all(JOB_CALL_OK);
    ck_assert_uint_gt(JobState_FindTarget(state, "t1")->run_count, 0);
    ck_assert_uint_gt(JobState_FindTarget(state, "t2")->run_count, 0);
    /* All was at work; then t2 falls silent for longer than a hold. */
    tick(1000);
    answer_all(JOB_CALL_NO_ANSWER);
    tick(1500);
    call_count = 0;
    JobSched_Evacuate(sched, now, JobState_FindTarget(state, "t1"));
    take();
    ck_assert_uint_eq(count_calls(JOB_ACTION_STOP), 0);
}
END_TEST

START_TEST(lasting_tasks_leave_one_by_one)
{
    announce("t1", "vm1", 10);
    announce("t2", "vm2", 10);
    JobTest_SubmitLasting(state, "a", 4, 1);
    tick(50);
    answer_all(JOB_CALL_OK);
    tick(100);
    answer_all(JOB_CALL_OK);
    call_count = 0;
    JobSched_Evacuate(sched, now, JobState_FindTarget(state, "t1"));
    JobSched_Evacuate(sched, now, JobState_FindTarget(state, "t1"));
    take();
    ck_assert_uint_eq(count_calls(JOB_ACTION_STOP), 1);
}
END_TEST

START_TEST(an_idle_target_is_asked_again)
{
    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    answer_all(JOB_CALL_NO_ANSWER);
    tick(400);
    answer_all(JOB_CALL_NO_ANSWER);
    tick(7000); /* its runs are given up */
    answer_all(JOB_CALL_NO_ANSWER);
    call_count = 0;
    ck_assert(
        !JobSched_IsUsable(sched, JobState_FindTarget(state, "t1"), now));
    announce("t1", "vm1", 10);
    tick(500);
    ck_assert_uint_gt(count_calls(JOB_ACTION_HOLD), 0);
    answer_all(JOB_CALL_OK);
    ck_assert(JobSched_IsUsable(sched, JobState_FindTarget(state, "t1"), now));
}
END_TEST

START_TEST(targets_born_in_one_ms_are_told_apart)
{
    JobAnnouncement says = {.room = {16000, 32000, 0}, .born = 10};
    int i;

    /* Both arrive before the first is stored. */
    for (i = 1; i <= 2; i++) {
        snprintf(says.id, sizeof(says.id), "t%d", i);
        snprintf(says.vm, sizeof(says.vm), "vm%d", i);
        snprintf(says.pool, sizeof(says.pool), "p");
        JobSched_Announce(sched, now, &says);
    }
    take();
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "t1"));
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "t2"));
}
END_TEST

START_TEST(a_leaving_target_gets_no_work)
{
    announce("t1", "vm1", 10);
    JobTest_Target(state, "t1", "vm1", "p", 10, true);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(200);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START), 0);
}
END_TEST

START_TEST(cancelled_tasks_are_stopped)
{
    Buf command = BUF_INIT;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 2, 500);
    tick(50);
    answer_all(JOB_CALL_OK);
    JobCmd_Cancel(&command, "a", now);
    JobTest_Apply(state, &command);
    call_count = 0;
    tick(50);
    ck_assert_uint_eq(count_calls(JOB_ACTION_STOP), 2);
}
END_TEST

typedef struct WaitCase {
    uint32_t held;
    int64_t lease_ms;
    int64_t wait_ms;
} WaitCase;

static const WaitCase wait_cases[] = {
    {0, 4000, 1000},   {49, 4000, 1000},   {200, 4000, 1000},
    {350, 4000, 1750}, {5000, 4000, 1800}, {350, 2000, 1000},
};

START_TEST(large_fleets_are_read_less_often)
{
    JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;

    options.lease_ms = wait_cases[_i].lease_ms;
    ck_assert_int_eq(JobSched_HoldWait(&options, wait_cases[_i].held),
                     wait_cases[_i].wait_ms);
}
END_TEST

/* Guards against a slow or failing target that delays most jobs: each of 8
 * jobs of 4 tasks, on targets with room for 8 tasks, is on few of them. */
START_TEST(a_job_is_on_few_targets)
{
    char id[8];
    size_t shared = 0;
    uint32_t i;
    uint32_t j;

    for (i = 0; i < 8; i++) {
        snprintf(id, sizeof(id), "t%u", i);
        announce(id, id, i + 1);
    }
    for (i = 0; i < 8; i++) {
        snprintf(id, sizeof(id), "j%u", i);
        JobTest_Submit(state, id, 1, 4, 2000);
        tick(50);
    }
    for (i = 0; i < 8; i++) {
        const JobTarget *target = JobState_Target(state, i);
        for (j = 1; j < target->run_count; j++) {
            shared += target->runs[j].job == target->runs[j - 1].job;
        }
    }
    ck_assert_uint_eq(shared, 8 * 3);
    /* 32 tasks of 2 cores fill 4 targets; the others are free to move. */
    for (i = 0, j = 0; i < 8; i++) {
        j += JobState_Target(state, i)->run_count == 0;
    }
    ck_assert_uint_eq(j, 4);
}
END_TEST

/* Guards against ends that stay unseen for a second because the answer of one
 * hold is lost, and against frequent holds where nothing ends. */
START_TEST(holds_wait_less_for_short_work)
{
    JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;
    size_t i;
    int64_t wait = -1;

    announce("t1", "vm1", 10);
    if (_i == 0) {
        JobTest_Submit(state, "a", 1, 1, 500);
    }
    else {
        JobTest_SubmitLasting(state, "a", 1, 0);
    }
    tick(100);
    answer_all(JOB_CALL_OK);
    tick(100);
    for (i = 0; i < call_count; i++) {
        wait = calls[i].kind == JOB_ACTION_HOLD ? calls[i].wait_ms : wait;
    }
    ck_assert_int_eq(wait,
                     _i == 0 ? options.short_wait_ms : options.hold_wait_ms);
}
END_TEST

/* Guards against a new leader that knows neither the demand nor run times: it
 * took the declared time of each task, and no rate, until it had seen both. */
START_TEST(a_new_leader_knows_demand_and_run_times)
{
    JobPoolLoad load;
    uint32_t i;

    announce("t1", "vm1", 10);
    JobSched_Resign(sched);
    JobTest_Submit(state, "a", 1, 10, 1000);
    for (i = 0; i < 10; i++) {
        JobState_SetNow(state, now);
        JobTest_Assign(state, "a", 0, i, 1, "t1");
        JobState_SetNow(state, now + 3000);
        JobTest_End(state, "a", 0, i, 1, "t1", JOB_END_DONE, i + 1);
    }
    now += 10000;
    JobState_SetNow(state, now);
    JobTest_Submit(state, "b", 1, 10, 1000);
    now += 500;
    JobSched_Lead(sched, now, 2);
    JobSched_PoolLoad(sched, now, "p", 0, &load);
    /* 10 tasks of a core for 3 s came within the last second. */
    ck_assert_int_gt(load.arriving, 27000);
    ck_assert_int_lt(load.arriving, 70000);
}
END_TEST

/* Guards against a node that learns nothing after it has read a snapshot: its
 * pools stayed as they were for the rest of the day. */
START_TEST(learning_goes_on_after_a_snapshot)
{
    JobPoolLoad load;
    Buf snapshot = BUF_INIT;
    ErrCtx err = {ST_OK, ""};

    JobState_SetNow(state, now);
    JobState_Snapshot(state, &snapshot);
    ck_assert_int_eq(
        JobState_Restore(state, snapshot.data, snapshot.len, &err), ST_OK);
    JobTest_Submit(state, "a", 1, 10, 1000);
    JobSched_PoolLoad(sched, now + 100, "p", 0, &load);
    ck_assert_int_gt(load.arriving, 0);
    Buf_Free(&snapshot);
}
END_TEST

/* Guards against demand that a restarted node sees all at once while it
 * applies its log. */
START_TEST(a_node_that_catches_up_learns_nothing)
{
    JobPoolLoad load;

    JobState_SetLive(state, false);
    JobState_SetNow(state, now);
    JobTest_Submit(state, "a", 1, 10, 1000);
    JobState_SetLive(state, true);
    JobSched_PoolLoad(sched, now + 100, "p", 0, &load);
    ck_assert_int_eq(load.arriving, 0);
}
END_TEST

/* Guards against an acknowledgement meant for the earlier life of a target
 * that was born again unseen: the new life would forget its own first ends. */
START_TEST(no_acknowledgement_for_an_unknown_life)
{
    uint64_t acks[3] = {9, 9, 9};
    size_t i;
    int round;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 2, 1, 500);
    tick(100);
    answer_all(JOB_CALL_OK);
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_DONE, 7);
    tick(100);
    answer_all(JOB_CALL_OK);
    /* Then an answer is missing, and then another node leads. */
    for (round = 0; round < 3; round++) {
        if (round == 1) {
            answer_all(JOB_CALL_NO_ANSWER);
        }
        if (round == 2) {
            JobSched_Lead(sched, now, 2);
            call_count = 0;
        }
        tick(400);
        for (i = 0; i < call_count; i++) {
            acks[round] =
                calls[i].kind == JOB_ACTION_HOLD ? calls[i].ack : acks[round];
        }
    }
    ck_assert_uint_eq(acks[0], 7);
    ck_assert_uint_eq(acks[1], 0);
    ck_assert_uint_eq(acks[2], 0);
}
END_TEST

/* Guards against work for a target that was born again unseen: its clock
 * stands before the one that was read last. */
START_TEST(a_clock_that_went_back_shows_another_life)
{
    JobCallAnswer answer = {.outcome = JOB_CALL_OK, .clock_ms = 5};
    const JobTarget *target;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(100);
    ck_assert_uint_gt(call_count, 0);
    JobSched_Answered(sched, now, &calls[0], &answer);
    target = JobState_FindTarget(state, "t1");
    ck_assert(!JobSched_IsUsable(sched, target, now));
    call_count = 0;
    tick(100);
    ck_assert_uint_eq(count_calls(JOB_ACTION_HOLD), 1);
    ck_assert_uint_eq(calls[0].ack, 0);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobsched");
    TCase *tcase = tcase_create("sched");

    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_test(tcase, tasks_are_assigned_before_they_start);
    tcase_add_test(tcase, a_start_without_an_answer_stays_at_its_target);
    tcase_add_test(tcase, a_silent_target_is_granted_nothing_more);
    tcase_add_test(tcase, silent_tasks_are_away);
    tcase_add_test(tcase, lasting_tasks_leave_one_by_one);
    tcase_add_test(tcase, an_idle_target_is_asked_again);
    tcase_add_test(tcase, targets_born_in_one_ms_are_told_apart);
    tcase_add_test(tcase, a_leaving_target_gets_no_work);
    tcase_add_test(tcase, a_job_is_on_few_targets);
    tcase_add_test(tcase, no_acknowledgement_for_an_unknown_life);
    tcase_add_test(tcase, a_clock_that_went_back_shows_another_life);
    tcase_add_test(tcase, a_new_leader_knows_demand_and_run_times);
    tcase_add_test(tcase, a_node_that_catches_up_learns_nothing);
    tcase_add_test(tcase, learning_goes_on_after_a_snapshot);
    tcase_add_loop_test(tcase, holds_wait_less_for_short_work, 0, 2);
    tcase_add_test(tcase, cancelled_tasks_are_stopped);
    tcase_add_loop_test(tcase, large_fleets_are_read_less_often, 0,
                        (int)(sizeof(wait_cases) / sizeof(wait_cases[0])));
    suite_add_tcase(suite, tcase);
    return suite;
}
