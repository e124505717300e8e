#include "jobsched_impl.h"

#include <string.h>

#include "slog.h"

void
SchedImpl_Accepted(void *arg, int64_t now, const Job *job)
{
    JobSched *sched = arg;
    int64_t work = 0;
    uint32_t i;

    for (i = 0; i < job->spec.step_count; i++) {
        const JobStep *step = &job->spec.steps[i];
        if (!step->lasting) {
            work += (int64_t)step->count * step->need.cpu *
                    JobEst_Predict(sched->est, job->queue, step->estimate_ms);
        }
    }
    if (work > 0) {
        JobDemand_Add(sched->demand, now, job->pool, work);
    }
}

static int64_t
waiting_cpu(const Job *job)
{
    int64_t cpu = 0;
    uint32_t k = job->first_open;
    uint32_t step;
    uint32_t i;

    for (step = 0; step < job->spec.step_count; step++) {
        const JobStep *spec = &job->spec.steps[step];
        const JobTask *tasks = job->occurrences[k].tasks;
        if (!Job_StepReady(job, k, step)) {
            continue;
        }
        for (i = 0; i < spec->count; i++) {
            if (tasks == NULL ||
                tasks[job->step_first[step] + i].state == JOB_TASK_WAITING) {
                cpu += spec->need.cpu;
            }
        }
    }
    return cpu;
}

void
JobSched_PoolLoad(const JobSched *sched, int64_t now, const char *pool,
                  int64_t ahead_ms, JobPoolLoad *load)
{
    const Job *job;
    uint32_t i;
    uint32_t j;

    memset(load, 0, sizeof(*load));
    for (i = 0; i < JobState_TargetRows(sched->state); i++) {
        const JobTarget *target = JobState_Target(sched->state, i);
        if (target == NULL || strcmp(target->says.pool, pool) != 0) {
            continue;
        }
        load->used += target->used.cpu;
        for (j = 0; j < target->run_count; j++) {
            const JobStep *step = JobRun_Step(&target->runs[j]);
            load->lasting += step->lasting ? step->need.cpu : 0;
        }
    }
    for (job = JobState_FirstActive(sched->state); job != NULL;
         job = job->next) {
        if (job->has_waiting && job->phase < JOB_COMPLETED &&
            job->first_open < job->occurrence_count &&
            strcmp(job->pool, pool) == 0) {
            load->waiting += waiting_cpu(job);
        }
    }
    load->arriving = JobDemand_Rate(sched->demand, now, pool, 1000);
    load->forecast =
        JobDemand_Forecast(sched->demand, now, pool, now, now + ahead_ms);
    load->rising = JobDemand_Rising(sched->demand, now, pool, ahead_ms);
    load->period_ms = JobDemand_Period(sched->demand, now, pool);
}

void
JobSched_Close(JobSched *sched, const JobTarget *target, bool closed)
{
    SchedTarget *live = SchedImpl_LiveOf(target);

    (void)sched;
    if (live != NULL) {
        live->closed = closed;
    }
}

bool
JobSched_IsIdle(const JobSched *sched, const JobTarget *target)
{
    const SchedTarget *live = SchedImpl_LiveOf(target);

    (void)sched;
    return target->run_count == 0 &&
           (live == NULL || live->reserved_count == 0);
}

bool
JobSched_IsExpendable(const JobSched *sched, const JobTarget *target)
{
    const SchedTarget *live = SchedImpl_LiveOf(target);
    uint32_t i;

    (void)sched;
    for (i = 0; i < target->run_count; i++) {
        if (JobRun_Step(&target->runs[i])->max_unavailable > 0) {
            return false;
        }
    }
    return live == NULL || live->reserved_count == 0;
}

/* Returns whether a lasting task is known to be at work now: what a silent
 * target listed last says nothing. */
static bool
is_at_work(const JobSched *sched, int64_t now, const JobTask *task)
{
    const SchedTarget *live;

    if (task->state != JOB_TASK_ASSIGNED ||
        task->live.phase != JOB_LIVE_RUNNING || task->live.percent < 100 ||
        task->live.must_stop) {
        return false;
    }
    live = SchedImpl_LiveOf(JobState_Target(sched->state, task->target));
    return live != NULL && live->unanswered == 0 &&
           now - live->answered_ms < sched->wait_ms + sched->options.call_ms;
}

static bool
may_stop(const JobSched *sched, int64_t now, const JobRun *run)
{
    const JobStep *step = JobRun_Step(run);
    const JobTask *tasks = run->job->occurrences[run->occurrence].tasks +
                           run->job->step_first[run->step];
    uint32_t away = 0;
    uint32_t i;

    if (step->max_unavailable == 0 || run->job->phase >= JOB_COMPLETED) {
        return true;
    }
    for (i = 0; i < step->count; i++) {
        away += !is_at_work(sched, now, &tasks[i]);
    }
    return away < step->max_unavailable;
}

void
JobSched_Evacuate(JobSched *sched, int64_t now, JobTarget *target)
{
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        JobTask *task = JobRun_Task(run);
        if (!JobRun_Step(run)->lasting || task->live.must_stop ||
            !may_stop(sched, now, run)) {
            continue;
        }
        task->live.must_stop = true;
        Slog_Begin(SLOG_CHANGE, "run_evacuated");
        Slog_Task(run->job->id, run->occurrence, run->step, run->index);
        Slog_Text("target", target->says.id);
        Slog_End();
        SchedImpl_StopRun(sched, now, run);
    }
}

void
JobSched_Ended(JobSched *sched, const JobTarget *target)
{
    JobTarget *row = JobState_Target(sched->state, target->row);

    if (row != NULL) {
        SchedImpl_ProposeGone(sched, row, "its VM was ordered away");
    }
}
