#include "jobctl_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "jobfounder.h"
#include "mem.h"
#include "rng.h"

/* Timeout of a majority's confirmation of a read. */
#define READ_TIMEOUT_MS 600
/* Age from which a pending proposal is logged, and interval of that line. */
#define LATE_PROPOSAL_MS 1000
/* Duration from which a sync of the log is logged. */
#define SLOW_SYNC_MS 500
/* Proposals beyond this number are refused and have to be retried. */
#define MAX_PENDING_PROPOSALS 4096

static void
apply_command(void *state, uint64_t index, const char *command, size_t len,
              Buf *result)
{
    (void)index;
    JobState_Apply(state, command, len, result);
}

static void
take_snapshot(const void *state, Buf *out)
{
    JobState_Snapshot(state, out);
}

static Status
restore_snapshot(void *state, const char *bytes, size_t len)
{
    ErrCtx err = {ST_OK, ""};
    Status status = JobState_Restore(state, bytes, len, &err);

    if (status != ST_OK) {
        Diag_Log(DIAG_ERROR, JOBCTL_LOG_PREFIX, "A snapshot was refused: %s.",
                 err.message);
    }
    return status;
}

static void
send_raft(void *arg, uint64_t to, const char *bytes, size_t len)
{
    JobControl *control = arg;
    size_t peer = Peers_FindByIdentity(control->peers, to);

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
    control->placement_due = true;
}

static void
on_restored(void *arg, uint64_t index)
{
    JobControl *control = arg;

    (void)index;
    control->next_node_update_ms = 0;
}

static JobProposal *
remove_proposal(JobControl *control, uint64_t cookie)
{
    JobProposal **at = &control->proposals;

    while (*at != NULL && (*at)->cookie != cookie) {
        at = &(*at)->next;
    }
    if (*at != NULL) {
        JobProposal *found = *at;
        *at = found->next;
        return found;
    }
    return NULL;
}

static void
on_proposed(void *arg, uint64_t cookie, Status status, uint64_t index,
            const Buf *result)
{
    JobProposal *proposal = remove_proposal(arg, cookie);
    JobResult answer = JOB_RESULT_CORRUPT;

    if (proposal == NULL) {
        return;
    }
    if (status == ST_NOT_LEADER) {
        Slog_Begin(SLOG_CHANGE, "proposal_replaced");
        Slog_AddInt("index", (int64_t)index);
        Slog_AddInt("age_ms", Loop_NowMs() - proposal->proposed_ms);
        Slog_End();
    }
    if (status == ST_OK && result != NULL && result->len > 0) {
        answer = (JobResult)result->data[0];
    }
    proposal->fn(proposal->arg, status, answer);
    free(proposal);
}

void
JobControl_Propose(JobControl *control, const Buf *command, JobCompletionFn fn,
                   void *arg)
{
    JobProposal *proposal = Mem_New(1, sizeof(*proposal));
    Status status;

    *proposal = (JobProposal){.cookie = control->next_cookie++,
                              .fn = fn,
                              .arg = arg,
                              .proposed_ms = Loop_NowMs(),
                              .next = control->proposals};
    control->proposals = proposal;
    status = Replica_Propose(control->replica, Loop_NowMs(), command->data,
                             command->len, proposal->cookie);
    if (status != ST_OK) {
        proposal = remove_proposal(control, proposal->cookie);
        free(proposal);
        Slog_Begin(SLOG_FAILURE, "proposal_not_accepted");
        Slog_AddInt("status", status);
        Slog_AddInt("bytes", (int64_t)command->len);
        Slog_End();
        fn(arg,
           status == ST_FULL || status == ST_INVALID ? status : ST_NOT_LEADER,
           JOB_RESULT_IGNORED);
    }
}

static void
complete_reads(JobReadRequest *request, Status status)
{
    while (request != NULL) {
        JobReadRequest *next = request->next;
        request->fn(request->arg, status, JOB_RESULT_OK);
        free(request);
        request = next;
    }
}

static void
start_read(JobControl *control)
{
    Status status;

    if (control->read_in_progress || control->queued_reads == NULL) {
        return;
    }
    control->sent_reads = control->queued_reads;
    control->queued_reads = NULL;
    control->read_in_progress = true;
    status = Replica_ReadIndex(control->replica, Loop_NowMs(), 1);
    if (status != ST_OK) {
        JobReadRequest *requests = control->sent_reads;
        control->sent_reads = NULL;
        control->read_in_progress = false;
        complete_reads(requests, ST_NOT_LEADER);
    }
}

void
JobControl_ConfirmRead(JobControl *control, JobCompletionFn fn, void *arg)
{
    JobReadRequest *request = Mem_New(1, sizeof(*request));

    *request = (JobReadRequest){fn, arg, Loop_NowMs(), control->queued_reads};
    control->queued_reads = request;
    start_read(control);
}

static void
on_read(void *arg, uint64_t cookie, Status status, uint64_t index)
{
    JobControl *control = arg;
    JobReadRequest *requests = control->sent_reads;

    (void)cookie;
    (void)index;
    control->sent_reads = NULL;
    control->read_in_progress = false;
    complete_reads(requests, status);
    start_read(control);
}

/* Fails reads that no majority confirmed within READ_TIMEOUT_MS. Lists of
 * reads begin with the newest one. */
static void
expire_reads(JobReadRequest **requests, int64_t now)
{
    JobReadRequest *expired;

    while (*requests != NULL &&
           now - (*requests)->requested_ms <= READ_TIMEOUT_MS) {
        requests = &(*requests)->next;
    }
    expired = *requests;
    *requests = NULL;
    complete_reads(expired, ST_AGAIN);
}

/* Logs that proposals wait for longer than LATE_PROPOSAL_MS, with what tells a
 * slow disk from members that do not acknowledge entries. */
static void
log_late_proposals(JobControl *control, int64_t now)
{
    const JobProposal *oldest = control->proposals;
    const RaftMembers *members = Replica_GetMembers(control->replica);
    int64_t count = 0;
    size_t behind = 0;
    size_t i;

    if (oldest == NULL || now < control->next_late_proposals_ms) {
        return;
    }
    for (; oldest->next != NULL; oldest = oldest->next) {
        count++;
    }
    if (now - oldest->proposed_ms < LATE_PROPOSAL_MS) {
        return;
    }
    control->next_late_proposals_ms = now + LATE_PROPOSAL_MS;
    for (i = 0; i < members->count; i++) {
        behind += members->list[i].voter &&
                  Replica_GetMatchIndex(control->replica,
                                        members->list[i].identity) <
                      Replica_GetLastIndex(control->replica);
    }
    Slog_Begin(SLOG_FAILURE, "proposals_late");
    Slog_AddInt("count", count + 1);
    Slog_AddInt("oldest_ms", now - oldest->proposed_ms);
    Slog_AddInt("last", (int64_t)Replica_GetLastIndex(control->replica));
    Slog_AddInt("committed",
                (int64_t)Replica_GetCommitIndex(control->replica));
    Slog_AddInt("applied", (int64_t)Replica_GetAppliedIndex(control->replica));
    Slog_AddInt("own_synced",
                (int64_t)Replica_GetMatchIndex(
                    control->replica, Replica_GetIdentity(control->replica)));
    Slog_AddInt("voters_behind", (int64_t)behind);
    Slog_End();
}

void
JobControl_StopServing(JobControl *control)
{
    bool served = control->serving_term != 0;

    if (served) {
        Slog_Begin(SLOG_CHANGE, "leader_lost");
        Slog_AddInt("term", (int64_t)control->serving_term);
        Slog_End();
    }
    control->serving_term = 0;
    if (served) {
        JobControl_BroadcastFleetMsg(control);
    }
    JobSched_Resign(control->sched);
    JobControl_DropDelegatedCalls(control);
    JobFleet_Resign(control->fleet);
}

static void
on_role_changed(void *arg, RaftRole role, uint64_t term, uint64_t leader)
{
    JobControl *control = arg;

    Slog_Begin(SLOG_CHANGE, "role_changed");
    Slog_AddInt("leads", role == RAFT_LEADER);
    Slog_AddInt("term", (int64_t)term);
    Slog_AddInt("leader_known", leader != 0);
    Slog_End();
    if (role != RAFT_LEADER || term != control->serving_term) {
        control->takeover_reads = 0;
        JobControl_StopServing(control);
    }
}

/* Returns whether this leader, whose state is confirmed, may serve. */
static bool
may_serve(JobControl *control, int64_t now)
{
    JobFounding founding = {
        .is_used = JobState_GetConfig(control->state)->version != 0 ||
                   JobState_JobCount(control->state) > 0 ||
                   JobState_WaveCount(control->state) > 0,
        .voters =
            RaftMembers_CountVoters(Replica_GetMembers(control->replica)),
        .wanted_voters = JobControl_GetDesiredVoterCount(control)};

    if (control->founding_since_ms == 0) {
        control->founding_since_ms = now;
    }
    founding.waited_ms = now - control->founding_since_ms;
    return JobFounder_MayServe(&founding);
}

static void
on_takeover_read(void *arg, Status status, JobResult result)
{
    JobControl *control = arg;
    int64_t now = Loop_NowMs();

    (void)result;
    control->taking_over = false;
    if (status != ST_OK || Replica_GetRole(control->replica) != RAFT_LEADER ||
        control->serving_term != 0 || control->stop_begun_ms != 0 ||
        !may_serve(control, now)) {
        return;
    }
    control->serving_term = Replica_GetTerm(control->replica);
    JobSched_Lead(control->sched, now, control->serving_term);
    JobFleet_Lead(control->fleet, now, control->serving_term);
    control->placement_due = true;
    control->next_node_update_ms = 0;
    JobControl_BroadcastFleetMsg(control);
    Slog_Begin(SLOG_CHANGE, "leader_serves");
    Slog_AddInt("term", (int64_t)control->serving_term);
    Slog_AddInt("jobs", (int64_t)JobState_JobCount(control->state));
    Slog_AddInt("version",
                (int64_t)JobState_GetConfig(control->state)->version);
    Slog_AddInt("reads", (int64_t)control->takeover_reads);
    Slog_End();
}

/* Ends the node if its log has failed, since it can neither follow nor say who
 * leads. It does so one tick late, so that replies to pending requests are
 * sent first. */
static void
end_after_log_failure(JobControl *control)
{
    const char *reason;

    if (Replica_GetFailure(control->replica, &reason) == ST_OK) {
        return;
    }
    if (control->log_failed) {
        Loop_Stop(control->loop);
        return;
    }
    control->log_failed = true;
    Slog_Begin(SLOG_FAILURE, "log_failed");
    Slog_AddText("reason", reason);
    Slog_End();
}

static void
log_opening(const JobControl *control, bool founder)
{
    Slog_Begin(SLOG_CHANGE, "log_opened");
    Slog_AddInt("founder", founder);
    Slog_AddHex("identity", Replica_GetIdentity(control->replica));
    Slog_AddHex("cluster", Replica_GetCluster(control->replica));
    Slog_AddInt("voter", JobControl_IsVoter(control));
    Slog_AddInt("last", (int64_t)Replica_GetLastIndex(control->replica));
    Slog_AddInt("applied", (int64_t)Replica_GetAppliedIndex(control->replica));
    Slog_End();
}

/* Returns whether a seed has said hello as an entry VM. */
static bool
is_entry_seed(const JobControl *control, size_t seed)
{
    size_t peer = control->peers != NULL
                      ? Peers_FindSeed(control->peers, control->settings, seed)
                      : SIZE_MAX;
    const PeerHello *hello;

    if (peer == SIZE_MAX) {
        return false;
    }
    hello = Peers_Hello(control->peers, peer);
    return hello->name[0] != '\0' && hello->identity == 0;
}

static JobFounder
choose_founder(const JobControl *control)
{
    const Settings *settings = control->settings;
    bool is_entry[SETTINGS_MAX_SEEDS];
    size_t i;

    if (!settings->may_bootstrap) {
        return JOB_FOUNDER_OTHER;
    }
    for (i = 0; i < settings->seed_count; i++) {
        is_entry[i] = is_entry_seed(control, i);
    }
    return JobFounder_Choose(settings->seeds, is_entry, settings->seed_count,
                             &settings->control);
}

/* Founds the cluster at the first start if the seeds before this node turn out
 * to be entry VMs. */
static void
found_if_passed_on(JobControl *control, int64_t now)
{
    ErrCtx err = {ST_OK, ""};
    JobFounder founder;

    if (Replica_GetCluster(control->replica) != 0) {
        return;
    }
    founder = choose_founder(control);
    if (founder == JOB_FOUNDER_SELF &&
        Replica_Found(control->replica, control->storage, now, &err) ==
            ST_OK) {
        log_opening(control, true);
    }
    else if (founder == JOB_FOUNDER_NOBODY && !control->founder_missing) {
        control->founder_missing = true;
        Slog_Begin(SLOG_FAILURE, "founder_missing");
        Slog_AddInt("seeds", (int64_t)control->settings->seed_count);
        Slog_End();
    }
}

void
JobControl_TickLog(JobControl *control, int64_t now)
{
    found_if_passed_on(control, now);
    Replica_Tick(control->replica, now);
    end_after_log_failure(control);
    expire_reads(&control->queued_reads, now);
    expire_reads(&control->sent_reads, now);
    log_late_proposals(control, now);
    if (Replica_GetRole(control->replica) == RAFT_LEADER &&
        control->serving_term == 0 && !control->taking_over &&
        control->stop_begun_ms == 0) {
        control->taking_over = true;
        control->takeover_reads++;
        JobControl_ConfirmRead(control, on_takeover_read, control);
    }
    start_read(control);
}

static void
start_sync(void *arg)
{
    JobControl *control = arg;

    control->log_sync_begun_ms = Loop_NowMs();
    Worker_Run(control->log_syncer);
}

/* Runs on the worker thread. */
static void
sync_log(void *arg)
{
    JobControl *control = arg;
    int64_t begun_us = Loop_NowUs();

    control->log_sync_err = (ErrCtx){ST_OK, ""};
    control->log_sync_status =
        Storage_Sync(control->storage, WAL_LOG, &control->log_sync_err);
    control->log_sync_disk_ms = (Loop_NowUs() - begun_us) / 1000;
}

/* Tells a slow disk from threads that got no processor time. */
static void
log_slow_sync(const JobControl *control)
{
    int64_t took_ms = Loop_NowMs() - control->log_sync_begun_ms;

    if (took_ms < SLOW_SYNC_MS) {
        return;
    }
    Slog_Begin(SLOG_FAILURE, "log_sync_slow");
    Slog_AddInt("took_ms", took_ms);
    Slog_AddInt("disk_ms", control->log_sync_disk_ms);
    Slog_End();
}

static void
on_synced(void *arg)
{
    JobControl *control = arg;

    log_slow_sync(control);
    Replica_FinishSync(control->replica, control->log_sync_status,
                       &control->log_sync_err);
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
    options->voters = JobControl_GetDesiredVoterCount(control);
    options->max_pending = MAX_PENDING_PROPOSALS;
    options->machine_ops = &ops;
    options->machine = control->state;
    options->arg = control;
    options->send = send_raft;
    options->sync = start_sync;
    options->applied = on_applied;
    options->proposed = on_proposed;
    options->read_ready = on_read;
    options->restored = on_restored;
    options->role_changed = on_role_changed;
    options->election_event = JobControl_LogElectionEvent;
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
                        &control->log_syncer, err);
    if (status != ST_OK) {
        return status;
    }
    fill_options(control, &options);
    options.init = choose_founder(control) == JOB_FOUNDER_SELF;
    status = Replica_Open(&options, control->storage, &control->replica, err);
    if (status == ST_EXISTS) {
        options.init = false;
        status =
            Replica_Open(&options, control->storage, &control->replica, err);
    }
    if (status != ST_OK) {
        return status;
    }
    log_opening(control, options.init);
    return ST_OK;
}

void
JobControl_CloseLog(JobControl *control)
{
    Worker_Free(control->log_syncer);
    control->log_syncer = NULL;
    if (control->replica != NULL) {
        Replica_Close(control->replica);
        control->replica = NULL;
    }
    complete_reads(control->queued_reads, ST_AGAIN);
    complete_reads(control->sent_reads, ST_AGAIN);
    control->queued_reads = NULL;
    control->sent_reads = NULL;
    if (control->storage != NULL) {
        Storage_Close(control->storage);
        control->storage = NULL;
    }
}
