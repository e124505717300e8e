#include <math.h>

#include "traffic_internal.h"

/* The need of short work is the highest of late; the memory of a peak halves
 * in this time. With 10 s, long work waited for 4.3 s at the median under
 * peaks that did not need its slots; with 1 s, short work waited longer. */
#define SHORT_PEAK_HALF_MS 2000

/* The observed rate of a class: the shortest span of one observation, and
 * the weight of the newest one. */
#define RATE_MIN_MS 50
#define RATE_WEIGHT 0.2

/* Counts running work that outlived short_ms as long from now on. */
static void
reclassify(Traffic *t, int64_t now_ms, ServiceRow *service)
{
    for (;;) {
        AttemptRow *attempt = Table_Get(t->attempts, service->first);
        if (attempt == NULL ||
            (now_ms - attempt->started_ms) * 1000 <= service->short_us) {
            return;
        }
        TrafficRun_UnlinkRunning(t, attempt);
        attempt->is_long = true;
        attempt->outlived = true;
        Route_MakeLong(t->route, attempt->target);
        Class_Outlived(t->class, now_ms, attempt->kind, service->short_us);
        HandleList_Push(&TrafficRun_Pool(t, attempt->pool)->outlived,
                        attempt->self);
    }
}

/* Asks the platform to throttle work that outlived its class where it holds
 * more slots of its target than long work may, while short work waits. */
static void
throttle(Traffic *t, uint32_t pool)
{
    HandleList *list = &TrafficRun_Pool(t, pool)->outlived;
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
            Admit_Waiting(t->admit, pool, TRAFFIC_URGENT) +
                    Admit_Waiting(t->admit, pool, TRAFFIC_SHORT) >
                0) {
            attempt->throttled = true;
            Route_Throttle(t->route, attempt->target, true);
            TrafficRun_Emit(t, TRAFFIC_THROTTLE,
                            Table_Get(t->requests, attempt->request));
            continue;
        }
        list->items[kept++] = list->items[i];
    }
    list->count = kept;
}

/* Learns how many slots short work needs, and leaves the others to long
 * work: a fixed share kept slots idle while long work waited. */
static void
reserve_short(Traffic *t, int64_t now_ms, uint32_t pool)
{
    PoolRow *row = TrafficRun_Pool(t, pool);
    RoutePoolInfo info;
    double need;

    Route_GetPoolInfo(t->route, pool, &info);
    need = info.in_flight - info.long_in_flight +
           Admit_Waiting(t->admit, pool, TRAFFIC_URGENT) +
           Admit_Waiting(t->admit, pool, TRAFFIC_SHORT);
    row->short_peak *=
        exp2(-(double)(now_ms - row->peak_ms) / SHORT_PEAK_HALF_MS);
    row->peak_ms = now_ms;
    if (row->short_peak < need) {
        row->short_peak = need < info.slots ? need : info.slots;
    }
    Route_ReserveShort(t->route, pool, (uint32_t)row->short_peak + 1);
}

/* Observes how fast each class that waits is served. */
static void
observe_rates(Traffic *t, int64_t now_ms, uint32_t pool)
{
    PoolRow *row = TrafficRun_Pool(t, pool);
    double ms = (double)(now_ms - row->rated_ms);
    int class;

    if (ms < RATE_MIN_MS) {
        return;
    }
    for (class = 0; class < TRAFFIC_CLASSES; class ++) {
        double rate = (double)row->started_us[class] / 1000 / ms;
        if (Admit_Waiting(t->admit, pool, (TrafficClass) class) == 0) {
            row->rate[class] = 0;
        }
        else if (row->rate[class] <= 0) {
            row->rate[class] = rate;
        }
        else {
            row->rate[class] += RATE_WEIGHT * (rate - row->rate[class]);
        }
        row->started_us[class] = 0;
    }
    row->rated_ms = now_ms;
}

void
Traffic_Tick(Traffic *t, int64_t now_ms)
{
    uint32_t i;

    while (Wheel_Due(t->deadlines, now_ms, &i)) {
        TrafficRun_End(t, now_ms, Table_Get(t->requests, t->by_id[i]),
                       TRAFFIC_REASON_DEADLINE);
    }
    while (Wheel_Due(t->holds, now_ms, &i)) {
        TrafficRun_AttemptEnd(t, Table_Get(t->attempts, t->attempt_by_id[i]));
    }
    for (i = 0; i < t->service_count; i++) {
        reclassify(t, now_ms, &t->services[i]);
    }
    Route_Tick(t->route, now_ms);
    for (i = 0; i < Route_PoolCount(t->route); i++) {
        observe_rates(t, now_ms, i);
        reserve_short(t, now_ms, i);
        TrafficRun_Resume(t, i);
        TrafficRun_Pump(t, now_ms, i);
        throttle(t, i);
    }
}
