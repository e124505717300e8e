#include "jobctl_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_time.h>

#include "mem.h"
#include "mppack.h"

/* Told to callers while there is no leader. */
#define RETRY_NO_LEADER_MS 1000

/* Where a reply goes: to an HTTP request on the control address, or through
 * the entry VM that passed a caller's request on. */
typedef struct Asked {
    JobControl *control;
    HttpRequest *http;
    size_t peer;
    uint64_t sequence;
    int64_t since_ms;
    int64_t since_us;
    JobRequest request;
} Asked;

static void
reply_peer(const Asked *asked, const JobReplyMsg *msg)
{
    Buf frame = BUF_INIT;

    JobReplyMsg_Encode(msg, &frame);
    Peers_Send(asked->control->peers, asked->peer, frame.data, frame.len);
    Buf_Free(&frame);
}

static void
log_reply(const Asked *asked, int status, const JobReply *reply)
{
    bool failed = status >= 300;

    if (!failed && (asked->request.kind == JOB_REQUEST_ANNOUNCE ||
                    asked->request.kind == JOB_REQUEST_STATE ||
                    asked->request.kind == JOB_REQUEST_PENDING)) {
        return;
    }
    Slog_Begin(failed ? SLOG_FAILURE : SLOG_ROUTINE, "request_answered");
    Slog_Text("kind", JobMetrics_KindName(asked->request.kind));
    Slog_Text("id", asked->request.id);
    Slog_Text("queue", asked->request.queue);
    Slog_Int("status", status);
    Slog_Text("reason", reply->reason != NULL ? reply->reason : "");
    Slog_Int("took_ms", Loop_NowMs() - asked->since_ms);
    Slog_Int("version",
             (int64_t)JobState_GetConfig(asked->control->state)->version);
    Slog_Int("term", (int64_t)asked->control->leading_term);
    Slog_End();
}

/* Answers and frees. */
static void
answer(Asked *asked, const JobReply *reply)
{
    Buf body = BUF_INIT;
    JobReplyMsg msg;
    int status =
        asked->control->wire->write_reply(asked->request.kind, reply, &body);

    log_reply(asked, status, reply);
    if (asked->control->metrics != NULL) {
        JobMetrics_Answered(asked->control->metrics, asked->request.kind,
                            status, Loop_NowUs() - asked->since_us);
    }
    msg = (JobReplyMsg){asked->sequence, status, reply->retry_ms, body.data,
                        body.len};
    if (asked->http != NULL) {
        JobReplyMsg_SendHttp(&msg, asked->http);
    }
    else {
        reply_peer(asked, &msg);
    }
    Buf_Free(&body);
    JobRequest_Free(&asked->request);
    free(asked);
}

static void
answer_unavailable(Asked *asked, const char *reason)
{
    JobReply reply = {.kind = JOB_REPLY_UNAVAILABLE,
                      .reason = reason,
                      .retry_ms = RETRY_NO_LEADER_MS};

    answer(asked, &reply);
}

/* Answers what the log did not accept. Returns false for ST_OK. */
static bool
answer_not_done(Asked *asked, Status status)
{
    JobReply reply = {.kind = JOB_REPLY_UNKNOWN,
                      .reason = "the outcome is not known; ask again"};

    if (status == ST_OK) {
        return false;
    }
    if (status == ST_NOT_LEADER) {
        answer_unavailable(asked, "this node does not lead");
        return true;
    }
    answer(asked, &reply);
    return true;
}

/* --- reads --- */

static void
answer_text(Asked *asked, const char *text, size_t len)
{
    JobReply reply = {.kind = JOB_REPLY_TEXT, .text = text, .text_len = len};

    answer(asked, &reply);
}

static void
answer_state(Asked *asked)
{
    const Job *job =
        JobState_FindJob(asked->control->state, asked->request.id);
    JobReply reply = {.kind = JOB_REPLY_GONE, .reason = "no such job"};

    if (job != NULL) {
        reply.kind = JOB_REPLY_STATE;
        reply.phase = job->phase;
    }
    answer(asked, &reply);
}

static void
answer_wave(Asked *asked)
{
    const JobWave *wave =
        JobState_FindWave(asked->control->state, asked->request.wave.number);
    JobReply reply = {.kind = JOB_REPLY_NOT_FOUND, .reason = "no such wave"};

    if (wave != NULL) {
        reply.kind = JOB_REPLY_WAVE;
        reply.phase =
            wave->done == wave->vm_count ? JOB_COMPLETED : JOB_RUNNING;
    }
    answer(asked, &reply);
}

static void
answer_read(Asked *asked)
{
    JobControl *control = asked->control;
    const JobConfig *config = JobState_GetConfig(control->state);
    JobReply reply = {.kind = JOB_REPLY_PENDING};

    switch (asked->request.kind) {
    case JOB_REQUEST_STATE:
        answer_state(asked);
        break;
    case JOB_REQUEST_PENDING:
        reply.number =
            JobState_CountPending(control->state, asked->request.queue);
        answer(asked, &reply);
        break;
    case JOB_REQUEST_GET_CONFIG:
        if (config->version == 0) {
            answer_unavailable(asked, "there is no configuration yet");
        }
        else {
            answer_text(asked, config->text, config->text_len);
        }
        break;
    case JOB_REQUEST_GET_WAVE:
        answer_wave(asked);
        break;
    default:
        reply =
            (JobReply){.kind = JOB_REPLY_NOT_FOUND, .reason = "no such queue"};
        answer(asked, &reply);
        break;
    }
}

static void
on_read(void *arg, Status status, JobResult result)
{
    Asked *asked = arg;

    (void)result;
    if (status != ST_OK) {
        answer_unavailable(asked, "no majority confirms this node's state");
        return;
    }
    answer_read(asked);
}

/* --- changes --- */

static void
on_submitted(void *arg, Status status, JobResult result)
{
    Asked *asked = arg;
    JobReply reply = {.kind = JOB_REPLY_OK};
    Job *job;

    if (answer_not_done(asked, status)) {
        return;
    }
    if (result == JOB_RESULT_UNKNOWN) {
        reply =
            (JobReply){.kind = JOB_REPLY_NOT_FOUND, .reason = "no such queue"};
    }
    else if (result == JOB_RESULT_CORRUPT) {
        reply = (JobReply){.kind = JOB_REPLY_INVALID,
                           .reason = "the job cannot be read"};
    }
    job = JobState_FindJob(asked->control->state, asked->request.id);
    if (job != NULL && result == JOB_RESULT_OK) {
        job->sched_state.accepted_ms = Loop_NowMs();
        job->sched_state.accepted_in_term = true;
    }
    answer(asked, &reply);
}

static void
submit(Asked *asked)
{
    JobControl *control = asked->control;
    const JobQueue *queue = JobConfig_FindQueue(
        JobState_GetConfig(control->state), asked->request.queue);
    JobReply reply = {.kind = JOB_REPLY_OK};
    Buf command = BUF_INIT;

    if (JobState_FindJob(control->state, asked->request.id) != NULL) {
        answer(asked, &reply);
        return;
    }
    if (queue != NULL && !JobSched_Admit(control->sched, Loop_NowMs(), queue,
                                         &asked->request.spec, &reply.retry_ms,
                                         &reply.reason)) {
        reply.kind = JOB_REPLY_REJECTED;
        answer(asked, &reply);
        return;
    }
    JobCmd_Submit(&command, asked->request.id, asked->request.queue,
                  apr_time_as_msec(apr_time_now()), &asked->request.spec);
    JobControl_Propose(control, &command, on_submitted, asked);
    Buf_Free(&command);
}

static void
on_cancelled(void *arg, Status status, JobResult result)
{
    Asked *asked = arg;
    JobReply reply = {.kind = JOB_REPLY_OK};

    if (answer_not_done(asked, status)) {
        return;
    }
    if (result == JOB_RESULT_UNKNOWN) {
        reply = (JobReply){.kind = JOB_REPLY_GONE, .reason = "no such job"};
    }
    answer(asked, &reply);
}

static void
cancel(Asked *asked)
{
    Buf command = BUF_INIT;

    JobCmd_Cancel(&command, asked->request.id,
                  apr_time_as_msec(apr_time_now()));
    JobControl_Propose(asked->control, &command, on_cancelled, asked);
    Buf_Free(&command);
}

static void
on_stored(void *arg, Status status, JobResult result)
{
    Asked *asked = arg;
    JobReply reply = {.kind = JOB_REPLY_OK};

    (void)result;
    if (!answer_not_done(asked, status)) {
        answer(asked, &reply);
    }
}

static void
put_config(Asked *asked)
{
    JobControl *control = asked->control;
    const JobConfig *config = &asked->request.config;
    Findings *findings = Findings_New("configuration");
    Buf text = BUF_INIT;
    Buf command = BUF_INIT;
    size_t i;

    JobConfig_Check(config, findings);
    for (i = 0; i < Findings_Count(findings) && i < FINDINGS_MAX; i++) {
        const Finding *finding = Findings_Get(findings, i);
        Buf_Printf(&text, "%s%s: %s", i > 0 ? "; " : "", finding->path,
                   finding->reason);
    }
    Findings_Free(findings);
    if (text.len > 0) {
        JobReply reply = {.kind = JOB_REPLY_INVALID,
                          .reason = Buf_Text(&text)};
        answer(asked, &reply);
        Buf_Free(&text);
        return;
    }
    Buf_Free(&text);
    if (config->version > JobState_GetConfig(control->state)->version) {
        Slog_Begin(SLOG_CHANGE, "config_proposed");
        Slog_Int("version", (int64_t)config->version);
        Slog_Int("queues", (int64_t)config->queue_count);
        Slog_End();
    }
    JobCmd_Config(&command, config);
    JobControl_Propose(control, &command, on_stored, asked);
    Buf_Free(&command);
}

static void
put_wave(Asked *asked)
{
    Buf command = BUF_INIT;

    asked->request.wave.start_ms = apr_time_as_msec(apr_time_now());
    JobCmd_Wave(&command, &asked->request.wave);
    JobControl_Propose(asked->control, &command, on_stored, asked);
    Buf_Free(&command);
}

static void
announce(Asked *asked)
{
    JobControl *control = asked->control;
    char address[JOB_ADDRESS_BYTES];
    JobReply reply = {.kind = JOB_REPLY_HEARD};

    reply.text = JobControl_AnnounceAddress(
        control, asked->http != NULL ? JOB_AGENT_NONE : asked->peer,
        &asked->request.announcement, address, sizeof(address));
    if (!JobSched_HandleAnnouncement(control->sched, Loop_NowMs(),
                                     &asked->request.announcement) &&
        asked->request.announcement.leaving) {
        /* That it leaves has to be stored before it may count on it. */
        Buf command = BUF_INIT;
        JobCmd_Target(&command, &asked->request.announcement);
        JobControl_Propose(control, &command, on_stored, asked);
        Buf_Free(&command);
        return;
    }
    answer(asked, &reply);
}

static void
leave(Asked *asked)
{
    JobReply reply = {.kind = JOB_REPLY_OK};

    JobSched_HandleDeparture(asked->control->sched, Loop_NowMs(),
                             asked->request.id);
    answer(asked, &reply);
}

/* --- dispatch --- */

static bool
answer_error(Asked *asked)
{
    JobReply reply = {.kind = JOB_REPLY_INVALID,
                      .reason = asked->request.reason};

    if (asked->request.error == JOB_ERROR_MALFORMED) {
        answer(asked, &reply);
        return true;
    }
    return false;
}

static void
serve(Asked *asked)
{
    JobControl *control = asked->control;

    if (asked->request.error == JOB_ERROR_NO_QUEUE) {
        if (JobState_GetConfig(control->state)->version == 0) {
            answer_unavailable(asked, "there is no configuration yet");
        }
        else {
            JobControl_Read(control, on_read, asked);
        }
        return;
    }
    if (answer_error(asked)) {
        return;
    }
    switch (asked->request.kind) {
    case JOB_REQUEST_SUBMIT:
        submit(asked);
        break;
    case JOB_REQUEST_CANCEL:
        cancel(asked);
        break;
    case JOB_REQUEST_PUT_CONFIG:
        put_config(asked);
        break;
    case JOB_REQUEST_PUT_WAVE:
        put_wave(asked);
        break;
    case JOB_REQUEST_ANNOUNCE:
        announce(asked);
        break;
    case JOB_REQUEST_LEAVE:
        leave(asked);
        break;
    default:
        JobControl_Read(control, on_read, asked);
        break;
    }
}

static Asked *
new_asked(JobControl *control)
{
    Asked *asked = Mem_New(1, sizeof(*asked));

    asked->control = control;
    asked->since_us = Loop_NowUs();
    asked->since_ms = asked->since_us / 1000;
    return asked;
}

static void
redirect(JobControl *control, HttpRequest *http, const char *leader)
{
    char location[JOB_ADDRESS_BYTES + 200];
    HttpReply reply = {.status = 307, .content_type = "application/json"};

    (void)control;
    snprintf(location, sizeof(location), "http://%s%.190s", leader,
             HttpRequest_Path(http));
    reply.body = "{}";
    reply.body_len = 2;
    reply.headers[0] = (HttpHeader){"Location", location};
    reply.header_count = 1;
    HttpRequest_Reply(http, &reply);
}

static bool
is_announcement(const JobRequest *request)
{
    return request->error == JOB_ERROR_NONE &&
           (request->kind == JOB_REQUEST_ANNOUNCE ||
            request->kind == JOB_REQUEST_LEAVE);
}

static void
read_request(const JobControl *control, HttpRequest *http, JobRequest *request)
{
    JobHttpRequest raw = {.method = HttpRequest_Method(http),
                          .host = "",
                          .path = HttpRequest_Path(http)};

    raw.body = HttpRequest_Body(http, &raw.body_len);
    control->wire->read_control(&raw, request);
}

/* Takes an announcement for the leader of a large fleet. Returns false for
 * anything else. */
static bool
pass_announcement(JobControl *control, HttpRequest *http)
{
    JobRequest *request;
    bool passed;

    if (!JobControl_UsesAgents(control)) {
        return false;
    }
    request = Mem_New(1, sizeof(*request));
    read_request(control, http, request);
    passed = is_announcement(request);
    if (passed) {
        JobControl_PassAnnouncement(control, JobControl_LeaderPeer(control),
                                    http, request);
    }
    JobRequest_Free(request);
    free(request);
    return passed;
}

void
JobControl_HandleHttp(void *arg, HttpRequest *http)
{
    JobControl *control = arg;
    char leader[JOB_ADDRESS_BYTES];
    Asked *asked;

    if (!JobControl_Serves(control) &&
        JobControl_LeaderAddress(control, leader, sizeof(leader)) != NULL) {
        if (!pass_announcement(control, http)) {
            redirect(control, http, leader);
        }
        return;
    }
    asked = new_asked(control);
    asked->http = http;
    read_request(control, http, &asked->request);
    if (!JobControl_Serves(control)) {
        answer_unavailable(asked, "no leader is known");
        return;
    }
    serve(asked);
}

void
JobControl_ServePeer(JobControl *control, size_t peer, uint64_t sequence,
                     JobRequest *request)
{
    Asked *asked = new_asked(control);

    asked->peer = peer;
    asked->sequence = sequence;
    asked->request = *request;
    memset(request, 0, sizeof(*request));
    if (!JobControl_Serves(control)) {
        answer_unavailable(asked, "this node does not lead");
    }
    else {
        serve(asked);
    }
}

static bool
read_bytes(const msgpack_object *object, Buf *out)
{
    if (object->type != MSGPACK_OBJECT_STR &&
        object->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    Buf_Append(out, object->via.bin.ptr, object->via.bin.size);
    return true;
}

/* [type, sequence, method, host, path, body] */
void
JobControl_OnJobRequest(JobControl *control, size_t peer,
                        const msgpack_object_array *message)
{
    const msgpack_object *items = message->ptr;
    Buf texts[4] = {BUF_INIT, BUF_INIT, BUF_INIT, BUF_INIT};
    JobHttpRequest raw;
    Asked *asked;
    size_t i;

    if (message->size != 6 ||
        items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return;
    }
    for (i = 0; i < 4; i++) {
        if (!read_bytes(&items[i + 2], &texts[i])) {
            goto done;
        }
    }
    raw.method = Buf_Text(&texts[0]);
    raw.host = Buf_Text(&texts[1]);
    raw.path = Buf_Text(&texts[2]);
    raw.body_len = texts[3].len;
    raw.body = Buf_Text(&texts[3]);
    asked = new_asked(control);
    asked->peer = peer;
    asked->sequence = items[1].via.u64;
    control->wire->read_caller(&raw, JobState_GetConfig(control->state),
                               &asked->request);
    if (!JobControl_Serves(control)) {
        answer_unavailable(asked, "this node does not lead");
    }
    else {
        serve(asked);
    }
done:
    for (i = 0; i < 4; i++) {
        Buf_Free(&texts[i]);
    }
}
