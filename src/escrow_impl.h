/*
 * NAME
 *     escrow_impl - what the files of the escrow share
 */
#ifndef COLTSFOOT_ESCROW_IMPL_H
#define COLTSFOOT_ESCROW_IMPL_H

#include "escrow.h"
#include "strmap.h"

#define ESCROW_KEY_BYTES (2 * STATE_NAME_BYTES)

typedef struct EscrowVm {
    char name[STATE_NAME_BYTES];
    EscrowPool *pool;
    EscrowPool *charged; /* the pool whose spent counts this VM, or NULL */
    bool healthy;
    bool moving; /* the state has closed it for a move */
    uint64_t epoch;
    uint64_t incarnation;
    uint64_t mark;
} EscrowVm;

/* How a VM left a wave; key is "wave/vm". */
typedef struct EscrowOutcome {
    char key[ESCROW_KEY_BYTES];
    char wave[STATE_NAME_BYTES];
    char vm[STATE_NAME_BYTES];
    StateStep step;
    uint64_t revision;
} EscrowOutcome;

struct Escrow {
    char member[STATE_NAME_BYTES];
    char data_centre[STATE_NAME_BYTES];
    uint64_t identity;
    uint64_t epoch;    /* keeper epoch */
    uint64_t applied;  /* newest index of the state that was seen */
    uint64_t revision; /* rises with each change of the record */
    uint64_t saved;
    uint64_t mark; /* of the last sync */
    bool active;   /* the last sync found this member to be the keeper */
    StrMap *pools;
    StrMap *vms;
    StrMap *grants;
    StrMap *outcomes;
};

EscrowPool *EscrowImpl_AddPool(Escrow *escrow, const char *name,
                               uint64_t number);
EscrowGrant *EscrowImpl_AddGrant(Escrow *escrow, const char *vm,
                                 const char *pool, const char *wave,
                                 EscrowPurpose purpose);
EscrowOutcome *EscrowImpl_AddOutcome(Escrow *escrow, const char *wave,
                                     const char *vm, StateStep step);
void EscrowImpl_RemoveGrant(Escrow *escrow, const char *vm);

/* Makes the charge of a VM follow its grant and health. */
void EscrowImpl_Charge(Escrow *escrow, EscrowVm *vm);

#endif
