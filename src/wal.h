/*
 * NAME
 *     wal - durable log, vote, snapshot and identity of one cluster member
 *
 * DESCRIPTION
 *     The data folder holds four files: "identity" (random identity of the
 *     folder and id of its cluster), "vote" (term and vote), "snapshot" and
 *     "log". Each has a magic number with a version, and XXH64 checksums. A
 *     log record has one checksum over its header and one over its data, which
 *     distinguishes a damaged length from a truncated record.
 *
 *     Recovery truncates a torn tail after the last complete record and
 *     reports it. A record is torn if the file ends inside it, or if it ends
 *     in zero bytes up to the end of the file (the file was extended, but its
 *     data was not written). Any other damage stops recovery with an error
 *     that names the file and the byte offset: a bit flip, a gap in the
 *     indexes, a missing or truncated file, or a file of another folder. The
 *     vote file records the last index known to be synced when it was
 *     written, which distinguishes a log truncated below that index from a
 *     torn tail.
 *
 *     A failed write or sync is permanent: every later call returns the same
 *     error. After a failed fsync the page cache may hold clean pages that
 *     never reached the disk, so a successful retry does not show that the
 *     data is durable. For the same reason recovery writes the records after
 *     the last index known to be synced once more before it trusts them.
 *
 * ERRORS
 *     ST_CORRUPT      damaged files; the message names file and offset
 *     ST_IO, ST_FULL  storage failure; permanent, see above
 */
#ifndef COLTSFOOT_WAL_H
#define COLTSFOOT_WAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "raft_msg.h"
#include "status.h"
#include "storage.h"

#define WAL_LOG "log"
#define WAL_VOTE "vote"
#define WAL_SNAPSHOT "snapshot"
#define WAL_IDENTITY "identity"
#define WAL_REPAIR_BYTES 256

typedef struct Wal Wal;

/* The state read from the data folder at startup. */
typedef struct WalRecovery {
    uint64_t identity;
    uint64_t cluster; /* 0 until the folder joins a cluster */
    uint64_t term;
    uint64_t vote;
    uint64_t snapshot_index; /* 0 without a snapshot */
    uint64_t snapshot_term;
    RaftMembers snapshot_members;
    Buf snapshot;        /* encoded state of the state machine */
    uint64_t base_index; /* index of the entry before the log's first entry */
    uint64_t base_term;
    RaftEntry *entries; /* entries of the log; their data points into log */
    size_t entry_count;
    Buf log;             /* content of the log file */
    uint64_t torn_bytes; /* length of the torn tail that was truncated */
    char repair[WAL_REPAIR_BYTES]; /* text about a repair of the log, or "" */
} WalRecovery;

void WalRecovery_Free(WalRecovery *recovery);

/* Writes the files of a new folder. If members is given, the folder starts a
 * cluster with that list as its first log entry, of term 1. If members is
 * NULL, the log is empty until a leader adds this node; the caller then passes
 * 0 as cluster. Returns ST_EXISTS if the folder already has an identity. */
Status Wal_Create(Storage *storage, uint64_t identity, uint64_t cluster,
                  const RaftMembers *members, ErrCtx *err);

/* Recovers the state from the folder. Returns ST_NOT_FOUND if the folder has
 * none of the files, or only those of an interrupted Wal_Create. The storage
 * must outlive the Wal. */
Status Wal_Open(Storage *storage, WalRecovery *recovery, Wal **wal,
                ErrCtx *err);

/* Stores the last synced index for the next recovery, unless a call has
 * failed, and frees the Wal. Does not sync appended entries. */
void Wal_Close(Wal *wal);

/* Stores term and vote, durably. */
Status Wal_SetVote(Wal *wal, uint64_t term, uint64_t vote, ErrCtx *err);

/* Stores the id of the cluster that this folder joined, durably. */
Status Wal_SetCluster(Wal *wal, uint64_t cluster, ErrCtx *err);

/* Appends entries that directly follow the last one. They become durable with
 * Wal_Sync. */
Status Wal_Append(Wal *wal, const RaftEntry *entries, size_t count,
                  ErrCtx *err);
Status Wal_Sync(Wal *wal, ErrCtx *err);

/* Records the result of a sync of WAL_LOG made by another thread; err holds
 * the cause if status is not ST_OK. Nothing may be written between the start
 * of that sync and this call. */
Status Wal_FinishSync(Wal *wal, Status status, ErrCtx *err);

/* Removes the entries from index to the end, durably. */
Status Wal_Truncate(Wal *wal, uint64_t index, ErrCtx *err);

/* Stores a snapshot of the local state up to index, durably, and removes the
 * entries before keep_from from the log; keep_from is at most index + 1. */
Status Wal_Compact(Wal *wal, uint64_t index, uint64_t term,
                   const RaftMembers *members, const char *data, size_t len,
                   uint64_t keep_from, ErrCtx *err);

/* Stores a snapshot received from a leader, durably. If the log's entry at
 * index has the given term, the entries after it are kept; otherwise all
 * entries are removed. */
Status Wal_InstallSnapshot(Wal *wal, uint64_t index, uint64_t term,
                           const RaftMembers *members, const char *data,
                           size_t len, ErrCtx *err);

uint64_t Wal_GetLastIndex(const Wal *wal);

/* Returns the size of the log file in bytes. */
uint64_t Wal_GetLogBytes(const Wal *wal);

/* Returns the status of the first failure, or ST_OK if there was none. */
Status Wal_GetFailure(const Wal *wal);

#endif
