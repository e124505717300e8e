/*
 * NAME
 *     support_storage - storage in memory with fault injection
 *
 * DESCRIPTION
 *     The files remain after Storage_Close, as on a disk after a process ends.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_STORAGE_H
#define COLTSFOOT_TESTS_SUPPORT_STORAGE_H

#include "rng.h"
#include "storage.h"

typedef struct MemStorage MemStorage;

MemStorage *MemStorage_New(void);
void MemStorage_Free(MemStorage *disk);
Storage *MemStorage_GetStorage(MemStorage *disk);

/* Lets the given number of syncs or writes succeed and fails the next one,
 * a sync with ST_IO and a write with ST_FULL. A negative number disables the
 * fault. As with a real page cache, the bytes of a failed sync can be read
 * until the next crash, and later syncs do not write them. */
void MemStorage_FailSync(MemStorage *disk, int successes);
void MemStorage_FailWrite(MemStorage *disk, int successes);

/* While offline, every write and sync fails, as if the process had been
 * killed. */
void MemStorage_SetOffline(MemStorage *disk, bool offline);

/* Simulates a crash: discards a random number of unsynced bytes from the end
 * of each file and may zero some of the remaining unsynced ones. Disables
 * injected faults. */
void MemStorage_Crash(MemStorage *disk, Rng *rng);

/* Removes every file. */
void MemStorage_Wipe(MemStorage *disk);

/* Gives direct access to the content of a file, for instance to damage it.
 * Returns NULL if the file does not exist. */
Buf *MemStorage_GetFile(MemStorage *disk, const char *name);
void MemStorage_FlipBit(MemStorage *disk, const char *name, size_t offset,
                        unsigned bit);

uint64_t MemStorage_CountSyncs(const MemStorage *disk);

#endif
