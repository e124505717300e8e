#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "admit.h"
#include "rng.h"
#include "route.h"
#include "support_fleet.h"
#include "support_naive.h"
#include "traffic.h"

static const char *const policy_names[] = {"traffic", "first come", "split"};

static void
print_wait(const char *name, const FleetWait *wait)
{
    printf("  %s p50 %.1f p99 %.1f p99.9 %.1f", name,
           (double)wait->p50_us / 1000, (double)wait->p99_us / 1000,
           (double)wait->p999_us / 1000);
}

static void
bench_waits(bool shared_kind, bool peaks)
{
    static const double percents[] = {2, 5, 10};
    size_t i;
    int policy;

    printf("waits in ms; load 0.8, %s, long work 100 times the length, "
           "declared size off by up to 10 times, %s\n",
           peaks ? "peaks" : "steady",
           shared_kind ? "kinds say nothing" : "kinds tell");
    for (i = 0; i < 3; i++) {
        for (policy = FLEET_TRAFFIC; policy <= FLEET_FIXED_SPLIT; policy++) {
            FleetOptions options = FLEET_OPTIONS_DEFAULT;
            FleetResult result;
            options.policy = (FleetPolicy)policy;
            options.long_percent = percents[i];
            options.shared_kind = shared_kind;
            options.peaks = peaks;
            options.urgent = true;
            options.deadline_ms = 120000;
            Fleet_Run(&options, &result);
            printf("%3.0f%% long, %-10s", percents[i], policy_names[policy]);
            print_wait("short", &result.short_wait);
            print_wait("long", &result.long_wait);
            print_wait("urgent", &result.urgent_wait);
            printf("  not run %llu of %llu, throttles %llu\n",
                   (unsigned long long)result.not_run,
                   (unsigned long long)result.submitted,
                   (unsigned long long)result.throttles);
        }
    }
}

typedef struct AmplificationCase {
    const char *name;
    uint32_t failing;     /* number of failing targets out of 10 */
    double failing_share; /* fraction of their requests that fail */
} AmplificationCase;

static void
bench_amplification(void)
{
    static const uint32_t percents[] = {10, 100000};
    static const AmplificationCase cases[] = {
        {"half fail everything", 5, 1.0},
        {"half fail every second request", 5, 0.5},
        {"all fail everything", 10, 1.0},
    };
    size_t i;
    size_t j;

    printf("10 targets, failures after 1 ms from 10 s on, load 0.4\n");
    for (i = 0; i < 3; i++) {
        for (j = 0; j < 2; j++) {
            FleetOptions options = FLEET_OPTIONS_DEFAULT;
            FleetResult result;
            options.load = 0.4;
            options.long_percent = 0;
            options.failing = cases[i].failing;
            options.fail_share = cases[i].failing_share;
            options.fail_from_ms = 10000;
            options.duration_ms = 40000;
            options.deadline_ms = 5000;
            options.retry_percent = percents[j];
            Fleet_Run(&options, &result);
            printf("%-30s %-9s attempts/request %.3f, done %llu unknown %llu "
                   "unable %llu not run %llu of %llu\n",
                   cases[i].name, j == 0 ? "budget" : "no budget",
                   (double)result.attempts_after_failure /
                       (double)result.submitted_after_failure,
                   (unsigned long long)result.done,
                   (unsigned long long)result.unknown,
                   (unsigned long long)result.unable,
                   (unsigned long long)result.not_run,
                   (unsigned long long)result.submitted);
        }
    }
}

static void
bench_failing_target(void)
{
    int unrepeatable;
    int policy;

    printf("one of 10 targets fails everything after 1 ms, load 0.5, 60 s\n");
    for (policy = FLEET_TRAFFIC; policy <= FLEET_FIFO; policy++) {
        for (unrepeatable = 0; unrepeatable < 2; unrepeatable++) {
            FleetOptions options = FLEET_OPTIONS_DEFAULT;
            FleetResult result;
            options.policy = (FleetPolicy)policy;
            options.load = 0.5;
            options.long_percent = 0;
            options.failing = 1;
            options.duration_ms = 60000;
            options.deadline_ms = 5000;
            options.unrepeatable = unrepeatable;
            Fleet_Run(&options, &result);
            printf("%-10s %-12s sent to it %llu, lost %llu of %llu\n",
                   policy_names[policy],
                   unrepeatable ? "unrepeatable" : "repeatable",
                   (unsigned long long)result.attempts_on_failing,
                   (unsigned long long)(result.submitted - result.done),
                   (unsigned long long)result.submitted);
        }
    }
}

static void
bench_overload(void)
{
    static const int64_t deadlines[] = {100, 1000, 5000};
    size_t i;

    printf("load 1.5, 2%% long, 30 s, urgent work among it\n");
    for (i = 0; i < 3; i++) {
        FleetOptions options = FLEET_OPTIONS_DEFAULT;
        FleetResult result;
        options.load = 1.5;
        options.long_percent = 2;
        options.urgent = true;
        options.duration_ms = 30000;
        options.deadline_ms = deadlines[i];
        Fleet_Run(&options, &result);
        printf("deadline %4lld ms: done %llu, refused at once %llu, expired "
               "while waiting %llu, unknown %llu of %llu; slots busy %.3f\n",
               (long long)deadlines[i], (unsigned long long)result.done,
               (unsigned long long)(result.not_run - result.expired),
               (unsigned long long)result.expired,
               (unsigned long long)result.unknown,
               (unsigned long long)result.submitted, result.busy);
        print_wait("urgent", &result.urgent_wait);
        printf(" max %.1f ms\n", (double)result.urgent_wait.max_us / 1000);
    }
}

static void
bench_refusals(void)
{
    static const double loads[] = {0.3, 0.45, 0.6};
    size_t i;

    printf("half of each target's slots are taken by others, who hold no "
           "credits; refusals after 0.5 ms\n");
    for (i = 0; i < 3; i++) {
        FleetOptions options = FLEET_OPTIONS_DEFAULT;
        FleetResult result;
        options.load = loads[i];
        options.long_percent = 0;
        options.external_slots = 4;
        options.duration_ms = 30000;
        options.deadline_ms = 2000;
        Fleet_Run(&options, &result);
        printf("load %.2f: refusals/request %.3f, done %llu, not run %llu, "
               "unknown %llu of %llu;",
               loads[i],
               (double)result.refused_attempts / (double)result.submitted,
               (unsigned long long)result.done,
               (unsigned long long)result.not_run,
               (unsigned long long)result.unknown,
               (unsigned long long)result.submitted);
        print_wait("short", &result.short_wait);
        printf("\n");
    }
}

/* The functions below measure all costs in one run, since costs from different
 * hosts can be compared only by their ratios. */

#define COST_MAX_TARGETS 29000
#define COST_ROUNDS 200000
#define SCAN_ROUNDS 200
#define WAITING_REQUESTS 100000

static TrafficTarget cost_targets[COST_MAX_TARGETS];
static char cost_names[COST_MAX_TARGETS][16];
static NaiveTarget naive_targets[COST_MAX_TARGETS];
static Handle cost_handles[WAITING_REQUESTS];

static double
now_ns(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

/* Returns the resident memory of this process, or 0 if it is unknown. */
static double
get_resident_bytes(void)
{
    FILE *file = fopen("/proc/self/statm", "r");
    char line[128] = "";
    char *end = line;

    if (file == NULL) {
        return 0;
    }
    if (fgets(line, sizeof(line), file) == NULL) {
        line[0] = '\0';
    }
    fclose(file);
    strtol(line, &end, 10);
    return (double)strtol(end, NULL, 10) * 4096;
}

static void
init_cost_targets(void)
{
    uint32_t i;

    for (i = 0; i < COST_MAX_TARGETS; i++) {
        TrafficTarget target = {cost_names[i],       "pool", "dc", "r", 1,
                                TRAFFIC_TARGET_OPEN, 4,      32,   i};
        NaiveTarget naive = {4, 0, 2, 0, true, true};
        snprintf(cost_names[i], sizeof(cost_names[i]), "vm%u", i);
        cost_targets[i] = target;
        naive_targets[i] = naive;
    }
}

/* Returns the time to release a slot, select a target and acquire a slot of it
 * while half of all slots are taken. */
static double
measure_route_ns(uint32_t count, double *bytes_per_target)
{
    RouteOptions options = {"dc", 1, 50};
    double bytes_before = get_resident_bytes();
    Route *route = Route_New(&options);
    RouteQuery query = {0, 1, false, true, NULL, 0};
    uint32_t *taken = calloc(count * 2, sizeof(*taken));
    uint32_t next = 0;
    uint32_t i;
    double ns;

    query.pool = Route_FindOrAddPool(route, "pool");
    Route_SetTargets(route, cost_targets, count);
    *bytes_per_target = (get_resident_bytes() - bytes_before) / count;
    for (i = 0; i < count * 2; i++) {
        Route_SelectTarget(route, &query, &taken[i]);
        Route_AcquireSlot(route, taken[i], false);
    }
    ns = now_ns();
    for (i = 0; i < COST_ROUNDS; i++) {
        Route_ReleaseSlot(route, taken[next], false);
        Route_SelectTarget(route, &query, &taken[next]);
        Route_AcquireSlot(route, taken[next], false);
        next = (next + 1) % (count * 2);
    }
    ns = (now_ns() - ns) / COST_ROUNDS;
    free(taken);
    Route_Free(route);
    return ns;
}

static double
measure_scan_ns(uint32_t count)
{
    uint32_t sum = 0;
    double ns = now_ns();
    int i;

    for (i = 0; i < SCAN_ROUNDS; i++) {
        uint32_t target =
            NaiveTargets_SelectTarget(naive_targets, count, false);
        naive_targets[target].in_flight ^= 1;
        sum += target;
    }
    ns = (now_ns() - ns) / SCAN_ROUNDS;
    return sum == UINT32_MAX ? 0 : ns;
}

typedef struct RequestCost {
    double submit_ns;
    double cancel_ns;
    double waiting_bytes;
    double round_trip_ns;  /* submit, dispatch, answer and reply */
    double set_targets_us; /* Traffic_SetTargets with all targets */
    double put_target_us;  /* Traffic_PutTarget of one target */
} RequestCost;

/* Takes all pending actions and stores the attempt dispatched last. */
static void
process_actions(Traffic *t, Handle *attempt)
{
    TrafficAction action;

    while (Traffic_TakeAction(t, &action)) {
        if (action.kind == TRAFFIC_DISPATCH) {
            *attempt = action.attempt;
        }
    }
}

static void
submit_request(Traffic *t, uint32_t i, Handle *out)
{
    char caller[16];
    TrafficRequest request = {"s",           caller,     "team", "kind",
                              TRAFFIC_SHORT, 1000000000, false,  i};

    snprintf(caller, sizeof(caller), "c%u", i % 1000);
    Traffic_SubmitRequest(t, 1, &request, out);
}

static void
measure_requests(uint32_t count, RequestCost *cost)
{
    TrafficOptions options = TRAFFIC_OPTIONS_DEFAULT;
    TrafficService service = {"s", "pool", 1000, 2 * WAITING_REQUESTS};
    TrafficResult ok = {TRAFFIC_OK, 1000};
    Handle attempt = HANDLE_NONE;
    Handle handle;
    double bytes_before;
    Traffic *t;
    uint32_t i;

    options.max_requests = 4 * WAITING_REQUESTS;
    t = Traffic_New(&options);
    Traffic_SetServices(t, 0, &service, 1);
    cost->set_targets_us = now_ns();
    Traffic_SetTargets(t, 0, cost_targets, count);
    cost->set_targets_us = (now_ns() - cost->set_targets_us) / 1000;
    cost->put_target_us = now_ns();
    for (i = 0; i < 1000; i++) {
        Traffic_PutTarget(t, 0, &cost_targets[i * 7919 % count]);
    }
    cost->put_target_us = (now_ns() - cost->put_target_us) / 1e6;
    cost->round_trip_ns = now_ns();
    for (i = 0; i < COST_ROUNDS; i++) {
        submit_request(t, i, &handle);
        process_actions(t, &attempt);
        Traffic_ReportResult(t, 1, attempt, ok);
        process_actions(t, &attempt);
    }
    cost->round_trip_ns = (now_ns() - cost->round_trip_ns) / COST_ROUNDS;
    for (i = 0; i < count * 4; i++) {
        submit_request(t, i, &handle);
        process_actions(t, &attempt);
    }
    bytes_before = get_resident_bytes();
    cost->submit_ns = now_ns();
    for (i = 0; i < WAITING_REQUESTS; i++) {
        submit_request(t, i, &cost_handles[i]);
    }
    cost->submit_ns = (now_ns() - cost->submit_ns) / WAITING_REQUESTS;
    cost->waiting_bytes =
        (get_resident_bytes() - bytes_before) / WAITING_REQUESTS;
    cost->cancel_ns = now_ns();
    for (i = 0; i < WAITING_REQUESTS; i++) {
        Traffic_CancelRequest(t, 1,
                              cost_handles[(i * 7919ULL) % WAITING_REQUESTS]);
    }
    cost->cancel_ns = (now_ns() - cost->cancel_ns) / WAITING_REQUESTS;
    Traffic_Free(t);
}

static void
bench_costs(void)
{
    static const uint32_t counts[] = {100, 1000, 10000, 29000};
    size_t i;

    init_cost_targets();
    printf("costs by count of targets; %d requests wait at submit and cancel, "
           "of 1000 callers\n",
           WAITING_REQUESTS);
    for (i = 4; i-- > 0;) {
        RequestCost cost;
        double bytes_per_target;
        double route_ns = measure_route_ns(counts[i], &bytes_per_target);
        double scan_ns = measure_scan_ns(counts[i]);
        measure_requests(counts[i], &cost);
        printf("%5u targets: route %.0f ns, scan %.0f ns, ratio %.4f; submit "
               "%.0f ns, cancel %.0f ns, whole turn %.0f ns, publish all %.0f "
               "us, one %.2f us\n",
               counts[i], route_ns, scan_ns, route_ns / scan_ns,
               cost.submit_ns, cost.cancel_ns, cost.round_trip_ns,
               cost.set_targets_us, cost.put_target_us);
        /* Later runs reuse freed memory, so only the first run shows how
         * much memory is needed. */
        if (i == 3) {
            printf("resident bytes by target %.0f, by waiting request %.0f\n",
                   bytes_per_target, cost.waiting_bytes);
        }
    }
}

int
main(void)
{
    bench_costs();
    bench_overload();
    bench_refusals();
    bench_waits(false, false);
    bench_waits(true, false);
    bench_waits(false, true);
    bench_amplification();
    bench_failing_target();
    return 0;
}
