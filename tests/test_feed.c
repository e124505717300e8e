#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "diag.h"
#include "feed.h"
#include "feed_server.h"
#include "support.h"
#include "support_storage.h"

#define NODES 6
#define STEP_MS 50

/* State machine whose state is the sequence of all commands, one byte each. */
typedef struct Machine {
    Buf bytes;
    uint64_t index;
} Machine;

static void
apply_command(void *arg, uint64_t index, const char *command, size_t len,
              Buf *result)
{
    Machine *machine = arg;

    (void)result;
    ck_assert_uint_gt(index, machine->index);
    machine->index = index;
    Buf_Append(&machine->bytes, command, len);
}

static void
encode_snapshot(const void *arg, Buf *out)
{
    const Machine *machine = arg;

    Buf_Append(out, &machine->index, sizeof(machine->index));
    Buf_Append(out, machine->bytes.data, machine->bytes.len);
}

static Status
restore_snapshot(void *arg, const char *bytes, size_t len)
{
    Machine *machine = arg;
    uint64_t index;

    memcpy(&index, bytes, sizeof(index));
    ck_assert_uint_gt(index, machine->index);
    machine->index = index;
    Buf_Clear(&machine->bytes);
    Buf_Append(&machine->bytes, bytes + 8, len - 8);
    return ST_OK;
}

static const ReplicaMachineOps machine_ops = {apply_command, encode_snapshot,
                                              restore_snapshot};

/* Simulated cluster. Node 0, in data centre x, is the only one with a disk; 1
 * and 2 are in x, 3 to 5 in y. */
typedef struct Cluster {
    int64_t now;
    MemStorage *disk;
    Replica *replica;
    Machine machines[NODES];
    Feed *feeds[NODES]; /* NULL for node 0 */
    FeedServer *servers[NODES];
    bool disconnected[NODES];
    bool lossy_network;
    Rng rng;
    size_t request_counts[NODES];
    uint64_t commands;
} Cluster;

typedef struct Sender {
    Cluster *cluster;
    size_t node;
} Sender;

static Sender senders[NODES];

static void
ignore_send(void *arg, uint64_t to, const char *bytes, size_t len)
{
    (void)arg;
    (void)to;
    (void)bytes;
    (void)len;
}

static void
ignore_applied(void *arg, uint64_t index, const char *command, size_t len,
               const Buf *result)
{
    (void)arg;
    (void)index;
    (void)command;
    (void)len;
    (void)result;
}

static void
ignore_proposed(void *arg, uint64_t cookie, Status status, uint64_t index,
                const Buf *result)
{
    (void)arg;
    (void)cookie;
    (void)status;
    (void)index;
    (void)result;
}

static void
ignore_read(void *arg, uint64_t cookie, Status status, uint64_t index)
{
    (void)arg;
    (void)cookie;
    (void)status;
    (void)index;
}

static void
format_name(size_t node, char *name)
{
    snprintf(name, RAFT_NAME_BYTES, "n%zu", node);
}

static const char *
get_data_centre(size_t node)
{
    return node < 3 ? "x" : "y";
}

/* Delivers a request to its peer and the answer to the sender immediately. */
static void
deliver_request(void *arg, const char *peer, const char *bytes, size_t len)
{
    const Sender *sender = arg;
    Cluster *cluster = sender->cluster;
    size_t to = (size_t)(peer[1] - '0');
    char name[RAFT_NAME_BYTES];
    Buf answer = BUF_INIT;

    cluster->request_counts[to]++;
    if (cluster->disconnected[to] || cluster->disconnected[sender->node] ||
        cluster->servers[to] == NULL ||
        (cluster->lossy_network && Rng_Below(&cluster->rng, 4) == 0)) {
        return;
    }
    format_name(sender->node, name);
    if (FeedServer_AnswerRequest(cluster->servers[to], cluster->now, name,
                                 bytes, len, &answer) == ST_OK) {
        Feed_Receive(cluster->feeds[sender->node], cluster->now, peer,
                     answer.data, answer.len);
        if (cluster->lossy_network) { /* delivers a duplicate */
            Feed_Receive(cluster->feeds[sender->node], cluster->now, peer,
                         answer.data, answer.len);
        }
    }
    Buf_Free(&answer);
}

static void
set_peers(Cluster *cluster, size_t node)
{
    FeedPeer peers[NODES] = {0};
    size_t count = 0;
    size_t i;

    for (i = 0; i < NODES; i++) {
        if (i != node) {
            format_name(i, peers[count].name);
            snprintf(peers[count].data_centre, RAFT_NAME_BYTES, "%s",
                     get_data_centre(i));
            peers[count].disk = i == 0;
            peers[count].reachable = true;
            count++;
        }
    }
    Feed_SetPeers(cluster->feeds[node], cluster->now, peers, count);
}

static void
start_feed(Cluster *cluster, size_t node)
{
    FeedOptions options = FEED_OPTIONS_DEFAULT;
    char name[RAFT_NAME_BYTES];

    format_name(node, name);
    senders[node].cluster = cluster;
    senders[node].node = node;
    options.name = name;
    options.data_centre = get_data_centre(node);
    options.seed = node;
    options.now_ms = cluster->now;
    options.max_bytes = 300;
    options.keep_entries = 20;
    options.machine_ops = &machine_ops;
    options.machine = &cluster->machines[node];
    options.arg = &senders[node];
    options.send = deliver_request;
    options.applied = ignore_applied;
    Buf_Clear(&cluster->machines[node].bytes);
    cluster->machines[node].index = 0;
    ck_assert_int_eq(Feed_New(&options, &cluster->feeds[node], NULL), ST_OK);
    cluster->servers[node] = FeedServer_New(NULL, cluster->feeds[node]);
    set_peers(cluster, node);
}

static void
stop_feed(Cluster *cluster, size_t node)
{
    FeedServer_Free(cluster->servers[node]);
    Feed_Free(cluster->feeds[node]);
    cluster->servers[node] = NULL;
    cluster->feeds[node] = NULL;
}

static void
advance_time(Cluster *cluster, int64_t ms)
{
    int64_t end = cluster->now + ms;
    size_t i;

    while (cluster->now < end) {
        cluster->now += STEP_MS;
        Replica_Tick(cluster->replica, cluster->now);
        for (i = 1; i < NODES; i++) {
            if (cluster->feeds[i] != NULL) {
                uint64_t before = Feed_GetAppliedIndex(cluster->feeds[i]);

                Feed_Tick(cluster->feeds[i], cluster->now);
                ck_assert_uint_ge(Feed_GetAppliedIndex(cluster->feeds[i]),
                                  before);
            }
        }
    }
}

static void
propose_commands(Cluster *cluster, size_t count)
{
    while (count-- > 0) {
        char byte = (char)('a' + cluster->commands++ % 26);

        ck_assert_int_eq(
            Replica_Propose(cluster->replica, cluster->now, &byte, 1, 0),
            ST_OK);
        if (cluster->commands % 7 == 0) {
            Replica_Flush(cluster->replica, cluster->now);
        }
    }
    Replica_Flush(cluster->replica, cluster->now);
}

static Cluster *
new_cluster(void)
{
    Cluster *cluster = calloc(1, sizeof(*cluster));
    ReplicaOptions options = REPLICA_OPTIONS_DEFAULT;
    size_t i;

    Diag_Init("test", DIAG_ERROR);
    cluster->now = 1000;
    cluster->disk = MemStorage_New();
    options.name = "n0";
    options.data_centre = "x";
    options.init = true;
    options.seed = 5;
    options.now_ms = cluster->now;
    options.snapshot_entries = 40;
    options.machine_ops = &machine_ops;
    options.machine = &cluster->machines[0];
    options.send = ignore_send;
    options.applied = ignore_applied;
    options.proposed = ignore_proposed;
    options.read_ready = ignore_read;
    ck_assert_int_eq(Replica_Open(&options,
                                  MemStorage_GetStorage(cluster->disk),
                                  &cluster->replica, NULL),
                     ST_OK);
    cluster->servers[0] = FeedServer_New(cluster->replica, NULL);
    advance_time(cluster, 5000);
    for (i = 1; i < NODES; i++) {
        start_feed(cluster, i);
    }
    return cluster;
}

static void
free_cluster(Cluster *cluster)
{
    size_t i;

    for (i = 0; i < NODES; i++) {
        if (cluster->feeds[i] != NULL) {
            stop_feed(cluster, i);
        }
        Buf_Free(&cluster->machines[i].bytes);
    }
    FeedServer_Free(cluster->servers[0]);
    Replica_Close(cluster->replica);
    MemStorage_Free(cluster->disk);
    free(cluster);
}

static void
check_followers_equal_replica(Cluster *cluster)
{
    size_t i;

    for (i = 1; i < NODES; i++) {
        if (cluster->feeds[i] == NULL || cluster->disconnected[i]) {
            continue;
        }
        ck_assert_uint_eq(Feed_GetAppliedIndex(cluster->feeds[i]),
                          Replica_GetAppliedIndex(cluster->replica));
        ck_assert(Feed_IsReady(cluster->feeds[i]));
        ck_assert_uint_eq(cluster->machines[i].bytes.len, cluster->commands);
        ck_assert_mem_eq(cluster->machines[i].bytes.data,
                         cluster->machines[0].bytes.data, cluster->commands);
    }
}

/* Guards against followers of one data centre that all poll the voters of
 * another one, and against changes that take longer than the 5 s allowed by
 * the design. */
START_TEST(each_data_centre_has_one_relay)
{
    Cluster *cluster = new_cluster();

    propose_commands(cluster, 200);
    advance_time(cluster, 2500);
    check_followers_equal_replica(cluster);
    ck_assert_str_eq(Feed_GetSource(cluster->feeds[1]), "n0");
    ck_assert_str_eq(Feed_GetSource(cluster->feeds[2]), "n0");
    ck_assert_str_eq(Feed_GetSource(cluster->feeds[3]), "n0");
    ck_assert_str_eq(Feed_GetSource(cluster->feeds[4]), "n3");
    ck_assert_str_eq(Feed_GetSource(cluster->feeds[5]), "n3");
    ck_assert(Feed_IsRelay(cluster->feeds[3]));
    ck_assert(!Feed_IsRelay(cluster->feeds[1]));
    ck_assert(!Feed_IsRelay(cluster->feeds[4]));
    free_cluster(cluster);
}
END_TEST

/* Guards against followers that keep a source that stopped answering. */
START_TEST(silent_source_is_replaced_until_it_answers)
{
    Cluster *cluster = new_cluster();

    advance_time(cluster, 2000);
    cluster->disconnected[3] = true;
    propose_commands(cluster, 30);
    advance_time(cluster, 8000);
    check_followers_equal_replica(cluster);
    ck_assert_str_ne(Feed_GetSource(cluster->feeds[5]), "n3");
    cluster->disconnected[3] = false;
    advance_time(cluster, 8000);
    check_followers_equal_replica(cluster);
    ck_assert_str_eq(Feed_GetSource(cluster->feeds[5]), "n3");
    free_cluster(cluster);
}
END_TEST

/* Guards against lost, duplicate and late answers that leave a gap or apply an
 * entry twice, and against a snapshot assembled from chunks of two
 * snapshots. */
START_TEST(loss_and_duplication_leave_no_gap)
{
    Cluster *cluster = new_cluster();
    int i;

    cluster->lossy_network = true;
    Rng_Seed(&cluster->rng, (uint64_t)_i);
    for (i = 0; i < 40; i++) {
        propose_commands(cluster, 1 + Rng_Below(&cluster->rng, 60));
        advance_time(cluster, (int64_t)Rng_Below(&cluster->rng, 1500));
    }
    cluster->lossy_network = false;
    advance_time(cluster, 15000);
    check_followers_equal_replica(cluster);
    free_cluster(cluster);
}
END_TEST

/* Guards against a restarted node that becomes ready with state older than it
 * had applied before: its only reachable source may be behind. */
START_TEST(restarted_node_is_ready_at_the_floor)
{
    Cluster *cluster = new_cluster();
    uint64_t applied;

    propose_commands(cluster, 50);
    advance_time(cluster, 6000);
    check_followers_equal_replica(cluster);
    applied = Feed_GetAppliedIndex(cluster->feeds[4]);
    ck_assert_uint_eq(FeedServer_GetReportedIndex(cluster->servers[3], "n4"),
                      applied);
    /* With the voter disconnected, the relay still remembers the applied index
     * of the node. */
    cluster->disconnected[0] = true;
    stop_feed(cluster, 4);
    start_feed(cluster, 4);
    ck_assert(!Feed_IsReady(cluster->feeds[4]));
    /* Raises the floor to an entry that no reachable source has. */
    Feed_RaiseFloor(cluster->feeds[4], applied + 1);
    advance_time(cluster, 6000);
    ck_assert_uint_eq(Feed_GetAppliedIndex(cluster->feeds[4]), applied);
    ck_assert(!Feed_IsReady(cluster->feeds[4]));
    cluster->disconnected[0] = false;
    propose_commands(cluster, 1);
    advance_time(cluster, 10000);
    ck_assert(Feed_IsReady(cluster->feeds[4]));
    ck_assert_uint_ge(Feed_GetAppliedIndex(cluster->feeds[4]), applied + 1);
    /* After another restart the floor comes from the peers alone. */
    stop_feed(cluster, 4);
    start_feed(cluster, 4);
    advance_time(cluster, STEP_MS);
    ck_assert_uint_ge(Feed_GetFloor(cluster->feeds[4]), applied + 1);
    free_cluster(cluster);
}
END_TEST

/* Guards against a node that becomes ready with an empty state when no
 * reachable peer has any state either. */
START_TEST(empty_machine_is_never_ready)
{
    Cluster *cluster = new_cluster();

    propose_commands(cluster, 5);
    advance_time(cluster, 3000);
    cluster->disconnected[0] = cluster->disconnected[1] =
        cluster->disconnected[2] = cluster->disconnected[5] = true;
    stop_feed(cluster, 3);
    stop_feed(cluster, 4);
    start_feed(cluster, 3);
    start_feed(cluster, 4);
    advance_time(cluster, 20000);
    ck_assert(!Feed_IsReady(cluster->feeds[3]));
    ck_assert(!Feed_IsReady(cluster->feeds[4]));
    free_cluster(cluster);
}
END_TEST

/* Guards against accepting malformed answers and answers of unknown peers or
 * other clusters. */
START_TEST(invalid_answers_are_rejected)
{
    static const struct {
        const char *bytes;
        size_t len;
        Status expected;
    } cases[] = {
        {"", 0, ST_CORRUPT},
        {"\x98\x02\x01\x00\x00\x00\x00\x00\x90", 9, ST_STALE},
        {"\x98\x02\x00\x00\x00\x00\x00\x00\x90", 9, ST_CORRUPT},
        {"\x98\x01\x01\x00\x00\x00\x00\x00\x90", 9, ST_CORRUPT},
        {"\x98\x02\x01\x00\x00\x00\x00\x00\x91\xc0", 10, ST_CORRUPT},
        {"\x98\x02\x01\x00\x00\x00\x00\x09\x90", 9, ST_CORRUPT},
        {"\x98\x02\x01\x00\x00\x00\x00\x02\x95\x01\x01\x02\x00\xc4\x00", 15,
         ST_CORRUPT},
        {"\x98\x02\x01\x00\x00\x00\x00\x01\xdd\xff\xff\xff\xff", 13,
         ST_CORRUPT},
    };
    Cluster *cluster = new_cluster();

    advance_time(cluster, 1000);
    ck_assert_int_eq(Feed_Receive(cluster->feeds[1], cluster->now, "n0",
                                  cases[_i].bytes, cases[_i].len),
                     cases[_i].expected);
    ck_assert_int_eq(Feed_Receive(cluster->feeds[1], cluster->now, "stranger",
                                  cases[_i].bytes, cases[_i].len),
                     ST_STALE);
    free_cluster(cluster);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("feed");
    TCase *tcase = tcase_create("feed");

    tcase_add_test(tcase, each_data_centre_has_one_relay);
    tcase_add_test(tcase, silent_source_is_replaced_until_it_answers);
    tcase_add_loop_test(tcase, loss_and_duplication_leave_no_gap, 0, 20);
    tcase_add_test(tcase, restarted_node_is_ready_at_the_floor);
    tcase_add_test(tcase, empty_machine_is_never_ready);
    tcase_add_loop_test(tcase, invalid_answers_are_rejected, 0, 8);
    suite_add_tcase(suite, tcase);
    return suite;
}
