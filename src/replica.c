#include "replica_core.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "rng.h"

static Status
check_options(const ReplicaOptions *options, ErrCtx *err)
{
    if (options->name == NULL || options->data_centre == NULL ||
        options->name[0] == '\0' || options->data_centre[0] == '\0' ||
        strlen(options->name) >= RAFT_NAME_BYTES ||
        strlen(options->data_centre) >= RAFT_NAME_BYTES ||
        options->machine_ops == NULL || options->send == NULL ||
        options->applied == NULL || options->proposed == NULL ||
        options->read_ready == NULL || options->snapshot_entries == 0 ||
        options->snapshot_bytes == 0 || options->max_pending == 0 ||
        options->voters == 0 || options->voters > RAFT_MAX_MEMBERS) {
        return Err_Set(err, ST_INVALID, "replica options out of bounds");
    }
    return ST_OK;
}

static uint64_t
generate_id(Rng *rng)
{
    uint64_t id;

    do {
        id = Rng_Next(rng);
    } while (id == 0);
    return id;
}

/* Creates the files of a node that has this identity, or a new one if it is
 * 0. */
static Status
create_folder(const ReplicaOptions *options, uint64_t identity,
              Storage *storage, ErrCtx *err)
{
    Rng rng;
    RaftMembers members = {.count = 1};
    RaftMember *self = &members.list[0];
    uint64_t new_identity;
    uint64_t cluster;

    Rng_Seed(&rng, options->seed);
    new_identity = generate_id(&rng);
    cluster = generate_id(&rng);
    identity = identity != 0 ? identity : new_identity;
    self->identity = identity;
    snprintf(self->name, sizeof(self->name), "%s", options->name);
    snprintf(self->data_centre, sizeof(self->data_centre), "%s",
             options->data_centre);
    self->voter = true;
    return Wal_Create(storage, identity, options->init ? cluster : 0,
                      options->init ? &members : NULL, err);
}

static Status
start_raft(Replica *replica, const WalRecovery *recovery, ErrCtx *err)
{
    RaftOptions options = RAFT_OPTIONS_DEFAULT;

    options.identity = recovery->identity;
    options.cluster = recovery->cluster;
    /* Election timeouts must differ even if nodes are given the same seed by
     * mistake; otherwise they would vote in lockstep. */
    options.seed = replica->options.seed ^ recovery->identity;
    options.now_ms = replica->options.now_ms;
    options.election_ms = replica->options.election_ms;
    options.heartbeat_ms = replica->options.heartbeat_ms;
    options.term = recovery->term;
    options.vote = recovery->vote;
    options.base_index = recovery->base_index;
    options.base_term = recovery->base_term;
    options.entries = recovery->entries;
    options.entry_count = recovery->entry_count;
    options.snapshot_index = recovery->snapshot_index;
    options.snapshot_term = recovery->snapshot_term;
    options.snapshot_members = &recovery->snapshot_members;
    options.snapshot = recovery->snapshot.data;
    options.snapshot_len = recovery->snapshot.len;
    replica->identity = recovery->identity;
    replica->applied_index = recovery->snapshot_index;
    if (recovery->repair[0] != '\0') {
        Diag_Log(DIAG_WARNING, REPLICA_LOG_PREFIX, "Recovery: %s.",
                 recovery->repair);
    }
    if (recovery->snapshot_index > 0 &&
        replica->options.machine_ops->restore(
            replica->options.machine, recovery->snapshot.data,
            recovery->snapshot.len) != ST_OK) {
        return Err_Set(err, ST_CORRUPT,
                       "snapshot: offset 0: the state machine refused the "
                       "snapshot at entry %" PRIu64,
                       recovery->snapshot_index);
    }
    return Raft_New(&options, &replica->raft, err);
}

static Status
recover_replica(Replica *replica, Storage *storage, ErrCtx *err)
{
    WalRecovery *recovery = calloc(1, sizeof(*recovery));
    Status status;

    if (recovery == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "out of memory");
    }
    status = Wal_Open(storage, recovery, &replica->wal, err);
    if (status == ST_NOT_FOUND) {
        status = create_folder(&replica->options, 0, storage, err);
        if (status == ST_OK) {
            status = Wal_Open(storage, recovery, &replica->wal, err);
        }
    }
    else if (status == ST_OK && replica->options.init) {
        WalRecovery_Free(recovery);
        status = Err_Set(err, ST_EXISTS,
                         "the data folder already belongs to a cluster or "
                         "is waiting to join one");
    }
    if (status == ST_OK) {
        status = start_raft(replica, recovery, err);
        WalRecovery_Free(recovery);
    }
    free(recovery);
    return status;
}

/* Writes the files of a new cluster and opens them. A crash before the
 * identity is written again leaves a new folder. */
static Status
recreate_folder(Replica *replica, Storage *storage, ErrCtx *err)
{
    WalRecovery *recovery = calloc(1, sizeof(*recovery));
    Status status;

    if (recovery == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "out of memory");
    }
    status = Storage_Remove(storage, WAL_IDENTITY, err);
    if (status == ST_OK) {
        status =
            create_folder(&replica->options, replica->identity, storage, err);
    }
    if (status == ST_OK) {
        status = Wal_Open(storage, recovery, &replica->wal, err);
    }
    if (status == ST_OK) {
        status = start_raft(replica, recovery, err);
        WalRecovery_Free(recovery);
    }
    free(recovery);
    return status;
}

Status
Replica_Found(Replica *replica, Storage *storage, int64_t now_ms, ErrCtx *err)
{
    Wal *wal = replica->wal;
    Raft *raft = replica->raft;
    Status status;

    if (replica->failure.status != ST_OK) {
        return replica->failure.status;
    }
    if (Raft_GetCluster(raft) != 0 || Raft_GetLastIndex(raft) != 0 ||
        replica->sync_in_progress) {
        return Err_Set(err, ST_EXISTS, "the node is in a cluster");
    }
    replica->options.init = true;
    replica->options.now_ms = now_ms;
    replica->wal = NULL;
    replica->raft = NULL;
    status = recreate_folder(replica, storage, err);
    if (status != ST_OK) {
        Wal_Close(replica->wal);
        replica->wal = wal;
        replica->raft = raft;
        replica->failure = *err;
        return status;
    }
    Raft_Free(raft);
    Wal_Close(wal);
    return ST_OK;
}

static void
free_replica(Replica *replica)
{
    Raft_Free(replica->raft);
    Wal_Close(replica->wal);
    Buf_Free(&replica->result);
    free(replica->pending);
    free(replica);
}

/* Records this node itself, so that as leader it also removes old identities
 * of its own name. */
static void
record_self(Replica *replica)
{
    ReplicaNode *node = &replica->nodes[replica->node_count++];

    node->member.identity = replica->identity;
    snprintf(node->member.name, sizeof(node->member.name), "%s",
             replica->name);
    snprintf(node->member.data_centre, sizeof(node->member.data_centre), "%s",
             replica->options.data_centre);
    node->last_seen_ms = INT64_MAX;
}

Status
Replica_Open(const ReplicaOptions *options, Storage *storage, Replica **result,
             ErrCtx *err)
{
    Replica *replica;
    Status status = check_options(options, err);

    if (status != ST_OK) {
        return status;
    }
    replica = calloc(1, sizeof(*replica));
    if (replica == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "out of memory");
    }
    replica->options = *options;
    snprintf(replica->name, sizeof(replica->name), "%s", options->name);
    replica->pending = calloc(options->max_pending, sizeof(PendingProposal));
    if (replica->pending == NULL) {
        status = Err_Set(err, ST_NO_MEMORY, "out of memory");
    }
    else {
        status = recover_replica(replica, storage, err);
    }
    if (status != ST_OK) {
        free_replica(replica);
        return status;
    }
    replica->role = RAFT_FOLLOWER;
    replica->term = Raft_GetTerm(replica->raft);
    record_self(replica);
    *result = replica;
    return ST_OK;
}

void
Replica_Close(Replica *replica)
{
    if (replica == NULL) {
        return;
    }
    if (replica->failure.status == ST_OK) {
        /* Rejects further work from the callbacks. */
        Err_Set(&replica->failure, ST_AGAIN, "closing");
        ReplicaCore_CancelPending(replica);
    }
    free_replica(replica);
}

Status
Replica_Tick(Replica *replica, int64_t now_ms)
{
    if (replica->failure.status != ST_OK) {
        return replica->failure.status;
    }
    Raft_Tick(replica->raft, now_ms);
    ReplicaCore_ChangeMembers(replica, now_ms);
    return Replica_Flush(replica, now_ms);
}

Status
Replica_HandleMessage(Replica *replica, int64_t now_ms, uint64_t from_identity,
                      const char *bytes, size_t len)
{
    Status status;

    if (replica->failure.status != ST_OK) {
        return replica->failure.status;
    }
    status = RaftMsg_Decode(bytes, len, &replica->msg, NULL);
    if (status != ST_OK) {
        return status;
    }
    if (replica->msg.from != from_identity) {
        return ST_STALE;
    }
    return Raft_HandleMessage(replica->raft, now_ms, &replica->msg);
}

Status
Replica_Propose(Replica *replica, int64_t now_ms, const char *command,
                size_t len, uint64_t cookie)
{
    PendingProposal pending = {0, 0, cookie};
    Status status;

    if (replica->failure.status != ST_OK) {
        return replica->failure.status;
    }
    if (replica->pending_count == replica->options.max_pending) {
        return ST_FULL;
    }
    status = Raft_Propose(replica->raft, now_ms, command, len, &pending.index,
                          &pending.term);
    if (status == ST_OK) {
        size_t last = (replica->pending_first + replica->pending_count) %
                      replica->options.max_pending;

        replica->pending[last] = pending;
        replica->pending_count++;
    }
    return status;
}

Status
Replica_TransferLeadership(Replica *replica)
{
    if (replica->failure.status != ST_OK) {
        return replica->failure.status;
    }
    return Raft_TransferLeadership(replica->raft);
}

Status
Replica_ReadIndex(Replica *replica, int64_t now_ms, uint64_t cookie)
{
    if (replica->failure.status != ST_OK) {
        return replica->failure.status;
    }
    return Raft_ReadIndex(replica->raft, now_ms, cookie);
}
