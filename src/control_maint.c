#include "control_internal.h"

#include <string.h>

#include "assign.h"
#include "diag.h"

/* Acknowledges closed VMs once the traffic threads use a view that has them
 * closed and all that was sent to them is answered. The count of a VM misses
 * requests that are still on their way to it. */
void
Control_AckCloses(Control *control, int64_t now)
{
    Buf command = BUF_INIT;
    size_t cursor = 0;
    const StateVm *vm;

    if (control->view_dirty ||
        control->view_applied != control->view_sequence ||
        now < control->ack_ms) {
        return;
    }
    while ((vm = Assign_NextToAck(control->state, control->settings->name,
                                  control->incarnation, &cursor)) != NULL) {
        control->ack_ms = now + CONTROL_REPEAT_MS / 10;
        if (Gateway_TargetInFlight(control->gateway, vm->name) > 0) {
            continue;
        }
        Buf_Clear(&command);
        StateCmd_AckClose(&command, vm->name, vm->epoch,
                          control->settings->name, control->incarnation);
        Control_Propose(control, &command, Control_IgnoreResult, NULL);
    }
    Buf_Free(&command);
}

static bool
names_target(const msgpack_object_array *names, const char *name)
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

/* The keeper's list of VMs that get no new work because of a drain. */
void
Control_OnDrains(Control *control, size_t peer,
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
        bool draining = names_target(&items[2].via.array, target->name);
        /* The list says nothing about VMs of other data centres. */
        if (strcmp(target->data_centre,
                   control->settings->peers[peer].data_centre) != 0) {
            continue;
        }
        control->view_dirty |= draining != target->draining;
        target->draining = draining;
    }
    control->drains_peer = (long)peer;
    control->drains_seen = items[1].via.u64;
    control->drains_view =
        control->view_sequence + (control->view_dirty ? 1 : 0);
}

/* Returns whether something sent to a drained VM is not answered yet. */
static bool
has_in_flight(const Control *control)
{
    size_t i;

    for (i = 0; i < StrMap_Count(control->targets); i++) {
        const ControlTarget *target = StrMap_At(control->targets, i);
        if (target->draining &&
            Gateway_TargetInFlight(control->gateway, target->name) > 0) {
            return true;
        }
    }
    return false;
}

/* Tells the keeper that the traffic threads use its drain list and that all
 * that was sent to its VMs is answered. */
void
Control_AckDrains(Control *control)
{
    Buf body = BUF_INIT;
    msgpack_packer packer;

    if (control->drains_peer < 0 ||
        control->view_applied < control->drains_view ||
        has_in_flight(control)) {
        return;
    }
    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 2);
    msgpack_pack_int(&packer, PEER_DRAINS_ACK);
    msgpack_pack_uint64(&packer, control->drains_seen);
    Peers_Send(control->peers, (size_t)control->drains_peer, body.data,
               body.len);
    Buf_Free(&body);
    control->drains_peer = -1;
}

void
Control_OnDrainsAck(Control *control, size_t peer,
                    const msgpack_object_array *message)
{
    if (message->size == 2 &&
        message->ptr[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
        control->peer_states[peer].drains_acked = message->ptr[1].via.u64;
    }
}
