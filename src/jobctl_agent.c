#include "jobctl_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "mppack.h"

#define MAX_DELEGATED 16384
#define MAX_ANNOUNCED 2048
/* Time that an agent may take beyond that of the call itself. */
#define AGENT_EXTRA_MS 500
#define AGENT_EXTRA_MOST_MS 1500
/* A target waits for so long for its acknowledgement. */
#define ANNOUNCE_MS 900

/* A call that an agent makes. */
typedef struct Delegated {
    JobAction action;
    size_t peer;
    int64_t due_ms;
} Delegated;

/* A target's request that the leader answers. */
typedef struct Announced {
    HttpRequest *http;
    size_t peer;
    int64_t due_ms;
} Announced;

void
JobControl_OpenAgents(JobControl *control)
{
    control->agents = JobAgents_New();
    control->delegated = Table_New(sizeof(Delegated), MAX_DELEGATED);
    control->announced = Table_New(sizeof(Announced), MAX_ANNOUNCED);
}

void
JobControl_CloseAgents(JobControl *control)
{
    size_t i;

    for (i = 0; i < control->agent_peers; i++) {
        Buf_Free(&control->agent_records[i].calls);
        Buf_Free(&control->agent_records[i].answers);
    }
    free(control->agent_records);
    JobAgents_Free(control->agents);
    Table_Free(control->delegated);
    Table_Free(control->announced);
}

bool
JobControl_UsesAgents(const JobControl *control)
{
    return JobState_TargetRows(control->state) >= JOB_AGENTS_MIN_TARGETS;
}

static JobAgentRecords *
records_for(JobControl *control, size_t peer)
{
    size_t count = Peers_Count(control->peers);

    if (control->agent_peers < count) {
        control->agent_records = Mem_Resize(
            control->agent_records, count * sizeof(*control->agent_records));
        memset(control->agent_records + control->agent_peers, 0,
               (count - control->agent_peers) *
                   sizeof(*control->agent_records));
        control->agent_peers = count;
    }
    return &control->agent_records[peer];
}

static void
send_records(JobControl *control, PeerMessageType type, size_t peer,
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
JobControl_FlushAgents(JobControl *control)
{
    size_t i;

    for (i = 0; i < control->agent_peers; i++) {
        send_records(control, PEER_JOB_CALLS, i, control->leading_term,
                     &control->agent_records[i].calls);
        send_records(control, PEER_JOB_ANSWERS, i, control->agent_term,
                     &control->agent_records[i].answers);
    }
}

/* --- the leader's side --- */

bool
JobControl_Delegate(JobControl *control, const JobAction *action,
                    int64_t timeout_ms)
{
    const JobTarget *target = JobState_TargetAt(control->state, action->row);
    JobCallMsg msg = {*action, timeout_ms};
    int64_t now = Loop_NowMs();
    Delegated *row;
    Handle handle;
    size_t peer;

    if (!JobControl_UsesAgents(control) || target == NULL) {
        return false;
    }
    peer = JobAgents_Choose(control->agents, now, target->says.data_centre,
                            action->row);
    if (peer == JOB_AGENT_NONE) {
        return false;
    }
    handle = Table_Add(control->delegated);
    if (Handle_IsNone(handle)) {
        return false;
    }
    row = Table_Get(control->delegated, handle);
    row->action = *action;
    row->action.text = NULL;
    row->action.checkpoint = NULL;
    row->peer = peer;
    row->due_ms =
        now + timeout_ms +
        LoopLag_Stretch(&control->lag, AGENT_EXTRA_MS, AGENT_EXTRA_MOST_MS);
    msg.action.cookie = Handle_Pack(handle);
    JobCallMsg_Pack(&msg, &records_for(control, peer)->calls);
    return true;
}

static void
lose(JobControl *control, Handle handle)
{
    const Delegated *row = Table_Get(control->delegated, handle);
    JobCallAnswer answer = {.outcome = JOB_CALL_AGENT_LOST, .clock_ms = -1};
    JobAction action = row->action;

    Table_Remove(control->delegated, handle);
    JobControl_Answered(control, &action, &answer, JOB_AGENT_NONE, 0);
}

static void
log_agent(const JobControl *control, size_t peer)
{
    Slog_Begin(SLOG_FAILURE, "agent_unanswered");
    Slog_Text("peer", Peers_Hello(control->peers, peer)->name);
    Slog_Int("calls", (int64_t)Table_Count(control->delegated));
    Slog_End();
}

static void
expire_delegated(JobControl *control, int64_t now)
{
    uint32_t cursor = 0;
    Handle handle;

    while (!Handle_IsNone(handle = Table_Next(control->delegated, &cursor))) {
        const Delegated *row = Table_Get(control->delegated, handle);
        if (now >= row->due_ms) {
            if (JobAgents_Suspect(control->agents, now, row->peer)) {
                log_agent(control, row->peer);
            }
            lose(control, handle);
        }
    }
}

void
JobControl_DropDelegated(JobControl *control)
{
    uint32_t cursor = 0;
    Handle handle;
    size_t i;

    while (!Handle_IsNone(handle = Table_Next(control->delegated, &cursor))) {
        Table_Remove(control->delegated, handle);
    }
    for (i = 0; i < control->agent_peers; i++) {
        Buf_Clear(&control->agent_records[i].calls);
    }
}

void
JobControl_OnAnswers(JobControl *control, size_t peer,
                     const msgpack_object_array *message)
{
    MpRead reader;
    uint64_t term;

    (void)peer;
    if (!JobCallMsg_DecodeBatch(message, &term, &reader) || term == 0 ||
        term != control->leading_term) {
        return;
    }
    while (!MpRead_Done(&reader)) {
        JobAnswerMsg msg;
        bool ok = JobAnswerMsg_Read(&reader, &msg);
        Handle handle = Handle_Unpack(msg.cookie);
        const Delegated *row = Table_Get(control->delegated, handle);
        if (ok && row != NULL) {
            JobAction action = row->action;
            Table_Remove(control->delegated, handle);
            JobControl_Answered(control, &action, &msg.answer, peer, term);
        }
        JobAnswerMsg_Free(&msg);
        if (!ok) {
            return;
        }
    }
}

/* --- the agent's side --- */

static void
answer_leader(JobControl *control, const JobAction *action,
              const JobCallAnswer *answer, size_t peer, uint64_t term)
{
    if (term == control->agent_term) {
        JobAnswerMsg_Pack(action->cookie, answer,
                          &records_for(control, peer)->answers);
    }
}

void
JobControl_OnCalls(JobControl *control, size_t peer,
                   const msgpack_object_array *message)
{
    MpRead reader;
    uint64_t term;

    if (!JobCallMsg_DecodeBatch(message, &term, &reader) ||
        term < control->agent_term) {
        return; /* of a leader that was deposed */
    }
    if (term > control->agent_term) {
        size_t i;
        for (i = 0; i < control->agent_peers; i++) {
            Buf_Clear(&control->agent_records[i].answers);
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
            LoopLag_Stretch(&control->lag, call.timeout_ms,
                            call.timeout_ms + AGENT_EXTRA_MS / 2),
            answer_leader, peer, term);
    }
}

/* --- announcements --- */

void
JobControl_PassAnnouncement(JobControl *control, size_t leader,
                            HttpRequest *http, const JobRequest *request)
{
    Handle handle = Table_Add(control->announced);
    Announced *row = Table_Get(control->announced, handle);
    Buf records = BUF_INIT;
    Buf body = BUF_INIT;
    msgpack_packer packer;

    if (row == NULL) {
        HttpRequest_ReplyText(http, 503, "text/plain", "too many requests\n");
        return;
    }
    *row = (Announced){http, leader, Loop_NowMs() + ANNOUNCE_MS};
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
JobControl_OnAnnounced(JobControl *control, size_t peer,
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
        JobControl_ServePeer(control, peer, sequence, request);
    }
    JobRequest_Free(request);
    free(request);
}

void
JobControl_OnAnnounceReply(JobControl *control,
                           const msgpack_object_array *message)
{
    JobReplyMsg msg;
    Announced *row;
    Handle handle;

    if (!JobReplyMsg_Decode(message, &msg)) {
        return;
    }
    handle = Handle_Unpack(msg.sequence);
    row = Table_Get(control->announced, handle);
    if (row != NULL) {
        JobReplyMsg_SendHttp(&msg, row->http);
        Table_Remove(control->announced, handle);
    }
}

/* Answers the requests that are due, and those that wait for a peer. */
static void
fail_announced(JobControl *control, int64_t now, size_t peer)
{
    uint32_t cursor = 0;
    Handle handle;

    while (!Handle_IsNone(handle = Table_Next(control->announced, &cursor))) {
        const Announced *row = Table_Get(control->announced, handle);
        if (now >= row->due_ms || row->peer == peer) {
            HttpRequest_ReplyText(row->http, 503, "text/plain",
                                  "the leader did not answer\n");
            Table_Remove(control->announced, handle);
        }
    }
}

const char *
JobControl_AnnounceAddress(const JobControl *control, size_t peer,
                           const JobAnnouncement *says, char *text,
                           size_t size)
{
    const JobTarget *target = JobState_FindTarget(control->state, says->id);

    if (peer == JOB_AGENT_NONE && JobControl_UsesAgents(control) &&
        target != NULL) {
        peer = JobAgents_Choose(control->agents, Loop_NowMs(),
                                says->data_centre, target->row);
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
JobControl_AgentTick(JobControl *control, int64_t now)
{
    expire_delegated(control, now);
    fail_announced(control, now, JOB_AGENT_NONE);
}

void
JobControl_AgentDown(JobControl *control, size_t peer)
{
    uint32_t cursor = 0;
    Handle handle;

    JobAgents_Remove(control->agents, peer);
    while (!Handle_IsNone(handle = Table_Next(control->delegated, &cursor))) {
        const Delegated *row = Table_Get(control->delegated, handle);
        if (row->peer == peer) {
            lose(control, handle);
        }
    }
    fail_announced(control, 0, peer);
}
