#include "jobsched_impl.h"

#include <string.h>

#include "slog.h"

/* Returns whether the end of a target is no crash: it has announced that it
 * leaves, or this service has moved its VM or taken it into maintenance. */
static bool
is_end_expected(const JobSched *sched, const JobTarget *target)
{
    const JobAnnouncement *announcement = &target->announcement;
    const JobVmOrder *order =
        JobState_FindVmOrder(sched->state, announcement->vm);

    return announcement->leaving ||
           (order != NULL && order->wall_ms >= (int64_t)announcement->born);
}

SchedCrash
SchedImpl_GetCrashSpan(const JobTarget *target, int64_t now)
{
    const SchedTarget *live = SchedImpl_FindLive(target);
    SchedCrash span = {.from_ms = live->last_seen_ms, .to_ms = now};

    memcpy(span.pool, target->announcement.pool, sizeof(span.pool));
    if (live->unanswered > 0 && live->silent_since_ms >= span.from_ms) {
        span.to_ms = live->silent_since_ms;
    }
    return span;
}

static void
log_run_of_crashed_target(const JobTarget *target, const JobRun *run,
                          int64_t now)
{
    const JobTask *task = JobRun_GetTask(run);

    Slog_Begin(SLOG_FAILURE, "run_crashed");
    Slog_AddTask(run->job->id, run->occurrence, run->step, run->index);
    Slog_AddInt("attempt", task->attempt);
    Slog_AddText("target", target->announcement.id);
    Slog_AddInt("phase", task->sched_state.phase);
    Slog_AddInt("phase_ms", now - task->sched_state.since_ms);
    Slog_AddInt("proven", task->sched_state.proven);
    Slog_End();
}

void
SchedImpl_RecordCrash(JobSched *sched, int64_t now, JobTarget *target)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);
    SchedCrash span = live->checking_restart
                          ? live->restart
                          : SchedImpl_GetCrashSpan(target, now);
    uint32_t i;

    if (live->crash_recorded || is_end_expected(sched, target)) {
        return;
    }
    live->crash_recorded = true;
    sched->counts.crashed_targets++;
    Slog_Begin(SLOG_FAILURE, "target_crashed");
    Slog_AddText("target", target->announcement.id);
    Slog_AddText("vm", target->announcement.vm);
    Slog_AddText("pool", target->announcement.pool);
    Slog_AddInt("runs", target->run_count);
    Slog_AddInt("earliest_ms", span.from_ms - now);
    Slog_AddInt("latest_ms", span.to_ms - now);
    Slog_End();
    for (i = 0; i < target->run_count; i++) {
        log_run_of_crashed_target(target, &target->runs[i], now);
    }
    sched->crashes[sched->crash_count++ % SCHED_CRASHES] = span;
}
