#include "support.h"
#include "traffic.h"

#include <string.h>

static Traffic *
make_traffic(const TrafficTarget *targets, size_t count)
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
expect_action(Traffic *t, TrafficActionKind kind)
{
    TrafficAction action;

    ck_assert(Traffic_TakeAction(t, &action));
    ck_assert_int_eq(action.kind, kind);
    return action;
}

static void
expect_no_action(Traffic *t)
{
    TrafficAction action;

    ck_assert(!Traffic_TakeAction(t, &action));
}

static Handle
submit_request(Traffic *t, int64_t now_ms, bool unrepeatable)
{
    TrafficRequest request = {
        "lists",       "caller",      "team",       "kind",
        TRAFFIC_SHORT, now_ms + 1000, unrepeatable, 77};
    Handle handle;

    ck_assert_int_eq(Traffic_SubmitRequest(t, now_ms, &request, &handle),
                     ST_OK);
    return handle;
}

static const TrafficTarget one_target[] = {
    {"w1", "pool", "dc1", "r1", 5, TRAFFIC_TARGET_OPEN, 1, 8, 101}};

/* Guards against a request that gets two replies or none. */
START_TEST(response_gives_one_reply)
{
    Traffic *t = make_traffic(one_target, 1);
    TrafficResult ok = {TRAFFIC_OK, 2000};
    TrafficAction action;

    submit_request(t, 10, false);
    action = expect_action(t, TRAFFIC_DISPATCH);
    ck_assert_str_eq(action.target, "w1");
    ck_assert_uint_eq(action.epoch, 5);
    ck_assert_uint_eq(action.target_cookie, 101);
    ck_assert_int_eq(Traffic_ReportResult(t, 12, action.attempt, ok), ST_OK);
    ck_assert_int_eq(expect_action(t, TRAFFIC_REPLY).outcome, TRAFFIC_DONE);
    ck_assert_int_eq(Traffic_ReportResult(t, 13, action.attempt, ok),
                     ST_STALE);
    expect_no_action(t);
    Traffic_Free(t);
}
END_TEST

/* Guards against dispatch of unrepeatable work without a recorded intent. */
START_TEST(intent_precedes_dispatch)
{
    Traffic *t = make_traffic(one_target, 1);
    TrafficResult lost = {TRAFFIC_LOST, 2000};
    TrafficAction action;
    Handle request = submit_request(t, 10, true);

    expect_action(t, TRAFFIC_RECORD_INTENT);
    expect_no_action(t);
    Traffic_ReportIntent(t, 11, request, true);
    action = expect_action(t, TRAFFIC_DISPATCH);
    Traffic_ReportResult(t, 12, action.attempt, lost);
    action = expect_action(t, TRAFFIC_REPLY);
    ck_assert_int_eq(action.outcome, TRAFFIC_UNKNOWN);
    ck_assert(action.may_have_run);
    expect_no_action(t);
    Traffic_Free(t);
}
END_TEST

typedef enum EndPhase { END_WAITING, END_INTENT, END_RUNNING } EndPhase;

typedef struct EndCase {
    const char *failure; /* failure that the case guards against */
    bool unrepeatable;
    EndPhase phase;
    bool by_deadline;
    TrafficOutcome outcome;
} EndCase;

static const EndCase end_cases[] = {
    {"another outcome than cancelled before a run", false, END_WAITING, false,
     TRAFFIC_CANCELLED},
    {"the outcome unknown for work that did not run", false, END_WAITING, true,
     TRAFFIC_NOT_RUN},
    {"a slot lost when its intent is cancelled", true, END_INTENT, false,
     TRAFFIC_CANCELLED},
    {"the outcome unknown for work that was not sent", true, END_INTENT, true,
     TRAFFIC_NOT_RUN},
    {"a running request that cannot be cancelled", false, END_RUNNING, false,
     TRAFFIC_CANCELLED},
    {"the outcome not-run for work that may have run", false, END_RUNNING,
     true, TRAFFIC_UNKNOWN},
    {"the outcome cancelled for unrepeatable work that may have run", true,
     END_RUNNING, false, TRAFFIC_UNKNOWN},
};

START_TEST(outcome_after_cancel_or_deadline)
{
    const EndCase *c = &end_cases[_i];
    Traffic *t = make_traffic(one_target, 1);
    TrafficAction action = {0};
    TrafficStats stats;
    Handle first = HANDLE_NONE;
    Handle request;

    if (c->phase == END_WAITING) {
        first = submit_request(t, 5, false);
        expect_action(t, TRAFFIC_DISPATCH);
    }
    request = submit_request(t, 10, c->unrepeatable);
    if (c->unrepeatable) {
        expect_action(t, TRAFFIC_RECORD_INTENT);
        if (c->phase == END_RUNNING) {
            Traffic_ReportIntent(t, 10, request, true);
        }
    }
    if (c->phase == END_RUNNING) {
        expect_action(t, TRAFFIC_DISPATCH);
    }
    if (c->by_deadline) {
        if (c->phase == END_WAITING) {
            Traffic_CancelRequest(t, 1009, first);
            expect_action(t, TRAFFIC_STOP);
            expect_action(t, TRAFFIC_REPLY);
        }
        Traffic_Tick(t, 1010);
    }
    else {
        ck_assert_int_eq(Traffic_CancelRequest(t, 20, request), ST_OK);
    }
    if (c->phase == END_RUNNING) {
        expect_action(t, TRAFFIC_STOP);
    }
    action = expect_action(t, TRAFFIC_REPLY);
    ck_assert_msg(action.outcome == c->outcome, "%s", c->failure);
    ck_assert_int_eq(action.may_have_run, c->phase == END_RUNNING);
    ck_assert_int_eq(Traffic_CancelRequest(t, 1020, request), ST_STALE);
    expect_no_action(t);
    Traffic_GetStats(t, &stats);
    ck_assert_msg(stats.slots_held == (c->phase != END_INTENT), "%s",
                  c->failure);
    Traffic_Free(t);
}
END_TEST

/* Guards against reuse of a slot while its target still runs stopped work, and
 * against use of the late response. */
START_TEST(stopped_attempt_keeps_its_slot)
{
    Traffic *t = make_traffic(one_target, 1);
    TrafficResult ok = {TRAFFIC_OK, 2000};
    TrafficAction stopped;
    Handle request = submit_request(t, 10, false);

    stopped = expect_action(t, TRAFFIC_DISPATCH);
    Traffic_CancelRequest(t, 11, request);
    expect_action(t, TRAFFIC_STOP);
    expect_action(t, TRAFFIC_REPLY);
    submit_request(t, 12, false);
    expect_no_action(t);
    ck_assert_int_eq(Traffic_ReportResult(t, 13, stopped.attempt, ok),
                     ST_STALE);
    expect_action(t, TRAFFIC_DISPATCH);
    expect_no_action(t);
    Traffic_Free(t);
}
END_TEST

/* Guards against a slot that is never freed because the I/O layer lost the
 * response to a stopped attempt. */
START_TEST(stopped_attempt_frees_slot_after_timeout)
{
    Traffic *t = make_traffic(one_target, 1);
    Handle request = submit_request(t, 10, false);
    TrafficStats stats;

    expect_action(t, TRAFFIC_DISPATCH);
    Traffic_CancelRequest(t, 11, request);
    Traffic_Tick(t, 10 + TRAFFIC_STOPPED_SLOT_TIMEOUT_MS);
    Traffic_GetStats(t, &stats);
    ck_assert_uint_eq(stats.slots_held, 1);
    Traffic_Tick(t, 11 + TRAFFIC_STOPPED_SLOT_TIMEOUT_MS);
    Traffic_GetStats(t, &stats);
    ck_assert_uint_eq(stats.slots_held, 0);
    Traffic_Free(t);
}
END_TEST

/* Guards against a request that waits for another target in a pool that has
 * only one. */
START_TEST(only_target_is_retried)
{
    Traffic *t = make_traffic(one_target, 1);
    TrafficResult failed = {TRAFFIC_FAILED, 2000};
    TrafficAction action;

    submit_request(t, 10, false);
    action = expect_action(t, TRAFFIC_DISPATCH);
    Traffic_ReportResult(t, 20, action.attempt, failed);
    action = expect_action(t, TRAFFIC_DISPATCH);
    ck_assert_uint_eq(action.attempt_number, 2);
    Traffic_Free(t);
}
END_TEST

/* Guards against needless throttling: nothing is throttled while no short work
 * waits, then only the attempts above the limit of long work, once each. */
START_TEST(throttles_only_excess_long_work)
{
    static const TrafficTarget target = {
        "w1", "pool", "dc1", "r1", 1, TRAFFIC_TARGET_OPEN, 8, 8, 1};
    TrafficService service = {"lists", "pool", 100, 100};
    /* The kind of the running requests is classified as long by then. */
    TrafficRequest other = {"lists",       "caller", "team", "other",
                            TRAFFIC_SHORT, 2000,     false,  78};
    Traffic *t = make_traffic(&target, 1);
    Handle handle;
    int i;

    Traffic_SetServices(t, 0, &service, 1);
    for (i = 0; i < 8; i++) {
        submit_request(t, 10, false);
        expect_action(t, TRAFFIC_DISPATCH);
    }
    Traffic_Tick(t, 200);
    expect_no_action(t);
    ck_assert_int_eq(Traffic_SubmitRequest(t, 210, &other, &handle), ST_OK);
    expect_no_action(t);
    Traffic_Tick(t, 220);
    expect_action(t, TRAFFIC_THROTTLE);
    expect_no_action(t);
    Traffic_Tick(t, 320);
    expect_no_action(t);
    Traffic_Free(t);
}
END_TEST

static const TrafficTarget two_pools[] = {
    {"w1", "pool", "dc1", "r1", 1, TRAFFIC_TARGET_OPEN, 1, 8, 1},
    {"w2", "other", "dc1", "r1", 1, TRAFFIC_TARGET_OPEN, 1, 8, 2}};

/* Guards against work that stays in the old pool when its service moves to
 * another pool while the work waits or between two attempts. */
START_TEST(service_moves_to_another_pool)
{
    Traffic *t = make_traffic(two_pools, 2);
    TrafficService moved = {"lists", "other", 1000, 100};
    TrafficResult refused = {TRAFFIC_REFUSED, 100};
    TrafficAction first;
    TrafficAction action;

    submit_request(t, 10, false);
    first = expect_action(t, TRAFFIC_DISPATCH);
    submit_request(t, 10, false);
    expect_no_action(t);
    Traffic_SetServices(t, 20, &moved, 1);
    action = expect_action(t, TRAFFIC_DISPATCH);
    ck_assert_uint_eq(action.target_cookie, 2);
    Traffic_ReportResult(t, 30, first.attempt, refused);
    expect_no_action(t);
    Traffic_ReportResult(t, 40, action.attempt,
                         (TrafficResult){TRAFFIC_OK, 100});
    expect_action(t, TRAFFIC_REPLY);
    Traffic_Tick(t, 50);
    action = expect_action(t, TRAFFIC_DISPATCH);
    ck_assert_uint_eq(action.target_cookie, 2);
    ck_assert_uint_eq(action.attempt_number, 2);
    Traffic_Free(t);
}
END_TEST

/* Guards against requests without a reply when their service is removed or
 * their pool has no target. */
START_TEST(requests_without_target_get_reply)
{
    Traffic *t = make_traffic(one_target, 1);
    TrafficRequest unknown = {"no",          "c", "t",   "k",
                              TRAFFIC_SHORT, 99,  false, 1};
    TrafficAction action;
    Handle handle;

    submit_request(t, 10, false);
    expect_action(t, TRAFFIC_DISPATCH);
    submit_request(t, 10, false);
    Traffic_SetServices(t, 20, NULL, 0);
    action = expect_action(t, TRAFFIC_REPLY);
    ck_assert_int_eq(action.outcome, TRAFFIC_NOT_RUN);
    ck_assert_int_eq(action.reason, TRAFFIC_REASON_SERVICE_REMOVED);
    ck_assert_int_eq(Traffic_SubmitRequest(t, 20, &unknown, &handle),
                     ST_NOT_FOUND);
    expect_no_action(t);
    Traffic_Free(t);

    t = make_traffic(NULL, 0);
    submit_request(t, 10, false);
    action = expect_action(t, TRAFFIC_REPLY);
    ck_assert_int_eq(action.outcome, TRAFFIC_NOT_RUN);
    ck_assert_int_eq(action.reason, TRAFFIC_REASON_NO_TARGET);
    ck_assert_int_gt(action.retry_ms, 0);
    expect_no_action(t);
    Traffic_Free(t);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("traffic");
    TCase *tcase = tcase_create("replies");

    tcase_add_test(tcase, response_gives_one_reply);
    tcase_add_test(tcase, intent_precedes_dispatch);
    tcase_add_loop_test(tcase, outcome_after_cancel_or_deadline, 0,
                        sizeof(end_cases) / sizeof(end_cases[0]));
    tcase_add_test(tcase, stopped_attempt_keeps_its_slot);
    tcase_add_test(tcase, stopped_attempt_frees_slot_after_timeout);
    tcase_add_test(tcase, only_target_is_retried);
    tcase_add_test(tcase, throttles_only_excess_long_work);
    tcase_add_test(tcase, service_moves_to_another_pool);
    tcase_add_test(tcase, requests_without_target_get_reply);
    suite_add_tcase(suite, tcase);
    return suite;
}
