#include "jobctl_internal.h"

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

void
JobControl_WatchConditions(JobControl *control, int64_t now)
{
    watch_leader(control, now);
}
