#include "jobfleetmsg.h"

#include <string.h>

#include "mppack.h"
#include "peer.h"

#define LIMIT_COUNT 4

static bool
has_limits(const JobClientLimits *limits)
{
    return limits->max_header_bytes != 0 || limits->max_body_bytes != 0 ||
           limits->header_timeout_ms != 0 || limits->idle_timeout_ms != 0;
}

static void
pack_limits(msgpack_packer *packer, const JobClientLimits *limits)
{
    msgpack_pack_array(packer, LIMIT_COUNT);
    msgpack_pack_uint32(packer, limits->max_header_bytes);
    msgpack_pack_uint32(packer, limits->max_body_bytes);
    msgpack_pack_uint32(packer, limits->header_timeout_ms);
    msgpack_pack_uint32(packer, limits->idle_timeout_ms);
}

void
JobFleetMsg_Encode(const JobFleetMsg *msg, Buf *out)
{
    msgpack_packer packer;
    size_t i;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 6);
    msgpack_pack_int(&packer, PEER_FLEET);
    msgpack_pack_uint64(&packer, msg->term);
    msg->leader_ready ? msgpack_pack_true(&packer)
                      : msgpack_pack_false(&packer);
    MpPack_Text(&packer, msg->leader.host);
    msgpack_pack_int(&packer, msg->leader.port);
    msgpack_pack_array(&packer,
                       msg->node_count * 2 + has_limits(&msg->limits));
    for (i = 0; i < msg->node_count; i++) {
        MpPack_Text(&packer, msg->nodes[i].host);
        msgpack_pack_int(&packer, msg->nodes[i].port);
    }
    if (has_limits(&msg->limits)) {
        pack_limits(&packer, &msg->limits);
    }
}

static bool
read_address(const msgpack_object *items, SettingsAddress *address)
{
    if (items[0].type != MSGPACK_OBJECT_STR ||
        items[0].via.str.size >= sizeof(address->host) ||
        items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[1].via.u64 > UINT16_MAX) {
        return false;
    }
    if (items[0].via.str.size > 0) {
        /* The pointer of an empty string may be NULL. */
        memcpy(address->host, items[0].via.str.ptr, items[0].via.str.size);
    }
    address->host[items[0].via.str.size] = '\0';
    address->port = (int)items[1].via.u64;
    return true;
}

/* Reads the limits, and ignores them if a later version has changed them. */
static void
read_limits(const msgpack_object *item, JobClientLimits *limits)
{
    uint32_t *const fields[LIMIT_COUNT] = {
        &limits->max_header_bytes, &limits->max_body_bytes,
        &limits->header_timeout_ms, &limits->idle_timeout_ms};
    size_t i;

    if (item->type != MSGPACK_OBJECT_ARRAY ||
        item->via.array.size < LIMIT_COUNT) {
        return;
    }
    for (i = 0; i < LIMIT_COUNT; i++) {
        const msgpack_object *value = &item->via.array.ptr[i];
        if (value->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
            value->via.u64 <= UINT32_MAX) {
            *fields[i] = (uint32_t)value->via.u64;
        }
    }
}

bool
JobFleetMsg_Decode(const msgpack_object_array *message, JobFleetMsg *msg)
{
    const msgpack_object *items = message->ptr;
    const msgpack_object_array *nodes;
    size_t i;

    memset(msg, 0, sizeof(*msg));
    if (message->size != 6 ||
        items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[2].type != MSGPACK_OBJECT_BOOLEAN ||
        !read_address(&items[3], &msg->leader) ||
        items[5].type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    msg->term = items[1].via.u64;
    msg->leader_ready = items[2].via.boolean;
    nodes = &items[5].via.array;
    for (i = 0; i + 1 < nodes->size && msg->node_count < JOB_FLEET_MAX_NODES;
         i += 2) {
        if (!read_address(&nodes->ptr[i], &msg->nodes[msg->node_count++])) {
            return false;
        }
    }
    if (nodes->size % 2 == 1) {
        read_limits(&nodes->ptr[nodes->size - 1], &msg->limits);
    }
    return true;
}
