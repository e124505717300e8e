/*
 * NAME
 *     jobentry - an entry VM of the job service
 *
 * DESCRIPTION
 *     Forwards requests to the leader of the control nodes and returns the
 *     leader's replies: those of callers at the address traffic, those of
 *     operators and targets at the address control. Either address may be
 *     missing. It keeps no job state. A request
 *     that arrives while no leader is known waits a short time for a leader.
 *     If none appears, the reply says that the request was not carried out. If
 *     the leader does not reply to a forwarded request, the reply says that
 *     the outcome is unknown. A pending request is sent again to the next
 *     leader; see jobcopies for what the caller is then told.
 *
 *     Reads of the configuration and bodies over 64 KiB that arrive at the
 *     address control are redirected to the leader.
 *
 *     Each peer that connects is told the control nodes that are up, so that
 *     an entry VM may be a seed of others.
 *
 *     The node is ready while it receives messages of a leader that serves.
 */
#ifndef COLTSFOOT_JOBENTRY_H
#define COLTSFOOT_JOBENTRY_H

#include "jobwire.h"
#include "settings.h"
#include "status.h"

typedef struct JobEntry JobEntry;

/* settings and wire must outlive the node. The file is read again on a
 * reload. */
Status JobEntry_New(const Settings *settings, const char *file,
                    const JobWire *wire, JobEntry **out, ErrCtx *err);
void JobEntry_Run(JobEntry *entry);
void JobEntry_Free(JobEntry *entry);

#endif
