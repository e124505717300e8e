#include "jobsched_admit.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "mem.h"
#include "slog.h"

/* Time over which the rate of arrivals is measured. */
#define ADMIT_ARRIVALS_MS 1000
/* Refusals that are remembered. Of two with the same place in the table the
 * later one is kept. */
#define ADMIT_MAX_REFUSALS 4096
/* Time for which a refused job is remembered. A caller who comes back after
 * its late objective would otherwise count as new. */
#define ADMIT_KEEP_MS 30000
/* Bounds of a retry time. Callers are told whole seconds, rounded up. */
#define ADMIT_MIN_RETRY_MS 300
#define ADMIT_MAX_RETRY_MS 6000

/* Time for which a job that was admitted and that the state does not contain
 * yet is remembered, far longer than a leader leads without commits. */
#define ADMIT_PENDING_MS 30000

/* Bounds of the factor by which the wait of a job counts for its size, and its
 * value for large jobs that are admitted too seldom. Of the values tried in
 * the model (docs/design/overload.md) these give the highest value to callers
 * with which the largest jobs are served half as often as all. */
#define ADMIT_LEAST_BIAS 0.3
#define ADMIT_MOST_BIAS 2.0
#define ADMIT_NEGLECTED_BIAS 0.6
/* Largest jobs of a queue that are admitted less often than this share of all
 * of its jobs are preferred. They have to be served half as often; some of
 * those that are admitted are not served. */
#define ADMIT_SIZE_SHARE 0.7
/* Number of submissions after which the weight of one in these shares halves.
 */
#define ADMIT_HALF_LIFE_JOBS 100
/* Step by which the learned sizes move, as a difference of logarithms. */
#define ADMIT_QUANTILE_STEP 0.1

/* A submission with what is expected of it. */
typedef struct Appraisal {
    const JobSubmission *submission;
    double error; /* factor by which run times may be shorter */
    int64_t critical_path_ms;
    int64_t least_ms; /* the same, at the low end of the error */
    int64_t core_ms;
    int64_t age_ms;     /* since it was first refused */
    int64_t in_time_ms; /* time left until its objective */
    int64_t late_ms;    /* time left until its late objective */
    int64_t wait_ms;    /* until the work ahead of it will be done */
    double bias;        /* factor of wait_ms, see get_bias */
    QueueSizes *sizes;
    SizeClass size;
    bool late_fits;         /* it can still be served once it is late */
    RefusedJob *known;      /* its entry, or the one that it would take */
    const JobOutlook *pool; /* NULL if its pool has none */
} Appraisal;

SchedAdmission *
SchedImpl_NewAdmission(uint64_t seed)
{
    SchedAdmission *admission = Mem_New(1, sizeof(*admission));

    Rng_Seed(&admission->rng, seed);
    admission->pending = StrMap_New();
    admission->refused =
        Mem_New(ADMIT_MAX_REFUSALS, sizeof(*admission->refused));
    return admission;
}

static void
forget_first_pending(SchedAdmission *admission)
{
    PendingJob *job = admission->first_pending;

    StrMap_Remove(admission->pending, job->id);
    admission->first_pending = job->next;
    if (job->next == NULL) {
        admission->last_pending = NULL;
    }
    free(job);
}

void
SchedImpl_ResetAdmission(SchedAdmission *admission)
{
    size_t i;

    for (i = 0; i < admission->pool_count; i++) {
        JobOutlook_Free(&admission->pools[i].outlook);
    }
    free(admission->pools);
    free(admission->sizes);
    free(admission->arrivals);
    admission->arrivals = NULL;
    admission->arrival_count = 0;
    admission->sizes = NULL;
    admission->size_count = 0;
    while (admission->first_pending != NULL) {
        forget_first_pending(admission);
    }
    admission->pools = NULL;
    admission->pool_count = 0;
    admission->made_ms = 0;
    memset(admission->refused, 0,
           ADMIT_MAX_REFUSALS * sizeof(*admission->refused));
    admission->refused_count = 0;
}

void
SchedImpl_FreeAdmission(SchedAdmission *admission)
{
    if (admission != NULL) {
        SchedImpl_ResetAdmission(admission);
        StrMap_Free(admission->pending);
        free(admission->refused);
        free(admission);
    }
}

/* --- refused jobs --- */

/* Returns the entry for an id, which may be free or that of another job. */
static RefusedJob *
get_entry(const SchedAdmission *admission, const char *id)
{
    uint64_t hash = XXH64(id, strlen(id), 0);

    return &admission->refused[hash % ADMIT_MAX_REFUSALS];
}

static void
forget_refusal(SchedAdmission *admission, RefusedJob *entry)
{
    memset(entry, 0, sizeof(*entry));
    admission->refused_count--;
}

void
SchedImpl_ReviewRefusals(JobSched *sched, int64_t now)
{
    SchedAdmission *admission = sched->admission;
    size_t i;

    if (admission == NULL || admission->refused_count == 0) {
        return;
    }
    SchedAdmit_UpdateOutlooks(sched, now);
    for (i = 0; i < ADMIT_MAX_REFUSALS; i++) {
        RefusedJob *entry = &admission->refused[i];
        const JobOutlook *outlook;
        if (entry->id[0] == '\0') {
            continue;
        }
        if (now - entry->first_ms > ADMIT_KEEP_MS) {
            forget_refusal(admission, entry);
            continue;
        }
        outlook = SchedAdmit_FindOutlook(admission, entry->pool);
        if (!entry->needless && now <= entry->latest_start_ms &&
            outlook != NULL && outlook->free >= entry->cpu) {
            entry->needless = true;
            sched->counts.needless_refusals++;
            Slog_Begin(SLOG_ROUTINE, "refusal_needless");
            Slog_AddText("id", entry->id);
            Slog_AddInt("after_ms", now - entry->first_ms);
            Slog_End();
        }
    }
}

/* --- sizes --- */

static QueueSizes *
find_sizes(SchedAdmission *admission, const char *queue)
{
    QueueSizes *sizes;
    size_t i;

    for (i = 0; i < admission->size_count; i++) {
        if (strcmp(admission->sizes[i].queue, queue) == 0) {
            return &admission->sizes[i];
        }
    }
    admission->sizes =
        Mem_Resize(admission->sizes,
                   (admission->size_count + 1) * sizeof(*admission->sizes));
    sizes = &admission->sizes[admission->size_count++];
    memset(sizes, 0, sizeof(*sizes));
    snprintf(sizes->queue, sizeof(sizes->queue), "%s", queue);
    return sizes;
}

/* Moves the value that a share of all values exceeds towards a new one. */
static void
learn_quantile(double *quantile, double share, double value)
{
    *quantile +=
        ADMIT_QUANTILE_STEP * (value > *quantile ? 1 - share : -share);
}

/* Returns the size class of a job. With is_new set, learns from its work. */
static SizeClass
classify_size(QueueSizes *sizes, int64_t core_ms, bool is_new)
{
    double work_log = log((double)(core_ms + 1));
    SizeClass size;
    size_t i;

    if (sizes->tenth_log <= 0) {
        sizes->tenth_log = work_log;
        sizes->three_tenths_log = work_log;
    }
    size = work_log > sizes->tenth_log          ? SIZE_TENTH
           : work_log > sizes->three_tenths_log ? SIZE_FIFTH
                                                : SIZE_OTHER;
    if (is_new) {
        learn_quantile(&sizes->tenth_log, 0.1, work_log);
        learn_quantile(&sizes->three_tenths_log, 0.3, work_log);
        for (i = 0; i < SIZE_CLASSES; i++) {
            sizes->offered[i] *= 1 - 0.693 / ADMIT_HALF_LIFE_JOBS;
            sizes->admitted[i] *= 1 - 0.693 / ADMIT_HALF_LIFE_JOBS;
        }
        sizes->offered[size]++;
    }
    return size;
}

/* Returns whether the jobs of a size class are admitted too seldom. */
static bool
is_neglected(const QueueSizes *sizes, SizeClass size)
{
    double offered = 0;
    double admitted = 0;
    size_t i;

    for (i = 0; i < SIZE_CLASSES; i++) {
        offered += sizes->offered[i];
        admitted += sizes->admitted[i];
    }
    return size != SIZE_OTHER &&
           sizes->admitted[size] * offered <
               ADMIT_SIZE_SHARE * admitted * sizes->offered[size];
}

/* Returns by which factor the wait of a job counts. The value of a job per
 * core-second falls with its work, so that callers lose least if the jobs that
 * are refused are larger than the mean of their queue. Large ones of the
 * highest priority wait no longer than by the forecast. */
static double
get_bias(const JobSched *sched, const Appraisal *appraisal)
{
    double mean = (double)JobEst_GetMeanWork(
        sched->est, appraisal->submission->queue->name);
    double bias = mean > 0 ? (double)appraisal->core_ms / mean : 1;
    double most =
        appraisal->submission->queue->priority == 0 ? 1 : ADMIT_MOST_BIAS;

    if (is_neglected(appraisal->sizes, appraisal->size)) {
        return ADMIT_NEGLECTED_BIAS;
    }
    if (bias < ADMIT_LEAST_BIAS) {
        return ADMIT_LEAST_BIAS;
    }
    return bias < most ? bias : most;
}

/* --- admission --- */

/* Remembers a job until it is committed, and forgets those that are. */
static void
add_pending(const JobSched *sched, int64_t now, const char *id)
{
    SchedAdmission *admission = sched->admission;
    PendingJob *job;

    while (admission->first_pending != NULL &&
           (now - admission->first_pending->admitted_ms > ADMIT_PENDING_MS ||
            JobState_FindJob(sched->state, admission->first_pending->id) !=
                NULL)) {
        forget_first_pending(admission);
    }
    if (StrMap_Get(admission->pending, id) != NULL) {
        return;
    }
    job = Mem_New(1, sizeof(*job));
    snprintf(job->id, sizeof(job->id), "%s", id);
    job->admitted_ms = now;
    StrMap_Put(admission->pending, job->id, job);
    if (admission->last_pending != NULL) {
        admission->last_pending->next = job;
    }
    else {
        admission->first_pending = job;
    }
    admission->last_pending = job;
}

/* Returns the number of tasks of a step that a target has room for now. */
static uint32_t
count_fitting(const JobTarget *target, const JobStep *step)
{
    const SchedTarget *live = SchedImpl_FindLive(target);
    const JobResources *room = SchedImpl_GetRoom(target);
    const uint32_t rooms[] = {room->cpu, room->memory_mb, room->accelerators};
    const uint64_t used[] = {
        (uint64_t)target->used.cpu + live->reserved.cpu,
        (uint64_t)target->used.memory_mb + live->reserved.memory_mb,
        (uint64_t)target->used.accelerators + live->reserved.accelerators};
    const uint32_t needs[] = {step->best_effort ? 0 : step->need.cpu,
                              step->need.memory_mb, step->need.accelerators};
    uint32_t count = step->count;
    size_t i;

    if (step->label[0] != '\0' && !SchedImpl_HasLabel(target, step->label)) {
        return 0;
    }
    if (step->max_per_target > 0 && count > step->max_per_target) {
        count = step->max_per_target;
    }
    for (i = 0; i < 3; i++) {
        uint64_t free = rooms[i] > used[i] ? rooms[i] - used[i] : 0;
        if (needs[i] > 0 && free / needs[i] < count) {
            count = (uint32_t)(free / needs[i]);
        }
    }
    return count;
}

/* Returns whether the targets of a pool have room for each of the steps with
 * which a job begins. */
static bool
has_room(const JobSched *sched, int64_t now, const JobSubmission *submission)
{
    const JobSpec *spec = submission->spec;
    uint32_t fitting[JOB_MAX_STEPS] = {0};
    uint32_t row;
    uint32_t i;

    for (row = 0; row < JobState_TargetRows(sched->state); row++) {
        const JobTarget *target = JobState_TargetAt(sched->state, row);
        if (target == NULL ||
            strcmp(target->announcement.pool, submission->queue->pool) != 0 ||
            !JobSched_IsUsable(sched, target, now) ||
            SchedImpl_IsIsolated(SchedImpl_FindLive(target), now)) {
            continue;
        }
        for (i = 0; i < spec->step_count; i++) {
            if (spec->steps[i].depends_mask == 0 &&
                fitting[i] < spec->steps[i].count) {
                fitting[i] += count_fitting(target, &spec->steps[i]);
            }
        }
    }
    for (i = 0; i < spec->step_count; i++) {
        if (spec->steps[i].depends_mask == 0 &&
            fitting[i] < spec->steps[i].count) {
            return false;
        }
    }
    return true;
}

/* Returns whether a job can end within its late objective if it becomes late:
 * jobs that arrive until then go before it. */
static bool
can_be_served_late(const JobSched *sched, int64_t now,
                   const Appraisal *appraisal)
{
    int64_t left_ms = appraisal->late_ms - appraisal->least_ms;
    int64_t arriving = JobDemand_GetRate(sched->demand, now,
                                         appraisal->submission->queue->pool,
                                         ADMIT_ARRIVALS_MS);
    int64_t core_ms =
        JobOutlook_GetAheadOfLate(appraisal->pool) +
        (int64_t)((double)(arriving * left_ms) / appraisal->error);

    return left_ms > 0 &&
           core_ms <= JobOutlook_GetCapacity(appraisal->pool, now + left_ms);
}

static void
appraise(JobSched *sched, int64_t now, Appraisal *appraisal)
{
    const JobSubmission *submission = appraisal->submission;
    const JobQueue *queue = submission->queue;
    int64_t allowed_ms;
    int64_t start_ms;

    SchedAdmit_UpdateOutlooks(sched, now);
    appraisal->pool = SchedAdmit_FindOutlook(sched->admission, queue->pool);
    appraisal->known = get_entry(sched->admission, submission->id);
    appraisal->age_ms = strcmp(appraisal->known->id, submission->id) == 0
                            ? now - appraisal->known->first_ms
                            : 0;
    appraisal->error = JobEst_GetErrorFactor(sched->est, queue->name);
    appraisal->critical_path_ms =
        SchedImpl_PredictCriticalPath(sched, submission->spec, queue->name);
    appraisal->core_ms =
        SchedImpl_PredictWork(sched, submission->spec, queue->name);
    appraisal->least_ms =
        (int64_t)((double)appraisal->critical_path_ms / appraisal->error);
    allowed_ms = (int64_t)(queue->slack * (double)appraisal->critical_path_ms *
                           appraisal->error) +
                 queue->objective_ms;
    appraisal->in_time_ms = allowed_ms - appraisal->age_ms;
    appraisal->late_ms = JOBSCHED_LATE_FACTOR * allowed_ms - appraisal->age_ms;
    appraisal->sizes = find_sizes(sched->admission, queue->name);
    appraisal->size =
        classify_size(appraisal->sizes, appraisal->core_ms,
                      strcmp(appraisal->known->id, submission->id) != 0);
    if (appraisal->pool == NULL) {
        return;
    }
    start_ms = JobOutlook_GetStartMs(
        appraisal->pool,
        JobOutlook_GetAhead(appraisal->pool, queue->priority));
    appraisal->wait_ms = start_ms == INT64_MAX ? INT64_MAX / 2
                         : start_ms > now      ? start_ms - now
                                               : 0;
    appraisal->bias = get_bias(sched, appraisal);
    appraisal->late_fits = can_be_served_late(sched, now, appraisal);
}

static bool
can_be_served(const Appraisal *appraisal)
{
    /* Without a usable target nothing is known about the capacity. */
    return appraisal->pool == NULL || appraisal->pool->total == 0 ||
           (double)appraisal->wait_ms * appraisal->bias <=
               (double)(appraisal->in_time_ms - appraisal->least_ms) ||
           appraisal->late_fits;
}

/* Returns when a refused caller should try again: once the work that is too
 * much has been done, but while its own time allows it to be served. Times are
 * spread, so that callers refused together do not return together. */
static int64_t
choose_retry_ms(SchedAdmission *admission, const Appraisal *appraisal)
{
    int64_t left_ms = appraisal->late_ms - appraisal->critical_path_ms;
    int64_t retry_ms = appraisal->wait_ms - left_ms;

    if (retry_ms > ADMIT_MAX_RETRY_MS) {
        retry_ms = ADMIT_MAX_RETRY_MS;
    }
    if (retry_ms > left_ms / 2) {
        retry_ms = left_ms / 2;
    }
    if (appraisal->submission->queue->priority == 0) {
        retry_ms /= 2;
    }
    retry_ms = (int64_t)((double)retry_ms * (0.5 + Rng_Unit(&admission->rng)));
    return retry_ms > ADMIT_MIN_RETRY_MS ? retry_ms : ADMIT_MIN_RETRY_MS;
}

/* Remembers and reports a refusal. */
static void
refuse(JobSched *sched, int64_t now, const Appraisal *appraisal,
       JobRefusal *refusal)
{
    const JobSubmission *submission = appraisal->submission;
    SchedAdmission *admission = sched->admission;
    RefusedJob *entry = appraisal->known;
    uint32_t i;

    *refusal = (JobRefusal){
        .cause = JOB_REFUSED_CAPACITY,
        .retry_ms = choose_retry_ms(admission, appraisal),
        .reason = "the capacity is insufficient to complete the job in time"};
    sched->counts.jobs_refused[JOB_REFUSED_CAPACITY]++;
    if (strcmp(entry->id, submission->id) != 0) {
        admission->refused_count += entry->id[0] == '\0';
        *entry = (RefusedJob){.first_ms = now};
        snprintf(entry->id, sizeof(entry->id), "%s", submission->id);
        snprintf(entry->pool, sizeof(entry->pool), "%s",
                 submission->queue->pool);
        for (i = 0; i < submission->spec->step_count; i++) {
            const JobStep *step = &submission->spec->steps[i];
            entry->cpu += step->depends_mask == 0 && !step->best_effort
                              ? (int64_t)step->count * step->need.cpu
                              : 0;
        }
        /* Sizing of pools has to see the demand that is refused. */
        JobDemand_AddWork(sched->demand, now, submission->queue->pool,
                          appraisal->core_ms);
    }
    entry->latest_start_ms =
        now + appraisal->late_ms - appraisal->critical_path_ms;
    Slog_Begin(SLOG_ROUTINE, "job_refused");
    Slog_AddText("id", submission->id);
    Slog_AddText("queue", submission->queue->name);
    Slog_AddText("cause", "capacity");
    Slog_AddInt("wait_ms", appraisal->wait_ms);
    Slog_AddInt("late_ms", appraisal->late_ms);
    Slog_AddInt("critical_path_ms", appraisal->critical_path_ms);
    Slog_AddInt("error_percent", (int64_t)(appraisal->error * 100));
    Slog_AddInt("retry_ms", refusal->retry_ms);
    Slog_End();
}

/* Returns whether refusal for lack of capacity is considered at all. */
static bool
may_refuse(const JobSched *sched, int64_t now, const JobSpec *spec)
{
    uint32_t i;

    if (sched->placing_since_ms == 0 ||
        now - sched->placing_since_ms < JOBSCHED_LEARN_MS ||
        spec->repeats > 0) {
        return false;
    }
    for (i = 0; i < spec->step_count; i++) {
        if (spec->steps[i].lasting) {
            return false;
        }
    }
    return true;
}

bool
JobSched_Admit(JobSched *sched, int64_t now, const JobSubmission *submission,
               JobRefusal *refusal)
{
    Appraisal appraisal = {.submission = submission};
    JobOutlook *outlook;

    if (!SchedImpl_CanEverRun(sched, submission->tenant, submission->spec)) {
        *refusal = (JobRefusal){
            .cause = JOB_REFUSED_CAP,
            .reason = "a gang of the job exceeds the cap of its tenant"};
        sched->counts.jobs_refused[JOB_REFUSED_CAP]++;
        return false;
    }
    if (sched->admission == NULL ||
        StrMap_Get(sched->admission->pending, submission->id) != NULL) {
        return true;
    }
    if (!may_refuse(sched, now, submission->spec)) {
        add_pending(sched, now, submission->id);
        return true;
    }
    appraise(sched, now, &appraisal);
    if (!can_be_served(&appraisal) && !has_room(sched, now, submission)) {
        refuse(sched, now, &appraisal, refusal);
        return false;
    }
    appraisal.sizes->admitted[appraisal.size]++;
    outlook =
        SchedAdmit_FindOutlook(sched->admission, submission->queue->pool);
    if (outlook != NULL) {
        JobOutlook_AddWork(
            outlook, OUTLOOK_ON_TIME, submission->queue->priority,
            (int64_t)((double)appraisal.core_ms / appraisal.error));
    }
    if (strcmp(appraisal.known->id, submission->id) == 0) {
        forget_refusal(sched->admission, appraisal.known);
    }
    add_pending(sched, now, submission->id);
    return true;
}
