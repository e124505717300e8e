#include <stdio.h>
#include <string.h>

#include "jobnodes.h"
#include "support.h"

/* Entry VMs that are all connected to the first SEED_COUNT of them. */

#define MAX_VMS 8
#define SEED_COUNT 2
#define STEP_MS 100
#define CONTROL_UP_MS 2500

static SettingsAddress
address_of(int control)
{
    SettingsAddress address = {.port = 7000 + control};

    snprintf(address.host, sizeof(address.host), "10.0.0.%d", control);
    return address;
}

static JobFleetMsg
list_of(int first, int count, bool leader_known)
{
    JobFleetMsg msg = {.term = 1};

    while (count-- > 0) {
        msg.nodes[msg.node_count++] = address_of(first++);
    }
    if (leader_known) {
        msg.leader = address_of(1);
    }
    return msg;
}

typedef struct QuestionCase {
    const char *name;
    int listed; /* control nodes 1 to listed are in the message */
    bool leader_known;
    bool from_leader;
    int known_first; /* those that the receiver knows */
    int known;
    bool question;
} QuestionCase;

static const QuestionCase question_cases[] = {
    {"both know nothing", 0, false, false, 1, 0, false},
    {"sender knows nothing", 0, false, false, 1, 1, true},
    {"sender lacks one", 2, false, false, 1, 3, true},
    {"other ones", 2, false, false, 3, 1, true},
    {"sender knows more", 3, false, false, 1, 2, false},
    {"sender has a leader", 1, true, false, 1, 3, false},
    {"sender leads", 1, false, true, 1, 3, false},
};

START_TEST(message_asks_if_its_sender_lacks_leader_and_nodes)
{
    const QuestionCase *test = &question_cases[_i];
    JobFleetMsg msg = list_of(1, test->listed, test->leader_known);
    JobFleetMsg known = list_of(test->known_first, test->known, true);

    msg.leader_ready = test->from_leader;
    ck_assert_msg(JobNodes_IsQuestion(&msg, &known) == test->question, "%s",
                  test->name);
}
END_TEST

typedef struct Vm {
    JobNodes *nodes;
    bool knows_control;
} Vm;

static bool
are_linked(int a, int b)
{
    return a != b && (a < SEED_COUNT || b < SEED_COUNT);
}

static void
deliver(Vm *vms, int from, int to)
{
    JobFleetMsg msg =
        list_of(1, vms[from].knows_control, vms[from].knows_control);
    JobFleetMsg known = list_of(1, vms[to].knows_control, true);

    vms[to].knows_control = vms[to].knows_control || vms[from].knows_control;
    if (JobNodes_IsQuestion(&msg, &known)) {
        JobNodes_RecordQuestion(vms[to].nodes, (size_t)from);
    }
}

typedef struct SpreadCase {
    const char *name;
    int vms;
    int informed;   /* VM that meets the control node */
    int lost_every; /* each message of this number is lost, 0 for none */
} SpreadCase;

static const SpreadCase spread_cases[] = {
    {"through a seed", 4, 0, 0},
    {"through the other seed", 8, 1, 0},
    {"through a VM that is no seed", 8, 7, 0},
    {"half of the messages lost", 8, 7, 2},
};

START_TEST(control_node_met_late_becomes_known_to_all)
{
    const SpreadCase *test = &spread_cases[_i];
    Vm vms[MAX_VMS];
    int sent = 0;
    int quiet_from = 0;
    int now;
    int i;
    int k;

    for (i = 0; i < test->vms; i++) {
        vms[i] = (Vm){JobNodes_New(), false};
    }
    for (now = 0; now < CONTROL_UP_MS + 8 * JOB_NODES_INTERVAL_MS;
         now += STEP_MS) {
        int before = sent;

        if (now == CONTROL_UP_MS) {
            vms[test->informed].knows_control = true;
        }
        for (i = 0; i < test->vms; i++) {
            bool begun =
                JobNodes_BeginRound(vms[i].nodes, now, vms[i].knows_control);
            for (k = 0; begun && k < test->vms; k++) {
                if (are_linked(i, k) &&
                    JobNodes_Take(vms[i].nodes, (size_t)k)) {
                    sent++;
                    if (test->lost_every == 0 ||
                        sent % test->lost_every != 0) {
                        deliver(vms, i, k);
                    }
                }
            }
        }
        /* Each link passes one message in each direction per interval. */
        ck_assert_int_le(sent - before, 2 * SEED_COUNT * test->vms);
        quiet_from = sent > before ? now + STEP_MS : quiet_from;
    }
    for (i = 0; i < test->vms; i++) {
        ck_assert_msg(vms[i].knows_control, "%s: VM %d", test->name, i);
        JobNodes_Free(vms[i].nodes);
    }
    ck_assert_msg(quiet_from <= CONTROL_UP_MS + 7 * JOB_NODES_INTERVAL_MS,
                  "%s: messages until %d ms", test->name, quiet_from);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobnodes");
    TCase *tcase = tcase_create("jobnodes");

    tcase_add_loop_test(tcase,
                        message_asks_if_its_sender_lacks_leader_and_nodes, 0,
                        sizeof(question_cases) / sizeof(question_cases[0]));
    tcase_add_loop_test(tcase, control_node_met_late_becomes_known_to_all, 0,
                        sizeof(spread_cases) / sizeof(spread_cases[0]));
    suite_add_tcase(suite, tcase);
    return suite;
}
