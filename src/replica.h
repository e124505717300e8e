/*
 * NAME
 *     replica - one member of the replicated log with its state machine
 *
 * DESCRIPTION
 *     Combines raft, wal and a state machine. Most functions only queue work;
 *     Replica_Flush, which Replica_Tick also calls, persists the queued work
 *     with a single sync, then sends messages, then applies committed
 *     entries. With a sync callback, the log is synced asynchronously: the
 *     leader sends its messages without waiting for the sync, and an entry
 *     that a majority holds is applied even before it is durable on this
 *     node.
 *
 *     Call Replica_Flush once per event loop iteration. Callbacks run inside
 *     Replica_Flush and Replica_Close; they may call Replica_Propose and
 *     Replica_ReadIndex, but must not call Replica_Flush or Replica_Close.
 *
 *     A node with a new, empty folder waits until the leader adds it as a
 *     learner, which happens after Replica_RecordNode on the leader. The
 *     leader promotes learners that have caught up until the wanted number of
 *     voters is reached, prefers data centres with fewer voters, and replaces
 *     the old identity of a node that has returned with a new one.
 *
 *     A failed sync or a full disk stops the replica for good: it sends,
 *     acknowledges and applies nothing more (Replica_GetFailure).
 *
 *     Times are in milliseconds of a monotonic clock. Not thread-safe.
 */
#ifndef COLTSFOOT_REPLICA_H
#define COLTSFOOT_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "raft.h"
#include "raft_msg.h"
#include "status.h"
#include "storage.h"

/* The state machine. apply must be deterministic and append its reply to
 * result; it cannot fail, so a refusal is a reply too. snapshot appends the
 * whole state. restore replaces the state and returns ST_CORRUPT for bytes
 * that snapshot did not write. */
typedef struct ReplicaMachineOps {
    void (*apply)(void *machine, uint64_t index, const char *command,
                  size_t len, Buf *result);
    void (*snapshot)(const void *machine, Buf *out);
    Status (*restore)(void *machine, const char *bytes, size_t len);
} ReplicaMachineOps;

typedef struct ReplicaOptions {
    const char *name;        /* name of this node */
    const char *data_centre; /* data centre of this node */
    /* Start a new cluster; Replica_Open returns ST_EXISTS if the folder
     * already has an identity. */
    bool init;
    /* Seed of the election timeouts and, in a new folder, of the identity and
     * the cluster id. */
    uint64_t seed;
    int64_t now_ms;
    int64_t election_ms;       /* shortest election timeout */
    int64_t heartbeat_ms;      /* at most half of election_ms */
    uint64_t snapshot_entries; /* entries applied between two snapshots, at
                                * most */
    size_t snapshot_bytes;     /* bytes of commands between them, at most */
    size_t voters;             /* wanted number of voters */
    size_t max_pending;        /* limit on proposals in progress */
    const ReplicaMachineOps *machine_ops;
    void *machine;
    void *arg; /* argument of the callbacks below */
    /* Sends one message to the node with this identity. The message may be
     * lost. */
    void (*send)(void *arg, uint64_t to_identity, const char *bytes,
                 size_t len);
    /* Called after each applied command, on every node, in index order. */
    void (*applied)(void *arg, uint64_t index, const char *command, size_t len,
                    const Buf *result);
    /* Called exactly once for each Replica_Propose that returned ST_OK. The
     * status is ST_OK if the command was applied, ST_NOT_LEADER if it was not
     * and never will be, and ST_AGAIN if its outcome is unknown. result is
     * NULL unless the status is ST_OK. */
    void (*proposed)(void *arg, uint64_t cookie, Status status, uint64_t index,
                     const Buf *result);
    /* Starts a sync of WAL_LOG in the storage, whose result is passed to
     * Replica_FinishSync. The log is not written to before that call. NULL to
     * sync inside Replica_Flush. */
    void (*sync)(void *arg);
    /* Called exactly once for each Replica_ReadIndex that returned ST_OK. The
     * status is ST_OK if the machine now holds everything committed before
     * that call, otherwise ST_AGAIN. */
    void (*read_ready)(void *arg, uint64_t cookie, Status status,
                       uint64_t index);
    /* Called after a received snapshot has replaced the state of the machine.
     * May be NULL. */
    void (*restored)(void *arg, uint64_t index);
    /* Called after the role, the term or the known leader has changed, and
     * before read_ready of the reads that fail with it. May be NULL. */
    void (*role_changed)(void *arg, RaftRole role, uint64_t term,
                         uint64_t leader);
    /* Called for each election of this node and each answer to a vote request,
     * before role_changed. May be NULL. */
    void (*election_event)(void *arg, const RaftEvent *event);
} ReplicaOptions;

#define REPLICA_OPTIONS_DEFAULT                                               \
    {                                                                         \
        .election_ms = 1500, .heartbeat_ms = 300, .snapshot_entries = 8192,   \
        .snapshot_bytes = 16 * 1024 * 1024, .voters = 3, .max_pending = 4096  \
    }

typedef struct Replica Replica;

/* Recovers from the storage, or creates the files of a new folder. Restores
 * the machine from the snapshot; later entries are applied once a leader
 * reports them as committed. The caller keeps ownership of the storage. The
 * message of ST_CORRUPT names the file and the offset. */
Status Replica_Open(const ReplicaOptions *options, Storage *storage,
                    Replica **replica, ErrCtx *err);

/* Starts a new cluster with this node, which waits to be added to one; storage
 * is that of Replica_Open. Returns ST_EXISTS if the node is in a cluster or is
 * about to join one. Another error stops the replica, and after the next
 * start the folder is new or that of the new cluster. */
Status Replica_Found(Replica *replica, Storage *storage, int64_t now_ms,
                     ErrCtx *err);

/* Completes all pending proposals and reads with ST_AGAIN and frees the
 * replica. */
void Replica_Close(Replica *replica);

/* Reports the result of the sync that the sync callback started; err holds
 * the cause of a failure. Call Replica_Flush afterwards. */
void Replica_FinishSync(Replica *replica, Status status, const ErrCtx *err);

/* Advances the timers, then flushes. Call at least every heartbeat_ms / 2. */
Status Replica_Tick(Replica *replica, int64_t now_ms);

/* Handles a message received from the peer with from_identity. Returns
 * ST_CORRUPT if the message is malformed, and ST_STALE if it is addressed to
 * another identity or cluster or names another sender. */
Status Replica_HandleMessage(Replica *replica, int64_t now_ms,
                             uint64_t from_identity, const char *bytes,
                             size_t len);

/* Proposes a command of 1 to RAFT_MAX_COMMAND_BYTES bytes. With a status
 * other than ST_OK the command was not accepted and no callback follows:
 * ST_NOT_LEADER, ST_FULL (max_pending), ST_INVALID (length), or the error
 * that stopped the replica. */
Status Replica_Propose(Replica *replica, int64_t now_ms, const char *command,
                       size_t len, uint64_t cookie);

/* Requests a linearizable read. Returns ST_NOT_LEADER, ST_FULL, or ST_AGAIN
 * until the leader has committed an entry of its own term. */
Status Replica_ReadIndex(Replica *replica, int64_t now_ms, uint64_t cookie);

/* Asks an up-to-date voter to take over, for a planned stop of the leader. As
 * Raft_TransferLeadership. */
Status Replica_TransferLeadership(Replica *replica);

/* Proposes to add a learner. Returns ST_NOT_LEADER, ST_EXISTS, ST_INVALID for
 * an incomplete member, ST_FULL, or ST_AGAIN while another change is in
 * progress. */
Status Replica_AddLearner(Replica *replica, int64_t now_ms,
                          const RaftMember *member);

/* Proposes to remove a member, for an operator. Returns ST_NOT_LEADER,
 * ST_NOT_FOUND, ST_INVALID for the last voter, or ST_AGAIN while another
 * change is in progress. */
Status Replica_RemoveMember(Replica *replica, int64_t now_ms,
                            uint64_t identity);

/* Records that the node with this name now has this identity. Call it on
 * every node, regardless of role, for each hello message of a peer with a
 * disk. */
void Replica_RecordNode(Replica *replica, int64_t now_ms,
                        const RaftMember *member);

void Replica_SetVoters(Replica *replica, size_t voters);

/* Persists, syncs, sends and applies the queued work. Returns the error that
 * stopped the replica, or ST_OK. */
Status Replica_Flush(Replica *replica, int64_t now_ms);

/* Returns whether the machine holds everything that this node may have
 * applied before its last restart. Until then, decisions must not be based on
 * the machine's state. Once true, the result stays true. */
bool Replica_IsCaughtUp(const Replica *replica);

uint64_t Replica_GetIdentity(const Replica *replica);
uint64_t Replica_GetCluster(const Replica *replica);
RaftRole Replica_GetRole(const Replica *replica);
uint64_t Replica_GetTerm(const Replica *replica);
uint64_t Replica_GetLeader(const Replica *replica); /* 0 when unknown */
uint64_t Replica_GetCommitIndex(const Replica *replica);

/* Returns the highest commit index received from a leader of the current term
 * that has committed an entry of that term; 0 when unknown. */
uint64_t Replica_GetConfirmedCommit(const Replica *replica);
uint64_t Replica_GetAppliedIndex(const Replica *replica);
uint64_t Replica_GetLastIndex(const Replica *replica);
const RaftMembers *Replica_GetMembers(const Replica *replica);

/* Returns the index of the last entry known to be synced on a member; 0 when
 * unknown or when this node is not the leader. */
uint64_t Replica_GetMatchIndex(const Replica *replica, uint64_t identity);

/* As Raft_GetUncommittedAgeMs. */
int64_t Replica_GetUncommittedAgeMs(const Replica *replica, int64_t now_ms);

/* As Raft_GetContactAgeMs. */
int64_t Replica_GetContactAgeMs(const Replica *replica, int64_t now_ms,
                                uint64_t identity);

/* Returns the number of bytes of log and snapshot held in memory. */
size_t Replica_GetMemoryBytes(const Replica *replica);

/* Returns ST_OK, or the error that stopped the replica. Stores the error's
 * message in *message unless that is NULL. */
Status Replica_GetFailure(const Replica *replica, const char **message);

/* Appends applied entries from index on to out, for followers without a disk,
 * as msgpack arrays [index, term, kind, data], and stores their number in
 * *count. Appends at least one entry, and more up to max_bytes and
 * RAFT_MAX_BATCH_ENTRIES entries. Returns ST_OK with a count of 0 when no
 * entry is newer, and ST_STALE when the log no longer holds index and a
 * snapshot is needed. */
Status Replica_EncodeEntries(const Replica *replica, uint64_t index,
                             size_t max_bytes, Buf *out, size_t *count);

/* Appends a snapshot of the machine to out, and stores the applied index and
 * its term in *index and *term. */
void Replica_EncodeSnapshot(const Replica *replica, Buf *out, uint64_t *index,
                            uint64_t *term);

#endif
