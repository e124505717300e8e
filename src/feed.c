#include "feed_core.h"

#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "diag.h"
#include "mem.h"
#include "reader.h"

#define REQUEST_FIELDS 8
#define ANSWER_FIELDS 8
#define CHUNK_FIELDS 5

typedef struct Answer {
    uint64_t cluster;
    uint64_t context;
    uint64_t applied;
    uint64_t commit;
    uint64_t seen;
    FeedBody kind;
    size_t entry_count;
    RaftEntry entries[RAFT_MAX_BATCH_ENTRIES];
    /* The remaining members describe a snapshot chunk. */
    uint64_t index;
    uint64_t total;
    uint64_t offset;
    uint64_t checksum;
    const char *data;
    size_t len;
} Answer;

Status
Feed_New(const FeedOptions *options, Feed **result, ErrCtx *err)
{
    Feed *feed;

    if (options->name == NULL || options->data_centre == NULL ||
        options->name[0] == '\0' || strlen(options->name) >= RAFT_NAME_BYTES ||
        strlen(options->data_centre) >= RAFT_NAME_BYTES ||
        options->poll_ms <= 0 ||
        options->silence_timeout_ms <= options->poll_ms ||
        options->max_bytes == 0 || options->keep_entries == 0 ||
        options->machine_ops == NULL || options->send == NULL ||
        options->applied == NULL) {
        return Err_Set(err, ST_INVALID, "feed options out of bounds");
    }
    feed = calloc(1, sizeof(*feed));
    if (feed == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "out of memory");
    }
    feed->options = *options;
    snprintf(feed->name, sizeof(feed->name), "%s", options->name);
    snprintf(feed->data_centre, sizeof(feed->data_centre), "%s",
             options->data_centre);
    feed->floor_deadline_ms = options->now_ms + options->silence_timeout_ms;
    *result = feed;
    return ST_OK;
}

void
Feed_Free(Feed *feed)
{
    if (feed == NULL) {
        return;
    }
    RaftLog_Free(&feed->log);
    Buf_Free(&feed->snapshot);
    Buf_Free(&feed->result);
    Buf_Free(&feed->scratch);
    free(feed);
}

static void
send_request(Feed *feed, const char *peer, uint64_t context, size_t max_bytes)
{
    msgpack_packer packer;

    Buf_Clear(&feed->scratch);
    msgpack_packer_init(&packer, &feed->scratch, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, REQUEST_FIELDS);
    msgpack_pack_uint64(&packer, FEED_MSG_REQUEST);
    msgpack_pack_uint64(&packer, feed->cluster);
    msgpack_pack_uint64(&packer, context);
    msgpack_pack_uint64(&packer, feed->applied);
    msgpack_pack_uint64(&packer, feed->applied + 1);
    msgpack_pack_uint64(&packer, feed->snapshot_index);
    msgpack_pack_uint64(&packer, feed->snapshot.len);
    msgpack_pack_uint64(&packer, max_bytes);
    feed->options.send(feed->options.arg, peer, feed->scratch.data,
                       feed->scratch.len);
}

static void
poll_source(Feed *feed, int64_t now_ms)
{
    feed->context++;
    feed->poll_pending = true;
    feed->poll_due_ms = now_ms + feed->options.poll_ms;
    send_request(feed, feed->source, feed->context, feed->options.max_bytes);
}

/* Requests the leader's commit index from one peer, the next one at each call,
 * to detect that the source is cut off from the leader. Also requests it from
 * all excluded peers, to learn which are usable again: choosing one that still
 * fails would leave this node without changes for silence_timeout_ms. */
static void
probe_peers(Feed *feed, int64_t now_ms)
{
    size_t next =
        feed->peer_count == 0 ? 0 : feed->probe_counter++ % feed->peer_count;
    size_t i;

    feed->probe_due_ms =
        now_ms + (feed->source[0] == '\0' ? feed->options.poll_ms
                                          : feed->options.silence_timeout_ms);
    for (i = 0; i < feed->peer_count; i++) {
        const FeedPeerState *peer = &feed->peers[i];

        if (FeedCore_IsReachable(feed, peer) &&
            (peer->excluded || i == next)) {
            send_request(feed, peer->info.name, 0, 0);
        }
    }
}

/* Requests the floor from the peers that have not answered yet. Context 0
 * marks a request whose answer has no entries and no snapshot chunk. */
static void
request_floor(Feed *feed, int64_t now_ms)
{
    size_t i;

    feed->probe_due_ms = now_ms + feed->options.poll_ms;
    for (i = 0; i < feed->peer_count; i++) {
        const FeedPeerState *peer = &feed->peers[i];

        if (FeedCore_IsReachable(feed, peer) &&
            (!peer->floor_answered || peer->excluded)) {
            send_request(feed, peer->info.name, 0, 0);
        }
    }
}

static void
check_ready(Feed *feed, int64_t now_ms)
{
    size_t i;

    /* An empty state machine may lack entries that this node had applied
     * before a restart. */
    if (feed->ready || !feed->any_answer_received || feed->applied == 0 ||
        feed->applied < feed->floor) {
        return;
    }
    if (now_ms < feed->floor_deadline_ms) {
        for (i = 0; i < feed->peer_count; i++) {
            if (FeedCore_IsReachable(feed, &feed->peers[i]) &&
                !feed->peers[i].floor_answered) {
                return;
            }
        }
    }
    feed->ready = true;
    Diag_Log(DIAG_NOTICE, FEED_LOG_PREFIX, "Reached the floor, entry %llu.",
             (unsigned long long)feed->floor);
}

void
Feed_Tick(Feed *feed, int64_t now_ms)
{
    size_t source_index = FeedCore_FindPeer(feed, feed->source);

    if (source_index != FEED_NO_PEER &&
        (now_ms - feed->source_answer_ms >= feed->options.silence_timeout_ms ||
         (feed->source_lag_since_ms != 0 &&
          now_ms - feed->source_lag_since_ms >=
              feed->options.silence_timeout_ms))) {
        feed->peers[source_index].excluded = true;
    }
    FeedCore_ChooseSource(feed, now_ms);
    if (!feed->ready && now_ms >= feed->probe_due_ms) {
        request_floor(feed, now_ms);
    }
    else if (feed->ready && now_ms >= feed->probe_due_ms) {
        probe_peers(feed, now_ms);
    }
    if (feed->source[0] != '\0' && now_ms >= feed->poll_due_ms) {
        poll_source(feed, now_ms);
    }
    check_ready(feed, now_ms);
}

static void
read_body(Reader *reader, Answer *answer)
{
    size_t i;

    if (answer->kind == FEED_BODY_SNAPSHOT) {
        Reader_ArrayOf(reader, CHUNK_FIELDS);
        answer->index = Reader_Unsigned(reader);
        answer->total = Reader_Unsigned(reader);
        answer->offset = Reader_Unsigned(reader);
        answer->checksum = Reader_Unsigned(reader);
        answer->data =
            Reader_Bin(reader, FEED_MAX_SNAPSHOT_BYTES, &answer->len);
        if (answer->total > FEED_MAX_SNAPSHOT_BYTES ||
            answer->offset > answer->total ||
            answer->len > answer->total - answer->offset) {
            Reader_Fail(reader);
        }
        return;
    }
    answer->entry_count = Reader_Array(
        reader,
        answer->kind == FEED_BODY_ENTRIES ? RAFT_MAX_BATCH_ENTRIES : 0);
    for (i = 0; i < answer->entry_count && !reader->failed; i++) {
        RaftEntry_Read(reader, &answer->entries[i]);
        if (i > 0 &&
            answer->entries[i].index != answer->entries[i - 1].index + 1) {
            Reader_Fail(reader);
        }
    }
}

static Status
decode_answer(const char *bytes, size_t len, Answer *answer)
{
    Reader reader;
    uint64_t kind;

    Reader_Init(&reader, bytes, len);
    Reader_ArrayOf(&reader, ANSWER_FIELDS);
    if (Reader_Unsigned(&reader) != FEED_MSG_ANSWER) {
        Reader_Fail(&reader);
    }
    answer->cluster = Reader_Unsigned(&reader);
    answer->context = Reader_Unsigned(&reader);
    answer->applied = Reader_Unsigned(&reader);
    answer->commit = Reader_Unsigned(&reader);
    answer->seen = Reader_Unsigned(&reader);
    kind = Reader_Unsigned(&reader);
    if (kind > FEED_BODY_SNAPSHOT || answer->cluster == 0) {
        return ST_CORRUPT;
    }
    answer->kind = (FeedBody)kind;
    answer->entry_count = 0;
    read_body(&reader, answer);
    return Reader_Done(&reader) ? ST_OK : ST_CORRUPT;
}

static void
keep_entry(Feed *feed, const RaftEntry *entry)
{
    RaftLog_Append(&feed->log, entry);
    /* Halving the log at twice the limit keeps the cost of moving entries
     * small. */
    if (feed->log.count >= 2 * feed->options.keep_entries) {
        RaftLog_DropFront(&feed->log, RaftLog_GetLastIndex(&feed->log) -
                                          feed->options.keep_entries);
    }
}

static void
apply_entries(Feed *feed, const Answer *answer)
{
    const FeedOptions *options = &feed->options;
    size_t i;

    for (i = 0; i < answer->entry_count; i++) {
        const RaftEntry *entry = &answer->entries[i];

        if (entry->index <= feed->applied) {
            continue;
        }
        if (entry->index != feed->applied + 1) {
            return; /* the next request asks for the missing entries */
        }
        Buf_Clear(&feed->result);
        if (entry->kind == RAFT_ENTRY_COMMAND) {
            options->machine_ops->apply(options->machine, entry->index,
                                        entry->data, entry->len,
                                        &feed->result);
        }
        feed->applied = entry->index;
        keep_entry(feed, entry);
        if (entry->kind == RAFT_ENTRY_COMMAND) {
            options->applied(options->arg, entry->index, entry->data,
                             entry->len, &feed->result);
        }
    }
}

static void
drop_snapshot(Feed *feed)
{
    Buf_Free(&feed->snapshot);
    feed->snapshot_index = 0;
}

static Status
install_snapshot(Feed *feed)
{
    const FeedOptions *options = &feed->options;
    uint64_t index = feed->snapshot_index;
    Status status = ST_CORRUPT;

    if (XXH64(feed->snapshot.len > 0 ? feed->snapshot.data : "",
              feed->snapshot.len, 0) == feed->snapshot_checksum) {
        status = options->machine_ops->restore(
            options->machine, feed->snapshot.data, feed->snapshot.len);
    }
    drop_snapshot(feed);
    if (status != ST_OK) {
        Diag_Log(DIAG_ERROR, FEED_LOG_PREFIX,
                 "Rejected the snapshot at entry %llu from %s.",
                 (unsigned long long)index, feed->source);
        return ST_CORRUPT;
    }
    feed->applied = index;
    RaftLog_Reset(&feed->log, index, 0);
    if (options->restored != NULL) {
        options->restored(options->arg, index);
    }
    return ST_OK;
}

static Status
handle_chunk(Feed *feed, const Answer *answer)
{
    if (answer->index <= feed->applied) {
        drop_snapshot(feed);
        return ST_OK;
    }
    if (feed->snapshot_index != answer->index ||
        feed->snapshot_total != answer->total ||
        feed->snapshot_checksum != answer->checksum) {
        Buf_Clear(&feed->snapshot);
        feed->snapshot_index = answer->index;
        feed->snapshot_total = answer->total;
        feed->snapshot_checksum = answer->checksum;
    }
    if (answer->offset != feed->snapshot.len) {
        return ST_OK; /* the next request has the right offset */
    }
    Buf_Append(&feed->snapshot, answer->data, answer->len);
    return feed->snapshot.len == feed->snapshot_total ? install_snapshot(feed)
                                                      : ST_OK;
}

static void
record_commit_and_floor(Feed *feed, FeedPeerState *peer, const Answer *answer)
{
    feed->any_answer_received = true;
    if (answer->commit > feed->leader_commit) {
        feed->leader_commit = answer->commit;
    }
    if (peer->floor_answered) {
        return;
    }
    peer->floor_answered = true;
    Feed_RaiseFloor(feed, answer->seen);
    Feed_RaiseFloor(feed, answer->commit);
}

static Status
handle_body(Feed *feed, int64_t now_ms, FeedPeerState *peer,
            const Answer *answer)
{
    Status status = ST_OK;
    uint64_t applied_before = feed->applied;
    size_t received_before = feed->snapshot.len;

    feed->poll_pending = false;
    feed->source_answer_ms = now_ms;
    if (answer->applied >= feed->leader_commit) {
        feed->source_lag_since_ms = 0;
    }
    else if (feed->source_lag_since_ms == 0) {
        feed->source_lag_since_ms = now_ms;
    }
    if (answer->kind == FEED_BODY_ENTRIES) {
        apply_entries(feed, answer);
    }
    else if (answer->kind == FEED_BODY_SNAPSHOT) {
        status = handle_chunk(feed, answer);
    }
    if (status != ST_OK) {
        peer->excluded = true;
        FeedCore_ChooseSource(feed, now_ms);
    }
    else if (feed->applied < answer->applied &&
             (feed->applied != applied_before ||
              feed->snapshot.len != received_before)) {
        /* The source has more, and this answer made progress. */
        poll_source(feed, now_ms);
    }
    return status;
}

Status
Feed_Receive(Feed *feed, int64_t now_ms, const char *from, const char *bytes,
             size_t len)
{
    size_t peer_index = FeedCore_FindPeer(feed, from);
    Answer *answer;
    Status status;

    if (peer_index == FEED_NO_PEER) {
        return ST_STALE;
    }
    answer = Mem_New(1, sizeof(*answer));
    status = decode_answer(bytes, len, answer);
    if (status == ST_OK && feed->cluster != 0 &&
        feed->cluster != answer->cluster) {
        status = ST_STALE;
    }
    if (status == ST_OK) {
        feed->cluster = answer->cluster;
        record_commit_and_floor(feed, &feed->peers[peer_index], answer);
        if (answer->applied >= feed->applied) {
            feed->peers[peer_index].excluded = false;
        }
        if (answer->context != 0) {
            status = strcmp(from, feed->source) == 0 && feed->poll_pending &&
                             answer->context == feed->context
                         ? handle_body(feed, now_ms, &feed->peers[peer_index],
                                       answer)
                         : ST_STALE;
        }
        check_ready(feed, now_ms);
    }
    free(answer);
    return status;
}

void
Feed_RaiseFloor(Feed *feed, uint64_t index)
{
    if (!feed->ready && index > feed->floor) {
        feed->floor = index;
    }
}

bool
Feed_IsReady(const Feed *feed)
{
    return feed->ready;
}

uint64_t
Feed_GetFloor(const Feed *feed)
{
    return feed->floor;
}

uint64_t
Feed_GetAppliedIndex(const Feed *feed)
{
    return feed->applied;
}

uint64_t
Feed_GetCluster(const Feed *feed)
{
    return feed->cluster;
}

uint64_t
Feed_GetLeaderCommit(const Feed *feed)
{
    return feed->leader_commit;
}

const char *
Feed_GetSource(const Feed *feed)
{
    return feed->source[0] == '\0' ? NULL : feed->source;
}

Status
Feed_EncodeEntries(const Feed *feed, uint64_t index, size_t max_bytes,
                   Buf *out, size_t *count)
{
    size_t start = out->len;

    *count = 0;
    if (index <= feed->log.base_index) {
        return ST_STALE;
    }
    while (index <= feed->applied && *count < RAFT_MAX_BATCH_ENTRIES) {
        const RaftEntry *entry = RaftLog_GetEntry(&feed->log, index);

        if (*count > 0 && out->len - start + entry->len > max_bytes) {
            break;
        }
        RaftEntry_Encode(entry, out);
        (*count)++;
        index++;
    }
    return ST_OK;
}

void
Feed_EncodeSnapshot(const Feed *feed, Buf *out, uint64_t *index)
{
    feed->options.machine_ops->snapshot(feed->options.machine, out);
    *index = feed->applied;
}
