#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "escrow_impl.h"
#include "mppack.h"
#include "mpread.h"
#include "state_format.h"

#define RECORD_MAGIC "coltsfoot-escrow"
#define RECORD_FORMAT 1
#define RECORD_ITEMS 10
#define RECORD_MAX_ROWS 65536

static void
pack_pools(msgpack_packer *packer, const Escrow *escrow)
{
    void **rows = StrMap_Sorted(escrow->pools);
    size_t i;

    msgpack_pack_array(packer, StrMap_Count(escrow->pools));
    for (i = 0; i < StrMap_Count(escrow->pools); i++) {
        const EscrowPool *pool = rows[i];
        msgpack_pack_array(packer, 3);
        MpPack_Text(packer, pool->name);
        msgpack_pack_uint64(packer, pool->number);
        msgpack_pack_uint64(packer, pool->released);
    }
    free(rows);
}

static void
pack_grants(msgpack_packer *packer, const Escrow *escrow)
{
    void **rows = StrMap_Sorted(escrow->grants);
    size_t i;

    msgpack_pack_array(packer, StrMap_Count(escrow->grants));
    for (i = 0; i < StrMap_Count(escrow->grants); i++) {
        const EscrowGrant *grant = rows[i];
        msgpack_pack_array(packer, 7);
        MpPack_Text(packer, grant->vm);
        MpPack_Text(packer, grant->pool);
        MpPack_Text(packer, grant->wave);
        msgpack_pack_uint64(packer, grant->purpose);
        msgpack_pack_uint64(packer, grant->step);
        msgpack_pack_uint64(packer, grant->epoch);
        msgpack_pack_uint64(packer, grant->incarnation);
    }
    free(rows);
}

static void
pack_outcomes(msgpack_packer *packer, const Escrow *escrow)
{
    void **rows = StrMap_Sorted(escrow->outcomes);
    size_t i;

    msgpack_pack_array(packer, StrMap_Count(escrow->outcomes));
    for (i = 0; i < StrMap_Count(escrow->outcomes); i++) {
        const EscrowOutcome *outcome = rows[i];
        msgpack_pack_array(packer, 3);
        MpPack_Text(packer, outcome->wave);
        MpPack_Text(packer, outcome->vm);
        msgpack_pack_uint64(packer, outcome->step);
    }
    free(rows);
}

uint64_t
Escrow_EncodeRecord(const Escrow *escrow, Buf *out)
{
    unsigned char checksum[STATE_FORMAT_CHECKSUM_BYTES];
    size_t begin = out->len;
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, RECORD_ITEMS);
    MpPack_Text(&packer, RECORD_MAGIC);
    msgpack_pack_uint64(&packer, RECORD_FORMAT);
    MpPack_Text(&packer, escrow->data_centre);
    msgpack_pack_uint64(&packer, escrow->identity);
    msgpack_pack_uint64(&packer, escrow->epoch);
    msgpack_pack_uint64(&packer, escrow->applied);
    msgpack_pack_uint64(&packer, escrow->revision);
    pack_pools(&packer, escrow);
    pack_grants(&packer, escrow);
    pack_outcomes(&packer, escrow);
    StateFormat_WriteChecksum(out->data + begin, out->len - begin, checksum);
    Buf_Append(out, checksum, sizeof(checksum));
    return escrow->revision;
}

static bool
read_pool(Escrow *escrow, MpRead *reader)
{
    char name[STATE_NAME_BYTES];
    uint64_t number;
    uint64_t released;

    if (!MpRead_ArrayOf(reader, 3) ||
        !StatePath_ReadName(reader, name, false) ||
        !MpRead_U64(reader, &number) || !MpRead_U64(reader, &released) ||
        StrMap_Get(escrow->pools, name) != NULL) {
        return false;
    }
    EscrowImpl_FindOrAddPool(escrow, name, number)->released = released;
    return true;
}

static bool
read_grant(Escrow *escrow, MpRead *reader)
{
    EscrowGrant row = {.revision = 0};
    EscrowGrant *grant;
    uint64_t purpose;
    uint64_t step;

    if (!MpRead_ArrayOf(reader, 7) ||
        !StatePath_ReadName(reader, row.vm, false) ||
        !StatePath_ReadName(reader, row.pool, false) ||
        !StatePath_ReadName(reader, row.wave, true) ||
        !MpRead_U64(reader, &purpose) || purpose > ESCROW_MOVE ||
        !MpRead_U64(reader, &step) || step > ESCROW_REBOOTED ||
        !MpRead_U64(reader, &row.epoch) ||
        !MpRead_U64(reader, &row.incarnation) ||
        StrMap_Get(escrow->grants, row.vm) != NULL ||
        StrMap_Get(escrow->pools, row.pool) == NULL) {
        return false;
    }
    grant = EscrowImpl_AddGrant(escrow, row.vm, row.pool, row.wave,
                                (EscrowPurpose)purpose);
    grant->step = (EscrowStep)step;
    grant->epoch = row.epoch;
    grant->incarnation = row.incarnation;
    grant->revision = 0;
    return true;
}

static bool
read_outcome(Escrow *escrow, MpRead *reader)
{
    char wave[STATE_NAME_BYTES];
    char vm[STATE_NAME_BYTES];
    uint64_t step;

    if (!MpRead_ArrayOf(reader, 3) ||
        !StatePath_ReadName(reader, wave, false) ||
        !StatePath_ReadName(reader, vm, false) || !MpRead_U64(reader, &step) ||
        step < STATE_STEP_DONE || step > STATE_STEP_FAILED) {
        return false;
    }
    EscrowImpl_AddOutcome(escrow, wave, vm, (StateStep)step)->revision = 0;
    return true;
}

static bool
read_rows(Escrow *escrow, MpRead *reader, bool (*read)(Escrow *, MpRead *))
{
    uint32_t count;
    uint32_t i;

    if (!MpRead_Array(reader, &count) || count > RECORD_MAX_ROWS) {
        return false;
    }
    for (i = 0; i < count; i++) {
        if (!read(escrow, reader)) {
            return false;
        }
    }
    return true;
}

/* Reads a record into an empty escrow. Returns false if it is damaged. */
static bool
read_record(Escrow *escrow, MpRead *reader, char *centre, uint64_t *identity)
{
    char magic[sizeof(RECORD_MAGIC)];
    uint64_t format;
    uint64_t revision;

    if (!MpRead_ArrayOf(reader, RECORD_ITEMS) ||
        !MpRead_Text(reader, magic, sizeof(magic)) ||
        strcmp(magic, RECORD_MAGIC) != 0 || !MpRead_U64(reader, &format) ||
        format != RECORD_FORMAT ||
        !StatePath_ReadName(reader, centre, false) ||
        !MpRead_U64(reader, identity) || !MpRead_U64(reader, &escrow->epoch) ||
        !MpRead_U64(reader, &escrow->applied) ||
        !MpRead_U64(reader, &revision) ||
        !read_rows(escrow, reader, read_pool) ||
        !read_rows(escrow, reader, read_grant) ||
        !read_rows(escrow, reader, read_outcome) || !MpRead_Done(reader)) {
        return false;
    }
    escrow->revision = revision;
    escrow->saved_revision = revision;
    return true;
}

Status
Escrow_Restore(Escrow *escrow, const char *bytes, size_t len, ErrCtx *err)
{
    unsigned char checksum[STATE_FORMAT_CHECKSUM_BYTES];
    char centre[STATE_NAME_BYTES] = "";
    uint64_t identity = 0;
    Escrow *loaded;
    MpRead reader;
    size_t body;
    Status status = ST_OK;

    if (len <= sizeof(checksum)) {
        return Err_Set(err, ST_CORRUPT, "escrow record: too short (%zu bytes)",
                       len);
    }
    body = len - sizeof(checksum);
    StateFormat_WriteChecksum(bytes, body, checksum);
    if (memcmp(checksum, bytes + body, sizeof(checksum)) != 0) {
        return Err_Set(err, ST_CORRUPT,
                       "escrow record: the checksum of %zu bytes does not "
                       "match",
                       body);
    }
    loaded = Escrow_New(escrow->member, escrow->data_centre, escrow->identity);
    MpRead_Init(&reader, bytes, body);
    if (!read_record(loaded, &reader, centre, &identity)) {
        status = Err_Set(err, ST_CORRUPT, "escrow record: damaged at byte %zu",
                         MpRead_Offset(&reader));
    }
    else if (identity != escrow->identity ||
             strcmp(centre, escrow->data_centre) != 0) {
        status = Err_Set(
            err, ST_STALE,
            "escrow record: belongs to identity %llx in data centre %s",
            (unsigned long long)identity, centre);
    }
    else {
        Escrow previous = *escrow;
        *escrow = *loaded;
        *loaded = previous;
    }
    Escrow_Free(loaded);
    return status;
}
