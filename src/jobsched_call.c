#include "jobsched_impl.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "slog.h"

/* A list with this many ends may be incomplete. */
#define SCHED_MAX_LISTED_ENDS 500
/* Runs in long lists that are handled in a ms, and longest delay of a hold for
 * that. */
#define SCHED_LISTED_RUNS_PER_MS 50
#define SCHED_MAX_HOLD_DELAY_MS 400
/* Tolerance in the comparison of two readings of a target's clock. */
#define SCHED_CLOCK_TOLERANCE_MS 100
/* Consecutive failed runs before a target is quarantined, and for how long. */
#define SCHED_QUARANTINE_FAILURES 4
#define SCHED_QUARANTINE_MS 4000

/* Returns the task of a listed run if that is assigned to the target, and
 * fills run, or returns NULL. */
static JobTask *
find_assigned(const JobSched *sched, const JobTarget *target,
              const JobTaskRef *ref, uint32_t attempt, JobRun *run)
{
    Job *job;
    JobTask *task = JobState_FindTask(sched->state, ref, &job);

    if (task == NULL || task->state != JOB_TASK_ASSIGNED ||
        task->target != target->row || task->attempt != attempt) {
        return NULL;
    }
    *run = (JobRun){job, ref->occurrence, ref->step, ref->index};
    return task;
}

/* Stops a run at a target that is not assigned to it. */
static void
stop_stray_run(JobSched *sched, int64_t now, JobTarget *target,
               const JobRunning *running)
{
    Slog_Begin(SLOG_FAILURE, "stray_run");
    Slog_AddTask(running->task.job, running->task.occurrence,
                 running->task.step, running->task.index);
    Slog_AddInt("attempt", running->attempt);
    Slog_AddText("target", target->announcement.id);
    Slog_End();
    SchedImpl_StopTask(sched, now, target, &running->task, running->attempt);
}

static void
record_running(JobSched *sched, const JobRun *run, const JobRunning *running,
               int64_t now)
{
    JobTask *task = JobRun_GetTask(run);

    task->ran_ms = now;
    SchedImpl_NoteBegun(run->job);
    if (task->sched_state.phase == JOB_SCHED_RUNNING &&
        !task->sched_state.proven &&
        now - task->sched_state.since_ms >= SCHED_PROBATION_MS) {
        task->sched_state.proven = true;
        if (task->crash_score > 0) {
            SchedImpl_ClearCrashes(sched, run);
        }
    }
    if (task->sched_state.phase != JOB_SCHED_STOPPING &&
        task->sched_state.phase != JOB_SCHED_RUNNING) {
        task->sched_state.phase = JOB_SCHED_RUNNING;
        task->sched_state.since_ms = now;
        task->sched_state.calling = false;
    }
    task->sched_state.percent =
        (uint8_t)(running->percent > 100 ? 100 : running->percent);
}

/* Updates the assigned tasks that an answer lists and marks their listing.
 * Stops the other runs that it lists, or all of them, up to the limit of
 * calls; later answers list the rest again. Returns the number of these. */
static size_t
handle_lists(JobSched *sched, int64_t now, JobTarget *target,
             const JobCallAnswer *answer, bool stop_all)
{
    size_t strays = 0;
    JobRun run;
    size_t i;

    for (i = 0; i < answer->running_count; i++) {
        const JobRunning *running = &answer->running[i];
        JobTask *task = find_assigned(sched, target, &running->task,
                                      running->attempt, &run);
        if (task != NULL && !stop_all) {
            task->sched_state.marks |= SCHED_LISTED_RUNNING;
            record_running(sched, &run, running, now);
        }
        else if (strays++ < SCHED_MAX_RUN_CALLS) {
            stop_stray_run(sched, now, target, running);
        }
    }
    for (i = 0; i < answer->end_count; i++) {
        const JobEnd *end = &answer->ends[i];
        JobTask *task =
            find_assigned(sched, target, &end->task, end->attempt, &run);
        if (task != NULL && !stop_all) {
            task->sched_state.marks |= SCHED_LISTED_ENDED;
        }
    }
    return strays;
}

/* Returns whether a run that its target does not list has ended, as the target
 * knew of it when it answered. */
static bool
has_ended_unlisted(const JobTask *task, const JobAction *call)
{
    return !task->sched_state.calling &&
           task->sched_state.since_ms < call->sent_ms &&
           task->sched_state.phase >= JOB_SCHED_RUNNING &&
           (task->sched_state.phase != JOB_SCHED_STOPPING ||
            task->sched_state.stop_accepted);
}

/* Proposes the end of the assigned tasks that an answer does not list, and
 * clears the marks of handle_lists. */
static void
reconcile(JobSched *sched, int64_t now, JobTarget *target,
          const JobAction *call, const JobCallAnswer *answer)
{
    JobEnd *ends = NULL;
    size_t count = 0;
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        JobTask *task = JobRun_GetTask(run);
        bool listed = task->sched_state.marks != 0;
        task->sched_state.marks = 0;
        if (listed || answer->end_count >= SCHED_MAX_LISTED_ENDS ||
            !has_ended_unlisted(task, call)) {
            continue;
        }
        if (ends == NULL) {
            ends = Mem_New(target->run_count, sizeof(*ends));
        }
        ends[count++] = SchedImpl_GetUnlistedEnd(
            sched, run,
            task->sched_state.phase == JOB_SCHED_STOPPING ? JOB_END_STOPPED
                                                          : JOB_END_LOST);
        task->sched_state.since_ms = now;
    }
    SchedImpl_ProposeEnds(sched, target, ends, count);
    free(ends);
}

static void
count_end(JobSched *sched, SchedTarget *live, const JobTarget *target,
          const JobEnd *end, int64_t now)
{
    if (end->kind == JOB_END_DONE) {
        sched->counts.done++;
        live->failures = 0;
    }
    else if (end->kind == JOB_END_FAILED) {
        sched->counts.failed++;
        live->failures++;
        if (live->failures >= SCHED_QUARANTINE_FAILURES) {
            live->quarantine_end_ms = now + SCHED_QUARANTINE_MS;
            Slog_Begin(SLOG_CHANGE, "target_set_aside");
            Slog_AddText("target", target->announcement.id);
            Slog_AddInt("failures", live->failures);
            Slog_End();
        }
    }
}

static void
propose_new_ends(JobSched *sched, int64_t now, JobTarget *target,
                 const JobCallAnswer *answer)
{
    SchedTarget *live = SchedImpl_FindLive(target);
    /* A target lists ends that it has not discarded again, lowest first. */
    size_t count = answer->end_count < SCHED_MAX_COMMAND_ROWS
                       ? answer->end_count
                       : SCHED_MAX_COMMAND_ROWS;
    size_t i;

    if (count == 0 || live->ends_in_flight > 0 ||
        answer->ends[count - 1].number <= target->last_applied_end) {
        return;
    }
    for (i = 0; i < count; i++) {
        if (answer->ends[i].number > target->last_applied_end) {
            count_end(sched, live, target, &answer->ends[i], now);
        }
    }
    SchedImpl_ProposeEnds(sched, target, answer->ends, count);
}

/* Spaces out the answers with long lists, so that the leader handles at most
 * SCHED_LISTED_RUNS_PER_MS of their runs. A list with as many ends as fit is
 * followed by the next at once. */
static void
delay_next_hold(const JobSched *sched, int64_t now, const JobTarget *target,
                const JobCallAnswer *answer)
{
    int64_t delay_ms = sched->long_list_runs / SCHED_LISTED_RUNS_PER_MS;

    if (answer->running_count <= SCHED_LONG_LIST ||
        answer->end_count >= SCHED_MAX_LISTED_ENDS) {
        return;
    }
    SchedImpl_FindLive(target)->hold_not_before_ms =
        now + (delay_ms < SCHED_MAX_HOLD_DELAY_MS ? delay_ms
                                                  : SCHED_MAX_HOLD_DELAY_MS);
}

/* Returns what is stored of the incarnation that was verified. It may differ
 * in everything from the earlier one. Until it has announced itself it has no
 * room, and so gets no task. */
static JobAnnouncement
get_successor(const JobTarget *target)
{
    const SchedTarget *live = SchedImpl_FindLive(target);
    JobAnnouncement next = target->announcement;

    if (next.born == live->checked_born) {
        return next;
    }
    if (live->successor.born == live->checked_born) {
        return live->successor;
    }
    next.leaving = false;
    next.born = live->checked_born;
    next.label_count = 0;
    next.room = (JobResources){0, 0, 0};
    return next;
}

/* Finishes the verification of a new incarnation. Any runs that it started are
 * stopped first: a delayed call to the old incarnation caused them, and the
 * old assignments must not be released while they run. */
static void
finish_restart_check(JobSched *sched, int64_t now, JobTarget *target,
                     const JobCallAnswer *answer)
{
    SchedTarget *live = SchedImpl_FindLive(target);
    JobAnnouncement announcement;

    if (answer->born > live->checked_born) {
        live->checked_born = answer->born;
        live->checked_leaving = false;
    }
    if (handle_lists(sched, now, target, answer, true) > 0) {
        live->hold_due_ms = now + sched->options.stop_ms;
        return;
    }
    if (answer->end_count > 0) {
        JobEnd *ends = Mem_New(1, answer->end_count * sizeof(*ends));
        size_t i;
        for (i = 0; i < answer->end_count; i++) {
            ends[i] = answer->ends[i];
            ends[i].number = 0;
        }
        SchedImpl_ProposeEnds(sched, target, ends, answer->end_count);
        free(ends);
    }
    SchedImpl_RecordCrash(sched, now, target);
    announcement = get_successor(target);
    announcement.leaving = announcement.leaving || live->checked_leaving;
    live->checking_restart = false;
    live->announcement_pending = true;
    live->readmitting = true;
    SchedImpl_ProposeTarget(sched, &announcement, target);
}

static void
handle_hold_answer(JobSched *sched, int64_t now, JobTarget *target,
                   const JobAction *call, const JobCallAnswer *answer)
{
    SchedTarget *live = SchedImpl_FindLive(target);

    live->fenced = true;
    if (live->checking_restart && answer->born == target->announcement.born) {
        live->checking_restart = false; /* a wrong clock reading, no restart */
    }
    if (live->checking_restart) {
        finish_restart_check(sched, now, target, answer);
        return;
    }
    if (call->ack >= target->last_applied_end) {
        live->ack_due = false;
    }
    handle_lists(sched, now, target, answer, false);
    propose_new_ends(sched, now, target, answer);
    reconcile(sched, now, target, call, answer);
    delay_next_hold(sched, now, target, answer);
    /* advance_target still delays the next hold while a proposal of ends is in
     * flight, as the hold would only list them again. */
    live->hold_due_ms = now;
}

static void
handle_start_answer(JobSched *sched, int64_t now, JobTarget *target,
                    const JobAction *call, const JobCallAnswer *answer)
{
    Job *job;
    JobTask *task = JobState_FindTask(sched->state, &call->task, &job);
    SchedTarget *live = SchedImpl_FindLive(target);
    JobRun run = {job, call->task.occurrence, call->task.step,
                  call->task.index};

    if (task != NULL && answer->outcome == JOB_CALL_OK) {
        SchedImpl_NoteBegun(job); /* also if another run has overtaken it */
    }
    if (task == NULL || task->state != JOB_TASK_ASSIGNED ||
        task->target != call->row || task->attempt != call->attempt ||
        task->sched_state.phase != JOB_SCHED_STARTING) {
        return;
    }
    task->sched_state.calling = false;
    switch (answer->outcome) {
    case JOB_CALL_OK:
        task->sched_state.phase = JOB_SCHED_RUNNING;
        task->sched_state.since_ms = now;
        task->ran_ms = now;
        sched->counts.started++;
        Slog_Begin(SLOG_ROUTINE, "run_started");
        Slog_AddTask(call->task.job, call->task.occurrence, call->task.step,
                     call->task.index);
        Slog_AddInt("attempt", call->attempt);
        Slog_AddText("target", target->announcement.id);
        Slog_End();
        break;
    case JOB_CALL_NO_ROOM:
    case JOB_CALL_LATE:
    case JOB_CALL_STALE:
    case JOB_CALL_INVALID:
        Slog_Begin(SLOG_FAILURE, "start_refused");
        Slog_AddTask(call->task.job, call->task.occurrence, call->task.step,
                     call->task.index);
        Slog_AddInt("attempt", call->attempt);
        Slog_AddText("target", target->announcement.id);
        Slog_AddInt("outcome", answer->outcome);
        Slog_End();
        /* An earlier copy of this call may have started the run; a stop
         * establishes whether it did. */
        task->sched_state.must_stop = true;
        SchedImpl_StopRun(sched, now, &run);
        break;
    case JOB_CALL_UNHEALTHY:
        live->unanswered++;
        task->sched_state.must_stop = true;
        SchedImpl_StopRun(sched, now, &run);
        break;
    case JOB_CALL_FENCED:
    case JOB_CALL_OTHER_INSTANCE:
    case JOB_CALL_NO_ANSWER:
    case JOB_CALL_AGENT_LOST:
        break;
    }
}

static void
handle_stop_answer(JobSched *sched, int64_t now, const JobAction *call,
                   const JobCallAnswer *answer)
{
    Job *job;
    JobTask *task = JobState_FindTask(sched->state, &call->task, &job);

    if (task == NULL || task->state != JOB_TASK_ASSIGNED ||
        task->target != call->row || task->attempt != call->attempt ||
        task->sched_state.phase != JOB_SCHED_STOPPING) {
        return;
    }
    if (answer->outcome == JOB_CALL_OK) {
        /* The next hold lists the end, or shows that the task never ran. */
        task->sched_state.calling = false;
        task->sched_state.stop_accepted = true;
        task->sched_state.since_ms = now;
    }
    else if (answer->outcome != JOB_CALL_NO_ANSWER &&
             answer->outcome != JOB_CALL_AGENT_LOST) {
        task->sched_state.calling = false;
    }
}

/* Returns whether the target has restarted, which shows in a clock that went
 * back. Allows for answers that arrive out of order. */
static bool
is_restarted(const SchedTarget *live, int64_t now, const JobAction *call,
             const JobCallAnswer *answer)
{
    int64_t elapsed_ms =
        (now - call->sent_ms) * (100 + JOBSCHED_CLOCK_DRIFT_PERCENT) / 100;

    return live->clock_known && !live->checking_restart &&
           answer->clock_ms >= 0 &&
           answer->clock_ms + elapsed_ms + SCHED_CLOCK_TOLERANCE_MS <
               live->clock_ms;
}

/* Begins a restart check if an answer shows that the target has restarted, by
 * its start time or by a clock that went back. */
static bool
check_restart(JobSched *sched, int64_t now, JobTarget *target,
              const JobAction *call, const JobCallAnswer *answer)
{
    const SchedTarget *live = SchedImpl_FindLive(target);

    if (call->kind == JOB_ACTION_HOLD && answer->outcome == JOB_CALL_OK &&
        answer->born > target->announcement.born && !live->checking_restart) {
        SchedImpl_RecordCrash(sched, now, target);
        SchedImpl_BeginRestartCheck(sched, now, target, answer->born);
        return true;
    }
    if (is_restarted(live, now, call, answer)) {
        /* The next hold returns the actual start time. */
        SchedImpl_BeginRestartCheck(sched, now, target,
                                    target->announcement.born + 1);
        return true;
    }
    return false;
}

/* Returns whether a call went to the address that its target has now. */
static bool
is_at_current_address(const JobTarget *target, const JobAction *call)
{
    return strcmp(call->address, target->announcement.address) == 0 &&
           !SchedImpl_FindLive(target)->announcement_pending;
}

void
JobSched_HandleAnswer(JobSched *sched, int64_t now, const JobAction *call,
                      const JobCallAnswer *answer)
{
    JobTarget *target = JobState_TargetAt(sched->state, call->row);
    SchedTarget *live;

    sched->now_ms = now;
    if (!sched->leads || target == NULL || target->serial != call->serial) {
        return;
    }
    live = SchedImpl_EnsureLive(sched, target);
    if (live->incarnation != call->incarnation) {
        return;
    }
    if (call->kind == JOB_ACTION_HOLD) {
        live->hold_in_flight = false;
        live->hold_due_ms = now + SCHED_HOLD_RETRY_MS;
    }
    if (answer->outcome == JOB_CALL_NO_ANSWER) {
        if (live->unanswered == 0) {
            live->silent_since_ms = now;
        }
        live->unanswered++;
        live->departure_missed++;
        sched->counts.unanswered++;
    }
    else if (answer->outcome == JOB_CALL_AGENT_LOST) {
        sched->counts.unanswered++;
    }
    else if (answer->outcome == JOB_CALL_OTHER_INSTANCE) {
        if (is_at_current_address(target, call)) {
            SchedImpl_RecordCrash(sched, now, target);
            SchedImpl_ProposeRemoval(sched, target, SCHED_REMOVE_SILENT,
                                     "another target has its address");
            return;
        }
    }
    else {
        bool restarted = check_restart(sched, now, target, call, answer);
        live->unanswered = 0;
        live->last_seen_ms = now;
        live->last_answer_ms = now;
        if (call->sent_ms >= live->departure_ms) {
            live->departure_ms = 0; /* an earlier incarnation departed */
        }
        if (restarted) {
            return;
        }
        if (!live->checking_restart) {
            SchedImpl_ForgetLostRuns(sched, target);
        }
        SchedImpl_RecordClock(sched, live, now, answer->clock_ms);
    }
    switch (call->kind) {
    case JOB_ACTION_START:
        handle_start_answer(sched, now, target, call, answer);
        SchedImpl_FinishRunCall(sched, now, target);
        break;
    case JOB_ACTION_STOP:
        handle_stop_answer(sched, now, call, answer);
        SchedImpl_FinishRunCall(sched, now, target);
        break;
    case JOB_ACTION_HOLD:
        if (answer->outcome == JOB_CALL_OK) {
            handle_hold_answer(sched, now, target, call, answer);
        }
        break;
    case JOB_ACTION_PROPOSE:
        break;
    }
}
