#include "once.h"

#include <stdlib.h>
#include <string.h>

#include "once_rows.h"

struct Once {
    char home[ONCE_HOME_BYTES];
    OnceOptions options;
    int64_t now;
    int64_t retention_ms;
    uint64_t next_number;
    OnceRows rows;
};

int64_t
Once_RetentionMs(int64_t ttl_ms)
{
    return ttl_ms + (ONCE_RETENTION_MS - ONCE_TTL_MS);
}

Once *
Once_New(const OnceOptions *options)
{
    uint32_t max_rows = options->max_tokens + options->max_held;
    Once *once;

    if (!OnceToken_ValidHome(options->home) ||
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
    once->retention_ms = Once_RetentionMs(options->ttl_ms);
    once->next_number = 1;
    if (!OnceRows_Init(&once->rows, max_rows, once->options.max_answer_bytes,
                       once->options.max_answers_bytes)) {
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

static void
advance(Once *once, int64_t now)
{
    int list;

    if (now > once->now) {
        once->now = now;
    }
    for (list = 0; list < ONCE_LIST_COUNT; list++) {
        Handle handle;
        while (!Handle_IsNone(handle = once->rows.lists[list].head)) {
            OnceRow *row = OnceRows_At(&once->rows, handle);
            if (row->drop_at > once->now) {
                break;
            }
            if (list == ONCE_LIST_OWN && row->state != ONCE_ROW_ISSUED &&
                row->state != ONCE_ROW_CLOSED) {
                OnceRows_Unlink(&once->rows, row);
                continue;
            }
            OnceRows_Remove(&once->rows, handle);
        }
    }
}

void
Once_Tick(Once *once, int64_t now)
{
    advance(once, now);
}

Status
Once_Issue(Once *once, int64_t now, size_t count, char out[][ONCE_TOKEN_BYTES])
{
    OnceToken token;
    size_t i;

    advance(once, now);
    if (count == 0 || count > ONCE_MAX_ISSUE) {
        return ST_INVALID;
    }
    if (once->rows.counts.tokens + count > once->options.max_tokens) {
        return ST_FULL;
    }
    memcpy(token.home, once->home, sizeof(token.home));
    token.incarnation = once->options.incarnation;
    token.issued = once->now;
    for (i = 0; i < count; i++) {
        token.number = once->next_number++;
        OnceToken_Format(&token, out[i]);
        if (Handle_IsNone(OnceRows_Add(&once->rows, out[i], ONCE_LIST_OWN,
                                       once->now + once->retention_ms))) {
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
    view->len = row->len;
    view->answer_dropped = row->answer_dropped;
}

static bool
is_own(const Once *once, const OnceToken *token)
{
    return token->incarnation == once->options.incarnation &&
           strcmp(token->home, once->home) == 0;
}

/* Decides on a row whose request has begun. */
static OnceVerdict
resent(const Once *once, const OnceRow *row, const OnceToken *token,
       OnceBinding binding, OnceView *view)
{
    if (!is_bound_to(row, binding)) {
        return ONCE_BAD;
    }
    fill_view(row, view);
    if (row->outcome == ONCE_OUTCOME_NONE) {
        view->ask_peers = !is_own(once, token);
        return view->ask_peers ? ONCE_UNKNOWN : ONCE_RUNNING;
    }
    return row->outcome == ONCE_OUTCOME_UNKNOWN ? ONCE_UNKNOWN : ONCE_DONE;
}

OnceVerdict
Once_Begin(Once *once, int64_t now, const char *token, const char *caller,
           const char *request_id, OnceView *view)
{
    OnceBinding binding = OnceBinding_Of(caller, request_id);
    OnceToken parsed;
    OnceRow *row;
    bool expired;

    memset(view, 0, sizeof(*view));
    advance(once, now);
    if (!OnceToken_Parse(token, &parsed)) {
        return ONCE_BAD;
    }
    memcpy(view->home, parsed.home, sizeof(view->home));
    if (strcmp(parsed.home, once->home) != 0) {
        return ONCE_FORWARD;
    }
    row = OnceRows_At(&once->rows, OnceRows_Find(&once->rows, token));
    if (row != NULL && row->state != ONCE_ROW_ISSUED) {
        return resent(once, row, &parsed, binding, view);
    }
    if (!is_own(once, &parsed)) {
        view->ask_peers = true;
        return ONCE_UNKNOWN;
    }
    expired = parsed.issued <= once->now - once->options.ttl_ms;
    if (row == NULL || expired) {
        return expired ? ONCE_EXPIRED : ONCE_BAD;
    }
    row->binding = binding;
    row->state = ONCE_ROW_BEGUN;
    return ONCE_FRESH;
}

/* Returns the row of an own token whose request has begun, or NULL. */
static OnceRow *
begun_row(Once *once, int64_t now, const char *token, Handle *handle)
{
    OnceRow *row;

    advance(once, now);
    *handle = OnceRows_Find(&once->rows, token);
    row = OnceRows_At(&once->rows, *handle);
    if (row == NULL || row->list == ONCE_LIST_HELD ||
        row->state == ONCE_ROW_ISSUED) {
        return NULL;
    }
    return row;
}

Status
Once_IntentRecorded(Once *once, int64_t now, const char *token, bool recorded)
{
    Handle handle;
    OnceRow *row = begun_row(once, now, token, &handle);

    if (row == NULL || row->state == ONCE_ROW_CLOSED) {
        return ST_STALE;
    }
    if (recorded && row->state == ONCE_ROW_BEGUN) {
        row->state = ONCE_ROW_INTENT;
    }
    return ST_OK;
}

Status
Once_Dispatch(Once *once, int64_t now, const char *token, uint32_t *attempt)
{
    Handle handle;
    OnceRow *row = begun_row(once, now, token, &handle);

    if (row == NULL || row->state == ONCE_ROW_CLOSED) {
        return ST_STALE;
    }
    if (row->state == ONCE_ROW_BEGUN) {
        return ST_AGAIN;
    }
    if (row->state == ONCE_ROW_OUT) {
        return ST_EXISTS;
    }
    row->state = ONCE_ROW_OUT;
    row->attempt_out = true;
    row->attempt++;
    *attempt = row->attempt;
    return ST_OK;
}

Status
Once_NotRun(Once *once, int64_t now, const char *token, uint32_t attempt)
{
    Handle handle;
    OnceRow *row = begun_row(once, now, token, &handle);

    if (row == NULL || row->state != ONCE_ROW_OUT || row->attempt != attempt) {
        return ST_STALE;
    }
    row->state = ONCE_ROW_INTENT;
    row->attempt_out = false;
    return ST_OK;
}

/* Returns whether the outcome may be stored. */
static Status
check_finish(const OnceRow *row, uint32_t attempt, OnceOutcome outcome)
{
    bool answered = row->attempt_out && row->attempt == attempt;

    if (row->state == ONCE_ROW_CLOSED &&
        (outcome != ONCE_OUTCOME_DONE ||
         row->outcome != ONCE_OUTCOME_UNKNOWN)) {
        return ST_STALE;
    }
    if (outcome == ONCE_OUTCOME_DONE && !answered) {
        return ST_STALE;
    }
    if (outcome == ONCE_OUTCOME_NOT_RUN && row->attempt_out) {
        return ST_CONFLICT;
    }
    return ST_OK;
}

Status
Once_Finish(Once *once, int64_t now, const char *token, uint32_t attempt,
            OnceOutcome outcome, int status, const char *answer, size_t len)
{
    Handle handle;
    OnceRow *row = begun_row(once, now, token, &handle);
    Status checked;

    if (outcome <= ONCE_OUTCOME_NONE || outcome > ONCE_OUTCOME_CANCELLED ||
        status < 0 || status > 999) {
        return ST_INVALID;
    }
    if (row == NULL) {
        return ST_STALE;
    }
    checked = check_finish(row, attempt, outcome);
    if (checked != ST_OK) {
        return checked;
    }
    row->state = ONCE_ROW_CLOSED;
    row->outcome = (uint8_t)outcome;
    row->status = (uint16_t)status;
    if (outcome == ONCE_OUTCOME_DONE) {
        row->attempt_out = false;
        OnceRows_KeepAnswer(&once->rows, handle, answer, len);
    }
    if (row->list == ONCE_LIST_NONE) {
        OnceRows_Link(&once->rows, handle, ONCE_LIST_LATE,
                      once->now + ONCE_LATE_GRACE_MS);
    }
    return ST_OK;
}

Status
Once_EncodeRecord(Once *once, const char *token, Buf *out)
{
    const OnceRow *row =
        OnceRows_At(&once->rows, OnceRows_Find(&once->rows, token));
    OnceRecord record;

    if (row == NULL || row->state == ONCE_ROW_ISSUED) {
        return ST_NOT_FOUND;
    }
    memset(&record, 0, sizeof(record));
    record.kind = row->outcome == ONCE_OUTCOME_NONE ? ONCE_RECORD_INTENT
                                                    : ONCE_RECORD_OUTCOME;
    memcpy(record.text, token, strlen(token) + 1);
    record.binding = row->binding;
    record.outcome = (OnceOutcome)row->outcome;
    record.status = row->status;
    record.answer = row->answer;
    record.len = row->len;
    record.answer_dropped = row->answer_dropped;
    OnceRecord_Encode(&record, out);
    return ST_OK;
}

/* Stores a record. The first outcome stays, except that "unknown" gives way
 * to a known one. */
static Status
hold(Once *once, const OnceRecord *record)
{
    Handle handle = OnceRows_Find(&once->rows, record->text);
    OnceRow *row = OnceRows_At(&once->rows, handle);

    if (is_own(once, &record->token)) {
        return ST_INVALID;
    }
    if (row == NULL) {
        if (once->rows.counts.held >= once->options.max_held) {
            return ST_FULL;
        }
        handle = OnceRows_Add(&once->rows, record->text, ONCE_LIST_HELD,
                              once->now + once->retention_ms);
        row = OnceRows_At(&once->rows, handle);
        if (row == NULL) {
            return ST_NO_MEMORY;
        }
        row->binding = record->binding;
        row->state = ONCE_ROW_OUT;
    }
    if (!is_bound_to(row, record->binding)) {
        return ST_INVALID;
    }
    if (record->kind == ONCE_RECORD_OUTCOME &&
        (row->state == ONCE_ROW_OUT || row->outcome == ONCE_OUTCOME_UNKNOWN)) {
        row->state = ONCE_ROW_CLOSED;
        row->outcome = (uint8_t)record->outcome;
        row->status = (uint16_t)record->status;
        row->answer_dropped = record->answer_dropped;
        OnceRows_KeepAnswer(&once->rows, handle, record->answer, record->len);
        OnceRows_Unlink(&once->rows, row);
        OnceRows_Link(&once->rows, handle, ONCE_LIST_HELD,
                      once->now + once->retention_ms);
    }
    return ST_OK;
}

static Status
hold_bytes(Once *once, int64_t now, const char *bytes, size_t len,
           OnceRecordKind kind)
{
    OnceRecord record;
    size_t used;

    advance(once, now);
    if (OnceRecord_Decode(bytes, len, &record, &used) != ST_OK ||
        used != len) {
        return ST_CORRUPT;
    }
    return record.kind == kind ? hold(once, &record) : ST_INVALID;
}

Status
Once_HoldIntent(Once *once, int64_t now, const char *record, size_t len)
{
    return hold_bytes(once, now, record, len, ONCE_RECORD_INTENT);
}

Status
Once_HoldOutcome(Once *once, int64_t now, const char *record, size_t len)
{
    return hold_bytes(once, now, record, len, ONCE_RECORD_OUTCOME);
}

Status
Once_Held(Once *once, int64_t now, const char *token, const char *caller,
          const char *request_id, OnceView *view)
{
    OnceToken parsed;
    const OnceRow *row;

    memset(view, 0, sizeof(*view));
    advance(once, now);
    if (!OnceToken_Parse(token, &parsed)) {
        return ST_INVALID;
    }
    row = OnceRows_At(&once->rows, OnceRows_Find(&once->rows, token));
    if (row == NULL || row->list != ONCE_LIST_HELD) {
        return ST_NOT_FOUND;
    }
    if (!is_bound_to(row, OnceBinding_Of(caller, request_id))) {
        return ST_INVALID;
    }
    memcpy(view->home, parsed.home, sizeof(view->home));
    fill_view(row, view);
    return ST_OK;
}

/* Returns whether the rest of a file has zeros only, as a file system leaves
 * it where the size was synced before the data. */
static bool
is_blank(const char *bytes, size_t len)
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
    (void)hold(once, record);
}

Status
Once_Recover(Once *once, int64_t now, const char *bytes, size_t len,
             OnceRecovery *out, ErrCtx *err)
{
    OnceRecord record;
    Status status = ST_OK;
    size_t used;

    memset(out, 0, sizeof(*out));
    advance(once, now);
    while (out->valid < len && status == ST_OK) {
        const char *at = bytes + out->valid;
        size_t rest = len - out->valid;

        status = OnceRecord_Decode(at, rest, &record, &used);
        if (status == ST_OK && strcmp(record.token.home, once->home) != 0) {
            return Err_Set(err, ST_CORRUPT,
                           "the record at offset %zu is of home '%s'",
                           out->valid, record.token.home);
        }
        if (status == ST_OK) {
            recover_record(once, &record, out);
            out->valid += used;
        }
        else if (status == ST_CORRUPT && used != rest && !is_blank(at, rest)) {
            return Err_Set(err, ST_CORRUPT, "bad record at offset %zu",
                           out->valid);
        }
    }
    return ST_OK;
}

OnceCounts
Once_Counts(const Once *once)
{
    return once->rows.counts;
}
