#include "raft_core.h"

#include <stdlib.h>
#include <xxhash.h>

/* Number of heartbeat replies after which an unanswered probe or snapshot
 * chunk is resent. The first reply may answer a heartbeat sent before the
 * probe or chunk. */
#define RESEND_AFTER_HEARTBEAT_REPLIES 2

void
RaftCore_BecomeLeader(Raft *raft)
{
    RaftEntry noop = {0, raft->term, RAFT_ENTRY_NOOP, NULL, 0};
    uint64_t last = RaftLog_GetLastIndex(&raft->log);
    size_t i;

    RaftCore_RecordElectionEnd(raft, RAFT_ELECTION_WON);
    raft->role = RAFT_LEADER;
    raft->leader = raft->options.identity;
    raft->heartbeat_due_ms = raft->now_ms;
    for (i = 0; i < raft->peer_count; i++) {
        RaftPeer *peer = &raft->peers[i];

        peer->mode = RAFT_PEER_PROBE;
        peer->match_index = 0;
        peer->next_index = last + 1;
        peer->sent_commit_index = 0;
        peer->awaiting_reply = false;
        peer->inflight_count = 0;
        peer->acked_read_round = 0;
        peer->snapshot_index = 0;
        peer->last_contact_ms = raft->now_ms;
    }
    /* Entries of older terms are committed only together with an entry of the
     * leader's own term. */
    noop.index = last + 1;
    raft->term_start_index = noop.index;
    RaftLog_Append(&raft->log, &noop);
    raft->age_mark_index = noop.index;
    raft->age_mark_ms = raft->now_ms;
}

static int
compare_descending(const void *a, const void *b)
{
    const uint64_t *x = a;
    const uint64_t *y = b;

    return (*x < *y) - (*x > *y);
}

/* The entries up to the mark were in the log when it was set. Until the mark
 * is committed, the oldest uncommitted entry is thus at least as old. */
static void
update_age_mark(Raft *raft)
{
    if (raft->age_mark_index <= raft->commit_index) {
        raft->age_mark_index = RaftLog_GetLastIndex(&raft->log);
        raft->age_mark_ms = raft->now_ms;
    }
}

void
RaftCore_AdvanceCommit(Raft *raft)
{
    uint64_t matches[RAFT_MAX_MEMBERS + 1];
    size_t count = 0;
    size_t i;
    uint64_t index;

    if (raft->role != RAFT_LEADER) {
        return;
    }
    if (raft->self_is_voter) {
        matches[count++] = raft->persisted_index;
    }
    for (i = 0; i < raft->peer_count; i++) {
        if (raft->peers[i].voter) {
            matches[count++] = raft->peers[i].match_index;
        }
    }
    if (count < RaftCore_GetQuorum(raft)) {
        return;
    }
    qsort(matches, count, sizeof(matches[0]), compare_descending);
    index = matches[RaftCore_GetQuorum(raft) - 1];
    if (index > raft->commit_index &&
        RaftLog_GetTerm(&raft->log, index) == raft->term) {
        raft->commit_index = index;
        update_age_mark(raft);
    }
    if (raft->commit_index >= raft->term_start_index) {
        raft->confirmed_commit_index = raft->commit_index;
    }
    /* A leader that removes itself leads until the change is committed. */
    if (!raft->self_is_voter && raft->commit_index >= raft->members_index) {
        RaftCore_BecomeFollower(raft, raft->term, 0);
    }
}

static void
send_heartbeats(Raft *raft)
{
    size_t i;

    raft->heartbeat_due_ms = raft->now_ms + raft->options.heartbeat_ms;
    for (i = 0; i < raft->peer_count; i++) {
        RaftMsg *msg = RaftCore_InitMessage(raft, RAFT_MSG_HEARTBEAT,
                                            raft->peers[i].identity);

        msg->index = raft->term_start_index;
        msg->commit_index = raft->commit_index;
        msg->context = raft->read_round;
        RaftCore_QueueMessage(raft, msg);
    }
}

void
RaftCore_TickLeader(Raft *raft)
{
    size_t active = raft->self_is_voter;
    size_t i;

    update_age_mark(raft);
    for (i = 0; i < raft->peer_count; i++) {
        active += raft->peers[i].voter &&
                  raft->now_ms - raft->peers[i].last_contact_ms <
                      raft->options.election_ms;
    }
    if (active < RaftCore_GetQuorum(raft)) {
        RaftCore_BecomeFollower(raft, raft->term, 0);
        return;
    }
    if (raft->now_ms >= raft->heartbeat_due_ms) {
        send_heartbeats(raft);
    }
}

static void
send_snapshot_chunk(Raft *raft, RaftPeer *peer)
{
    const RaftSnapshotData *snapshot = &raft->snapshot;
    RaftMsg *msg;
    uint64_t remaining;

    if (peer->mode != RAFT_PEER_SNAPSHOT ||
        peer->snapshot_index != snapshot->index) {
        peer->mode = RAFT_PEER_SNAPSHOT;
        peer->snapshot_index = snapshot->index;
        peer->snapshot_offset = 0;
        peer->awaiting_reply = false;
        peer->inflight_count = 0;
    }
    if (peer->awaiting_reply) {
        return;
    }
    remaining = snapshot->data.len - peer->snapshot_offset;
    msg =
        RaftCore_InitMessage(raft, RAFT_MSG_INSTALL_SNAPSHOT, peer->identity);
    msg->index = snapshot->index;
    msg->log_term = snapshot->term;
    msg->commit_index = raft->commit_index;
    msg->members = snapshot->members;
    msg->total = snapshot->data.len;
    msg->offset = peer->snapshot_offset;
    msg->checksum = snapshot->checksum;
    msg->len = remaining < raft->options.snapshot_chunk_bytes
                   ? (size_t)remaining
                   : raft->options.snapshot_chunk_bytes;
    msg->data =
        msg->len > 0 ? snapshot->data.data + peer->snapshot_offset : NULL;
    RaftCore_QueueMessage(raft, msg);
    peer->awaiting_reply = true;
    peer->heartbeat_replies = 0;
}

/* Adds the entries from next on that fit into one message. */
static void
fill_entries(const Raft *raft, uint64_t next, RaftMsg *msg)
{
    size_t bytes = 0;

    msg->entry_count = 0;
    while (msg->entry_count < RAFT_MAX_BATCH_ENTRIES) {
        const RaftEntry *entry =
            RaftLog_GetEntry(&raft->log, next + msg->entry_count);

        if (entry == NULL ||
            (msg->entry_count > 0 &&
             bytes + entry->len > raft->options.max_batch_bytes)) {
            return;
        }
        bytes += entry->len;
        msg->entries[msg->entry_count++] = *entry;
    }
}

/* Sends one AppendEntries message or snapshot chunk if the peer's mode allows
 * it. force sends an AppendEntries message even if there is nothing new.
 * Returns whether more can be sent now. */
static bool
send_append(Raft *raft, RaftPeer *peer, bool force)
{
    RaftMsg *msg;

    if (peer->next_index <= raft->log.base_index) {
        send_snapshot_chunk(raft, peer);
        return false;
    }
    if (peer->mode == RAFT_PEER_SNAPSHOT) {
        peer->mode = RAFT_PEER_PROBE;
        peer->awaiting_reply = false;
    }
    if ((peer->mode == RAFT_PEER_PROBE && peer->awaiting_reply) ||
        peer->inflight_count >= raft->options.max_inflight_messages) {
        return false;
    }
    if (!force && peer->mode == RAFT_PEER_PIPELINE &&
        peer->next_index > RaftLog_GetLastIndex(&raft->log) &&
        peer->sent_commit_index >= raft->commit_index) {
        return false;
    }
    msg = RaftCore_InitMessage(raft, RAFT_MSG_APPEND_ENTRIES, peer->identity);
    msg->index = peer->next_index - 1;
    msg->log_term = RaftLog_GetTerm(&raft->log, msg->index);
    msg->commit_index = raft->commit_index;
    fill_entries(raft, peer->next_index, msg);
    RaftCore_QueueMessage(raft, msg);
    peer->sent_commit_index = raft->commit_index;
    if (peer->mode == RAFT_PEER_PROBE) {
        peer->awaiting_reply = true;
        peer->heartbeat_replies = 0;
    }
    else if (msg->entry_count > 0) {
        peer->next_index += msg->entry_count;
        peer->inflight[peer->inflight_count++] = peer->next_index - 1;
        return true;
    }
    return false;
}

static void
complete_reads(Raft *raft)
{
    size_t completed_count = 0;
    size_t i;

    while (completed_count < raft->pending_read_count &&
           raft->completed_read_count < RAFT_MAX_READS) {
        RaftPendingRead *read = &raft->pending_reads[completed_count];
        size_t acks = raft->self_is_voter;

        for (i = 0; i < raft->peer_count; i++) {
            acks += raft->peers[i].voter &&
                    raft->peers[i].acked_read_round >= read->read_round;
        }
        if (acks < RaftCore_GetQuorum(raft) ||
            read->read_round > raft->read_round) {
            break;
        }
        raft->completed_reads[raft->completed_read_count].cookie =
            read->cookie;
        raft->completed_reads[raft->completed_read_count].index = read->index;
        raft->completed_reads[raft->completed_read_count].ok = true;
        raft->completed_read_count++;
        completed_count++;
    }
    for (i = completed_count; i < raft->pending_read_count; i++) {
        raft->pending_reads[i - completed_count] = raft->pending_reads[i];
    }
    raft->pending_read_count -= completed_count;
}

void
RaftCore_QueueLeaderMessages(Raft *raft)
{
    size_t i;

    if (raft->role != RAFT_LEADER) {
        return;
    }
    if (raft->pending_read_count > 0 &&
        raft->pending_reads[raft->pending_read_count - 1].read_round >
            raft->read_round) {
        raft->read_round++;
        send_heartbeats(raft);
    }
    complete_reads(raft);
    for (i = 0; i < raft->peer_count; i++) {
        while (send_append(raft, &raft->peers[i], false)) {
        }
    }
}

void
RaftCore_FailReads(Raft *raft)
{
    size_t i;

    for (i = 0; i < raft->pending_read_count; i++) {
        if (raft->completed_read_count == RAFT_MAX_READS) {
            break; /* unreachable: Raft_ReadIndex limits all reads */
        }
        raft->completed_reads[raft->completed_read_count].cookie =
            raft->pending_reads[i].cookie;
        raft->completed_reads[raft->completed_read_count].index = 0;
        raft->completed_reads[raft->completed_read_count].ok = false;
        raft->completed_read_count++;
    }
    raft->pending_read_count = 0;
}

static void
handle_append_rejection(Raft *raft, RaftPeer *peer, const RaftMsg *msg)
{
    uint64_t hint = msg->hint_index;

    /* A stale rejection says nothing about messages sent since. */
    if (msg->index <= peer->match_index ||
        (peer->mode == RAFT_PEER_PROBE &&
         msg->index != peer->next_index - 1) ||
        peer->mode == RAFT_PEER_SNAPSHOT) {
        return;
    }
    if (hint > msg->index) {
        hint = msg->index;
    }
    while (hint > peer->match_index && hint > raft->log.base_index &&
           RaftLog_GetTerm(&raft->log, hint) > msg->hint_term) {
        hint--;
    }
    peer->next_index =
        (hint > peer->match_index ? hint : peer->match_index) + 1;
    peer->mode = RAFT_PEER_PROBE;
    peer->awaiting_reply = false;
    peer->inflight_count = 0;
}

void
RaftCore_HandleAppendReply(Raft *raft, const RaftMsg *msg)
{
    RaftPeer *peer = RaftCore_FindPeer(raft, msg->from);
    size_t acked_count = 0;
    size_t i;

    if (raft->role != RAFT_LEADER || peer == NULL) {
        return;
    }
    peer->last_contact_ms = raft->now_ms;
    if (msg->reject) {
        handle_append_rejection(raft, peer, msg);
        return;
    }
    if (msg->index > RaftLog_GetLastIndex(&raft->log)) {
        return; /* the peer is faulty */
    }
    if (msg->index > peer->match_index) {
        peer->match_index = msg->index;
    }
    if (peer->next_index <= peer->match_index) {
        peer->next_index = peer->match_index + 1;
    }
    if (peer->mode == RAFT_PEER_PROBE ||
        (peer->mode == RAFT_PEER_SNAPSHOT &&
         peer->next_index > raft->log.base_index)) {
        peer->mode = RAFT_PEER_PIPELINE;
        peer->next_index = peer->match_index + 1;
        peer->awaiting_reply = false;
    }
    while (acked_count < peer->inflight_count &&
           peer->inflight[acked_count] <= msg->index) {
        acked_count++;
    }
    for (i = acked_count; i < peer->inflight_count; i++) {
        peer->inflight[i - acked_count] = peer->inflight[i];
    }
    peer->inflight_count -= acked_count;
    RaftCore_AdvanceCommit(raft);
}

void
RaftCore_HandleHeartbeatReply(Raft *raft, const RaftMsg *msg)
{
    RaftPeer *peer = RaftCore_FindPeer(raft, msg->from);

    if (raft->role != RAFT_LEADER || peer == NULL) {
        return;
    }
    peer->last_contact_ms = raft->now_ms;
    if (msg->context > peer->acked_read_round &&
        msg->context <= raft->read_round) {
        peer->acked_read_round = msg->context;
    }
    if (peer->awaiting_reply &&
        ++peer->heartbeat_replies >= RESEND_AFTER_HEARTBEAT_REPLIES) {
        peer->awaiting_reply = false;
    }
    /* An AppendEntries message may have been lost; the peer's reply to another
     * one shows whether it was. */
    if (peer->mode == RAFT_PEER_PIPELINE &&
        peer->match_index < RaftLog_GetLastIndex(&raft->log)) {
        if (peer->inflight_count >= raft->options.max_inflight_messages) {
            peer->inflight_count--;
        }
        send_append(raft, peer, true);
    }
    /* A restarted voter holds the entries, but commits them only after an
     * AppendEntries message of this term has matched them. */
    else if (peer->mode == RAFT_PEER_PIPELINE &&
             msg->index < raft->commit_index) {
        send_append(raft, peer, true);
    }
}

void
RaftCore_HandleSnapshotReply(Raft *raft, const RaftMsg *msg)
{
    RaftPeer *peer = RaftCore_FindPeer(raft, msg->from);

    if (raft->role != RAFT_LEADER || peer == NULL) {
        return;
    }
    peer->last_contact_ms = raft->now_ms;
    if (peer->mode == RAFT_PEER_SNAPSHOT &&
        peer->snapshot_index == msg->index &&
        raft->snapshot.index == msg->index &&
        msg->context < raft->snapshot.data.len) {
        peer->snapshot_offset = msg->context;
        peer->awaiting_reply = false;
    }
}
