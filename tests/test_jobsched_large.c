#include <check.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "jobsched_impl.h"
#include "peer.h"
#include "raft_msg.h"
#include "support.h"
#include "support_job.h"

#define ROUND_MS 10
#define MAX_UNANSWERED 8192
#define LONG_TEXT_BYTES (256 * 1024)
/* A quarter of the memory of a small control VM. */
#define MAX_HEAP_BYTES ((size_t)64 * 1024 * 1024)
/* The default size of a log before a snapshot is taken. */
#define MAX_SNAPSHOT_BYTES ((size_t)16 * 1024 * 1024)
/* Starts and stops time out after 100 ms, have two connections to each target
 * and take up to 5 ms. */
#define MAX_TIMELY_CALLS 40
/* Highest ratio of the times that answers with eight times the runs take. It
 * is 64 if each run is looked for in the whole list. */
#define MAX_TIME_RATIO 24
#define LARGE_JOB "00000000000000d2"

static JobState *state;
static JobSched *sched;
static int64_t now;
static size_t longest_command;
static size_t proposals;
static size_t starts;
static bool answering; /* whether calls that start or stop runs are answered */
static JobAction unanswered[MAX_UNANSWERED];
static size_t unanswered_count;

static void
setup(void)
{
    JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;

    now = 1000000;
    longest_command = 0;
    proposals = 0;
    starts = 0;
    answering = true;
    unanswered_count = 0;
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

/* Decides a proposal as the log does. */
static void
decide(JobAction *action)
{
    proposals++;
    if (action->command.len > longest_command) {
        longest_command = action->command.len;
    }
    if (action->command.len > RAFT_MAX_COMMAND_BYTES) {
        Buf_Free(&action->command);
        JobSched_HandleProposal(sched, now, action->cookie, ST_INVALID);
        return;
    }
    JobTest_Apply(state, &action->command);
    JobSched_HandleProposal(sched, now, action->cookie, ST_OK);
}

/* Answers a call as a target that runs all that it was told to start. */
static void
answer(const JobAction *call)
{
    const JobTarget *target = JobState_TargetAt(state, call->row);
    JobRunning *running = calloc(target->run_count + 1, sizeof(*running));
    JobCallAnswer reply = {.outcome = JOB_CALL_OK,
                           .clock_ms = now - 90000,
                           .born = target->announcement.born,
                           .running = running};
    uint32_t i;

    for (i = 0; call->kind == JOB_ACTION_HOLD && i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        const JobTask *task = JobRun_GetTask(run);
        if (task->sched_state.phase >= JOB_SCHED_RUNNING) {
            running[reply.running_count++] = (JobRunning){
                JobRun_GetTaskRef(run), task->attempt, 100, 0, ""};
        }
    }
    starts += call->kind == JOB_ACTION_START;
    JobSched_HandleAnswer(sched, now, call, &reply);
    free(running);
}

static void
process_actions(void)
{
    JobAction action;

    while (JobSched_TakeAction(sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            decide(&action);
        }
        else if (answering || action.kind == JOB_ACTION_HOLD) {
            answer(&action);
        }
        else {
            ck_assert_uint_lt(unanswered_count, MAX_UNANSWERED);
            unanswered[unanswered_count++] = action;
        }
    }
}

/* Answers the calls that were left unanswered. */
static void
answer_all(void)
{
    size_t count = unanswered_count;
    JobAction *calls = calloc(count + 1, sizeof(*calls));
    size_t i;

    memcpy(calls, unanswered, count * sizeof(*calls));
    unanswered_count = 0;
    for (i = 0; i < count; i++) {
        answer(&calls[i]);
        process_actions();
    }
    free(calls);
}

static void
add_targets(uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        JobAnnouncement announcement = {
            .room = {16000, 32000, 0}, .born = 10, .order = 1};
        snprintf(announcement.id, sizeof(announcement.id), "t%u", i);
        snprintf(announcement.vm, sizeof(announcement.vm), "vm%u", i);
        snprintf(announcement.pool, sizeof(announcement.pool), "p");
        snprintf(announcement.address, sizeof(announcement.address),
                 "10.0.%u.%u:80", i / 250, i % 250 + 1);
        announcement.clock_ms = now - 90000;
        JobSched_HandleAnnouncement(sched, now, &announcement);
        process_actions();
    }
}

/* Announces all targets again, so that they count as alive. */
static void
announce_targets(uint64_t order)
{
    uint32_t i;

    for (i = 0; i < JobState_TargetRows(state); i++) {
        JobAnnouncement announcement =
            JobState_TargetAt(state, i)->announcement;
        announcement.order = order;
        announcement.clock_ms = now - 90000;
        JobSched_HandleAnnouncement(sched, now, &announcement);
    }
}

/* Runs the scheduler for a time in rounds of ROUND_MS. */
static void
run_for(int64_t ms)
{
    int64_t end = now + ms;

    while (now < end) {
        now += ROUND_MS;
        JobState_SetNow(state, now);
        if (now % 1000 == 0) {
            announce_targets((uint64_t)now);
        }
        if (now % 50 == 0) {
            JobSched_Tick(sched, now, now);
        }
        JobSched_PlaceTasks(sched, now, now);
        process_actions();
    }
}

/* Submits a job whose occurrences, of one step of small tasks, are all due. */
static void
submit_due(const char *id, uint32_t occurrences, uint32_t tasks)
{
    JobStep step = {.count = tasks, .need = {1, 1, 0}, .estimate_ms = 300};
    char text[] = "work";
    JobSpec spec = {.text = text,
                    .text_len = 4,
                    .steps = &step,
                    .step_count = 1,
                    .repeats = occurrences,
                    .start_ms = 1,
                    .interval_ms = 1};
    Buf command = BUF_INIT;

    JobCmd_EncodeSubmit(&command, id, "q", now, &spec, "");
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
}

/* Submits a job whose step is a gang. */
static void
submit_gang(uint32_t tasks)
{
    JobStep step = {
        .count = tasks, .need = {1, 1, 0}, .estimate_ms = 300, .gang = true};
    char text[] = "work";
    JobSpec spec = {
        .text = text, .text_len = 4, .steps = &step, .step_count = 1};
    Buf command = BUF_INIT;

    JobCmd_EncodeSubmit(&command, LARGE_JOB, "q", now, &spec, "");
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
}

/* Jobs whose due tasks exceed a batch, and what one of them asks for. */
static const struct {
    const char *name;
    uint32_t occurrences;
    uint32_t tasks;
} large_jobs[] = {
    {"more tasks than a batch has in one occurrence", 1, 4096},
    {"a batch that the log takes but that is long to start", 3, 4000},
    {"more due tasks than an entry of the log holds", 10, 4000},
    {"more due occurrences than memory holds", 100000, 100},
};

/* The assignments of a large job were one command. The log refused it for its
 * length, again at each placement, and with it the tasks of all other jobs. */
START_TEST(large_job_does_not_stop_small_ones)
{
    char id[8];
    uint32_t i;

    add_targets(3);
    JobTest_Submit(state, "before", 1, 2, 500);
    submit_due(LARGE_JOB, large_jobs[_i].occurrences, large_jobs[_i].tasks);
    run_for(100);
    for (i = 0; i < 4; i++) {
        snprintf(id, sizeof(id), "after%u", i);
        JobTest_Submit(state, id, 1, 2, 500);
    }
    run_for(1000);
    ck_assert_msg(longest_command <= RAFT_MAX_COMMAND_BYTES,
                  "%s: a command of %zu bytes", large_jobs[_i].name,
                  longest_command);
    for (i = 0; i < 4; i++) {
        snprintf(id, sizeof(id), "after%u", i);
        ck_assert_msg(JobState_FindJob(state, id)->assigned == 2,
                      "%s: %s has %u tasks assigned", large_jobs[_i].name, id,
                      JobState_FindJob(state, id)->assigned);
    }
    ck_assert_uint_gt(JobState_FindJob(state, LARGE_JOB)->assigned, 0);
    ck_assert_uint_gt(starts, 8);
}
END_TEST

/* All starts of a large job were sent at once. They waited for a connection
 * for longer than their timeout, and the target counted as silent. The same
 * holds for the stops after its cancellation. */
START_TEST(calls_to_one_target_are_sent_in_time)
{
    const Job *job;
    Buf command = BUF_INIT;
    uint32_t i;

    add_targets(1);
    answering = false;
    submit_due(LARGE_JOB, 1, 1000);
    job = JobState_FindJob(state, LARGE_JOB);
    for (i = 0; i < 100 && (i == 0 || job->assigned < 1000); i++) {
        run_for(20);
        ck_assert_uint_le(unanswered_count, MAX_TIMELY_CALLS);
        answer_all();
    }
    run_for(100);
    answer_all();
    ck_assert_uint_eq(job->assigned, 1000);
    ck_assert_uint_ge(starts, 1000);
    JobCmd_EncodeCancel(&command, LARGE_JOB, now, "");
    JobTest_Apply(state, &command);
    for (i = 0; i < 10; i++) {
        run_for(20);
        ck_assert_uint_le(unanswered_count, MAX_TIMELY_CALLS);
    }
    ck_assert_uint_gt(unanswered_count, 0);
}
END_TEST

/* A job of as many small tasks as fit left no room in the lists of a target,
 * which a hold returns whole, for the runs of other jobs. */
START_TEST(small_tasks_of_one_job_leave_runs_to_others)
{
    const JobTarget *target;

    add_targets(1);
    submit_due(LARGE_JOB, 3, 4000);
    run_for(5000);
    target = JobState_TargetAt(state, 0);
    ck_assert_uint_ge(target->run_count, 512);
    ck_assert_uint_le(target->run_count, 2048);
    submit_due("00000000000000d3", 1, 4000);
    run_for(2000);
    ck_assert_uint_ge(JobState_FindJob(state, "00000000000000d3")->assigned,
                      256);
    ck_assert_uint_le(target->run_count, 2048);
}
END_TEST

/* The tasks of a gang run together or not at all, so that no limit of the runs
 * of a target may keep one from a fleet of few targets. */
START_TEST(largest_gang_runs_on_one_target)
{
    add_targets(1);
    submit_due("00000000000000d3", 1, 2000);
    run_for(3000);
    submit_gang(JOB_MAX_TASKS);
    run_for(4000);
    ck_assert_uint_eq(JobState_FindJob(state, LARGE_JOB)->assigned,
                      JOB_MAX_TASKS);
    ck_assert_uint_ge(starts, JOB_MAX_TASKS);
    ck_assert_uint_le(longest_command, RAFT_MAX_COMMAND_BYTES);
}
END_TEST

/* Starts a gang on one target. */
static void
start_gang(uint32_t tasks)
{
    add_targets(1);
    submit_gang(tasks);
    run_for(4000);
    ck_assert_uint_eq(JobState_TargetAt(state, 0)->run_count, tasks);
}

/* The tasks of a gang, which may exceed the limit of the runs of a target,
 * left none to others. */
START_TEST(gang_leaves_runs_to_others)
{
    start_gang(JOB_MAX_TASKS);
    JobTest_Submit(state, "small", 1, 2, 500);
    run_for(500);
    ck_assert_uint_eq(JobState_FindJob(state, "small")->assigned, 2);
}
END_TEST

/* Returns the shortest processor time in ms of an answer to a hold. */
static double
measure_answers(void)
{
    double shortest = 1e9;
    int i;

    for (i = 0; i < 40; i++) {
        JobAction action;
        now += 500;
        JobSched_Tick(sched, now, now);
        while (JobSched_TakeAction(sched, &action)) {
            clock_t begun = clock();
            double ms;
            if (action.kind == JOB_ACTION_PROPOSE) {
                decide(&action);
                continue;
            }
            answer(&action);
            ms = (double)(clock() - begun) * 1000 / CLOCKS_PER_SEC;
            shortest = ms < shortest ? ms : shortest;
        }
    }
    return shortest;
}

/* Each run of a target was looked for in the whole list of its answer, which
 * stopped the leader outside of its event loop iteration. */
START_TEST(time_of_answer_grows_with_its_length)
{
    double few_ms;

    start_gang(JOB_MAX_TASKS / 8);
    few_ms = measure_answers();
    teardown();
    setup();
    start_gang(JOB_MAX_TASKS);
    ck_assert_double_lt(measure_answers(), few_ms * MAX_TIME_RATIO);
}
END_TEST

/* Each run that a target no longer listed was a proposal of its own, more of
 * them than the log takes at a time. */
START_TEST(unlisted_runs_end_in_few_commands)
{
    const JobTarget *target;
    JobCallAnswer empty = {.outcome = JOB_CALL_OK};
    JobAction action;
    size_t before;
    bool held = false;

    start_gang(JOB_MAX_TASKS);
    target = JobState_TargetAt(state, 0);
    now += 1000;
    JobSched_Tick(sched, now, now);
    empty.clock_ms = now - 90000;
    empty.born = target->announcement.born;
    while (!held && JobSched_TakeAction(sched, &action)) {
        held = action.kind == JOB_ACTION_HOLD;
    }
    ck_assert(held);
    now += 10;
    before = proposals;
    JobSched_HandleAnswer(sched, now, &action, &empty);
    process_actions();
    ck_assert_uint_eq(target->run_count, 0);
    ck_assert_uint_le(proposals - before, JOB_MAX_TASKS / 500 + 1);
    ck_assert_uint_le(longest_command, RAFT_MAX_COMMAND_BYTES);
}
END_TEST

/* The starts of a job with a long text were queued all at once, more bytes
 * than the link to an agent takes. */
START_TEST(starts_with_long_texts_are_spread)
{
    JobStep step = {
        .count = JOB_MAX_TASKS, .need = {1, 1, 0}, .estimate_ms = 300};
    char *text = calloc(1, LONG_TEXT_BYTES);
    JobSpec spec = {.text = text,
                    .text_len = LONG_TEXT_BYTES - 1,
                    .steps = &step,
                    .step_count = 1};
    Buf command = BUF_INIT;
    int i;

    add_targets(9);
    memset(text, 't', LONG_TEXT_BYTES - 1);
    JobCmd_EncodeSubmit(&command, LARGE_JOB, "q", now, &spec, "");
    free(text);
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    for (i = 0; i < 20; i++) {
        size_t before = starts;
        run_for(50);
        ck_assert_uint_le((starts - before) * LONG_TEXT_BYTES,
                          PEER_MAX_QUEUED_BYTES / 2);
    }
    ck_assert_uint_ge(starts, 64);
}
END_TEST

/* Jobs that wait or run while the heap grows by at most MAX_HEAP_BYTES. */
static const struct {
    const char *name;
    uint32_t jobs;
    uint32_t occurrences;
    uint32_t tasks;
} many_tasks[] = {
    {"one job with 100,000 due occurrences", 1, 100000, 100},
    {"jobs of many tasks that wait for room", 500, 1, 4000},
    {"jobs with many occurrences of one task", 100, 100000, 1},
    {"jobs with many occurrences of many tasks", 50, 100, 4000},
};

static size_t
get_heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

/* The leader kept each task of every due occurrence, and all nodes a row of
 * each occurrence and the tasks of jobs that had ended, which took more memory
 * than a control VM has. */
START_TEST(memory_of_large_jobs_is_bounded)
{
    size_t before = get_heap_bytes();
    Buf snapshot = BUF_INIT;
    uint32_t i;

    add_targets(3);
    for (i = 0; i < many_tasks[_i].jobs; i++) {
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "%016x", i);
        submit_due(id, many_tasks[_i].occurrences, many_tasks[_i].tasks);
    }
    run_for(3000);
    ck_assert_msg(get_heap_bytes() - before <= MAX_HEAP_BYTES,
                  "%s: the heap has grown by %zu bytes", many_tasks[_i].name,
                  get_heap_bytes() - before);
    JobState_Snapshot(state, &snapshot);
    ck_assert_msg(snapshot.len <= MAX_SNAPSHOT_BYTES,
                  "%s: a snapshot of %zu bytes", many_tasks[_i].name,
                  snapshot.len);
    Buf_Free(&snapshot);
    for (i = 0; i < many_tasks[_i].jobs; i++) {
        char id[JOB_ID_BYTES];
        Buf command = BUF_INIT;
        snprintf(id, sizeof(id), "%016x", i);
        JobCmd_EncodeCancel(&command, id, now, "");
        JobTest_Apply(state, &command);
    }
    for (i = 0; i < 3; i++) {
        Buf command = BUF_INIT;
        JobRemoval removal = {.target = i,
                              .serial = JobState_TargetAt(state, i)->serial,
                              .alive_from = 11,
                              .wall_ms = now};
        JobCmd_EncodeTargetGone(&command, &removal);
        JobTest_Apply(state, &command);
    }
    ck_assert_msg(get_heap_bytes() - before <= MAX_HEAP_BYTES / 8,
                  "%s: ended jobs keep %zu bytes", many_tasks[_i].name,
                  get_heap_bytes() - before);
}
END_TEST

/* Returns the processor time in ms in which a step is placed whose tasks run
 * on as many targets. */
static double
measure_spread_step(uint32_t count)
{
    JobStep step = {.count = count, .need = {1, 1, 0}, .max_per_target = 1};
    char text[] = "work";
    JobSpec spec = {
        .text = text, .text_len = 4, .steps = &step, .step_count = 1};
    Buf command = BUF_INIT;
    clock_t begun;

    add_targets(count);
    JobCmd_EncodeSubmit(&command, LARGE_JOB, "q", now, &spec, "");
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    begun = clock();
    run_for(1000);
    ck_assert_uint_eq(JobState_FindJob(state, LARGE_JOB)->assigned, count);
    return (double)(clock() - begun) * 1000 / CLOCKS_PER_SEC;
}

/* For each task of a step with a limit for each target, all assignments in
 * flight were looked at for each target, so that the time grew faster than the
 * product of tasks and targets, here by 256. */
START_TEST(time_of_spread_step_is_bounded)
{
    double few_ms = measure_spread_step(100);

    teardown();
    setup();
    ck_assert_double_lt(measure_spread_step(1600), few_ms * 256);
}
END_TEST

/* Makes the tasks of the large job suspects, and if lost is set, of runs that
 * were lost a moment ago. */
static void
suspect_tasks(uint32_t count, bool lost)
{
    JobCrash *crashes = calloc(count, sizeof(*crashes));
    Buf command = BUF_INIT;
    uint32_t i;

    JobState_OpenOccurrence(state, JobState_FindJob(state, LARGE_JOB), 0);
    sched->lost_runs = calloc(count, sizeof(*sched->lost_runs));
    sched->lost_run_capacity = count;
    sched->lost_run_count = lost ? count : 0;
    for (i = 0; i < count; i++) {
        crashes[i] = (JobCrash){{LARGE_JOB, 0, 0, i}, 1, JOB_CRASH_SHARED};
        sched->lost_runs[i] =
            (SchedLostRun){JOB_NO_TARGET, 0, crashes[i], 0, now};
    }
    JobCmd_EncodeCrashes(&command, now, crashes, count);
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    free(crashes);
}

/* Returns the shortest processor time in ms of a placement while as many
 * suspects wait and all targets run other tasks. */
static double
measure_suspects(uint32_t count, bool lost)
{
    double shortest = 1e9;
    uint32_t i;

    add_targets(4);
    submit_due("00000000000000d3", 1, count);
    run_for(700);
    submit_due(LARGE_JOB, 1, count);
    suspect_tasks(count, lost);
    for (i = 0; i < 20; i++) {
        clock_t begun = clock();
        double ms;
        JobSched_PlaceTasks(sched, now, now);
        ms = (double)(clock() - begun) * 1000 / CLOCKS_PER_SEC;
        shortest = ms < shortest ? ms : shortest;
    }
    ck_assert_uint_eq(JobState_FindJob(state, LARGE_JOB)->assigned, 0);
    return shortest;
}

/* Each suspect was looked for among all lost runs, or looked for a target of
 * its own among the runs of all targets, in each placement. */
START_TEST(time_of_placement_with_suspects_is_bounded)
{
    double few_ms = measure_suspects(200, _i == 1);

    teardown();
    setup();
    ck_assert_double_lt(measure_suspects(1600, _i == 1),
                        few_ms * MAX_TIME_RATIO);
}
END_TEST

/* Stores a configuration of as many queues and pools, and with a version of 2
 * submits a job to each queue. */
static void
configure(uint64_t version, uint32_t count)
{
    JobQueue *queues = calloc(count, sizeof(*queues));
    JobPool *pools = calloc(count, sizeof(*pools));
    char text[] = "text";
    JobConfig config = {version, queues, count, pools, count,
                        NULL,    0,      text,  4};
    Buf command = BUF_INIT;
    uint32_t i;

    for (i = 0; i < count; i++) {
        snprintf(queues[i].name, sizeof(queues[i].name), "queue-%u", i);
        snprintf(queues[i].pool, sizeof(queues[i].pool), "pool-%u", i);
        snprintf(pools[i].name, sizeof(pools[i].name), "pool-%u", i);
        queues[i].max_attempts = 2;
    }
    JobCmd_EncodeConfig(&command, &config);
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    for (i = 0; version == 2 && i < count; i++) {
        JobStep step = {.count = 1, .need = {500, 1, 0}};
        JobSpec spec = {
            .text = text, .text_len = 4, .steps = &step, .step_count = 1};
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "%016x", i);
        JobCmd_EncodeSubmit(&command, id, queues[i].name, now, &spec, "");
        ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    }
    free(queues);
    free(pools);
}

/* Returns the shortest processor time in ms in which a configuration is stored
 * and the waiting tasks of all pools are counted. */
static double
measure_configuration(uint32_t count)
{
    JobPoolLoad *loads = calloc(count, sizeof(*loads));
    double shortest = 1e9;
    uint64_t i;

    configure(2, count);
    for (i = 0; i < 10; i++) {
        clock_t begun = clock();
        double ms;
        configure(3 + i, count);
        JobSched_GetWaiting(sched, loads);
        ms = (double)(clock() - begun) * 1000 / CLOCKS_PER_SEC;
        shortest = ms < shortest ? ms : shortest;
        ck_assert_int_eq(loads[count - 1].waiting, 500);
    }
    free(loads);
    return shortest;
}

/* Each job looked for its queue, and each pool for its jobs, in the whole
 * list, which stopped all nodes at a change of a large configuration and the
 * leader at each look at its metrics. */
START_TEST(time_of_configuration_grows_with_its_size)
{
    double few_ms = measure_configuration(500);

    teardown();
    setup();
    ck_assert_double_lt(measure_configuration(4000), few_ms * MAX_TIME_RATIO);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobsched_large");
    TCase *tcase = tcase_create("large jobs");

    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_loop_test(tcase, large_job_does_not_stop_small_ones, 0,
                        (int)(sizeof(large_jobs) / sizeof(large_jobs[0])));
    tcase_add_test(tcase, calls_to_one_target_are_sent_in_time);
    tcase_add_test(tcase, small_tasks_of_one_job_leave_runs_to_others);
    tcase_add_test(tcase, largest_gang_runs_on_one_target);
    tcase_add_test(tcase, gang_leaves_runs_to_others);
    tcase_add_test(tcase, time_of_answer_grows_with_its_length);
    tcase_add_test(tcase, unlisted_runs_end_in_few_commands);
    tcase_add_test(tcase, starts_with_long_texts_are_spread);
    tcase_add_loop_test(tcase, memory_of_large_jobs_is_bounded, 0,
                        (int)(sizeof(many_tasks) / sizeof(many_tasks[0])));
    tcase_add_test(tcase, time_of_spread_step_is_bounded);
    tcase_add_loop_test(tcase, time_of_placement_with_suspects_is_bounded, 0,
                        2);
    tcase_add_test(tcase, time_of_configuration_grows_with_its_size);
    suite_add_tcase(suite, tcase);
    return suite;
}
