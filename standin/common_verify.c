#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common.h"
#include "common_load.h"

#define VERIFY_TIMEOUT_MS 10000

static void
breach(Load *load, const char *id, const char *reason, int64_t runs)
{
    load->counts.wrong++;
    fprintf(stderr, "standin-caller: %s: %s (%lld runs)\n", id, reason,
            (long long)runs);
}

/* Adds the counts of one process; targets of the same process share them. */
static void
add_counts(json_t *total, json_t *seen, json_t *counts)
{
    const char *process =
        json_string_value(json_object_get(counts, "process"));
    json_t *by_caller = json_object_get(counts, "by_caller");
    const char *key;
    json_t *value;

    if (process == NULL || json_object_get(seen, process) != NULL) {
        return;
    }
    json_object_set_new(seen, process, json_true());
    json_object_foreach(by_caller, key, value)
    {
        json_int_t before = json_integer_value(json_object_get(total, key));
        json_object_set_new(total, key,
                            json_integer(before + json_integer_value(value)));
    }
}

static void
verify_record(Load *load, const LoadRecord *record, const json_t *total)
{
    char id[LOAD_ID_BYTES];
    Buf key = BUF_INIT;
    int64_t runs;

    Load_Id(load, record, id);
    Buf_Printf(&key, "%s/%s", load->options.caller, id);
    runs = json_integer_value(json_object_get(total, Buf_Text(&key)));
    Buf_Free(&key);
    if (record->unrepeatable) {
        load->counts.verified++;
    }
    if (record->unrepeatable && runs > 1) {
        breach(load, id, "an unrepeatable request ran more than once", runs);
    }
    if (record->not_run && runs > 0 &&
        (record->unrepeatable || !record->attempt_lost)) {
        breach(load, id, "answered not run, but it ran", runs);
    }
    if (record->done && runs == 0) {
        breach(load, id, "answered done, but it did not run", runs);
    }
    if (record->conflict) {
        breach(load, id, "answered not run and done", runs);
    }
}

void
Load_Verify(Load *load)
{
    json_t *total = json_object();
    json_t *seen = json_object();
    CURL *curl = curl_easy_init();
    size_t r;
    int i;

    for (i = 0; i < load->options.verify_count; i++) {
        const SettingsAddress *at = &load->options.verify[i];
        char url[2 * SETTINGS_HOST_BYTES];
        Buf answer = BUF_INIT;
        snprintf(url, sizeof(url), "http://%s:%d/standin/counts", at->host,
                 at->port);
        if (Common_Http(curl, "GET", url, NULL, VERIFY_TIMEOUT_MS, &answer) ==
            200) {
            json_t *counts = json_loadb(answer.data, answer.len, 0, NULL);
            add_counts(total, seen, counts);
            json_decref(counts);
        }
        else {
            breach(load, url, "the counts cannot be read", 0);
        }
        Buf_Free(&answer);
    }
    for (r = 0; load->options.verify_count > 0 && r < load->record_count;
         r++) {
        verify_record(load, &load->records[r], total);
    }
    curl_easy_cleanup(curl);
    json_decref(total);
    json_decref(seen);
}

static int
compare(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left > right) - (left < right);
}

void
Load_Print(const Load *load, FILE *out)
{
    const LoadCounts *c = &load->counts;
    int64_t *latency = calloc(load->record_count + 1, sizeof(*latency));
    size_t count = 0;
    size_t i;
    json_t *json;
    char *text;

    if (latency == NULL) {
        abort();
    }
    for (i = 0; i < load->record_count; i++) {
        if (load->records[i].latency_us >= 0) {
            latency[count++] = load->records[i].latency_us;
        }
    }
    qsort(latency, count, sizeof(*latency), compare);
    json = json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
        "sent", (json_int_t)c->sent, "done", (json_int_t)c->done, "not_run",
        (json_int_t)c->not_run, "unknown", (json_int_t)c->unknown, "unable",
        (json_int_t)c->unable, "cancelled", (json_int_t)c->cancelled, "lost",
        (json_int_t)c->lost, "wrong", (json_int_t)c->wrong, "late",
        (json_int_t)c->late, "resent", (json_int_t)c->resent, "no_token",
        (json_int_t)c->no_token, "verified", (json_int_t)c->verified, "p50_us",
        (json_int_t)latency[count / 2], "p99_us",
        (json_int_t)latency[count * 99 / 100], "max_us",
        (json_int_t)latency[count > 0 ? count - 1 : 0]);
    text = json_dumps(json, JSON_COMPACT);
    fprintf(out, "%s\n", text);
    free(text);
    json_decref(json);
    free(latency);
}
