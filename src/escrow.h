/*
 * NAME
 *     escrow - a data centre's share of each pool's budget
 *
 * DESCRIPTION
 *     The keeper of a data centre runs an escrow to grant drains and moves
 *     out of the share that the replicated state gives to the data centre,
 *     also while the data centre is partitioned from the others. The share
 *     is the total granted, as last seen in the state, minus the total
 *     released, which the keeper raises in its own record before it proposes
 *     the release to the log (escrow by two totals that only rise, after
 *     Barbara and Garcia-Molina, 1992, and Balegas et al., 2015). A VM that
 *     has a grant or is not known to be healthy counts against the share,
 *     once.
 *
 *     The record takes a few kB. When Escrow_NeedsSave returns true the
 *     caller writes the bytes of Escrow_EncodeRecord to the disk, syncs the
 *     file and calls Escrow_MarkSaved. The escrow returns no action or
 *     command that depends on an unsaved change. Actions are
 *     level-triggered: the caller repeats the action that Escrow_GetAction
 *     returns for a grant until it can report the next step, so that after a
 *     crash at any point the work continues from the record.
 *
 *     The escrow does no I/O and reads no clock. Not thread-safe.
 */
#ifndef COLTSFOOT_ESCROW_H
#define COLTSFOOT_ESCROW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "state.h"
#include "status.h"

typedef struct Escrow Escrow;

typedef enum EscrowPurpose { ESCROW_DRAIN, ESCROW_MOVE } EscrowPurpose;

/* The recorded step of a drain. */
typedef enum EscrowStep {
    ESCROW_GRANTED, /* recorded; entry VMs have yet to close the VM */
    ESCROW_CLOSED,  /* closed at all entry VMs; not yet drained */
    ESCROW_DRAINED, /* no work in flight; not yet rebooted */
    ESCROW_REBOOTED /* new incarnation running; not yet healthy */
} EscrowStep;

typedef struct EscrowGrant {
    char vm[STATE_NAME_BYTES];
    char pool[STATE_NAME_BYTES]; /* pool charged for the grant */
    char wave[STATE_NAME_BYTES]; /* empty for a move or a single drain */
    EscrowPurpose purpose;
    EscrowStep step;
    uint64_t epoch;       /* assignment epoch of the VM when granted */
    uint64_t incarnation; /* incarnation of the VM when granted */
    uint64_t revision;    /* first record revision that holds this step */
} EscrowGrant;

/* The action that a grant needs from the caller. */
typedef enum EscrowAction {
    ESCROW_ACTION_SAVE,   /* save the record before any other action */
    ESCROW_ACTION_CLOSE,  /* close the VM at the data centre's entry VMs */
    ESCROW_ACTION_DRAIN,  /* ask the platform to drain the VM; wait for idle */
    ESCROW_ACTION_REBOOT, /* ask the platform to reboot the VM */
    ESCROW_ACTION_OPEN,   /* undrain and open the VM; wait until healthy */
    ESCROW_ACTION_PROPOSE, /* propose the close of the VM for its move */
    ESCROW_ACTION_WAIT     /* nothing to do, or not the keeper */
} EscrowAction;

typedef struct EscrowPool {
    char name[STATE_NAME_BYTES];
    uint64_t number;         /* number of the pool in the state */
    uint64_t granted;        /* total granted, as last seen in the state */
    uint64_t released;       /* total released, as in the record */
    uint64_t state_released; /* total released, as last seen in the state */
    uint64_t revision;       /* first record revision that holds released */
    int64_t wanted;          /* share that the state intends to give */
    int64_t state_demand;    /* demand, as last seen in the state */
    int64_t demand;          /* units that the caller has work for */
    int64_t spent;           /* VMs granted or not known to be healthy */
    uint64_t sync_number;    /* last sync that found the pool in the state */
} EscrowPool;

/* Returns an escrow without a record. After a restart it gives grants again
 * once Escrow_Sync has seen a state at least as new as the record. An entry VM
 * may be declared destroyed only after it has stopped, because a partitioned
 * keeper that still runs goes on spending the share. identity is the identity
 * of the data folder. */
Escrow *Escrow_New(const char *member, const char *data_centre,
                   uint64_t identity);
void Escrow_Free(Escrow *escrow);

/* Loads the bytes of a record. Must be the first call after Escrow_New.
 * Returns ST_OK; ST_CORRUPT for damaged bytes; ST_STALE for the record of
 * another identity or data centre. On failure the escrow is unchanged and
 * err holds the reason. */
Status Escrow_Restore(Escrow *escrow, const char *bytes, size_t len,
                      ErrCtx *err);

/* Appends the record to out and returns its revision. */
uint64_t Escrow_EncodeRecord(const Escrow *escrow, Buf *out);

/* Returns whether the record has changed since the last saved revision. */
bool Escrow_NeedsSave(const Escrow *escrow);

/* Reports that the record of a revision is on the disk. */
void Escrow_MarkSaved(Escrow *escrow, uint64_t revision);

/* Copies shares, VMs and moves from the state, releases the surplus of each
 * share and removes the grants of moves that ended. Call it after each
 * relevant change of the state's version or applied index. Returns ST_OK;
 * ST_AGAIN if this member is not the keeper; ST_STALE if the state is older
 * than one seen before. After a failure no grants are given. */
Status Escrow_Sync(Escrow *escrow, const State *state);

/* Sets the health and incarnation of a VM; incarnation 0 leaves the
 * incarnation unchanged. After a start each VM counts as unhealthy until its
 * first report. */
void Escrow_SetVmHealth(Escrow *escrow, const char *vm, bool healthy,
                        uint64_t incarnation);

/* Grants a drain of a VM, for a wave or, if wave is empty, on its own.
 * Returns ST_OK; ST_FULL if the share is spent; ST_EXISTS if the VM already
 * has a grant or is closed for a move; ST_NOT_FOUND if the data centre has no
 * such VM; ST_AGAIN if this member is not the keeper. */
Status Escrow_GrantDrain(Escrow *escrow, const char *vm, const char *wave,
                         ErrCtx *err);

/* Grants the pending move of an open VM. Returns the results of
 * Escrow_GrantDrain; ST_INVALID if the VM has no pending move; ST_AGAIN also
 * while the VM is not healthy, because a former keeper may have left it
 * drained, or if its epoch has changed since the last sync. */
Status Escrow_GrantMove(Escrow *escrow, const State *state, const char *vm,
                        ErrCtx *err);

/* Records that the drain of a VM reached a step. Returns ST_OK, also for a
 * step reached before; ST_NOT_FOUND if the VM has no drain; ST_INVALID if a
 * step would be skipped. */
Status Escrow_AdvanceDrain(Escrow *escrow, const char *vm, EscrowStep step);

/* Ends the drain of a VM and returns its unit to the share. ok is true if
 * the VM has become healthy, false if the drain was abandoned. The outcome
 * of a drain for a wave stays in the record until the state holds it.
 * Returns ST_OK; ST_NOT_FOUND if the VM has no drain; ST_INVALID if ok is
 * true before the step ESCROW_REBOOTED. */
Status Escrow_EndDrain(Escrow *escrow, const char *vm, bool ok);

/* Records that a wave skips a VM. */
void Escrow_SkipVm(Escrow *escrow, const char *wave, const char *vm);

/* Sets the number of units that the caller has work for in a pool. */
void Escrow_SetDemand(Escrow *escrow, const char *pool, int64_t units);

/* Returns the action that a grant needs next. */
EscrowAction Escrow_GetAction(const Escrow *escrow, const State *state,
                              const EscrowGrant *grant);

/* Appends the next command whose effect the state lacks: a release, a
 * request for a share, the close of a move or a step of a wave. *cursor
 * starts at 0. Returns false at the end. The caller decides how often to
 * propose and repeat the commands. */
bool Escrow_GetNextCommand(const Escrow *escrow, const State *state,
                           size_t *cursor, Buf *out);

size_t Escrow_GrantCount(const Escrow *escrow);
const EscrowGrant *Escrow_GrantAt(const Escrow *escrow, size_t i);
const EscrowGrant *Escrow_FindGrant(const Escrow *escrow, const char *vm);

/* Returns whether a VM has an outcome for a wave that the state lacks. */
bool Escrow_HasOutcome(const Escrow *escrow, const char *wave, const char *vm);

/* Returns the number of failed outcomes of a wave that the state lacks. */
size_t Escrow_CountFailedOutcomes(const Escrow *escrow, const char *wave);

size_t Escrow_PoolCount(const Escrow *escrow);
const EscrowPool *Escrow_PoolAt(const Escrow *escrow, size_t i);
const EscrowPool *Escrow_FindPool(const Escrow *escrow, const char *name);

/* Returns granted minus released, or 0 if released is larger. */
int64_t Escrow_GetShareLimit(const EscrowPool *pool);
bool Escrow_IsHealthy(const Escrow *escrow, const char *vm);
bool Escrow_IsKeeper(const Escrow *escrow);

#endif
