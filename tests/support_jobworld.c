#include "support_jobworld.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobcodec.h"
#include "rng.h"
#include "slog.h"

#define LOG_MS 25 /* a round of the log */
#define WAY_MS 3  /* one way to a target */
#define TICK_MS 50
#define BEAT_MS 1500
#define STOP_MS 200
#define MAX_LEASE_MS 6000
#define TARGET_CPU 16000
#define CALL_MS 1000
#define MAX_RUNS 64
#define MAX_ATTEMPTS 3

typedef enum EventKind {
    EV_COMMIT,
    EV_DELIVER,
    EV_REPLY,
    EV_RUN_END,
    EV_STOPPED,
    EV_BEAT,
    EV_TICK,
    EV_JOB,
    EV_CANCEL,
    EV_CUT,
    EV_HEAL,
    EV_CRASH,
    EV_REBIRTH,
    EV_LEADER,
    EV_WAITED
} EventKind;

typedef struct Run {
    JobTaskRef task;
    uint32_t attempt;
    uint64_t number; /* unique */
    bool lasting;
    bool stopping;
} Run;

/* An attempt that a target will not start any more. */
typedef struct Barred {
    JobTaskRef task;
    uint32_t attempt;
} Barred;

typedef struct Worker {
    JobAnnouncement says;
    uint64_t life;
    double rate; /* of its clock */
    int64_t begun_ms;
    bool up;
    bool cut;
    uint64_t fence;
    int64_t deadline_ms; /* on its clock */
    int64_t lapsed_ms;   /* world time of the last lapse */
    Run runs[MAX_RUNS];
    size_t run_count;
    JobEnd *ends; /* all of this life; checkpoint is the time of the end */
    int64_t *ended_ms;
    size_t end_count;
    uint64_t acked;
    Barred *barred;
    size_t barred_count;
    JobAction hold; /* that waits for an end */
    uint64_t hold_leader;
    uint64_t hold_number; /* 0: none */
} Worker;

/* What the oracle knows of a task. */
typedef struct Known {
    char key[96];
    uint32_t running;
    bool done;
    bool done_noted; /* that end was acknowledged within its lease */
    uint32_t failed_noted;
} Known;

typedef struct Event {
    int64_t at;
    uint64_t order;
    EventKind kind;
    uint32_t worker;
    uint64_t life;
    uint64_t number; /* of a run, a proposal or a hold */
    uint64_t leader; /* term that sent the call */
    JobAction action;
    JobCallAnswer answer;
    JobRunning *running;
    JobEnd *ends;
    char id[JOB_ID_BYTES];
} Event;

typedef struct World {
    JobWorldOptions options;
    Rng rng;
    int64_t now;
    uint64_t term;
    JobState *state;
    JobSched *sched;
    Worker *workers;
    uint32_t worker_count;
    Event **heap;
    size_t heap_count;
    size_t heap_capacity;
    uint64_t next_order;
    uint64_t next_number;
    uint64_t next_job;
    StrMap *known;
    JobWorldReport *report;
    int64_t total_ms;
    int64_t committed_ms; /* commits keep their order */
} World;

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
violate(World *world, const char *format, ...)
{
    char text[200];
    va_list args;

    if (world->report->violation[0] != '\0') {
        return;
    }
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    snprintf(world->report->violation, sizeof(world->report->violation),
             "seed %llu at %lld ms: %s",
             (unsigned long long)world->options.seed, (long long)world->now,
             text);
}

/* --- events --- */

static bool
before(const Event *a, const Event *b)
{
    return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static Event *
push(World *world, int64_t delay, EventKind kind)
{
    Event *event = allocate(sizeof(*event));
    size_t i;

    event->at = world->now + delay;
    event->order = world->next_order++;
    event->kind = kind;
    if (world->heap_count == world->heap_capacity) {
        world->heap_capacity = world->heap_capacity * 2 + 256;
        world->heap =
            realloc(world->heap, world->heap_capacity * sizeof(*world->heap));
        if (world->heap == NULL) {
            abort();
        }
    }
    i = world->heap_count++;
    while (i > 0 && before(event, world->heap[(i - 1) / 2])) {
        world->heap[i] = world->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    world->heap[i] = event;
    return event;
}

static Event *
pop(World *world)
{
    Event *first = world->heap[0];
    Event *last = world->heap[--world->heap_count];
    size_t i = 0;

    while (world->heap_count > 0) {
        size_t child = 2 * i + 1;
        if (child >= world->heap_count) {
            break;
        }
        if (child + 1 < world->heap_count &&
            before(world->heap[child + 1], world->heap[child])) {
            child++;
        }
        if (!before(world->heap[child], last)) {
            break;
        }
        world->heap[i] = world->heap[child];
        i = child;
    }
    if (world->heap_count > 0) {
        world->heap[i] = last;
    }
    return first;
}

static void
free_event(Event *event)
{
    Buf_Free(&event->action.command);
    free(event->running);
    free(event->ends);
    free(event);
}

static bool
chance(World *world, double share)
{
    return Rng_Unit(&world->rng) < share;
}

static int64_t
between(World *world, int64_t low, int64_t high)
{
    return low + (int64_t)Rng_Below(&world->rng, (uint32_t)(high - low + 1));
}

static bool
faults_go_on(const World *world)
{
    return world->now < world->options.length_ms;
}

/* --- the oracle --- */

static Known *
known(World *world, const JobTaskRef *task)
{
    char key[96];
    Known *row;

    snprintf(key, sizeof(key), "%s.%u.%u.%u", task->job, task->occurrence,
             task->step, task->index);
    row = StrMap_Get(world->known, key);
    if (row == NULL) {
        row = allocate(sizeof(*row));
        memcpy(row->key, key, sizeof(key));
        StrMap_Put(world->known, row->key, row);
    }
    return row;
}

static void
check_start(World *world, const Worker *worker, const JobTaskRef *task)
{
    const Job *job = JobState_FindJob(world->state, task->job);
    Known *row = known(world, task);
    uint32_t i;
    uint32_t j;

    if (job == NULL) {
        violate(world, "%s starts and was never submitted", row->key);
        return;
    }
    if (row->running > 0) {
        violate(world, "two runs of %s at once, the second on %s", row->key,
                worker->says.id);
    }
    if (row->done_noted) {
        violate(world, "%s starts after its end was noted", row->key);
    }
    if (!job->spec.steps[task->step].lasting &&
        row->failed_noted >= MAX_ATTEMPTS) {
        violate(world, "%s starts after its last attempt", row->key);
    }
    for (i = 0; i < task->step; i++) {
        JobTaskRef other = *task;
        other.step = i;
        if ((job->spec.steps[task->step].depends_mask >> i & 1) == 0) {
            continue;
        }
        for (j = 0; j < job->spec.steps[i].count; j++) {
            other.index = j;
            if (!known(world, &other)->done) {
                violate(world, "%s starts before step %u is done", row->key,
                        i);
            }
        }
    }
}

/* --- targets --- */

static int64_t
clock_of(const World *world, const Worker *worker)
{
    return (int64_t)((double)(world->now - worker->begun_ms) * worker->rate);
}

static Run *
find_run(Worker *worker, const JobTaskRef *task)
{
    size_t i;

    for (i = 0; i < worker->run_count; i++) {
        if (JobTaskRef_IsSame(&worker->runs[i].task, task)) {
            return &worker->runs[i];
        }
    }
    return NULL;
}

static void
bar(Worker *worker, const JobTaskRef *task, uint32_t attempt)
{
    size_t i;

    for (i = 0; i < worker->barred_count; i++) {
        Barred *row = &worker->barred[i];
        if (JobTaskRef_IsSame(&row->task, task)) {
            row->attempt = row->attempt > attempt ? row->attempt : attempt;
            return;
        }
    }
    worker->barred = realloc(worker->barred, (worker->barred_count + 1) *
                                                 sizeof(*worker->barred));
    worker->barred[worker->barred_count++] = (Barred){*task, attempt};
}

static bool
is_barred(const Worker *worker, const JobTaskRef *task, uint32_t attempt)
{
    size_t i;

    for (i = 0; i < worker->barred_count; i++) {
        if (JobTaskRef_IsSame(&worker->barred[i].task, task)) {
            return attempt <= worker->barred[i].attempt;
        }
    }
    return false;
}

static void answer_hold(World *world, uint32_t number);

static void
end_run(World *world, uint32_t number, Run *run, JobEndKind kind)
{
    Worker *worker = &world->workers[number];
    Known *row = known(world, &run->task);
    size_t i = worker->end_count++;

    row->running--;
    row->done |= kind == JOB_END_DONE;
    worker->ends =
        realloc(worker->ends, worker->end_count * sizeof(*worker->ends));
    worker->ended_ms =
        realloc(worker->ended_ms, worker->end_count * sizeof(int64_t));
    worker->ends[i] =
        (JobEnd){run->task, run->attempt, kind, worker->end_count, ""};
    worker->ended_ms[i] = world->now;
    bar(worker, &run->task, run->attempt);
    *run = worker->runs[--worker->run_count];
    answer_hold(world, number);
}

/* Kills what runs once the lease is over. */
static void
check_lease(World *world, uint32_t number)
{
    Worker *worker = &world->workers[number];

    if (worker->run_count == 0 ||
        clock_of(world, worker) < worker->deadline_ms) {
        return;
    }
    worker->lapsed_ms = world->now;
    while (worker->run_count > 0) {
        end_run(world, number, &worker->runs[0], JOB_END_LAPSED);
    }
}

/* A lease that ran out while nothing ran has lapsed all the same. */
static void
note_lapse(const World *world, Worker *worker)
{
    if (worker->deadline_ms > 0 &&
        clock_of(world, worker) > worker->deadline_ms) {
        worker->lapsed_ms =
            worker->begun_ms +
            (int64_t)((double)worker->deadline_ms / worker->rate);
    }
}

static void
extend(World *world, Worker *worker, int64_t deadline)
{
    int64_t most = clock_of(world, worker) + MAX_LEASE_MS;

    note_lapse(world, worker);
    deadline = deadline < most ? deadline : most;
    if (deadline > worker->deadline_ms) {
        worker->deadline_ms = deadline;
    }
}

static uint32_t
used_cpu(const World *world, const Worker *worker)
{
    uint32_t cpu = 0;
    size_t i;

    for (i = 0; i < worker->run_count; i++) {
        const Job *job =
            JobState_FindJob(world->state, worker->runs[i].task.job);
        cpu += job->spec.steps[worker->runs[i].task.step].need.cpu;
    }
    return cpu;
}

static JobCallOutcome
start_run(World *world, uint32_t number, const JobAction *call)
{
    Worker *worker = &world->workers[number];
    const Job *job = JobState_FindJob(world->state, call->task.job);
    Run *run = find_run(worker, &call->task);
    const JobStep *step;
    Event *event;

    if (run != NULL && run->attempt == call->attempt) {
        extend(world, worker, call->deadline_ms);
        return JOB_CALL_OK;
    }
    if (call->deadline_ms <= clock_of(world, worker)) {
        return JOB_CALL_LATE;
    }
    extend(world, worker, call->deadline_ms);
    if (run != NULL || is_barred(worker, &call->task, call->attempt)) {
        return JOB_CALL_STALE;
    }
    check_start(world, worker, &call->task);
    if (job == NULL) {
        return JOB_CALL_INVALID;
    }
    step = &job->spec.steps[call->task.step];
    if (worker->run_count == MAX_RUNS ||
        used_cpu(world, worker) + step->need.cpu > TARGET_CPU) {
        return JOB_CALL_NO_ROOM;
    }
    world->report->starts++;
    run = &worker->runs[worker->run_count++];
    *run = (Run){call->task, call->attempt, world->next_number++,
                 step->lasting, false};
    known(world, &call->task)->running++;
    if (!step->lasting) {
        event = push(world, between(world, 200, 1500), EV_RUN_END);
        event->worker = number;
        event->life = worker->life;
        event->number = run->number;
    }
    return JOB_CALL_OK;
}

static void
stop_run(World *world, uint32_t number, const JobAction *call)
{
    Worker *worker = &world->workers[number];
    Run *run = find_run(worker, &call->task);
    Event *event;

    bar(worker, &call->task, call->attempt);
    if (run == NULL || run->attempt > call->attempt || run->stopping) {
        return;
    }
    run->stopping = true;
    event = push(world, between(world, 1, STOP_MS), EV_STOPPED);
    event->worker = number;
    event->life = worker->life;
    event->number = run->number;
}

static void
acknowledge(World *world, Worker *worker, uint64_t ack)
{
    size_t i;

    for (i = (size_t)worker->acked; i < ack && i < worker->end_count; i++) {
        Known *row = known(world, &worker->ends[i].task);
        if (worker->lapsed_ms > worker->ended_ms[i]) {
            continue;
        }
        row->done_noted |= worker->ends[i].kind == JOB_END_DONE;
        row->failed_noted += worker->ends[i].kind == JOB_END_FAILED;
    }
    /* A cursor of an earlier life may point past the list. */
    ack = ack < worker->end_count ? ack : worker->end_count;
    if (ack > worker->acked) {
        worker->acked = ack;
    }
}

static void
reply(World *world, uint32_t number, const JobAction *call, uint64_t leader,
      JobCallAnswer answer)
{
    Worker *worker = &world->workers[number];
    Event *event = push(world, WAY_MS, EV_REPLY);
    size_t first = (size_t)worker->acked;
    size_t i;

    event->worker = number;
    event->leader = leader;
    event->action = *call;
    event->answer = answer;
    event->answer.clock_ms = clock_of(world, worker);
    if (call->kind != JOB_ACTION_HOLD || answer.outcome != JOB_CALL_OK) {
        return;
    }
    event->answer.born = worker->says.born;
    event->running = allocate((worker->run_count + 1) * sizeof(JobRunning));
    for (i = 0; i < worker->run_count; i++) {
        event->running[i] = (JobRunning){worker->runs[i].task,
                                         worker->runs[i].attempt, 100, 0, ""};
    }
    event->ends = allocate((worker->end_count - first + 1) * sizeof(JobEnd));
    if (worker->end_count > first) {
        memcpy(event->ends, worker->ends + first,
               (worker->end_count - first) * sizeof(JobEnd));
    }
    event->answer.running = event->running;
    event->answer.running_count = worker->run_count;
    event->answer.ends = event->ends;
    event->answer.end_count = worker->end_count - first;
}

static void
no_answer(World *world, uint32_t number, const JobAction *call,
          uint64_t leader)
{
    Event *event = push(world, CALL_MS + call->wait_ms, EV_REPLY);

    event->worker = number;
    event->leader = leader;
    event->action = *call;
    event->answer =
        (JobCallAnswer){.outcome = JOB_CALL_NO_ANSWER, .clock_ms = -1};
    if (world->options.lost_agents > 0 &&
        chance(world, world->options.lost_agents)) {
        event->answer.outcome = JOB_CALL_AGENT_LOST;
    }
}

static void
answer_hold(World *world, uint32_t number)
{
    Worker *worker = &world->workers[number];
    JobCallAnswer answer = {.outcome = JOB_CALL_OK};

    if (worker->hold_number == 0) {
        return;
    }
    worker->hold_number = 0;
    if (worker->cut || !worker->up) {
        no_answer(world, number, &worker->hold, worker->hold_leader);
    }
    else {
        reply(world, number, &worker->hold, worker->hold_leader, answer);
    }
}

static void
hold(World *world, uint32_t number, const JobAction *call, uint64_t leader)
{
    Worker *worker = &world->workers[number];
    Event *event;

    world->report->holds++;
    note_lapse(world, worker);
    if (call->deadline_ms > 0) {
        extend(world, worker, call->deadline_ms);
    }
    acknowledge(world, worker, call->ack);
    answer_hold(world, number);
    worker->hold = *call;
    worker->hold_leader = leader;
    worker->hold_number = world->next_number++;
    if (call->wait_ms == 0 || worker->acked < worker->end_count) {
        answer_hold(world, number);
        return;
    }
    event = push(world, call->wait_ms, EV_WAITED);
    event->worker = number;
    event->number = worker->hold_number;
}

/* A call arrives; answered is false when nobody hears what comes of it. */
static void
deliver(World *world, uint32_t number, const JobAction *call, uint64_t leader,
        bool answered)
{
    Worker *worker = &world->workers[number];
    JobCallAnswer answer = {.outcome = JOB_CALL_OK};

    if (!worker->up || worker->cut) {
        if (answered) {
            no_answer(world, number, call, leader);
        }
        return;
    }
    if (strcmp(call->id, worker->says.id) != 0) {
        answer.outcome = JOB_CALL_OTHER_INSTANCE;
    }
    else if (call->fence < worker->fence) {
        answer.outcome = JOB_CALL_FENCED;
    }
    else {
        worker->fence = call->fence;
        check_lease(world, number);
        if (call->kind == JOB_ACTION_START) {
            answer.outcome = start_run(world, number, call);
        }
        else if (call->kind == JOB_ACTION_STOP) {
            stop_run(world, number, call);
        }
        else if (answered) {
            hold(world, number, call, leader);
            return;
        }
        else if (call->deadline_ms > 0) {
            extend(world, worker, call->deadline_ms);
        }
    }
    if (answered) {
        reply(world, number, call, leader, answer);
    }
}

/* --- the leader --- */

static uint32_t
worker_at(const World *world, const char *address)
{
    uint32_t i;

    for (i = 0; i < world->worker_count; i++) {
        if (strcmp(world->workers[i].says.address, address) == 0) {
            return i;
        }
    }
    return UINT32_MAX;
}

static void
send_call(World *world, const JobAction *call)
{
    const JobWorldOptions *options = &world->options;
    uint32_t number = worker_at(world, call->address);
    const Worker *worker = &world->workers[number];
    bool faults = faults_go_on(world);
    double fate = Rng_Unit(&world->rng);
    int64_t delay = WAY_MS;
    bool answered = true;
    Event *event;

    if (worker->cut || !worker->up) {
        no_answer(world, number, call, world->term);
        return;
    }
    if (faults && fate < options->lost_order) {
        no_answer(world, number, call, world->term);
        return;
    }
    fate -= options->lost_order;
    if (faults && fate < options->lost_answer + options->late_order) {
        answered = false;
        no_answer(world, number, call, world->term);
        if (fate >= options->lost_answer) {
            delay = between(world, 2000, 12000);
        }
    }
    event = push(world, delay, EV_DELIVER);
    event->worker = number;
    event->leader = world->term;
    event->life = worker->life;
    event->action = *call;
    event->number = answered;
}

static void
take_actions(World *world)
{
    JobAction action;

    while (JobSched_TakeAction(world->sched, &action)) {
        if (action.kind == JOB_ACTION_PROPOSE) {
            int64_t at = world->now + LOG_MS;
            Event *event;
            world->committed_ms =
                at > world->committed_ms ? at : world->committed_ms;
            event = push(world, world->committed_ms - world->now, EV_COMMIT);
            event->leader = world->term;
            event->action = action;
        }
        else {
            action.text = NULL;
            action.checkpoint = NULL;
            send_call(world, &action);
        }
    }
}

static void
act(World *world)
{
    JobSched_PlaceTasks(world->sched, world->now, world->now);
    take_actions(world);
}

/* What is on its way through the log is kept up to some point and lost
 * after it; the next leader schedules. */
static void
change_leader(World *world)
{
    size_t i;
    bool kept = true;
    int64_t last = -1;

    for (;;) {
        Event *next = NULL;
        for (i = 0; i < world->heap_count; i++) {
            Event *event = world->heap[i];
            if (event->kind == EV_COMMIT && event->leader == world->term &&
                (int64_t)event->order > last &&
                (next == NULL || event->order < next->order)) {
                next = event;
            }
        }
        if (next == NULL) {
            break;
        }
        last = (int64_t)next->order;
        kept = kept && chance(world, 0.7);
        if (kept) {
            Buf result = BUF_INIT;
            JobState_Apply(world->state, next->action.command.data,
                           next->action.command.len, &result);
            Buf_Free(&result);
        }
        next->leader = 0; /* it has been dealt with */
    }
    world->term++;
    JobSched_Lead(world->sched, world->now, world->term);
}

/* --- faults --- */

static void
schedule_fault(World *world, EventKind kind, double per_s)
{
    if (per_s > 0) {
        push(world, 1 + (int64_t)(2000.0 * Rng_Unit(&world->rng) / per_s),
             kind);
    }
}

static void
crash(World *world, uint32_t number)
{
    Worker *worker = &world->workers[number];
    Event *event;

    while (worker->run_count > 0) {
        known(world, &worker->runs[0].task)->running--;
        worker->runs[0] = worker->runs[--worker->run_count];
    }
    worker->up = false;
    answer_hold(world, number);
    event = push(world, between(world, 300, 4000), EV_REBIRTH);
    event->worker = number;
}

static void
rebirth(World *world, uint32_t number)
{
    Worker *worker = &world->workers[number];

    if (chance(world, 0.5)) {
        snprintf(worker->says.id, sizeof(worker->says.id), "t%u-%llu", number,
                 (unsigned long long)world->next_number++);
    }
    free(worker->ends);
    free(worker->ended_ms);
    free(worker->barred);
    worker->ends = NULL;
    worker->ended_ms = NULL;
    worker->barred = NULL;
    worker->end_count = 0;
    worker->barred_count = 0;
    worker->acked = 0;
    worker->fence = 0;
    worker->deadline_ms = 0;
    worker->begun_ms = world->now;
    worker->says.born = (uint64_t)world->now + 1;
    worker->says.order = 0;
    worker->life++;
    worker->up = true;
    push(world, between(world, 0, 200), EV_BEAT)->worker = number;
}

/* --- jobs --- */

static void
fill_spec(World *world, JobSpec *spec, bool lasting)
{
    uint32_t i;

    memset(spec, 0, sizeof(*spec));
    spec->text = strdup("work");
    spec->text_len = 4;
    spec->step_count = lasting ? 1 : (uint32_t)between(world, 1, 3);
    spec->steps = allocate(spec->step_count * sizeof(JobStep));
    for (i = 0; i < spec->step_count; i++) {
        JobStep *step = &spec->steps[i];
        step->count = (uint32_t)between(world, 1, 6);
        step->need.cpu = (uint32_t)between(world, 200, 2500);
        step->need.memory_mb = 100;
        step->estimate_ms = (uint32_t)between(world, 200, 2000);
        step->depends_mask = i > 0 ? (uint32_t)1 << (i - 1) : 0;
        step->lasting = lasting;
        step->max_unavailable = lasting ? 1 : 0;
    }
}

static void
submit(World *world, uint32_t pool, bool lasting)
{
    char id[JOB_ID_BYTES];
    char queue[JOB_NAME_BYTES];
    JobSpec spec;
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;

    snprintf(id, sizeof(id), "%016llx", (unsigned long long)world->next_job++);
    snprintf(queue, sizeof(queue), "q%u", pool);
    fill_spec(world, &spec, lasting);
    JobCmd_Submit(&command, id, queue, world->now, &spec);
    JobSpec_Free(&spec);
    JobState_Apply(world->state, command.data, command.len, &result);
    Buf_Free(&command);
    Buf_Free(&result);
    world->report->jobs++;
    if (!lasting && chance(world, world->options.cancel_share)) {
        Event *event = push(world, between(world, 10, 1500), EV_CANCEL);
        snprintf(event->id, sizeof(event->id), "%s", id);
    }
}

static void
cancel(World *world, const char *id)
{
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;

    JobCmd_Cancel(&command, id, world->now);
    JobState_Apply(world->state, command.data, command.len, &result);
    Buf_Free(&command);
    Buf_Free(&result);
}

static void
configure(World *world)
{
    JobConfig config = {.version = 1};
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;
    uint32_t i;

    config.queue_count = world->options.pools;
    config.pool_count = world->options.pools;
    config.queues = allocate(config.queue_count * sizeof(JobQueue));
    config.pools = allocate(config.pool_count * sizeof(JobPool));
    for (i = 0; i < world->options.pools; i++) {
        JobQueue *queue = &config.queues[i];
        snprintf(queue->name, sizeof(queue->name), "q%u", i);
        snprintf(queue->pool, sizeof(queue->pool), "p%u", i);
        queue->timeout_ms = 3000;
        queue->objective_ms = 600;
        queue->slack = 1.6;
        queue->max_attempts = MAX_ATTEMPTS;
        snprintf(config.pools[i].name, sizeof(config.pools[i].name), "p%u", i);
    }
    JobCmd_Config(&command, &config);
    JobConfig_Free(&config);
    JobState_Apply(world->state, command.data, command.len, &result);
    Buf_Free(&command);
    Buf_Free(&result);
}

static void
add_workers(World *world)
{
    uint32_t i;

    world->worker_count = world->options.pools * world->options.targets_each;
    world->workers = allocate(world->worker_count * sizeof(Worker));
    for (i = 0; i < world->worker_count; i++) {
        Worker *worker = &world->workers[i];
        JobAnnouncement *says = &worker->says;
        snprintf(says->id, sizeof(says->id), "t%u", i);
        snprintf(says->vm, sizeof(says->vm), "vm%u", i);
        snprintf(says->address, sizeof(says->address), "10.0.%u.%u:80",
                 i / 200, i % 200);
        snprintf(says->pool, sizeof(says->pool), "p%u",
                 i / world->options.targets_each);
        snprintf(says->data_centre, sizeof(says->data_centre), "dc");
        says->room = (JobResources){TARGET_CPU, 32000, 0};
        says->born = 1;
        worker->up = true;
        worker->rate = 1.0 - 0.02 * Rng_Unit(&world->rng);
        push(world, between(world, 0, BEAT_MS), EV_BEAT)->worker = i;
    }
}

/* --- the run --- */

static void
beat(World *world, uint32_t number, uint64_t life)
{
    Worker *worker = &world->workers[number];
    JobAnnouncement says;
    Event *event;

    if (!worker->up || (life != 0 && life != worker->life)) {
        return;
    }
    worker->says.order++;
    says = worker->says;
    says.clock_ms = clock_of(world, worker);
    if (!worker->cut) {
        JobSched_HandleAnnouncement(world->sched, world->now, &says);
    }
    event = push(world, BEAT_MS, EV_BEAT);
    event->worker = number;
    event->life = worker->life;
}

static void
finish_run(World *world, const Event *event)
{
    Worker *worker = &world->workers[event->worker];
    size_t i;

    if (!worker->up || worker->life != event->life) {
        return;
    }
    check_lease(world, event->worker);
    for (i = 0; i < worker->run_count; i++) {
        Run *run = &worker->runs[i];
        if (run->number != event->number) {
            continue;
        }
        if (event->kind == EV_STOPPED) {
            end_run(world, event->worker, run, JOB_END_STOPPED);
        }
        else if (!run->stopping) {
            end_run(world, event->worker, run,
                    chance(world, world->options.failing_share)
                        ? JOB_END_FAILED
                        : JOB_END_DONE);
        }
        return;
    }
}

static void
commit(World *world, Event *event)
{
    Buf result = BUF_INIT;

    if (event->leader != world->term) {
        return;
    }
    JobState_Apply(world->state, event->action.command.data,
                   event->action.command.len, &result);
    Buf_Free(&result);
    JobSched_HandleProposal(world->sched, world->now, event->action.cookie,
                            ST_OK);
}

static void
handle_fault(World *world, const Event *event)
{
    const JobWorldOptions *options = &world->options;
    uint32_t number = Rng_Below(&world->rng, world->worker_count);
    Worker *worker = &world->workers[number];

    if (!faults_go_on(world)) {
        return;
    }
    if (event->kind == EV_CUT) {
        if (!worker->cut) {
            worker->cut = true;
            push(world, between(world, 500, 9000), EV_HEAL)->worker = number;
        }
        schedule_fault(world, EV_CUT, options->cuts_per_s);
    }
    else if (event->kind == EV_CRASH) {
        if (worker->up) {
            crash(world, number);
        }
        schedule_fault(world, EV_CRASH, options->crashes_per_s);
    }
    else {
        change_leader(world);
        schedule_fault(world, EV_LEADER, options->leaders_per_s);
    }
}

static void
handle(World *world, Event *event)
{
    Worker *worker = &world->workers[event->worker];

    switch (event->kind) {
    case EV_COMMIT:
        commit(world, event);
        break;
    case EV_DELIVER:
        /* An order waits inside the process that has received it. */
        if (event->life == worker->life) {
            deliver(world, event->worker, &event->action, event->leader,
                    event->number != 0);
        }
        else if (event->number != 0) {
            no_answer(world, event->worker, &event->action, event->leader);
        }
        break;
    case EV_REPLY:
        if (event->leader == world->term) {
            JobSched_HandleAnswer(world->sched, world->now, &event->action,
                                  &event->answer);
        }
        break;
    case EV_RUN_END:
    case EV_STOPPED:
        finish_run(world, event);
        break;
    case EV_BEAT:
        beat(world, event->worker, event->life);
        break;
    case EV_TICK:
        JobSched_Tick(world->sched, world->now, world->now);
        for (event->worker = 0; event->worker < world->worker_count;
             event->worker++) {
            check_lease(world, event->worker);
        }
        push(world, TICK_MS, EV_TICK);
        break;
    case EV_JOB:
        if (faults_go_on(world)) {
            submit(world, Rng_Below(&world->rng, world->options.pools), false);
            schedule_fault(world, EV_JOB, world->options.jobs_per_s);
        }
        break;
    case EV_CANCEL:
        cancel(world, event->id);
        break;
    case EV_HEAL:
        worker->cut = false;
        break;
    case EV_REBIRTH:
        rebirth(world, event->worker);
        break;
    case EV_WAITED:
        if (worker->hold_number == event->number) {
            answer_hold(world, event->worker);
        }
        break;
    case EV_CUT:
    case EV_CRASH:
    case EV_LEADER:
        handle_fault(world, event);
        break;
    }
}

static void
count_lasting(World *world, const Job *job)
{
    uint32_t i;

    for (i = 0; i < job->tasks_per_occurrence; i++) {
        JobTaskRef task = {{0}, 0, 0, i};
        snprintf(task.job, sizeof(task.job), "%s", job->id);
        world->report->lasting_away += known(world, &task)->running != 1;
    }
}

static void
summarise(World *world)
{
    JobWorldReport *report = world->report;
    uint64_t n;
    uint64_t ended = 0;
    int64_t total = 0;

    for (n = 1; n < world->next_job; n++) {
        char id[JOB_ID_BYTES];
        const Job *job;
        snprintf(id, sizeof(id), "%016llx", (unsigned long long)n);
        job = JobState_FindJob(world->state, id);
        if (job == NULL) {
            continue;
        }
        if (job->spec.steps[0].lasting) {
            count_lasting(world, job);
            continue;
        }
        report->completed += job->phase == JOB_COMPLETED;
        report->failed += job->phase == JOB_FAILED;
        report->cancelled += job->phase == JOB_CANCELLED;
        report->unfinished += job->phase < JOB_COMPLETED;
        if (job->phase < JOB_COMPLETED) {
            Slog_Begin(SLOG_FAILURE, "job_unfinished");
            Slog_Text("job", id);
            Slog_Int("assigned", job->assigned);
            Slog_Int("waiting", job->has_waiting);
            Slog_End();
        }
        if (job->phase == JOB_COMPLETED) {
            total += job->ended_ms - job->accepted_ms;
            report->in_time +=
                (double)(job->ended_ms - job->accepted_ms) <=
                WORLD_SLACK * WORLD_STEP_MS * job->spec.step_count;
            ended++;
        }
    }
    report->mean_ms = ended > 0 ? total / (int64_t)ended : 0;
}

static void
free_world(World *world)
{
    uint32_t i;
    size_t j;

    while (world->heap_count > 0) {
        free_event(pop(world));
    }
    free(world->heap);
    for (i = 0; i < world->worker_count; i++) {
        free(world->workers[i].ends);
        free(world->workers[i].ended_ms);
        free(world->workers[i].barred);
    }
    free(world->workers);
    for (j = 0; j < StrMap_Count(world->known); j++) {
        free(StrMap_At(world->known, j));
    }
    StrMap_Free(world->known);
    JobSched_Free(world->sched);
    JobState_Free(world->state);
}

void
JobWorld_Run(const JobWorldOptions *options, JobWorldReport *report)
{
    JobSchedOptions sched = JOBSCHED_OPTIONS_DEFAULT;
    World world = {.options = *options,
                   .term = 1,
                   .next_number = 1,
                   .next_job = 1,
                   .report = report};
    uint32_t i;

    memset(report, 0, sizeof(*report));
    sched.stop_ms = STOP_MS;
    sched.status_retention_ms = INT32_MAX;
    Rng_Seed(&world.rng, options->seed);
    world.state = JobState_New();
    world.sched = JobSched_New(&sched, world.state);
    world.known = StrMap_New();
    world.now = 1;
    configure(&world);
    JobSched_Lead(world.sched, world.now, world.term);
    add_workers(&world);
    for (i = 0; i < options->pools * options->lasting_each; i++) {
        submit(&world, i % options->pools, true);
    }
    push(&world, 0, EV_TICK);
    schedule_fault(&world, EV_JOB, options->jobs_per_s);
    schedule_fault(&world, EV_CUT, options->cuts_per_s);
    schedule_fault(&world, EV_CRASH, options->crashes_per_s);
    schedule_fault(&world, EV_LEADER, options->leaders_per_s);
    while (world.heap_count > 0 &&
           world.heap[0]->at < options->length_ms + options->settle_ms &&
           report->violation[0] == '\0') {
        Event *event = pop(&world);
        world.now = event->at;
        Slog_SetTime(world.now, world.now);
        handle(&world, event);
        free_event(event);
        act(&world);
    }
    summarise(&world);
    free_world(&world);
}
