#include <inttypes.h>
#include <string.h>

#include "diag.h"
#include "replica_core.h"

/* Election timeouts of silence after which another node takes the place of a
 * voter. */
#define LOST_ELECTIONS 3

void
ReplicaCore_ChangeMembers(Replica *replica, int64_t now_ms)
{
    const RaftMembers *members = Raft_MembersNow(replica->raft);
    ReplicaHealth health[RAFT_MAX_MEMBERS];
    ReplicaPlanInput input = {members,           health,
                              replica->offers,   replica->offer_count,
                              replica->identity, replica->options.voters};
    RaftMembers next;
    RaftMember changed;
    const char *reason = "";
    size_t i;

    if (!Raft_CanChange(replica->raft)) {
        return;
    }
    for (i = 0; i < members->count; i++) {
        uint64_t identity = members->list[i].identity;

        health[i].active = Raft_Active(replica->raft, now_ms, identity);
        health[i].lost = Raft_SilentMs(replica->raft, now_ms, identity) >
                         LOST_ELECTIONS * replica->options.election_ms;
        health[i].caught_up = Raft_Match(replica->raft, identity) >=
                              Raft_CommitIndex(replica->raft);
    }
    if (!ReplicaPlan_Next(&input, &next, &reason, &changed)) {
        return;
    }
    if (Raft_ProposeMembers(replica->raft, now_ms, &next) == ST_OK) {
        Diag_Log(DIAG_NOTICE, REPLICA_PART,
                 "Member change: %s (node %s, identity %016" PRIx64 ").",
                 reason, changed.name, changed.identity);
    }
}

Status
Replica_AddLearner(Replica *replica, int64_t now_ms, const RaftMember *member)
{
    RaftMembers next = *Raft_MembersNow(replica->raft);
    RaftMember learner = *member;

    if (replica->failure.status != ST_OK) {
        return replica->failure.status;
    }
    if (Raft_Role(replica->raft) != RAFT_LEADER) {
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
    RaftMembers next = *Raft_MembersNow(replica->raft);

    if (replica->failure.status != ST_OK) {
        return replica->failure.status;
    }
    if (Raft_Role(replica->raft) != RAFT_LEADER) {
        return ST_NOT_LEADER;
    }
    if (!RaftMembers_Remove(&next, identity)) {
        return ST_NOT_FOUND;
    }
    return Raft_ProposeMembers(replica->raft, now_ms, &next);
}

void
Replica_OfferMember(Replica *replica, int64_t now_ms, const RaftMember *member)
{
    ReplicaOffer *slot = NULL;
    size_t i;

    if (member->identity == 0 || member->name[0] == '\0' ||
        member->data_centre[0] == '\0' ||
        strcmp(member->name, replica->name) == 0) {
        return;
    }
    for (i = 0; i < replica->offer_count && slot == NULL; i++) {
        if (strcmp(replica->offers[i].member.name, member->name) == 0) {
            slot = &replica->offers[i];
        }
    }
    if (slot == NULL && replica->offer_count < MAX_OFFERS) {
        slot = &replica->offers[replica->offer_count++];
    }
    if (slot == NULL) {
        /* Forget the name that was silent for longest. */
        slot = &replica->offers[0];
        for (i = 1; i < replica->offer_count; i++) {
            if (replica->offers[i].offered_ms < slot->offered_ms) {
                slot = &replica->offers[i];
            }
        }
    }
    slot->member = *member;
    slot->member.voter = false;
    slot->offered_ms = now_ms;
}

void
Replica_SetVoters(Replica *replica, size_t voters)
{
    if (voters > 0 && voters <= RAFT_MAX_MEMBERS) {
        replica->options.voters = voters;
    }
}
