#include "jobstate_impl.h"

#include "mppack.h"

void
JobStateImpl_PackNode(msgpack_packer *packer, const JobNode *node)
{
    MpPack_Text(packer, node->name);
    MpPack_Text(packer, node->data_centre);
    MpPack_Text(packer, node->peer);
    MpPack_Text(packer, node->control);
}

bool
JobStateImpl_ReadNode(JobState *state, MpRead *reader)
{
    JobNode node = {{0}, {0}, {0}, {0}};

    if (!MpRead_Text(reader, node.name, sizeof(node.name)) ||
        !MpRead_Text(reader, node.data_centre, sizeof(node.data_centre)) ||
        !MpRead_Text(reader, node.peer, sizeof(node.peer)) ||
        !MpRead_Text(reader, node.control, sizeof(node.control))) {
        return false;
    }
    JobStateImpl_SetNode(state, &node);
    return true;
}

void
JobStateImpl_PackWaveHead(msgpack_packer *packer, const JobWave *wave)
{
    msgpack_pack_uint64(packer, wave->number);
    msgpack_pack_int64(packer, wave->start_ms);
    msgpack_pack_int64(packer, wave->duration_ms);
    msgpack_pack_uint32(packer, wave->cap);
    msgpack_pack_array(packer, wave->vm_count);
}

bool
JobStateImpl_ReadWaveHead(MpRead *reader, JobWave *head)
{
    *head = (JobWave){0};
    return MpRead_U64(reader, &head->number) &&
           MpRead_I64(reader, &head->start_ms) &&
           MpRead_I64(reader, &head->duration_ms) &&
           MpRead_U32(reader, &head->cap) &&
           MpRead_Array(reader, &head->vm_count);
}

void
JobStateImpl_PackVmOrder(msgpack_packer *packer, const JobVmOrder *order)
{
    MpPack_Text(packer, order->vm);
    msgpack_pack_uint64(packer, order->fence);
    msgpack_pack_int64(packer, order->wall_ms);
}

bool
JobStateImpl_ReadVmOrder(JobState *state, MpRead *reader)
{
    JobVmOrder order = {{0}, 0, 0, 0};

    if (!MpRead_Text(reader, order.vm, sizeof(order.vm)) ||
        !MpRead_U64(reader, &order.fence) ||
        !MpRead_I64(reader, &order.wall_ms)) {
        return false;
    }
    JobStateImpl_SetVmOrder(state, &order);
    return true;
}
