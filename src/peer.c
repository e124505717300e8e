#include "peer.h"

#include <stdlib.h>
#include <string.h>

#include <apr_network_io.h>
#include <apr_portable.h>
#include <msgpack.h>

#include "diag.h"
#include "frame.h"
#include "mem.h"
#include "mppack.h"

#define PEER_LOG_PREFIX "peer"
#define PEER_TICK_MS 200
#define PEER_DIAL_BACKOFF_MIN_MS 100
#define PEER_DIAL_BACKOFF_MAX_MS 2000
#define PEER_MAX_ACCEPTED 512
/* Limits for accepted links before their hello, which anyone can open. */
#define PEER_MAX_UNKNOWN 128
#define PEER_HELLO_TIMEOUT_MS 5000
#define PEER_HELLO_MAX_BYTES 1024
/* Links that are accepted in one event loop iteration. */
#define PEER_MAX_ACCEPTS 64
/* Anyone can cause refusals at any rate. */
#define PEER_REFUSAL_LOG_MS 1000
#define PEER_MAX_PEERS 512
/* Number of probes of an outgoing link in one silence timeout. */
#define PEER_PROBES_PER_TIMEOUT 3
#define PEER_READ_BYTES 65536
#define PEER_LISTEN_BACKLOG 64
#define PEER_NONE ((size_t)-1)

typedef struct Link {
    Peers *peers;
    size_t peer; /* PEER_NONE on an accepted link before its hello */
    bool outgoing;
    bool connecting;
    bool overfull; /* PEER_MAX_QUEUED_BYTES was exceeded */
    apr_pool_t *pool;
    apr_socket_t *socket;
    LoopWatch *watch;
    FrameDecoder decoder;
    Buf out;
    int64_t last_progress_ms;
    int64_t opened_ms;
    struct Link *next; /* in the list of accepted links, newest first */
} Link;

typedef struct PeerSlot {
    SettingsAddress address;
    char name[SETTINGS_NAME_BYTES]; /* from the settings or the first hello */
    int64_t last_answer_ms; /* time of the last probe echo, or of connecting */
    int64_t next_probe_ms;
    Link *outgoing;
    int64_t next_dial_ms;
    int64_t dial_backoff_ms;
    int64_t last_received_ms;
    bool up;
    bool flush_due; /* it is in flush_list */
    PeerHello hello;
} PeerSlot;

struct Peers {
    Loop *loop;
    PeersOptions options;
    apr_pool_t *pool;
    apr_socket_t *listener;
    LoopWatch *listen_watch;
    LoopTimer *timer;
    PeerSlot *slots;
    size_t count;
    Link *accepted;
    size_t accepted_count;
    size_t unknown_count; /* accepted links without a hello */
    uint64_t refused_links;
    int64_t next_refusal_log_ms;
    uint64_t unlogged_refusals; /* since the last line about a refusal */
    size_t *flush_list;         /* peers with messages for the next flush */
    size_t flush_count;
    uint64_t bytes_sent;
    uint64_t bytes_received;
};

static int64_t
get_silence_timeout_ms(const Peers *peers)
{
    return peers->options.silence_timeout_ms > 0
               ? peers->options.silence_timeout_ms
               : PEER_SILENCE_TIMEOUT_MS;
}

static void
close_link(Link *link)
{
    Peers *peers = link->peers;
    Link **at;

    if (link->outgoing) {
        peers->slots[link->peer].outgoing = NULL;
    }
    else {
        for (at = &peers->accepted; *at != NULL; at = &(*at)->next) {
            if (*at == link) {
                *at = link->next;
                peers->accepted_count--;
                peers->unknown_count -= link->peer == PEER_NONE;
                break;
            }
        }
    }
    Loop_Unwatch(link->watch);
    apr_socket_close(link->socket);
    apr_pool_destroy(link->pool);
    Frame_DecoderFree(&link->decoder);
    Buf_Free(&link->out);
    free(link);
}

static void
close_outgoing_link(Link *link)
{
    Peers *peers = link->peers;
    size_t peer = link->peer;

    close_link(link);
    if (peers->options.on_link_lost != NULL) {
        peers->options.on_link_lost(peers->options.arg, peer);
    }
}

static bool
flush_link(Link *link)
{
    while (link->out.len > 0) {
        apr_size_t len = link->out.len;
        apr_status_t status =
            apr_socket_send(link->socket, link->out.data, &len);
        if (len > 0) {
            link->last_progress_ms = Loop_NowMs();
            link->peers->bytes_sent += len;
            Buf_Consume(&link->out, len);
        }
        if (APR_STATUS_IS_EAGAIN(status)) {
            break;
        }
        if (status != APR_SUCCESS) {
            return false;
        }
    }
    Loop_SetEvents(link->watch,
                   link->out.len > 0 ? LOOP_READ | LOOP_WRITE : LOOP_READ);
    return true;
}

static void
queue_hello(Link *link)
{
    const PeersOptions *options = &link->peers->options;
    Buf body = BUF_INIT;
    msgpack_packer packer;

    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 9);
    msgpack_pack_int(&packer, PEER_HELLO);
    msgpack_pack_int(&packer, PEER_PROTOCOL_VERSION);
    MpPack_Text(&packer, options->settings->cluster);
    MpPack_Text(&packer, options->settings->name);
    MpPack_Text(&packer, options->settings->data_centre);
    msgpack_pack_uint64(&packer, options->identity);
    msgpack_pack_uint64(&packer, options->incarnation);
    MpPack_Text(&packer, options->settings->peer.host);
    msgpack_pack_int(&packer, options->settings->peer.port);
    Frame_Encode(&link->out, body.data, body.len);
    Buf_Free(&body);
}

static void
log_refusal(Peers *peers, const char *reason)
{
    int64_t now = Loop_NowMs();

    if (now < peers->next_refusal_log_ms) {
        peers->unlogged_refusals++;
        return;
    }
    Diag_Log(DIAG_WARNING, PEER_LOG_PREFIX,
             "Refused a link: %s (%llu more since the last such line).",
             reason, (unsigned long long)peers->unlogged_refusals);
    peers->next_refusal_log_ms = now + PEER_REFUSAL_LOG_MS;
    peers->unlogged_refusals = 0;
}

static void
send_refusal(Link *link, const char *reason)
{
    Buf body = BUF_INIT;
    msgpack_packer packer;

    link->peers->refused_links++;
    log_refusal(link->peers, reason);
    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 2);
    msgpack_pack_int(&packer, PEER_REFUSED);
    MpPack_Text(&packer, reason);
    Frame_Encode(&link->out, body.data, body.len);
    Buf_Free(&body);
    flush_link(link);
}

static bool
copy_text(const msgpack_object *object, char *text, size_t size)
{
    if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size) {
        return false;
    }
    memcpy(text, object->via.str.ptr, object->via.str.size);
    text[object->via.str.size] = '\0';
    return true;
}

static const char *
parse_hello(const Peers *peers, const msgpack_object_array *array,
            PeerHello *hello)
{
    char cluster[SETTINGS_NAME_BYTES];
    const msgpack_object *items = array->ptr;

    if (array->size != 9 || items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return "malformed hello";
    }
    if (items[1].via.u64 != PEER_PROTOCOL_VERSION) {
        return "unsupported protocol version";
    }
    if (!copy_text(&items[2], cluster, sizeof(cluster)) ||
        !copy_text(&items[3], hello->name, sizeof(hello->name)) ||
        !copy_text(&items[4], hello->data_centre,
                   sizeof(hello->data_centre)) ||
        items[5].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[6].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        !copy_text(&items[7], hello->address.host,
                   sizeof(hello->address.host)) ||
        items[8].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        items[8].via.u64 > UINT16_MAX) {
        return "malformed hello";
    }
    hello->address.port = (int)items[8].via.u64;
    if (strcmp(cluster, peers->options.settings->cluster) != 0) {
        return "another cluster";
    }
    hello->identity = items[5].via.u64;
    hello->incarnation = items[6].via.u64;
    return NULL;
}

static bool
is_same_address(const SettingsAddress *a, const SettingsAddress *b)
{
    return a->port == b->port && strcmp(a->host, b->host) == 0;
}

static size_t
add_slot(Peers *peers, const char *name, const SettingsAddress *address)
{
    PeerSlot *slots;

    if (peers->count == PEER_MAX_PEERS) {
        return PEER_NONE;
    }
    slots = Mem_Resize(peers->slots, (peers->count + 1) * sizeof(*slots));
    peers->slots = slots;
    peers->flush_list = Mem_Resize(
        peers->flush_list, (peers->count + 1) * sizeof(*peers->flush_list));
    memset(&slots[peers->count], 0, sizeof(*slots));
    slots[peers->count].address = *address;
    slots[peers->count].dial_backoff_ms = PEER_DIAL_BACKOFF_MIN_MS;
    snprintf(slots[peers->count].name, SETTINGS_NAME_BYTES, "%s", name);
    return peers->count++;
}

size_t
Peers_Add(Peers *peers, const SettingsAddress *address)
{
    size_t i;

    for (i = 0; i < peers->count; i++) {
        if (is_same_address(&peers->slots[i].address, address)) {
            return i;
        }
    }
    if (is_same_address(&peers->options.settings->peer, address)) {
        return PEER_NONE;
    }
    return add_slot(peers, "", address);
}

/* Returns the index of the peer that sent a hello, or PEER_NONE. If the node
 * has a new address, closes the link to the old one. */
static size_t
find_or_add_peer(Peers *peers, const PeerHello *hello)
{
    size_t i;

    for (i = 0; i < peers->count; i++) {
        PeerSlot *slot = &peers->slots[i];
        if (strcmp(slot->name, hello->name) != 0) {
            continue;
        }
        if (peers->options.open_membership &&
            !is_same_address(&slot->address, &hello->address)) {
            slot->address = hello->address;
            if (slot->outgoing != NULL) {
                close_outgoing_link(slot->outgoing);
            }
        }
        return i;
    }
    if (!peers->options.open_membership) {
        return PEER_NONE;
    }
    i = Peers_Add(peers, &hello->address);
    if (i != PEER_NONE) {
        snprintf(peers->slots[i].name, SETTINGS_NAME_BYTES, "%s", hello->name);
    }
    return i;
}

static void on_link_event(void *arg, int events);

static Link *
new_link(Peers *peers, apr_pool_t *pool, apr_socket_t *socket, int events)
{
    Link *link = calloc(1, sizeof(*link));
    apr_os_sock_t fd;

    if (link == NULL) {
        return NULL;
    }
    apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
    apr_socket_timeout_set(socket, 0);
    apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
    apr_os_sock_get(&fd, socket);
    link->peers = peers;
    link->peer = PEER_NONE;
    link->pool = pool;
    link->socket = socket;
    link->last_progress_ms = Loop_NowMs();
    link->opened_ms = link->last_progress_ms;
    Frame_DecoderInit(&link->decoder);
    link->watch = Loop_Watch(peers->loop, fd, events, on_link_event, link);
    if (link->watch == NULL) {
        free(link);
        return NULL;
    }
    return link;
}

static void
dial_peer(Peers *peers, size_t peer, int64_t now)
{
    PeerSlot *slot = &peers->slots[peer];
    const SettingsAddress *to = &slot->address;
    apr_pool_t *pool;
    apr_sockaddr_t *address;
    apr_socket_t *socket;
    apr_status_t status;

    slot->dial_backoff_ms =
        slot->dial_backoff_ms * 2 < PEER_DIAL_BACKOFF_MAX_MS
            ? slot->dial_backoff_ms * 2
            : PEER_DIAL_BACKOFF_MAX_MS;
    slot->next_dial_ms = now + slot->dial_backoff_ms;
    if (apr_pool_create(&pool, NULL) != APR_SUCCESS) {
        return;
    }
    if (apr_sockaddr_info_get(&address, to->host, APR_INET,
                              (apr_port_t)to->port, 0, pool) != APR_SUCCESS ||
        apr_socket_create(&socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP,
                          pool) != APR_SUCCESS) {
        apr_pool_destroy(pool);
        return;
    }
    apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
    apr_socket_timeout_set(socket, 0);
    status = apr_socket_connect(socket, address);
    if (status != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(status)) {
        apr_socket_close(socket);
        apr_pool_destroy(pool);
        return;
    }
    slot->outgoing = new_link(peers, pool, socket, LOOP_READ | LOOP_WRITE);
    if (slot->outgoing == NULL) {
        apr_socket_close(socket);
        apr_pool_destroy(pool);
        return;
    }
    slot->outgoing->peer = peer;
    slot->outgoing->outgoing = true;
    slot->outgoing->connecting = true;
    queue_hello(slot->outgoing);
}

/* Returns false when the link has to be closed. */
static bool
accept_hello(Link *link, const msgpack_object_array *array)
{
    Peers *peers = link->peers;
    PeerHello hello;
    const char *reason = parse_hello(peers, array, &hello);
    size_t peer;
    PeerSlot *slot;

    if (reason != NULL) {
        send_refusal(link, reason);
        return false;
    }
    peer = find_or_add_peer(peers, &hello);
    if (peer == PEER_NONE) {
        send_refusal(link, "the node is not in the settings of this one");
        return false;
    }
    slot = &peers->slots[peer];
    if (slot->up && slot->hello.incarnation != hello.incarnation) {
        /* The peer restarted and its earlier links have not ended yet. */
        slot->up = false;
        peers->options.on_down(peers->options.arg, peer);
    }
    link->peer = peer;
    peers->unknown_count--;
    link->decoder.max_bytes = FRAME_MAX_BYTES;
    slot->hello = hello;
    slot->last_received_ms = Loop_NowMs();
    slot->up = true;
    /* Opens the outgoing link without waiting for the backoff: on_up may send
     * messages, which would be dropped without a link. */
    if (slot->outgoing == NULL) {
        dial_peer(peers, peer, slot->last_received_ms);
    }
    Diag_Log(DIAG_INFO, PEER_LOG_PREFIX, "%s in %s is connected.", hello.name,
             hello.data_centre);
    peers->options.on_up(peers->options.arg, peer, &hello);
    return true;
}

/* Returns false when the link has to be closed. */
static bool
handle_frame(Link *link, const char *body, size_t len)
{
    Peers *peers = link->peers;
    msgpack_unpacked unpacked;
    const msgpack_object *object;
    size_t offset = 0;
    uint64_t type;
    bool keep = true;

    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, body, len, &offset) !=
            MSGPACK_UNPACK_SUCCESS ||
        offset != len) {
        send_refusal(link, "malformed message");
        msgpack_unpacked_destroy(&unpacked);
        return false;
    }
    object = &unpacked.data;
    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size == 0 ||
        object->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        send_refusal(link, "malformed message");
        msgpack_unpacked_destroy(&unpacked);
        return false;
    }
    type = object->via.array.ptr[0].via.u64;
    if (link->outgoing && type == PEER_REFUSED) {
        Diag_Log(DIAG_WARNING, PEER_LOG_PREFIX,
                 "A peer refused the link from this node.");
        keep = false;
    }
    else if (link->outgoing) {
        peers->slots[link->peer].last_answer_ms = Loop_NowMs();
        keep = type == PEER_PROBE;
    }
    else if (link->peer == PEER_NONE) {
        keep = type == PEER_HELLO && accept_hello(link, &object->via.array);
    }
    else if (type <= PEER_REFUSED || type > PEER_TYPE_MAX) {
        send_refusal(link, "unknown message type");
        keep = false;
    }
    else if (type == PEER_PROBE) {
        peers->slots[link->peer].last_received_ms = Loop_NowMs();
        Frame_Encode(&link->out, body, len);
        keep = flush_link(link);
    }
    else {
        peers->slots[link->peer].last_received_ms = Loop_NowMs();
        peers->options.on_message(peers->options.arg, link->peer,
                                  (PeerMessageType)type, &object->via.array);
    }
    msgpack_unpacked_destroy(&unpacked);
    return keep;
}

/* Returns false when the link has to be closed. */
static bool
read_link(Link *link)
{
    static _Thread_local char bytes[PEER_READ_BYTES];

    for (;;) {
        apr_size_t len = sizeof(bytes);
        apr_status_t status = apr_socket_recv(link->socket, bytes, &len);
        const char *body;
        size_t body_len;
        Status next;
        if (APR_STATUS_IS_EAGAIN(status)) {
            return true;
        }
        if (status != APR_SUCCESS || len == 0) {
            return false;
        }
        link->peers->bytes_received += len;
        Frame_AppendBytes(&link->decoder, bytes, len);
        while ((next = Frame_Next(&link->decoder, &body, &body_len)) ==
               ST_OK) {
            if (!handle_frame(link, body, body_len)) {
                return false;
            }
        }
        if (next == ST_CORRUPT) {
            send_refusal(link, "frame length out of bounds");
            return false;
        }
    }
}

static bool
has_accepted_link(const Peers *peers, size_t peer)
{
    const Link *link;

    for (link = peers->accepted; link != NULL; link = link->next) {
        if (link->peer == peer) {
            return true;
        }
    }
    return false;
}

/* Closes a link that failed or was closed by the peer. Without another
 * accepted link the peer counts as down at once: its process ended, or it will
 * connect again. */
static void
handle_link_end(Link *link)
{
    Peers *peers = link->peers;
    size_t peer = link->peer;
    bool was_receiving = !link->outgoing && peer != PEER_NONE;

    if (link->outgoing) {
        close_outgoing_link(link);
        return;
    }
    close_link(link);
    if (was_receiving && peers->slots[peer].up &&
        !has_accepted_link(peers, peer)) {
        peers->slots[peer].up = false;
        Diag_Log(DIAG_WARNING, PEER_LOG_PREFIX, "%s closed its link.",
                 peers->slots[peer].hello.name);
        peers->options.on_down(peers->options.arg, peer);
    }
}

static void
on_link_event(void *arg, int events)
{
    Link *link = arg;
    bool keep = true;

    if (link->connecting && (events & LOOP_WRITE)) {
        link->connecting = false;
        link->last_progress_ms = Loop_NowMs();
        link->peers->slots[link->peer].dial_backoff_ms =
            PEER_DIAL_BACKOFF_MIN_MS;
        link->peers->slots[link->peer].last_answer_ms = Loop_NowMs();
    }
    if (events & LOOP_WRITE) {
        keep = flush_link(link);
    }
    if (keep && (events & LOOP_READ)) {
        keep = read_link(link);
    }
    if (!keep) {
        handle_link_end(link);
    }
}

/* Closes the accepted link that has waited longest for its hello, if it was
 * opened before a time. Returns false if there is none. */
static bool
close_unknown_link(Peers *peers, int64_t before_ms)
{
    Link *oldest = NULL;
    Link *link;

    for (link = peers->accepted; link != NULL; link = link->next) {
        if (link->peer == PEER_NONE) {
            oldest = link;
        }
    }
    if (oldest == NULL || oldest->opened_ms >= before_ms) {
        return false;
    }
    peers->refused_links++;
    close_link(oldest);
    return true;
}

static void
add_accepted_link(Peers *peers, apr_pool_t *pool, apr_socket_t *socket)
{
    Link *link = peers->accepted_count < PEER_MAX_ACCEPTED
                     ? new_link(peers, pool, socket, LOOP_READ)
                     : NULL;

    if (link == NULL) {
        peers->refused_links++;
        apr_socket_close(socket);
        apr_pool_destroy(pool);
        return;
    }
    link->decoder.max_bytes = PEER_HELLO_MAX_BYTES;
    link->next = peers->accepted;
    peers->accepted = link;
    peers->accepted_count++;
    peers->unknown_count++;
}

static void
on_accept(void *arg, int events)
{
    Peers *peers = arg;
    int i;

    (void)events;
    for (i = 0; i < PEER_MAX_ACCEPTS; i++) {
        apr_pool_t *pool;
        apr_socket_t *socket;
        apr_status_t status;
        if (apr_pool_create(&pool, NULL) != APR_SUCCESS) {
            return;
        }
        status = apr_socket_accept(&socket, peers->listener, pool);
        if (status == APR_SUCCESS) {
            add_accepted_link(peers, pool, socket);
            if (peers->unknown_count > PEER_MAX_UNKNOWN) {
                close_unknown_link(peers, INT64_MAX);
            }
            continue;
        }
        apr_pool_destroy(pool);
        if (APR_STATUS_IS_EAGAIN(status)) {
            return;
        }
        if (APR_STATUS_IS_ECONNABORTED(status) ||
            APR_STATUS_IS_EINTR(status)) {
            continue;
        }
        /* Without a free descriptor the connection stays in the backlog, and
         * the listener stays readable. */
        if (!close_unknown_link(peers, INT64_MAX)) {
            Loop_SetEvents(peers->listen_watch, 0);
            return;
        }
    }
}

static void
check_silence_timeout(Peers *peers, size_t peer, int64_t now)
{
    PeerSlot *slot = &peers->slots[peer];
    Link *link;

    if (!slot->up ||
        now - slot->last_received_ms < get_silence_timeout_ms(peers)) {
        return;
    }
    slot->up = false;
    Diag_Log(DIAG_WARNING, PEER_LOG_PREFIX, "%s has been silent for %d ms.",
             slot->hello.name, (int)get_silence_timeout_ms(peers));
    for (link = peers->accepted; link != NULL;) {
        Link *next = link->next;
        if (link->peer == peer) {
            close_link(link);
        }
        link = next;
    }
    peers->options.on_down(peers->options.arg, peer);
}

/* Sends a probe on the outgoing link if one is due. */
static void
send_probe(Peers *peers, size_t peer, int64_t now)
{
    PeerSlot *slot = &peers->slots[peer];
    Buf body = BUF_INIT;
    msgpack_packer packer;

    if (now < slot->next_probe_ms) {
        return;
    }
    slot->next_probe_ms =
        now + get_silence_timeout_ms(peers) / PEER_PROBES_PER_TIMEOUT;
    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 1);
    msgpack_pack_int(&packer, PEER_PROBE);
    Peers_Send(peers, peer, body.data, body.len);
    Buf_Free(&body);
}

static void
check_outgoing_link(Peers *peers, size_t peer, int64_t now)
{
    PeerSlot *slot = &peers->slots[peer];
    Link *link = slot->outgoing;
    bool stuck;

    if (link == NULL) {
        return;
    }
    if (link->overfull) {
        Diag_Log(DIAG_WARNING, PEER_LOG_PREFIX,
                 "Closed the link to %s: %zu bytes are queued.",
                 slot->address.host, link->out.len);
    }
    stuck = link->overfull ||
            ((link->connecting || link->out.len > 0) &&
             now - link->last_progress_ms > get_silence_timeout_ms(peers));
    if (peers->options.open_membership && !link->connecting) {
        stuck = stuck ||
                now - slot->last_answer_ms > get_silence_timeout_ms(peers);
    }
    if (stuck) {
        close_outgoing_link(link);
    }
    else if (peers->options.open_membership && !link->connecting) {
        send_probe(peers, peer, now);
    }
}

static void
on_tick(void *arg)
{
    Peers *peers = arg;
    int64_t now = Loop_NowMs();
    size_t i;

    Loop_SetEvents(peers->listen_watch, LOOP_READ);
    while (close_unknown_link(peers, now - PEER_HELLO_TIMEOUT_MS)) {
    }
    for (i = 0; i < peers->count; i++) {
        check_silence_timeout(peers, i, now);
        check_outgoing_link(peers, i, now);
        if (peers->slots[i].outgoing == NULL &&
            now >= peers->slots[i].next_dial_ms) {
            dial_peer(peers, i, now);
        }
    }
}

static Status
start_listening(Peers *peers, ErrCtx *err)
{
    const SettingsAddress *at = &peers->options.settings->peer;
    apr_sockaddr_t *address;
    apr_os_sock_t fd;

    if (apr_sockaddr_info_get(&address, at->host, APR_INET,
                              (apr_port_t)at->port, 0,
                              peers->pool) != APR_SUCCESS ||
        apr_socket_create(&peers->listener, APR_INET, SOCK_STREAM,
                          APR_PROTO_TCP, peers->pool) != APR_SUCCESS) {
        return Err_Set(err, ST_IO, "cannot create a socket for %s:%d",
                       at->host, at->port);
    }
    apr_socket_opt_set(peers->listener, APR_SO_REUSEADDR, 1);
    apr_socket_opt_set(peers->listener, APR_SO_NONBLOCK, 1);
    apr_socket_timeout_set(peers->listener, 0);
    if (apr_socket_bind(peers->listener, address) != APR_SUCCESS ||
        apr_socket_listen(peers->listener, PEER_LISTEN_BACKLOG) !=
            APR_SUCCESS) {
        return Err_Set(err, ST_IO, "cannot listen on %s:%d", at->host,
                       at->port);
    }
    apr_os_sock_get(&fd, peers->listener);
    peers->listen_watch =
        Loop_Watch(peers->loop, fd, LOOP_READ, on_accept, peers);
    return ST_OK;
}

Peers *
Peers_New(Loop *loop, const PeersOptions *options, ErrCtx *err)
{
    Peers *peers = calloc(1, sizeof(*peers));
    size_t i;

    if (peers == NULL || apr_pool_create(&peers->pool, NULL) != APR_SUCCESS) {
        free(peers);
        Err_Set(err, ST_NO_MEMORY, "no memory for peers");
        return NULL;
    }
    peers->loop = loop;
    peers->options = *options;
    for (i = 0; i < options->settings->peer_count; i++) {
        const SettingsPeer *peer = &options->settings->peers[i];
        add_slot(peers, peer->name, &peer->peer);
    }
    if (start_listening(peers, err) != ST_OK) {
        Peers_Free(peers);
        return NULL;
    }
    peers->timer = Loop_NewTimer(loop, on_tick, peers);
    Loop_Arm(peers->timer, 0, PEER_TICK_MS);
    return peers;
}

void
Peers_Free(Peers *peers)
{
    Link *link;
    Link *next;
    size_t i;

    if (peers == NULL) {
        return;
    }
    for (link = peers->accepted; link != NULL; link = next) {
        next = link->next;
        close_link(link);
    }
    for (i = 0; peers->slots != NULL && i < peers->count; i++) {
        if (peers->slots[i].outgoing != NULL) {
            close_link(peers->slots[i].outgoing);
        }
    }
    Loop_Unwatch(peers->listen_watch);
    if (peers->listener != NULL) {
        apr_socket_close(peers->listener);
    }
    Loop_FreeTimer(peers->timer);
    apr_pool_destroy(peers->pool);
    free(peers->slots);
    free(peers->flush_list);
    free(peers);
}

void
Peers_Send(Peers *peers, size_t peer, const char *body, size_t len)
{
    Link *link = peers->slots[peer].outgoing;

    if (link == NULL) {
        return;
    }
    if (link->out.len + len > PEER_MAX_QUEUED_BYTES) {
        link->overfull = true;
    }
    if (link->overfull) {
        return;
    }
    Frame_Encode(&link->out, body, len);
    if (!peers->slots[peer].flush_due) {
        peers->slots[peer].flush_due = true;
        peers->flush_list[peers->flush_count++] = peer;
    }
    if (!link->connecting && !peers->options.explicit_flush) {
        Loop_SetEvents(link->watch, LOOP_READ | LOOP_WRITE);
    }
}

void
Peers_SendBytes(Peers *peers, size_t peer, PeerMessageType type,
                const char *bytes, size_t len)
{
    Buf body = BUF_INIT;
    msgpack_packer packer;

    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 2);
    msgpack_pack_int(&packer, (int)type);
    msgpack_pack_bin_with_body(&packer, bytes, len);
    Peers_Send(peers, peer, body.data, body.len);
    Buf_Free(&body);
}

void
Peers_Flush(Peers *peers)
{
    while (peers->flush_count > 0) {
        PeerSlot *slot =
            &peers->slots[peers->flush_list[--peers->flush_count]];
        Link *link = slot->outgoing;

        slot->flush_due = false;
        if (link != NULL && !link->connecting && link->out.len > 0 &&
            !flush_link(link)) {
            handle_link_end(link);
        }
    }
}

/* Returns the address of a seed for peers. */
static SettingsAddress
get_seed_address(const Peers *peers, const Settings *settings, size_t i)
{
    SettingsAddress seed = settings->seeds[i];

    seed.port = settings->seed_peer_port != 0
                    ? (int)settings->seed_peer_port
                    : peers->options.settings->peer.port;
    return seed;
}

size_t
Peers_FindSeed(const Peers *peers, const Settings *settings, size_t i)
{
    SettingsAddress seed = get_seed_address(peers, settings, i);
    size_t peer = 0;

    while (peer < peers->count &&
           !is_same_address(&peers->slots[peer].address, &seed)) {
        peer++;
    }
    return peer < peers->count ? peer : PEER_NONE;
}

void
Peers_AddSeeds(Peers *peers, const Settings *settings)
{
    size_t i;

    for (i = 0; i < settings->seed_count; i++) {
        SettingsAddress seed = get_seed_address(peers, settings, i);
        Peers_Add(peers, &seed);
    }
}

size_t
Peers_Count(const Peers *peers)
{
    return peers->count;
}

size_t
Peers_FindByIdentity(const Peers *peers, uint64_t identity)
{
    size_t i;

    for (i = 0; identity != 0 && i < peers->count; i++) {
        if (peers->slots[i].hello.identity == identity) {
            return i;
        }
    }
    return PEER_NONE;
}

const SettingsAddress *
Peers_Address(const Peers *peers, size_t peer)
{
    return &peers->slots[peer].address;
}

bool
Peers_IsUp(const Peers *peers, size_t peer)
{
    return peers->slots[peer].up;
}

bool
Peers_HasLink(const Peers *peers, size_t peer)
{
    return peers->slots[peer].outgoing != NULL;
}

size_t
Peers_GetQueuedBytes(const Peers *peers, size_t peer)
{
    const Link *link = peers->slots[peer].outgoing;

    return link != NULL ? link->out.len : 0;
}

const PeerHello *
Peers_Hello(const Peers *peers, size_t peer)
{
    return &peers->slots[peer].hello;
}

uint64_t
Peers_CountRefusedLinks(const Peers *peers)
{
    return peers->refused_links;
}

uint64_t
Peers_BytesSent(const Peers *peers)
{
    return peers->bytes_sent;
}

uint64_t
Peers_BytesReceived(const Peers *peers)
{
    return peers->bytes_received;
}
