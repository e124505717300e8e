#include "jobentry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_time.h>

#include "condition.h"
#include "httpserver.h"
#include "jobcopies.h"
#include "jobfleetmsg.h"
#include "jobmetrics.h"
#include "jobnodes.h"
#include "jobreload.h"
#include "jobreplymsg.h"
#include "loop.h"
#include "mem.h"
#include "mppack.h"
#include "peer.h"
#include "rng.h"
#include "signals.h"
#include "slog.h"

#define TICK_INTERVAL_MS 100
#define HTTP_IDLE_TIMEOUT_S 60
#define PEER_TIMEOUT_MS 1200
/* Maximum age of the leader's last message for requests to be forwarded to
 * it. */
#define LEADER_TIMEOUT_MS 1500
/* Time that an election is expected to take after the loss of a leader.
 * Requests that arrive within it wait for the next leader; later ones are
 * refused at once. */
#define ELECTION_WAIT_MS 2000
/* A request without a leader fails after this wait, but not while an election
 * is expected. */
#define LEADER_WAIT_MS 1500
/* Timeout of a request that has no earlier deadline. */
#define REPLY_TIMEOUT_MS 2700
#define RETRY_DELAY_MS 1000
#define METRICS_IDLE_TIMEOUT_S 30
#define CHECK_MAX_BODY_BYTES 1024
/* For bodies and answers of health checks and scrapes. */
#define CHECK_MAX_OPEN_BYTES (1024 * 1024)
/* Interval of log lines on closed and refused clients. */
#define CLIENTS_LOG_INTERVAL_MS 5000
#define MS_PER_S 1000.0
/* Timeout of an operator's or a target's request. They ask another node after
 * a second, of which a tick and the way back are a part. */
#define CONTROL_TIMEOUT_MS 700
#define CONTROL_MAX_BODY_BYTES (4 * 1024 * 1024)
/* Longer documents are redirected to the leader. */
#define FORWARD_MAX_BODY_BYTES (64 * 1024)
/* Bytes that may wait for the link to the leader when a request is forwarded.
 * Further requests wait in the order of their length, and their bodies are not
 * copied. */
#define MAX_LINK_BYTES (128 * 1024)
/* Delay before the same leader is asked again. */
#define COPY_DELAY_MS 200
/* Time for which a node accepts requests after the start of a planned stop, so
 * that the load balancer notices that the node is not ready. */
#define STOP_ACCEPT_MS 3000
/* Time for which the event loop continues after the last reply, to write it to
 * the socket. */
#define STOP_FLUSH_MS 150

#define UNKNOWN_REASON "the outcome is not known; ask again"

/* A request that has no reply yet. */
typedef struct PendingRequest {
    HttpRequest *http;
    PeerMessageType type; /* type of the message that forwards it */
    JobRequestKind kind;
    char id[64]; /* last segment of the path, for log lines */
    int64_t received_ms;
    int64_t due_ms;
    size_t peer;          /* leader that has the request, or SIZE_MAX */
    size_t last_peer;     /* receiver of the last copy */
    int64_t last_copy_ms; /* time of the last copy */
    int64_t next_copy_ms; /* earliest time of the next copy */
    JobCopies copies;
    struct PendingRequest *next;
} PendingRequest;

struct JobEntry {
    const Settings *settings;
    const JobWire *wire;
    const char *settings_file;
    Loop *loop;
    Peers *peers;
    HttpServer *traffic; /* NULL if the settings have no such address */
    HttpServer *ready;
    HttpServer *control;
    HttpServer *metrics;
    Signals *signals;
    LoopTimer *tick;
    PendingRequest *requests;
    uint64_t next_sequence;
    uint64_t leader_term;
    size_t leader; /* index as a peer, or SIZE_MAX */
    int64_t leader_heard_ms;
    int64_t leader_lost_ms; /* time of the start, or of the loss of the last
                             * leader */
    JobNodes *nodes;
    Condition leader_unknown;
    int64_t clients_logged_ms;
    bool link_full; /* a request waits for room on the link to the leader */
    bool was_ready;
    int64_t stop_begun_ms; /* start of the planned stop, or 0 */
    int64_t idle_since_ms; /* during a planned stop, time since which no
                            * request is pending, or 0 */
};

static bool
has_leader(const JobEntry *entry)
{
    return entry->leader != SIZE_MAX &&
           Peers_IsUp(entry->peers, entry->leader) &&
           Loop_NowMs() - entry->leader_heard_ms < LEADER_TIMEOUT_MS;
}

static bool
can_forward(const JobEntry *entry)
{
    return has_leader(entry) && Peers_HasLink(entry->peers, entry->leader) &&
           Peers_GetQueuedBytes(entry->peers, entry->leader) < MAX_LINK_BYTES;
}

static JobRequestKind
get_request_kind(const char *method)
{
    if (strcmp(method, "POST") == 0) {
        return JOB_REQUEST_SUBMIT;
    }
    return strcmp(method, "DELETE") == 0 ? JOB_REQUEST_CANCEL
                                         : JOB_REQUEST_STATE;
}

static void
unlink_request(JobEntry *entry, PendingRequest *request)
{
    PendingRequest **at = &entry->requests;

    while (*at != request) {
        at = &(*at)->next;
    }
    *at = request->next;
}

static const char *
get_peer_name(const JobEntry *entry, size_t peer)
{
    return peer != SIZE_MAX ? Peers_Hello(entry->peers, peer)->name : "";
}

/* Answers the caller. replier is the peer that sent the reply, or SIZE_MAX if
 * it is the entry VM's own. */
static void
finish_request(JobEntry *entry, PendingRequest *request,
               const JobReplyMsg *msg, size_t replier)
{
    if (msg->status >= 300) {
        Slog_Begin(SLOG_FAILURE, "caller_answered");
        Slog_AddText("id", request->id);
        Slog_AddInt("sequence", (int64_t)msg->sequence);
        Slog_AddInt("status", msg->status);
        Slog_AddInt("took_ms", Loop_NowMs() - request->received_ms);
        Slog_AddInt("passed_on", request->copies.sent > 0);
        Slog_AddInt("copies", (int64_t)request->copies.sent);
        Slog_AddText("replier", get_peer_name(entry, replier));
        Slog_AddInt("term", (int64_t)entry->leader_term);
        Slog_AddInt("leader_age_ms", Loop_NowMs() - entry->leader_heard_ms);
        Slog_End();
    }
    JobReplyMsg_SendHttp(msg, request->http);
    unlink_request(entry, request);
    free(request);
}

static void
reply_and_finish(JobEntry *entry, PendingRequest *request, JobReplyKind kind,
                 const char *reason)
{
    JobReply reply = {
        .kind = kind, .reason = reason, .retry_ms = RETRY_DELAY_MS};
    Buf body = BUF_INIT;
    int status = entry->wire->encode_reply(request->kind, &reply, &body);
    JobReplyMsg msg = {0, status,
                       kind == JOB_REPLY_UNAVAILABLE ? RETRY_DELAY_MS : 0,
                       body.data, body.len};

    finish_request(entry, request, &msg, SIZE_MAX);
    Buf_Free(&body);
}

/* Tells the caller that the outcome is unknown, or, if every copy was refused
 * or none was sent, that the request is refused for a reason. */
static void
fail_request(JobEntry *entry, PendingRequest *request, const char *reason)
{
    if (JobCopies_MayBeDone(&request->copies)) {
        reply_and_finish(entry, request, JOB_REPLY_UNKNOWN, UNKNOWN_REASON);
    }
    else {
        reply_and_finish(entry, request, JOB_REPLY_UNAVAILABLE, reason);
    }
}

static void
log_resent_request(const JobEntry *entry, const PendingRequest *request,
                   uint64_t sequence)
{
    Slog_Begin(SLOG_CHANGE, "request_resent");
    Slog_AddText("id", request->id);
    Slog_AddInt("sequence", (int64_t)sequence);
    Slog_AddInt("copies", (int64_t)request->copies.sent);
    Slog_AddText("leader", get_peer_name(entry, entry->leader));
    Slog_AddInt("term", (int64_t)entry->leader_term);
    Slog_AddInt("age_ms", Loop_NowMs() - request->received_ms);
    Slog_End();
}

/* Returns the text with the caller's key, which is forwarded as it is, or
 * NULL. */
static const char *
get_key_text(const JobEntry *entry, const PendingRequest *request)
{
    return request->type == PEER_JOB_REQUEST
               ? HttpRequest_GetHeader(request->http, entry->wire->key_header)
               : NULL;
}

static void
forward_request(JobEntry *entry, PendingRequest *request)
{
    Buf frame = BUF_INIT;
    msgpack_packer packer;
    const char *host = HttpRequest_GetHeader(request->http, "Host");
    const char *path = HttpRequest_GetPath(request->http);
    const char *key_text = get_key_text(entry, request);
    size_t len;
    const char *body = HttpRequest_GetBody(request->http, &len);
    uint64_t sequence = entry->next_sequence++;

    host = host != NULL ? host : "";
    msgpack_packer_init(&packer, &frame, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, key_text != NULL ? 7 : 6);
    msgpack_pack_int(&packer, (int)request->type);
    msgpack_pack_uint64(&packer, sequence);
    MpPack_Text(&packer, HttpRequest_GetMethod(request->http));
    msgpack_pack_bin_with_body(&packer, host, strcspn(host, ":"));
    MpPack_Text(&packer, path);
    msgpack_pack_bin_with_body(&packer, body, len);
    if (key_text != NULL) {
        MpPack_Text(&packer, key_text);
    }
    request->peer = entry->leader;
    request->last_peer = entry->leader;
    request->last_copy_ms = Loop_NowMs();
    JobCopies_Add(&request->copies, sequence, entry->leader);
    Peers_Send(entry->peers, entry->leader, frame.data, frame.len);
    Buf_Free(&frame);
    if (request->copies.sent > 1) {
        log_resent_request(entry, request, sequence);
    }
}

/* Answers a request with a redirect to the leader. */
static void
redirect_request(JobEntry *entry, PendingRequest *request)
{
    char leader[JOB_ADDRESS_BYTES];

    snprintf(leader, sizeof(leader), "%s:%d",
             Peers_Hello(entry->peers, entry->leader)->address.host,
             entry->settings->control.port);
    Slog_Begin(SLOG_ROUTINE, "request_redirected");
    Slog_AddText("method", HttpRequest_GetMethod(request->http));
    Slog_AddText("path", HttpRequest_GetPath(request->http));
    Slog_AddText("leader", leader);
    Slog_AddInt("leads", 0);
    Slog_End();
    JobReplyMsg_RedirectHttp(request->http, leader);
    unlink_request(entry, request);
    free(request);
}

static size_t
get_body_len(const PendingRequest *request)
{
    size_t len;

    HttpRequest_GetBody(request->http, &len);
    return len;
}

/* Returns whether a request is redirected instead of forwarded, so that a long
 * document passes the link of the entry VM only once. */
static bool
is_redirected(const PendingRequest *request)
{
    return request->type == PEER_JOB_CONTROL_REQUEST &&
           (request->kind == JOB_REQUEST_GET_CONFIG ||
            get_body_len(request) > FORWARD_MAX_BODY_BYTES);
}

/* A redirect needs no link to the leader. */
static bool
can_pass_to_leader(const JobEntry *entry, const PendingRequest *request)
{
    return is_redirected(request) ? has_leader(entry) : can_forward(entry);
}

static void
pass_to_leader(JobEntry *entry, PendingRequest *request)
{
    if (is_redirected(request)) {
        redirect_request(entry, request);
    }
    else {
        forward_request(entry, request);
    }
}

/* Returns the timeout of a caller's request: nine tenths of its deadline, at
 * most REPLY_TIMEOUT_MS. */
static int64_t
get_timeout_ms(const HttpRequest *http)
{
    const char *header = HttpRequest_GetHeader(http, "X-Deadline-Ms");
    int64_t limit = header != NULL ? strtoll(header, NULL, 10) * 9 / 10 : 0;

    return limit > 0 && limit < REPLY_TIMEOUT_MS ? limit : REPLY_TIMEOUT_MS;
}

/* Returns whether a planned stop has lasted longer than its grace. */
static bool
is_grace_over(const JobEntry *entry)
{
    return entry->stop_begun_ms != 0 && Loop_NowMs() - entry->stop_begun_ms >
                                            entry->settings->shutdown_grace_ms;
}

/* Forwards a request to the leader, or lets it wait for one. */
static void
accept_request(JobEntry *entry, HttpRequest *http, PeerMessageType type,
               JobRequestKind kind, int64_t timeout_ms)
{
    PendingRequest *request = Mem_New(1, sizeof(*request));
    const char *path = HttpRequest_GetPath(http);
    const char *id = strrchr(path, '/');

    request->http = http;
    request->type = type;
    request->kind = kind;
    request->received_ms = Loop_NowMs();
    request->due_ms = request->received_ms + timeout_ms;
    request->peer = SIZE_MAX;
    snprintf(request->id, sizeof(request->id), "%s", id != NULL ? id + 1 : "");
    request->next = entry->requests;
    entry->requests = request;
    if (is_grace_over(entry)) {
        reply_and_finish(entry, request, JOB_REPLY_UNAVAILABLE, "stopping");
    }
    else if (can_pass_to_leader(entry, request)) {
        pass_to_leader(entry, request);
    }
    else if (has_leader(entry)) {
        entry->link_full = true;
    }
    else if (request->received_ms - entry->leader_lost_ms > ELECTION_WAIT_MS) {
        reply_and_finish(entry, request, JOB_REPLY_UNAVAILABLE,
                         "no leader is known");
    }
}

static void
handle_request(void *arg, HttpRequest *http)
{
    accept_request(arg, http, PEER_JOB_REQUEST,
                   get_request_kind(HttpRequest_GetMethod(http)),
                   get_timeout_ms(http));
}

static void
handle_control_request(void *arg, HttpRequest *http)
{
    JobEntry *entry = arg;
    JobRequestKind kind = entry->wire->get_control_kind(
        HttpRequest_GetMethod(http), HttpRequest_GetPath(http));

    accept_request(entry, http, PEER_JOB_CONTROL_REQUEST, kind,
                   CONTROL_TIMEOUT_MS);
}

static bool
is_ready(const JobEntry *entry)
{
    return has_leader(entry) && entry->stop_begun_ms == 0;
}

static void
handle_readiness_check(void *arg, HttpRequest *http)
{
    JobEntry *entry = arg;

    if (strcmp(HttpRequest_GetPath(http), entry->wire->ready_path) != 0) {
        HttpRequest_ReplyText(http, 404, "text/plain", "no such page\n");
        return;
    }
    HttpRequest_ReplyText(http, is_ready(entry) ? 200 : 503, "text/plain",
                          is_ready(entry) ? "ready\n" : "not ready\n");
}

/* --- peers --- */

/* Lists the control nodes that are up, and the leader if it is known. */
static void
fill_fleet_msg(const JobEntry *entry, JobFleetMsg *msg)
{
    size_t i;

    memset(msg, 0, sizeof(*msg));
    msg->term = entry->leader_term;
    if (has_leader(entry)) {
        msg->leader = Peers_Hello(entry->peers, entry->leader)->address;
    }
    for (i = 0; i < Peers_Count(entry->peers) &&
                msg->node_count < JOB_FLEET_MAX_NODES;
         i++) {
        const PeerHello *hello = Peers_Hello(entry->peers, i);
        if (hello->identity != 0 && Peers_IsUp(entry->peers, i)) {
            msg->nodes[msg->node_count++] = hello->address;
        }
    }
}

/* Sends the addresses of the control nodes to a peer, so that a node whose
 * seeds are entry VMs finds them. */
static void
send_control_nodes(JobEntry *entry, size_t peer)
{
    JobFleetMsg msg;
    Buf body = BUF_INIT;

    fill_fleet_msg(entry, &msg);
    JobFleetMsg_Encode(&msg, &body);
    Peers_Send(entry->peers, peer, body.data, body.len);
    Buf_Free(&body);
}

static void
exchange_control_nodes(JobEntry *entry, int64_t now)
{
    size_t i;

    if (!JobNodes_BeginRound(entry->nodes, now, has_leader(entry))) {
        return;
    }
    for (i = 0; i < Peers_Count(entry->peers); i++) {
        if (JobNodes_Take(entry->nodes, i)) {
            send_control_nodes(entry, i);
        }
    }
}

static void
on_peer_up(void *arg, size_t peer, const PeerHello *hello)
{
    JobEntry *entry = arg;

    send_control_nodes(entry, peer);
    Slog_Begin(SLOG_CHANGE, "peer_up");
    Slog_AddText("peer", hello->name);
    Slog_End();
}

/* Clears the leader. Requests are idempotent, so pending ones are sent again
 * to the next leader. */
static void
clear_leader(JobEntry *entry)
{
    PendingRequest *request;

    entry->leader = SIZE_MAX;
    entry->leader_lost_ms = Loop_NowMs();
    for (request = entry->requests; request != NULL; request = request->next) {
        request->peer = SIZE_MAX;
    }
}

static void
lose_copies(JobEntry *entry, size_t peer)
{
    PendingRequest *request = entry->requests;

    while (request != NULL) {
        PendingRequest *next = request->next;
        JobCopiesVerdict verdict = JobCopies_LosePeer(&request->copies, peer);
        if (verdict == JOB_COPIES_UNKNOWN) {
            reply_and_finish(entry, request, JOB_REPLY_UNKNOWN,
                             UNKNOWN_REASON);
        }
        else if (verdict == JOB_COPIES_RESEND) {
            request->peer = SIZE_MAX;
        }
        request = next;
    }
}

static void
on_peer_down(void *arg, size_t peer)
{
    JobEntry *entry = arg;

    Slog_Begin(SLOG_CHANGE, "peer_down");
    Slog_AddText("peer", Peers_Hello(entry->peers, peer)->name);
    Slog_AddInt("leader", peer == entry->leader);
    Slog_End();
    if (peer == entry->leader) {
        clear_leader(entry);
    }
    lose_copies(entry, peer);
}

/* Pending requests are sent again on the next link. */
static void
on_link_lost(void *arg, size_t peer)
{
    JobEntry *entry = arg;
    PendingRequest *request;

    for (request = entry->requests; request != NULL; request = request->next) {
        if (request->peer == peer) {
            request->peer = SIZE_MAX;
        }
    }
    lose_copies(entry, peer);
}

/* Returns whether the next copy of a request is to be sent now. An entry VM
 * that resumes after a pause finds links that have ended since; without the
 * delay, each would cost a copy of each request. */
static bool
is_copy_due(const JobEntry *entry, const PendingRequest *request, int64_t now)
{
    return request->peer == SIZE_MAX && now >= request->next_copy_ms &&
           (request->copies.sent == 0 || request->last_peer != entry->leader ||
            now >= request->last_copy_ms + COPY_DELAY_MS);
}

/* Returns whether a waiting request goes before another one: the shorter one,
 * so that long bodies do not delay the many short ones, or else the earlier
 * one. */
static bool
goes_before(const PendingRequest *a, const PendingRequest *b)
{
    size_t a_len = get_body_len(a);
    size_t b_len = get_body_len(b);

    return a_len != b_len ? a_len < b_len : a->received_ms < b->received_ms;
}

/* Returns the request whose next copy is due and goes first, or NULL. */
static PendingRequest *
find_next_due(const JobEntry *entry, int64_t now)
{
    PendingRequest *first = NULL;
    PendingRequest *request;

    for (request = entry->requests; request != NULL; request = request->next) {
        if (is_copy_due(entry, request, now) &&
            can_pass_to_leader(entry, request) &&
            (first == NULL || goes_before(request, first))) {
            first = request;
        }
    }
    return first;
}

static void
forward_waiting_requests(JobEntry *entry, int64_t now)
{
    PendingRequest *request;

    while ((request = find_next_due(entry, now)) != NULL) {
        pass_to_leader(entry, request);
    }
    entry->link_full = has_leader(entry) && !can_forward(entry);
}

/* Applies the limits of the leader's configuration to callers. */
static void
apply_limits(JobEntry *entry, const JobClientLimits *limits)
{
    HttpLimits http = {.max_header_bytes = limits->max_header_bytes,
                       .max_body_bytes = limits->max_body_bytes,
                       .header_timeout_ms = limits->header_timeout_ms,
                       .body_timeout_ms = limits->idle_timeout_ms};

    if (entry->traffic != NULL) {
        HttpServer_SetLimits(entry->traffic, &http);
    }
}

static void
handle_fleet_msg(JobEntry *entry, size_t peer,
                 const msgpack_object_array *message)
{
    JobFleetMsg msg;
    JobFleetMsg known;
    size_t i;

    if (!JobFleetMsg_Decode(message, &msg)) {
        return;
    }
    for (i = 0; i < msg.node_count; i++) {
        Peers_Add(entry->peers, &msg.nodes[i]);
    }
    fill_fleet_msg(entry, &known);
    if (JobNodes_IsQuestion(&msg, &known)) {
        JobNodes_RecordQuestion(entry->nodes, peer);
    }
    if (!msg.leader_ready) {
        if (peer == entry->leader) {
            clear_leader(entry);
        }
        return;
    }
    if (msg.term < entry->leader_term) {
        return; /* The sender no longer leads but does not know it yet. */
    }
    if (msg.term > entry->leader_term || entry->leader != peer) {
        clear_leader(entry);
        Slog_Begin(SLOG_CHANGE, "leader_seen");
        Slog_AddText("leader", Peers_Hello(entry->peers, peer)->name);
        Slog_AddInt("term", (int64_t)msg.term);
        Slog_End();
    }
    entry->leader_term = msg.term;
    entry->leader = peer;
    entry->leader_heard_ms = Loop_NowMs();
    apply_limits(entry, &msg.limits);
    forward_waiting_requests(entry, entry->leader_heard_ms);
}

static void
log_unmatched_reply(const JobEntry *entry, size_t peer, const JobReplyMsg *msg)
{
    Slog_Begin(SLOG_CHANGE, "reply_unmatched");
    Slog_AddInt("sequence", (int64_t)msg->sequence);
    Slog_AddInt("status", msg->status);
    Slog_AddText("replier", get_peer_name(entry, peer));
    Slog_End();
}

static void
log_withheld_reply(const JobEntry *entry, const PendingRequest *request,
                   size_t peer, const JobReplyMsg *msg)
{
    Slog_Begin(SLOG_CHANGE, "reply_withheld");
    Slog_AddText("id", request->id);
    Slog_AddInt("sequence", (int64_t)msg->sequence);
    Slog_AddInt("status", msg->status);
    Slog_AddText("replier", get_peer_name(entry, peer));
    Slog_AddInt("copies", (int64_t)request->copies.sent);
    Slog_End();
}

static PendingRequest *
find_request(const JobEntry *entry, uint64_t sequence)
{
    PendingRequest *request = entry->requests;

    while (request != NULL && !JobCopies_Has(&request->copies, sequence)) {
        request = request->next;
    }
    return request;
}

static void
handle_reply(JobEntry *entry, size_t peer, const msgpack_object_array *message)
{
    JobReplyMsg msg;
    PendingRequest *request;

    if (!JobReplyMsg_Decode(message, &msg)) {
        return;
    }
    request = find_request(entry, msg.sequence);
    if (request == NULL) {
        log_unmatched_reply(entry, peer, &msg);
        return;
    }
    switch (JobCopies_Settle(&request->copies, request->kind, msg.sequence,
                             msg.status, peer == entry->leader)) {
    case JOB_COPIES_ANSWER:
        finish_request(entry, request, &msg, peer);
        return;
    case JOB_COPIES_UNKNOWN:
        reply_and_finish(entry, request, JOB_REPLY_UNKNOWN, UNKNOWN_REASON);
        return;
    case JOB_COPIES_RESEND:
        request->peer = SIZE_MAX;
        request->next_copy_ms =
            Loop_NowMs() + (peer == entry->leader ? COPY_DELAY_MS : 0);
        break;
    case JOB_COPIES_WAIT:
        break;
    }
    log_withheld_reply(entry, request, peer, &msg);
    forward_waiting_requests(entry, Loop_NowMs());
}

static void
on_message(void *arg, size_t peer, PeerMessageType type,
           const msgpack_object_array *message)
{
    JobEntry *entry = arg;

    if (type == PEER_FLEET) {
        handle_fleet_msg(entry, peer, message);
    }
    else if (type == PEER_JOB_REPLY) {
        handle_reply(entry, peer, message);
    }
}

/* --- timers and the event loop --- */

static void
expire_requests(JobEntry *entry, int64_t now)
{
    PendingRequest *request = entry->requests;

    while (request != NULL) {
        PendingRequest *next = request->next;
        if (now >= request->due_ms ||
            (request->peer == SIZE_MAX && !has_leader(entry) &&
             now - request->received_ms >= LEADER_WAIT_MS &&
             now - entry->leader_lost_ms >= ELECTION_WAIT_MS)) {
            fail_request(entry, request,
                         has_leader(entry) ? "too many requests wait"
                                           : "no leader is known");
        }
        request = next;
    }
}

/* Stops the event loop once all requests have a reply. Requests that are left
 * at the end of the shutdown grace period fail. */
static void
continue_stop(JobEntry *entry, int64_t now)
{
    int64_t elapsed_ms = now - entry->stop_begun_ms;

    if (entry->stop_begun_ms == 0 || elapsed_ms <= STOP_ACCEPT_MS) {
        return;
    }
    while (entry->requests != NULL && is_grace_over(entry)) {
        fail_request(entry, entry->requests, "stopping");
    }
    if (entry->requests != NULL) {
        entry->idle_since_ms = 0;
    }
    else if (entry->idle_since_ms == 0) {
        entry->idle_since_ms = now;
    }
    else if (now - entry->idle_since_ms >= STOP_FLUSH_MS) {
        Loop_Stop(entry->loop);
    }
}

static size_t
count_control_nodes_up(const JobEntry *entry)
{
    JobFleetMsg msg;

    fill_fleet_msg(entry, &msg);
    return msg.node_count;
}

/* Logs that no leader is known while it lasts, and reads the settings again
 * then: their seeds may have changed without a signal. */
static void
watch_leader(JobEntry *entry, int64_t now)
{
    int64_t lasted_ms;
    ConditionReport report = Condition_Update(&entry->leader_unknown, now,
                                              !has_leader(entry), &lasted_ms);

    if (report == CONDITION_SILENT) {
        return;
    }
    Slog_Begin(report == CONDITION_ENDED ? SLOG_CHANGE : SLOG_FAILURE,
               report == CONDITION_ENDED ? "leader_known" : "leader_unknown");
    Slog_AddInt("lasted_ms", lasted_ms);
    Slog_AddInt("term", (int64_t)entry->leader_term);
    Slog_AddInt("control_nodes_up", (int64_t)count_control_nodes_up(entry));
    Slog_End();
    if (report == CONDITION_LASTS) {
        JobReload_ReloadSettings(entry->settings_file, entry->peers);
    }
}

static void
log_clients(JobEntry *entry, int64_t now)
{
    if (now - entry->clients_logged_ms >= CLIENTS_LOG_INTERVAL_MS) {
        entry->clients_logged_ms = now;
        HttpServer_LogBudget(entry->traffic, "traffic");
        HttpServer_LogBudget(entry->control, "control");
        HttpServer_LogBudget(entry->ready, "ready");
        HttpServer_LogBudget(entry->metrics, "metrics");
    }
}

static void
on_tick(void *arg)
{
    JobEntry *entry = arg;
    int64_t now = Loop_NowMs();
    bool ready = is_ready(entry);

    Slog_SetTime(apr_time_as_msec(apr_time_now()), now);
    if (ready != entry->was_ready) {
        entry->was_ready = ready;
        Slog_Begin(SLOG_CHANGE, "ready_changed");
        Slog_AddInt("ready", ready);
        Slog_AddInt("term", (int64_t)entry->leader_term);
        Slog_End();
    }
    log_clients(entry, now);
    watch_leader(entry, now);
    exchange_control_nodes(entry, now);
    forward_waiting_requests(entry, now);
    expire_requests(entry, now);
    continue_stop(entry, now);
}

static bool
run_iteration(void *arg)
{
    JobEntry *entry = arg;

    Peers_Flush(entry->peers);
    while (entry->link_full && can_forward(entry)) {
        forward_waiting_requests(entry, Loop_NowMs());
        Peers_Flush(entry->peers);
    }
    Slog_Flush();
    return false;
}

static void
on_stop(void *arg)
{
    JobEntry *entry = arg;

    if (entry->stop_begun_ms == 0) {
        entry->stop_begun_ms = Loop_NowMs();
        Slog_Begin(SLOG_CHANGE, "stopping");
        Slog_End();
    }
}

static void
on_reload(void *arg)
{
    JobEntry *entry = arg;

    JobReload_ReloadSettings(entry->settings_file, entry->peers);
}

/* --- metrics --- */

static void
handle_scrape(void *arg, HttpRequest *http)
{
    static const JobMetric written[] = {JOB_METRIC_READY,
                                        JOB_METRIC_TERM,
                                        JOB_METRIC_PEERS_UP,
                                        JOB_METRIC_LEADER_UNKNOWN_SECONDS,
                                        JOB_METRIC_REQUESTS_PENDING,
                                        JOB_METRIC_LINKS_REFUSED,
                                        JOB_METRIC_CLIENT_CONNECTIONS,
                                        JOB_METRIC_CLIENT_BYTES,
                                        JOB_METRIC_CLOSED_CONNECTIONS,
                                        JOB_METRIC_CLOSED_BYTES,
                                        JOB_METRIC_CLOSED_IDLE,
                                        JOB_METRIC_REFUSED_TOO_LARGE,
                                        JOB_METRIC_REFUSED_BUSY};
    JobEntry *entry = arg;
    JobMetrics *metrics = Mem_New(1, sizeof(*metrics));
    const PendingRequest *request;
    Buf page = BUF_INIT;
    size_t i;

    metrics->values[JOB_METRIC_READY] = is_ready(entry);
    metrics->values[JOB_METRIC_TERM] = (double)entry->leader_term;
    metrics->values[JOB_METRIC_LEADER_UNKNOWN_SECONDS] =
        (double)Condition_GetAgeMs(&entry->leader_unknown, Loop_NowMs()) /
        MS_PER_S;
    for (i = 0; i < Peers_Count(entry->peers); i++) {
        metrics->values[JOB_METRIC_PEERS_UP] += Peers_IsUp(entry->peers, i);
    }
    for (request = entry->requests; request != NULL; request = request->next) {
        metrics->values[JOB_METRIC_REQUESTS_PENDING]++;
    }
    metrics->values[JOB_METRIC_LINKS_REFUSED] =
        (double)Peers_CountRefusedLinks(entry->peers);
    JobMetrics_AddClients(metrics, HttpServer_GetBudget(entry->traffic));
    JobMetrics_AddClients(metrics, HttpServer_GetBudget(entry->control));
    JobMetrics_WriteGauges(metrics, written,
                           sizeof(written) / sizeof(written[0]), &page);
    HttpRequest_ReplyText(http, 200, "text/plain; version=0.0.4",
                          Buf_Text(&page));
    Buf_Free(&page);
    free(metrics);
}

/* --- start and stop --- */

/* Opens a server unless the settings have no address for it. */
static Status
open_server(JobEntry *entry, const HttpServerOptions *options,
            HttpServer **server, ErrCtx *err)
{
    if (options->address.port == 0) {
        return ST_OK;
    }
    *server = HttpServer_New(entry->loop, options, err);
    return *server != NULL ? ST_OK : ST_IO;
}

/* Sixteenths of the descriptors of a process for the connections of callers,
 * or else of operators and targets, and for those of health checks and
 * scrapes. An entry VM that has both addresses halves the first share. */
#define CLIENT_SHARE 12
#define CHECK_SHARE 1

/* Returns the options of the server of callers or of operators and targets. */
static HttpServerOptions
get_client_options(JobEntry *entry, const SettingsAddress *address)
{
    const Settings *settings = entry->settings;
    bool both = settings->traffic.port != 0 && settings->control.port != 0;
    HttpServerOptions options = {
        .address = *address,
        .idle_timeout_s = HTTP_IDLE_TIMEOUT_S,
        .max_connections = HttpServer_LimitConnections(
            settings->max_connections, both ? CLIENT_SHARE / 2 : CLIENT_SHARE),
        .max_open_bytes = (size_t)settings->max_open_bytes,
        .arg = entry};

    return options;
}

/* Returns the options of a server of health checks or scrapes. */
static HttpServerOptions
get_check_options(JobEntry *entry, const SettingsAddress *address,
                  HttpHandler handler)
{
    HttpServerOptions options = {
        .address = *address,
        .max_body_bytes = CHECK_MAX_BODY_BYTES,
        .idle_timeout_s = METRICS_IDLE_TIMEOUT_S,
        .max_connections =
            HttpServer_LimitConnections(HTTP_FEW_CONNECTIONS, CHECK_SHARE),
        .max_open_bytes = CHECK_MAX_OPEN_BYTES,
        .handler = handler,
        .arg = entry};

    return options;
}

static Status
open_servers(JobEntry *entry, ErrCtx *err)
{
    const Settings *settings = entry->settings;
    HttpServerOptions traffic = get_client_options(entry, &settings->traffic);
    HttpServerOptions control = get_client_options(entry, &settings->control);
    HttpServerOptions ready =
        get_check_options(entry, &settings->ready, handle_readiness_check);
    HttpServerOptions metrics =
        get_check_options(entry, &settings->metrics, handle_scrape);
    Status status;

    traffic.max_body_bytes = (size_t)settings->max_body_bytes;
    traffic.handler = handle_request;
    control.max_body_bytes = CONTROL_MAX_BODY_BYTES;
    control.handler = handle_control_request;
    ready.idle_timeout_s = HTTP_IDLE_TIMEOUT_S;
    status = open_server(entry, &traffic, &entry->traffic, err);
    if (status == ST_OK) {
        status = open_server(entry, &ready, &entry->ready, err);
    }
    if (status == ST_OK) {
        status = open_server(entry, &control, &entry->control, err);
    }
    if (status == ST_OK) {
        status = open_server(entry, &metrics, &entry->metrics, err);
    }
    return status;
}

static Status
open_all(JobEntry *entry, ErrCtx *err)
{
    PeersOptions peers = {.settings = entry->settings,
                          .incarnation = (uint64_t)apr_time_now(),
                          .open_membership = true,
                          .explicit_flush = true,
                          .silence_timeout_ms = PEER_TIMEOUT_MS,
                          .arg = entry,
                          .on_up = on_peer_up,
                          .on_down = on_peer_down,
                          .on_link_lost = on_link_lost,
                          .on_message = on_message};

    entry->loop = Loop_New(err);
    if (entry->loop == NULL) {
        return ST_IO;
    }
    entry->signals = Signals_New(entry->loop, on_stop, on_reload, entry, err);
    entry->peers = Peers_New(entry->loop, &peers, err);
    if (entry->signals == NULL || entry->peers == NULL) {
        return ST_IO;
    }
    Peers_AddSeeds(entry->peers, entry->settings);
    return open_servers(entry, err);
}

Status
JobEntry_New(const Settings *settings, const char *file, const JobWire *wire,
             JobEntry **out, ErrCtx *err)
{
    JobEntry *entry = calloc(1, sizeof(*entry));
    Status status;

    if (entry == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "no memory for the entry node");
    }
    entry->settings = settings;
    entry->settings_file = file;
    entry->wire = wire;
    entry->nodes = JobNodes_New();
    entry->leader = SIZE_MAX;
    entry->leader_lost_ms = Loop_NowMs();
    /* Replies to an earlier incarnation must not match. */
    entry->next_sequence = Rng_SystemSeed() >> 1;
    status = open_all(entry, err);
    if (status != ST_OK) {
        JobEntry_Free(entry);
        return status;
    }
    entry->tick = Loop_NewTimer(entry->loop, on_tick, entry);
    Loop_Arm(entry->tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
    Loop_AddPrepareHook(entry->loop, run_iteration, entry);
    *out = entry;
    return ST_OK;
}

void
JobEntry_Run(JobEntry *entry)
{
    Loop_Run(entry->loop);
}

void
JobEntry_Free(JobEntry *entry)
{
    if (entry == NULL) {
        return;
    }
    while (entry->requests != NULL) {
        reply_and_finish(entry, entry->requests, JOB_REPLY_UNKNOWN,
                         "stopping");
    }
    HttpServer_Free(entry->traffic);
    HttpServer_Free(entry->ready);
    HttpServer_Free(entry->control);
    HttpServer_Free(entry->metrics);
    JobNodes_Free(entry->nodes);
    Peers_Free(entry->peers);
    Signals_Free(entry->signals);
    Loop_Free(entry->loop);
    free(entry);
}
