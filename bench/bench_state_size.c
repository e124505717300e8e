/* Measures the replicated state by the number of VMs, up to the design size:
 * snapshot bytes, allocated memory, bytes of a log entry, and the time of a
 * patch, a snapshot and a restore. Also measures the time of a keeper's escrow
 * sync and the size and time of its record. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "buf.h"
#include "escrow.h"
#include "patch.h"
#include "state.h"
#include "statecmd.h"
#include "support_state.h"

#define POOLS 118
#define TEAMS 67
#define DATA_CENTRES 37
#define PATCHES 20000
#define LINE_BYTES 256

static double
now_s(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static void
apply_or_exit(State *state, const char *line)
{
    if (SupportState_Apply(state, line) != ST_OK) {
        fprintf(stderr, "bench_state_size: refused: %s\n", line);
        exit(EXIT_FAILURE);
    }
}

static State *
create_state(int vms)
{
    State *state = State_New();
    char line[LINE_BYTES];
    int i;

    for (i = 0; i < POOLS; i++) {
        snprintf(line, sizeof(line),
                 "patch %llu ann pool-%d pools/pool-%d/max_unavailable=5 "
                 "services/service-%d/pool=pool-%d",
                 (unsigned long long)State_GetVersion(state), i, i, i, i);
        apply_or_exit(state, line);
    }
    for (i = 0; i < TEAMS; i++) {
        snprintf(line, sizeof(line),
                 "patch %llu ann team-%d teams/team-%d/quota=50",
                 (unsigned long long)State_GetVersion(state), i, i);
        apply_or_exit(state, line);
    }
    for (i = 0; i < vms; i++) {
        snprintf(line, sizeof(line), "vm vm-%06d dc-%d rack-%d pool-%d", i,
                 i % DATA_CENTRES, i / 4, i % POOLS);
        apply_or_exit(state, line);
    }
    return state;
}

static void
measure_state(int vms)
{
    size_t bytes_before = mallinfo2().uordblks;
    State *state = create_state(vms);
    State *copy = State_New();
    Buf snapshot = BUF_INIT;
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;
    ErrCtx err;
    char line[LINE_BYTES];
    size_t memory_bytes;
    size_t command_bytes = 0;
    double start_s;
    double apply_s;
    double snapshot_s;
    int i;

    start_s = now_s();
    for (i = 0; i < PATCHES; i++) {
        snprintf(line, sizeof(line),
                 "patch %llu ann change-%d pools/pool-%d/max_unavailable=%d",
                 (unsigned long long)State_GetVersion(state), i, i % POOLS,
                 i % 7 + 1);
        Buf_Clear(&command);
        Buf_Clear(&result);
        SupportState_Encode(&command, line);
        command_bytes += command.len;
        if (State_Apply(state, State_GetAppliedIndex(state) + 1, command.data,
                        command.len, &result) != ST_OK) {
            exit(EXIT_FAILURE);
        }
    }
    apply_s = now_s() - start_s;
    memory_bytes = mallinfo2().uordblks - bytes_before;
    start_s = now_s();
    State_AppendSnapshot(state, &snapshot);
    snapshot_s = now_s() - start_s;
    start_s = now_s();
    if (State_Restore(copy, snapshot.data, snapshot.len, &err) != ST_OK) {
        exit(EXIT_FAILURE);
    }
    printf("state: %d VMs: snapshot %zu bytes in %.1f ms, restore %.1f ms, "
           "memory %.1f MB, patch %zu bytes and %.1f us\n",
           vms, snapshot.len, snapshot_s * 1e3, (now_s() - start_s) * 1e3,
           (double)memory_bytes / 1048576, command_bytes / PATCHES,
           apply_s * 1e6 / PATCHES);
    State_Free(state);
    State_Free(copy);
    Buf_Free(&snapshot);
    Buf_Free(&command);
    Buf_Free(&result);
}

/* Measures a keeper with 8 VMs in each pool and as many granted drains as its
 * share allows. */
static void
measure_keeper(int pools)
{
    State *state = State_New();
    Escrow *escrow = Escrow_New("k1", "a", 11);
    Buf record = BUF_INIT;
    char line[LINE_BYTES];
    ErrCtx err;
    double start_s;
    int i;

    apply_or_exit(state, "member k1 a 11 1 disk");
    for (i = 0; i < pools; i++) {
        snprintf(line, sizeof(line),
                 "patch %llu ann pool-%d pools/pool-%d/max_unavailable=5",
                 (unsigned long long)State_GetVersion(state), i, i);
        apply_or_exit(state, line);
    }
    for (i = 0; i < 8 * pools; i++) {
        snprintf(line, sizeof(line), "vm vm-%06d a rack-%d pool-%d", i, i / 4,
                 i % pools);
        apply_or_exit(state, line);
    }
    start_s = now_s();
    Escrow_Sync(escrow, state);
    printf("keeper: %d pools, %d VMs: sync %.2f ms, ", pools, 8 * pools,
           (now_s() - start_s) * 1e3);
    for (i = 0; i < 8 * pools; i++) {
        snprintf(line, sizeof(line), "vm-%06d", i);
        Escrow_SetVmHealth(escrow, line, true, 1);
    }
    for (i = 0; i < 8 * pools; i++) {
        snprintf(line, sizeof(line), "vm-%06d", i);
        Escrow_GrantDrain(escrow, line, "", &err);
    }
    start_s = now_s();
    Escrow_EncodeRecord(escrow, &record);
    printf("%zu grants, record %zu bytes in %.2f ms\n",
           Escrow_GrantCount(escrow), record.len, (now_s() - start_s) * 1e3);
    Buf_Free(&record);
    Escrow_Free(escrow);
    State_Free(state);
}

int
main(void)
{
    measure_keeper(30);
    measure_keeper(60);
    measure_keeper(118);
    measure_state(1000);
    measure_state(7250);
    measure_state(14500);
    measure_state(29000);
    return EXIT_SUCCESS;
}
