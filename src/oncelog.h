/*
 * NAME
 *     oncelog - durable records of unrepeatable requests
 *
 * DESCRIPTION
 *     Appends records of the once module to files and syncs them on a thread
 *     of its own, so that neither the control thread nor a traffic thread
 *     waits for the disk. All records that arrive during one sync share the
 *     next one. A file is deleted ONCE_RETENTION_MS after the last append to
 *     it; those found at a start are kept for that long from the start.
 */
#ifndef COLTSFOOT_ONCELOG_H
#define COLTSFOOT_ONCELOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"
#include "storage.h"

typedef struct OnceLog OnceLog;

/* Called on the thread of the log: the record is synced, or it is not and the
 * caller has to record elsewhere. */
typedef void (*OnceLogFn)(void *arg, uint64_t cookie, bool ok);

/* Called for the content of each file, the oldest first, before the log
 * starts. Stores in *valid how many bytes are whole records. A status other
 * than ST_OK stops the start. */
typedef Status (*OnceLogRecoverFn)(void *arg, const char *file,
                                   const char *bytes, size_t len,
                                   size_t *valid, ErrCtx *err);

typedef struct OnceLogOptions {
    Storage *storage; /* its own; taken over */
    void *arg;
    OnceLogFn done; /* not called for a cookie of 0 */
    OnceLogRecoverFn recover;
} OnceLogOptions;

/* Recovers the files and starts the thread. */
Status OnceLog_New(const OnceLogOptions *options, OnceLog **log, ErrCtx *err);

/* Appends one record; callable from any thread. Returns ST_IO after a failed
 * append or sync, which is final: the content of the file is unknown. */
Status OnceLog_Append(OnceLog *log, uint64_t cookie, const char *record,
                      size_t len);

/* Finishes what is queued and stops the thread. */
void OnceLog_Free(OnceLog *log);

#endif
