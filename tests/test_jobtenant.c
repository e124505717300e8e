#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "jobtenant.h"
#include "platform_wire.h"
#include "support.h"
#include "support_job.h"

#define LONGEST_KEY                                                           \
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"        \
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde"

static JobState *state;

/* Tenants of a configuration, each with up to two keys. */
typedef struct TenantRow {
    const char *name;
    const char *keys[2];
} TenantRow;

static const TenantRow two_tenants[] = {{"a", {"key-a", "old-a"}},
                                        {"b", {"key-b", NULL}}};
static const TenantRow renewed_tenants[] = {{"a", {"key-a", "new-a"}},
                                            {"b", {"key-b", NULL}}};
static const TenantRow only_b[] = {{"b", {"key-b", "key-a"}}};

static char config_text[] = "text";
static JobPool pool = {.name = "p", .enforces_capacity = true};

/* Fills a configuration with the queues "q" and, for everybody, "open". */
static void
fill_config(JobConfig *config, uint64_t version, const TenantRow *rows,
            size_t count)
{
    JobQueue queues[2] = {{.name = "q",
                           .host = "h",
                           .prefix = "/q/",
                           .pool = "p",
                           .timeout_ms = 1,
                           .max_attempts = 2},
                          {.name = "open",
                           .host = "h",
                           .prefix = "/open/",
                           .pool = "p",
                           .timeout_ms = 1,
                           .max_attempts = 2,
                           .is_public = true}};
    size_t i;
    size_t k;

    memset(config, 0, sizeof(*config));
    config->version = version;
    config->queue_count = 2;
    config->queues = malloc(sizeof(queues));
    memcpy(config->queues, queues, sizeof(queues));
    config->pool_count = 1;
    config->pools = malloc(sizeof(pool));
    memcpy(config->pools, &pool, sizeof(pool));
    config->text = strdup(config_text);
    config->text_len = strlen(config_text);
    config->tenant_count = count;
    config->tenants = calloc(count + 1, sizeof(*config->tenants));
    for (i = 0; i < count; i++) {
        JobTenant *tenant = &config->tenants[i];
        snprintf(tenant->name, sizeof(tenant->name), "%s", rows[i].name);
        tenant->weight = 1;
        tenant->cap.cpu = 8000;
        tenant->keys = malloc(2 * JOB_KEY_BYTES);
        /* Bytes after the end of a key have no meaning. */
        memset(tenant->keys, 'x', 2 * JOB_KEY_BYTES);
        for (k = 0; k < 2 && rows[i].keys[k] != NULL; k++) {
            snprintf(tenant->keys[tenant->key_count++], JOB_KEY_BYTES, "%s",
                     rows[i].keys[k]);
        }
    }
}

static void
configure(uint64_t version, const TenantRow *rows, size_t count)
{
    JobConfig config;
    Buf command = BUF_INIT;

    fill_config(&config, version, rows, count);
    JobCmd_EncodeConfig(&command, &config);
    JobConfig_Free(&config);
    ck_assert_int_eq(JobTest_Apply(state, &command), JOB_RESULT_OK);
}

static JobResult
submit(const char *id, const char *queue, const char *tenant)
{
    JobStep step = {.count = 2, .need = {1500, 100, 1}};
    JobSpec spec = {.text = config_text,
                    .text_len = strlen(config_text),
                    .steps = &step,
                    .step_count = 1};
    Buf command = BUF_INIT;

    JobCmd_EncodeSubmit(&command, id, queue, 1000, &spec, tenant);
    return JobTest_Apply(state, &command);
}

static JobResult
cancel(const char *id, const char *tenant)
{
    Buf command = BUF_INIT;

    JobCmd_EncodeCancel(&command, id, 1500, tenant);
    return JobTest_Apply(state, &command);
}

static void
setup(void)
{
    state = JobState_New();
    configure(1, NULL, 0);
    JobTest_SetTarget(state, "t1", "vm1", "p", 100, false);
}

static void
teardown(void)
{
    JobState_Free(state);
}

/* --- keys --- */

/* Checks a key in a buffer of the size that the function reads. */
static JobAccess
check_queue(const JobConfig *config, const char *queue, const char *text,
            const char **tenant)
{
    char key[JOB_KEY_BYTES];

    memset(key, 'x', sizeof(key));
    snprintf(key, sizeof(key), "%s", text);
    return JobTenant_CheckQueue(config, queue, key, tenant);
}

/* Guards against a key that is cut to its bound and then matches, and against
 * forms of the header that clients send and that are not recognised. */
START_TEST(key_is_read_from_header)
{
    static const struct {
        const char *text;
        const char *key;
    } cases[] = {
        {NULL, ""},
        {"", ""},
        {"Token", ""},
        {"Token ", ""},
        {"Token key-a", "key-a"},
        {"token key-a", "key-a"},
        {"  Token \t key-a \t", "key-a"},
        {"Token two words", "two words"},
        {"Tokenkey-a", ""},
        {"Bearer key-a", ""},
        {"key-a", ""},
        {"Token " LONGEST_KEY, LONGEST_KEY},
        {"Token " LONGEST_KEY "f", ""},
    };
    static const struct {
        const char *method;
        const char *path;
    } calls[] = {{"POST", "/q/0000000000000001"},
                 {"GET", "/q/0000000000000001"},
                 {"DELETE", "/q/0000000000000001"},
                 {"GET", "/q/"}};
    JobConfig config;
    size_t i;
    size_t c;

    fill_config(&config, 2, two_tenants, 2);
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        for (c = 0; c < sizeof(calls) / sizeof(calls[0]); c++) {
            JobHttpRequest http = {.method = calls[c].method,
                                   .host = "h",
                                   .path = calls[c].path,
                                   .body = "{\"steps\":[{\"count\":1}]}",
                                   .body_len = 23,
                                   .key_text = cases[i].text};
            JobRequest request;
            PlatformWire_Get()->decode_caller_request(&http, &config,
                                                      &request);
            ck_assert_str_eq(request.key, cases[i].key);
            ck_assert_str_eq(request.queue, "q");
            JobRequest_Free(&request);
        }
    }
    JobConfig_Free(&config);
}
END_TEST

/* Guards against access without a key of the configuration in force, and
 * against a demand for a key where none is needed. */
START_TEST(access_to_queue_depends_on_key)
{
    static const struct {
        const TenantRow *rows;
        size_t count;
        const char *queue;
        const char *key;
        JobAccess access;
        const char *tenant;
    } cases[] = {
        {two_tenants, 2, "q", "key-a", JOB_ACCESS_GRANTED, "a"},
        {two_tenants, 2, "q", "old-a", JOB_ACCESS_GRANTED, "a"},
        {two_tenants, 2, "q", "key-b", JOB_ACCESS_GRANTED, "b"},
        {two_tenants, 2, "q", "", JOB_ACCESS_DENIED, ""},
        {two_tenants, 2, "q", "key-", JOB_ACCESS_DENIED, ""},
        {two_tenants, 2, "q", "key-ax", JOB_ACCESS_DENIED, ""},
        {two_tenants, 2, "q", "Key-a", JOB_ACCESS_DENIED, ""},
        {two_tenants, 2, "q", "a", JOB_ACCESS_DENIED, ""},
        {two_tenants, 2, "q", "new-a", JOB_ACCESS_DENIED, ""},
        {two_tenants, 2, "q", LONGEST_KEY, JOB_ACCESS_DENIED, ""},
        {renewed_tenants, 2, "q", "new-a", JOB_ACCESS_GRANTED, "a"},
        {renewed_tenants, 2, "q", "old-a", JOB_ACCESS_DENIED, ""},
        {only_b, 1, "q", "key-a", JOB_ACCESS_GRANTED, "b"},
        {two_tenants, 2, "open", "", JOB_ACCESS_GRANTED, ""},
        {two_tenants, 2, "open", "key-a", JOB_ACCESS_GRANTED, ""},
        {two_tenants, 2, "open", "odd", JOB_ACCESS_GRANTED, ""},
        {two_tenants, 2, "none", "", JOB_ACCESS_NO_QUEUE, ""},
        {two_tenants, 2, "none", "key-a", JOB_ACCESS_NO_QUEUE, ""},
        {NULL, 0, "q", "", JOB_ACCESS_GRANTED, ""},
        {NULL, 0, "q", "key-a", JOB_ACCESS_GRANTED, ""},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        JobConfig config;
        const char *tenant;
        fill_config(&config, 2, cases[i].rows, cases[i].count);
        ck_assert_msg(check_queue(&config, cases[i].queue, cases[i].key,
                                  &tenant) == cases[i].access,
                      "case %zu", i);
        ck_assert_str_eq(tenant, cases[i].tenant);
        JobConfig_Free(&config);
    }
}
END_TEST

/* Guards against a configuration by which a key has two tenants, and against
 * a report that contains the key. */
START_TEST(check_finds_shared_keys_and_names)
{
    static const struct {
        TenantRow rows[3];
        size_t count;
        size_t findings;
        const char *reason;
    } cases[] = {
        {{{"a", {"secret-1", NULL}}, {"b", {"secret-2", NULL}}}, 2, 0, NULL},
        {{{"a", {"secret-1", "secret-1"}}, {"b", {NULL}}}, 2, 0, NULL},
        {{{"a", {"secret-1", NULL}}, {"b", {"secret-2", "secret-1"}}},
         2,
         1,
         "has a key of "},
        {{{"a", {"secret-1", NULL}},
          {"b", {"secret-2", NULL}},
          {"c", {"secret-1", NULL}}},
         3,
         1,
         "has a key of "},
        {{{"a", {"secret-1", NULL}}, {"a", {"secret-2", NULL}}},
         2,
         1,
         "two tenants have this name"},
    };
    size_t i;
    size_t f;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Findings *findings = Findings_New("test");
        JobConfig config;
        fill_config(&config, 2, cases[i].rows, cases[i].count);
        JobConfig_Check(&config, findings);
        ck_assert_uint_eq(Findings_Count(findings), cases[i].findings);
        for (f = 0; f < Findings_Count(findings); f++) {
            const Finding *finding = Findings_Get(findings, f);
            ck_assert_ptr_nonnull(strstr(finding->reason, cases[i].reason));
            ck_assert_ptr_null(strstr(finding->reason, "secret"));
            ck_assert_ptr_null(strstr(finding->path, "secret"));
        }
        JobConfig_Free(&config);
        Findings_Free(findings);
    }
}
END_TEST

#define CONFIG_WITH(members)                                                  \
    "{\"version\":1,\"routes\":[],\"services\":[]," members "}"
#define TENANT(members)                                                       \
    CONFIG_WITH("\"tenants\":[{\"name\":\"a\"," members "}]")

/* Guards against keys in the reply to a malformed configuration: the parser's
 * own error texts quote the document. */
START_TEST(malformed_configuration_does_not_show_keys)
{
    static const struct {
        const char *body;
        const char *reason; /* NULL: accepted */
    } cases[] = {
        {TENANT("\"api-keys\":[\"secret\"]"), NULL},
        {TENANT("\"weight\":2"), NULL},
        {TENANT("\"api-keys\":[],\"priority\":\"high\""), NULL},
        {TENANT("\"api-keys\":[\"secret\",7]"), "tenants[0].api-keys[1]"},
        {TENANT("\"api-keys\":[\"" LONGEST_KEY "secret\"]"),
         "tenants[0].api-keys[0]"},
        {TENANT("\"api-keys\":[\"\"]"), "tenants[0].api-keys[0]"},
        {TENANT("\"api-keys\":\"secret\""), "tenants[0].api-keys"},
        {TENANT("\"api-keys\":{\"secret\":1}"), "tenants[0].api-keys"},
        {TENANT("\"weight\":\"secret\""), "tenants[0].weight"},
        {TENANT("\"cap\":[\"secret\"]"), "tenants[0].cap"},
        {TENANT("\"cap\":{\"cpu\":\"secret\"}"), "cpu"},
        {CONFIG_WITH("\"tenants\":[\"secret\"]"), "tenants[0]"},
        {CONFIG_WITH("\"tenants\":\"secret\""), "tenants"},
        {TENANT("\"api-keys\":[\"x\" \"secret\"]"), "line 1"},
        {TENANT("\"api-keys\":[secret]"), "line 1"},
        {TENANT("\"api-keys\":[\"secret"), "line 1"},
        {TENANT("\"api-keys\":[\"\\u0000secret\"]"), "line 1"},
        {TENANT("\"api-keys\":[\"\\usecret\"]"), "line 1"},
        {TENANT("\"secret\":1,\"secret\":2"), "line 1"},
        {"\"secret\"", "line 1"},
        {"[\"secret\"]", "must be an object"},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        JobHttpRequest http = {.method = "PUT",
                               .host = "",
                               .path = "/api/config",
                               .body = cases[i].body,
                               .body_len = strlen(cases[i].body)};
        JobRequest request;
        PlatformWire_Get()->decode_control_request(&http, &request);
        if (cases[i].reason == NULL) {
            ck_assert_msg(request.error == JOB_ERROR_NONE, "case %zu: %s", i,
                          request.reason);
        }
        else {
            ck_assert_int_eq(request.error, JOB_ERROR_MALFORMED);
            ck_assert_msg(strstr(request.reason, cases[i].reason) != NULL,
                          "case %zu: %s", i, request.reason);
        }
        ck_assert_msg(strstr(request.reason, "secret") == NULL, "case %zu: %s",
                      i, request.reason);
        JobRequest_Free(&request);
    }
}
END_TEST

/* Guards against weights below 1 that become 0 or 1, which would change the
 * shares of tenants. */
START_TEST(weight_may_be_fraction)
{
    static const struct {
        const char *body;
        uint32_t weight; /* in thousandths */
    } cases[] = {
        {TENANT("\"api-keys\":[]"), 1000},
        {TENANT("\"weight\":null"), 1000},
        {TENANT("\"weight\":205"), 205000},
        {TENANT("\"weight\":0.25"), 250},
        {TENANT("\"weight\":1e300"), UINT32_MAX},
        {TENANT("\"weight\":-1"), 0},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        JobHttpRequest http = {.method = "PUT",
                               .host = "",
                               .path = "/api/config",
                               .body = cases[i].body,
                               .body_len = strlen(cases[i].body)};
        JobRequest request;
        PlatformWire_Get()->decode_control_request(&http, &request);
        ck_assert_int_eq(request.error == JOB_ERROR_NONE,
                         cases[i].weight != 0);
        ck_assert_uint_eq(request.config.tenants[0].weight, cases[i].weight);
        JobRequest_Free(&request);
    }
}
END_TEST

/* --- jobs --- */

/* Guards against jobs that other tenants, or callers of public queues without
 * a key, may read or cancel. */
START_TEST(job_belongs_to_its_tenant)
{
    static const struct {
        const char *queue; /* of the job */
        const char *owner;
        const char *tenant; /* of the request */
        JobResult submitted;
        JobResult cancelled;
    } cases[] = {
        {"q", "a", "a", JOB_RESULT_EXISTS, JOB_RESULT_OK},
        {"q", "a", "b", JOB_RESULT_OTHER_TENANT, JOB_RESULT_UNKNOWN},
        {"q", "a", "", JOB_RESULT_OTHER_TENANT, JOB_RESULT_UNKNOWN},
        {"open", "", "a", JOB_RESULT_EXISTS, JOB_RESULT_OK},
        {"open", "", "", JOB_RESULT_EXISTS, JOB_RESULT_OK},
        /* submitted before its queue became public */
        {"open", "a", "", JOB_RESULT_EXISTS, JOB_RESULT_OK},
        {"open", "a", "b", JOB_RESULT_OTHER_TENANT, JOB_RESULT_UNKNOWN},
    };
    size_t i;

    configure(2, two_tenants, 2);
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char id[JOB_ID_BYTES];
        const Job *job;
        snprintf(id, sizeof(id), "%016zx", i);
        ck_assert_int_eq(submit(id, cases[i].queue, cases[i].owner),
                         JOB_RESULT_OK);
        job = JobState_FindJob(state, id);
        ck_assert_int_eq(JobTenant_MayUseJob(JobState_GetConfig(state), job,
                                             cases[i].tenant),
                         cases[i].cancelled == JOB_RESULT_OK);
        ck_assert_int_eq(submit(id, cases[i].queue, cases[i].tenant),
                         cases[i].submitted);
        ck_assert_int_eq(cancel(id, cases[i].tenant), cases[i].cancelled);
        ck_assert_int_eq(job->phase, cases[i].cancelled == JOB_RESULT_OK
                                         ? JOB_CANCELLED
                                         : JOB_QUEUED);
    }
    /* Without tenants nothing depends on them. */
    configure(3, NULL, 0);
    ck_assert_int_eq(submit("0000000000000001", "q", ""), JOB_RESULT_EXISTS);
    ck_assert_int_eq(cancel("0000000000000001", ""), JOB_RESULT_OK);
}
END_TEST

/* Guards against a submission that runs although the log orders before it a
 * configuration by which it is not permitted. */
START_TEST(configuration_before_submission_counts)
{
    static const struct {
        const TenantRow *rows;
        size_t count;
        const char *queue;
        const char *tenant;
        JobResult result;
    } cases[] = {
        {two_tenants, 2, "q", "a", JOB_RESULT_OK},
        {only_b, 1, "q", "a", JOB_RESULT_DENIED},
        {NULL, 0, "q", "a", JOB_RESULT_DENIED},
        {only_b, 1, "q", "", JOB_RESULT_DENIED},
        {only_b, 1, "open", "", JOB_RESULT_OK},
        {only_b, 1, "none", "a", JOB_RESULT_UNKNOWN},
        {NULL, 0, "q", "", JOB_RESULT_OK},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "%016zx", i);
        configure(2 + i, cases[i].rows, cases[i].count);
        ck_assert_int_eq(submit(id, cases[i].queue, cases[i].tenant),
                         cases[i].result);
        ck_assert((JobState_FindJob(state, id) != NULL) ==
                  (cases[i].result == JOB_RESULT_OK));
    }
}
END_TEST

/* Guards against a job that stops, or that its tenant cannot reach any more,
 * because a key of it was removed. */
START_TEST(job_continues_after_removal_of_key)
{
    const char *tenant;

    configure(2, two_tenants, 2);
    submit("1", "q", "a");
    JobTest_Assign(state, "1", 0, 0, 1, "t1");
    JobTest_Begin(state, "1");
    configure(3, renewed_tenants, 2);
    ck_assert_int_eq(
        check_queue(JobState_GetConfig(state), "q", "old-a", &tenant),
        JOB_ACCESS_DENIED);
    ck_assert_int_eq(JobState_FindJob(state, "1")->phase, JOB_RUNNING);
    ck_assert_int_eq(
        check_queue(JobState_GetConfig(state), "q", "new-a", &tenant),
        JOB_ACCESS_GRANTED);
    ck_assert_int_eq(submit("1", "q", tenant), JOB_RESULT_EXISTS);
    configure(4, only_b, 1);
    ck_assert_int_eq(JobState_FindJob(state, "1")->phase, JOB_RUNNING);
    ck_assert_int_eq(cancel("1", "b"), JOB_RESULT_UNKNOWN);
}
END_TEST

/* Guards against a cancellation that ends another tenant's job because it
 * came before the submission. */
START_TEST(early_cancellation_ends_only_jobs_of_its_tenant)
{
    static const struct {
        const char *canceller;
        const char *queue;
        const char *submitter;
        JobPhase phase;
    } cases[] = {
        {"a", "q", "a", JOB_CANCELLED}, {"b", "q", "a", JOB_QUEUED},
        {"", "q", "a", JOB_QUEUED},     {"", "open", "", JOB_CANCELLED},
        {"a", "open", "", JOB_QUEUED},
    };
    size_t i;

    configure(2, two_tenants, 2);
    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char id[JOB_ID_BYTES];
        snprintf(id, sizeof(id), "%016zx", i);
        ck_assert_int_eq(cancel(id, cases[i].canceller), JOB_RESULT_UNKNOWN);
        ck_assert_int_eq(submit(id, cases[i].queue, cases[i].submitter),
                         JOB_RESULT_OK);
        ck_assert_int_eq(JobState_FindJob(state, id)->phase, cases[i].phase);
    }
}
END_TEST

/* Guards against a job of a queue that needs a key, from before there were
 * tenants, that a caller of a public queue reads or cancels without a key. */
START_TEST(job_without_tenant_needs_key)
{
    const JobConfig *config = JobState_GetConfig(state);

    ck_assert_int_eq(submit("1", "q", ""), JOB_RESULT_OK);
    ck_assert_int_eq(submit("2", "open", ""), JOB_RESULT_OK);
    configure(2, two_tenants, 2);
    ck_assert(!JobTenant_MayUseJob(config, JobState_FindJob(state, "1"), ""));
    ck_assert(JobTenant_MayUseJob(config, JobState_FindJob(state, "1"), "b"));
    ck_assert(JobTenant_MayUseJob(config, JobState_FindJob(state, "2"), ""));
    ck_assert(JobTenant_MayUseJob(config, JobState_FindJob(state, "2"), "b"));
    ck_assert_int_eq(cancel("1", ""), JOB_RESULT_UNKNOWN);
    ck_assert_int_eq(JobState_FindJob(state, "1")->phase, JOB_QUEUED);
    ck_assert_int_eq(cancel("2", ""), JOB_RESULT_OK);
    ck_assert_int_eq(cancel("1", "b"), JOB_RESULT_OK);
}
END_TEST

/* --- snapshots --- */

/* Replaces the state by its snapshot, checks that the snapshot has a format
 * and that the restored state has the same snapshot. */
static void
restore(char format)
{
    Buf first = BUF_INIT;
    Buf second = BUF_INIT;
    ErrCtx err;

    JobState_Snapshot(state, &first);
    ck_assert_int_eq(first.data[1], format);
    ck_assert_int_eq(JobState_Restore(state, first.data, first.len, &err),
                     ST_OK);
    JobState_Snapshot(state, &second);
    ck_assert_uint_eq(first.len, second.len);
    ck_assert_mem_eq(first.data, second.data, first.len);
    Buf_Free(&first);
    Buf_Free(&second);
}

/* Checks what a tenant uses against a count over the runs of all targets. */
static void
check_use(const char *tenant, uint32_t runs)
{
    const JobTenantUse *use = JobState_FindTenantUse(state, tenant);
    const JobTarget *target = JobState_FindTarget(state, "t1");
    JobTotals sum = {0, 0, 0};
    size_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        const JobStep *step = &run->job->spec.steps[run->step];
        if (run->job->tenant == use) {
            sum.cpu += step->need.cpu;
            sum.memory_mb += step->need.memory_mb;
            sum.accelerators += step->need.accelerators;
        }
    }
    ck_assert_ptr_nonnull(use);
    ck_assert_uint_eq(use->runs, runs);
    ck_assert_uint_eq(use->used.cpu, sum.cpu);
    ck_assert_uint_eq(use->used.memory_mb, sum.memory_mb);
    ck_assert_uint_eq(use->used.accelerators, sum.accelerators);
    ck_assert_uint_eq(use->used.cpu, runs * 1500);
}

/* Guards against a restart that loses the tenants of jobs, their keys, what
 * they use, or early cancellations of theirs. */
START_TEST(snapshot_keeps_tenants)
{
    const char *tenant;

    configure(2, two_tenants, 2);
    submit("1", "q", "a");
    submit("2", "q", "b");
    submit("3", "open", "");
    JobTest_Assign(state, "1", 0, 0, 1, "t1");
    JobTest_Assign(state, "1", 0, 1, 1, "t1");
    JobTest_Assign(state, "2", 0, 0, 1, "t1");
    JobTest_Assign(state, "3", 0, 0, 1, "t1");
    cancel("4", "a");
    restore(6);
    check_use("a", 2);
    check_use("b", 1);
    ck_assert_str_eq(JobState_FindJob(state, "1")->tenant->name, "a");
    ck_assert_ptr_null(JobState_FindJob(state, "3")->tenant);
    ck_assert_int_eq(
        check_queue(JobState_GetConfig(state), "q", "old-a", &tenant),
        JOB_ACCESS_GRANTED);
    ck_assert_int_eq(
        check_queue(JobState_GetConfig(state), "open", "", &tenant),
        JOB_ACCESS_GRANTED);
    ck_assert_uint_eq(JobState_GetConfig(state)->tenants[0].cap.cpu, 8000);
    submit("4", "q", "b");
    ck_assert_int_eq(JobState_FindJob(state, "4")->phase, JOB_QUEUED);
    JobTest_End(state, "1", 0, 0, 1, "t1", JOB_END_DONE, 1);
    check_use("a", 1);
}
END_TEST

/* Guards against replicas that differ after a restart: an early cancellation
 * alone may name a tenant. */
START_TEST(snapshot_keeps_tenant_of_early_cancellation)
{
    configure(2, two_tenants, 2);
    cancel("1", "a");
    configure(3, NULL, 0);
    restore(6);
    submit("1", "q", "");
    ck_assert_int_eq(JobState_FindJob(state, "1")->phase, JOB_QUEUED);
}
END_TEST

/* Guards against a snapshot that an earlier version cannot read, and that
 * differs from that of a restored replica, after the last tenant has left. */
START_TEST(snapshot_forgets_former_tenants)
{
    Buf command = BUF_INIT;

    configure(2, two_tenants, 2);
    submit("1", "q", "a");
    cancel("1", "a");
    configure(3, NULL, 0);
    restore(6); /* the ended job still belongs to its tenant */
    JobCmd_EncodeExpire(&command, 5000);
    JobTest_Apply(state, &command);
    ck_assert_ptr_null(JobState_FindJob(state, "1"));
    restore(5);
}
END_TEST

/* Snapshot of the state below by the last version without tenants, in
 * hexadecimal digits. */
static const char version_5_snapshot[] =
    "9a059405919ba171a168a32f712fa170cd0bb8cd02580002cd0640c20092"
    "94a170a0c3c294a469646c65a0c2c3c40474657874029195000100929ba2"
    "7431ab31302e302e302e313a3830a170a0a3766d3100cd3e80cd7d000064"
    "c290c2919ba131a171a1709302cd0258cd064095c404776f726b91dc0012"
    "02cd01f46400cd02bc00000000c2c2c2c2c2c2a0a0a0000000cd03e80001"
    "c3009192c2929801000100a00000009800000000a00000009090909192a1"
    "34cd05dc90";

static void
check_version_5_snapshot(void)
{
    Buf bytes = BUF_INIT;
    Buf digits = BUF_INIT;
    size_t i;

    JobState_Snapshot(state, &bytes);
    for (i = 0; i < bytes.len; i++) {
        Buf_Printf(&digits, "%02x", (unsigned char)bytes.data[i]);
    }
    ck_assert_str_eq(Buf_Text(&digits), version_5_snapshot);
    Buf_Free(&digits);
    Buf_Free(&bytes);
}

/* Guards against a snapshot without tenants that earlier versions cannot read,
 * and against one of theirs that is read in another way. */
START_TEST(snapshot_without_tenants_keeps_its_format)
{
    Buf command = BUF_INIT;
    Buf bytes = BUF_INIT;
    ErrCtx err;
    size_t i;

    JobState_Free(state);
    state = JobState_New();
    JobTest_Configure(state, 5);
    JobTest_SetTarget(state, "t1", "vm1", "p", 100, false);
    JobTest_Submit(state, "1", 1, 2, 500);
    JobTest_Assign(state, "1", 0, 0, 1, "t1");
    JobTest_Begin(state, "1");
    JobCmd_EncodeCancel(&command, "4", 1500, "");
    JobTest_Apply(state, &command);
    check_version_5_snapshot();
    for (i = 0; version_5_snapshot[i] != '\0'; i += 2) {
        char digits[3] = {version_5_snapshot[i], version_5_snapshot[i + 1]};
        char byte = (char)strtoul(digits, NULL, 16);
        Buf_Append(&bytes, &byte, 1);
    }
    ck_assert_int_eq(JobState_Restore(state, bytes.data, bytes.len, &err),
                     ST_OK);
    Buf_Free(&bytes);
    ck_assert_ptr_null(JobState_FindJob(state, "1")->tenant);
    ck_assert_uint_eq(JobState_TenantUseCount(state), 0);
    check_version_5_snapshot();
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobtenant");
    TCase *tcase = tcase_create("tenants");

    tcase_add_checked_fixture(tcase, setup, teardown);
    tcase_add_test(tcase, key_is_read_from_header);
    tcase_add_test(tcase, access_to_queue_depends_on_key);
    tcase_add_test(tcase, check_finds_shared_keys_and_names);
    tcase_add_test(tcase, malformed_configuration_does_not_show_keys);
    tcase_add_test(tcase, weight_may_be_fraction);
    tcase_add_test(tcase, job_belongs_to_its_tenant);
    tcase_add_test(tcase, configuration_before_submission_counts);
    tcase_add_test(tcase, job_continues_after_removal_of_key);
    tcase_add_test(tcase, early_cancellation_ends_only_jobs_of_its_tenant);
    tcase_add_test(tcase, job_without_tenant_needs_key);
    tcase_add_test(tcase, snapshot_keeps_tenants);
    tcase_add_test(tcase, snapshot_keeps_tenant_of_early_cancellation);
    tcase_add_test(tcase, snapshot_forgets_former_tenants);
    tcase_add_test(tcase, snapshot_without_tenants_keeps_its_format);
    suite_add_tcase(suite, tcase);
    return suite;
}
