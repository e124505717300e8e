#include "jobcallmsg.h"

#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "mem.h"
#include "mppack.h"

#define CALL_ITEMS 13
#define ANSWER_ITEMS 6
#define RUNNING_ITEMS 4
#define END_ITEMS 5
#define ANNOUNCE_ITEMS 4

/* Encodes a text with its terminating zero byte, so that the decoded text can
 * point into the input. */
static void
pack_text(msgpack_packer *packer, const char *text)
{
    size_t len = strlen(text) + 1;

    msgpack_pack_bin_with_body(packer, text, len);
}

static bool
read_text(MpRead *reader, const char **text)
{
    size_t len;

    if (!MpRead_Bin(reader, text, &len)) {
        return false;
    }
    if (len == 0 || memchr(*text, '\0', len) != *text + len - 1) {
        reader->failed = true;
        return false;
    }
    return true;
}

void
JobCallMsg_Pack(const JobCallMsg *call, Buf *out)
{
    const JobAction *action = &call->action;
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, CALL_ITEMS);
    msgpack_pack_uint64(&packer, action->cookie);
    msgpack_pack_uint32(&packer, (uint32_t)action->kind);
    MpPack_Text(&packer, action->id);
    MpPack_Text(&packer, action->address);
    JobCodec_PackTaskRef(&packer, &action->task);
    msgpack_pack_uint32(&packer, action->attempt);
    msgpack_pack_uint64(&packer, action->fence);
    msgpack_pack_int64(&packer, action->deadline_ms);
    msgpack_pack_uint64(&packer, action->ack);
    msgpack_pack_int64(&packer, action->wait_ms);
    msgpack_pack_int64(&packer, call->timeout_ms);
    pack_text(&packer, action->text != NULL ? action->text : "");
    pack_text(&packer, action->checkpoint != NULL ? action->checkpoint : "");
}

bool
JobCallMsg_Read(MpRead *reader, JobCallMsg *call)
{
    JobAction *action = &call->action;
    uint32_t kind;

    memset(call, 0, sizeof(*call));
    if (!MpRead_ArrayOf(reader, CALL_ITEMS) ||
        !MpRead_U64(reader, &action->cookie) || !MpRead_U32(reader, &kind) ||
        !MpRead_Text(reader, action->id, sizeof(action->id)) ||
        !MpRead_Text(reader, action->address, sizeof(action->address)) ||
        !JobCodec_ReadTaskRef(reader, &action->task) ||
        !MpRead_U32(reader, &action->attempt) ||
        !MpRead_U64(reader, &action->fence) ||
        !MpRead_I64(reader, &action->deadline_ms) ||
        !MpRead_U64(reader, &action->ack) ||
        !MpRead_I64(reader, &action->wait_ms) ||
        !MpRead_I64(reader, &call->timeout_ms) ||
        !read_text(reader, &action->text) ||
        !read_text(reader, &action->checkpoint) ||
        kind <= JOB_ACTION_PROPOSE || kind > JOB_ACTION_HOLD) {
        return false;
    }
    action->kind = (JobActionKind)kind;
    if (action->checkpoint[0] == '\0') {
        action->checkpoint = NULL;
    }
    return true;
}

void
JobAnswerMsg_Pack(uint64_t cookie, const JobCallAnswer *answer, Buf *out)
{
    msgpack_packer packer;
    size_t i;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, ANSWER_ITEMS);
    msgpack_pack_uint64(&packer, cookie);
    msgpack_pack_uint32(&packer, (uint32_t)answer->outcome);
    msgpack_pack_int64(&packer, answer->clock_ms);
    msgpack_pack_uint64(&packer, answer->born);
    msgpack_pack_array(&packer, answer->running_count);
    for (i = 0; i < answer->running_count; i++) {
        const JobRunning *row = &answer->running[i];
        msgpack_pack_array(&packer, RUNNING_ITEMS);
        JobCodec_PackTaskRef(&packer, &row->task);
        msgpack_pack_uint32(&packer, row->attempt);
        msgpack_pack_uint32(&packer, row->percent);
        msgpack_pack_uint32(&packer, row->load);
    }
    msgpack_pack_array(&packer, answer->end_count);
    for (i = 0; i < answer->end_count; i++) {
        const JobEnd *row = &answer->ends[i];
        msgpack_pack_array(&packer, END_ITEMS);
        JobCodec_PackTaskRef(&packer, &row->task);
        msgpack_pack_uint32(&packer, row->attempt);
        msgpack_pack_uint32(&packer, (uint32_t)row->kind);
        msgpack_pack_uint64(&packer, row->number);
        pack_text(&packer, row->checkpoint);
    }
}

static bool
read_running(MpRead *reader, JobAnswerMsg *msg)
{
    uint32_t count;
    uint32_t i;

    if (!MpRead_Array(reader, &count)) {
        return false;
    }
    msg->running = Mem_New(count + 1, sizeof(*msg->running));
    msg->answer.running = msg->running;
    msg->answer.running_count = count;
    for (i = 0; i < count; i++) {
        JobRunning *row = &msg->running[i];
        row->checkpoint = "";
        if (!MpRead_ArrayOf(reader, RUNNING_ITEMS) ||
            !JobCodec_ReadTaskRef(reader, &row->task) ||
            !MpRead_U32(reader, &row->attempt) ||
            !MpRead_U32(reader, &row->percent) ||
            !MpRead_U32(reader, &row->load)) {
            return false;
        }
    }
    return true;
}

static bool
read_ends(MpRead *reader, JobAnswerMsg *msg)
{
    uint32_t count;
    uint32_t i;

    if (!MpRead_Array(reader, &count)) {
        return false;
    }
    msg->ends = Mem_New(count + 1, sizeof(*msg->ends));
    msg->answer.ends = msg->ends;
    msg->answer.end_count = count;
    for (i = 0; i < count; i++) {
        JobEnd *row = &msg->ends[i];
        uint32_t kind;
        if (!MpRead_ArrayOf(reader, END_ITEMS) ||
            !JobCodec_ReadTaskRef(reader, &row->task) ||
            !MpRead_U32(reader, &row->attempt) || !MpRead_U32(reader, &kind) ||
            !MpRead_U64(reader, &row->number) ||
            !read_text(reader, &row->checkpoint) || kind >= JOB_END_KINDS) {
            return false;
        }
        row->kind = (JobEndKind)kind;
    }
    return true;
}

bool
JobAnswerMsg_Read(MpRead *reader, JobAnswerMsg *msg)
{
    uint32_t outcome;

    memset(msg, 0, sizeof(*msg));
    if (!MpRead_ArrayOf(reader, ANSWER_ITEMS) ||
        !MpRead_U64(reader, &msg->cookie) || !MpRead_U32(reader, &outcome) ||
        outcome > JOB_CALL_AGENT_LOST ||
        !MpRead_I64(reader, &msg->answer.clock_ms) ||
        !MpRead_U64(reader, &msg->answer.born)) {
        return false;
    }
    msg->answer.outcome = (JobCallOutcome)outcome;
    return read_running(reader, msg) && read_ends(reader, msg);
}

void
JobAnswerMsg_Free(JobAnswerMsg *msg)
{
    free(msg->running);
    free(msg->ends);
    memset(msg, 0, sizeof(*msg));
}

void
JobAnnounceMsg_Pack(const JobAnnouncement *announcement, Buf *out)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, ANNOUNCE_ITEMS);
    JobCodec_PackAnnouncement(&packer, announcement);
    msgpack_pack_uint64(&packer, announcement->order);
    msgpack_pack_int64(&packer, announcement->clock_ms);
    msgpack_pack_uint32(&packer, announcement->drain_remaining_ms);
}

bool
JobAnnounceMsg_Read(MpRead *reader, JobAnnouncement *announcement)
{
    return MpRead_ArrayOf(reader, ANNOUNCE_ITEMS) &&
           JobCodec_ReadAnnouncement(reader, announcement) &&
           MpRead_U64(reader, &announcement->order) &&
           MpRead_I64(reader, &announcement->clock_ms) &&
           MpRead_U32(reader, &announcement->drain_remaining_ms);
}

void
JobCallMsg_EncodeBatch(PeerMessageType type, uint64_t term, const Buf *records,
                       Buf *out)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 3);
    msgpack_pack_int(&packer, (int)type);
    msgpack_pack_uint64(&packer, term);
    msgpack_pack_bin_with_body(&packer, records->data, records->len);
}

bool
JobCallMsg_DecodeBatch(const msgpack_object_array *message, uint64_t *term,
                       MpRead *records)
{
    const msgpack_object *items = message->ptr;

    if (message->size != 3 ||
        items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[2].type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    *term = items[1].via.u64;
    MpRead_Init(records, items[2].via.bin.ptr, items[2].via.bin.size);
    return true;
}
