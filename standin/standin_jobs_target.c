/*
 * NAME
 *     standin-jobs-target - targets of the job service in one process
 *
 * DESCRIPTION
 *     Announces targets to the control VMs, and takes starts, stops and holds
 *     with fencing tokens. A run lasts for a random time, and all runs of a
 *     target end when its lease expires. SIGTERM drains the targets and ends
 *     the process. Each event is appended to a file and flushed; common_jobs.h
 *     describes its lines.
 */
#include <apr_general.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "diag.h"
#include "httpclient.h"
#include "httpserver.h"
#include "keymap.h"
#include "mem.h"
#include "platform_client.h"
#include "rng.h"
#include "signals.h"

#define MAX_TARGETS 64
#define MAX_RUNS 4096
#define MAX_LISTED_ENDS 500
#define MAX_CONTROLS 8
#define MAX_REDIRECTS 2
#define TICK_MS 10
#define ANNOUNCE_MS 1500
#define ANNOUNCE_TIMEOUT_MS 1000
#define MAX_LEASE_MS 6000
#define MAX_STOP_MS 400
#define DRAIN_MS 2000
/* A target leaves without an acknowledgement of its drain after this time. */
#define LEAVE_MS 6000
#define CPU 16000
#define MEMORY_MB 32768

typedef struct Run {
    JobTaskRef task;
    uint32_t attempt;
    int64_t begin_ms;
    int64_t due_ms;
    bool stopping; /* ends as stopped when due */
} Run;

typedef struct Hold {
    HttpRequest *request;
    int64_t due_ms;
    struct Hold *next;
} Hold;

typedef struct Service Service;

typedef struct Target {
    Service *service;
    HttpServer *server;
    SettingsAddress address;
    JobAnnouncement announcement;
    char label[JOB_NAME_BYTES + 24]; /* id/born */
    /* control VM for announcements: the named one, or else controls[next] */
    SettingsAddress named;
    size_t next;
    int redirects;
    bool calling;
    Buf body;
    double clock_rate;
    int64_t begin_ms; /* its clock starts anew with each incarnation */
    uint64_t fence;
    int64_t lease_ms; /* on its own clock; 0: none yet */
    Run runs[MAX_RUNS];
    size_t run_count;
    JobEnd *ends;
    size_t end_count;
    uint64_t last_end;
    uint64_t acked;
    Keymap *highest; /* highest attempt stopped or ended, by task */
    Hold *holds;
    int64_t drained_ms; /* when the drain was acknowledged, or 0 */
    bool left;
} Target;

struct Service {
    Loop *loop;
    HttpClient *client;
    LoopTimer *tick;
    FILE *events;
    Rng rng;
    SettingsAddress controls[MAX_CONTROLS];
    size_t control_count;
    uint32_t min_run_ms;
    uint32_t max_run_ms;
    Target *targets;
    size_t target_count;
    int64_t leaving_ms; /* when the stop was requested, or 0 */
};

static int64_t
clock_of(const Target *target)
{
    return 1 + (int64_t)((double)(Loop_NowMs() - target->begin_ms) *
                         target->clock_rate);
}

static int64_t
wall_of(const Target *target, int64_t clock_ms)
{
    return Common_WallClockMs() +
           (int64_t)((double)(clock_ms - clock_of(target)) /
                     target->clock_rate);
}

static const char *
task_name(const JobTaskRef *task)
{
    static char name[JOB_ID_BYTES + 40];

    snprintf(name, sizeof(name), "%s.%u.%u.%u", task->job, task->occurrence,
             task->step, task->index);
    return name;
}

static bool
has_earlier_end(const Target *target, const JobAction *action)
{
    uint32_t highest = 0;

    Keymap_Get(target->highest, Keymap_HashText(task_name(&action->task)),
               &highest);
    return action->attempt <= highest;
}

static void
note_attempt(Target *target, const JobTaskRef *task, uint32_t attempt)
{
    uint64_t key = Keymap_HashText(task_name(task));
    uint32_t highest = 0;

    Keymap_Get(target->highest, key, &highest);
    Keymap_Put(target->highest, key, attempt > highest ? attempt : highest);
}

static Run *
find_run(Target *target, const JobTaskRef *task, uint32_t attempt)
{
    size_t i;

    for (i = 0; i < target->run_count; i++) {
        Run *run = &target->runs[i];
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
end_run(Target *target, Run *run, JobEndKind kind, int64_t wall_ms)
{
    static const char *const kinds[] = {"done", "failed", "stopped", "lapsed"};
    JobEnd *end;

    target->ends = Mem_Resize(target->ends,
                              (target->end_count + 1) * sizeof(*target->ends));
    end = &target->ends[target->end_count++];
    *end = (JobEnd){.task = run->task,
                    .attempt = run->attempt,
                    .kind = kind,
                    .number = ++target->last_end,
                    .checkpoint = ""};
    fprintf(target->service->events, "END %lld %s %s %u %s %llu\n",
            (long long)wall_ms, target->label, task_name(&run->task),
            run->attempt, kinds[kind], (unsigned long long)end->number);
    note_attempt(target, &run->task, run->attempt);
    *run = target->runs[--target->run_count];
}

static void
answer_call(HttpRequest *request, JobActionKind kind, JobCallAnswer *answer,
            const Target *target)
{
    Buf body = BUF_INIT;
    HttpReply reply = {.content_type = "application/json"};

    answer->clock_ms = clock_of(target);
    answer->born = target->announcement.born;
    reply.status = PlatformClient_EncodeTargetAnswer(kind, answer, &body);
    reply.body = body.data;
    reply.body_len = body.len;
    HttpRequest_Reply(request, &reply);
    Buf_Free(&body);
}

static void
answer_hold(const Target *target, HttpRequest *request)
{
    JobRunning running[MAX_RUNS];
    JobCallAnswer answer = {.outcome = JOB_CALL_OK, .running = running};
    size_t i;

    for (i = 0; i < target->run_count; i++) {
        const Run *run = &target->runs[i];
        int64_t span = run->due_ms - run->begin_ms;
        running[i] = (JobRunning){.task = run->task,
                                  .attempt = run->attempt,
                                  .checkpoint = "",
                                  .load = 500};
        running[i].percent =
            (uint32_t)((Loop_NowMs() - run->begin_ms) * 100 / (span + 1));
    }
    answer.running_count = target->run_count;
    answer.ends = target->ends;
    answer.end_count = target->end_count < MAX_LISTED_ENDS ? target->end_count
                                                           : MAX_LISTED_ENDS;
    answer_call(request, JOB_ACTION_HOLD, &answer, target);
}

static void
answer_due_holds(Target *target, bool all)
{
    Hold **link = &target->holds;

    while (*link != NULL) {
        Hold *hold = *link;
        if (!all && hold->due_ms > Loop_NowMs()) {
            link = &hold->next;
            continue;
        }
        *link = hold->next;
        answer_hold(target, hold->request);
        free(hold);
    }
}

/* Ends the runs whose time or whose lease is over. Must precede each use of
 * the runs, since the process may have been suspended. */
static void
advance(Target *target)
{
    int64_t now = Loop_NowMs();
    uint64_t before = target->last_end;
    size_t i;

    if (target->lease_ms > 0 && clock_of(target) >= target->lease_ms) {
        int64_t wall_ms = wall_of(target, target->lease_ms);
        while (target->run_count > 0) {
            end_run(target, &target->runs[0], JOB_END_LAPSED, wall_ms);
        }
        fprintf(target->service->events, "LAPSE %lld %s\n", (long long)wall_ms,
                target->label);
        target->lease_ms = 0;
    }
    for (i = target->run_count; i > 0; i--) {
        Run *run = &target->runs[i - 1];
        if (run->due_ms <= now) {
            end_run(target, run,
                    run->stopping ? JOB_END_STOPPED : JOB_END_DONE,
                    Common_WallClockMs());
        }
    }
    answer_due_holds(target, target->last_end != before);
    fflush(target->service->events);
}

static void
extend_lease(Target *target, const JobAction *action)
{
    int64_t latest = clock_of(target) + MAX_LEASE_MS;
    int64_t deadline =
        action->deadline_ms < latest ? action->deadline_ms : latest;

    if (deadline <= target->lease_ms || deadline <= clock_of(target)) {
        return;
    }
    target->lease_ms = deadline;
    fprintf(target->service->events, "LEASE %lld %s %lld\n",
            (long long)Common_WallClockMs(), target->label,
            (long long)wall_of(target, deadline));
}

static JobCallOutcome
start_run(Target *target, const JobAction *action)
{
    Service *service = target->service;
    uint32_t span_ms = service->max_run_ms - service->min_run_ms + 1;
    Run *run;

    if (action->deadline_ms > 0 && action->deadline_ms <= clock_of(target)) {
        return JOB_CALL_LATE;
    }
    extend_lease(target, action);
    if (find_run(target, &action->task, action->attempt) != NULL) {
        return JOB_CALL_OK;
    }
    if (has_earlier_end(target, action)) {
        return JOB_CALL_STALE;
    }
    if ((target->run_count + 1) * 500 > CPU) {
        return JOB_CALL_NO_ROOM;
    }
    run = &target->runs[target->run_count++];
    *run = (Run){.task = action->task,
                 .attempt = action->attempt,
                 .begin_ms = Loop_NowMs()};
    run->due_ms = run->begin_ms + service->min_run_ms +
                  Rng_Below(&service->rng, span_ms);
    fprintf(service->events, "START %lld %s %s %u %llu %s\n",
            (long long)Common_WallClockMs(), target->label,
            task_name(&run->task), run->attempt,
            (unsigned long long)action->fence, action->text);
    return JOB_CALL_OK;
}

static void
stop_run(Target *target, const JobAction *action)
{
    Run *run = find_run(target, &action->task, action->attempt);

    if (run == NULL) {
        note_attempt(target, &action->task, action->attempt);
    }
    else if (!run->stopping) {
        run->stopping = true;
        run->due_ms =
            Loop_NowMs() + Rng_Below(&target->service->rng, MAX_STOP_MS);
    }
}

static void
acknowledge_ends(Target *target, uint64_t cursor)
{
    size_t count = 0;

    while (count < target->end_count && target->ends[count].number <= cursor) {
        count++;
    }
    if (count == 0) {
        return;
    }
    target->end_count -= count;
    memmove(target->ends, target->ends + count,
            target->end_count * sizeof(*target->ends));
    fprintf(target->service->events, "ACK %lld %s %llu\n",
            (long long)Common_WallClockMs(), target->label,
            (unsigned long long)cursor);
}

static void
hold_runs(Target *target, const JobAction *action, HttpRequest *request)
{
    Hold *hold;

    extend_lease(target, action);
    acknowledge_ends(target, action->ack);
    if (action->wait_ms == 0 || target->end_count > 0) {
        answer_hold(target, request);
        return;
    }
    hold = Mem_New(1, sizeof(*hold));
    hold->request = request;
    hold->due_ms = Loop_NowMs() + action->wait_ms;
    hold->next = target->holds;
    target->holds = hold;
}

static void
on_call(void *arg, HttpRequest *request)
{
    Target *target = arg;
    PlatformTargetCall call;
    JobAction *action = &call.action;
    const char *instance =
        HttpRequest_GetHeader(request, PLATFORM_CLIENT_INSTANCE_HEADER);
    JobCallAnswer answer = {.outcome = JOB_CALL_OK};
    size_t len;
    const char *body = HttpRequest_GetBody(request, &len);
    bool ok;

    advance(target);
    ok = PlatformClient_DecodeTargetCall(HttpRequest_GetPath(request), body,
                                         len, &call);
    if (!ok) {
        answer.outcome = JOB_CALL_INVALID;
    }
    else if (target->left ||
             (instance != NULL &&
              strcmp(instance, target->announcement.id) != 0)) {
        answer.outcome = JOB_CALL_OTHER_INSTANCE;
    }
    else if (action->fence < target->fence) {
        answer.outcome = JOB_CALL_FENCED;
    }
    else {
        target->fence = action->fence;
        if (action->kind == JOB_ACTION_HOLD) {
            hold_runs(target, action, request);
            request = NULL;
        }
        else if (action->kind == JOB_ACTION_START) {
            answer.outcome = start_run(target, action);
        }
        else {
            stop_run(target, action);
        }
    }
    fflush(target->service->events);
    if (request != NULL) {
        answer_call(request, action->kind, &answer, target);
    }
    PlatformClient_FreeTargetCall(&call);
}

static void announce(Target *target);

/* Takes the address of a redirect. Returns whether there is one. */
static bool
take_redirect(Target *target, const HttpCallResult *result)
{
    const char *location = NULL;
    char address[JOB_ADDRESS_BYTES] = "";

    if (result->status != HTTP_CALL_ANSWERED || result->http_status != 307 ||
        target->redirects >= MAX_REDIRECTS) {
        return false;
    }
    location = HttpCall_GetHeader(result->call, "Location");
    if (location == NULL || sscanf(location, "http://%79[^/]", address) != 1) {
        return false;
    }
    target->redirects++;
    return Settings_ParseAddress(address, &target->named);
}

static void
on_announced(void *arg, const HttpCallResult *result)
{
    Target *target = arg;
    char address[JOB_ADDRESS_BYTES];

    target->calling = false;
    if (take_redirect(target, result)) {
        announce(target);
        return;
    }
    if (result->status != HTTP_CALL_ANSWERED || result->http_status != 200) {
        target->named.port = 0;
        target->next = (target->next + 1) % target->service->control_count;
        return;
    }
    PlatformClient_DecodeAnnounced(result->body, result->body_len, address,
                                   sizeof(address));
    if (address[0] != '\0') {
        Settings_ParseAddress(address, &target->named);
    }
    if (target->announcement.leaving && target->drained_ms == 0) {
        target->drained_ms = Loop_NowMs();
    }
}

static void
announce(Target *target)
{
    Service *service = target->service;
    JobHttpCall call;
    HttpCallOptions options = {.timeout_ms = ANNOUNCE_TIMEOUT_MS,
                               .max_answer_bytes = 4096};

    if (target->calling) {
        return;
    }
    target->announcement.order++;
    target->announcement.clock_ms = clock_of(target);
    if (target->left) {
        PlatformClient_EncodeLeave(target->announcement.id, &call);
    }
    else {
        PlatformClient_EncodeAnnouncement(&target->announcement, &call);
    }
    Buf_Clear(&target->body);
    Buf_Append(&target->body, call.body.data, call.body.len);
    Buf_Free(&call.body);
    options.method = call.method;
    options.path = call.path;
    options.body = target->body.data;
    options.body_len = target->body.len;
    options.address = target->named.port != 0
                          ? target->named
                          : service->controls[target->next];
    options.headers[0] = (HttpHeader){"Content-Type", "application/json"};
    options.header_count = 1;
    target->calling = HttpClient_StartCall(service->client, &options,
                                           on_announced, target) != NULL;
}

static void
on_announce_due(void *arg)
{
    Target *target = arg;

    target->redirects = 0;
    announce(target);
}

/* Ends a drained target. Returns whether it has left. */
static bool
leave_if_drained(Target *target)
{
    int64_t now = Loop_NowMs();
    bool drained =
        target->drained_ms > 0 && now - target->drained_ms >= DRAIN_MS + 500;

    if (!target->left &&
        (drained || now - target->service->leaving_ms >= LEAVE_MS)) {
        target->left = true;
        fprintf(target->service->events, "GONE %lld %s\n",
                (long long)Common_WallClockMs(), target->label);
        target->run_count = 0;
        announce(target);
    }
    return target->left;
}

static void
on_tick(void *arg)
{
    Service *service = arg;
    size_t left = 0;
    size_t i;

    for (i = 0; i < service->target_count; i++) {
        Target *target = &service->targets[i];
        if (!target->left) {
            advance(target);
        }
        if (service->leaving_ms > 0) {
            left += leave_if_drained(target);
        }
    }
    if (left == service->target_count) {
        Loop_Stop(service->loop);
    }
}

static void
on_stop(void *arg)
{
    Service *service = arg;
    size_t i;

    if (service->leaving_ms > 0) {
        return;
    }
    service->leaving_ms = Loop_NowMs();
    for (i = 0; i < service->target_count; i++) {
        service->targets[i].announcement.leaving = true;
        service->targets[i].announcement.drain_remaining_ms = DRAIN_MS;
        announce(&service->targets[i]);
    }
}

static bool
start_target(Service *service, size_t number, const char *name,
             const char *pool, const SettingsAddress *first)
{
    Target *target = &service->targets[number];
    JobAnnouncement *self = &target->announcement;
    HttpServerOptions options = {.max_body_bytes = 65536,
                                 .idle_timeout_s = 30,
                                 .handler = on_call,
                                 .arg = target};
    ErrCtx err;
    LoopTimer *timer;

    target->service = service;
    target->address = *first;
    target->address.port += (int)number;
    target->highest = Keymap_New();
    target->clock_rate = 0.98 + Rng_Unit(&service->rng) * 0.02;
    target->begin_ms = Loop_NowMs();
    target->next = Rng_Below(&service->rng, (uint32_t)service->control_count);
    snprintf(self->id, sizeof(self->id), "%s-%zu", name, number);
    snprintf(self->vm, sizeof(self->vm), "vm-%s-%zu", name, number);
    snprintf(self->address, sizeof(self->address), "%s:%d",
             target->address.host, target->address.port);
    snprintf(self->pool, sizeof(self->pool), "%s", pool);
    snprintf(self->data_centre, sizeof(self->data_centre), "north");
    snprintf(self->labels[0], JOB_LABEL_BYTES, "a");
    snprintf(self->labels[1], JOB_LABEL_BYTES, "r-%zu", number % 4);
    self->label_count = 2;
    self->room = (JobResources){.cpu = CPU, .memory_mb = MEMORY_MB};
    self->born = (uint64_t)Common_WallClockMs();
    snprintf(target->label, sizeof(target->label), "%s/%llu", self->id,
             (unsigned long long)self->born);
    options.address = target->address;
    target->server = HttpServer_New(service->loop, &options, &err);
    if (target->server == NULL) {
        Diag_Log(DIAG_ERROR, "target", "%s", err.message);
        return false;
    }
    timer = Loop_NewTimer(service->loop, on_announce_due, target);
    Loop_Arm(timer, 1 + Rng_Below(&service->rng, 200), ANNOUNCE_MS);
    return true;
}

typedef struct TargetArgs {
    struct arg_str *control;
    struct arg_str *listen_at;
    struct arg_int *count;
    struct arg_str *name;
    struct arg_str *pool;
    struct arg_str *events;
    struct arg_int *min_run;
    struct arg_int *max_run;
    struct arg_int *seed;
    struct arg_end *end;
} TargetArgs;

static void
create_args(TargetArgs *a)
{
    a->control = arg_strn(NULL, "control", "IP:PORT", 1, MAX_CONTROLS,
                          "control address; repeatable");
    a->listen_at =
        arg_str1(NULL, "listen", "IP:PORT", "address of the first target");
    a->count =
        arg_int0(NULL, "count", "N", "targets on consecutive ports (1)");
    a->name = arg_str1(NULL, "name", "TEXT", "start of the targets' ids");
    a->pool = arg_str0(NULL, "pool", "TEXT", "pool of the targets (p)");
    a->events = arg_str1(NULL, "events", "FILE", "file of events");
    a->min_run = arg_int0(NULL, "min-run-ms", "MS", "shortest run (50)");
    a->max_run = arg_int0(NULL, "max-run-ms", "MS", "longest run (800)");
    a->seed = arg_int0(NULL, "seed", "N", "seed of random numbers (1)");
    a->end = arg_end(20);
    a->count->ival[0] = 1;
    a->pool->sval[0] = "p";
    a->min_run->ival[0] = 50;
    a->max_run->ival[0] = 800;
    a->seed->ival[0] = 1;
}

static bool
read_args(Service *service, const TargetArgs *a, SettingsAddress *first)
{
    int i;

    for (i = 0; i < a->control->count; i++) {
        if (!Settings_ParseAddress(a->control->sval[i],
                                   &service->controls[i])) {
            return false;
        }
    }
    service->control_count = (size_t)a->control->count;
    service->target_count = (size_t)a->count->ival[0];
    service->min_run_ms = (uint32_t)a->min_run->ival[0];
    service->max_run_ms = (uint32_t)a->max_run->ival[0];
    Rng_Seed(&service->rng, (uint64_t)a->seed->ival[0]);
    service->events = fopen(a->events->sval[0], "a");
    return service->events != NULL && service->target_count <= MAX_TARGETS &&
           service->min_run_ms <= service->max_run_ms &&
           Settings_ParseAddress(a->listen_at->sval[0], first);
}

int
main(int argc, char **argv)
{
    static Service service;
    TargetArgs args;
    void *table[sizeof(TargetArgs) / sizeof(void *)];
    SettingsAddress first;
    ErrCtx err;
    size_t i;

    create_args(&args);
    memcpy(table, &args, sizeof(table));
    if (arg_parse(argc, argv, table) > 0 ||
        !read_args(&service, &args, &first)) {
        arg_print_errors(stderr, args.end, "standin-jobs-target");
        return 2;
    }
    apr_initialize();
    curl_global_init(CURL_GLOBAL_ALL);
    service.loop = Loop_New(&err);
    if (service.loop == NULL ||
        Signals_New(service.loop, on_stop, NULL, &service, &err) == NULL) {
        Diag_Log(DIAG_ERROR, "target", "%s", err.message);
        return EXIT_FAILURE;
    }
    service.client = HttpClient_New(service.loop, 0);
    service.targets = Mem_New(service.target_count, sizeof(Target));
    for (i = 0; i < service.target_count; i++) {
        if (!start_target(&service, i, args.name->sval[0], args.pool->sval[0],
                          &first)) {
            return EXIT_FAILURE;
        }
    }
    service.tick = Loop_NewTimer(service.loop, on_tick, &service);
    Loop_Arm(service.tick, TICK_MS, TICK_MS);
    Loop_Run(service.loop);
    return EXIT_SUCCESS;
}
