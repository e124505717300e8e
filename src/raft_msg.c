#include "raft_msg.h"

#include <msgpack.h>
#include <string.h>

#include "reader.h"

/* type, cluster, from, to, term, index, log_term, commit_index, context,
 * body */
#define HEADER_FIELDS 10
#define REPLY_FIELDS 3
#define SNAPSHOT_FIELDS 5
#define MEMBER_FIELDS 4
#define ENTRY_FIELDS 4
/* A chunk must fit into a frame between processes. */
#define MAX_SNAPSHOT_CHUNK_BYTES ((size_t)4 * 1024 * 1024)

static void
pack_members(msgpack_packer *packer, const RaftMembers *members)
{
    size_t i;

    msgpack_pack_array(packer, members->count);
    for (i = 0; i < members->count; i++) {
        const RaftMember *member = &members->list[i];

        msgpack_pack_array(packer, MEMBER_FIELDS);
        msgpack_pack_uint64(packer, member->identity);
        msgpack_pack_str_with_body(packer, member->name, strlen(member->name));
        msgpack_pack_str_with_body(packer, member->data_centre,
                                   strlen(member->data_centre));
        if (member->voter) {
            msgpack_pack_true(packer);
        }
        else {
            msgpack_pack_false(packer);
        }
    }
}

static void
read_members(Reader *reader, RaftMembers *members)
{
    size_t i;

    members->count = Reader_Array(reader, RAFT_MAX_MEMBERS);
    for (i = 0; i < members->count && !reader->failed; i++) {
        RaftMember *member = &members->list[i];

        Reader_ArrayOf(reader, MEMBER_FIELDS);
        member->identity = Reader_Unsigned(reader);
        Reader_Name(reader, member->name, sizeof(member->name));
        Reader_Name(reader, member->data_centre, sizeof(member->data_centre));
        member->voter = Reader_Bool(reader);
        /* Strictly ascending identities exclude duplicates. */
        if (member->identity == 0 ||
            (i > 0 && member->identity <= members->list[i - 1].identity)) {
            Reader_Fail(reader);
        }
    }
}

void
RaftMembers_Encode(const RaftMembers *members, Buf *out)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    pack_members(&packer, members);
}

Status
RaftMembers_Decode(const char *bytes, size_t len, RaftMembers *members,
                   ErrCtx *err)
{
    Reader reader;

    Reader_Init(&reader, bytes, len);
    read_members(&reader, members);
    if (!Reader_Done(&reader)) {
        members->count = 0;
        return Err_Set(err, ST_CORRUPT, "malformed member list");
    }
    return ST_OK;
}

const RaftMember *
RaftMembers_Find(const RaftMembers *members, uint64_t identity)
{
    size_t i;

    for (i = 0; i < members->count; i++) {
        if (members->list[i].identity == identity) {
            return &members->list[i];
        }
    }
    return NULL;
}

size_t
RaftMembers_CountVoters(const RaftMembers *members)
{
    size_t voters = 0;
    size_t i;

    for (i = 0; i < members->count; i++) {
        voters += members->list[i].voter;
    }
    return voters;
}

bool
RaftMembers_Put(RaftMembers *members, const RaftMember *member)
{
    size_t i = 0;

    while (i < members->count &&
           members->list[i].identity < member->identity) {
        i++;
    }
    if (i == members->count || members->list[i].identity != member->identity) {
        if (members->count == RAFT_MAX_MEMBERS) {
            return false;
        }
        memmove(&members->list[i + 1], &members->list[i],
                (members->count - i) * sizeof(members->list[0]));
        members->count++;
    }
    members->list[i] = *member;
    return true;
}

bool
RaftMembers_Remove(RaftMembers *members, uint64_t identity)
{
    size_t i;

    for (i = 0; i < members->count; i++) {
        if (members->list[i].identity == identity) {
            members->count--;
            memmove(&members->list[i], &members->list[i + 1],
                    (members->count - i) * sizeof(members->list[0]));
            return true;
        }
    }
    return false;
}

void
RaftEntry_Encode(const RaftEntry *entry, Buf *out)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, ENTRY_FIELDS);
    msgpack_pack_uint64(&packer, entry->index);
    msgpack_pack_uint64(&packer, entry->term);
    msgpack_pack_uint64(&packer, (uint64_t)entry->kind);
    msgpack_pack_bin_with_body(&packer, entry->data, entry->len);
}

void
RaftEntry_Read(Reader *reader, RaftEntry *entry)
{
    uint64_t kind;

    Reader_ArrayOf(reader, ENTRY_FIELDS);
    entry->index = Reader_Unsigned(reader);
    entry->term = Reader_Unsigned(reader);
    kind = Reader_Unsigned(reader);
    entry->kind = (RaftEntryKind)kind;
    entry->data = Reader_Bin(reader, RAFT_MAX_COMMAND_BYTES, &entry->len);
    if (kind > RAFT_ENTRY_MEMBERS || entry->index == 0 || entry->term == 0 ||
        (kind == RAFT_ENTRY_NOOP) != (entry->len == 0)) {
        Reader_Fail(reader);
    }
}

void
RaftMsg_Encode(const RaftMsg *msg, Buf *out)
{
    msgpack_packer packer;
    size_t i;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, HEADER_FIELDS);
    msgpack_pack_uint64(&packer, (uint64_t)msg->type);
    msgpack_pack_uint64(&packer, msg->cluster);
    msgpack_pack_uint64(&packer, msg->from);
    msgpack_pack_uint64(&packer, msg->to);
    msgpack_pack_uint64(&packer, msg->term);
    msgpack_pack_uint64(&packer, msg->index);
    msgpack_pack_uint64(&packer, msg->log_term);
    msgpack_pack_uint64(&packer, msg->commit_index);
    msgpack_pack_uint64(&packer, msg->context);
    switch (msg->type) {
    case RAFT_MSG_APPEND_ENTRIES:
        msgpack_pack_array(&packer, msg->entry_count);
        for (i = 0; i < msg->entry_count; i++) {
            RaftEntry_Encode(&msg->entries[i], out);
        }
        break;
    case RAFT_MSG_INSTALL_SNAPSHOT:
        msgpack_pack_array(&packer, SNAPSHOT_FIELDS);
        pack_members(&packer, &msg->members);
        msgpack_pack_uint64(&packer, msg->total);
        msgpack_pack_uint64(&packer, msg->offset);
        msgpack_pack_uint64(&packer, msg->checksum);
        msgpack_pack_bin_with_body(&packer, msg->data, msg->len);
        break;
    default:
        msgpack_pack_array(&packer, REPLY_FIELDS);
        if (msg->reject) {
            msgpack_pack_true(&packer);
        }
        else {
            msgpack_pack_false(&packer);
        }
        msgpack_pack_uint64(&packer, msg->hint_index);
        msgpack_pack_uint64(&packer, msg->hint_term);
        break;
    }
}

/* Reads the entries. Their indexes follow the message's index without a gap,
 * and their terms never decrease or exceed the sender's. */
static void
read_entries(Reader *reader, RaftMsg *msg)
{
    uint64_t term = msg->log_term;
    size_t i;

    msg->entry_count = Reader_Array(reader, RAFT_MAX_BATCH_ENTRIES);
    for (i = 0; i < msg->entry_count && !reader->failed; i++) {
        RaftEntry *entry = &msg->entries[i];

        RaftEntry_Read(reader, entry);
        if (entry->index != msg->index + 1 + i || entry->term < term ||
            entry->term > msg->term) {
            Reader_Fail(reader);
        }
        term = entry->term;
    }
}

static void
read_snapshot(Reader *reader, RaftMsg *msg)
{
    Reader_ArrayOf(reader, SNAPSHOT_FIELDS);
    read_members(reader, &msg->members);
    msg->total = Reader_Unsigned(reader);
    msg->offset = Reader_Unsigned(reader);
    msg->checksum = Reader_Unsigned(reader);
    msg->data = Reader_Bin(reader, MAX_SNAPSHOT_CHUNK_BYTES, &msg->len);
    if (msg->index == 0 || msg->log_term == 0 || msg->log_term > msg->term ||
        RaftMembers_CountVoters(&msg->members) == 0 ||
        msg->offset > msg->total || msg->len > msg->total - msg->offset) {
        Reader_Fail(reader);
    }
}

Status
RaftMsg_Decode(const char *bytes, size_t len, RaftMsg *msg, ErrCtx *err)
{
    Reader reader;
    uint64_t type;

    /* Entries and members beyond their counts are never read, so the large
     * arrays are not cleared. */
    msg->entry_count = 0;
    msg->members.count = 0;
    msg->data = NULL;
    msg->len = 0;
    msg->total = msg->offset = msg->checksum = 0;
    msg->reject = false;
    msg->hint_index = msg->hint_term = 0;
    Reader_Init(&reader, bytes, len);
    Reader_ArrayOf(&reader, HEADER_FIELDS);
    type = Reader_Unsigned(&reader);
    msg->cluster = Reader_Unsigned(&reader);
    msg->from = Reader_Unsigned(&reader);
    msg->to = Reader_Unsigned(&reader);
    msg->term = Reader_Unsigned(&reader);
    msg->index = Reader_Unsigned(&reader);
    msg->log_term = Reader_Unsigned(&reader);
    msg->commit_index = Reader_Unsigned(&reader);
    msg->context = Reader_Unsigned(&reader);
    if (type < RAFT_MSG_REQUEST_PREVOTE || type > RAFT_MSG_TIMEOUT_NOW ||
        msg->from == 0 || msg->to == 0 || msg->index >= UINT64_MAX / 2 ||
        msg->term >= UINT64_MAX / 2) {
        Reader_Fail(&reader);
        type = RAFT_MSG_REQUEST_PREVOTE;
    }
    msg->type = (RaftMsgType)type;
    if (msg->type == RAFT_MSG_APPEND_ENTRIES) {
        read_entries(&reader, msg);
    }
    else if (msg->type == RAFT_MSG_INSTALL_SNAPSHOT) {
        read_snapshot(&reader, msg);
    }
    else {
        Reader_ArrayOf(&reader, REPLY_FIELDS);
        msg->reject = Reader_Bool(&reader);
        msg->hint_index = Reader_Unsigned(&reader);
        msg->hint_term = Reader_Unsigned(&reader);
    }
    if (!Reader_Done(&reader)) {
        msg->entry_count = 0;
        return Err_Set(
            err, ST_CORRUPT,
            "malformed replicated log message of type %llu and %zu bytes",
            (unsigned long long)type, len);
    }
    return ST_OK;
}
