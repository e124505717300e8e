/*
 * NAME
 *     burn - service-level objectives and burn rates
 *
 * DESCRIPTION
 *     An objective requires that slo_percent of a service's requests are
 *     answered within slo_ms. The burn rate is the share of requests that
 *     miss the objective, divided by the share that may miss it: at 1 the
 *     error budget is used up exactly. It is computed over a short and a long
 *     sliding window. An alert requires the alert rate in both (Beyer et al.,
 *     The Site Reliability Workbook, 2018, chapter 5), so that one second of
 *     failures does not raise it and a past peak does not keep it active.
 *     Each service takes long_ms / bucket_ms buckets of 16 bytes, 11.5 KB by
 *     default. Recording is O(1). Not thread-safe.
 */
#ifndef COLTSFOOT_BURN_H
#define COLTSFOOT_BURN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "status.h"

#define BURN_NAME_BYTES 64
#define BURN_CHART_POINTS 60

typedef struct Burn Burn;

typedef struct BurnOptions {
    int64_t bucket_ms;
    int64_t short_ms; /* multiple of bucket_ms */
    int64_t long_ms;  /* multiple of bucket_ms */
    double alert_rate;
    size_t max_services;
} BurnOptions;

/* At a burn rate of 14.4, one hour uses 2% of the error budget of 30 days. */
#define BURN_OPTIONS_DEFAULT                                                  \
    ((BurnOptions){.bucket_ms = 5000,                                         \
                   .short_ms = 300000,                                        \
                   .long_ms = 3600000,                                        \
                   .alert_rate = 14.4,                                        \
                   .max_services = 256})

typedef struct BurnWindow {
    uint64_t good; /* requests that met the objective */
    uint64_t bad;  /* requests that missed the objective */
    double rate;   /* burn rate; 0 without requests */
} BurnWindow;

typedef struct BurnRate {
    BurnWindow recent; /* short window */
    BurnWindow whole;  /* long window */
    bool alert;
} BurnRate;

/* Returns NULL if the options are invalid or memory is exhausted. */
Burn *Burn_New(const BurnOptions *options);
void Burn_Free(Burn *burn);

/* Adds a service or changes its objective. Requests that are already counted
 * stay good or bad. slo_ms must be at least 1 and slo_percent greater than 0
 * and less than 100. A name has 1 to 63 printable ASCII characters. Stores the
 * index of the service, which never changes, in *index. Returns ST_INVALID,
 * ST_FULL or ST_NO_MEMORY on failure. */
Status Burn_SetObjective(Burn *burn, const char *service, int64_t slo_ms,
                         double slo_percent, size_t *index);

/* Stores the index of a service, or returns ST_NOT_FOUND. */
Status Burn_FindService(const Burn *burn, const char *service, size_t *index);

/* Counts a request that ended at now_ms. A failed request misses the objective
 * regardless of its latency. Ignores an unknown index and a time from before
 * the long window. */
void Burn_RecordRequest(Burn *burn, int64_t now_ms, size_t index,
                        int64_t latency_ms, bool ok);

/* Returns the burn rates of a service, or zeros for an unknown index. */
BurnRate Burn_GetRate(const Burn *burn, int64_t now_ms, size_t index);

/* Append a report on all services. The HTML page is self-contained. */
void Burn_ReportText(const Burn *burn, int64_t now_ms, Buf *out);
Status Burn_ReportJson(const Burn *burn, int64_t now_ms, Buf *out);
void Burn_ReportHtml(const Burn *burn, int64_t now_ms, Buf *out);

#endif
