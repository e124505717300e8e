/*
 * NAME
 *     feed_server - answers the requests of feed followers
 *
 * DESCRIPTION
 *     Serves followers from a replica or, on a relay, from a feed. Records
 *     the highest applied index that each follower reported, which a restarted
 *     follower needs for its floor. One encoded snapshot is cached while
 *     followers request it, so that all chunks of a transfer are from the same
 *     snapshot and many followers share one encoding.
 */
#ifndef COLTSFOOT_FEED_SERVER_H
#define COLTSFOOT_FEED_SERVER_H

#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "feed.h"
#include "replica.h"
#include "status.h"

typedef struct FeedServer FeedServer;

/* Creates a server that reads from either replica or feed; the other one is
 * NULL. The source must outlive the server. */
FeedServer *FeedServer_New(const Replica *replica, const Feed *feed);
void FeedServer_Free(FeedServer *server);

/* Appends the answer to a request of the peer named from. Returns ST_CORRUPT
 * for a malformed request, or ST_STALE if the request names another cluster or
 * the cluster is not known yet. */
Status FeedServer_AnswerRequest(FeedServer *server, int64_t now_ms,
                                const char *from, const char *bytes,
                                size_t len, Buf *answer);

/* Frees the cached snapshot if no follower has requested it for 10 s. */
void FeedServer_Tick(FeedServer *server, int64_t now_ms);

/* Returns the highest applied index that a peer reported, or 0. */
uint64_t FeedServer_GetReportedIndex(const FeedServer *server,
                                     const char *peer);

#endif
