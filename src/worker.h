/*
 * NAME
 *     worker - one thread that does one piece of blocking work at a time
 *
 * DESCRIPTION
 *     For a loop that must go on while a call waits, as for a sync of a file.
 *     The work runs on the thread; done is then called on the loop.
 *
 * ERRORS
 *     ST_IO  the thread cannot be created
 */
#ifndef COLTSFOOT_WORKER_H
#define COLTSFOOT_WORKER_H

#include "loop.h"
#include "status.h"

typedef struct Worker Worker;

Status Worker_New(Loop *loop, LoopFn work, LoopFn done, void *arg,
                  Worker **worker, ErrCtx *err);

/* Waits for work in progress, whose done may not be called any more. The loop
 * must not run afterwards. */
void Worker_Free(Worker *worker);

/* Begins the work. The last one must be done. */
void Worker_Run(Worker *worker);

#endif
