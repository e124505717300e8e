#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "once.h"

typedef struct Pair {
    Once *home;
    Once *second;
} Pair;

static Once *
new_once(const char *home, uint64_t incarnation)
{
    OnceOptions options = ONCE_OPTIONS_DEFAULT;
    Once *once;

    options.home = home;
    options.incarnation = incarnation;
    options.max_tokens = 8;
    options.max_held = 4;
    options.max_answer_bytes = 100;
    options.max_answers_bytes = 150;
    once = Once_New(&options);
    ck_assert_ptr_nonnull(once);
    return once;
}

static void
issue(Once *once, int64_t now, char token[ONCE_TOKEN_BYTES])
{
    char tokens[1][ONCE_TOKEN_BYTES];

    ck_assert_int_eq(Once_Issue(once, now, 1, tokens), ST_OK);
    memcpy(token, tokens[0], ONCE_TOKEN_BYTES);
}

static OnceVerdict
begin(Once *once, int64_t now, const char *token)
{
    OnceView view;

    return Once_Begin(once, now, token, "gang-7", "order-1", &view);
}

/* Brings a fresh token up to a dispatched first attempt. */
static void
dispatch(Once *once, int64_t now, const char *token)
{
    uint32_t attempt = 0;

    ck_assert_int_eq(begin(once, now, token), ONCE_FRESH);
    ck_assert_int_eq(Once_IntentRecorded(once, now, token, true), ST_OK);
    ck_assert_int_eq(Once_Dispatch(once, now, token, &attempt), ST_OK);
    ck_assert_uint_eq(attempt, 1);
}

/* Guards against a mistyped or foreign token that starts a request. */
START_TEST(bad_tokens_are_refused)
{
    Once *once = new_once("entry-1", 0xab);
    char token[ONCE_TOKEN_BYTES];
    char changed[ONCE_TOKEN_BYTES + 8];
    size_t i;
    static const char *const cases[] = {
        "",
        "~",
        "entry-1",
        "entry-1~ab~1~64",
        "entry-1~ab~1~64~",
        "entry-1~ab~1~64~0",
        "entry-1~ab~01~64~0",
        "entry-1~abababababababababab~1~64~0",
        "~ab~1~64~5",
    };

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        ck_assert_int_eq(begin(once, 100, cases[i]), ONCE_BAD);
    }
    issue(once, 100, token);
    for (i = 0; i < strlen(token); i++) {
        memcpy(changed, token, sizeof(token));
        changed[i] = changed[i] == '1' ? '2' : '1';
        ck_assert_int_eq(begin(once, 100, changed), ONCE_BAD);
    }
    memcpy(changed, token, sizeof(token));
    memcpy(changed + strlen(token), "0", 2);
    ck_assert_int_eq(begin(once, 100, changed), ONCE_BAD);
    ck_assert_int_eq(begin(once, 100, token), ONCE_FRESH);
    Once_Free(once);
}
END_TEST

/* Guards against names that cannot be found again in a token. */
START_TEST(home_names_are_checked)
{
    static const struct {
        const char *name;
        bool ok;
    } cases[] = {
        {"entry-1.a", true},
        {"", false},
        {"a~b", false},
        {"a b", false},
        {"a\tb", false},
        {"\xc3\xa9", false},
        {"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
         true},
        {"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
         false},
    };
    OnceOptions options = ONCE_OPTIONS_DEFAULT;
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Once *once;
        options.home = cases[i].name;
        once = Once_New(&options);
        ck_assert_int_eq(once != NULL, cases[i].ok);
        Once_Free(once);
    }
}
END_TEST

/* Guards against a second execution or a false "not run" at the home. */
START_TEST(home_steps)
{
    Once *once = new_once("entry-1", 1);
    char token[ONCE_TOKEN_BYTES];
    uint32_t attempt = 0;
    OnceView view;

    issue(once, 0, token);
    ck_assert_int_eq(Once_Dispatch(once, 0, token, &attempt), ST_STALE);
    ck_assert_int_eq(begin(once, 0, token), ONCE_FRESH);
    ck_assert_int_eq(begin(once, 0, token), ONCE_RUNNING);
    ck_assert_int_eq(Once_Dispatch(once, 0, token, &attempt), ST_AGAIN);
    ck_assert_int_eq(Once_IntentRecorded(once, 0, token, false), ST_OK);
    ck_assert_int_eq(Once_Dispatch(once, 0, token, &attempt), ST_AGAIN);
    ck_assert_int_eq(Once_IntentRecorded(once, 0, token, true), ST_OK);
    ck_assert_int_eq(Once_Dispatch(once, 0, token, &attempt), ST_OK);
    ck_assert_int_eq(Once_Dispatch(once, 0, token, &attempt), ST_EXISTS);
    ck_assert_int_eq(Once_IntentRecorded(once, 0, token, false), ST_OK);
    ck_assert_int_eq(Once_Dispatch(once, 0, token, &attempt), ST_EXISTS);
    ck_assert_int_eq(
        Once_Finish(once, 0, token, 0, ONCE_OUTCOME_NOT_RUN, 503, NULL, 0),
        ST_CONFLICT);
    ck_assert_int_eq(Once_NotRun(once, 0, token, 1), ST_OK);
    ck_assert_int_eq(Once_Dispatch(once, 0, token, &attempt), ST_OK);
    ck_assert_uint_eq(attempt, 2);
    /* A duplicated statement of the first target. */
    ck_assert_int_eq(Once_NotRun(once, 0, token, 1), ST_STALE);
    /* A late answer to the first attempt. */
    ck_assert_int_eq(
        Once_Finish(once, 0, token, 1, ONCE_OUTCOME_DONE, 200, "no", 2),
        ST_STALE);
    ck_assert_int_eq(
        Once_Finish(once, 0, token, 0, ONCE_OUTCOME_UNKNOWN, 504, NULL, 0),
        ST_OK);
    ck_assert_int_eq(begin(once, 0, token), ONCE_UNKNOWN);
    ck_assert_int_eq(Once_Dispatch(once, 0, token, &attempt), ST_STALE);
    ck_assert_int_eq(
        Once_Finish(once, 0, token, 0, ONCE_OUTCOME_NOT_RUN, 503, NULL, 0),
        ST_STALE);
    ck_assert_int_eq(
        Once_Finish(once, 0, token, 2, ONCE_OUTCOME_DONE, 200, "yes", 3),
        ST_OK);
    ck_assert_int_eq(Once_Begin(once, 0, token, "gang-7", "order-1", &view),
                     ONCE_DONE);
    ck_assert_int_eq(view.outcome, ONCE_OUTCOME_DONE);
    ck_assert_mem_eq(view.answer, "yes", 3);
    ck_assert_int_eq(
        Once_Finish(once, 0, token, 2, ONCE_OUTCOME_DONE, 200, "no", 2),
        ST_STALE);
    Once_Free(once);
}
END_TEST

/* Guards against a delayed copy that runs after its caller was told "not
 * run". */
START_TEST(not_run_is_final)
{
    Once *once = new_once("entry-1", 1);
    char token[ONCE_TOKEN_BYTES];
    uint32_t attempt;
    OnceView view;

    issue(once, 0, token);
    ck_assert_int_eq(begin(once, 0, token), ONCE_FRESH);
    ck_assert_int_eq(
        Once_Finish(once, 0, token, 0, ONCE_OUTCOME_NOT_RUN, 503, NULL, 0),
        ST_OK);
    ck_assert_int_eq(Once_IntentRecorded(once, 0, token, true), ST_STALE);
    ck_assert_int_eq(Once_Dispatch(once, 0, token, &attempt), ST_STALE);
    ck_assert_int_eq(Once_Begin(once, 0, token, "gang-7", "order-1", &view),
                     ONCE_DONE);
    ck_assert_int_eq(view.outcome, ONCE_OUTCOME_NOT_RUN);
    Once_Free(once);
}
END_TEST

/* Guards against the answer of one request given to another one. */
START_TEST(token_is_bound_to_its_first_request)
{
    static const struct {
        const char *caller;
        const char *request;
        OnceVerdict verdict;
    } cases[] = {
        {"gang-7", "order-1", ONCE_DONE}, {"gang-7", "order-2", ONCE_BAD},
        {"gang-8", "order-1", ONCE_BAD},  {"order-1", "gang-7", ONCE_BAD},
        {"gang-7o", "rder-1", ONCE_BAD},  {"", "", ONCE_BAD},
    };
    Once *once = new_once("entry-1", 1);
    char token[ONCE_TOKEN_BYTES];
    OnceView view;
    size_t i;

    issue(once, 0, token);
    dispatch(once, 0, token);
    Once_Finish(once, 0, token, 1, ONCE_OUTCOME_DONE, 200, "yes", 3);
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        ck_assert_int_eq(Once_Begin(once, 0, token, cases[i].caller,
                                    cases[i].request, &view),
                         cases[i].verdict);
        ck_assert_uint_eq(view.len, cases[i].verdict == ONCE_DONE ? 3 : 0);
    }
    Once_Free(once);
}
END_TEST

/* Guards against running or forgetting work at the edges of token lifetime. */
START_TEST(expiry_and_retention)
{
    enum { UNUSED, RUNNING, CLOSED };
    static const struct {
        int prepare;
        int64_t at;
        OnceVerdict verdict;
        uint32_t tokens;
    } cases[] = {
        {UNUSED, ONCE_TTL_MS - 1, ONCE_FRESH, 1},
        {UNUSED, ONCE_TTL_MS, ONCE_EXPIRED, 1},
        {UNUSED, ONCE_RETENTION_MS, ONCE_EXPIRED, 0},
        {RUNNING, ONCE_TTL_MS, ONCE_RUNNING, 1},
        {RUNNING, ONCE_RETENTION_MS * 3, ONCE_RUNNING, 1},
        {CLOSED, ONCE_RETENTION_MS - 1, ONCE_DONE, 1},
        {CLOSED, ONCE_RETENTION_MS, ONCE_EXPIRED, 0},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Once *once = new_once("entry-1", 1);
        char token[ONCE_TOKEN_BYTES];

        issue(once, 0, token);
        if (cases[i].prepare != UNUSED) {
            dispatch(once, 0, token);
        }
        if (cases[i].prepare == CLOSED) {
            Once_Finish(once, 0, token, 1, ONCE_OUTCOME_DONE, 200, "x", 1);
        }
        ck_assert_int_eq(begin(once, cases[i].at, token), cases[i].verdict);
        ck_assert_uint_eq(Once_Counts(once).tokens, cases[i].tokens);
        /* A clock that steps back must not revive a token. */
        if (cases[i].verdict == ONCE_EXPIRED) {
            ck_assert_int_eq(begin(once, 0, token), ONCE_EXPIRED);
        }
        Once_Free(once);
    }
}
END_TEST

/* Guards against a life time that is set but not used. */
START_TEST(life_time_is_an_option)
{
    static const struct {
        int64_t ttl_ms;
        int64_t at;
        OnceVerdict verdict;
        uint32_t tokens;
    } cases[] = {
        {1000, 999, ONCE_FRESH, 1},
        {1000, 1000, ONCE_EXPIRED, 1},
        {1000, 61000, ONCE_EXPIRED, 0},
        {86400000, 86399999, ONCE_FRESH, 1},
    };
    OnceOptions options = ONCE_OPTIONS_DEFAULT;
    size_t i;

    options.home = "entry-1";
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char token[ONCE_TOKEN_BYTES];
        Once *once;
        options.ttl_ms = cases[i].ttl_ms;
        once = Once_New(&options);
        issue(once, 0, token);
        ck_assert_int_eq(begin(once, cases[i].at, token), cases[i].verdict);
        ck_assert_uint_eq(Once_Counts(once).tokens, cases[i].tokens);
        Once_Free(once);
    }
    options.ttl_ms = 0;
    ck_assert_ptr_null(Once_New(&options));
}
END_TEST

/* Guards against losing the outcome of work that ran past the retention. */
START_TEST(late_outcome_is_kept_for_the_grace)
{
    Once *once = new_once("entry-1", 1);
    char token[ONCE_TOKEN_BYTES];
    int64_t end = ONCE_RETENTION_MS * 4;

    issue(once, 0, token);
    dispatch(once, 0, token);
    Once_Tick(once, end);
    ck_assert_int_eq(
        Once_Finish(once, end, token, 1, ONCE_OUTCOME_DONE, 200, "x", 1),
        ST_OK);
    ck_assert_int_eq(begin(once, end + ONCE_LATE_GRACE_MS - 1, token),
                     ONCE_DONE);
    ck_assert_int_eq(begin(once, end + ONCE_LATE_GRACE_MS, token),
                     ONCE_EXPIRED);
    ck_assert_uint_eq(Once_Counts(once).tokens, 0);
    ck_assert_uint_eq(Once_Counts(once).answer_bytes, 0);
    Once_Free(once);
}
END_TEST

/* Guards against memory that grows with tokens or answers. */
START_TEST(memory_is_bounded)
{
    Once *once = new_once("entry-1", 1);
    char tokens[9][ONCE_TOKEN_BYTES];
    char body[101] = {0};
    OnceView view;

    ck_assert_int_eq(Once_Issue(once, 0, 0, tokens), ST_INVALID);
    ck_assert_int_eq(Once_Issue(once, 0, ONCE_MAX_ISSUE + 1, tokens),
                     ST_INVALID);
    ck_assert_int_eq(Once_Issue(once, 0, 9, tokens), ST_FULL);
    ck_assert_int_eq(Once_Issue(once, 0, 8, tokens), ST_OK);
    ck_assert_int_eq(Once_Issue(once, 0, 1, tokens + 8), ST_FULL);
    dispatch(once, 0, tokens[0]);
    dispatch(once, 0, tokens[1]);
    dispatch(once, 0, tokens[2]);
    /* Too long for the bound of one answer. */
    Once_Finish(once, 0, tokens[0], 1, ONCE_OUTCOME_DONE, 200, body, 101);
    Once_Begin(once, 0, tokens[0], "gang-7", "order-1", &view);
    ck_assert(view.answer_dropped && view.answer == NULL);
    Once_Finish(once, 0, tokens[1], 1, ONCE_OUTCOME_DONE, 200, body, 100);
    Once_Begin(once, 0, tokens[1], "gang-7", "order-1", &view);
    ck_assert(!view.answer_dropped && view.len == 100);
    /* The older answer makes room; its outcome stays. */
    Once_Finish(once, 0, tokens[2], 1, ONCE_OUTCOME_DONE, 200, body, 60);
    ck_assert_uint_eq(Once_Counts(once).answer_bytes, 60);
    ck_assert_int_eq(
        Once_Begin(once, 0, tokens[1], "gang-7", "order-1", &view), ONCE_DONE);
    ck_assert(view.answer_dropped && view.len == 0);
    ck_assert_int_eq(Once_Issue(once, ONCE_RETENTION_MS, 8, tokens), ST_OK);
    Once_Free(once);
}
END_TEST

/* Returns the record of a token in a buffer that the caller frees. */
static Buf
record_of(Once *once, const char *token)
{
    Buf buf = BUF_INIT;

    ck_assert_int_eq(Once_EncodeRecord(once, token, &buf), ST_OK);
    return buf;
}

/* Guards against an outcome that a restarted home cannot get back from the
 * second entry VM, and against a dispatch by that home. */
START_TEST(second_entry_vm_holds_outcome)
{
    Pair pair = {new_once("entry-1", 1), new_once("entry-2", 2)};
    Once *again;
    char token[ONCE_TOKEN_BYTES];
    OnceView view;
    uint32_t attempt;
    Buf record;

    issue(pair.home, 0, token);
    ck_assert_int_eq(begin(pair.home, 0, token), ONCE_FRESH);
    record = record_of(pair.home, token);
    ck_assert_int_eq(Once_HoldOutcome(pair.second, 9, record.data, record.len),
                     ST_INVALID);
    ck_assert_int_eq(
        Once_HoldIntent(pair.second, 9, record.data, record.len - 1),
        ST_CORRUPT);
    ck_assert_int_eq(Once_HoldIntent(pair.second, 9, record.data, record.len),
                     ST_OK);
    ck_assert_int_eq(Once_HoldIntent(pair.second, 9, record.data, record.len),
                     ST_OK);
    ck_assert_uint_eq(Once_Counts(pair.second).held, 1);
    ck_assert_int_eq(
        Once_Held(pair.second, 9, token, "gang-7", "order-1", &view), ST_OK);
    ck_assert_int_eq(view.outcome, ONCE_OUTCOME_NONE);
    ck_assert_int_eq(
        Once_Held(pair.second, 9, token, "gang-7", "order-2", &view),
        ST_INVALID);
    Buf_Free(&record);

    ck_assert_int_eq(Once_IntentRecorded(pair.home, 0, token, true), ST_OK);
    ck_assert_int_eq(Once_Dispatch(pair.home, 0, token, &attempt), ST_OK);
    Once_Finish(pair.home, 0, token, 1, ONCE_OUTCOME_DONE, 200, "yes", 3);
    record = record_of(pair.home, token);
    ck_assert_int_eq(Once_HoldOutcome(pair.home, 9, record.data, record.len),
                     ST_INVALID);
    ck_assert_int_eq(Once_HoldOutcome(pair.second, 9, record.data, record.len),
                     ST_OK);
    Buf_Free(&record);
    ck_assert_int_eq(
        Once_Begin(pair.second, 9, token, "gang-7", "order-1", &view),
        ONCE_FORWARD);
    ck_assert_str_eq(view.home, "entry-1");

    again = new_once("entry-1", 3);
    ck_assert_int_eq(Once_Begin(again, 0, token, "gang-7", "order-1", &view),
                     ONCE_UNKNOWN);
    ck_assert(view.ask_peers);
    ck_assert_int_eq(Once_Dispatch(again, 0, token, &attempt), ST_STALE);
    record = record_of(pair.second, token);
    ck_assert_int_eq(Once_HoldOutcome(again, 0, record.data, record.len),
                     ST_OK);
    Buf_Free(&record);
    ck_assert_int_eq(Once_Begin(again, 0, token, "gang-7", "order-1", &view),
                     ONCE_DONE);
    ck_assert_mem_eq(view.answer, "yes", 3);
    ck_assert_int_eq(Once_Begin(again, 0, token, "gang-7", "order-2", &view),
                     ONCE_BAD);
    Once_Tick(pair.second, 9 + ONCE_RETENTION_MS);
    ck_assert_uint_eq(Once_Counts(pair.second).held, 0);
    Once_Free(again);
    Once_Free(pair.home);
    Once_Free(pair.second);
}
END_TEST

/* Guards against a second entry VM whose memory grows with other homes. */
START_TEST(full_second_entry_vm_refuses)
{
    Once *home = new_once("entry-1", 1);
    Once *second = new_once("entry-2", 2);
    char token[ONCE_TOKEN_BYTES];
    int i;

    for (i = 0; i < 5; i++) {
        Buf record;
        issue(home, 0, token);
        begin(home, 0, token);
        record = record_of(home, token);
        ck_assert_int_eq(Once_HoldIntent(second, 0, record.data, record.len),
                         i < 4 ? ST_OK : ST_FULL);
        Buf_Free(&record);
    }
    Once_Free(home);
    Once_Free(second);
}
END_TEST

/* A file with an intent alone, an outcome, and an outcome after "unknown". */
static void
write_file(char tokens[3][ONCE_TOKEN_BYTES], Buf *file, size_t ends[6])
{
    Once *once = new_once("entry-1", 1);
    size_t count = 0;
    int i;

    ck_assert_int_eq(Once_Issue(once, 0, 3, tokens), ST_OK);
    for (i = 0; i < 3; i++) {
        ck_assert_int_eq(begin(once, 0, tokens[i]), ONCE_FRESH);
        Once_EncodeRecord(once, tokens[i], file);
        ends[count++] = file->len;
        Once_IntentRecorded(once, 0, tokens[i], true);
        Once_Dispatch(once, 0, tokens[i], &(uint32_t){0});
    }
    Once_Finish(once, 0, tokens[2], 0, ONCE_OUTCOME_UNKNOWN, 504, NULL, 0);
    Once_EncodeRecord(once, tokens[2], file);
    ends[count++] = file->len;
    for (i = 1; i < 3; i++) {
        Once_Finish(once, 0, tokens[i], 1, ONCE_OUTCOME_DONE, 200, "yes", 3);
        Once_EncodeRecord(once, tokens[i], file);
        ends[count++] = file->len;
    }
    Once_Free(once);
}

/* Guards against a home that forgets its tokens although it has its disk. */
START_TEST(recovery_knows_old_tokens)
{
    static const OnceVerdict verdicts[] = {ONCE_UNKNOWN, ONCE_DONE, ONCE_DONE};
    Once *again = new_once("entry-1", 2);
    char tokens[3][ONCE_TOKEN_BYTES];
    size_t ends[6];
    OnceRecovery recovery;
    Buf file = BUF_INIT;
    int i;

    write_file(tokens, &file, ends);
    ck_assert_int_eq(
        Once_Recover(again, 5, file.data, file.len, &recovery, NULL), ST_OK);
    ck_assert_uint_eq(recovery.intents, 3);
    ck_assert_uint_eq(recovery.outcomes, 3);
    ck_assert_uint_eq(recovery.valid, file.len);
    for (i = 0; i < 3; i++) {
        ck_assert_int_eq(begin(again, 5, tokens[i]), verdicts[i]);
        ck_assert_int_eq(Once_Dispatch(again, 5, tokens[i], &(uint32_t){0}),
                         ST_STALE);
    }
    Buf_Free(&file);
    Once_Free(again);
}
END_TEST

/* Guards against a damaged file that stops the process, is read past its
 * damage, or is not reported. */
START_TEST(recovery_of_damaged_files)
{
    char tokens[3][ONCE_TOKEN_BYTES];
    size_t ends[6];
    OnceRecovery recovery;
    Buf file = BUF_INIT;
    ErrCtx err;
    size_t cut;
    size_t i;

    write_file(tokens, &file, ends);
    for (cut = 0; cut <= file.len; cut++) {
        Once *again = new_once("entry-1", 2);
        ck_assert_int_eq(
            Once_Recover(again, 5, file.data, cut, &recovery, &err), ST_OK);
        for (i = 0; i < 6 && ends[i] <= cut; i++) {
        }
        ck_assert_uint_eq(recovery.valid, i == 0 ? 0 : ends[i - 1]);
        Once_Free(again);
    }
    for (cut = 0; cut < file.len; cut++) {
        Once *again = new_once("entry-1", 2);
        for (i = 0; ends[i] <= cut; i++) {
        }
        file.data[cut] = (char)(file.data[cut] ^ 0x10);
        if (Once_Recover(again, 5, file.data, file.len, &recovery, &err) !=
            ST_OK) {
            ck_assert_int_eq(err.status, ST_CORRUPT);
        }
        else {
            /* The last record, or a length that reaches past the end. */
            ck_assert(i == 5 || cut < (i == 0 ? 0 : ends[i - 1]) + 4);
        }
        ck_assert_uint_eq(recovery.valid, i == 0 ? 0 : ends[i - 1]);
        file.data[cut] = (char)(file.data[cut] ^ 0x10);
        Once_Free(again);
    }
    Buf_Free(&file);
}
END_TEST

/* Guards against the disk of another entry VM, and against a tail of zeros
 * taken for damage. */
START_TEST(recovery_of_foreign_and_blank_files)
{
    static const char zeros[64];
    Once *other = new_once("entry-2", 2);
    Once *again = new_once("entry-1", 2);
    char tokens[3][ONCE_TOKEN_BYTES];
    size_t ends[6];
    OnceRecovery recovery;
    Buf file = BUF_INIT;
    ErrCtx err;

    write_file(tokens, &file, ends);
    ck_assert_int_eq(
        Once_Recover(other, 5, file.data, file.len, &recovery, &err),
        ST_CORRUPT);
    ck_assert_ptr_nonnull(strstr(err.message, "entry-1"));
    Buf_Append(&file, zeros, sizeof(zeros));
    ck_assert_int_eq(
        Once_Recover(again, 5, file.data, file.len, &recovery, &err), ST_OK);
    ck_assert_uint_eq(recovery.valid, ends[5]);
    Buf_Free(&file);
    Once_Free(other);
    Once_Free(again);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("once");
    TCase *tcase = tcase_create("cases");

    tcase_add_test(tcase, bad_tokens_are_refused);
    tcase_add_test(tcase, home_names_are_checked);
    tcase_add_test(tcase, home_steps);
    tcase_add_test(tcase, not_run_is_final);
    tcase_add_test(tcase, token_is_bound_to_its_first_request);
    tcase_add_test(tcase, expiry_and_retention);
    tcase_add_test(tcase, life_time_is_an_option);
    tcase_add_test(tcase, late_outcome_is_kept_for_the_grace);
    tcase_add_test(tcase, memory_is_bounded);
    tcase_add_test(tcase, second_entry_vm_holds_outcome);
    tcase_add_test(tcase, full_second_entry_vm_refuses);
    tcase_add_test(tcase, recovery_knows_old_tokens);
    tcase_add_test(tcase, recovery_of_damaged_files);
    tcase_add_test(tcase, recovery_of_foreign_and_blank_files);
    suite_add_tcase(suite, tcase);
    return suite;
}
