/*
 * NAME
 *     statecmd - commands of the replicated state machine
 *
 * DESCRIPTION
 *     A command is a msgpack array [kind, ...]. Each encoder appends one to
 *     a buffer. The decoder is strict: kind, count, type, syntax of names
 *     and bounds are checked, and no byte may follow.
 */
#ifndef COLTSFOOT_STATECMD_H
#define COLTSFOOT_STATECMD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "patch.h"
#include "state.h"
#include "status.h"

typedef enum StateCmdKind {
    STATE_CMD_PATCH = 1,
    STATE_CMD_REGISTER_VM,
    STATE_CMD_REMOVE_VM,
    STATE_CMD_REGISTER_MEMBER,
    STATE_CMD_DECLARE_DESTROYED,
    STATE_CMD_BEGIN_MOVE,
    STATE_CMD_CLOSE_VM,
    STATE_CMD_ACK_CLOSE,
    STATE_CMD_VM_DRAINED,
    STATE_CMD_CANCEL_MOVE,
    STATE_CMD_RELEASE_SHARE,
    STATE_CMD_ASK_SHARE,
    STATE_CMD_START_WAVE,
    STATE_CMD_WAVE_STEP,
    STATE_CMD_WAVE_CONTROL,
    STATE_CMD_NOTHING /* accepted without effect; for tests of the log */
} StateCmdKind;

typedef enum StateWaveAction {
    STATE_WAVE_PAUSE,
    STATE_WAVE_RESUME,
    STATE_WAVE_CANCEL
} StateWaveAction;

/* A decoded command; fields that a kind does not use are zero. */
typedef struct StateCmd {
    StateCmdKind kind;
    char name[STATE_NAME_BYTES]; /* VM, member or wave */
    char data_centre[STATE_NAME_BYTES];
    char rack[STATE_NAME_BYTES];
    char pool[STATE_NAME_BYTES];
    char member[STATE_NAME_BYTES];
    char operator_name[STATE_NAME_BYTES];
    char request_id[STATE_NAME_BYTES];
    char reason[STATE_REASON_BYTES];
    uint64_t base;
    uint64_t identity;
    uint64_t incarnation;
    uint64_t epoch;
    uint64_t keeper_epoch;
    uint64_t pool_number;
    uint64_t units;
    int64_t deadline_ms;
    uint64_t code; /* StateStep or StateWaveAction */
    bool disk;
    PatchEdit *edits;
    size_t edit_count;
    char (*vms)[STATE_NAME_BYTES]; /* of a wave */
    size_t vm_count;
} StateCmd;

/* The edits of an operator. */
void StateCmd_Patch(Buf *out, const PatchText *patch);

/* The first announcement of a VM. A second one is accepted without effect
 * when data centre and rack are the same; the pool is then ignored. */
void StateCmd_RegisterVm(Buf *out, const char *vm, const char *data_centre,
                         const char *rack, const char *pool);

/* A VM that no longer exists. */
void StateCmd_RemoveVm(Buf *out, const char *vm, const char *operator_name,
                       const char *request_id);

/* An entry VM with its identity (0 without a disk) and incarnation, which
 * rises with each start. It may dispatch only after it has applied its own
 * registration, so that it has seen each close that does not wait for it. */
void StateCmd_RegisterMember(Buf *out, const char *member,
                             const char *data_centre, uint64_t identity,
                             uint64_t incarnation, bool disk);

/* The operator's declaration that an entry VM runs no more. */
void StateCmd_DeclareDestroyed(Buf *out, const char *member,
                               const char *operator_name,
                               const char *request_id);

/* Asks for a move of a VM at an epoch to another pool. */
void StateCmd_BeginMove(Buf *out, const char *vm, uint64_t epoch,
                        const char *to_pool);

/* The keeper has granted the move; closes the VM and raises its epoch. */
void StateCmd_CloseVm(Buf *out, const char *vm, uint64_t epoch,
                      uint64_t keeper_epoch);

/* An entry VM dispatches no more to the VM; epoch is that of the close. */
void StateCmd_AckClose(Buf *out, const char *vm, uint64_t epoch,
                       const char *member, uint64_t incarnation);

/* No work is in flight on a VM closed at epoch; opens it in the new pool. */
void StateCmd_VmDrained(Buf *out, const char *vm, uint64_t epoch);

/* Ends a move and leaves the VM open in its old pool. */
void StateCmd_CancelMove(Buf *out, const char *vm, uint64_t epoch);

/* The keeper has lowered its share of the pool with this name and number;
 * released is the new total, so that a repetition changes nothing. */
void StateCmd_ReleaseShare(Buf *out, const char *pool, uint64_t pool_number,
                           const char *data_centre, uint64_t keeper_epoch,
                           uint64_t released);

/* The keeper has work for this many units at once; 0: none. */
void StateCmd_AskShare(Buf *out, const char *pool, uint64_t pool_number,
                       const char *data_centre, uint64_t keeper_epoch,
                       uint64_t units);

/* A wave over VMs; deadline_ms is wall time in ms, 0 for none. */
void StateCmd_StartWave(Buf *out, const char *wave, const char *operator_name,
                        const char *request_id, int64_t deadline_ms,
                        const char *const *vms, size_t vm_count);

/* Records the step of one VM of a wave. */
void StateCmd_WaveStep(Buf *out, const char *wave, const char *vm,
                       StateStep step);

/* Pause, resume or cancel. The planner itself sends empty operator
 * and request id. */
void StateCmd_WaveControl(Buf *out, const char *wave, StateWaveAction action,
                          const char *operator_name, const char *request_id,
                          const char *reason);

void StateCmd_Nothing(Buf *out);

/* Decodes a command. Returns ST_OK, ST_CORRUPT with a reason in err, or
 * ST_UNSUPPORTED for an unknown kind. Free the command in every case. */
Status StateCmd_Decode(const char *bytes, size_t len, StateCmd *command,
                       ErrCtx *err);
void StateCmd_Free(StateCmd *command);

#endif
