#include "raft_core.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "mem.h"

size_t
RaftCore_Quorum(const Raft *raft)
{
    return RaftMembers_Voters(&raft->members) / 2 + 1;
}

RaftPeer *
RaftCore_Peer(Raft *raft, uint64_t identity)
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
RaftCore_Message(Raft *raft, RaftMsgType type, uint64_t to)
{
    RaftMsg *msg = &raft->scratch;

    /* The entry and member arrays are read only up to their counts. */
    msg->type = type;
    msg->cluster = raft->cluster;
    msg->from = raft->options.identity;
    msg->to = to;
    msg->term = raft->term;
    msg->index = msg->log_term = msg->commit = msg->context = 0;
    msg->reject = false;
    msg->hint_index = msg->hint_term = 0;
    msg->entry_count = 0;
    msg->members.count = 0;
    msg->total = msg->offset = msg->sum = 0;
    msg->data = NULL;
    msg->len = 0;
    return msg;
}

/* What a leader sends speaks for no disk but its vote, which is durable before
 * it leads; the answer to a heartbeat tells that its term was known. */
static bool
promises_nothing(RaftMsgType type)
{
    return type == RAFT_MSG_APPEND || type == RAFT_MSG_HEARTBEAT ||
           type == RAFT_MSG_SNAPSHOT || type == RAFT_MSG_HEARTBEAT_REPLY;
}

void
RaftCore_Send(Raft *raft, const RaftMsg *msg)
{
    RaftOut *out;

    if (raft->out_count == raft->out_capacity) {
        size_t capacity = raft->out_capacity ? raft->out_capacity * 2 : 16;

        out = Mem_Resize(raft->out, capacity * sizeof(*out));
        raft->out = out;
        raft->out_capacity = capacity;
    }
    out = &raft->out[raft->out_count++];
    memset(out, 0, sizeof(*out));
    out->to = msg->to;
    out->early = promises_nothing(msg->type);
    RaftMsg_Encode(msg, &out->bytes);
}

void
RaftCore_Follow(Raft *raft, uint64_t term, uint64_t leader)
{
    if (raft->role == RAFT_LEADER) {
        RaftCore_DropReads(raft);
    }
    if (term != raft->term) {
        raft->term = term;
        raft->vote = 0;
        raft->vote_dirty = true;
        raft->verified = raft->commit;
        raft->confirmed = 0;
    }
    raft->role = RAFT_FOLLOWER;
    raft->leader = leader;
    RaftCore_ResetElection(raft);
}

void
RaftCore_SetMembers(Raft *raft, const RaftMembers *members, uint64_t index)
{
    RaftPeer *peers = Mem_New(RAFT_MAX_MEMBERS, sizeof(*peers));
    size_t count = 0;
    size_t i;

    raft->members = *members;
    raft->members_index = index;
    raft->self_voter = false;
    for (i = 0; i < members->count; i++) {
        const RaftMember *member = &members->list[i];
        const RaftPeer *old = RaftCore_ConstPeer(raft, member->identity);

        if (member->identity == raft->options.identity) {
            raft->self_voter = member->voter;
            continue;
        }
        if (old != NULL) {
            peers[count] = *old;
        }
        else {
            peers[count].identity = member->identity;
            peers[count].next = RaftLog_Last(&raft->log) + 1;
            peers[count].heard_ms = raft->now_ms;
        }
        peers[count++].voter = member->voter;
    }
    memcpy(raft->peers, peers, sizeof(raft->peers));
    raft->peer_count = count;
    free(peers);
    if (!raft->self_voter &&
        (raft->role == RAFT_PRECANDIDATE || raft->role == RAFT_CANDIDATE)) {
        RaftCore_Follow(raft, raft->term, 0);
    }
}

static Status
load(Raft *raft, const RaftOptions *options, ErrCtx *err)
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
    raft->snapshot.sum =
        XXH64(options->snapshot_len > 0 ? options->snapshot : "",
              options->snapshot_len, 0);
    RaftLog_Reset(&raft->log, options->base_index, options->base_term);
    for (i = 0; i < options->entry_count; i++) {
        const RaftEntry *entry = &options->entries[i];

        if (entry->kind == RAFT_MEMBERS &&
            (RaftMembers_Decode(entry->data, entry->len, &members, err) !=
                 ST_OK ||
             RaftMembers_Voters(&members) == 0)) {
            return Err_Set(err, ST_CORRUPT,
                           "entry %llu holds a malformed member list",
                           (unsigned long long)entry->index);
        }
        RaftLog_Append(&raft->log, entry);
    }
    last = RaftLog_Last(&raft->log);
    raft->commit = raft->snapshot.index;
    raft->applied = raft->snapshot.index;
    raft->verified = raft->snapshot.index;
    raft->persisted = last;
    raft->written = last;
    Raft_MembersAt(raft, last, &members);
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
        options->max_inflight == 0 ||
        options->max_inflight > RAFT_MAX_INFLIGHT ||
        options->chunk_bytes == 0) {
        return Err_Set(err, ST_INVALID, "raft options out of bounds");
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
    status = load(raft, options, err);
    if (status != ST_OK) {
        Raft_Free(raft);
        return status;
    }
    RaftCore_ResetElection(raft);
    *result = raft;
    return ST_OK;
}

void
Raft_Free(Raft *raft)
{
    if (raft == NULL) {
        return;
    }
    raft->out_ready = raft->out_count;
    Raft_Sent(raft);
    free(raft->out);
    RaftLog_Free(&raft->log);
    Buf_Free(&raft->snapshot.data);
    Buf_Free(&raft->incoming.data);
    free(raft);
}

void
Raft_Stop(Raft *raft)
{
    RaftCore_Follow(raft, raft->term, 0);
}

void
Raft_Tick(Raft *raft, int64_t now_ms)
{
    raft->now_ms = now_ms;
    if (raft->role == RAFT_LEADER) {
        RaftCore_LeaderTick(raft);
    }
    else if (now_ms >= raft->election_due_ms) {
        if (raft->self_voter) {
            RaftCore_Campaign(raft);
        }
        else {
            raft->leader = 0;
            RaftCore_ResetElection(raft);
        }
    }
}

static void
answer_old_term(Raft *raft, const RaftMsg *msg)
{
    RaftMsg *reply;

    if (msg->type == RAFT_MSG_APPEND || msg->type == RAFT_MSG_HEARTBEAT ||
        msg->type == RAFT_MSG_SNAPSHOT) {
        /* Tells a resumed leader that its term is over. */
        reply = RaftCore_Message(raft, RAFT_MSG_APPEND_REPLY, msg->from);
    }
    else if (msg->type == RAFT_MSG_PREVOTE) {
        reply = RaftCore_Message(raft, RAFT_MSG_PREVOTE_REPLY, msg->from);
    }
    else if (msg->type == RAFT_MSG_VOTE) {
        reply = RaftCore_Message(raft, RAFT_MSG_VOTE_REPLY, msg->from);
    }
    else {
        return;
    }
    reply->reject = true;
    reply->index = msg->index;
    RaftCore_Send(raft, reply);
}

static Status
dispatch(Raft *raft, const RaftMsg *msg)
{
    switch (msg->type) {
    case RAFT_MSG_PREVOTE:
    case RAFT_MSG_VOTE:
        RaftCore_OnVoteRequest(raft, msg);
        return ST_OK;
    case RAFT_MSG_PREVOTE_REPLY:
    case RAFT_MSG_VOTE_REPLY:
        RaftCore_OnVoteReply(raft, msg);
        return ST_OK;
    case RAFT_MSG_APPEND:
        return RaftCore_OnAppend(raft, msg);
    case RAFT_MSG_APPEND_REPLY:
        RaftCore_OnAppendReply(raft, msg);
        return ST_OK;
    case RAFT_MSG_HEARTBEAT:
        RaftCore_OnHeartbeat(raft, msg);
        return ST_OK;
    case RAFT_MSG_HEARTBEAT_REPLY:
        RaftCore_OnHeartbeatReply(raft, msg);
        return ST_OK;
    case RAFT_MSG_SNAPSHOT:
        return RaftCore_OnSnapshot(raft, msg);
    case RAFT_MSG_SNAPSHOT_REPLY:
        RaftCore_OnSnapshotReply(raft, msg);
        return ST_OK;
    }
    return ST_UNSUPPORTED;
}

/* A folder that never joined learns its cluster from the first leader that
 * adds it; nothing else from a cluster may reach it. A heartbeat counts too:
 * when the first append message is lost, it is repeated only after answered
 * heartbeats. */
static Status
check_cluster(Raft *raft, const RaftMsg *msg)
{
    if (raft->cluster == msg->cluster) {
        return msg->cluster == 0 ? ST_STALE : ST_OK;
    }
    if (raft->cluster == 0 &&
        (msg->type == RAFT_MSG_APPEND || msg->type == RAFT_MSG_HEARTBEAT ||
         msg->type == RAFT_MSG_SNAPSHOT)) {
        raft->cluster = msg->cluster;
        raft->cluster_dirty = true;
        return ST_OK;
    }
    return ST_STALE;
}

Status
Raft_Step(Raft *raft, int64_t now_ms, const RaftMsg *msg)
{
    bool request = msg->type == RAFT_MSG_PREVOTE || msg->type == RAFT_MSG_VOTE;
    bool from_leader = msg->type == RAFT_MSG_APPEND ||
                       msg->type == RAFT_MSG_HEARTBEAT ||
                       msg->type == RAFT_MSG_SNAPSHOT;

    raft->now_ms = now_ms;
    if (msg->to != raft->options.identity ||
        msg->from == raft->options.identity ||
        check_cluster(raft, msg) != ST_OK) {
        return ST_STALE;
    }
    if (msg->term > raft->term) {
        if (request && RaftCore_HasLeader(raft)) {
            return ST_OK;
        }
        /* A pre-vote, or a grant of one, is of a term that nobody started. */
        if (msg->type != RAFT_MSG_PREVOTE &&
            !(msg->type == RAFT_MSG_PREVOTE_REPLY && !msg->reject)) {
            RaftCore_Follow(raft, msg->term, from_leader ? msg->from : 0);
        }
    }
    else if (msg->term < raft->term) {
        answer_old_term(raft, msg);
        return ST_OK;
    }
    return dispatch(raft, msg);
}

static uint64_t
append_own(Raft *raft, RaftEntryKind kind, const char *data, size_t len)
{
    RaftEntry entry = {RaftLog_Last(&raft->log) + 1, raft->term, kind, data,
                       len};

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
    if (RaftLog_Last(&raft->log) - raft->commit >=
        raft->options.max_uncommitted) {
        return ST_FULL;
    }
    *index = append_own(raft, RAFT_COMMAND, data, len);
    *term = raft->term;
    return ST_OK;
}

bool
Raft_CanChange(const Raft *raft)
{
    return raft->role == RAFT_LEADER && raft->commit >= raft->term_start &&
           raft->commit >= raft->members_index;
}

/* Counts identities that are voters in exactly one of the lists. */
static size_t
voter_difference(const RaftMembers *a, const RaftMembers *b)
{
    size_t common = 0;
    size_t i;

    for (i = 0; i < a->count; i++) {
        const RaftMember *other = RaftMembers_Find(b, a->list[i].identity);

        common += a->list[i].voter && other != NULL && other->voter;
    }
    return RaftMembers_Voters(a) + RaftMembers_Voters(b) - 2 * common;
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
    if (!Raft_CanChange(raft)) {
        return ST_AGAIN;
    }
    if (RaftMembers_Voters(members) == 0 ||
        voter_difference(&raft->members, members) > 1) {
        return ST_INVALID;
    }
    RaftMembers_Encode(members, &bytes);
    index = append_own(raft, RAFT_MEMBERS, bytes.data, bytes.len);
    Buf_Free(&bytes);
    RaftCore_SetMembers(raft, members, index);
    return ST_OK;
}

Status
Raft_ReadIndex(Raft *raft, int64_t now_ms, uint64_t cookie)
{
    RaftWaitingRead *read;

    raft->now_ms = now_ms;
    if (raft->role != RAFT_LEADER) {
        return ST_NOT_LEADER;
    }
    if (raft->commit < raft->term_start) {
        return ST_AGAIN;
    }
    if (raft->waiting_count + raft->read_count >= RAFT_MAX_READS) {
        return ST_FULL;
    }
    read = &raft->waiting[raft->waiting_count++];
    read->cookie = cookie;
    read->index = raft->commit;
    read->round = raft->round + 1;
    return ST_OK;
}

bool
Raft_Ready(Raft *raft, RaftReady *ready)
{
    RaftCore_FillOutbox(raft);
    ready->vote_changed = raft->vote_dirty;
    ready->term = raft->term;
    ready->vote = raft->vote;
    ready->cluster_changed = raft->cluster_dirty;
    ready->cluster = raft->cluster;
    ready->install = raft->install;
    ready->truncate_from = raft->truncate_from;
    ready->append_from = raft->written + 1;
    ready->last_index = RaftLog_Last(&raft->log);
    ready->messages = raft->out;
    ready->message_count = raft->out_count;
    ready->reads = raft->reads;
    ready->read_count = raft->read_count;
    ready->commit_index = raft->commit;
    raft->out_ready = raft->out_count;
    raft->read_ready = raft->read_count;
    return ready->vote_changed || ready->cluster_changed || ready->install ||
           ready->truncate_from > 0 ||
           ready->append_from <= ready->last_index ||
           ready->message_count > 0 || ready->read_count > 0 ||
           ready->commit_index > raft->applied;
}

void
Raft_Persisted(Raft *raft)
{
    raft->vote_dirty = false;
    raft->cluster_dirty = false;
    raft->install = false;
    raft->truncate_from = 0;
    Raft_Written(raft);
    Raft_Synced(raft, raft->written);
}

void
Raft_Written(Raft *raft)
{
    raft->written = RaftLog_Last(&raft->log);
}

void
Raft_Synced(Raft *raft, uint64_t index)
{
    /* Some of what was written may have been cut off since. */
    if (index > raft->written) {
        index = raft->written;
    }
    if (index > raft->persisted) {
        raft->persisted = index;
    }
    RaftCore_AdvanceCommit(raft);
}

void
Raft_SentFirst(Raft *raft, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        Buf_Free(&raft->out[i].bytes);
    }
    raft->out_count -= count;
    if (raft->out_count > 0) {
        memmove(raft->out, raft->out + count,
                raft->out_count * sizeof(raft->out[0]));
    }
    raft->out_ready = 0;
}

void
Raft_Answered(Raft *raft)
{
    raft->read_count -= raft->read_ready;
    memmove(raft->reads, raft->reads + raft->read_ready,
            raft->read_count * sizeof(raft->reads[0]));
    raft->read_ready = 0;
}

void
Raft_Sent(Raft *raft)
{
    Raft_SentFirst(raft, raft->out_ready);
    Raft_Answered(raft);
}

void
Raft_Applied(Raft *raft, uint64_t index)
{
    raft->applied = index;
}

void
Raft_Compact(Raft *raft, uint64_t index, uint64_t keep_from, Buf *data)
{
    RaftMembers members;

    Raft_MembersAt(raft, index, &members);
    raft->snapshot.term = RaftLog_Term(&raft->log, index);
    raft->snapshot.index = index;
    raft->snapshot.members = members;
    Buf_Free(&raft->snapshot.data);
    raft->snapshot.data = *data;
    *data = (Buf)BUF_INIT;
    raft->snapshot.sum =
        XXH64(raft->snapshot.data.len > 0 ? raft->snapshot.data.data : "",
              raft->snapshot.data.len, 0);
    if (keep_from > raft->log.base_index + 1) {
        RaftLog_DropFront(&raft->log, keep_from - 1);
    }
}
