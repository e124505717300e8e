#include <stdlib.h>
#include <string.h>

#include "escrow.h"
#include "support.h"
#include "support_state.h"
#include "wave.h"

#define MAX_COMMANDS 8

static const char *const initial_commands[] = {
    "patch 0 op base pools/p/max_unavailable=1 pools/q/max_unavailable=1",
    "member k1 a 11 1 disk",
    "vm v1 a r2 p",
    "vm v2 a r1 p",
    "vm v3 a r1 p",
    "vm v4 a r1 q",
    "vm w1 b r1 p",
    "wave w op x 1000 v1 v2 v3 v4 w1",
};

typedef struct WaveCase {
    const char *failure; /* failure that the case guards against */
    const char *commands[MAX_COMMANDS];
    const char *granted_vm; /* VM with a drain in progress, or NULL */
    const char *down_vm;    /* VM that is not healthy, or NULL */
    int64_t now_ms;
    double burn;
    WaveAction action;
    const char *vm;
    const char *reason; /* substring of the expected reason */
} WaveCase;

static const WaveCase cases[] = {
    {"an order that mixes racks",
     {NULL},
     NULL,
     NULL,
     1,
     0,
     WAVE_DRAIN,
     "v2",
     "rack r1"},
    {"a pool that waits because another pool's share is spent",
     {NULL},
     "v2",
     NULL,
     1,
     0,
     WAVE_DRAIN,
     "v4",
     "pool q"},
    {"a drain beyond the share",
     {"step w v4 2"},
     "v2",
     NULL,
     1,
     0,
     WAVE_WAIT,
     "v3",
     "1 of a share of 1"},
    {"a drain of a VM that is down, which keeps the others waiting",
     {NULL},
     NULL,
     "v2",
     1,
     0,
     WAVE_SKIP,
     "v2",
     "down"},
    {"drains while a service's burn rate is high",
     {NULL},
     NULL,
     NULL,
     1,
     2.5,
     WAVE_WAIT,
     NULL,
     "burn"},
    {"drains after the deadline",
     {NULL},
     NULL,
     NULL,
     1000,
     0,
     WAVE_CANCEL,
     NULL,
     "deadline"},
    {"drains although an operator paused the wave",
     {"control w 0 op a check"},
     NULL,
     NULL,
     1,
     0,
     WAVE_WAIT,
     NULL,
     "check"},
    {"a resumed wave that stays paused",
     {"control w 0 op a check", "control w 1 op b -"},
     NULL,
     NULL,
     1,
     0,
     WAVE_DRAIN,
     "v2",
     "pool p"},
    {"a wave that continues while reboots fail",
     {"step w v2 4", "step w v3 4"},
     NULL,
     NULL,
     1,
     0,
     WAVE_PAUSE,
     NULL,
     "2 VMs failed"},
    {"old failures that pause a resumed wave at once",
     {"step w v2 4", "step w v3 4", "control w 0 - - x", "control w 1 op b -"},
     NULL,
     NULL,
     1,
     0,
     WAVE_DRAIN,
     "v1",
     "rack r2"},
    {"a cancelled wave that continues",
     {"control w 2 op a stop"},
     NULL,
     NULL,
     1,
     0,
     WAVE_FINISHED,
     NULL,
     "ended"},
    {"a step that is repeated after a restart",
     {"step w v2 2", "step w v3 3", "step w v4 2"},
     NULL,
     NULL,
     1,
     0,
     WAVE_DRAIN,
     "v1",
     "rack r2"},
    {"an end before the last drain has finished",
     {"step w v2 2", "step w v3 2", "step w v4 2"},
     "v1",
     NULL,
     1,
     0,
     WAVE_WAIT,
     NULL,
     "last drains"},
    {"waiting for VMs of another data centre",
     {"step w v1 2", "step w v2 2", "step w v3 2", "step w v4 2"},
     NULL,
     NULL,
     1,
     0,
     WAVE_FINISHED,
     NULL,
     "no VM"},
    {"a started VM that is left out after the keeper's record was lost",
     {"step w v2 1", "step w v3 2", "step w v4 2"},
     NULL,
     NULL,
     1,
     0,
     WAVE_DRAIN,
     "v2",
     "pool p"},
    {"a VM in a move that holds up its pool",
     {"move v2 1 q", "close v2 1 1", "step w v4 2"},
     NULL,
     "v4",
     1,
     0,
     WAVE_WAIT,
     "v3",
     "pool p"},
};

static State *
new_state(const char *const *commands)
{
    State *state = State_New();
    size_t i;

    for (i = 0; i < sizeof(initial_commands) / sizeof(initial_commands[0]);
         i++) {
        ck_assert_int_eq(SupportState_Apply(state, initial_commands[i]),
                         ST_OK);
    }
    for (i = 0; i < MAX_COMMANDS && commands[i] != NULL; i++) {
        ck_assert_msg(SupportState_Apply(state, commands[i]) == ST_OK, "%s",
                      commands[i]);
    }
    return state;
}

static Escrow *
new_keeper(const State *state, const char *down_vm)
{
    Escrow *escrow = Escrow_New("k1", "a", 11);
    size_t i;

    ck_assert_int_eq(Escrow_Sync(escrow, state), ST_OK);
    for (i = 0; i < State_VmCount(state); i++) {
        const char *name = State_VmAt(state, i)->name;
        Escrow_SetVmHealth(escrow, name,
                           down_vm == NULL || strcmp(name, down_vm) != 0, 1);
    }
    return escrow;
}

START_TEST(decides_next_step)
{
    const WaveCase *test_case = &cases[_i];
    WaveLimits limits = WAVE_LIMITS_DEFAULT;
    State *state = new_state(test_case->commands);
    Escrow *escrow = new_keeper(state, test_case->down_vm);
    WavePlan *plan;
    WaveDecision decision;

    limits.max_failed = 2;
    plan = WavePlan_New(state, "w", "a", &limits);
    if (test_case->granted_vm != NULL) {
        ck_assert_int_eq(
            Escrow_GrantDrain(escrow, test_case->granted_vm, "w", NULL),
            ST_OK);
    }
    WavePlan_DecideNext(plan, state, escrow, test_case->now_ms,
                        test_case->burn, &decision);
    ck_assert_msg(decision.action == test_case->action, "%s: action %d (%s)",
                  test_case->failure, (int)decision.action, decision.reason);
    ck_assert_msg(strstr(decision.reason, test_case->reason) != NULL, "%s: %s",
                  test_case->failure, decision.reason);
    if (test_case->vm != NULL && decision.vm != NULL) {
        ck_assert_msg(strcmp(decision.vm, test_case->vm) == 0, "%s: VM %s",
                      test_case->failure, decision.vm);
    }
    WavePlan_Free(plan);
    Escrow_Free(escrow);
    State_Free(state);
}
END_TEST

/* Guards against a wave that alternates between holding and draining while the
 * burn rate is near its limit. */
START_TEST(burn_rate_has_hysteresis)
{
    static const char *const no_commands[MAX_COMMANDS] = {NULL};
    static const struct {
        double burn;
        WaveAction action;
    } steps[] = {{1.9, WAVE_DRAIN},
                 {2.0, WAVE_WAIT},
                 {1.5, WAVE_WAIT},
                 {0.9, WAVE_DRAIN},
                 {1.5, WAVE_DRAIN}};
    WaveLimits limits = WAVE_LIMITS_DEFAULT;
    State *state = new_state(no_commands);
    Escrow *escrow = new_keeper(state, NULL);
    WavePlan *plan = WavePlan_New(state, "w", "a", &limits);
    WaveDecision decision;
    size_t i;

    for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
        WavePlan_DecideNext(plan, state, escrow, 1, steps[i].burn, &decision);
        ck_assert_int_eq(decision.action, steps[i].action);
    }
    ck_assert(WavePlan_New(state, "none", "a", &limits) == NULL);
    WavePlan_Free(plan);
    Escrow_Free(escrow);
    State_Free(state);
}
END_TEST

/* Guards against a wave that skips or repeats a VM or never ends after
 * restarts: after each decision, the escrow is restored from its record and
 * the plan is built again. */
START_TEST(wave_completes)
{
    static const char *const no_commands[MAX_COMMANDS] = {NULL};
    static const char *const expected[] = {"v2", "v4", "v3", "v1"};
    static const char *const finish_order[] = {"v2", "v3", "v1", "v4"};
    WaveLimits limits = WAVE_LIMITS_DEFAULT;
    State *state = new_state(no_commands);
    Escrow *escrow = new_keeper(state, NULL);
    size_t count = 0;
    size_t iterations = 0;
    size_t finished = 0;

    for (;;) {
        WavePlan *plan = WavePlan_New(state, "w", "a", &limits);
        WaveDecision decision;
        Buf record = BUF_INIT;
        ck_assert_uint_lt(iterations++, 50);
        WavePlan_DecideNext(plan, state, escrow, 1, 0, &decision);
        if (decision.action == WAVE_FINISHED) {
            WavePlan_Free(plan);
            break;
        }
        if (decision.action == WAVE_DRAIN) {
            ck_assert_uint_lt(count, 4);
            ck_assert_str_eq(decision.vm, expected[count]);
            count++;
            Escrow_GrantDrain(escrow, decision.vm, "w", NULL);
        }
        else {
            /* A drain ends; its outcome does not reach the replicated log. */
            const char *vm = finish_order[finished];
            if (Escrow_FindGrant(escrow, vm) == NULL) {
                vm = Escrow_GrantAt(escrow, 0)->vm;
            }
            Escrow_AdvanceDrain(escrow, vm, ESCROW_CLOSED);
            Escrow_AdvanceDrain(escrow, vm, ESCROW_DRAINED);
            Escrow_AdvanceDrain(escrow, vm, ESCROW_REBOOTED);
            ck_assert_int_eq(Escrow_EndDrain(escrow, vm, true), ST_OK);
            finished = finished < 3 ? finished + 1 : finished;
        }
        Escrow_EncodeRecord(escrow, &record);
        Escrow_Free(escrow);
        escrow = Escrow_New("k1", "a", 11);
        ck_assert_int_eq(Escrow_Restore(escrow, record.data, record.len, NULL),
                         ST_OK);
        ck_assert_int_eq(Escrow_Sync(escrow, state), ST_OK);
        Escrow_SetVmHealth(escrow, "v1", true, 1);
        Escrow_SetVmHealth(escrow, "v2", true, 1);
        Escrow_SetVmHealth(escrow, "v3", true, 1);
        Escrow_SetVmHealth(escrow, "v4", true, 1);
        Buf_Free(&record);
        WavePlan_Free(plan);
    }
    ck_assert_uint_eq(count, 4);
    Escrow_Free(escrow);
    State_Free(state);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("wave");
    TCase *tcase = tcase_create("wave");

    tcase_add_loop_test(tcase, decides_next_step, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, burn_rate_has_hysteresis);
    tcase_add_test(tcase, wave_completes);
    suite_add_tcase(suite, tcase);
    return suite;
}
