#include "jobsched_impl.h"

#include <string.h>

/* Exceeds the number of runs of other jobs at any target. */
#define FIT_MAX_FOREIGN_RUNS 1000

static bool
has_room(const JobTarget *target, const JobStep *step)
{
    const SchedTarget *live = target->sched_state;
    const JobResources *room = SchedImpl_GetRoom(target);
    uint64_t cpu = (uint64_t)target->used.cpu + live->reserved.cpu;
    uint64_t memory =
        (uint64_t)target->used.memory_mb + live->reserved.memory_mb;
    uint64_t accelerators =
        (uint64_t)target->used.accelerators + live->reserved.accelerators;

    return cpu + (step->best_effort ? 0 : step->need.cpu) <= room->cpu &&
           memory + step->need.memory_mb <= room->memory_mb &&
           accelerators + step->need.accelerators <= room->accelerators;
}

bool
SchedImpl_IsCrowded(const JobTarget *target)
{
    const SchedTarget *live = target->sched_state;

    return target->run_count + live->reserved_count >=
               SCHED_MAX_TARGET_RUNS / 2 ||
           live->delayed_run_calls > 0 ||
           live->reserved_count >= SCHED_MAX_RUN_CALLS;
}

bool
SchedImpl_MayTake(const JobSched *sched, const Job *job, const JobStep *step,
                  const JobTarget *target)
{
    const SchedTarget *live = target->sched_state;
    uint32_t runs = target->run_count + live->reserved_count;
    uint32_t own;

    if (step->gang) {
        return runs < SCHED_MAX_TARGET_GANG_RUNS;
    }
    if (!SchedImpl_IsCrowded(target)) {
        return true;
    }
    own = SchedImpl_CountJobRuns(sched, job, target);
    runs -= live->gang_runs;
    /* The share of a job leaves as many runs to others as it has itself. */
    return runs < SCHED_MAX_TARGET_RUNS && live->delayed_run_calls == 0 &&
           live->reserved_count < SCHED_MAX_RUN_CALLS &&
           own < SCHED_MAX_TARGET_RUNS - runs;
}

bool
SchedImpl_HasLabel(const JobTarget *target, const char *label)
{
    uint32_t i;

    for (i = 0; i < target->announcement.label_count; i++) {
        if (strcmp(target->announcement.labels[i], label) == 0) {
            return true;
        }
    }
    return false;
}

uint32_t
SchedImpl_CountAssigned(const Job *job, uint32_t occurrence, uint32_t step,
                        const JobTarget *target)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        count += run->job == job && run->occurrence == occurrence &&
                 run->step == step;
    }
    return count;
}

uint32_t
SchedImpl_CountJobRuns(const JobSched *sched, const Job *job,
                       const JobTarget *target)
{
    SchedTarget *live = target->sched_state;
    uint32_t i;

    if (live->placement != sched->placement || live->placed_job != job) {
        live->placement = sched->placement;
        live->placed_job = job;
        live->placed_count = 0;
        live->gang_runs = 0;
        live->step_counted = false;
        for (i = 0; i < target->run_count; i++) {
            live->placed_count += target->runs[i].job == job;
            live->gang_runs += JobRun_GetStep(&target->runs[i])->gang;
        }
    }
    return live->placed_count;
}

static uint32_t
count_matching(const JobAssignment *list, size_t count, const Job *job,
               uint32_t occurrence, uint32_t step, uint32_t row)
{
    uint32_t found = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        found += list[i].target == row && list[i].task.step == step &&
                 list[i].task.occurrence == occurrence &&
                 strcmp(list[i].task.job, job->id) == 0;
    }
    return found;
}

/* Returns the number of tasks of a step in assignments to a target that are
 * not committed yet. */
static uint32_t
count_proposed_tasks(const JobSched *sched, const Job *job,
                     uint32_t occurrence, uint32_t step, uint32_t row)
{
    uint32_t count = count_matching(sched->batch, sched->batch_count, job,
                                    occurrence, step, row);
    const SchedProposal *proposal;

    for (proposal = sched->proposals; proposal != NULL;
         proposal = proposal->next) {
        count +=
            count_matching(proposal->assignments, proposal->assignment_count,
                           job, occurrence, step, row);
    }
    return count;
}

uint32_t
SchedImpl_CountStepTasks(const JobSched *sched, const Job *job,
                         uint32_t occurrence, uint32_t step,
                         const JobTarget *target)
{
    SchedTarget *live = target->sched_state;

    SchedImpl_CountJobRuns(sched, job, target);
    if (!live->step_counted || live->counted_occurrence != occurrence ||
        live->counted_step != step) {
        live->step_counted = true;
        live->counted_occurrence = occurrence;
        live->counted_step = step;
        live->step_tasks =
            SchedImpl_CountAssigned(job, occurrence, step, target);
        if (live->reserved_count > 0) {
            live->step_tasks += count_proposed_tasks(sched, job, occurrence,
                                                     step, target->row);
        }
    }
    return live->step_tasks;
}

static uint32_t
sum_lasting_cpu(const JobTarget *target)
{
    uint32_t cpu = 0;
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobStep *step = JobRun_GetStep(&target->runs[i]);
        cpu += step->lasting ? step->need.cpu : 0;
    }
    return cpu;
}

bool
SchedImpl_Fits(const JobSched *sched, const Job *job, uint32_t occurrence,
               uint32_t step, const JobTarget *target)
{
    const JobStep *spec = &job->spec.steps[step];

    return has_room(target, spec) &&
           SchedImpl_MayTake(sched, job, spec, target) &&
           (spec->label[0] == '\0' ||
            SchedImpl_HasLabel(target, spec->label)) &&
           (spec->max_per_target == 0 ||
            SchedImpl_CountStepTasks(sched, job, occurrence, step, target) <
                spec->max_per_target);
}

/* Returns the number of runs of other jobs that a crash of a target would
 * end, including assignments in flight. */
static uint32_t
count_foreign_runs(const JobSched *sched, const JobTarget *target,
                   const Job *job)
{
    const SchedTarget *live = target->sched_state;

    return target->run_count + live->reserved_count -
           SchedImpl_CountJobRuns(sched, job, target);
}

int64_t
SchedImpl_ScoreTarget(const JobSched *sched, const SchedPool *pool,
                      const Job *job, uint32_t occurrence, uint32_t step_index,
                      const JobTarget *target)
{
    const JobStep *step = &job->spec.steps[step_index];
    const SchedTarget *live = target->sched_state;
    int64_t room =
        target->announcement.room.cpu > 0 ? target->announcement.room.cpu : 1;
    int64_t used = (int64_t)target->used.cpu + live->reserved.cpu;
    int64_t score = used * 1000 / room; /* best fit */
    uint32_t same_step = 0;

    if (pool->crashing) {
        /* Each run of another job weighs more than the fill. */
        score += 1000 * (FIT_MAX_FOREIGN_RUNS -
                         (int64_t)count_foreign_runs(sched, target, job));
    }
    if (SchedImpl_IsIsolated(live, sched->now_ms) ||
        !SchedImpl_Fits(sched, job, occurrence, step_index, target)) {
        return -1;
    }
    if (step->lasting) {
        same_step = SchedImpl_CountStepTasks(sched, job, occurrence,
                                             step_index, target);
    }
    if (step->rack[0] != '\0' && SchedImpl_HasLabel(target, step->rack)) {
        score += 2000;
    }
    if (step->lasting) {
        /* Lasting tasks are packed onto few targets, so that the others can
         * be moved freely. Tasks of one step are spread, so that the loss of a
         * target affects few of them. */
        score = 10000 + (int64_t)sum_lasting_cpu(target) * 1000 / room -
                (int64_t)(same_step > 1 ? same_step * 3000 : 0);
    }
    return score > 0 ? score : 0;
}

void
SchedImpl_ReserveRoom(SchedTarget *live, const JobStep *step)
{
    live->reserved.cpu += step->best_effort ? 0 : step->need.cpu;
    live->reserved.memory_mb += step->need.memory_mb;
    live->reserved.accelerators += step->need.accelerators;
    live->reserved_count++;
}

void
SchedImpl_ReleaseRoom(SchedTarget *live, const JobStep *step)
{
    live->reserved.cpu -= step->best_effort ? 0 : step->need.cpu;
    live->reserved.memory_mb -= step->need.memory_mb;
    live->reserved.accelerators -= step->need.accelerators;
    live->reserved_count--;
}
