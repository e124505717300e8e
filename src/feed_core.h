/*
 * NAME
 *     feed_core - the inside of feed, shared by its source files
 */
#ifndef COLTSFOOT_FEED_CORE_H
#define COLTSFOOT_FEED_CORE_H

#include "feed.h"
#include "raft_log.h"

#define FEED_PART "feed" /* prefix of log lines */
#define FEED_NO_PEER SIZE_MAX

typedef struct FeedLink {
    FeedPeer known;
    bool shunned;  /* was silent, behind or wrong; until it answers again */
    bool answered; /* the question for the floor */
} FeedLink;

struct Feed {
    FeedOptions options;
    char name[RAFT_NAME_BYTES];
    char data_centre[RAFT_NAME_BYTES];
    FeedLink peers[FEED_MAX_PEERS];
    size_t peer_count;
    char source[RAFT_NAME_BYTES]; /* empty: none */
    uint64_t context;             /* of the last request */
    bool waiting;                 /* for its answer */
    int64_t heard_ms; /* source's last answer, or since it was chosen */
    int64_t poll_due_ms;
    int64_t probe_due_ms;
    int64_t
        floor_until_ms; /* peers that did not answer by then are left out */
    uint64_t cluster;
    uint64_t applied;
    uint64_t floor;
    uint64_t leader_commit;
    int64_t lag_since_ms; /* the source is behind the leader; 0: it is not */
    size_t probe_next;
    bool heard_any;
    bool ready;
    RaftLog kept;
    /* The snapshot that is being received. */
    uint64_t snapshot_index;
    uint64_t snapshot_total;
    uint64_t snapshot_sum;
    Buf snapshot;
    Buf result;
    Buf scratch;
};

/* Returns the position of a peer, or FEED_NO_PEER. */
size_t FeedCore_FindPeer(const Feed *feed, const char *name);

/* Returns whether a peer can be asked. */
bool FeedCore_Reachable(const Feed *feed, const FeedLink *peer);

/* Keeps the source unless it is gone, shunned or a better kind is there. */
void FeedCore_Choose(Feed *feed, int64_t now_ms);

#endif
