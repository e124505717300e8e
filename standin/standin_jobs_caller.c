/*
 * NAME
 *     standin-jobs-caller - callers of the job service, with a check of what
 *     ran
 *
 * DESCRIPTION
 *     Submits jobs at a fixed rate, asks for states and cancels, over
 *     connections that it keeps open. Sends a submission again after no
 *     answer, a broken connection, 502 or 504; after 429 or 503 it waits for
 *     Retry-After or gives the job up. SIGTERM ends the load: the caller waits
 *     until the accepted jobs have ended, reads the last states, checks them
 *     against the events of the targets (common_jobs.h) and exits with 1 if a
 *     promise was broken.
 */
#include <apr_general.h>
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "common_conn.h"
#include "common_jobs.h"
#include "diag.h"
#include "mem.h"
#include "platform_client.h"
#include "rng.h"
#include "signals.h"

#define MAX_ENTRIES 16
#define MAX_CONNS 32 /* for each entry VM */
#define MAX_QUEUES 4
#define MAX_FILES 64
#define MAX_TRIES 8
#define TICK_MS 10
#define DEADLINE_MS 3000
#define RETRY_MS 100
#define STEP_TASKS 3
/* Bounds of the deployments: finish_s, visible_ms and cancel_ms. */
#define FINISH_MS 14000
#define VISIBLE_MS 3000
#define CANCEL_MS 3000
/* Jobs whose last state is asked for at the same time. */
#define MAX_STATE_READS 64

typedef struct Request {
    struct Caller *caller;
    JobRequestKind kind;
    uint32_t job; /* UINT32_MAX for an id that was never submitted */
    uint32_t tries;
    uint32_t entry;
    bool is_last_read; /* after the load, until the state is final */
    int64_t due_ms;    /* when it is to be sent */
    int64_t sent_ms;
    struct Request *next;
} Request;

typedef struct Caller {
    Loop *loop;
    Rng rng;
    SettingsAddress entries[MAX_ENTRIES];
    uint32_t entry_count;
    Conn *conns[MAX_ENTRIES][MAX_CONNS];
    const char *host;
    const char *prefixes[MAX_QUEUES];
    uint32_t queue_count;
    double rate;
    double backlog; /* submissions that are due */
    int64_t last_ms;
    Request *waiting;
    size_t pending;     /* requests that are waiting or in flight */
    size_t state_reads; /* of them, reads of last states */
    JobBreak *breaks;
    size_t break_count;
    JobRecord *jobs;
    size_t job_count;
    size_t wrong;      /* answers that belong to no or another request */
    int64_t settle_ms; /* when the load ended, or 0 */
    uint32_t next_read;
    const char *event_files[MAX_FILES];
    size_t event_file_count;
    const char *fault_file;
} Caller;

static Request *
add_request(Caller *caller, JobRequestKind kind, uint32_t job, int64_t delay)
{
    Request *request = Mem_New(1, sizeof(*request));

    request->caller = caller;
    request->kind = kind;
    request->job = job;
    request->due_ms = Loop_NowMs() + delay;
    request->next = caller->waiting;
    caller->waiting = request;
    caller->pending++;
    return request;
}

static void
end_request(Request *request)
{
    request->caller->pending--;
    free(request);
}

static void
retry_request(Request *request, int64_t delay)
{
    Caller *caller = request->caller;

    if (++request->tries >= MAX_TRIES) {
        end_request(request);
        return;
    }
    request->due_ms = Loop_NowMs() + delay;
    request->next = caller->waiting;
    caller->waiting = request;
}

static void
add_job(Caller *caller)
{
    uint32_t number = (uint32_t)caller->job_count;
    JobRecord *job;

    caller->jobs = Mem_Resize(caller->jobs,
                              (caller->job_count + 1) * sizeof(*caller->jobs));
    job = &caller->jobs[caller->job_count++];
    memset(job, 0, sizeof(*job));
    snprintf(job->id, sizeof(job->id), "%016llx",
             (unsigned long long)Rng_Next(&caller->rng));
    job->queue = Rng_Below(&caller->rng, caller->queue_count);
    job->steps = 1 + Rng_Below(&caller->rng, 2);
    job->tasks = 1 + Rng_Below(&caller->rng, STEP_TASKS);
    add_request(caller, JOB_REQUEST_SUBMIT, number, 0);
}

static void
encode_body(const JobRecord *job, const Request *request, const char *id,
            const char *prefix, JobHttpCall *call)
{
    JobStep steps[2];
    char text[JOB_RECORD_ID_BYTES + 8];
    JobSpec spec = {.text = text, .steps = steps};
    uint32_t i;

    memset(steps, 0, sizeof(steps));
    snprintf(text, sizeof(text), "spec-%s", id);
    spec.text_len = strlen(text);
    spec.step_count = job != NULL ? job->steps : 1;
    for (i = 0; job != NULL && i < job->steps; i++) {
        steps[i].count = job->tasks;
        steps[i].need = (JobResources){.cpu = 500, .memory_mb = 64};
        steps[i].estimate_ms = 400;
        steps[i].depends_mask = i > 0 ? (uint32_t)1 << (i - 1) : 0;
    }
    PlatformClient_EncodeRequest(request->kind, prefix, id, &spec, call);
}

static void
encode(Caller *caller, const Request *request, Buf *out)
{
    const JobRecord *job =
        request->job != UINT32_MAX ? &caller->jobs[request->job] : NULL;
    char id[JOB_RECORD_ID_BYTES] = "";
    JobHttpCall call;

    if (job != NULL) {
        memcpy(id, job->id, sizeof(id));
    }
    else if (request->kind != JOB_REQUEST_PENDING) {
        snprintf(id, sizeof(id), "%016llx",
                 (unsigned long long)Rng_Next(&caller->rng));
    }
    encode_body(job, request, id,
                caller->prefixes[job != NULL ? job->queue : 0], &call);
    Buf_Printf(out,
               "%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\n"
               "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
               call.method, call.path, caller->host, DEADLINE_MS,
               call.body.len);
    Buf_Append(out, call.body.data, call.body.len);
    Buf_Free(&call.body);
}

/* Returns an idle connection, preferring one that is open, or NULL. */
static Conn *
find_conn(Caller *caller, uint32_t entry)
{
    Conn *idle = NULL;
    size_t i;

    for (i = 0; i < MAX_CONNS; i++) {
        Conn *conn = caller->conns[entry][i];
        if (!Conn_IsBusy(conn)) {
            if (Conn_IsOpen(conn)) {
                return conn;
            }
            idle = idle != NULL ? idle : conn;
        }
    }
    return idle;
}

static void
record_break(Caller *caller, const Request *request, const ConnResult *result)
{
    caller->breaks = Mem_Resize(caller->breaks, (caller->break_count + 1) *
                                                    sizeof(*caller->breaks));
    caller->breaks[caller->break_count++] = (JobBreak){
        request->entry + 1, result->written_ms, Common_WallClockMs()};
}

static void
report_wrong(Caller *caller, const Request *request, const ConnResult *result)
{
    const JobRecord *job =
        request->job != UINT32_MAX ? &caller->jobs[request->job] : NULL;

    caller->wrong++;
    printf("BROKEN answer: request of kind %d for job %s got %d %.*s; "
           "requests:%.*s\n",
           (int)request->kind, job != NULL ? job->id : "none", result->status,
           (int)result->body_len, result->body,
           job != NULL ? (int)job->history.len : 0,
           job != NULL ? job->history.data : "");
}

static void
take_submit(Caller *caller, Request *request, const ConnResult *result)
{
    JobRecord *job = &caller->jobs[request->job];
    bool was_accepted = job->accepted_ms > 0;
    int64_t wait_ms;

    switch (result->outcome == CONN_ANSWERED ? result->status : 0) {
    case 200:
        if (was_accepted) {
            break;
        }
        job->accepted_ms = Common_WallClockMs();
        if (Rng_Below(&caller->rng, 100) < 10) {
            add_request(caller, JOB_REQUEST_CANCEL, request->job,
                        Rng_Below(&caller->rng, 1000));
        }
        if (Rng_Below(&caller->rng, 100) < 5) {
            add_request(caller, JOB_REQUEST_SUBMIT, request->job,
                        1000 + Rng_Below(&caller->rng, 4000));
        }
        break;
    case 404:
        job->refused++;
        break;
    case 429:
    case 503:
        job->refused++;
        job->rejected++;
        wait_ms =
            result->retry_after_s >= 0 ? result->retry_after_s * 1000 : 1000;
        if (Rng_Below(&caller->rng, 2) == 0 && !was_accepted) {
            retry_request(request, wait_ms);
            return;
        }
        break;
    default:
        job->open += result->outcome != CONN_NOT_SENT;
        retry_request(request, RETRY_MS);
        return;
    }
    end_request(request);
}

static void
take_cancel(Caller *caller, Request *request, const ConnResult *result)
{
    JobRecord *job = &caller->jobs[request->job];

    if (result->outcome == CONN_ANSWERED &&
        (result->status == 200 || result->status == 410)) {
        job->cancelled_ms =
            job->cancelled_ms > 0 ? job->cancelled_ms : Common_WallClockMs();
        end_request(request);
        return;
    }
    retry_request(request, 500);
}

static void
take_state(Caller *caller, Request *request, const ConnResult *result)
{
    JobPhase phase = JOB_QUEUED;
    JobRecord *job;
    bool ok = result->outcome == CONN_ANSWERED;

    caller->state_reads -= request->is_last_read;
    if (ok && result->status == 200) {
        PlatformClient_DecodeReply(JOB_REQUEST_STATE, result->body,
                                   result->body_len, &phase);
    }
    if (request->job == UINT32_MAX) {
        if (ok && result->status == 200) {
            report_wrong(caller, request, result);
        }
        end_request(request);
        return;
    }
    job = &caller->jobs[request->job];
    if (ok && (result->status == 200 || result->status == 410)) {
        job->last_status = result->status;
        if (job->completed_ms > 0 && request->sent_ms > job->completed_ms &&
            phase != JOB_COMPLETED) {
            report_wrong(caller, request, result);
        }
        if (result->status == 410 && job->accepted_ms > 0 &&
            request->sent_ms > job->accepted_ms + VISIBLE_MS) {
            report_wrong(caller, request, result);
        }
        job->phase = phase;
        if (phase == JOB_COMPLETED && job->completed_ms == 0) {
            job->completed_ms = Common_WallClockMs();
        }
    }
    end_request(request);
}

static void
note_attempt(const Caller *caller, const Request *request,
             const ConnResult *result)
{
    static const char *const outcomes[] = {"", "unsent", "broken", "timeout"};
    static const char *const kinds[] = {[JOB_REQUEST_SUBMIT] = "submit",
                                        [JOB_REQUEST_STATE] = "state",
                                        [JOB_REQUEST_CANCEL] = "cancel"};
    JobRecord *job = &caller->jobs[request->job];

    if (job->history.len < 4000 || request->kind != JOB_REQUEST_STATE) {
        Buf_Printf(&job->history, " %s@%lld-%lld/edge-%u=%s%d",
                   kinds[request->kind], (long long)request->sent_ms,
                   (long long)Common_WallClockMs(), request->entry + 1,
                   outcomes[result->outcome], result->status);
    }
}

static void
on_answer(void *arg, const ConnResult *result)
{
    Request *request = arg;
    Caller *caller = request->caller;
    JobPhase phase;

    if (result->outcome == CONN_BROKEN) {
        record_break(caller, request, result);
    }
    if (result->outcome == CONN_ANSWERED && result->status == 200 &&
        !PlatformClient_DecodeReply(request->kind, result->body,
                                    result->body_len, &phase)) {
        report_wrong(caller, request, result);
    }
    if (request->job != UINT32_MAX) {
        note_attempt(caller, request, result);
    }
    switch (request->kind) {
    case JOB_REQUEST_SUBMIT:
        take_submit(caller, request, result);
        break;
    case JOB_REQUEST_CANCEL:
        take_cancel(caller, request, result);
        break;
    case JOB_REQUEST_STATE:
        take_state(caller, request, result);
        break;
    default:
        end_request(request);
        break;
    }
}

/* Sends a request if a connection is free. */
static bool
send_request(Caller *caller, Request *request)
{
    uint32_t entry = Rng_Below(&caller->rng, caller->entry_count);
    Conn *conn = find_conn(caller, entry);
    Buf out = BUF_INIT;

    if (conn == NULL) {
        return false;
    }
    encode(caller, request, &out);
    request->entry = entry;
    request->sent_ms = Common_WallClockMs();
    if (request->kind == JOB_REQUEST_CANCEL &&
        caller->jobs[request->job].cancel_ms == 0) {
        caller->jobs[request->job].cancel_ms = request->sent_ms;
    }
    Conn_Send(conn, &out, DEADLINE_MS, on_answer, request);
    return true;
}

static void
send_due_requests(Caller *caller)
{
    Request *rest = caller->waiting;

    caller->waiting = NULL;
    while (rest != NULL) {
        Request *request = rest;
        rest = request->next;
        if (request->due_ms > Loop_NowMs() || !send_request(caller, request)) {
            request->next = caller->waiting;
            caller->waiting = request;
        }
    }
}

static void
add_load(Caller *caller, int64_t now)
{
    caller->backlog += caller->rate * (double)(now - caller->last_ms) / 1000.0;
    while (caller->backlog >= 1.0) {
        caller->backlog -= 1.0;
        add_job(caller);
        add_request(caller, JOB_REQUEST_STATE,
                    Rng_Below(&caller->rng, (uint32_t)caller->job_count), 0);
        if (Rng_Below(&caller->rng, 10) == 0) {
            add_request(caller, JOB_REQUEST_STATE, UINT32_MAX, 0);
            add_request(caller, JOB_REQUEST_PENDING, UINT32_MAX, 0);
        }
    }
}

static bool
needs_state(const JobRecord *job)
{
    if (job->last_status != 0 && !JobRecord_IsOwed(job)) {
        return job->last_status != (job->accepted_ms > 0 ? 200 : 410) &&
               (job->accepted_ms > 0 || JobRecord_IsRefused(job));
    }
    return job->last_status == 0 || job->phase != JOB_COMPLETED;
}

/* Asks for the states that are still missing. Returns whether there are any
 * and the time has not run out. */
static bool
read_last_states(Caller *caller, int64_t now)
{
    bool missing = caller->pending > 0;
    size_t i;

    for (i = 0; i < caller->job_count; i++) {
        uint32_t number = caller->next_read++ % (uint32_t)caller->job_count;
        if (!needs_state(&caller->jobs[number])) {
            continue;
        }
        missing = true;
        if (caller->state_reads >= MAX_STATE_READS) {
            break;
        }
        caller->state_reads++;
        add_request(caller, JOB_REQUEST_STATE, number, 50)->is_last_read =
            true;
    }
    return missing && now < caller->settle_ms + FINISH_MS;
}

static void
on_tick(void *arg)
{
    Caller *caller = arg;
    int64_t now = Loop_NowMs();

    if (caller->settle_ms == 0) {
        add_load(caller, now);
    }
    else if (!read_last_states(caller, now)) {
        Loop_Stop(caller->loop);
    }
    caller->last_ms = now;
    send_due_requests(caller);
}

static void
on_stop(void *arg)
{
    Caller *caller = arg;
    size_t i;

    if (caller->settle_ms > 0) {
        return;
    }
    caller->settle_ms = Loop_NowMs();
    for (i = 0; i < caller->job_count; i++) {
        caller->jobs[i].last_status = 0;
    }
}

static bool
check_promises(Caller *caller)
{
    JobCheckOptions options = {.jobs = caller->jobs,
                               .job_count = caller->job_count,
                               .breaks = caller->breaks,
                               .break_count = caller->break_count,
                               .event_files = caller->event_files,
                               .event_file_count = caller->event_file_count,
                               .fault_file = caller->fault_file,
                               .cancel_limit_ms = CANCEL_MS};

    return JobCheck_Run(&options) + caller->wrong == 0;
}

typedef struct CallerArgs {
    struct arg_str *to;
    struct arg_str *host;
    struct arg_str *prefix;
    struct arg_dbl *rate;
    struct arg_str *events;
    struct arg_str *faults;
    struct arg_int *seed;
    struct arg_end *end;
} CallerArgs;

static void
create_args(CallerArgs *a)
{
    a->to = arg_strn(NULL, "to", "IP:PORT", 1, MAX_ENTRIES,
                     "entry VM; repeatable");
    a->host = arg_str0(NULL, "host", "TEXT", "host of the queues (a.example)");
    a->prefix = arg_strn(NULL, "prefix", "PATH", 1, MAX_QUEUES,
                         "path of a queue; repeatable");
    a->rate = arg_dbl0(NULL, "rate", "N", "submissions per second (15)");
    a->events = arg_strn(NULL, "events", "FILE", 1, MAX_FILES,
                         "events of targets; repeatable");
    a->faults = arg_str0(NULL, "faults", "FILE", "file of faults");
    a->seed = arg_int0(NULL, "seed", "N", "seed of random numbers (1)");
    a->end = arg_end(20);
    a->host->sval[0] = "a.example";
    a->rate->dval[0] = 15.0;
    a->seed->ival[0] = 1;
}

static bool
read_args(Caller *caller, const CallerArgs *a)
{
    int i;
    int j;

    for (i = 0; i < a->to->count; i++) {
        if (!Settings_ParseAddress(a->to->sval[i], &caller->entries[i])) {
            return false;
        }
        for (j = 0; j < MAX_CONNS; j++) {
            caller->conns[i][j] = Conn_New(caller->loop, &caller->entries[i]);
        }
    }
    caller->entry_count = (uint32_t)a->to->count;
    caller->host = a->host->sval[0];
    for (i = 0; i < a->prefix->count; i++) {
        caller->prefixes[i] = a->prefix->sval[i];
    }
    caller->queue_count = (uint32_t)a->prefix->count;
    for (i = 0; i < a->events->count; i++) {
        caller->event_files[i] = a->events->sval[i];
    }
    caller->event_file_count = (size_t)a->events->count;
    caller->fault_file = a->faults->count > 0 ? a->faults->sval[0] : NULL;
    caller->rate = a->rate->dval[0];
    Rng_Seed(&caller->rng, (uint64_t)a->seed->ival[0]);
    return true;
}

int
main(int argc, char **argv)
{
    static Caller caller;
    CallerArgs args;
    void *table[sizeof(CallerArgs) / sizeof(void *)];
    LoopTimer *tick;
    ErrCtx err;

    apr_initialize();
    create_args(&args);
    memcpy(table, &args, sizeof(table));
    caller.loop = Loop_New(&err);
    if (caller.loop == NULL ||
        Signals_New(caller.loop, on_stop, NULL, &caller, &err) == NULL) {
        Diag_Log(DIAG_ERROR, "caller", "%s", err.message);
        return EXIT_FAILURE;
    }
    if (arg_parse(argc, argv, table) > 0 || !read_args(&caller, &args)) {
        arg_print_errors(stderr, args.end, "standin-jobs-caller");
        return 2;
    }
    caller.last_ms = Loop_NowMs();
    tick = Loop_NewTimer(caller.loop, on_tick, &caller);
    Loop_Arm(tick, TICK_MS, TICK_MS);
    Loop_Run(caller.loop);
    return check_promises(&caller) ? EXIT_SUCCESS : EXIT_FAILURE;
}
