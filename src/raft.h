/*
 * NAME
 *     raft - the Raft consensus core, without I/O
 *
 * DESCRIPTION
 *     Implements Ongaro and Ousterhout, "In Search of an Understandable
 *     Consensus Algorithm" (2014) and Ongaro's thesis (2014): pre-vote (9.6),
 *     check quorum (6.2), read index (6.4), single-server membership changes
 *     (4.1, with the correction that a leader first commits an entry of its
 *     own term), learners (4.2.1), snapshots (5).
 *
 *     The caller passes in time and messages and processes each RaftReady in
 *     this order: it persists and syncs the hard state, truncation, snapshot
 *     and entries, calls Raft_MarkPersisted, sends the messages and applies
 *     the committed entries. Messages are encoded when they are queued, and
 *     one that implies durable state must not be sent before the sync.
 *
 *     Entries may also be synced asynchronously (10.2.1 of the thesis): the
 *     caller calls Raft_MarkWritten once the entries are written and
 *     Raft_MarkSynced once they are durable. Until then it may send only
 *     messages marked may_precede_sync.
 *
 *     Votes and acknowledgements count only from identities that are voters
 *     in the current member list. Not thread-safe.
 *
 *     Elections and the answers to vote requests are recorded as events
 *     (Raft_TakeEvent), which explain why a cluster has no leader.
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
    uint64_t seed; /* seed of the randomized election timeouts */
    int64_t now_ms;
    int64_t election_ms;
    int64_t heartbeat_ms;
    /* limit for the entries of an AppendEntries message */
    size_t max_batch_bytes;
    /* limit for unacknowledged AppendEntries messages per peer */
    size_t max_inflight_messages;
    size_t snapshot_chunk_bytes; /* limit for an InstallSnapshot message */
    /* limit for uncommitted entries; further proposals are rejected */
    uint64_t max_uncommitted_entries;
    /* State recovered from storage. */
    uint64_t term;
    uint64_t vote;
    uint64_t base_index; /* index of the entry before the log's first entry */
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
        .max_batch_bytes = 256 * 1024, .max_inflight_messages = 16,           \
        .snapshot_chunk_bytes = 64 * 1024, .max_uncommitted_entries = 8192    \
    }

typedef struct RaftOutMessage {
    uint64_t to;
    Buf bytes;
    /* true if the message depends on no unsynced state */
    bool may_precede_sync;
    bool sent; /* set and read only by the caller */
} RaftOutMessage;

typedef struct RaftRead {
    uint64_t cookie;
    uint64_t index;
    bool ok; /* false if leadership was lost before confirmation */
} RaftRead;

/* The pending work of the caller. Pointers stay valid until the next call
 * other than Raft_MarkPersisted. */
typedef struct RaftReady {
    bool hard_state_changed; /* term and vote must be persisted */
    uint64_t term;
    uint64_t vote;
    bool cluster_changed; /* the id of the joined cluster must be persisted */
    uint64_t cluster;
    /* the received snapshot must replace the log and the state of the state
     * machine */
    bool install_snapshot;
    uint64_t truncate_from; /* first entry to remove, or 0 for none */
    uint64_t append_from;   /* first entry to append, if <= last_index */
    uint64_t last_index;    /* last entry to append */
    RaftOutMessage *messages;
    size_t message_count;
    RaftRead *reads;
    size_t read_count;
    uint64_t commit_index;
} RaftReady;

/* Limit for events that were not taken; older ones are dropped. */
#define RAFT_MAX_EVENTS 32

typedef enum RaftEventKind {
    RAFT_EVENT_ELECTION_STARTED, /* this node has asked for votes */
    RAFT_EVENT_ELECTION_ENDED,
    RAFT_EVENT_VOTE_ANSWERED, /* a vote request was received */
    RAFT_EVENT_VOTE_IGNORED   /* a vote of a node that is not a voter */
} RaftEventKind;

typedef enum RaftVerdict {
    RAFT_VERDICT_GRANTED,
    RAFT_VERDICT_LOG_BEHIND,    /* the candidate's log is behind this one */
    RAFT_VERDICT_ALREADY_VOTED, /* for another candidate in this term */
    RAFT_VERDICT_KNOWS_LEADER,
    RAFT_VERDICT_STALE_TERM,
    RAFT_VERDICT_COUNT
} RaftVerdict;

typedef enum RaftElectionOutcome {
    RAFT_ELECTION_WON,
    RAFT_ELECTION_REFUSED, /* by a majority */
    RAFT_ELECTION_TIMED_OUT,
    RAFT_ELECTION_SUPERSEDED, /* by a newer term, a leader or new members */
    RAFT_ELECTION_OUTCOME_COUNT
} RaftElectionOutcome;

typedef enum RaftBallotState {
    RAFT_BALLOT_SILENT,
    RAFT_BALLOT_GRANTED,
    RAFT_BALLOT_REFUSED
} RaftBallotState;

typedef struct RaftBallot {
    uint64_t identity;
    RaftBallotState state;
} RaftBallot;

typedef struct RaftEvent {
    RaftEventKind kind;
    uint64_t dropped; /* number of events dropped before this one */
    bool prevote;
    uint64_t term; /* term of the election */
    /* Log of the candidate. */
    uint64_t candidate_index;
    uint64_t candidate_log_term;
    /* Elections of this node: its voters in force, itself included. */
    RaftElectionOutcome outcome;
    bool asked; /* the leader asked this node to take over */
    size_t quorum;
    size_t ballot_count;
    RaftBallot ballots[RAFT_MAX_MEMBERS];
    /* Vote requests: the candidate and what this node knew. Ignored votes: the
     * sender. */
    uint64_t peer;
    bool granted;
    RaftVerdict verdict; /* vote requests only */
    bool peer_is_voter;
    bool self_is_voter;
    uint64_t own_term;
    uint64_t own_index;
    uint64_t own_log_term;
    uint64_t vote;   /* candidate that has this node's vote, or 0 */
    uint64_t leader; /* leader known to this node, or 0 */
} RaftEvent;

typedef struct Raft Raft;

Status Raft_New(const RaftOptions *options, Raft **raft, ErrCtx *err);
void Raft_Free(Raft *raft);

/* Becomes a follower and fails pending reads, before shutdown. */
void Raft_StepDown(Raft *raft);

/* Asks the voter that was heard last, of those that hold the whole log, to
 * take over. Returns ST_NOT_LEADER, ST_AGAIN if no voter holds the whole log
 * yet, or ST_NOT_FOUND if there is no other voter. The message may be lost.
 * See Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 3.10.
 */
Status Raft_TransferLeadership(Raft *raft);

/* Advances the clock: starts elections as a follower or candidate; sends
 * heartbeats and checks the quorum as the leader. */
void Raft_Tick(Raft *raft, int64_t now_ms);

/* Processes a received message. Returns ST_STALE for another cluster or
 * another addressee. */
Status Raft_HandleMessage(Raft *raft, int64_t now_ms, const RaftMsg *msg);

/* Appends a command. Returns ST_NOT_LEADER, ST_INVALID for a bad length, or
 * ST_FULL when too many entries are uncommitted. */
Status Raft_Propose(Raft *raft, int64_t now_ms, const char *data, size_t len,
                    uint64_t *index, uint64_t *term);

/* Appends a member list that differs from the current one by at most one
 * voter. Returns ST_NOT_LEADER, ST_AGAIN while the last change is not
 * committed or the leader has not committed an entry of its term, or
 * ST_INVALID. */
Status Raft_ProposeMembers(Raft *raft, int64_t now_ms,
                           const RaftMembers *members);

/* Starts a read-index request. Returns ST_NOT_LEADER, ST_AGAIN before an
 * entry of the current term is committed, or ST_FULL. */
Status Raft_ReadIndex(Raft *raft, int64_t now_ms, uint64_t cookie);

/* Stores the pending work in *ready. Returns false when there is none. */
bool Raft_GetReady(Raft *raft, RaftReady *ready);

/* Records that everything in the last RaftReady is durable. */
void Raft_MarkPersisted(Raft *raft);

/* Records that the entries of the last RaftReady are written but not synced;
 * everything else in it must already be durable. */
void Raft_MarkWritten(Raft *raft);

/* Records that the written entries up to index are durable. */
void Raft_MarkSynced(Raft *raft, uint64_t index);

/* Drops the messages and reads of the last RaftReady. */
void Raft_DropOutput(Raft *raft);

/* Drops the first count messages of the last RaftReady. */
void Raft_DropMessages(Raft *raft, size_t count);

/* Drops the reads of the last RaftReady. */
void Raft_DropReads(Raft *raft);

/* Records that entries up to index are applied. */
void Raft_MarkApplied(Raft *raft, uint64_t index);

/* Replaces the snapshot by data, the state as of index, and drops entries
 * below keep_from. Takes ownership of the bytes and empties data. */
void Raft_Compact(Raft *raft, uint64_t index, uint64_t keep_from, Buf *data);

/* Returns an entry, or NULL if it is not in the log. */
const RaftEntry *Raft_GetEntry(const Raft *raft, uint64_t index);

/* Returns the term of the entry at index, or 0 if unknown. */
uint64_t Raft_GetTermAt(const Raft *raft, uint64_t index);

RaftRole Raft_GetRole(const Raft *raft);
uint64_t Raft_GetTerm(const Raft *raft);
uint64_t Raft_GetLeader(const Raft *raft);
uint64_t Raft_GetCluster(const Raft *raft);
uint64_t Raft_GetCommitIndex(const Raft *raft);
uint64_t Raft_GetFirstIndex(const Raft *raft);
uint64_t Raft_GetLastIndex(const Raft *raft);
const RaftMembers *Raft_GetMembers(const Raft *raft);

/* Stores the member list that is current at index. */
void Raft_GetMembersAt(const Raft *raft, uint64_t index, RaftMembers *members);

/* Returns whether a membership change may be proposed now. */
bool Raft_CanChangeMembers(const Raft *raft);

/* Returns the index of the last entry known to be durable at a member; 0 if
 * unknown or if this node is not the leader. */
uint64_t Raft_GetMatchIndex(const Raft *raft, uint64_t identity);

/* Returns the time since the leader last received a reply from a member; 0
 * for this node itself or if this node is not the leader. */
int64_t Raft_GetContactAgeMs(const Raft *raft, int64_t now_ms,
                             uint64_t identity);

/* Returns whether the leader received a reply from a member within
 * election_ms. Always true for this node itself. */
bool Raft_IsActive(const Raft *raft, int64_t now_ms, uint64_t identity);

/* Returns for how long the leader's oldest uncommitted entry has at least been
 * in its log; 0 if all are committed or this node is not the leader. Less than
 * its age by at most the time between two calls of Raft_Tick and the time that
 * the entries before it took. */
int64_t Raft_GetUncommittedAgeMs(const Raft *raft, int64_t now_ms);

/* Returns the highest commit index that the leader of the current term has
 * announced and that covers an entry of that term, or 0 if there is none. */
uint64_t Raft_GetConfirmedCommit(const Raft *raft);

/* Returns the bytes of the latest snapshot and stores their length, index and
 * term. */
const char *Raft_GetSnapshot(const Raft *raft, size_t *len, uint64_t *index,
                             uint64_t *term);
const RaftMembers *Raft_GetSnapshotMembers(const Raft *raft);

/* Takes the oldest event. Returns false if there is none. */
bool Raft_TakeEvent(Raft *raft, RaftEvent *event);

/* Returns the memory held by the log and the snapshots. */
size_t Raft_GetMemoryBytes(const Raft *raft);

#endif
