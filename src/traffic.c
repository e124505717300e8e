#include "traffic.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "traffic_internal.h"

/* Retry delay when a pool has no usable target; the next announcement of a
 * target may change that. */
#define NO_TARGET_RETRY_MS 1000

Traffic *
Traffic_New(const TrafficOptions *options)
{
    Traffic *t = calloc(1, sizeof(*t));
    RouteOptions route = {options->data_centre, options->seed,
                          options->long_share_percent};

    if (t == NULL) {
        return NULL;
    }
    t->options = *options;
    t->options.data_centre = NULL; /* valid only during this call */
    if (t->options.unable_targets < 1) {
        t->options.unable_targets = 1;
    }
    if (t->options.unable_targets > RETRY_MAX_FAILED_TARGETS) {
        t->options.unable_targets = RETRY_MAX_FAILED_TARGETS;
    }
    t->route = Route_New(&route);
    t->admit = Admit_New();
    t->class = Class_New();
    t->requests = Table_New(sizeof(RequestRow), options->max_requests);
    t->attempts = Table_New(sizeof(AttemptRow), options->max_requests);
    t->deadlines = Wheel_New();
    t->stop_timeouts = Wheel_New();
    t->service_names = Keymap_New();
    if (t->route == NULL || t->admit == NULL || t->class == NULL ||
        t->requests == NULL || t->attempts == NULL || t->deadlines == NULL ||
        t->stop_timeouts == NULL || t->service_names == NULL) {
        Traffic_Free(t);
        return NULL;
    }
    return t;
}

void
Traffic_Free(Traffic *t)
{
    uint32_t i;

    if (t == NULL) {
        return;
    }
    for (i = 0; i < t->pool_count; i++) {
        free(t->pools[i].deferred.items);
        free(t->pools[i].reclassified.items);
    }
    free(t->pools);
    free(t->services);
    free(t->request_handles);
    free(t->attempt_handles);
    free(t->actions);
    Route_Free(t->route);
    Admit_Free(t->admit);
    Class_Free(t->class);
    Table_Free(t->requests);
    Table_Free(t->attempts);
    Wheel_Free(t->deadlines);
    Wheel_Free(t->stop_timeouts);
    Keymap_Free(t->service_names);
    free(t);
}

static uint32_t
find_or_add_service(Traffic *t, const char *name)
{
    uint64_t key = Keymap_HashText(name);
    uint32_t service;

    if (Keymap_Get(t->service_names, key, &service)) {
        return service;
    }
    service = t->service_count++;
    t->services =
        Mem_Resize(t->services, t->service_count * sizeof(ServiceRow));
    memset(&t->services[service], 0, sizeof(ServiceRow));
    /* is_valid_name has checked the length. */
    memcpy(t->services[service].name, name, strlen(name));
    Keymap_Put(t->service_names, key, service);
    return service;
}

static bool
is_valid_name(const char *name)
{
    return name != NULL && name[0] != '\0' &&
           strlen(name) < TRAFFIC_NAME_BYTES;
}

/* Ends the waiting requests of removed services and moves those of services
 * whose pool changed. */
static void
apply_service_changes(Traffic *t, int64_t now_ms)
{
    uint32_t cursor = 0;
    Handle handle = Table_Next(t->requests, &cursor);

    while (!Handle_IsNone(handle)) {
        RequestRow *request = Table_Get(t->requests, handle);
        const ServiceRow *service = &t->services[request->service];
        handle = Table_Next(t->requests, &cursor);
        if (request->state == REQUEST_RUNNING ||
            request->state == REQUEST_INTENT_PENDING) {
            continue;
        }
        if (!service->listed) {
            TrafficRun_EndRequest(t, now_ms, request,
                                  TRAFFIC_REASON_SERVICE_REMOVED);
        }
        else if (request->pool != service->pool) {
            AdmitWork work;
            Admit_RemoveWork(t->admit, request->self.index);
            request->pool = service->pool;
            request->state = REQUEST_WAITING;
            TrafficRun_FillWork(t, request, &work);
            Admit_RequeueWork(t->admit, &work);
        }
    }
}

static void
start_waiting_in_all_pools(Traffic *t, int64_t now_ms)
{
    uint32_t i;

    for (i = 0; i < Route_CountPools(t->route); i++) {
        TrafficRun_RequeueDeferred(t, i);
        TrafficRun_StartWaiting(t, now_ms, i);
    }
}

Status
Traffic_SetServices(Traffic *t, int64_t now_ms, const TrafficService *services,
                    size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (!is_valid_name(services[i].name) ||
            !is_valid_name(services[i].pool)) {
            return ST_INVALID;
        }
    }
    for (i = 0; i < t->service_count; i++) {
        t->services[i].listed = false;
    }
    for (i = 0; i < count; i++) {
        const TrafficService *from = &services[i];
        uint32_t service = find_or_add_service(t, from->name);
        ServiceRow *row = &t->services[service];
        row->listed = true;
        row->pool = Route_FindOrAddPool(t->route, from->pool);
        row->short_us =
            (from->short_ms > 0 ? from->short_ms : t->options.short_ms) * 1000;
        row->max_queue =
            from->max_queue > 0 ? from->max_queue : t->options.queue_limit;
    }
    apply_service_changes(t, now_ms);
    start_waiting_in_all_pools(t, now_ms);
    return ST_OK;
}

Status
Traffic_SetTeams(Traffic *t, int64_t now_ms, const TrafficTeam *teams,
                 size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (!is_valid_name(teams[i].name)) {
            return ST_INVALID;
        }
    }
    Admit_ClearQuotas(t->admit);
    for (i = 0; i < count; i++) {
        Admit_SetQuota(t->admit, Keymap_HashText(teams[i].name),
                       teams[i].quota);
    }
    start_waiting_in_all_pools(t, now_ms);
    return ST_OK;
}

Status
Traffic_SetTargets(Traffic *t, int64_t now_ms, const TrafficTarget *targets,
                   size_t count)
{
    Status status = Route_SetTargets(t->route, targets, count);

    if (status == ST_OK) {
        start_waiting_in_all_pools(t, now_ms);
    }
    return status;
}

Status
Traffic_PutTarget(Traffic *t, int64_t now_ms, const TrafficTarget *target)
{
    Status status = Route_PutTarget(t->route, target);

    if (status == ST_OK) {
        uint32_t pool = Route_FindOrAddPool(t->route, target->pool);
        TrafficRun_RequeueDeferred(t, pool);
        TrafficRun_StartWaiting(t, now_ms, pool);
    }
    return status;
}

Status
Traffic_RemoveTarget(Traffic *t, const char *name)
{
    return Route_RemoveTarget(t->route, name);
}

static uint64_t
make_name_key(const char *text)
{
    char name[TRAFFIC_NAME_BYTES];

    if (text == NULL) {
        return Keymap_HashText("");
    }
    strncpy(name, text, sizeof(name) - 1);
    name[sizeof(name) - 1] = '\0';
    return Keymap_HashText(name);
}

static void
store_request_handle(Traffic *t, Handle handle)
{
    if (handle.index >= t->request_handle_capacity) {
        uint32_t capacity = handle.index < 64 ? 128 : handle.index * 2;
        t->request_handles =
            Mem_Resize(t->request_handles, capacity * sizeof(Handle));
        t->request_handle_capacity = capacity;
    }
    t->request_handles[handle.index] = handle;
}

static void
fill_request(Traffic *t, RequestRow *row, const TrafficRequest *request,
             uint32_t service)
{
    row->cookie = request->cookie;
    row->caller = make_name_key(request->caller);
    row->team = make_name_key(request->team);
    /* The key includes the declared class: if a kind has both short and long
     * work, the declaration separates them better than the kind alone. */
    row->kind = Keymap_CombineKeys(service * 4 + 1 + (uint32_t)request->class,
                                   make_name_key(request->kind));
    row->deadline_ms = request->deadline_ms;
    row->service = service;
    row->pool = t->services[service].pool;
    row->target = ROUTE_NONE;
    row->declared = (uint8_t)request->class;
    row->unrepeatable = request->unrepeatable;
    row->state = REQUEST_WAITING;
}

static void
queue_or_refuse(Traffic *t, int64_t now_ms, RequestRow *row,
                const RoutePoolInfo *info)
{
    static const TrafficReason reasons[] = {
        TRAFFIC_REASON_NONE, TRAFFIC_REASON_QUEUE_FULL,
        TRAFFIC_REASON_DEADLINE, TRAFFIC_REASON_QUOTA};
    bool is_long = row->class == TRAFFIC_LONG;
    AdmitLimits limits;
    AdmitWork work;
    AdmitResult result;
    int64_t retry_ms;

    limits.max_queue = t->services[row->service].max_queue;
    limits.servers = is_long ? info->long_slots
                     : info->slots > info->long_in_flight
                         ? info->slots - info->long_in_flight
                         : 1;
    limits.free_servers = Route_HasFreeSlot(t->route, row->pool, is_long);
    limits.service_rate =
        TrafficRun_GetPool(t, row->pool)->service_rate[row->class];
    limits.time_left_ms = row->deadline_ms - now_ms;
    TrafficRun_FillWork(t, row, &work);
    result = Admit_QueueWork(t->admit, &work, &limits, &retry_ms);
    if (result != ADMIT_QUEUED) {
        TrafficRun_SendReply(t, row, TRAFFIC_NOT_RUN, reasons[result],
                             retry_ms);
    }
}

Status
Traffic_SubmitRequest(Traffic *t, int64_t now_ms,
                      const TrafficRequest *request, Handle *out)
{
    RoutePoolInfo info;
    uint32_t service;
    uint32_t pool;
    RequestRow *row;

    if (request->service == NULL ||
        !Keymap_Get(t->service_names, Keymap_HashText(request->service),
                    &service) ||
        !t->services[service].listed ||
        strcmp(t->services[service].name, request->service) != 0) {
        return ST_NOT_FOUND;
    }
    *out = Table_Add(t->requests);
    row = Table_Get(t->requests, *out);
    if (row == NULL) {
        return ST_FULL;
    }
    store_request_handle(t, *out);
    row->self = *out;
    fill_request(t, row, request, service);
    t->stats.submitted++;
    TrafficRun_UpdateEstimate(t, now_ms, row);
    Wheel_Add(t->deadlines, row->self.index, row->deadline_ms);
    pool = row->pool;
    Route_GetPoolInfo(t->route, pool, &info);
    if (info.targets == 0) {
        TrafficRun_SendReply(t, row, TRAFFIC_NOT_RUN, TRAFFIC_REASON_NO_TARGET,
                             NO_TARGET_RETRY_MS);
        return ST_OK;
    }
    queue_or_refuse(t, now_ms, row, &info);
    TrafficRun_StartWaiting(t, now_ms, pool);
    return ST_OK;
}

Status
Traffic_ReportIntent(Traffic *t, int64_t now_ms, Handle handle, bool ok)
{
    RequestRow *request = Table_Get(t->requests, handle);
    uint32_t pool;

    if (request == NULL || request->state != REQUEST_INTENT_PENDING) {
        return ST_STALE;
    }
    pool = request->pool;
    if (ok) {
        request->intent_recorded = true;
        TrafficRun_DispatchRecorded(t, now_ms, request);
    }
    else {
        TrafficRun_EndRequest(t, now_ms, request, TRAFFIC_REASON_NO_INTENT);
    }
    TrafficRun_StartWaiting(t, now_ms, pool);
    return ST_OK;
}

Status
Traffic_CancelRequest(Traffic *t, int64_t now_ms, Handle handle)
{
    RequestRow *request = Table_Get(t->requests, handle);
    uint32_t pool;
    bool freed;

    if (request == NULL) {
        return ST_STALE;
    }
    pool = request->pool;
    freed = request->state == REQUEST_INTENT_PENDING;
    TrafficRun_EndRequest(t, now_ms, request, TRAFFIC_REASON_CANCELLED);
    if (freed) {
        TrafficRun_StartWaiting(t, now_ms, pool);
    }
    return ST_OK;
}

bool
Traffic_TakeAction(Traffic *t, TrafficAction *action)
{
    if (t->action_count == 0) {
        return false;
    }
    *action = t->actions[t->action_first];
    t->action_first = (t->action_first + 1) % t->action_capacity;
    t->action_count--;
    return true;
}

void
Traffic_GetStats(const Traffic *t, TrafficStats *stats)
{
    uint32_t i;

    *stats = t->stats;
    for (i = 0; i < Route_CountPools(t->route); i++) {
        RoutePoolInfo info;
        Route_GetPoolInfo(t->route, i, &info);
        stats->slots += info.slots;
        stats->slots_held += info.in_flight;
    }
    stats->waiting =
        Table_Count(t->requests) - (t->stats.running - t->stopped);
}

uint32_t
Traffic_GetTargetInFlight(const Traffic *t, const char *target)
{
    return Route_CountInFlight(t->route, target);
}

void
Traffic_GetPoolLoad(Traffic *t, const char *pool, TrafficPoolLoad *load)
{
    uint32_t index = Route_FindOrAddPool(t->route, pool);
    RoutePoolInfo info;
    uint32_t class;

    Route_GetPoolInfo(t->route, index, &info);
    load->running = info.in_flight;
    load->waiting = 0;
    for (class = 0; class < TRAFFIC_CLASSES; class ++) {
        load->waiting +=
            Admit_CountWaiting(t->admit, index, (TrafficClass) class);
    }
}

const char *
Traffic_GetOutcomeName(TrafficOutcome outcome)
{
    static const char *const names[] = {"done", "not-run", "unknown", "unable",
                                        "cancelled"};

    return names[outcome];
}

const char *
Traffic_GetReasonText(TrafficReason reason)
{
    static const char *const texts[] = {
        "answered",
        "the queue is full",
        "the deadline cannot be met",
        "the team's quota is used up",
        "the pool has no usable target",
        "targets refused the work",
        "the work failed",
        "the answer was lost",
        "the retry budget is spent",
        "the intent could not be recorded",
        "the service was removed",
        "the work failed on several different targets",
        "cancelled by the caller"};

    return texts[reason];
}
