/*
 * NAME
 *     feed - follows the replicated log on a node without a disk
 *
 * DESCRIPTION
 *     Protocol core without input or output. A follower polls one source for
 *     the entries after its applied index, or for a snapshot in chunks.
 *     Sources are ranked: a node with a disk in the same data centre, the
 *     relay of the same data centre, a node with a disk elsewhere, the relay
 *     of another data centre. The relay of a data centre is its reachable node
 *     without a disk whose name sorts first. A source that is silent or behind
 *     the leader for silence_timeout_ms is excluded until it answers a request
 *     again; a source of a better rank is chosen as soon as it is reachable.
 *     A follower polls instead of subscribing so that the source keeps no
 *     state and a lost message costs one poll.
 *
 *     Entries at or below the applied index are skipped, entries after a gap
 *     are requested again, and a snapshot that is not newer is ignored, so the
 *     applied index never decreases.
 *
 *     After a restart the node first asks every reachable peer for the
 *     leader's commit index and for the highest applied index that this node
 *     has reported to that peer. The highest of these is the floor;
 *     Feed_IsReady becomes true once the state machine has reached it.
 *
 *     Requests are msgpack arrays [1, cluster, context, applied, next,
 *     snapshot index, snapshot offset, max bytes]; answers are [2, cluster,
 *     context, applied, leader commit, seen, kind, body]. seen is the highest
 *     applied index that the follower reported before. The body is never nil:
 *     it is [] for none, entries, or one snapshot chunk
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
/* Limits the memory that a faulty source can make a follower use. */
#define FEED_MAX_SNAPSHOT_BYTES (256 * 1024 * 1024)

typedef enum FeedMsgType {
    FEED_MSG_REQUEST = 1,
    FEED_MSG_ANSWER = 2
} FeedMsgType;

typedef enum FeedBody {
    FEED_BODY_NONE = 0,
    FEED_BODY_ENTRIES = 1,
    FEED_BODY_SNAPSHOT = 2
} FeedBody;

typedef struct FeedPeer {
    char name[RAFT_NAME_BYTES];
    char data_centre[RAFT_NAME_BYTES];
    bool disk;      /* true if it runs a replica */
    bool reachable; /* true while it is connected */
} FeedPeer;

typedef struct FeedOptions {
    const char *name;
    const char *data_centre;
    uint64_t seed; /* distributes followers over sources of equal rank */
    int64_t now_ms;
    int64_t poll_ms;
    int64_t silence_timeout_ms;
    size_t max_bytes;      /* limit of entry or snapshot bytes in one answer */
    uint64_t keep_entries; /* minimum number kept for a relay's followers */
    const ReplicaMachineOps *machine_ops;
    void *machine;
    void *arg;
    /* Sends one request to the peer with this name; it may be lost. */
    void (*send)(void *arg, const char *peer, const char *bytes, size_t len);
    /* Called after each command is applied. */
    void (*applied)(void *arg, uint64_t index, const char *command, size_t len,
                    const Buf *result);
    /* Called after a snapshot replaced the state machine; may be NULL. */
    void (*restored)(void *arg, uint64_t index);
} FeedOptions;

#define FEED_OPTIONS_DEFAULT                                                  \
    {                                                                         \
        .poll_ms = 500, .silence_timeout_ms = 3000, .max_bytes = 256 * 1024,  \
        .keep_entries = 4096                                                  \
    }

typedef struct Feed Feed;

/* Creates a feed for an empty state machine. Returns ST_INVALID for options
 * out of bounds. */
Status Feed_New(const FeedOptions *options, Feed **feed, ErrCtx *err);
void Feed_Free(Feed *feed);

/* Replaces the list of peers; call it whenever a link goes up or down. */
void Feed_SetPeers(Feed *feed, int64_t now_ms, const FeedPeer *peers,
                   size_t count);

/* Sends the requests that are due. Call it at least every poll_ms / 2. */
void Feed_Tick(Feed *feed, int64_t now_ms);

/* Handles an answer from a peer. Returns ST_CORRUPT for a malformed answer or
 * snapshot; ST_STALE for an unknown peer, another cluster or a request that is
 * not the last one. */
Status Feed_Receive(Feed *feed, int64_t now_ms, const char *from,
                    const char *bytes, size_t len);

/* Raises the floor to an index that a peer reported, such as the highest
 * applied index that this node reported to it. Has no effect once Feed_IsReady
 * is true. */
void Feed_RaiseFloor(Feed *feed, uint64_t index);

bool Feed_IsReady(const Feed *feed);
uint64_t Feed_GetFloor(const Feed *feed);
uint64_t Feed_GetAppliedIndex(const Feed *feed);
uint64_t Feed_GetCluster(const Feed *feed);

/* Returns the highest of the leader's commit indexes that peers reported. */
uint64_t Feed_GetLeaderCommit(const Feed *feed);

/* Returns the name of the current source, or NULL if there is none. */
const char *Feed_GetSource(const Feed *feed);

/* Returns whether this node is the relay of its data centre. */
bool Feed_IsRelay(const Feed *feed);

/* Counterparts of Replica_EncodeEntries and Replica_EncodeSnapshot, used to
 * serve other followers. */
Status Feed_EncodeEntries(const Feed *feed, uint64_t index, size_t max_bytes,
                          Buf *out, size_t *count);
void Feed_EncodeSnapshot(const Feed *feed, Buf *out, uint64_t *index);

#endif
