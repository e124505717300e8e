#include "jobctl_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "mem.h"
#include "rng.h"

/* A read without a confirmation by a majority is given up after this. */
#define READ_MS 800
/* One command in the log may hold this much; the rest of a burst waits. */
#define MAX_PENDING 4096

static void
apply_command(void *machine, uint64_t index, const char *command, size_t len,
              Buf *result)
{
    (void)index;
    JobState_Apply(machine, command, len, result);
}

static void
take_snapshot(const void *machine, Buf *out)
{
    JobState_Snapshot(machine, out);
}

static Status
restore_snapshot(void *machine, const char *bytes, size_t len)
{
    ErrCtx err = {ST_OK, ""};
    Status status = JobState_Restore(machine, bytes, len, &err);

    if (status != ST_OK) {
        Diag_Log(DIAG_ERROR, JOBCTL_PART, "A snapshot is refused: %s.",
                 err.message);
    }
    return status;
}

static void
send_raft(void *arg, uint64_t to, const char *bytes, size_t len)
{
    JobControl *control = arg;
    size_t peer = Peers_Find(control->peers, to);

    if (peer != SIZE_MAX) {
        Peers_SendBytes(control->peers, peer, PEER_RAFT, bytes, len);
    }
}

static void
on_applied(void *arg, uint64_t index, const char *command, size_t len,
           const Buf *result)
{
    JobControl *control = arg;

    (void)index;
    (void)command;
    (void)len;
    (void)result;
    control->place_due = true;
    control->nodes_due = true;
}

static void
on_restored(void *arg, uint64_t index)
{
    JobControl *control = arg;

    (void)index;
    control->nodes_due = true;
}

static JobWaiter *
take_waiter(JobControl *control, uint64_t cookie)
{
    JobWaiter **at = &control->waiters;

    while (*at != NULL && (*at)->cookie != cookie) {
        at = &(*at)->next;
    }
    if (*at != NULL) {
        JobWaiter *found = *at;
        *at = found->next;
        return found;
    }
    return NULL;
}

static void
on_proposed(void *arg, uint64_t cookie, Status status, uint64_t index,
            const Buf *result)
{
    JobWaiter *waiter = take_waiter(arg, cookie);
    JobResult answer = JOB_RESULT_CORRUPT;

    (void)index;
    if (waiter == NULL) {
        return;
    }
    if (status == ST_OK && result != NULL && result->len > 0) {
        answer = (JobResult)result->data[0];
    }
    waiter->fn(waiter->arg, status, answer);
    free(waiter);
}

void
JobControl_Propose(JobControl *control, const Buf *command, JobDoneFn fn,
                   void *arg)
{
    JobWaiter *waiter = Mem_New(1, sizeof(*waiter));
    Status status;

    *waiter = (JobWaiter){control->next_cookie++, fn, arg, control->waiters};
    control->waiters = waiter;
    status = Replica_Propose(control->replica, Loop_NowMs(), command->data,
                             command->len, waiter->cookie);
    if (status != ST_OK) {
        waiter = take_waiter(control, waiter->cookie);
        free(waiter);
        fn(arg, ST_NOT_LEADER, JOB_RESULT_IGNORED);
    }
}

static void
answer_readers(JobReader *reader, Status status)
{
    while (reader != NULL) {
        JobReader *next = reader->next;
        reader->fn(reader->arg, status, JOB_RESULT_OK);
        free(reader);
        reader = next;
    }
}

static void
send_read(JobControl *control)
{
    Status status;

    if (control->reading || control->readers == NULL) {
        return;
    }
    control->readers_sent = control->readers;
    control->readers = NULL;
    control->reading = true;
    status = Replica_ReadIndex(control->replica, Loop_NowMs(), 1);
    if (status != ST_OK) {
        JobReader *readers = control->readers_sent;
        control->readers_sent = NULL;
        control->reading = false;
        answer_readers(readers, ST_NOT_LEADER);
    }
}

void
JobControl_Read(JobControl *control, JobDoneFn fn, void *arg)
{
    JobReader *reader = Mem_New(1, sizeof(*reader));

    *reader = (JobReader){fn, arg, Loop_NowMs(), control->readers};
    control->readers = reader;
    send_read(control);
}

static void
on_read(void *arg, uint64_t cookie, Status status, uint64_t index)
{
    JobControl *control = arg;
    JobReader *readers = control->readers_sent;

    (void)cookie;
    (void)index;
    control->readers_sent = NULL;
    control->reading = false;
    answer_readers(readers, status);
    send_read(control);
}

/* Answers reads that no majority confirms. */
static void
expire_readers(JobReader **readers, int64_t now)
{
    JobReader *reader = *readers;

    if (reader != NULL && now - reader->since_ms > READ_MS) {
        *readers = NULL;
        answer_readers(reader, ST_AGAIN);
    }
}

static void
stop_leading(JobControl *control)
{
    if (control->leading_term != 0) {
        Slog_Begin(SLOG_CHANGE, "leader_lost");
        Slog_Int("term", (int64_t)control->leading_term);
        Slog_End();
    }
    control->leading_term = 0;
    JobSched_Resign(control->sched);
    JobControl_DropDelegated(control);
    JobFleet_Resign(control->fleet);
}

static void
on_role(void *arg, RaftRole role, uint64_t term, uint64_t leader)
{
    JobControl *control = arg;

    Slog_Begin(SLOG_CHANGE, "role_changed");
    Slog_Int("leads", role == RAFT_LEADER);
    Slog_Int("term", (int64_t)term);
    Slog_Int("leader_known", leader != 0);
    Slog_End();
    if (role != RAFT_LEADER || term != control->leading_term) {
        stop_leading(control);
    }
}

static void
taken_over(void *arg, Status status, JobResult result)
{
    JobControl *control = arg;
    int64_t now = Loop_NowMs();

    (void)result;
    control->taking_over = false;
    if (status != ST_OK || Replica_Role(control->replica) != RAFT_LEADER ||
        control->leading_term != 0) {
        return;
    }
    control->leading_term = Replica_Term(control->replica);
    JobSched_Lead(control->sched, now, control->leading_term);
    JobFleet_Lead(control->fleet, now, control->leading_term);
    control->place_due = true;
    control->nodes_due = true;
    JobControl_SendFleet(control);
    Slog_Begin(SLOG_CHANGE, "leader_serves");
    Slog_Int("term", (int64_t)control->leading_term);
    Slog_Int("jobs", (int64_t)JobState_JobCount(control->state));
    Slog_Int("version", (int64_t)JobState_GetConfig(control->state)->version);
    Slog_End();
}

void
JobControl_LogTick(JobControl *control, int64_t now)
{
    Replica_Tick(control->replica, now);
    expire_readers(&control->readers, now);
    expire_readers(&control->readers_sent, now);
    if (Replica_Role(control->replica) == RAFT_LEADER &&
        control->leading_term == 0 && !control->taking_over) {
        control->taking_over = true;
        JobControl_Read(control, taken_over, control);
    }
    send_read(control);
}

/* The node whose seed address sorts first founds the cluster, so that there
 * is one founder whatever the order of the starts. */
static bool
is_founder(const JobControl *control)
{
    const Settings *settings = control->settings;
    size_t i;

    if (!settings->found) {
        return false;
    }
    for (i = 0; i < settings->seed_count; i++) {
        int order = strcmp(settings->seeds[i].host, settings->control.host);
        if (order < 0 ||
            (order == 0 && settings->seeds[i].port < settings->control.port)) {
            return false;
        }
    }
    return settings->seed_count > 0 &&
           strcmp(settings->seeds[0].host, "") != 0;
}

static void
begin_sync(void *arg)
{
    JobControl *control = arg;

    Worker_Run(control->syncer);
}

/* On the thread of the syncer. */
static void
sync_log(void *arg)
{
    JobControl *control = arg;

    control->sync_err = (ErrCtx){ST_OK, ""};
    control->sync_status =
        Storage_Sync(control->storage, WAL_LOG, &control->sync_err);
}

static void
on_synced(void *arg)
{
    JobControl *control = arg;

    Replica_Synced(control->replica, control->sync_status, &control->sync_err);
}

static void
fill_options(JobControl *control, ReplicaOptions *options)
{
    static const ReplicaMachineOps ops = {apply_command, take_snapshot,
                                          restore_snapshot};
    const Settings *settings = control->settings;

    options->name = settings->name;
    options->data_centre = settings->data_centre;
    options->seed = Rng_SystemSeed();
    options->now_ms = Loop_NowMs();
    options->election_ms = settings->election_ms;
    options->heartbeat_ms = settings->heartbeat_ms;
    options->snapshot_entries = (uint64_t)settings->snapshot_entries;
    options->voters = JobControl_VotersWanted(control);
    options->max_pending = MAX_PENDING;
    options->machine_ops = &ops;
    options->machine = control->state;
    options->arg = control;
    options->send = send_raft;
    options->sync = begin_sync;
    options->applied = on_applied;
    options->proposed = on_proposed;
    options->read_ready = on_read;
    options->restored = on_restored;
    options->role_changed = on_role;
}

Status
JobControl_OpenLog(JobControl *control, ErrCtx *err)
{
    ReplicaOptions options = REPLICA_OPTIONS_DEFAULT;
    Status status = Storage_OpenFolder(control->settings->data_folder, true,
                                       &control->storage, err);

    if (status != ST_OK) {
        return status;
    }
    status = Worker_New(control->loop, sync_log, on_synced, control,
                        &control->syncer, err);
    if (status != ST_OK) {
        return status;
    }
    fill_options(control, &options);
    options.init = is_founder(control);
    status = Replica_Open(&options, control->storage, &control->replica, err);
    if (status == ST_EXISTS) {
        options.init = false;
        status =
            Replica_Open(&options, control->storage, &control->replica, err);
    }
    if (status != ST_OK) {
        return status;
    }
    Slog_Begin(SLOG_CHANGE, "log_opened");
    Slog_Int("founder", options.init);
    Slog_Int("last", (int64_t)Replica_LastIndex(control->replica));
    Slog_Int("applied", (int64_t)Replica_AppliedIndex(control->replica));
    Slog_End();
    return ST_OK;
}

void
JobControl_CloseLog(JobControl *control)
{
    Worker_Free(control->syncer);
    control->syncer = NULL;
    if (control->replica != NULL) {
        Replica_Close(control->replica);
        control->replica = NULL;
    }
    answer_readers(control->readers, ST_AGAIN);
    answer_readers(control->readers_sent, ST_AGAIN);
    control->readers = NULL;
    control->readers_sent = NULL;
    if (control->storage != NULL) {
        Storage_Close(control->storage);
        control->storage = NULL;
    }
}
