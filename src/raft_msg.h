/*
 * NAME
 *     raft_msg - members, log entries and messages of the replicated log
 *
 * DESCRIPTION
 *     Messages travel as msgpack arrays. Decoding is strict: a message with a
 *     wrong type, a missing or extra field, an entry out of order or a bound
 *     exceeded is refused as a whole. Decoded messages borrow the bytes that
 *     they were decoded from.
 */
#ifndef COLTSFOOT_RAFT_MSG_H
#define COLTSFOOT_RAFT_MSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "reader.h"
#include "status.h"

#define RAFT_NAME_BYTES 64
/* Voters and learners; every VM with a disk is one of them. */
#define RAFT_MAX_MEMBERS 64
/* Bounds one append message, see RaftOptions.max_batch_bytes. */
#define RAFT_MAX_BATCH 1024
#define RAFT_MAX_COMMAND_BYTES ((size_t)1024 * 1024)

typedef struct RaftMember {
    uint64_t identity; /* of the data folder; never 0 */
    char name[RAFT_NAME_BYTES];
    char data_centre[RAFT_NAME_BYTES];
    bool voter; /* otherwise a learner */
} RaftMember;

typedef struct RaftMembers {
    size_t count;
    RaftMember list[RAFT_MAX_MEMBERS];
} RaftMembers;

typedef enum RaftEntryKind {
    RAFT_NOOP = 0,    /* first entry of a leader's term */
    RAFT_COMMAND = 1, /* for the state machine */
    RAFT_MEMBERS = 2  /* a member list, in force when appended */
} RaftEntryKind;

typedef struct RaftEntry {
    uint64_t index;
    uint64_t term;
    RaftEntryKind kind;
    const char *data;
    size_t len;
} RaftEntry;

typedef enum RaftMsgType {
    RAFT_MSG_PREVOTE = 1,
    RAFT_MSG_PREVOTE_REPLY,
    RAFT_MSG_VOTE,
    RAFT_MSG_VOTE_REPLY,
    RAFT_MSG_APPEND,
    RAFT_MSG_APPEND_REPLY,
    RAFT_MSG_HEARTBEAT,
    RAFT_MSG_HEARTBEAT_REPLY,
    RAFT_MSG_SNAPSHOT,
    RAFT_MSG_SNAPSHOT_REPLY
} RaftMsgType;

typedef struct RaftMsg {
    RaftMsgType type;
    uint64_t cluster; /* 0 from a node that has not joined yet */
    uint64_t from;
    uint64_t to;
    uint64_t term;
    /* Votes: last log entry. Append: the entry before the first one. Append
     * reply: last matching entry. Snapshot: its last entry. */
    uint64_t index;
    uint64_t log_term;
    uint64_t commit;
    uint64_t context; /* heartbeat: read round; snapshot reply: next offset */
    bool reject;
    uint64_t hint_index; /* append reply: where to try next, */
    uint64_t hint_term;  /* and the term found there */
    /* Append only. */
    size_t entry_count;
    RaftEntry entries[RAFT_MAX_BATCH];
    /* Snapshot only: one chunk. */
    RaftMembers members;
    uint64_t total;
    uint64_t offset;
    uint64_t sum; /* XXH64 of the whole snapshot */
    const char *data;
    size_t len;
} RaftMsg;

/* Appends the message to out. */
void RaftMsg_Encode(const RaftMsg *msg, Buf *out);

/* Decodes exactly one message. ST_CORRUPT with a reason otherwise. */
Status RaftMsg_Decode(const char *bytes, size_t len, RaftMsg *msg,
                      ErrCtx *err);

/* The member list as msgpack, for log entries and snapshots. */
void RaftMembers_Encode(const RaftMembers *members, Buf *out);
Status RaftMembers_Decode(const char *bytes, size_t len, RaftMembers *members,
                          ErrCtx *err);

/* Returns the member with this identity, or NULL. */
const RaftMember *RaftMembers_Find(const RaftMembers *members,
                                   uint64_t identity);
size_t RaftMembers_Voters(const RaftMembers *members);

/* Adds or replaces a member; lists stay sorted by identity. Returns false when
 * the list is full. */
bool RaftMembers_Put(RaftMembers *members, const RaftMember *member);

/* Returns false when there is no such member. */
bool RaftMembers_Remove(RaftMembers *members, uint64_t identity);

/* One entry as msgpack [index, term, kind, data]. Reading borrows the bytes
 * and marks the reader as failed for a bad entry. */
void RaftEntry_Encode(const RaftEntry *entry, Buf *out);
void RaftEntry_Read(Reader *reader, RaftEntry *entry);

#endif
