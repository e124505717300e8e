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
        if (strcmp(feed->peers[i].known.name, name) == 0) {
            return i;
        }
    }
    return FEED_NO_PEER;
}

bool
FeedCore_Reachable(const Feed *feed, const FeedLink *peer)
{
    return peer->known.reachable && strcmp(peer->known.name, feed->name) != 0;
}

static bool
usable(const Feed *feed, const FeedLink *peer)
{
    return FeedCore_Reachable(feed, peer) && !peer->shunned;
}

/* Returns whether a node without a disk is the first one by name, among the
 * usable ones of its data centre and this node. */
static bool
is_relay(const Feed *feed, const char *name, const char *data_centre)
{
    size_t i;

    if (strcmp(data_centre, feed->data_centre) == 0 &&
        strcmp(feed->name, name) < 0) {
        return false;
    }
    for (i = 0; i < feed->peer_count; i++) {
        const FeedLink *peer = &feed->peers[i];

        if (usable(feed, peer) && !peer->known.disk &&
            strcmp(peer->known.data_centre, data_centre) == 0 &&
            strcmp(peer->known.name, name) < 0) {
            return false;
        }
    }
    return true;
}

/* Returns 0 for the best kind of source, 4 for none. */
static unsigned
rank_of(const Feed *feed, const FeedLink *peer)
{
    bool near = strcmp(peer->known.data_centre, feed->data_centre) == 0;

    if (!usable(feed, peer)) {
        return 4;
    }
    if (peer->known.disk) {
        return near ? 0 : 2;
    }
    if (!is_relay(feed, peer->known.name, peer->known.data_centre)) {
        return 4;
    }
    return near ? 1 : 3;
}

static size_t
best_peer(const Feed *feed, unsigned *rank)
{
    size_t best = FEED_NO_PEER;
    uint64_t best_order = 0;
    size_t i;

    *rank = 4;
    for (i = 0; i < feed->peer_count; i++) {
        const FeedLink *peer = &feed->peers[i];
        unsigned own = rank_of(feed, peer);
        uint64_t order = XXH64(peer->known.name, strlen(peer->known.name),
                               feed->options.seed);

        if (own < *rank || (own < 4 && own == *rank && order < best_order)) {
            *rank = own;
            best = i;
            best_order = order;
        }
    }
    return best;
}

void
FeedCore_Choose(Feed *feed, int64_t now_ms)
{
    size_t current = FeedCore_FindPeer(feed, feed->source);
    unsigned rank;
    size_t best = best_peer(feed, &rank);

    if (best == FEED_NO_PEER) {
        feed->source[0] = '\0';
        return;
    }
    if (current != FEED_NO_PEER &&
        rank_of(feed, &feed->peers[current]) <= rank) {
        return;
    }
    memcpy(feed->source, feed->peers[best].known.name, sizeof(feed->source));
    feed->waiting = false;
    feed->heard_ms = now_ms;
    feed->lag_since_ms = 0;
    feed->poll_due_ms = now_ms;
    Diag_Log(DIAG_INFO, FEED_PART, "Follows %s.", feed->source);
}

void
Feed_SetPeers(Feed *feed, int64_t now_ms, const FeedPeer *peers, size_t count)
{
    FeedLink *next = Mem_New(FEED_MAX_PEERS, sizeof(*next));
    size_t i;

    if (count > FEED_MAX_PEERS) {
        count = FEED_MAX_PEERS;
    }
    for (i = 0; i < count; i++) {
        size_t old = FeedCore_FindPeer(feed, peers[i].name);

        if (old != FEED_NO_PEER) {
            next[i] = feed->peers[old];
        }
        next[i].known = peers[i];
    }
    memcpy(feed->peers, next, sizeof(feed->peers));
    feed->peer_count = count;
    free(next);
    FeedCore_Choose(feed, now_ms);
}

bool
Feed_IsRelay(const Feed *feed)
{
    size_t i;

    for (i = 0; i < feed->peer_count; i++) {
        const FeedPeer *peer = &feed->peers[i].known;

        if (peer->disk && peer->reachable &&
            strcmp(peer->data_centre, feed->data_centre) == 0) {
            return false;
        }
    }
    return is_relay(feed, feed->name, feed->data_centre);
}
