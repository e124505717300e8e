#include "raft_core.h"

#include <xxhash.h>

/* Accepts the sender as this term's leader. */
static void
hear_leader(Raft *raft, const RaftMsg *msg)
{
    if (raft->role != RAFT_FOLLOWER || raft->leader != msg->from) {
        RaftCore_Follow(raft, raft->term, msg->from);
    }
    raft->leader_heard_ms = raft->now_ms;
    RaftCore_ResetElection(raft);
}

static void
acknowledge(Raft *raft, const RaftMsg *msg, uint64_t index)
{
    RaftMsg *reply = RaftCore_Message(raft, RAFT_MSG_APPEND_REPLY, msg->from);

    reply->index = index;
    RaftCore_Send(raft, reply);
}

/* Names the last entry that can match: the first one from the refused index
 * down whose term is not above the leader's term there. */
static void
refuse(Raft *raft, const RaftMsg *msg)
{
    RaftMsg *reply = RaftCore_Message(raft, RAFT_MSG_APPEND_REPLY, msg->from);
    uint64_t last = RaftLog_Last(&raft->log);
    uint64_t hint = msg->index < last ? msg->index : last;

    while (hint > raft->commit &&
           RaftLog_Term(&raft->log, hint) > msg->log_term) {
        hint--;
    }
    reply->reject = true;
    reply->index = msg->index;
    reply->hint_index = hint;
    reply->hint_term = RaftLog_Term(&raft->log, hint);
    RaftCore_Send(raft, reply);
}

static void
cut_conflict(Raft *raft, uint64_t index)
{
    RaftMembers members;

    RaftLog_Truncate(&raft->log, index);
    if (index <= raft->written) {
        if (raft->truncate_from == 0 || index < raft->truncate_from) {
            raft->truncate_from = index;
        }
        raft->written = index - 1;
    }
    if (index <= raft->persisted) {
        raft->persisted = index - 1;
    }
    if (raft->members_index >= index) {
        Raft_MembersAt(raft, index - 1, &members);
        RaftCore_SetMembers(raft, &members, index - 1);
    }
}

static Status
take_entry(Raft *raft, const RaftEntry *entry)
{
    RaftMembers members;

    if (RaftLog_Term(&raft->log, entry->index) == entry->term) {
        return ST_OK;
    }
    if (entry->kind == RAFT_MEMBERS &&
        (RaftMembers_Decode(entry->data, entry->len, &members, NULL) !=
             ST_OK ||
         RaftMembers_Voters(&members) == 0)) {
        return ST_CORRUPT;
    }
    if (entry->index <= RaftLog_Last(&raft->log)) {
        if (entry->index <= raft->commit) {
            return ST_CORRUPT; /* a committed entry cannot change */
        }
        cut_conflict(raft, entry->index);
    }
    RaftLog_Append(&raft->log, entry);
    if (entry->kind == RAFT_MEMBERS) {
        RaftCore_SetMembers(raft, &members, entry->index);
    }
    return ST_OK;
}

Status
RaftCore_OnAppend(Raft *raft, const RaftMsg *msg)
{
    uint64_t last = msg->index + msg->entry_count;
    uint64_t commit = msg->commit < last ? msg->commit : last;
    size_t i;

    if (raft->role == RAFT_LEADER) {
        return ST_STALE; /* two leaders of one term: never by an honest peer */
    }
    hear_leader(raft, msg);
    if (msg->index < raft->log.base_index) {
        /* Everything up to the base is committed, so it matches. */
        acknowledge(raft, msg, raft->commit);
        return ST_OK;
    }
    if (msg->index > RaftLog_Last(&raft->log) ||
        RaftLog_Term(&raft->log, msg->index) != msg->log_term) {
        refuse(raft, msg);
        return ST_OK;
    }
    for (i = 0; i < msg->entry_count; i++) {
        Status status = take_entry(raft, &msg->entries[i]);

        if (status != ST_OK) {
            return status;
        }
    }
    if (last > raft->verified) {
        raft->verified = last;
    }
    if (commit > raft->commit) {
        raft->commit = commit;
    }
    acknowledge(raft, msg, last);
    return ST_OK;
}

void
RaftCore_OnHeartbeat(Raft *raft, const RaftMsg *msg)
{
    uint64_t commit =
        msg->commit < raft->verified ? msg->commit : raft->verified;
    RaftMsg *reply;

    if (raft->role == RAFT_LEADER) {
        return;
    }
    hear_leader(raft, msg);
    if (commit > raft->commit) {
        raft->commit = commit;
    }
    /* The heartbeat's index is the leader's first entry of its term. */
    if (msg->commit >= msg->index && msg->commit > raft->confirmed) {
        raft->confirmed = msg->commit;
    }
    reply = RaftCore_Message(raft, RAFT_MSG_HEARTBEAT_REPLY, msg->from);
    reply->context = msg->context;
    reply->index = raft->verified;
    RaftCore_Send(raft, reply);
}

static void
ask_chunk(Raft *raft, const RaftMsg *msg)
{
    RaftMsg *reply =
        RaftCore_Message(raft, RAFT_MSG_SNAPSHOT_REPLY, msg->from);

    reply->index = msg->index;
    reply->context = raft->incoming.data.len;
    RaftCore_Send(raft, reply);
}

static void
install_incoming(Raft *raft)
{
    RaftSnapshotData old = raft->snapshot;

    raft->snapshot = raft->incoming;
    raft->incoming = old;
    raft->incoming.index = 0;
    Buf_Free(&raft->incoming.data);
    RaftLog_Reset(&raft->log, raft->snapshot.index, raft->snapshot.term);
    raft->commit = raft->snapshot.index;
    raft->verified = raft->snapshot.index;
    raft->persisted = raft->snapshot.index;
    raft->written = raft->snapshot.index;
    raft->install = true;
    RaftCore_SetMembers(raft, &raft->snapshot.members, raft->snapshot.index);
}

static void
start_incoming(Raft *raft, const RaftMsg *msg)
{
    RaftSnapshotData *incoming = &raft->incoming;

    if (incoming->index == msg->index && incoming->term == msg->log_term &&
        incoming->total == msg->total && incoming->sum == msg->sum) {
        return;
    }
    incoming->index = msg->index;
    incoming->term = msg->log_term;
    incoming->members = msg->members;
    incoming->total = msg->total;
    incoming->sum = msg->sum;
    Buf_Clear(&incoming->data);
}

Status
RaftCore_OnSnapshot(Raft *raft, const RaftMsg *msg)
{
    RaftSnapshotData *incoming = &raft->incoming;

    if (raft->role == RAFT_LEADER || msg->total > RAFT_MAX_SNAPSHOT_BYTES) {
        return ST_INVALID;
    }
    hear_leader(raft, msg);
    if (msg->index <= raft->commit) {
        acknowledge(raft, msg, raft->commit);
        return ST_OK;
    }
    if (RaftLog_Term(&raft->log, msg->index) == msg->log_term) {
        /* The log already holds all that the snapshot stands for. */
        raft->commit = msg->index;
        if (raft->verified < msg->index) {
            raft->verified = msg->index;
        }
        acknowledge(raft, msg, msg->index);
        return ST_OK;
    }
    start_incoming(raft, msg);
    if (msg->offset != incoming->data.len) {
        ask_chunk(raft, msg);
        return ST_OK;
    }
    Buf_Append(&incoming->data, msg->data, msg->len);
    if (incoming->data.len < incoming->total) {
        ask_chunk(raft, msg);
        return ST_OK;
    }
    if (XXH64(incoming->total > 0 ? incoming->data.data : "",
              incoming->data.len, 0) != incoming->sum) {
        Buf_Clear(&incoming->data);
        incoming->index = 0;
        return ST_CORRUPT;
    }
    install_incoming(raft);
    acknowledge(raft, msg, msg->index);
    return ST_OK;
}
