#include "state.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include <xxhash.h>

#include "mem.h"
#include "mppack.h"
#include "mpread.h"
#include "state_impl.h"

typedef Status (*CommandHandler)(State *, const StateCmd *, StateResult *);

static Status
apply_noop(State *state, const StateCmd *command, StateResult *result)
{
    (void)state;
    (void)command;
    (void)result;
    return ST_OK;
}

static const CommandHandler handlers[] = {
    [STATE_CMD_PATCH] = StateImpl_ApplyPatch,
    [STATE_CMD_REGISTER_VM] = StateImpl_RegisterVm,
    [STATE_CMD_REMOVE_VM] = StateImpl_RemoveVm,
    [STATE_CMD_REGISTER_MEMBER] = StateImpl_RegisterMember,
    [STATE_CMD_DECLARE_DESTROYED] = StateImpl_DeclareDestroyed,
    [STATE_CMD_BEGIN_MOVE] = StateImpl_BeginMove,
    [STATE_CMD_CLOSE_VM] = StateImpl_CloseVm,
    [STATE_CMD_ACK_CLOSE] = StateImpl_AckClose,
    [STATE_CMD_VM_DRAINED] = StateImpl_CompleteMove,
    [STATE_CMD_CANCEL_MOVE] = StateImpl_CancelMove,
    [STATE_CMD_RELEASE_SHARE] = StateImpl_ReleaseShare,
    [STATE_CMD_ASK_SHARE] = StateImpl_AskShare,
    [STATE_CMD_START_WAVE] = StateImpl_StartWave,
    [STATE_CMD_WAVE_STEP] = StateImpl_RecordWaveStep,
    [STATE_CMD_WAVE_CONTROL] = StateImpl_ControlWave,
    [STATE_CMD_NOOP] = apply_noop,
};

State *
State_New(void)
{
    State *state = calloc(1, sizeof(*state));

    if (state != NULL) {
        StateImpl_InitMaps(state);
    }
    return state;
}

void
State_Free(State *state)
{
    if (state != NULL) {
        StateImpl_FreeRows(state);
        free(state);
    }
}

Status
StateImpl_Refuse(StateResult *result, Status status, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    vsnprintf(result->message, sizeof(result->message), format, args);
    va_end(args);
    result->status = status;
    return status;
}

Status
StateImpl_Accept(StateResult *result, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    vsnprintf(result->message, sizeof(result->message), format, args);
    va_end(args);
    return ST_OK;
}

static void
pack_result(Buf *out, const StateResult *result)
{
    msgpack_packer packer;
    size_t i;

    msgpack_packer_init(&packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 4);
    msgpack_pack_uint64(&packer, (uint64_t)result->status);
    msgpack_pack_uint64(&packer, result->version);
    MpPack_Text(&packer, result->message);
    msgpack_pack_array(&packer, result->conflict_count);
    for (i = 0; i < result->conflict_count; i++) {
        MpPack_Text(&packer, result->conflicts[i]);
    }
}

Status
State_ParseResult(const char *bytes, size_t len, StateResult *result)
{
    MpRead reader;
    uint32_t count;
    uint64_t status;
    size_t i;

    memset(result, 0, sizeof(*result));
    MpRead_Init(&reader, bytes, len);
    if (!MpRead_Array(&reader, &count) || count != 4 ||
        !MpRead_U64(&reader, &status) || status > ST_NO_MEMORY ||
        !MpRead_U64(&reader, &result->version) ||
        !MpRead_Text(&reader, result->message, sizeof(result->message)) ||
        !MpRead_Array(&reader, &count) || count > STATE_MAX_CONFLICTS) {
        return ST_CORRUPT;
    }
    result->status = (Status)status;
    result->conflict_count = count;
    for (i = 0; i < count; i++) {
        if (!MpRead_Text(&reader, result->conflicts[i], STATE_PATH_BYTES)) {
            return ST_CORRUPT;
        }
    }
    return MpRead_Done(&reader) ? ST_OK : ST_CORRUPT;
}

/* Appends the recorded answer to a repeated request, or a refusal if the
 * request id was used for another request. Returns false if the request is
 * new. */
static bool
append_recorded_answer(const State *state, const char *key, uint64_t digest,
                       StateResult *result, Buf *out)
{
    const StateAnswer *answer = StateImpl_FindAnswer(state, key);

    if (answer == NULL) {
        return false;
    }
    if (answer->digest != digest) {
        StateImpl_Refuse(result, ST_EXISTS,
                         "the request id was used for another request");
        pack_result(out, result);
        return true;
    }
    Buf_Append(out, answer->bytes, answer->len);
    /* pack_result wrote these bytes, so decoding them succeeds. */
    State_ParseResult(answer->bytes, answer->len, result);
    return true;
}

static Status
apply_decoded(State *state, const StateCmd *command, uint64_t digest,
              StateResult *result, Buf *out)
{
    char key[STATE_ANSWER_KEY_BYTES];
    size_t begin = out->len;

    if (command->request_id[0] == '\0') {
        result->status = handlers[command->kind](state, command, result);
        result->version = state->version;
        pack_result(out, result);
        return result->status;
    }
    snprintf(key, sizeof(key), "%s/%s", command->operator_name,
             command->request_id);
    if (append_recorded_answer(state, key, digest, result, out)) {
        return result->status;
    }
    result->status = handlers[command->kind](state, command, result);
    result->version = state->version;
    pack_result(out, result);
    StateImpl_AddAnswer(state, key, digest, out->data + begin,
                        out->len - begin);
    return result->status;
}

Status
State_Apply(State *state, uint64_t index, const char *command, size_t len,
            Buf *out)
{
    StateResult *result = Mem_New(1, sizeof(*result));
    StateCmd decoded;
    ErrCtx err;
    Status status;

    result->version = state->version;
    if (index <= state->applied) {
        status =
            StateImpl_Refuse(result, ST_STALE, "index %llu was applied before",
                             (unsigned long long)index);
        pack_result(out, result);
        free(result);
        return status;
    }
    state->applied = index;
    status = StateCmd_Decode(command, len, &decoded, &err);
    if (status != ST_OK) {
        StateImpl_Refuse(result, status, "%.200s", err.message);
        pack_result(out, result);
    }
    else {
        status = apply_decoded(state, &decoded, XXH64(command, len, 0), result,
                               out);
    }
    StateCmd_Free(&decoded);
    free(result);
    return status;
}

uint64_t
State_GetVersion(const State *state)
{
    return state->version;
}

uint64_t
State_GetAppliedIndex(const State *state)
{
    return state->applied;
}
