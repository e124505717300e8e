#include "rng.h"
#include "support.h"
#include "support_traffic_model.h"
#include "traffic.h"

#define RUNS 400
#define RUN_BYTES 6000

/* Guards against any sequence of calls that breaks the promises on replies,
 * credits, epochs and unrepeatable work. The calls are those that the fuzz
 * target makes from its input. */
START_TEST(promises_hold_at_fixed_seeds)
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
        ck_assert_msg(error == NULL, "seed %llu: broken: %s",
                      (unsigned long long)seed, error);
    }
    /* The runs are worth something only if they reach every kind. */
    for (i = TRAFFIC_DISPATCH; i <= TRAFFIC_THROTTLE; i++) {
        ck_assert_msg(TrafficModel_Seen(i) > 0, "action %d not reached", i);
    }
    for (i = TRAFFIC_DONE; i <= TRAFFIC_CANCELLED; i++) {
        ck_assert_msg(TrafficModel_Replies(i) > 0, "outcome %d not reached",
                      i);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("traffic_model");
    TCase *tcase = tcase_create("promises");

    tcase_add_test(tcase, promises_hold_at_fixed_seeds);
    suite_add_tcase(suite, tcase);
    return suite;
}
