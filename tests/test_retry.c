#include "class.h"
#include "retry.h"
#include "support.h"

#include <string.h>

#define STEPS 10

typedef struct RetryCase {
    const char *failure; /* failure that the case guards against */
    const char *results; /* F failed, L lost, T timed out, R refused */
    const char *targets; /* one letter per result */
    bool unrepeatable;
    int64_t remaining_ms;
    double tokens;
    RetryDecision last_decision; /* earlier ones are RETRY_ALLOWED */
} RetryCase;

static const RetryCase retry_cases[] = {
    {"a retry of unrepeatable work that failed", "F", "a", true, 100, 9,
     RETRY_FORBIDDEN},
    {"a retry of unrepeatable work that was lost", "L", "a", true, 100, 9,
     RETRY_FORBIDDEN},
    {"no second target for unrepeatable work that was refused", "R", "a", true,
     100, 0, RETRY_ALLOWED},
    {"unlimited retries of work that cannot run", "FLT", "abc", false, 100, 9,
     RETRY_UNABLE},
    {"failures on one target counted as several targets", "FFFFFF", "aaaaaa",
     false, 100, 9, RETRY_FORBIDDEN},
    {"a retry after the deadline", "F", "a", false, 0, 9,
     RETRY_DEADLINE_PASSED},
    {"a retry without a token", "F", "a", false, 100, 0, RETRY_BUDGET_SPENT},
    {"refusals that charge the budget", "RRR", "abc", false, 100, 0,
     RETRY_ALLOWED},
    {"unlimited retries after refusals", "RRRRRRRR", "abcdefgh", false, 100, 9,
     RETRY_REFUSED},
    {"refusals counted as failures", "RFRFR", "abcde", false, 100, 9,
     RETRY_ALLOWED},
};

static TrafficResultKind
get_result_kind(char letter)
{
    return letter == 'F'   ? TRAFFIC_FAILED
           : letter == 'L' ? TRAFFIC_LOST
           : letter == 'T' ? TRAFFIC_TIMED_OUT
                           : TRAFFIC_REFUSED;
}

START_TEST(decision_follows_results)
{
    const RetryCase *c = &retry_cases[_i];
    RetryBudget budget = {c->tokens, 1000, true};
    RetryState state;
    size_t i;

    memset(&state, 0, sizeof(state));
    for (i = 0; c->results[i] != '\0'; i++) {
        RetryInput input = {
            1000, 1000 + c->remaining_ms,  c->unrepeatable,
            3,    (uint32_t)c->targets[i], get_result_kind(c->results[i])};
        RetryDecision decision = Retry_Decide(&state, &budget, &input);
        ck_assert_msg(
            decision ==
                (c->results[i + 1] != '\0' ? RETRY_ALLOWED : c->last_decision),
            "%s: step %zu gave %d", c->failure, i, (int)decision);
    }
}
END_TEST

/* Guards against retries that multiply the load: during ten seconds of
 * failures they must stay within their share of the requests. */
START_TEST(retries_stay_within_budget)
{
    RetryBudget budget = {0, 0, false};
    int retries = 0;
    int64_t ms;

    for (ms = 0; ms < 10000; ms++) {
        RetryInput input = {ms, ms + 1000, false, 3, 1, TRAFFIC_FAILED};
        RetryState state;
        memset(&state, 0, sizeof(state));
        Retry_CountRequest(&budget, ms, 10);
        retries += Retry_Decide(&state, &budget, &input) == RETRY_ALLOWED;
    }
    ck_assert_int_ge(retries, 990);
    ck_assert_int_le(retries, 1000 + 10 * RETRY_REFILL_PER_S + 1);
}
END_TEST

/* Guards against a retry on a target that failed: refusing targets must never
 * displace failed ones in the list of tried targets. */
START_TEST(failed_targets_stay_excluded)
{
    RetryBudget budget = {9, 0, true};
    RetryState state;
    const char *results = "RRFRRF";
    uint32_t i;

    memset(&state, 0, sizeof(state));
    for (i = 0; results[i] != '\0'; i++) {
        RetryInput input = {0, 100, false, 3, i, get_result_kind(results[i])};
        Retry_Decide(&state, &budget, &input);
    }
    ck_assert_uint_eq(state.failed_targets, 2);
    ck_assert_uint_eq(state.targets[0], 2);
    ck_assert_uint_eq(state.targets[1], 5);
    ck_assert_uint_eq(state.refused_targets, 2);
    ck_assert_uint_eq(state.targets[2] + state.targets[3], 3 + 4);
}
END_TEST

typedef struct ClassCase {
    const char *failure; /* failure that the case guards against */
    const char *runs;    /* s short, l long, o overrun and still running */
    bool is_long;
} ClassCase;

static const ClassCase class_cases[] = {
    {"long work not classified as long after its first run", "l", true},
    {"long work not classified as long during its first run", "o", true},
    {"short work classified as long after one slow run", "ssssl", false},
    {"a kind that became long but is still classified as short",
     "sssslllllllllll", true},
    {"a kind that became short but is still classified as long",
     "llllsssssssssss", false},
    {"a kind with as many short as long runs classified as long", "lslslslsls",
     false},
};

START_TEST(class_follows_run_times)
{
    const ClassCase *c = &class_cases[_i];
    Class *class = Class_New();
    ClassEstimate estimate = Class_GetEstimate(class, 0, 77);
    size_t i;

    ck_assert(!estimate.known);
    for (i = 0; c->runs[i] != '\0'; i++) {
        if (c->runs[i] == 'o') {
            Class_RecordOverrun(class, (int64_t)i, 77, 1000);
        }
        else {
            Class_RecordRun(class, (int64_t)i, 77,
                            c->runs[i] == 'l' ? 9000 : 100, 1000, false);
        }
    }
    estimate = Class_GetEstimate(class, 0, 77);
    ck_assert_msg(estimate.known && estimate.is_long == c->is_long, "%s",
                  c->failure);
    Class_Free(class);
}
END_TEST

/* Guards against a table that grows with the number of kinds, and against
 * replacing a recently used row before an unused one. */
START_TEST(class_table_is_bounded)
{
    Class *class = Class_New();
    uint64_t set = 1;
    uint64_t way;

    for (way = 1; way <= CLASS_WAYS; way++) {
        Class_RecordRun(class, (int64_t)way, (set << 20) + way, 9000, 1000,
                        false);
    }
    Class_GetEstimate(class, 100, (set << 20) + 1);
    Class_RecordRun(class, 101, (set << 20) + 99, 9000, 1000, false);
    ck_assert(Class_GetEstimate(class, 102, (set << 20) + 1).known);
    ck_assert(!Class_GetEstimate(class, 102, (set << 20) + 2).known);
    ck_assert(Class_GetEstimate(class, 102, (set << 20) + 99).known);
    Class_Free(class);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("retry");
    TCase *tcase = tcase_create("retry");
    TCase *classes = tcase_create("class");

    tcase_add_loop_test(tcase, decision_follows_results, 0,
                        sizeof(retry_cases) / sizeof(retry_cases[0]));
    tcase_add_test(tcase, retries_stay_within_budget);
    tcase_add_test(tcase, failed_targets_stay_excluded);
    tcase_add_loop_test(classes, class_follows_run_times, 0,
                        sizeof(class_cases) / sizeof(class_cases[0]));
    tcase_add_test(classes, class_table_is_bounded);
    suite_add_tcase(suite, tcase);
    suite_add_tcase(suite, classes);
    return suite;
}
