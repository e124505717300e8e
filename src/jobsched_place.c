#include "jobsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "slog.h"

/* Assignments of one command; a longer batch would delay the first starts. */
#define PLACE_MAX_BATCH 256
/* Backlog of a queue's pool, as a share of the objective, beyond which more
 * work cannot be done in time. */
#define ADMIT_MAX_WAIT_PERCENT 150

typedef struct Candidate {
    Job *job;
    int64_t rank;
} Candidate;

/* The usable targets of one pool. */
typedef struct PlacePool {
    const char *name;
    JobTarget **targets;
    size_t count;
    size_t capacity;
    bool full; /* a task with the need below had no place */
    JobNeed no_fit;
} PlacePool;

typedef struct Place {
    JobSched *sched;
    int64_t now;
    int64_t wall_ms;
    Candidate *candidates;
    size_t count;
    PlacePool *pools;
    size_t pool_count;
} Place;

static bool
has_room(const JobTarget *target, const JobStep *step)
{
    const SchedTarget *live = target->live;
    uint64_t cpu = (uint64_t)target->used.cpu + live->reserved.cpu;
    uint64_t memory =
        (uint64_t)target->used.memory_mb + live->reserved.memory_mb;
    uint64_t accelerators =
        (uint64_t)target->used.accelerators + live->reserved.accelerators;

    return cpu + (step->leftover ? 0 : step->need.cpu) <=
               target->says.room.cpu &&
           memory + step->need.memory_mb <= target->says.room.memory_mb &&
           accelerators + step->need.accelerators <=
               target->says.room.accelerators;
}

static bool
has_label(const JobTarget *target, const char *label)
{
    uint32_t i;

    for (i = 0; i < target->says.label_count; i++) {
        if (strcmp(target->says.labels[i], label) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the tasks of a step that run at a target or are on their way. */
static uint32_t
tasks_at(const Job *job, uint32_t occurrence, uint32_t step,
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

static uint32_t
count_assigned(const JobAssignment *list, size_t count, const Job *job,
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

/* Returns the tasks of a step that were chosen for a target in this batch. */
static uint32_t
tasks_chosen(const JobSched *sched, const Job *job, uint32_t occurrence,
             uint32_t step, uint32_t row)
{
    uint32_t count = count_assigned(sched->batch, sched->batch_count, job,
                                    occurrence, step, row);
    const SchedProposal *proposal;

    for (proposal = sched->proposals; proposal != NULL;
         proposal = proposal->next) {
        count +=
            count_assigned(proposal->assignments, proposal->assignment_count,
                           job, occurrence, step, row);
    }
    return count;
}

static uint32_t
lasting_cpu(const JobTarget *target)
{
    uint32_t cpu = 0;
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobStep *step = JobRun_Step(&target->runs[i]);
        cpu += step->lasting ? step->need.cpu : 0;
    }
    return cpu;
}

/* Returns how well a target suits a task; higher is better, below 0 not at
 * all. */
static int64_t
suitability(const JobSched *sched, const Job *job, uint32_t occurrence,
            uint32_t step_index, const JobTarget *target)
{
    const JobStep *step = &job->spec.steps[step_index];
    const SchedTarget *live = target->live;
    int64_t room = target->says.room.cpu > 0 ? target->says.room.cpu : 1;
    int64_t used = (int64_t)target->used.cpu + live->reserved.cpu;
    int64_t score = used * 1000 / room; /* best fit */
    uint32_t same = 0;

    if (!has_room(target, step) ||
        (step->label[0] != '\0' && !has_label(target, step->label))) {
        return -1;
    }
    if (step->max_per_target > 0 || step->lasting) {
        same = tasks_at(job, occurrence, step_index, target) +
               tasks_chosen(sched, job, occurrence, step_index, target->row);
    }
    if (step->max_per_target > 0 && same >= step->max_per_target) {
        return -1;
    }
    if (step->rack[0] != '\0' && has_label(target, step->rack)) {
        score += 2000;
    }
    if (step->lasting) {
        /* Lasting tasks share few targets, so that the others can be moved
         * freely, but the loss of one should take few tasks of a step. */
        score = 10000 + (int64_t)lasting_cpu(target) * 1000 / room -
                (int64_t)(same > 1 ? same * 3000 : 0);
    }
    return score > 0 ? score : 0;
}

static PlacePool *
find_pool(Place *place, const char *name)
{
    size_t i;

    for (i = 0; i < place->pool_count; i++) {
        if (strcmp(place->pools[i].name, name) == 0) {
            return &place->pools[i];
        }
    }
    return NULL;
}

static void
add_target(Place *place, JobTarget *target)
{
    PlacePool *pool = find_pool(place, target->says.pool);

    if (pool == NULL) {
        place->pools = Mem_Resize(place->pools, (place->pool_count + 1) *
                                                    sizeof(*place->pools));
        pool = &place->pools[place->pool_count++];
        memset(pool, 0, sizeof(*pool));
        pool->name = target->says.pool;
    }
    if (pool->count == pool->capacity) {
        pool->capacity = pool->capacity * 2 + 16;
        pool->targets =
            Mem_Resize(pool->targets, pool->capacity * sizeof(*pool->targets));
    }
    pool->targets[pool->count++] = target;
}

static void
list_targets(Place *place)
{
    uint32_t i;

    for (i = 0; i < JobState_TargetRows(place->sched->state); i++) {
        JobTarget *target = JobState_Target(place->sched->state, i);
        if (target != NULL &&
            JobSched_IsUsable(place->sched, target, place->now)) {
            add_target(place, target);
        }
    }
}

static JobTarget *
choose(Place *place, PlacePool *pool, const Job *job, uint32_t occurrence,
       uint32_t step)
{
    const JobStep *spec = &job->spec.steps[step];
    JobTarget *best = NULL;
    int64_t best_score = -1;
    size_t i;

    /* Room only shrinks within a pass. */
    if (pool->full && spec->need.cpu >= pool->no_fit.cpu &&
        spec->need.memory_mb >= pool->no_fit.memory_mb &&
        spec->need.accelerators >= pool->no_fit.accelerators &&
        !spec->leftover) {
        return NULL;
    }
    for (i = 0; i < pool->count; i++) {
        int64_t score =
            suitability(place->sched, job, occurrence, step, pool->targets[i]);
        if (score > best_score) {
            best_score = score;
            best = pool->targets[i];
        }
    }
    if (best == NULL && spec->label[0] == '\0' && spec->max_per_target == 0 &&
        !spec->leftover) {
        pool->full = true;
        pool->no_fit = spec->need;
    }
    return best;
}

void
SchedImpl_Reserve(SchedTarget *live, const JobStep *step)
{
    live->reserved.cpu += step->leftover ? 0 : step->need.cpu;
    live->reserved.memory_mb += step->need.memory_mb;
    live->reserved.accelerators += step->need.accelerators;
    live->reserved_count++;
}

void
SchedImpl_Unreserve(SchedTarget *live, const JobStep *step)
{
    live->reserved.cpu -= step->leftover ? 0 : step->need.cpu;
    live->reserved.memory_mb -= step->need.memory_mb;
    live->reserved.accelerators -= step->need.accelerators;
    live->reserved_count--;
}

static void
take(JobSched *sched, Job *job, uint32_t occurrence, uint32_t step,
     uint32_t index, uint32_t attempt, JobTarget *target)
{
    JobTask *task;
    JobAssignment *row;
    Job *same;

    if (sched->batch_count == sched->batch_capacity) {
        sched->batch_capacity = sched->batch_capacity * 2 + 32;
        sched->batch = Mem_Resize(sched->batch, sched->batch_capacity *
                                                    sizeof(*sched->batch));
    }
    row = &sched->batch[sched->batch_count++];
    memset(row, 0, sizeof(*row));
    snprintf(row->task.job, sizeof(row->task.job), "%s", job->id);
    row->task.occurrence = occurrence;
    row->task.step = step;
    row->task.index = index;
    row->attempt = attempt;
    row->target = target->row;
    row->serial = target->serial;
    task = JobState_Task(sched->state, &row->task, &same);
    task->live.phase = JOB_LIVE_PROPOSED;
    SchedImpl_Reserve(target->live, &job->spec.steps[step]);
}

static void
untake_from(JobSched *sched, size_t first)
{
    while (sched->batch_count > first) {
        JobAssignment *row = &sched->batch[--sched->batch_count];
        JobTarget *target = JobState_Target(sched->state, row->target);
        Job *job;
        JobTask *task = JobState_Task(sched->state, &row->task, &job);
        task->live.phase = JOB_LIVE_NONE;
        SchedImpl_Unreserve(target->live, &job->spec.steps[row->task.step]);
    }
}

static bool
is_free(const JobTask *task)
{
    return task->state == JOB_TASK_WAITING &&
           task->live.phase == JOB_LIVE_NONE;
}

/* Places the free tasks of a step. Returns whether some stay without a
 * place. */
static bool
place_step(Place *place, Job *job, PlacePool *pool, uint32_t occurrence,
           uint32_t step)
{
    JobSched *sched = place->sched;
    JobTask *tasks =
        job->occurrences[occurrence].tasks + job->step_first[step];
    const JobStep *spec = &job->spec.steps[step];
    size_t first = sched->batch_count;
    uint32_t attempt = 0;
    uint32_t i;

    for (i = 0; spec->gang && i < spec->count; i++) {
        /* A gang starts whole or not at all. */
        if (!is_free(&tasks[i])) {
            return tasks[i].state != JOB_TASK_DONE;
        }
        attempt = tasks[i].attempt > attempt ? tasks[i].attempt : attempt;
    }
    for (i = 0; i < spec->count; i++) {
        JobTarget *target;
        if (!is_free(&tasks[i])) {
            continue;
        }
        target = choose(place, pool, job, occurrence, step);
        if (target == NULL) {
            if (spec->gang) {
                untake_from(sched, first);
            }
            return true;
        }
        take(sched, job, occurrence, step, i,
             (spec->gang ? attempt : tasks[i].attempt) + 1, target);
    }
    return false;
}

static bool
is_due(const Place *place, const Job *job, uint32_t occurrence)
{
    if (job->spec.repeats == 0) {
        return true;
    }
    return place->wall_ms + place->sched->options.early_ms >=
           job->spec.start_ms + (int64_t)occurrence * job->spec.interval_ms;
}

static void
place_job(Place *place, Job *job)
{
    const JobQueue *queue =
        JobConfig_Queue(JobState_Config(place->sched->state), job->queue);
    PlacePool *pool =
        find_pool(place, queue != NULL ? queue->pool : job->pool);
    bool waiting = false;
    uint32_t k;
    uint32_t step;

    if (pool == NULL) {
        return; /* none of its targets can be used now */
    }
    for (k = job->first_open; k < job->occurrence_count; k++) {
        JobTaskRef first = {{0}, k, 0, 0};
        Job *same;
        if (!is_due(place, job, k)) {
            waiting = true;
            break;
        }
        snprintf(first.job, sizeof(first.job), "%s", job->id);
        JobState_Task(place->sched->state, &first, &same);
        for (step = 0; step < job->spec.step_count; step++) {
            if (Job_StepReady(job, k, step)) {
                waiting = place_step(place, job, pool, k, step) || waiting;
            }
        }
    }
    job->has_waiting = waiting;
}

/* Returns the expected time of the longest chain of a job in ms; with
 * remaining only of steps that are not done. */
static int64_t
chain_ms(const JobSched *sched, const Job *job, bool remaining)
{
    const JobSpec *spec = &job->spec;
    const JobOccurrence *open = job->first_open < job->occurrence_count
                                    ? &job->occurrences[job->first_open]
                                    : NULL;
    int64_t ends[JOB_MAX_STEPS];
    int64_t longest = 0;
    uint32_t i;
    uint32_t j;

    for (i = 0; i < spec->step_count; i++) {
        int64_t begin = 0;
        bool done = remaining && open != NULL && open->tasks != NULL &&
                    open->step_done[i] == spec->steps[i].count;
        for (j = 0; j < i; j++) {
            if ((spec->steps[i].depends >> j & 1) != 0 && ends[j] > begin) {
                begin = ends[j];
            }
        }
        ends[i] = begin + (done ? 0
                                : JobEst_Predict(sched->est, job->queue,
                                                 spec->steps[i].estimate_ms));
        longest = ends[i] > longest ? ends[i] : longest;
    }
    return longest;
}

#define RANK_LATE ((int64_t)1 << 40)
/* The expected times of a job are worked out again after this. */
#define RANK_CHAIN_MS 500

/* Keeps the expected times of a job up to date. */
static void
update_chain(const Place *place, Job *job)
{
    const JobOccurrence *open = job->first_open < job->occurrence_count
                                    ? &job->occurrences[job->first_open]
                                    : NULL;
    uint32_t done = open != NULL ? open->done : 0;

    if (job->live.chain_at_ms != 0 && job->live.chain_done == done &&
        place->now - job->live.chain_at_ms < RANK_CHAIN_MS) {
        return;
    }
    job->live.chain_ms = chain_ms(place->sched, job, false);
    job->live.left_ms = chain_ms(place->sched, job, true);
    job->live.chain_at_ms = place->now;
    job->live.chain_done = done;
}

/* Returns a key by which jobs are placed, lowest first: lasting ones; then
 * jobs that have begun and may still end in time, since only a part of their
 * work is left; then those that can still meet their objective, newest first,
 * because a pool that is behind would otherwise serve each of them just too
 * late; then what is late, newest first. */
static int64_t
rank(const Place *place, Job *job)
{
    const JobQueue *queue;
    int64_t age = place->wall_ms - job->accepted_ms;
    int64_t allowed;
    int64_t left;
    int64_t spare;
    bool begun;

    if (job->spec.steps[0].lasting) {
        return INT64_MIN / 2;
    }
    queue = JobConfig_Queue(JobState_Config(place->sched->state), job->queue);
    update_chain(place, job);
    left = job->live.left_ms;
    allowed = (int64_t)((queue != NULL ? queue->slack : 2.0) *
                        (double)job->live.chain_ms) +
              (queue != NULL ? queue->objective_ms : 1000);
    spare = allowed - left - age;
    begun = job->assigned > 0 || job->live.chain_done > 0;
    if (spare < -(begun ? allowed / 2 : 0)) {
        return RANK_LATE + age - (begun ? RANK_LATE / 2 : 0);
    }
    return begun ? spare - RANK_LATE : -spare;
}

static int
by_rank(const void *a, const void *b)
{
    const Candidate *left = a;
    const Candidate *right = b;

    return (left->rank > right->rank) - (left->rank < right->rank);
}

static void
collect(Place *place)
{
    size_t capacity = 0;
    Job *job;

    for (job = JobState_FirstActive(place->sched->state); job != NULL;
         job = job->next) {
        if (!job->has_waiting || job->phase >= JOB_COMPLETED) {
            continue;
        }
        if (place->count == capacity) {
            capacity = capacity * 2 + 64;
            place->candidates =
                Mem_Resize(place->candidates, capacity * sizeof(Candidate));
        }
        place->candidates[place->count++] = (Candidate){job, rank(place, job)};
    }
}

static void
propose_batch(JobSched *sched)
{
    Buf command = BUF_INIT;

    JobCmd_Assign(&command, sched->batch, sched->batch_count);
    SchedImpl_Propose(sched, SCHED_ASSIGN, &command, JOB_NO_TARGET, 0);
    sched->proposals->assignments = sched->batch;
    sched->proposals->assignment_count = sched->batch_count;
    sched->batch = NULL;
    sched->batch_count = 0;
    sched->batch_capacity = 0;
}

void
JobSched_Place(JobSched *sched, int64_t now, int64_t wall_ms)
{
    Place place = {.sched = sched, .now = now, .wall_ms = wall_ms};
    size_t i;

    if (!sched->leads) {
        return;
    }
    collect(&place);
    if (place.count > 0) {
        list_targets(&place);
    }
    if (place.count > 1) {
        qsort(place.candidates, place.count, sizeof(Candidate), by_rank);
    }
    for (i = 0; i < place.count && sched->batch_count < PLACE_MAX_BATCH; i++) {
        place_job(&place, place.candidates[i].job);
    }
    free(place.candidates);
    for (i = 0; i < place.pool_count; i++) {
        free(place.pools[i].targets);
    }
    free(place.pools);
    if (sched->batch_count > 0) {
        propose_batch(sched);
    }
}

/* --- admission --- */

bool
JobSched_Admit(const JobSched *sched, int64_t now, const JobQueue *queue,
               const JobSpec *spec, int64_t *retry_ms, const char **reason)
{
    (void)sched;
    (void)now;
    (void)queue;
    (void)spec;
    *retry_ms = 0;
    *reason = "";
    return true;
}
