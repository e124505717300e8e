#include <stdio.h>
#include <string.h>

#include "mem.h"

#include "state_impl.h"

/* Increments the keeper epoch of a data centre. Resets the requested units of
 * its shares, since the new keeper requests its own, and rebalances their
 * pools. */
static void
start_keeper_epoch(State *state, StateDataCentre *centre)
{
    size_t i;

    centre->keeper_epoch++;
    for (i = 0; i < StrMap_Count(state->pools); i++) {
        StatePool *pool = StrMap_At(state->pools, i);
        StateShare *share = StateImpl_FindShare(pool, centre->name);
        if (share != NULL) {
            share->asked = 0;
            StateImpl_RebalanceShares(state, pool);
        }
    }
}

static bool
can_be_keeper(const StateMember *member)
{
    return member->disk && !member->destroyed;
}

/* Selects the first eligible member by name as keeper, if any. */
static void
select_keeper(State *state, StateDataCentre *centre)
{
    size_t i;

    centre->keeper[0] = '\0';
    centre->keeper_identity = 0;
    for (i = 0; i < centre->member_count; i++) {
        const StateMember *member = centre->members[i];
        if (can_be_keeper(member)) {
            snprintf(centre->keeper, sizeof(centre->keeper), "%s",
                     member->name);
            centre->keeper_identity = member->identity;
            break;
        }
    }
    start_keeper_epoch(state, centre);
}

/* Updates the keeper after a member joined, restarted or was destroyed. A
 * keeper whose identity changed has lost the escrow record on its disk, so it
 * counts as a new keeper. */
static void
update_keeper(State *state, StateDataCentre *centre, const StateMember *member)
{
    bool is_keeper = strcmp(centre->keeper, member->name) == 0;

    if (is_keeper && can_be_keeper(member)) {
        if (centre->keeper_identity != member->identity) {
            centre->keeper_identity = member->identity;
            start_keeper_epoch(state, centre);
        }
    }
    else if (is_keeper ||
             (centre->keeper[0] == '\0' && can_be_keeper(member))) {
        select_keeper(state, centre);
    }
}

static Status
add_member(State *state, const StateCmd *command, StateResult *result)
{
    StateDataCentre *centre;
    StateMember *member;

    if (StrMap_Count(state->members) >= STATE_MAX_ROWS) {
        return StateImpl_Refuse(result, ST_FULL, "too many members");
    }
    centre = StateImpl_AddDataCentre(state, command->data_centre);
    if (centre == NULL) {
        return StateImpl_Refuse(result, ST_FULL, "too many data centres");
    }
    member = Mem_New(1, sizeof(*member));
    snprintf(member->name, sizeof(member->name), "%s", command->name);
    member->identity = command->identity;
    member->incarnation = command->incarnation;
    member->disk = command->disk;
    StateImpl_AttachMember(state, member, centre);
    state->version++;
    update_keeper(state, centre, member);
    return ST_OK;
}

Status
StateImpl_RegisterMember(State *state, const StateCmd *command,
                         StateResult *result)
{
    StateMember *member = StrMap_Get(state->members, command->name);

    if (member == NULL) {
        return add_member(state, command, result);
    }
    if (strcmp(member->data_centre, command->data_centre) != 0) {
        return StateImpl_Refuse(result, ST_INVALID,
                                "member %s belongs to data centre %s",
                                member->name, member->data_centre);
    }
    if (command->incarnation < member->incarnation ||
        (command->incarnation == member->incarnation && member->destroyed)) {
        return StateImpl_Refuse(
            result, ST_STALE, "member %s is known with incarnation %llu%s",
            member->name, (unsigned long long)member->incarnation,
            member->destroyed ? ", declared destroyed" : "");
    }
    if (command->incarnation == member->incarnation) {
        if (command->identity != member->identity ||
            command->disk != member->disk) {
            return StateImpl_Refuse(result, ST_EXISTS,
                                    "member %s runs with another identity",
                                    member->name);
        }
        return StateImpl_Accept(result, "registered before");
    }
    if (member->destroyed) {
        state->version++;
    }
    member->identity = command->identity;
    member->incarnation = command->incarnation;
    member->disk = command->disk;
    member->destroyed = false;
    StateImpl_WaiveAcks(state, member, member->incarnation);
    update_keeper(state, StrMap_Get(state->data_centres, member->data_centre),
                  member);
    return ST_OK;
}

Status
StateImpl_DeclareDestroyed(State *state, const StateCmd *command,
                           StateResult *result)
{
    StateMember *member = StrMap_Get(state->members, command->name);

    if (member == NULL) {
        return StateImpl_Refuse(result, ST_NOT_FOUND, "no member %s",
                                command->name);
    }
    if (member->destroyed) {
        return StateImpl_Accept(result, "declared destroyed before");
    }
    member->destroyed = true;
    state->version++;
    StateImpl_WaiveAcks(state, member, UINT64_MAX);
    update_keeper(state, StrMap_Get(state->data_centres, member->data_centre),
                  member);
    return ST_OK;
}
