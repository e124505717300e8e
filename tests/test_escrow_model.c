#include <stdio.h>

#include "rng.h"
#include "support.h"
#include "support_escrow.h"

#define SEEDS 200
#define STEPS_PER_SEED 3000

static uint32_t
choose_random(void *arg, uint32_t bound)
{
    return Rng_Below(arg, bound);
}

/* Guards against exceeded budgets, VMs that work in two pools, and lost
 * shares, grants and moves, under crashes at every step, partitions, and lost,
 * repeated and reordered proposals. */
START_TEST(invariants_hold_under_faults)
{
    EscrowModelReport total = {.failure = NULL};
    uint64_t seed;

    for (seed = 1; seed <= SEEDS; seed++) {
        EscrowModelReport report;
        Rng rng;
        Rng_Seed(&rng, seed);
        EscrowModel_Run(choose_random, &rng, STEPS_PER_SEED, true, &report);
        ck_assert_msg(report.failure == NULL, "seed %d, step %zu: %s",
                      (int)seed, report.steps, report.failure);
        total.drains += report.drains;
        total.moves += report.moves;
        total.crashes += report.crashes;
    }
    /* The checks above would also pass if nothing happened in the model. */
    ck_assert_uint_gt(total.drains, 10 * SEEDS);
    ck_assert_uint_gt(total.moves, 2 * SEEDS);
    ck_assert_uint_gt(total.crashes, 10 * SEEDS);
    printf("%zu drains, %zu moves, %zu crashes\n", total.drains, total.moves,
           total.crashes);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("escrow_model");
    TCase *tcase = tcase_create("model");

    tcase_add_test(tcase, invariants_hold_under_faults);
    suite_add_tcase(suite, tcase);
    return suite;
}
