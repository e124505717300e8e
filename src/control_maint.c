#include "control_internal.h"

#include <string.h>

#include "assign.h"
#include "diag.h"

/* Acknowledges closed VMs once the traffic threads use a view in which they
 * are closed and all requests sent to them are answered. The VM's own count of
 * requests in flight would miss those that have not reached it yet. */
void
Control_AckClosedVms(Control *control, int64_t now)
{
    Buf command = BUF_INIT;
    size_t cursor = 0;
    const StateVm *vm;

    if (control->view_dirty ||
        control->view_applied != control->view_sequence ||
        now < control->next_ack_ms) {
        return;
    }
    while ((vm = Assign_FindNextToAck(control->state, control->settings->name,
                                      control->incarnation, &cursor)) !=
           NULL) {
        control->next_ack_ms = now + CONTROL_RETRY_INTERVAL_MS / 10;
        if (Gateway_GetTargetInFlight(control->gateway, vm->name) > 0) {
            continue;
        }
        Buf_Clear(&command);
        StateCmd_EncodeAckClose(&command, vm->name, vm->epoch,
                                control->settings->name, control->incarnation);
        Control_Propose(control, &command, Control_IgnoreResult, NULL);
    }
    Buf_Free(&command);
}

static bool
contains_name(const msgpack_object_array *names, const char *name)
{
    size_t len = strlen(name);
    size_t i;

    for (i = 0; i < names->size; i++) {
        const msgpack_object *item = &names->ptr[i];
        if (item->type == MSGPACK_OBJECT_STR && item->via.str.size == len &&
            memcmp(item->via.str.ptr, name, len) == 0) {
            return true;
        }
    }
    return false;
}

/* Handles the keeper's list of VMs that get no new work because of a drain. */
void
Control_OnDrainList(Control *control, size_t peer,
                    const msgpack_object_array *message)
{
    const msgpack_object *items = message->ptr;
    size_t i;

    if (message->size != 3 ||
        items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[2].type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    for (i = 0; i < StrMap_Count(control->targets); i++) {
        ControlTarget *target = StrMap_At(control->targets, i);
        bool draining = contains_name(&items[2].via.array, target->name);
        /* The list covers only VMs of the keeper's data centre. */
        if (strcmp(target->data_centre,
                   control->settings->peers[peer].data_centre) != 0) {
            continue;
        }
        control->view_dirty |= draining != target->draining;
        target->draining = draining;
    }
    control->drains_ack_peer = (long)peer;
    control->drains_ack_sequence = items[1].via.u64;
    control->drains_view_sequence =
        control->view_sequence + (control->view_dirty ? 1 : 0);
}

/* Returns whether a request sent to a draining VM is still unanswered. */
static bool
has_draining_in_flight(const Control *control)
{
    size_t i;

    for (i = 0; i < StrMap_Count(control->targets); i++) {
        const ControlTarget *target = StrMap_At(control->targets, i);
        if (target->draining &&
            Gateway_GetTargetInFlight(control->gateway, target->name) > 0) {
            return true;
        }
    }
    return false;
}

/* Acknowledges the keeper's drain list once the traffic threads use it and all
 * requests sent to its VMs are answered. */
void
Control_AckDrainList(Control *control)
{
    Buf body = BUF_INIT;
    msgpack_packer packer;

    if (control->drains_ack_peer < 0 ||
        control->view_applied < control->drains_view_sequence ||
        has_draining_in_flight(control)) {
        return;
    }
    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 2);
    msgpack_pack_int(&packer, PEER_DRAINS_ACK);
    msgpack_pack_uint64(&packer, control->drains_ack_sequence);
    Peers_Send(control->peers, (size_t)control->drains_ack_peer, body.data,
               body.len);
    Buf_Free(&body);
    control->drains_ack_peer = -1;
}

void
Control_OnDrainListAck(Control *control, size_t peer,
                       const msgpack_object_array *message)
{
    if (message->size == 2 &&
        message->ptr[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
        control->peer_states[peer].drains_acked = message->ptr[1].via.u64;
    }
}
