/*
 * NAME
 *     peer - framed TCP links between coltsfootd processes
 *
 * DESCRIPTION
 *     Each process dials every peer of its settings and sends on that link;
 *     it receives on the links that it accepts. The first frame of a link is
 *     a hello with protocol version, cluster, node, data centre, identity
 *     and incarnation; anything else is refused with a reason and closed.
 *     A message is a msgpack array whose first item is its type. Messages to
 *     a peer that is not connected are dropped: every sender repeats what it
 *     needs.
 *
 *     With open_membership, peers are also added at run time: by Peers_Add,
 *     and whenever an unknown node says hello, which tells the address on
 *     which it listens. A sender then also probes its links, since an open
 *     connection may stop passing bytes without an error.
 */
#ifndef COLTSFOOT_PEER_H
#define COLTSFOOT_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "buf.h"
#include "loop.h"
#include "settings.h"
#include "status.h"

#define PEER_PROTOCOL 2
/* Queued bytes to one peer; a link that falls this far behind is closed. */
#define PEER_MAX_QUEUED_BYTES (16 * 1024 * 1024)
/* A peer that sent nothing for this long counts as down. */
#define PEER_SILENCE_MS 3000

typedef enum PeerMessageType {
    PEER_HELLO = 1,
    PEER_REFUSED = 2,
    PEER_STATUS = 3,
    PEER_RAFT = 4,
    PEER_PROPOSE = 5,
    PEER_PROPOSED = 6,
    PEER_TARGET = 7,
    PEER_FEED = 8,
    PEER_ONCE_INTENT = 9,
    PEER_ONCE_ACK = 10,
    PEER_ONCE_OUTCOME = 11,
    PEER_DRAINS = 12,
    PEER_DRAINS_ACK = 13,
    PEER_LOAD = 14,
    PEER_PROBE = 15,       /* answered on the same link with the same item */
    PEER_FLEET = 16,       /* who leads, and the known control nodes */
    PEER_JOB_REQUEST = 17, /* of a caller, from an entry VM to the leader */
    PEER_JOB_REPLY = 18,
    PEER_JOB_CALLS = 19, /* to targets, from the leader to another node */
    PEER_JOB_ANSWERS = 20,
    PEER_JOB_ANNOUNCED = 21, /* by a target, passed on to the leader */
    PEER_TYPE_MAX = 21
} PeerMessageType;

typedef struct PeerHello {
    char name[SETTINGS_NAME_BYTES];
    char data_centre[SETTINGS_NAME_BYTES];
    uint64_t identity; /* 0 without a disk */
    uint64_t incarnation;
    SettingsAddress address; /* on which the node listens for peers */
} PeerHello;

typedef struct PeersOptions {
    const Settings *settings;
    uint64_t identity;
    uint64_t incarnation;
    bool open_membership;
    bool explicit_flush; /* messages leave with Peers_Flush */
    int64_t silence_ms;  /* 0: PEER_SILENCE_MS */
    void *arg;
    void (*on_up)(void *arg, size_t peer, const PeerHello *hello);
    void (*on_down)(void *arg, size_t peer);
    /* message is the whole array; its first item is the type. Valid during
     * the call. */
    void (*on_message)(void *arg, size_t peer, PeerMessageType type,
                       const msgpack_object_array *message);
} PeersOptions;

typedef struct Peers Peers;

Peers *Peers_New(Loop *loop, const PeersOptions *options, ErrCtx *err);
void Peers_Free(Peers *peers);

/* Adds a peer by its address, for open membership. Returns its index, which
 * is that of a known peer with this address, or SIZE_MAX at the limit. */
size_t Peers_Add(Peers *peers, const SettingsAddress *address);

/* Adds the seeds of settings. The port for peers is the same on all nodes. */
void Peers_AddSeeds(Peers *peers, const Settings *settings);

size_t Peers_Count(const Peers *peers);

/* Returns the peer that said hello with this identity, or SIZE_MAX for none
 * and for identity 0. */
size_t Peers_Find(const Peers *peers, uint64_t identity);

/* Queues one message; peer is an index below Peers_Count. The peers of the
 * settings come first, in their order. */
void Peers_Send(Peers *peers, size_t peer, const char *body, size_t len);

/* Queues [type, bytes]. */
void Peers_SendBytes(Peers *peers, size_t peer, PeerMessageType type,
                     const char *bytes, size_t len);

/* With explicit_flush: writes what is queued. Call it before each wait of the
 * loop; what the sockets do not take follows by itself. */
void Peers_Flush(Peers *peers);

/* Returns the address under which the peer is dialled. */
const SettingsAddress *Peers_Address(const Peers *peers, size_t peer);

/* Returns whether the peer was heard within the silence limit. */
bool Peers_IsUp(const Peers *peers, size_t peer);

/* Returns the last hello of a peer; name is empty before the first. */
const PeerHello *Peers_Hello(const Peers *peers, size_t peer);

uint64_t Peers_BytesSent(const Peers *peers);
uint64_t Peers_BytesReceived(const Peers *peers);

#endif
