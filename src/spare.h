/*
 * NAME
 *     spare - planner of VM moves between pools
 *
 * DESCRIPTION
 *     A pool with queued requests accumulates regret: the points that keeping
 *     the VMs where they are has cost since requests began to queue. When the
 *     regret reaches the points of a move, the VMs that the pool is short of
 *     are moved to it (ski rental; Karlin et al., Competitive snoopy caching,
 *     1988). Moved VMs stay until the regret of another pool calls for them,
 *     which saves the move back.
 *
 *     The planner keeps the peak load of each pool, which decays with a
 *     half-life of ten minutes. A pool that is short of VMs gets the VMs for
 *     its peak load at once, from the pools with the most VMs above their own
 *     peak load, usually those that peaked last. A donor keeps its min_size, a
 *     share of its peak load and the VMs that its own requests occupy, and
 *     stays within its availability budget.
 *
 *     Hysteresis: a pool gives no VM for receiver_hold_ms after it received
 *     one, and the reverse of a move is refused for reverse_block_ms, so that
 *     noise in the queues of two pools does not move VMs back and forth.
 *     After that time, a VM may go back if the regret of the other pool calls
 *     for it. VMs in transit count as capacity of their new pool.
 *
 *     The planner works on totals by pool; the caller carries out the moves
 *     and reports them in the next input. Takes O(pools) time, plus O(pools)
 *     for each move. Not thread-safe.
 */
#ifndef COLTSFOOT_SPARE_H
#define COLTSFOOT_SPARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

#define SPARE_NAME_BYTES 64
#define SPARE_REASON_BYTES 96

typedef struct SparePlanner SparePlanner;

typedef struct SpareOptions {
    double buffer_weight;      /* points per idle VM and second */
    double move_weight;        /* points per move */
    double wait_weight;        /* points per waiting request and second */
    int64_t receiver_hold_ms;  /* time in which a receiver gives no VM */
    int64_t reverse_block_ms;  /* time in which a reverse move is refused */
    int64_t request_saving_ms; /* time that a VM saves each queued request */
    uint32_t max_in_flight;    /* VMs in transit at the same time */
    size_t max_pools;
} SpareOptions;

#define SPARE_OPTIONS_DEFAULT                                                 \
    ((SpareOptions){.buffer_weight = 1,                                       \
                    .move_weight = 20,                                        \
                    .wait_weight = 1,                                         \
                    .receiver_hold_ms = 3000,                                 \
                    .reverse_block_ms = 8000,                                 \
                    .request_saving_ms = 250,                                 \
                    .max_in_flight = 16,                                      \
                    .max_pools = 512})

typedef struct SparePool {
    const char *name;
    uint32_t size; /* open VMs of the pool, without those leaving it */
    uint32_t min_size;
    uint32_t incoming;       /* VMs in transit to the pool */
    uint32_t slots_per_vm;   /* 0 counts as 1 */
    uint32_t queued;         /* requests in the queue */
    uint32_t running;        /* requests running on the VMs of the pool */
    uint32_t service_ms;     /* mean run time of short requests; 0: unknown */
    uint32_t budget_left;    /* VMs that may become unavailable now */
    bool spare;              /* true if the pool is preferred as a donor */
    const uint32_t *movable; /* caller's ids of the VMs that may move, in
                              * order of preference */
    size_t movable_count;
} SparePool;

typedef struct SpareMove {
    size_t from;     /* index of the donor in the input */
    size_t to;       /* index of the receiver in the input */
    double regret;   /* regret of the receiver, in points */
    double cost;     /* cost of the move, in points */
    double shortage; /* VMs that the receiver was short of */
    uint32_t vm;
    uint32_t idle; /* idle VMs of the donor before the move */
    char reason[SPARE_REASON_BYTES];
} SpareMove;

/* Returns NULL if memory allocation fails. */
SparePlanner *SparePlanner_New(const SpareOptions *options);
void SparePlanner_Free(SparePlanner *planner);

/* Writes at most max_moves moves and their number. Pools are identified by
 * name across calls; the history of a pool that is missing from the input is
 * dropped. Call it every 100 to 1000 ms. Returns ST_INVALID, with no move
 * planned, if there are more than max_pools pools or if a name is empty or too
 * long. */
Status SparePlanner_PlanMoves(SparePlanner *planner, int64_t now_ms,
                              const SparePool *pools, size_t pool_count,
                              SpareMove *moves, size_t max_moves,
                              size_t *move_count);

#endif
