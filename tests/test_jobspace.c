#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "jobspace.h"
#include "jobstate.h"
#include "support.h"
#include "support_job.h"

#define KB ((size_t)1024)
#define MB (KB * KB)

typedef struct SpaceCase {
    const char *name;
    size_t kept;
    size_t pending;
    size_t bytes;
    JobSpaceVerdict verdict;
} SpaceCase;

/* Of 40 MB. */
static const SpaceCase space_cases[] = {
    {"an ordinary job", 39 * MB, 0, 2 * KB, JOB_SPACE_FREE},
    {"an ordinary job beyond the limit", 40 * MB - KB, 0, 2 * KB,
     JOB_SPACE_FULL},
    {"a large job in the first half", 19 * MB, 0, 256 * KB, JOB_SPACE_FREE},
    {"a large job in the second half", 20 * MB, 0, 256 * KB, JOB_SPACE_FULL},
    {"a job of the largest legal text", 39 * MB, 0, 11 * KB, JOB_SPACE_FREE},
    {"jobs in progress count as kept", 39 * MB, MB - KB, 2 * KB,
     JOB_SPACE_FULL},
    {"too much is in progress", 0, 4 * MB - KB, 2 * KB, JOB_SPACE_PENDING},
    {"a job that exceeds each limit, alone", 0, 0, 50 * MB, JOB_SPACE_FREE},
};

START_TEST(jobs_are_let_through_while_there_is_space)
{
    const SpaceCase *at = &space_cases[_i];
    JobSpace space = {.max_bytes = 40 * MB};

    JobSpace_Begin(&space, at->pending);
    ck_assert_msg(JobSpace_Check(&space, at->kept, at->bytes) == at->verdict,
                  "%s", at->name);
    JobSpace_End(&space, at->pending);
    ck_assert_uint_eq(space.pending_bytes, 0);
}
END_TEST

static JobResult
submit_text(JobState *state, const char *id, size_t text_len)
{
    JobStep step = {.count = 1};
    JobSpec spec = {.text = calloc(1, text_len + 1),
                    .text_len = text_len,
                    .steps = &step,
                    .step_count = 1};
    Buf command = BUF_INIT;
    JobResult result;

    memset(spec.text, 'x', text_len);
    JobCmd_EncodeSubmit(&command, id, "q", 1, &spec, "");
    result = JobTest_Apply(state, &command);
    free(spec.text);
    return result;
}

START_TEST(bytes_of_jobs_are_counted_until_they_expire)
{
    JobState *state = JobState_New();
    JobState *copy = JobState_New();
    Buf command = BUF_INIT;
    Buf snapshot = BUF_INIT;
    size_t without_text;

    JobTest_Configure(state, 5);
    ck_assert_int_eq(submit_text(state, "a", 0), JOB_RESULT_OK);
    without_text = JobState_GetJobBytes(state);
    ck_assert_uint_gt(without_text, 0);
    ck_assert_int_eq(submit_text(state, "b", 5000), JOB_RESULT_OK);
    ck_assert_int_eq(submit_text(state, "b", 5000), JOB_RESULT_EXISTS);
    ck_assert_uint_eq(JobState_GetJobBytes(state), 2 * without_text + 5000);
    JobState_Snapshot(state, &snapshot);
    ck_assert_int_eq(JobState_Restore(copy, snapshot.data, snapshot.len, NULL),
                     ST_OK);
    ck_assert_uint_eq(JobState_GetJobBytes(copy), 2 * without_text + 5000);
    JobCmd_EncodeCancel(&command, "b", 10, "");
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
    ck_assert_uint_eq(JobState_GetJobBytes(state), 2 * without_text);
    JobCmd_EncodeExpire(&command, 20);
    JobTest_Apply(state, &command);
    ck_assert_uint_eq(JobState_GetJobBytes(state), without_text);
    Buf_Free(&snapshot);
    JobState_Free(copy);
    JobState_Free(state);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobspace");
    TCase *tcase = tcase_create("space");

    tcase_add_loop_test(tcase, jobs_are_let_through_while_there_is_space, 0,
                        sizeof(space_cases) / sizeof(space_cases[0]));
    tcase_add_test(tcase, bytes_of_jobs_are_counted_until_they_expire);
    suite_add_tcase(suite, tcase);
    return suite;
}
