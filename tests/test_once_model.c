#include "support.h"
#include "support_once.h"

#include <stdio.h>

#define SEED_COUNT 200
#define STEP_COUNT 1000

/* Guards against double executions, false "not run" replies and answers to
 * another request during crashes, lost disks, partitions, resends and
 * duplicated messages. */
START_TEST(failures_do_not_break_at_most_once)
{
    OnceModelResult total = {0};
    uint64_t seed;

    for (seed = 1; seed <= SEED_COUNT; seed++) {
        OnceModelResult result =
            OnceModel_Run(seed, NULL, 0, STEP_COUNT, ONCE_FAULT_NONE);
        ck_assert_msg(result.violation == NULL, "seed %d: %s", (int)seed,
                      result.violation);
        total.executions += result.executions;
        total.replied_done += result.replied_done;
        total.replied_not_run += result.replied_not_run;
        total.replied_unknown += result.replied_unknown;
        total.restarts += result.restarts;
        total.peer_outcomes += result.peer_outcomes;
        total.recovered_records += result.recovered_records;
    }
    printf("once: %d seeds: %u executions; replies: %u done, %u not run, "
           "%u unknown; %u restarts, %u outcomes from peers, "
           "%u records from disks\n",
           SEED_COUNT, total.executions, total.replied_done,
           total.replied_not_run, total.replied_unknown, total.restarts,
           total.peer_outcomes, total.recovered_records);
    /* The seeds must reach the states that this test checks. */
    ck_assert_uint_gt(total.executions, 4 * SEED_COUNT);
    ck_assert_uint_gt(total.replied_done, SEED_COUNT);
    ck_assert_uint_gt(total.replied_not_run, SEED_COUNT);
    ck_assert_uint_gt(total.restarts, SEED_COUNT);
    ck_assert_uint_gt(total.peer_outcomes, 0);
    ck_assert_uint_gt(total.recovered_records, SEED_COUNT);
}
END_TEST

/* Guards against an oracle that does not detect a deliberate fault. */
START_TEST(oracle_detects_each_fault)
{
    static const char *const names[ONCE_FAULT_COUNT] = {
        "none",
        "no record before an attempt",
        "old token run without a record",
        "same incarnation after restart",
        "second attempt when the answer is late",
        "not run when the answer is late",
        "attempt number of not run ignored",
        "not run for an unreachable home",
        "not run that is not final",
        "answer to another request accepted"};
    int fault;

    for (fault = ONCE_FAULT_NONE + 1; fault < ONCE_FAULT_COUNT; fault++) {
        const char *first_violation = NULL;
        int detected = 0;
        uint64_t seed;
        for (seed = 1; seed <= SEED_COUNT; seed++) {
            OnceModelResult result =
                OnceModel_Run(seed, NULL, 0, STEP_COUNT, (OnceFault)fault);
            if (result.violation != NULL) {
                detected++;
                first_violation = first_violation == NULL ? result.violation
                                                          : first_violation;
            }
        }
        printf("once: %s: found with %d of %d seeds (%s)\n", names[fault],
               detected, SEED_COUNT,
               first_violation == NULL ? "-" : first_violation);
        ck_assert_msg(detected > 0, "fault not found: %s", names[fault]);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("once_model");
    TCase *tcase = tcase_create("seeds");

    tcase_add_test(tcase, failures_do_not_break_at_most_once);
    tcase_add_test(tcase, oracle_detects_each_fault);
    suite_add_tcase(suite, tcase);
    return suite;
}
