#include <check.h>

#include "jobsizing.h"
#include "support.h"

#define VM_CPU 16000 /* thousandths of a core */

static JobSizing sizing;

static JobPoolSize
plan_pool(int64_t now, int64_t arriving, int64_t waiting, int64_t used)
{
    JobPoolLoad load = {
        .arriving = arriving, .waiting = waiting, .used = used};

    return JobSizing_Plan(&sizing, now, &load, VM_CPU);
}

static void
setup(void)
{
    sizing = (JobSizing){.pool = "p"};
}

/* Demand of a pool during a burst and after it, in VMs. Guards against VMs
 * that are given up while tasks still wait, and against moves to standby and
 * back during a short dip. */
static const struct {
    const char *name;
    int64_t at_ms;
    int64_t arriving;
    int64_t waiting;
    int64_t used;
    int64_t min_standby_floor;  /* VMs that must not go to standby */
    int64_t max_transfer_floor; /* most VMs kept from other pools */
} burst[] = {
    {"no demand", 0, 0, 0, 0, 2, 3},
    {"burst begins", 1000, 8, 8, 2, 16, 30},
    {"peak", 2000, 16, 4, 16, 20, 30},
    {"little work arrives, but work that runs or waits needs the VMs", 3000, 2,
     6, 16, 22, 11},
    {"dip of a second", 4000, 0, 0, 2, 22, 3},
    {"burst continues", 5000, 12, 0, 12, 15, 16},
    {"burst has ended", 6000, 0, 0, 1, 15, 3},
    {"burst ended within the window", 7500, 0, 0, 0, 15, 3},
    {"burst ended long ago", 9000, 0, 0, 0, 2, 3},
};

START_TEST(size_follows_burst)
{
    size_t i;

    for (i = 0; i < sizeof(burst) / sizeof(burst[0]); i++) {
        JobPoolSize size =
            plan_pool(burst[i].at_ms, burst[i].arriving * VM_CPU,
                      burst[i].waiting * VM_CPU, burst[i].used * VM_CPU);
        ck_assert_msg(size.standby_floor >=
                          burst[i].min_standby_floor * VM_CPU,
                      "%s: standby floor of %lld VMs", burst[i].name,
                      (long long)size.standby_floor / VM_CPU);
        ck_assert_msg(size.transfer_floor <=
                          burst[i].max_transfer_floor * VM_CPU,
                      "%s: transfer floor of %lld VMs", burst[i].name,
                      (long long)size.transfer_floor / VM_CPU);
        ck_assert_msg(size.standby_floor >= size.transfer_floor, "%s",
                      burst[i].name);
    }
}
END_TEST

START_TEST(need_expires_after_window)
{
    JobPoolSize size;

    plan_pool(0, 20 * VM_CPU, 0, 20 * VM_CPU);
    size = plan_pool(SIZING_WINDOW_MS + SIZING_SLOT_MS, 0, 0, 0);
    ck_assert_int_lt(size.standby_floor, 3 * VM_CPU);
}
END_TEST

START_TEST(lasting_tasks_keep_reserve)
{
    JobPoolLoad load = {.lasting = 8 * VM_CPU, .used = 8 * VM_CPU};
    JobPoolSize size = JobSizing_Plan(&sizing, 0, &load, VM_CPU);

    ck_assert_int_ge(size.desired, 10 * VM_CPU);
    ck_assert_int_ge(size.transfer_floor, 10 * VM_CPU);
}
END_TEST

/* Work that waits, in VMs and in VM seconds, and jobs whose tasks run apart
 * because their targets crashed. Guards against VMs that are kept for tasks
 * that may not use them, and against a backlog that is not done once nothing
 * arrives. */
static const struct {
    const char *name;
    int64_t waiting;
    int64_t backlog_s;
    int64_t suspect;
    uint32_t suspect_jobs;
    int64_t min_desired;
    int64_t max_desired;
    int64_t max_transfer_floor;
} waiting_cases[] = {
    {"nothing waits", 0, 0, 0, 0, 2, 2, 2},
    {"short backlog", 60, 6, 0, 0, 5, 6, 75},
    {"backlog of a burst", 60, 60, 0, 0, 18, 24, 75},
    {"one suspect job", 3, 0, 3, 1, 3, 3, 3},
    {"suspects beside a small backlog", 62, 1, 60, 100, 18, 40, 7},
    {"suspects only", 60, 0, 60, 100, 18, 40, 6},
};

START_TEST(size_follows_work_that_waits)
{
    size_t i;

    for (i = 0; i < sizeof(waiting_cases) / sizeof(waiting_cases[0]); i++) {
        JobPoolLoad load = {.waiting = waiting_cases[i].waiting * VM_CPU,
                            .backlog =
                                waiting_cases[i].backlog_s * 1000 * VM_CPU,
                            .suspect = waiting_cases[i].suspect * VM_CPU,
                            .suspect_jobs = waiting_cases[i].suspect_jobs};
        JobPoolSize size;

        setup();
        size = JobSizing_Plan(&sizing, 0, &load, VM_CPU);
        ck_assert_msg(size.desired >= waiting_cases[i].min_desired * VM_CPU &&
                          size.desired <=
                              waiting_cases[i].max_desired * VM_CPU,
                      "%s: %lld VMs desired", waiting_cases[i].name,
                      (long long)size.desired / VM_CPU);
        ck_assert_msg(size.transfer_floor <=
                          waiting_cases[i].max_transfer_floor * VM_CPU,
                      "%s: transfer floor of %lld VMs", waiting_cases[i].name,
                      (long long)size.transfer_floor / VM_CPU);
        ck_assert_msg(waiting_cases[i].suspect_jobs == 0 ||
                          size.standby_floor >=
                              waiting_cases[i].min_desired * VM_CPU,
                      "%s: standby floor of %lld VMs", waiting_cases[i].name,
                      (long long)size.standby_floor / VM_CPU);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobsizing");
    TCase *tcase = tcase_create("sizing");

    tcase_add_checked_fixture(tcase, setup, NULL);
    tcase_add_test(tcase, size_follows_burst);
    tcase_add_test(tcase, need_expires_after_window);
    tcase_add_test(tcase, lasting_tasks_keep_reserve);
    tcase_add_test(tcase, size_follows_work_that_waits);
    suite_add_tcase(suite, tcase);
    return suite;
}
