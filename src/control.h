/*
 * NAME
 *     control - control thread of a coltsfootd process
 *
 * DESCRIPTION
 *     Owns the connections to peers, the replica with the replicated state,
 *     the known targets and the operators' HTTP interface, and publishes views
 *     to the gateway. Runs on the thread that calls Control_Run.
 */
#ifndef COLTSFOOT_CONTROL_H
#define COLTSFOOT_CONTROL_H

#include "settings.h"
#include "status.h"

typedef struct Control Control;

/* Opens the data folder and the ports, and starts the traffic threads. SIGTERM
 * and SIGINT begin a planned stop. The settings must outlive the control. */
Status Control_New(const Settings *settings, Control **control, ErrCtx *err);

/* Runs the event loop until a planned stop is complete, which a failure of the
 * log begins, too. Returns ST_OK, or the error of the log, after which the
 * process should be started again: recovery repairs the files once the disk
 * can be written to. */
Status Control_Run(Control *control);

void Control_Free(Control *control);

/* Creates the data folder of the first voter of a new cluster. */
Status Control_InitFolder(const Settings *settings, ErrCtx *err);

#endif
