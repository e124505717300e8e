/*
 * NAME
 *     raft_msg - members, log entries and messages of Raft
 *
 * DESCRIPTION
 *     Messages are encoded as msgpack arrays. Decoding is strict: a message
 *     with a wrong type, a missing or extra field, an entry out of order or a
 *     value over its limit is rejected as a whole. Decoded messages point into
 *     the bytes that they were decoded from.
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
/* Limit for voters and learners; every VM with a disk is one of them. */
#define RAFT_MAX_MEMBERS 64
/* Limit for an AppendEntries message, besides RaftOptions.max_batch_bytes. */
#define RAFT_MAX_BATCH_ENTRIES 1024
#define RAFT_MAX_COMMAND_BYTES ((size_t)1024 * 1024)

typedef struct RaftMember {
    uint64_t identity; /* identity of the data folder; never 0 */
    char name[RAFT_NAME_BYTES];
    char data_centre[RAFT_NAME_BYTES];
    bool voter; /* false for a learner */
} RaftMember;

typedef struct RaftMembers {
    size_t count;
    RaftMember list[RAFT_MAX_MEMBERS];
} RaftMembers;

typedef enum RaftEntryKind {
    RAFT_ENTRY_NOOP = 0,    /* first entry of a leader's term */
    RAFT_ENTRY_COMMAND = 1, /* command for the state machine */
    RAFT_ENTRY_MEMBERS = 2  /* member list, current once appended */
} RaftEntryKind;

typedef struct RaftEntry {
    uint64_t index;
    uint64_t term;
    RaftEntryKind kind;
    const char *data;
    size_t len;
} RaftEntry;

typedef enum RaftMsgType {
    RAFT_MSG_REQUEST_PREVOTE = 1,
    RAFT_MSG_PREVOTE_REPLY,
    RAFT_MSG_REQUEST_VOTE,
    RAFT_MSG_VOTE_REPLY,
    RAFT_MSG_APPEND_ENTRIES,
    RAFT_MSG_APPEND_REPLY,
    RAFT_MSG_HEARTBEAT,
    RAFT_MSG_HEARTBEAT_REPLY,
    RAFT_MSG_INSTALL_SNAPSHOT,
    RAFT_MSG_SNAPSHOT_REPLY,
    RAFT_MSG_TIMEOUT_NOW /* the leader asks a voter to become its successor */
} RaftMsgType;

typedef struct RaftMsg {
    RaftMsgType type;
    uint64_t cluster; /* 0 if the sender has not joined a cluster */
    uint64_t from;
    uint64_t to;
    uint64_t term;
    /* RequestVote and pre-vote: the candidate's last entry. AppendEntries: the
     * entry before the first one sent. AppendEntries reply: the last matching
     * entry, or the rejected index. InstallSnapshot and its reply: the
     * snapshot's last entry. Heartbeat: the leader's first entry of its term.
     * Heartbeat reply: the last entry that matches the leader's log. */
    uint64_t index;
    uint64_t log_term; /* term of the entry at index */
    uint64_t commit_index;
    /* Heartbeat and its reply: the read round. InstallSnapshot reply: the
     * offset of the next chunk. RequestVote: 1 if the leader asked for the
     * election. */
    uint64_t context;
    bool reject;
    uint64_t hint_index; /* AppendEntries rejection: last possible match */
    uint64_t hint_term;  /* AppendEntries rejection: term at hint_index */
    /* AppendEntries only. */
    size_t entry_count;
    RaftEntry entries[RAFT_MAX_BATCH_ENTRIES];
    /* InstallSnapshot only: one chunk. */
    RaftMembers members;
    uint64_t total; /* length of the whole snapshot */
    uint64_t offset;
    uint64_t checksum; /* XXH64 of the whole snapshot */
    const char *data;
    size_t len;
} RaftMsg;

/* Appends the message to out. */
void RaftMsg_Encode(const RaftMsg *msg, Buf *out);

/* Decodes exactly one message. Returns ST_CORRUPT and sets err if the bytes
 * are not one. */
Status RaftMsg_Decode(const char *bytes, size_t len, RaftMsg *msg,
                      ErrCtx *err);

/* Encode and decode a member list of a log entry or snapshot as msgpack. */
void RaftMembers_Encode(const RaftMembers *members, Buf *out);
Status RaftMembers_Decode(const char *bytes, size_t len, RaftMembers *members,
                          ErrCtx *err);

/* Returns the member with this identity, or NULL if there is none. */
const RaftMember *RaftMembers_Find(const RaftMembers *members,
                                   uint64_t identity);
size_t RaftMembers_CountVoters(const RaftMembers *members);

/* Adds or replaces a member and keeps the list sorted by identity. Returns
 * false if the list is full. */
bool RaftMembers_Put(RaftMembers *members, const RaftMember *member);

/* Removes a member. Returns false if there is none with this identity. */
bool RaftMembers_Remove(RaftMembers *members, uint64_t identity);

/* Encodes an entry as msgpack [index, term, kind, data]. */
void RaftEntry_Encode(const RaftEntry *entry, Buf *out);

/* Reads an encoded entry, whose data then points into the reader's bytes.
 * Marks the reader as failed for a malformed entry. */
void RaftEntry_Read(Reader *reader, RaftEntry *entry);

#endif
