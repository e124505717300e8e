#include "jobctl_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobreload.h"
#include "mem.h"

#define PLACEMENT_SAMPLE_MS 1000

/* Events of the conditions while they last and at their end. */
static const char *const events[JOB_WATCH_COUNT][2] = {
    [JOB_WATCH_LEADER_UNKNOWN] = {"leader_unknown", "leader_known"},
    [JOB_WATCH_COMMIT_STALLED] = {"commit_stalled", "commit_resumed"},
    [JOB_WATCH_TAKEOVER_PENDING] = {"takeover_pending", "takeover_ended"},
    [JOB_WATCH_PLACEMENT_IDLE] = {"placement_idle", "placement_resumed"},
};

static void
sample_target(const JobControl *control, const JobTarget *target, int64_t now,
              JobPlacementSample *sample)
{
    int64_t room = target->announcement.room.cpu;
    int64_t free_cpu = room > target->used.cpu ? room - target->used.cpu : 0;

    if (!JobSched_IsUsable(control->sched, target, now)) {
        sample->unusable++;
        sample->runs_on_unusable += target->run_count;
        return;
    }
    sample->usable++;
    sample->free += free_cpu;
    if (free_cpu > sample->largest_free) {
        sample->largest_free = free_cpu;
    }
}

static bool
may_have_waiting_tasks(const JobState *state)
{
    const Job *job = JobState_FirstActive(state);

    while (job != NULL && !job->has_waiting) {
        job = job->next;
    }
    return job != NULL;
}

static void
sample_placement(const JobControl *control, int64_t now,
                 JobPlacementSample *sample)
{
    const JobConfig *config = JobState_GetConfig(control->state);
    JobPoolLoad *loads;
    uint32_t i;

    memset(sample, 0, sizeof(*sample));
    if (!may_have_waiting_tasks(control->state)) {
        return;
    }
    loads = Mem_New(config->pool_count + 1, sizeof(*loads));
    JobSched_GetWaiting(control->sched, loads);
    for (i = 0; i < config->pool_count; i++) {
        sample->pools += loads[i].waiting > 0;
        if (loads[i].waiting > sample->waiting) {
            sample->waiting = loads[i].waiting;
            snprintf(sample->pool, sizeof(sample->pool), "%s",
                     config->pools[i].name);
        }
    }
    free(loads);
    for (i = 0; sample->waiting > 0 && i < JobState_TargetRows(control->state);
         i++) {
        const JobTarget *target = JobState_TargetAt(control->state, i);

        if (target != NULL &&
            strcmp(target->announcement.pool, sample->pool) == 0) {
            sample_target(control, target, now, sample);
        }
    }
}

/* Samples the waiting tasks of a leader that has started none for
 * PLACEMENT_SAMPLE_MS. A sample is void after a start. */
static void
update_placement_sample(JobControl *control, int64_t now)
{
    JobPlacementSample *sample = &control->placement_sample;
    uint64_t starts = JobSched_Counts(control->sched)->started;

    if (!JobControl_IsServing(control) || starts != control->sampled_starts) {
        memset(sample, 0, sizeof(*sample));
        control->sampled_starts = starts;
        control->next_placement_sample_ms = now + PLACEMENT_SAMPLE_MS;
    }
    else if (now >= control->next_placement_sample_ms) {
        sample_placement(control, now, sample);
        control->next_placement_sample_ms = now + PLACEMENT_SAMPLE_MS;
    }
}

static void
add_indexes(const JobControl *control)
{
    Slog_AddInt("last", (int64_t)Replica_GetLastIndex(control->replica));
    Slog_AddInt("committed",
                (int64_t)Replica_GetCommitIndex(control->replica));
}

static void
add_placement(const JobPlacementSample *sample)
{
    Slog_AddText("pool", sample->pool);
    Slog_AddInt("pools", sample->pools);
    Slog_AddInt("waiting", sample->waiting);
    Slog_AddInt("free", sample->free);
    Slog_AddInt("largest_free", sample->largest_free);
    Slog_AddInt("usable", sample->usable);
    Slog_AddInt("unusable", sample->unusable);
    Slog_AddInt("runs_on_unusable", sample->runs_on_unusable);
}

static void
add_details(const JobControl *control, JobWatchKind kind, int64_t now)
{
    switch (kind) {
    case JOB_WATCH_LEADER_UNKNOWN:
        Slog_AddInt("voter", JobControl_IsVoter(control));
        Slog_AddInt("cluster", Replica_GetCluster(control->replica) != 0);
        add_indexes(control);
        JobControl_LogVoters(control);
        break;
    case JOB_WATCH_COMMIT_STALLED:
        Slog_AddInt("oldest_ms",
                    Replica_GetUncommittedAgeMs(control->replica, now));
        Slog_AddInt("serves", JobControl_IsServing(control));
        add_indexes(control);
        JobControl_LogVoterLogs(control, now);
        break;
    case JOB_WATCH_TAKEOVER_PENDING:
        Slog_AddInt("serves", JobControl_IsServing(control));
        Slog_AddInt("reads", (int64_t)control->takeover_reads);
        Slog_AddInt("term_committed",
                    Replica_GetConfirmedCommit(control->replica) != 0);
        add_indexes(control);
        Slog_AddInt("applied",
                    (int64_t)Replica_GetAppliedIndex(control->replica));
        JobControl_LogVoterLogs(control, now);
        break;
    case JOB_WATCH_PLACEMENT_IDLE:
        add_placement(&control->placement_sample);
        break;
    case JOB_WATCH_COUNT:
        break;
    }
}

void
JobControl_WatchConditions(JobControl *control, int64_t now)
{
    JobWatchInput input = {
        .leader_known = Replica_GetLeader(control->replica) != 0,
        .leads = Replica_GetRole(control->replica) == RAFT_LEADER,
        .serves = JobControl_IsServing(control),
        .stopping = control->stop_begun_ms != 0,
        .uncommitted_ms = Replica_GetUncommittedAgeMs(control->replica, now),
        .starts = JobSched_Counts(control->sched)->started};
    ConditionReport reports[JOB_WATCH_COUNT];
    int64_t lasted_ms[JOB_WATCH_COUNT];
    size_t i;

    update_placement_sample(control, now);
    input.tasks_wait = control->placement_sample.waiting > 0;
    JobWatch_Update(&control->watch, now, &input, reports, lasted_ms);
    for (i = 0; i < JOB_WATCH_COUNT; i++) {
        bool ended = reports[i] == CONDITION_ENDED;

        if (reports[i] == CONDITION_SILENT) {
            continue;
        }
        Slog_Begin(ended ? SLOG_CHANGE : SLOG_FAILURE, events[i][ended]);
        Slog_AddInt("lasted_ms", lasted_ms[i]);
        Slog_AddInt("term", (int64_t)Replica_GetTerm(control->replica));
        add_details(control, (JobWatchKind)i, now);
        Slog_End();
        if (i == JOB_WATCH_LEADER_UNKNOWN && !ended) {
            /* The seeds may have changed without a signal. */
            JobReload_ReloadSettings(control->settings_file, control->peers);
        }
    }
}
