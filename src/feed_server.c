#include "feed_server.h"

#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "mem.h"
#include "reader.h"

#define ASK_FIELDS 8
#define ANSWER_FIELDS 8
#define CHUNK_FIELDS 5
/* A frame between processes holds at most 4 MiB. */
#define MAX_ANSWER_BYTES ((size_t)1024 * 1024)
#define SNAPSHOT_IDLE_MS 10000

typedef struct Seen {
    char name[RAFT_NAME_BYTES];
    uint64_t applied;
} Seen;

struct FeedServer {
    const Replica *replica;
    const Feed *feed;
    Seen seen[FEED_MAX_PEERS];
    size_t seen_count;
    size_t seen_next; /* replaced next when the list is full */
    Buf snapshot;
    uint64_t snapshot_index;
    uint64_t snapshot_sum;
    int64_t snapshot_used_ms;
    Buf entries;
};

typedef struct Ask {
    uint64_t context;
    uint64_t applied;
    uint64_t next;
    uint64_t snapshot_index;
    uint64_t snapshot_offset;
    size_t max_bytes;
} Ask;

FeedServer *
FeedServer_New(const Replica *replica, const Feed *feed)
{
    FeedServer *server = Mem_New(1, sizeof(*server));

    server->replica = replica;
    server->feed = feed;
    return server;
}

void
FeedServer_Free(FeedServer *server)
{
    if (server == NULL) {
        return;
    }
    Buf_Free(&server->snapshot);
    Buf_Free(&server->entries);
    free(server);
}

static uint64_t
own_cluster(const FeedServer *server)
{
    return server->replica != NULL ? Replica_Cluster(server->replica)
                                   : Feed_Cluster(server->feed);
}

static uint64_t
own_applied(const FeedServer *server)
{
    return server->replica != NULL ? Replica_AppliedIndex(server->replica)
                                   : Feed_AppliedIndex(server->feed);
}

static uint64_t
leader_commit(const FeedServer *server)
{
    return server->replica != NULL ? Replica_ConfirmedCommit(server->replica)
                                   : Feed_LeaderCommit(server->feed);
}

static Status
entries_from(const FeedServer *server, uint64_t index, size_t max_bytes,
             Buf *out, size_t *count)
{
    return server->replica != NULL
               ? Replica_EntriesFrom(server->replica, index, max_bytes, out,
                                     count)
               : Feed_EntriesFrom(server->feed, index, max_bytes, out, count);
}

/* Makes a snapshot unless the kept one still connects to the log. */
static void
refresh_snapshot(FeedServer *server, const Ask *ask)
{
    size_t count;
    uint64_t term;

    if (server->snapshot_index > ask->applied) {
        Buf_Clear(&server->entries);
        if (entries_from(server, server->snapshot_index + 1, 1,
                         &server->entries, &count) == ST_OK) {
            return;
        }
    }
    Buf_Clear(&server->snapshot);
    if (server->replica != NULL) {
        Replica_SnapshotBytes(server->replica, &server->snapshot,
                              &server->snapshot_index, &term);
    }
    else {
        Feed_SnapshotBytes(server->feed, &server->snapshot,
                           &server->snapshot_index);
    }
    server->snapshot_sum =
        XXH64(server->snapshot.len > 0 ? server->snapshot.data : "",
              server->snapshot.len, 0);
}

static void
pack_chunk(FeedServer *server, const Ask *ask, msgpack_packer *packer)
{
    uint64_t offset = 0;
    size_t left;

    if (ask->snapshot_index == server->snapshot_index &&
        ask->snapshot_offset <= server->snapshot.len) {
        offset = ask->snapshot_offset;
    }
    left = server->snapshot.len - (size_t)offset;
    if (left > ask->max_bytes) {
        left = ask->max_bytes;
    }
    msgpack_pack_array(packer, CHUNK_FIELDS);
    msgpack_pack_uint64(packer, server->snapshot_index);
    msgpack_pack_uint64(packer, server->snapshot.len);
    msgpack_pack_uint64(packer, offset);
    msgpack_pack_uint64(packer, server->snapshot_sum);
    msgpack_pack_bin_with_body(
        packer, left > 0 ? server->snapshot.data + offset : NULL, left);
}

/* Returns the position of a peer, or seen_count. */
static size_t
find_seen(const FeedServer *server, const char *name)
{
    size_t i = 0;

    while (i < server->seen_count && strcmp(server->seen[i].name, name) != 0) {
        i++;
    }
    return i;
}

/* Returns what was seen before this request. */
static uint64_t
note_seen(FeedServer *server, const char *name, uint64_t applied)
{
    size_t at = find_seen(server, name);
    uint64_t before;

    if (at == server->seen_count) {
        if (server->seen_count < FEED_MAX_PEERS) {
            server->seen_count++;
        }
        else {
            at = server->seen_next++ % FEED_MAX_PEERS;
        }
        snprintf(server->seen[at].name, sizeof(server->seen[at].name), "%s",
                 name);
        server->seen[at].applied = 0;
    }
    before = server->seen[at].applied;
    /* Kept while a restarted follower is still below it. */
    if (applied > before) {
        server->seen[at].applied = applied;
    }
    return before;
}

static Status
decode(const FeedServer *server, const char *bytes, size_t len, Ask *ask)
{
    Reader reader;
    uint64_t cluster;
    uint64_t max_bytes;

    Reader_Init(&reader, bytes, len);
    Reader_ArrayOf(&reader, ASK_FIELDS);
    if (Reader_Unsigned(&reader) != FEED_MSG_ASK) {
        Reader_Fail(&reader);
    }
    cluster = Reader_Unsigned(&reader);
    ask->context = Reader_Unsigned(&reader);
    ask->applied = Reader_Unsigned(&reader);
    ask->next = Reader_Unsigned(&reader);
    ask->snapshot_index = Reader_Unsigned(&reader);
    ask->snapshot_offset = Reader_Unsigned(&reader);
    max_bytes = Reader_Unsigned(&reader);
    if (!Reader_Done(&reader) || ask->next == 0) {
        return ST_CORRUPT;
    }
    ask->max_bytes =
        max_bytes < MAX_ANSWER_BYTES ? (size_t)max_bytes : MAX_ANSWER_BYTES;
    if (own_cluster(server) == 0 ||
        (cluster != 0 && cluster != own_cluster(server))) {
        return ST_STALE;
    }
    return ST_OK;
}

Status
FeedServer_Answer(FeedServer *server, int64_t now_ms, const char *from,
                  const char *bytes, size_t len, Buf *answer)
{
    msgpack_packer packer;
    FeedBody kind = FEED_BODY_NONE;
    size_t count = 0;
    Ask ask;
    Status status = decode(server, bytes, len, &ask);

    if (status != ST_OK) {
        return status;
    }
    Buf_Clear(&server->entries);
    if (ask.max_bytes > 0 && ask.applied < own_applied(server)) {
        kind = FEED_BODY_ENTRIES;
        if (entries_from(server, ask.next, ask.max_bytes, &server->entries,
                         &count) != ST_OK) {
            kind = FEED_BODY_SNAPSHOT;
            server->snapshot_used_ms = now_ms;
            refresh_snapshot(server, &ask);
        }
    }
    msgpack_packer_init(&packer, answer, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, ANSWER_FIELDS);
    msgpack_pack_uint64(&packer, FEED_MSG_ANSWER);
    msgpack_pack_uint64(&packer, own_cluster(server));
    msgpack_pack_uint64(&packer, ask.context);
    msgpack_pack_uint64(&packer, own_applied(server));
    msgpack_pack_uint64(&packer, leader_commit(server));
    msgpack_pack_uint64(&packer, note_seen(server, from, ask.applied));
    msgpack_pack_uint64(&packer, (uint64_t)kind);
    if (kind == FEED_BODY_SNAPSHOT) {
        pack_chunk(server, &ask, &packer);
    }
    else {
        msgpack_pack_array(&packer, count);
        Buf_Append(answer, server->entries.data, server->entries.len);
    }
    return ST_OK;
}

void
FeedServer_Tick(FeedServer *server, int64_t now_ms)
{
    if (server->snapshot_index > 0 &&
        now_ms - server->snapshot_used_ms > SNAPSHOT_IDLE_MS) {
        Buf_Free(&server->snapshot);
        server->snapshot_index = 0;
    }
}

uint64_t
FeedServer_Saw(const FeedServer *server, const char *peer)
{
    size_t at = find_seen(server, peer);

    return at == server->seen_count ? 0 : server->seen[at].applied;
}
