/*
 * NAME
 *     peer - framed TCP links between coltsfootd processes
 *
 * DESCRIPTION
 *     A process opens a link (a TCP connection) to every peer in its settings
 *     and sends on these outgoing links; it receives on the links that it
 *     accepts. The first frame of a link is a hello with protocol version,
 *     cluster, node name, data centre, identity, incarnation and listen
 *     address. An invalid hello is refused with a reason; any other first
 *     message closes the link. A message is a msgpack array whose first item
 *     is its type. Messages to a peer that is not connected are dropped: every
 *     sender retransmits what it needs.
 *
 *     Accepted links without a hello are bounded in number, time and bytes,
 *     since anyone can open one. The oldest one gives way to a new one.
 *
 *     With open_membership, peers are also added at run time: by Peers_Add,
 *     and whenever an unknown node sends a hello, which contains the address
 *     on which that node listens. In this mode a sender also probes its links,
 *     since an open connection may stop passing bytes without an error.
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

#define PEER_PROTOCOL_VERSION 2
/* Limit of the bytes queued for one peer. A link that exceeds it drops further
 * messages and is closed by the next tick. */
#define PEER_MAX_QUEUED_BYTES (16 * 1024 * 1024)
/* Default time without messages after which a peer counts as down. */
#define PEER_SILENCE_TIMEOUT_MS 3000

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
    PEER_PROBE = 15,       /* the receiver echoes it on the same link */
    PEER_FLEET = 16,       /* the leader and the known control nodes */
    PEER_JOB_REQUEST = 17, /* a caller's request, entry VM to leader */
    PEER_JOB_REPLY = 18,
    PEER_JOB_CALLS = 19, /* calls to targets, leader to other node */
    PEER_JOB_ANSWERS = 20,
    PEER_JOB_ANNOUNCED = 21,       /* a target's announcement, to the leader */
    PEER_JOB_CONTROL_REQUEST = 22, /* an operator's or target's request, entry
                                    * VM to leader */
    PEER_TYPE_MAX = 22
} PeerMessageType;

typedef struct PeerHello {
    char name[SETTINGS_NAME_BYTES];
    char data_centre[SETTINGS_NAME_BYTES];
    uint64_t identity; /* 0 for a node without a disk */
    uint64_t incarnation;
    SettingsAddress address; /* listen address for peers */
} PeerHello;

typedef struct PeersOptions {
    const Settings *settings;
    uint64_t identity;
    uint64_t incarnation;
    bool open_membership;
    bool explicit_flush;        /* true if only Peers_Flush sends messages */
    int64_t silence_timeout_ms; /* 0 selects PEER_SILENCE_TIMEOUT_MS */
    void *arg;
    void (*on_up)(void *arg, size_t peer, const PeerHello *hello);
    void (*on_down)(void *arg, size_t peer);
    /* Called after the outgoing link to a peer was closed. Messages sent on it
     * may be lost, while the peer remains up. May be NULL. */
    void (*on_link_lost)(void *arg, size_t peer);
    /* message is the whole array, including the type as its first item. It is
     * valid only during the call. */
    void (*on_message)(void *arg, size_t peer, PeerMessageType type,
                       const msgpack_object_array *message);
} PeersOptions;

typedef struct Peers Peers;

Peers *Peers_New(Loop *loop, const PeersOptions *options, ErrCtx *err);
void Peers_Free(Peers *peers);

/* Adds a peer by its address, for open membership. Returns its index, or the
 * index of the known peer with this address. Returns SIZE_MAX for this node's
 * own address and when the maximum number of peers is reached. */
size_t Peers_Add(Peers *peers, const SettingsAddress *address);

/* Adds the seeds of settings. Their port for peers is seed_peer_port, or that
 * of this node if it is 0. */
void Peers_AddSeeds(Peers *peers, const Settings *settings);

/* Returns the index of the peer that is seed i of settings, or SIZE_MAX if
 * there is none, as for this node's own address. */
size_t Peers_FindSeed(const Peers *peers, const Settings *settings, size_t i);

size_t Peers_Count(const Peers *peers);

/* Returns the index of the peer whose last hello has this identity, or
 * SIZE_MAX if there is none or identity is 0. */
size_t Peers_FindByIdentity(const Peers *peers, uint64_t identity);

/* Queues one message; peer is an index below Peers_Count. The peers in the
 * settings have the first indexes, in the order of the settings. */
void Peers_Send(Peers *peers, size_t peer, const char *body, size_t len);

/* Queues the message [type, bytes]. */
void Peers_SendBytes(Peers *peers, size_t peer, PeerMessageType type,
                     const char *bytes, size_t len);

/* Writes the queued messages to the sockets, for explicit_flush. Call it
 * before each wait of the loop; the bytes that a socket does not accept are
 * written when it becomes writable. */
void Peers_Flush(Peers *peers);

/* Returns the address to which links to the peer are opened. */
const SettingsAddress *Peers_Address(const Peers *peers, size_t peer);

/* Returns whether the peer is connected and sent a message within the silence
 * timeout. */
bool Peers_IsUp(const Peers *peers, size_t peer);

/* Returns the number of links that were refused for their first bytes, or
 * closed before their hello, since it did not arrive in time or there were too
 * many. */
uint64_t Peers_CountRefusedLinks(const Peers *peers);

/* Returns the number of bytes queued for the peer. */
size_t Peers_GetQueuedBytes(const Peers *peers, size_t peer);

/* Returns whether there is an outgoing link to the peer, though perhaps not
 * yet connected. Without one, messages to the peer are dropped. */
bool Peers_HasLink(const Peers *peers, size_t peer);

/* Returns the last hello of a peer; its name is empty before the first one. */
const PeerHello *Peers_Hello(const Peers *peers, size_t peer);

uint64_t Peers_BytesSent(const Peers *peers);
uint64_t Peers_BytesReceived(const Peers *peers);

#endif
