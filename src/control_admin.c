#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "patch.h"

#define CONTROL_PATCH_MS 8000
#define CONTROL_PATCH_RETRY_MS 100
#define CONTROL_PATH_BYTES 512

/* A change that an operator waits for. It is proposed again until its answer
 * is known or its time is over; the state machine gives the first answer to
 * each repetition of a request id. */
typedef struct OperatorChange {
    Control *control;
    HttpRequest *http;
    LoopTimer *retry;
    Buf command;
    int64_t due_ms;
} OperatorChange;

static void
reply_json(HttpRequest *http, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_INDENT(2));

    HttpRequest_ReplyText(http, status, "application/json",
                          text != NULL ? text : "{}");
    free(text);
    json_decref(json);
}

static void
reply_error(HttpRequest *http, int status, const char *error,
            const char *message)
{
    reply_json(http, status,
               json_pack("{s:s, s:s}", "error", error, "message", message));
}

static void
end_change(OperatorChange *change)
{
    Loop_FreeTimer(change->retry);
    Buf_Free(&change->command);
    free(change);
}

static int
http_status(Status status)
{
    switch (status) {
    case ST_OK:
        return 200;
    case ST_CONFLICT:
    case ST_EXISTS:
    case ST_STALE:
        return 409;
    case ST_NOT_FOUND:
        return 404;
    case ST_AGAIN:
        return 503;
    default:
        return 422;
    }
}

static void
reply_result(HttpRequest *http, const StateResult *result)
{
    json_t *paths = json_array();
    size_t i;

    for (i = 0; i < result->conflict_count; i++) {
        json_array_append_new(paths, json_string(result->conflicts[i]));
    }
    reply_json(http, http_status(result->status),
               json_pack("{s:b, s:s, s:I, s:s, s:o}", "accepted",
                         result->status == ST_OK, "status",
                         Err_Name(result->status), "version",
                         (json_int_t)result->version, "message",
                         result->message, "conflicts", paths));
}

static void
on_change(void *arg, Status status, uint64_t index, const char *bytes,
          size_t len)
{
    OperatorChange *change = arg;
    StateResult result;

    (void)index;
    if (status == ST_OK && State_ParseResult(bytes, len, &result) == ST_OK) {
        reply_result(change->http, &result);
        end_change(change);
        return;
    }
    if (Loop_NowMs() < change->due_ms) {
        Loop_Arm(change->retry, CONTROL_PATCH_RETRY_MS, 0);
        return;
    }
    reply_error(change->http, 504, "unknown",
                "the result is unknown; repeat with the same request_id");
    end_change(change);
}

static void
propose_change(void *arg)
{
    OperatorChange *change = arg;

    Control_Propose(change->control, &change->command, on_change, change);
}

/* Proposes a command and answers with its result. Takes the command over. */
static void
submit_change(Control *control, HttpRequest *http, Buf command)
{
    OperatorChange *change = calloc(1, sizeof(*change));

    if (change == NULL) {
        abort();
    }
    change->control = control;
    change->http = http;
    change->command = command;
    change->due_ms = Loop_NowMs() + CONTROL_PATCH_MS;
    change->retry = Loop_NewTimer(control->loop, propose_change, change);
    propose_change(change);
}

static void
reply_findings(HttpRequest *http, const Findings *findings)
{
    json_t *list = json_array();
    size_t i;
    const Finding *finding;

    for (i = 0; (finding = Findings_Get(findings, i)) != NULL; i++) {
        json_array_append_new(list, json_pack("{s:I, s:s, s:s}", "line",
                                              (json_int_t)finding->line,
                                              "path", finding->path, "reason",
                                              finding->reason));
    }
    reply_json(http, 400,
               json_pack("{s:s, s:s, s:o}", "error", "invalid", "message",
                         "the patch has findings", "findings", list));
}

static void
handle_patch(Control *control, HttpRequest *http)
{
    Findings *findings = Findings_New("patch");
    size_t len;
    const char *text = HttpRequest_Body(http, &len);
    PatchText *patch = Patch_Parse(text, len, findings);
    Buf command = BUF_INIT;

    if (patch == NULL || Findings_Count(findings) > 0) {
        reply_findings(http, findings);
    }
    else {
        StateCmd_Patch(&command, patch);
        submit_change(control, http, command);
    }
    Patch_Free(patch);
    Findings_Free(findings);
}

static void
handle_announce(Control *control, HttpRequest *http)
{
    size_t len;
    const char *body = HttpRequest_Body(http, &len);
    ErrCtx err = {0};
    Status status = Control_Announce(control, body, len, true, &err);

    if (status != ST_OK) {
        reply_error(http, status == ST_STALE ? 409 : 400, Err_Name(status),
                    err.message);
        return;
    }
    reply_json(http, 200,
               json_pack("{s:I}", "heartbeat_ms",
                         (json_int_t)control->settings->target_heartbeat_ms));
}

static const char *
role_name(const Control *control)
{
    if (control->replica == NULL) {
        return "follower";
    }
    switch (Replica_Role(control->replica)) {
    case RAFT_LEADER:
        return "leader";
    default:
        return "voter";
    }
}

static json_t *
peers_json(const Control *control)
{
    json_t *list = json_array();
    size_t i;
    int64_t now = Loop_NowMs();

    for (i = 0; i < control->settings->peer_count; i++) {
        const ControlPeer *peer = &control->peer_states[i];
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:b, s:b, s:I, s:I, s:I}", "name",
                      control->settings->peers[i].name, "data_centre",
                      control->settings->peers[i].data_centre, "up",
                      Peers_IsUp(control->peers, i), "ready", peer->ready,
                      "version", (json_int_t)peer->version, "applied",
                      (json_int_t)peer->applied, "version_age_ms",
                      (json_int_t)(now - peer->version_ms)));
    }
    return list;
}

json_t *
Control_StatusJson(Control *control)
{
    TrafficStats stats;
    json_t *json;

    Gateway_GetStats(control->gateway, &stats);
    json = json_pack(
        "{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:o}", "name",
        control->settings->name, "data_centre", control->settings->data_centre,
        "role", role_name(control), "leader", Control_LeaderName(control),
        "ready", control->ready, "version",
        (json_int_t)State_Version(control->state), "applied",
        (json_int_t)control->applied, "peer_bytes_sent",
        (json_int_t)Peers_BytesSent(control->peers), "peer_bytes_received",
        (json_int_t)Peers_BytesReceived(control->peers), "peers",
        peers_json(control));
    if (control->replica != NULL) {
        json_object_set_new(
            json, "term",
            json_integer((json_int_t)Replica_Term(control->replica)));
        json_object_set_new(
            json, "members",
            json_integer(
                (json_int_t)Replica_Members(control->replica)->count));
    }
    json_object_set_new(
        json, "traffic",
        json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:i}", "submitted",
                  (json_int_t)stats.submitted, "dispatched",
                  (json_int_t)stats.dispatched, "retried",
                  (json_int_t)stats.retried, "done",
                  (json_int_t)stats.replies[TRAFFIC_DONE], "not_run",
                  (json_int_t)stats.replies[TRAFFIC_NOT_RUN], "unknown",
                  (json_int_t)stats.replies[TRAFFIC_UNKNOWN], "waiting",
                  (int)stats.waiting, "running", (int)stats.running));
    return json;
}

static const char *
assignment_name(StateAssignment assignment)
{
    static const char *const names[] = {[STATE_OPEN] = "open",
                                        [STATE_CLOSING] = "closing",
                                        [STATE_DRAINING] = "draining"};

    return names[assignment];
}

static json_t *
vms_json(Control *control)
{
    json_t *list = json_array();
    size_t i;

    for (i = 0; i < State_VmCount(control->state); i++) {
        const StateVm *vm = State_VmAt(control->state, i);
        const ControlTarget *target = Control_FindTarget(control, vm->name);
        const char *health = target == NULL    ? "unknown"
                             : target->leaving ? "leaving"
                             : target->suspect ? "suspect"
                                               : "up";
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:s, s:I, s:s, s:s, s:s}", "name",
                      vm->name, "data_centre", vm->data_centre, "rack",
                      vm->rack, "pool", vm->pool, "epoch",
                      (json_int_t)vm->epoch, "assignment",
                      assignment_name(vm->assignment), "moving_to",
                      vm->move != NULL ? vm->move->to : "", "health", health));
    }
    return list;
}

static json_t *
pools_json(Control *control)
{
    json_t *list = json_array();
    size_t i;
    size_t j;

    for (i = 0; i < State_PoolCount(control->state); i++) {
        const StatePool *pool = State_PoolAt(control->state, i);
        json_t *shares = json_object();
        for (j = 0; j < pool->share_count; j++) {
            json_object_set_new(
                shares, pool->shares[j].data_centre,
                json_integer(State_ShareLimit(&pool->shares[j])));
        }
        json_array_append_new(
            list,
            json_pack("{s:s, s:i, s:I, s:I, s:b, s:s, s:o}", "name",
                      pool->name, "vms", (int)pool->vms, "max_unavailable",
                      (json_int_t)pool->max_unavailable, "min_size",
                      (json_int_t)pool->min_size, "spare", pool->spare != 0,
                      "service", pool->service, "shares", shares));
    }
    return list;
}

typedef struct ConfigRead {
    Control *control;
    HttpRequest *http;
    char prefix[CONTROL_PATH_BYTES];
} ConfigRead;

static void
reply_config(Control *control, HttpRequest *http, const char *prefix,
             bool confirmed)
{
    Buf text = BUF_INIT;

    State_Config(control->state, prefix, &text);
    reply_json(http, 200,
               json_pack("{s:I, s:b, s:s}", "version",
                         (json_int_t)State_Version(control->state),
                         "confirmed", confirmed, "config", Buf_Text(&text)));
    Buf_Free(&text);
}

static void
handle_config(Control *control, HttpRequest *http)
{
    const char *prefix = HttpRequest_Query(http, "path");

    reply_config(control, http, prefix != NULL ? prefix : "", false);
}

typedef struct Route {
    const char *method;
    const char *path;
    void (*handle)(Control *control, HttpRequest *http);
} Route;

static void
handle_status(Control *control, HttpRequest *http)
{
    reply_json(http, 200, Control_StatusJson(control));
}

static void
handle_vms(Control *control, HttpRequest *http)
{
    reply_json(http, 200, vms_json(control));
}

static void
handle_pools(Control *control, HttpRequest *http)
{
    reply_json(http, 200, pools_json(control));
}

static void
handle_ready(Control *control, HttpRequest *http)
{
    HttpRequest_ReplyText(http, control->ready ? 200 : 503, "text/plain",
                          control->ready ? "ready\n" : "not ready\n");
}

static const Route routes[] = {
    {"POST", "/v1/patch", handle_patch},
    {"GET", "/v1/config", handle_config},
    {"GET", "/v1/status", handle_status},
    {"GET", "/v1/vms", handle_vms},
    {"GET", "/v1/pools", handle_pools},
    {"POST", "/v1/targets", handle_announce},
    {"GET", "/readyz", handle_ready},
};

void
Control_HandleHttp(void *arg, HttpRequest *http)
{
    static const char targets[] = "/v1/targets/";
    Control *control = arg;
    const char *method = HttpRequest_Method(http);
    const char *path = HttpRequest_Path(http);
    size_t i;

    for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        if (strcmp(method, routes[i].method) == 0 &&
            strcmp(path, routes[i].path) == 0) {
            routes[i].handle(control, http);
            return;
        }
    }
    if (strcmp(method, "DELETE") == 0 &&
        strncmp(path, targets, sizeof(targets) - 1) == 0) {
        bool known = Control_Leave(control, path + sizeof(targets) - 1, true);
        reply_json(http, known ? 200 : 404,
                   json_pack("{s:b}", "known", known));
        return;
    }
    reply_error(http, 404, "not found", "no such path");
}
