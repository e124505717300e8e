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
put(Buf *out, uint64_t value, size_t count)
{
    unsigned char bytes[8];
    size_t i;

    for (i = 0; i < count; i++) {
        bytes[i] = (unsigned char)(value >> (8 * i));
    }
    Buf_Append(out, bytes, count);
}

static uint64_t
get(const char *at, size_t count)
{
    uint64_t value = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        value |= (uint64_t)(unsigned char)at[i] << (8 * i);
    }
    return value;
}

/* Appends the checksum of everything from offset on. */
static void
put_sum(Buf *out, size_t offset, uint64_t seed)
{
    put(out, XXH64(out->data + offset, out->len - offset, seed), 8);
}

void
WalFormat_Identity(Buf *out, uint64_t identity, uint64_t cluster)
{
    size_t start = out->len;

    Buf_Append(out, identity_magic, MAGIC_BYTES);
    put(out, identity, 8);
    put(out, cluster, 8);
    put_sum(out, start, 0);
}

void
WalFormat_Vote(Buf *out, uint64_t identity, const WalVote *vote)
{
    size_t start = out->len;

    Buf_Append(out, vote_magic, MAGIC_BYTES);
    put(out, identity, 8);
    put(out, vote->term, 8);
    put(out, vote->vote, 8);
    put(out, vote->floor, 8);
    put_sum(out, start, 0);
}

void
WalFormat_Snapshot(Buf *out, uint64_t identity, uint64_t index, uint64_t term,
                   const RaftMembers *members, const char *data, size_t len)
{
    size_t start = out->len;
    Buf list = BUF_INIT;

    RaftMembers_Encode(members, &list);
    Buf_Append(out, snapshot_magic, MAGIC_BYTES);
    put(out, identity, 8);
    put(out, index, 8);
    put(out, term, 8);
    put(out, list.len, 8);
    put(out, len, 8);
    put_sum(out, start, 0);
    start = out->len;
    Buf_Append(out, list.data, list.len);
    Buf_Append(out, data, len);
    put_sum(out, start, index);
    Buf_Free(&list);
}

void
WalFormat_LogHeader(Buf *out, uint64_t identity, uint64_t base_index,
                    uint64_t base_term)
{
    size_t start = out->len;

    Buf_Append(out, log_magic, MAGIC_BYTES);
    put(out, identity, 8);
    put(out, base_index, 8);
    put(out, base_term, 8);
    put_sum(out, start, 0);
}

void
WalFormat_Record(Buf *out, uint64_t identity, const RaftEntry *entry)
{
    size_t start = out->len;

    put(out, entry->len, 4);
    put(out, (uint64_t)entry->kind, 4);
    put(out, entry->index, 8);
    put(out, entry->term, 8);
    put_sum(out, start, identity);
    start = out->len;
    Buf_Append(out, entry->data, entry->len);
    put(out,
        XXH64(entry->len == 0 ? "" : out->data + start, entry->len,
              identity ^ entry->index),
        8);
}

/* Checks magic, length, checksum and identity of a header. */
static Status
check_header(const Buf *file, const char *name, const char *magic,
             size_t bytes, uint64_t identity, ErrCtx *err)
{
    if (file->len >= MAGIC_BYTES &&
        memcmp(file->data, magic, MAGIC_BYTES) != 0) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset 0: not a file of this kind or version",
                       name);
    }
    if (file->len < bytes) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset %zu: the file ends inside its header", name,
                       file->len);
    }
    if (get(file->data + bytes - 8, 8) != XXH64(file->data, bytes - 8, 0)) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset 0: the checksum of the header is wrong",
                       name);
    }
    if (identity != 0 && get(file->data + MAGIC_BYTES, 8) != identity) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset 8: the file belongs to another folder",
                       name);
    }
    return ST_OK;
}

static Status
check_length(const Buf *file, const char *name, uint64_t bytes, ErrCtx *err)
{
    if (file->len < bytes) {
        return Err_Set(err, ST_CORRUPT, "%s: offset %zu: the file is cut off",
                       name, file->len);
    }
    if (file->len > bytes) {
        return Err_Set(err, ST_CORRUPT,
                       "%s: offset %llu: unknown bytes after the end", name,
                       (unsigned long long)bytes);
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
    *identity = get(file->data + 8, 8);
    *cluster = get(file->data + 16, 8);
    if (*identity == 0) {
        return Err_Set(err, ST_CORRUPT, "identity: offset 8: identity is 0");
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
    vote->term = get(file->data + 16, 8);
    vote->vote = get(file->data + 24, 8);
    vote->floor = get(file->data + 32, 8);
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
    uint64_t list_len;
    uint64_t len;

    if (status != ST_OK) {
        return status;
    }
    *index = get(file->data + 16, 8);
    *term = get(file->data + 24, 8);
    list_len = get(file->data + 32, 8);
    len = get(file->data + 40, 8);
    if (list_len > UINT32_MAX || len > UINT64_MAX / 4) {
        return Err_Set(err, ST_CORRUPT,
                       "snapshot: offset 32: impossible length");
    }
    status = check_length(file, "snapshot", start + list_len + len + 8, err);
    if (status != ST_OK) {
        return status;
    }
    if (get(file->data + file->len - 8, 8) !=
        XXH64(file->data + start, file->len - start - 8, *index)) {
        return Err_Set(err, ST_CORRUPT,
                       "snapshot: offset %zu: the checksum of the content is "
                       "wrong",
                       start);
    }
    if (RaftMembers_Decode(file->data + start, (size_t)list_len, members,
                           err) != ST_OK ||
        RaftMembers_Voters(members) == 0) {
        return Err_Set(err, ST_CORRUPT,
                       "snapshot: offset %zu: malformed member list", start);
    }
    *data_offset = start + (size_t)list_len;
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
        *base_index = get(file->data + 16, 8);
        *base_term = get(file->data + 24, 8);
    }
    return status;
}

/* Returns the length of the file without the zero bytes at its end that stand
 * for data never written: a run that a checksum cannot hold, or one that fills
 * the last disk sector, since a disk writes a sector whole or not at all. */
static size_t
written_length(const Buf *file, size_t offset)
{
    size_t len = file->len;
    size_t sector;

    while (len > offset && file->data[len - 1] == 0) {
        len--;
    }
    if (len == file->len) {
        return len;
    }
    sector = (file->len - 1) / SECTOR_BYTES * SECTOR_BYTES;
    if (file->len - len >= WAL_SUM_BYTES || len == offset || sector >= len) {
        return len;
    }
    return file->len;
}

static Status
record_damage(size_t offset, const char *what, ErrCtx *err)
{
    return Err_Set(err, ST_CORRUPT, "log: offset %zu: %s", offset, what);
}

Status
WalFormat_ReadRecord(const Buf *file, uint64_t identity, size_t offset,
                     RaftEntry *entry, size_t *next, ErrCtx *err)
{
    const char *at = file->data + offset;
    size_t left = file->len - offset;
    size_t written;
    uint64_t len;
    uint64_t kind;

    if (left < WAL_RECORD_HEADER_BYTES ||
        get(at + 24, 8) != XXH64(at, 24, identity)) {
        written = written_length(file, offset) - offset;
        if (written < WAL_RECORD_HEADER_BYTES) {
            return ST_AGAIN;
        }
        return record_damage(offset,
                             "the checksum of a record header is wrong", err);
    }
    len = get(at, 4);
    kind = get(at + 4, 4);
    entry->index = get(at + 8, 8);
    entry->term = get(at + 16, 8);
    if (len > RAFT_MAX_COMMAND_BYTES || kind > RAFT_MEMBERS ||
        (kind == RAFT_NOOP) != (len == 0)) {
        return record_damage(offset, "a record has impossible fields", err);
    }
    entry->kind = (RaftEntryKind)kind;
    entry->data = at + WAL_RECORD_HEADER_BYTES;
    entry->len = (size_t)len;
    *next = offset + WAL_RECORD_HEADER_BYTES + (size_t)len + WAL_SUM_BYTES;
    if (*next > file->len) {
        return ST_AGAIN;
    }
    if (get(file->data + *next - 8, 8) !=
        XXH64(entry->data, entry->len, identity ^ entry->index)) {
        if (written_length(file, offset) < *next) {
            return ST_AGAIN;
        }
        return record_damage(offset, "the checksum of a record is wrong", err);
    }
    return ST_OK;
}
