#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rng.h"
#include "state.h"
#include "support.h"
#include "support_naive_state.h"
#include "support_state.h"

#define SEED_COUNT 60
#define COMMANDS_PER_SEED 1500

static const char *const pools[] = {"p", "q", "s"};
static const char *const services[] = {"x", "y"};
static const char *const centres[] = {"a", "b", "c"};

static const char *
pick_name(Rng *rng, const char *const *names, uint32_t count)
{
    return names[Rng_Below(rng, count)];
}

/* Appends a space and one edit of a patch. */
static void
write_edit(Rng *rng, Buf *line)
{
    const char *pool = pick_name(rng, pools, 3);
    const char *service = pick_name(rng, services, 2);
    int number = (int)Rng_Below(rng, 6);

    switch (Rng_Below(rng, 14)) {
    case 0:
    case 1:
        Buf_Printf(line, " pools/%s/max_unavailable=%d", pool, number);
        break;
    case 2:
        Buf_Printf(line, " pools/%s/min_size=%d", pool, number / 2);
        break;
    case 3:
        Buf_Printf(line, " pools/%s/service=%s", pool, service);
        break;
    case 4:
        Buf_Printf(line, " services/%s/pool=%s", service, pool);
        break;
    case 5:
        Buf_Printf(line, " services/%s/slo_percent=9%d.5", service, number);
        break;
    case 6:
        Buf_Printf(line, " teams/t%d/quota=%d", number, number);
        break;
    case 7:
        Buf_Printf(line, " limits/l%d=%d", number, number);
        break;
    case 8:
        Buf_Printf(line, " -limits/l%d", number);
        break;
    case 9:
        Buf_Printf(line, " -pools/%s/min_size", pool);
        break;
    case 10:
        Buf_Printf(line, " -pools/%s", pool);
        break;
    case 11:
        Buf_Printf(line, " -services/%s", service);
        break;
    default:
        Buf_Printf(line, " pools/%s/vms/v%d=move", pool,
                   (int)Rng_Below(rng, 20));
        break;
    }
}

static void
write_patch(Rng *rng, const State *state, int i, Buf *line)
{
    uint64_t version = State_GetVersion(state);
    uint64_t versions_back = Rng_Below(rng, 4) == 0 ? Rng_Below(rng, 30) : 0;
    uint32_t edits = 1 + Rng_Below(rng, 3);

    Buf_Printf(line, "patch %d op r%d",
               (int)(versions_back < version ? version - versions_back : 0),
               i);
    while (edits-- > 0) {
        write_edit(rng, line);
    }
}

/* Appends a step of a move, in most cases with the current epoch. */
static void
write_move(Rng *rng, const State *state, Buf *line)
{
    const char *const kinds[] = {"move", "close",   "ack",     "ack",   "ack",
                                 "ack",  "drained", "drained", "cancel"};
    const char *kind = pick_name(rng, kinds, 9);
    const StateVm *vm;
    const StateDataCentre *centre;
    int epoch;

    /* In most cases picks a VM that is already moving. */
    vm = State_MoveCount(state) > 0 && Rng_Below(rng, 4) != 0
             ? State_MoveAt(state,
                            Rng_Below(rng, (uint32_t)State_MoveCount(state)))
             : State_VmAt(state, Rng_Below(rng, 20));
    if (vm == NULL) {
        Buf_Printf(line, "%s v9 1 p 1", kind);
        return;
    }
    centre = State_DataCentre(state, vm->data_centre);
    epoch = (int)vm->epoch - (Rng_Below(rng, 8) == 0);
    Buf_Printf(line, "%s %s %d", kind, vm->name, epoch);
    if (kind[0] == 'm') {
        Buf_Printf(line, " %s", pick_name(rng, pools, 3));
    }
    else if (kind[1] == 'l') {
        Buf_Printf(line, " %d",
                   (int)centre->keeper_epoch - (Rng_Below(rng, 8) == 0));
    }
    else if (kind[0] == 'a') {
        const StateMember *member =
            centre->member_count > 0
                ? centre
                      ->members[Rng_Below(rng, (uint32_t)centre->member_count)]
                : NULL;
        Buf_Printf(line, " %s %d", member != NULL ? member->name : "m0",
                   member != NULL ? (int)member->incarnation : 1);
    }
}

static void
write_share(Rng *rng, const State *state, Buf *line)
{
    const char *pool = pick_name(rng, pools, 3);
    const char *centre = pick_name(rng, centres, 3);
    const StatePool *row = State_Pool(state, pool);
    const StateDataCentre *centre_row = State_DataCentre(state, centre);
    const StateShare *share = State_FindShare(state, pool, centre);
    bool ask = Rng_Below(rng, 2) == 0;
    int units = (int)Rng_Below(rng, 4);

    if (!ask && share != NULL) {
        units += (int)share->released;
    }
    Buf_Printf(line, "%s %s %d %s %d %d", ask ? "ask" : "release", pool,
               row != NULL ? (int)row->number : 1, centre,
               centre_row != NULL ? (int)centre_row->keeper_epoch : 0, units);
}

static void
write_command(Rng *rng, const State *state, int i, Buf *line)
{
    int member = (int)Rng_Below(rng, 7);

    switch (Rng_Below(rng, 16)) {
    case 0:
    case 1:
        Buf_Printf(line, "vm v%d %s r%d %s", (int)Rng_Below(rng, 20),
                   pick_name(rng, centres, 3), (int)Rng_Below(rng, 3),
                   pick_name(rng, pools, 3));
        break;
    case 2:
        Buf_Printf(line, "member m%d %s %d %d %s", member, centres[member % 3],
                   member + (int)Rng_Below(rng, 2), (int)Rng_Below(rng, 30),
                   Rng_Below(rng, 3) == 0 ? "nodisk" : "disk");
        break;
    case 3:
        if (Rng_Below(rng, 4) == 0) {
            Buf_Printf(line, "destroyed m%d op d%d", member, i);
        }
        else {
            Buf_Printf(line, "remove v%d op k%d", (int)Rng_Below(rng, 40), i);
        }
        break;
    case 4:
    case 5:
    case 6:
    case 7:
        write_patch(rng, state, i, line);
        break;
    case 8:
    case 9:
        write_share(rng, state, line);
        break;
    default:
        write_move(rng, state, line);
        break;
    }
}

/* Frees the state and returns a state restored from its snapshot. */
static State *
restore_from_snapshot(State *state)
{
    State *restored = State_New();
    Buf bytes = BUF_INIT;
    ErrCtx err;

    State_AppendSnapshot(state, &bytes);
    ck_assert_msg(State_Restore(restored, bytes.data, bytes.len, &err) ==
                      ST_OK,
                  "%s", err.message);
    Buf_Free(&bytes);
    State_Free(state);
    return restored;
}

/* Guards against a state machine whose results or state differ from those of
 * the reference implementation, also after restoring snapshots. */
START_TEST(state_equals_naive)
{
    Rng rng;
    State *state = State_New();
    NaiveState *naive = NaiveState_New();
    Buf line = BUF_INIT;
    Buf command = BUF_INIT;
    size_t accepted = 0;
    int i;

    Rng_Seed(&rng, (uint64_t)_i + 1);
    for (i = 1; i <= COMMANDS_PER_SEED; i++) {
        Buf result = BUF_INIT;
        const char *difference;
        Status status;
        Status naive_status;
        Buf_Clear(&line);
        Buf_Clear(&command);
        write_command(&rng, state, i, &line);
        ck_assert(SupportState_Encode(&command, Buf_Text(&line)));
        status = State_Apply(state, (uint64_t)i, command.data, command.len,
                             &result);
        naive_status =
            NaiveState_Apply(naive, (uint64_t)i, command.data, command.len);
        ck_assert_msg(status == naive_status,
                      "seed %d, command %d \"%s\": %s, expected %s", _i + 1, i,
                      Buf_Text(&line), Err_Name(status),
                      Err_Name(naive_status));
        difference = NaiveState_FindDifference(naive, state);
        ck_assert_msg(difference == NULL,
                      "seed %d, command %d \"%s\": difference in %s", _i + 1,
                      i, Buf_Text(&line), difference);
        accepted += status == ST_OK;
        if (i % 100 == 0) {
            state = restore_from_snapshot(state);
        }
        Buf_Free(&result);
    }
    /* If all commands were rejected, the test would compare nothing. */
    ck_assert_uint_gt(accepted, COMMANDS_PER_SEED / 4);
    Buf_Free(&line);
    Buf_Free(&command);
    NaiveState_Free(naive);
    State_Free(state);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("state_naive");
    TCase *tcase = tcase_create("differential");

    tcase_add_loop_test(tcase, state_equals_naive, 0, SEED_COUNT);
    suite_add_tcase(suite, tcase);
    return suite;
}
