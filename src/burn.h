/*
 * NAME
 *     burn - service-level objectives and burn rates
 *
 * DESCRIPTION
 *     An objective says that slo_percent of a service's requests are answered
 *     within slo_ms. The burn rate is the share of requests that miss it,
 *     divided by the share that may: at 1 the error budget is used up exactly.
 *     It is computed over a short and a long window; an alert needs both
 *     (Beyer et al., The Site Reliability Workbook, 2018, chapter 5), so that
 *     one bad second does not raise it and a past peak does not keep it up.
 *     A service takes long_ms / bucket_ms buckets of 16 bytes, 11.5 KB by
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
    int64_t short_ms; /* both windows are multiples of bucket_ms */
    int64_t long_ms;
    double alert_rate;
    size_t max_services;
} BurnOptions;

/* At 14.4 an hour uses 2% of the error budget of 30 days. */
#define BURN_OPTIONS_DEFAULT                                                  \
    ((BurnOptions){.bucket_ms = 5000,                                         \
                   .short_ms = 300000,                                        \
                   .long_ms = 3600000,                                        \
                   .alert_rate = 14.4,                                        \
                   .max_services = 256})

typedef struct BurnWindow {
    uint64_t good;
    uint64_t bad;
    double rate; /* 0 without requests */
} BurnWindow;

typedef struct BurnRate {
    BurnWindow recent; /* the last short_ms */
    BurnWindow whole;  /* the last long_ms */
    bool alert;
} BurnRate;

/* Returns NULL for options that break a rule, or without memory. */
Burn *Burn_New(const BurnOptions *options);
void Burn_Free(Burn *burn);

/* Adds a service or changes its objective; what is counted stays. slo_ms is
 * at least 1, slo_percent between 0 and 100, both excluded. Names have 1 to 63
 * printable ASCII characters. Stores the service's index, which stays valid,
 * in *index. Returns ST_INVALID or ST_FULL. */
Status Burn_SetObjective(Burn *burn, const char *service, int64_t slo_ms,
                         double slo_percent, size_t *index);

/* Returns ST_NOT_FOUND for an unknown service. */
Status Burn_Find(const Burn *burn, const char *service, size_t *index);

/* Counts one request that ended at now. One that failed misses the objective
 * whatever its latency. An unknown index is ignored. */
void Burn_Record(Burn *burn, int64_t now, size_t index, int64_t latency_ms,
                 bool ok);

/* Returns zeros for an unknown index. */
BurnRate Burn_Rate(const Burn *burn, int64_t now, size_t index);

/* Append a report on all services. The page needs no other file. */
void Burn_ReportText(const Burn *burn, int64_t now, Buf *out);
Status Burn_ReportJson(const Burn *burn, int64_t now, Buf *out);
void Burn_ReportHtml(const Burn *burn, int64_t now, Buf *out);

#endif
