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
    size_t synced;
} MemFile;

struct MemStorage {
    Storage base;
    MemFile files[MAX_FILES];
    size_t count;
    int fail_sync;
    int fail_write;
    uint64_t syncs;
    bool cut;
};

static MemFile *
find(MemStorage *disk, const char *name)
{
    size_t i;

    for (i = 0; i < disk->count; i++) {
        if (strcmp(disk->files[i].name, name) == 0) {
            return &disk->files[i];
        }
    }
    return NULL;
}

static MemFile *
find_or_add(MemStorage *disk, const char *name)
{
    MemFile *file = find(disk, name);

    if (file == NULL) {
        if (disk->count == MAX_FILES) {
            abort();
        }
        file = &disk->files[disk->count++];
        memset(file, 0, sizeof(*file));
        snprintf(file->name, sizeof(file->name), "%s", name);
    }
    return file;
}

/* Counts down to the injected fault. */
static bool
due(const MemStorage *disk, int *countdown)
{
    if (disk->cut) {
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
    MemFile *file = find_or_add(disk, name);

    if (due(disk, &disk->fail_write)) {
        /* A full disk takes a part of the bytes. */
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
    MemFile *file = find_or_add(disk, name);

    disk->syncs++;
    if (due(disk, &disk->fail_sync)) {
        return Err_Set(err, ST_IO, "%s: sync failed", name);
    }
    file->synced = file->data.len;
    return ST_OK;
}

static Status
mem_read(Storage *storage, const char *name, Buf *out, ErrCtx *err)
{
    MemFile *file = find((MemStorage *)storage, name);

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
    MemFile *file = find_or_add(disk, name);

    if (due(disk, &disk->fail_sync)) {
        return Err_Set(err, ST_IO, "%s: truncate failed", name);
    }
    if (size < file->data.len) {
        file->data.len = (size_t)size;
    }
    file->synced = file->data.len;
    return ST_OK;
}

static Status
mem_replace(Storage *storage, const char *name, const void *data, size_t len,
            ErrCtx *err)
{
    MemStorage *disk = (MemStorage *)storage;
    MemFile *file;

    disk->syncs++;
    if (due(disk, &disk->fail_write)) {
        return Err_Set(err, ST_FULL, "%s: write failed: disk full", name);
    }
    if (due(disk, &disk->fail_sync)) {
        return Err_Set(err, ST_IO, "%s: sync failed", name);
    }
    file = find_or_add(disk, name);
    Buf_Clear(&file->data);
    Buf_Append(&file->data, data, len);
    file->synced = len;
    return ST_OK;
}

static Status
mem_list(Storage *storage, StorageVisit visit, void *arg, ErrCtx *err)
{
    MemStorage *disk = (MemStorage *)storage;
    size_t i;

    (void)err;
    for (i = 0; i < disk->count; i++) {
        visit(arg, disk->files[i].name);
    }
    return ST_OK;
}

static Status
mem_remove(Storage *storage, const char *name, ErrCtx *err)
{
    MemStorage *disk = (MemStorage *)storage;
    MemFile *file = find(disk, name);

    if (file == NULL) {
        return Err_Set(err, ST_NOT_FOUND, "%s: no such file", name);
    }
    Buf_Free(&file->data);
    *file = disk->files[--disk->count];
    return ST_OK;
}

static void
mem_close(Storage *storage)
{
    (void)storage;
}

static const StorageOps mem_ops = {mem_append,   mem_sync,    mem_read,
                                   mem_truncate, mem_replace, mem_list,
                                   mem_remove,   mem_close};

MemStorage *
MemStorage_New(void)
{
    MemStorage *disk = calloc(1, sizeof(*disk));

    if (disk == NULL) {
        abort();
    }
    disk->base.ops = &mem_ops;
    disk->fail_sync = -1;
    disk->fail_write = -1;
    return disk;
}

void
MemStorage_Free(MemStorage *disk)
{
    MemStorage_Wipe(disk);
    free(disk);
}

Storage *
MemStorage_Base(MemStorage *disk)
{
    return &disk->base;
}

void
MemStorage_FailSync(MemStorage *disk, int count)
{
    disk->fail_sync = count;
}

void
MemStorage_FailWrite(MemStorage *disk, int count)
{
    disk->fail_write = count;
}

void
MemStorage_Cut(MemStorage *disk, bool cut)
{
    disk->cut = cut;
}

/* The file grew, but its last sectors were not written. */
static void
zero_sectors(MemFile *file, size_t end, Rng *rng)
{
    size_t start =
        file->synced + Rng_Below(rng, (uint32_t)(end - file->synced) + 1);

    start = (start + SECTOR_BYTES - 1) / SECTOR_BYTES * SECTOR_BYTES;
    if (start < end) {
        memset(file->data.data + start, 0, end - start);
    }
}

void
MemStorage_Crash(MemStorage *disk, Rng *rng)
{
    size_t i;

    for (i = 0; i < disk->count; i++) {
        MemFile *file = &disk->files[i];
        size_t loose = file->data.len - file->synced;
        size_t kept;

        if (loose == 0) {
            continue;
        }
        kept = Rng_Below(rng, (uint32_t)loose + 1);
        if (Rng_Below(rng, 2) == 0) {
            zero_sectors(file, file->synced + kept, rng);
        }
        file->data.len = file->synced + kept;
        file->synced = file->data.len;
    }
    disk->fail_sync = -1;
    disk->fail_write = -1;
}

void
MemStorage_Wipe(MemStorage *disk)
{
    while (disk->count > 0) {
        Buf_Free(&disk->files[--disk->count].data);
    }
}

Buf *
MemStorage_File(MemStorage *disk, const char *name)
{
    MemFile *file = find(disk, name);

    return file == NULL ? NULL : &file->data;
}

void
MemStorage_FlipBit(MemStorage *disk, const char *name, size_t offset,
                   unsigned bit)
{
    MemFile *file = find(disk, name);

    if (file != NULL && offset < file->data.len) {
        file->data.data[offset] =
            (char)((unsigned char)file->data.data[offset] ^ (1U << bit));
    }
}

uint64_t
MemStorage_Syncs(const MemStorage *disk)
{
    return disk->syncs;
}
