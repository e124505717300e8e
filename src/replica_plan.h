/*
 * NAME
 *     replica_plan - the leader's next change of the member list
 *
 * DESCRIPTION
 *     Decides one single-server change at a time, in this order:
 *
 *     1. Remove an identity whose node came back with a new one, once it is
 *        silent and the new identity is a voter or the old one never was.
 *     2. Demote a voter when there are more than wanted: silent ones first,
 *        then from the data centre with most voters, never the leader.
 *     3. Promote a caught up learner that replaces a silent voter of the same
 *        node, that fills up the voters not counting lost ones, or whose
 *        data centre has at least
 *        two voters fewer than another (rule 2 then takes one away there).
 *     4. Add a node that said hello as a learner.
 *
 *     An identity that still answers is never replaced, so two nodes set up
 *     with one name cannot push each other out in turn.
 */
#ifndef COLTSFOOT_REPLICA_PLAN_H
#define COLTSFOOT_REPLICA_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "raft_msg.h"

/* A node that said hello; the latest identity of its name. */
typedef struct ReplicaOffer {
    RaftMember member;
    int64_t offered_ms;
} ReplicaOffer;

/* What the leader knows about a member of the list at the same position. */
typedef struct ReplicaHealth {
    bool active;    /* answered within the election timeout */
    bool lost;      /* has not answered for much longer */
    bool caught_up; /* synced up to the commit index */
} ReplicaHealth;

typedef struct ReplicaPlanInput {
    const RaftMembers *members;
    const ReplicaHealth *health;
    const ReplicaOffer *offers;
    size_t offer_count;
    uint64_t self;
    size_t voters; /* wanted */
} ReplicaPlanInput;

/* Stores the next list and a reason for the log. Returns false when there is
 * nothing to change. */
bool ReplicaPlan_Next(const ReplicaPlanInput *input, RaftMembers *next,
                      const char **reason, RaftMember *changed);

#endif
