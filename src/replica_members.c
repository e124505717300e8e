#include <inttypes.h>
#include <string.h>

#include "diag.h"
#include "replica_core.h"

/* Number of election timeouts without a reply after which a voter counts as
 * lost, so that another node may replace it. */
#define LOST_VOTER_ELECTION_TIMEOUTS 3

void
ReplicaCore_ChangeMembers(Replica *replica, int64_t now_ms)
{
    const RaftMembers *members = Raft_GetMembers(replica->raft);
    ReplicaHealth health[RAFT_MAX_MEMBERS];
    ReplicaPlanInput input = {members,           health,
                              replica->nodes,    replica->node_count,
                              replica->identity, replica->options.voters};
    RaftMembers next;
    RaftMember changed;
    const char *reason = "";
    size_t i;

    if (!Raft_CanChangeMembers(replica->raft)) {
        return;
    }
    for (i = 0; i < members->count; i++) {
        uint64_t identity = members->list[i].identity;

        health[i].active = Raft_IsActive(replica->raft, now_ms, identity);
        health[i].lost =
            Raft_GetContactAgeMs(replica->raft, now_ms, identity) >
            LOST_VOTER_ELECTION_TIMEOUTS * replica->options.election_ms;
        health[i].caught_up = Raft_GetMatchIndex(replica->raft, identity) >=
                              Raft_GetCommitIndex(replica->raft);
    }
    if (!ReplicaPlan_ChooseChange(&input, &next, &reason, &changed)) {
        return;
    }
    if (Raft_ProposeMembers(replica->raft, now_ms, &next) == ST_OK) {
        Diag_Log(DIAG_NOTICE, REPLICA_LOG_PREFIX,
                 "Member change: %s (node %s, identity %016" PRIx64 ").",
                 reason, changed.name, changed.identity);
    }
}

Status
Replica_AddLearner(Replica *replica, int64_t now_ms, const RaftMember *member)
{
    RaftMembers next = *Raft_GetMembers(replica->raft);
    RaftMember learner = *member;

    if (replica->failure.status != ST_OK) {
        return replica->failure.status;
    }
    if (Raft_GetRole(replica->raft) != RAFT_LEADER) {
        return ST_NOT_LEADER;
    }
    if (RaftMembers_Find(&next, member->identity) != NULL) {
        return ST_EXISTS;
    }
    learner.voter = false;
    if (member->identity == 0 || member->name[0] == '\0' ||
        member->data_centre[0] == '\0') {
        return ST_INVALID;
    }
    if (!RaftMembers_Put(&next, &learner)) {
        return ST_FULL;
    }
    return Raft_ProposeMembers(replica->raft, now_ms, &next);
}

Status
Replica_RemoveMember(Replica *replica, int64_t now_ms, uint64_t identity)
{
    RaftMembers next = *Raft_GetMembers(replica->raft);

    if (replica->failure.status != ST_OK) {
        return replica->failure.status;
    }
    if (Raft_GetRole(replica->raft) != RAFT_LEADER) {
        return ST_NOT_LEADER;
    }
    if (!RaftMembers_Remove(&next, identity)) {
        return ST_NOT_FOUND;
    }
    return Raft_ProposeMembers(replica->raft, now_ms, &next);
}

void
Replica_RecordNode(Replica *replica, int64_t now_ms, const RaftMember *member)
{
    ReplicaNode *node = NULL;
    size_t i;

    if (member->identity == 0 || member->name[0] == '\0' ||
        member->data_centre[0] == '\0' ||
        strcmp(member->name, replica->name) == 0) {
        return;
    }
    for (i = 0; i < replica->node_count && node == NULL; i++) {
        if (strcmp(replica->nodes[i].member.name, member->name) == 0) {
            node = &replica->nodes[i];
        }
    }
    if (node == NULL && replica->node_count < REPLICA_MAX_NODES) {
        node = &replica->nodes[replica->node_count++];
    }
    if (node == NULL) {
        /* Replaces the node that was recorded the longest time ago. */
        node = &replica->nodes[0];
        for (i = 1; i < replica->node_count; i++) {
            if (replica->nodes[i].last_seen_ms < node->last_seen_ms) {
                node = &replica->nodes[i];
            }
        }
    }
    node->member = *member;
    node->member.voter = false;
    node->last_seen_ms = now_ms;
}

void
Replica_SetVoters(Replica *replica, size_t voters)
{
    if (voters > 0 && voters <= RAFT_MAX_MEMBERS) {
        replica->options.voters = voters;
    }
}
