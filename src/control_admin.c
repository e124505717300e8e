#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "mem.h"

#define CONTROL_PATH_BYTES 512
#define CONTROL_EXPLAIN_ENTRIES 100

void
Control_ReplyJson(HttpRequest *http, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_INDENT(2));

    HttpRequest_ReplyText(http, status, "application/json",
                          text != NULL ? text : "{}");
    free(text);
    json_decref(json);
}

void
Control_ReplyError(HttpRequest *http, int status, const char *error,
                   const char *reason)
{
    Control_ReplyJson(
        http, status,
        json_pack("{s:s, s:s}", "error", error, "reason", reason));
}

static void
handle_announcement(Control *control, HttpRequest *http)
{
    size_t len;
    const char *body = HttpRequest_GetBody(http, &len);
    ErrCtx err = {0};
    Status status = Control_HandleAnnouncement(control, body, len, true, &err);

    if (status != ST_OK) {
        Control_ReplyError(http, status == ST_STALE ? 409 : 400,
                           Err_Name(status), err.message);
        return;
    }
    Control_ReplyJson(
        http, 200,
        json_pack("{s:I}", "heartbeat_ms",
                  (json_int_t)control->settings->target_heartbeat_ms));
}

static bool
is_voter(const Control *control)
{
    const RaftMembers *members = Replica_GetMembers(control->replica);
    uint64_t identity = Replica_GetIdentity(control->replica);
    size_t i;

    for (i = 0; i < members->count; i++) {
        if (members->list[i].identity == identity) {
            return members->list[i].voter;
        }
    }
    return false;
}

static const char *
get_role_name(const Control *control)
{
    if (control->replica == NULL) {
        return "follower";
    }
    if (Control_IsLeader(control)) {
        return "leader";
    }
    return is_voter(control) ? "voter" : "learner";
}

static json_t *
build_peers_json(const Control *control)
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

static json_t *
build_status_json(Control *control)
{
    TrafficStats stats;
    json_t *json;

    Gateway_GetStats(control->gateway, &stats);
    json = json_pack(
        "{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:o}", "name",
        control->settings->name, "data_centre", control->settings->data_centre,
        "role", get_role_name(control), "leader",
        Control_GetLeaderName(control), "ready", control->ready, "version",
        (json_int_t)State_GetVersion(control->state), "in_force",
        (json_int_t)control->in_force, "applied", (json_int_t)control->applied,
        "peer_bytes_sent", (json_int_t)Peers_BytesSent(control->peers),
        "peer_bytes_received", (json_int_t)Peers_BytesReceived(control->peers),
        "peers", build_peers_json(control));
    if (control->replica != NULL) {
        json_object_set_new(
            json, "term",
            json_integer((json_int_t)Replica_GetTerm(control->replica)));
        json_object_set_new(
            json, "members",
            json_integer(
                (json_int_t)Replica_GetMembers(control->replica)->count));
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
get_assignment_name(StateAssignment assignment)
{
    static const char *const names[] = {[STATE_OPEN] = "open",
                                        [STATE_CLOSING] = "closing",
                                        [STATE_DRAINING] = "draining"};

    return names[assignment];
}

static json_t *
build_vms_json(Control *control)
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
                      get_assignment_name(vm->assignment), "moving_to",
                      vm->move != NULL ? vm->move->to : "", "health", health));
    }
    return list;
}

static json_t *
build_pools_json(Control *control)
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
                json_integer(State_GetShareLimit(&pool->shares[j])));
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

static void
reply_config(Control *control, HttpRequest *http, const char *prefix,
             bool confirmed)
{
    Buf text = BUF_INIT;

    State_AppendConfig(control->state, prefix, &text);
    Control_ReplyJson(http, 200,
                      json_pack("{s:I, s:I, s:b, s:s}", "version",
                                (json_int_t)State_GetVersion(control->state),
                                "in_force", (json_int_t)control->in_force,
                                "confirmed", confirmed, "config",
                                Buf_Text(&text)));
    Buf_Free(&text);
}

/* A read of the configuration that waits for its read-index round. */
typedef struct ConfigRead {
    Control *control;
    HttpRequest *http;
    char prefix[CONTROL_PATH_BYTES];
} ConfigRead;

static void
on_config_read(void *arg, Status status, uint64_t index, const char *result,
               size_t len)
{
    ConfigRead *read = arg;

    (void)index;
    (void)result;
    (void)len;
    reply_config(read->control, read->http, read->prefix, status == ST_OK);
    free(read);
}

static void
handle_config(Control *control, HttpRequest *http)
{
    const char *prefix = HttpRequest_GetQuery(http, "path");
    ConfigRead *read = Mem_New(1, sizeof(*read));

    read->control = control;
    read->http = http;
    snprintf(read->prefix, sizeof(read->prefix), "%s",
             prefix != NULL ? prefix : "");
    Control_ConfirmRead(control, on_config_read, read);
}

typedef struct HttpRoute {
    const char *method;
    const char *path;
    void (*handle)(Control *control, HttpRequest *http);
} HttpRoute;

static void
handle_status(Control *control, HttpRequest *http)
{
    Control_ReplyJson(http, 200, build_status_json(control));
}

static void
handle_vms(Control *control, HttpRequest *http)
{
    Control_ReplyJson(http, 200, build_vms_json(control));
}

static void
handle_pools(Control *control, HttpRequest *http)
{
    Control_ReplyJson(http, 200, build_pools_json(control));
}

static void
handle_ready(Control *control, HttpRequest *http)
{
    HttpRequest_ReplyText(http, control->ready ? 200 : 503, "text/plain",
                          control->ready ? "ready\n" : "not ready\n");
}

static void
handle_burn(Control *control, HttpRequest *http)
{
    const char *format = HttpRequest_GetQuery(http, "format");
    Buf out = BUF_INIT;

    if (format != NULL && strcmp(format, "json") == 0) {
        Gateway_ReportBurn(control->gateway, GATEWAY_JSON, &out);
        HttpRequest_ReplyText(http, 200, "application/json", Buf_Text(&out));
    }
    else if (format != NULL && strcmp(format, "html") == 0) {
        Gateway_ReportBurn(control->gateway, GATEWAY_HTML, &out);
        HttpRequest_ReplyText(http, 200, "text/html", Buf_Text(&out));
    }
    else {
        Gateway_ReportBurn(control->gateway, GATEWAY_TEXT, &out);
        HttpRequest_ReplyText(http, 200, "text/plain", Buf_Text(&out));
    }
    Buf_Free(&out);
}

static void
handle_explain(Control *control, HttpRequest *http)
{
    const char *subject = HttpRequest_GetQuery(http, "subject");
    Buf out = BUF_INIT;

    Journal_AppendJson(control->journal, JOURNAL_ANY, subject,
                       CONTROL_EXPLAIN_ENTRIES, &out);
    HttpRequest_ReplyText(http, 200, "application/json", Buf_Text(&out));
    Buf_Free(&out);
}

static const char *
get_wave_state_name(StateWaveState state)
{
    static const char *const names[] = {[STATE_WAVE_RUNNING] = "running",
                                        [STATE_WAVE_PAUSED] = "paused",
                                        [STATE_WAVE_CANCELLED] = "cancelled",
                                        [STATE_WAVE_DONE] = "done"};

    return names[state];
}

static void
handle_show_wave(Control *control, HttpRequest *http, const char *name)
{
    static const char *const steps[] = {[STATE_STEP_PENDING] = "pending",
                                        [STATE_STEP_STARTED] = "started",
                                        [STATE_STEP_DONE] = "done",
                                        [STATE_STEP_SKIPPED] = "skipped",
                                        [STATE_STEP_FAILED] = "failed"};
    const StateWave *wave = State_Wave(control->state, name);
    json_t *vms = json_object();
    size_t i;

    if (wave == NULL) {
        json_decref(vms);
        Control_ReplyError(http, 404, "not found", "no such wave");
        return;
    }
    for (i = 0; i < wave->vm_count; i++) {
        json_object_set_new(vms, wave->vms[i].name,
                            json_string(steps[wave->vms[i].step]));
    }
    Control_ReplyJson(
        http, 200,
        json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:o}", "name",
                  wave->name, "state", get_wave_state_name(wave->state),
                  "operator", wave->operator_name, "reason", wave->reason,
                  "deadline_ms", (json_int_t)wave->deadline_ms, "done",
                  (json_int_t)wave->steps[STATE_STEP_DONE], "pending",
                  (json_int_t)wave->steps[STATE_STEP_PENDING], "vms", vms));
}

static const HttpRoute routes[] = {
    {"POST", "/v1/patch", Control_HandlePatch},
    {"GET", "/v1/config", handle_config},
    {"GET", "/v1/status", handle_status},
    {"GET", "/v1/vms", handle_vms},
    {"GET", "/v1/pools", handle_pools},
    {"POST", "/v1/targets", handle_announcement},
    {"GET", "/readyz", handle_ready},
    {"POST", "/v1/waves", Control_HandleWaveStart},
    {"GET", "/v1/report/burn", handle_burn},
    {"GET", "/v1/explain", handle_explain},
};

/* Handles the paths that contain a name. Returns false for an unknown path. */
static bool
handle_named_path(Control *control, HttpRequest *http, char *path)
{
    const char *method = HttpRequest_GetMethod(http);
    char *save_ptr = NULL;
    const char *version = strtok_r(path, "/", &save_ptr);
    const char *kind = strtok_r(NULL, "/", &save_ptr);
    const char *name = strtok_r(NULL, "/", &save_ptr);
    const char *action = strtok_r(NULL, "/", &save_ptr);
    bool is_post = strcmp(method, "POST") == 0;

    if (version == NULL || kind == NULL || name == NULL) {
        return false;
    }
    if (strcmp(kind, "targets") == 0 && strcmp(method, "DELETE") == 0) {
        bool known = Control_MarkLeaving(control, name, true);
        Control_ReplyJson(http, known ? 200 : 404,
                          json_pack("{s:b}", "known", known));
    }
    else if (strcmp(kind, "waves") == 0 && action == NULL && !is_post) {
        handle_show_wave(control, http, name);
    }
    else if (strcmp(kind, "waves") == 0 && action != NULL && is_post) {
        Control_HandleWaveAction(control, http, name, action);
    }
    else if (strcmp(kind, "vms") == 0 && action != NULL && is_post) {
        Control_HandleRemoveVm(control, http, name);
    }
    else if (strcmp(kind, "members") == 0 && action != NULL && is_post) {
        Control_HandleMemberDestroyed(control, http, name);
    }
    else {
        return false;
    }
    return true;
}

void
Control_HandleHttp(void *arg, HttpRequest *http)
{
    Control *control = arg;
    const char *method = HttpRequest_GetMethod(http);
    char path[CONTROL_PATH_BYTES];
    size_t i;

    snprintf(path, sizeof(path), "%s", HttpRequest_GetPath(http));
    for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        if (strcmp(method, routes[i].method) == 0 &&
            strcmp(path, routes[i].path) == 0) {
            routes[i].handle(control, http);
            return;
        }
    }
    if (!handle_named_path(control, http, path)) {
        Control_ReplyError(http, 404, "not found", "no such path");
    }
}
