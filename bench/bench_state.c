/* Compares the costs of the state machine with those of a naive version, as
 * ratios within one run, and the steps of a simulated wave with escrow shares
 * with the steps if only the leader grants drains. */
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
#define DATA_CENTRES 37
#define TIMED_VMS 100
#define PATCHES 50

static double
now_s(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static void
format_vm(char *line, size_t bytes, int i)
{
    snprintf(line, bytes, "vm vm%05d dc%02d r%d pool%d", i, i % DATA_CENTRES,
             i / DATA_CENTRES / 4, i / DATA_CENTRES % POOLS);
}

/* Applies the command in line to state or, if state is NULL, to naive. Returns
 * the time in seconds, without the encoding of the command. */
static double
apply_line(State *state, NaiveState *naive, uint64_t index, const char *line)
{
    Buf command = BUF_INIT;
    Buf result = BUF_INIT;
    double elapsed_s;

    SupportState_Encode(&command, line);
    elapsed_s = now_s();
    if (state != NULL) {
        State_Apply(state, index, command.data, command.len, &result);
    }
    else {
        NaiveState_Apply(naive, index, command.data, command.len);
    }
    elapsed_s = now_s() - elapsed_s;
    Buf_Free(&command);
    Buf_Free(&result);
    return elapsed_s;
}

static uint64_t
create_pools_and_members(State *state, NaiveState *naive)
{
    uint64_t index = 0;
    char line[256];
    int i;

    for (i = 0; i < POOLS; i++) {
        snprintf(line, sizeof(line),
                 "patch %d op p%d pools/pool%d/"
                 "max_unavailable=20",
                 i, i, i);
        apply_line(state, naive, ++index, line);
    }
    for (i = 0; i < DATA_CENTRES; i++) {
        snprintf(line, sizeof(line), "member m%d dc%02d %d 1 disk", i, i,
                 i + 1);
        apply_line(state, naive, ++index, line);
    }
    return index;
}

typedef struct Cost {
    double registration_s; /* time to register one VM */
    double patch_s;
} Cost;

/* Registers count VMs and times the last TIMED_VMS of them, then applies and
 * times PATCHES patches. The naive version takes quadratic time. */
static Cost
measure_cost(State *state, NaiveState *naive, int count)
{
    Cost cost = {0, 0};
    uint64_t index = create_pools_and_members(state, naive);
    char line[256];
    int i;

    for (i = 0; i < count; i++) {
        double elapsed_s;
        format_vm(line, sizeof(line), i);
        elapsed_s = apply_line(state, naive, ++index, line);
        cost.registration_s +=
            i >= count - TIMED_VMS ? elapsed_s / TIMED_VMS : 0;
    }
    for (i = 0; i < PATCHES; i++) {
        snprintf(line, sizeof(line), "patch %d op x%d pools/pool%d/min_size=1",
                 POOLS + DATA_CENTRES + count + i, i, i);
        cost.patch_s += apply_line(state, naive, ++index, line) / PATCHES;
    }
    return cost;
}

/* Returns the time to plan a wave over all VMs for one data centre and to take
 * the first decision. */
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
    double elapsed_s;
    int i;

    for (i = 0; i < count; i++) {
        names[i] = State_VmAt(state, (size_t)i)->name;
    }
    StateCmd_EncodeStartWave(&command, "w", "op", "w", 0, names,
                             (size_t)count);
    State_Apply(state, State_GetAppliedIndex(state) + 1, command.data,
                command.len, &result);
    elapsed_s = now_s();
    plan = WavePlan_New(state, "w", "dc00", &limits);
    Escrow_Sync(escrow, state);
    WavePlan_DecideNext(plan, state, escrow, 1, 0, &decision);
    elapsed_s = now_s() - elapsed_s;
    WavePlan_Free(plan);
    Escrow_Free(escrow);
    Buf_Free(&command);
    Buf_Free(&result);
    free(names);
    return elapsed_s;
}

static void
bench_costs(int count, bool with_naive)
{
    State *state = State_New();
    Cost own = measure_cost(state, NULL, count);
    Buf snapshot = BUF_INIT;

    State_AppendSnapshot(state, &snapshot);
    printf("%6d VMs: registration %.1f us, patch %.1f us, memory %.0f "
           "and snapshot %.0f bytes a VM, plan %.2f ms",
           count, own.registration_s * 1e6, own.patch_s * 1e6,
           (double)StrMap_GetMemoryBytes(state->vms) / count + sizeof(StateVm),
           (double)snapshot.len / count, measure_plan(state, count) * 1e3);
    if (with_naive) {
        NaiveState *naive = NaiveState_New();
        Cost naive_cost = measure_cost(NULL, naive, count);
        printf("; naive/state: registration %.1f, patch %.1f",
               naive_cost.registration_s / own.registration_s,
               naive_cost.patch_s / own.patch_s);
        NaiveState_Free(naive);
    }
    printf("\n");
    Buf_Free(&snapshot);
    State_Free(state);
}

#define MODEL_DATA_CENTRES 3
#define MODEL_VMS_PER_DATA_CENTRE 24
#define MODEL_BUDGET 6 /* concurrent drains in the pool */
#define MODEL_DRAIN_STEPS 5
#define CUT_START_STEP 20
#define CUT_END_STEP 120

/* Returns the number of steps until all VMs are drained, with data centre 0
 * cut off from CUT_START_STEP to CUT_END_STEP. With escrow, each data centre
 * spends its own share of the budget. Otherwise the leader grants all drains:
 * any data centre can get the whole budget, but one that is cut off gets no
 * grants, and its drains occupy the budget because the leader cannot see them
 * end. */
static int
simulate_wave(bool escrow)
{
    int pending[MODEL_DATA_CENTRES];
    int active[MODEL_DATA_CENTRES][MODEL_DRAIN_STEPS] = {{0}};
    int remaining_vms = MODEL_DATA_CENTRES * MODEL_VMS_PER_DATA_CENTRE;
    int step;
    int i;

    for (i = 0; i < MODEL_DATA_CENTRES; i++) {
        pending[i] = MODEL_VMS_PER_DATA_CENTRE;
    }
    for (step = 0; remaining_vms > 0; step++) {
        bool cut = step >= CUT_START_STEP && step < CUT_END_STEP;
        int phase = step % MODEL_DRAIN_STEPS;
        int total = 0;
        int k;
        for (i = 0; i < MODEL_DATA_CENTRES; i++) {
            /* The leader cannot see drains end in a data centre that is cut
             * off. */
            if (escrow || !cut || i != 0) {
                remaining_vms -= active[i][phase];
                active[i][phase] = 0;
            }
            for (k = 0; k < MODEL_DRAIN_STEPS; k++) {
                total += active[i][k];
            }
        }
        for (i = 0; i < MODEL_DATA_CENTRES; i++) {
            int own = 0;
            int allowed = MODEL_BUDGET - total;
            for (k = 0; k < MODEL_DRAIN_STEPS; k++) {
                own += active[i][k];
            }
            if (escrow) {
                allowed = MODEL_BUDGET / MODEL_DATA_CENTRES - own;
            }
            else if (cut && i == 0) {
                allowed = 0;
            }
            allowed = allowed < pending[i] ? allowed : pending[i];
            if (allowed > 0) {
                active[i][phase] += allowed;
                pending[i] -= allowed;
                total += allowed;
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
        /* With more VMs the naive version takes minutes. */
        bench_costs(counts[i], counts[i] <= 300);
    }
    printf("wave of %d VMs, one of %d data centres cut off for %d steps: "
           "escrow %d steps, leader only %d steps\n",
           MODEL_DATA_CENTRES * MODEL_VMS_PER_DATA_CENTRE, MODEL_DATA_CENTRES,
           CUT_END_STEP - CUT_START_STEP, simulate_wave(true),
           simulate_wave(false));
    return 0;
}
