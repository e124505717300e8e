#include <stdlib.h>
#include <string.h>

#include "mem.h"

#include "traffic_internal.h"

/* Long work starts before short work while it uses less than one in
 * LONG_FLOOR_DIVISOR of the slots open to it, so that short work cannot starve
 * it. */
#define LONG_FLOOR_DIVISOR 8

static TrafficAction *
append_action(Traffic *t)
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
TrafficRun_AddAction(Traffic *t, TrafficActionKind kind,
                     const RequestRow *request)
{
    TrafficAction *action = append_action(t);

    action->kind = kind;
    action->request = request->self;
    action->request_cookie = request->cookie;
    action->attempt = request->attempt;
    action->attempt_number = request->attempts;
    action->deadline_ms = request->deadline_ms;
    if (request->state >= REQUEST_INTENT_PENDING) {
        RouteInfo info;
        Route_GetInfo(t->route, request->target, &info);
        action->target = info.name;
        action->target_cookie = info.cookie;
        action->epoch = request->epoch;
    }
    return action;
}

PoolRow *
TrafficRun_GetPool(Traffic *t, uint32_t pool)
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
TrafficRun_SendReply(Traffic *t, RequestRow *request, TrafficOutcome outcome,
                     TrafficReason reason, int64_t retry_ms)
{
    TrafficAction *action = TrafficRun_AddAction(t, TRAFFIC_REPLY, request);

    action->outcome = outcome;
    action->reason = reason;
    action->may_have_run = request->possible_runs > 0;
    action->retry_ms = retry_ms;
    t->stats.replies[outcome]++;
    Admit_RemoveWork(t->admit, request->self.index);
    Admit_FinishWork(t->admit, request->self.index);
    Wheel_Remove(t->deadlines, request->self.index);
    Table_Remove(t->requests, request->self);
}

/* Appends an attempt to its service's list of running short work, which is
 * ordered by start time, oldest first. */
static void
link_attempt(Traffic *t, AttemptRow *attempt)
{
    ServiceRow *service = &t->services[attempt->service];
    AttemptRow *last = Table_Get(t->attempts, service->last_running);

    attempt->linked = true;
    attempt->prev = service->last_running;
    attempt->next = HANDLE_NONE;
    if (last != NULL) {
        last->next = attempt->self;
    }
    else {
        service->first_running = attempt->self;
    }
    service->last_running = attempt->self;
}

void
TrafficRun_UnlinkAttempt(Traffic *t, AttemptRow *attempt)
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
        service->first_running = attempt->next;
    }
    if (next != NULL) {
        next->prev = attempt->prev;
    }
    else {
        service->last_running = attempt->prev;
    }
}

void
TrafficRun_FreeAttempt(Traffic *t, AttemptRow *attempt)
{
    TrafficRun_UnlinkAttempt(t, attempt);
    Wheel_Remove(t->stop_timeouts, attempt->self.index);
    if (attempt->throttled) {
        Route_SetThrottled(t->route, attempt->target, false);
    }
    Route_ReleaseSlot(t->route, attempt->target, attempt->is_long);
    if (attempt->stopped) {
        Admit_FinishDetached(t->admit, attempt->team);
        t->stopped--;
    }
    t->stats.running--;
    Table_Remove(t->attempts, attempt->self);
}

static void
store_attempt_handle(Traffic *t, Handle handle)
{
    if (handle.index >= t->attempt_handle_capacity) {
        uint32_t capacity = handle.index < 64 ? 128 : handle.index * 2;
        t->attempt_handles =
            Mem_Resize(t->attempt_handles, capacity * sizeof(Handle));
        t->attempt_handle_capacity = capacity;
    }
    t->attempt_handles[handle.index] = handle;
}

/* Keeps a request out of the queues until the next call of
 * TrafficRun_RequeueDeferred. */
static void
defer_request(Traffic *t, RequestRow *request)
{
    request->state = REQUEST_DEFERRED;
    HandleList_Push(&TrafficRun_GetPool(t, request->pool)->deferred,
                    request->self);
}

static void
dispatch_request(Traffic *t, int64_t now_ms, RequestRow *request)
{
    Handle handle = Table_Add(t->attempts);
    AttemptRow *attempt = Table_Get(t->attempts, handle);

    if (attempt == NULL) {
        /* max_requests also limits the attempts, including stopped ones. */
        TrafficRun_ReleaseSlot(t, request);
        defer_request(t, request);
        return;
    }
    store_attempt_handle(t, handle);
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
        link_attempt(t, attempt);
    }
    request->attempt = handle;
    request->attempts++;
    request->possible_runs++;
    request->state = REQUEST_RUNNING;
    t->stats.dispatched++;
    if (request->attempts == 1) {
        Retry_CountRequest(&t->services[request->service].budget, now_ms,
                           t->options.retry_percent);
    }
    t->stats.running++;
    TrafficRun_AddAction(t, TRAFFIC_DISPATCH, request);
}

void
TrafficRun_ReleaseSlot(Traffic *t, RequestRow *request)
{
    Route_ReleaseSlot(t->route, request->target, request->is_long);
    Admit_FinishWork(t->admit, request->self.index);
    request->target = ROUTE_NONE;
}

void
TrafficRun_FillWork(const Traffic *t, const RequestRow *request,
                    AdmitWork *work)
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
requeue_request(Traffic *t, RequestRow *request)
{
    AdmitWork work;

    /* The service may have moved to another pool since the submission. */
    request->pool = t->services[request->service].pool;
    TrafficRun_FillWork(t, request, &work);
    request->state = REQUEST_WAITING;
    Admit_RequeueWork(t->admit, &work);
}

void
TrafficRun_DispatchRecorded(Traffic *t, int64_t now_ms, RequestRow *request)
{
    if (Route_MayDispatch(t->route, request->target, request->epoch)) {
        dispatch_request(t, now_ms, request);
        return;
    }
    TrafficRun_ReleaseSlot(t, request);
    requeue_request(t, request);
}

void
TrafficRun_UpdateEstimate(Traffic *t, int64_t now_ms, RequestRow *request)
{
    const ServiceRow *service = &t->services[request->service];
    ClassEstimate estimate =
        Class_GetEstimate(t->class, now_ms, request->kind);
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

/* Chooses a target for a dequeued request and takes a slot there. Returns
 * false if the pool has no usable free slot. */
static bool
place_request(Traffic *t, int64_t now_ms, RequestRow *request)
{
    RouteQuery query = {request->pool,
                        now_ms,
                        request->is_long,
                        !request->unrepeatable,
                        request->retry.targets,
                        (uint32_t)request->retry.failed_targets +
                            request->retry.refused_targets};
    RouteOutcome outcome;
    RoutePoolInfo info;
    RouteInfo target;

    Route_GetPoolInfo(t->route, request->pool, &info);
    /* If every target is excluded, evicted or suspect, a target that was tried
     * before is better than none. */
    if (query.excluded_count + info.evicted + info.suspect >= info.targets) {
        query.excluded_count = 0;
    }
    outcome = Route_SelectTarget(t->route, &query, &request->target);
    if (outcome != ROUTE_FOUND) {
        Admit_FinishWork(t->admit, request->self.index);
        if (outcome != ROUTE_EXCLUDED) {
            requeue_request(t, request);
            return false;
        }
        defer_request(t, request);
        return true;
    }
    Route_AcquireSlot(t->route, request->target, request->is_long);
    Route_GetInfo(t->route, request->target, &target);
    request->epoch = target.epoch;
    TrafficRun_GetPool(t, request->pool)->started_us[request->class] +=
        request->expected_us;
    if (request->unrepeatable && !request->intent_recorded) {
        request->state = REQUEST_INTENT_PENDING;
        request->attempt = HANDLE_NONE;
        TrafficRun_AddAction(t, TRAFFIC_RECORD_INTENT, request);
        return true;
    }
    dispatch_request(t, now_ms, request);
    return true;
}

static bool
start_next_request(Traffic *t, int64_t now_ms, uint32_t pool,
                   TrafficClass class)
{
    RequestRow *request;
    uint32_t id;

    if (!Route_HasFreeSlot(t->route, pool, class == TRAFFIC_LONG) ||
        !Admit_StartNext(t->admit, pool, class, &id)) {
        return false;
    }
    request = Table_Get(t->requests, t->request_handles[id]);
    TrafficRun_UpdateEstimate(t, now_ms, request);
    if (request->class != (uint8_t) class) {
        /* The estimated class changed while the request waited. */
        Admit_FinishWork(t->admit, id);
        requeue_request(t, request);
        return true;
    }
    return place_request(t, now_ms, request);
}

static bool
is_long_below_floor(const Traffic *t, uint32_t pool)
{
    RoutePoolInfo info;

    Route_GetPoolInfo(t->route, pool, &info);
    return info.long_in_flight * LONG_FLOOR_DIVISOR < info.long_slots;
}

void
TrafficRun_StartWaiting(Traffic *t, int64_t now_ms, uint32_t pool)
{
    for (;;) {
        if (start_next_request(t, now_ms, pool, TRAFFIC_URGENT)) {
            continue;
        }
        if (Admit_CountWaiting(t->admit, pool, TRAFFIC_LONG) > 0 &&
            is_long_below_floor(t, pool) &&
            start_next_request(t, now_ms, pool, TRAFFIC_LONG)) {
            continue;
        }
        if (start_next_request(t, now_ms, pool, TRAFFIC_SHORT)) {
            continue;
        }
        if (!start_next_request(t, now_ms, pool, TRAFFIC_LONG)) {
            return;
        }
    }
}

void
TrafficRun_RequeueDeferred(Traffic *t, uint32_t pool)
{
    HandleList *list = &TrafficRun_GetPool(t, pool)->deferred;
    uint32_t count = list->count;
    uint32_t i;

    list->count = 0;
    /* Each request goes to the front of its queue, so the oldest is requeued
     * last. */
    for (i = count; i-- > 0;) {
        RequestRow *request = Table_Get(t->requests, list->items[i]);
        if (request != NULL && request->state == REQUEST_DEFERRED) {
            requeue_request(t, request);
        }
    }
}

void
TrafficRun_EndRequest(Traffic *t, int64_t now_ms, RequestRow *request,
                      TrafficReason reason)
{
    bool cancelled = reason == TRAFFIC_REASON_CANCELLED;
    TrafficOutcome outcome = TRAFFIC_NOT_RUN;

    if (request->state == REQUEST_RUNNING) {
        AttemptRow *attempt = Table_Get(t->attempts, request->attempt);
        attempt->stopped = true;
        t->stopped++;
        attempt->team = Admit_DetachWork(t->admit, request->self.index);
        Wheel_Add(t->stop_timeouts, attempt->self.index,
                  now_ms + TRAFFIC_STOPPED_SLOT_TIMEOUT_MS);
        TrafficRun_AddAction(t, TRAFFIC_STOP, request);
    }
    else if (request->state == REQUEST_INTENT_PENDING) {
        TrafficRun_ReleaseSlot(t, request);
        request->state = REQUEST_DEFERRED;
    }
    if (request->possible_runs > 0) {
        outcome = TRAFFIC_UNKNOWN;
    }
    /* An unrepeatable request that may have run stays unknown, since its
     * caller could take "cancelled" as permission to send it again. */
    if (cancelled && (request->possible_runs == 0 || !request->unrepeatable)) {
        outcome = TRAFFIC_CANCELLED;
    }
    TrafficRun_SendReply(t, request, outcome, reason, 0);
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
        request->possible_runs--;
    }
    switch (Retry_Decide(&request->retry,
                         &t->services[request->service].budget, &input)) {
    case RETRY_ALLOWED:
        t->stats.retried++;
        Admit_FinishWork(t->admit, request->self.index);
        requeue_request(t, request);
        return;
    case RETRY_UNABLE:
        TrafficRun_SendReply(t, request, TRAFFIC_UNABLE, TRAFFIC_REASON_UNABLE,
                             0);
        return;
    case RETRY_REFUSED:
        reason = TRAFFIC_REASON_REFUSED;
        break;
    case RETRY_DEADLINE_PASSED:
        reason = TRAFFIC_REASON_DEADLINE;
        break;
    case RETRY_BUDGET_SPENT:
        reason = TRAFFIC_REASON_RETRY_BUDGET;
        break;
    case RETRY_FORBIDDEN:
        reason = kind == TRAFFIC_FAILED ? TRAFFIC_REASON_FAILED
                                        : TRAFFIC_REASON_LOST;
        break;
    }
    TrafficRun_EndRequest(t, now_ms, request, reason);
}

Status
Traffic_ReportResult(Traffic *t, int64_t now_ms, Handle handle,
                     TrafficResult result)
{
    AttemptRow *attempt = Table_Get(t->attempts, handle);
    RequestRow *request;
    uint32_t pool;

    if (attempt == NULL) {
        t->stats.dropped_results++;
        return ST_STALE;
    }
    pool = attempt->pool;
    if (attempt->stopped) {
        t->stats.dropped_results++;
        TrafficRun_FreeAttempt(t, attempt);
        TrafficRun_StartWaiting(t, now_ms, pool);
        return ST_STALE;
    }
    request = Table_Get(t->requests, attempt->request);
    if (Route_RecordResult(t->route, now_ms, attempt->target, &result,
                           attempt->expected_us)) {
        t->stats.evictions++;
    }
    if (result.kind == TRAFFIC_OK) {
        Class_RecordRun(t->class, now_ms, attempt->kind, result.run_us,
                        t->services[attempt->service].short_us,
                        attempt->reclassified);
        TrafficRun_SendReply(t, request, TRAFFIC_DONE, TRAFFIC_REASON_NONE, 0);
        TrafficRun_FreeAttempt(t, attempt);
    }
    else {
        TrafficRun_FreeAttempt(t, attempt);
        /* An unreachable target did not run the work either. Its failure was
         * recorded by Route_RecordResult above. */
        handle_failure(t, now_ms, request,
                       result.kind == TRAFFIC_UNREACHABLE ? TRAFFIC_REFUSED
                                                          : result.kind);
    }
    TrafficRun_StartWaiting(t, now_ms, pool);
    return ST_OK;
}
