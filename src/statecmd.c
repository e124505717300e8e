#include "statecmd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "mem.h"
#include "mppack.h"
#include "mpread.h"

typedef enum ItemType {
    ITEM_NAME,
    ITEM_OPTIONAL_NAME, /* may be empty */
    ITEM_REASON,
    ITEM_U64,
    ITEM_I64,
    ITEM_BOOL,
    ITEM_EDITS,
    ITEM_VMS
} ItemType;

typedef struct Item {
    ItemType type;
    size_t offset;
} Item;

#define MAX_COMMAND_ITEMS 6

typedef struct CommandLayout {
    size_t count;
    Item items[MAX_COMMAND_ITEMS];
} CommandLayout;

#define ITEM_OFFSET(field) offsetof(StateCmd, field)

/* The items of each command after its kind, indexed by kind. */
static const CommandLayout layouts[] = {
    [STATE_CMD_PATCH] = {4,
                         {{ITEM_U64, ITEM_OFFSET(base)},
                          {ITEM_NAME, ITEM_OFFSET(operator_name)},
                          {ITEM_NAME, ITEM_OFFSET(request_id)},
                          {ITEM_EDITS, 0}}},
    [STATE_CMD_REGISTER_VM] = {4,
                               {{ITEM_NAME, ITEM_OFFSET(name)},
                                {ITEM_NAME, ITEM_OFFSET(data_centre)},
                                {ITEM_NAME, ITEM_OFFSET(rack)},
                                {ITEM_NAME, ITEM_OFFSET(pool)}}},
    [STATE_CMD_REMOVE_VM] = {3,
                             {{ITEM_NAME, ITEM_OFFSET(name)},
                              {ITEM_NAME, ITEM_OFFSET(operator_name)},
                              {ITEM_NAME, ITEM_OFFSET(request_id)}}},
    [STATE_CMD_REGISTER_MEMBER] = {5,
                                   {{ITEM_NAME, ITEM_OFFSET(name)},
                                    {ITEM_NAME, ITEM_OFFSET(data_centre)},
                                    {ITEM_U64, ITEM_OFFSET(identity)},
                                    {ITEM_U64, ITEM_OFFSET(incarnation)},
                                    {ITEM_BOOL, ITEM_OFFSET(disk)}}},
    [STATE_CMD_DECLARE_DESTROYED] = {3,
                                     {{ITEM_NAME, ITEM_OFFSET(name)},
                                      {ITEM_NAME, ITEM_OFFSET(operator_name)},
                                      {ITEM_NAME, ITEM_OFFSET(request_id)}}},
    [STATE_CMD_BEGIN_MOVE] = {3,
                              {{ITEM_NAME, ITEM_OFFSET(name)},
                               {ITEM_U64, ITEM_OFFSET(epoch)},
                               {ITEM_NAME, ITEM_OFFSET(pool)}}},
    [STATE_CMD_CLOSE_VM] = {3,
                            {{ITEM_NAME, ITEM_OFFSET(name)},
                             {ITEM_U64, ITEM_OFFSET(epoch)},
                             {ITEM_U64, ITEM_OFFSET(keeper_epoch)}}},
    [STATE_CMD_ACK_CLOSE] = {4,
                             {{ITEM_NAME, ITEM_OFFSET(name)},
                              {ITEM_U64, ITEM_OFFSET(epoch)},
                              {ITEM_NAME, ITEM_OFFSET(member)},
                              {ITEM_U64, ITEM_OFFSET(incarnation)}}},
    [STATE_CMD_VM_DRAINED] = {2,
                              {{ITEM_NAME, ITEM_OFFSET(name)},
                               {ITEM_U64, ITEM_OFFSET(epoch)}}},
    [STATE_CMD_CANCEL_MOVE] = {2,
                               {{ITEM_NAME, ITEM_OFFSET(name)},
                                {ITEM_U64, ITEM_OFFSET(epoch)}}},
    [STATE_CMD_RELEASE_SHARE] = {5,
                                 {{ITEM_NAME, ITEM_OFFSET(pool)},
                                  {ITEM_U64, ITEM_OFFSET(pool_number)},
                                  {ITEM_NAME, ITEM_OFFSET(data_centre)},
                                  {ITEM_U64, ITEM_OFFSET(keeper_epoch)},
                                  {ITEM_U64, ITEM_OFFSET(units)}}},
    [STATE_CMD_ASK_SHARE] = {5,
                             {{ITEM_NAME, ITEM_OFFSET(pool)},
                              {ITEM_U64, ITEM_OFFSET(pool_number)},
                              {ITEM_NAME, ITEM_OFFSET(data_centre)},
                              {ITEM_U64, ITEM_OFFSET(keeper_epoch)},
                              {ITEM_U64, ITEM_OFFSET(units)}}},
    [STATE_CMD_START_WAVE] = {5,
                              {{ITEM_NAME, ITEM_OFFSET(name)},
                               {ITEM_NAME, ITEM_OFFSET(operator_name)},
                               {ITEM_NAME, ITEM_OFFSET(request_id)},
                               {ITEM_I64, ITEM_OFFSET(deadline_ms)},
                               {ITEM_VMS, 0}}},
    [STATE_CMD_WAVE_STEP] = {3,
                             {{ITEM_NAME, ITEM_OFFSET(name)},
                              {ITEM_NAME, ITEM_OFFSET(member)},
                              {ITEM_U64, ITEM_OFFSET(code)}}},
    [STATE_CMD_WAVE_CONTROL] = {5,
                                {{ITEM_NAME, ITEM_OFFSET(name)},
                                 {ITEM_U64, ITEM_OFFSET(code)},
                                 {ITEM_OPTIONAL_NAME,
                                  ITEM_OFFSET(operator_name)},
                                 {ITEM_OPTIONAL_NAME, ITEM_OFFSET(request_id)},
                                 {ITEM_REASON, ITEM_OFFSET(reason)}}},
    [STATE_CMD_NOOP] = {0, {{ITEM_U64, 0}}},
};

#define COMMAND_KIND_END (sizeof(layouts) / sizeof(layouts[0]))

/* Packs each edit as [path, value], or as [path] if it deletes the path. */
static void
pack_edits(msgpack_packer *packer, const StateCmd *command)
{
    size_t i;

    msgpack_pack_array(packer, command->edit_count);
    for (i = 0; i < command->edit_count; i++) {
        const PatchEdit *edit = &command->edits[i];
        msgpack_pack_array(packer, edit->is_delete ? 1 : 2);
        MpPack_Text(packer, edit->path);
        if (!edit->is_delete) {
            MpPack_Text(packer, edit->value);
        }
    }
}

static void
pack_item(msgpack_packer *packer, const StateCmd *command, const Item *item)
{
    const char *item_data = (const char *)command + item->offset;
    size_t i;

    switch (item->type) {
    case ITEM_NAME:
    case ITEM_OPTIONAL_NAME:
    case ITEM_REASON:
        MpPack_Text(packer, item_data);
        break;
    case ITEM_U64:
        msgpack_pack_uint64(packer,
                            *(const uint64_t *)(const void *)item_data);
        break;
    case ITEM_I64:
        msgpack_pack_int64(packer, *(const int64_t *)(const void *)item_data);
        break;
    case ITEM_BOOL:
        *(const bool *)(const void *)item_data ? msgpack_pack_true(packer)
                                               : msgpack_pack_false(packer);
        break;
    case ITEM_EDITS:
        pack_edits(packer, command);
        break;
    case ITEM_VMS:
        msgpack_pack_array(packer, command->vm_count);
        for (i = 0; i < command->vm_count; i++) {
            MpPack_Text(packer, command->vms[i]);
        }
        break;
    }
}

static void
encode_command(Buf *out, const StateCmd *command)
{
    const CommandLayout *layout = &layouts[command->kind];
    msgpack_packer packer;
    size_t i;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, layout->count + 1);
    msgpack_pack_uint64(&packer, command->kind);
    for (i = 0; i < layout->count; i++) {
        pack_item(&packer, command, &layout->items[i]);
    }
}

/* Copies a name. A name that is too long becomes empty, which the decoder
 * rejects; a truncated name could be that of another row. */
static void
copy_name(char *to, const char *name)
{
    if (strlen(name) >= STATE_NAME_BYTES) {
        name = "";
    }
    snprintf(to, STATE_NAME_BYTES, "%s", name);
}

void
StateCmd_EncodePatch(Buf *out, const ParsedPatch *patch)
{
    StateCmd command = {.kind = STATE_CMD_PATCH, .base = patch->base};

    copy_name(command.operator_name, patch->operator_name);
    copy_name(command.request_id, patch->request_id);
    command.edits = patch->edits;
    command.edit_count = patch->edit_count;
    encode_command(out, &command);
}

void
StateCmd_EncodeRegisterVm(Buf *out, const char *vm, const char *data_centre,
                          const char *rack, const char *pool)
{
    StateCmd command = {.kind = STATE_CMD_REGISTER_VM};

    copy_name(command.name, vm);
    copy_name(command.data_centre, data_centre);
    copy_name(command.rack, rack);
    copy_name(command.pool, pool);
    encode_command(out, &command);
}

void
StateCmd_EncodeRemoveVm(Buf *out, const char *vm, const char *operator_name,
                        const char *request_id)
{
    StateCmd command = {.kind = STATE_CMD_REMOVE_VM};

    copy_name(command.name, vm);
    copy_name(command.operator_name, operator_name);
    copy_name(command.request_id, request_id);
    encode_command(out, &command);
}

void
StateCmd_EncodeRegisterMember(Buf *out, const char *member,
                              const char *data_centre, uint64_t identity,
                              uint64_t incarnation, bool disk)
{
    StateCmd command = {.kind = STATE_CMD_REGISTER_MEMBER,
                        .identity = identity,
                        .incarnation = incarnation,
                        .disk = disk};

    copy_name(command.name, member);
    copy_name(command.data_centre, data_centre);
    encode_command(out, &command);
}

void
StateCmd_EncodeDeclareDestroyed(Buf *out, const char *member,
                                const char *operator_name,
                                const char *request_id)
{
    StateCmd command = {.kind = STATE_CMD_DECLARE_DESTROYED};

    copy_name(command.name, member);
    copy_name(command.operator_name, operator_name);
    copy_name(command.request_id, request_id);
    encode_command(out, &command);
}

void
StateCmd_EncodeBeginMove(Buf *out, const char *vm, uint64_t epoch,
                         const char *to_pool)
{
    StateCmd command = {.kind = STATE_CMD_BEGIN_MOVE, .epoch = epoch};

    copy_name(command.name, vm);
    copy_name(command.pool, to_pool);
    encode_command(out, &command);
}

/* Encodes a command of a VM and its epoch. Only STATE_CMD_CLOSE_VM has a
 * keeper epoch. */
static void
encode_vm_command(Buf *out, StateCmdKind kind, const char *vm, uint64_t epoch,
                  uint64_t keeper_epoch)
{
    StateCmd command = {
        .kind = kind, .epoch = epoch, .keeper_epoch = keeper_epoch};

    copy_name(command.name, vm);
    encode_command(out, &command);
}

void
StateCmd_EncodeCloseVm(Buf *out, const char *vm, uint64_t epoch,
                       uint64_t keeper_epoch)
{
    encode_vm_command(out, STATE_CMD_CLOSE_VM, vm, epoch, keeper_epoch);
}

void
StateCmd_EncodeAckClose(Buf *out, const char *vm, uint64_t epoch,
                        const char *member, uint64_t incarnation)
{
    StateCmd command = {.kind = STATE_CMD_ACK_CLOSE,
                        .epoch = epoch,
                        .incarnation = incarnation};

    copy_name(command.name, vm);
    copy_name(command.member, member);
    encode_command(out, &command);
}

void
StateCmd_EncodeVmDrained(Buf *out, const char *vm, uint64_t epoch)
{
    encode_vm_command(out, STATE_CMD_VM_DRAINED, vm, epoch, 0);
}

void
StateCmd_EncodeCancelMove(Buf *out, const char *vm, uint64_t epoch)
{
    encode_vm_command(out, STATE_CMD_CANCEL_MOVE, vm, epoch, 0);
}

static void
encode_share_command(Buf *out, StateCmd *command, const char *pool,
                     const char *data_centre)
{
    copy_name(command->pool, pool);
    copy_name(command->data_centre, data_centre);
    encode_command(out, command);
}

void
StateCmd_EncodeReleaseShare(Buf *out, const char *pool, uint64_t pool_number,
                            const char *data_centre, uint64_t keeper_epoch,
                            uint64_t released)
{
    StateCmd command = {.kind = STATE_CMD_RELEASE_SHARE,
                        .pool_number = pool_number,
                        .keeper_epoch = keeper_epoch,
                        .units = released};

    encode_share_command(out, &command, pool, data_centre);
}

void
StateCmd_EncodeAskShare(Buf *out, const char *pool, uint64_t pool_number,
                        const char *data_centre, uint64_t keeper_epoch,
                        uint64_t units)
{
    StateCmd command = {.kind = STATE_CMD_ASK_SHARE,
                        .pool_number = pool_number,
                        .keeper_epoch = keeper_epoch,
                        .units = units};

    encode_share_command(out, &command, pool, data_centre);
}

void
StateCmd_EncodeStartWave(Buf *out, const char *wave, const char *operator_name,
                         const char *request_id, int64_t deadline_ms,
                         const char *const *vms, size_t vm_count)
{
    StateCmd command = {.kind = STATE_CMD_START_WAVE,
                        .deadline_ms = deadline_ms,
                        .vm_count = vm_count};
    size_t i;

    command.vms = Mem_New(vm_count + 1, sizeof(*command.vms));
    for (i = 0; i < vm_count; i++) {
        copy_name(command.vms[i], vms[i]);
    }
    copy_name(command.name, wave);
    copy_name(command.operator_name, operator_name);
    copy_name(command.request_id, request_id);
    encode_command(out, &command);
    StateCmd_Free(&command);
}

void
StateCmd_EncodeWaveStep(Buf *out, const char *wave, const char *vm,
                        StateStep step)
{
    StateCmd command = {.kind = STATE_CMD_WAVE_STEP, .code = step};

    copy_name(command.name, wave);
    copy_name(command.member, vm);
    encode_command(out, &command);
}

void
StateCmd_EncodeWaveControl(Buf *out, const char *wave, StateWaveAction action,
                           const char *operator_name, const char *request_id,
                           const char *reason)
{
    StateCmd command = {.kind = STATE_CMD_WAVE_CONTROL, .code = action};

    copy_name(command.name, wave);
    copy_name(command.operator_name, operator_name);
    copy_name(command.request_id, request_id);
    snprintf(command.reason, sizeof(command.reason), "%s", reason);
    encode_command(out, &command);
}

void
StateCmd_EncodeNoop(Buf *out)
{
    StateCmd command = {.kind = STATE_CMD_NOOP};

    encode_command(out, &command);
}

static bool
read_edits(MpRead *reader, StateCmd *command)
{
    uint32_t count;
    uint32_t parts;
    size_t i;

    if (!MpRead_Array(reader, &count) || count == 0 ||
        count > STATE_MAX_EDITS) {
        return false;
    }
    command->edits = Mem_New(count, sizeof(*command->edits));
    command->edit_count = count;
    for (i = 0; i < count; i++) {
        PatchEdit *edit = &command->edits[i];
        if (!MpRead_Array(reader, &parts) || parts < 1 || parts > 2 ||
            !MpRead_Text(reader, edit->path, sizeof(edit->path))) {
            return false;
        }
        edit->is_delete = parts == 1;
        if (parts == 2 &&
            !MpRead_Text(reader, edit->value, sizeof(edit->value))) {
            return false;
        }
    }
    return true;
}

static bool
read_vms(MpRead *reader, StateCmd *command)
{
    uint32_t count;
    size_t i;

    if (!MpRead_Array(reader, &count) || count == 0 ||
        count > STATE_MAX_WAVE_VMS) {
        return false;
    }
    command->vms = Mem_New(count, sizeof(*command->vms));
    command->vm_count = count;
    for (i = 0; i < count; i++) {
        if (!StatePath_ReadName(reader, command->vms[i], false)) {
            return false;
        }
    }
    return true;
}

static bool
read_item(MpRead *reader, StateCmd *command, const Item *item)
{
    char *item_data = (char *)command + item->offset;

    switch (item->type) {
    case ITEM_NAME:
        return StatePath_ReadName(reader, item_data, false);
    case ITEM_OPTIONAL_NAME:
        return StatePath_ReadName(reader, item_data, true);
    case ITEM_REASON:
        return MpRead_Text(reader, item_data, STATE_REASON_BYTES);
    case ITEM_U64:
        return MpRead_U64(reader, (uint64_t *)(void *)item_data);
    case ITEM_I64:
        return MpRead_I64(reader, (int64_t *)(void *)item_data);
    case ITEM_BOOL:
        return MpRead_Bool(reader, (bool *)(void *)item_data);
    case ITEM_EDITS:
        return read_edits(reader, command);
    default:
        return read_vms(reader, command);
    }
}

Status
StateCmd_Decode(const char *bytes, size_t len, StateCmd *command, ErrCtx *err)
{
    MpRead reader;
    uint32_t count;
    uint64_t kind;
    size_t i;

    memset(command, 0, sizeof(*command));
    MpRead_Init(&reader, bytes, len);
    if (!MpRead_Array(&reader, &count) || !MpRead_U64(&reader, &kind)) {
        return Err_Set(err, ST_CORRUPT, "a command must be [kind, ...]");
    }
    if (kind < 1 || kind >= COMMAND_KIND_END) {
        return Err_Set(err, ST_UNSUPPORTED, "unknown command kind %llu",
                       (unsigned long long)kind);
    }
    command->kind = (StateCmdKind)kind;
    if (count != layouts[kind].count + 1) {
        return Err_Set(err, ST_CORRUPT, "kind %u needs %zu items, not %u",
                       (unsigned)kind, layouts[kind].count + 1, count);
    }
    for (i = 0; i < layouts[kind].count; i++) {
        if (!read_item(&reader, command, &layouts[kind].items[i])) {
            return Err_Set(err, ST_CORRUPT,
                           "item %zu of kind %u is not valid at byte %zu",
                           i + 1, (unsigned)kind, MpRead_Offset(&reader));
        }
    }
    if (!MpRead_Done(&reader)) {
        return Err_Set(err, ST_CORRUPT, "bytes follow the command at %zu",
                       MpRead_Offset(&reader));
    }
    return ST_OK;
}

void
StateCmd_Free(StateCmd *command)
{
    free(command->edits);
    free(command->vms);
    command->edits = NULL;
    command->vms = NULL;
}
