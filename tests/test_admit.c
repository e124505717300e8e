#include "admit.h"
#include "rng.h"
#include "support.h"
#include "support_naive.h"

#include <string.h>

static const AdmitLimits wide_limits = {NAIVE_MAX, 1, 1, 0, 1000000};

static AdmitWork
make_work(uint32_t id, uint64_t team, uint64_t caller)
{
    AdmitWork work = {id, 0, 0, TRAFFIC_SHORT, team, caller, 1000, 1};

    return work;
}

static AdmitResult
queue_work(Admit *a, uint32_t id, uint64_t team, uint64_t caller)
{
    AdmitWork work = make_work(id, team, caller);
    int64_t retry_ms;

    return Admit_QueueWork(a, &work, &wide_limits, &retry_ms);
}

/* Checks the order of random work against a naive queue: FIFO for one caller,
 * round robin for several. */
static void
compare_with_naive(uint32_t callers, uint64_t seed)
{
    static NaiveQueue naive;
    Admit *a = Admit_New();
    Rng rng;
    uint32_t next = 0;
    int i;

    memset(&naive, 0, sizeof(naive));
    Rng_Seed(&rng, seed);
    for (i = 0; i < 20000; i++) {
        uint32_t op = Rng_Below(&rng, 8);
        uint32_t got = 0;
        uint32_t want = 0;
        if (op < 4 && naive.count < 100) {
            uint32_t caller = Rng_Below(&rng, callers);
            uint32_t id = next++ % 4096;
            ck_assert_int_eq(queue_work(a, id, 1, caller + 1), ADMIT_QUEUED);
            NaiveQueue_Add(&naive, id, caller);
        }
        else if (op == 4 && naive.count > 0) {
            uint32_t id = naive.items[Rng_Below(&rng, naive.count)].id;
            Admit_RemoveWork(a, id);
            NaiveQueue_Remove(&naive, id);
        }
        else {
            bool found = callers == 1
                             ? NaiveQueue_TakeOldest(&naive, &want)
                             : NaiveQueue_TakeRoundRobin(&naive, &want);
            ck_assert_int_eq(Admit_StartNext(a, 0, TRAFFIC_SHORT, &got),
                             found);
            ck_assert_uint_eq(got, want);
            if (found) {
                Admit_FinishWork(a, got);
            }
        }
        ck_assert_uint_eq(Admit_CountWaiting(a, 0, TRAFFIC_SHORT),
                          naive.count);
    }
    Admit_Free(a);
}

START_TEST(matches_fifo_reference)
{
    compare_with_naive(1, 11);
}
END_TEST

START_TEST(matches_round_robin_reference)
{
    compare_with_naive(2, 12);
    compare_with_naive(9, 13);
}
END_TEST

/* Guards against a busy team or caller that starves others. */
START_TEST(teams_and_callers_take_turns)
{
    /* Team 1: caller 1 with many requests, caller 2 with one; team 2: one. */
    static const uint32_t expected[] = {0, 6, 5, 1, 2, 3, 4};
    Admit *a = Admit_New();
    uint32_t id;
    size_t i;

    for (i = 0; i < 5; i++) {
        queue_work(a, (uint32_t)i, 1, 1);
    }
    queue_work(a, 5, 1, 2);
    queue_work(a, 6, 2, 3);
    for (i = 0; i < 7; i++) {
        ck_assert(Admit_StartNext(a, 0, TRAFFIC_SHORT, &id));
        ck_assert_uint_eq(id, expected[i]);
    }
    ck_assert(!Admit_StartNext(a, 0, TRAFFIC_SHORT, &id));
    Admit_Free(a);
}
END_TEST

/* Guards against a caller that gets more slot time by sending costly work. */
START_TEST(costly_work_uses_more_turns)
{
    Admit *a = Admit_New();
    AdmitWork work;
    int64_t retry_ms;
    uint32_t costly = 0;
    uint32_t id;
    uint32_t i;

    for (i = 0; i < 100; i++) {
        work = make_work(i, 1, 1 + i % 2);
        work.cost = i % 2 ? 4 : 1;
        ck_assert_int_eq(Admit_QueueWork(a, &work, &wide_limits, &retry_ms),
                         ADMIT_QUEUED);
    }
    for (i = 0; i < 50; i++) {
        Admit_StartNext(a, 0, TRAFFIC_SHORT, &id);
        costly += id % 2;
    }
    /* Of the 50 started requests, about 40 have cost 1 and 10 have cost 4. */
    ck_assert_uint_ge(costly, 9);
    ck_assert_uint_le(costly, 11);
    Admit_Free(a);
}
END_TEST

/* Guards against more started work than a team's quota, and against work that
 * stays parked although the quota allows it to start. */
START_TEST(quota_bounds_started_work)
{
    Admit *a = Admit_New();
    uint32_t first;
    uint32_t id;
    uint32_t i;

    Admit_SetQuota(a, 1, 2);
    for (i = 0; i < 5; i++) {
        queue_work(a, i, 1, 1);
    }
    queue_work(a, 9, 2, 1);
    ck_assert(Admit_StartNext(a, 0, TRAFFIC_SHORT, &first));
    ck_assert(Admit_StartNext(a, 0, TRAFFIC_SHORT, &id));
    ck_assert_uint_eq(id, 9);
    ck_assert(Admit_StartNext(a, 0, TRAFFIC_SHORT, &id));
    ck_assert(!Admit_StartNext(a, 0, TRAFFIC_SHORT, &id));
    ck_assert(Admit_FinishWork(a, first));
    ck_assert(Admit_StartNext(a, 0, TRAFFIC_SHORT, &id));
    ck_assert(!Admit_StartNext(a, 0, TRAFFIC_SHORT, &id));
    Admit_SetQuota(a, 1, 0);
    ck_assert(Admit_StartNext(a, 0, TRAFFIC_SHORT, &id));
    ck_assert(Admit_StartNext(a, 0, TRAFFIC_SHORT, &id));
    ck_assert_uint_eq(Admit_CountWaiting(a, 0, TRAFFIC_SHORT), 0);
    Admit_Free(a);
}
END_TEST

typedef struct QueueCase {
    const char *failure; /* failure that the case guards against */
    uint32_t waiting;    /* waiting requests of another caller */
    uint32_t own;        /* waiting requests of the same caller */
    uint32_t max_queue;
    uint32_t servers;
    uint32_t free_servers;
    double service_rate;
    int64_t time_left_ms;
    AdmitResult expected;
    int64_t retry_ms; /* -1: any value above 0 */
} QueueCase;

/* Each request has an expected run time of 100 ms. */
static const QueueCase queue_cases[] = {
    {"refusal while a slot is free", 0, 0, 10, 1, 1, 0, 1, ADMIT_QUEUED, 0},
    {"work queued past its deadline", 0, 0, 10, 1, 1, 0, 0, ADMIT_TOO_LATE,
     10},
    {"work queued that starts too late", 0, 8, 99, 2, 0, 0, 300,
     ADMIT_TOO_LATE, 100},
    {"refusal of work that starts in time", 0, 8, 99, 2, 0, 0, 400,
     ADMIT_QUEUED, 0},
    {"slots counted in spite of a known rate", 0, 8, 99, 9, 0, 0.5, 1000,
     ADMIT_TOO_LATE, 600},
    {"refusal of a light caller behind a heavy one", 80, 0, 200, 2, 0, 0, 300,
     ADMIT_QUEUED, 0},
    {"a queue longer than its bound", 5, 5, 10, 2, 0, 0, 90000,
     ADMIT_QUEUE_FULL, -1},
    {"a caller that fills the queue", 0, 80, 100, 2, 0, 0, 90000,
     ADMIT_QUEUE_FULL, -1},
    {"refusal in a long queue below the threshold", 0, 79, 100, 2, 0, 0, 90000,
     ADMIT_QUEUED, 0},
};

START_TEST(queue_decisions)
{
    const QueueCase *c = &queue_cases[_i];
    Admit *a = Admit_New();
    AdmitLimits limits = {c->max_queue, c->servers, c->free_servers,
                          c->service_rate, c->time_left_ms};
    int64_t retry_ms;
    AdmitWork work;
    uint32_t i;

    for (i = 0; i < c->waiting + c->own; i++) {
        work = make_work(i, 1, i < c->waiting ? 1 : 2);
        work.run_us = 100000;
        ck_assert_int_eq(Admit_QueueWork(a, &work, &wide_limits, &retry_ms),
                         ADMIT_QUEUED);
    }
    work = make_work(i, 1, 2);
    work.run_us = 100000;
    ck_assert_msg(Admit_QueueWork(a, &work, &limits, &retry_ms) == c->expected,
                  "%s", c->failure);
    if (c->retry_ms >= 0) {
        ck_assert_msg(retry_ms == c->retry_ms, "%s: %lld", c->failure,
                      (long long)retry_ms);
    }
    else {
        ck_assert_msg(retry_ms > 0, "%s", c->failure);
    }
    Admit_Free(a);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("admit");
    TCase *tcase = tcase_create("queues");

    tcase_add_test(tcase, matches_fifo_reference);
    tcase_add_test(tcase, matches_round_robin_reference);
    tcase_add_test(tcase, teams_and_callers_take_turns);
    tcase_add_test(tcase, costly_work_uses_more_turns);
    tcase_add_test(tcase, quota_bounds_started_work);
    tcase_add_loop_test(tcase, queue_decisions, 0,
                        sizeof(queue_cases) / sizeof(queue_cases[0]));
    suite_add_tcase(suite, tcase);
    return suite;
}
