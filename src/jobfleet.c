#include "jobfleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "jobfleet_impl.h"
#include "mem.h"
#include "slog.h"

/* Orders are given only so long after a majority confirmed the leader. */
#define FLEET_CONFIRMED_MS 700
/* A call without an answer is repeated after this. */
#define FLEET_REPEAT_MS 500
/* The list is read this often while VMs are on their way. */
#define FLEET_LIST_BUSY_MS 400
/* A VM is surely back so long after the time that its order takes. */
#define FLEET_RETURN_MS 60
#define FLEET_PLAN_MS 200
/* An order is called for only so long after it was stored; for a later call
 * it is stored again. */
#define FLEET_STORED_MS 1000

JobFleet *
JobFleet_New(const JobFleetOptions *options, JobState *state, JobSched *sched)
{
    JobFleet *fleet = Mem_New(1, sizeof(*fleet));

    fleet->options = *options;
    fleet->state = state;
    fleet->sched = sched;
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
    fleet->vm_count = 0;
    fleet->sizing_count = 0;
    fleet->page[0] = '\0';
    fleet->listing = false;
    fleet->listed = false;
    fleet->leads = false;
}

void
JobFleet_Free(JobFleet *fleet)
{
    if (fleet != NULL) {
        JobFleet_Resign(fleet);
        free(fleet->vms);
        free(fleet->sizings);
        free(fleet);
    }
}

void
JobFleet_Lead(JobFleet *fleet, int64_t now, uint64_t term)
{
    JobFleet_Resign(fleet);
    fleet->leads = true;
    fleet->demand_ms = 0;
    fleet->lead_ms = now;
    fleet->list_due_ms = now;
    fleet->plan_ms = now;
    fleet->fence = term << FLEET_FENCE_BITS;
}

void
JobFleet_Confirmed(JobFleet *fleet, int64_t now)
{
    if (now > fleet->confirmed_ms) {
        fleet->confirmed_ms = now;
    }
}

/* --- VMs --- */

FleetVm *
FleetImpl_Find(JobFleet *fleet, const char *name)
{
    size_t i;

    for (i = 0; i < fleet->vm_count; i++) {
        if (strcmp(fleet->vms[i].listed.name, name) == 0) {
            return &fleet->vms[i];
        }
    }
    return NULL;
}

JobTarget *
FleetImpl_Target(const JobFleet *fleet, const FleetVm *vm)
{
    return JobState_VmTarget(fleet->state, vm->listed.name);
}

static FleetVm *
add_vm(JobFleet *fleet, const JobVm *listed)
{
    FleetVm *vm;

    fleet->vms =
        Mem_Resize(fleet->vms, (fleet->vm_count + 1) * sizeof(*fleet->vms));
    vm = &fleet->vms[fleet->vm_count++];
    memset(vm, 0, sizeof(*vm));
    vm->listed = *listed;
    vm->moved_ms = fleet->lead_ms - FLEET_MOVE_AGAIN_MS;
    return vm;
}

static void
end_order(JobFleet *fleet, FleetVm *vm)
{
    JobTarget *target = FleetImpl_Target(fleet, vm);

    vm->order = FLEET_NONE;
    vm->ordered = false;
    vm->calling = false;
    if (target != NULL) {
        JobSched_Close(fleet->sched, target, false);
    }
}

static void
take_listed(JobFleet *fleet, int64_t now, const JobVm *listed)
{
    FleetVm *vm = FleetImpl_Find(fleet, listed->name);

    if (vm == NULL) {
        vm = add_vm(fleet, listed);
    }
    vm->listed = *listed;
    vm->seen_list = fleet->list_number;
    if (vm->ordered && vm->ordered_ms < fleet->list_sent_ms && listed->up &&
        !listed->busy) {
        Slog_Begin(SLOG_CHANGE, "vm_back");
        Slog_Text("vm", listed->name);
        Slog_Text("pool", listed->pool);
        Slog_Int("after_ms", now - vm->ordered_ms);
        Slog_End();
        end_order(fleet, vm);
    }
}

/* VMs of a wave that are not in the list any more have left. */
static void
drop_unlisted(JobFleet *fleet)
{
    size_t i = 0;

    while (i < fleet->vm_count) {
        if (fleet->vms[i].seen_list == fleet->list_number ||
            fleet->vms[i].calling) {
            i++;
            continue;
        }
        fleet->vms[i] = fleet->vms[--fleet->vm_count];
    }
    fleet->listed = true;
}

void
FleetImpl_Command(JobFleet *fleet, Buf *command)
{
    if (fleet->command_count == FLEET_MAX_COMMANDS) {
        Buf_Free(command); /* it is proposed again by a later plan */
        return;
    }
    fleet->commands[fleet->command_count++] = *command;
    *command = (Buf)BUF_INIT;
}

bool
JobFleet_NextCommand(JobFleet *fleet, Buf *command)
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

static JobVmCall *
add_call(JobFleet *fleet, JobVmCallKind kind)
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
JobFleet_NextCall(JobFleet *fleet, JobVmCall *call)
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

/* A VM that an earlier leader has ordered is left alone for its term. Every
 * order is stored before it is given, so others are free at once. */
bool
FleetImpl_MayOrder(const JobFleet *fleet, int64_t now, const FleetVm *vm)
{
    return now - fleet->confirmed_ms <= FLEET_CONFIRMED_MS &&
           !FleetImpl_IsUnsettled(fleet, now, vm->listed.name);
}

/* An earlier leader may have called for so long after it stored an order, and
 * others alone after it for its term. */
bool
FleetImpl_IsUnsettled(const JobFleet *fleet, int64_t now, const char *vm)
{
    const JobVmOrder *stored = JobState_VmOrder(fleet->state, vm);

    return stored != NULL &&
           stored->fence >> FLEET_FENCE_BITS !=
               fleet->fence >> FLEET_FENCE_BITS &&
           now - stored->seen_ms < FLEET_STORED_MS + fleet->options.holder_ms;
}

/* Returns whether the order is in the log; proposes it otherwise. */
static bool
is_stored(JobFleet *fleet, int64_t now, FleetVm *vm)
{
    const JobVmOrder *stored = JobState_VmOrder(fleet->state, vm->listed.name);
    JobVmOrder order = {{0}, vm->fence, fleet->wall_ms, 0};
    Buf command = BUF_INIT;

    if (stored != NULL && stored->fence >= vm->fence &&
        now - stored->seen_ms < FLEET_STORED_MS) {
        return true;
    }
    if (now >= vm->store_ms) {
        vm->store_ms = now + FLEET_REPEAT_MS;
        snprintf(order.vm, sizeof(order.vm), "%s", vm->listed.name);
        JobCmd_VmOrder(&command, &order);
        FleetImpl_Command(fleet, &command);
    }
    return false;
}

/* Calls the VM service for an order that is due. */
static void
call_order(JobFleet *fleet, int64_t now, FleetVm *vm)
{
    JobVmCall *call;

    if (vm->calling || vm->ordered || now < vm->call_ms ||
        !FleetImpl_MayOrder(fleet, now, vm) || !is_stored(fleet, now, vm)) {
        return;
    }
    call = add_call(fleet,
                    vm->order == FLEET_MOVE ? JOB_VM_MOVE : JOB_VM_MAINTAIN);
    if (call == NULL) {
        return;
    }
    snprintf(call->vm, sizeof(call->vm), "%s", vm->listed.name);
    snprintf(call->pool, sizeof(call->pool), "%s", vm->pool);
    call->wave = vm->wave;
    call->fence = vm->fence;
    if (!vm->committed) {
        const JobTarget *target = FleetImpl_Target(fleet, vm);
        snprintf(vm->old_target, sizeof(vm->old_target), "%s",
                 target != NULL ? target->says.id : vm->listed.target);
    }
    vm->calling = true;
    vm->committed = true;
    vm->call_ms = now + FLEET_REPEAT_MS;
}

static void
order_done(JobFleet *fleet, int64_t now, FleetVm *vm)
{
    /* The answer to a repeated call may come when the VM already runs its
     * next target, so only the one of the first call has ended. */
    const JobTarget *target =
        JobState_FindTarget(fleet->state, vm->old_target);
    Buf command = BUF_INIT;

    vm->ordered = true;
    vm->committed = false;
    vm->ordered_ms = now;
    vm->moved_ms = now;
    if (fleet->list_due_ms > now + fleet->options.move_ms + FLEET_RETURN_MS) {
        fleet->list_due_ms = now + fleet->options.move_ms + FLEET_RETURN_MS;
    }
    Slog_Begin(SLOG_CHANGE,
               vm->order == FLEET_MOVE ? "vm_moves" : "vm_maintained");
    Slog_Text("vm", vm->listed.name);
    Slog_Text("from", vm->listed.pool);
    Slog_Text("pool", vm->pool);
    Slog_Int("wave", (int64_t)vm->wave);
    Slog_Int("prepared_ms", now - vm->since_ms);
    Slog_End();
    /* The service also accepts what was done before, so runs are given up
     * only once the VM's next target, or no target, answers. */
    if (target != NULL && target->run_count == 0) {
        JobSched_Ended(fleet->sched, target);
    }
    if (vm->order == FLEET_MOVE) {
        snprintf(vm->listed.pool, sizeof(vm->listed.pool), "%s", vm->pool);
    }
    else {
        JobCmd_WaveVm(&command, vm->wave, vm->listed.name, true);
        FleetImpl_Command(fleet, &command);
    }
}

static void
order_answered(JobFleet *fleet, int64_t now, const JobVmCall *call,
               const JobVmAnswer *answer)
{
    FleetVm *vm = FleetImpl_Find(fleet, call->vm);

    if (vm == NULL || !vm->calling) {
        return;
    }
    vm->calling = false;
    if (answer->outcome == JOB_VM_OK) {
        order_done(fleet, now, vm);
        return;
    }
    Slog_Begin(SLOG_FAILURE, "vm_order_refused");
    Slog_Text("vm", call->vm);
    Slog_Int("kind", call->kind);
    Slog_Int("outcome", answer->outcome);
    Slog_End();
    vm->call_ms = now + FLEET_REPEAT_MS;
    switch (answer->outcome) {
    case JOB_VM_FENCED:
        /* Another node has ordered under a later term. */
        fleet->lead_ms = now;
        break;
    case JOB_VM_BUSY:
    case JOB_VM_INVALID:
        vm->committed = false;
        end_order(fleet, vm);
        vm->moved_ms = now;
        fleet->list_due_ms = now;
        break;
    default:
        break; /* it is repeated until its outcome is known */
    }
}

static void
list_answered(JobFleet *fleet, int64_t now, const JobVmAnswer *answer)
{
    size_t i;
    bool busy = false;

    fleet->listing = false;
    fleet->list_due_ms = now + FLEET_REPEAT_MS;
    if (answer->outcome != JOB_VM_OK) {
        fleet->page[0] = '\0';
        return;
    }
    for (i = 0; i < answer->vm_count; i++) {
        take_listed(fleet, now, &answer->vms[i]);
    }
    snprintf(fleet->page, sizeof(fleet->page), "%s", answer->next_page);
    if (fleet->page[0] != '\0') {
        fleet->list_due_ms = now;
        return;
    }
    drop_unlisted(fleet);
    for (i = 0; i < fleet->vm_count; i++) {
        busy = busy || fleet->vms[i].ordered;
    }
    fleet->list_due_ms =
        now + (busy ? FLEET_LIST_BUSY_MS : fleet->options.list_ms);
}

void
JobFleet_Answered(JobFleet *fleet, int64_t now, const JobVmCall *call,
                  const JobVmAnswer *answer)
{
    if (!fleet->leads ||
        call->fence >> FLEET_FENCE_BITS != fleet->fence >> FLEET_FENCE_BITS) {
        return;
    }
    if (call->kind == JOB_VM_LIST) {
        list_answered(fleet, now, answer);
    }
    else {
        order_answered(fleet, now, call, answer);
    }
}

static void
read_list(JobFleet *fleet, int64_t now)
{
    JobVmCall *call;

    if (fleet->listing || now < fleet->list_due_ms) {
        return;
    }
    call = add_call(fleet, JOB_VM_LIST);
    if (call == NULL) {
        return;
    }
    snprintf(call->page, sizeof(call->page), "%s", fleet->page);
    if (fleet->page[0] == '\0') {
        fleet->list_number++;
        fleet->list_sent_ms = now;
    }
    fleet->listing = true;
}

/* --- orders --- */

void
FleetImpl_Order(JobFleet *fleet, int64_t now, FleetVm *vm, FleetOrder order,
                const char *pool, uint64_t wave)
{
    /* A call that is carried out late must not undo a later order. */
    vm->fence = ++fleet->fence;
    vm->order = order;
    vm->wave = wave;
    vm->since_ms = now;
    vm->call_ms = now;
    vm->store_ms = now;
    vm->ordered = false;
    vm->committed = false;
    snprintf(vm->pool, sizeof(vm->pool), "%s", pool);
}

void
FleetImpl_Cancel(JobFleet *fleet, FleetVm *vm)
{
    if (!vm->calling && !vm->committed && !vm->ordered) {
        end_order(fleet, vm);
    }
}

/* A target that was announced while its VM was already ordered away. */
static void
end_late_target(JobFleet *fleet, FleetVm *vm)
{
    JobTarget *target = FleetImpl_Target(fleet, vm);

    if (target != NULL && strcmp(target->says.id, vm->old_target) == 0) {
        JobSched_Close(fleet->sched, target, true);
        if (JobSched_IsIdle(fleet->sched, target)) {
            JobSched_Ended(fleet->sched, target);
        }
    }
}

/* Drains a VM for its order, then calls. */
static void
drive_vm(JobFleet *fleet, int64_t now, FleetVm *vm)
{
    JobTarget *target;
    int64_t patience =
        vm->order == FLEET_MOVE ? FLEET_MOVE_DRAIN_MS : FLEET_WAVE_DRAIN_MS;

    if (vm->order == FLEET_NONE) {
        return;
    }
    if (vm->ordered) {
        end_late_target(fleet, vm);
        return;
    }
    if (vm->committed) {
        call_order(fleet, now, vm);
        return;
    }
    target = FleetImpl_Target(fleet, vm);
    if (target == NULL) {
        call_order(fleet, now, vm);
        return;
    }
    JobSched_Close(fleet->sched, target, true);
    if (vm->order == FLEET_MAINTAIN) {
        JobSched_Evacuate(fleet->sched, now, target);
    }
    if (JobSched_IsIdle(fleet->sched, target) ||
        (vm->order == FLEET_MAINTAIN && now - vm->since_ms > patience &&
         JobSched_IsExpendable(fleet->sched, target))) {
        call_order(fleet, now, vm);
    }
    else if (vm->order == FLEET_MOVE && now - vm->since_ms > patience) {
        FleetImpl_Cancel(fleet, vm);
        vm->moved_ms = now;
    }
}

void
JobFleet_Tick(JobFleet *fleet, int64_t now, int64_t wall_ms)
{
    size_t i;

    if (!fleet->leads || JobState_Config(fleet->state)->version == 0) {
        return;
    }
    fleet->wall_ms = wall_ms;
    read_list(fleet, now);
    if (!fleet->listed) {
        return;
    }
    if (now >= fleet->plan_ms) {
        fleet->plan_ms = now + FLEET_PLAN_MS;
        FleetImpl_PlanWaves(fleet, now, wall_ms);
        FleetImpl_PlanMoves(fleet, now);
    }
    for (i = 0; i < fleet->vm_count; i++) {
        drive_vm(fleet, now, &fleet->vms[i]);
    }
}
