#include "jobentry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_time.h>

#include "httpserver.h"
#include "jobfleetmsg.h"
#include "jobreload.h"
#include "jobreplymsg.h"
#include "loop.h"
#include "mem.h"
#include "mppack.h"
#include "peer.h"
#include "signals.h"
#include "slog.h"

#define TICK_MS 100
#define HTTP_IDLE_S 60
#define LINK_SILENCE_MS 1200
/* A leader that was not heard for so long is not passed any request. */
#define LEADER_SILENCE_MS 1500
/* A leader lost so recently is being replaced: requests wait for the next
 * one. Later ones are refused at once. */
#define ELECTION_MS 2000
/* A request waits so long for a leader. */
#define WAIT_LEADER_MS 1500
/* A request is answered within this, or within its deadline. */
#define REPLY_MS 2700
#define RETRY_MS 1000
/* A planned stop takes in requests until the balancer has noticed. */
#define STOP_LISTEN_MS 3000
/* The loop runs on for so long after the last reply, which it writes. */
#define STOP_WRITE_MS 150

/* One caller's request. */
typedef struct Passed {
    uint64_t sequence;
    HttpRequest *http;
    JobRequestKind kind;
    char id[64]; /* end of the path, for the log */
    int64_t since_ms;
    int64_t due_ms;
    size_t peer; /* that it was sent to, or SIZE_MAX */
    bool sent;   /* to any leader: it may have been carried out */
    struct Passed *next;
} Passed;

struct JobEntry {
    const Settings *settings;
    const JobWire *wire;
    const char *settings_file;
    Loop *loop;
    Peers *peers;
    HttpServer *traffic;
    HttpServer *ready;
    Signals *signals;
    LoopTimer *tick;
    Passed *passed;
    uint64_t next_sequence;
    uint64_t leader_term;
    size_t leader; /* peer, or SIZE_MAX */
    int64_t leader_heard_ms;
    int64_t lost_ms; /* when the last leader was lost */
    bool was_ready;
    int64_t stop_ms;
    int64_t replied_ms; /* a stop found no request without a reply; 0: not */
};

static bool
has_leader(const JobEntry *entry)
{
    return entry->leader != SIZE_MAX &&
           Peers_IsUp(entry->peers, entry->leader) &&
           Loop_NowMs() - entry->leader_heard_ms < LEADER_SILENCE_MS;
}

static JobRequestKind
kind_of(const char *method)
{
    if (strcmp(method, "POST") == 0) {
        return JOB_REQUEST_SUBMIT;
    }
    return strcmp(method, "DELETE") == 0 ? JOB_REQUEST_CANCEL
                                         : JOB_REQUEST_STATE;
}

static void
unlink_passed(JobEntry *entry, Passed *passed)
{
    Passed **at = &entry->passed;

    while (*at != passed) {
        at = &(*at)->next;
    }
    *at = passed->next;
}

static void
finish(JobEntry *entry, Passed *passed, const JobReplyMsg *msg)
{
    if (msg->status >= 300) {
        Slog_Begin(SLOG_FAILURE, "caller_answered");
        Slog_Text("id", passed->id);
        Slog_Int("status", msg->status);
        Slog_Int("took_ms", Loop_NowMs() - passed->since_ms);
        Slog_Int("passed_on", passed->sent);
        Slog_Int("term", (int64_t)entry->leader_term);
        Slog_Int("leader_age_ms", Loop_NowMs() - entry->leader_heard_ms);
        Slog_End();
    }
    JobReplyMsg_SendHttp(msg, passed->http);
    unlink_passed(entry, passed);
    free(passed);
}

static void
finish_as(JobEntry *entry, Passed *passed, JobReplyKind kind,
          const char *reason)
{
    JobReply reply = {.kind = kind, .reason = reason, .retry_ms = RETRY_MS};
    Buf body = BUF_INIT;
    int status = entry->wire->write_reply(passed->kind, &reply, &body);
    JobReplyMsg msg = {passed->sequence, status,
                       kind == JOB_REPLY_UNAVAILABLE ? RETRY_MS : 0, body.data,
                       body.len};

    finish(entry, passed, &msg);
    Buf_Free(&body);
}

static void
pass_on(JobEntry *entry, Passed *passed)
{
    Buf frame = BUF_INIT;
    msgpack_packer packer;
    const char *host = HttpRequest_Header(passed->http, "Host");
    const char *path = HttpRequest_Path(passed->http);
    size_t len;
    const char *body = HttpRequest_Body(passed->http, &len);

    host = host != NULL ? host : "";
    msgpack_packer_init(&packer, &frame, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 6);
    msgpack_pack_int(&packer, PEER_JOB_REQUEST);
    msgpack_pack_uint64(&packer, passed->sequence);
    MpPack_Text(&packer, HttpRequest_Method(passed->http));
    msgpack_pack_bin_with_body(&packer, host, strcspn(host, ":"));
    MpPack_Text(&packer, path);
    msgpack_pack_bin_with_body(&packer, body, len);
    Peers_Send(entry->peers, entry->leader, frame.data, frame.len);
    Buf_Free(&frame);
    passed->peer = entry->leader;
    passed->sent = true;
}

/* Returns how long a caller's request may take. */
static int64_t
wait_ms(const HttpRequest *http)
{
    const char *header = HttpRequest_Header(http, "X-Deadline-Ms");
    int64_t limit = header != NULL ? strtoll(header, NULL, 10) * 9 / 10 : 0;

    return limit > 0 && limit < REPLY_MS ? limit : REPLY_MS;
}

static void
handle_traffic(void *arg, HttpRequest *http)
{
    JobEntry *entry = arg;
    Passed *passed = Mem_New(1, sizeof(*passed));
    const char *path = HttpRequest_Path(http);
    const char *id = strrchr(path, '/');

    passed->sequence = entry->next_sequence++;
    passed->http = http;
    passed->kind = kind_of(HttpRequest_Method(http));
    passed->since_ms = Loop_NowMs();
    passed->due_ms = passed->since_ms + wait_ms(http);
    passed->peer = SIZE_MAX;
    snprintf(passed->id, sizeof(passed->id), "%s", id != NULL ? id + 1 : "");
    passed->next = entry->passed;
    entry->passed = passed;
    if (has_leader(entry)) {
        pass_on(entry, passed);
    }
    else if (passed->since_ms - entry->lost_ms > ELECTION_MS) {
        finish_as(entry, passed, JOB_REPLY_UNAVAILABLE, "no leader is known");
    }
}

static bool
is_ready(const JobEntry *entry)
{
    return has_leader(entry) && entry->stop_ms == 0;
}

static void
handle_ready(void *arg, HttpRequest *http)
{
    JobEntry *entry = arg;

    if (strcmp(HttpRequest_Path(http), entry->wire->ready_path) != 0) {
        HttpRequest_ReplyText(http, 404, "text/plain", "no such page\n");
        return;
    }
    HttpRequest_ReplyText(http, is_ready(entry) ? 200 : 503, "text/plain",
                          is_ready(entry) ? "ready\n" : "not ready\n");
}

/* --- links --- */

static void
on_up(void *arg, size_t peer, const PeerHello *hello)
{
    (void)arg;
    (void)peer;
    Slog_Begin(SLOG_CHANGE, "peer_up");
    Slog_Text("peer", hello->name);
    Slog_End();
}

/* Requests change nothing when they are sent twice, so those without a reply
 * wait for the next leader. */
static void
lose_leader(JobEntry *entry)
{
    Passed *passed;

    entry->leader = SIZE_MAX;
    entry->lost_ms = Loop_NowMs();
    for (passed = entry->passed; passed != NULL; passed = passed->next) {
        passed->peer = SIZE_MAX;
    }
}

static void
on_down(void *arg, size_t peer)
{
    JobEntry *entry = arg;

    Slog_Begin(SLOG_CHANGE, "peer_down");
    Slog_Text("peer", Peers_Hello(entry->peers, peer)->name);
    Slog_Int("leader", peer == entry->leader);
    Slog_End();
    if (peer == entry->leader) {
        lose_leader(entry);
    }
}

static void
pass_on_waiting(JobEntry *entry)
{
    Passed *passed;

    for (passed = entry->passed; passed != NULL && has_leader(entry);
         passed = passed->next) {
        if (passed->peer == SIZE_MAX) {
            pass_on(entry, passed);
        }
    }
}

static void
on_fleet(JobEntry *entry, size_t peer, const msgpack_object_array *message)
{
    JobFleetMsg msg;
    size_t i;

    if (!JobFleetMsg_Decode(message, &msg)) {
        return;
    }
    for (i = 0; i < msg.node_count; i++) {
        Peers_Add(entry->peers, &msg.nodes[i]);
    }
    if (!msg.leader_ready) {
        if (peer == entry->leader) {
            lose_leader(entry);
        }
        return;
    }
    if (msg.term < entry->leader_term) {
        return; /* a leader that was deposed and does not know it yet */
    }
    if (msg.term > entry->leader_term || entry->leader != peer) {
        lose_leader(entry);
        Slog_Begin(SLOG_CHANGE, "leader_seen");
        Slog_Text("leader", Peers_Hello(entry->peers, peer)->name);
        Slog_Int("term", (int64_t)msg.term);
        Slog_End();
    }
    entry->leader_term = msg.term;
    entry->leader = peer;
    entry->leader_heard_ms = Loop_NowMs();
    pass_on_waiting(entry);
}

static void
on_reply(JobEntry *entry, const msgpack_object_array *message)
{
    JobReplyMsg msg;
    Passed *passed;

    if (!JobReplyMsg_Decode(message, &msg)) {
        return;
    }
    for (passed = entry->passed; passed != NULL; passed = passed->next) {
        if (passed->sequence == msg.sequence) {
            finish(entry, passed, &msg);
            return;
        }
    }
}

static void
on_message(void *arg, size_t peer, PeerMessageType type,
           const msgpack_object_array *message)
{
    JobEntry *entry = arg;

    if (type == PEER_FLEET) {
        on_fleet(entry, peer, message);
    }
    else if (type == PEER_JOB_REPLY) {
        on_reply(entry, message);
    }
}

/* --- time --- */

/* Replies to a request that is given up. */
static void
give_up(JobEntry *entry, Passed *passed, const char *not_sent,
        const char *sent)
{
    finish_as(entry, passed,
              passed->sent ? JOB_REPLY_UNKNOWN : JOB_REPLY_UNAVAILABLE,
              passed->sent ? sent : not_sent);
}

static void
expire(JobEntry *entry, int64_t now)
{
    Passed *passed = entry->passed;

    while (passed != NULL) {
        Passed *next = passed->next;
        if (now >= passed->due_ms ||
            (passed->peer == SIZE_MAX &&
             now - passed->since_ms >= WAIT_LEADER_MS &&
             now - entry->lost_ms >= ELECTION_MS)) {
            give_up(entry, passed, "no leader is known",
                    "the leader did not answer in time; ask again");
        }
        passed = next;
    }
}

/* Ends the loop once all requests have their replies, which those that are
 * left at the end of the grace time get at once. */
static void
continue_stop(JobEntry *entry, int64_t now)
{
    int64_t since_ms = now - entry->stop_ms;

    if (entry->stop_ms == 0 || since_ms <= STOP_LISTEN_MS) {
        return;
    }
    while (entry->passed != NULL &&
           since_ms > entry->settings->shutdown_grace_ms) {
        give_up(entry, entry->passed, "stopping", "stopping; ask again");
    }
    if (entry->passed != NULL) {
        entry->replied_ms = 0;
    }
    else if (entry->replied_ms == 0) {
        entry->replied_ms = now;
    }
    else if (now - entry->replied_ms >= STOP_WRITE_MS) {
        Loop_Stop(entry->loop);
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
        Slog_Int("ready", ready);
        Slog_Int("term", (int64_t)entry->leader_term);
        Slog_End();
    }
    expire(entry, now);
    continue_stop(entry, now);
}

static bool
run_turn(void *arg)
{
    JobEntry *entry = arg;

    Peers_Flush(entry->peers);
    Slog_Flush();
    return false;
}

static void
on_stop(void *arg)
{
    JobEntry *entry = arg;

    if (entry->stop_ms == 0) {
        entry->stop_ms = Loop_NowMs();
        Slog_Begin(SLOG_CHANGE, "stopping");
        Slog_End();
    }
}

static void
on_reload(void *arg)
{
    JobEntry *entry = arg;

    JobReload_Read(entry->settings_file, entry->peers);
}

/* --- life --- */

static Status
open_servers(JobEntry *entry, ErrCtx *err)
{
    HttpServerOptions traffic = {.address = entry->settings->traffic,
                                 .max_body_bytes =
                                     (size_t)entry->settings->max_body_bytes,
                                 .idle_timeout_s = HTTP_IDLE_S,
                                 .handler = handle_traffic,
                                 .arg = entry};
    HttpServerOptions ready = {.address = entry->settings->ready,
                               .max_body_bytes = 1024,
                               .idle_timeout_s = HTTP_IDLE_S,
                               .handler = handle_ready,
                               .arg = entry};

    entry->traffic = HttpServer_New(entry->loop, &traffic, err);
    if (entry->traffic == NULL) {
        return ST_IO;
    }
    entry->ready = HttpServer_New(entry->loop, &ready, err);
    return entry->ready != NULL ? ST_OK : ST_IO;
}

static Status
open_all(JobEntry *entry, ErrCtx *err)
{
    PeersOptions peers = {.settings = entry->settings,
                          .incarnation = (uint64_t)apr_time_now(),
                          .open_membership = true,
                          .explicit_flush = true,
                          .silence_ms = LINK_SILENCE_MS,
                          .arg = entry,
                          .on_up = on_up,
                          .on_down = on_down,
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
    entry->leader = SIZE_MAX;
    entry->next_sequence = 1;
    status = open_all(entry, err);
    if (status != ST_OK) {
        JobEntry_Free(entry);
        return status;
    }
    entry->tick = Loop_NewTimer(entry->loop, on_tick, entry);
    Loop_Arm(entry->tick, TICK_MS, TICK_MS);
    Loop_AddPoll(entry->loop, run_turn, entry);
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
    while (entry->passed != NULL) {
        finish_as(entry, entry->passed, JOB_REPLY_UNKNOWN, "stopping");
    }
    HttpServer_Free(entry->traffic);
    HttpServer_Free(entry->ready);
    Peers_Free(entry->peers);
    Signals_Free(entry->signals);
    Loop_Free(entry->loop);
    free(entry);
}
