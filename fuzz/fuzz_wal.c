#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "support_storage.h"
#include "wal.h"
#include "wal_format.h"

/* Guards against damaged files that crash recovery, and against a recovery
 * that leaves files from which a second recovery fails or differs. The input
 * is a list of edits, of 4 bytes each, to the files of a valid folder. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#define IDENTITY UINT64_C(0x0102030405060708)

static void
create_log(Storage *storage)
{
    RaftMembers members = {0};
    RaftMember member = {IDENTITY, "a", "x", true};
    WalRecovery recovery;
    Wal *wal = NULL;
    uint64_t i;

    RaftMembers_Put(&members, &member);
    if (Wal_Create(storage, IDENTITY, 5, &members, NULL) != ST_OK ||
        Wal_Open(storage, &recovery, &wal, NULL) != ST_OK) {
        abort();
    }
    for (i = 2; i < 8; i++) {
        RaftEntry entry = {i, 1, RAFT_ENTRY_COMMAND, "0123456789abcdef",
                           2 * i};

        Wal_Append(wal, &entry, 1, NULL);
    }
    Wal_Sync(wal, NULL);
    Wal_Compact(wal, 4, 1, &members, "state", 5, 3, NULL);
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
}

/* Rewrites the checksum of a header, so that damage in it passes the check. */
static void
rewrite_checksum(Buf *file, size_t bytes)
{
    uint64_t checksum;
    size_t i;

    if (file->len < bytes) {
        return;
    }
    checksum = XXH64(file->data, bytes - WAL_CHECKSUM_BYTES, 0);
    for (i = 0; i < WAL_CHECKSUM_BYTES; i++) {
        file->data[bytes - WAL_CHECKSUM_BYTES + i] =
            (char)(checksum >> (8 * i));
    }
}

static void
apply_edit(MemStorage *disk, const uint8_t *edit)
{
    static const char *const names[] = {WAL_LOG, WAL_SNAPSHOT, WAL_VOTE,
                                        WAL_IDENTITY};
    static const size_t headers[] = {WAL_LOG_HEADER_BYTES,
                                     WAL_SNAPSHOT_HEADER_BYTES, WAL_VOTE_BYTES,
                                     WAL_IDENTITY_BYTES};
    Buf *file = MemStorage_GetFile(disk, names[edit[0] & 3U]);
    size_t offset = (size_t)edit[1] | (size_t)(edit[2] & 3U) << 8;

    if (file == NULL) {
        return;
    }
    switch ((edit[0] >> 2) % 6) {
    case 0:
        if (offset < file->len) {
            file->data[offset] = (char)edit[3];
        }
        break;
    case 1:
        if (offset < file->len) {
            file->len = offset;
        }
        break;
    case 2:
        Buf_Append(file, edit, 4);
        break;
    case 3:
        if (offset < file->len) {
            memset(file->data + offset, 0, file->len - offset);
        }
        break;
    case 4:
        rewrite_checksum(file, headers[edit[0] & 3U]);
        break;
    default:
        Storage_Remove(MemStorage_GetStorage(disk), names[edit[0] & 3U], NULL);
        break;
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_GetStorage(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err = {ST_OK, ""};
    Status status;
    size_t i;

    create_log(storage);
    for (i = 0; i + 4 <= size && i < 64; i += 4) {
        apply_edit(disk, data + i);
    }
    status = Wal_Open(storage, &recovery, &wal, &err);
    if (status == ST_OK) {
        uint64_t last = Wal_GetLastIndex(wal);

        WalRecovery_Free(&recovery);
        Wal_Close(wal);
        if (Wal_Open(storage, &recovery, &wal, &err) != ST_OK ||
            recovery.torn_bytes != 0 || Wal_GetLastIndex(wal) != last) {
            abort();
        }
        WalRecovery_Free(&recovery);
        Wal_Close(wal);
    }
    else if (status == ST_CORRUPT && strstr(err.message, "offset") == NULL) {
        abort();
    }
    MemStorage_Free(disk);
    return 0;
}
