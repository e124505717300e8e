#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "raft_msg.h"
#include "rng.h"
#include "support.h"
#include "support_job.h"

static JobState *state;

static void
setup(void)
{
    state = JobState_New();
    JobTest_Configure(state, 5);
    JobTest_SetTarget(state, "t1", "vm1", "p", 100, false);
    JobTest_SetTarget(state, "t2", "vm2", "p", 100, false);
}

static void
teardown(void)
{
    JobState_Free(state);
}

START_TEST(ignores_config_versions_not_newer)
{
    static const struct {
        uint64_t version;
        JobResult result;
        uint64_t expected;
    } cases[] = {
        {5, JOB_RESULT_EXISTS, 5}, /* resent */
        {4, JOB_RESULT_EXISTS, 5}, /* older */
        {9, JOB_RESULT_OK, 9},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        ck_assert_int_eq(JobTest_Configure(state, cases[i].version),
                         cases[i].result);
        ck_assert_uint_eq(JobState_GetConfig(state)->version,
                          cases[i].expected);
    }
}
END_TEST

/* Guards against a configuration that the log accepts, but no node can
 * apply. */
START_TEST(stores_configuration_with_many_pools)
{
    enum { POOLS = 37000 };
    JobPool *pools = calloc(POOLS, sizeof(*pools));
    Buf text = BUF_INIT;
    Buf command = BUF_INIT;
    JobConfig config = {9, NULL, 0, pools, POOLS, NULL, 0, NULL, 0};
    size_t i;

    for (i = 0; i < POOLS; i++) {
        snprintf(pools[i].name, sizeof(pools[i].name), "%zx", i);
        Buf_Printf(&text, "{\"name\":\"%zx\"},", i);
    }
    config.text = text.data;
    config.text_len = text.len;
    JobCmd_EncodeConfig(&command, &config);
    ck_assert_uint_le(command.len, RAFT_MAX_COMMAND_BYTES);
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    ck_assert_uint_eq(JobState_GetConfig(state)->pool_count, POOLS);
    Buf_Free(&text);
    free(pools);
}
END_TEST

START_TEST(ignores_resubmitted_job)
{
    ck_assert_int_eq(JobTest_Submit(state, "a", 2, 3, 500), JOB_RESULT_OK);
    ck_assert_int_eq(JobTest_Submit(state, "a", 1, 1, 500), JOB_RESULT_EXISTS);
    ck_assert_uint_eq(JobState_FindJob(state, "a")->spec.step_count, 2);
    ck_assert_uint_eq(JobState_CountPending(state, "q"), 1);
}
END_TEST

START_TEST(step_is_ready_after_its_dependencies)
{
    const Job *job;

    JobTest_Submit(state, "a", 2, 2, 500);
    job = JobState_FindJob(state, "a");
    ck_assert(Job_IsStepReady(job, 0, 0));
    ck_assert(!Job_IsStepReady(job, 0, 1));
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobTest_Assign(state, "a", 0, 1, 1, "t2");
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_DONE, 1);
    ck_assert(!Job_IsStepReady(job, 0, 1));
    JobTest_End(state, "a", 0, 1, 1, "t2", JOB_END_DONE, 1);
    ck_assert(Job_IsStepReady(job, 0, 1));
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
    uint32_t attempt; /* of the end; the task runs as attempt 2 on t1 */
    const char *target;
    JobTaskState expected;
} EndCase;

static const EndCase end_cases[] = {
    {"done", JOB_END_DONE, 2, "t1", JOB_TASK_DONE},
    {"failed once of two allowed", JOB_END_FAILED, 2, "t1", JOB_TASK_WAITING},
    {"lapsed", JOB_END_LAPSED, 2, "t1", JOB_TASK_WAITING},
    {"stopped", JOB_END_STOPPED, 2, "t1", JOB_TASK_WAITING},
    {"end of an earlier attempt", JOB_END_DONE, 1, "t1", JOB_TASK_ASSIGNED},
    {"end from another target", JOB_END_DONE, 2, "t2", JOB_TASK_ASSIGNED},
};

START_TEST(applies_only_ends_of_current_run)
{
    const EndCase *row = &end_cases[_i];
    JobTaskRef ref = {"a", 0, 0, 0};
    Job *job;

    /* A second task, as the tasks of a finished job are not kept. */
    JobTest_Submit(state, "a", 1, 2, 500);
    JobTest_Assign(state, "a", 0, 0, 2, "t1");
    JobTest_End(state, "a", 0, 0, row->attempt, row->target, row->kind, 1);
    ck_assert_msg(JobState_FindTask(state, &ref, &job)->state == row->expected,
                  "%s", row->name);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->used.cpu,
                      row->expected == JOB_TASK_ASSIGNED ? 500 : 0);
}
END_TEST

/* A gang whose three tasks failed in one attempt had failed three times. */
START_TEST(gang_fails_after_max_attempts)
{
    const uint32_t count = 3;
    Job *job;
    uint32_t attempt;
    uint32_t i;

    JobTest_Submit(state, "a", 1, count, 500);
    job = JobState_FindJob(state, "a");
    job->spec.steps[0].gang = true;
    for (attempt = 1; attempt <= 2; attempt++) {
        ck_assert_int_ne(job->phase, JOB_FAILED);
        for (i = 0; i < count; i++) {
            JobTest_Assign(state, "a", 0, i, attempt, "t1");
        }
        for (i = 0; i < count; i++) {
            ck_assert_int_ne(job->phase, JOB_FAILED);
            JobTest_End(state, "a", 0, i, attempt, "t1", JOB_END_FAILED,
                        attempt * count + i);
            if (attempt == 2) {
                break;
            }
        }
    }
    ck_assert_int_eq(job->phase, JOB_FAILED);
}
END_TEST

START_TEST(job_fails_after_max_attempts)
{
    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_FAILED, 1);
    ck_assert_int_eq(JobState_FindJob(state, "a")->phase, JOB_RUNNING);
    JobTest_Assign(state, "a", 0, 0, 2, "t2");
    JobTest_End(state, "a", 0, 0, 2, "t2", JOB_END_FAILED, 1);
    ck_assert_int_eq(JobState_FindJob(state, "a")->phase, JOB_FAILED);
}
END_TEST

static const struct {
    const char *name;
    uint32_t max_attempts[3]; /* of later configurations; 0: without the
                                 queue */
    size_t count;
    bool restored; /* from a snapshot after the last one */
} queue_changes[] = {
    {"removed", {0}, 1, false},
    {"removed, before a snapshot", {0}, 1, true},
    {"limit raised", {9}, 1, false},
    {"limit lowered", {1}, 1, false},
    {"removed and added again with a higher limit", {0, 9}, 2, true},
    {"changed, removed and added again", {9, 0, 1}, 3, false},
};

/* Guards against a task that is started without end after its queue was
 * removed, and against a limit other than that under which its job was
 * accepted. */
START_TEST(limit_of_attempts_outlasts_changes_of_the_queue)
{
    const char *name = queue_changes[_i].name;
    Buf bytes = BUF_INIT;
    ErrCtx err;
    size_t i;

    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    for (i = 0; i < queue_changes[_i].count; i++) {
        uint32_t limit = queue_changes[_i].max_attempts[i];
        JobTest_ConfigureQueue(state, 6 + i, limit > 0 ? "p" : NULL, limit);
    }
    if (queue_changes[_i].restored) {
        JobState_Snapshot(state, &bytes);
        ck_assert_int_eq(JobState_Restore(state, bytes.data, bytes.len, &err),
                         ST_OK);
        Buf_Free(&bytes);
    }
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_FAILED, 1);
    ck_assert_msg(JobState_FindJob(state, "a")->phase == JOB_RUNNING, "%s",
                  name);
    JobTest_Assign(state, "a", 0, 0, 2, "t2");
    JobTest_End(state, "a", 0, 0, 2, "t2", JOB_END_FAILED, 1);
    ck_assert_msg(JobState_FindJob(state, "a")->phase == JOB_FAILED, "%s",
                  name);
}
END_TEST

/* Guards against a task that is started without end because its failures are
 * counted only up to a number below its limit. */
START_TEST(highest_limit_of_attempts_is_reached)
{
    const Job *job;
    uint32_t limit = _i == 0 ? 300 : UINT32_MAX;
    uint32_t most = _i == 0 ? 300 : UINT16_MAX;
    uint32_t attempt = 0;

    JobTest_ConfigureQueue(state, 6, "p", limit);
    JobTest_Submit(state, "a", 1, 1, 500);
    job = JobState_FindJob(state, "a");
    while (job->phase < JOB_COMPLETED && attempt <= most) {
        attempt++;
        JobTest_Assign(state, "a", 0, 0, attempt, "t1");
        JobTest_End(state, "a", 0, 0, attempt, "t1", JOB_END_FAILED, attempt);
    }
    ck_assert_uint_eq(attempt, most);
    ck_assert_int_eq(job->phase, JOB_FAILED);
}
END_TEST

/* Guards against work that counts for one pool and is placed in another one.
 */
START_TEST(job_keeps_the_last_pool_of_its_queue)
{
    const Job *job;

    JobTest_Submit(state, "a", 1, 1, 500);
    job = JobState_FindJob(state, "a");
    JobTest_ConfigureQueue(state, 6, "idle", 2);
    ck_assert_str_eq(job->pool, "idle");
    JobTest_ConfigureQueue(state, 7, NULL, 0);
    ck_assert_str_eq(job->pool, "idle");
    JobTest_ConfigureQueue(state, 8, "p", 2);
    ck_assert_str_eq(job->pool, "p");
}
END_TEST

START_TEST(lasting_task_waits_again_after_any_end)
{
    uint64_t number;
    JobTaskRef ref = {"a", 0, 0, 0};
    Job *job;

    JobTest_SubmitLasting(state, "a", 1, 1);
    for (number = 1; number <= 5; number++) {
        JobTest_Assign(state, "a", 0, 0, (uint32_t)number, "t1");
        JobTest_End(state, "a", 0, 0, (uint32_t)number, "t1",
                    number % 2 == 0 ? JOB_END_DONE : JOB_END_FAILED, number);
        ck_assert_int_eq(JobState_FindTask(state, &ref, &job)->state,
                         JOB_TASK_WAITING);
        ck_assert_int_eq(job->phase, JOB_RUNNING);
    }
}
END_TEST

START_TEST(late_done_end_completes_waiting_task)
{
    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_LOST, 0);
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_DONE, 1);
    ck_assert_int_eq(JobState_FindJob(state, "a")->phase, JOB_COMPLETED);
    /* An assignment that was in flight has no effect. */
    JobTest_Assign(state, "a", 0, 0, 2, "t2");
    ck_assert_uint_eq(JobState_FindTarget(state, "t2")->run_count, 0);
}
END_TEST

START_TEST(cancelled_job_ignores_assignments)
{
    Buf command = BUF_INIT;

    JobTest_Submit(state, "a", 1, 2, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobCmd_EncodeCancel(&command, "a", 1500, "");
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    JobTest_Assign(state, "a", 0, 1, 1, "t2");
    ck_assert_uint_eq(JobState_FindTarget(state, "t2")->run_count, 0);
    ck_assert(JobState_FindJob(state, "a")->active);
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_STOPPED, 1);
    ck_assert(!JobState_FindJob(state, "a")->active);
    JobCmd_EncodeCancel(&command, "a", 1500, "");
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_EXISTS);
    JobCmd_EncodeCancel(&command, "b", 1500, "");
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_UNKNOWN);
}
END_TEST

static JobResult
cancel_job(const char *id, int64_t wall_ms)
{
    Buf command = BUF_INIT;

    JobCmd_EncodeCancel(&command, id, wall_ms, "");
    return JobTest_Apply(state, &command);
}

static void
expire(int64_t wall_ms)
{
    Buf command = BUF_INIT;

    JobCmd_EncodeExpire(&command, wall_ms);
    JobTest_Apply(state, &command);
}

/* Replaces the state with one restored from its snapshot. */
static void
restore_from_snapshot(void)
{
    JobState *copy = JobState_New();
    Buf bytes = BUF_INIT;
    ErrCtx err;

    JobState_Snapshot(state, &bytes);
    ck_assert_int_eq(JobState_Restore(copy, bytes.data, bytes.len, &err),
                     ST_OK);
    Buf_Free(&bytes);
    JobState_Free(state);
    state = copy;
}

static const struct {
    const char *name;
    const char *cancelled;
    int64_t cancelled_ms;
    int64_t expired_ms; /* ends and cancellations before this time expire */
    bool restored;
    JobPhase expected; /* of job "a", submitted afterwards */
} early_cancel_cases[] = {
    {"cancelled", "a", 1500, 1500, false, JOB_CANCELLED},
    {"cancelled, then a snapshot", "a", 1500, 1500, true, JOB_CANCELLED},
    {"another job cancelled", "b", 1500, 1500, false, JOB_QUEUED},
    {"cancellation expired", "a", 1500, 1501, false, JOB_QUEUED},
};

/* Guards against a job that runs after its caller was told at its cancellation
 * that it does not exist. */
START_TEST(cancellation_ends_job_that_is_submitted_later)
{
    const Job *job;

    ck_assert_int_eq(cancel_job(early_cancel_cases[_i].cancelled,
                                early_cancel_cases[_i].cancelled_ms),
                     JOB_RESULT_UNKNOWN);
    ck_assert_ptr_null(JobState_FindJob(state, "a"));
    expire(early_cancel_cases[_i].expired_ms);
    if (early_cancel_cases[_i].restored) {
        restore_from_snapshot();
    }
    ck_assert_int_eq(JobTest_Submit(state, "a", 1, 1, 500), JOB_RESULT_OK);
    job = JobState_FindJob(state, "a");
    ck_assert_msg(job->phase == early_cancel_cases[_i].expected, "%s",
                  early_cancel_cases[_i].name);
    ck_assert_int_eq(job->active, job->phase == JOB_QUEUED);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count,
                      job->active ? 1 : 0);
    ck_assert_int_eq(cancel_job("a", 1600),
                     job->active ? JOB_RESULT_OK : JOB_RESULT_EXISTS);
}
END_TEST

START_TEST(early_cancellations_are_bounded)
{
    char id[JOB_ID_BYTES];
    uint32_t i;

    for (i = 0; i <= JOB_MAX_EARLY_CANCELS; i++) {
        snprintf(id, sizeof(id), "j%u", i);
        ck_assert_int_eq(cancel_job(id, 1500), JOB_RESULT_UNKNOWN);
        ck_assert_int_eq(cancel_job(id, 1500), JOB_RESULT_UNKNOWN);
    }
    ck_assert_uint_eq(JobState_EarlyCancelCount(state), JOB_MAX_EARLY_CANCELS);
    JobTest_Submit(state, "j0", 1, 1, 500); /* the oldest has given way */
    ck_assert_int_eq(JobState_FindJob(state, "j0")->phase, JOB_QUEUED);
    JobTest_Submit(state, "j1", 1, 1, 500);
    ck_assert_int_eq(JobState_FindJob(state, "j1")->phase, JOB_CANCELLED);
    JobTest_Submit(state, id, 1, 1, 500);
    ck_assert_int_eq(JobState_FindJob(state, id)->phase, JOB_CANCELLED);
    ck_assert_uint_eq(JobState_EarlyCancelCount(state),
                      JOB_MAX_EARLY_CANCELS - 2);
}
END_TEST

START_TEST(new_incarnation_ends_previous_runs)
{
    uint64_t serial = JobState_FindTarget(state, "t1")->serial;

    JobTest_Submit(state, "a", 1, 2, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    ck_assert_int_eq(JobTest_SetTarget(state, "t1", "vm1", "p", 90, false),
                     JOB_RESULT_IGNORED);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 1);
    JobTest_SetTarget(state, "t1", "vm1", "p", 200, false);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->run_count, 0);
    ck_assert_uint_ne(JobState_FindTarget(state, "t1")->serial, serial);
    ck_assert_uint_eq(JobState_FindTarget(state, "t1")->last_applied_end, 0);
}
END_TEST

START_TEST(finds_latest_target_of_vm)
{
    JobTest_SetTarget(state, "t3", "vm1", "p", 300, false);
    ck_assert_str_eq(JobState_FindVmTarget(state, "vm1")->announcement.id,
                     "t3");
    ck_assert_ptr_null(JobState_FindVmTarget(state, "vm9"));
}
END_TEST

START_TEST(snapshot_restores_whole_state)
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
    JobCmd_EncodeWave(&command, &wave);
    JobTest_Apply(state, &command);
    JobCmd_EncodeWaveVm(&command, 3, "vm1", true);
    JobTest_Apply(state, &command);
    JobCmd_EncodeVmOrder(&command, &order);
    JobTest_Apply(state, &command);
    cancel_job("d", 1500);
    JobTest_SetTarget(state, "t3", "vm3", "p", 100, false);
    JobTest_SetTarget(state, "t2", "vm2", "p", 200, false);
    JobCmd_EncodeTargetGone(
        &command,
        &(JobRemoval){2, JobState_FindTarget(state, "t3")->serial, 101, 9});
    JobTest_Apply(state, &command);
    JobState_Snapshot(state, &first);
    ck_assert_int_eq(JobState_Restore(copy, first.data, first.len, &err),
                     ST_OK);
    JobState_Snapshot(copy, &second);
    ck_assert_uint_eq(first.len, second.len);
    ck_assert_mem_eq(first.data, second.data, first.len);
    ck_assert_uint_eq(JobState_FindTarget(copy, "t1")->used.cpu, 500);
    ck_assert_uint_eq(JobState_FindWave(copy, 3)->done, 1);
    ck_assert_int_eq(JobState_FindJob(copy, "b")->phase, JOB_COMPLETED);
    ck_assert_uint_eq(JobState_FindVmOrder(copy, "vm1")->fence, 77);
    ck_assert_uint_eq(JobState_EarlyCancelCount(copy), 1);
    ck_assert(JobState_HasTargetEnded(copy, "t3", 100));
    ck_assert(!JobState_HasTargetEnded(copy, "t3", 101));
    ck_assert(JobState_FindTarget(copy, "t2")->restarted);
    ck_assert(!JobState_FindTarget(copy, "t1")->restarted);
    JobState_Free(copy);
    Buf_Free(&first);
    Buf_Free(&second);
}
END_TEST

/* What earlier formats of a snapshot have instead of some bytes: all
 * occurrences of a job, a task that was never assigned has no crash score, a
 * target does not say whether it has restarted, and a job has no terms. */
static const struct {
    char last_format; /* the last one that differs */
    const char *now;
    size_t now_len;
    const char *then;
    size_t then_len;
    size_t count; /* in the snapshot of the test */
} earlier_bytes[] = {
    {4, "\x98\0\0\0\0\xa0\0\0\0", 9, "\x97\0\0\0\0\xa0\0\0", 8, 6},
    {4, "\0\x91\x92\xc2\x96", 5, "\x91\x96", 2, 1},
    {4, "\xc2\x91\x9b\xa1", 4, "\xc2\x91\x9a\xa1", 4, 1},
    {2, "\x97\0\0\0\0\xa0\0\0", 8, "\x95\0\0\0\0\xa0", 6, 6},
    {3, "\x95\0\x01\0", 4, "\x94\0\x01\0", 4, 1},
    {3, "\xc2\x95\x01\x02\0", 5, "\x94\x01\x02\0", 4, 1},
    {3,
     "\xc2\x91\x9a\xa1"
     "a\xa1q\xa1p\x93\x02\xcd\x02\x58\xcd\x06\x40",
     17,
     "\x91\x99\xa1"
     "a\xa1q\xa1p",
     8, 1},
};

static void
replace_bytes(Buf *bytes, size_t row)
{
    const char *now = earlier_bytes[row].now;
    size_t now_len = earlier_bytes[row].now_len;
    Buf old = BUF_INIT;
    size_t count = 0;
    size_t i = 0;

    while (i < bytes->len) {
        if (bytes->len - i >= now_len &&
            memcmp(bytes->data + i, now, now_len) == 0) {
            Buf_Append(&old, earlier_bytes[row].then,
                       earlier_bytes[row].then_len);
            i += now_len;
            count++;
            continue;
        }
        Buf_Append(&old, bytes->data + i++, 1);
    }
    ck_assert_uint_eq(count, earlier_bytes[row].count);
    Buf_Free(bytes);
    *bytes = old;
}

/* Turns a snapshot into one of an earlier format. The first three have no
 * removed targets, and the first one no early cancellations either. */
static void
downgrade_snapshot(Buf *bytes, char format)
{
    size_t i;

    ck_assert_mem_eq(bytes->data, "\x9a\x05", 2);
    ck_assert_mem_eq(bytes->data + bytes->len - 2, "\x90\x90", 2);
    for (i = 0; i < sizeof(earlier_bytes) / sizeof(earlier_bytes[0]); i++) {
        if (format <= earlier_bytes[i].last_format) {
            replace_bytes(bytes, i);
        }
    }
    bytes->data[1] = format;
    if (format < 4) {
        bytes->len -= format == 1 ? 2 : 1;
        bytes->data[0] = format == 1 ? (char)0x98 : (char)0x99;
    }
}

/* Guards against a node that cannot read its snapshot after an upgrade. */
START_TEST(snapshots_of_earlier_formats_are_restored)
{
    JobState *copy = JobState_New();
    Buf bytes = BUF_INIT;
    ErrCtx err;

    JobTest_Submit(state, "a", 2, 3, 500);
    JobState_OpenOccurrence(state, JobState_FindJob(state, "a"), 0);
    JobState_Snapshot(state, &bytes);
    downgrade_snapshot(&bytes, (char)(_i + 1));
    ck_assert_int_eq(JobState_Restore(copy, bytes.data, bytes.len, &err),
                     ST_OK);
    ck_assert_ptr_nonnull(JobState_FindJob(copy, "a"));
    ck_assert_uint_eq(JobState_FindJob(copy, "a")->open_tasks, 6);
    /* A notice of departure of an earlier incarnation may be under way, unless
     * the format says that there was none. */
    ck_assert(JobState_FindTarget(copy, "t1")->restarted == (_i + 1 < 4));
    ck_assert_uint_eq(JobState_RemovedTargetCount(copy), 0);
    ck_assert_uint_eq(JobState_FindJob(copy, "a")->terms.max_attempts, 2);
    JobState_Free(copy);
    Buf_Free(&bytes);
}
END_TEST

typedef struct CrashRow {
    const char *name;
    JobCrashEvidence evidence[6]; /* of attempts 1, 2, ... */
    size_t count;
    bool repeated; /* each crash is counted twice, as by two leaders */
    bool restored; /* from a snapshot before the last crash */
    bool fails;
} CrashRow;

#define SHARED JOB_CRASH_SHARED
#define UNSURE JOB_CRASH_UNSURE
#define POOL JOB_CRASH_POOL
#define LATE JOB_CRASH_LATE
#define SOON JOB_CRASH_SOON
#define CLEARED JOB_CRASH_CLEARED

static const CrashRow crash_rows[] = {
    {"shared", {SHARED, SHARED, SHARED, SHARED}, 4, 0, 0, 0},
    {"shared, five times",
     {SHARED, SHARED, SHARED, SHARED, SHARED},
     5,
     0,
     0,
     1},
    {"unsure", {UNSURE, UNSURE, UNSURE, UNSURE, UNSURE, UNSURE}, 6, 0, 0, 0},
    {"alone", {SOON, SOON, SOON}, 3, 0, 0, 1},
    {"alone, twice", {SOON, SOON}, 2, 0, 0, 0},
    {"alone, counted again", {SOON, SOON}, 2, 1, 0, 0},
    {"shared, then alone", {SHARED, SHARED, LATE, LATE}, 4, 0, 0, 1},
    {"shared, then alone once", {SHARED, SHARED, SOON}, 3, 0, 0, 0},
    {"pool", {POOL, POOL, POOL, POOL}, 4, 0, 0, 0},
    {"cleared", {SOON, SOON, CLEARED, SOON, SOON}, 5, 0, 0, 0},
    {"before and after a snapshot", {SOON, SOON, SOON}, 3, 0, 1, 1},
};

START_TEST(task_that_crashes_its_targets_fails_its_job)
{
    const CrashRow *row = &crash_rows[_i];
    size_t i;

    JobTest_Submit(state, "a", 1, 1, 500);
    for (i = 0; i < row->count; i++) {
        JobCrash crash = {{"a", 0, 0, 0}, (uint32_t)i + 1, row->evidence[i]};
        int copies = row->repeated ? 2 : 1;
        if (row->restored && i + 1 == row->count) {
            restore_from_snapshot();
        }
        JobTest_Assign(state, "a", 0, 0, crash.attempt, "t1");
        while (copies-- > 0) {
            Buf command = BUF_INIT;
            JobCmd_EncodeCrashes(&command, 1000, &crash, 1);
            JobTest_Apply(state, &command);
        }
        JobTest_End(state, "a", 0, 0, crash.attempt, "t1", JOB_END_LOST, 0);
    }
    ck_assert_msg((JobState_FindJob(state, "a")->phase == JOB_FAILED) ==
                      row->fails,
                  "%s", row->name);
}
END_TEST

/* A truncated snapshot is rejected and leaves the state unchanged; a corrupted
 * byte may not crash the decoder. */
START_TEST(damaged_snapshots_are_rejected)
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
        char original = bytes.data[at];
        bytes.data[at] = (char)Rng_Below(&rng, 256);
        JobState_Restore(copy, bytes.data, bytes.len, &err);
        bytes.data[at] = original;
        JobState_Free(copy);
    }
    ck_assert_ptr_nonnull(JobState_FindJob(state, "a"));
    Buf_Free(&bytes);
}
END_TEST

START_TEST(ended_jobs_expire)
{
    Buf command = BUF_INIT;

    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Submit(state, "b", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t1");
    JobTest_End(state, "a", 0, 0, 1, "t1", JOB_END_DONE, 1); /* ends at 2000 */
    JobCmd_EncodeExpire(&command, 2000);
    JobTest_Apply(state, &command);
    ck_assert_ptr_nonnull(JobState_FindJob(state, "a"));
    JobCmd_EncodeExpire(&command, 2001);
    JobTest_Apply(state, &command);
    ck_assert_ptr_null(JobState_FindJob(state, "a"));
    ck_assert_ptr_nonnull(JobState_FindJob(state, "b"));
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
    {"valid configuration",
     {QUEUE("a", "/a/", "p", 100), QUEUE("b", "/b/", "p", 1)},
     2,
     0},
    {"unknown pool", {QUEUE("a", "/a/", "x", 100)}, 1, 1},
    {"two queues with the same host and prefix",
     {QUEUE("a", "/a/", "p", 100), QUEUE("b", "/a/", "p", 100)},
     2,
     1},
    {"no timeout", {QUEUE("a", "/a/", "p", 0)}, 1, 1},
    {"all findings at once",
     {QUEUE("a", "/a/", "x", 0), QUEUE("b", "/a/", "y", 0)},
     2,
     5},
};

START_TEST(config_check_reports_all_faults)
{
    const ConfigCase *row = &config_cases[_i];
    JobPool pool = {.name = "p"};
    JobQueue queues[2] = {row->queues[0], row->queues[1]};
    JobConfig config = {1, queues, row->count, &pool, 1, NULL, 0, NULL, 0};
    Findings *findings = Findings_New("test");

    JobConfig_Check(&config, findings);
    ck_assert_msg(Findings_Count(findings) == row->findings,
                  "%s: %zu findings", row->name, Findings_Count(findings));
    Findings_Free(findings);
}
END_TEST

START_TEST(longest_prefix_matches)
{
    JobQueue queues[2] = {QUEUE("short", "/a/", "p", 1),
                          QUEUE("long", "/a/b/", "p", 1)};
    JobConfig config = {1, queues, 2, NULL, 0, NULL, 0, NULL, 0};

    ck_assert_str_eq(JobConfig_MatchQueue(&config, "h", "/a/b/x")->name,
                     "long");
    ck_assert_str_eq(JobConfig_MatchQueue(&config, "h", "/a/x")->name,
                     "short");
    ck_assert_ptr_null(JobConfig_MatchQueue(&config, "h", "/c/x"));
    ck_assert_ptr_null(JobConfig_MatchQueue(&config, "other", "/a/x"));
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobstate");
    TCase *tcase = tcase_create("state");

    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_test(tcase, ignores_config_versions_not_newer);
    tcase_add_test(tcase, stores_configuration_with_many_pools);
    tcase_add_test(tcase, ignores_resubmitted_job);
    tcase_add_test(tcase, step_is_ready_after_its_dependencies);
    tcase_add_loop_test(tcase, applies_only_ends_of_current_run, 0,
                        sizeof(end_cases) / sizeof(end_cases[0]));
    tcase_add_test(tcase, job_fails_after_max_attempts);
    tcase_add_test(tcase, gang_fails_after_max_attempts);
    tcase_add_loop_test(
        tcase, limit_of_attempts_outlasts_changes_of_the_queue, 0,
        (int)(sizeof(queue_changes) / sizeof(queue_changes[0])));
    tcase_add_loop_test(tcase, highest_limit_of_attempts_is_reached, 0, 2);
    tcase_add_test(tcase, job_keeps_the_last_pool_of_its_queue);
    tcase_add_test(tcase, lasting_task_waits_again_after_any_end);
    tcase_add_test(tcase, late_done_end_completes_waiting_task);
    tcase_add_test(tcase, cancelled_job_ignores_assignments);
    tcase_add_loop_test(
        tcase, cancellation_ends_job_that_is_submitted_later, 0,
        sizeof(early_cancel_cases) / sizeof(early_cancel_cases[0]));
    tcase_add_test(tcase, early_cancellations_are_bounded);
    tcase_add_test(tcase, new_incarnation_ends_previous_runs);
    tcase_add_test(tcase, finds_latest_target_of_vm);
    tcase_add_test(tcase, snapshot_restores_whole_state);
    tcase_add_loop_test(tcase, snapshots_of_earlier_formats_are_restored, 0,
                        4);
    tcase_add_loop_test(tcase, task_that_crashes_its_targets_fails_its_job, 0,
                        (int)(sizeof(crash_rows) / sizeof(crash_rows[0])));
    tcase_add_test(tcase, damaged_snapshots_are_rejected);
    tcase_add_test(tcase, ended_jobs_expire);
    tcase_add_loop_test(tcase, config_check_reports_all_faults, 0,
                        sizeof(config_cases) / sizeof(config_cases[0]));
    tcase_add_test(tcase, longest_prefix_matches);
    suite_add_tcase(suite, tcase);
    return suite;
}
