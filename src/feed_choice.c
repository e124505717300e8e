#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "diag.h"
#include "feed_core.h"
#include "mem.h"

size_t
FeedCore_FindPeer(const Feed *feed, const char *name)
{
    size_t i;

    for (i = 0; i < feed->peer_count; i++) {
        if (strcmp(feed->peers[i].info.name, name) == 0) {
            return i;
        }
    }
    return FEED_NO_PEER;
}

bool
FeedCore_IsReachable(const Feed *feed, const FeedPeerState *peer)
{
    return peer->info.reachable && strcmp(peer->info.name, feed->name) != 0;
}

static bool
is_usable(const Feed *feed, const FeedPeerState *peer)
{
    return FeedCore_IsReachable(feed, peer) && !peer->excluded;
}

/* Returns whether a node without a disk is the first by name among the usable
 * nodes without a disk in its data centre. This node counts as usable. */
static bool
is_relay(const Feed *feed, const char *name, const char *data_centre)
{
    size_t i;

    if (strcmp(data_centre, feed->data_centre) == 0 &&
        strcmp(feed->name, name) < 0) {
        return false;
    }
    for (i = 0; i < feed->peer_count; i++) {
        const FeedPeerState *peer = &feed->peers[i];

        if (is_usable(feed, peer) && !peer->info.disk &&
            strcmp(peer->info.data_centre, data_centre) == 0 &&
            strcmp(peer->info.name, name) < 0) {
            return false;
        }
    }
    return true;
}

/* Returns the rank of a peer as a source: 0 is the best one, 4 means that the
 * peer cannot be a source. */
static unsigned
get_source_rank(const Feed *feed, const FeedPeerState *peer)
{
    bool local = strcmp(peer->info.data_centre, feed->data_centre) == 0;

    if (!is_usable(feed, peer)) {
        return 4;
    }
    if (peer->info.disk) {
        return local ? 0 : 2;
    }
    if (!is_relay(feed, peer->info.name, peer->info.data_centre)) {
        return 4;
    }
    return local ? 1 : 3;
}

static size_t
find_best_source(const Feed *feed, unsigned *rank)
{
    size_t best = FEED_NO_PEER;
    uint64_t best_order = 0;
    size_t i;

    *rank = 4;
    for (i = 0; i < feed->peer_count; i++) {
        const FeedPeerState *peer = &feed->peers[i];
        unsigned peer_rank = get_source_rank(feed, peer);
        uint64_t order = XXH64(peer->info.name, strlen(peer->info.name),
                               feed->options.seed);

        if (peer_rank < *rank ||
            (peer_rank < 4 && peer_rank == *rank && order < best_order)) {
            *rank = peer_rank;
            best = i;
            best_order = order;
        }
    }
    return best;
}

void
FeedCore_ChooseSource(Feed *feed, int64_t now_ms)
{
    size_t current = FeedCore_FindPeer(feed, feed->source);
    unsigned rank;
    size_t best = find_best_source(feed, &rank);

    if (best == FEED_NO_PEER) {
        feed->source[0] = '\0';
        return;
    }
    if (current != FEED_NO_PEER &&
        get_source_rank(feed, &feed->peers[current]) <= rank) {
        return;
    }
    memcpy(feed->source, feed->peers[best].info.name, sizeof(feed->source));
    feed->poll_pending = false;
    feed->source_answer_ms = now_ms;
    feed->source_lag_since_ms = 0;
    feed->poll_due_ms = now_ms;
    Diag_Log(DIAG_INFO, FEED_LOG_PREFIX, "Chose %s as the source.",
             feed->source);
}

void
Feed_SetPeers(Feed *feed, int64_t now_ms, const FeedPeer *peers, size_t count)
{
    FeedPeerState *next = Mem_New(FEED_MAX_PEERS, sizeof(*next));
    size_t i;

    if (count > FEED_MAX_PEERS) {
        count = FEED_MAX_PEERS;
    }
    for (i = 0; i < count; i++) {
        size_t old = FeedCore_FindPeer(feed, peers[i].name);

        if (old != FEED_NO_PEER) {
            next[i] = feed->peers[old];
        }
        next[i].info = peers[i];
    }
    memcpy(feed->peers, next, sizeof(feed->peers));
    feed->peer_count = count;
    free(next);
    FeedCore_ChooseSource(feed, now_ms);
}

bool
Feed_IsRelay(const Feed *feed)
{
    size_t i;

    for (i = 0; i < feed->peer_count; i++) {
        const FeedPeer *peer = &feed->peers[i].info;

        if (peer->disk && peer->reachable &&
            strcmp(peer->data_centre, feed->data_centre) == 0) {
            return false;
        }
    }
    return is_relay(feed, feed->name, feed->data_centre);
}
