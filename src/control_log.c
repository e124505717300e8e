#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "mem.h"
#include "rng.h"

static void
apply_command(void *state, uint64_t index, const char *command, size_t len,
              Buf *result)
{
    State_Apply(state, index, command, len, result);
}

static void
take_snapshot(const void *state, Buf *out)
{
    State_AppendSnapshot(state, out);
}

static Status
restore_snapshot(void *state, const char *bytes, size_t len)
{
    ErrCtx err = {0};
    Status status = State_Restore(state, bytes, len, &err);

    if (status != ST_OK) {
        Diag_Log(DIAG_ERROR, "state", "A snapshot was refused: %s.",
                 err.message);
    }
    return status;
}

static const ReplicaMachineOps state_machine_ops = {
    apply_command, take_snapshot, restore_snapshot};

const ReplicaMachineOps *
Control_GetStateMachineOps(void)
{
    return &state_machine_ops;
}

static void
send_raft(void *arg, uint64_t to, const char *bytes, size_t len)
{
    Control *control = arg;
    size_t peer = Peers_FindByIdentity(control->peers, to);

    if (peer != SIZE_MAX) {
        Peers_SendBytes(control->peers, peer, PEER_RAFT, bytes, len);
    }
}

static void
record_applied_index(Control *control, uint64_t index)
{
    control->applied = index;
    control->view_dirty = true;
}

void
Control_OnApplied(void *arg, uint64_t index, const char *command, size_t len,
                  const Buf *result)
{
    (void)command;
    (void)len;
    (void)result;
    record_applied_index(arg, index);
}

void
Control_OnRestored(void *arg, uint64_t index)
{
    record_applied_index(arg, index);
}

static void
complete_proposal(Control *control, uint64_t cookie, Status status,
                  uint64_t index, const char *result, size_t len)
{
    Handle handle = Handle_Unpack(cookie);
    ControlProposal *row = Table_Get(control->proposals, handle);
    ControlProposal proposal;

    if (row == NULL) {
        return;
    }
    proposal = *row;
    Table_Remove(control->proposals, handle);
    proposal.fn(proposal.arg, status, index, result, len);
}

static void
on_proposed(void *arg, uint64_t cookie, Status status, uint64_t index,
            const Buf *result)
{
    complete_proposal(arg, cookie, status, index,
                      result != NULL ? result->data : NULL,
                      result != NULL ? result->len : 0);
}

static void
on_read_ready(void *arg, uint64_t cookie, Status status, uint64_t index)
{
    complete_proposal(arg, cookie, status, index, NULL, 0);
}

static void
on_role_changed(void *arg, RaftRole role, uint64_t term, uint64_t leader)
{
    (void)arg;
    Diag_Log(DIAG_NOTICE, "raft", "%s in term %llu; the leader is %016llx.",
             role == RAFT_LEADER ? "Leader" : "Not leader",
             (unsigned long long)term, (unsigned long long)leader);
}

static void
fill_options(ReplicaOptions *options, const Settings *settings)
{
    options->name = settings->name;
    options->data_centre = settings->data_centre;
    options->seed = Rng_SystemSeed();
    options->now_ms = Loop_NowMs();
    options->election_ms = settings->election_ms;
    options->heartbeat_ms = settings->heartbeat_ms;
    options->snapshot_entries = (uint64_t)settings->snapshot_entries;
    options->voters = (size_t)settings->voters;
    options->machine_ops = &state_machine_ops;
    options->send = send_raft;
    options->applied = Control_OnApplied;
    options->proposed = on_proposed;
    options->read_ready = on_read_ready;
    options->restored = Control_OnRestored;
    options->role_changed = on_role_changed;
}

Status
Control_OpenLog(Control *control, ErrCtx *err)
{
    const Settings *settings = control->settings;
    ReplicaOptions options = REPLICA_OPTIONS_DEFAULT;
    Status status;

    if (settings->data_folder[0] == '\0') {
        status = Control_OpenFeed(control, err);
        control->feed_server = FeedServer_New(NULL, control->feed);
        return status;
    }
    status = Storage_OpenFolder(settings->data_folder, true, &control->storage,
                                err);
    if (status != ST_OK) {
        return status;
    }
    fill_options(&options, settings);
    options.machine = control->state;
    options.arg = control;
    status = Replica_Open(&options, control->storage, &control->replica, err);
    if (status == ST_OK) {
        control->feed_server = FeedServer_New(control->replica, NULL);
        control->applied = Replica_GetAppliedIndex(control->replica);
        Diag_Log(DIAG_NOTICE, "raft",
                 "Opened the log of identity %016llx at index %llu.",
                 (unsigned long long)Replica_GetIdentity(control->replica),
                 (unsigned long long)Replica_GetLastIndex(control->replica));
    }
    return status;
}

void
Control_CloseLog(Control *control)
{
    if (control->feed_server != NULL) {
        FeedServer_Free(control->feed_server);
        control->feed_server = NULL;
    }
    if (control->feed != NULL) {
        Feed_Free(control->feed);
        control->feed = NULL;
    }
    if (control->replica != NULL) {
        Replica_Close(control->replica);
        control->replica = NULL;
    }
    if (control->storage != NULL) {
        Storage_Close(control->storage);
        control->storage = NULL;
    }
}

Status
Control_InitFolder(const Settings *settings, ErrCtx *err)
{
    ReplicaOptions options = REPLICA_OPTIONS_DEFAULT;
    Storage *storage = NULL;
    Replica *replica = NULL;
    State *state;
    Status status;

    if (settings->data_folder[0] == '\0') {
        return Err_Set(err, ST_INVALID, "the settings have no data_folder");
    }
    status = Storage_OpenFolder(settings->data_folder, true, &storage, err);
    if (status != ST_OK) {
        return status;
    }
    state = State_New();
    fill_options(&options, settings);
    options.machine = state;
    options.init = true;
    status = Replica_Open(&options, storage, &replica, err);
    if (status == ST_OK) {
        Replica_Close(replica);
    }
    Storage_Close(storage);
    State_Free(state);
    return status;
}

bool
Control_IsLeader(const Control *control)
{
    return control->replica != NULL &&
           Replica_GetRole(control->replica) == RAFT_LEADER;
}

/* Returns the identity of the leader, or 0 if unknown. */
static uint64_t
get_leader_identity(const Control *control)
{
    size_t i;

    if (control->replica != NULL && Replica_GetLeader(control->replica) != 0) {
        return Replica_GetLeader(control->replica);
    }
    for (i = 0; i < control->settings->peer_count; i++) {
        if (Peers_IsUp(control->peers, i) &&
            control->peer_states[i].leader != 0) {
            return control->peer_states[i].leader;
        }
    }
    return 0;
}

long
Control_GetLeaderPeer(const Control *control)
{
    size_t peer =
        Peers_FindByIdentity(control->peers, get_leader_identity(control));

    return peer != SIZE_MAX && Peers_IsUp(control->peers, peer) ? (long)peer
                                                                : -1;
}

const char *
Control_GetLeaderName(const Control *control)
{
    long peer;

    if (Control_IsLeader(control)) {
        return control->settings->name;
    }
    peer = Control_GetLeaderPeer(control);
    return peer >= 0 ? control->settings->peers[peer].name : "";
}

static void
send_proposal(Control *control, size_t peer, uint64_t cookie,
              const Buf *command)
{
    Buf body = BUF_INIT;
    msgpack_packer packer;

    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 3);
    msgpack_pack_int(&packer, PEER_PROPOSE);
    msgpack_pack_uint64(&packer, cookie);
    msgpack_pack_bin_with_body(&packer, command->data, command->len);
    Peers_Send(control->peers, peer, body.data, body.len);
    Buf_Free(&body);
}

void
Control_Propose(Control *control, const Buf *command, ControlResultFn fn,
                void *arg)
{
    Handle handle = Table_Add(control->proposals);
    ControlProposal *row = Table_Get(control->proposals, handle);
    long leader = Control_GetLeaderPeer(control);
    Status status = ST_NOT_LEADER;

    if (row == NULL) {
        fn(arg, ST_NOT_LEADER, 0, NULL, 0);
        return;
    }
    *row = (ControlProposal){fn, arg, 0, 0};
    if (Control_IsLeader(control)) {
        status = Replica_Propose(control->replica, Loop_NowMs(), command->data,
                                 command->len, Handle_Pack(handle));
    }
    else if (leader >= 0) {
        row->deadline_ms = Loop_NowMs() + CONTROL_PROPOSAL_TIMEOUT_MS;
        row->peer = (size_t)leader;
        send_proposal(control, (size_t)leader, Handle_Pack(handle), command);
        status = ST_OK;
    }
    if (status != ST_OK) {
        complete_proposal(control, Handle_Pack(handle), ST_NOT_LEADER, 0, NULL,
                          0);
    }
}

void
Control_ConfirmRead(Control *control, ControlResultFn fn, void *arg)
{
    Handle handle = Table_Add(control->proposals);
    ControlProposal *row = Table_Get(control->proposals, handle);
    Status status = ST_NOT_LEADER;

    if (row == NULL) {
        fn(arg, ST_FULL, 0, NULL, 0);
        return;
    }
    *row = (ControlProposal){fn, arg, Loop_NowMs() + CONTROL_READ_TIMEOUT_MS,
                             SIZE_MAX};
    if (Control_IsLeader(control)) {
        status = Replica_ReadIndex(control->replica, Loop_NowMs(),
                                   Handle_Pack(handle));
    }
    if (status != ST_OK) {
        complete_proposal(control, Handle_Pack(handle), status, 0, NULL, 0);
    }
}

void
Control_ExpireProposals(Control *control, int64_t now)
{
    uint32_t cursor = 0;
    Handle handle;

    while (!Handle_IsNone(handle = Table_Next(control->proposals, &cursor))) {
        const ControlProposal *row = Table_Get(control->proposals, handle);
        if (row->deadline_ms != 0 && now >= row->deadline_ms) {
            complete_proposal(control, Handle_Pack(handle), ST_AGAIN, 0, NULL,
                              0);
        }
    }
}

void
Control_FailProposals(Control *control, size_t peer)
{
    uint32_t cursor = 0;
    Handle handle;

    while (!Handle_IsNone(handle = Table_Next(control->proposals, &cursor))) {
        const ControlProposal *row = Table_Get(control->proposals, handle);
        if (row->deadline_ms != 0 && row->peer == peer) {
            complete_proposal(control, Handle_Pack(handle), ST_AGAIN, 0, NULL,
                              0);
        }
    }
}

/* A proposal that a peer sent to this node as the leader. */
typedef struct PeerProposal {
    Control *control;
    size_t peer;
    uint64_t cookie;
} PeerProposal;

static void
reply_to_peer(void *arg, Status status, uint64_t index, const char *result,
              size_t len)
{
    PeerProposal *proposal = arg;
    Buf body = BUF_INIT;
    msgpack_packer packer;

    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 5);
    msgpack_pack_int(&packer, PEER_PROPOSED);
    msgpack_pack_uint64(&packer, proposal->cookie);
    msgpack_pack_int(&packer, (int)status);
    msgpack_pack_uint64(&packer, index);
    msgpack_pack_bin_with_body(&packer, result, len);
    Peers_Send(proposal->control->peers, proposal->peer, body.data, body.len);
    Buf_Free(&body);
    free(proposal);
}

void
Control_OnPropose(Control *control, size_t peer,
                  const msgpack_object_array *message)
{
    PeerProposal *proposal;
    Buf command = BUF_INIT;

    if (message->size != 3 ||
        message->ptr[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        message->ptr[2].type != MSGPACK_OBJECT_BIN) {
        return;
    }
    proposal = Mem_New(1, sizeof(*proposal));
    *proposal = (PeerProposal){control, peer, message->ptr[1].via.u64};
    if (!Control_IsLeader(control)) {
        /* Not forwarded: two nodes that each take the other for the leader
         * would forward it in an endless loop. */
        reply_to_peer(proposal, ST_NOT_LEADER, 0, NULL, 0);
        return;
    }
    Buf_Append(&command, message->ptr[2].via.bin.ptr,
               message->ptr[2].via.bin.size);
    Control_Propose(control, &command, reply_to_peer, proposal);
    Buf_Free(&command);
}

void
Control_OnProposed(Control *control, const msgpack_object_array *message)
{
    const msgpack_object *items = message->ptr;
    Status status;

    if (message->size != 5 ||
        items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[3].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[4].type != MSGPACK_OBJECT_BIN) {
        return;
    }
    status =
        items[2].via.u64 <= ST_NO_MEMORY ? (Status)items[2].via.u64 : ST_AGAIN;
    complete_proposal(control, items[1].via.u64, status, items[3].via.u64,
                      items[4].via.bin.ptr, items[4].via.bin.size);
}
