#include "jobfleet_impl.h"

#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "mem.h"
#include "slog.h"

/* Time to drain, maintain and bring back one VM, with some margin. */
#define WAVE_ROUND_MS 6000

/* Returns whether a call of an earlier leader for the maintenance of a VM may
 * still be carried out. */
static bool
is_unsettled(const JobFleet *fleet, int64_t now, const JobWaveVm *row)
{
    return row->ordered && !row->done &&
           now < FleetImpl_GetLateUntil(fleet, row->vm);
}

/* Returns the number of VMs of a wave that are or may be under
 * maintenance. */
static uint32_t
count_in_progress(JobFleet *fleet, int64_t now, const JobWave *wave)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < wave->vm_count; i++) {
        const JobWaveVm *row = &wave->vms[i];
        const FleetVm *vm = FleetImpl_FindVm(fleet, row->vm);
        if (vm == NULL || vm->order == FLEET_ORDER_NONE) {
            count += (vm != NULL && vm->listed.busy) ||
                     FleetImpl_HasEarlierOrder(fleet, now, row->vm) ||
                     is_unsettled(fleet, now, row);
        }
        else {
            count +=
                vm->order == FLEET_ORDER_MAINTAIN && vm->wave == wave->number;
        }
    }
    return count;
}

/* What a plan has to know of a pool, gathered once for each plan. */
typedef struct WavePool {
    const JobPool *pool;
    uint32_t vms;
    uint32_t maintained;
    int64_t waiting; /* need of waiting tasks that may share VMs */
} WavePool;

/* A VM of a wave that may be maintained next. */
typedef struct WaveCandidate {
    FleetVm *vm;
    WavePool *pool; /* NULL if the configuration has none of this name */
    uint64_t cost;
    uint32_t position; /* in the wave */
} WaveCandidate;

typedef struct WavePlan {
    JobFleet *fleet;
    int64_t now;
    WavePool *pools;
    size_t pool_count;
} WavePlan;

static WavePool *
find_pool(const WavePlan *plan, const char *name)
{
    size_t i;

    for (i = 0; i < plan->pool_count; i++) {
        if (strcmp(plan->pools[i].pool->name, name) == 0) {
            return &plan->pools[i];
        }
    }
    return NULL;
}

static void
gather_pools(WavePlan *plan)
{
    const JobConfig *config = JobState_GetConfig(plan->fleet->state);
    JobPoolLoad *loads = Mem_New(config->pool_count + 1, sizeof(*loads));
    size_t i;

    JobSched_GetWaiting(plan->fleet->sched, loads);
    plan->pools = Mem_New(config->pool_count + 1, sizeof(*plan->pools));
    for (i = 0; i < config->pool_count; i++) {
        WavePool *pool = &plan->pools[plan->pool_count++];
        pool->pool = &config->pools[i];
        if (!pool->pool->standby) {
            pool->waiting = loads[i].waiting - loads[i].suspect;
        }
    }
    free(loads);
    for (i = 0; i < StrMap_Count(plan->fleet->vms); i++) {
        const FleetVm *vm = StrMap_At(plan->fleet->vms, i);
        WavePool *pool = find_pool(plan, vm->listed.pool);
        if (pool != NULL) {
            pool->vms++;
            pool->maintained += vm->order == FLEET_ORDER_MAINTAIN;
        }
    }
}

/* Returns a cost for the work that maintenance of a VM would disrupt; VMs of
 * the lowest cost are maintained first. */
static uint64_t
compute_disruption(const JobFleet *fleet, const WavePool *pool,
                   const FleetVm *vm)
{
    const JobTarget *target = FleetImpl_FindTarget(fleet, vm);
    uint64_t cost = 0;
    uint32_t i;

    if ((pool != NULL && pool->pool->standby) || target == NULL) {
        return 0;
    }
    cost = 1 + target->used.cpu;
    for (i = 0; i < target->run_count; i++) {
        cost += JobRun_GetStep(&target->runs[i])->lasting ? 1000000 : 0;
    }
    return cost;
}

void
FleetImpl_ForgetAbsences(JobFleet *fleet)
{
    size_t i;
    uint32_t k;

    for (i = 0; i < JobState_WaveCount(fleet->state); i++) {
        JobWave *wave = JobState_WaveAt(fleet->state, i);
        for (k = 0; k < wave->vm_count; k++) {
            wave->vms[k].absent_since_ms = 0;
        }
    }
}

/* Marks VMs of a wave that have left the platform as done. A VM list may be
 * older than the VM, so the whole lists of FLEET_ABSENT_MS must lack it. */
static void
mark_removed_vms(JobFleet *fleet, JobWave *wave)
{
    uint32_t i;

    for (i = 0; i < wave->vm_count; i++) {
        JobWaveVm *vm = &wave->vms[i];
        Buf command = BUF_INIT;
        if (vm->done || FleetImpl_FindVm(fleet, vm->vm) != NULL) {
            vm->absent_since_ms = 0;
            continue;
        }
        if (vm->absent_since_ms == 0) {
            vm->absent_since_ms = fleet->whole_list_ms;
        }
        if (fleet->whole_list_ms - vm->absent_since_ms < FLEET_ABSENT_MS) {
            continue;
        }
        JobCmd_EncodeWaveVm(&command, wave->number, wave->vms[i].vm, true);
        FleetImpl_QueueCommand(fleet, &command);
    }
}

/* Returns whether a wave would end too late if it waited for the backlog of
 * pools to shrink. */
static bool
is_urgent(const JobWave *wave, int64_t wall_ms)
{
    int64_t rounds =
        (wave->vm_count - wave->done) / (wave->cap > 0 ? wave->cap : 1) + 1;

    return wave->start_ms + wave->duration_ms - wall_ms <
           (rounds + 1) * WAVE_ROUND_MS;
}

static int
compare_candidates(const void *a, const void *b)
{
    const WaveCandidate *left = a;
    const WaveCandidate *right = b;

    if (left->cost != right->cost) {
        return left->cost < right->cost ? -1 : 1;
    }
    return left->position < right->position ? -1 : 1;
}

/* Lists the VMs of a wave that have no order, those with the least work to
 * disrupt first. */
static size_t
list_candidates(const WavePlan *plan, const JobWave *wave,
                WaveCandidate *candidates)
{
    size_t count = 0;
    uint32_t i;

    for (i = 0; i < wave->vm_count; i++) {
        FleetVm *vm;
        if (wave->vms[i].done) {
            continue;
        }
        vm = FleetImpl_FindVm(plan->fleet, wave->vms[i].vm);
        if (vm != NULL && FleetImpl_IsReady(vm)) {
            WavePool *pool = find_pool(plan, vm->listed.pool);
            candidates[count++] = (WaveCandidate){
                vm, pool, compute_disruption(plan->fleet, pool, vm), i};
        }
    }
    qsort(candidates, count, sizeof(*candidates), compare_candidates);
    return count;
}

/* Returns whether one more VM of its pool may be maintained. A pool whose
 * waiting tasks need more than the VM keeps it unless the wave is urgent. */
static bool
may_maintain(const WaveCandidate *candidate, bool urgent)
{
    const WavePool *pool = candidate->pool;

    if (pool == NULL || pool->pool->standby) {
        return true;
    }
    return pool->maintained < pool->vms / 4 + 1 &&
           (urgent || pool->waiting <= candidate->vm->listed.cpu);
}

/* Repeats the calls of earlier leaders that may be carried out late. The
 * answer to a call with a higher fencing token settles them. */
static void
repeat_unsettled_orders(const WavePlan *plan, const JobWave *wave)
{
    uint32_t i;

    for (i = 0; i < wave->vm_count; i++) {
        const JobWaveVm *row = &wave->vms[i];
        FleetVm *vm = FleetImpl_FindVm(plan->fleet, row->vm);
        WavePool *pool;
        if (vm == NULL || !FleetImpl_IsReady(vm) ||
            !is_unsettled(plan->fleet, plan->now, row)) {
            continue;
        }
        Slog_Begin(SLOG_CHANGE, "vm_order_repeated");
        Slog_AddText("vm", row->vm);
        Slog_AddInt("wave", (int64_t)wave->number);
        Slog_End();
        FleetImpl_OrderVm(plan->fleet, plan->now, vm, FLEET_ORDER_MAINTAIN,
                          vm->listed.pool, wave->number);
        vm->unsettled_until_ms = FleetImpl_GetLateUntil(plan->fleet, row->vm);
        pool = find_pool(plan, vm->listed.pool);
        if (pool != NULL) {
            pool->maintained++;
        }
    }
}

static void
plan_wave(const WavePlan *plan, JobWave *wave, int64_t wall_ms)
{
    bool urgent = is_urgent(wave, wall_ms);
    uint32_t in_progress;
    WaveCandidate *candidates;
    size_t count;
    size_t i;

    mark_removed_vms(plan->fleet, wave);
    in_progress = count_in_progress(plan->fleet, plan->now, wave);
    if (in_progress <= wave->cap) {
        repeat_unsettled_orders(plan, wave);
    }
    if (in_progress >= wave->cap) {
        return;
    }
    candidates = Mem_New(wave->vm_count + 1, sizeof(*candidates));
    count = list_candidates(plan, wave, candidates);
    for (i = 0; i < count && in_progress < wave->cap; i++) {
        FleetVm *vm = candidates[i].vm;
        if (!may_maintain(&candidates[i], urgent)) {
            continue;
        }
        FleetImpl_OrderVm(plan->fleet, plan->now, vm, FLEET_ORDER_MAINTAIN,
                          vm->listed.pool, wave->number);
        in_progress++;
        if (candidates[i].pool != NULL) {
            candidates[i].pool->maintained++;
        }
    }
    free(candidates);
}

void
FleetImpl_PlanWaves(JobFleet *fleet, int64_t now, int64_t wall_ms)
{
    WavePlan plan = {.fleet = fleet, .now = now};
    size_t i;

    for (i = 0; i < JobState_WaveCount(fleet->state); i++) {
        JobWave *wave = JobState_WaveAt(fleet->state, i);
        if (wave->done == wave->vm_count) {
            continue;
        }
        if (plan.pools == NULL) {
            gather_pools(&plan);
        }
        plan_wave(&plan, wave, wall_ms);
    }
    free(plan.pools);
}
