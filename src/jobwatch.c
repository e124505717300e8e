#include "jobwatch.h"

#define MS_PER_S 1000.0

static bool
does_hold(const JobWatch *watch, JobWatchKind kind, const JobWatchInput *input)
{
    switch (kind) {
    case JOB_WATCH_LEADER_UNKNOWN:
        return !input->leader_known;
    case JOB_WATCH_COMMIT_STALLED:
        return input->uncommitted_ms >= JOB_WATCH_STALLED_COMMIT_MS;
    case JOB_WATCH_TAKEOVER_PENDING:
        return input->leads && !input->serves && !input->stopping;
    case JOB_WATCH_PLACEMENT_IDLE:
        return input->serves && input->tasks_wait &&
               input->starts == watch->starts;
    case JOB_WATCH_COUNT:
        break;
    }
    return false;
}

void
JobWatch_Update(JobWatch *watch, int64_t now, const JobWatchInput *input,
                ConditionReport reports[JOB_WATCH_COUNT],
                int64_t lasted_ms[JOB_WATCH_COUNT])
{
    size_t i;

    for (i = 0; i < JOB_WATCH_COUNT; i++) {
        reports[i] = Condition_Update(&watch->conditions[i], now,
                                      does_hold(watch, (JobWatchKind)i, input),
                                      &lasted_ms[i]);
    }
    watch->starts = input->starts;
}

double
JobWatch_GetSeconds(const JobWatch *watch, JobWatchKind kind, int64_t now)
{
    return (double)Condition_GetAgeMs(&watch->conditions[kind], now) /
           MS_PER_S;
}
