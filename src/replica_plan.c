#include "replica_plan.h"

#include <string.h>

static size_t
count_voters_in(const RaftMembers *members, const char *data_centre)
{
    size_t count = 0;
    size_t i;

    for (i = 0; i < members->count; i++) {
        count += members->list[i].voter &&
                 strcmp(members->list[i].data_centre, data_centre) == 0;
    }
    return count;
}

/* Returns the latest identity recorded for a node's name, or 0. */
static uint64_t
find_current_identity(const ReplicaPlanInput *input, const char *name)
{
    size_t i;

    for (i = 0; i < input->node_count; i++) {
        if (strcmp(input->nodes[i].member.name, name) == 0) {
            return input->nodes[i].member.identity;
        }
    }
    return 0;
}

/* Returns whether the member is inactive and its node now has another
 * identity. */
static bool
is_replaced(const ReplicaPlanInput *input, size_t i)
{
    const RaftMember *member = &input->members->list[i];
    uint64_t current_identity = find_current_identity(input, member->name);

    return current_identity != 0 && current_identity != member->identity &&
           member->identity != input->self_identity &&
           !input->health[i].active;
}

/* The quorum without the old identity is no larger than with it, as it can
 * never answer. A new identity that voted beside it would raise the quorum,
 * and its own loss would then leave no quorum. */
static bool
plan_removal(const ReplicaPlanInput *input, RaftMember *changed)
{
    size_t i;

    for (i = 0; i < input->members->count; i++) {
        if (is_replaced(input, i)) {
            *changed = input->members->list[i];
            return true;
        }
    }
    return false;
}

static bool
plan_demotion(const ReplicaPlanInput *input, RaftMember *changed)
{
    const RaftMembers *members = input->members;
    size_t best_score = 0;
    size_t i;

    if (RaftMembers_CountVoters(members) <= input->wanted_voters) {
        return false;
    }
    for (i = 0; i < members->count; i++) {
        const RaftMember *member = &members->list[i];
        size_t score = count_voters_in(members, member->data_centre);

        if (!input->health[i].active) {
            score += RAFT_MAX_MEMBERS;
        }
        if (member->voter && member->identity != input->self_identity &&
            score > best_score) {
            best_score = score;
            *changed = *member;
        }
    }
    return best_score > 0;
}

static bool
has_voter_named(const RaftMembers *members, const char *name)
{
    size_t i;

    for (i = 0; i < members->count; i++) {
        if (members->list[i].voter &&
            strcmp(members->list[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

static size_t
find_max_data_centre_voters(const RaftMembers *members)
{
    size_t max_voters = 0;
    size_t i;

    for (i = 0; i < members->count; i++) {
        size_t voters = count_voters_in(members, members->list[i].data_centre);

        max_voters = voters > max_voters ? voters : max_voters;
    }
    return max_voters;
}

static size_t
count_lost_voters(const ReplicaPlanInput *input)
{
    size_t count = 0;
    size_t i;

    for (i = 0; i < input->members->count; i++) {
        count += input->members->list[i].voter && input->health[i].lost;
    }
    return count;
}

static bool
plan_promotion(const ReplicaPlanInput *input, RaftMember *changed)
{
    const RaftMembers *members = input->members;
    size_t voters = RaftMembers_CountVoters(members);
    size_t max_voters = find_max_data_centre_voters(members);
    size_t min_voters = SIZE_MAX;
    size_t i;

    for (i = 0; i < members->count; i++) {
        const RaftMember *member = &members->list[i];
        size_t local_voters = count_voters_in(members, member->data_centre);

        if (member->voter || !input->health[i].active ||
            !input->health[i].caught_up) {
            continue;
        }
        if (has_voter_named(members, member->name)) {
            continue;
        }
        /* A node that is permanently lost never returns with a new identity,
         * so another node's learner replaces it. Rule 2 of replica_plan.h then
         * demotes the lost voter. */
        if ((voters < input->wanted_voters ||
             (voters == input->wanted_voters &&
              count_lost_voters(input) > 0) ||
             (voters == input->wanted_voters &&
              max_voters >= local_voters + 2)) &&
            local_voters < min_voters) {
            min_voters = local_voters;
            *changed = *member;
        }
    }
    return min_voters != SIZE_MAX;
}

static bool
plan_addition(const ReplicaPlanInput *input, RaftMember *changed)
{
    size_t i;

    for (i = 0; i < input->node_count; i++) {
        const RaftMember *node = &input->nodes[i].member;

        if (RaftMembers_Find(input->members, node->identity) == NULL) {
            *changed = *node;
            return true;
        }
    }
    return false;
}

bool
ReplicaPlan_ChooseChange(const ReplicaPlanInput *input, RaftMembers *next,
                         const char **reason, RaftMember *changed)
{
    *next = *input->members;
    if (plan_removal(input, changed)) {
        *reason = "remove the old identity of a node that came back";
        return RaftMembers_Remove(next, changed->identity);
    }
    if (plan_demotion(input, changed)) {
        *reason = "demote a voter";
        changed->voter = false;
        return RaftMembers_Put(next, changed);
    }
    if (plan_promotion(input, changed)) {
        *reason = "promote a learner";
        changed->voter = true;
        return RaftMembers_Put(next, changed);
    }
    if (plan_addition(input, changed)) {
        *reason = "add a learner";
        changed->voter = false;
        return RaftMembers_Put(next, changed);
    }
    return false;
}
