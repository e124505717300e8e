#include "raft_core.h"

#include <stdlib.h>
#include <xxhash.h>

/* A probe or chunk without an answer is repeated after this many answered
 * heartbeats; the first may have crossed it on the way. */
#define STALLS_BEFORE_REPEAT 2

void
RaftCore_Lead(Raft *raft)
{
    RaftEntry noop = {0, raft->term, RAFT_NOOP, NULL, 0};
    uint64_t last = RaftLog_Last(&raft->log);
    size_t i;

    raft->role = RAFT_LEADER;
    raft->leader = raft->options.identity;
    raft->heartbeat_due_ms = raft->now_ms;
    for (i = 0; i < raft->peer_count; i++) {
        RaftPeer *peer = &raft->peers[i];

        peer->mode = RAFT_PROBE;
        peer->match = 0;
        peer->next = last + 1;
        peer->commit_sent = 0;
        peer->waiting = false;
        peer->inflight_count = 0;
        peer->acked_round = 0;
        peer->transfer_index = 0;
        peer->heard_ms = raft->now_ms;
    }
    /* Entries of older terms commit only together with one of this term. */
    noop.index = last + 1;
    raft->term_start = noop.index;
    RaftLog_Append(&raft->log, &noop);
}

static int
descending(const void *a, const void *b)
{
    const uint64_t *x = a;
    const uint64_t *y = b;

    return (*x < *y) - (*x > *y);
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
    if (raft->self_voter) {
        matches[count++] = raft->persisted;
    }
    for (i = 0; i < raft->peer_count; i++) {
        if (raft->peers[i].voter) {
            matches[count++] = raft->peers[i].match;
        }
    }
    if (count < RaftCore_Quorum(raft)) {
        return;
    }
    qsort(matches, count, sizeof(matches[0]), descending);
    index = matches[RaftCore_Quorum(raft) - 1];
    if (index > raft->commit &&
        RaftLog_Term(&raft->log, index) == raft->term) {
        raft->commit = index;
    }
    if (raft->commit >= raft->term_start) {
        raft->confirmed = raft->commit;
    }
    /* A leader that removed itself leads until that is committed. */
    if (!raft->self_voter && raft->commit >= raft->members_index) {
        RaftCore_Follow(raft, raft->term, 0);
    }
}

static void
send_heartbeats(Raft *raft)
{
    size_t i;

    raft->heartbeat_due_ms = raft->now_ms + raft->options.heartbeat_ms;
    for (i = 0; i < raft->peer_count; i++) {
        RaftMsg *msg = RaftCore_Message(raft, RAFT_MSG_HEARTBEAT,
                                        raft->peers[i].identity);

        msg->index = raft->term_start;
        msg->commit = raft->commit;
        msg->context = raft->round;
        RaftCore_Send(raft, msg);
    }
}

void
RaftCore_LeaderTick(Raft *raft)
{
    size_t heard = raft->self_voter;
    size_t i;

    for (i = 0; i < raft->peer_count; i++) {
        heard +=
            raft->peers[i].voter &&
            raft->now_ms - raft->peers[i].heard_ms < raft->options.election_ms;
    }
    if (heard < RaftCore_Quorum(raft)) {
        RaftCore_Follow(raft, raft->term, 0);
        return;
    }
    if (raft->now_ms >= raft->heartbeat_due_ms) {
        send_heartbeats(raft);
    }
}

static void
send_chunk(Raft *raft, RaftPeer *peer)
{
    const RaftSnapshotData *snapshot = &raft->snapshot;
    RaftMsg *msg;
    uint64_t left;

    if (peer->mode != RAFT_TRANSFER ||
        peer->transfer_index != snapshot->index) {
        peer->mode = RAFT_TRANSFER;
        peer->transfer_index = snapshot->index;
        peer->transfer_offset = 0;
        peer->waiting = false;
        peer->inflight_count = 0;
    }
    if (peer->waiting) {
        return;
    }
    left = snapshot->data.len - peer->transfer_offset;
    msg = RaftCore_Message(raft, RAFT_MSG_SNAPSHOT, peer->identity);
    msg->index = snapshot->index;
    msg->log_term = snapshot->term;
    msg->commit = raft->commit;
    msg->members = snapshot->members;
    msg->total = snapshot->data.len;
    msg->offset = peer->transfer_offset;
    msg->sum = snapshot->sum;
    msg->len = left < raft->options.chunk_bytes ? (size_t)left
                                                : raft->options.chunk_bytes;
    msg->data =
        msg->len > 0 ? snapshot->data.data + peer->transfer_offset : NULL;
    RaftCore_Send(raft, msg);
    peer->waiting = true;
    peer->stalls = 0;
}

/* Fills in the entries from next on that fit into one message. */
static void
add_entries(const Raft *raft, uint64_t next, RaftMsg *msg)
{
    size_t bytes = 0;

    msg->entry_count = 0;
    while (msg->entry_count < RAFT_MAX_BATCH) {
        const RaftEntry *entry =
            RaftLog_Entry(&raft->log, next + msg->entry_count);

        if (entry == NULL ||
            (msg->entry_count > 0 &&
             bytes + entry->len > raft->options.max_batch_bytes)) {
            return;
        }
        bytes += entry->len;
        msg->entries[msg->entry_count++] = *entry;
    }
}

/* Sends one append message if the peer's state allows it. Returns false when
 * there is nothing more to send now. */
static bool
send_append(Raft *raft, RaftPeer *peer, bool force)
{
    RaftMsg *msg;

    if (peer->next <= raft->log.base_index) {
        send_chunk(raft, peer);
        return false;
    }
    if (peer->mode == RAFT_TRANSFER) {
        peer->mode = RAFT_PROBE;
        peer->waiting = false;
    }
    if ((peer->mode == RAFT_PROBE && peer->waiting) ||
        peer->inflight_count >= raft->options.max_inflight) {
        return false;
    }
    if (!force && peer->mode == RAFT_STREAM &&
        peer->next > RaftLog_Last(&raft->log) &&
        peer->commit_sent >= raft->commit) {
        return false;
    }
    msg = RaftCore_Message(raft, RAFT_MSG_APPEND, peer->identity);
    msg->index = peer->next - 1;
    msg->log_term = RaftLog_Term(&raft->log, msg->index);
    msg->commit = raft->commit;
    add_entries(raft, peer->next, msg);
    RaftCore_Send(raft, msg);
    peer->commit_sent = raft->commit;
    if (peer->mode == RAFT_PROBE) {
        peer->waiting = true;
        peer->stalls = 0;
    }
    else if (msg->entry_count > 0) {
        peer->next += msg->entry_count;
        peer->inflight[peer->inflight_count++] = peer->next - 1;
        return true;
    }
    return false;
}

static void
finish_reads(Raft *raft)
{
    size_t done = 0;
    size_t i;

    while (done < raft->waiting_count && raft->read_count < RAFT_MAX_READS) {
        RaftWaitingRead *read = &raft->waiting[done];
        size_t acks = raft->self_voter;

        for (i = 0; i < raft->peer_count; i++) {
            acks += raft->peers[i].voter &&
                    raft->peers[i].acked_round >= read->round;
        }
        if (acks < RaftCore_Quorum(raft) || read->round > raft->round) {
            break;
        }
        raft->reads[raft->read_count].cookie = read->cookie;
        raft->reads[raft->read_count].index = read->index;
        raft->reads[raft->read_count].ok = true;
        raft->read_count++;
        done++;
    }
    for (i = done; i < raft->waiting_count; i++) {
        raft->waiting[i - done] = raft->waiting[i];
    }
    raft->waiting_count -= done;
}

void
RaftCore_FillOutbox(Raft *raft)
{
    size_t i;

    if (raft->role != RAFT_LEADER) {
        return;
    }
    if (raft->waiting_count > 0 &&
        raft->waiting[raft->waiting_count - 1].round > raft->round) {
        raft->round++;
        send_heartbeats(raft);
    }
    finish_reads(raft);
    for (i = 0; i < raft->peer_count; i++) {
        while (send_append(raft, &raft->peers[i], false)) {
        }
    }
}

void
RaftCore_DropReads(Raft *raft)
{
    size_t i;

    for (i = 0; i < raft->waiting_count; i++) {
        if (raft->read_count == RAFT_MAX_READS) {
            break; /* not reached: Raft_ReadIndex counts both lists */
        }
        raft->reads[raft->read_count].cookie = raft->waiting[i].cookie;
        raft->reads[raft->read_count].index = 0;
        raft->reads[raft->read_count].ok = false;
        raft->read_count++;
    }
    raft->waiting_count = 0;
}

static void
on_refusal(Raft *raft, RaftPeer *peer, const RaftMsg *msg)
{
    uint64_t hint = msg->hint_index;

    /* Late refusals say nothing about what was sent since. */
    if (msg->index <= peer->match ||
        (peer->mode == RAFT_PROBE && msg->index != peer->next - 1) ||
        peer->mode == RAFT_TRANSFER) {
        return;
    }
    if (hint > msg->index) {
        hint = msg->index;
    }
    while (hint > peer->match && hint > raft->log.base_index &&
           RaftLog_Term(&raft->log, hint) > msg->hint_term) {
        hint--;
    }
    peer->next = (hint > peer->match ? hint : peer->match) + 1;
    peer->mode = RAFT_PROBE;
    peer->waiting = false;
    peer->inflight_count = 0;
}

void
RaftCore_OnAppendReply(Raft *raft, const RaftMsg *msg)
{
    RaftPeer *peer = RaftCore_Peer(raft, msg->from);
    size_t done = 0;
    size_t i;

    if (raft->role != RAFT_LEADER || peer == NULL) {
        return;
    }
    peer->heard_ms = raft->now_ms;
    if (msg->reject) {
        on_refusal(raft, peer, msg);
        return;
    }
    if (msg->index > RaftLog_Last(&raft->log)) {
        return; /* never by an honest peer */
    }
    if (msg->index > peer->match) {
        peer->match = msg->index;
    }
    if (peer->next <= peer->match) {
        peer->next = peer->match + 1;
    }
    if (peer->mode == RAFT_PROBE ||
        (peer->mode == RAFT_TRANSFER && peer->next > raft->log.base_index)) {
        peer->mode = RAFT_STREAM;
        peer->next = peer->match + 1;
        peer->waiting = false;
    }
    while (done < peer->inflight_count && peer->inflight[done] <= msg->index) {
        done++;
    }
    for (i = done; i < peer->inflight_count; i++) {
        peer->inflight[i - done] = peer->inflight[i];
    }
    peer->inflight_count -= done;
    RaftCore_AdvanceCommit(raft);
}

void
RaftCore_OnHeartbeatReply(Raft *raft, const RaftMsg *msg)
{
    RaftPeer *peer = RaftCore_Peer(raft, msg->from);

    if (raft->role != RAFT_LEADER || peer == NULL) {
        return;
    }
    peer->heard_ms = raft->now_ms;
    if (msg->context > peer->acked_round && msg->context <= raft->round) {
        peer->acked_round = msg->context;
    }
    if (peer->waiting && ++peer->stalls >= STALLS_BEFORE_REPEAT) {
        peer->waiting = false;
    }
    /* An append message may have been lost; the next one shows it. */
    if (peer->mode == RAFT_STREAM && peer->match < RaftLog_Last(&raft->log)) {
        if (peer->inflight_count >= raft->options.max_inflight) {
            peer->inflight_count--;
        }
        send_append(raft, peer, true);
    }
    /* A voter that restarted has its entries on disk, and does not commit them
     * before an append message of this term has matched them. */
    else if (peer->mode == RAFT_STREAM && msg->index < raft->commit) {
        send_append(raft, peer, true);
    }
}

void
RaftCore_OnSnapshotReply(Raft *raft, const RaftMsg *msg)
{
    RaftPeer *peer = RaftCore_Peer(raft, msg->from);

    if (raft->role != RAFT_LEADER || peer == NULL) {
        return;
    }
    peer->heard_ms = raft->now_ms;
    if (peer->mode == RAFT_TRANSFER && peer->transfer_index == msg->index &&
        raft->snapshot.index == msg->index &&
        msg->context < raft->snapshot.data.len) {
        peer->transfer_offset = msg->context;
        peer->waiting = false;
    }
}
