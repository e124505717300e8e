#include "once.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "once_record.h"
#include "table.h"

typedef enum RowState {
    ROW_ISSUED, /* the token was given out */
    ROW_BEGUN,  /* the request arrived; no intent is recorded */
    ROW_INTENT, /* the intent is recorded; no attempt is out */
    ROW_OUT,    /* an attempt is at a target */
    ROW_CLOSED  /* there is an outcome */
} RowState;

/* Rows of one list were added in the order of their drop time. */
typedef enum RowList {
    LIST_OWN,  /* own tokens, dropped ONCE_RETENTION_MS after issue */
    LIST_LATE, /* outcomes that came after that time */
    LIST_HELD, /* records of other homes, and recovered ones */
    LIST_COUNT,
    LIST_NONE /* own tokens that still run after ONCE_RETENTION_MS */
} RowList;

typedef struct Row {
    uint64_t id[2]; /* XXH3 of the token */
    OnceBinding binding;
    int64_t drop_at;
    Handle bucket_next;
    Handle prev; /* of its RowList */
    Handle next;
    Handle answer_prev; /* of the rows with an answer */
    Handle answer_next;
    char *answer;
    uint32_t len;
    uint32_t attempt; /* the last one */
    uint16_t status;
    uint8_t state;   /* RowState */
    uint8_t outcome; /* OnceOutcome */
    uint8_t list;    /* RowList */
    bool answer_dropped;
    bool attempt_out; /* also after "unknown": its answer is still welcome */
} Row;

typedef struct Ends {
    Handle head;
    Handle tail;
} Ends;

struct Once {
    char home[ONCE_HOME_BYTES];
    OnceOptions options;
    int64_t now;
    uint64_t next_number;
    Table *rows;
    Handle *buckets;
    size_t bucket_mask;
    Ends lists[LIST_COUNT];
    Ends answers;
    OnceCounts counts;
};

Once *
Once_New(const OnceOptions *options)
{
    uint32_t max_rows = options->max_tokens + options->max_held;
    size_t buckets = 16;
    Once *once;

    if (!OnceToken_ValidHome(options->home) ||
        max_rows < options->max_tokens) {
        return NULL;
    }
    once = calloc(1, sizeof(*once));
    if (once == NULL) {
        return NULL;
    }
    while (buckets < max_rows) {
        buckets *= 2;
    }
    memcpy(once->home, options->home, strlen(options->home) + 1);
    once->options = *options;
    once->options.home = once->home;
    if (once->options.max_answer_bytes > ONCE_RECORD_MAX_BYTES / 2) {
        once->options.max_answer_bytes = ONCE_RECORD_MAX_BYTES / 2;
    }
    once->next_number = 1;
    once->rows = Table_New(sizeof(Row), max_rows);
    once->buckets = calloc(buckets, sizeof(*once->buckets));
    once->bucket_mask = buckets - 1;
    if (once->rows == NULL || once->buckets == NULL) {
        Once_Free(once);
        return NULL;
    }
    return once;
}

void
Once_Free(Once *once)
{
    uint32_t cursor = 0;
    Handle handle;

    if (once == NULL) {
        return;
    }
    if (once->rows != NULL) {
        while (!Handle_IsNone(handle = Table_Next(once->rows, &cursor))) {
            free(((Row *)Table_Get(once->rows, handle))->answer);
        }
    }
    Table_Free(once->rows);
    free(once->buckets);
    free(once);
}

static Row *
row_at(const Once *once, Handle handle)
{
    return Table_Get(once->rows, handle);
}

static void
link_row(Once *once, Handle handle, RowList list, int64_t drop_at)
{
    Ends *ends = &once->lists[list];
    Row *row = row_at(once, handle);

    row->list = (uint8_t)list;
    row->drop_at = drop_at;
    row->prev = ends->tail;
    row->next = HANDLE_NONE;
    if (Handle_IsNone(ends->tail)) {
        ends->head = handle;
    }
    else {
        row_at(once, ends->tail)->next = handle;
    }
    ends->tail = handle;
}

static void
unlink_row(Once *once, Row *row)
{
    Ends *ends;

    if (row->list == LIST_NONE) {
        return;
    }
    ends = &once->lists[row->list];
    if (Handle_IsNone(row->prev)) {
        ends->head = row->next;
    }
    else {
        row_at(once, row->prev)->next = row->next;
    }
    if (Handle_IsNone(row->next)) {
        ends->tail = row->prev;
    }
    else {
        row_at(once, row->next)->prev = row->prev;
    }
    row->list = LIST_NONE;
}

static void
drop_answer(Once *once, Row *row)
{
    if (row->answer == NULL) {
        return;
    }
    if (Handle_IsNone(row->answer_prev)) {
        once->answers.head = row->answer_next;
    }
    else {
        row_at(once, row->answer_prev)->answer_next = row->answer_next;
    }
    if (Handle_IsNone(row->answer_next)) {
        once->answers.tail = row->answer_prev;
    }
    else {
        row_at(once, row->answer_next)->answer_prev = row->answer_prev;
    }
    free(row->answer);
    once->counts.answer_bytes -= row->len;
    row->answer = NULL;
    row->len = 0;
    row->answer_dropped = true;
}

/* Keeps a copy of the answer, for which the oldest ones make room. */
static void
keep_answer(Once *once, Handle handle, const char *answer, size_t len)
{
    const OnceOptions *options = &once->options;
    Row *row = row_at(once, handle);

    if (len == 0) {
        return;
    }
    row->answer_dropped = true;
    if (len > options->max_answer_bytes || len > options->max_answers_bytes) {
        return;
    }
    while (once->counts.answer_bytes + len > options->max_answers_bytes) {
        drop_answer(once, row_at(once, once->answers.head));
    }
    row->answer = malloc(len);
    if (row->answer == NULL) {
        return;
    }
    memcpy(row->answer, answer, len);
    row->len = (uint32_t)len;
    row->answer_dropped = false;
    row->answer_prev = once->answers.tail;
    row->answer_next = HANDLE_NONE;
    if (Handle_IsNone(once->answers.tail)) {
        once->answers.head = handle;
    }
    else {
        row_at(once, once->answers.tail)->answer_next = handle;
    }
    once->answers.tail = handle;
    once->counts.answer_bytes += len;
}

static Handle *
bucket_of(const Once *once, const uint64_t id[2])
{
    return &once->buckets[id[0] & once->bucket_mask];
}

static void
identify(const char *token, uint64_t id[2])
{
    XXH128_hash_t hash = XXH3_128bits(token, strlen(token));

    id[0] = hash.low64;
    id[1] = hash.high64;
}

static Handle
find(const Once *once, const char *token)
{
    uint64_t id[2];
    Handle at;

    identify(token, id);
    at = *bucket_of(once, id);
    while (!Handle_IsNone(at)) {
        const Row *row = row_at(once, at);
        if (row->id[0] == id[0] && row->id[1] == id[1]) {
            break;
        }
        at = row->bucket_next;
    }
    return at;
}

/* Returns HANDLE_NONE when memory is exhausted; the caller checks bounds. */
static Handle
add_row(Once *once, const char *token, RowList list)
{
    Handle handle = Table_Add(once->rows);
    Handle *bucket;
    Row *row;

    if (Handle_IsNone(handle)) {
        return handle;
    }
    row = row_at(once, handle);
    identify(token, row->id);
    bucket = bucket_of(once, row->id);
    row->bucket_next = *bucket;
    *bucket = handle;
    link_row(once, handle, list, once->now + ONCE_RETENTION_MS);
    if (list == LIST_HELD) {
        once->counts.held++;
    }
    else {
        once->counts.tokens++;
    }
    return handle;
}

static void
remove_row(Once *once, Handle handle)
{
    Row *row = row_at(once, handle);
    Handle *at = bucket_of(once, row->id);

    if (row->list == LIST_HELD) {
        once->counts.held--;
    }
    else {
        once->counts.tokens--;
    }
    drop_answer(once, row);
    unlink_row(once, row);
    while (!Handle_Equal(*at, handle)) {
        at = &row_at(once, *at)->bucket_next;
    }
    *at = row->bucket_next;
    Table_Remove(once->rows, handle);
}

static void
advance(Once *once, int64_t now)
{
    int list;

    if (now > once->now) {
        once->now = now;
    }
    for (list = 0; list < LIST_COUNT; list++) {
        Handle handle;
        while (!Handle_IsNone(handle = once->lists[list].head)) {
            Row *row = row_at(once, handle);
            if (row->drop_at > once->now) {
                break;
            }
            if (list == LIST_OWN && row->state != ROW_ISSUED &&
                row->state != ROW_CLOSED) {
                unlink_row(once, row);
                continue;
            }
            remove_row(once, handle);
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
    if (once->counts.tokens + count > once->options.max_tokens) {
        return ST_FULL;
    }
    memcpy(token.home, once->home, sizeof(token.home));
    token.incarnation = once->options.incarnation;
    token.issued = once->now;
    for (i = 0; i < count; i++) {
        token.number = once->next_number++;
        OnceToken_Format(&token, out[i]);
        if (Handle_IsNone(add_row(once, out[i], LIST_OWN))) {
            return ST_NO_MEMORY;
        }
    }
    return ST_OK;
}

static bool
is_bound_to(const Row *row, OnceBinding binding)
{
    return row->binding.caller == binding.caller &&
           row->binding.request == binding.request;
}

static void
fill_view(const Row *row, OnceView *view)
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
resent(const Once *once, const Row *row, const OnceToken *token,
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
    Row *row;
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
    row = row_at(once, find(once, token));
    if (row != NULL && row->state != ROW_ISSUED) {
        return resent(once, row, &parsed, binding, view);
    }
    if (!is_own(once, &parsed)) {
        view->ask_peers = true;
        return ONCE_UNKNOWN;
    }
    expired = parsed.issued <= once->now - ONCE_TTL_MS;
    if (row == NULL || expired) {
        return expired ? ONCE_EXPIRED : ONCE_BAD;
    }
    row->binding = binding;
    row->state = ROW_BEGUN;
    return ONCE_FRESH;
}

/* Returns the row of an own token whose request has begun, or NULL. */
static Row *
begun_row(Once *once, int64_t now, const char *token, Handle *handle)
{
    Row *row;

    advance(once, now);
    *handle = find(once, token);
    row = row_at(once, *handle);
    if (row == NULL || row->list == LIST_HELD || row->state == ROW_ISSUED) {
        return NULL;
    }
    return row;
}

Status
Once_IntentRecorded(Once *once, int64_t now, const char *token, bool recorded)
{
    Handle handle;
    Row *row = begun_row(once, now, token, &handle);

    if (row == NULL || row->state == ROW_CLOSED) {
        return ST_STALE;
    }
    if (recorded && row->state == ROW_BEGUN) {
        row->state = ROW_INTENT;
    }
    return ST_OK;
}

Status
Once_Dispatch(Once *once, int64_t now, const char *token, uint32_t *attempt)
{
    Handle handle;
    Row *row = begun_row(once, now, token, &handle);

    if (row == NULL || row->state == ROW_CLOSED) {
        return ST_STALE;
    }
    if (row->state == ROW_BEGUN) {
        return ST_AGAIN;
    }
    if (row->state == ROW_OUT) {
        return ST_EXISTS;
    }
    row->state = ROW_OUT;
    row->attempt_out = true;
    row->attempt++;
    *attempt = row->attempt;
    return ST_OK;
}

Status
Once_NotRun(Once *once, int64_t now, const char *token, uint32_t attempt)
{
    Handle handle;
    Row *row = begun_row(once, now, token, &handle);

    if (row == NULL || row->state != ROW_OUT || row->attempt != attempt) {
        return ST_STALE;
    }
    row->state = ROW_INTENT;
    row->attempt_out = false;
    return ST_OK;
}

/* Returns whether the outcome may be stored. */
static Status
check_finish(const Row *row, uint32_t attempt, OnceOutcome outcome)
{
    bool answered = row->attempt_out && row->attempt == attempt;

    if (row->state == ROW_CLOSED && (outcome != ONCE_OUTCOME_DONE ||
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
    Row *row = begun_row(once, now, token, &handle);
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
    row->state = ROW_CLOSED;
    row->outcome = (uint8_t)outcome;
    row->status = (uint16_t)status;
    if (outcome == ONCE_OUTCOME_DONE) {
        row->attempt_out = false;
        keep_answer(once, handle, answer, len);
    }
    if (row->list == LIST_NONE) {
        link_row(once, handle, LIST_LATE, once->now + ONCE_LATE_GRACE_MS);
    }
    return ST_OK;
}

Status
Once_EncodeRecord(Once *once, const char *token, Buf *out)
{
    const Row *row = row_at(once, find(once, token));
    OnceRecord record;

    if (row == NULL || row->state == ROW_ISSUED) {
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
    Handle handle = find(once, record->text);
    Row *row = row_at(once, handle);

    if (is_own(once, &record->token)) {
        return ST_INVALID;
    }
    if (row == NULL) {
        if (once->counts.held >= once->options.max_held) {
            return ST_FULL;
        }
        handle = add_row(once, record->text, LIST_HELD);
        row = row_at(once, handle);
        if (row == NULL) {
            return ST_NO_MEMORY;
        }
        row->binding = record->binding;
        row->state = ROW_OUT;
    }
    if (!is_bound_to(row, record->binding)) {
        return ST_INVALID;
    }
    if (record->kind == ONCE_RECORD_OUTCOME &&
        (row->state == ROW_OUT || row->outcome == ONCE_OUTCOME_UNKNOWN)) {
        row->state = ROW_CLOSED;
        row->outcome = (uint8_t)record->outcome;
        row->status = (uint16_t)record->status;
        row->answer_dropped = record->answer_dropped;
        keep_answer(once, handle, record->answer, record->len);
        unlink_row(once, row);
        link_row(once, handle, LIST_HELD, once->now + ONCE_RETENTION_MS);
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
    const Row *row;

    memset(view, 0, sizeof(*view));
    advance(once, now);
    if (!OnceToken_Parse(token, &parsed)) {
        return ST_INVALID;
    }
    row = row_at(once, find(once, token));
    if (row == NULL || row->list != LIST_HELD) {
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
    if (once->counts.held >= once->options.max_held &&
        !Handle_IsNone(once->lists[LIST_HELD].head)) {
        remove_row(once, once->lists[LIST_HELD].head);
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
    return once->counts;
}
