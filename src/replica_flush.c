#include "replica_core.h"

#include <inttypes.h>

#include "diag.h"

static Pending *
first_pending(Replica *replica)
{
    return &replica->pending[replica->pending_first];
}

static void
answer_first(Replica *replica, Status status, const Buf *result)
{
    Pending pending = *first_pending(replica);

    replica->pending_first =
        (replica->pending_first + 1) % replica->options.max_pending;
    replica->pending_count--;
    replica->options.proposed(replica->options.arg, pending.cookie, status,
                              pending.index, result);
}

/* Answers those that are pending now; callbacks may propose again. */
static void
abandon_pending(Replica *replica)
{
    size_t count = replica->pending_count;

    while (count-- > 0) {
        answer_first(replica, ST_AGAIN, NULL);
    }
}

void
ReplicaCore_AbandonAll(Replica *replica)
{
    RaftReady ready;
    size_t i;

    abandon_pending(replica);
    Raft_Stop(replica->raft);
    Raft_Ready(replica->raft, &ready);
    for (i = 0; i < ready.read_count; i++) {
        replica->options.read_ready(replica->options.arg,
                                    ready.reads[i].cookie, ST_AGAIN, 0);
    }
    Raft_Sent(replica->raft);
}

/* Stops the replica for good. */
static Status
stop(Replica *replica, Status status, const ErrCtx *err)
{
    if (replica->failure.status == ST_OK) {
        replica->failure = *err;
        replica->failure.status = status;
        Diag_Log(DIAG_ERROR, REPLICA_PART,
                 "Stopped: %s. Nothing more is acknowledged.", err->message);
    }
    return status;
}

static Status
restore_machine(Replica *replica, ErrCtx *err)
{
    uint64_t index;
    uint64_t term;
    size_t len;
    const char *bytes = Raft_Snapshot(replica->raft, &len, &index, &term);
    Status status =
        Wal_Install(replica->wal, index, term,
                    Raft_SnapshotMembers(replica->raft), bytes, len, err);

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
    replica->applied = index;
    Raft_Applied(replica->raft, index);
    Diag_Log(DIAG_NOTICE, REPLICA_PART,
             "Installed a snapshot up to entry %" PRIu64 ".", index);
    if (replica->options.restored != NULL) {
        replica->options.restored(replica->options.arg, index);
    }
    return ST_OK;
}

/* Hands new entries to the disk; they are durable after a sync. */
static Status
append_entries(Replica *replica, const RaftReady *ready, ErrCtx *err)
{
    /* Entries lie in one array. */
    return Wal_Append(
        replica->wal, Raft_Entry(replica->raft, ready->append_from),
        (size_t)(ready->last_index - ready->append_from + 1), err);
}

static Status
persist(Replica *replica, const RaftReady *ready, ErrCtx *err)
{
    Status status = ST_OK;

    if (ready->vote_changed) {
        status = Wal_SetVote(replica->wal, ready->term, ready->vote, err);
    }
    if (status == ST_OK && ready->cluster_changed) {
        status = Wal_SetCluster(replica->wal, ready->cluster, err);
    }
    if (status == ST_OK && ready->truncate_from > 0) {
        status = Wal_Truncate(replica->wal, ready->truncate_from, err);
    }
    if (status == ST_OK && ready->install) {
        status = restore_machine(replica, err);
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
    if (entry->kind == RAFT_COMMAND) {
        options->machine_ops->apply(options->machine, entry->index,
                                    entry->data, entry->len, &replica->result);
    }
    replica->applied = entry->index;
    Raft_Applied(replica->raft, entry->index);
    if (entry->kind == RAFT_COMMAND) {
        options->applied(options->arg, entry->index, entry->data, entry->len,
                         &replica->result);
    }
    while (replica->pending_count > 0 &&
           first_pending(replica)->index <= entry->index) {
        const Pending *first = first_pending(replica);

        if (first->index == entry->index && first->term == entry->term) {
            answer_first(replica, ST_OK, &replica->result);
        }
        else {
            /* Another entry took its place. */
            answer_first(
                replica,
                first->index == entry->index ? ST_NOT_LEADER : ST_AGAIN, NULL);
        }
    }
}

static void
apply(Replica *replica, uint64_t commit_index)
{
    while (replica->applied < commit_index) {
        /* A copy, since callbacks may propose and so move the entries. */
        RaftEntry entry = *Raft_Entry(replica->raft, replica->applied + 1);

        apply_entry(replica, &entry);
    }
}

static bool
is_snapshot_due(const Replica *replica)
{
    uint64_t snapshot_index;
    uint64_t term;
    size_t len;

    Raft_Snapshot(replica->raft, &len, &snapshot_index, &term);
    return replica->applied - snapshot_index >=
           replica->options.snapshot_entries;
}

static Status
compact(Replica *replica, ErrCtx *err)
{
    const ReplicaOptions *options = &replica->options;
    uint64_t index = replica->applied;
    uint64_t keep = options->snapshot_entries / 2;
    uint64_t from;
    RaftMembers members;
    Buf bytes = BUF_INIT;
    Status status;

    if (!is_snapshot_due(replica)) {
        return ST_OK;
    }
    /* Members that lag a little then need no snapshot. */
    from = index > keep ? index - keep + 1 : 1;
    if (from < Raft_FirstIndex(replica->raft)) {
        from = Raft_FirstIndex(replica->raft);
    }
    options->machine_ops->snapshot(options->machine, &bytes);
    Raft_MembersAt(replica->raft, index, &members);
    status =
        Wal_Compact(replica->wal, index, Raft_TermAt(replica->raft, index),
                    &members, bytes.data, bytes.len, from, err);
    if (status == ST_OK) {
        Raft_Compact(replica->raft, index, from, &bytes);
    }
    Buf_Free(&bytes);
    return status;
}

static void
report_role(Replica *replica)
{
    RaftRole role = Raft_Role(replica->raft);
    uint64_t term = Raft_Term(replica->raft);
    uint64_t leader = Raft_Leader(replica->raft);

    if (replica->role == RAFT_LEADER &&
        (role != RAFT_LEADER || term != replica->term)) {
        abandon_pending(replica);
    }
    if (role == replica->role && term == replica->term &&
        leader == replica->leader) {
        return;
    }
    if (role == RAFT_LEADER && replica->role != RAFT_LEADER) {
        Diag_Log(DIAG_NOTICE, REPLICA_PART,
                 "Became leader in term %" PRIu64 ".", term);
    }
    if (role != RAFT_LEADER && replica->role == RAFT_LEADER) {
        Diag_Log(DIAG_NOTICE, REPLICA_PART,
                 "Is no longer leader, term %" PRIu64 ".", term);
    }
    replica->role = role;
    replica->term = term;
    replica->leader = leader;
    if (replica->options.role_changed != NULL) {
        replica->options.role_changed(replica->options.arg, role, term,
                                      leader);
    }
}

/* Sends the first messages that were not sent yet: all, or early ones only.
 * Returns whether there were any. */
static bool
send_messages(Replica *replica, RaftOut *messages, size_t count, bool all)
{
    const ReplicaOptions *options = &replica->options;
    bool any = false;
    size_t i;

    for (i = 0; i < count; i++) {
        RaftOut *out = &messages[i];
        if (out->sent || (!all && !out->early)) {
            continue;
        }
        options->send(options->arg, out->to, out->bytes.data, out->bytes.len);
        out->sent = true;
        any = true;
    }
    return any;
}

/* Applies what is committed and answers reads. Returns whether there was
 * anything to do. */
static bool
apply_ready(Replica *replica, const RaftReady *ready)
{
    const ReplicaOptions *options = &replica->options;
    bool any = ready->read_count > 0 || replica->applied < ready->commit_index;
    size_t i;

    apply(replica, ready->commit_index);
    for (i = 0; i < ready->read_count; i++) {
        options->read_ready(options->arg, ready->reads[i].cookie,
                            ready->reads[i].ok ? ST_OK : ST_AGAIN,
                            ready->reads[i].index);
    }
    return any;
}

/* Returns whether entries are all that has to be made durable. */
static bool
only_appends(const RaftReady *ready)
{
    return !ready->vote_changed && !ready->cluster_changed &&
           !ready->install && ready->truncate_from == 0;
}

static Status
flush_in_place(Replica *replica, const RaftReady *ready, ErrCtx *err)
{
    Status status = persist(replica, ready, err);

    if (status != ST_OK) {
        return status;
    }
    Raft_Persisted(replica->raft);
    send_messages(replica, ready->messages, ready->message_count, true);
    apply_ready(replica, ready);
    Raft_Sent(replica->raft);
    report_role(replica);
    return compact(replica, err);
}

/* Does what need not wait for the disk. Returns whether anything was done;
 * that may have led to more. */
static bool
flush_meanwhile(Replica *replica, const RaftReady *ready)
{
    bool any;

    if (!only_appends(ready)) {
        return false;
    }
    any = send_messages(replica, ready->messages, ready->message_count, false);
    any = apply_ready(replica, ready) || any;
    Raft_Answered(replica->raft);
    report_role(replica);
    return any;
}

/* Hands the entries to the disk and goes on. */
static Status
begin_sync(Replica *replica, const RaftReady *ready, ErrCtx *err)
{
    Status status = append_entries(replica, ready, err);

    if (status != ST_OK) {
        return status;
    }
    Raft_Written(replica->raft);
    replica->syncing = true;
    replica->held = ready->message_count;
    replica->options.sync(replica->options.arg);
    flush_meanwhile(replica, ready);
    return ST_OK;
}

static Status
flush_once(Replica *replica, const RaftReady *ready, ErrCtx *err)
{
    if (replica->options.sync != NULL && only_appends(ready) &&
        ready->append_from <= ready->last_index && !is_snapshot_due(replica)) {
        return begin_sync(replica, ready, err);
    }
    return flush_in_place(replica, ready, err);
}

/* Gives up after a failure of the disk. */
static void
fail_replica(Replica *replica, Status status, const ErrCtx *err)
{
    stop(replica, status, err);
    ReplicaCore_AbandonAll(replica);
    report_role(replica);
}

void
Replica_Synced(Replica *replica, Status status, const ErrCtx *err)
{
    ErrCtx cause = *err;
    RaftReady ready;

    replica->syncing = false;
    if (replica->failure.status != ST_OK) {
        return;
    }
    status = Wal_Synced(replica->wal, status, &cause);
    if (status != ST_OK) {
        fail_replica(replica, status, &cause);
        return;
    }
    Raft_Synced(replica->raft, Wal_LastIndex(replica->wal));
    Raft_Ready(replica->raft, &ready);
    send_messages(replica, ready.messages, replica->held, true);
    Raft_SentFirst(replica->raft, replica->held);
    replica->held = 0;
}

Status
Replica_Flush(Replica *replica, int64_t now_ms)
{
    RaftReady ready;
    ErrCtx err = {ST_OK, ""};
    uint64_t confirmed;

    (void)now_ms;
    while (replica->failure.status == ST_OK &&
           Raft_Ready(replica->raft, &ready)) {
        Status status = ST_OK;

        if (!replica->syncing) {
            status = flush_once(replica, &ready, &err);
        }
        else if (!flush_meanwhile(replica, &ready)) {
            break;
        }
        if (status != ST_OK) {
            fail_replica(replica, status, &err);
        }
    }
    confirmed = Raft_ConfirmedCommit(replica->raft);
    if (confirmed > 0 && replica->applied >= confirmed) {
        replica->caught_up = true;
    }
    if (replica->failure.status == ST_OK) {
        report_role(replica);
    }
    return replica->failure.status;
}
