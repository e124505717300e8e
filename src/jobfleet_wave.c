#include "jobfleet_impl.h"

#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"

/* A VM that lists have missed for so long has left. */
#define WAVE_ABSENT_MS 6000
/* Draining, maintenance and return of one VM, with some reserve. */
#define WAVE_ROUND_MS 6000

/* Returns the VMs of a wave that are or may be under maintenance. */
static uint32_t
under_way(JobFleet *fleet, int64_t now, const JobWave *wave)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < wave->vm_count; i++) {
        const FleetVm *vm = FleetImpl_Find(fleet, wave->vms[i].vm);
        if (vm == NULL) {
            continue;
        }
        count += (vm->order == FLEET_MAINTAIN && vm->wave == wave->number) ||
                 (vm->order == FLEET_NONE &&
                  (vm->listed.busy ||
                   FleetImpl_IsUnsettled(fleet, now, wave->vms[i].vm)));
    }
    return count;
}

static uint32_t
under_way_in_pool(const JobFleet *fleet, const char *pool)
{
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < fleet->vm_count; i++) {
        count += fleet->vms[i].order == FLEET_MAINTAIN &&
                 strcmp(fleet->vms[i].listed.pool, pool) == 0;
    }
    return count;
}

static uint32_t
vms_in_pool(const JobFleet *fleet, const char *pool)
{
    uint32_t count = 0;
    size_t i;

    for (i = 0; i < fleet->vm_count; i++) {
        count += strcmp(fleet->vms[i].listed.pool, pool) == 0;
    }
    return count;
}

static bool
is_standby(const JobFleet *fleet, const char *pool)
{
    const JobPool *row = JobConfig_Pool(JobState_Config(fleet->state), pool);

    return row != NULL && row->standby;
}

/* Returns how much a VM holds that maintenance would disturb; the least goes
 * first. */
static uint64_t
disturbance(const JobFleet *fleet, const FleetVm *vm)
{
    const JobTarget *target = FleetImpl_Target(fleet, vm);
    uint64_t cost = 0;
    uint32_t i;

    if (is_standby(fleet, vm->listed.pool) || target == NULL) {
        return 0;
    }
    cost = 1 + target->used.cpu;
    for (i = 0; i < target->run_count; i++) {
        cost += JobRun_Step(&target->runs[i])->lasting ? 1000000 : 0;
    }
    return cost;
}

/* Marks VMs of a wave that have left the platform. A list may be older than
 * the VM, so one is missed for some time first. */
static void
note_left(JobFleet *fleet, int64_t now, JobWave *wave)
{
    uint32_t i;

    for (i = 0; i < wave->vm_count; i++) {
        JobWaveVm *vm = &wave->vms[i];
        Buf command = BUF_INIT;
        if (vm->done || FleetImpl_Find(fleet, vm->vm) != NULL) {
            vm->absent_ms = 0;
            continue;
        }
        vm->absent_ms = vm->absent_ms == 0 ? now : vm->absent_ms;
        if (fleet->list_sent_ms - vm->absent_ms < WAVE_ABSENT_MS) {
            continue;
        }
        JobCmd_WaveVm(&command, wave->number, wave->vms[i].vm, true);
        FleetImpl_Command(fleet, &command);
    }
}

/* Returns whether work waits in a pool for room. */
static bool
is_pressed(const JobFleet *fleet, int64_t now, const FleetVm *vm)
{
    JobPoolLoad load;

    if (is_standby(fleet, vm->listed.pool)) {
        return false;
    }
    JobSched_PoolLoad(fleet->sched, now, vm->listed.pool, 0, &load);
    return load.waiting > vm->listed.cpu;
}

/* Returns whether a wave has no time left to wait for calmer pools. */
static bool
is_urgent(const JobWave *wave, int64_t wall_ms)
{
    int64_t rounds =
        (wave->vm_count - wave->done) / (wave->cap > 0 ? wave->cap : 1) + 1;

    return wave->start_ms + wave->duration_ms - wall_ms <
           (rounds + 1) * WAVE_ROUND_MS;
}

static FleetVm *
next_vm(JobFleet *fleet, int64_t now, const JobWave *wave, bool urgent)
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
        vm = FleetImpl_Find(fleet, wave->vms[i].vm);
        if (vm == NULL || vm->order != FLEET_NONE || !vm->listed.up ||
            vm->listed.busy) {
            continue;
        }
        limit = vms_in_pool(fleet, vm->listed.pool) / 4 + 1;
        if (!is_standby(fleet, vm->listed.pool) &&
            under_way_in_pool(fleet, vm->listed.pool) >= limit) {
            continue;
        }
        cost = disturbance(fleet, vm);
        if (cost < best_cost && (urgent || !is_pressed(fleet, now, vm))) {
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
        note_left(fleet, now, wave);
        while (under_way(fleet, now, wave) < wave->cap &&
               (vm = next_vm(fleet, now, wave, urgent)) != NULL) {
            FleetImpl_Order(fleet, now, vm, FLEET_MAINTAIN, vm->listed.pool,
                            wave->number);
        }
    }
}
