#include <stdlib.h>
#include <string.h>

#include "escrow.h"
#include "state_format.h"
#include "support.h"
#include "support_state.h"

/* Returns a state with keeper k1 of data centre a, which has a share of 2 in
 * pool p. */
static State *
new_state(void)
{
    static const char *const lines[] = {
        "patch 0 op base pools/p/max_unavailable=2 pools/q/min_size=0",
        "member k1 a 11 1 disk",
        "vm v1 a r1 p",
        "vm v2 a r1 p",
        "vm v3 a r1 p",
        "wave w op x 0 v1 v2 v3",
    };
    State *state = State_New();
    size_t i;

    for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
        ck_assert_int_eq(SupportState_Apply(state, lines[i]), ST_OK);
    }
    return state;
}

/* Returns the escrow of keeper k1, with all VMs healthy. */
static Escrow *
new_escrow(const State *state)
{
    Escrow *escrow = Escrow_New("k1", "a", 11);

    ck_assert_int_eq(Escrow_Sync(escrow, state), ST_OK);
    Escrow_SetVmHealth(escrow, "v1", true, 1);
    Escrow_SetVmHealth(escrow, "v2", true, 1);
    Escrow_SetVmHealth(escrow, "v3", true, 1);
    return escrow;
}

static void
save_record(Escrow *escrow, Buf *record)
{
    Buf_Clear(record);
    Escrow_MarkSaved(escrow, Escrow_EncodeRecord(escrow, record));
}

/* Guards against drains granted beyond the share, and against an unplanned
 * failure of a VM that counts against the share twice or not at all. */
START_TEST(grants_stay_within_share)
{
    State *state = new_state();
    Escrow *escrow = new_escrow(state);
    const EscrowPool *pool = Escrow_FindPool(escrow, "p");
    ErrCtx err;

    ck_assert_int_eq(Escrow_GetShareLimit(pool), 2);
    ck_assert_int_eq(pool->spent, 0);
    ck_assert_int_eq(Escrow_GrantDrain(escrow, "v1", "", &err), ST_OK);
    ck_assert_int_eq(Escrow_GrantDrain(escrow, "v1", "", &err), ST_EXISTS);
    Escrow_SetVmHealth(escrow, "v1", false, 0);
    ck_assert_int_eq(pool->spent, 1);
    Escrow_SetVmHealth(escrow, "v2", false, 0);
    ck_assert_int_eq(pool->spent, 2);
    ck_assert_int_eq(Escrow_GrantDrain(escrow, "v3", "", &err), ST_FULL);
    ck_assert(strstr(err.message, "share of 2") != NULL);
    /* v2 is not healthy and already counted, so its drain adds nothing. */
    ck_assert_int_eq(Escrow_GrantDrain(escrow, "v2", "", &err), ST_OK);
    ck_assert_int_eq(pool->spent, 2);
    ck_assert_int_eq(Escrow_GrantDrain(escrow, "v9", "", &err), ST_NOT_FOUND);
    ck_assert_int_eq(Escrow_EndDrain(escrow, "v1", false), ST_OK);
    ck_assert_int_eq(pool->spent, 2);
    Escrow_SetVmHealth(escrow, "v1", true, 0);
    ck_assert_int_eq(pool->spent, 1);
    Escrow_Free(escrow);
    State_Free(state);
}
END_TEST

/* Guards against actions before the record is on the disk, against skipped
 * steps, and against a restart that loses a step. At each step the escrow is
 * replaced by one restored from the last saved record. */
START_TEST(drain_resumes_at_each_step)
{
    static const EscrowAction expected[] = {
        ESCROW_ACTION_CLOSE, ESCROW_ACTION_DRAIN, ESCROW_ACTION_REBOOT,
        ESCROW_ACTION_OPEN};
    State *state = new_state();
    Escrow *escrow = new_escrow(state);
    Buf record = BUF_INIT;
    Buf command = BUF_INIT;
    size_t cursor = 0;
    ErrCtx err;
    int step;

    ck_assert_int_eq(Escrow_GrantDrain(escrow, "v1", "w", &err), ST_OK);
    for (step = ESCROW_GRANTED; step <= ESCROW_REBOOTED; step++) {
        const EscrowGrant *grant = Escrow_FindGrant(escrow, "v1");
        ck_assert_int_eq(grant->step, step);
        ck_assert_int_eq(Escrow_GetAction(escrow, state, grant),
                         ESCROW_ACTION_SAVE);
        save_record(escrow, &record);
        ck_assert_int_eq(Escrow_GetAction(escrow, state, grant),
                         expected[step]);
        Escrow_Free(escrow);
        escrow = Escrow_New("k1", "a", 11);
        ck_assert_int_eq(Escrow_Restore(escrow, record.data, record.len, &err),
                         ST_OK);
        grant = Escrow_FindGrant(escrow, "v1");
        ck_assert_int_eq(Escrow_GetAction(escrow, state, grant),
                         ESCROW_ACTION_WAIT);
        ck_assert_int_eq(Escrow_Sync(escrow, state), ST_OK);
        ck_assert_int_eq(Escrow_GetAction(escrow, state, grant),
                         expected[step]);
        /* No VM is known to be healthy yet. */
        ck_assert_int_eq(Escrow_FindPool(escrow, "p")->spent, 3);
        ck_assert_int_eq(Escrow_EndDrain(escrow, "v1", true),
                         step == ESCROW_REBOOTED ? ST_OK : ST_INVALID);
        ck_assert_int_eq(
            Escrow_AdvanceDrain(escrow, "v1", (EscrowStep)(step + 2)),
            step == ESCROW_REBOOTED ? ST_NOT_FOUND : ST_INVALID);
        Escrow_AdvanceDrain(escrow, "v1", (EscrowStep)(step + 1));
    }
    ck_assert(Escrow_HasOutcome(escrow, "w", "v1"));
    ck_assert(!Escrow_GetNextCommand(escrow, state, &cursor, &command));
    save_record(escrow, &record);
    cursor = 0;
    ck_assert(Escrow_GetNextCommand(escrow, state, &cursor, &command));
    SupportState_Apply(state, "step w v1 2");
    Escrow_Sync(escrow, state);
    ck_assert(!Escrow_HasOutcome(escrow, "w", "v1"));
    Buf_Free(&record);
    Buf_Free(&command);
    Escrow_Free(escrow);
    State_Free(state);
}
END_TEST

/* Guards against units that are released before the record is saved, while
 * they are spent, or twice. */
START_TEST(release_after_save)
{
    State *state = new_state();
    Escrow *escrow = new_escrow(state);
    const EscrowPool *pool = Escrow_FindPool(escrow, "p");
    Buf record = BUF_INIT;
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;
    size_t cursor = 0;

    ck_assert_int_eq(Escrow_GrantDrain(escrow, "v1", "", NULL), ST_OK);
    SupportState_Apply(state, "patch 1 op y pools/p/max_unavailable=0");
    Escrow_Sync(escrow, state);
    ck_assert_int_eq(Escrow_GetShareLimit(pool), 1);
    ck_assert(!Escrow_GetNextCommand(escrow, state, &cursor, &command));
    save_record(escrow, &record);
    cursor = 0;
    ck_assert(Escrow_GetNextCommand(escrow, state, &cursor, &command));
    ck_assert_int_eq(
        State_Apply(state, 50, command.data, command.len, &result), ST_OK);
    ck_assert_int_eq(State_GetPoolBudget(State_Pool(state, "p")), 1);
    ck_assert_int_eq(
        State_Apply(state, 51, command.data, command.len, &result), ST_OK);
    ck_assert_int_eq(State_GetPoolBudget(State_Pool(state, "p")), 1);
    Escrow_Sync(escrow, state);
    cursor = 0;
    ck_assert(!Escrow_GetNextCommand(escrow, state, &cursor, &command));
    Escrow_EndDrain(escrow, "v1", false);
    Escrow_Sync(escrow, state);
    ck_assert_int_eq(Escrow_GetShareLimit(pool), 0);
    Buf_Free(&record);
    Buf_Free(&command);
    Buf_Free(&result);
    Escrow_Free(escrow);
    State_Free(state);
}
END_TEST

/* Guards against grants based on a state older than the record, grants by a
 * member that is not the keeper, and grants kept after another member became
 * the keeper. */
START_TEST(only_the_keeper_grants)
{
    State *state = new_state();
    State *old_state = State_New();
    Escrow *escrow = new_escrow(state);
    Escrow *other = Escrow_New("k2", "a", 12);
    Buf record = BUF_INIT;

    ck_assert_int_eq(Escrow_GrantDrain(escrow, "v1", "", NULL), ST_OK);
    save_record(escrow, &record);
    ck_assert_int_eq(Escrow_Sync(escrow, old_state), ST_STALE);
    ck_assert_int_eq(Escrow_GrantDrain(escrow, "v2", "", NULL), ST_AGAIN);
    ck_assert_int_eq(
        Escrow_GetAction(escrow, state, Escrow_GrantAt(escrow, 0)),
        ESCROW_ACTION_WAIT);
    ck_assert_int_eq(Escrow_Sync(escrow, state), ST_OK);
    SupportState_Apply(state, "member k2 a 12 1 disk");
    ck_assert_int_eq(Escrow_Sync(other, state), ST_AGAIN);
    SupportState_Apply(state, "destroyed k1 op z");
    ck_assert_int_eq(Escrow_Sync(other, state), ST_OK);
    ck_assert_int_eq(Escrow_FindPool(other, "p")->spent, 3);
    ck_assert_int_eq(Escrow_GrantDrain(other, "v1", "", NULL), ST_FULL);
    ck_assert_int_eq(Escrow_Sync(escrow, state), ST_AGAIN);
    ck_assert_uint_eq(Escrow_GrantCount(escrow), 0);
    Buf_Free(&record);
    Escrow_Free(escrow);
    Escrow_Free(other);
    State_Free(state);
    State_Free(old_state);
}
END_TEST

/* Guards against a move that uses no unit of the share, or does not return
 * the unit when it ends. */
START_TEST(move_uses_share_until_it_ends)
{
    State *state = new_state();
    Escrow *escrow = new_escrow(state);
    const EscrowPool *pool = Escrow_FindPool(escrow, "p");
    Buf record = BUF_INIT;

    ck_assert_int_eq(Escrow_GrantMove(escrow, state, "v1", NULL), ST_INVALID);
    SupportState_Apply(state, "move v1 1 q");
    ck_assert_int_eq(Escrow_GrantMove(escrow, state, "v1", NULL), ST_OK);
    ck_assert_int_eq(pool->spent, 1);
    ck_assert_int_eq(Escrow_GrantDrain(escrow, "v1", "", NULL), ST_EXISTS);
    save_record(escrow, &record);
    ck_assert_int_eq(
        Escrow_GetAction(escrow, state, Escrow_FindGrant(escrow, "v1")),
        ESCROW_ACTION_PROPOSE);
    SupportState_Apply(state, "close v1 1 1");
    Escrow_Sync(escrow, state);
    ck_assert_int_eq(pool->spent, 1);
    SupportState_Apply(state, "ack v1 2 k1 1");
    SupportState_Apply(state, "drained v1 2");
    Escrow_Sync(escrow, state);
    ck_assert_int_eq(pool->spent, 0);
    ck_assert_uint_eq(Escrow_GrantCount(escrow), 0);
    Buf_Free(&record);
    Escrow_Free(escrow);
    State_Free(state);
}
END_TEST

/* Guards against a new keeper that does not count a healthy VM that the former
 * keeper closed for a move. */
START_TEST(new_keeper_adopts_closed_vms)
{
    State *state = new_state();
    Escrow *escrow = Escrow_New("k2", "a", 12);

    SupportState_Apply(state, "member k2 a 12 1 disk");
    SupportState_Apply(state, "move v1 1 q");
    SupportState_Apply(state, "close v1 1 1");
    SupportState_Apply(state, "destroyed k1 op z");
    ck_assert_int_eq(Escrow_Sync(escrow, state), ST_OK);
    Escrow_SetVmHealth(escrow, "v1", true, 1);
    Escrow_SetVmHealth(escrow, "v2", true, 1);
    Escrow_SetVmHealth(escrow, "v3", true, 1);
    ck_assert_int_eq(Escrow_FindPool(escrow, "p")->spent, 1);
    SupportState_Apply(state, "ack v1 2 k2 1");
    SupportState_Apply(state, "drained v1 2");
    ck_assert_int_eq(Escrow_Sync(escrow, state), ST_OK);
    ck_assert_int_eq(Escrow_FindPool(escrow, "p")->spent, 0);
    Escrow_Free(escrow);
    State_Free(state);
}
END_TEST

/* Guards against accepting a damaged record or the record of another identity.
 */
START_TEST(invalid_records_are_refused)
{
    State *state = new_state();
    Escrow *escrow = new_escrow(state);
    Escrow *other = Escrow_New("k1", "a", 99);
    Buf record = BUF_INIT;
    ErrCtx err;
    size_t i;

    Escrow_GrantDrain(escrow, "v1", "w", NULL);
    Escrow_SkipVm(escrow, "w", "v2");
    save_record(escrow, &record);
    ck_assert_int_eq(Escrow_Restore(other, record.data, record.len, &err),
                     ST_STALE);
    for (i = 0; i < record.len; i++) {
        size_t body = record.len - STATE_FORMAT_CHECKSUM_BYTES;
        ck_assert_int_ne(Escrow_Restore(other, record.data, i, &err), ST_OK);
        record.data[i] = (char)(record.data[i] ^ 1);
        ck_assert_int_eq(Escrow_Restore(escrow, record.data, record.len, &err),
                         ST_CORRUPT);
        StateFormat_WriteChecksum(record.data, body,
                                  (unsigned char *)record.data + body);
        Escrow_Restore(other, record.data, record.len, &err);
        record.data[i] = (char)(record.data[i] ^ 1);
        StateFormat_WriteChecksum(record.data, body,
                                  (unsigned char *)record.data + body);
    }
    ck_assert_uint_eq(Escrow_GrantCount(escrow), 1);
    Buf_Free(&record);
    Escrow_Free(escrow);
    Escrow_Free(other);
    State_Free(state);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("escrow");
    TCase *tcase = tcase_create("escrow");

    tcase_add_test(tcase, grants_stay_within_share);
    tcase_add_test(tcase, drain_resumes_at_each_step);
    tcase_add_test(tcase, release_after_save);
    tcase_add_test(tcase, only_the_keeper_grants);
    tcase_add_test(tcase, move_uses_share_until_it_ends);
    tcase_add_test(tcase, new_keeper_adopts_closed_vms);
    tcase_add_test(tcase, invalid_records_are_refused);
    suite_add_tcase(suite, tcase);
    return suite;
}
