#include "jobsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "slog.h"

/* Delay before an unanswered start or stop is retried. */
#define SCHED_CALL_RETRY_MS 100
/* Delay before an accepted stop is retried while its end is not listed. */
#define SCHED_STOP_RETRY_MS 4000
/* Texts of jobs that are sent with their starts between two ticks, beyond
 * which starts wait: queued calls would fill the memory of the leader. Short
 * texts are not counted. */
#define SCHED_MAX_TEXT_BYTES ((size_t)2 * 1024 * 1024)
#define SCHED_SHORT_TEXT_BYTES 4096
/* Interval of the commands that store which jobs have begun, and time after
 * which a job is in one again. Most short jobs end before the first. */
#define SCHED_BEGUN_INTERVAL_MS 500
#define SCHED_BEGUN_RETRY_MS 2000

void
SchedImpl_NoteBegun(Job *job)
{
    job->sched_state.begun = true;
}

/* Returns whether it has to be proposed that a job has begun. */
static bool
is_begun_unstored(const Job *job, int64_t now)
{
    return job->phase == JOB_QUEUED && job->sched_state.begun &&
           (job->sched_state.begun_proposed_ms == 0 ||
            now - job->sched_state.begun_proposed_ms >= SCHED_BEGUN_RETRY_MS);
}

void
SchedImpl_ProposeBegun(JobSched *sched, int64_t now)
{
    const Job *jobs[SCHED_MAX_COMMAND_ROWS];
    size_t count = 0;
    Job *job;

    if (now < sched->next_begun_ms) {
        return;
    }
    sched->next_begun_ms = now + SCHED_BEGUN_INTERVAL_MS;
    for (job = JobState_FirstActive(sched->state);
         job != NULL && count < SCHED_MAX_COMMAND_ROWS; job = job->next) {
        if (is_begun_unstored(job, now)) {
            job->sched_state.begun_proposed_ms = now;
            jobs[count++] = job;
        }
    }
    if (count > 0) {
        Buf command = BUF_INIT;
        JobCmd_EncodeBegun(&command, jobs, count);
        SchedImpl_Propose(sched, SCHED_OTHER, &command, JOB_NO_TARGET, 0);
    }
}

void
SchedImpl_StartRun(JobSched *sched, int64_t now, const JobRun *run)
{
    JobTask *task = JobRun_GetTask(run);
    JobTarget *target = JobState_TargetAt(sched->state, task->target);
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);
    JobAction *action;

    if (!live->clock_known || live->checking_restart || live->readmitting ||
        live->departure_ms != 0) {
        /* The start is sent once the clock and incarnation are known. */
        task->sched_state.phase = JOB_SCHED_STARTING;
        task->sched_state.calling = false;
        return;
    }
    action = SchedImpl_AddAction(sched, JOB_ACTION_START);
    SchedImpl_FillCall(action, target, live, now);
    action->task = JobRun_GetTaskRef(run);
    action->attempt = task->attempt;
    action->deadline_ms = SchedImpl_GrantLease(sched, live, now);
    if (task->sched_state.sent_ms == 0) {
        task->sched_state.sent_ms = now;
    }
    task->sched_state.phase = JOB_SCHED_STARTING;
    task->sched_state.since_ms = now;
    task->sched_state.calling = true;
    task->sched_state.unsent = false;
    live->run_calls++;
    if (run->job->spec.text_len > SCHED_SHORT_TEXT_BYTES) {
        sched->tick_text_bytes += run->job->spec.text_len;
    }
    sched->counts.calls++;
}

void
SchedImpl_StopTask(JobSched *sched, int64_t now, JobTarget *target,
                   const JobTaskRef *ref, uint32_t attempt)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);
    JobAction *action = SchedImpl_AddAction(sched, JOB_ACTION_STOP);

    SchedImpl_FillCall(action, target, live, now);
    action->task = *ref;
    action->attempt = attempt;
    live->run_calls++;
    sched->counts.calls++;
}

void
SchedImpl_StopRun(JobSched *sched, int64_t now, const JobRun *run)
{
    JobTask *task = JobRun_GetTask(run);
    JobTaskRef ref = JobRun_GetTaskRef(run);

    task->sched_state.phase = JOB_SCHED_STOPPING;
    task->sched_state.since_ms = now;
    task->sched_state.calling = true;
    task->sched_state.stop_accepted = false;
    SchedImpl_StopTask(sched, now,
                       JobState_TargetAt(sched->state, task->target), &ref,
                       task->attempt);
}

static bool
is_unwanted(const JobRun *run)
{
    return run->job->phase >= JOB_COMPLETED ||
           JobRun_GetTask(run)->sched_state.must_stop;
}

/* Gives up a run that has no room at its target. */
static void
decline_run(JobSched *sched, int64_t now, const JobRun *run)
{
    JobTask *task = JobRun_GetTask(run);
    JobTarget *target = JobState_TargetAt(sched->state, task->target);

    if (task->sched_state.unsent) {
        JobEnd end = SchedImpl_GetUnlistedEnd(sched, run, JOB_END_REFUSED);
        SchedImpl_ProposeEnds(sched, target, &end, 1);
        task->sched_state.phase = JOB_SCHED_STOPPING;
        task->sched_state.since_ms = now;
        task->sched_state.must_stop = true;
        task->sched_state.stop_accepted = true;
    }
    else if (SchedImpl_EnsureLive(sched, target)->fenced) {
        /* An earlier start may have taken effect; its end settles that. */
        Slog_Begin(SLOG_CHANGE, "start_withdrawn");
        Slog_AddTask(run->job->id, run->occurrence, run->step, run->index);
        Slog_AddInt("attempt", task->attempt);
        Slog_AddText("target", target->announcement.id);
        Slog_End();
        task->sched_state.must_stop = true;
        SchedImpl_StopRun(sched, now, run);
    }
}

/* Returns whether a start or stop of a task may still be answered. */
static bool
is_calling(const JobSched *sched, int64_t now, const JobTask *task)
{
    return task->sched_state.calling && now - task->sched_state.since_ms <
                                            sched->options.call_timeout_ms * 2;
}

/* Returns whether one more start or stop, with a text of a job, may be sent to
 * the target of a run. Counts it as delayed if not. */
static bool
may_call(JobSched *sched, const JobRun *run, size_t text_len)
{
    SchedTarget *live = SchedImpl_EnsureLive(
        sched, JobState_TargetAt(sched->state, JobRun_GetTask(run)->target));

    if (live->run_calls < SCHED_MAX_RUN_CALLS &&
        (text_len <= SCHED_SHORT_TEXT_BYTES ||
         sched->tick_text_bytes < SCHED_MAX_TEXT_BYTES)) {
        return true;
    }
    live->delayed_run_calls++;
    return false;
}

void
SchedImpl_AdvanceRun(JobSched *sched, int64_t now, const JobRun *run)
{
    JobTask *task = JobRun_GetTask(run);
    bool due = now - task->sched_state.since_ms >= SCHED_CALL_RETRY_MS;

    if (is_calling(sched, now, task)) {
        return;
    }
    if (is_unwanted(run)) {
        /* After an accepted stop, the next hold lists the end; another stop
         * would only delay that. */
        due = due && (!task->sched_state.stop_accepted ||
                      now - task->sched_state.since_ms >= SCHED_STOP_RETRY_MS);
        if ((task->sched_state.phase != JOB_SCHED_STOPPING || due) &&
            may_call(sched, run, 0)) {
            SchedImpl_StopRun(sched, now, run);
        }
        return;
    }
    if ((task->sched_state.phase == JOB_SCHED_NONE ||
         (task->sched_state.phase == JOB_SCHED_STARTING && due)) &&
        may_call(sched, run, run->job->spec.text_len)) {
        if (SchedImpl_MayStart(sched, now, run)) {
            SchedImpl_StartRun(sched, now, run);
        }
        else {
            decline_run(sched, now, run);
        }
    }
}

bool
SchedImpl_MayAdvance(const SchedTarget *live)
{
    return (live->fenced || live->clock_known) && !live->checking_restart &&
           !live->readmitting;
}

void
SchedImpl_AdvanceRuns(JobSched *sched, int64_t now, JobTarget *target)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);
    uint32_t i;

    live->run_calls = 0;
    live->delayed_run_calls = 0;
    for (i = 0; i < target->run_count; i++) {
        live->run_calls +=
            is_calling(sched, now, JobRun_GetTask(&target->runs[i]));
    }
    for (i = 0; i < target->run_count; i++) {
        SchedImpl_AdvanceRun(sched, now, &target->runs[i]);
    }
}

void
SchedImpl_FinishRunCall(JobSched *sched, int64_t now, JobTarget *target)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);

    if (live->run_calls > 0) {
        live->run_calls--;
    }
    /* A look at all runs for each answer would cost more than the calls. */
    if (live->delayed_run_calls > 0 && SchedImpl_MayAdvance(live) &&
        live->run_calls <= SCHED_MAX_RUN_CALLS / 2) {
        SchedImpl_AdvanceRuns(sched, now, target);
    }
}

static void
log_end(const JobEnd *end, const JobTarget *target)
{
    static const char *const names[] = {"done",    "failed", "stopped",
                                        "lapsed",  "broken", "alone",
                                        "refused", "lost"};

    Slog_Begin(end->kind == JOB_END_DONE ? SLOG_ROUTINE : SLOG_FAILURE,
               "run_ended");
    Slog_AddTask(end->task.job, end->task.occurrence, end->task.step,
                 end->task.index);
    Slog_AddInt("attempt", end->attempt);
    Slog_AddText("how", names[end->kind]);
    Slog_AddText("target", target->announcement.id);
    Slog_AddInt("number", (int64_t)end->number);
    Slog_End();
}

void
SchedImpl_ProposeEnds(JobSched *sched, JobTarget *target, const JobEnd *ends,
                      size_t count)
{
    size_t first;
    size_t i;

    for (i = 0; i < count; i++) {
        log_end(&ends[i], target);
    }
    for (first = 0; first < count; first += SCHED_MAX_COMMAND_ROWS) {
        size_t left = count - first;
        Buf command = BUF_INIT;
        JobCmd_EncodeEnds(
            &command, target->row, target->serial, sched->wall_ms,
            ends + first,
            left < SCHED_MAX_COMMAND_ROWS ? left : SCHED_MAX_COMMAND_ROWS);
        SchedImpl_Propose(sched, SCHED_ENDS, &command, target->row,
                          target->serial);
        SchedImpl_EnsureLive(sched, target)->ends_in_flight++;
    }
}

JobEnd
SchedImpl_GetUnlistedEnd(JobSched *sched, const JobRun *run, JobEndKind kind)
{
    if (kind == JOB_END_LOST) {
        sched->counts.lost++;
    }
    else {
        sched->counts.refused++;
    }
    return (JobEnd){JobRun_GetTaskRef(run), JobRun_GetTask(run)->attempt, kind,
                    0, ""};
}

void
SchedImpl_LoseRuns(JobSched *sched, JobTarget *target)
{
    JobEnd *ends = Mem_New(target->run_count + 1, sizeof(*ends));
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        ends[i].task = JobRun_GetTaskRef(&target->runs[i]);
        ends[i].attempt = JobRun_GetTask(&target->runs[i])->attempt;
        ends[i].kind = JOB_END_LOST;
        ends[i].checkpoint = "";
    }
    sched->counts.lost += target->run_count;
    if (SchedImpl_EnsureLive(sched, target)->departure_ms == 0) {
        SchedImpl_RememberLostRuns(sched, sched->now_ms, target);
    }
    SchedImpl_ProposeEnds(sched, target, ends, target->run_count);
    free(ends);
}
