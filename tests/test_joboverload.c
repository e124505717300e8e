#include <check.h>

#include "joboutlook.h"
#include "jobsched_impl.h"
#include "rng.h"
#include "support.h"

/* --- capacity forecast --- */

typedef struct OutlookCase {
    const char *name;
    int64_t free;
    int64_t gain_at_ms[3]; /* each of 1,000; 0: none */
    int64_t core_ms;
    int64_t start_ms; /* INT64_MAX: not in sight */
} OutlookCase;

static const OutlookCase outlook_cases[] = {
    {"nothing waits", 1000, {0}, 0, 100},
    {"free capacity does the work ahead", 2000, {0}, 6000, 103},
    {"the next run that ends frees the first capacity", 0, {150}, 0, 150},
    {"capacity adds up, in any order", 0, {300, 200}, 200000, 350},
    {"a run that is overdue ends at once", 0, {90}, 1000, 101},
    {"no run ends", 0, {0}, 10, INT64_MAX},
};

START_TEST(forecast_follows_ends_of_runs)
{
    const OutlookCase *row = &outlook_cases[_i];
    JobOutlook outlook = {0};
    size_t i;

    JobOutlook_Begin(&outlook, 100);
    JobOutlook_AddTarget(&outlook, 16000, row->free);
    for (i = 0; i < 3 && row->gain_at_ms[i] != 0; i++) {
        JobOutlook_AddGain(&outlook, row->gain_at_ms[i], 1000);
    }
    JobOutlook_End(&outlook);
    ck_assert_msg(JobOutlook_GetStartMs(&outlook, row->core_ms) ==
                      row->start_ms,
                  "%s: %lld", row->name,
                  (long long)JobOutlook_GetStartMs(&outlook, row->core_ms));
    JobOutlook_Free(&outlook);
}
END_TEST

/* Guards against work of lower priority, or of late jobs, that counts against
 * a job that is placed before it. */
START_TEST(work_ahead_is_by_class_and_priority)
{
    JobOutlook outlook = {0};

    JobOutlook_Begin(&outlook, 0);
    JobOutlook_AddWork(&outlook, OUTLOOK_BEGUN, 3, 1);
    JobOutlook_AddWork(&outlook, OUTLOOK_ON_TIME, 0, 10);
    JobOutlook_AddWork(&outlook, OUTLOOK_ON_TIME, 2, 100);
    JobOutlook_AddWork(&outlook, OUTLOOK_ON_TIME, 99, 1000);
    JobOutlook_AddWork(&outlook, OUTLOOK_LATE, 0, 10000);
    ck_assert_int_eq(JobOutlook_GetAhead(&outlook, 0), 11);
    ck_assert_int_eq(JobOutlook_GetAhead(&outlook, 1), 11);
    ck_assert_int_eq(JobOutlook_GetAhead(&outlook, 2), 111);
    ck_assert_int_eq(JobOutlook_GetAhead(&outlook, 1000), 1111);
    ck_assert_int_eq(JobOutlook_GetAheadOfLate(&outlook), 1111);
    JobOutlook_AddTarget(&outlook, 16000, 100);
    JobOutlook_AddGain(&outlook, 50, 1000);
    JobOutlook_End(&outlook);
    ck_assert_int_eq(JobOutlook_GetCapacity(&outlook, 150), 15000 + 100000);
    JobOutlook_Free(&outlook);
}
END_TEST

/* Guards against trust in declared run times that are wrong: the error is
 * unknown without runs, small for right ones, and large for random ones. */
START_TEST(estimates_know_their_error)
{
    JobEst *est = JobEst_New();
    Rng rng;
    int i;

    Rng_Seed(&rng, 1);
    ck_assert(JobEst_GetErrorFactor(est, "right") == EST_MAX_ERROR);
    for (i = 0; i < 200; i++) {
        uint32_t ms = 200 + Rng_Below(&rng, 1000);
        JobEst_AddRun(est, "right", ms, ms * 2);
        JobEst_AddRun(est, "wrong", ms, 100 + Rng_Below(&rng, 9000));
    }
    ck_assert(JobEst_GetErrorFactor(est, "right") < 1.1);
    ck_assert(JobEst_GetErrorFactor(est, "wrong") > 2);
    ck_assert(JobEst_GetErrorFactor(est, "wrong") <= EST_MAX_ERROR);
    JobEst_AddJob(est, "right", 100);
    JobEst_AddJob(est, "right", 300);
    ck_assert_int_eq(JobEst_GetMeanWork(est, "right"), 200);
    ck_assert_int_eq(JobEst_GetMeanWork(est, "wrong"), 0);
    JobEst_Free(est);
}
END_TEST

/* --- order --- */

/* Guards against priority that overtakes the classes: a late job of the
 * highest priority would go before jobs that can still be in time. */
START_TEST(class_goes_before_priority_and_priority_before_rank)
{
    static const SchedRank ordered[] = {
        {SCHED_LASTING, 0, 5},  {SCHED_LASTING, 0, 6},
        {SCHED_BEGUN, 0, 900},  {SCHED_BEGUN, 2, 3},
        {SCHED_ON_TIME, 0, -1}, {SCHED_ON_TIME, 0, 7},
        {SCHED_ON_TIME, 1, -9}, {SCHED_ON_TIME, 3, -99},
        {SCHED_LATE, 0, 1},     {SCHED_CRASHED_ALONE, 0, 0},
    };
    int count = (int)(sizeof(ordered) / sizeof(ordered[0]));
    int i;
    int j;

    for (i = 0; i < count; i++) {
        for (j = 0; j < count; j++) {
            int order = SchedImpl_CompareRanks(&ordered[i], &ordered[j]);
            ck_assert_int_eq((order > 0) - (order < 0), (i > j) - (i < j));
        }
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("joboverload");
    TCase *tcase = tcase_create("forecast");

    tcase_add_loop_test(
        tcase, forecast_follows_ends_of_runs, 0,
        (int)(sizeof(outlook_cases) / sizeof(outlook_cases[0])));
    tcase_add_test(tcase, work_ahead_is_by_class_and_priority);
    tcase_add_test(tcase, estimates_know_their_error);
    suite_add_tcase(suite, tcase);
    tcase = tcase_create("order");
    tcase_add_test(tcase, class_goes_before_priority_and_priority_before_rank);
    suite_add_tcase(suite, tcase);
    return suite;
}
