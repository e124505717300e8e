/*
 * NAME
 *     support_storage - a disk in memory that can fail
 *
 * DESCRIPTION
 *     Outlives Storage_Close, like a disk outlives a process.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_STORAGE_H
#define COLTSFOOT_TESTS_SUPPORT_STORAGE_H

#include "rng.h"
#include "storage.h"

typedef struct MemStorage MemStorage;

MemStorage *MemStorage_New(void);
void MemStorage_Free(MemStorage *disk);
Storage *MemStorage_Base(MemStorage *disk);

/* Fails the call after count more calls of its kind, with ST_IO for a sync
 * and ST_FULL for a write. A negative count turns the fault off. */
void MemStorage_FailSync(MemStorage *disk, int count);
void MemStorage_FailWrite(MemStorage *disk, int count);

/* While cut, every write and sync fails, as after the process was killed. */
void MemStorage_Cut(MemStorage *disk, bool cut);

/* Loses a random part of the bytes that were not synced; some of those that
 * remain may be zero. */
void MemStorage_Crash(MemStorage *disk, Rng *rng);

/* Removes every file. */
void MemStorage_Wipe(MemStorage *disk);

/* Direct access, for damage. Returns NULL for an unknown name. */
Buf *MemStorage_File(MemStorage *disk, const char *name);
void MemStorage_FlipBit(MemStorage *disk, const char *name, size_t offset,
                        unsigned bit);

uint64_t MemStorage_Syncs(const MemStorage *disk);

#endif
