#include "control_internal.h"

#include <string.h>

#include <xxhash.h>

/* Interval at which an unchanged announcement is relayed whole. In between,
 * peers get only the target's name and incarnation, about a tenth of the
 * bytes. */
#define CONTROL_RELAY_INTERVAL_MS 10000

static void
send_to_data_centre(Control *control, const Buf *body)
{
    const Settings *settings = control->settings;
    size_t i;

    for (i = 0; i < settings->peer_count; i++) {
        if (strcmp(settings->peers[i].data_centre, settings->data_centre) ==
            0) {
            Peers_Send(control->peers, i, body->data, body->len);
        }
    }
}

void
Control_RelayAnnouncement(Control *control, const char *json, size_t len)
{
    Buf body = BUF_INIT;
    msgpack_packer packer;

    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 2);
    msgpack_pack_int(&packer, PEER_TARGET);
    msgpack_pack_str(&packer, len);
    msgpack_pack_str_body(&packer, json, len);
    send_to_data_centre(control, &body);
    Buf_Free(&body);
}

static void
relay_heartbeat(Control *control, const ControlTarget *target)
{
    Buf body = BUF_INIT;
    msgpack_packer packer;

    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 3);
    msgpack_pack_int(&packer, PEER_TARGET);
    MpPack_Text(&packer, target->name);
    msgpack_pack_uint64(&packer, target->incarnation);
    send_to_data_centre(control, &body);
    Buf_Free(&body);
}

void
Control_RelayIfChanged(Control *control, ControlTarget *target,
                       const char *json, size_t len)
{
    uint64_t hash = XXH3_64bits(json, len);
    int64_t now = Loop_NowMs();

    if (target->relayed_ms != 0 && target->relayed_hash == hash &&
        now - target->relayed_ms < CONTROL_RELAY_INTERVAL_MS) {
        relay_heartbeat(control, target);
        return;
    }
    target->relayed_ms = now;
    target->relayed_hash = hash;
    Control_RelayAnnouncement(control, json, len);
}

void
Control_ResetRelays(Control *control)
{
    size_t i;

    for (i = 0; i < StrMap_Count(control->targets); i++) {
        ControlTarget *target = StrMap_At(control->targets, i);
        target->relayed_ms = 0;
    }
}

void
Control_OnTargetHeartbeat(Control *control,
                          const msgpack_object_array *message)
{
    const msgpack_object *items = message->ptr;
    char name[SETTINGS_NAME_BYTES];
    ControlTarget *target;

    if (message->size != 3 || items[1].type != MSGPACK_OBJECT_STR ||
        items[1].via.str.size >= sizeof(name) ||
        items[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return;
    }
    memcpy(name, items[1].via.str.ptr, items[1].via.str.size);
    name[items[1].via.str.size] = '\0';
    target = Control_FindTarget(control, name);
    if (target == NULL || target->incarnation != items[2].via.u64) {
        return;
    }
    control->view_dirty |= target->suspect;
    target->suspect = false;
    target->last_heard_ms = Loop_NowMs();
}
