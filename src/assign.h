/*
 * NAME
 *     assign - next step of the move of a VM to another pool
 *
 * DESCRIPTION
 *     A move has two steps in the replicated state. First the keeper of the
 *     VM's data centre grants the move out of its share and closes the VM
 *     (epoch + 1). Each entry VM of the data centre then stops dispatching to
 *     the VM and acknowledges the close with its incarnation. A restart of
 *     the entry VM, or an operator's declaration that it is destroyed, counts
 *     as an acknowledgement. When no work is in flight, the VM is opened in
 *     the new pool (epoch + 1).
 *
 *     This module derives the next step from the state and has no state of
 *     its own. The commands are those of statecmd.
 */
#ifndef COLTSFOOT_ASSIGN_H
#define COLTSFOOT_ASSIGN_H

#include <stdbool.h>
#include <stddef.h>

#include "buf.h"
#include "state.h"

typedef enum AssignAction {
    ASSIGN_NONE,        /* the VM has no move */
    ASSIGN_WAIT_KEEPER, /* the keeper has to grant and close the VM */
    ASSIGN_WAIT_ACK,    /* entry VMs have to acknowledge the close */
    ASSIGN_WAIT_IDLE,   /* ask the VM whether work is in flight */
    ASSIGN_OPEN,        /* propose StateCmd_EncodeVmDrained */
    ASSIGN_CANCEL       /* propose StateCmd_EncodeCancelMove */
} AssignAction;

typedef struct AssignStep {
    AssignAction action;
    const char *member; /* keeper or entry VM to wait for, or empty */
    size_t missing;     /* entry VMs that have not acknowledged */
    char reason[STATE_REASON_BYTES];
} AssignStep;

/* Decides the next step for a VM. idle is true if the VM has reported, after
 * all entry VMs acknowledged the close, that no work is in flight. */
void Assign_DecideNext(const State *state, const StateVm *vm, bool idle,
                       AssignStep *step);

/* Appends the command of ASSIGN_OPEN or ASSIGN_CANCEL. Returns false for any
 * other action. */
bool Assign_AppendCommand(const StateVm *vm, AssignAction action, Buf *out);

/* Returns the next VM whose close an entry VM has to acknowledge, or NULL at
 * the end; *cursor starts at 0. The entry VM first stops dispatching to the
 * VM, then proposes StateCmd_EncodeAckClose with the VM's epoch. */
const StateVm *Assign_FindNextToAck(const State *state, const char *member,
                                    uint64_t incarnation, size_t *cursor);

/* Returns the next VM with a move that the keeper of a data centre may grant,
 * or NULL at the end; *cursor starts at 0. */
const StateVm *Assign_FindNextToGrant(const State *state,
                                      const char *data_centre, size_t *cursor);

/* Returns whether work of a pool may be dispatched to a VM that the entry VM
 * knows under this epoch. */
bool Assign_MayDispatch(const State *state, const char *vm, const char *pool,
                        uint64_t epoch);

#endif
