#include "assign.h"

#include <stdio.h>
#include <string.h>

#include "statecmd.h"

static bool
keeps_min_size(const State *state, const StateVm *vm)
{
    const StatePool *pool = State_Pool(state, vm->pool);

    return (int64_t)pool->vms - (int64_t)pool->moves_out >= pool->min_size;
}

static void
decide_for_open(const State *state, const StateVm *vm, AssignStep *step)
{
    const StateDataCentre *centre = State_DataCentre(state, vm->data_centre);

    if (!keeps_min_size(state, vm)) {
        step->action = ASSIGN_CANCEL;
        snprintf(step->reason, sizeof(step->reason),
                 "pool %s would fall below min_size", vm->pool);
        return;
    }
    step->action = ASSIGN_WAIT_KEEPER;
    step->member = centre->keeper;
    if (centre->keeper[0] == '\0') {
        snprintf(step->reason, sizeof(step->reason),
                 "data centre %s has no keeper", vm->data_centre);
        return;
    }
    snprintf(step->reason, sizeof(step->reason),
             "waits for the grant of keeper %s", centre->keeper);
}

static void
decide_for_closing(const StateVm *vm, AssignStep *step)
{
    const StateMove *move = vm->move;
    size_t i;

    step->action = ASSIGN_WAIT_ACK;
    step->missing = move->missing;
    for (i = 0; i < move->ack_count; i++) {
        if (!move->acks[i].acked) {
            step->member = move->acks[i].member;
            break;
        }
    }
    snprintf(step->reason, sizeof(step->reason),
             "%zu of %zu entry VMs have not acknowledged, first %s",
             move->missing, move->ack_count, step->member);
}

void
Assign_DecideNext(const State *state, const StateVm *vm, bool idle,
                  AssignStep *step)
{
    memset(step, 0, sizeof(*step));
    step->member = "";
    if (vm->move == NULL) {
        return;
    }
    switch (vm->assignment) {
    case STATE_OPEN:
        decide_for_open(state, vm, step);
        break;
    case STATE_CLOSING:
        decide_for_closing(vm, step);
        break;
    default:
        step->action = idle ? ASSIGN_OPEN : ASSIGN_WAIT_IDLE;
        snprintf(step->reason, sizeof(step->reason), "%s",
                 idle ? "no work is in flight" : "work is in flight");
        break;
    }
}

bool
Assign_AppendCommand(const StateVm *vm, AssignAction action, Buf *out)
{
    if (action == ASSIGN_OPEN) {
        StateCmd_EncodeVmDrained(out, vm->name, vm->epoch);
        return true;
    }
    if (action == ASSIGN_CANCEL) {
        StateCmd_EncodeCancelMove(out, vm->name, vm->epoch);
        return true;
    }
    return false;
}

static bool
has_pending_ack(const StateVm *vm, const char *member, uint64_t incarnation)
{
    size_t i;

    for (i = 0; i < vm->move->ack_count; i++) {
        const StateAck *ack = &vm->move->acks[i];
        if (!ack->acked && ack->incarnation == incarnation &&
            strcmp(ack->member, member) == 0) {
            return true;
        }
    }
    return false;
}

const StateVm *
Assign_FindNextToAck(const State *state, const char *member,
                     uint64_t incarnation, size_t *cursor)
{
    while (*cursor < State_MoveCount(state)) {
        const StateVm *vm = State_MoveAt(state, (*cursor)++);
        if (vm->assignment == STATE_CLOSING &&
            has_pending_ack(vm, member, incarnation)) {
            return vm;
        }
    }
    return NULL;
}

const StateVm *
Assign_FindNextToGrant(const State *state, const char *data_centre,
                       size_t *cursor)
{
    while (*cursor < State_MoveCount(state)) {
        const StateVm *vm = State_MoveAt(state, (*cursor)++);
        if (vm->assignment == STATE_OPEN && keeps_min_size(state, vm) &&
            strcmp(vm->data_centre, data_centre) == 0) {
            return vm;
        }
    }
    return NULL;
}

bool
Assign_MayDispatch(const State *state, const char *name, const char *pool,
                   uint64_t epoch)
{
    const StateVm *vm = State_Vm(state, name);

    return vm != NULL && vm->assignment == STATE_OPEN && vm->epoch == epoch &&
           strcmp(vm->pool, pool) == 0;
}
