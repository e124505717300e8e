#include "worker.h"

#include <stdbool.h>
#include <stdlib.h>

#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

struct Worker {
    Loop *loop;
    LoopFn work;
    LoopFn done;
    void *arg;
    apr_pool_t *pool;
    apr_thread_mutex_t *mutex; /* guards wanted and stopping */
    apr_thread_cond_t *changed;
    apr_thread_t *thread;
    bool wanted;
    bool stopping;
};

/* Waits for work. Returns false when the worker stops. */
static bool
await(Worker *worker)
{
    bool wanted;

    apr_thread_mutex_lock(worker->mutex);
    while (!worker->wanted && !worker->stopping) {
        apr_thread_cond_wait(worker->changed, worker->mutex);
    }
    wanted = worker->wanted;
    worker->wanted = false;
    apr_thread_mutex_unlock(worker->mutex);
    return wanted;
}

static void *APR_THREAD_FUNC
run(apr_thread_t *thread, void *arg)
{
    Worker *worker = arg;

    (void)thread;
    while (await(worker)) {
        worker->work(worker->arg);
        Loop_Post(worker->loop, worker->done, worker->arg);
    }
    return NULL;
}

Status
Worker_New(Loop *loop, LoopFn work, LoopFn done, void *arg, Worker **out,
           ErrCtx *err)
{
    Worker *worker = calloc(1, sizeof(*worker));

    if (worker == NULL ||
        apr_pool_create(&worker->pool, NULL) != APR_SUCCESS) {
        free(worker);
        return Err_Set(err, ST_NO_MEMORY, "no memory for a thread");
    }
    worker->loop = loop;
    worker->work = work;
    worker->done = done;
    worker->arg = arg;
    if (apr_thread_mutex_create(&worker->mutex, APR_THREAD_MUTEX_DEFAULT,
                                worker->pool) != APR_SUCCESS ||
        apr_thread_cond_create(&worker->changed, worker->pool) !=
            APR_SUCCESS ||
        apr_thread_create(&worker->thread, NULL, run, worker, worker->pool) !=
            APR_SUCCESS) {
        apr_pool_destroy(worker->pool);
        free(worker);
        return Err_Set(err, ST_IO, "a thread cannot be created");
    }
    *out = worker;
    return ST_OK;
}

void
Worker_Free(Worker *worker)
{
    apr_status_t status;

    if (worker == NULL) {
        return;
    }
    apr_thread_mutex_lock(worker->mutex);
    worker->stopping = true;
    apr_thread_cond_signal(worker->changed);
    apr_thread_mutex_unlock(worker->mutex);
    apr_thread_join(&status, worker->thread);
    apr_pool_destroy(worker->pool);
    free(worker);
}

void
Worker_Run(Worker *worker)
{
    apr_thread_mutex_lock(worker->mutex);
    worker->wanted = true;
    apr_thread_cond_signal(worker->changed);
    apr_thread_mutex_unlock(worker->mutex);
}
