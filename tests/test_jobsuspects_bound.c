#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "support.h"
#include "support_jobsim.h"

/* Jobs of 8-task steps, some of them deadly, while the leader is lost for
 * 3.5 s: the next one starts what has arrived at once, and hundreds of sound
 * tasks become suspects within seconds because they shared a target with a
 * deadly one. */
typedef struct SuspectCase {
    const char *name; /* the failure that the case guards against */
    uint32_t targets;
    double jobs_per_s;
    double deadly_share;
    uint64_t seeds;
} SuspectCase;

static const SuspectCase cases[] = {
    {"sound suspects wait beside free targets", 85, 40, 0.1, 8},
    {"they wait although few jobs are deadly", 85, 45, 0.05, 8},
    {"they wait in a pool of half the size", 42, 20, 0.1, 8},
    {"they wait behind over a thousand suspects", 85, 60, 0.1, 2},
};

static JobSimReport
run_case(const SuspectCase *row, uint64_t seed)
{
    JobSimOptions options = {.seed = seed,
                             .pools = 1,
                             .targets_per_pool = row->targets,
                             .target_cores = 32,
                             .step_tasks = 8,
                             .jobs_per_s = row->jobs_per_s,
                             .active_ms = 12000,
                             .settle_ms = 60000,
                             .crashes_refuse_calls = true,
                             .deadly_job_share = row->deadly_share,
                             .deadly_step_share = 1,
                             .outage_at_ms = 5000,
                             .outage_ms = 3500,
                             .measure_waits = true};
    JobSimReport report;

    JobSim_Run(&options, &report);
    return report;
}

START_TEST(no_sound_job_waits_beside_free_targets)
{
    const SuspectCase *row = &cases[_i];
    uint64_t seed;

    for (seed = 1; seed <= row->seeds; seed++) {
        JobSimReport report = run_case(row, seed);
        ck_assert_msg(report.violation[0] == '\0', "%s: %s", row->name,
                      report.violation);
        ck_assert_msg(report.idle_jobs == 0,
                      "%s: seed %llu: %llu sound jobs waited %d ms with "
                      "nothing running, one %lld ms",
                      row->name, (unsigned long long)seed,
                      (unsigned long long)report.idle_jobs, JOBSIM_MAX_IDLE_MS,
                      (long long)report.max_idle_ms);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobsuspects_bound");
    TCase *tcase = tcase_create("waits");

    tcase_add_loop_test(tcase, no_sound_job_waits_beside_free_targets, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    suite_add_tcase(suite, tcase);
    return suite;
}
