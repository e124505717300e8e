#include "rng.h"
#include "support.h"
#include "support_traffic_model.h"
#include "traffic.h"

#define RUNS 400
#define RUN_BYTES 6000

/* Guards against sequences of calls that violate the rules on replies,
 * credits, epochs and unrepeatable work. The fuzz target makes the same calls
 * from its input. */
START_TEST(rules_hold_at_fixed_seeds)
{
    static uint8_t bytes[RUN_BYTES];
    uint64_t seed;
    int i;

    for (seed = 1; seed <= RUNS; seed++) {
        const char *error;
        Rng rng;
        Rng_Seed(&rng, seed);
        for (i = 0; i < RUN_BYTES; i++) {
            bytes[i] = (uint8_t)Rng_Below(&rng, 256);
        }
        error = TrafficModel_Run(bytes, RUN_BYTES);
        ck_assert_msg(error == NULL, "seed %llu: rule broken: %s",
                      (unsigned long long)seed, error);
    }
    /* The runs must cover every kind of action and every outcome. */
    for (i = TRAFFIC_DISPATCH; i <= TRAFFIC_THROTTLE; i++) {
        ck_assert_msg(TrafficModel_CountActions(i) > 0,
                      "action %d not reached", i);
    }
    for (i = TRAFFIC_DONE; i <= TRAFFIC_CANCELLED; i++) {
        ck_assert_msg(TrafficModel_CountReplies(i) > 0,
                      "outcome %d not reached", i);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("traffic_model");
    TCase *tcase = tcase_create("rules");

    tcase_add_test(tcase, rules_hold_at_fixed_seeds);
    suite_add_tcase(suite, tcase);
    return suite;
}
