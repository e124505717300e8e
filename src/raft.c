#include "raft_core.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "mem.h"

size_t
RaftCore_GetQuorum(const Raft *raft)
{
    return RaftMembers_CountVoters(&raft->members) / 2 + 1;
}

RaftPeer *
RaftCore_FindPeer(Raft *raft, uint64_t identity)
{
    size_t i;

    for (i = 0; i < raft->peer_count; i++) {
        if (raft->peers[i].identity == identity) {
            return &raft->peers[i];
        }
    }
    return NULL;
}

RaftMsg *
RaftCore_InitMessage(Raft *raft, RaftMsgType type, uint64_t to)
{
    RaftMsg *msg = &raft->scratch_message;

    /* Entries and members beyond their counts are never read, so the arrays
     * are not cleared. */
    msg->type = type;
    msg->cluster = raft->cluster;
    msg->from = raft->options.identity;
    msg->to = to;
    msg->term = raft->term;
    msg->index = msg->log_term = msg->commit_index = msg->context = 0;
    msg->reject = false;
    msg->hint_index = msg->hint_term = 0;
    msg->entry_count = 0;
    msg->members.count = 0;
    msg->total = msg->offset = msg->checksum = 0;
    msg->data = NULL;
    msg->len = 0;
    return msg;
}

/* Returns whether messages of this type may be sent before the pending sync. A
 * leader's messages depend only on its vote, which is durable before it leads,
 * and a heartbeat reply acknowledges no entries, only that the term was
 * known. */
static bool
may_precede_sync(RaftMsgType type)
{
    return type == RAFT_MSG_APPEND_ENTRIES || type == RAFT_MSG_HEARTBEAT ||
           type == RAFT_MSG_INSTALL_SNAPSHOT ||
           type == RAFT_MSG_HEARTBEAT_REPLY;
}

void
RaftCore_QueueMessage(Raft *raft, const RaftMsg *msg)
{
    RaftOutMessage *out;

    if (raft->message_count == raft->message_capacity) {
        size_t capacity =
            raft->message_capacity ? raft->message_capacity * 2 : 16;

        out = Mem_Resize(raft->messages, capacity * sizeof(*out));
        raft->messages = out;
        raft->message_capacity = capacity;
    }
    out = &raft->messages[raft->message_count++];
    memset(out, 0, sizeof(*out));
    out->to = msg->to;
    out->may_precede_sync = may_precede_sync(msg->type);
    RaftMsg_Encode(msg, &out->bytes);
}

void
RaftCore_BecomeFollower(Raft *raft, uint64_t term, uint64_t leader)
{
    if (raft->role == RAFT_LEADER) {
        RaftCore_FailReads(raft);
    }
    RaftCore_RecordElectionEnd(raft, RAFT_ELECTION_SUPERSEDED);
    if (term != raft->term) {
        raft->term = term;
        raft->vote = 0;
        raft->hard_state_changed = true;
        raft->leader_match_index = raft->commit_index;
        raft->confirmed_commit_index = 0;
    }
    raft->role = RAFT_FOLLOWER;
    raft->leader = leader;
    RaftCore_ResetElectionTimer(raft);
}

void
RaftCore_SetMembers(Raft *raft, const RaftMembers *members, uint64_t index)
{
    RaftPeer *peers = Mem_New(RAFT_MAX_MEMBERS, sizeof(*peers));
    size_t count = 0;
    size_t i;

    raft->members = *members;
    raft->members_index = index;
    raft->self_is_voter = false;
    for (i = 0; i < members->count; i++) {
        const RaftMember *member = &members->list[i];
        const RaftPeer *old = RaftCore_FindConstPeer(raft, member->identity);

        if (member->identity == raft->options.identity) {
            raft->self_is_voter = member->voter;
            continue;
        }
        if (old != NULL) {
            peers[count] = *old;
        }
        else {
            peers[count].identity = member->identity;
            peers[count].next_index = RaftLog_GetLastIndex(&raft->log) + 1;
            peers[count].last_contact_ms = raft->now_ms;
        }
        peers[count++].voter = member->voter;
    }
    memcpy(raft->peers, peers, sizeof(raft->peers));
    raft->peer_count = count;
    free(peers);
    if (!raft->self_is_voter &&
        (raft->role == RAFT_PRECANDIDATE || raft->role == RAFT_CANDIDATE)) {
        RaftCore_BecomeFollower(raft, raft->term, 0);
    }
}

static Status
load_recovered_state(Raft *raft, const RaftOptions *options, ErrCtx *err)
{
    RaftMembers members;
    uint64_t last;
    size_t i;

    if (options->snapshot_members != NULL) {
        raft->snapshot.members = *options->snapshot_members;
    }
    raft->snapshot.index = options->snapshot_index;
    raft->snapshot.term = options->snapshot_term;
    Buf_Append(&raft->snapshot.data, options->snapshot, options->snapshot_len);
    raft->snapshot.checksum =
        XXH64(options->snapshot_len > 0 ? options->snapshot : "",
              options->snapshot_len, 0);
    RaftLog_Reset(&raft->log, options->base_index, options->base_term);
    for (i = 0; i < options->entry_count; i++) {
        const RaftEntry *entry = &options->entries[i];

        if (entry->kind == RAFT_ENTRY_MEMBERS &&
            (RaftMembers_Decode(entry->data, entry->len, &members, err) !=
                 ST_OK ||
             RaftMembers_CountVoters(&members) == 0)) {
            return Err_Set(err, ST_CORRUPT,
                           "entry %llu holds a malformed member list",
                           (unsigned long long)entry->index);
        }
        RaftLog_Append(&raft->log, entry);
    }
    last = RaftLog_GetLastIndex(&raft->log);
    raft->commit_index = raft->snapshot.index;
    raft->applied_index = raft->snapshot.index;
    raft->leader_match_index = raft->snapshot.index;
    raft->persisted_index = last;
    raft->written_index = last;
    Raft_GetMembersAt(raft, last, &members);
    RaftCore_SetMembers(raft, &members, last);
    return ST_OK;
}

Status
Raft_New(const RaftOptions *options, Raft **result, ErrCtx *err)
{
    Raft *raft;
    Status status;

    if (options->identity == 0 || options->election_ms <= 0 ||
        options->heartbeat_ms <= 0 ||
        options->heartbeat_ms * 2 > options->election_ms ||
        options->max_inflight_messages == 0 ||
        options->max_inflight_messages > RAFT_MAX_INFLIGHT_MESSAGES ||
        options->snapshot_chunk_bytes == 0) {
        return Err_Set(err, ST_INVALID, "raft options are out of bounds");
    }
    raft = calloc(1, sizeof(*raft));
    if (raft == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "out of memory");
    }
    raft->options = *options;
    raft->options.entries = NULL;
    raft->options.snapshot = NULL;
    raft->options.snapshot_members = NULL;
    raft->now_ms = options->now_ms;
    raft->cluster = options->cluster;
    raft->term = options->term;
    raft->vote = options->vote;
    Rng_Seed(&raft->rng, options->seed);
    status = load_recovered_state(raft, options, err);
    if (status != ST_OK) {
        Raft_Free(raft);
        return status;
    }
    RaftCore_ResetElectionTimer(raft);
    *result = raft;
    return ST_OK;
}

void
Raft_Free(Raft *raft)
{
    if (raft == NULL) {
        return;
    }
    raft->ready_message_count = raft->message_count;
    Raft_DropOutput(raft);
    free(raft->messages);
    RaftLog_Free(&raft->log);
    Buf_Free(&raft->snapshot.data);
    Buf_Free(&raft->incoming.data);
    free(raft);
}

void
Raft_StepDown(Raft *raft)
{
    RaftCore_BecomeFollower(raft, raft->term, 0);
}

Status
Raft_TransferLeadership(Raft *raft)
{
    const RaftPeer *best = NULL;
    bool has_voter = false;
    size_t i;

    if (raft->role != RAFT_LEADER) {
        return ST_NOT_LEADER;
    }
    for (i = 0; i < raft->peer_count; i++) {
        const RaftPeer *peer = &raft->peers[i];
        has_voter = has_voter || peer->voter;
        if (peer->voter &&
            peer->match_index == RaftLog_GetLastIndex(&raft->log) &&
            (best == NULL || peer->last_contact_ms > best->last_contact_ms)) {
            best = peer;
        }
    }
    if (best == NULL) {
        return has_voter ? ST_AGAIN : ST_NOT_FOUND;
    }
    RaftCore_QueueMessage(
        raft,
        RaftCore_InitMessage(raft, RAFT_MSG_TIMEOUT_NOW, best->identity));
    return ST_OK;
}

void
Raft_Tick(Raft *raft, int64_t now_ms)
{
    raft->now_ms = now_ms;
    if (raft->role == RAFT_LEADER) {
        RaftCore_TickLeader(raft);
    }
    else if (now_ms >= raft->election_due_ms) {
        if (raft->self_is_voter) {
            RaftCore_StartPreVote(raft);
        }
        else {
            raft->leader = 0;
            RaftCore_ResetElectionTimer(raft);
        }
    }
}

static void
reject_stale_term(Raft *raft, const RaftMsg *msg)
{
    RaftMsg *reply;

    if (msg->type == RAFT_MSG_APPEND_ENTRIES ||
        msg->type == RAFT_MSG_HEARTBEAT ||
        msg->type == RAFT_MSG_INSTALL_SNAPSHOT) {
        /* The newer term makes a leader that was paused step down. */
        reply = RaftCore_InitMessage(raft, RAFT_MSG_APPEND_REPLY, msg->from);
    }
    else if (msg->type == RAFT_MSG_REQUEST_PREVOTE) {
        reply = RaftCore_InitMessage(raft, RAFT_MSG_PREVOTE_REPLY, msg->from);
    }
    else if (msg->type == RAFT_MSG_REQUEST_VOTE) {
        reply = RaftCore_InitMessage(raft, RAFT_MSG_VOTE_REPLY, msg->from);
    }
    else {
        return;
    }
    if (reply->type != RAFT_MSG_APPEND_REPLY) {
        RaftCore_RecordVoteAnswer(raft, msg, RAFT_VERDICT_STALE_TERM);
    }
    reply->reject = true;
    reply->index = msg->index;
    RaftCore_QueueMessage(raft, reply);
}

static Status
dispatch_message(Raft *raft, const RaftMsg *msg)
{
    switch (msg->type) {
    case RAFT_MSG_REQUEST_PREVOTE:
    case RAFT_MSG_REQUEST_VOTE:
        RaftCore_HandleVoteRequest(raft, msg);
        return ST_OK;
    case RAFT_MSG_PREVOTE_REPLY:
    case RAFT_MSG_VOTE_REPLY:
        RaftCore_HandleVoteReply(raft, msg);
        return ST_OK;
    case RAFT_MSG_APPEND_ENTRIES:
        return RaftCore_HandleAppendEntries(raft, msg);
    case RAFT_MSG_APPEND_REPLY:
        RaftCore_HandleAppendReply(raft, msg);
        return ST_OK;
    case RAFT_MSG_HEARTBEAT:
        RaftCore_HandleHeartbeat(raft, msg);
        return ST_OK;
    case RAFT_MSG_HEARTBEAT_REPLY:
        RaftCore_HandleHeartbeatReply(raft, msg);
        return ST_OK;
    case RAFT_MSG_INSTALL_SNAPSHOT:
        return RaftCore_HandleInstallSnapshot(raft, msg);
    case RAFT_MSG_SNAPSHOT_REPLY:
        RaftCore_HandleSnapshotReply(raft, msg);
        return ST_OK;
    case RAFT_MSG_TIMEOUT_NOW:
        RaftCore_HandleTimeoutNow(raft, msg);
        return ST_OK;
    }
    return ST_UNSUPPORTED;
}

/* Accepts only messages of this node's cluster. A node that has not joined one
 * joins the cluster of the first leader that sends it AppendEntries, a
 * heartbeat or a snapshot. Heartbeats must count, because a leader resends a
 * lost first AppendEntries message only after heartbeat replies. */
static Status
check_cluster(Raft *raft, const RaftMsg *msg)
{
    if (raft->cluster == msg->cluster) {
        return msg->cluster == 0 ? ST_STALE : ST_OK;
    }
    if (raft->cluster == 0 && (msg->type == RAFT_MSG_APPEND_ENTRIES ||
                               msg->type == RAFT_MSG_HEARTBEAT ||
                               msg->type == RAFT_MSG_INSTALL_SNAPSHOT)) {
        raft->cluster = msg->cluster;
        raft->cluster_changed = true;
        return ST_OK;
    }
    return ST_STALE;
}

Status
Raft_HandleMessage(Raft *raft, int64_t now_ms, const RaftMsg *msg)
{
    bool is_vote_request = msg->type == RAFT_MSG_REQUEST_PREVOTE ||
                           msg->type == RAFT_MSG_REQUEST_VOTE;
    bool is_from_leader = msg->type == RAFT_MSG_APPEND_ENTRIES ||
                          msg->type == RAFT_MSG_HEARTBEAT ||
                          msg->type == RAFT_MSG_INSTALL_SNAPSHOT;

    raft->now_ms = now_ms;
    if (msg->to != raft->options.identity ||
        msg->from == raft->options.identity ||
        check_cluster(raft, msg) != ST_OK) {
        return ST_STALE;
    }
    if (msg->term > raft->term) {
        bool asked = msg->type == RAFT_MSG_REQUEST_VOTE && msg->context == 1;

        if (is_vote_request && !asked && RaftCore_HasLeader(raft)) {
            RaftCore_RecordVoteAnswer(raft, msg, RAFT_VERDICT_KNOWS_LEADER);
            return ST_OK;
        }
        /* A pre-vote request or grant carries a term that has not started. */
        if (msg->type != RAFT_MSG_REQUEST_PREVOTE &&
            !(msg->type == RAFT_MSG_PREVOTE_REPLY && !msg->reject)) {
            RaftCore_BecomeFollower(raft, msg->term,
                                    is_from_leader ? msg->from : 0);
        }
    }
    else if (msg->term < raft->term) {
        reject_stale_term(raft, msg);
        return ST_OK;
    }
    return dispatch_message(raft, msg);
}

static uint64_t
append_to_own_log(Raft *raft, RaftEntryKind kind, const char *data, size_t len)
{
    RaftEntry entry = {RaftLog_GetLastIndex(&raft->log) + 1, raft->term, kind,
                       data, len};

    RaftLog_Append(&raft->log, &entry);
    return entry.index;
}

Status
Raft_Propose(Raft *raft, int64_t now_ms, const char *data, size_t len,
             uint64_t *index, uint64_t *term)
{
    raft->now_ms = now_ms;
    if (raft->role != RAFT_LEADER) {
        return ST_NOT_LEADER;
    }
    if (len == 0 || len > RAFT_MAX_COMMAND_BYTES) {
        return ST_INVALID;
    }
    if (RaftLog_GetLastIndex(&raft->log) - raft->commit_index >=
        raft->options.max_uncommitted_entries) {
        return ST_FULL;
    }
    *index = append_to_own_log(raft, RAFT_ENTRY_COMMAND, data, len);
    *term = raft->term;
    return ST_OK;
}

bool
Raft_CanChangeMembers(const Raft *raft)
{
    return raft->role == RAFT_LEADER &&
           raft->commit_index >= raft->term_start_index &&
           raft->commit_index >= raft->members_index;
}

/* Returns the number of identities that are voters in exactly one list. */
static size_t
count_voter_changes(const RaftMembers *a, const RaftMembers *b)
{
    size_t common = 0;
    size_t i;

    for (i = 0; i < a->count; i++) {
        const RaftMember *other = RaftMembers_Find(b, a->list[i].identity);

        common += a->list[i].voter && other != NULL && other->voter;
    }
    return RaftMembers_CountVoters(a) + RaftMembers_CountVoters(b) -
           2 * common;
}

Status
Raft_ProposeMembers(Raft *raft, int64_t now_ms, const RaftMembers *members)
{
    Buf bytes = BUF_INIT;
    uint64_t index;

    raft->now_ms = now_ms;
    if (raft->role != RAFT_LEADER) {
        return ST_NOT_LEADER;
    }
    if (!Raft_CanChangeMembers(raft)) {
        return ST_AGAIN;
    }
    if (RaftMembers_CountVoters(members) == 0 ||
        count_voter_changes(&raft->members, members) > 1) {
        return ST_INVALID;
    }
    RaftMembers_Encode(members, &bytes);
    index = append_to_own_log(raft, RAFT_ENTRY_MEMBERS, bytes.data, bytes.len);
    Buf_Free(&bytes);
    RaftCore_SetMembers(raft, members, index);
    return ST_OK;
}

Status
Raft_ReadIndex(Raft *raft, int64_t now_ms, uint64_t cookie)
{
    RaftPendingRead *read;

    raft->now_ms = now_ms;
    if (raft->role != RAFT_LEADER) {
        return ST_NOT_LEADER;
    }
    if (raft->commit_index < raft->term_start_index) {
        return ST_AGAIN;
    }
    if (raft->pending_read_count + raft->completed_read_count >=
        RAFT_MAX_READS) {
        return ST_FULL;
    }
    read = &raft->pending_reads[raft->pending_read_count++];
    read->cookie = cookie;
    read->index = raft->commit_index;
    read->read_round = raft->read_round + 1;
    return ST_OK;
}

bool
Raft_GetReady(Raft *raft, RaftReady *ready)
{
    RaftCore_QueueLeaderMessages(raft);
    ready->hard_state_changed = raft->hard_state_changed;
    ready->term = raft->term;
    ready->vote = raft->vote;
    ready->cluster_changed = raft->cluster_changed;
    ready->cluster = raft->cluster;
    ready->install_snapshot = raft->install_snapshot;
    ready->truncate_from = raft->truncate_from;
    ready->append_from = raft->written_index + 1;
    ready->last_index = RaftLog_GetLastIndex(&raft->log);
    ready->messages = raft->messages;
    ready->message_count = raft->message_count;
    ready->reads = raft->completed_reads;
    ready->read_count = raft->completed_read_count;
    ready->commit_index = raft->commit_index;
    raft->ready_message_count = raft->message_count;
    raft->ready_read_count = raft->completed_read_count;
    return ready->hard_state_changed || ready->cluster_changed ||
           ready->install_snapshot || ready->truncate_from > 0 ||
           ready->append_from <= ready->last_index ||
           ready->message_count > 0 || ready->read_count > 0 ||
           ready->commit_index > raft->applied_index;
}

void
Raft_MarkPersisted(Raft *raft)
{
    raft->hard_state_changed = false;
    raft->cluster_changed = false;
    raft->install_snapshot = false;
    raft->truncate_from = 0;
    Raft_MarkWritten(raft);
    Raft_MarkSynced(raft, raft->written_index);
}

void
Raft_MarkWritten(Raft *raft)
{
    raft->written_index = RaftLog_GetLastIndex(&raft->log);
}

void
Raft_MarkSynced(Raft *raft, uint64_t index)
{
    /* The log may have been truncated since the sync began. */
    if (index > raft->written_index) {
        index = raft->written_index;
    }
    if (index > raft->persisted_index) {
        raft->persisted_index = index;
    }
    RaftCore_AdvanceCommit(raft);
}

void
Raft_DropMessages(Raft *raft, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        Buf_Free(&raft->messages[i].bytes);
    }
    raft->message_count -= count;
    if (raft->message_count > 0) {
        memmove(raft->messages, raft->messages + count,
                raft->message_count * sizeof(raft->messages[0]));
    }
    raft->ready_message_count = 0;
}

void
Raft_DropReads(Raft *raft)
{
    raft->completed_read_count -= raft->ready_read_count;
    memmove(raft->completed_reads,
            raft->completed_reads + raft->ready_read_count,
            raft->completed_read_count * sizeof(raft->completed_reads[0]));
    raft->ready_read_count = 0;
}

void
Raft_DropOutput(Raft *raft)
{
    Raft_DropMessages(raft, raft->ready_message_count);
    Raft_DropReads(raft);
}

void
Raft_MarkApplied(Raft *raft, uint64_t index)
{
    raft->applied_index = index;
}

void
Raft_Compact(Raft *raft, uint64_t index, uint64_t keep_from, Buf *data)
{
    RaftMembers members;

    Raft_GetMembersAt(raft, index, &members);
    raft->snapshot.term = RaftLog_GetTerm(&raft->log, index);
    raft->snapshot.index = index;
    raft->snapshot.members = members;
    Buf_Free(&raft->snapshot.data);
    raft->snapshot.data = *data;
    *data = (Buf)BUF_INIT;
    raft->snapshot.checksum =
        XXH64(raft->snapshot.data.len > 0 ? raft->snapshot.data.data : "",
              raft->snapshot.data.len, 0);
    if (keep_from > raft->log.base_index + 1) {
        RaftLog_DropFront(&raft->log, keep_from - 1);
    }
}
