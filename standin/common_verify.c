#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common.h"
#include "common_load.h"

#define VERIFY_TIMEOUT_MS 10000

static void
report_mismatch(Load *load, const char *id, const char *reason, int64_t runs)
{
    load->counts.wrong++;
    fprintf(stderr, "standin-caller: %s: %s (%lld runs)\n", id, reason,
            (long long)runs);
}

/* Adds the run counts of one process to run_counts. All targets of a process
 * report the same counts, so each process is added only once. */
static void
add_counts(json_t *run_counts, json_t *counted_processes, json_t *counts)
{
    const char *process =
        json_string_value(json_object_get(counts, "process"));
    json_t *by_caller = json_object_get(counts, "by_caller");
    const char *key;
    json_t *value;

    if (process == NULL ||
        json_object_get(counted_processes, process) != NULL) {
        return;
    }
    json_object_set_new(counted_processes, process, json_true());
    json_object_foreach(by_caller, key, value)
    {
        json_int_t previous =
            json_integer_value(json_object_get(run_counts, key));
        json_object_set_new(
            run_counts, key,
            json_integer(previous + json_integer_value(value)));
    }
}

static void
verify_record(Load *load, const LoadRecord *record, const json_t *run_counts)
{
    char id[LOAD_ID_BYTES];
    Buf key = BUF_INIT;
    int64_t runs;

    Load_FormatId(load, record, id);
    Buf_Printf(&key, "%s/%s", load->options.caller, id);
    runs = json_integer_value(json_object_get(run_counts, Buf_Text(&key)));
    Buf_Free(&key);
    if (record->unrepeatable) {
        load->counts.verified++;
    }
    if (record->unrepeatable && runs > 1) {
        report_mismatch(load, id, "an unrepeatable request ran more than once",
                        runs);
    }
    if (record->not_run && runs > 0 &&
        (record->unrepeatable || !record->call_failed)) {
        report_mismatch(load, id, "answered not run, but it ran", runs);
    }
    if (record->done && runs == 0) {
        report_mismatch(load, id, "answered done, but it did not run", runs);
    }
    if (record->conflict) {
        report_mismatch(load, id, "answered not run and done", runs);
    }
}

void
Load_Verify(Load *load)
{
    json_t *run_counts = json_object();
    json_t *counted_processes = json_object();
    CURL *curl = curl_easy_init();
    size_t r;
    int i;

    for (i = 0; i < load->options.verify_count; i++) {
        const SettingsAddress *server = &load->options.verify_addresses[i];
        char url[2 * SETTINGS_HOST_BYTES];
        Buf answer = BUF_INIT;
        snprintf(url, sizeof(url), "http://%s:%d/standin/counts", server->host,
                 server->port);
        if (Common_SendHttp(curl, "GET", url, NULL, VERIFY_TIMEOUT_MS,
                            &answer) == 200) {
            json_t *counts = json_loadb(answer.data, answer.len, 0, NULL);
            add_counts(run_counts, counted_processes, counts);
            json_decref(counts);
        }
        else {
            report_mismatch(load, url, "the counts cannot be read", 0);
        }
        Buf_Free(&answer);
    }
    for (r = 0; load->options.verify_count > 0 && r < load->record_count;
         r++) {
        verify_record(load, &load->records[r], run_counts);
    }
    curl_easy_cleanup(curl);
    json_decref(run_counts);
    json_decref(counted_processes);
}

static int
compare_latency(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left > right) - (left < right);
}

void
Load_PrintCounts(const Load *load, FILE *out)
{
    const LoadCounts *c = &load->counts;
    int64_t *latency_us = calloc(load->record_count + 1, sizeof(*latency_us));
    size_t count = 0;
    size_t i;
    json_t *json;
    char *text;

    if (latency_us == NULL) {
        abort();
    }
    for (i = 0; i < load->record_count; i++) {
        if (load->records[i].latency_us >= 0) {
            latency_us[count++] = load->records[i].latency_us;
        }
    }
    qsort(latency_us, count, sizeof(*latency_us), compare_latency);
    json = json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
        "sent", (json_int_t)c->sent, "done", (json_int_t)c->done, "not_run",
        (json_int_t)c->not_run, "unknown", (json_int_t)c->unknown, "unable",
        (json_int_t)c->unable, "cancelled", (json_int_t)c->cancelled, "lost",
        (json_int_t)c->lost, "wrong", (json_int_t)c->wrong, "late",
        (json_int_t)c->late, "resent", (json_int_t)c->resent, "no_token",
        (json_int_t)c->no_token, "verified", (json_int_t)c->verified, "p50_us",
        (json_int_t)latency_us[count / 2], "p99_us",
        (json_int_t)latency_us[count * 99 / 100], "max_us",
        (json_int_t)latency_us[count > 0 ? count - 1 : 0]);
    text = json_dumps(json, JSON_COMPACT);
    fprintf(out, "%s\n", text);
    free(text);
    json_decref(json);
    free(latency_us);
}
