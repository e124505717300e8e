#include "common_announce.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "common.h"

#define ANNOUNCE_DEFAULT_INTERVAL_MS 500
#define ANNOUNCE_TIMEOUT_MS 2000

static void
send_announcement(CURL *curl, Announcer *announcer, const char *body)
{
    char url[2 * SETTINGS_HOST_BYTES + TARGET_TEXT_BYTES];
    Buf answer = BUF_INIT;
    json_t *json;
    json_t *interval;

    snprintf(url, sizeof(url), "http://%s:%d/v1/targets",
             announcer->control.host, announcer->control.port);
    if (Common_SendHttp(curl, "POST", url, body, ANNOUNCE_TIMEOUT_MS,
                        &answer) == 200) {
        json = json_loadb(answer.data, answer.len, 0, NULL);
        interval = json_object_get(json, "heartbeat_ms");
        if (json_is_integer(interval) && json_integer_value(interval) > 0) {
            announcer->interval_ms = (long)json_integer_value(interval);
        }
        json_decref(json);
    }
    Buf_Free(&answer);
}

static void
withdraw_target(CURL *curl, const Announcer *announcer, const char *name)
{
    char url[2 * SETTINGS_HOST_BYTES + TARGET_TEXT_BYTES];
    Buf answer = BUF_INIT;

    snprintf(url, sizeof(url), "http://%s:%d/v1/targets/%s",
             announcer->control.host, announcer->control.port, name);
    Common_SendHttp(curl, "DELETE", url, NULL, ANNOUNCE_TIMEOUT_MS, &answer);
    Buf_Free(&answer);
}

/* Announces all targets to one control port until targets->ended is set, then
 * withdraws them. */
static void *
run_announcer_thread(void *arg)
{
    Announcer *announcer = arg;
    Targets *targets = announcer->targets;
    CURL *curl = curl_easy_init();
    bool ended = false;
    int i;

    while (!ended) {
        struct timespec deadline;
        long interval;
        for (i = 0; !ended && i < targets->options.count; i++) {
            const Target *target = &targets->list[i];
            char *body = NULL;
            Targets_Lock(targets);
            if (target->daemon != NULL && !targets->ended) {
                body = Targets_BuildAnnouncement(targets, target);
            }
            ended = targets->ended;
            Targets_Unlock(targets);
            if (body != NULL) {
                send_announcement(curl, announcer, body);
            }
            free(body);
        }
        Targets_Lock(targets);
        interval = announcer->interval_ms;
        clock_gettime(CLOCK_REALTIME, &deadline);
        deadline.tv_nsec += (interval % 1000) * 1000000;
        deadline.tv_sec += interval / 1000 + deadline.tv_nsec / 1000000000;
        deadline.tv_nsec %= 1000000000;
        if (!targets->ended) {
            pthread_cond_timedwait(&targets->changed, &targets->mutex,
                                   &deadline);
        }
        ended = targets->ended;
        Targets_Unlock(targets);
    }
    for (i = 0; i < targets->options.count; i++) {
        withdraw_target(curl, announcer, targets->list[i].name);
    }
    curl_easy_cleanup(curl);
    return NULL;
}

void
Announcer_Start(Announcer *announcer, Targets *targets)
{
    announcer->targets = targets;
    announcer->interval_ms = ANNOUNCE_DEFAULT_INTERVAL_MS;
    if (pthread_create(&announcer->thread, NULL, run_announcer_thread,
                       announcer) != 0) {
        abort();
    }
}

void
Announcer_Join(Announcer *announcer)
{
    pthread_join(announcer->thread, NULL);
}
