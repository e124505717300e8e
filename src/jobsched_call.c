#include "jobsched_impl.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "slog.h"

/* A failed hold is repeated after this. */
#define SCHED_HOLD_RETRY_MS 250
/* Ends in one list of a target; a longer list may be incomplete. */
#define SCHED_LIST_ENDS 500
/* A clock that was read this much earlier than another is behind it. */
#define SCHED_CLOCK_SLACK_MS 100
/* Runs that fail in a row before a target is set aside, and for how long. */
#define SCHED_SHUN_FAILURES 4
#define SCHED_SHUN_MS 4000

static const JobRunning *
find_running(const JobCallAnswer *answer, const JobTaskRef *ref,
             uint32_t attempt)
{
    size_t i;

    for (i = 0; i < answer->running_count; i++) {
        const JobRunning *row = &answer->running[i];
        if (row->attempt == attempt && JobTaskRef_IsSame(&row->task, ref)) {
            return row;
        }
    }
    return NULL;
}

static bool
is_listed_end(const JobCallAnswer *answer, const JobTaskRef *ref,
              uint32_t attempt)
{
    size_t i;

    for (i = 0; i < answer->end_count; i++) {
        const JobEnd *row = &answer->ends[i];
        if (row->attempt == attempt && JobTaskRef_IsSame(&row->task, ref)) {
            return true;
        }
    }
    return false;
}

/* Stops what runs there without being assigned there. */
static size_t
stop_strays(JobSched *sched, int64_t now, JobTarget *target,
            const JobCallAnswer *answer, bool all)
{
    size_t strays = 0;
    size_t i;

    for (i = 0; i < answer->running_count; i++) {
        const JobRunning *row = &answer->running[i];
        Job *job;
        JobTask *task = JobState_Task(sched->state, &row->task, &job);
        if (!all && task != NULL && task->state == JOB_TASK_ASSIGNED &&
            task->target == target->row && task->attempt == row->attempt) {
            continue;
        }
        strays++;
        Slog_Begin(SLOG_FAILURE, "stray_run");
        Slog_Task(row->task.job, row->task.occurrence, row->task.step,
                  row->task.index);
        Slog_Int("attempt", row->attempt);
        Slog_Text("target", target->says.id);
        Slog_End();
        SchedImpl_StopTask(sched, now, target, &row->task, row->attempt);
    }
    return strays;
}

static void
note_running(JobTask *task, const JobRunning *row, int64_t now)
{
    if (task->live.phase != JOB_LIVE_STOPPING &&
        task->live.phase != JOB_LIVE_RUNNING) {
        task->live.phase = JOB_LIVE_RUNNING;
        task->live.since_ms = now;
        task->live.calling = false;
    }
    task->live.percent = (uint8_t)(row->percent > 100 ? 100 : row->percent);
}

/* Compares the lists of a target with what is assigned to it. */
static void
reconcile(JobSched *sched, int64_t now, JobTarget *target,
          const JobAction *call, const JobCallAnswer *answer)
{
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        JobTask *task = JobRun_Task(run);
        JobTaskRef ref = JobRun_Ref(run);
        const JobRunning *row = find_running(answer, &ref, task->attempt);
        if (row != NULL) {
            note_running(task, row, now);
            continue;
        }
        if (task->live.calling || task->live.since_ms >= call->sent_ms ||
            task->live.phase < JOB_LIVE_RUNNING ||
            answer->end_count >= SCHED_LIST_ENDS ||
            is_listed_end(answer, &ref, task->attempt)) {
            continue;
        }
        SchedImpl_EndUnlisted(sched, target, run,
                              task->live.phase == JOB_LIVE_STOPPING
                                  ? JOB_END_STOPPED
                                  : JOB_END_LOST);
        task->live.since_ms = now;
    }
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
        if (live->failures >= SCHED_SHUN_FAILURES) {
            live->shunned_ms = now + SCHED_SHUN_MS;
            Slog_Begin(SLOG_CHANGE, "target_set_aside");
            Slog_Text("target", target->says.id);
            Slog_Int("failures", live->failures);
            Slog_End();
        }
    }
}

static void
take_ends(JobSched *sched, int64_t now, JobTarget *target,
          const JobCallAnswer *answer)
{
    SchedTarget *live = SchedImpl_LiveOf(target);
    size_t i;

    if (answer->end_count == 0 || live->ends_proposed ||
        answer->ends[answer->end_count - 1].number <= target->ends_taken) {
        return;
    }
    for (i = 0; i < answer->end_count; i++) {
        if (answer->ends[i].number > target->ends_taken) {
            count_end(sched, live, target, &answer->ends[i], now);
        }
    }
    SchedImpl_ProposeEnds(sched, target, answer->ends, answer->end_count);
}

/* Finishes the check of a later life: what it ran for the earlier one's
 * assignments is ended before they are released. */
static void
finish_rebirth(JobSched *sched, int64_t now, JobTarget *target,
               const JobCallAnswer *answer)
{
    SchedTarget *live = SchedImpl_LiveOf(target);
    JobAnnouncement says = target->says;

    if (answer->born > live->reborn_at) {
        live->reborn_at = answer->born;
    }
    if (stop_strays(sched, now, target, answer, true) > 0) {
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
    says.born = live->reborn_at;
    says.leaving = false;
    live->reborn = false;
    live->storing = true;
    live->readmitting = true;
    SchedImpl_ProposeTarget(sched, &says, target);
}

static void
hold_answered(JobSched *sched, int64_t now, JobTarget *target,
              const JobAction *call, const JobCallAnswer *answer)
{
    SchedTarget *live = SchedImpl_LiveOf(target);

    live->fenced = true;
    if (answer->born > target->says.born && !live->reborn) {
        SchedImpl_BeginRebirth(sched, now, target, answer->born);
        return;
    }
    if (live->reborn && answer->born == target->says.born) {
        live->reborn = false; /* its clock was misread */
    }
    if (live->reborn) {
        finish_rebirth(sched, now, target, answer);
        return;
    }
    if (call->ack >= target->ends_taken) {
        live->ack_due = false;
    }
    stop_strays(sched, now, target, answer, false);
    take_ends(sched, now, target, answer);
    reconcile(sched, now, target, call, answer);
    /* While ends are on their way through the log a further hold would only
     * list them again. */
    live->hold_due_ms = now;
}

static void
start_answered(JobSched *sched, int64_t now, JobTarget *target,
               const JobAction *call, const JobCallAnswer *answer)
{
    Job *job;
    JobTask *task = JobState_Task(sched->state, &call->task, &job);
    SchedTarget *live = SchedImpl_LiveOf(target);
    JobRun run = {job, call->task.occurrence, call->task.step,
                  call->task.index};

    if (task == NULL || task->state != JOB_TASK_ASSIGNED ||
        task->target != call->row || task->attempt != call->attempt ||
        task->live.phase != JOB_LIVE_STARTING) {
        return;
    }
    task->live.calling = false;
    switch (answer->outcome) {
    case JOB_CALL_OK:
        task->live.phase = JOB_LIVE_RUNNING;
        task->live.since_ms = now;
        sched->counts.started++;
        Slog_Begin(SLOG_ROUTINE, "run_started");
        Slog_Task(call->task.job, call->task.occurrence, call->task.step,
                  call->task.index);
        Slog_Int("attempt", call->attempt);
        Slog_Text("target", target->says.id);
        Slog_End();
        break;
    case JOB_CALL_NO_ROOM:
    case JOB_CALL_LATE:
    case JOB_CALL_OLD:
    case JOB_CALL_INVALID:
        Slog_Begin(SLOG_FAILURE, "start_refused");
        Slog_Task(call->task.job, call->task.occurrence, call->task.step,
                  call->task.index);
        Slog_Int("attempt", call->attempt);
        Slog_Text("target", target->says.id);
        Slog_Int("outcome", answer->outcome);
        Slog_End();
        /* An earlier copy of this order may have started it: a stop settles
         * whether it runs. */
        task->live.must_stop = true;
        SchedImpl_StopRun(sched, now, &run);
        break;
    case JOB_CALL_UNHEALTHY:
        live->unanswered++;
        task->live.must_stop = true;
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
stop_answered(JobSched *sched, int64_t now, const JobAction *call,
              const JobCallAnswer *answer)
{
    Job *job;
    JobTask *task = JobState_Task(sched->state, &call->task, &job);

    if (task == NULL || task->state != JOB_TASK_ASSIGNED ||
        task->target != call->row || task->attempt != call->attempt ||
        task->live.phase != JOB_LIVE_STOPPING) {
        return;
    }
    if (answer->outcome == JOB_CALL_OK) {
        /* The next hold lists its end, or shows that it never ran. */
        task->live.calling = false;
        task->live.settled = true;
        task->live.since_ms = now;
    }
    else if (answer->outcome != JOB_CALL_NO_ANSWER &&
             answer->outcome != JOB_CALL_AGENT_LOST) {
        task->live.calling = false;
    }
}

/* Returns whether the clock of an answer stands before an earlier one, though
 * answers may overtake each other: then a later life has answered. */
static bool
is_another_life(const SchedTarget *live, int64_t now, const JobAction *call,
                const JobCallAnswer *answer)
{
    int64_t took = (now - call->sent_ms) * (100 + JOBSCHED_CLOCK_DRIFT) / 100;

    return live->clock_known && !live->reborn && answer->clock_ms >= 0 &&
           answer->clock_ms + took + SCHED_CLOCK_SLACK_MS < live->clock_ms;
}

void
JobSched_Answered(JobSched *sched, int64_t now, const JobAction *call,
                  const JobCallAnswer *answer)
{
    JobTarget *target = JobState_Target(sched->state, call->row);
    SchedTarget *live;

    sched->now_ms = now;
    if (!sched->leads || target == NULL || target->serial != call->serial) {
        return;
    }
    live = SchedImpl_Live(sched, target);
    if (live->life != call->life) {
        return;
    }
    if (call->kind == JOB_ACTION_HOLD) {
        live->holding = false;
        live->hold_due_ms = now + SCHED_HOLD_RETRY_MS;
    }
    if (answer->outcome == JOB_CALL_NO_ANSWER) {
        live->unanswered++;
        sched->counts.unanswered++;
    }
    else if (answer->outcome == JOB_CALL_AGENT_LOST) {
        sched->counts.unanswered++;
    }
    else if (answer->outcome == JOB_CALL_OTHER_INSTANCE) {
        SchedImpl_ProposeGone(sched, target, "another target has its address");
        return;
    }
    else {
        live->unanswered = 0;
        live->heard_ms = now;
        live->answered_ms = now;
        if (is_another_life(live, now, call, answer)) {
            /* A hold will tell when it was born. */
            SchedImpl_BeginRebirth(sched, now, target, target->says.born + 1);
            return;
        }
        SchedImpl_NoteClock(sched, live, now, answer->clock_ms);
    }
    switch (call->kind) {
    case JOB_ACTION_START:
        start_answered(sched, now, target, call, answer);
        break;
    case JOB_ACTION_STOP:
        stop_answered(sched, now, call, answer);
        break;
    case JOB_ACTION_HOLD:
        if (answer->outcome == JOB_CALL_OK) {
            hold_answered(sched, now, target, call, answer);
        }
        break;
    case JOB_ACTION_PROPOSE:
        break;
    }
}
