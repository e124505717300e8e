#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "assign.h"
#include "diag.h"
#include "mem.h"

#define KEEPER_LOG_PREFIX "keeper"
#define KEEPER_FILE "escrow"
#define KEEPER_TICK_INTERVAL_MS 100
#define KEEPER_DRAIN_LIST_INTERVAL_MS 500
#define KEEPER_PROPOSE_INTERVAL_MS 300
#define KEEPER_PLATFORM_INTERVAL_MS 200
#define KEEPER_PLATFORM_TIMEOUT_MS 2000
#define KEEPER_MAX_REPLY_BYTES 4096

/* A call to the platform interface of a VM. */
typedef struct PlatformCall {
    Control *control;
    char vm[SETTINGS_NAME_BYTES];
    uint64_t epoch;
} PlatformCall;

Status
Control_OpenKeeper(Control *control, ErrCtx *err)
{
    const Settings *settings = control->settings;
    Buf bytes = BUF_INIT;
    Status status;

    if (control->replica == NULL) {
        return ST_OK;
    }
    /* Peers may still acknowledge a drain list from before a restart, so the
     * sequence starts at the incarnation, which increases across restarts. */
    control->drains_sequence = control->incarnation;
    control->keeper_start_ms = Loop_NowMs();
    control->waves_start_ms = Loop_NowMs() + settings->target_suspect_ms;
    control->escrow = Escrow_New(settings->name, settings->data_centre,
                                 Replica_GetIdentity(control->replica));
    status = Storage_Read(control->storage, KEEPER_FILE, &bytes, err);
    if (status == ST_OK) {
        status = Escrow_Restore(control->escrow, bytes.data, bytes.len, err);
    }
    else if (status == ST_NOT_FOUND) {
        status = ST_OK;
    }
    Buf_Free(&bytes);
    return status;
}

void
Control_CloseKeeper(Control *control)
{
    Control_FreeWaves(control);
    Escrow_Free(control->escrow);
    control->escrow = NULL;
}

static bool
save_record(Control *control)
{
    Buf bytes = BUF_INIT;
    ErrCtx err = {0};
    uint64_t revision;
    Status status;

    if (!Escrow_NeedsSave(control->escrow)) {
        return true;
    }
    revision = Escrow_EncodeRecord(control->escrow, &bytes);
    status = Storage_Replace(control->storage, KEEPER_FILE, bytes.data,
                             bytes.len, &err);
    Buf_Free(&bytes);
    if (status != ST_OK) {
        Diag_Log(DIAG_ERROR, KEEPER_LOG_PREFIX,
                 "Cannot save the escrow record: %s.", err.message);
        return false;
    }
    Escrow_MarkSaved(control->escrow, revision);
    return true;
}

/* --- the platform --- */

static void
on_platform_reply(void *arg, const HttpCallResult *result)
{
    PlatformCall *call = arg;
    ControlTarget *target = Control_FindTarget(call->control, call->vm);
    json_t *json = result->status == HTTP_CALL_ANSWERED
                       ? json_loadb(result->body, result->body_len, 0, NULL)
                       : NULL;
    const char *state = json_string_value(json_object_get(json, "state"));

    if (target != NULL) {
        target->platform_call_pending = false;
    }
    if (target != NULL && state != NULL) {
        target->platform_draining = strcmp(state, "draining") == 0;
        target->platform_reboot_possible = strcmp(state, "rebooting") != 0;
        target->platform_incarnation =
            (uint64_t)json_integer_value(json_object_get(json, "incarnation"));
        target->platform_in_flight =
            (uint32_t)json_integer_value(json_object_get(json, "in_flight"));
        if (target->platform_in_flight == 0 && call->epoch != 0) {
            target->idle_epoch = call->epoch;
        }
    }
    json_decref(json);
    free(call);
}

/* Starts a call, unless one is in flight or the last one began less than
 * KEEPER_PLATFORM_INTERVAL_MS ago. Returns whether a call was started. epoch
 * is that of a closed assignment: a reply that reports no work in flight marks
 * the target as idle under it. If epoch is 0, the reply marks nothing. */
static bool
call_platform(Control *control, ControlTarget *target, const char *method,
              const char *path, uint64_t epoch)
{
    HttpCallOptions options = {.method = method,
                               .address = target->platform,
                               .path = path,
                               .timeout_ms = KEEPER_PLATFORM_TIMEOUT_MS,
                               .max_answer_bytes = KEEPER_MAX_REPLY_BYTES};
    int64_t now = Loop_NowMs();
    PlatformCall *call;

    if (target->platform_call_pending ||
        now - target->platform_call_ms < KEEPER_PLATFORM_INTERVAL_MS) {
        return false;
    }
    call = Mem_New(1, sizeof(*call));
    call->control = control;
    call->epoch = epoch;
    memcpy(call->vm, target->name, sizeof(call->vm));
    if (strcmp(method, "POST") == 0) {
        options.body = "";
    }
    target->platform_call_pending = true;
    target->platform_call_ms = now;
    if (HttpClient_StartCall(control->client, &options, on_platform_reply,
                             call) == NULL) {
        target->platform_call_pending = false;
        free(call);
        return false;
    }
    return true;
}

/* --- drains --- */

static bool
is_in_drain_list(const EscrowGrant *grant)
{
    return grant->purpose == ESCROW_DRAIN && grant->step != ESCROW_REBOOTED;
}

/* Updates the draining flags of the targets of this data centre. Any change
 * increments the sequence of the drain list. */
static void
update_draining(Control *control)
{
    size_t i;
    bool changed = false;

    for (i = 0; i < StrMap_Count(control->targets); i++) {
        ControlTarget *target = StrMap_At(control->targets, i);
        const EscrowGrant *grant =
            Escrow_FindGrant(control->escrow, target->name);
        bool draining = grant != NULL && is_in_drain_list(grant);
        bool local =
            strcmp(target->data_centre, control->settings->data_centre) == 0;
        if (local && draining != target->draining) {
            target->draining = draining;
            target->close_sequence =
                draining ? control->drains_sequence + 1 : 0;
            changed = true;
        }
    }
    if (changed) {
        control->drains_sequence++;
        control->next_drains_ms = 0;
        control->view_dirty = true;
        control->drains_view_sequence = control->view_sequence + 1;
    }
}

static bool
is_local(const Control *control, size_t peer)
{
    return strcmp(control->settings->peers[peer].data_centre,
                  control->settings->data_centre) == 0;
}

/* Sends the drain list to the entry VMs of this data centre. Entry VMs of
 * other data centres don't need it: they send work for targets of this data
 * centre to these entry VMs, never to the targets. */
static void
send_drain_list(Control *control, int64_t now)
{
    Buf body = BUF_INIT;
    msgpack_packer packer;
    size_t i;
    uint32_t count = 0;

    if (now < control->next_drains_ms) {
        return;
    }
    control->next_drains_ms = now + KEEPER_DRAIN_LIST_INTERVAL_MS;
    for (i = 0; i < Escrow_GrantCount(control->escrow); i++) {
        count += is_in_drain_list(Escrow_GrantAt(control->escrow, i)) ? 1 : 0;
    }
    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 3);
    msgpack_pack_int(&packer, PEER_DRAINS);
    msgpack_pack_uint64(&packer, control->drains_sequence);
    msgpack_pack_array(&packer, count);
    for (i = 0; i < Escrow_GrantCount(control->escrow); i++) {
        const EscrowGrant *grant = Escrow_GrantAt(control->escrow, i);
        if (is_in_drain_list(grant)) {
            MpPack_Text(&packer, grant->vm);
        }
    }
    for (i = 0; i < control->settings->peer_count; i++) {
        if (is_local(control, i)) {
            Peers_Send(control->peers, i, body.data, body.len);
        }
    }
    Buf_Free(&body);
}

/* Returns whether a peer may be sending work. Every peer counts as sending for
 * PEER_SILENCE_TIMEOUT_MS after this process starts, since connections may not
 * be up yet. */
static bool
may_send_work(const Control *control, size_t peer)
{
    return Peers_IsUp(control->peers, peer) ||
           Loop_NowMs() - control->keeper_start_ms < PEER_SILENCE_TIMEOUT_MS;
}

/* Returns whether no reachable entry VM sends new work to a target. Ignores
 * unreachable entry VMs: a draining platform refuses their work. */
static bool
is_closed(const Control *control, const ControlTarget *target)
{
    size_t i;

    if (control->view_applied < control->drains_view_sequence ||
        Gateway_GetTargetInFlight(control->gateway, target->name) > 0) {
        return false;
    }
    for (i = 0; i < control->settings->peer_count; i++) {
        if (is_local(control, i) && may_send_work(control, i) &&
            control->peer_states[i].drains_acked < target->close_sequence) {
            return false;
        }
    }
    return true;
}

static void
finish_drain(Control *control, const EscrowGrant *grant)
{
    JournalDecision decision = {.kind = JOURNAL_WAVE_STEP,
                                .cause = "rebooted and healthy again"};

    decision.subjects[JOURNAL_VM] = grant->vm;
    decision.subjects[JOURNAL_POOL] = grant->pool;
    decision.subjects[JOURNAL_WAVE] = grant->wave;
    Control_RecordDecision(control, &decision);
    Escrow_EndDrain(control->escrow, grant->vm, true);
}

static void
advance_drain(Control *control, const EscrowGrant *grant,
              ControlTarget *target, EscrowAction action)
{
    switch (action) {
    case ESCROW_ACTION_CLOSE:
        if (is_closed(control, target)) {
            Escrow_AdvanceDrain(control->escrow, grant->vm, ESCROW_CLOSED);
        }
        break;
    case ESCROW_ACTION_DRAIN:
        if (!target->platform_draining) {
            call_platform(control, target, "POST", "/platform/drain", 0);
        }
        else if (target->platform_in_flight > 0) {
            call_platform(control, target, "GET", "/platform/state", 0);
        }
        else {
            Escrow_AdvanceDrain(control->escrow, grant->vm, ESCROW_DRAINED);
        }
        break;
    case ESCROW_ACTION_REBOOT:
        if (target->incarnation > grant->incarnation) {
            target->platform_draining = false;
            Escrow_AdvanceDrain(control->escrow, grant->vm, ESCROW_REBOOTED);
        }
        else if (target->platform_reboot_possible &&
                 target->platform_incarnation <= grant->incarnation &&
                 call_platform(control, target, "POST", "/platform/reboot",
                               0)) {
            /* The platform's state is queried before the request is
             * repeated: the reply may be lost, and the VM may have
             * rebooted but not announced itself yet. */
            target->platform_reboot_possible = false;
        }
        else {
            call_platform(control, target, "GET", "/platform/state", 0);
        }
        break;
    case ESCROW_ACTION_OPEN:
        if (target->platform_draining || target->platform_call_ms == 0) {
            call_platform(control, target, "POST", "/platform/undrain", 0);
        }
        else if (!target->suspect && !target->leaving) {
            finish_drain(control, grant);
        }
        break;
    default:
        break;
    }
}

static void
advance_drains(Control *control)
{
    size_t i;

    for (i = Escrow_GrantCount(control->escrow); i-- > 0;) {
        const EscrowGrant *grant = Escrow_GrantAt(control->escrow, i);
        ControlTarget *target = Control_FindTarget(control, grant->vm);
        if (target != NULL && grant->purpose == ESCROW_DRAIN) {
            advance_drain(
                control, grant, target,
                Escrow_GetAction(control->escrow, control->state, grant));
        }
    }
}

/* --- moves --- */

static void
grant_moves(Control *control)
{
    size_t cursor = 0;
    const StateVm *vm;
    ErrCtx err;

    while ((vm = Assign_FindNextToGrant(control->state,
                                        control->settings->data_centre,
                                        &cursor)) != NULL) {
        if (Escrow_FindGrant(control->escrow, vm->name) == NULL &&
            Escrow_GrantMove(control->escrow, control->state, vm->name,
                             &err) == ST_OK) {
            JournalDecision decision = {.kind = JOURNAL_MOVE,
                                        .cause = "granted out of the share"};
            decision.subjects[JOURNAL_VM] = vm->name;
            decision.subjects[JOURNAL_POOL] = vm->pool;
            decision.subjects[JOURNAL_TO_POOL] = vm->move->to;
            Control_RecordDecision(control, &decision);
        }
    }
}

/* Advances the moves of closed VMs in this data centre. Proposes commands only
 * if propose is true. */
static void
advance_moves(Control *control, bool propose)
{
    Buf command = BUF_INIT;
    AssignStep step;
    size_t i;

    for (i = 0; i < State_MoveCount(control->state); i++) {
        const StateVm *vm = State_MoveAt(control->state, i);
        ControlTarget *target = Control_FindTarget(control, vm->name);
        if (strcmp(vm->data_centre, control->settings->data_centre) != 0) {
            continue;
        }
        Assign_DecideNext(control->state, vm,
                          target != NULL && target->idle_epoch == vm->epoch,
                          &step);
        if (step.action == ASSIGN_WAIT_IDLE && target != NULL) {
            call_platform(control, target, "GET", "/platform/state",
                          vm->epoch);
        }
        Buf_Clear(&command);
        if (propose && Assign_AppendCommand(vm, step.action, &command)) {
            Control_Propose(control, &command, Control_IgnoreResult, NULL);
        }
    }
    Buf_Free(&command);
}

/* Sets the demand for each pool's share: one unit for each move that waits for
 * a grant, and one for each VM that running waves have yet to drain. */
static void
set_demand(Control *control)
{
    size_t i;

    for (i = 0; i < Escrow_PoolCount(control->escrow); i++) {
        const EscrowPool *pool = Escrow_PoolAt(control->escrow, i);
        int64_t units = 0;
        size_t cursor = 0;
        const StateVm *vm;
        while ((vm = Assign_FindNextToGrant(control->state,
                                            control->settings->data_centre,
                                            &cursor)) != NULL) {
            units += strcmp(vm->pool, pool->name) == 0 ? 1 : 0;
        }
        units += (int64_t)Control_CountWavePending(control, pool->name);
        Escrow_SetDemand(control->escrow, pool->name, units);
    }
}

static void
propose_escrow_commands(Control *control)
{
    Buf command = BUF_INIT;
    size_t cursor = 0;

    while (Escrow_GetNextCommand(control->escrow, control->state, &cursor,
                                 &command)) {
        Control_Propose(control, &command, Control_IgnoreResult, NULL);
        Buf_Clear(&command);
    }
    Buf_Free(&command);
}

static void
report_health(Control *control)
{
    size_t i;

    for (i = 0; i < StrMap_Count(control->targets); i++) {
        const ControlTarget *target = StrMap_At(control->targets, i);
        if (strcmp(target->data_centre, control->settings->data_centre) == 0) {
            Escrow_SetVmHealth(control->escrow, target->name,
                               !target->suspect && !target->leaving,
                               target->incarnation);
        }
    }
}

void
Control_TickKeeper(Control *control, int64_t now)
{
    bool propose = now >= control->next_propose_ms;

    if (control->escrow == NULL || now < control->next_keeper_tick_ms) {
        return;
    }
    control->next_keeper_tick_ms = now + KEEPER_TICK_INTERVAL_MS;
    report_health(control);
    if (Escrow_Sync(control->escrow, control->state) != ST_OK ||
        !Escrow_IsKeeper(control->escrow)) {
        return;
    }
    grant_moves(control);
    if (now >= control->waves_start_ms) {
        Control_TickWaves(control);
    }
    set_demand(control);
    if (!save_record(control)) {
        return;
    }
    update_draining(control);
    send_drain_list(control, now);
    advance_drains(control);
    advance_moves(control, propose);
    if (propose) {
        control->next_propose_ms = now + KEEPER_PROPOSE_INTERVAL_MS;
        propose_escrow_commands(control);
    }
    save_record(control);
}
