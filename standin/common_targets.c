#include "common_targets.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "rng.h"

/* Time by which a checkpoint delays the end of a run. */
#define CHECKPOINT_DELAY_US 500000

void
Targets_Lock(Targets *targets)
{
    pthread_mutex_lock(&targets->mutex);
}

void
Targets_Unlock(Targets *targets)
{
    pthread_mutex_unlock(&targets->mutex);
}

void
Targets_Init(Targets *targets, const TargetOptions *options)
{
    int64_t now_ms = Common_WallClockMs();
    Rng rng;
    int i;

    memset(targets, 0, sizeof(*targets));
    targets->options = *options;
    pthread_mutex_init(&targets->mutex, NULL);
    pthread_cond_init(&targets->changed, NULL);
    targets->list = calloc((size_t)options->count, sizeof(Target));
    targets->by_id = json_object();
    targets->by_caller = json_object();
    Rng_Seed(&rng, Rng_SystemSeed());
    snprintf(targets->process, sizeof(targets->process), "%016" PRIx64,
             Rng_Next(&rng));
    targets->random_state = options->seed;
    for (i = 0; i < options->count; i++) {
        Target *target = &targets->list[i];
        if (options->count == 1) {
            snprintf(target->name, sizeof(target->name), "%s", options->name);
            snprintf(target->rack, sizeof(target->rack), "%s", options->rack);
        }
        else {
            snprintf(target->name, sizeof(target->name), "%s-%d",
                     options->name, i + 1);
            snprintf(target->rack, sizeof(target->rack), "%s-%d",
                     options->rack, i / options->per_rack + 1);
        }
        target->port = options->port + i;
        target->incarnation = now_ms;
        target->fail_all = options->fail_all;
        target->slow_factor = options->slow_factor;
    }
}

static void
increment_count(json_t *counts, const char *key)
{
    json_t *value = json_object_get(counts, key);

    if (value != NULL) {
        json_integer_set(value, json_integer_value(value) + 1);
    }
    else {
        json_object_set_new(counts, key, json_integer(1));
    }
}

static int64_t
choose_run_time_us(Targets *targets, const Target *target, Run *run)
{
    const TargetOptions *options = &targets->options;
    int64_t time_us = (int64_t)options->run_ms * 1000;
    Rng rng;

    if (options->run_from_body) {
        long long requested_us;
        if (sscanf(Buf_Text(&run->body), "run_us=%lld;", &requested_us) == 1 &&
            requested_us >= 0) {
            time_us = requested_us;
        }
    }
    time_us = (int64_t)((double)time_us * target->slow_factor);
    if (target->fail_all) {
        time_us = 0;
    }
    if (options->late_percent > 0) {
        rng.state = targets->random_state;
        if (Rng_Below(&rng, 100) < (uint32_t)options->late_percent) {
            time_us = ((int64_t)run->deadline_ms + 200) * 1000;
        }
        targets->random_state = rng.state;
    }
    return time_us;
}

/* Updates mixed and switches, which reveal a target in two pools at once. */
static void
count_service_change(Target *target, const Run *run)
{
    const Run *other = target->runs;

    while (other != NULL && strcmp(other->service, run->service) == 0) {
        other = other->next;
    }
    target->mixed += other != NULL ? 1 : 0;
    if (target->last_service[0] != '\0' &&
        strcmp(target->last_service, run->service) != 0) {
        target->switches++;
    }
    memcpy(target->last_service, run->service, sizeof(run->service));
}

void
Targets_UpdateMostUnavailable(Targets *targets)
{
    int count = 0;
    int i;

    for (i = 0; i < targets->options.count; i++) {
        const Target *target = &targets->list[i];
        count += target->draining || target->rebooting ? 1 : 0;
    }
    if (count > targets->most_unavailable) {
        targets->most_unavailable = count;
    }
}

bool
Targets_StartRun(Targets *targets, Target *target, Run *run)
{
    char key[2 * TARGET_TEXT_BYTES + 2];
    int64_t now = Common_NowUs();

    if (targets->leaving_us != 0 &&
        now - targets->leaving_us > TARGET_DEPARTURE_BOUND_US) {
        target->after_departure++;
    }
    if (target->draining || target->rebooting ||
        target->in_flight >= targets->options.slots) {
        target->refused++;
        return false;
    }
    count_service_change(target, run);
    run->due_us = now + choose_run_time_us(targets, target, run);
    run->next = target->runs;
    target->runs = run;
    target->in_flight++;
    target->executions++;
    if (target->in_flight > target->highest) {
        target->highest = target->in_flight;
    }
    increment_count(targets->by_id, run->id);
    snprintf(key, sizeof(key), "%s/%s", run->caller, run->id);
    increment_count(targets->by_caller, key);
    return true;
}

void
Targets_EndRun(Target *target, Run *run)
{
    Run **link = &target->runs;

    while (*link != NULL && *link != run) {
        link = &(*link)->next;
    }
    if (*link != NULL) {
        *link = run->next;
        target->in_flight--;
    }
    run->ended = true;
}

int
Targets_CountInFlight(const Targets *targets)
{
    int total = 0;
    int i;

    for (i = 0; i < targets->options.count; i++) {
        total += targets->list[i].in_flight;
    }
    return total;
}

json_t *
Targets_BuildCounts(const Targets *targets)
{
    json_t *list = json_array();
    int i;

    for (i = 0; i < targets->options.count; i++) {
        const Target *target = &targets->list[i];
        json_array_append_new(
            list,
            json_pack("{s:s,s:i,s:I,s:I,s:I,s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I,"
                      "s:s}",
                      "name", target->name, "port", target->port, "executions",
                      (json_int_t)target->executions, "refused",
                      (json_int_t)target->refused, "after_departure",
                      (json_int_t)target->after_departure, "in_flight",
                      target->in_flight, "highest", target->highest,
                      "highest_connections", target->highest_connections,
                      "incarnation", (json_int_t)target->incarnation,
                      "reboots", (json_int_t)target->reboots, "cut_off",
                      (json_int_t)target->cut_off, "mixed",
                      (json_int_t)target->mixed, "switches",
                      (json_int_t)target->switches, "service",
                      target->last_service));
    }
    return json_pack("{s:s,s:i,s:o,s:O,s:O}", "process", targets->process,
                     "most_unavailable", targets->most_unavailable, "targets",
                     list, "by_id", targets->by_id, "by_caller",
                     targets->by_caller);
}

char *
Targets_BuildAnnouncement(const Targets *targets, const Target *target)
{
    const TargetOptions *options = &targets->options;
    char address[TARGET_TEXT_BYTES];
    json_t *json;
    char *text;

    snprintf(address, sizeof(address), "%s:%d", options->host, target->port);
    json = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:i,s:i,s:i,s:i,s:s}", "name",
        target->name, "data_centre", options->data_centre, "rack",
        target->rack, "address", address, "platform", address, "incarnation",
        (json_int_t)target->incarnation, "slots", options->slots,
        "connections", options->connections, "cores", options->cores,
        "memory_mb", options->memory_mb, "accelerators", options->accelerators,
        "state", targets->leaving_us != 0 ? "leaving" : "up");
    if (options->pool != NULL) {
        json_object_set_new(json, "pool", json_string(options->pool));
    }
    text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

bool
Targets_ControlTask(Target *target, const char *id, const char *operation)
{
    int64_t now = Common_NowUs();
    bool found = false;
    Run *run;

    for (run = target->runs; run != NULL; run = run->next) {
        if (strcmp(run->id, id) != 0 && strcmp(run->attempt, id) != 0) {
            continue;
        }
        if (strcmp(operation, "stop") == 0) {
            run->stopped = true;
            run->due_us = now;
        }
        else if (strcmp(operation, "throttle") == 0) {
            run->due_us += run->due_us > now ? run->due_us - now : 0;
        }
        else if (strcmp(operation, "checkpoint") == 0) {
            run->due_us += CHECKPOINT_DELAY_US;
        }
        else {
            return false;
        }
        found = true;
    }
    return found;
}
