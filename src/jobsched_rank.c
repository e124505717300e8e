#include "jobsched_impl.h"

/* Returns the expected run time in ms of the critical path of a job. The steps
 * that are done in an open occurrence count as 0; open may be NULL. */
static int64_t
predict_critical_path_ms(const JobSched *sched, const JobSpec *spec,
                         const char *queue, const JobOccurrence *open)
{
    int64_t ends[JOB_MAX_STEPS];
    int64_t longest = 0;
    uint32_t i;
    uint32_t j;

    for (i = 0; i < spec->step_count; i++) {
        int64_t begin = 0;
        bool done = open != NULL && open->tasks != NULL &&
                    open->step_done[i] == spec->steps[i].count;
        for (j = 0; j < i; j++) {
            if ((spec->steps[i].depends_mask >> j & 1) != 0 &&
                ends[j] > begin) {
                begin = ends[j];
            }
        }
        ends[i] = begin + (done ? 0
                                : JobEst_Predict(sched->est, queue,
                                                 spec->steps[i].estimate_ms));
        longest = ends[i] > longest ? ends[i] : longest;
    }
    return longest;
}

int64_t
SchedImpl_PredictCriticalPath(const JobSched *sched, const JobSpec *spec,
                              const char *queue)
{
    return predict_critical_path_ms(sched, spec, queue, NULL);
}

int64_t
SchedImpl_GetAllowedMs(const Job *job)
{
    return (int64_t)(job->terms.slack *
                     (double)job->sched_state.critical_path_ms) +
           job->terms.objective_ms;
}

/* Added to the rank of late jobs that have not begun. */
#define RANK_NOT_BEGUN ((int64_t)1 << 40)
/* Lower priorities share a band. */
#define BAND_MAX_PRIORITY 1000
/* Interval at which the expected run times of a job are updated. */
#define RANK_UPDATE_INTERVAL_MS 500

/* Updates the expected run times of a job if they are stale. */
static void
update_run_times(const JobSched *sched, int64_t now, Job *job)
{
    const JobOccurrence *open = Job_FindOccurrence(job, job->first_incomplete);
    uint32_t done = open != NULL ? open->done : 0;

    if (job->sched_state.critical_path_at_ms != 0 &&
        job->sched_state.critical_path_tasks_done == done &&
        now - job->sched_state.critical_path_at_ms < RANK_UPDATE_INTERVAL_MS) {
        return;
    }
    job->sched_state.critical_path_ms =
        predict_critical_path_ms(sched, &job->spec, job->queue, NULL);
    job->sched_state.left_ms =
        predict_critical_path_ms(sched, &job->spec, job->queue, open);
    job->sched_state.critical_path_at_ms = now;
    job->sched_state.critical_path_tasks_done = done;
}

SchedRank
SchedImpl_RankJob(const JobSched *sched, int64_t now, int64_t wall_ms,
                  Job *job)
{
    int64_t age_ms = wall_ms - job->accepted_ms;
    int64_t allowed_ms;
    int64_t slack_ms;
    bool begun;

    if (job->spec.steps[0].lasting) {
        return (SchedRank){SCHED_LASTING, 0,
                           job->sched_state.unplaced_ms != 0
                               ? job->sched_state.unplaced_ms
                               : now};
    }
    update_run_times(sched, now, job);
    allowed_ms = SchedImpl_GetAllowedMs(job);
    slack_ms = allowed_ms - job->sched_state.left_ms - age_ms;
    if (job->sched_state.crashed_alone) {
        return (SchedRank){SCHED_CRASHED_ALONE, 0, age_ms};
    }
    begun = job->assigned > 0 || job->sched_state.critical_path_tasks_done > 0;
    if (slack_ms < -(begun ? allowed_ms / 2 : 0)) {
        return (SchedRank){SCHED_LATE, 0,
                           age_ms + (begun ? 0 : RANK_NOT_BEGUN)};
    }
    return begun ? (SchedRank){SCHED_BEGUN, job->priority, slack_ms}
                 : (SchedRank){SCHED_ON_TIME, job->priority, -slack_ms};
}

int
SchedImpl_CompareRanks(const SchedRank *a, const SchedRank *b)
{
    if (a->class != b->class) {
        return a->class < b->class ? -1 : 1;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    return (a->rank > b->rank) - (a->rank < b->rank);
}

uint32_t
SchedImpl_GetBand(const SchedRank *rank)
{
    switch (rank->class) {
    case SCHED_LASTING:
        return 0;
    case SCHED_BEGUN:
    case SCHED_ON_TIME:
        return 1 + (rank->priority < BAND_MAX_PRIORITY ? rank->priority
                                                       : BAND_MAX_PRIORITY);
    case SCHED_LATE:
        return BAND_MAX_PRIORITY + (rank->rank < RANK_NOT_BEGUN ? 2 : 3);
    case SCHED_CRASHED_ALONE:
        break;
    }
    return BAND_MAX_PRIORITY + 4;
}
