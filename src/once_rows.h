/*
 * NAME
 *     once_rows - table of token rows of the once module
 *
 * DESCRIPTION
 *     This module is private to once.c. It has a hash table of rows by token,
 *     lists of rows ordered by drop time, and a list of kept answers ordered
 *     by age. Each operation is O(1), except that storing an answer may drop
 *     several older ones. Adding a row may move all rows, so pointers to an
 *     OnceRow become invalid.
 */
#ifndef COLTSFOOT_ONCE_ROWS_H
#define COLTSFOOT_ONCE_ROWS_H

#include "once_record.h"
#include "table.h"

typedef enum OnceRowState {
    ONCE_ROW_ISSUED, /* the token is issued and unused */
    ONCE_ROW_BEGUN,  /* the request was received; the intent is unrecorded */
    ONCE_ROW_INTENT_RECORDED, /* no attempt is in flight */
    ONCE_ROW_IN_FLIGHT, /* an attempt is in flight, or an intent is held */
    ONCE_ROW_FINISHED   /* the outcome is stored */
} OnceRowState;

/* Identifies a list. The rows of a list are ordered by drop time. */
typedef enum OnceListId {
    ONCE_LIST_OWN,  /* own tokens within the retention time from issue */
    ONCE_LIST_LATE, /* own tokens whose outcome came after that time */
    ONCE_LIST_HELD, /* records of other homes and recovered records */
    ONCE_LIST_COUNT,
    ONCE_LIST_NONE /* own tokens past that time, still without an outcome */
} OnceListId;

typedef struct OnceRow {
    uint64_t token_hash[2]; /* XXH3, 128 bits */
    OnceBinding binding;
    int64_t drop_at_ms;
    Handle bucket_next;
    Handle prev;        /* row before this one in the list */
    Handle next;        /* row after this one in the list */
    Handle answer_prev; /* row with the next older answer */
    Handle answer_next; /* row with the next newer answer */
    char *answer;
    uint32_t answer_len;
    uint32_t attempt; /* number of the last attempt */
    uint16_t status;
    uint8_t state;   /* OnceRowState */
    uint8_t outcome; /* OnceOutcome */
    uint8_t list;    /* OnceListId */
    bool answer_dropped;
    bool attempt_unanswered; /* true until the target answers or states "not
                              * run"; stays true after "unknown", since a late
                              * answer replaces it */
} OnceRow;

typedef struct OnceListEnds {
    Handle head;
    Handle tail;
} OnceListEnds;

typedef struct OnceRows {
    Table *table;
    Handle *buckets;
    size_t bucket_mask;
    OnceListEnds lists[ONCE_LIST_COUNT];
    OnceListEnds answers;
    OnceCounts counts;
    size_t max_answer_bytes;
    size_t max_total_answer_bytes; /* the oldest answers are dropped first */
} OnceRows;

/* Returns false if memory is exhausted. */
bool OnceRows_Init(OnceRows *rows, uint32_t max_rows, size_t max_answer_bytes,
                   size_t max_total_answer_bytes);
void OnceRows_Destroy(OnceRows *rows);

/* Returns the row, or NULL for HANDLE_NONE. */
OnceRow *OnceRows_Get(const OnceRows *rows, Handle handle);

/* Returns HANDLE_NONE for an unknown token. */
Handle OnceRows_Find(const OnceRows *rows, const char *token);

/* Returns HANDLE_NONE if the table is full or memory is exhausted. */
Handle OnceRows_Add(OnceRows *rows, const char *token, OnceListId list,
                    int64_t drop_at_ms);
void OnceRows_Remove(OnceRows *rows, Handle handle);

/* Appends a row that is on no list to a list. */
void OnceRows_Link(OnceRows *rows, Handle handle, OnceListId list,
                   int64_t drop_at_ms);

/* Removes a row from its list, if it is on one. */
void OnceRows_Unlink(OnceRows *rows, OnceRow *row);

/* Stores a copy of the answer, and drops the oldest answers if the total is
 * too large. Sets answer_dropped if the answer cannot be kept. */
void OnceRows_KeepAnswer(OnceRows *rows, Handle handle, const char *answer,
                         size_t len);

#endif
