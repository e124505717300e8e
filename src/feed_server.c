#include "feed_server.h"

#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "mem.h"
#include "reader.h"

#define REQUEST_FIELDS 8
#define ANSWER_FIELDS 8
#define CHUNK_FIELDS 5
/* Keeps an answer below the frame limit of 4 MiB. */
#define MAX_ANSWER_BYTES ((size_t)1024 * 1024)
#define SNAPSHOT_IDLE_TIMEOUT_MS 10000

typedef struct Follower {
    char name[RAFT_NAME_BYTES];
    uint64_t applied; /* highest applied index that it reported */
} Follower;

struct FeedServer {
    const Replica *replica;
    const Feed *feed;
    Follower followers[FEED_MAX_PEERS];
    size_t follower_count;
    size_t next_replaced; /* follower replaced next when the list is full */
    Buf snapshot;
    uint64_t snapshot_index;
    uint64_t snapshot_checksum;
    int64_t snapshot_used_ms;
    Buf entries;
};

typedef struct Request {
    uint64_t context;
    uint64_t applied;
    uint64_t next;
    uint64_t snapshot_index;
    uint64_t snapshot_offset;
    size_t max_bytes;
} Request;

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
get_cluster(const FeedServer *server)
{
    return server->replica != NULL ? Replica_GetCluster(server->replica)
                                   : Feed_GetCluster(server->feed);
}

static uint64_t
get_applied_index(const FeedServer *server)
{
    return server->replica != NULL ? Replica_GetAppliedIndex(server->replica)
                                   : Feed_GetAppliedIndex(server->feed);
}

static uint64_t
get_leader_commit(const FeedServer *server)
{
    return server->replica != NULL
               ? Replica_GetConfirmedCommit(server->replica)
               : Feed_GetLeaderCommit(server->feed);
}

static Status
encode_entries(const FeedServer *server, uint64_t index, size_t max_bytes,
               Buf *out, size_t *count)
{
    return server->replica != NULL
               ? Replica_EncodeEntries(server->replica, index, max_bytes, out,
                                       count)
               : Feed_EncodeEntries(server->feed, index, max_bytes, out,
                                    count);
}

/* Takes a new snapshot unless the cached one is newer than the follower and
 * the log still has the entry after it. */
static void
refresh_snapshot(FeedServer *server, const Request *request)
{
    size_t count;
    uint64_t term;

    if (server->snapshot_index > request->applied) {
        Buf_Clear(&server->entries);
        if (encode_entries(server, server->snapshot_index + 1, 1,
                           &server->entries, &count) == ST_OK) {
            return;
        }
    }
    Buf_Clear(&server->snapshot);
    if (server->replica != NULL) {
        Replica_EncodeSnapshot(server->replica, &server->snapshot,
                               &server->snapshot_index, &term);
    }
    else {
        Feed_EncodeSnapshot(server->feed, &server->snapshot,
                            &server->snapshot_index);
    }
    server->snapshot_checksum =
        XXH64(server->snapshot.len > 0 ? server->snapshot.data : "",
              server->snapshot.len, 0);
}

static void
pack_chunk(FeedServer *server, const Request *request, msgpack_packer *packer)
{
    uint64_t offset = 0;
    size_t chunk_len;

    if (request->snapshot_index == server->snapshot_index &&
        request->snapshot_offset <= server->snapshot.len) {
        offset = request->snapshot_offset;
    }
    chunk_len = server->snapshot.len - (size_t)offset;
    if (chunk_len > request->max_bytes) {
        chunk_len = request->max_bytes;
    }
    msgpack_pack_array(packer, CHUNK_FIELDS);
    msgpack_pack_uint64(packer, server->snapshot_index);
    msgpack_pack_uint64(packer, server->snapshot.len);
    msgpack_pack_uint64(packer, offset);
    msgpack_pack_uint64(packer, server->snapshot_checksum);
    msgpack_pack_bin_with_body(
        packer, chunk_len > 0 ? server->snapshot.data + offset : NULL,
        chunk_len);
}

/* Returns the index of a follower, or follower_count if it is unknown. */
static size_t
find_follower(const FeedServer *server, const char *name)
{
    size_t i = 0;

    while (i < server->follower_count &&
           strcmp(server->followers[i].name, name) != 0) {
        i++;
    }
    return i;
}

/* Records the applied index that a follower reports. Returns the highest index
 * that it reported before. */
static uint64_t
record_follower(FeedServer *server, const char *name, uint64_t applied)
{
    size_t index = find_follower(server, name);
    uint64_t reported_before;

    if (index == server->follower_count) {
        if (server->follower_count < FEED_MAX_PEERS) {
            server->follower_count++;
        }
        else {
            index = server->next_replaced++ % FEED_MAX_PEERS;
        }
        snprintf(server->followers[index].name,
                 sizeof(server->followers[index].name), "%s", name);
        server->followers[index].applied = 0;
    }
    reported_before = server->followers[index].applied;
    /* A restarted follower reports a lower index, which is ignored. */
    if (applied > reported_before) {
        server->followers[index].applied = applied;
    }
    return reported_before;
}

static Status
decode_request(const FeedServer *server, const char *bytes, size_t len,
               Request *request)
{
    Reader reader;
    uint64_t cluster;
    uint64_t max_bytes;

    Reader_Init(&reader, bytes, len);
    Reader_ArrayOf(&reader, REQUEST_FIELDS);
    if (Reader_Unsigned(&reader) != FEED_MSG_REQUEST) {
        Reader_Fail(&reader);
    }
    cluster = Reader_Unsigned(&reader);
    request->context = Reader_Unsigned(&reader);
    request->applied = Reader_Unsigned(&reader);
    request->next = Reader_Unsigned(&reader);
    request->snapshot_index = Reader_Unsigned(&reader);
    request->snapshot_offset = Reader_Unsigned(&reader);
    max_bytes = Reader_Unsigned(&reader);
    if (!Reader_Done(&reader) || request->next == 0) {
        return ST_CORRUPT;
    }
    request->max_bytes =
        max_bytes < MAX_ANSWER_BYTES ? (size_t)max_bytes : MAX_ANSWER_BYTES;
    if (get_cluster(server) == 0 ||
        (cluster != 0 && cluster != get_cluster(server))) {
        return ST_STALE;
    }
    return ST_OK;
}

Status
FeedServer_AnswerRequest(FeedServer *server, int64_t now_ms, const char *from,
                         const char *bytes, size_t len, Buf *answer)
{
    msgpack_packer packer;
    FeedBody kind = FEED_BODY_NONE;
    size_t count = 0;
    Request request;
    Status status = decode_request(server, bytes, len, &request);

    if (status != ST_OK) {
        return status;
    }
    Buf_Clear(&server->entries);
    if (request.max_bytes > 0 && request.applied < get_applied_index(server)) {
        kind = FEED_BODY_ENTRIES;
        if (encode_entries(server, request.next, request.max_bytes,
                           &server->entries, &count) != ST_OK) {
            kind = FEED_BODY_SNAPSHOT;
            server->snapshot_used_ms = now_ms;
            refresh_snapshot(server, &request);
        }
    }
    msgpack_packer_init(&packer, answer, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, ANSWER_FIELDS);
    msgpack_pack_uint64(&packer, FEED_MSG_ANSWER);
    msgpack_pack_uint64(&packer, get_cluster(server));
    msgpack_pack_uint64(&packer, request.context);
    msgpack_pack_uint64(&packer, get_applied_index(server));
    msgpack_pack_uint64(&packer, get_leader_commit(server));
    msgpack_pack_uint64(&packer,
                        record_follower(server, from, request.applied));
    msgpack_pack_uint64(&packer, (uint64_t)kind);
    if (kind == FEED_BODY_SNAPSHOT) {
        pack_chunk(server, &request, &packer);
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
        now_ms - server->snapshot_used_ms > SNAPSHOT_IDLE_TIMEOUT_MS) {
        Buf_Free(&server->snapshot);
        server->snapshot_index = 0;
    }
}

uint64_t
FeedServer_GetReportedIndex(const FeedServer *server, const char *peer)
{
    size_t index = find_follower(server, peer);

    return index == server->follower_count ? 0
                                           : server->followers[index].applied;
}
