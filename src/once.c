#include "once.h"

#include <stdlib.h>
#include <string.h>

#include "once_rows.h"

struct Once {
    char home[ONCE_HOME_BYTES];
    OnceOptions options;
    int64_t now_ms;
    int64_t retention_ms;
    uint64_t next_number;
    OnceRows rows;
};

int64_t
Once_GetRetentionMs(int64_t ttl_ms)
{
    return ttl_ms + (ONCE_DEFAULT_RETENTION_MS - ONCE_DEFAULT_TTL_MS);
}

Once *
Once_New(const OnceOptions *options)
{
    uint32_t max_rows = options->max_tokens + options->max_held;
    Once *once;

    if (!OnceToken_IsValidHome(options->home) ||
        max_rows < options->max_tokens || options->ttl_ms <= 0) {
        return NULL;
    }
    once = calloc(1, sizeof(*once));
    if (once == NULL) {
        return NULL;
    }
    memcpy(once->home, options->home, strlen(options->home) + 1);
    once->options = *options;
    once->options.home = once->home;
    if (once->options.max_answer_bytes > ONCE_RECORD_MAX_BYTES / 2) {
        once->options.max_answer_bytes = ONCE_RECORD_MAX_BYTES / 2;
    }
    once->retention_ms = Once_GetRetentionMs(options->ttl_ms);
    once->next_number = 1;
    if (!OnceRows_Init(&once->rows, max_rows, once->options.max_answer_bytes,
                       once->options.max_total_answer_bytes)) {
        Once_Free(once);
        return NULL;
    }
    return once;
}

void
Once_Free(Once *once)
{
    if (once != NULL) {
        OnceRows_Destroy(&once->rows);
        free(once);
    }
}

/* Sets the time, which never goes back, and drops the rows that are due. The
 * row of an own token whose request has begun is kept until the request has an
 * outcome. */
static void
advance_time(Once *once, int64_t now_ms)
{
    int list;

    if (now_ms > once->now_ms) {
        once->now_ms = now_ms;
    }
    for (list = 0; list < ONCE_LIST_COUNT; list++) {
        Handle handle;
        while (!Handle_IsNone(handle = once->rows.lists[list].head)) {
            OnceRow *row = OnceRows_Get(&once->rows, handle);
            if (row->drop_at_ms > once->now_ms) {
                break;
            }
            if (list == ONCE_LIST_OWN && row->state != ONCE_ROW_ISSUED &&
                row->state != ONCE_ROW_FINISHED) {
                OnceRows_Unlink(&once->rows, row);
                continue;
            }
            OnceRows_Remove(&once->rows, handle);
        }
    }
}

void
Once_DropExpired(Once *once, int64_t now_ms)
{
    advance_time(once, now_ms);
}

Status
Once_IssueTokens(Once *once, int64_t now_ms, size_t count,
                 char out[][ONCE_TOKEN_BYTES])
{
    OnceToken token;
    size_t i;

    advance_time(once, now_ms);
    if (count == 0 || count > ONCE_MAX_TOKENS_PER_CALL) {
        return ST_INVALID;
    }
    if (once->rows.counts.tokens + count > once->options.max_tokens) {
        return ST_FULL;
    }
    memcpy(token.home, once->home, sizeof(token.home));
    token.incarnation = once->options.incarnation;
    token.issued_ms = once->now_ms;
    for (i = 0; i < count; i++) {
        token.number = once->next_number++;
        OnceToken_Format(&token, out[i]);
        if (Handle_IsNone(OnceRows_Add(&once->rows, out[i], ONCE_LIST_OWN,
                                       once->now_ms + once->retention_ms))) {
            return ST_NO_MEMORY;
        }
    }
    return ST_OK;
}

static bool
is_bound_to(const OnceRow *row, OnceBinding binding)
{
    return row->binding.caller == binding.caller &&
           row->binding.request == binding.request;
}

static void
fill_view(const OnceRow *row, OnceView *view)
{
    view->outcome = (OnceOutcome)row->outcome;
    view->status = row->status;
    view->answer = row->answer;
    view->len = row->answer_len;
    view->answer_dropped = row->answer_dropped;
}

static bool
is_own(const Once *once, const OnceToken *token)
{
    return token->incarnation == once->options.incarnation &&
           strcmp(token->home, once->home) == 0;
}

/* Decides on a request that has begun before. */
static OnceDecision
decide_resent(const Once *once, const OnceRow *row, const OnceToken *token,
              OnceBinding binding, OnceView *view)
{
    if (!is_bound_to(row, binding)) {
        return ONCE_INVALID;
    }
    fill_view(row, view);
    if (row->outcome == ONCE_OUTCOME_NONE) {
        view->ask_peers = !is_own(once, token);
        return view->ask_peers ? ONCE_UNKNOWN : ONCE_RUNNING;
    }
    return row->outcome == ONCE_OUTCOME_UNKNOWN ? ONCE_UNKNOWN : ONCE_FINISHED;
}

OnceDecision
Once_BeginRequest(Once *once, int64_t now_ms, const char *token,
                  const char *caller, const char *request_id, OnceView *view)
{
    OnceBinding binding = OnceBinding_Compute(caller, request_id);
    OnceToken parsed;
    OnceRow *row;
    bool expired;

    memset(view, 0, sizeof(*view));
    advance_time(once, now_ms);
    if (!OnceToken_Parse(token, &parsed)) {
        return ONCE_INVALID;
    }
    memcpy(view->home, parsed.home, sizeof(view->home));
    if (strcmp(parsed.home, once->home) != 0) {
        return ONCE_FORWARD;
    }
    row = OnceRows_Get(&once->rows, OnceRows_Find(&once->rows, token));
    if (row != NULL && row->state != ONCE_ROW_ISSUED) {
        return decide_resent(once, row, &parsed, binding, view);
    }
    if (!is_own(once, &parsed)) {
        view->ask_peers = true;
        return ONCE_UNKNOWN;
    }
    expired = parsed.issued_ms <= once->now_ms - once->options.ttl_ms;
    if (row == NULL || expired) {
        return expired ? ONCE_EXPIRED : ONCE_INVALID;
    }
    row->binding = binding;
    row->state = ONCE_ROW_BEGUN;
    return ONCE_FIRST_USE;
}

/* Returns the row of a token of this home whose request has begun, or NULL. */
static OnceRow *
find_begun_row(Once *once, int64_t now_ms, const char *token, Handle *handle)
{
    OnceRow *row;

    advance_time(once, now_ms);
    *handle = OnceRows_Find(&once->rows, token);
    row = OnceRows_Get(&once->rows, *handle);
    if (row == NULL || row->list == ONCE_LIST_HELD ||
        row->state == ONCE_ROW_ISSUED) {
        return NULL;
    }
    return row;
}

Status
Once_ReportIntent(Once *once, int64_t now_ms, const char *token, bool recorded)
{
    Handle handle;
    OnceRow *row = find_begun_row(once, now_ms, token, &handle);

    if (row == NULL || row->state == ONCE_ROW_FINISHED) {
        return ST_STALE;
    }
    if (recorded && row->state == ONCE_ROW_BEGUN) {
        row->state = ONCE_ROW_INTENT_RECORDED;
    }
    return ST_OK;
}

Status
Once_BeginAttempt(Once *once, int64_t now_ms, const char *token,
                  uint32_t *attempt)
{
    Handle handle;
    OnceRow *row = find_begun_row(once, now_ms, token, &handle);

    if (row == NULL || row->state == ONCE_ROW_FINISHED) {
        return ST_STALE;
    }
    if (row->state == ONCE_ROW_BEGUN) {
        return ST_AGAIN;
    }
    if (row->state == ONCE_ROW_IN_FLIGHT) {
        return ST_EXISTS;
    }
    row->state = ONCE_ROW_IN_FLIGHT;
    row->attempt_unanswered = true;
    row->attempt++;
    *attempt = row->attempt;
    return ST_OK;
}

Status
Once_ReportNotRun(Once *once, int64_t now_ms, const char *token,
                  uint32_t attempt)
{
    Handle handle;
    OnceRow *row = find_begun_row(once, now_ms, token, &handle);

    if (row == NULL || row->state != ONCE_ROW_IN_FLIGHT ||
        row->attempt != attempt) {
        return ST_STALE;
    }
    row->state = ONCE_ROW_INTENT_RECORDED;
    row->attempt_unanswered = false;
    return ST_OK;
}

/* Returns ST_OK if the outcome may be stored. */
static Status
check_outcome(const OnceRow *row, uint32_t attempt, OnceOutcome outcome)
{
    bool answered = row->attempt_unanswered && row->attempt == attempt;

    if (row->state == ONCE_ROW_FINISHED &&
        (outcome != ONCE_OUTCOME_DONE ||
         row->outcome != ONCE_OUTCOME_UNKNOWN)) {
        return ST_STALE;
    }
    if (outcome == ONCE_OUTCOME_DONE && !answered) {
        return ST_STALE;
    }
    if (outcome == ONCE_OUTCOME_NOT_RUN && row->attempt_unanswered) {
        return ST_CONFLICT;
    }
    return ST_OK;
}

Status
Once_FinishRequest(Once *once, int64_t now_ms, const char *token,
                   uint32_t attempt, OnceOutcome outcome, int status,
                   const char *answer, size_t len)
{
    Handle handle;
    OnceRow *row = find_begun_row(once, now_ms, token, &handle);
    Status checked;

    if (outcome <= ONCE_OUTCOME_NONE || outcome > ONCE_OUTCOME_CANCELLED ||
        status < 0 || status > 999) {
        return ST_INVALID;
    }
    if (row == NULL) {
        return ST_STALE;
    }
    checked = check_outcome(row, attempt, outcome);
    if (checked != ST_OK) {
        return checked;
    }
    row->state = ONCE_ROW_FINISHED;
    row->outcome = (uint8_t)outcome;
    row->status = (uint16_t)status;
    if (outcome == ONCE_OUTCOME_DONE) {
        row->attempt_unanswered = false;
        OnceRows_KeepAnswer(&once->rows, handle, answer, len);
    }
    if (row->list == ONCE_LIST_NONE) {
        OnceRows_Link(&once->rows, handle, ONCE_LIST_LATE,
                      once->now_ms + ONCE_LATE_RETENTION_MS);
    }
    return ST_OK;
}

Status
Once_EncodeRecord(Once *once, const char *token, Buf *out)
{
    const OnceRow *row =
        OnceRows_Get(&once->rows, OnceRows_Find(&once->rows, token));
    OnceRecord record;

    if (row == NULL || row->state == ONCE_ROW_ISSUED) {
        return ST_NOT_FOUND;
    }
    memset(&record, 0, sizeof(record));
    record.kind = row->outcome == ONCE_OUTCOME_NONE ? ONCE_RECORD_INTENT
                                                    : ONCE_RECORD_OUTCOME;
    memcpy(record.token_text, token, strlen(token) + 1);
    record.binding = row->binding;
    record.outcome = (OnceOutcome)row->outcome;
    record.status = row->status;
    record.answer = row->answer;
    record.answer_len = row->answer_len;
    record.answer_dropped = row->answer_dropped;
    OnceRecord_Encode(&record, out);
    return ST_OK;
}

/* Stores a record. The first outcome is kept, except that a known outcome
 * replaces "unknown". */
static Status
hold_record(Once *once, const OnceRecord *record)
{
    Handle handle = OnceRows_Find(&once->rows, record->token_text);
    OnceRow *row = OnceRows_Get(&once->rows, handle);

    if (is_own(once, &record->token)) {
        return ST_INVALID;
    }
    if (row == NULL) {
        if (once->rows.counts.held >= once->options.max_held) {
            return ST_FULL;
        }
        handle = OnceRows_Add(&once->rows, record->token_text, ONCE_LIST_HELD,
                              once->now_ms + once->retention_ms);
        row = OnceRows_Get(&once->rows, handle);
        if (row == NULL) {
            return ST_NO_MEMORY;
        }
        row->binding = record->binding;
        row->state = ONCE_ROW_IN_FLIGHT;
    }
    if (!is_bound_to(row, record->binding)) {
        return ST_INVALID;
    }
    if (record->kind == ONCE_RECORD_OUTCOME &&
        (row->state == ONCE_ROW_IN_FLIGHT ||
         row->outcome == ONCE_OUTCOME_UNKNOWN)) {
        row->state = ONCE_ROW_FINISHED;
        row->outcome = (uint8_t)record->outcome;
        row->status = (uint16_t)record->status;
        row->answer_dropped = record->answer_dropped;
        OnceRows_KeepAnswer(&once->rows, handle, record->answer,
                            record->answer_len);
        OnceRows_Unlink(&once->rows, row);
        OnceRows_Link(&once->rows, handle, ONCE_LIST_HELD,
                      once->now_ms + once->retention_ms);
    }
    return ST_OK;
}

static Status
hold_encoded_record(Once *once, int64_t now_ms, const char *bytes, size_t len,
                    OnceRecordKind kind)
{
    OnceRecord record;
    size_t used;

    advance_time(once, now_ms);
    if (OnceRecord_Decode(bytes, len, &record, &used) != ST_OK ||
        used != len) {
        return ST_CORRUPT;
    }
    return record.kind == kind ? hold_record(once, &record) : ST_INVALID;
}

Status
Once_HoldIntent(Once *once, int64_t now_ms, const char *record, size_t len)
{
    return hold_encoded_record(once, now_ms, record, len, ONCE_RECORD_INTENT);
}

Status
Once_HoldOutcome(Once *once, int64_t now_ms, const char *record, size_t len)
{
    return hold_encoded_record(once, now_ms, record, len, ONCE_RECORD_OUTCOME);
}

Status
Once_FindHeldRecord(Once *once, int64_t now_ms, const char *token,
                    const char *caller, const char *request_id, OnceView *view)
{
    OnceToken parsed;
    const OnceRow *row;

    memset(view, 0, sizeof(*view));
    advance_time(once, now_ms);
    if (!OnceToken_Parse(token, &parsed)) {
        return ST_INVALID;
    }
    row = OnceRows_Get(&once->rows, OnceRows_Find(&once->rows, token));
    if (row == NULL || row->list != ONCE_LIST_HELD) {
        return ST_NOT_FOUND;
    }
    if (!is_bound_to(row, OnceBinding_Compute(caller, request_id))) {
        return ST_INVALID;
    }
    memcpy(view->home, parsed.home, sizeof(view->home));
    fill_view(row, view);
    return ST_OK;
}

/* Returns whether the bytes are all zero. A file system leaves such a tail if
 * it synced the size of the file before the data. */
static bool
is_all_zeros(const char *bytes, size_t len)
{
    while (len > 0 && bytes[len - 1] == '\0') {
        len--;
    }
    return len == 0;
}

static void
recover_record(Once *once, const OnceRecord *record, OnceRecovery *out)
{
    if (record->kind == ONCE_RECORD_INTENT) {
        out->intents++;
    }
    else {
        out->outcomes++;
    }
    if (once->rows.counts.held >= once->options.max_held &&
        !Handle_IsNone(once->rows.lists[ONCE_LIST_HELD].head)) {
        OnceRows_Remove(&once->rows, once->rows.lists[ONCE_LIST_HELD].head);
    }
    (void)hold_record(once, record);
}

Status
Once_RecoverRecords(Once *once, int64_t now_ms, const char *bytes, size_t len,
                    OnceRecovery *out, ErrCtx *err)
{
    OnceRecord record;
    Status status = ST_OK;
    size_t used;

    memset(out, 0, sizeof(*out));
    advance_time(once, now_ms);
    while (out->valid_bytes < len && status == ST_OK) {
        const char *tail = bytes + out->valid_bytes;
        size_t tail_len = len - out->valid_bytes;

        status = OnceRecord_Decode(tail, tail_len, &record, &used);
        if (status == ST_OK && strcmp(record.token.home, once->home) != 0) {
            return Err_Set(err, ST_CORRUPT,
                           "the record at offset %zu belongs to entry VM '%s'",
                           out->valid_bytes, record.token.home);
        }
        if (status == ST_OK) {
            recover_record(once, &record, out);
            out->valid_bytes += used;
        }
        else if (status == ST_CORRUPT && used != tail_len &&
                 !is_all_zeros(tail, tail_len)) {
            return Err_Set(err, ST_CORRUPT, "corrupt record at offset %zu",
                           out->valid_bytes);
        }
    }
    return ST_OK;
}

OnceCounts
Once_GetCounts(const Once *once)
{
    return once->rows.counts;
}
