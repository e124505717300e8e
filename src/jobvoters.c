#include "jobvoters.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static const char *const state_names[] = {"up", "down", "replaced", "absent"};
static const char *const ballot_names[] = {"silent", "granted", "refused"};

JobVoterState
JobVoters_GetState(const RaftMember *voter, const JobVoterNode *nodes,
                   size_t count)
{
    JobVoterState state = JOB_VOTER_ABSENT;
    size_t i;

    for (i = 0; i < count; i++) {
        if (nodes[i].identity == voter->identity) {
            return nodes[i].up ? JOB_VOTER_UP : JOB_VOTER_DOWN;
        }
        if (nodes[i].identity != 0 &&
            strcmp(nodes[i].name, voter->name) == 0) {
            state = JOB_VOTER_REPLACED;
        }
    }
    return state;
}

size_t
JobVoters_CountUp(const RaftMembers *members, const JobVoterNode *nodes,
                  size_t count)
{
    size_t up = 0;
    size_t i;

    for (i = 0; i < members->count; i++) {
        up += members->list[i].voter &&
              JobVoters_GetState(&members->list[i], nodes, count) ==
                  JOB_VOTER_UP;
    }
    return up;
}

/* Returns the index of the first voter from i on, or the number of members. */
static size_t
skip_learners(const RaftMembers *members, size_t i)
{
    while (i < members->count && !members->list[i].voter) {
        i++;
    }
    return i;
}

bool
JobVoters_AreEqual(const RaftMembers *a, const RaftMembers *b)
{
    size_t i = skip_learners(a, 0);
    size_t k = skip_learners(b, 0);

    while (i < a->count && k < b->count) {
        if (a->list[i].identity != b->list[k].identity) {
            return false;
        }
        i = skip_learners(a, i + 1);
        k = skip_learners(b, k + 1);
    }
    return i == a->count && k == b->count;
}

const char *
JobVoters_GetName(const RaftMembers *members, uint64_t identity)
{
    const RaftMember *member = RaftMembers_Find(members, identity);

    if (identity == 0) {
        return "";
    }
    return member != NULL ? member->name : "?";
}

static void
append_item(Buf *out, const char *name, uint64_t identity, const char *state)
{
    Buf_Printf(out, "%s%s/%016" PRIx64 "=%s", out->len > 0 ? " " : "", name,
               identity, state);
}

void
JobVoters_Describe(const RaftMembers *members, const JobVoterNode *nodes,
                   size_t count, Buf *out)
{
    size_t i;

    for (i = 0; i < members->count; i++) {
        const RaftMember *member = &members->list[i];

        if (member->voter) {
            append_item(out, member->name, member->identity,
                        state_names[JobVoters_GetState(member, nodes, count)]);
        }
    }
}

void
JobVoters_DescribeLogs(const RaftMembers *members, const JobVoterLog *logs,
                       size_t count, Buf *out)
{
    char text[48];
    size_t i;

    for (i = 0; i < count; i++) {
        snprintf(text, sizeof(text), "%" PRIu64 "@%" PRId64, logs[i].match,
                 logs[i].contact_age_ms);
        append_item(out, JobVoters_GetName(members, logs[i].identity),
                    logs[i].identity, text);
    }
}

void
JobVoters_DescribeBallots(const RaftEvent *event, const RaftMembers *members,
                          Buf *out)
{
    size_t i;

    for (i = 0; i < event->ballot_count; i++) {
        const RaftBallot *ballot = &event->ballots[i];

        append_item(out, JobVoters_GetName(members, ballot->identity),
                    ballot->identity, ballot_names[ballot->state]);
    }
}
