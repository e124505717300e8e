#include "replica_plan.h"

#include <string.h>

static size_t
voters_in(const RaftMembers *members, const char *data_centre)
{
    size_t count = 0;
    size_t i;

    for (i = 0; i < members->count; i++) {
        count += members->list[i].voter &&
                 strcmp(members->list[i].data_centre, data_centre) == 0;
    }
    return count;
}

/* Returns the identity that a node last said hello with, or 0. */
static uint64_t
offered_identity(const ReplicaPlanInput *input, const char *name)
{
    size_t i;

    for (i = 0; i < input->offer_count; i++) {
        if (strcmp(input->offers[i].member.name, name) == 0) {
            return input->offers[i].member.identity;
        }
    }
    return 0;
}

/* Returns whether the member's node runs under another identity now and this
 * one is silent. */
static bool
replaced(const ReplicaPlanInput *input, size_t i)
{
    const RaftMember *member = &input->members->list[i];
    uint64_t offered = offered_identity(input, member->name);

    return offered != 0 && offered != member->identity &&
           member->identity != input->self && !input->health[i].active;
}

static bool
plan_removal(const ReplicaPlanInput *input, RaftMember *changed)
{
    const RaftMembers *members = input->members;
    size_t i;

    for (i = 0; i < members->count; i++) {
        const RaftMember *member = &members->list[i];
        const RaftMember *now;

        if (!replaced(input, i)) {
            continue;
        }
        now = RaftMembers_Find(members, offered_identity(input, member->name));
        if (!member->voter || (now != NULL && now->voter)) {
            *changed = *member;
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

    if (RaftMembers_Voters(members) <= input->voters) {
        return false;
    }
    for (i = 0; i < members->count; i++) {
        const RaftMember *member = &members->list[i];
        size_t score = voters_in(members, member->data_centre);

        if (!input->health[i].active) {
            score += RAFT_MAX_MEMBERS;
        }
        if (member->voter && member->identity != input->self &&
            score > best_score) {
            best_score = score;
            *changed = *member;
        }
    }
    return best_score > 0;
}

/* Returns whether a silent voter of the same node waits to be replaced. */
static bool
replaces_voter(const ReplicaPlanInput *input, const RaftMember *learner)
{
    size_t i;

    for (i = 0; i < input->members->count; i++) {
        const RaftMember *member = &input->members->list[i];

        if (member->voter && strcmp(member->name, learner->name) == 0 &&
            offered_identity(input, learner->name) == learner->identity &&
            replaced(input, i)) {
            return true;
        }
    }
    return false;
}

static bool
name_has_voter(const RaftMembers *members, const char *name)
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
largest_data_centre(const RaftMembers *members)
{
    size_t largest = 0;
    size_t i;

    for (i = 0; i < members->count; i++) {
        size_t voters = voters_in(members, members->list[i].data_centre);

        largest = voters > largest ? voters : largest;
    }
    return largest;
}

static size_t
lost_voters(const ReplicaPlanInput *input)
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
    size_t voters = RaftMembers_Voters(members);
    size_t largest = largest_data_centre(members);
    size_t best = SIZE_MAX;
    size_t i;

    for (i = 0; i < members->count; i++) {
        const RaftMember *member = &members->list[i];
        size_t near = voters_in(members, member->data_centre);

        if (member->voter || !input->health[i].active ||
            !input->health[i].caught_up) {
            continue;
        }
        if (replaces_voter(input, member)) {
            *changed = *member;
            return true;
        }
        if (name_has_voter(members, member->name)) {
            continue;
        }
        /* A node that is gone for good has no successor of its name, so a
         * spare one takes its place; rule 2 then takes the lost one away. */
        if ((voters < input->voters ||
             (voters == input->voters && lost_voters(input) > 0) ||
             (voters == input->voters && largest >= near + 2)) &&
            near < best) {
            best = near;
            *changed = *member;
        }
    }
    return best != SIZE_MAX;
}

static bool
plan_addition(const ReplicaPlanInput *input, RaftMember *changed)
{
    size_t i;

    for (i = 0; i < input->offer_count; i++) {
        const RaftMember *offer = &input->offers[i].member;

        if (RaftMembers_Find(input->members, offer->identity) == NULL) {
            *changed = *offer;
            return true;
        }
    }
    return false;
}

bool
ReplicaPlan_Next(const ReplicaPlanInput *input, RaftMembers *next,
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
