#include "control_internal.h"

#include <string.h>

#include "diag.h"

static void
on_acked(void *arg, Status status, uint64_t index, const char *result,
         size_t len)
{
    (void)arg;
    (void)status;
    (void)index;
    (void)result;
    (void)len;
}

/* Returns whether this start of this node still has to acknowledge. */
static bool
owes_ack(const Control *control, const StateMove *move)
{
    size_t i;

    for (i = 0; i < move->ack_count; i++) {
        const StateAck *ack = &move->acks[i];
        if (!ack->acked && ack->incarnation == control->incarnation &&
            strcmp(ack->member, control->settings->name) == 0) {
            return true;
        }
    }
    return false;
}

/* Acknowledges closed VMs once the traffic threads use a view that has them
 * closed, so that no dispatch can follow the acknowledgement. */
void
Control_AckCloses(Control *control, int64_t now)
{
    size_t i;
    Buf command = BUF_INIT;

    if (control->view_dirty ||
        control->view_applied != control->view_sequence ||
        now < control->ack_ms) {
        return;
    }
    for (i = 0; i < State_MoveCount(control->state); i++) {
        const StateVm *vm = State_MoveAt(control->state, i);
        if (vm->assignment != STATE_CLOSING || !owes_ack(control, vm->move)) {
            continue;
        }
        control->ack_ms = now + CONTROL_REPEAT_MS / 10;
        Buf_Clear(&command);
        StateCmd_AckClose(&command, vm->name, vm->epoch,
                          control->settings->name, control->incarnation);
        Control_Propose(control, &command, on_acked, NULL);
    }
    Buf_Free(&command);
}
