#include "wal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wal_format.h"

typedef struct RecordPosition {
    uint64_t offset;
    uint64_t term;
} RecordPosition;

struct Wal {
    Storage *storage;
    uint64_t identity;
    WalVote vote;
    uint64_t snapshot_index;
    uint64_t base_index;
    uint64_t base_term;
    RecordPosition *positions; /* positions of entries after base_index */
    size_t count;
    size_t capacity;
    uint64_t log_bytes;
    uint64_t synced_index;
    Buf scratch;
    ErrCtx failure; /* first failure, returned by all later calls */
};

void
WalRecovery_Free(WalRecovery *recovery)
{
    Buf_Free(&recovery->snapshot);
    Buf_Free(&recovery->log);
    free(recovery->entries);
    recovery->entries = NULL;
    recovery->entry_count = 0;
}

/* Records the first failure and copies it to err. Returns status. */
static Status
record_failure(Wal *wal, Status status, const ErrCtx *cause, ErrCtx *err)
{
    if (status != ST_OK && wal->failure.status == ST_OK) {
        wal->failure = *cause;
        wal->failure.status = status;
    }
    if (status != ST_OK && err != NULL) {
        *err = wal->failure;
    }
    return status;
}

static Status
check_failure(const Wal *wal, ErrCtx *err)
{
    if (wal->failure.status != ST_OK && err != NULL) {
        *err = wal->failure;
    }
    return wal->failure.status;
}

static Status
write_vote(Wal *wal, const WalVote *vote, ErrCtx *err)
{
    ErrCtx cause = {ST_OK, ""};
    Status status;

    Buf_Clear(&wal->scratch);
    WalFormat_AppendVote(&wal->scratch, wal->identity, vote);
    status = Storage_Replace(wal->storage, WAL_VOTE, wal->scratch.data,
                             wal->scratch.len, &cause);
    if (status == ST_OK) {
        wal->vote = *vote;
    }
    return record_failure(wal, status, &cause, err);
}

/* Lowers the synced index in the vote file to index. Must be called before
 * synced entries are removed on purpose, since recovery fails if the log ends
 * below that index. */
static Status
lower_synced_index(Wal *wal, uint64_t index, ErrCtx *err)
{
    WalVote vote = wal->vote;

    if (vote.min_synced_index <= index) {
        return ST_OK;
    }
    vote.min_synced_index = index;
    return write_vote(wal, &vote, err);
}

Status
Wal_Create(Storage *storage, uint64_t identity, uint64_t cluster,
           const RaftMembers *members, ErrCtx *err)
{
    Buf bytes = BUF_INIT;
    Buf member_list = BUF_INIT;
    WalVote vote = {0, 0, 0};
    Status status;

    status = Storage_Read(storage, WAL_IDENTITY, &bytes, err);
    Buf_Clear(&bytes);
    if (status != ST_NOT_FOUND) {
        Buf_Free(&bytes);
        return status != ST_OK
                   ? status
                   : Err_Set(err, ST_EXISTS,
                             "the data folder already has an identity");
    }
    WalFormat_AppendLogHeader(&bytes, identity, 0, 0);
    if (members != NULL) {
        RaftEntry entry = {1, 1, RAFT_ENTRY_MEMBERS, NULL, 0};

        RaftMembers_Encode(members, &member_list);
        entry.data = member_list.data;
        entry.len = member_list.len;
        WalFormat_AppendRecord(&bytes, identity, &entry);
        vote.term = 1;
        vote.min_synced_index = 1;
    }
    status = Storage_Replace(storage, WAL_LOG, bytes.data, bytes.len, err);
    if (status == ST_OK) {
        Buf_Clear(&bytes);
        WalFormat_AppendVote(&bytes, identity, &vote);
        status =
            Storage_Replace(storage, WAL_VOTE, bytes.data, bytes.len, err);
    }
    /* The identity is written last: without it, recovery treats the folder as
     * new. */
    if (status == ST_OK) {
        Buf_Clear(&bytes);
        WalFormat_AppendIdentity(&bytes, identity, cluster);
        status =
            Storage_Replace(storage, WAL_IDENTITY, bytes.data, bytes.len, err);
    }
    Buf_Free(&bytes);
    Buf_Free(&member_list);
    return status;
}

static void
add_position(Wal *wal, uint64_t offset, uint64_t term)
{
    if (wal->count == wal->capacity) {
        size_t capacity = wal->capacity ? wal->capacity * 2 : 256;
        wal->positions =
            Mem_Resize(wal->positions, capacity * sizeof(*wal->positions));
        wal->capacity = capacity;
    }
    wal->positions[wal->count].offset = offset;
    wal->positions[wal->count].term = term;
    wal->count++;
}

static uint64_t
get_term_at(const Wal *wal, uint64_t index)
{
    if (index == wal->base_index) {
        return wal->base_term;
    }
    if (index < wal->base_index || index > Wal_GetLastIndex(wal)) {
        return 0;
    }
    return wal->positions[index - wal->base_index - 1].term;
}

/* Checks a folder without an identity. Returns ST_NOT_FOUND if it is new, or
 * ST_CORRUPT if it holds more than an interrupted Wal_Create leaves. */
static Status
check_new_folder(Storage *storage, ErrCtx *err)
{
    Buf file = BUF_INIT;
    size_t max_created_bytes = WAL_LOG_HEADER_BYTES + WAL_RECORD_HEADER_BYTES +
                               WAL_CHECKSUM_BYTES + 1024;
    Status status = Storage_Read(storage, WAL_SNAPSHOT, &file, err);

    if (status == ST_OK) {
        status = Err_Set(err, ST_CORRUPT,
                         "identity: offset 0: the file is missing, but there "
                         "is a snapshot");
    }
    else if (status == ST_NOT_FOUND) {
        status = Storage_Read(storage, WAL_LOG, &file, err);
        if (status == ST_OK) {
            status = ST_NOT_FOUND;
            if (file.len > max_created_bytes) {
                status = Err_Set(err, ST_CORRUPT,
                                 "identity: offset 0: the file is missing, "
                                 "but there is a log");
            }
        }
    }
    Buf_Free(&file);
    return status;
}

/* Reads a file that every folder with an identity has. */
static Status
read_required_file(Storage *storage, const char *name, Buf *out, ErrCtx *err)
{
    Status status = Storage_Read(storage, name, out, err);

    if (status == ST_NOT_FOUND) {
        return Err_Set(err, ST_CORRUPT, "%s: offset 0: the file is missing",
                       name);
    }
    return status;
}

static Status
recover_vote_and_snapshot(Wal *wal, WalRecovery *recovery, ErrCtx *err)
{
    Buf file = BUF_INIT;
    size_t offset;
    size_t len;
    Status status = Storage_Read(wal->storage, WAL_IDENTITY, &file, err);

    if (status == ST_NOT_FOUND) {
        status = check_new_folder(wal->storage, err);
    }
    else if (status == ST_OK) {
        status = WalFormat_ReadIdentity(&file, &recovery->identity,
                                        &recovery->cluster, err);
    }
    wal->identity = recovery->identity;
    if (status == ST_OK) {
        Buf_Clear(&file);
        status = read_required_file(wal->storage, WAL_VOTE, &file, err);
    }
    if (status == ST_OK) {
        status = WalFormat_ReadVote(&file, wal->identity, &wal->vote, err);
    }
    if (status == ST_OK) {
        Buf_Clear(&file);
        status = Storage_Read(wal->storage, WAL_SNAPSHOT, &file, err);
        if (status == ST_OK) {
            status = WalFormat_ReadSnapshot(
                &file, wal->identity, &recovery->snapshot_index,
                &recovery->snapshot_term, &recovery->snapshot_members, &offset,
                &len, err);
            if (status == ST_OK) {
                Buf_Append(&recovery->snapshot, file.data + offset, len);
            }
        }
        else if (status == ST_NOT_FOUND) {
            status = ST_OK;
        }
    }
    Buf_Free(&file);
    recovery->term = wal->vote.term;
    recovery->vote = wal->vote.vote;
    wal->snapshot_index = recovery->snapshot_index;
    return status;
}

static void
add_recovered_entry(Wal *wal, WalRecovery *recovery, const RaftEntry *entry,
                    size_t offset)
{
    if (wal->count == wal->capacity) {
        size_t capacity = wal->capacity ? wal->capacity * 2 : 256;
        recovery->entries = Mem_Resize(recovery->entries,
                                       capacity * sizeof(*recovery->entries));
    }
    add_position(wal, offset, entry->term);
    recovery->entries[recovery->entry_count++] = *entry;
}

static Status
recover_records(Wal *wal, WalRecovery *recovery, ErrCtx *err)
{
    Buf *log = &recovery->log;
    size_t offset = WAL_LOG_HEADER_BYTES;
    uint64_t index = wal->base_index;
    uint64_t term = wal->base_term;
    Status status = ST_OK;

    while (offset < log->len) {
        RaftEntry entry;
        size_t next = 0;

        status = WalFormat_ReadRecord(log, wal->identity, offset, &entry,
                                      &next, err);
        if (status == ST_AGAIN) {
            recovery->torn_bytes = log->len - offset;
            snprintf(recovery->repair, sizeof(recovery->repair),
                     "log: offset %zu: cut a torn tail of %llu bytes after "
                     "entry %llu",
                     offset, (unsigned long long)recovery->torn_bytes,
                     (unsigned long long)index);
            break;
        }
        if (status != ST_OK) {
            return status;
        }
        if (entry.index != index + 1 || entry.term < term ||
            entry.term > wal->vote.term) {
            return Err_Set(err, ST_CORRUPT,
                           "log: offset %zu: entry %llu of term %llu does not "
                           "follow entry %llu of term %llu",
                           offset, (unsigned long long)entry.index,
                           (unsigned long long)entry.term,
                           (unsigned long long)index,
                           (unsigned long long)term);
        }
        add_recovered_entry(wal, recovery, &entry, offset);
        index = entry.index;
        term = entry.term;
        offset = next;
    }
    wal->log_bytes = offset;
    if (index < wal->vote.min_synced_index) {
        return Err_Set(err, ST_CORRUPT,
                       "log: offset %zu: the log ends at entry %llu, but "
                       "entries up to %llu were synced",
                       offset, (unsigned long long)index,
                       (unsigned long long)wal->vote.min_synced_index);
    }
    return ST_OK;
}

static Status
reset_log(Wal *wal, uint64_t index, uint64_t term, ErrCtx *err)
{
    ErrCtx cause = {ST_OK, ""};
    Status status;

    Buf_Clear(&wal->scratch);
    WalFormat_AppendLogHeader(&wal->scratch, wal->identity, index, term);
    status = Storage_Replace(wal->storage, WAL_LOG, wal->scratch.data,
                             wal->scratch.len, &cause);
    if (status == ST_OK) {
        wal->base_index = index;
        wal->base_term = term;
        wal->count = 0;
        wal->log_bytes = wal->scratch.len;
        wal->synced_index = index;
    }
    return record_failure(wal, status, &cause, err);
}

/* Checks the log against the snapshot, and completes an interrupted
 * Wal_InstallSnapshot. */
static Status
reconcile_snapshot(Wal *wal, WalRecovery *recovery, ErrCtx *err)
{
    uint64_t index = recovery->snapshot_index;
    Status status;

    if (wal->base_index > index) {
        return Err_Set(err, ST_CORRUPT,
                       "log: offset 16: the log starts after entry %llu, but "
                       "the snapshot ends at entry %llu",
                       (unsigned long long)wal->base_index,
                       (unsigned long long)index);
    }
    if (index == 0 || get_term_at(wal, index) == recovery->snapshot_term) {
        return ST_OK;
    }
    snprintf(recovery->repair, sizeof(recovery->repair),
             "log: offset %d: replaced entries %llu to %llu by the snapshot "
             "received up to entry %llu",
             WAL_LOG_HEADER_BYTES, (unsigned long long)wal->base_index + 1,
             (unsigned long long)Wal_GetLastIndex(wal),
             (unsigned long long)index);
    status = lower_synced_index(wal, index, err);
    if (status == ST_OK) {
        status = reset_log(wal, index, recovery->snapshot_term, err);
    }
    recovery->entry_count = 0;
    return status;
}

/* Writes the records that are not known to be synced once more. An earlier
 * process may have read them back or written them and failed to sync them. */
static Status
rewrite_unsynced_records(Wal *wal, const Buf *log, ErrCtx *err)
{
    uint64_t synced = wal->vote.min_synced_index;
    size_t first =
        synced > wal->base_index ? (size_t)(synced - wal->base_index) : 0;
    uint64_t offset;

    if (first >= wal->count) {
        return ST_OK;
    }
    offset = wal->positions[first].offset;
    return Storage_Rewrite(wal->storage, WAL_LOG, offset, log->data + offset,
                           (size_t)(wal->log_bytes - offset), err);
}

static Status
recover_log(Wal *wal, WalRecovery *recovery, ErrCtx *err)
{
    Status status =
        read_required_file(wal->storage, WAL_LOG, &recovery->log, err);

    if (status == ST_OK) {
        status =
            WalFormat_ReadLogHeader(&recovery->log, wal->identity,
                                    &wal->base_index, &wal->base_term, err);
    }
    if (status == ST_OK) {
        status = recover_records(wal, recovery, err);
    }
    if (status == ST_OK && recovery->torn_bytes > 0) {
        status = Storage_Truncate(wal->storage, WAL_LOG, wal->log_bytes, err);
    }
    if (status == ST_OK) {
        status = reconcile_snapshot(wal, recovery, err);
    }
    if (status == ST_OK) {
        status = rewrite_unsynced_records(wal, &recovery->log, err);
    }
    if (status == ST_OK) {
        status = Storage_Sync(wal->storage, WAL_LOG, err);
    }
    wal->synced_index = Wal_GetLastIndex(wal);
    recovery->base_index = wal->base_index;
    recovery->base_term = wal->base_term;
    return status;
}

static void
free_wal(Wal *wal)
{
    Buf_Free(&wal->scratch);
    free(wal->positions);
    free(wal);
}

Status
Wal_Open(Storage *storage, WalRecovery *recovery, Wal **result, ErrCtx *err)
{
    Wal *wal = calloc(1, sizeof(*wal));
    Status status;

    memset(recovery, 0, sizeof(*recovery));
    if (wal == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "out of memory");
    }
    wal->storage = storage;
    status = recover_vote_and_snapshot(wal, recovery, err);
    if (status == ST_OK) {
        status = recover_log(wal, recovery, err);
    }
    if (status != ST_OK) {
        free_wal(wal);
        WalRecovery_Free(recovery);
        return status;
    }
    *result = wal;
    return ST_OK;
}

void
Wal_Close(Wal *wal)
{
    if (wal == NULL) {
        return;
    }
    if (wal->failure.status == ST_OK &&
        wal->vote.min_synced_index < wal->synced_index) {
        WalVote vote = wal->vote;

        vote.min_synced_index = wal->synced_index;
        write_vote(wal, &vote, NULL);
    }
    free_wal(wal);
}

Status
Wal_SetVote(Wal *wal, uint64_t term, uint64_t vote, ErrCtx *err)
{
    WalVote new_vote = {term, vote, wal->synced_index};

    if (check_failure(wal, err) != ST_OK) {
        return wal->failure.status;
    }
    return write_vote(wal, &new_vote, err);
}

Status
Wal_SetCluster(Wal *wal, uint64_t cluster, ErrCtx *err)
{
    ErrCtx cause = {ST_OK, ""};
    Status status;

    if (check_failure(wal, err) != ST_OK) {
        return wal->failure.status;
    }
    Buf_Clear(&wal->scratch);
    WalFormat_AppendIdentity(&wal->scratch, wal->identity, cluster);
    status = Storage_Replace(wal->storage, WAL_IDENTITY, wal->scratch.data,
                             wal->scratch.len, &cause);
    return record_failure(wal, status, &cause, err);
}

Status
Wal_Append(Wal *wal, const RaftEntry *entries, size_t count, ErrCtx *err)
{
    ErrCtx cause = {ST_OK, ""};
    Status status;
    size_t i;

    if (check_failure(wal, err) != ST_OK) {
        return wal->failure.status;
    }
    Buf_Clear(&wal->scratch);
    for (i = 0; i < count; i++) {
        if (entries[i].index != Wal_GetLastIndex(wal) + 1) {
            return Err_Set(err, ST_INVALID,
                           "entry %llu does not follow entry %llu",
                           (unsigned long long)entries[i].index,
                           (unsigned long long)Wal_GetLastIndex(wal));
        }
        add_position(wal, wal->log_bytes + wal->scratch.len, entries[i].term);
        WalFormat_AppendRecord(&wal->scratch, wal->identity, &entries[i]);
    }
    status = Storage_Append(wal->storage, WAL_LOG, wal->scratch.data,
                            wal->scratch.len, &cause);
    wal->log_bytes += wal->scratch.len;
    return record_failure(wal, status, &cause, err);
}

static Status
apply_sync_result(Wal *wal, Status status, const ErrCtx *cause, ErrCtx *err)
{
    if (status == ST_OK) {
        wal->synced_index = Wal_GetLastIndex(wal);
    }
    return record_failure(wal, status, cause, err);
}

Status
Wal_Sync(Wal *wal, ErrCtx *err)
{
    ErrCtx cause = {ST_OK, ""};
    Status status;

    if (check_failure(wal, err) != ST_OK) {
        return wal->failure.status;
    }
    status = Storage_Sync(wal->storage, WAL_LOG, &cause);
    return apply_sync_result(wal, status, &cause, err);
}

Status
Wal_FinishSync(Wal *wal, Status status, ErrCtx *err)
{
    ErrCtx cause = *err;

    return apply_sync_result(wal, status, &cause, err);
}

Status
Wal_Truncate(Wal *wal, uint64_t index, ErrCtx *err)
{
    ErrCtx cause = {ST_OK, ""};
    Status status;
    size_t kept_count;

    if (check_failure(wal, err) != ST_OK) {
        return wal->failure.status;
    }
    if (index > Wal_GetLastIndex(wal)) {
        return ST_OK;
    }
    if (index <= wal->base_index || index <= wal->snapshot_index) {
        return Err_Set(err, ST_INVALID, "entry %llu is part of a snapshot",
                       (unsigned long long)index);
    }
    status = lower_synced_index(wal, index - 1, err);
    if (status != ST_OK) {
        return status;
    }
    kept_count = (size_t)(index - wal->base_index - 1);
    status = Storage_Truncate(wal->storage, WAL_LOG,
                              wal->positions[kept_count].offset, &cause);
    if (status == ST_OK) {
        wal->log_bytes = wal->positions[kept_count].offset;
        wal->count = kept_count;
        wal->synced_index = Wal_GetLastIndex(wal);
    }
    return record_failure(wal, status, &cause, err);
}

/* Rewrites the log without the entries up to and including base. */
static Status
drop_log_prefix(Wal *wal, uint64_t base, ErrCtx *err)
{
    ErrCtx cause = {ST_OK, ""};
    Buf file = BUF_INIT;
    uint64_t base_term = get_term_at(wal, base);
    size_t dropped_count = (size_t)(base - wal->base_index);
    uint64_t first_offset = dropped_count < wal->count
                                ? wal->positions[dropped_count].offset
                                : wal->log_bytes;
    Status status = Storage_Read(wal->storage, WAL_LOG, &file, &cause);
    size_t i;

    if (status == ST_OK && file.len != wal->log_bytes) {
        status = Err_Set(
            &cause, ST_CORRUPT,
            "log: offset %zu: the length was changed from outside", file.len);
    }
    if (status == ST_OK) {
        Buf_Clear(&wal->scratch);
        WalFormat_AppendLogHeader(&wal->scratch, wal->identity, base,
                                  base_term);
        Buf_Append(&wal->scratch, file.data + first_offset,
                   file.len - (size_t)first_offset);
        status = Storage_Replace(wal->storage, WAL_LOG, wal->scratch.data,
                                 wal->scratch.len, &cause);
    }
    Buf_Free(&file);
    if (status != ST_OK) {
        return record_failure(wal, status, &cause, err);
    }
    for (i = dropped_count; i < wal->count; i++) {
        wal->positions[i - dropped_count] = wal->positions[i];
        wal->positions[i - dropped_count].offset -=
            first_offset - WAL_LOG_HEADER_BYTES;
    }
    wal->count -= dropped_count;
    wal->base_index = base;
    wal->base_term = base_term;
    wal->log_bytes = wal->scratch.len;
    wal->synced_index = Wal_GetLastIndex(wal);
    return ST_OK;
}

static Status
write_snapshot(Wal *wal, uint64_t index, uint64_t term,
               const RaftMembers *members, const char *data, size_t len,
               ErrCtx *err)
{
    ErrCtx cause = {ST_OK, ""};
    Status status;

    Buf_Clear(&wal->scratch);
    WalFormat_AppendSnapshot(&wal->scratch, wal->identity, index, term,
                             members, data, len);
    status = Storage_Replace(wal->storage, WAL_SNAPSHOT, wal->scratch.data,
                             wal->scratch.len, &cause);
    if (status == ST_OK) {
        wal->snapshot_index = index;
    }
    return record_failure(wal, status, &cause, err);
}

Status
Wal_Compact(Wal *wal, uint64_t index, uint64_t term,
            const RaftMembers *members, const char *data, size_t len,
            uint64_t keep_from, ErrCtx *err)
{
    Status status;

    if (check_failure(wal, err) != ST_OK) {
        return wal->failure.status;
    }
    if (index <= wal->snapshot_index || index > Wal_GetLastIndex(wal) ||
        get_term_at(wal, index) != term || keep_from > index + 1) {
        return Err_Set(err, ST_INVALID,
                       "no snapshot can be taken at entry %llu",
                       (unsigned long long)index);
    }
    status = write_snapshot(wal, index, term, members, data, len, err);
    if (status == ST_OK && keep_from > wal->base_index + 1) {
        status = drop_log_prefix(wal, keep_from - 1, err);
    }
    return status;
}

Status
Wal_InstallSnapshot(Wal *wal, uint64_t index, uint64_t term,
                    const RaftMembers *members, const char *data, size_t len,
                    ErrCtx *err)
{
    Status status;
    bool keeps_tail = get_term_at(wal, index) == term;

    if (check_failure(wal, err) != ST_OK) {
        return wal->failure.status;
    }
    if (index <= wal->snapshot_index) {
        return Err_Set(err, ST_INVALID,
                       "snapshot %llu is not newer than snapshot %llu",
                       (unsigned long long)index,
                       (unsigned long long)wal->snapshot_index);
    }
    status = keeps_tail ? ST_OK : lower_synced_index(wal, index, err);
    if (status == ST_OK) {
        status = write_snapshot(wal, index, term, members, data, len, err);
    }
    if (status != ST_OK) {
        return status;
    }
    return keeps_tail ? drop_log_prefix(wal, index, err)
                      : reset_log(wal, index, term, err);
}

uint64_t
Wal_GetLastIndex(const Wal *wal)
{
    return wal->base_index + wal->count;
}

uint64_t
Wal_GetLogBytes(const Wal *wal)
{
    return wal->log_bytes;
}

Status
Wal_GetFailure(const Wal *wal)
{
    return wal->failure.status;
}
