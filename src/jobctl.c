#include "jobctl_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_time.h>

#include "diag.h"
#include "jobfleetmsg.h"
#include "jobreload.h"
#include "mem.h"
#include "rng.h"

#define TICK_INTERVAL_MS 50
#define FLEET_MSG_INTERVAL_MS 400
#define HTTP_IDLE_TIMEOUT_S 120
/* Sixteenths of the descriptors of the process for connections of operators
 * and targets. The rest is for peers, calls to targets and the log. */
#define CLIENT_SHARE 10
/* Interval of log lines on closed and refused clients. */
#define CLIENTS_LOG_INTERVAL_MS 5000
#define MAX_BODY_BYTES (4 * 1024 * 1024)
#define PEER_TIMEOUT_MS 1200
/* A waiting hold, which is a long poll of the target's lists of runs, occupies
 * one of the connections. */
#define MAX_CONNECTIONS_PER_TARGET 3
#define NODE_UPDATE_INTERVAL_MS 1000
/* Maximum number of rounds of placement and log writes before the event loop
 * waits again. */
#define MAX_PLACEMENT_ROUNDS 4
#define CONFIRM_INTERVAL_MS 250
/* Time after which a stopping leader does not wait for a successor. */
#define HANDOVER_TIMEOUT_MS 2000
/* Time for which the event loop continues after the last reply, to write it to
 * the socket. */
#define STOP_FLUSH_MS 150
#define SLOW_ITERATION_US 100000
/* Minimum interval between placements. Jobs and run ends that arrive within it
 * are handled by one placement. After a placement that took longer, the
 * interval is as long, which leaves half of the time for calls, ends and the
 * log. */
#define PLACE_INTERVAL_US 8000

bool
JobControl_IsServing(const JobControl *control)
{
    return control->serving_term != 0;
}

size_t
JobControl_GetDesiredVoterCount(const JobControl *control)
{
    return (size_t)control->settings->disk_losses * 2 + 1;
}

size_t
JobControl_FindLeaderPeer(const JobControl *control)
{
    size_t peer = Peers_FindByIdentity(control->peers,
                                       Replica_GetLeader(control->replica));

    return peer != SIZE_MAX && Peers_IsUp(control->peers, peer)
               ? peer
               : JOB_AGENT_NONE;
}

const char *
JobControl_GetLeaderAddress(const JobControl *control, char *text, size_t size)
{
    size_t peer = JobControl_FindLeaderPeer(control);

    if (peer == JOB_AGENT_NONE) {
        return NULL;
    }
    snprintf(text, size, "%s:%d",
             Peers_Hello(control->peers, peer)->address.host,
             control->settings->control.port);
    return text;
}

/* --- peers --- */

static void
on_fleet_msg_timer(void *arg)
{
    JobControl_BroadcastFleetMsg(arg);
}

/* Returns the limits for callers. They are read from the text of the
 * configuration, once for each version, because earlier versions of this node
 * may read the stored state. */
static const JobClientLimits *
get_limits(JobControl *control)
{
    const JobConfig *config = JobState_GetConfig(control->state);

    if (config->version != control->limits_version) {
        control->limits_version = config->version;
        control->wire->decode_client_limits(config->text, config->text_len,
                                            &control->limits);
    }
    return &control->limits;
}

/* Appends the message of this node to body. */
static void
encode_fleet_msg(JobControl *control, Buf *body)
{
    JobFleetMsg msg = {.term = Replica_GetTerm(control->replica)};
    size_t i;
    size_t leader = JobControl_FindLeaderPeer(control);

    msg.leader_ready = JobControl_IsServing(control);
    if (msg.leader_ready) {
        msg.leader = control->settings->peer;
        msg.limits = *get_limits(control);
    }
    else if (leader != JOB_AGENT_NONE) {
        msg.leader = Peers_Hello(control->peers, leader)->address;
    }
    for (i = 0; i < JobState_NodeCount(control->state) &&
                msg.node_count < JOB_FLEET_MAX_NODES;
         i++) {
        Settings_ParseAddress(JobState_NodeAt(control->state, i)->peer,
                              &msg.nodes[msg.node_count++]);
    }
    JobFleetMsg_Encode(&msg, body);
}

void
JobControl_BroadcastFleetMsg(JobControl *control)
{
    Buf body = BUF_INIT;
    size_t i;

    encode_fleet_msg(control, &body);
    for (i = 0; i < Peers_Count(control->peers); i++) {
        Peers_Send(control->peers, i, body.data, body.len);
    }
    Buf_Free(&body);
}

/* Tells a peer that has connected who leads, without waiting for the next
 * broadcast. */
static void
send_fleet_msg(JobControl *control, size_t peer)
{
    Buf body = BUF_INIT;

    encode_fleet_msg(control, &body);
    Peers_Send(control->peers, peer, body.data, body.len);
    Buf_Free(&body);
}

/* Tells the log of a control node that may become a voter. */
static void
record_node(JobControl *control, const PeerHello *hello)
{
    RaftMember member = {.identity = hello->identity};

    snprintf(member.name, sizeof(member.name), "%s", hello->name);
    snprintf(member.data_centre, sizeof(member.data_centre), "%s",
             hello->data_centre);
    Replica_RecordNode(control->replica, Loop_NowMs(), &member);
}

static void
on_peer_up(void *arg, size_t peer, const PeerHello *hello)
{
    JobControl *control = arg;

    Slog_Begin(SLOG_CHANGE, "peer_up");
    Slog_AddText("peer", hello->name);
    Slog_AddText("address", hello->address.host);
    Slog_AddInt("disk", hello->identity != 0);
    Slog_AddHex("identity", hello->identity);
    Slog_End();
    send_fleet_msg(control, peer);
    if (hello->identity != 0) {
        record_node(control, hello);
        JobAgents_Put(control->agents, peer, hello->data_centre);
        control->next_node_update_ms = 0;
    }
}

static void
on_peer_down(void *arg, size_t peer)
{
    JobControl *control = arg;

    Slog_Begin(SLOG_CHANGE, "peer_down");
    Slog_AddText("peer", Peers_Hello(control->peers, peer)->name);
    Slog_End();
    JobControl_HandleAgentDown(control, peer);
}

static void
handle_fleet_msg(JobControl *control, const msgpack_object_array *message)
{
    JobFleetMsg msg;
    size_t i;

    if (!JobFleetMsg_Decode(message, &msg)) {
        return;
    }
    for (i = 0; i < msg.node_count; i++) {
        Peers_Add(control->peers, &msg.nodes[i]);
    }
}

static void
on_message(void *arg, size_t peer, PeerMessageType type,
           const msgpack_object_array *message)
{
    JobControl *control = arg;

    if (type == PEER_RAFT && message->size == 2 &&
        message->ptr[1].type == MSGPACK_OBJECT_BIN) {
        Status status = Replica_HandleMessage(
            control->replica, Loop_NowMs(),
            Peers_Hello(control->peers, peer)->identity,
            message->ptr[1].via.bin.ptr, message->ptr[1].via.bin.size);

        control->refused_messages += status != ST_OK;
    }
    else if (type == PEER_FLEET) {
        handle_fleet_msg(control, message);
    }
    else if (type == PEER_JOB_REQUEST || type == PEER_JOB_CONTROL_REQUEST) {
        JobControl_HandleJobRequest(control, peer, type, message);
    }
    else if (type == PEER_JOB_CALLS) {
        JobControl_HandleDelegatedCalls(control, peer, message);
    }
    else if (type == PEER_JOB_ANSWERS) {
        JobControl_HandleAgentAnswers(control, peer, message);
    }
    else if (type == PEER_JOB_ANNOUNCED) {
        JobControl_HandleForwardedRequest(control, peer, message);
    }
    else if (type == PEER_JOB_REPLY) {
        JobControl_HandleAnnouncementReply(control, message);
    }
}

/* --- control nodes in the replicated state --- */

/* A row that was not stored is proposed again by the next update. */
static void
ignore_result(void *arg, Status status, JobResult result)
{
    (void)arg;
    (void)status;
    (void)result;
}

static void
store_node(JobControl *control, const char *name, const char *data_centre,
           const SettingsAddress *address)
{
    JobNode node = {{0}, {0}, {0}, {0}};
    Buf command = BUF_INIT;
    size_t i;

    snprintf(node.name, sizeof(node.name), "%s", name);
    snprintf(node.data_centre, sizeof(node.data_centre), "%s", data_centre);
    snprintf(node.peer, sizeof(node.peer), "%s:%d", address->host,
             address->port);
    snprintf(node.control, sizeof(node.control), "%s:%d", address->host,
             control->settings->control.port);
    for (i = 0; i < JobState_NodeCount(control->state); i++) {
        if (memcmp(JobState_NodeAt(control->state, i), &node, sizeof(node)) ==
            0) {
            return;
        }
    }
    JobCmd_EncodeNode(&command, &node);
    JobControl_Propose(control, &command, ignore_result, NULL);
    Buf_Free(&command);
}

/* Compares the rows of control nodes with the links of this node, and repairs
 * either. */
static void
update_nodes(JobControl *control, int64_t now)
{
    size_t i;

    if (now < control->next_node_update_ms) {
        return;
    }
    control->next_node_update_ms = now + NODE_UPDATE_INTERVAL_MS;
    for (i = 0; i < JobState_NodeCount(control->state); i++) {
        SettingsAddress address;
        if (Settings_ParseAddress(JobState_NodeAt(control->state, i)->peer,
                                  &address)) {
            Peers_Add(control->peers, &address);
        }
    }
    if (JobControl_IsServing(control)) {
        store_node(control, control->settings->name,
                   control->settings->data_centre, &control->settings->peer);
    }
    for (i = 0; i < Peers_Count(control->peers); i++) {
        const PeerHello *hello = Peers_Hello(control->peers, i);
        if (hello->identity == 0 || !Peers_IsUp(control->peers, i)) {
            continue;
        }
        record_node(control, hello);
        if (JobControl_IsServing(control)) {
            store_node(control, hello->name, hello->data_centre,
                       &hello->address);
        }
    }
}

/* --- planned stop --- */

static bool
has_pending_work(const JobControl *control)
{
    return control->proposals != NULL || control->queued_reads != NULL ||
           control->sent_reads != NULL;
}

/* Answers what is pending, hands over the leadership and stops the event
 * loop. */
static void
continue_stop(JobControl *control, int64_t now)
{
    int64_t elapsed_ms = now - control->stop_begun_ms;
    bool leads = Replica_GetRole(control->replica) == RAFT_LEADER;
    bool may_end = !leads && Replica_GetLeader(control->replica) != 0;

    if (control->stop_begun_ms == 0) {
        return;
    }
    if (elapsed_ms > control->settings->shutdown_grace_ms) {
        Loop_Stop(control->loop);
        return;
    }
    if (leads && has_pending_work(control)) {
        return;
    }
    if (leads) {
        may_end = Replica_TransferLeadership(control->replica) == ST_NOT_FOUND;
    }
    if (!may_end && elapsed_ms < HANDOVER_TIMEOUT_MS) {
        return;
    }
    if (control->idle_since_ms == 0) {
        control->idle_since_ms = now;
    }
    else if (now - control->idle_since_ms >= STOP_FLUSH_MS) {
        Loop_Stop(control->loop);
    }
}

/* --- timers and the event loop --- */

typedef struct Confirmation {
    JobControl *control;
    int64_t requested_ms;
} Confirmation;

static void
on_confirmed(void *arg, Status status, JobResult result)
{
    Confirmation *confirmation = arg;

    (void)result;
    if (status == ST_OK) {
        JobFleet_ConfirmLeader(confirmation->control->fleet,
                               confirmation->requested_ms);
    }
    free(confirmation);
}

/* Asks a majority to confirm that this node still leads. Orders for VMs
 * require a recent confirmation. */
static void
confirm_leadership(JobControl *control, int64_t now)
{
    Confirmation *confirmation;

    if (!JobControl_IsServing(control) || now < control->next_confirm_ms ||
        control->settings->vm_service.port == 0) {
        return;
    }
    control->next_confirm_ms = now + CONFIRM_INTERVAL_MS;
    confirmation = Mem_New(1, sizeof(*confirmation));
    *confirmation = (Confirmation){control, now};
    JobControl_ConfirmRead(control, on_confirmed, confirmation);
}

static void
log_stall(JobControl *control)
{
    LoopStallReport report;

    if (!LoopStall_Report(&control->stall, Loop_NowUs(), control->requests,
                          &report)) {
        return;
    }
    Slog_Begin(SLOG_FAILURE, "stall_ended");
    Slog_AddInt("stalled_ms", report.stalled_ms);
    Slog_AddInt("ago_ms", report.ago_ms);
    Slog_AddInt("requests", (int64_t)report.requests);
    Slog_End();
}

/* Sets the time of the lines about the events of this iteration. */
static void
on_wake(void *arg)
{
    (void)arg;
    Slog_SetTime(apr_time_as_msec(apr_time_now()), Loop_NowMs());
}

static void
log_clients(JobControl *control, int64_t now)
{
    if (now - control->clients_logged_ms >= CLIENTS_LOG_INTERVAL_MS) {
        control->clients_logged_ms = now;
        HttpServer_LogBudget(control->server, "control");
        HttpServer_LogBudget(control->metrics_server, "metrics");
    }
}

static void
on_tick(void *arg)
{
    JobControl *control = arg;
    int64_t now = Loop_NowMs();
    int64_t wall_ms = apr_time_as_msec(apr_time_now());

    LoopLag_RecordFiring(&control->tick_lag, now);
    JobState_SetNow(control->state, now);
    JobControl_TickLog(control, now);
    update_nodes(control, now);
    JobSched_Tick(control->sched, now, wall_ms);
    JobControl_TickAgents(control, now);
    confirm_leadership(control, now);
    JobFleet_Tick(control->fleet, now, wall_ms);
    continue_stop(control, now);
    log_stall(control);
    log_clients(control, now);
    JobControl_WatchVoters(control);
    JobControl_WatchConditions(control, now);
    control->placement_due = true;
}

/* Only wakes the event loop, so that run_iteration places the tasks. */
static void
on_place_timer(void *arg)
{
    (void)arg;
}

/* Logs a slow event loop iteration, which delays every call and may cause the
 * loss of leadership. */
static void
log_slow_iteration(const JobControl *control, int64_t begun_us,
                   int64_t place_us, int64_t flush_us)
{
    int64_t took_us = Loop_NowUs() - begun_us;

    if (took_us < SLOW_ITERATION_US &&
        (control->iteration_end_us == 0 ||
         begun_us - control->iteration_end_us < 2 * SLOW_ITERATION_US)) {
        return;
    }
    Slog_Begin(SLOG_FAILURE, "turn_slow");
    Slog_AddInt("took_us", took_us);
    Slog_AddInt("place_us", place_us);
    Slog_AddInt("flush_us", flush_us);
    Slog_AddInt("between_us", begun_us - control->iteration_end_us);
    Slog_AddInt("jobs", (int64_t)JobState_JobCount(control->state));
    Slog_End();
}

/* Places tasks, writes the log and carries out actions before each wait of the
 * event loop. */
static bool
run_iteration(void *arg)
{
    JobControl *control = arg;
    int64_t begun_us = Loop_NowUs();
    int64_t place_us = 0;
    int64_t flush_us = 0;
    int64_t took_us;
    int round;

    LoopStall_BeginIteration(&control->stall, begun_us);
    for (round = 0; round < MAX_PLACEMENT_ROUNDS; round++) {
        int64_t at_us = Loop_NowUs();
        if (control->placement_due && at_us >= control->next_placement_us) {
            control->placement_due = false;
            JobSched_PlaceTasks(control->sched, at_us / 1000,
                                apr_time_as_msec(apr_time_now()));
            took_us = Loop_NowUs() - at_us;
            place_us += took_us;
            control->next_placement_us =
                at_us + took_us +
                (took_us > PLACE_INTERVAL_US ? took_us : PLACE_INTERVAL_US);
        }
        JobControl_ExecuteActions(control);
        at_us = Loop_NowUs();
        JobState_SetNow(control->state, at_us / 1000);
        JobState_SetCaughtUp(control->state,
                             Replica_IsCaughtUp(control->replica));
        Replica_Flush(control->replica, Loop_NowMs());
        flush_us += Loop_NowUs() - at_us;
        if (!control->placement_due ||
            Loop_NowUs() < control->next_placement_us) {
            break;
        }
    }
    JobControl_ExecuteActions(control);
    JobControl_FlushAgentBatches(control);
    Peers_Flush(control->peers);
    Slog_Flush();
    if (control->placement_due) {
        int64_t wait_us = control->next_placement_us - Loop_NowUs();
        Loop_Arm(control->place_timer, wait_us > 0 ? wait_us / 1000 + 1 : 1,
                 0);
    }
    log_slow_iteration(control, begun_us, place_us, flush_us);
    control->iteration_end_us = Loop_NowUs();
    LoopStall_EndIteration(&control->stall, control->iteration_end_us,
                           control->requests);
    return false;
}

static void
on_stop(void *arg)
{
    JobControl *control = arg;

    if (control->stop_begun_ms != 0) {
        return;
    }
    Slog_Begin(SLOG_CHANGE, "stopping");
    Slog_AddInt("serves", JobControl_IsServing(control));
    Slog_End();
    if (!JobControl_IsServing(control)) {
        Loop_Stop(control->loop);
        return;
    }
    control->stop_begun_ms = Loop_NowMs();
    JobControl_StopServing(control);
}

static void
on_reload(void *arg)
{
    JobControl *control = arg;

    JobReload_ReloadSettings(control->settings_file, control->peers);
}

/* --- start and stop --- */

static Status
open_network(JobControl *control, ErrCtx *err)
{
    const Settings *settings = control->settings;
    PeersOptions peers = {.settings = settings,
                          .identity = Replica_GetIdentity(control->replica),
                          .incarnation = control->incarnation,
                          .open_membership = true,
                          .explicit_flush = true,
                          .silence_timeout_ms = PEER_TIMEOUT_MS,
                          .arg = control,
                          .on_up = on_peer_up,
                          .on_down = on_peer_down,
                          .on_message = on_message};
    HttpServerOptions server = {.address = settings->control,
                                .max_body_bytes = MAX_BODY_BYTES,
                                .idle_timeout_s = HTTP_IDLE_TIMEOUT_S,
                                .max_connections = HttpServer_LimitConnections(
                                    settings->max_connections, CLIENT_SHARE),
                                .max_open_bytes =
                                    (size_t)settings->max_open_bytes,
                                .handler = JobControl_HandleHttp,
                                .arg = control};

    control->peers = Peers_New(control->loop, &peers, err);
    if (control->peers == NULL) {
        return ST_IO;
    }
    Peers_AddSeeds(control->peers, control->settings);
    control->client =
        HttpClient_New(control->loop, MAX_CONNECTIONS_PER_TARGET);
    control->server = HttpServer_New(control->loop, &server, err);
    if (control->server == NULL) {
        return ST_IO;
    }
    return JobControl_OpenMetrics(control, err);
}

static void
open_scheduler(JobControl *control)
{
    const Settings *settings = control->settings;
    JobSchedOptions sched = JOBSCHED_OPTIONS_DEFAULT;
    JobFleetOptions fleet = {.holder = settings->name,
                             .vm_lease_ms = settings->holder_lease_ms,
                             .list_interval_ms = 2000,
                             .move_ms = 1500};

    sched.max_lease_ms = settings->run_lease_ms;
    if (sched.lease_ms > settings->run_lease_ms) {
        sched.lease_ms = settings->run_lease_ms;
    }
    sched.stop_ms = settings->run_stop_ms;
    sched.announce_ms = settings->announce_ms;
    sched.status_retention_ms = settings->job_status_s * 1000;
    sched.early_start_ms = settings->job_early_ms;
    sched.overload_control = settings->overload_control;
    sched.seed = Rng_SystemSeed();
    control->state = JobState_New();
    JobControl_OpenAgents(control);
    control->sched = JobSched_New(&sched, control->state);
    JobState_SetCaughtUp(control->state, false);
    control->fleet = JobFleet_New(&fleet, control->state, control->sched);
}

static Status
open_all(JobControl *control, ErrCtx *err)
{
    Status status;

    control->loop = Loop_New(err);
    if (control->loop == NULL) {
        return ST_IO;
    }
    control->signals =
        Signals_New(control->loop, on_stop, on_reload, control, err);
    if (control->signals == NULL) {
        return ST_IO;
    }
    open_scheduler(control);
    status = JobControl_OpenLog(control, err);
    return status == ST_OK ? open_network(control, err) : status;
}

Status
JobControl_New(const Settings *settings, const char *file, const JobWire *wire,
               JobControl **out, ErrCtx *err)
{
    JobControl *control = calloc(1, sizeof(*control));
    Status status;

    if (control == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "no memory for the control node");
    }
    control->settings = settings;
    control->space.max_bytes = (size_t)settings->max_job_bytes;
    control->settings_file = file;
    control->wire = wire;
    control->next_cookie = 1;
    control->incarnation = (uint64_t)apr_time_now();
    snprintf(control->control_address, sizeof(control->control_address),
             "%s:%d", settings->control.host, settings->control.port);
    status = open_all(control, err);
    if (status != ST_OK) {
        JobControl_Free(control);
        return status;
    }
    control->tick_timer = Loop_NewTimer(control->loop, on_tick, control);
    control->tick_lag.period_ms = TICK_INTERVAL_MS;
    Loop_Arm(control->tick_timer, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
    control->place_timer =
        Loop_NewTimer(control->loop, on_place_timer, control);
    control->fleet_msg_timer =
        Loop_NewTimer(control->loop, on_fleet_msg_timer, control);
    Loop_Arm(control->fleet_msg_timer, FLEET_MSG_INTERVAL_MS,
             FLEET_MSG_INTERVAL_MS);
    Loop_AddPrepareHook(control->loop, run_iteration, control);
    Loop_AddWakeHook(control->loop, on_wake, control);
    *out = control;
    return ST_OK;
}

Status
JobControl_Run(JobControl *control)
{
    Loop_Run(control->loop);
    return Replica_GetFailure(control->replica, NULL);
}

void
JobControl_Free(JobControl *control)
{
    if (control == NULL) {
        return;
    }
    HttpClient_Free(control->client);
    JobControl_CloseLog(control);
    JobControl_CloseAgents(control);
    HttpServer_Free(control->server);
    HttpServer_Free(control->metrics_server);
    free(control->metrics);
    Peers_Free(control->peers);
    JobFleet_Free(control->fleet);
    JobSched_Free(control->sched);
    JobState_Free(control->state);
    Signals_Free(control->signals);
    Loop_Free(control->loop);
    free(control);
}
