#include <string.h>

#include <msgpack.h>

#include "jobstate_impl.h"
#include "mppack.h"

static void
begin_command(msgpack_packer *packer, Buf *out, JobCommandKind command,
              size_t arg_count)
{
    msgpack_packer_init(packer, out, Buf_MsgpackWrite);
    msgpack_pack_array(packer, arg_count + 1);
    msgpack_pack_int(packer, (int)command);
}

void
JobCmd_EncodeConfig(Buf *out, const JobConfig *config)
{
    msgpack_packer packer;

    begin_command(&packer, out, JOB_CMD_CONFIG, 1);
    JobCodec_PackConfig(&packer, config);
}

void
JobCmd_EncodeSubmit(Buf *out, const char *id, const char *queue,
                    int64_t wall_ms, const JobSpec *spec, const char *tenant)
{
    msgpack_packer packer;

    begin_command(&packer, out, JOB_CMD_SUBMIT, tenant[0] != '\0' ? 5 : 4);
    MpPack_Text(&packer, id);
    MpPack_Text(&packer, queue);
    msgpack_pack_int64(&packer, wall_ms);
    JobCodec_PackSpec(&packer, spec);
    if (tenant[0] != '\0') {
        MpPack_Text(&packer, tenant);
    }
}

void
JobCmd_EncodeCancel(Buf *out, const char *id, int64_t wall_ms,
                    const char *tenant)
{
    msgpack_packer packer;

    begin_command(&packer, out, JOB_CMD_CANCEL, tenant[0] != '\0' ? 3 : 2);
    MpPack_Text(&packer, id);
    msgpack_pack_int64(&packer, wall_ms);
    if (tenant[0] != '\0') {
        MpPack_Text(&packer, tenant);
    }
}

void
JobCmd_EncodeAssign(Buf *out, const JobAssignment *rows, size_t count)
{
    msgpack_packer packer;
    size_t i;

    begin_command(&packer, out, JOB_CMD_ASSIGN, 1);
    msgpack_pack_array(&packer, count);
    for (i = 0; i < count; i++) {
        msgpack_pack_array(&packer, 4);
        JobCodec_PackTaskRef(&packer, &rows[i].task);
        msgpack_pack_uint32(&packer, rows[i].attempt);
        msgpack_pack_uint32(&packer, rows[i].target);
        msgpack_pack_uint64(&packer, rows[i].serial);
    }
}

void
JobCmd_EncodeEnds(Buf *out, uint32_t target, uint64_t serial, int64_t wall_ms,
                  const JobEnd *ends, size_t count)
{
    msgpack_packer packer;
    size_t i;

    begin_command(&packer, out, JOB_CMD_ENDS, 4);
    msgpack_pack_uint32(&packer, target);
    msgpack_pack_uint64(&packer, serial);
    msgpack_pack_int64(&packer, wall_ms);
    msgpack_pack_array(&packer, count);
    for (i = 0; i < count; i++) {
        msgpack_pack_array(&packer, 5);
        JobCodec_PackTaskRef(&packer, &ends[i].task);
        msgpack_pack_uint32(&packer, ends[i].attempt);
        msgpack_pack_int(&packer, (int)ends[i].kind);
        msgpack_pack_uint64(&packer, ends[i].number);
        MpPack_Text(&packer, strlen(ends[i].checkpoint) < JOB_CHECKPOINT_BYTES
                                 ? ends[i].checkpoint
                                 : "");
    }
}

void
JobCmd_EncodeBegun(Buf *out, const Job *const *jobs, size_t count)
{
    msgpack_packer packer;
    size_t i;

    begin_command(&packer, out, JOB_CMD_BEGUN, 1);
    msgpack_pack_array(&packer, count);
    for (i = 0; i < count; i++) {
        MpPack_Text(&packer, jobs[i]->id);
    }
}

void
JobCmd_EncodeCrashes(Buf *out, int64_t wall_ms, const JobCrash *rows,
                     size_t count)
{
    msgpack_packer packer;
    size_t i;

    begin_command(&packer, out, JOB_CMD_CRASHES, 2);
    msgpack_pack_int64(&packer, wall_ms);
    msgpack_pack_array(&packer, count);
    for (i = 0; i < count; i++) {
        msgpack_pack_array(&packer, 3);
        JobCodec_PackTaskRef(&packer, &rows[i].task);
        msgpack_pack_uint32(&packer, rows[i].attempt);
        msgpack_pack_int(&packer, (int)rows[i].evidence);
    }
}

void
JobCmd_EncodeTarget(Buf *out, const JobAnnouncement *announcement)
{
    msgpack_packer packer;

    begin_command(&packer, out, JOB_CMD_TARGET, 1);
    JobCodec_PackAnnouncement(&packer, announcement);
}

void
JobCmd_EncodeTargetGone(Buf *out, const JobRemoval *removal)
{
    msgpack_packer packer;

    begin_command(&packer, out, JOB_CMD_TARGET_GONE, 4);
    msgpack_pack_uint32(&packer, removal->target);
    msgpack_pack_uint64(&packer, removal->serial);
    msgpack_pack_uint64(&packer, removal->alive_from);
    msgpack_pack_int64(&packer, removal->wall_ms);
}

void
JobCmd_EncodeNode(Buf *out, const JobNode *node)
{
    msgpack_packer packer;

    begin_command(&packer, out, JOB_CMD_NODE, 4);
    JobStateImpl_PackNode(&packer, node);
}

void
JobCmd_EncodeWave(Buf *out, const JobWave *wave)
{
    msgpack_packer packer;
    uint32_t i;

    begin_command(&packer, out, JOB_CMD_WAVE, 5);
    JobStateImpl_PackWaveHead(&packer, wave);
    for (i = 0; i < wave->vm_count; i++) {
        MpPack_Text(&packer, wave->vms[i].vm);
    }
}

void
JobCmd_EncodeWaveVm(Buf *out, uint64_t number, const char *vm, bool done)
{
    msgpack_packer packer;

    begin_command(&packer, out, JOB_CMD_WAVE_VM, 3);
    msgpack_pack_uint64(&packer, number);
    MpPack_Text(&packer, vm);
    done ? msgpack_pack_true(&packer) : msgpack_pack_false(&packer);
}

void
JobCmd_EncodeExpire(Buf *out, int64_t wall_ms)
{
    msgpack_packer packer;

    begin_command(&packer, out, JOB_CMD_EXPIRE, 1);
    msgpack_pack_int64(&packer, wall_ms);
}

void
JobCmd_EncodeVmOrder(Buf *out, const JobVmOrder *order)
{
    msgpack_packer packer;

    begin_command(&packer, out, JOB_CMD_VM_ORDER, 3);
    JobStateImpl_PackVmOrder(&packer, order);
}
