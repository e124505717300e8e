#include "condition.h"
#include "support.h"

#define STEP_MS 100

typedef struct Case {
    const char *name;
    int64_t from_ms; /* the condition holds from here, */
    int64_t to_ms;   /* to here */
    int reports;
    bool ended;
    int64_t lasted_ms;
} Case;

static const Case cases[] = {
    {"never", 0, 0, 0, false, 0},
    {"short", 1000, 2900, 0, false, 0},
    {"reported once", 1000, 3100, 1, true, 2100},
    {"two intervals", 1000, 13500, 3, true, 12500},
    {"lasts to the end", 50000, 99000, 1 + 9, false, 0},
};

#define CASE_COUNT (sizeof(cases) / sizeof(cases[0]))

START_TEST(lasting_condition_is_reported_at_intervals_and_at_its_end)
{
    const Case *test = &cases[_i];
    Condition condition = {0};
    int reports = 0;
    int ends = 0;
    int64_t lasted_ms = 0;
    int64_t now;

    for (now = 0; now < 98000; now += STEP_MS) {
        bool holds = now >= test->from_ms && now < test->to_ms;
        ConditionReport report =
            Condition_Update(&condition, now, holds, &lasted_ms);

        if (report == CONDITION_LASTS) {
            ck_assert_int_eq(lasted_ms, now - test->from_ms);
            reports++;
        }
        if (report == CONDITION_ENDED) {
            ck_assert_int_eq(lasted_ms, test->lasted_ms);
            ends++;
        }
        ck_assert_int_eq(Condition_GetAgeMs(&condition, now),
                         holds ? now - test->from_ms : 0);
    }
    ck_assert_msg(reports == test->reports, "%s: %d", test->name, reports);
    ck_assert_msg(ends == test->ended, "%s: %d", test->name, ends);
}
END_TEST

START_TEST(interrupted_condition_begins_anew)
{
    Condition condition = {0};
    int64_t lasted_ms;
    int64_t now;

    for (now = 0; now < 20000; now += STEP_MS) {
        ck_assert_int_eq(
            Condition_Update(&condition, now, now % 1500 != 0, &lasted_ms),
            CONDITION_SILENT);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("condition");
    TCase *tcase = tcase_create("condition");

    tcase_add_loop_test(
        tcase, lasting_condition_is_reported_at_intervals_and_at_its_end, 0,
        CASE_COUNT);
    tcase_add_test(tcase, interrupted_condition_begins_anew);
    suite_add_tcase(suite, tcase);
    return suite;
}
