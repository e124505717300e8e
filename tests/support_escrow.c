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
#define MAX_LOG_ENTRIES 20000
#define MAX_PROPOSALS 64
#define MIN_SIZE 2

typedef struct Node {
    char name[8];
    char centre[2];
    bool running;
    bool destroyed;
    uint64_t identity;
    uint64_t incarnation;
    State *state;
    size_t applied; /* number of log entries applied */
    Escrow *escrow;
    Buf disk; /* record on the disk */
} Node;

/* The real state of a VM. */
typedef struct Target {
    char name[8];
    char centre[2];
    bool drained; /* out of service because of a drain */
    bool failed;  /* out of service because of an unplanned failure */
    uint64_t incarnation;
} Target;

typedef struct Model {
    EscrowModelChooser choose;
    void *arg;
    EscrowModelReport *report;
    State *leader_state;
    Buf *log;
    size_t log_len;
    Buf queue[MAX_PROPOSALS];            /* proposals in flight */
    size_t queue_centres[MAX_PROPOSALS]; /* senders' data centres */
    size_t queue_len;
    Node nodes[NODES];
    Target targets[VMS];
    bool partitioned[CENTRES]; /* true while the data centre is partitioned */
    int64_t share_sums[2];     /* sum of each pool's shares after a step */
    uint64_t next_id;          /* id of the next operator request */
    bool recovering;           /* true once no more faults are injected */
} Model;

static const char *const pools[] = {"p", "q"};

static uint32_t
choose(Model *model, uint32_t bound)
{
    return model->choose(model->arg, bound);
}

static void
report_failure(Model *model, const char *failure)
{
    if (model->report->failure == NULL) {
        model->report->failure = failure;
    }
}

static void
append_entry(Model *model, const char *bytes, size_t len)
{
    Buf result = BUF_INIT;

    if (model->log_len == MAX_LOG_ENTRIES) {
        return;
    }
    Buf_Append(&model->log[model->log_len], bytes, len);
    model->log_len++;
    State_Apply(model->leader_state, model->log_len, bytes, len, &result);
    Buf_Free(&result);
}

static void
append_command(Model *model, const char *line)
{
    Buf bytes = BUF_INIT;

    SupportState_Encode(&bytes, line);
    append_entry(model, bytes.data, bytes.len);
    Buf_Free(&bytes);
}

static size_t
get_centre_index(const char *name)
{
    return (size_t)(name[0] - 'a');
}

/* Queues a proposal, or drops it if the queue is full. */
static void
send_proposal(Model *model, const Node *node, const Buf *bytes)
{
    Buf *slot = &model->queue[model->queue_len];

    if (model->queue_len == MAX_PROPOSALS) {
        return;
    }
    Buf_Clear(slot);
    Buf_Append(slot, bytes->data, bytes->len);
    model->queue_centres[model->queue_len++] = get_centre_index(node->centre);
}

static void
apply_log(Model *model, Node *node, size_t count)
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
register_node(Model *model, const Node *node)
{
    Buf bytes = BUF_INIT;

    StateCmd_EncodeRegisterMember(&bytes, node->name, node->centre,
                                  node->identity, node->incarnation, true);
    send_proposal(model, node, &bytes);
    Buf_Free(&bytes);
}

static void
start_node(Model *model, Node *node)
{
    ErrCtx err;

    node->running = true;
    node->incarnation++;
    node->state = State_New();
    node->applied = 0;
    node->escrow = Escrow_New(node->name, node->centre, node->identity);
    if (node->disk.len > 0 && Escrow_Restore(node->escrow, node->disk.data,
                                             node->disk.len, &err) != ST_OK) {
        report_failure(model, "a completely saved record is refused");
    }
    /* The node may get a log that ends before the entries it applied before
     * its restart. */
    apply_log(model, node, choose(model, (uint32_t)model->log_len + 1));
    register_node(model, node);
}

static void
stop_node(Model *model, Node *node)
{
    if (node->running) {
        node->running = false;
        State_Free(node->state);
        Escrow_Free(node->escrow);
        node->state = NULL;
        node->escrow = NULL;
        model->report->crashes++;
    }
}

/* Returns whether a node may dispatch: it runs and has applied its own
 * registration. */
static bool
is_ready(const Node *node)
{
    const StateMember *member;

    if (!node->running || node->destroyed) {
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
sync_node(Model *model, Node *node)
{
    size_t i;

    Escrow_Sync(node->escrow, node->state);
    for (i = 0; i < VMS; i++) {
        const Target *target = &model->targets[i];
        if (target->centre[0] == node->centre[0]) {
            Escrow_SetVmHealth(node->escrow, target->name,
                               !target->drained && !target->failed,
                               target->incarnation);
        }
    }
}

/* Saves the record of a node, which may crash before or after the write. */
static void
save_record(Model *model, Node *node)
{
    uint32_t fault = model->recovering ? 0 : choose(model, 8);
    Buf bytes = BUF_INIT;
    uint64_t revision;

    if (!Escrow_NeedsSave(node->escrow)) {
        return;
    }
    revision = Escrow_EncodeRecord(node->escrow, &bytes);
    if (fault != 1) {
        Buf_Clear(&node->disk);
        Buf_Append(&node->disk, bytes.data, bytes.len);
    }
    if (fault == 1 || fault == 2) {
        stop_node(model, node);
    }
    else {
        Escrow_MarkSaved(node->escrow, revision);
    }
    Buf_Free(&bytes);
}

static const char *
choose_vm(Model *model, const char *centre)
{
    size_t i =
        choose(model, VMS / CENTRES) * CENTRES + get_centre_index(centre);

    return model->targets[i].name;
}

static void
request_grants(Model *model, Node *node)
{
    size_t cursor = 0;
    const StateVm *vm;

    if (choose(model, 2) == 0) {
        Escrow_GrantDrain(node->escrow, choose_vm(model, node->centre), "",
                          NULL);
    }
    vm = Assign_FindNextToGrant(node->state, node->centre, &cursor);
    if (vm != NULL) {
        Escrow_GrantMove(node->escrow, node->state, vm->name, NULL);
    }
}

/* Carries out the action of one grant. The node may crash before it records
 * the step. */
static void
execute_action(Model *model, Node *node, size_t i)
{
    const EscrowGrant *grant = Escrow_GrantAt(node->escrow, i);
    EscrowStep next[] = {ESCROW_CLOSED, ESCROW_DRAINED, ESCROW_REBOOTED};
    EscrowAction action = Escrow_GetAction(node->escrow, node->state, grant);
    Target *target = find_target(model, grant->vm);
    bool crash = !model->recovering && choose(model, 8) == 0;

    if (action > ESCROW_ACTION_OPEN || action == ESCROW_ACTION_SAVE) {
        return;
    }
    if (action == ESCROW_ACTION_CLOSE) {
        target->drained = true;
    }
    else if (action == ESCROW_ACTION_REBOOT) {
        target->incarnation++;
    }
    else if (action == ESCROW_ACTION_OPEN) {
        target->drained = false;
        target->failed = false;
    }
    if (crash) {
        stop_node(model, node);
        return;
    }
    if (action == ESCROW_ACTION_OPEN) {
        Escrow_SetVmHealth(node->escrow, target->name, true,
                           target->incarnation);
        Escrow_EndDrain(node->escrow, target->name, true);
        model->report->drains++;
        return;
    }
    Escrow_AdvanceDrain(node->escrow, target->name, next[grant->step]);
}

static void
send_proposals(Model *model, Node *node)
{
    size_t cursor = 0;
    const StateVm *vm;
    Buf bytes = BUF_INIT;

    while (Escrow_GetNextCommand(node->escrow, node->state, &cursor, &bytes)) {
        send_proposal(model, node, &bytes);
        Buf_Clear(&bytes);
    }
    cursor = 0;
    while ((vm = Assign_FindNextToAck(node->state, node->name,
                                      node->incarnation, &cursor)) != NULL) {
        StateCmd_EncodeAckClose(&bytes, vm->name, vm->epoch, node->name,
                                node->incarnation);
        send_proposal(model, node, &bytes);
        Buf_Clear(&bytes);
    }
    Buf_Free(&bytes);
    if (!is_ready(node)) {
        register_node(model, node);
    }
}

/* Takes a random proposal from the queue and appends it to the log, unless
 * its sender's data centre is partitioned. The proposal may be lost, or stay
 * in the queue and be delivered again. */
static void
deliver_proposal(Model *model)
{
    uint32_t i;

    if (model->queue_len == 0) {
        return;
    }
    i = choose(model, (uint32_t)model->queue_len);
    if (model->partitioned[model->queue_centres[i]]) {
        return;
    }
    if (model->recovering || choose(model, 8) != 0) {
        append_entry(model, model->queue[i].data, model->queue[i].len);
    }
    if (model->recovering || choose(model, 4) != 0) {
        Buf moved = model->queue[i];
        size_t last = --model->queue_len;
        model->queue[i] = model->queue[last];
        model->queue_centres[i] = model->queue_centres[last];
        model->queue[last] = moved;
    }
}

/* Appends the next command of each move, as the leader does. */
static void
advance_moves(Model *model)
{
    size_t i;

    for (i = State_MoveCount(model->leader_state); i-- > 0;) {
        const StateVm *vm = State_MoveAt(model->leader_state, i);
        AssignStep step;
        Buf bytes = BUF_INIT;
        Assign_DecideNext(model->leader_state, vm,
                          model->recovering || choose(model, 2), &step);
        if (Assign_AppendCommand(vm, step.action, &bytes)) {
            model->report->moves += step.action == ASSIGN_OPEN;
            append_entry(model, bytes.data, bytes.len);
        }
        Buf_Free(&bytes);
    }
}

static void
send_operator_command(Model *model)
{
    char line[128];
    const char *vm = model->targets[choose(model, VMS)].name;
    const StateVm *row = State_Vm(model->leader_state, vm);

    switch (choose(model, 3)) {
    case 0:
        snprintf(
            line, sizeof(line), "patch %d op r%d pools/%s/max_unavailable=%d",
            (int)State_GetVersion(model->leader_state), (int)model->next_id++,
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
    append_command(model, line);
}

/* Stops a node that either loses its disk or is declared destroyed. It may be
 * started again later. At most one node of a data centre is declared
 * destroyed at a time. */
static void
lose_node(Model *model, Node *node)
{
    Node *other = &model->nodes[(size_t)(node - model->nodes) ^ 1];
    char line[64];

    if (other->destroyed || node->destroyed || choose(model, 4) != 0) {
        return;
    }
    stop_node(model, node);
    if (choose(model, 2) == 0) {
        Buf_Clear(&node->disk);
        node->identity += 100;
        return;
    }
    node->destroyed = true;
    snprintf(line, sizeof(line), "destroyed %s op d%d", node->name,
             (int)model->next_id++);
    append_command(model, line);
}

/* Starts a node. A node that was declared destroyed starts either as a new VM
 * without the old disk, or with the old disk, and then catches up at once. */
static void
restart_node(Model *model, Node *node)
{
    bool was_destroyed = node->destroyed;

    if (was_destroyed && choose(model, 2) == 0) {
        Buf_Clear(&node->disk);
        node->identity += 100;
    }
    node->destroyed = false;
    start_node(model, node);
    if (was_destroyed) {
        apply_log(model, node, MAX_LOG_ENTRIES);
    }
}

static void
inject_fault(Model *model, Node *node)
{
    Target *target = &model->targets[choose(model, VMS)];

    switch (choose(model, 8)) {
    case 0:
        stop_node(model, node);
        break;
    case 1:
        lose_node(model, node);
        break;
    case 2:
        model->partitioned[choose(model, CENTRES)] ^= true;
        break;
    case 3:
        target->failed = true;
        break;
    case 4:
        /* A failed VM recovers. A VM that a lost keeper left drained stays
         * drained until the operator undrains it. */
        target->failed = false;
        break;
    default:
        if (!node->running) {
            restart_node(model, node);
        }
        break;
    }
}

static void
run_node_step(Model *model, Node *node, uint32_t kind)
{
    size_t grants;

    if (!node->running || node->destroyed) {
        return;
    }
    switch (kind) {
    case 0:
    case 1:
        if (!model->partitioned[get_centre_index(node->centre)]) {
            apply_log(model, node, choose(model, 20));
        }
        break;
    case 2:
        sync_node(model, node);
        break;
    case 3:
        save_record(model, node);
        break;
    case 4:
        request_grants(model, node);
        break;
    case 5:
        grants = Escrow_GrantCount(node->escrow);
        if (grants > 0) {
            execute_action(model, node, choose(model, (uint32_t)grants));
        }
        break;
    default:
        Escrow_SetDemand(node->escrow, pools[choose(model, 2)],
                         (int64_t)choose(model, 4));
        send_proposals(model, node);
        break;
    }
}

/* Checks shares, budgets and pool sizes. A VM counts as out of service by
 * plan while it is drained or closed for a move. */
static void
check_budgets(Model *model)
{
    int64_t planned[2][CENTRES] = {{0}};
    size_t p;
    size_t i;

    for (i = 0; i < VMS; i++) {
        const Target *target = &model->targets[i];
        const StateVm *vm = State_Vm(model->leader_state, target->name);
        if (target->drained || vm->assignment != STATE_OPEN) {
            planned[vm->pool[0] - 'p'][get_centre_index(target->centre)]++;
        }
        if (target->drained && vm->assignment != STATE_OPEN) {
            report_failure(model,
                           "a VM is drained while it is closed for a move");
        }
    }
    for (p = 0; p < 2; p++) {
        const StatePool *pool = State_Pool(model->leader_state, pools[p]);
        int64_t share_sum = 0;
        int64_t planned_total = 0;
        for (i = 0; i < CENTRES; i++) {
            char centre[2] = {(char)('a' + i), '\0'};
            const StateShare *share =
                State_FindShare(model->leader_state, pools[p], centre);
            int64_t limit = share != NULL ? State_GetShareLimit(share) : 0;
            if (planned[p][i] > limit) {
                report_failure(model, "a data centre exceeds its share");
            }
            share_sum += limit;
            planned_total += planned[p][i];
        }
        if (planned_total > State_GetPoolBudget(pool)) {
            report_failure(model, "a pool exceeds its budget");
        }
        if (share_sum > pool->max_unavailable &&
            share_sum > model->share_sums[p]) {
            report_failure(model,
                           "the sum of shares rises above max_unavailable");
        }
        if (pool->vms < MIN_SIZE) {
            report_failure(model, "a pool is smaller than min_size");
        }
        model->share_sums[p] = share_sum;
    }
}

/* Checks that all entry VMs that may dispatch to a VM agree on its pool. */
static void
check_dispatch(Model *model)
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
                report_failure(model, "a VM receives work of two pools");
            }
            pool = vm->pool;
        }
    }
}

static void
set_up_cluster(Model *model)
{
    char line[128];
    size_t i;

    append_command(model, "patch 0 op set pools/p/max_unavailable=4 "
                          "pools/p/min_size=2 pools/q/max_unavailable=3 "
                          "pools/q/min_size=2");
    for (i = 0; i < NODES; i++) {
        Node *node = &model->nodes[i];
        snprintf(node->name, sizeof(node->name), "n%d", (int)i);
        node->centre[0] = (char)('a' + i / 2);
        node->identity = i + 1;
        start_node(model, node);
    }
    for (i = 0; i < VMS; i++) {
        Target *target = &model->targets[i];
        snprintf(target->name, sizeof(target->name), "v%d", (int)i);
        target->centre[0] = (char)('a' + i % CENTRES);
        target->incarnation = 1;
        snprintf(line, sizeof(line), "vm %s %s r%d %s", target->name,
                 target->centre, (int)i / 12, pools[i % 2]);
        append_command(model, line);
    }
}

/* Ends all faults and lets all nodes catch up. */
static void
end_faults(Model *model)
{
    size_t round;
    size_t i;

    model->recovering = true;
    memset(model->partitioned, 0, sizeof(model->partitioned));
    for (round = 0; round < 60; round++) {
        for (i = 0; i < VMS; i++) {
            Target *target = &model->targets[i];
            const Node *node =
                &model->nodes[get_centre_index(target->centre) * 2];
            target->failed = false;
            /* The operator undrains VMs that no keeper holds a grant for. */
            if (round == 30 && node->running && node[1].running &&
                Escrow_FindGrant(node->escrow, target->name) == NULL &&
                Escrow_FindGrant(node[1].escrow, target->name) == NULL) {
                target->drained = false;
            }
        }
        for (i = 0; i < NODES; i++) {
            Node *node = &model->nodes[i];
            size_t g;
            if (!node->running) {
                restart_node(model, node);
            }
            apply_log(model, node, MAX_LOG_ENTRIES);
            sync_node(model, node);
            save_record(model, node);
            for (g = Escrow_GrantCount(node->escrow); g-- > 0;) {
                execute_action(model, node, g);
            }
            Escrow_SetDemand(node->escrow, "p", 0);
            Escrow_SetDemand(node->escrow, "q", 0);
            request_grants(model, node);
            send_proposals(model, node);
        }
        for (i = 0; i < MAX_PROPOSALS; i++) {
            deliver_proposal(model);
        }
        advance_moves(model);
        check_budgets(model);
        check_dispatch(model);
    }
}

/* Lets the remaining drains end without new grants, then checks for lost
 * grants and units. */
static void
check_quiescence(Model *model)
{
    size_t round;
    size_t i;
    size_t p;

    for (round = 0; round < 30; round++) {
        for (i = 0; i < NODES; i++) {
            Node *node = &model->nodes[i];
            size_t g;
            apply_log(model, node, MAX_LOG_ENTRIES);
            sync_node(model, node);
            save_record(model, node);
            for (g = Escrow_GrantCount(node->escrow); g-- > 0;) {
                execute_action(model, node, g);
            }
            send_proposals(model, node);
        }
        for (i = 0; i < MAX_PROPOSALS; i++) {
            deliver_proposal(model);
        }
        advance_moves(model);
    }
    for (i = 0; i < NODES; i++) {
        if (Escrow_GrantCount(model->nodes[i].escrow) > 0) {
            report_failure(model, "a grant is never returned");
        }
    }
    for (p = 0; p < 2; p++) {
        const StatePool *pool = State_Pool(model->leader_state, pools[p]);
        int64_t share_sum = 0;
        for (i = 0; i < pool->share_count; i++) {
            const StateShare *share = &pool->shares[i];
            share_sum += State_GetShareLimit(share);
            if (State_GetShareLimit(share) != share->wanted) {
                report_failure(model,
                               "a share does not reach its wanted size");
            }
        }
        if (share_sum != pool->max_unavailable) {
            report_failure(model, "a unit of the budget is lost");
        }
    }
}

void
EscrowModel_Run(EscrowModelChooser choose_from, void *arg, size_t steps,
                bool recover, EscrowModelReport *report)
{
    Model *model = calloc(1, sizeof(*model));
    size_t i;

    memset(report, 0, sizeof(*report));
    model->choose = choose_from;
    model->arg = arg;
    model->report = report;
    model->leader_state = State_New();
    model->log = calloc(MAX_LOG_ENTRIES, sizeof(*model->log));
    set_up_cluster(model);
    while (report->steps < steps && report->failure == NULL) {
        uint32_t kind = choose(model, 16);
        Node *node = &model->nodes[choose(model, NODES)];
        report->steps++;
        if (kind < 8) {
            run_node_step(model, node, kind);
        }
        else if (kind < 12) {
            deliver_proposal(model);
        }
        else if (kind == 12) {
            advance_moves(model);
        }
        else if (kind == 13) {
            send_operator_command(model);
        }
        else if (choose(model, 3) == 0) {
            inject_fault(model, node);
        }
        check_budgets(model);
        check_dispatch(model);
    }
    if (recover && report->failure == NULL) {
        end_faults(model);
        check_quiescence(model);
    }
    for (i = 0; i < NODES; i++) {
        stop_node(model, &model->nodes[i]);
        Buf_Free(&model->nodes[i].disk);
    }
    for (i = 0; i < MAX_PROPOSALS; i++) {
        Buf_Free(&model->queue[i]);
    }
    for (i = 0; i < MAX_LOG_ENTRIES; i++) {
        Buf_Free(&model->log[i]);
    }
    free(model->log);
    State_Free(model->leader_state);
    free(model);
}
