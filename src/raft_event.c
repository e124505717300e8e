#include "raft_core.h"

#include <string.h>

/* Appends an event, which replaces the oldest one if the ring is full. */
static RaftEvent *
add_event(Raft *raft, RaftEventKind kind)
{
    RaftEvent *event;

    if (raft->event_count == RAFT_MAX_EVENTS) {
        raft->event_first = (raft->event_first + 1) % RAFT_MAX_EVENTS;
        raft->event_count--;
        raft->dropped_events++;
    }
    event = &raft->events[(raft->event_first + raft->event_count) %
                          RAFT_MAX_EVENTS];
    raft->event_count++;
    memset(event, 0, sizeof(*event));
    event->kind = kind;
    event->self_is_voter = raft->self_is_voter;
    event->own_term = raft->term;
    event->own_index = RaftLog_GetLastIndex(&raft->log);
    event->own_log_term = RaftLog_GetTerm(&raft->log, event->own_index);
    event->vote = raft->vote;
    event->leader = raft->leader;
    return event;
}

static void
add_ballots(const Raft *raft, RaftEvent *event)
{
    size_t i;

    event->quorum = RaftCore_GetQuorum(raft);
    if (raft->self_is_voter) {
        event->ballots[event->ballot_count++] =
            (RaftBallot){raft->options.identity, RAFT_BALLOT_GRANTED};
    }
    for (i = 0; i < raft->peer_count; i++) {
        const RaftPeer *peer = &raft->peers[i];

        if (peer->voter) {
            event->ballots[event->ballot_count++] = (RaftBallot){
                peer->identity, peer->vote_granted    ? RAFT_BALLOT_GRANTED
                                : peer->vote_rejected ? RAFT_BALLOT_REFUSED
                                                      : RAFT_BALLOT_SILENT};
        }
    }
}

static RaftEvent *
add_election_event(Raft *raft, RaftEventKind kind)
{
    RaftEvent *event = add_event(raft, kind);

    event->prevote = raft->role == RAFT_PRECANDIDATE;
    event->term = raft->term + event->prevote;
    event->candidate_index = event->own_index;
    event->candidate_log_term = event->own_log_term;
    event->asked = raft->election_asked;
    add_ballots(raft, event);
    return event;
}

void
RaftCore_RecordElectionStart(Raft *raft, bool asked)
{
    raft->election_in_progress = true;
    raft->election_asked = asked;
    add_election_event(raft, RAFT_EVENT_ELECTION_STARTED);
}

void
RaftCore_RecordElectionEnd(Raft *raft, RaftElectionOutcome outcome)
{
    if (raft->election_in_progress) {
        raft->election_in_progress = false;
        add_election_event(raft, RAFT_EVENT_ELECTION_ENDED)->outcome = outcome;
    }
}

void
RaftCore_RecordVoteAnswer(Raft *raft, const RaftMsg *request,
                          RaftVerdict verdict)
{
    RaftEvent *event = add_event(raft, RAFT_EVENT_VOTE_ANSWERED);
    const RaftPeer *peer = RaftCore_FindConstPeer(raft, request->from);

    event->prevote = request->type == RAFT_MSG_REQUEST_PREVOTE;
    event->term = request->term;
    event->candidate_index = request->index;
    event->candidate_log_term = request->log_term;
    event->peer = request->from;
    event->peer_is_voter = peer != NULL && peer->voter;
    event->verdict = verdict;
    event->granted = verdict == RAFT_VERDICT_GRANTED;
}

void
RaftCore_RecordIgnoredVote(Raft *raft, const RaftMsg *reply)
{
    RaftEvent *event = add_event(raft, RAFT_EVENT_VOTE_IGNORED);

    event->prevote = reply->type == RAFT_MSG_PREVOTE_REPLY;
    event->term = reply->term;
    event->peer = reply->from;
    event->granted = !reply->reject;
}

bool
Raft_TakeEvent(Raft *raft, RaftEvent *event)
{
    if (raft->event_count == 0) {
        return false;
    }
    *event = raft->events[raft->event_first];
    event->dropped = raft->dropped_events;
    raft->event_first = (raft->event_first + 1) % RAFT_MAX_EVENTS;
    raft->event_count--;
    raft->dropped_events = 0;
    return true;
}
