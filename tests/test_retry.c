#include "class.h"
#include "retry.h"
#include "support.h"

#include <string.h>

#define STEPS 10

typedef struct RetryCase {
    const char *failure; /* that the case guards against */
    const char *results; /* F failed, L lost, T timed out, R refused */
    const char *targets; /* one letter for each result */
    bool unrepeatable;
    int64_t left_ms;
    double tokens;
    RetryVerdict last; /* all before are RETRY_AGAIN */
} RetryCase;

static const RetryCase retry_cases[] = {
    {"a retry of unrepeatable work that failed", "F", "a", true, 100, 9,
     RETRY_FORBIDDEN},
    {"a retry of unrepeatable work that was lost", "L", "a", true, 100, 9,
     RETRY_FORBIDDEN},
    {"no second target for unrepeatable work that was refused", "R", "a", true,
     100, 0, RETRY_AGAIN},
    {"endless retries of work that cannot run", "FLT", "abc", false, 100, 9,
     RETRY_UNABLE},
    {"one target counted as several", "FFFFFF", "aaaaaa", false, 100, 9,
     RETRY_FORBIDDEN},
    {"a retry after the deadline", "F", "a", false, 0, 9, RETRY_LATE},
    {"a retry without a token", "F", "a", false, 100, 0, RETRY_SPENT},
    {"refusals that charge the budget", "RRR", "abc", false, 100, 0,
     RETRY_AGAIN},
    {"endless refusals", "RRRRRRRR", "abcdefgh", false, 100, 9, RETRY_REFUSED},
    {"refusals counted as failures", "RFRFR", "abcde", false, 100, 9,
     RETRY_AGAIN},
};

static TrafficResultKind
kind_of(char letter)
{
    return letter == 'F'   ? TRAFFIC_FAILED
           : letter == 'L' ? TRAFFIC_LOST
           : letter == 'T' ? TRAFFIC_TIMED_OUT
                           : TRAFFIC_REFUSED;
}

START_TEST(results_are_judged)
{
    const RetryCase *c = &retry_cases[_i];
    RetryBudget budget = {c->tokens, 1000, true};
    RetryState state;
    size_t i;

    memset(&state, 0, sizeof(state));
    for (i = 0; c->results[i] != '\0'; i++) {
        RetryInput input = {
            1000, 1000 + c->left_ms,       c->unrepeatable,
            3,    (uint32_t)c->targets[i], kind_of(c->results[i])};
        RetryVerdict verdict = Retry_Decide(&state, &budget, &input);
        ck_assert_msg(verdict ==
                          (c->results[i + 1] != '\0' ? RETRY_AGAIN : c->last),
                      "%s: step %zu gave %d", c->failure, i, (int)verdict);
    }
}
END_TEST

/* Guards against load that retries multiply: over ten seconds of failures
 * they stay within their share of the fresh requests. */
START_TEST(budget_is_a_share)
{
    RetryBudget budget = {0, 0, false};
    int retries = 0;
    int64_t ms;

    for (ms = 0; ms < 10000; ms++) {
        RetryInput input = {ms, ms + 1000, false, 3, 1, TRAFFIC_FAILED};
        RetryState state;
        memset(&state, 0, sizeof(state));
        Retry_Fresh(&budget, ms, 10);
        retries += Retry_Decide(&state, &budget, &input) == RETRY_AGAIN;
    }
    ck_assert_int_ge(retries, 990);
    ck_assert_int_le(retries, 1000 + 10 * RETRY_MIN_PER_S + 1);
}
END_TEST

/* Guards against a target that failed being tried again while refusals are
 * remembered too: failures are never pushed out. */
START_TEST(failures_stay_excluded)
{
    RetryBudget budget = {9, 0, true};
    RetryState state;
    const char *results = "RRFRRF";
    uint32_t i;

    memset(&state, 0, sizeof(state));
    for (i = 0; results[i] != '\0'; i++) {
        RetryInput input = {0, 100, false, 3, i, kind_of(results[i])};
        Retry_Decide(&state, &budget, &input);
    }
    ck_assert_uint_eq(state.failed, 2);
    ck_assert_uint_eq(state.targets[0], 2);
    ck_assert_uint_eq(state.targets[1], 5);
    ck_assert_uint_eq(state.kept_refused, 2);
    ck_assert_uint_eq(state.targets[2] + state.targets[3], 3 + 4);
}
END_TEST

typedef struct ClassCase {
    const char *failure; /* that the case guards against */
    const char *runs;    /* s short, l long, o outlived and still running */
    bool is_long;
} ClassCase;

static const ClassCase class_cases[] = {
    {"long work not recognised after its first run", "l", true},
    {"long work not recognised while its first run goes on", "o", true},
    {"short work taken for long after one slow run", "ssssl", false},
    {"a kind that became long and stays short", "sssslllllllllll", true},
    {"a kind that became short and stays long", "llllsssssssssss", false},
    {"short work held back in a kind of mixed work", "lslslslsls", false},
};

START_TEST(classes_are_learned)
{
    const ClassCase *c = &class_cases[_i];
    Class *class = Class_New();
    ClassEstimate estimate = Class_Get(class, 0, 77);
    size_t i;

    ck_assert(!estimate.known);
    for (i = 0; c->runs[i] != '\0'; i++) {
        if (c->runs[i] == 'o') {
            Class_Outlived(class, (int64_t)i, 77, 1000);
        }
        else {
            Class_Learn(class, (int64_t)i, 77, c->runs[i] == 'l' ? 9000 : 100,
                        1000, false);
        }
    }
    estimate = Class_Get(class, 0, 77);
    ck_assert_msg(estimate.known && estimate.is_long == c->is_long, "%s",
                  c->failure);
    Class_Free(class);
}
END_TEST

/* Guards against a table that grows with the number of kinds, and against
 * rows in use replaced before idle ones. */
START_TEST(class_table_is_bounded)
{
    Class *class = Class_New();
    uint64_t set = 1;
    uint64_t way;

    for (way = 1; way <= CLASS_WAYS; way++) {
        Class_Learn(class, (int64_t)way, (set << 20) + way, 9000, 1000, false);
    }
    Class_Get(class, 100, (set << 20) + 1);
    Class_Learn(class, 101, (set << 20) + 99, 9000, 1000, false);
    ck_assert(Class_Get(class, 102, (set << 20) + 1).known);
    ck_assert(!Class_Get(class, 102, (set << 20) + 2).known);
    ck_assert(Class_Get(class, 102, (set << 20) + 99).known);
    Class_Free(class);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("retry");
    TCase *tcase = tcase_create("retry");
    TCase *classes = tcase_create("class");

    tcase_add_loop_test(tcase, results_are_judged, 0,
                        sizeof(retry_cases) / sizeof(retry_cases[0]));
    tcase_add_test(tcase, budget_is_a_share);
    tcase_add_test(tcase, failures_stay_excluded);
    tcase_add_loop_test(classes, classes_are_learned, 0,
                        sizeof(class_cases) / sizeof(class_cases[0]));
    tcase_add_test(classes, class_table_is_bounded);
    suite_add_tcase(suite, tcase);
    suite_add_tcase(suite, classes);
    return suite;
}
