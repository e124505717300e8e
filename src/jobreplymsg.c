#include "jobreplymsg.h"

#include <stdio.h>
#include <string.h>

#include "job.h"
#include "peer.h"

void
JobReplyMsg_Encode(const JobReplyMsg *msg, Buf *out)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 5);
    msgpack_pack_int(&packer, PEER_JOB_REPLY);
    msgpack_pack_uint64(&packer, msg->sequence);
    msgpack_pack_int(&packer, msg->status);
    msgpack_pack_int64(&packer, msg->retry_ms);
    msgpack_pack_bin_with_body(&packer, msg->body, msg->body_len);
}

bool
JobReplyMsg_Decode(const msgpack_object_array *message, JobReplyMsg *msg)
{
    const msgpack_object *items = message->ptr;

    if (message->size != 5 ||
        items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[3].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[4].type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    msg->sequence = items[1].via.u64;
    msg->status = (int)items[2].via.u64;
    msg->retry_ms = (int64_t)items[3].via.u64;
    msg->body = items[4].via.bin.ptr;
    msg->body_len = items[4].via.bin.size;
    return true;
}

void
JobReplyMsg_RedirectHttp(HttpRequest *http, const char *address)
{
    char location[JOB_ADDRESS_BYTES + 200];
    HttpReply reply = {.status = 307,
                       .content_type = "application/json",
                       .headers = {{"Location", location}},
                       .header_count = 1,
                       .body = "{}",
                       .body_len = 2};

    snprintf(location, sizeof(location), "http://%s%.190s", address,
             HttpRequest_GetPath(http));
    HttpRequest_Reply(http, &reply);
}

void
JobReplyMsg_SendHttp(const JobReplyMsg *msg, HttpRequest *http)
{
    char retry[32];
    HttpReply reply = {.status = msg->status,
                       .content_type = "application/json",
                       .body = msg->body,
                       .body_len = msg->body_len};

    if (msg->retry_ms > 0) {
        snprintf(retry, sizeof(retry), "%lld",
                 (long long)((msg->retry_ms + 999) / 1000));
        reply.headers[0] = (HttpHeader){"Retry-After", retry};
        reply.header_count = 1;
    }
    HttpRequest_Reply(http, &reply);
}
