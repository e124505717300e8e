#include "jobctl_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "mppack.h"
#include "rng.h"

#define MAX_DELEGATED_CALLS 16384
#define MAX_FORWARDED_REQUESTS 2048
/* Time allowed for an agent in addition to the timeout of the call itself. */
#define AGENT_MARGIN_MS 500
#define AGENT_MAX_MARGIN_MS 1500
/* Timeout of the leader's reply to a forwarded request, for which the target
 * waits. */
#define FORWARD_TIMEOUT_MS 900

/* A call that an agent makes for this leader. */
typedef struct DelegatedCall {
    JobAction action;
    size_t peer; /* the agent */
    int64_t due_ms;
} DelegatedCall;

/* A target's request that was forwarded to the leader. */
typedef struct ForwardedRequest {
    HttpRequest *http;
    size_t peer; /* the leader */
    int64_t due_ms;
} ForwardedRequest;

void
JobControl_OpenAgents(JobControl *control)
{
    control->agents = JobAgents_New();
    control->delegated_calls =
        Table_New(sizeof(DelegatedCall), MAX_DELEGATED_CALLS);
    control->forwarded_requests = Table_NewSeeded(
        sizeof(ForwardedRequest), MAX_FORWARDED_REQUESTS, Rng_SystemSeed());
}

void
JobControl_CloseAgents(JobControl *control)
{
    size_t i;

    for (i = 0; i < control->agent_batch_count; i++) {
        Buf_Free(&control->agent_batches[i].calls);
        Buf_Free(&control->agent_batches[i].answers);
    }
    free(control->agent_batches);
    JobAgents_Free(control->agents);
    Table_Free(control->delegated_calls);
    Table_Free(control->forwarded_requests);
}

bool
JobControl_UsesAgents(const JobControl *control)
{
    return JobState_TargetRows(control->state) >= JOB_AGENTS_MIN_TARGETS;
}

static JobAgentBatch *
get_batch(JobControl *control, size_t peer)
{
    size_t count = Peers_Count(control->peers);

    if (control->agent_batch_count < count) {
        control->agent_batches = Mem_Resize(
            control->agent_batches, count * sizeof(*control->agent_batches));
        memset(control->agent_batches + control->agent_batch_count, 0,
               (count - control->agent_batch_count) *
                   sizeof(*control->agent_batches));
        control->agent_batch_count = count;
    }
    return &control->agent_batches[peer];
}

static void
send_batch(JobControl *control, PeerMessageType type, size_t peer,
           uint64_t term, Buf *records)
{
    Buf body = BUF_INIT;

    if (records->len == 0) {
        return;
    }
    JobCallMsg_EncodeBatch(type, term, records, &body);
    Peers_Send(control->peers, peer, body.data, body.len);
    Buf_Free(&body);
    Buf_Clear(records);
}

void
JobControl_FlushAgentBatches(JobControl *control)
{
    size_t i;

    for (i = 0; i < control->agent_batch_count; i++) {
        send_batch(control, PEER_JOB_CALLS, i, control->serving_term,
                   &control->agent_batches[i].calls);
        send_batch(control, PEER_JOB_ANSWERS, i, control->agent_term,
                   &control->agent_batches[i].answers);
    }
}

/* --- the leader's side --- */

bool
JobControl_DelegateCall(JobControl *control, const JobAction *action,
                        int64_t timeout_ms)
{
    const JobTarget *target = JobState_TargetAt(control->state, action->row);
    JobCallMsg msg = {*action, timeout_ms};
    int64_t now = Loop_NowMs();
    DelegatedCall *row;
    JobAgentBatch *batch;
    Handle handle;
    size_t peer;

    if (!JobControl_UsesAgents(control) || target == NULL) {
        return false;
    }
    peer = JobAgents_Choose(control->agents, now,
                            target->announcement.data_centre, action->row);
    if (peer == JOB_AGENT_NONE) {
        return false;
    }
    handle = Table_Add(control->delegated_calls);
    if (Handle_IsNone(handle)) {
        return false;
    }
    row = Table_Get(control->delegated_calls, handle);
    row->action = *action;
    row->action.text = NULL;
    row->action.checkpoint = NULL;
    row->peer = peer;
    row->due_ms = now + timeout_ms +
                  LoopLag_ExtendTimeout(&control->tick_lag, AGENT_MARGIN_MS,
                                        AGENT_MAX_MARGIN_MS);
    msg.action.cookie = Handle_Pack(handle);
    batch = get_batch(control, peer);
    JobCallMsg_Pack(&msg, &batch->calls);
    if (batch->calls.len >= JOB_CALL_BATCH_BYTES) {
        send_batch(control, PEER_JOB_CALLS, peer, control->serving_term,
                   &batch->calls);
    }
    return true;
}

static void
fail_delegated_call(JobControl *control, Handle handle)
{
    const DelegatedCall *row = Table_Get(control->delegated_calls, handle);
    JobCallAnswer answer = {.outcome = JOB_CALL_AGENT_LOST, .clock_ms = -1};
    JobAction action = row->action;

    Table_Remove(control->delegated_calls, handle);
    JobControl_HandleAnswer(control, &action, &answer, JOB_AGENT_NONE, 0);
}

static void
log_unanswered_agent(const JobControl *control, size_t peer)
{
    Slog_Begin(SLOG_FAILURE, "agent_unanswered");
    Slog_AddText("peer", Peers_Hello(control->peers, peer)->name);
    Slog_AddInt("calls", (int64_t)Table_Count(control->delegated_calls));
    Slog_End();
}

static void
expire_delegated_calls(JobControl *control, int64_t now)
{
    uint32_t cursor = 0;
    Handle handle;

    while (!Handle_IsNone(handle =
                              Table_Next(control->delegated_calls, &cursor))) {
        const DelegatedCall *row = Table_Get(control->delegated_calls, handle);
        if (now >= row->due_ms) {
            if (JobAgents_Suspect(control->agents, now, row->peer)) {
                log_unanswered_agent(control, row->peer);
            }
            fail_delegated_call(control, handle);
        }
    }
}

void
JobControl_DropDelegatedCalls(JobControl *control)
{
    uint32_t cursor = 0;
    Handle handle;
    size_t i;

    while (!Handle_IsNone(handle =
                              Table_Next(control->delegated_calls, &cursor))) {
        Table_Remove(control->delegated_calls, handle);
    }
    for (i = 0; i < control->agent_batch_count; i++) {
        Buf_Clear(&control->agent_batches[i].calls);
    }
}

void
JobControl_HandleAgentAnswers(JobControl *control, size_t peer,
                              const msgpack_object_array *message)
{
    MpRead reader;
    uint64_t term;

    (void)peer;
    if (!JobCallMsg_DecodeBatch(message, &term, &reader) || term == 0 ||
        term != control->serving_term) {
        return;
    }
    while (!MpRead_Done(&reader)) {
        JobAnswerMsg msg;
        bool ok = JobAnswerMsg_Read(&reader, &msg);
        Handle handle = Handle_Unpack(msg.cookie);
        const DelegatedCall *row = Table_Get(control->delegated_calls, handle);
        if (ok && row != NULL) {
            JobAction action = row->action;
            Table_Remove(control->delegated_calls, handle);
            JobControl_HandleAnswer(control, &action, &msg.answer, peer, term);
        }
        JobAnswerMsg_Free(&msg);
        if (!ok) {
            return;
        }
    }
}

/* --- the agent's side --- */

static void
queue_answer(JobControl *control, const JobAction *action,
             const JobCallAnswer *answer, size_t peer, uint64_t term)
{
    JobAgentBatch *batch = get_batch(control, peer);

    if (term != control->agent_term) {
        return;
    }
    JobAnswerMsg_Pack(action->cookie, answer, &batch->answers);
    if (batch->answers.len >= JOB_CALL_BATCH_BYTES) {
        send_batch(control, PEER_JOB_ANSWERS, peer, term, &batch->answers);
    }
}

void
JobControl_HandleDelegatedCalls(JobControl *control, size_t peer,
                                const msgpack_object_array *message)
{
    MpRead reader;
    uint64_t term;

    if (!JobCallMsg_DecodeBatch(message, &term, &reader) ||
        term < control->agent_term) {
        return; /* The sender no longer leads. */
    }
    if (term > control->agent_term) {
        size_t i;
        for (i = 0; i < control->agent_batch_count; i++) {
            Buf_Clear(&control->agent_batches[i].answers);
        }
        control->agent_term = term;
    }
    while (!MpRead_Done(&reader)) {
        JobCallMsg call;
        if (!JobCallMsg_Read(&reader, &call)) {
            return;
        }
        call.action.sent_ms = Loop_NowMs();
        JobControl_CallTarget(
            control, &call.action,
            LoopLag_ExtendTimeout(&control->tick_lag, call.timeout_ms,
                                  call.timeout_ms + AGENT_MARGIN_MS / 2),
            queue_answer, peer, term);
    }
}

/* --- announcements --- */

void
JobControl_ForwardAnnouncement(JobControl *control, size_t leader,
                               HttpRequest *http, const JobRequest *request)
{
    Handle handle = Table_Add(control->forwarded_requests);
    ForwardedRequest *row = Table_Get(control->forwarded_requests, handle);
    Buf records = BUF_INIT;
    Buf body = BUF_INIT;
    msgpack_packer packer;

    if (row == NULL) {
        HttpRequest_ReplyText(http, 503, "text/plain", "too many requests\n");
        return;
    }
    *row = (ForwardedRequest){http, leader, Loop_NowMs() + FORWARD_TIMEOUT_MS};
    msgpack_packer_init(&packer, &records, Buf_MsgpackWrite);
    msgpack_pack_uint32(&packer, (uint32_t)request->kind);
    MpPack_Text(&packer, request->id);
    JobAnnounceMsg_Pack(&request->announcement, &records);
    JobCallMsg_EncodeBatch(PEER_JOB_ANNOUNCED, Handle_Pack(handle), &records,
                           &body);
    Peers_Send(control->peers, leader, body.data, body.len);
    Buf_Free(&records);
    Buf_Free(&body);
}

void
JobControl_HandleForwardedRequest(JobControl *control, size_t peer,
                                  const msgpack_object_array *message)
{
    JobRequest *request = Mem_New(1, sizeof(*request));
    MpRead reader;
    uint64_t sequence;
    uint32_t kind;

    if (JobCallMsg_DecodeBatch(message, &sequence, &reader) &&
        MpRead_U32(&reader, &kind) &&
        (kind == JOB_REQUEST_ANNOUNCE || kind == JOB_REQUEST_LEAVE) &&
        MpRead_Text(&reader, request->id, sizeof(request->id)) &&
        JobAnnounceMsg_Read(&reader, &request->announcement)) {
        request->kind = (JobRequestKind)kind;
        JobControl_ServePeerRequest(control, peer, sequence, request);
    }
    JobRequest_Free(request);
    free(request);
}

void
JobControl_HandleAnnouncementReply(JobControl *control,
                                   const msgpack_object_array *message)
{
    JobReplyMsg msg;
    ForwardedRequest *row;
    Handle handle;

    if (!JobReplyMsg_Decode(message, &msg)) {
        return;
    }
    handle = Handle_Unpack(msg.sequence);
    row = Table_Get(control->forwarded_requests, handle);
    if (row != NULL) {
        JobReplyMsg_SendHttp(&msg, row->http);
        Table_Remove(control->forwarded_requests, handle);
    }
}

/* Fails the requests that have timed out or that wait for the peer. */
static void
fail_forwarded_requests(JobControl *control, int64_t now, size_t peer)
{
    uint32_t cursor = 0;
    Handle handle;

    while (!Handle_IsNone(
        handle = Table_Next(control->forwarded_requests, &cursor))) {
        const ForwardedRequest *row =
            Table_Get(control->forwarded_requests, handle);
        if (now >= row->due_ms || row->peer == peer) {
            HttpRequest_ReplyText(row->http, 503, "text/plain",
                                  "the leader did not answer\n");
            Table_Remove(control->forwarded_requests, handle);
        }
    }
}

const char *
JobControl_GetAnnounceAddress(const JobControl *control, size_t peer,
                              const JobAnnouncement *announcement, char *text,
                              size_t size)
{
    const JobTarget *target =
        JobState_FindTarget(control->state, announcement->id);

    if (peer == JOB_AGENT_NONE && JobControl_UsesAgents(control) &&
        target != NULL) {
        peer = JobAgents_Choose(control->agents, Loop_NowMs(),
                                announcement->data_centre, target->row);
    }
    if (peer == JOB_AGENT_NONE) {
        return control->control_address;
    }
    snprintf(text, size, "%s:%d",
             Peers_Hello(control->peers, peer)->address.host,
             control->settings->control.port);
    return text;
}

/* --- both sides --- */

void
JobControl_TickAgents(JobControl *control, int64_t now)
{
    expire_delegated_calls(control, now);
    fail_forwarded_requests(control, now, JOB_AGENT_NONE);
}

void
JobControl_HandleAgentDown(JobControl *control, size_t peer)
{
    uint32_t cursor = 0;
    Handle handle;

    JobAgents_Remove(control->agents, peer);
    while (!Handle_IsNone(handle =
                              Table_Next(control->delegated_calls, &cursor))) {
        const DelegatedCall *row = Table_Get(control->delegated_calls, handle);
        if (row->peer == peer) {
            fail_delegated_call(control, handle);
        }
    }
    fail_forwarded_requests(control, 0, peer);
}
