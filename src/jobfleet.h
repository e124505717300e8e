/*
 * NAME
 *     jobfleet - moves of VMs between pools and waves of maintenance
 *
 * DESCRIPTION
 *     Core without I/O, for the leader. It answers two loads: queues whose
 *     demand rises by turns beyond what their pool holds, and waves that name
 *     VMs to be maintained in time. VMs without work go to the standby pool
 *     and are fetched when demand rises or is forecast to; a VM is drained
 *     before it moves or goes under maintenance, and lasting tasks leave it
 *     one by one as the limit of their step allows.
 *
 *     Orders for VMs are given by one node at a time: a new leader waits out
 *     the term of an earlier holder, and a leader orders only shortly after a
 *     majority has confirmed that it leads (JobFleet_Confirmed).
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
    int64_t move_ms;    /* time from an order to the VM's return */
} JobFleetOptions;

typedef struct JobFleet JobFleet;

JobFleet *JobFleet_New(const JobFleetOptions *options, JobState *state,
                       JobSched *sched);
void JobFleet_Free(JobFleet *fleet);
void JobFleet_Lead(JobFleet *fleet, int64_t now, uint64_t term);
void JobFleet_Resign(JobFleet *fleet);

/* A majority has confirmed at this time that this node leads. */
void JobFleet_Confirmed(JobFleet *fleet, int64_t now);

void JobFleet_Tick(JobFleet *fleet, int64_t now, int64_t wall_ms);

/* Takes the next call to the VM service, or the next command for the log.
 * Return false when there is none. */
bool JobFleet_NextCall(JobFleet *fleet, JobVmCall *call);
bool JobFleet_NextCommand(JobFleet *fleet, Buf *command);

void JobFleet_Answered(JobFleet *fleet, int64_t now, const JobVmCall *call,
                       const JobVmAnswer *answer);

#endif
