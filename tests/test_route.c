#include "rng.h"
#include "route.h"
#include "support.h"
#include "support_naive.h"

#include <stdio.h>
#include <string.h>

#define MAX_TARGETS 20

typedef struct Fixture {
    Route *r;
    uint32_t pool;
    char names[MAX_TARGETS][16];
    TrafficTarget targets[MAX_TARGETS];
    uint32_t count;
} Fixture;

static void
open_fixture(Fixture *f, uint32_t count)
{
    RouteOptions options = {"dc1", 3, 50};
    uint32_t i;

    memset(f, 0, sizeof(*f));
    f->r = Route_New(&options);
    f->pool = Route_FindOrAddPool(f->r, "pool");
    f->count = count;
    for (i = 0; i < count; i++) {
        TrafficTarget target = {f->names[i],         "pool", "dc1", "r", 1,
                                TRAFFIC_TARGET_OPEN, 4,      8,     i};
        snprintf(f->names[i], sizeof(f->names[i]), "t%u", i);
        f->targets[i] = target;
    }
    ck_assert_int_eq(Route_SetTargets(f->r, f->targets, count), ST_OK);
}

static RouteOutcome
select_target(Fixture *f, int64_t now_ms, uint32_t *target)
{
    RouteQuery query = {f->pool, now_ms, false, true, NULL, 0};

    return Route_SelectTarget(f->r, &query, target);
}

static bool
record_failure(Fixture *f, int64_t now_ms, uint32_t target)
{
    TrafficResult result = {TRAFFIC_FAILED, 100};

    return Route_RecordResult(f->r, now_ms, target, &result, 10000);
}

/* Guards against credits that add up to more or less than a target has, and
 * against an uneven split while all entry VMs are alive. */
START_TEST(credit_shares_add_up)
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
                    uint32_t share = Route_GetCreditShare(
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

/* Guards against a remainder of credits that always goes to the same entry
 * VM. */
START_TEST(remainder_rotates_by_name)
{
    uint32_t sum[3] = {0, 0, 0};
    char name[16];
    uint32_t i;
    uint32_t rank;

    for (i = 0; i < 3000; i++) {
        snprintf(name, sizeof(name), "vm%u", i);
        for (rank = 0; rank < 3; rank++) {
            sum[rank] += Route_GetCreditShare(name, 8, rank, 3, NULL);
        }
    }
    for (rank = 0; rank < 3; rank++) {
        ck_assert_uint_gt(sum[rank], 7700);
        ck_assert_uint_lt(sum[rank], 8300);
    }
}
END_TEST

typedef struct StateCase {
    const char *failure; /* failure that the case guards against */
    TrafficTargetState first_state;
    TrafficTargetState second_state;
    uint32_t slots;       /* slots of the second target */
    uint32_t connections; /* connections of the second target */
    const char *second_data_centre;
    uint32_t first_in_flight; /* attempts on the first target, of 4 slots */
    RouteOutcome outcome;
    uint32_t expected_target;
} StateCase;

static const StateCase state_cases[] = {
    {"work sent to a draining target", TRAFFIC_TARGET_DRAINING,
     TRAFFIC_TARGET_OPEN, 4, 8, "dc1", 0, ROUTE_FOUND, 1},
    {"work sent to a leaving target", TRAFFIC_TARGET_LEAVING,
     TRAFFIC_TARGET_OPEN, 4, 8, "dc1", 0, ROUTE_FOUND, 1},
    {"work sent to a closed target", TRAFFIC_TARGET_CLOSED,
     TRAFFIC_TARGET_OPEN, 4, 8, "dc1", 0, ROUTE_FOUND, 1},
    {"a pool without usable targets reported as busy", TRAFFIC_TARGET_CLOSED,
     TRAFFIC_TARGET_LEAVING, 4, 8, "dc1", 0, ROUTE_EMPTY, 0},
    {"work sent to a suspect target while another is open",
     TRAFFIC_TARGET_SUSPECT, TRAFFIC_TARGET_OPEN, 4, 8, "dc1", 0, ROUTE_FOUND,
     1},
    {"no target selected in a pool whose only target is suspect",
     TRAFFIC_TARGET_SUSPECT, TRAFFIC_TARGET_CLOSED, 4, 8, "dc1", 0,
     ROUTE_FOUND, 0},
    {"a remote target selected before a local one", TRAFFIC_TARGET_OPEN,
     TRAFFIC_TARGET_OPEN, 4, 8, "dc2", 3, ROUTE_FOUND, 0},
    {"a remote target not used when the local one is full",
     TRAFFIC_TARGET_OPEN, TRAFFIC_TARGET_OPEN, 4, 8, "dc2", 4, ROUTE_FOUND, 1},
    {"more attempts than slots", TRAFFIC_TARGET_OPEN, TRAFFIC_TARGET_OPEN, 0,
     8, "dc1", 4, ROUTE_BUSY, 0},
    {"more attempts than connections", TRAFFIC_TARGET_OPEN,
     TRAFFIC_TARGET_OPEN, 4, 0, "dc1", 4, ROUTE_BUSY, 0},
    {"the more loaded of two targets preferred", TRAFFIC_TARGET_OPEN,
     TRAFFIC_TARGET_OPEN, 4, 8, "dc1", 3, ROUTE_FOUND, 1},
};

START_TEST(selection_respects_target_state)
{
    const StateCase *c = &state_cases[_i];
    uint32_t selections[2] = {0, 0};
    uint32_t target = 0;
    Fixture f;
    int i;

    open_fixture(&f, 2);
    f.targets[0].state = c->first_state;
    f.targets[1].state = c->second_state;
    f.targets[1].slots = c->slots;
    f.targets[1].connections = c->connections;
    f.targets[1].data_centre = c->second_data_centre;
    ck_assert_int_eq(Route_SetTargets(f.r, f.targets, 2), ST_OK);
    for (i = 0; i < (int)c->first_in_flight; i++) {
        Route_AcquireSlot(f.r, 0, false);
    }
    for (i = 0; i < 200; i++) {
        ck_assert_msg(select_target(&f, 10, &target) == c->outcome, "%s",
                      c->failure);
        if (c->outcome == ROUTE_FOUND) {
            selections[target]++;
        }
    }
    if (c->outcome == ROUTE_FOUND) {
        /* Both random candidates may be the more loaded target. */
        ck_assert_msg(selections[c->expected_target] > 120, "%s", c->failure);
        ck_assert_msg(c->first_state == c->second_state &&
                              c->first_in_flight == 3 &&
                              strcmp(c->second_data_centre, "dc1") == 0
                          ? true
                          : selections[1 - c->expected_target] == 0,
                      "%s", c->failure);
    }
    Route_Free(f.r);
}
END_TEST

/* Guards against evicting all targets of a pool when all fail, and against
 * evicting none. */
START_TEST(eviction_is_capped)
{
    Fixture f;
    RoutePoolInfo info;
    uint32_t target;
    uint32_t i;
    int round;

    open_fixture(&f, 10);
    for (round = 0; round < 3 * ROUTE_EVICT_FAILURES; round++) {
        for (i = 0; i < 10; i++) {
            record_failure(&f, 10, i);
        }
    }
    Route_GetPoolInfo(f.r, f.pool, &info);
    ck_assert_uint_eq(info.evicted, 5);
    ck_assert_int_eq(select_target(&f, 10, &target), ROUTE_FOUND);
    /* The five targets that are not evicted leave, so evicted ones have to be
     * readmitted. */
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
    ck_assert_int_eq(select_target(&f, 10, &target), ROUTE_FOUND);
    Route_Free(f.r);
}
END_TEST

/* Guards against a target that is never readmitted, or is readmitted without
 * a successful probe. */
START_TEST(successful_probe_readmits_target)
{
    TrafficResult ok = {TRAFFIC_OK, 10000};
    RouteQuery unrepeatable;
    RouteInfo info;
    uint32_t target;
    Fixture f;
    int i;

    open_fixture(&f, 4);
    for (i = 0; i < ROUTE_EVICT_FAILURES; i++) {
        ck_assert_int_eq(record_failure(&f, 10, 2),
                         i == ROUTE_EVICT_FAILURES - 1);
    }
    for (i = 0; i < 100; i++) {
        ck_assert_int_eq(select_target(&f, 10, &target), ROUTE_FOUND);
        ck_assert_uint_ne(target, 2);
    }
    Route_Tick(f.r, 10 + ROUTE_EVICT_MIN_MS);
    unrepeatable =
        (RouteQuery){f.pool, 10 + ROUTE_EVICT_MIN_MS, false, false, NULL, 0};
    ck_assert_int_eq(Route_SelectTarget(f.r, &unrepeatable, &target),
                     ROUTE_FOUND);
    ck_assert_uint_ne(target, 2);
    ck_assert_int_eq(select_target(&f, 10 + ROUTE_EVICT_MIN_MS, &target),
                     ROUTE_FOUND);
    ck_assert_uint_eq(target, 2);
    Route_AcquireSlot(f.r, target, false);
    ck_assert_int_eq(select_target(&f, 10 + ROUTE_EVICT_MIN_MS, &target),
                     ROUTE_FOUND);
    ck_assert_uint_ne(target, 2);
    /* A failed probe doubles the eviction time. */
    record_failure(&f, 2000, 2);
    Route_ReleaseSlot(f.r, 2, false);
    Route_Tick(f.r, 2000 + ROUTE_EVICT_MIN_MS);
    ck_assert_int_eq(select_target(&f, 2000 + ROUTE_EVICT_MIN_MS, &target),
                     ROUTE_FOUND);
    ck_assert_uint_ne(target, 2);
    Route_Tick(f.r, 2000 + 2 * ROUTE_EVICT_MIN_MS);
    ck_assert_int_eq(select_target(&f, 2000 + 2 * ROUTE_EVICT_MIN_MS, &target),
                     ROUTE_FOUND);
    ck_assert_uint_eq(target, 2);
    Route_RecordResult(f.r, 5000, 2, &ok, 10000);
    Route_GetInfo(f.r, 2, &info);
    ck_assert(!info.evicted);
    Route_Free(f.r);
}
END_TEST

/* Guards against a target that looks fast because it fails immediately: it
 * must get less work than the other target even before its eviction. */
START_TEST(fast_failure_counts_as_slow)
{
    uint32_t selected = 0;
    uint32_t target;
    Fixture f;
    int i;

    open_fixture(&f, 2);
    record_failure(&f, 10, 0);
    for (i = 0; i < 1000; i++) {
        ck_assert_int_eq(select_target(&f, 10, &target), ROUTE_FOUND);
        selected += target == 0;
    }
    ck_assert_uint_lt(selected, 300);
    Route_Free(f.r);
}
END_TEST

/* Guards against a target that refuses connections immediately and so keeps
 * getting work: it must be evicted like one that fails. */
START_TEST(unreachable_target_is_evicted)
{
    TrafficResult result = {TRAFFIC_UNREACHABLE, 100};
    RouteInfo info;
    Fixture f;
    int i;

    open_fixture(&f, 4);
    for (i = 0; i < ROUTE_EVICT_FAILURES; i++) {
        Route_RecordResult(f.r, 10, 0, &result, 1000);
    }
    Route_GetInfo(f.r, 0, &info);
    ck_assert(info.evicted);
    Route_Free(f.r);
}
END_TEST

/* Guards against a retry in the rack in which the work just failed. */
START_TEST(retry_prefers_another_rack)
{
    uint32_t excluded[] = {0};
    uint32_t same = 0;
    uint32_t target;
    Fixture f;
    int i;

    open_fixture(&f, 4);
    f.targets[2].rack = "other";
    f.targets[3].rack = "other";
    Route_SetTargets(f.r, f.targets, 4);
    for (i = 0; i < 1000; i++) {
        RouteQuery query = {f.pool, 10, false, true, excluded, 1};
        ck_assert_int_eq(Route_SelectTarget(f.r, &query, &target),
                         ROUTE_FOUND);
        ck_assert_uint_ne(target, 0);
        same += target == 1;
    }
    /* Both random candidates are target 1 in one case of nine. */
    ck_assert_uint_lt(same, 170);
    Route_Free(f.r);
}
END_TEST

/* Guards against a target that never regains its full credits after it refused
 * work. */
START_TEST(refusal_lowers_in_flight_limit_temporarily)
{
    TrafficResult refused = {TRAFFIC_REFUSED, 500};
    uint32_t target;
    Fixture f;
    int i;

    open_fixture(&f, 1);
    for (i = 0; i < 3; i++) {
        Route_AcquireSlot(f.r, 0, false);
    }
    Route_RecordResult(f.r, 1000, 0, &refused, 10000);
    Route_ReleaseSlot(f.r, 0, false);
    ck_assert_int_eq(select_target(&f, 1000, &target), ROUTE_BUSY);
    Route_ReleaseSlot(f.r, 0, false);
    ck_assert_int_eq(select_target(&f, 1000, &target), ROUTE_FOUND);
    Route_AcquireSlot(f.r, 0, false);
    for (i = 1; i <= 2; i++) {
        Route_Tick(f.r, 1000 + i * ROUTE_LIMIT_RAISE_MS);
        ck_assert_int_eq(select_target(&f, 1000, &target), ROUTE_FOUND);
        Route_AcquireSlot(f.r, 0, false);
        ck_assert_int_eq(select_target(&f, 1000, &target), ROUTE_BUSY);
    }
    Route_Free(f.r);
}
END_TEST

/* Guards against a slot that is counted twice or lost when a target is removed
 * while an attempt runs on it, or is added again under its old number. */
START_TEST(unlisted_target_keeps_acquired_slots)
{
    RouteInfo info;
    uint32_t target;
    Fixture f;

    open_fixture(&f, 1);
    ck_assert_int_eq(select_target(&f, 10, &target), ROUTE_FOUND);
    Route_AcquireSlot(f.r, target, true);
    Route_SetTargets(f.r, NULL, 0);
    ck_assert_int_eq(select_target(&f, 10, &target), ROUTE_EMPTY);
    ck_assert(!Route_MayDispatch(f.r, target, 1));
    f.targets[0].epoch = 2;
    Route_SetTargets(f.r, f.targets, 1);
    Route_GetInfo(f.r, 0, &info);
    ck_assert_uint_eq(info.in_flight, 1);
    ck_assert(!Route_MayDispatch(f.r, 0, 1));
    ck_assert(Route_MayDispatch(f.r, 0, 2));
    Route_ReleaseSlot(f.r, 0, true);
    Route_GetInfo(f.r, 0, &info);
    ck_assert_uint_eq(info.in_flight, 0);
    Route_Free(f.r);
}
END_TEST

static void
change_random_target(Fixture *f, Rng *rng)
{
    TrafficTarget *target = &f->targets[Rng_Below(rng, MAX_TARGETS)];

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
    ck_assert_int_eq(Route_SetTargets(f->r, f->targets, MAX_TARGETS), ST_OK);
}

/* Checks that the totals of the pool are the sums over its targets. */
static void
check_pool_info(Fixture *f)
{
    RoutePoolInfo sum = {0};
    RoutePoolInfo info;
    uint32_t i;

    Route_GetPoolInfo(f->r, f->pool, &info);
    for (i = 0; i < MAX_TARGETS; i++) {
        RouteInfo row;
        Route_GetInfo(f->r, i, &row);
        if (row.usable) {
            sum.targets++;
            sum.slots += row.slots;
            sum.in_flight += row.in_flight;
            sum.long_in_flight += row.long_in_flight;
            sum.long_limit_sum += row.long_limit;
        }
    }
    ck_assert_uint_eq(info.targets, sum.targets);
    ck_assert_uint_eq(info.slots, sum.slots);
    ck_assert_uint_eq(info.in_flight, sum.in_flight);
    ck_assert_uint_eq(info.long_in_flight, sum.long_in_flight);
    ck_assert_uint_eq(info.long_limit_sum, sum.long_limit_sum);
}

/* Copies the state of the targets that the scan needs. */
static void
copy_for_scan(Fixture *f, NaiveTarget *naive)
{
    uint32_t i;

    for (i = 0; i < MAX_TARGETS; i++) {
        RouteInfo info;
        Route_GetInfo(f->r, i, &info);
        naive[i].slots = f->targets[i].slots;
        naive[i].long_limit = info.long_limit;
        naive[i].open = f->targets[i].state == TRAFFIC_TARGET_OPEN;
        naive[i].local = strcmp(f->targets[i].data_centre, "dc1") == 0;
    }
}

/* Guards against lists of free targets that disagree with a scan of all
 * targets: both must find a local target, both a remote one, or both none. One
 * attempt stays in flight on each target to keep its number in use. */
START_TEST(selection_matches_full_scan)
{
    NaiveTarget naive[MAX_TARGETS] = {{0}};
    Fixture f;
    Rng rng;
    int round;
    uint32_t i;

    open_fixture(&f, MAX_TARGETS);
    Rng_Seed(&rng, 21);
    for (i = 0; i < MAX_TARGETS; i++) {
        Route_AcquireSlot(f.r, i, false);
        naive[i].in_flight = 1;
    }
    for (round = 0; round < 30000; round++) {
        bool is_long = Rng_Below(&rng, 2);
        RouteQuery query = {f.pool, 10, is_long, true, NULL, 0};
        uint32_t scan_target;
        uint32_t selected = 0;
        if (round % 10 == 0) {
            change_random_target(&f, &rng);
            check_pool_info(&f);
        }
        copy_for_scan(&f, naive);
        scan_target = NaiveTargets_SelectTarget(naive, MAX_TARGETS, is_long);
        if (Route_SelectTarget(f.r, &query, &selected) == ROUTE_FOUND) {
            ck_assert(scan_target != UINT32_MAX && naive[selected].open);
            ck_assert(naive[selected].in_flight < naive[selected].slots);
            ck_assert(!is_long || naive[selected].long_in_flight <
                                      naive[selected].long_limit);
            ck_assert_int_eq(naive[selected].local, naive[scan_target].local);
            Route_AcquireSlot(f.r, selected, is_long);
            naive[selected].in_flight++;
            naive[selected].long_in_flight += is_long;
        }
        else {
            ck_assert_uint_eq(scan_target, UINT32_MAX);
        }
        i = Rng_Below(&rng, MAX_TARGETS);
        if (naive[i].in_flight > 1) {
            bool release_long = naive[i].long_in_flight > 0;
            Route_ReleaseSlot(f.r, i, release_long);
            naive[i].in_flight--;
            naive[i].long_in_flight -= release_long;
        }
    }
    Route_Free(f.r);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("route");
    TCase *tcase = tcase_create("selection");

    tcase_add_test(tcase, credit_shares_add_up);
    tcase_add_test(tcase, remainder_rotates_by_name);
    tcase_add_loop_test(tcase, selection_respects_target_state, 0,
                        sizeof(state_cases) / sizeof(state_cases[0]));
    tcase_add_test(tcase, eviction_is_capped);
    tcase_add_test(tcase, unreachable_target_is_evicted);
    tcase_add_test(tcase, successful_probe_readmits_target);
    tcase_add_test(tcase, fast_failure_counts_as_slow);
    tcase_add_test(tcase, retry_prefers_another_rack);
    tcase_add_test(tcase, refusal_lowers_in_flight_limit_temporarily);
    tcase_add_test(tcase, unlisted_target_keeps_acquired_slots);
    tcase_add_test(tcase, selection_matches_full_scan);
    suite_add_tcase(suite, tcase);
    return suite;
}
