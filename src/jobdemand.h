/*
 * NAME
 *     jobdemand - demand forecast for pools
 *
 * DESCRIPTION
 *     Core without I/O. Records the work that arrives for each pool in bins of
 *     DEMAND_BIN_MS. It forecasts periodic bursts: a few seconds of several
 *     times the mean rate with little work between them. A burst is a run of
 *     bins well above the mean of the pool. The period is the distance between
 *     the last two bursts, if the distance before it was about the same.
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

/* Returns the rate of the burst expected between two times, or 0 if none is
 * expected. */
int64_t JobDemand_ForecastRate(const JobDemand *demand, int64_t now,
                               const char *pool, int64_t from, int64_t until);

/* Returns the rate in ahead_ms, extrapolated from the present slope, or 0 if
 * the rate does not rise. */
int64_t JobDemand_ExtrapolateRate(const JobDemand *demand, int64_t now,
                                  const char *pool, int64_t ahead_ms);

/* Returns the period of the bursts, or 0 if it is not known. */
int64_t JobDemand_GetPeriod(const JobDemand *demand, int64_t now,
                            const char *pool);

#endif
