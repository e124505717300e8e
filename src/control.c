#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "mem.h"
#include "rng.h"

#define CONTROL_TICK_INTERVAL_MS 50
/* Keeps the peer traffic of the leader of six entry VMs under 2 KB/s at 0.67
 * changes per second. */
#define CONTROL_STATUS_INTERVAL_MS 1000
#define CONTROL_HTTP_IDLE_TIMEOUT_S 60
/* Sixteenths of the descriptors of the process for connections of operators
 * and targets. */
#define CLIENT_SHARE 2
#define CONTROL_MAX_BODY_BYTES (1024 * 1024)
#define CONTROL_JOURNAL_ENTRIES 4096

static void
on_peer_up(void *arg, size_t peer, const PeerHello *hello)
{
    Control *control = arg;
    RaftMember member = {.identity = hello->identity};

    (void)peer;
    control->view_dirty = true;
    Control_UpdateFeedPeers(control);
    Control_ResetRelays(control);
    if (hello->identity != 0 && control->replica != NULL) {
        snprintf(member.name, sizeof(member.name), "%s", hello->name);
        snprintf(member.data_centre, sizeof(member.data_centre), "%s",
                 hello->data_centre);
        Replica_RecordNode(control->replica, Loop_NowMs(), &member);
    }
}

static void
on_peer_down(void *arg, size_t peer)
{
    Control *control = arg;

    Control_FailProposals(control, peer);
    /* The new view divides the peer's slot credits among the others. */
    control->view_dirty = true;
    Control_UpdateFeedPeers(control);
}

static void
on_status(Control *control, size_t peer, const msgpack_object_array *message)
{
    ControlPeer *state = &control->peer_states[peer];
    const msgpack_object *items = message->ptr;
    size_t i;

    for (i = 1; i <= 4; i++) {
        if (message->size != 5 ||
            items[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return;
        }
    }
    state->applied = items[1].via.u64;
    if (items[2].via.u64 != state->version) {
        state->version = items[2].via.u64;
        state->version_ms = Loop_NowMs();
    }
    state->leader = items[3].via.u64;
    control->view_dirty |= state->ready != (items[4].via.u64 != 0);
    state->ready = items[4].via.u64 != 0;
}

static void
on_raft(Control *control, size_t peer, const msgpack_object_array *message)
{
    if (control->replica != NULL && message->size == 2 &&
        message->ptr[1].type == MSGPACK_OBJECT_BIN) {
        Replica_HandleMessage(control->replica, Loop_NowMs(),
                              Peers_Hello(control->peers, peer)->identity,
                              message->ptr[1].via.bin.ptr,
                              message->ptr[1].via.bin.size);
    }
}

static void
on_target(Control *control, const msgpack_object_array *message)
{
    ErrCtx err;

    if (message->size == 2 && message->ptr[1].type == MSGPACK_OBJECT_STR) {
        Control_HandleAnnouncement(control, message->ptr[1].via.str.ptr,
                                   message->ptr[1].via.str.size, false, &err);
    }
    else {
        Control_OnTargetHeartbeat(control, message);
    }
}

static void
on_message(void *arg, size_t peer, PeerMessageType type,
           const msgpack_object_array *message)
{
    Control *control = arg;

    switch (type) {
    case PEER_STATUS:
        on_status(control, peer, message);
        break;
    case PEER_RAFT:
        on_raft(control, peer, message);
        break;
    case PEER_PROPOSE:
        Control_OnPropose(control, peer, message);
        break;
    case PEER_PROPOSED:
        Control_OnProposed(control, message);
        break;
    case PEER_TARGET:
        on_target(control, message);
        break;
    case PEER_ONCE_INTENT:
    case PEER_ONCE_ACK:
    case PEER_ONCE_OUTCOME:
        Control_OnOnceMessage(control, peer, type, message);
        break;
    case PEER_DRAINS:
        Control_OnDrainList(control, peer, message);
        break;
    case PEER_LOAD:
        Control_OnLoad(control, peer, message);
        break;
    case PEER_DRAINS_ACK:
        Control_OnDrainListAck(control, peer, message);
        break;
    case PEER_FEED:
        Control_OnFeedMessage(control, peer, message);
        break;
    case PEER_PROBE: /* handled by the peer module */
    case PEER_FLEET:
    case PEER_JOB_REQUEST:
    case PEER_JOB_CONTROL_REQUEST:
    case PEER_JOB_REPLY:
    case PEER_JOB_CALLS:
    case PEER_JOB_ANSWERS:
    case PEER_JOB_ANNOUNCED:
    case PEER_HELLO:
    case PEER_REFUSED:
        break;
    }
}

typedef struct AppliedView {
    Control *control;
    uint64_t sequence;
} AppliedView;

static void
record_applied_view(void *arg)
{
    AppliedView *applied_view = arg;

    applied_view->control->view_applied = applied_view->sequence;
    if (applied_view->sequence == applied_view->control->view_sequence) {
        applied_view->control->in_force = applied_view->control->view_version;
    }
    free(applied_view);
}

static void
on_view_applied(void *arg, uint64_t sequence)
{
    Control *control = arg;
    AppliedView *applied_view = Mem_New(1, sizeof(*applied_view));

    *applied_view = (AppliedView){control, sequence};
    Loop_Post(control->loop, record_applied_view, applied_view);
}

/* --- timers --- */

static void
send_status(void *arg)
{
    Control *control = arg;
    Buf body = BUF_INIT;
    msgpack_packer packer;
    size_t i;

    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 5);
    msgpack_pack_int(&packer, PEER_STATUS);
    msgpack_pack_uint64(&packer, control->applied);
    msgpack_pack_uint64(&packer, State_GetVersion(control->state));
    msgpack_pack_uint64(&packer, control->replica != NULL
                                     ? Replica_GetLeader(control->replica)
                                     : 0);
    msgpack_pack_uint64(&packer, control->ready);
    for (i = 0; i < control->settings->peer_count; i++) {
        Peers_Send(control->peers, i, body.data, body.len);
    }
    Buf_Free(&body);
}

void
Control_IgnoreResult(void *arg, Status status, uint64_t index,
                     const char *result, size_t len)
{
    (void)arg;
    (void)status;
    (void)index;
    (void)result;
    (void)len;
}

void
Control_RecordDecision(Control *control, const JournalDecision *decision)
{
    Journal_AddEntry(control->journal, Loop_NowMs(),
                     State_GetVersion(control->state), decision);
}

static bool
is_caught_up(const Control *control)
{
    return control->replica != NULL ? Replica_IsCaughtUp(control->replica)
                                    : Feed_IsReady(control->feed);
}

/* Registers this incarnation as a member, so that the close of a VM waits for
 * its acknowledgement. */
static void
register_member(Control *control, int64_t now)
{
    const Settings *settings = control->settings;
    const StateMember *self = State_Member(control->state, settings->name);
    Buf command = BUF_INIT;

    control->registered =
        self != NULL && self->incarnation == control->incarnation;
    if (control->registered || now < control->next_register_ms ||
        !is_caught_up(control)) {
        return;
    }
    control->next_register_ms = now + CONTROL_RETRY_INTERVAL_MS;
    StateCmd_EncodeRegisterMember(
        &command, settings->name, settings->data_centre,
        control->replica != NULL ? Replica_GetIdentity(control->replica) : 0,
        control->incarnation, control->replica != NULL);
    Control_Propose(control, &command, Control_IgnoreResult, NULL);
    Buf_Free(&command);
}

static void
update_ready(Control *control)
{
    bool ready = control->registered && control->stop_start_ms == 0 &&
                 control->view_applied > 0;

    if (ready != control->ready) {
        control->ready = ready;
        Gateway_SetReady(control->gateway, ready);
        Diag_Log(DIAG_NOTICE, CONTROL_LOG_PREFIX, "%s at version %llu.",
                 ready ? "Ready" : "Not ready",
                 (unsigned long long)State_GetVersion(control->state));
    }
}

static void
check_stop(Control *control, int64_t now)
{
    size_t active;

    if (control->stop_start_ms == 0) {
        return;
    }
    active = Gateway_CountActive(control->gateway);
    if (active == 0) {
        Diag_Log(DIAG_NOTICE, CONTROL_LOG_PREFIX,
                 "Stopped with no requests in flight.");
        Loop_Stop(control->loop);
    }
    else if (now - control->stop_start_ms >
             control->settings->shutdown_grace_ms) {
        Diag_Log(DIAG_ERROR, CONTROL_LOG_PREFIX,
                 "Stopped with %zu requests in flight after %lld ms.", active,
                 control->settings->shutdown_grace_ms);
        Loop_Stop(control->loop);
    }
}

static void
on_stop(void *arg)
{
    Control *control = arg;

    if (control->stop_start_ms != 0) {
        return;
    }
    control->stop_start_ms = Loop_NowMs();
    Diag_Log(DIAG_NOTICE, CONTROL_LOG_PREFIX, "Planned stop started.");
    update_ready(control);
    Gateway_BeginShutdown(control->gateway);
}

/* Returns ST_OK, or the error of the first log that has failed. */
static Status
get_log_failure(const Control *control)
{
    Status status = control->replica != NULL
                        ? Replica_GetFailure(control->replica, NULL)
                        : ST_OK;

    return status == ST_OK && control->once_log != NULL
               ? OnceLog_GetFailure(control->once_log)
               : status;
}

/* Stops a node of which a log has failed, since it stays so until the next
 * start. */
static void
stop_after_log_failure(Control *control)
{
    if (control->stop_start_ms == 0 && get_log_failure(control) != ST_OK) {
        Diag_Log(DIAG_ERROR, CONTROL_LOG_PREFIX, "A log has failed.");
        on_stop(control);
    }
}

static void
on_tick(void *arg)
{
    Control *control = arg;
    int64_t now = Loop_NowMs();

    if (control->replica != NULL) {
        Replica_Tick(control->replica, now);
    }
    stop_after_log_failure(control);
    if (control->feed != NULL) {
        Feed_Tick(control->feed, now);
    }
    FeedServer_Tick(control->feed_server, now);
    Control_ExpireProposals(control, now);
    register_member(control, now);
    Control_TickTargets(control, now);
    Control_PublishView(control, now);
    Control_AckClosedVms(control, now);
    Control_AckDrainList(control);
    Control_TickKeeper(control, now);
    Control_TickSparePlanner(control, now);
    update_ready(control);
    check_stop(control, now);
}

static bool
flush_log(void *arg)
{
    Control *control = arg;

    if (control->replica != NULL) {
        Replica_Flush(control->replica, Loop_NowMs());
    }
    return false;
}

/* --- lifecycle --- */

static Status
open_gateway(Control *control, uint64_t seed, ErrCtx *err)
{
    GatewayOptions options = {
        .settings = control->settings,
        .incarnation = control->incarnation,
        .seed = seed,
        .hooks = {.arg = control,
                  .record_intent = Control_RecordIntent,
                  .record_outcome = Control_RecordOutcome,
                  .view_applied = on_view_applied}};

    Status status;

    control->gateway = Gateway_New(&options, err);
    if (control->gateway == NULL) {
        return ST_IO;
    }
    status = Control_OpenOnceLog(control, err);
    return status == ST_OK ? Gateway_Start(control->gateway, err) : status;
}

static Status
open_network(Control *control, ErrCtx *err)
{
    PeersOptions peers = {.settings = control->settings,
                          .identity =
                              control->replica != NULL
                                  ? Replica_GetIdentity(control->replica)
                                  : 0,
                          .incarnation = control->incarnation,
                          .arg = control,
                          .on_up = on_peer_up,
                          .on_down = on_peer_down,
                          .on_message = on_message};
    HttpServerOptions server = {
        .address = control->settings->control,
        .max_body_bytes = CONTROL_MAX_BODY_BYTES,
        .idle_timeout_s = CONTROL_HTTP_IDLE_TIMEOUT_S,
        .max_connections = HttpServer_LimitConnections(
            control->settings->max_connections, CLIENT_SHARE),
        .max_open_bytes = (size_t)control->settings->max_open_bytes,
        .handler = Control_HandleHttp,
        .arg = control};

    control->peers = Peers_New(control->loop, &peers, err);
    if (control->peers == NULL) {
        return ST_IO;
    }
    control->client = HttpClient_New(control->loop, 0);
    control->server = HttpServer_New(control->loop, &server, err);
    return control->server != NULL ? ST_OK : ST_IO;
}

static Status
open_all(Control *control, ErrCtx *err)
{
    Status status;

    control->loop = Loop_New(err);
    if (control->loop == NULL) {
        return ST_IO;
    }
    control->signals = Signals_New(control->loop, on_stop, NULL, control, err);
    if (control->signals == NULL) {
        return ST_IO;
    }
    control->state = State_New();
    control->targets = StrMap_New();
    control->journal = Journal_New(CONTROL_JOURNAL_ENTRIES);
    Control_OpenSparePlanner(control);
    control->proposals = Table_NewSeeded(
        sizeof(ControlProposal), CONTROL_MAX_PROPOSALS, Rng_SystemSeed());
    control->peer_states =
        calloc(control->settings->peer_count + 1, sizeof(ControlPeer));
    status = Control_OpenLog(control, err);
    if (status == ST_OK) {
        status = Control_OpenKeeper(control, err);
    }
    if (status == ST_OK) {
        status = open_network(control, err);
    }
    if (status == ST_OK) {
        status = open_gateway(control, Rng_SystemSeed(), err);
    }
    return status;
}

Status
Control_New(const Settings *settings, Control **out, ErrCtx *err)
{
    Control *control = calloc(1, sizeof(*control));
    Status status;

    if (control == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "no memory for the control thread");
    }
    control->settings = settings;
    /* Wall time increases across restarts, also without a disk. */
    control->incarnation = (uint64_t)apr_time_now();
    control->view_dirty = true;
    control->drains_ack_peer = -1;
    status = open_all(control, err);
    if (status != ST_OK) {
        Control_Free(control);
        return status;
    }
    control->tick_timer = Loop_NewTimer(control->loop, on_tick, control);
    Loop_Arm(control->tick_timer, CONTROL_TICK_INTERVAL_MS,
             CONTROL_TICK_INTERVAL_MS);
    control->status_timer = Loop_NewTimer(control->loop, send_status, control);
    Loop_Arm(control->status_timer, CONTROL_STATUS_INTERVAL_MS,
             CONTROL_STATUS_INTERVAL_MS);
    Loop_AddPrepareHook(control->loop, flush_log, control);
    *out = control;
    return ST_OK;
}

Status
Control_Run(Control *control)
{
    Loop_Run(control->loop);
    return get_log_failure(control);
}

void
Control_Free(Control *control)
{
    if (control == NULL) {
        return;
    }
    if (control->gateway != NULL) {
        Gateway_StopThreads(control->gateway);
    }
    OnceLog_Free(control->once_log);
    Gateway_Free(control->gateway);
    HttpServer_Free(control->server);
    HttpClient_Free(control->client);
    Control_CloseSparePlanner(control);
    Control_CloseKeeper(control);
    Control_CloseLog(control);
    Peers_Free(control->peers);
    State_Free(control->state);
    StrMap_FreeAll(control->targets);
    Journal_Free(control->journal);
    Table_Free(control->proposals);
    free(control->peer_states);
    Signals_Free(control->signals);
    Loop_Free(control->loop);
    free(control);
}
