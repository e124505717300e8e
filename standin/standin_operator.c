#include <argtable2.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common.h"

#define MAX_PORTS 16
#define URL_BYTES 192
#define SUBMIT_TIMEOUT_MS 10000
#define POLL_TIMEOUT_MS 1000
#define WAIT_LIMIT_US 30000000
#define RESEND_DELAY_US 20000

typedef struct Patch {
    uint64_t version;
    int64_t sent_us;
    int64_t accepted_us;
} Patch;

/* The time at which an entry VM first reported a version as in force. */
typedef struct Sample {
    uint64_t version;
    int64_t time_us;
} Sample;

/* Polls one control port in a thread of its own, so that a VM that is down
 * does not delay the observation of the others. */
typedef struct Watcher {
    pthread_t thread;
    char url[URL_BYTES];
    Sample *samples;
    size_t sample_count;
    size_t sample_capacity;
    uint64_t polls;
    int64_t first_poll_us;
    int64_t last_poll_us;
    int64_t max_gap_us; /* longest time between two answers */
    uint64_t reverts;   /* answers with a lower version than an earlier one */
    _Atomic uint64_t version_in_force;
} Watcher;

typedef struct Operator {
    const char *const *ports;
    int port_count;
    int port_index; /* index of the port that patches are sent to */
    const char *path;
    int patch_count;
    double rate;
    long poll_us;
    Patch *patches;
    int accepted;
    int resent;
    int conflicts;
    uint64_t base_version;
    Watcher watchers[MAX_PORTS];
    int watcher_count;
    atomic_bool ended;
} Operator;

typedef struct WatchArg {
    Operator *op;
    Watcher *watcher;
} WatchArg;

static void
sleep_us(int64_t us)
{
    struct timespec wait = {.tv_sec = us / 1000000,
                            .tv_nsec = us % 1000000 * 1000};

    if (us > 0) {
        nanosleep(&wait, NULL);
    }
}

static uint64_t
get_json_number(const json_t *json, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(json, key));
}

static void
add_sample(Watcher *watcher, uint64_t version, int64_t now)
{
    if (watcher->sample_count == watcher->sample_capacity) {
        watcher->sample_capacity = watcher->sample_capacity == 0
                                       ? 1024
                                       : 2 * watcher->sample_capacity;
        watcher->samples =
            realloc(watcher->samples,
                    watcher->sample_capacity * sizeof(*watcher->samples));
        if (watcher->samples == NULL) {
            abort();
        }
    }
    watcher->samples[watcher->sample_count++] = (Sample){version, now};
    atomic_store(&watcher->version_in_force, version);
}

static void
record_poll(Watcher *watcher, uint64_t version)
{
    int64_t now = Common_NowUs();
    uint64_t before = atomic_load(&watcher->version_in_force);

    if (watcher->polls++ == 0) {
        watcher->first_poll_us = now;
    }
    else if (now - watcher->last_poll_us > watcher->max_gap_us) {
        watcher->max_gap_us = now - watcher->last_poll_us;
    }
    watcher->last_poll_us = now;
    if (version > before) {
        add_sample(watcher, version, now);
    }
    /* A process that has no view of the state yet reports version 0. */
    watcher->reverts += version > 0 && version < before;
}

static void *
run_watcher_thread(void *arg)
{
    WatchArg *watch = arg;
    Operator *op = watch->op;
    CURL *curl = curl_easy_init();

    while (!atomic_load(&op->ended)) {
        Buf answer = BUF_INIT;
        json_t *json;
        if (Common_SendHttp(curl, "GET", watch->watcher->url, NULL,
                            POLL_TIMEOUT_MS, &answer) == 200) {
            json = json_loadb(answer.data, answer.len, 0, NULL);
            record_poll(watch->watcher, get_json_number(json, "in_force"));
            json_decref(json);
        }
        Buf_Free(&answer);
        sleep_us(op->poll_us);
    }
    curl_easy_cleanup(curl);
    free(watch);
    return NULL;
}

static void
start_watchers(Operator *op, const struct arg_str *ports)
{
    int i;

    for (i = 0; i < ports->count; i++) {
        Watcher *watcher = &op->watchers[op->watcher_count++];
        WatchArg *arg = malloc(sizeof(*arg));
        if (arg == NULL) {
            abort();
        }
        *arg = (WatchArg){op, watcher};
        /* A path without settings keeps the answer small. */
        snprintf(watcher->url, sizeof(watcher->url),
                 "http://%s/v1/config?path=limits/none", ports->sval[i]);
        if (pthread_create(&watcher->thread, NULL, run_watcher_thread, arg) !=
            0) {
            abort();
        }
    }
}

/* Submits a patch. While its result is unknown, resends it with the same
 * request id; after a conflict, submits it again with a new base version and
 * request id. Returns false if it was not accepted. */
static bool
submit_patch(Operator *op, CURL *curl, int number)
{
    Patch *patch = &op->patches[op->accepted];
    int64_t end = Common_NowUs() + WAIT_LIMIT_US;
    int attempt = 0;

    patch->sent_us = Common_NowUs();
    while (Common_NowUs() < end) {
        Buf body = BUF_INIT;
        Buf answer = BUF_INIT;
        char url[URL_BYTES];
        json_t *json;
        long status;
        Buf_Printf(&body,
                   "base: %llu\noperator: standin\n"
                   "request_id: p%ld-%d-%d\nset:\n  %s: %d\n",
                   (unsigned long long)op->base_version, (long)patch->sent_us,
                   number, attempt, op->path, 1 + number % 2);
        snprintf(url, sizeof(url), "http://%s/v1/patch",
                 op->ports[op->port_index]);
        status = Common_SendHttp(curl, "POST", url, Buf_Text(&body),
                                 SUBMIT_TIMEOUT_MS, &answer);
        patch->accepted_us = Common_NowUs();
        json = json_loadb(answer.data, answer.len, 0, NULL);
        patch->version = get_json_number(json, "version");
        if (status == 200 || status == 409) {
            op->base_version = patch->version;
        }
        json_decref(json);
        Buf_Free(&answer);
        Buf_Free(&body);
        if (status == 200) {
            op->accepted++;
            return true;
        }
        if (status == 409) {
            attempt++;
            op->conflicts++;
        }
        else if (status == 0 || status >= 500) {
            op->resent++;
            op->port_index = (op->port_index + 1) % op->port_count;
            sleep_us(RESEND_DELAY_US);
        }
        else {
            return false;
        }
    }
    return false;
}

static void
submit_patches(Operator *op)
{
    CURL *curl = curl_easy_init();
    int64_t start = Common_NowUs();
    int i;

    for (i = 0; i < op->patch_count; i++) {
        if (op->rate > 0) {
            sleep_us(start + (int64_t)(i * 1e6 / op->rate) - Common_NowUs());
        }
        if (!submit_patch(op, curl, i)) {
            fprintf(stderr,
                    "standin-operator: patch %d was refused or timed out\n",
                    i);
        }
    }
    curl_easy_cleanup(curl);
}

static void
finish_watching(Operator *op)
{
    int64_t end = Common_NowUs() + WAIT_LIMIT_US;
    int i;

    for (i = 0; i < op->watcher_count; i++) {
        while (op->accepted > 0 && Common_NowUs() < end &&
               atomic_load(&op->watchers[i].version_in_force) <
                   op->patches[op->accepted - 1].version) {
            sleep_us(1000);
        }
    }
    atomic_store(&op->ended, true);
    for (i = 0; i < op->watcher_count; i++) {
        pthread_join(op->watchers[i].thread, NULL);
    }
}

static int
compare_times(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static void
print_times(const char *name, int64_t *us, size_t count)
{
    size_t median = count / 2;
    size_t p99 = count * 99 / 100;

    if (count == 0) {
        return;
    }
    qsort(us, count, sizeof(*us), compare_times);
    printf(", \"%s_p50_ms\": %.2f, \"%s_p99_ms\": %.2f, \"%s_max_ms\": %.2f",
           name, (double)us[median] / 1000, name, (double)us[p99] / 1000, name,
           (double)us[count - 1] / 1000);
}

/* Returns the time at which the last watched VM reported the patch as in
 * force, or 0 if a VM never did. cursors holds a position in each VM's
 * samples. */
static int64_t
find_in_force_us(const Operator *op, const Patch *patch, size_t *cursors)
{
    int64_t latest_us = patch->accepted_us;
    int i;

    for (i = 0; i < op->watcher_count; i++) {
        const Watcher *watcher = &op->watchers[i];
        while (cursors[i] < watcher->sample_count &&
               watcher->samples[cursors[i]].version < patch->version) {
            cursors[i]++;
        }
        if (cursors[i] == watcher->sample_count) {
            return 0;
        }
        if (watcher->samples[cursors[i]].time_us > latest_us) {
            latest_us = watcher->samples[cursors[i]].time_us;
        }
    }
    return latest_us;
}

static void
print_polls(const Operator *op)
{
    uint64_t polls = 0;
    uint64_t reverts = 0;
    double span_us = 0;
    int64_t max_gap_us = 0;
    int i;

    for (i = 0; i < op->watcher_count; i++) {
        const Watcher *watcher = &op->watchers[i];
        polls += watcher->polls;
        reverts += watcher->reverts;
        span_us += (double)(watcher->last_poll_us - watcher->first_poll_us);
        max_gap_us = watcher->max_gap_us > max_gap_us ? watcher->max_gap_us
                                                      : max_gap_us;
    }
    printf(", \"poll_mean_ms\": %.2f, \"poll_gap_max_ms\": %.2f, "
           "\"reverts\": %llu",
           polls > 0 ? span_us / (double)polls / 1000 : 0.0,
           (double)max_gap_us / 1000, (unsigned long long)reverts);
}

static void
print_report(const Operator *op)
{
    size_t count = (size_t)op->accepted;
    int64_t *accept_us = calloc(count + 1, sizeof(*accept_us));
    int64_t *in_force_us = calloc(count + 1, sizeof(*in_force_us));
    size_t cursors[MAX_PORTS] = {0};
    size_t in_force_count = 0;
    size_t i;

    if (accept_us == NULL || in_force_us == NULL) {
        abort();
    }
    for (i = 0; i < count; i++) {
        const Patch *patch = &op->patches[i];
        int64_t time_us = find_in_force_us(op, patch, cursors);
        accept_us[i] = patch->accepted_us - patch->sent_us;
        if (time_us > 0) {
            in_force_us[in_force_count++] = time_us - patch->accepted_us;
        }
    }
    printf("{\"patches\": %d, \"accepted\": %d, \"resent\": %d, "
           "\"conflicts\": %d",
           op->patch_count, op->accepted, op->resent, op->conflicts);
    if (count > 0) {
        printf(", \"per_second\": %.1f",
               (double)count * 1e6 /
                   (double)(op->patches[count - 1].accepted_us -
                            op->patches[0].sent_us));
    }
    print_times("accept", accept_us, count);
    if (op->watcher_count > 0) {
        printf(", \"in_force\": %zu", in_force_count);
        print_times("in_force", in_force_us, in_force_count);
        print_polls(op);
    }
    printf("}\n");
    free(accept_us);
    free(in_force_us);
}

int
main(int argc, char **argv)
{
    static Operator op;
    struct arg_str *to = arg_strn(NULL, "to", "IP:PORT", 1, MAX_PORTS,
                                  "control port; the next on a failure");
    struct arg_str *watch = arg_strn(NULL, "watch", "IP:PORT", 0, MAX_PORTS,
                                     "control port whose version is polled");
    struct arg_int *patches = arg_int0(NULL, "patches", "N", "(100)");
    struct arg_dbl *rate =
        arg_dbl0(NULL, "rate", "N", "patches a second; 0: no pause (0)");
    struct arg_str *path = arg_str0(NULL, "path", "PATH", "(limits/standin)");
    struct arg_int *poll =
        arg_int0(NULL, "poll-us", "US", "pause between two polls (1000)");
    struct arg_end *end = arg_end(10);
    void *table[] = {to, watch, patches, rate, path, poll, end};
    int i;

    patches->ival[0] = 100;
    rate->dval[0] = 0;
    path->sval[0] = "limits/standin";
    poll->ival[0] = 1000;
    if (arg_parse(argc, argv, table) > 0 || patches->ival[0] < 1) {
        arg_print_errors(stderr, end, "standin-operator");
        arg_print_glossary(stderr, table, "  %-24s %s\n");
        return 2;
    }
    op.ports = to->sval;
    op.port_count = to->count;
    op.path = path->sval[0];
    op.patch_count = patches->ival[0];
    op.rate = rate->dval[0];
    op.poll_us = poll->ival[0];
    op.patches = calloc((size_t)op.patch_count + 1, sizeof(Patch));
    if (op.patches == NULL) {
        abort();
    }
    curl_global_init(CURL_GLOBAL_ALL);
    start_watchers(&op, watch);
    submit_patches(&op);
    finish_watching(&op);
    print_report(&op);
    for (i = 0; i < op.watcher_count; i++) {
        free(op.watchers[i].samples);
    }
    free(op.patches);
    curl_global_cleanup();
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return op.accepted == op.patch_count ? EXIT_SUCCESS : EXIT_FAILURE;
}
