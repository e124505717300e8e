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

typedef CliExit (*CliFunction)(const CliOptions *options);

static const char *
word(const CliOptions *options, int i)
{
    return i < options->word_count ? options->words[i] : NULL;
}

static CliExit
bad_usage(const char *text)
{
    fprintf(stderr, "coltsfoot: usage: coltsfoot %s\n", text);
    return CLI_BAD_INPUT;
}

static const char *
text_of(const json_t *json, const char *key)
{
    const char *text = json_string_value(json_object_get(json, key));

    return text != NULL ? text : "";
}

/* Prints findings of the daemon as "FILE:LINE: PATH: REASON". */
static void
print_findings(const json_t *json, const char *file)
{
    size_t i;
    json_t *finding;

    json_array_foreach(json_object_get(json, "findings"), i, finding)
    {
        fprintf(stderr, "%s:%" JSON_INTEGER_FORMAT ": %s: %s\n", file,
                json_integer_value(json_object_get(finding, "line")),
                text_of(finding, "path"), text_of(finding, "reason"));
    }
}

static void
print_refusal(const CliAnswer *answer, const json_t *json, const char *file)
{
    const char *reason = text_of(json, "message");
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

/* Says what is known when no definite answer came. */
static void
print_unknown(const CliAnswer *answer, const json_t *json,
              const char *request_id)
{
    const char *reason =
        answer->status != 0 ? text_of(json, "message") : answer->reason;

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
    Cli_Render(&out, json, 0);
    fputs(Buf_Text(&out), stdout);
    Buf_Free(&out);
}

/* Sends a request and prints its answer. request_id is NULL for reads. */
static CliExit
exchange(const CliOptions *options, CliRequest *request,
         const char *request_id, const char *file)
{
    CliAnswer answer;
    json_t *json;
    CliExit status;

    if (options->to_count == 0) {
        fprintf(stderr, "coltsfoot: give --to IP:PORT or set "
                        "COLTSFOOT_CONTROL\n");
        return CLI_BAD_INPUT;
    }
    request->to = options->to;
    request->to_count = options->to_count;
    request->timeout_ms = options->timeout_ms;
    request->resend = request_id != NULL;
    Cli_Send(request, &answer);
    json = json_loadb(answer.body.data != NULL ? answer.body.data : "",
                      answer.body.len, JSON_DECODE_ANY, NULL);
    status = Cli_ExitOf(answer.status);
    if (status == CLI_OK) {
        print_body(options, &answer, json);
    }
    else {
        if (options->json && json != NULL) {
            print_body(options, &answer, json);
        }
        if (status == CLI_UNKNOWN) {
            print_unknown(&answer, json, request_id);
        }
        else {
            print_refusal(&answer, json, file);
        }
    }
    json_decref(json);
    Buf_Free(&answer.body);
    return status;
}

static CliExit
get(const CliOptions *options, const char *path, const char *parameter)
{
    CliRequest request = {.method = "GET"};
    Buf url = BUF_INIT;
    CliExit status;

    Buf_Printf(&url, "%s", path);
    if (parameter != NULL) {
        Cli_EscapeUrl(&url, parameter);
    }
    request.path = Buf_Text(&url);
    status = exchange(options, &request, NULL, "answer");
    Buf_Free(&url);
    return status;
}

/* Sends a JSON change with operator and request id; takes over body. */
static CliExit
change(const CliOptions *options, const char *path, json_t *body)
{
    CliRequest request = {.method = "POST", .type = "application/json"};
    char fresh[CLI_ID_BYTES];
    const char *id = options->request_id;
    char *text;
    CliExit status;

    if (options->operator_name == NULL) {
        fprintf(stderr, "coltsfoot: give --operator NAME or set "
                        "COLTSFOOT_OPERATOR\n");
        json_decref(body);
        return CLI_BAD_INPUT;
    }
    if (id == NULL) {
        Cli_NewRequestId(fresh);
        id = fresh;
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
    status = exchange(options, &request, id, "answer");
    free(text);
    return status;
}

static CliExit
run_check(const CliOptions *options)
{
    const char *file = word(options, 1);
    Settings *settings;
    Findings *findings;
    Status status;

    if (file == NULL || options->word_count > 2) {
        return bad_usage("check FILE");
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

/* Reads a file, or standard input for "-". Returns false when it cannot. */
static bool
read_text(const char *file, Buf *text)
{
    bool standard = strcmp(file, "-") == 0;
    FILE *in = standard ? stdin : fopen(file, "rb");
    char part[4096];
    size_t len;
    bool ok;

    if (in == NULL) {
        return false;
    }
    while (text->len <= (size_t)YAML_TREE_MAX_BYTES &&
           (len = fread(part, 1, sizeof(part), in)) > 0) {
        Buf_Append(text, part, len);
    }
    ok = ferror(in) == 0;
    if (!standard) {
        fclose(in);
    }
    return ok;
}

/* Returns the request id of a patch text as a string to be freed. */
static char *
id_of_patch(const Buf *text)
{
    Findings *findings = Findings_New("patch");
    YamlTree *tree = YamlTree_Parse(text->data, text->len, findings);
    const YamlNode *node = NULL;
    char *id = NULL;

    if (tree != NULL) {
        node = YamlNode_Find(YamlTree_Root(tree), "request_id");
    }
    if (node != NULL) {
        id = strdup(YamlNode_Text(node));
    }
    YamlTree_Free(tree);
    Findings_Free(findings);
    return id;
}

static CliExit
run_patch(const CliOptions *options)
{
    const char *file = word(options, 1);
    CliRequest request = {
        .method = "POST", .path = "/v1/patch", .type = "application/yaml"};
    Buf text = BUF_INIT;
    Buf patch = BUF_INIT;
    Findings *findings = Findings_New(file != NULL ? file : "options");
    CliExit status = CLI_BAD_INPUT;

    if (file != NULL && !read_text(file, &text)) {
        fprintf(stderr, "coltsfoot: %s cannot be read\n", file);
    }
    else if (Cli_PatchText(options, text.data != NULL ? text.data : "",
                           text.len, &patch, findings) != ST_OK) {
        Findings_Print(findings, stderr);
    }
    else {
        char *id = id_of_patch(&patch);
        request.body = Buf_Text(&patch);
        status =
            exchange(options, &request, id, file != NULL ? file : "options");
        free(id);
    }
    Findings_Free(findings);
    Buf_Free(&text);
    Buf_Free(&patch);
    return status;
}

static CliExit
run_show(const CliOptions *options)
{
    const char *path = word(options, 1);

    return path == NULL ? get(options, "/v1/config", NULL)
                        : get(options, "/v1/config?path=", path);
}

static CliExit
run_status(const CliOptions *options)
{
    return get(options, "/v1/status", NULL);
}

static CliExit
run_vms(const CliOptions *options)
{
    const char *name = word(options, 2);
    Buf path = BUF_INIT;
    CliExit status;

    if (options->word_count == 1) {
        return get(options, "/v1/vms", NULL);
    }
    if (strcmp(word(options, 1), "remove") != 0 || name == NULL) {
        return bad_usage("vms [remove NAME]");
    }
    Buf_Printf(&path, "/v1/vms/");
    Cli_EscapeUrl(&path, name);
    Buf_Printf(&path, "/remove");
    status = change(options, Buf_Text(&path), json_object());
    Buf_Free(&path);
    return status;
}

static CliExit
run_members(const CliOptions *options)
{
    const char *action = word(options, 1);
    const char *name = word(options, 2);
    Buf path = BUF_INIT;
    CliExit status;

    if (action == NULL || name == NULL || strcmp(action, "destroyed") != 0) {
        return bad_usage("members destroyed NAME");
    }
    Buf_Printf(&path, "/v1/members/");
    Cli_EscapeUrl(&path, name);
    Buf_Printf(&path, "/destroyed");
    status = change(options, Buf_Text(&path), json_object());
    Buf_Free(&path);
    return status;
}

static CliExit
run_pools(const CliOptions *options)
{
    return get(options, "/v1/pools", NULL);
}

static CliExit
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
    return change(options, "/v1/waves", body);
}

static CliExit
run_wave(const CliOptions *options)
{
    static const char text[] = "wave start|show|pause|resume|cancel NAME";
    const char *action = word(options, 1);
    const char *name = word(options, 2);
    Buf path = BUF_INIT;
    json_t *body;
    CliExit status;

    if (action == NULL || name == NULL) {
        return bad_usage(text);
    }
    if (strcmp(action, "start") == 0) {
        return options->vm_count > 0
                   ? start_wave(options, name)
                   : bad_usage("wave start NAME --vm VM [--vm VM]...");
    }
    if (strcmp(action, "show") == 0) {
        return get(options, "/v1/waves/", name);
    }
    if (strcmp(action, "pause") != 0 && strcmp(action, "resume") != 0 &&
        strcmp(action, "cancel") != 0) {
        return bad_usage(text);
    }
    Buf_Printf(&path, "/v1/waves/");
    Cli_EscapeUrl(&path, name);
    Buf_Printf(&path, "/%s", action);
    body = json_object();
    if (options->reason != NULL) {
        json_object_set_new(body, "reason", json_string(options->reason));
    }
    status = change(options, Buf_Text(&path), body);
    Buf_Free(&path);
    return status;
}

static CliExit
run_report(const CliOptions *options)
{
    const char *format = options->format;

    if (format == NULL) {
        format = options->json ? "json" : "text";
    }
    if (strcmp(format, "text") != 0 && strcmp(format, "json") != 0 &&
        strcmp(format, "html") != 0) {
        return bad_usage("report [--format text|json|html]");
    }
    return get(options, "/v1/report/burn?format=", format);
}

static CliExit
run_explain(const CliOptions *options)
{
    const char *subject = word(options, 1);

    if (subject == NULL) {
        return bad_usage("explain SUBJECT");
    }
    return get(options, "/v1/explain?subject=", subject);
}

CliExit
Cli_Run(const CliOptions *options)
{
    static const struct {
        const char *name;
        CliFunction function;
    } commands[] = {
        {"check", run_check},     {"patch", run_patch},
        {"show", run_show},       {"status", run_status},
        {"vms", run_vms},         {"pools", run_pools},
        {"wave", run_wave},       {"report", run_report},
        {"explain", run_explain}, {"members", run_members},
    };
    size_t i;

    for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        if (strcmp(commands[i].name, options->words[0]) == 0) {
            return commands[i].function(options);
        }
    }
    fprintf(stderr, "coltsfoot: unknown command %s; see coltsfoot --help\n",
            options->words[0]);
    return CLI_BAD_INPUT;
}
