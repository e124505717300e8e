#include <check.h>

#include "httpbudget.h"
#include "support.h"

#define HOLDERS 5

typedef struct World {
    HttpBudget budget;
    HttpHolder holders[HOLDERS];
} World;

/* Opens the connections, one each ms from 0 on. */
static void
open_holders(World *world, size_t max_connections, size_t max_bytes)
{
    size_t i;

    *world = (World){.budget = {.max_connections = max_connections,
                                .max_bytes = max_bytes,
                                .header_timeout_ms = HTTP_BUDGET_IDLE_MS,
                                .body_timeout_ms = HTTP_BUDGET_IDLE_MS}};
    for (i = 0; i < HOLDERS; i++) {
        HttpBudget_Open(&world->budget, &world->holders[i], (int64_t)i);
    }
}

/* Guards against a crowd that keeps others out, and against closing a
 * connection whose request may have run. */
START_TEST(longest_without_progress_is_closed_for_connections)
{
    World world;
    HttpHolder *excess;

    open_holders(&world, HOLDERS - 1, 1000);
    HttpBudget_SetState(&world.budget, &world.holders[0], HTTP_HOLDER_BUSY, 9);
    HttpBudget_SetState(&world.budget, &world.holders[1], HTTP_HOLDER_READING,
                        10);
    excess = HttpBudget_FindExcess(&world.budget, &world.holders[4]);
    ck_assert_ptr_eq(excess, &world.holders[2]);
    HttpBudget_Close(&world.budget, excess);
    ck_assert_ptr_null(
        HttpBudget_FindExcess(&world.budget, &world.holders[4]));
    HttpBudget_Close(&world.budget, excess);
    ck_assert_uint_eq(world.budget.connections, HOLDERS - 1);
}
END_TEST

START_TEST(newest_is_closed_if_all_others_are_busy)
{
    World world;
    size_t i;

    open_holders(&world, HOLDERS - 1, 1000);
    for (i = 0; i < HOLDERS - 1; i++) {
        HttpBudget_SetState(&world.budget, &world.holders[i], HTTP_HOLDER_BUSY,
                            10);
    }
    ck_assert_ptr_eq(HttpBudget_FindExcess(&world.budget, &world.holders[4]),
                     &world.holders[4]);
}
END_TEST

/* Cases of two connections that hold bytes, and a third that wants some. */
static const struct {
    HttpHolderState states[2];
    int64_t progress_ms[2];
    int64_t now;
    int chosen; /* -1: none */
} inactive_cases[] = {
    {{HTTP_HOLDER_READING, HTTP_HOLDER_READING}, {100, 200}, 300, -1},
    {{HTTP_HOLDER_READING, HTTP_HOLDER_READING}, {100, 200}, 1100, 0},
    {{HTTP_HOLDER_READING, HTTP_HOLDER_READING}, {200, 100}, 1200, 1},
    {{HTTP_HOLDER_BUSY, HTTP_HOLDER_READING}, {100, 200}, 1200, 1},
    {{HTTP_HOLDER_BUSY, HTTP_HOLDER_BUSY}, {100, 200}, 9000, -1},
    {{HTTP_HOLDER_SENDING, HTTP_HOLDER_READING}, {100, 200}, 9000, 0},
    {{HTTP_HOLDER_READING, HTTP_HOLDER_SENDING}, {200, 100}, 9000, 1},
    /* Both still make progress; the request of the first began at 0. */
    {{HTTP_HOLDER_READING, HTTP_HOLDER_BUSY}, {29990, 29991}, 29999, -1},
    {{HTTP_HOLDER_READING, HTTP_HOLDER_BUSY}, {29990, 29991}, 30000, 0},
};

/* Guards against a bound on bytes that closes clients within the limits while
 * others hold bytes without progress. */
START_TEST(inactive_is_closed_for_bytes)
{
    size_t older =
        inactive_cases[_i].progress_ms[0] > inactive_cases[_i].progress_ms[1];
    World world;
    HttpHolder *found;
    size_t i;

    open_holders(&world, HOLDERS, 1000);
    for (i = 0; i < 2; i++) {
        size_t at = i == 0 ? older : 1 - older;
        HttpBudget_SetState(&world.budget, &world.holders[at],
                            inactive_cases[_i].states[at],
                            inactive_cases[_i].progress_ms[at]);
        HttpBudget_SetBytes(&world.budget, &world.holders[at], 500);
    }
    HttpBudget_SetState(&world.budget, &world.holders[2], HTTP_HOLDER_READING,
                        inactive_cases[_i].now);
    ck_assert(!HttpBudget_HasRoom(&world.budget, 1));
    found = HttpBudget_FindInactive(&world.budget, &world.holders[2],
                                    inactive_cases[_i].now);
    ck_assert_ptr_eq(found, inactive_cases[_i].chosen < 0
                                ? NULL
                                : &world.holders[inactive_cases[_i].chosen]);
}
END_TEST

START_TEST(bytes_are_counted_and_released)
{
    World world;

    open_holders(&world, HOLDERS, 1000);
    HttpBudget_SetBytes(&world.budget, &world.holders[0], 600);
    HttpBudget_SetBytes(&world.budget, &world.holders[1], 400);
    HttpBudget_SetBytes(&world.budget, &world.holders[0], 100);
    ck_assert_uint_eq(world.budget.bytes, 500);
    ck_assert(HttpBudget_HasRoom(&world.budget, 500));
    ck_assert(!HttpBudget_HasRoom(&world.budget, 501));
    HttpBudget_Close(&world.budget, &world.holders[1]);
    HttpBudget_SetBytes(&world.budget, &world.holders[1], 400);
    ck_assert_uint_eq(world.budget.bytes, 100);
}
END_TEST

/* Guards against headers that never end and bodies that stop, and against
 * closing connections that wait for a next request. */
START_TEST(connections_without_progress_time_out)
{
    World world;

    open_holders(&world, HOLDERS, 1000);
    HttpBudget_SetState(&world.budget, &world.holders[0], HTTP_HOLDER_KEPT, 0);
    HttpBudget_SetState(&world.budget, &world.holders[1], HTTP_HOLDER_READING,
                        10);
    HttpBudget_SetState(&world.budget, &world.holders[2], HTTP_HOLDER_BUSY, 0);
    HttpBudget_Close(&world.budget, &world.holders[4]);
    ck_assert_ptr_null(
        HttpBudget_FindTimedOut(&world.budget, HTTP_BUDGET_IDLE_MS + 2));
    ck_assert_ptr_eq(
        HttpBudget_FindTimedOut(&world.budget, HTTP_BUDGET_IDLE_MS + 3),
        &world.holders[3]);
    HttpBudget_Close(&world.budget, &world.holders[3]);
    ck_assert_ptr_eq(
        HttpBudget_FindTimedOut(&world.budget, HTTP_BUDGET_IDLE_MS + 10),
        &world.holders[1]);
    HttpBudget_Close(&world.budget, &world.holders[1]);
    ck_assert_ptr_null(
        HttpBudget_FindTimedOut(&world.budget, 10 * HTTP_BUDGET_IDLE_MS));
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("httpbudget");
    TCase *tcase = tcase_create("budget");

    tcase_add_test(tcase, longest_without_progress_is_closed_for_connections);
    tcase_add_test(tcase, newest_is_closed_if_all_others_are_busy);
    tcase_add_loop_test(tcase, inactive_is_closed_for_bytes, 0,
                        sizeof(inactive_cases) / sizeof(inactive_cases[0]));
    tcase_add_test(tcase, bytes_are_counted_and_released);
    tcase_add_test(tcase, connections_without_progress_time_out);
    suite_add_tcase(suite, tcase);
    return suite;
}
