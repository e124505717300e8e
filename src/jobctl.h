/*
 * NAME
 *     jobctl - a control node of the job service
 *
 * DESCRIPTION
 *     Keeps the replicated log of the job service and, while it leads,
 *     schedules: it answers callers through the entry VMs, takes
 *     configurations and announcements, and calls targets and the VM service.
 *     The node whose address sorts first among the seeds founds the cluster
 *     if its settings allow it and its folder is new; all others join.
 *
 *     One thread.
 */
#ifndef COLTSFOOT_JOBCTL_H
#define COLTSFOOT_JOBCTL_H

#include "jobwire.h"
#include "settings.h"
#include "status.h"

typedef struct JobControl JobControl;

/* settings and wire must outlive the node. file is read again on a reload. */
Status JobControl_New(const Settings *settings, const char *file,
                      const JobWire *wire, JobControl **out, ErrCtx *err);
void JobControl_Run(JobControl *control);

void JobControl_Free(JobControl *control);

#endif
