/*
 * NAME
 *     signals - delivers signals of the process to an event loop
 */
#ifndef COLTSFOOT_SIGNALS_H
#define COLTSFOOT_SIGNALS_H

#include "loop.h"
#include "status.h"

typedef struct Signals Signals;

/* Holds SIGHUP back until Signals_New, which a process calls only once its
 * loop exists. */
void Signals_HoldReload(void);

/* Calls stop on SIGTERM and SIGINT, and reload on SIGHUP, on the loop's
 * thread. If reload is NULL, SIGHUP keeps its default action. Ignores SIGPIPE.
 * A process may have one Signals at a time. */
Signals *Signals_New(Loop *loop, LoopFn stop, LoopFn reload, void *arg,
                     ErrCtx *err);
void Signals_Free(Signals *signals);

#endif
