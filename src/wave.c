#include "wave.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Busy VMs of a pool that are passed over in search of one to begin with. */
#define MAX_PASSED 64

typedef struct PlanVm {
    char name[STATE_NAME_BYTES];
    char pool[STATE_NAME_BYTES];
    char rack[STATE_NAME_BYTES];
} PlanVm;

/* The VMs of one pool: vms[next] up to vms[end - 1] are still to be done. */
typedef struct PlanPool {
    size_t begin;
    size_t next;
    size_t end;
} PlanPool;

struct WavePlan {
    char wave[STATE_NAME_BYTES];
    WaveLimits limits;
    bool held; /* by the burn rate */
    PlanVm *vms;
    size_t vm_count;
    PlanPool *pools;
    size_t pool_count;
    size_t turn; /* the pool that is asked first next time */
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
add_pools(WavePlan *plan)
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
        PlanVm *to = &plan->vms[plan->vm_count];
        if (vm == NULL || strcmp(vm->data_centre, data_centre) != 0 ||
            wave->vms[i].step >= STATE_STEP_DONE) {
            continue;
        }
        snprintf(to->name, sizeof(to->name), "%s", vm->name);
        snprintf(to->pool, sizeof(to->pool), "%s", vm->pool);
        snprintf(to->rack, sizeof(to->rack), "%s", vm->rack);
        plan->vm_count++;
    }
    qsort(plan->vms, plan->vm_count, sizeof(*plan->vms), compare_vms);
    add_pools(plan);
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
decide(WaveDecision *decision, WaveAction action, const char *vm,
       const char *format, ...)
{
    va_list args;

    decision->action = action;
    decision->vm = vm;
    va_start(args, format);
    vsnprintf(decision->reason, sizeof(decision->reason), format, args);
    va_end(args);
}

/* Decides what concerns the wave as a whole. Returns false when nothing
 * stops it. */
static bool
check_wave(WavePlan *plan, const StateWave *wave, const Escrow *escrow,
           int64_t now_ms, double burn, WaveDecision *decision)
{
    size_t failed;

    if (wave == NULL || wave->state == STATE_WAVE_CANCELLED ||
        wave->state == STATE_WAVE_DONE) {
        decide(decision, WAVE_FINISHED, NULL, "the wave has ended");
        return true;
    }
    if (wave->deadline_ms != 0 && now_ms >= wave->deadline_ms) {
        decide(decision, WAVE_CANCEL, NULL,
               "the deadline has passed with %zu VMs left",
               wave->steps[STATE_STEP_PENDING]);
        return true;
    }
    if (wave->state == STATE_WAVE_PAUSED) {
        decide(decision, WAVE_WAIT, NULL, "paused: %.100s", wave->reason);
        return true;
    }
    failed = wave->steps[STATE_STEP_FAILED] +
             Escrow_FailedOutcomes(escrow, wave->name);
    if (failed >= wave->failed_before + plan->limits.max_failed) {
        decide(decision, WAVE_PAUSE, NULL,
               "%zu VMs failed since the wave was started or resumed",
               failed - (size_t)wave->failed_before);
        return true;
    }
    plan->held = burn >= (plan->held ? plan->limits.resume_burn
                                     : plan->limits.hold_burn);
    if (plan->held) {
        decide(decision, WAVE_WAIT, NULL,
               "burn rate %.2f; drains begin again below %.2f", burn,
               plan->limits.resume_burn);
        return true;
    }
    return false;
}

static int
compare_wave_vm(const void *name, const void *vm)
{
    return strcmp(name, ((const StateWaveVm *)vm)->name);
}

/* Returns whether a VM needs no drain any more, or has none left to begin. */
static bool
is_past(const WavePlan *plan, const State *state, const StateWave *wave,
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

/* Returns whether a VM is in another drain or in a move. */
static bool
is_busy(const State *state, const Escrow *escrow, const char *vm)
{
    return Escrow_FindGrant(escrow, vm) != NULL ||
           State_Vm(state, vm)->assignment != STATE_OPEN;
}

/* Returns the first VM of a pool to begin with. One that is busy is passed
 * over for now, so that a stuck move does not stop the pool; *left tells
 * whether any VM is left. */
static const PlanVm *
first_to_begin(const WavePlan *plan, const State *state, const StateWave *wave,
               const Escrow *escrow, PlanPool *pool, bool *left)
{
    size_t i;

    *left = false;
    for (i = pool->next; i < pool->end && i < pool->next + MAX_PASSED; i++) {
        const PlanVm *vm = &plan->vms[i];
        if (is_past(plan, state, wave, escrow, vm)) {
            pool->next += i == pool->next;
            continue;
        }
        *left = true;
        if (!is_busy(state, escrow, vm->name)) {
            return vm;
        }
    }
    return NULL;
}

/* Decides on one VM. Returns false when it waits; the reason is in the
 * decision. */
static bool
check_vm(const State *state, const Escrow *escrow, const PlanVm *vm,
         WaveDecision *decision)
{
    const char *pool = State_Vm(state, vm->name)->pool;
    const EscrowPool *share = Escrow_FindPool(escrow, pool);
    long long spent = share != NULL ? share->spent : 0;
    long long limit = share != NULL ? Escrow_Limit(share) : 0;

    if (!Escrow_IsHealthy(escrow, vm->name)) {
        decide(decision, WAVE_SKIP, vm->name, "VM %s is down already",
               vm->name);
        return true;
    }
    if (spent >= limit) {
        decide(decision, WAVE_WAIT, vm->name,
               "pool %s has %lld of a share of %lld unavailable", pool, spent,
               limit);
        return false;
    }
    decide(decision, WAVE_DRAIN, vm->name,
           "pool %s has %lld of a share of %lld unavailable; rack %s", pool,
           spent, limit, vm->rack);
    return true;
}

/* Returns whether drains of the wave are under way here. */
static bool
has_grants(const WavePlan *plan, const Escrow *escrow)
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
WavePlan_Next(WavePlan *plan, const State *state, const Escrow *escrow,
              int64_t now_ms, double burn, WaveDecision *decision)
{
    const StateWave *wave = State_Wave(state, plan->wave);
    bool waits = false;
    size_t i;

    memset(decision, 0, sizeof(*decision));
    if (check_wave(plan, wave, escrow, now_ms, burn, decision)) {
        return;
    }
    if (!Escrow_IsKeeper(escrow)) {
        decide(decision, WAVE_WAIT, NULL, "this member is not the keeper");
        return;
    }
    for (i = 0; i < plan->pool_count; i++) {
        PlanPool *pool = &plan->pools[(plan->turn + i) % plan->pool_count];
        bool left;
        const PlanVm *vm =
            first_to_begin(plan, state, wave, escrow, pool, &left);
        if (vm == NULL && left) {
            decide(decision, WAVE_WAIT, NULL,
                   "the VMs left in a pool are in other drains or moves");
        }
        waits = waits || left;
        if (vm != NULL && check_vm(state, escrow, vm, decision)) {
            plan->turn = (plan->turn + i) % plan->pool_count;
            return;
        }
    }
    if (!waits && has_grants(plan, escrow)) {
        decide(decision, WAVE_WAIT, NULL, "the last drains are under way");
    }
    else if (!waits) {
        decide(decision, WAVE_FINISHED, NULL, "no VM is left");
    }
}

size_t
WavePlan_Pending(const WavePlan *plan, const char *pool)
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
