#include "support.h"
#include "traffic.h"

#include <string.h>

static Traffic *
traffic_with(const TrafficTarget *targets, size_t count)
{
    TrafficOptions options = TRAFFIC_OPTIONS_DEFAULT;
    TrafficService service = {"lists", "pool", 1000, 100};
    Traffic *t;

    options.data_centre = "dc1";
    t = Traffic_New(&options);
    ck_assert_int_eq(Traffic_SetServices(t, 0, &service, 1), ST_OK);
    ck_assert_int_eq(Traffic_SetTargets(t, 0, targets, count), ST_OK);
    return t;
}

static TrafficAction
expect(Traffic *t, TrafficActionKind kind)
{
    TrafficAction action;

    ck_assert(Traffic_NextAction(t, &action));
    ck_assert_int_eq(action.kind, kind);
    return action;
}

static void
expect_none(Traffic *t)
{
    TrafficAction action;

    ck_assert(!Traffic_NextAction(t, &action));
}

static Handle
submit(Traffic *t, int64_t now_ms, bool unrepeatable)
{
    TrafficRequest request = {
        "lists",       "caller",      "team",       "kind",
        TRAFFIC_SHORT, now_ms + 1000, unrepeatable, 77};
    Handle handle;

    ck_assert_int_eq(Traffic_Submit(t, now_ms, &request, &handle), ST_OK);
    return handle;
}

static const TrafficTarget one_target[] = {
    {"w1", "pool", "dc1", "r1", 5, TRAFFIC_TARGET_OPEN, 1, 8, 101}};

/* Guards against a request that is answered twice or not at all. */
START_TEST(answer_gives_one_reply)
{
    Traffic *t = traffic_with(one_target, 1);
    TrafficResult ok = {TRAFFIC_OK, 2000};
    TrafficAction action;

    submit(t, 10, false);
    action = expect(t, TRAFFIC_DISPATCH);
    ck_assert_str_eq(action.target, "w1");
    ck_assert_uint_eq(action.epoch, 5);
    ck_assert_uint_eq(action.target_cookie, 101);
    ck_assert_int_eq(Traffic_Answer(t, 12, action.attempt, ok), ST_OK);
    ck_assert_int_eq(expect(t, TRAFFIC_REPLY).outcome, TRAFFIC_DONE);
    ck_assert_int_eq(Traffic_Answer(t, 13, action.attempt, ok), ST_STALE);
    expect_none(t);
    Traffic_Free(t);
}
END_TEST

/* Guards against sending unrepeatable work before its intent is recorded. */
START_TEST(intent_comes_first)
{
    Traffic *t = traffic_with(one_target, 1);
    TrafficResult lost = {TRAFFIC_LOST, 2000};
    TrafficAction action;
    Handle request = submit(t, 10, true);

    expect(t, TRAFFIC_RECORD_INTENT);
    expect_none(t);
    Traffic_IntentRecorded(t, 11, request, true);
    action = expect(t, TRAFFIC_DISPATCH);
    Traffic_Answer(t, 12, action.attempt, lost);
    action = expect(t, TRAFFIC_REPLY);
    ck_assert_int_eq(action.outcome, TRAFFIC_UNKNOWN);
    ck_assert(action.may_have_run);
    expect_none(t);
    Traffic_Free(t);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("traffic");
    TCase *tcase = tcase_create("replies");

    tcase_add_test(tcase, answer_gives_one_reply);
    tcase_add_test(tcase, intent_comes_first);
    suite_add_tcase(suite, tcase);
    return suite;
}
