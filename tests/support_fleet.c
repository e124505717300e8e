#include "support_fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rng.h"
#include "support_naive.h"
#include "traffic.h"

#define FLEET_MAX_TARGETS 64
#define FLEET_TICK_US 20000
/* Longest run time of short work, both declared and observed. */
#define FLEET_SHORT_LIMIT_US 100000

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
    int64_t wait_us; /* time to the first dispatch; -1 before it */
    bool is_long;
    bool declared_long;
    bool urgent;
    uint8_t kind;
} Job;

typedef struct JobQueue {
    uint32_t *items;
    uint32_t first;
    uint32_t count;
    uint32_t capacity;
} JobQueue;

typedef struct Fleet {
    const FleetOptions *options;
    FleetResult *result;
    Rng rng;
    Rng fail_rng;
    int64_t now_us;
    Event *events; /* binary min-heap ordered by at_us */
    uint32_t event_count;
    uint32_t event_capacity;
    Job *jobs;
    uint32_t job_count;
    uint32_t job_capacity;
    uint32_t in_flight[FLEET_MAX_TARGETS];
    uint32_t refusals_in_flight[FLEET_MAX_TARGETS]; /* part of in_flight */
    double busy_us;
    Traffic *traffic;
    /* Under FLEET_FIXED_SPLIT, queue 1 and target set 1 serve long work. */
    JobQueue queues[2];
    NaiveTarget naive[2][FLEET_MAX_TARGETS];
} Fleet;

static void
push_event(Fleet *fleet, Event event)
{
    uint32_t i = fleet->event_count++;

    if (fleet->event_count > fleet->event_capacity) {
        fleet->event_capacity =
            fleet->event_capacity ? fleet->event_capacity * 2 : 1024;
        fleet->events =
            realloc(fleet->events, fleet->event_capacity * sizeof(Event));
    }
    while (i > 0 && fleet->events[(i - 1) / 2].at_us > event.at_us) {
        fleet->events[i] = fleet->events[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    fleet->events[i] = event;
}

static Event
pop_event(Fleet *fleet)
{
    Event earliest = fleet->events[0];
    Event tail = fleet->events[--fleet->event_count];
    uint32_t i = 0;

    for (;;) {
        uint32_t child = 2 * i + 1;
        if (child >= fleet->event_count) {
            break;
        }
        if (child + 1 < fleet->event_count &&
            fleet->events[child + 1].at_us < fleet->events[child].at_us) {
            child++;
        }
        if (fleet->events[child].at_us >= tail.at_us) {
            break;
        }
        fleet->events[i] = fleet->events[child];
        i = child;
    }
    fleet->events[i] = tail;
    return earliest;
}

static double
draw_exponential(Rng *rng)
{
    return -log(1.0 - Rng_Unit(rng));
}

static void
schedule_arrival(Fleet *fleet)
{
    const FleetOptions *options = fleet->options;
    double share = options->long_percent / 100.0;
    double mean_us = share * (double)options->long_us +
                     (1.0 - share) * (double)options->short_us;
    double load = options->load;
    Event event = {0};

    if (options->peaks) {
        load *= fleet->now_us / 1000000 % 10 < 2 ? 2.0 : 0.75;
    }
    event.at_us =
        fleet->now_us + (int64_t)(draw_exponential(&fleet->rng) * mean_us /
                                  (load * options->targets * options->slots));
    event.kind = EVENT_ARRIVAL;
    push_event(fleet, event);
}

static uint32_t
add_job(Fleet *fleet)
{
    const FleetOptions *options = fleet->options;
    double error;
    Job *job;

    if (fleet->job_count == fleet->job_capacity) {
        fleet->job_capacity =
            fleet->job_capacity ? fleet->job_capacity * 2 : 4096;
        fleet->jobs = realloc(fleet->jobs, fleet->job_capacity * sizeof(Job));
    }
    job = &fleet->jobs[fleet->job_count];
    memset(job, 0, sizeof(*job));
    job->arrived_us = fleet->now_us;
    job->wait_us = -1;
    job->is_long = Rng_Unit(&fleet->rng) * 100 < options->long_percent;
    job->run_us = 1 + (int64_t)(draw_exponential(&fleet->rng) *
                                (double)(job->is_long ? options->long_us
                                                      : options->short_us));
    error = pow(options->declared_error, 2 * Rng_Unit(&fleet->rng) - 1);
    job->declared_long = (double)job->run_us * error > FLEET_SHORT_LIMIT_US;
    job->urgent =
        Rng_Below(&fleet->rng, 50) == 0 && options->urgent && !job->is_long;
    job->kind = (uint8_t)Rng_Below(&fleet->rng, 6);
    if (!options->shared_kind && job->is_long) {
        job->kind = (uint8_t)(job->kind + 6);
    }
    return fleet->job_count++;
}

static void
start_attempt(Fleet *fleet, uint32_t id, uint32_t target, Handle attempt)
{
    const FleetOptions *options = fleet->options;
    Job *job = &fleet->jobs[id];
    Event event = {fleet->now_us + job->run_us,
                   EVENT_END,
                   id,
                   target,
                   attempt,
                   false,
                   false};

    fleet->result->attempts++;
    fleet->result->attempts_after_failure +=
        fleet->now_us >= options->fail_from_ms * 1000;
    if (job->wait_us < 0) {
        job->wait_us = fleet->now_us - job->arrived_us;
    }
    if (fleet->in_flight[target] - fleet->refusals_in_flight[target] +
            options->external_slots >=
        options->slots) {
        event.refused = true;
        event.at_us = fleet->now_us + 500;
        fleet->result->refused_attempts++;
        fleet->refusals_in_flight[target]++;
    }
    else if (target < options->failing &&
             fleet->now_us >= options->fail_from_ms * 1000 &&
             Rng_Unit(&fleet->fail_rng) < options->fail_share) {
        event.failed = true;
        event.at_us = fleet->now_us + options->fail_us;
        fleet->result->attempts_on_failing++;
    }
    fleet->in_flight[target]++;
    fleet->busy_us += (double)(event.at_us - fleet->now_us);
    push_event(fleet, event);
}

/* --- policy: the traffic core --- */

static void
init_traffic(Fleet *fleet)
{
    TrafficOptions options = TRAFFIC_OPTIONS_DEFAULT;
    TrafficService service = {"s", "p", FLEET_SHORT_LIMIT_US / 1000, 100000};
    TrafficTarget targets[FLEET_MAX_TARGETS];
    char names[FLEET_MAX_TARGETS][16];
    uint32_t i;

    options.seed = fleet->options->seed;
    options.retry_percent = fleet->options->retry_percent;
    options.long_share_percent = fleet->options->long_share_percent;
    fleet->traffic = Traffic_New(&options);
    for (i = 0; i < fleet->options->targets; i++) {
        TrafficTarget target = {names[i],
                                "p",
                                "",
                                "r",
                                1,
                                TRAFFIC_TARGET_OPEN,
                                fleet->options->slots,
                                64,
                                i};
        snprintf(names[i], sizeof(names[i]), "t%u", i);
        targets[i] = target;
    }
    Traffic_SetServices(fleet->traffic, 0, &service, 1);
    Traffic_SetTargets(fleet->traffic, 0, targets, fleet->options->targets);
}

static void
perform_actions(Fleet *fleet)
{
    TrafficAction action;

    while (Traffic_TakeAction(fleet->traffic, &action)) {
        switch (action.kind) {
        case TRAFFIC_DISPATCH:
            start_attempt(fleet, (uint32_t)action.request_cookie,
                          (uint32_t)action.target_cookie, action.attempt);
            break;
        case TRAFFIC_RECORD_INTENT:
            Traffic_ReportIntent(fleet->traffic, fleet->now_us / 1000,
                                 action.request, true);
            break;
        case TRAFFIC_REPLY:
            fleet->result->done += action.outcome == TRAFFIC_DONE;
            fleet->result->not_run += action.outcome == TRAFFIC_NOT_RUN;
            fleet->result->expired +=
                action.outcome == TRAFFIC_NOT_RUN && action.retry_ms == 0;
            fleet->result->unknown += action.outcome == TRAFFIC_UNKNOWN;
            fleet->result->unable += action.outcome == TRAFFIC_UNABLE;
            break;
        case TRAFFIC_STOP:
            break; /* targets ignore the stop: the attempt runs to its end */
        case TRAFFIC_THROTTLE:
            fleet->result->throttles++;
            break;
        }
    }
}

static void
submit_request(Fleet *fleet, uint32_t id)
{
    const Job *job = &fleet->jobs[id];
    char kind[2] = {(char)('a' + job->kind), '\0'};
    TrafficRequest request = {"s",
                              "c",
                              "t",
                              kind,
                              job->urgent          ? TRAFFIC_URGENT
                              : job->declared_long ? TRAFFIC_LONG
                                                   : TRAFFIC_SHORT,
                              fleet->now_us / 1000 +
                                  fleet->options->deadline_ms,
                              fleet->options->unrepeatable,
                              id};
    Handle handle;

    Traffic_SubmitRequest(fleet->traffic, fleet->now_us / 1000, &request,
                          &handle);
    perform_actions(fleet);
}

/* --- policies: FIFO and fixed split --- */

static void
push_job(JobQueue *queue, uint32_t id)
{
    if (queue->first + queue->count == queue->capacity) {
        if (queue->count > 0) {
            memmove(queue->items, queue->items + queue->first,
                    queue->count * sizeof(uint32_t));
        }
        queue->first = 0;
        if (queue->count * 2 >= queue->capacity) {
            queue->capacity = queue->capacity ? queue->capacity * 2 : 1024;
            queue->items =
                realloc(queue->items, queue->capacity * sizeof(uint32_t));
        }
    }
    queue->items[queue->first + queue->count++] = id;
}

static void
init_naive_targets(Fleet *fleet)
{
    bool split = fleet->options->policy == FLEET_FIXED_SPLIT;
    uint32_t i;

    for (i = 0; i < fleet->options->targets; i++) {
        NaiveTarget target = {
            fleet->options->slots, 0, fleet->options->slots, 0, true, true};
        target.slots =
            split ? fleet->options->slots / 2 : fleet->options->slots;
        fleet->naive[0][i] = target;
        fleet->naive[1][i] = target;
    }
}

static int
get_naive_queue(const Fleet *fleet, uint32_t id)
{
    return fleet->options->policy == FLEET_FIXED_SPLIT &&
           fleet->jobs[id].declared_long;
}

static void
dispatch_naive(Fleet *fleet)
{
    int queue;

    for (queue = 0; queue < 2; queue++) {
        while (fleet->queues[queue].count > 0) {
            uint32_t target = NaiveTargets_SelectTarget(
                fleet->naive[queue], fleet->options->targets, false);
            uint32_t id;
            if (target == UINT32_MAX) {
                break;
            }
            id = fleet->queues[queue].items[fleet->queues[queue].first++];
            fleet->queues[queue].count--;
            fleet->naive[queue][target].in_flight++;
            start_attempt(fleet, id, target, HANDLE_NONE);
        }
    }
}

static void
on_attempt_end(Fleet *fleet, const Event *event)
{
    TrafficResult result = {TRAFFIC_OK, 0};

    fleet->in_flight[event->target]--;
    fleet->refusals_in_flight[event->target] -= event->refused;
    if (fleet->traffic == NULL) {
        fleet->naive[get_naive_queue(fleet, event->job)][event->target]
            .in_flight--;
        fleet->result->done += !event->failed;
        fleet->result->unknown += event->failed;
        dispatch_naive(fleet);
        return;
    }
    result.kind = event->refused  ? TRAFFIC_REFUSED
                  : event->failed ? TRAFFIC_FAILED
                                  : TRAFFIC_OK;
    result.run_us = event->failed ? fleet->options->fail_us
                                  : fleet->jobs[event->job].run_us;
    Traffic_ReportResult(fleet->traffic, fleet->now_us / 1000, event->attempt,
                         result);
    perform_actions(fleet);
}

static void
on_arrival(Fleet *fleet)
{
    uint32_t id;

    if (fleet->now_us >= fleet->options->duration_ms * 1000) {
        return;
    }
    id = add_job(fleet);
    fleet->result->submitted++;
    fleet->result->submitted_after_failure +=
        fleet->now_us >= fleet->options->fail_from_ms * 1000;
    if (fleet->traffic != NULL) {
        submit_request(fleet, id);
    }
    else {
        push_job(&fleet->queues[get_naive_queue(fleet, id)], id);
        dispatch_naive(fleet);
    }
    schedule_arrival(fleet);
}

static void
on_tick(Fleet *fleet)
{
    Event event = {0};

    event.at_us = fleet->now_us + FLEET_TICK_US;
    event.kind = EVENT_TICK;
    if (fleet->traffic != NULL) {
        Traffic_Tick(fleet->traffic, fleet->now_us / 1000);
        perform_actions(fleet);
    }
    if (fleet->now_us <
        (fleet->options->duration_ms + fleet->options->deadline_ms) * 1000) {
        push_event(fleet, event);
    }
}

static int
compare_int64(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static void
compute_waits(const Fleet *fleet, bool is_long, bool urgent, FleetWait *wait)
{
    int64_t *waits = calloc(fleet->job_count + 1, sizeof(*waits));
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < fleet->job_count; i++) {
        const Job *job = &fleet->jobs[i];
        if (job->is_long == is_long && job->urgent == urgent &&
            job->wait_us >= 0) {
            waits[count++] = job->wait_us;
        }
    }
    qsort(waits, count, sizeof(*waits), compare_int64);
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
    Fleet *fleet = calloc(1, sizeof(*fleet));
    Event first = {0};

    memset(result, 0, sizeof(*result));
    fleet->options = options;
    fleet->result = result;
    Rng_Seed(&fleet->rng, options->seed);
    Rng_Seed(&fleet->fail_rng, options->seed + 1);
    if (options->policy == FLEET_TRAFFIC) {
        init_traffic(fleet);
    }
    else {
        init_naive_targets(fleet);
    }
    first.kind = EVENT_TICK;
    push_event(fleet, first);
    schedule_arrival(fleet);
    while (fleet->event_count > 0) {
        Event event = pop_event(fleet);
        fleet->now_us = event.at_us;
        switch (event.kind) {
        case EVENT_ARRIVAL:
            on_arrival(fleet);
            break;
        case EVENT_END:
            on_attempt_end(fleet, &event);
            break;
        case EVENT_TICK:
            on_tick(fleet);
            break;
        }
    }
    compute_waits(fleet, false, false, &result->short_wait);
    compute_waits(fleet, true, false, &result->long_wait);
    compute_waits(fleet, false, true, &result->urgent_wait);
    result->busy = fleet->busy_us / ((double)options->duration_ms * 1000 *
                                     options->targets * options->slots);
    Traffic_Free(fleet->traffic);
    free(fleet->events);
    free(fleet->jobs);
    free(fleet->queues[0].items);
    free(fleet->queues[1].items);
    free(fleet);
}
