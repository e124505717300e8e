/*
 * NAME
 *     escrow_impl - internal types and functions of the escrow
 */
#ifndef COLTSFOOT_ESCROW_IMPL_H
#define COLTSFOOT_ESCROW_IMPL_H

#include "escrow.h"
#include "strmap.h"

#define ESCROW_KEY_BYTES (2 * STATE_NAME_BYTES)

typedef struct EscrowVm {
    char name[STATE_NAME_BYTES];
    EscrowPool *pool;
    EscrowPool *charged_pool; /* pool whose spent includes this VM, or NULL */
    bool healthy;
    bool moving; /* true while the VM is closed for a move */
    uint64_t epoch;
    uint64_t incarnation;
    uint64_t sync_number; /* last sync that found the VM in the state */
} EscrowVm;

/* The final step of a VM in a wave. */
typedef struct EscrowOutcome {
    char key[ESCROW_KEY_BYTES]; /* "wave/vm" */
    char wave[STATE_NAME_BYTES];
    char vm[STATE_NAME_BYTES];
    StateStep step;
    uint64_t revision; /* first record revision that holds step */
} EscrowOutcome;

struct Escrow {
    char member[STATE_NAME_BYTES];
    char data_centre[STATE_NAME_BYTES];
    uint64_t identity;       /* identity of the data folder */
    uint64_t epoch;          /* newest keeper epoch seen in the state */
    uint64_t applied;        /* newest applied index of the states seen */
    uint64_t revision;       /* rises with each change of the record */
    uint64_t saved_revision; /* newest revision on the disk */
    uint64_t sync_number;    /* number of syncs as keeper since the start */
    bool is_keeper;          /* true if the last sync found it the keeper */
    StrMap *pools;
    StrMap *vms;
    StrMap *grants;
    StrMap *outcomes;
};

/* Returns the pool of this name, added if it is missing. If the pool's number
 * has changed, its totals are reset. */
EscrowPool *EscrowImpl_FindOrAddPool(Escrow *escrow, const char *name,
                                     uint64_t number);
EscrowGrant *EscrowImpl_AddGrant(Escrow *escrow, const char *vm,
                                 const char *pool, const char *wave,
                                 EscrowPurpose purpose);

/* Returns the outcome of a VM in a wave, added if it is missing, with its
 * step set. */
EscrowOutcome *EscrowImpl_AddOutcome(Escrow *escrow, const char *wave,
                                     const char *vm, StateStep step);

/* Removes the grant of a VM, if it has one. */
void EscrowImpl_RemoveGrant(Escrow *escrow, const char *vm);

/* Charges a VM to the pool of its grant, or to its own pool if it is not
 * healthy, or to none. */
void EscrowImpl_UpdateCharge(Escrow *escrow, EscrowVm *vm);

#endif
