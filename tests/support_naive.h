/*
 * NAME
 *     support_naive - reference implementations of queues and target selection
 *
 * DESCRIPTION
 *     References for differential tests and baselines for benchmarks: a FIFO
 *     queue, round robin between callers, and a linear scan of all targets.
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

/* Items are in order of arrival and callers in round-robin order. */
typedef struct NaiveQueue {
    NaiveItem items[NAIVE_MAX];
    uint32_t count;
    uint32_t callers[NAIVE_MAX];
    uint32_t caller_count;
    uint32_t turn; /* index in callers of the caller that is next */
} NaiveQueue;

void NaiveQueue_Add(NaiveQueue *q, uint32_t id, uint32_t caller);
bool NaiveQueue_Remove(NaiveQueue *q, uint32_t id);

/* Removes the oldest item and stores its id. Returns false when the queue is
 * empty. */
bool NaiveQueue_TakeOldest(NaiveQueue *q, uint32_t *id);

/* Removes the oldest item of the caller that is next in round-robin order and
 * stores its id. Returns false when the queue is empty. */
bool NaiveQueue_TakeRoundRobin(NaiveQueue *q, uint32_t *id);

typedef struct NaiveTarget {
    uint32_t slots;
    uint32_t in_flight;
    uint32_t long_limit;
    uint32_t long_in_flight;
    bool open;
    bool local;
} NaiveTarget;

/* Returns the index of the least loaded target with a free slot, or UINT32_MAX
 * when there is none. Local targets are preferred. */
uint32_t NaiveTargets_SelectTarget(const NaiveTarget *targets, uint32_t count,
                                   bool is_long);

#endif
