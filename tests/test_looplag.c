#include <check.h>

#include "looplag.h"
#include "support.h"

typedef struct Case {
    const char *name;
    int64_t firings[6]; /* times in ms, terminated by 0 */
    int64_t extended_ms;
} Case;

static const Case cases[] = {
    {"never fired", {0}, 300},
    {"first firing", {5000, 0}, 300},
    {"on time", {1000, 1050, 1100, 0}, 300},
    {"early", {1000, 1040, 1100, 0}, 330},
    {"late", {1000, 1150, 0}, 600},
    {"on time after a delay", {1000, 1130, 1180, 1230, 0}, 483},
    {"capped at the maximum", {1000, 9000, 0}, 1000},
};

START_TEST(timeout_grows_with_the_delay)
{
    const Case *test = &cases[_i];
    LoopLag lag = {.period_ms = 50};
    size_t i;

    for (i = 0; test->firings[i] != 0; i++) {
        LoopLag_RecordFiring(&lag, test->firings[i]);
    }
    ck_assert_msg(LoopLag_ExtendTimeout(&lag, 300, 1000) == test->extended_ms,
                  "%s: %lld", test->name,
                  (long long)LoopLag_ExtendTimeout(&lag, 300, 1000));
}
END_TEST

START_TEST(delay_decays_to_zero)
{
    LoopLag lag = {.period_ms = 50};
    int64_t now = 3000;
    int i;

    LoopLag_RecordFiring(&lag, 1000);
    LoopLag_RecordFiring(&lag, now);
    for (i = 0; i < 100; i++) {
        now += 50;
        LoopLag_RecordFiring(&lag, now);
    }
    ck_assert_int_eq(LoopLag_ExtendTimeout(&lag, 300, 1000), 300);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("looplag");
    TCase *tcase = tcase_create("looplag");

    tcase_add_loop_test(tcase, timeout_grows_with_the_delay, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, delay_decays_to_zero);
    suite_add_tcase(suite, tcase);
    return suite;
}
