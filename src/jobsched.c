#include "jobsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "slog.h"

/* Interval at which ended jobs and early cancellations are expired. */
#define SCHED_EXPIRE_INTERVAL_MS 5000
/* Silence after which an idle target is removed; it has certainly ended. */
#define SCHED_SILENT_REMOVAL_MS 20000
/* Missed announcements after which a target gets no new tasks. */
#define SCHED_MISSED_ANNOUNCEMENTS 3
/* Unanswered holds after which an idle target whose clock is unknown gets no
 * further hold until it announces itself. */
#define SCHED_MAX_CLOCK_HOLDS 3
/* Longest delay after which an unanswered call may still take effect. */
#define SCHED_MAX_CALL_DELAY_MS 12000
/* Longest wait of a hold as a share of the lease that it renews. */
#define SCHED_MAX_HOLD_WAIT_PERCENT 45

static void
record_run_time(void *arg, const Job *job, uint32_t step, int64_t took_ms)
{
    JobSched *sched = arg;

    JobEst_AddRun(sched->est, job->queue, job->spec.steps[step].estimate_ms,
                  took_ms);
}

JobSched *
JobSched_New(const JobSchedOptions *options, JobState *state)
{
    JobSched *sched = Mem_New(1, sizeof(*sched));
    JobStateObserver watch = {sched, SchedImpl_RecordDemand, record_run_time};

    JobState_SetObserver(state, &watch);
    sched->options = *options;
    sched->next_hold_wait_ms = options->hold_wait_ms;
    sched->state = state;
    sched->next_cookie = 1;
    sched->next_incarnation = 1;
    sched->est = JobEst_New();
    sched->demand = JobDemand_New();
    sched->admission = options->overload_control
                           ? SchedImpl_NewAdmission(options->seed)
                           : NULL;
    return sched;
}

static void
free_proposal(SchedProposal *proposal)
{
    free(proposal->assignments);
    Buf_Free(&proposal->crashes);
    free(proposal);
}

static void
free_proposals(SchedProposal **list)
{
    while (*list != NULL) {
        SchedProposal *proposal = *list;
        *list = proposal->next;
        free_proposal(proposal);
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
    free_proposals(&sched->proposals);
    free_proposals(&sched->refused_crashes);
    sched->assignments_in_flight = 0;
    JobState_ClearSchedState(sched->state);
    sched->lost_run_count = 0;
    sched->crash_count = 0;
    sched->placing_since_ms = 0;
    if (sched->admission != NULL) {
        SchedImpl_ResetAdmission(sched->admission);
    }
    sched->leads = false;
}

void
JobSched_Free(JobSched *sched)
{
    if (sched != NULL) {
        JobSched_Resign(sched);
        free(sched->actions);
        free(sched->batch);
        free(sched->lost_runs);
        JobEst_Free(sched->est);
        JobDemand_Free(sched->demand);
        SchedImpl_FreeAdmission(sched->admission);
        free(sched);
    }
}

bool
JobSched_IsLeading(const JobSched *sched)
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
SchedImpl_AddAction(JobSched *sched, JobActionKind kind)
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

/* Adds to a start what it passes to the task. Returns false if the task is no
 * longer assigned: a change has been committed since the start was queued. */
static bool
fill_start(const JobSched *sched, JobAction *action)
{
    Job *job;
    const JobTask *task = JobState_FindTask(sched->state, &action->task, &job);

    if (task == NULL || task->state != JOB_TASK_ASSIGNED ||
        task->target != action->row || task->attempt != action->attempt) {
        return false;
    }
    action->text = job->spec.text;
    action->checkpoint = task->checkpoint;
    return true;
}

bool
JobSched_TakeAction(JobSched *sched, JobAction *action)
{
    while (sched->action_first < sched->action_count) {
        *action = sched->actions[sched->action_first++];
        if (action->kind != JOB_ACTION_START || fill_start(sched, action)) {
            return true;
        }
    }
    return false;
}

void
SchedImpl_Propose(JobSched *sched, SchedProposalKind kind, Buf *command,
                  uint32_t row, uint64_t serial)
{
    JobAction *action = SchedImpl_AddAction(sched, JOB_ACTION_PROPOSE);
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
SchedImpl_FindLive(const JobTarget *target)
{
    return target != NULL ? target->sched_state : NULL;
}

SchedTarget *
SchedImpl_EnsureLive(JobSched *sched, JobTarget *target)
{
    SchedTarget *live = target->sched_state;

    if (live == NULL) {
        live = Mem_New(1, sizeof(*live));
        target->sched_state = live;
        live->fence = sched->fence;
        live->incarnation = sched->next_incarnation++;
        live->last_seen_ms = sched->now_ms;
    }
    if (live->serial != target->serial) {
        /* A new incarnation continues neither the clock nor the numbers of the
         * old one. Answers to calls that name the old one are dropped, and
         * assignments that name it have no effect. */
        live->serial = target->serial;
        live->order = 0;
        live->clock_known = false;
        live->room_known = false;
        live->granted_until_ms = 0;
        live->sent_until_ms = 0;
        live->hold_in_flight = false;
        live->reserved = (JobResources){0, 0, 0};
        live->reserved_count = 0;
        live->failures = 0;
        live->quarantine_end_ms = 0;
        live->known_since_ms = sched->now_ms;
        live->crash_recorded = false;
        live->isolated_until_ms = 0;
        live->departure_ms = 0;
    }
    return live;
}

static int64_t
clock_now(const SchedTarget *live, int64_t now)
{
    return live->clock_ms + (now - live->clock_at_ms);
}

/* Returns the longest lease that a target may have got before its first answer
 * to this leader. The clock of a target starts with it, so a delayed call to
 * an earlier incarnation under its id has a deadline far ahead. */
static int64_t
get_earlier_lease_ms(const JobSched *sched, const SchedTarget *live,
                     int64_t clock_ms)
{
    const JobSchedOptions *options = &sched->options;
    bool is_young = live->restart_seen_ms != 0 ||
                    clock_ms < SCHED_MAX_CALL_DELAY_MS + options->max_lease_ms;

    return is_young ? options->max_lease_ms : options->lease_ms;
}

void
SchedImpl_RecordClock(const JobSched *sched, SchedTarget *live, int64_t now,
                      int64_t clock_ms)
{
    if (clock_ms < 0) {
        return;
    }
    if (!live->clock_known) {
        /* A previous leader may have granted a lease a moment ago. */
        live->granted_until_ms =
            clock_ms + get_earlier_lease_ms(sched, live, clock_ms);
        live->sent_until_ms = clock_ms + sched->options.lease_ms;
    }
    live->clock_ms = clock_ms;
    live->clock_at_ms = now;
    live->clock_known = true;
}

/* Returns the lease deadline for a call. The lease of a target that does not
 * answer is not extended, so that it expires in bounded time. */
int64_t
SchedImpl_GrantLease(const JobSched *sched, SchedTarget *live, int64_t now)
{
    int64_t deadline = clock_now(live, now) + sched->options.lease_ms;

    if (live->unanswered > 0 && live->sent_until_ms > 0) {
        return live->sent_until_ms;
    }
    if (deadline > live->sent_until_ms) {
        live->sent_until_ms = deadline;
    }
    if (deadline > live->granted_until_ms) {
        live->granted_until_ms = deadline;
    }
    return deadline;
}

/* Returns when all runs of a silent target have certainly ended. */
int64_t
SchedImpl_LeaseExpiryMs(const JobSched *sched, const SchedTarget *live)
{
    int64_t remaining;

    if (live->checking_restart) {
        /* A delayed call to the earlier incarnation may still reach the new
         * one. Its deadline on the earlier clock lies far ahead on the new
         * one, so that the run gets the longest lease. */
        return live->restart_seen_ms + SCHED_MAX_CALL_DELAY_MS +
               sched->options.max_lease_ms *
                   (100 + JOBSCHED_CLOCK_DRIFT_PERCENT) / 100;
    }
    if (!live->clock_known) {
        /* Only a previous leader can have granted a lease. */
        remaining = sched->options.lease_ms;
        return sched->leading_since_ms +
               remaining * (100 + JOBSCHED_CLOCK_DRIFT_PERCENT) / 100 +
               sched->options.call_timeout_ms;
    }
    remaining = live->granted_until_ms - live->clock_ms;
    remaining = remaining > 0 ? remaining : 0;
    return live->clock_at_ms +
           remaining * (100 + JOBSCHED_CLOCK_DRIFT_PERCENT) / 100 +
           sched->options.stop_ms;
}

void
SchedImpl_FillCall(JobAction *action, const JobTarget *target,
                   const SchedTarget *live, int64_t now)
{
    action->row = target->row;
    action->serial = target->serial;
    action->incarnation = live->incarnation;
    snprintf(action->id, sizeof(action->id), "%s", target->announcement.id);
    snprintf(action->address, sizeof(action->address), "%s",
             target->announcement.address);
    action->fence = live->fence;
    action->sent_ms = now;
}

/* --- outcomes of proposals --- */
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
        sched->assignments_in_flight -= found->assignment_count;
        return found;
    }
    return NULL;
}

static void
finish_assignments(JobSched *sched, int64_t now, const SchedProposal *proposal)
{
    bool job_gone = false;
    size_t i;

    for (i = 0; i < proposal->assignment_count; i++) {
        const JobAssignment *assignment = &proposal->assignments[i];
        JobTarget *target =
            JobState_TargetAt(sched->state, assignment->target);
        Job *job;
        JobTask *task =
            JobState_FindTask(sched->state, &assignment->task, &job);
        if (target != NULL && target->serial == assignment->serial &&
            job != NULL) {
            SchedTarget *live = SchedImpl_EnsureLive(sched, target);
            SchedImpl_ReleaseRoom(live,
                                  &job->spec.steps[assignment->task.step]);
        }
        if (job != NULL) {
            SchedImpl_ReleaseUse(job, &job->spec.steps[assignment->task.step]);
        }
        else {
            job_gone = true;
        }
        if (task == NULL || job == NULL ||
            task->sched_state.phase != JOB_SCHED_PROPOSED) {
            continue;
        }
        task->sched_state.phase = JOB_SCHED_NONE;
        if (task->state == JOB_TASK_ASSIGNED &&
            task->target == assignment->target &&
            task->attempt == assignment->attempt) {
            JobRun run = {job, assignment->task.occurrence,
                          assignment->task.step, assignment->task.index};
            task->sched_state.unsent = true;
            SchedImpl_AdvanceRun(sched, now, &run);
        }
        else {
            job->has_waiting = true;
        }
    }
    if (job_gone) {
        SchedImpl_RecountReservedUse(sched);
    }
}

/* Takes the clock and room of a new target from its announcement, so that the
 * target is usable at once. */
static void
record_first_announcement(JobSched *sched, const SchedProposal *proposal)
{
    JobTarget *target = JobState_FindTarget(sched->state, proposal->id);
    SchedTarget *live;

    if (target == NULL) {
        return;
    }
    live = SchedImpl_EnsureLive(sched, target);
    if (!live->room_known) {
        SchedImpl_RecordRoom(live, proposal->clock_at_ms,
                             &target->announcement);
    }
    if (!live->clock_known) {
        SchedImpl_RecordClock(sched, live, proposal->clock_at_ms,
                              proposal->clock_ms);
    }
}

/* Returns whether an announcement of a known target is in flight. */
static bool
is_announcement_in_flight(const JobSched *sched, const JobTarget *target)
{
    const SchedProposal *proposal = sched->proposals;

    while (proposal != NULL &&
           (proposal->kind != SCHED_TARGET || proposal->row != target->row)) {
        proposal = proposal->next;
    }
    return proposal != NULL;
}

/* Continues after a commit with the target that a command was about. */
static void
handle_commit(JobSched *sched, int64_t now, const SchedProposal *proposal,
              JobTarget *target)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);

    if (proposal->kind == SCHED_ENDS) {
        live->ack_due = true;
        live->hold_due_ms = now;
    }
    if (proposal->kind == SCHED_TARGET &&
        !is_announcement_in_flight(sched, target)) {
        live->announcement_pending = false;
        live->readmitting = false;
    }
}

/* Restores what a proposal that the log has refused was made for, so that it
 * is made again. */
static void
handle_refusal(JobSched *sched, int64_t now, const SchedProposal *proposal,
               JobTarget *target)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);

    if (proposal->kind == SCHED_ENDS) {
        live->hold_due_ms = now + SCHED_HOLD_RETRY_MS;
    }
    if (proposal->kind == SCHED_TARGET &&
        !is_announcement_in_flight(sched, target)) {
        live->announcement_pending = false;
        if (live->readmitting) {
            /* The runs of the earlier incarnation are still in the state. */
            live->readmitting = false;
            live->checking_restart = true;
            live->hold_due_ms = now + SCHED_HOLD_RETRY_MS;
        }
    }
}

void
JobSched_HandleProposal(JobSched *sched, int64_t now, uint64_t cookie,
                        Status status)
{
    SchedProposal *proposal = take_proposal(sched, cookie);
    JobTarget *target;

    if (proposal == NULL) {
        return;
    }
    sched->now_ms = now;
    target = JobState_TargetAt(sched->state, proposal->row);
    if (proposal->kind == SCHED_CRASHES && status == ST_OK) {
        SchedImpl_ForgetCountedRuns(sched, cookie);
    }
    if (sched->leads) {
        if (proposal->id[0] != '\0') {
            record_first_announcement(sched, proposal);
        }
        if (proposal->kind == SCHED_ASSIGN) {
            finish_assignments(sched, now, proposal);
        }
        else if (target != NULL) {
            SchedTarget *live = SchedImpl_EnsureLive(sched, target);
            live->ends_in_flight -=
                proposal->kind == SCHED_ENDS && live->ends_in_flight > 0;
            status == ST_OK ? handle_commit(sched, now, proposal, target)
                            : handle_refusal(sched, now, proposal, target);
        }
        if (proposal->kind == SCHED_CRASHES && status != ST_OK) {
            proposal->next = sched->refused_crashes;
            sched->refused_crashes = proposal;
            return;
        }
    }
    free_proposal(proposal);
}

/* --- leadership and holds --- */
void
JobSched_Lead(JobSched *sched, int64_t now, uint64_t term)
{
    uint32_t i;

    JobSched_Resign(sched);
    sched->leads = true;
    sched->term = term;
    sched->fence = term << SCHED_FENCE_BITS;
    sched->leading_since_ms = now;
    sched->now_ms = now;
    for (i = 0; i < JobState_TargetRows(sched->state); i++) {
        JobTarget *target = JobState_TargetAt(sched->state, i);
        if (target != NULL) {
            SchedTarget *live = SchedImpl_EnsureLive(sched, target);
            live->isolated_until_ms = now;
            SchedImpl_UpdateIsolation(target, now);
        }
    }
    SchedImpl_RecallLostRuns(sched, now);
}

bool
SchedImpl_IsRecentlySeen(const JobSched *sched, const SchedTarget *live,
                         int64_t now)
{
    return now - live->last_seen_ms <
           SCHED_MISSED_ANNOUNCEMENTS * sched->options.announce_ms;
}

/* Returns whether a start would get a lease. That of a target that does not
 * answer is not extended, so a run assigned to it would be given up at once.
 */
static bool
has_lease_left(const JobSched *sched, const SchedTarget *live, int64_t now)
{
    return live->unanswered == 0 || now + sched->options.call_timeout_ms <
                                        SchedImpl_LeaseExpiryMs(sched, live);
}

/* Returns whether the stored incarnation of a target has announced itself. */
static bool
is_announced(const JobTarget *target)
{
    return target->announcement.room.cpu > 0 ||
           target->announcement.room.memory_mb > 0;
}

bool
JobSched_IsUsable(const JobSched *sched, const JobTarget *target, int64_t now)
{
    const SchedTarget *live = SchedImpl_FindLive(target);

    return live != NULL && !target->announcement.leaving &&
           is_announced(target) && !live->checking_restart &&
           !live->readmitting && !live->cordoned && live->departure_ms == 0 &&
           live->clock_known && live->unanswered < 2 &&
           has_lease_left(sched, live, now) &&
           now >= live->quarantine_end_ms &&
           SchedImpl_IsRecentlySeen(sched, live, now);
}

/* Returns the wait of a target's next hold. An unanswered hold hides the ends
 * of its target until the timeout, so the wait is shorter while a short task
 * runs, whose end is likely soon. */
static int64_t
choose_hold_wait(const JobSched *sched, const JobTarget *target)
{
    uint32_t i;

    for (i = 0; i < target->run_count; i++) {
        if (!JobRun_GetStep(&target->runs[i])->lasting) {
            return sched->options.short_wait_ms < sched->next_hold_wait_ms
                       ? sched->options.short_wait_ms
                       : sched->next_hold_wait_ms;
        }
    }
    return sched->next_hold_wait_ms;
}

/* Returns whether the target is certainly the incarnation whose ends are in
 * the state. A new incarnation numbers its ends from 1 again, so an
 * acknowledgement of ends of the old one would make it discard its own. */
static bool
is_incarnation_known(const SchedTarget *live)
{
    return live->fenced && live->unanswered == 0 && !live->checking_restart &&
           !live->readmitting;
}

static void
queue_hold(JobSched *sched, int64_t now, JobTarget *target)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);
    JobAction *action = SchedImpl_AddAction(sched, JOB_ACTION_HOLD);

    SchedImpl_FillCall(action, target, live, now);
    action->ack = is_incarnation_known(live) ? target->last_applied_end : 0;
    /* The first hold returns at once, because no lease can be granted before
     * the clock is known. */
    action->deadline_ms = live->clock_known && target->run_count > 0
                              ? SchedImpl_GrantLease(sched, live, now)
                              : 0;
    action->wait_ms = live->fenced && live->clock_known &&
                              !live->checking_restart && target->run_count > 0
                          ? choose_hold_wait(sched, target)
                          : 0;
    live->hold_in_flight = true;
    sched->counts.holds++;
}

static void
advance_target(JobSched *sched, int64_t now, JobTarget *target)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);
    bool hold_needed =
        target->run_count > 0 || live->checking_restart || live->ack_due ||
        live->departure_ms != 0 ||
        (!live->clock_known && live->unanswered < SCHED_MAX_CLOCK_HOLDS) ||
        (live->unanswered > 0 && SchedImpl_IsRecentlySeen(sched, live, now));

    if (target->run_count > 0 && live->ends_in_flight == 0 &&
        now >= SchedImpl_LeaseExpiryMs(sched, live)) {
        SchedImpl_LoseRuns(sched, target);
        return;
    }
    if (hold_needed && !live->hold_in_flight && live->ends_in_flight == 0 &&
        now >= live->hold_due_ms && now >= live->hold_not_before_ms) {
        queue_hold(sched, now, target);
    }
    if (SchedImpl_MayAdvance(live)) {
        SchedImpl_AdvanceRuns(sched, now, target);
    }
    if (!SchedImpl_RemoveIfDeparted(sched, target) && !hold_needed &&
        now - live->last_seen_ms > SCHED_SILENT_REMOVAL_MS) {
        SchedImpl_ProposeRemoval(sched, target, SCHED_REMOVE_SILENT,
                                 "silent and idle");
        live->last_seen_ms = now;
    }
}

/* The leader's cost of a hold does not depend on its wait, so longer waits
 * bound the total cost. A lease outlasts two waits. */
int64_t
JobSched_HoldWait(const JobSchedOptions *options, uint32_t busy_targets)
{
    int64_t wait = (int64_t)busy_targets * 1000 / options->holds_per_s;
    int64_t max_wait = options->lease_ms * SCHED_MAX_HOLD_WAIT_PERCENT / 100;

    if (wait > max_wait) {
        wait = max_wait;
    }
    return wait > options->hold_wait_ms ? wait : options->hold_wait_ms;
}

void
JobSched_Tick(JobSched *sched, int64_t now, int64_t wall_ms)
{
    uint32_t busy_targets = 0;
    uint32_t long_list_runs = 0;
    uint32_t i;

    sched->wall_ms = wall_ms;
    sched->now_ms = now;
    sched->tick_text_bytes = 0;
    if (!sched->leads) {
        return;
    }
    for (i = 0; i < JobState_TargetRows(sched->state); i++) {
        JobTarget *target = JobState_TargetAt(sched->state, i);
        if (target != NULL) {
            advance_target(sched, now, target);
            SchedImpl_UpdateIsolation(target, now);
            busy_targets += target->run_count > 0;
            long_list_runs +=
                target->run_count > SCHED_LONG_LIST ? target->run_count : 0;
        }
    }
    SchedImpl_RetryCrashes(sched);
    SchedImpl_ProposeBegun(sched, now);
    SchedImpl_ReviewRefusals(sched, now);
    sched->long_list_runs = long_list_runs;
    sched->next_hold_wait_ms =
        JobSched_HoldWait(&sched->options, busy_targets);
    if (now >= sched->next_expire_ms) {
        Buf command = BUF_INIT;
        sched->next_expire_ms = now + SCHED_EXPIRE_INTERVAL_MS;
        if (JobState_JobCount(sched->state) > 0 ||
            JobState_EarlyCancelCount(sched->state) > 0 ||
            JobState_RemovedTargetCount(sched->state) > 0) {
            JobCmd_EncodeExpire(&command,
                                wall_ms - sched->options.status_retention_ms);
            SchedImpl_Propose(sched, SCHED_OTHER, &command, JOB_NO_TARGET, 0);
        }
    }
}
