#include "jobest.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "job.h"
#include "mem.h"
#include "strmap.h"

#define EST_MAX_QUEUES 4096
/* Sum of weights from which the regression of a queue is used. */
#define EST_MIN_RUNS 8
#define EST_DEFAULT_MS 700
#define EST_MIN_MS 10
/* Factor of all weights for each new run or job. */
#define EST_DECAY (1.0 - 0.693 / EST_HALF_LIFE_RUNS)

typedef struct EstQueue {
    char name[JOB_NAME_BYTES];
    double runs; /* sum of weights */
    double x;    /* weighted sum of logarithms of declared run times */
    double y;    /* weighted sum of logarithms of measured run times */
    double xx;
    double xy;
    double measured_ms; /* weighted sum of measured run times */
    double predicted;   /* sum of weights of runs with a prediction */
    double error;       /* weighted sum of squares of its error */
    double jobs;        /* sum of weights of jobs */
    double work;        /* weighted sum of their work */
} EstQueue;

struct JobEst {
    StrMap *queues; /* EstQueue by name */
};

JobEst *
JobEst_New(void)
{
    JobEst *est = Mem_New(1, sizeof(*est));

    est->queues = StrMap_New();
    return est;
}

void
JobEst_Free(JobEst *est)
{
    if (est != NULL) {
        StrMap_FreeAll(est->queues);
        free(est);
    }
}

static EstQueue *
find_queue(const JobEst *est, const char *name)
{
    return StrMap_Get(est->queues, name);
}

/* Returns the entry of a queue, added if there is none, or NULL if there are
 * too many. */
static EstQueue *
find_or_add_queue(JobEst *est, const char *name)
{
    EstQueue *queue = find_queue(est, name);

    if (queue == NULL && StrMap_Count(est->queues) < EST_MAX_QUEUES) {
        queue = Mem_New(1, sizeof(*queue));
        snprintf(queue->name, sizeof(queue->name), "%s", name);
        StrMap_Put(est->queues, queue->name, queue);
    }
    return queue;
}

/* Returns the logarithm of the expected run time for the logarithm of a
 * declared one. */
static double
predict_log(const EstQueue *queue, double x)
{
    double mean_x = queue->x / queue->runs;
    double mean_y = queue->y / queue->runs;
    double variance = queue->xx / queue->runs - mean_x * mean_x;
    double slope = variance > 0.01
                       ? (queue->xy / queue->runs - mean_x * mean_y) / variance
                       : 0.0;

    slope = slope < 0.0 ? 0.0 : slope > 1.0 ? 1.0 : slope;
    return mean_y + slope * (x - mean_x);
}

void
JobEst_AddRun(JobEst *est, const char *name, uint32_t declared_ms,
              int64_t took_ms)
{
    EstQueue *queue = find_or_add_queue(est, name);
    double x = log(declared_ms > EST_MIN_MS ? declared_ms : EST_MIN_MS);
    double y = log((double)(took_ms > EST_MIN_MS ? took_ms : EST_MIN_MS));

    if (queue == NULL) {
        return;
    }
    if (queue->runs >= EST_MIN_RUNS) {
        double error = y - predict_log(queue, x);
        queue->predicted = queue->predicted * EST_DECAY + 1;
        queue->error = queue->error * EST_DECAY + error * error;
    }
    queue->runs = queue->runs * EST_DECAY + 1;
    queue->x = queue->x * EST_DECAY + x;
    queue->y = queue->y * EST_DECAY + y;
    queue->xx = queue->xx * EST_DECAY + x * x;
    queue->xy = queue->xy * EST_DECAY + x * y;
    queue->measured_ms = queue->measured_ms * EST_DECAY + (double)took_ms;
}

int64_t
JobEst_Predict(const JobEst *est, const char *name, uint32_t declared_ms)
{
    const EstQueue *queue = find_queue(est, name);
    double x = log(declared_ms > EST_MIN_MS ? declared_ms : EST_MIN_MS);

    if (queue == NULL || queue->runs < EST_MIN_RUNS) {
        return declared_ms > 0 ? (declared_ms + EST_DEFAULT_MS) / 2
                               : EST_DEFAULT_MS;
    }
    return (int64_t)exp(predict_log(queue, x));
}

double
JobEst_GetErrorFactor(const JobEst *est, const char *name)
{
    const EstQueue *queue = find_queue(est, name);
    double factor;

    if (queue == NULL || queue->predicted < EST_MIN_RUNS) {
        return EST_MAX_ERROR;
    }
    factor = exp(sqrt(queue->error / queue->predicted));
    return factor < EST_MAX_ERROR ? factor : EST_MAX_ERROR;
}

void
JobEst_AddJob(JobEst *est, const char *name, int64_t core_ms)
{
    EstQueue *queue = find_or_add_queue(est, name);

    if (queue != NULL) {
        queue->jobs = queue->jobs * EST_DECAY + 1;
        queue->work = queue->work * EST_DECAY + (double)core_ms;
    }
}

int64_t
JobEst_GetMeanWork(const JobEst *est, const char *name)
{
    const EstQueue *queue = find_queue(est, name);

    return queue != NULL && queue->jobs > 0
               ? (int64_t)(queue->work / queue->jobs)
               : 0;
}
