#include "jobsched_impl.h"

#include <stdio.h>
#include <string.h>

#include "slog.h"

/* Unanswered calls after which an idle target that may have departed is
 * removed. */
#define SCHED_DEPARTED_MISSED_CALLS 2

static bool
is_same_content(const JobAnnouncement *a, const JobAnnouncement *b)
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

void
SchedImpl_ProposeTarget(JobSched *sched, const JobAnnouncement *announcement,
                        JobTarget *target)
{
    Buf command = BUF_INIT;

    Slog_Begin(SLOG_CHANGE, target == NULL ? "target_new" : "target_changed");
    Slog_AddText("target", announcement->id);
    Slog_AddText("address", announcement->address);
    Slog_AddText("pool", announcement->pool);
    Slog_AddText("vm", announcement->vm);
    Slog_AddInt("leaving", announcement->leaving);
    Slog_AddInt("born", (int64_t)announcement->born);
    Slog_End();
    JobCmd_EncodeTarget(&command, announcement);
    SchedImpl_Propose(sched, SCHED_TARGET, &command,
                      target != NULL ? target->row : JOB_NO_TARGET,
                      target != NULL ? target->serial : 0);
    sched->proposals->leaving = announcement->leaving;
    if (target == NULL) {
        SchedProposal *proposal = sched->proposals;
        snprintf(proposal->id, sizeof(proposal->id), "%s", announcement->id);
        proposal->clock_ms = announcement->clock_ms;
        proposal->clock_at_ms = sched->now_ms;
    }
}

void
SchedImpl_ProposeRemoval(JobSched *sched, JobTarget *target, SchedRemoval kind,
                         const char *reason)
{
    uint64_t born = target->announcement.born;
    JobRemoval removal = {.target = target->row,
                          .serial = target->serial,
                          .wall_ms = sched->wall_ms};
    Buf command = BUF_INIT;

    if (kind != SCHED_REMOVE_ORDERED) {
        removal.alive_from = born + (kind == SCHED_REMOVE_ENDED);
    }
    Slog_Begin(SLOG_CHANGE, "target_gone");
    Slog_AddText("target", target->announcement.id);
    Slog_AddInt("born", (int64_t)born);
    Slog_AddText("why", reason);
    Slog_AddInt("runs", target->run_count);
    Slog_End();
    JobCmd_EncodeTargetGone(&command, &removal);
    SchedImpl_Propose(sched, SCHED_OTHER, &command, target->row,
                      target->serial);
}

/* Removes earlier targets of the same VM. A VM runs one target at a time, so
 * they have ended. */
static void
remove_predecessors(JobSched *sched, const JobAnnouncement *announcement)
{
    uint32_t i;

    for (i = 0;
         announcement->vm[0] != '\0' && i < JobState_TargetRows(sched->state);
         i++) {
        JobTarget *other = JobState_TargetAt(sched->state, i);
        if (other != NULL &&
            strcmp(other->announcement.vm, announcement->vm) == 0 &&
            strcmp(other->announcement.id, announcement->id) != 0 &&
            other->announcement.born < announcement->born) {
            SchedImpl_RecordCrash(sched, sched->now_ms, other);
            SchedImpl_ProposeRemoval(sched, other, SCHED_REMOVE_ENDED,
                                     "its VM runs a later target");
        }
    }
}

/* Begins to verify a new incarnation under the same id by a hold with a new
 * fencing token, so that calls to the earlier incarnation have no effect. */
void
SchedImpl_BeginRestartCheck(JobSched *sched, int64_t now, JobTarget *target,
                            uint64_t born)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);

    if (live->checking_restart && live->checked_born >= born) {
        return;
    }
    if (!live->checking_restart) {
        live->restart = SchedImpl_GetCrashSpan(target, now);
    }
    Slog_Begin(SLOG_CHANGE, "target_reborn");
    Slog_AddText("target", target->announcement.id);
    Slog_AddInt("born", (int64_t)born);
    Slog_AddInt("before", (int64_t)target->announcement.born);
    Slog_End();
    if (!live->checking_restart) {
        /* No start is sent during the check, so a further restart does not
         * extend the lease of the runs. */
        live->restart_seen_ms = now;
    }
    live->checking_restart = true;
    live->checked_born = born;
    live->checked_leaving = false;
    live->departure_ms = 0; /* of the earlier incarnation */
    live->incarnation = sched->next_incarnation++;
    live->fence = JobSched_NewFence(sched);
    live->fenced = false;
    live->hold_in_flight = false;
    live->clock_known = false;
    live->hold_due_ms = now;
}

static bool
update_target(JobSched *sched, int64_t now, JobTarget *target,
              const JobAnnouncement *announcement)
{
    SchedTarget *live = SchedImpl_EnsureLive(sched, target);
    JobAnnouncement next = *announcement;

    if (announcement->born < target->announcement.born ||
        (announcement->born == target->announcement.born &&
         announcement->order < live->order)) {
        return true; /* a newer announcement arrived first */
    }
    if (announcement->born > target->announcement.born) {
        live->successor = *announcement;
        SchedImpl_RecordCrash(sched, now, target);
        SchedImpl_BeginRestartCheck(sched, now, target, announcement->born);
        live->last_seen_ms = now;
        if (announcement->leaving &&
            announcement->born == live->checked_born) {
            live->checked_leaving = true;
        }
        if (target->run_count == 0 && !live->announcement_pending) {
            live->announcement_pending = true;
            SchedImpl_ProposeTarget(sched, &next, target);
        }
        return !announcement->leaving;
    }
    live->order = announcement->order;
    live->last_seen_ms = now;
    SchedImpl_RecordRoom(live, now, announcement);
    if (!live->checking_restart) {
        SchedImpl_RecordClock(sched, live, now, announcement->clock_ms);
    }
    if (is_same_content(&target->announcement, announcement)) {
        return true;
    }
    if (target->announcement.leaving && !announcement->leaving) {
        next.leaving = true;
        if (is_same_content(&target->announcement, &next)) {
            return true;
        }
    }
    if (!live->announcement_pending) {
        live->announcement_pending = true;
        SchedImpl_ProposeTarget(sched, &next, target);
    }
    return false;
}

/* Returns whether an announcement of an unknown target was made by one that
 * has ended: it was removed, or its VM runs a later target. The start time of
 * the later one counts only while it is in touch, as a clock that was set back
 * would keep a new target out. */
static bool
has_sender_ended(const JobSched *sched, int64_t now,
                 const JobAnnouncement *announcement)
{
    const JobTarget *later =
        JobState_FindVmTarget(sched->state, announcement->vm);
    const SchedTarget *live = SchedImpl_FindLive(later);

    return JobState_HasTargetEnded(sched->state, announcement->id,
                                   announcement->born) ||
           (live != NULL && announcement->born != 0 &&
            later->announcement.born > announcement->born &&
            live->unanswered == 0 &&
            SchedImpl_IsRecentlySeen(sched, live, now));
}

/* Returns whether an announcement may be one of a target: its pool is in the
 * configuration, or was when the target was stored. Before the first
 * configuration, all may. */
static bool
has_known_pool(const JobSched *sched, const JobTarget *target,
               const JobAnnouncement *announcement)
{
    const JobConfig *config = JobState_GetConfig(sched->state);

    return config->version == 0 ||
           JobConfig_FindPool(config, announcement->pool) != NULL ||
           (target != NULL &&
            strcmp(target->announcement.pool, announcement->pool) == 0);
}

static void
log_ignored(const JobAnnouncement *announcement)
{
    Slog_Begin(SLOG_CHANGE, "announcement_ignored");
    Slog_AddText("target", announcement->id);
    Slog_AddInt("born", (int64_t)announcement->born);
    Slog_AddText("pool", announcement->pool);
    Slog_End();
}

bool
JobSched_HandleAnnouncement(JobSched *sched, int64_t now,
                            const JobAnnouncement *announcement)
{
    JobTarget *target = JobState_FindTarget(sched->state, announcement->id);
    SchedProposal *proposal;

    sched->now_ms = now;
    if (!has_known_pool(sched, target, announcement)) {
        log_ignored(announcement);
        return true;
    }
    if (target != NULL) {
        return update_target(sched, now, target, announcement);
    }
    for (proposal = sched->proposals; proposal != NULL;
         proposal = proposal->next) {
        if (proposal->kind == SCHED_TARGET && proposal->row == JOB_NO_TARGET &&
            strcmp(proposal->id, announcement->id) == 0) {
            return false; /* its proposal is in flight */
        }
    }
    if (has_sender_ended(sched, now, announcement)) {
        log_ignored(announcement);
        return true;
    }
    remove_predecessors(sched, announcement);
    SchedImpl_ProposeTarget(sched, announcement, NULL);
    return false;
}

bool
JobSched_MayStore(const JobSched *sched, const JobAnnouncement *announcement)
{
    const JobTarget *target =
        JobState_FindTarget(sched->state, announcement->id);
    const SchedProposal *proposal;

    for (proposal = sched->proposals; proposal != NULL;
         proposal = proposal->next) {
        if (proposal->kind == SCHED_TARGET && !proposal->leaving &&
            (target != NULL ? proposal->row == target->row
                            : strcmp(proposal->id, announcement->id) == 0)) {
            return false;
        }
    }
    return target == NULL || target->run_count == 0 ||
           announcement->born <= target->announcement.born;
}

/* Returns whether a notice of departure is most likely one of the incarnation
 * that is in the state: it has said that it leaves, and no earlier one had its
 * id. Without an answer to each start, one may still reach the next
 * incarnation, which would not refuse it. */
static bool
is_departure_likely(const JobTarget *target)
{
    const SchedTarget *live = SchedImpl_FindLive(target);
    uint32_t i;

    if (!target->announcement.leaving || target->restarted ||
        live->checking_restart || live->reserved_count > 0) {
        return false;
    }
    for (i = 0; i < target->run_count; i++) {
        const JobTask *task = JobRun_GetTask(&target->runs[i]);
        if (task->sched_state.phase != JOB_SCHED_RUNNING &&
            !task->sched_state.proven) {
            return false;
        }
    }
    return true;
}

bool
SchedImpl_RemoveIfDeparted(JobSched *sched, JobTarget *target)
{
    SchedTarget *live = SchedImpl_FindLive(target);
    bool likely = is_departure_likely(target);

    if (live->departure_ms == 0 || live->departure_missed == 0 ||
        (!likely && (target->run_count > 0 ||
                     live->departure_missed < SCHED_DEPARTED_MISSED_CALLS))) {
        return false;
    }
    SchedImpl_ProposeRemoval(sched, target,
                             likely ? SCHED_REMOVE_ENDED : SCHED_REMOVE_SILENT,
                             "reported its own end");
    live->departure_missed = 0; /* proposed again after the next call */
    return true;
}

void
JobSched_HandleDeparture(JobSched *sched, int64_t now, const char *id)
{
    JobTarget *target = JobState_FindTarget(sched->state, id);
    SchedTarget *live;

    sched->now_ms = now;
    if (target == NULL) {
        return;
    }
    live = SchedImpl_EnsureLive(sched, target);
    Slog_Begin(SLOG_CHANGE, "departure_reported");
    Slog_AddText("target", id);
    Slog_AddInt("born", (int64_t)target->announcement.born);
    Slog_AddInt("likely", is_departure_likely(target));
    Slog_AddInt("runs", target->run_count);
    Slog_End();
    if (!live->checking_restart) {
        live->departure_ms = now;
        live->departure_missed = 0;
    }
    live->hold_due_ms = now;
}
