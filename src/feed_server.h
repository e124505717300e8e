/*
 * NAME
 *     feed_server - the source's side of feed
 *
 * DESCRIPTION
 *     Answers the requests of followers from a replica or from another feed
 *     (a relay). Remembers the applied index that each follower reported
 *     last, so that it can tell a restarted one its floor. One snapshot is
 *     kept while it is in use, so that a transfer in chunks is consistent and
 *     many followers cost one encoding.
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

/* Exactly one of replica and feed is given; it must outlive the server. */
FeedServer *FeedServer_New(const Replica *replica, const Feed *feed);
void FeedServer_Free(FeedServer *server);

/* Appends the answer for the peer with this name. ST_CORRUPT for a malformed
 * request, ST_STALE for another cluster. */
Status FeedServer_Answer(FeedServer *server, int64_t now_ms, const char *from,
                         const char *bytes, size_t len, Buf *answer);

/* Frees the snapshot once nobody asked for it for a while. */
void FeedServer_Tick(FeedServer *server, int64_t now_ms);

/* Returns the applied index that a peer reported last, or 0. */
uint64_t FeedServer_Saw(const FeedServer *server, const char *peer);

#endif
