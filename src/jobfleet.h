/*
 * NAME
 *     jobfleet - VM moves between pools and maintenance waves
 *
 * DESCRIPTION
 *     Core without I/O, run by the leader. It moves VMs to queues whose demand
 *     bursts beyond the capacity of their pool, and carries out waves, which
 *     name VMs to be maintained within a given time. Idle VMs move to the
 *     standby pool and return when demand rises or is forecast to rise. A VM
 *     is drained before a move or maintenance. Only maintenance drains lasting
 *     tasks, as far as their step's limit of unavailable tasks allows.
 *
 *     A VM counts as removed from the platform only when whole lists lack it:
 *     lists that were read from the first page to the last in one term, each
 *     row with a name, no VM and no page token twice. A list of several pages
 *     counts if it repeats the names of the one before it, as pages may shift
 *     while they are read. A VM that has a field that cannot be used exists,
 *     and gets no order until the field can be used; a wave waits for it.
 *
 *     Only one node at a time orders moves or maintenance of a VM: a new
 *     leader waits until the lease of an earlier leader has expired, and a
 *     leader sends orders only shortly after a majority has confirmed its
 *     leadership (JobFleet_ConfirmLeader).
 */
#ifndef COLTSFOOT_JOBFLEET_H
#define COLTSFOOT_JOBFLEET_H

#include "jobsched.h"
#include "jobstate.h"
#include "jobwire.h"

typedef struct JobFleetOptions {
    const char *holder;       /* name of this node, sent as the lease holder */
    int64_t vm_lease_ms;      /* lease of an earlier leader on its VM orders */
    int64_t list_interval_ms; /* interval of VM list requests */
    int64_t move_ms;          /* expected duration of an accepted order */
} JobFleetOptions;

typedef struct JobFleetCounts {
    uint64_t lists_incomplete; /* VM lists that were not read whole */
    uint64_t vms_unusable; /* listed VMs with a field that cannot be used */
} JobFleetCounts;

typedef struct JobFleet JobFleet;

JobFleet *JobFleet_New(const JobFleetOptions *options, JobState *state,
                       JobSched *sched);
void JobFleet_Free(JobFleet *fleet);

/* Start and stop managing the VMs, as the leader of a term. */
void JobFleet_Lead(JobFleet *fleet, int64_t now, uint64_t term);
void JobFleet_Resign(JobFleet *fleet);

/* Records that a majority confirmed at this time that this node leads. */
void JobFleet_ConfirmLeader(JobFleet *fleet, int64_t now);

/* Plans waves and moves and advances pending orders. */
void JobFleet_Tick(JobFleet *fleet, int64_t now, int64_t wall_ms);

/* Remove the next call to the VM service, or the next command for the log,
 * from its queue. Return false if the queue is empty. */
bool JobFleet_TakeCall(JobFleet *fleet, JobVmCall *call);
bool JobFleet_TakeCommand(JobFleet *fleet, Buf *command);

void JobFleet_GetCounts(const JobFleet *fleet, JobFleetCounts *counts);

void JobFleet_HandleAnswer(JobFleet *fleet, int64_t now, const JobVmCall *call,
                           const JobVmAnswer *answer);

#endif
