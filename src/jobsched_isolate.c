#include "jobsched_impl.h"

#include <stdio.h>
#include <string.h>

#include "slog.h"

/* Shares of a pool's targets that may be isolated at a time, since suspects
 * can keep that many of them down: while this needs targets that have other
 * work, and while idle ones are left. */
#define SCHED_MAX_ISOLATED_PERCENT 25
#define SCHED_MAX_IDLE_ISOLATED_PERCENT 75
/* The same share for tasks that have crashed a target alone, which will likely
 * do so again, while other tasks wait. */
#define SCHED_MAX_CRASHED_ALONE_PERCENT 12
/* Number of isolated targets from which on suspects of different jobs share
 * them. With fewer, those that wait are few as well, and each crash of a
 * shared target costs a small pool more than the wait. */
#define SCHED_MIN_ISOLATED_TO_JOIN 10
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

static size_t
get_isolation_limit(const SchedPool *pool, const JobTarget *target)
{
    bool idle = target->run_count == 0 && count_unproven(target) == 0;

    return pool->count *
           (idle ? SCHED_MAX_IDLE_ISOLATED_PERCENT
                 : SCHED_MAX_ISOLATED_PERCENT) /
           100;
}

/* Returns whether one more target may be isolated for suspects. */
static bool
may_isolate(const SchedPool *pool, const JobTarget *target)
{
    return pool->isolated == 0 ||
           pool->isolated < get_isolation_limit(pool, target);
}

/* Returns whether one more target may be isolated for suspects that have
 * crashed one alone. */
static bool
may_crash_again(const SchedPool *pool, const JobTarget *target)
{
    size_t limit = pool->full || pool->suspects_wait
                       ? pool->count * SCHED_MAX_CRASHED_ALONE_PERCENT / 100
                       : get_isolation_limit(pool, target);

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
        if ((!SchedImpl_IsIsolated(SchedImpl_FindLive(target), now) &&
             !may_isolate(pool, target)) ||
            (has_crashed_alone && !may_crash_again(pool, target)) ||
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

JobTarget *
SchedImpl_IsolateTarget(const JobSched *sched, SchedPool *pool,
                        const JobRun *run)
{
    int64_t now = sched->now_ms;
    JobTarget *best = choose_isolation(sched, pool, run);
    SchedTarget *live;
    bool is_shared;

    if (best == NULL) {
        return NULL;
    }
    live = SchedImpl_FindLive(best);
    if (!SchedImpl_IsIsolated(live, now)) {
        live->isolated_for[0] = '\0';
        live->isolated_crashed_alone = false;
        live->isolated_joined = false;
        pool->slots[live->slot] = (SchedSlot){0, 0, 0, 0, false};
        pool->isolated++;
        Slog_Begin(SLOG_CHANGE, "target_isolated");
        Slog_AddText("target", best->announcement.id);
        Slog_AddText("job", run->job->id);
        Slog_AddInt("runs", best->run_count);
        Slog_End();
    }
    live->isolated_until_ms = now + SCHED_ISOLATION_MS;
    if (is_held_for(best, run->job, now)) {
        return best;
    }
    is_shared = count_unproven(best) > 0;
    if (is_shared && !can_join(pool, best, run, now)) {
        return NULL;
    }
    live->isolated_joined = is_shared;
    snprintf(live->isolated_for, sizeof(live->isolated_for), "%s",
             run->job->id);
    if (live->isolated_crashed_alone && pool->crashed_alone > 0) {
        pool->crashed_alone--;
    }
    live->isolated_crashed_alone =
        SchedImpl_HasCrashedAlone(JobRun_GetTask(run));
    pool->crashed_alone += live->isolated_crashed_alone;
    return best;
}
