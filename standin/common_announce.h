/*
 * NAME
 *     common_announce - announcements of targets to a control port
 *
 * DESCRIPTION
 *     Each control port has its own thread, so that an unresponsive entry VM
 *     does not delay announcements to the others.
 */
#ifndef COLTSFOOT_STANDIN_COMMON_ANNOUNCE_H
#define COLTSFOOT_STANDIN_COMMON_ANNOUNCE_H

#include <pthread.h>

#include "common_targets.h"
#include "settings.h"

typedef struct Announcer {
    pthread_t thread;
    Targets *targets;
    SettingsAddress control;
    long interval_ms; /* heartbeat_ms of the latest answer */
} Announcer;

/* Starts the announcer's thread. Its control member must be set. */
void Announcer_Start(Announcer *announcer, Targets *targets);

/* Waits for the announcer's thread, which withdraws the targets and ends once
 * targets->ended is set. */
void Announcer_Join(Announcer *announcer);

#endif
