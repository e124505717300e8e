#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobsched.h"
#include "support.h"
#include "support_job.h"

#define MAX_CALLS 64
#define ADDRESS "10.0.0.1:80"

/* Messages of an earlier incarnation of a target that arrive late. */

static JobState *state;
static JobSched *sched;
static int64_t now;
static JobAction calls[MAX_CALLS];
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

/* Commits queued proposals at once and appends queued calls to calls. */
static void
process_actions(void)
{
    JobAction action;

    while (JobSched_TakeAction(sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            JobTest_Apply(state, &action.command);
            JobSched_HandleProposal(sched, now, action.cookie, ST_OK);
        }
        else if (call_count < MAX_CALLS) {
            calls[call_count++] = action;
        }
    }
}

/* Returns whether the announcement is acknowledged at once. */
static bool
announce(const char *id, const char *vm, uint64_t born, uint64_t order)
{
    JobAnnouncement announcement = {.address = ADDRESS,
                                    .pool = "p",
                                    .room = {16000, 32000, 0},
                                    .born = born,
                                    .order = order,
                                    .clock_ms = now - 90000};
    bool stored;

    snprintf(announcement.id, sizeof(announcement.id), "%s", id);
    snprintf(announcement.vm, sizeof(announcement.vm), "%s", vm);
    stored = JobSched_HandleAnnouncement(sched, now, &announcement);
    process_actions();
    return stored;
}

static void
tick(int64_t ms)
{
    int64_t until = now + ms;

    while (now < until) {
        now += 50;
        JobSched_Tick(sched, now, now);
        JobSched_PlaceTasks(sched, now, now);
        process_actions();
    }
}

/* Answers all queued calls. Answers with JOB_CALL_OK are those of a target
 * that started at this time and runs what is assigned to it. */
static void
answer_all(JobCallOutcome outcome, uint64_t born)
{
    JobAction answered[MAX_CALLS];
    size_t count = call_count;
    size_t i;
    uint32_t j;

    memcpy(answered, calls, sizeof(answered));
    call_count = 0;
    for (i = 0; i < count; i++) {
        const JobTarget *target = JobState_TargetAt(state, answered[i].row);
        JobRunning running[8];
        JobCallAnswer answer = {.outcome = outcome,
                                .born = born,
                                .clock_ms =
                                    outcome == JOB_CALL_OK ? now - 90000 : -1,
                                .running = running};
        for (j = 0; target != NULL && j < target->run_count && j < 8; j++) {
            running[j] = (JobRunning){
                JobRun_GetTaskRef(&target->runs[j]),
                JobRun_GetTask(&target->runs[j])->attempt, 100, 0, ""};
            answer.running_count = j + 1;
        }
        JobSched_HandleAnswer(sched, now, &answered[i], &answer);
        process_actions();
    }
}

/* Delivers a notice of departure. The target does not answer. */
static void
depart(const char *id)
{
    JobSched_HandleDeparture(sched, now, id);
    process_actions();
    tick(50);
    answer_all(JOB_CALL_NO_ANSWER, 0);
    tick(100);
}

/* Lets the scheduler and a target that answers all calls run for a while. */
static void
run(int64_t ms, uint64_t born)
{
    int64_t until = now + ms;

    while (now < until) {
        tick(50);
        answer_all(JOB_CALL_OK, born);
    }
}

/* Starts a task on t1, which started at this time. */
static void
start_task(uint64_t born)
{
    JobTest_Submit(state, "a", 1, 1, 500);
    run(200, born);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 1);
}

static uint32_t
get_attempt(void)
{
    const JobTaskRef task = {"a", 0, 0, 0};
    Job *job;

    return JobState_FindTask(state, &task, &job)->attempt;
}

/* What happened to t1 before it was given a task. */
typedef enum Past {
    PAST_NONE,     /* its first incarnation runs */
    PAST_DEPARTED, /* an earlier one departed and was removed */
    PAST_REPLACED, /* an earlier one was replaced without a notice */
    PAST_RESTORED, /* as PAST_DEPARTED; the state is read from a snapshot */
} Past;

static void
pass_through_snapshot(void)
{
    Buf bytes = BUF_INIT;
    ErrCtx err;

    JobSched_Resign(sched);
    JobState_Snapshot(state, &bytes);
    ck_assert_int_eq(JobState_Restore(state, bytes.data, bytes.len, &err),
                     ST_OK);
    Buf_Free(&bytes);
    JobSched_Lead(sched, now, 2);
}

static void
live_through(Past past)
{
    announce("t1", "vm1", 10, 1);
    if (past == PAST_NONE) {
        return;
    }
    if (past != PAST_REPLACED) {
        JobTest_SetTarget(state, "t1", "vm1", "p", 10, true);
        depart("t1");
        ck_assert_ptr_null(JobState_FindTarget(state, "t1"));
    }
    announce("t1", "vm1", 20, 1);
    if (past == PAST_RESTORED) {
        pass_through_snapshot();
        announce("t1", "vm1", 20, 2);
    }
    run(200, 20);
}

static const struct {
    const char *name;
    Past past;
    bool leaving; /* t1 has said that it leaves */
    bool removed; /* t1 is removed at once if it does not answer */
} departure_cases[] = {
    {"the only incarnation known has not said that it leaves", PAST_NONE,
     false, false},
    {"the only incarnation departs after it drained", PAST_NONE, true, true},
    {"an earlier incarnation has departed", PAST_DEPARTED, false, false},
    {"an earlier incarnation has departed, this one drains", PAST_DEPARTED,
     true, false},
    {"an earlier incarnation was replaced", PAST_REPLACED, false, false},
    {"an earlier incarnation has departed, before a snapshot", PAST_RESTORED,
     false, false},
};

/* Guards against a second run of a task beside one whose target is taken for
 * ended, because a notice of departure of its earlier incarnation arrived
 * late. */
START_TEST(late_notice_of_departure_ends_no_later_incarnation)
{
    uint64_t born = departure_cases[_i].past == PAST_NONE ? 10 : 20;
    const JobTarget *target;

    live_through(departure_cases[_i].past);
    start_task(born);
    if (departure_cases[_i].leaving) {
        JobTest_SetTarget(state, "t1", "vm1", "p", born, true);
    }
    announce("t2", "vm2", 10, 1);
    JobSched_HandleDeparture(sched, now, "t1");
    target = JobState_FindTarget(state, "t1");
    ck_assert(!JobSched_IsUsable(sched, target, now));
    run(300, born);
    ck_assert_ptr_eq(JobState_FindTarget(state, "t1"), target);
    ck_assert_uint_eq(target->run_count, 1);
    ck_assert_uint_eq(get_attempt(), 1);
    ck_assert(JobSched_IsUsable(sched, target, now) !=
              departure_cases[_i].leaving);
}
END_TEST

/* Guards against a second run of a task beside one whose target could not be
 * reached when the notice arrived, and against tasks that wait for the lease
 * of a target that has surely ended. */
START_TEST(silent_target_is_removed_at_its_own_notice)
{
    uint64_t born = departure_cases[_i].past == PAST_NONE ? 10 : 20;

    live_through(departure_cases[_i].past);
    start_task(born);
    if (departure_cases[_i].leaving) {
        JobTest_SetTarget(state, "t1", "vm1", "p", born, true);
    }
    announce("t2", "vm2", 10, 1);
    depart("t1");
    ck_assert_msg((JobState_FindTarget(state, "t1") == NULL) ==
                      departure_cases[_i].removed,
                  "%s", departure_cases[_i].name);
    ck_assert_uint_eq(get_attempt(), departure_cases[_i].removed ? 2 : 1);
}
END_TEST

/* Guards against a target that stays in the state after it has departed, as
 * its notice could have been one of an earlier incarnation. */
START_TEST(silent_target_that_departed_is_removed_after_its_lease)
{
    const JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;
    bool has_run = _i == 1;
    int64_t departed_ms;

    live_through(PAST_DEPARTED);
    if (has_run) {
        start_task(20);
    }
    depart("t1");
    departed_ms = now;
    while (JobState_FindTarget(state, "t1") != NULL &&
           now - departed_ms < 2 * options.max_lease_ms) {
        tick(50);
        answer_all(JOB_CALL_NO_ANSWER, 0);
    }
    ck_assert_ptr_null(JobState_FindTarget(state, "t1"));
    ck_assert_int_ge(now - departed_ms, has_run ? options.lease_ms / 2 : 0);
    /* It may be alive: a live target that is removed announces itself again,
     * as may a later incarnation. */
    announce("t1", "vm1", 20 + (uint64_t)_i, 2);
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "t1"));
}
END_TEST

static const struct {
    const char *name;
    const char *sender; /* of the late announcement */
    uint64_t born;
    bool departed;     /* t1, which started at 10, departed */
    const char *later; /* id of the next target of vm1, started at 20 */
    bool silent;       /* the next target has been silent since */
    bool added;        /* the sender becomes a target */
} announcement_cases[] = {
    {"departed", "t1", 10, true, "", false, false},
    {"departed, next incarnation", "t1", 11, true, "", false, true},
    {"departed, start time unknown", "t1", 0, true, "", false, true},
    {"another target of its VM has started", "t1", 10, false, "t2", false,
     false},
    {"never seen before, its VM runs a later target", "t0", 9, false, "t2",
     false, false},
    {"never seen before, the later target is silent", "t0", 9, false, "t2",
     true, true},
};

/* Guards against tasks that are assigned to a target that has ended, because
 * an announcement of it arrived late. */
START_TEST(late_announcement_of_ended_target_adds_no_target)
{
    const char *later = announcement_cases[_i].later;
    const char *sender = announcement_cases[_i].sender;
    bool added;

    announce("t1", "vm1", 10, 5);
    if (announcement_cases[_i].departed) {
        JobTest_SetTarget(state, "t1", "vm1", "p", 10, true);
        depart("t1");
    }
    if (later[0] != '\0') {
        announce(later, "vm1", 20, 1);
        run(200, 20);
    }
    if (announcement_cases[_i].silent) {
        tick(5000);
    }
    announce(sender, "vm1", announcement_cases[_i].born, 6);
    added = JobState_FindTarget(state, sender) != NULL;
    ck_assert_msg(added == announcement_cases[_i].added, "%s",
                  announcement_cases[_i].name);
    /* Nothing is to be stored, so that the sender need not repeat it. */
    ck_assert(added ||
              announce(sender, "vm1", announcement_cases[_i].born, 7));
}
END_TEST

/* Guards against a live target that is kept out because it was removed while
 * it could not be reached. */
START_TEST(target_that_was_cut_off_returns)
{
    announce("t1", "vm1", 10, 1);
    while (JobState_FindTarget(state, "t1") != NULL && now < 200000) {
        tick(50);
        answer_all(JOB_CALL_NO_ANSWER, 0);
    }
    ck_assert_ptr_null(JobState_FindTarget(state, "t1"));
    announce("t1", "vm1", 10, 2);
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "t1"));
}
END_TEST

START_TEST(removed_targets_expire)
{
    const JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;

    announce("t1", "vm1", 10, 1);
    JobTest_SetTarget(state, "t1", "vm1", "p", 10, true);
    tick(50);
    depart("t1");
    ck_assert_uint_eq(JobState_RemovedTargetCount(state), 1);
    now += options.status_retention_ms;
    tick(10000);
    ck_assert_uint_eq(JobState_RemovedTargetCount(state), 0);
}
END_TEST

START_TEST(removed_targets_are_bounded)
{
    char id[16];
    Buf command = BUF_INIT;
    int i;

    for (i = 0; i < JOB_MAX_REMOVED_TARGETS + 10; i++) {
        JobRemoval removal = {.alive_from = 11, .wall_ms = now};
        snprintf(id, sizeof(id), "n%d", i);
        JobTest_SetTarget(state, id, id, "p", 10, true);
        removal.serial = JobState_FindTarget(state, id)->serial;
        JobCmd_EncodeTargetGone(&command, &removal);
        ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    }
    ck_assert_uint_eq(JobState_RemovedTargetCount(state),
                      JOB_MAX_REMOVED_TARGETS);
    ck_assert(!JobState_HasTargetEnded(state, "n9", 10));
    ck_assert(JobState_HasTargetEnded(state, "n10", 10));
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobincarnation");
    TCase *tcase = tcase_create("incarnation");

    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_loop_test(
        tcase, late_notice_of_departure_ends_no_later_incarnation, 0,
        (int)(sizeof(departure_cases) / sizeof(departure_cases[0])));
    tcase_add_loop_test(
        tcase, silent_target_is_removed_at_its_own_notice, 0,
        (int)(sizeof(departure_cases) / sizeof(departure_cases[0])));
    tcase_add_loop_test(
        tcase, silent_target_that_departed_is_removed_after_its_lease, 0, 2);
    tcase_add_loop_test(
        tcase, late_announcement_of_ended_target_adds_no_target, 0,
        (int)(sizeof(announcement_cases) / sizeof(announcement_cases[0])));
    tcase_add_test(tcase, target_that_was_cut_off_returns);
    tcase_add_test(tcase, removed_targets_expire);
    tcase_add_test(tcase, removed_targets_are_bounded);
    suite_add_tcase(suite, tcase);
    return suite;
}
