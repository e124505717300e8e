#include "jobsched_impl.h"

#include <stdio.h>
#include <string.h>

#include "slog.h"

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

void
SchedImpl_ProposeTarget(JobSched *sched, const JobAnnouncement *says,
                        JobTarget *target)
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

void
SchedImpl_ProposeGone(JobSched *sched, JobTarget *target, const char *why)
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
            SchedImpl_ProposeGone(sched, other, "its VM runs a later target");
        }
    }
}

/* A later life of a target under the same id is checked by a hold under a
 * new fence, so that no order to the earlier life takes effect any more. */
void
SchedImpl_BeginRebirth(JobSched *sched, int64_t now, JobTarget *target,
                       uint64_t born)
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
        SchedImpl_BeginRebirth(sched, now, target, says->born);
        live->heard_ms = now;
        if (target->run_count == 0 && !live->storing) {
            live->storing = true;
            SchedImpl_ProposeTarget(sched, &next, target);
        }
        return true;
    }
    live->order = says->order;
    live->heard_ms = now;
    if (!live->reborn) {
        SchedImpl_NoteClock(sched, live, now, says->clock_ms);
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
        SchedImpl_ProposeTarget(sched, &next, target);
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
    SchedImpl_ProposeTarget(sched, says, NULL);
    return false;
}

void
JobSched_Left(JobSched *sched, int64_t now, const char *id)
{
    JobTarget *target = JobState_FindTarget(sched->state, id);

    (void)now;
    if (target != NULL) {
        SchedImpl_ProposeGone(sched, target, "it left");
    }
}
