#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support.h"
#include "support_storage.h"
#include "wal.h"
#include "wal_format.h"

#define IDENTITY UINT64_C(0x1122334455667788)
#define CLUSTER UINT64_C(0x99)

static const RaftMembers members = {
    1,
    {{.identity = IDENTITY, .name = "a", .data_centre = "x", .voter = true}}};

static RaftEntry
make_entry(uint64_t index, uint64_t term, const char *text)
{
    RaftEntry new_entry = {index, term, RAFT_ENTRY_COMMAND, text,
                           strlen(text)};

    return new_entry;
}

/* Creates a log and appends entries 2 to last, of term 1, each synced. */
static void
create_log(Storage *storage, uint64_t last)
{
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;
    uint64_t i;

    ck_assert_int_eq(Wal_Create(storage, IDENTITY, CLUSTER, &members, &err),
                     ST_OK);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    for (i = 2; i <= last; i++) {
        RaftEntry new_entry = make_entry(i, 1, "some command text");

        ck_assert_int_eq(Wal_Append(wal, &new_entry, 1, &err), ST_OK);
        ck_assert_int_eq(Wal_Sync(wal, &err), ST_OK);
    }
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
}

/* Resets the last synced index in the vote file to 1, as if the process had
 * been killed before it closed the log. */
static void
reset_synced_index(MemStorage *disk)
{
    WalVote vote = {1, 0, 1};
    Buf *file = MemStorage_GetFile(disk, WAL_VOTE);

    Buf_Clear(file);
    WalFormat_AppendVote(file, IDENTITY, &vote);
}

typedef enum Damage {
    TRUNCATE,             /* arg: number of bytes removed from the end */
    TRUNCATE_AFTER_CLOSE, /* as TRUNCATE, with the last synced index stored */
    ZERO_TAIL,            /* arg: number of bytes at the end set to 0 */
    FLIP_BIT,             /* arg: offset of the byte whose bit 2 is flipped */
    REMOVE_FILE,
    WRONG_MAGIC,   /* the first byte is changed */
    REMOVE_RECORD, /* the record of entry 3 is removed */
    APPEND_ZEROS,  /* arg: number of zero bytes appended */
    APPEND_BYTES   /* arg: number of nonzero bytes appended */
} Damage;

typedef struct DamageCase {
    const char *file;
    Damage damage;
    size_t arg;
    Status expected_status;
    uint64_t last;       /* expected last index, for ST_OK */
    const char *message; /* expected part of the error or repair text */
} DamageCase;

/* Cases for a log of 324 bytes with five entries: a header of 40 bytes, the
 * record of entry 1 with the member list (56 bytes), and four records of 57
 * bytes. */
static const DamageCase damage_cases[] = {
    {WAL_LOG, TRUNCATE, 0, ST_OK, 5, ""},
    {WAL_LOG, TRUNCATE, 1, ST_OK, 4,
     "cut a torn tail of 56 bytes after entry 4"},
    {WAL_LOG, TRUNCATE, 30, ST_OK, 4, "torn tail"},
    {WAL_LOG, TRUNCATE, 50, ST_OK, 4, "torn tail of 7 bytes"},
    {WAL_LOG, TRUNCATE, 57, ST_OK, 4, ""},
    {WAL_LOG, TRUNCATE, 58, ST_OK, 3, "torn tail"},
    {WAL_LOG, TRUNCATE_AFTER_CLOSE, 57, ST_CORRUPT, 0,
     "entries up to 5 were synced"},
    {WAL_LOG, TRUNCATE_AFTER_CLOSE, 20, ST_CORRUPT, 0,
     "entries up to 5 were synced"},
    {WAL_LOG, TRUNCATE, 300, ST_CORRUPT, 0,
     "log: offset 24: the file ends inside"},
    {WAL_LOG, ZERO_TAIL, 8, ST_OK, 4, "torn tail"},
    {WAL_LOG, ZERO_TAIL, 40, ST_OK, 4, "torn tail"},
    {WAL_LOG, ZERO_TAIL, 57, ST_OK, 4, "torn tail"},
    {WAL_LOG, ZERO_TAIL, 100, ST_OK, 3, "torn tail"},
    {WAL_LOG, APPEND_ZEROS, 5, ST_OK, 5, "torn tail of 5 bytes"},
    {WAL_LOG, APPEND_ZEROS, 500, ST_OK, 5, "torn tail of 500 bytes"},
    {WAL_LOG, APPEND_BYTES, 100, ST_CORRUPT, 0, "log: offset 324"},
    {WAL_LOG, FLIP_BIT, 3, ST_CORRUPT, 0, "log: offset 0"},
    {WAL_LOG, FLIP_BIT, 20, ST_CORRUPT, 0, "log: offset 0"},
    {WAL_LOG, FLIP_BIT, 41, ST_CORRUPT, 0, "log: offset 40"},
    {WAL_LOG, FLIP_BIT, 97, ST_CORRUPT, 0, "log: offset 96"},
    {WAL_LOG, FLIP_BIT, 138, ST_CORRUPT, 0, "log: offset 96"},
    {WAL_LOG, FLIP_BIT, 198, ST_CORRUPT, 0, "log: offset 153"},
    {WAL_LOG, FLIP_BIT, 268, ST_CORRUPT, 0, "log: offset 267"},
    {WAL_LOG, FLIP_BIT, 303, ST_CORRUPT, 0, "log: offset 267"},
    {WAL_LOG, FLIP_BIT, 323, ST_CORRUPT, 0, "log: offset 267"},
    {WAL_LOG, REMOVE_RECORD, 0, ST_CORRUPT, 0,
     "entry 4 of term 1 does not follow"},
    {WAL_LOG, REMOVE_FILE, 0, ST_CORRUPT, 0,
     "log: offset 0: the file is missing"},
    {WAL_LOG, WRONG_MAGIC, 0, ST_CORRUPT, 0,
     "log: offset 0: not a file of this"},
    {WAL_VOTE, TRUNCATE, 1, ST_CORRUPT, 0, "vote: offset 47"},
    {WAL_VOTE, TRUNCATE, 48, ST_CORRUPT, 0, "vote: offset 0"},
    {WAL_VOTE, FLIP_BIT, 20, ST_CORRUPT, 0, "vote: offset 0"},
    {WAL_VOTE, APPEND_BYTES, 1, ST_CORRUPT, 0, "vote: offset 48"},
    {WAL_VOTE, REMOVE_FILE, 0, ST_CORRUPT, 0,
     "vote: offset 0: the file is missing"},
    {WAL_VOTE, WRONG_MAGIC, 0, ST_CORRUPT, 0, "vote: offset 0: not a file"},
    {WAL_IDENTITY, TRUNCATE, 5, ST_CORRUPT, 0, "identity: offset 27"},
    {WAL_IDENTITY, FLIP_BIT, 10, ST_CORRUPT, 0, "identity: offset 0"},
    {WAL_IDENTITY, REMOVE_FILE, 0, ST_NOT_FOUND, 0, ""},
};

static void
apply_damage(MemStorage *disk, const DamageCase *damage_case)
{
    Buf *file = MemStorage_GetFile(disk, damage_case->file);
    char block[512];

    memset(block, damage_case->damage == APPEND_BYTES ? 0x5a : 0,
           sizeof(block));
    switch (damage_case->damage) {
    case TRUNCATE:
    case TRUNCATE_AFTER_CLOSE:
        file->len -= damage_case->arg;
        break;
    case ZERO_TAIL:
        memset(file->data + file->len - damage_case->arg, 0, damage_case->arg);
        break;
    case FLIP_BIT:
        MemStorage_FlipBit(disk, damage_case->file, damage_case->arg, 2);
        break;
    case REMOVE_FILE:
        Storage_Remove(MemStorage_GetStorage(disk), damage_case->file, NULL);
        break;
    case WRONG_MAGIC:
        file->data[0] = 'X';
        break;
    case REMOVE_RECORD:
        memmove(file->data + 153, file->data + 210, file->len - 210);
        file->len -= 57;
        break;
    case APPEND_ZEROS:
    case APPEND_BYTES:
        Buf_Append(file, block, damage_case->arg);
        break;
    }
}

/* Guards against damage that is ignored, reported at the wrong offset or taken
 * for a torn tail, and against a torn tail that stops recovery. */
START_TEST(recovery_distinguishes_damage_from_torn_tail)
{
    const DamageCase *damage_case = &damage_cases[_i];
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_GetStorage(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err = {ST_OK, ""};
    Status status;

    create_log(storage, 5);
    ck_assert_uint_eq(MemStorage_GetFile(disk, WAL_LOG)->len, 324);
    if (damage_case->damage != TRUNCATE_AFTER_CLOSE) {
        reset_synced_index(disk);
    }
    apply_damage(disk, damage_case);
    status = Wal_Open(storage, &recovery, &wal, &err);
    ck_assert_msg(status == damage_case->expected_status, "case %d: %s: %s",
                  _i, Err_Name(status), err.message);
    if (status == ST_OK) {
        ck_assert_uint_eq(Wal_GetLastIndex(wal), damage_case->last);
        ck_assert_uint_eq(recovery.entry_count, damage_case->last);
        ck_assert_msg(strstr(recovery.repair, damage_case->message) != NULL,
                      "case %d: %s", _i, recovery.repair);
        WalRecovery_Free(&recovery);
        Wal_Close(wal);
        /* A second recovery finds no torn tail. */
        ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
        ck_assert_uint_eq(recovery.torn_bytes, 0);
        WalRecovery_Free(&recovery);
        Wal_Close(wal);
    }
    else {
        ck_assert_msg(strstr(err.message, damage_case->message) != NULL,
                      "case %d: %s", _i, err.message);
    }
    MemStorage_Free(disk);
}
END_TEST

/* Guards against a flipped bit in any file that recovery does not detect. */
START_TEST(every_flipped_bit_is_detected)
{
    static const char *const files[] = {WAL_LOG, WAL_VOTE, WAL_SNAPSHOT,
                                        WAL_IDENTITY};
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_GetStorage(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;
    size_t i;
    size_t bit;

    create_log(storage, 6);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    ck_assert_int_eq(Wal_Compact(wal, 4, 1, &members, "state", 5, 3, &err),
                     ST_OK);
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
    for (i = 0; i < sizeof(files) / sizeof(files[0]); i++) {
        for (bit = 0; bit < MemStorage_GetFile(disk, files[i])->len * 8;
             bit++) {
            MemStorage_FlipBit(disk, files[i], bit / 8, bit % 8);
            ck_assert_msg(Wal_Open(storage, &recovery, &wal, &err) ==
                              ST_CORRUPT,
                          "%s byte %zu", files[i], bit / 8);
            MemStorage_FlipBit(disk, files[i], bit / 8, bit % 8);
        }
    }
    MemStorage_Free(disk);
}
END_TEST

/* Guards against lost or spurious entries after compaction, truncation on a
 * conflict and the installation of a snapshot. */
START_TEST(entries_survive_compaction_and_truncation)
{
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_GetStorage(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;
    RaftEntry new_entry = make_entry(6, 3, "conflict");

    create_log(storage, 9);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    WalRecovery_Free(&recovery);
    ck_assert_int_eq(Wal_SetVote(wal, 3, 7, &err), ST_OK);
    ck_assert_int_eq(Wal_Compact(wal, 5, 1, &members, "state5", 6, 4, &err),
                     ST_OK);
    ck_assert_int_eq(Wal_Truncate(wal, 5, &err), ST_INVALID);
    ck_assert_int_eq(Wal_Truncate(wal, 6, &err), ST_OK);
    ck_assert_int_eq(Wal_Append(wal, &new_entry, 1, &err), ST_OK);
    ck_assert_int_eq(Wal_Append(wal, &new_entry, 1, &err), ST_INVALID);
    ck_assert_int_eq(Wal_Sync(wal, &err), ST_OK);
    Wal_Close(wal);

    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    ck_assert_uint_eq(recovery.term, 3);
    ck_assert_uint_eq(recovery.vote, 7);
    ck_assert_uint_eq(recovery.cluster, CLUSTER);
    ck_assert_uint_eq(recovery.snapshot_index, 5);
    ck_assert_uint_eq(recovery.snapshot.len, 6);
    ck_assert_uint_eq(recovery.base_index, 3);
    ck_assert_uint_eq(recovery.entry_count, 3);
    ck_assert_uint_eq(recovery.entries[2].term, 3);
    ck_assert_uint_eq(recovery.entries[2].len, 8);
    WalRecovery_Free(&recovery);
    /* The log has the last entry of this snapshot, so later entries stay. */
    ck_assert_int_eq(Wal_InstallSnapshot(wal, 6, 3, &members, "six", 3, &err),
                     ST_OK);
    ck_assert_uint_eq(Wal_GetLastIndex(wal), 6);
    /* A snapshot beyond the end of the log removes all entries. */
    ck_assert_int_eq(
        Wal_InstallSnapshot(wal, 50, 3, &members, "fifty", 5, &err), ST_OK);
    Wal_Close(wal);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    ck_assert_uint_eq(Wal_GetLastIndex(wal), 50);
    ck_assert_uint_eq(recovery.base_index, 50);
    ck_assert_uint_eq(recovery.base_term, 3);
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
    MemStorage_Free(disk);
}
END_TEST

/* Guards against a failed recovery, or one that keeps obsolete entries, after
 * a crash between the writes of a received snapshot and of the log. */
START_TEST(interrupted_install_is_completed)
{
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_GetStorage(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;

    create_log(storage, 5);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    WalRecovery_Free(&recovery);
    MemStorage_FailWrite(disk, 1);
    ck_assert_int_eq(Wal_InstallSnapshot(wal, 80, 1, &members, "x", 1, &err),
                     ST_FULL);
    Wal_Close(wal);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    ck_assert_uint_eq(Wal_GetLastIndex(wal), 80);
    ck_assert(strstr(recovery.repair, "replaced entries 1 to 5") != NULL);
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
    MemStorage_Free(disk);
}
END_TEST

/* Guards against later calls that succeed, so that entries are acknowledged,
 * after a failed sync or a full disk. */
START_TEST(failure_is_permanent)
{
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_GetStorage(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;
    RaftEntry new_entry = make_entry(3, 1, "more");
    RaftEntry next = make_entry(4, 1, "more");

    create_log(storage, 2);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    WalRecovery_Free(&recovery);
    if (_i == 0) {
        MemStorage_FailSync(disk, 0);
        ck_assert_int_eq(Wal_Append(wal, &new_entry, 1, &err), ST_OK);
        ck_assert_int_eq(Wal_Sync(wal, &err), ST_IO);
    }
    else {
        MemStorage_FailWrite(disk, 0);
        ck_assert_int_eq(Wal_Append(wal, &new_entry, 1, &err), ST_FULL);
    }
    ck_assert_int_ne(Wal_Sync(wal, &err), ST_OK);
    ck_assert_int_ne(Wal_Append(wal, &next, 1, &err), ST_OK);
    ck_assert_int_ne(Wal_SetVote(wal, 9, 9, &err), ST_OK);
    ck_assert(strstr(err.message, "log: ") != NULL);
    ck_assert_int_ne(Wal_GetFailure(wal), ST_OK);
    Wal_Close(wal);
    /* The part of a record written before the disk was full is a torn tail. */
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    ck_assert_uint_eq(Wal_GetLastIndex(wal), _i == 0 ? 3 : 2);
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
    MemStorage_Free(disk);
}
END_TEST

/* Ends the process without a chance to write. */
static void
kill_wal(MemStorage *disk, Wal *wal)
{
    MemStorage_SetOffline(disk, true);
    Wal_Close(wal);
    MemStorage_SetOffline(disk, false);
}

/* Guards against an entry that is acknowledged after a restart though the
 * sync before the restart failed and the disk never got it. */
START_TEST(entry_recovered_after_failed_sync_survives_power_loss)
{
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_GetStorage(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;
    Rng rng;
    RaftEntry entry = make_entry(3, 1, "not on the disk");
    uint64_t last;

    Rng_Seed(&rng, (uint64_t)_i);
    create_log(storage, 2);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    WalRecovery_Free(&recovery);
    MemStorage_FailSync(disk, 0);
    ck_assert_int_eq(Wal_Append(wal, &entry, 1, &err), ST_OK);
    ck_assert_int_eq(Wal_Sync(wal, &err), ST_IO);
    Wal_Close(wal);

    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    WalRecovery_Free(&recovery);
    last = Wal_GetLastIndex(wal);
    if (_i % 2 == 0) {
        entry = make_entry(++last, 1, "acknowledged");
        ck_assert_int_eq(Wal_Append(wal, &entry, 1, &err), ST_OK);
        ck_assert_int_eq(Wal_Sync(wal, &err), ST_OK);
    }
    kill_wal(disk, wal);
    MemStorage_Crash(disk, &rng);

    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    ck_assert_uint_eq(Wal_GetLastIndex(wal), last);
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
    MemStorage_Free(disk);
}
END_TEST

/* Guards against faults of the storage in real files: writes to the old file
 * through an open descriptor after a replacement, and names outside the
 * folder. */
START_TEST(file_storage_operations)
{
    char folder[] = "/tmp/coltsfoot-test-XXXXXX";
    char lock[64];
    Storage *storage = NULL;
    Buf read = BUF_INIT;
    ErrCtx err;

    ck_assert(mkdtemp(folder) != NULL);
    ck_assert_int_eq(
        Storage_OpenFolder("/nonexistent/x", true, &storage, &err),
        ST_NOT_FOUND);
    ck_assert_int_eq(Storage_OpenFolder(folder, true, &storage, &err), ST_OK);
    ck_assert_int_eq(Storage_Append(storage, "f", "abc", 3, &err), ST_OK);
    ck_assert_int_eq(Storage_Sync(storage, "f", &err), ST_OK);
    ck_assert_int_eq(Storage_Replace(storage, "f", "12345", 5, &err), ST_OK);
    ck_assert_int_eq(Storage_Append(storage, "f", "67", 2, &err), ST_OK);
    ck_assert_int_eq(Storage_Truncate(storage, "f", 6, &err), ST_OK);
    ck_assert_int_eq(Storage_Append(storage, "f", "x", 1, &err), ST_OK);
    ck_assert_int_eq(Storage_Rewrite(storage, "f", 2, "3456", 4, &err), ST_OK);
    ck_assert_int_eq(Storage_Rewrite(storage, "g", 0, "1", 1, &err),
                     ST_NOT_FOUND);
    ck_assert_int_eq(Storage_Read(storage, "f", &read, &err), ST_OK);
    ck_assert_str_eq(Buf_Text(&read), "123456x");
    ck_assert_int_eq(Storage_Read(storage, "g", &read, &err), ST_NOT_FOUND);
    ck_assert(strstr(err.message, folder) != NULL);
    ck_assert_int_eq(Storage_Append(storage, "../f", "x", 1, &err),
                     ST_INVALID);
    ck_assert_int_eq(Storage_Remove(storage, "f", &err), ST_OK);
    Storage_Close(storage);
    Buf_Free(&read);
    snprintf(lock, sizeof(lock), "%s/lock", folder);
    unlink(lock);
    ck_assert_int_eq(rmdir(folder), 0);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("wal");
    TCase *tcase = tcase_create("wal");

    tcase_add_loop_test(tcase, recovery_distinguishes_damage_from_torn_tail, 0,
                        sizeof(damage_cases) / sizeof(damage_cases[0]));
    tcase_add_test(tcase, every_flipped_bit_is_detected);
    tcase_add_test(tcase, entries_survive_compaction_and_truncation);
    tcase_add_test(tcase, interrupted_install_is_completed);
    tcase_add_loop_test(tcase, failure_is_permanent, 0, 2);
    tcase_add_loop_test(
        tcase, entry_recovered_after_failed_sync_survives_power_loss, 0, 10);
    tcase_add_test(tcase, file_storage_operations);
    suite_add_tcase(suite, tcase);
    return suite;
}
