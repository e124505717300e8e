/*
 * NAME
 *     storage - durable files in one data folder
 *
 * DESCRIPTION
 *     A small vtable over named files in one flat folder, so that tests can
 *     replace the disk and inject faults. Names are plain file names without a
 *     slash. Appended bytes are durable only after Storage_Sync returns ST_OK;
 *     the effects of the other functions that write are durable on return.
 *     Not thread-safe.
 *
 * ERRORS
 *     ST_NOT_FOUND  the file does not exist
 *     ST_FULL       the disk or the disk quota is full
 *     ST_IO         any other error of the operating system
 *     ST_INVALID    invalid file name
 *     Messages name the file and the cause.
 */
#ifndef COLTSFOOT_STORAGE_H
#define COLTSFOOT_STORAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "status.h"

typedef struct Storage Storage;

typedef void (*StorageVisitor)(void *arg, const char *name);

typedef struct StorageOps {
    Status (*append)(Storage *storage, const char *name, const void *data,
                     size_t len, ErrCtx *err);
    Status (*sync)(Storage *storage, const char *name, ErrCtx *err);
    Status (*read)(Storage *storage, const char *name, Buf *out, ErrCtx *err);
    Status (*truncate)(Storage *storage, const char *name, uint64_t size,
                       ErrCtx *err);
    Status (*rewrite)(Storage *storage, const char *name, uint64_t offset,
                      const void *data, size_t len, ErrCtx *err);
    Status (*replace)(Storage *storage, const char *name, const void *data,
                      size_t len, ErrCtx *err);
    Status (*list)(Storage *storage, StorageVisitor visit, void *arg,
                   ErrCtx *err);
    Status (*remove)(Storage *storage, const char *name, ErrCtx *err);
    void (*close)(Storage *storage);
} StorageOps;

/* Base of all implementations, which embed it as their first member. */
struct Storage {
    const StorageOps *ops;
};

/* Opens a folder and creates it first if create is true. Returns ST_EXISTS if
 * another process holds the folder's lock file. */
Status Storage_OpenFolder(const char *folder, bool create, Storage **storage,
                          ErrCtx *err);
void Storage_Close(Storage *storage);

/* Appends len bytes to the file. Creates the file if it does not exist. */
Status Storage_Append(Storage *storage, const char *name, const void *data,
                      size_t len, ErrCtx *err);

/* Makes the bytes appended so far and the file's directory entry durable.
 * After a failure the content of the file is unknown; see fsync(2). */
Status Storage_Sync(Storage *storage, const char *name, ErrCtx *err);

/* Appends the content of the file to out. */
Status Storage_Read(Storage *storage, const char *name, Buf *out, ErrCtx *err);

/* Truncates the file to size bytes, durably. */
Status Storage_Truncate(Storage *storage, const char *name, uint64_t size,
                        ErrCtx *err);

/* Writes the bytes that the file has at offset once more, durably. After a
 * failed sync, bytes that were read back may exist in the page cache only, and
 * a later sync does not write them. */
Status Storage_Rewrite(Storage *storage, const char *name, uint64_t offset,
                       const void *data, size_t len, ErrCtx *err);

/* Replaces the content of the file, durably and atomically: after a crash the
 * file has either the old or the new content. */
Status Storage_Replace(Storage *storage, const char *name, const void *data,
                       size_t len, ErrCtx *err);

/* Calls visit for each file, in unspecified order. */
Status Storage_List(Storage *storage, StorageVisitor visit, void *arg,
                    ErrCtx *err);

/* Removes a file, durably. */
Status Storage_Remove(Storage *storage, const char *name, ErrCtx *err);

#endif
