#include <stdio.h>
#include <string.h>

#include "jobvoters.h"
#include "support.h"

static const JobVoterNode nodes[] = {
    {"core-a", 0xa1, true}, {"core-b", 0xb1, false}, {"core-c", 0xc2, true},
    {"edge-1", 0, true},    {"core-e", 0, true},
};

#define NODE_COUNT (sizeof(nodes) / sizeof(nodes[0]))

typedef struct Case {
    const char *name;
    uint64_t identity;
    JobVoterState state;
} Case;

static const Case cases[] = {
    {"core-a", 0xa1, JOB_VOTER_UP},       {"core-b", 0xb1, JOB_VOTER_DOWN},
    {"core-c", 0xc1, JOB_VOTER_REPLACED}, {"core-d", 0xd1, JOB_VOTER_ABSENT},
    {"core-e", 0xe1, JOB_VOTER_ABSENT},   {"renamed", 0xa1, JOB_VOTER_UP},
};

#define CASE_COUNT (sizeof(cases) / sizeof(cases[0]))

static RaftMembers
make_members(void)
{
    RaftMembers members = {0};
    size_t i;

    for (i = 0; i < 4; i++) {
        RaftMember *member = &members.list[members.count++];

        member->identity = cases[i].identity;
        snprintf(member->name, sizeof(member->name), "%s", cases[i].name);
        member->voter = true;
    }
    members.list[members.count] = members.list[0];
    members.list[members.count].identity = 0xff;
    members.list[members.count++].voter = false;
    return members;
}

START_TEST(voter_that_lost_its_disk_is_told_from_one_that_is_down)
{
    RaftMember voter = {.identity = cases[_i].identity, .voter = true};

    snprintf(voter.name, sizeof(voter.name), "%s", cases[_i].name);
    ck_assert_msg(JobVoters_GetState(&voter, nodes, NODE_COUNT) ==
                      cases[_i].state,
                  "case %d", _i);
}
END_TEST

START_TEST(only_voters_are_listed_and_counted)
{
    RaftMembers members = make_members();
    Buf text = BUF_INIT;

    ck_assert_uint_eq(JobVoters_CountUp(&members, nodes, NODE_COUNT), 1);
    JobVoters_Describe(&members, nodes, NODE_COUNT, &text);
    ck_assert_str_eq(Buf_Text(&text),
                     "core-a/00000000000000a1=up core-b/00000000000000b1=down "
                     "core-c/00000000000000c1=replaced "
                     "core-d/00000000000000d1=absent");
    Buf_Free(&text);
}
END_TEST

START_TEST(change_of_a_voter_is_told_from_one_of_a_learner)
{
    static const struct {
        size_t member;
        bool remove;
        uint64_t identity; /* 0: unchanged */
        bool voter;
        bool equal;
    } changes[] = {
        {0, false, 0, true, true},     {4, true, 0, false, true},
        {4, false, 0xfe, false, true}, {4, false, 0, true, false},
        {3, false, 0, false, false},   {3, true, 0, false, false},
        {0, true, 0, false, false},    {3, false, 0xd2, true, false},
    };
    size_t i;

    for (i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
        RaftMembers before = make_members();
        RaftMembers after = before;
        RaftMember *member = &after.list[changes[i].member];

        member->voter = changes[i].voter;
        if (changes[i].identity != 0) {
            member->identity = changes[i].identity;
        }
        if (changes[i].remove) {
            ck_assert(RaftMembers_Remove(&after, member->identity));
        }
        ck_assert_msg(JobVoters_AreEqual(&before, &after) == changes[i].equal,
                      "change %zu", i);
        ck_assert_msg(JobVoters_AreEqual(&after, &before) == changes[i].equal,
                      "change %zu", i);
    }
}
END_TEST

START_TEST(ballots_name_their_voters)
{
    RaftMembers members = make_members();
    RaftEvent event = {.ballot_count = 3,
                       .ballots = {{0xa1, RAFT_BALLOT_GRANTED},
                                   {0xb1, RAFT_BALLOT_SILENT},
                                   {0x77, RAFT_BALLOT_REFUSED}}};
    Buf text = BUF_INIT;

    JobVoters_DescribeBallots(&event, &members, &text);
    ck_assert_str_eq(Buf_Text(&text), "core-a/00000000000000a1=granted "
                                      "core-b/00000000000000b1=silent "
                                      "?/0000000000000077=refused");
    ck_assert_str_eq(JobVoters_GetName(&members, 0), "");
    Buf_Free(&text);
}
END_TEST

START_TEST(logs_of_voters_are_listed)
{
    RaftMembers members = make_members();
    const JobVoterLog logs[] = {{0xa1, 812, 0}, {0xb1, 790, 1450}};
    Buf text = BUF_INIT;

    JobVoters_DescribeLogs(&members, logs, 2, &text);
    ck_assert_str_eq(Buf_Text(&text), "core-a/00000000000000a1=812@0 "
                                      "core-b/00000000000000b1=790@1450");
    Buf_Free(&text);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobvoters");
    TCase *tcase = tcase_create("jobvoters");

    tcase_add_loop_test(tcase,
                        voter_that_lost_its_disk_is_told_from_one_that_is_down,
                        0, CASE_COUNT);
    tcase_add_test(tcase, only_voters_are_listed_and_counted);
    tcase_add_test(tcase, change_of_a_voter_is_told_from_one_of_a_learner);
    tcase_add_test(tcase, ballots_name_their_voters);
    tcase_add_test(tcase, logs_of_voters_are_listed);
    suite_add_tcase(suite, tcase);
    return suite;
}
