/*
 * NAME
 *     wave - order and next step of a maintenance wave
 *
 * DESCRIPTION
 *     Each keeper plans the part of a wave in its data centre, so a data
 *     centre that is cut off goes on within its share. The order is by pool
 *     and rack. Of one pool, a rack is finished before the next one begins,
 *     so that the loss of a rack meets as few drained VMs of other racks as
 *     possible. A VM that is down at its turn is skipped. High service-level
 *     burn holds the wave until it has fallen; too many failures pause it
 *     until an operator resumes it; the deadline cancels what is left.
 *
 *     The plan holds only names and is built again from the state and the
 *     escrow after a restart: steps recorded in the state and outcomes in
 *     the escrow's record are not repeated. A VM recorded as started that
 *     has neither grant nor outcome belongs to a keeper whose record was
 *     lost; it is planned again.
 */
#ifndef COLTSFOOT_WAVE_H
#define COLTSFOOT_WAVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "escrow.h"
#include "state.h"

typedef struct WavePlan WavePlan;

typedef struct WaveLimits {
    double hold_burn;    /* burn rate from which no drain begins */
    double resume_burn;  /* burn rate up to which drains begin again */
    uint64_t max_failed; /* failures since the last resume that pause */
} WaveLimits;

/* A burn rate of 1 spends the error budget exactly over its period. */
#define WAVE_LIMITS_DEFAULT                                                   \
    {                                                                         \
        .hold_burn = 2.0, .resume_burn = 1.0, .max_failed = 3                 \
    }

typedef enum WaveAction {
    WAVE_DRAIN,   /* call Escrow_GrantDrain for vm */
    WAVE_SKIP,    /* call Escrow_Skip for vm */
    WAVE_WAIT,    /* nothing now; reason says why */
    WAVE_PAUSE,   /* propose StateCmd_WaveControl with STATE_WAVE_PAUSE */
    WAVE_CANCEL,  /* propose StateCmd_WaveControl with STATE_WAVE_CANCEL */
    WAVE_FINISHED /* nothing is left in this data centre */
} WaveAction;

typedef struct WaveDecision {
    WaveAction action;
    const char *vm; /* NULL for none */
    char reason[STATE_REASON_BYTES];
} WaveDecision;

/* Returns the plan of a wave for a data centre, or NULL for an unknown wave.
 * Takes O(n log n) time in the VMs of the wave. */
WavePlan *WavePlan_New(const State *state, const char *wave,
                       const char *data_centre, const WaveLimits *limits);
void WavePlan_Free(WavePlan *plan);

/* Decides the next step; call it again after each decision was carried out.
 * burn is the highest burn rate of the services concerned; now_ms is wall
 * time in ms. Takes O(pools) time. */
void WavePlan_Next(WavePlan *plan, const State *state, const Escrow *escrow,
                   int64_t now_ms, double burn, WaveDecision *decision);

/* Returns the VMs of a pool that still have to be drained, for
 * Escrow_SetDemand. */
size_t WavePlan_Pending(const WavePlan *plan, const char *pool);

/* Pools of the plan; NULL past the end. */
const char *WavePlan_PoolAt(const WavePlan *plan, size_t i);

/* VMs in planned order; NULL past the end. */
const char *WavePlan_VmAt(const WavePlan *plan, size_t i);

#endif
