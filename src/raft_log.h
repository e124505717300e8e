/*
 * NAME
 *     raft_log - the in-memory entries of a Raft log
 *
 * DESCRIPTION
 *     Holds the entries after base_index and owns their data.
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
    size_t bytes; /* total length of the entries' data */
} RaftLog;

void RaftLog_Free(RaftLog *log);

/* Empties the log and makes it start after base_index. */
void RaftLog_Reset(RaftLog *log, uint64_t base_index, uint64_t base_term);

/* Appends a copy of entry, whose index must be RaftLog_GetLastIndex() + 1. */
void RaftLog_Append(RaftLog *log, const RaftEntry *entry);

/* Removes the entries from index on. */
void RaftLog_Truncate(RaftLog *log, uint64_t index);

/* Removes the entries up to base, which must be in the log. */
void RaftLog_DropFront(RaftLog *log, uint64_t base);

uint64_t RaftLog_GetLastIndex(const RaftLog *log);

/* Returns the term of an entry or of the base, or 0 if unknown. */
uint64_t RaftLog_GetTerm(const RaftLog *log, uint64_t index);

/* Returns an entry, or NULL if it is not in the log. */
const RaftEntry *RaftLog_GetEntry(const RaftLog *log, uint64_t index);

#endif
