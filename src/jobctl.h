/*
 * NAME
 *     jobctl - a control node of the job service
 *
 * DESCRIPTION
 *     Stores a replica of the job service's log. The leader also schedules:
 *     it answers callers' requests that entry VMs forward, accepts
 *     configurations and announcements, and calls targets and the VM service.
 *     The node whose address sorts first among the seeds bootstraps the
 *     cluster if its settings allow it and its data folder is new; all other
 *     nodes join.
 *
 *     Syncs of the log run on a worker thread, all else on the event loop's
 *     thread.
 */
#ifndef COLTSFOOT_JOBCTL_H
#define COLTSFOOT_JOBCTL_H

#include "jobwire.h"
#include "settings.h"
#include "status.h"

typedef struct JobControl JobControl;

/* settings and wire must outlive the node. The file is read again on a
 * reload. */
Status JobControl_New(const Settings *settings, const char *file,
                      const JobWire *wire, JobControl **out, ErrCtx *err);

/* Runs until SIGTERM or until the log fails. Returns ST_OK, or the error of
 * the log, after which the process should end and be started again: recovery
 * repairs the files once the disk can be written to. */
Status JobControl_Run(JobControl *control);

void JobControl_Free(JobControl *control);

#endif
