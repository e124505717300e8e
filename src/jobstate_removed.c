#include "jobstate_impl.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* Returns the index of a removed target, or their number if there is none. */
static size_t
find_removed_target(const JobState *state, const char *id)
{
    size_t i = 0;

    while (i < state->removed_target_count &&
           strcmp(state->removed_targets[i].id, id) != 0) {
        i++;
    }
    return i;
}

static void
forget_removed_target(JobState *state, size_t at)
{
    JobRemovedTarget *row = &state->removed_targets[at];

    state->removed_target_count--;
    memmove(row, row + 1, (state->removed_target_count - at) * sizeof(*row));
}

void
JobStateImpl_AddRemovedTarget(JobState *state, const JobRemovedTarget *removed)
{
    JobRemovedTarget next = *removed;
    size_t known = find_removed_target(state, removed->id);

    if (known < state->removed_target_count) {
        if (state->removed_targets[known].alive_from > next.alive_from) {
            next.alive_from = state->removed_targets[known].alive_from;
        }
        forget_removed_target(state, known);
    }
    else if (state->removed_target_count == JOB_MAX_REMOVED_TARGETS) {
        forget_removed_target(state, 0);
    }
    state->removed_targets =
        Mem_Resize(state->removed_targets,
                   (state->removed_target_count + 1) * sizeof(next));
    state->removed_targets[state->removed_target_count++] = next;
}

const JobRemovedTarget *
JobStateImpl_FindRemovedTarget(const JobState *state, const char *id)
{
    size_t at = find_removed_target(state, id);

    return at < state->removed_target_count ? &state->removed_targets[at]
                                            : NULL;
}

void
JobStateImpl_ExpireRemovedTargets(JobState *state, int64_t wall_ms)
{
    size_t i;

    for (i = state->removed_target_count; i-- > 0;) {
        if (state->removed_targets[i].wall_ms < wall_ms) {
            forget_removed_target(state, i);
        }
    }
}

size_t
JobState_RemovedTargetCount(const JobState *state)
{
    return state->removed_target_count;
}

bool
JobState_HasTargetEnded(const JobState *state, const char *id, uint64_t born)
{
    const JobRemovedTarget *removed =
        JobStateImpl_FindRemovedTarget(state, id);

    return removed != NULL && born != 0 && born < removed->alive_from;
}
