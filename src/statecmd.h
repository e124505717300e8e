/*
 * NAME
 *     statecmd - commands of the replicated state machine
 *
 * DESCRIPTION
 *     A command is a msgpack array [kind, ...]. Each encoder appends one
 *     command to a buffer. The decoder is strict: it checks the kind, the
 *     number and types of items, the syntax of names and all bounds, and
 *     rejects trailing bytes.
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
    STATE_CMD_NOOP /* accepted without effect; used to test the log */
} StateCmdKind;

typedef enum StateWaveAction {
    STATE_WAVE_PAUSE,
    STATE_WAVE_RESUME,
    STATE_WAVE_CANCEL
} StateWaveAction;

/* A decoded command. Fields that a kind doesn't use are zero. */
typedef struct StateCmd {
    StateCmdKind kind;
    char name[STATE_NAME_BYTES]; /* name of the VM, member or wave */
    char data_centre[STATE_NAME_BYTES];
    char rack[STATE_NAME_BYTES];
    char pool[STATE_NAME_BYTES];
    char member[STATE_NAME_BYTES]; /* entry VM of an acknowledgement, or the VM
                                    * of a wave step */
    char operator_name[STATE_NAME_BYTES];
    char request_id[STATE_NAME_BYTES];
    char reason[STATE_REASON_BYTES];
    uint64_t base;
    uint64_t identity;
    uint64_t incarnation;
    uint64_t epoch;
    uint64_t keeper_epoch;
    uint64_t pool_number;
    uint64_t units; /* total units released, or units requested */
    int64_t deadline_ms;
    uint64_t code; /* StateStep or StateWaveAction */
    bool disk;
    PatchEdit *edits;
    size_t edit_count;
    char (*vms)[STATE_NAME_BYTES]; /* VMs of a wave */
    size_t vm_count;
} StateCmd;

/* Encodes the edits of an operator. */
void StateCmd_EncodePatch(Buf *out, const ParsedPatch *patch);

/* Encodes the registration of a VM. The registration of a known VM updates
 * its rack and ignores the pool; it must name the same data centre, and has no
 * effect if the rack is the same too. */
void StateCmd_EncodeRegisterVm(Buf *out, const char *vm,
                               const char *data_centre, const char *rack,
                               const char *pool);

/* Encodes the removal of a VM that no longer exists. */
void StateCmd_EncodeRemoveVm(Buf *out, const char *vm,
                             const char *operator_name,
                             const char *request_id);

/* Encodes the registration of an entry VM with its identity (0 without a
 * disk) and incarnation, which rises with each start. An entry VM may dispatch
 * only after it has applied its own registration, so that it has seen each
 * close that doesn't wait for its acknowledgement. */
void StateCmd_EncodeRegisterMember(Buf *out, const char *member,
                                   const char *data_centre, uint64_t identity,
                                   uint64_t incarnation, bool disk);

/* Encodes the operator's declaration that an entry VM is destroyed and no
 * longer runs. */
void StateCmd_EncodeDeclareDestroyed(Buf *out, const char *member,
                                     const char *operator_name,
                                     const char *request_id);

/* Encodes a request to move a VM at an epoch to another pool. */
void StateCmd_EncodeBeginMove(Buf *out, const char *vm, uint64_t epoch,
                              const char *to_pool);

/* Encodes the keeper's grant of a move, which closes the VM and increments
 * its epoch. */
void StateCmd_EncodeCloseVm(Buf *out, const char *vm, uint64_t epoch,
                            uint64_t keeper_epoch);

/* Encodes the acknowledgement of a close by an entry VM, which no longer
 * dispatches to the VM; epoch is that of the close. */
void StateCmd_EncodeAckClose(Buf *out, const char *vm, uint64_t epoch,
                             const char *member, uint64_t incarnation);

/* Encodes the report that no work is in flight on a VM closed at epoch, which
 * opens the VM in the new pool. */
void StateCmd_EncodeVmDrained(Buf *out, const char *vm, uint64_t epoch);

/* Encodes the cancellation of a move: the VM is open in its old pool again. */
void StateCmd_EncodeCancelMove(Buf *out, const char *vm, uint64_t epoch);

/* Encodes the release of units of the keeper's share in the pool with this
 * name and number. The command is idempotent: released is the new total. */
void StateCmd_EncodeReleaseShare(Buf *out, const char *pool,
                                 uint64_t pool_number, const char *data_centre,
                                 uint64_t keeper_epoch, uint64_t released);

/* Encodes the keeper's request for units of the pool's budget: the number that
 * the keeper could use at once, or 0. */
void StateCmd_EncodeAskShare(Buf *out, const char *pool, uint64_t pool_number,
                             const char *data_centre, uint64_t keeper_epoch,
                             uint64_t units);

/* Encodes the start of a wave; deadline_ms is wall-clock time, 0 for none. */
void StateCmd_EncodeStartWave(Buf *out, const char *wave,
                              const char *operator_name,
                              const char *request_id, int64_t deadline_ms,
                              const char *const *vms, size_t vm_count);

/* Encodes the step that a VM of a wave has reached. */
void StateCmd_EncodeWaveStep(Buf *out, const char *wave, const char *vm,
                             StateStep step);

/* Encodes the pause, resumption or cancellation of a wave. The wave planner
 * passes an empty operator and request id. */
void StateCmd_EncodeWaveControl(Buf *out, const char *wave,
                                StateWaveAction action,
                                const char *operator_name,
                                const char *request_id, const char *reason);

void StateCmd_EncodeNoop(Buf *out);

/* Decodes a command. Returns ST_OK, or sets err and returns ST_CORRUPT, or
 * ST_UNSUPPORTED for an unknown kind. The caller frees the command in every
 * case. */
Status StateCmd_Decode(const char *bytes, size_t len, StateCmd *command,
                       ErrCtx *err);
void StateCmd_Free(StateCmd *command);

#endif
