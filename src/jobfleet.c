#include "jobfleet.h"

#include <stdlib.h>
#include <string.h>

struct JobFleet {
    JobFleetOptions options;
    JobState *state;
    JobSched *sched;
    bool leads;
};

JobFleet *
JobFleet_New(const JobFleetOptions *options, JobState *state, JobSched *sched)
{
    JobFleet *fleet = calloc(1, sizeof(*fleet));

    if (fleet == NULL) {
        abort();
    }
    fleet->options = *options;
    fleet->state = state;
    fleet->sched = sched;
    return fleet;
}

void
JobFleet_Free(JobFleet *fleet)
{
    free(fleet);
}

void
JobFleet_Lead(JobFleet *fleet, int64_t now, uint64_t term)
{
    (void)now;
    (void)term;
    fleet->leads = true;
}

void
JobFleet_Resign(JobFleet *fleet)
{
    fleet->leads = false;
}

void
JobFleet_Tick(JobFleet *fleet, int64_t now, int64_t wall_ms)
{
    (void)fleet;
    (void)now;
    (void)wall_ms;
}

bool
JobFleet_NextCall(JobFleet *fleet, JobVmCall *call)
{
    (void)fleet;
    (void)call;
    return false;
}

bool
JobFleet_NextCommand(JobFleet *fleet, Buf *command)
{
    (void)fleet;
    (void)command;
    return false;
}

void
JobFleet_Answered(JobFleet *fleet, int64_t now, const JobVmCall *call,
                  const JobVmAnswer *answer)
{
    (void)fleet;
    (void)now;
    (void)call;
    (void)answer;
}

bool
JobFleet_WaveDone(const JobFleet *fleet, const JobWave *wave)
{
    (void)fleet;
    return wave->done == wave->vm_count;
}
