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

typedef enum CancelWhen {
    CANCEL_WAITING,
    CANCEL_INTENT,
    CANCEL_RUNNING
} CancelWhen;

typedef struct CancelCase {
    const char *failure; /* that the case guards against */
    bool unrepeatable;
    CancelWhen when;
    bool by_deadline;
    TrafficOutcome outcome;
} CancelCase;

static const CancelCase cancel_cases[] = {
    {"a claim on work that never ran", false, CANCEL_WAITING, false,
     TRAFFIC_CANCELLED},
    {"unknown said of work that surely did not run", false, CANCEL_WAITING,
     true, TRAFFIC_NOT_RUN},
    {"a slot lost with an intent", true, CANCEL_INTENT, false,
     TRAFFIC_CANCELLED},
    {"unknown said of an intent that was not sent", true, CANCEL_INTENT, true,
     TRAFFIC_NOT_RUN},
    {"a running request that cannot be cancelled", false, CANCEL_RUNNING,
     false, TRAFFIC_CANCELLED},
    {"not run said of work that may have run", false, CANCEL_RUNNING, true,
     TRAFFIC_UNKNOWN},
    {"cancelled said of unrepeatable work that may have run", true,
     CANCEL_RUNNING, false, TRAFFIC_UNKNOWN},
};

START_TEST(ends_are_honest)
{
    const CancelCase *c = &cancel_cases[_i];
    Traffic *t = traffic_with(one_target, 1);
    TrafficAction action = {0};
    TrafficStats stats;
    Handle first = HANDLE_NONE;
    Handle request;

    if (c->when == CANCEL_WAITING) {
        first = submit(t, 5, false);
        expect(t, TRAFFIC_DISPATCH);
    }
    request = submit(t, 10, c->unrepeatable);
    if (c->unrepeatable) {
        expect(t, TRAFFIC_RECORD_INTENT);
        if (c->when == CANCEL_RUNNING) {
            Traffic_IntentRecorded(t, 10, request, true);
        }
    }
    if (c->when == CANCEL_RUNNING) {
        expect(t, TRAFFIC_DISPATCH);
    }
    if (c->by_deadline) {
        if (c->when == CANCEL_WAITING) {
            Traffic_Cancel(t, 1009, first);
            expect(t, TRAFFIC_STOP);
            expect(t, TRAFFIC_REPLY);
        }
        Traffic_Tick(t, 1010);
    }
    else {
        ck_assert_int_eq(Traffic_Cancel(t, 20, request), ST_OK);
    }
    if (c->when == CANCEL_RUNNING) {
        expect(t, TRAFFIC_STOP);
    }
    action = expect(t, TRAFFIC_REPLY);
    ck_assert_msg(action.outcome == c->outcome, "%s", c->failure);
    ck_assert_int_eq(action.may_have_run, c->when == CANCEL_RUNNING);
    ck_assert_int_eq(Traffic_Cancel(t, 1020, request), ST_STALE);
    expect_none(t);
    Traffic_GetStats(t, &stats);
    ck_assert_msg(stats.slots_held == (c->when != CANCEL_INTENT), "%s",
                  c->failure);
    Traffic_Free(t);
}
END_TEST

/* Guards against a slot given away while its target still runs stopped work,
 * and against the late answer being used. */
START_TEST(stopped_attempt_keeps_its_slot)
{
    Traffic *t = traffic_with(one_target, 1);
    TrafficResult ok = {TRAFFIC_OK, 2000};
    TrafficAction stopped;
    Handle request = submit(t, 10, false);

    stopped = expect(t, TRAFFIC_DISPATCH);
    Traffic_Cancel(t, 11, request);
    expect(t, TRAFFIC_STOP);
    expect(t, TRAFFIC_REPLY);
    submit(t, 12, false);
    expect_none(t);
    ck_assert_int_eq(Traffic_Answer(t, 13, stopped.attempt, ok), ST_STALE);
    expect(t, TRAFFIC_DISPATCH);
    expect_none(t);
    Traffic_Free(t);
}
END_TEST

/* Guards against a slot that is never freed because the I/O layer lost the
 * answer to a stopped attempt. */
START_TEST(stopped_attempt_is_given_up)
{
    Traffic *t = traffic_with(one_target, 1);
    Handle request = submit(t, 10, false);
    TrafficStats stats;

    expect(t, TRAFFIC_DISPATCH);
    Traffic_Cancel(t, 11, request);
    Traffic_Tick(t, 10 + TRAFFIC_STOPPED_HOLD_MS);
    Traffic_GetStats(t, &stats);
    ck_assert_uint_eq(stats.slots_held, 1);
    Traffic_Tick(t, 11 + TRAFFIC_STOPPED_HOLD_MS);
    Traffic_GetStats(t, &stats);
    ck_assert_uint_eq(stats.slots_held, 0);
    Traffic_Free(t);
}
END_TEST

/* Guards against a request that waits for another target in a pool that has
 * no other one. */
START_TEST(only_target_is_tried_again)
{
    Traffic *t = traffic_with(one_target, 1);
    TrafficResult failed = {TRAFFIC_FAILED, 2000};
    TrafficAction action;

    submit(t, 10, false);
    action = expect(t, TRAFFIC_DISPATCH);
    Traffic_Answer(t, 20, action.attempt, failed);
    action = expect(t, TRAFFIC_DISPATCH);
    ck_assert_uint_eq(action.attempt_number, 2);
    Traffic_Free(t);
}
END_TEST

/* Guards against throttles without need: none while no short work waits,
 * then only for as many attempts as are above the share of long work, once
 * each. */
START_TEST(throttles_only_the_excess)
{
    static const TrafficTarget target = {
        "w1", "pool", "dc1", "r1", 1, TRAFFIC_TARGET_OPEN, 8, 8, 1};
    TrafficService service = {"lists", "pool", 100, 100};
    /* Of another kind: the first one is known to be long by then. */
    TrafficRequest other = {"lists",       "caller", "team", "other",
                            TRAFFIC_SHORT, 2000,     false,  78};
    Traffic *t = traffic_with(&target, 1);
    Handle handle;
    int i;

    Traffic_SetServices(t, 0, &service, 1);
    for (i = 0; i < 8; i++) {
        submit(t, 10, false);
        expect(t, TRAFFIC_DISPATCH);
    }
    Traffic_Tick(t, 200);
    expect_none(t);
    ck_assert_int_eq(Traffic_Submit(t, 210, &other, &handle), ST_OK);
    expect_none(t);
    Traffic_Tick(t, 220);
    expect(t, TRAFFIC_THROTTLE);
    expect_none(t);
    Traffic_Tick(t, 320);
    expect_none(t);
    Traffic_Free(t);
}
END_TEST

static const TrafficTarget two_pools[] = {
    {"w1", "pool", "dc1", "r1", 1, TRAFFIC_TARGET_OPEN, 1, 8, 1},
    {"w2", "other", "dc1", "r1", 1, TRAFFIC_TARGET_OPEN, 1, 8, 2}};

/* Guards against work left behind in the old pool when its service moves to
 * another one, while it waits or between two attempts. */
START_TEST(service_moves_to_another_pool)
{
    Traffic *t = traffic_with(two_pools, 2);
    TrafficService moved = {"lists", "other", 1000, 100};
    TrafficResult refused = {TRAFFIC_REFUSED, 100};
    TrafficAction first;
    TrafficAction action;

    submit(t, 10, false);
    first = expect(t, TRAFFIC_DISPATCH);
    submit(t, 10, false);
    expect_none(t);
    Traffic_SetServices(t, 20, &moved, 1);
    action = expect(t, TRAFFIC_DISPATCH);
    ck_assert_uint_eq(action.target_cookie, 2);
    Traffic_Answer(t, 30, first.attempt, refused);
    expect_none(t);
    Traffic_Answer(t, 40, action.attempt, (TrafficResult){TRAFFIC_OK, 100});
    expect(t, TRAFFIC_REPLY);
    Traffic_Tick(t, 50);
    action = expect(t, TRAFFIC_DISPATCH);
    ck_assert_uint_eq(action.target_cookie, 2);
    ck_assert_uint_eq(action.attempt_number, 2);
    Traffic_Free(t);
}
END_TEST

/* Guards against requests without a reply when their service is removed or
 * their pool has no target. */
START_TEST(requests_without_a_place_are_answered)
{
    Traffic *t = traffic_with(one_target, 1);
    TrafficRequest unknown = {"no",          "c", "t",   "k",
                              TRAFFIC_SHORT, 99,  false, 1};
    TrafficAction action;
    Handle handle;

    submit(t, 10, false);
    expect(t, TRAFFIC_DISPATCH);
    submit(t, 10, false);
    Traffic_SetServices(t, 20, NULL, 0);
    action = expect(t, TRAFFIC_REPLY);
    ck_assert_int_eq(action.outcome, TRAFFIC_NOT_RUN);
    ck_assert_int_eq(action.reason, TRAFFIC_REASON_SERVICE_REMOVED);
    ck_assert_int_eq(Traffic_Submit(t, 20, &unknown, &handle), ST_NOT_FOUND);
    expect_none(t);
    Traffic_Free(t);

    t = traffic_with(NULL, 0);
    submit(t, 10, false);
    action = expect(t, TRAFFIC_REPLY);
    ck_assert_int_eq(action.outcome, TRAFFIC_NOT_RUN);
    ck_assert_int_eq(action.reason, TRAFFIC_REASON_NO_TARGET);
    ck_assert_int_gt(action.retry_ms, 0);
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
    tcase_add_loop_test(tcase, ends_are_honest, 0,
                        sizeof(cancel_cases) / sizeof(cancel_cases[0]));
    tcase_add_test(tcase, stopped_attempt_keeps_its_slot);
    tcase_add_test(tcase, stopped_attempt_is_given_up);
    tcase_add_test(tcase, only_target_is_tried_again);
    tcase_add_test(tcase, throttles_only_the_excess);
    tcase_add_test(tcase, service_moves_to_another_pool);
    tcase_add_test(tcase, requests_without_a_place_are_answered);
    suite_add_tcase(suite, tcase);
    return suite;
}
