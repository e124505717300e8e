#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "jobdemand.h"
#include "jobest.h"
#include "rng.h"
#include "slog.h"
#include "support.h"

/* --- demand --- */

static JobDemand *demand;

static void
setup(void)
{
    demand = JobDemand_New();
    JobDemand_Clear(demand, 1000000);
}

static void
teardown(void)
{
    JobDemand_Free(demand);
}

/* Adds work at a rate, in thousandths of a core, between two times. */
static void
add_work(int64_t from, int64_t until, int64_t rate)
{
    int64_t at;

    for (at = from; at < until; at += 50) {
        JobDemand_AddWork(demand, at, "p", rate * 50);
    }
}

START_TEST(rate_covers_last_span)
{
    add_work(1000000, 1004000, 10000);
    add_work(1004000, 1006000, 200000);
    ck_assert_int_gt(JobDemand_GetRate(demand, 1006000, "p", 1000), 190000);
    ck_assert_int_lt(JobDemand_GetRate(demand, 1006000, "p", 1000), 210000);
    ck_assert_int_eq(JobDemand_GetRate(demand, 1006000, "other", 1000), 0);
}
END_TEST

START_TEST(rising_rate_is_extrapolated)
{
    int64_t at;

    for (at = 1000000; at < 1003000; at += 50) {
        JobDemand_AddWork(demand, at, "p", (at - 1000000) / 50 * 1000 * 50);
    }
    ck_assert_int_gt(JobDemand_ExtrapolateRate(demand, 1003000, "p", 2000),
                     JobDemand_GetRate(demand, 1003000, "p", 1000));
    add_work(1003000, 1007000, 20000);
    ck_assert_int_eq(JobDemand_ExtrapolateRate(demand, 1007000, "p", 2000), 0);
}
END_TEST

START_TEST(three_similar_bursts_form_period)
{
    int64_t burst;

    for (burst = 0; burst < 3; burst++) {
        ck_assert_int_eq(
            JobDemand_GetPeriod(demand, 1000000 + burst * 16000, "p"), 0);
        add_work(1000000 + burst * 16000, 1004000 + burst * 16000, 200000);
        add_work(1004000 + burst * 16000, 1016000 + burst * 16000, 5000);
    }
    ck_assert_int_gt(JobDemand_GetPeriod(demand, 1046000, "p"), 15000);
    ck_assert_int_lt(JobDemand_GetPeriod(demand, 1046000, "p"), 17000);
    ck_assert_int_gt(
        JobDemand_ForecastRate(demand, 1046000, "p", 1047500, 1049500),
        100000);
    ck_assert_int_eq(
        JobDemand_ForecastRate(demand, 1040000, "p", 1040000, 1042000), 0);
}
END_TEST

/* --- estimates --- */

START_TEST(uncorrelated_declarations_are_ignored)
{
    JobEst *est = JobEst_New();
    Rng rng;
    int i;

    Rng_Seed(&rng, 3);
    for (i = 0; i < 400; i++) {
        /* The declared time is random, every run takes 700 ms. */
        JobEst_AddRun(est, "q", 100 + Rng_Below(&rng, 9900), 700);
    }
    ck_assert_int_gt(JobEst_Predict(est, "q", 100), 600);
    ck_assert_int_lt(JobEst_Predict(est, "q", 9000), 800);
    JobEst_Free(est);
}
END_TEST

START_TEST(correlated_declarations_are_used)
{
    JobEst *est = JobEst_New();
    Rng rng;
    int i;

    Rng_Seed(&rng, 4);
    for (i = 0; i < 400; i++) {
        uint32_t declared = 200 + Rng_Below(&rng, 5000);
        JobEst_AddRun(est, "q", declared, (int64_t)declared * 2);
    }
    ck_assert_int_gt(JobEst_Predict(est, "q", 4000), 7000);
    ck_assert_int_lt(JobEst_Predict(est, "q", 400), 1000);
    JobEst_Free(est);
}
END_TEST

/* --- log lines --- */

START_TEST(full_pipe_does_not_block)
{
    SlogOptions options = SLOG_OPTIONS_DEFAULT;
    int pipes[2];
    int i;

    ck_assert_int_eq(pipe(pipes), 0);
    options.fd = pipes[1];
    options.ring_bytes = 4096;
    options.routine_per_s = 1000000;
    Slog_Open(&options);
    for (i = 0; i < 20000; i++) {
        Slog_Begin(SLOG_ROUTINE, "test_line");
        Slog_AddInt("number", i);
        Slog_End();
        Slog_Flush();
    }
    ck_assert_uint_gt(Slog_CountDropped(), 0);
    Slog_Close();
    close(pipes[0]);
    close(pipes[1]);
}
END_TEST

START_TEST(lines_are_json_and_rate_limited)
{
    SlogOptions options = SLOG_OPTIONS_DEFAULT;
    char text[4096];
    int pipes[2];
    ssize_t len;
    int i;

    ck_assert_int_eq(pipe(pipes), 0);
    options.fd = pipes[1];
    options.node = "n";
    options.routine_per_s = 2;
    Slog_Open(&options);
    Slog_SetTime(5, 5);
    for (i = 0; i < 5; i++) {
        Slog_Begin(SLOG_ROUTINE, "test_line");
        Slog_AddText("text", "a\"b\n");
        Slog_End();
    }
    Slog_SetTime(2005, 2005);
    Slog_Begin(SLOG_ROUTINE, "test_line");
    Slog_End();
    Slog_Flush();
    len = read(pipes[0], text, sizeof(text) - 1);
    ck_assert_int_gt(len, 0);
    text[len] = '\0';
    ck_assert_ptr_nonnull(
        strstr(text, "{\"t\":5,\"node\":\"n\",\"level\":\"info\","
                     "\"event\":\"test_line\",\"text\":\"a\\\"b\\u000a\"}\n"));
    ck_assert_ptr_nonnull(strstr(text, "\"left_out\":3"));
    Slog_Close();
    close(pipes[0]);
    close(pipes[1]);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobplan");
    TCase *demand_case = tcase_create("demand");
    TCase *other_case = tcase_create("others");

    tcase_add_checked_fixture(demand_case, setup, teardown);
    tcase_add_test(demand_case, rate_covers_last_span);
    tcase_add_test(demand_case, rising_rate_is_extrapolated);
    tcase_add_test(demand_case, three_similar_bursts_form_period);
    tcase_add_test(other_case, uncorrelated_declarations_are_ignored);
    tcase_add_test(other_case, correlated_declarations_are_used);
    tcase_add_test(other_case, full_pipe_does_not_block);
    tcase_add_test(other_case, lines_are_json_and_rate_limited);
    suite_add_tcase(suite, demand_case);
    suite_add_tcase(suite, other_case);
    return suite;
}
