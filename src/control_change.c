#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "mem.h"
#include "patch.h"

#define CONTROL_PATCH_MS 8000
#define CONTROL_PATCH_RETRY_MS 100

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
    Control_ReplyJson(http, http_status(result->status),
                      json_pack("{s:b, s:s, s:I, s:s, s:o}", "accepted",
                                result->status == ST_OK, "status",
                                Err_Name(result->status), "version",
                                (json_int_t)result->version, "reason",
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
    Control_ReplyError(
        change->http, 504, "unknown",
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
    OperatorChange *change = Mem_New(1, sizeof(*change));

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

/* The fields that every change of an operator carries in its JSON body. */
typedef struct ChangeHead {
    json_t *body;
    const char *operator_name;
    const char *request_id;
} ChangeHead;

/* Parses the body. Answers and returns false when it is not usable. */
static bool
read_head(HttpRequest *http, ChangeHead *head)
{
    size_t len;
    const char *text = HttpRequest_Body(http, &len);

    head->body = json_loadb(text, len, 0, NULL);
    head->operator_name =
        json_string_value(json_object_get(head->body, "operator"));
    head->request_id =
        json_string_value(json_object_get(head->body, "request_id"));
    if (head->operator_name != NULL && head->request_id != NULL) {
        return true;
    }
    json_decref(head->body);
    Control_ReplyError(http, 400, "invalid",
                       "the body needs operator and request_id");
    return false;
}

void
Control_HandleWaveStart(Control *control, HttpRequest *http)
{
    ChangeHead head;
    const char *name;
    const json_t *vms;
    const char **list;
    size_t count;
    size_t i;
    Buf command = BUF_INIT;

    if (!read_head(http, &head)) {
        return;
    }
    name = json_string_value(json_object_get(head.body, "name"));
    vms = json_object_get(head.body, "vms");
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
        StateCmd_StartWave(
            &command, name, head.operator_name, head.request_id,
            json_integer_value(json_object_get(head.body, "deadline_ms")),
            list, count);
        submit_change(control, http, command);
    }
    free(list);
    json_decref(head.body);
}

void
Control_HandleWaveAction(Control *control, HttpRequest *http, const char *name,
                         const char *action)
{
    static const char *const names[] = {[STATE_WAVE_PAUSE] = "pause",
                                        [STATE_WAVE_RESUME] = "resume",
                                        [STATE_WAVE_CANCEL] = "cancel"};
    ChangeHead head;
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
    if (!read_head(http, &head)) {
        return;
    }
    reason = json_string_value(json_object_get(head.body, "reason"));
    StateCmd_WaveControl(&command, name, (StateWaveAction)i,
                         head.operator_name, head.request_id,
                         reason != NULL ? reason : "by an operator");
    submit_change(control, http, command);
    json_decref(head.body);
}

void
Control_HandleRemoveVm(Control *control, HttpRequest *http, const char *name)
{
    ChangeHead head;
    Buf command = BUF_INIT;

    if (read_head(http, &head)) {
        StateCmd_RemoveVm(&command, name, head.operator_name, head.request_id);
        submit_change(control, http, command);
        json_decref(head.body);
    }
}

void
Control_HandleDestroyed(Control *control, HttpRequest *http, const char *name)
{
    ChangeHead head;
    Buf command = BUF_INIT;

    if (read_head(http, &head)) {
        StateCmd_DeclareDestroyed(&command, name, head.operator_name,
                                  head.request_id);
        submit_change(control, http, command);
        json_decref(head.body);
    }
}
