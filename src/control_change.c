#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "jsonload.h"
#include "mem.h"
#include "patch.h"

#define CONTROL_CHANGE_TIMEOUT_MS 8000
#define CONTROL_CHANGE_RETRY_MS 100

/* A change that an operator waits for. It is proposed again until its result
 * is known or its deadline passes. Retries are idempotent: the state machine
 * returns the first result for each repetition of a request id. */
typedef struct OperatorChange {
    Control *control;
    HttpRequest *http;
    LoopTimer *retry_timer;
    Buf command;
    int64_t deadline_ms;
} OperatorChange;

static void
free_change(OperatorChange *change)
{
    Loop_FreeTimer(change->retry_timer);
    Buf_Free(&change->command);
    free(change);
}

static int
get_http_status(Status status)
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
    Control_ReplyJson(http, get_http_status(result->status),
                      json_pack("{s:b, s:s, s:I, s:s, s:o}", "accepted",
                                result->status == ST_OK, "status",
                                Err_Name(result->status), "version",
                                (json_int_t)result->version, "reason",
                                result->message, "conflicts", paths));
}

static void
on_change_result(void *arg, Status status, uint64_t index, const char *bytes,
                 size_t len)
{
    OperatorChange *change = arg;
    StateResult result;

    (void)index;
    if (status == ST_OK && State_ParseResult(bytes, len, &result) == ST_OK) {
        reply_result(change->http, &result);
        free_change(change);
        return;
    }
    if (Loop_NowMs() < change->deadline_ms) {
        Loop_Arm(change->retry_timer, CONTROL_CHANGE_RETRY_MS, 0);
        return;
    }
    Control_ReplyError(
        change->http, 504, "unknown",
        "the result is unknown; repeat with the same request_id");
    free_change(change);
}

static void
propose_change(void *arg)
{
    OperatorChange *change = arg;

    Control_Propose(change->control, &change->command, on_change_result,
                    change);
}

/* Proposes a command and replies with its result. Takes ownership of the
 * command. */
static void
submit_change(Control *control, HttpRequest *http, Buf command)
{
    OperatorChange *change = Mem_New(1, sizeof(*change));

    change->control = control;
    change->http = http;
    change->command = command;
    change->deadline_ms = Loop_NowMs() + CONTROL_CHANGE_TIMEOUT_MS;
    change->retry_timer = Loop_NewTimer(control->loop, propose_change, change);
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
    Control_ReplyJson(http, 400,
                      json_pack("{s:s, s:s, s:o}", "error", "invalid",
                                "reason", "the patch has findings", "findings",
                                list));
}

void
Control_HandlePatch(Control *control, HttpRequest *http)
{
    Findings *findings = Findings_New("patch");
    size_t len;
    const char *text = HttpRequest_GetBody(http, &len);
    ParsedPatch *patch = Patch_Parse(text, len, findings);
    Buf command = BUF_INIT;

    if (patch == NULL || Findings_Count(findings) > 0) {
        reply_findings(http, findings);
    }
    else {
        StateCmd_EncodePatch(&command, patch);
        submit_change(control, http, command);
    }
    Patch_Free(patch);
    Findings_Free(findings);
}

/* Fields that the JSON body of every operator's change has. */
typedef struct ChangeFields {
    json_t *body;
    const char *operator_name;
    const char *request_id;
} ChangeFields;

/* Parses the body. If a field is missing, replies and returns false. */
static bool
parse_fields(HttpRequest *http, ChangeFields *fields)
{
    size_t len;
    const char *text = HttpRequest_GetBody(http, &len);

    fields->body = JsonLoad_Parse(text, len, 0, JSON_LOAD_MANY_VALUES, NULL);
    fields->operator_name =
        json_string_value(json_object_get(fields->body, "operator"));
    fields->request_id =
        json_string_value(json_object_get(fields->body, "request_id"));
    if (fields->operator_name != NULL && fields->request_id != NULL) {
        return true;
    }
    json_decref(fields->body);
    Control_ReplyError(http, 400, "invalid",
                       "the body needs operator and request_id");
    return false;
}

void
Control_HandleWaveStart(Control *control, HttpRequest *http)
{
    ChangeFields fields;
    const char *name;
    const json_t *vms;
    const char **list;
    size_t count;
    size_t i;
    Buf command = BUF_INIT;

    if (!parse_fields(http, &fields)) {
        return;
    }
    name = json_string_value(json_object_get(fields.body, "name"));
    vms = json_object_get(fields.body, "vms");
    count = json_array_size(vms);
    list = calloc(count + 1, sizeof(*list));
    for (i = 0; list != NULL && i < count; i++) {
        list[i] = json_string_value(json_array_get(vms, i));
        name = list[i] != NULL ? name : NULL;
    }
    if (name == NULL || count == 0 || count > STATE_MAX_WAVE_VMS ||
        list == NULL) {
        Control_ReplyError(http, 400, "invalid",
                           "a wave needs a name and a list of VMs");
    }
    else {
        StateCmd_EncodeStartWave(
            &command, name, fields.operator_name, fields.request_id,
            json_integer_value(json_object_get(fields.body, "deadline_ms")),
            list, count);
        submit_change(control, http, command);
    }
    free(list);
    json_decref(fields.body);
}

void
Control_HandleWaveAction(Control *control, HttpRequest *http, const char *name,
                         const char *action)
{
    static const char *const names[] = {[STATE_WAVE_PAUSE] = "pause",
                                        [STATE_WAVE_RESUME] = "resume",
                                        [STATE_WAVE_CANCEL] = "cancel"};
    ChangeFields fields;
    Buf command = BUF_INIT;
    const char *reason;
    size_t i;

    for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strcmp(names[i], action) == 0) {
            break;
        }
    }
    if (i == sizeof(names) / sizeof(names[0])) {
        Control_ReplyError(http, 404, "not found", "no such path");
        return;
    }
    if (!parse_fields(http, &fields)) {
        return;
    }
    reason = json_string_value(json_object_get(fields.body, "reason"));
    StateCmd_EncodeWaveControl(&command, name, (StateWaveAction)i,
                               fields.operator_name, fields.request_id,
                               reason != NULL ? reason : "by an operator");
    submit_change(control, http, command);
    json_decref(fields.body);
}

void
Control_HandleRemoveVm(Control *control, HttpRequest *http, const char *name)
{
    ChangeFields fields;
    Buf command = BUF_INIT;

    if (parse_fields(http, &fields)) {
        StateCmd_EncodeRemoveVm(&command, name, fields.operator_name,
                                fields.request_id);
        submit_change(control, http, command);
        json_decref(fields.body);
    }
}

void
Control_HandleMemberDestroyed(Control *control, HttpRequest *http,
                              const char *name)
{
    ChangeFields fields;
    Buf command = BUF_INIT;

    if (parse_fields(http, &fields)) {
        StateCmd_EncodeDeclareDestroyed(&command, name, fields.operator_name,
                                        fields.request_id);
        submit_change(control, http, command);
        json_decref(fields.body);
    }
}
