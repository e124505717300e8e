#include "support.h"

#include <jansson.h>
#include <string.h>

#include "burn.h"
#include "rng.h"

static Burn *
new_burn(void)
{
    BurnOptions options = BURN_OPTIONS_DEFAULT;

    options.bucket_ms = 1000;
    options.short_ms = 10000;
    options.long_ms = 60000;
    options.max_services = 2;
    return Burn_New(&options);
}

/* Guards against a rate that differs from its definition, or that includes
 * requests from before the window. */
START_TEST(rates_follow_window_contents)
{
    static const struct {
        int64_t recorded_ms; /* time of 90 good and 10 bad requests */
        int64_t queried_ms;
        double recent;
        double whole;
        bool alert;
    } cases[] = {
        {0, 0, 10.0, 10.0, true},           {500, 9999, 10.0, 10.0, true},
        {0, 10000, 0.0, 10.0, false},       {0, 59999, 0.0, 10.0, false},
        {0, 60000, 0.0, 0.0, false},        {0, 6000000, 0.0, 0.0, false},
        {70000, 70000, 10.0, 10.0, true},   {70999, 80000, 0.0, 10.0, false},
        {1000000, 999000, 0.0, 0.0, false}, /* clock step backwards */
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        BurnOptions options = BURN_OPTIONS_DEFAULT;
        BurnRate rate;
        size_t index;
        Burn *burn;
        int n;

        options.bucket_ms = 1000;
        options.short_ms = 10000;
        options.long_ms = 60000;
        options.alert_rate = 9.9;
        burn = Burn_New(&options);
        ck_assert_int_eq(Burn_SetObjective(burn, "a", 100, 99.0, &index),
                         ST_OK);
        for (n = 0; n < 100; n++) {
            /* Half of the bad requests are slow, the others failed. */
            Burn_RecordRequest(burn, cases[i].recorded_ms, index,
                               n < 5 ? 101 : 100, n >= 10 || n < 5);
        }
        rate = Burn_GetRate(burn, cases[i].queried_ms, index);
        ck_assert_double_eq_tol(rate.recent.rate, cases[i].recent, 1e-9);
        ck_assert_double_eq_tol(rate.whole.rate, cases[i].whole, 1e-9);
        ck_assert_int_eq(rate.alert, cases[i].alert);
        Burn_Free(burn);
    }
}
END_TEST

/* Guards against counts of the ring buffer that differ from those of a list of
 * all requests. */
START_TEST(ring_matches_request_list)
{
    static int64_t times[4000];
    static bool bad[4000];
    Burn *burn = new_burn();
    int64_t now_ms = 0;
    size_t index;
    Rng rng;
    int n;
    int i;

    Rng_Seed(&rng, 5);
    Burn_SetObjective(burn, "a", 100, 99.0, &index);
    for (n = 0; n < 4000; n++) {
        uint64_t good_count = 0;
        uint64_t bad_count = 0;
        BurnRate rate;

        now_ms += Rng_Below(&rng, 100) == 0 ? Rng_Below(&rng, 90000)
                                            : Rng_Below(&rng, 200);
        times[n] = now_ms;
        bad[n] = Rng_Below(&rng, 10) == 0;
        Burn_RecordRequest(burn, now_ms, index, 1, !bad[n]);
        if (n % 50 != 0) {
            continue;
        }
        for (i = 0; i <= n; i++) {
            if (times[i] / 1000 > now_ms / 1000 - 60) {
                bad_count += bad[i];
                good_count += !bad[i];
            }
        }
        rate = Burn_GetRate(burn, now_ms, index);
        ck_assert_uint_eq(rate.whole.good, good_count);
        ck_assert_uint_eq(rate.whole.bad, bad_count);
    }
    Burn_Free(burn);
}
END_TEST

/* Guards against objectives that make the rate meaningless. */
START_TEST(objectives_are_checked)
{
    static const struct {
        const char *name;
        int64_t slo_ms;
        double percent;
        Status status;
    } cases[] = {
        {"a", 100, 99.0, ST_OK},         {"a", 0, 99.0, ST_INVALID},
        {"a", 100, 100.0, ST_INVALID},   {"a", 100, 0.0, ST_INVALID},
        {"", 100, 99.0, ST_INVALID},     {"a\n", 100, 99.0, ST_INVALID},
        {"\xff", 100, 99.0, ST_INVALID}, {"a", 200, 99.9, ST_OK},
        {"b", 100, 99.0, ST_OK},         {"c", 100, 99.0, ST_FULL},
    };
    Burn *burn = new_burn();
    size_t index;
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        ck_assert_int_eq(Burn_SetObjective(burn, cases[i].name,
                                           cases[i].slo_ms, cases[i].percent,
                                           &index),
                         cases[i].status);
    }
    ck_assert_int_eq(Burn_FindService(burn, "b", &index), ST_OK);
    ck_assert_uint_eq(index, 1);
    ck_assert_int_eq(Burn_FindService(burn, "z", &index), ST_NOT_FOUND);
    Burn_RecordRequest(burn, 0, 7, 1, true);
    Burn_RecordRequest(burn, -1, 0, 1, true);
    ck_assert_uint_eq(Burn_GetRate(burn, 0, 7).whole.good, 0);
    Burn_Free(burn);
}
END_TEST

/* Guards against window lengths that do not fit the ring buffer. */
START_TEST(options_are_checked)
{
    static const int64_t cases[][4] = {
        /* bucket, short, long, accepted */
        {1000, 10000, 60000, 1}, {0, 10000, 60000, 0},
        {1000, 500, 60000, 0},   {1000, 90000, 60000, 0},
        {1000, 1500, 60000, 0},  {1000, 10000, 60500, 0},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        BurnOptions options = BURN_OPTIONS_DEFAULT;
        Burn *burn;
        options.bucket_ms = cases[i][0];
        options.short_ms = cases[i][1];
        options.long_ms = cases[i][2];
        burn = Burn_New(&options);
        ck_assert_int_eq(burn != NULL, cases[i][3]);
        Burn_Free(burn);
    }
}
END_TEST

/* Guards against reports that omit a service, have an invalid format, or refer
 * to other files. */
START_TEST(reports_are_valid)
{
    Burn *burn = new_burn();
    Buf out = BUF_INIT;
    json_t *root;
    json_t *service;
    size_t index;
    int n;

    Burn_SetObjective(burn, "<pay & go>", 100, 99.0, &index);
    for (n = 0; n < 100; n++) {
        Burn_RecordRequest(burn, 1000, index, 1, n >= 20);
    }
    Burn_ReportText(burn, 1000, &out);
    ck_assert_ptr_nonnull(strstr(Buf_Text(&out), "20.00"));
    ck_assert_ptr_nonnull(strstr(Buf_Text(&out), "ALERT"));
    Buf_Clear(&out);
    ck_assert_int_eq(Burn_ReportJson(burn, 1000, &out), ST_OK);
    root = json_loads(Buf_Text(&out), 0, NULL);
    ck_assert_ptr_nonnull(root);
    service = json_array_get(json_object_get(root, "services"), 0);
    ck_assert_str_eq(json_string_value(json_object_get(service, "service")),
                     "<pay & go>");
    ck_assert(json_is_true(json_object_get(service, "alert")));
    ck_assert_double_eq_tol(
        json_real_value(
            json_object_get(json_object_get(service, "short"), "burn_rate")),
        20.0, 1e-9);
    json_decref(root);
    Buf_Clear(&out);
    Burn_ReportHtml(burn, 1000, &out);
    ck_assert_ptr_nonnull(strstr(Buf_Text(&out), "&lt;pay &amp; go&gt;"));
    ck_assert_ptr_nonnull(strstr(Buf_Text(&out), "<svg "));
    ck_assert_ptr_null(strstr(Buf_Text(&out), "<pay"));
    ck_assert_ptr_null(strstr(Buf_Text(&out), "href"));
    ck_assert_ptr_null(strstr(Buf_Text(&out), "src="));
    ck_assert_ptr_null(strstr(Buf_Text(&out), "nan"));
    Buf_Free(&out);
    Burn_Free(burn);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("burn");
    TCase *tcase = tcase_create("cases");

    tcase_add_test(tcase, rates_follow_window_contents);
    tcase_add_test(tcase, ring_matches_request_list);
    tcase_add_test(tcase, objectives_are_checked);
    tcase_add_test(tcase, options_are_checked);
    tcase_add_test(tcase, reports_are_valid);
    suite_add_tcase(suite, tcase);
    return suite;
}
