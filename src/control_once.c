#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "mem.h"

void
Control_OnOnceMessage(Control *control, size_t peer, PeerMessageType type,
                      const msgpack_object_array *message)
{
    const msgpack_object *items = message->ptr;
    Buf body = BUF_INIT;
    msgpack_packer packer;
    bool ok;

    if (type == PEER_ONCE_OUTCOME && message->size == 2 &&
        items[1].type == MSGPACK_OBJECT_BIN) {
        Gateway_HoldOutcome(control->gateway, items[1].via.bin.ptr,
                            items[1].via.bin.size);
    }
    else if (type == PEER_ONCE_ACK && message->size == 3 &&
             items[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
             items[2].type == MSGPACK_OBJECT_BOOLEAN) {
        Gateway_ReportIntent(control->gateway, items[1].via.u64,
                             items[2].via.boolean);
    }
    else if (type == PEER_ONCE_INTENT && message->size == 3 &&
             items[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
             items[2].type == MSGPACK_OBJECT_BIN) {
        ok = Gateway_HoldIntent(control->gateway, items[2].via.bin.ptr,
                                items[2].via.bin.size) == ST_OK;
        msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
        msgpack_pack_array(&packer, 3);
        msgpack_pack_int(&packer, PEER_ONCE_ACK);
        msgpack_pack_uint64(&packer, items[1].via.u64);
        ok ? msgpack_pack_true(&packer) : msgpack_pack_false(&packer);
        Peers_Send(control->peers, peer, body.data, body.len);
        Buf_Free(&body);
    }
}

typedef struct RecordPost {
    Control *control;
    uint64_t cookie;
    bool is_intent;
    Buf record;
} RecordPost;

/* Returns the peer to send records to, preferably one of this data centre, or
 * -1 if no peer is up. */
static long
choose_holder(const Control *control)
{
    const Settings *settings = control->settings;
    long other = -1;
    size_t i;

    for (i = 0; i < settings->peer_count; i++) {
        if (!Peers_IsUp(control->peers, i)) {
            continue;
        }
        if (strcmp(settings->peers[i].data_centre, settings->data_centre) ==
            0) {
            return (long)i;
        }
        other = (long)i;
    }
    return other;
}

static void
send_record(void *arg)
{
    RecordPost *post = arg;
    Control *control = post->control;
    long holder = choose_holder(control);
    Buf body = BUF_INIT;
    msgpack_packer packer;

    if (holder < 0 && post->is_intent) {
        Gateway_ReportIntent(control->gateway, post->cookie, false);
    }
    if (holder >= 0) {
        msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
        msgpack_pack_array(&packer, post->is_intent ? 3 : 2);
        msgpack_pack_int(&packer, post->is_intent ? PEER_ONCE_INTENT
                                                  : PEER_ONCE_OUTCOME);
        if (post->is_intent) {
            msgpack_pack_uint64(&packer, post->cookie);
        }
        msgpack_pack_bin_with_body(&packer, post->record.data,
                                   post->record.len);
        Peers_Send(control->peers, (size_t)holder, body.data, body.len);
        Buf_Free(&body);
    }
    Buf_Free(&post->record);
    free(post);
}

static void
post_record(Control *control, uint64_t cookie, bool is_intent,
            const char *record, size_t len)
{
    RecordPost *post = Mem_New(1, sizeof(*post));

    post->control = control;
    post->cookie = cookie;
    post->is_intent = is_intent;
    Buf_Append(&post->record, record, len);
    Loop_Post(control->loop, send_record, post);
}

void
Control_RecordIntent(void *arg, uint64_t cookie, const char *record,
                     size_t len)
{
    Control *control = arg;

    if (control->once_log == NULL ||
        OnceLog_Append(control->once_log, cookie, record, len) != ST_OK) {
        post_record(control, cookie, true, record, len);
    }
}

/* Appends the record to the log, if there is one, and sends it to a peer,
 * which answers resent requests while this node is down. */
void
Control_RecordOutcome(void *arg, const char *record, size_t len)
{
    Control *control = arg;

    if (control->once_log != NULL) {
        OnceLog_Append(control->once_log, 0, record, len);
    }
    post_record(control, 0, false, record, len);
}

static void
on_record_logged(void *arg, uint64_t cookie, bool ok)
{
    Control *control = arg;

    Gateway_ReportIntent(control->gateway, cookie, ok);
}

static Status
recover_records(void *arg, const char *file, const char *bytes, size_t len,
                size_t *valid, ErrCtx *err)
{
    Control *control = arg;
    OnceRecovery recovery = {0};
    ErrCtx inner = {0};
    Status status = Gateway_RecoverRecords(control->gateway, bytes, len,
                                           &recovery, &inner);

    if (status != ST_OK) {
        return Err_Set(err, status, "%s: %s", file, inner.message);
    }
    *valid = recovery.valid_bytes;
    Diag_Log(DIAG_INFO, "once",
             "Recovered %zu intents and %zu outcomes from %s.",
             recovery.intents, recovery.outcomes, file);
    return ST_OK;
}

Status
Control_OpenOnceLog(Control *control, ErrCtx *err)
{
    OnceLogOptions options = {
        .arg = control, .done = on_record_logged, .recover = recover_records};
    char folder[SETTINGS_FOLDER_BYTES + 8];
    Status status;

    if (control->settings->data_folder[0] == '\0') {
        return ST_OK;
    }
    snprintf(folder, sizeof(folder), "%s/once",
             control->settings->data_folder);
    status = Storage_OpenFolder(folder, true, &options.storage, err);
    if (status != ST_OK) {
        return status;
    }
    return OnceLog_New(&options, &control->once_log, err);
}
