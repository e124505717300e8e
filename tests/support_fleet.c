#include "support_fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rng.h"
#include "support_naive.h"
#include "traffic.h"

#define FLEET_MAX_TARGETS 64
#define TICK_US 20000
/* Work that runs longer is long, by declaration and by observation. */
#define SHORT_LIMIT_US 100000

typedef enum EventKind { EVENT_ARRIVAL, EVENT_END, EVENT_TICK } EventKind;

typedef struct Event {
    int64_t at_us;
    EventKind kind;
    uint32_t job;
    uint32_t target;
    Handle attempt;
    bool failed;
    bool refused;
} Event;

typedef struct Job {
    int64_t arrived_us;
    int64_t run_us;
    int64_t wait_us; /* -1: not started */
    bool is_long;
    bool declared_long;
    bool urgent;
    uint8_t kind;
} Job;

typedef struct Fifo {
    uint32_t *items;
    uint32_t first;
    uint32_t count;
    uint32_t capacity;
} Fifo;

typedef struct Fleet {
    const FleetOptions *options;
    FleetResult *result;
    Rng rng;
    Rng fail_rng;
    int64_t now_us;
    Event *events; /* heap by time */
    uint32_t event_count;
    uint32_t event_capacity;
    Job *jobs;
    uint32_t job_count;
    uint32_t job_capacity;
    uint32_t in_flight[FLEET_MAX_TARGETS];
    uint32_t refusing[FLEET_MAX_TARGETS]; /* of these: being refused */
    double busy_us;
    Traffic *traffic;
    Fifo fifo[2];                            /* short or all; long */
    NaiveTarget naive[2][FLEET_MAX_TARGETS]; /* likewise */
} Fleet;

static void
push_event(Fleet *f, Event event)
{
    uint32_t i = f->event_count++;

    if (f->event_count > f->event_capacity) {
        f->event_capacity = f->event_capacity ? f->event_capacity * 2 : 1024;
        f->events = realloc(f->events, f->event_capacity * sizeof(Event));
    }
    while (i > 0 && f->events[(i - 1) / 2].at_us > event.at_us) {
        f->events[i] = f->events[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    f->events[i] = event;
}

static Event
pop_event(Fleet *f)
{
    Event top = f->events[0];
    Event last = f->events[--f->event_count];
    uint32_t i = 0;

    for (;;) {
        uint32_t child = 2 * i + 1;
        if (child >= f->event_count) {
            break;
        }
        if (child + 1 < f->event_count &&
            f->events[child + 1].at_us < f->events[child].at_us) {
            child++;
        }
        if (f->events[child].at_us >= last.at_us) {
            break;
        }
        f->events[i] = f->events[child];
        i = child;
    }
    f->events[i] = last;
    return top;
}

static double
exponential(Rng *rng)
{
    return -log(1.0 - Rng_Unit(rng));
}

static void
schedule_arrival(Fleet *f)
{
    const FleetOptions *o = f->options;
    double share = o->long_percent / 100.0;
    double mean_us =
        share * (double)o->long_us + (1.0 - share) * (double)o->short_us;
    double load = o->load;
    Event event = {0};

    if (o->peaks) {
        load *= f->now_us / 1000000 % 10 < 2 ? 2.0 : 0.75;
    }
    event.at_us = f->now_us + (int64_t)(exponential(&f->rng) * mean_us /
                                        (load * o->targets * o->slots));
    event.kind = EVENT_ARRIVAL;
    push_event(f, event);
}

static uint32_t
new_job(Fleet *f)
{
    const FleetOptions *o = f->options;
    double error;
    Job *job;

    if (f->job_count == f->job_capacity) {
        f->job_capacity = f->job_capacity ? f->job_capacity * 2 : 4096;
        f->jobs = realloc(f->jobs, f->job_capacity * sizeof(Job));
    }
    job = &f->jobs[f->job_count];
    memset(job, 0, sizeof(*job));
    job->arrived_us = f->now_us;
    job->wait_us = -1;
    job->is_long = Rng_Unit(&f->rng) * 100 < o->long_percent;
    job->run_us =
        1 + (int64_t)(exponential(&f->rng) *
                      (double)(job->is_long ? o->long_us : o->short_us));
    error = pow(o->declared_error, 2 * Rng_Unit(&f->rng) - 1);
    job->declared_long = (double)job->run_us * error > SHORT_LIMIT_US;
    job->urgent = Rng_Below(&f->rng, 50) == 0 && o->urgent && !job->is_long;
    job->kind = (uint8_t)Rng_Below(&f->rng, 6);
    if (!o->shared_kind && job->is_long) {
        job->kind = (uint8_t)(job->kind + 6);
    }
    return f->job_count++;
}

static void
start(Fleet *f, uint32_t id, uint32_t target, Handle attempt)
{
    const FleetOptions *o = f->options;
    Job *job = &f->jobs[id];
    Event event = {
        f->now_us + job->run_us, EVENT_END, id, target, attempt, false, false};

    f->result->attempts++;
    f->result->attempts_after += f->now_us >= o->fail_from_ms * 1000;
    if (job->wait_us < 0) {
        job->wait_us = f->now_us - job->arrived_us;
    }
    if (f->in_flight[target] - f->refusing[target] + o->foreign >= o->slots) {
        event.refused = true;
        event.at_us = f->now_us + 500;
        f->result->overrun++;
        f->refusing[target]++;
    }
    else if (target < o->failing && f->now_us >= o->fail_from_ms * 1000 &&
             Rng_Unit(&f->fail_rng) < o->fail_share) {
        event.failed = true;
        event.at_us = f->now_us + o->fail_us;
        f->result->attempts_failing++;
    }
    f->in_flight[target]++;
    f->busy_us += (double)(event.at_us - f->now_us);
    push_event(f, event);
}

/* The traffic core. */

static void
traffic_open(Fleet *f)
{
    TrafficOptions options = TRAFFIC_OPTIONS_DEFAULT;
    TrafficService service = {"s", "p", SHORT_LIMIT_US / 1000, 100000};
    TrafficTarget targets[FLEET_MAX_TARGETS];
    char names[FLEET_MAX_TARGETS][16];
    uint32_t i;

    options.seed = f->options->seed;
    options.retry_percent = f->options->retry_percent;
    options.long_share_percent = f->options->long_share_percent;
    f->traffic = Traffic_New(&options);
    for (i = 0; i < f->options->targets; i++) {
        TrafficTarget target = {
            names[i],          "p", "", "r", 1, TRAFFIC_TARGET_OPEN,
            f->options->slots, 64,  i};
        snprintf(names[i], sizeof(names[i]), "t%u", i);
        targets[i] = target;
    }
    Traffic_SetServices(f->traffic, 0, &service, 1);
    Traffic_SetTargets(f->traffic, 0, targets, f->options->targets);
}

static void
traffic_act(Fleet *f)
{
    TrafficAction action;

    while (Traffic_TakeAction(f->traffic, &action)) {
        switch (action.kind) {
        case TRAFFIC_DISPATCH:
            start(f, (uint32_t)action.request_cookie,
                  (uint32_t)action.target_cookie, action.attempt);
            break;
        case TRAFFIC_RECORD_INTENT:
            Traffic_ReportIntent(f->traffic, f->now_us / 1000, action.request,
                                 true);
            break;
        case TRAFFIC_REPLY:
            f->result->done += action.outcome == TRAFFIC_DONE;
            f->result->not_run += action.outcome == TRAFFIC_NOT_RUN;
            f->result->expired +=
                action.outcome == TRAFFIC_NOT_RUN && action.retry_ms == 0;
            f->result->unknown += action.outcome == TRAFFIC_UNKNOWN;
            f->result->unable += action.outcome == TRAFFIC_UNABLE;
            break;
        case TRAFFIC_STOP:
            break; /* the run goes on to its end */
        case TRAFFIC_THROTTLE:
            f->result->throttles++;
            break;
        }
    }
}

static void
traffic_submit(Fleet *f, uint32_t id)
{
    const Job *job = &f->jobs[id];
    char kind[2] = {(char)('a' + job->kind), '\0'};
    TrafficRequest request = {"s",
                              "c",
                              "t",
                              kind,
                              job->urgent          ? TRAFFIC_URGENT
                              : job->declared_long ? TRAFFIC_LONG
                                                   : TRAFFIC_SHORT,
                              f->now_us / 1000 + f->options->deadline_ms,
                              f->options->unrepeatable,
                              id};
    Handle handle;

    Traffic_SubmitRequest(f->traffic, f->now_us / 1000, &request, &handle);
    traffic_act(f);
}

/* The plain rules: queue 1 and slots 1 are for long work under the split. */

static void
fifo_push(Fifo *q, uint32_t id)
{
    if (q->first + q->count == q->capacity) {
        if (q->count > 0) {
            memmove(q->items, q->items + q->first,
                    q->count * sizeof(uint32_t));
        }
        q->first = 0;
        if (q->count * 2 >= q->capacity) {
            q->capacity = q->capacity ? q->capacity * 2 : 1024;
            q->items = realloc(q->items, q->capacity * sizeof(uint32_t));
        }
    }
    q->items[q->first + q->count++] = id;
}

static void
naive_open(Fleet *f)
{
    bool split = f->options->rule == FLEET_FIXED_SPLIT;
    uint32_t i;

    for (i = 0; i < f->options->targets; i++) {
        NaiveTarget target = {
            f->options->slots, 0, f->options->slots, 0, true, true};
        target.slots = split ? f->options->slots / 2 : f->options->slots;
        f->naive[0][i] = target;
        f->naive[1][i] = target;
    }
}

static int
naive_queue(const Fleet *f, uint32_t id)
{
    return f->options->rule == FLEET_FIXED_SPLIT && f->jobs[id].declared_long;
}

static void
naive_pump(Fleet *f)
{
    int q;

    for (q = 0; q < 2; q++) {
        while (f->fifo[q].count > 0) {
            uint32_t target =
                NaiveTargets_Pick(f->naive[q], f->options->targets, false);
            uint32_t id;
            if (target == UINT32_MAX) {
                break;
            }
            id = f->fifo[q].items[f->fifo[q].first++];
            f->fifo[q].count--;
            f->naive[q][target].in_flight++;
            start(f, id, target, HANDLE_NONE);
        }
    }
}

static void
on_end(Fleet *f, const Event *event)
{
    TrafficResult result = {TRAFFIC_OK, 0};

    f->in_flight[event->target]--;
    f->refusing[event->target] -= event->refused;
    if (f->traffic == NULL) {
        f->naive[naive_queue(f, event->job)][event->target].in_flight--;
        f->result->done += !event->failed;
        f->result->unknown += event->failed;
        naive_pump(f);
        return;
    }
    result.kind = event->refused  ? TRAFFIC_REFUSED
                  : event->failed ? TRAFFIC_FAILED
                                  : TRAFFIC_OK;
    result.run_us =
        event->failed ? f->options->fail_us : f->jobs[event->job].run_us;
    Traffic_ReportResult(f->traffic, f->now_us / 1000, event->attempt, result);
    traffic_act(f);
}

static void
on_arrival(Fleet *f)
{
    uint32_t id;

    if (f->now_us >= f->options->duration_ms * 1000) {
        return;
    }
    id = new_job(f);
    f->result->submitted++;
    f->result->submitted_after += f->now_us >= f->options->fail_from_ms * 1000;
    if (f->traffic != NULL) {
        traffic_submit(f, id);
    }
    else {
        fifo_push(&f->fifo[naive_queue(f, id)], id);
        naive_pump(f);
    }
    schedule_arrival(f);
}

static void
on_tick(Fleet *f)
{
    Event event = {0};

    event.at_us = f->now_us + TICK_US;
    event.kind = EVENT_TICK;
    if (f->traffic != NULL) {
        Traffic_Tick(f->traffic, f->now_us / 1000);
        traffic_act(f);
    }
    if (f->now_us <
        (f->options->duration_ms + f->options->deadline_ms) * 1000) {
        push_event(f, event);
    }
}

static int
by_value(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static void
measure(const Fleet *f, bool is_long, bool urgent, FleetWait *wait)
{
    int64_t *waits = calloc(f->job_count + 1, sizeof(*waits));
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < f->job_count; i++) {
        const Job *job = &f->jobs[i];
        if (job->is_long == is_long && job->urgent == urgent &&
            job->wait_us >= 0) {
            waits[count++] = job->wait_us;
        }
    }
    qsort(waits, count, sizeof(*waits), by_value);
    wait->count = count;
    if (count > 0) {
        wait->p50_us = waits[count / 2];
        wait->p99_us = waits[(uint64_t)count * 99 / 100];
        wait->p999_us = waits[(uint64_t)count * 999 / 1000];
        wait->max_us = waits[count - 1];
    }
    free(waits);
}

void
Fleet_Run(const FleetOptions *options, FleetResult *result)
{
    Fleet *f = calloc(1, sizeof(*f));
    Event first = {0};

    memset(result, 0, sizeof(*result));
    f->options = options;
    f->result = result;
    Rng_Seed(&f->rng, options->seed);
    Rng_Seed(&f->fail_rng, options->seed + 1);
    if (options->rule == FLEET_TRAFFIC) {
        traffic_open(f);
    }
    else {
        naive_open(f);
    }
    first.kind = EVENT_TICK;
    push_event(f, first);
    schedule_arrival(f);
    while (f->event_count > 0) {
        Event event = pop_event(f);
        f->now_us = event.at_us;
        switch (event.kind) {
        case EVENT_ARRIVAL:
            on_arrival(f);
            break;
        case EVENT_END:
            on_end(f, &event);
            break;
        case EVENT_TICK:
            on_tick(f);
            break;
        }
    }
    measure(f, false, false, &result->short_wait);
    measure(f, true, false, &result->long_wait);
    measure(f, false, true, &result->urgent_wait);
    result->busy = f->busy_us / ((double)options->duration_ms * 1000 *
                                 options->targets * options->slots);
    Traffic_Free(f->traffic);
    free(f->events);
    free(f->jobs);
    free(f->fifo[0].items);
    free(f->fifo[1].items);
    free(f);
}
