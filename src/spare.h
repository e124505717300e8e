/*
 * NAME
 *     spare - planner of moves of VMs between pools
 *
 * DESCRIPTION
 *     A pool that has waiting work accumulates regret: the points that
 *     standing still has cost it since the work began to wait. When the regret
 *     exceeds the points of a move, the VMs that it lacks are moved to it
 *     (ski rental; Karlin et al., Competitive snoopy caching, 1988). Moved VMs
 *     stay where they are until another pool's regret calls for them, which
 *     saves the move back.
 *
 *     The planner remembers the highest load of each pool, with a half-life of
 *     ten minutes. A pool in need gets VMs up to that load at once, from the
 *     pools that have the most VMs above theirs, usually those that peaked
 *     last. A donor keeps its min_size, its availability budget, a share of
 * its remembered load and the VMs that its own work occupies.
 *
 *     Hysteresis: a pool gives nothing for hold_ms after it received a VM, and
 *     the reverse of a move is refused for trade_ms, so two pools never trade
 *     VMs back and forth on the noise of their queues; after that time a VM
 * may go back if the other pool's regret calls for it. VMs that are on their
 *     way are counted as capacity of their new pool.
 *
 *     The planner sees totals by pool; the caller carries out the moves and
 *     reports them in the next input. Cost is linear in the pools, plus linear
 *     in the pools for each move. Not thread-safe.
 */
#ifndef COLTSFOOT_SPARE_H
#define COLTSFOOT_SPARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

#define SPARE_NAME_BYTES 64
#define SPARE_REASON_BYTES 96

typedef struct Spare Spare;

typedef struct SpareOptions {
    double buffer_weight; /* points of one idle VM second */
    double move_weight;   /* points of one move */
    double wait_weight;   /* points of one second of one waiting request */
    int64_t hold_ms;      /* a pool that received a VM gives none */
    int64_t trade_ms;     /* the reverse of a move is refused */
    int64_t saved_ms;     /* an extra VM saves this much of the time of each
                           * request in a backlog */
    uint32_t max_in_flight;
    size_t max_pools;
} SpareOptions;

#define SPARE_OPTIONS_DEFAULT                                                 \
    ((SpareOptions){.buffer_weight = 1,                                       \
                    .move_weight = 20,                                        \
                    .wait_weight = 1,                                         \
                    .hold_ms = 3000,                                          \
                    .trade_ms = 8000,                                         \
                    .saved_ms = 250,                                          \
                    .max_in_flight = 16,                                      \
                    .max_pools = 512})

typedef struct SparePool {
    const char *name;
    uint32_t size; /* VMs open in the pool, without those that are leaving */
    uint32_t min_size;
    uint32_t incoming;       /* VMs on their way to it */
    uint32_t slots_per_vm;   /* 0 counts as 1 */
    uint32_t queued;         /* requests that wait */
    uint32_t running;        /* requests at its VMs */
    uint32_t service_ms;     /* mean run time of short work, 0 if unknown */
    uint32_t budget_left;    /* VMs that may become unavailable now */
    bool spare;              /* preferred as a donor */
    const uint32_t *movable; /* the caller's ids of VMs that may move, the
                              * preferred one first */
    size_t movable_count;
} SparePool;

typedef struct SpareMove {
    size_t from; /* index in the input */
    size_t to;
    double regret;  /* points that standing still had cost */
    double cost;    /* points of the move */
    double lacking; /* VMs that the receiver lacked */
    uint32_t vm;
    uint32_t idle; /* VMs that the donor had idle */
    char reason[SPARE_REASON_BYTES];
} SpareMove;

/* Returns NULL without memory. */
Spare *Spare_New(const SpareOptions *options);
void Spare_Free(Spare *spare);

/* Writes at most max_moves moves and their count. Pools are known by name
 * from one call to the next; one that is missing is forgotten. Call it at
 * intervals of 100 to 1000 ms. Returns ST_INVALID for more than max_pools
 * pools or a name out of bounds; nothing is planned then. */
Status Spare_Plan(Spare *spare, int64_t now, const SparePool *pools,
                  size_t pool_count, SpareMove *moves, size_t max_moves,
                  size_t *move_count);

#endif
