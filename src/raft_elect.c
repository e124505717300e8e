#include "raft_core.h"

void
RaftCore_ResetElectionTimer(Raft *raft)
{
    int64_t election = raft->options.election_ms;

    raft->election_due_ms = raft->now_ms + election +
                            (int64_t)Rng_Below(&raft->rng, (uint32_t)election);
}

bool
RaftCore_HasLeader(const Raft *raft)
{
    if (raft->role == RAFT_LEADER) {
        return true; /* a leader without a quorum steps down by itself */
    }
    return raft->leader != 0 &&
           raft->now_ms - raft->leader_contact_ms < raft->options.election_ms;
}

static void
request_votes(Raft *raft, RaftMsgType type, uint64_t term, bool asked)
{
    size_t i;

    for (i = 0; i < raft->peer_count; i++) {
        RaftMsg *msg;

        raft->peers[i].vote_granted = false;
        raft->peers[i].vote_rejected = false;
        if (!raft->peers[i].voter) {
            continue;
        }
        msg = RaftCore_InitMessage(raft, type, raft->peers[i].identity);
        msg->term = term;
        msg->index = RaftLog_GetLastIndex(&raft->log);
        msg->log_term = RaftLog_GetTerm(&raft->log, msg->index);
        msg->context = asked;
        RaftCore_QueueMessage(raft, msg);
    }
    RaftCore_RecordElectionStart(raft, asked);
}

static void
become_candidate(Raft *raft, bool asked)
{
    RaftCore_RecordElectionEnd(raft, RAFT_ELECTION_WON);
    raft->role = RAFT_CANDIDATE;
    raft->leader = 0;
    raft->term++;
    raft->vote = raft->options.identity;
    raft->hard_state_changed = true;
    raft->leader_match_index = raft->commit_index;
    raft->confirmed_commit_index = 0;
    RaftCore_ResetElectionTimer(raft);
    request_votes(raft, RAFT_MSG_REQUEST_VOTE, raft->term, asked);
    if (RaftCore_GetQuorum(raft) == 1) {
        RaftCore_BecomeLeader(raft);
    }
}

void
RaftCore_StartPreVote(Raft *raft)
{
    RaftCore_RecordElectionEnd(raft, RAFT_ELECTION_TIMED_OUT);
    raft->role = RAFT_PRECANDIDATE;
    raft->leader = 0;
    RaftCore_ResetElectionTimer(raft);
    if (RaftCore_GetQuorum(raft) == 1) {
        become_candidate(raft, false);
        return;
    }
    request_votes(raft, RAFT_MSG_REQUEST_PREVOTE, raft->term + 1, false);
}

void
RaftCore_HandleTimeoutNow(Raft *raft, const RaftMsg *msg)
{
    if (raft->role == RAFT_FOLLOWER && raft->self_is_voter &&
        raft->leader == msg->from) {
        become_candidate(raft, true);
    }
}

static bool
is_log_up_to_date(const Raft *raft, const RaftMsg *msg)
{
    uint64_t last = RaftLog_GetLastIndex(&raft->log);
    uint64_t term = RaftLog_GetTerm(&raft->log, last);

    return msg->log_term > term ||
           (msg->log_term == term && msg->index >= last);
}

static RaftVerdict
judge_request(const Raft *raft, const RaftMsg *msg)
{
    if (!is_log_up_to_date(raft, msg)) {
        return RAFT_VERDICT_LOG_BEHIND;
    }
    if (msg->type == RAFT_MSG_REQUEST_PREVOTE) {
        return msg->term > raft->term ? RAFT_VERDICT_GRANTED
                                      : RAFT_VERDICT_STALE_TERM;
    }
    if (raft->vote == msg->from) {
        return RAFT_VERDICT_GRANTED;
    }
    if (raft->vote != 0) {
        return RAFT_VERDICT_ALREADY_VOTED;
    }
    return raft->leader == 0 ? RAFT_VERDICT_GRANTED
                             : RAFT_VERDICT_KNOWS_LEADER;
}

void
RaftCore_HandleVoteRequest(Raft *raft, const RaftMsg *msg)
{
    bool is_prevote = msg->type == RAFT_MSG_REQUEST_PREVOTE;
    RaftVerdict verdict = judge_request(raft, msg);
    bool grant = verdict == RAFT_VERDICT_GRANTED;
    RaftMsg *reply = RaftCore_InitMessage(
        raft, is_prevote ? RAFT_MSG_PREVOTE_REPLY : RAFT_MSG_VOTE_REPLY,
        msg->from);

    RaftCore_RecordVoteAnswer(raft, msg, verdict);
    if (grant && is_prevote) {
        reply->term = msg->term;
    }
    if (grant && !is_prevote) {
        if (raft->vote != msg->from) {
            raft->vote = msg->from;
            raft->hard_state_changed = true;
        }
        RaftCore_ResetElectionTimer(raft);
    }
    reply->reject = !grant;
    RaftCore_QueueMessage(raft, reply);
}

void
RaftCore_HandleVoteReply(Raft *raft, const RaftMsg *msg)
{
    bool is_prevote = msg->type == RAFT_MSG_PREVOTE_REPLY;
    RaftPeer *peer = RaftCore_FindPeer(raft, msg->from);
    size_t granted = raft->self_is_voter;
    size_t rejected = 0;
    size_t i;

    if (raft->role != (is_prevote ? RAFT_PRECANDIDATE : RAFT_CANDIDATE) ||
        (is_prevote && !msg->reject && msg->term != raft->term + 1)) {
        return;
    }
    if (peer == NULL || !peer->voter) {
        RaftCore_RecordIgnoredVote(raft, msg);
        return;
    }
    peer->vote_granted = !msg->reject;
    peer->vote_rejected = msg->reject;
    for (i = 0; i < raft->peer_count; i++) {
        granted += raft->peers[i].voter && raft->peers[i].vote_granted;
        rejected += raft->peers[i].voter && raft->peers[i].vote_rejected;
    }
    if (granted >= RaftCore_GetQuorum(raft)) {
        if (is_prevote) {
            become_candidate(raft, false);
        }
        else {
            RaftCore_BecomeLeader(raft);
        }
    }
    else if (rejected >= RaftCore_GetQuorum(raft)) {
        RaftCore_RecordElectionEnd(raft, RAFT_ELECTION_REFUSED);
        RaftCore_BecomeFollower(raft, raft->term, 0);
    }
}
