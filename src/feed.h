/*
 * NAME
 *     feed - the replicated state on a node without a disk
 *
 * DESCRIPTION
 *     Core without input or output. A follower polls one source for the
 *     entries after its applied index, or for a snapshot in chunks. Sources
 *     are ranked: a node with a disk in the own data centre, the relay of the
 *     own data centre, a node with a disk elsewhere, any other node. The relay
 *     of a data centre is its reachable node without a disk whose name sorts
 *     first. A source that is silent or behind the leader for silence_ms is
 * left until it answers a question again; a better ranked one is taken as soon
 *     as it is reachable.
 *     Polling was preferred to a subscription because the source then keeps
 *     no state and a lost message costs one poll.
 *
 *     Entries at or below the applied index are skipped, a gap is asked for
 *     again, and a snapshot that is not newer is ignored, so the applied index
 *     never falls.
 *
 *     After a restart the node first asks every reachable peer for the
 * leader's commit index and for the index that the peer last saw this node
 * report. The highest of them is the floor; Feed_Ready becomes true once the
 *     machine has reached it.
 *
 *     Requests are msgpack arrays [1, cluster, context, applied, next,
 *     snapshot index, snapshot offset, max bytes]; answers [2, cluster,
 *     context, applied, leader commit, seen, kind, body] with the body
 *     nil-free: [] for none, entries, or one snapshot chunk
 *     [index, total, offset, checksum, bytes].
 */
#ifndef COLTSFOOT_FEED_H
#define COLTSFOOT_FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "raft_msg.h"
#include "replica.h"
#include "status.h"

#define FEED_MAX_PEERS 128
/* Bounds what a faulty source can make a follower store. */
#define FEED_MAX_SNAPSHOT_BYTES (256 * 1024 * 1024)

typedef enum FeedMsgType { FEED_MSG_ASK = 1, FEED_MSG_ANSWER = 2 } FeedMsgType;

typedef enum FeedBody {
    FEED_BODY_NONE = 0,
    FEED_BODY_ENTRIES = 1,
    FEED_BODY_SNAPSHOT = 2
} FeedBody;

typedef struct FeedPeer {
    char name[RAFT_NAME_BYTES];
    char data_centre[RAFT_NAME_BYTES];
    bool disk;      /* runs a replica */
    bool reachable; /* a link is up */
} FeedPeer;

typedef struct FeedOptions {
    const char *name;
    const char *data_centre;
    uint64_t seed; /* spreads followers over equal sources */
    int64_t now_ms;
    int64_t poll_ms;
    int64_t silence_ms;
    size_t max_bytes;      /* of entries or snapshot in one answer */
    uint64_t keep_entries; /* for other followers, while this is a relay */
    const ReplicaMachineOps *machine_ops;
    void *machine;
    void *arg;
    /* Sends one request to the peer with this name; may lose it. */
    void (*send)(void *arg, const char *peer, const char *bytes, size_t len);
    /* After each command was applied. */
    void (*applied)(void *arg, uint64_t index, const char *command, size_t len,
                    const Buf *result);
    /* May be NULL. After the machine was replaced by a snapshot. */
    void (*restored)(void *arg, uint64_t index);
} FeedOptions;

#define FEED_OPTIONS_DEFAULT                                                  \
    {                                                                         \
        .poll_ms = 500, .silence_ms = 3000, .max_bytes = 256 * 1024,          \
        .keep_entries = 4096                                                  \
    }

typedef struct Feed Feed;

/* Starts with an empty machine. ST_INVALID for options out of bounds. */
Status Feed_New(const FeedOptions *options, Feed **feed, ErrCtx *err);
void Feed_Free(Feed *feed);

/* Replaces the list of peers; call it whenever a link goes up or down. */
void Feed_SetPeers(Feed *feed, int64_t now_ms, const FeedPeer *peers,
                   size_t count);

/* Sends what is due. Call at least every poll_ms / 2. */
void Feed_Tick(Feed *feed, int64_t now_ms);

/* Takes an answer from a peer. ST_CORRUPT for a malformed one, ST_STALE for
 * one of another cluster or to an older request. */
Status Feed_Receive(Feed *feed, int64_t now_ms, const char *from,
                    const char *bytes, size_t len);

/* Raises the floor, for a peer that told what it saw in its hello. Has no
 * effect once Feed_Ready is true. */
void Feed_PeerSaw(Feed *feed, uint64_t index);

bool Feed_Ready(const Feed *feed);
uint64_t Feed_Floor(const Feed *feed);
uint64_t Feed_AppliedIndex(const Feed *feed);
uint64_t Feed_Cluster(const Feed *feed);

/* Returns the highest commit index of the leader that a source told. */
uint64_t Feed_LeaderCommit(const Feed *feed);

/* Returns the name of the source, or NULL. */
const char *Feed_Source(const Feed *feed);

/* Returns whether this node is the relay of its data centre. */
bool Feed_IsRelay(const Feed *feed);

/* As Replica_EntriesFrom and Replica_SnapshotBytes, for other followers. */
Status Feed_EntriesFrom(const Feed *feed, uint64_t index, size_t max_bytes,
                        Buf *out, size_t *count);
void Feed_SnapshotBytes(const Feed *feed, Buf *out, uint64_t *index);

#endif
