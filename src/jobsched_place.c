#include "jobsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "slog.h"

/* Assignments in flight beyond which placement waits for the log. */
#define PLACE_MAX_IN_FLIGHT 2048
/* Time for which a pool without room counts as having a backlog. */
#define PLACE_BACKLOG_MS 1000

size_t
SchedImpl_FindPoolIndex(const SchedPass *pass, const char *name)
{
    size_t i = 0;

    while (i < pass->pool_count && strcmp(pass->pools[i].name, name) != 0) {
        i++;
    }
    return i;
}

static SchedPool *
find_pool(SchedPass *pass, const char *name)
{
    size_t i = SchedImpl_FindPoolIndex(pass, name);

    return i < pass->pool_count ? &pass->pools[i] : NULL;
}

static SchedPool *
find_or_add_pool(SchedPass *pass, const char *name)
{
    SchedPool *pool = find_pool(pass, name);

    if (pool == NULL) {
        pass->pools = Mem_Resize(pass->pools, (pass->pool_count + 1) *
                                                  sizeof(*pass->pools));
        pool = &pass->pools[pass->pool_count++];
        memset(pool, 0, sizeof(*pool));
        pool->name = name;
    }
    return pool;
}

static uint32_t
subtract(uint32_t a, uint64_t b)
{
    return a > b ? (uint32_t)(a - b) : 0;
}

/* Copies the free room of a target to its slot. An isolated one has none. */
static void
update_slot(SchedPool *pool, const JobTarget *target, int64_t now)
{
    const SchedTarget *live = target->sched_state;
    const JobResources *room = SchedImpl_GetRoom(target);
    const JobResources *reserved = &live->reserved;
    SchedSlot *slot = &pool->slots[live->slot];
    uint64_t cpu = (uint64_t)target->used.cpu + reserved->cpu;
    uint32_t total =
        target->announcement.room.cpu > 0 ? target->announcement.room.cpu : 1;

    if (SchedImpl_IsIsolated(live, now)) {
        *slot = (SchedSlot){0, 0, 0, 0, false};
        return;
    }
    slot->cpu = subtract(room->cpu, cpu);
    slot->memory_mb =
        subtract(room->memory_mb,
                 (uint64_t)target->used.memory_mb + reserved->memory_mb);
    slot->accelerators =
        subtract(room->accelerators,
                 (uint64_t)target->used.accelerators + reserved->accelerators);
    slot->fill = (uint32_t)(cpu * 1000 / total);
    slot->crowded = SchedImpl_IsCrowded(target);
}

static void
add_target(SchedPool *pool, JobTarget *target, int64_t now)
{
    if (pool->count == pool->capacity) {
        pool->capacity = pool->capacity * 2 + 16;
        pool->targets =
            Mem_Resize(pool->targets, pool->capacity * sizeof(*pool->targets));
        pool->slots =
            Mem_Resize(pool->slots, pool->capacity * sizeof(*pool->slots));
    }
    SchedImpl_FindLive(target)->slot = (uint32_t)pool->count;
    pool->targets[pool->count++] = target;
    update_slot(pool, target, now);
}

static void
add_room(JobTotals *total, const JobResources *room)
{
    total->cpu += room->cpu;
    total->memory_mb += room->memory_mb;
    total->accelerators += room->accelerators;
}

static void
list_targets(SchedPass *pass)
{
    const JobSched *sched = pass->sched;
    bool has_backlog =
        sched->full_ms != 0 && pass->now - sched->full_ms < PLACE_BACKLOG_MS;
    uint32_t i;

    for (i = 0; i < JobState_TargetRows(sched->state); i++) {
        JobTarget *target = JobState_TargetAt(sched->state, i);
        const SchedTarget *live = SchedImpl_FindLive(target);
        SchedPool *pool;
        if (live == NULL) {
            continue;
        }
        pool = find_or_add_pool(pass, target->announcement.pool);
        add_room(&pool->total, SchedImpl_GetRoom(target));
        if (SchedImpl_IsIsolated(live, pass->now) &&
            (live->unanswered == 0 || has_backlog)) {
            pool->isolated++;
            pool->crashed_alone += live->isolated_crashed_alone;
        }
        pool->silent += SchedImpl_MayHaveCrashed(target, pass->now);
        if (JobSched_IsUsable(sched, target, pass->now) &&
            SchedImpl_IsRoomCertain(sched, pass->now, target)) {
            add_target(pool, target, pass->now);
        }
    }
    for (i = 0; i < pass->pool_count; i++) {
        SchedPool *pool = &pass->pools[i];
        pool->crashing = SchedImpl_IsPoolCrashing(sched, pool, pass->now);
    }
}

/* Returns the target with the highest score for a task, or NULL. */
static JobTarget *
find_best_target(const JobSched *sched, const SchedPool *pool, const Job *job,
                 uint32_t occurrence, uint32_t step)
{
    JobTarget *best = NULL;
    int64_t best_score = -1;
    size_t i;

    for (i = 0; i < pool->count; i++) {
        int64_t score = SchedImpl_ScoreTarget(sched, pool, job, occurrence,
                                              step, pool->targets[i]);
        if (score > best_score) {
            best_score = score;
            best = pool->targets[i];
        }
    }
    return best;
}

/* Returns whether the score of a target for a task of a step is its fill. */
static bool
needs_room_only(const SchedPool *pool, const JobStep *spec)
{
    return !pool->crashing && !spec->lasting && !spec->best_effort &&
           spec->max_per_target == 0 && spec->label[0] == '\0' &&
           spec->rack[0] == '\0';
}

/* Returns the fullest target with room, or NULL. */
static JobTarget *
find_fullest_target(const JobSched *sched, const SchedPool *pool,
                    const Job *job, const JobStep *step)
{
    const JobResources *need = &step->need;
    const SchedSlot *best = NULL;
    size_t i;

    for (i = 0; i < pool->count; i++) {
        const SchedSlot *slot = &pool->slots[i];
        if (need->cpu <= slot->cpu && need->memory_mb <= slot->memory_mb &&
            need->accelerators <= slot->accelerators &&
            (best == NULL || slot->fill > best->fill) &&
            (!slot->crowded ||
             SchedImpl_MayTake(sched, job, step, pool->targets[i]))) {
            best = slot;
        }
    }
    return best != NULL ? pool->targets[best - pool->slots] : NULL;
}

/* Returns whether no target of a pool has room for a task, as a task that
 * needs no more did not fit. Free room only shrinks within a pass. */
static bool
has_no_room(const SchedPool *pool, const JobStep *spec)
{
    return pool->full && !spec->best_effort &&
           spec->need.cpu >= pool->unplaced_need.cpu &&
           spec->need.memory_mb >= pool->unplaced_need.memory_mb &&
           spec->need.accelerators >= pool->unplaced_need.accelerators;
}

/* Returns whether a target of a pool may have refused a task for another
 * reason than its room. */
static bool
has_crowded_target(const SchedPool *pool)
{
    size_t i;

    for (i = 0; i < pool->count; i++) {
        if (pool->slots[i].crowded) {
            return true;
        }
    }
    return false;
}

static JobTarget *
choose_target(SchedPass *pass, SchedPool *pool, const Job *job,
              uint32_t occurrence, uint32_t step)
{
    const JobStep *spec = &job->spec.steps[step];
    JobTarget *best = NULL;

    if (!has_no_room(pool, spec)) {
        best =
            needs_room_only(pool, spec)
                ? find_fullest_target(pass->sched, pool, job, spec)
                : find_best_target(pass->sched, pool, job, occurrence, step);
    }
    if (best == NULL && spec->label[0] == '\0' && spec->max_per_target == 0 &&
        !spec->best_effort && !has_crowded_target(pool)) {
        pool->full = true;
        pool->unplaced_need = spec->need;
        pass->sched->full_ms = pass->now;
    }
    return best;
}

/* Returns whether the target of the last task of a step is also the best one
 * for the next: it has become fuller, and the others have not changed. Lasting
 * tasks of a step are spread. */
static bool
is_still_best(const JobSched *sched, const Job *job, uint32_t occurrence,
              uint32_t step, const JobTarget *last)
{
    return last != NULL && !job->spec.steps[step].lasting &&
           !SchedImpl_IsIsolated(last->sched_state, sched->now_ms) &&
           SchedImpl_Fits(sched, job, occurrence, step, last);
}

static void
add_assignment(JobSched *sched, Job *job, uint32_t occurrence, uint32_t step,
               uint32_t index, uint32_t attempt, JobTarget *target)
{
    JobTask *task;
    JobAssignment *assignment;
    SchedTarget *live;
    Job *found_job;

    if (sched->batch_count == sched->batch_capacity) {
        sched->batch_capacity = sched->batch_capacity * 2 + 32;
        sched->batch = Mem_Resize(sched->batch, sched->batch_capacity *
                                                    sizeof(*sched->batch));
    }
    assignment = &sched->batch[sched->batch_count++];
    memset(assignment, 0, sizeof(*assignment));
    snprintf(assignment->task.job, sizeof(assignment->task.job), "%s",
             job->id);
    assignment->task.occurrence = occurrence;
    assignment->task.step = step;
    assignment->task.index = index;
    assignment->attempt = attempt;
    assignment->target = target->row;
    assignment->serial = target->serial;
    task = JobState_FindTask(sched->state, &assignment->task, &found_job);
    task->sched_state.phase = JOB_SCHED_PROPOSED;
    SchedImpl_ReserveUse(job, &job->spec.steps[step]);
    live = SchedImpl_EnsureLive(sched, target);
    SchedImpl_ReserveRoom(live, &job->spec.steps[step]);
    SchedImpl_CountJobRuns(sched, job, target);
    live->placed_count++;
    live->step_tasks += live->step_counted &&
                        live->counted_occurrence == occurrence &&
                        live->counted_step == step;
}

static void
undo_assignments(JobSched *sched, SchedPool *pool, size_t first)
{
    while (sched->batch_count > first) {
        JobAssignment *assignment = &sched->batch[--sched->batch_count];
        JobTarget *target =
            JobState_TargetAt(sched->state, assignment->target);
        Job *job;
        JobTask *task =
            JobState_FindTask(sched->state, &assignment->task, &job);
        task->sched_state.phase = JOB_SCHED_NONE;
        SchedImpl_ReleaseUse(job, &job->spec.steps[assignment->task.step]);
        SchedImpl_ReleaseRoom(target->sched_state,
                              &job->spec.steps[assignment->task.step]);
        SchedImpl_FindLive(target)->placed_job = NULL;
        update_slot(pool, target, sched->now_ms);
    }
}

static bool
is_placeable(const JobTask *task)
{
    return task->state == JOB_TASK_WAITING &&
           task->sched_state.phase == JOB_SCHED_NONE;
}

/* Longest waits of the suspects of a step for which a target was looked for in
 * vain, or -1. The others need the same, so those that have waited no longer
 * get none. Those that have crashed one alone may get fewer. The wait of tasks
 * that end does not matter and counts as 0. */
typedef struct UnplacedSuspects {
    int64_t wait_ms;
    int64_t crashed_alone_wait_ms;
} UnplacedSuspects;

/* Notes when a task began to wait for a target, and for how long its job has
 * waited. */
static void
mark_unplaced(Job *job, JobTask *task, int64_t now)
{
    if (task->sched_state.unplaced_ms == 0) {
        task->sched_state.unplaced_ms = now;
    }
    if (job->sched_state.unplaced_ms == 0 ||
        task->sched_state.unplaced_ms < job->sched_state.unplaced_ms) {
        job->sched_state.unplaced_ms = task->sched_state.unplaced_ms;
    }
}

/* Returns a target for a suspect, or NULL. */
static JobTarget *
find_suspect_target(const SchedPass *pass, SchedPool *pool, const JobRun *run,
                    UnplacedSuspects *unplaced)
{
    const JobTask *task = JobRun_GetTask(run);
    int64_t wait_ms = JobRun_GetStep(run)->lasting
                          ? SchedImpl_GetWait(pass->sched, task)
                          : 0;
    bool has_crashed_alone = SchedImpl_HasCrashedAlone(task);
    JobTarget *target;

    if (wait_ms <= unplaced->wait_ms ||
        (has_crashed_alone && wait_ms <= unplaced->crashed_alone_wait_ms)) {
        return NULL;
    }
    target = SchedImpl_IsolateTarget(pass->sched, pool, run);
    if (target == NULL && has_crashed_alone) {
        unplaced->crashed_alone_wait_ms = wait_ms;
    }
    else if (target == NULL) {
        unplaced->wait_ms = wait_ms;
    }
    return target;
}

/* Assigns a suspect if a target can be had for it. */
static void
place_suspect(SchedPass *pass, SchedPool *pool, const JobRun *run,
              UnplacedSuspects *unplaced)
{
    JobTask *task = JobRun_GetTask(run);
    bool has_crashed_alone = SchedImpl_HasCrashedAlone(task);
    JobTarget *target;

    mark_unplaced(run->job, task, pass->now);
    if ((task->sched_state.marks & SCHED_AWAITS_EVIDENCE) != 0) {
        return;
    }
    target = find_suspect_target(pass, pool, run, unplaced);
    if (has_crashed_alone) {
        run->job->sched_state.crashed_alone = true;
    }
    else if (target == NULL) {
        pool->suspects_wait = true;
    }
    if (target != NULL) {
        add_assignment(pass->sched, run->job, run->occurrence, run->step,
                       run->index, task->attempt + 1, target);
        update_slot(pool, target, pass->now);
    }
}

/* Returns the task of a step, other than suspects, that has found no target
 * for the longest time, or NULL if there is none. */
static JobTask *
find_longest_unplaced(JobTask *tasks, const JobStep *spec)
{
    JobTask *found = NULL;
    uint32_t i;

    for (i = 0; i < spec->count; i++) {
        if (is_placeable(&tasks[i]) && tasks[i].sched_state.unplaced_ms != 0 &&
            !SchedImpl_IsSuspect(&tasks[i], spec) &&
            (found == NULL || tasks[i].sched_state.unplaced_ms <
                                  found->sched_state.unplaced_ms)) {
            found = &tasks[i];
        }
    }
    return found;
}

/* Notes when the tasks of a lasting step began to wait for a target. */
static void
mark_step_unplaced(Job *job, JobTask *tasks, uint32_t count, int64_t now)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (is_placeable(&tasks[i])) {
            mark_unplaced(job, &tasks[i], now);
        }
    }
}

/* Places the lasting task of a step that waits longest before the others: each
 * task that leaves its target for a wave of maintenance would otherwise get
 * the next free target before it. Returns false if there is no target. */
static bool
place_longest_unplaced(SchedPass *pass, Job *job, SchedPool *pool,
                       uint32_t occurrence, uint32_t step)
{
    JobTask *tasks = Job_FindStepTasks(job, occurrence, step);
    const JobStep *spec = &job->spec.steps[step];
    JobTask *task = find_longest_unplaced(tasks, spec);
    JobTarget *target = NULL;
    JobRun run;

    if (task == NULL) {
        return true;
    }
    run = (JobRun){job, occurrence, step, (uint32_t)(task - tasks)};
    if (SchedImpl_IsWithinCap(pass->sched, job, spec)) {
        target = choose_target(pass, pool, job, occurrence, step);
        if (target == NULL && pool->isolated > 0 &&
            SchedImpl_GetWait(pass->sched, task) >=
                SCHED_MAX_SUSPECT_WAIT_MS &&
            SchedImpl_IsRestartDue(pass->sched, task)) {
            target = SchedImpl_ShareTarget(pass->sched, pool, &run);
        }
    }
    if (target == NULL) {
        return false;
    }
    add_assignment(pass->sched, job, occurrence, step, run.index,
                   task->attempt + 1, target);
    update_slot(pool, target, pass->now);
    return true;
}

/* Returns whether the job that is being placed has used up its turn. */
static bool
is_turn_over(const SchedPass *pass)
{
    return pass->sched->batch_count >= pass->batch_limit;
}

/* Assigns the waiting tasks of a step to targets until the turn of its job is
 * over. Returns whether some remain unplaced. */
static bool
place_step(SchedPass *pass, Job *job, SchedPool *pool, uint32_t occurrence,
           uint32_t step)
{
    JobSched *sched = pass->sched;
    JobTask *tasks = Job_FindStepTasks(job, occurrence, step);
    const JobStep *spec = &job->spec.steps[step];
    size_t first = sched->batch_count;
    UnplacedSuspects unplaced = {-1, -1};
    JobTarget *target = NULL;
    bool waiting = false;
    bool full = false; /* for the lasting tasks that are no suspects */
    uint32_t attempt = 0;
    uint32_t i;

    for (i = 0; spec->gang && i < spec->count; i++) {
        /* All tasks of a gang are placed together or none is. */
        if (!is_placeable(&tasks[i])) {
            return tasks[i].state != JOB_TASK_DONE;
        }
        attempt = tasks[i].attempt > attempt ? tasks[i].attempt : attempt;
    }
    if (spec->gang && !SchedImpl_IsWithinCap(sched, job, spec)) {
        return true;
    }
    if (spec->lasting && !spec->gang &&
        !place_longest_unplaced(pass, job, pool, occurrence, step)) {
        full = true;
        mark_step_unplaced(job, tasks, spec->count, pass->now);
    }
    for (i = 0; i < spec->count; i++) {
        bool suspect = SchedImpl_IsSuspect(&tasks[i], spec);
        if (!is_placeable(&tasks[i]) || (full && !suspect)) {
            continue;
        }
        if (!spec->gang &&
            (is_turn_over(pass) || !SchedImpl_IsWithinCap(sched, job, spec))) {
            return true;
        }
        if (suspect) {
            place_suspect(pass, pool, &(JobRun){job, occurrence, step, i},
                          &unplaced);
            waiting = true;
            continue;
        }
        if (!is_still_best(sched, job, occurrence, step, target)) {
            target = choose_target(pass, pool, job, occurrence, step);
        }
        if (target == NULL) {
            if (spec->gang) {
                undo_assignments(sched, pool, first);
            }
            if (spec->lasting) {
                mark_step_unplaced(job, tasks, spec->count, pass->now);
            }
            if (!spec->lasting || spec->gang) {
                return true;
            }
            full = true;
            continue;
        }
        add_assignment(sched, job, occurrence, step, i,
                       (spec->gang ? attempt : tasks[i].attempt) + 1, target);
        update_slot(pool, target, pass->now);
    }
    return waiting || full;
}

static bool
is_due(const SchedPass *pass, const Job *job, uint32_t occurrence)
{
    if (job->spec.repeats == 0) {
        return true;
    }
    return pass->wall_ms + pass->sched->options.early_start_ms >=
           job->spec.start_ms + (int64_t)occurrence * job->spec.interval_ms;
}

/* Returns whether a target can be had for a task of an occurrence that is not
 * open yet, or may be, for a lasting one that has waited since unplaced_ms. */
static bool
has_target(SchedPass *pass, SchedPool *pool, Job *job, uint32_t occurrence,
           int64_t unplaced_ms)
{
    uint32_t step;

    if (job->spec.steps[0].lasting && unplaced_ms != 0 && pool->isolated > 0 &&
        pass->now - unplaced_ms >= SCHED_MAX_SUSPECT_WAIT_MS) {
        return true;
    }
    for (step = 0; step < job->spec.step_count; step++) {
        if (job->spec.steps[step].depends_mask == 0 &&
            SchedImpl_IsWithinCap(pass->sched, job, &job->spec.steps[step]) &&
            choose_target(pass, pool, job, occurrence, step) != NULL) {
            return true;
        }
    }
    return false;
}

/* Opens an occurrence whose lasting tasks have waited for a target since a
 * time, or 0. */
static void
open_occurrence(SchedPass *pass, Job *job, uint32_t occurrence,
                int64_t unplaced_ms)
{
    uint32_t step;
    uint32_t i;

    JobState_OpenOccurrence(pass->sched->state, job, occurrence);
    for (step = 0; unplaced_ms != 0 && step < job->spec.step_count; step++) {
        JobTask *tasks = Job_FindStepTasks(job, occurrence, step);
        const JobStep *spec = &job->spec.steps[step];
        for (i = 0; spec->lasting && i < spec->count; i++) {
            tasks[i].sched_state.unplaced_ms = unplaced_ms;
        }
    }
}

/* Assigns the waiting tasks of an occurrence until the turn of its job is
 * over. Returns whether some remain. */
static bool
place_occurrence(SchedPass *pass, Job *job, SchedPool *pool,
                 uint32_t occurrence)
{
    bool waiting = false;
    uint32_t step;

    for (step = 0; step < job->spec.step_count && !is_turn_over(pass);
         step++) {
        if (Job_IsStepReady(job, occurrence, step)) {
            waiting = place_step(pass, job, pool, occurrence, step) || waiting;
        }
    }
    return waiting;
}

/* Opens an occurrence and assigns its tasks until the turn of its job is over.
 * It stays open only if one was assigned, as the tasks of all jobs that wait
 * may exceed the memory. Returns whether one was. */
static bool
place_new_occurrence(SchedPass *pass, Job *job, SchedPool *pool,
                     uint32_t occurrence, int64_t unplaced_ms)
{
    size_t first = pass->sched->batch_count;

    if (JobState_MayOpenOccurrence(pass->sched->state, job) &&
        has_target(pass, pool, job, occurrence, unplaced_ms)) {
        open_occurrence(pass, job, occurrence, unplaced_ms);
        place_occurrence(pass, job, pool, occurrence);
        if (pass->sched->batch_count > first) {
            return true;
        }
        JobState_CloseOccurrence(pass->sched->state, job, occurrence);
    }
    if (job->spec.steps[0].lasting && job->sched_state.unplaced_ms == 0) {
        job->sched_state.unplaced_ms =
            unplaced_ms != 0 ? unplaced_ms : pass->now;
    }
    return false;
}

bool
SchedImpl_PlaceJob(SchedPass *pass, Job *job)
{
    SchedPool *pool = find_pool(pass, job->pool);
    int64_t unplaced_ms = job->sched_state.unplaced_ms;
    bool waiting = false;
    uint32_t occurrence;

    job->sched_state.crashed_alone = false;
    job->sched_state.unplaced_ms = 0;
    if (pool == NULL) {
        return false; /* the pool has no usable target */
    }
    for (occurrence = job->first_incomplete;
         occurrence < job->occurrence_count && !is_turn_over(pass);
         occurrence++) {
        if (!is_due(pass, job, occurrence)) {
            waiting = true;
            break;
        }
        if (Job_FindStepTasks(job, occurrence, 0) != NULL) {
            waiting = place_occurrence(pass, job, pool, occurrence) || waiting;
        }
        else if (!Job_IsOccurrenceDone(job, occurrence)) {
            waiting = true;
            if (!place_new_occurrence(pass, job, pool, occurrence,
                                      unplaced_ms)) {
                break; /* the tasks of later ones need the same */
            }
        }
    }
    job->has_waiting = waiting || is_turn_over(pass);
    return is_turn_over(pass);
}

static void
propose_batch(JobSched *sched)
{
    Buf command = BUF_INIT;

    JobCmd_EncodeAssign(&command, sched->batch, sched->batch_count);
    SchedImpl_Propose(sched, SCHED_ASSIGN, &command, JOB_NO_TARGET, 0);
    sched->assignments_in_flight += sched->batch_count;
    sched->proposals->assignments = sched->batch;
    sched->proposals->assignment_count = sched->batch_count;
    sched->batch = NULL;
    sched->batch_count = 0;
    sched->batch_capacity = 0;
}

void
JobSched_PlaceTasks(JobSched *sched, int64_t now, int64_t wall_ms)
{
    SchedPass pass = {.sched = sched, .now = now, .wall_ms = wall_ms};
    size_t i;

    if (!sched->leads || sched->assignments_in_flight >= PLACE_MAX_IN_FLIGHT) {
        return;
    }
    sched->now_ms = now;
    sched->placing_since_ms =
        sched->placing_since_ms != 0 ? sched->placing_since_ms : now;
    sched->placement++;
    sched->placing = true;
    SchedImpl_CollectCandidates(&pass);
    if (pass.count > 0) {
        list_targets(&pass);
    }
    SchedImpl_MarkAwaitedEvidence(sched, true);
    SchedImpl_PlaceCandidates(&pass);
    SchedImpl_MarkAwaitedEvidence(sched, false);
    sched->placing = false;
    free(pass.candidates);
    for (i = 0; i < pass.pool_count; i++) {
        free(pass.pools[i].targets);
        free(pass.pools[i].slots);
    }
    free(pass.pools);
    if (sched->batch_count > 0) {
        propose_batch(sched);
    }
}
