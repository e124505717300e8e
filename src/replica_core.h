/*
 * NAME
 *     replica_core - internals of replica, shared by its source files
 */
#ifndef COLTSFOOT_REPLICA_CORE_H
#define COLTSFOOT_REPLICA_CORE_H

#include "replica.h"
#include "replica_plan.h"
#include "wal.h"

#define REPLICA_LOG_PREFIX "replica"

#define REPLICA_MAX_NODES RAFT_MAX_MEMBERS

typedef struct PendingProposal {
    uint64_t index;
    uint64_t term;
    uint64_t cookie;
} PendingProposal;

struct Replica {
    ReplicaOptions options;
    char name[RAFT_NAME_BYTES];
    uint64_t identity;
    Wal *wal;
    Raft *raft;
    uint64_t applied_index;
    size_t bytes_since_snapshot; /* of the commands applied since then */
    bool caught_up;
    /* true from the sync callback until Replica_FinishSync */
    bool sync_in_progress;
    size_t held_message_count; /* messages queued when the sync began */
    PendingProposal *pending;  /* ring of max_pending, ordered by index */
    size_t pending_first;
    size_t pending_count;
    ReplicaNode nodes[REPLICA_MAX_NODES];
    size_t node_count;
    RaftRole role; /* role, term and leader as last reported */
    uint64_t term;
    uint64_t leader;
    Buf result;
    ErrCtx failure;
    RaftMsg msg;
};

/* Steps down and completes all pending proposals and reads with ST_AGAIN.
 * Defined in replica_flush.c. */
void ReplicaCore_CancelPending(Replica *replica);

/* Proposes the next change of the member list, if one is due. Defined in
 * replica_members.c. */
void ReplicaCore_ChangeMembers(Replica *replica, int64_t now_ms);

#endif
