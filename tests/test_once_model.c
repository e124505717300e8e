#include "support.h"
#include "support_once.h"

#include <stdio.h>

#define SEEDS 200
#define STEPS 1000

/* Guards against double executions, a false "not run" and answers of another
 * request under crashes, lost disks, partitions, resends and duplicates. */
START_TEST(no_fault_breaks_no_promise)
{
    OnceModelResult sum = {0};
    uint64_t seed;

    for (seed = 1; seed <= SEEDS; seed++) {
        OnceModelResult one =
            OnceModel_Run(seed, NULL, 0, STEPS, ONCE_FAULT_NONE);
        ck_assert_msg(one.violation == NULL, "seed %d: %s", (int)seed,
                      one.violation);
        sum.executions += one.executions;
        sum.told_done += one.told_done;
        sum.told_not_run += one.told_not_run;
        sum.told_unknown += one.told_unknown;
        sum.restarts += one.restarts;
        sum.learned += one.learned;
        sum.recovered += one.recovered;
    }
    printf("once: %d seeds: %u executions, told %u done, %u not run, "
           "%u unknown; %u restarts, %u outcomes from peers, "
           "%u records from disks\n",
           SEEDS, sum.executions, sum.told_done, sum.told_not_run,
           sum.told_unknown, sum.restarts, sum.learned, sum.recovered);
    /* The run must reach the states that it is about. */
    ck_assert_uint_gt(sum.executions, 4 * SEEDS);
    ck_assert_uint_gt(sum.told_done, SEEDS);
    ck_assert_uint_gt(sum.told_not_run, SEEDS);
    ck_assert_uint_gt(sum.restarts, SEEDS);
    ck_assert_uint_gt(sum.learned, 0);
    ck_assert_uint_gt(sum.recovered, SEEDS);
}
END_TEST

/* Guards against an oracle that cannot see the faults it is there for. */
START_TEST(oracle_finds_each_fault)
{
    static const char *const names[ONCE_FAULT_COUNT] = {
        "none",
        "no record before dispatch",
        "unrecorded old token run",
        "same incarnation after restart",
        "second dispatch when the answer is late",
        "not run when the answer is late",
        "attempt of not run ignored",
        "not run for an unreachable home",
        "not run that is not final",
        "echo ignored"};
    int fault;

    for (fault = ONCE_FAULT_NONE + 1; fault < ONCE_FAULT_COUNT; fault++) {
        const char *first = NULL;
        int found = 0;
        uint64_t seed;
        for (seed = 1; seed <= SEEDS; seed++) {
            OnceModelResult one =
                OnceModel_Run(seed, NULL, 0, STEPS, (OnceFault)fault);
            if (one.violation != NULL) {
                found++;
                first = first == NULL ? one.violation : first;
            }
        }
        printf("once: %s: found at %d of %d seeds (%s)\n", names[fault], found,
               SEEDS, first == NULL ? "-" : first);
        ck_assert_msg(found > 0, "fault not found: %s", names[fault]);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("once_model");
    TCase *tcase = tcase_create("seeds");

    tcase_add_test(tcase, no_fault_breaks_no_promise);
    tcase_add_test(tcase, oracle_finds_each_fault);
    suite_add_tcase(suite, tcase);
    return suite;
}
