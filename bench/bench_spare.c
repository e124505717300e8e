/* Compares static pools, greedy moves and the planner by the number of moves,
 * the cost of idle VMs and the waiting time of jobs, with the same recorded
 * demand, for both simulated users. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "support_spare.h"

#define SECONDS 3600
#define SEEDS 3
#define POOLS 118
#define CALLS 2000

static void
print_row(const char *policy, uint32_t removed_vms, const SpareReport *report)
{
    printf("  %-14s %4u %12.0f %7" PRIu64 " %8" PRIu64 " %8" PRIu64
           " %10.0f %8" PRIu64 "\n",
           policy, removed_vms, report->idle_vm_s, report->moves,
           Hist_Quantile(&report->wait_ms, 0.5),
           Hist_Quantile(&report->wait_ms, 0.99), report->shortfall,
           report->reversed);
}

static void
compare_policies(const SpareScenario *user)
{
    static const char *const names[] = {"static", "greedy", "greedy-return",
                                        "rule"};
    static SpareReport report;
    uint64_t seed;

    for (seed = 1; seed <= SEEDS; seed++) {
        SpareDemand demand = SpareDemand_Generate(user, SECONDS, seed);
        uint32_t removed_vms;
        int policy;
        printf("%s, seed %" PRIu64 ", %zu jobs in %d s\n", user->name, seed,
               demand.count, SECONDS);
        printf("  %-14s %4s %12s %7s %8s %8s %10s %8s\n", "policy", "less",
               "idle_vm_s", "moves", "p50_ms", "p99_ms", "shortfall",
               "reversed");
        for (policy = SPARE_STATIC; policy <= SPARE_REGRET; policy++) {
            SpareModel_Run(user, &demand, 0, (SparePolicy)policy, &report);
            print_row(names[policy], 0, &report);
        }
        for (removed_vms = 1; removed_vms <= 4; removed_vms++) {
            for (policy = SPARE_GREEDY; policy <= SPARE_REGRET; policy += 2) {
                SpareModel_Run(user, &demand, removed_vms, (SparePolicy)policy,
                               &report);
                print_row(names[policy], removed_vms, &report);
            }
        }
        SpareDemand_Free(&demand);
    }
}

static double
elapsed_us(const struct timespec *from, const struct timespec *to)
{
    return (double)(to->tv_sec - from->tv_sec) * 1e6 +
           (double)(to->tv_nsec - from->tv_nsec) / 1e3;
}

/* Prints the time of one plan while one pool in short_every is short of VMs,
 * or no pool if short_every is 1. */
static void
measure_plan(int short_every)
{
    static char names[POOLS][SPARE_NAME_BYTES];
    static uint32_t ids[256];
    static SparePool pools[POOLS];
    SpareOptions options = SPARE_OPTIONS_DEFAULT;
    SparePlanner *spare = SparePlanner_New(&options);
    SpareMove moves[16];
    struct timespec from;
    struct timespec to;
    size_t total = 0;
    size_t count;
    int short_pools = 0;
    int call;
    int i;

    for (i = 0; i < POOLS; i++) {
        (void)snprintf(names[i], sizeof(names[i]), "pool-%d", i);
        pools[i] = (SparePool){.name = names[i],
                               .size = 246,
                               .min_size = 200,
                               .slots_per_vm = 8,
                               .queued = i % short_every == 1 ? 500 : 0,
                               .running = i % short_every == 1 ? 1968 : 100,
                               .service_ms = 400,
                               .budget_left = 5,
                               .movable = ids,
                               .movable_count = 246};
        short_pools += pools[i].queued > 0;
    }
    clock_gettime(CLOCK_MONOTONIC, &from);
    for (call = 0; call < CALLS; call++) {
        SparePlanner_PlanMoves(spare, call * 250, pools, POOLS, moves, 16,
                               &count);
        total += count;
    }
    clock_gettime(CLOCK_MONOTONIC, &to);
    printf("plan over %d pools, short %d: %.1f us, %.1f moves\n", POOLS,
           short_pools, elapsed_us(&from, &to) / CALLS, (double)total / CALLS);
    SparePlanner_Free(spare);
}

int
main(void)
{
    SpareScenario hollis = SpareScenario_GetHollis();
    SpareScenario alliance = SpareScenario_GetAlliance();

    compare_policies(&hollis);
    compare_policies(&alliance);
    measure_plan(1);
    measure_plan(POOLS);
    measure_plan(10);
    return EXIT_SUCCESS;
}
