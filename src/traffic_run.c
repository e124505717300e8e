#include <stdlib.h>
#include <string.h>

#include "mem.h"

#include "traffic_internal.h"

/* While fewer than one in this many of the slots open to long work run it,
 * long work goes before short work, so that short work cannot starve it. */
#define LONG_FLOOR_DIVISOR 8

static TrafficAction *
action_new(Traffic *t)
{
    TrafficAction *action;

    if (t->action_count == t->action_capacity) {
        uint32_t capacity = t->action_capacity ? t->action_capacity * 2 : 64;
        TrafficAction *ring = Mem_New(capacity, sizeof(*ring));
        uint32_t i;
        for (i = 0; i < t->action_count; i++) {
            ring[i] = t->actions[(t->action_first + i) % t->action_capacity];
        }
        free(t->actions);
        t->actions = ring;
        t->action_first = 0;
        t->action_capacity = capacity;
    }
    action = &t->actions[(t->action_first + t->action_count++) %
                         t->action_capacity];
    memset(action, 0, sizeof(*action));
    return action;
}

TrafficAction *
TrafficRun_Emit(Traffic *t, TrafficActionKind kind, const RequestRow *request)
{
    TrafficAction *action = action_new(t);

    action->kind = kind;
    action->request = request->self;
    action->request_cookie = request->cookie;
    action->attempt = request->attempt;
    action->attempt_number = request->attempts;
    action->deadline_ms = request->deadline_ms;
    if (request->state >= REQUEST_INTENT) {
        RouteInfo info;
        Route_GetInfo(t->route, request->target, &info);
        action->target = info.name;
        action->target_cookie = info.cookie;
        action->epoch = request->epoch;
    }
    return action;
}

PoolRow *
TrafficRun_Pool(Traffic *t, uint32_t pool)
{
    if (pool >= t->pool_count) {
        t->pools = Mem_Resize(t->pools, (pool + 1) * sizeof(*t->pools));
        memset(t->pools + t->pool_count, 0,
               (pool + 1 - t->pool_count) * sizeof(*t->pools));
        t->pool_count = pool + 1;
    }
    return &t->pools[pool];
}

void
HandleList_Push(HandleList *list, Handle handle)
{
    if (list->count == list->capacity) {
        list->capacity = list->capacity ? list->capacity * 2 : 16;
        list->items =
            Mem_Resize(list->items, list->capacity * sizeof(*list->items));
    }
    list->items[list->count++] = handle;
}

void
TrafficRun_Reply(Traffic *t, RequestRow *request, TrafficOutcome outcome,
                 TrafficReason reason, int64_t retry_ms)
{
    TrafficAction *action = TrafficRun_Emit(t, TRAFFIC_REPLY, request);

    action->outcome = outcome;
    action->reason = reason;
    action->may_have_run = request->maybe_ran > 0;
    action->retry_ms = retry_ms;
    t->stats.replies[outcome]++;
    Admit_Remove(t->admit, request->self.index);
    Admit_Done(t->admit, request->self.index);
    Wheel_Remove(t->deadlines, request->self.index);
    Table_Remove(t->requests, request->self);
}

/* Running short work of a service, oldest first. */

static void
link_running(Traffic *t, AttemptRow *attempt)
{
    ServiceRow *service = &t->services[attempt->service];
    AttemptRow *last = Table_Get(t->attempts, service->last);

    attempt->linked = true;
    attempt->prev = service->last;
    attempt->next = HANDLE_NONE;
    if (last != NULL) {
        last->next = attempt->self;
    }
    else {
        service->first = attempt->self;
    }
    service->last = attempt->self;
}

void
TrafficRun_UnlinkRunning(Traffic *t, AttemptRow *attempt)
{
    ServiceRow *service = &t->services[attempt->service];
    AttemptRow *prev = Table_Get(t->attempts, attempt->prev);
    AttemptRow *next = Table_Get(t->attempts, attempt->next);

    if (!attempt->linked) {
        return;
    }
    attempt->linked = false;
    if (prev != NULL) {
        prev->next = attempt->next;
    }
    else {
        service->first = attempt->next;
    }
    if (next != NULL) {
        next->prev = attempt->prev;
    }
    else {
        service->last = attempt->prev;
    }
}

void
TrafficRun_AttemptEnd(Traffic *t, AttemptRow *attempt)
{
    TrafficRun_UnlinkRunning(t, attempt);
    Wheel_Remove(t->holds, attempt->self.index);
    if (attempt->throttled) {
        Route_Throttle(t->route, attempt->target, false);
    }
    Route_Release(t->route, attempt->target, attempt->is_long);
    if (attempt->stopped) {
        Admit_DoneDetached(t->admit, attempt->team);
        t->stopped--;
    }
    t->stats.running--;
    Table_Remove(t->attempts, attempt->self);
}

static void
remember_attempt(Traffic *t, Handle handle)
{
    if (handle.index >= t->attempt_by_id_capacity) {
        uint32_t capacity = handle.index < 64 ? 128 : handle.index * 2;
        t->attempt_by_id =
            Mem_Resize(t->attempt_by_id, capacity * sizeof(Handle));
        t->attempt_by_id_capacity = capacity;
    }
    t->attempt_by_id[handle.index] = handle;
}

/* Sets a request aside until the next tick. */
static void
defer(Traffic *t, RequestRow *request)
{
    request->state = REQUEST_DEFERRED;
    HandleList_Push(&TrafficRun_Pool(t, request->pool)->deferred,
                    request->self);
}

static void
dispatch(Traffic *t, int64_t now_ms, RequestRow *request)
{
    Handle handle = Table_Add(t->attempts);
    AttemptRow *attempt = Table_Get(t->attempts, handle);

    if (attempt == NULL) {
        /* max_requests bounds attempts too; stopped ones count. */
        TrafficRun_Unhold(t, request);
        defer(t, request);
        return;
    }
    remember_attempt(t, handle);
    attempt->self = handle;
    attempt->request = request->self;
    attempt->kind = request->kind;
    attempt->started_ms = now_ms;
    attempt->expected_us = request->expected_us;
    attempt->service = request->service;
    attempt->pool = request->pool;
    attempt->target = request->target;
    attempt->is_long = request->is_long;
    if (!attempt->is_long) {
        link_running(t, attempt);
    }
    request->attempt = handle;
    request->attempts++;
    request->maybe_ran++;
    request->state = REQUEST_RUNNING;
    t->stats.dispatched++;
    if (request->attempts == 1) {
        Retry_Fresh(&t->services[request->service].budget, now_ms,
                    t->options.retry_percent);
    }
    t->stats.running++;
    TrafficRun_Emit(t, TRAFFIC_DISPATCH, request);
}

void
TrafficRun_Unhold(Traffic *t, RequestRow *request)
{
    Route_Release(t->route, request->target, request->is_long);
    Admit_Done(t->admit, request->self.index);
    request->target = ROUTE_NONE;
}

void
TrafficRun_Work(const Traffic *t, const RequestRow *request, AdmitWork *work)
{
    const ServiceRow *service = &t->services[request->service];
    int64_t cost = 1;

    if (request->class == TRAFFIC_LONG) {
        cost = request->expected_us / (service->short_us + 1);
    }
    work->id = request->self.index;
    work->pool = request->pool;
    work->service = request->service;
    work->class = (TrafficClass)request->class;
    work->team = request->team;
    work->caller = request->caller;
    work->run_us = request->expected_us;
    work->cost = cost < 1                ? 1
                 : cost > ADMIT_MAX_COST ? ADMIT_MAX_COST
                                         : (uint32_t)cost;
}

static void
requeue(Traffic *t, RequestRow *request)
{
    AdmitWork work;

    /* The service may have moved to another pool since the submission. */
    request->pool = t->services[request->service].pool;
    TrafficRun_Work(t, request, &work);
    request->state = REQUEST_WAITING;
    Admit_Return(t->admit, &work);
}

void
TrafficRun_SendHeld(Traffic *t, int64_t now_ms, RequestRow *request)
{
    if (Route_MaySend(t->route, request->target, request->epoch)) {
        dispatch(t, now_ms, request);
        return;
    }
    TrafficRun_Unhold(t, request);
    requeue(t, request);
}

void
TrafficRun_Estimate(Traffic *t, int64_t now_ms, RequestRow *request)
{
    const ServiceRow *service = &t->services[request->service];
    ClassEstimate estimate = Class_Get(t->class, now_ms, request->kind);
    bool is_long = request->declared == TRAFFIC_LONG;

    if (estimate.known) {
        is_long = estimate.is_long;
    }
    request->class = request->declared == TRAFFIC_URGENT ? TRAFFIC_URGENT
                     : is_long                           ? TRAFFIC_LONG
                                                         : TRAFFIC_SHORT;
    request->is_long = request->class == TRAFFIC_LONG;
    request->expected_us = estimate.known ? estimate.run_us
                           : is_long      ? service->short_us * 4
                                          : service->short_us / 4;
}

/* Chooses a target for a request that was taken from the queue. Returns
 * false when no slot fits. */
static bool
place(Traffic *t, int64_t now_ms, RequestRow *request)
{
    RouteQuery query = {request->pool,
                        now_ms,
                        request->is_long,
                        !request->unrepeatable,
                        request->retry.targets,
                        (uint32_t)request->retry.failed +
                            request->retry.kept_refused};
    RouteAnswer answer;
    RoutePoolInfo info;
    RouteInfo target;

    Route_GetPoolInfo(t->route, request->pool, &info);
    /* With too few targets in use, one that was tried is better than none. */
    if (query.excluded_count + info.evicted + info.suspect >= info.targets) {
        query.excluded_count = 0;
    }
    answer = Route_Pick(t->route, &query, &request->target);
    if (answer != ROUTE_FOUND) {
        Admit_Done(t->admit, request->self.index);
        if (answer != ROUTE_EXCLUDED) {
            requeue(t, request);
            return false;
        }
        defer(t, request);
        return true;
    }
    Route_Take(t->route, request->target, request->is_long);
    Route_GetInfo(t->route, request->target, &target);
    request->epoch = target.epoch;
    TrafficRun_Pool(t, request->pool)->started_us[request->class] +=
        request->expected_us;
    if (request->unrepeatable && !request->intent_recorded) {
        request->state = REQUEST_INTENT;
        request->attempt = HANDLE_NONE;
        TrafficRun_Emit(t, TRAFFIC_RECORD_INTENT, request);
        return true;
    }
    dispatch(t, now_ms, request);
    return true;
}

static bool
start_one(Traffic *t, int64_t now_ms, uint32_t pool, TrafficClass class)
{
    RequestRow *request;
    uint32_t id;

    if (!Route_HasRoom(t->route, pool, class == TRAFFIC_LONG) ||
        !Admit_Next(t->admit, pool, class, &id)) {
        return false;
    }
    request = Table_Get(t->requests, t->by_id[id]);
    TrafficRun_Estimate(t, now_ms, request);
    if (request->class != (uint8_t) class) {
        /* Its kind turned out to be of another class while it waited. */
        Admit_Done(t->admit, id);
        requeue(t, request);
        return true;
    }
    return place(t, now_ms, request);
}

static bool
long_below_floor(const Traffic *t, uint32_t pool)
{
    RoutePoolInfo info;

    Route_GetPoolInfo(t->route, pool, &info);
    return info.long_in_flight * LONG_FLOOR_DIVISOR < info.long_slots;
}

void
TrafficRun_Pump(Traffic *t, int64_t now_ms, uint32_t pool)
{
    for (;;) {
        if (start_one(t, now_ms, pool, TRAFFIC_URGENT)) {
            continue;
        }
        if (Admit_Waiting(t->admit, pool, TRAFFIC_LONG) > 0 &&
            long_below_floor(t, pool) &&
            start_one(t, now_ms, pool, TRAFFIC_LONG)) {
            continue;
        }
        if (start_one(t, now_ms, pool, TRAFFIC_SHORT)) {
            continue;
        }
        if (!start_one(t, now_ms, pool, TRAFFIC_LONG)) {
            return;
        }
    }
}

void
TrafficRun_Resume(Traffic *t, uint32_t pool)
{
    HandleList *list = &TrafficRun_Pool(t, pool)->deferred;
    uint32_t count = list->count;
    uint32_t i;

    list->count = 0;
    /* Each goes to the front, so the oldest has to be the last. */
    for (i = count; i-- > 0;) {
        RequestRow *request = Table_Get(t->requests, list->items[i]);
        if (request != NULL && request->state == REQUEST_DEFERRED) {
            requeue(t, request);
        }
    }
}

void
TrafficRun_End(Traffic *t, int64_t now_ms, RequestRow *request,
               TrafficReason reason)
{
    bool cancelled = reason == TRAFFIC_REASON_CANCELLED;
    TrafficOutcome outcome = TRAFFIC_NOT_RUN;

    if (request->state == REQUEST_RUNNING) {
        AttemptRow *attempt = Table_Get(t->attempts, request->attempt);
        attempt->stopped = true;
        t->stopped++;
        attempt->team = Admit_Detach(t->admit, request->self.index);
        Wheel_Add(t->holds, attempt->self.index,
                  now_ms + TRAFFIC_STOPPED_HOLD_MS);
        TrafficRun_Emit(t, TRAFFIC_STOP, request);
    }
    else if (request->state == REQUEST_INTENT) {
        TrafficRun_Unhold(t, request);
        request->state = REQUEST_DEFERRED;
    }
    if (request->maybe_ran > 0) {
        outcome = TRAFFIC_UNKNOWN;
    }
    /* An unrepeatable request that may have run stays unknown, since its
     * caller could read "cancelled" as leave to send it again. */
    if (cancelled && (request->maybe_ran == 0 || !request->unrepeatable)) {
        outcome = TRAFFIC_CANCELLED;
    }
    TrafficRun_Reply(t, request, outcome, reason, 0);
}

static void
handle_failure(Traffic *t, int64_t now_ms, RequestRow *request,
               TrafficResultKind kind)
{
    RetryInput input = {now_ms,
                        request->deadline_ms,
                        request->unrepeatable,
                        t->options.unable_targets,
                        request->target,
                        kind};
    TrafficReason reason = TRAFFIC_REASON_FAILED;

    request->state = REQUEST_DEFERRED;
    if (kind == TRAFFIC_REFUSED) {
        request->maybe_ran--;
    }
    switch (Retry_Decide(&request->retry,
                         &t->services[request->service].budget, &input)) {
    case RETRY_AGAIN:
        t->stats.retried++;
        Admit_Done(t->admit, request->self.index);
        requeue(t, request);
        return;
    case RETRY_UNABLE:
        TrafficRun_Reply(t, request, TRAFFIC_UNABLE, TRAFFIC_REASON_UNABLE, 0);
        return;
    case RETRY_REFUSED:
        reason = TRAFFIC_REASON_REFUSED;
        break;
    case RETRY_LATE:
        reason = TRAFFIC_REASON_DEADLINE;
        break;
    case RETRY_SPENT:
        reason = TRAFFIC_REASON_RETRY_BUDGET;
        break;
    case RETRY_FORBIDDEN:
        reason = kind == TRAFFIC_FAILED ? TRAFFIC_REASON_FAILED
                                        : TRAFFIC_REASON_LOST;
        break;
    }
    TrafficRun_End(t, now_ms, request, reason);
}

Status
Traffic_Answer(Traffic *t, int64_t now_ms, Handle handle, TrafficResult result)
{
    AttemptRow *attempt = Table_Get(t->attempts, handle);
    RequestRow *request;
    uint32_t pool;

    if (attempt == NULL) {
        t->stats.dropped_answers++;
        return ST_STALE;
    }
    pool = attempt->pool;
    if (attempt->stopped) {
        t->stats.dropped_answers++;
        TrafficRun_AttemptEnd(t, attempt);
        TrafficRun_Pump(t, now_ms, pool);
        return ST_STALE;
    }
    request = Table_Get(t->requests, attempt->request);
    if (Route_Learn(t->route, now_ms, attempt->target, &result,
                    attempt->expected_us)) {
        t->stats.evictions++;
    }
    if (result.kind == TRAFFIC_OK) {
        Class_Learn(t->class, now_ms, attempt->kind, result.run_us,
                    t->services[attempt->service].short_us, attempt->outlived);
        TrafficRun_Reply(t, request, TRAFFIC_DONE, TRAFFIC_REASON_NONE, 0);
        TrafficRun_AttemptEnd(t, attempt);
    }
    else {
        TrafficRun_AttemptEnd(t, attempt);
        /* Nothing ran in either case; only the health of the target differs.
         */
        handle_failure(t, now_ms, request,
                       result.kind == TRAFFIC_UNREACHABLE ? TRAFFIC_REFUSED
                                                          : result.kind);
    }
    TrafficRun_Pump(t, now_ms, pool);
    return ST_OK;
}
