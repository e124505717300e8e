#include "support.h"
#include "support_fleet.h"

#define RUN_MS 20000

static FleetResult
run_fleet(FleetOptions options)
{
    FleetResult result;

    options.duration_ms = RUN_MS;
    Fleet_Run(&options, &result);
    ck_assert(result.refused_attempts == 0 || options.external_slots > 0);
    return result;
}

/* Guards against short work that waits behind long work as in a FIFO queue,
 * and against starvation of long work. */
START_TEST(short_work_overtakes_long_work)
{
    static const double percents[] = {2, 5, 10};
    FleetOptions options = FLEET_OPTIONS_DEFAULT;
    FleetResult fifo;
    FleetResult traffic;

    options.long_percent = percents[_i];
    options.peaks = true;
    traffic = run_fleet(options);
    options.policy = FLEET_FIFO;
    fifo = run_fleet(options);
    ck_assert_int_lt(traffic.short_wait.p99_us * 5, fifo.short_wait.p99_us);
    ck_assert_int_lt(traffic.short_wait.p999_us * 5, fifo.short_wait.p999_us);
    ck_assert_int_lt(traffic.long_wait.p50_us, 3000000);
    ck_assert_uint_eq(traffic.done, traffic.submitted);
}
END_TEST

/* Guards against urgent work that waits for 1.9 s or more although slots
 * become free, at 1.5 times the load that the pool can serve. */
START_TEST(urgent_work_starts_in_time)
{
    FleetOptions options = FLEET_OPTIONS_DEFAULT;
    FleetResult result;

    options.load = 1.5;
    options.long_percent = 10;
    options.urgent = true;
    options.deadline_ms = 5000;
    result = run_fleet(options);
    ck_assert_uint_gt(result.urgent_wait.count, 10);
    ck_assert_int_lt(result.urgent_wait.max_us, 1900000);
}
END_TEST

/* Guards against counting slots held by stopped attempts as free. With a
 * deadline of a tenth of the long run time, short work then got only half of
 * its responses. */
START_TEST(stopped_work_does_not_starve_short_work)
{
    FleetOptions options = FLEET_OPTIONS_DEFAULT;
    FleetResult result;

    options.load = 1.5;
    options.long_percent = 2;
    options.deadline_ms = 100;
    result = run_fleet(options);
    ck_assert_uint_gt(result.done * 100, result.submitted * 95);
}
END_TEST

/* Guards against retries that multiply the load when all targets fail. */
START_TEST(retries_do_not_multiply_load)
{
    FleetOptions options = FLEET_OPTIONS_DEFAULT;
    FleetResult result;

    options.load = 0.4;
    options.long_percent = 0;
    options.failing = 10;
    options.deadline_ms = 5000;
    result = run_fleet(options);
    ck_assert_uint_lt(result.attempts * 100, result.submitted * 112);
}
END_TEST

/* Guards against a target that fails all work and so attracts more of it. */
START_TEST(failing_target_gets_little_work)
{
    FleetOptions options = FLEET_OPTIONS_DEFAULT;
    FleetResult result;

    options.load = 0.5;
    options.long_percent = 0;
    options.failing = 1;
    result = run_fleet(options);
    ck_assert_uint_gt(result.attempts_on_failing, 0);
    ck_assert_uint_lt(result.attempts_on_failing, 20);
    ck_assert_uint_eq(result.done, result.submitted);
}
END_TEST

/* Guards against repeated dispatches to targets whose slots another entry VM
 * has taken; each refusal costs a round trip. */
START_TEST(refusals_reduce_dispatches)
{
    FleetOptions options = FLEET_OPTIONS_DEFAULT;
    FleetResult result;

    options.load = 0.45;
    options.long_percent = 0;
    options.external_slots = 4;
    result = run_fleet(options);
    ck_assert_uint_gt(result.refused_attempts, 0);
    ck_assert_uint_lt(result.refused_attempts * 20, result.submitted);
    ck_assert_uint_eq(result.done, result.submitted);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("traffic_fleet");
    TCase *tcase = tcase_create("simulated pool");

    tcase_add_loop_test(tcase, short_work_overtakes_long_work, 0, 3);
    tcase_add_test(tcase, urgent_work_starts_in_time);
    tcase_add_test(tcase, stopped_work_does_not_starve_short_work);
    tcase_add_test(tcase, retries_do_not_multiply_load);
    tcase_add_test(tcase, failing_target_gets_little_work);
    tcase_add_test(tcase, refusals_reduce_dispatches);
    suite_add_tcase(suite, tcase);
    return suite;
}
