#include "wave.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Maximum number of VMs examined per pool and decision, from the first pending
 * VM on. */
#define MAX_SCANNED_VMS 64

typedef struct PlanVm {
    char name[STATE_NAME_BYTES];
    char pool[STATE_NAME_BYTES];
    char rack[STATE_NAME_BYTES];
} PlanVm;

/* The range of one pool in vms. The VMs before next need no further decision.
 */
typedef struct PlanPool {
    size_t begin;
    size_t next;
    size_t end;
} PlanPool;

struct WavePlan {
    char wave[STATE_NAME_BYTES];
    WaveLimits limits;
    bool held_by_burn; /* true while the burn rate stops new drains */
    PlanVm *vms;
    size_t vm_count;
    PlanPool *pools;
    size_t pool_count;
    size_t next_pool; /* pool index at which the next decision starts */
};

static int
compare_vms(const void *a, const void *b)
{
    const PlanVm *x = a;
    const PlanVm *y = b;
    int order = strcmp(x->pool, y->pool);

    if (order == 0) {
        order = strcmp(x->rack, y->rack);
    }
    return order != 0 ? order : strcmp(x->name, y->name);
}

static void
add_pool_ranges(WavePlan *plan)
{
    size_t i;

    for (i = 0; i < plan->vm_count; i++) {
        if (i == 0 || strcmp(plan->vms[i - 1].pool, plan->vms[i].pool) != 0) {
            plan->pools[plan->pool_count++] = (PlanPool){i, i, i};
        }
        plan->pools[plan->pool_count - 1].end = i + 1;
    }
}

WavePlan *
WavePlan_New(const State *state, const char *wave_name,
             const char *data_centre, const WaveLimits *limits)
{
    const StateWave *wave = State_Wave(state, wave_name);
    WavePlan *plan;
    size_t i;

    if (wave == NULL) {
        return NULL;
    }
    plan = calloc(1, sizeof(*plan));
    if (plan == NULL) {
        return NULL;
    }
    plan->vms = calloc(wave->vm_count, sizeof(*plan->vms));
    plan->pools = calloc(wave->vm_count, sizeof(*plan->pools));
    if (plan->vms == NULL || plan->pools == NULL) {
        WavePlan_Free(plan);
        return NULL;
    }
    snprintf(plan->wave, sizeof(plan->wave), "%s", wave_name);
    plan->limits = *limits;
    for (i = 0; i < wave->vm_count; i++) {
        const StateVm *vm = State_Vm(state, wave->vms[i].name);
        PlanVm *planned = &plan->vms[plan->vm_count];
        if (vm == NULL || strcmp(vm->data_centre, data_centre) != 0 ||
            wave->vms[i].step >= STATE_STEP_DONE) {
            continue;
        }
        snprintf(planned->name, sizeof(planned->name), "%s", vm->name);
        snprintf(planned->pool, sizeof(planned->pool), "%s", vm->pool);
        snprintf(planned->rack, sizeof(planned->rack), "%s", vm->rack);
        plan->vm_count++;
    }
    qsort(plan->vms, plan->vm_count, sizeof(*plan->vms), compare_vms);
    add_pool_ranges(plan);
    return plan;
}

void
WavePlan_Free(WavePlan *plan)
{
    if (plan != NULL) {
        free(plan->vms);
        free(plan->pools);
        free(plan);
    }
}

#if defined(__GNUC__)
__attribute__((format(printf, 4, 5)))
#endif
static void
set_decision(WaveDecision *decision, WaveAction action, const char *vm,
             const char *format, ...)
{
    va_list args;

    decision->action = action;
    decision->vm = vm;
    va_start(args, format);
    vsnprintf(decision->reason, sizeof(decision->reason), format, args);
    va_end(args);
}

/* Returns true and sets the decision if a condition of the whole wave rules
 * out a drain now. */
static bool
decide_for_wave(WavePlan *plan, const StateWave *wave, const Escrow *escrow,
                int64_t now_ms, double burn, WaveDecision *decision)
{
    size_t failed;

    if (wave == NULL || wave->state == STATE_WAVE_CANCELLED ||
        wave->state == STATE_WAVE_DONE) {
        set_decision(decision, WAVE_FINISHED, NULL, "the wave has ended");
        return true;
    }
    if (wave->deadline_ms != 0 && now_ms >= wave->deadline_ms) {
        set_decision(decision, WAVE_CANCEL, NULL,
                     "the deadline has passed with %zu VMs left",
                     wave->steps[STATE_STEP_PENDING]);
        return true;
    }
    if (wave->state == STATE_WAVE_PAUSED) {
        set_decision(decision, WAVE_WAIT, NULL, "paused: %.100s",
                     wave->reason);
        return true;
    }
    failed = wave->steps[STATE_STEP_FAILED] +
             Escrow_CountFailedOutcomes(escrow, wave->name);
    if (failed >= wave->failed_at_resume + plan->limits.max_failed) {
        set_decision(decision, WAVE_PAUSE, NULL,
                     "%zu VMs failed since the wave was started or resumed",
                     failed - (size_t)wave->failed_at_resume);
        return true;
    }
    plan->held_by_burn =
        burn >= (plan->held_by_burn ? plan->limits.resume_burn_rate
                                    : plan->limits.hold_burn_rate);
    if (plan->held_by_burn) {
        set_decision(decision, WAVE_WAIT, NULL,
                     "burn rate %.2f; drains begin again below %.2f", burn,
                     plan->limits.resume_burn_rate);
        return true;
    }
    return false;
}

static int
compare_wave_vm(const void *name, const void *vm)
{
    return strcmp(name, ((const StateWaveVm *)vm)->name);
}

/* Returns whether a VM needs no drain, or its drain has already started. */
static bool
is_handled(const WavePlan *plan, const State *state, const StateWave *wave,
           const Escrow *escrow, const PlanVm *vm)
{
    const StateWaveVm *step = bsearch(vm->name, wave->vms, wave->vm_count,
                                      sizeof(*wave->vms), compare_wave_vm);
    const EscrowGrant *grant = Escrow_FindGrant(escrow, vm->name);

    return step == NULL || step->step >= STATE_STEP_DONE ||
           State_Vm(state, vm->name) == NULL ||
           Escrow_HasOutcome(escrow, plan->wave, vm->name) ||
           (grant != NULL && strcmp(grant->wave, plan->wave) == 0);
}

/* Returns whether a pending VM is in a move or in a drain outside the wave. */
static bool
is_busy(const State *state, const Escrow *escrow, const char *vm)
{
    return Escrow_FindGrant(escrow, vm) != NULL ||
           State_Vm(state, vm)->assignment != STATE_OPEN;
}

/* Returns the first pending VM of a pool that is not busy, or NULL. Skips busy
 * VMs until a later call, so that a stuck move does not block the pool. Sets
 * *pending to whether one of the examined VMs is pending. */
static const PlanVm *
find_vm_to_start(const WavePlan *plan, const State *state,
                 const StateWave *wave, const Escrow *escrow, PlanPool *pool,
                 bool *pending)
{
    size_t i;

    *pending = false;
    for (i = pool->next; i < pool->end && i < pool->next + MAX_SCANNED_VMS;
         i++) {
        const PlanVm *vm = &plan->vms[i];
        if (is_handled(plan, state, wave, escrow, vm)) {
            pool->next += i == pool->next;
            continue;
        }
        *pending = true;
        if (!is_busy(state, escrow, vm->name)) {
            return vm;
        }
    }
    return NULL;
}

/* Sets the decision for one VM. Returns false if the VM has to wait for a free
 * unit of the share. */
static bool
decide_for_vm(const State *state, const Escrow *escrow, const PlanVm *vm,
              WaveDecision *decision)
{
    const char *pool = State_Vm(state, vm->name)->pool;
    const EscrowPool *share = Escrow_FindPool(escrow, pool);
    long long spent = share != NULL ? share->spent : 0;
    long long limit = share != NULL ? Escrow_GetShareLimit(share) : 0;

    if (!Escrow_IsHealthy(escrow, vm->name)) {
        set_decision(decision, WAVE_SKIP, vm->name, "VM %s is down already",
                     vm->name);
        return true;
    }
    if (spent >= limit) {
        set_decision(decision, WAVE_WAIT, vm->name,
                     "pool %s has %lld of a share of %lld unavailable", pool,
                     spent, limit);
        return false;
    }
    set_decision(decision, WAVE_DRAIN, vm->name,
                 "pool %s has %lld of a share of %lld unavailable; rack %s",
                 pool, spent, limit, vm->rack);
    return true;
}

/* Returns whether drains of the wave are in progress in this data centre. */
static bool
has_drains_in_progress(const WavePlan *plan, const Escrow *escrow)
{
    size_t i;

    for (i = 0; i < Escrow_GrantCount(escrow); i++) {
        if (strcmp(Escrow_GrantAt(escrow, i)->wave, plan->wave) == 0) {
            return true;
        }
    }
    return false;
}

void
WavePlan_DecideNext(WavePlan *plan, const State *state, const Escrow *escrow,
                    int64_t now_ms, double burn, WaveDecision *decision)
{
    const StateWave *wave = State_Wave(state, plan->wave);
    bool any_pending = false;
    size_t i;

    memset(decision, 0, sizeof(*decision));
    if (decide_for_wave(plan, wave, escrow, now_ms, burn, decision)) {
        return;
    }
    if (!Escrow_IsKeeper(escrow)) {
        set_decision(decision, WAVE_WAIT, NULL,
                     "this member is not the keeper");
        return;
    }
    for (i = 0; i < plan->pool_count; i++) {
        PlanPool *pool =
            &plan->pools[(plan->next_pool + i) % plan->pool_count];
        bool pending;
        const PlanVm *vm =
            find_vm_to_start(plan, state, wave, escrow, pool, &pending);
        if (vm == NULL && pending) {
            set_decision(
                decision, WAVE_WAIT, NULL,
                "the VMs left in a pool are in other drains or moves");
        }
        any_pending = any_pending || pending;
        if (vm != NULL && decide_for_vm(state, escrow, vm, decision)) {
            plan->next_pool = (plan->next_pool + i) % plan->pool_count;
            return;
        }
    }
    if (!any_pending && has_drains_in_progress(plan, escrow)) {
        set_decision(decision, WAVE_WAIT, NULL,
                     "the last drains are under way");
    }
    else if (!any_pending) {
        set_decision(decision, WAVE_FINISHED, NULL, "no VM is left");
    }
}

size_t
WavePlan_CountPending(const WavePlan *plan, const char *pool)
{
    size_t i;

    for (i = 0; i < plan->pool_count; i++) {
        const PlanPool *row = &plan->pools[i];
        if (strcmp(plan->vms[row->begin].pool, pool) == 0) {
            return row->end - row->next;
        }
    }
    return 0;
}

const char *
WavePlan_PoolAt(const WavePlan *plan, size_t i)
{
    return i < plan->pool_count ? plan->vms[plan->pools[i].begin].pool : NULL;
}

const char *
WavePlan_VmAt(const WavePlan *plan, size_t i)
{
    return i < plan->vm_count ? plan->vms[i].name : NULL;
}
