#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobsched.h"
#include "support.h"
#include "support_job.h"

#define MAX_CALLS 64
#define MAX_IN_FLIGHT 8

static JobState *state;
static JobSched *sched;
static int64_t now;
static JobAction calls[MAX_CALLS];
static size_t call_count;
static JobAction in_flight[MAX_IN_FLIGHT];
static size_t in_flight_count;

static void
setup(void)
{
    JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;

    now = 100000;
    call_count = 0;
    in_flight_count = 0;
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

/* Appends queued proposals to in_flight and queued calls to calls. */
static void
take_actions(void)
{
    JobAction action;

    while (JobSched_TakeAction(sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            ck_assert_uint_lt(in_flight_count, MAX_IN_FLIGHT);
            in_flight[in_flight_count++] = action;
        }
        else if (call_count < MAX_CALLS) {
            calls[call_count++] = action;
        }
    }
}

/* Commits the first proposal in flight. */
static void
commit_first(void)
{
    JobAction action = in_flight[0];

    ck_assert_uint_gt(in_flight_count, 0);
    in_flight_count--;
    memmove(in_flight, in_flight + 1, in_flight_count * sizeof(in_flight[0]));
    JobTest_Apply(state, &action.command);
    JobSched_HandleProposal(sched, now, action.cookie, ST_OK);
}

/* Returns whether the announcement may be acknowledged at once. */
static bool
announce_at(const char *id, const char *vm, uint64_t born, const char *address)
{
    JobAnnouncement announcement = {.room = {16000, 32000, 0}, .born = born};
    static uint64_t order;

    snprintf(announcement.id, sizeof(announcement.id), "%s", id);
    snprintf(announcement.vm, sizeof(announcement.vm), "%s", vm);
    snprintf(announcement.pool, sizeof(announcement.pool), "p");
    snprintf(announcement.address, sizeof(announcement.address), "%s",
             address);
    announcement.clock_ms = now - 90000;
    announcement.order = ++order;
    return JobSched_HandleAnnouncement(sched, now, &announcement);
}

static bool
announce(const char *id, const char *vm, uint64_t born)
{
    bool stored = announce_at(id, vm, born, "10.0.0.1:80");

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

/* Answers all queued calls. Each answer lists every assigned task as running
 * at 100 percent. */
static void
answer_all(JobCallOutcome outcome)
{
    size_t count = call_count;
    JobAction answered[64];
    size_t i;
    uint32_t j;

    memcpy(answered, calls, sizeof(answered));
    call_count = 0;
    for (i = 0; i < count; i++) {
        const JobTarget *target = JobState_TargetAt(state, answered[i].row);
        JobRunning running[32];
        JobCallAnswer answer = {
            .outcome = outcome,
            .clock_ms = outcome == JOB_CALL_NO_ANSWER ? -1 : now - 90000,
            .running = running};
        for (j = 0; target != NULL && j < target->run_count && j < 32; j++) {
            running[j] = (JobRunning){
                JobRun_GetTaskRef(&target->runs[j]),
                JobRun_GetTask(&target->runs[j])->attempt, 100, 0, ""};
            answer.running_count = j + 1;
        }
        JobSched_HandleAnswer(sched, now, &answered[i], &answer);
        process_actions();
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

/* Answers the queued holds as a new incarnation that runs nothing. */
static void
finish_restart_check(uint64_t born)
{
    JobCallAnswer answer = {
        .outcome = JOB_CALL_OK, .clock_ms = 5, .born = born};
    JobAction answered[MAX_CALLS];
    size_t count;
    size_t i;

    tick(50);
    count = call_count;
    memcpy(answered, calls, sizeof(answered));
    call_count = 0;
    for (i = 0; i < count; i++) {
        if (answered[i].kind == JOB_ACTION_HOLD) {
            JobSched_HandleAnswer(sched, now, &answered[i], &answer);
        }
    }
    process_actions();
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

START_TEST(unanswered_start_is_retried_at_same_target)
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

START_TEST(silent_target_lease_is_not_extended)
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

/* A delayed call to an earlier incarnation gives a target that started a
 * moment ago its longest lease, so its silence is waited out for that long. */
START_TEST(run_on_young_target_is_kept_for_the_longest_lease)
{
    const JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;
    int64_t known_ms = now;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    while (now < known_ms + options.max_lease_ms) {
        ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 1);
        answer_all(JOB_CALL_NO_ANSWER);
        tick(100);
    }
    tick(2000);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 0);
}
END_TEST

START_TEST(target_without_a_lease_gets_no_work)
{
    const JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;
    JobTaskRef task = {"b", 0, 0, 0};
    int64_t until = now + 2 * options.max_lease_ms;
    const JobTask *found;
    Job *job;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    answer_all(JOB_CALL_NO_ANSWER);
    while (now < until) {
        tick(500);
        announce("t1", "vm1", 10);
        answer_all(JOB_CALL_AGENT_LOST);
    }
    JobTest_Submit(state, "b", 1, 1, 500);
    for (until = now + 3000; now < until;) {
        tick(500);
        announce("t1", "vm1", 10);
        answer_all(JOB_CALL_AGENT_LOST);
    }
    found = JobState_FindTask(state, &task, &job);
    /* Without an open occurrence, none of its tasks was ever assigned. */
    ck_assert(found != NULL ? found->attempt <= 1 : job->phase == JOB_QUEUED);
}
END_TEST

/* An announcement of another deployment's process, which names a pool that is
 * not in the configuration, ended the target of the VM that it named. */
static const struct {
    const char *name;
    const char *id;
} foreign_cases[] = {
    {"an id of its own", "agent-1"},
    {"the id of the target", "t1"},
};

START_TEST(announcement_of_unknown_pool_changes_nothing)
{
    const JobTarget *target;
    JobAnnouncement foreign = {.vm = "vm1",
                               .pool = "backup-agent",
                               .address = "10.0.0.9:80",
                               .room = {100, 64, 0},
                               .born = 20,
                               .order = 1000};

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    answer_all(JOB_CALL_OK);
    snprintf(foreign.id, sizeof(foreign.id), "%s", foreign_cases[_i].id);
    foreign.clock_ms = now;
    ck_assert(JobSched_HandleAnnouncement(sched, now, &foreign));
    tick(200);
    target = JobState_FindTarget(state, "t1");
    ck_assert_msg(target != NULL && target->run_count == 1,
                  "%s: the target is gone", foreign_cases[_i].name);
    ck_assert_str_eq(target->announcement.pool, "p");
    ck_assert_uint_eq(target->announcement.born, 10);
    ck_assert(JobSched_IsUsable(sched, target, now));
    ck_assert_ptr_null(JobState_FindTarget(state, "agent-1"));
}
END_TEST

START_TEST(tasks_of_silent_target_are_unavailable)
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
    /* All tasks are available until t2 is silent for longer than a hold. */
    tick(1000);
    answer_all(JOB_CALL_NO_ANSWER);
    tick(1500);
    call_count = 0;
    JobSched_Evacuate(sched, now, JobState_FindTarget(state, "t1"));
    process_actions();
    ck_assert_uint_eq(count_calls(JOB_ACTION_STOP), 0);
}
END_TEST

START_TEST(evacuation_respects_max_unavailable)
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
    process_actions();
    ck_assert_uint_eq(count_calls(JOB_ACTION_STOP), 1);
}
END_TEST

START_TEST(idle_target_is_polled_when_announced_again)
{
    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    answer_all(JOB_CALL_NO_ANSWER);
    tick(400);
    answer_all(JOB_CALL_NO_ANSWER);
    tick(7000); /* the runs of t1 are declared lost */
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

/* The hold is sent while the announcement of the restart is not stored. */
START_TEST(unanswered_hold_of_earlier_incarnation_does_not_block_target)
{
    announce("t1", "vm1", 10);
    announce_at("t1", "vm1", 20, "10.0.0.1:80");
    now += 50;
    JobSched_Tick(sched, now, now);
    process_actions();
    ck_assert_uint_eq(count_calls(JOB_ACTION_HOLD), 1);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->announcement.born, 20);
    answer_all(JOB_CALL_NO_ANSWER);
    tick(1000);
    ck_assert_uint_eq(count_calls(JOB_ACTION_HOLD), 1);
    finish_restart_check(20);
    ck_assert(JobSched_IsUsable(sched, JobState_FindTarget(state, "t1"), now));
}
END_TEST

/* The restart is committed before the assignment. */
START_TEST(assignment_to_earlier_incarnation_keeps_no_room)
{
    Buf command = BUF_INIT;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    now += 50;
    JobSched_PlaceTasks(sched, now, now);
    take_actions();
    ck_assert_uint_eq(in_flight_count, 1);
    JobTest_SetTarget(state, "t1", "vm1", "p", 20, false);
    commit_first();
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 0);
    JobCmd_EncodeCancel(&command, "a", now, "");
    JobTest_Apply(state, &command);
    tick(50);
    ck_assert(JobSched_IsIdle(sched, JobState_FindTarget(state, "t1")));
}
END_TEST

/* The change of room and the restart are committed one after the other. */
START_TEST(task_is_not_started_again_before_its_end_with_a_restart)
{
    JobAnnouncement announcement = {.id = "t1",
                                    .pool = "p",
                                    .vm = "vm1",
                                    .address = "10.0.0.1:80",
                                    .room = {8000, 32000, 0},
                                    .born = 10,
                                    .order = 1000};
    JobCallAnswer answer = {.outcome = JOB_CALL_OK, .clock_ms = 5, .born = 20};
    size_t i;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    answer_all(JOB_CALL_NO_ANSWER);
    announcement.clock_ms = now - 90000;
    JobSched_HandleAnnouncement(sched, now, &announcement);
    announcement.born = 20;
    announcement.clock_ms = 5;
    JobSched_HandleAnnouncement(sched, now, &announcement);
    now += 50;
    JobSched_Tick(sched, now, now);
    take_actions();
    for (i = 0; i < call_count; i++) {
        if (calls[i].kind == JOB_ACTION_HOLD) {
            JobSched_HandleAnswer(sched, now, &calls[i], &answer);
        }
    }
    take_actions();
    /* The change of room, the crash and the end of the restart check. */
    ck_assert_uint_eq(in_flight_count, 3);
    call_count = 0;
    commit_first();
    now += 200;
    JobSched_Tick(sched, now, now);
    take_actions();
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 1);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START), 0);
    ck_assert(
        !JobSched_IsUsable(sched, JobState_FindTarget(state, "t1"), now));
    commit_first();
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 1);
    commit_first();
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 0);
    now += 50;
    JobSched_Tick(sched, now, now);
    process_actions();
    answer_all(JOB_CALL_OK);
    ck_assert(JobSched_IsUsable(sched, JobState_FindTarget(state, "t1"), now));
}
END_TEST

typedef struct UnansweredCase {
    int64_t silence_ms; /* between the announcement and the start */
    uint32_t score;
} UnansweredCase;

static const UnansweredCase unanswered_cases[] = {{100, 4}, {1400, 2}};

/* A task that crashes its target before the answer of the start is sent. */
START_TEST(crash_after_unanswered_start_is_counted)
{
    const UnansweredCase *row = &unanswered_cases[_i];
    const JobTaskRef ref = {"a", 0, 0, 0};
    Job *job;

    announce("t1", "vm1", 10);
    tick(row->silence_ms);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START), 1);
    now += 10;
    answer_all(JOB_CALL_NO_ANSWER);
    now += 3000;
    announce("t2", "vm1", 20);
    ck_assert_uint_eq(JobState_FindTask(state, &ref, &job)->crash_score,
                      row->score);
}
END_TEST

START_TEST(runs_of_target_that_keeps_restarting_are_lost)
{
    int i;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    for (i = 1; i <= 12; i++) {
        answer_all(JOB_CALL_NO_ANSWER);
        announce("t1", "vm1", 10 + (uint64_t)i);
        tick(5000);
        if (JobState_FindTarget(state, "t1")->run_count == 0) {
            break;
        }
    }
    ck_assert_int_le(i, 4);
}
END_TEST

START_TEST(new_target_is_proposed_once_while_log_is_slow)
{
    int i;

    for (i = 0; i < 5; i++) {
        announce_at("t1", "vm1", 10, "10.0.0.1:80");
        now += 1500;
        JobSched_Tick(sched, now, now);
        take_actions();
    }
    ck_assert_uint_eq(in_flight_count, 1);
    commit_first();
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "t1"));
}
END_TEST

START_TEST(long_checkpoint_does_not_hold_back_ends)
{
    char checkpoint[1000];
    JobEnd ends[2];
    JobCallAnswer answer = {
        .outcome = JOB_CALL_OK, .born = 10, .ends = ends, .end_count = 2};
    const JobTarget *target;
    size_t i;

    memset(checkpoint, 'c', sizeof(checkpoint) - 1);
    checkpoint[sizeof(checkpoint) - 1] = '\0';
    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 2, 500);
    tick(50);
    answer_all(JOB_CALL_OK);
    target = JobState_FindTarget(state, "t1");
    for (i = 0; i < 2; i++) {
        ends[i] = (JobEnd){JobRun_GetTaskRef(&target->runs[i]), 1,
                           i == 0 ? JOB_END_STOPPED : JOB_END_DONE, i + 1,
                           i == 0 ? checkpoint : ""};
    }
    tick(50);
    for (i = 0; i < call_count; i++) {
        answer.clock_ms = now - 90000;
        if (calls[i].kind == JOB_ACTION_HOLD) {
            JobSched_HandleAnswer(sched, now, &calls[i], &answer);
        }
    }
    process_actions();
    ck_assert_uint_eq(target->last_applied_end, 2);
    ck_assert_uint_eq(target->run_count, 0);
}
END_TEST

START_TEST(targets_with_same_start_time_are_distinct)
{
    JobAnnouncement announcement = {.room = {16000, 32000, 0}, .born = 10};
    int i;

    /* Both announcements arrive before the first is stored. */
    for (i = 1; i <= 2; i++) {
        snprintf(announcement.id, sizeof(announcement.id), "t%d", i);
        snprintf(announcement.vm, sizeof(announcement.vm), "vm%d", i);
        snprintf(announcement.pool, sizeof(announcement.pool), "p");
        JobSched_HandleAnnouncement(sched, now, &announcement);
    }
    process_actions();
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "t1"));
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "t2"));
}
END_TEST

/* Guards against a lasting task that waits without end while others, which
 * leave their targets for a wave, get each free target: tasks of its job with
 * lower numbers, and those of an older job. */
START_TEST(lasting_task_that_waits_longest_is_placed_first)
{
    bool of_older_job = _i == 1;
    JobTaskRef waiting = {"a", 0, 0, 2};
    Job *job;

    announce("t1", "vm1", 10);
    JobTest_SubmitLasting(state, "a", 3, 3);
    if (of_older_job) {
        waiting = (JobTaskRef){"b", 0, 0, 0};
        JobTest_SubmitLasting(state, "b", 1, 1);
    }
    tick(50);
    /* The task ends while no target takes it, and the other one later. */
    JobTest_SetTarget(state, "t1", "vm1", "p", 10, true);
    JobTest_End(state, waiting.job, 0, waiting.index, 1, "t1", JOB_END_FAILED,
                1);
    tick(500);
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_STOPPED, 2);
    tick(500);
    /* A target with room for one of them. */
    JobTest_Submit(state, "c", 1, 1, 15000);
    announce("t2", "vm2", 10);
    JobTest_Assign(state, "c", 0, 0, 1, "t2");
    tick(100);
    ck_assert_int_eq(JobState_FindTask(state, &waiting, &job)->state,
                     JOB_TASK_ASSIGNED);
}
END_TEST

START_TEST(leaving_target_gets_no_work)
{
    announce("t1", "vm1", 10);
    JobTest_SetTarget(state, "t1", "vm1", "p", 10, true);
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
    JobCmd_EncodeCancel(&command, "a", now, "");
    JobTest_Apply(state, &command);
    call_count = 0;
    tick(50);
    ck_assert_uint_eq(count_calls(JOB_ACTION_STOP), 2);
}
END_TEST

static const struct {
    const char *name;
    const char *next_address; /* announced while the call is in flight */
    bool stored;              /* before the answer */
    bool expected;            /* the target keeps its run */
} other_instance_cases[] = {
    {"another target has the address", "10.0.0.1:80", true, false},
    {"address has changed", "10.0.0.2:80", true, true},
    {"new address is being stored", "10.0.0.2:80", false, true},
};

/* Guards against a second run of a task that still runs at the target's new
 * address. */
START_TEST(answer_from_former_address_removes_no_target)
{
    JobCallAnswer answer = {.outcome = JOB_CALL_OTHER_INSTANCE,
                            .clock_ms = -1};
    const JobTarget *target;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    ck_assert_uint_gt(call_count, 0);
    announce_at("t1", "vm1", 10, other_instance_cases[_i].next_address);
    if (other_instance_cases[_i].stored) {
        process_actions();
    }
    JobSched_HandleAnswer(sched, now, &calls[0], &answer);
    process_actions();
    target = JobState_FindTarget(state, "t1");
    ck_assert_msg((target != NULL && target->run_count == 1) ==
                      other_instance_cases[_i].expected,
                  "%s", other_instance_cases[_i].name);
}
END_TEST

static const struct {
    const char *name;
    bool has_runs;          /* of the earlier incarnation */
    bool announced;         /* before the notice of leaving */
    uint64_t answered_born; /* 0: the target does not state it */
} restart_cases[] = {
    {"idle", false, false, 11},
    {"with runs", true, false, 11},
    {"idle, no start time", false, false, 0},
    {"with runs, no start time", true, false, 0},
    {"idle, stored before, no start time", false, true, 0},
    {"with runs, announced before", true, true, 11},
};

/* Guards against a start on a restarted target whose notice of leaving was
 * acknowledged but not stored. */
START_TEST(leaving_of_restarted_target_is_stored_before_its_acknowledgement)
{
    JobAnnouncement announcement = {.id = "t1",
                                    .address = "10.0.0.1:80",
                                    .pool = "p",
                                    .vm = "vm1",
                                    .room = {16000, 32000, 0},
                                    .born = 11,
                                    .order = 1000,
                                    .clock_ms = -1,
                                    .leaving = true};
    bool has_runs = restart_cases[_i].has_runs;
    const JobTarget *target;

    announce("t1", "vm1", 10);
    if (has_runs) {
        JobTest_Submit(state, "a", 1, 1, 500);
        tick(50);
        ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 1);
        call_count = 0;
    }
    if (restart_cases[_i].announced) {
        announce("t1", "vm1", 11);
    }
    ck_assert(JobSched_MayStore(sched, &announcement) == !has_runs);
    ck_assert(!JobSched_HandleAnnouncement(sched, now, &announcement));
    process_actions();
    target = JobState_FindTarget(state, "t1");
    ck_assert_msg(target->announcement.leaving == !has_runs, "%s",
                  restart_cases[_i].name);
    finish_restart_check(restart_cases[_i].answered_born);
    ck_assert_uint_eq(target->announcement.born, 11);
    ck_assert_msg(target->announcement.leaving, "%s", restart_cases[_i].name);
    ck_assert(JobSched_HandleAnnouncement(sched, now, &announcement));
    JobTest_Submit(state, "b", 1, 1, 500);
    tick(500);
    answer_all(JOB_CALL_OK);
    tick(500);
    ck_assert_msg(!JobSched_IsUsable(sched, target, now), "%s",
                  restart_cases[_i].name);
    ck_assert_uint_eq(target->run_count, 0);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START), 0);
}
END_TEST

/* Guards against a target that stays out of use because its earlier
 * incarnation was leaving. */
START_TEST(restart_ends_the_leaving_of_the_earlier_incarnation)
{
    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    JobTest_SetTarget(state, "t1", "vm1", "p", 10, true);
    call_count = 0;
    announce("t1", "vm1", 11);
    finish_restart_check(11);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->announcement.born, 11);
    ck_assert(!JobState_FindTarget(state, "t1")->announcement.leaving);
}
END_TEST

/* Guards against tasks that start where a target has restarted as one of
 * another kind, before it has announced that. */
START_TEST(restarted_target_gets_no_task_before_it_has_announced_itself)
{
    JobAnnouncement announcement = {.id = "t1",
                                    .pool = "p",
                                    .vm = "vm1",
                                    .address = "10.0.0.1:80",
                                    .labels = {"b"},
                                    .label_count = 1,
                                    .room = {16000, 32000, 0},
                                    .born = 10,
                                    .order = 1000};
    const JobTarget *target;

    announcement.clock_ms = now - 90000;
    JobSched_HandleAnnouncement(sched, now, &announcement);
    process_actions();
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    target = JobState_FindTarget(state, "t1");
    ck_assert_uint_eq(target->run_count, 1);
    JobTest_Submit(state, "b", 1, 1, 0);
    if (_i == 1) { /* a clock that went back shows the restart */
        call_count = 0;
        announcement.clock_ms = 1;
        JobSched_HandleAnnouncement(sched, now, &announcement);
    }
    finish_restart_check(20);
    finish_restart_check(20);
    ck_assert_uint_eq(target->announcement.born, 20);
    ck_assert_uint_eq(target->announcement.label_count, 0);
    tick(500);
    ck_assert(!JobSched_IsUsable(sched, target, now));
    ck_assert_uint_eq(target->run_count, 0);
    announcement.born = 20;
    announcement.clock_ms = now - 90000;
    announcement.labels[0][0] = 'a';
    JobSched_HandleAnnouncement(sched, now, &announcement);
    process_actions();
    ck_assert_str_eq(target->announcement.labels[0], "a");
    tick(500);
    ck_assert(JobSched_IsUsable(sched, target, now));
}
END_TEST

/* Handles an announcement as a request does: stores it at once if it may.
 * Returns whether the request is acknowledged. */
static bool
request_announcement(const JobAnnouncement *announcement)
{
    bool may_store = JobSched_MayStore(sched, announcement);
    Buf command = BUF_INIT;

    if (JobSched_HandleAnnouncement(sched, now, announcement)) {
        return true;
    }
    if (may_store) {
        JobCmd_EncodeTarget(&command, announcement);
        JobTest_Apply(state, &command);
    }
    return may_store;
}

/* Guards against an acknowledged notice of leaving that is revoked by an
 * earlier announcement, because that is stored after it. */
START_TEST(leaving_is_stored_after_earlier_announcements)
{
    JobAnnouncement announcement = {
        .id = "t1", .vm = "vm1", .pool = "p", .born = 10};
    JobAnnouncement notice = announcement;
    bool is_new = _i == 1;
    bool acknowledged;

    notice.leaving = true;
    notice.order = 1000;
    if (!is_new) {
        announce("t1", "vm1", 10);
        announcement.order = 999;
    }
    JobSched_HandleAnnouncement(sched, now, &announcement);
    acknowledged = request_announcement(&notice);
    process_actions();
    ck_assert(!acknowledged ||
              JobState_FindTarget(state, "t1")->announcement.leaving);
    ck_assert(request_announcement(&notice));
    process_actions();
    ck_assert(JobState_FindTarget(state, "t1")->announcement.leaving);
}
END_TEST

/* Guards against a restarted target whose announcements, its notice of leaving
 * too, are taken for late ones because their numbers begin again. */
START_TEST(new_incarnation_numbers_its_announcements_anew)
{
    JobAnnouncement announcement = {
        .id = "t1", .vm = "vm1", .pool = "p", .born = 10, .order = 1000};

    JobSched_HandleAnnouncement(sched, now, &announcement);
    process_actions();
    JobSched_HandleAnnouncement(sched, now, &announcement);
    announcement.born = 11;
    announcement.order = 1;
    JobSched_HandleAnnouncement(sched, now, &announcement);
    process_actions();
    announcement.order = 2;
    announcement.leaving = true;
    ck_assert(!JobSched_HandleAnnouncement(sched, now, &announcement));
    process_actions();
    ck_assert(JobState_FindTarget(state, "t1")->announcement.leaving);
}
END_TEST

/* A start without an answer may be carried out later than a refused stop. */
START_TEST(refused_stop_does_not_settle_a_start)
{
    size_t round;

    announce("t1", "vm1", 10);
    announce("t2", "vm2", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(50);
    ck_assert_uint_eq(count_calls(JOB_ACTION_START), 1);
    answer_all(JOB_CALL_NO_ANSWER);
    for (round = 0; round < 40; round++) {
        JobAction answered[MAX_CALLS];
        size_t count = call_count;
        size_t i;
        memcpy(answered, calls, sizeof(answered));
        call_count = 0;
        for (i = 0; i < count; i++) {
            JobCallAnswer answer = {.outcome =
                                        answered[i].kind == JOB_ACTION_HOLD
                                            ? JOB_CALL_OK
                                            : JOB_CALL_UNHEALTHY,
                                    .clock_ms = now - 90000};
            JobSched_HandleAnswer(sched, now, &answered[i], &answer);
            process_actions();
        }
        tick(50);
        for (i = 0; i < call_count; i++) {
            ck_assert_msg(calls[i].kind != JOB_ACTION_START ||
                              calls[i].attempt == 1,
                          "round %zu: attempt %u starts before the first is "
                          "settled",
                          round, calls[i].attempt);
        }
    }
}
END_TEST

typedef struct WaitCase {
    uint32_t busy_targets;
    int64_t lease_ms;
    int64_t wait_ms;
} WaitCase;

static const WaitCase wait_cases[] = {
    {0, 4000, 1000},   {49, 4000, 1000},   {200, 4000, 1000},
    {350, 4000, 1750}, {5000, 4000, 1800}, {350, 2000, 1000},
};

START_TEST(large_fleets_are_polled_less_often)
{
    JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;

    options.lease_ms = wait_cases[_i].lease_ms;
    ck_assert_int_eq(JobSched_HoldWait(&options, wait_cases[_i].busy_targets),
                     wait_cases[_i].wait_ms);
}
END_TEST

/* Guards against a slow or failing target that delays most jobs, which happens
 * when the tasks of a job are spread over many targets. Each of 8 jobs has 4
 * tasks, and each target has room for 8 tasks. */
START_TEST(tasks_of_job_share_targets)
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
        const JobTarget *target = JobState_TargetAt(state, i);
        for (j = 1; j < target->run_count; j++) {
            shared += target->runs[j].job == target->runs[j - 1].job;
        }
    }
    ck_assert_uint_eq(shared, 8 * 3);
    /* 32 tasks of 2 cores fill 4 targets; the other 4 are idle and can be
     * moved. */
    for (i = 0, j = 0; i < 8; i++) {
        j += JobState_TargetAt(state, i)->run_count == 0;
    }
    ck_assert_uint_eq(j, 4);
}
END_TEST

/* Guards against ends that are seen a second late because the answer to one
 * hold is lost, and against frequent holds where no run is about to end. */
START_TEST(holds_wait_less_for_short_tasks)
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

/* Guards against a new leader that knows neither demand nor run times, and so
 * uses declared run times and a rate of 0 until it has learned both. */
START_TEST(new_leader_knows_demand_and_run_times)
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
    /* 10 tasks that use a core for 3 s arrived within the last second. */
    ck_assert_int_gt(load.arriving, 27000);
    ck_assert_int_lt(load.arriving, 70000);
}
END_TEST

/* Guards against a node that records no demand once it has restored a
 * snapshot, so that its pools keep their size. */
START_TEST(demand_is_recorded_after_restore)
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

/* Guards against a burst of demand on a restarted node, which would count all
 * jobs in its log as arriving while it replays them. */
START_TEST(log_replay_records_no_demand)
{
    JobPoolLoad load;

    JobState_SetCaughtUp(state, false);
    JobState_SetNow(state, now);
    JobTest_Submit(state, "a", 1, 10, 1000);
    JobState_SetCaughtUp(state, true);
    JobSched_PoolLoad(sched, now + 100, "p", 0, &load);
    ck_assert_int_eq(load.arriving, 0);
}
END_TEST

/* Guards against an acknowledgement meant for the previous incarnation of a
 * target whose restart was not seen. The new incarnation would discard its own
 * first ends. */
START_TEST(unknown_incarnation_gets_no_acknowledgement)
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
    /* Round 1 follows a missing answer, round 2 a change of leader. */
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

/* Guards against work for a target whose restart is shown only by its clock,
 * which reads less than before. */
START_TEST(clock_going_back_shows_restart)
{
    JobCallAnswer answer = {.outcome = JOB_CALL_OK, .clock_ms = 5};
    const JobTarget *target;

    announce("t1", "vm1", 10);
    JobTest_Submit(state, "a", 1, 1, 500);
    tick(100);
    ck_assert_uint_gt(call_count, 0);
    JobSched_HandleAnswer(sched, now, &calls[0], &answer);
    target = JobState_FindTarget(state, "t1");
    ck_assert(!JobSched_IsUsable(sched, target, now));
    call_count = 0;
    tick(100);
    ck_assert_uint_eq(count_calls(JOB_ACTION_HOLD), 1);
    ck_assert_uint_eq(calls[0].ack, 0);
}
END_TEST

/* Delivers a notice of departure. The target does not answer. */
static void
depart(const char *id)
{
    JobSched_HandleDeparture(sched, now, id);
    process_actions();
    tick(50);
    answer_all(JOB_CALL_NO_ANSWER);
    tick(100);
}

/* Lets targets answer all calls for a while. */
static void
answer_for(int64_t ms)
{
    int64_t until = now + ms;

    while (now < until) {
        tick(50);
        answer_all(JOB_CALL_OK);
    }
}

/* Starts task a on t1. */
static void
start_task(void)
{
    JobTest_Submit(state, "a", 1, 1, 500);
    answer_for(200);
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
    announce("t1", "vm1", 10);
    if (past == PAST_NONE) {
        return;
    }
    if (past != PAST_REPLACED) {
        JobTest_SetTarget(state, "t1", "vm1", "p", 10, true);
        depart("t1");
        ck_assert_ptr_null(JobState_FindTarget(state, "t1"));
    }
    announce("t1", "vm1", 20);
    if (past == PAST_RESTORED) {
        pass_through_snapshot();
        announce("t1", "vm1", 20);
    }
    answer_for(200);
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

/* Lets t1 run task a, beside an idle target. */
static void
begin_departure_case(int i)
{
    uint64_t born = departure_cases[i].past == PAST_NONE ? 10 : 20;

    live_through(departure_cases[i].past);
    start_task();
    if (departure_cases[i].leaving) {
        JobTest_SetTarget(state, "t1", "vm1", "p", born, true);
    }
    announce("t2", "vm2", 10);
}

/* Guards against a second run of a task beside one whose target is taken for
 * ended, because a notice of departure of its earlier incarnation arrived
 * late. */
START_TEST(late_notice_of_departure_ends_no_later_incarnation)
{
    const JobTarget *target;

    begin_departure_case(_i);
    JobSched_HandleDeparture(sched, now, "t1");
    target = JobState_FindTarget(state, "t1");
    ck_assert(!JobSched_IsUsable(sched, target, now));
    answer_for(300);
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
    begin_departure_case(_i);
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
        start_task();
    }
    depart("t1");
    departed_ms = now;
    while (JobState_FindTarget(state, "t1") != NULL &&
           now - departed_ms < 2 * options.max_lease_ms) {
        tick(50);
        answer_all(JOB_CALL_NO_ANSWER);
    }
    ck_assert_ptr_null(JobState_FindTarget(state, "t1"));
    ck_assert_int_ge(now - departed_ms, has_run ? options.lease_ms / 2 : 0);
    /* It may be alive: a live target that is removed announces itself again,
     * as may a later incarnation. */
    announce("t1", "vm1", 20 + (uint64_t)_i);
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

    announce("t1", "vm1", 10);
    if (announcement_cases[_i].departed) {
        JobTest_SetTarget(state, "t1", "vm1", "p", 10, true);
        depart("t1");
    }
    if (later[0] != '\0') {
        announce(later, "vm1", 20);
        answer_for(200);
    }
    if (announcement_cases[_i].silent) {
        tick(5000);
    }
    announce(sender, "vm1", announcement_cases[_i].born);
    added = JobState_FindTarget(state, sender) != NULL;
    ck_assert_msg(added == announcement_cases[_i].added, "%s",
                  announcement_cases[_i].name);
    /* Nothing is to be stored, so that the sender need not repeat it. */
    ck_assert(added || announce(sender, "vm1", announcement_cases[_i].born));
}
END_TEST

/* Guards against a live target that is kept out because it was removed while
 * it could not be reached. */
START_TEST(target_that_was_cut_off_returns)
{
    announce("t1", "vm1", 10);
    while (JobState_FindTarget(state, "t1") != NULL && now < 200000) {
        tick(50);
        answer_all(JOB_CALL_NO_ANSWER);
    }
    ck_assert_ptr_null(JobState_FindTarget(state, "t1"));
    announce("t1", "vm1", 10);
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "t1"));
}
END_TEST

START_TEST(removed_targets_expire)
{
    const JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;

    announce("t1", "vm1", 10);
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
    Suite *suite = suite_create("jobsched");
    TCase *tcase = tcase_create("sched");

    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_test(tcase, tasks_are_assigned_before_they_start);
    tcase_add_test(tcase, unanswered_start_is_retried_at_same_target);
    tcase_add_test(tcase, silent_target_lease_is_not_extended);
    tcase_add_test(tcase, run_on_young_target_is_kept_for_the_longest_lease);
    tcase_add_test(tcase, target_without_a_lease_gets_no_work);
    tcase_add_loop_test(
        tcase, announcement_of_unknown_pool_changes_nothing, 0,
        (int)(sizeof(foreign_cases) / sizeof(foreign_cases[0])));
    tcase_add_test(tcase, tasks_of_silent_target_are_unavailable);
    tcase_add_test(tcase, evacuation_respects_max_unavailable);
    tcase_add_test(tcase, idle_target_is_polled_when_announced_again);
    tcase_add_test(
        tcase, unanswered_hold_of_earlier_incarnation_does_not_block_target);
    tcase_add_test(tcase, assignment_to_earlier_incarnation_keeps_no_room);
    tcase_add_test(tcase,
                   task_is_not_started_again_before_its_end_with_a_restart);
    tcase_add_test(tcase, runs_of_target_that_keeps_restarting_are_lost);
    tcase_add_test(tcase, new_target_is_proposed_once_while_log_is_slow);
    tcase_add_test(tcase, long_checkpoint_does_not_hold_back_ends);
    tcase_add_loop_test(
        tcase, crash_after_unanswered_start_is_counted, 0,
        (int)(sizeof(unanswered_cases) / sizeof(unanswered_cases[0])));
    tcase_add_test(tcase, targets_with_same_start_time_are_distinct);
    tcase_add_loop_test(tcase, lasting_task_that_waits_longest_is_placed_first,
                        0, 2);
    tcase_add_test(tcase, leaving_target_gets_no_work);
    tcase_add_test(tcase, tasks_of_job_share_targets);
    tcase_add_test(tcase, unknown_incarnation_gets_no_acknowledgement);
    tcase_add_test(tcase, clock_going_back_shows_restart);
    tcase_add_test(tcase, new_leader_knows_demand_and_run_times);
    tcase_add_test(tcase, log_replay_records_no_demand);
    tcase_add_test(tcase, demand_is_recorded_after_restore);
    tcase_add_loop_test(tcase, holds_wait_less_for_short_tasks, 0, 2);
    tcase_add_test(tcase, cancelled_tasks_are_stopped);
    tcase_add_loop_test(tcase, answer_from_former_address_removes_no_target, 0,
                        sizeof(other_instance_cases) /
                            sizeof(other_instance_cases[0]));
    tcase_add_loop_test(
        tcase,
        leaving_of_restarted_target_is_stored_before_its_acknowledgement, 0,
        (int)(sizeof(restart_cases) / sizeof(restart_cases[0])));
    tcase_add_test(tcase, restart_ends_the_leaving_of_the_earlier_incarnation);
    tcase_add_loop_test(
        tcase, restarted_target_gets_no_task_before_it_has_announced_itself, 0,
        2);
    tcase_add_loop_test(tcase, leaving_is_stored_after_earlier_announcements,
                        0, 2);
    tcase_add_test(tcase, new_incarnation_numbers_its_announcements_anew);
    tcase_add_test(tcase, refused_stop_does_not_settle_a_start);
    tcase_add_loop_test(tcase, large_fleets_are_polled_less_often, 0,
                        (int)(sizeof(wait_cases) / sizeof(wait_cases[0])));
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
