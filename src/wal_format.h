/*
 * NAME
 *     wal_format - encoding of the files of a data folder
 *
 * DESCRIPTION
 *     All numbers are little-endian, and all checksums are XXH64. Every file
 *     holds the identity of the folder, which also seeds the record checksums,
 *     so that files or records copied from another folder are detected.
 *
 *     identity  magic, identity, cluster, checksum
 *     vote      magic, identity, term, vote, minimum synced index, checksum
 *     snapshot  magic, identity, index, term, members length, data length,
 *               checksum; members, data, checksum of both
 *     log       magic, identity, base index, base term, checksum; records
 *     record    data length (4), kind (4), index, term, checksum; data,
 *               checksum
 */
#ifndef COLTSFOOT_WAL_FORMAT_H
#define COLTSFOOT_WAL_FORMAT_H

#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "raft_msg.h"
#include "status.h"

#define WAL_IDENTITY_BYTES 32
#define WAL_VOTE_BYTES 48
#define WAL_SNAPSHOT_HEADER_BYTES 56
#define WAL_LOG_HEADER_BYTES 40
#define WAL_RECORD_HEADER_BYTES 32
#define WAL_CHECKSUM_BYTES 8

typedef struct WalVote {
    uint64_t term;
    uint64_t vote;             /* identity voted for in term, or 0 for none */
    uint64_t min_synced_index; /* entries up to this index are synced */
} WalVote;

void WalFormat_AppendIdentity(Buf *out, uint64_t identity, uint64_t cluster);
void WalFormat_AppendVote(Buf *out, uint64_t identity, const WalVote *vote);
void WalFormat_AppendSnapshot(Buf *out, uint64_t identity, uint64_t index,
                              uint64_t term, const RaftMembers *members,
                              const char *data, size_t len);
void WalFormat_AppendLogHeader(Buf *out, uint64_t identity,
                               uint64_t base_index, uint64_t base_term);
void WalFormat_AppendRecord(Buf *out, uint64_t identity,
                            const RaftEntry *entry);

Status WalFormat_ReadIdentity(const Buf *file, uint64_t *identity,
                              uint64_t *cluster, ErrCtx *err);
Status WalFormat_ReadVote(const Buf *file, uint64_t identity, WalVote *vote,
                          ErrCtx *err);

/* Stores the offset and length of the state data within the file. */
Status WalFormat_ReadSnapshot(const Buf *file, uint64_t identity,
                              uint64_t *index, uint64_t *term,
                              RaftMembers *members, size_t *data_offset,
                              size_t *data_len, ErrCtx *err);
Status WalFormat_ReadLogHeader(const Buf *file, uint64_t identity,
                               uint64_t *base_index, uint64_t *base_term,
                               ErrCtx *err);

/* Reads the record at offset. Returns ST_OK and stores the entry and the
 * offset of the next record; ST_AGAIN if the record is incomplete, where zero
 * bytes up to the end of the file count as missing; otherwise ST_CORRUPT. */
Status WalFormat_ReadRecord(const Buf *file, uint64_t identity, size_t offset,
                            RaftEntry *entry, size_t *next, ErrCtx *err);

#endif
