#include "jobsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "slog.h"

/* A start or stop without an answer is ordered again after this. */
#define SCHED_REPEAT_MS 300
/* An accepted stop whose end does not show is ordered again after this. */
#define SCHED_SETTLED_MS 4000
/* A failed hold is repeated after this. */
#define SCHED_HOLD_RETRY_MS 250
/* Ended jobs are looked through this often. */
#define SCHED_EXPIRE_MS 5000
/* An idle target that was silent for so long has surely ended. */
#define SCHED_FORGET_MS 20000
/* Announcements missed before a target gets no new work. */
#define SCHED_SILENT_BEATS 3
/* Holds that ask an idle target for its clock before its announcement is
 * waited for. */
#define SCHED_ASK_CLOCK 3
/* An order without an answer may be carried out this late. */
#define SCHED_LATE_MS 12000
/* Ends in one list of a target; a longer list may be incomplete. */
#define SCHED_LIST_ENDS 500
/* Runs that fail in a row before a target is set aside, and for how long. */
#define SCHED_SHUN_FAILURES 4
#define SCHED_SHUN_MS 4000

JobSched *
JobSched_New(const JobSchedOptions *options, JobState *state)
{
    JobSched *sched = calloc(1, sizeof(*sched));

    if (sched == NULL) {
        abort();
    }
    sched->options = *options;
    sched->state = state;
    sched->next_cookie = 1;
    sched->next_life = 1;
    sched->est = JobEst_New();
    sched->demand = JobDemand_New();
    return sched;
}

static void
drop_proposals(JobSched *sched)
{
    while (sched->proposals != NULL) {
        SchedProposal *proposal = sched->proposals;
        sched->proposals = proposal->next;
        free(proposal->assignments);
        free(proposal);
    }
}

void
JobSched_Resign(JobSched *sched)
{
    size_t i;

    for (i = sched->action_first; i < sched->action_count; i++) {
        Buf_Free(&sched->actions[i].command);
    }
    sched->action_first = 0;
    sched->action_count = 0;
    drop_proposals(sched);
    JobState_ClearLive(sched->state);
    sched->leads = false;
}

void
JobSched_Free(JobSched *sched)
{
    if (sched != NULL) {
        JobSched_Resign(sched);
        free(sched->actions);
        free(sched->batch);
        JobEst_Free(sched->est);
        JobDemand_Free(sched->demand);
        free(sched);
    }
}

bool
JobSched_Leads(const JobSched *sched)
{
    return sched->leads;
}

const JobSchedCounts *
JobSched_Counts(const JobSched *sched)
{
    return &sched->counts;
}

uint64_t
JobSched_NewFence(JobSched *sched)
{
    return ++sched->fence;
}

/* --- actions --- */

JobAction *
SchedImpl_Action(JobSched *sched, JobActionKind kind)
{
    JobAction *action;

    if (sched->action_first == sched->action_count) {
        sched->action_first = 0;
        sched->action_count = 0;
    }
    if (sched->action_count == sched->action_capacity) {
        sched->action_capacity = sched->action_capacity * 2 + 16;
        sched->actions = realloc(sched->actions, sched->action_capacity *
                                                     sizeof(*sched->actions));
        if (sched->actions == NULL) {
            abort();
        }
    }
    action = &sched->actions[sched->action_count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    action->cookie = sched->next_cookie++;
    return action;
}

bool
JobSched_Next(JobSched *sched, JobAction *action)
{
    if (sched->action_first == sched->action_count) {
        return false;
    }
    *action = sched->actions[sched->action_first++];
    return true;
}

void
SchedImpl_Propose(JobSched *sched, SchedProposalKind kind, Buf *command,
                  uint32_t row, uint64_t serial)
{
    JobAction *action = SchedImpl_Action(sched, JOB_ACTION_PROPOSE);
    SchedProposal *proposal = calloc(1, sizeof(*proposal));

    if (proposal == NULL) {
        abort();
    }
    action->command = *command;
    *command = (Buf)BUF_INIT;
    proposal->cookie = action->cookie;
    proposal->kind = kind;
    proposal->row = row;
    proposal->serial = serial;
    proposal->next = sched->proposals;
    sched->proposals = proposal;
}

static SchedTarget *
live_of(const JobTarget *target)
{
    return target != NULL ? target->live : NULL;
}

SchedTarget *
SchedImpl_Live(JobSched *sched, JobTarget *target)
{
    SchedTarget *live = target->live;

    if (live == NULL) {
        live = calloc(1, sizeof(*live));
        if (live == NULL) {
            abort();
        }
        target->live = live;
        live->fence = sched->fence;
        live->life = sched->next_life++;
        live->heard_ms = sched->now_ms;
    }
    if (live->serial != target->serial) {
        /* A later life: the earlier one's clock says nothing about it. */
        live->serial = target->serial;
        live->clock_known = false;
        live->granted_ms = 0;
        live->failures = 0;
        live->shunned_ms = 0;
    }
    return live;
}

static int64_t
clock_now(const SchedTarget *live, int64_t now)
{
    return live->clock_ms + (now - live->clock_at_ms);
}

static void
note_clock(const JobSched *sched, SchedTarget *live, int64_t now,
           int64_t clock_ms)
{
    if (clock_ms < 0) {
        return;
    }
    if (!live->clock_known) {
        /* An earlier leader may have granted a lease until just now. */
        live->granted_ms = clock_ms + sched->options.lease_ms;
    }
    live->clock_ms = clock_ms;
    live->clock_at_ms = now;
    live->clock_known = true;
}

/* Returns the deadline for a call. A target that does not answer is not
 * granted more: its lease has to run out at some time. */
static int64_t
grant(const JobSched *sched, SchedTarget *live, int64_t now)
{
    int64_t deadline = clock_now(live, now) + sched->options.lease_ms;

    if (live->unanswered > 0 && live->granted_ms > 0) {
        return live->granted_ms;
    }
    if (deadline > live->granted_ms) {
        live->granted_ms = deadline;
    }
    return deadline;
}

/* Returns when everything that runs at a silent target has surely ended. */
static int64_t
lapsed_ms(const JobSched *sched, const SchedTarget *live)
{
    int64_t left;

    if (live->reborn) {
        /* A late order to the earlier life may still reach this one and run
         * for a whole lease. */
        return live->reborn_ms + SCHED_LATE_MS +
               sched->options.lease_ms * (100 + JOBSCHED_CLOCK_DRIFT) / 100;
    }
    if (!live->clock_known) {
        /* Only an earlier leader can have granted a lease. */
        left = sched->options.lease_ms;
        return sched->lead_ms + left * (100 + JOBSCHED_CLOCK_DRIFT) / 100 +
               sched->options.call_ms;
    }
    left = live->granted_ms - live->clock_ms;
    left = left > 0 ? left : 0;
    return live->clock_at_ms + left * (100 + JOBSCHED_CLOCK_DRIFT) / 100 +
           sched->options.stop_ms;
}

static void
fill_call(JobAction *action, const JobTarget *target, const SchedTarget *live,
          int64_t now)
{
    action->row = target->row;
    action->serial = target->serial;
    action->life = live->life;
    snprintf(action->id, sizeof(action->id), "%s", target->says.id);
    snprintf(action->address, sizeof(action->address), "%s",
             target->says.address);
    action->fence = live->fence;
    action->sent_ms = now;
}

/* --- orders for tasks --- */

void
SchedImpl_Start(JobSched *sched, int64_t now, const JobRun *run)
{
    JobTask *task = JobRun_Task(run);
    JobTarget *target = JobState_Target(sched->state, task->target);
    SchedTarget *live = SchedImpl_Live(sched, target);
    JobAction *action;

    if (!live->clock_known || live->reborn) {
        /* The next hold tells the clock. */
        task->live.phase = JOB_LIVE_STARTING;
        task->live.calling = false;
        return;
    }
    action = SchedImpl_Action(sched, JOB_ACTION_START);
    fill_call(action, target, live, now);
    action->task = JobRun_Ref(run);
    action->attempt = task->attempt;
    action->deadline_ms = grant(sched, live, now);
    action->text = run->job->spec.text;
    action->checkpoint = task->checkpoint;
    task->live.phase = JOB_LIVE_STARTING;
    task->live.since_ms = now;
    task->live.calling = true;
    sched->counts.calls++;
}

static void
stop_task(JobSched *sched, int64_t now, JobTarget *target,
          const JobTaskRef *ref, uint32_t attempt)
{
    SchedTarget *live = SchedImpl_Live(sched, target);
    JobAction *action = SchedImpl_Action(sched, JOB_ACTION_STOP);

    fill_call(action, target, live, now);
    action->task = *ref;
    action->attempt = attempt;
    sched->counts.calls++;
}

static void
stop_run(JobSched *sched, int64_t now, const JobRun *run)
{
    JobTask *task = JobRun_Task(run);
    JobTaskRef ref = JobRun_Ref(run);

    task->live.phase = JOB_LIVE_STOPPING;
    task->live.since_ms = now;
    task->live.calling = true;
    task->live.settled = false;
    stop_task(sched, now, JobState_Target(sched->state, task->target), &ref,
              task->attempt);
}

static bool
is_unwanted(const JobRun *run)
{
    return run->job->phase >= JOB_COMPLETED ||
           JobRun_Task(run)->live.must_stop;
}

/* Orders what a run at a target needs now. */
static void
drive_run(JobSched *sched, int64_t now, const JobRun *run)
{
    JobTask *task = JobRun_Task(run);
    bool due = now - task->live.since_ms >= SCHED_REPEAT_MS;

    if (task->live.calling &&
        now - task->live.since_ms < sched->options.call_ms * 2) {
        return;
    }
    if (is_unwanted(run)) {
        /* After an accepted stop the next hold that is sent shows the end;
         * a further stop would only put that off. */
        due = due && (!task->live.settled ||
                      now - task->live.since_ms >= SCHED_SETTLED_MS);
        if (task->live.phase != JOB_LIVE_STOPPING || due) {
            stop_run(sched, now, run);
        }
        return;
    }
    if (task->live.phase == JOB_LIVE_NONE ||
        (task->live.phase == JOB_LIVE_STARTING && due)) {
        SchedImpl_Start(sched, now, run);
    }
}

/* --- ends --- */

static void
note_end(const JobEnd *end, const JobTarget *target)
{
    static const char *const names[] = {"done",    "failed", "stopped",
                                        "lapsed",  "broken", "alone",
                                        "refused", "lost"};

    Slog_Begin(end->kind == JOB_END_DONE ? SLOG_ROUTINE : SLOG_FAILURE,
               "run_ended");
    Slog_Task(end->task.job, end->task.occurrence, end->task.step,
              end->task.index);
    Slog_Int("attempt", end->attempt);
    Slog_Text("how", names[end->kind]);
    Slog_Text("target", target->says.id);
    Slog_Int("number", (int64_t)end->number);
    Slog_End();
}

static void
propose_ends(JobSched *sched, JobTarget *target, const JobEnd *ends,
             size_t count)
{
    Buf command = BUF_INIT;
    size_t i;

    for (i = 0; i < count; i++) {
        note_end(&ends[i], target);
    }
    JobCmd_Ends(&command, target->row, target->serial, sched->wall_ms, ends,
                count);
    SchedImpl_Propose(sched, SCHED_ENDS, &command, target->row,
                      target->serial);
    SchedImpl_Live(sched, target)->ends_proposed = true;
}

/* Ends one run that the target does not list. */
static void
end_unlisted(JobSched *sched, JobTarget *target, const JobRun *run,
             JobEndKind kind)
{
    JobEnd end = {JobRun_Ref(run), JobRun_Task(run)->attempt, kind, 0, ""};

    if (kind == JOB_END_LOST) {
        sched->counts.lost++;
    }
    else {
        sched->counts.refused++;
    }
    propose_ends(sched, target, &end, 1);
}

static void
lose_all(JobSched *sched, JobTarget *target)
{
    JobEnd *ends = calloc(target->run_count + 1, sizeof(*ends));
    uint32_t i;

    if (ends == NULL) {
        abort();
    }
    for (i = 0; i < target->run_count; i++) {
        ends[i].task = JobRun_Ref(&target->runs[i]);
        ends[i].attempt = JobRun_Task(&target->runs[i])->attempt;
        ends[i].kind = JOB_END_LOST;
        ends[i].checkpoint = "";
    }
    sched->counts.lost += target->run_count;
    propose_ends(sched, target, ends, target->run_count);
    free(ends);
}

/* --- announcements --- */

static bool
same_content(const JobAnnouncement *a, const JobAnnouncement *b)
{
    uint32_t i;

    if (strcmp(a->address, b->address) != 0 || strcmp(a->pool, b->pool) != 0 ||
        strcmp(a->vm, b->vm) != 0 ||
        strcmp(a->data_centre, b->data_centre) != 0 ||
        a->leaving != b->leaving || a->label_count != b->label_count ||
        a->room.cpu != b->room.cpu || a->room.memory_mb != b->room.memory_mb ||
        a->room.accelerators != b->room.accelerators || a->born != b->born) {
        return false;
    }
    for (i = 0; i < a->label_count; i++) {
        if (strcmp(a->labels[i], b->labels[i]) != 0) {
            return false;
        }
    }
    return true;
}

static void
propose_target(JobSched *sched, const JobAnnouncement *says, JobTarget *target)
{
    Buf command = BUF_INIT;

    Slog_Begin(SLOG_CHANGE, target == NULL ? "target_new" : "target_changed");
    Slog_Text("target", says->id);
    Slog_Text("address", says->address);
    Slog_Text("pool", says->pool);
    Slog_Text("vm", says->vm);
    Slog_Int("leaving", says->leaving);
    Slog_Int("born", (int64_t)says->born);
    Slog_End();
    JobCmd_Target(&command, says);
    SchedImpl_Propose(sched, SCHED_TARGET, &command,
                      target != NULL ? target->row : JOB_NO_TARGET,
                      target != NULL ? target->serial : 0);
    if (target == NULL) {
        SchedProposal *proposal = sched->proposals;
        snprintf(proposal->id, sizeof(proposal->id), "%s", says->id);
        proposal->clock_ms = says->clock_ms;
        proposal->clock_at_ms = sched->now_ms;
    }
}

static void
propose_gone(JobSched *sched, JobTarget *target, const char *why)
{
    Buf command = BUF_INIT;

    Slog_Begin(SLOG_CHANGE, "target_gone");
    Slog_Text("target", target->says.id);
    Slog_Text("why", why);
    Slog_Int("runs", target->run_count);
    Slog_End();
    JobCmd_TargetGone(&command, target->row, target->serial);
    SchedImpl_Propose(sched, SCHED_OTHER, &command, target->row,
                      target->serial);
}

/* A VM has one target at a time: an earlier one has ended. */
static void
end_predecessor(JobSched *sched, const JobAnnouncement *says)
{
    uint32_t i;

    for (i = 0; says->vm[0] != '\0' && i < JobState_TargetRows(sched->state);
         i++) {
        JobTarget *other = JobState_Target(sched->state, i);
        if (other != NULL && strcmp(other->says.vm, says->vm) == 0 &&
            strcmp(other->says.id, says->id) != 0 &&
            other->says.born < says->born) {
            propose_gone(sched, other, "its VM runs a later target");
        }
    }
}

/* A later life of a target under the same id is checked by a hold under a
 * new fence, so that no order to the earlier life takes effect any more. */
static void
begin_rebirth(JobSched *sched, int64_t now, JobTarget *target, uint64_t born)
{
    SchedTarget *live = SchedImpl_Live(sched, target);

    if (live->reborn && live->reborn_at >= born) {
        return;
    }
    Slog_Begin(SLOG_CHANGE, "target_reborn");
    Slog_Text("target", target->says.id);
    Slog_Int("born", (int64_t)born);
    Slog_Int("before", (int64_t)target->says.born);
    Slog_End();
    live->reborn = true;
    live->reborn_ms = now;
    live->reborn_at = born;
    live->life = sched->next_life++;
    live->fence = JobSched_NewFence(sched);
    live->fenced = false;
    live->holding = false;
    live->clock_known = false;
    live->hold_due_ms = now;
}

static bool
announce_known(JobSched *sched, int64_t now, JobTarget *target,
               const JobAnnouncement *says)
{
    SchedTarget *live = SchedImpl_Live(sched, target);
    JobAnnouncement next = *says;

    if (says->born < target->says.born ||
        (says->born == target->says.born && says->order < live->order)) {
        return true; /* it was overtaken */
    }
    if (says->born > target->says.born) {
        begin_rebirth(sched, now, target, says->born);
        live->heard_ms = now;
        if (target->run_count == 0 && !live->storing) {
            live->storing = true;
            propose_target(sched, &next, target);
        }
        return true;
    }
    live->order = says->order;
    live->heard_ms = now;
    if (!live->reborn) {
        note_clock(sched, live, now, says->clock_ms);
    }
    if (same_content(&target->says, says)) {
        return true;
    }
    if (target->says.leaving && !says->leaving) {
        next.leaving = true;
        if (same_content(&target->says, &next)) {
            return true;
        }
    }
    if (!live->storing) {
        live->storing = true;
        propose_target(sched, &next, target);
    }
    return false;
}

bool
JobSched_Announce(JobSched *sched, int64_t now, const JobAnnouncement *says)
{
    JobTarget *target = JobState_FindTarget(sched->state, says->id);
    SchedProposal *proposal;

    sched->now_ms = now;
    if (target != NULL) {
        return announce_known(sched, now, target, says);
    }
    for (proposal = sched->proposals; proposal != NULL;
         proposal = proposal->next) {
        if (proposal->kind == SCHED_TARGET && proposal->row == JOB_NO_TARGET &&
            proposal->serial == says->born) {
            return false; /* on its way */
        }
    }
    end_predecessor(sched, says);
    propose_target(sched, says, NULL);
    return false;
}

void
JobSched_Left(JobSched *sched, int64_t now, const char *id)
{
    JobTarget *target = JobState_FindTarget(sched->state, id);

    (void)now;
    if (target != NULL) {
        propose_gone(sched, target, "it left");
    }
}

/* --- answers of targets --- */

static const JobRunning *
find_running(const JobCallAnswer *answer, const JobTaskRef *ref,
             uint32_t attempt)
{
    size_t i;

    for (i = 0; i < answer->running_count; i++) {
        const JobRunning *row = &answer->running[i];
        if (row->attempt == attempt && row->task.index == ref->index &&
            row->task.step == ref->step &&
            row->task.occurrence == ref->occurrence &&
            strcmp(row->task.job, ref->job) == 0) {
            return row;
        }
    }
    return NULL;
}

static bool
is_listed_end(const JobCallAnswer *answer, const JobTaskRef *ref,
              uint32_t attempt)
{
    size_t i;

    for (i = 0; i < answer->end_count; i++) {
        const JobEnd *row = &answer->ends[i];
        if (row->attempt == attempt && row->task.index == ref->index &&
            row->task.step == ref->step &&
            row->task.occurrence == ref->occurrence &&
            strcmp(row->task.job, ref->job) == 0) {
            return true;
        }
    }
    return false;
}

/* Stops what runs there without being assigned there. */
static size_t
stop_strays(JobSched *sched, int64_t now, JobTarget *target,
            const JobCallAnswer *answer, bool all)
{
    size_t strays = 0;
    size_t i;

    for (i = 0; i < answer->running_count; i++) {
        const JobRunning *row = &answer->running[i];
        Job *job;
        JobTask *task = JobState_Task(sched->state, &row->task, &job);
        if (!all && task != NULL && task->state == JOB_TASK_ASSIGNED &&
            task->target == target->row && task->attempt == row->attempt) {
            continue;
        }
        strays++;
        Slog_Begin(SLOG_FAILURE, "stray_run");
        Slog_Task(row->task.job, row->task.occurrence, row->task.step,
                  row->task.index);
        Slog_Int("attempt", row->attempt);
        Slog_Text("target", target->says.id);
        Slog_End();
        stop_task(sched, now, target, &row->task, row->attempt);
    }
    return strays;
}

static void
note_running(JobTask *task, const JobRunning *row, int64_t now)
{
    if (task->live.phase != JOB_LIVE_STOPPING &&
        task->live.phase != JOB_LIVE_RUNNING) {
        task->live.phase = JOB_LIVE_RUNNING;
        task->live.since_ms = now;
        task->live.calling = false;
    }
    task->live.percent = (uint8_t)(row->percent > 100 ? 100 : row->percent);
    task->live.load = row->load;
}

/* Compares the lists of a target with what is assigned to it. */
static void
reconcile(JobSched *sched, int64_t now, JobTarget *target,
          const JobAction *call, const JobCallAnswer *answer)
{
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        JobTask *task = JobRun_Task(run);
        JobTaskRef ref = JobRun_Ref(run);
        const JobRunning *row = find_running(answer, &ref, task->attempt);
        if (row != NULL) {
            note_running(task, row, now);
            continue;
        }
        if (task->live.calling || task->live.since_ms >= call->sent_ms ||
            task->live.phase < JOB_LIVE_RUNNING ||
            answer->end_count >= SCHED_LIST_ENDS ||
            is_listed_end(answer, &ref, task->attempt)) {
            continue;
        }
        end_unlisted(sched, target, run,
                     task->live.phase == JOB_LIVE_STOPPING ? JOB_END_STOPPED
                                                           : JOB_END_LOST);
        task->live.since_ms = now;
    }
}

static void
learn(JobSched *sched, const JobEnd *end, int64_t now)
{
    Job *job;
    const JobTask *task = JobState_Task(sched->state, &end->task, &job);

    if (task != NULL && task->attempt == end->attempt &&
        task->live.phase == JOB_LIVE_RUNNING && task->checkpoint == NULL) {
        JobEst_Add(sched->est, job->queue,
                   job->spec.steps[end->task.step].estimate_ms,
                   now - task->live.since_ms);
    }
}

static void
count_end(JobSched *sched, SchedTarget *live, const JobTarget *target,
          const JobEnd *end, int64_t now)
{
    if (end->kind == JOB_END_DONE) {
        sched->counts.done++;
        live->failures = 0;
        learn(sched, end, now);
    }
    else if (end->kind == JOB_END_FAILED) {
        sched->counts.failed++;
        live->failures++;
        if (live->failures >= SCHED_SHUN_FAILURES) {
            live->shunned_ms = now + SCHED_SHUN_MS;
            Slog_Begin(SLOG_CHANGE, "target_set_aside");
            Slog_Text("target", target->says.id);
            Slog_Int("failures", live->failures);
            Slog_End();
        }
    }
}

static void
take_ends(JobSched *sched, int64_t now, JobTarget *target,
          const JobCallAnswer *answer)
{
    SchedTarget *live = live_of(target);
    size_t i;

    if (answer->end_count == 0 || live->ends_proposed ||
        answer->ends[answer->end_count - 1].number <= target->ends_taken) {
        return;
    }
    for (i = 0; i < answer->end_count; i++) {
        if (answer->ends[i].number > target->ends_taken) {
            count_end(sched, live, target, &answer->ends[i], now);
        }
    }
    propose_ends(sched, target, answer->ends, answer->end_count);
}

/* Finishes the check of a later life: what it ran for the earlier one's
 * assignments is ended before they are released. */
static void
finish_rebirth(JobSched *sched, int64_t now, JobTarget *target,
               const JobCallAnswer *answer)
{
    SchedTarget *live = live_of(target);
    JobAnnouncement says = target->says;

    if (stop_strays(sched, now, target, answer, true) > 0) {
        live->hold_due_ms = now + sched->options.stop_ms;
        return;
    }
    if (answer->end_count > 0) {
        JobEnd *ends = malloc(answer->end_count * sizeof(*ends));
        size_t i;
        if (ends == NULL) {
            abort();
        }
        for (i = 0; i < answer->end_count; i++) {
            ends[i] = answer->ends[i];
            ends[i].number = 0;
        }
        propose_ends(sched, target, ends, answer->end_count);
        free(ends);
    }
    says.born = live->reborn_at;
    says.leaving = false;
    live->reborn = false;
    live->storing = true;
    propose_target(sched, &says, target);
}

static void
hold_answered(JobSched *sched, int64_t now, JobTarget *target,
              const JobAction *call, const JobCallAnswer *answer)
{
    SchedTarget *live = live_of(target);

    live->fenced = true;
    if (answer->born > target->says.born && !live->reborn) {
        begin_rebirth(sched, now, target, answer->born);
        return;
    }
    if (live->reborn) {
        finish_rebirth(sched, now, target, answer);
        return;
    }
    if (call->ack >= target->ends_taken) {
        live->ack_due = false;
    }
    stop_strays(sched, now, target, answer, false);
    take_ends(sched, now, target, answer);
    reconcile(sched, now, target, call, answer);
    /* While ends are on their way through the log a further hold would only
     * list them again. */
    live->hold_due_ms = now;
}

static void
start_answered(JobSched *sched, int64_t now, JobTarget *target,
               const JobAction *call, const JobCallAnswer *answer)
{
    Job *job;
    JobTask *task = JobState_Task(sched->state, &call->task, &job);
    SchedTarget *live = live_of(target);
    JobRun run = {job, call->task.occurrence, call->task.step,
                  call->task.index};

    if (task == NULL || task->state != JOB_TASK_ASSIGNED ||
        task->target != call->row || task->attempt != call->attempt ||
        task->live.phase != JOB_LIVE_STARTING) {
        return;
    }
    task->live.calling = false;
    switch (answer->outcome) {
    case JOB_CALL_OK:
        task->live.phase = JOB_LIVE_RUNNING;
        task->live.since_ms = now;
        sched->counts.started++;
        Slog_Begin(SLOG_ROUTINE, "run_started");
        Slog_Task(call->task.job, call->task.occurrence, call->task.step,
                  call->task.index);
        Slog_Int("attempt", call->attempt);
        Slog_Text("target", target->says.id);
        Slog_End();
        break;
    case JOB_CALL_NO_ROOM:
    case JOB_CALL_LATE:
    case JOB_CALL_OLD:
    case JOB_CALL_INVALID:
        Slog_Begin(SLOG_FAILURE, "start_refused");
        Slog_Task(call->task.job, call->task.occurrence, call->task.step,
                  call->task.index);
        Slog_Int("attempt", call->attempt);
        Slog_Text("target", target->says.id);
        Slog_Int("outcome", answer->outcome);
        Slog_End();
        /* An earlier copy of this order may have started it: a stop settles
         * whether it runs. */
        task->live.must_stop = true;
        stop_run(sched, now, &run);
        break;
    case JOB_CALL_UNHEALTHY:
        live->unanswered++;
        task->live.must_stop = true;
        stop_run(sched, now, &run);
        break;
    case JOB_CALL_FENCED:
    case JOB_CALL_OTHER_INSTANCE:
    case JOB_CALL_NO_ANSWER:
        break;
    }
}

static void
stop_answered(JobSched *sched, int64_t now, const JobAction *call,
              const JobCallAnswer *answer)
{
    Job *job;
    JobTask *task = JobState_Task(sched->state, &call->task, &job);

    if (task == NULL || task->state != JOB_TASK_ASSIGNED ||
        task->target != call->row || task->attempt != call->attempt ||
        task->live.phase != JOB_LIVE_STOPPING) {
        return;
    }
    if (answer->outcome == JOB_CALL_OK) {
        /* The next hold lists its end, or shows that it never ran. */
        task->live.calling = false;
        task->live.settled = true;
        task->live.since_ms = now;
    }
    else if (answer->outcome != JOB_CALL_NO_ANSWER) {
        task->live.calling = false;
    }
}

void
JobSched_Answered(JobSched *sched, int64_t now, const JobAction *call,
                  const JobCallAnswer *answer)
{
    JobTarget *target = JobState_Target(sched->state, call->row);
    SchedTarget *live;

    sched->now_ms = now;
    if (!sched->leads || target == NULL || target->serial != call->serial) {
        return;
    }
    live = SchedImpl_Live(sched, target);
    if (live->life != call->life) {
        return;
    }
    if (call->kind == JOB_ACTION_HOLD) {
        live->holding = false;
        live->hold_due_ms = now + SCHED_HOLD_RETRY_MS;
    }
    if (answer->outcome == JOB_CALL_NO_ANSWER) {
        live->unanswered++;
        sched->counts.unanswered++;
    }
    else if (answer->outcome == JOB_CALL_OTHER_INSTANCE) {
        propose_gone(sched, target, "another target has its address");
        return;
    }
    else {
        live->unanswered = 0;
        live->heard_ms = now;
        live->answered_ms = now;
        note_clock(sched, live, now, answer->clock_ms);
    }
    switch (call->kind) {
    case JOB_ACTION_START:
        start_answered(sched, now, target, call, answer);
        break;
    case JOB_ACTION_STOP:
        stop_answered(sched, now, call, answer);
        break;
    case JOB_ACTION_HOLD:
        if (answer->outcome == JOB_CALL_OK) {
            hold_answered(sched, now, target, call, answer);
        }
        break;
    case JOB_ACTION_PACE:
    case JOB_ACTION_PROPOSE:
        break;
    }
}

/* --- the log --- */

static SchedProposal *
take_proposal(JobSched *sched, uint64_t cookie)
{
    SchedProposal **at = &sched->proposals;

    while (*at != NULL && (*at)->cookie != cookie) {
        at = &(*at)->next;
    }
    if (*at != NULL) {
        SchedProposal *found = *at;
        *at = found->next;
        return found;
    }
    return NULL;
}

static void
assigned(JobSched *sched, int64_t now, const SchedProposal *proposal)
{
    size_t i;

    for (i = 0; i < proposal->assignment_count; i++) {
        const JobAssignment *row = &proposal->assignments[i];
        JobTarget *target = JobState_Target(sched->state, row->target);
        Job *job;
        JobTask *task = JobState_Task(sched->state, &row->task, &job);
        if (target != NULL && target->serial == row->serial && job != NULL) {
            SchedTarget *live = SchedImpl_Live(sched, target);
            const JobStep *step = &job->spec.steps[row->task.step];
            live->reserved.cpu -= step->leftover ? 0 : step->need.cpu;
            live->reserved.memory_mb -= step->need.memory_mb;
            live->reserved.accelerators -= step->need.accelerators;
            live->reserved_count--;
        }
        if (task == NULL || job == NULL ||
            task->live.phase != JOB_LIVE_PROPOSED) {
            continue;
        }
        task->live.phase = JOB_LIVE_NONE;
        if (task->state == JOB_TASK_ASSIGNED && task->target == row->target &&
            task->attempt == row->attempt) {
            JobRun run = {job, row->task.occurrence, row->task.step,
                          row->task.index};
            drive_run(sched, now, &run);
        }
        else {
            job->has_waiting = true;
        }
    }
}

/* A new target can be used at once, by the clock of its announcement. */
static void
stored(JobSched *sched, const SchedProposal *proposal)
{
    JobTarget *target = JobState_FindTarget(sched->state, proposal->id);
    SchedTarget *live;

    if (target == NULL) {
        return;
    }
    live = SchedImpl_Live(sched, target);
    if (!live->clock_known) {
        note_clock(sched, live, proposal->clock_at_ms, proposal->clock_ms);
    }
}

void
JobSched_Proposed(JobSched *sched, int64_t now, uint64_t cookie, Status status)
{
    SchedProposal *proposal = take_proposal(sched, cookie);
    JobTarget *target;
    SchedTarget *live;

    (void)status;
    if (proposal == NULL) {
        return;
    }
    sched->now_ms = now;
    if (sched->leads && proposal->id[0] != '\0') {
        stored(sched, proposal);
    }
    target = JobState_Target(sched->state, proposal->row);
    if (sched->leads && proposal->kind == SCHED_ASSIGN) {
        assigned(sched, now, proposal);
    }
    else if (sched->leads && target != NULL) {
        live = SchedImpl_Live(sched, target);
        if (proposal->kind == SCHED_ENDS) {
            live->ends_proposed = false;
            live->ack_due = true;
            live->hold_due_ms = now;
        }
        if (proposal->kind == SCHED_TARGET) {
            live->storing = false;
        }
    }
    free(proposal->assignments);
    free(proposal);
}

/* --- time --- */

void
JobSched_Lead(JobSched *sched, int64_t now, uint64_t term)
{
    uint32_t i;

    JobSched_Resign(sched);
    sched->leads = true;
    sched->term = term;
    sched->fence = term << SCHED_FENCE_BITS;
    sched->lead_ms = now;
    sched->now_ms = now;
    JobDemand_Clear(sched->demand, now);
    for (i = 0; i < JobState_TargetRows(sched->state); i++) {
        JobTarget *target = JobState_Target(sched->state, i);
        if (target != NULL) {
            SchedImpl_Live(sched, target);
        }
    }
}

/* --- for the planner of moves --- */

void
JobSched_Accepted(JobSched *sched, int64_t now, const Job *job)
{
    int64_t work = 0;
    uint32_t i;

    for (i = 0; i < job->spec.step_count; i++) {
        const JobStep *step = &job->spec.steps[i];
        if (!step->lasting) {
            work += (int64_t)step->count * step->need.cpu *
                    JobEst_Predict(sched->est, job->queue, step->estimate_ms);
        }
    }
    if (work > 0) {
        JobDemand_Add(sched->demand, now, job->pool, work);
    }
}

static int64_t
waiting_cpu(const Job *job)
{
    int64_t cpu = 0;
    uint32_t k = job->first_open;
    uint32_t step;
    uint32_t i;

    for (step = 0; step < job->spec.step_count; step++) {
        const JobStep *spec = &job->spec.steps[step];
        const JobTask *tasks = job->occurrences[k].tasks;
        if (!Job_StepReady(job, k, step)) {
            continue;
        }
        for (i = 0; i < spec->count; i++) {
            if (tasks == NULL ||
                tasks[job->step_first[step] + i].state == JOB_TASK_WAITING) {
                cpu += spec->need.cpu;
            }
        }
    }
    return cpu;
}

void
JobSched_PoolLoad(const JobSched *sched, int64_t now, const char *pool,
                  int64_t ahead_ms, JobPoolLoad *load)
{
    const Job *job;
    uint32_t i;
    uint32_t j;

    memset(load, 0, sizeof(*load));
    for (i = 0; i < JobState_TargetRows(sched->state); i++) {
        const JobTarget *target = JobState_Target(sched->state, i);
        if (target == NULL || strcmp(target->says.pool, pool) != 0) {
            continue;
        }
        load->used += target->used.cpu;
        for (j = 0; j < target->run_count; j++) {
            const JobStep *step = JobRun_Step(&target->runs[j]);
            load->lasting += step->lasting ? step->need.cpu : 0;
        }
    }
    for (job = JobState_FirstActive(sched->state); job != NULL;
         job = job->next) {
        if (job->has_waiting && job->phase < JOB_COMPLETED &&
            job->first_open < job->occurrence_count &&
            strcmp(job->pool, pool) == 0) {
            load->waiting += waiting_cpu(job);
        }
    }
    load->arriving = JobDemand_Rate(sched->demand, now, pool, 1000);
    load->forecast =
        JobDemand_Forecast(sched->demand, now, pool, now, now + ahead_ms);
    load->rising = JobDemand_Rising(sched->demand, now, pool, ahead_ms);
    load->period_ms = JobDemand_Period(sched->demand, now, pool);
}

void
JobSched_Close(JobSched *sched, const JobTarget *target, bool closed)
{
    SchedTarget *live = live_of(target);

    (void)sched;
    if (live != NULL) {
        live->closed = closed;
    }
}

bool
JobSched_IsIdle(const JobSched *sched, const JobTarget *target)
{
    const SchedTarget *live = live_of(target);

    (void)sched;
    return target->run_count == 0 &&
           (live == NULL || live->reserved_count == 0);
}

bool
JobSched_IsExpendable(const JobSched *sched, const JobTarget *target)
{
    const SchedTarget *live = live_of(target);
    uint32_t i;

    (void)sched;
    for (i = 0; i < target->run_count; i++) {
        if (JobRun_Step(&target->runs[i])->max_unavailable > 0) {
            return false;
        }
    }
    return live == NULL || live->reserved_count == 0;
}

/* Returns whether a lasting task is known to be at work now: what a silent
 * target listed last says nothing. */
static bool
is_at_work(const JobSched *sched, int64_t now, const JobTask *task)
{
    const SchedTarget *live;

    if (task->state != JOB_TASK_ASSIGNED ||
        task->live.phase != JOB_LIVE_RUNNING || task->live.percent < 100 ||
        task->live.must_stop) {
        return false;
    }
    live = live_of(JobState_Target(sched->state, task->target));
    return live != NULL && live->unanswered == 0 &&
           now - live->answered_ms <
               sched->options.hold_wait_ms + sched->options.call_ms;
}

static bool
may_stop(const JobSched *sched, int64_t now, const JobRun *run)
{
    const JobStep *step = JobRun_Step(run);
    const JobTask *tasks = run->job->occurrences[run->occurrence].tasks +
                           run->job->step_first[run->step];
    uint32_t away = 0;
    uint32_t i;

    if (step->max_unavailable == 0 || run->job->phase >= JOB_COMPLETED) {
        return true;
    }
    for (i = 0; i < step->count; i++) {
        away += !is_at_work(sched, now, &tasks[i]);
    }
    return away < step->max_unavailable;
}

void
JobSched_Evacuate(JobSched *sched, int64_t now, JobTarget *target)
{
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        const JobRun *run = &target->runs[i];
        JobTask *task = JobRun_Task(run);
        if (!JobRun_Step(run)->lasting || task->live.must_stop ||
            !may_stop(sched, now, run)) {
            continue;
        }
        task->live.must_stop = true;
        Slog_Begin(SLOG_CHANGE, "run_evacuated");
        Slog_Task(run->job->id, run->occurrence, run->step, run->index);
        Slog_Text("target", target->says.id);
        Slog_End();
        stop_run(sched, now, run);
    }
}

void
JobSched_Ended(JobSched *sched, const JobTarget *target)
{
    JobTarget *row = JobState_Target(sched->state, target->row);

    if (row != NULL) {
        propose_gone(sched, row, "its VM was ordered away");
    }
}

static bool
is_heard(const JobSched *sched, const SchedTarget *live, int64_t now)
{
    return now - live->heard_ms <
           SCHED_SILENT_BEATS * sched->options.announce_ms;
}

bool
JobSched_IsUsable(const JobSched *sched, const JobTarget *target, int64_t now)
{
    const SchedTarget *live = live_of(target);

    return live != NULL && !target->says.leaving && !live->reborn &&
           !live->closed && live->clock_known && live->unanswered < 2 &&
           now >= live->shunned_ms && is_heard(sched, live, now);
}

static void
hold(JobSched *sched, int64_t now, JobTarget *target)
{
    SchedTarget *live = SchedImpl_Live(sched, target);
    JobAction *action = SchedImpl_Action(sched, JOB_ACTION_HOLD);

    fill_call(action, target, live, now);
    action->ack = live->reborn ? 0 : target->ends_taken;
    /* A first hold reads at once: the clock has to be known before anything
     * can be granted. */
    action->deadline_ms = live->clock_known && target->run_count > 0
                              ? grant(sched, live, now)
                              : 0;
    action->wait_ms = live->fenced && live->clock_known && !live->reborn &&
                              target->run_count > 0
                          ? sched->options.hold_wait_ms
                          : 0;
    live->holding = true;
    sched->counts.holds++;
}

static void
drive_target(JobSched *sched, int64_t now, JobTarget *target)
{
    SchedTarget *live = SchedImpl_Live(sched, target);
    bool wanted = target->run_count > 0 || live->reborn || live->ack_due ||
                  (!live->clock_known && live->unanswered < SCHED_ASK_CLOCK) ||
                  (live->unanswered > 0 && is_heard(sched, live, now));
    uint32_t i;

    if (target->run_count > 0 && !live->ends_proposed &&
        now >= lapsed_ms(sched, live)) {
        lose_all(sched, target);
        return;
    }
    if (wanted && !live->holding && !live->ends_proposed &&
        now >= live->hold_due_ms) {
        hold(sched, now, target);
    }
    for (i = 0; i < target->run_count && !live->reborn; i++) {
        if (live->fenced || live->clock_known) {
            drive_run(sched, now, &target->runs[i]);
        }
    }
    if (!wanted && now - live->heard_ms > SCHED_FORGET_MS) {
        propose_gone(sched, target, "silent and idle");
        live->heard_ms = now;
    }
}

void
JobSched_Tick(JobSched *sched, int64_t now, int64_t wall_ms)
{
    uint32_t i;

    sched->wall_ms = wall_ms;
    sched->now_ms = now;
    if (!sched->leads) {
        return;
    }
    for (i = 0; i < JobState_TargetRows(sched->state); i++) {
        JobTarget *target = JobState_Target(sched->state, i);
        if (target != NULL) {
            drive_target(sched, now, target);
        }
    }
    if (now >= sched->expire_ms) {
        Buf command = BUF_INIT;
        sched->expire_ms = now + SCHED_EXPIRE_MS;
        if (JobState_JobCount(sched->state) > 0) {
            JobCmd_Expire(&command, wall_ms - sched->options.status_ms);
            SchedImpl_Propose(sched, SCHED_OTHER, &command, JOB_NO_TARGET, 0);
        }
    }
}
