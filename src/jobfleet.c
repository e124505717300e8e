#include "jobfleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "jobfleet_impl.h"
#include "mem.h"
#include "slog.h"

/* Time after a confirmation of the leader in which it may send orders. */
#define FLEET_CONFIRMATION_VALID_MS 700
/* Delay of a VM list request after the expected end of an order, by which the
 * VM has returned. */
#define FLEET_RETURN_MARGIN_MS 60
#define FLEET_PLAN_INTERVAL_MS 200

JobFleet *
JobFleet_New(const JobFleetOptions *options, JobState *state, JobSched *sched)
{
    JobFleet *fleet = Mem_New(1, sizeof(*fleet));

    fleet->options = *options;
    fleet->state = state;
    fleet->sched = sched;
    fleet->vms = StrMap_New();
    return fleet;
}

void
JobFleet_Resign(JobFleet *fleet)
{
    size_t i;

    for (i = 0; i < fleet->command_count; i++) {
        Buf_Free(&fleet->commands[i]);
    }
    fleet->command_count = 0;
    fleet->call_count = 0;
    StrMap_FreeAll(fleet->vms);
    fleet->vms = StrMap_New();
    fleet->sizing_count = 0;
    FleetImpl_ResetList(fleet);
    fleet->is_leader = false;
}

void
JobFleet_Free(JobFleet *fleet)
{
    if (fleet != NULL) {
        JobFleet_Resign(fleet);
        StrMap_FreeAll(fleet->vms);
        free(fleet->sizings);
        free(fleet);
    }
}

void
JobFleet_Lead(JobFleet *fleet, int64_t now, uint64_t term)
{
    JobFleet_Resign(fleet);
    fleet->is_leader = true;
    fleet->first_demand_ms = 0;
    fleet->lead_start_ms = now;
    fleet->list_due_ms = now;
    fleet->next_plan_ms = now;
    fleet->fence = term << FLEET_FENCE_BITS;
    FleetImpl_ForgetAbsences(fleet);
}

void
JobFleet_ConfirmLeader(JobFleet *fleet, int64_t now)
{
    if (now > fleet->confirmed_ms) {
        fleet->confirmed_ms = now;
    }
}

/* --- VMs --- */

FleetVm *
FleetImpl_FindVm(JobFleet *fleet, const char *name)
{
    return StrMap_Get(fleet->vms, name);
}

bool
FleetImpl_IsReady(const FleetVm *vm)
{
    return vm->order == FLEET_ORDER_NONE && vm->listed.up &&
           !vm->listed.busy && vm->listed.unusable_field == NULL;
}

JobTarget *
FleetImpl_FindTarget(const JobFleet *fleet, const FleetVm *vm)
{
    return JobState_FindVmTarget(fleet->state, vm->listed.name);
}

void
FleetImpl_ClearOrder(JobFleet *fleet, FleetVm *vm)
{
    JobTarget *target = FleetImpl_FindTarget(fleet, vm);

    vm->order = FLEET_ORDER_NONE;
    vm->accepted = false;
    vm->call_in_flight = false;
    if (target != NULL) {
        JobSched_SetCordon(fleet->sched, target, false);
    }
}

void
FleetImpl_QueueCommand(JobFleet *fleet, Buf *command)
{
    if (fleet->command_count == FLEET_MAX_COMMANDS) {
        Buf_Free(command); /* a later plan proposes it again */
        return;
    }
    fleet->commands[fleet->command_count++] = *command;
    *command = (Buf)BUF_INIT;
}

bool
JobFleet_TakeCommand(JobFleet *fleet, Buf *command)
{
    if (fleet->command_count == 0) {
        return false;
    }
    Buf_Free(command);
    *command = fleet->commands[0];
    fleet->command_count--;
    memmove(&fleet->commands[0], &fleet->commands[1],
            fleet->command_count * sizeof(Buf));
    return true;
}

/* --- calls --- */

JobVmCall *
FleetImpl_AddCall(JobFleet *fleet, JobVmCallKind kind)
{
    JobVmCall *call;

    if (fleet->call_count == FLEET_MAX_CALLS) {
        return NULL;
    }
    call = &fleet->calls[fleet->call_count++];
    memset(call, 0, sizeof(*call));
    call->kind = kind;
    call->fence = fleet->fence;
    snprintf(call->holder, sizeof(call->holder), "%s", fleet->options.holder);
    return call;
}

bool
JobFleet_TakeCall(JobFleet *fleet, JobVmCall *call)
{
    if (fleet->call_count == 0) {
        return false;
    }
    *call = fleet->calls[0];
    fleet->call_count--;
    memmove(&fleet->calls[0], &fleet->calls[1],
            fleet->call_count * sizeof(JobVmCall));
    return true;
}

/* A VM with an order of an earlier leader is left alone until the lease of
 * that leader has expired. Every order is stored before it is sent, so VMs
 * without a stored order may be ordered at once. */
bool
FleetImpl_MayOrderVm(const JobFleet *fleet, int64_t now, const FleetVm *vm)
{
    return now - fleet->confirmed_ms <= FLEET_CONFIRMATION_VALID_MS &&
           !FleetImpl_HasEarlierOrder(fleet, now, vm->listed.name);
}

/* An earlier leader may send an order until FLEET_STORED_ORDER_VALID_MS after
 * it was stored. Its lease of vm_lease_ms, during which no other node may
 * order, begins when it sends the order. */
bool
FleetImpl_HasEarlierOrder(const JobFleet *fleet, int64_t now, const char *vm)
{
    const JobVmOrder *stored = JobState_FindVmOrder(fleet->state, vm);

    return stored != NULL &&
           stored->fence >> FLEET_FENCE_BITS !=
               fleet->fence >> FLEET_FENCE_BITS &&
           now - stored->seen_ms <
               FLEET_STORED_ORDER_VALID_MS + fleet->options.vm_lease_ms;
}

int64_t
FleetImpl_GetLateUntil(const JobFleet *fleet, const char *vm)
{
    const JobVmOrder *stored = JobState_FindVmOrder(fleet->state, vm);

    if (stored == NULL || stored->fence >> FLEET_FENCE_BITS ==
                              fleet->fence >> FLEET_FENCE_BITS) {
        return 0;
    }
    return stored->seen_ms + FLEET_STORED_ORDER_VALID_MS + FLEET_LATE_CALL_MS;
}

/* Returns whether the order is stored in the log; proposes it otherwise. The
 * next leader has to know of a call for maintenance, so that is stored in the
 * wave, too. */
static bool
ensure_order_stored(JobFleet *fleet, int64_t now, FleetVm *vm)
{
    const JobVmOrder *stored =
        JobState_FindVmOrder(fleet->state, vm->listed.name);
    JobVmOrder order = {{0}, vm->fence, fleet->wall_ms, 0};
    bool in_wave =
        vm->order != FLEET_ORDER_MAINTAIN ||
        JobState_IsMaintenanceOrdered(fleet->state, vm->wave, vm->listed.name);
    Buf command = BUF_INIT;

    if (in_wave && stored != NULL && stored->fence >= vm->fence &&
        now - stored->seen_ms < FLEET_STORED_ORDER_VALID_MS) {
        return true;
    }
    if (now >= vm->next_store_ms) {
        vm->next_store_ms = now + FLEET_RETRY_MS;
        if (!in_wave) {
            JobCmd_EncodeWaveVm(&command, vm->wave, vm->listed.name, false);
            FleetImpl_QueueCommand(fleet, &command);
        }
        snprintf(order.vm, sizeof(order.vm), "%s", vm->listed.name);
        JobCmd_EncodeVmOrder(&command, &order);
        FleetImpl_QueueCommand(fleet, &command);
    }
    return false;
}

/* Sends the order of a VM to the VM service if a call is due and allowed now.
 * The order is stored in the log first. */
static void
send_order(JobFleet *fleet, int64_t now, FleetVm *vm)
{
    JobVmCall *call;

    if (vm->call_in_flight || vm->accepted || now < vm->next_call_ms ||
        !FleetImpl_MayOrderVm(fleet, now, vm) ||
        !ensure_order_stored(fleet, now, vm)) {
        return;
    }
    call = FleetImpl_AddCall(
        fleet, vm->order == FLEET_ORDER_MOVE ? JOB_VM_MOVE : JOB_VM_MAINTAIN);
    if (call == NULL) {
        return;
    }
    snprintf(call->vm, sizeof(call->vm), "%s", vm->listed.name);
    snprintf(call->pool, sizeof(call->pool), "%s", vm->pool);
    call->wave = vm->wave;
    call->fence = vm->fence;
    if (!vm->call_sent) {
        const JobTarget *target = FleetImpl_FindTarget(fleet, vm);
        snprintf(vm->ended_target, sizeof(vm->ended_target), "%s",
                 target != NULL ? target->announcement.id : vm->listed.target);
        vm->ended_born =
            target != NULL ? target->announcement.born : UINT64_MAX;
    }
    vm->call_in_flight = true;
    vm->call_sent = true;
    vm->next_call_ms = now + FLEET_RETRY_MS;
}

/* Returns whether an accepted order has ended a target. The answer to a
 * repeated call may arrive when the VM already runs its next target, even
 * under the same id, so only the one noted at the first call has ended. */
static bool
is_ended_by_order(const FleetVm *vm, const JobTarget *target)
{
    return target != NULL &&
           strcmp(target->announcement.id, vm->ended_target) == 0 &&
           target->announcement.born <= vm->ended_born;
}

static void
handle_accepted_order(JobFleet *fleet, int64_t now, FleetVm *vm)
{
    const JobTarget *target =
        JobState_FindTarget(fleet->state, vm->ended_target);
    Buf command = BUF_INIT;

    vm->accepted = true;
    vm->call_sent = false;
    vm->accepted_ms = now;
    vm->cooldown_start_ms = now;
    if (fleet->list_due_ms >
        now + fleet->options.move_ms + FLEET_RETURN_MARGIN_MS) {
        fleet->list_due_ms =
            now + fleet->options.move_ms + FLEET_RETURN_MARGIN_MS;
    }
    Slog_Begin(SLOG_CHANGE,
               vm->order == FLEET_ORDER_MOVE ? "vm_moves" : "vm_maintained");
    Slog_AddText("vm", vm->listed.name);
    Slog_AddText("from", vm->listed.pool);
    Slog_AddText("pool", vm->pool);
    Slog_AddInt("wave", (int64_t)vm->wave);
    Slog_AddInt("prepared_ms", now - vm->order_ms);
    Slog_End();
    /* The VM service also accepts an order that was carried out before, so a
     * target with runs is not ended here: its runs are given up only when the
     * VM's next target announces itself or no target answers. */
    if (is_ended_by_order(vm, target) && target->run_count == 0) {
        JobSched_RemoveTarget(fleet->sched, target);
    }
    if (vm->order == FLEET_ORDER_MOVE) {
        snprintf(vm->listed.pool, sizeof(vm->listed.pool), "%s", vm->pool);
    }
    else {
        JobCmd_EncodeWaveVm(&command, vm->wave, vm->listed.name, true);
        FleetImpl_QueueCommand(fleet, &command);
    }
}

static void
drop_refused_order(JobFleet *fleet, int64_t now, FleetVm *vm)
{
    vm->call_sent = false;
    FleetImpl_ClearOrder(fleet, vm);
    vm->cooldown_start_ms = now;
}

static void
handle_order_answer(JobFleet *fleet, int64_t now, const JobVmCall *call,
                    const JobVmAnswer *answer)
{
    FleetVm *vm = FleetImpl_FindVm(fleet, call->vm);

    if (vm == NULL || !vm->call_in_flight) {
        return;
    }
    vm->call_in_flight = false;
    if (answer->outcome == JOB_VM_OK) {
        handle_accepted_order(fleet, now, vm);
        return;
    }
    Slog_Begin(SLOG_FAILURE, answer->outcome == JOB_VM_NO_ANSWER
                                 ? "vm_order_unanswered"
                                 : "vm_order_refused");
    Slog_AddText("vm", call->vm);
    Slog_AddInt("kind", call->kind);
    Slog_AddInt("outcome", answer->outcome);
    Slog_End();
    vm->next_call_ms = now + FLEET_RETRY_MS;
    switch (answer->outcome) {
    case JOB_VM_FENCED:
        /* Another node has sent an order in a later term. */
        fleet->lead_start_ms = now;
        break;
    case JOB_VM_BUSY:
        /* A VM that was up may be under maintenance by a call that was carried
         * out late; the next list tells. */
        vm->listed.busy = vm->listed.busy || vm->listed.up;
        fleet->list_due_ms = now;
        if (now >= vm->unsettled_until_ms) {
            drop_refused_order(fleet, now, vm);
        }
        break;
    case JOB_VM_INVALID:
        /* Without a new order until a list shows the VM again, which may be
         * gone. */
        vm->listed.up = false;
        fleet->list_due_ms = now;
        drop_refused_order(fleet, now, vm);
        break;
    default: /* the order is sent again until its outcome is known */
        vm->unsettled_until_ms = now + FLEET_LATE_CALL_MS;
        break;
    }
}

void
JobFleet_HandleAnswer(JobFleet *fleet, int64_t now, const JobVmCall *call,
                      const JobVmAnswer *answer)
{
    if (!fleet->is_leader ||
        call->fence >> FLEET_FENCE_BITS != fleet->fence >> FLEET_FENCE_BITS) {
        return;
    }
    if (call->kind == JOB_VM_LIST) {
        FleetImpl_HandleListAnswer(fleet, now, answer);
    }
    else {
        handle_order_answer(fleet, now, call, answer);
    }
}

/* --- orders --- */

void
FleetImpl_OrderVm(JobFleet *fleet, int64_t now, FleetVm *vm,
                  FleetOrderKind order, const char *pool, uint64_t wave)
{
    /* The higher token keeps a delayed call of an earlier order from undoing
     * this one. */
    vm->fence = ++fleet->fence;
    vm->order = order;
    vm->wave = wave;
    vm->order_ms = now;
    vm->next_call_ms = now;
    vm->next_store_ms = now;
    vm->unsettled_until_ms = 0;
    vm->accepted = false;
    vm->call_sent = false;
    snprintf(vm->pool, sizeof(vm->pool), "%s", pool);
}

void
FleetImpl_CancelOrder(JobFleet *fleet, FleetVm *vm)
{
    if (!vm->call_in_flight && !vm->call_sent && !vm->accepted) {
        FleetImpl_ClearOrder(fleet, vm);
    }
}

/* Removes the target that an accepted order ends, once the target is idle. A
 * late announcement may add it again after the order was accepted. */
static void
end_stale_target(JobFleet *fleet, FleetVm *vm)
{
    JobTarget *target = FleetImpl_FindTarget(fleet, vm);

    if (is_ended_by_order(vm, target)) {
        JobSched_SetCordon(fleet->sched, target, true);
        if (JobSched_IsIdle(fleet->sched, target)) {
            JobSched_RemoveTarget(fleet->sched, target);
        }
    }
}

/* Drains a VM for its order, then sends the order. */
static void
advance_order(JobFleet *fleet, int64_t now, FleetVm *vm)
{
    JobTarget *target;
    int64_t drain_timeout_ms = vm->order == FLEET_ORDER_MOVE
                                   ? FLEET_MOVE_DRAIN_TIMEOUT_MS
                                   : FLEET_WAVE_DRAIN_TIMEOUT_MS;

    if (vm->order == FLEET_ORDER_NONE) {
        return;
    }
    if (vm->accepted) {
        end_stale_target(fleet, vm);
        return;
    }
    if (vm->call_sent) {
        send_order(fleet, now, vm);
        return;
    }
    target = FleetImpl_FindTarget(fleet, vm);
    if (target == NULL) {
        send_order(fleet, now, vm);
        return;
    }
    JobSched_SetCordon(fleet->sched, target, true);
    if (vm->order == FLEET_ORDER_MAINTAIN) {
        JobSched_Evacuate(fleet->sched, now, target);
    }
    if (JobSched_IsIdle(fleet->sched, target) ||
        (vm->order == FLEET_ORDER_MAINTAIN &&
         now - vm->order_ms > drain_timeout_ms &&
         JobSched_IsInterruptible(fleet->sched, target))) {
        send_order(fleet, now, vm);
    }
    else if (vm->order == FLEET_ORDER_MOVE &&
             now - vm->order_ms > drain_timeout_ms) {
        FleetImpl_CancelOrder(fleet, vm);
        vm->cooldown_start_ms = now;
    }
}

/* Tells the scheduler which VMs are on their way to a pool. */
static void
report_arrivals(JobFleet *fleet)
{
    size_t vm_count = StrMap_Count(fleet->vms);
    JobArrival *arrivals = Mem_New(vm_count + 1, sizeof(*arrivals));
    size_t count = 0;
    size_t i;

    for (i = 0; i < vm_count; i++) {
        const FleetVm *vm = StrMap_At(fleet->vms, i);
        if (vm->order == FLEET_ORDER_MOVE && vm->accepted) {
            JobArrival *arrival = &arrivals[count++];
            snprintf(arrival->pool, sizeof(arrival->pool), "%s", vm->pool);
            arrival->at_ms = vm->accepted_ms + fleet->options.move_ms;
            arrival->cpu = vm->listed.cpu;
        }
    }
    JobSched_SetArrivals(fleet->sched, arrivals, count);
    free(arrivals);
}

void
JobFleet_GetCounts(const JobFleet *fleet, JobFleetCounts *counts)
{
    size_t i;

    memset(counts, 0, sizeof(*counts));
    counts->lists_incomplete = fleet->lists_incomplete;
    for (i = 0; i < StrMap_Count(fleet->vms); i++) {
        const FleetVm *vm = StrMap_At(fleet->vms, i);
        counts->vms_unusable += vm->listed.unusable_field != NULL;
    }
}

void
JobFleet_Tick(JobFleet *fleet, int64_t now, int64_t wall_ms)
{
    size_t i;

    if (!fleet->is_leader || JobState_GetConfig(fleet->state)->version == 0) {
        return;
    }
    fleet->wall_ms = wall_ms;
    FleetImpl_RequestList(fleet, now);
    if (!fleet->list_complete) {
        return;
    }
    if (now >= fleet->next_plan_ms) {
        fleet->next_plan_ms = now + FLEET_PLAN_INTERVAL_MS;
        FleetImpl_PlanWaves(fleet, now, wall_ms);
        FleetImpl_PlanMoves(fleet, now);
        report_arrivals(fleet);
    }
    for (i = 0; i < StrMap_Count(fleet->vms); i++) {
        advance_order(fleet, now, StrMap_At(fleet->vms, i));
    }
}
