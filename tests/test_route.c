#include "rng.h"
#include "route.h"
#include "support.h"
#include "support_naive.h"

#include <stdio.h>
#include <string.h>

#define MANY 20

typedef struct Fixture {
    Route *r;
    uint32_t pool;
    char names[MANY][16];
    TrafficTarget targets[MANY];
    uint32_t count;
} Fixture;

static void
fixture_open(Fixture *f, uint32_t count)
{
    RouteOptions options = {"dc1", 3, 50};
    uint32_t i;

    memset(f, 0, sizeof(*f));
    f->r = Route_New(&options);
    f->pool = Route_Pool(f->r, "pool");
    f->count = count;
    for (i = 0; i < count; i++) {
        TrafficTarget target = {f->names[i],         "pool", "dc1", "r", 1,
                                TRAFFIC_TARGET_OPEN, 4,      8,     i};
        snprintf(f->names[i], sizeof(f->names[i]), "t%u", i);
        f->targets[i] = target;
    }
    ck_assert_int_eq(Route_SetTargets(f->r, f->targets, count), ST_OK);
}

static RouteAnswer
pick(Fixture *f, int64_t now_ms, uint32_t *target)
{
    RouteQuery query = {f->pool, now_ms, false, true, NULL, 0};

    return Route_Pick(f->r, &query, target);
}

static bool
fail_at(Fixture *f, int64_t now_ms, uint32_t target)
{
    TrafficResult result = {TRAFFIC_FAILED, 100};

    return Route_Learn(f->r, now_ms, target, &result, 10000);
}

/* Guards against credits that add up to more or less than a target has, and
 * against an uneven split while all entry VMs are alive. */
START_TEST(credits_add_up)
{
    uint32_t count;
    uint32_t total;
    uint32_t mask;
    uint32_t rank;

    for (count = 1; count <= 6; count++) {
        for (total = 0; total <= 20; total++) {
            for (mask = 0; mask + 1 < 1U << count; mask++) {
                bool silent[6];
                uint32_t sum = 0;
                for (rank = 0; rank < count; rank++) {
                    silent[rank] = (mask >> rank) & 1;
                }
                for (rank = 0; rank < count; rank++) {
                    uint32_t share = Route_DivideCredits(
                        "vm17", total, rank, count, mask ? silent : NULL);
                    ck_assert(mask || share == total / count ||
                              share == total / count + 1);
                    sum += share;
                }
                ck_assert_uint_eq(sum, total);
            }
        }
    }
}
END_TEST

/* Guards against a remainder that always goes to the same entry VM. */
START_TEST(remainder_rotates_by_name)
{
    uint32_t sum[3] = {0, 0, 0};
    char name[16];
    uint32_t i;
    uint32_t rank;

    for (i = 0; i < 3000; i++) {
        snprintf(name, sizeof(name), "vm%u", i);
        for (rank = 0; rank < 3; rank++) {
            sum[rank] += Route_DivideCredits(name, 8, rank, 3, NULL);
        }
    }
    for (rank = 0; rank < 3; rank++) {
        ck_assert_uint_gt(sum[rank], 7700);
        ck_assert_uint_lt(sum[rank], 8300);
    }
}
END_TEST

typedef struct StateCase {
    const char *failure; /* that the case guards against */
    TrafficTargetState first;
    TrafficTargetState second;
    uint32_t slots; /* of the second */
    uint32_t connections;
    const char *second_centre;
    uint32_t first_taken; /* of 4 slots */
    RouteAnswer answer;
    uint32_t chosen;
} StateCase;

static const StateCase state_cases[] = {
    {"work for a draining target", TRAFFIC_TARGET_DRAINING,
     TRAFFIC_TARGET_OPEN, 4, 8, "dc1", 0, ROUTE_FOUND, 1},
    {"work for a leaving target", TRAFFIC_TARGET_LEAVING, TRAFFIC_TARGET_OPEN,
     4, 8, "dc1", 0, ROUTE_FOUND, 1},
    {"work for a closed target", TRAFFIC_TARGET_CLOSED, TRAFFIC_TARGET_OPEN, 4,
     8, "dc1", 0, ROUTE_FOUND, 1},
    {"a pool without usable targets taken for a busy one",
     TRAFFIC_TARGET_CLOSED, TRAFFIC_TARGET_LEAVING, 4, 8, "dc1", 0,
     ROUTE_EMPTY, 0},
    {"work for a suspect while others are open", TRAFFIC_TARGET_SUSPECT,
     TRAFFIC_TARGET_OPEN, 4, 8, "dc1", 0, ROUTE_FOUND, 1},
    {"a pool emptied by suspicion", TRAFFIC_TARGET_SUSPECT,
     TRAFFIC_TARGET_CLOSED, 4, 8, "dc1", 0, ROUTE_FOUND, 0},
    {"a remote target chosen before a local one", TRAFFIC_TARGET_OPEN,
     TRAFFIC_TARGET_OPEN, 4, 8, "dc2", 3, ROUTE_FOUND, 0},
    {"a remote target left out when the local one is full",
     TRAFFIC_TARGET_OPEN, TRAFFIC_TARGET_OPEN, 4, 8, "dc2", 4, ROUTE_FOUND, 1},
    {"more attempts than slots", TRAFFIC_TARGET_OPEN, TRAFFIC_TARGET_OPEN, 0,
     8, "dc1", 4, ROUTE_BUSY, 0},
    {"more attempts than connections", TRAFFIC_TARGET_OPEN,
     TRAFFIC_TARGET_OPEN, 4, 0, "dc1", 4, ROUTE_BUSY, 0},
    {"the more loaded of two", TRAFFIC_TARGET_OPEN, TRAFFIC_TARGET_OPEN, 4, 8,
     "dc1", 3, ROUTE_FOUND, 1},
};

START_TEST(states_decide)
{
    const StateCase *c = &state_cases[_i];
    uint32_t chosen[2] = {0, 0};
    uint32_t target = 0;
    Fixture f;
    int i;

    fixture_open(&f, 2);
    f.targets[0].state = c->first;
    f.targets[1].state = c->second;
    f.targets[1].slots = c->slots;
    f.targets[1].connections = c->connections;
    f.targets[1].data_centre = c->second_centre;
    ck_assert_int_eq(Route_SetTargets(f.r, f.targets, 2), ST_OK);
    for (i = 0; i < (int)c->first_taken; i++) {
        Route_Take(f.r, 0, false);
    }
    for (i = 0; i < 200; i++) {
        ck_assert_msg(pick(&f, 10, &target) == c->answer, "%s", c->failure);
        if (c->answer == ROUTE_FOUND) {
            chosen[target]++;
        }
    }
    if (c->answer == ROUTE_FOUND) {
        /* Two draws of two may both fall on the more loaded target. */
        ck_assert_msg(chosen[c->chosen] > 120, "%s", c->failure);
        ck_assert_msg(c->first == c->second && c->first_taken == 3 &&
                              strcmp(c->second_centre, "dc1") == 0
                          ? true
                          : chosen[1 - c->chosen] == 0,
                      "%s", c->failure);
    }
    Route_Free(f.r);
}
END_TEST

/* Guards against eviction that empties a pool when all targets fail, and
 * against one that never happens. */
START_TEST(eviction_is_capped)
{
    Fixture f;
    RoutePoolInfo info;
    uint32_t target;
    uint32_t i;
    int round;

    fixture_open(&f, 10);
    for (round = 0; round < 3 * ROUTE_EVICT_FAILURES; round++) {
        for (i = 0; i < 10; i++) {
            fail_at(&f, 10, i);
        }
    }
    Route_GetPoolInfo(f.r, f.pool, &info);
    ck_assert_uint_eq(info.evicted, 5);
    ck_assert_int_eq(pick(&f, 10, &target), ROUTE_FOUND);
    /* The five that stayed leave: the evicted ones are used again. */
    for (i = 0; i < 10; i++) {
        RouteInfo row;
        Route_GetInfo(f.r, i, &row);
        if (!row.evicted) {
            f.targets[i].state = TRAFFIC_TARGET_LEAVING;
        }
    }
    Route_SetTargets(f.r, f.targets, 10);
    Route_GetPoolInfo(f.r, f.pool, &info);
    ck_assert_uint_eq(info.targets, 5);
    ck_assert_uint_le(info.evicted, 2);
    ck_assert_int_eq(pick(&f, 10, &target), ROUTE_FOUND);
    Route_Free(f.r);
}
END_TEST

/* Guards against a target that is never readmitted, or without a probe. */
START_TEST(probe_readmits)
{
    TrafficResult ok = {TRAFFIC_OK, 10000};
    RouteQuery unrepeatable;
    RouteInfo info;
    uint32_t target;
    Fixture f;
    int i;

    fixture_open(&f, 4);
    for (i = 0; i < ROUTE_EVICT_FAILURES; i++) {
        ck_assert_int_eq(fail_at(&f, 10, 2), i == ROUTE_EVICT_FAILURES - 1);
    }
    for (i = 0; i < 100; i++) {
        ck_assert_int_eq(pick(&f, 10, &target), ROUTE_FOUND);
        ck_assert_uint_ne(target, 2);
    }
    Route_Tick(f.r, 10 + ROUTE_EVICT_MS);
    unrepeatable =
        (RouteQuery){f.pool, 10 + ROUTE_EVICT_MS, false, false, NULL, 0};
    ck_assert_int_eq(Route_Pick(f.r, &unrepeatable, &target), ROUTE_FOUND);
    ck_assert_uint_ne(target, 2);
    ck_assert_int_eq(pick(&f, 10 + ROUTE_EVICT_MS, &target), ROUTE_FOUND);
    ck_assert_uint_eq(target, 2);
    Route_Take(f.r, target, false);
    ck_assert_int_eq(pick(&f, 10 + ROUTE_EVICT_MS, &target), ROUTE_FOUND);
    ck_assert_uint_ne(target, 2);
    /* A failed probe doubles the time of the eviction. */
    fail_at(&f, 2000, 2);
    Route_Release(f.r, 2, false);
    Route_Tick(f.r, 2000 + ROUTE_EVICT_MS);
    ck_assert_int_eq(pick(&f, 2000 + ROUTE_EVICT_MS, &target), ROUTE_FOUND);
    ck_assert_uint_ne(target, 2);
    Route_Tick(f.r, 2000 + 2 * ROUTE_EVICT_MS);
    ck_assert_int_eq(pick(&f, 2000 + 2 * ROUTE_EVICT_MS, &target),
                     ROUTE_FOUND);
    ck_assert_uint_eq(target, 2);
    Route_Learn(f.r, 5000, 2, &ok, 10000);
    Route_GetInfo(f.r, 2, &info);
    ck_assert(!info.evicted);
    Route_Free(f.r);
}
END_TEST

/* Guards against a target that fails at once and so looks fast: it must get
 * less work than its peers before it is evicted. */
START_TEST(fast_failure_counts_as_slow)
{
    uint32_t chosen = 0;
    uint32_t target;
    Fixture f;
    int i;

    fixture_open(&f, 2);
    fail_at(&f, 10, 0);
    for (i = 0; i < 1000; i++) {
        ck_assert_int_eq(pick(&f, 10, &target), ROUTE_FOUND);
        chosen += target == 0;
    }
    ck_assert_uint_lt(chosen, 300);
    Route_Free(f.r);
}
END_TEST

/* Guards against a dead target that refuses connections at once and so takes
 * work again and again: it has to be evicted like one that fails. */
START_TEST(unreachable_target_is_evicted)
{
    TrafficResult result = {TRAFFIC_UNREACHABLE, 100};
    RouteInfo info;
    Fixture f;
    int i;

    fixture_open(&f, 4);
    for (i = 0; i < ROUTE_EVICT_FAILURES; i++) {
        Route_Learn(f.r, 10, 0, &result, 1000);
    }
    Route_GetInfo(f.r, 0, &info);
    ck_assert(info.evicted);
    Route_Free(f.r);
}
END_TEST

/* Guards against a retry in the rack where the work just failed. */
START_TEST(retry_prefers_another_rack)
{
    uint32_t excluded[] = {0};
    uint32_t same = 0;
    uint32_t target;
    Fixture f;
    int i;

    fixture_open(&f, 4);
    f.targets[2].rack = "other";
    f.targets[3].rack = "other";
    Route_SetTargets(f.r, f.targets, 4);
    for (i = 0; i < 1000; i++) {
        RouteQuery query = {f.pool, 10, false, true, excluded, 1};
        ck_assert_int_eq(Route_Pick(f.r, &query, &target), ROUTE_FOUND);
        ck_assert_uint_ne(target, 0);
        same += target == 1;
    }
    /* Both draws of two fall on it in one case of nine. */
    ck_assert_uint_lt(same, 170);
    Route_Free(f.r);
}
END_TEST

/* Guards against a target that is never given its whole credits again after
 * it refused work. */
START_TEST(refusal_lowers_the_ceiling_for_a_time)
{
    TrafficResult refused = {TRAFFIC_REFUSED, 500};
    uint32_t target;
    Fixture f;
    int i;

    fixture_open(&f, 1);
    for (i = 0; i < 3; i++) {
        Route_Take(f.r, 0, false);
    }
    Route_Learn(f.r, 1000, 0, &refused, 10000);
    Route_Release(f.r, 0, false);
    ck_assert_int_eq(pick(&f, 1000, &target), ROUTE_BUSY);
    Route_Release(f.r, 0, false);
    ck_assert_int_eq(pick(&f, 1000, &target), ROUTE_FOUND);
    Route_Take(f.r, 0, false);
    for (i = 1; i <= 2; i++) {
        Route_Tick(f.r, 1000 + i * ROUTE_RAISE_MS);
        ck_assert_int_eq(pick(&f, 1000, &target), ROUTE_FOUND);
        Route_Take(f.r, 0, false);
        ck_assert_int_eq(pick(&f, 1000, &target), ROUTE_BUSY);
    }
    Route_Free(f.r);
}
END_TEST

/* Guards against a slot counted twice or lost when a target leaves while an
 * attempt runs, or returns to another pool under its old number. */
START_TEST(leaving_target_keeps_its_slots)
{
    RouteInfo info;
    uint32_t target;
    Fixture f;

    fixture_open(&f, 1);
    ck_assert_int_eq(pick(&f, 10, &target), ROUTE_FOUND);
    Route_Take(f.r, target, true);
    Route_SetTargets(f.r, NULL, 0);
    ck_assert_int_eq(pick(&f, 10, &target), ROUTE_EMPTY);
    ck_assert(!Route_MaySend(f.r, target, 1));
    f.targets[0].epoch = 2;
    Route_SetTargets(f.r, f.targets, 1);
    Route_GetInfo(f.r, 0, &info);
    ck_assert_uint_eq(info.in_flight, 1);
    ck_assert(!Route_MaySend(f.r, 0, 1));
    ck_assert(Route_MaySend(f.r, 0, 2));
    Route_Release(f.r, 0, true);
    Route_GetInfo(f.r, 0, &info);
    ck_assert_uint_eq(info.in_flight, 0);
    Route_Free(f.r);
}
END_TEST

static void
change_something(Fixture *f, Rng *rng)
{
    TrafficTarget *target = &f->targets[Rng_Below(rng, MANY)];

    switch (Rng_Below(rng, 3)) {
    case 0:
        target->state = Rng_Below(rng, 2)
                            ? TRAFFIC_TARGET_OPEN
                            : (TrafficTargetState)(2 + Rng_Below(rng, 3));
        break;
    case 1:
        target->slots = Rng_Below(rng, 5);
        break;
    default:
        target->data_centre = Rng_Below(rng, 2) ? "dc1" : "dc2";
    }
    if (Rng_Below(rng, 2)) {
        ck_assert_int_eq(Route_PutTarget(f->r, target), ST_OK);
        return;
    }
    ck_assert_int_eq(Route_SetTargets(f->r, f->targets, MANY), ST_OK);
}

/* Guards against figures of a pool that drift as single targets change. */
static void
compare_pool_info(Fixture *f)
{
    RoutePoolInfo sum = {0};
    RoutePoolInfo info;
    uint32_t i;

    Route_GetPoolInfo(f->r, f->pool, &info);
    for (i = 0; i < MANY; i++) {
        RouteInfo row;
        Route_GetInfo(f->r, i, &row);
        if (row.usable) {
            sum.targets++;
            sum.slots += row.slots;
            sum.in_flight += row.in_flight;
            sum.long_in_flight += row.long_in_flight;
            sum.long_most += row.long_limit;
        }
    }
    ck_assert_uint_eq(info.targets, sum.targets);
    ck_assert_uint_eq(info.slots, sum.slots);
    ck_assert_uint_eq(info.in_flight, sum.in_flight);
    ck_assert_uint_eq(info.long_in_flight, sum.long_in_flight);
    ck_assert_uint_eq(info.long_most, sum.long_most);
}

/* Copies what a scan needs to know of the targets. */
static void
copy_for_scan(Fixture *f, NaiveTarget *naive)
{
    uint32_t i;

    for (i = 0; i < MANY; i++) {
        RouteInfo info;
        Route_GetInfo(f->r, i, &info);
        naive[i].slots = f->targets[i].slots;
        naive[i].long_limit = info.long_limit;
        naive[i].open = f->targets[i].state == TRAFFIC_TARGET_OPEN;
        naive[i].local = strcmp(f->targets[i].data_centre, "dc1") == 0;
    }
}

/* Guards against lists of free targets that differ from a scan of all: both
 * must find a target, in the same data centre, or none. One attempt runs on
 * each target all the time so that its number stays in use. */
START_TEST(agrees_with_scan)
{
    NaiveTarget naive[MANY] = {{0}};
    Fixture f;
    Rng rng;
    int round;
    uint32_t i;

    fixture_open(&f, MANY);
    Rng_Seed(&rng, 21);
    for (i = 0; i < MANY; i++) {
        Route_Take(f.r, i, false);
        naive[i].in_flight = 1;
    }
    for (round = 0; round < 30000; round++) {
        bool is_long = Rng_Below(&rng, 2);
        RouteQuery query = {f.pool, 10, is_long, true, NULL, 0};
        uint32_t scan;
        uint32_t got = 0;
        if (round % 10 == 0) {
            change_something(&f, &rng);
            compare_pool_info(&f);
        }
        copy_for_scan(&f, naive);
        scan = NaiveTargets_Pick(naive, MANY, is_long);
        if (Route_Pick(f.r, &query, &got) == ROUTE_FOUND) {
            ck_assert(scan != UINT32_MAX && naive[got].open);
            ck_assert(naive[got].in_flight < naive[got].slots);
            ck_assert(!is_long ||
                      naive[got].long_in_flight < naive[got].long_limit);
            ck_assert_int_eq(naive[got].local, naive[scan].local);
            Route_Take(f.r, got, is_long);
            naive[got].in_flight++;
            naive[got].long_in_flight += is_long;
        }
        else {
            ck_assert_uint_eq(scan, UINT32_MAX);
        }
        i = Rng_Below(&rng, MANY);
        if (naive[i].in_flight > 1) {
            bool held = naive[i].long_in_flight > 0;
            Route_Release(f.r, i, held);
            naive[i].in_flight--;
            naive[i].long_in_flight -= held;
        }
    }
    Route_Free(f.r);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("route");
    TCase *tcase = tcase_create("choice");

    tcase_add_test(tcase, credits_add_up);
    tcase_add_test(tcase, remainder_rotates_by_name);
    tcase_add_loop_test(tcase, states_decide, 0,
                        sizeof(state_cases) / sizeof(state_cases[0]));
    tcase_add_test(tcase, eviction_is_capped);
    tcase_add_test(tcase, unreachable_target_is_evicted);
    tcase_add_test(tcase, probe_readmits);
    tcase_add_test(tcase, fast_failure_counts_as_slow);
    tcase_add_test(tcase, retry_prefers_another_rack);
    tcase_add_test(tcase, refusal_lowers_the_ceiling_for_a_time);
    tcase_add_test(tcase, leaving_target_keeps_its_slots);
    tcase_add_test(tcase, agrees_with_scan);
    suite_add_tcase(suite, tcase);
    return suite;
}
