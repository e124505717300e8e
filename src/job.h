/*
 * NAME
 *     job - data types shared by the job modules
 *
 * DESCRIPTION
 *     A job is submitted to a queue and consists of steps of identical tasks.
 *     The configuration assigns each queue to a pool, whose targets run its
 *     tasks. A repeating job runs all its steps once per occurrence, at fixed
 *     intervals.
 *
 *     CPU amounts are in thousandths of a core, memory is in MB and times are
 *     in ms. Wall times count from the Unix epoch.
 */
#ifndef COLTSFOOT_JOB_H
#define COLTSFOOT_JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define JOB_ID_BYTES 40
#define JOB_NAME_BYTES 72
#define JOB_VM_NAME_BYTES 256 /* a DNS name has at most 253 */
#define JOB_LABEL_BYTES 40
#define JOB_HOST_BYTES 256 /* a DNS name has at most 253 */
#define JOB_PATH_BYTES 256
#define JOB_ADDRESS_BYTES 80
#define JOB_CHECKPOINT_BYTES 256
#define JOB_KEY_BYTES 128
#define JOB_MAX_STEPS 32
#define JOB_MAX_LABELS 8
/* Maximum number of tasks per occurrence, which limits a job's memory. */
#define JOB_MAX_TASKS 4096
#define JOB_MAX_REPEATS 100000

typedef struct JobResources {
    uint32_t cpu;
    uint32_t memory_mb;
    uint32_t accelerators;
} JobResources;

typedef struct JobStep {
    uint32_t count;
    JobResources need;
    uint32_t estimate_ms;
    uint32_t depends_mask;    /* bit i: step i must be done before this step */
    uint32_t max_per_target;  /* 0: no limit */
    uint32_t max_unavailable; /* for lasting steps; 0: no limit */
    uint32_t response_objective_ms; /* 0: the step serves no requests */
    bool checkpointing;
    bool gang;      /* the tasks make progress only while all of them run */
    bool same_rack; /* the tasks run slower when spread over several racks */
    bool speculative;
    bool lasting;     /* the tasks run until the job is cancelled */
    bool best_effort; /* uses only CPU time that other tasks leave idle */
    char label[JOB_LABEL_BYTES]; /* label that a target must have, or empty */
    char rack[JOB_LABEL_BYTES];  /* rack near the data, or empty */
    char image[JOB_LABEL_BYTES];
} JobStep;

typedef struct JobSpec {
    char *text; /* passed to the tasks unchanged */
    size_t text_len;
    JobStep *steps;
    uint32_t step_count;
    uint32_t repeats; /* number of occurrences; 0: once, immediately */
    int64_t start_ms; /* wall time of the first occurrence */
    int64_t interval_ms;
} JobSpec;

/* The completion objective of a job is objective_ms plus slack times the job's
 * run time. */
typedef struct JobQueue {
    char name[JOB_NAME_BYTES];
    char host[JOB_HOST_BYTES];
    char prefix[JOB_PATH_BYTES];
    char pool[JOB_NAME_BYTES];
    uint32_t timeout_ms;
    uint32_t objective_ms;
    uint32_t priority; /* 0 is the highest */
    uint32_t max_attempts;
    double slack;
    bool uses_advisor; /* an advisor decides which targets may run a step */
    uint32_t advice_validity_ms;
    bool is_public; /* callers need no key; stored only beside tenants */
} JobQueue;

/* Sums over many tasks, which may exceed the range of JobResources. */
typedef struct JobTotals {
    uint64_t cpu;
    uint64_t memory_mb;
    uint64_t accelerators;
} JobTotals;

/* A customer's organizational unit whose callers share keys, a share of the
 * targets and a limit on what runs at a time. */
typedef struct JobTenant {
    char name[JOB_NAME_BYTES];
    char (*keys)[JOB_KEY_BYTES];
    size_t key_count;
    uint32_t weight;  /* relative share of a pool without free room, in
                       * thousandths */
    JobResources cap; /* limit on what its tasks use; 0: no limit */
} JobTenant;

/* The terms on which a queue accepts jobs. */
typedef struct JobTerms {
    uint32_t max_attempts;
    uint32_t objective_ms;
    double slack;
} JobTerms;

typedef struct JobPool {
    char name[JOB_NAME_BYTES];
    char health_path[JOB_PATH_BYTES];
    bool enforces_capacity; /* its targets refuse tasks that do not fit */
    bool standby;           /* its VMs are powered off and cost nothing */
} JobPool;

/* Limits of a configuration for callers; 0: not given. */
typedef struct JobClientLimits {
    uint32_t max_header_bytes;
    uint32_t max_body_bytes;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms;
} JobClientLimits;

/* A version of the configuration. */
typedef struct JobConfig {
    uint64_t version; /* 0: no configuration yet */
    JobQueue *queues;
    size_t queue_count;
    JobPool *pools;
    size_t pool_count;
    JobTenant *tenants;
    size_t tenant_count; /* 0: callers need no keys */
    char *text;          /* the document as the operator sent it */
    size_t text_len;
} JobConfig;

/* What a target reports about itself in an announcement. */
typedef struct JobAnnouncement {
    char id[JOB_NAME_BYTES];
    char address[JOB_ADDRESS_BYTES];
    char pool[JOB_NAME_BYTES];
    char data_centre[JOB_NAME_BYTES];
    char vm[JOB_VM_NAME_BYTES];
    char labels[JOB_MAX_LABELS][JOB_LABEL_BYTES];
    uint32_t label_count;
    JobResources room; /* total capacity */
    uint64_t born;     /* wall time of its start; identifies the incarnation */
    uint64_t order;    /* increases with each announcement of an incarnation */
    int64_t clock_ms;  /* reading of the target's monotonic clock */
    bool leaving;
    uint32_t drain_remaining_ms; /* minimum time until the target stops */
} JobAnnouncement;

/* How a run of a task ended. Targets report the values up to JOB_END_ALONE;
 * the leader records the others. */
typedef enum JobEndKind {
    JOB_END_DONE = 0,
    JOB_END_FAILED = 1,
    JOB_END_STOPPED = 2,
    JOB_END_LAPSED = 3,
    JOB_END_BROKEN = 4,
    JOB_END_ALONE = 5,
    JOB_END_REFUSED = 6, /* the run is known never to have started */
    JOB_END_LOST = 7,    /* the target is gone or its lease has expired */
    JOB_END_KINDS
} JobEndKind;

/* Identifies one task. */
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
    uint64_t number;        /* target's sequence number; 0: not listed by it */
    const char *checkpoint; /* empty if there is none */
} JobEnd;

/* One entry in a target's list of running tasks. */
typedef struct JobRunning {
    JobTaskRef task;
    uint32_t attempt;
    uint32_t percent; /* percentage of its time at work; 100: always */
    uint32_t load;    /* tail response time in ms, or CPU in use */
    const char *checkpoint;
} JobRunning;

#endif
