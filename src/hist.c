#include "hist.h"

#include <inttypes.h>
#include <string.h>

void
Hist_Clear(Hist *hist)
{
    memset(hist, 0, sizeof(*hist));
}

static size_t
get_bucket_index(uint64_t value)
{
    unsigned shift = 0;

    if (value >= HIST_MAX_VALUE) {
        return HIST_BUCKETS - 1;
    }
    while (value >> shift >= 2 * HIST_SUB_BUCKETS) {
        shift++;
    }
    return shift * HIST_SUB_BUCKETS + (size_t)(value >> shift);
}

/* Returns the middle of a bucket, since its maximum error is half that of an
 * edge. */
static uint64_t
get_bucket_middle(size_t bucket)
{
    size_t shift = bucket / HIST_SUB_BUCKETS;
    uint64_t low;

    if (shift < 2) {
        return bucket;
    }
    shift--;
    low = (uint64_t)(bucket - shift * HIST_SUB_BUCKETS) << shift;
    return low + ((uint64_t)1 << shift) / 2;
}

void
Hist_Record(Hist *hist, uint64_t value, uint64_t count)
{
    if (count == 0) {
        return;
    }
    if (hist->total == 0 || value < hist->min) {
        hist->min = value;
    }
    if (value > hist->max) {
        hist->max = value;
    }
    if (value >= HIST_MAX_VALUE) {
        hist->overflow += count;
    }
    hist->total += count;
    hist->sum += (double)value * (double)count;
    hist->counts[get_bucket_index(value)] += count;
}

void
Hist_Merge(Hist *hist, const Hist *from)
{
    size_t i;

    if (from->total == 0) {
        return;
    }
    if (hist->total == 0 || from->min < hist->min) {
        hist->min = from->min;
    }
    if (from->max > hist->max) {
        hist->max = from->max;
    }
    hist->total += from->total;
    hist->overflow += from->overflow;
    hist->sum += from->sum;
    for (i = 0; i < HIST_BUCKETS; i++) {
        hist->counts[i] += from->counts[i];
    }
}

uint64_t
Hist_Quantile(const Hist *hist, double q)
{
    double rank = q * (double)hist->total;
    uint64_t cumulative_count = 0;
    uint64_t value;
    size_t i;

    if (hist->total == 0 || q <= 0.0) {
        return hist->min;
    }
    for (i = 0; i < HIST_BUCKETS - 1; i++) {
        cumulative_count += hist->counts[i];
        if ((double)cumulative_count >= rank) {
            break;
        }
    }
    value = i == HIST_BUCKETS - 1 ? hist->max : get_bucket_middle(i);
    if (value < hist->min) {
        return hist->min;
    }
    return value > hist->max ? hist->max : value;
}

double
Hist_Mean(const Hist *hist)
{
    return hist->total == 0 ? 0.0 : hist->sum / (double)hist->total;
}

void
Hist_AddToCounter(HistCounters *counters, size_t index, uint64_t amount)
{
    uint64_t *value;

    if (index >= counters->count) {
        return;
    }
    value = &counters->values[index];
    *value = amount > UINT64_MAX - *value ? UINT64_MAX : *value + amount;
}

void
Hist_FormatCounters(const HistCounters *counters, Buf *out)
{
    size_t i;

    for (i = 0; i < counters->count; i++) {
        Buf_Printf(out, "%s %" PRIu64 "\n", counters->names[i],
                   counters->values[i]);
    }
}
