#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "diag.h"
#include "replica.h"
#include "replica_plan.h"
#include "support.h"
#include "support_storage.h"

#define MAX_NODES 5
#define MAX_INDEX 20000
#define MAX_COOKIES 20000
#define MAX_MESSAGES 4096
#define STEP_MS 10

typedef struct Cluster Cluster;

typedef struct Node {
    Cluster *cluster;
    size_t slot;
    char name[16];
    char data_centre[16];
    MemStorage *disk;
    Replica *replica; /* NULL while crashed */
    int64_t down_until_ms;
    int64_t frozen_until_ms;
    int64_t sync_due_ms; /* end of the asynchronous sync; 0 if there is none */
    bool sync_stalled;   /* the asynchronous sync does not end */
    int64_t stalled_until_ms;
    int64_t full_until_ms; /* until then writes to the disk fail */
    /* State of the machine: index of the last command and hash of all
     * commands. */
    uint64_t index;
    uint64_t history_hash;
    uint64_t max_applied; /* highest applied index of this identity */
} Node;

typedef struct Message {
    int64_t due_ms;
    size_t from;
    uint64_t from_identity;
    uint64_t to;
    char *bytes;
    size_t len;
} Message;

struct Cluster {
    Rng rng;
    int64_t time_ms; /* simulated time */
    size_t count;
    size_t voters;
    Node nodes[MAX_NODES];
    bool blocked[MAX_NODES][MAX_NODES];
    int64_t heal_at_ms;
    bool faults_disabled;
    bool default_timeouts; /* defaults instead of short timeouts */
    bool async_sync;       /* nodes continue while their logs are synced */
    bool proposals_disabled;
    bool wipe_pending;
    uint64_t snapshot_entries;
    size_t command_bytes; /* length of each proposed command */
    Message messages[MAX_MESSAGES];
    size_t message_count;
    /* History on which all nodes must agree. */
    uint64_t history_hash[MAX_INDEX];
    uint64_t cookie_at[MAX_INDEX]; /* cookie of the command at each index */
    uint64_t acked_index;
    int outcome[MAX_COOKIES];       /* a Status, or -1 while pending */
    uint64_t acked_at[MAX_COOKIES]; /* index of each acknowledged command */
    uint64_t cookie_count;
    uint64_t min_read_index[MAX_COOKIES];
    uint64_t read_count;
    bool read_answered[MAX_COOKIES];
    size_t reads_answered;
    size_t acks;
    size_t reads_done;
    size_t wipes;
    size_t crashes;
    size_t restores;
    size_t ended; /* nodes whose log failed */
    size_t sent_bytes[MAX_NODES];
    size_t votes_granted[MAX_NODES];
    size_t elections_won[MAX_NODES];
};

/* Padding of each snapshot; a test may raise it above the size of a chunk. */
static size_t snapshot_padding = 40;

static void
machine_apply(void *machine, uint64_t index, const char *command, size_t len,
              Buf *result)
{
    Node *node = machine;
    Cluster *cluster = node->cluster;
    uint64_t cookie = 0;

    ck_assert_uint_gt(index, node->index);
    ck_assert_uint_lt(index, MAX_INDEX);
    ck_assert_uint_eq(len, cluster->command_bytes);
    memcpy(&cookie, command, sizeof(cookie));
    node->index = index;
    node->history_hash = XXH64(command, len, node->history_hash ^ index);
    if (cluster->history_hash[index] == 0) {
        cluster->history_hash[index] = node->history_hash;
        cluster->cookie_at[index] = cookie;
    }
    ck_assert_msg(cluster->history_hash[index] == node->history_hash,
                  "histories differ at entry %llu", (unsigned long long)index);
    Buf_Append(result, &node->history_hash, sizeof(node->history_hash));
}

static void
machine_snapshot(const void *machine, Buf *out)
{
    const Node *node = machine;
    char padding[1024] = {0};
    size_t left = snapshot_padding;

    Buf_Append(out, &node->index, sizeof(node->index));
    Buf_Append(out, &node->history_hash, sizeof(node->history_hash));
    while (left > 0) {
        size_t part = left < sizeof(padding) ? left : sizeof(padding);

        Buf_Append(out, padding, part);
        left -= part;
    }
}

static Status
machine_restore(void *machine, const char *bytes, size_t len)
{
    Node *node = machine;

    if (len != 16 + snapshot_padding) {
        return ST_CORRUPT;
    }
    memcpy(&node->index, bytes, 8);
    memcpy(&node->history_hash, bytes + 8, 8);
    node->cluster->restores++;
    return ST_OK;
}

static const ReplicaMachineOps machine_ops = {machine_apply, machine_snapshot,
                                              machine_restore};

static void
enqueue_message(Cluster *cluster, Node *node, uint64_t to, const char *bytes,
                size_t len)
{
    Message *message;

    if (cluster->message_count == MAX_MESSAGES) {
        return; /* messages are lost when the queue is full */
    }
    message = &cluster->messages[cluster->message_count++];
    message->due_ms = cluster->time_ms + 1 + Rng_Below(&cluster->rng, 25);
    message->from = node->slot;
    message->from_identity = Replica_GetIdentity(node->replica);
    message->to = to;
    message->bytes = malloc(len);
    message->len = len;
    memcpy(message->bytes, bytes, len);
}

static void
on_send(void *arg, uint64_t to, const char *bytes, size_t len)
{
    Node *node = arg;
    Cluster *cluster = node->cluster;

    cluster->sent_bytes[node->slot] += len;
    if (!cluster->faults_disabled && Rng_Below(&cluster->rng, 100) < 4) {
        return;
    }
    enqueue_message(cluster, node, to, bytes, len);
    if (!cluster->faults_disabled && Rng_Below(&cluster->rng, 100) < 4) {
        enqueue_message(cluster, node, to, bytes, len);
    }
}

static void
on_applied(void *arg, uint64_t index, const char *command, size_t len,
           const Buf *result)
{
    Node *node = arg;

    (void)command;
    (void)len;
    ck_assert_uint_eq(index, node->index);
    ck_assert_uint_eq(result->len, 8);
}

static void
on_proposed(void *arg, uint64_t cookie, Status status, uint64_t index,
            const Buf *result)
{
    Cluster *cluster = ((Node *)arg)->cluster;

    ck_assert_int_eq(cluster->outcome[cookie], -1);
    cluster->outcome[cookie] = (int)status;
    if (status == ST_OK) {
        ck_assert_uint_eq(cluster->cookie_at[index], cookie);
        ck_assert_mem_eq(result->data, &cluster->history_hash[index], 8);
        cluster->acked_at[cookie] = index;
        cluster->acks++;
        if (index > cluster->acked_index) {
            cluster->acked_index = index;
        }
    }
    else {
        ck_assert(status == ST_AGAIN || status == ST_NOT_LEADER);
    }
}

static void
on_read_ready(void *arg, uint64_t cookie, Status status, uint64_t index)
{
    Node *node = arg;
    Cluster *cluster = node->cluster;

    ck_assert(!cluster->read_answered[cookie]);
    cluster->read_answered[cookie] = true;
    cluster->reads_answered++;
    if (status == ST_OK) {
        ck_assert_uint_ge(index, cluster->min_read_index[cookie]);
        ck_assert_uint_ge(Replica_GetAppliedIndex(node->replica), index);
        cluster->reads_done++;
    }
}

static void
on_election_event(void *arg, const RaftEvent *event)
{
    Node *node = arg;
    Cluster *cluster = node->cluster;

    cluster->votes_granted[node->slot] +=
        event->kind == RAFT_EVENT_VOTE_ANSWERED && !event->prevote &&
        event->verdict == RAFT_VERDICT_GRANTED;
    cluster->elections_won[node->slot] +=
        event->kind == RAFT_EVENT_ELECTION_ENDED && !event->prevote &&
        event->outcome == RAFT_ELECTION_WON;
}

static void
on_sync(void *arg)
{
    Node *node = arg;

    ck_assert_int_eq(node->sync_due_ms, 0);
    node->sync_due_ms =
        node->cluster->time_ms + 1 + Rng_Below(&node->cluster->rng, 40);
}

static void
finish_sync(Node *node)
{
    ErrCtx err = {ST_OK, ""};
    Status status;

    if (node->sync_due_ms > 0 && !node->sync_stalled &&
        node->sync_due_ms <= node->cluster->time_ms) {
        node->sync_due_ms = 0;
        status = Storage_Sync(MemStorage_GetStorage(node->disk), "log", &err);
        Replica_FinishSync(node->replica, status, &err);
    }
}

static Status
open_node(Node *node, bool init, ErrCtx *err)
{
    ReplicaOptions options = REPLICA_OPTIONS_DEFAULT;

    options.name = node->name;
    options.data_centre = node->data_centre;
    options.init = init;
    options.seed = Rng_Next(&node->cluster->rng);
    options.now_ms = node->cluster->time_ms;
    if (!node->cluster->default_timeouts) {
        options.election_ms = 200;
        options.heartbeat_ms = 40;
    }
    options.snapshot_entries = node->cluster->snapshot_entries;
    options.voters = node->cluster->voters;
    options.machine_ops = &machine_ops;
    options.machine = node;
    options.arg = node;
    options.send = on_send;
    options.sync = node->cluster->async_sync ? on_sync : NULL;
    options.applied = on_applied;
    options.proposed = on_proposed;
    options.read_ready = on_read_ready;
    options.election_event = on_election_event;
    node->index = 0;
    node->history_hash = 0;
    return Replica_Open(&options, MemStorage_GetStorage(node->disk),
                        &node->replica, err);
}

static void
start_node(Node *node, bool init)
{
    ErrCtx err = {ST_OK, ""};
    Status status = open_node(node, init, &err);

    ck_assert_msg(status == ST_OK, "%s: %s", node->name, err.message);
}

/* Starts a node, or tries again later if its disk is full. */
static void
restart_node(Node *node)
{
    ErrCtx err = {ST_OK, ""};
    Status status = open_node(node, false, &err);

    ck_assert_msg(status == ST_OK ||
                      (status == ST_FULL && node->full_until_ms > 0),
                  "%s: %s", node->name, err.message);
    if (status != ST_OK) {
        node->replica = NULL;
        node->down_until_ms = node->cluster->time_ms + 500;
    }
}

/* Kills the process. The page cache of its disk stays. */
static void
kill_node(Node *node, int64_t down_ms)
{
    Cluster *cluster = node->cluster;

    MemStorage_SetOffline(node->disk, true);
    Replica_Close(node->replica);
    node->replica = NULL;
    node->sync_due_ms = 0;
    MemStorage_SetOffline(node->disk, false);
    MemStorage_FailSync(node->disk, -1);
    node->down_until_ms = cluster->time_ms + down_ms;
}

static void
crash_node(Node *node, int64_t down_ms)
{
    Cluster *cluster = node->cluster;

    kill_node(node, down_ms);
    MemStorage_Crash(node->disk, &cluster->rng);
    cluster->crashes++;
}

/* Kills the process or cuts the power. */
static void
kill_or_crash_node(Node *node, int64_t down_ms)
{
    if (Rng_Below(&node->cluster->rng, 2) == 0) {
        kill_node(node, down_ms);
    }
    else {
        crash_node(node, down_ms);
    }
}

static Cluster *
create_cluster(uint64_t seed, size_t count, size_t voters,
               bool default_timeouts, bool async_sync)
{
    Cluster *cluster = calloc(1, sizeof(*cluster));
    size_t i;

    cluster->default_timeouts = default_timeouts;
    cluster->async_sync = async_sync;
    cluster->snapshot_entries = 60;
    cluster->command_bytes = sizeof(uint64_t);
    Diag_Init("test", DIAG_ERROR);
    Rng_Seed(&cluster->rng, seed);
    cluster->count = count;
    cluster->voters = voters;
    for (i = 0; i < count; i++) {
        Node *node = &cluster->nodes[i];

        node->cluster = cluster;
        node->slot = i;
        snprintf(node->name, sizeof(node->name), "n%zu", i);
        snprintf(node->data_centre, sizeof(node->data_centre), "dc%zu", i % 3);
        node->disk = MemStorage_New();
        start_node(node, i == 0);
    }
    return cluster;
}

static void
free_cluster(Cluster *cluster)
{
    size_t i;

    for (i = 0; i < cluster->count; i++) {
        Replica_Close(cluster->nodes[i].replica);
        MemStorage_Free(cluster->nodes[i].disk);
    }
    for (i = 0; i < cluster->message_count; i++) {
        free(cluster->messages[i].bytes);
    }
    free(cluster);
}

static Node *
find_node(Cluster *cluster, uint64_t identity)
{
    size_t i;

    for (i = 0; i < cluster->count; i++) {
        if (cluster->nodes[i].replica != NULL &&
            Replica_GetIdentity(cluster->nodes[i].replica) == identity) {
            return &cluster->nodes[i];
        }
    }
    return NULL;
}

static Node *
find_leader(Cluster *cluster)
{
    Node *best = NULL;
    size_t i;

    for (i = 0; i < cluster->count; i++) {
        Node *node = &cluster->nodes[i];

        if (node->replica != NULL &&
            Replica_GetRole(node->replica) == RAFT_LEADER &&
            (best == NULL || Replica_GetTerm(node->replica) >
                                 Replica_GetTerm(best->replica))) {
            best = node;
        }
    }
    return best;
}

static void
deliver_messages(Cluster *cluster)
{
    size_t kept = 0;
    size_t count = cluster->message_count;
    size_t i;

    for (i = 0; i < count; i++) {
        Message message = cluster->messages[i];
        Node *node = find_node(cluster, message.to);

        if (message.due_ms > cluster->time_ms ||
            (node != NULL && node->frozen_until_ms > cluster->time_ms)) {
            cluster->messages[kept++] = message;
            continue;
        }
        if (node != NULL && !cluster->blocked[message.from][node->slot]) {
            Replica_HandleMessage(node->replica, cluster->time_ms,
                                  message.from_identity, message.bytes,
                                  message.len);
        }
        free(message.bytes);
    }
    cluster->message_count = kept;
}

/* Records every node on every other node that it can reach. */
static void
record_nodes(Cluster *cluster)
{
    size_t i;
    size_t k;

    for (i = 0; i < cluster->count; i++) {
        for (k = 0; k < cluster->count; k++) {
            const Node *from = &cluster->nodes[i];
            const Node *to = &cluster->nodes[k];
            RaftMember member = {0};

            if (i == k || from->replica == NULL || to->replica == NULL ||
                cluster->blocked[i][k]) {
                continue;
            }
            member.identity = Replica_GetIdentity(from->replica);
            snprintf(member.name, sizeof(member.name), "%s", from->name);
            snprintf(member.data_centre, sizeof(member.data_centre), "%s",
                     from->data_centre);
            Replica_RecordNode(to->replica, cluster->time_ms, &member);
        }
    }
}

static void
propose_and_read(Cluster *cluster)
{
    Node *node =
        &cluster->nodes[Rng_Below(&cluster->rng, (uint32_t)cluster->count)];
    uint64_t cookie = cluster->cookie_count;

    if (node->replica == NULL || node->frozen_until_ms > cluster->time_ms ||
        cookie + 1 >= MAX_COOKIES || cluster->read_count + 1 >= MAX_COOKIES) {
        return;
    }
    cluster->outcome[cookie] = -1;
    if (Replica_Propose(node->replica, cluster->time_ms, (const char *)&cookie,
                        sizeof(cookie), cookie) == ST_OK) {
        cluster->cookie_count++;
    }
    cluster->min_read_index[cluster->read_count] = cluster->acked_index;
    if (Replica_ReadIndex(node->replica, cluster->time_ms,
                          cluster->read_count) == ST_OK) {
        cluster->read_count++;
    }
}

/* Returns whether all members are running, the number of voters is as wanted
 * and the leader has committed its whole log. */
static bool
is_healthy(Cluster *cluster)
{
    Node *leader = find_leader(cluster);
    const RaftMembers *members;
    size_t i;

    if (leader == NULL) {
        return false;
    }
    members = Replica_GetMembers(leader->replica);
    for (i = 0; i < members->count; i++) {
        if (find_node(cluster, members->list[i].identity) == NULL) {
            return false;
        }
    }
    return RaftMembers_CountVoters(members) == cluster->voters &&
           Replica_GetCommitIndex(leader->replica) ==
               Replica_GetLastIndex(leader->replica);
}

static void
inject_fault(Cluster *cluster)
{
    Node *node =
        &cluster->nodes[Rng_Below(&cluster->rng, (uint32_t)cluster->count)];
    size_t i;
    size_t k;

    if (node->replica == NULL) {
        return;
    }
    switch (Rng_Below(&cluster->rng, 5)) {
    case 0:
        kill_or_crash_node(node, Rng_Below(&cluster->rng, 600));
        break;
    case 1:
        node->frozen_until_ms =
            cluster->time_ms + Rng_Below(&cluster->rng, 900);
        break;
    case 2:
        MemStorage_FailSync(node->disk, (int)Rng_Below(&cluster->rng, 3));
        break;
    case 3:
        for (i = 0; i < cluster->count; i++) {
            for (k = 0; k < cluster->count; k++) {
                cluster->blocked[i][k] = Rng_Below(&cluster->rng, 3) == 0;
            }
        }
        cluster->heal_at_ms = cluster->time_ms + Rng_Below(&cluster->rng, 900);
        break;
    default:
        cluster->wipe_pending = true;
        break;
    }
}

/* Deletes a disk as soon as the cluster can tolerate it, which is often right
 * after another deleted disk was replaced. */
static void
wipe_disk(Cluster *cluster)
{
    Node *node =
        &cluster->nodes[Rng_Below(&cluster->rng, (uint32_t)cluster->count)];

    if (cluster->wipe_pending && node->replica != NULL &&
        is_healthy(cluster)) {
        crash_node(node, Rng_Below(&cluster->rng, 300));
        MemStorage_Wipe(node->disk);
        node->max_applied = 0;
        cluster->wipes++;
        cluster->wipe_pending = Rng_Below(&cluster->rng, 2) == 0;
    }
}

/* Lets writes to a full disk fail, and ends faults of the disk that are over.
 */
static void
update_disk(Node *node)
{
    int64_t now_ms = node->cluster->time_ms;

    if (node->full_until_ms > now_ms) {
        MemStorage_FailWrite(node->disk, 0);
    }
    else if (node->full_until_ms > 0) {
        MemStorage_FailWrite(node->disk, -1);
        node->full_until_ms = 0;
    }
    if (node->stalled_until_ms > 0 && node->stalled_until_ms <= now_ms) {
        node->sync_stalled = false;
        node->stalled_until_ms = 0;
    }
}

static void
run_node(Node *node)
{
    Cluster *cluster = node->cluster;
    uint64_t before;

    update_disk(node);
    if (node->replica == NULL) {
        if (node->down_until_ms <= cluster->time_ms) {
            restart_node(node);
        }
        return;
    }
    if (node->frozen_until_ms > cluster->time_ms) {
        return;
    }
    before = Replica_GetAppliedIndex(node->replica);
    finish_sync(node);
    if (Replica_Tick(node->replica, cluster->time_ms) != ST_OK) {
        cluster->ended++;
        kill_or_crash_node(node, Rng_Below(&cluster->rng, 300));
        return;
    }
    ck_assert_uint_ge(Replica_GetAppliedIndex(node->replica), before);
    if (Replica_IsCaughtUp(node->replica)) {
        ck_assert_uint_ge(Replica_GetAppliedIndex(node->replica),
                          node->max_applied);
        node->max_applied = Replica_GetAppliedIndex(node->replica);
    }
}

static void
run_step(Cluster *cluster)
{
    size_t i;

    cluster->time_ms += STEP_MS;
    if (cluster->time_ms >= cluster->heal_at_ms || cluster->faults_disabled) {
        memset(cluster->blocked, 0, sizeof(cluster->blocked));
    }
    if (cluster->time_ms % 50 == 0) {
        record_nodes(cluster);
    }
    if (!cluster->faults_disabled && Rng_Below(&cluster->rng, 30) == 0) {
        inject_fault(cluster);
    }
    if (!cluster->faults_disabled) {
        wipe_disk(cluster);
    }
    deliver_messages(cluster);
    if (!cluster->proposals_disabled) {
        propose_and_read(cluster);
        propose_and_read(cluster);
    }
    for (i = 0; i < cluster->count; i++) {
        run_node(&cluster->nodes[i]);
    }
}

static bool
has_converged(Cluster *cluster)
{
    size_t i;

    if (!is_healthy(cluster)) {
        return false;
    }
    for (i = 0; i < cluster->count; i++) {
        const Node *node = &cluster->nodes[i];

        if (node->replica == NULL ||
            Replica_GetAppliedIndex(node->replica) < cluster->acked_index ||
            !Replica_IsCaughtUp(node->replica)) {
            return false;
        }
    }
    return true;
}

/* Prints the state of each node, to analyse a failed seed. */
static void
print_cluster(const Cluster *cluster)
{
    size_t i;
    size_t k;

    for (i = 0; i < cluster->count; i++) {
        const Node *node = &cluster->nodes[i];
        const RaftMembers *members;

        if (node->replica == NULL) {
            printf("%s: down\n", node->name);
            continue;
        }
        members = Replica_GetMembers(node->replica);
        printf("%s: %04x role %d term %llu applied %llu commit %llu last %llu "
               "caught up %d members",
               node->name,
               (unsigned)(Replica_GetIdentity(node->replica) >> 48),
               (int)Replica_GetRole(node->replica),
               (unsigned long long)Replica_GetTerm(node->replica),
               (unsigned long long)Replica_GetAppliedIndex(node->replica),
               (unsigned long long)Replica_GetCommitIndex(node->replica),
               (unsigned long long)Replica_GetLastIndex(node->replica),
               (int)Replica_IsCaughtUp(node->replica));
        for (k = 0; k < members->count; k++) {
            printf(" %s=%04x%s", members->list[k].name,
                   (unsigned)(members->list[k].identity >> 48),
                   members->list[k].voter ? "v" : "");
        }
        printf("\n");
    }
}

/* Ends all faults and waits until the cluster has converged. */
static void
heal_and_converge(Cluster *cluster, uint64_t seed)
{
    int i;

    cluster->faults_disabled = true;
    for (i = 0; i < (int)cluster->count; i++) {
        cluster->nodes[i].frozen_until_ms = 0;
        cluster->nodes[i].down_until_ms = 0;
        MemStorage_FailSync(cluster->nodes[i].disk, -1);
    }
    for (i = 0; i < 1500 && !has_converged(cluster); i++) {
        /* With asynchronous syncs and new proposals in each step, the last
         * entry is hardly ever committed, so proposals stop halfway. */
        cluster->proposals_disabled =
            cluster->proposals_disabled || (cluster->async_sync && i == 750);
        run_step(cluster);
    }
    if (!has_converged(cluster)) {
        print_cluster(cluster);
    }
    ck_assert_msg(has_converged(cluster),
                  "seed %llu: the cluster did not converge",
                  (unsigned long long)seed);
}

static void
check_history(const Cluster *cluster)
{
    uint64_t cookie;
    uint64_t index;

    for (cookie = 0; cookie < cluster->cookie_count; cookie++) {
        if (cluster->outcome[cookie] == (int)ST_OK) {
            ck_assert_uint_eq(cluster->cookie_at[cluster->acked_at[cookie]],
                              cookie);
        }
    }
    for (index = 1; index < MAX_INDEX; index++) {
        if (cluster->history_hash[index] != 0) {
            ck_assert_int_ne(cluster->outcome[cluster->cookie_at[index]],
                             (int)ST_NOT_LEADER);
        }
    }
}

/* Checks that no proposal or read is left without an answer. */
static void
check_answers(Cluster *cluster, uint64_t seed)
{
    uint64_t cookie;
    int i;

    cluster->proposals_disabled = true;
    for (i = 0; i < 100; i++) {
        run_step(cluster);
    }
    for (cookie = 0; cookie < cluster->cookie_count; cookie++) {
        ck_assert_msg(cluster->outcome[cookie] != -1,
                      "seed %llu: proposal %llu has no outcome",
                      (unsigned long long)seed, (unsigned long long)cookie);
    }
    ck_assert_msg(cluster->reads_answered == cluster->read_count,
                  "seed %llu: %zu of %llu reads were answered",
                  (unsigned long long)seed, cluster->reads_answered,
                  (unsigned long long)cluster->read_count);
}

/* Guards against lost acknowledged entries, different entries at one index,
 * applied state that goes back, stale reads, missing or repeated callbacks,
 * and a cluster that does not recover, with all kinds of faults combined. */
START_TEST(survives_faults)
{
    static size_t acks;
    static size_t reads;
    static size_t wipes;
    static size_t crashes;
    static size_t restores;
    uint64_t seed = (uint64_t)_i + 1;
    Cluster *cluster = create_cluster(seed, 3 + (size_t)_i % 3,
                                      _i % 3 == 2 ? 5 : 3, false, _i >= 200);
    int i;

    for (i = 0; i < 800; i++) {
        run_step(cluster);
    }
    heal_and_converge(cluster, seed);
    check_answers(cluster, seed);
    check_history(cluster);
    acks += cluster->acks;
    reads += cluster->reads_done;
    wipes += cluster->wipes;
    crashes += cluster->crashes;
    restores += cluster->restores;
    ck_assert_uint_gt(cluster->acks, 0);
    free_cluster(cluster);
    if (_i % 200 == 199) {
        /* The seeds must cause enough faults of each kind. */
        printf("acks %zu, reads %zu, wipes %zu, crashes %zu, restores %zu\n",
               acks, reads, wipes, crashes, restores);
        ck_assert_uint_gt(wipes, 200);
        ck_assert_uint_gt(crashes, 1000);
        ck_assert_uint_gt(restores, 200);
        ck_assert_uint_gt(reads, 1000);
        acks = reads = wipes = crashes = restores = 0;
    }
}
END_TEST

/* Guards against a wiped or new node that starts a second cluster, and against
 * --init on a folder that already has an identity. */
START_TEST(only_init_starts_a_cluster)
{
    Cluster *cluster = create_cluster(1, 3, 3, false, false);
    Node *node = &cluster->nodes[2];
    ErrCtx err = {ST_OK, ""};
    int i;

    cluster->faults_disabled = true;
    cluster->proposals_disabled = true;
    for (i = 0; i < (int)cluster->count; i++) {
        cluster->nodes[i].frozen_until_ms = i < 2 ? INT64_MAX : 0;
    }
    for (i = 0; i < 1000; i++) {
        run_step(cluster);
    }
    ck_assert_int_eq(Replica_GetRole(node->replica), RAFT_FOLLOWER);
    ck_assert_uint_eq(cluster->sent_bytes[2], 0);
    ck_assert_uint_eq(Replica_GetCluster(node->replica), 0);
    ck_assert(!Replica_IsCaughtUp(node->replica));
    Replica_Close(node->replica);
    node->replica = NULL;
    ck_assert_int_eq(open_node(node, true, &err), ST_EXISTS);
    start_node(node, false);
    heal_and_converge(cluster, 1);
    ck_assert_uint_eq(Replica_GetCluster(node->replica),
                      Replica_GetCluster(cluster->nodes[0].replica));
    free_cluster(cluster);
}
END_TEST

/* Starts nodes of which none founds a cluster. */
static Cluster *
create_waiting_cluster(uint64_t seed)
{
    Cluster *cluster = create_cluster(seed, 3, 3, false, false);
    Node *node = &cluster->nodes[0];

    cluster->faults_disabled = true;
    Replica_Close(node->replica);
    MemStorage_Wipe(node->disk);
    start_node(node, false);
    return cluster;
}

static Status
found_cluster(Node *node)
{
    ErrCtx err = {ST_OK, ""};

    return Replica_Found(node->replica, MemStorage_GetStorage(node->disk),
                         node->cluster->time_ms, &err);
}

/* Guards against a node that cannot found once it waits for a leader, and
 * against one that leaves its cluster for a second one. */
START_TEST(waiting_node_founds_once)
{
    Cluster *cluster = create_waiting_cluster(11);
    Node *node = &cluster->nodes[0];
    uint64_t identity = Replica_GetIdentity(node->replica);
    uint64_t id;

    ck_assert_uint_eq(Replica_GetCluster(node->replica), 0);
    ck_assert_int_eq(found_cluster(node), ST_OK);
    ck_assert_uint_eq(Replica_GetIdentity(node->replica), identity);
    id = Replica_GetCluster(node->replica);
    ck_assert_uint_ne(id, 0);
    heal_and_converge(cluster, 11);
    ck_assert_int_eq(found_cluster(node), ST_EXISTS);
    ck_assert_int_eq(found_cluster(&cluster->nodes[1]), ST_EXISTS);
    crash_node(node, 0);
    start_node(node, false);
    ck_assert_uint_eq(Replica_GetCluster(node->replica), id);
    heal_and_converge(cluster, 11);
    free_cluster(cluster);
}
END_TEST

/* Guards against a folder that cannot be opened after a crash while the
 * cluster is founded; _i writes succeed. */
START_TEST(crash_while_founding_can_be_repeated)
{
    Cluster *cluster = create_waiting_cluster(12);
    Node *node = &cluster->nodes[0];
    Status status;

    MemStorage_FailWrite(node->disk, _i);
    status = found_cluster(node);
    ck_assert(status == ST_OK ||
              Replica_GetFailure(node->replica, NULL) == status);
    crash_node(node, 0);
    start_node(node, false);
    if (Replica_GetCluster(node->replica) == 0) {
        ck_assert_int_ne(status, ST_OK);
        ck_assert_int_eq(found_cluster(node), ST_OK);
    }
    heal_and_converge(cluster, 12);
    free_cluster(cluster);
}
END_TEST

/* Requests the vote of node 0. Returns whether the vote is granted. */
static bool
request_vote(Cluster *cluster, uint64_t from)
{
    static RaftMsg request;
    static RaftMsg reply;
    Node *node = &cluster->nodes[0];
    Buf bytes = BUF_INIT;
    Message *message;

    request.type = RAFT_MSG_REQUEST_VOTE;
    request.cluster = Replica_GetCluster(node->replica);
    request.from = from;
    request.to = Replica_GetIdentity(node->replica);
    request.term = 5;
    request.index = 10;
    request.log_term = 4;
    RaftMsg_Encode(&request, &bytes);
    ck_assert_int_eq(Replica_HandleMessage(node->replica, cluster->time_ms,
                                           from, bytes.data, bytes.len),
                     ST_OK);
    ck_assert_int_eq(Replica_HandleMessage(node->replica, cluster->time_ms,
                                           from + 1, bytes.data, bytes.len),
                     ST_STALE);
    ck_assert_int_eq(Replica_Flush(node->replica, cluster->time_ms), ST_OK);
    ck_assert_uint_gt(cluster->message_count, 0);
    message = &cluster->messages[cluster->message_count - 1];
    ck_assert_uint_eq(message->to, from);
    ck_assert_int_eq(
        RaftMsg_Decode(message->bytes, message->len, &reply, NULL), ST_OK);
    ck_assert_int_eq(reply.type, RAFT_MSG_VOTE_REPLY);
    Buf_Free(&bytes);
    return !reply.reject;
}

/* Guards against a second vote in one term after a crash, and against a vote
 * that is sent before it is durable. */
START_TEST(vote_survives_a_crash)
{
    Cluster *cluster = create_cluster(4, 1, 1, true, false);
    Node *node = &cluster->nodes[0];

    cluster->faults_disabled = true;
    ck_assert(request_vote(cluster, 77));
    crash_node(node, 0);
    start_node(node, false);
    ck_assert_uint_eq(Replica_GetTerm(node->replica), 5);
    ck_assert(!request_vote(cluster, 88));
    ck_assert(request_vote(cluster, 77));
    free_cluster(cluster);
}
END_TEST

/* Guards against messages, acknowledgements and applied entries after a failed
 * sync. */
START_TEST(failed_sync_stops_a_replica)
{
    Cluster *cluster = create_cluster(5, 3, 3, false, false);
    Node *leader;
    const char *message = NULL;
    uint64_t cookie;
    uint64_t applied;
    size_t sent;

    cluster->faults_disabled = true;
    heal_and_converge(cluster, 5);
    leader = find_leader(cluster);
    cookie = cluster->cookie_count++;
    cluster->outcome[cookie] = -1;
    ck_assert_int_eq(Replica_Propose(leader->replica, cluster->time_ms,
                                     (const char *)&cookie, 8, cookie),
                     ST_OK);
    sent = cluster->sent_bytes[leader->slot];
    applied = Replica_GetAppliedIndex(leader->replica);
    MemStorage_FailSync(leader->disk, 0);
    ck_assert_int_eq(Replica_Flush(leader->replica, cluster->time_ms), ST_IO);
    ck_assert_int_eq(cluster->outcome[cookie], (int)ST_AGAIN);
    ck_assert_int_eq(Replica_GetRole(leader->replica), RAFT_FOLLOWER);
    ck_assert_int_eq(Replica_Tick(leader->replica, cluster->time_ms + 60000),
                     ST_IO);
    ck_assert_int_eq(Replica_Propose(leader->replica, cluster->time_ms,
                                     (const char *)&cookie, 8, cookie),
                     ST_IO);
    ck_assert_uint_eq(cluster->sent_bytes[leader->slot], sent);
    ck_assert_uint_eq(Replica_GetAppliedIndex(leader->replica), applied);
    ck_assert_int_eq(Replica_GetFailure(leader->replica, &message), ST_IO);
    ck_assert_str_eq(message, "log: sync failed");
    free_cluster(cluster);
}
END_TEST

/* Guards against a leader that keeps its role while its own sync hangs, but
 * commits nothing. */
START_TEST(stalled_sync_of_the_leader_delays_no_commit)
{
    const int64_t max_ack_ms = 1000;
    Cluster *cluster = create_cluster(6, 3, 3, true, true);
    Node *leader;
    uint64_t first;
    uint64_t checked;
    int64_t begun_ms;

    cluster->faults_disabled = true;
    cluster->proposals_disabled = true;
    heal_and_converge(cluster, 6);
    leader = find_leader(cluster);
    leader->sync_stalled = true;
    cluster->proposals_disabled = false;
    first = checked = cluster->cookie_count;
    begun_ms = cluster->time_ms;
    while (cluster->time_ms - begun_ms < 10 * max_ack_ms) {
        uint64_t proposed = cluster->cookie_count;
        int64_t until_ms = cluster->time_ms + max_ack_ms;

        while (cluster->time_ms < until_ms) {
            run_step(cluster);
        }
        for (; checked < proposed; checked++) {
            ck_assert_msg(cluster->outcome[checked] == (int)ST_OK,
                          "proposal %llu: outcome %d",
                          (unsigned long long)(checked - first),
                          cluster->outcome[checked]);
        }
    }
    ck_assert_ptr_eq(find_leader(cluster), leader);
    ck_assert_uint_gt(checked - first, 500);
    leader->sync_stalled = false;
    heal_and_converge(cluster, 6);
    check_answers(cluster, 6);
    free_cluster(cluster);
}
END_TEST

/* Guards against a leader that keeps its role while no other voter syncs its
 * log, and does not tell that it commits nothing. */
START_TEST(age_of_uncommitted_entries_grows_while_voters_do_not_sync)
{
    const int64_t stalled_ms = 3000;
    const int64_t usual_ms = 500;
    Cluster *cluster = create_cluster(8, 3, 3, true, true);
    Node *leader;
    int64_t until_ms;
    size_t i;

    cluster->faults_disabled = true;
    cluster->proposals_disabled = true;
    heal_and_converge(cluster, 8);
    leader = find_leader(cluster);
    ck_assert_int_eq(
        Replica_GetUncommittedAgeMs(leader->replica, cluster->time_ms), 0);
    for (i = 0; i < cluster->count; i++) {
        cluster->nodes[i].sync_stalled = &cluster->nodes[i] != leader;
    }
    cluster->proposals_disabled = false;
    until_ms = cluster->time_ms + stalled_ms;
    while (cluster->time_ms < until_ms) {
        run_step(cluster);
    }
    ck_assert_ptr_eq(find_leader(cluster), leader);
    ck_assert_int_gt(
        Replica_GetUncommittedAgeMs(leader->replica, cluster->time_ms),
        stalled_ms - usual_ms);
    for (i = 0; i < cluster->count; i++) {
        cluster->nodes[i].sync_stalled = false;
    }
    until_ms = cluster->time_ms + stalled_ms;
    while (cluster->time_ms < until_ms) {
        run_step(cluster);
    }
    ck_assert_int_lt(
        Replica_GetUncommittedAgeMs(leader->replica, cluster->time_ms),
        usual_ms);
    free_cluster(cluster);
}
END_TEST

START_TEST(election_after_loss_of_the_leader_is_reported)
{
    Cluster *cluster = create_cluster(7, 3, 3, false, false);
    Node *old;
    Node *leader = NULL;
    size_t votes = 0;
    size_t won[MAX_NODES];
    int i;

    cluster->faults_disabled = true;
    heal_and_converge(cluster, 7);
    old = find_leader(cluster);
    memcpy(won, cluster->elections_won, sizeof(won));
    memset(cluster->votes_granted, 0, sizeof(cluster->votes_granted));
    kill_node(old, 5000);
    for (i = 0; i < 400 && leader == NULL; i++) {
        run_step(cluster);
        leader = find_leader(cluster);
    }
    ck_assert_ptr_nonnull(leader);
    for (i = 0; i < (int)cluster->count; i++) {
        votes += cluster->votes_granted[i];
        ck_assert_uint_eq(cluster->elections_won[i] - won[i],
                          leader == &cluster->nodes[i]);
    }
    ck_assert_uint_ge(votes, 1);
    ck_assert_uint_eq(cluster->votes_granted[leader->slot], 0);
    free_cluster(cluster);
}
END_TEST

static bool
has_fault(const Cluster *cluster)
{
    size_t i;

    for (i = 0; i < cluster->count; i++) {
        const Node *node = &cluster->nodes[i];

        if (node->replica == NULL || node->full_until_ms > 0 ||
            node->stalled_until_ms > 0 ||
            node->frozen_until_ms > cluster->time_ms) {
            return true;
        }
    }
    return false;
}

/* Injects a fault of a disk, a kill or a power loss, often at the leader. */
static void
inject_disk_fault(Cluster *cluster)
{
    Rng *rng = &cluster->rng;
    Node *leader = find_leader(cluster);
    Node *node = &cluster->nodes[Rng_Below(rng, (uint32_t)cluster->count)];
    int64_t duration_ms = 200 + Rng_Below(rng, 6000);
    size_t i;

    if (leader != NULL && Rng_Below(rng, 2) == 0) {
        node = leader;
    }
    switch (Rng_Below(rng, 6)) {
    case 0:
    case 1:
        node->full_until_ms = cluster->time_ms + duration_ms;
        break;
    case 2:
        node->sync_stalled = true;
        node->stalled_until_ms = cluster->time_ms + duration_ms;
        break;
    case 3:
        /* The stalled disk blocks the thread of the replica, too. */
        node->frozen_until_ms = cluster->time_ms + duration_ms;
        break;
    case 4:
        if (node->replica != NULL) {
            kill_or_crash_node(node, Rng_Below(rng, 3000));
        }
        cluster->wipe_pending = Rng_Below(rng, 2) == 0;
        break;
    default:
        for (i = 0; i < cluster->count; i++) {
            if (cluster->nodes[i].replica != NULL) {
                crash_node(&cluster->nodes[i], Rng_Below(rng, 3000));
            }
        }
        break;
    }
}

/* Guards against a cluster that has no leader any more after faults of disks,
 * kills and power losses, although all nodes are back. */
START_TEST(serves_soon_after_faults_of_disks)
{
    const int64_t max_ms = 12000;
    static int64_t longest_ms;
    static size_t ended;
    static size_t wipes;
    uint64_t seed = (uint64_t)_i + 1;
    size_t voters = 3 + (size_t)_i % 2;
    size_t spares = (size_t)_i % 3 == 0;
    Cluster *cluster =
        create_cluster(seed, voters + spares, voters, true, true);
    uint64_t first;
    int64_t begun_ms;
    int faults;
    int i;

    cluster->faults_disabled = true;
    heal_and_converge(cluster, seed);
    cluster->proposals_disabled = false;
    for (faults = 1 + (int)Rng_Below(&cluster->rng, 8); faults > 0; faults--) {
        inject_disk_fault(cluster);
        for (i = 20 + (int)Rng_Below(&cluster->rng, 300); i > 0; i--) {
            run_step(cluster);
            wipe_disk(cluster);
        }
    }
    cluster->wipe_pending = false;
    while (has_fault(cluster)) {
        run_step(cluster);
    }
    first = cluster->cookie_count;
    begun_ms = cluster->time_ms;
    for (i = 0; i < (int)(max_ms / STEP_MS) &&
                (cluster->cookie_count == first ||
                 cluster->outcome[first] != (int)ST_OK);
         i++) {
        if (cluster->cookie_count > first && cluster->outcome[first] > 0) {
            first = cluster->cookie_count;
        }
        run_step(cluster);
    }
    if (cluster->time_ms - begun_ms >= max_ms) {
        print_cluster(cluster);
    }
    ck_assert_msg(cluster->time_ms - begun_ms < max_ms,
                  "seed %llu: nothing is acknowledged %lld ms after the last "
                  "fault",
                  (unsigned long long)seed, (long long)max_ms);
    if (cluster->time_ms - begun_ms > longest_ms) {
        longest_ms = cluster->time_ms - begun_ms;
    }
    heal_and_converge(cluster, seed);
    check_answers(cluster, seed);
    check_history(cluster);
    ended += cluster->ended;
    wipes += cluster->wipes;
    free_cluster(cluster);
    if (_i % 400 == 399) {
        /* The seeds must cause enough faults of each kind. */
        printf("ended by their disks %zu, wipes %zu, longest %lld ms\n", ended,
               wipes, (long long)longest_ms);
        ck_assert_uint_gt(ended, 400);
        ck_assert_uint_gt(wipes, 50);
    }
}
END_TEST

/* Guards against a cluster that has no leader any more after one node has lost
 * its disk again and again, while the others were sound. */
START_TEST(series_of_losses_of_one_node_keeps_the_others)
{
    const int rounds = 25;
    uint64_t seed = (uint64_t)_i + 1;
    size_t voters = _i % 3 == 0 ? 5 : 3;
    size_t spares = (size_t)_i % 2;
    Cluster *cluster = create_cluster(
        seed, voters + spares > MAX_NODES ? MAX_NODES : voters + spares,
        voters, _i % 2 == 0, true);
    Node *lost = &cluster->nodes[Rng_Below(&cluster->rng, (uint32_t)voters)];
    int round;

    cluster->faults_disabled = true;
    heal_and_converge(cluster, seed);
    cluster->proposals_disabled = false;
    for (round = 0; round < rounds; round++) {
        int64_t end = cluster->time_ms + 20 + Rng_Below(&cluster->rng, 1200);
        while (cluster->time_ms < end) {
            run_step(cluster);
        }
        if (lost->replica != NULL) {
            crash_node(lost, Rng_Below(&cluster->rng, 800));
            MemStorage_Wipe(lost->disk);
            lost->max_applied = 0;
            cluster->wipes++;
        }
    }
    heal_and_converge(cluster, seed);
    check_answers(cluster, seed);
    check_history(cluster);
    free_cluster(cluster);
}
END_TEST

/* Guards against a snapshot of several chunks that never arrives, and against
 * a leader that stops serving while it sends one. */
START_TEST(large_snapshot_reaches_a_new_node)
{
    Cluster *cluster = create_cluster(2, 4, 3, false, false);
    int i;

    snapshot_padding = 400000;
    cluster->nodes[3].frozen_until_ms = 4000;
    cluster->faults_disabled = true;
    for (i = 0; i < 400; i++) {
        run_step(cluster);
    }
    ck_assert_uint_gt(cluster->acks, 100);
    heal_and_converge(cluster, 2);
    ck_assert_uint_ge(cluster->restores, 1);
    check_history(cluster);
    free_cluster(cluster);
    snapshot_padding = 40;
}
END_TEST

/* Guards against a log of large entries that outgrows the memory or the disk,
 * as only their number limited it. */
START_TEST(large_entries_are_compacted)
{
    enum { ENTRY_BYTES = 512 * 1024, ENTRIES = 160 };
    const size_t max_bytes = 32 * 1024 * 1024;
    Cluster *cluster = create_cluster(8, 3, 3, false, false);
    char *command = calloc(1, ENTRY_BYTES);
    size_t i;
    int k;

    cluster->faults_disabled = true;
    cluster->proposals_disabled = true;
    heal_and_converge(cluster, 8);
    /* Few entries follow, so that their number causes no snapshot. */
    for (i = 0; i < 3; i++) {
        Replica_Close(cluster->nodes[i].replica);
        cluster->snapshot_entries = 100000;
        start_node(&cluster->nodes[i], false);
    }
    heal_and_converge(cluster, 8);
    cluster->command_bytes = ENTRY_BYTES;
    for (i = 0; i < ENTRIES; i++) {
        Node *leader = find_leader(cluster);
        uint64_t cookie = cluster->cookie_count++;

        memcpy(command, &cookie, sizeof(cookie));
        cluster->outcome[cookie] = -1;
        ck_assert_int_eq(Replica_Propose(leader->replica, cluster->time_ms,
                                         command, ENTRY_BYTES, cookie),
                         ST_OK);
        for (k = 0; k < 20; k++) {
            run_step(cluster);
        }
        ck_assert_int_eq(cluster->outcome[cookie], (int)ST_OK);
        for (k = 0; k < 3; k++) {
            size_t bytes = Replica_GetMemoryBytes(cluster->nodes[k].replica);
            ck_assert_msg(bytes <= max_bytes, "%zu bytes after %zu entries",
                          bytes, i + 1);
        }
    }
    heal_and_converge(cluster, 8);
    check_history(cluster);
    free(command);
    free_cluster(cluster);
}
END_TEST

/* Guards against a lost voter that is never replaced: if its node does not
 * return with a new identity, a learner on another node has to be promoted. */
START_TEST(lost_voter_is_replaced)
{
    static const struct {
        const char *name;
        bool lost;
        bool caught_up;
        bool promoted;
    } cases[] = {
        {"a voter is lost", true, true, true},
        {"all voters answer", false, true, false},
        {"the spare node lags", true, false, false},
    };
    size_t i;

    for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        RaftMembers members = {.count = 4};
        ReplicaHealth health[4];
        ReplicaPlanInput input = {&members, health, NULL, 0, 1, 3};
        RaftMembers next;
        RaftMember changed;
        const char *reason;
        size_t j;
        for (j = 0; j < 4; j++) {
            members.list[j].identity = j + 1;
            snprintf(members.list[j].name, RAFT_NAME_BYTES, "n%zu", j);
            snprintf(members.list[j].data_centre, RAFT_NAME_BYTES, "dc%zu", j);
            members.list[j].voter = j < 3;
            health[j] = (ReplicaHealth){true, false, true};
        }
        health[2].active = !cases[i].lost;
        health[2].lost = cases[i].lost;
        health[3].caught_up = cases[i].caught_up;
        ck_assert_msg(ReplicaPlan_ChooseChange(&input, &next, &reason,
                                               &changed) == cases[i].promoted,
                      "%s", cases[i].name);
        if (!cases[i].promoted) {
            continue;
        }
        ck_assert_uint_eq(changed.identity, 4);
        members = next;
        ck_assert(ReplicaPlan_ChooseChange(&input, &next, &reason, &changed));
        ck_assert_uint_eq(changed.identity, 3);
        ck_assert(!changed.voter);
    }
}
END_TEST

/* Guards against an idle node that sends more than the 2 KB/s allowed for
 * control traffic; a frame adds 4 bytes to each message. */
START_TEST(idle_traffic_is_bounded)
{
    Cluster *cluster = create_cluster(3, 5, 5, true, false);
    size_t before[MAX_NODES];
    int i;

    cluster->faults_disabled = true;
    cluster->proposals_disabled = true;
    heal_and_converge(cluster, 3);
    memcpy(before, cluster->sent_bytes, sizeof(before));
    for (i = 0; i < 10000 / STEP_MS; i++) {
        run_step(cluster);
    }
    for (i = 0; i < 5; i++) {
        size_t sent = cluster->sent_bytes[i] - before[i];

        printf("idle node %d: %zu bytes/s\n", i, sent / 10);
        ck_assert_uint_lt(sent / 10, 2000);
    }
    free_cluster(cluster);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("replica");
    TCase *tcase = tcase_create("cluster");

    tcase_add_test(tcase, only_init_starts_a_cluster);
    tcase_add_test(tcase, waiting_node_founds_once);
    tcase_add_loop_test(tcase, crash_while_founding_can_be_repeated, 0, 6);
    tcase_add_test(tcase, vote_survives_a_crash);
    tcase_add_test(tcase, failed_sync_stops_a_replica);
    tcase_add_test(tcase, stalled_sync_of_the_leader_delays_no_commit);
    tcase_add_test(tcase,
                   age_of_uncommitted_entries_grows_while_voters_do_not_sync);
    tcase_add_test(tcase, election_after_loss_of_the_leader_is_reported);
    tcase_add_test(tcase, large_snapshot_reaches_a_new_node);
    tcase_add_test(tcase, large_entries_are_compacted);
    tcase_add_test(tcase, lost_voter_is_replaced);
    tcase_add_test(tcase, idle_traffic_is_bounded);
    tcase_add_loop_test(tcase, survives_faults, 0, 700);
    suite_add_tcase(suite, tcase);
    tcase = tcase_create("disks");
    tcase_add_loop_test(tcase, serves_soon_after_faults_of_disks, 0, 400);
    tcase_add_loop_test(tcase, series_of_losses_of_one_node_keeps_the_others,
                        0, 100);
    suite_add_tcase(suite, tcase);
    return suite;
}
