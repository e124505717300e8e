#include "support.h"
#include "table.h"

/* Guards against accepting a handle whose row was freed and reused. */
START_TEST(stale_handle_is_detected)
{
    Table *table = Table_New(sizeof(int), 4);
    Handle first = Table_Add(table);
    Handle second;

    ck_assert(Table_Get(table, first) != NULL);
    ck_assert(Table_Remove(table, first));
    ck_assert(Table_Get(table, first) == NULL);
    second = Table_Add(table);
    ck_assert_uint_eq(second.index, first.index);
    ck_assert(Table_Get(table, first) == NULL);
    ck_assert(!Table_Remove(table, first));
    ck_assert(Table_Get(table, second) != NULL);
    Table_Free(table);
}
END_TEST

START_TEST(handle_of_earlier_incarnation_is_stale)
{
    Table *earlier = Table_NewSeeded(sizeof(int), 4, 0x100000001);
    Table *table = Table_NewSeeded(sizeof(int), 4, 0xfffffffe00000007);
    Handle handle = Table_Add(earlier);

    ck_assert(!Handle_IsNone(Table_Add(table)));
    ck_assert(Table_Get(earlier, handle) != NULL);
    ck_assert(Table_Get(table, handle) == NULL);
    Table_Free(earlier);
    Table_Free(table);
}
END_TEST

/* Guards against a table that grows beyond its maximum. */
START_TEST(full_table_rejects_rows)
{
    Table *table = Table_New(sizeof(int), 3);
    uint32_t cursor = 0;
    int i;

    for (i = 0; i < 3; i++) {
        ck_assert(!Handle_IsNone(Table_Add(table)));
    }
    ck_assert(Handle_IsNone(Table_Add(table)));
    ck_assert_uint_eq(Table_Count(table), 3);
    for (i = 0; !Handle_IsNone(Table_Next(table, &cursor)); i++) {
    }
    ck_assert_int_eq(i, 3);
    Table_Free(table);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("table");
    TCase *tcase = tcase_create("handles");

    tcase_add_test(tcase, stale_handle_is_detected);
    tcase_add_test(tcase, handle_of_earlier_incarnation_is_stale);
    tcase_add_test(tcase, full_table_rejects_rows);
    suite_add_tcase(suite, tcase);
    return suite;
}
