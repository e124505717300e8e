#include "common_jobs.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "keymap.h"
#include "mem.h"

#define LINE_BYTES 512
#define LABEL_BYTES 128
/* Bounds of the deployments: loss-slack-ms, contact-window-ms, and grace-s
 * with the second after it. */
#define LOSS_SLACK_MS 200
#define CONTACT_WINDOW_MS 3000
#define GRACE_MS 7000

typedef struct TaskRun {
    uint32_t job;
    uint32_t step;
    uint32_t index;
    uint32_t attempt;
    uint64_t target; /* hash of its label */
    uint64_t number; /* number of the end, or 0 */
    int64_t start_ms;
    int64_t end_ms; /* INT64_MAX while it runs */
    bool done;
    bool noted; /* the end was acknowledged while the lease held */
    bool settled;
    size_t next; /* next run of the job, plus 1 */
} TaskRun;

typedef struct Lease {
    uint64_t target;
    int64_t deadline_ms;
} Lease;

typedef struct Fault {
    int64_t from_ms;
    int64_t to_ms;
    char kind[16];
    char node[32];
} Fault;

typedef struct Check {
    const JobCheckOptions *options;
    Keymap *jobs;
    size_t *first; /* first run of each job, plus 1 */
    TaskRun *runs;
    size_t run_count;
    size_t file_begin; /* first run of the current file */
    Lease *leases;     /* of the current file */
    size_t lease_count;
    Fault *faults;
    size_t fault_count;
    size_t broken;
} Check;

bool
JobRecord_IsRefused(const JobRecord *job)
{
    return job->accepted_ms == 0 && job->open == 0 && job->refused > 0;
}

bool
JobRecord_IsOwed(const JobRecord *job)
{
    return job->accepted_ms > 0 && job->cancel_ms == 0;
}

static void
report(Check *check, const JobRecord *job, const TaskRun *run,
       const char *promise, const char *text)
{
    check->broken++;
    printf("BROKEN %s: job %s", promise, job->id);
    if (run != NULL) {
        printf(", task %u.%u, attempt %u, %" PRId64 " to %" PRId64, run->step,
               run->index, run->attempt, run->start_ms,
               run->end_ms == INT64_MAX ? 0 : run->end_ms);
    }
    printf(": %s; requests:%.*s\n", text, (int)job->history.len,
           job->history.len > 0 ? job->history.data : "");
}

/* Splits the name of a task and returns the job's number, or UINT32_MAX. */
static uint32_t
find_task(const Check *check, const char *name, uint32_t *step,
          uint32_t *index)
{
    char id[JOB_RECORD_ID_BYTES];
    uint32_t job;

    if (sscanf(name, "%16[0-9a-f].0.%u.%u", id, step, index) != 3 ||
        !Keymap_Get(check->jobs, Keymap_HashText(id), &job)) {
        return UINT32_MAX;
    }
    return job;
}

static void
read_start(Check *check, const char *line)
{
    char label[LABEL_BYTES];
    char task[LABEL_BYTES];
    char spec[LABEL_BYTES];
    char expected[LABEL_BYTES];
    int64_t ms;
    TaskRun run = {.end_ms = INT64_MAX};

    if (sscanf(line, "START %" SCNd64 " %127s %127s %u %*u %127s", &ms, label,
               task, &run.attempt, spec) != 5) {
        return;
    }
    run.start_ms = ms;
    run.job = find_task(check, task, &run.step, &run.index);
    if (run.job == UINT32_MAX) {
        check->broken++;
        printf("BROKEN asked: a start of a job that nobody submitted: %s",
               line);
        return;
    }
    run.target = Keymap_HashText(label);
    run.next = check->first[run.job];
    check->runs =
        Mem_Resize(check->runs, (check->run_count + 1) * sizeof(*check->runs));
    check->runs[check->run_count++] = run;
    check->first[run.job] = check->run_count;
    snprintf(expected, sizeof(expected), "spec-%s",
             check->options->jobs[run.job].id);
    if (strcmp(spec, expected) != 0) {
        report(check, &check->options->jobs[run.job], &run, "asked",
               "started with the text of another job");
    }
}

static void
read_end(Check *check, const char *line)
{
    char label[LABEL_BYTES];
    char task[LABEL_BYTES];
    char kind[16];
    int64_t ms;
    uint64_t number;
    uint32_t attempt;
    uint32_t step;
    uint32_t index;
    uint32_t job;
    uint64_t target;
    size_t i;

    if (sscanf(line, "END %" SCNd64 " %127s %127s %u %15s %" SCNu64, &ms,
               label, task, &attempt, kind, &number) != 6) {
        return;
    }
    target = Keymap_HashText(label);
    job = find_task(check, task, &step, &index);
    for (i = check->file_begin; i < check->run_count; i++) {
        TaskRun *run = &check->runs[i];
        if (run->target == target && run->job == job && run->step == step &&
            run->index == index && run->attempt == attempt &&
            run->end_ms == INT64_MAX) {
            run->end_ms = ms;
            run->number = number;
            run->done = strcmp(kind, "done") == 0;
            run->settled = !run->done;
        }
    }
}

/* Settles the ends of a target. Those up to number are noted. */
static void
settle_ends(Check *check, uint64_t target, uint64_t number, bool noted)
{
    size_t i;

    for (i = check->file_begin; i < check->run_count; i++) {
        TaskRun *run = &check->runs[i];
        if (run->target == target && run->done && !run->settled &&
            run->number <= number) {
            run->noted = noted;
            run->settled = true;
        }
    }
}

static void
set_lease(Check *check, uint64_t target, int64_t deadline_ms)
{
    size_t i;

    for (i = 0; i < check->lease_count; i++) {
        if (check->leases[i].target == target) {
            check->leases[i].deadline_ms = deadline_ms;
            return;
        }
    }
    check->leases = Mem_Resize(check->leases, (check->lease_count + 1) *
                                                  sizeof(*check->leases));
    check->leases[check->lease_count++] = (Lease){target, deadline_ms};
}

static int64_t
get_lease(const Check *check, uint64_t target)
{
    size_t i;

    for (i = 0; i < check->lease_count; i++) {
        if (check->leases[i].target == target) {
            return check->leases[i].deadline_ms;
        }
    }
    return INT64_MAX;
}

/* Ends the runs of a target that is gone, or of all targets of the file if
 * target is 0. A suspended process was of no effect after its lease. */
static void
end_runs(Check *check, uint64_t target, int64_t ms)
{
    size_t i;

    for (i = check->file_begin; i < check->run_count; i++) {
        TaskRun *run = &check->runs[i];
        int64_t deadline_ms = get_lease(check, run->target);
        if (target != 0 && run->target != target) {
            continue;
        }
        if (run->end_ms == INT64_MAX) {
            run->end_ms = ms < deadline_ms ? ms : deadline_ms;
        }
        run->settled = true;
    }
}

static void
read_event(Check *check, const char *line)
{
    char label[LABEL_BYTES];
    int64_t ms;
    int64_t value = 0;
    uint64_t target;

    if (strncmp(line, "START", 5) == 0) {
        read_start(check, line);
        return;
    }
    if (strncmp(line, "END", 3) == 0) {
        read_end(check, line);
        return;
    }
    if (sscanf(line, "%*s %" SCNd64 " %127s %" SCNd64, &ms, label, &value) <
        2) {
        return;
    }
    target = Keymap_HashText(label);
    switch (line[0]) {
    case 'A':
        settle_ends(check, target, (uint64_t)value, true);
        break;
    case 'L':
        if (line[1] == 'A') {
            settle_ends(check, target, UINT64_MAX, false);
        }
        else {
            set_lease(check, target, value);
        }
        break;
    default:
        end_runs(check, label[0] == '*' ? 0 : target, ms);
        break;
    }
}

static void
read_events(Check *check, const char *name)
{
    FILE *file = fopen(name, "r");
    char line[LINE_BYTES];

    if (file == NULL) {
        check->broken++;
        printf("BROKEN events: %s cannot be read\n", name);
        return;
    }
    check->file_begin = check->run_count;
    check->lease_count = 0;
    while (fgets(line, sizeof(line), file) != NULL) {
        read_event(check, line);
    }
    fclose(file);
}

static void
read_faults(Check *check)
{
    FILE *file = check->options->fault_file != NULL
                     ? fopen(check->options->fault_file, "r")
                     : NULL;
    char line[LINE_BYTES];
    Fault fault;

    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "%" SCNd64 " %" SCNd64 " %15s %31s", &fault.from_ms,
                   &fault.to_ms, fault.kind, fault.node) == 4) {
            check->faults = Mem_Resize(
                check->faults, (check->fault_count + 1) * sizeof(fault));
            check->faults[check->fault_count++] = fault;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
}

static bool
is_disturbed(const Check *check, int64_t from_ms, int64_t to_ms)
{
    size_t i;

    for (i = 0; i < check->fault_count; i++) {
        const Fault *fault = &check->faults[i];
        bool planned = strcmp(fault->kind, "term") == 0 ||
                       strcmp(fault->kind, "hup") == 0;
        if (!planned && fault->from_ms <= to_ms &&
            fault->to_ms >= from_ms - CONTACT_WINDOW_MS) {
            return true;
        }
    }
    return false;
}

/* A planned stop of an entry VM must not cut off a request that it has
 * read. */
static void
check_breaks(Check *check)
{
    char node[32];
    size_t i;
    size_t j;

    for (i = 0; i < check->options->break_count; i++) {
        const JobBreak *cut = &check->options->breaks[i];
        snprintf(node, sizeof(node), "edge-%u", cut->entry);
        for (j = 0; j < check->fault_count; j++) {
            const Fault *fault = &check->faults[j];
            if (strcmp(fault->kind, "term") == 0 &&
                strcmp(fault->node, node) == 0 &&
                cut->broken_ms >= fault->from_ms &&
                cut->broken_ms <= fault->from_ms + GRACE_MS &&
                cut->broken_ms - cut->sent_ms > LOSS_SLACK_MS &&
                !is_disturbed(check, cut->sent_ms, cut->broken_ms)) {
                check->broken++;
                printf("BROKEN stop: %s cut off a request sent at %" PRId64
                       " at %" PRId64 "\n",
                       node, cut->sent_ms, cut->broken_ms);
            }
        }
    }
}

static bool
is_same_task(const TaskRun *a, const TaskRun *b)
{
    return a->step == b->step && a->index == b->index;
}

static void
check_pair(Check *check, const JobRecord *job, const TaskRun *a,
           const TaskRun *b)
{
    if (a->start_ms < b->end_ms && b->start_ms < a->end_ms) {
        report(check, job, a, "once", "two runs at the same time");
    }
    else if ((a->noted && b->start_ms > a->end_ms) ||
             (b->noted && a->start_ms > b->end_ms)) {
        report(check, job, a, "once", "a start after its end was noted");
    }
}

static bool
task_was_done(const Check *check, uint32_t job, uint32_t step, uint32_t index,
              int64_t before_ms)
{
    size_t i;

    for (i = check->first[job]; i != 0; i = check->runs[i - 1].next) {
        const TaskRun *run = &check->runs[i - 1];
        if (run->step == step && run->index == index && run->done &&
            run->end_ms <= before_ms) {
            return true;
        }
    }
    return false;
}

static bool
step_was_done(const Check *check, uint32_t job, uint32_t step,
              int64_t before_ms)
{
    uint32_t i;

    for (i = 0; i < check->options->jobs[job].tasks; i++) {
        if (!task_was_done(check, job, step, i, before_ms)) {
            return false;
        }
    }
    return true;
}

static void
check_run(Check *check, const TaskRun *run)
{
    const JobRecord *job = &check->options->jobs[run->job];
    size_t i;

    if (JobRecord_IsRefused(job)) {
        report(check, job, run, "refused", "a refused job started");
    }
    if (run->step > 0 &&
        !step_was_done(check, run->job, run->step - 1, run->start_ms)) {
        report(check, job, run, "order", "the step before was not done");
    }
    if (job->cancelled_ms > 0 &&
        run->start_ms > job->cancelled_ms + check->options->cancel_limit_ms) {
        report(check, job, run, "cancelled", "a cancelled job started");
    }
    for (i = run->next; i != 0; i = check->runs[i - 1].next) {
        if (is_same_task(run, &check->runs[i - 1])) {
            check_pair(check, job, run, &check->runs[i - 1]);
        }
    }
}

static void
check_job(Check *check, uint32_t number)
{
    const JobRecord *job = &check->options->jobs[number];
    uint32_t step;

    if (JobRecord_IsRefused(job) && job->last_status != 410) {
        report(check, job, NULL, "refused", "a refused job is known");
    }
    if (job->accepted_ms > 0 && job->last_status != 200) {
        report(check, job, NULL, "kept", "an accepted job is not known");
    }
    if (JobRecord_IsOwed(job) && job->phase != JOB_COMPLETED) {
        report(check, job, NULL, "completed",
               job->phase >= JOB_FAILED ? "it failed or was cancelled"
                                        : "it has not ended");
    }
    for (step = 0; job->completed_ms > 0 && step < job->steps; step++) {
        if (!step_was_done(check, number, step, job->completed_ms)) {
            report(check, job, NULL, "completed",
                   "shown as completed before its last end");
        }
    }
}

static void
print_summary(const Check *check)
{
    const JobCheckOptions *options = check->options;
    size_t accepted = 0;
    size_t refused = 0;
    size_t rejected = 0;
    size_t retried = 0;
    size_t cancelled = 0;
    size_t noted = 0;
    size_t i;

    for (i = 0; i < options->job_count; i++) {
        accepted += options->jobs[i].accepted_ms > 0;
        refused += JobRecord_IsRefused(&options->jobs[i]);
        rejected += JobRecord_IsRefused(&options->jobs[i]) &&
                    options->jobs[i].rejected > 0;
        retried += options->jobs[i].open > 0;
        cancelled += options->jobs[i].cancelled_ms > 0;
    }
    for (i = 0; i < check->run_count; i++) {
        noted += check->runs[i].noted;
    }
    printf("jobs %zu, accepted %zu, only refused %zu (429 or 503: %zu), "
           "with open attempts %zu, cancelled %zu, runs %zu, done and noted "
           "%zu, requests cut off %zu, broken promises %zu\n",
           options->job_count, accepted, refused, rejected, retried, cancelled,
           check->run_count, noted, options->break_count, check->broken);
}

size_t
JobCheck_Run(const JobCheckOptions *options)
{
    Check check = {.options = options, .jobs = Keymap_New()};
    uint32_t i;
    size_t run;

    check.first = Mem_New(options->job_count, sizeof(*check.first));
    check.runs = Mem_New(1, sizeof(*check.runs));
    for (i = 0; i < options->job_count; i++) {
        Keymap_Put(check.jobs, Keymap_HashText(options->jobs[i].id), i);
    }
    for (i = 0; i < options->event_file_count; i++) {
        read_events(&check, options->event_files[i]);
    }
    read_faults(&check);
    for (run = 0; run < check.run_count; run++) {
        check_run(&check, &check.runs[run]);
    }
    for (i = 0; i < options->job_count; i++) {
        check_job(&check, i);
    }
    check_breaks(&check);
    print_summary(&check);
    Keymap_Free(check.jobs);
    free(check.first);
    free(check.runs);
    free(check.leases);
    free(check.faults);
    return check.broken;
}
