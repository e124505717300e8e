/*
 * NAME
 *     jobdemand - demand forecast for pools
 *
 * DESCRIPTION
 *     Core without I/O. Records the work that arrives for each pool in bins of
 *     DEMAND_BIN_MS. Forecasts periodic bursts, which last a few seconds at
 *     several times the mean rate, with little work between them. A burst is
 *     a run of bins well above the mean of the pool. The period is the time
 *     between the starts of the last two bursts. The period is known only if
 *     the last three bursts started at about equal intervals.
 *
 *     Work is in thousandths of a core times ms, rates are in thousandths of a
 *     core, times in ms of the steady clock.
 */
#ifndef COLTSFOOT_JOBDEMAND_H
#define COLTSFOOT_JOBDEMAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DEMAND_BIN_MS 250
#define DEMAND_BINS 256

typedef struct JobDemand JobDemand;

JobDemand *JobDemand_New(void);
void JobDemand_Free(JobDemand *demand);
void JobDemand_Clear(JobDemand *demand, int64_t now);

void JobDemand_AddWork(JobDemand *demand, int64_t now, const char *pool,
                       int64_t core_ms);

/* Returns the mean rate of arriving work over the last span_ms. */
int64_t JobDemand_GetRate(const JobDemand *demand, int64_t now,
                          const char *pool, int64_t span_ms);

/* Returns the rate of the burst expected between from and until, or 0 if no
 * burst is expected. */
int64_t JobDemand_ForecastRate(const JobDemand *demand, int64_t now,
                               const char *pool, int64_t from, int64_t until);

/* Returns the rate expected after ahead_ms, extrapolated from the present
 * slope, or 0 if the rate is low or does not rise. */
int64_t JobDemand_ExtrapolateRate(const JobDemand *demand, int64_t now,
                                  const char *pool, int64_t ahead_ms);

/* Returns the period of the bursts, or 0 if it is not known. */
int64_t JobDemand_GetPeriod(const JobDemand *demand, int64_t now,
                            const char *pool);

#endif
