#include <check.h>

#include "jobsizing.h"
#include "support.h"

#define VM 16000 /* cpu of a VM */

static JobSizing sizing;

static JobSize
plan(int64_t now, int64_t arriving, int64_t waiting, int64_t used)
{
    JobPoolLoad load = {
        .arriving = arriving, .waiting = waiting, .used = used};

    return JobSizing_Plan(&sizing, now, &load, VM);
}

static void
setup(void)
{
    sizing = (JobSizing){.pool = "p"};
}

/* Demand of a pool over a turn and the next one, in VMs. Guards against VMs
 * that are given up while their work still waits, and against moves to standby
 * and back in a short dip. */
static const struct {
    const char *name;
    int64_t at_ms;
    int64_t arriving;
    int64_t waiting;
    int64_t used;
    int64_t least_hold; /* standby gets VMs only above this */
    int64_t most_keep;  /* pools in need get VMs above this */
} turn[] = {
    {"at rest", 0, 0, 0, 0, 2, 3},
    {"the turn begins", 1000, 8, 8, 2, 16, 30},
    {"its height", 2000, 16, 4, 16, 20, 30},
    {"little arrives, what runs and waits needs the VMs", 3000, 2, 6, 16, 22,
     11},
    {"a dip of a second", 4000, 0, 0, 2, 22, 3},
    {"the turn goes on", 5000, 12, 0, 12, 15, 16},
    {"it is over", 6000, 0, 0, 1, 15, 3},
    {"for a while", 7500, 0, 0, 0, 15, 3},
    {"for long", 9000, 0, 0, 0, 2, 3},
};

START_TEST(vms_follow_a_turn)
{
    size_t i;

    for (i = 0; i < sizeof(turn) / sizeof(turn[0]); i++) {
        JobSize size = plan(turn[i].at_ms, turn[i].arriving * VM,
                            turn[i].waiting * VM, turn[i].used * VM);
        ck_assert_msg(size.hold >= turn[i].least_hold * VM, "%s: holds %lld",
                      turn[i].name, (long long)size.hold / VM);
        ck_assert_msg(size.keep <= turn[i].most_keep * VM, "%s: keeps %lld",
                      turn[i].name, (long long)size.keep / VM);
        ck_assert_msg(size.hold >= size.keep, "%s", turn[i].name);
    }
}
END_TEST

START_TEST(what_is_over_is_given_up)
{
    JobSize size;

    plan(0, 20 * VM, 0, 20 * VM);
    size = plan(SIZING_HOLD_MS + SIZING_SLOT_MS, 0, 0, 0);
    ck_assert_int_lt(size.hold, 3 * VM);
}
END_TEST

START_TEST(lasting_tasks_have_room_and_a_reserve)
{
    JobPoolLoad load = {.lasting = 8 * VM, .used = 8 * VM};
    JobSize size = JobSizing_Plan(&sizing, 0, &load, VM);

    ck_assert_int_ge(size.want, 10 * VM);
    ck_assert_int_ge(size.keep, 10 * VM);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobsizing");
    TCase *tcase = tcase_create("sizing");

    tcase_add_checked_fixture(tcase, setup, NULL);
    tcase_add_test(tcase, vms_follow_a_turn);
    tcase_add_test(tcase, what_is_over_is_given_up);
    tcase_add_test(tcase, lasting_tasks_have_room_and_a_reserve);
    suite_add_tcase(suite, tcase);
    return suite;
}
