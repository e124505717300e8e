/*
 * NAME
 *     once_rows - the rows of the at-most-once core
 *
 * DESCRIPTION
 *     Used by once.c: rows found by their token, lists of rows ordered by
 *     drop time, and kept answers ordered by age. Each operation is O(1), but
 *     for an answer that has to make room for itself, which drops older ones.
 *     OnceRow addresses change when a row is added.
 */
#ifndef COLTSFOOT_ONCE_ROWS_H
#define COLTSFOOT_ONCE_ROWS_H

#include "once_record.h"
#include "table.h"

typedef enum OnceRowState {
    ONCE_ROW_ISSUED, /* the token was given out */
    ONCE_ROW_BEGUN,  /* the request arrived; no intent is recorded */
    ONCE_ROW_INTENT, /* the intent is recorded; no attempt is out */
    ONCE_ROW_OUT,    /* an attempt is at a target */
    ONCE_ROW_CLOSED  /* there is an outcome */
} OnceRowState;

/* Rows of one list were added in the order of their drop time. */
typedef enum OnceRowList {
    ONCE_LIST_OWN,  /* own tokens, dropped a retention time after issue */
    ONCE_LIST_LATE, /* outcomes that came after that time */
    ONCE_LIST_HELD, /* records of other homes, and recovered ones */
    ONCE_LIST_COUNT,
    ONCE_LIST_NONE /* own tokens that still run after that time */
} OnceRowList;

typedef struct OnceRow {
    uint64_t id[2]; /* XXH3 of the token */
    OnceBinding binding;
    int64_t drop_at;
    Handle bucket_next;
    Handle prev; /* of its OnceRowList */
    Handle next;
    Handle answer_prev; /* of the rows with an answer */
    Handle answer_next;
    char *answer;
    uint32_t len;
    uint32_t attempt; /* the last one */
    uint16_t status;
    uint8_t state;   /* OnceRowState */
    uint8_t outcome; /* OnceOutcome */
    uint8_t list;    /* OnceRowList */
    bool answer_dropped;
    bool attempt_out; /* also after "unknown": its answer is still welcome */
} OnceRow;

typedef struct OnceEnds {
    Handle head;
    Handle tail;
} OnceEnds;

typedef struct OnceRows {
    Table *table;
    Handle *buckets;
    size_t bucket_mask;
    OnceEnds lists[ONCE_LIST_COUNT];
    OnceEnds answers;
    OnceCounts counts;
    size_t max_answer_bytes;
    size_t max_answers_bytes;
} OnceRows;

/* Returns false when memory is exhausted. */
bool OnceRows_Init(OnceRows *rows, uint32_t max_rows, size_t max_answer_bytes,
                   size_t max_answers_bytes);
void OnceRows_Destroy(OnceRows *rows);

/* Returns the row, or NULL for HANDLE_NONE. */
OnceRow *OnceRows_At(const OnceRows *rows, Handle handle);

/* Returns HANDLE_NONE for an unknown token. */
Handle OnceRows_Find(const OnceRows *rows, const char *token);

/* Returns HANDLE_NONE when there is no room. */
Handle OnceRows_Add(OnceRows *rows, const char *token, OnceRowList list,
                    int64_t drop_at);
void OnceRows_Remove(OnceRows *rows, Handle handle);

/* Puts a row that is on no list at the end of one, and takes it off. */
void OnceRows_Link(OnceRows *rows, Handle handle, OnceRowList list,
                   int64_t drop_at);
void OnceRows_Unlink(OnceRows *rows, OnceRow *row);

/* Keeps a copy of the answer, for which the oldest ones make room. Without
 * room the row is marked answer_dropped. */
void OnceRows_KeepAnswer(OnceRows *rows, Handle handle, const char *answer,
                         size_t len);

#endif
