#include "support_storage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_FILES 8
#define NAME_BYTES 64
#define SECTOR_BYTES 512

typedef struct MemFile {
    char name[NAME_BYTES];
    Buf data;
    size_t synced_len;
    /* Bytes that a failed sync left in the page cache only. Later syncs do not
     * write them. */
    size_t clean_start;
    size_t clean_end; /* clean_start if there are none */
} MemFile;

struct MemStorage {
    Storage base;
    MemFile files[MAX_FILES];
    size_t file_count;
    int syncs_before_failure;  /* negative if no fault is set */
    int writes_before_failure; /* negative if no fault is set */
    uint64_t sync_count;
    bool offline; /* every write and sync fails */
};

static MemFile *
find_file(MemStorage *disk, const char *name)
{
    size_t i;

    for (i = 0; i < disk->file_count; i++) {
        if (strcmp(disk->files[i].name, name) == 0) {
            return &disk->files[i];
        }
    }
    return NULL;
}

static MemFile *
find_or_add_file(MemStorage *disk, const char *name)
{
    MemFile *file = find_file(disk, name);

    if (file == NULL) {
        if (disk->file_count == MAX_FILES) {
            abort();
        }
        file = &disk->files[disk->file_count++];
        memset(file, 0, sizeof(*file));
        snprintf(file->name, sizeof(file->name), "%s", name);
    }
    return file;
}

/* Marks the unsynced bytes as clean, as the page cache does. */
static void
fail_sync(MemFile *file)
{
    if (file->clean_end == file->clean_start) {
        file->clean_start = file->synced_len;
    }
    file->clean_end = file->data.len;
    file->synced_len = file->data.len;
}

static void
truncate_clean_bytes(MemFile *file, size_t len)
{
    if (file->clean_end > len) {
        file->clean_end = len;
    }
    if (file->clean_start > file->clean_end) {
        file->clean_start = file->clean_end;
    }
}

/* Returns true if the call must fail. Counts down to the injected fault. */
static bool
should_fail(const MemStorage *disk, int *countdown)
{
    if (disk->offline) {
        return true;
    }
    if (*countdown < 0) {
        return false;
    }
    return (*countdown)-- == 0;
}

static Status
mem_append(Storage *storage, const char *name, const void *data, size_t len,
           ErrCtx *err)
{
    MemStorage *disk = (MemStorage *)storage;
    MemFile *file = find_or_add_file(disk, name);

    if (should_fail(disk, &disk->writes_before_failure)) {
        /* A full disk accepts only part of the bytes. */
        Buf_Append(&file->data, data, len / 2);
        return Err_Set(err, ST_FULL, "%s: write failed: disk full", name);
    }
    Buf_Append(&file->data, data, len);
    return ST_OK;
}

static Status
mem_sync(Storage *storage, const char *name, ErrCtx *err)
{
    MemStorage *disk = (MemStorage *)storage;
    MemFile *file = find_or_add_file(disk, name);

    disk->sync_count++;
    if (should_fail(disk, &disk->syncs_before_failure)) {
        if (!disk->offline) {
            fail_sync(file);
        }
        return Err_Set(err, ST_IO, "%s: sync failed", name);
    }
    file->synced_len = file->data.len;
    return ST_OK;
}

static Status
mem_read(Storage *storage, const char *name, Buf *out, ErrCtx *err)
{
    MemFile *file = find_file((MemStorage *)storage, name);

    if (file == NULL) {
        return Err_Set(err, ST_NOT_FOUND, "%s: no such file", name);
    }
    Buf_Append(out, file->data.data, file->data.len);
    return ST_OK;
}

static Status
mem_truncate(Storage *storage, const char *name, uint64_t size, ErrCtx *err)
{
    MemStorage *disk = (MemStorage *)storage;
    MemFile *file = find_or_add_file(disk, name);

    if (should_fail(disk, &disk->syncs_before_failure)) {
        return Err_Set(err, ST_IO, "%s: truncate failed", name);
    }
    if (size < file->data.len) {
        file->data.len = (size_t)size;
        truncate_clean_bytes(file, (size_t)size);
    }
    file->synced_len = file->data.len;
    return ST_OK;
}

static Status
mem_rewrite(Storage *storage, const char *name, uint64_t offset,
            const void *data, size_t len, ErrCtx *err)
{
    MemStorage *disk = (MemStorage *)storage;
    MemFile *file = find_or_add_file(disk, name);
    size_t end = (size_t)offset + len;

    if (end > file->data.len) {
        return Err_Set(err, ST_INVALID, "%s: rewrite past the end", name);
    }
    disk->sync_count++;
    if (should_fail(disk, &disk->syncs_before_failure)) {
        return Err_Set(err, ST_IO, "%s: sync failed", name);
    }
    memcpy(file->data.data + offset, data, len);
    if (offset <= file->clean_start && end >= file->clean_end) {
        file->clean_end = file->clean_start;
    }
    if (end > file->synced_len) {
        file->synced_len = end;
    }
    return ST_OK;
}

static Status
mem_replace(Storage *storage, const char *name, const void *data, size_t len,
            ErrCtx *err)
{
    MemStorage *disk = (MemStorage *)storage;
    MemFile *file;

    disk->sync_count++;
    if (should_fail(disk, &disk->writes_before_failure)) {
        return Err_Set(err, ST_FULL, "%s: write failed: disk full", name);
    }
    if (should_fail(disk, &disk->syncs_before_failure)) {
        return Err_Set(err, ST_IO, "%s: sync failed", name);
    }
    file = find_or_add_file(disk, name);
    Buf_Clear(&file->data);
    Buf_Append(&file->data, data, len);
    file->synced_len = len;
    truncate_clean_bytes(file, 0);
    return ST_OK;
}

static Status
mem_list(Storage *storage, StorageVisitor visit, void *arg, ErrCtx *err)
{
    MemStorage *disk = (MemStorage *)storage;
    size_t i;

    (void)err;
    for (i = 0; i < disk->file_count; i++) {
        visit(arg, disk->files[i].name);
    }
    return ST_OK;
}

static Status
mem_remove(Storage *storage, const char *name, ErrCtx *err)
{
    MemStorage *disk = (MemStorage *)storage;
    MemFile *file = find_file(disk, name);

    if (file == NULL) {
        return Err_Set(err, ST_NOT_FOUND, "%s: no such file", name);
    }
    Buf_Free(&file->data);
    *file = disk->files[--disk->file_count];
    return ST_OK;
}

static void
mem_close(Storage *storage)
{
    (void)storage;
}

static const StorageOps mem_ops = {mem_append,   mem_sync,    mem_read,
                                   mem_truncate, mem_rewrite, mem_replace,
                                   mem_list,     mem_remove,  mem_close};

MemStorage *
MemStorage_New(void)
{
    MemStorage *disk = calloc(1, sizeof(*disk));

    if (disk == NULL) {
        abort();
    }
    disk->base.ops = &mem_ops;
    disk->syncs_before_failure = -1;
    disk->writes_before_failure = -1;
    return disk;
}

void
MemStorage_Free(MemStorage *disk)
{
    MemStorage_Wipe(disk);
    free(disk);
}

Storage *
MemStorage_GetStorage(MemStorage *disk)
{
    return &disk->base;
}

void
MemStorage_FailSync(MemStorage *disk, int successes)
{
    disk->syncs_before_failure = successes;
}

void
MemStorage_FailWrite(MemStorage *disk, int successes)
{
    disk->writes_before_failure = successes;
}

void
MemStorage_SetOffline(MemStorage *disk, bool offline)
{
    disk->offline = offline;
}

/* Simulates a file that was extended without its last sectors being
 * written. */
static void
zero_sectors(MemFile *file, size_t end, Rng *rng)
{
    size_t start = file->synced_len +
                   Rng_Below(rng, (uint32_t)(end - file->synced_len) + 1);

    start = (start + SECTOR_BYTES - 1) / SECTOR_BYTES * SECTOR_BYTES;
    if (start < end) {
        memset(file->data.data + start, 0, end - start);
    }
}

/* Drops the clean bytes: they read as zeros, or are treated as unsynced ones
 * if the file ends with them. */
static void
lose_clean_bytes(MemFile *file, Rng *rng)
{
    size_t len = file->clean_end - file->clean_start;

    if (len == 0) {
        return;
    }
    if (file->clean_end == file->data.len && Rng_Below(rng, 2) == 0) {
        file->synced_len = file->clean_start;
    }
    else {
        memset(file->data.data + file->clean_start, 0, len);
    }
    file->clean_end = file->clean_start;
}

void
MemStorage_Crash(MemStorage *disk, Rng *rng)
{
    size_t i;

    for (i = 0; i < disk->file_count; i++) {
        MemFile *file = &disk->files[i];
        size_t unsynced;
        size_t kept;

        lose_clean_bytes(file, rng);
        unsynced = file->data.len - file->synced_len;

        if (unsynced == 0) {
            continue;
        }
        kept = Rng_Below(rng, (uint32_t)unsynced + 1);
        if (Rng_Below(rng, 2) == 0) {
            zero_sectors(file, file->synced_len + kept, rng);
        }
        file->data.len = file->synced_len + kept;
        file->synced_len = file->data.len;
    }
    disk->syncs_before_failure = -1;
    disk->writes_before_failure = -1;
}

void
MemStorage_Wipe(MemStorage *disk)
{
    while (disk->file_count > 0) {
        Buf_Free(&disk->files[--disk->file_count].data);
    }
}

Buf *
MemStorage_GetFile(MemStorage *disk, const char *name)
{
    MemFile *file = find_file(disk, name);

    return file == NULL ? NULL : &file->data;
}

void
MemStorage_FlipBit(MemStorage *disk, const char *name, size_t offset,
                   unsigned bit)
{
    MemFile *file = find_file(disk, name);

    if (file != NULL && offset < file->data.len) {
        file->data.data[offset] =
            (char)((unsigned char)file->data.data[offset] ^ (1U << bit));
    }
}

uint64_t
MemStorage_CountSyncs(const MemStorage *disk)
{
    return disk->sync_count;
}
