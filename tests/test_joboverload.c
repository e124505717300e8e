#include <check.h>

#include "jobsched_impl.h"
#include "support.h"

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
    TCase *tcase = tcase_create("order");

    tcase_add_test(tcase, class_goes_before_priority_and_priority_before_rank);
    suite_add_tcase(suite, tcase);
    return suite;
}
