#include "support.h"
#include "support_spare.h"

#include <stdio.h>
#include <string.h>

#include "rng.h"

#define MAX_POOLS 12
#define MAX_MOVES 8

static const uint32_t vms[64] = {70, 71, 72, 73, 74, 75, 76, 77};

static SparePool
pool(const char *name, uint32_t size, uint32_t queued, uint32_t running)
{
    SparePool made = {.name = name,
                      .size = size,
                      .min_size = 2,
                      .slots_per_vm = 8,
                      .queued = queued,
                      .running = running,
                      .service_ms = 400,
                      .budget_left = 3,
                      .movable = vms,
                      .movable_count = size};

    return made;
}

static Spare *
new_spare(void)
{
    SpareOptions options = SPARE_OPTIONS_DEFAULT;

    options.max_pools = MAX_POOLS;
    return Spare_New(&options);
}

/* Plans for two pools, "a" resting and "b" short, until the first moves. */
static size_t
plan_two(SparePool a, SparePool b, SpareMove *moves)
{
    Spare *spare = new_spare();
    SparePool pools[2] = {a, b};
    size_t count = 0;
    int i;

    for (i = 0; i < 40 && count == 0; i++) {
        ck_assert_int_eq(
            Spare_Plan(spare, i * 250, pools, 2, moves, MAX_MOVES, &count),
            ST_OK);
    }
    Spare_Free(spare);
    return count;
}

/* Guards against moves that break a limit of the donor, or that do not help
 * the receiver. */
START_TEST(limits_of_a_move)
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
        {"lent up to the budget", 10, 2, 0, 0, 3, 10, 100, 0, 3},
        {"budget of one", 10, 2, 0, 0, 1, 10, 100, 0, 1},
        {"no budget", 10, 2, 0, 0, 0, 10, 100, 0, 0},
        {"min_size reached", 10, 10, 0, 0, 3, 10, 100, 0, 0},
        {"one above min_size", 10, 9, 0, 0, 3, 10, 100, 0, 1},
        {"below min_size", 5, 9, 0, 0, 3, 5, 100, 0, 0},
        {"no VM may move", 10, 2, 0, 0, 3, 0, 100, 0, 0},
        {"one VM may move", 10, 2, 0, 0, 3, 1, 100, 0, 1},
        {"donor is busy", 10, 2, 0, 80, 3, 10, 100, 0, 0},
        {"donor has one VM idle", 10, 2, 0, 72, 3, 10, 100, 0, 1},
        {"donor has waiting work", 10, 2, 5, 20, 3, 10, 100, 0, 0},
        {"no work waits", 10, 2, 0, 0, 3, 10, 0, 0, 0},
        {"VMs are on their way", 10, 2, 0, 0, 3, 10, 100, 8, 0},
        {"empty donor", 0, 0, 0, 0, 3, 0, 100, 0, 0},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        SparePool a =
            pool("a", cases[i].a_size, cases[i].a_queued, cases[i].a_running);
        SparePool b = pool("b", 8, cases[i].b_queued, 64);
        SpareMove moves[MAX_MOVES];
        size_t count;
        size_t m;
        a.min_size = cases[i].a_min;
        a.budget_left = cases[i].a_budget;
        a.movable_count = cases[i].a_movable;
        b.incoming = cases[i].b_incoming;
        count = plan_two(a, b, moves);
        ck_assert_msg(cases[i].moves == 0
                          ? count == 0
                          : count >= 1 && count <= cases[i].moves,
                      "%s: %zu moves", cases[i].name, count);
        for (m = 0; m < count; m++) {
            ck_assert_uint_eq(moves[m].from, 0);
            ck_assert_uint_eq(moves[m].to, 1);
            ck_assert_uint_eq(moves[m].vm, vms[m]);
            ck_assert(moves[m].regret >= moves[m].cost);
            ck_assert_ptr_nonnull(strstr(moves[m].reason, "100 requests"));
        }
    }
}
END_TEST

/* Guards against a move before standing still has cost as much, and against
 * weights without effect. */
START_TEST(regret_must_exceed_the_cost)
{
    static const struct {
        double move_weight;
        double wait_weight;
        int64_t first_at; /* ms, -1 for never within 10 s */
    } cases[] = {
        {20, 1, 2000}, {40, 1, 4000}, {20, 4, 500}, {0, 1, 0}, {1000, 1, -1},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        SpareOptions options = SPARE_OPTIONS_DEFAULT;
        SparePool pools[2] = {pool("a", 10, 0, 0), pool("b", 8, 10, 64)};
        SpareMove moves[MAX_MOVES];
        int64_t first_at = -1;
        int64_t now;
        Spare *spare;
        options.move_weight = cases[i].move_weight;
        options.wait_weight = cases[i].wait_weight;
        options.buffer_weight = 0;
        spare = Spare_New(&options);
        for (now = 0; now <= 10000 && first_at < 0; now += 250) {
            size_t count;
            Spare_Plan(spare, now, pools, 2, moves, MAX_MOVES, &count);
            first_at = count > 0 ? now : -1;
        }
        /* The first call has no interval, so there is no regret yet. */
        ck_assert_int_ge(first_at, cases[i].first_at);
        ck_assert_int_le(first_at,
                         cases[i].first_at < 0 ? -1 : cases[i].first_at + 250);
        Spare_Free(spare);
    }
}
END_TEST

/* Guards against more VMs on their way than allowed, and a written list that
 * is too short. */
START_TEST(moves_in_flight_are_bounded)
{
    static const struct {
        uint32_t max_in_flight;
        uint32_t incoming;
        size_t max_moves;
        size_t most;
    } cases[] = {{4, 0, 8, 4}, {4, 3, 8, 1}, {4, 4, 8, 0},
                 {4, 9, 8, 0}, {8, 0, 2, 2}, {8, 0, 0, 0}};
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        SpareOptions options = SPARE_OPTIONS_DEFAULT;
        SparePool pools[4] = {pool("a", 20, 0, 0), pool("b", 4, 300, 32),
                              pool("c", 20, 0, 0), pool("d", 4, 300, 32)};
        SpareMove moves[MAX_MOVES];
        Spare *spare;
        int64_t now;
        options.max_in_flight = cases[i].max_in_flight;
        spare = Spare_New(&options);
        pools[0].incoming = cases[i].incoming;
        for (now = 0; now <= 3000; now += 250) {
            size_t count;
            Spare_Plan(spare, now, pools, 4, moves, cases[i].max_moves,
                       &count);
            ck_assert_uint_le(count, cases[i].most);
        }
        Spare_Free(spare);
    }
}
END_TEST

/* Guards against input that is read past its bounds. */
START_TEST(input_is_checked)
{
    char long_name[SPARE_NAME_BYTES + 1];
    const char *names[] = {NULL, "", long_name};
    SparePool pools[MAX_POOLS + 1];
    Spare *spare = new_spare();
    SpareMove moves[MAX_MOVES];
    size_t count = 7;
    size_t i;

    memset(long_name, 'x', SPARE_NAME_BYTES);
    long_name[SPARE_NAME_BYTES] = '\0';
    for (i = 0; i < 3; i++) {
        pools[0] = pool(names[i], 4, 100, 32);
        ck_assert_int_eq(
            Spare_Plan(spare, 0, pools, 1, moves, MAX_MOVES, &count),
            ST_INVALID);
        ck_assert_uint_eq(count, 0);
    }
    for (i = 0; i <= MAX_POOLS; i++) {
        pools[i] = pool("a", 4, 100, 32);
    }
    ck_assert_int_eq(
        Spare_Plan(spare, 0, pools, MAX_POOLS + 1, moves, MAX_MOVES, &count),
        ST_INVALID);
    ck_assert_int_eq(Spare_Plan(spare, 0, pools, 0, moves, MAX_MOVES, &count),
                     ST_OK);
    Spare_Free(spare);
}
END_TEST

/* Guards against regret that is charged to another pool when the list of
 * pools changes. */
START_TEST(memory_follows_the_name)
{
    SparePool a = pool("a", 10, 0, 0);
    SparePool b = pool("b", 8, 10, 64);
    SparePool c = pool("c", 8, 10, 64);
    SparePool first[3] = {a, b, c};
    SparePool second[2] = {c, a};
    Spare *spare = new_spare();
    SpareMove moves[MAX_MOVES];
    size_t count;
    int64_t now;

    c.queued = 0;
    first[2] = c;
    for (now = 0; now < 1500; now += 250) {
        Spare_Plan(spare, now, first, 3, moves, MAX_MOVES, &count);
        ck_assert_uint_eq(count, 0);
    }
    second[0].queued = 10;
    for (; now < 3000; now += 250) {
        Spare_Plan(spare, now, second, 2, moves, MAX_MOVES, &count);
        ck_assert_uint_eq(count, 0);
    }
    Spare_Free(spare);
}
END_TEST

/* Guards against two pools whose noisy queues pass VMs back and forth. */
START_TEST(two_pools_do_not_trade)
{
    int seed;

    for (seed = 1; seed <= 20; seed++) {
        SpareOptions options = SPARE_OPTIONS_DEFAULT;
        SparePool pools[2] = {pool("a", 10, 0, 0), pool("b", 10, 0, 0)};
        int64_t moved[2] = {-1, -1};
        SpareMove moves[MAX_MOVES];
        Spare *spare = new_spare();
        size_t count;
        int64_t now;
        Rng rng;
        Rng_Seed(&rng, (uint64_t)seed);
        for (now = 0; now < 120000; now += 250) {
            int short_one = (int)Rng_Below(&rng, 2);
            pools[short_one].queued = 400;
            pools[short_one].running = pools[short_one].size * 8;
            pools[1 - short_one].queued = 0;
            pools[1 - short_one].running = 0;
            Spare_Plan(spare, now, pools, 2, moves, MAX_MOVES, &count);
            if (count > 0) {
                size_t from = moves[0].from;
                ck_assert(moved[1 - from] < 0 ||
                          now - moved[1 - from] >= options.trade_ms);
                moved[from] = now;
                pools[from].size -= (uint32_t)count;
                pools[1 - from].size += (uint32_t)count;
            }
        }
        Spare_Free(spare);
    }
}
END_TEST

/* Checks one plan over random pools, and carries it out. */
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

/* Guards against a broken min_size, budget or bound, or a VM that is moved
 * twice, for any input. */
START_TEST(random_inputs_break_no_limit)
{
    static const char *const names[MAX_POOLS] = {"a", "b", "c", "d", "e", "f",
                                                 "g", "h", "i", "j", "k", "l"};
    size_t total = 0;
    uint64_t seed;

    for (seed = 1; seed <= 200; seed++) {
        SpareOptions options = SPARE_OPTIONS_DEFAULT;
        SpareMove moves[MAX_MOVES];
        SparePool pools[MAX_POOLS];
        Spare *spare = new_spare();
        int64_t now = 0;
        Rng rng;
        int call;

        Rng_Seed(&rng, seed);
        for (call = 0; call < 40; call++) {
            size_t pool_count = Rng_Below(&rng, MAX_POOLS + 1);
            size_t count;
            size_t i;
            for (i = 0; i < pool_count; i++) {
                pools[i] =
                    pool(names[(i + (Rng_Below(&rng, 8) == 0)) % MAX_POOLS],
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
            now += (int64_t)Rng_Below(&rng, 4000) - 200;
            ck_assert_int_eq(Spare_Plan(spare, now, pools, pool_count, moves,
                                        MAX_MOVES, &count),
                             ST_OK);
            check_plan(pools, pool_count, moves, count, options.max_in_flight);
            total += count;
        }
        Spare_Free(spare);
    }
    ck_assert_uint_gt(total, 200);
}
END_TEST

/* Guards against a rule that is no better than static pools or greedy moves
 * on the same demand. */
START_TEST(rule_beats_the_naive_planners)
{
    static SpareReport fixed;
    static SpareReport greedy;
    static SpareReport rule;
    static SpareReport smaller;
    SpareUser users[2] = {SpareUser_Hollis(), SpareUser_Alliance()};
    uint64_t seed;
    int u;

    for (u = 0; u < 2; u++) {
        for (seed = 1; seed <= 3; seed++) {
            SpareDemand demand = SpareDemand_Record(&users[u], 900, seed);
            SpareModel_Run(&users[u], &demand, 0, SPARE_STATIC, &fixed);
            SpareModel_Run(&users[u], &demand, 0, SPARE_GREEDY, &greedy);
            SpareModel_Run(&users[u], &demand, 0, SPARE_RULE, &rule);
            SpareModel_Run(&users[u], &demand, 3, SPARE_RULE, &smaller);
            SpareDemand_Free(&demand);
            ck_assert_uint_eq(rule.broken + smaller.broken, 0);
            ck_assert_uint_eq(rule.reversed + smaller.reversed, 0);
            ck_assert_uint_lt(rule.moves * 2, greedy.moves);
            ck_assert_double_le(rule.shortfall, greedy.shortfall);
            /* Three VMs less in each pool, and still less waiting. */
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

    tcase_add_test(tcase, limits_of_a_move);
    tcase_add_test(tcase, regret_must_exceed_the_cost);
    tcase_add_test(tcase, moves_in_flight_are_bounded);
    tcase_add_test(tcase, input_is_checked);
    tcase_add_test(tcase, memory_follows_the_name);
    tcase_add_test(tcase, two_pools_do_not_trade);
    tcase_add_test(tcase, random_inputs_break_no_limit);
    tcase_add_test(tcase, rule_beats_the_naive_planners);
    suite_add_tcase(suite, tcase);
    return suite;
}
