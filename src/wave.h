/*
 * NAME
 *     wave - order and next step of a maintenance wave
 *
 * DESCRIPTION
 *     Each keeper plans the part of a wave in its own data centre, so a data
 *     centre that is cut off continues within its share. The VMs are ordered
 *     by pool and rack. Within a pool, one rack is finished before the next
 *     one begins, so that the failure of a rack coincides with as few drained
 *     VMs of other racks as possible. A VM that is already down is skipped. A
 *     high burn rate stops new drains until the rate falls; too many failures
 *     pause the wave until an operator resumes it; the deadline cancels the
 *     remaining VMs.
 *
 *     The plan stores only names. After a restart it is built again from the
 *     state and the escrow: steps recorded in the state and outcomes in the
 *     escrow record are not repeated. A VM recorded as started that has
 *     neither a grant nor an outcome was started by a keeper whose record was
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
    double hold_burn_rate;   /* burn rate that stops new drains */
    double resume_burn_rate; /* burn rate below which drains start again */
    uint64_t max_failed;     /* failures since a resume that pause the wave */
} WaveLimits;

/* At a burn rate of 1, the error budget lasts exactly for its period. */
#define WAVE_LIMITS_DEFAULT                                                   \
    {                                                                         \
        .hold_burn_rate = 2.0, .resume_burn_rate = 1.0, .max_failed = 3       \
    }

typedef enum WaveAction {
    WAVE_DRAIN, /* call Escrow_GrantDrain for vm */
    WAVE_SKIP,  /* call Escrow_SkipVm for vm */
    WAVE_WAIT,  /* do nothing now; see reason */
    WAVE_PAUSE, /* propose StateCmd_EncodeWaveControl with STATE_WAVE_PAUSE */
    /* propose StateCmd_EncodeWaveControl with STATE_WAVE_CANCEL */
    WAVE_CANCEL,
    WAVE_FINISHED /* no VM of this data centre is left */
} WaveAction;

typedef struct WaveDecision {
    WaveAction action;
    const char *vm; /* NULL if the decision concerns no single VM */
    char reason[STATE_REASON_BYTES];
} WaveDecision;

/* Returns the plan of a wave for a data centre, or NULL if the wave is unknown
 * or memory allocation fails. Takes O(n log n) time for the n VMs of the wave.
 */
WavePlan *WavePlan_New(const State *state, const char *wave,
                       const char *data_centre, const WaveLimits *limits);
void WavePlan_Free(WavePlan *plan);

/* Decides the next step. Call it again after carrying out each decision. burn
 * is the highest burn rate of the services concerned; now_ms is the wall clock
 * time. Takes O(pools) time. */
void WavePlan_DecideNext(WavePlan *plan, const State *state,
                         const Escrow *escrow, int64_t now_ms, double burn,
                         WaveDecision *decision);

/* Returns the number of VMs of a pool that still have to be drained, for
 * Escrow_SetDemand. The number may include VMs that were drained while an
 * earlier VM of the pool was busy. */
size_t WavePlan_CountPending(const WavePlan *plan, const char *pool);

/* Returns the name of pool i of the plan, or NULL past the last one. */
const char *WavePlan_PoolAt(const WavePlan *plan, size_t i);

/* Returns the name of VM i in planned order, or NULL past the last one. */
const char *WavePlan_VmAt(const WavePlan *plan, size_t i);

#endif
