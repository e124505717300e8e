#include <string.h>

#include "jobfounder.h"
#include "support.h"

#define SEEDS 3

typedef struct Case {
    const char *name;
    const char *self;
    bool is_entry[SEEDS]; /* the seeds 10.0.0.2, 10.0.0.3 and 10.0.0.4 */
    JobFounder founder;
} Case;

static const Case cases[] = {
    {"first seed", "10.0.0.2", {false, false, false}, JOB_FOUNDER_SELF},
    {"second seed", "10.0.0.3", {false, false, false}, JOB_FOUNDER_OTHER},
    {"first seed is an entry VM",
     "10.0.0.3",
     {true, false, false},
     JOB_FOUNDER_SELF},
    {"a later seed is an entry VM",
     "10.0.0.3",
     {false, false, true},
     JOB_FOUNDER_OTHER},
    {"third seed behind an entry VM and a control VM",
     "10.0.0.4",
     {true, false, false},
     JOB_FOUNDER_OTHER},
    {"third seed behind two entry VMs",
     "10.0.0.4",
     {true, true, false},
     JOB_FOUNDER_SELF},
    {"no seed, sorts first",
     "10.0.0.1",
     {false, false, false},
     JOB_FOUNDER_OTHER},
    {"no seed beside entry VMs",
     "10.0.0.1",
     {true, true, false},
     JOB_FOUNDER_OTHER},
    {"every seed is an entry VM",
     "10.0.0.5",
     {true, true, true},
     JOB_FOUNDER_NOBODY},
};

static void
set_address(SettingsAddress *address, const char *host)
{
    strcpy(address->host, host);
    address->port = 7000;
}

/* Guards against a cluster that nobody founds, and against two founders. */
START_TEST(one_control_node_among_the_seeds_founds)
{
    const Case *test = &cases[_i];
    SettingsAddress seeds[SEEDS];
    SettingsAddress self;

    set_address(&seeds[0], "10.0.0.2");
    set_address(&seeds[1], "10.0.0.3");
    set_address(&seeds[2], "10.0.0.4");
    set_address(&self, test->self);
    ck_assert_msg(JobFounder_Choose(seeds, test->is_entry, SEEDS, &self) ==
                      test->founder,
                  "%s", test->name);
}
END_TEST

static const struct {
    const char *name;
    JobFounding founding;
    bool may_serve;
} serving_cases[] = {
    {"one voter of three, nothing stored", {false, 1, 3, 0}, false},
    {"two voters of three, nothing stored", {false, 2, 3, 2900}, false},
    {"all voters", {false, 3, 3, 0}, true},
    {"a voter that does not come",
     {false, 2, 3, JOBFOUNDER_MAX_WAIT_MS},
     true},
    {"a voter lost its disk later", {true, 2, 3, 0}, true},
    {"no loss of a disk is borne", {false, 1, 1, 0}, true},
};

/* Guards against an acknowledgement that is lost with the founder's disk, and
 * against a cluster that waits for a voter when it has served before. */
START_TEST(founder_waits_for_voters)
{
    ck_assert_msg(JobFounder_MayServe(&serving_cases[_i].founding) ==
                      serving_cases[_i].may_serve,
                  "%s", serving_cases[_i].name);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobfounder");
    TCase *tcase = tcase_create("jobfounder");

    tcase_add_loop_test(tcase, one_control_node_among_the_seeds_founds, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_loop_test(
        tcase, founder_waits_for_voters, 0,
        (int)(sizeof(serving_cases) / sizeof(serving_cases[0])));
    suite_add_tcase(suite, tcase);
    return suite;
}
