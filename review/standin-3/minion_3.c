/*
 * NAME
 *     minion-3 - one minion of the users' platform, in one process
 *
 * DESCRIPTION
 *     Announces itself to control addresses and takes starts, stops and holds
 *     as PROTOCOL.md says: fencing tokens, leases, ends that are listed until
 *     they are acknowledged, runs that were stopped or ended are not started
 *     again. A crash is a SIGKILL of the process; a restart is a new process
 *     with the same or another id, whose clock and counts start anew.
 *
 *     The spec of a job tells the minion what its tasks do: words of the form
 *     "ms=N" (a task runs so long), "last" (it runs until it is stopped) and
 *     "cpu=N" (its part of the minion's room).
 *
 *     Each event is appended to a file as one line and flushed:
 *         BORN wall id/born labels
 *         START wall id/born task attempt spec
 *         END wall id/born task attempt how number
 *         ACK wall id/born cursor
 *         UPKEEP wall id/born
 *
 *     POST /standin/upkeep, which only cloud-3 sends, ends all runs at once;
 *     the minion is down for the time of an upkeep and starts anew under
 *     another id.
 */
#include <apr_general.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#include "httpclient.h"
#include "httpserver.h"
#include "keymap.h"
#include "loop.h"
#include "mem.h"
#include "platform_client.h"
#include "platform_wire.h"

#define MAX_RUNS 512
#define MAX_CONTROLS 8
#define MAX_LABELS 4
#define TICK_MS 5
#define ANNOUNCE_MS 1500
#define MAX_LEASE_MS 6000
#define STOP_MS 100
#define STARTUP_MS 200
#define UPKEEP_MS 2000

typedef struct Run {
    JobTaskRef task;
    uint32_t attempt;
    int64_t begin_ms;
    int64_t due_ms; /* 0: lasts */
    int64_t stop_ms;
    uint32_t cpu;
} Run;

typedef struct Hold {
    HttpRequest *request;
    int64_t due_ms;
    struct Hold *next;
} Hold;

static struct {
    Loop *loop;
    HttpClient *client;
    FILE *events;
    SettingsAddress controls[MAX_CONTROLS];
    size_t control_count;
    size_t next;
    SettingsAddress named;
    int redirects;
    bool calling;
    Buf body;
    JobAnnouncement self;
    char first_id[JOB_NAME_BYTES];
    int lives;
    char label[JOB_NAME_BYTES + 24];
    int64_t begin_ms;
    int64_t down_until_ms;
    uint64_t fence;
    int64_t lease_ms;
    Run runs[MAX_RUNS];
    size_t run_count;
    JobEnd *ends;
    size_t end_count;
    uint64_t last_end;
    Keymap *highest;
    Hold *holds;
} m;

static int64_t
wall_ms(void)
{
    struct timeval now;

    gettimeofday(&now, NULL);
    return (int64_t)now.tv_sec * 1000 + now.tv_usec / 1000;
}

static int64_t
clock_ms(void)
{
    return 1 + Loop_NowMs() - m.begin_ms;
}

static const char *
task_name(const JobTaskRef *task)
{
    static char name[JOB_ID_BYTES + 40];

    snprintf(name, sizeof(name), "%s.%u.%u.%u", task->job, task->occurrence,
             task->step, task->index);
    return name;
}

static void
begin_life(void)
{
    uint32_t i;

    m.begin_ms = Loop_NowMs();
    m.self.born = (uint64_t)wall_ms();
    m.self.order = 0;
    m.self.leaving = false;
    m.fence = 0;
    m.lease_ms = 0;
    m.run_count = 0;
    m.end_count = 0;
    m.last_end = 0;
    Keymap_Free(m.highest);
    m.highest = Keymap_New();
    snprintf(m.label, sizeof(m.label), "%s/%llu", m.self.id,
             (unsigned long long)m.self.born);
    fprintf(m.events, "BORN %lld %s", (long long)wall_ms(), m.label);
    for (i = 0; i < m.self.label_count; i++) {
        fprintf(m.events, " %s", m.self.labels[i]);
    }
    fprintf(m.events, "\n");
    fflush(m.events);
}

static void
note_attempt(const JobTaskRef *task, uint32_t attempt)
{
    uint64_t key = Keymap_HashText(task_name(task));
    uint32_t highest = 0;

    Keymap_Get(m.highest, key, &highest);
    Keymap_Put(m.highest, key, attempt > highest ? attempt : highest);
}

static Run *
find_run(const JobTaskRef *task, uint32_t attempt)
{
    size_t i;

    for (i = 0; i < m.run_count; i++) {
        Run *run = &m.runs[i];
        if (run->attempt == attempt && run->task.step == task->step &&
            run->task.index == task->index &&
            run->task.occurrence == task->occurrence &&
            strcmp(run->task.job, task->job) == 0) {
            return run;
        }
    }
    return NULL;
}

static void
end_run(Run *run, JobEndKind kind)
{
    static const char *const kinds[] = {"done", "failed", "stopped", "lapsed"};
    JobEnd *end;

    m.ends = Mem_Resize(m.ends, (m.end_count + 1) * sizeof(*m.ends));
    end = &m.ends[m.end_count++];
    *end = (JobEnd){.task = run->task,
                    .attempt = run->attempt,
                    .kind = kind,
                    .number = ++m.last_end,
                    .checkpoint = ""};
    fprintf(m.events, "END %lld %s %s %u %s %llu\n", (long long)wall_ms(),
            m.label, task_name(&run->task), run->attempt, kinds[kind],
            (unsigned long long)end->number);
    fflush(m.events);
    note_attempt(&run->task, run->attempt);
    *run = m.runs[--m.run_count];
}

static void
answer_call(HttpRequest *request, JobActionKind kind, JobCallAnswer *answer)
{
    Buf body = BUF_INIT;
    HttpReply reply = {.content_type = "application/json"};

    answer->clock_ms = clock_ms();
    answer->born = m.self.born;
    reply.status = PlatformClient_EncodeTargetAnswer(kind, answer, &body);
    reply.body = body.data;
    reply.body_len = body.len;
    HttpRequest_Reply(request, &reply);
    Buf_Free(&body);
}

static uint32_t
get_percent(const Run *run)
{
    int64_t age = Loop_NowMs() - run->begin_ms;

    if (run->due_ms == 0) {
        return age >= STARTUP_MS ? 100 : 0;
    }
    return (uint32_t)(age * 100 / (run->due_ms - run->begin_ms + 1));
}

static void
answer_hold(HttpRequest *request)
{
    JobRunning running[MAX_RUNS];
    JobCallAnswer answer = {.outcome = JOB_CALL_OK, .running = running};
    size_t i;

    for (i = 0; i < m.run_count; i++) {
        running[i] = (JobRunning){.task = m.runs[i].task,
                                  .attempt = m.runs[i].attempt,
                                  .checkpoint = "",
                                  .percent = get_percent(&m.runs[i]),
                                  .load = 100};
    }
    answer.running_count = m.run_count;
    answer.ends = m.ends;
    answer.end_count = m.end_count < 500 ? m.end_count : 500;
    answer_call(request, JOB_ACTION_HOLD, &answer);
}

static void
answer_due_holds(bool all)
{
    Hold **link = &m.holds;

    while (*link != NULL) {
        Hold *hold = *link;
        if (!all && hold->due_ms > Loop_NowMs()) {
            link = &hold->next;
            continue;
        }
        *link = hold->next;
        answer_hold(hold->request);
        free(hold);
    }
}

/* Ends what is over. Precedes each use of the runs. */
static void
advance(void)
{
    int64_t now = Loop_NowMs();
    uint64_t before = m.last_end;
    size_t i;

    if (m.lease_ms > 0 && clock_ms() >= m.lease_ms) {
        while (m.run_count > 0) {
            end_run(&m.runs[0], JOB_END_LAPSED);
        }
        m.lease_ms = 0;
    }
    for (i = m.run_count; i > 0; i--) {
        Run *run = &m.runs[i - 1];
        if (run->stop_ms != 0 && run->stop_ms <= now) {
            end_run(run, JOB_END_STOPPED);
        }
        else if (run->stop_ms == 0 && run->due_ms != 0 && run->due_ms <= now) {
            end_run(run, JOB_END_DONE);
        }
    }
    answer_due_holds(m.last_end != before);
}

static void
extend_lease(const JobAction *action)
{
    int64_t latest = clock_ms() + MAX_LEASE_MS;
    int64_t deadline =
        action->deadline_ms < latest ? action->deadline_ms : latest;

    if (deadline > m.lease_ms && deadline > clock_ms()) {
        m.lease_ms = deadline;
    }
}

static int
read_word(const char *spec, const char *word, int fallback)
{
    const char *at = spec != NULL ? strstr(spec, word) : NULL;

    return at != NULL ? atoi(at + strlen(word)) : fallback;
}

static JobCallOutcome
start_run(const JobAction *action)
{
    uint32_t cpu = (uint32_t)read_word(action->text, "cpu=", 500);
    int run_ms = read_word(action->text, "ms=", 500);
    uint64_t used = cpu;
    uint32_t highest = 0;
    size_t i;
    Run *run;

    if (action->deadline_ms > 0 && action->deadline_ms <= clock_ms()) {
        return JOB_CALL_LATE;
    }
    extend_lease(action);
    if (find_run(&action->task, action->attempt) != NULL) {
        return JOB_CALL_OK;
    }
    Keymap_Get(m.highest, Keymap_HashText(task_name(&action->task)), &highest);
    if (action->attempt <= highest) {
        return JOB_CALL_STALE;
    }
    for (i = 0; i < m.run_count; i++) {
        used += m.runs[i].cpu;
    }
    if (used > m.self.room.cpu || m.run_count == MAX_RUNS) {
        return JOB_CALL_NO_ROOM;
    }
    run = &m.runs[m.run_count++];
    *run = (Run){.task = action->task,
                 .attempt = action->attempt,
                 .begin_ms = Loop_NowMs(),
                 .cpu = cpu};
    if (strstr(action->text, "last") == NULL) {
        run->due_ms = run->begin_ms + run_ms;
    }
    fprintf(m.events, "START %lld %s %s %u %s\n", (long long)wall_ms(),
            m.label, task_name(&run->task), run->attempt, action->text);
    fflush(m.events);
    return JOB_CALL_OK;
}

static void
stop_run(const JobAction *action)
{
    Run *run = find_run(&action->task, action->attempt);

    if (run == NULL) {
        note_attempt(&action->task, action->attempt);
    }
    else if (run->stop_ms == 0) {
        run->stop_ms = Loop_NowMs() + STOP_MS;
    }
}

static void
hold_runs(const JobAction *action, HttpRequest *request)
{
    Hold *hold;
    size_t count = 0;

    extend_lease(action);
    while (count < m.end_count && m.ends[count].number <= action->ack) {
        count++;
    }
    if (count > 0) {
        m.end_count -= count;
        memmove(m.ends, m.ends + count, m.end_count * sizeof(*m.ends));
        fprintf(m.events, "ACK %lld %s %llu\n", (long long)wall_ms(), m.label,
                (unsigned long long)action->ack);
        fflush(m.events);
    }
    if (action->wait_ms == 0 || m.end_count > 0) {
        answer_hold(request);
        return;
    }
    hold = Mem_New(1, sizeof(*hold));
    hold->request = request;
    hold->due_ms = Loop_NowMs() + action->wait_ms;
    hold->next = m.holds;
    m.holds = hold;
}

/* The machine is down and does not answer until it is back. */
static void
begin_upkeep(HttpRequest *request)
{
    fprintf(m.events, "UPKEEP %lld %s\n", (long long)wall_ms(), m.label);
    fflush(m.events);
    m.run_count = 0;
    m.down_until_ms = Loop_NowMs() + UPKEEP_MS;
    HttpRequest_ReplyText(request, 200, "text/plain", "");
}

static void
on_call(void *arg, HttpRequest *request)
{
    PlatformTargetCall call;
    JobAction *action = &call.action;
    const char *instance =
        HttpRequest_GetHeader(request, PLATFORM_CLIENT_INSTANCE_HEADER);
    JobCallAnswer answer = {.outcome = JOB_CALL_OK};
    size_t len;
    const char *body = HttpRequest_GetBody(request, &len);
    bool ok;

    (void)arg;
    if (strcmp(HttpRequest_GetPath(request), "/standin/upkeep") == 0) {
        begin_upkeep(request);
        return;
    }
    if (m.down_until_ms != 0) {
        return; /* never answered */
    }
    advance();
    ok = PlatformClient_DecodeTargetCall(HttpRequest_GetPath(request), body,
                                         len, &call);
    if (!ok) {
        answer.outcome = JOB_CALL_INVALID;
    }
    else if (instance != NULL && strcmp(instance, m.self.id) != 0) {
        answer.outcome = JOB_CALL_OTHER_INSTANCE;
    }
    else if (action->fence < m.fence) {
        answer.outcome = JOB_CALL_FENCED;
    }
    else {
        m.fence = action->fence;
        if (action->kind == JOB_ACTION_HOLD) {
            hold_runs(action, request);
            request = NULL;
        }
        else if (action->kind == JOB_ACTION_START) {
            answer.outcome = start_run(action);
        }
        else {
            stop_run(action);
        }
    }
    if (request != NULL) {
        answer_call(request, action->kind, &answer);
    }
    PlatformClient_FreeTargetCall(&call);
}

static void announce(void);

static bool
take_redirect(const HttpCallResult *result)
{
    const char *location = NULL;
    char address[JOB_ADDRESS_BYTES] = "";

    if (result->status != HTTP_CALL_ANSWERED || result->http_status != 307 ||
        m.redirects >= 2) {
        return false;
    }
    location = HttpCall_GetHeader(result->call, "Location");
    if (location == NULL || sscanf(location, "http://%79[^/]", address) != 1) {
        return false;
    }
    m.redirects++;
    return Settings_ParseAddress(address, &m.named);
}

static void
on_announced(void *arg, const HttpCallResult *result)
{
    char address[JOB_ADDRESS_BYTES];

    (void)arg;
    m.calling = false;
    if (take_redirect(result)) {
        announce();
        return;
    }
    if (result->status != HTTP_CALL_ANSWERED || result->http_status != 200) {
        m.named.port = 0;
        m.next = (m.next + 1) % m.control_count;
        if (m.redirects < 4) {
            m.redirects = 4;
            announce();
        }
        return;
    }
    PlatformClient_DecodeAnnounced(result->body, result->body_len, address,
                                   sizeof(address));
    if (address[0] != '\0') {
        Settings_ParseAddress(address, &m.named);
    }
}

static void
announce(void)
{
    JobHttpCall call;
    HttpCallOptions options = {.timeout_ms = 1000, .max_answer_bytes = 4096};

    if (m.calling || m.down_until_ms != 0) {
        return;
    }
    m.self.order++;
    m.self.clock_ms = clock_ms();
    PlatformClient_EncodeAnnouncement(&m.self, &call);
    Buf_Clear(&m.body);
    Buf_Append(&m.body, call.body.data, call.body.len);
    Buf_Free(&call.body);
    options.method = call.method;
    options.path = call.path;
    options.body = m.body.data;
    options.body_len = m.body.len;
    options.address = m.named.port != 0 ? m.named : m.controls[m.next];
    options.headers[0] = (HttpHeader){"Content-Type", "application/json"};
    options.header_count = 1;
    m.calling =
        HttpClient_StartCall(m.client, &options, on_announced, NULL) != NULL;
}

static void
on_announce_due(void *arg)
{
    (void)arg;
    m.redirects = 0;
    announce();
}

static void
on_tick(void *arg)
{
    (void)arg;
    if (m.down_until_ms == 0) {
        advance();
    }
    else if (Loop_NowMs() >= m.down_until_ms) {
        m.down_until_ms = 0;
        snprintf(m.self.id, sizeof(m.self.id), "%.60s-%d", m.first_id,
                 ++m.lives);
        begin_life();
        on_announce_due(NULL);
    }
}

int
main(int argc, char **argv)
{
    struct arg_str *control = arg_strn(NULL, "control", "IP:PORT", 1,
                                       MAX_CONTROLS, "control address");
    struct arg_str *listen_at =
        arg_str1(NULL, "listen", "IP:PORT", "address of the minion");
    struct arg_str *id = arg_str1(NULL, "id", "TEXT", "id");
    struct arg_str *machine = arg_str1(NULL, "machine", "TEXT", "machine");
    struct arg_str *pool = arg_str0(NULL, "pool", "TEXT", "pool (p)");
    struct arg_str *labels =
        arg_strn(NULL, "label", "TEXT", 1, MAX_LABELS, "kind, then rack");
    struct arg_str *events = arg_str1(NULL, "events", "FILE", "events");
    struct arg_int *cpu = arg_int0(NULL, "cpu", "N", "room (16000)");
    struct arg_int *first = arg_int0(NULL, "first-beat-ms", "MS",
                                     "time of the first announcement (1)");
    struct arg_end *end = arg_end(20);
    void *table[] = {control, listen_at, id,  machine, pool,
                     labels,  events,    cpu, first,   end};
    HttpServerOptions options = {
        .max_body_bytes = 65536, .idle_timeout_s = 30, .handler = on_call};
    ErrCtx err;
    int i;

    pool->sval[0] = "p";
    cpu->ival[0] = 16000;
    first->ival[0] = 1;
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "minion-3");
        return 2;
    }
    apr_initialize();
    curl_global_init(CURL_GLOBAL_ALL);
    for (i = 0; i < control->count; i++) {
        if (!Settings_ParseAddress(control->sval[i], &m.controls[i])) {
            return 2;
        }
    }
    m.control_count = (size_t)control->count;
    m.events = fopen(events->sval[0], "a");
    m.loop = Loop_New(&err);
    if (m.events == NULL || m.loop == NULL ||
        !Settings_ParseAddress(listen_at->sval[0], &options.address)) {
        return 2;
    }
    m.client = HttpClient_New(m.loop, 0);
    snprintf(m.first_id, sizeof(m.first_id), "%s", id->sval[0]);
    snprintf(m.self.id, sizeof(m.self.id), "%s", id->sval[0]);
    snprintf(m.self.vm, sizeof(m.self.vm), "%s", machine->sval[0]);
    snprintf(m.self.address, sizeof(m.self.address), "%s", listen_at->sval[0]);
    snprintf(m.self.pool, sizeof(m.self.pool), "%s", pool->sval[0]);
    snprintf(m.self.data_centre, sizeof(m.self.data_centre), "north");
    for (i = 0; i < labels->count; i++) {
        snprintf(m.self.labels[i], JOB_LABEL_BYTES, "%s", labels->sval[i]);
    }
    m.self.label_count = (uint32_t)labels->count;
    m.self.room =
        (JobResources){.cpu = (uint32_t)cpu->ival[0], .memory_mb = 32768};
    begin_life();
    if (HttpServer_New(m.loop, &options, &err) == NULL) {
        fprintf(stderr, "%s\n", err.message);
        return 2;
    }
    Loop_Arm(Loop_NewTimer(m.loop, on_announce_due, NULL), first->ival[0],
             ANNOUNCE_MS);
    Loop_Arm(Loop_NewTimer(m.loop, on_tick, NULL), TICK_MS, TICK_MS);
    Loop_Run(m.loop);
    return EXIT_SUCCESS;
}
