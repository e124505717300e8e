/*
 * NAME
 *     jobdemand - forecast of the work that pools are asked for
 *
 * DESCRIPTION
 *     Core without I/O. Keeps the work that arrived for each pool in bins of
 *     DEMAND_BIN_MS and answers the load "queues rise by turns": each has a
 *     few seconds of several times its mean and little between. A turn is a
 *     run of bins well above the pool's mean. The period is the distance of
 *     the last two turns of a pool or, before it has had two, the count of
 *     pools that have turns times the usual distance between their turns.
 *
 *     Work is in core-ms, rates are in thousandths of a core, times in ms of
 *     the steady clock.
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

void JobDemand_Add(JobDemand *demand, int64_t now, const char *pool,
                   int64_t core_ms);

/* Returns the mean rate of arriving work over the last span_ms. */
int64_t JobDemand_Rate(const JobDemand *demand, int64_t now, const char *pool,
                       int64_t span_ms);

/* Returns the highest rate expected between two times, 0 when no turn is
 * expected there. */
int64_t JobDemand_Forecast(const JobDemand *demand, int64_t now,
                           const char *pool, int64_t from, int64_t until);

/* Returns the rate that the present slope leads to in ahead_ms; 0 while the
 * rate does not rise. */
int64_t JobDemand_Rising(const JobDemand *demand, int64_t now,
                         const char *pool, int64_t ahead_ms);

/* Returns the period of turns, 0 when it is not known. */
int64_t JobDemand_Period(const JobDemand *demand, int64_t now,
                         const char *pool);

#endif
