#include "loopstall.h"
#include "support.h"

/* An iteration each 50 ms, with 5 requests a second. Returns the time after
 * the last one. */
static int64_t
run_iterations(LoopStall *stall, int64_t now_us, int count, uint64_t *requests)
{
    for (; count > 0; count--) {
        LoopStall_BeginIteration(stall, now_us);
        *requests += count % 4 == 0;
        LoopStall_EndIteration(stall, now_us + 1000, *requests);
        now_us += 50000;
    }
    return now_us;
}

START_TEST(steady_loop_has_no_stall)
{
    LoopStall stall = {0};
    LoopStallReport report;
    uint64_t requests = 0;
    int64_t now_us = run_iterations(&stall, 5000000, 100, &requests);

    ck_assert(!LoopStall_Report(&stall, now_us, requests, &report));
    ck_assert_uint_eq(stall.count, 0);
}
END_TEST

/* Guards against orders that a suspended process finds in its sockets and
 * that no line shows. */
START_TEST(stall_is_reported_once_with_the_requests_that_waited)
{
    LoopStall stall = {0};
    LoopStallReport report;
    uint64_t requests = 0;
    int64_t now_us = run_iterations(&stall, 5000000, 3, &requests);

    requests = 10;
    LoopStall_EndIteration(&stall, now_us, requests);
    now_us += 7500000;
    requests += 6;
    LoopStall_BeginIteration(&stall, now_us);
    ck_assert(!LoopStall_Report(&stall, now_us, requests, &report));
    requests += 2;
    LoopStall_EndIteration(&stall, now_us, requests);
    ck_assert(LoopStall_Report(&stall, now_us + 100000, requests, &report));
    ck_assert_int_eq(report.stalled_ms, 7500);
    ck_assert_int_eq(report.ago_ms, 100);
    ck_assert_uint_eq(report.requests, 8);
    ck_assert(!LoopStall_Report(&stall, now_us + 200000, requests, &report));
    ck_assert_uint_eq(stall.count, 1);
    ck_assert_int_eq(stall.total_us, 7500000);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("loopstall");
    TCase *tcase = tcase_create("loopstall");

    tcase_add_test(tcase, steady_loop_has_no_stall);
    tcase_add_test(tcase,
                   stall_is_reported_once_with_the_requests_that_waited);
    suite_add_tcase(suite, tcase);
    return suite;
}
