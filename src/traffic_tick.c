#include <math.h>

#include "traffic_internal.h"

/* Half-life of the recorded peak demand of short work for slots. With 10 s,
 * long work waited for 4.3 s at the median under peaks that did not need its
 * slots; with 1 s, short work waited longer. */
#define SHORT_PEAK_HALF_LIFE_MS 2000

/* Shortest interval of one measurement of a class's service rate, and the
 * weight of the newest measurement in the moving average. */
#define RATE_INTERVAL_MIN_MS 50
#define RATE_NEWEST_WEIGHT 0.2

/* Reclassifies the service's short work that has exceeded short_us as long. */
static void
reclassify_running(Traffic *t, int64_t now_ms, ServiceRow *service)
{
    for (;;) {
        AttemptRow *attempt = Table_Get(t->attempts, service->first_running);
        if (attempt == NULL ||
            (now_ms - attempt->started_ms) * 1000 <= service->short_us) {
            return;
        }
        TrafficRun_UnlinkAttempt(t, attempt);
        attempt->is_long = true;
        attempt->reclassified = true;
        Route_MarkLong(t->route, attempt->target);
        Class_RecordOverrun(t->class, now_ms, attempt->kind,
                            service->short_us);
        HandleList_Push(&TrafficRun_GetPool(t, attempt->pool)->reclassified,
                        attempt->self);
    }
}

/* Throttles reclassified work on targets where unthrottled long work exceeds
 * long_limit, while urgent or short work waits. */
static void
throttle_reclassified(Traffic *t, uint32_t pool)
{
    HandleList *list = &TrafficRun_GetPool(t, pool)->reclassified;
    uint32_t kept = 0;
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        AttemptRow *attempt = Table_Get(t->attempts, list->items[i]);
        RouteInfo info;
        if (attempt == NULL || attempt->stopped) {
            continue;
        }
        Route_GetInfo(t->route, attempt->target, &info);
        if (info.long_in_flight - info.throttled > info.long_limit &&
            Admit_CountWaiting(t->admit, pool, TRAFFIC_URGENT) +
                    Admit_CountWaiting(t->admit, pool, TRAFFIC_SHORT) >
                0) {
            attempt->throttled = true;
            Route_SetThrottled(t->route, attempt->target, true);
            TrafficRun_AddAction(t, TRAFFIC_THROTTLE,
                                 Table_Get(t->requests, attempt->request));
            continue;
        }
        list->items[kept++] = list->items[i];
    }
    list->count = kept;
}

/* Reserves as many slots as short work has recently needed and leaves the
 * others to long work. A fixed share would leave slots idle while long work
 * waits. */
static void
reserve_short_slots(Traffic *t, int64_t now_ms, uint32_t pool)
{
    PoolRow *row = TrafficRun_GetPool(t, pool);
    RoutePoolInfo info;
    double need;

    Route_GetPoolInfo(t->route, pool, &info);
    need = info.in_flight - info.long_in_flight +
           Admit_CountWaiting(t->admit, pool, TRAFFIC_URGENT) +
           Admit_CountWaiting(t->admit, pool, TRAFFIC_SHORT);
    row->short_peak *= exp2(-(double)(now_ms - row->peak_updated_ms) /
                            SHORT_PEAK_HALF_LIFE_MS);
    row->peak_updated_ms = now_ms;
    if (row->short_peak < need) {
        row->short_peak = need < info.slots ? need : info.slots;
    }
    Route_ReserveShortSlots(t->route, pool, (uint32_t)row->short_peak + 1);
}

/* Measures the service rate of each class that has work waiting. */
static void
update_service_rates(Traffic *t, int64_t now_ms, uint32_t pool)
{
    PoolRow *row = TrafficRun_GetPool(t, pool);
    double ms = (double)(now_ms - row->rates_updated_ms);
    int class;

    if (ms < RATE_INTERVAL_MIN_MS) {
        return;
    }
    for (class = 0; class < TRAFFIC_CLASSES; class ++) {
        double rate = (double)row->started_us[class] / 1000 / ms;
        if (Admit_CountWaiting(t->admit, pool, (TrafficClass) class) == 0) {
            row->service_rate[class] = 0;
        }
        else if (row->service_rate[class] <= 0) {
            row->service_rate[class] = rate;
        }
        else {
            row->service_rate[class] +=
                RATE_NEWEST_WEIGHT * (rate - row->service_rate[class]);
        }
        row->started_us[class] = 0;
    }
    row->rates_updated_ms = now_ms;
}

void
Traffic_Tick(Traffic *t, int64_t now_ms)
{
    uint32_t i;

    while (Wheel_TakeDue(t->deadlines, now_ms, &i)) {
        TrafficRun_EndRequest(t, now_ms,
                              Table_Get(t->requests, t->request_handles[i]),
                              TRAFFIC_REASON_DEADLINE);
    }
    while (Wheel_TakeDue(t->stop_timeouts, now_ms, &i)) {
        TrafficRun_FreeAttempt(t,
                               Table_Get(t->attempts, t->attempt_handles[i]));
    }
    for (i = 0; i < t->service_count; i++) {
        reclassify_running(t, now_ms, &t->services[i]);
    }
    Route_Tick(t->route, now_ms);
    for (i = 0; i < Route_CountPools(t->route); i++) {
        update_service_rates(t, now_ms, i);
        reserve_short_slots(t, now_ms, i);
        TrafficRun_RequeueDeferred(t, i);
        TrafficRun_StartWaiting(t, now_ms, i);
        throttle_reclassified(t, i);
    }
}
