/* Measures the append throughput of the write-ahead log, as a ratio to that of
 * naive policies in the same run: a sync for each entry, and a snapshot of the
 * whole state after every 64 entries. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "storage.h"
#include "wal.h"

#define ENTRIES 8192
#define ENTRY_BYTES 200 /* about the size of a patch with its result */
#define STATE_BYTES (4 * 1024 * 1024) /* about 29,000 VM records */
#define NAIVE_SNAPSHOT_ENTRIES 64
#define ROUNDS 3

typedef struct LogPolicy {
    size_t sync_entries;     /* entries for each sync */
    size_t snapshot_entries; /* entries for each snapshot; 0: no snapshots */
} LogPolicy;

static char state[STATE_BYTES];

static double
now_s(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static void
exit_on_error(Status status, const ErrCtx *err)
{
    if (status != ST_OK) {
        fprintf(stderr, "bench_wal: %s\n", err->message);
        exit(EXIT_FAILURE);
    }
}

static void
append_all(Wal *wal, const LogPolicy *policy, const RaftMembers *members)
{
    static const char data[ENTRY_BYTES] = "command";
    ErrCtx err;
    uint64_t last_snapshot = 0;
    uint64_t i;

    for (i = 1; i <= ENTRIES; i++) {
        RaftEntry entry = {i, 1, RAFT_ENTRY_COMMAND, data, sizeof(data)};

        exit_on_error(Wal_Append(wal, &entry, 1, &err), &err);
        if (i % policy->sync_entries == 0 || i == ENTRIES) {
            exit_on_error(Wal_Sync(wal, &err), &err);
        }
        if (policy->snapshot_entries > 0 &&
            i - last_snapshot == policy->snapshot_entries) {
            exit_on_error(Wal_Compact(wal, i, 1, members, state, sizeof(state),
                                      i + 1, &err),
                          &err);
            last_snapshot = i;
        }
    }
}

/* Returns the append throughput in entries per second. */
static double
measure_entries_per_s(const char *parent, const LogPolicy *policy)
{
    char folder[256];
    Storage *storage = NULL;
    WalRecovery *recovery = calloc(1, sizeof(*recovery));
    Wal *wal = NULL;
    RaftMembers *members = calloc(1, sizeof(*members));
    RaftMember self = {1, "a", "x", true};
    ErrCtx err;
    double start_s;
    double elapsed_s;

    snprintf(folder, sizeof(folder), "%s/run", parent);
    RaftMembers_Put(members, &self);
    exit_on_error(Storage_OpenFolder(folder, true, &storage, &err), &err);
    exit_on_error(Wal_Create(storage, 1, 1, NULL, &err), &err);
    exit_on_error(Wal_Open(storage, recovery, &wal, &err), &err);
    exit_on_error(Wal_SetVote(wal, 1, 0, &err), &err);
    start_s = now_s();
    append_all(wal, policy, members);
    elapsed_s = now_s() - start_s;
    Wal_Close(wal);
    WalRecovery_Free(recovery);
    Storage_Remove(storage, WAL_LOG, NULL);
    Storage_Remove(storage, WAL_VOTE, NULL);
    Storage_Remove(storage, WAL_IDENTITY, NULL);
    Storage_Remove(storage, WAL_SNAPSHOT, NULL);
    Storage_Remove(storage, "lock", NULL);
    Storage_Close(storage);
    rmdir(folder);
    free(recovery);
    free(members);
    return ENTRIES / elapsed_s;
}

static int
compare_doubles(const void *a, const void *b)
{
    const double *x = a;
    const double *y = b;

    return (*x > *y) - (*x < *y);
}

/* Prints the median ratio of own to naive throughput. The policies are
 * measured alternately. */
static void
compare_policies(const char *parent, const char *what, const LogPolicy *own,
                 const LogPolicy *naive)
{
    double ratios[ROUNDS];
    double own_rate = 0;
    double naive_rate = 0;
    size_t i;

    for (i = 0; i < ROUNDS; i++) {
        naive_rate = measure_entries_per_s(parent, naive);
        own_rate = measure_entries_per_s(parent, own);
        ratios[i] = own_rate / naive_rate;
    }
    qsort(ratios, ROUNDS, sizeof(ratios[0]), compare_doubles);
    printf("bench_wal: %s: ratio %.2f (median of %d; last %.0f against %.0f "
           "entries/s)\n",
           what, ratios[ROUNDS / 2], ROUNDS, own_rate, naive_rate);
}

int
main(void)
{
    const char *parent = getenv("TMPDIR");
    char folder[200];
    const LogPolicy grouped = {64, 0};
    const LogPolicy single = {1, 0};
    const LogPolicy spaced = {64, ENTRIES / 2};
    const LogPolicy eager = {1, NAIVE_SNAPSHOT_ENTRIES};

    snprintf(folder, sizeof(folder), "%s/bench-wal-XXXXXX",
             parent == NULL ? "/tmp" : parent);
    if (mkdtemp(folder) == NULL) {
        perror("bench_wal: mkdtemp");
        return EXIT_FAILURE;
    }
    memset(state, 'x', sizeof(state));
    compare_policies(folder,
                     "group commit of 64 against one sync for each entry",
                     &grouped, &single);
    compare_policies(folder,
                     "the same with snapshots after 4096 against 64 entries",
                     &spaced, &eager);
    rmdir(folder);
    return EXIT_SUCCESS;
}
