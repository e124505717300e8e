/*
 * NAME
 *     jobentry - an entry VM of the job service
 *
 * DESCRIPTION
 *     Takes callers' requests and passes each on to the leader of the control
 *     nodes, whose reply it returns. It keeps no state of jobs. A request for
 *     which no leader is known waits a short time for one and is then
 *     answered as surely not done; a request that was passed on and has no
 *     reply is answered as unknown.
 *
 *     The node is ready while it has heard a serving leader lately.
 */
#ifndef COLTSFOOT_JOBENTRY_H
#define COLTSFOOT_JOBENTRY_H

#include "jobwire.h"
#include "settings.h"
#include "status.h"

typedef struct JobEntry JobEntry;

/* settings and wire must outlive the node. file is read again on a reload. */
Status JobEntry_New(const Settings *settings, const char *file,
                    const JobWire *wire, JobEntry **out, ErrCtx *err);
void JobEntry_Run(JobEntry *entry);
void JobEntry_Free(JobEntry *entry);

#endif
