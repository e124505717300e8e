/*
 * NAME
 *     loop - single-threaded event loop over an APR pollset
 *
 * DESCRIPTION
 *     Dispatches socket events, timers and callbacks posted by other threads.
 *     Only Loop_Post, Loop_Stop and the clock functions may be called from
 *     threads other than the one that runs the loop. Times are of the
 *     monotonic clock, in milliseconds except for Loop_NowUs.
 */
#ifndef COLTSFOOT_LOOP_H
#define COLTSFOOT_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "status.h"

#define LOOP_READ 1
#define LOOP_WRITE 2

typedef struct Loop Loop;
typedef struct LoopWatch LoopWatch;
typedef struct LoopTimer LoopTimer;

typedef void (*LoopFdFn)(void *arg, int events);
typedef void (*LoopFn)(void *arg);

int64_t Loop_NowMs(void);
int64_t Loop_NowUs(void);

Loop *Loop_New(ErrCtx *err);
void Loop_Free(Loop *loop);

/* Runs until Loop_Stop. */
void Loop_Run(Loop *loop);

/* Makes Loop_Run return; callable from any thread. */
void Loop_Stop(Loop *loop);

/* Watches a descriptor for events, a mask of LOOP_READ and LOOP_WRITE. Errors
 * and hang-ups are reported as both. Returns NULL when out of memory. */
LoopWatch *Loop_Watch(Loop *loop, int fd, int events, LoopFdFn fn, void *arg);
void Loop_SetEvents(LoopWatch *watch, int events);

/* Stops watching; the descriptor stays open. */
void Loop_Unwatch(LoopWatch *watch);

/* Creates a stopped timer. */
LoopTimer *Loop_NewTimer(Loop *loop, LoopFn fn, void *arg);

/* Arms a timer to fire in delay_ms; it repeats if period_ms is above 0. */
void Loop_Arm(LoopTimer *timer, int64_t delay_ms, int64_t period_ms);
void Loop_Disarm(LoopTimer *timer);
void Loop_FreeTimer(LoopTimer *timer);

/* Runs fn on the loop's thread; callable from any thread. Callbacks posted by
 * one thread run in the order of posting. */
void Loop_Post(Loop *loop, LoopFn fn, void *arg);

/* Adds a function that runs in each event loop iteration before the wait. If
 * it returns true, it has more work pending and the wait does not block. */
typedef bool (*LoopPrepareFn)(void *arg);
void Loop_AddPrepareHook(Loop *loop, LoopPrepareFn fn, void *arg);

/* Adds a function that runs in each event loop iteration after the wait and
 * before the callbacks of its events. */
void Loop_AddWakeHook(Loop *loop, LoopFn fn, void *arg);

#endif
