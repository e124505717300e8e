/*
 * NAME
 *     common_announce - announces the targets of a process to a control port
 *
 * DESCRIPTION
 *     One thread for each control port, so that a frozen entry VM does not
 *     delay announcements to the others.
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
    long interval_ms; /* as the control port asks */
} Announcer;

/* Starts the thread; control must be set. */
void Announcer_Start(Announcer *announcer, Targets *targets);

/* Waits for the thread, which ends once targets->ended is set and the
 * targets are withdrawn. */
void Announcer_Join(Announcer *announcer);

#endif
