#include "jobsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "slog.h"

/* How long a task that may have crashed a target waits for evidence of the
 * next crash, and how long lost runs are remembered for it. */
#define SCHED_EVIDENCE_WAIT_MS 4000
#define SCHED_LOST_RUN_KEPT_MS 20000

/* Probation of a run that this leader has not seen yet. */
#define SCHED_UNSEEN_PROBATION_MS JOB_MAX_LOST_RUN_MS
/* Age of a run up to which a crash is likely its own. */
#define SCHED_SOON_MS 500
/* A pool counts as crashing after this many crashes, of this share of its
 * targets, within this time. */
#define SCHED_CRASHING_COUNT 2
#define SCHED_CRASHING_PERCENT 5
#define SCHED_CRASHING_MS 5000

/* The runs of a crashed target that may have caused the crash. */
typedef struct SuspectList {
    JobCrash *rows;
    bool *settled; /* for each: it had run for SCHED_SETTLE_MS */
    size_t count;
    /* Job of the first that can have caused it, or empty. */
    char job[JOB_ID_BYTES];
    bool single; /* those that can have are of one job */
    /* The same of those that have not settled. */
    char new_job[JOB_ID_BYTES];
    bool new_single;
} SuspectList;

/* Returns whether the end of a target is no crash: it has announced that it
 * leaves, or this service has moved its VM or taken it into maintenance. */
static bool
is_end_expected(const JobSched *sched, const JobTarget *target)
{
    const JobAnnouncement *announcement = &target->announcement;
    const JobVmOrder *order =
        JobState_FindVmOrder(sched->state, announcement->vm);

    return announcement->leaving ||
           (order != NULL && order->wall_ms >= (int64_t)announcement->born);
}

SchedCrash
SchedImpl_GetCrashSpan(const JobTarget *target, int64_t now)
{
    const SchedTarget *live = SchedImpl_FindLive(target);
    SchedCrash span = {.from_ms = live->last_seen_ms, .to_ms = now};

    memcpy(span.pool, target->announcement.pool, sizeof(span.pool));
    if (live->unanswered > 0 && live->silent_since_ms >= span.from_ms) {
        span.to_ms = live->silent_since_ms;
    }
    return span;
}

/* Notes that a run whose start was not answered may have run. */
static void
note_unanswered_run(const JobRun *run, const SchedCrash *span)
{
    JobTask *task = JobRun_GetTask(run);
    int64_t sent_ms = task->sched_state.sent_ms;

    if (sent_ms > task->ran_ms && sent_ms < span->to_ms) {
        task->ran_ms = sent_ms;
    }
}

static void
log_run_of_crashed_target(const JobTarget *target, const JobRun *run,
                          int64_t now)
{
    const JobTask *task = JobRun_GetTask(run);

    Slog_Begin(SLOG_FAILURE, "run_crashed");
    Slog_AddTask(run->job->id, run->occurrence, run->step, run->index);
    Slog_AddInt("attempt", task->attempt);
    Slog_AddText("target", target->announcement.id);
    Slog_AddInt("phase", task->sched_state.phase);
    Slog_AddInt("phase_ms", now - task->sched_state.since_ms);
    Slog_AddInt("proven", task->sched_state.proven);
    Slog_End();
}

bool
SchedImpl_MayHaveCrashed(const JobTarget *target, int64_t now)
{
    const SchedTarget *live = SchedImpl_FindLive(target);
    uint32_t i;

    if (live->unanswered == 0 ||
        now - live->silent_since_ms >= SCHED_CRASHING_MS) {
        return false;
    }
    for (i = 0; i < target->run_count; i++) {
        if (!JobRun_GetTask(&target->runs[i])->sched_state.proven) {
            return true;
        }
    }
    return false;
}

bool
SchedImpl_IsPoolCrashing(const JobSched *sched, const SchedPool *pool,
                         int64_t now)
{
    size_t recorded = sched->crash_count < SCHED_MAX_CRASHES
                          ? sched->crash_count
                          : SCHED_MAX_CRASHES;
    size_t crashes = pool->silent;
    size_t i;

    for (i = 0; i < recorded; i++) {
        crashes += now - sched->crashes[i].to_ms < SCHED_CRASHING_MS &&
                   strcmp(sched->crashes[i].pool, pool->name) == 0;
    }
    return crashes >= SCHED_CRASHING_COUNT &&
           crashes * 100 >= (pool->count + crashes) * SCHED_CRASHING_PERCENT;
}

static bool
is_overlapping(const SchedCrash *a, const SchedCrash *b)
{
    return a->from_ms <= b->to_ms && b->from_ms <= a->to_ms;
}

/* Returns whether a third or more of a pool may have crashed at the same time,
 * so that none of their tasks is likely to be the cause. */
static bool
is_pool_failure(const JobSched *sched, const JobTarget *target,
                const SchedCrash *span, int64_t now)
{
    size_t recorded = sched->crash_count < SCHED_MAX_CRASHES
                          ? sched->crash_count
                          : SCHED_MAX_CRASHES;
    uint32_t crashed = 0;
    uint32_t alive = 0;
    uint32_t unknown = 0;
    uint32_t i;

    for (i = 0; i < recorded; i++) {
        crashed += strcmp(sched->crashes[i].pool, span->pool) == 0 &&
                   is_overlapping(&sched->crashes[i], span);
    }
    for (i = 0; i < JobState_TargetRows(sched->state); i++) {
        const JobTarget *other = JobState_TargetAt(sched->state, i);
        const SchedTarget *live = SchedImpl_FindLive(other);
        SchedCrash silence;
        if (live == NULL || other == target || live->crash_recorded ||
            live->known_since_ms > span->from_ms ||
            strcmp(other->announcement.pool, span->pool) != 0) {
            continue;
        }
        silence = SchedImpl_GetCrashSpan(other, now);
        if (live->unanswered > 0 && is_overlapping(&silence, span)) {
            crashed++;
        }
        else if (live->last_seen_ms > span->to_ms) {
            alive++;
        }
        else {
            unknown++;
        }
    }
    return crashed >= 2 && crashed * 2 >= alive + unknown;
}

/* Adds a suspect. A task whose runs on the target were given up more than once
 * is a suspect once: the target has crashed only once. */
static void
add_suspect(SuspectList *list, const JobCrash *crash, bool settled)
{
    size_t i;

    if (crash->evidence != JOB_CRASH_SHARED) {
        if (list->job[0] == '\0') {
            snprintf(list->job, sizeof(list->job), "%s", crash->task.job);
            list->single = true;
        }
        list->single = list->single && strcmp(list->job, crash->task.job) == 0;
    }
    if (!settled) {
        if (list->new_job[0] == '\0') {
            snprintf(list->new_job, sizeof(list->new_job), "%s",
                     crash->task.job);
            list->new_single = true;
        }
        list->new_single =
            list->new_single && strcmp(list->new_job, crash->task.job) == 0;
    }
    for (i = 0; i < list->count; i++) {
        JobCrash *known = &list->rows[i];
        if (JobTaskRef_IsSame(&known->task, &crash->task)) {
            if (crash->evidence > known->evidence) {
                known->evidence = crash->evidence;
            }
            if (crash->attempt > known->attempt) {
                known->attempt = crash->attempt;
            }
            list->settled[i] = list->settled[i] && settled;
            return;
        }
    }
    list->settled[list->count] = settled;
    list->rows[list->count++] = *crash;
}

/* Returns what a crash says about a run, if it is the only suspect. A start
 * without an answer may have reached its target only if that was alive; of a
 * gang, whose members do not run alone, it stays unsure. */
static JobCrashEvidence
get_own_evidence(const JobRun *run, const SchedCrash *span)
{
    const JobTask *task = JobRun_GetTask(run);
    int64_t begun_ms = task->sched_state.since_ms;

    if (task->sched_state.phase == JOB_SCHED_NONE) {
        return JOB_CRASH_LATE;
    }
    if (task->sched_state.phase < JOB_SCHED_RUNNING) {
        begun_ms = task->sched_state.sent_ms;
        if (span->to_ms <= begun_ms) {
            return JOB_CRASH_SHARED;
        }
        if (begun_ms - span->from_ms > SCHED_SOON_MS ||
            JobRun_GetStep(run)->gang) {
            return JOB_CRASH_UNSURE;
        }
    }
    return span->to_ms - begun_ms <= SCHED_SOON_MS ? JOB_CRASH_SOON
                                                   : JOB_CRASH_LATE;
}

/* Returns whether a run has outlived its probation, or never began. What an
 * earlier leader has learned of a run is unknown, so its assignment has to be
 * long ago. */
static bool
is_innocent(const JobTask *task, const SchedCrash *span)
{
    return task->sched_state.proven || task->sched_state.unsent ||
           (task->sched_state.phase == JOB_SCHED_NONE &&
            task->assigned_ms > 0 &&
            span->to_ms - task->assigned_ms >= SCHED_UNSEEN_PROBATION_MS);
}

/* Returns whether a run had run for SCHED_SETTLE_MS when its target crashed.
 */
static bool
has_settled(const JobTask *task, const SchedCrash *span)
{
    return task->sched_state.phase == JOB_SCHED_RUNNING &&
           span->from_ms - task->sched_state.since_ms >= SCHED_SETTLE_MS;
}

static bool
is_lost_run_of(const SchedLostRun *lost, const JobTarget *target)
{
    return lost->row == target->row && lost->serial == target->serial &&
           lost->cookie == 0;
}

static SuspectList
list_suspects(const JobSched *sched, const JobTarget *target,
              const SchedCrash *span)
{
    size_t capacity = target->run_count + sched->lost_run_count + 1;
    SuspectList list = {.rows = Mem_New(capacity, sizeof(*list.rows)),
                        .settled = Mem_New(capacity, sizeof(*list.settled))};
    size_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        const JobTask *task = JobRun_GetTask(run);
        if (!is_innocent(task, span)) {
            add_suspect(&list,
                        &(JobCrash){JobRun_GetTaskRef(run), task->attempt,
                                    get_own_evidence(run, span)},
                        has_settled(task, span));
        }
    }
    for (i = 0; i < sched->lost_run_count; i++) {
        const SchedLostRun *lost = &sched->lost_runs[i];
        if (is_lost_run_of(lost, target)) {
            add_suspect(&list, &lost->crash, false);
        }
    }
    return list;
}

/* Limits the evidence against a suspect to what the circumstances allow.
 * Returns false if the crash is not to be counted. */
static bool
weigh_evidence(JobSched *sched, JobCrash *crash, bool single,
               bool pool_failure)
{
    Job *job;
    const JobTask *task = JobState_FindTask(sched->state, &crash->task, &job);
    bool is_gang;

    if (task == NULL) {
        return false;
    }
    is_gang = job->spec.steps[crash->task.step].gang;
    if (is_gang && crash->evidence == JOB_CRASH_SHARED) {
        return false;
    }
    if (!single && !(is_gang && crash->evidence == JOB_CRASH_UNSURE)) {
        crash->evidence = JOB_CRASH_SHARED;
    }
    else if (pool_failure && crash->evidence > JOB_CRASH_POOL) {
        crash->evidence = JOB_CRASH_POOL;
    }
    Slog_Begin(SLOG_FAILURE, "crash_counted");
    Slog_AddTask(crash->task.job, crash->task.occurrence, crash->task.step,
                 crash->task.index);
    Slog_AddInt("attempt", crash->attempt);
    Slog_AddInt("evidence", crash->evidence);
    Slog_AddInt("score_before", task->crash_score);
    Slog_End();
    return true;
}

/* Returns whether a crash of an isolated target is not counted against a
 * suspect, because suspects of another job have joined it since it settled.
 * Each task is excused only once, so that one which crashes its targets late
 * is found as well. */
static bool
excuse_suspect(JobSched *sched, const SuspectList *list, size_t i)
{
    Job *job;
    JobTask *task;

    if (list->single || !list->new_single || !list->settled[i]) {
        return false;
    }
    task = JobState_FindTask(sched->state, &list->rows[i].task, &job);
    if (task == NULL || task->excused) {
        return false;
    }
    task->excused = true;
    return true;
}

/* Proposes a command that counts crashes, and returns the number of its
 * proposal. Takes the command. */
static uint64_t
propose_crashes(JobSched *sched, Buf *command)
{
    Buf copy = BUF_INIT;

    Buf_Append(&copy, command->data, command->len);
    SchedImpl_Propose(sched, SCHED_CRASHES, command, JOB_NO_TARGET, 0);
    sched->proposals->crashes = copy;
    return sched->proposals->cookie;
}

void
SchedImpl_RetryCrashes(JobSched *sched)
{
    SchedProposal *refused = sched->refused_crashes;

    sched->refused_crashes = NULL;
    while (refused != NULL) {
        SchedProposal *next = refused->next;
        uint64_t cookie = propose_crashes(sched, &refused->crashes);
        size_t i;
        for (i = 0; i < sched->lost_run_count; i++) {
            if (sched->lost_runs[i].cookie == refused->cookie) {
                sched->lost_runs[i].cookie = cookie;
            }
        }
        free(refused);
        refused = next;
    }
}

/* Counts the crash of a target against its suspects. */
static void
count_crash(JobSched *sched, const JobTarget *target, const SchedCrash *span,
            bool pool_failure)
{
    SuspectList list = list_suspects(sched, target, span);
    const SchedTarget *live = SchedImpl_FindLive(target);
    bool joined =
        live->isolated_joined && SchedImpl_IsIsolated(live, sched->now_ms);
    uint64_t cookie = 0;
    size_t counted = 0;
    size_t first;
    size_t i;

    for (i = 0; i < list.count; i++) {
        bool single =
            list.single || (joined && list.new_single && !list.settled[i]);
        if (joined && excuse_suspect(sched, &list, i)) {
            continue;
        }
        if (weigh_evidence(sched, &list.rows[i], single, pool_failure)) {
            list.rows[counted++] = list.rows[i];
        }
    }
    for (first = 0; first < counted; first += SCHED_MAX_COMMAND_ROWS) {
        size_t left = counted - first;
        Buf command = BUF_INIT;
        JobCmd_EncodeCrashes(
            &command, sched->wall_ms, list.rows + first,
            left < SCHED_MAX_COMMAND_ROWS ? left : SCHED_MAX_COMMAND_ROWS);
        cookie = propose_crashes(sched, &command);
    }
    free(list.rows);
    free(list.settled);
    for (i = 0; i < sched->lost_run_count; i++) {
        if (is_lost_run_of(&sched->lost_runs[i], target)) {
            sched->lost_runs[i].cookie = cookie;
        }
    }
}

/* Returns whether a run of a target was remembered as lost while the log
 * refused its end. */
static bool
is_still_assigned(const JobSched *sched, const SchedLostRun *lost,
                  const JobTarget *target)
{
    Job *job;
    const JobTask *task =
        JobState_FindTask(sched->state, &lost->crash.task, &job);

    return is_lost_run_of(lost, target) && task != NULL &&
           task->state == JOB_TASK_ASSIGNED && task->target == target->row &&
           task->attempt == lost->crash.attempt;
}

/* Drops lost runs that are old, and those that are about to be remembered for
 * a target again. */
static void
drop_stale_lost_runs(JobSched *sched, int64_t now, const JobTarget *target)
{
    size_t kept = 0;
    size_t i;

    for (i = 0; i < sched->lost_run_count; i++) {
        if (now - sched->lost_runs[i].lost_ms < SCHED_LOST_RUN_KEPT_MS &&
            !is_still_assigned(sched, &sched->lost_runs[i], target)) {
            sched->lost_runs[kept++] = sched->lost_runs[i];
        }
    }
    sched->lost_run_count = kept;
}

static void
add_lost_run(JobSched *sched, const SchedLostRun *lost)
{
    if (sched->lost_run_count == sched->lost_run_capacity) {
        sched->lost_run_capacity = sched->lost_run_capacity * 2 + 16;
        sched->lost_runs =
            Mem_Resize(sched->lost_runs,
                       sched->lost_run_capacity * sizeof(*sched->lost_runs));
    }
    sched->lost_runs[sched->lost_run_count++] = *lost;
}

/* Remembers the lost runs of a step that an earlier leader has given up. */
static void
recall_step_runs(JobSched *sched, int64_t now, Job *job, uint32_t occurrence,
                 uint32_t step)
{
    const JobTask *tasks = Job_FindStepTasks(job, occurrence, step);
    uint32_t i;

    for (i = 0; tasks != NULL && i < job->spec.steps[step].count; i++) {
        const JobLostRun *lost = &tasks[i].lost;
        JobRun run = {job, occurrence, step, i};
        if (lost->lost_ms != 0 &&
            now - lost->lost_ms < SCHED_LOST_RUN_KEPT_MS) {
            add_lost_run(sched,
                         &(SchedLostRun){lost->row,
                                         lost->serial,
                                         {JobRun_GetTaskRef(&run),
                                          lost->attempt, JOB_CRASH_LATE},
                                         0,
                                         lost->lost_ms});
        }
    }
}

void
SchedImpl_RecallLostRuns(JobSched *sched, int64_t now)
{
    Job *job;
    uint32_t k;
    uint32_t step;

    for (job = JobState_FirstActive(sched->state); job != NULL;
         job = job->next) {
        for (k = 0; k < job->row_count; k++) {
            for (step = 0; step < job->spec.step_count; step++) {
                recall_step_runs(sched, now, job, job->first_incomplete + k,
                                 step);
            }
        }
    }
}

void
SchedImpl_RememberLostRuns(JobSched *sched, int64_t now,
                           const JobTarget *target)
{
    SchedCrash span = SchedImpl_GetCrashSpan(target, now);
    uint32_t i;

    drop_stale_lost_runs(sched, now, target);
    for (i = 0; i < target->run_count; i++) {
        const JobTask *task = JobRun_GetTask(&target->runs[i]);
        if (!is_innocent(task, &span)) {
            add_lost_run(
                sched, &(SchedLostRun){
                           target->row,
                           target->serial,
                           {JobRun_GetTaskRef(&target->runs[i]), task->attempt,
                            get_own_evidence(&target->runs[i], &span)},
                           0,
                           now});
        }
    }
}

void
SchedImpl_ForgetLostRuns(JobSched *sched, const JobTarget *target)
{
    size_t i = 0;

    while (i < sched->lost_run_count) {
        if (is_lost_run_of(&sched->lost_runs[i], target)) {
            sched->lost_runs[i] = sched->lost_runs[--sched->lost_run_count];
        }
        else {
            i++;
        }
    }
}

void
SchedImpl_ForgetCountedRuns(JobSched *sched, uint64_t cookie)
{
    size_t i = 0;

    while (i < sched->lost_run_count) {
        if (sched->lost_runs[i].cookie == cookie) {
            sched->lost_runs[i] = sched->lost_runs[--sched->lost_run_count];
        }
        else {
            i++;
        }
    }
}

void
SchedImpl_ClearCrashes(JobSched *sched, const JobRun *run)
{
    Buf command = BUF_INIT;
    JobCrash row = {JobRun_GetTaskRef(run), JobRun_GetTask(run)->attempt,
                    JOB_CRASH_CLEARED};

    JobCmd_EncodeCrashes(&command, sched->wall_ms, &row, 1);
    propose_crashes(sched, &command);
}

/* Returns whether a task waits until it is known whether its last target has
 * crashed. */
static bool
awaits_evidence(const JobSched *sched, const SchedLostRun *lost,
                const Job *job, const JobTask *task)
{
    return task->crash_score > 0 &&
           sched->now_ms - lost->lost_ms < SCHED_EVIDENCE_WAIT_MS &&
           !(job->spec.steps[lost->crash.task.step].lasting &&
             SchedImpl_IsRestartDue(sched, task));
}

void
SchedImpl_MarkAwaitedEvidence(const JobSched *sched, bool marked)
{
    size_t i;

    for (i = 0; i < sched->lost_run_count; i++) {
        const SchedLostRun *lost = &sched->lost_runs[i];
        Job *job;
        JobTask *task =
            JobState_FindTask(sched->state, &lost->crash.task, &job);
        if (task != NULL && awaits_evidence(sched, lost, job, task)) {
            task->sched_state.marks = marked ? SCHED_AWAITS_EVIDENCE : 0;
        }
    }
}

void
SchedImpl_RecordCrash(JobSched *sched, int64_t now, JobTarget *target)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);
    SchedCrash span = live->checking_restart
                          ? live->restart
                          : SchedImpl_GetCrashSpan(target, now);
    bool pool_failure;
    uint32_t i;

    if (live->crash_recorded || is_end_expected(sched, target)) {
        return;
    }
    live->crash_recorded = true;
    pool_failure = is_pool_failure(sched, target, &span, now);
    sched->counts.crashed_targets++;
    Slog_Begin(SLOG_FAILURE, "target_crashed");
    Slog_AddText("target", target->announcement.id);
    Slog_AddText("vm", target->announcement.vm);
    Slog_AddText("pool", target->announcement.pool);
    Slog_AddInt("runs", target->run_count);
    Slog_AddInt("pool_failure", pool_failure);
    Slog_AddInt("earliest_ms", span.from_ms - now);
    Slog_AddInt("latest_ms", span.to_ms - now);
    Slog_End();
    for (i = 0; i < target->run_count; i++) {
        log_run_of_crashed_target(target, &target->runs[i], now);
        note_unanswered_run(&target->runs[i], &span);
    }
    count_crash(sched, target, &span, pool_failure);
    SchedImpl_ForgetLostRuns(sched, target);
    sched->crashes[sched->crash_count++ % SCHED_MAX_CRASHES] = span;
}
