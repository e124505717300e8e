/*
 * NAME
 *     worker - a thread that runs one blocking task at a time
 *
 * DESCRIPTION
 *     Keeps the event loop running during a blocking call such as a file sync.
 *     The work callback runs on the thread; done is then called on the loop.
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

/* Waits until the work in progress ends. Its done callback may never be
 * called, and the loop must not run afterwards. */
void Worker_Free(Worker *worker);

/* Starts the work. Call it only after the done callback of the previous run.
 */
void Worker_Run(Worker *worker);

#endif
