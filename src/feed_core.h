/*
 * NAME
 *     feed_core - internals of feed that its source files share
 */
#ifndef COLTSFOOT_FEED_CORE_H
#define COLTSFOOT_FEED_CORE_H

#include "feed.h"
#include "raft_log.h"

#define FEED_LOG_PREFIX "feed"
#define FEED_NO_PEER SIZE_MAX

typedef struct FeedPeerState {
    FeedPeer info;
    /* True after the peer was silent, lagging or invalid as a source, until it
     * answers with an applied index that is not below this node's. */
    bool excluded;
    bool floor_answered; /* true once it answered the floor request */
} FeedPeerState;

struct Feed {
    FeedOptions options;
    char name[RAFT_NAME_BYTES];
    char data_centre[RAFT_NAME_BYTES];
    FeedPeerState peers[FEED_MAX_PEERS];
    size_t peer_count;
    char source[RAFT_NAME_BYTES]; /* empty if there is none */
    uint64_t context;             /* number of the last poll */
    bool poll_pending;            /* true while the last poll has no answer */
    int64_t source_answer_ms; /* last answer of the source, or its selection */
    int64_t poll_due_ms;
    int64_t probe_due_ms;
    int64_t floor_deadline_ms; /* end of the wait for floor answers */
    uint64_t cluster;
    uint64_t applied;
    uint64_t floor;
    uint64_t leader_commit;
    int64_t source_lag_since_ms; /* 0 while the source is up to date */
    size_t probe_counter;
    bool any_answer_received;
    bool ready;
    RaftLog log;
    /* Snapshot transfer in progress. */
    uint64_t snapshot_index;
    uint64_t snapshot_total;
    uint64_t snapshot_checksum;
    Buf snapshot;
    Buf result;
    Buf scratch;
};

/* Returns the index of a peer, or FEED_NO_PEER. */
size_t FeedCore_FindPeer(const Feed *feed, const char *name);

/* Returns whether requests can be sent to a peer. */
bool FeedCore_IsReachable(const Feed *feed, const FeedPeerState *peer);

/* Replaces the source if it is unreachable or excluded or if a peer of a
 * better rank is usable. */
void FeedCore_ChooseSource(Feed *feed, int64_t now_ms);

#endif
