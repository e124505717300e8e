/*
 * NAME
 *     signals - signals of the process as events of a loop
 */
#ifndef COLTSFOOT_SIGNALS_H
#define COLTSFOOT_SIGNALS_H

#include "loop.h"
#include "status.h"

typedef struct Signals Signals;

/* Calls stop on SIGTERM and SIGINT, and reload on SIGHUP, on the loop's
 * thread. Without reload SIGHUP has its default effect. SIGPIPE is ignored.
 * One for each process. */
Signals *Signals_New(Loop *loop, LoopFn stop, LoopFn reload, void *arg,
                     ErrCtx *err);
void Signals_Free(Signals *signals);

#endif
