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

/* A machine whose state is the list of all commands, one byte each. */
typedef struct Machine {
    Buf bytes;
    uint64_t index;
} Machine;

static void
machine_apply(void *arg, uint64_t index, const char *command, size_t len,
              Buf *result)
{
    Machine *machine = arg;

    (void)result;
    ck_assert_uint_gt(index, machine->index);
    machine->index = index;
    Buf_Append(&machine->bytes, command, len);
}

static void
machine_snapshot(const void *arg, Buf *out)
{
    const Machine *machine = arg;

    Buf_Append(out, &machine->index, sizeof(machine->index));
    Buf_Append(out, machine->bytes.data, machine->bytes.len);
}

static Status
machine_restore(void *arg, const char *bytes, size_t len)
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

static const ReplicaMachineOps machine_ops = {machine_apply, machine_snapshot,
                                              machine_restore};

/* Node 0 has a disk in data centre x; 1 and 2 are in x, 3 to 5 in y. */
typedef struct World {
    int64_t now;
    MemStorage *disk;
    Replica *replica;
    Machine machines[NODES];
    Feed *feeds[NODES]; /* none for node 0 */
    FeedServer *servers[NODES];
    bool cut[NODES];
    bool lossy;
    Rng rng;
    size_t asked[NODES];
    uint64_t commands;
} World;

typedef struct Sender {
    World *world;
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
name_node(size_t node, char *name)
{
    snprintf(name, RAFT_NAME_BYTES, "n%zu", node);
}

static const char *
centre_of(size_t node)
{
    return node < 3 ? "x" : "y";
}

/* Carries a request to its peer and the answer back, at once. */
static void
on_send(void *arg, const char *peer, const char *bytes, size_t len)
{
    const Sender *sender = arg;
    World *world = sender->world;
    size_t to = (size_t)(peer[1] - '0');
    char name[RAFT_NAME_BYTES];
    Buf answer = BUF_INIT;

    world->asked[to]++;
    if (world->cut[to] || world->cut[sender->node] ||
        world->servers[to] == NULL ||
        (world->lossy && Rng_Below(&world->rng, 4) == 0)) {
        return;
    }
    name_node(sender->node, name);
    if (FeedServer_Answer(world->servers[to], world->now, name, bytes, len,
                          &answer) == ST_OK) {
        Feed_Receive(world->feeds[sender->node], world->now, peer, answer.data,
                     answer.len);
        if (world->lossy) { /* a duplicate */
            Feed_Receive(world->feeds[sender->node], world->now, peer,
                         answer.data, answer.len);
        }
    }
    Buf_Free(&answer);
}

static void
set_peers(World *world, size_t node)
{
    FeedPeer peers[NODES] = {0};
    size_t count = 0;
    size_t i;

    for (i = 0; i < NODES; i++) {
        if (i != node) {
            name_node(i, peers[count].name);
            snprintf(peers[count].data_centre, RAFT_NAME_BYTES, "%s",
                     centre_of(i));
            peers[count].disk = i == 0;
            peers[count].reachable = true;
            count++;
        }
    }
    Feed_SetPeers(world->feeds[node], world->now, peers, count);
}

static void
start_feed(World *world, size_t node)
{
    FeedOptions options = FEED_OPTIONS_DEFAULT;
    char name[RAFT_NAME_BYTES];

    name_node(node, name);
    senders[node].world = world;
    senders[node].node = node;
    options.name = name;
    options.data_centre = centre_of(node);
    options.seed = node;
    options.now_ms = world->now;
    options.max_bytes = 300;
    options.keep_entries = 20;
    options.machine_ops = &machine_ops;
    options.machine = &world->machines[node];
    options.arg = &senders[node];
    options.send = on_send;
    options.applied = ignore_applied;
    Buf_Clear(&world->machines[node].bytes);
    world->machines[node].index = 0;
    ck_assert_int_eq(Feed_New(&options, &world->feeds[node], NULL), ST_OK);
    world->servers[node] = FeedServer_New(NULL, world->feeds[node]);
    set_peers(world, node);
}

static void
stop_feed(World *world, size_t node)
{
    FeedServer_Free(world->servers[node]);
    Feed_Free(world->feeds[node]);
    world->servers[node] = NULL;
    world->feeds[node] = NULL;
}

static void
run(World *world, int64_t ms)
{
    int64_t end = world->now + ms;
    size_t i;

    while (world->now < end) {
        world->now += STEP_MS;
        Replica_Tick(world->replica, world->now);
        for (i = 1; i < NODES; i++) {
            if (world->feeds[i] != NULL) {
                uint64_t before = Feed_AppliedIndex(world->feeds[i]);

                Feed_Tick(world->feeds[i], world->now);
                ck_assert_uint_ge(Feed_AppliedIndex(world->feeds[i]), before);
            }
        }
    }
}

static void
propose(World *world, size_t count)
{
    while (count-- > 0) {
        char byte = (char)('a' + world->commands++ % 26);

        ck_assert_int_eq(
            Replica_Propose(world->replica, world->now, &byte, 1, 0), ST_OK);
        if (world->commands % 7 == 0) {
            Replica_Flush(world->replica, world->now);
        }
    }
    Replica_Flush(world->replica, world->now);
}

static World *
new_world(void)
{
    World *world = calloc(1, sizeof(*world));
    ReplicaOptions options = REPLICA_OPTIONS_DEFAULT;
    size_t i;

    Diag_Init("test", DIAG_ERROR);
    world->now = 1000;
    world->disk = MemStorage_New();
    options.name = "n0";
    options.data_centre = "x";
    options.init = true;
    options.seed = 5;
    options.now_ms = world->now;
    options.snapshot_entries = 40;
    options.machine_ops = &machine_ops;
    options.machine = &world->machines[0];
    options.send = ignore_send;
    options.applied = ignore_applied;
    options.proposed = ignore_proposed;
    options.read_ready = ignore_read;
    ck_assert_int_eq(Replica_Open(&options, MemStorage_Base(world->disk),
                                  &world->replica, NULL),
                     ST_OK);
    world->servers[0] = FeedServer_New(world->replica, NULL);
    run(world, 5000);
    for (i = 1; i < NODES; i++) {
        start_feed(world, i);
    }
    return world;
}

static void
free_world(World *world)
{
    size_t i;

    for (i = 0; i < NODES; i++) {
        if (world->feeds[i] != NULL) {
            stop_feed(world, i);
        }
        Buf_Free(&world->machines[i].bytes);
    }
    FeedServer_Free(world->servers[0]);
    Replica_Close(world->replica);
    MemStorage_Free(world->disk);
    free(world);
}

static void
check_all_equal(World *world)
{
    size_t i;

    for (i = 1; i < NODES; i++) {
        if (world->feeds[i] == NULL || world->cut[i]) {
            continue;
        }
        ck_assert_uint_eq(Feed_AppliedIndex(world->feeds[i]),
                          Replica_AppliedIndex(world->replica));
        ck_assert(Feed_Ready(world->feeds[i]));
        ck_assert_uint_eq(world->machines[i].bytes.len, world->commands);
        ck_assert_mem_eq(world->machines[i].bytes.data,
                         world->machines[0].bytes.data, world->commands);
    }
}

/* Guards against a whole data centre that loads the far voters, and against
 * changes that do not arrive within the 5 s of the design. */
START_TEST(one_relay_for_each_data_centre)
{
    World *world = new_world();

    propose(world, 200);
    run(world, 2500);
    check_all_equal(world);
    ck_assert_str_eq(Feed_Source(world->feeds[1]), "n0");
    ck_assert_str_eq(Feed_Source(world->feeds[2]), "n0");
    ck_assert_str_eq(Feed_Source(world->feeds[3]), "n0");
    ck_assert_str_eq(Feed_Source(world->feeds[4]), "n3");
    ck_assert_str_eq(Feed_Source(world->feeds[5]), "n3");
    ck_assert(Feed_IsRelay(world->feeds[3]));
    ck_assert(!Feed_IsRelay(world->feeds[1]));
    ck_assert(!Feed_IsRelay(world->feeds[4]));
    free_world(world);
}
END_TEST

/* Guards against followers that stay with a source that died. */
START_TEST(silent_source_is_left_and_taken_back)
{
    World *world = new_world();

    run(world, 2000);
    world->cut[3] = true;
    propose(world, 30);
    run(world, 8000);
    check_all_equal(world);
    ck_assert_str_ne(Feed_Source(world->feeds[5]), "n3");
    world->cut[3] = false;
    run(world, 8000);
    check_all_equal(world);
    ck_assert_str_eq(Feed_Source(world->feeds[5]), "n3");
    free_world(world);
}
END_TEST

/* Guards against lost, repeated and late answers that leave a gap or apply an
 * entry twice, and against a snapshot put together from two. */
START_TEST(loss_and_duplication_leave_no_gap)
{
    World *world = new_world();
    int i;

    world->lossy = true;
    Rng_Seed(&world->rng, (uint64_t)_i);
    for (i = 0; i < 40; i++) {
        propose(world, 1 + Rng_Below(&world->rng, 60));
        run(world, (int64_t)Rng_Below(&world->rng, 1500));
    }
    world->lossy = false;
    run(world, 15000);
    check_all_equal(world);
    free_world(world);
}
END_TEST

/* Guards against a restarted node that decides on a version older than the one
 * that it applied before: its only reachable source may be behind. */
START_TEST(restart_waits_for_the_floor)
{
    World *world = new_world();
    uint64_t applied;

    propose(world, 50);
    run(world, 6000);
    check_all_equal(world);
    applied = Feed_AppliedIndex(world->feeds[4]);
    ck_assert_uint_eq(FeedServer_Saw(world->servers[3], "n4"), applied);
    /* Without the voter, its source still knows what it applied. */
    world->cut[0] = true;
    stop_feed(world, 4);
    start_feed(world, 4);
    ck_assert(!Feed_Ready(world->feeds[4]));
    /* A peer's hello names an entry that no reachable source has. */
    Feed_PeerSaw(world->feeds[4], applied + 1);
    run(world, 6000);
    ck_assert_uint_eq(Feed_AppliedIndex(world->feeds[4]), applied);
    ck_assert(!Feed_Ready(world->feeds[4]));
    world->cut[0] = false;
    propose(world, 1);
    run(world, 10000);
    ck_assert(Feed_Ready(world->feeds[4]));
    ck_assert_uint_ge(Feed_AppliedIndex(world->feeds[4]), applied + 1);
    /* Its floor came from the peers, not only from the hello. */
    stop_feed(world, 4);
    start_feed(world, 4);
    run(world, STEP_MS);
    ck_assert_uint_ge(Feed_Floor(world->feeds[4]), applied + 1);
    free_world(world);
}
END_TEST

/* Guards against a node that takes an empty state for the current one, when no
 * peer remembers anything either. */
START_TEST(empty_machine_is_never_ready)
{
    World *world = new_world();

    propose(world, 5);
    run(world, 3000);
    world->cut[0] = world->cut[1] = world->cut[2] = world->cut[5] = true;
    stop_feed(world, 3);
    stop_feed(world, 4);
    start_feed(world, 3);
    start_feed(world, 4);
    run(world, 20000);
    ck_assert(!Feed_Ready(world->feeds[3]));
    ck_assert(!Feed_Ready(world->feeds[4]));
    free_world(world);
}
END_TEST

/* Guards against malformed and foreign answers. */
START_TEST(bad_answers_are_refused)
{
    static const struct {
        const char *bytes;
        size_t len;
        Status want;
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
    World *world = new_world();

    run(world, 1000);
    ck_assert_int_eq(Feed_Receive(world->feeds[1], world->now, "n0",
                                  cases[_i].bytes, cases[_i].len),
                     cases[_i].want);
    ck_assert_int_eq(Feed_Receive(world->feeds[1], world->now, "stranger",
                                  cases[_i].bytes, cases[_i].len),
                     ST_STALE);
    free_world(world);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("feed");
    TCase *tcase = tcase_create("feed");

    tcase_add_test(tcase, one_relay_for_each_data_centre);
    tcase_add_test(tcase, silent_source_is_left_and_taken_back);
    tcase_add_loop_test(tcase, loss_and_duplication_leave_no_gap, 0, 20);
    tcase_add_test(tcase, restart_waits_for_the_floor);
    tcase_add_test(tcase, empty_machine_is_never_ready);
    tcase_add_loop_test(tcase, bad_answers_are_refused, 0, 8);
    suite_add_tcase(suite, tcase);
    return suite;
}
