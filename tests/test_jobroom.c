#include <check.h>
#include <stdio.h>
#include <string.h>

#include "jobcodec.h"
#include "jobsched.h"
#include "support.h"
#include "support_job.h"
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

#define MAX_CALLS 64
#define CLOCK_OFFSET_MS 90000

static JobState *state;
static JobSched *sched;
static int64_t now;
static JobAction calls[MAX_CALLS];
static size_t call_count;
static uint64_t order;

/* Configures pool "p" and queue "q", as JobTest_Configure does. */
static void
configure(bool enforces_capacity)
{
    JobQueue queue = {.name = "q", .pool = "p", .max_attempts = 2};
    JobPool pool = {.name = "p", .enforces_capacity = enforces_capacity};
    char text[] = "text";
    JobConfig config = {1, &queue, 1, &pool, 1, NULL, 0, text, 4};
    Buf command = BUF_INIT;

    JobCmd_EncodeConfig(&command, &config);
    JobTest_Apply(state, &command);
}

static void
setup(void)
{
    JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;

    now = 100000;
    call_count = 0;
    order = 0;
    state = JobState_New();
    sched = JobSched_New(&options, state);
    JobSched_Lead(sched, now, 1);
}

static void
teardown(void)
{
    JobSched_Free(sched);
    JobState_Free(state);
}

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

/* Handles an announcement with this room that was made delay_ms ago. */
static void
announce(const char *id, uint32_t cpu, uint32_t memory_mb, int64_t delay_ms)
{
    JobAnnouncement announcement = {
        .room = {cpu, memory_mb, 0}, .born = 10, .order = ++order};

    snprintf(announcement.id, sizeof(announcement.id), "%s", id);
    snprintf(announcement.vm, sizeof(announcement.vm), "vm-%s", id);
    snprintf(announcement.pool, sizeof(announcement.pool), "p");
    snprintf(announcement.address, sizeof(announcement.address), "%s:80", id);
    announcement.clock_ms = now - CLOCK_OFFSET_MS - delay_ms;
    JobSched_HandleAnnouncement(sched, now, &announcement);
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

/* Answers the queued calls of one kind. Holds list the assigned tasks as
 * running if listed is set. */
static void
answer_calls(JobActionKind kind, JobCallOutcome outcome, bool listed)
{
    JobAction answered[MAX_CALLS];
    size_t count = call_count;
    size_t i;
    uint32_t j;

    memcpy(answered, calls, sizeof(answered));
    call_count = 0;
    for (i = 0; i < count; i++) {
        const JobTarget *target = JobState_TargetAt(state, answered[i].row);
        JobRunning running[32];
        JobCallAnswer answer = {.outcome = outcome,
                                .clock_ms = outcome == JOB_CALL_NO_ANSWER
                                                ? -1
                                                : now - CLOCK_OFFSET_MS,
                                .born = 10,
                                .running = running};
        if (answered[i].kind != kind) {
            calls[call_count++] = answered[i];
            continue;
        }
        for (j = 0; target != NULL && listed && j < target->run_count; j++) {
            running[j] = (JobRunning){
                JobRun_GetTaskRef(&target->runs[j]),
                JobRun_GetTask(&target->runs[j])->attempt, 100, 0, ""};
            answer.running_count = j + 1;
        }
        JobSched_HandleAnswer(sched, now, &answered[i], &answer);
    }
    process_actions();
}

static size_t
count_calls(JobActionKind kind, const char *target)
{
    size_t count = 0;
    size_t i;

    for (i = 0; i < call_count; i++) {
        count += calls[i].kind == kind && strcmp(calls[i].id, target) == 0;
    }
    return count;
}

static uint32_t
count_runs(const char *target)
{
    return JobState_FindTarget(state, target)->run_count;
}

/* Guards against a start whose target announced less room while the assignment
 * was in flight in the log. */
START_TEST(assignment_without_room_is_not_started)
{
    configure(_i);
    announce("t1", 4000, 32000, 0);
    process_actions();
    JobTest_Submit(state, "a", 1, 3, 1000);
    now += 50;
    JobSched_PlaceTasks(sched, now, now);
    announce("t1", 1500, 32000, 0);
    process_actions();
    ck_assert_uint_eq(count_calls(JOB_ACTION_START, "t1"), 1);
    ck_assert_uint_eq(count_runs("t1"), 1);
    announce("t2", 4000, 32000, 0);
    process_actions();
    tick(50);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START, "t2"), 2);
}
END_TEST

/* Guards against the loss of an announcement that arrives while an earlier one
 * is in flight in the log. */
START_TEST(latest_announcement_counts_before_it_is_stored)
{
    configure(_i);
    announce("t1", 4000, 32000, 0);
    process_actions();
    announce("t1", 3000, 32000, 0);
    announce("t1", 1500, 32000, 0);
    process_actions();
    JobTest_Submit(state, "a", 1, 3, 1000);
    tick(50);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START, "t1"), 1);
    ck_assert_uint_eq(count_runs("t1"), 1);
}
END_TEST

static const struct {
    const char *name;
    bool enforces_capacity;
    uint32_t cpu; /* room after an unanswered start that needs 1000 */
    uint32_t memory_mb;
    size_t starts;
    size_t stops;
} retry_cases[] = {
    {"the start fits", false, 1000, 32000, 1, 0},
    {"too little CPU", false, 900, 32000, 0, 1},
    {"too little memory", false, 1000, 50, 0, 1},
    {"the target decides", true, 900, 32000, 1, 0},
};

/* Guards against a retried start at a target whose room has shrunk. */
START_TEST(retried_start_needs_room)
{
    configure(retry_cases[_i].enforces_capacity);
    announce("t1", 4000, 32000, 0);
    process_actions();
    JobTest_Submit(state, "a", 1, 1, 1000);
    tick(100);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START, "t1"), 1);
    answer_calls(JOB_ACTION_HOLD, JOB_CALL_OK, false);
    answer_calls(JOB_ACTION_START, JOB_CALL_NO_ANSWER, false);
    announce("t1", retry_cases[_i].cpu, retry_cases[_i].memory_mb, 0);
    process_actions();
    tick(200);
    ck_assert_msg(
        count_calls(JOB_ACTION_START, "t1") == retry_cases[_i].starts &&
            count_calls(JOB_ACTION_STOP, "t1") == retry_cases[_i].stops,
        "%s", retry_cases[_i].name);
    ck_assert_uint_eq(count_runs("t1"), 1);
}
END_TEST

/* Guards against a second place for a task before the stop of a start that may
 * have taken effect has settled. */
START_TEST(unanswered_start_without_room_waits_for_its_end)
{
    configure(false);
    announce("t1", 4000, 32000, 0);
    process_actions();
    JobTest_Submit(state, "a", 1, 1, 1000);
    tick(100);
    answer_calls(JOB_ACTION_HOLD, JOB_CALL_OK, false);
    answer_calls(JOB_ACTION_START, JOB_CALL_NO_ANSWER, false);
    announce("t1", 500, 32000, 0);
    announce("t2", 4000, 32000, 0);
    process_actions();
    tick(200);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START, "t2"), 0);
    answer_calls(JOB_ACTION_HOLD, JOB_CALL_OK, false);
    answer_calls(JOB_ACTION_STOP, JOB_CALL_OK, false);
    ck_assert_uint_eq(count_runs("t1"), 1);
    tick(50);
    answer_calls(JOB_ACTION_HOLD, JOB_CALL_OK, false);
    tick(50);
    ck_assert_uint_eq(count_runs("t1"), 0);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START, "t2"), 1);
}
END_TEST

/* Guards against stops of running tasks by a new leader, which does not know
 * yet that they run. The room shrank below their use. */
START_TEST(new_leader_keeps_runs_that_exceed_the_room)
{
    configure(false);
    announce("t1", 4000, 32000, 0);
    process_actions();
    JobTest_Submit(state, "a", 1, 3, 1000);
    tick(50);
    answer_calls(JOB_ACTION_START, JOB_CALL_OK, false);
    JobSched_Lead(sched, now, 2);
    call_count = 0;
    announce("t1", 1000, 32000, 0);
    process_actions();
    tick(200);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START, "t1"), 0);
    ck_assert_uint_eq(count_calls(JOB_ACTION_STOP, "t1"), 0);
    answer_calls(JOB_ACTION_HOLD, JOB_CALL_OK, true);
    tick(200);
    ck_assert_uint_eq(count_calls(JOB_ACTION_STOP, "t1"), 0);
    ck_assert_uint_eq(count_runs("t1"), 3);
}
END_TEST

static const struct {
    const char *name;
    int64_t silent_ms; /* since the last announcement */
    int64_t delay_ms;  /* of that announcement */
    bool enforces_capacity;
    uint32_t expected; /* runs */
} age_cases[] = {
    {"recent", 3000, 0, false, 1},
    {"outdated", 4000, 0, false, 0},
    {"delayed", 1000, 3000, false, 0},
    {"outdated, but the target decides", 4000, 0, true, 1},
};

/* Guards against starts that rely on an outdated announcement because answers
 * to calls still show that the target is up. */
START_TEST(outdated_room_gets_no_start)
{
    int64_t until;

    configure(age_cases[_i].enforces_capacity);
    announce("t1", 4000, 32000, 0);
    process_actions();
    JobTest_SubmitLasting(state, "b", 1, 1);
    tick(50);
    answer_calls(JOB_ACTION_START, JOB_CALL_OK, false);
    announce("t1", 4000, 32000, age_cases[_i].delay_ms);
    for (until = now + age_cases[_i].silent_ms; now < until;) {
        tick(50);
        answer_calls(JOB_ACTION_HOLD, JOB_CALL_OK, true);
    }
    JobTest_Submit(state, "a", 1, 1, 1000);
    tick(50);
    ck_assert_msg(count_runs("t1") == 1 + age_cases[_i].expected, "%s",
                  age_cases[_i].name);
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
    tcase = tcase_create("starts");
    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_loop_test(tcase, assignment_without_room_is_not_started, 0, 2);
    tcase_add_loop_test(tcase, latest_announcement_counts_before_it_is_stored,
                        0, 2);
    tcase_add_loop_test(tcase, retried_start_needs_room, 0,
                        (int)(sizeof(retry_cases) / sizeof(retry_cases[0])));
    tcase_add_test(tcase, unanswered_start_without_room_waits_for_its_end);
    tcase_add_test(tcase, new_leader_keeps_runs_that_exceed_the_room);
    tcase_add_loop_test(tcase, outdated_room_gets_no_start, 0,
                        (int)(sizeof(age_cases) / sizeof(age_cases[0])));
    suite_add_tcase(suite, tcase);
    return suite;
}
