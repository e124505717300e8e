/*
 * NAME
 *     replica_core - the inside of replica, shared by its source files
 */
#ifndef COLTSFOOT_REPLICA_CORE_H
#define COLTSFOOT_REPLICA_CORE_H

#include "replica.h"
#include "replica_plan.h"
#include "wal.h"

#define REPLICA_PART "replica" /* prefix of log lines */

#define MAX_OFFERS RAFT_MAX_MEMBERS

typedef struct Pending {
    uint64_t index;
    uint64_t term;
    uint64_t cookie;
} Pending;

struct Replica {
    ReplicaOptions options;
    char name[RAFT_NAME_BYTES];
    uint64_t identity;
    Wal *wal;
    Raft *raft;
    uint64_t applied;
    bool caught_up;
    bool syncing;     /* the callback's sync of all that was written goes on */
    size_t held;      /* messages that wait for it */
    Pending *pending; /* ordered by index; a ring of max_pending */
    size_t pending_first;
    size_t pending_count;
    ReplicaOffer offers[MAX_OFFERS];
    size_t offer_count;
    RaftRole role; /* as last reported */
    uint64_t term;
    uint64_t leader;
    Buf result;
    ErrCtx failure;
    RaftMsg msg;
};

/* replica_flush.c: gives up leadership and answers everything that waits. */
void ReplicaCore_AbandonAll(Replica *replica);

/* Proposes the next change of the member list, if one is due. */
void ReplicaCore_ChangeMembers(Replica *replica, int64_t now_ms);

#endif
