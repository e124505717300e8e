#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#include "state_impl.h"

/* Adds a VM to a pool if change is 1, or removes it if change is -1. */
static void
update_pool_membership(State *state, StateVm *vm, StatePool *pool, int change)
{
    StateShare *share = StateImpl_AddShare(pool, vm->data_centre);

    if (change > 0) {
        pool->vms++;
        share->vms++;
        vm->pool = pool->name;
    }
    else {
        pool->vms--;
        share->vms--;
    }
    StateImpl_RebalanceShares(state, pool);
}

/* Ends the move of a VM, which stays in its current pool. */
static void
end_move(State *state, StateVm *vm)
{
    StatePool *from = StrMap_Get(state->pools, vm->pool);
    StatePool *to = StrMap_Get(state->pools, vm->move->to);

    from->moves_out--;
    to->moves_in--;
    StrMap_Remove(state->moves, vm->name);
    StateImpl_FreeMove(vm->move);
    vm->move = NULL;
}

/* Opens a VM and increments its epoch and the version. */
static void
open_vm(State *state, StateVm *vm)
{
    vm->epoch++;
    vm->assignment = STATE_OPEN;
    vm->changed = ++state->version;
}

Status
StateImpl_RegisterVm(State *state, const StateCmd *command,
                     StateResult *result)
{
    StateVm *vm = StrMap_Get(state->vms, command->name);
    StatePool *pool = StrMap_Get(state->pools, command->pool);
    const StateDataCentre *centre;

    if (vm != NULL) {
        if (strcmp(vm->data_centre, command->data_centre) != 0) {
            return StateImpl_Refuse(result, ST_INVALID,
                                    "VM %s belongs to data centre %s",
                                    vm->name, vm->data_centre);
        }
        if (strcmp(vm->rack, command->rack) == 0) {
            return StateImpl_Accept(result, "registered before");
        }
        snprintf(vm->rack, sizeof(vm->rack), "%s", command->rack);
        state->version++;
        return ST_OK;
    }
    if (pool == NULL) {
        return StateImpl_Refuse(result, ST_NOT_FOUND, "no pool %s",
                                command->pool);
    }
    centre = StateImpl_AddDataCentre(state, command->data_centre);
    if (centre == NULL || StrMap_Count(state->vms) >= STATE_MAX_VMS) {
        return StateImpl_Refuse(result, ST_FULL, "too many %s",
                                centre == NULL ? "data centres" : "VMs");
    }
    vm = Mem_New(1, sizeof(*vm));
    snprintf(vm->name, sizeof(vm->name), "%s", command->name);
    snprintf(vm->rack, sizeof(vm->rack), "%s", command->rack);
    vm->data_centre = centre->name;
    open_vm(state, vm);
    StrMap_Put(state->vms, vm->name, vm);
    update_pool_membership(state, vm, pool, 1);
    return ST_OK;
}

Status
StateImpl_RemoveVm(State *state, const StateCmd *command, StateResult *result)
{
    StateVm *vm = StrMap_Get(state->vms, command->name);

    if (vm == NULL) {
        return StateImpl_Refuse(result, ST_NOT_FOUND, "no VM %s",
                                command->name);
    }
    if (vm->move != NULL) {
        end_move(state, vm);
    }
    update_pool_membership(state, vm, StrMap_Get(state->pools, vm->pool), -1);
    StrMap_Remove(state->vms, vm->name);
    free(vm);
    state->version++;
    return ST_OK;
}

Status
StateImpl_CheckMove(const State *state, const StateVm *vm, const char *to,
                    int64_t min_size, StateResult *result)
{
    const StatePool *from = StrMap_Get(state->pools, vm->pool);
    int64_t left = (int64_t)from->vms - (int64_t)from->moves_out - 1;

    if (vm->move != NULL) {
        return StateImpl_Refuse(result, ST_EXISTS,
                                "VM %s already moves to pool %s", vm->name,
                                vm->move->to);
    }
    if (strcmp(vm->pool, to) == 0) {
        return StateImpl_Refuse(result, ST_INVALID, "VM %s is in pool %s",
                                vm->name, to);
    }
    if (left < min_size) {
        return StateImpl_Refuse(result, ST_FULL,
                                "the move would leave %lld VMs in pool %s, "
                                "below min_size %lld",
                                (long long)left, from->name,
                                (long long)min_size);
    }
    return ST_OK;
}

void
StateImpl_AddMove(State *state, StateVm *vm, StatePool *to)
{
    StatePool *from = StrMap_Get(state->pools, vm->pool);

    vm->move = Mem_New(1, sizeof(*vm->move));
    vm->move->to = to->name;
    vm->move->number = state->applied;
    vm->changed = state->version;
    from->moves_out++;
    to->moves_in++;
    StrMap_Put(state->moves, vm->name, vm);
}

/* Returns the VM that a command names, or refuses the command and returns
 * NULL if the VM is unknown or at another epoch. */
static StateVm *
find_vm_at_epoch(const State *state, const StateCmd *command,
                 StateResult *result)
{
    StateVm *vm = StrMap_Get(state->vms, command->name);

    if (vm == NULL) {
        StateImpl_Refuse(result, ST_NOT_FOUND, "no VM %s", command->name);
        return NULL;
    }
    if (vm->epoch != command->epoch) {
        StateImpl_Refuse(result, ST_STALE, "VM %s is at epoch %llu", vm->name,
                         (unsigned long long)vm->epoch);
        return NULL;
    }
    return vm;
}

Status
StateImpl_BeginMove(State *state, const StateCmd *command, StateResult *result)
{
    StateVm *vm = find_vm_at_epoch(state, command, result);
    StatePool *to = StrMap_Get(state->pools, command->pool);
    const StatePool *from;
    Status status;

    if (vm == NULL) {
        return result->status;
    }
    if (to == NULL) {
        return StateImpl_Refuse(result, ST_NOT_FOUND, "no pool %s",
                                command->pool);
    }
    from = StrMap_Get(state->pools, vm->pool);
    status = StateImpl_CheckMove(state, vm, to->name, from->min_size, result);
    if (status == ST_OK) {
        state->version++;
        StateImpl_AddMove(state, vm, to);
    }
    return status;
}

/* Requires every entry VM of the VM's data centre that is not destroyed to
 * acknowledge the close. Sets the VM's assignment to closing, or to draining
 * if there is no such entry VM. */
static void
add_required_acks(const State *state, StateVm *vm)
{
    const StateDataCentre *centre =
        StrMap_Get(state->data_centres, vm->data_centre);
    StateMove *move = vm->move;
    size_t i;

    move->acks = Mem_New(centre->member_count, sizeof(*move->acks));
    for (i = 0; i < centre->member_count; i++) {
        const StateMember *member = centre->members[i];
        if (!member->destroyed) {
            StateAck *ack = &move->acks[move->ack_count++];
            snprintf(ack->member, sizeof(ack->member), "%s", member->name);
            ack->incarnation = member->incarnation;
        }
    }
    move->missing = move->ack_count;
    vm->assignment = move->missing > 0 ? STATE_CLOSING : STATE_DRAINING;
}

Status
StateImpl_CloseVm(State *state, const StateCmd *command, StateResult *result)
{
    StateVm *vm = find_vm_at_epoch(state, command, result);
    const StateDataCentre *centre;
    const StatePool *from;

    if (vm == NULL) {
        return result->status;
    }
    if (vm->move == NULL || vm->assignment != STATE_OPEN) {
        return StateImpl_Refuse(result, ST_INVALID, "no move of VM %s waits",
                                vm->name);
    }
    centre = StrMap_Get(state->data_centres, vm->data_centre);
    if (centre->keeper_epoch != command->keeper_epoch ||
        centre->keeper[0] == '\0') {
        return StateImpl_Refuse(
            result, ST_STALE, "the keeper's epoch in %s is %llu", centre->name,
            (unsigned long long)centre->keeper_epoch);
    }
    from = StrMap_Get(state->pools, vm->pool);
    /* VMs may have been removed since the move was accepted. */
    if ((int64_t)from->vms - (int64_t)from->moves_out < from->min_size) {
        return StateImpl_Refuse(result, ST_FULL,
                                "the move would take pool %s below min_size",
                                from->name);
    }
    vm->epoch++;
    vm->changed = ++state->version;
    add_required_acks(state, vm);
    return ST_OK;
}

static void
record_ack(StateVm *vm, StateAck *ack)
{
    if (!ack->acked) {
        ack->acked = true;
        vm->move->missing--;
        if (vm->move->missing == 0) {
            vm->assignment = STATE_DRAINING;
        }
    }
}

static StateAck *
find_ack(const StateVm *vm, const char *member)
{
    size_t i;

    for (i = 0; vm->move != NULL && i < vm->move->ack_count; i++) {
        if (strcmp(vm->move->acks[i].member, member) == 0) {
            return &vm->move->acks[i];
        }
    }
    return NULL;
}

Status
StateImpl_AckClose(State *state, const StateCmd *command, StateResult *result)
{
    StateVm *vm = find_vm_at_epoch(state, command, result);
    StateAck *ack;

    if (vm == NULL) {
        return result->status;
    }
    ack = find_ack(vm, command->member);
    if (ack == NULL || vm->assignment == STATE_OPEN) {
        return StateImpl_Refuse(result, ST_NOT_FOUND,
                                "VM %s waits for no acknowledgement of %s",
                                vm->name, command->member);
    }
    if (ack->incarnation != command->incarnation) {
        return StateImpl_Refuse(
            result, ST_STALE, "VM %s waits for incarnation %llu of %s",
            vm->name, (unsigned long long)ack->incarnation, ack->member);
    }
    record_ack(vm, ack);
    return ST_OK;
}

void
StateImpl_WaiveAcks(State *state, const StateMember *member,
                    uint64_t before_incarnation)
{
    size_t i;

    for (i = 0; i < StrMap_Count(state->moves); i++) {
        StateVm *vm = StrMap_At(state->moves, i);
        StateAck *ack = find_ack(vm, member->name);
        if (ack != NULL && ack->incarnation < before_incarnation) {
            record_ack(vm, ack);
        }
    }
}

Status
StateImpl_CompleteMove(State *state, const StateCmd *command,
                       StateResult *result)
{
    StateVm *vm = find_vm_at_epoch(state, command, result);
    StatePool *from;
    StatePool *to;

    if (vm == NULL) {
        return result->status;
    }
    if (vm->move == NULL || vm->assignment != STATE_DRAINING) {
        return StateImpl_Refuse(result, ST_INVALID,
                                "VM %s is not closed by all entry VMs",
                                vm->name);
    }
    from = StrMap_Get(state->pools, vm->pool);
    to = StrMap_Get(state->pools, vm->move->to);
    end_move(state, vm);
    /* VMs may have been removed since the close. */
    if ((int64_t)from->vms - 1 < from->min_size) {
        open_vm(state, vm);
        return StateImpl_Accept(result,
                                "opened in pool %s again, which would fall "
                                "below min_size",
                                from->name);
    }
    update_pool_membership(state, vm, from, -1);
    update_pool_membership(state, vm, to, 1);
    open_vm(state, vm);
    return ST_OK;
}

Status
StateImpl_CancelMove(State *state, const StateCmd *command,
                     StateResult *result)
{
    StateVm *vm = find_vm_at_epoch(state, command, result);

    if (vm == NULL) {
        return result->status;
    }
    if (vm->move == NULL) {
        return StateImpl_Refuse(result, ST_INVALID, "no move of VM %s",
                                vm->name);
    }
    end_move(state, vm);
    open_vm(state, vm);
    return ST_OK;
}
