/*
 * NAME
 *     raft_log - the entries of a replicated log in memory
 *
 * DESCRIPTION
 *     Holds the entries after base_index and owns their bytes.
 */
#ifndef COLTSFOOT_RAFT_LOG_H
#define COLTSFOOT_RAFT_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "raft_msg.h"

typedef struct RaftLog {
    uint64_t base_index;
    uint64_t base_term;
    RaftEntry *entries;
    size_t count;
    size_t capacity;
    size_t bytes; /* of the entries' data */
} RaftLog;

void RaftLog_Free(RaftLog *log);

/* Empties the log, which then starts after this entry. */
void RaftLog_Reset(RaftLog *log, uint64_t base_index, uint64_t base_term);

/* Appends a copy; the index of entry must be RaftLog_Last + 1. */
void RaftLog_Append(RaftLog *log, const RaftEntry *entry);

/* Removes the entries from index on. */
void RaftLog_Truncate(RaftLog *log, uint64_t index);

/* Removes the entries up to base, which must be in the log. */
void RaftLog_DropFront(RaftLog *log, uint64_t base);

uint64_t RaftLog_Last(const RaftLog *log);

/* Returns the term of an entry or of the base, 0 when unknown. */
uint64_t RaftLog_Term(const RaftLog *log, uint64_t index);

/* Returns an entry, or NULL when it is not in the log. */
const RaftEntry *RaftLog_Entry(const RaftLog *log, uint64_t index);

#endif
