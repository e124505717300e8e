#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobfleet.h"
#include "support.h"
#include "support_job.h"

#define HOLDER_MS 3000

static JobState *state;
static JobSched *sched;
static JobFleet *fleet;
static int64_t now;

static void
setup(void)
{
    JobSchedOptions sched_options = JOBSCHED_OPTIONS_DEFAULT;
    JobFleetOptions options = {"node-1", HOLDER_MS, 2000, 1500};

    now = 100000;
    state = JobState_New();
    JobTest_Configure(state, 1);
    sched = JobSched_New(&sched_options, state);
    fleet = JobFleet_New(&options, state, sched);
}

static void
teardown(void)
{
    JobFleet_Free(fleet);
    JobSched_Free(sched);
    JobState_Free(state);
}

static void
lead(uint64_t term)
{
    JobSched_Lead(sched, now, term);
    JobFleet_Lead(fleet, now, term);
}

/* Applies what the fleet and the scheduler put into the log. */
static void
take_commands(void)
{
    Buf command = BUF_INIT;
    JobAction action;

    while (JobFleet_NextCommand(fleet, &command)) {
        JobTest_Apply(state, &command);
    }
    while (JobSched_Next(sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            JobTest_Apply(state, &action.command);
            JobSched_Proposed(sched, now, action.cookie, ST_OK);
        }
    }
    Buf_Free(&command);
}

static void
tick(int64_t ms)
{
    int64_t until = now + ms;

    while (now < until) {
        now += 50;
        JobState_SetNow(state, now);
        JobFleet_Confirmed(fleet, now);
        JobSched_Tick(sched, now, now);
        JobFleet_Tick(fleet, now, now);
        take_commands();
    }
}

static JobVm
vm_row(const char *name, const char *pool)
{
    JobVm vm = {.cpu = 16000, .up = true};

    snprintf(vm.name, sizeof(vm.name), "%s", name);
    snprintf(vm.pool, sizeof(vm.pool), "%s", pool);
    return vm;
}

/* Answers list calls with rows; other calls are kept. Returns the count of
 * other calls. */
static size_t
serve_list(JobVm *rows, size_t count, JobVmCall *kept, size_t max)
{
    JobVmCall call;
    size_t others = 0;

    while (JobFleet_NextCall(fleet, &call)) {
        JobVmAnswer answer = {JOB_VM_OK, rows, count, ""};
        if (call.kind == JOB_VM_LIST) {
            JobFleet_Answered(fleet, now, &call, &answer);
        }
        else if (others < max) {
            kept[others++] = call;
        }
    }
    return others;
}

static void
start_wave(uint32_t cap, uint32_t count)
{
    JobWave wave = {.number = 1, .duration_ms = 20000, .cap = cap};
    JobWaveVm vms[8];
    Buf command = BUF_INIT;
    uint32_t i;

    memset(vms, 0, sizeof(vms));
    for (i = 0; i < count; i++) {
        snprintf(vms[i].vm, sizeof(vms[i].vm), "vm%u", i);
    }
    wave.vms = vms;
    wave.vm_count = count;
    JobCmd_Wave(&command, &wave);
    JobTest_Apply(state, &command);
}

static size_t
list_idle(JobVm *rows, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        char name[16];
        snprintf(name, sizeof(name), "vm%zu", i);
        rows[i] = vm_row(name, "idle");
    }
    return count;
}

START_TEST(a_wave_keeps_its_cap)
{
    JobVm rows[6];
    JobVmCall calls[8];
    JobVmAnswer ok = {.outcome = JOB_VM_OK};
    size_t count = list_idle(rows, 6);

    lead(1);
    start_wave(2, 6);
    tick(100);
    serve_list(rows, count, calls, 8);
    tick(600);
    ck_assert_uint_eq(serve_list(rows, count, calls, 8), 2);
    JobFleet_Answered(fleet, now, &calls[0], &ok);
    rows[0].up = rows[1].up = true;
    /* One is under maintenance and one is not answered: no third. */
    tick(300);
    ck_assert_uint_eq(serve_list(rows, count, calls, 8), 0);
    ck_assert_uint_eq(JobState_Wave(state, 1)->done, 1);
}
END_TEST

START_TEST(a_new_leader_counts_what_an_earlier_one_ordered)
{
    JobVm rows[6];
    JobVmCall calls[8];
    size_t count = list_idle(rows, 6);

    lead(1);
    start_wave(2, 6);
    tick(100);
    serve_list(rows, count, calls, 8);
    tick(600);
    ck_assert_uint_eq(serve_list(rows, count, calls, 8), 2);
    /* The calls are on their way when the leader changes. */
    lead(2);
    tick(100);
    serve_list(rows, count, calls, 8);
    tick(1000);
    ck_assert_uint_eq(serve_list(rows, count, calls, 8), 0);
    tick(HOLDER_MS + 1500);
    ck_assert_uint_gt(serve_list(rows, count, calls, 8), 0);
}
END_TEST

START_TEST(no_order_without_a_confirmed_leader)
{
    JobVm rows[2];
    JobVmCall calls[8];
    size_t count = list_idle(rows, 2);

    lead(1);
    start_wave(2, 2);
    tick(100);
    serve_list(rows, count, calls, 8);
    now += 5000; /* frozen for five seconds */
    JobState_SetNow(state, now);
    JobFleet_Tick(fleet, now, now);
    take_commands();
    JobFleet_Tick(fleet, now + 50, now);
    ck_assert_uint_eq(serve_list(rows, count, calls, 8), 0);
}
END_TEST

START_TEST(a_vm_that_lists_miss_is_waited_for)
{
    JobVm rows[3];
    JobVmCall calls[8];
    size_t count = list_idle(rows, 2); /* vm2 of the wave is not listed */

    lead(1);
    start_wave(1, 3);
    tick(100);
    serve_list(rows, count, calls, 8);
    tick(500);
    serve_list(rows, count, calls, 8);
    tick(2500);
    serve_list(rows, count, calls, 8);
    ck_assert(!JobState_Wave(state, 1)->vms[2].done);
}
END_TEST

START_TEST(a_repeated_move_does_not_end_the_next_target)
{
    JobVm rows[4];
    JobVmCall calls[8];
    JobVmAnswer lost = {.outcome = JOB_VM_NO_ANSWER};
    JobVmAnswer ok = {.outcome = JOB_VM_OK};
    JobAnnouncement says = {.room = {16000, 32000, 0}, .born = 5};
    int i;

    rows[0] = vm_row("vm0", "idle");
    rows[1] = vm_row("vm1", "idle");
    lead(1);
    tick(100);
    serve_list(rows, 2, calls, 8);
    JobTest_Submit(state, "a", 1, 10, 2000);
    tick(600);
    ck_assert_uint_gt(serve_list(rows, 2, calls, 8), 0);
    JobFleet_Answered(fleet, now, &calls[0], &lost);
    /* It was carried out: the next target of the VM announces itself. */
    snprintf(says.id, sizeof(says.id), "next");
    snprintf(says.vm, sizeof(says.vm), "%s", calls[0].vm);
    snprintf(says.pool, sizeof(says.pool), "p");
    snprintf(says.address, sizeof(says.address), "10.0.0.9:80");
    JobSched_Announce(sched, now, &says);
    take_commands();
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "next"));
    for (i = 0; i < 3; i++) {
        size_t n;
        size_t j;
        tick(600);
        n = serve_list(rows, 2, calls, 8);
        for (j = 0; j < n; j++) {
            JobFleet_Answered(fleet, now, &calls[j], &ok);
        }
        take_commands();
    }
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "next"));
}
END_TEST

/* The service confirms maintenance that an earlier leader has ordered; what
 * runs on the VM since then goes on. */
START_TEST(confirmed_maintenance_keeps_runs)
{
    JobVm rows[1];
    JobVmCall calls[8];
    JobVmAnswer ok = {.outcome = JOB_VM_OK};

    rows[0] = vm_row("vm0", "p");
    JobTest_Target(state, "t0", "vm0", "p", 100, false);
    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t0");
    lead(1);
    start_wave(1, 1);
    tick(100);
    serve_list(rows, 1, calls, 8);
    tick(3900); /* the drain is given up for short work */
    ck_assert_uint_eq(serve_list(rows, 1, calls, 8), 1);
    JobFleet_Answered(fleet, now, &calls[0], &ok);
    tick(200);
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "t0"));
    ck_assert_uint_eq(JobState_FindTarget(state, "t0")->run_count, 1);
    ck_assert_uint_eq(JobState_Wave(state, 1)->done, 1);
}
END_TEST

START_TEST(standby_vms_follow_rising_work)
{
    JobVm rows[6];
    JobVmCall calls[8];
    size_t moves;

    list_idle(rows, 6);
    lead(1);
    tick(100);
    serve_list(rows, 6, calls, 8);
    JobTest_Submit(state, "a", 1, 40, 2000); /* 80 cores wait */
    tick(600);
    moves = serve_list(rows, 6, calls, 8);
    ck_assert_uint_gt(moves, 2);
    ck_assert_str_eq(calls[0].pool, "p");
    ck_assert_int_eq(calls[0].kind, JOB_VM_MOVE);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobfleet");
    TCase *tcase = tcase_create("fleet");

    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_test(tcase, a_wave_keeps_its_cap);
    tcase_add_test(tcase, a_new_leader_counts_what_an_earlier_one_ordered);
    tcase_add_test(tcase, no_order_without_a_confirmed_leader);
    tcase_add_test(tcase, a_vm_that_lists_miss_is_waited_for);
    tcase_add_test(tcase, a_repeated_move_does_not_end_the_next_target);
    tcase_add_test(tcase, confirmed_maintenance_keeps_runs);
    tcase_add_test(tcase, standby_vms_follow_rising_work);
    suite_add_tcase(suite, tcase);
    return suite;
}
