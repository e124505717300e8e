/* Costs of the state machine against the naive version, as ratios within one
 * run, and the time of a wave in steps of model time with shares in escrow
 * against grants by the leader only. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "escrow.h"
#include "state_impl.h"
#include "support_naive_state.h"
#include "support_state.h"
#include "wave.h"

#define POOLS 118
#define CENTRES 37
#define SAMPLE 100
#define PATCHES 50

static double
now(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static void
write_vm(char *line, size_t bytes, int i)
{
    snprintf(line, bytes, "vm vm%05d dc%02d r%d pool%d", i, i % CENTRES,
             i / CENTRES / 4, i / CENTRES % POOLS);
}

/* Applies a line to whichever is given; the encoding is not timed. */
static double
apply(State *state, Naive *naive, uint64_t index, const char *line)
{
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;
    double begin;

    SupportState_Encode(&command, line);
    begin = now();
    if (state != NULL) {
        State_Apply(state, index, command.data, command.len, &result);
    }
    else {
        Naive_Apply(naive, index, command.data, command.len);
    }
    begin = now() - begin;
    Buf_Free(&command);
    Buf_Free(&result);
    return begin;
}

static uint64_t
set_up(State *state, Naive *naive)
{
    uint64_t index = 0;
    char line[256];
    int i;

    for (i = 0; i < POOLS; i++) {
        snprintf(line, sizeof(line),
                 "patch %d op p%d pools/pool%d/"
                 "max_unavailable=20",
                 i, i, i);
        apply(state, naive, ++index, line);
    }
    for (i = 0; i < CENTRES; i++) {
        snprintf(line, sizeof(line), "member m%d dc%02d %d 1 disk", i, i,
                 i + 1);
        apply(state, naive, ++index, line);
    }
    return index;
}

typedef struct Cost {
    double registration; /* s for one */
    double patch;
} Cost;

/* Fills up to count VMs, of which the last SAMPLE are timed. The naive
 * version takes quadratic time, so its list is filled before any member or
 * budget is there to be divided. */
static Cost
measure(State *state, Naive *naive, int count)
{
    Cost cost = {0, 0};
    uint64_t index = set_up(state, naive);
    char line[256];
    int i;

    for (i = 0; i < count; i++) {
        double took;
        write_vm(line, sizeof(line), i);
        took = apply(state, naive, ++index, line);
        cost.registration += i >= count - SAMPLE ? took / SAMPLE : 0;
    }
    for (i = 0; i < PATCHES; i++) {
        snprintf(line, sizeof(line), "patch %d op x%d pools/pool%d/min_size=1",
                 POOLS + CENTRES + count + i, i, i);
        cost.patch += apply(state, naive, ++index, line) / PATCHES;
    }
    return cost;
}

/* Plans a wave over all VMs for one data centre and decides once. */
static double
measure_plan(State *state, int count)
{
    const char **names = calloc((size_t)count, sizeof(char *));
    WaveLimits limits = WAVE_LIMITS_DEFAULT;
    Escrow *escrow = Escrow_New("m0", "dc00", 1);
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;
    WaveDecision decision;
    WavePlan *plan;
    double begin;
    int i;

    for (i = 0; i < count; i++) {
        names[i] = State_VmAt(state, (size_t)i)->name;
    }
    StateCmd_StartWave(&command, "w", "op", "w", 0, names, (size_t)count);
    State_Apply(state, State_Applied(state) + 1, command.data, command.len,
                &result);
    begin = now();
    plan = WavePlan_New(state, "w", "dc00", &limits);
    Escrow_Sync(escrow, state);
    WavePlan_Next(plan, state, escrow, 1, 0, &decision);
    begin = now() - begin;
    WavePlan_Free(plan);
    Escrow_Free(escrow);
    Buf_Free(&command);
    Buf_Free(&result);
    free(names);
    return begin;
}

static void
bench_costs(int count, bool with_naive)
{
    State *state = State_New();
    Cost mine = measure(state, NULL, count);
    Buf snapshot = BUF_INIT;

    State_Snapshot(state, &snapshot);
    printf("%6d VMs: registration %.1f us, patch %.1f us, memory %.0f "
           "and snapshot %.0f bytes a VM, plan %.2f ms",
           count, mine.registration * 1e6, mine.patch * 1e6,
           (double)StrMap_Bytes(state->vms) / count + sizeof(StateVm),
           (double)snapshot.len / count, measure_plan(state, count) * 1e3);
    if (with_naive) {
        Naive *naive = Naive_New();
        Cost its = measure(NULL, naive, count);
        printf("; naive/state: registration %.1f, patch %.1f",
               its.registration / mine.registration, its.patch / mine.patch);
        Naive_Free(naive);
    }
    printf("\n");
    Buf_Free(&snapshot);
    State_Free(state);
}

#define MODEL_CENTRES 3
#define MODEL_VMS 24   /* in each data centre */
#define MODEL_BUDGET 6 /* of the pool */
#define MODEL_DRAIN 5  /* steps that a drain takes */
#define CUT_FROM 20
#define CUT_TO 120

/* Returns the steps until all VMs are done; data centre 0 is cut off from
 * CUT_FROM to CUT_TO. With escrow each data centre spends its own share; the
 * leader alone can grant the whole budget to any, but none to the one that
 * is cut off, and takes back no grant that it cannot see end. */
static int
wave_steps(bool escrow)
{
    int pending[MODEL_CENTRES];
    int active[MODEL_CENTRES][MODEL_DRAIN] = {{0}};
    int left = MODEL_CENTRES * MODEL_VMS;
    int step;
    int i;

    for (i = 0; i < MODEL_CENTRES; i++) {
        pending[i] = MODEL_VMS;
    }
    for (step = 0; left > 0; step++) {
        bool cut = step >= CUT_FROM && step < CUT_TO;
        int phase = step % MODEL_DRAIN;
        int total = 0;
        int k;
        for (i = 0; i < MODEL_CENTRES; i++) {
            /* The leader sees no end of a drain in a cut-off centre. */
            if (escrow || !cut || i != 0) {
                left -= active[i][phase];
                active[i][phase] = 0;
            }
            for (k = 0; k < MODEL_DRAIN; k++) {
                total += active[i][k];
            }
        }
        for (i = 0; i < MODEL_CENTRES; i++) {
            int mine = 0;
            int room = MODEL_BUDGET - total;
            for (k = 0; k < MODEL_DRAIN; k++) {
                mine += active[i][k];
            }
            if (escrow) {
                room = MODEL_BUDGET / MODEL_CENTRES - mine;
            }
            else if (cut && i == 0) {
                room = 0;
            }
            room = room < pending[i] ? room : pending[i];
            if (room > 0) {
                active[i][phase] += room;
                pending[i] -= room;
                total += room;
            }
        }
    }
    return step;
}

int
main(void)
{
    static const int counts[] = {100, 300, 1000, 10000, 29000};
    size_t i;

    for (i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        /* The naive version takes minutes with more. */
        bench_costs(counts[i], counts[i] <= 300);
    }
    printf("wave of %d VMs, one of %d data centres cut off for %d steps: "
           "escrow %d steps, leader only %d steps\n",
           MODEL_CENTRES * MODEL_VMS, MODEL_CENTRES, CUT_TO - CUT_FROM,
           wave_steps(true), wave_steps(false));
    return 0;
}
