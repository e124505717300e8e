#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "mpread.h"
#include "state_format.h"
#include "state_impl.h"

typedef struct Loader {
    State *state;
    MpRead reader;
} Loader;

typedef bool (*RowLoader)(Loader *);

/* Reads the array header of a row, which must have this many items. */
static bool
read_row_header(Loader *loader, uint32_t items)
{
    uint32_t count;

    return MpRead_Array(&loader->reader, &count) && count == items;
}

static bool
load_name(Loader *loader, char *out, bool optional)
{
    return MpRead_Text(&loader->reader, out, STATE_NAME_BYTES) &&
           ((optional && out[0] == '\0') ||
            StatePath_IsName(out, strlen(out)));
}

static bool
load_u64(Loader *loader, uint64_t *value)
{
    return MpRead_U64(&loader->reader, value);
}

/* Loads an integer. Returns false if it is outside min to max. */
static bool
load_number(Loader *loader, int64_t *value, int64_t min, int64_t max)
{
    return MpRead_I64(&loader->reader, value) && *value >= min &&
           *value <= max;
}

static bool
load_rows(Loader *loader, uint32_t max, RowLoader load)
{
    uint32_t count;
    uint32_t i;

    if (!MpRead_Array(&loader->reader, &count) || count > max) {
        return false;
    }
    for (i = 0; i < count; i++) {
        if (!load(loader)) {
            return false;
        }
    }
    return true;
}

static bool
load_data_centre(Loader *loader)
{
    char name[STATE_NAME_BYTES];
    StateDataCentre *centre;

    if (!read_row_header(loader, 4) || !load_name(loader, name, false) ||
        StrMap_Get(loader->state->data_centres, name) != NULL) {
        return false;
    }
    centre = StateImpl_AddDataCentre(loader->state, name);
    return load_name(loader, centre->keeper, true) &&
           load_u64(loader, &centre->keeper_identity) &&
           load_u64(loader, &centre->keeper_epoch);
}

static bool
load_fields(Loader *loader, StateSection section, void *row)
{
    const StateField *fields;
    size_t count;
    size_t i;

    fields = StatePath_GetFields(&count);
    for (i = 0; i < count; i++) {
        const StateField *field = &fields[i];
        StateValue value = {0, ""};
        bool ok;
        if (field->section != section) {
            continue;
        }
        if (field->kind == STATE_VALUE_NAME) {
            ok = load_name(loader, value.name, true);
        }
        else {
            ok = load_number(loader, &value.number, field->min, field->max);
        }
        if (!ok) {
            return false;
        }
        StateImpl_SetField(row, field, &value);
    }
    return true;
}

/* Reads the header and name of a row and adds the row to a section. Returns
 * NULL if a row of the name exists or the input is malformed. */
static void *
load_new_row(Loader *loader, StateSection section, uint32_t items)
{
    char name[STATE_NAME_BYTES];

    if (!read_row_header(loader, items) || !load_name(loader, name, false) ||
        StrMap_Get(StateImpl_GetSection(loader->state, section), name) !=
            NULL) {
        return NULL;
    }
    return StateImpl_AddRow(loader->state, section, name);
}

static bool
load_shares(Loader *loader, StatePool *pool)
{
    uint32_t count;
    uint32_t i;

    if (!MpRead_Array(&loader->reader, &count) || count > STATE_MAX_ROWS) {
        return false;
    }
    for (i = 0; i < count; i++) {
        char name[STATE_NAME_BYTES];
        StateShare *share;
        if (!read_row_header(loader, 5) || !load_name(loader, name, false) ||
            StrMap_Get(loader->state->data_centres, name) == NULL ||
            /* Shares out of order are rejected before StateImpl_AddShare,
             * whose search would take quadratic time. */
            (i > 0 && strcmp(pool->shares[i - 1].data_centre, name) >= 0)) {
            return false;
        }
        share = StateImpl_AddShare(pool, name);
        if (!load_u64(loader, &share->granted) ||
            !load_u64(loader, &share->released) ||
            share->released > share->granted ||
            share->granted - share->released > STATE_MAX_SHARE_UNITS ||
            !load_number(loader, &share->wanted, 0, STATE_MAX_SHARE_UNITS) ||
            !load_number(loader, &share->asked, 0, STATE_MAX_SHARE_UNITS)) {
            return false;
        }
    }
    return true;
}

static bool
load_pool(Loader *loader)
{
    StatePool *pool = load_new_row(loader, STATE_POOLS, 7);

    return pool != NULL && load_u64(loader, &pool->number) &&
           load_fields(loader, STATE_POOLS, pool) && load_shares(loader, pool);
}

static bool
load_service(Loader *loader)
{
    StateService *row = load_new_row(loader, STATE_SERVICES, 6);

    return row != NULL && load_fields(loader, STATE_SERVICES, row) &&
           (row->pool[0] == '\0' ||
            StrMap_Get(loader->state->pools, row->pool) != NULL);
}

static bool
load_team(Loader *loader)
{
    StateTeam *row = load_new_row(loader, STATE_TEAMS, 2);

    return row != NULL && load_fields(loader, STATE_TEAMS, row);
}

static bool
load_limit(Loader *loader)
{
    StateLimit *row = load_new_row(loader, STATE_LIMITS, 2);

    return row != NULL &&
           load_number(loader, &row->value, -INT64_MAX, INT64_MAX);
}

static bool
load_member(Loader *loader)
{
    StateMember member = {.identity = 0};
    StateMember *row;
    StateDataCentre *centre;
    char centre_name[STATE_NAME_BYTES];

    if (!read_row_header(loader, 6) ||
        !load_name(loader, member.name, false) ||
        StrMap_Get(loader->state->members, member.name) != NULL ||
        !load_name(loader, centre_name, false)) {
        return false;
    }
    centre = StrMap_Get(loader->state->data_centres, centre_name);
    if (centre == NULL || !load_u64(loader, &member.identity) ||
        !load_u64(loader, &member.incarnation) ||
        !MpRead_Bool(&loader->reader, &member.disk) ||
        !MpRead_Bool(&loader->reader, &member.destroyed)) {
        return false;
    }
    row = Mem_New(1, sizeof(*row));
    *row = member;
    StateImpl_AttachMember(loader->state, row, centre);
    return true;
}

static bool
load_acks(Loader *loader, StateMove *move)
{
    uint32_t count;
    size_t i;

    if (!MpRead_Array(&loader->reader, &count) || count > STATE_MAX_ROWS) {
        return false;
    }
    if (count == 0) {
        return true; /* the close of the VM has not been granted */
    }
    move->acks = Mem_New(count, sizeof(*move->acks));
    move->ack_count = count;
    for (i = 0; i < count; i++) {
        StateAck *ack = &move->acks[i];
        if (!read_row_header(loader, 3) ||
            !load_name(loader, ack->member, false) ||
            !load_u64(loader, &ack->incarnation) ||
            !MpRead_Bool(&loader->reader, &ack->acked) ||
            (i > 0 && strcmp(ack[-1].member, ack->member) >= 0)) {
            return false;
        }
        move->missing += !ack->acked;
    }
    return true;
}

static bool
load_move(Loader *loader, StateVm *vm)
{
    char name[STATE_NAME_BYTES];
    uint32_t count;
    StatePool *to;
    StatePool *from = StrMap_Get(loader->state->pools, vm->pool);

    if (!MpRead_Array(&loader->reader, &count) || (count != 0 && count != 3)) {
        return false;
    }
    if (count == 0) {
        return vm->assignment == STATE_OPEN;
    }
    if (!load_name(loader, name, false)) {
        return false;
    }
    to = StrMap_Get(loader->state->pools, name);
    if (to == NULL || to == from) {
        return false;
    }
    vm->move = Mem_New(1, sizeof(*vm->move));
    vm->move->to = to->name;
    StrMap_Put(loader->state->moves, vm->name, vm);
    from->moves_out++;
    to->moves_in++;
    if (!load_u64(loader, &vm->move->number) || !load_acks(loader, vm->move)) {
        return false;
    }
    switch (vm->assignment) {
    case STATE_OPEN:
        return vm->move->ack_count == 0;
    case STATE_CLOSING:
        return vm->move->missing > 0;
    default:
        return vm->move->missing == 0;
    }
}

static bool
load_vm(Loader *loader)
{
    char centre_name[STATE_NAME_BYTES];
    char pool_name[STATE_NAME_BYTES];
    StateVm *vm = Mem_New(1, sizeof(*vm));
    const StateDataCentre *centre;
    StatePool *pool;
    StateShare *share;
    int64_t assignment;

    if (!read_row_header(loader, 8) || !load_name(loader, vm->name, false) ||
        StrMap_Get(loader->state->vms, vm->name) != NULL ||
        !load_name(loader, vm->rack, false) ||
        !load_name(loader, centre_name, false) ||
        !load_name(loader, pool_name, false) ||
        !load_u64(loader, &vm->epoch) || !load_u64(loader, &vm->changed) ||
        !load_number(loader, &assignment, STATE_OPEN, STATE_DRAINING)) {
        free(vm);
        return false;
    }
    centre = StrMap_Get(loader->state->data_centres, centre_name);
    pool = StrMap_Get(loader->state->pools, pool_name);
    share = pool != NULL ? StateImpl_FindShare(pool, centre_name) : NULL;
    if (centre == NULL || share == NULL) {
        free(vm);
        return false;
    }
    vm->data_centre = centre->name;
    vm->pool = pool->name;
    vm->assignment = (StateAssignment)assignment;
    pool->vms++;
    share->vms++;
    StrMap_Put(loader->state->vms, vm->name, vm);
    return load_move(loader, vm);
}

static bool
load_wave_vms(Loader *loader, StateWave *wave)
{
    uint32_t count;
    size_t i;

    if (!MpRead_Array(&loader->reader, &count) || count == 0 ||
        count > STATE_MAX_WAVE_VMS) {
        return false;
    }
    wave->vms = Mem_New(count, sizeof(*wave->vms));
    wave->vm_count = count;
    for (i = 0; i < count; i++) {
        StateWaveVm *vm = &wave->vms[i];
        int64_t step;
        if (!read_row_header(loader, 2) ||
            !load_name(loader, vm->name, false) ||
            !load_number(loader, &step, 0, STATE_STEP_COUNT - 1) ||
            (i > 0 && strcmp(vm[-1].name, vm->name) >= 0)) {
            return false;
        }
        vm->step = (StateStep)step;
        wave->steps[step]++;
    }
    return true;
}

static bool
load_wave(Loader *loader)
{
    StateWave *wave = Mem_New(1, sizeof(*wave));
    int64_t state;

    if (!read_row_header(loader, 8) || !load_name(loader, wave->name, false) ||
        StrMap_Get(loader->state->waves, wave->name) != NULL) {
        free(wave);
        return false;
    }
    StrMap_Put(loader->state->waves, wave->name, wave);
    if (!load_name(loader, wave->operator_name, false) ||
        !load_u64(loader, &wave->number) ||
        !MpRead_I64(&loader->reader, &wave->deadline_ms) ||
        !load_number(loader, &state, 0, STATE_WAVE_DONE) ||
        !MpRead_Text(&loader->reader, wave->reason, sizeof(wave->reason)) ||
        !load_u64(loader, &wave->failed_at_resume)) {
        return false;
    }
    wave->state = (StateWaveState)state;
    return load_wave_vms(loader, wave);
}

/* Loads a path and its version. Returns false if the path is invalid or a
 * duplicate, or if the version is newer than that of the state. */
static bool
load_path(Loader *loader, char *path, uint64_t *version)
{
    char reason[STATE_REASON_BYTES];
    StatePath parsed;

    return read_row_header(loader, 2) &&
           MpRead_Text(&loader->reader, path, STATE_PATH_BYTES) &&
           StatePath_Parse(path, false, &parsed, reason) &&
           parsed.vm[0] == '\0' &&
           StrMap_Get(loader->state->paths, path) == NULL &&
           load_u64(loader, version) && *version <= loader->state->version;
}

static bool
load_set_path(Loader *loader)
{
    char path[STATE_PATH_BYTES];
    uint64_t version;

    if (!load_path(loader, path, &version)) {
        return false;
    }
    StateImpl_MarkPathSet(loader->state, path, version);
    return true;
}

static bool
load_deleted_path(Loader *loader)
{
    char path[STATE_PATH_BYTES];
    uint64_t version;

    if (!load_path(loader, path, &version)) {
        return false;
    }
    StateImpl_MarkPathDeleted(loader->state, path, version);
    return true;
}

static bool
load_answer(Loader *loader)
{
    char key[STATE_ANSWER_KEY_BYTES];
    const char *slash;
    const char *bytes;
    uint64_t digest;
    size_t len;

    if (!read_row_header(loader, 3) ||
        !MpRead_Text(&loader->reader, key, sizeof(key)) ||
        !load_u64(loader, &digest) ||
        !MpRead_Str(&loader->reader, &bytes, &len)) {
        return false;
    }
    slash = strchr(key, '/');
    if (slash == NULL || !StatePath_IsName(key, (size_t)(slash - key)) ||
        !StatePath_IsName(slash + 1, strlen(slash + 1)) ||
        StrMap_Get(loader->state->answers, key) != NULL) {
        return false;
    }
    StateImpl_AddAnswer(loader->state, key, digest, bytes, len);
    return true;
}

static bool
load_header(Loader *loader, Status *status)
{
    char magic[sizeof(STATE_FORMAT_MAGIC)];
    uint64_t format;

    *status = ST_CORRUPT;
    if (!read_row_header(loader, STATE_FORMAT_ITEM_COUNT) ||
        !MpRead_Text(&loader->reader, magic, sizeof(magic)) ||
        strcmp(magic, STATE_FORMAT_MAGIC) != 0 || !load_u64(loader, &format)) {
        return false;
    }
    if (format != STATE_FORMAT_VERSION) {
        *status = ST_UNSUPPORTED;
        return false;
    }
    return load_u64(loader, &loader->state->version) &&
           load_u64(loader, &loader->state->applied) &&
           load_u64(loader, &loader->state->deletion_floor);
}

/* Loads the whole snapshot. Returns the name of the first damaged part and
 * sets *status, or returns NULL on success. */
static const char *
load_parts(Loader *loader, Status *status)
{
    static const struct {
        const char *name;
        uint32_t max;
        RowLoader load;
    } parts[] = {
        {"data centres", STATE_MAX_DATA_CENTRES, load_data_centre},
        {"pools", STATE_MAX_ROWS, load_pool},
        {"services", STATE_MAX_ROWS, load_service},
        {"teams", STATE_MAX_ROWS, load_team},
        {"limits", STATE_MAX_ROWS, load_limit},
        {"members", STATE_MAX_ROWS, load_member},
        {"VMs", STATE_MAX_VMS, load_vm},
        {"waves", STATE_MAX_WAVES, load_wave},
        {"set paths", UINT32_MAX, load_set_path},
        {"deleted paths", STATE_MAX_DELETED_PATHS, load_deleted_path},
        {"answers", STATE_MAX_ANSWERS, load_answer},
    };
    size_t i;

    if (!load_header(loader, status)) {
        return "head";
    }
    for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
        if (!load_rows(loader, parts[i].max, parts[i].load)) {
            return parts[i].name;
        }
    }
    return MpRead_Done(&loader->reader) ? NULL : "end";
}

/* Returns whether the snapshot of the loaded state has the same bytes, so that
 * a snapshot in another order or encoding is rejected. */
static bool
is_canonical(const State *state, const char *bytes, size_t len)
{
    Buf repacked = BUF_INIT;
    bool same;

    State_AppendSnapshot(state, &repacked);
    same = repacked.len == len && memcmp(repacked.data, bytes, len) == 0;
    Buf_Free(&repacked);
    return same;
}

static Status
load_state(Loader *loader, const char *bytes, size_t len, ErrCtx *err)
{
    unsigned char checksum[STATE_FORMAT_CHECKSUM_BYTES];
    const char *damaged;
    Status status = ST_CORRUPT;
    size_t body;

    if (len <= sizeof(checksum)) {
        return Err_Set(err, ST_CORRUPT, "snapshot: only %zu bytes", len);
    }
    body = len - sizeof(checksum);
    StateFormat_WriteChecksum(bytes, body, checksum);
    if (memcmp(checksum, bytes + body, sizeof(checksum)) != 0) {
        return Err_Set(err, ST_CORRUPT,
                       "snapshot: the checksum of %zu bytes does not match",
                       body);
    }
    MpRead_Init(&loader->reader, bytes, body);
    damaged = load_parts(loader, &status);
    if (damaged != NULL) {
        return Err_Set(err, status, "snapshot: %s: %s at byte %zu", damaged,
                       status == ST_UNSUPPORTED ? "unknown format" : "damaged",
                       MpRead_Offset(&loader->reader));
    }
    if (!is_canonical(loader->state, bytes, len)) {
        return Err_Set(err, ST_CORRUPT, "snapshot: rows out of order");
    }
    return ST_OK;
}

Status
State_Restore(State *state, const char *bytes, size_t len, ErrCtx *err)
{
    Loader loader = {.state = State_New()};
    Status status;

    if (loader.state == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "snapshot: no memory");
    }
    status = load_state(&loader, bytes, len, err);
    if (status == ST_OK) {
        State previous = *state;
        *state = *loader.state;
        *loader.state = previous;
    }
    State_Free(loader.state);
    return status;
}
