/*
 * NAME
 *     hist - counters and a log-linear histogram
 *
 * DESCRIPTION
 *     Each value below 32 has its own bucket. The range from each higher power
 *     of two to the next is divided into 32 buckets of equal width, as in
 *     HdrHistogram, so a quantile is off by at most 1/HIST_SUB_BUCKETS of the
 *     true value.
 *     Values of HIST_MAX_VALUE or more share the last bucket and are counted
 *     in overflow; quantiles never exceed the largest recorded value. A Hist
 *     takes HIST_BYTES (about 8.2 KB) and has no pointers.
 */
#ifndef COLTSFOOT_HIST_H
#define COLTSFOOT_HIST_H

#include <stddef.h>
#include <stdint.h>

#include "buf.h"

#define HIST_SUB_BITS 5
#define HIST_SUB_BUCKETS ((size_t)32) /* 2 to the power of HIST_SUB_BITS */
#define HIST_MAX_BITS 36              /* 19 hours in microseconds */
#define HIST_MAX_VALUE ((uint64_t)1 << HIST_MAX_BITS)
#define HIST_BUCKETS (HIST_SUB_BUCKETS * (HIST_MAX_BITS - HIST_SUB_BITS + 1))
#define HIST_BYTES (sizeof(Hist))

typedef struct Hist {
    uint64_t total;
    uint64_t overflow; /* number of values of HIST_MAX_VALUE or more */
    uint64_t min;
    uint64_t max;
    double sum;
    uint64_t counts[HIST_BUCKETS];
} Hist;

void Hist_Clear(Hist *hist);
void Hist_Record(Hist *hist, uint64_t value, uint64_t count);

/* Adds the values of from. The order of merges does not matter. */
void Hist_Merge(Hist *hist, const Hist *from);

/* Returns the value at or below which the fraction q (0 to 1) of all values
 * lies, or 0 for an empty histogram. */
uint64_t Hist_Quantile(const Hist *hist, double q);

/* Returns the mean of all values, or 0 for an empty histogram. */
double Hist_Mean(const Hist *hist);

/* A fixed set of counters; names and values have count elements. */
typedef struct HistCounters {
    const char *const *names;
    uint64_t *values;
    size_t count;
} HistCounters;

/* Adds amount to a counter, which saturates at UINT64_MAX. Ignores an index
 * that is out of range. */
void Hist_AddToCounter(HistCounters *counters, size_t index, uint64_t amount);

/* Appends a line "name value" for each counter. */
void Hist_FormatCounters(const HistCounters *counters, Buf *out);

#endif
