/*
 * NAME
 *     admit - bounded request queues with fair order and admission control
 *
 * DESCRIPTION
 *     Each pool has one queue for each class. Within a queue, services, then
 *     teams, then callers are served by deficit round robin (Shreedhar and
 *     Varghese, 1995). A deficit may go below zero and is repaid in later
 *     rounds, so the cost of the first request need not be known before it
 *     is taken.
 *
 *     The queue of a service and class is bounded. A caller's work is refused
 *     if the caller already has ADMIT_FLOW_FACTOR times as much work in that
 *     queue as the queue has free places (dynamic threshold, Choudhury and
 *     Hahne, 1998), so that places are left for others.
 *
 *     Each piece of work has a small dense id, chosen by the user of this
 *     module. Adding, removing and taking work cost amortised O(1).
 */
#ifndef COLTSFOOT_ADMIT_H
#define COLTSFOOT_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "traffic_types.h"

#define ADMIT_FLOW_FACTOR 4

/* Highest cost of one request in deficit round robin. */
#define ADMIT_MAX_COST 8

typedef struct AdmitWork {
    uint32_t id;
    uint32_t pool;
    uint32_t service;
    TrafficClass class; /* not TRAFFIC_UNDECLARED */
    uint64_t team;      /* Keymap_HashText of the name */
    uint64_t caller;    /* Keymap_HashText of the name */
    int64_t run_us;     /* expected run time */
    uint32_t cost;      /* 1 to ADMIT_MAX_COST */
} AdmitWork;

typedef struct AdmitLimits {
    uint32_t max_queue;
    uint32_t servers;      /* slots that serve this class */
    uint32_t free_servers; /* 0 if none of the servers is free */
    /* Expected run time of the work of this class that is started per unit of
     * time, measured while such work waits; 0 if it is not known. */
    double service_rate;
    int64_t time_left_ms; /* time until the work has to start */
} AdmitLimits;

typedef enum AdmitResult {
    ADMIT_QUEUED,
    ADMIT_QUEUE_FULL,
    ADMIT_TOO_LATE,
    ADMIT_OVER_QUOTA
} AdmitResult;

typedef struct Admit Admit;

Admit *Admit_New(void);
void Admit_Free(Admit *a);

/* Limits the started work of a team; a quota of 0 removes the limit. */
void Admit_SetQuota(Admit *a, uint64_t team, uint32_t quota);

/* Removes all quotas. */
void Admit_ClearQuotas(Admit *a);

/* Queues the work and sets *retry_ms to 0, or refuses the work and sets
 * *retry_ms to the time to wait before a retry. */
AdmitResult Admit_QueueWork(Admit *a, const AdmitWork *work,
                            const AdmitLimits *limits, int64_t *retry_ms);

/* Puts work at the front of its caller's queue, without admission checks. The
 * pool and class may differ from those under which the work was queued
 * before. */
void Admit_RequeueWork(Admit *a, const AdmitWork *work);

/* Dequeues the next work of a pool and class, stores its id and counts it
 * against its team's quota. Returns false if no work may start. */
bool Admit_StartNext(Admit *a, uint32_t pool, TrafficClass class,
                     uint32_t *id);

/* Removes waiting work; does nothing if the work is not waiting. */
void Admit_RemoveWork(Admit *a, uint32_t id);

/* Ends started work and frees its place in the team's quota. Returns true if
 * work of the team that the quota held back may now start. */
bool Admit_FinishWork(Admit *a, uint32_t id);

/* Ends started work but keeps its place in the team's quota until
 * Admit_FinishDetached is called with the returned value. */
uint32_t Admit_DetachWork(Admit *a, uint32_t id);
void Admit_FinishDetached(Admit *a, uint32_t team);

/* Returns the number of waiting requests of a pool and class. */
uint32_t Admit_CountWaiting(const Admit *a, uint32_t pool, TrafficClass class);

/* Returns the expected time in ms until new work of this class starts. */
int64_t Admit_EstimateWait(const Admit *a, uint32_t pool, TrafficClass class,
                           uint32_t servers);

#endif
