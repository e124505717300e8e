#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "escrow_impl.h"
#include "mem.h"
#include "statecmd.h"

/* Takes over a newer epoch of the keeper. Another keeper may have spent the
 * share since the record was written, so its grants would not be covered any
 * more. A VM that they left out of service counts as unhealthy. */
static void
take_epoch(Escrow *escrow, uint64_t epoch)
{
    while (StrMap_Count(escrow->grants) > 0) {
        const EscrowGrant *grant = StrMap_At(escrow->grants, 0);
        EscrowImpl_RemoveGrant(escrow, grant->vm);
    }
    escrow->epoch = epoch;
    escrow->revision++;
}

/* Returns whether this member is the keeper by the state. */
static bool
check_keeper(Escrow *escrow, const State *state)
{
    const StateDataCentre *centre =
        State_DataCentre(state, escrow->data_centre);

    if (centre == NULL || centre->keeper_epoch < escrow->epoch) {
        return false;
    }
    if (centre->keeper_epoch > escrow->epoch) {
        take_epoch(escrow, centre->keeper_epoch);
    }
    return strcmp(centre->keeper, escrow->member) == 0 &&
           centre->keeper_identity == escrow->identity;
}

static void
sync_pools(Escrow *escrow, const State *state)
{
    size_t i;

    for (i = 0; i < State_PoolCount(state); i++) {
        const StatePool *row = State_PoolAt(state, i);
        const StateShare *share =
            State_Share(state, row->name, escrow->data_centre);
        EscrowPool *pool;
        if (share == NULL) {
            continue;
        }
        pool = EscrowImpl_AddPool(escrow, row->name, row->number);
        pool->mark = escrow->mark;
        pool->granted = share->granted;
        pool->state_released = share->released;
        pool->state_asked = share->asked;
        pool->wanted = share->wanted;
        /* A keeper without a record takes over the totals of the state. */
        if (pool->released < share->released) {
            pool->released = share->released;
            pool->revision = ++escrow->revision;
        }
    }
}

static EscrowVm *
sync_vm(Escrow *escrow, const StateVm *row)
{
    EscrowVm *vm = StrMap_Get(escrow->vms, row->name);

    if (vm == NULL) {
        vm = Mem_New(1, sizeof(*vm));
        snprintf(vm->name, sizeof(vm->name), "%s", row->name);
        StrMap_Put(escrow->vms, vm->name, vm);
    }
    vm->pool = StrMap_Get(escrow->pools, row->pool);
    vm->moving = row->assignment != STATE_OPEN;
    vm->epoch = row->epoch;
    vm->mark = escrow->mark;
    return vm;
}

/* Brings the grant of a VM in line with the move in the state. */
static void
sync_move(Escrow *escrow, const StateVm *row)
{
    const EscrowGrant *grant = StrMap_Get(escrow->grants, row->name);
    EscrowGrant *adopted;

    if (grant != NULL && grant->purpose == ESCROW_MOVE &&
        row->epoch > grant->epoch && row->assignment == STATE_OPEN) {
        EscrowImpl_RemoveGrant(escrow, row->name);
    }
    else if (grant == NULL && row->assignment != STATE_OPEN) {
        /* A former keeper granted this move; the VM is out of service. */
        adopted =
            EscrowImpl_AddGrant(escrow, row->name, row->pool, "", ESCROW_MOVE);
        adopted->epoch = row->epoch - 1;
    }
}

static void
sync_vms(Escrow *escrow, const State *state)
{
    size_t i;

    for (i = 0; i < State_VmCount(state); i++) {
        const StateVm *row = State_VmAt(state, i);
        if (strcmp(row->data_centre, escrow->data_centre) == 0) {
            EscrowVm *vm = sync_vm(escrow, row);
            sync_move(escrow, row);
            EscrowImpl_Charge(escrow, vm);
        }
    }
}

/* Drops what the state no longer has. */
static void
drop_unmarked(Escrow *escrow)
{
    size_t i;

    for (i = StrMap_Count(escrow->vms); i-- > 0;) {
        EscrowVm *vm = StrMap_At(escrow->vms, i);
        if (vm->mark != escrow->mark) {
            EscrowImpl_RemoveGrant(escrow, vm->name);
            vm->healthy = true;
            EscrowImpl_Charge(escrow, vm);
            StrMap_Remove(escrow->vms, vm->name);
            free(vm);
        }
    }
    for (i = StrMap_Count(escrow->grants); i-- > 0;) {
        const EscrowGrant *grant = StrMap_At(escrow->grants, i);
        if (StrMap_Get(escrow->vms, grant->vm) == NULL) {
            EscrowImpl_RemoveGrant(escrow, grant->vm);
        }
    }
    for (i = StrMap_Count(escrow->pools); i-- > 0;) {
        EscrowPool *pool = StrMap_At(escrow->pools, i);
        if (pool->mark != escrow->mark && pool->spent == 0) {
            StrMap_Remove(escrow->pools, pool->name);
            free(pool);
        }
    }
}

static int
compare_wave_vm(const void *name, const void *vm)
{
    return strcmp(name, ((const StateWaveVm *)vm)->name);
}

/* Returns the recorded step of a VM in a wave, or NULL. */
static const StateWaveVm *
find_wave_vm(const State *state, const char *wave_name, const char *vm)
{
    const StateWave *wave = State_Wave(state, wave_name);

    return wave == NULL ? NULL
                        : bsearch(vm, wave->vms, wave->vm_count,
                                  sizeof(*wave->vms), compare_wave_vm);
}

static void
drop_outcomes(Escrow *escrow, const State *state)
{
    size_t i;

    for (i = StrMap_Count(escrow->outcomes); i-- > 0;) {
        EscrowOutcome *outcome = StrMap_At(escrow->outcomes, i);
        const StateWaveVm *vm =
            find_wave_vm(state, outcome->wave, outcome->vm);
        if (vm == NULL || vm->step >= STATE_STEP_DONE) {
            StrMap_Remove(escrow->outcomes, outcome->key);
            free(outcome);
            escrow->revision++;
        }
    }
}

/* Lowers each share that is to be released by what is not spent of it. */
static void
lower_shares(Escrow *escrow)
{
    size_t i;

    for (i = 0; i < StrMap_Count(escrow->pools); i++) {
        EscrowPool *pool = StrMap_At(escrow->pools, i);
        int64_t keep = pool->wanted > pool->spent ? pool->wanted : pool->spent;
        int64_t surplus = Escrow_Limit(pool) - keep;
        if (surplus > 0) {
            pool->released += (uint64_t)surplus;
            pool->revision = ++escrow->revision;
        }
    }
}

Status
Escrow_Sync(Escrow *escrow, const State *state)
{
    if (State_Applied(state) < escrow->applied) {
        escrow->active = false;
        return ST_STALE;
    }
    escrow->active = check_keeper(escrow, state);
    if (!escrow->active) {
        return ST_AGAIN;
    }
    escrow->applied = State_Applied(state);
    escrow->mark++;
    sync_pools(escrow, state);
    sync_vms(escrow, state);
    drop_unmarked(escrow);
    drop_outcomes(escrow, state);
    lower_shares(escrow);
    return ST_OK;
}

static bool
propose_share(const Escrow *escrow, const EscrowPool *pool, bool ask, Buf *out)
{
    if (!ask && pool->released > pool->state_released &&
        pool->revision <= escrow->saved) {
        StateCmd_ReleaseShare(out, pool->name, pool->number,
                              escrow->data_centre, escrow->epoch,
                              pool->released);
        return true;
    }
    if (ask && pool->demand != pool->state_asked) {
        StateCmd_AskShare(out, pool->name, pool->number, escrow->data_centre,
                          escrow->epoch, (uint64_t)pool->demand);
        return true;
    }
    return false;
}

static bool
propose_grant(const Escrow *escrow, const State *state,
              const EscrowGrant *grant, Buf *out)
{
    const StateWaveVm *vm;

    if (grant->purpose == ESCROW_MOVE) {
        if (Escrow_Work(escrow, state, grant) != ESCROW_WORK_PROPOSE) {
            return false;
        }
        StateCmd_CloseVm(out, grant->vm, grant->epoch, escrow->epoch);
        return true;
    }
    vm = find_wave_vm(state, grant->wave, grant->vm);
    if (vm == NULL || vm->step != STATE_STEP_PENDING ||
        grant->revision > escrow->saved) {
        return false;
    }
    StateCmd_WaveStep(out, grant->wave, grant->vm, STATE_STEP_STARTED);
    return true;
}

static bool
propose_outcome(const Escrow *escrow, const State *state,
                const EscrowOutcome *outcome, Buf *out)
{
    const StateWaveVm *vm = find_wave_vm(state, outcome->wave, outcome->vm);

    if (vm == NULL || vm->step >= STATE_STEP_DONE ||
        outcome->revision > escrow->saved) {
        return false;
    }
    StateCmd_WaveStep(out, outcome->wave, outcome->vm, outcome->step);
    return true;
}

bool
Escrow_Propose(const Escrow *escrow, const State *state, size_t *cursor,
               Buf *out)
{
    size_t pools = StrMap_Count(escrow->pools);
    size_t grants = StrMap_Count(escrow->grants);
    size_t outcomes = StrMap_Count(escrow->outcomes);

    while (escrow->active && *cursor < 2 * pools + grants + outcomes) {
        size_t i = (*cursor)++;
        bool found;
        if (i < 2 * pools) {
            found = propose_share(escrow, StrMap_At(escrow->pools, i / 2),
                                  i % 2 == 1, out);
        }
        else if (i < 2 * pools + grants) {
            found = propose_grant(
                escrow, state, StrMap_At(escrow->grants, i - 2 * pools), out);
        }
        else {
            found = propose_outcome(
                escrow, state,
                StrMap_At(escrow->outcomes, i - 2 * pools - grants), out);
        }
        if (found) {
            return true;
        }
    }
    return false;
}
