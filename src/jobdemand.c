#include "jobdemand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job.h"
#include "mem.h"

#define DEMAND_MAX_POOLS 160
#define DEMAND_MAX_BURSTS 24
/* Rate, in percent of the mean, above which a bin belongs to a burst. */
#define BURST_THRESHOLD_PERCENT 150
/* Shorter runs of bins above the threshold are noise. */
#define BURST_MIN_MS 1500
/* A burst continues across a dip of at most this length. */
#define BURST_MAX_DIP_MS 750
/* Bursts are periodic if the last two times from start to start differ by at
 * most this share. */
#define PERIOD_TOLERANCE_PERCENT 20
/* Length of each of the two successive spans whose rates give the slope. */
#define SLOPE_MS 1000
/* Below this rate, in thousandths of a core, single jobs dominate the
 * slope. */
#define SLOPE_MIN_RATE 12000
/* Share of the slope that is extrapolated, since a rise does not last. */
#define SLOPE_DAMPING_PERCENT 60

typedef struct Burst {
    int64_t start_ms;
    int64_t end_ms;
    int64_t rate; /* mean rate of the burst */
    bool open;    /* has not ended yet */
} Burst;

typedef struct DemandPool {
    char name[JOB_NAME_BYTES];
    int64_t bins[DEMAND_BINS];   /* work by bin number modulo DEMAND_BINS */
    int64_t bin_at[DEMAND_BINS]; /* number of the bin stored at an index */
} DemandPool;

struct JobDemand {
    int64_t since;
    DemandPool *pools;
    size_t count;
};

JobDemand *
JobDemand_New(void)
{
    JobDemand *demand = Mem_New(1, sizeof(*demand));

    return demand;
}

void
JobDemand_Free(JobDemand *demand)
{
    if (demand != NULL) {
        free(demand->pools);
        free(demand);
    }
}

void
JobDemand_Clear(JobDemand *demand, int64_t now)
{
    free(demand->pools);
    memset(demand, 0, sizeof(*demand));
    demand->since = now;
}

static DemandPool *
find_pool(const JobDemand *demand, const char *name)
{
    size_t i;

    for (i = 0; i < demand->count; i++) {
        if (strcmp(demand->pools[i].name, name) == 0) {
            return &demand->pools[i];
        }
    }
    return NULL;
}

void
JobDemand_AddWork(JobDemand *demand, int64_t now, const char *name,
                  int64_t core_ms)
{
    DemandPool *pool = find_pool(demand, name);
    int64_t bin = now / DEMAND_BIN_MS;
    size_t at = (size_t)(bin % DEMAND_BINS);

    if (demand->since == 0) {
        demand->since = now;
    }
    if (pool == NULL) {
        if (demand->count == DEMAND_MAX_POOLS) {
            return;
        }
        demand->pools = Mem_Resize(demand->pools,
                                   (demand->count + 1) * sizeof(DemandPool));
        pool = &demand->pools[demand->count++];
        memset(pool, 0, sizeof(*pool));
        snprintf(pool->name, sizeof(pool->name), "%s", name);
    }
    if (pool->bin_at[at] != bin) {
        pool->bin_at[at] = bin;
        pool->bins[at] = 0;
    }
    pool->bins[at] += core_ms;
}

static int64_t
get_bin_work(const DemandPool *pool, int64_t bin)
{
    size_t at = (size_t)(bin % DEMAND_BINS);

    return pool->bin_at[at] == bin ? pool->bins[at] : 0;
}

static int64_t
find_first_bin(const JobDemand *demand, int64_t now)
{
    int64_t first = demand->since / DEMAND_BIN_MS;
    int64_t oldest = now / DEMAND_BIN_MS - DEMAND_BINS + 1;

    return first > oldest ? first : oldest;
}

int64_t
JobDemand_GetRate(const JobDemand *demand, int64_t now, const char *name,
                  int64_t span_ms)
{
    const DemandPool *pool = find_pool(demand, name);
    int64_t last = now / DEMAND_BIN_MS;
    int64_t begin = (now - span_ms) / DEMAND_BIN_MS + 1;
    int64_t work = 0;
    int64_t bin;
    int64_t span;

    if (pool == NULL) {
        return 0;
    }
    if (begin < find_first_bin(demand, now)) {
        begin = find_first_bin(demand, now);
    }
    for (bin = begin; bin <= last; bin++) {
        work += get_bin_work(pool, bin);
    }
    span = now - begin * DEMAND_BIN_MS;
    return span >= DEMAND_BIN_MS ? work / span : work / DEMAND_BIN_MS;
}

static int64_t
compute_mean_rate(const JobDemand *demand, const DemandPool *pool, int64_t now)
{
    int64_t first = find_first_bin(demand, now);
    int64_t last = now / DEMAND_BIN_MS;
    int64_t work = 0;
    int64_t bin;

    for (bin = first; bin <= last; bin++) {
        work += get_bin_work(pool, bin);
    }
    return work / ((last - first + 1) * DEMAND_BIN_MS);
}

/* Stores the bursts of a pool, oldest first, and returns their number. */
static size_t
find_bursts(const JobDemand *demand, const DemandPool *pool, int64_t now,
            Burst bursts[DEMAND_MAX_BURSTS])
{
    int64_t limit =
        compute_mean_rate(demand, pool, now) * BURST_THRESHOLD_PERCENT / 100;
    int64_t last = now / DEMAND_BIN_MS;
    int64_t first = -1;
    int64_t last_high = -1;
    int64_t work = 0;
    size_t count = 0;
    int64_t bin;

    for (bin = find_first_bin(demand, now); bin <= last + 1; bin++) {
        int64_t rate =
            bin <= last ? get_bin_work(pool, bin) / DEMAND_BIN_MS : 0;
        if (rate > limit && limit > 0) {
            first = first < 0 ? bin : first;
            last_high = bin;
        }
        if (first >= 0) {
            work += bin <= last ? get_bin_work(pool, bin) : 0;
        }
        if (first < 0 || (bin <= last && (bin - last_high) * DEMAND_BIN_MS <=
                                             BURST_MAX_DIP_MS)) {
            continue;
        }
        if ((last_high - first + 1) * DEMAND_BIN_MS >= BURST_MIN_MS &&
            count < DEMAND_MAX_BURSTS) {
            Burst *burst = &bursts[count++];
            burst->start_ms = first * DEMAND_BIN_MS;
            burst->end_ms = (last_high + 1) * DEMAND_BIN_MS;
            burst->rate = work / (burst->end_ms - burst->start_ms);
            burst->open =
                (last - last_high) * DEMAND_BIN_MS <= BURST_MAX_DIP_MS;
        }
        first = -1;
        work = 0;
    }
    return count;
}

static int64_t
find_period(const Burst *bursts, size_t count)
{
    int64_t last;
    int64_t before;

    if (count < 3) {
        return 0;
    }
    last = bursts[count - 1].start_ms - bursts[count - 2].start_ms;
    before = bursts[count - 2].start_ms - bursts[count - 3].start_ms;
    return llabs(last - before) * 100 <= last * PERIOD_TOLERANCE_PERCENT ? last
                                                                         : 0;
}

int64_t
JobDemand_GetPeriod(const JobDemand *demand, int64_t now, const char *name)
{
    const DemandPool *pool = find_pool(demand, name);
    Burst bursts[DEMAND_MAX_BURSTS];
    size_t count;

    if (pool == NULL) {
        return 0;
    }
    count = find_bursts(demand, pool, now, bursts);
    return find_period(bursts, count);
}

int64_t
JobDemand_ExtrapolateRate(const JobDemand *demand, int64_t now,
                          const char *name, int64_t ahead_ms)
{
    int64_t recent_rate = JobDemand_GetRate(demand, now, name, SLOPE_MS);
    int64_t both_spans_rate =
        JobDemand_GetRate(demand, now, name, 2 * SLOPE_MS);
    int64_t slope = (recent_rate - both_spans_rate) * 2; /* per SLOPE_MS */

    if (slope <= 0 || recent_rate < SLOPE_MIN_RATE) {
        return 0;
    }
    return recent_rate + slope * (ahead_ms + SLOPE_MS / 2) / SLOPE_MS *
                             SLOPE_DAMPING_PERCENT / 100;
}

int64_t
JobDemand_ForecastRate(const JobDemand *demand, int64_t now, const char *name,
                       int64_t from, int64_t until)
{
    const DemandPool *pool = find_pool(demand, name);
    Burst bursts[DEMAND_MAX_BURSTS];
    const Burst *last;
    const Burst *reference;
    int64_t period;
    int64_t start;
    size_t count;

    if (pool == NULL) {
        return 0;
    }
    count = find_bursts(demand, pool, now, bursts);
    period = find_period(bursts, count);
    if (count == 0 || period <= 0) {
        return 0;
    }
    last = &bursts[count - 1];
    /* The final length of an open burst is not known yet. */
    reference = last->open && count > 1 ? &bursts[count - 2] : last;
    for (start = last->start_ms; start <= until; start += period) {
        int64_t end = start + (reference->end_ms - reference->start_ms);
        if (start < until && end > from) {
            return reference->rate;
        }
    }
    return 0;
}
