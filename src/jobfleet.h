/*
 * NAME
 *     jobfleet - moves of VMs between pools and waves of maintenance
 *
 * DESCRIPTION
 *     Core without I/O, for the leader. It decides which VM moves or goes
 *     under maintenance, one call to the VM service at a time for each VM.
 *     Waits out the term of an earlier holder before the first order.
 */
#ifndef COLTSFOOT_JOBFLEET_H
#define COLTSFOOT_JOBFLEET_H

#include "jobsched.h"
#include "jobstate.h"
#include "jobwire.h"

typedef struct JobFleetOptions {
    const char *holder; /* name of this node */
    int64_t holder_ms;  /* an earlier holder may order for so long */
    int64_t list_ms;    /* interval of readings of the VM list */
} JobFleetOptions;

typedef struct JobFleet JobFleet;

JobFleet *JobFleet_New(const JobFleetOptions *options, JobState *state,
                       JobSched *sched);
void JobFleet_Free(JobFleet *fleet);
void JobFleet_Lead(JobFleet *fleet, int64_t now, uint64_t term);
void JobFleet_Resign(JobFleet *fleet);

void JobFleet_Tick(JobFleet *fleet, int64_t now, int64_t wall_ms);

/* Takes the next call to the VM service, or the next command for the log.
 * Return false when there is none. */
bool JobFleet_NextCall(JobFleet *fleet, JobVmCall *call);
bool JobFleet_NextCommand(JobFleet *fleet, Buf *command);

void JobFleet_Answered(JobFleet *fleet, int64_t now, const JobVmCall *call,
                       const JobVmAnswer *answer);

/* Says whether a wave is complete. */
bool JobFleet_WaveDone(const JobFleet *fleet, const JobWave *wave);

#endif
