#include "jobsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "slog.h"

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
/* Longest wait of a hold, in percent of the lease that it renews. */
#define SCHED_WAIT_PERCENT 45

static void
learn(void *arg, const Job *job, uint32_t step, int64_t took_ms)
{
    JobSched *sched = arg;

    JobEst_Add(sched->est, job->queue, job->spec.steps[step].estimate_ms,
               took_ms);
}

JobSched *
JobSched_New(const JobSchedOptions *options, JobState *state)
{
    JobSched *sched = Mem_New(1, sizeof(*sched));
    JobStateWatch watch = {sched, SchedImpl_Accepted, learn};

    JobState_Watch(state, &watch);
    sched->options = *options;
    sched->wait_ms = options->hold_wait_ms;
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
        sched->actions = Mem_Resize(
            sched->actions, sched->action_capacity * sizeof(*sched->actions));
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
    SchedProposal *proposal = Mem_New(1, sizeof(*proposal));

    action->command = *command;
    *command = (Buf)BUF_INIT;
    proposal->cookie = action->cookie;
    proposal->kind = kind;
    proposal->row = row;
    proposal->serial = serial;
    proposal->next = sched->proposals;
    sched->proposals = proposal;
}

SchedTarget *
SchedImpl_LiveOf(const JobTarget *target)
{
    return target != NULL ? target->live : NULL;
}

SchedTarget *
SchedImpl_Live(JobSched *sched, JobTarget *target)
{
    SchedTarget *live = target->live;

    if (live == NULL) {
        live = Mem_New(1, sizeof(*live));
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

void
SchedImpl_NoteClock(const JobSched *sched, SchedTarget *live, int64_t now,
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
int64_t
SchedImpl_Grant(const JobSched *sched, SchedTarget *live, int64_t now)
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
int64_t
SchedImpl_LapsedMs(const JobSched *sched, const SchedTarget *live)
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

void
SchedImpl_FillCall(JobAction *action, const JobTarget *target,
                   const SchedTarget *live, int64_t now)
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
            SchedImpl_Unreserve(live, &job->spec.steps[row->task.step]);
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
            SchedImpl_DriveRun(sched, now, &run);
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
        SchedImpl_NoteClock(sched, live, proposal->clock_at_ms,
                            proposal->clock_ms);
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
            live->readmitting = false;
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
    for (i = 0; i < JobState_TargetRows(sched->state); i++) {
        JobTarget *target = JobState_Target(sched->state, i);
        if (target != NULL) {
            SchedImpl_Live(sched, target);
        }
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
    const SchedTarget *live = SchedImpl_LiveOf(target);

    return live != NULL && !target->says.leaving && !live->reborn &&
           !live->readmitting && !live->closed && live->clock_known &&
           live->unanswered < 2 && now >= live->shunned_ms &&
           is_heard(sched, live, now);
}

/* A hold without an answer hides the ends of its target until it is given up,
 * so it waits less where an end is likely soon. */
static int64_t
wait_for(const JobSched *sched, const JobTarget *target)
{
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        if (!JobRun_Step(&target->runs[i])->lasting) {
            return sched->options.short_wait_ms < sched->wait_ms
                       ? sched->options.short_wait_ms
                       : sched->wait_ms;
        }
    }
    return sched->wait_ms;
}

/* Returns whether the target that answers is surely the one whose ends are in
 * the state. Another life counts its ends anew, and would forget some of them
 * for an acknowledgement that is not meant for it. */
static bool
knows_life(const SchedTarget *live)
{
    return live->fenced && live->unanswered == 0 && !live->reborn &&
           !live->readmitting;
}

static void
hold(JobSched *sched, int64_t now, JobTarget *target)
{
    SchedTarget *live = SchedImpl_Live(sched, target);
    JobAction *action = SchedImpl_Action(sched, JOB_ACTION_HOLD);

    SchedImpl_FillCall(action, target, live, now);
    action->ack = knows_life(live) ? target->ends_taken : 0;
    /* A first hold reads at once: the clock has to be known before anything
     * can be granted. */
    action->deadline_ms = live->clock_known && target->run_count > 0
                              ? SchedImpl_Grant(sched, live, now)
                              : 0;
    action->wait_ms = live->fenced && live->clock_known && !live->reborn &&
                              target->run_count > 0
                          ? wait_for(sched, target)
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
        now >= SchedImpl_LapsedMs(sched, live)) {
        SchedImpl_LoseAll(sched, target);
        return;
    }
    if (wanted && !live->holding && !live->ends_proposed &&
        now >= live->hold_due_ms) {
        hold(sched, now, target);
    }
    for (i = 0; i < target->run_count && !live->reborn && !live->readmitting;
         i++) {
        if (live->fenced || live->clock_known) {
            SchedImpl_DriveRun(sched, now, &target->runs[i]);
        }
    }
    if (!wanted && now - live->heard_ms > SCHED_FORGET_MS) {
        SchedImpl_ProposeGone(sched, target, "silent and idle");
        live->heard_ms = now;
    }
}

/* Each hold costs the leader the same, however long the target waits. A lease
 * outlives two waits. */
int64_t
JobSched_HoldWait(const JobSchedOptions *options, uint32_t held)
{
    int64_t wait = (int64_t)held * 1000 / options->holds_per_s;
    int64_t most = options->lease_ms * SCHED_WAIT_PERCENT / 100;

    if (wait > most) {
        wait = most;
    }
    return wait > options->hold_wait_ms ? wait : options->hold_wait_ms;
}

void
JobSched_Tick(JobSched *sched, int64_t now, int64_t wall_ms)
{
    uint32_t held = 0;
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
            held += target->run_count > 0;
        }
    }
    sched->wait_ms = JobSched_HoldWait(&sched->options, held);
    if (now >= sched->expire_ms) {
        Buf command = BUF_INIT;
        sched->expire_ms = now + SCHED_EXPIRE_MS;
        if (JobState_JobCount(sched->state) > 0) {
            JobCmd_Expire(&command, wall_ms - sched->options.status_ms);
            SchedImpl_Propose(sched, SCHED_OTHER, &command, JOB_NO_TARGET, 0);
        }
    }
}
