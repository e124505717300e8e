#include <check.h>
#include <stdio.h>
#include <string.h>

#include "jobsched.h"
#include "support.h"
#include "support_job.h"

/* Guards against jobs that are shown as running, and left out of the number of
 * pending ones, although no task of theirs has started: an assignment may end
 * without a start. */

#define CALL_MS 50

static JobState *state;
static JobSched *sched;
static int64_t now;
static uint64_t term;

/* How the target answers. */
static JobCallOutcome start_outcome;
static JobCallOutcome other_outcome;
static bool lists_run;

static void
setup(void)
{
    JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;

    now = 100000;
    term = 1;
    start_outcome = JOB_CALL_NO_ANSWER;
    other_outcome = JOB_CALL_OK;
    lists_run = false;
    state = JobState_New();
    JobState_SetNow(state, now);
    JobTest_Configure(state, 1);
    sched = JobSched_New(&options, state);
    JobSched_Lead(sched, now, term);
}

static void
teardown(void)
{
    JobSched_Free(sched);
    JobState_Free(state);
}

static void
announce(const char *id, uint64_t born)
{
    static uint64_t order;
    JobAnnouncement announcement = {.room = {16000, 32000, 0},
                                    .born = born,
                                    .vm = "vm1",
                                    .pool = "p",
                                    .address = "10.0.0.1:80",
                                    .clock_ms = now - 90000,
                                    .order = ++order};

    snprintf(announcement.id, sizeof(announcement.id), "%s", id);
    JobSched_HandleAnnouncement(sched, now, &announcement);
}

static void
answer(const JobAction *call, JobCallOutcome outcome)
{
    JobRunning running = {{"a", 0, 0, 0}, 1, 100, 0, ""};
    JobCallAnswer reply = {
        .outcome = outcome,
        .clock_ms = outcome == JOB_CALL_NO_ANSWER ? -1 : now - 90000,
        .born = 10,
        .running = &running,
        .running_count = lists_run ? 1 : 0};

    JobSched_HandleAnswer(sched, now, call, &reply);
}

/* Commits all proposals and answers all calls. Stores the first start that was
 * not answered in *lost, unless it is NULL. */
static void
process_actions(JobAction *lost)
{
    JobAction action;

    while (JobSched_TakeAction(sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            JobTest_Apply(state, &action.command);
            JobSched_HandleProposal(sched, now, action.cookie, ST_OK);
        }
        else if (action.kind == JOB_ACTION_START) {
            if (lost != NULL && lost->attempt == 0) {
                *lost = action;
            }
            answer(&action, start_outcome);
        }
        else {
            answer(&action, other_outcome);
        }
    }
}

static void
run_for(int64_t ms, JobAction *lost)
{
    int64_t until = now + ms;

    while (now < until) {
        now += CALL_MS;
        JobState_SetNow(state, now);
        JobSched_Tick(sched, now, now);
        JobSched_PlaceTasks(sched, now, now);
        process_actions(lost);
    }
}

static void
change_leader(void)
{
    JobSched_Resign(sched);
    JobSched_Lead(sched, now, ++term);
    announce("t1", 10);
    process_actions(NULL);
}

static void
check_phase(const char *name, JobPhase phase)
{
    ck_assert_msg(Job_GetPhase(JobState_FindJob(state, "a")) == phase,
                  "%s: phase %d", name,
                  Job_GetPhase(JobState_FindJob(state, "a")));
    ck_assert_msg(JobState_CountPending(state, "q") == (phase == JOB_QUEUED),
                  "%s: %zu pending", name, JobState_CountPending(state, "q"));
}

typedef enum Then {
    THEN_NOTHING,
    THEN_SILENCE,      /* until the lease has lapsed */
    THEN_LATER_TARGET, /* runs on the VM, and answers no start */
    THEN_NEW_LEADER,
    THEN_NEW_LEADER_AND_SILENCE
} Then;

static const struct {
    const char *name;
    JobCallOutcome start;
    bool listed; /* the target lists the run */
    Then then;
    JobPhase phase;
} cases[] = {
    {"refused for lack of room", JOB_CALL_NO_ROOM, false, THEN_NOTHING,
     JOB_QUEUED},
    {"refused as late", JOB_CALL_LATE, false, THEN_NOTHING, JOB_QUEUED},
    {"refused as not higher than a stopped run", JOB_CALL_STALE, false,
     THEN_NOTHING, JOB_QUEUED},
    {"refused by an unhealthy target", JOB_CALL_UNHEALTHY, false, THEN_NOTHING,
     JOB_QUEUED},
    {"no answer", JOB_CALL_NO_ANSWER, false, THEN_NOTHING, JOB_QUEUED},
    {"no answer, and the target is lost", JOB_CALL_NO_ANSWER, false,
     THEN_SILENCE, JOB_QUEUED},
    {"no answer, and the target is removed", JOB_CALL_NO_ANSWER, false,
     THEN_LATER_TARGET, JOB_QUEUED},
    {"the agent that calls is lost", JOB_CALL_AGENT_LOST, false, THEN_NOTHING,
     JOB_QUEUED},
    {"no answer, and the leader changes", JOB_CALL_NO_ANSWER, false,
     THEN_NEW_LEADER, JOB_QUEUED},
    {"no answer, the leader changes and the target is lost",
     JOB_CALL_NO_ANSWER, false, THEN_NEW_LEADER_AND_SILENCE, JOB_QUEUED},
    {"started", JOB_CALL_OK, true, THEN_NOTHING, JOB_RUNNING},
    {"started without an answer", JOB_CALL_NO_ANSWER, true, THEN_NOTHING,
     JOB_RUNNING},
    {"started, and waits again as the target is lost", JOB_CALL_OK, true,
     THEN_SILENCE, JOB_RUNNING},
    {"started, and waits again as the target is removed", JOB_CALL_OK, true,
     THEN_LATER_TARGET, JOB_RUNNING},
    {"started, and the leader changes", JOB_CALL_OK, true, THEN_NEW_LEADER,
     JOB_RUNNING},
    {"started, the leader changes and the target is lost", JOB_CALL_OK, true,
     THEN_NEW_LEADER_AND_SILENCE, JOB_RUNNING},
};

START_TEST(job_has_begun_once_a_task_has_started)
{
    Buf bytes = BUF_INIT;
    ErrCtx err;

    announce("t1", 10);
    process_actions(NULL);
    JobTest_Submit(state, "a", 1, 1, 500);
    start_outcome = cases[_i].start;
    lists_run = cases[_i].listed;
    run_for(1000, NULL);
    check_phase(cases[_i].name, cases[_i].phase);
    if (cases[_i].then >= THEN_NEW_LEADER) {
        change_leader();
    }
    start_outcome = JOB_CALL_NO_ANSWER;
    lists_run = false;
    if (cases[_i].then == THEN_LATER_TARGET) {
        announce("t2", 20);
    }
    if (cases[_i].then == THEN_SILENCE ||
        cases[_i].then == THEN_NEW_LEADER_AND_SILENCE) {
        other_outcome = JOB_CALL_NO_ANSWER;
    }
    run_for(10000, NULL);
    check_phase(cases[_i].name, cases[_i].phase);
    JobState_Snapshot(state, &bytes);
    JobSched_Resign(sched);
    ck_assert_int_eq(JobState_Restore(state, bytes.data, bytes.len, &err),
                     ST_OK);
    Buf_Free(&bytes);
    check_phase(cases[_i].name, cases[_i].phase);
}
END_TEST

/* The answer of a start comes when its run was given up for another one. */
START_TEST(late_answer_shows_that_a_task_has_started)
{
    JobAction lost = {.attempt = 0};

    announce("t1", 10);
    process_actions(NULL);
    JobTest_Submit(state, "a", 1, 1, 500);
    start_outcome = JOB_CALL_NO_ROOM;
    run_for(2000, &lost);
    check_phase("given up", JOB_QUEUED);
    ck_assert_uint_gt(
        JobState_FindJob(state, "a")->occurrences[0].tasks[0].attempt,
        lost.attempt);
    answer(&lost, JOB_CALL_OK);
    check_phase("late answer", JOB_RUNNING);
}
END_TEST

/* A log of an earlier version does not say which jobs have begun. */
START_TEST(new_leader_learns_what_an_earlier_version_has_started)
{
    announce("t1", 10);
    process_actions(NULL);
    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    check_phase("assigned", JOB_QUEUED);
    lists_run = true;
    change_leader();
    run_for(200, NULL);
    check_phase("listed", JOB_RUNNING);
    run_for(600, NULL);
    ck_assert_int_eq(JobState_FindJob(state, "a")->phase, JOB_RUNNING);
}
END_TEST

static const struct {
    JobEndKind kind;
    uint64_t number;
    JobPhase phase;
} ends[] = {
    {JOB_END_FAILED, 1, JOB_RUNNING}, {JOB_END_STOPPED, 1, JOB_RUNNING},
    {JOB_END_STOPPED, 0, JOB_QUEUED}, {JOB_END_LAPSED, 1, JOB_RUNNING},
    {JOB_END_BROKEN, 1, JOB_RUNNING}, {JOB_END_ALONE, 1, JOB_RUNNING},
    {JOB_END_REFUSED, 0, JOB_QUEUED}, {JOB_END_LOST, 0, JOB_QUEUED},
    {JOB_END_DONE, 1, JOB_COMPLETED},
};

START_TEST(end_shows_whether_a_task_has_started)
{
    JobTest_SetTarget(state, "t1", "vm1", "p", 10, false);
    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobTest_End(state, "a", 0, 0, 1, "t1", ends[_i].kind, ends[_i].number);
    check_phase("end", ends[_i].phase);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobbegin");
    TCase *tcase = tcase_create("begin");

    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_loop_test(tcase, job_has_begun_once_a_task_has_started, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, late_answer_shows_that_a_task_has_started);
    tcase_add_test(tcase,
                   new_leader_learns_what_an_earlier_version_has_started);
    tcase_add_loop_test(tcase, end_shows_whether_a_task_has_started, 0,
                        (int)(sizeof(ends) / sizeof(ends[0])));
    suite_add_tcase(suite, tcase);
    return suite;
}
