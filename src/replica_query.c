#include "replica_core.h"

bool
Replica_CaughtUp(const Replica *replica)
{
    return replica->caught_up;
}

uint64_t
Replica_Identity(const Replica *replica)
{
    return replica->identity;
}

uint64_t
Replica_Cluster(const Replica *replica)
{
    return Raft_Cluster(replica->raft);
}

RaftRole
Replica_Role(const Replica *replica)
{
    return Raft_Role(replica->raft);
}

uint64_t
Replica_Term(const Replica *replica)
{
    return Raft_Term(replica->raft);
}

uint64_t
Replica_Leader(const Replica *replica)
{
    return Raft_Leader(replica->raft);
}

uint64_t
Replica_CommitIndex(const Replica *replica)
{
    return Raft_CommitIndex(replica->raft);
}

uint64_t
Replica_ConfirmedCommit(const Replica *replica)
{
    return Raft_ConfirmedCommit(replica->raft);
}

uint64_t
Replica_AppliedIndex(const Replica *replica)
{
    return replica->applied;
}

uint64_t
Replica_LastIndex(const Replica *replica)
{
    return Raft_LastIndex(replica->raft);
}

const RaftMembers *
Replica_Members(const Replica *replica)
{
    return Raft_MembersNow(replica->raft);
}

uint64_t
Replica_Match(const Replica *replica, uint64_t identity)
{
    return Raft_Match(replica->raft, identity);
}

size_t
Replica_StateBytes(const Replica *replica)
{
    return Raft_Bytes(replica->raft);
}

Status
Replica_Failed(const Replica *replica, const char **message)
{
    if (message != NULL) {
        *message = replica->failure.message;
    }
    return replica->failure.status;
}

Status
Replica_EntriesFrom(const Replica *replica, uint64_t index, size_t max_bytes,
                    Buf *out, size_t *count)
{
    size_t start = out->len;

    *count = 0;
    if (index < Raft_FirstIndex(replica->raft)) {
        return ST_STALE;
    }
    while (index <= replica->applied && *count < RAFT_MAX_BATCH) {
        const RaftEntry *entry = Raft_Entry(replica->raft, index);

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
Replica_SnapshotBytes(const Replica *replica, Buf *out, uint64_t *index,
                      uint64_t *term)
{
    replica->options.machine_ops->snapshot(replica->options.machine, out);
    *index = replica->applied;
    *term = Raft_TermAt(replica->raft, replica->applied);
}
