#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "hist.h"
#include "rng.h"

static int
compare_values(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

/* Guards against quantiles that differ from those of a sorted array by more
 * than the error bound. */
START_TEST(quantiles_are_within_error_bound)
{
    static const double quantiles[] = {0.0, 0.01, 0.5, 0.9, 0.99, 0.999, 1.0};
    static const unsigned bits[] = {4, 7, 16, 30, 36};
    static uint64_t values[5000];
    static Hist hist;
    size_t count = sizeof(values) / sizeof(values[0]);
    size_t b;
    size_t i;
    Rng rng;

    Rng_Seed(&rng, 3);
    for (b = 0; b < sizeof(bits) / sizeof(bits[0]); b++) {
        Hist_Clear(&hist);
        for (i = 0; i < count; i++) {
            values[i] =
                (Rng_Next(&rng) >> (64 - bits[b])) >> Rng_Below(&rng, bits[b]);
            Hist_Record(&hist, values[i], 1);
        }
        qsort(values, count, sizeof(values[0]), compare_values);
        for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
            double rank = quantiles[i] * (double)count;
            size_t index = rank <= 1.0 ? 0 : (size_t)(rank - 1e-9);
            double expected = (double)values[index];
            double actual = (double)Hist_Quantile(&hist, quantiles[i]);
            ck_assert_msg(
                actual >= expected - expected / (double)HIST_SUB_BUCKETS &&
                    actual <= expected + expected / (double)HIST_SUB_BUCKETS,
                "bits %u q %g: %g for %g", bits[b], quantiles[i], actual,
                expected);
        }
    }
}
END_TEST

/* Guards against a merge that differs from recording all values in one
 * histogram. */
START_TEST(merge_matches_recording_in_one)
{
    static Hist all;
    static Hist parts[3];
    static Hist merged;
    Rng rng;
    int i;

    Rng_Seed(&rng, 4);
    Hist_Clear(&all);
    Hist_Clear(&merged);
    for (i = 0; i < 3; i++) {
        Hist_Clear(&parts[i]);
    }
    for (i = 0; i < 3000; i++) {
        uint64_t value = Rng_Next(&rng) >> (20 + Rng_Below(&rng, 44));
        Hist_Record(&all, value, 2);
        Hist_Record(&parts[Rng_Below(&rng, 2)], value, 2);
    }
    for (i = 2; i >= 0; i--) {
        Hist_Merge(&merged, &parts[i]);
    }
    ck_assert_mem_eq(merged.counts, all.counts, sizeof(all.counts));
    ck_assert_uint_eq(merged.total, all.total);
    ck_assert_uint_eq(merged.min, all.min);
    ck_assert_uint_eq(merged.max, all.max);
    ck_assert_uint_eq(merged.overflow, all.overflow);
    ck_assert_uint_gt(all.overflow, 0);
}
END_TEST

/* Guards against wrong results for values at bucket edges, out of range, or
 * not recorded at all. */
START_TEST(edge_values_are_exact)
{
    static Hist hist;
    static const struct {
        uint64_t value;
        uint64_t count;
        uint64_t median;
    } cases[] = {
        {0, 1, 0},
        {1, 1, 1},
        {63, 1, 63},
        {64, 1, 64},
        {HIST_MAX_VALUE - 1, 1, HIST_MAX_VALUE - 1},
        {HIST_MAX_VALUE, 1, HIST_MAX_VALUE},
        {UINT64_MAX, 1, UINT64_MAX},
        {7, 0, 0},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Hist_Clear(&hist);
        Hist_Record(&hist, cases[i].value, cases[i].count);
        ck_assert_uint_eq(Hist_Quantile(&hist, 0.5), cases[i].median);
        ck_assert_uint_eq(hist.total, cases[i].count);
    }
    Hist_Clear(&hist);
    ck_assert_double_eq(Hist_Mean(&hist), 0.0);
    Hist_Record(&hist, 10, 1);
    Hist_Record(&hist, 20, 3);
    ck_assert_double_eq(Hist_Mean(&hist), 17.5);
    ck_assert_uint_le(HIST_BYTES, 8400);
}
END_TEST

/* Guards against a counter that wraps around, and against a write out of
 * range. */
START_TEST(counters_saturate)
{
    static const char *const names[] = {"requests", "refused"};
    uint64_t values[2] = {0, UINT64_MAX - 1};
    HistCounters counters = {names, values, 2};
    Buf out = BUF_INIT;

    Hist_AddToCounter(&counters, 0, 5);
    Hist_AddToCounter(&counters, 1, 5);
    Hist_AddToCounter(&counters, 2, 5);
    Hist_FormatCounters(&counters, &out);
    ck_assert_str_eq(Buf_Text(&out),
                     "requests 5\nrefused 18446744073709551615\n");
    Buf_Free(&out);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("hist");
    TCase *tcase = tcase_create("cases");

    tcase_add_test(tcase, quantiles_are_within_error_bound);
    tcase_add_test(tcase, merge_matches_recording_in_one);
    tcase_add_test(tcase, edge_values_are_exact);
    tcase_add_test(tcase, counters_saturate);
    suite_add_tcase(suite, tcase);
    return suite;
}
