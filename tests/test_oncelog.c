#include <stdatomic.h>
#include <string.h>
#include <time.h>

#include "buf.h"
#include "oncelog.h"
#include "support.h"
#include "support_storage.h"

#define RECORD "record"

typedef struct Owner {
    Buf recovered;
    atomic_int
        outcome; /* of the last record: 0 pending, 1 synced, -1 failed */
} Owner;

static void
on_done(void *arg, uint64_t cookie, bool ok)
{
    Owner *owner = arg;

    (void)cookie;
    atomic_store(&owner->outcome, ok ? 1 : -1);
}

static Status
recover(void *arg, const char *file, const char *bytes, size_t len,
        size_t *valid_bytes, ErrCtx *err)
{
    Owner *owner = arg;

    (void)file;
    (void)err;
    Buf_Append(&owner->recovered, bytes, len);
    *valid_bytes = len;
    return ST_OK;
}

static OnceLog *
open_log(MemStorage *disk, Owner *owner)
{
    OnceLogOptions options = {MemStorage_GetStorage(disk), owner, on_done,
                              recover};
    OnceLog *log = NULL;
    ErrCtx err;

    Buf_Clear(&owner->recovered);
    ck_assert_int_eq(OnceLog_New(&options, &log, &err), ST_OK);
    return log;
}

/* Returns the outcome. */
static int
append_record(OnceLog *log, Owner *owner)
{
    int i;

    atomic_store(&owner->outcome, 0);
    ck_assert_int_eq(OnceLog_Append(log, 1, RECORD, strlen(RECORD)), ST_OK);
    for (i = 0; i < 5000 && atomic_load(&owner->outcome) == 0; i++) {
        nanosleep(&(struct timespec){0, 1000000}, NULL);
    }
    return atomic_load(&owner->outcome);
}

/* Guards against a record that answers a caller after a restart though the
 * sync before the restart failed and the disk never got it. */
START_TEST(record_recovered_after_failed_sync_survives_power_loss)
{
    MemStorage *disk = MemStorage_New();
    Owner owner = {.recovered = BUF_INIT};
    OnceLog *log = open_log(disk, &owner);
    Rng rng;

    Rng_Seed(&rng, (uint64_t)_i);
    MemStorage_FailSync(disk, 0);
    ck_assert_int_eq(append_record(log, &owner), -1);
    OnceLog_Free(log);

    OnceLog_Free(open_log(disk, &owner));
    ck_assert_str_eq(Buf_Text(&owner.recovered), RECORD);
    MemStorage_Crash(disk, &rng);

    OnceLog_Free(open_log(disk, &owner));
    ck_assert_uint_eq(owner.recovered.len, strlen(RECORD));
    ck_assert_str_eq(Buf_Text(&owner.recovered), RECORD);
    Buf_Free(&owner.recovered);
    MemStorage_Free(disk);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("oncelog");
    TCase *tcase = tcase_create("oncelog");

    tcase_add_loop_test(
        tcase, record_recovered_after_failed_sync_survives_power_loss, 0, 8);
    suite_add_tcase(suite, tcase);
    return suite;
}
