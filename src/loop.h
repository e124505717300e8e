/*
 * NAME
 *     loop - event loop of one thread over an APR pollset
 *
 * DESCRIPTION
 *     Sockets, timers and a mailbox for other threads. All calls but
 *     Loop_Post and Loop_Stop belong to the thread that runs the loop.
 *     Times are milliseconds of the monotonic clock.
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

/* Watches a descriptor for LOOP_READ and LOOP_WRITE. Errors and hang-ups are
 * reported as both. Returns NULL when the pollset refuses. */
LoopWatch *Loop_Watch(Loop *loop, int fd, int events, LoopFdFn fn, void *arg);
void Loop_SetEvents(LoopWatch *watch, int events);

/* Stops watching; the descriptor stays open. */
void Loop_Unwatch(LoopWatch *watch);

/* Creates a stopped timer. */
LoopTimer *Loop_NewTimer(Loop *loop, LoopFn fn, void *arg);

/* Arms a timer in ms from now; every > 0 repeats it. */
void Loop_Arm(LoopTimer *timer, int64_t ms, int64_t every);
void Loop_Disarm(LoopTimer *timer);
void Loop_FreeTimer(LoopTimer *timer);

/* Runs fn on the loop's thread; callable from any thread. Posts of one thread
 * run in their order. */
void Loop_Post(Loop *loop, LoopFn fn, void *arg);

/* Adds a function that runs before each wait. It returns true when it has
 * more to do at once, so that the wait does not block. */
typedef bool (*LoopPollFn)(void *arg);
void Loop_AddPoll(Loop *loop, LoopPollFn fn, void *arg);

#endif
