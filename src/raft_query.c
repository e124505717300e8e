#include "raft_core.h"

const RaftPeer *
RaftCore_FindConstPeer(const Raft *raft, uint64_t identity)
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
Raft_GetEntry(const Raft *raft, uint64_t index)
{
    return RaftLog_GetEntry(&raft->log, index);
}

uint64_t
Raft_GetTermAt(const Raft *raft, uint64_t index)
{
    if (index == raft->snapshot.index) {
        return raft->snapshot.term;
    }
    return RaftLog_GetTerm(&raft->log, index);
}

RaftRole
Raft_GetRole(const Raft *raft)
{
    return raft->role;
}

uint64_t
Raft_GetTerm(const Raft *raft)
{
    return raft->term;
}

uint64_t
Raft_GetLeader(const Raft *raft)
{
    return raft->leader;
}

uint64_t
Raft_GetCluster(const Raft *raft)
{
    return raft->cluster;
}

uint64_t
Raft_GetCommitIndex(const Raft *raft)
{
    return raft->commit_index;
}

uint64_t
Raft_GetFirstIndex(const Raft *raft)
{
    return raft->log.base_index + 1;
}

uint64_t
Raft_GetLastIndex(const Raft *raft)
{
    return RaftLog_GetLastIndex(&raft->log);
}

const RaftMembers *
Raft_GetMembers(const Raft *raft)
{
    return &raft->members;
}

void
Raft_GetMembersAt(const Raft *raft, uint64_t index, RaftMembers *members)
{
    uint64_t i;

    for (i = index; i > raft->snapshot.index; i--) {
        const RaftEntry *entry = RaftLog_GetEntry(&raft->log, i);

        if (entry != NULL && entry->kind == RAFT_ENTRY_MEMBERS) {
            /* The list was validated when the entry was stored. */
            RaftMembers_Decode(entry->data, entry->len, members, NULL);
            return;
        }
    }
    *members = raft->snapshot.members;
}

uint64_t
Raft_GetMatchIndex(const Raft *raft, uint64_t identity)
{
    const RaftPeer *peer = RaftCore_FindConstPeer(raft, identity);

    if (raft->role != RAFT_LEADER) {
        return 0;
    }
    if (identity == raft->options.identity) {
        return raft->persisted_index;
    }
    return peer == NULL ? 0 : peer->match_index;
}

int64_t
Raft_GetContactAgeMs(const Raft *raft, int64_t now_ms, uint64_t identity)
{
    const RaftPeer *peer = RaftCore_FindConstPeer(raft, identity);

    return raft->role == RAFT_LEADER && peer != NULL
               ? now_ms - peer->last_contact_ms
               : 0;
}

bool
Raft_IsActive(const Raft *raft, int64_t now_ms, uint64_t identity)
{
    const RaftPeer *peer = RaftCore_FindConstPeer(raft, identity);

    if (identity == raft->options.identity) {
        return true;
    }
    return raft->role == RAFT_LEADER && peer != NULL &&
           now_ms - peer->last_contact_ms < raft->options.election_ms;
}

int64_t
Raft_GetUncommittedAgeMs(const Raft *raft, int64_t now_ms)
{
    return raft->role == RAFT_LEADER &&
                   raft->age_mark_index > raft->commit_index
               ? now_ms - raft->age_mark_ms
               : 0;
}

uint64_t
Raft_GetConfirmedCommit(const Raft *raft)
{
    return raft->confirmed_commit_index;
}

const char *
Raft_GetSnapshot(const Raft *raft, size_t *len, uint64_t *index,
                 uint64_t *term)
{
    *len = raft->snapshot.data.len;
    *index = raft->snapshot.index;
    *term = raft->snapshot.term;
    return raft->snapshot.data.data;
}

const RaftMembers *
Raft_GetSnapshotMembers(const Raft *raft)
{
    return &raft->snapshot.members;
}

size_t
Raft_GetMemoryBytes(const Raft *raft)
{
    return raft->log.bytes + raft->log.capacity * sizeof(RaftEntry) +
           raft->snapshot.data.capacity + raft->incoming.data.capacity;
}
