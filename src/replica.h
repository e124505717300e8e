/*
 * NAME
 *     replica - one member of the replicated log with its state machine
 *
 * DESCRIPTION
 *     Combines raft, wal and a state machine. Calls only queue work;
 *     Replica_Flush (also called by Replica_Tick) persists and syncs the
 *     whole batch once, then sends messages, then applies committed entries.
 *     With a sync callback the log is synced elsewhere meanwhile: a leader's
 *     messages leave at once, and entries that a majority has are applied
 *     before they are durable here.
 *     Call it once for each turn of the event loop. Callbacks run inside
 *     Replica_Flush and Replica_Close; they may call Replica_Propose and
 *     Replica_ReadIndex, but must not call Replica_Flush or Replica_Close.
 *
 *     A node with a new, empty folder waits until the leader adds it as a
 *     learner (Replica_OfferMember on the leader). The leader promotes caught
 *     up learners up to the wanted number of voters, prefers data centres
 *     with fewer voters, and replaces an identity whose node came back with a
 *     new one.
 *
 *     A failed sync or a full disk is final: the replica sends, acknowledges
 *     and applies nothing more (Replica_Failed).
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

/* The state machine. apply must be deterministic and append its answer to
 * result; it cannot fail, refusals are answers. snapshot appends the whole
 * state; restore replaces it and returns ST_CORRUPT for bytes that snapshot
 * did not write. */
typedef struct ReplicaMachineOps {
    void (*apply)(void *machine, uint64_t index, const char *command,
                  size_t len, Buf *result);
    void (*snapshot)(const void *machine, Buf *out);
    Status (*restore)(void *machine, const char *bytes, size_t len);
} ReplicaMachineOps;

typedef struct ReplicaOptions {
    const char *name;        /* of this node */
    const char *data_centre; /* of this node */
    bool init;     /* start a new cluster; ST_EXISTS if there is one */
    uint64_t seed; /* for election timeouts and, in a new folder,
                      for identity and cluster id */
    int64_t now_ms;
    int64_t election_ms;       /* shortest election timeout */
    int64_t heartbeat_ms;      /* at most a third of election_ms */
    uint64_t snapshot_entries; /* applied entries between two snapshots */
    size_t voters;             /* wanted number of voters */
    size_t max_pending;        /* proposals without an answer */
    const ReplicaMachineOps *machine_ops;
    void *machine;
    void *arg; /* of the callbacks below */
    /* Sends one message to the node with this identity; may lose it. */
    void (*send)(void *arg, uint64_t to_identity, const char *bytes,
                 size_t len);
    /* After each command was applied, on every node, in order of index. */
    void (*applied)(void *arg, uint64_t index, const char *command, size_t len,
                    const Buf *result);
    /* Exactly once for each Replica_Propose that returned ST_OK: ST_OK when
     * applied, ST_NOT_LEADER when surely never accepted, ST_AGAIN when
     * unknown. result is NULL unless ST_OK. */
    void (*proposed)(void *arg, uint64_t cookie, Status status, uint64_t index,
                     const Buf *result);
    /* May be NULL. Begins to sync WAL_LOG of the storage, which nothing else
     * writes to until Replica_Synced is called with the result. */
    void (*sync)(void *arg);
    /* Exactly once for each Replica_ReadIndex that returned ST_OK: ST_OK when
     * the machine now holds everything committed before the call, otherwise
     * ST_AGAIN. */
    void (*read_ready)(void *arg, uint64_t cookie, Status status,
                       uint64_t index);
    /* May be NULL. After the machine was replaced by a received snapshot. */
    void (*restored)(void *arg, uint64_t index);
    /* May be NULL. After the role, term or known leader changed. */
    void (*role_changed)(void *arg, RaftRole role, uint64_t term,
                         uint64_t leader);
} ReplicaOptions;

#define REPLICA_OPTIONS_DEFAULT                                               \
    {                                                                         \
        .election_ms = 1500, .heartbeat_ms = 300, .snapshot_entries = 8192,   \
        .voters = 3, .max_pending = 4096                                      \
    }

typedef struct Replica Replica;

/* Recovers from the storage, or creates the files of a new folder. Restores
 * the machine from the snapshot; entries after it are applied once a leader
 * says that they are committed. The storage stays the caller's. ST_CORRUPT
 * names file and offset. */
Status Replica_Open(const ReplicaOptions *options, Storage *storage,
                    Replica **replica, ErrCtx *err);

/* Answers everything pending with ST_AGAIN and frees. */
void Replica_Close(Replica *replica);

/* Tells that the sync that the callback began has ended; err holds the cause
 * of a failure. Flush afterwards. */
void Replica_Synced(Replica *replica, Status status, const ErrCtx *err);

/* Advances timers, then flushes. Call at least every heartbeat_ms / 2. */
Status Replica_Tick(Replica *replica, int64_t now_ms);

/* Takes a message. ST_CORRUPT for a malformed one, ST_STALE for one that is
 * addressed to another identity or cluster or whose sender identity differs
 * from that of the link. */
Status Replica_Receive(Replica *replica, int64_t now_ms,
                       uint64_t from_identity, const char *bytes, size_t len);

/* Proposes a command of 1 to RAFT_MAX_COMMAND_BYTES bytes. A status other
 * than ST_OK means that it was not accepted and there is no callback:
 * ST_NOT_LEADER, ST_FULL (max_pending), ST_INVALID (length), or the error
 * that stopped the log. */
Status Replica_Propose(Replica *replica, int64_t now_ms, const char *command,
                       size_t len, uint64_t cookie);

/* Asks for a confirmed read. ST_NOT_LEADER; ST_AGAIN while the leader has not
 * committed an entry of its own term; ST_FULL. */
Status Replica_ReadIndex(Replica *replica, int64_t now_ms, uint64_t cookie);

/* Adds a learner at once. ST_NOT_LEADER; ST_EXISTS; ST_AGAIN while another
 * change is in progress; ST_FULL. */
Status Replica_AddLearner(Replica *replica, int64_t now_ms,
                          const RaftMember *member);

/* Removes a member at once, for an operator. ST_NOT_LEADER; ST_NOT_FOUND;
 * ST_AGAIN; ST_INVALID for the last voter. */
Status Replica_RemoveMember(Replica *replica, int64_t now_ms,
                            uint64_t identity);

/* Tells that the node with this name now has this identity. Call on every
 * node, whatever its role, whenever a peer with a disk says hello. */
void Replica_OfferMember(Replica *replica, int64_t now_ms,
                         const RaftMember *member);

void Replica_SetVoters(Replica *replica, size_t voters);

/* Persists, syncs, sends and applies what is queued. Returns the error that
 * stopped the log, or ST_OK. */
Status Replica_Flush(Replica *replica, int64_t now_ms);

/* Returns true once the machine holds everything that this node can have
 * applied before its last restart. Until then it must not be used for
 * decisions. Stays true. */
bool Replica_CaughtUp(const Replica *replica);

uint64_t Replica_Identity(const Replica *replica);
uint64_t Replica_Cluster(const Replica *replica);
RaftRole Replica_Role(const Replica *replica);
uint64_t Replica_Term(const Replica *replica);
uint64_t Replica_Leader(const Replica *replica); /* 0 when unknown */
uint64_t Replica_CommitIndex(const Replica *replica);

/* Returns the highest commit index told by a leader of the current term that
 * has committed an entry of that term; 0 when unknown. */
uint64_t Replica_ConfirmedCommit(const Replica *replica);
uint64_t Replica_AppliedIndex(const Replica *replica);
uint64_t Replica_LastIndex(const Replica *replica);
const RaftMembers *Replica_Members(const Replica *replica);

/* Returns the last entry known to be synced at a member; 0 when unknown or
 * not the leader. */
uint64_t Replica_Match(const Replica *replica, uint64_t identity);

/* Returns the bytes of log and snapshot held in memory. */
size_t Replica_StateBytes(const Replica *replica);

/* Returns ST_OK or the error that stopped the log, with its message. */
Status Replica_Failed(const Replica *replica, const char **message);

/* For followers without a disk: appends applied entries from index on as
 * msgpack arrays [index, term, kind, data] to out, at least one and then up
 * to max_bytes and RAFT_MAX_BATCH entries, and stores their count. ST_OK with
 * a count of 0 when there is nothing newer; ST_STALE when the log no longer
 * reaches back to index and a snapshot is needed. */
Status Replica_EntriesFrom(const Replica *replica, uint64_t index,
                           size_t max_bytes, Buf *out, size_t *count);

/* Appends a snapshot of the machine at the applied index, which is stored in
 * *index with its term. */
void Replica_SnapshotBytes(const Replica *replica, Buf *out, uint64_t *index,
                           uint64_t *term);

#endif
