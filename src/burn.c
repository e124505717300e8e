#include "burn.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define CHART_WIDTH 600
#define CHART_HEIGHT 120

typedef struct Bucket {
    int64_t number; /* start time divided by bucket_ms */
    uint32_t good;
    uint32_t bad;
} Bucket;

typedef struct Service {
    char name[BURN_NAME_BYTES];
    int64_t slo_ms;
    double slo_percent;
    Bucket *ring;
} Service;

struct Burn {
    BurnOptions options;
    int64_t ring_size;
    Service *services;
    size_t count;
};

Burn *
Burn_New(const BurnOptions *options)
{
    Burn *burn;

    if (options->bucket_ms < 1 || options->short_ms < options->bucket_ms ||
        options->long_ms < options->short_ms ||
        options->short_ms % options->bucket_ms != 0 ||
        options->long_ms % options->bucket_ms != 0) {
        return NULL;
    }
    burn = calloc(1, sizeof(*burn));
    if (burn == NULL) {
        return NULL;
    }
    burn->options = *options;
    burn->ring_size = options->long_ms / options->bucket_ms;
    burn->services = calloc(options->max_services, sizeof(*burn->services));
    if (burn->services == NULL) {
        free(burn);
        return NULL;
    }
    return burn;
}

void
Burn_Free(Burn *burn)
{
    size_t i;

    if (burn == NULL) {
        return;
    }
    for (i = 0; i < burn->count; i++) {
        free(burn->services[i].ring);
    }
    free(burn->services);
    free(burn);
}

Status
Burn_FindService(const Burn *burn, const char *service, size_t *index)
{
    size_t i;

    for (i = 0; i < burn->count; i++) {
        if (strcmp(burn->services[i].name, service) == 0) {
            *index = i;
            return ST_OK;
        }
    }
    return ST_NOT_FOUND;
}

static bool
is_valid_name(const char *name)
{
    size_t len = 0;

    for (; name[len] != '\0'; len++) {
        if (name[len] < ' ' || name[len] > '~' || len + 1 == BURN_NAME_BYTES) {
            return false;
        }
    }
    return len > 0;
}

Status
Burn_SetObjective(Burn *burn, const char *service, int64_t slo_ms,
                  double slo_percent, size_t *index)
{
    Service *entry;
    int64_t i;

    if (!is_valid_name(service) || slo_ms < 1 ||
        !(slo_percent > 0.0 && slo_percent < 100.0)) {
        return ST_INVALID;
    }
    if (Burn_FindService(burn, service, index) != ST_OK) {
        if (burn->count == burn->options.max_services) {
            return ST_FULL;
        }
        entry = &burn->services[burn->count];
        entry->ring = calloc((size_t)burn->ring_size, sizeof(Bucket));
        if (entry->ring == NULL) {
            return ST_NO_MEMORY;
        }
        for (i = 0; i < burn->ring_size; i++) {
            entry->ring[i].number = -1;
        }
        memcpy(entry->name, service, strlen(service) + 1);
        *index = burn->count++;
    }
    burn->services[*index].slo_ms = slo_ms;
    burn->services[*index].slo_percent = slo_percent;
    return ST_OK;
}

void
Burn_RecordRequest(Burn *burn, int64_t now_ms, size_t index,
                   int64_t latency_ms, bool ok)
{
    int64_t number = now_ms / burn->options.bucket_ms;
    Service *service;
    Bucket *bucket;
    uint32_t *counter;

    if (index >= burn->count || now_ms < 0) {
        return;
    }
    service = &burn->services[index];
    bucket = &service->ring[number % burn->ring_size];
    if (bucket->number > number) {
        return; /* now_ms is from before the long window */
    }
    if (bucket->number < number) {
        *bucket = (Bucket){number, 0, 0};
    }
    counter =
        ok && latency_ms <= service->slo_ms ? &bucket->good : &bucket->bad;
    if (*counter < UINT32_MAX) {
        (*counter)++;
    }
}

/* Returns the totals and the burn rate of the buckets numbered first to last.
 */
static BurnWindow
sum_window(const Burn *burn, const Service *service, int64_t first,
           int64_t last)
{
    BurnWindow window = {0, 0, 0.0};
    int64_t number;

    for (number = first < 0 ? 0 : first; number <= last; number++) {
        const Bucket *bucket = &service->ring[number % burn->ring_size];
        if (bucket->number == number) {
            window.good += bucket->good;
            window.bad += bucket->bad;
        }
    }
    if (window.good + window.bad > 0) {
        window.rate = (double)window.bad / (double)(window.good + window.bad) /
                      (1.0 - service->slo_percent / 100.0);
    }
    return window;
}

BurnRate
Burn_GetRate(const Burn *burn, int64_t now_ms, size_t index)
{
    const BurnOptions *options = &burn->options;
    int64_t last = now_ms / options->bucket_ms;
    BurnRate rate;

    memset(&rate, 0, sizeof(rate));
    if (index >= burn->count || now_ms < 0) {
        return rate;
    }
    rate.recent =
        sum_window(burn, &burn->services[index],
                   last - options->short_ms / options->bucket_ms + 1, last);
    rate.whole = sum_window(burn, &burn->services[index],
                            last - burn->ring_size + 1, last);
    rate.alert = rate.recent.rate >= options->alert_rate &&
                 rate.whole.rate >= options->alert_rate;
    return rate;
}

void
Burn_ReportText(const Burn *burn, int64_t now_ms, Buf *out)
{
    size_t i;

    Buf_Printf(out, "%-24s %8s %8s %10s %10s %10s %10s\n", "service", "slo_ms",
               "percent", "burn_short", "burn_long", "requests", "missed");
    for (i = 0; i < burn->count; i++) {
        const Service *service = &burn->services[i];
        BurnRate rate = Burn_GetRate(burn, now_ms, i);
        Buf_Printf(out,
                   "%-24s %8" PRId64 " %8.3f %10.2f %10.2f %10" PRIu64
                   " %10" PRIu64 "%s\n",
                   service->name, service->slo_ms, service->slo_percent,
                   rate.recent.rate, rate.whole.rate,
                   rate.whole.good + rate.whole.bad, rate.whole.bad,
                   rate.alert ? " ALERT" : "");
    }
}

static json_t *
window_json(const BurnWindow *window, int64_t length_ms)
{
    uint64_t requests = window->good + window->bad;

    return json_pack("{s:I,s:I,s:I,s:f}", "window_ms", (json_int_t)length_ms,
                     "requests", (json_int_t)requests, "missed",
                     (json_int_t)window->bad, "burn_rate", window->rate);
}

Status
Burn_ReportJson(const Burn *burn, int64_t now_ms, Buf *out)
{
    json_t *list = json_array();
    json_t *root =
        json_pack("{s:I,s:f,s:o}", "time_ms", (json_int_t)now_ms, "alert_rate",
                  burn->options.alert_rate, "services", list);
    char *text;
    size_t i;

    for (i = 0; i < burn->count; i++) {
        const Service *service = &burn->services[i];
        BurnRate rate = Burn_GetRate(burn, now_ms, i);
        json_array_append_new(
            list,
            json_pack("{s:s,s:I,s:f,s:b,s:o,s:o}", "service", service->name,
                      "slo_ms", (json_int_t)service->slo_ms, "slo_percent",
                      service->slo_percent, "alert", (int)rate.alert, "short",
                      window_json(&rate.recent, burn->options.short_ms),
                      "long",
                      window_json(&rate.whole, burn->options.long_ms)));
    }
    text = root == NULL ? NULL : json_dumps(root, JSON_COMPACT);
    json_decref(root);
    if (text == NULL) {
        return ST_NO_MEMORY;
    }
    Buf_Append(out, text, strlen(text));
    free(text);
    return ST_OK;
}

static void
append_escaped(Buf *out, const char *text)
{
    for (; *text != '\0'; text++) {
        switch (*text) {
        case '<':
            Buf_Printf(out, "&lt;");
            break;
        case '>':
            Buf_Printf(out, "&gt;");
            break;
        case '&':
            Buf_Printf(out, "&amp;");
            break;
        case '"':
            Buf_Printf(out, "&quot;");
            break;
        default:
            Buf_Append(out, text, 1);
        }
    }
}

/* Appends an SVG chart of the burn rate over the long window. The dashed line
 * is the alert rate. */
static void
append_chart(const Burn *burn, const Service *service, int64_t now_ms,
             Buf *out)
{
    double rates[BURN_CHART_POINTS];
    double scale_max = burn->options.alert_rate * 1.25;
    int64_t last = now_ms / burn->options.bucket_ms;
    int64_t first = last - burn->ring_size + 1;
    int i;

    for (i = 0; i < BURN_CHART_POINTS; i++) {
        int64_t from = first + burn->ring_size * i / BURN_CHART_POINTS;
        int64_t to = first + burn->ring_size * (i + 1) / BURN_CHART_POINTS - 1;
        rates[i] = sum_window(burn, service, from, to).rate;
        scale_max = rates[i] > scale_max ? rates[i] : scale_max;
    }
    scale_max = scale_max > 0.0 ? scale_max : 1.0;
    Buf_Printf(out,
               "<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" "
               "role=\"img\"><title>burn rate, scale 0 to %.1f</title>"
               "<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
               "stroke=\"#b00\" stroke-dasharray=\"4\"/>"
               "<polyline fill=\"none\" stroke=\"#036\" points=\"",
               CHART_WIDTH, CHART_HEIGHT, CHART_WIDTH, CHART_HEIGHT, scale_max,
               CHART_WIDTH,
               CHART_HEIGHT * (1.0 - burn->options.alert_rate / scale_max),
               CHART_HEIGHT * (1.0 - burn->options.alert_rate / scale_max));
    for (i = 0; i < BURN_CHART_POINTS; i++) {
        Buf_Printf(out, "%.1f,%.1f ",
                   (double)CHART_WIDTH * i / (BURN_CHART_POINTS - 1),
                   CHART_HEIGHT * (1.0 - rates[i] / scale_max));
    }
    Buf_Printf(out, "\"/></svg>");
}

void
Burn_ReportHtml(const Burn *burn, int64_t now_ms, Buf *out)
{
    size_t i;

    Buf_Printf(out, "<!DOCTYPE html>\n<html lang=\"en\"><head>"
                    "<meta charset=\"utf-8\"><title>Burn rates</title>"
                    "<style>body{font-family:sans-serif;margin:2em}"
                    "td,th{padding:.3em .8em;text-align:right}"
                    ".alert{color:#b00}svg{border:1px solid #ccc}</style>"
                    "</head><body><h1>Burn rates</h1>\n");
    Buf_Printf(out,
               "<p>At %" PRId64 " ms. Windows: %" PRId64 " s and %" PRId64
               " s.</p>\n<table><tr><th>service</th><th>objective</th>"
               "<th>short</th><th>long</th><th>requests</th>"
               "<th>missed</th><th>long window</th></tr>\n",
               now_ms, burn->options.short_ms / 1000,
               burn->options.long_ms / 1000);
    for (i = 0; i < burn->count; i++) {
        const Service *service = &burn->services[i];
        BurnRate rate = Burn_GetRate(burn, now_ms, i);
        Buf_Printf(out, "<tr%s><td>", rate.alert ? " class=\"alert\"" : "");
        append_escaped(out, service->name);
        Buf_Printf(out,
                   "</td><td>%.3f%% in %" PRId64 " ms</td><td>%.2f</td>"
                   "<td>%.2f</td><td>%" PRIu64 "</td><td>%" PRIu64 "</td><td>",
                   service->slo_percent, service->slo_ms, rate.recent.rate,
                   rate.whole.rate, rate.whole.good + rate.whole.bad,
                   rate.whole.bad);
        append_chart(burn, service, now_ms, out);
        Buf_Printf(out, "</td></tr>\n");
    }
    Buf_Printf(out, "</table></body></html>\n");
}
