#include "jobest.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job.h"
#include "mem.h"

#define EST_MAX_QUEUES 4096
/* Sum of weights from which the regression of a queue is used. */
#define EST_MIN_RUNS 8
#define EST_DEFAULT_MS 700
#define EST_MIN_MS 10

typedef struct EstQueue {
    char name[JOB_NAME_BYTES];
    double runs; /* sum of weights */
    double x;    /* weighted sum of logarithms of declared run times */
    double y;    /* weighted sum of logarithms of measured run times */
    double xx;
    double xy;
    double measured_ms; /* weighted sum of measured run times */
} EstQueue;

struct JobEst {
    EstQueue *queues;
    size_t count;
};

JobEst *
JobEst_New(void)
{
    JobEst *est = Mem_New(1, sizeof(*est));

    return est;
}

void
JobEst_Free(JobEst *est)
{
    if (est != NULL) {
        free(est->queues);
        free(est);
    }
}

static EstQueue *
find_queue(const JobEst *est, const char *name)
{
    size_t i;

    for (i = 0; i < est->count; i++) {
        if (strcmp(est->queues[i].name, name) == 0) {
            return &est->queues[i];
        }
    }
    return NULL;
}

void
JobEst_AddRun(JobEst *est, const char *name, uint32_t declared_ms,
              int64_t took_ms)
{
    EstQueue *queue = find_queue(est, name);
    double decay = 1.0 - 0.693 / EST_HALF_LIFE_RUNS;
    double x = log(declared_ms > EST_MIN_MS ? declared_ms : EST_MIN_MS);
    double y = log((double)(took_ms > EST_MIN_MS ? took_ms : EST_MIN_MS));

    if (queue == NULL) {
        if (est->count == EST_MAX_QUEUES) {
            return;
        }
        est->queues =
            Mem_Resize(est->queues, (est->count + 1) * sizeof(EstQueue));
        queue = &est->queues[est->count++];
        memset(queue, 0, sizeof(*queue));
        snprintf(queue->name, sizeof(queue->name), "%s", name);
    }
    queue->runs = queue->runs * decay + 1;
    queue->x = queue->x * decay + x;
    queue->y = queue->y * decay + y;
    queue->xx = queue->xx * decay + x * x;
    queue->xy = queue->xy * decay + x * y;
    queue->measured_ms = queue->measured_ms * decay + (double)took_ms;
}

int64_t
JobEst_Predict(const JobEst *est, const char *name, uint32_t declared_ms)
{
    const EstQueue *queue = find_queue(est, name);
    double x = log(declared_ms > EST_MIN_MS ? declared_ms : EST_MIN_MS);
    double mean_x;
    double mean_y;
    double variance;
    double slope;

    if (queue == NULL || queue->runs < EST_MIN_RUNS) {
        return declared_ms > 0 ? (declared_ms + EST_DEFAULT_MS) / 2
                               : EST_DEFAULT_MS;
    }
    mean_x = queue->x / queue->runs;
    mean_y = queue->y / queue->runs;
    variance = queue->xx / queue->runs - mean_x * mean_x;
    slope = variance > 0.01
                ? (queue->xy / queue->runs - mean_x * mean_y) / variance
                : 0.0;
    slope = slope < 0.0 ? 0.0 : slope > 1.0 ? 1.0 : slope;
    return (int64_t)exp(mean_y + slope * (x - mean_x));
}
