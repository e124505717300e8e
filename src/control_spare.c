#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "mem.h"
#include "spare.h"

#define SPARE_LOG_PREFIX "spare"
#define SPARE_REPORT_INTERVAL_MS 1000
#define SPARE_PLAN_INTERVAL_MS 500
#define SPARE_MAX_REPORT_AGE_MS 3000
#define SPARE_MAX_MOVES 16
#define SPARE_DEFAULT_SLOTS 8
/* Name of the configured limit on moves in flight. No moves are planned if the
 * limit is unset or 0. */
#define SPARE_LIMIT_NAME "spare_moves"

/* Load of a pool at one entry VM. */
typedef struct PoolLoad {
    char pool[STATE_NAME_BYTES];
    uint32_t waiting;
    uint32_t running;
} PoolLoad;

struct ControlLoads {
    PoolLoad *list;
    size_t count;
    int64_t received_ms;
};

/* Input of the planner and the storage of its lists. */
typedef struct PlanInput {
    SparePool *pools;
    size_t count;
    uint32_t *movable; /* indexes of VMs in the state, grouped by pool */
} PlanInput;

static void
send_loads(Control *control)
{
    long leader = Control_GetLeaderPeer(control);
    size_t pools = State_PoolCount(control->state);
    uint32_t loaded = 0;
    Buf list = BUF_INIT;
    Buf body = BUF_INIT;
    msgpack_packer packer;
    size_t i;

    if (leader < 0) {
        return;
    }
    msgpack_packer_init(&packer, &list, Buf_MsgpackWrite);
    for (i = 0; i < pools; i++) {
        const StatePool *pool = State_PoolAt(control->state, i);
        TrafficPoolLoad load;
        Gateway_GetPoolLoad(control->gateway, pool->name, &load);
        if (load.waiting + load.running > 0) {
            msgpack_pack_array(&packer, 3);
            MpPack_Text(&packer, pool->name);
            msgpack_pack_uint32(&packer, load.waiting);
            msgpack_pack_uint32(&packer, load.running);
            loaded++;
        }
    }
    msgpack_packer_init(&packer, &body, Buf_MsgpackWrite);
    msgpack_pack_array(&packer, 2);
    msgpack_pack_int(&packer, PEER_LOAD);
    msgpack_pack_array(&packer, loaded);
    Buf_Append(&body, list.data, list.len);
    Peers_Send(control->peers, (size_t)leader, body.data, body.len);
    Buf_Free(&list);
    Buf_Free(&body);
}

static bool
parse_load(const msgpack_object *item, PoolLoad *load)
{
    const msgpack_object *fields = item->via.array.ptr;

    if (item->type != MSGPACK_OBJECT_ARRAY || item->via.array.size != 3 ||
        fields[0].type != MSGPACK_OBJECT_STR ||
        fields[0].via.str.size >= sizeof(load->pool) ||
        fields[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        fields[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    memcpy(load->pool, fields[0].via.str.ptr, fields[0].via.str.size);
    load->pool[fields[0].via.str.size] = '\0';
    load->waiting = (uint32_t)fields[1].via.u64;
    load->running = (uint32_t)fields[2].via.u64;
    return true;
}

void
Control_OnLoad(Control *control, size_t peer,
               const msgpack_object_array *message)
{
    struct ControlLoads *loads = &control->loads[peer];
    const msgpack_object_array *list;
    size_t i;

    if (message->size != 2 || message->ptr[1].type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    list = &message->ptr[1].via.array;
    free(loads->list);
    loads->count = 0;
    loads->received_ms = Loop_NowMs();
    loads->list = calloc(list->size + 1, sizeof(*loads->list));
    for (i = 0; loads->list != NULL && i < list->size; i++) {
        if (parse_load(&list->ptr[i], &loads->list[loads->count])) {
            loads->count++;
        }
    }
}

void
Control_OpenSparePlanner(Control *control)
{
    const Settings *settings = control->settings;
    SpareOptions options = SPARE_OPTIONS_DEFAULT;

    options.buffer_weight = (double)settings->buffer_weight;
    options.move_weight = (double)settings->move_weight;
    options.wait_weight = (double)settings->wait_weight;
    control->spare = SparePlanner_New(&options);
    control->loads = calloc(settings->peer_count + 1, sizeof(*control->loads));
}

void
Control_CloseSparePlanner(Control *control)
{
    size_t i;

    for (i = 0; control->loads != NULL && i < control->settings->peer_count;
         i++) {
        free(control->loads[i].list);
    }
    free(control->loads);
    SparePlanner_Free(control->spare);
}

/* Sums a pool's load over this entry VM and those with a recent report. */
static void
sum_load(const Control *control, const char *pool, int64_t now, SparePool *out)
{
    TrafficPoolLoad own;
    size_t i;
    size_t j;

    Gateway_GetPoolLoad(control->gateway, pool, &own);
    out->queued = own.waiting;
    out->running = own.running;
    for (i = 0; i < control->settings->peer_count; i++) {
        const struct ControlLoads *loads = &control->loads[i];
        if (now - loads->received_ms > SPARE_MAX_REPORT_AGE_MS) {
            continue;
        }
        for (j = 0; j < loads->count; j++) {
            if (strcmp(loads->list[j].pool, pool) == 0) {
                out->queued += loads->list[j].waiting;
                out->running += loads->list[j].running;
            }
        }
    }
}

/* Returns the slots of one known target, as an estimate for every VM. */
static uint32_t
estimate_slots_per_vm(const Control *control)
{
    const ControlTarget *target = StrMap_At(control->targets, 0);

    return target != NULL ? target->slots : SPARE_DEFAULT_SLOTS;
}

static void
fill_pool(const Control *control, const StatePool *pool, int64_t now,
          SparePool *out)
{
    int64_t left = pool->max_unavailable - (int64_t)pool->moves_out;

    out->name = pool->name;
    out->size = pool->vms - pool->moves_out;
    out->min_size = (uint32_t)pool->min_size;
    out->incoming = pool->moves_in;
    out->slots_per_vm = estimate_slots_per_vm(control);
    out->budget_left = left > 0 ? (uint32_t)left : 0;
    out->spare = pool->spare != 0;
    sum_load(control, pool->name, now, out);
}

/* Lists open VMs without a move, at most SPARE_MAX_MOVES for each pool. */
static void
list_movable_vms(const Control *control, PlanInput *input)
{
    size_t vms = State_VmCount(control->state);
    size_t used = 0;
    size_t i;
    size_t j;

    for (i = 0; i < input->count; i++) {
        SparePool *pool = &input->pools[i];
        const StatePool *row = State_PoolAt(control->state, i);
        size_t first = used;
        for (j = 0; j < vms && used - first < SPARE_MAX_MOVES; j++) {
            const StateVm *vm = State_VmAt(control->state, j);
            if (vm->assignment == STATE_OPEN && vm->move == NULL &&
                strcmp(vm->pool, row->name) == 0) {
                input->movable[used++] = (uint32_t)j;
            }
        }
        pool->movable = input->movable + first;
        pool->movable_count = used - first;
    }
}

static void
propose_move(Control *control, const PlanInput *input, const SpareMove *move)
{
    const StateVm *vm = State_VmAt(control->state, move->vm);
    JournalDecision decision = {
        .kind = JOURNAL_MOVE,
        .cause = move->reason,
        .figure_names = {"regret", "cost", "lacking", "donor idle"},
        .figures = {move->regret, move->cost, move->shortage,
                    (double)move->idle}};
    Buf command = BUF_INIT;

    decision.subjects[JOURNAL_VM] = vm->name;
    decision.subjects[JOURNAL_POOL] = input->pools[move->from].name;
    decision.subjects[JOURNAL_TO_POOL] = input->pools[move->to].name;
    Control_RecordDecision(control, &decision);
    Diag_Log(DIAG_INFO, SPARE_LOG_PREFIX,
             "Proposed the move of %s from %s to %s: %s.", vm->name,
             input->pools[move->from].name, input->pools[move->to].name,
             move->reason);
    StateCmd_EncodeBeginMove(&command, vm->name, vm->epoch,
                             input->pools[move->to].name);
    Control_Propose(control, &command, Control_IgnoreResult, NULL);
    Buf_Free(&command);
}

static void
plan_moves(Control *control, int64_t now, size_t limit)
{
    PlanInput input = {.count = State_PoolCount(control->state)};
    SpareMove moves[SPARE_MAX_MOVES];
    size_t count = 0;
    size_t i;

    input.pools = Mem_New(input.count + 1, sizeof(*input.pools));
    input.movable =
        Mem_New(input.count * SPARE_MAX_MOVES + 1, sizeof(*input.movable));
    for (i = 0; i < input.count; i++) {
        fill_pool(control, State_PoolAt(control->state, i), now,
                  &input.pools[i]);
    }
    list_movable_vms(control, &input);
    SparePlanner_PlanMoves(
        control->spare, now, input.pools, input.count, moves,
        limit < SPARE_MAX_MOVES ? limit : SPARE_MAX_MOVES, &count);
    for (i = 0; i < count; i++) {
        propose_move(control, &input, &moves[i]);
    }
    free(input.pools);
    free(input.movable);
}

void
Control_TickSparePlanner(Control *control, int64_t now)
{
    const StateLimit *limit = State_Limit(control->state, SPARE_LIMIT_NAME);
    size_t moves = State_MoveCount(control->state);

    if (limit == NULL || limit->value <= 0) {
        return;
    }
    if (!Control_IsLeader(control)) {
        if (now >= control->next_load_report_ms) {
            control->next_load_report_ms = now + SPARE_REPORT_INTERVAL_MS;
            send_loads(control);
        }
        return;
    }
    if (now < control->next_spare_plan_ms || moves >= (size_t)limit->value) {
        return;
    }
    control->next_spare_plan_ms = now + SPARE_PLAN_INTERVAL_MS;
    plan_moves(control, now, (size_t)limit->value - moves);
}
