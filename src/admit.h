/*
 * NAME
 *     admit - bounded queues with fair order and refusal by deadline
 *
 * DESCRIPTION
 *     Each pool has one queue for each class. Within it, services, then
 *     teams, then callers take turns by deficit round robin (Shreedhar and
 *     Varghese, 1995), in the form that lets a deficit go below zero and
 *     pays it back later, so that no look at the head of a queue is needed.
 *
 *     A queue of a service and class is bounded. One caller may hold at most
 *     ADMIT_FLOW_FACTOR times the room that is left (dynamic threshold,
 *     Choudhury and Hahne, 1998), so others always find room.
 *
 *     Work is named by a small dense number chosen by the caller of this
 *     module. Adding, removing and taking it cost O(1), amortised.
 */
#ifndef COLTSFOOT_ADMIT_H
#define COLTSFOOT_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "traffic_types.h"

#define ADMIT_FLOW_FACTOR 4

/* Largest weight of one request in the order of turns. */
#define ADMIT_MAX_COST 8

typedef struct AdmitWork {
    uint32_t id;
    uint32_t pool;
    uint32_t service;
    TrafficClass class; /* not TRAFFIC_UNDECLARED */
    uint64_t team;      /* Keymap_Key of the names */
    uint64_t caller;
    int64_t run_us; /* expected */
    uint32_t cost;  /* 1 to ADMIT_MAX_COST */
} AdmitWork;

typedef struct AdmitLimits {
    uint32_t max_queue;
    uint32_t servers; /* slots that serve this class */
    uint32_t free;    /* those free now */
    double rate;      /* time of work of this class started by unit of time
                         while some waited; 0 when not observed */
    int64_t left_ms;  /* time in which the work has to start */
} AdmitLimits;

typedef enum AdmitVerdict {
    ADMIT_QUEUED,
    ADMIT_FULL,
    ADMIT_LATE,
    ADMIT_QUOTA
} AdmitVerdict;

typedef struct Admit Admit;

Admit *Admit_New(void);
void Admit_Free(Admit *a);

/* Sets the bound on started work of a team; 0 removes it. */
void Admit_SetQuota(Admit *a, uint64_t team, uint32_t quota);

/* Removes all quotas. */
void Admit_ClearQuotas(Admit *a);

/* Queues the work, or refuses it and stores a time to wait before the next
 * try in *retry_ms. */
AdmitVerdict Admit_Offer(Admit *a, const AdmitWork *work,
                         const AdmitLimits *limits, int64_t *retry_ms);

/* Queues work that was started before in front of its caller's other work,
 * without checks. The class may differ from before. */
void Admit_Return(Admit *a, const AdmitWork *work);

/* Takes the next work of a pool and class and counts it against its team's
 * quota. Returns false when none may start. */
bool Admit_Next(Admit *a, uint32_t pool, TrafficClass class, uint32_t *id);

/* Removes waiting work; does nothing when it is not waiting. */
void Admit_Remove(Admit *a, uint32_t id);

/* Ends started work: frees its place in the team's quota. Returns true when
 * work of the team may now start that was held back before. */
bool Admit_Done(Admit *a, uint32_t id);

/* Like Admit_Done, but leaves the place in the quota taken, until
 * Admit_DoneDetached is called with the value returned. */
uint32_t Admit_Detach(Admit *a, uint32_t id);
void Admit_DoneDetached(Admit *a, uint32_t team);

/* Returns the count of waiting requests of a pool and class. */
uint32_t Admit_Waiting(const Admit *a, uint32_t pool, TrafficClass class);

/* Returns the expected wait in ms of new work of this class. */
int64_t Admit_Wait(const Admit *a, uint32_t pool, TrafficClass class,
                   uint32_t servers);

#endif
