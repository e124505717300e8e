#include "raft_core.h"

#include <xxhash.h>

/* Accepts the sender as the leader of the current term. */
static void
accept_leader(Raft *raft, const RaftMsg *msg)
{
    if (raft->role != RAFT_FOLLOWER || raft->leader != msg->from) {
        RaftCore_BecomeFollower(raft, raft->term, msg->from);
    }
    raft->leader_contact_ms = raft->now_ms;
    RaftCore_ResetElectionTimer(raft);
}

static void
send_append_ack(Raft *raft, const RaftMsg *msg, uint64_t index)
{
    RaftMsg *reply =
        RaftCore_InitMessage(raft, RAFT_MSG_APPEND_REPLY, msg->from);

    reply->index = index;
    RaftCore_QueueMessage(raft, reply);
}

/* Rejects an AppendEntries message with a hint at the last entry that can
 * match: the highest one up to the rejected index whose term does not exceed
 * the message's term at that index. */
static void
send_append_rejection(Raft *raft, const RaftMsg *msg)
{
    RaftMsg *reply =
        RaftCore_InitMessage(raft, RAFT_MSG_APPEND_REPLY, msg->from);
    uint64_t last = RaftLog_GetLastIndex(&raft->log);
    uint64_t hint = msg->index < last ? msg->index : last;

    while (hint > raft->commit_index &&
           RaftLog_GetTerm(&raft->log, hint) > msg->log_term) {
        hint--;
    }
    reply->reject = true;
    reply->index = msg->index;
    reply->hint_index = hint;
    reply->hint_term = RaftLog_GetTerm(&raft->log, hint);
    RaftCore_QueueMessage(raft, reply);
}

static void
truncate_conflict(Raft *raft, uint64_t index)
{
    RaftMembers members;

    RaftLog_Truncate(&raft->log, index);
    if (index <= raft->written_index) {
        if (raft->truncate_from == 0 || index < raft->truncate_from) {
            raft->truncate_from = index;
        }
        raft->written_index = index - 1;
    }
    if (index <= raft->persisted_index) {
        raft->persisted_index = index - 1;
    }
    if (raft->members_index >= index) {
        Raft_GetMembersAt(raft, index - 1, &members);
        RaftCore_SetMembers(raft, &members, index - 1);
    }
}

static Status
store_entry(Raft *raft, const RaftEntry *entry)
{
    RaftMembers members;

    if (RaftLog_GetTerm(&raft->log, entry->index) == entry->term) {
        return ST_OK;
    }
    if (entry->kind == RAFT_ENTRY_MEMBERS &&
        (RaftMembers_Decode(entry->data, entry->len, &members, NULL) !=
             ST_OK ||
         RaftMembers_CountVoters(&members) == 0)) {
        return ST_CORRUPT;
    }
    if (entry->index <= RaftLog_GetLastIndex(&raft->log)) {
        if (entry->index <= raft->commit_index) {
            return ST_CORRUPT; /* committed entries never change */
        }
        truncate_conflict(raft, entry->index);
    }
    RaftLog_Append(&raft->log, entry);
    if (entry->kind == RAFT_ENTRY_MEMBERS) {
        RaftCore_SetMembers(raft, &members, entry->index);
    }
    return ST_OK;
}

Status
RaftCore_HandleAppendEntries(Raft *raft, const RaftMsg *msg)
{
    uint64_t last = msg->index + msg->entry_count;
    uint64_t commit = msg->commit_index < last ? msg->commit_index : last;
    size_t i;

    if (raft->role == RAFT_LEADER) {
        return ST_STALE; /* a term has one leader, so the sender is faulty */
    }
    accept_leader(raft, msg);
    if (msg->index < raft->log.base_index) {
        /* Entries up to the base are committed, so they match. */
        send_append_ack(raft, msg, raft->commit_index);
        return ST_OK;
    }
    if (msg->index > RaftLog_GetLastIndex(&raft->log) ||
        RaftLog_GetTerm(&raft->log, msg->index) != msg->log_term) {
        send_append_rejection(raft, msg);
        return ST_OK;
    }
    for (i = 0; i < msg->entry_count; i++) {
        Status status = store_entry(raft, &msg->entries[i]);

        if (status != ST_OK) {
            return status;
        }
    }
    if (last > raft->leader_match_index) {
        raft->leader_match_index = last;
    }
    if (commit > raft->commit_index) {
        raft->commit_index = commit;
    }
    send_append_ack(raft, msg, last);
    return ST_OK;
}

void
RaftCore_HandleHeartbeat(Raft *raft, const RaftMsg *msg)
{
    uint64_t commit = msg->commit_index < raft->leader_match_index
                          ? msg->commit_index
                          : raft->leader_match_index;
    RaftMsg *reply;

    if (raft->role == RAFT_LEADER) {
        return;
    }
    accept_leader(raft, msg);
    if (commit > raft->commit_index) {
        raft->commit_index = commit;
    }
    /* The heartbeat's index is the leader's first entry of its term. */
    if (msg->commit_index >= msg->index &&
        msg->commit_index > raft->confirmed_commit_index) {
        raft->confirmed_commit_index = msg->commit_index;
    }
    reply = RaftCore_InitMessage(raft, RAFT_MSG_HEARTBEAT_REPLY, msg->from);
    reply->context = msg->context;
    reply->index = raft->leader_match_index;
    RaftCore_QueueMessage(raft, reply);
}

static void
request_next_chunk(Raft *raft, const RaftMsg *msg)
{
    RaftMsg *reply =
        RaftCore_InitMessage(raft, RAFT_MSG_SNAPSHOT_REPLY, msg->from);

    reply->index = msg->index;
    reply->context = raft->incoming.data.len;
    RaftCore_QueueMessage(raft, reply);
}

static void
install_incoming_snapshot(Raft *raft)
{
    RaftSnapshotData old = raft->snapshot;

    raft->snapshot = raft->incoming;
    raft->incoming = old;
    raft->incoming.index = 0;
    Buf_Free(&raft->incoming.data);
    RaftLog_Reset(&raft->log, raft->snapshot.index, raft->snapshot.term);
    raft->commit_index = raft->snapshot.index;
    raft->leader_match_index = raft->snapshot.index;
    raft->persisted_index = raft->snapshot.index;
    raft->written_index = raft->snapshot.index;
    raft->install_snapshot = true;
    RaftCore_SetMembers(raft, &raft->snapshot.members, raft->snapshot.index);
}

static void
begin_incoming_snapshot(Raft *raft, const RaftMsg *msg)
{
    RaftSnapshotData *incoming = &raft->incoming;

    if (incoming->index == msg->index && incoming->term == msg->log_term &&
        incoming->total == msg->total && incoming->checksum == msg->checksum) {
        return;
    }
    incoming->index = msg->index;
    incoming->term = msg->log_term;
    incoming->members = msg->members;
    incoming->total = msg->total;
    incoming->checksum = msg->checksum;
    Buf_Clear(&incoming->data);
    Buf_Reserve(&incoming->data, incoming->total);
}

Status
RaftCore_HandleInstallSnapshot(Raft *raft, const RaftMsg *msg)
{
    RaftSnapshotData *incoming = &raft->incoming;

    if (raft->role == RAFT_LEADER || msg->total > RAFT_MAX_SNAPSHOT_BYTES) {
        return ST_INVALID;
    }
    accept_leader(raft, msg);
    if (msg->index <= raft->commit_index) {
        send_append_ack(raft, msg, raft->commit_index);
        return ST_OK;
    }
    if (RaftLog_GetTerm(&raft->log, msg->index) == msg->log_term) {
        /* The log already holds all entries that the snapshot covers. */
        raft->commit_index = msg->index;
        if (raft->leader_match_index < msg->index) {
            raft->leader_match_index = msg->index;
        }
        send_append_ack(raft, msg, msg->index);
        return ST_OK;
    }
    begin_incoming_snapshot(raft, msg);
    if (msg->offset != incoming->data.len) {
        request_next_chunk(raft, msg);
        return ST_OK;
    }
    Buf_Append(&incoming->data, msg->data, msg->len);
    if (incoming->data.len < incoming->total) {
        request_next_chunk(raft, msg);
        return ST_OK;
    }
    if (XXH64(incoming->total > 0 ? incoming->data.data : "",
              incoming->data.len, 0) != incoming->checksum) {
        Buf_Clear(&incoming->data);
        incoming->index = 0;
        return ST_CORRUPT;
    }
    install_incoming_snapshot(raft);
    send_append_ack(raft, msg, msg->index);
    return ST_OK;
}
