#include "control_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "diag.h"
#include "jsonload.h"
#include "route.h"

#define CONTROL_VIEW_INTERVAL_MS 50
#define CONTROL_MAX_REMOTE_TARGETS 1024
/* Maximum requests in flight to one entry VM of another data centre for one
 * pool. */
#define CONTROL_REMOTE_SLOTS 64
/* Silence after which a target is removed; its VM stays in the replicated
 * state. */
#define CONTROL_TARGET_EXPIRY_MS 600000

ControlTarget *
Control_FindTarget(Control *control, const char *name)
{
    return StrMap_Get(control->targets, name);
}

static bool
copy_name(const json_t *json, const char *key, char *out)
{
    const char *text = json_string_value(json_object_get(json, key));

    if (text == NULL || *text == '\0' || strlen(text) >= SETTINGS_NAME_BYTES) {
        return false;
    }
    snprintf(out, SETTINGS_NAME_BYTES, "%s", text);
    return true;
}

static bool
copy_address(const json_t *json, const char *key, SettingsAddress *out)
{
    const char *text = json_string_value(json_object_get(json, key));

    return text != NULL && Settings_ParseAddress(text, out);
}

static bool
copy_count(const json_t *json, const char *key, uint32_t max, uint32_t *out)
{
    json_int_t value = json_integer_value(json_object_get(json, key));

    if (value < 1 || value > max) {
        return false;
    }
    *out = (uint32_t)value;
    return true;
}

/* Parses an announcement. The error message lists all invalid fields. */
static Status
parse_target(const json_t *json, ControlTarget *target, ErrCtx *err)
{
    Buf invalid = BUF_INIT;
    const char *state = json_string_value(json_object_get(json, "state"));
    const char *pool = json_string_value(json_object_get(json, "pool"));

    if (!copy_name(json, "name", target->name)) {
        Buf_Printf(&invalid, " name");
    }
    if (!copy_name(json, "data_centre", target->data_centre)) {
        Buf_Printf(&invalid, " data_centre");
    }
    if (!copy_name(json, "rack", target->rack)) {
        Buf_Printf(&invalid, " rack");
    }
    if (!copy_address(json, "address", &target->address)) {
        Buf_Printf(&invalid, " address");
    }
    if (!copy_address(json, "platform", &target->platform)) {
        target->platform = target->address;
    }
    if (!copy_count(json, "slots", 100000, &target->slots)) {
        Buf_Printf(&invalid, " slots");
    }
    if (!copy_count(json, "connections", 100000, &target->connections)) {
        Buf_Printf(&invalid, " connections");
    }
    if (!json_is_integer(json_object_get(json, "incarnation"))) {
        Buf_Printf(&invalid, " incarnation");
    }
    target->incarnation =
        (uint64_t)json_integer_value(json_object_get(json, "incarnation"));
    target->leaving = state != NULL && strcmp(state, "leaving") == 0;
    if (pool != NULL) {
        snprintf(target->pool, sizeof(target->pool), "%s", pool);
    }
    if (invalid.len > 0) {
        Err_Set(err, ST_INVALID, "missing or out of bounds:%s",
                Buf_Text(&invalid));
        Buf_Free(&invalid);
        return ST_INVALID;
    }
    return ST_OK;
}

static void
on_registered(void *arg, Status status, uint64_t index, const char *result,
              size_t len)
{
    StateResult answer;

    (void)arg;
    (void)index;
    if (status == ST_OK && State_ParseResult(result, len, &answer) == ST_OK &&
        answer.status != ST_OK) {
        Diag_Log(DIAG_WARNING, CONTROL_LOG_PREFIX,
                 "Registration of a VM was refused: %s.", answer.message);
    }
}

/* Returns the pool that a new VM joins: the one that it requests, otherwise a
 * spare pool, or NULL if there is none. */
static const char *
choose_pool(const Control *control, const ControlTarget *target)
{
    size_t i;

    if (State_Pool(control->state, target->pool) != NULL) {
        return target->pool;
    }
    for (i = 0; i < State_PoolCount(control->state); i++) {
        const StatePool *pool = State_PoolAt(control->state, i);
        if (pool->spare != 0) {
            return pool->name;
        }
    }
    return NULL;
}

static void
register_vm(Control *control, ControlTarget *target, int64_t now)
{
    const char *pool;
    Buf command = BUF_INIT;

    if (!control->registered || now < target->next_register_ms ||
        State_Vm(control->state, target->name) != NULL) {
        return;
    }
    pool = choose_pool(control, target);
    if (pool == NULL) {
        return;
    }
    target->next_register_ms = now + CONTROL_RETRY_INTERVAL_MS;
    StateCmd_EncodeRegisterVm(&command, target->name, target->data_centre,
                              target->rack, pool);
    Control_Propose(control, &command, on_registered, NULL);
    Buf_Free(&command);
}

static bool
is_unchanged(const ControlTarget *a, const ControlTarget *b)
{
    return a->leaving == b->leaving && !b->suspect && a->slots == b->slots &&
           a->connections == b->connections &&
           a->incarnation == b->incarnation &&
           a->address.port == b->address.port &&
           strcmp(a->address.host, b->address.host) == 0;
}

/* Copies the announced fields into a known target and clears its suspicion. */
static void
copy_announced(ControlTarget *target, const ControlTarget *announced)
{
    memcpy(target->rack, announced->rack, sizeof(target->rack));
    memcpy(target->pool, announced->pool, sizeof(target->pool));
    target->address = announced->address;
    target->platform = announced->platform;
    target->incarnation = announced->incarnation;
    target->slots = announced->slots;
    target->connections = announced->connections;
    target->leaving = announced->leaving;
    target->suspect = false;
}

static Status
update_target(Control *control, const ControlTarget *announced, int64_t now,
              ErrCtx *err)
{
    ControlTarget *target = Control_FindTarget(control, announced->name);

    if (target == NULL) {
        if (StrMap_Count(control->targets) == CONTROL_MAX_TARGETS) {
            return Err_Set(err, ST_FULL, "too many targets");
        }
        target = malloc(sizeof(*target));
        if (target == NULL) {
            return Err_Set(err, ST_NO_MEMORY, "no memory for a target");
        }
        *target = *announced;
        StrMap_Put(control->targets, target->name, target);
        control->view_dirty = true;
        Diag_Log(DIAG_INFO, CONTROL_LOG_PREFIX,
                 "Target %s in %s announced itself.", target->name,
                 target->data_centre);
    }
    else if (announced->incarnation < target->incarnation) {
        return Err_Set(err, ST_STALE, "an older incarnation");
    }
    else if (target->leaving && !announced->leaving &&
             announced->incarnation == target->incarnation) {
        /* The announcement was sent before the departure but arrived late. */
        return ST_OK;
    }
    else {
        control->view_dirty |= !is_unchanged(announced, target);
        copy_announced(target, announced);
    }
    target->last_heard_ms = now;
    register_vm(control, target, now);
    return ST_OK;
}

Status
Control_HandleAnnouncement(Control *control, const char *json, size_t len,
                           bool relay, ErrCtx *err)
{
    json_error_t json_error;
    json_t *root =
        JsonLoad_Parse(json, len, 0, JSON_LOAD_FEW_VALUES, &json_error);
    ControlTarget target;
    Status status;

    if (root == NULL) {
        return Err_Set(err, ST_INVALID, "not JSON: %s", json_error.text);
    }
    memset(&target, 0, sizeof(target));
    status = parse_target(root, &target, err);
    json_decref(root);
    if (status == ST_OK) {
        status = update_target(control, &target, Loop_NowMs(), err);
    }
    if (status == ST_OK && relay) {
        Control_RelayIfChanged(
            control, Control_FindTarget(control, target.name), json, len);
    }
    return status;
}

bool
Control_MarkLeaving(Control *control, const char *name, bool relay)
{
    ControlTarget *target = Control_FindTarget(control, name);
    json_t *json;
    char *text;
    char address[SETTINGS_HOST_BYTES + 8];

    if (target == NULL) {
        return false;
    }
    target->leaving = true;
    control->view_dirty = true;
    if (!relay) {
        return true;
    }
    snprintf(address, sizeof(address), "%s:%d", target->address.host,
             target->address.port);
    json = json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:s}", "name",
                     target->name, "data_centre", target->data_centre, "rack",
                     target->rack, "address", address, "slots",
                     (int)target->slots, "connections",
                     (int)target->connections, "incarnation",
                     (json_int_t)target->incarnation, "state", "leaving");
    text = json_dumps(json, JSON_COMPACT);
    if (text != NULL) {
        Control_RelayAnnouncement(control, text, strlen(text));
    }
    free(text);
    json_decref(json);
    return true;
}

void
Control_TickTargets(Control *control, int64_t now)
{
    size_t i;

    for (i = StrMap_Count(control->targets); i-- > 0;) {
        ControlTarget *target = StrMap_At(control->targets, i);
        int64_t silent_ms = now - target->last_heard_ms;
        if (!target->suspect &&
            silent_ms > control->settings->target_suspect_ms) {
            target->suspect = true;
            control->view_dirty = true;
            Diag_Log(DIAG_WARNING, CONTROL_LOG_PREFIX,
                     "Target %s is suspected after %lld ms of silence.",
                     target->name, (long long)silent_ms);
        }
        if (silent_ms > CONTROL_TARGET_EXPIRY_MS) {
            StrMap_Remove(control->targets, target->name);
            free(target);
            control->view_dirty = true;
        }
    }
}

/* --- views --- */

/* Rank of this node among the entry VMs that the settings list for its data
 * centre. An unreachable entry VM keeps its rank. */
typedef struct Ranks {
    uint32_t rank;
    uint32_t count;
    bool unreachable[SETTINGS_MAX_PEERS + 1]; /* by rank */
} Ranks;

static void
compute_ranks(const Control *control, Ranks *ranks)
{
    const Settings *settings = control->settings;
    const char *names[SETTINGS_MAX_PEERS + 1];
    bool unreachable[SETTINGS_MAX_PEERS + 1];
    uint32_t count = 0;
    uint32_t i;
    uint32_t j;

    names[count] = settings->name;
    unreachable[count++] = false;
    for (i = 0; i < settings->peer_count; i++) {
        if (strcmp(settings->peers[i].data_centre, settings->data_centre) ==
            0) {
            names[count] = settings->peers[i].name;
            unreachable[count++] = !Peers_IsUp(control->peers, i);
        }
    }
    ranks->count = count;
    for (i = 0; i < count; i++) {
        uint32_t rank = 0;
        for (j = 0; j < count; j++) {
            rank += strcmp(names[j], names[i]) < 0 ? 1 : 0;
        }
        ranks->unreachable[rank] = unreachable[i];
        if (i == 0) {
            ranks->rank = rank;
        }
    }
}

static TrafficTargetState
get_target_state(const ControlTarget *target, const StateVm *vm)
{
    if (target->leaving) {
        return TRAFFIC_TARGET_LEAVING;
    }
    if (vm->assignment != STATE_OPEN) {
        return TRAFFIC_TARGET_CLOSED;
    }
    if (target->draining) {
        return TRAFFIC_TARGET_DRAINING;
    }
    return target->suspect ? TRAFFIC_TARGET_SUSPECT : TRAFFIC_TARGET_OPEN;
}

/* Returns the port of the platform interface, or 0 if its host is not that of
 * the target. */
static int
get_platform_port(const ControlTarget *target)
{
    return strcmp(target->platform.host, target->address.host) == 0
               ? target->platform.port
               : 0;
}

/* Returns whether the view contains a target of a pool. */
static bool
has_target(const GatewayView *view, const char *pool)
{
    size_t i;

    for (i = 0; i < view->target_count; i++) {
        if (strcmp(view->targets[i].pool, pool) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether a data centre has VMs of a pool. */
static bool
has_vms(const StatePool *pool, const char *data_centre)
{
    size_t i;

    for (i = 0; i < pool->share_count; i++) {
        if (strcmp(pool->shares[i].data_centre, data_centre) == 0) {
            return pool->shares[i].vms > 0;
        }
    }
    return false;
}

/* For each pool without a target in the view, adds the entry VMs of the data
 * centres that have VMs of the pool, so that its work runs there. */
static void
add_remote_targets(const Control *control, GatewayView *view)
{
    const Settings *settings = control->settings;
    size_t local_count = view->target_count;
    size_t i;
    size_t j;

    for (i = 0; i < State_PoolCount(control->state); i++) {
        const StatePool *pool = State_PoolAt(control->state, i);
        if (has_target(view, pool->name)) {
            continue;
        }
        for (j = 0; j < settings->peer_count; j++) {
            const SettingsPeer *peer = &settings->peers[j];
            TrafficTarget *out = &view->targets[view->target_count];
            if (!Peers_IsUp(control->peers, j) ||
                !control->peer_states[j].ready ||
                !has_vms(pool, peer->data_centre) ||
                view->target_count - local_count ==
                    CONTROL_MAX_REMOTE_TARGETS) {
                continue;
            }
            out->name = apr_psprintf(view->pool, "%.30s/%.30s", peer->name,
                                     pool->name);
            out->pool = apr_pstrdup(view->pool, pool->name);
            out->data_centre = apr_pstrdup(view->pool, peer->data_centre);
            out->rack = "";
            out->state = TRAFFIC_TARGET_OPEN;
            out->slots = CONTROL_REMOTE_SLOTS;
            out->connections = CONTROL_REMOTE_SLOTS;
            out->cookie = Gateway_PackRemote(&peer->traffic);
            view->target_count++;
        }
    }
}

static void
add_targets(const Control *control, GatewayView *view)
{
    size_t i;
    Ranks ranks;

    memset(&ranks, 0, sizeof(ranks));
    compute_ranks(control, &ranks);
    view->targets = apr_pcalloc(view->pool, (StrMap_Count(control->targets) +
                                             CONTROL_MAX_REMOTE_TARGETS + 1) *
                                                sizeof(*view->targets));
    for (i = 0; i < StrMap_Count(control->targets); i++) {
        const ControlTarget *target = StrMap_At(control->targets, i);
        const StateVm *vm = State_Vm(control->state, target->name);
        TrafficTarget *out = &view->targets[view->target_count];
        if (vm == NULL ||
            strcmp(target->data_centre, control->settings->data_centre) != 0) {
            continue;
        }
        out->name = apr_pstrdup(view->pool, target->name);
        out->pool = apr_pstrdup(view->pool, vm->pool);
        out->data_centre = apr_pstrdup(view->pool, target->data_centre);
        out->rack = apr_pstrdup(view->pool, target->rack);
        out->epoch = vm->epoch;
        out->state = get_target_state(target, vm);
        out->slots =
            Route_GetCreditShare(target->name, target->slots, ranks.rank,
                                 ranks.count, ranks.unreachable);
        out->connections =
            Route_GetCreditShare(target->name, target->connections, ranks.rank,
                                 ranks.count, ranks.unreachable);
        out->cookie =
            Gateway_PackTarget(&target->address, get_platform_port(target));
        view->target_count++;
    }
}

static void
add_services(const Control *control, GatewayView *view)
{
    size_t i;

    view->service_count = State_ServiceCount(control->state);
    view->services = apr_pcalloc(view->pool, (view->service_count + 1) *
                                                 sizeof(*view->services));
    view->objectives = apr_pcalloc(view->pool, (view->service_count + 1) *
                                                   sizeof(*view->objectives));
    for (i = 0; i < view->service_count; i++) {
        const StateService *service = State_ServiceAt(control->state, i);
        view->services[i].name = apr_pstrdup(view->pool, service->name);
        view->services[i].pool = apr_pstrdup(view->pool, service->pool);
        view->services[i].short_ms = service->short_ms;
        view->services[i].max_queue = (uint32_t)service->max_queue;
        view->objectives[i].slo_ms = service->slo_ms;
        view->objectives[i].slo_percent = (double)service->slo_percent / 1000;
    }
    view->team_count = State_TeamCount(control->state);
    view->teams =
        apr_pcalloc(view->pool, (view->team_count + 1) * sizeof(*view->teams));
    for (i = 0; i < view->team_count; i++) {
        const StateTeam *team = State_TeamAt(control->state, i);
        view->teams[i].name = apr_pstrdup(view->pool, team->name);
        view->teams[i].quota = (uint32_t)team->quota;
    }
}

void
Control_PublishView(Control *control, int64_t now)
{
    apr_pool_t *pool;
    GatewayView *view;

    if (!control->view_dirty ||
        now - control->last_view_ms < CONTROL_VIEW_INTERVAL_MS ||
        !control->registered) {
        return;
    }
    if (apr_pool_create(&pool, NULL) != APR_SUCCESS) {
        return;
    }
    view = apr_pcalloc(pool, sizeof(*view));
    view->pool = pool;
    add_services(control, view);
    add_targets(control, view);
    add_remote_targets(control, view);
    view->sequence = ++control->view_sequence;
    control->view_dirty = false;
    control->last_view_ms = now;
    control->view_version = State_GetVersion(control->state);
    Gateway_PublishView(control->gateway, view);
}
