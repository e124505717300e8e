#include "jobfleet_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "mem.h"
#include "slog.h"

/* Demand is looked for this far ahead: a move and some seconds of use. */
#define MOVE_AHEAD_MS 2600
/* A pool gives a VM up only when this much more than one is not needed, so
 * that small changes of demand do not move VMs to and fro. */
#define MOVE_SURPLUS_PERCENT 130
#define MOVE_MAX_POOLS 160
/* No VM is given up before demand was seen for so long. */
#define MOVE_LEARN_MS 2500
/* The plan of each pool is logged this often. */
#define MOVE_LOG_MS 1000

typedef struct PoolPlan {
    const JobPool *pool;
    JobPoolLoad load;
    int64_t have;   /* thousandths of a core that it has or will have */
    int64_t want;   /* VMs are fetched up to this */
    int64_t keep;   /* and given up down to this, */
    int64_t hold;   /* or to standby down to this */
    int64_t vm_cpu; /* of a usual VM */
    size_t vms;
    size_t down;    /* VMs that are neither up nor on their way */
    size_t ordered; /* VMs with an order */
    size_t free;    /* VMs that may be ordered now */
} PoolPlan;

static const char *
pool_of(const FleetVm *vm)
{
    return vm->order == FLEET_MOVE ? vm->pool : vm->listed.pool;
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

    for (i = 0; i < fleet->vm_count; i++) {
        const FleetVm *vm = &fleet->vms[i];
        PoolPlan *plan = find_plan(plans, count, pool_of(vm));
        if (plan == NULL) {
            continue;
        }
        plan->ordered += vm->order != FLEET_NONE;
        if (!vm->listed.up && !vm->listed.busy) {
            plan->down++;
            continue;
        }
        plan->free += vm->order == FLEET_NONE && vm->listed.up &&
                      FleetImpl_MayOrder(fleet, now, vm);
        plan->vms++;
        plan->vm_cpu = vm->listed.cpu;
        if (vm->order != FLEET_MAINTAIN) {
            plan->have += vm->listed.cpu;
        }
    }
}

/* Returns what is remembered of a pool. */
static JobSizing *
sizing_of(JobFleet *fleet, const char *pool)
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
plan_pool(JobFleet *fleet, int64_t now, PoolPlan *plan)
{
    JobSize size;

    JobSched_PoolLoad(fleet->sched, now, plan->pool->name, MOVE_AHEAD_MS,
                      &plan->load);
    size = JobSizing_Plan(sizing_of(fleet, plan->pool->name), now, &plan->load,
                          plan->vm_cpu);
    plan->want = size.want;
    plan->keep = size.keep;
    plan->hold = size.hold;
}

/* Returns a free VM of a pool, or the one with the least short work when any
 * is set. VMs with lasting tasks stay. */
static FleetVm *
pick_vm(JobFleet *fleet, int64_t now, const char *pool, bool any)
{
    FleetVm *best = NULL;
    uint64_t best_used = UINT64_MAX;
    size_t i;
    uint32_t j;

    for (i = 0; i < fleet->vm_count; i++) {
        FleetVm *vm = &fleet->vms[i];
        const JobTarget *target;
        bool lasting = false;
        uint64_t used;
        if (vm->order != FLEET_NONE || !vm->listed.up || vm->listed.busy ||
            (any && now - vm->moved_ms < FLEET_MOVE_AGAIN_MS) ||
            strcmp(vm->listed.pool, pool) != 0) {
            continue;
        }
        target = FleetImpl_Target(fleet, vm);
        for (j = 0; target != NULL && j < target->run_count; j++) {
            lasting = lasting || JobRun_Step(&target->runs[j])->lasting;
        }
        used = target != NULL ? target->used.cpu : 0;
        if (lasting || (used > 0 && !any)) {
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
    Slog_Text("vm", vm->listed.name);
    Slog_Text("from", from->pool->name);
    Slog_Text("pool", to->pool->name);
    Slog_Int("from_have", from->have);
    Slog_Int("from_want", from->want);
    Slog_Int("have", to->have);
    Slog_Int("want", to->want);
    Slog_Int("arriving", to->load.arriving);
    Slog_Int("waiting", to->load.waiting);
    Slog_Int("forecast", to->load.forecast);
    Slog_Int("period_ms", to->load.period_ms);
    Slog_End();
    if (strcmp(vm->listed.pool, to->pool->name) == 0) {
        /* It was to leave the pool that now needs it. */
        FleetImpl_Cancel(fleet, vm);
    }
    else {
        FleetImpl_Order(fleet, now, vm, FLEET_MOVE, to->pool->name, 0);
    }
    from->have -= vm->listed.cpu;
    to->have += vm->listed.cpu;
    from->vms--;
    to->vms++;
}

static void
log_plan(const PoolPlan *plan)
{
    Slog_Begin(SLOG_CHANGE, "pool_plan");
    Slog_Text("pool", plan->pool->name);
    Slog_Int("have", plan->have);
    Slog_Int("want", plan->want);
    Slog_Int("used", plan->load.used);
    Slog_Int("lasting", plan->load.lasting);
    Slog_Int("waiting", plan->load.waiting);
    Slog_Int("arriving", plan->load.arriving);
    Slog_Int("rising", plan->load.rising);
    Slog_Int("forecast", plan->load.forecast);
    Slog_Int("period_ms", plan->load.period_ms);
    Slog_Int("vms", (int64_t)plan->vms);
    Slog_Int("down", (int64_t)plan->down);
    Slog_Int("ordered", (int64_t)plan->ordered);
    Slog_Int("free", (int64_t)plan->free);
    Slog_End();
}

static bool
has_surplus(const PoolPlan *plan, int64_t needed)
{
    return !plan->pool->standby && plan->vms > 1 &&
           plan->have - needed >= plan->vm_cpu * MOVE_SURPLUS_PERCENT / 100;
}

/* Returns a VM whose move to another pool was decided but not ordered. */
static FleetVm *
pick_moving(JobFleet *fleet, const char *pool)
{
    size_t i;

    for (i = 0; i < fleet->vm_count; i++) {
        FleetVm *vm = &fleet->vms[i];
        if (vm->order == FLEET_MOVE && !vm->committed && !vm->ordered &&
            strcmp(vm->pool, pool) == 0) {
            return vm;
        }
    }
    return NULL;
}

/* Finds a VM for a pool that needs one: ones on their way to standby and
 * standby ones first, then free ones of pools with more than they need. */
static bool
fetch(JobFleet *fleet, int64_t now, PoolPlan *plans, size_t count,
      PoolPlan *to)
{
    size_t i;
    int pass;

    for (pass = 0; pass < 2; pass++) {
        for (i = 0; i < count; i++) {
            PoolPlan *from = &plans[i];
            FleetVm *vm;
            if (from == to || from->pool->standby != (pass == 0) ||
                (pass == 1 && !has_surplus(from, from->keep))) {
                continue;
            }
            vm = pass == 0 ? pick_moving(fleet, from->pool->name) : NULL;
            if (vm == NULL) {
                vm = pick_vm(fleet, now, from->pool->name, false);
            }
            if (vm != NULL) {
                move_vm(fleet, now, vm, from, to);
                return true;
            }
        }
    }
    return false;
}

/* Returns whether work has come for long enough, since the start or a change
 * of the leader, to tell what pools do not need. */
static bool
knows_demand(JobFleet *fleet, int64_t now, const PoolPlan *plans, size_t count)
{
    size_t i;

    for (i = 0; fleet->demand_ms == 0 && i < count; i++) {
        if (plans[i].load.arriving > 0) {
            fleet->demand_ms = now;
        }
    }
    return fleet->demand_ms != 0 && now - fleet->demand_ms >= MOVE_LEARN_MS;
}

static PoolPlan *
find_standby(PoolPlan *plans, size_t count)
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
    const JobConfig *config = JobState_Config(fleet->state);
    PoolPlan *plans = Mem_New(config->pool_count + 1, sizeof(*plans));
    PoolPlan *standby;
    size_t count = 0;
    size_t i;

    for (i = 0; i < config->pool_count && count < MOVE_MAX_POOLS; i++) {
        plans[count++].pool = &config->pools[i];
    }
    standby = find_standby(plans, count);
    count_vms(fleet, now, plans, count);
    for (i = 0; standby != NULL && i < count; i++) {
        if (!plans[i].pool->standby) {
            plan_pool(fleet, now, &plans[i]);
        }
        if (now >= fleet->log_ms) {
            log_plan(&plans[i]);
        }
    }
    if (now >= fleet->log_ms) {
        fleet->log_ms = now + MOVE_LOG_MS;
    }
    for (i = 0; standby != NULL && i < count; i++) {
        while (!plans[i].pool->standby && plans[i].have < plans[i].want &&
               fetch(fleet, now, plans, count, &plans[i])) {
        }
    }
    if (!knows_demand(fleet, now, plans, count)) {
        count = 0;
    }
    for (i = 0; standby != NULL && i < count; i++) {
        FleetVm *vm;
        while (has_surplus(&plans[i], plans[i].hold) &&
               (vm = pick_vm(fleet, now, plans[i].pool->name, true)) != NULL) {
            move_vm(fleet, now, vm, &plans[i], standby);
        }
    }
    free(plans);
}
