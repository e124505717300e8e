#include "support_traffic_model.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "traffic.h"

#define MODEL_TARGETS 7
#define MODEL_TEAMS 3
#define MODEL_REQUESTS 4096
#define MODEL_ATTEMPTS 16384

typedef struct ModelRequest {
    Handle handle;
    int64_t deadline_ms;
    uint32_t attempts;
    uint32_t maybe_ran;
    uint32_t team;
    uint32_t quotas; /* Model.quotas when the slot was taken */
    bool known;      /* handle returned by Traffic_Submit */
    bool unrepeatable;
    bool intent_asked;
    bool intent_ok;
    bool cancelled;
    bool replied;
} ModelRequest;

typedef struct ModelAttempt {
    Handle handle;
    uint32_t request;
    uint32_t target;
    bool stopped;
    bool answered;
    int64_t held_until_ms;
} ModelAttempt;

typedef struct Model {
    Traffic *t;
    const uint8_t *bytes;
    size_t left;
    int64_t now_ms;
    ModelRequest requests[MODEL_REQUESTS];
    uint32_t request_count;
    ModelAttempt attempts[MODEL_ATTEMPTS];
    uint32_t attempt_count;
    TrafficTarget targets[MODEL_TARGETS];
    bool listed[MODEL_TARGETS];
    uint32_t in_flight[MODEL_TARGETS];
    TrafficTeam teams[MODEL_TEAMS];
    uint32_t team_running[MODEL_TEAMS];
    uint32_t quotas;    /* changes so far */
    Handle answered_ok; /* attempt that was just answered */
    const char *error;
} Model;

static const char *const target_names[MODEL_TARGETS] = {"t0", "t1", "t2", "t3",
                                                        "t4", "t5", "t6"};
static const char *const team_names[MODEL_TEAMS] = {"a", "b", "c"};
static uint64_t seen[TRAFFIC_THROTTLE + 1];
static uint64_t replies[TRAFFIC_CANCELLED + 1];
static Model model; /* too large for a stack */

uint64_t
TrafficModel_Seen(int action_kind)
{
    return seen[action_kind];
}

uint64_t
TrafficModel_Replies(int outcome)
{
    return replies[outcome];
}

static uint32_t
take(Model *m, uint32_t bound)
{
    uint32_t byte = 0;

    if (m->left > 0) {
        byte = *m->bytes++;
        m->left--;
    }
    return byte % bound;
}

static void
require(Model *m, bool ok, const char *rule)
{
    if (!ok && m->error == NULL) {
        m->error = rule;
    }
}

static void
publish(Model *m)
{
    TrafficTarget list[MODEL_TARGETS];
    size_t count = 0;
    int i;

    for (i = 0; i < MODEL_TARGETS; i++) {
        if (m->listed[i]) {
            list[count++] = m->targets[i];
        }
    }
    require(m, Traffic_SetTargets(m->t, m->now_ms, list, count) == ST_OK,
            "a good list of targets is accepted");
}

static void
publish_services(Model *m, bool both)
{
    TrafficService services[] = {{"s0", "p0", 50, 20}, {"s1", "p1", 50, 20}};

    if (!both) {
        services[0].pool = "p1";
    }
    Traffic_SetServices(m->t, m->now_ms, services, both ? 2 : 1);
}

static void
check_quota(Model *m, uint32_t team)
{
    require(m,
            m->teams[team].quota == 0 ||
                m->team_running[team] <= m->teams[team].quota,
            "the team's quota holds");
}

static void
on_dispatch(Model *m, const TrafficAction *action, ModelRequest *request)
{
    uint32_t i = (uint32_t)action->target_cookie;
    const TrafficTarget *target = &m->targets[i];
    ModelAttempt *attempt = &m->attempts[m->attempt_count];

    require(m, m->listed[i], "only listed targets get work");
    require(m,
            target->state == TRAFFIC_TARGET_OPEN ||
                target->state == TRAFFIC_TARGET_SUSPECT,
            "closed and departing targets get no work");
    require(m, action->epoch == target->epoch, "the epoch is the current one");
    require(m, strcmp(action->target, target->name) == 0,
            "name and cookie are those of one target");
    require(m, !request->replied, "nothing runs after the reply");
    if (request->unrepeatable) {
        require(m, request->intent_ok, "the intent is recorded before a send");
        require(m, request->maybe_ran == 0, "unrepeatable work runs once");
    }
    request->attempts++;
    request->maybe_ran++;
    require(m, action->attempt_number == request->attempts,
            "attempts are numbered from 1");
    m->in_flight[i]++;
    require(m,
            m->in_flight[i] <= target->slots &&
                m->in_flight[i] <= target->connections,
            "credits are never exceeded");
    m->team_running[request->team]++;
    /* A slot taken for an intent may be used under the quota of that time. */
    if (!request->unrepeatable || request->quotas == m->quotas) {
        check_quota(m, request->team);
    }
    memset(attempt, 0, sizeof(*attempt));
    attempt->handle = action->attempt;
    attempt->request = (uint32_t)action->request_cookie;
    attempt->target = i;
    m->attempt_count++;
}

static void
on_reply(Model *m, const TrafficAction *action, ModelRequest *request)
{
    require(m, !request->replied, "each request gets one reply");
    request->replied = true;
    replies[action->outcome]++;
    require(m, action->may_have_run == (request->maybe_ran > 0),
            "may_have_run says what happened");
    if (action->outcome == TRAFFIC_NOT_RUN) {
        require(m, request->maybe_ran == 0, "not run is only said if certain");
    }
    if (action->outcome == TRAFFIC_DONE) {
        require(m, Handle_Equal(action->attempt, m->answered_ok),
                "done is said for the answered attempt");
    }
    if (action->outcome == TRAFFIC_CANCELLED) {
        require(m, request->cancelled, "cancelled is said after a cancel");
        require(m, !request->unrepeatable || request->maybe_ran == 0,
                "unrepeatable work that may have run stays unknown");
    }
    if (action->outcome == TRAFFIC_UNABLE) {
        require(m, request->attempts >= 3, "unable needs three targets");
    }
}

static void
on_stop(Model *m, const TrafficAction *action)
{
    uint32_t i;

    for (i = 0; i < m->attempt_count; i++) {
        ModelAttempt *attempt = &m->attempts[i];
        if (Handle_Equal(attempt->handle, action->attempt)) {
            require(m, !attempt->answered && !attempt->stopped,
                    "only running attempts are stopped");
            attempt->stopped = true;
            attempt->held_until_ms = m->now_ms + TRAFFIC_STOPPED_HOLD_MS;
            return;
        }
    }
    require(m, false, "a stopped attempt was dispatched before");
}

static void
drain(Model *m)
{
    TrafficAction action;

    while (m->error == NULL && Traffic_NextAction(m->t, &action)) {
        ModelRequest *request = &m->requests[action.request_cookie];
        seen[action.kind]++;
        if (!request->known) {
            request->handle = action.request;
            request->known = true;
        }
        require(m, Handle_Equal(request->handle, action.request),
                "actions carry the handle of their request");
        switch (action.kind) {
        case TRAFFIC_DISPATCH:
            on_dispatch(m, &action, request);
            break;
        case TRAFFIC_RECORD_INTENT:
            require(m, request->unrepeatable && !request->replied,
                    "intents are for unrepeatable work");
            request->intent_asked = true;
            request->quotas = m->quotas;
            break;
        case TRAFFIC_REPLY:
            on_reply(m, &action, request);
            break;
        case TRAFFIC_STOP:
            on_stop(m, &action);
            break;
        case TRAFFIC_THROTTLE:
            require(m, !request->replied, "only running work is throttled");
            break;
        }
    }
}

static void
submit(Model *m)
{
    ModelRequest *row = &m->requests[m->request_count];
    char caller[2] = {(char)('a' + take(m, 4)), '\0'};
    char kind[2] = {(char)('a' + take(m, 5)), '\0'};
    TrafficRequest request;
    Handle handle;
    Status status;

    if (m->request_count == MODEL_REQUESTS) {
        return;
    }
    memset(row, 0, sizeof(*row));
    row->team = take(m, MODEL_TEAMS);
    row->unrepeatable = take(m, 4) == 0;
    row->deadline_ms = m->now_ms + take(m, 256) * 2;
    request.service = take(m, 2) ? "s1" : "s0";
    request.caller = caller;
    request.team = team_names[row->team];
    request.kind = kind;
    request.class = (TrafficClass)take(m, 4);
    request.deadline_ms = row->deadline_ms;
    request.unrepeatable = row->unrepeatable;
    request.cookie = m->request_count;
    status = Traffic_Submit(m->t, m->now_ms, &request, &handle);
    if (status == ST_OK) {
        m->request_count++;
        row->known = true;
        row->handle = handle;
    }
    else {
        require(m, status == ST_NOT_FOUND || status == ST_FULL,
                "a refusal without a reply has one of two causes");
    }
}

static void
answer(Model *m, uint32_t i, TrafficResultKind kind)
{
    ModelAttempt *attempt = &m->attempts[i];
    ModelRequest *request = &m->requests[attempt->request];
    TrafficResult result = {kind, 1000};
    bool held = !attempt->answered;
    Status expected = attempt->answered || attempt->stopped ? ST_STALE : ST_OK;

    if (expected == ST_OK && kind == TRAFFIC_REFUSED) {
        request->maybe_ran--;
    }
    if (held) {
        attempt->answered = true;
        m->in_flight[attempt->target]--;
        m->team_running[request->team]--;
    }
    m->answered_ok = kind == TRAFFIC_OK && expected == ST_OK ? attempt->handle
                                                             : HANDLE_NONE;
    require(m,
            Traffic_Answer(m->t, m->now_ms, attempt->handle, result) ==
                expected,
            "only the answer to a live attempt is used");
    drain(m);
    m->answered_ok = HANDLE_NONE;
}

static void
answer_some(Model *m)
{
    static const TrafficResultKind kinds[] = {
        TRAFFIC_OK,   TRAFFIC_OK,        TRAFFIC_FAILED,  TRAFFIC_REFUSED,
        TRAFFIC_LOST, TRAFFIC_TIMED_OUT, TRAFFIC_REFUSED, TRAFFIC_FAILED,
    };
    uint32_t back = take(m, 16);
    TrafficResultKind kind = kinds[take(m, 8)];
    uint32_t i = m->attempt_count;

    /* Mostly one that runs, now and then one that was answered before. */
    while (i > 0) {
        i--;
        if (back == 15 || !m->attempts[i].answered) {
            if (back == 0 || back == 15) {
                answer(m, i, kind);
                return;
            }
            back--;
        }
    }
}

static void
intent(Model *m)
{
    uint32_t pick = take(m, 8);
    bool ok = take(m, 8) != 0;
    uint32_t i;

    for (i = 0; i < m->request_count; i++) {
        ModelRequest *request = &m->requests[i];
        if (request->intent_asked && !request->intent_ok && pick-- == 0) {
            Status expected = request->replied ? ST_STALE : ST_OK;
            request->intent_asked = false;
            request->intent_ok = ok && expected == ST_OK;
            require(m,
                    Traffic_IntentRecorded(m->t, m->now_ms, request->handle,
                                           ok) == expected,
                    "an intent counts while its request lives");
            return;
        }
    }
}

static void
cancel(Model *m)
{
    uint32_t back = take(m, 32);
    ModelRequest *request;

    if (back >= m->request_count) {
        return;
    }
    request = &m->requests[m->request_count - 1 - back];
    if (!request->replied) {
        request->cancelled = true;
    }
    require(m,
            Traffic_Cancel(m->t, m->now_ms, request->handle) ==
                (request->replied ? ST_STALE : ST_OK),
            "a live request can be cancelled, once");
}

static void
release_held(Model *m)
{
    uint32_t i;

    for (i = 0; i < m->attempt_count; i++) {
        ModelAttempt *attempt = &m->attempts[i];
        if (attempt->stopped && !attempt->answered &&
            attempt->held_until_ms <= m->now_ms) {
            attempt->answered = true;
            m->in_flight[attempt->target]--;
            m->team_running[m->requests[attempt->request].team]--;
        }
    }
}

static void
tick(Model *m)
{
    uint32_t i;

    release_held(m);
    Traffic_Tick(m->t, m->now_ms);
    drain(m);
    for (i = 0; i < m->request_count; i++) {
        require(m,
                m->requests[i].replied ||
                    m->requests[i].deadline_ms > m->now_ms,
                "each request has its reply by its deadline");
    }
}

static void
change_target(Model *m)
{
    uint32_t i = take(m, MODEL_TARGETS);
    uint32_t what = take(m, 8);
    TrafficTarget *target = &m->targets[i];

    if (what < 4) {
        target->state = (TrafficTargetState)take(m, 5);
    }
    else if (what == 4) {
        m->listed[i] = !m->listed[i];
        if (!m->listed[i] && take(m, 2)) {
            require(m, Traffic_DropTarget(m->t, target->name) == ST_OK,
                    "a listed target can be dropped");
            return;
        }
    }
    else if (what == 5) {
        target->pool = take(m, 2) ? "p1" : "p0";
        target->epoch++;
    }
    else if (what == 6) {
        target->slots = take(m, 5);
        target->connections = take(m, 6);
    }
    else {
        target->data_centre = take(m, 2) ? "dc1" : "dc2";
    }
    if (m->listed[i] && take(m, 2)) {
        require(m, Traffic_PutTarget(m->t, m->now_ms, target) == ST_OK,
                "a good target is accepted");
        return;
    }
    publish(m);
}

static void
change_teams(Model *m)
{
    uint32_t i = take(m, MODEL_TEAMS);

    m->teams[i].quota = take(m, 5);
    m->quotas++;
    Traffic_SetTeams(m->t, m->now_ms, m->teams, MODEL_TEAMS);
}

static void
step(Model *m)
{
    uint32_t op = take(m, 16);

    if (op < 5) {
        submit(m);
    }
    else if (op < 9) {
        answer_some(m);
    }
    else if (op < 11) {
        intent(m);
    }
    else if (op == 11) {
        cancel(m);
    }
    else if (op < 14) {
        m->now_ms += take(m, 80);
        tick(m);
    }
    else if (op == 14) {
        change_target(m);
    }
    else if (take(m, 2)) {
        change_teams(m);
    }
    else {
        publish_services(m, take(m, 4) != 0);
    }
    drain(m);
}

static void
setup(Model *m)
{
    TrafficOptions options = TRAFFIC_OPTIONS_DEFAULT;
    uint32_t i;

    options.data_centre = "dc1";
    options.max_requests = 64;
    options.seed = take(m, 256);
    options.retry_percent = take(m, 2) ? 10 : 100;
    m->t = Traffic_New(&options);
    for (i = 0; i < MODEL_TARGETS; i++) {
        TrafficTarget *target = &m->targets[i];
        target->name = target_names[i];
        target->pool = i < 5 ? "p0" : "p1";
        target->data_centre = i % 3 == 2 ? "dc2" : "dc1";
        target->rack = "r";
        target->epoch = 1;
        target->slots = 2;
        target->connections = 4;
        target->cookie = i;
        m->listed[i] = true;
    }
    for (i = 0; i < MODEL_TEAMS; i++) {
        m->teams[i].name = team_names[i];
    }
    publish_services(m, true);
    publish(m);
}

/* Answers all that runs and lets every deadline pass: no reply may be lost
 * and no slot may stay taken. */
static void
finish(Model *m)
{
    TrafficStats stats;
    uint32_t i;

    for (i = 0; i < m->attempt_count && m->error == NULL; i++) {
        if (!m->attempts[i].answered) {
            answer(m, i, TRAFFIC_OK);
        }
    }
    m->now_ms += 600;
    tick(m);
    m->now_ms += TRAFFIC_STOPPED_HOLD_MS;
    tick(m);
    for (i = 0; i < MODEL_TARGETS; i++) {
        m->listed[i] = true;
        m->targets[i].state = TRAFFIC_TARGET_OPEN;
        m->targets[i].slots = 2;
        m->targets[i].connections = 2;
    }
    publish(m);
    Traffic_GetStats(m->t, &stats);
    require(m, stats.slots == 2 * MODEL_TARGETS, "all slots are known");
    require(m, stats.slots_held == 0, "all slots are free again");
    require(m, stats.running == 0, "no slot stays taken");
    require(m, stats.waiting == 0, "no request stays behind");
}

const char *
TrafficModel_Run(const uint8_t *bytes, size_t len)
{
    Model *m = &model;

    memset(m, 0, sizeof(*m));
    m->bytes = bytes;
    m->left = len;
    setup(m);
    while (m->left > 0 && m->error == NULL &&
           m->attempt_count < MODEL_ATTEMPTS - 256) {
        step(m);
    }
    if (m->error == NULL) {
        finish(m);
    }
    Traffic_Free(m->t);
    return m->error;
}
