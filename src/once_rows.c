#include "once_rows.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

bool
OnceRows_Init(OnceRows *rows, uint32_t max_rows, size_t max_answer_bytes,
              size_t max_total_answer_bytes)
{
    size_t buckets = 16;

    while (buckets < max_rows) {
        buckets *= 2;
    }
    memset(rows, 0, sizeof(*rows));
    rows->table = Table_New(sizeof(OnceRow), max_rows);
    rows->buckets = calloc(buckets, sizeof(*rows->buckets));
    rows->bucket_mask = buckets - 1;
    rows->max_answer_bytes = max_answer_bytes;
    rows->max_total_answer_bytes = max_total_answer_bytes;
    return rows->table != NULL && rows->buckets != NULL;
}

void
OnceRows_Destroy(OnceRows *rows)
{
    uint32_t cursor = 0;
    Handle handle;

    if (rows->table != NULL) {
        while (!Handle_IsNone(handle = Table_Next(rows->table, &cursor))) {
            free(OnceRows_Get(rows, handle)->answer);
        }
    }
    Table_Free(rows->table);
    free(rows->buckets);
}

OnceRow *
OnceRows_Get(const OnceRows *rows, Handle handle)
{
    return Table_Get(rows->table, handle);
}

void
OnceRows_Link(OnceRows *rows, Handle handle, OnceListId list,
              int64_t drop_at_ms)
{
    OnceListEnds *ends = &rows->lists[list];
    OnceRow *row = OnceRows_Get(rows, handle);

    row->list = (uint8_t)list;
    row->drop_at_ms = drop_at_ms;
    row->prev = ends->tail;
    row->next = HANDLE_NONE;
    if (Handle_IsNone(ends->tail)) {
        ends->head = handle;
    }
    else {
        OnceRows_Get(rows, ends->tail)->next = handle;
    }
    ends->tail = handle;
}

void
OnceRows_Unlink(OnceRows *rows, OnceRow *row)
{
    OnceListEnds *ends;

    if (row->list == ONCE_LIST_NONE) {
        return;
    }
    ends = &rows->lists[row->list];
    if (Handle_IsNone(row->prev)) {
        ends->head = row->next;
    }
    else {
        OnceRows_Get(rows, row->prev)->next = row->next;
    }
    if (Handle_IsNone(row->next)) {
        ends->tail = row->prev;
    }
    else {
        OnceRows_Get(rows, row->next)->prev = row->prev;
    }
    row->list = ONCE_LIST_NONE;
}

static void
drop_answer(OnceRows *rows, OnceRow *row)
{
    if (row->answer == NULL) {
        return;
    }
    if (Handle_IsNone(row->answer_prev)) {
        rows->answers.head = row->answer_next;
    }
    else {
        OnceRows_Get(rows, row->answer_prev)->answer_next = row->answer_next;
    }
    if (Handle_IsNone(row->answer_next)) {
        rows->answers.tail = row->answer_prev;
    }
    else {
        OnceRows_Get(rows, row->answer_next)->answer_prev = row->answer_prev;
    }
    free(row->answer);
    rows->counts.answer_bytes -= row->answer_len;
    row->answer = NULL;
    row->answer_len = 0;
    row->answer_dropped = true;
}

void
OnceRows_KeepAnswer(OnceRows *rows, Handle handle, const char *answer,
                    size_t len)
{
    OnceRow *row = OnceRows_Get(rows, handle);

    if (len == 0) {
        return;
    }
    row->answer_dropped = true;
    if (len > rows->max_answer_bytes || len > rows->max_total_answer_bytes) {
        return;
    }
    while (rows->counts.answer_bytes + len > rows->max_total_answer_bytes) {
        drop_answer(rows, OnceRows_Get(rows, rows->answers.head));
    }
    row->answer = malloc(len);
    if (row->answer == NULL) {
        return;
    }
    memcpy(row->answer, answer, len);
    row->answer_len = (uint32_t)len;
    row->answer_dropped = false;
    row->answer_prev = rows->answers.tail;
    row->answer_next = HANDLE_NONE;
    if (Handle_IsNone(rows->answers.tail)) {
        rows->answers.head = handle;
    }
    else {
        OnceRows_Get(rows, rows->answers.tail)->answer_next = handle;
    }
    rows->answers.tail = handle;
    rows->counts.answer_bytes += len;
}

static Handle *
get_bucket(const OnceRows *rows, const uint64_t token_hash[2])
{
    return &rows->buckets[token_hash[0] & rows->bucket_mask];
}

static void
hash_token(const char *token, uint64_t token_hash[2])
{
    XXH128_hash_t hash = XXH3_128bits(token, strlen(token));

    token_hash[0] = hash.low64;
    token_hash[1] = hash.high64;
}

Handle
OnceRows_Find(const OnceRows *rows, const char *token)
{
    uint64_t token_hash[2];
    Handle at;

    hash_token(token, token_hash);
    at = *get_bucket(rows, token_hash);
    while (!Handle_IsNone(at)) {
        const OnceRow *row = OnceRows_Get(rows, at);
        if (row->token_hash[0] == token_hash[0] &&
            row->token_hash[1] == token_hash[1]) {
            break;
        }
        at = row->bucket_next;
    }
    return at;
}

/* The caller checks the limits of the lists. */
Handle
OnceRows_Add(OnceRows *rows, const char *token, OnceListId list,
             int64_t drop_at_ms)
{
    Handle handle = Table_Add(rows->table);
    Handle *bucket;
    OnceRow *row;

    if (Handle_IsNone(handle)) {
        return handle;
    }
    row = OnceRows_Get(rows, handle);
    hash_token(token, row->token_hash);
    bucket = get_bucket(rows, row->token_hash);
    row->bucket_next = *bucket;
    *bucket = handle;
    OnceRows_Link(rows, handle, list, drop_at_ms);
    if (list == ONCE_LIST_HELD) {
        rows->counts.held++;
    }
    else {
        rows->counts.tokens++;
    }
    return handle;
}

void
OnceRows_Remove(OnceRows *rows, Handle handle)
{
    OnceRow *row = OnceRows_Get(rows, handle);
    Handle *at = get_bucket(rows, row->token_hash);

    if (row->list == ONCE_LIST_HELD) {
        rows->counts.held--;
    }
    else {
        rows->counts.tokens--;
    }
    drop_answer(rows, row);
    OnceRows_Unlink(rows, row);
    while (!Handle_Equal(*at, handle)) {
        at = &OnceRows_Get(rows, *at)->bucket_next;
    }
    *at = row->bucket_next;
    Table_Remove(rows->table, handle);
}
