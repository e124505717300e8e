#include "support_once.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "once.h"
#include "rng.h"

#define VM_COUNT 4
#define MAX_REQUESTS 16
#define MAX_MESSAGES 96
#define MAX_RECORD_BYTES 320
#define INTENT_ON_DISK (-1)

typedef enum MessageKind {
    MSG_REQUEST, /* to an entry VM, from a caller or another entry VM */
    MSG_FORWARD_TIMEOUT, /* local timer */
    MSG_SYNCED,          /* local event: the disk is synced up to disk_end */
    MSG_INTENT,
    MSG_INTENT_ACK,
    MSG_INTENT_TIMEOUT, /* local timer */
    MSG_ATTEMPT,        /* to a target; never duplicated */
    MSG_ANSWER,
    MSG_ANSWER_TIMEOUT, /* local timer */
    MSG_OUTCOME,
    MSG_QUERY,
    MSG_QUERY_REPLY
} MessageKind;

typedef struct Message {
    MessageKind kind;
    int from;
    int to;
    int request;
    int answered_request; /* index of the request that was answered */
    uint64_t incarnation;
    uint32_t attempt;
    bool ok;
    size_t disk_end;
    size_t len;
    char bytes[MAX_RECORD_BYTES];
} Message;

typedef struct Vm {
    Once *once;
    uint64_t incarnation;
    bool has_disk;
    Buf disk;
    size_t synced_bytes;
    int64_t clock_skew_ms;
    int intent_location[MAX_REQUESTS]; /* INTENT_ON_DISK or a peer's index */
} Vm;

typedef struct Request {
    char token[ONCE_TOKEN_BYTES];
    char id[16];
    int first_request; /* index of the request that the token is issued for */
    unsigned executions;
    bool replied_not_run;
    bool answered;
} Request;

typedef struct Model {
    Rng rng;
    const uint8_t *bytes;
    size_t len;
    OnceFault fault;
    int64_t now_ms;
    Vm vms[VM_COUNT];
    bool link_down[VM_COUNT][VM_COUNT];
    Request requests[MAX_REQUESTS];
    int request_count;
    Message messages[MAX_MESSAGES];
    int message_count;
    OnceModelResult result;
} Model;

static uint32_t
draw_below(Model *m, uint32_t bound)
{
    if (m->len > 0) {
        m->len--;
        return *m->bytes++ % bound;
    }
    return Rng_Below(&m->rng, bound);
}

static int64_t
get_vm_time(const Model *m, const Vm *vm)
{
    return m->now_ms + vm->clock_skew_ms;
}

static Message *
send_message(Model *m, MessageKind kind, int from, int to, int request)
{
    Message *message;

    /* If too many messages are in flight, a random one is lost. */
    if (m->message_count == MAX_MESSAGES) {
        int index = (int)draw_below(m, MAX_MESSAGES);
        m->messages[index] = m->messages[--m->message_count];
    }
    message = &m->messages[m->message_count++];
    memset(message, 0, sizeof(*message));
    message->kind = kind;
    message->from = from;
    message->to = to;
    message->request = request;
    message->answered_request = request;
    message->incarnation = m->vms[to].incarnation;
    return message;
}

static void
report_violation(Model *m, const char *violation)
{
    if (m->result.violation == NULL) {
        m->result.violation = violation;
    }
}

static int
format_answer(const Request *request, char *out, size_t size)
{
    return snprintf(out, size, "%s of %s", request->id, request->token);
}

static void
reply_to_caller(Model *m, int request, OnceOutcome outcome, const char *answer,
                size_t len)
{
    Request *state = &m->requests[request];
    char expected[MAX_RECORD_BYTES];
    int size = format_answer(state, expected, sizeof(expected));

    if (outcome == ONCE_OUTCOME_DONE) {
        m->result.replied_done++;
        if (len != (size_t)size || memcmp(answer, expected, len) != 0) {
            report_violation(m, "answer of another request");
        }
    }
    else if (outcome == ONCE_OUTCOME_NOT_RUN) {
        m->result.replied_not_run++;
        state->replied_not_run = true;
        if (state->executions > 0) {
            report_violation(m, "\"not run\" for work that ran");
        }
    }
    else {
        m->result.replied_unknown++;
    }
}

static void
reply_with_view(Model *m, int request, const OnceView *view)
{
    reply_to_caller(m, request, view->outcome, view->answer, view->len);
}

static void
execute_request(Model *m, int request)
{
    Request *executed = &m->requests[request];
    unsigned token_executions = 0;
    int i;

    executed->executions++;
    m->result.executions++;
    for (i = 0; i < m->request_count; i++) {
        if (m->requests[i].first_request == executed->first_request) {
            token_executions += m->requests[i].executions;
        }
    }
    if (token_executions > 1) {
        report_violation(m, "double execution");
    }
    if (executed->replied_not_run) {
        report_violation(m, "execution after \"not run\"");
    }
}

/* Sends the token's record to the location of the intent. */
static void
send_record(Model *m, int vm, int request, MessageKind kind)
{
    Vm *home = &m->vms[vm];
    Buf buf = BUF_INIT;
    Message *message;

    if (Once_EncodeRecord(home->once, m->requests[request].token, &buf) ==
        ST_OK) {
        if (home->intent_location[request] == INTENT_ON_DISK) {
            Buf_Append(&home->disk, buf.data, buf.len);
            message = send_message(m, MSG_SYNCED, vm, vm, request);
            message->disk_end = home->disk.len;
            message->ok = kind == MSG_INTENT;
        }
        else {
            message = send_message(m, kind, vm, home->intent_location[request],
                                   request);
            message->len = buf.len;
            memcpy(message->bytes, buf.data, buf.len);
        }
    }
    Buf_Free(&buf);
}

static void
begin_attempt(Model *m, int vm, int request)
{
    uint32_t attempt = 0;

    if (Once_BeginAttempt(m->vms[vm].once, get_vm_time(m, &m->vms[vm]),
                          m->requests[request].token, &attempt) == ST_OK) {
        send_message(m, MSG_ATTEMPT, vm, vm, request)->attempt = attempt;
        send_message(m, MSG_ANSWER_TIMEOUT, vm, vm, request)->attempt =
            attempt;
    }
}

static void
finish_request(Model *m, int vm, int request, uint32_t attempt,
               OnceOutcome outcome, const char *answer, size_t len)
{
    if (Once_FinishRequest(m->vms[vm].once, get_vm_time(m, &m->vms[vm]),
                           m->requests[request].token, attempt, outcome, 200,
                           answer, len) == ST_OK) {
        reply_to_caller(m, request, outcome, answer, len);
        send_record(m, vm, request, MSG_OUTCOME);
    }
}

static void
report_intent(Model *m, int vm, int request, bool ok)
{
    if (Once_ReportIntent(m->vms[vm].once, get_vm_time(m, &m->vms[vm]),
                          m->requests[request].token, ok) != ST_OK) {
        return;
    }
    if (ok) {
        begin_attempt(m, vm, request);
    }
    else {
        finish_request(m, vm, request, 0, ONCE_OUTCOME_NOT_RUN, NULL, 0);
    }
}

static void
start_request(Model *m, int vm, int request)
{
    Vm *home = &m->vms[vm];
    int peer = (vm + 1 + (int)draw_below(m, VM_COUNT - 1)) % VM_COUNT;

    if (draw_below(m, 16) == 0) {
        /* The queue is full: refuse the request before any attempt. */
        if (m->fault == ONCE_FAULT_NOT_RUN_NOT_FINAL) {
            reply_to_caller(m, request, ONCE_OUTCOME_NOT_RUN, NULL, 0);
        }
        else {
            finish_request(m, vm, request, 0, ONCE_OUTCOME_NOT_RUN, NULL, 0);
            return;
        }
    }
    home->intent_location[request] =
        home->has_disk && draw_below(m, 4) > 0 ? INTENT_ON_DISK : peer;
    if (m->fault == ONCE_FAULT_NO_RECORD) {
        report_intent(m, vm, request, true);
        return;
    }
    send_record(m, vm, request, MSG_INTENT);
    send_message(m, MSG_INTENT_TIMEOUT, vm, vm, request);
}

/* Lets a restarted home ask its peers for the outcome. The caller got
 * "unknown" and must resend. */
static void
handle_old_token(Model *m, int vm, int request)
{
    int peer;

    if (m->fault == ONCE_FAULT_NO_RECORD ||
        m->fault == ONCE_FAULT_RUN_UNRECORDED) {
        send_message(m, MSG_ATTEMPT, vm, vm, request)->attempt = 1;
    }
    for (peer = 0; peer < VM_COUNT; peer++) {
        if (peer != vm) {
            send_message(m, MSG_QUERY, vm, peer, request);
        }
    }
}

static void
forward_request(Model *m, int vm, int request, const char *home)
{
    Vm *entry = &m->vms[vm];
    int to = home[0] - 'a';
    OnceView view;

    if (!m->link_down[vm][to]) {
        send_message(m, MSG_REQUEST, vm, to, request);
        send_message(m, MSG_FORWARD_TIMEOUT, vm, vm, request);
    }
    else if (m->fault == ONCE_FAULT_NOT_RUN_ON_UNREACHABLE) {
        reply_to_caller(m, request, ONCE_OUTCOME_NOT_RUN, NULL, 0);
    }
    else if (Once_FindHeldRecord(entry->once, get_vm_time(m, entry),
                                 m->requests[request].token, "caller",
                                 m->requests[request].id, &view) == ST_OK) {
        reply_with_view(m, request, &view);
    }
    else {
        reply_to_caller(m, request, ONCE_OUTCOME_UNKNOWN, NULL, 0);
    }
}

static void
handle_request(Model *m, int vm, int request)
{
    Vm *entry = &m->vms[vm];
    OnceView view;
    OnceDecision decision = Once_BeginRequest(
        entry->once, get_vm_time(m, entry), m->requests[request].token,
        "caller", m->requests[request].id, &view);

    switch (decision) {
    case ONCE_FIRST_USE:
        start_request(m, vm, request);
        break;
    case ONCE_FORWARD:
        forward_request(m, vm, request, view.home);
        break;
    case ONCE_FINISHED:
        reply_with_view(m, request, &view);
        break;
    case ONCE_INVALID:
        reply_to_caller(m, request, ONCE_OUTCOME_NOT_RUN, NULL, 0);
        break;
    case ONCE_RUNNING:
    case ONCE_EXPIRED:
    case ONCE_UNKNOWN:
        reply_to_caller(m, request, ONCE_OUTCOME_UNKNOWN, NULL, 0);
        if (view.ask_peers) {
            handle_old_token(m, vm, request);
        }
        break;
    }
}

static void
handle_attempt(Model *m, const Message *in)
{
    Message *answer =
        send_message(m, MSG_ANSWER, in->from, in->from, in->request);

    answer->attempt = in->attempt;
    answer->ok = draw_below(m, 3) > 0;
    answer->len = (size_t)format_answer(&m->requests[in->request],
                                        answer->bytes, sizeof(answer->bytes));
    if (answer->ok) {
        execute_request(m, in->request);
    }
    /* One answer in five arrives on the connection of a random request. */
    if (draw_below(m, 5) == 0) {
        answer->request = (int)draw_below(m, (uint32_t)m->request_count);
    }
}

static void
handle_answer(Model *m, const Message *in)
{
    Vm *home = &m->vms[in->to];
    const char *token = m->requests[in->request].token;
    uint32_t attempt;

    if (in->answered_request != in->request &&
        m->fault != ONCE_FAULT_ACCEPT_OTHER_ANSWER) {
        return;
    }
    if (in->ok) {
        finish_request(m, in->to, in->request, in->attempt, ONCE_OUTCOME_DONE,
                       in->bytes, in->len);
        return;
    }
    for (attempt = 1; m->fault == ONCE_FAULT_IGNORE_ATTEMPT && attempt < 4;
         attempt++) {
        if (Once_ReportNotRun(home->once, get_vm_time(m, home), token,
                              attempt) == ST_OK) {
            begin_attempt(m, in->to, in->request);
            return;
        }
    }
    if (Once_ReportNotRun(home->once, get_vm_time(m, home), token,
                          in->attempt) != ST_OK) {
        return;
    }
    if (draw_below(m, 3) == 0) {
        finish_request(m, in->to, in->request, 0, ONCE_OUTCOME_NOT_RUN, NULL,
                       0);
    }
    else {
        begin_attempt(m, in->to, in->request);
    }
}

static void
handle_answer_timeout(Model *m, const Message *in)
{
    finish_request(m, in->to, in->request, in->attempt, ONCE_OUTCOME_UNKNOWN,
                   NULL, 0);
    if (m->fault == ONCE_FAULT_REDISPATCH) {
        send_message(m, MSG_ATTEMPT, in->to, in->to, in->request)->attempt =
            in->attempt;
    }
    if (m->fault == ONCE_FAULT_NOT_RUN_ON_TIMEOUT) {
        reply_to_caller(m, in->request, ONCE_OUTCOME_NOT_RUN, NULL, 0);
    }
}

static void
handle_query(Model *m, const Message *in)
{
    Buf buf = BUF_INIT;
    Message *reply;

    if (Once_EncodeRecord(m->vms[in->to].once, m->requests[in->request].token,
                          &buf) == ST_OK) {
        reply =
            send_message(m, MSG_QUERY_REPLY, in->to, in->from, in->request);
        reply->len = buf.len;
        memcpy(reply->bytes, buf.data, buf.len);
    }
    Buf_Free(&buf);
}

static void
deliver_message(Model *m, const Message *in)
{
    Vm *vm = &m->vms[in->to];
    int64_t now = get_vm_time(m, vm);

    /* A restart discards timers and connections, but an answer may still
     * arrive. */
    if (m->link_down[in->from][in->to] ||
        (in->kind != MSG_ANSWER && in->incarnation != vm->incarnation)) {
        return;
    }
    switch (in->kind) {
    case MSG_REQUEST:
        handle_request(m, in->to, in->request);
        break;
    case MSG_FORWARD_TIMEOUT:
        reply_to_caller(m, in->request, ONCE_OUTCOME_UNKNOWN, NULL, 0);
        break;
    case MSG_SYNCED:
        if (in->disk_end > vm->synced_bytes && in->disk_end <= vm->disk.len) {
            vm->synced_bytes = in->disk_end;
        }
        if (in->ok) {
            report_intent(m, in->to, in->request, true);
        }
        break;
    case MSG_INTENT:
        send_message(m, MSG_INTENT_ACK, in->to, in->from, in->request)->ok =
            Once_HoldIntent(vm->once, now, in->bytes, in->len) == ST_OK;
        break;
    case MSG_INTENT_ACK:
        report_intent(m, in->to, in->request, in->ok);
        break;
    case MSG_INTENT_TIMEOUT:
        finish_request(m, in->to, in->request, 0, ONCE_OUTCOME_NOT_RUN, NULL,
                       0);
        break;
    case MSG_ATTEMPT:
        handle_attempt(m, in);
        break;
    case MSG_ANSWER:
        handle_answer(m, in);
        break;
    case MSG_ANSWER_TIMEOUT:
        handle_answer_timeout(m, in);
        break;
    case MSG_OUTCOME:
        (void)Once_HoldOutcome(vm->once, now, in->bytes, in->len);
        break;
    case MSG_QUERY:
        handle_query(m, in);
        break;
    case MSG_QUERY_REPLY:
        if (Once_HoldOutcome(vm->once, now, in->bytes, in->len) == ST_OK) {
            m->result.peer_outcomes++;
        }
        break;
    }
}

static void
start_vm(Model *m, int vm)
{
    Vm *entry = &m->vms[vm];
    OnceOptions options = ONCE_OPTIONS_DEFAULT;
    char home[2] = {(char)('a' + vm), '\0'};

    if (m->fault != ONCE_FAULT_SAME_INCARNATION || entry->once == NULL) {
        entry->incarnation++;
    }
    Once_Free(entry->once);
    options.home = home;
    options.incarnation = entry->incarnation;
    options.max_tokens = 64;
    options.max_held = 64;
    entry->once = Once_New(&options);
    if (entry->once == NULL) {
        abort();
    }
}

/* Crashes and restarts an entry VM. Any part of the unsynced bytes at the end
 * of its disk may be lost. */
static void
crash_vm(Model *m, int vm, bool lose_disk)
{
    Vm *entry = &m->vms[vm];
    size_t unsynced = entry->disk.len - entry->synced_bytes;
    OnceRecovery recovery;

    m->result.restarts++;
    entry->disk.len -= draw_below(m, (uint32_t)unsynced + 1);
    if (lose_disk) {
        Buf_Clear(&entry->disk);
    }
    start_vm(m, vm);
    if (entry->has_disk) {
        if (Once_RecoverRecords(entry->once, get_vm_time(m, entry),
                                entry->disk.data, entry->disk.len, &recovery,
                                NULL) != ST_OK) {
            report_violation(m, "recovery failed");
        }
        entry->disk.len = recovery.valid_bytes;
        m->result.recovered_records +=
            (unsigned)(recovery.intents + recovery.outcomes);
    }
    entry->synced_bytes = entry->disk.len;
}

static void
add_request(Model *m)
{
    int index = m->request_count;
    Request *request = &m->requests[index];
    int vm = (int)draw_below(m, VM_COUNT);

    if (index == MAX_REQUESTS) {
        return;
    }
    (void)snprintf(request->id, sizeof(request->id), "request-%d", index);
    if (index > 0 && draw_below(m, 6) == 0) {
        int other = (int)draw_below(m, (uint32_t)index);
        request->first_request = m->requests[other].first_request;
        memcpy(request->token, m->requests[other].token, ONCE_TOKEN_BYTES);
    }
    else {
        char tokens[1][ONCE_TOKEN_BYTES];
        if (Once_IssueTokens(m->vms[vm].once, get_vm_time(m, &m->vms[vm]), 1,
                             tokens) != ST_OK) {
            return;
        }
        request->first_request = index;
        memcpy(request->token, tokens[0], ONCE_TOKEN_BYTES);
    }
    m->request_count++;
    send_message(m, MSG_REQUEST, vm, vm, index);
}

static void
inject_failure(Model *m)
{
    int vm = (int)draw_below(m, VM_COUNT);
    int other = (int)draw_below(m, VM_COUNT);

    switch (draw_below(m, 8)) {
    case 0:
        crash_vm(m, vm, false);
        break;
    case 1:
        crash_vm(m, vm, true);
        break;
    case 2: /* both entry VMs of a data centre, with or without their disks */
        crash_vm(m, vm, draw_below(m, 2) == 0);
        crash_vm(m, vm ^ 1, draw_below(m, 2) == 0);
        break;
    case 3:
    case 4:
        if (vm != other) {
            m->link_down[vm][other] = true;
            m->link_down[other][vm] = draw_below(m, 2) == 0;
        }
        break;
    case 5:
        memset(m->link_down, 0, sizeof(m->link_down));
        break;
    case 6:
        m->now_ms += 1000 * (int64_t)draw_below(m, 240);
        break;
    default:
        m->vms[vm].clock_skew_ms -= draw_below(m, 100);
        break;
    }
}

static bool
is_timeout(MessageKind kind)
{
    return kind == MSG_FORWARD_TIMEOUT || kind == MSG_INTENT_TIMEOUT ||
           kind == MSG_ANSWER_TIMEOUT;
}

static void
run_step(Model *m)
{
    uint32_t action = draw_below(m, 100);
    int index = m->message_count > 0
                    ? (int)draw_below(m, (uint32_t)m->message_count)
                    : -1;
    Message message;

    m->now_ms += draw_below(m, 20);
    if (action < 5) {
        add_request(m);
    }
    else if (action < 15 && m->request_count > 0) {
        int vm = (int)draw_below(m, VM_COUNT);
        send_message(m, MSG_REQUEST, vm, vm,
                     (int)draw_below(m, (uint32_t)m->request_count));
    }
    else if (action < 16) {
        inject_failure(m);
    }
    else if (index >= 0) {
        message = m->messages[index];
        if (is_timeout(message.kind) && draw_below(m, 8) > 0) {
            return; /* timers fire later than most messages arrive */
        }
        if (action >= 34 || message.kind == MSG_ATTEMPT) {
            m->messages[index] = m->messages[--m->message_count];
        }
        if (action >= 20) {
            deliver_message(m, &message);
        }
        else if (message.kind != MSG_ATTEMPT) {
            m->messages[index] = m->messages[--m->message_count];
        }
    }
}

OnceModelResult
OnceModel_Run(uint64_t seed, const uint8_t *bytes, size_t len, int steps,
              OnceFault fault)
{
    Model *m = calloc(1, sizeof(*m));
    OnceModelResult result;
    int i;

    if (m == NULL) {
        abort();
    }
    Rng_Seed(&m->rng, seed);
    m->bytes = bytes;
    m->len = len;
    m->fault = fault;
    for (i = 0; i < VM_COUNT; i++) {
        m->vms[i].has_disk = i % 2 == 0;
        start_vm(m, i);
    }
    for (i = 0; i < steps && m->result.violation == NULL; i++) {
        run_step(m);
    }
    for (i = 0; i < VM_COUNT; i++) {
        Once_Free(m->vms[i].once);
        Buf_Free(&m->vms[i].disk);
    }
    result = m->result;
    free(m);
    return result;
}
