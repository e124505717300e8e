/*
 * NAME
 *     wal - the durable log, vote, snapshot and identity of one voter
 *
 * DESCRIPTION
 *     Four files in a data folder: "identity" (random identity of the folder
 *     and id of its cluster), "vote" (term and vote), "snapshot" and "log".
 *     All carry a magic, a version and XXH64 checksums. A log record has one
 *     checksum over its header and one over its data, so that a damaged
 *     length is told from a record that was cut short.
 *
 *     Recovery cuts a torn tail after the last whole record and reports it. A
 *     record is torn when the file ends inside it, or when it ends in zero
 *     bytes up to the end of the file (a file that grew without its data).
 *     Every other damage stops recovery with the file and the byte offset:
 *     a bit flip, a gap in the indexes, a missing, foreign or shortened file.
 *     The vote file records the last index known to be synced at its last
 *     write, so a log cut below it is told from a torn tail.
 *
 *     A failed write or sync is final: every later call returns the same
 *     error. After a failed fsync the page cache may hold clean pages that
 *     never reached the disk, so a retry that succeeds proves nothing.
 *
 * ERRORS
 *     ST_CORRUPT  damaged files; the message names file and offset
 *     ST_IO, ST_FULL  from the storage; sticky
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
#define WAL_NOTE_BYTES 256

typedef struct Wal Wal;

/* What recovery found. */
typedef struct WalRecovery {
    uint64_t identity;
    uint64_t cluster; /* 0 until the folder joined a cluster */
    uint64_t term;
    uint64_t vote;
    uint64_t snapshot_index; /* 0 without a snapshot */
    uint64_t snapshot_term;
    RaftMembers snapshot_members;
    Buf snapshot;        /* the state machine's bytes */
    uint64_t base_index; /* of the entry before the first one in the log */
    uint64_t base_term;
    RaftEntry *entries; /* data points into log */
    size_t entry_count;
    Buf log;
    uint64_t torn_bytes;       /* cut from the tail of the log */
    char note[WAL_NOTE_BYTES]; /* one sentence when something was cut */
} WalRecovery;

void WalRecovery_Free(WalRecovery *recovery);

/* Writes the files of a new folder. With members, the folder starts a cluster
 * with this list as its first log entry (term 1); without, it waits to be
 * added by a leader and its cluster is 0. ST_EXISTS when the folder already
 * has an identity. */
Status Wal_Create(Storage *storage, uint64_t identity, uint64_t cluster,
                  const RaftMembers *members, ErrCtx *err);

/* Recovers. ST_NOT_FOUND for a folder without any of the files, or with those
 * of a creation that was interrupted. The storage must outlive the Wal. */
Status Wal_Open(Storage *storage, WalRecovery *recovery, Wal **wal,
                ErrCtx *err);

/* Notes the synced length for the next recovery when nothing has failed, and
 * frees. Unsynced appends are not synced. */
void Wal_Close(Wal *wal);

/* Stores term and vote, durably. */
Status Wal_SetVote(Wal *wal, uint64_t term, uint64_t vote, ErrCtx *err);

/* Stores the id of the cluster that this folder joined, durably. */
Status Wal_SetCluster(Wal *wal, uint64_t cluster, ErrCtx *err);

/* Appends entries that follow the last one; durable after Wal_Sync. */
Status Wal_Append(Wal *wal, const RaftEntry *entries, size_t count,
                  ErrCtx *err);
Status Wal_Sync(Wal *wal, ErrCtx *err);

/* Takes the result of a sync of WAL_LOG that another thread has made; err
 * holds the cause of a failure. Nothing may be written between its begin and
 * this call. */
Status Wal_Synced(Wal *wal, Status status, ErrCtx *err);

/* Removes all entries from index on, durably. */
Status Wal_Truncate(Wal *wal, uint64_t index, ErrCtx *err);

/* Stores a snapshot of the own state up to index, durably, and drops the
 * entries up to keep_from - 1 (at most index) from the log. */
Status Wal_Compact(Wal *wal, uint64_t index, uint64_t term,
                   const RaftMembers *members, const char *data, size_t len,
                   uint64_t keep_from, ErrCtx *err);

/* Stores a snapshot received from a leader, durably. The log keeps the
 * entries after it if its entry at index has the given term; otherwise it is
 * emptied. */
Status Wal_Install(Wal *wal, uint64_t index, uint64_t term,
                   const RaftMembers *members, const char *data, size_t len,
                   ErrCtx *err);

uint64_t Wal_LastIndex(const Wal *wal);

/* Returns the bytes of the log file. */
uint64_t Wal_LogBytes(const Wal *wal);

/* Returns the status of the failure that stopped the log, or ST_OK. */
Status Wal_Failed(const Wal *wal);

#endif
