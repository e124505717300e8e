/* Append throughput of the log, as ratios to a naive use of the same files in
 * the same run: one sync for each entry, and a snapshot of the whole state
 * after every 64 entries. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "storage.h"
#include "wal.h"

#define ENTRIES 8192
#define ENTRY_BYTES 200 /* a patch with its result is about as large */
#define STATE_BYTES (4 * 1024 * 1024) /* about 29,000 VM records */
#define NAIVE_SNAPSHOT 64
#define ROUNDS 3

typedef struct Use {
    size_t batch;          /* entries for each sync */
    size_t snapshot_after; /* entries; 0: never */
} Use;

static char state[STATE_BYTES];

static double
seconds(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static void
check(Status status, const ErrCtx *err)
{
    if (status != ST_OK) {
        fprintf(stderr, "bench_wal: %s\n", err->message);
        exit(EXIT_FAILURE);
    }
}

static void
append_all(Wal *wal, const Use *use, const RaftMembers *members)
{
    static const char data[ENTRY_BYTES] = "command";
    ErrCtx err;
    uint64_t snapshot = 0;
    uint64_t i;

    for (i = 1; i <= ENTRIES; i++) {
        RaftEntry entry = {i, 1, RAFT_COMMAND, data, sizeof(data)};

        check(Wal_Append(wal, &entry, 1, &err), &err);
        if (i % use->batch == 0 || i == ENTRIES) {
            check(Wal_Sync(wal, &err), &err);
        }
        if (use->snapshot_after > 0 && i - snapshot == use->snapshot_after) {
            check(Wal_Compact(wal, i, 1, members, state, sizeof(state), i + 1,
                              &err),
                  &err);
            snapshot = i;
        }
    }
}

/* Returns entries in a second. */
static double
measure(const char *parent, const Use *use)
{
    char folder[256];
    Storage *storage = NULL;
    WalRecovery *found = calloc(1, sizeof(*found));
    Wal *wal = NULL;
    RaftMembers *members = calloc(1, sizeof(*members));
    RaftMember self = {1, "a", "x", true};
    ErrCtx err;
    double start;
    double taken;

    snprintf(folder, sizeof(folder), "%s/run", parent);
    RaftMembers_Put(members, &self);
    check(Storage_OpenFolder(folder, true, &storage, &err), &err);
    check(Wal_Create(storage, 1, 1, NULL, &err), &err);
    check(Wal_Open(storage, found, &wal, &err), &err);
    check(Wal_SetVote(wal, 1, 0, &err), &err);
    start = seconds();
    append_all(wal, use, members);
    taken = seconds() - start;
    Wal_Close(wal);
    WalRecovery_Free(found);
    Storage_Remove(storage, WAL_LOG, NULL);
    Storage_Remove(storage, WAL_VOTE, NULL);
    Storage_Remove(storage, WAL_IDENTITY, NULL);
    Storage_Remove(storage, WAL_SNAPSHOT, NULL);
    Storage_Remove(storage, "lock", NULL);
    Storage_Close(storage);
    rmdir(folder);
    free(found);
    free(members);
    return ENTRIES / taken;
}

static int
ascending(const void *a, const void *b)
{
    const double *x = a;
    const double *y = b;

    return (*x > *y) - (*x < *y);
}

/* Prints the median ratio of rounds that alternate between both uses. */
static void
compare(const char *parent, const char *what, const Use *own, const Use *naive)
{
    double ratios[ROUNDS];
    double own_rate = 0;
    double naive_rate = 0;
    size_t i;

    for (i = 0; i < ROUNDS; i++) {
        naive_rate = measure(parent, naive);
        own_rate = measure(parent, own);
        ratios[i] = own_rate / naive_rate;
    }
    qsort(ratios, ROUNDS, sizeof(ratios[0]), ascending);
    printf("bench_wal: %s: ratio %.2f (median of %d; last %.0f against %.0f "
           "entries/s)\n",
           what, ratios[ROUNDS / 2], ROUNDS, own_rate, naive_rate);
}

int
main(void)
{
    const char *parent = getenv("TMPDIR");
    char folder[200];
    const Use grouped = {64, 0};
    const Use single = {1, 0};
    const Use spaced = {64, ENTRIES / 2};
    const Use eager = {1, NAIVE_SNAPSHOT};

    snprintf(folder, sizeof(folder), "%s/bench-wal-XXXXXX",
             parent == NULL ? "/tmp" : parent);
    if (mkdtemp(folder) == NULL) {
        perror("bench_wal: mkdtemp");
        return EXIT_FAILURE;
    }
    memset(state, 'x', sizeof(state));
    compare(folder, "group commit of 64 against one sync for each entry",
            &grouped, &single);
    compare(folder, "the same with snapshots after 4096 against 64 entries",
            &spaced, &eager);
    rmdir(folder);
    return EXIT_SUCCESS;
}
