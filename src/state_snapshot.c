#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include <xxhash.h>

#include "mppack.h"
#include "state_format.h"
#include "state_impl.h"

static void
pack_bool(msgpack_packer *packer, bool value)
{
    if (value) {
        msgpack_pack_true(packer);
    }
    else {
        msgpack_pack_false(packer);
    }
}

static void
pack_data_centre(msgpack_packer *packer, const void *row)
{
    const StateDataCentre *centre = row;

    msgpack_pack_array(packer, 4);
    MpPack_Text(packer, centre->name);
    MpPack_Text(packer, centre->keeper);
    msgpack_pack_uint64(packer, centre->keeper_identity);
    msgpack_pack_uint64(packer, centre->keeper_epoch);
}

/* Packs the fields of a row in the order of the field table. */
static void
pack_fields(msgpack_packer *packer, StateSection section, const void *row)
{
    const StateField *fields;
    size_t count;
    size_t i;

    fields = StatePath_GetFields(&count);
    for (i = 0; i < count; i++) {
        StateValue value;
        if (fields[i].section != section) {
            continue;
        }
        StateImpl_GetField(row, &fields[i], &value);
        if (fields[i].kind == STATE_VALUE_NAME) {
            MpPack_Text(packer, value.name);
        }
        else {
            msgpack_pack_int64(packer, value.number);
        }
    }
}

static void
pack_pool(msgpack_packer *packer, const void *row)
{
    const StatePool *pool = row;
    size_t i;

    msgpack_pack_array(packer, 7);
    MpPack_Text(packer, pool->name);
    msgpack_pack_uint64(packer, pool->number);
    pack_fields(packer, STATE_POOLS, pool);
    msgpack_pack_array(packer, pool->share_count);
    for (i = 0; i < pool->share_count; i++) {
        const StateShare *share = &pool->shares[i];
        msgpack_pack_array(packer, 5);
        MpPack_Text(packer, share->data_centre);
        msgpack_pack_uint64(packer, share->granted);
        msgpack_pack_uint64(packer, share->released);
        msgpack_pack_int64(packer, share->wanted);
        msgpack_pack_int64(packer, share->asked);
    }
}

static void
pack_service(msgpack_packer *packer, const void *row)
{
    msgpack_pack_array(packer, 6);
    MpPack_Text(packer, ((const StateService *)row)->name);
    pack_fields(packer, STATE_SERVICES, row);
}

static void
pack_team(msgpack_packer *packer, const void *row)
{
    msgpack_pack_array(packer, 2);
    MpPack_Text(packer, ((const StateTeam *)row)->name);
    pack_fields(packer, STATE_TEAMS, row);
}

static void
pack_limit(msgpack_packer *packer, const void *row)
{
    msgpack_pack_array(packer, 2);
    MpPack_Text(packer, ((const StateLimit *)row)->name);
    msgpack_pack_int64(packer, ((const StateLimit *)row)->value);
}

static void
pack_member(msgpack_packer *packer, const void *row)
{
    const StateMember *member = row;

    msgpack_pack_array(packer, 6);
    MpPack_Text(packer, member->name);
    MpPack_Text(packer, member->data_centre);
    msgpack_pack_uint64(packer, member->identity);
    msgpack_pack_uint64(packer, member->incarnation);
    pack_bool(packer, member->disk);
    pack_bool(packer, member->destroyed);
}

static void
pack_move(msgpack_packer *packer, const StateMove *move)
{
    size_t i;

    if (move == NULL) {
        msgpack_pack_array(packer, 0);
        return;
    }
    msgpack_pack_array(packer, 3);
    MpPack_Text(packer, move->to);
    msgpack_pack_uint64(packer, move->number);
    msgpack_pack_array(packer, move->ack_count);
    for (i = 0; i < move->ack_count; i++) {
        msgpack_pack_array(packer, 3);
        MpPack_Text(packer, move->acks[i].member);
        msgpack_pack_uint64(packer, move->acks[i].incarnation);
        pack_bool(packer, move->acks[i].acked);
    }
}

static void
pack_vm(msgpack_packer *packer, const void *row)
{
    const StateVm *vm = row;

    msgpack_pack_array(packer, 8);
    MpPack_Text(packer, vm->name);
    MpPack_Text(packer, vm->rack);
    MpPack_Text(packer, vm->data_centre);
    MpPack_Text(packer, vm->pool);
    msgpack_pack_uint64(packer, vm->epoch);
    msgpack_pack_uint64(packer, vm->changed);
    msgpack_pack_uint64(packer, vm->assignment);
    pack_move(packer, vm->move);
}

static void
pack_wave(msgpack_packer *packer, const void *row)
{
    const StateWave *wave = row;
    size_t i;

    msgpack_pack_array(packer, 8);
    MpPack_Text(packer, wave->name);
    MpPack_Text(packer, wave->operator_name);
    msgpack_pack_uint64(packer, wave->number);
    msgpack_pack_int64(packer, wave->deadline_ms);
    msgpack_pack_uint64(packer, wave->state);
    MpPack_Text(packer, wave->reason);
    msgpack_pack_uint64(packer, wave->failed_at_resume);
    msgpack_pack_array(packer, wave->vm_count);
    for (i = 0; i < wave->vm_count; i++) {
        msgpack_pack_array(packer, 2);
        MpPack_Text(packer, wave->vms[i].name);
        msgpack_pack_uint64(packer, wave->vms[i].step);
    }
}

static void
pack_rows(msgpack_packer *packer, const StrMap *map,
          void (*pack)(msgpack_packer *, const void *))
{
    void **rows = StrMap_Sorted(map);
    size_t i;

    msgpack_pack_array(packer, StrMap_Count(map));
    for (i = 0; i < StrMap_Count(map); i++) {
        pack(packer, rows[i]);
    }
    free(rows);
}

static void
pack_path(msgpack_packer *packer, const StatePathRow *row)
{
    msgpack_pack_array(packer, 2);
    MpPack_Text(packer, row->path);
    msgpack_pack_uint64(packer, row->version);
}

/* Packs the set paths ordered by name, then the deleted paths from the oldest
 * to the newest deletion. */
static void
pack_paths(msgpack_packer *packer, const State *state)
{
    void **rows = StrMap_Sorted(state->paths);
    const StatePathRow *row;
    size_t i;

    msgpack_pack_array(packer,
                       StrMap_Count(state->paths) - state->deletion_count);
    for (i = 0; i < StrMap_Count(state->paths); i++) {
        row = rows[i];
        if (!row->deleted) {
            pack_path(packer, row);
        }
    }
    free(rows);
    msgpack_pack_array(packer, state->deletion_count);
    for (row = state->oldest_deletion; row != NULL; row = row->newer) {
        pack_path(packer, row);
    }
}

static void
pack_answers(msgpack_packer *packer, const State *state)
{
    size_t i;

    msgpack_pack_array(packer, state->answer_ring_count);
    for (i = 0; i < state->answer_ring_count; i++) {
        const StateAnswer *answer =
            state->answer_ring[(state->answer_ring_start + i) %
                               STATE_MAX_ANSWERS];
        msgpack_pack_array(packer, 3);
        MpPack_Text(packer, answer->key);
        msgpack_pack_uint64(packer, answer->digest);
        msgpack_pack_str(packer, answer->len);
        msgpack_pack_str_body(packer, answer->bytes, answer->len);
    }
}

void
State_AppendSnapshot(const State *state, Buf *out)
{
    size_t begin = out->len;
    unsigned char checksum[STATE_FORMAT_CHECKSUM_BYTES];
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, STATE_FORMAT_ITEM_COUNT);
    MpPack_Text(&packer, STATE_FORMAT_MAGIC);
    msgpack_pack_uint64(&packer, STATE_FORMAT_VERSION);
    msgpack_pack_uint64(&packer, state->version);
    msgpack_pack_uint64(&packer, state->applied);
    msgpack_pack_uint64(&packer, state->deletion_floor);
    pack_rows(&packer, state->data_centres, pack_data_centre);
    pack_rows(&packer, state->pools, pack_pool);
    pack_rows(&packer, state->services, pack_service);
    pack_rows(&packer, state->teams, pack_team);
    pack_rows(&packer, state->limits, pack_limit);
    pack_rows(&packer, state->members, pack_member);
    pack_rows(&packer, state->vms, pack_vm);
    pack_rows(&packer, state->waves, pack_wave);
    pack_paths(&packer, state);
    pack_answers(&packer, state);
    StateFormat_WriteChecksum(out->data + begin, out->len - begin, checksum);
    Buf_Append(out, checksum, sizeof(checksum));
}

void
StateFormat_WriteChecksum(const char *bytes, size_t len, unsigned char *out)
{
    uint64_t hash = XXH64(bytes, len, 0);
    int i;

    for (i = STATE_FORMAT_CHECKSUM_BYTES - 1; i >= 0; i--) {
        out[i] = (unsigned char)(hash & 0xff);
        hash >>= 8;
    }
}
