#include "replica_core.h"

#include <inttypes.h>

#include "diag.h"

static PendingProposal *
get_first_proposal(Replica *replica)
{
    return &replica->pending[replica->pending_first];
}

static void
complete_first_proposal(Replica *replica, Status status, const Buf *result)
{
    PendingProposal pending = *get_first_proposal(replica);

    replica->pending_first =
        (replica->pending_first + 1) % replica->options.max_pending;
    replica->pending_count--;
    replica->options.proposed(replica->options.arg, pending.cookie, status,
                              pending.index, result);
}

/* Completes the proposals pending at the call with ST_AGAIN; callbacks may
 * propose again. */
static void
cancel_proposals(Replica *replica)
{
    size_t count = replica->pending_count;

    while (count-- > 0) {
        complete_first_proposal(replica, ST_AGAIN, NULL);
    }
}

void
ReplicaCore_CancelPending(Replica *replica)
{
    RaftReady ready;
    size_t i;

    cancel_proposals(replica);
    Raft_StepDown(replica->raft);
    Raft_GetReady(replica->raft, &ready);
    for (i = 0; i < ready.read_count; i++) {
        replica->options.read_ready(replica->options.arg,
                                    ready.reads[i].cookie, ST_AGAIN, 0);
    }
    Raft_DropOutput(replica->raft);
}

/* Records the first failure, which stops the replica for good. */
static Status
record_failure(Replica *replica, Status status, const ErrCtx *err)
{
    if (replica->failure.status == ST_OK) {
        replica->failure = *err;
        replica->failure.status = status;
        Diag_Log(DIAG_ERROR, REPLICA_LOG_PREFIX,
                 "Replica stopped: %s. No further entry is acknowledged.",
                 err->message);
    }
    return status;
}

static Status
install_snapshot(Replica *replica, ErrCtx *err)
{
    uint64_t index;
    uint64_t term;
    size_t len;
    const char *bytes = Raft_GetSnapshot(replica->raft, &len, &index, &term);
    Status status = Wal_InstallSnapshot(replica->wal, index, term,
                                        Raft_GetSnapshotMembers(replica->raft),
                                        bytes, len, err);

    if (status != ST_OK) {
        return status;
    }
    status = replica->options.machine_ops->restore(replica->options.machine,
                                                   bytes, len);
    if (status != ST_OK) {
        return Err_Set(err, ST_CORRUPT,
                       "the state machine refused the snapshot received up "
                       "to entry %" PRIu64,
                       index);
    }
    replica->applied_index = index;
    replica->bytes_since_snapshot = 0;
    Raft_MarkApplied(replica->raft, index);
    Diag_Log(DIAG_NOTICE, REPLICA_LOG_PREFIX,
             "Installed a snapshot up to entry %" PRIu64 ".", index);
    if (replica->options.restored != NULL) {
        replica->options.restored(replica->options.arg, index);
    }
    return ST_OK;
}

/* Writes new entries to the log; they are durable after a sync. */
static Status
append_entries(Replica *replica, const RaftReady *ready, ErrCtx *err)
{
    /* The entries are contiguous in memory. */
    return Wal_Append(
        replica->wal, Raft_GetEntry(replica->raft, ready->append_from),
        (size_t)(ready->last_index - ready->append_from + 1), err);
}

static Status
persist_state(Replica *replica, const RaftReady *ready, ErrCtx *err)
{
    Status status = ST_OK;

    if (ready->hard_state_changed) {
        status = Wal_SetVote(replica->wal, ready->term, ready->vote, err);
    }
    if (status == ST_OK && ready->cluster_changed) {
        status = Wal_SetCluster(replica->wal, ready->cluster, err);
    }
    if (status == ST_OK && ready->truncate_from > 0) {
        status = Wal_Truncate(replica->wal, ready->truncate_from, err);
    }
    if (status == ST_OK && ready->install_snapshot) {
        status = install_snapshot(replica, err);
    }
    if (status == ST_OK && ready->append_from <= ready->last_index) {
        status = append_entries(replica, ready, err);
        if (status == ST_OK) {
            status = Wal_Sync(replica->wal, err);
        }
    }
    return status;
}

static void
apply_entry(Replica *replica, const RaftEntry *entry)
{
    const ReplicaOptions *options = &replica->options;

    Buf_Clear(&replica->result);
    if (entry->kind == RAFT_ENTRY_COMMAND) {
        options->machine_ops->apply(options->machine, entry->index,
                                    entry->data, entry->len, &replica->result);
    }
    replica->applied_index = entry->index;
    replica->bytes_since_snapshot += entry->len;
    Raft_MarkApplied(replica->raft, entry->index);
    if (entry->kind == RAFT_ENTRY_COMMAND) {
        options->applied(options->arg, entry->index, entry->data, entry->len,
                         &replica->result);
    }
    while (replica->pending_count > 0 &&
           get_first_proposal(replica)->index <= entry->index) {
        const PendingProposal *first = get_first_proposal(replica);

        if (first->index == entry->index && first->term == entry->term) {
            complete_first_proposal(replica, ST_OK, &replica->result);
        }
        else {
            /* Another entry has replaced the proposed one. The outcome at a
             * lower index is unknown, since a snapshot has covered it. */
            complete_first_proposal(
                replica,
                first->index == entry->index ? ST_NOT_LEADER : ST_AGAIN, NULL);
        }
    }
}

static void
apply_committed(Replica *replica, uint64_t commit_index)
{
    while (replica->applied_index < commit_index) {
        /* The entry is copied because a callback may propose, which can move
         * the entries in memory. */
        RaftEntry entry =
            *Raft_GetEntry(replica->raft, replica->applied_index + 1);

        apply_entry(replica, &entry);
    }
}

static bool
is_snapshot_due(const Replica *replica)
{
    uint64_t snapshot_index;
    uint64_t term;
    size_t len;

    Raft_GetSnapshot(replica->raft, &len, &snapshot_index, &term);
    return replica->applied_index - snapshot_index >=
               replica->options.snapshot_entries ||
           replica->bytes_since_snapshot >= replica->options.snapshot_bytes;
}

/* Returns the first entry that a snapshot at index leaves in the log. Some are
 * left, so that slightly lagging members need no snapshot. */
static uint64_t
choose_first_kept(const Replica *replica, uint64_t index)
{
    uint64_t oldest = Raft_GetFirstIndex(replica->raft);
    uint64_t max_count = replica->options.snapshot_entries / 2;
    size_t max_bytes = replica->options.snapshot_bytes / 2;
    uint64_t first = index + 1;
    size_t bytes = 0;

    while (first > oldest && index + 1 - first < max_count) {
        bytes += Raft_GetEntry(replica->raft, first - 1)->len;
        if (bytes > max_bytes) {
            break;
        }
        first--;
    }
    return first;
}

static Status
compact_log(Replica *replica, ErrCtx *err)
{
    const ReplicaOptions *options = &replica->options;
    uint64_t index = replica->applied_index;
    uint64_t keep_from;
    RaftMembers members;
    Buf bytes = BUF_INIT;
    size_t last_len;
    uint64_t last_index;
    uint64_t last_term;
    Status status;

    if (!is_snapshot_due(replica)) {
        return ST_OK;
    }
    keep_from = choose_first_kept(replica, index);
    /* A buffer that doubles as it grows would take up to twice the memory. */
    Raft_GetSnapshot(replica->raft, &last_len, &last_index, &last_term);
    Buf_Reserve(&bytes, last_len + last_len / 4);
    options->machine_ops->snapshot(options->machine, &bytes);
    Buf_Trim(&bytes);
    Raft_GetMembersAt(replica->raft, index, &members);
    status =
        Wal_Compact(replica->wal, index, Raft_GetTermAt(replica->raft, index),
                    &members, bytes.data, bytes.len, keep_from, err);
    if (status == ST_OK) {
        Raft_Compact(replica->raft, index, keep_from, &bytes);
        replica->bytes_since_snapshot = 0;
    }
    Buf_Free(&bytes);
    return status;
}

static void
report_events(Replica *replica)
{
    RaftEvent event;

    while (Raft_TakeEvent(replica->raft, &event)) {
        if (replica->options.election_event != NULL) {
            replica->options.election_event(replica->options.arg, &event);
        }
    }
}

static void
report_role(Replica *replica)
{
    RaftRole role = Raft_GetRole(replica->raft);
    uint64_t term = Raft_GetTerm(replica->raft);
    uint64_t leader = Raft_GetLeader(replica->raft);

    report_events(replica);
    if (replica->role == RAFT_LEADER &&
        (role != RAFT_LEADER || term != replica->term)) {
        cancel_proposals(replica);
    }
    if (role == replica->role && term == replica->term &&
        leader == replica->leader) {
        return;
    }
    if (role == RAFT_LEADER && replica->role != RAFT_LEADER) {
        Diag_Log(DIAG_NOTICE, REPLICA_LOG_PREFIX,
                 "Became leader in term %" PRIu64 ".", term);
    }
    if (role != RAFT_LEADER && replica->role == RAFT_LEADER) {
        Diag_Log(DIAG_NOTICE, REPLICA_LOG_PREFIX,
                 "This node is no longer leader; the term is %" PRIu64 ".",
                 term);
    }
    replica->role = role;
    replica->term = term;
    replica->leader = leader;
    if (replica->options.role_changed != NULL) {
        replica->options.role_changed(replica->options.arg, role, term,
                                      leader);
    }
}

/* Sends the unsent ones of the first count messages; only those that may
 * precede the sync unless all is true. Returns whether any was sent. */
static bool
send_messages(Replica *replica, RaftOutMessage *messages, size_t count,
              bool all)
{
    const ReplicaOptions *options = &replica->options;
    bool sent_any = false;
    size_t i;

    for (i = 0; i < count; i++) {
        RaftOutMessage *out = &messages[i];
        if (out->sent || (!all && !out->may_precede_sync)) {
            continue;
        }
        options->send(options->arg, out->to, out->bytes.data, out->bytes.len);
        out->sent = true;
        sent_any = true;
    }
    return sent_any;
}

/* Applies committed entries, reports the role and completes reads, which fail
 * after the loss of leadership. Returns whether there were any entries or
 * reads. */
static bool
apply_and_complete_reads(Replica *replica, const RaftReady *ready)
{
    const ReplicaOptions *options = &replica->options;
    bool did_work =
        ready->read_count > 0 || replica->applied_index < ready->commit_index;
    size_t i;

    apply_committed(replica, ready->commit_index);
    report_role(replica);
    for (i = 0; i < ready->read_count; i++) {
        options->read_ready(options->arg, ready->reads[i].cookie,
                            ready->reads[i].ok ? ST_OK : ST_AGAIN,
                            ready->reads[i].index);
    }
    return did_work;
}

/* Returns whether nothing but appended entries has to be made durable. */
static bool
has_only_appends(const RaftReady *ready)
{
    return !ready->hard_state_changed && !ready->cluster_changed &&
           !ready->install_snapshot && ready->truncate_from == 0;
}

static Status
flush_and_sync(Replica *replica, const RaftReady *ready, ErrCtx *err)
{
    Status status = persist_state(replica, ready, err);

    if (status != ST_OK) {
        return status;
    }
    Raft_MarkPersisted(replica->raft);
    send_messages(replica, ready->messages, ready->message_count, true);
    apply_and_complete_reads(replica, ready);
    Raft_DropOutput(replica->raft);
    return compact_log(replica, err);
}

/* Does the work that need not wait for the sync. Returns whether anything was
 * done, which may have queued more work. */
static bool
flush_during_sync(Replica *replica, const RaftReady *ready)
{
    bool did_work;

    if (!has_only_appends(ready)) {
        return false;
    }
    did_work =
        send_messages(replica, ready->messages, ready->message_count, false);
    did_work = apply_and_complete_reads(replica, ready) || did_work;
    Raft_DropReads(replica->raft);
    return did_work;
}

/* Writes the entries, starts an asynchronous sync and does the work that need
 * not wait for it. */
static Status
begin_sync(Replica *replica, const RaftReady *ready, ErrCtx *err)
{
    Status status = append_entries(replica, ready, err);

    if (status != ST_OK) {
        return status;
    }
    Raft_MarkWritten(replica->raft);
    replica->sync_in_progress = true;
    replica->held_message_count = ready->message_count;
    replica->options.sync(replica->options.arg);
    flush_during_sync(replica, ready);
    return ST_OK;
}

static Status
flush_once(Replica *replica, const RaftReady *ready, ErrCtx *err)
{
    if (replica->options.sync != NULL && has_only_appends(ready) &&
        ready->append_from <= ready->last_index && !is_snapshot_due(replica)) {
        return begin_sync(replica, ready, err);
    }
    return flush_and_sync(replica, ready, err);
}

/* Stops the replica and completes all pending work with ST_AGAIN. */
static void
stop_replica(Replica *replica, Status status, const ErrCtx *err)
{
    record_failure(replica, status, err);
    ReplicaCore_CancelPending(replica);
    report_role(replica);
}

void
Replica_FinishSync(Replica *replica, Status status, const ErrCtx *err)
{
    ErrCtx cause = *err;
    RaftReady ready;

    replica->sync_in_progress = false;
    if (replica->failure.status != ST_OK) {
        return;
    }
    status = Wal_FinishSync(replica->wal, status, &cause);
    if (status != ST_OK) {
        stop_replica(replica, status, &cause);
        return;
    }
    Raft_MarkSynced(replica->raft, Wal_GetLastIndex(replica->wal));
    Raft_GetReady(replica->raft, &ready);
    send_messages(replica, ready.messages, replica->held_message_count, true);
    Raft_DropMessages(replica->raft, replica->held_message_count);
    replica->held_message_count = 0;
}

Status
Replica_Flush(Replica *replica, int64_t now_ms)
{
    RaftReady ready;
    ErrCtx err = {ST_OK, ""};
    uint64_t confirmed;

    (void)now_ms;
    while (replica->failure.status == ST_OK &&
           Raft_GetReady(replica->raft, &ready)) {
        Status status = ST_OK;

        if (!replica->sync_in_progress) {
            status = flush_once(replica, &ready, &err);
        }
        else if (!flush_during_sync(replica, &ready)) {
            break;
        }
        if (status != ST_OK) {
            stop_replica(replica, status, &err);
        }
    }
    confirmed = Raft_GetConfirmedCommit(replica->raft);
    if (confirmed > 0 && replica->applied_index >= confirmed) {
        replica->caught_up = true;
    }
    if (replica->failure.status == ST_OK) {
        report_role(replica);
    }
    return replica->failure.status;
}
