/*
 * NAME
 *     replica_plan - choice of the leader's next change of the member list
 *
 * DESCRIPTION
 *     Chooses one single-server change at a time, in this order:
 *
 *     1. Remove the old identity of a node that has returned with a new one,
 *        if the old identity is inactive.
 *     2. Demote a voter when there are more voters than wanted: inactive
 *        voters first, then one in the data centre with the most voters, and
 *        never the leader.
 *     3. Promote an active, caught-up learner if there are fewer voters than
 *        wanted (lost voters are not counted), or if its data centre has at
 *        least two voters fewer than another one. Rule 2 then demotes the
 *        surplus voter.
 *     4. Add a known node as a learner.
 *
 *     An active identity is never replaced, so two nodes configured with the
 *     same name cannot replace each other in turn.
 */
#ifndef COLTSFOOT_REPLICA_PLAN_H
#define COLTSFOOT_REPLICA_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "raft_msg.h"

/* A node known to this one, with the latest identity recorded for its name. */
typedef struct ReplicaNode {
    RaftMember member;
    int64_t last_seen_ms;
} ReplicaNode;

/* The leader's view of the member at the same position in the member list. */
typedef struct ReplicaHealth {
    bool active;    /* has sent a reply within the election timeout */
    bool lost;      /* has sent no reply for several election timeouts */
    bool caught_up; /* synced up to the commit index */
} ReplicaHealth;

typedef struct ReplicaPlanInput {
    const RaftMembers *members;
    const ReplicaHealth *health;
    const ReplicaNode *nodes;
    size_t node_count;
    uint64_t self_identity;
    size_t wanted_voters;
} ReplicaPlanInput;

/* Chooses the next change. Stores the new member list, a reason for the log
 * and the changed member. Returns false when no change is due. */
bool ReplicaPlan_ChooseChange(const ReplicaPlanInput *input, RaftMembers *next,
                              const char **reason, RaftMember *changed);

#endif
