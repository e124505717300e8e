#include "wal_format.h"

#include <string.h>
#include <xxhash.h>

#define MAGIC_BYTES 8
#define SECTOR_BYTES 512

static const char identity_magic[] = "CGIDEN01";
static const char vote_magic[] = "CGVOTE01";
static const char snapshot_magic[] = "CGSNAP01";
static const char log_magic[] = "CGLOGF01";

static void
append_number(Buf *out, uint64_t value, size_t count)
{
    unsigned char bytes[8];
    size_t i;

    for (i = 0; i < count; i++) {
        bytes[i] = (unsigned char)(value >> (8 * i));
    }
    Buf_Append(out, bytes, count);
}

static uint64_t
read_number(const char *bytes, size_t count)
{
    uint64_t value = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        value |= (uint64_t)(unsigned char)bytes[i] << (8 * i);
    }
    return value;
}

/* Appends the checksum of the bytes from offset to the end. */
static void
append_checksum(Buf *out, size_t offset, uint64_t seed)
{
    append_number(out, XXH64(out->data + offset, out->len - offset, seed), 8);
}

void
WalFormat_AppendIdentity(Buf *out, uint64_t identity, uint64_t cluster)
{
    size_t start = out->len;

    Buf_Append(out, identity_magic, MAGIC_BYTES);
    append_number(out, identity, 8);
    append_number(out, cluster, 8);
    append_checksum(out, start, 0);
}

void
WalFormat_AppendVote(Buf *out, uint64_t identity, const WalVote *vote)
{
    size_t start = out->len;

    Buf_Append(out, vote_magic, MAGIC_BYTES);
    append_number(out, identity, 8);
    append_number(out, vote->term, 8);
    append_number(out, vote->vote, 8);
    append_number(out, vote->min_synced_index, 8);
    append_checksum(out, start, 0);
}

void
WalFormat_AppendSnapshot(Buf *out, uint64_t identity, uint64_t index,
                         uint64_t term, const RaftMembers *members,
                         const char *data, size_t len)
{
    size_t start = out->len;
    Buf member_list = BUF_INIT;

    RaftMembers_Encode(members, &member_list);
    Buf_Append(out, snapshot_magic, MAGIC_BYTES);
    append_number(out, identity, 8);
    append_number(out, index, 8);
    append_number(out, term, 8);
    append_number(out, member_list.len, 8);
    append_number(out, len, 8);
    append_checksum(out, start, 0);
    start = out->len;
    Buf_Append(out, member_list.data, member_list.len);
    Buf_Append(out, data, len);
    append_checksum(out, start, index);
    Buf_Free(&member_list);
}

void
WalFormat_AppendLogHeader(Buf *out, uint64_t identity, uint64_t base_index,
                          uint64_t base_term)
{
    size_t start = out->len;

    Buf_Append(out, log_magic, MAGIC_BYTES);
    append_number(out, identity, 8);
    append_number(out, base_index, 8);
    append_number(out, base_term, 8);
    append_checksum(out, start, 0);
}

void
WalFormat_AppendRecord(Buf *out, uint64_t identity, const RaftEntry *entry)
{
    size_t start = out->len;

    append_number(out, entry->len, 4);
    append_number(out, (uint64_t)entry->kind, 4);
    append_number(out, entry->index, 8);
    append_number(out, entry->term, 8);
    append_checksum(out, start, identity);
    start = out->len;
    Buf_Append(out, entry->data, entry->len);
    append_number(out,
                  XXH64(entry->len == 0 ? "" : out->data + start, entry->len,
                        identity ^ entry->index),
                  8);
}

/* Checks the magic number, length, checksum and identity of a header. */
static Status
check_header(const Buf *file, const char *name, const char *magic,
             size_t header_bytes, uint64_t identity, ErrCtx *err)
{
    if (file->len >= MAGIC_BYTES &&
        memcmp(file->data, magic, MAGIC_BYTES) != 0) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset 0: not a file of this kind or version",
                       name);
    }
    if (file->len < header_bytes) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset %zu: the file ends inside its header", name,
                       file->len);
    }
    if (read_number(file->data + header_bytes - 8, 8) !=
        XXH64(file->data, header_bytes - 8, 0)) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset 0: the checksum of the header is wrong",
                       name);
    }
    if (identity != 0 &&
        read_number(file->data + MAGIC_BYTES, 8) != identity) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset 8: the file belongs to another data folder",
                       name);
    }
    return ST_OK;
}

static Status
check_length(const Buf *file, const char *name, uint64_t expected_bytes,
             ErrCtx *err)
{
    if (file->len < expected_bytes) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset %zu: the file is truncated", name,
                       file->len);
    }
    if (file->len > expected_bytes) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset %llu: unknown bytes after the end", name,
                       (unsigned long long)expected_bytes);
    }
    return ST_OK;
}

Status
WalFormat_ReadIdentity(const Buf *file, uint64_t *identity, uint64_t *cluster,
                       ErrCtx *err)
{
    Status status = check_header(file, "identity", identity_magic,
                                 WAL_IDENTITY_BYTES, 0, err);

    if (status == ST_OK) {
        status = check_length(file, "identity", WAL_IDENTITY_BYTES, err);
    }
    if (status != ST_OK) {
        return status;
    }
    *identity = read_number(file->data + 8, 8);
    *cluster = read_number(file->data + 16, 8);
    if (*identity == 0) {
        return Err_Set(err, ST_CORRUPT,
                       "identity: offset 8: the identity is 0");
    }
    return ST_OK;
}

Status
WalFormat_ReadVote(const Buf *file, uint64_t identity, WalVote *vote,
                   ErrCtx *err)
{
    Status status =
        check_header(file, "vote", vote_magic, WAL_VOTE_BYTES, identity, err);

    if (status == ST_OK) {
        status = check_length(file, "vote", WAL_VOTE_BYTES, err);
    }
    if (status != ST_OK) {
        return status;
    }
    vote->term = read_number(file->data + 16, 8);
    vote->vote = read_number(file->data + 24, 8);
    vote->min_synced_index = read_number(file->data + 32, 8);
    return ST_OK;
}

Status
WalFormat_ReadSnapshot(const Buf *file, uint64_t identity, uint64_t *index,
                       uint64_t *term, RaftMembers *members,
                       size_t *data_offset, size_t *data_len, ErrCtx *err)
{
    size_t start = WAL_SNAPSHOT_HEADER_BYTES;
    Status status =
        check_header(file, "snapshot", snapshot_magic, start, identity, err);
    uint64_t members_len;
    uint64_t len;

    if (status != ST_OK) {
        return status;
    }
    *index = read_number(file->data + 16, 8);
    *term = read_number(file->data + 24, 8);
    members_len = read_number(file->data + 32, 8);
    len = read_number(file->data + 40, 8);
    if (members_len > UINT32_MAX || len > UINT64_MAX / 4) {
        return Err_Set(err, ST_CORRUPT, "snapshot: offset 32: invalid length");
    }
    status =
        check_length(file, "snapshot", start + members_len + len + 8, err);
    if (status != ST_OK) {
        return status;
    }
    if (read_number(file->data + file->len - 8, 8) !=
        XXH64(file->data + start, file->len - start - 8, *index)) {
        return Err_Set(err, ST_CORRUPT,
                       "snapshot: offset %zu: the checksum of the content is "
                       "wrong",
                       start);
    }
    if (RaftMembers_Decode(file->data + start, (size_t)members_len, members,
                           err) != ST_OK ||
        RaftMembers_CountVoters(members) == 0) {
        return Err_Set(err, ST_CORRUPT,
                       "snapshot: offset %zu: malformed member list", start);
    }
    *data_offset = start + (size_t)members_len;
    *data_len = (size_t)len;
    return ST_OK;
}

Status
WalFormat_ReadLogHeader(const Buf *file, uint64_t identity,
                        uint64_t *base_index, uint64_t *base_term, ErrCtx *err)
{
    Status status = check_header(file, "log", log_magic, WAL_LOG_HEADER_BYTES,
                                 identity, err);

    if (status == ST_OK) {
        *base_index = read_number(file->data + 16, 8);
        *base_term = read_number(file->data + 24, 8);
    }
    return status;
}

/* Returns the length of the file without the zero bytes at its end that stand
 * for unwritten data. They do if they are too many to be part of a checksum,
 * or if they fill the last disk sector, since a disk writes a sector whole or
 * not at all. */
static size_t
find_written_length(const Buf *file, size_t offset)
{
    size_t len = file->len;
    size_t last_sector_start;

    while (len > offset && file->data[len - 1] == 0) {
        len--;
    }
    if (len == file->len) {
        return len;
    }
    last_sector_start = (file->len - 1) / SECTOR_BYTES * SECTOR_BYTES;
    if (file->len - len >= WAL_CHECKSUM_BYTES || len == offset ||
        last_sector_start >= len) {
        return len;
    }
    return file->len;
}

static Status
set_record_error(size_t offset, const char *problem, ErrCtx *err)
{
    return Err_Set(err, ST_CORRUPT, "log: offset %zu: %s", offset, problem);
}

Status
WalFormat_ReadRecord(const Buf *file, uint64_t identity, size_t offset,
                     RaftEntry *entry, size_t *next, ErrCtx *err)
{
    const char *record = file->data + offset;
    size_t available = file->len - offset;
    size_t written;
    uint64_t len;
    uint64_t kind;

    if (available < WAL_RECORD_HEADER_BYTES ||
        read_number(record + 24, 8) != XXH64(record, 24, identity)) {
        written = find_written_length(file, offset) - offset;
        if (written < WAL_RECORD_HEADER_BYTES) {
            return ST_AGAIN;
        }
        return set_record_error(
            offset, "the checksum of a record header is wrong", err);
    }
    len = read_number(record, 4);
    kind = read_number(record + 4, 4);
    entry->index = read_number(record + 8, 8);
    entry->term = read_number(record + 16, 8);
    if (len > RAFT_MAX_COMMAND_BYTES || kind > RAFT_ENTRY_MEMBERS ||
        (kind == RAFT_ENTRY_NOOP) != (len == 0)) {
        return set_record_error(offset, "a record has invalid fields", err);
    }
    entry->kind = (RaftEntryKind)kind;
    entry->data = record + WAL_RECORD_HEADER_BYTES;
    entry->len = (size_t)len;
    *next =
        offset + WAL_RECORD_HEADER_BYTES + (size_t)len + WAL_CHECKSUM_BYTES;
    if (*next > file->len) {
        return ST_AGAIN;
    }
    if (read_number(file->data + *next - 8, 8) !=
        XXH64(entry->data, entry->len, identity ^ entry->index)) {
        if (find_written_length(file, offset) < *next) {
            return ST_AGAIN;
        }
        return set_record_error(offset, "the checksum of a record is wrong",
                                err);
    }
    return ST_OK;
}
