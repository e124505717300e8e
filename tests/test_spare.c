#include "support.h"
#include "support_spare.h"

#include <stdio.h>
#include <string.h>

#include "rng.h"

#define MAX_POOLS 12
#define MAX_MOVES 8

static const uint32_t vm_ids[64] = {70, 71, 72, 73, 74, 75, 76, 77};

static SparePool
make_pool(const char *name, uint32_t size, uint32_t queued, uint32_t running)
{
    SparePool pool = {.name = name,
                      .size = size,
                      .min_size = 2,
                      .slots_per_vm = 8,
                      .queued = queued,
                      .running = running,
                      .service_ms = 400,
                      .budget_left = 3,
                      .movable = vm_ids,
                      .movable_count = size};

    return pool;
}

static SparePlanner *
new_planner(void)
{
    SpareOptions options = SPARE_OPTIONS_DEFAULT;

    options.max_pools = MAX_POOLS;
    return SparePlanner_New(&options);
}

/* Plans for two pools, a donor "a" and a receiver "b", until the first call
 * that returns moves. Returns the number of these moves. */
static size_t
plan_two_pools(SparePool a, SparePool b, SpareMove *moves)
{
    SparePlanner *planner = new_planner();
    SparePool pools[2] = {a, b};
    size_t count = 0;
    int i;

    for (i = 0; i < 40 && count == 0; i++) {
        ck_assert_int_eq(SparePlanner_PlanMoves(planner, i * 250, pools, 2,
                                                moves, MAX_MOVES, &count),
                         ST_OK);
    }
    SparePlanner_Free(planner);
    return count;
}

/* Guards against moves that violate a limit of the donor, or that the receiver
 * has no use for. */
START_TEST(moves_respect_limits)
{
    static const struct {
        const char *name;
        uint32_t a_size;
        uint32_t a_min;
        uint32_t a_queued;
        uint32_t a_running;
        uint32_t a_budget;
        uint32_t a_movable;
        uint32_t b_queued;
        uint32_t b_incoming;
        size_t moves;
    } cases[] = {
        {"moves up to the budget", 10, 2, 0, 0, 3, 10, 100, 0, 3},
        {"budget of one", 10, 2, 0, 0, 1, 10, 100, 0, 1},
        {"no budget", 10, 2, 0, 0, 0, 10, 100, 0, 0},
        {"min_size reached", 10, 10, 0, 0, 3, 10, 100, 0, 0},
        {"one above min_size", 10, 9, 0, 0, 3, 10, 100, 0, 1},
        {"below min_size", 5, 9, 0, 0, 3, 5, 100, 0, 0},
        {"no VM may move", 10, 2, 0, 0, 3, 0, 100, 0, 0},
        {"one VM may move", 10, 2, 0, 0, 3, 1, 100, 0, 1},
        {"donor is busy", 10, 2, 0, 80, 3, 10, 100, 0, 0},
        {"donor has one VM idle", 10, 2, 0, 72, 3, 10, 100, 0, 1},
        {"donor has waiting requests", 10, 2, 5, 20, 3, 10, 100, 0, 0},
        {"receiver has no queued requests", 10, 2, 0, 0, 3, 10, 0, 0, 0},
        {"VMs are in transit", 10, 2, 0, 0, 3, 10, 100, 8, 0},
        {"empty donor", 0, 0, 0, 0, 3, 0, 100, 0, 0},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        SparePool a = make_pool("a", cases[i].a_size, cases[i].a_queued,
                                cases[i].a_running);
        SparePool b = make_pool("b", 8, cases[i].b_queued, 64);
        SpareMove moves[MAX_MOVES];
        size_t count;
        size_t m;
        a.min_size = cases[i].a_min;
        a.budget_left = cases[i].a_budget;
        a.movable_count = cases[i].a_movable;
        b.incoming = cases[i].b_incoming;
        count = plan_two_pools(a, b, moves);
        ck_assert_msg(cases[i].moves == 0
                          ? count == 0
                          : count >= 1 && count <= cases[i].moves,
                      "%s: %zu moves", cases[i].name, count);
        for (m = 0; m < count; m++) {
            ck_assert_uint_eq(moves[m].from, 0);
            ck_assert_uint_eq(moves[m].to, 1);
            ck_assert_uint_eq(moves[m].vm, vm_ids[m]);
            ck_assert(moves[m].regret >= moves[m].cost);
            ck_assert_ptr_nonnull(strstr(moves[m].reason, "100 requests"));
        }
    }
}
END_TEST

/* Guards against a move before the regret has reached its cost, and against
 * weights without effect. */
START_TEST(regret_must_reach_the_cost)
{
    static const struct {
        double move_weight;
        double wait_weight;
        int64_t first_move_ms; /* -1 for no move within 10 s */
    } cases[] = {
        {20, 1, 2000}, {40, 1, 4000}, {20, 4, 500}, {0, 1, 0}, {1000, 1, -1},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        SpareOptions options = SPARE_OPTIONS_DEFAULT;
        SparePool pools[2] = {make_pool("a", 10, 0, 0),
                              make_pool("b", 8, 10, 64)};
        SpareMove moves[MAX_MOVES];
        int64_t first_move_ms = -1;
        int64_t now_ms;
        SparePlanner *planner;
        options.move_weight = cases[i].move_weight;
        options.wait_weight = cases[i].wait_weight;
        options.buffer_weight = 0;
        planner = SparePlanner_New(&options);
        for (now_ms = 0; now_ms <= 10000 && first_move_ms < 0; now_ms += 250) {
            size_t count;
            SparePlanner_PlanMoves(planner, now_ms, pools, 2, moves, MAX_MOVES,
                                   &count);
            first_move_ms = count > 0 ? now_ms : -1;
        }
        /* The first call has no interval and adds no regret. */
        ck_assert_int_ge(first_move_ms, cases[i].first_move_ms);
        ck_assert_int_le(first_move_ms, cases[i].first_move_ms < 0
                                            ? -1
                                            : cases[i].first_move_ms + 250);
        SparePlanner_Free(planner);
    }
}
END_TEST

/* Guards against more VMs in transit than max_in_flight, and against more
 * moves than the output has room for. */
START_TEST(moves_in_flight_are_bounded)
{
    static const struct {
        uint32_t max_in_flight;
        uint32_t incoming;
        size_t max_moves;
        size_t max_count;
    } cases[] = {{4, 0, 8, 4}, {4, 3, 8, 1}, {4, 4, 8, 0},
                 {4, 9, 8, 0}, {8, 0, 2, 2}, {8, 0, 0, 0}};
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        SpareOptions options = SPARE_OPTIONS_DEFAULT;
        SparePool pools[4] = {
            make_pool("a", 20, 0, 0), make_pool("b", 4, 300, 32),
            make_pool("c", 20, 0, 0), make_pool("d", 4, 300, 32)};
        SpareMove moves[MAX_MOVES];
        SparePlanner *planner;
        int64_t now_ms;
        options.max_in_flight = cases[i].max_in_flight;
        planner = SparePlanner_New(&options);
        pools[0].incoming = cases[i].incoming;
        for (now_ms = 0; now_ms <= 3000; now_ms += 250) {
            size_t count;
            SparePlanner_PlanMoves(planner, now_ms, pools, 4, moves,
                                   cases[i].max_moves, &count);
            ck_assert_uint_le(count, cases[i].max_count);
        }
        SparePlanner_Free(planner);
    }
}
END_TEST

/* Guards against reading or writing out of bounds for too many pools or an
 * invalid name. */
START_TEST(invalid_input_is_refused)
{
    char long_name[SPARE_NAME_BYTES + 1];
    const char *names[] = {NULL, "", long_name};
    SparePool pools[MAX_POOLS + 1];
    SparePlanner *planner = new_planner();
    SpareMove moves[MAX_MOVES];
    size_t count = 7;
    size_t i;

    memset(long_name, 'x', SPARE_NAME_BYTES);
    long_name[SPARE_NAME_BYTES] = '\0';
    for (i = 0; i < 3; i++) {
        pools[0] = make_pool(names[i], 4, 100, 32);
        ck_assert_int_eq(SparePlanner_PlanMoves(planner, 0, pools, 1, moves,
                                                MAX_MOVES, &count),
                         ST_INVALID);
        ck_assert_uint_eq(count, 0);
    }
    for (i = 0; i <= MAX_POOLS; i++) {
        pools[i] = make_pool("a", 4, 100, 32);
    }
    ck_assert_int_eq(SparePlanner_PlanMoves(planner, 0, pools, MAX_POOLS + 1,
                                            moves, MAX_MOVES, &count),
                     ST_INVALID);
    ck_assert_int_eq(
        SparePlanner_PlanMoves(planner, 0, pools, 0, moves, MAX_MOVES, &count),
        ST_OK);
    SparePlanner_Free(planner);
}
END_TEST

/* Guards against regret that is attributed to another pool when the list of
 * pools changes. */
START_TEST(history_follows_pool_name)
{
    SparePool a = make_pool("a", 10, 0, 0);
    SparePool b = make_pool("b", 8, 10, 64);
    SparePool c = make_pool("c", 8, 10, 64);
    SparePool first[3] = {a, b, c};
    SparePool second[2] = {c, a};
    SparePlanner *planner = new_planner();
    SpareMove moves[MAX_MOVES];
    size_t count;
    int64_t now_ms;

    c.queued = 0;
    first[2] = c;
    for (now_ms = 0; now_ms < 1500; now_ms += 250) {
        SparePlanner_PlanMoves(planner, now_ms, first, 3, moves, MAX_MOVES,
                               &count);
        ck_assert_uint_eq(count, 0);
    }
    second[0].queued = 10;
    for (; now_ms < 3000; now_ms += 250) {
        SparePlanner_PlanMoves(planner, now_ms, second, 2, moves, MAX_MOVES,
                               &count);
        ck_assert_uint_eq(count, 0);
    }
    SparePlanner_Free(planner);
}
END_TEST

/* Guards against VMs that move back and forth between two pools whose queues
 * are noisy. */
START_TEST(noise_causes_no_early_reverse)
{
    int seed;

    for (seed = 1; seed <= 20; seed++) {
        SpareOptions options = SPARE_OPTIONS_DEFAULT;
        SparePool pools[2] = {make_pool("a", 10, 0, 0),
                              make_pool("b", 10, 0, 0)};
        int64_t last_move_ms[2] = {-1, -1};
        SpareMove moves[MAX_MOVES];
        SparePlanner *planner = new_planner();
        size_t count;
        int64_t now_ms;
        Rng rng;
        Rng_Seed(&rng, (uint64_t)seed);
        for (now_ms = 0; now_ms < 120000; now_ms += 250) {
            int busy_pool = (int)Rng_Below(&rng, 2);
            pools[busy_pool].queued = 400;
            pools[busy_pool].running = pools[busy_pool].size * 8;
            pools[1 - busy_pool].queued = 0;
            pools[1 - busy_pool].running = 0;
            SparePlanner_PlanMoves(planner, now_ms, pools, 2, moves, MAX_MOVES,
                                   &count);
            if (count > 0) {
                size_t from = moves[0].from;
                ck_assert(last_move_ms[1 - from] < 0 ||
                          now_ms - last_move_ms[1 - from] >=
                              options.reverse_block_ms);
                last_move_ms[from] = now_ms;
                pools[from].size -= (uint32_t)count;
                pools[1 - from].size += (uint32_t)count;
            }
        }
        SparePlanner_Free(planner);
    }
}
END_TEST

/* Checks the moves of one plan against the limits while applying them. */
static void
check_plan(SparePool *pools, size_t pool_count, const SpareMove *moves,
           size_t count, uint32_t max_in_flight)
{
    uint32_t in_flight = 0;
    size_t i;

    for (i = 0; i < pool_count; i++) {
        in_flight += pools[i].incoming;
    }
    for (i = 0; i < count; i++) {
        SparePool *from = &pools[moves[i].from];
        ck_assert_uint_ne(moves[i].from, moves[i].to);
        ck_assert_uint_gt(from->size, from->min_size);
        ck_assert_uint_gt(from->budget_left, 0);
        ck_assert_uint_gt(from->movable_count, 0);
        ck_assert_uint_eq(moves[i].vm, from->movable[0]);
        ck_assert_uint_lt(in_flight, max_in_flight);
        from->size--;
        from->budget_left--;
        from->movable++;
        from->movable_count--;
        pools[moves[i].to].incoming++;
        in_flight++;
    }
}

/* Guards against a violation of min_size, the budget or max_in_flight, or a VM
 * that is moved twice, for any input. */
START_TEST(random_inputs_respect_limits)
{
    static const char *const names[MAX_POOLS] = {"a", "b", "c", "d", "e", "f",
                                                 "g", "h", "i", "j", "k", "l"};
    size_t total = 0;
    uint64_t seed;

    for (seed = 1; seed <= 200; seed++) {
        SpareOptions options = SPARE_OPTIONS_DEFAULT;
        SpareMove moves[MAX_MOVES];
        SparePool pools[MAX_POOLS];
        SparePlanner *planner = new_planner();
        int64_t now_ms = 0;
        Rng rng;
        int call;

        Rng_Seed(&rng, seed);
        for (call = 0; call < 40; call++) {
            size_t pool_count = Rng_Below(&rng, MAX_POOLS + 1);
            size_t count;
            size_t i;
            for (i = 0; i < pool_count; i++) {
                pools[i] = make_pool(
                    names[(i + (Rng_Below(&rng, 8) == 0)) % MAX_POOLS],
                    Rng_Below(&rng, 20),
                    Rng_Below(&rng, 2) * Rng_Below(&rng, 500),
                    Rng_Below(&rng, 100));
                pools[i].min_size = Rng_Below(&rng, 20);
                pools[i].incoming = Rng_Below(&rng, 3);
                pools[i].slots_per_vm = Rng_Below(&rng, 9);
                pools[i].service_ms = Rng_Below(&rng, 2000);
                pools[i].budget_left = Rng_Below(&rng, 4);
                pools[i].movable_count = Rng_Below(&rng, 8);
                pools[i].spare = Rng_Below(&rng, 2) == 0;
            }
            now_ms += (int64_t)Rng_Below(&rng, 4000) - 200;
            ck_assert_int_eq(SparePlanner_PlanMoves(planner, now_ms, pools,
                                                    pool_count, moves,
                                                    MAX_MOVES, &count),
                             ST_OK);
            check_plan(pools, pool_count, moves, count, options.max_in_flight);
            total += count;
        }
        SparePlanner_Free(planner);
    }
    ck_assert_uint_gt(total, 200);
}
END_TEST

/* Guards against a planner that is no better than static pools or greedy moves
 * for the same demand. */
START_TEST(planner_beats_naive_policies)
{
    static SpareReport fixed;
    static SpareReport greedy;
    static SpareReport planned;
    static SpareReport smaller;
    SpareScenario scenarios[2] = {SpareScenario_GetHollis(),
                                  SpareScenario_GetAlliance()};
    uint64_t seed;
    int i;

    for (i = 0; i < 2; i++) {
        for (seed = 1; seed <= 3; seed++) {
            SpareDemand demand =
                SpareDemand_Generate(&scenarios[i], 900, seed);
            SpareModel_Run(&scenarios[i], &demand, 0, SPARE_STATIC, &fixed);
            SpareModel_Run(&scenarios[i], &demand, 0, SPARE_GREEDY, &greedy);
            SpareModel_Run(&scenarios[i], &demand, 0, SPARE_REGRET, &planned);
            SpareModel_Run(&scenarios[i], &demand, 3, SPARE_REGRET, &smaller);
            SpareDemand_Free(&demand);
            ck_assert_uint_eq(planned.violations + smaller.violations, 0);
            ck_assert_uint_eq(planned.reversed + smaller.reversed, 0);
            ck_assert_uint_lt(planned.moves * 2, greedy.moves);
            ck_assert_double_le(planned.shortfall, greedy.shortfall);
            /* With three fewer VMs in each pool, the p99 wait is no longer. */
            ck_assert_double_lt(smaller.idle_vm_s, fixed.idle_vm_s * 0.7);
            ck_assert_uint_le(Hist_Quantile(&smaller.wait_ms, 0.99),
                              Hist_Quantile(&fixed.wait_ms, 0.99));
        }
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("spare");
    TCase *tcase = tcase_create("cases");

    tcase_add_test(tcase, moves_respect_limits);
    tcase_add_test(tcase, regret_must_reach_the_cost);
    tcase_add_test(tcase, moves_in_flight_are_bounded);
    tcase_add_test(tcase, invalid_input_is_refused);
    tcase_add_test(tcase, history_follows_pool_name);
    tcase_add_test(tcase, noise_causes_no_early_reverse);
    tcase_add_test(tcase, random_inputs_respect_limits);
    tcase_add_test(tcase, planner_beats_naive_policies);
    suite_add_tcase(suite, tcase);
    return suite;
}
