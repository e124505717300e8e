/*
 * NAME
 *     support_naive - plain versions of queues and target choice
 *
 * DESCRIPTION
 *     Reference for differential tests and the baseline of benchmarks: first
 *     come, first served; turns between callers; a scan of all targets.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_NAIVE_H
#define COLTSFOOT_TESTS_SUPPORT_NAIVE_H

#include <stdbool.h>
#include <stdint.h>

#include "traffic_types.h"

#define NAIVE_MAX 512

typedef struct NaiveItem {
    uint32_t id;
    uint32_t caller;
} NaiveItem;

/* Items in the order of arrival; callers in the order of turns. */
typedef struct NaiveQueue {
    NaiveItem items[NAIVE_MAX];
    uint32_t count;
    uint32_t callers[NAIVE_MAX];
    uint32_t caller_count;
    uint32_t turn; /* index into callers */
} NaiveQueue;

void NaiveQueue_Add(NaiveQueue *q, uint32_t id, uint32_t caller);
bool NaiveQueue_Remove(NaiveQueue *q, uint32_t id);

/* Takes the oldest item of all. */
bool NaiveQueue_First(NaiveQueue *q, uint32_t *id);

/* Takes the oldest item of the caller whose turn it is. */
bool NaiveQueue_RoundRobin(NaiveQueue *q, uint32_t *id);

typedef struct NaiveTarget {
    uint32_t slots;
    uint32_t in_flight;
    uint32_t long_limit;
    uint32_t long_in_flight;
    bool open;
    bool local;
} NaiveTarget;

/* Returns the least loaded target with a free slot, by a scan of all; the
 * own data centre first. UINT32_MAX when there is none. */
uint32_t NaiveTargets_Pick(const NaiveTarget *targets, uint32_t count,
                           bool is_long);

#endif
