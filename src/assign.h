/*
 * NAME
 *     assign - what a move of a VM needs next
 *
 * DESCRIPTION
 *     A move has two steps in the replicated state. The keeper of the VM's
 *     data centre grants it out of its share and closes the VM (epoch + 1).
 *     Each entry VM of the data centre stops dispatching to the VM and
 *     acknowledges with its incarnation; a restart or the operator's
 *     declaration that it is destroyed stands for the acknowledgement. When
 *     no work is in flight the VM is opened in the new pool (epoch + 1).
 *     This module looks at the state and says what is to be done; commands
 *     are those of statecmd. It keeps nothing itself.
 */
#ifndef COLTSFOOT_ASSIGN_H
#define COLTSFOOT_ASSIGN_H

#include <stdbool.h>
#include <stddef.h>

#include "buf.h"
#include "state.h"

typedef enum AssignAction {
    ASSIGN_NONE,        /* no move is under way */
    ASSIGN_WAIT_KEEPER, /* the keeper has to grant and close */
    ASSIGN_WAIT_ACK,    /* entry VMs have to acknowledge the close */
    ASSIGN_WAIT_IDLE,   /* ask the VM whether work is in flight */
    ASSIGN_OPEN,        /* propose StateCmd_VmDrained */
    ASSIGN_CANCEL       /* propose StateCmd_CancelMove */
} AssignAction;

typedef struct AssignStep {
    AssignAction action;
    const char *member; /* the keeper, or the first silent entry VM */
    size_t missing;     /* entry VMs that have not acknowledged */
    char reason[STATE_REASON_BYTES];
} AssignStep;

/* Says what the leader does next for a VM. idle: the VM reported, after the
 * close, that no work is in flight. */
void Assign_Next(const State *state, const StateVm *vm, bool idle,
                 AssignStep *step);

/* Appends the command of ASSIGN_OPEN or ASSIGN_CANCEL; false for others. */
bool Assign_Command(const StateVm *vm, AssignAction action, Buf *out);

/* Lists the VMs whose close an entry VM has to acknowledge: *cursor starts
 * at 0; returns NULL at the end. The entry VM first stops dispatching to the
 * VM, then proposes StateCmd_AckClose with the VM's epoch. */
const StateVm *Assign_NextToAck(const State *state, const char *member,
                                uint64_t incarnation, size_t *cursor);

/* Lists the VMs with a move that the keeper of a data centre may grant, as
 * Assign_NextToAck. */
const StateVm *Assign_NextToGrant(const State *state, const char *data_centre,
                                  size_t *cursor);

/* Returns whether an entry VM may dispatch work of a pool to a VM under the
 * epoch that it holds. */
bool Assign_MayDispatch(const State *state, const char *vm, const char *pool,
                        uint64_t epoch);

#endif
