#include "escrow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "escrow_impl.h"
#include "mem.h"

Escrow *
Escrow_New(const char *member, const char *data_centre, uint64_t identity)
{
    Escrow *escrow = Mem_New(1, sizeof(*escrow));

    snprintf(escrow->member, sizeof(escrow->member), "%s", member);
    snprintf(escrow->data_centre, sizeof(escrow->data_centre), "%s",
             data_centre);
    escrow->identity = identity;
    escrow->pools = StrMap_New();
    escrow->vms = StrMap_New();
    escrow->grants = StrMap_New();
    escrow->outcomes = StrMap_New();
    return escrow;
}

void
Escrow_Free(Escrow *escrow)
{
    if (escrow != NULL) {
        StrMap_FreeAll(escrow->pools);
        StrMap_FreeAll(escrow->vms);
        StrMap_FreeAll(escrow->grants);
        StrMap_FreeAll(escrow->outcomes);
        free(escrow);
    }
}

bool
Escrow_NeedsSave(const Escrow *escrow)
{
    return escrow->saved_revision < escrow->revision;
}

void
Escrow_MarkSaved(Escrow *escrow, uint64_t revision)
{
    if (revision > escrow->saved_revision) {
        escrow->saved_revision = revision;
    }
}

EscrowPool *
EscrowImpl_FindOrAddPool(Escrow *escrow, const char *name, uint64_t number)
{
    EscrowPool *pool = StrMap_Get(escrow->pools, name);

    if (pool == NULL) {
        pool = Mem_New(1, sizeof(*pool));
        snprintf(pool->name, sizeof(pool->name), "%s", name);
        pool->number = number;
        StrMap_Put(escrow->pools, pool->name, pool);
    }
    else if (pool->number != number) {
        /* The pool was deleted and created again: its totals start at 0. */
        pool->number = number;
        pool->granted = 0;
        pool->released = 0;
        pool->state_released = 0;
        pool->demand = 0;
    }
    return pool;
}

EscrowGrant *
EscrowImpl_AddGrant(Escrow *escrow, const char *vm, const char *pool,
                    const char *wave, EscrowPurpose purpose)
{
    EscrowGrant *grant = Mem_New(1, sizeof(*grant));

    snprintf(grant->vm, sizeof(grant->vm), "%s", vm);
    snprintf(grant->pool, sizeof(grant->pool), "%s", pool);
    snprintf(grant->wave, sizeof(grant->wave), "%s", wave);
    grant->purpose = purpose;
    grant->revision = ++escrow->revision;
    StrMap_Put(escrow->grants, grant->vm, grant);
    return grant;
}

EscrowOutcome *
EscrowImpl_AddOutcome(Escrow *escrow, const char *wave, const char *vm,
                      StateStep step)
{
    char key[ESCROW_KEY_BYTES];
    EscrowOutcome *outcome;

    snprintf(key, sizeof(key), "%s/%s", wave, vm);
    outcome = StrMap_Get(escrow->outcomes, key);
    if (outcome == NULL) {
        outcome = Mem_New(1, sizeof(*outcome));
        snprintf(outcome->key, sizeof(outcome->key), "%s", key);
        snprintf(outcome->wave, sizeof(outcome->wave), "%s", wave);
        snprintf(outcome->vm, sizeof(outcome->vm), "%s", vm);
        StrMap_Put(escrow->outcomes, outcome->key, outcome);
    }
    outcome->step = step;
    outcome->revision = ++escrow->revision;
    return outcome;
}

void
EscrowImpl_RemoveGrant(Escrow *escrow, const char *vm)
{
    EscrowGrant *grant = StrMap_Remove(escrow->grants, vm);

    if (grant != NULL) {
        free(grant);
        escrow->revision++;
    }
}

void
EscrowImpl_UpdateCharge(Escrow *escrow, EscrowVm *vm)
{
    const EscrowGrant *grant = StrMap_Get(escrow->grants, vm->name);
    EscrowPool *charged = NULL;

    if (grant != NULL) {
        charged = StrMap_Get(escrow->pools, grant->pool);
    }
    else if (!vm->healthy) {
        charged = vm->pool;
    }
    if (charged == vm->charged_pool) {
        return;
    }
    if (vm->charged_pool != NULL) {
        vm->charged_pool->spent--;
    }
    if (charged != NULL) {
        charged->spent++;
    }
    vm->charged_pool = charged;
}

void
Escrow_SetVmHealth(Escrow *escrow, const char *name, bool healthy,
                   uint64_t incarnation)
{
    EscrowVm *vm = StrMap_Get(escrow->vms, name);

    if (vm != NULL) {
        vm->healthy = healthy;
        vm->incarnation = incarnation != 0 ? incarnation : vm->incarnation;
        EscrowImpl_UpdateCharge(escrow, vm);
    }
}

int64_t
Escrow_GetShareLimit(const EscrowPool *pool)
{
    return pool->granted > pool->released
               ? (int64_t)(pool->granted - pool->released)
               : 0;
}

/* Returns the VM if its drain or move may be granted, or NULL with the reason
 * in err. */
static EscrowVm *
find_grantable_vm(const Escrow *escrow, const char *name, ErrCtx *err)
{
    EscrowVm *vm = StrMap_Get(escrow->vms, name);
    int64_t spent;

    if (!escrow->is_keeper) {
        Err_Set(err, ST_AGAIN, "%s is not the keeper of data centre %s",
                escrow->member, escrow->data_centre);
        return NULL;
    }
    if (vm == NULL) {
        Err_Set(err, ST_NOT_FOUND, "no VM %s in data centre %s", name,
                escrow->data_centre);
        return NULL;
    }
    if (StrMap_Get(escrow->grants, name) != NULL || vm->moving) {
        Err_Set(err, ST_EXISTS,
                "VM %s already has a grant or is closed for a move", name);
        return NULL;
    }
    /* The spent of the pool already includes a VM that is not healthy. */
    spent = vm->pool->spent + (vm->charged_pool == NULL ? 1 : 0);
    if (spent > Escrow_GetShareLimit(vm->pool)) {
        Err_Set(err, ST_FULL,
                "%lld of the share of %lld VMs in pool %s are unavailable in "
                "data centre %s",
                (long long)vm->pool->spent,
                (long long)Escrow_GetShareLimit(vm->pool), vm->pool->name,
                escrow->data_centre);
        return NULL;
    }
    return vm;
}

static Status
grant_vm(Escrow *escrow, const char *name, const char *wave,
         EscrowPurpose purpose, ErrCtx *err)
{
    ErrCtx local_err;
    EscrowGrant *grant;
    EscrowVm *vm;

    if (err == NULL) {
        err = &local_err;
    }
    vm = find_grantable_vm(escrow, name, err);
    if (vm == NULL) {
        return err->status;
    }
    grant =
        EscrowImpl_AddGrant(escrow, vm->name, vm->pool->name, wave, purpose);
    grant->epoch = vm->epoch;
    grant->incarnation = vm->incarnation;
    EscrowImpl_UpdateCharge(escrow, vm);
    return ST_OK;
}

Status
Escrow_GrantDrain(Escrow *escrow, const char *vm, const char *wave,
                  ErrCtx *err)
{
    return grant_vm(escrow, vm, wave, ESCROW_DRAIN, err);
}

Status
Escrow_GrantMove(Escrow *escrow, const State *state, const char *name,
                 ErrCtx *err)
{
    const StateVm *vm = State_Vm(state, name);
    const EscrowVm *tracked = StrMap_Get(escrow->vms, name);

    if (vm == NULL || vm->move == NULL || vm->assignment != STATE_OPEN) {
        return Err_Set(err, ST_INVALID, "VM %s has no pending move", name);
    }
    if (tracked != NULL && tracked->epoch != vm->epoch) {
        return Err_Set(err, ST_AGAIN, "VM %s changed since the last sync",
                       name);
    }
    if (tracked != NULL && !tracked->healthy) {
        return Err_Set(err, ST_AGAIN, "VM %s is not healthy", name);
    }
    return grant_vm(escrow, name, "", ESCROW_MOVE, err);
}

Status
Escrow_AdvanceDrain(Escrow *escrow, const char *vm, EscrowStep step)
{
    EscrowGrant *grant = StrMap_Get(escrow->grants, vm);

    if (grant == NULL || grant->purpose != ESCROW_DRAIN) {
        return ST_NOT_FOUND;
    }
    if (step <= grant->step) {
        return ST_OK;
    }
    if (step != grant->step + 1) {
        return ST_INVALID;
    }
    grant->step = step;
    grant->revision = ++escrow->revision;
    return ST_OK;
}

Status
Escrow_EndDrain(Escrow *escrow, const char *name, bool ok)
{
    EscrowGrant *grant = StrMap_Get(escrow->grants, name);
    EscrowVm *vm = StrMap_Get(escrow->vms, name);

    if (grant == NULL || grant->purpose != ESCROW_DRAIN) {
        return ST_NOT_FOUND;
    }
    if (ok && grant->step != ESCROW_REBOOTED) {
        return ST_INVALID;
    }
    if (grant->wave[0] != '\0') {
        EscrowImpl_AddOutcome(escrow, grant->wave, grant->vm,
                              ok ? STATE_STEP_DONE : STATE_STEP_FAILED);
    }
    EscrowImpl_RemoveGrant(escrow, name);
    if (vm != NULL) {
        EscrowImpl_UpdateCharge(escrow, vm);
    }
    return ST_OK;
}

void
Escrow_SkipVm(Escrow *escrow, const char *wave, const char *vm)
{
    EscrowImpl_AddOutcome(escrow, wave, vm, STATE_STEP_SKIPPED);
}

void
Escrow_SetDemand(Escrow *escrow, const char *name, int64_t units)
{
    EscrowPool *pool = StrMap_Get(escrow->pools, name);

    if (pool != NULL) {
        pool->demand = units < 0 ? 0 : units;
    }
}

EscrowAction
Escrow_GetAction(const Escrow *escrow, const State *state,
                 const EscrowGrant *grant)
{
    static const EscrowAction drain_actions[] = {
        ESCROW_ACTION_CLOSE, ESCROW_ACTION_DRAIN, ESCROW_ACTION_REBOOT,
        ESCROW_ACTION_OPEN};
    const StateVm *vm;

    if (!escrow->is_keeper) {
        return ESCROW_ACTION_WAIT;
    }
    if (grant->revision > escrow->saved_revision) {
        return ESCROW_ACTION_SAVE;
    }
    if (grant->purpose == ESCROW_DRAIN) {
        return drain_actions[grant->step];
    }
    vm = State_Vm(state, grant->vm);
    if (vm != NULL && vm->move != NULL && vm->assignment == STATE_OPEN &&
        vm->epoch == grant->epoch) {
        return ESCROW_ACTION_PROPOSE;
    }
    return ESCROW_ACTION_WAIT;
}

size_t
Escrow_GrantCount(const Escrow *escrow)
{
    return StrMap_Count(escrow->grants);
}

const EscrowGrant *
Escrow_GrantAt(const Escrow *escrow, size_t i)
{
    return StrMap_At(escrow->grants, i);
}

const EscrowGrant *
Escrow_FindGrant(const Escrow *escrow, const char *vm)
{
    return StrMap_Get(escrow->grants, vm);
}

bool
Escrow_HasOutcome(const Escrow *escrow, const char *wave, const char *vm)
{
    char key[ESCROW_KEY_BYTES];

    snprintf(key, sizeof(key), "%s/%s", wave, vm);
    return StrMap_Get(escrow->outcomes, key) != NULL;
}

size_t
Escrow_CountFailedOutcomes(const Escrow *escrow, const char *wave)
{
    size_t failed = 0;
    size_t i;

    for (i = 0; i < StrMap_Count(escrow->outcomes); i++) {
        const EscrowOutcome *outcome = StrMap_At(escrow->outcomes, i);
        failed += outcome->step == STATE_STEP_FAILED &&
                  strcmp(outcome->wave, wave) == 0;
    }
    return failed;
}

size_t
Escrow_PoolCount(const Escrow *escrow)
{
    return StrMap_Count(escrow->pools);
}

const EscrowPool *
Escrow_PoolAt(const Escrow *escrow, size_t i)
{
    return StrMap_At(escrow->pools, i);
}

const EscrowPool *
Escrow_FindPool(const Escrow *escrow, const char *name)
{
    return StrMap_Get(escrow->pools, name);
}

bool
Escrow_IsHealthy(const Escrow *escrow, const char *name)
{
    const EscrowVm *vm = StrMap_Get(escrow->vms, name);

    return vm != NULL && vm->healthy;
}

bool
Escrow_IsKeeper(const Escrow *escrow)
{
    return escrow->is_keeper;
}
