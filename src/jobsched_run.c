#include "jobsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "slog.h"

/* A start or stop without an answer is ordered again after this. */
#define SCHED_REPEAT_MS 100
/* An accepted stop whose end does not show is ordered again after this. */
#define SCHED_SETTLED_MS 4000

void
SchedImpl_Start(JobSched *sched, int64_t now, const JobRun *run)
{
    JobTask *task = JobRun_Task(run);
    JobTarget *target = JobState_Target(sched->state, task->target);
    SchedTarget *live = SchedImpl_Live(sched, target);
    JobAction *action;

    if (!live->clock_known || live->reborn || live->readmitting) {
        /* The next hold tells the clock. */
        task->live.phase = JOB_LIVE_STARTING;
        task->live.calling = false;
        return;
    }
    action = SchedImpl_Action(sched, JOB_ACTION_START);
    SchedImpl_FillCall(action, target, live, now);
    action->task = JobRun_Ref(run);
    action->attempt = task->attempt;
    action->deadline_ms = SchedImpl_Grant(sched, live, now);
    action->text = run->job->spec.text;
    action->checkpoint = task->checkpoint;
    task->live.phase = JOB_LIVE_STARTING;
    task->live.since_ms = now;
    task->live.calling = true;
    sched->counts.calls++;
}

void
SchedImpl_StopTask(JobSched *sched, int64_t now, JobTarget *target,
                   const JobTaskRef *ref, uint32_t attempt)
{
    SchedTarget *live = SchedImpl_Live(sched, target);
    JobAction *action = SchedImpl_Action(sched, JOB_ACTION_STOP);

    SchedImpl_FillCall(action, target, live, now);
    action->task = *ref;
    action->attempt = attempt;
    sched->counts.calls++;
}

void
SchedImpl_StopRun(JobSched *sched, int64_t now, const JobRun *run)
{
    JobTask *task = JobRun_Task(run);
    JobTaskRef ref = JobRun_Ref(run);

    task->live.phase = JOB_LIVE_STOPPING;
    task->live.since_ms = now;
    task->live.calling = true;
    task->live.settled = false;
    SchedImpl_StopTask(sched, now, JobState_Target(sched->state, task->target),
                       &ref, task->attempt);
}

static bool
is_unwanted(const JobRun *run)
{
    return run->job->phase >= JOB_COMPLETED ||
           JobRun_Task(run)->live.must_stop;
}

/* Orders what a run at a target needs now. */
void
SchedImpl_DriveRun(JobSched *sched, int64_t now, const JobRun *run)
{
    JobTask *task = JobRun_Task(run);
    bool due = now - task->live.since_ms >= SCHED_REPEAT_MS;

    if (task->live.calling &&
        now - task->live.since_ms < sched->options.call_ms * 2) {
        return;
    }
    if (is_unwanted(run)) {
        /* After an accepted stop the next hold that is sent shows the end;
         * a further stop would only put that off. */
        due = due && (!task->live.settled ||
                      now - task->live.since_ms >= SCHED_SETTLED_MS);
        if (task->live.phase != JOB_LIVE_STOPPING || due) {
            SchedImpl_StopRun(sched, now, run);
        }
        return;
    }
    if (task->live.phase == JOB_LIVE_NONE ||
        (task->live.phase == JOB_LIVE_STARTING && due)) {
        SchedImpl_Start(sched, now, run);
    }
}

static void
note_end(const JobEnd *end, const JobTarget *target)
{
    static const char *const names[] = {"done",    "failed", "stopped",
                                        "lapsed",  "broken", "alone",
                                        "refused", "lost"};

    Slog_Begin(end->kind == JOB_END_DONE ? SLOG_ROUTINE : SLOG_FAILURE,
               "run_ended");
    Slog_Task(end->task.job, end->task.occurrence, end->task.step,
              end->task.index);
    Slog_Int("attempt", end->attempt);
    Slog_Text("how", names[end->kind]);
    Slog_Text("target", target->says.id);
    Slog_Int("number", (int64_t)end->number);
    Slog_End();
}

void
SchedImpl_ProposeEnds(JobSched *sched, JobTarget *target, const JobEnd *ends,
                      size_t count)
{
    Buf command = BUF_INIT;
    size_t i;

    for (i = 0; i < count; i++) {
        note_end(&ends[i], target);
    }
    JobCmd_Ends(&command, target->row, target->serial, sched->wall_ms, ends,
                count);
    SchedImpl_Propose(sched, SCHED_ENDS, &command, target->row,
                      target->serial);
    SchedImpl_Live(sched, target)->ends_proposed = true;
}

/* Ends one run that the target does not list. */
void
SchedImpl_EndUnlisted(JobSched *sched, JobTarget *target, const JobRun *run,
                      JobEndKind kind)
{
    JobEnd end = {JobRun_Ref(run), JobRun_Task(run)->attempt, kind, 0, ""};

    if (kind == JOB_END_LOST) {
        sched->counts.lost++;
    }
    else {
        sched->counts.refused++;
    }
    SchedImpl_ProposeEnds(sched, target, &end, 1);
}

void
SchedImpl_LoseAll(JobSched *sched, JobTarget *target)
{
    JobEnd *ends = Mem_New(target->run_count + 1, sizeof(*ends));
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        ends[i].task = JobRun_Ref(&target->runs[i]);
        ends[i].attempt = JobRun_Task(&target->runs[i])->attempt;
        ends[i].kind = JOB_END_LOST;
        ends[i].checkpoint = "";
    }
    sched->counts.lost += target->run_count;
    SchedImpl_ProposeEnds(sched, target, ends, target->run_count);
    free(ends);
}
