/*
 * NAME
 *     escrow - a data centre's share of each pool's budget
 *
 * DESCRIPTION
 *     Run by the keeper of a data centre. It grants drains and moves out of
 *     the share that the replicated state gives to the data centre, also
 *     while the data centre is cut off. The share is the total granted, as
 *     last seen in the state, minus the total released, which the keeper
 *     raises in its own record before it tells the log (escrow by two totals
 *     that only rise, after Barbara and Garcia-Molina, 1992, and Balegas and
 *     others, 2015). A VM that is granted or not known to be healthy counts
 *     against the share, once.
 *
 *     The record is a few kB of bytes. When Escrow_NeedsSave is true the
 *     caller writes Escrow_Record to the disk, syncs, and calls
 *     Escrow_Saved. Nothing that depends on an unsaved change is given out
 *     as work before. Work is level-triggered: the caller does, and
 *     repeats, what Escrow_Work says for each grant until it can report the
 *     next step, so a crash at any point continues from the record.
 *
 *     No I/O, no clock. Not thread-safe.
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
    ESCROW_GRANTED, /* recorded; the entry VMs have to close the VM */
    ESCROW_CLOSED,  /* closed at all entry VMs; the platform has to drain */
    ESCROW_DRAINED, /* no work in flight; the platform has to reboot */
    ESCROW_REBOOTED /* a new incarnation; it has to become healthy */
} EscrowStep;

typedef struct EscrowGrant {
    char vm[STATE_NAME_BYTES];
    char pool[STATE_NAME_BYTES]; /* charged for the grant */
    char wave[STATE_NAME_BYTES]; /* empty for a move or a single drain */
    EscrowPurpose purpose;
    EscrowStep step;
    uint64_t epoch;       /* assignment epoch of the VM at the grant */
    uint64_t incarnation; /* of the VM at the grant */
    uint64_t revision;    /* of the record that first holds this step */
} EscrowGrant;

/* What the caller has to do for a grant now. */
typedef enum EscrowWork {
    ESCROW_WORK_SAVE,    /* the record is not saved yet; nothing else */
    ESCROW_WORK_CLOSE,   /* close the VM at all entry VMs of the centre */
    ESCROW_WORK_DRAIN,   /* ask the platform to drain; wait for idle */
    ESCROW_WORK_REBOOT,  /* ask the platform to reboot */
    ESCROW_WORK_OPEN,    /* undrain, open at the entry VMs, wait for health */
    ESCROW_WORK_PROPOSE, /* a move: Escrow_Propose gives the command */
    ESCROW_WORK_WAIT     /* a move that the state carries on, or not keeper */
} EscrowWork;

typedef struct EscrowPool {
    char name[STATE_NAME_BYTES];
    uint64_t number;         /* of the pool in the state */
    uint64_t granted;        /* total seen in the state */
    uint64_t released;       /* own total, in the record */
    uint64_t state_released; /* total seen in the state */
    uint64_t revision;       /* of the record that first holds released */
    int64_t wanted;
    int64_t state_asked;
    int64_t demand; /* units the caller has work for */
    int64_t spent;  /* VMs granted or not known to be healthy */
    uint64_t mark;
} EscrowPool;

/* Returns a keeper without a record. After a restart it works again once
 * Escrow_Sync has seen a state that is as new as its record; that an entry
 * VM was declared destroyed must be true, since a keeper that still runs
 * cut off would go on spending the share. identity is that of the data folder.
 */
Escrow *Escrow_New(const char *member, const char *data_centre,
                   uint64_t identity);
void Escrow_Free(Escrow *escrow);

/* Loads the bytes of the record. Call it once, before anything else.
 * ST_CORRUPT with a reason for damaged bytes, ST_STALE for the record of
 * another identity or data centre; the escrow stays empty then. */
Status Escrow_Restore(Escrow *escrow, const char *bytes, size_t len,
                      ErrCtx *err);

/* Appends the record and returns its revision. */
uint64_t Escrow_Record(const Escrow *escrow, Buf *out);
bool Escrow_NeedsSave(const Escrow *escrow);
void Escrow_Saved(Escrow *escrow, uint64_t revision);

/* Takes over what changed in the state: shares, VMs and moves; lowers shares
 * that are to be released; returns grants of moves that ended. Call it after
 * each change of the state's version or applied index that matters. ST_OK;
 * ST_AGAIN when this is not the keeper; ST_STALE when the state is older
 * than one that was seen before. In both cases no grant is given. */
Status Escrow_Sync(Escrow *escrow, const State *state);

/* Reports the health of a VM; incarnation 0 leaves it as it was. All VMs
 * count as unhealthy until the first report after a start. */
void Escrow_Observe(Escrow *escrow, const char *vm, bool healthy,
                    uint64_t incarnation);

/* Grants a drain, for a wave or with an empty name for a single one. ST_OK;
 * ST_FULL when the share is spent, ST_EXISTS when the VM is granted or moves
 * already, ST_NOT_FOUND, ST_AGAIN when this is not the keeper. */
Status Escrow_GrantDrain(Escrow *escrow, const char *vm, const char *wave,
                         ErrCtx *err);

/* Grants the move that the state holds for an open VM. Also ST_INVALID when
 * no move waits, and ST_AGAIN while the VM is not healthy: it may have been
 * left drained by a former keeper. */
Status Escrow_GrantMove(Escrow *escrow, const State *state, const char *vm,
                        ErrCtx *err);

/* Records that a drain reached a step after its present one. ST_OK, also
 * for a step reached before; ST_NOT_FOUND without a drain of the VM;
 * ST_INVALID for a step that leaves one out. */
Status Escrow_Advance(Escrow *escrow, const char *vm, EscrowStep step);

/* Returns the grant of a drain: ok after the VM became healthy, or failed
 * when it is given up. The outcome for a wave is kept in the record until
 * the state has it. */
Status Escrow_Return(Escrow *escrow, const char *vm, bool ok);

/* Records that a wave leaves a VM out. */
void Escrow_Skip(Escrow *escrow, const char *wave, const char *vm);

/* Sets the units that the caller has work for in a pool. */
void Escrow_SetDemand(Escrow *escrow, const char *pool, int64_t units);

EscrowWork Escrow_Work(const Escrow *escrow, const State *state,
                       const EscrowGrant *grant);

/* Appends the next command that the state lacks: releases, requests for
 * shares, closes of moves and steps of waves. *cursor starts at 0. Returns
 * false at the end. The caller proposes and repeats them at its own pace. */
bool Escrow_Propose(const Escrow *escrow, const State *state, size_t *cursor,
                    Buf *out);

size_t Escrow_GrantCount(const Escrow *escrow);
const EscrowGrant *Escrow_GrantAt(const Escrow *escrow, size_t i);
const EscrowGrant *Escrow_FindGrant(const Escrow *escrow, const char *vm);

/* Returns whether a VM has an outcome for a wave that the state lacks. */
bool Escrow_HasOutcome(const Escrow *escrow, const char *wave, const char *vm);
/* Returns the outcomes that failed and that the state lacks. */
size_t Escrow_FailedOutcomes(const Escrow *escrow, const char *wave);

size_t Escrow_PoolCount(const Escrow *escrow);
const EscrowPool *Escrow_PoolAt(const Escrow *escrow, size_t i);
const EscrowPool *Escrow_FindPool(const Escrow *escrow, const char *name);

/* Returns the share of a pool that may be spent now. */
int64_t Escrow_Limit(const EscrowPool *pool);
bool Escrow_IsHealthy(const Escrow *escrow, const char *vm);
bool Escrow_IsKeeper(const Escrow *escrow);

#endif
