/*
 * NAME
 *     cloud-3 - the service of the platform that lists machines and carries
 *     out moves and upkeeps
 *
 * DESCRIPTION
 *     Answers GET /api/machines, POST /api/machine-move and POST
 *     /api/machine-upkeep as PROTOCOL.md says, with fencing tokens for each
 *     machine. A machine of which an upkeep begins is told so (minion-3) and
 *     is back after the time of an upkeep, with its minion under another id.
 *
 *     With --late N, the first upkeep call for each of the first N machines
 *     and all others for these machines within 2 s of it get no answer; the
 *     first one is carried out --late-ms after its arrival.
 *
 *     Each event is appended to a file as one line:
 *         CALL wall machine wave fence holder
 *         LATE wall machine
 *         UPKEEP wall machine wave, with the machines that are down then
 *         ANSWER wall machine status reason
 *         LIST wall token first N count N next token (if lists have pages)
 */
#include <apr_general.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#include "httpclient.h"
#include "httpserver.h"
#include "loop.h"
#include "mem.h"
#include "settings.h"

#define MAX_MACHINES 32
#define UPKEEP_MS 2000

typedef struct Machine {
    char name[64];
    char id[64];
    SettingsAddress address;
    int64_t back_ms;  /* end of its upkeep, or 0 */
    int64_t first_ms; /* arrival of the first call without an answer */
    int64_t late_ms;  /* when that is carried out, or 0 */
    int64_t late_fence;
    int64_t late_wave;
    int64_t fence;
    int64_t done_wave; /* wave of its last upkeep */
    int lives;
} Machine;

static struct {
    Loop *loop;
    HttpClient *client;
    FILE *events;
    Machine machines[MAX_MACHINES];
    size_t count;
    int late;
    int late_ms;
    int page;        /* machines in a page */
    int token_bytes; /* length of the token of a page */
} c;

static int64_t
wall_ms(void)
{
    struct timeval now;

    gettimeofday(&now, NULL);
    return (int64_t)now.tv_sec * 1000 + now.tv_usec / 1000;
}

static void
on_told(void *arg, const HttpCallResult *result)
{
    (void)arg;
    (void)result;
}

static void
begin_upkeep(Machine *machine, int64_t wave)
{
    HttpCallOptions options = {.method = "POST",
                               .address = machine->address,
                               .path = "/standin/upkeep",
                               .timeout_ms = 1000,
                               .max_answer_bytes = 4096,
                               .body = "",
                               .body_len = 0};
    size_t i;

    fprintf(c.events, "UPKEEP %lld %s %lld down:", (long long)wall_ms(),
            machine->name, (long long)wave);
    for (i = 0; i < c.count; i++) {
        if (c.machines[i].back_ms != 0) {
            fprintf(c.events, " %s", c.machines[i].name);
        }
    }
    fprintf(c.events, "\n");
    fflush(c.events);
    machine->back_ms = Loop_NowMs() + UPKEEP_MS;
    machine->done_wave = wave;
    HttpClient_StartCall(c.client, &options, on_told, NULL);
}

static void
on_tick(void *arg)
{
    int64_t now = Loop_NowMs();
    size_t i;

    (void)arg;
    for (i = 0; i < c.count; i++) {
        Machine *machine = &c.machines[i];
        if (machine->back_ms != 0 && now >= machine->back_ms) {
            machine->back_ms = 0;
            machine->lives++;
        }
        if (machine->late_ms != 0 && now >= machine->late_ms) {
            machine->late_ms = 0;
            fprintf(c.events, "LATE %lld %s\n", (long long)wall_ms(),
                    machine->name);
            if (machine->late_fence >= machine->fence &&
                machine->back_ms == 0 &&
                machine->done_wave != machine->late_wave) {
                machine->fence = machine->late_fence;
                begin_upkeep(machine, machine->late_wave);
            }
            fflush(c.events);
        }
    }
}

static void
reply(HttpRequest *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);

    HttpRequest_ReplyText(request, status, "application/json", text);
    free(text);
    json_decref(body);
}

/* Returns the index of the first machine of a page. The token of a page ends
 * with that index. */
static size_t
read_token(const char *token)
{
    size_t len = token != NULL ? strlen(token) : 0;

    return len >= 2 ? (size_t)atoi(token + len - 2) : 0;
}

static void
write_token(size_t first, char *token, size_t size)
{
    size_t i;

    for (i = 0; i + 2 < (size_t)c.token_bytes && i + 3 < size; i++) {
        token[i] = "abcdefghijklmnopqrstuvwxyz"[i % 26];
    }
    snprintf(token + i, size - i, "%02zu", first);
}

static void
list_machines(HttpRequest *request)
{
    const char *page = HttpRequest_GetQuery(request, "page-token");
    size_t first = read_token(page);
    size_t end =
        first + (size_t)c.page < c.count ? first + (size_t)c.page : c.count;
    json_t *list = json_array();
    char token[256] = "";
    char id[80];
    size_t i;

    for (i = first; i < end; i++) {
        const Machine *machine = &c.machines[i];
        if (machine->lives == 0) {
            snprintf(id, sizeof(id), "%s", machine->id);
        }
        else {
            snprintf(id, sizeof(id), "%s-%d", machine->id, machine->lives);
        }
        json_array_append_new(
            list,
            json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:i,s:i,s:i},s:s}",
                      "machine", machine->name, "pool", "p", "state",
                      machine->back_ms != 0 ? "upkeep" : "up", "zone", "north",
                      "labels", "a", "r-0", "capacity", "cpu", 16000, "mem-mb",
                      32768, "gpu", 0, "id", machine->back_ms != 0 ? "" : id));
    }
    if (end < c.count) {
        write_token(end, token, sizeof(token));
    }
    if (c.page < MAX_MACHINES) {
        fprintf(c.events, "LIST %lld %s first %zu count %zu next %s\n",
                (long long)wall_ms(), page != NULL ? page : "-", first,
                end - first, token[0] != '\0' ? token : "-");
        fflush(c.events);
    }
    reply(request, 200,
          json_pack("{s:o,s:s}", "machines", list, "next-token", token));
}

static void
answer(HttpRequest *request, const Machine *machine, int status,
       const char *reason)
{
    fprintf(c.events, "ANSWER %lld %s %d %s\n", (long long)wall_ms(),
            machine != NULL ? machine->name : "?", status, reason);
    fflush(c.events);
    reply(request, status,
          reason[0] != '\0' ? json_pack("{s:s}", "reason", reason)
                            : json_object());
}

static Machine *
find_machine(const char *name)
{
    size_t i;

    for (i = 0; name != NULL && i < c.count; i++) {
        if (strcmp(c.machines[i].name, name) == 0) {
            return &c.machines[i];
        }
    }
    return NULL;
}

/* Returns whether a call gets no answer. */
static bool
is_lost(Machine *machine, int64_t wave, int64_t fence)
{
    int64_t now = Loop_NowMs();

    if (machine->first_ms == 0 && c.late > 0) {
        c.late--;
        machine->first_ms = now;
        machine->late_ms = now + c.late_ms;
        machine->late_fence = fence;
        machine->late_wave = wave;
        return true;
    }
    return machine->first_ms != 0 && now - machine->first_ms < 2000;
}

static void
on_request(void *arg, HttpRequest *request)
{
    const char *fence_text = HttpRequest_GetHeader(request, "X-Fencing-Token");
    const char *holder = HttpRequest_GetHeader(request, "X-Lease-Holder");
    int64_t fence = fence_text != NULL ? atoll(fence_text) : 0;
    size_t len;
    const char *text = HttpRequest_GetBody(request, &len);
    json_t *body;
    Machine *machine;
    int64_t wave;

    (void)arg;
    if (strcmp(HttpRequest_GetMethod(request), "GET") == 0) {
        list_machines(request);
        return;
    }
    body = json_loadb(text, len, 0, NULL);
    machine =
        find_machine(json_string_value(json_object_get(body, "machine")));
    wave = json_integer_value(json_object_get(body, "wave"));
    json_decref(body);
    fprintf(c.events, "CALL %lld %s %lld %lld %s\n", (long long)wall_ms(),
            machine != NULL ? machine->name : "?", (long long)wave,
            (long long)fence, holder != NULL ? holder : "");
    fflush(c.events);
    if (machine == NULL || wave == 0) {
        answer(request, machine, 400, "");
        return;
    }
    if (is_lost(machine, wave, fence)) {
        return; /* never answered */
    }
    if (fence < machine->fence) {
        answer(request, machine, 409, "fence");
        return;
    }
    machine->fence = fence;
    if (machine->done_wave == wave) {
        answer(request, machine, 200, "");
    }
    else if (machine->back_ms != 0) {
        answer(request, machine, 409, "busy");
    }
    else {
        begin_upkeep(machine, wave);
        answer(request, machine, 200, "");
    }
}

int
main(int argc, char **argv)
{
    struct arg_str *listen_at =
        arg_str1(NULL, "listen", "IP:PORT", "address of the service");
    struct arg_str *machines = arg_strn(NULL, "machine", "NAME=ID=IP:PORT", 1,
                                        MAX_MACHINES, "a machine");
    struct arg_str *events = arg_str1(NULL, "events", "FILE", "events");
    struct arg_int *late = arg_int0(NULL, "late", "N", "see above (0)");
    struct arg_int *late_ms = arg_int0(NULL, "late-ms", "MS", "see above");
    struct arg_int *page =
        arg_int0(NULL, "page", "N", "machines in a page (32)");
    struct arg_int *token_bytes =
        arg_int0(NULL, "token-bytes", "N", "length of page tokens (16)");
    struct arg_end *end = arg_end(20);
    void *table[] = {listen_at, machines, events,      late,
                     late_ms,   page,     token_bytes, end};
    HttpServerOptions options = {
        .max_body_bytes = 65536, .idle_timeout_s = 30, .handler = on_request};
    ErrCtx err;
    int i;

    late->ival[0] = 0;
    late_ms->ival[0] = 5000;
    page->ival[0] = MAX_MACHINES;
    token_bytes->ival[0] = 16;
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "cloud-3");
        return 2;
    }
    apr_initialize();
    curl_global_init(CURL_GLOBAL_ALL);
    for (i = 0; i < machines->count; i++) {
        Machine *machine = &c.machines[c.count++];
        char address[64];
        if (sscanf(machines->sval[i], "%63[^=]=%63[^=]=%63s", machine->name,
                   machine->id, address) != 3 ||
            !Settings_ParseAddress(address, &machine->address)) {
            return 2;
        }
    }
    c.late = late->ival[0];
    c.late_ms = late_ms->ival[0];
    c.page = page->ival[0];
    c.token_bytes = token_bytes->ival[0];
    c.events = fopen(events->sval[0], "a");
    c.loop = Loop_New(&err);
    if (c.events == NULL || c.loop == NULL ||
        !Settings_ParseAddress(listen_at->sval[0], &options.address)) {
        return 2;
    }
    c.client = HttpClient_New(c.loop, 0);
    if (HttpServer_New(c.loop, &options, &err) == NULL) {
        fprintf(stderr, "%s\n", err.message);
        return 2;
    }
    Loop_Arm(Loop_NewTimer(c.loop, on_tick, NULL), 5, 5);
    Loop_Run(c.loop);
    return EXIT_SUCCESS;
}
