#include "jobfleet_impl.h"

#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"

/* Time to drain, maintain and bring back one VM, with some margin. */
#define WAVE_ROUND_MS 6000

/* Returns the number of VMs of a wave that are or may be under
 * maintenance. */
static uint32_t
count_in_progress(JobFleet *fleet, int64_t now, const JobWave *wave)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < wave->vm_count; i++) {
        const FleetVm *vm = FleetImpl_FindVm(fleet, wave->vms[i].vm);
        if (vm == NULL) {
            continue;
        }
        count +=
            (vm->order == FLEET_ORDER_MAINTAIN && vm->wave == wave->number) ||
            (vm->order == FLEET_ORDER_NONE &&
             (vm->listed.busy ||
              FleetImpl_HasEarlierOrder(fleet, now, wave->vms[i].vm)));
    }
    return count;
}

static uint32_t
count_maintained_in_pool(const JobFleet *fleet, const char *pool)
{
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < fleet->vm_count; i++) {
        count += fleet->vms[i].order == FLEET_ORDER_MAINTAIN &&
                 strcmp(fleet->vms[i].listed.pool, pool) == 0;
    }
    return count;
}

static uint32_t
count_vms_in_pool(const JobFleet *fleet, const char *pool)
{
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < fleet->vm_count; i++) {
        count += strcmp(fleet->vms[i].listed.pool, pool) == 0;
    }
    return count;
}

static bool
is_standby_pool(const JobFleet *fleet, const char *pool)
{
    const JobPool *entry =
        JobConfig_FindPool(JobState_GetConfig(fleet->state), pool);

    return entry != NULL && entry->standby;
}

/* Returns a cost for the work that maintenance of a VM would disrupt; VMs of
 * the lowest cost are maintained first. */
static uint64_t
compute_disruption(const JobFleet *fleet, const FleetVm *vm)
{
    const JobTarget *target = FleetImpl_FindTarget(fleet, vm);
    uint64_t cost = 0;
    uint32_t i;

    if (is_standby_pool(fleet, vm->listed.pool) || target == NULL) {
        return 0;
    }
    cost = 1 + target->used.cpu;
    for (i = 0; i < target->run_count; i++) {
        cost += JobRun_GetStep(&target->runs[i])->lasting ? 1000000 : 0;
    }
    return cost;
}

/* Marks VMs of a wave that have left the platform as done. A VM list may be
 * older than the VM, so the VM must be missing for FLEET_ABSENT_MS first. */
static void
mark_removed_vms(JobFleet *fleet, int64_t now, JobWave *wave)
{
    uint32_t i;

    for (i = 0; i < wave->vm_count; i++) {
        JobWaveVm *vm = &wave->vms[i];
        Buf command = BUF_INIT;
        if (vm->done || FleetImpl_FindVm(fleet, vm->vm) != NULL) {
            vm->absent_since_ms = 0;
            continue;
        }
        vm->absent_since_ms =
            vm->absent_since_ms == 0 ? now : vm->absent_since_ms;
        if (fleet->list_sent_ms - vm->absent_since_ms < FLEET_ABSENT_MS) {
            continue;
        }
        JobCmd_EncodeWaveVm(&command, wave->number, wave->vms[i].vm, true);
        FleetImpl_QueueCommand(fleet, &command);
    }
}

/* Returns whether the tasks waiting for the pool of a VM need more than the
 * capacity of that VM. */
static bool
has_backlog(const JobFleet *fleet, int64_t now, const FleetVm *vm)
{
    JobPoolLoad load;

    if (is_standby_pool(fleet, vm->listed.pool)) {
        return false;
    }
    JobSched_PoolLoad(fleet->sched, now, vm->listed.pool, 0, &load);
    return load.waiting - load.suspect > vm->listed.cpu;
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

static FleetVm *
pick_next_vm(JobFleet *fleet, int64_t now, const JobWave *wave, bool urgent)
{
    FleetVm *best = NULL;
    uint64_t best_cost = UINT64_MAX;
    uint32_t i;

    for (i = 0; i < wave->vm_count; i++) {
        FleetVm *vm;
        uint32_t limit;
        uint64_t cost;
        if (wave->vms[i].done) {
            continue;
        }
        vm = FleetImpl_FindVm(fleet, wave->vms[i].vm);
        if (vm == NULL || vm->order != FLEET_ORDER_NONE || !vm->listed.up ||
            vm->listed.busy) {
            continue;
        }
        limit = count_vms_in_pool(fleet, vm->listed.pool) / 4 + 1;
        if (!is_standby_pool(fleet, vm->listed.pool) &&
            count_maintained_in_pool(fleet, vm->listed.pool) >= limit) {
            continue;
        }
        cost = compute_disruption(fleet, vm);
        if (cost < best_cost && (urgent || !has_backlog(fleet, now, vm))) {
            best_cost = cost;
            best = vm;
        }
    }
    return best;
}

void
FleetImpl_PlanWaves(JobFleet *fleet, int64_t now, int64_t wall_ms)
{
    size_t i;

    for (i = 0; i < JobState_WaveCount(fleet->state); i++) {
        JobWave *wave = JobState_WaveAt(fleet->state, i);
        bool urgent = is_urgent(wave, wall_ms);
        FleetVm *vm;
        if (wave->done == wave->vm_count) {
            continue;
        }
        mark_removed_vms(fleet, now, wave);
        while (count_in_progress(fleet, now, wave) < wave->cap &&
               (vm = pick_next_vm(fleet, now, wave, urgent)) != NULL) {
            FleetImpl_OrderVm(fleet, now, vm, FLEET_ORDER_MAINTAIN,
                              vm->listed.pool, wave->number);
        }
    }
}
