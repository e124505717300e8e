#include "control_internal.h"

#include <string.h>

#include "diag.h"
#include "rng.h"

static const SettingsPeer *
get_peer_settings(const Control *control, size_t peer)
{
    return &control->settings->peers[peer];
}

static void
send_feed_request(void *arg, const char *name, const char *bytes, size_t len)
{
    Control *control = arg;
    size_t i;

    for (i = 0; i < control->settings->peer_count; i++) {
        if (strcmp(get_peer_settings(control, i)->name, name) == 0) {
            Peers_SendBytes(control->peers, i, PEER_FEED, bytes, len);
            return;
        }
    }
}

Status
Control_OpenFeed(Control *control, ErrCtx *err)
{
    const Settings *settings = control->settings;
    FeedOptions options = FEED_OPTIONS_DEFAULT;

    if (control->replica != NULL) {
        return ST_OK;
    }
    options.name = settings->name;
    options.data_centre = settings->data_centre;
    options.seed = Rng_SystemSeed();
    options.now_ms = Loop_NowMs();
    options.machine_ops = Control_GetStateMachineOps();
    options.machine = control->state;
    options.arg = control;
    options.send = send_feed_request;
    options.applied = Control_OnApplied;
    options.restored = Control_OnRestored;
    return Feed_New(&options, &control->feed, err);
}

void
Control_UpdateFeedPeers(Control *control)
{
    static FeedPeer peers[SETTINGS_MAX_PEERS];
    const Settings *settings = control->settings;
    size_t i;

    if (control->feed == NULL) {
        return;
    }
    for (i = 0; i < settings->peer_count; i++) {
        FeedPeer *peer = &peers[i];
        memcpy(peer->name, get_peer_settings(control, i)->name,
               sizeof(peer->name));
        memcpy(peer->data_centre, get_peer_settings(control, i)->data_centre,
               sizeof(peer->data_centre));
        peer->disk = Peers_Hello(control->peers, i)->identity != 0;
        peer->reachable = Peers_IsUp(control->peers, i);
    }
    Feed_SetPeers(control->feed, Loop_NowMs(), peers, settings->peer_count);
}

/* Answers a follower's request from the replica or the feed of this node. Any
 * other message is the reply to a request of this node's feed. */
void
Control_OnFeedMessage(Control *control, size_t peer,
                      const msgpack_object_array *message)
{
    const msgpack_object *bytes = message->ptr + 1;
    Buf reply = BUF_INIT;

    if (message->size != 2 || bytes->type != MSGPACK_OBJECT_BIN) {
        return;
    }
    if (FeedServer_AnswerRequest(control->feed_server, Loop_NowMs(),
                                 get_peer_settings(control, peer)->name,
                                 bytes->via.bin.ptr, bytes->via.bin.size,
                                 &reply) == ST_OK) {
        Peers_SendBytes(control->peers, peer, PEER_FEED, reply.data,
                        reply.len);
    }
    else if (control->feed != NULL) {
        Feed_Receive(control->feed, Loop_NowMs(),
                     get_peer_settings(control, peer)->name,
                     bytes->via.bin.ptr, bytes->via.bin.size);
    }
    Buf_Free(&reply);
}
