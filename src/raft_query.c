#include "raft_core.h"

const RaftPeer *
RaftCore_ConstPeer(const Raft *raft, uint64_t identity)
{
    size_t i;

    for (i = 0; i < raft->peer_count; i++) {
        if (raft->peers[i].identity == identity) {
            return &raft->peers[i];
        }
    }
    return NULL;
}

const RaftEntry *
Raft_Entry(const Raft *raft, uint64_t index)
{
    return RaftLog_Entry(&raft->log, index);
}

uint64_t
Raft_TermAt(const Raft *raft, uint64_t index)
{
    if (index == raft->snapshot.index) {
        return raft->snapshot.term;
    }
    return RaftLog_Term(&raft->log, index);
}

RaftRole
Raft_Role(const Raft *raft)
{
    return raft->role;
}

uint64_t
Raft_Term(const Raft *raft)
{
    return raft->term;
}

uint64_t
Raft_Leader(const Raft *raft)
{
    return raft->leader;
}

uint64_t
Raft_Cluster(const Raft *raft)
{
    return raft->cluster;
}

uint64_t
Raft_CommitIndex(const Raft *raft)
{
    return raft->commit;
}

uint64_t
Raft_FirstIndex(const Raft *raft)
{
    return raft->log.base_index + 1;
}

uint64_t
Raft_LastIndex(const Raft *raft)
{
    return RaftLog_Last(&raft->log);
}

const RaftMembers *
Raft_MembersNow(const Raft *raft)
{
    return &raft->members;
}

void
Raft_MembersAt(const Raft *raft, uint64_t index, RaftMembers *members)
{
    uint64_t i;

    for (i = index; i > raft->snapshot.index; i--) {
        const RaftEntry *entry = RaftLog_Entry(&raft->log, i);

        if (entry != NULL && entry->kind == RAFT_MEMBERS) {
            /* Checked when the entry was taken. */
            RaftMembers_Decode(entry->data, entry->len, members, NULL);
            return;
        }
    }
    *members = raft->snapshot.members;
}

uint64_t
Raft_Match(const Raft *raft, uint64_t identity)
{
    const RaftPeer *peer = RaftCore_ConstPeer(raft, identity);

    if (raft->role != RAFT_LEADER) {
        return 0;
    }
    if (identity == raft->options.identity) {
        return raft->persisted;
    }
    return peer == NULL ? 0 : peer->match;
}

int64_t
Raft_SilentMs(const Raft *raft, int64_t now_ms, uint64_t identity)
{
    const RaftPeer *peer = RaftCore_ConstPeer(raft, identity);

    return raft->role == RAFT_LEADER && peer != NULL ? now_ms - peer->heard_ms
                                                     : 0;
}

bool
Raft_Active(const Raft *raft, int64_t now_ms, uint64_t identity)
{
    const RaftPeer *peer = RaftCore_ConstPeer(raft, identity);

    if (identity == raft->options.identity) {
        return true;
    }
    return raft->role == RAFT_LEADER && peer != NULL &&
           now_ms - peer->heard_ms < raft->options.election_ms;
}

uint64_t
Raft_ConfirmedCommit(const Raft *raft)
{
    return raft->confirmed;
}

const char *
Raft_Snapshot(const Raft *raft, size_t *len, uint64_t *index, uint64_t *term)
{
    *len = raft->snapshot.data.len;
    *index = raft->snapshot.index;
    *term = raft->snapshot.term;
    return raft->snapshot.data.data;
}

const RaftMembers *
Raft_SnapshotMembers(const Raft *raft)
{
    return &raft->snapshot.members;
}

size_t
Raft_Bytes(const Raft *raft)
{
    return raft->log.bytes + raft->log.capacity * sizeof(RaftEntry) +
           raft->snapshot.data.capacity + raft->incoming.data.capacity;
}
