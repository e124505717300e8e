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
    apr_thread_mutex_t *mutex; /* guards requested and stopping */
    apr_thread_cond_t *state_changed;
    apr_thread_t *thread;
    bool requested;
    bool stopping;
};

/* Waits for Worker_Run. Returns false when the worker stops. */
static bool
wait_for_request(Worker *worker)
{
    bool requested;

    apr_thread_mutex_lock(worker->mutex);
    while (!worker->requested && !worker->stopping) {
        apr_thread_cond_wait(worker->state_changed, worker->mutex);
    }
    requested = worker->requested;
    worker->requested = false;
    apr_thread_mutex_unlock(worker->mutex);
    return requested;
}

static void *APR_THREAD_FUNC
run_thread(apr_thread_t *thread, void *arg)
{
    Worker *worker = arg;

    (void)thread;
    while (wait_for_request(worker)) {
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
        apr_thread_cond_create(&worker->state_changed, worker->pool) !=
            APR_SUCCESS ||
        apr_thread_create(&worker->thread, NULL, run_thread, worker,
                          worker->pool) != APR_SUCCESS) {
        apr_pool_destroy(worker->pool);
        free(worker);
        return Err_Set(err, ST_IO, "cannot create a thread");
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
    apr_thread_cond_signal(worker->state_changed);
    apr_thread_mutex_unlock(worker->mutex);
    apr_thread_join(&status, worker->thread);
    apr_pool_destroy(worker->pool);
    free(worker);
}

void
Worker_Run(Worker *worker)
{
    apr_thread_mutex_lock(worker->mutex);
    worker->requested = true;
    apr_thread_cond_signal(worker->state_changed);
    apr_thread_mutex_unlock(worker->mutex);
}
