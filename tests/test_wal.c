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

static const RaftMembers one = {
    1,
    {{.identity = IDENTITY, .name = "a", .data_centre = "x", .voter = true}}};

static RaftEntry
entry(uint64_t index, uint64_t term, const char *text)
{
    RaftEntry made = {index, term, RAFT_COMMAND, text, strlen(text)};

    return made;
}

/* Writes entries 2 to last, of term 1, synced one by one. */
static void
fill(Storage *storage, uint64_t last)
{
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;
    uint64_t i;

    ck_assert_int_eq(Wal_Create(storage, IDENTITY, CLUSTER, &one, &err),
                     ST_OK);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    for (i = 2; i <= last; i++) {
        RaftEntry made = entry(i, 1, "some command text");

        ck_assert_int_eq(Wal_Append(wal, &made, 1, &err), ST_OK);
        ck_assert_int_eq(Wal_Sync(wal, &err), ST_OK);
    }
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
}

/* Resets the vote file's floor, as if the process had been killed. */
static void
forget_floor(MemStorage *disk)
{
    WalVote vote = {1, 0, 1};
    Buf *file = MemStorage_File(disk, WAL_VOTE);

    Buf_Clear(file);
    WalFormat_Vote(file, IDENTITY, &vote);
}

typedef enum Damage {
    CUT,         /* at: bytes removed from the end */
    CUT_FLOORED, /* the same, after a clean close */
    ZERO,        /* at: bytes at the end turned to zero */
    FLIP,        /* at: offset of the byte */
    REMOVE,
    FOREIGN,  /* the first byte differs */
    GAP,      /* a record in the middle is missing */
    TRAILING, /* zero bytes after the end */
    EXTRA     /* other bytes after the end */
} Damage;

typedef struct DamageCase {
    const char *file;
    Damage damage;
    size_t at;
    Status want;
    uint64_t last;       /* for ST_OK */
    const char *message; /* part of the message or note */
} DamageCase;

/* Five entries: a log header of 40 bytes, entry 1 with the member list (56
 * bytes), then four records of 57 bytes each, 324 in all. */
static const DamageCase damage_cases[] = {
    {WAL_LOG, CUT, 0, ST_OK, 5, ""},
    {WAL_LOG, CUT, 1, ST_OK, 4, "cut a torn tail of 56 bytes after entry 4"},
    {WAL_LOG, CUT, 30, ST_OK, 4, "torn tail"},
    {WAL_LOG, CUT, 50, ST_OK, 4, "torn tail of 7 bytes"},
    {WAL_LOG, CUT, 57, ST_OK, 4, ""},
    {WAL_LOG, CUT, 58, ST_OK, 3, "torn tail"},
    {WAL_LOG, CUT_FLOORED, 57, ST_CORRUPT, 0, "entries up to 5 were synced"},
    {WAL_LOG, CUT_FLOORED, 20, ST_CORRUPT, 0, "entries up to 5 were synced"},
    {WAL_LOG, CUT, 300, ST_CORRUPT, 0, "log: offset 24: the file ends inside"},
    {WAL_LOG, ZERO, 8, ST_OK, 4, "torn tail"},
    {WAL_LOG, ZERO, 40, ST_OK, 4, "torn tail"},
    {WAL_LOG, ZERO, 57, ST_OK, 4, "torn tail"},
    {WAL_LOG, ZERO, 100, ST_OK, 3, "torn tail"},
    {WAL_LOG, TRAILING, 5, ST_OK, 5, "torn tail of 5 bytes"},
    {WAL_LOG, TRAILING, 500, ST_OK, 5, "torn tail of 500 bytes"},
    {WAL_LOG, EXTRA, 100, ST_CORRUPT, 0, "log: offset 324"},
    {WAL_LOG, FLIP, 3, ST_CORRUPT, 0, "log: offset 0"},
    {WAL_LOG, FLIP, 20, ST_CORRUPT, 0, "log: offset 0"},
    {WAL_LOG, FLIP, 41, ST_CORRUPT, 0, "log: offset 40"},
    {WAL_LOG, FLIP, 97, ST_CORRUPT, 0, "log: offset 96"},
    {WAL_LOG, FLIP, 138, ST_CORRUPT, 0, "log: offset 96"},
    {WAL_LOG, FLIP, 198, ST_CORRUPT, 0, "log: offset 153"},
    {WAL_LOG, FLIP, 268, ST_CORRUPT, 0, "log: offset 267"},
    {WAL_LOG, FLIP, 303, ST_CORRUPT, 0, "log: offset 267"},
    {WAL_LOG, FLIP, 323, ST_CORRUPT, 0, "log: offset 267"},
    {WAL_LOG, GAP, 0, ST_CORRUPT, 0, "entry 4 of term 1 does not follow"},
    {WAL_LOG, REMOVE, 0, ST_CORRUPT, 0, "log: offset 0: the file is missing"},
    {WAL_LOG, FOREIGN, 0, ST_CORRUPT, 0, "log: offset 0: not a file of this"},
    {WAL_VOTE, CUT, 1, ST_CORRUPT, 0, "vote: offset 47"},
    {WAL_VOTE, CUT, 48, ST_CORRUPT, 0, "vote: offset 0"},
    {WAL_VOTE, FLIP, 20, ST_CORRUPT, 0, "vote: offset 0"},
    {WAL_VOTE, EXTRA, 1, ST_CORRUPT, 0, "vote: offset 48"},
    {WAL_VOTE, REMOVE, 0, ST_CORRUPT, 0,
     "vote: offset 0: the file is missing"},
    {WAL_VOTE, FOREIGN, 0, ST_CORRUPT, 0, "vote: offset 0: not a file"},
    {WAL_IDENTITY, CUT, 5, ST_CORRUPT, 0, "identity: offset 27"},
    {WAL_IDENTITY, FLIP, 10, ST_CORRUPT, 0, "identity: offset 0"},
    {WAL_IDENTITY, REMOVE, 0, ST_NOT_FOUND, 0, ""},
};

static void
inflict(MemStorage *disk, const DamageCase *damage)
{
    Buf *file = MemStorage_File(disk, damage->file);
    char block[512];

    memset(block, damage->damage == EXTRA ? 0x5a : 0, sizeof(block));
    switch (damage->damage) {
    case CUT:
    case CUT_FLOORED:
        file->len -= damage->at;
        break;
    case ZERO:
        memset(file->data + file->len - damage->at, 0, damage->at);
        break;
    case FLIP:
        MemStorage_FlipBit(disk, damage->file, damage->at, 2);
        break;
    case REMOVE:
        Storage_Remove(MemStorage_Base(disk), damage->file, NULL);
        break;
    case FOREIGN:
        file->data[0] = 'X';
        break;
    case GAP:
        memmove(file->data + 153, file->data + 210, file->len - 210);
        file->len -= 57;
        break;
    case TRAILING:
    case EXTRA:
        Buf_Append(file, block, damage->at);
        break;
    }
}

/* Guards against damage that is dropped silently, blamed on the wrong place or
 * taken for a torn tail, and against a torn tail that stops recovery. */
START_TEST(recovery_tells_damage_from_torn_tail)
{
    const DamageCase *damage = &damage_cases[_i];
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_Base(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err = {ST_OK, ""};
    Status status;

    fill(storage, 5);
    ck_assert_uint_eq(MemStorage_File(disk, WAL_LOG)->len, 324);
    if (damage->damage != CUT_FLOORED) {
        forget_floor(disk);
    }
    inflict(disk, damage);
    status = Wal_Open(storage, &recovery, &wal, &err);
    ck_assert_msg(status == damage->want, "case %d: %s: %s", _i,
                  Err_Name(status), err.message);
    if (status == ST_OK) {
        ck_assert_uint_eq(Wal_LastIndex(wal), damage->last);
        ck_assert_uint_eq(recovery.entry_count, damage->last);
        ck_assert_msg(strstr(recovery.note, damage->message) != NULL,
                      "case %d: %s", _i, recovery.note);
        WalRecovery_Free(&recovery);
        Wal_Close(wal);
        /* A second recovery has nothing left to cut. */
        ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
        ck_assert_uint_eq(recovery.torn_bytes, 0);
        WalRecovery_Free(&recovery);
        Wal_Close(wal);
    }
    else {
        ck_assert_msg(strstr(err.message, damage->message) != NULL,
                      "case %d: %s", _i, err.message);
    }
    MemStorage_Free(disk);
}
END_TEST

/* Guards against a single flipped bit anywhere that goes unnoticed. */
START_TEST(every_flipped_bit_is_noticed)
{
    static const char *const files[] = {WAL_LOG, WAL_VOTE, WAL_SNAPSHOT,
                                        WAL_IDENTITY};
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_Base(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;
    size_t i;
    size_t at;

    fill(storage, 6);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    ck_assert_int_eq(Wal_Compact(wal, 4, 1, &one, "state", 5, 3, &err), ST_OK);
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
    for (i = 0; i < sizeof(files) / sizeof(files[0]); i++) {
        for (at = 0; at < MemStorage_File(disk, files[i])->len * 8; at++) {
            MemStorage_FlipBit(disk, files[i], at / 8, at % 8);
            ck_assert_msg(Wal_Open(storage, &recovery, &wal, &err) ==
                              ST_CORRUPT,
                          "%s byte %zu", files[i], at / 8);
            MemStorage_FlipBit(disk, files[i], at / 8, at % 8);
        }
    }
    MemStorage_Free(disk);
}
END_TEST

/* Guards against losing or inventing entries over compaction, conflict
 * truncation and an installed snapshot. */
START_TEST(log_survives_its_life)
{
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_Base(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;
    RaftEntry made = entry(6, 3, "conflict");

    fill(storage, 9);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    WalRecovery_Free(&recovery);
    ck_assert_int_eq(Wal_SetVote(wal, 3, 7, &err), ST_OK);
    ck_assert_int_eq(Wal_Compact(wal, 5, 1, &one, "state5", 6, 4, &err),
                     ST_OK);
    ck_assert_int_eq(Wal_Truncate(wal, 5, &err), ST_INVALID);
    ck_assert_int_eq(Wal_Truncate(wal, 6, &err), ST_OK);
    ck_assert_int_eq(Wal_Append(wal, &made, 1, &err), ST_OK);
    ck_assert_int_eq(Wal_Append(wal, &made, 1, &err), ST_INVALID);
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
    /* A snapshot whose last entry the log holds keeps what follows it. */
    ck_assert_int_eq(Wal_Install(wal, 6, 3, &one, "six", 3, &err), ST_OK);
    ck_assert_uint_eq(Wal_LastIndex(wal), 6);
    /* One beyond the log empties it. */
    ck_assert_int_eq(Wal_Install(wal, 50, 3, &one, "fifty", 5, &err), ST_OK);
    Wal_Close(wal);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    ck_assert_uint_eq(Wal_LastIndex(wal), 50);
    ck_assert_uint_eq(recovery.base_index, 50);
    ck_assert_uint_eq(recovery.base_term, 3);
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
    MemStorage_Free(disk);
}
END_TEST

/* Guards against a crash between the two files of a received snapshot. */
START_TEST(interrupted_install_is_finished)
{
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_Base(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;

    fill(storage, 5);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    WalRecovery_Free(&recovery);
    MemStorage_FailWrite(disk, 1);
    ck_assert_int_eq(Wal_Install(wal, 80, 1, &one, "x", 1, &err), ST_FULL);
    Wal_Close(wal);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    ck_assert_uint_eq(Wal_LastIndex(wal), 80);
    ck_assert(strstr(recovery.note, "replaced entries 1 to 5") != NULL);
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
    MemStorage_Free(disk);
}
END_TEST

/* Guards against an acknowledgement after a failed sync or a full disk. */
START_TEST(failure_is_final)
{
    MemStorage *disk = MemStorage_New();
    Storage *storage = MemStorage_Base(disk);
    WalRecovery recovery;
    Wal *wal = NULL;
    ErrCtx err;
    RaftEntry made = entry(3, 1, "more");
    RaftEntry next = entry(4, 1, "more");

    fill(storage, 2);
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    WalRecovery_Free(&recovery);
    if (_i == 0) {
        MemStorage_FailSync(disk, 0);
        ck_assert_int_eq(Wal_Append(wal, &made, 1, &err), ST_OK);
        ck_assert_int_eq(Wal_Sync(wal, &err), ST_IO);
    }
    else {
        MemStorage_FailWrite(disk, 0);
        ck_assert_int_eq(Wal_Append(wal, &made, 1, &err), ST_FULL);
    }
    ck_assert_int_ne(Wal_Sync(wal, &err), ST_OK);
    ck_assert_int_ne(Wal_Append(wal, &next, 1, &err), ST_OK);
    ck_assert_int_ne(Wal_SetVote(wal, 9, 9, &err), ST_OK);
    ck_assert(strstr(err.message, "log: ") != NULL);
    ck_assert_int_ne(Wal_Failed(wal), ST_OK);
    Wal_Close(wal);
    /* The part of a record that a full disk took is a torn tail. */
    ck_assert_int_eq(Wal_Open(storage, &recovery, &wal, &err), ST_OK);
    ck_assert_uint_eq(Wal_LastIndex(wal), _i == 0 ? 3 : 2);
    WalRecovery_Free(&recovery);
    Wal_Close(wal);
    MemStorage_Free(disk);
}
END_TEST

/* Guards against faults of the real files: a second process in the folder, a
 * replaced file behind an open descriptor, a name outside the folder. */
START_TEST(folder_keeps_its_promises)
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

    tcase_add_loop_test(tcase, recovery_tells_damage_from_torn_tail, 0,
                        sizeof(damage_cases) / sizeof(damage_cases[0]));
    tcase_add_test(tcase, every_flipped_bit_is_noticed);
    tcase_add_test(tcase, log_survives_its_life);
    tcase_add_test(tcase, interrupted_install_is_finished);
    tcase_add_loop_test(tcase, failure_is_final, 0, 2);
    tcase_add_test(tcase, folder_keeps_its_promises);
    suite_add_tcase(suite, tcase);
    return suite;
}
