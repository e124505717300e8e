#include "jobctl_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_time.h>

#include "diag.h"
#include "jobfleetmsg.h"
#include "jobreload.h"
#include "mem.h"

#define TICK_MS 50
#define FLEET_MS 400
#define HTTP_IDLE_S 120
#define MAX_BODY_BYTES (4 * 1024 * 1024)
#define LINK_SILENCE_MS 1200
/* Connections to one target: a hold waits on one of them. */
#define HTTP_PER_TARGET 3
#define NODE_REPEAT_MS 1000
/* Turns of deciding and writing the log before the loop waits again. */
#define MAX_TURNS 4
#define CONFIRM_MS 250
#define SLOW_TURN_US 100000
/* Jobs and ends that come within this are placed together. */
#define PLACE_INTERVAL_US 8000

bool
JobControl_Serves(const JobControl *control)
{
    return control->leading_term != 0;
}

size_t
JobControl_VotersWanted(const JobControl *control)
{
    return (size_t)control->settings->disk_losses * 2 + 1;
}

size_t
JobControl_LeaderPeer(const JobControl *control)
{
    size_t peer = Peers_Find(control->peers, Replica_Leader(control->replica));

    return peer != SIZE_MAX && Peers_IsUp(control->peers, peer)
               ? peer
               : JOB_AGENT_NONE;
}

const char *
JobControl_LeaderAddress(const JobControl *control, char *text, size_t size)
{
    size_t peer = JobControl_LeaderPeer(control);

    if (peer == JOB_AGENT_NONE) {
        return NULL;
    }
    snprintf(text, size, "%s:%d",
             Peers_Hello(control->peers, peer)->address.host,
             control->settings->control.port);
    return text;
}

/* --- links --- */

static void
send_fleet(void *arg)
{
    JobControl_SendFleet(arg);
}

void
JobControl_SendFleet(JobControl *control)
{
    JobFleetMsg msg = {.term = Replica_Term(control->replica)};
    Buf body = BUF_INIT;
    size_t i;
    size_t leader = JobControl_LeaderPeer(control);

    msg.leader_ready = JobControl_Serves(control);
    if (msg.leader_ready) {
        msg.leader = control->settings->peer;
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
    JobFleetMsg_Encode(&msg, &body);
    for (i = 0; i < Peers_Count(control->peers); i++) {
        Peers_Send(control->peers, i, body.data, body.len);
    }
    Buf_Free(&body);
}

static void
on_up(void *arg, size_t peer, const PeerHello *hello)
{
    JobControl *control = arg;
    RaftMember member = {.identity = hello->identity};

    Slog_Begin(SLOG_CHANGE, "peer_up");
    Slog_Text("peer", hello->name);
    Slog_Text("address", hello->address.host);
    Slog_Int("disk", hello->identity != 0);
    Slog_End();
    if (hello->identity != 0) {
        snprintf(member.name, sizeof(member.name), "%s", hello->name);
        snprintf(member.data_centre, sizeof(member.data_centre), "%s",
                 hello->data_centre);
        Replica_OfferMember(control->replica, Loop_NowMs(), &member);
        JobAgents_Put(control->agents, peer, hello->data_centre);
        control->nodes_due = true;
    }
}

static void
on_down(void *arg, size_t peer)
{
    JobControl *control = arg;

    Slog_Begin(SLOG_CHANGE, "peer_down");
    Slog_Text("peer", Peers_Hello(control->peers, peer)->name);
    Slog_End();
    JobControl_AgentDown(control, peer);
}

static void
on_fleet(JobControl *control, const msgpack_object_array *message)
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
        Replica_Receive(control->replica, Loop_NowMs(),
                        Peers_Hello(control->peers, peer)->identity,
                        message->ptr[1].via.bin.ptr,
                        message->ptr[1].via.bin.size);
    }
    else if (type == PEER_FLEET) {
        on_fleet(control, message);
    }
    else if (type == PEER_JOB_REQUEST) {
        JobControl_OnJobRequest(control, peer, message);
    }
    else if (type == PEER_JOB_CALLS) {
        JobControl_OnCalls(control, peer, message);
    }
    else if (type == PEER_JOB_ANSWERS) {
        JobControl_OnAnswers(control, peer, message);
    }
    else if (type == PEER_JOB_ANNOUNCED) {
        JobControl_OnAnnounced(control, peer, message);
    }
    else if (type == PEER_JOB_REPLY) {
        JobControl_OnAnnounceReply(control, message);
    }
}

/* --- control nodes in the replicated state --- */

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
    JobCmd_Node(&command, &node);
    JobControl_Propose(control, &command, ignore_result, NULL);
    Buf_Free(&command);
}

static void
update_nodes(JobControl *control, int64_t now)
{
    size_t i;

    if (!control->nodes_due || now < control->node_ms) {
        return;
    }
    control->nodes_due = false;
    control->node_ms = now + NODE_REPEAT_MS;
    for (i = 0; i < JobState_NodeCount(control->state); i++) {
        SettingsAddress address;
        if (Settings_ParseAddress(JobState_NodeAt(control->state, i)->peer,
                                  &address)) {
            Peers_Add(control->peers, &address);
        }
    }
    if (!JobControl_Serves(control)) {
        return;
    }
    store_node(control, control->settings->name,
               control->settings->data_centre, &control->settings->peer);
    for (i = 0; i < Peers_Count(control->peers); i++) {
        const PeerHello *hello = Peers_Hello(control->peers, i);
        if (hello->identity != 0 && Peers_IsUp(control->peers, i)) {
            store_node(control, hello->name, hello->data_centre,
                       &hello->address);
        }
    }
}

/* --- time --- */

typedef struct Confirmation {
    JobControl *control;
    int64_t since_ms;
} Confirmation;

static void
on_confirmed(void *arg, Status status, JobResult result)
{
    Confirmation *asked = arg;

    (void)result;
    if (status == ST_OK) {
        JobFleet_ConfirmLeader(asked->control->fleet, asked->since_ms);
    }
    free(asked);
}

/* Asks a majority whether this node still leads, for orders to VMs. */
static void
confirm(JobControl *control, int64_t now)
{
    Confirmation *asked;

    if (!JobControl_Serves(control) || now < control->confirm_ms ||
        control->settings->vm_service.port == 0) {
        return;
    }
    control->confirm_ms = now + CONFIRM_MS;
    asked = Mem_New(1, sizeof(*asked));
    *asked = (Confirmation){control, now};
    JobControl_Read(control, on_confirmed, asked);
}

static void
on_tick(void *arg)
{
    JobControl *control = arg;
    int64_t now = Loop_NowMs();
    int64_t wall_ms = apr_time_as_msec(apr_time_now());

    LoopLag_Fired(&control->lag, now);
    Slog_SetTime(wall_ms, now);
    JobState_SetNow(control->state, now);
    JobControl_LogTick(control, now);
    update_nodes(control, now);
    JobSched_Tick(control->sched, now, wall_ms);
    JobControl_AgentTick(control, now);
    confirm(control, now);
    JobFleet_Tick(control->fleet, now, wall_ms);
    control->place_due = true;
}

/* The placement that is due runs in the turn before the next wait. */
static void
wake(void *arg)
{
    (void)arg;
}

/* A turn that takes long delays every call and may cost the leadership. */
static void
log_slow_turn(const JobControl *control, int64_t begun_us, int64_t place_us,
              int64_t flush_us)
{
    int64_t took_us = Loop_NowUs() - begun_us;

    if (took_us < SLOW_TURN_US &&
        begun_us - control->turn_us < 2 * SLOW_TURN_US) {
        return;
    }
    Slog_Begin(SLOG_FAILURE, "turn_slow");
    Slog_Int("took_us", took_us);
    Slog_Int("place_us", place_us);
    Slog_Int("flush_us", flush_us);
    Slog_Int("between_us", begun_us - control->turn_us);
    Slog_Int("jobs", (int64_t)JobState_JobCount(control->state));
    Slog_End();
}

/* Decides, writes the log and carries out before each wait of the loop. */
static bool
run_turn(void *arg)
{
    JobControl *control = arg;
    int64_t begun_us = Loop_NowUs();
    int64_t place_us = 0;
    int64_t flush_us = 0;
    int turn;

    for (turn = 0; turn < MAX_TURNS; turn++) {
        int64_t at_us = Loop_NowUs();
        if (control->place_due &&
            at_us - control->placed_us >= PLACE_INTERVAL_US) {
            control->place_due = false;
            JobSched_PlaceTasks(control->sched, at_us / 1000,
                                apr_time_as_msec(apr_time_now()));
            control->placed_us = Loop_NowUs();
            place_us += control->placed_us - at_us;
        }
        JobControl_TakeActions(control);
        at_us = Loop_NowUs();
        JobState_SetNow(control->state, at_us / 1000);
        JobState_SetCaughtUp(control->state,
                             Replica_CaughtUp(control->replica));
        Replica_Flush(control->replica, Loop_NowMs());
        flush_us += Loop_NowUs() - at_us;
        if (!control->place_due ||
            Loop_NowUs() - control->placed_us < PLACE_INTERVAL_US) {
            break;
        }
    }
    JobControl_TakeActions(control);
    JobControl_FlushAgents(control);
    Peers_Flush(control->peers);
    Slog_Flush();
    if (control->place_due) {
        Loop_Arm(control->place_timer, PLACE_INTERVAL_US / 1000, 0);
    }
    log_slow_turn(control, begun_us, place_us, flush_us);
    control->turn_us = Loop_NowUs();
    return false;
}

static void
on_stop(void *arg)
{
    JobControl *control = arg;

    Slog_Begin(SLOG_CHANGE, "stopping");
    Slog_Int("serves", JobControl_Serves(control));
    Slog_End();
    Loop_Stop(control->loop);
}

static void
on_reload(void *arg)
{
    JobControl *control = arg;

    JobReload_Read(control->settings_file, control->peers);
}

/* --- life --- */

static Status
open_network(JobControl *control, ErrCtx *err)
{
    const Settings *settings = control->settings;
    PeersOptions peers = {.settings = settings,
                          .identity = Replica_Identity(control->replica),
                          .incarnation = control->incarnation,
                          .open_membership = true,
                          .explicit_flush = true,
                          .silence_ms = LINK_SILENCE_MS,
                          .arg = control,
                          .on_up = on_up,
                          .on_down = on_down,
                          .on_message = on_message};
    HttpServerOptions server = {.address = settings->control,
                                .max_body_bytes = MAX_BODY_BYTES,
                                .idle_timeout_s = HTTP_IDLE_S,
                                .handler = JobControl_HandleHttp,
                                .arg = control};

    control->peers = Peers_New(control->loop, &peers, err);
    if (control->peers == NULL) {
        return ST_IO;
    }
    Peers_AddSeeds(control->peers, control->settings);
    control->nodes_due = true;
    control->client = HttpClient_New(control->loop, HTTP_PER_TARGET);
    control->server = HttpServer_New(control->loop, &server, err);
    if (control->server == NULL) {
        return ST_IO;
    }
    return JobControl_OpenMetrics(control, err);
}

static void
open_cores(JobControl *control)
{
    const Settings *settings = control->settings;
    JobSchedOptions sched = JOBSCHED_OPTIONS_DEFAULT;
    JobFleetOptions fleet = {.holder = settings->name,
                             .vm_lease_ms = settings->holder_lease_ms,
                             .list_interval_ms = 2000,
                             .move_ms = 1500};

    if (sched.lease_ms > settings->run_lease_ms) {
        sched.lease_ms = settings->run_lease_ms;
    }
    sched.stop_ms = settings->run_stop_ms;
    sched.announce_ms = settings->announce_ms;
    sched.status_retention_ms = settings->job_status_s * 1000;
    sched.early_start_ms = settings->job_early_ms;
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
    open_cores(control);
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
    control->tick = Loop_NewTimer(control->loop, on_tick, control);
    control->lag.period_ms = TICK_MS;
    Loop_Arm(control->tick, TICK_MS, TICK_MS);
    control->place_timer = Loop_NewTimer(control->loop, wake, control);
    control->fleet_timer = Loop_NewTimer(control->loop, send_fleet, control);
    Loop_Arm(control->fleet_timer, FLEET_MS, FLEET_MS);
    Loop_AddPoll(control->loop, run_turn, control);
    *out = control;
    return ST_OK;
}

void
JobControl_Run(JobControl *control)
{
    Loop_Run(control->loop);
}

void
JobControl_Free(JobControl *control)
{
    if (control == NULL) {
        return;
    }
    HttpClient_Free(control->client);
    if (control->replica != NULL) {
        JobControl_CloseLog(control);
    }
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
