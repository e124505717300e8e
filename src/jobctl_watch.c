#include "jobctl_internal.h"

/* Events of the conditions while they last and at their end. */
static const char *const events[JOB_WATCH_COUNT][2] = {
    [JOB_WATCH_LEADER_UNKNOWN] = {"leader_unknown", "leader_known"},
    [JOB_WATCH_COMMIT_STALLED] = {"commit_stalled", "commit_resumed"},
    [JOB_WATCH_TAKEOVER_PENDING] = {"takeover_pending", "takeover_ended"},
};

static void
add_indexes(const JobControl *control)
{
    Slog_AddInt("last", (int64_t)Replica_GetLastIndex(control->replica));
    Slog_AddInt("committed",
                (int64_t)Replica_GetCommitIndex(control->replica));
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
        .uncommitted_ms = Replica_GetUncommittedAgeMs(control->replica, now)};
    ConditionReport reports[JOB_WATCH_COUNT];
    int64_t lasted_ms[JOB_WATCH_COUNT];
    size_t i;

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
    }
}
