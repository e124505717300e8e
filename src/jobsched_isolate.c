#include "jobsched_impl.h"

#include <stdio.h>
#include <string.h>

#include "slog.h"

/* Shares of a pool's targets that may be isolated at a time, since suspects
 * can keep that many of them down: while this needs targets that have other
 * work, and while idle ones are left. For a lasting suspect, the first grows
 * to the second with its wait. */
#define SCHED_MIN_ISOLATED_PERCENT 25
#define SCHED_MAX_ISOLATED_PERCENT 75
/* The same share for tasks that have crashed a target alone, which will likely
 * do so again, while other tasks wait. */
#define SCHED_MAX_CRASHED_ALONE_PERCENT 12
/* Number of isolated targets from which on suspects of different jobs share
 * them. With fewer, those that wait are few as well, and each crash of a
 * shared target costs a small pool more than the wait. */
#define SCHED_MIN_ISOLATED_TO_JOIN 10
/* Time before its term at which a leader takes a task to have run last, if it
 * has not seen that. */
#define SCHED_TAKEOVER_ALLOWANCE_MS 3000
/* An isolation ends this long after it was last needed. */
#define SCHED_ISOLATION_MS 500

bool
SchedImpl_IsSuspect(const JobTask *task, const JobStep *step)
{
    return task->crash_score > 0 && !step->gang;
}

bool
SchedImpl_HasCrashedAlone(const JobTask *task)
{
    return task->crash_score > JOB_MAX_SHARED_SCORE;
}

bool
SchedImpl_IsIsolated(const SchedTarget *live, int64_t now)
{
    return now < live->isolated_until_ms;
}

bool
SchedImpl_HasSuspect(const JobTarget *target)
{
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobTask *task = JobRun_GetTask(&target->runs[i]);
        if (!task->sched_state.proven &&
            SchedImpl_IsSuspect(task, JobRun_GetStep(&target->runs[i]))) {
            return true;
        }
    }
    return false;
}

void
SchedImpl_UpdateIsolation(const JobTarget *target, int64_t now)
{
    SchedTarget *live = SchedImpl_FindLive(target);

    if (live->isolated_until_ms != 0 && SchedImpl_HasSuspect(target)) {
        live->isolated_until_ms = now + SCHED_ISOLATION_MS;
    }
}

/* Returns the number of runs that a crash of the target could be attributed
 * to, including assignments in flight. */
static uint32_t
count_unproven(const JobTarget *target)
{
    uint32_t count = SchedImpl_FindLive(target)->reserved_count;
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        count += !JobRun_GetTask(&target->runs[i])->sched_state.proven;
    }
    return count;
}

/* Returns whether a task fits beside the proven runs of a target. */
static bool
can_hold(const JobTarget *target, const JobRun *run)
{
    const JobStep *step = JobRun_GetStep(run);
    const JobResources *room = SchedImpl_GetRoom(target);
    uint64_t cpu = step->best_effort ? 0 : step->need.cpu;
    uint64_t memory = step->need.memory_mb;
    uint64_t accelerators = step->need.accelerators;
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobStep *other = JobRun_GetStep(&target->runs[i]);
        if (!JobRun_GetTask(&target->runs[i])->sched_state.proven) {
            continue;
        }
        cpu += other->best_effort ? 0 : other->need.cpu;
        memory += other->need.memory_mb;
        accelerators += other->need.accelerators;
    }
    if (step->max_per_target > 0 &&
        SchedImpl_CountAssigned(run->job, run->occurrence, run->step,
                                target) >= step->max_per_target) {
        return false;
    }
    return cpu <= room->cpu && memory <= room->memory_mb &&
           accelerators <= room->accelerators &&
           (step->label[0] == '\0' || SchedImpl_HasLabel(target, step->label));
}

/* Returns whether a target holds suspects of this job and nothing else that a
 * crash could be attributed to. */
static bool
is_held_for(const JobTarget *target, const Job *job, int64_t now)
{
    const SchedTarget *live = SchedImpl_FindLive(target);

    return SchedImpl_IsIsolated(live, now) &&
           strcmp(live->isolated_for, job->id) == 0;
}

/* Returns whether all that is known of a suspect is one crash. */
static bool
has_crashed_once(const JobTask *task)
{
    return !SchedImpl_HasCrashedAlone(task) &&
           (task->crash_attempts & (task->crash_attempts - 1)) == 0;
}

int64_t
SchedImpl_GetWait(const JobSched *sched, const JobTask *task)
{
    return task->sched_state.unplaced_ms != 0
               ? sched->now_ms - task->sched_state.unplaced_ms
               : 0;
}

bool
SchedImpl_IsRestartDue(const JobSched *sched, const JobTask *task)
{
    int64_t ran_ms =
        task->ran_ms > sched->leading_since_ms
            ? task->ran_ms
            : sched->leading_since_ms - SCHED_TAKEOVER_ALLOWANCE_MS;

    return sched->now_ms - ran_ms >=
           sched->options.max_lease_ms + SCHED_RESTART_MS;
}

/* Returns whether a lasting suspect has to run beside whatever runs on a
 * target. */
static bool
is_overdue(const JobSched *sched, const JobRun *run)
{
    return JobRun_GetStep(run)->lasting &&
           SchedImpl_IsRestartDue(sched, JobRun_GetTask(run));
}

/* Returns whether the runs on probation at a target are of suspects that have
 * outlived the time in which most deadly tasks crash theirs. */
static bool
has_settled(const JobTarget *target, int64_t now)
{
    const SchedTarget *live = SchedImpl_FindLive(target);
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobTask *task = JobRun_GetTask(&target->runs[i]);
        if (!task->sched_state.proven &&
            (task->sched_state.phase != JOB_SCHED_RUNNING ||
             now - task->sched_state.since_ms < SCHED_SETTLE_MS ||
             !has_crashed_once(task))) {
            return false;
        }
    }
    return live->reserved_count == 0 && live->unanswered == 0;
}

/* Returns whether a suspect may run beside those of other jobs for which a
 * target is isolated. */
static bool
can_join(const SchedPool *pool, const JobTarget *target, const JobRun *run,
         int64_t now)
{
    const SchedTarget *live = SchedImpl_FindLive(target);

    return pool->isolated >= SCHED_MIN_ISOLATED_TO_JOIN &&
           SchedImpl_IsIsolated(live, now) && live->isolated_for[0] != '\0' &&
           !live->isolated_crashed_alone &&
           has_crashed_once(JobRun_GetTask(run)) && has_settled(target, now);
}

/* Returns the number of targets that may be isolated at a time for a suspect.
 * It grows with the wait of a lasting one, which has to run again soon. */
static size_t
get_isolation_limit(const JobSched *sched, const SchedPool *pool,
                    const JobTarget *target, const JobRun *run)
{
    bool idle = target->run_count == 0 && count_unproven(target) == 0;
    int64_t percent =
        idle ? SCHED_MAX_ISOLATED_PERCENT : SCHED_MIN_ISOLATED_PERCENT;

    if (is_overdue(sched, run)) {
        return pool->count;
    }
    if (JobRun_GetStep(run)->lasting) {
        percent += SchedImpl_GetWait(sched, JobRun_GetTask(run)) *
                   (SCHED_MAX_ISOLATED_PERCENT - percent) /
                   SCHED_MAX_SUSPECT_WAIT_MS;
    }
    if (percent > SCHED_MAX_ISOLATED_PERCENT) {
        percent = SCHED_MAX_ISOLATED_PERCENT;
    }
    return pool->count * (size_t)percent / 100;
}

/* Returns whether one more target may be isolated for a suspect. */
static bool
may_isolate(const JobSched *sched, const SchedPool *pool,
            const JobTarget *target, const JobRun *run)
{
    return pool->isolated == 0 ||
           pool->isolated < get_isolation_limit(sched, pool, target, run);
}

/* Returns whether one more target may be isolated for a suspect that has
 * crashed one alone. */
static bool
may_crash_again(const JobSched *sched, const SchedPool *pool,
                const JobTarget *target, const JobRun *run)
{
    bool others_wait = pool->full || pool->suspects_wait;
    size_t limit = others_wait && !JobRun_GetStep(run)->lasting
                       ? pool->count * SCHED_MAX_CRASHED_ALONE_PERCENT / 100
                       : get_isolation_limit(sched, pool, target, run);

    return pool->crashed_alone == 0 || pool->crashed_alone < limit;
}

/* Returns whether isolating target a lets a suspect start sooner than b, or
 * puts fewer proven runs at risk. */
static bool
is_better(const JobTarget *a, const JobTarget *b, int64_t now)
{
    bool a_isolated = SchedImpl_IsIsolated(SchedImpl_FindLive(a), now);
    bool b_isolated = SchedImpl_IsIsolated(SchedImpl_FindLive(b), now);
    uint32_t a_wait = count_unproven(a);
    uint32_t b_wait = count_unproven(b);

    if ((a_wait == 0) != (b_wait == 0)) {
        return a_wait == 0;
    }
    if (a_isolated != b_isolated) {
        return a_isolated;
    }
    return a->run_count < b->run_count;
}

/* Returns the best target on which a task can be isolated, or NULL. */
static JobTarget *
choose_isolation(const JobSched *sched, const SchedPool *pool,
                 const JobRun *run)
{
    int64_t now = sched->now_ms;
    bool has_crashed_alone = SchedImpl_HasCrashedAlone(JobRun_GetTask(run));
    JobTarget *best = NULL;
    JobTarget *settled = NULL;
    size_t i;

    for (i = 0; i < pool->count; i++) {
        JobTarget *target = pool->targets[i];
        const SchedTarget *live = target->sched_state;

        if (is_held_for(target, run->job, now)) {
            if (SchedImpl_Fits(sched, run->job, run->occurrence, run->step,
                               target)) {
                return target;
            }
            continue;
        }
        if ((settled == NULL || target->run_count < settled->run_count) &&
            can_join(pool, target, run, now) &&
            SchedImpl_Fits(sched, run->job, run->occurrence, run->step,
                           target)) {
            settled = target;
        }
        if ((!SchedImpl_IsIsolated(live, now) &&
             !may_isolate(sched, pool, target, run)) ||
            (has_crashed_alone &&
             !may_crash_again(sched, pool, target, run)) ||
            SchedImpl_HasSuspect(target) || !can_hold(target, run)) {
            continue;
        }
        if (best == NULL || is_better(target, best, now)) {
            best = target;
        }
    }
    return settled != NULL && (best == NULL || count_unproven(best) > 0)
               ? settled
               : best;
}

/* Returns how much harm an overdue task may do at a target, as a number to
 * compare. The highest bits say whether a run there has crashed a target
 * alone, and whether a crash could not be attributed. The number of runs that
 * would share the blame, and of all runs, follow. */
static uint64_t
get_harm(const JobTarget *target, int64_t now)
{
    const SchedTarget *live = target->sched_state;
    uint64_t runs = target->run_count;
    bool deadly =
        SchedImpl_IsIsolated(live, now) && live->isolated_crashed_alone;

    return (uint64_t)deadly << 63 | (uint64_t)!has_settled(target, now) << 62 |
           (uint64_t)count_unproven(target) << 32 | runs;
}

/* Returns the target that an overdue task harms least, or NULL if it fits
 * none. */
static JobTarget *
choose_shared(const JobSched *sched, const SchedPool *pool, const JobRun *run)
{
    JobTarget *best = NULL;
    uint64_t best_harm = UINT64_MAX;
    size_t i;

    for (i = 0; i < pool->count; i++) {
        JobTarget *target = pool->targets[i];
        uint64_t harm;

        if (!SchedImpl_Fits(sched, run->job, run->occurrence, run->step,
                            target)) {
            continue;
        }
        harm = get_harm(target, sched->now_ms);
        if (harm < best_harm) {
            best = target;
            best_harm = harm;
        }
    }
    return best;
}

static void
isolate(SchedPool *pool, JobTarget *target, const JobRun *run)
{
    SchedTarget *live = SchedImpl_FindLive(target);

    live->isolated_for[0] = '\0';
    live->isolated_crashed_alone = false;
    live->isolated_joined = false;
    pool->slots[live->slot] = (SchedSlot){0, 0, 0, 0, false};
    pool->isolated++;
    Slog_Begin(SLOG_CHANGE, "target_isolated");
    Slog_AddText("target", target->announcement.id);
    Slog_AddText("job", run->job->id);
    Slog_AddInt("runs", target->run_count);
    Slog_End();
}

/* Makes an isolated target one for the suspects of a job, beside those that it
 * has. */
static void
hold_for(SchedPool *pool, JobTarget *target, const JobRun *run)
{
    SchedTarget *live = SchedImpl_FindLive(target);
    bool crashed_alone = SchedImpl_HasCrashedAlone(JobRun_GetTask(run));

    live->isolated_joined = count_unproven(target) > 0;
    snprintf(live->isolated_for, sizeof(live->isolated_for), "%s",
             run->job->id);
    if (live->isolated_crashed_alone && pool->crashed_alone > 0) {
        pool->crashed_alone--;
    }
    live->isolated_crashed_alone =
        crashed_alone ||
        (live->isolated_joined && live->isolated_crashed_alone);
    pool->crashed_alone += live->isolated_crashed_alone;
}

JobTarget *
SchedImpl_ShareTarget(JobSched *sched, SchedPool *pool, const JobRun *run)
{
    JobTarget *target = choose_shared(sched, pool, run);

    if (target == NULL) {
        return NULL;
    }
    sched->counts.overdue_tasks++;
    Slog_Begin(SLOG_CHANGE, "task_overdue");
    Slog_AddTask(run->job->id, run->occurrence, run->step, run->index);
    Slog_AddText("target", target->announcement.id);
    Slog_AddInt("wait_ms", SchedImpl_GetWait(sched, JobRun_GetTask(run)));
    Slog_AddInt("beside", count_unproven(target));
    Slog_End();
    if (SchedImpl_IsSuspect(JobRun_GetTask(run), JobRun_GetStep(run)) &&
        !is_held_for(target, run->job, sched->now_ms)) {
        SchedTarget *live = SchedImpl_FindLive(target);
        if (!SchedImpl_IsIsolated(live, sched->now_ms)) {
            isolate(pool, target, run);
        }
        live->isolated_until_ms = sched->now_ms + SCHED_ISOLATION_MS;
        hold_for(pool, target, run);
    }
    return target;
}

JobTarget *
SchedImpl_IsolateTarget(JobSched *sched, SchedPool *pool, const JobRun *run)
{
    int64_t now = sched->now_ms;
    JobTarget *best = choose_isolation(sched, pool, run);
    SchedTarget *live;

    if (best != NULL && is_held_for(best, run->job, now)) {
        SchedImpl_FindLive(best)->isolated_until_ms = now + SCHED_ISOLATION_MS;
        return best;
    }
    if ((best == NULL ||
         (count_unproven(best) > 0 && !can_join(pool, best, run, now))) &&
        is_overdue(sched, run)) {
        return SchedImpl_ShareTarget(sched, pool, run);
    }
    if (best == NULL) {
        return NULL;
    }
    live = SchedImpl_FindLive(best);
    if (!SchedImpl_IsIsolated(live, now)) {
        isolate(pool, best, run);
    }
    live->isolated_until_ms = now + SCHED_ISOLATION_MS;
    if (count_unproven(best) > 0 && !can_join(pool, best, run, now)) {
        return NULL;
    }
    hold_for(pool, best, run);
    return best;
}
