#include <check.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobmetrics.h"
#include "support.h"

static Buf
read_file(const char *path)
{
    FILE *file = fopen(path, "rb");
    Buf text = BUF_INIT;
    char chunk[4096];
    size_t len;

    ck_assert_msg(file != NULL, "%s", path);
    while ((len = fread(chunk, 1, sizeof(chunk), file)) > 0) {
        Buf_Append(&text, chunk, len);
    }
    fclose(file);
    return text;
}

/* Checks that a line is well formed in the Prometheus text format. */
static void
check_line(const char *line, size_t len)
{
    size_t i = 0;

    if (strncmp(line, "# HELP ", 7) == 0 || strncmp(line, "# TYPE ", 7) == 0) {
        return;
    }
    while (i < len && (isalnum((unsigned char)line[i]) || line[i] == '_')) {
        i++;
    }
    ck_assert_uint_gt(i, 0);
    if (line[i] == '{') {
        const char *end = memchr(line + i, '}', len - i);
        ck_assert_ptr_nonnull(end);
        i = (size_t)(end - line) + 1;
    }
    ck_assert_int_eq(line[i], ' ');
    ck_assert(isdigit((unsigned char)line[i + 1]));
}

START_TEST(page_is_well_formed)
{
    JobMetrics *metrics = calloc(1, sizeof(*metrics));
    Buf page = BUF_INIT;
    const char *at;
    const char *end;
    size_t lines = 0;

    JobMetrics_RecordAnswer(metrics, 1, 200, 12000);
    JobMetrics_RecordAnswer(metrics, 1, 503, 900);
    JobMetrics_CountElection(metrics, true, RAFT_ELECTION_TIMED_OUT);
    JobMetrics_CountVoteRequest(metrics, false, RAFT_VERDICT_LOG_BEHIND);
    metrics->tenant_count = 1;
    metrics->tenants[0] = (JobTenantMetrics){"a\"b", 1.5, 4, true};
    JobMetrics_WritePage(metrics, &page);
    for (at = Buf_Text(&page); *at != '\0'; at = end + 1) {
        end = strchr(at, '\n');
        ck_assert_ptr_nonnull(end);
        check_line(at, (size_t)(end - at));
        lines++;
    }
    ck_assert_uint_gt(lines, 3 * JOB_METRIC_COUNT);
    ck_assert_ptr_nonnull(
        strstr(Buf_Text(&page),
               "coltsfoot_answers_total{kind=\"submit\",status=\"5xx\"} 1"));
    ck_assert_ptr_nonnull(strstr(Buf_Text(&page),
                                 "coltsfoot_elections_total{phase=\"prevote\","
                                 "outcome=\"timed_out\"} 1"));
    ck_assert_ptr_nonnull(
        strstr(Buf_Text(&page), "coltsfoot_vote_requests_total{phase=\"vote\","
                                "verdict=\"log_behind\"} 1"));
    ck_assert_ptr_nonnull(strstr(
        Buf_Text(&page), "\ncoltsfoot_tenant_cores{tenant=\"a\\\"b\"} 1.5\n"));
    ck_assert_ptr_nonnull(strstr(
        Buf_Text(&page), "\ncoltsfoot_tenant_at_cap{tenant=\"a\\\"b\"} 1\n"));
    Buf_Free(&page);
    free(metrics);
}
END_TEST

START_TEST(every_metric_is_documented)
{
    Buf page = read_file("docs/OPERATIONS.md");
    size_t i;

    for (i = 0; JobMetrics_GetName(i) != NULL; i++) {
        char quoted[96];
        snprintf(quoted, sizeof(quoted), "`%s`", JobMetrics_GetName(i));
        ck_assert_msg(strstr(Buf_Text(&page), quoted) != NULL, "%s", quoted);
    }
    Buf_Free(&page);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobmetrics");
    TCase *tcase = tcase_create("metrics");

    tcase_add_test(tcase, page_is_well_formed);
    tcase_add_test(tcase, every_metric_is_documented);
    suite_add_tcase(suite, tcase);
    return suite;
}
