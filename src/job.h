/*
 * NAME
 *     job - shapes shared by the job modules
 *
 * DESCRIPTION
 *     A job is submitted to a queue and consists of steps of equal tasks. The
 *     configuration names the pool whose targets run a queue's tasks. A job
 *     with repeats runs its steps once for each occurrence, at set times.
 *
 *     Processor amounts are thousandths of a core, memory is in MB, times are
 *     in ms. Wall times count from 1970.
 */
#ifndef COLTSFOOT_JOB_H
#define COLTSFOOT_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define JOB_ID_BYTES 40
#define JOB_NAME_BYTES 72
#define JOB_LABEL_BYTES 40
#define JOB_ADDRESS_BYTES 80
#define JOB_MAX_STEPS 32
#define JOB_MAX_LABELS 8
/* Bounds the memory of one job. */
#define JOB_MAX_TASKS 4096
#define JOB_MAX_REPEATS 100000

typedef struct JobNeed {
    uint32_t cpu;
    uint32_t memory_mb;
    uint32_t accelerators;
} JobNeed;

typedef struct JobStep {
    uint32_t count;
    JobNeed need;
    uint32_t estimate_ms;
    uint32_t depends; /* bit i: all tasks of step i must be done first */
    uint32_t max_per_target;  /* 0: any */
    uint32_t max_unavailable; /* of a lasting step; 0: no limit */
    uint32_t target_ms;       /* of a serving step; 0: it serves nobody */
    bool checkpointing;
    bool gang;      /* the tasks work only all together */
    bool same_rack; /* tasks on several racks are slower */
    bool speculative;
    bool lasting;  /* runs until the job is cancelled */
    bool leftover; /* takes the processor time that others leave */
    char label[JOB_LABEL_BYTES];
    char rack[JOB_LABEL_BYTES]; /* near the data, or empty */
    char image[JOB_LABEL_BYTES];
} JobStep;

typedef struct JobSpec {
    char *text; /* passed to the tasks as it is */
    size_t text_len;
    JobStep *steps;
    uint32_t step_count;
    uint32_t repeats; /* 0: runs once, at once */
    int64_t start_ms; /* wall time of the first occurrence */
    int64_t interval_ms;
} JobSpec;

typedef struct JobQueue {
    char name[JOB_NAME_BYTES];
    char host[JOB_NAME_BYTES];
    char prefix[JOB_NAME_BYTES];
    char pool[JOB_NAME_BYTES];
    uint32_t timeout_ms;
    uint32_t objective_ms;
    uint32_t priority; /* 0 comes first */
    uint32_t max_attempts;
    double slack; /* factor on the work of a job in its objective */
    bool advised; /* an advisor says which targets may run a step */
    uint32_t advice_validity_ms;
} JobQueue;

typedef struct JobPool {
    char name[JOB_NAME_BYTES];
    char health_path[JOB_NAME_BYTES];
    bool guarded; /* its targets refuse what does not fit */
    bool standby; /* its VMs are off and cost nothing */
} JobPool;

/* One numbered configuration. text is the document as the operator sent it. */
typedef struct JobConfig {
    uint64_t version; /* 0: none yet */
    JobQueue *queues;
    size_t queue_count;
    JobPool *pools;
    size_t pool_count;
    char *text;
    size_t text_len;
} JobConfig;

/* What a target says about itself. */
typedef struct JobAnnouncement {
    char id[JOB_NAME_BYTES];
    char address[JOB_ADDRESS_BYTES];
    char pool[JOB_NAME_BYTES];
    char data_centre[JOB_NAME_BYTES];
    char vm[JOB_NAME_BYTES];
    char labels[JOB_MAX_LABELS][JOB_LABEL_BYTES];
    uint32_t label_count;
    JobNeed room;
    uint64_t born;    /* wall time of its start; identifies its life */
    uint64_t order;   /* rises with each announcement of one life */
    int64_t clock_ms; /* of its own steady clock */
    bool leaving;
    uint32_t leaving_ms; /* shortest time that is left */
} JobAnnouncement;

/* How a run of a task ended. */
typedef enum JobEndKind {
    JOB_END_DONE = 0,
    JOB_END_FAILED = 1,
    JOB_END_STOPPED = 2,
    JOB_END_LAPSED = 3,
    JOB_END_BROKEN = 4,
    JOB_END_ALONE = 5,
    JOB_END_REFUSED = 6, /* it surely never started */
    JOB_END_LOST = 7,    /* its target is gone or its lease has run out */
    JOB_END_KINDS
} JobEndKind;

/* Names one task. */
typedef struct JobTaskRef {
    char job[JOB_ID_BYTES];
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
} JobTaskRef;

typedef struct JobEnd {
    JobTaskRef task;
    uint32_t attempt;
    JobEndKind kind;
    uint64_t number;        /* in the target's list of ends; 0: not listed */
    const char *checkpoint; /* "" when there is none */
} JobEnd;

/* One entry of a target's list of what runs. */
typedef struct JobRunning {
    JobTaskRef task;
    uint32_t attempt;
    uint32_t percent; /* of the time at work; 100: at work */
    uint32_t load;    /* tail of response times in ms, or cpu in use */
    const char *checkpoint;
} JobRunning;

#endif
