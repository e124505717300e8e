/*
 * NAME
 *     jobwatch - conditions that keep a control VM from its work
 *
 * DESCRIPTION
 *     Core without I/O. The caller passes what it observes with each tick and
 *     logs the conditions that are due (condition.h). Times are ms of a
 *     monotonic clock.
 */
#ifndef COLTSFOOT_JOBWATCH_H
#define COLTSFOOT_JOBWATCH_H

#include <stddef.h>

#include "condition.h"

/* Age of the oldest uncommitted entry from which the log counts as stalled. */
#define JOB_WATCH_STALLED_COMMIT_MS 500

typedef enum JobWatchKind {
    JOB_WATCH_LEADER_UNKNOWN,
    JOB_WATCH_COMMIT_STALLED,
    JOB_WATCH_TAKEOVER_PENDING, /* this node leads and does not serve */
    JOB_WATCH_PLACEMENT_IDLE,   /* tasks wait and none is started */
    JOB_WATCH_COUNT
} JobWatchKind;

typedef struct JobWatchInput {
    bool leader_known;
    bool leads;
    bool serves;
    bool stopping;
    int64_t uncommitted_ms; /* age of the oldest uncommitted entry, or 0 */
    bool tasks_wait;        /* for a target */
    uint64_t starts;        /* tasks started since the process began */
} JobWatchInput;

typedef struct JobWatch {
    Condition conditions[JOB_WATCH_COUNT];
    uint64_t starts; /* at the last observation */
} JobWatch;

/* Records an observation. Stores which conditions are due for a line in
 * reports, and for how long each has lasted in lasted_ms. */
void JobWatch_Update(JobWatch *watch, int64_t now, const JobWatchInput *input,
                     ConditionReport reports[JOB_WATCH_COUNT],
                     int64_t lasted_ms[JOB_WATCH_COUNT]);

/* Returns for how long a condition has held, in seconds, or 0. */
double JobWatch_GetSeconds(const JobWatch *watch, JobWatchKind kind,
                           int64_t now);

#endif
