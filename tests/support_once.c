#include "support_once.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "once.h"
#include "rng.h"

#define VMS 4
#define REQUESTS 16
#define MESSAGES 96
#define RECORD_BYTES 320
#define ON_DISK (-1)

typedef enum Kind {
    MSG_REQUEST,         /* to an entry VM, from a caller or a forwarder */
    MSG_FORWARD_TIMEOUT, /* local */
    MSG_SYNCED,          /* local: the disk has synced up to mark */
    MSG_INTENT,
    MSG_INTENT_ACK,
    MSG_INTENT_TIMEOUT, /* local */
    MSG_ATTEMPT,        /* to a target; never duplicated */
    MSG_ANSWER,
    MSG_ANSWER_TIMEOUT, /* local */
    MSG_OUTCOME,
    MSG_QUERY,
    MSG_QUERY_REPLY
} Kind;

typedef struct Message {
    Kind kind;
    int from;
    int to;
    int request;
    int echo; /* the request whose answer this is */
    uint64_t incarnation;
    uint32_t attempt;
    bool ok;
    size_t mark;
    size_t len;
    char bytes[RECORD_BYTES];
} Message;

typedef struct Vm {
    Once *once;
    uint64_t incarnation;
    bool has_disk;
    Buf disk;
    size_t synced;
    int64_t clock_skew;
    int place[REQUESTS]; /* of the intent: ON_DISK or a peer */
} Vm;

typedef struct Request {
    char token[ONCE_TOKEN_BYTES];
    char id[16];
    int first; /* the request that the token was issued for */
    unsigned executions;
    bool told_not_run;
    bool answered;
} Request;

typedef struct Model {
    Rng rng;
    const uint8_t *bytes;
    size_t len;
    OnceFault fault;
    int64_t now;
    Vm vms[VMS];
    bool cut[VMS][VMS];
    Request requests[REQUESTS];
    int request_count;
    Message messages[MESSAGES];
    int message_count;
    OnceModelResult result;
} Model;

static uint32_t
choose(Model *m, uint32_t bound)
{
    if (m->len > 0) {
        m->len--;
        return *m->bytes++ % bound;
    }
    return Rng_Below(&m->rng, bound);
}

static int64_t
time_at(const Model *m, const Vm *vm)
{
    return m->now + vm->clock_skew;
}

static Message *
send(Model *m, Kind kind, int from, int to, int request)
{
    Message *message;

    /* A full network loses a random message. */
    if (m->message_count == MESSAGES) {
        int at = (int)choose(m, MESSAGES);
        m->messages[at] = m->messages[--m->message_count];
    }
    message = &m->messages[m->message_count++];
    memset(message, 0, sizeof(*message));
    message->kind = kind;
    message->from = from;
    message->to = to;
    message->request = request;
    message->echo = request;
    message->incarnation = m->vms[to].incarnation;
    return message;
}

static void
violate(Model *m, const char *what)
{
    if (m->result.violation == NULL) {
        m->result.violation = what;
    }
}

static int
answer_text(const Request *request, char *out, size_t size)
{
    return snprintf(out, size, "%s of %s", request->id, request->token);
}

static void
tell(Model *m, int request, OnceOutcome outcome, const char *answer,
     size_t len)
{
    Request *told = &m->requests[request];
    char expected[RECORD_BYTES];
    int size = answer_text(told, expected, sizeof(expected));

    if (outcome == ONCE_OUTCOME_DONE) {
        m->result.told_done++;
        if (len != (size_t)size || memcmp(answer, expected, len) != 0) {
            violate(m, "answer of another request");
        }
    }
    else if (outcome == ONCE_OUTCOME_NOT_RUN) {
        m->result.told_not_run++;
        told->told_not_run = true;
        if (told->executions > 0) {
            violate(m, "\"not run\" for work that ran");
        }
    }
    else {
        m->result.told_unknown++;
    }
}

static void
tell_view(Model *m, int request, const OnceView *view)
{
    tell(m, request, view->outcome, view->answer, view->len);
}

static void
execute(Model *m, int request)
{
    Request *run = &m->requests[request];
    unsigned by_token = 0;
    int i;

    run->executions++;
    m->result.executions++;
    for (i = 0; i < m->request_count; i++) {
        if (m->requests[i].first == run->first) {
            by_token += m->requests[i].executions;
        }
    }
    if (by_token > 1) {
        violate(m, "double execution");
    }
    if (run->told_not_run) {
        violate(m, "execution after \"not run\"");
    }
}

/* Sends the token's record to where the intent is. */
static void
record(Model *m, int vm, int request, Kind kind)
{
    Vm *home = &m->vms[vm];
    Buf buf = BUF_INIT;
    Message *message;

    if (Once_EncodeRecord(home->once, m->requests[request].token, &buf) ==
        ST_OK) {
        if (home->place[request] == ON_DISK) {
            Buf_Append(&home->disk, buf.data, buf.len);
            message = send(m, MSG_SYNCED, vm, vm, request);
            message->mark = home->disk.len;
            message->ok = kind == MSG_INTENT;
        }
        else {
            message = send(m, kind, vm, home->place[request], request);
            message->len = buf.len;
            memcpy(message->bytes, buf.data, buf.len);
        }
    }
    Buf_Free(&buf);
}

static void
dispatch(Model *m, int vm, int request)
{
    uint32_t attempt = 0;

    if (Once_Dispatch(m->vms[vm].once, time_at(m, &m->vms[vm]),
                      m->requests[request].token, &attempt) == ST_OK) {
        send(m, MSG_ATTEMPT, vm, vm, request)->attempt = attempt;
        send(m, MSG_ANSWER_TIMEOUT, vm, vm, request)->attempt = attempt;
    }
}

static void
finish(Model *m, int vm, int request, uint32_t attempt, OnceOutcome outcome,
       const char *answer, size_t len)
{
    if (Once_Finish(m->vms[vm].once, time_at(m, &m->vms[vm]),
                    m->requests[request].token, attempt, outcome, 200, answer,
                    len) == ST_OK) {
        tell(m, request, outcome, answer, len);
        record(m, vm, request, MSG_OUTCOME);
    }
}

static void
intent_recorded(Model *m, int vm, int request, bool ok)
{
    if (Once_IntentRecorded(m->vms[vm].once, time_at(m, &m->vms[vm]),
                            m->requests[request].token, ok) != ST_OK) {
        return;
    }
    if (ok) {
        dispatch(m, vm, request);
    }
    else {
        finish(m, vm, request, 0, ONCE_OUTCOME_NOT_RUN, NULL, 0);
    }
}

static void
start(Model *m, int vm, int request)
{
    Vm *home = &m->vms[vm];
    int peer = (vm + 1 + (int)choose(m, VMS - 1)) % VMS;

    if (choose(m, 16) == 0) {
        /* The queue is full: refused before any dispatch. */
        if (m->fault == ONCE_FAULT_NOT_FINAL) {
            tell(m, request, ONCE_OUTCOME_NOT_RUN, NULL, 0);
        }
        else {
            finish(m, vm, request, 0, ONCE_OUTCOME_NOT_RUN, NULL, 0);
            return;
        }
    }
    home->place[request] = home->has_disk && choose(m, 4) > 0 ? ON_DISK : peer;
    if (m->fault == ONCE_FAULT_NO_RECORD) {
        intent_recorded(m, vm, request, true);
        return;
    }
    record(m, vm, request, MSG_INTENT);
    send(m, MSG_INTENT_TIMEOUT, vm, vm, request);
}

/* A restarted home asks the peers; the caller has to resend meanwhile. */
static void
old_token(Model *m, int vm, int request)
{
    int peer;

    if (m->fault == ONCE_FAULT_NO_RECORD ||
        m->fault == ONCE_FAULT_RUN_UNRECORDED) {
        send(m, MSG_ATTEMPT, vm, vm, request)->attempt = 1;
    }
    for (peer = 0; peer < VMS; peer++) {
        if (peer != vm) {
            send(m, MSG_QUERY, vm, peer, request);
        }
    }
}

static void
forward(Model *m, int vm, int request, const char *home)
{
    Vm *entry = &m->vms[vm];
    int to = home[0] - 'a';
    OnceView view;

    if (!m->cut[vm][to]) {
        send(m, MSG_REQUEST, vm, to, request);
        send(m, MSG_FORWARD_TIMEOUT, vm, vm, request);
    }
    else if (m->fault == ONCE_FAULT_UNREACHABLE) {
        tell(m, request, ONCE_OUTCOME_NOT_RUN, NULL, 0);
    }
    else if (Once_Held(entry->once, time_at(m, entry),
                       m->requests[request].token, "caller",
                       m->requests[request].id, &view) == ST_OK) {
        tell_view(m, request, &view);
    }
    else {
        tell(m, request, ONCE_OUTCOME_UNKNOWN, NULL, 0);
    }
}

static void
on_request(Model *m, int vm, int request)
{
    Vm *entry = &m->vms[vm];
    OnceView view;
    OnceVerdict verdict =
        Once_Begin(entry->once, time_at(m, entry), m->requests[request].token,
                   "caller", m->requests[request].id, &view);

    switch (verdict) {
    case ONCE_FRESH:
        start(m, vm, request);
        break;
    case ONCE_FORWARD:
        forward(m, vm, request, view.home);
        break;
    case ONCE_DONE:
        tell_view(m, request, &view);
        break;
    case ONCE_BAD:
        tell(m, request, ONCE_OUTCOME_NOT_RUN, NULL, 0);
        break;
    case ONCE_RUNNING:
    case ONCE_EXPIRED:
    case ONCE_UNKNOWN:
        tell(m, request, ONCE_OUTCOME_UNKNOWN, NULL, 0);
        if (view.ask_peers) {
            old_token(m, vm, request);
        }
        break;
    }
}

static void
on_attempt(Model *m, const Message *in)
{
    Message *answer = send(m, MSG_ANSWER, in->from, in->from, in->request);

    answer->attempt = in->attempt;
    answer->ok = choose(m, 3) > 0;
    answer->len = (size_t)answer_text(&m->requests[in->request], answer->bytes,
                                      sizeof(answer->bytes));
    if (answer->ok) {
        execute(m, in->request);
    }
    /* Now and then an answer comes back on another request's connection. */
    if (choose(m, 5) == 0) {
        answer->request = (int)choose(m, (uint32_t)m->request_count);
    }
}

static void
on_answer(Model *m, const Message *in)
{
    Vm *home = &m->vms[in->to];
    const char *token = m->requests[in->request].token;
    uint32_t attempt;

    if (in->echo != in->request && m->fault != ONCE_FAULT_NO_ECHO) {
        return;
    }
    if (in->ok) {
        finish(m, in->to, in->request, in->attempt, ONCE_OUTCOME_DONE,
               in->bytes, in->len);
        return;
    }
    for (attempt = 1; m->fault == ONCE_FAULT_NO_ATTEMPT && attempt < 4;
         attempt++) {
        if (Once_NotRun(home->once, time_at(m, home), token, attempt) ==
            ST_OK) {
            dispatch(m, in->to, in->request);
            return;
        }
    }
    if (Once_NotRun(home->once, time_at(m, home), token, in->attempt) !=
        ST_OK) {
        return;
    }
    if (choose(m, 3) == 0) {
        finish(m, in->to, in->request, 0, ONCE_OUTCOME_NOT_RUN, NULL, 0);
    }
    else {
        dispatch(m, in->to, in->request);
    }
}

static void
on_answer_timeout(Model *m, const Message *in)
{
    finish(m, in->to, in->request, in->attempt, ONCE_OUTCOME_UNKNOWN, NULL, 0);
    if (m->fault == ONCE_FAULT_REDISPATCH) {
        send(m, MSG_ATTEMPT, in->to, in->to, in->request)->attempt =
            in->attempt;
    }
    if (m->fault == ONCE_FAULT_NOT_RUN_ON_TIMEOUT) {
        tell(m, in->request, ONCE_OUTCOME_NOT_RUN, NULL, 0);
    }
}

static void
on_query(Model *m, const Message *in)
{
    Buf buf = BUF_INIT;
    Message *reply;

    if (Once_EncodeRecord(m->vms[in->to].once, m->requests[in->request].token,
                          &buf) == ST_OK) {
        reply = send(m, MSG_QUERY_REPLY, in->to, in->from, in->request);
        reply->len = buf.len;
        memcpy(reply->bytes, buf.data, buf.len);
    }
    Buf_Free(&buf);
}

static void
deliver(Model *m, const Message *in)
{
    Vm *vm = &m->vms[in->to];
    int64_t now = time_at(m, vm);

    /* A restart ends timers and connections, but an answer may still come. */
    if (m->cut[in->from][in->to] ||
        (in->kind != MSG_ANSWER && in->incarnation != vm->incarnation)) {
        return;
    }
    switch (in->kind) {
    case MSG_REQUEST:
        on_request(m, in->to, in->request);
        break;
    case MSG_FORWARD_TIMEOUT:
        tell(m, in->request, ONCE_OUTCOME_UNKNOWN, NULL, 0);
        break;
    case MSG_SYNCED:
        if (in->mark > vm->synced && in->mark <= vm->disk.len) {
            vm->synced = in->mark;
        }
        if (in->ok) {
            intent_recorded(m, in->to, in->request, true);
        }
        break;
    case MSG_INTENT:
        send(m, MSG_INTENT_ACK, in->to, in->from, in->request)->ok =
            Once_HoldIntent(vm->once, now, in->bytes, in->len) == ST_OK;
        break;
    case MSG_INTENT_ACK:
        intent_recorded(m, in->to, in->request, in->ok);
        break;
    case MSG_INTENT_TIMEOUT:
        finish(m, in->to, in->request, 0, ONCE_OUTCOME_NOT_RUN, NULL, 0);
        break;
    case MSG_ATTEMPT:
        on_attempt(m, in);
        break;
    case MSG_ANSWER:
        on_answer(m, in);
        break;
    case MSG_ANSWER_TIMEOUT:
        on_answer_timeout(m, in);
        break;
    case MSG_OUTCOME:
        (void)Once_HoldOutcome(vm->once, now, in->bytes, in->len);
        break;
    case MSG_QUERY:
        on_query(m, in);
        break;
    case MSG_QUERY_REPLY:
        if (Once_HoldOutcome(vm->once, now, in->bytes, in->len) == ST_OK) {
            m->result.learned++;
        }
        break;
    }
}

static void
boot(Model *m, int vm)
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

/* Restarts an entry VM. What was not synced may be there, in part or not. */
static void
crash(Model *m, int vm, bool lose_disk)
{
    Vm *entry = &m->vms[vm];
    size_t unsynced = entry->disk.len - entry->synced;
    OnceRecovery recovery;

    m->result.restarts++;
    entry->disk.len -= choose(m, (uint32_t)unsynced + 1);
    if (lose_disk) {
        Buf_Clear(&entry->disk);
    }
    boot(m, vm);
    if (entry->has_disk) {
        if (Once_Recover(entry->once, time_at(m, entry), entry->disk.data,
                         entry->disk.len, &recovery, NULL) != ST_OK) {
            violate(m, "recovery failed");
        }
        entry->disk.len = recovery.valid;
        m->result.recovered +=
            (unsigned)(recovery.intents + recovery.outcomes);
    }
    entry->synced = entry->disk.len;
}

static void
add_request(Model *m)
{
    int index = m->request_count;
    Request *request = &m->requests[index];
    int vm = (int)choose(m, VMS);

    if (index == REQUESTS) {
        return;
    }
    (void)snprintf(request->id, sizeof(request->id), "request-%d", index);
    if (index > 0 && choose(m, 6) == 0) {
        int other = (int)choose(m, (uint32_t)index);
        request->first = m->requests[other].first;
        memcpy(request->token, m->requests[other].token, ONCE_TOKEN_BYTES);
    }
    else {
        char tokens[1][ONCE_TOKEN_BYTES];
        if (Once_Issue(m->vms[vm].once, time_at(m, &m->vms[vm]), 1, tokens) !=
            ST_OK) {
            return;
        }
        request->first = index;
        memcpy(request->token, tokens[0], ONCE_TOKEN_BYTES);
    }
    m->request_count++;
    send(m, MSG_REQUEST, vm, vm, index);
}

static void
disturb(Model *m)
{
    int vm = (int)choose(m, VMS);
    int other = (int)choose(m, VMS);

    switch (choose(m, 8)) {
    case 0:
        crash(m, vm, false);
        break;
    case 1:
        crash(m, vm, true);
        break;
    case 2: /* both of a data centre, with or without their disks */
        crash(m, vm, choose(m, 2) == 0);
        crash(m, vm ^ 1, choose(m, 2) == 0);
        break;
    case 3:
    case 4:
        if (vm != other) {
            m->cut[vm][other] = true;
            m->cut[other][vm] = choose(m, 2) == 0;
        }
        break;
    case 5:
        memset(m->cut, 0, sizeof(m->cut));
        break;
    case 6:
        m->now += 1000 * (int64_t)choose(m, 240);
        break;
    default:
        m->vms[vm].clock_skew -= choose(m, 100);
        break;
    }
}

static bool
is_timeout(Kind kind)
{
    return kind == MSG_FORWARD_TIMEOUT || kind == MSG_INTENT_TIMEOUT ||
           kind == MSG_ANSWER_TIMEOUT;
}

static void
step(Model *m)
{
    uint32_t action = choose(m, 100);
    int at =
        m->message_count > 0 ? (int)choose(m, (uint32_t)m->message_count) : -1;
    Message message;

    m->now += choose(m, 20);
    if (action < 5) {
        add_request(m);
    }
    else if (action < 15 && m->request_count > 0) {
        int vm = (int)choose(m, VMS);
        send(m, MSG_REQUEST, vm, vm,
             (int)choose(m, (uint32_t)m->request_count));
    }
    else if (action < 16) {
        disturb(m);
    }
    else if (at >= 0) {
        message = m->messages[at];
        if (is_timeout(message.kind) && choose(m, 8) > 0) {
            return; /* timers are slower than most messages */
        }
        if (action >= 34 || message.kind == MSG_ATTEMPT) {
            m->messages[at] = m->messages[--m->message_count];
        }
        if (action >= 20) {
            deliver(m, &message);
        }
        else if (message.kind != MSG_ATTEMPT) {
            m->messages[at] = m->messages[--m->message_count];
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
    for (i = 0; i < VMS; i++) {
        m->vms[i].has_disk = i % 2 == 0;
        boot(m, i);
    }
    for (i = 0; i < steps && m->result.violation == NULL; i++) {
        step(m);
    }
    for (i = 0; i < VMS; i++) {
        Once_Free(m->vms[i].once);
        Buf_Free(&m->vms[i].disk);
    }
    result = m->result;
    free(m);
    return result;
}
