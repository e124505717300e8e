/* Size and speed of the replicated state by number of VMs, at three sizes up
 * to the design size: snapshot bytes, resident memory, bytes of an entry, and
 * time of a patch, a snapshot and a restore; and the record of a keeper. */
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
#define CENTRES 37
#define CHANGES 20000
#define LINE_BYTES 256

static double
seconds(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static void
must(State *state, const char *line)
{
    if (SupportState_Apply(state, line) != ST_OK) {
        fprintf(stderr, "bench_state_size: refused: %s\n", line);
        exit(EXIT_FAILURE);
    }
}

static State *
fill(int vms)
{
    State *state = State_New();
    char line[LINE_BYTES];
    int i;

    for (i = 0; i < POOLS; i++) {
        snprintf(line, sizeof(line),
                 "patch %llu ann pool-%d pools/pool-%d/max_unavailable=5 "
                 "services/service-%d/pool=pool-%d",
                 (unsigned long long)State_Version(state), i, i, i, i);
        must(state, line);
    }
    for (i = 0; i < TEAMS; i++) {
        snprintf(line, sizeof(line),
                 "patch %llu ann team-%d teams/team-%d/quota=50",
                 (unsigned long long)State_Version(state), i, i);
        must(state, line);
    }
    for (i = 0; i < vms; i++) {
        snprintf(line, sizeof(line), "vm vm-%06d dc-%d rack-%d pool-%d", i,
                 i % CENTRES, i / 4, i % POOLS);
        must(state, line);
    }
    return state;
}

static void
measure(int vms)
{
    size_t before = mallinfo2().uordblks;
    State *state = fill(vms);
    State *copy = State_New();
    Buf snapshot = BUF_INIT;
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;
    ErrCtx err;
    char line[LINE_BYTES];
    size_t memory;
    size_t bytes = 0;
    double start;
    double apply;
    double save;
    int i;

    start = seconds();
    for (i = 0; i < CHANGES; i++) {
        snprintf(line, sizeof(line),
                 "patch %llu ann change-%d pools/pool-%d/max_unavailable=%d",
                 (unsigned long long)State_Version(state), i, i % POOLS,
                 i % 7 + 1);
        Buf_Clear(&command);
        Buf_Clear(&result);
        SupportState_Encode(&command, line);
        bytes += command.len;
        if (State_Apply(state, State_Applied(state) + 1, command.data,
                        command.len, &result) != ST_OK) {
            exit(EXIT_FAILURE);
        }
    }
    apply = seconds() - start;
    memory = mallinfo2().uordblks - before;
    start = seconds();
    State_Snapshot(state, &snapshot);
    save = seconds() - start;
    start = seconds();
    if (State_Restore(copy, snapshot.data, snapshot.len, &err) != ST_OK) {
        exit(EXIT_FAILURE);
    }
    printf("state: %d VMs: snapshot %zu bytes in %.1f ms, restore %.1f ms, "
           "memory %.1f MB, patch %zu bytes and %.1f us\n",
           vms, snapshot.len, save * 1e3, (seconds() - start) * 1e3,
           (double)memory / 1048576, bytes / CHANGES, apply * 1e6 / CHANGES);
    State_Free(state);
    State_Free(copy);
    Buf_Free(&snapshot);
    Buf_Free(&command);
    Buf_Free(&result);
}

/* A keeper of 8 VMs in each pool, with as many drains as its share allows. */
static void
measure_keeper(int pools)
{
    State *state = State_New();
    Escrow *escrow = Escrow_New("k1", "a", 11);
    Buf record = BUF_INIT;
    char line[LINE_BYTES];
    ErrCtx err;
    double start;
    int i;

    must(state, "member k1 a 11 1 disk");
    for (i = 0; i < pools; i++) {
        snprintf(line, sizeof(line),
                 "patch %llu ann pool-%d pools/pool-%d/max_unavailable=5",
                 (unsigned long long)State_Version(state), i, i);
        must(state, line);
    }
    for (i = 0; i < 8 * pools; i++) {
        snprintf(line, sizeof(line), "vm vm-%06d a rack-%d pool-%d", i, i / 4,
                 i % pools);
        must(state, line);
    }
    start = seconds();
    Escrow_Sync(escrow, state);
    printf("keeper: %d pools, %d VMs: sync %.2f ms, ", pools, 8 * pools,
           (seconds() - start) * 1e3);
    for (i = 0; i < 8 * pools; i++) {
        snprintf(line, sizeof(line), "vm-%06d", i);
        Escrow_Observe(escrow, line, true, 1);
    }
    for (i = 0; i < 8 * pools; i++) {
        snprintf(line, sizeof(line), "vm-%06d", i);
        Escrow_GrantDrain(escrow, line, "", &err);
    }
    start = seconds();
    Escrow_Record(escrow, &record);
    printf("%zu grants, record %zu bytes in %.2f ms\n",
           Escrow_GrantCount(escrow), record.len, (seconds() - start) * 1e3);
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
    measure(1000);
    measure(7250);
    measure(14500);
    measure(29000);
    return EXIT_SUCCESS;
}
