#include <stdio.h>
#include <string.h>

#include "support_fleet.h"

static const char *const rule_names[] = {"traffic", "first come", "split"};

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
    int rule;

    printf("waits in ms; load 0.8, %s, long work 100 times the length, "
           "declared size off by up to 10 times, %s\n",
           peaks ? "peaks" : "steady",
           shared_kind ? "kinds say nothing" : "kinds tell");
    for (i = 0; i < 3; i++) {
        for (rule = FLEET_TRAFFIC; rule <= FLEET_FIXED_SPLIT; rule++) {
            FleetOptions options = FLEET_OPTIONS_DEFAULT;
            FleetResult result;
            options.rule = (FleetRule)rule;
            options.long_percent = percents[i];
            options.shared_kind = shared_kind;
            options.peaks = peaks;
            options.urgent = true;
            options.deadline_ms = 120000;
            Fleet_Run(&options, &result);
            printf("%3.0f%% long, %-10s", percents[i], rule_names[rule]);
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

static void
bench_amplification(void)
{
    static const uint32_t percents[] = {10, 100000};
    size_t i;
    int slow;

    printf("half of 10 targets fail from 10 s on, load 0.4\n");
    for (slow = 0; slow < 2; slow++) {
        for (i = 0; i < 2; i++) {
            FleetOptions options = FLEET_OPTIONS_DEFAULT;
            FleetResult r;
            options.load = 0.4;
            options.long_percent = 0;
            options.failing = 5;
            options.fail_us = slow ? 100000 : 1000;
            options.fail_from_ms = 10000;
            options.duration_ms = 40000;
            options.deadline_ms = 5000;
            options.retry_percent = percents[i];
            Fleet_Run(&options, &r);
            printf("fail after %3d ms, %-9s attempts/request %.3f  done %.2f%%"
                   "  unknown %llu unable %llu not run %llu of %llu\n",
                   slow ? 100 : 1, i == 0 ? "budget" : "no budget",
                   (double)r.attempts_after / (double)r.submitted_after,
                   100.0 * (double)r.done / (double)r.submitted,
                   (unsigned long long)r.unknown, (unsigned long long)r.unable,
                   (unsigned long long)r.not_run,
                   (unsigned long long)r.submitted);
        }
    }
}

static void
bench_failing_worker(void)
{
    int unrepeatable;
    int rule;

    printf("one of 10 workers fails everything after 1 ms, load 0.5, 60 s\n");
    for (rule = FLEET_TRAFFIC; rule <= FLEET_FIRST_COME; rule++) {
        for (unrepeatable = 0; unrepeatable < 2; unrepeatable++) {
            FleetOptions options = FLEET_OPTIONS_DEFAULT;
            FleetResult r;
            options.rule = (FleetRule)rule;
            options.load = 0.5;
            options.long_percent = 0;
            options.failing = 1;
            options.duration_ms = 60000;
            options.deadline_ms = 5000;
            options.unrepeatable = unrepeatable;
            Fleet_Run(&options, &r);
            printf("%-10s %-12s sent to it %llu, lost %llu of %llu\n",
                   rule_names[rule],
                   unrepeatable ? "unrepeatable" : "repeatable",
                   (unsigned long long)r.attempts_failing,
                   (unsigned long long)(r.submitted - r.done),
                   (unsigned long long)r.submitted);
        }
    }
}

int
main(void)
{
    bench_waits(false, false);
    bench_waits(true, false);
    bench_waits(false, true);
    bench_amplification();
    bench_failing_worker();
    return 0;
}
