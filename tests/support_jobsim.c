#include "support_jobsim.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "raft_msg.h"
#include "rng.h"
#include "slog.h"

#define COMMIT_DELAY_MS 25 /* from proposal to commit */
#define NETWORK_DELAY_MS 3 /* one-way, between leader and target */
#define TICK_INTERVAL_MS 50
#define ANNOUNCE_INTERVAL_MS 1500
#define MAX_STOP_MS 200
#define MAX_LEASE_MS 6000
#define TARGET_MILLICORES 16000
#define TARGET_MEMORY_MB 32000
/* Time after which starts must fit into a room that has shrunk. */
#define SHRUNK_ROOM_GRACE_MS (3000 + ANNOUNCE_INTERVAL_MS)
#define CALL_TIMEOUT_MS 1000
#define MAX_MESSAGE_DELAY_MS 9000
#define MAX_RUNS 1024
/* Runs of a target unless there are large jobs. */
#define MAX_USUAL_RUNS 64
#define MAX_LISTED_ENDS 500 /* in one answer */
/* Connections to a target for starts and stops, how long each takes one, and
 * when calls that wait for one time out. */
#define RUN_CONNECTIONS 2
#define CALL_CONNECTION_MS 5
#define RUN_CALL_TIMEOUT_MS 100
#define MAX_ATTEMPTS 3
#define GANG_TIMEOUT_MS 3000 /* wait of a run for the others of its gang */
#define GANG_NOTICE_MS 5     /* until the others know that a member ended */
/* A deadly task may be started MAX_STARTS_AFTER_CRASHES times after it has
 *  crashed CRASHES_BEFORE_BUDGET targets. The job of any task may be failed
 * after MIN_CRASHES_TO_FAIL crashes under it. */
#define CRASHES_BEFORE_BUDGET 3
#define MAX_STARTS_AFTER_CRASHES 2
#define MIN_CRASHES_TO_FAIL 2
/* Time for which a cap that was lowered may still be in force: a call is
 * delayed by up to 12 s, and a new leader sends the starts of earlier ones. */
#define LOWERED_CAP_MS 15000
#define MAX_CAP_CHANGES 256
/* Longest wait of a job that is found by checks_waits. */
#define MAX_WAIT_MS 3000

/* Jobs of callers with JobSimOptions.load. */
#define MAX_LOAD_STEPS 3
#define MAX_LOAD_TASKS 16 /* of a step */
#define MEAN_LOAD_WORK (2.0 * 5.0 * 1350 * 850)
#define LULL_FACTOR 0.05
#define QUEUE_OBJECTIVE_MS 600
#define QUEUE_SLACK 1.6

typedef enum EventKind {
    EV_COMMIT,
    EV_DELIVER,
    EV_ANSWER,
    EV_RUN_FINISHED,
    EV_RUN_STOPPED,
    EV_GANG_FINISHED,
    EV_GANG_BROKEN,
    EV_GANG_TIMEOUT,
    EV_ANNOUNCE,
    EV_TICK,
    EV_JOB_ARRIVAL,
    EV_JOB_CANCEL,
    EV_PARTITION,
    EV_HEAL,
    EV_CRASH,
    EV_DEADLY_CRASH, /* a deadly run crashes its target */
    EV_POOL_CRASH,
    EV_POOL_TARGET_CRASH,
    EV_BUSIEST_CRASH, /* see JobSimOptions.busiest_crash_ms */
    EV_RESTART,
    EV_PLANNED_END,
    EV_LATE_ANNOUNCEMENT, /* of an incarnation that has ended */
    EV_LATE_DEPARTURE,
    EV_LEADER_CHANGE,
    EV_OUTAGE, /* the leader is lost for outage_ms */
    EV_HOLD_TIMEOUT,
    EV_SHRINK,
    EV_GROW,
    EV_MUTE,
    EV_UNMUTE,
    EV_LOG_STALL,
    EV_ELECTED,
    EV_CAP_CHANGE,
    EV_CALLER, /* a caller of JobSimOptions.load submits a new job */
    EV_RETRY   /* a caller comes back after a refusal */
} EventKind;

typedef struct Run {
    JobTaskRef task;
    uint32_t attempt;
    uint64_t id; /* unique in the simulation */
    bool lasting;
    bool gang;
    bool stopping;
} Run;

/* A target rejects starts of this task up to this attempt as stale. */
typedef struct StaleAttempt {
    JobTaskRef task;
    uint32_t attempt;
} StaleAttempt;

typedef struct SimTarget {
    JobAnnouncement announcement;
    uint64_t incarnation;
    double clock_rate; /* speed of its clock relative to simulated time */
    int64_t start_ms; /* simulated time of its start, when its clock reads 0 */
    bool up;
    bool partitioned;
    bool silent;              /* while it is down, its VM is down as well */
    uint64_t fence;           /* highest fencing token received */
    int64_t deadline_ms;      /* lease deadline on its clock */
    int64_t lease_expired_ms; /* simulated time of the last lease expiry */
    Run runs[MAX_RUNS];
    size_t run_count;
    JobEnd *ends;      /* all ends of this incarnation */
    int64_t *ended_ms; /* simulated time of each end */
    size_t end_count;
    uint64_t acked; /* number of acknowledged ends */
    size_t listed;  /* number of ends that were listed in an answer */
    StaleAttempt *stale_attempts;
    size_t stale_attempt_count;
    JobAction pending_hold; /* hold that waits for an end */
    uint64_t hold_term;     /* term of the leader that sent the hold */
    uint64_t hold_id;       /* 0: no pending hold */
    JobResources full_room; /* its room before it shrank */
    bool shrunk;
    int64_t shrunk_ms;
    bool guarded; /* refuses a start that does not fit */
    bool muted;   /* its announcements are lost */
    int64_t connection_free_ms[RUN_CONNECTIONS];
} SimTarget;

/* What the oracle knows about a task. */
typedef struct TaskRecord {
    char key[96];
    uint32_t running; /* number of its runs that have not ended */
    bool done;
    bool done_acked; /* the end was acknowledged before the lease expired */
    uint32_t failures_acked;
    uint32_t failures_listed;
    uint32_t crashes;        /* of targets that ran the task */
    uint32_t crashes_caused; /* by the task */
    uint32_t starts;
    uint32_t starts_after_crashes; /* see CRASHES_BEFORE_BUDGET */
    int64_t ran_ms; /* when it last ran, with measure_restarts; 0: never */
} TaskRecord;

/* A cap of a tenant, in force until the next one. */
typedef struct CapRecord {
    int64_t from_ms;
    uint32_t cpu; /* 0: no limit */
    bool removed; /* the tenant is not in the configuration */
} CapRecord;

typedef struct TenantRecord {
    CapRecord caps[MAX_CAP_CHANGES];
    size_t cap_count;
} TenantRecord;

typedef struct JobRecord {
    const Job *job;
    uint32_t tenant;
    int64_t idle_since_ms; /* see checks_waits; 0: it has no cause to start */
    bool ended;
    bool deadly;
    bool late_crash;
    bool large;
    uint32_t deadly_step;
    uint32_t deadly_index; /* UINT32_MAX: all tasks of the step */
    /* The members below are set only with JobSimOptions.load. */
    JobSpec spec;
    uint32_t queue; /* index */
    uint32_t retries;
    int64_t first_ms; /* of its first submission */
    int64_t step_ms[MAX_LOAD_STEPS];
    int64_t objective_ms;
    double work;
    JobSimSize size;
    int64_t unplaced_since_ms; /* see max_idle_ms of the report; 0: not idle */
    bool idle_counted;
} JobRecord;

typedef struct Event {
    int64_t at_ms;
    uint64_t sequence; /* order of events at the same time */
    EventKind kind;
    uint32_t target_index;
    uint64_t incarnation;
    uint64_t id; /* run or hold; for EV_DELIVER: 1 if the answer arrives; for
                    EV_POOL_CRASH: number of crashes left */
    uint64_t sender_term; /* term of the leader that sent the action */
    bool late;            /* EV_DELIVER: delayed by the network */
    JobAction action;
    JobCallAnswer answer;
    JobRunning *running;
    JobEnd *ends;
    JobAnnouncement *announcement;
    char job_id[JOB_ID_BYTES];
} Event;

typedef struct JobSim {
    JobSimOptions options;
    Rng rng;
    Rng caller_rng; /* of JobSimOptions.load */
    int64_t now;    /* simulated time in ms */
    uint64_t term;
    JobState *state;
    JobSchedOptions sched_options;
    JobSched *sched;
    SimTarget *targets;
    uint32_t target_count;
    Event **heap; /* binary min-heap of pending events */
    size_t heap_count;
    size_t heap_capacity;
    uint64_t next_sequence;
    uint64_t next_id;
    uint64_t next_job;
    StrMap *task_records;
    TenantRecord tenants[JOBSIM_MAX_TENANTS];
    uint64_t config_version;
    JobRecord *job_records; /* by job number */
    uint64_t job_record_capacity;
    uint64_t first_open_job; /* jobs with a lower number have ended */
    JobSimReport *report;
    int64_t total_ms;
    int64_t last_commit_ms; /* commits take effect in proposal order */
    int64_t fault_ms;       /* last crash, or start of a leader */
} JobSim;

static void *
allocate(size_t bytes)
{
    void *memory = calloc(1, bytes);

    if (memory == NULL) {
        abort();
    }
    return memory;
}

static void
report_violation(JobSim *sim, const char *format, ...)
{
    char text[200];
    va_list args;

    if (sim->report->violation[0] != '\0') {
        return;
    }
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    snprintf(sim->report->violation, sizeof(sim->report->violation),
             "seed %llu at %lld ms: %s", (unsigned long long)sim->options.seed,
             (long long)sim->now, text);
}

/* --- events --- */

static bool
is_earlier(const Event *a, const Event *b)
{
    return a->at_ms != b->at_ms ? a->at_ms < b->at_ms
                                : a->sequence < b->sequence;
}

static Event *
schedule_event(JobSim *sim, int64_t delay_ms, EventKind kind)
{
    Event *event = allocate(sizeof(*event));
    size_t i;

    event->at_ms = sim->now + delay_ms;
    event->sequence = sim->next_sequence++;
    event->kind = kind;
    if (sim->heap_count == sim->heap_capacity) {
        sim->heap_capacity = sim->heap_capacity * 2 + 256;
        sim->heap =
            realloc(sim->heap, sim->heap_capacity * sizeof(*sim->heap));
        if (sim->heap == NULL) {
            abort();
        }
    }
    i = sim->heap_count++;
    while (i > 0 && is_earlier(event, sim->heap[(i - 1) / 2])) {
        sim->heap[i] = sim->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    sim->heap[i] = event;
    return event;
}

static Event *
pop_event(JobSim *sim)
{
    Event *first = sim->heap[0];
    Event *last = sim->heap[--sim->heap_count];
    size_t i = 0;

    while (sim->heap_count > 0) {
        size_t child = 2 * i + 1;
        if (child >= sim->heap_count) {
            break;
        }
        if (child + 1 < sim->heap_count &&
            is_earlier(sim->heap[child + 1], sim->heap[child])) {
            child++;
        }
        if (!is_earlier(sim->heap[child], last)) {
            break;
        }
        sim->heap[i] = sim->heap[child];
        i = child;
    }
    if (sim->heap_count > 0) {
        sim->heap[i] = last;
    }
    return first;
}

static void
free_event(Event *event)
{
    Buf_Free(&event->action.command);
    free(event->running);
    free(event->ends);
    free(event->announcement);
    free(event);
}

static bool
draw_bool(JobSim *sim, double probability)
{
    return Rng_Unit(&sim->rng) < probability;
}

static int64_t
draw_between(JobSim *sim, int64_t low, int64_t high)
{
    return low + (int64_t)Rng_Below(&sim->rng, (uint32_t)(high - low + 1));
}

static bool
is_active_phase(const JobSim *sim)
{
    return sim->now < sim->options.active_ms;
}

/* --- oracle --- */

static TaskRecord *
get_task_record(JobSim *sim, const JobTaskRef *task)
{
    char key[96];
    TaskRecord *record;

    snprintf(key, sizeof(key), "%s.%u.%u.%u", task->job, task->occurrence,
             task->step, task->index);
    record = StrMap_Get(sim->task_records, key);
    if (record == NULL) {
        record = allocate(sizeof(*record));
        memcpy(record->key, key, sizeof(key));
        StrMap_Put(sim->task_records, record->key, record);
    }
    return record;
}

static JobRecord *
get_job_record(const JobSim *sim, const char *id)
{
    uint64_t number = strtoull(id, NULL, 16);

    return number < sim->next_job ? &sim->job_records[number] : NULL;
}

static bool
is_deadly_task(const JobSim *sim, const JobTaskRef *task)
{
    const JobRecord *record = get_job_record(sim, task->job);

    return record != NULL && record->deadly &&
           record->deadly_step == task->step &&
           (record->deadly_index == UINT32_MAX ||
            record->deadly_index == task->index);
}

/* Checks a start of a deadly task. Starts that the network delayed and those
 * sent by an earlier leader are not held against the current leader. */
static void
check_deadly_start(JobSim *sim, const JobTaskRef *task, bool counted)
{
    TaskRecord *record = get_task_record(sim, task);

    record->starts++;
    if (record->starts > sim->report->max_deadly_starts) {
        sim->report->max_deadly_starts = record->starts;
    }
    if (!counted || record->crashes_caused < CRASHES_BEFORE_BUDGET) {
        return;
    }
    record->starts_after_crashes++;
    if (record->starts_after_crashes > MAX_STARTS_AFTER_CRASHES) {
        report_violation(
            sim, "%s: start %u after it crashed %u targets, start %u in all",
            record->key, record->starts_after_crashes, record->crashes_caused,
            record->starts);
    }
}

/* Returns whether a step explains why its job was shown as failed. */
static bool
is_cause_of_failure(JobSim *sim, const Job *job, uint32_t occurrence,
                    uint32_t step)
{
    const JobStep *spec = &job->spec.steps[step];
    JobTaskRef task = {{0}, occurrence, step, 0};
    uint32_t gang_failures = 0;
    uint32_t gang_crashes = 0;

    snprintf(task.job, sizeof(task.job), "%s", job->id);
    for (task.index = 0; task.index < spec->count; task.index++) {
        const TaskRecord *record = get_task_record(sim, &task);
        gang_failures += spec->gang ? record->failures_listed : 0;
        gang_crashes += spec->gang ? record->crashes : 0;
        if ((!spec->lasting && record->failures_listed >= MAX_ATTEMPTS) ||
            record->crashes >= MIN_CRASHES_TO_FAIL) {
            return true;
        }
    }
    return gang_failures >= MAX_ATTEMPTS ||
           gang_crashes >= MIN_CRASHES_TO_FAIL;
}

static void
check_ended_job(JobSim *sim, const JobRecord *record)
{
    const Job *job = record->job;
    bool explained = false;
    uint32_t occurrence;
    uint32_t step;

    for (occurrence = 0; occurrence < job->occurrence_count; occurrence++) {
        for (step = 0; step < job->spec.step_count; step++) {
            explained |= is_cause_of_failure(sim, job, occurrence, step);
        }
    }
    if (job->phase == JOB_FAILED && !explained) {
        report_violation(sim, "job %s is shown as failed without cause%s",
                         job->id, record->deadly ? ", deadly" : "");
    }
    if (job->phase == JOB_COMPLETED && record->deadly) {
        report_violation(sim,
                         "job %s is shown as completed, but its deadly task "
                         "never ends",
                         job->id);
    }
}

/* Checks the jobs that have ended since the last call. */
static void
check_ended_jobs(JobSim *sim)
{
    uint64_t number;

    for (number = sim->first_open_job; number < sim->next_job; number++) {
        JobRecord *record = &sim->job_records[number];
        if (!record->ended && record->job != NULL &&
            record->job->phase >= JOB_COMPLETED) {
            check_ended_job(sim, record);
            record->ended = true;
        }
        if (record->ended && number == sim->first_open_job) {
            sim->first_open_job++;
        }
    }
}

static void
check_start(JobSim *sim, const SimTarget *target, const JobTaskRef *task)
{
    const Job *job = JobState_FindJob(sim->state, task->job);
    TaskRecord *record = get_task_record(sim, task);
    uint32_t i;
    uint32_t j;

    if (job == NULL) {
        report_violation(sim, "%s starts but its job was never submitted",
                         record->key);
        return;
    }
    if (record->running > 0) {
        report_violation(sim, "two runs of %s at once, the second on %s",
                         record->key, target->announcement.id);
    }
    if (record->done_acked) {
        report_violation(sim,
                         "%s starts after its successful end was acknowledged",
                         record->key);
    }
    if (!job->spec.steps[task->step].lasting &&
        record->failures_acked >= MAX_ATTEMPTS) {
        report_violation(sim,
                         "%s starts after its last allowed attempt failed",
                         record->key);
    }
    for (i = 0; i < task->step; i++) {
        JobTaskRef dependency = *task;
        dependency.step = i;
        if ((job->spec.steps[task->step].depends_mask >> i & 1) == 0) {
            continue;
        }
        for (j = 0; j < job->spec.steps[i].count; j++) {
            dependency.index = j;
            if (!get_task_record(sim, &dependency)->done) {
                report_violation(sim, "%s starts before step %u is done",
                                 record->key, i);
            }
        }
    }
}

/* --- oracle of tenants --- */

/* Returns the highest cap of a tenant that may be in force; 0: no limit. */
static uint32_t
find_highest_cap(const JobSim *sim, uint32_t tenant)
{
    const TenantRecord *record = &sim->tenants[tenant];
    int64_t delay_ms = sim->options.lowered_cap_ms > 0
                           ? sim->options.lowered_cap_ms
                           : LOWERED_CAP_MS;
    uint32_t highest = 1;
    size_t i;

    for (i = 0; i < record->cap_count; i++) {
        const CapRecord *cap = &record->caps[i];
        bool in_force = i + 1 == record->cap_count ||
                        sim->now - record->caps[i + 1].from_ms <= delay_ms;
        if (in_force && (cap->cpu == 0 || cap->removed)) {
            return 0;
        }
        if (in_force && cap->cpu > highest) {
            highest = cap->cpu;
        }
    }
    return highest;
}

/* Checks that a start keeps the runs of its tenant at all targets within the
 * highest cap that may be in force, unless it has no other run. */
static void
check_cap(JobSim *sim, const Job *job, const JobTaskRef *task)
{
    const JobRecord *record = get_job_record(sim, job->id);
    uint64_t cpu = job->spec.steps[task->step].need.cpu;
    uint32_t runs = 0;
    uint32_t cap;
    uint32_t i;
    size_t j;

    if (job->tenant == NULL || sim->options.tenant_cap_cpu == 0) {
        return;
    }
    for (i = 0; i < sim->target_count; i++) {
        for (j = 0; j < sim->targets[i].run_count; j++) {
            const JobTaskRef *other = &sim->targets[i].runs[j].task;
            const JobRecord *other_job = get_job_record(sim, other->job);
            if (other_job->tenant == record->tenant) {
                cpu += other_job->job->spec.steps[other->step].need.cpu;
                runs++;
            }
        }
    }
    cap = find_highest_cap(sim, record->tenant);
    if (cap != 0 && cpu > cap && runs > 0) {
        report_violation(sim, "%s.%u.%u brings %s to %llu of its cap of %u",
                         task->job, task->step, task->index, job->tenant->name,
                         (unsigned long long)cpu, cap);
    }
}

/* Returns the need of the first task of a job that waits, if no task of the
 * job is assigned, or NULL. */
static const JobResources *
find_idle_need(const Job *job)
{
    uint32_t occurrence = job->first_incomplete;
    uint32_t step;

    if (!job->active || job->phase >= JOB_COMPLETED || job->tenant == NULL ||
        job->assigned + job->sched_state.proposed > 0) {
        return NULL;
    }
    for (step = 0; step < job->spec.step_count; step++) {
        const JobOccurrence *row = Job_FindOccurrence(job, occurrence);
        if (!job->spec.steps[step].gang &&
            Job_IsStepReady(job, occurrence, step) &&
            (row == NULL || row->tasks == NULL ||
             row->step_done[step] < job->spec.steps[step].count)) {
            return &job->spec.steps[step].need;
        }
    }
    return NULL;
}

/* Returns whether a pool of which under half is in use has room for a task
 * twice over. */
static bool
has_ample_room(const JobSim *sim, const char *pool, const JobResources *need)
{
    uint64_t used = 0;
    uint64_t total = 0;
    uint32_t places = 0;
    uint32_t i;

    for (i = 0; i < JobState_TargetRows(sim->state); i++) {
        const JobTarget *target = JobState_TargetAt(sim->state, i);
        if (target != NULL && strcmp(target->announcement.pool, pool) == 0) {
            uint32_t room = target->announcement.room.cpu;
            used += target->used.cpu;
            total += room;
            places += room > target->used.cpu
                          ? (room - target->used.cpu) / need->cpu
                          : 0;
        }
    }
    return used * 2 < total && places >= 2;
}

/* Finds jobs that wait without cause; see checks_waits. */
static void
check_waits(JobSim *sim)
{
    uint64_t number;

    for (number = sim->first_open_job; number < sim->next_job; number++) {
        JobRecord *record = &sim->job_records[number];
        const Job *job = record->job;
        const JobResources *need = find_idle_need(job);
        uint32_t cap = sim->options.tenant_cap_cpu;
        if (need == NULL || !has_ample_room(sim, job->pool, need) ||
            (cap != 0 &&
             (job->tenant->used.cpu + job->tenant->reserved.cpu) * 2 >= cap)) {
            record->idle_since_ms = 0;
        }
        else if (record->idle_since_ms == 0) {
            record->idle_since_ms = sim->now;
        }
        else if (sim->now - record->idle_since_ms >= MAX_WAIT_MS) {
            report_violation(sim, "job %s of %s waits without cause", job->id,
                             job->tenant->name);
        }
    }
}

/* Measures for how long a lasting task has not run beside free targets while
 * nothing has disturbed it for JOBSIM_CALM_MS. */
static void
measure_restart(JobSim *sim, const Job *job, uint32_t index)
{
    JobTaskRef task = {{0}, 0, 0, index};
    TaskRecord *record;

    snprintf(task.job, sizeof(task.job), "%s", job->id);
    record = get_task_record(sim, &task);
    if (record->running > 0) {
        record->ran_ms = sim->now;
    }
    else if (record->ran_ms != 0 &&
             sim->now - sim->fault_ms >= JOBSIM_CALM_MS &&
             sim->now - record->ran_ms > sim->report->max_restart_ms &&
             has_ample_room(sim, job->pool, &job->spec.steps[0].need)) {
        sim->report->max_restart_ms = sim->now - record->ran_ms;
    }
}

static void
measure_restarts(JobSim *sim)
{
    uint64_t number;

    for (number = 1; number < sim->next_job; number++) {
        const JobRecord *record = &sim->job_records[number];
        uint32_t i;
        if (record->ended || record->deadly ||
            !record->job->spec.steps[0].lasting) {
            continue;
        }
        for (i = 0; i < record->job->tasks_per_occurrence; i++) {
            measure_restart(sim, record->job, i);
        }
    }
}

/* --- targets --- */

static int64_t
get_clock_ms(const JobSim *sim, const SimTarget *target)
{
    return (int64_t)((double)(sim->now - target->start_ms) *
                     target->clock_rate);
}

static Run *
find_run(SimTarget *target, const JobTaskRef *task)
{
    size_t i;

    for (i = 0; i < target->run_count; i++) {
        if (JobTaskRef_IsSame(&target->runs[i].task, task)) {
            return &target->runs[i];
        }
    }
    return NULL;
}

static void
record_stale_attempt(SimTarget *target, const JobTaskRef *task,
                     uint32_t attempt)
{
    size_t i;

    for (i = 0; i < target->stale_attempt_count; i++) {
        StaleAttempt *entry = &target->stale_attempts[i];
        if (JobTaskRef_IsSame(&entry->task, task)) {
            entry->attempt =
                entry->attempt > attempt ? entry->attempt : attempt;
            return;
        }
    }
    target->stale_attempts =
        realloc(target->stale_attempts, (target->stale_attempt_count + 1) *
                                            sizeof(*target->stale_attempts));
    target->stale_attempts[target->stale_attempt_count++] =
        (StaleAttempt){*task, attempt};
}

static bool
is_stale_attempt(const SimTarget *target, const JobTaskRef *task,
                 uint32_t attempt)
{
    size_t i;

    for (i = 0; i < target->stale_attempt_count; i++) {
        if (JobTaskRef_IsSame(&target->stale_attempts[i].task, task)) {
            return attempt <= target->stale_attempts[i].attempt;
        }
    }
    return false;
}

/* Schedules an event for the gang of a run. */
static Event *
schedule_gang_event(JobSim *sim, int64_t delay_ms, EventKind kind,
                    const Run *run)
{
    Event *event = schedule_event(sim, delay_ms, kind);

    event->action.task = run->task;
    event->action.attempt = run->attempt;
    return event;
}

static bool
is_member_run(const Run *run, const JobAction *gang)
{
    return run->gang && !run->stopping && run->attempt == gang->attempt &&
           run->task.step == gang->task.step &&
           strcmp(run->task.job, gang->task.job) == 0;
}

/* Returns the number of runs of a gang that are not being stopped. */
static uint32_t
count_member_runs(const JobSim *sim, const JobAction *gang)
{
    uint32_t count = 0;
    uint32_t i;
    size_t j;

    for (i = 0; i < sim->target_count; i++) {
        for (j = 0; j < sim->targets[i].run_count; j++) {
            count += is_member_run(&sim->targets[i].runs[j], gang);
        }
    }
    return count;
}

static void answer_hold(JobSim *sim, uint32_t target_index);

/* Records that a task is done; a done member of a gang completes all. */
static void
record_done(JobSim *sim, const Run *run)
{
    const Job *job = JobState_FindJob(sim->state, run->task.job);
    JobTaskRef member = run->task;

    get_task_record(sim, &run->task)->done = true;
    for (member.index = 0;
         run->gang && member.index < job->spec.steps[member.step].count;
         member.index++) {
        get_task_record(sim, &member)->done = true;
    }
}

static void
end_run(JobSim *sim, uint32_t target_index, Run *run, JobEndKind kind)
{
    SimTarget *target = &sim->targets[target_index];
    TaskRecord *record = get_task_record(sim, &run->task);
    size_t i = target->end_count++;

    record->running--;
    if (kind == JOB_END_DONE) {
        record_done(sim, run);
    }
    target->ends =
        realloc(target->ends, target->end_count * sizeof(*target->ends));
    target->ended_ms =
        realloc(target->ended_ms, target->end_count * sizeof(int64_t));
    target->ends[i] =
        (JobEnd){run->task, run->attempt, kind, target->end_count, ""};
    target->ended_ms[i] = sim->now;
    record_stale_attempt(target, &run->task, run->attempt);
    if (run->gang && kind != JOB_END_DONE) {
        schedule_gang_event(sim, GANG_NOTICE_MS, EV_GANG_BROKEN, run);
    }
    *run = target->runs[--target->run_count];
    answer_hold(sim, target_index);
}

/* Ends all runs of a gang. */
static void
end_gang(JobSim *sim, const JobAction *gang, JobEndKind kind)
{
    uint32_t i;
    size_t j;

    for (i = 0; i < sim->target_count; i++) {
        SimTarget *target = &sim->targets[i];
        for (j = target->run_count; j > 0; j--) {
            if (is_member_run(&target->runs[j - 1], gang)) {
                end_run(sim, i, &target->runs[j - 1], kind);
            }
        }
    }
}

static bool
is_gang_complete(const JobSim *sim, const JobAction *gang)
{
    const Job *job = JobState_FindJob(sim->state, gang->task.job);

    return count_member_runs(sim, gang) ==
           job->spec.steps[gang->task.step].count;
}

/* Ends a gang whose work is done. A failed member breaks the others. */
static void
finish_gang(JobSim *sim, const Event *event)
{
    const JobAction *gang = &event->action;
    SimTarget *target = &sim->targets[event->target_index];
    size_t i;

    if (!is_gang_complete(sim, gang)) {
        return;
    }
    if (!draw_bool(sim, sim->options.failed_run_share)) {
        end_gang(sim, gang, JOB_END_DONE);
        return;
    }
    for (i = 0; i < target->run_count; i++) {
        if (is_member_run(&target->runs[i], gang)) {
            end_run(sim, event->target_index, &target->runs[i],
                    JOB_END_FAILED);
            return;
        }
    }
}

/* Starts the work of a gang once all of its tasks run. */
static void
join_gang(JobSim *sim, uint32_t target_index, const Run *run)
{
    JobAction gang = {.task = run->task, .attempt = run->attempt};
    const JobRecord *record = get_job_record(sim, run->task.job);
    Event *event;

    event = schedule_gang_event(sim, GANG_TIMEOUT_MS, EV_GANG_TIMEOUT, run);
    event->target_index = target_index;
    event->incarnation = sim->targets[target_index].incarnation;
    event->id = run->id;
    if (is_gang_complete(sim, &gang) &&
        !(record->deadly && record->deadly_step == run->task.step)) {
        schedule_gang_event(sim, draw_between(sim, 200, 1500),
                            EV_GANG_FINISHED, run)
            ->target_index = target_index;
    }
}

/* Ends all runs of a target if its lease has expired. */
static void
end_expired_runs(JobSim *sim, uint32_t target_index)
{
    SimTarget *target = &sim->targets[target_index];

    if (target->run_count == 0 ||
        get_clock_ms(sim, target) < target->deadline_ms) {
        return;
    }
    target->lease_expired_ms = sim->now;
    while (target->run_count > 0) {
        end_run(sim, target_index, &target->runs[0], JOB_END_LAPSED);
    }
}

/* Records the expiry of a lease, also if the target had no runs. */
static void
record_lease_expiry(const JobSim *sim, SimTarget *target)
{
    if (target->deadline_ms > 0 &&
        get_clock_ms(sim, target) > target->deadline_ms) {
        target->lease_expired_ms =
            target->start_ms +
            (int64_t)((double)target->deadline_ms / target->clock_rate);
    }
}

static void
extend_lease(JobSim *sim, SimTarget *target, int64_t deadline_ms)
{
    int64_t max_deadline_ms = get_clock_ms(sim, target) + MAX_LEASE_MS;

    record_lease_expiry(sim, target);
    deadline_ms =
        deadline_ms < max_deadline_ms ? deadline_ms : max_deadline_ms;
    if (deadline_ms > target->deadline_ms) {
        target->deadline_ms = deadline_ms;
    }
}

/* Returns whether the runs of a target and another one fit into a room. */
static bool
fits_room(const JobSim *sim, const SimTarget *target, const JobStep *step,
          const JobResources *room)
{
    uint64_t cpu = step->need.cpu;
    uint64_t memory = step->need.memory_mb;
    size_t i;

    for (i = 0; i < target->run_count; i++) {
        const Run *run = &target->runs[i];
        const Job *job = JobState_FindJob(sim->state, run->task.job);
        cpu += job->spec.steps[run->task.step].need.cpu;
        memory += job->spec.steps[run->task.step].need.memory_mb;
    }
    return cpu <= room->cpu && memory <= room->memory_mb;
}

static void
check_room(JobSim *sim, const SimTarget *target, const JobAction *call,
           const JobStep *step)
{
    bool in_grace =
        target->shrunk && sim->now - target->shrunk_ms <= SHRUNK_ROOM_GRACE_MS;

    if (sim->now - call->sent_ms <= NETWORK_DELAY_MS &&
        !fits_room(sim, target, step,
                   in_grace ? &target->full_room
                            : &target->announcement.room)) {
        report_violation(sim, "%s.%u.%u.%u brings %s over its room",
                         call->task.job, call->task.occurrence,
                         call->task.step, call->task.index,
                         target->announcement.id);
    }
}

/* Returns how long a run of a task takes. */
static int64_t
draw_run_ms(JobSim *sim, const JobTaskRef *task)
{
    const JobRecord *record = get_job_record(sim, task->job);
    int64_t step_ms;

    if (sim->options.load <= 0) {
        return draw_between(sim, 200, 1500);
    }
    step_ms = record->step_ms[task->step];
    return draw_between(sim, step_ms * 9 / 10, step_ms * 11 / 10);
}

static JobCallOutcome
start_run(JobSim *sim, uint32_t target_index, const JobAction *call,
          bool counted)
{
    SimTarget *target = &sim->targets[target_index];
    const Job *job = JobState_FindJob(sim->state, call->task.job);
    Run *run = find_run(target, &call->task);
    const JobStep *step;
    Event *event;

    if (run != NULL && run->attempt == call->attempt) {
        extend_lease(sim, target, call->deadline_ms);
        return JOB_CALL_OK;
    }
    if (call->deadline_ms <= get_clock_ms(sim, target)) {
        return JOB_CALL_LATE;
    }
    extend_lease(sim, target, call->deadline_ms);
    if (run != NULL || is_stale_attempt(target, &call->task, call->attempt)) {
        return JOB_CALL_STALE;
    }
    check_start(sim, target, &call->task);
    if (job == NULL) {
        return JOB_CALL_INVALID;
    }
    step = &job->spec.steps[call->task.step];
    if (target->run_count ==
            (sim->options.large_job_share > 0 ? MAX_RUNS : MAX_USUAL_RUNS) ||
        (target->guarded &&
         !fits_room(sim, target, step, &target->announcement.room))) {
        return JOB_CALL_NO_ROOM;
    }
    check_room(sim, target, call, step);
    check_cap(sim, job, &call->task);
    sim->report->starts++;
    run = &target->runs[target->run_count++];
    *run = (Run){call->task,    call->attempt, sim->next_id++,
                 step->lasting, step->gang,    false};
    get_task_record(sim, &call->task)->running++;
    event = NULL;
    if (is_deadly_task(sim, &call->task)) {
        bool late = get_job_record(sim, call->task.job)->late_crash;
        check_deadly_start(sim, &call->task, counted);
        event = schedule_event(sim, draw_between(sim, 5, late ? 3000 : 50),
                               EV_DEADLY_CRASH);
    }
    else if (!step->lasting && !step->gang) {
        event = schedule_event(sim, draw_run_ms(sim, &call->task),
                               EV_RUN_FINISHED);
    }
    if (step->gang) {
        join_gang(sim, target_index, run);
    }
    if (event != NULL) {
        event->target_index = target_index;
        event->incarnation = target->incarnation;
        event->id = run->id;
    }
    return JOB_CALL_OK;
}

static void
stop_run(JobSim *sim, uint32_t target_index, const JobAction *call)
{
    SimTarget *target = &sim->targets[target_index];
    Run *run = find_run(target, &call->task);
    Event *event;

    record_stale_attempt(target, &call->task, call->attempt);
    if (run == NULL || run->attempt > call->attempt || run->stopping) {
        return;
    }
    run->stopping = true;
    event =
        schedule_event(sim, draw_between(sim, 1, MAX_STOP_MS), EV_RUN_STOPPED);
    event->target_index = target_index;
    event->incarnation = target->incarnation;
    event->id = run->id;
}

static bool
is_gang_task(const JobSim *sim, const JobTaskRef *task)
{
    return JobState_FindJob(sim->state, task->job)
        ->spec.steps[task->step]
        .gang;
}

static void
acknowledge_ends(JobSim *sim, SimTarget *target, uint64_t ack)
{
    size_t i;

    for (i = (size_t)target->acked; i < ack && i < target->end_count; i++) {
        TaskRecord *record = get_task_record(sim, &target->ends[i].task);
        if (target->lease_expired_ms > target->ended_ms[i]) {
            continue;
        }
        record->done_acked |= target->ends[i].kind == JOB_END_DONE &&
                              !is_gang_task(sim, &target->ends[i].task);
        record->failures_acked += target->ends[i].kind == JOB_END_FAILED;
    }
    /* An ack meant for an earlier incarnation may exceed the list. */
    ack = ack < target->end_count ? ack : target->end_count;
    if (ack > target->acked) {
        target->acked = ack;
    }
}

static void
send_answer(JobSim *sim, uint32_t target_index, const JobAction *call,
            uint64_t term, JobCallAnswer answer)
{
    SimTarget *target = &sim->targets[target_index];
    Event *event = schedule_event(sim, NETWORK_DELAY_MS, EV_ANSWER);
    size_t first_unacked = (size_t)target->acked;
    size_t count = target->end_count - first_unacked;
    size_t i;

    event->target_index = target_index;
    event->sender_term = term;
    event->action = *call;
    event->answer = answer;
    event->answer.clock_ms = get_clock_ms(sim, target);
    if (call->kind != JOB_ACTION_HOLD || answer.outcome != JOB_CALL_OK) {
        return;
    }
    event->answer.born = target->announcement.born;
    event->running = allocate((target->run_count + 1) * sizeof(JobRunning));
    for (i = 0; i < target->run_count; i++) {
        event->running[i] = (JobRunning){target->runs[i].task,
                                         target->runs[i].attempt, 100, 0, ""};
    }
    count = count < MAX_LISTED_ENDS ? count : MAX_LISTED_ENDS;
    event->ends = allocate((count + 1) * sizeof(JobEnd));
    if (count > 0) {
        memcpy(event->ends, target->ends + first_unacked,
               count * sizeof(JobEnd));
    }
    event->answer.running = event->running;
    event->answer.running_count = target->run_count;
    event->answer.ends = event->ends;
    event->answer.end_count = count;
    for (; target->listed < first_unacked + count; target->listed++) {
        const JobEnd *end = &target->ends[target->listed];
        get_task_record(sim, &end->task)->failures_listed +=
            end->kind == JOB_END_FAILED;
    }
}

/* Returns whether the VM of a crashed target refuses connections. */
static bool
is_refusing(const JobSim *sim, const SimTarget *target)
{
    return sim->options.crashes_refuse_calls && !target->up &&
           !target->partitioned && !target->silent;
}

static void
schedule_call_timeout(JobSim *sim, uint32_t target_index,
                      const JobAction *call, uint64_t term)
{
    int64_t delay_ms = is_refusing(sim, &sim->targets[target_index])
                           ? 2 * NETWORK_DELAY_MS
                           : CALL_TIMEOUT_MS + call->wait_ms;
    Event *event = schedule_event(sim, delay_ms, EV_ANSWER);

    event->target_index = target_index;
    event->sender_term = term;
    event->action = *call;
    event->answer =
        (JobCallAnswer){.outcome = JOB_CALL_NO_ANSWER, .clock_ms = -1};
    if (sim->options.agent_lost_share > 0 &&
        draw_bool(sim, sim->options.agent_lost_share)) {
        event->answer.outcome = JOB_CALL_AGENT_LOST;
    }
}

static void
answer_hold(JobSim *sim, uint32_t target_index)
{
    SimTarget *target = &sim->targets[target_index];
    JobCallAnswer answer = {.outcome = JOB_CALL_OK};

    if (target->hold_id == 0) {
        return;
    }
    target->hold_id = 0;
    if (target->partitioned || !target->up) {
        schedule_call_timeout(sim, target_index, &target->pending_hold,
                              target->hold_term);
    }
    else {
        send_answer(sim, target_index, &target->pending_hold,
                    target->hold_term, answer);
    }
}

static void
handle_hold(JobSim *sim, uint32_t target_index, const JobAction *call,
            uint64_t term)
{
    SimTarget *target = &sim->targets[target_index];
    Event *event;

    sim->report->holds++;
    record_lease_expiry(sim, target);
    if (call->deadline_ms > 0) {
        extend_lease(sim, target, call->deadline_ms);
    }
    acknowledge_ends(sim, target, call->ack);
    answer_hold(sim, target_index);
    target->pending_hold = *call;
    target->hold_term = term;
    target->hold_id = sim->next_id++;
    if (call->wait_ms == 0 || target->acked < target->end_count) {
        answer_hold(sim, target_index);
        return;
    }
    event = schedule_event(sim, call->wait_ms, EV_HOLD_TIMEOUT);
    event->target_index = target_index;
    event->id = target->hold_id;
}

/* Delivers the call of an event to its target. The answer reaches the caller
 * only if event->id is set. */
static void
deliver_call(JobSim *sim, const Event *event)
{
    uint32_t target_index = event->target_index;
    const JobAction *call = &event->action;
    uint64_t term = event->sender_term;
    bool answer_arrives = event->id != 0;
    SimTarget *target = &sim->targets[target_index];
    JobCallAnswer answer = {.outcome = JOB_CALL_OK};

    if (!target->up || target->partitioned) {
        if (answer_arrives) {
            schedule_call_timeout(sim, target_index, call, term);
        }
        return;
    }
    if (strcmp(call->id, target->announcement.id) != 0) {
        answer.outcome = JOB_CALL_OTHER_INSTANCE;
    }
    else if (call->fence < target->fence) {
        answer.outcome = JOB_CALL_FENCED;
    }
    else {
        target->fence = call->fence;
        end_expired_runs(sim, target_index);
        if (call->kind == JOB_ACTION_START) {
            answer.outcome = start_run(sim, target_index, call,
                                       !event->late && term == sim->term);
        }
        else if (call->kind == JOB_ACTION_STOP) {
            stop_run(sim, target_index, call);
        }
        else if (answer_arrives) {
            handle_hold(sim, target_index, call, term);
            return;
        }
        else if (call->deadline_ms > 0) {
            extend_lease(sim, target, call->deadline_ms);
        }
    }
    if (answer_arrives) {
        send_answer(sim, target_index, call, term, answer);
    }
}

/* --- leader --- */

static uint32_t
find_target_index(const JobSim *sim, const char *address)
{
    uint32_t i;

    for (i = 0; i < sim->target_count; i++) {
        if (strcmp(sim->targets[i].announcement.address, address) == 0) {
            return i;
        }
    }
    return UINT32_MAX;
}

/* Returns how long a start or stop waits for one of the connections to its
 * target. Without large jobs there are always enough. */
static int64_t
take_connection(JobSim *sim, SimTarget *target, const JobAction *call)
{
    int64_t *free_ms = &target->connection_free_ms[0];
    int64_t wait_ms;
    size_t i;

    if (sim->options.large_job_share <= 0 || call->kind == JOB_ACTION_HOLD) {
        return 0;
    }
    for (i = 1; i < RUN_CONNECTIONS; i++) {
        if (target->connection_free_ms[i] < *free_ms) {
            free_ms = &target->connection_free_ms[i];
        }
    }
    *free_ms = *free_ms > sim->now ? *free_ms : sim->now;
    wait_ms = *free_ms - sim->now;
    if (wait_ms < RUN_CALL_TIMEOUT_MS) {
        *free_ms += CALL_CONNECTION_MS;
    }
    return wait_ms;
}

static void
send_call(JobSim *sim, const JobAction *call)
{
    const JobSimOptions *options = &sim->options;
    uint32_t target_index = find_target_index(sim, call->address);
    SimTarget *target = &sim->targets[target_index];
    bool faults_active = is_active_phase(sim);
    double draw = Rng_Unit(&sim->rng);
    int64_t delay_ms = NETWORK_DELAY_MS;
    bool answer_arrives = true;
    Event *event;

    if (target->partitioned || !target->up) {
        schedule_call_timeout(sim, target_index, call, sim->term);
        return;
    }
    if (faults_active && draw < options->lost_call_share) {
        schedule_call_timeout(sim, target_index, call, sim->term);
        return;
    }
    draw -= options->lost_call_share;
    if (faults_active &&
        draw < options->lost_answer_share + options->late_call_share) {
        answer_arrives = false;
        schedule_call_timeout(sim, target_index, call, sim->term);
        if (draw >= options->lost_answer_share) {
            delay_ms = draw_between(sim, 2000, 12000);
        }
    }
    delay_ms += take_connection(sim, target, call);
    if (delay_ms >= RUN_CALL_TIMEOUT_MS && delay_ms < CALL_TIMEOUT_MS) {
        schedule_call_timeout(sim, target_index, call, sim->term);
        return; /* never sent */
    }
    event = schedule_event(sim, delay_ms, EV_DELIVER);
    event->target_index = target_index;
    event->sender_term = sim->term;
    event->incarnation = target->incarnation;
    event->action = *call;
    event->id = answer_arrives;
    event->late = delay_ms >= CALL_TIMEOUT_MS;
}

/* Refuses a proposal as the log does that is full, or for its length. */
static bool
is_refused(JobSim *sim, const JobAction *proposal)
{
    Status status = ST_OK;

    if (sim->options.refused_share > 0 &&
        draw_bool(sim, sim->options.refused_share)) {
        status = ST_FULL;
    }
    if (proposal->command.len > RAFT_MAX_COMMAND_BYTES) {
        report_violation(sim, "a command of %zu bytes", proposal->command.len);
        status = ST_INVALID;
    }
    if (status != ST_OK) {
        JobSched_HandleProposal(sim->sched, sim->now, proposal->cookie,
                                status);
    }
    return status != ST_OK;
}

static void
perform_actions(JobSim *sim)
{
    JobAction action;

    while (JobSched_TakeAction(sim->sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE && is_refused(sim, &action)) {
            Buf_Free(&action.command);
        }
        else if (action.kind == JOB_ACTION_PROPOSE) {
            int64_t at_ms = sim->now + COMMIT_DELAY_MS;
            Event *event;
            sim->last_commit_ms =
                at_ms > sim->last_commit_ms ? at_ms : sim->last_commit_ms;
            event =
                schedule_event(sim, sim->last_commit_ms - sim->now, EV_COMMIT);
            event->sender_term = sim->term;
            event->action = action;
        }
        else {
            action.text = NULL;
            action.checkpoint = NULL;
            send_call(sim, &action);
        }
    }
}

static void
run_scheduler(JobSim *sim)
{
    JobSched_PlaceTasks(sim->sched, sim->now, sim->now);
    perform_actions(sim);
}

/* Replaces the scheduler and its state by those of a node that has received a
 * snapshot. */
static void
restore_state(JobSim *sim)
{
    JobState *state = JobState_New();
    Buf snapshot = BUF_INIT;
    ErrCtx err;
    uint64_t number;

    JobState_Snapshot(sim->state, &snapshot);
    if (JobState_Restore(state, snapshot.data, snapshot.len, &err) != ST_OK) {
        report_violation(sim, "a snapshot cannot be restored");
    }
    Buf_Free(&snapshot);
    JobSched_Free(sim->sched);
    for (number = 1; number < sim->next_job; number++) {
        JobRecord *record = &sim->job_records[number];
        if (record->job != NULL) {
            record->job = JobState_FindJob(state, record->job->id);
        }
    }
    JobState_Free(sim->state);
    sim->state = state;
    sim->sched = JobSched_New(&sim->sched_options, state);
}

/* Starts a new term. Of the proposals in flight, those before a random point
 * are committed and the others are lost. */
static void
start_term(JobSim *sim)
{
    size_t i;
    bool committed = true;
    int64_t last_sequence = -1;

    for (;;) {
        Event *next = NULL;
        for (i = 0; i < sim->heap_count; i++) {
            Event *event = sim->heap[i];
            if (event->kind == EV_COMMIT && event->sender_term == sim->term &&
                (int64_t)event->sequence > last_sequence &&
                (next == NULL || event->sequence < next->sequence)) {
                next = event;
            }
        }
        if (next == NULL) {
            break;
        }
        last_sequence = (int64_t)next->sequence;
        committed = committed && draw_bool(sim, 0.7);
        if (committed) {
            Buf result = BUF_INIT;
            JobState_Apply(sim->state, next->action.command.data,
                           next->action.command.len, &result);
            Buf_Free(&result);
        }
        next->sender_term = 0; /* commit_proposal ignores it */
    }
    check_ended_jobs(sim);
    if (sim->options.restored_leader_share > 0 &&
        draw_bool(sim, sim->options.restored_leader_share)) {
        restore_state(sim);
    }
    sim->term++;
    sim->fault_ms = sim->now;
}

/* Leaves the scheduler without a leader for some time. */
static void
begin_election(JobSim *sim, int64_t duration_ms)
{
    JobSched_Resign(sim->sched);
    schedule_event(sim, duration_ms, EV_ELECTED)->sender_term = sim->term;
}

static void
change_leader(JobSim *sim)
{
    start_term(sim);
    if (sim->options.max_election_ms > 0) {
        begin_election(sim,
                       draw_between(sim, 0, sim->options.max_election_ms));
        return;
    }
    JobSched_Lead(sim->sched, sim->now, sim->term);
}

/* --- faults --- */

static void
schedule_random_event(JobSim *sim, EventKind kind, double events_per_s)
{
    if (events_per_s > 0) {
        schedule_event(
            sim, 1 + (int64_t)(2000.0 * Rng_Unit(&sim->rng) / events_per_s),
            kind);
    }
}

/* Schedules a message of a target that ends now. */
static void
schedule_late_message(JobSim *sim, const SimTarget *target, EventKind kind)
{
    Event *event;

    if (sim->options.late_message_share <= 0 ||
        !draw_bool(sim, sim->options.late_message_share)) {
        return;
    }
    event =
        schedule_event(sim, draw_between(sim, 0, MAX_MESSAGE_DELAY_MS), kind);
    event->announcement = allocate(sizeof(*event->announcement));
    *event->announcement = target->announcement;
    event->announcement->order++;
    event->announcement->clock_ms = get_clock_ms(sim, target);
}

static void
crash_target(JobSim *sim, uint32_t target_index, int64_t min_outage_ms,
             int64_t max_outage_ms)
{
    SimTarget *target = &sim->targets[target_index];
    Event *event;

    sim->fault_ms = sim->now;
    if (sim->options.long_outage_share > 0 &&
        draw_bool(sim, sim->options.long_outage_share)) {
        min_outage_ms = 5000;
        max_outage_ms = 8000;
        target->silent = true;
    }
    else {
        target->silent = false;
    }
    while (target->run_count > 0) {
        TaskRecord *record = get_task_record(sim, &target->runs[0].task);
        record->running--;
        record->crashes++;
        if (target->runs[0].gang) {
            schedule_gang_event(sim, GANG_NOTICE_MS, EV_GANG_BROKEN,
                                &target->runs[0]);
        }
        target->runs[0] = target->runs[--target->run_count];
    }
    target->up = false;
    answer_hold(sim, target_index);
    schedule_late_message(sim, target, EV_LATE_ANNOUNCEMENT);
    schedule_late_message(sim, target, EV_LATE_DEPARTURE);
    event = schedule_event(
        sim, draw_between(sim, min_outage_ms, max_outage_ms), EV_RESTART);
    event->target_index = target_index;
}

/* A target that ends as planned says so in its announcements for some time. */
static void
begin_planned_end(JobSim *sim, uint32_t target_index)
{
    SimTarget *target = &sim->targets[target_index];
    Event *event =
        schedule_event(sim, draw_between(sim, 2000, 5000), EV_PLANNED_END);

    target->announcement.leaving = true;
    event->target_index = target_index;
    event->incarnation = target->incarnation;
}

/* Crashes a target if its deadly run has not ended yet. */
static void
crash_by_deadly_run(JobSim *sim, const Event *event)
{
    SimTarget *target = &sim->targets[event->target_index];
    const Run *run = NULL;
    uint32_t innocent = 0;
    size_t i;

    if (!target->up || target->incarnation != event->incarnation) {
        return;
    }
    end_expired_runs(sim, event->target_index);
    for (i = 0; i < target->run_count; i++) {
        if (target->runs[i].id == event->id) {
            run = &target->runs[i];
        }
        innocent += !is_deadly_task(sim, &target->runs[i].task);
    }
    if (run != NULL) {
        get_task_record(sim, &run->task)->crashes_caused++;
        sim->report->deadly_crashes++;
        sim->report->innocent_runs_lost += innocent;
        crash_target(sim, event->target_index, 2000, 5000);
    }
}

/* Crashes a whole pool or the first half of it. */
static void
crash_pool(JobSim *sim, const Event *event)
{
    uint32_t count = sim->options.targets_per_pool;
    uint32_t pool = Rng_Below(&sim->rng, sim->options.pools);
    uint32_t first = event->id > 0 ? event->target_index : pool * count;
    uint64_t crashes_left = event->id;
    uint32_t i;

    if (!is_active_phase(sim)) {
        return;
    }
    if (event->id == 0) {
        crashes_left =
            draw_bool(sim, 0.5) ? (uint64_t)draw_between(sim, 3, 5) : 1;
        schedule_random_event(sim, EV_POOL_CRASH,
                              sim->options.pool_crashes_per_s);
    }
    if (draw_bool(sim, 0.5)) {
        count = (count + 1) / 2;
    }
    for (i = first; i < first + count; i++) {
        schedule_event(sim, draw_between(sim, 0, 100), EV_POOL_TARGET_CRASH)
            ->target_index = i;
    }
    if (crashes_left > 1) {
        Event *next =
            schedule_event(sim, draw_between(sim, 2000, 6000), EV_POOL_CRASH);
        next->target_index = first;
        next->id = crashes_left - 1;
    }
}

/* Crashes the target with most runs, and again after busiest_crash_gap_ms. */
static void
crash_busiest(JobSim *sim, uint64_t crashes_left)
{
    uint32_t busiest = 0;
    uint32_t i;

    for (i = 1; i < sim->target_count; i++) {
        if (sim->targets[i].run_count > sim->targets[busiest].run_count) {
            busiest = i;
        }
    }
    if (sim->targets[busiest].up) {
        crash_target(sim, busiest, 1800, 2200);
    }
    if (crashes_left > 1) {
        schedule_event(sim, sim->options.busiest_crash_gap_ms,
                       EV_BUSIEST_CRASH)
            ->id = crashes_left - 1;
    }
}

static void
restart_target(JobSim *sim, uint32_t target_index)
{
    SimTarget *target = &sim->targets[target_index];

    if (draw_bool(sim, 0.5)) {
        snprintf(target->announcement.id, sizeof(target->announcement.id),
                 "t%u-%llu", target_index, (unsigned long long)sim->next_id++);
    }
    free(target->ends);
    free(target->ended_ms);
    free(target->stale_attempts);
    target->ends = NULL;
    target->ended_ms = NULL;
    target->stale_attempts = NULL;
    target->end_count = 0;
    target->stale_attempt_count = 0;
    target->acked = 0;
    target->listed = 0;
    target->fence = 0;
    target->deadline_ms = 0;
    target->start_ms = sim->now;
    target->announcement.born = (uint64_t)sim->now + 1;
    target->announcement.order = 0;
    target->announcement.leaving = false;
    target->incarnation++;
    target->up = true;
    schedule_event(sim, draw_between(sim, 0, 200), EV_ANNOUNCE)->target_index =
        target_index;
}

/* --- jobs --- */

static void
generate_spec(JobSim *sim, JobSpec *spec, bool lasting)
{
    uint32_t i;

    memset(spec, 0, sizeof(*spec));
    spec->text = strdup("work");
    spec->text_len = 4;
    spec->step_count = lasting ? 1 : (uint32_t)draw_between(sim, 1, 3);
    spec->steps = allocate(spec->step_count * sizeof(JobStep));
    for (i = 0; i < spec->step_count; i++) {
        JobStep *step = &spec->steps[i];
        step->count = (uint32_t)draw_between(sim, 1, 6);
        if (sim->options.step_tasks > 0) {
            step->count = sim->options.step_tasks;
        }
        step->need.cpu = (uint32_t)draw_between(sim, 200, 2500);
        step->need.memory_mb = sim->options.shrinks_per_s > 0
                                   ? (uint32_t)draw_between(sim, 100, 5000)
                                   : 100;
        step->estimate_ms = (uint32_t)draw_between(sim, 200, 2000);
        step->depends_mask = i > 0 ? (uint32_t)1 << (i - 1) : 0;
        step->lasting = lasting;
        step->max_unavailable = lasting ? 1 : 0;
        step->gang = !lasting && sim->options.gang_share > 0 &&
                     draw_bool(sim, sim->options.gang_share);
    }
}

/* Makes a job of one step and many small tasks out of another one. */
static void
enlarge_spec(JobSim *sim, JobSpec *spec)
{
    JobStep *step = &spec->steps[0];

    spec->step_count = 1;
    step->count = (uint32_t)draw_between(sim, 50, 400);
    step->need.cpu = (uint32_t)draw_between(sim, 1, 8);
    step->need.memory_mb = 1;
    step->gang = false;
    if (draw_bool(sim, 0.5)) {
        step->count = (uint32_t)draw_between(sim, 5, 40);
        spec->repeats = (uint32_t)draw_between(sim, 5, 40);
        spec->interval_ms = 1;
    }
}

static JobRecord *
add_job_record(JobSim *sim)
{
    uint64_t number = sim->next_job++;

    if (sim->next_job > sim->job_record_capacity) {
        sim->job_record_capacity = sim->next_job * 2;
        sim->job_records =
            realloc(sim->job_records,
                    sim->job_record_capacity * sizeof(*sim->job_records));
        if (sim->job_records == NULL) {
            abort();
        }
    }
    sim->job_records[number] = (JobRecord){0};
    return &sim->job_records[number];
}

static void
choose_deadly_task(JobSim *sim, const JobSpec *spec, bool lasting,
                   JobRecord *record)
{
    double share = lasting ? sim->options.deadly_lasting_share
                           : sim->options.deadly_job_share;

    if (share <= 0 || !draw_bool(sim, share)) {
        return;
    }
    record->deadly = true;
    record->deadly_step = Rng_Below(&sim->rng, spec->step_count);
    record->deadly_index =
        Rng_Below(&sim->rng, spec->steps[record->deadly_step].count);
    if (draw_bool(sim, sim->options.deadly_step_share)) {
        record->deadly_index = UINT32_MAX;
    }
    record->late_crash = draw_bool(sim, sim->options.late_crash_share);
    sim->report->deadly_jobs++;
}

static uint32_t
draw_tenant(JobSim *sim)
{
    return sim->options.flood_share > 0 &&
                   draw_bool(sim, sim->options.flood_share)
               ? 0
               : Rng_Below(&sim->rng, sim->options.tenants);
}

/* Returns whether the configuration does not have a tenant at present. */
static bool
is_removed(const JobSim *sim, uint32_t tenant)
{
    const TenantRecord *record = &sim->tenants[tenant];

    return record->cap_count > 0 &&
           record->caps[record->cap_count - 1].removed;
}

static void
submit_job(JobSim *sim, uint32_t pool, bool lasting)
{
    char id[JOB_ID_BYTES];
    char queue[JOB_NAME_BYTES];
    char tenant[JOB_NAME_BYTES] = "";
    JobSubmission submission = {.id = id, .tenant = tenant};
    JobRefusal refusal;
    JobRecord *record;
    JobSpec spec;
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;

    snprintf(id, sizeof(id), "%016llx", (unsigned long long)sim->next_job);
    snprintf(queue, sizeof(queue), "q%u", pool);
    generate_spec(sim, &spec, lasting);
    if (sim->options.spread_lasting && lasting &&
        sim->next_job <= sim->options.pools) {
        spec.steps[0].count = sim->options.targets_per_pool;
        spec.steps[0].max_per_target = 1;
    }
    record = add_job_record(sim);
    if (!lasting && sim->options.large_job_share > 0 &&
        draw_bool(sim, sim->options.large_job_share)) {
        enlarge_spec(sim, &spec);
        record->large = true;
        sim->report->large++;
    }
    choose_deadly_task(sim, &spec, lasting, record);
    if (sim->options.tenants > 0) {
        /* Lasting jobs are not of the first tenants, which may be flooded. */
        record->tenant =
            lasting ? sim->options.tenants - 1 - pool % sim->options.tenants
                    : draw_tenant(sim);
        snprintf(tenant, sizeof(tenant), "tenant%u",
                 sim->options.merges_tenants ? 0 : record->tenant);
    }
    submission.queue =
        JobConfig_FindQueue(JobState_GetConfig(sim->state), queue);
    submission.spec = &spec;
    if (!JobSched_Admit(sim->sched, sim->now, &submission, &refusal) ||
        is_removed(sim, record->tenant)) {
        JobSpec_Free(&spec);
        sim->next_job--;
        return;
    }
    JobCmd_EncodeSubmit(&command, id, queue, sim->now, &spec, tenant);
    JobSpec_Free(&spec);
    JobState_Apply(sim->state, command.data, command.len, &result);
    Buf_Free(&command);
    Buf_Free(&result);
    record->job = JobState_FindJob(sim->state, id);
    sim->report->jobs++;
    if (!lasting && draw_bool(sim, sim->options.cancel_share)) {
        Event *event =
            schedule_event(sim, draw_between(sim, 10, 1500), EV_JOB_CANCEL);
        snprintf(event->job_id, sizeof(event->job_id), "%s", id);
    }
}

static void
cancel_job(JobSim *sim, const char *id)
{
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;

    JobCmd_EncodeCancel(&command, id, sim->now, "");
    JobState_Apply(sim->state, command.data, command.len, &result);
    Buf_Free(&command);
    Buf_Free(&result);
}

static void
add_tenants(JobSim *sim, JobConfig *config)
{
    uint32_t i;

    config->tenants = allocate((sim->options.tenants + 1) * sizeof(JobTenant));
    for (i = 0; i < sim->options.tenants; i++) {
        const TenantRecord *record = &sim->tenants[i];
        const CapRecord *cap = &record->caps[record->cap_count - 1];
        JobTenant *tenant = &config->tenants[config->tenant_count];
        if (!cap->removed) {
            snprintf(tenant->name, sizeof(tenant->name), "tenant%u", i);
            tenant->weight = sim->options.tenant_weights[i] > 0
                                 ? sim->options.tenant_weights[i]
                                 : 1;
            tenant->cap.cpu = cap->cpu;
            config->tenant_count++;
        }
    }
}

static void
set_cap(JobSim *sim, uint32_t tenant, uint32_t cpu, bool removed)
{
    TenantRecord *record = &sim->tenants[tenant];

    if (record->cap_count < MAX_CAP_CHANGES) {
        record->caps[record->cap_count++] =
            (CapRecord){sim->now, cpu, removed};
    }
}

static void
configure_pools(JobSim *sim)
{
    JobConfig config = {.version = ++sim->config_version};
    uint32_t queues =
        sim->options.priorities > 0 ? sim->options.priorities : 1;
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;
    uint32_t i;

    config.queue_count = sim->options.pools * queues;
    config.pool_count = sim->options.pools;
    config.queues = allocate(config.queue_count * sizeof(JobQueue));
    config.pools = allocate(config.pool_count * sizeof(JobPool));
    for (i = 0; i < config.queue_count; i++) {
        JobQueue *queue = &config.queues[i];
        snprintf(queue->name, sizeof(queue->name), "q%u", i);
        snprintf(queue->pool, sizeof(queue->pool), "p%u", i / queues);
        queue->priority = i % queues;
        queue->timeout_ms = 3000;
        queue->objective_ms = QUEUE_OBJECTIVE_MS;
        queue->slack = QUEUE_SLACK;
        queue->max_attempts = MAX_ATTEMPTS;
    }
    for (i = 0; i < sim->options.pools; i++) {
        snprintf(config.pools[i].name, sizeof(config.pools[i].name), "p%u", i);
        config.pools[i].enforces_capacity = i >= sim->options.unguarded_pools;
    }
    add_tenants(sim, &config);
    JobCmd_EncodeConfig(&command, &config);
    JobConfig_Free(&config);
    JobState_Apply(sim->state, command.data, command.len, &result);
    Buf_Free(&command);
    Buf_Free(&result);
}

/* Changes the cap of one tenant, or removes it. */
static void
change_cap(JobSim *sim)
{
    uint32_t tenant = Rng_Below(&sim->rng, sim->options.tenants);
    uint32_t percent = (uint32_t)draw_between(sim, 20, 150);
    bool removed = tenant > 0 && draw_bool(sim, 0.1);

    sim->report->cap_changes++;
    set_cap(sim, tenant, sim->options.tenant_cap_cpu / 100 * percent, removed);
    configure_pools(sim);
}

/* Ends the limits of all tenants. */
static void
lift_caps(JobSim *sim)
{
    uint32_t i;

    for (i = 0; i < sim->options.tenants; i++) {
        set_cap(sim, i, 0, false);
    }
    configure_pools(sim);
}

static void
add_targets(JobSim *sim)
{
    uint32_t i;

    sim->target_count = sim->options.pools * sim->options.targets_per_pool;
    sim->targets = allocate(sim->target_count * sizeof(SimTarget));
    for (i = 0; i < sim->target_count; i++) {
        SimTarget *target = &sim->targets[i];
        JobAnnouncement *announcement = &target->announcement;
        snprintf(announcement->id, sizeof(announcement->id), "t%u", i);
        snprintf(announcement->vm, sizeof(announcement->vm), "vm%u", i);
        snprintf(announcement->address, sizeof(announcement->address),
                 "10.0.%u.%u:80", i / 200, i % 200);
        snprintf(announcement->pool, sizeof(announcement->pool), "p%u",
                 i / sim->options.targets_per_pool);
        snprintf(announcement->data_centre, sizeof(announcement->data_centre),
                 "dc");
        announcement->room =
            (JobResources){TARGET_MILLICORES, TARGET_MEMORY_MB, 0};
        if (sim->options.target_cores > 0) {
            announcement->room.cpu = sim->options.target_cores * 1000;
        }
        target->full_room = announcement->room;
        target->guarded =
            i / sim->options.targets_per_pool >= sim->options.unguarded_pools;
        announcement->born = 1;
        target->up = true;
        target->clock_rate = 1.0 - 0.02 * Rng_Unit(&sim->rng);
        schedule_event(sim, draw_between(sim, 0, ANNOUNCE_INTERVAL_MS),
                       EV_ANNOUNCE)
            ->target_index = i;
    }
}

/* --- load of callers --- */

/* Draws from a generator that nothing else uses, so that the same seed gives
 * the same jobs whatever is decided. */
static int64_t
draw_for_caller(JobSim *sim, int64_t low, int64_t high)
{
    return low +
           (int64_t)Rng_Below(&sim->caller_rng, (uint32_t)(high - low + 1));
}

/* Generates a job whose steps follow each other. */
static void
generate_load_spec(JobSim *sim, JobRecord *record, bool large)
{
    const JobSimOptions *options = &sim->options;
    JobSpec *spec = &record->spec;
    uint32_t factor = large ? options->large_factor : 1;
    double error = options->estimate_error > 1 ? options->estimate_error : 1;
    double total_ms = 0;
    uint32_t i;

    spec->text = strdup("work");
    spec->text_len = 4;
    spec->step_count = (uint32_t)draw_for_caller(sim, 1, MAX_LOAD_STEPS);
    spec->steps = allocate(spec->step_count * sizeof(JobStep));
    for (i = 0; i < spec->step_count; i++) {
        JobStep *step = &spec->steps[i];
        step->count =
            (uint32_t)pow(MAX_LOAD_TASKS + 1, Rng_Unit(&sim->caller_rng)) *
            factor;
        step->need.cpu = (uint32_t)draw_for_caller(sim, 200, 2500);
        step->need.memory_mb = 100;
        step->depends_mask = i > 0 ? (uint32_t)1 << (i - 1) : 0;
        record->step_ms[i] = draw_for_caller(sim, 200, 1500);
        step->estimate_ms =
            (uint32_t)((double)record->step_ms[i] *
                       pow(error, 2 * Rng_Unit(&sim->caller_rng) - 1));
        total_ms += (double)record->step_ms[i];
        record->work +=
            (double)step->count * step->need.cpu * (double)record->step_ms[i];
    }
    record->objective_ms =
        (int64_t)(QUEUE_SLACK * total_ms) + QUEUE_OBJECTIVE_MS;
}

/* Submits the job of a caller, who comes back later if it is refused. */
static void
submit_load_job(JobSim *sim, uint64_t number)
{
    JobRecord *record = &sim->job_records[number];
    char queue[JOB_NAME_BYTES];
    char id[JOB_ID_BYTES];
    JobSubmission submission = {id, NULL, &record->spec, ""};
    JobRefusal refusal = {0};
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;

    snprintf(id, sizeof(id), "%016llx", (unsigned long long)number);
    snprintf(queue, sizeof(queue), "q%u", record->queue);
    submission.queue =
        JobConfig_FindQueue(JobState_GetConfig(sim->state), queue);
    if (!JobSched_Admit(sim->sched, sim->now, &submission, &refusal)) {
        if (record->retries < sim->options.max_retries) {
            record->retries++;
            schedule_event(sim, (refusal.retry_ms + 999) / 1000 * 1000,
                           EV_RETRY)
                ->id = number;
        }
        return;
    }
    JobCmd_EncodeSubmit(&command, id, queue, sim->now, &record->spec, "");
    JobState_Apply(sim->state, command.data, command.len, &result);
    Buf_Free(&command);
    Buf_Free(&result);
    record->job = JobState_FindJob(sim->state, id);
}

/* Returns the present rate of arrivals as a multiple of the mean. Bursts of
 * all queues coincide. */
static double
get_load_factor(const JobSim *sim)
{
    double factor = sim->options.burst_factor;
    double period_ms;

    if (factor <= 0) {
        return 1;
    }
    period_ms = (double)sim->options.burst_ms * (factor - LULL_FACTOR) /
                (1 - LULL_FACTOR);
    return fmod((double)sim->now, period_ms) < (double)sim->options.burst_ms
               ? factor
               : LULL_FACTOR;
}

/* Schedules the next caller of a queue. */
static void
schedule_caller(JobSim *sim, uint32_t queue)
{
    const JobSimOptions *options = &sim->options;
    uint32_t queues = options->priorities > 0 ? options->priorities : 1;
    double per_ms = options->load * TARGET_MILLICORES *
                    options->targets_per_pool / MEAN_LOAD_WORK / queues;
    double highest = options->burst_factor > 1 ? options->burst_factor : 1;

    if (queue % queues == queues - 1) {
        per_ms *= options->flood_factor > 0 ? options->flood_factor : 1;
        per_ms /= options->large_factor > 0 ? options->large_factor : 1;
    }
    schedule_event(sim,
                   1 + (int64_t)(-log(1 - Rng_Unit(&sim->caller_rng)) /
                                 (per_ms * highest)),
                   EV_CALLER)
        ->target_index = queue;
}

/* Handles the arrival of a caller. Those beyond the present rate do not
 * submit. */
static void
handle_caller(JobSim *sim, uint32_t queue)
{
    const JobSimOptions *options = &sim->options;
    uint32_t queues = options->priorities > 0 ? options->priorities : 1;
    double highest = options->burst_factor > 1 ? options->burst_factor : 1;

    if (!is_active_phase(sim)) {
        return;
    }
    schedule_caller(sim, queue);
    if (Rng_Unit(&sim->caller_rng) < get_load_factor(sim) / highest) {
        uint64_t number = sim->next_job;
        JobRecord *record = add_job_record(sim);
        record->queue = queue;
        record->first_ms = sim->now;
        generate_load_spec(sim, record,
                           options->large_factor > 0 &&
                               queue % queues == queues - 1);
        sim->report->jobs++;
        submit_load_job(sim, number);
    }
}

static void
add_to_group(JobSimGroup *group, const JobRecord *record, double value)
{
    const Job *job = record->job;
    bool done = job != NULL && job->phase == JOB_COMPLETED;
    int64_t took_ms = done ? job->ended_ms - record->first_ms : INT64_MAX;

    group->jobs++;
    group->worth += value;
    if (took_ms <= record->objective_ms) {
        group->in_time++;
        group->earned += value;
    }
    else if (took_ms <= 3 * record->objective_ms) {
        group->late++;
        group->earned += 0.07 * value;
    }
    else if (job != NULL) {
        group->worthless++;
    }
    else {
        group->refused++;
    }
}

static int
compare_work(const void *a, const void *b)
{
    double left = (*(JobRecord *const *)a)->work;
    double right = (*(JobRecord *const *)b)->work;

    return (left < right) - (left > right);
}

/* Reports what the callers of one queue got. */
static void
report_queue(JobSim *sim, uint32_t queue)
{
    JobSimReport *report = sim->report;
    uint32_t queues =
        sim->options.priorities > 0 ? sim->options.priorities : 1;
    uint32_t priority = queue % queues;
    JobRecord **records = allocate((sim->next_job + 1) * sizeof(*records));
    double total = 0;
    size_t count = 0;
    size_t i;

    for (i = 1; i < sim->next_job; i++) {
        JobRecord *record = &sim->job_records[i];
        if (record->work > 0 && record->queue == queue) {
            records[count++] = record;
            total += record->work;
        }
    }
    qsort(records, count, sizeof(*records), compare_work);
    for (i = 0; i < count; i++) {
        double value = 0.3 + 0.7 * records[i]->work / (total / (double)count);
        JobSimSize size = i * 10 < count       ? JOBSIM_LARGEST_TENTH
                          : i * 10 < count * 3 ? JOBSIM_NEXT_FIFTH
                                               : JOBSIM_SMALLER;
        value = value < 4 ? value : 4;
        add_to_group(&report->all, records[i], value);
        add_to_group(&report->by_size[size], records[i], value);
        if (priority < JOBSIM_PRIORITIES) {
            add_to_group(&report->by_priority[priority], records[i], value);
        }
    }
    free(records);
}

static void
begin_load(JobSim *sim)
{
    uint32_t queues =
        sim->options.priorities > 0 ? sim->options.priorities : 1;
    uint32_t i;

    for (i = 0; sim->options.load > 0 && i < sim->options.pools * queues;
         i++) {
        schedule_caller(sim, i);
    }
}

static void
report_load(JobSim *sim)
{
    uint32_t queues =
        sim->options.priorities > 0 ? sim->options.priorities : 1;
    uint64_t number;
    uint32_t i;

    if (sim->options.load <= 0) {
        return;
    }
    for (i = 0; i < sim->options.pools * queues; i++) {
        report_queue(sim, i);
    }
    sim->report->counts = *JobSched_Counts(sim->sched);
    for (number = 1; number < sim->next_job; number++) {
        JobSpec_Free(&sim->job_records[number].spec);
    }
}

/* --- event handling --- */

static void
announce_target(JobSim *sim, uint32_t target_index, uint64_t incarnation)
{
    SimTarget *target = &sim->targets[target_index];
    JobAnnouncement announcement;
    Event *event;

    if (!target->up ||
        (incarnation != 0 && incarnation != target->incarnation)) {
        return;
    }
    target->announcement.order++;
    announcement = target->announcement;
    announcement.clock_ms = get_clock_ms(sim, target);
    if (!target->partitioned && !target->muted &&
        JobSched_IsLeading(sim->sched)) {
        JobSched_HandleAnnouncement(sim->sched, sim->now, &announcement);
    }
    event = schedule_event(sim, ANNOUNCE_INTERVAL_MS, EV_ANNOUNCE);
    event->target_index = target_index;
    event->incarnation = target->incarnation;
}

static void
deliver_late_message(JobSim *sim, const Event *event)
{
    if (!JobSched_IsLeading(sim->sched)) {
        return;
    }
    if (event->kind == EV_LATE_ANNOUNCEMENT) {
        JobSched_HandleAnnouncement(sim->sched, sim->now, event->announcement);
    }
    else {
        JobSched_HandleDeparture(sim->sched, sim->now,
                                 event->announcement->id);
    }
}

static void
finish_run(JobSim *sim, const Event *event)
{
    SimTarget *target = &sim->targets[event->target_index];
    size_t i;

    if (!target->up || target->incarnation != event->incarnation) {
        return;
    }
    end_expired_runs(sim, event->target_index);
    for (i = 0; i < target->run_count; i++) {
        Run *run = &target->runs[i];
        if (run->id != event->id) {
            continue;
        }
        if (event->kind == EV_RUN_STOPPED) {
            end_run(sim, event->target_index, run, JOB_END_STOPPED);
        }
        else if (event->kind == EV_GANG_TIMEOUT) {
            if (!run->stopping && !is_gang_complete(sim, &event->action)) {
                end_run(sim, event->target_index, run, JOB_END_ALONE);
            }
        }
        else if (!run->stopping) {
            end_run(sim, event->target_index, run,
                    draw_bool(sim, sim->options.failed_run_share)
                        ? JOB_END_FAILED
                        : JOB_END_DONE);
        }
        return;
    }
}

static void
commit_proposal(JobSim *sim, Event *event)
{
    Buf result = BUF_INIT;

    if (event->sender_term != sim->term) {
        return;
    }
    JobState_Apply(sim->state, event->action.command.data,
                   event->action.command.len, &result);
    Buf_Free(&result);
    JobSched_HandleProposal(sim->sched, sim->now, event->action.cookie, ST_OK);
    check_ended_jobs(sim);
}

static void
shrink_room(JobSim *sim, uint32_t target_index)
{
    SimTarget *target = &sim->targets[target_index];
    JobResources *room = &target->announcement.room;

    if (target->shrunk) {
        return;
    }
    target->shrunk = true;
    target->shrunk_ms = sim->now;
    room->cpu = room->cpu / 100 * (uint32_t)draw_between(sim, 20, 80);
    room->memory_mb =
        room->memory_mb / 100 * (uint32_t)draw_between(sim, 20, 80);
    schedule_event(sim, draw_between(sim, 2000, 12000), EV_GROW)
        ->target_index = target_index;
}

static void
mute_target(JobSim *sim, uint32_t target_index)
{
    if (!sim->targets[target_index].muted) {
        sim->targets[target_index].muted = true;
        schedule_event(sim, draw_between(sim, 500, 9000), EV_UNMUTE)
            ->target_index = target_index;
    }
}

static void
inject_fault(JobSim *sim, const Event *event)
{
    const JobSimOptions *options = &sim->options;
    uint32_t target_index = Rng_Below(&sim->rng, sim->target_count);
    SimTarget *target = &sim->targets[target_index];

    if (!is_active_phase(sim)) {
        return;
    }
    if (event->kind == EV_PARTITION) {
        if (!target->partitioned) {
            target->partitioned = true;
            schedule_event(sim, draw_between(sim, 500, 9000), EV_HEAL)
                ->target_index = target_index;
        }
        schedule_random_event(sim, EV_PARTITION, options->partitions_per_s);
    }
    else if (event->kind == EV_CRASH) {
        if (target->up && options->planned_end_share > 0 &&
            draw_bool(sim, options->planned_end_share)) {
            begin_planned_end(sim, target_index);
        }
        else if (target->up) {
            crash_target(sim, target_index, 300, 4000);
        }
        schedule_random_event(sim, EV_CRASH, options->crashes_per_s);
    }
    else if (event->kind == EV_SHRINK) {
        shrink_room(sim, target_index);
        schedule_random_event(sim, EV_SHRINK, options->shrinks_per_s);
    }
    else if (event->kind == EV_MUTE) {
        mute_target(sim, target_index);
        schedule_random_event(sim, EV_MUTE, options->mutes_per_s);
    }
    else if (event->kind == EV_LOG_STALL) {
        int64_t until_ms = sim->now + draw_between(sim, 1000, 6000);
        sim->last_commit_ms =
            until_ms > sim->last_commit_ms ? until_ms : sim->last_commit_ms;
        schedule_random_event(sim, EV_LOG_STALL, options->log_stalls_per_s);
    }
    else {
        change_leader(sim);
        schedule_random_event(sim, EV_LEADER_CHANGE,
                              options->leader_changes_per_s);
    }
}

static void
end_fault(JobSim *sim, const Event *event)
{
    SimTarget *target = &sim->targets[event->target_index];

    if (event->kind == EV_HEAL) {
        target->partitioned = false;
    }
    else if (event->kind == EV_GROW) {
        target->shrunk = false;
        target->announcement.room = target->full_room;
    }
    else if (event->kind == EV_UNMUTE) {
        target->muted = false;
    }
    else if (event->sender_term == sim->term) {
        sim->fault_ms = sim->now;
        JobSched_Lead(sim->sched, sim->now, sim->term);
    }
}

/* Free processors of a pool. */
typedef struct PoolUse {
    uint64_t total; /* of the targets that are up */
    uint64_t used;
    uint32_t largest[2]; /* free on the two targets with most */
} PoolUse;

static PoolUse
get_pool_use(const JobSim *sim, uint32_t pool)
{
    uint32_t first = pool * sim->options.targets_per_pool;
    PoolUse use = {0, 0, {0, 0}};
    uint32_t i;
    size_t j;

    for (i = first; i < first + sim->options.targets_per_pool; i++) {
        const SimTarget *target = &sim->targets[i];
        uint32_t spare = target->announcement.room.cpu;
        if (!target->up) {
            continue;
        }
        use.total += spare;
        for (j = 0; j < target->run_count; j++) {
            const JobTaskRef *task = &target->runs[j].task;
            const Job *job = JobState_FindJob(sim->state, task->job);
            uint32_t need = job->spec.steps[task->step].need.cpu;
            use.used += need;
            spare = spare > need ? spare - need : 0;
        }
        if (spare > use.largest[0]) {
            use.largest[1] = use.largest[0];
            use.largest[0] = spare;
        }
        else if (spare > use.largest[1]) {
            use.largest[1] = spare;
        }
    }
    return use;
}

/* Returns the need of a task of a job that can run and waits, or 0. Adds the
 * waiting suspects of the job. */
static uint32_t
get_waiting_need(const Job *job, uint32_t *suspects)
{
    uint32_t need = 0;
    uint32_t step;
    uint32_t i;

    for (step = 0; step < job->spec.step_count; step++) {
        const JobStep *spec = &job->spec.steps[step];
        const JobTask *tasks = Job_FindStepTasks(job, 0, step);
        if (!Job_IsStepReady(job, 0, step)) {
            continue;
        }
        need = tasks == NULL ? spec->need.cpu : need;
        for (i = 0; tasks != NULL && i < spec->count; i++) {
            if (tasks[i].state == JOB_TASK_WAITING) {
                need = spec->need.cpu;
                *suspects += tasks[i].crash_score > 0;
            }
        }
    }
    return need;
}

static void
measure_wait(JobSim *sim, JobRecord *record, const PoolUse *use, uint32_t need)
{
    bool is_free = use->used * 2 < use->total &&
                   (use->largest[0] >= 2 * need || use->largest[1] >= need);

    if (need == 0 || !is_free || record->job->assigned > 0 ||
        !JobSched_IsLeading(sim->sched)) {
        record->unplaced_since_ms = 0;
        return;
    }
    if (record->unplaced_since_ms == 0) {
        record->unplaced_since_ms = sim->now;
    }
    if (sim->now - record->unplaced_since_ms > sim->report->max_idle_ms) {
        sim->report->max_idle_ms = sim->now - record->unplaced_since_ms;
    }
    if (sim->now - record->unplaced_since_ms >= JOBSIM_MAX_IDLE_MS &&
        !record->idle_counted) {
        record->idle_counted = true;
        sim->report->idle_jobs++;
    }
}

/* Measures how long jobs without a deadly task wait beside free targets. */
static void
measure_waits(JobSim *sim)
{
    uint32_t suspects = 0;
    uint32_t pool;
    uint64_t number;

    for (pool = 0; pool < sim->options.pools; pool++) {
        PoolUse use = get_pool_use(sim, pool);
        char name[JOB_NAME_BYTES];
        snprintf(name, sizeof(name), "p%u", pool);
        for (number = sim->first_open_job; number < sim->next_job; number++) {
            JobRecord *record = &sim->job_records[number];
            if (!record->ended && record->job->phase < JOB_COMPLETED &&
                !record->job->spec.steps[0].lasting &&
                strcmp(record->job->pool, name) == 0) {
                uint32_t need = get_waiting_need(record->job, &suspects);
                if (!record->deadly) {
                    measure_wait(sim, record, &use, need);
                }
            }
        }
    }
    if (suspects > sim->report->max_suspects) {
        sim->report->max_suspects = suspects;
    }
}

static void
tick(JobSim *sim)
{
    uint32_t i;

    JobSched_Tick(sim->sched, sim->now, sim->now);
    for (i = 0; i < sim->target_count; i++) {
        end_expired_runs(sim, i);
    }
    if (sim->options.checks_waits) {
        check_waits(sim);
    }
    if (sim->options.measure_waits) {
        measure_waits(sim);
    }
    if (sim->options.measure_restarts) {
        measure_restarts(sim);
    }
    schedule_event(sim, TICK_INTERVAL_MS, EV_TICK);
}

static void
handle_event(JobSim *sim, Event *event)
{
    SimTarget *target = &sim->targets[event->target_index];

    switch (event->kind) {
    case EV_COMMIT:
        commit_proposal(sim, event);
        break;
    case EV_DELIVER:
        /* A delayed call is lost when the target restarts. */
        if (event->incarnation == target->incarnation) {
            deliver_call(sim, event);
        }
        else if (event->id != 0) {
            schedule_call_timeout(sim, event->target_index, &event->action,
                                  event->sender_term);
        }
        break;
    case EV_ANSWER:
        if (event->sender_term == sim->term) {
            JobSched_HandleAnswer(sim->sched, sim->now, &event->action,
                                  &event->answer);
        }
        break;
    case EV_GANG_FINISHED:
        finish_gang(sim, event);
        break;
    case EV_GANG_BROKEN:
        end_gang(sim, &event->action, JOB_END_BROKEN);
        break;
    case EV_RUN_FINISHED:
    case EV_RUN_STOPPED:
    case EV_GANG_TIMEOUT:
        finish_run(sim, event);
        break;
    case EV_ANNOUNCE:
        announce_target(sim, event->target_index, event->incarnation);
        break;
    case EV_TICK:
        tick(sim);
        break;
    case EV_JOB_ARRIVAL:
        if (is_active_phase(sim)) {
            submit_job(sim, Rng_Below(&sim->rng, sim->options.pools), false);
            schedule_random_event(sim, EV_JOB_ARRIVAL,
                                  sim->options.jobs_per_s);
        }
        break;
    case EV_CALLER:
        handle_caller(sim, event->target_index);
        break;
    case EV_RETRY:
        submit_load_job(sim, event->id);
        break;
    case EV_JOB_CANCEL:
        cancel_job(sim, event->job_id);
        break;
    case EV_PLANNED_END:
        if (target->up && target->incarnation == event->incarnation) {
            crash_target(sim, event->target_index, 300, 4000);
        }
        break;
    case EV_LATE_ANNOUNCEMENT:
    case EV_LATE_DEPARTURE:
        deliver_late_message(sim, event);
        break;
    case EV_OUTAGE:
        start_term(sim);
        begin_election(sim, sim->options.outage_ms);
        break;
    case EV_RESTART:
        restart_target(sim, event->target_index);
        break;
    case EV_HOLD_TIMEOUT:
        if (target->hold_id == event->id) {
            answer_hold(sim, event->target_index);
        }
        break;
    case EV_DEADLY_CRASH:
        crash_by_deadly_run(sim, event);
        break;
    case EV_POOL_CRASH:
        crash_pool(sim, event);
        break;
    case EV_POOL_TARGET_CRASH:
        if (target->up) {
            crash_target(sim, event->target_index, 300, 4000);
        }
        break;
    case EV_BUSIEST_CRASH:
        crash_busiest(sim, event->id);
        break;
    case EV_PARTITION:
    case EV_CRASH:
    case EV_LEADER_CHANGE:
    case EV_SHRINK:
    case EV_MUTE:
    case EV_LOG_STALL:
        inject_fault(sim, event);
        break;
    case EV_CAP_CHANGE:
        if (is_active_phase(sim)) {
            change_cap(sim);
            schedule_random_event(sim, EV_CAP_CHANGE,
                                  sim->options.cap_changes_per_s);
        }
        else {
            lift_caps(sim);
        }
        break;
    case EV_HEAL:
    case EV_GROW:
    case EV_UNMUTE:
    case EV_ELECTED:
        end_fault(sim, event);
        break;
    }
}

static void
count_lasting_tasks(JobSim *sim, const Job *job)
{
    uint32_t i;

    for (i = 0; job->phase < JOB_COMPLETED && i < job->tasks_per_occurrence;
         i++) {
        JobTaskRef task = {{0}, 0, 0, i};
        snprintf(task.job, sizeof(task.job), "%s", job->id);
        sim->report->lasting_not_running +=
            get_task_record(sim, &task)->running != 1;
    }
}

static void
fill_report(JobSim *sim)
{
    JobSimReport *report = sim->report;
    uint64_t job_number;
    uint64_t completed = 0;
    int64_t total_ms = 0;
    uint32_t i;

    check_ended_jobs(sim);
    for (job_number = 1; job_number < sim->next_job; job_number++) {
        char id[JOB_ID_BYTES];
        const Job *job;
        snprintf(id, sizeof(id), "%016llx", (unsigned long long)job_number);
        job = JobState_FindJob(sim->state, id);
        if (job == NULL) {
            continue;
        }
        if (job->spec.steps[0].lasting) {
            if (sim->job_records[job_number].deadly) {
                report->unfinished += job->phase < JOB_COMPLETED;
            }
            else {
                count_lasting_tasks(sim, job);
            }
            continue;
        }
        report->completed += job->phase == JOB_COMPLETED;
        report->failed += job->phase == JOB_FAILED;
        report->cancelled += job->phase == JOB_CANCELLED;
        report->unfinished += job->phase < JOB_COMPLETED;
        if (job->phase < JOB_COMPLETED) {
            Slog_Begin(SLOG_FAILURE, "job_unfinished");
            Slog_AddText("job", id);
            Slog_AddInt("assigned", job->assigned);
            Slog_AddInt("waiting", job->has_waiting);
            Slog_End();
        }
        if (job->phase == JOB_COMPLETED) {
            uint32_t tenant = sim->job_records[job_number].tenant;
            total_ms += job->ended_ms - job->accepted_ms;
            report->tenant_completed[tenant]++;
            report->tenant_mean_ms[tenant] += job->ended_ms - job->accepted_ms;
            report->on_time += !sim->job_records[job_number].large &&
                               (double)(job->ended_ms - job->accepted_ms) <=
                                   JOBSIM_ON_TIME_FACTOR * JOBSIM_STEP_MS *
                                       job->spec.step_count;
            completed++;
        }
    }
    for (i = 0; i < JOBSIM_MAX_TENANTS; i++) {
        if (report->tenant_completed[i] > 0) {
            report->tenant_mean_ms[i] /= (int64_t)report->tenant_completed[i];
        }
    }
    report->mean_completion_ms =
        completed > 0 ? total_ms / (int64_t)completed : 0;
}

static void
free_sim(JobSim *sim)
{
    uint32_t i;
    size_t j;

    while (sim->heap_count > 0) {
        free_event(pop_event(sim));
    }
    free(sim->heap);
    for (i = 0; i < sim->target_count; i++) {
        free(sim->targets[i].ends);
        free(sim->targets[i].ended_ms);
        free(sim->targets[i].stale_attempts);
    }
    free(sim->targets);
    free(sim->job_records);
    for (j = 0; j < StrMap_Count(sim->task_records); j++) {
        free(StrMap_At(sim->task_records, j));
    }
    StrMap_Free(sim->task_records);
    JobSched_Free(sim->sched);
    JobState_Free(sim->state);
}

void
JobSim_Run(const JobSimOptions *options, JobSimReport *report)
{
    const JobSchedOptions sched = JOBSCHED_OPTIONS_DEFAULT;
    JobSim sim = {.options = *options,
                  .term = 1,
                  .next_id = 1,
                  .next_job = 1,
                  .first_open_job = 1,
                  .report = report};
    uint32_t i;

    memset(report, 0, sizeof(*report));
    sim.sched_options = sched;
    sim.sched_options.stop_ms = MAX_STOP_MS;
    sim.sched_options.overload_control = options->overload_control;
    sim.sched_options.seed = options->seed;
    sim.sched_options.status_retention_ms = INT32_MAX;
    Rng_Seed(&sim.rng, options->seed);
    Rng_Seed(&sim.caller_rng, options->seed);
    sim.state = JobState_New();
    sim.sched = JobSched_New(&sim.sched_options, sim.state);
    sim.task_records = StrMap_New();
    sim.now = 1;
    for (i = 0; i < options->tenants; i++) {
        set_cap(&sim, i, options->tenant_cap_cpu, false);
    }
    configure_pools(&sim);
    JobSched_Lead(sim.sched, sim.now, sim.term);
    add_targets(&sim);
    for (i = 0; i < options->pools * options->lasting_per_pool; i++) {
        submit_job(&sim, i % options->pools, true);
    }
    schedule_event(&sim, 0, EV_TICK);
    begin_load(&sim);
    schedule_random_event(&sim, EV_JOB_ARRIVAL,
                          options->load > 0 ? 0 : options->jobs_per_s);
    schedule_random_event(&sim, EV_PARTITION, options->partitions_per_s);
    schedule_random_event(&sim, EV_CRASH, options->crashes_per_s);
    schedule_random_event(&sim, EV_LEADER_CHANGE,
                          options->leader_changes_per_s);
    schedule_random_event(&sim, EV_POOL_CRASH, options->pool_crashes_per_s);
    schedule_random_event(&sim, EV_SHRINK, options->shrinks_per_s);
    schedule_random_event(&sim, EV_MUTE, options->mutes_per_s);
    schedule_random_event(&sim, EV_LOG_STALL, options->log_stalls_per_s);
    schedule_random_event(&sim, EV_CAP_CHANGE, options->cap_changes_per_s);
    if (options->outage_ms > 0) {
        schedule_event(&sim, options->outage_at_ms, EV_OUTAGE);
    }
    if (options->busiest_crashes > 0) {
        schedule_event(&sim, options->busiest_crash_ms, EV_BUSIEST_CRASH)->id =
            options->busiest_crashes;
    }
    while (sim.heap_count > 0 &&
           sim.heap[0]->at_ms < options->active_ms + options->settle_ms &&
           report->violation[0] == '\0') {
        Event *event = pop_event(&sim);
        sim.now = event->at_ms;
        Slog_SetTime(sim.now, sim.now);
        JobState_SetNow(sim.state, sim.now);
        handle_event(&sim, event);
        free_event(event);
        run_scheduler(&sim);
    }
    fill_report(&sim);
    report_load(&sim);
    free_sim(&sim);
}
