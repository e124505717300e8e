/*
 * NAME
 *     raft - the core of the replicated log, without input or output
 *
 * DESCRIPTION
 *     Follows Ongaro and Ousterhout, "In Search of an Understandable Consensus
 *     Algorithm" (2014) and Ongaro's thesis (2014): pre-vote (9.6), check
 *     quorum (6.2), read index (6.4), single-server member changes (4.1, with
 *     the correction that a leader first commits an entry of its own term),
 *     learners (4.2.1), snapshots (5).
 *
 *     The caller feeds time and messages in and takes a RaftReady out: first
 *     persist and sync its hard state, truncation, snapshot and entries, then
 *     call Raft_Persisted, then send the messages, then apply what is
 *     committed. Messages are queued encoded, so nothing that promises
 *     durability can leave before the sync.
 *
 *     Entries may also be synced while the caller goes on (10.2.1 of the
 *     thesis): Raft_Written once they were handed to the disk, Raft_Synced
 *     when they are durable. Until then only early messages may be sent.
 *
 *     Votes and acknowledgements count only from identities that are voters
 *     in the member list in force. Not thread-safe.
 */
#ifndef COLTSFOOT_RAFT_H
#define COLTSFOOT_RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "raft_msg.h"
#include "status.h"

typedef enum RaftRole {
    RAFT_FOLLOWER,
    RAFT_PRECANDIDATE,
    RAFT_CANDIDATE,
    RAFT_LEADER
} RaftRole;

typedef struct RaftOptions {
    uint64_t identity;
    uint64_t cluster;
    uint64_t seed; /* for election timeouts */
    int64_t now_ms;
    int64_t election_ms;
    int64_t heartbeat_ms;
    size_t max_batch_bytes;   /* entries of one append message */
    size_t max_inflight;      /* append messages without an answer, per peer */
    size_t chunk_bytes;       /* of a snapshot in one message */
    uint64_t max_uncommitted; /* proposals refused beyond this many */
    /* Recovered state. */
    uint64_t term;
    uint64_t vote;
    uint64_t base_index; /* of the entry before the first one in the log */
    uint64_t base_term;
    const RaftEntry *entries;
    size_t entry_count;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    const RaftMembers *snapshot_members; /* may be NULL */
    const char *snapshot;
    size_t snapshot_len;
} RaftOptions;

#define RAFT_OPTIONS_DEFAULT                                                  \
    {                                                                         \
        .election_ms = 1500, .heartbeat_ms = 300,                             \
        .max_batch_bytes = 256 * 1024, .max_inflight = 16,                    \
        .chunk_bytes = 64 * 1024, .max_uncommitted = 8192                     \
    }

typedef struct RaftOut {
    uint64_t to;
    Buf bytes;
    bool early; /* promises nothing: may be sent before the sync */
    bool sent;  /* for the caller's use */
} RaftOut;

typedef struct RaftRead {
    uint64_t cookie;
    uint64_t index;
    bool ok; /* false: leadership was lost before the answer */
} RaftRead;

/* What to do next. Pointers stay valid until the next call other than
 * Raft_Persisted. */
typedef struct RaftReady {
    bool vote_changed; /* persist term and vote */
    uint64_t term;
    uint64_t vote;
    bool cluster_changed; /* persist the cluster id that was joined */
    uint64_t cluster;
    bool install; /* replace log and machine by the received snapshot */
    uint64_t truncate_from; /* remove entries from here on; 0 for none */
    uint64_t append_from;   /* entries to append, up to last_index; */
    uint64_t last_index;    /* nothing when append_from > last_index */
    RaftOut *messages;
    size_t message_count;
    RaftRead *reads;
    size_t read_count;
    uint64_t commit_index;
} RaftReady;

typedef struct Raft Raft;

Status Raft_New(const RaftOptions *options, Raft **raft, ErrCtx *err);
void Raft_Free(Raft *raft);

/* Gives up leadership and answers waiting reads, before the end. */
void Raft_Stop(Raft *raft);

/* Elections, heartbeats, check quorum. */
void Raft_Tick(Raft *raft, int64_t now_ms);

/* Takes a message addressed to this identity. ST_STALE for a foreign cluster
 * or address. */
Status Raft_Step(Raft *raft, int64_t now_ms, const RaftMsg *msg);

/* Appends a command. ST_NOT_LEADER, ST_FULL. */
Status Raft_Propose(Raft *raft, int64_t now_ms, const char *data, size_t len,
                    uint64_t *index, uint64_t *term);

/* Appends a member list that differs from the one in force by at most one
 * voter. ST_NOT_LEADER; ST_AGAIN while the last change is not committed or
 * the leader has not committed in its term; ST_INVALID. */
Status Raft_ProposeMembers(Raft *raft, int64_t now_ms,
                           const RaftMembers *members);

/* Starts a read round. ST_NOT_LEADER, ST_AGAIN (no entry of the own term
 * committed yet), ST_FULL. */
Status Raft_ReadIndex(Raft *raft, int64_t now_ms, uint64_t cookie);

/* Fills ready. Returns false when there is nothing to do. */
bool Raft_Ready(Raft *raft, RaftReady *ready);

/* Tells that everything in the last ready is durable. */
void Raft_Persisted(Raft *raft);

/* Tells that the entries of the last ready were handed to the disk; all else
 * in it was already durable. */
void Raft_Written(Raft *raft);

/* Tells that what Raft_Written reported up to index is durable. */
void Raft_Synced(Raft *raft, uint64_t index);

/* Drops the messages and reads of the last ready. */
void Raft_Sent(Raft *raft);

/* Drops the first messages of the last ready, or its reads. */
void Raft_SentFirst(Raft *raft, size_t count);
void Raft_Answered(Raft *raft);

/* Tells that entries up to index were applied. */
void Raft_Applied(Raft *raft, uint64_t index);

/* Replaces the snapshot by one of the applied state and drops entries below
 * keep_from. Takes the content of data. */
void Raft_Compact(Raft *raft, uint64_t index, uint64_t keep_from, Buf *data);

/* Returns an entry, or NULL when the log does not hold it. */
const RaftEntry *Raft_Entry(const Raft *raft, uint64_t index);

/* Returns the term of an index, 0 when unknown. */
uint64_t Raft_TermAt(const Raft *raft, uint64_t index);

RaftRole Raft_Role(const Raft *raft);
uint64_t Raft_Term(const Raft *raft);
uint64_t Raft_Leader(const Raft *raft);
uint64_t Raft_Cluster(const Raft *raft);
uint64_t Raft_CommitIndex(const Raft *raft);
uint64_t Raft_FirstIndex(const Raft *raft);
uint64_t Raft_LastIndex(const Raft *raft);
const RaftMembers *Raft_MembersNow(const Raft *raft);

/* Stores the member list in force at index. */
void Raft_MembersAt(const Raft *raft, uint64_t index, RaftMembers *members);

/* Returns whether a member change may be proposed now. */
bool Raft_CanChange(const Raft *raft);

/* Returns the last entry known to be synced at a member, or 0. */
uint64_t Raft_Match(const Raft *raft, uint64_t identity);

/* Returns for how long the leader has not heard from a member; 0 for itself
 * and on other nodes. */
int64_t Raft_SilentMs(const Raft *raft, int64_t now_ms, uint64_t identity);

/* Returns whether the leader heard from a member within election_ms. */
bool Raft_Active(const Raft *raft, int64_t now_ms, uint64_t identity);

/* Returns the highest commit index that a leader of the current term has
 * announced and that covers an entry of that term; 0 when none yet. */
uint64_t Raft_ConfirmedCommit(const Raft *raft);

/* Returns the last snapshot. */
const char *Raft_Snapshot(const Raft *raft, size_t *len, uint64_t *index,
                          uint64_t *term);
const RaftMembers *Raft_SnapshotMembers(const Raft *raft);

size_t Raft_Bytes(const Raft *raft);

#endif
