#include "keymap.h"
#include "rng.h"
#include "support.h"
#include "wheel.h"

#define KEY_COUNT 300

/* Guards against entries that are lost or left behind when a removal shifts
 * other entries back. */
START_TEST(keymap_equals_array)
{
    Keymap *map = Keymap_New();
    uint32_t values[KEY_COUNT] = {0}; /* 0 for an absent key */
    uint32_t count = 0;
    int mismatches = 0;
    Rng rng;
    int i;

    Rng_Seed(&rng, 7);
    for (i = 0; i < 200000; i++) {
        uint32_t key = Rng_Below(&rng, KEY_COUNT);
        uint32_t value = 0;
        if (Rng_Below(&rng, 2)) {
            count += values[key] == 0;
            values[key] = (uint32_t)i + 1;
            Keymap_Put(map, key * 64 + 1, values[key]);
        }
        else {
            bool was_present = values[key] != 0;
            mismatches += Keymap_Remove(map, key * 64 + 1) != was_present;
            count -= was_present;
            values[key] = 0;
        }
        key = Rng_Below(&rng, KEY_COUNT);
        mismatches +=
            Keymap_Get(map, key * 64 + 1, &value) != (values[key] != 0);
        mismatches += value != values[key];
        mismatches += Keymap_Count(map) != count;
    }
    ck_assert_int_eq(mismatches, 0);
    Keymap_Free(map);
}
END_TEST

#define ITEM_COUNT 64

/* Guards against deadlines that fire early, late, twice or not at all, also
 * when the clock jumps by more than one rotation of the wheel. */
START_TEST(wheel_equals_scan)
{
    Wheel *wheel = Wheel_New();
    int64_t due[ITEM_COUNT];
    int64_t now = 1000;
    Rng rng;
    int late = 0;
    int round;
    int i;

    Rng_Seed(&rng, 8);
    for (i = 0; i < ITEM_COUNT; i++) {
        due[i] = -1;
    }
    for (round = 0; round < 50000; round++) {
        uint32_t item = Rng_Below(&rng, ITEM_COUNT);
        uint32_t op = Rng_Below(&rng, 4);
        if (op < 2 && due[item] < 0) {
            due[item] = now - 5 + Rng_Below(&rng, op == 0 ? 100 : 20000);
            Wheel_Add(wheel, item, due[item]);
        }
        else if (op == 2) {
            due[item] = -1;
            Wheel_Remove(wheel, item);
        }
        else {
            now += Rng_Below(&rng, round % 50 == 0 ? 30000 : 60);
            while (Wheel_TakeDue(wheel, now, &item)) {
                ck_assert(due[item] >= 0 && due[item] <= now);
                due[item] = -1;
            }
            for (i = 0; i < ITEM_COUNT; i++) {
                late += due[i] >= 0 && due[i] <= now;
            }
        }
    }
    ck_assert_int_eq(late, 0);
    Wheel_Free(wheel);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("keymap");
    TCase *tcase = tcase_create("differential");

    tcase_add_test(tcase, keymap_equals_array);
    tcase_add_test(tcase, wheel_equals_scan);
    suite_add_tcase(suite, tcase);
    return suite;
}
