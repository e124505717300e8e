#include "jobdemand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job.h"
#include "mem.h"

#define MAX_POOLS 160
#define MAX_TURNS 24
/* A bin belongs to a turn when it is this far above the mean. */
#define TURN_PERCENT 150
/* Shorter runs of high bins are noise. */
#define TURN_MIN_MS 1500
/* A turn goes on over a dip of this length. */
#define TURN_GAP_MS 750
/* Distances of turns that differ more are no period. */
#define PERIOD_OFF_PERCENT 20
/* The slope is that between two spans of this length. */
#define SLOPE_MS 1000
/* Below this rate single jobs make the slope. */
#define SLOPE_MIN_RATE 12000
/* A rise does not go on for ever. */
#define SLOPE_TRUST_PERCENT 60

typedef struct Turn {
    int64_t rise;
    int64_t fall;
    int64_t rate;
    bool open; /* reaches up to now */
} Turn;

typedef struct DemandPool {
    char name[JOB_NAME_BYTES];
    int64_t bins[DEMAND_BINS];   /* core-ms, by time modulo */
    int64_t bin_at[DEMAND_BINS]; /* number of the bin that is stored */
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
JobDemand_Add(JobDemand *demand, int64_t now, const char *name,
              int64_t core_ms)
{
    DemandPool *pool = find_pool(demand, name);
    int64_t bin = now / DEMAND_BIN_MS;
    size_t at = (size_t)(bin % DEMAND_BINS);

    if (demand->since == 0) {
        demand->since = now;
    }
    if (pool == NULL) {
        if (demand->count == MAX_POOLS) {
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
bin_work(const DemandPool *pool, int64_t bin)
{
    size_t at = (size_t)(bin % DEMAND_BINS);

    return pool->bin_at[at] == bin ? pool->bins[at] : 0;
}

static int64_t
first_bin(const JobDemand *demand, int64_t now)
{
    int64_t first = demand->since / DEMAND_BIN_MS;
    int64_t oldest = now / DEMAND_BIN_MS - DEMAND_BINS + 1;

    return first > oldest ? first : oldest;
}

int64_t
JobDemand_Rate(const JobDemand *demand, int64_t now, const char *name,
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
    if (begin < first_bin(demand, now)) {
        begin = first_bin(demand, now);
    }
    for (bin = begin; bin <= last; bin++) {
        work += bin_work(pool, bin);
    }
    span = now - begin * DEMAND_BIN_MS;
    return span >= DEMAND_BIN_MS ? work / span : work / DEMAND_BIN_MS;
}

static int64_t
mean_rate(const JobDemand *demand, const DemandPool *pool, int64_t now)
{
    int64_t first = first_bin(demand, now);
    int64_t last = now / DEMAND_BIN_MS;
    int64_t work = 0;
    int64_t bin;

    for (bin = first; bin <= last; bin++) {
        work += bin_work(pool, bin);
    }
    return work / ((last - first + 1) * DEMAND_BIN_MS);
}

/* Lists the turns of a pool, oldest first. */
static size_t
find_turns(const JobDemand *demand, const DemandPool *pool, int64_t now,
           Turn turns[MAX_TURNS])
{
    int64_t limit = mean_rate(demand, pool, now) * TURN_PERCENT / 100;
    int64_t last = now / DEMAND_BIN_MS;
    int64_t rise = -1;
    int64_t high = -1;
    int64_t work = 0;
    size_t count = 0;
    int64_t bin;

    for (bin = first_bin(demand, now); bin <= last + 1; bin++) {
        int64_t rate = bin <= last ? bin_work(pool, bin) / DEMAND_BIN_MS : 0;
        if (rate > limit && limit > 0) {
            rise = rise < 0 ? bin : rise;
            high = bin;
        }
        if (rise >= 0) {
            work += bin <= last ? bin_work(pool, bin) : 0;
        }
        if (rise < 0 ||
            (bin <= last && (bin - high) * DEMAND_BIN_MS <= TURN_GAP_MS)) {
            continue;
        }
        if ((high - rise + 1) * DEMAND_BIN_MS >= TURN_MIN_MS &&
            count < MAX_TURNS) {
            Turn *turn = &turns[count++];
            turn->rise = rise * DEMAND_BIN_MS;
            turn->fall = (high + 1) * DEMAND_BIN_MS;
            turn->rate = work / (turn->fall - turn->rise);
            turn->open = (last - high) * DEMAND_BIN_MS <= TURN_GAP_MS;
        }
        rise = -1;
        work = 0;
    }
    return count;
}

static int64_t
period_of(const Turn *turns, size_t count)
{
    int64_t last;
    int64_t before;

    if (count < 3) {
        return 0;
    }
    last = turns[count - 1].rise - turns[count - 2].rise;
    before = turns[count - 2].rise - turns[count - 3].rise;
    return llabs(last - before) * 100 <= last * PERIOD_OFF_PERCENT ? last : 0;
}

int64_t
JobDemand_Period(const JobDemand *demand, int64_t now, const char *name)
{
    const DemandPool *pool = find_pool(demand, name);
    Turn turns[MAX_TURNS];
    size_t count;

    if (pool == NULL) {
        return 0;
    }
    count = find_turns(demand, pool, now, turns);
    return period_of(turns, count);
}

int64_t
JobDemand_Rising(const JobDemand *demand, int64_t now, const char *name,
                 int64_t ahead_ms)
{
    int64_t fresh = JobDemand_Rate(demand, now, name, SLOPE_MS);
    int64_t both = JobDemand_Rate(demand, now, name, 2 * SLOPE_MS);
    int64_t slope = (fresh - both) * 2; /* in SLOPE_MS */

    if (slope <= 0 || fresh < SLOPE_MIN_RATE) {
        return 0;
    }
    return fresh + slope * (ahead_ms + SLOPE_MS / 2) / SLOPE_MS *
                       SLOPE_TRUST_PERCENT / 100;
}

int64_t
JobDemand_Forecast(const JobDemand *demand, int64_t now, const char *name,
                   int64_t from, int64_t until)
{
    const DemandPool *pool = find_pool(demand, name);
    Turn turns[MAX_TURNS];
    const Turn *last;
    const Turn *whole;
    int64_t period;
    int64_t rise;
    size_t count;

    if (pool == NULL) {
        return 0;
    }
    count = find_turns(demand, pool, now, turns);
    period = period_of(turns, count);
    if (count == 0 || period <= 0) {
        return 0;
    }
    last = &turns[count - 1];
    /* A turn that has just begun says little about its length. */
    whole = last->open && count > 1 ? &turns[count - 2] : last;
    for (rise = last->rise; rise <= until; rise += period) {
        int64_t fall = rise + (whole->fall - whole->rise);
        if (rise < until && fall > from) {
            return whole->rate;
        }
    }
    return 0;
}
