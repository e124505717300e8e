#include <check.h>

#include "looplag.h"
#include "support.h"

typedef struct Case {
    const char *name;
    int64_t fired[6]; /* ends with 0 */
    int64_t stretched;
} Case;

static const Case cases[] = {
    {"never fired", {0}, 300},
    {"first", {5000, 0}, 300},
    {"on time", {1000, 1050, 1100, 0}, 300},
    {"early", {1000, 1040, 1100, 0}, 330},
    {"late", {1000, 1150, 0}, 600},
    {"later on time", {1000, 1130, 1180, 1230, 0}, 483},
    {"at most", {1000, 9000, 0}, 1000},
};

START_TEST(limits_grow_with_the_delay)
{
    const Case *at = &cases[_i];
    LoopLag lag = {.period_ms = 50};
    size_t i;

    for (i = 0; at->fired[i] != 0; i++) {
        LoopLag_Fired(&lag, at->fired[i]);
    }
    ck_assert_msg(LoopLag_Stretch(&lag, 300, 1000) == at->stretched,
                  "%s: %lld", at->name,
                  (long long)LoopLag_Stretch(&lag, 300, 1000));
}
END_TEST

START_TEST(a_delay_is_forgotten)
{
    LoopLag lag = {.period_ms = 50};
    int64_t now = 3000;
    int i;

    LoopLag_Fired(&lag, 1000);
    LoopLag_Fired(&lag, now);
    for (i = 0; i < 100; i++) {
        now += 50;
        LoopLag_Fired(&lag, now);
    }
    ck_assert_int_eq(LoopLag_Stretch(&lag, 300, 1000), 300);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("looplag");
    TCase *tcase = tcase_create("looplag");

    tcase_add_loop_test(tcase, limits_grow_with_the_delay, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, a_delay_is_forgotten);
    suite_add_tcase(suite, tcase);
    return suite;
}
