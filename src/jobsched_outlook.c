#include "jobsched_admit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* Interval at which the forecasts are made anew. In between they are updated
 * by what is admitted. */
#define ADMIT_OUTLOOK_MS 200

JobOutlook *
SchedAdmit_FindOutlook(const SchedAdmission *admission, const char *pool)
{
    size_t i;

    for (i = 0; i < admission->pool_count; i++) {
        if (strcmp(admission->pools[i].pool, pool) == 0) {
            return &admission->pools[i].outlook;
        }
    }
    return NULL;
}

/* Empties the forecasts of the pools of the configuration. */
static void
begin_outlooks(JobSched *sched, int64_t now)
{
    SchedAdmission *admission = sched->admission;
    const JobConfig *config = JobState_GetConfig(sched->state);
    size_t i;

    for (i = config->pool_count; i < admission->pool_count; i++) {
        JobOutlook_Free(&admission->pools[i].outlook);
    }
    admission->pools =
        Mem_Resize(admission->pools,
                   (config->pool_count + 1) * sizeof(*admission->pools));
    for (i = 0; i < config->pool_count; i++) {
        PoolOutlook *pool = &admission->pools[i];
        if (i >= admission->pool_count) {
            memset(pool, 0, sizeof(*pool));
        }
        snprintf(pool->pool, sizeof(pool->pool), "%s", config->pools[i].name);
        JobOutlook_Begin(&pool->outlook, now);
    }
    admission->pool_count = config->pool_count;
    admission->made_ms = now;
}

/* Returns the expected run time in ms of a task, at the low end of the error
 * of the estimates of its queue. */
static int64_t
predict_low_ms(const JobSched *sched, const char *queue, const JobStep *step)
{
    return (
        int64_t)((double)JobEst_Predict(sched->est, queue, step->estimate_ms) /
                 JobEst_GetErrorFactor(sched->est, queue));
}

/* Adds a target that may get work and the ends of its runs. */
static void
add_target(const JobSched *sched, int64_t now, const JobTarget *target,
           JobOutlook *outlook)
{
    int64_t room = SchedImpl_GetRoom(target)->cpu;
    uint32_t i;

    JobOutlook_AddTarget(
        outlook, room,
        room > target->used.cpu ? room - (int64_t)target->used.cpu : 0);
    for (i = 0; i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        const JobStep *step = JobRun_GetStep(run);
        const JobTask *task = JobRun_GetTask(run);
        int64_t from_ms = task->assigned_ms != 0 ? task->assigned_ms : now;
        if (!step->lasting && !step->best_effort) {
            int64_t end_ms =
                from_ms + predict_low_ms(sched, run->job->queue, step);
            JobOutlook_AddGain(outlook, end_ms > now ? end_ms : now,
                               step->need.cpu);
        }
    }
}

/* Returns the work of the tasks of a job that have not been assigned. */
static int64_t
get_waiting_work(const JobSched *sched, const Job *job)
{
    int64_t core_ms = 0;
    uint32_t step;
    uint32_t i;

    for (step = 0; step < job->spec.step_count; step++) {
        const JobStep *spec = &job->spec.steps[step];
        const JobTask *tasks =
            Job_FindStepTasks(job, job->first_incomplete, step);
        int64_t waiting = 0;
        for (i = 0; tasks != NULL && i < spec->count; i++) {
            waiting += tasks[i].state == JOB_TASK_WAITING;
        }
        if (tasks == NULL) {
            waiting = spec->count;
        }
        if (!spec->lasting && !spec->best_effort && waiting > 0) {
            core_ms += waiting * spec->need.cpu *
                       predict_low_ms(sched, job->queue, spec);
        }
    }
    return core_ms;
}

static bool
is_due(const JobSched *sched, const Job *job)
{
    return job->spec.repeats == 0 ||
           sched->wall_ms >=
               job->spec.start_ms +
                   (int64_t)job->first_incomplete * job->spec.interval_ms;
}

/* Adds the work of a job that waits, unless it is worthless by now. */
static void
add_job(const JobSched *sched, int64_t now, Job *job, JobOutlook *outlook)
{
    SchedRank rank = SchedImpl_RankJob(sched, now, sched->wall_ms, job);
    OutlookClass class = OUTLOOK_LATE;

    if (rank.class == SCHED_LASTING || rank.class == SCHED_CRASHED_ALONE ||
        job->first_incomplete >= job->occurrence_count ||
        !is_due(sched, job)) {
        return;
    }
    if (rank.class == SCHED_LATE &&
        sched->wall_ms - job->accepted_ms >
            JOBSCHED_LATE_FACTOR * SchedImpl_GetAllowedMs(job)) {
        return;
    }
    if (rank.class != SCHED_LATE) {
        class = rank.class == SCHED_BEGUN ? OUTLOOK_BEGUN : OUTLOOK_ON_TIME;
    }
    JobOutlook_AddWork(outlook, class, job->priority,
                       get_waiting_work(sched, job));
}

/* Makes the forecasts of all pools, unless they are recent. */
void
SchedAdmit_UpdateOutlooks(JobSched *sched, int64_t now)
{
    SchedAdmission *admission = sched->admission;
    JobOutlook *outlook;
    Job *job;
    uint32_t row;
    size_t i;

    if (admission->made_ms != 0 &&
        now - admission->made_ms < ADMIT_OUTLOOK_MS) {
        return;
    }
    begin_outlooks(sched, now);
    for (row = 0; row < JobState_TargetRows(sched->state); row++) {
        const JobTarget *target = JobState_TargetAt(sched->state, row);
        if (target != NULL && JobSched_IsUsable(sched, target, now) &&
            !SchedImpl_IsIsolated(SchedImpl_FindLive(target), now)) {
            outlook =
                SchedAdmit_FindOutlook(admission, target->announcement.pool);
            if (outlook != NULL) {
                add_target(sched, now, target, outlook);
            }
        }
    }
    for (job = JobState_FirstActive(sched->state); job != NULL;
         job = job->next) {
        outlook = SchedAdmit_FindOutlook(admission, job->pool);
        if (outlook != NULL && job->phase < JOB_COMPLETED) {
            add_job(sched, now, job, outlook);
        }
    }
    for (i = 0; i < admission->arrival_count; i++) {
        const JobArrival *arrival = &admission->arrivals[i];
        outlook = SchedAdmit_FindOutlook(admission, arrival->pool);
        if (outlook != NULL && arrival->at_ms > now) {
            JobOutlook_AddGain(outlook, arrival->at_ms, arrival->cpu);
        }
    }
    for (i = 0; i < admission->pool_count; i++) {
        JobOutlook_End(&admission->pools[i].outlook);
    }
}

void
JobSched_SetArrivals(JobSched *sched, const JobArrival *arrivals, size_t count)
{
    SchedAdmission *admission = sched->admission;

    if (admission == NULL) {
        return;
    }
    admission->arrivals =
        Mem_Resize(admission->arrivals, (count + 1) * sizeof(*arrivals));
    if (count > 0) {
        memcpy(admission->arrivals, arrivals, count * sizeof(*arrivals));
    }
    admission->arrival_count = count;
}
