#include "replica_core.h"

bool
Replica_IsCaughtUp(const Replica *replica)
{
    return replica->caught_up;
}

uint64_t
Replica_GetIdentity(const Replica *replica)
{
    return replica->identity;
}

uint64_t
Replica_GetCluster(const Replica *replica)
{
    return Raft_GetCluster(replica->raft);
}

RaftRole
Replica_GetRole(const Replica *replica)
{
    return Raft_GetRole(replica->raft);
}

uint64_t
Replica_GetTerm(const Replica *replica)
{
    return Raft_GetTerm(replica->raft);
}

uint64_t
Replica_GetLeader(const Replica *replica)
{
    return Raft_GetLeader(replica->raft);
}

uint64_t
Replica_GetCommitIndex(const Replica *replica)
{
    return Raft_GetCommitIndex(replica->raft);
}

uint64_t
Replica_GetConfirmedCommit(const Replica *replica)
{
    return Raft_GetConfirmedCommit(replica->raft);
}

uint64_t
Replica_GetAppliedIndex(const Replica *replica)
{
    return replica->applied_index;
}

uint64_t
Replica_GetLastIndex(const Replica *replica)
{
    return Raft_GetLastIndex(replica->raft);
}

const RaftMembers *
Replica_GetMembers(const Replica *replica)
{
    return Raft_GetMembers(replica->raft);
}

uint64_t
Replica_GetMatchIndex(const Replica *replica, uint64_t identity)
{
    return Raft_GetMatchIndex(replica->raft, identity);
}

int64_t
Replica_GetUncommittedAgeMs(const Replica *replica, int64_t now_ms)
{
    return Raft_GetUncommittedAgeMs(replica->raft, now_ms);
}

int64_t
Replica_GetContactAgeMs(const Replica *replica, int64_t now_ms,
                        uint64_t identity)
{
    return Raft_GetContactAgeMs(replica->raft, now_ms, identity);
}

size_t
Replica_GetMemoryBytes(const Replica *replica)
{
    return Raft_GetMemoryBytes(replica->raft);
}

Status
Replica_GetFailure(const Replica *replica, const char **message)
{
    if (message != NULL) {
        *message = replica->failure.message;
    }
    return replica->failure.status;
}

Status
Replica_EncodeEntries(const Replica *replica, uint64_t index, size_t max_bytes,
                      Buf *out, size_t *count)
{
    size_t start = out->len;

    *count = 0;
    if (index < Raft_GetFirstIndex(replica->raft)) {
        return ST_STALE;
    }
    while (index <= replica->applied_index &&
           *count < RAFT_MAX_BATCH_ENTRIES) {
        const RaftEntry *entry = Raft_GetEntry(replica->raft, index);

        if (*count > 0 && out->len - start + entry->len > max_bytes) {
            break;
        }
        RaftEntry_Encode(entry, out);
        (*count)++;
        index++;
    }
    return ST_OK;
}

void
Replica_EncodeSnapshot(const Replica *replica, Buf *out, uint64_t *index,
                       uint64_t *term)
{
    replica->options.machine_ops->snapshot(replica->options.machine, out);
    *index = replica->applied_index;
    *term = Raft_GetTermAt(replica->raft, replica->applied_index);
}
