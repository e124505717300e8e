/* Measures the operations of the leader's scheduler without a network, in ns,
 * at several sizes of the fleet. An operation that does not grow with the
 * fleet has the same figure in each column. Then measures the placement of
 * many waiting jobs with and without tenants. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "jobcodec.h"
#include "jobsched.h"
#include "support_job.h"

#define POOLS 5
#define TASKS_PER_JOB 8
#define TASK_CPU 2000
#define ROUNDS 20
/* Of the placement of many waiting jobs. */
#define MOST_TENANTS 20
#define POOL_TARGETS 85
#define MANY_JOBS 10000

static const uint32_t sizes[] = {41, 350, 1100, 29000};

#define SIZE_COUNT (sizeof(sizes) / sizeof(sizes[0]))

typedef enum Measure {
    MEASURE_ANNOUNCE,
    MEASURE_TICK,
    MEASURE_PLACE,
    MEASURE_FULL,
    MEASURE_LOAD,
    MEASURE_COUNT
} Measure;

static const char *const names[MEASURE_COUNT] = {
    [MEASURE_ANNOUNCE] = "announcement of a target",
    [MEASURE_TICK] = "tick, for each target",
    [MEASURE_PLACE] = "placement, for each task started",
    [MEASURE_FULL] = "placement without room, for each waiting job",
    [MEASURE_LOAD] = "load of a pool, for each target",
};

static JobState *state;
static JobSched *sched;
static int64_t now = 100000;

static double
now_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec * 1e9 + (double)time.tv_nsec;
}

/* Commits proposals and answers starts. */
static void
process_actions(void)
{
    JobAction action;

    while (JobSched_TakeAction(sched, &action)) {
        JobCallAnswer answer = {.outcome = JOB_CALL_OK, .clock_ms = now};
        if (action.kind == JOB_ACTION_PROPOSE) {
            JobTest_Apply(state, &action.command);
            JobSched_HandleProposal(sched, now, action.cookie, ST_OK);
        }
        else {
            JobSched_HandleAnswer(sched, now, &action, &answer);
        }
    }
}

static void
configure(size_t tenant_count)
{
    JobQueue queues[POOLS];
    JobPool pools[POOLS];
    JobTenant tenants[MOST_TENANTS];
    char text[] = "text";
    JobConfig config = {1,       queues,       POOLS, pools, POOLS,
                        tenants, tenant_count, text,  4};
    Buf command = BUF_INIT;
    int i;

    memset(queues, 0, sizeof(queues));
    memset(pools, 0, sizeof(pools));
    for (i = 0; i < POOLS; i++) {
        snprintf(queues[i].name, sizeof(queues[i].name), "q%d", i);
        snprintf(queues[i].pool, sizeof(queues[i].pool), "p%d", i);
        queues[i].objective_ms = 600;
        queues[i].max_attempts = 3;
        queues[i].slack = 1.6;
        snprintf(pools[i].name, sizeof(pools[i].name), "p%d", i);
        pools[i].enforces_capacity = true;
    }
    memset(tenants, 0, sizeof(tenants));
    for (i = 0; i < (int)tenant_count; i++) {
        snprintf(tenants[i].name, sizeof(tenants[i].name), "tenant%d", i);
        tenants[i].weight = 1 + (uint32_t)i % 4;
    }
    JobCmd_EncodeConfig(&command, &config);
    JobTest_Apply(state, &command);
}

static void
announce_targets(uint32_t count, uint64_t order)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        JobAnnouncement announcement = {
            .room = {16000, 64000, 0}, .born = 1, .order = order};
        snprintf(announcement.id, sizeof(announcement.id), "i-%08x", i);
        snprintf(announcement.vm, sizeof(announcement.vm), "m-%05x", i);
        snprintf(announcement.pool, sizeof(announcement.pool), "p%u",
                 i % POOLS);
        snprintf(announcement.address, sizeof(announcement.address),
                 "10.%u.%u.%u:80", i >> 16, i >> 8 & 255, i & 255);
        announcement.clock_ms = now;
        JobSched_HandleAnnouncement(sched, now, &announcement);
    }
}

static void
submit_jobs(uint32_t count, uint32_t tenant_count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        JobSpec spec = {.text = strdup("work"), .text_len = 4};
        char id[JOB_ID_BYTES];
        char queue[16];
        char tenant[16] = "";
        Buf command = BUF_INIT;

        spec.step_count = 1;
        spec.steps = calloc(1, sizeof(*spec.steps));
        spec.steps[0].count = TASKS_PER_JOB;
        spec.steps[0].need.cpu = TASK_CPU;
        spec.steps[0].need.memory_mb = 100;
        spec.steps[0].estimate_ms = 1000;
        snprintf(id, sizeof(id), "%016x", i);
        snprintf(queue, sizeof(queue), "q%u", i % POOLS);
        if (tenant_count > 0) {
            snprintf(tenant, sizeof(tenant), "tenant%u",
                     i / POOLS % tenant_count);
        }
        JobCmd_EncodeSubmit(&command, id, queue, now, &spec, tenant);
        JobSpec_Free(&spec);
        JobTest_Apply(state, &command);
    }
}

static void
measure(uint32_t targets, double ns[MEASURE_COUNT])
{
    const JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;
    uint64_t placed;
    double begun;
    int i;

    state = JobState_New();
    configure(0);
    sched = JobSched_New(&options, state);
    JobSched_Lead(sched, now, 1);
    announce_targets(targets, 1);
    process_actions();
    begun = now_ns();
    announce_targets(targets, 2);
    process_actions();
    ns[MEASURE_ANNOUNCE] = (now_ns() - begun) / targets;

    begun = now_ns();
    for (i = 0; i < ROUNDS; i++) {
        now += 1;
        JobSched_Tick(sched, now, now);
    }
    ns[MEASURE_TICK] = (now_ns() - begun) / ROUNDS / targets;

    /* Twice the work that the fleet has room for. */
    submit_jobs(targets * 2, 0);
    begun = now_ns();
    placed = JobSched_Counts(sched)->calls;
    for (i = 0; i < ROUNDS; i++) {
        JobSched_PlaceTasks(sched, now, now);
        process_actions();
    }
    placed = JobSched_Counts(sched)->calls - placed;
    ns[MEASURE_PLACE] = (now_ns() - begun) / (double)(placed > 0 ? placed : 1);

    while (placed > 0) {
        placed = JobSched_Counts(sched)->calls;
        JobSched_PlaceTasks(sched, now, now);
        process_actions();
        placed = JobSched_Counts(sched)->calls - placed;
    }
    begun = now_ns();
    for (i = 0; i < ROUNDS; i++) {
        JobSched_PlaceTasks(sched, now, now);
    }
    ns[MEASURE_FULL] = (now_ns() - begun) / ROUNDS / targets;

    begun = now_ns();
    for (i = 0; i < ROUNDS; i++) {
        JobPoolLoad load;
        JobSched_PoolLoad(sched, now, "p0", 0, &load);
    }
    ns[MEASURE_LOAD] = (now_ns() - begun) / ROUNDS / targets;
    JobSched_Free(sched);
    JobState_Free(state);
}

/* Prints the time of one placement of many waiting jobs, in a fleet without
 * room and, averaged until it is full, in one with room. */
static void
measure_many(uint32_t tenant_count)
{
    const JobSchedOptions options = JOBSCHED_OPTIONS_DEFAULT;
    double ns[2] = {0, 0};
    int rounds = 0;
    int i;

    state = JobState_New();
    configure(tenant_count);
    sched = JobSched_New(&options, state);
    JobSched_Lead(sched, now, 1);
    announce_targets(POOLS * POOL_TARGETS, 1);
    process_actions();
    submit_jobs(MANY_JOBS, tenant_count);
    for (;;) {
        uint64_t placed = JobSched_Counts(sched)->calls;
        double begun = now_ns();
        JobSched_PlaceTasks(sched, now, now);
        ns[0] += now_ns() - begun;
        process_actions();
        if (JobSched_Counts(sched)->calls == placed) {
            break;
        }
        rounds++;
    }
    for (i = 0; i < ROUNDS; i++) {
        double begun = now_ns();
        now += 1;
        JobSched_PlaceTasks(sched, now, now);
        ns[1] += now_ns() - begun;
        process_actions();
    }
    printf("placement of %d jobs of %2u tenants, with room %6.0f us, without "
           "%6.0f us\n",
           MANY_JOBS, tenant_count, ns[0] / 1e3 / (rounds > 0 ? rounds : 1),
           ns[1] / 1e3 / ROUNDS);
    JobSched_Free(sched);
    JobState_Free(state);
}

/* Usage: bench_jobcore [MOST], with the largest number of targets. */
int
main(int argc, char **argv)
{
    uint32_t most = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 29000;
    double ns[SIZE_COUNT][MEASURE_COUNT];
    size_t count = 0;
    size_t i;
    int k;

    while (count < SIZE_COUNT && sizes[count] <= most) {
        count++;
    }
    printf("%-46s", "targets");
    for (i = 0; i < count; i++) {
        measure(sizes[i], ns[i]);
        printf("%10u", sizes[i]);
    }
    printf("\n");
    for (k = 0; k < MEASURE_COUNT; k++) {
        printf("%-46s", names[k]);
        for (i = 0; i < count; i++) {
            printf("%10.0f", ns[i][k]);
        }
        printf("\n");
    }
    measure_many(0);
    measure_many(1);
    measure_many(MOST_TENANTS);
    return 0;
}
