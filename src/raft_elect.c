#include "raft_core.h"

void
RaftCore_ResetElection(Raft *raft)
{
    int64_t election = raft->options.election_ms;

    raft->election_due_ms = raft->now_ms + election +
                            (int64_t)Rng_Below(&raft->rng, (uint32_t)election);
}

bool
RaftCore_HasLeader(const Raft *raft)
{
    if (raft->role == RAFT_LEADER) {
        return true; /* check quorum ends this */
    }
    return raft->leader != 0 &&
           raft->now_ms - raft->leader_heard_ms < raft->options.election_ms;
}

static void
request_votes(Raft *raft, RaftMsgType type, uint64_t term)
{
    size_t i;

    for (i = 0; i < raft->peer_count; i++) {
        RaftMsg *msg;

        raft->peers[i].granted = false;
        raft->peers[i].refused = false;
        if (!raft->peers[i].voter) {
            continue;
        }
        msg = RaftCore_Message(raft, type, raft->peers[i].identity);
        msg->term = term;
        msg->index = RaftLog_Last(&raft->log);
        msg->log_term = RaftLog_Term(&raft->log, msg->index);
        RaftCore_Send(raft, msg);
    }
}

static void
stand(Raft *raft)
{
    raft->role = RAFT_CANDIDATE;
    raft->leader = 0;
    raft->term++;
    raft->vote = raft->options.identity;
    raft->vote_dirty = true;
    raft->verified = raft->commit;
    raft->confirmed = 0;
    RaftCore_ResetElection(raft);
    request_votes(raft, RAFT_MSG_VOTE, raft->term);
    if (RaftCore_Quorum(raft) == 1) {
        RaftCore_Lead(raft);
    }
}

void
RaftCore_Campaign(Raft *raft)
{
    raft->role = RAFT_PRECANDIDATE;
    raft->leader = 0;
    RaftCore_ResetElection(raft);
    if (RaftCore_Quorum(raft) == 1) {
        stand(raft);
        return;
    }
    request_votes(raft, RAFT_MSG_PREVOTE, raft->term + 1);
}

static bool
up_to_date(const Raft *raft, const RaftMsg *msg)
{
    uint64_t last = RaftLog_Last(&raft->log);
    uint64_t term = RaftLog_Term(&raft->log, last);

    return msg->log_term > term ||
           (msg->log_term == term && msg->index >= last);
}

void
RaftCore_OnVoteRequest(Raft *raft, const RaftMsg *msg)
{
    bool pre = msg->type == RAFT_MSG_PREVOTE;
    RaftMsg *reply = RaftCore_Message(
        raft, pre ? RAFT_MSG_PREVOTE_REPLY : RAFT_MSG_VOTE_REPLY, msg->from);
    bool grant = up_to_date(raft, msg);

    if (pre) {
        grant = grant && msg->term > raft->term;
    }
    else {
        grant = grant && (raft->vote == msg->from ||
                          (raft->vote == 0 && raft->leader == 0));
    }
    if (grant && pre) {
        reply->term = msg->term;
    }
    if (grant && !pre) {
        if (raft->vote != msg->from) {
            raft->vote = msg->from;
            raft->vote_dirty = true;
        }
        RaftCore_ResetElection(raft);
    }
    reply->reject = !grant;
    RaftCore_Send(raft, reply);
}

void
RaftCore_OnVoteReply(Raft *raft, const RaftMsg *msg)
{
    bool pre = msg->type == RAFT_MSG_PREVOTE_REPLY;
    RaftPeer *peer = RaftCore_Peer(raft, msg->from);
    size_t granted = raft->self_voter;
    size_t refused = 0;
    size_t i;

    if (raft->role != (pre ? RAFT_PRECANDIDATE : RAFT_CANDIDATE) ||
        peer == NULL || !peer->voter ||
        (pre && !msg->reject && msg->term != raft->term + 1)) {
        return;
    }
    peer->granted = !msg->reject;
    peer->refused = msg->reject;
    for (i = 0; i < raft->peer_count; i++) {
        granted += raft->peers[i].voter && raft->peers[i].granted;
        refused += raft->peers[i].voter && raft->peers[i].refused;
    }
    if (granted >= RaftCore_Quorum(raft)) {
        if (pre) {
            stand(raft);
        }
        else {
            RaftCore_Lead(raft);
        }
    }
    else if (refused >= RaftCore_Quorum(raft)) {
        RaftCore_Follow(raft, raft->term, 0);
    }
}
