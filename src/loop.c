#include "loop.h"

#include <stdlib.h>
#include <time.h>

#include <apr_poll.h>
#include <apr_pools.h>
#include <apr_portable.h>
#include <apr_thread_mutex.h>

#include "mem.h"

#define LOOP_MAX_DESCRIPTORS 8192
#define LOOP_MAX_HOOKS 8 /* of each kind */
#define LOOP_MAX_WAIT_MS 1000

struct LoopWatch {
    Loop *loop;
    apr_pool_t *pool;
    apr_pollfd_t pollfd;
    int events;
    LoopFdFn fn;
    void *arg;
    bool removed;
    LoopWatch *next_removed;
};

struct LoopTimer {
    Loop *loop;
    LoopFn fn;
    void *arg;
    int64_t due_ms; /* 0 while disarmed */
    int64_t period_ms;
    LoopTimer *next;
    bool removed;
};

typedef struct Post {
    LoopFn fn;
    void *arg;
    struct Post *next;
} Post;

struct Loop {
    apr_pool_t *pool;
    apr_pollset_t *pollset;
    apr_thread_mutex_t *mutex; /* guards the posts and stopping */
    Post *posts_head;
    Post *posts_tail;
    bool stopping;
    LoopTimer *timers;
    LoopWatch *removed_watches;
    LoopPrepareFn prepare_fns[LOOP_MAX_HOOKS];
    void *prepare_args[LOOP_MAX_HOOKS];
    int prepare_count;
    LoopFn wake_fns[LOOP_MAX_HOOKS];
    void *wake_args[LOOP_MAX_HOOKS];
    int wake_count;
};

int64_t
Loop_NowUs(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
Loop_NowMs(void)
{
    return Loop_NowUs() / 1000;
}

Loop *
Loop_New(ErrCtx *err)
{
    Loop *loop = calloc(1, sizeof(*loop));

    if (loop == NULL || apr_pool_create(&loop->pool, NULL) != APR_SUCCESS) {
        free(loop);
        Err_Set(err, ST_NO_MEMORY, "no memory for an event loop");
        return NULL;
    }
    if (apr_pollset_create(&loop->pollset, LOOP_MAX_DESCRIPTORS, loop->pool,
                           APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) !=
            APR_SUCCESS ||
        apr_thread_mutex_create(&loop->mutex, APR_THREAD_MUTEX_DEFAULT,
                                loop->pool) != APR_SUCCESS) {
        Err_Set(err, ST_IO, "cannot create the pollset");
        apr_pool_destroy(loop->pool);
        free(loop);
        return NULL;
    }
    return loop;
}

static void
free_removed(Loop *loop)
{
    LoopTimer **at = &loop->timers;

    while (loop->removed_watches != NULL) {
        LoopWatch *watch = loop->removed_watches;
        loop->removed_watches = watch->next_removed;
        apr_pool_destroy(watch->pool);
        free(watch);
    }
    while (*at != NULL) {
        LoopTimer *timer = *at;
        if (timer->removed) {
            *at = timer->next;
            free(timer);
        }
        else {
            at = &timer->next;
        }
    }
}

void
Loop_Free(Loop *loop)
{
    LoopTimer *timer;

    if (loop == NULL) {
        return;
    }
    for (timer = loop->timers; timer != NULL; timer = timer->next) {
        timer->removed = true;
    }
    while (loop->posts_head != NULL) {
        Post *post = loop->posts_head;
        loop->posts_head = post->next;
        free(post);
    }
    free_removed(loop);
    apr_pool_destroy(loop->pool);
    free(loop);
}

LoopWatch *
Loop_Watch(Loop *loop, int fd, int events, LoopFdFn fn, void *arg)
{
    LoopWatch *watch = calloc(1, sizeof(*watch));
    apr_socket_t *socket = NULL;
    apr_os_sock_t os_socket = fd;

    if (watch == NULL) {
        return NULL;
    }
    if (apr_pool_create(&watch->pool, NULL) != APR_SUCCESS) {
        free(watch);
        return NULL;
    }
    watch->loop = loop;
    watch->fn = fn;
    watch->arg = arg;
    if (apr_os_sock_put(&socket, &os_socket, watch->pool) != APR_SUCCESS) {
        apr_pool_destroy(watch->pool);
        free(watch);
        return NULL;
    }
    watch->pollfd.p = watch->pool;
    watch->pollfd.desc_type = APR_POLL_SOCKET;
    watch->pollfd.desc.s = socket;
    watch->pollfd.client_data = watch;
    Loop_SetEvents(watch, events);
    return watch;
}

void
Loop_SetEvents(LoopWatch *watch, int events)
{
    if (watch->events == events) {
        return;
    }
    if (watch->events != 0) {
        apr_pollset_remove(watch->loop->pollset, &watch->pollfd);
    }
    watch->events = events;
    watch->pollfd.reqevents = 0;
    if (events & LOOP_READ) {
        watch->pollfd.reqevents |= APR_POLLIN;
    }
    if (events & LOOP_WRITE) {
        watch->pollfd.reqevents |= APR_POLLOUT;
    }
    if (events != 0) {
        apr_pollset_add(watch->loop->pollset, &watch->pollfd);
    }
}

void
Loop_Unwatch(LoopWatch *watch)
{
    if (watch == NULL || watch->removed) {
        return;
    }
    Loop_SetEvents(watch, 0);
    /* Events of the current iteration may still refer to the watch. */
    watch->removed = true;
    watch->next_removed = watch->loop->removed_watches;
    watch->loop->removed_watches = watch;
}

LoopTimer *
Loop_NewTimer(Loop *loop, LoopFn fn, void *arg)
{
    LoopTimer *timer = calloc(1, sizeof(*timer));

    if (timer != NULL) {
        timer->loop = loop;
        timer->fn = fn;
        timer->arg = arg;
        timer->next = loop->timers;
        loop->timers = timer;
    }
    return timer;
}

void
Loop_Arm(LoopTimer *timer, int64_t delay_ms, int64_t period_ms)
{
    timer->due_ms = Loop_NowMs() + (delay_ms > 0 ? delay_ms : 0);
    timer->period_ms = period_ms;
}

void
Loop_Disarm(LoopTimer *timer)
{
    timer->due_ms = 0;
}

void
Loop_FreeTimer(LoopTimer *timer)
{
    if (timer != NULL) {
        timer->due_ms = 0;
        timer->removed = true;
    }
}

void
Loop_Post(Loop *loop, LoopFn fn, void *arg)
{
    Post *post = Mem_New(1, sizeof(*post));
    bool first;

    *post = (Post){fn, arg, NULL};
    apr_thread_mutex_lock(loop->mutex);
    first = loop->posts_head == NULL;
    if (first) {
        loop->posts_head = post;
    }
    else {
        loop->posts_tail->next = post;
    }
    loop->posts_tail = post;
    apr_thread_mutex_unlock(loop->mutex);
    if (first) {
        apr_pollset_wakeup(loop->pollset);
    }
}

void
Loop_Stop(Loop *loop)
{
    apr_thread_mutex_lock(loop->mutex);
    loop->stopping = true;
    apr_thread_mutex_unlock(loop->mutex);
    apr_pollset_wakeup(loop->pollset);
}

void
Loop_AddPrepareHook(Loop *loop, LoopPrepareFn fn, void *arg)
{
    if (loop->prepare_count == LOOP_MAX_HOOKS) {
        abort();
    }
    loop->prepare_fns[loop->prepare_count] = fn;
    loop->prepare_args[loop->prepare_count] = arg;
    loop->prepare_count++;
}

void
Loop_AddWakeHook(Loop *loop, LoopFn fn, void *arg)
{
    if (loop->wake_count == LOOP_MAX_HOOKS) {
        abort();
    }
    loop->wake_fns[loop->wake_count] = fn;
    loop->wake_args[loop->wake_count] = arg;
    loop->wake_count++;
}

static void
run_posts(Loop *loop)
{
    Post *post;

    apr_thread_mutex_lock(loop->mutex);
    post = loop->posts_head;
    loop->posts_head = NULL;
    loop->posts_tail = NULL;
    apr_thread_mutex_unlock(loop->mutex);
    while (post != NULL) {
        Post *next = post->next;
        post->fn(post->arg);
        free(post);
        post = next;
    }
}

static void
run_timers(Loop *loop)
{
    int64_t now = Loop_NowMs();
    LoopTimer *timer;

    for (timer = loop->timers; timer != NULL; timer = timer->next) {
        if (timer->due_ms == 0 || timer->due_ms > now) {
            continue;
        }
        timer->due_ms = timer->period_ms > 0 ? now + timer->period_ms : 0;
        timer->fn(timer->arg);
    }
}

static int64_t
compute_wait_ms(const Loop *loop)
{
    int64_t wait = LOOP_MAX_WAIT_MS;
    int64_t now = Loop_NowMs();
    const LoopTimer *timer;

    for (timer = loop->timers; timer != NULL; timer = timer->next) {
        if (timer->due_ms != 0 && timer->due_ms - now < wait) {
            wait = timer->due_ms > now ? timer->due_ms - now : 0;
        }
    }
    return wait;
}

static bool
run_prepare_hooks(Loop *loop)
{
    bool more = false;
    int i;

    for (i = 0; i < loop->prepare_count; i++) {
        more = loop->prepare_fns[i](loop->prepare_args[i]) || more;
    }
    return more;
}

static void
run_wake_hooks(Loop *loop)
{
    int i;

    for (i = 0; i < loop->wake_count; i++) {
        loop->wake_fns[i](loop->wake_args[i]);
    }
}

static void
dispatch_events(const apr_pollfd_t *ready, apr_int32_t count)
{
    apr_int32_t i;

    for (i = 0; i < count; i++) {
        LoopWatch *watch = ready[i].client_data;
        int events = 0;
        if (watch == NULL || watch->removed) {
            continue;
        }
        if (ready[i].rtnevents & (APR_POLLIN | APR_POLLPRI)) {
            events |= LOOP_READ;
        }
        if (ready[i].rtnevents & APR_POLLOUT) {
            events |= LOOP_WRITE;
        }
        if (ready[i].rtnevents & (APR_POLLERR | APR_POLLHUP | APR_POLLNVAL)) {
            events |= LOOP_READ | LOOP_WRITE;
        }
        watch->fn(watch->arg, events);
    }
}

static bool
is_stopping(Loop *loop)
{
    bool stopping;

    apr_thread_mutex_lock(loop->mutex);
    stopping = loop->stopping;
    apr_thread_mutex_unlock(loop->mutex);
    return stopping;
}

void
Loop_Run(Loop *loop)
{
    while (!is_stopping(loop)) {
        const apr_pollfd_t *ready = NULL;
        apr_int32_t count = 0;
        int64_t wait = run_prepare_hooks(loop) ? 0 : compute_wait_ms(loop);
        apr_status_t polled =
            apr_pollset_poll(loop->pollset, wait * 1000, &count, &ready);

        run_wake_hooks(loop);
        if (polled == APR_SUCCESS) {
            dispatch_events(ready, count);
        }
        run_posts(loop);
        run_timers(loop);
        free_removed(loop);
    }
}
