#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "once.h"

typedef struct VmPair {
    Once *home;
    Once *second;
} VmPair;

static Once *
create_once(const char *home, uint64_t incarnation)
{
    OnceOptions options = ONCE_OPTIONS_DEFAULT;
    Once *once;

    options.home = home;
    options.incarnation = incarnation;
    options.max_tokens = 8;
    options.max_held = 4;
    options.max_answer_bytes = 100;
    options.max_total_answer_bytes = 150;
    once = Once_New(&options);
    ck_assert_ptr_nonnull(once);
    return once;
}

static void
issue_token(Once *once, int64_t now, char token[ONCE_TOKEN_BYTES])
{
    char tokens[1][ONCE_TOKEN_BYTES];

    ck_assert_int_eq(Once_IssueTokens(once, now, 1, tokens), ST_OK);
    memcpy(token, tokens[0], ONCE_TOKEN_BYTES);
}

static OnceDecision
begin_request(Once *once, int64_t now, const char *token)
{
    OnceView view;

    return Once_BeginRequest(once, now, token, "gang-7", "order-1", &view);
}

/* Begins the request of an unused token, records its intent and begins the
 * first attempt. */
static void
dispatch_first_attempt(Once *once, int64_t now, const char *token)
{
    uint32_t attempt = 0;

    ck_assert_int_eq(begin_request(once, now, token), ONCE_FIRST_USE);
    ck_assert_int_eq(Once_ReportIntent(once, now, token, true), ST_OK);
    ck_assert_int_eq(Once_BeginAttempt(once, now, token, &attempt), ST_OK);
    ck_assert_uint_eq(attempt, 1);
}

/* Guards against a request that starts with a mistyped token or one that was
 * not issued. */
START_TEST(invalid_tokens_are_rejected)
{
    Once *once = create_once("entry-1", 0xab);
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
        ck_assert_int_eq(begin_request(once, 100, cases[i]), ONCE_INVALID);
    }
    issue_token(once, 100, token);
    for (i = 0; i < strlen(token); i++) {
        memcpy(changed, token, sizeof(token));
        changed[i] = changed[i] == '1' ? '2' : '1';
        ck_assert_int_eq(begin_request(once, 100, changed), ONCE_INVALID);
    }
    memcpy(changed, token, sizeof(token));
    memcpy(changed + strlen(token), "0", 2);
    ck_assert_int_eq(begin_request(once, 100, changed), ONCE_INVALID);
    ck_assert_int_eq(begin_request(once, 100, token), ONCE_FIRST_USE);
    Once_Free(once);
}
END_TEST

/* Guards against home names that cannot be parsed back from a token. */
START_TEST(invalid_home_names_are_rejected)
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
START_TEST(home_enforces_call_order)
{
    Once *once = create_once("entry-1", 1);
    char token[ONCE_TOKEN_BYTES];
    uint32_t attempt = 0;
    OnceView view;

    issue_token(once, 0, token);
    ck_assert_int_eq(Once_BeginAttempt(once, 0, token, &attempt), ST_STALE);
    ck_assert_int_eq(begin_request(once, 0, token), ONCE_FIRST_USE);
    ck_assert_int_eq(begin_request(once, 0, token), ONCE_RUNNING);
    ck_assert_int_eq(Once_BeginAttempt(once, 0, token, &attempt), ST_AGAIN);
    ck_assert_int_eq(Once_ReportIntent(once, 0, token, false), ST_OK);
    ck_assert_int_eq(Once_BeginAttempt(once, 0, token, &attempt), ST_AGAIN);
    ck_assert_int_eq(Once_ReportIntent(once, 0, token, true), ST_OK);
    ck_assert_int_eq(Once_BeginAttempt(once, 0, token, &attempt), ST_OK);
    ck_assert_int_eq(Once_BeginAttempt(once, 0, token, &attempt), ST_EXISTS);
    ck_assert_int_eq(Once_ReportIntent(once, 0, token, false), ST_OK);
    ck_assert_int_eq(Once_BeginAttempt(once, 0, token, &attempt), ST_EXISTS);
    ck_assert_int_eq(Once_FinishRequest(once, 0, token, 0,
                                        ONCE_OUTCOME_NOT_RUN, 503, NULL, 0),
                     ST_CONFLICT);
    ck_assert_int_eq(Once_ReportNotRun(once, 0, token, 1), ST_OK);
    ck_assert_int_eq(Once_BeginAttempt(once, 0, token, &attempt), ST_OK);
    ck_assert_uint_eq(attempt, 2);
    /* A duplicated "not run" statement of the first target is ignored. */
    ck_assert_int_eq(Once_ReportNotRun(once, 0, token, 1), ST_STALE);
    /* A late answer to the first attempt is ignored. */
    ck_assert_int_eq(
        Once_FinishRequest(once, 0, token, 1, ONCE_OUTCOME_DONE, 200, "no", 2),
        ST_STALE);
    ck_assert_int_eq(Once_FinishRequest(once, 0, token, 0,
                                        ONCE_OUTCOME_UNKNOWN, 504, NULL, 0),
                     ST_OK);
    ck_assert_int_eq(begin_request(once, 0, token), ONCE_UNKNOWN);
    ck_assert_int_eq(Once_BeginAttempt(once, 0, token, &attempt), ST_STALE);
    ck_assert_int_eq(Once_FinishRequest(once, 0, token, 0,
                                        ONCE_OUTCOME_NOT_RUN, 503, NULL, 0),
                     ST_STALE);
    ck_assert_int_eq(Once_FinishRequest(once, 0, token, 2, ONCE_OUTCOME_DONE,
                                        200, "yes", 3),
                     ST_OK);
    ck_assert_int_eq(
        Once_BeginRequest(once, 0, token, "gang-7", "order-1", &view),
        ONCE_FINISHED);
    ck_assert_int_eq(view.outcome, ONCE_OUTCOME_DONE);
    ck_assert_mem_eq(view.answer, "yes", 3);
    ck_assert_int_eq(
        Once_FinishRequest(once, 0, token, 2, ONCE_OUTCOME_DONE, 200, "no", 2),
        ST_STALE);
    Once_Free(once);
}
END_TEST

/* Guards against a delayed copy of a request that runs after the caller was
 * told "not run". */
START_TEST(not_run_is_final)
{
    Once *once = create_once("entry-1", 1);
    char token[ONCE_TOKEN_BYTES];
    uint32_t attempt;
    OnceView view;

    issue_token(once, 0, token);
    ck_assert_int_eq(begin_request(once, 0, token), ONCE_FIRST_USE);
    ck_assert_int_eq(Once_FinishRequest(once, 0, token, 0,
                                        ONCE_OUTCOME_NOT_RUN, 503, NULL, 0),
                     ST_OK);
    ck_assert_int_eq(Once_ReportIntent(once, 0, token, true), ST_STALE);
    ck_assert_int_eq(Once_BeginAttempt(once, 0, token, &attempt), ST_STALE);
    ck_assert_int_eq(
        Once_BeginRequest(once, 0, token, "gang-7", "order-1", &view),
        ONCE_FINISHED);
    ck_assert_int_eq(view.outcome, ONCE_OUTCOME_NOT_RUN);
    Once_Free(once);
}
END_TEST

/* Guards against a reply with the answer to another request. */
START_TEST(token_is_bound_to_its_first_request)
{
    static const struct {
        const char *caller;
        const char *request;
        OnceDecision decision;
    } cases[] = {
        {"gang-7", "order-1", ONCE_FINISHED},
        {"gang-7", "order-2", ONCE_INVALID},
        {"gang-8", "order-1", ONCE_INVALID},
        {"order-1", "gang-7", ONCE_INVALID},
        {"gang-7o", "rder-1", ONCE_INVALID},
        {"", "", ONCE_INVALID},
    };
    Once *once = create_once("entry-1", 1);
    char token[ONCE_TOKEN_BYTES];
    OnceView view;
    size_t i;

    issue_token(once, 0, token);
    dispatch_first_attempt(once, 0, token);
    Once_FinishRequest(once, 0, token, 1, ONCE_OUTCOME_DONE, 200, "yes", 3);
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        ck_assert_int_eq(Once_BeginRequest(once, 0, token, cases[i].caller,
                                           cases[i].request, &view),
                         cases[i].decision);
        ck_assert_uint_eq(view.len,
                          cases[i].decision == ONCE_FINISHED ? 3 : 0);
    }
    Once_Free(once);
}
END_TEST

/* Guards against execution after a token expires, and against rows that are
 * dropped too early or too late. */
START_TEST(tokens_expire_and_rows_are_dropped)
{
    enum { UNUSED, RUNNING, FINISHED };
    static const struct {
        int prepare;
        int64_t at;
        OnceDecision decision;
        uint32_t tokens;
    } cases[] = {
        {UNUSED, ONCE_DEFAULT_TTL_MS - 1, ONCE_FIRST_USE, 1},
        {UNUSED, ONCE_DEFAULT_TTL_MS, ONCE_EXPIRED, 1},
        {UNUSED, ONCE_DEFAULT_RETENTION_MS, ONCE_EXPIRED, 0},
        {RUNNING, ONCE_DEFAULT_TTL_MS, ONCE_RUNNING, 1},
        {RUNNING, ONCE_DEFAULT_RETENTION_MS * 3, ONCE_RUNNING, 1},
        {FINISHED, ONCE_DEFAULT_RETENTION_MS - 1, ONCE_FINISHED, 1},
        {FINISHED, ONCE_DEFAULT_RETENTION_MS, ONCE_EXPIRED, 0},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Once *once = create_once("entry-1", 1);
        char token[ONCE_TOKEN_BYTES];

        issue_token(once, 0, token);
        if (cases[i].prepare != UNUSED) {
            dispatch_first_attempt(once, 0, token);
        }
        if (cases[i].prepare == FINISHED) {
            Once_FinishRequest(once, 0, token, 1, ONCE_OUTCOME_DONE, 200, "x",
                               1);
        }
        ck_assert_int_eq(begin_request(once, cases[i].at, token),
                         cases[i].decision);
        ck_assert_uint_eq(Once_GetCounts(once).tokens, cases[i].tokens);
        /* A clock that steps back must not make an expired token valid. */
        if (cases[i].decision == ONCE_EXPIRED) {
            ck_assert_int_eq(begin_request(once, 0, token), ONCE_EXPIRED);
        }
        Once_Free(once);
    }
}
END_TEST

/* Guards against a configured token lifetime that is ignored. */
START_TEST(token_lifetime_is_configurable)
{
    static const struct {
        int64_t ttl_ms;
        int64_t at;
        OnceDecision decision;
        uint32_t tokens;
    } cases[] = {
        {1000, 999, ONCE_FIRST_USE, 1},
        {1000, 1000, ONCE_EXPIRED, 1},
        {1000, 61000, ONCE_EXPIRED, 0},
        {86400000, 86399999, ONCE_FIRST_USE, 1},
    };
    OnceOptions options = ONCE_OPTIONS_DEFAULT;
    size_t i;

    options.home = "entry-1";
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char token[ONCE_TOKEN_BYTES];
        Once *once;
        options.ttl_ms = cases[i].ttl_ms;
        once = Once_New(&options);
        issue_token(once, 0, token);
        ck_assert_int_eq(begin_request(once, cases[i].at, token),
                         cases[i].decision);
        ck_assert_uint_eq(Once_GetCounts(once).tokens, cases[i].tokens);
        Once_Free(once);
    }
    options.ttl_ms = 0;
    ck_assert_ptr_null(Once_New(&options));
}
END_TEST

/* Guards against losing the outcome of a request that finishes after the
 * retention time of its token. */
START_TEST(late_outcome_has_its_own_retention)
{
    Once *once = create_once("entry-1", 1);
    char token[ONCE_TOKEN_BYTES];
    int64_t end = ONCE_DEFAULT_RETENTION_MS * 4;

    issue_token(once, 0, token);
    dispatch_first_attempt(once, 0, token);
    Once_DropExpired(once, end);
    ck_assert_int_eq(Once_FinishRequest(once, end, token, 1, ONCE_OUTCOME_DONE,
                                        200, "x", 1),
                     ST_OK);
    ck_assert_int_eq(
        begin_request(once, end + ONCE_LATE_RETENTION_MS - 1, token),
        ONCE_FINISHED);
    ck_assert_int_eq(begin_request(once, end + ONCE_LATE_RETENTION_MS, token),
                     ONCE_EXPIRED);
    ck_assert_uint_eq(Once_GetCounts(once).tokens, 0);
    ck_assert_uint_eq(Once_GetCounts(once).answer_bytes, 0);
    Once_Free(once);
}
END_TEST

/* Guards against unbounded memory use by tokens or answers. */
START_TEST(memory_is_bounded)
{
    Once *once = create_once("entry-1", 1);
    char tokens[9][ONCE_TOKEN_BYTES];
    char body[101] = {0};
    OnceView view;

    ck_assert_int_eq(Once_IssueTokens(once, 0, 0, tokens), ST_INVALID);
    ck_assert_int_eq(
        Once_IssueTokens(once, 0, ONCE_MAX_TOKENS_PER_CALL + 1, tokens),
        ST_INVALID);
    ck_assert_int_eq(Once_IssueTokens(once, 0, 9, tokens), ST_FULL);
    ck_assert_int_eq(Once_IssueTokens(once, 0, 8, tokens), ST_OK);
    ck_assert_int_eq(Once_IssueTokens(once, 0, 1, tokens + 8), ST_FULL);
    dispatch_first_attempt(once, 0, tokens[0]);
    dispatch_first_attempt(once, 0, tokens[1]);
    dispatch_first_attempt(once, 0, tokens[2]);
    /* The answer exceeds max_answer_bytes. */
    Once_FinishRequest(once, 0, tokens[0], 1, ONCE_OUTCOME_DONE, 200, body,
                       101);
    Once_BeginRequest(once, 0, tokens[0], "gang-7", "order-1", &view);
    ck_assert(view.answer_dropped && view.answer == NULL);
    Once_FinishRequest(once, 0, tokens[1], 1, ONCE_OUTCOME_DONE, 200, body,
                       100);
    Once_BeginRequest(once, 0, tokens[1], "gang-7", "order-1", &view);
    ck_assert(!view.answer_dropped && view.len == 100);
    /* The older answer is dropped, but its outcome is kept. */
    Once_FinishRequest(once, 0, tokens[2], 1, ONCE_OUTCOME_DONE, 200, body,
                       60);
    ck_assert_uint_eq(Once_GetCounts(once).answer_bytes, 60);
    ck_assert_int_eq(
        Once_BeginRequest(once, 0, tokens[1], "gang-7", "order-1", &view),
        ONCE_FINISHED);
    ck_assert(view.answer_dropped && view.len == 0);
    ck_assert_int_eq(
        Once_IssueTokens(once, ONCE_DEFAULT_RETENTION_MS, 8, tokens), ST_OK);
    Once_Free(once);
}
END_TEST

/* Returns the record of a token in a buffer that the caller must free. */
static Buf
encode_record(Once *once, const char *token)
{
    Buf buf = BUF_INIT;

    ck_assert_int_eq(Once_EncodeRecord(once, token, &buf), ST_OK);
    return buf;
}

/* Guards against a restarted home that cannot restore an outcome from the
 * second entry VM, or that sends the request to a target again. */
START_TEST(second_entry_vm_holds_outcome)
{
    VmPair pair = {create_once("entry-1", 1), create_once("entry-2", 2)};
    Once *restarted;
    char token[ONCE_TOKEN_BYTES];
    OnceView view;
    uint32_t attempt;
    Buf record;

    issue_token(pair.home, 0, token);
    ck_assert_int_eq(begin_request(pair.home, 0, token), ONCE_FIRST_USE);
    record = encode_record(pair.home, token);
    ck_assert_int_eq(Once_HoldOutcome(pair.second, 9, record.data, record.len),
                     ST_INVALID);
    ck_assert_int_eq(
        Once_HoldIntent(pair.second, 9, record.data, record.len - 1),
        ST_CORRUPT);
    ck_assert_int_eq(Once_HoldIntent(pair.second, 9, record.data, record.len),
                     ST_OK);
    ck_assert_int_eq(Once_HoldIntent(pair.second, 9, record.data, record.len),
                     ST_OK);
    ck_assert_uint_eq(Once_GetCounts(pair.second).held, 1);
    ck_assert_int_eq(
        Once_FindHeldRecord(pair.second, 9, token, "gang-7", "order-1", &view),
        ST_OK);
    ck_assert_int_eq(view.outcome, ONCE_OUTCOME_NONE);
    ck_assert_int_eq(
        Once_FindHeldRecord(pair.second, 9, token, "gang-7", "order-2", &view),
        ST_INVALID);
    Buf_Free(&record);

    ck_assert_int_eq(Once_ReportIntent(pair.home, 0, token, true), ST_OK);
    ck_assert_int_eq(Once_BeginAttempt(pair.home, 0, token, &attempt), ST_OK);
    Once_FinishRequest(pair.home, 0, token, 1, ONCE_OUTCOME_DONE, 200, "yes",
                       3);
    record = encode_record(pair.home, token);
    ck_assert_int_eq(Once_HoldOutcome(pair.home, 9, record.data, record.len),
                     ST_INVALID);
    ck_assert_int_eq(Once_HoldOutcome(pair.second, 9, record.data, record.len),
                     ST_OK);
    Buf_Free(&record);
    ck_assert_int_eq(
        Once_BeginRequest(pair.second, 9, token, "gang-7", "order-1", &view),
        ONCE_FORWARD);
    ck_assert_str_eq(view.home, "entry-1");

    restarted = create_once("entry-1", 3);
    ck_assert_int_eq(
        Once_BeginRequest(restarted, 0, token, "gang-7", "order-1", &view),
        ONCE_UNKNOWN);
    ck_assert(view.ask_peers);
    ck_assert_int_eq(Once_BeginAttempt(restarted, 0, token, &attempt),
                     ST_STALE);
    record = encode_record(pair.second, token);
    ck_assert_int_eq(Once_HoldOutcome(restarted, 0, record.data, record.len),
                     ST_OK);
    Buf_Free(&record);
    ck_assert_int_eq(
        Once_BeginRequest(restarted, 0, token, "gang-7", "order-1", &view),
        ONCE_FINISHED);
    ck_assert_mem_eq(view.answer, "yes", 3);
    ck_assert_int_eq(
        Once_BeginRequest(restarted, 0, token, "gang-7", "order-2", &view),
        ONCE_INVALID);
    Once_DropExpired(pair.second, 9 + ONCE_DEFAULT_RETENTION_MS);
    ck_assert_uint_eq(Once_GetCounts(pair.second).held, 0);
    Once_Free(restarted);
    Once_Free(pair.home);
    Once_Free(pair.second);
}
END_TEST

/* Guards against unbounded memory use by records of other homes. */
START_TEST(full_second_entry_vm_refuses_intents)
{
    Once *home = create_once("entry-1", 1);
    Once *second = create_once("entry-2", 2);
    char token[ONCE_TOKEN_BYTES];
    int i;

    for (i = 0; i < 5; i++) {
        Buf record;
        issue_token(home, 0, token);
        begin_request(home, 0, token);
        record = encode_record(home, token);
        ck_assert_int_eq(Once_HoldIntent(second, 0, record.data, record.len),
                         i < 4 ? ST_OK : ST_FULL);
        Buf_Free(&record);
    }
    Once_Free(home);
    Once_Free(second);
}
END_TEST

/* Writes the records of three requests: one with only an intent, one with an
 * outcome, and one whose outcome "unknown" is replaced by a known one. Stores
 * the end offset of each record in ends. */
static void
write_records(char tokens[3][ONCE_TOKEN_BYTES], Buf *file, size_t ends[6])
{
    Once *once = create_once("entry-1", 1);
    size_t count = 0;
    int i;

    ck_assert_int_eq(Once_IssueTokens(once, 0, 3, tokens), ST_OK);
    for (i = 0; i < 3; i++) {
        ck_assert_int_eq(begin_request(once, 0, tokens[i]), ONCE_FIRST_USE);
        Once_EncodeRecord(once, tokens[i], file);
        ends[count++] = file->len;
        Once_ReportIntent(once, 0, tokens[i], true);
        Once_BeginAttempt(once, 0, tokens[i], &(uint32_t){0});
    }
    Once_FinishRequest(once, 0, tokens[2], 0, ONCE_OUTCOME_UNKNOWN, 504, NULL,
                       0);
    Once_EncodeRecord(once, tokens[2], file);
    ends[count++] = file->len;
    for (i = 1; i < 3; i++) {
        Once_FinishRequest(once, 0, tokens[i], 1, ONCE_OUTCOME_DONE, 200,
                           "yes", 3);
        Once_EncodeRecord(once, tokens[i], file);
        ends[count++] = file->len;
    }
    Once_Free(once);
}

/* Guards against a restarted home that does not restore its tokens from disk.
 */
START_TEST(recovery_restores_old_tokens)
{
    static const OnceDecision decisions[] = {ONCE_UNKNOWN, ONCE_FINISHED,
                                             ONCE_FINISHED};
    Once *restarted = create_once("entry-1", 2);
    char tokens[3][ONCE_TOKEN_BYTES];
    size_t ends[6];
    OnceRecovery recovery;
    Buf file = BUF_INIT;
    int i;

    write_records(tokens, &file, ends);
    ck_assert_int_eq(Once_RecoverRecords(restarted, 5, file.data, file.len,
                                         &recovery, NULL),
                     ST_OK);
    ck_assert_uint_eq(recovery.intents, 3);
    ck_assert_uint_eq(recovery.outcomes, 3);
    ck_assert_uint_eq(recovery.valid_bytes, file.len);
    for (i = 0; i < 3; i++) {
        ck_assert_int_eq(begin_request(restarted, 5, tokens[i]), decisions[i]);
        ck_assert_int_eq(
            Once_BeginAttempt(restarted, 5, tokens[i], &(uint32_t){0}),
            ST_STALE);
    }
    Buf_Free(&file);
    Once_Free(restarted);
}
END_TEST

/* Guards against a damaged file that crashes the process, whose damage is not
 * reported, or whose records after the damage are read. */
START_TEST(recovery_stops_at_damage)
{
    char tokens[3][ONCE_TOKEN_BYTES];
    size_t ends[6];
    OnceRecovery recovery;
    Buf file = BUF_INIT;
    ErrCtx err;
    size_t offset;
    size_t i;

    write_records(tokens, &file, ends);
    for (offset = 0; offset <= file.len; offset++) {
        Once *restarted = create_once("entry-1", 2);
        ck_assert_int_eq(Once_RecoverRecords(restarted, 5, file.data, offset,
                                             &recovery, &err),
                         ST_OK);
        for (i = 0; i < 6 && ends[i] <= offset; i++) {
        }
        ck_assert_uint_eq(recovery.valid_bytes, i == 0 ? 0 : ends[i - 1]);
        Once_Free(restarted);
    }
    for (offset = 0; offset < file.len; offset++) {
        Once *restarted = create_once("entry-1", 2);
        for (i = 0; ends[i] <= offset; i++) {
        }
        file.data[offset] = (char)(file.data[offset] ^ 0x10);
        if (Once_RecoverRecords(restarted, 5, file.data, file.len, &recovery,
                                &err) != ST_OK) {
            ck_assert_int_eq(err.status, ST_CORRUPT);
        }
        else {
            /* The damage is in the last record or in the length field, where
             * it looks like an incomplete record. */
            ck_assert(i == 5 || offset < (i == 0 ? 0 : ends[i - 1]) + 4);
        }
        ck_assert_uint_eq(recovery.valid_bytes, i == 0 ? 0 : ends[i - 1]);
        file.data[offset] = (char)(file.data[offset] ^ 0x10);
        Once_Free(restarted);
    }
    Buf_Free(&file);
}
END_TEST

/* Guards against recovery from the disk of another entry VM, and against
 * zeros at the end of a file that are reported as damage. */
START_TEST(recovery_checks_home_and_zero_tail)
{
    static const char zeros[64];
    Once *other = create_once("entry-2", 2);
    Once *restarted = create_once("entry-1", 2);
    char tokens[3][ONCE_TOKEN_BYTES];
    size_t ends[6];
    OnceRecovery recovery;
    Buf file = BUF_INIT;
    ErrCtx err;

    write_records(tokens, &file, ends);
    ck_assert_int_eq(
        Once_RecoverRecords(other, 5, file.data, file.len, &recovery, &err),
        ST_CORRUPT);
    ck_assert_ptr_nonnull(strstr(err.message, "entry-1"));
    Buf_Append(&file, zeros, sizeof(zeros));
    ck_assert_int_eq(Once_RecoverRecords(restarted, 5, file.data, file.len,
                                         &recovery, &err),
                     ST_OK);
    ck_assert_uint_eq(recovery.valid_bytes, ends[5]);
    Buf_Free(&file);
    Once_Free(other);
    Once_Free(restarted);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("once");
    TCase *tcase = tcase_create("cases");

    tcase_add_test(tcase, invalid_tokens_are_rejected);
    tcase_add_test(tcase, invalid_home_names_are_rejected);
    tcase_add_test(tcase, home_enforces_call_order);
    tcase_add_test(tcase, not_run_is_final);
    tcase_add_test(tcase, token_is_bound_to_its_first_request);
    tcase_add_test(tcase, tokens_expire_and_rows_are_dropped);
    tcase_add_test(tcase, token_lifetime_is_configurable);
    tcase_add_test(tcase, late_outcome_has_its_own_retention);
    tcase_add_test(tcase, memory_is_bounded);
    tcase_add_test(tcase, second_entry_vm_holds_outcome);
    tcase_add_test(tcase, full_second_entry_vm_refuses_intents);
    tcase_add_test(tcase, recovery_restores_old_tokens);
    tcase_add_test(tcase, recovery_stops_at_damage);
    tcase_add_test(tcase, recovery_checks_home_and_zero_tail);
    suite_add_tcase(suite, tcase);
    return suite;
}
