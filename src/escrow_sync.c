#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "escrow_impl.h"
#include "mem.h"
#include "statecmd.h"

/* Adopts a newer keeper epoch and removes all grants: another keeper may have
 * spent the share since the record was written, so the share may no longer
 * cover the grants. A VM that a removed grant left out of service stays
 * charged until it is reported healthy. */
static void
adopt_keeper_epoch(Escrow *escrow, uint64_t epoch)
{
    while (StrMap_Count(escrow->grants) > 0) {
        const EscrowGrant *grant = StrMap_At(escrow->grants, 0);
        EscrowImpl_RemoveGrant(escrow, grant->vm);
    }
    escrow->epoch = epoch;
    escrow->revision++;
}

/* Adopts the keeper epoch of the state if it is newer. Returns whether the
 * state names this member as the keeper. */
static bool
update_keeper(Escrow *escrow, const State *state)
{
    const StateDataCentre *centre =
        State_DataCentre(state, escrow->data_centre);

    if (centre == NULL || centre->keeper_epoch < escrow->epoch) {
        return false;
    }
    if (centre->keeper_epoch > escrow->epoch) {
        adopt_keeper_epoch(escrow, centre->keeper_epoch);
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
            State_FindShare(state, row->name, escrow->data_centre);
        EscrowPool *pool;
        if (share == NULL) {
            continue;
        }
        pool = EscrowImpl_FindOrAddPool(escrow, row->name, row->number);
        pool->sync_number = escrow->sync_number;
        pool->granted = share->granted;
        pool->state_released = share->released;
        pool->state_demand = share->asked;
        pool->wanted = share->wanted;
        /* A keeper without a record adopts the totals of the state. */
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
    vm->sync_number = escrow->sync_number;
    return vm;
}

/* Removes the grant of a VM whose move ended, and adds one for a VM that is
 * closed for a move but has no grant. */
static void
sync_move_grant(Escrow *escrow, const StateVm *row)
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
            sync_move_grant(escrow, row);
            EscrowImpl_UpdateCharge(escrow, vm);
        }
    }
}

/* Removes VMs, grants and pools that the state no longer has. A pool stays
 * while VMs are charged to it. */
static void
remove_missing(Escrow *escrow)
{
    size_t i;

    for (i = StrMap_Count(escrow->vms); i-- > 0;) {
        EscrowVm *vm = StrMap_At(escrow->vms, i);
        if (vm->sync_number != escrow->sync_number) {
            EscrowImpl_RemoveGrant(escrow, vm->name);
            vm->healthy = true;
            EscrowImpl_UpdateCharge(escrow, vm);
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
        if (pool->sync_number != escrow->sync_number && pool->spent == 0) {
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

/* Returns the VM's entry in a wave of the state, or NULL. */
static const StateWaveVm *
find_wave_vm(const State *state, const char *wave_name, const char *vm)
{
    const StateWave *wave = State_Wave(state, wave_name);

    return wave == NULL ? NULL
                        : bsearch(vm, wave->vms, wave->vm_count,
                                  sizeof(*wave->vms), compare_wave_vm);
}

/* Removes outcomes that the state holds or that belong to none of its waves.
 */
static void
remove_known_outcomes(Escrow *escrow, const State *state)
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

/* Releases the part of each share that exceeds both the share wanted and the
 * units spent. */
static void
release_surplus(Escrow *escrow)
{
    size_t i;

    for (i = 0; i < StrMap_Count(escrow->pools); i++) {
        EscrowPool *pool = StrMap_At(escrow->pools, i);
        int64_t keep = pool->wanted > pool->spent ? pool->wanted : pool->spent;
        int64_t surplus = Escrow_GetShareLimit(pool) - keep;
        if (surplus > 0) {
            pool->released += (uint64_t)surplus;
            pool->revision = ++escrow->revision;
        }
    }
}

Status
Escrow_Sync(Escrow *escrow, const State *state)
{
    if (State_GetAppliedIndex(state) < escrow->applied) {
        escrow->is_keeper = false;
        return ST_STALE;
    }
    escrow->is_keeper = update_keeper(escrow, state);
    if (!escrow->is_keeper) {
        return ST_AGAIN;
    }
    escrow->applied = State_GetAppliedIndex(state);
    escrow->sync_number++;
    sync_pools(escrow, state);
    sync_vms(escrow, state);
    remove_missing(escrow);
    remove_known_outcomes(escrow, state);
    release_surplus(escrow);
    return ST_OK;
}

/* Appends the request for a share if is_request is true, else the release of
 * the surplus, unless the state holds it. A release is appended only after
 * the record that holds it was saved. */
static bool
append_share_command(const Escrow *escrow, const EscrowPool *pool,
                     bool is_request, Buf *out)
{
    if (!is_request && pool->released > pool->state_released &&
        pool->revision <= escrow->saved_revision) {
        StateCmd_EncodeReleaseShare(out, pool->name, pool->number,
                                    escrow->data_centre, escrow->epoch,
                                    pool->released);
        return true;
    }
    if (is_request && pool->demand != pool->state_demand) {
        StateCmd_EncodeAskShare(out, pool->name, pool->number,
                                escrow->data_centre, escrow->epoch,
                                (uint64_t)pool->demand);
        return true;
    }
    return false;
}

static bool
append_grant_command(const Escrow *escrow, const State *state,
                     const EscrowGrant *grant, Buf *out)
{
    const StateWaveVm *vm;

    if (grant->purpose == ESCROW_MOVE) {
        if (Escrow_GetAction(escrow, state, grant) != ESCROW_ACTION_PROPOSE) {
            return false;
        }
        StateCmd_EncodeCloseVm(out, grant->vm, grant->epoch, escrow->epoch);
        return true;
    }
    vm = find_wave_vm(state, grant->wave, grant->vm);
    if (vm == NULL || vm->step != STATE_STEP_PENDING ||
        grant->revision > escrow->saved_revision) {
        return false;
    }
    StateCmd_EncodeWaveStep(out, grant->wave, grant->vm, STATE_STEP_STARTED);
    return true;
}

static bool
append_outcome_command(const Escrow *escrow, const State *state,
                       const EscrowOutcome *outcome, Buf *out)
{
    const StateWaveVm *vm = find_wave_vm(state, outcome->wave, outcome->vm);

    if (vm == NULL || vm->step >= STATE_STEP_DONE ||
        outcome->revision > escrow->saved_revision) {
        return false;
    }
    StateCmd_EncodeWaveStep(out, outcome->wave, outcome->vm, outcome->step);
    return true;
}

bool
Escrow_GetNextCommand(const Escrow *escrow, const State *state, size_t *cursor,
                      Buf *out)
{
    size_t pools = StrMap_Count(escrow->pools);
    size_t grants = StrMap_Count(escrow->grants);
    size_t outcomes = StrMap_Count(escrow->outcomes);

    while (escrow->is_keeper && *cursor < 2 * pools + grants + outcomes) {
        size_t i = (*cursor)++;
        bool found;
        if (i < 2 * pools) {
            found = append_share_command(
                escrow, StrMap_At(escrow->pools, i / 2), i % 2 == 1, out);
        }
        else if (i < 2 * pools + grants) {
            found = append_grant_command(
                escrow, state, StrMap_At(escrow->grants, i - 2 * pools), out);
        }
        else {
            found = append_outcome_command(
                escrow, state,
                StrMap_At(escrow->outcomes, i - 2 * pools - grants), out);
        }
        if (found) {
            return true;
        }
    }
    return false;
}
