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
    uint32_t possible_runs;
    uint32_t team;
    uint32_t quota_changes; /* Model.quota_changes when the slot was taken */
    bool handle_set;
    bool unrepeatable;
    bool intent_requested;
    bool intent_recorded;
    bool cancel_requested;
    bool replied;
} ModelRequest;

typedef struct ModelAttempt {
    Handle handle;
    uint32_t request;
    uint32_t target;
    bool stopped;
    bool slot_released; /* by an answer or at slot_release_ms */
    int64_t slot_release_ms;
} ModelAttempt;

typedef struct Model {
    Traffic *t;
    const uint8_t *bytes;
    size_t bytes_left;
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
    uint32_t quota_changes; /* number of quota changes so far */
    Handle answered_ok;     /* attempt whose TRAFFIC_OK is being reported */
    const char *error;
} Model;

static const char *const target_names[MODEL_TARGETS] = {"t0", "t1", "t2", "t3",
                                                        "t4", "t5", "t6"};
static const char *const team_names[MODEL_TEAMS] = {"a", "b", "c"};
static uint64_t action_counts[TRAFFIC_THROTTLE + 1];
static uint64_t reply_counts[TRAFFIC_CANCELLED + 1];
static Model model; /* too large for the stack */

uint64_t
TrafficModel_CountActions(int action_kind)
{
    return action_counts[action_kind];
}

uint64_t
TrafficModel_CountReplies(int outcome)
{
    return reply_counts[outcome];
}

/* Takes a byte of the input, or 0 after its end, and returns it modulo bound.
 */
static uint32_t
choose(Model *m, uint32_t bound)
{
    uint32_t byte = 0;

    if (m->bytes_left > 0) {
        byte = *m->bytes++;
        m->bytes_left--;
    }
    return byte % bound;
}

static void
check_rule(Model *m, bool ok, const char *rule)
{
    if (!ok && m->error == NULL) {
        m->error = rule;
    }
}

static void
set_targets(Model *m)
{
    TrafficTarget list[MODEL_TARGETS];
    size_t count = 0;
    int i;

    for (i = 0; i < MODEL_TARGETS; i++) {
        if (m->listed[i]) {
            list[count++] = m->targets[i];
        }
    }
    check_rule(m, Traffic_SetTargets(m->t, m->now_ms, list, count) == ST_OK,
               "a valid list of targets is accepted");
}

static void
set_services(Model *m, bool both)
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
    check_rule(m,
               m->teams[team].quota == 0 ||
                   m->team_running[team] <= m->teams[team].quota,
               "a team never exceeds its quota");
}

static void
check_dispatch(Model *m, const TrafficAction *action, ModelRequest *request)
{
    uint32_t i = (uint32_t)action->target_cookie;
    const TrafficTarget *target = &m->targets[i];
    ModelAttempt *attempt = &m->attempts[m->attempt_count];

    check_rule(m, m->listed[i], "only listed targets get work");
    check_rule(m,
               target->state == TRAFFIC_TARGET_OPEN ||
                   target->state == TRAFFIC_TARGET_SUSPECT,
               "closed, draining and leaving targets get no work");
    check_rule(m, action->epoch == target->epoch,
               "the epoch is the target's current one");
    check_rule(m, strcmp(action->target, target->name) == 0,
               "name and cookie belong to the same target");
    check_rule(m, !request->replied, "no attempt runs after the reply");
    if (request->unrepeatable) {
        check_rule(m, request->intent_recorded,
                   "the intent is recorded before the dispatch");
        check_rule(m, request->possible_runs == 0,
                   "unrepeatable work runs at most once");
    }
    request->attempts++;
    request->possible_runs++;
    check_rule(m, action->attempt_number == request->attempts,
               "attempts are numbered from 1");
    m->in_flight[i]++;
    check_rule(m,
               m->in_flight[i] <= target->slots &&
                   m->in_flight[i] <= target->connections,
               "credits are never exceeded");
    m->team_running[request->team]++;
    /* A slot held while the intent was recorded may be used even if the quota
     * has become lower. */
    if (!request->unrepeatable || request->quota_changes == m->quota_changes) {
        check_quota(m, request->team);
    }
    memset(attempt, 0, sizeof(*attempt));
    attempt->handle = action->attempt;
    attempt->request = (uint32_t)action->request_cookie;
    attempt->target = i;
    m->attempt_count++;
}

static void
check_reply(Model *m, const TrafficAction *action, ModelRequest *request)
{
    check_rule(m, !request->replied, "each request gets at most one reply");
    request->replied = true;
    reply_counts[action->outcome]++;
    check_rule(m, action->may_have_run == (request->possible_runs > 0),
               "may_have_run tells whether an attempt may have run");
    if (action->outcome == TRAFFIC_NOT_RUN) {
        check_rule(m, request->possible_runs == 0,
                   "the outcome is not-run only if nothing may have run");
    }
    if (action->outcome == TRAFFIC_DONE) {
        check_rule(m, Handle_Equal(action->attempt, m->answered_ok),
                   "the outcome done names the answered attempt");
    }
    if (action->outcome == TRAFFIC_CANCELLED) {
        check_rule(m, request->cancel_requested,
                   "the outcome is cancelled only after a cancel");
        check_rule(m, !request->unrepeatable || request->possible_runs == 0,
                   "unrepeatable work that may have run stays unknown");
    }
    if (action->outcome == TRAFFIC_UNABLE) {
        check_rule(m, request->attempts >= 3,
                   "the outcome is unable only after three attempts");
    }
}

static void
check_stop(Model *m, const TrafficAction *action)
{
    uint32_t i;

    for (i = 0; i < m->attempt_count; i++) {
        ModelAttempt *attempt = &m->attempts[i];
        if (Handle_Equal(attempt->handle, action->attempt)) {
            check_rule(m, !attempt->slot_released && !attempt->stopped,
                       "only running attempts are stopped");
            attempt->stopped = true;
            attempt->slot_release_ms =
                m->now_ms + TRAFFIC_STOPPED_SLOT_TIMEOUT_MS;
            return;
        }
    }
    check_rule(m, false, "a stopped attempt was dispatched before");
}

static void
take_actions(Model *m)
{
    TrafficAction action;

    while (m->error == NULL && Traffic_TakeAction(m->t, &action)) {
        ModelRequest *request = &m->requests[action.request_cookie];
        action_counts[action.kind]++;
        if (!request->handle_set) {
            request->handle = action.request;
            request->handle_set = true;
        }
        check_rule(m, Handle_Equal(request->handle, action.request),
                   "actions carry the handle of their request");
        switch (action.kind) {
        case TRAFFIC_DISPATCH:
            check_dispatch(m, &action, request);
            break;
        case TRAFFIC_RECORD_INTENT:
            check_rule(m, request->unrepeatable && !request->replied,
                       "intents are recorded only for unrepeatable work");
            request->intent_requested = true;
            request->quota_changes = m->quota_changes;
            break;
        case TRAFFIC_REPLY:
            check_reply(m, &action, request);
            break;
        case TRAFFIC_STOP:
            check_stop(m, &action);
            break;
        case TRAFFIC_THROTTLE:
            check_rule(m, !request->replied, "only running work is throttled");
            break;
        }
    }
}

static void
submit_request(Model *m)
{
    ModelRequest *model_request = &m->requests[m->request_count];
    char caller[2] = {(char)('a' + choose(m, 4)), '\0'};
    char kind[2] = {(char)('a' + choose(m, 5)), '\0'};
    TrafficRequest request;
    Handle handle;
    Status status;

    if (m->request_count == MODEL_REQUESTS) {
        return;
    }
    memset(model_request, 0, sizeof(*model_request));
    model_request->team = choose(m, MODEL_TEAMS);
    model_request->unrepeatable = choose(m, 4) == 0;
    model_request->deadline_ms = m->now_ms + choose(m, 256) * 2;
    request.service = choose(m, 2) ? "s1" : "s0";
    request.caller = caller;
    request.team = team_names[model_request->team];
    request.kind = kind;
    request.class = (TrafficClass)choose(m, 4);
    request.deadline_ms = model_request->deadline_ms;
    request.unrepeatable = model_request->unrepeatable;
    request.cookie = m->request_count;
    status = Traffic_SubmitRequest(m->t, m->now_ms, &request, &handle);
    if (status == ST_OK) {
        m->request_count++;
        model_request->handle_set = true;
        model_request->handle = handle;
    }
    else {
        check_rule(m, status == ST_NOT_FOUND || status == ST_FULL,
                   "a submission fails only with ST_NOT_FOUND or ST_FULL");
    }
}

static void
report_result(Model *m, uint32_t i, TrafficResultKind kind)
{
    ModelAttempt *attempt = &m->attempts[i];
    ModelRequest *request = &m->requests[attempt->request];
    TrafficResult result = {kind, 1000};
    bool slot_held = !attempt->slot_released;
    Status expected =
        attempt->slot_released || attempt->stopped ? ST_STALE : ST_OK;

    if (expected == ST_OK && kind == TRAFFIC_REFUSED) {
        request->possible_runs--;
    }
    if (slot_held) {
        attempt->slot_released = true;
        m->in_flight[attempt->target]--;
        m->team_running[request->team]--;
    }
    m->answered_ok = kind == TRAFFIC_OK && expected == ST_OK ? attempt->handle
                                                             : HANDLE_NONE;
    check_rule(m,
               Traffic_ReportResult(m->t, m->now_ms, attempt->handle,
                                    result) == expected,
               "only the answer to a running attempt is used");
    take_actions(m);
    m->answered_ok = HANDLE_NONE;
}

static void
report_some_result(Model *m)
{
    static const TrafficResultKind kinds[] = {
        TRAFFIC_OK,   TRAFFIC_OK,        TRAFFIC_FAILED,  TRAFFIC_REFUSED,
        TRAFFIC_LOST, TRAFFIC_TIMED_OUT, TRAFFIC_REFUSED, TRAFFIC_FAILED,
    };
    uint32_t back = choose(m, 16);
    TrafficResultKind kind = kinds[choose(m, 8)];
    uint32_t i = m->attempt_count;

    /* If back is 15, chooses the newest attempt, even one that was answered.
     * Otherwise skips back attempts that hold a slot, from the newest on. */
    while (i > 0) {
        i--;
        if (back == 15 || !m->attempts[i].slot_released) {
            if (back == 0 || back == 15) {
                report_result(m, i, kind);
                return;
            }
            back--;
        }
    }
}

static void
report_intent(Model *m)
{
    uint32_t pick = choose(m, 8);
    bool ok = choose(m, 8) != 0;
    uint32_t i;

    for (i = 0; i < m->request_count; i++) {
        ModelRequest *request = &m->requests[i];
        if (request->intent_requested && !request->intent_recorded &&
            pick-- == 0) {
            Status expected = request->replied ? ST_STALE : ST_OK;
            request->intent_requested = false;
            request->intent_recorded = ok && expected == ST_OK;
            check_rule(m,
                       Traffic_ReportIntent(m->t, m->now_ms, request->handle,
                                            ok) == expected,
                       "an intent is used only before its request ends");
            return;
        }
    }
}

static void
cancel_request(Model *m)
{
    uint32_t back = choose(m, 32);
    ModelRequest *request;

    if (back >= m->request_count) {
        return;
    }
    request = &m->requests[m->request_count - 1 - back];
    if (!request->replied) {
        request->cancel_requested = true;
    }
    check_rule(m,
               Traffic_CancelRequest(m->t, m->now_ms, request->handle) ==
                   (request->replied ? ST_STALE : ST_OK),
               "a request can be cancelled once, until it ends");
}

static void
release_timed_out_slots(Model *m)
{
    uint32_t i;

    for (i = 0; i < m->attempt_count; i++) {
        ModelAttempt *attempt = &m->attempts[i];
        if (attempt->stopped && !attempt->slot_released &&
            attempt->slot_release_ms <= m->now_ms) {
            attempt->slot_released = true;
            m->in_flight[attempt->target]--;
            m->team_running[m->requests[attempt->request].team]--;
        }
    }
}

static void
run_tick(Model *m)
{
    uint32_t i;

    release_timed_out_slots(m);
    Traffic_Tick(m->t, m->now_ms);
    take_actions(m);
    for (i = 0; i < m->request_count; i++) {
        check_rule(m,
                   m->requests[i].replied ||
                       m->requests[i].deadline_ms > m->now_ms,
                   "each request has its reply by its deadline");
    }
}

static void
change_target(Model *m)
{
    uint32_t i = choose(m, MODEL_TARGETS);
    uint32_t change = choose(m, 8);
    TrafficTarget *target = &m->targets[i];

    if (change < 4) {
        target->state = (TrafficTargetState)choose(m, 5);
    }
    else if (change == 4) {
        m->listed[i] = !m->listed[i];
        if (!m->listed[i] && choose(m, 2)) {
            check_rule(m, Traffic_RemoveTarget(m->t, target->name) == ST_OK,
                       "a listed target can be removed");
            return;
        }
    }
    else if (change == 5) {
        target->pool = choose(m, 2) ? "p1" : "p0";
        target->epoch++;
    }
    else if (change == 6) {
        target->slots = choose(m, 5);
        target->connections = choose(m, 6);
    }
    else {
        target->data_centre = choose(m, 2) ? "dc1" : "dc2";
    }
    if (m->listed[i] && choose(m, 2)) {
        check_rule(m, Traffic_PutTarget(m->t, m->now_ms, target) == ST_OK,
                   "a valid target is accepted");
        return;
    }
    set_targets(m);
}

static void
change_teams(Model *m)
{
    uint32_t i = choose(m, MODEL_TEAMS);

    m->teams[i].quota = choose(m, 5);
    m->quota_changes++;
    Traffic_SetTeams(m->t, m->now_ms, m->teams, MODEL_TEAMS);
}

static void
run_step(Model *m)
{
    uint32_t op = choose(m, 16);

    if (op < 5) {
        submit_request(m);
    }
    else if (op < 9) {
        report_some_result(m);
    }
    else if (op < 11) {
        report_intent(m);
    }
    else if (op == 11) {
        cancel_request(m);
    }
    else if (op < 14) {
        m->now_ms += choose(m, 80);
        run_tick(m);
    }
    else if (op == 14) {
        change_target(m);
    }
    else if (choose(m, 2)) {
        change_teams(m);
    }
    else {
        set_services(m, choose(m, 4) != 0);
    }
    take_actions(m);
}

static void
init_model(Model *m)
{
    TrafficOptions options = TRAFFIC_OPTIONS_DEFAULT;
    uint32_t i;

    options.data_centre = "dc1";
    options.max_requests = 64;
    options.seed = choose(m, 256);
    options.retry_percent = choose(m, 2) ? 10 : 100;
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
    set_services(m, true);
    set_targets(m);
}

/* Answers all running attempts and lets all deadlines and slot timeouts pass.
 * Then each request must have its reply and each slot must be free. */
static void
finish_run(Model *m)
{
    TrafficStats stats;
    uint32_t i;

    for (i = 0; i < m->attempt_count && m->error == NULL; i++) {
        if (!m->attempts[i].slot_released) {
            report_result(m, i, TRAFFIC_OK);
        }
    }
    m->now_ms += 600;
    run_tick(m);
    m->now_ms += TRAFFIC_STOPPED_SLOT_TIMEOUT_MS;
    run_tick(m);
    for (i = 0; i < MODEL_TARGETS; i++) {
        m->listed[i] = true;
        m->targets[i].state = TRAFFIC_TARGET_OPEN;
        m->targets[i].slots = 2;
        m->targets[i].connections = 2;
    }
    set_targets(m);
    Traffic_GetStats(m->t, &stats);
    check_rule(m, stats.slots == 2 * MODEL_TARGETS,
               "the slots of all targets are counted");
    check_rule(m, stats.slots_held == 0, "all slots are free again");
    check_rule(m, stats.running == 0, "no attempt is left running");
    check_rule(m, stats.waiting == 0, "no request is left waiting");
}

const char *
TrafficModel_Run(const uint8_t *bytes, size_t len)
{
    Model *m = &model;

    memset(m, 0, sizeof(*m));
    m->bytes = bytes;
    m->bytes_left = len;
    init_model(m);
    while (m->bytes_left > 0 && m->error == NULL &&
           m->attempt_count < MODEL_ATTEMPTS - 256) {
        run_step(m);
    }
    if (m->error == NULL) {
        finish_run(m);
    }
    Traffic_Free(m->t);
    return m->error;
}
