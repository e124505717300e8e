#include "jobsched_impl.h"

/* Age in announcement intervals, in percent, from which on an announced room
 * is outdated: one announcement may be missed. */
#define SCHED_ROOM_VALID_PERCENT 250

void
SchedImpl_RecordRoom(SchedTarget *live, int64_t now,
                     const JobAnnouncement *announcement)
{
    int64_t delay_ms = live->clock_known
                           ? live->clock_ms + (now - live->clock_at_ms) -
                                 announcement->clock_ms
                           : 0;

    live->room = announcement->room;
    live->room_at_ms = now - (delay_ms > 0 ? delay_ms : 0);
    live->room_known = true;
}

const JobResources *
SchedImpl_GetRoom(const JobTarget *target)
{
    const SchedTarget *live = target->sched_state;

    return live->room_known ? &live->room : &target->announcement.room;
}

static bool
enforces_capacity(const JobSched *sched, const JobTarget *target)
{
    const JobPool *pool = JobConfig_FindPool(JobState_GetConfig(sched->state),
                                             target->announcement.pool);

    return pool != NULL && pool->enforces_capacity;
}

bool
SchedImpl_IsRoomCertain(const JobSched *sched, int64_t now,
                        const JobTarget *target)
{
    const SchedTarget *live = target->sched_state;

    return (live->room_known &&
            (now - live->room_at_ms) * 100 <
                sched->options.announce_ms * SCHED_ROOM_VALID_PERCENT) ||
           enforces_capacity(sched, target);
}

static bool
is_within(const JobResources *used, const JobResources *room)
{
    return used->cpu <= room->cpu && used->memory_mb <= room->memory_mb &&
           used->accelerators <= room->accelerators;
}

bool
SchedImpl_MayStart(const JobSched *sched, int64_t now, const JobRun *run)
{
    const JobTask *task = JobRun_GetTask(run);
    const JobTarget *target = JobState_TargetAt(sched->state, task->target);
    const JobResources *room = SchedImpl_GetRoom(target);
    JobResources used = target->used;
    uint32_t i;

    if (!SchedImpl_MayStartWithinCap(sched, run)) {
        return false;
    }
    if (!task->sched_state.unsent && enforces_capacity(sched, target)) {
        return true;
    }
    if (!SchedImpl_IsRoomCertain(sched, now, target)) {
        return false;
    }
    for (i = 0; i < target->run_count && !is_within(&used, room); i++) {
        const JobRun *other = &target->runs[i];
        const JobTask *other_task = JobRun_GetTask(other);
        const JobStep *step = JobRun_GetStep(other);
        if (other_task != task && other_task->sched_state.unsent) {
            used.cpu -= step->best_effort ? 0 : step->need.cpu;
            used.memory_mb -= step->need.memory_mb;
            used.accelerators -= step->need.accelerators;
        }
    }
    return is_within(&used, room);
}
