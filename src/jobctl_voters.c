#include "jobctl_internal.h"

#include <stdlib.h>

#include "jobvoters.h"
#include "mem.h"

/* Returns this node and its peers, to be freed by the caller. */
static JobVoterNode *
list_nodes(const JobControl *control, size_t *count)
{
    size_t peer_count =
        control->peers != NULL ? Peers_Count(control->peers) : 0;
    JobVoterNode *nodes = Mem_New(peer_count + 1, sizeof(*nodes));
    size_t i;

    nodes[0] = (JobVoterNode){control->settings->name,
                              Replica_GetIdentity(control->replica), true};
    for (i = 0; i < peer_count; i++) {
        const PeerHello *hello = Peers_Hello(control->peers, i);

        nodes[i + 1] = (JobVoterNode){hello->name, hello->identity,
                                      Peers_IsUp(control->peers, i)};
    }
    *count = peer_count + 1;
    return nodes;
}

size_t
JobControl_CountVotersUp(const JobControl *control)
{
    size_t count;
    JobVoterNode *nodes = list_nodes(control, &count);
    size_t up =
        JobVoters_CountUp(Replica_GetMembers(control->replica), nodes, count);

    free(nodes);
    return up;
}

bool
JobControl_IsVoter(const JobControl *control)
{
    const RaftMember *self =
        RaftMembers_Find(Replica_GetMembers(control->replica),
                         Replica_GetIdentity(control->replica));

    return self != NULL && self->voter;
}

void
JobControl_LogVoters(const JobControl *control)
{
    size_t count;
    JobVoterNode *nodes = list_nodes(control, &count);
    Buf text = BUF_INIT;

    JobVoters_Describe(Replica_GetMembers(control->replica), nodes, count,
                       &text);
    Slog_AddText("voters", Buf_Text(&text));
    Buf_Free(&text);
    free(nodes);
}

void
JobControl_WatchVoters(JobControl *control)
{
    const RaftMembers *members = Replica_GetMembers(control->replica);

    if (JobVoters_AreEqual(members, &control->logged_members)) {
        return;
    }
    control->logged_members = *members;
    Slog_Begin(SLOG_CHANGE, "voters_changed");
    Slog_AddInt("term", (int64_t)Replica_GetTerm(control->replica));
    Slog_AddInt("last", (int64_t)Replica_GetLastIndex(control->replica));
    Slog_AddInt("committed",
                (int64_t)Replica_GetCommitIndex(control->replica));
    Slog_AddInt("members", (int64_t)members->count);
    Slog_AddHex("cluster", Replica_GetCluster(control->replica));
    JobControl_LogVoters(control);
    Slog_End();
}

void
JobControl_LogVoterLogs(const JobControl *control, int64_t now)
{
    const RaftMembers *members = Replica_GetMembers(control->replica);
    JobVoterLog logs[RAFT_MAX_MEMBERS];
    Buf text = BUF_INIT;
    size_t count = 0;
    size_t i;

    for (i = 0; i < members->count; i++) {
        uint64_t identity = members->list[i].identity;

        if (members->list[i].voter) {
            logs[count++] = (JobVoterLog){
                identity, Replica_GetMatchIndex(control->replica, identity),
                Replica_GetContactAgeMs(control->replica, now, identity)};
        }
    }
    JobVoters_DescribeLogs(members, logs, count, &text);
    Slog_AddText("logs", Buf_Text(&text));
    Buf_Free(&text);
}

static void
add_dropped(const RaftEvent *event)
{
    if (event->dropped > 0) {
        Slog_AddInt("dropped", (int64_t)event->dropped);
    }
}

static void
log_election(JobControl *control, const RaftEvent *event)
{
    bool ended = event->kind == RAFT_EVENT_ELECTION_ENDED;
    Buf votes = BUF_INIT;

    Slog_Begin(SLOG_CHANGE, ended ? "election_ended" : "election_started");
    Slog_AddText("phase", JobMetrics_GetPhaseName(event->prevote));
    Slog_AddInt("term", (int64_t)event->term);
    Slog_AddInt("quorum", (int64_t)event->quorum);
    if (ended) {
        JobVoters_DescribeBallots(event, Replica_GetMembers(control->replica),
                                  &votes);
        Slog_AddText("outcome", JobMetrics_GetOutcomeName(event->outcome));
        Slog_AddText("votes", Buf_Text(&votes));
        Buf_Free(&votes);
    }
    else {
        Slog_AddInt("asked", event->asked);
        Slog_AddInt("last", (int64_t)event->candidate_index);
        Slog_AddInt("last_term", (int64_t)event->candidate_log_term);
        JobControl_LogVoters(control);
    }
    add_dropped(event);
    Slog_End();
    if (ended && control->metrics != NULL) {
        JobMetrics_CountElection(control->metrics, event->prevote,
                                 event->outcome);
    }
}

static void
log_vote_answer(JobControl *control, const RaftEvent *event)
{
    const RaftMembers *members = Replica_GetMembers(control->replica);

    Slog_Begin(SLOG_CHANGE, "vote_answered");
    Slog_AddText("phase", JobMetrics_GetPhaseName(event->prevote));
    Slog_AddInt("term", (int64_t)event->term);
    Slog_AddText("candidate", JobVoters_GetName(members, event->peer));
    Slog_AddHex("identity", event->peer);
    Slog_AddText("verdict", JobMetrics_GetVerdictName(event->verdict));
    Slog_AddInt("candidate_voter", event->peer_is_voter);
    Slog_AddInt("candidate_last", (int64_t)event->candidate_index);
    Slog_AddInt("candidate_last_term", (int64_t)event->candidate_log_term);
    Slog_AddInt("voter", event->self_is_voter);
    Slog_AddInt("own_term", (int64_t)event->own_term);
    Slog_AddInt("last", (int64_t)event->own_index);
    Slog_AddInt("last_term", (int64_t)event->own_log_term);
    Slog_AddText("voted_for", JobVoters_GetName(members, event->vote));
    Slog_AddText("leader", JobVoters_GetName(members, event->leader));
    add_dropped(event);
    Slog_End();
    if (control->metrics != NULL) {
        JobMetrics_CountVoteRequest(control->metrics, event->prevote,
                                    event->verdict);
    }
}

static void
log_ignored_vote(const JobControl *control, const RaftEvent *event)
{
    const RaftMembers *members = Replica_GetMembers(control->replica);

    Slog_Begin(SLOG_CHANGE, "vote_ignored");
    Slog_AddText("phase", JobMetrics_GetPhaseName(event->prevote));
    Slog_AddInt("term", (int64_t)event->term);
    Slog_AddText("from", JobVoters_GetName(members, event->peer));
    Slog_AddHex("identity", event->peer);
    Slog_AddInt("granted", event->granted);
    Slog_End();
}

void
JobControl_LogElectionEvent(void *arg, const RaftEvent *event)
{
    JobControl *control = arg;

    switch (event->kind) {
    case RAFT_EVENT_ELECTION_STARTED:
    case RAFT_EVENT_ELECTION_ENDED:
        log_election(control, event);
        break;
    case RAFT_EVENT_VOTE_ANSWERED:
        log_vote_answer(control, event);
        break;
    case RAFT_EVENT_VOTE_IGNORED:
        log_ignored_vote(control, event);
        break;
    }
}
