#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "jobfleet.h"
#include "jobfleet_impl.h"
#include "jobsched_impl.h"
#include "support.h"
#include "support_job.h"

#define HOLDER_LEASE_MS 3000

static JobState *state;
static JobSched *sched;
static JobFleet *fleet;
static int64_t now;

static void
setup(void)
{
    JobSchedOptions sched_options = JOBSCHED_OPTIONS_DEFAULT;
    JobFleetOptions options = {"node-1", HOLDER_LEASE_MS, 2000, 1500};

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
become_leader(uint64_t term)
{
    JobSched_Lead(sched, now, term);
    JobFleet_Lead(fleet, now, term);
}

/* Applies the commands of the fleet and the scheduler to the state. */
static void
apply_commands(void)
{
    Buf command = BUF_INIT;
    JobAction action;

    while (JobFleet_TakeCommand(fleet, &command)) {
        JobTest_Apply(state, &command);
    }
    while (JobSched_TakeAction(sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            JobTest_Apply(state, &action.command);
            JobSched_HandleProposal(sched, now, action.cookie, ST_OK);
        }
    }
    Buf_Free(&command);
}

static void
advance_time(int64_t ms)
{
    int64_t until = now + ms;

    while (now < until) {
        now += 50;
        JobState_SetNow(state, now);
        JobFleet_ConfirmLeader(fleet, now);
        JobSched_Tick(sched, now, now);
        JobFleet_Tick(fleet, now, now);
        apply_commands();
    }
}

static JobVm
make_vm(const char *name, const char *pool)
{
    JobVm vm = {.cpu = 16000, .up = true};

    snprintf(vm.name, sizeof(vm.name), "%s", name);
    snprintf(vm.pool, sizeof(vm.pool), "%s", pool);
    return vm;
}

/* Answers list calls with rows and stores up to max other calls. Returns the
 * number of stored calls. */
static size_t
answer_lists(JobVm *rows, size_t count, JobVmCall *other_calls, size_t max)
{
    JobVmCall call;
    size_t other_count = 0;

    while (JobFleet_TakeCall(fleet, &call)) {
        JobVmAnswer answer = {
            .outcome = JOB_VM_OK, .vms = rows, .vm_count = count};
        if (call.kind == JOB_VM_LIST) {
            JobFleet_HandleAnswer(fleet, now, &call, &answer);
        }
        else if (other_count < max) {
            other_calls[other_count++] = call;
        }
    }
    return other_count;
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
    JobCmd_EncodeWave(&command, &wave);
    JobTest_Apply(state, &command);
}

static size_t
make_idle_vms(JobVm *rows, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        char name[16];
        snprintf(name, sizeof(name), "vm%zu", i);
        rows[i] = make_vm(name, "idle");
    }
    return count;
}

START_TEST(wave_respects_cap)
{
    JobVm rows[6];
    JobVmCall calls[8];
    JobVmAnswer ok = {.outcome = JOB_VM_OK};
    size_t count = make_idle_vms(rows, 6);

    become_leader(1);
    start_wave(2, 6);
    advance_time(100);
    answer_lists(rows, count, calls, 8);
    advance_time(600);
    ck_assert_uint_eq(answer_lists(rows, count, calls, 8), 2);
    JobFleet_HandleAnswer(fleet, now, &calls[0], &ok);
    rows[0].up = rows[1].up = true;
    /* One VM is under maintenance and one call is in flight. */
    advance_time(300);
    ck_assert_uint_eq(answer_lists(rows, count, calls, 8), 0);
    ck_assert_uint_eq(JobState_FindWave(state, 1)->done, 1);
}
END_TEST

static const struct {
    const char *name;
    JobVmOutcome outcomes[2]; /* of the calls of one order */
    size_t outcome_count;
    bool kept; /* the order is sent again, and no other VM gets one */
} down_vm_cases[] = {
    {"busy", {JOB_VM_BUSY}, 1, false},
    {"no answer, then busy", {JOB_VM_NO_ANSWER, JOB_VM_BUSY}, 2, true},
    {"no clear answer, then busy", {JOB_VM_AGAIN, JOB_VM_BUSY}, 2, true},
    {"no answer, then invalid", {JOB_VM_NO_ANSWER, JOB_VM_INVALID}, 2, false},
};

/* Guards against maintenance of more VMs at a time than a wave allows: an
 * unanswered call may be carried out later. */
START_TEST(down_vm_keeps_order_of_unanswered_call)
{
    JobVm rows[2];
    JobVmCall calls[8];
    char vm[JOB_VM_NAME_BYTES];
    size_t count = make_idle_vms(rows, 2);
    size_t i;

    become_leader(1);
    start_wave(1, 2);
    advance_time(100);
    answer_lists(rows, count, calls, 8);
    advance_time(600);
    ck_assert_uint_eq(answer_lists(rows, count, calls, 8), 1);
    snprintf(vm, sizeof(vm), "%s", calls[0].vm);
    rows[strcmp(vm, rows[0].name) == 0 ? 0 : 1].up = false;
    advance_time(2100);
    answer_lists(rows, count, NULL, 0);
    for (i = 0; i < down_vm_cases[_i].outcome_count; i++) {
        JobVmAnswer answer = {.outcome = down_vm_cases[_i].outcomes[i]};
        ck_assert_str_eq(calls[0].vm, vm);
        JobFleet_HandleAnswer(fleet, now, &calls[0], &answer);
        advance_time(1100);
        ck_assert_uint_eq(answer_lists(rows, count, calls, 8), 1);
    }
    ck_assert_msg((strcmp(calls[0].vm, vm) == 0) == down_vm_cases[_i].kept,
                  "%s", down_vm_cases[_i].name);
    if (down_vm_cases[_i].kept) {
        JobVmAnswer busy = {.outcome = JOB_VM_BUSY};
        /* Until then the first call may be carried out. */
        advance_time(FLEET_LATE_CALL_MS);
        JobFleet_HandleAnswer(fleet, now, &calls[0], &busy);
        advance_time(1100);
        ck_assert_uint_eq(answer_lists(rows, count, calls, 8), 1);
        ck_assert_str_ne(calls[0].vm, vm);
    }
}
END_TEST

START_TEST(new_leader_counts_orders_of_earlier_leader)
{
    JobVm rows[6];
    JobVmCall calls[8];
    size_t count = make_idle_vms(rows, 6);

    become_leader(1);
    start_wave(2, 6);
    advance_time(100);
    answer_lists(rows, count, calls, 8);
    advance_time(600);
    ck_assert_uint_eq(answer_lists(rows, count, calls, 8), 2);
    /* The calls are in flight when the leader changes. */
    become_leader(2);
    advance_time(100);
    answer_lists(rows, count, calls, 8);
    advance_time(1000);
    ck_assert_uint_eq(answer_lists(rows, count, calls, 8), 0);
    advance_time(HOLDER_LEASE_MS + 1500);
    ck_assert_uint_gt(answer_lists(rows, count, calls, 8), 0);
}
END_TEST

/* Guards against maintenance of a second VM while the call of an earlier
 * leader for the first one may still be carried out. */
START_TEST(late_call_of_earlier_leader_is_repeated)
{
    JobVm rows[2];
    JobVmCall calls[8];
    uint64_t earlier_fence;
    int64_t end;

    rows[0] = make_vm("vm0", "p");
    rows[1] = make_vm("vm1", "p");
    become_leader(1);
    start_wave(1, 2);
    advance_time(100);
    answer_lists(rows, 2, calls, 8);
    advance_time(600);
    ck_assert_uint_eq(answer_lists(rows, 2, calls, 8), 1);
    ck_assert_str_eq(calls[0].vm, "vm0");
    earlier_fence = calls[0].fence;
    /* Its work makes vm0 the VM that a wave would maintain last. */
    JobTest_SetTarget(state, "t0", "vm0", "p", 100, false);
    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t0");
    become_leader(2);
    for (end = now + 14000; now < end;) {
        size_t found;
        advance_time(100);
        found = answer_lists(rows, 2, calls, 8);
        while (found-- > 0) {
            const JobVmCall *call = &calls[found];
            if (call->kind == JOB_VM_MAINTAIN) {
                ck_assert_str_eq(call->vm, "vm0");
                ck_assert_uint_gt(call->fence, earlier_fence);
                return;
            }
        }
    }
    ck_abort_msg("the call was not repeated");
}
END_TEST

START_TEST(no_order_without_confirmed_leader)
{
    JobVm rows[2];
    JobVmCall calls[8];
    size_t count = make_idle_vms(rows, 2);

    become_leader(1);
    start_wave(2, 2);
    advance_time(100);
    answer_lists(rows, count, calls, 8);
    now += 5000; /* the process is paused */
    JobState_SetNow(state, now);
    JobFleet_Tick(fleet, now, now);
    apply_commands();
    JobFleet_Tick(fleet, now + 50, now);
    ck_assert_uint_eq(answer_lists(rows, count, calls, 8), 0);
}
END_TEST

START_TEST(unlisted_vm_is_not_done_at_once)
{
    JobVm rows[3];
    JobVmCall calls[8];
    size_t count = make_idle_vms(rows, 2); /* not listed: vm2 of the wave */

    become_leader(1);
    start_wave(1, 3);
    advance_time(100);
    answer_lists(rows, count, calls, 8);
    advance_time(500);
    answer_lists(rows, count, calls, 8);
    advance_time(2500);
    answer_lists(rows, count, calls, 8);
    ck_assert(!JobState_FindWave(state, 1)->vms[2].done);
}
END_TEST

/* Answers lists with one VM for a time and each other call with answer.
 * Returns the number of calls for that VM. */
static size_t
list_one_vm(JobVm *row, int64_t ms, const JobVmAnswer *answer)
{
    JobVmCall calls[8];
    int64_t until = now + ms;
    size_t found = 0;

    while (now < until) {
        size_t count;
        advance_time(100);
        count = answer_lists(row, 1, calls, 8);
        while (count-- > 0) {
            found += strcmp(calls[count].vm, row->name) == 0;
            JobFleet_HandleAnswer(fleet, now, &calls[count], answer);
        }
    }
    return found;
}

/* Guards against maintenance of more VMs at a time than a wave allows: a list
 * may lack a VM whose order was sent. */
START_TEST(unlisted_vm_keeps_sent_order)
{
    static const JobVmAnswer answers[] = {{.outcome = JOB_VM_OK},
                                          {.outcome = JOB_VM_NO_ANSWER}};
    static const JobVmAnswer invalid = {.outcome = JOB_VM_INVALID};
    JobVm rows[2];
    JobVmCall calls[8];
    JobVm *other;
    size_t count = make_idle_vms(rows, 2);

    become_leader(1);
    start_wave(1, 2);
    advance_time(100);
    answer_lists(rows, count, calls, 8);
    advance_time(600);
    ck_assert_uint_eq(answer_lists(rows, count, calls, 8), 1);
    other = strcmp(calls[0].vm, rows[0].name) == 0 ? &rows[1] : &rows[0];
    JobFleet_HandleAnswer(fleet, now, &calls[0], &answers[_i]);
    ck_assert_uint_eq(list_one_vm(other, 5000, &answers[_i]), 0);
    /* The VM has left the platform. */
    ck_assert_uint_gt(list_one_vm(other, 5000, &invalid), 0);
}
END_TEST

/* Guards against a target that gets no more work because a list lacked its VM
 * while it was drained for an order. */
START_TEST(unlisted_vm_ends_its_drain)
{
    JobVm rows[2];
    JobVmCall calls[8];
    JobVmAnswer ok = {.outcome = JOB_VM_OK};
    JobAnnouncement announcement = {.room = {16000, 32000, 0}, .born = 5};
    const JobTarget *target;

    rows[0] = make_vm("vm0", "p");
    rows[1] = make_vm("vm1", "idle");
    become_leader(1);
    snprintf(announcement.id, sizeof(announcement.id), "t0");
    snprintf(announcement.vm, sizeof(announcement.vm), "vm0");
    snprintf(announcement.pool, sizeof(announcement.pool), "p");
    snprintf(announcement.address, sizeof(announcement.address),
             "10.0.0.1:80");
    announcement.clock_ms = 1000;
    JobSched_HandleAnnouncement(sched, now, &announcement);
    apply_commands();
    target = JobState_FindTarget(state, "t0");
    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t0");
    start_wave(1, 1);
    advance_time(100);
    answer_lists(rows, 1, calls, 8);
    advance_time(600);
    ck_assert_uint_eq(answer_lists(rows, 1, calls, 8), 0);
    ck_assert(!JobSched_IsUsable(sched, target, now));
    list_one_vm(&rows[1], 1700, &ok);
    announcement.order = 1;
    JobSched_HandleAnnouncement(sched, now, &announcement);
    ck_assert(JobSched_IsUsable(sched, target, now));
}
END_TEST

START_TEST(repeated_move_keeps_next_target)
{
    JobVm rows[4];
    JobVmCall calls[8];
    JobVmAnswer no_answer = {.outcome = JOB_VM_NO_ANSWER};
    JobVmAnswer ok = {.outcome = JOB_VM_OK};
    JobAnnouncement announcement = {.room = {16000, 32000, 0}, .born = 5};
    int i;

    rows[0] = make_vm("vm0", "idle");
    rows[1] = make_vm("vm1", "idle");
    become_leader(1);
    advance_time(100);
    answer_lists(rows, 2, calls, 8);
    JobTest_Submit(state, "a", 1, 10, 2000);
    advance_time(600);
    ck_assert_uint_gt(answer_lists(rows, 2, calls, 8), 0);
    JobFleet_HandleAnswer(fleet, now, &calls[0], &no_answer);
    /* The move was carried out: the next target of the VM is announced. */
    snprintf(announcement.id, sizeof(announcement.id), "next");
    snprintf(announcement.vm, sizeof(announcement.vm), "%s", calls[0].vm);
    snprintf(announcement.pool, sizeof(announcement.pool), "p");
    snprintf(announcement.address, sizeof(announcement.address),
             "10.0.0.9:80");
    JobSched_HandleAnnouncement(sched, now, &announcement);
    apply_commands();
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "next"));
    for (i = 0; i < 3; i++) {
        size_t n;
        size_t j;
        advance_time(600);
        n = answer_lists(rows, 2, calls, 8);
        for (j = 0; j < n; j++) {
            JobFleet_HandleAnswer(fleet, now, &calls[j], &ok);
        }
        apply_commands();
    }
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "next"));
}
END_TEST

/* Guards against a target that is removed because an order ended the earlier
 * incarnation under its id. */
START_TEST(accepted_order_keeps_next_incarnation)
{
    JobVm rows[1];
    JobVmCall calls[8];
    JobVmAnswer no_answer = {.outcome = JOB_VM_NO_ANSWER};
    JobVmAnswer ok = {.outcome = JOB_VM_OK};
    const JobTarget *target;
    uint64_t serial;

    rows[0] = make_vm("vm0", "p");
    JobTest_SetTarget(state, "t0", "vm0", "p", 100, false);
    become_leader(1);
    start_wave(1, 1);
    advance_time(100);
    answer_lists(rows, 1, calls, 8);
    advance_time(600);
    ck_assert_uint_eq(answer_lists(rows, 1, calls, 8), 1);
    JobFleet_HandleAnswer(fleet, now, &calls[0], &no_answer);
    /* The maintenance was carried out, and the target has started again. */
    JobTest_SetTarget(state, "t0", "vm0", "p", 200, false);
    serial = JobState_FindTarget(state, "t0")->serial;
    advance_time(600);
    ck_assert_uint_eq(answer_lists(rows, 1, calls, 8), 1);
    JobFleet_HandleAnswer(fleet, now, &calls[0], &ok);
    advance_time(300);
    target = JobState_FindTarget(state, "t0");
    ck_assert_ptr_nonnull(target);
    ck_assert_uint_eq(target->serial, serial);
    advance_time(2500);
    answer_lists(rows, 1, calls, 8); /* the VM is back */
    advance_time(100);
    ck_assert(!SchedImpl_FindLive(target)->cordoned);
}
END_TEST

/* Guards against giving up runs that started after the maintenance of their
 * VM: the VM service also accepts a repeated order of an earlier leader. */
START_TEST(repeated_maintenance_keeps_runs)
{
    JobVm rows[1];
    JobVmCall calls[8];
    JobVmAnswer ok = {.outcome = JOB_VM_OK};

    rows[0] = make_vm("vm0", "p");
    JobTest_SetTarget(state, "t0", "vm0", "p", 100, false);
    JobTest_Submit(state, "a", 1, 1, 500);
    JobTest_Assign(state, "a", 0, 0, 1, "t0");
    become_leader(1);
    start_wave(1, 1);
    advance_time(100);
    answer_lists(rows, 1, calls, 8);
    advance_time(3900); /* short tasks outlast the drain timeout */
    ck_assert_uint_eq(answer_lists(rows, 1, calls, 8), 1);
    JobFleet_HandleAnswer(fleet, now, &calls[0], &ok);
    advance_time(200);
    ck_assert_ptr_nonnull(JobState_FindTarget(state, "t0"));
    ck_assert_uint_eq(JobState_FindTarget(state, "t0")->run_count, 1);
    ck_assert_uint_eq(JobState_FindWave(state, 1)->done, 1);
}
END_TEST

START_TEST(standby_vms_move_to_rising_demand)
{
    JobVm rows[6];
    JobVmCall calls[8];
    size_t moves;

    make_idle_vms(rows, 6);
    become_leader(1);
    advance_time(100);
    answer_lists(rows, 6, calls, 8);
    JobTest_Submit(state, "a", 1, 40, 2000); /* 80 cores of waiting tasks */
    advance_time(600);
    moves = answer_lists(rows, 6, calls, 8);
    ck_assert_uint_gt(moves, 2);
    ck_assert_str_eq(calls[0].pool, "p");
    ck_assert_int_eq(calls[0].kind, JOB_VM_MOVE);
}
END_TEST

/* Pools "p" and "busy" without a standby VM. */
static void
configure_busy_pool(void)
{
    JobQueue queue = {.name = "q",
                      .host = "h",
                      .prefix = "/q/",
                      .pool = "p",
                      .timeout_ms = 3000,
                      .objective_ms = 600,
                      .max_attempts = 2,
                      .slack = 1.6};
    JobPool pools[3] = {
        {.name = "p"}, {.name = "busy"}, {.name = "idle", .standby = true}};
    char text[] = "text";
    JobConfig config = {2, &queue, 1, pools, 3, NULL, 0, text, 4};
    Buf command = BUF_INIT;

    JobCmd_EncodeConfig(&command, &config);
    JobTest_Apply(state, &command);
}

START_TEST(vm_with_little_work_is_drained_for_pool_in_need)
{
    JobVm rows[8];
    JobVmCall calls[8];
    size_t cordoned = 0;
    size_t i;

    configure_busy_pool();
    JobTest_Submit(state, "a", 1, 8, 500);
    for (i = 0; i < 8; i++) {
        char vm[16];
        char target[16];
        snprintf(vm, sizeof(vm), "vm%zu", i);
        snprintf(target, sizeof(target), "t%zu", i);
        rows[i] = make_vm(vm, "busy");
        JobTest_SetTarget(state, target, vm, "busy", 10, false);
        JobTest_Assign(state, "a", 0, (uint32_t)i, 1, target);
    }
    become_leader(1);
    JobTest_Submit(state, "b", 1, 40, 2000); /* 80 cores of waiting tasks */
    advance_time(100);
    answer_lists(rows, 8, calls, 8);
    advance_time(600);
    ck_assert_uint_eq(answer_lists(rows, 8, calls, 8), 0);
    for (i = 0; i < 8; i++) {
        char target[16];
        snprintf(target, sizeof(target), "t%zu", i);
        cordoned +=
            SchedImpl_FindLive(JobState_FindTarget(state, target))->cordoned;
    }
    ck_assert_uint_gt(cordoned, 0);
    ck_assert_uint_lt(cordoned, 8);
}
END_TEST

#define WAVE_PLANS 5

/* Returns the shortest processor time, in us, of a plan for a wave of half of
 * the VMs of a fleet. */
static double
measure_wave_plan(uint32_t vms)
{
    JobVm *rows = calloc(vms, sizeof(*rows));
    JobWaveVm *wave_vms = calloc(vms, sizeof(*wave_vms));
    JobWave wave = {.number = 1,
                    .duration_ms = 600000,
                    .cap = vms / 4,
                    .vms = wave_vms,
                    .vm_count = vms / 2};
    JobVmCall calls[1];
    Buf command = BUF_INIT;
    double best_us = 1e9;
    uint32_t i;

    setup();
    for (i = 0; i < vms; i++) {
        char name[16];
        char target[16];
        snprintf(name, sizeof(name), "vm%u", i);
        snprintf(target, sizeof(target), "t%u", i);
        rows[i] = make_vm(name, "p");
        snprintf(wave_vms[i].vm, sizeof(wave_vms[i].vm), "%s", name);
        JobTest_SetTarget(state, target, name, "p", 10, false);
    }
    for (i = 0; i < vms / 10; i++) {
        char job[16];
        snprintf(job, sizeof(job), "j%u", i);
        JobTest_Submit(state, job, 1, 8, 2000);
    }
    become_leader(1);
    JobFleet_Tick(fleet, now, now);
    answer_lists(rows, vms, calls, 0);
    JobCmd_EncodeWave(&command, &wave);
    JobTest_Apply(state, &command);
    for (i = 0; i < WAVE_PLANS; i++) {
        clock_t begun = clock();
        double took_us;

        FleetImpl_PlanWaves(fleet, now, now);
        took_us = (double)(clock() - begun) * 1e6 / CLOCKS_PER_SEC;
        best_us = took_us < best_us ? took_us : best_us;
    }
    teardown();
    free(rows);
    free(wave_vms);
    return best_us > 1 ? best_us : 1;
}

/* Guards against a leader that stops for seconds to plan a large wave. The
 * bound allows a plan to grow in proportion, and four times as much for
 * memory that no longer fits the caches. */
START_TEST(plan_of_wave_grows_in_proportion_to_the_fleet)
{
    double small_us = measure_wave_plan(400);
    double large_us = measure_wave_plan(4000);

    ck_assert_msg(large_us <= 40 * small_us, "%.0f us and %.0f us", small_us,
                  large_us);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobfleet");
    TCase *tcase = tcase_create("fleet");

    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_test(tcase, wave_respects_cap);
    tcase_add_loop_test(tcase, down_vm_keeps_order_of_unanswered_call, 0,
                        sizeof(down_vm_cases) / sizeof(down_vm_cases[0]));
    tcase_add_test(tcase, new_leader_counts_orders_of_earlier_leader);
    tcase_add_test(tcase, late_call_of_earlier_leader_is_repeated);
    tcase_add_test(tcase, no_order_without_confirmed_leader);
    tcase_add_test(tcase, unlisted_vm_is_not_done_at_once);
    tcase_add_loop_test(tcase, unlisted_vm_keeps_sent_order, 0, 2);
    tcase_add_test(tcase, unlisted_vm_ends_its_drain);
    tcase_add_test(tcase, repeated_move_keeps_next_target);
    tcase_add_test(tcase, accepted_order_keeps_next_incarnation);
    tcase_add_test(tcase, repeated_maintenance_keeps_runs);
    tcase_add_test(tcase, standby_vms_move_to_rising_demand);
    tcase_add_test(tcase, vm_with_little_work_is_drained_for_pool_in_need);
    suite_add_tcase(suite, tcase);
    tcase = tcase_create("cost");
    tcase_add_test(tcase, plan_of_wave_grows_in_proportion_to_the_fleet);
    suite_add_tcase(suite, tcase);
    return suite;
}
