/*
 * NAME
 *     storage - the files of one data folder
 *
 * DESCRIPTION
 *     A small vtable over named files in one flat folder, so that tests can
 *     stand in for the disk and inject faults. Names are plain file names
 *     without a slash. Bytes are durable only after Storage_Sync returned
 *     ST_OK; Storage_Truncate, Storage_Replace and Storage_Remove are durable
 *     on return. Not thread-safe.
 *
 * ERRORS
 *     ST_NOT_FOUND  no such file
 *     ST_FULL       the disk is full
 *     ST_IO         any other refusal of the operating system
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

typedef void (*StorageVisit)(void *arg, const char *name);

typedef struct StorageOps {
    Status (*append)(Storage *storage, const char *name, const void *data,
                     size_t len, ErrCtx *err);
    Status (*sync)(Storage *storage, const char *name, ErrCtx *err);
    Status (*read)(Storage *storage, const char *name, Buf *out, ErrCtx *err);
    Status (*truncate)(Storage *storage, const char *name, uint64_t size,
                       ErrCtx *err);
    Status (*replace)(Storage *storage, const char *name, const void *data,
                      size_t len, ErrCtx *err);
    Status (*list)(Storage *storage, StorageVisit visit, void *arg,
                   ErrCtx *err);
    Status (*remove)(Storage *storage, const char *name, ErrCtx *err);
    void (*close)(Storage *storage);
} StorageOps;

/* Implementations embed this as their first member. */
struct Storage {
    const StorageOps *ops;
};

/* Opens a folder, creating it when create is true. A lock file keeps a second
 * process out: ST_EXISTS. */
Status Storage_OpenFolder(const char *folder, bool create, Storage **storage,
                          ErrCtx *err);
void Storage_Close(Storage *storage);

/* Appends len bytes at the end of the file, creating it. */
Status Storage_Append(Storage *storage, const char *name, const void *data,
                      size_t len, ErrCtx *err);

/* Makes everything appended so far durable, the file's name included. After a
 * failure the content of the file is unknown; see fsync(2). */
Status Storage_Sync(Storage *storage, const char *name, ErrCtx *err);

/* Appends the whole file to out. */
Status Storage_Read(Storage *storage, const char *name, Buf *out, ErrCtx *err);

/* Cuts the file to size bytes, durably. */
Status Storage_Truncate(Storage *storage, const char *name, uint64_t size,
                        ErrCtx *err);

/* Gives the file new content, durably; after a crash it has either the old or
 * the new content. */
Status Storage_Replace(Storage *storage, const char *name, const void *data,
                       size_t len, ErrCtx *err);

/* Calls visit for each file, in no particular order. */
Status Storage_List(Storage *storage, StorageVisit visit, void *arg,
                    ErrCtx *err);

/* Removes a file, durably. */
Status Storage_Remove(Storage *storage, const char *name, ErrCtx *err);

#endif
