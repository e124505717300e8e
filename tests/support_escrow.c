#include "support_escrow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "assign.h"
#include "escrow.h"
#include "state.h"
#include "statecmd.h"
#include "support_state.h"

#define CENTRES 3
#define NODES 6
#define VMS 24
#define MAX_LOG 20000
#define MAX_QUEUE 64
#define MIN_SIZE 2

typedef struct Node {
    char name[8];
    char centre[2];
    bool up;
    bool destroyed;
    uint64_t identity;
    uint64_t incarnation;
    State *state;
    size_t applied; /* entries of the log */
    Escrow *escrow;
    Buf disk;
} Node;

/* What really happens to a VM. */
typedef struct Target {
    char name[8];
    char centre[2];
    bool drained; /* taken out of service by a drain */
    bool failed;  /* unplanned */
    uint64_t incarnation;
} Target;

typedef struct Model {
    EscrowModelChoose choose;
    void *arg;
    EscrowModelReport *report;
    State *leader;
    Buf *log;
    size_t log_len;
    Buf queue[MAX_QUEUE]; /* proposals on their way */
    size_t queue_origin[MAX_QUEUE];
    size_t queue_len;
    Node nodes[NODES];
    Target targets[VMS];
    bool cut[CENTRES];
    int64_t sums[2]; /* sum of shares of each pool after the last step */
    uint64_t next_id;
    bool healing;
} Model;

static const char *const pools[] = {"p", "q"};

static uint32_t
choose(Model *model, uint32_t bound)
{
    return model->choose(model->arg, bound);
}

static void
fail(Model *model, const char *failure)
{
    if (model->report->failure == NULL) {
        model->report->failure = failure;
    }
}

static void
append(Model *model, const char *bytes, size_t len)
{
    Buf result = BUF_INIT;

    if (model->log_len == MAX_LOG) {
        return;
    }
    Buf_Append(&model->log[model->log_len], bytes, len);
    model->log_len++;
    State_Apply(model->leader, model->log_len, bytes, len, &result);
    Buf_Free(&result);
}

static void
append_line(Model *model, const char *line)
{
    Buf bytes = BUF_INIT;

    SupportState_Encode(&bytes, line);
    append(model, bytes.data, bytes.len);
    Buf_Free(&bytes);
}

static size_t
centre_of(const char *name)
{
    return (size_t)(name[0] - 'a');
}

/* Sends a proposal; a full queue loses it. */
static void
propose(Model *model, const Node *node, const Buf *bytes)
{
    Buf *slot = &model->queue[model->queue_len];

    if (model->queue_len == MAX_QUEUE) {
        return;
    }
    Buf_Clear(slot);
    Buf_Append(slot, bytes->data, bytes->len);
    model->queue_origin[model->queue_len++] = centre_of(node->centre);
}

static void
node_apply(Model *model, Node *node, size_t count)
{
    while (count-- > 0 && node->applied < model->log_len) {
        Buf result = BUF_INIT;
        const Buf *entry = &model->log[node->applied++];
        State_Apply(node->state, node->applied, entry->data, entry->len,
                    &result);
        Buf_Free(&result);
    }
}

static void
node_register(Model *model, const Node *node)
{
    Buf bytes = BUF_INIT;

    StateCmd_RegisterMember(&bytes, node->name, node->centre, node->identity,
                            node->incarnation, true);
    propose(model, node, &bytes);
    Buf_Free(&bytes);
}

static void
node_start(Model *model, Node *node)
{
    ErrCtx err;

    node->up = true;
    node->incarnation++;
    node->state = State_New();
    node->applied = 0;
    node->escrow = Escrow_New(node->name, node->centre, node->identity);
    if (node->disk.len > 0 && Escrow_Restore(node->escrow, node->disk.data,
                                             node->disk.len, &err) != ST_OK) {
        fail(model, "a record that was saved whole is refused");
    }
    /* The source may lag behind what this node saw before. */
    node_apply(model, node, choose(model, (uint32_t)model->log_len + 1));
    node_register(model, node);
}

static void
node_stop(Model *model, Node *node)
{
    if (node->up) {
        node->up = false;
        State_Free(node->state);
        Escrow_Free(node->escrow);
        node->state = NULL;
        node->escrow = NULL;
        model->report->crashes++;
    }
}

/* A node may dispatch once it has applied its own registration. */
static bool
is_ready(const Node *node)
{
    const StateMember *member;

    if (!node->up || node->destroyed) {
        return false;
    }
    member = State_Member(node->state, node->name);
    return member != NULL && member->incarnation == node->incarnation;
}

static Target *
find_target(Model *model, const char *name)
{
    return &model->targets[atoi(name + 1)];
}

static void
node_sync(Model *model, Node *node)
{
    size_t i;

    Escrow_Sync(node->escrow, node->state);
    for (i = 0; i < VMS; i++) {
        const Target *target = &model->targets[i];
        if (target->centre[0] == node->centre[0]) {
            Escrow_Observe(node->escrow, target->name,
                           !target->drained && !target->failed,
                           target->incarnation);
        }
    }
}

/* Saves the record; it may be lost, or the node may crash right after. */
static void
node_save(Model *model, Node *node)
{
    uint32_t fate = model->healing ? 0 : choose(model, 8);
    Buf bytes = BUF_INIT;
    uint64_t revision;

    if (!Escrow_NeedsSave(node->escrow)) {
        return;
    }
    revision = Escrow_Record(node->escrow, &bytes);
    if (fate != 1) {
        Buf_Clear(&node->disk);
        Buf_Append(&node->disk, bytes.data, bytes.len);
    }
    if (fate == 1 || fate == 2) {
        node_stop(model, node);
    }
    else {
        Escrow_Saved(node->escrow, revision);
    }
    Buf_Free(&bytes);
}

static const char *
random_vm(Model *model, const char *centre)
{
    size_t i = choose(model, VMS / CENTRES) * CENTRES + centre_of(centre);

    return model->targets[i].name;
}

static void
node_grant(Model *model, Node *node)
{
    size_t cursor = 0;
    const StateVm *vm;

    if (choose(model, 2) == 0) {
        Escrow_GrantDrain(node->escrow, random_vm(model, node->centre), "",
                          NULL);
    }
    vm = Assign_NextToGrant(node->state, node->centre, &cursor);
    if (vm != NULL) {
        Escrow_GrantMove(node->escrow, node->state, vm->name, NULL);
    }
}

/* Does the work of one grant; a crash may follow before it is recorded. */
static void
node_work(Model *model, Node *node, size_t i)
{
    const EscrowGrant *grant = Escrow_GrantAt(node->escrow, i);
    EscrowStep next[] = {ESCROW_CLOSED, ESCROW_DRAINED, ESCROW_REBOOTED};
    EscrowWork work = Escrow_Work(node->escrow, node->state, grant);
    Target *target = find_target(model, grant->vm);
    bool crash = !model->healing && choose(model, 8) == 0;

    if (work > ESCROW_WORK_OPEN || work == ESCROW_WORK_SAVE) {
        return;
    }
    if (work == ESCROW_WORK_CLOSE) {
        target->drained = true;
    }
    else if (work == ESCROW_WORK_REBOOT) {
        target->incarnation++;
    }
    else if (work == ESCROW_WORK_OPEN) {
        target->drained = false;
        target->failed = false;
    }
    if (crash) {
        node_stop(model, node);
        return;
    }
    if (work == ESCROW_WORK_OPEN) {
        Escrow_Observe(node->escrow, target->name, true, target->incarnation);
        Escrow_Return(node->escrow, target->name, true);
        model->report->drains++;
        return;
    }
    Escrow_Advance(node->escrow, target->name, next[grant->step]);
}

static void
node_propose(Model *model, Node *node)
{
    size_t cursor = 0;
    const StateVm *vm;
    Buf bytes = BUF_INIT;

    while (Escrow_Propose(node->escrow, node->state, &cursor, &bytes)) {
        propose(model, node, &bytes);
        Buf_Clear(&bytes);
    }
    cursor = 0;
    while ((vm = Assign_NextToAck(node->state, node->name, node->incarnation,
                                  &cursor)) != NULL) {
        StateCmd_AckClose(&bytes, vm->name, vm->epoch, node->name,
                          node->incarnation);
        propose(model, node, &bytes);
        Buf_Clear(&bytes);
    }
    Buf_Free(&bytes);
    if (!is_ready(node)) {
        node_register(model, node);
    }
}

/* Delivers one proposal out of order; it may stay for a second delivery. */
static void
deliver(Model *model)
{
    uint32_t i;

    if (model->queue_len == 0) {
        return;
    }
    i = choose(model, (uint32_t)model->queue_len);
    if (model->cut[model->queue_origin[i]]) {
        return;
    }
    if (model->healing || choose(model, 8) != 0) {
        append(model, model->queue[i].data, model->queue[i].len);
    }
    if (model->healing || choose(model, 4) != 0) {
        Buf moved = model->queue[i];
        size_t last = --model->queue_len;
        model->queue[i] = model->queue[last];
        model->queue_origin[i] = model->queue_origin[last];
        model->queue[last] = moved;
    }
}

/* The leader's driver of moves. */
static void
drive_moves(Model *model)
{
    size_t i;

    for (i = State_MoveCount(model->leader); i-- > 0;) {
        const StateVm *vm = State_MoveAt(model->leader, i);
        AssignStep step;
        Buf bytes = BUF_INIT;
        Assign_Next(model->leader, vm, model->healing || choose(model, 2),
                    &step);
        if (Assign_Command(vm, step.action, &bytes)) {
            model->report->moves += step.action == ASSIGN_OPEN;
            append(model, bytes.data, bytes.len);
        }
        Buf_Free(&bytes);
    }
}

static void
operator_step(Model *model)
{
    char line[128];
    const char *vm = model->targets[choose(model, VMS)].name;
    const StateVm *row = State_Vm(model->leader, vm);

    switch (choose(model, 3)) {
    case 0:
        snprintf(line, sizeof(line),
                 "patch %d op r%d pools/%s/max_unavailable=%d",
                 (int)State_Version(model->leader), (int)model->next_id++,
                 pools[choose(model, 2)], (int)choose(model, 7));
        break;
    case 1:
        snprintf(line, sizeof(line), "move %s %d %s", vm, (int)row->epoch,
                 row->pool[0] == 'p' ? "q" : "p");
        break;
    default:
        if (row->move == NULL || choose(model, 4) != 0) {
            return;
        }
        snprintf(line, sizeof(line), "cancel %s %d", vm, (int)row->epoch);
        break;
    }
    append_line(model, line);
}

/* A disaster of one node: it never returns, returns without its disk, or is
 * declared destroyed and returns later. At most one of a data centre. */
static void
lose_node(Model *model, Node *node)
{
    Node *other = &model->nodes[(size_t)(node - model->nodes) ^ 1];
    char line[64];

    if (other->destroyed || node->destroyed || choose(model, 4) != 0) {
        return;
    }
    node_stop(model, node);
    if (choose(model, 2) == 0) {
        Buf_Clear(&node->disk);
        node->identity += 100;
        return;
    }
    node->destroyed = true;
    snprintf(line, sizeof(line), "destroyed %s op d%d", node->name,
             (int)model->next_id++);
    append_line(model, line);
}

/* Starts a node. One that was declared destroyed returns as a new VM without
 * the old disk, or with it once it has caught up. */
static void
node_return(Model *model, Node *node)
{
    bool was_destroyed = node->destroyed;

    if (was_destroyed && choose(model, 2) == 0) {
        Buf_Clear(&node->disk);
        node->identity += 100;
    }
    node->destroyed = false;
    node_start(model, node);
    if (was_destroyed) {
        node_apply(model, node, MAX_LOG);
    }
}

static void
chaos_step(Model *model, Node *node)
{
    Target *target = &model->targets[choose(model, VMS)];

    switch (choose(model, 8)) {
    case 0:
        node_stop(model, node);
        break;
    case 1:
        lose_node(model, node);
        break;
    case 2:
        model->cut[choose(model, CENTRES)] ^= true;
        break;
    case 3:
        target->failed = true;
        break;
    case 4:
        /* Only an operator returns a VM whose keeper was lost. */
        target->failed = false;
        break;
    default:
        if (!node->up) {
            node_return(model, node);
        }
        break;
    }
}

static void
node_step(Model *model, Node *node, uint32_t kind)
{
    size_t grants;

    if (!node->up || node->destroyed) {
        return;
    }
    switch (kind) {
    case 0:
    case 1:
        if (!model->cut[centre_of(node->centre)]) {
            node_apply(model, node, choose(model, 20));
        }
        break;
    case 2:
        node_sync(model, node);
        break;
    case 3:
        node_save(model, node);
        break;
    case 4:
        node_grant(model, node);
        break;
    case 5:
        grants = Escrow_GrantCount(node->escrow);
        if (grants > 0) {
            node_work(model, node, choose(model, (uint32_t)grants));
        }
        break;
    default:
        Escrow_SetDemand(node->escrow, pools[choose(model, 2)],
                         (int64_t)choose(model, 4));
        node_propose(model, node);
        break;
    }
}

/* Counts what is out of service by plan: drains, and closes of moves. */
static void
check_budgets(Model *model)
{
    int64_t planned[2][CENTRES] = {{0}};
    size_t p;
    size_t i;

    for (i = 0; i < VMS; i++) {
        const Target *target = &model->targets[i];
        const StateVm *vm = State_Vm(model->leader, target->name);
        if (target->drained || vm->assignment != STATE_OPEN) {
            planned[vm->pool[0] - 'p'][centre_of(target->centre)]++;
        }
        if (target->drained && vm->assignment != STATE_OPEN) {
            fail(model, "a VM is drained while it moves");
        }
    }
    for (p = 0; p < 2; p++) {
        const StatePool *pool = State_Pool(model->leader, pools[p]);
        int64_t sum = 0;
        int64_t out = 0;
        for (i = 0; i < CENTRES; i++) {
            char centre[2] = {(char)('a' + i), '\0'};
            const StateShare *share =
                State_Share(model->leader, pools[p], centre);
            int64_t limit = share != NULL ? State_ShareLimit(share) : 0;
            if (planned[p][i] > limit) {
                fail(model, "a data centre spends more than its share");
            }
            sum += limit;
            out += planned[p][i];
        }
        if (out > State_PoolBudget(pool)) {
            fail(model, "a budget is exceeded");
        }
        if (sum > pool->max_unavailable && sum > model->sums[p]) {
            fail(model, "shares rise above max_unavailable");
        }
        if (pool->vms < MIN_SIZE) {
            fail(model, "a pool fell below min_size");
        }
        model->sums[p] = sum;
    }
}

/* Checks that entry VMs that may dispatch to a VM agree on its pool. */
static void
check_pools(Model *model)
{
    size_t i;
    size_t n;

    for (i = 0; i < VMS; i++) {
        const char *pool = NULL;
        for (n = 0; n < NODES; n++) {
            const Node *node = &model->nodes[n];
            const StateVm *vm;
            if (!is_ready(node) ||
                node->centre[0] != model->targets[i].centre[0]) {
                continue;
            }
            vm = State_Vm(node->state, model->targets[i].name);
            if (vm == NULL || !Assign_MayDispatch(node->state, vm->name,
                                                  vm->pool, vm->epoch)) {
                continue;
            }
            if (pool != NULL && strcmp(pool, vm->pool) != 0) {
                fail(model, "a VM works in two pools");
            }
            pool = vm->pool;
        }
    }
}

static void
set_up(Model *model)
{
    char line[128];
    size_t i;

    append_line(model, "patch 0 op set pools/p/max_unavailable=4 "
                       "pools/p/min_size=2 pools/q/max_unavailable=3 "
                       "pools/q/min_size=2");
    for (i = 0; i < NODES; i++) {
        Node *node = &model->nodes[i];
        snprintf(node->name, sizeof(node->name), "n%d", (int)i);
        node->centre[0] = (char)('a' + i / 2);
        node->identity = i + 1;
        node_start(model, node);
    }
    for (i = 0; i < VMS; i++) {
        Target *target = &model->targets[i];
        snprintf(target->name, sizeof(target->name), "v%d", (int)i);
        target->centre[0] = (char)('a' + i % CENTRES);
        target->incarnation = 1;
        snprintf(line, sizeof(line), "vm %s %s r%d %s", target->name,
                 target->centre, (int)i / 12, pools[i % 2]);
        append_line(model, line);
    }
}

/* Everything works again, and all nodes catch up. */
static void
heal(Model *model)
{
    size_t round;
    size_t i;

    model->healing = true;
    memset(model->cut, 0, sizeof(model->cut));
    for (round = 0; round < 60; round++) {
        for (i = 0; i < VMS; i++) {
            Target *target = &model->targets[i];
            const Node *node = &model->nodes[centre_of(target->centre) * 2];
            target->failed = false;
            /* The operator undrains what no keeper has a grant for. */
            if (round == 30 && node->up && node[1].up &&
                Escrow_FindGrant(node->escrow, target->name) == NULL &&
                Escrow_FindGrant(node[1].escrow, target->name) == NULL) {
                target->drained = false;
            }
        }
        for (i = 0; i < NODES; i++) {
            Node *node = &model->nodes[i];
            size_t g;
            if (!node->up) {
                node_return(model, node);
            }
            node_apply(model, node, MAX_LOG);
            node_sync(model, node);
            node_save(model, node);
            for (g = Escrow_GrantCount(node->escrow); g-- > 0;) {
                node_work(model, node, g);
            }
            Escrow_SetDemand(node->escrow, "p", 0);
            Escrow_SetDemand(node->escrow, "q", 0);
            node_grant(model, node);
            node_propose(model, node);
        }
        for (i = 0; i < MAX_QUEUE; i++) {
            deliver(model);
        }
        drive_moves(model);
        check_budgets(model);
        check_pools(model);
    }
}

/* Lets the last drains end without new grants, then checks for leaks. */
static void
check_rest(Model *model)
{
    size_t round;
    size_t i;
    size_t p;

    for (round = 0; round < 30; round++) {
        for (i = 0; i < NODES; i++) {
            Node *node = &model->nodes[i];
            size_t g;
            node_apply(model, node, MAX_LOG);
            node_sync(model, node);
            node_save(model, node);
            for (g = Escrow_GrantCount(node->escrow); g-- > 0;) {
                node_work(model, node, g);
            }
            node_propose(model, node);
        }
        for (i = 0; i < MAX_QUEUE; i++) {
            deliver(model);
        }
        drive_moves(model);
    }
    for (i = 0; i < NODES; i++) {
        if (Escrow_GrantCount(model->nodes[i].escrow) > 0) {
            fail(model, "a grant is never returned");
        }
    }
    for (p = 0; p < 2; p++) {
        const StatePool *pool = State_Pool(model->leader, pools[p]);
        int64_t sum = 0;
        for (i = 0; i < pool->share_count; i++) {
            const StateShare *share = &pool->shares[i];
            sum += State_ShareLimit(share);
            if (State_ShareLimit(share) != share->wanted) {
                fail(model, "a share does not reach what is wanted");
            }
        }
        if (sum != pool->max_unavailable) {
            fail(model, "a part of the budget is lost");
        }
    }
}

void
EscrowModel_Run(EscrowModelChoose choose_from, void *arg, size_t steps,
                bool rest, EscrowModelReport *report)
{
    Model *model = calloc(1, sizeof(*model));
    size_t i;

    memset(report, 0, sizeof(*report));
    model->choose = choose_from;
    model->arg = arg;
    model->report = report;
    model->leader = State_New();
    model->log = calloc(MAX_LOG, sizeof(*model->log));
    set_up(model);
    while (report->steps < steps && report->failure == NULL) {
        uint32_t kind = choose(model, 16);
        Node *node = &model->nodes[choose(model, NODES)];
        report->steps++;
        if (kind < 8) {
            node_step(model, node, kind);
        }
        else if (kind < 12) {
            deliver(model);
        }
        else if (kind == 12) {
            drive_moves(model);
        }
        else if (kind == 13) {
            operator_step(model);
        }
        else if (choose(model, 3) == 0) {
            chaos_step(model, node);
        }
        check_budgets(model);
        check_pools(model);
    }
    if (rest && report->failure == NULL) {
        heal(model);
        check_rest(model);
    }
    for (i = 0; i < NODES; i++) {
        node_stop(model, &model->nodes[i]);
        Buf_Free(&model->nodes[i].disk);
    }
    for (i = 0; i < MAX_QUEUE; i++) {
        Buf_Free(&model->queue[i]);
    }
    for (i = 0; i < MAX_LOG; i++) {
        Buf_Free(&model->log[i]);
    }
    free(model->log);
    State_Free(model->leader);
    free(model);
}
