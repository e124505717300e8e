#include <string.h>

#include "assign.h"
#include "statecmd.h"
#include "support.h"
#include "support_state.h"

static const char *const initial_commands[] = {
    ("patch 0 op base pools/p/max_unavailable=2 pools/p/min_size=1 "
     "pools/q/max_unavailable=1"),
    "member e1 a 11 1 disk",
    "member e2 a 0 1 nodisk",
    "member f1 b 0 1 nodisk",
    "vm v1 a r1 p",
    "vm v2 a r1 p",
    "vm w1 b r1 p",
};

typedef struct AssignCase {
    const char *failure; /* failure that the case guards against */
    const char *commands[8];
    const char *vm;
    bool idle;
    AssignAction action;
    const char *member;
    size_t missing;
} AssignCase;

static const AssignCase cases[] = {
    {"a step for a VM without a move", {NULL}, "v1", true, ASSIGN_NONE, "", 0},
    {"a close without the keeper's grant",
     {"move v1 1 q"},
     "v1",
     true,
     ASSIGN_WAIT_KEEPER,
     "e1",
     0},
    {"waiting for a missing keeper without reporting it",
     {"move w1 1 q"},
     "w1",
     true,
     ASSIGN_WAIT_KEEPER,
     "",
     0},
    {"a move that would take the pool below min_size",
     {"move v1 1 q", "move v2 1 q", "remove w1 op x"},
     "v1",
     true,
     ASSIGN_CANCEL,
     "",
     0},
    {"opening before all entry VMs acknowledged",
     {"move v1 1 q", "close v1 1 1", "ack v1 2 e1 1"},
     "v1",
     true,
     ASSIGN_WAIT_ACK,
     "e2",
     1},
    {"opening while work is in flight",
     {"move v1 1 q", "close v1 1 1", "ack v1 2 e1 1", "ack v1 2 e2 1"},
     "v1",
     false,
     ASSIGN_WAIT_IDLE,
     "",
     0},
    {"a move blocked by a silent entry VM that was declared destroyed",
     {"move v1 1 q", "close v1 1 1", "ack v1 2 e1 1", "destroyed e2 op x"},
     "v1",
     true,
     ASSIGN_OPEN,
     "",
     0},
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
    for (i = 0; i < 8 && commands[i] != NULL; i++) {
        ck_assert_msg(SupportState_Apply(state, commands[i]) == ST_OK, "%s",
                      commands[i]);
    }
    return state;
}

START_TEST(decides_next_step)
{
    const AssignCase *test_case = &cases[_i];
    State *state = new_state(test_case->commands);
    AssignStep step;

    Assign_DecideNext(state, State_Vm(state, test_case->vm), test_case->idle,
                      &step);
    ck_assert_msg(step.action == test_case->action, "%s: action %d (%s)",
                  test_case->failure, (int)step.action, step.reason);
    ck_assert_msg(strcmp(step.member, test_case->member) == 0, "%s: member %s",
                  test_case->failure, step.member);
    ck_assert_uint_eq(step.missing, test_case->missing);
    ck_assert(step.action == ASSIGN_NONE || step.reason[0] != '\0');
    State_Free(state);
}
END_TEST

/* Guards against an entry VM that misses a close, acknowledges for another
 * incarnation or data centre, or dispatches after the close. */
START_TEST(entry_vm_acknowledges_close)
{
    static const char *const commands[8] = {"move v1 1 q", "close v1 1 1"};
    State *state = new_state(commands);
    size_t cursor = 0;
    const StateVm *vm = Assign_FindNextToAck(state, "e1", 1, &cursor);

    ck_assert(vm != NULL);
    ck_assert_str_eq(vm->name, "v1");
    ck_assert(Assign_FindNextToAck(state, "e1", 1, &cursor) == NULL);
    cursor = 0;
    ck_assert(Assign_FindNextToAck(state, "e1", 2, &cursor) == NULL);
    cursor = 0;
    ck_assert(Assign_FindNextToAck(state, "f1", 1, &cursor) == NULL);
    ck_assert(!Assign_MayDispatch(state, "v1", "p", 2));
    ck_assert(Assign_MayDispatch(state, "v2", "p", 1));
    ck_assert(!Assign_MayDispatch(state, "v2", "q", 1));
    ck_assert(!Assign_MayDispatch(state, "v2", "p", 2));
    ck_assert(!Assign_MayDispatch(state, "v9", "p", 1));
    State_Free(state);
}
END_TEST

/* Guards against commands that do not carry out the decided step. */
START_TEST(commands_end_moves)
{
    static const char *const commands[8] = {"move v1 1 q", "close v1 1 1",
                                            "ack v1 2 e1 1", "ack v1 2 e2 1",
                                            "move v2 1 q"};
    State *state = new_state(commands);
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;

    ck_assert(!Assign_AppendCommand(State_Vm(state, "v1"), ASSIGN_WAIT_ACK,
                                    &command));
    ck_assert(
        Assign_AppendCommand(State_Vm(state, "v1"), ASSIGN_OPEN, &command));
    ck_assert_int_eq(
        State_Apply(state, 100, command.data, command.len, &result), ST_OK);
    ck_assert_str_eq(State_Vm(state, "v1")->pool, "q");
    ck_assert_uint_eq(State_Vm(state, "v1")->epoch, 3);
    Buf_Clear(&command);
    ck_assert(
        Assign_AppendCommand(State_Vm(state, "v2"), ASSIGN_CANCEL, &command));
    ck_assert_int_eq(
        State_Apply(state, 101, command.data, command.len, &result), ST_OK);
    ck_assert_str_eq(State_Vm(state, "v2")->pool, "p");
    ck_assert_uint_eq(State_MoveCount(state), 0);
    Buf_Free(&command);
    Buf_Free(&result);
    State_Free(state);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("assign");
    TCase *tcase = tcase_create("assign");

    tcase_add_loop_test(tcase, decides_next_step, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, entry_vm_acknowledges_close);
    tcase_add_test(tcase, commands_end_moves);
    suite_add_tcase(suite, tcase);
    return suite;
}
