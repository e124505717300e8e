#include "jobsched_impl.h"

#include <string.h>

#include "slog.h"
#include "strmap.h"

int64_t
SchedImpl_PredictWork(const JobSched *sched, const JobSpec *spec,
                      const char *queue)
{
    int64_t core_ms = 0;
    uint32_t i;

    for (i = 0; i < spec->step_count; i++) {
        const JobStep *step = &spec->steps[i];
        if (!step->lasting) {
            core_ms += (int64_t)step->count * step->need.cpu *
                       JobEst_Predict(sched->est, queue, step->estimate_ms);
        }
    }
    return core_ms;
}

void
SchedImpl_RecordDemand(void *arg, int64_t now, const Job *job)
{
    JobSched *sched = arg;
    int64_t core_ms = SchedImpl_PredictWork(sched, &job->spec, job->queue);

    if (core_ms > 0) {
        JobDemand_AddWork(sched->demand, now, job->pool, core_ms);
        JobEst_AddJob(sched->est, job->queue, core_ms);
    }
}

/* Adds the need of the tasks of a job that could start now. */
static void
add_waiting_job(const JobSched *sched, const Job *job, JobPoolLoad *load)
{
    uint32_t occurrence = job->first_incomplete;
    bool suspect = false;
    uint32_t step;
    uint32_t i;

    for (step = 0; step < job->spec.step_count; step++) {
        const JobStep *spec = &job->spec.steps[step];
        const JobTask *tasks = Job_FindStepTasks(job, occurrence, step);
        int64_t shared_cpu = 0; /* of tasks that may share targets */
        if (!Job_IsStepReady(job, occurrence, step)) {
            continue;
        }
        if (tasks == NULL) {
            shared_cpu = (int64_t)spec->count * spec->need.cpu;
            load->waiting += shared_cpu;
        }
        for (i = 0; tasks != NULL && i < spec->count; i++) {
            if (tasks[i].state != JOB_TASK_WAITING) {
                continue;
            }
            load->waiting += spec->need.cpu;
            if (SchedImpl_IsSuspect(&tasks[i], spec)) {
                load->suspect += spec->need.cpu;
                suspect = true;
            }
            else {
                shared_cpu += spec->need.cpu;
            }
        }
        load->backlog += shared_cpu * JobEst_Predict(sched->est, job->queue,
                                                     spec->estimate_ms);
    }
    load->suspect_jobs += suspect;
}

static bool
is_waiting(const Job *job)
{
    return job->has_waiting && job->phase < JOB_COMPLETED &&
           job->first_incomplete < job->occurrence_count;
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
        const JobTarget *target = JobState_TargetAt(sched->state, i);
        if (target == NULL || strcmp(target->announcement.pool, pool) != 0) {
            continue;
        }
        load->used += target->used.cpu;
        for (j = 0; j < target->run_count; j++) {
            const JobStep *step = JobRun_GetStep(&target->runs[j]);
            load->lasting += step->lasting ? step->need.cpu : 0;
        }
    }
    for (job = JobState_FirstActive(sched->state); job != NULL;
         job = job->next) {
        if (is_waiting(job) && strcmp(job->pool, pool) == 0) {
            add_waiting_job(sched, job, load);
        }
    }
    load->arriving = JobDemand_GetRate(sched->demand, now, pool, 1000);
    load->forecast =
        JobDemand_ForecastRate(sched->demand, now, pool, now, now + ahead_ms);
    load->rising =
        JobDemand_ExtrapolateRate(sched->demand, now, pool, ahead_ms);
    load->period_ms = JobDemand_GetPeriod(sched->demand, now, pool);
}

void
JobSched_GetWaiting(const JobSched *sched, JobPoolLoad *loads)
{
    const JobConfig *config = JobState_GetConfig(sched->state);
    StrMap *by_pool = StrMap_New();
    const Job *job;
    size_t i;

    for (i = 0; i < config->pool_count; i++) {
        memset(&loads[i], 0, sizeof(loads[i]));
        StrMap_Put(by_pool, config->pools[i].name, &loads[i]);
    }
    for (job = JobState_FirstActive(sched->state); job != NULL;
         job = job->next) {
        JobPoolLoad *load =
            is_waiting(job) ? StrMap_Get(by_pool, job->pool) : NULL;
        if (load != NULL) {
            add_waiting_job(sched, job, load);
        }
    }
    StrMap_Free(by_pool);
}

void
JobSched_SetCordon(JobSched *sched, const JobTarget *target, bool cordoned)
{
    SchedTarget *live = SchedImpl_FindLive(target);

    (void)sched;
    if (live != NULL) {
        live->cordoned = cordoned;
    }
}

bool
JobSched_IsIdle(const JobSched *sched, const JobTarget *target)
{
    const SchedTarget *live = SchedImpl_FindLive(target);

    (void)sched;
    return target->run_count == 0 &&
           (live == NULL || live->reserved_count == 0);
}

bool
JobSched_IsInterruptible(const JobSched *sched, const JobTarget *target)
{
    const SchedTarget *live = SchedImpl_FindLive(target);
    uint32_t i;

    (void)sched;
    for (i = 0; i < target->run_count; i++) {
        if (JobRun_GetStep(&target->runs[i])->max_unavailable > 0) {
            return false;
        }
    }
    return live == NULL || live->reserved_count == 0;
}

/* Returns whether a lasting task is known to be available now. The last list
 * of a silent target is stale and does not count. */
static bool
is_available(const JobSched *sched, int64_t now, const JobTask *task)
{
    const SchedTarget *live;

    if (task->state != JOB_TASK_ASSIGNED ||
        task->sched_state.phase != JOB_SCHED_RUNNING ||
        task->sched_state.percent < 100 || task->sched_state.must_stop) {
        return false;
    }
    live = SchedImpl_FindLive(JobState_TargetAt(sched->state, task->target));
    return live != NULL && live->unanswered == 0 &&
           now - live->last_answer_ms <
               sched->next_hold_wait_ms + sched->options.call_timeout_ms;
}

static bool
may_stop_run(const JobSched *sched, int64_t now, const JobRun *run)
{
    const JobStep *step = JobRun_GetStep(run);
    const JobTask *tasks =
        Job_FindStepTasks(run->job, run->occurrence, run->step);
    uint32_t unavailable = 0;
    uint32_t i;

    if (step->max_unavailable == 0 || run->job->phase >= JOB_COMPLETED) {
        return true;
    }
    for (i = 0; i < step->count; i++) {
        unavailable += !is_available(sched, now, &tasks[i]);
    }
    return unavailable < step->max_unavailable;
}

void
JobSched_Evacuate(JobSched *sched, int64_t now, JobTarget *target)
{
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        JobTask *task = JobRun_GetTask(run);
        if (!JobRun_GetStep(run)->lasting || task->sched_state.must_stop ||
            !may_stop_run(sched, now, run)) {
            continue;
        }
        task->sched_state.must_stop = true;
        Slog_Begin(SLOG_CHANGE, "run_evacuated");
        Slog_AddTask(run->job->id, run->occurrence, run->step, run->index);
        Slog_AddText("target", target->announcement.id);
        Slog_End();
        SchedImpl_StopRun(sched, now, run);
    }
}

void
JobSched_RemoveTarget(JobSched *sched, const JobTarget *target)
{
    JobTarget *known = JobState_TargetAt(sched->state, target->row);

    if (known != NULL) {
        SchedImpl_ProposeRemoval(
            sched, known, SCHED_REMOVE_ORDERED,
            "a move or maintenance of its VM was ordered");
    }
}
