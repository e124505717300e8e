#include "cli.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli_http.h"
#include "cli_print.h"
#include "yaml_tree.h"

typedef CliExitStatus (*CliCommand)(const CliOptions *options);

static const char *
get_argument(const CliOptions *options, int i)
{
    return i < options->argument_count ? options->arguments[i] : NULL;
}

static CliExitStatus
print_usage(const char *text)
{
    fprintf(stderr, "coltsfoot: usage: coltsfoot %s\n", text);
    return CLI_BAD_INPUT;
}

static const char *
get_text(const json_t *json, const char *key)
{
    const char *text = json_string_value(json_object_get(json, key));

    return text != NULL ? text : "";
}

/* Prints the daemon's findings as "FILE:LINE: PATH: REASON". */
static void
print_findings(const json_t *json, const char *file)
{
    size_t i;
    json_t *finding;

    json_array_foreach(json_object_get(json, "findings"), i, finding)
    {
        fprintf(stderr, "%s:%" JSON_INTEGER_FORMAT ": %s: %s\n", file,
                json_integer_value(json_object_get(finding, "line")),
                get_text(finding, "path"), get_text(finding, "reason"));
    }
}

static void
print_refusal(const CliAnswer *answer, const json_t *json, const char *file)
{
    const char *reason = get_text(json, "message");
    size_t i;
    json_t *path;

    fprintf(stderr, "coltsfoot: %s (HTTP %ld)\n",
            reason[0] != '\0' ? reason : "refused", answer->status);
    if (json_object_get(json, "version") != NULL) {
        fprintf(stderr, "current version: %" JSON_INTEGER_FORMAT "\n",
                json_integer_value(json_object_get(json, "version")));
    }
    json_array_foreach(json_object_get(json, "conflicts"), i, path)
    {
        fprintf(stderr, "conflict: %s\n", json_string_value(path));
    }
    print_findings(json, file);
}

/* Reports that a request got no definite answer, and whether it may have taken
 * effect. */
static void
print_unknown_result(const CliAnswer *answer, const json_t *json,
                     const char *request_id)
{
    const char *reason =
        answer->status != 0 ? get_text(json, "message") : answer->reason;

    if (!answer->sent) {
        fprintf(stderr, "coltsfoot: unreachable: %s\n", reason);
        return;
    }
    if (request_id == NULL) {
        fprintf(stderr, "coltsfoot: no answer: %s (HTTP %ld)\n", reason,
                answer->status);
        return;
    }
    fprintf(stderr,
            "coltsfoot: the result is unknown after %d attempts: %s (HTTP "
            "%ld)\nThe change may have been accepted. Repeat it with "
            "--request-id %s to learn its result.\n",
            answer->attempts, reason, answer->status, request_id);
}

static void
print_body(const CliOptions *options, CliAnswer *answer, const json_t *json)
{
    Buf out = BUF_INIT;

    if (json == NULL || options->json) {
        fwrite(answer->body.data, 1, answer->body.len, stdout);
        if (answer->body.len > 0 &&
            answer->body.data[answer->body.len - 1] != '\n') {
            putchar('\n');
        }
        return;
    }
    Cli_AppendJson(&out, json, 0);
    fputs(Buf_Text(&out), stdout);
    Buf_Free(&out);
}

/* Sends a request and prints its answer. request_id is NULL for reads. file is
 * the file name that is printed with findings. */
static CliExitStatus
send_request(const CliOptions *options, CliRequest *request,
             const char *request_id, const char *file)
{
    CliAnswer answer;
    json_t *json;
    CliExitStatus status;

    if (options->address_count == 0) {
        fprintf(stderr, "coltsfoot: give --to IP:PORT or set "
                        "COLTSFOOT_CONTROL\n");
        return CLI_BAD_INPUT;
    }
    request->addresses = options->addresses;
    request->address_count = options->address_count;
    request->timeout_ms = options->timeout_ms;
    request->resend = request_id != NULL;
    Cli_SendRequest(request, &answer);
    json = json_loadb(answer.body.data != NULL ? answer.body.data : "",
                      answer.body.len, JSON_DECODE_ANY, NULL);
    status = Cli_GetExitStatus(answer.status);
    if (status == CLI_OK) {
        print_body(options, &answer, json);
    }
    else {
        if (options->json && json != NULL) {
            print_body(options, &answer, json);
        }
        if (status == CLI_UNKNOWN) {
            print_unknown_result(&answer, json, request_id);
        }
        else {
            print_refusal(&answer, json, file);
        }
    }
    json_decref(json);
    Buf_Free(&answer.body);
    return status;
}

static CliExitStatus
send_get(const CliOptions *options, const char *path, const char *parameter)
{
    CliRequest request = {.method = "GET"};
    Buf url = BUF_INIT;
    CliExitStatus status;

    Buf_Printf(&url, "%s", path);
    if (parameter != NULL) {
        Buf_AppendEscaped(&url, parameter);
    }
    request.path = Buf_Text(&url);
    status = send_request(options, &request, NULL, "answer");
    Buf_Free(&url);
    return status;
}

/* Sends a change as JSON with operator and request id. Takes ownership of
 * body. */
static CliExitStatus
send_change(const CliOptions *options, const char *path, json_t *body)
{
    CliRequest request = {.method = "POST",
                          .content_type = "application/json"};
    char generated_id[CLI_REQUEST_ID_BYTES];
    const char *id = options->request_id;
    char *text;
    CliExitStatus status;

    if (options->operator_name == NULL) {
        fprintf(stderr, "coltsfoot: give --operator NAME or set "
                        "COLTSFOOT_OPERATOR\n");
        json_decref(body);
        return CLI_BAD_INPUT;
    }
    if (id == NULL) {
        Cli_GenerateRequestId(generated_id);
        id = generated_id;
    }
    json_object_set_new(body, "operator", json_string(options->operator_name));
    json_object_set_new(body, "request_id", json_string(id));
    text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    if (text == NULL) {
        fprintf(stderr, "coltsfoot: arguments must be UTF-8\n");
        return CLI_BAD_INPUT;
    }
    request.path = path;
    request.body = text;
    status = send_request(options, &request, id, "answer");
    free(text);
    return status;
}

static CliExitStatus
run_check(const CliOptions *options)
{
    const char *file = get_argument(options, 1);
    Settings *settings;
    Findings *findings;
    Status status;

    if (file == NULL || options->argument_count > 2) {
        return print_usage("check FILE");
    }
    settings = malloc(sizeof(*settings));
    findings = Findings_New(file);
    if (settings == NULL || findings == NULL) {
        free(settings);
        Findings_Free(findings);
        return CLI_UNKNOWN;
    }
    status = Settings_Load(file, settings, findings);
    Findings_Print(findings, stderr);
    if (status == ST_OK) {
        printf("%s: settings of %s in %s are valid\n", file, settings->name,
               settings->data_centre);
    }
    Findings_Free(findings);
    free(settings);
    return status == ST_OK ? CLI_OK : CLI_BAD_INPUT;
}

/* Reads a file, or standard input for "-". Returns false on an error. */
static bool
read_text(const char *file, Buf *text)
{
    bool is_stdin = strcmp(file, "-") == 0;
    FILE *in = is_stdin ? stdin : fopen(file, "rb");
    char chunk[4096];
    size_t len;
    bool ok;

    if (in == NULL) {
        return false;
    }
    while (text->len <= (size_t)YAML_TREE_MAX_BYTES &&
           (len = fread(chunk, 1, sizeof(chunk), in)) > 0) {
        Buf_Append(text, chunk, len);
    }
    ok = ferror(in) == 0;
    if (!is_stdin) {
        fclose(in);
    }
    return ok;
}

/* Returns a copy of the request id in the text of a patch, or NULL. The caller
 * frees it. */
static char *
copy_request_id(const Buf *text)
{
    Findings *findings = Findings_New("patch");
    YamlTree *tree = YamlTree_Parse(text->data, text->len, findings);
    const YamlNode *node = NULL;
    char *id = NULL;

    if (tree != NULL) {
        node = YamlNode_FindValue(YamlTree_GetRoot(tree), "request_id");
    }
    if (node != NULL) {
        id = strdup(YamlNode_GetText(node));
    }
    YamlTree_Free(tree);
    Findings_Free(findings);
    return id;
}

static CliExitStatus
run_patch(const CliOptions *options)
{
    const char *file = get_argument(options, 1);
    CliRequest request = {.method = "POST",
                          .path = "/v1/patch",
                          .content_type = "application/yaml"};
    Buf text = BUF_INIT;
    Buf patch = BUF_INIT;
    Findings *findings = Findings_New(file != NULL ? file : "options");
    CliExitStatus status = CLI_BAD_INPUT;

    if (file != NULL && !read_text(file, &text)) {
        fprintf(stderr, "coltsfoot: %s cannot be read\n", file);
    }
    else if (Cli_BuildPatch(options, text.data != NULL ? text.data : "",
                            text.len, &patch, findings) != ST_OK) {
        Findings_Print(findings, stderr);
    }
    else {
        char *id = copy_request_id(&patch);
        request.body = Buf_Text(&patch);
        status = send_request(options, &request, id,
                              file != NULL ? file : "options");
        free(id);
    }
    Findings_Free(findings);
    Buf_Free(&text);
    Buf_Free(&patch);
    return status;
}

static CliExitStatus
run_show(const CliOptions *options)
{
    const char *path = get_argument(options, 1);

    return path == NULL ? send_get(options, "/v1/config", NULL)
                        : send_get(options, "/v1/config?path=", path);
}

static CliExitStatus
run_status(const CliOptions *options)
{
    return send_get(options, "/v1/status", NULL);
}

static CliExitStatus
run_vms(const CliOptions *options)
{
    const char *name = get_argument(options, 2);
    Buf path = BUF_INIT;
    CliExitStatus status;

    if (options->argument_count == 1) {
        return send_get(options, "/v1/vms", NULL);
    }
    if (strcmp(get_argument(options, 1), "remove") != 0 || name == NULL) {
        return print_usage("vms [remove NAME]");
    }
    Buf_Printf(&path, "/v1/vms/");
    Buf_AppendEscaped(&path, name);
    Buf_Printf(&path, "/remove");
    status = send_change(options, Buf_Text(&path), json_object());
    Buf_Free(&path);
    return status;
}

static CliExitStatus
run_members(const CliOptions *options)
{
    const char *action = get_argument(options, 1);
    const char *name = get_argument(options, 2);
    Buf path = BUF_INIT;
    CliExitStatus status;

    if (action == NULL || name == NULL || strcmp(action, "destroyed") != 0) {
        return print_usage("members destroyed NAME");
    }
    Buf_Printf(&path, "/v1/members/");
    Buf_AppendEscaped(&path, name);
    Buf_Printf(&path, "/destroyed");
    status = send_change(options, Buf_Text(&path), json_object());
    Buf_Free(&path);
    return status;
}

static CliExitStatus
run_pools(const CliOptions *options)
{
    return send_get(options, "/v1/pools", NULL);
}

static CliExitStatus
start_wave(const CliOptions *options, const char *name)
{
    json_t *vms = json_array();
    json_t *body;
    int64_t deadline_ms = 0;
    int i;

    for (i = 0; i < options->vm_count; i++) {
        json_array_append_new(vms, json_string(options->vms[i]));
    }
    if (options->deadline_s > 0) {
        deadline_ms = ((int64_t)time(NULL) + options->deadline_s) * 1000;
    }
    body = json_pack("{s:s,s:o,s:I}", "name", name, "vms", vms, "deadline_ms",
                     (json_int_t)deadline_ms);
    if (body == NULL) {
        fprintf(stderr, "coltsfoot: arguments must be UTF-8\n");
        return CLI_BAD_INPUT;
    }
    return send_change(options, "/v1/waves", body);
}

static CliExitStatus
run_wave(const CliOptions *options)
{
    static const char usage[] = "wave start|show|pause|resume|cancel NAME";
    const char *action = get_argument(options, 1);
    const char *name = get_argument(options, 2);
    Buf path = BUF_INIT;
    json_t *body;
    CliExitStatus status;

    if (action == NULL || name == NULL) {
        return print_usage(usage);
    }
    if (strcmp(action, "start") == 0) {
        return options->vm_count > 0
                   ? start_wave(options, name)
                   : print_usage("wave start NAME --vm VM [--vm VM]...");
    }
    if (strcmp(action, "show") == 0) {
        return send_get(options, "/v1/waves/", name);
    }
    if (strcmp(action, "pause") != 0 && strcmp(action, "resume") != 0 &&
        strcmp(action, "cancel") != 0) {
        return print_usage(usage);
    }
    Buf_Printf(&path, "/v1/waves/");
    Buf_AppendEscaped(&path, name);
    Buf_Printf(&path, "/%s", action);
    body = json_object();
    if (options->reason != NULL) {
        json_object_set_new(body, "reason", json_string(options->reason));
    }
    status = send_change(options, Buf_Text(&path), body);
    Buf_Free(&path);
    return status;
}

static CliExitStatus
run_report(const CliOptions *options)
{
    const char *format = options->format;

    if (format == NULL) {
        format = options->json ? "json" : "text";
    }
    if (strcmp(format, "text") != 0 && strcmp(format, "json") != 0 &&
        strcmp(format, "html") != 0) {
        return print_usage("report [--format text|json|html]");
    }
    return send_get(options, "/v1/report/burn?format=", format);
}

static CliExitStatus
run_explain(const CliOptions *options)
{
    const char *subject = get_argument(options, 1);

    if (subject == NULL) {
        return print_usage("explain SUBJECT");
    }
    return send_get(options, "/v1/explain?subject=", subject);
}

CliExitStatus
Cli_RunCommand(const CliOptions *options)
{
    static const struct {
        const char *name;
        CliCommand function;
    } commands[] = {
        {"check", run_check},     {"patch", run_patch},
        {"show", run_show},       {"status", run_status},
        {"vms", run_vms},         {"pools", run_pools},
        {"wave", run_wave},       {"report", run_report},
        {"explain", run_explain}, {"members", run_members},
    };
    size_t i;

    for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        if (strcmp(commands[i].name, options->arguments[0]) == 0) {
            return commands[i].function(options);
        }
    }
    fprintf(stderr, "coltsfoot: unknown command %s; see coltsfoot --help\n",
            options->arguments[0]);
    return CLI_BAD_INPUT;
}
