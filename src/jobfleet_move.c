#include "jobfleet_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "mem.h"
#include "slog.h"

/* Forecast horizon: covers the move of a VM and some seconds of use. */
#define MOVE_LOOKAHEAD_MS 2600
/* Surplus, in percent of a VM, above which a pool gives up a VM. Hysteresis
 * against VMs that move back and forth on small changes of demand. */
#define MOVE_SURPLUS_PERCENT 130
#define MOVE_MAX_POOLS 160
/* Time that demand must be observed for before VMs go to standby. */
#define MOVE_LEARNING_MS 2500
#define MOVE_LOG_INTERVAL_MS 1000

/* Processor amounts are thousandths of a core. */
typedef struct PoolPlan {
    const JobPool *pool;
    JobPoolLoad load;
    int64_t capacity; /* of VMs present or moving in, not to be maintained */
    int64_t desired;  /* VMs are added up to this amount */
    int64_t transfer_floor; /* lower limit when other pools need VMs */
    int64_t standby_floor;  /* lower limit when VMs go to standby */
    int64_t vm_cpu;         /* processor amount of a typical VM */
    size_t vms;             /* VMs up or being moved or maintained */
    size_t down_count;      /* VMs neither up nor being moved or maintained */
    size_t ordered_count;   /* VMs with an order */
    size_t free_count;      /* VMs that may be ordered now */
} PoolPlan;

static const char *
get_planned_pool(const FleetVm *vm)
{
    return vm->order == FLEET_ORDER_MOVE ? vm->pool : vm->listed.pool;
}

static PoolPlan *
find_plan(PoolPlan *plans, size_t count, const char *pool)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (strcmp(plans[i].pool->name, pool) == 0) {
            return &plans[i];
        }
    }
    return NULL;
}

static void
count_vms(const JobFleet *fleet, int64_t now, PoolPlan *plans, size_t count)
{
    size_t i;

    for (i = 0; i < StrMap_Count(fleet->vms); i++) {
        const FleetVm *vm = StrMap_At(fleet->vms, i);
        PoolPlan *plan = find_plan(plans, count, get_planned_pool(vm));
        if (plan == NULL) {
            continue;
        }
        plan->ordered_count += vm->order != FLEET_ORDER_NONE;
        if (!vm->listed.up && !vm->listed.busy) {
            plan->down_count++;
            continue;
        }
        plan->free_count +=
            FleetImpl_IsReady(vm) && FleetImpl_MayOrderVm(fleet, now, vm);
        plan->vms++;
        if (vm->listed.unusable_field == NULL) {
            plan->vm_cpu = vm->listed.cpu;
        }
        if (vm->order != FLEET_ORDER_MAINTAIN) {
            plan->capacity += vm->listed.cpu;
        }
    }
}

/* Returns the sizing history of a pool; adds an empty one if missing. */
static JobSizing *
find_or_add_sizing(JobFleet *fleet, const char *pool)
{
    JobSizing *sizing;
    size_t i;

    for (i = 0; i < fleet->sizing_count; i++) {
        if (strcmp(fleet->sizings[i].pool, pool) == 0) {
            return &fleet->sizings[i];
        }
    }
    fleet->sizings = Mem_Resize(fleet->sizings, (fleet->sizing_count + 1) *
                                                    sizeof(*fleet->sizings));
    sizing = &fleet->sizings[fleet->sizing_count++];
    memset(sizing, 0, sizeof(*sizing));
    snprintf(sizing->pool, sizeof(sizing->pool), "%s", pool);
    return sizing;
}

static void
size_pool(JobFleet *fleet, int64_t now, PoolPlan *plan)
{
    JobPoolSize size;

    JobSched_PoolLoad(fleet->sched, now, plan->pool->name, MOVE_LOOKAHEAD_MS,
                      &plan->load);
    size = JobSizing_Plan(find_or_add_sizing(fleet, plan->pool->name), now,
                          &plan->load, plan->vm_cpu);
    plan->desired = size.desired;
    plan->transfer_floor = size.transfer_floor;
    plan->standby_floor = size.standby_floor;
}

/* Returns an idle VM of a pool, or NULL. With may_drain, returns the VM past
 * its cooldown whose short tasks use the least processor capacity. Never
 * returns a VM with lasting tasks. */
static FleetVm *
pick_vm(JobFleet *fleet, int64_t now, const char *pool, bool may_drain)
{
    FleetVm *best = NULL;
    uint64_t best_used = UINT64_MAX;
    size_t i;
    uint32_t j;

    for (i = 0; i < StrMap_Count(fleet->vms); i++) {
        FleetVm *vm = StrMap_At(fleet->vms, i);
        const JobTarget *target;
        bool lasting = false;
        uint64_t used;
        if (!FleetImpl_IsReady(vm) ||
            (may_drain &&
             now - vm->cooldown_start_ms < FLEET_MOVE_COOLDOWN_MS) ||
            strcmp(vm->listed.pool, pool) != 0) {
            continue;
        }
        target = FleetImpl_FindTarget(fleet, vm);
        for (j = 0; target != NULL && j < target->run_count; j++) {
            lasting = lasting || JobRun_GetStep(&target->runs[j])->lasting;
        }
        used = target != NULL ? target->used.cpu : 0;
        if (lasting || (used > 0 && !may_drain)) {
            continue;
        }
        if (used < best_used) {
            best_used = used;
            best = vm;
        }
    }
    return best;
}

static void
move_vm(JobFleet *fleet, int64_t now, FleetVm *vm, PoolPlan *from,
        PoolPlan *to)
{
    Slog_Begin(SLOG_CHANGE, "move_planned");
    Slog_AddText("vm", vm->listed.name);
    Slog_AddText("from", from->pool->name);
    Slog_AddText("pool", to->pool->name);
    Slog_AddInt("from_have", from->capacity);
    Slog_AddInt("from_want", from->desired);
    Slog_AddInt("have", to->capacity);
    Slog_AddInt("want", to->desired);
    Slog_AddInt("arriving", to->load.arriving);
    Slog_AddInt("waiting", to->load.waiting);
    Slog_AddInt("forecast", to->load.forecast);
    Slog_AddInt("period_ms", to->load.period_ms);
    Slog_End();
    if (strcmp(vm->listed.pool, to->pool->name) == 0) {
        /* The VM has not left the pool that now needs it, so its unsent order
         * to leave is cancelled. */
        FleetImpl_CancelOrder(fleet, vm);
    }
    else {
        FleetImpl_OrderVm(fleet, now, vm, FLEET_ORDER_MOVE, to->pool->name, 0);
    }
    from->capacity -= vm->listed.cpu;
    to->capacity += vm->listed.cpu;
    from->vms--;
    to->vms++;
}

static void
log_plan(const PoolPlan *plan)
{
    Slog_Begin(SLOG_CHANGE, "pool_plan");
    Slog_AddText("pool", plan->pool->name);
    Slog_AddInt("have", plan->capacity);
    Slog_AddInt("want", plan->desired);
    Slog_AddInt("used", plan->load.used);
    Slog_AddInt("lasting", plan->load.lasting);
    Slog_AddInt("waiting", plan->load.waiting);
    Slog_AddInt("suspect", plan->load.suspect);
    Slog_AddInt("suspect_jobs", plan->load.suspect_jobs);
    Slog_AddInt("arriving", plan->load.arriving);
    Slog_AddInt("rising", plan->load.rising);
    Slog_AddInt("forecast", plan->load.forecast);
    Slog_AddInt("period_ms", plan->load.period_ms);
    Slog_AddInt("vms", (int64_t)plan->vms);
    Slog_AddInt("down", (int64_t)plan->down_count);
    Slog_AddInt("ordered", (int64_t)plan->ordered_count);
    Slog_AddInt("free", (int64_t)plan->free_count);
    Slog_End();
}

static bool
has_surplus(const PoolPlan *plan, int64_t floor_cpu)
{
    return !plan->pool->standby && plan->vms > 1 &&
           plan->capacity - floor_cpu >=
               plan->vm_cpu * MOVE_SURPLUS_PERCENT / 100;
}

/* Returns a VM with an unsent order to move to a pool, or NULL. */
static FleetVm *
pick_incoming_vm(JobFleet *fleet, const char *pool)
{
    size_t i;

    for (i = 0; i < StrMap_Count(fleet->vms); i++) {
        FleetVm *vm = StrMap_At(fleet->vms, i);
        if (vm->order == FLEET_ORDER_MOVE && !vm->call_sent && !vm->accepted &&
            strcmp(vm->pool, pool) == 0) {
            return vm;
        }
    }
    return NULL;
}

typedef enum FetchKind {
    FETCH_STANDBY, /* a VM of the standby pool, preferably one with an unsent
                      order to move there */
    FETCH_IDLE,    /* an idle VM of a pool with a surplus */
    FETCH_DRAINED, /* a VM of a pool that has room for its tasks elsewhere */
    FETCH_COUNT
} FetchKind;

/* Returns a VM of a pool for another one that needs it, or NULL. */
static FleetVm *
find_vm_to_fetch(JobFleet *fleet, int64_t now, const PoolPlan *from,
                 FetchKind kind)
{
    const JobPoolLoad *load = &from->load;
    int64_t floor_cpu = from->transfer_floor;
    FleetVm *vm;

    if (kind == FETCH_STANDBY) {
        if (!from->pool->standby) {
            return NULL;
        }
        vm = pick_incoming_vm(fleet, from->pool->name);
        return vm != NULL ? vm : pick_vm(fleet, now, from->pool->name, false);
    }
    if (kind == FETCH_DRAINED) {
        floor_cpu += load->used - load->lasting;
    }
    return has_surplus(from, floor_cpu)
               ? pick_vm(fleet, now, from->pool->name, kind == FETCH_DRAINED)
               : NULL;
}

/* Moves a VM to a pool that needs one. Returns false if there is none. */
static bool
fetch_vm(JobFleet *fleet, int64_t now, PoolPlan *plans, size_t count,
         PoolPlan *to)
{
    size_t i;
    int kind;

    for (kind = 0; kind < FETCH_COUNT; kind++) {
        for (i = 0; i < count; i++) {
            FleetVm *vm =
                &plans[i] != to
                    ? find_vm_to_fetch(fleet, now, &plans[i], (FetchKind)kind)
                    : NULL;
            if (vm != NULL) {
                move_vm(fleet, now, vm, &plans[i], to);
                return true;
            }
        }
    }
    return false;
}

/* Returns whether this leader has observed arriving work for long enough to
 * tell which pools have a surplus. */
static bool
has_demand_history(JobFleet *fleet, int64_t now, const PoolPlan *plans,
                   size_t count)
{
    size_t i;

    for (i = 0; fleet->first_demand_ms == 0 && i < count; i++) {
        if (plans[i].load.arriving > 0) {
            fleet->first_demand_ms = now;
        }
    }
    return fleet->first_demand_ms != 0 &&
           now - fleet->first_demand_ms >= MOVE_LEARNING_MS;
}

static PoolPlan *
find_standby_plan(PoolPlan *plans, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (plans[i].pool->standby) {
            return &plans[i];
        }
    }
    return NULL;
}

void
FleetImpl_PlanMoves(JobFleet *fleet, int64_t now)
{
    const JobConfig *config = JobState_GetConfig(fleet->state);
    PoolPlan *plans = Mem_New(config->pool_count + 1, sizeof(*plans));
    PoolPlan *standby;
    size_t count = 0;
    size_t i;

    for (i = 0; i < config->pool_count && count < MOVE_MAX_POOLS; i++) {
        plans[count++].pool = &config->pools[i];
    }
    standby = find_standby_plan(plans, count);
    count_vms(fleet, now, plans, count);
    for (i = 0; standby != NULL && i < count; i++) {
        if (!plans[i].pool->standby) {
            size_pool(fleet, now, &plans[i]);
        }
        if (now >= fleet->next_log_ms) {
            log_plan(&plans[i]);
        }
    }
    if (now >= fleet->next_log_ms) {
        fleet->next_log_ms = now + MOVE_LOG_INTERVAL_MS;
    }
    for (i = 0; standby != NULL && i < count; i++) {
        while (!plans[i].pool->standby &&
               plans[i].capacity < plans[i].desired &&
               fetch_vm(fleet, now, plans, count, &plans[i])) {
        }
    }
    if (!has_demand_history(fleet, now, plans, count)) {
        count = 0;
    }
    for (i = 0; standby != NULL && i < count; i++) {
        FleetVm *vm;
        while (has_surplus(&plans[i], plans[i].standby_floor) &&
               (vm = pick_vm(fleet, now, plans[i].pool->name, true)) != NULL) {
            move_vm(fleet, now, vm, &plans[i], standby);
        }
    }
    free(plans);
}
