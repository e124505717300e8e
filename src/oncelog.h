/*
 * NAME
 *     oncelog - record log of unrepeatable requests
 *
 * DESCRIPTION
 *     A dedicated thread appends the records of the once module to files and
 *     syncs them, so that neither the control thread nor a traffic thread
 *     waits for the disk. All records that are queued during one sync are
 *     written and synced together next. A file is deleted
 *     ONCE_DEFAULT_RETENTION_MS after the last append to it; files found at
 *     start are kept for that long after the start.
 */
#ifndef COLTSFOOT_ONCELOG_H
#define COLTSFOOT_ONCELOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"
#include "storage.h"

typedef struct OnceLog OnceLog;

/* Called on the log's thread. ok is true if the record is synced; if not, the
 * record must be stored elsewhere. */
typedef void (*OnceLogDoneFn)(void *arg, uint64_t cookie, bool ok);

/* Called with the content of each file, the oldest first, before the thread
 * starts. Stores the length of the whole records in *valid_bytes. With a
 * status other than ST_OK the log does not start. */
typedef Status (*OnceLogRecoverFn)(void *arg, const char *file,
                                   const char *bytes, size_t len,
                                   size_t *valid_bytes, ErrCtx *err);

typedef struct OnceLogOptions {
    Storage *storage; /* the log takes ownership of it */
    void *arg;
    OnceLogDoneFn done; /* not called for a cookie of 0 */
    OnceLogRecoverFn recover;
} OnceLogOptions;

/* Recovers the records in the files and starts the thread. */
Status OnceLog_New(const OnceLogOptions *options, OnceLog **log, ErrCtx *err);

/* Queues one record to be appended; may be called from any thread. Returns
 * ST_IO after a failed append or sync. Such a failure is permanent, because
 * the content of the file is unknown. */
Status OnceLog_Append(OnceLog *log, uint64_t cookie, const char *record,
                      size_t len);

/* Returns ST_OK, or ST_IO after a failed append or sync. May be called from
 * any thread. */
Status OnceLog_GetFailure(OnceLog *log);

/* Writes and syncs the queued records, stops the thread and closes the
 * storage. */
void OnceLog_Free(OnceLog *log);

#endif
