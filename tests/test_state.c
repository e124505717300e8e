#include <stdlib.h>
#include <string.h>

#include "state.h"
#include "state_format.h"
#include "statecmd.h"
#include "support.h"
#include "support_state.h"

#define MAX_STEPS 16

typedef struct Step {
    const char *line;
    Status status;
    uint64_t version; /* expected version in the result */
} Step;

typedef struct Case {
    const char *failure; /* failure that the case guards against */
    Step steps[MAX_STEPS];
} Case;

/* Commands that create two pools, one service and two VMs in data centre a.
 * They leave the state at version 6 with keeper epoch 1 and pool number 1. */
static const char *const setup_lines[] = {
    ("patch 0 op base pools/web/max_unavailable=2 pools/web/min_size=1 "
     "pools/db/max_unavailable=1 pools/web/spare=false"),
    "patch 1 op service services/book/pool=web",
    "member e1 a 11 1 disk",
    "member e2 a 0 1 nodisk",
    "vm v1 a r1 web",
    "vm v2 a r2 web",
};

static const Case cases[] = {
    {"a patch on an old version overwriting a newer one",
     {{"patch 2 op p1 pools/web/min_size=0", ST_OK, 7},
      {"patch 6 ann q1 pools/web/min_size=2", ST_CONFLICT, 7},
      {"patch 6 ann q2 pools/web/max_unavailable=3", ST_OK, 8},
      {"patch 7 ann q3 pools/web/min_size=1", ST_OK, 9}}},
    {"a resent request applied twice or answered differently",
     {{"patch 6 op r pools/web/min_size=0", ST_OK, 7},
      {"patch 7 op s pools/web/min_size=1", ST_OK, 8},
      {"patch 6 op r pools/web/min_size=0", ST_OK, 7},
      {"patch 6 ann r pools/web/min_size=0", ST_CONFLICT, 8},
      {"patch 6 ann r pools/web/min_size=0", ST_CONFLICT, 8},
      {"patch 6 op r pools/web/min_size=2", ST_EXISTS, 8}}},
    {"a deletion hidden from a patch on an older version",
     {{"patch 6 op d -services/book", ST_OK, 7},
      {"patch 6 ann e services/book/slo_ms=5", ST_CONFLICT, 7},
      {"patch 7 ann f services/book/slo_ms=5", ST_OK, 8},
      {"patch 7 ann g -services/book", ST_CONFLICT, 8}}},
    {"a partly applied patch",
     {{"patch 6 op h pools/web/min_size=0 services/x/pool=none", ST_INVALID,
       6},
      {"patch 6 op i pools/web/min_size=0 -pools/none", ST_NOT_FOUND, 6},
      {"patch 6 op j pools/web/min_size=0 pools/web/min_size=1", ST_INVALID,
       6},
      {"patch 6 op k pools/web/min_size=0 -pools/web", ST_INVALID, 6},
      {"patch 7 op l pools/web/min_size=0", ST_INVALID, 6},
      {"patch 6 op m pools/web/min_size=-1", ST_INVALID, 6},
      {"patch 6 op n pools/web/colour=1", ST_INVALID, 6}}},
    {"a dangling reference between pools and services",
     {{"patch 6 op a services/s/pool=p pools/p/service=s", ST_OK, 7},
      {"patch 7 op b -pools/p", ST_INVALID, 7},
      {"patch 7 op c -services/s", ST_INVALID, 7},
      {"patch 7 op d -services/s -pools/p", ST_OK, 8},
      {"patch 8 op e -pools/web", ST_INVALID, 8}}},
    {"a VM in two pools, or moved without the keeper's grant",
     {{"move v1 1 db", ST_OK, 7},
      {"move v1 1 db", ST_EXISTS, 7},
      {"drained v1 1", ST_INVALID, 7},
      {"close v1 1 2", ST_STALE, 7},
      {"close v1 1 1", ST_OK, 8},
      {"drained v1 2", ST_INVALID, 8},
      {"ack v1 2 e1 1", ST_OK, 8},
      {"ack v1 2 e1 1", ST_OK, 8},
      {"drained v1 2", ST_INVALID, 8},
      {"ack v1 2 e2 2", ST_STALE, 8},
      {"ack v1 1 e2 1", ST_STALE, 8},
      {"ack v1 2 e2 1", ST_OK, 8},
      {"drained v1 2", ST_OK, 9},
      {"drained v1 2", ST_STALE, 9}}},
    {"a silent entry VM blocking a move after it restarted or was destroyed",
     {{"move v1 1 db", ST_OK, 7},
      {"close v1 1 1", ST_OK, 8},
      {"member e2 a 0 2 nodisk", ST_OK, 8},
      {"drained v1 2", ST_INVALID, 8},
      {"destroyed e1 op x", ST_OK, 9},
      {"drained v1 2", ST_OK, 10},
      {"member e1 a 11 1 disk", ST_STALE, 10},
      {"member e1 a 11 2 disk", ST_OK, 11}}},
    {"a move that takes a pool below min_size",
     {{"move v1 1 db", ST_OK, 7},
      {"move v2 1 db", ST_FULL, 7},
      {"patch 7 op x pools/web/min_size=2", ST_INVALID, 7},
      {"patch 7 op y pools/db/vms/v2=move", ST_FULL, 7},
      {"remove v2 op z", ST_OK, 8},
      {"close v1 1 1", ST_FULL, 8},
      {"cancel v1 1", ST_OK, 9},
      {"cancel v1 2", ST_INVALID, 9}}},
    {"a pool emptied by a removal while its last VM moves out",
     {{"move v1 1 db", ST_OK, 7},
      {"close v1 1 1", ST_OK, 8},
      {"ack v1 2 e1 1", ST_OK, 8},
      {"ack v1 2 e2 1", ST_OK, 8},
      {"remove v2 op z", ST_OK, 9},
      {"drained v1 2", ST_OK, 10},
      {"move v1 3 db", ST_FULL, 10}}},
    {"two operators moving one VM from the same version",
     {{"patch 6 op x pools/db/vms/v1=move", ST_OK, 7},
      {"patch 6 ann y pools/db/vms/v1=move", ST_CONFLICT, 7},
      {"patch 7 ann z pools/db/vms/v1=move", ST_EXISTS, 7},
      {"patch 7 ann u -pools/db", ST_INVALID, 7}}},
    {"a release counted twice or accepted from an old keeper",
     {{"release web 1 a 1 1", ST_OK, 6},
      {"release web 1 a 1 1", ST_OK, 6},
      {"release web 1 a 1 9", ST_INVALID, 6},
      {"release web 2 a 1 2", ST_STALE, 6},
      {"release web 1 a 2 2", ST_STALE, 6},
      {"release web 1 b 1 2", ST_NOT_FOUND, 6},
      {"ask web 1 a 1 1", ST_OK, 6}}},
    {"a wave that loses or repeats a step",
     {{"wave w op x 0 v1 v2", ST_OK, 6},
      {"wave w op y 0 v1", ST_EXISTS, 6},
      {"wave u op z 0 v1 v1", ST_INVALID, 6},
      {"wave u op q 0 v9", ST_NOT_FOUND, 6},
      {"step w v1 1", ST_OK, 6},
      {"step w v1 2", ST_OK, 6},
      {"step w v1 2", ST_OK, 6},
      {"step w v1 0", ST_STALE, 6},
      {"control w 0 op c why", ST_OK, 6},
      {"control w 1 - - -", ST_OK, 6},
      {"step w v2 3", ST_OK, 6},
      {"control w 0 op d late", ST_INVALID, 6}}},
    {"a registration that contradicts an earlier one",
     {{"vm v1 a r1 db", ST_OK, 6},
      {"vm v1 b r1 web", ST_INVALID, 6},
      {"vm v1 a r9 web", ST_OK, 7},
      {"vm v3 a r1 none", ST_NOT_FOUND, 7},
      {"member e1 b 11 5 disk", ST_INVALID, 7},
      {"member e1 a 12 1 disk", ST_EXISTS, 7},
      {"member e1 a 11 0 disk", ST_STALE, 7},
      {"destroyed e9 op x", ST_NOT_FOUND, 7}}},
    {"an accepted command with an invalid name",
     {{"vm .x a r1 web", ST_CORRUPT, 6},
      {"vm - a r1 web", ST_CORRUPT, 6},
      {"nothing", ST_OK, 6}}},
};

static State *
new_setup_state(void)
{
    State *state = State_New();
    size_t i;

    for (i = 0; i < sizeof(setup_lines) / sizeof(setup_lines[0]); i++) {
        ck_assert_int_eq(SupportState_Apply(state, setup_lines[i]), ST_OK);
    }
    ck_assert_uint_eq(State_GetVersion(state), 6);
    return state;
}

START_TEST(commands_return_statuses)
{
    const Case *test_case = &cases[_i];
    State *state = new_setup_state();
    size_t i;

    for (i = 0; i < MAX_STEPS && test_case->steps[i].line != NULL; i++) {
        const Step *step = &test_case->steps[i];
        StateResult result;
        SupportState_ApplyResult(state, step->line, &result);
        ck_assert_msg(result.status == step->status,
                      "%s: \"%s\" returned %s (%s), expected %s",
                      test_case->failure, step->line, Err_Name(result.status),
                      result.message, Err_Name(step->status));
        ck_assert_msg(result.version == step->version,
                      "%s: \"%s\" returned version %d", test_case->failure,
                      step->line, (int)result.version);
    }
    State_Free(state);
}
END_TEST

/* Guards against a conflict that does not report the current version and the
 * conflicting paths, which the operator needs to rebase the patch. */
START_TEST(conflict_names_version_and_paths)
{
    State *state = new_setup_state();
    StateResult result;

    SupportState_Apply(state, "patch 6 op a pools/web/min_size=0 "
                              "pools/db/min_size=0 teams/t/quota=4");
    SupportState_ApplyResult(state,
                             "patch 6 ann b pools/db/min_size=1 "
                             "teams/t/quota=1 limits/x=1",
                             &result);
    ck_assert_int_eq(result.status, ST_CONFLICT);
    ck_assert_uint_eq(result.version, 7);
    ck_assert_uint_eq(result.conflict_count, 2);
    ck_assert_str_eq(result.conflicts[0], "pools/db/min_size");
    ck_assert_str_eq(result.conflicts[1], "teams/t/quota");
    ck_assert(State_Limit(state, "x") == NULL);
    State_Free(state);
}
END_TEST

/* Guards against answers that are kept without limit or dropped too early. */
START_TEST(answers_are_bounded)
{
    State *state = new_setup_state();
    char line[128];
    int i;

    for (i = 0; i < STATE_MAX_ANSWERS; i++) {
        snprintf(line, sizeof(line), "patch %d op n%d limits/x=%d", 6 + i, i,
                 i);
        ck_assert_int_eq(SupportState_Apply(state, line), ST_OK);
    }
    ck_assert_int_eq(SupportState_Apply(state, "patch 6 op n0 limits/x=0"),
                     ST_OK);
    ck_assert_uint_eq(State_GetVersion(state), 6 + STATE_MAX_ANSWERS);
    SupportState_Apply(state, "patch 6 op more limits/y=0");
    ck_assert_int_eq(SupportState_Apply(state, "patch 6 op n0 limits/x=0"),
                     ST_CONFLICT);
    State_Free(state);
}
END_TEST

/* Guards against deletions that are retained without limit, and against
 * accepting a patch whose base is older than the retained deletions. */
START_TEST(deletions_are_bounded)
{
    State *state = new_setup_state();
    char line[128];
    int i;

    for (i = 0; i <= STATE_MAX_DELETED_PATHS; i++) {
        snprintf(line, sizeof(line), "patch %d op s%d limits/x%d=1", 6 + 2 * i,
                 i, i);
        ck_assert_int_eq(SupportState_Apply(state, line), ST_OK);
        snprintf(line, sizeof(line), "patch %d op d%d -limits/x%d", 7 + 2 * i,
                 i, i);
        ck_assert_int_eq(SupportState_Apply(state, line), ST_OK);
    }
    ck_assert_uint_eq(State_GetPathVersion(state, "limits/x0"), 0);
    ck_assert_uint_eq(State_GetPathVersion(state, "limits/x1"), 10);
    ck_assert_int_eq(SupportState_Apply(state, "patch 7 op o limits/z=1"),
                     ST_CONFLICT);
    ck_assert_int_eq(SupportState_Apply(state, "patch 8 op p limits/z=1"),
                     ST_OK);
    State_Free(state);
}
END_TEST

/* Guards against shares whose sum exceeds a budget that was lowered. */
START_TEST(shares_stay_within_budget)
{
    State *state = new_setup_state();
    const StatePool *pool;

    SupportState_Apply(state, "member f1 b 21 1 disk");
    SupportState_Apply(state, "vm v3 b r1 web");
    SupportState_Apply(state, "vm v4 b r1 web");
    pool = State_Pool(state, "web");
    ck_assert_int_eq(State_GetShareLimit(State_FindShare(state, "web", "a")),
                     2);
    ck_assert_int_eq(State_FindShare(state, "web", "a")->wanted, 1);
    ck_assert_int_eq(State_FindShare(state, "web", "b")->wanted, 1);
    ck_assert_int_eq(State_GetShareLimit(State_FindShare(state, "web", "b")),
                     0);
    SupportState_Apply(state, "release web 1 a 1 1");
    ck_assert_int_eq(State_GetShareLimit(State_FindShare(state, "web", "a")),
                     1);
    ck_assert_int_eq(State_GetShareLimit(State_FindShare(state, "web", "b")),
                     1);
    SupportState_Apply(state, "patch 9 op x pools/web/max_unavailable=1");
    ck_assert_int_eq(State_GetPoolBudget(pool), 2);
    SupportState_Apply(state, "ask web 1 b 1 1");
    ck_assert_int_eq(State_FindShare(state, "web", "a")->wanted, 0);
    SupportState_Apply(state, "release web 1 a 1 2");
    ck_assert_int_eq(State_GetPoolBudget(pool), 1);
    ck_assert_int_eq(State_GetShareLimit(State_FindShare(state, "web", "b")),
                     1);
    State_Free(state);
}
END_TEST

static State *
new_populated_state(void)
{
    static const char *const lines[] = {
        "move v1 1 db",
        "close v1 1 1",
        "ack v1 2 e2 1",
        "wave w op w1 99 v1 v2",
        "step w v1 1",
        "control w 0 op w2 stop",
        "patch 6 op old pools/web/min_size=0",
        "patch 8 op d -services/book",
        "patch 9 op l limits/x=-5 teams/t/quota=7 pools/new/spare=true",
    };
    State *state = new_setup_state();
    size_t i;

    for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
        ck_assert_msg(SupportState_Apply(state, lines[i]) == ST_OK, "%s",
                      lines[i]);
    }
    return state;
}

/* Guards against a follower whose state differs from the leader after it was
 * restored from a snapshot. */
START_TEST(snapshot_round_trip)
{
    State *state = new_populated_state();
    State *restored = State_New();
    Buf first = BUF_INIT;
    Buf second = BUF_INIT;
    ErrCtx err;

    State_AppendSnapshot(state, &first);
    ck_assert_msg(State_Restore(restored, first.data, first.len, &err) ==
                      ST_OK,
                  "%s", err.message);
    State_AppendSnapshot(restored, &second);
    ck_assert_uint_eq(first.len, second.len);
    ck_assert_mem_eq(first.data, second.data, first.len);
    ck_assert_int_eq(SupportState_Apply(restored, "ack v1 2 e1 1"), ST_OK);
    ck_assert_int_eq(SupportState_Apply(restored, "drained v1 2"), ST_OK);
    ck_assert_str_eq(State_Vm(restored, "v1")->pool, "db");
    ck_assert_int_eq(
        SupportState_Apply(restored, "patch 6 op old pools/web/min_size=0"),
        ST_OK);
    Buf_Free(&first);
    Buf_Free(&second);
    State_Free(state);
    State_Free(restored);
}
END_TEST

/* Guards against a damaged snapshot that is accepted or causes a crash. Flips
 * a bit of each byte and truncates the snapshot before it; both must be
 * rejected. With a matching checksum, the changed byte must be rejected or
 * restore to a state whose snapshot has the same bytes. */
START_TEST(damaged_snapshots_are_rejected)
{
    State *state = new_populated_state();
    State *restored = State_New();
    Buf snapshot = BUF_INIT;
    Buf repacked = BUF_INIT;
    size_t body_len;
    size_t i;
    ErrCtx err;

    State_AppendSnapshot(state, &snapshot);
    body_len = snapshot.len - STATE_FORMAT_CHECKSUM_BYTES;
    for (i = 0; i < snapshot.len; i++) {
        snapshot.data[i] = (char)(snapshot.data[i] ^ 4);
        ck_assert_int_ne(
            State_Restore(restored, snapshot.data, snapshot.len, &err), ST_OK);
        ck_assert_int_ne(State_Restore(restored, snapshot.data, i, &err),
                         ST_OK);
        ck_assert(err.message[0] != '\0');
        StateFormat_WriteChecksum(snapshot.data, body_len,
                                  (unsigned char *)snapshot.data + body_len);
        if (State_Restore(restored, snapshot.data, snapshot.len, &err) ==
            ST_OK) {
            Buf_Clear(&repacked);
            State_AppendSnapshot(restored, &repacked);
            ck_assert_uint_eq(repacked.len, snapshot.len);
            ck_assert_mem_eq(repacked.data, snapshot.data, snapshot.len);
        }
        snapshot.data[i] = (char)(snapshot.data[i] ^ 4);
        StateFormat_WriteChecksum(snapshot.data, body_len,
                                  (unsigned char *)snapshot.data + body_len);
    }
    Buf_Free(&snapshot);
    Buf_Free(&repacked);
    State_Free(state);
    State_Free(restored);
}
END_TEST

/* Guards against a command that is applied twice after a restart, and against
 * bytes that are not a command. */
START_TEST(old_index_and_invalid_bytes_are_rejected)
{
    State *state = new_setup_state();
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;
    uint64_t index = State_GetAppliedIndex(state);

    SupportState_Encode(&command, "nothing");
    ck_assert_int_eq(
        State_Apply(state, index, command.data, command.len, &result),
        ST_STALE);
    ck_assert_int_eq(State_Apply(state, index + 1, "\x91\x7f", 2, &result),
                     ST_UNSUPPORTED);
    ck_assert_int_eq(
        State_Apply(state, index + 2, "\xdd\xff\xff\xff\xff", 5, &result),
        ST_CORRUPT);
    ck_assert_int_eq(State_Apply(state, index + 3, "", 0, &result),
                     ST_CORRUPT);
    ck_assert_uint_eq(State_GetAppliedIndex(state), index + 3);
    Buf_Free(&command);
    Buf_Free(&result);
    State_Free(state);
}
END_TEST

/* Guards against a listing that omits a value or its unit. */
START_TEST(configuration_is_listed)
{
    State *state = new_setup_state();
    Buf out = BUF_INIT;

    SupportState_Apply(state, "patch 6 op a services/book/slo_percent=99.95");
    State_AppendConfig(state, "services/", &out);
    ck_assert_str_eq(Buf_Text(&out), "services/book/pool: web\n"
                                     "services/book/short_ms: 1000\n"
                                     "services/book/slo_ms: 10000\n"
                                     "services/book/slo_percent: 99.950\n"
                                     "services/book/max_queue: 0\n");
    Buf_Clear(&out);
    ck_assert(State_AppendPathValue(state, "pools/web/max_unavailable", &out));
    ck_assert_str_eq(Buf_Text(&out), "2");
    ck_assert(!State_AppendPathValue(state, "pools/none/spare", &out));
    Buf_Free(&out);
    State_Free(state);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("state");
    TCase *tcase = tcase_create("state");

    tcase_add_loop_test(tcase, commands_return_statuses, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, conflict_names_version_and_paths);
    tcase_add_test(tcase, answers_are_bounded);
    tcase_add_test(tcase, deletions_are_bounded);
    tcase_add_test(tcase, shares_stay_within_budget);
    tcase_add_test(tcase, snapshot_round_trip);
    tcase_add_test(tcase, damaged_snapshots_are_rejected);
    tcase_add_test(tcase, old_index_and_invalid_bytes_are_rejected);
    tcase_add_test(tcase, configuration_is_listed);
    suite_add_tcase(suite, tcase);
    return suite;
}
