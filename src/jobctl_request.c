#include "jobctl_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_time.h>

#include "jobtenant.h"
#include "mem.h"
#include "mppack.h"

/* Retry delay that is suggested to callers while there is no leader. */
#define RETRY_NO_LEADER_MS 1000

/* A request that has no reply yet. It came over HTTP to the control address or
 * was forwarded by a peer. */
typedef struct PendingRequest {
    JobControl *control;
    HttpRequest *http; /* NULL for a forwarded request */
    size_t peer;       /* peer that forwarded the request */
    uint64_t sequence; /* the peer's number for the request */
    int64_t received_ms;
    int64_t received_us;
    /* A majority has confirmed that this node leads, after an earlier look at
     * the request would have refused it. */
    bool confirmed;
    bool refused; /* refused at the first look, see refusal */
    JobRefusal refusal;
    JobSpaceVerdict space;
    size_t proposed_bytes; /* of the job, while its proposal is in progress */
    const char *denial;    /* for the log line: why the key does not permit the
                            * request, or NULL */
    JobRequest request;
} PendingRequest;

static void
send_peer_reply(const PendingRequest *pending, const JobReplyMsg *msg)
{
    Buf frame = BUF_INIT;

    JobReplyMsg_Encode(msg, &frame);
    Peers_Send(pending->control->peers, pending->peer, frame.data, frame.len);
    Buf_Free(&frame);
}

static bool
is_order(const JobRequest *request)
{
    return request->kind == JOB_REQUEST_PUT_CONFIG ||
           request->kind == JOB_REQUEST_PUT_WAVE;
}

/* Begins a line about a request with its kind and, for an order of the
 * operator, its number: the version of the configuration or the number of the
 * wave. */
static void
begin_request_line(SlogLevel level, const char *event,
                   const JobRequest *request)
{
    if (is_order(request)) {
        Slog_BeginRare(level, event);
    }
    else {
        Slog_Begin(level, event);
    }
    Slog_AddText("kind", JobMetrics_GetKindName(request->kind));
    if (is_order(request)) {
        Slog_AddInt("order", (int64_t)(request->kind == JOB_REQUEST_PUT_CONFIG
                                           ? request->config.version
                                           : request->wave.number));
    }
}

static void
log_reply(const PendingRequest *pending, int status, const JobReply *reply)
{
    bool failed = status >= 300;

    if (!failed && (pending->request.kind == JOB_REQUEST_ANNOUNCE ||
                    pending->request.kind == JOB_REQUEST_STATE ||
                    pending->request.kind == JOB_REQUEST_PENDING)) {
        return;
    }
    begin_request_line(failed ? SLOG_FAILURE : SLOG_ROUTINE,
                       "request_answered", &pending->request);
    Slog_AddText("id", pending->request.id);
    Slog_AddText("queue", pending->request.queue);
    if (pending->http == NULL) {
        Slog_AddText(
            "peer", Peers_Hello(pending->control->peers, pending->peer)->name);
        Slog_AddInt("sequence", (int64_t)pending->sequence);
    }
    Slog_AddInt("status", status);
    Slog_AddText("reason", reply->reason != NULL ? reply->reason : "");
    if (pending->denial != NULL) {
        Slog_AddText("denial", pending->denial);
    }
    Slog_AddInt("took_ms", Loop_NowMs() - pending->received_ms);
    Slog_AddInt("version",
                (int64_t)JobState_GetConfig(pending->control->state)->version);
    Slog_AddInt("term", (int64_t)pending->control->serving_term);
    Slog_End();
}

static void
free_pending_request(PendingRequest *pending)
{
    JobRequest_Free(&pending->request);
    free(pending);
}

/* Sends the reply and frees the pending request. */
static void
send_reply(PendingRequest *pending, const JobReply *reply)
{
    Buf body = BUF_INIT;
    JobReplyMsg msg;
    int status = pending->control->wire->encode_reply(pending->request.kind,
                                                      reply, &body);

    log_reply(pending, status, reply);
    pending->control->denied_requests += pending->denial != NULL;
    if (pending->control->metrics != NULL) {
        JobMetrics_RecordAnswer(pending->control->metrics,
                                pending->request.kind, status,
                                Loop_NowUs() - pending->received_us);
    }
    msg = (JobReplyMsg){pending->sequence, status, reply->retry_ms, body.data,
                        body.len};
    if (pending->http != NULL) {
        JobReplyMsg_SendHttp(&msg, pending->http);
    }
    else {
        send_peer_reply(pending, &msg);
    }
    Buf_Free(&body);
    free_pending_request(pending);
}

static void
reply_unavailable(PendingRequest *pending, const char *reason)
{
    JobReply reply = {.kind = JOB_REPLY_UNAVAILABLE,
                      .reason = reason,
                      .retry_ms = RETRY_NO_LEADER_MS};

    send_reply(pending, &reply);
}

/* Replies to a request whose proposal failed. Returns false, without a reply,
 * if status is ST_OK. */
static bool
reply_if_failed(PendingRequest *pending, Status status)
{
    JobReply reply = {.kind = JOB_REPLY_UNKNOWN,
                      .reason = "the outcome is not known; ask again"};

    if (status == ST_OK) {
        return false;
    }
    switch (status) {
    case ST_NOT_LEADER:
        reply_unavailable(pending, "this node does not lead");
        break;
    case ST_FULL:
        reply_unavailable(pending, "too many changes are pending");
        break;
    case ST_INVALID:
        reply = (JobReply){.kind = JOB_REPLY_TOO_LARGE,
                           .reason = "the change is larger than an entry of "
                                     "the log"};
        send_reply(pending, &reply);
        break;
    default:
        send_reply(pending, &reply);
        break;
    }
    return true;
}

/* --- keys --- */

static bool
is_from_caller(const PendingRequest *pending)
{
    return pending->request.queue[0] != '\0';
}

/* Checks the key of a caller's request by the configuration of this moment and
 * finds its tenant. */
static JobAccess
check_key(const PendingRequest *pending, const char **tenant)
{
    *tenant = "";
    if (!is_from_caller(pending)) {
        return JOB_ACCESS_GRANTED;
    }
    return JobTenant_CheckQueue(JobState_GetConfig(pending->control->state),
                                pending->request.queue, pending->request.key,
                                tenant);
}

/* Replies to a request whose key does not permit it. Returns false, without a
 * reply, if it is permitted. */
static bool
reply_if_denied(PendingRequest *pending, JobAccess access)
{
    JobReply reply = {.kind = JOB_REPLY_NOT_FOUND, .reason = "no such queue"};

    if (access == JOB_ACCESS_GRANTED) {
        return false;
    }
    if (access == JOB_ACCESS_DENIED) {
        pending->denial =
            pending->request.key[0] == '\0' ? "no_key" : "unknown_key";
        reply = (JobReply){.kind = JOB_REPLY_DENIED,
                           .reason = "the key is missing or unknown"};
    }
    send_reply(pending, &reply);
    return true;
}

/* Returns whether the tenant of a request may use a job. If it may not, the
 * log line of the reply says so. */
static bool
may_use_job(PendingRequest *pending, const Job *job, const char *tenant)
{
    if (JobTenant_MayUseJob(JobState_GetConfig(pending->control->state), job,
                            tenant)) {
        return true;
    }
    pending->denial = "other_tenant";
    return false;
}

/* --- reads --- */

static void
reply_text(PendingRequest *pending, const char *text, size_t len)
{
    JobReply reply = {.kind = JOB_REPLY_TEXT, .text = text, .text_len = len};

    send_reply(pending, &reply);
}

static void
reply_state(PendingRequest *pending, const char *tenant)
{
    const Job *job =
        JobState_FindJob(pending->control->state, pending->request.id);
    JobReply reply = {.kind = JOB_REPLY_GONE, .reason = "no such job"};

    if (job != NULL && may_use_job(pending, job, tenant)) {
        reply.kind = JOB_REPLY_STATE;
        reply.phase = Job_GetPhase(job);
    }
    send_reply(pending, &reply);
}

static void
reply_wave(PendingRequest *pending)
{
    const JobWave *wave = JobState_FindWave(pending->control->state,
                                            pending->request.wave.number);
    JobReply reply = {.kind = JOB_REPLY_NOT_FOUND, .reason = "no such wave"};

    if (wave != NULL) {
        reply.kind = JOB_REPLY_WAVE;
        reply.phase =
            wave->done == wave->vm_count ? JOB_COMPLETED : JOB_RUNNING;
    }
    send_reply(pending, &reply);
}

static void
reply_to_read(PendingRequest *pending)
{
    JobControl *control = pending->control;
    const JobConfig *config = JobState_GetConfig(control->state);
    JobReply reply = {.kind = JOB_REPLY_PENDING};
    const char *tenant;

    if (pending->request.error == JOB_ERROR_NO_QUEUE) {
        reply =
            (JobReply){.kind = JOB_REPLY_NOT_FOUND, .reason = "no such queue"};
        send_reply(pending, &reply);
        return;
    }
    if (reply_if_denied(pending, check_key(pending, &tenant))) {
        return;
    }
    switch (pending->request.kind) {
    case JOB_REQUEST_STATE:
        reply_state(pending, tenant);
        break;
    case JOB_REQUEST_PENDING:
        reply.number =
            JobState_CountPending(control->state, pending->request.queue);
        send_reply(pending, &reply);
        break;
    case JOB_REQUEST_GET_CONFIG:
        if (config->version == 0) {
            reply_unavailable(pending, "there is no configuration yet");
        }
        else {
            reply_text(pending, config->text, config->text_len);
        }
        break;
    case JOB_REQUEST_GET_WAVE:
        reply_wave(pending);
        break;
    default:
        reply =
            (JobReply){.kind = JOB_REPLY_NOT_FOUND, .reason = "no such queue"};
        send_reply(pending, &reply);
        break;
    }
}

static void
on_read(void *arg, Status status, JobResult result)
{
    PendingRequest *pending = arg;

    (void)result;
    if (status != ST_OK) {
        reply_unavailable(pending, "no majority confirms this node's state");
        return;
    }
    reply_to_read(pending);
}

/* --- changes --- */

static void serve_request(PendingRequest *pending);

static void
on_confirmed(void *arg, Status status, JobResult result)
{
    PendingRequest *pending = arg;

    (void)result;
    if (status != ST_OK) {
        reply_unavailable(pending, "no majority confirms this node's state");
        return;
    }
    pending->confirmed = true;
    serve_request(pending);
}

/* Looks again at a request that would be refused, once a majority confirms
 * that this node leads and that no newer configuration is missing here. */
static void
look_again(PendingRequest *pending)
{
    JobControl_ConfirmRead(pending->control, on_confirmed, pending);
}

static void
reply_conflict(PendingRequest *pending)
{
    JobReply reply = {.kind = JOB_REPLY_CONFLICT,
                      .reason = "the id is in use"};

    pending->denial = "other_tenant";
    send_reply(pending, &reply);
}

static void
on_submitted(void *arg, Status status, JobResult result)
{
    PendingRequest *pending = arg;
    JobReply reply = {.kind = JOB_REPLY_OK};
    Job *job;

    JobSpace_End(&pending->control->space, pending->proposed_bytes);
    pending->proposed_bytes = 0;
    if (reply_if_failed(pending, status)) {
        return;
    }
    if (result == JOB_RESULT_DENIED) {
        /* The log ordered another configuration before the submission, by
         * which the key may belong to another tenant. */
        pending->confirmed = false;
        serve_request(pending);
        return;
    }
    if (result == JOB_RESULT_OTHER_TENANT) {
        reply_conflict(pending);
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
    job = JobState_FindJob(pending->control->state, pending->request.id);
    if (job != NULL && result == JOB_RESULT_OK) {
        job->sched_state.accepted_ms = Loop_NowMs();
        job->sched_state.accepted_in_term = true;
    }
    send_reply(pending, &reply);
}

/* Answers the submission of an id that is in use. */
static void
reply_to_resent(PendingRequest *pending, const Job *job, const char *tenant)
{
    JobReply reply = {.kind = JOB_REPLY_OK};

    if (JobTenant_MayUseJob(JobState_GetConfig(pending->control->state), job,
                            tenant)) {
        send_reply(pending, &reply);
    }
    else if (!pending->confirmed) {
        look_again(pending);
    }
    else {
        reply_conflict(pending);
    }
}

/* Returns whether there is space for the job of a submission and the scheduler
 * admits it. If not, the pending request has the reason. */
static bool
admit_job(PendingRequest *pending, const JobSubmission *submission)
{
    JobControl *control = pending->control;

    pending->space =
        JobSpace_Check(&control->space, JobState_GetJobBytes(control->state),
                       JobState_MeasureJob(submission->spec));
    return pending->space == JOB_SPACE_FREE &&
           JobSched_Admit(control->sched, Loop_NowMs(), submission,
                          &pending->refusal);
}

static void
reply_refused(PendingRequest *pending)
{
    JobReply reply = {.kind = JOB_REPLY_REJECTED,
                      .reason = pending->refusal.reason,
                      .retry_ms = pending->refusal.retry_ms};

    if (pending->space != JOB_SPACE_FREE) {
        pending->control->space.refused++;
        reply.kind = JOB_REPLY_UNAVAILABLE;
        reply.reason = "there is no space for the job";
        reply.retry_ms = pending->space == JOB_SPACE_PENDING
                             ? JOB_SPACE_PENDING_RETRY_MS
                             : JOB_SPACE_FULL_RETRY_MS;
    }
    send_reply(pending, &reply);
}

static void
submit_job(PendingRequest *pending, const char *tenant)
{
    JobControl *control = pending->control;
    const JobQueue *queue = JobConfig_FindQueue(
        JobState_GetConfig(control->state), pending->request.queue);
    const Job *job = JobState_FindJob(control->state, pending->request.id);
    JobSubmission submission = {pending->request.id, queue,
                                &pending->request.spec, tenant};
    Buf command = BUF_INIT;

    if (job != NULL) {
        reply_to_resent(pending, job, tenant);
        return;
    }
    if (!pending->refused && queue != NULL &&
        !admit_job(pending, &submission)) {
        /* A deposed leader may lack the job, which may have been accepted. */
        pending->refused = true;
        JobSpec_Free(&pending->request.spec);
        look_again(pending);
        return;
    }
    if (pending->refused) {
        reply_refused(pending);
        return;
    }
    pending->proposed_bytes = JobState_MeasureJob(&pending->request.spec);
    JobSpace_Begin(&control->space, pending->proposed_bytes);
    JobCmd_EncodeSubmit(&command, pending->request.id, pending->request.queue,
                        apr_time_as_msec(apr_time_now()),
                        &pending->request.spec, tenant);
    JobControl_Propose(control, &command, on_submitted, pending);
    Buf_Free(&command);
}

static void
on_cancelled(void *arg, Status status, JobResult result)
{
    PendingRequest *pending = arg;
    JobReply reply = {.kind = JOB_REPLY_OK};

    if (reply_if_failed(pending, status)) {
        return;
    }
    if (result == JOB_RESULT_UNKNOWN) {
        reply = (JobReply){.kind = JOB_REPLY_GONE, .reason = "no such job"};
        if (JobState_FindJob(pending->control->state, pending->request.id) !=
            NULL) {
            pending->denial = "other_tenant";
        }
    }
    send_reply(pending, &reply);
}

static void
cancel_job(PendingRequest *pending, const char *tenant)
{
    Buf command = BUF_INIT;

    JobCmd_EncodeCancel(&command, pending->request.id,
                        apr_time_as_msec(apr_time_now()), tenant);
    JobControl_Propose(pending->control, &command, on_cancelled, pending);
    Buf_Free(&command);
}

static void
on_stored(void *arg, Status status, JobResult result)
{
    PendingRequest *pending = arg;
    JobReply reply = {.kind = JOB_REPLY_OK};

    if (reply_if_failed(pending, status)) {
        return;
    }
    if (result == JOB_RESULT_CORRUPT) {
        reply = (JobReply){.kind = JOB_REPLY_INVALID,
                           .reason = "the change cannot be stored"};
    }
    send_reply(pending, &reply);
}

/* Frees the decoded configuration, of which only the version is used while its
 * proposal is in progress. */
static void
release_config(JobRequest *request)
{
    uint64_t version = request->config.version;

    JobConfig_Free(&request->config);
    memset(&request->config, 0, sizeof(request->config));
    request->config.version = version;
}

static void
put_config(PendingRequest *pending)
{
    JobControl *control = pending->control;
    const JobConfig *config = &pending->request.config;
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
        send_reply(pending, &reply);
        Buf_Free(&text);
        return;
    }
    Buf_Free(&text);
    if (config->version > JobState_GetConfig(control->state)->version) {
        Slog_Begin(SLOG_CHANGE, "config_proposed");
        Slog_AddInt("version", (int64_t)config->version);
        Slog_AddInt("queues", (int64_t)config->queue_count);
        Slog_End();
    }
    JobCmd_EncodeConfig(&command, config);
    release_config(&pending->request);
    JobControl_Propose(control, &command, on_stored, pending);
    Buf_Free(&command);
}

static void
put_wave(PendingRequest *pending)
{
    Buf command = BUF_INIT;

    pending->request.wave.start_ms = apr_time_as_msec(apr_time_now());
    JobCmd_EncodeWave(&command, &pending->request.wave);
    JobControl_Propose(pending->control, &command, on_stored, pending);
    Buf_Free(&command);
}

/* Returns whether a control node, which can be an agent, forwarded the
 * request. */
static bool
is_from_agent(const PendingRequest *pending)
{
    return pending->http == NULL &&
           Peers_Hello(pending->control->peers, pending->peer)->identity != 0;
}

static void
handle_announcement(PendingRequest *pending)
{
    JobControl *control = pending->control;
    char address[JOB_ADDRESS_BYTES];
    JobReply reply = {.kind = JOB_REPLY_ANNOUNCED};
    bool may_store =
        JobSched_MayStore(control->sched, &pending->request.announcement);

    reply.text = JobControl_GetAnnounceAddress(
        control, is_from_agent(pending) ? pending->peer : JOB_AGENT_NONE,
        &pending->request.announcement, address, sizeof(address));
    if (!JobSched_HandleAnnouncement(control->sched, Loop_NowMs(),
                                     &pending->request.announcement) &&
        pending->request.announcement.leaving) {
        /* The target may rely on the reply to its notice of leaving, so the
         * announcement is stored before the reply is sent. */
        Buf command = BUF_INIT;
        if (!may_store) {
            reply_unavailable(pending, "an earlier state of the target is "
                                       "still being verified or stored");
            return;
        }
        JobCmd_EncodeTarget(&command, &pending->request.announcement);
        JobControl_Propose(control, &command, on_stored, pending);
        Buf_Free(&command);
        return;
    }
    send_reply(pending, &reply);
}

static void
handle_departure(PendingRequest *pending)
{
    JobReply reply = {.kind = JOB_REPLY_OK};

    JobSched_HandleDeparture(pending->control->sched, Loop_NowMs(),
                             pending->request.id);
    send_reply(pending, &reply);
}

/* --- dispatch --- */

static bool
reply_if_malformed(PendingRequest *pending)
{
    JobReply reply = {.kind = JOB_REPLY_INVALID,
                      .reason = pending->request.reason};

    if (pending->request.error == JOB_ERROR_MALFORMED) {
        send_reply(pending, &reply);
        return true;
    }
    return false;
}

static void
serve_request(PendingRequest *pending)
{
    JobControl *control = pending->control;
    JobAccess access;
    const char *tenant;

    if (is_order(&pending->request)) {
        begin_request_line(SLOG_ROUTINE, "order_received", &pending->request);
        Slog_End();
    }
    if (pending->request.error == JOB_ERROR_NO_QUEUE) {
        if (JobState_GetConfig(control->state)->version == 0) {
            reply_unavailable(pending, "there is no configuration yet");
        }
        else {
            JobControl_ConfirmRead(control, on_read, pending);
        }
        return;
    }
    access = check_key(pending, &tenant);
    if (access != JOB_ACCESS_GRANTED && !pending->confirmed) {
        look_again(pending);
        return;
    }
    if (reply_if_denied(pending, access) || reply_if_malformed(pending)) {
        return;
    }
    switch (pending->request.kind) {
    case JOB_REQUEST_SUBMIT:
        submit_job(pending, tenant);
        break;
    case JOB_REQUEST_CANCEL:
        cancel_job(pending, tenant);
        break;
    case JOB_REQUEST_PUT_CONFIG:
        put_config(pending);
        break;
    case JOB_REQUEST_PUT_WAVE:
        put_wave(pending);
        break;
    case JOB_REQUEST_ANNOUNCE:
        handle_announcement(pending);
        break;
    case JOB_REQUEST_LEAVE:
        handle_departure(pending);
        break;
    default:
        JobControl_ConfirmRead(control, on_read, pending);
        break;
    }
}

static PendingRequest *
new_pending_request(JobControl *control)
{
    PendingRequest *pending = Mem_New(1, sizeof(*pending));

    control->requests++;
    pending->control = control;
    pending->received_us = Loop_NowUs();
    pending->received_ms = pending->received_us / 1000;
    return pending;
}

static void
redirect_to_leader(const PendingRequest *pending, const char *leader)
{
    const JobControl *control = pending->control;

    begin_request_line(SLOG_ROUTINE, "request_redirected", &pending->request);
    Slog_AddText("method", HttpRequest_GetMethod(pending->http));
    Slog_AddText("path", HttpRequest_GetPath(pending->http));
    Slog_AddText("leader", leader);
    Slog_AddInt("leads", Replica_GetRole(control->replica) == RAFT_LEADER);
    Slog_End();
    if (control->metrics != NULL) {
        JobMetrics_CountAnswer(control->metrics, pending->request.kind, 307);
    }
    JobReplyMsg_RedirectHttp(pending->http, leader);
}

static bool
is_announcement_or_departure(const JobRequest *request)
{
    return request->error == JOB_ERROR_NONE &&
           (request->kind == JOB_REQUEST_ANNOUNCE ||
            request->kind == JOB_REQUEST_LEAVE);
}

static void
decode_request(const JobControl *control, HttpRequest *http,
               JobRequest *request)
{
    JobHttpRequest raw = {.method = HttpRequest_GetMethod(http),
                          .host = "",
                          .path = HttpRequest_GetPath(http)};

    raw.body = HttpRequest_GetBody(http, &raw.body_len);
    control->wire->decode_control_request(&raw, request);
}

/* Refuses a document that is longer than an entry of the log without reading
 * it, on any node. Returns false, without a reply, if it is not longer. */
static bool
reply_if_too_long(PendingRequest *pending)
{
    JobReply reply = {.kind = JOB_REPLY_TOO_LARGE,
                      .reason = "the document is larger than an entry of the "
                                "log"};
    size_t len;

    HttpRequest_GetBody(pending->http, &len);
    if (len <= RAFT_MAX_COMMAND_BYTES) {
        return false;
    }
    pending->request.kind = pending->control->wire->get_control_kind(
        HttpRequest_GetMethod(pending->http),
        HttpRequest_GetPath(pending->http));
    send_reply(pending, &reply);
    return true;
}

/* Lets the leader answer the request: forwards an announcement or a notice of
 * departure if the fleet uses agents, and redirects any other request. */
static void
pass_to_leader(const PendingRequest *pending, const char *leader)
{
    JobControl *control = pending->control;

    if (JobControl_UsesAgents(control) &&
        is_announcement_or_departure(&pending->request)) {
        JobControl_ForwardAnnouncement(control,
                                       JobControl_FindLeaderPeer(control),
                                       pending->http, &pending->request);
    }
    else {
        redirect_to_leader(pending, leader);
    }
}

void
JobControl_HandleHttp(void *arg, HttpRequest *http)
{
    JobControl *control = arg;
    char leader[JOB_ADDRESS_BYTES];
    PendingRequest *pending = new_pending_request(control);

    pending->http = http;
    if (reply_if_too_long(pending)) {
        return;
    }
    decode_request(control, http, &pending->request);
    if (!JobControl_IsServing(control) &&
        JobControl_GetLeaderAddress(control, leader, sizeof(leader)) != NULL) {
        pass_to_leader(pending, leader);
        free_pending_request(pending);
        return;
    }
    if (!JobControl_IsServing(control)) {
        reply_unavailable(pending, "no leader is known");
        return;
    }
    serve_request(pending);
}

void
JobControl_ServePeerRequest(JobControl *control, size_t peer,
                            uint64_t sequence, JobRequest *request)
{
    PendingRequest *pending = new_pending_request(control);

    pending->peer = peer;
    pending->sequence = sequence;
    pending->request = *request;
    memset(request, 0, sizeof(*request));
    if (!JobControl_IsServing(control)) {
        reply_unavailable(pending, "this node does not lead");
    }
    else {
        serve_request(pending);
    }
}

static bool
append_bytes(const msgpack_object *object, Buf *out)
{
    if (object->type != MSGPACK_OBJECT_STR &&
        object->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    Buf_Append(out, object->via.bin.ptr, object->via.bin.size);
    return true;
}

/* The message is [type, sequence, method, host, path, body], and for a
 * caller's request with a key also the text that contains the key. */
void
JobControl_HandleJobRequest(JobControl *control, size_t peer,
                            PeerMessageType type,
                            const msgpack_object_array *message)
{
    const msgpack_object *items = message->ptr;
    Buf texts[5] = {BUF_INIT, BUF_INIT, BUF_INIT, BUF_INIT, BUF_INIT};
    JobHttpRequest raw;
    PendingRequest *pending;
    size_t count = message->size - 2;
    size_t i;

    if (message->size < 6 || message->size > 7 ||
        items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return;
    }
    for (i = 0; i < count; i++) {
        if (!append_bytes(&items[i + 2], &texts[i])) {
            goto done;
        }
    }
    raw.method = Buf_Text(&texts[0]);
    raw.host = Buf_Text(&texts[1]);
    raw.path = Buf_Text(&texts[2]);
    raw.body_len = texts[3].len;
    raw.body = Buf_Text(&texts[3]);
    raw.key_text = count > 4 ? Buf_Text(&texts[4]) : NULL;
    pending = new_pending_request(control);
    pending->peer = peer;
    pending->sequence = items[1].via.u64;
    if (type == PEER_JOB_CONTROL_REQUEST) {
        control->wire->decode_control_request(&raw, &pending->request);
    }
    else {
        control->wire->decode_caller_request(
            &raw, JobState_GetConfig(control->state), &pending->request);
    }
    if (!JobControl_IsServing(control)) {
        reply_unavailable(pending, "this node does not lead");
    }
    else {
        serve_request(pending);
    }
done:
    for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        Buf_Free(&texts[i]);
    }
}
