#include "jobctl_internal.h"

/* Age of the oldest uncommitted entry from which the log counts as stalled. It
 * is logged CONDITION_FIRST_MS later. */
#define STALLED_COMMIT_MS 500

/* Begins the line of a condition that is due for a report. Returns false if it
 * is not. */
static bool
begin_report(const JobControl *control, Condition *condition, int64_t now,
             bool holds, const char *event, const char *event_of_end)
{
    int64_t lasted_ms;
    ConditionReport report =
        Condition_Update(condition, now, holds, &lasted_ms);

    if (report == CONDITION_SILENT) {
        return false;
    }
    Slog_Begin(report == CONDITION_LASTS ? SLOG_FAILURE : SLOG_CHANGE,
               report == CONDITION_LASTS ? event : event_of_end);
    Slog_AddInt("lasted_ms", lasted_ms);
    Slog_AddInt("term", (int64_t)Replica_GetTerm(control->replica));
    return true;
}

static void
watch_leader(JobControl *control, int64_t now)
{
    bool unknown = Replica_GetLeader(control->replica) == 0;

    if (!begin_report(control, &control->leader_unknown, now, unknown,
                      "leader_unknown", "leader_known")) {
        return;
    }
    Slog_AddInt("voter", JobControl_IsVoter(control));
    Slog_AddInt("cluster", Replica_GetCluster(control->replica) != 0);
    Slog_AddInt("last", (int64_t)Replica_GetLastIndex(control->replica));
    Slog_AddInt("committed",
                (int64_t)Replica_GetCommitIndex(control->replica));
    JobControl_LogVoters(control);
    Slog_End();
}

/* Distinguishes a leader whose log does not move from one without work. */
static void
watch_commits(JobControl *control, int64_t now)
{
    int64_t age_ms = Replica_GetUncommittedAgeMs(control->replica, now);

    if (!begin_report(control, &control->commit_stalled, now,
                      age_ms >= STALLED_COMMIT_MS, "commit_stalled",
                      "commit_resumed")) {
        return;
    }
    Slog_AddInt("oldest_ms", age_ms);
    Slog_AddInt("serves", JobControl_IsServing(control));
    Slog_AddInt("last", (int64_t)Replica_GetLastIndex(control->replica));
    Slog_AddInt("committed",
                (int64_t)Replica_GetCommitIndex(control->replica));
    JobControl_LogVoterLogs(control, now);
    Slog_End();
}

void
JobControl_WatchConditions(JobControl *control, int64_t now)
{
    watch_leader(control, now);
    watch_commits(control, now);
}
