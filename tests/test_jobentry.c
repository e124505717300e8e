#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "httpclient.h"
#include "jobfleetmsg.h"
#include "jobreplymsg.h"
#include "loop.h"
#include "peer.h"
#include "platform_wire.h"
#include "support.h"

/* A real entry VM between callers and two scripted control VMs. */

#define CONTROL_COUNT 2
#define MAX_CALLS 2
#define MAX_COPIES 16
#define MAX_DESCRIPTORS 256
#define STEP_INTERVAL_MS 5
#define FLEET_INTERVAL_MS 100
#define STEP_TIMEOUT_MS 10000
#define CALL_TIMEOUT_MS 8000
#define PAUSE_MS 300
#define KEY_TEXT "Token some key"
#define RECONNECT_MS 150
/* An answer that needs no waiting arrives within this time. */
#define PROMPT_ANSWER_MS 1000

typedef enum StepKind {
    STEP_END,
    STEP_LISTEN,  /* the entry VM answers readiness checks */
    STEP_LEAD,    /* control VM at says that it leads in term value */
    STEP_RESIGN,  /* control VM at says that it does not lead */
    STEP_CRASH,   /* control VM at closes its links */
    STEP_REPLACE, /* control VM at returns at another address, its links open
                   */
    STEP_CUT,     /* the link from the entry VM to control VM at breaks */
    STEP_FREEZE,  /* the entry VM stands still */
    STEP_THAW,
    STEP_RECONNECT, /* control VM at, which leads, ends its link and connects
                     * again, value times */
    STEP_COPIES,    /* at most value copies reached control VM at */
    STEP_SUBMIT,    /* caller at submits a job */
    STEP_STATE,     /* caller at reads its state */
    STEP_CANCEL,    /* caller at cancels it */
    STEP_ORDER,     /* operator at sends a configuration of value KiB */
    STEP_READ,      /* operator at reads the configuration */
    STEP_BEAT,      /* target at announces itself */
    STEP_KEY,       /* later requests carry a key */
    STEP_ITEMS,     /* the last copy at control VM at has value items */
    STEP_COPY,      /* a copy reaches control VM at */
    STEP_REPLY,     /* control VM at replies to its last copy with value */
    STEP_STALE,     /* control VM at replies to its first copy with value */
    STEP_TERM,      /* the entry VM gets SIGTERM */
    STEP_WAIT,      /* value ms pass */
    STEP_RESTART,   /* the entry VM is killed and started again */
    STEP_PAUSE,
    STEP_PROMPT, /* caller at gets value within PROMPT_ANSWER_MS */
    STEP_ANSWER  /* caller at gets value */
} StepKind;

typedef struct Step {
    StepKind kind;
    size_t at;
    int value;
} Step;

typedef struct ControlVm {
    struct World *world;
    Settings settings;
    Peers *peers;
    Peers *former; /* links of the earlier incarnation, or NULL */
    size_t entry;  /* index as a peer, or SIZE_MAX */
    uint64_t term;
    bool leads;
    int reconnects;
    uint64_t sequences[MAX_COPIES];
    uint32_t items;    /* of the last copy's message */
    bool has_key_text; /* its seventh item is KEY_TEXT */
    size_t copies;
    size_t copies_awaited;
} ControlVm;

typedef struct Caller {
    bool answered;
    int status; /* 0 without an answer */
    int64_t took_ms;
    int64_t sent_ms;
} Caller;

typedef struct World {
    Loop *loop;
    LoopTimer *timer;
    HttpClient *client;
    char folder[64];
    char file[96];
    int port;
    int port_lock; /* descriptor that keeps other runs from the ports */
    pid_t entry;
    bool entry_ready;
    bool entry_answers;
    bool asking;
    bool keyed; /* requests carry a key */
    ControlVm controls[CONTROL_COUNT];
    Caller callers[MAX_CALLS];
    const Step *step;
    int64_t step_begun_ms;
    int64_t next_fleet_ms;
    const char *failure;
} World;

static const char *
control_host(size_t i)
{
    static const char *const hosts[CONTROL_COUNT] = {"127.0.0.6", "127.0.0.7"};

    return hosts[i];
}

#define ENTRY_HOST "127.0.0.8"
#define REPLACEMENT_HOST "127.0.0.9"

static void
set_address(SettingsAddress *address, const char *host, int port)
{
    snprintf(address->host, sizeof(address->host), "%s", host);
    address->port = port;
}

/* --- the entry VM --- */

static bool
is_free(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_ANY)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    bool ok =
        bind(fd, (const struct sockaddr *)&address, sizeof(address)) == 0;

    close(fd);
    return ok;
}

/* Locks a group of ports. Returns a descriptor that holds the lock until it is
 * closed, or -1 if another run uses the group. */
static int
lock_ports(int port)
{
    const char *folder = getenv("TMPDIR");
    char file[256];
    int fd;

    snprintf(file, sizeof(file), "%s/coltsfoot-ports-%d",
             folder != NULL ? folder : "/tmp", port);
    fd = open(file, O_RDWR | O_CREAT | O_CLOEXEC, 0666);
    ck_assert_msg(fd >= 0, "open of %s failed: %s", file, strerror(errno));
    if (flock(fd, LOCK_EX | LOCK_NB) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Locks and sets the first of four free ports below those of the process
 * tests. */
static void
choose_port(World *world)
{
    int port = 8000 + (int)(getpid() % 400) * 10;
    int tries;

    for (tries = 0; tries < 400; tries++) {
        world->port_lock = lock_ports(port);
        if (world->port_lock >= 0) {
            if (is_free(port) && is_free(port + 1) && is_free(port + 2) &&
                is_free(port + 3)) {
                world->port = port;
                return;
            }
            close(world->port_lock);
        }
        port = port < 11990 ? port + 10 : 8000;
    }
    ck_abort_msg("no free group of ports found");
}

static void
write_settings(World *world)
{
    FILE *file;

    snprintf(world->folder, sizeof(world->folder), "/tmp/coltsfoot.XXXXXX");
    ck_assert_ptr_nonnull(mkdtemp(world->folder));
    snprintf(world->file, sizeof(world->file), "%s/edge-1.yaml",
             world->folder);
    file = fopen(world->file, "w");
    ck_assert_ptr_nonnull(file);
    fprintf(file,
            "name: edge-1\ncluster: test\ndata_centre: north\nregion: west\n"
            "role: entry\nwire: platform\npeer: %s:%d\ntraffic: %s:%d\n"
            "ready: %s:%d\ncontrol: %s:%d\nshutdown_grace_ms: 3200\n"
            "seeds: [\"%s:%d\", \"%s:%d\"]\n",
            ENTRY_HOST, world->port, ENTRY_HOST, world->port + 1, ENTRY_HOST,
            world->port + 2, ENTRY_HOST, world->port + 3, control_host(0),
            world->port + 3, control_host(1), world->port + 3);
    fclose(file);
}

static void
start_entry(World *world)
{
    extern char **environ;
    char program[512];
    char *argv[] = {program, "--settings", world->file, NULL};
    posix_spawn_file_actions_t actions;

    snprintf(program, sizeof(program), "%s/coltsfootd", getenv("BUILD_DIR"));
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, "/dev/null", 1, 0);
    posix_spawn_file_actions_addopen(&actions, 2, "/dev/null", 1, 0);
    ck_assert_int_eq(
        posix_spawn(&world->entry, program, &actions, NULL, argv, environ), 0);
    posix_spawn_file_actions_destroy(&actions);
    world->entry_ready = false;
    world->entry_answers = false;
}

static void
kill_entry(World *world)
{
    kill(world->entry, SIGKILL);
    waitpid(world->entry, NULL, 0);
}

/* --- the control VMs --- */

static void
on_up(void *arg, size_t peer, const PeerHello *hello)
{
    ControlVm *control = arg;

    if (strcmp(hello->name, "edge-1") == 0) {
        control->entry = peer;
    }
}

static void
on_down(void *arg, size_t peer)
{
    ControlVm *control = arg;

    if (control->entry == peer) {
        control->entry = SIZE_MAX;
    }
}

static void
on_message(void *arg, size_t peer, PeerMessageType type,
           const msgpack_object_array *message)
{
    ControlVm *control = arg;

    (void)peer;
    if ((type == PEER_JOB_REQUEST || type == PEER_JOB_CONTROL_REQUEST) &&
        control->copies < MAX_COPIES) {
        control->sequences[control->copies++] = message->ptr[1].via.u64;
        control->items = message->size;
        control->has_key_text =
            message->size == 7 && message->ptr[6].type == MSGPACK_OBJECT_STR &&
            message->ptr[6].via.str.size == strlen(KEY_TEXT) &&
            memcmp(message->ptr[6].via.str.ptr, KEY_TEXT, strlen(KEY_TEXT)) ==
                0;
    }
}

static void
open_peers(ControlVm *control, uint64_t incarnation)
{
    PeersOptions options = {.settings = &control->settings,
                            .identity = 1,
                            .incarnation = incarnation,
                            .open_membership = true,
                            .arg = control,
                            .on_up = on_up,
                            .on_down = on_down,
                            .on_message = on_message};
    ErrCtx err = {ST_OK, ""};

    control->entry = SIZE_MAX;
    control->peers = Peers_New(control->world->loop, &options, &err);
    ck_assert_msg(control->peers != NULL, "%s", err.message);
}

static void
open_control(World *world, size_t i)
{
    ControlVm *control = &world->controls[i];

    control->world = world;
    snprintf(control->settings.name, sizeof(control->settings.name),
             "core-%zu", i + 1);
    strcpy(control->settings.cluster, "test");
    strcpy(control->settings.data_centre, "north");
    set_address(&control->settings.peer, control_host(i), world->port);
    open_peers(control, 1);
}

static void
replace_control(World *world, ControlVm *control)
{
    SettingsAddress entry;

    control->former = control->peers;
    set_address(&control->settings.peer, REPLACEMENT_HOST, world->port);
    open_peers(control, 2);
    set_address(&entry, ENTRY_HOST, world->port);
    Peers_Add(control->peers, &entry);
}

static void close_control(ControlVm *control);

/* Ends the link of a control VM and opens the next one, every RECONNECT_MS.
 * Returns whether it has done so count times. */
static bool
reconnect(World *world, ControlVm *control, int count)
{
    int64_t elapsed_ms = Loop_NowMs() - world->step_begun_ms;
    SettingsAddress entry;

    if (control->reconnects < count &&
        elapsed_ms >= (int64_t)control->reconnects * RECONNECT_MS) {
        close_control(control);
        open_peers(control, 1);
        set_address(&entry, ENTRY_HOST, world->port);
        control->entry = Peers_Add(control->peers, &entry);
        control->leads = true;
        control->reconnects++;
    }
    return elapsed_ms >= (int64_t)count * RECONNECT_MS;
}

static void
close_control(ControlVm *control)
{
    Peers_Free(control->former);
    Peers_Free(control->peers);
    control->former = NULL;
    control->peers = NULL;
    control->entry = SIZE_MAX;
}

/* Shuts down the connections that a control VM has accepted. */
static void
cut_incoming_link(const ControlVm *control)
{
    int fd;

    for (fd = 3; fd < MAX_DESCRIPTORS; fd++) {
        struct sockaddr_in local;
        struct sockaddr_in remote;
        socklen_t size = sizeof(local);
        socklen_t remote_size = sizeof(remote);
        if (getsockname(fd, (struct sockaddr *)&local, &size) == 0 &&
            getpeername(fd, (struct sockaddr *)&remote, &remote_size) == 0 &&
            ntohs(local.sin_port) == control->settings.peer.port &&
            local.sin_addr.s_addr == inet_addr(control->settings.peer.host)) {
            shutdown(fd, SHUT_RDWR);
        }
    }
}

static void
send_fleet_msg(ControlVm *control)
{
    JobFleetMsg msg = {.term = control->term, .leader_ready = control->leads};
    Buf body = BUF_INIT;

    if (control->peers == NULL || control->entry == SIZE_MAX) {
        return;
    }
    JobFleetMsg_Encode(&msg, &body);
    Peers_Send(control->peers, control->entry, body.data, body.len);
    Buf_Free(&body);
}

static void
send_reply(ControlVm *control, uint64_t sequence, int status)
{
    JobReplyMsg msg = {sequence, status, 1000, "{}", 2};
    Buf body = BUF_INIT;

    if (control->peers == NULL || control->entry == SIZE_MAX) {
        return;
    }
    JobReplyMsg_Encode(&msg, &body);
    Peers_Send(control->peers, control->entry, body.data, body.len);
    Buf_Free(&body);
}

/* --- callers --- */

static void
on_answer(void *arg, const HttpCallResult *result)
{
    Caller *caller = arg;

    caller->answered = true;
    caller->status =
        result->status == HTTP_CALL_ANSWERED ? result->http_status : 0;
    caller->took_ms = Loop_NowMs() - caller->sent_ms;
}

/* Adds the key to a request if the script says so. */
static void
add_key(const World *world, HttpCallOptions *options)
{
    if (world->keyed) {
        options->headers[options->header_count++] =
            (HttpHeader){PlatformWire_Get()->key_header, KEY_TEXT};
    }
}

/* Sends a request with body_len bytes to the entry VM's control address. */
static void
call_control(World *world, Caller *caller, const char *method,
             const char *path, size_t body_len)
{
    static char body[128 * 1024];
    HttpCallOptions options = {.method = method,
                               .path = path,
                               .body = body,
                               .body_len = body_len,
                               .timeout_ms = CALL_TIMEOUT_MS,
                               .max_answer_bytes = 4096,
                               .fresh_connection = true};

    memset(body, ' ', sizeof(body));
    add_key(world, &options);
    set_address(&options.address, ENTRY_HOST, world->port + 3);
    *caller = (Caller){.sent_ms = Loop_NowMs()};
    HttpClient_StartCall(world->client, &options, on_answer, caller);
}

static void
call_entry(World *world, Caller *caller, const char *method)
{
    HttpCallOptions options = {.method = method,
                               .path = "/jobs/00000000000000a1",
                               .body = "{}",
                               .body_len = 2,
                               .timeout_ms = CALL_TIMEOUT_MS,
                               .max_answer_bytes = 4096,
                               .fresh_connection = true};

    add_key(world, &options);
    set_address(&options.address, ENTRY_HOST, world->port + 1);
    *caller = (Caller){.sent_ms = Loop_NowMs()};
    HttpClient_StartCall(world->client, &options, on_answer, caller);
}

static void
on_readiness(void *arg, const HttpCallResult *result)
{
    World *world = arg;

    world->asking = false;
    world->entry_answers = result->status == HTTP_CALL_ANSWERED;
    world->entry_ready =
        result->status == HTTP_CALL_ANSWERED && result->http_status == 200;
}

/* Returns whether the entry VM knows a leader. */
static bool
check_readiness(World *world)
{
    HttpCallOptions options = {.method = "GET",
                               .path = PlatformWire_Get()->ready_path,
                               .timeout_ms = 1000,
                               .max_answer_bytes = 4096,
                               .fresh_connection = true};

    set_address(&options.address, ENTRY_HOST, world->port + 2);
    if (!world->entry_ready && !world->asking) {
        world->asking = true;
        HttpClient_StartCall(world->client, &options, on_readiness, world);
    }
    return world->entry_ready;
}

/* --- the script --- */

static bool
has_answer(const World *world, const Step *step)
{
    return world->callers[step->at].answered;
}

/* Carries out a step. Returns false while it has to wait. */
static bool
run_step(World *world, const Step *step)
{
    ControlVm *control = &world->controls[step->at];
    bool waited = Loop_NowMs() - world->step_begun_ms >= PAUSE_MS;

    switch (step->kind) {
    case STEP_LISTEN:
        check_readiness(world);
        return world->entry_answers;
    case STEP_LEAD:
        control->term = (uint64_t)step->value;
        control->leads = true;
        send_fleet_msg(control);
        return check_readiness(world);
    case STEP_RESIGN:
        control->leads = false;
        send_fleet_msg(control);
        return true;
    case STEP_CRASH:
        close_control(control);
        return true;
    case STEP_REPLACE:
        replace_control(world, control);
        return true;
    case STEP_CUT:
        cut_incoming_link(control);
        return true;
    case STEP_FREEZE:
        kill(world->entry, SIGSTOP);
        return true;
    case STEP_THAW:
        kill(world->entry, SIGCONT);
        return true;
    case STEP_RECONNECT:
        return reconnect(world, control, step->value);
    case STEP_COPIES:
        return control->copies <= (size_t)step->value;
    case STEP_SUBMIT:
        call_entry(world, &world->callers[step->at], "POST");
        return true;
    case STEP_STATE:
        call_entry(world, &world->callers[step->at], "GET");
        return true;
    case STEP_CANCEL:
        call_entry(world, &world->callers[step->at], "DELETE");
        return true;
    case STEP_ORDER:
        call_control(world, &world->callers[step->at], "PUT", "/api/config",
                     (size_t)step->value * 1024);
        return true;
    case STEP_READ:
        call_control(world, &world->callers[step->at], "GET", "/api/config",
                     0);
        return true;
    case STEP_BEAT:
        call_control(world, &world->callers[step->at], "PUT",
                     "/api/instances/i-1", 2);
        return true;
    case STEP_KEY:
        world->keyed = true;
        return true;
    case STEP_ITEMS:
        return control->items == (uint32_t)step->value &&
               control->has_key_text == (step->value == 7);
    case STEP_COPY:
        if (control->copies == control->copies_awaited) {
            return false;
        }
        control->copies_awaited++;
        return true;
    case STEP_REPLY:
        send_reply(control, control->sequences[control->copies_awaited - 1],
                   step->value);
        return true;
    case STEP_STALE:
        send_reply(control, control->sequences[0], step->value);
        return true;
    case STEP_RESTART:
        kill_entry(world);
        start_entry(world);
        return true;
    case STEP_TERM:
        kill(world->entry, SIGTERM);
        return true;
    case STEP_WAIT:
        return Loop_NowMs() - world->step_begun_ms >= step->value;
    case STEP_PAUSE:
        return waited;
    default:
        return has_answer(world, step);
    }
}

static void
on_timer(void *arg)
{
    World *world = arg;
    int64_t now = Loop_NowMs();
    size_t i;

    if (now >= world->next_fleet_ms) {
        world->next_fleet_ms = now + FLEET_INTERVAL_MS;
        for (i = 0; i < CONTROL_COUNT; i++) {
            send_fleet_msg(&world->controls[i]);
        }
    }
    while (world->step->kind != STEP_END && run_step(world, world->step)) {
        world->step++;
        world->step_begun_ms = now;
    }
    if (world->step->kind == STEP_END ||
        now - world->step_begun_ms > STEP_TIMEOUT_MS) {
        Loop_Stop(world->loop);
    }
}

static void
play_script(World *world, const Step *steps)
{
    ErrCtx err;
    size_t i;

    signal(SIGPIPE, SIG_IGN);
    choose_port(world);
    write_settings(world);
    world->loop = Loop_New(&err);
    ck_assert_ptr_nonnull(world->loop);
    world->client = HttpClient_New(world->loop, 0);
    for (i = 0; i < CONTROL_COUNT; i++) {
        open_control(world, i);
    }
    start_entry(world);
    world->step = steps;
    world->step_begun_ms = Loop_NowMs();
    world->timer = Loop_NewTimer(world->loop, on_timer, world);
    Loop_Arm(world->timer, STEP_INTERVAL_MS, STEP_INTERVAL_MS);
    Loop_Run(world->loop);
    kill_entry(world);
    Loop_FreeTimer(world->timer);
    for (i = 0; i < CONTROL_COUNT; i++) {
        if (world->controls[i].peers != NULL) {
            close_control(&world->controls[i]);
        }
    }
    HttpClient_Free(world->client);
    Loop_Free(world->loop);
    close(world->port_lock);
    unlink(world->file);
    rmdir(world->folder);
}

static void
check_answers(const World *world, const char *name, const Step *steps)
{
    const Step *step;

    ck_assert_msg(world->step->kind == STEP_END, "%s: stuck at step %td", name,
                  world->step - steps);
    for (step = steps; step->kind != STEP_END; step++) {
        const Caller *caller = &world->callers[step->at];
        if (step->kind != STEP_ANSWER && step->kind != STEP_PROMPT) {
            continue;
        }
        ck_assert_msg(caller->status == step->value,
                      "%s: caller %zu got %d, expected %d", name, step->at,
                      caller->status, step->value);
        ck_assert_msg(step->kind != STEP_PROMPT ||
                          caller->took_ms < PROMPT_ANSWER_MS,
                      "%s: caller %zu got its answer after %lld ms", name,
                      step->at, (long long)caller->took_ms);
    }
}

typedef struct Script {
    const char *name;
    Step steps[16];
} Script;

static void
check_script(const Script *script)
{
    World *world = calloc(1, sizeof(*world));

    play_script(world, script->steps);
    check_answers(world, script->name, script->steps);
    free(world);
}

static const Script copy_scripts[] = {
    {"503 for the first copy, then the second is accepted",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 0, 503},
      {STEP_PAUSE, 0, 0},
      {STEP_REPLY, 1, 200},
      {STEP_ANSWER, 0, 200}}},
    {"503 for the second copy, nothing of the first",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 503},
      {STEP_ANSWER, 0, 504}}},
    {"429 for the second copy, the first one's receiver is gone",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_CRASH, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 429},
      {STEP_PROMPT, 0, 504}}},
    {"404 for the second copy, then the first is accepted",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 404},
      {STEP_PAUSE, 0, 0},
      {STEP_REPLY, 0, 200},
      {STEP_ANSWER, 0, 200}}},
    {"503 for a copy to the same leader, nothing of the first",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_RESIGN, 0, 0},
      {STEP_PAUSE, 0, 0},
      {STEP_LEAD, 0, 3},
      {STEP_COPY, 0, 0},
      {STEP_REPLY, 0, 503},
      {STEP_ANSWER, 0, 504}}},
    {"503 for the second copy, then the leader finds the first",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_CRASH, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 503},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 200},
      {STEP_PROMPT, 0, 200}}},
    {"429 for the second copy, then 504 for the first",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 429},
      {STEP_REPLY, 0, 504},
      {STEP_PROMPT, 0, 504}}},
    {"503 for the second copy of a cancel, nothing of the first",
     {{STEP_LEAD, 0, 1},
      {STEP_CANCEL, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 503},
      {STEP_ANSWER, 0, 504}}},
};

START_TEST(refusal_of_one_copy_is_not_a_refusal_of_the_job)
{
    check_script(&copy_scripts[_i]);
}
END_TEST

static const Script replaced_script = {
    "control VM returns before its earlier links end",
    {{STEP_LEAD, 0, 1},
     {STEP_SUBMIT, 0, 0},
     {STEP_COPY, 0, 0},
     {STEP_REPLACE, 0, 0},
     {STEP_LEAD, 0, 2},
     {STEP_COPY, 0, 0},
     {STEP_REPLY, 0, 429},
     {STEP_PROMPT, 0, 504}}};

START_TEST(no_reply_is_awaited_from_an_earlier_incarnation)
{
    check_script(&replaced_script);
}
END_TEST

static const Script next_leader_scripts[] = {
    {"504 by a leader that resigns",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_REPLY, 0, 504},
      {STEP_RESIGN, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 200},
      {STEP_ANSWER, 0, 200}}},
    {"503 by a former leader",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_RESIGN, 0, 0},
      {STEP_PAUSE, 0, 0},
      {STEP_REPLY, 0, 503},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 200},
      {STEP_ANSWER, 0, 200}}},
    {"state read at a former leader",
     {{STEP_LEAD, 0, 1},
      {STEP_STATE, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_RESIGN, 0, 0},
      {STEP_PAUSE, 0, 0},
      {STEP_REPLY, 0, 503},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 410},
      {STEP_ANSWER, 0, 410}}},
};

START_TEST(request_of_a_former_leader_goes_to_the_next)
{
    check_script(&next_leader_scripts[_i]);
}
END_TEST

static const Script single_scripts[] = {
    {"503 by the leader",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_REPLY, 0, 503},
      {STEP_PROMPT, 0, 503}}},
    {"429 by the leader",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_REPLY, 0, 429},
      {STEP_PROMPT, 0, 429}}},
    {"both copies refused",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 0, 503},
      {STEP_REPLY, 1, 503},
      {STEP_PROMPT, 0, 503}}},
};

START_TEST(certain_refusal_is_passed_on_at_once)
{
    check_script(&single_scripts[_i]);
}
END_TEST

static const Script link_scripts[] = {
    {"accepted on the next link",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_CUT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_REPLY, 0, 200},
      {STEP_PROMPT, 0, 200}}},
    {"refused on the next link",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_CUT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_REPLY, 0, 429},
      {STEP_PROMPT, 0, 504}}},
};

START_TEST(request_on_a_broken_link_is_sent_again)
{
    check_script(&link_scripts[_i]);
}
END_TEST

static const Script thaw_script = {"links that ended meanwhile",
                                   {{STEP_LEAD, 0, 1},
                                    {STEP_RESIGN, 0, 0},
                                    {STEP_PAUSE, 0, 0},
                                    {STEP_SUBMIT, 0, 0},
                                    {STEP_PAUSE, 0, 0},
                                    {STEP_FREEZE, 0, 0},
                                    {STEP_RECONNECT, 0, 5},
                                    {STEP_THAW, 0, 0},
                                    {STEP_COPY, 0, 0},
                                    {STEP_WAIT, 0, 150},
                                    {STEP_COPIES, 0, 1},
                                    {STEP_REPLY, 0, 200},
                                    {STEP_ANSWER, 0, 200}}};

START_TEST(thawed_entry_vm_sends_no_burst_of_copies)
{
    check_script(&thaw_script);
}
END_TEST

static const Script start_script = {"no leader yet",
                                    {{STEP_LISTEN, 0, 0},
                                     {STEP_SUBMIT, 0, 0},
                                     {STEP_PAUSE, 0, 0},
                                     {STEP_LEAD, 0, 1},
                                     {STEP_COPY, 0, 0},
                                     {STEP_REPLY, 0, 200},
                                     {STEP_ANSWER, 0, 200}}};

START_TEST(request_after_start_waits_for_first_leader)
{
    check_script(&start_script);
}
END_TEST

static const Script stop_script = {"request after the shutdown grace",
                                   {{STEP_LEAD, 0, 1},
                                    {STEP_TERM, 0, 0},
                                    {STEP_WAIT, 0, 2700},
                                    {STEP_SUBMIT, 0, 0},
                                    {STEP_COPY, 0, 0},
                                    {STEP_ANSWER, 0, 504},
                                    {STEP_SUBMIT, 1, 0},
                                    {STEP_PROMPT, 1, 503}}};

START_TEST(request_after_the_grace_is_refused_unsent)
{
    check_script(&stop_script);
}
END_TEST

static const Script incarnation_script = {"reply to an earlier incarnation",
                                          {{STEP_LEAD, 0, 1},
                                           {STEP_SUBMIT, 0, 0},
                                           {STEP_COPY, 0, 0},
                                           {STEP_RESTART, 0, 0},
                                           {STEP_LEAD, 0, 1},
                                           {STEP_SUBMIT, 1, 0},
                                           {STEP_COPY, 0, 0},
                                           {STEP_STALE, 0, 503},
                                           {STEP_PAUSE, 0, 0},
                                           {STEP_REPLY, 0, 200},
                                           {STEP_ANSWER, 1, 200}}};

START_TEST(reply_to_earlier_incarnation_answers_nobody)
{
    check_script(&incarnation_script);
}
END_TEST

static const Script order_scripts[] = {
    {"order acknowledged",
     {{STEP_LEAD, 0, 1},
      {STEP_ORDER, 0, 1},
      {STEP_COPY, 0, 0},
      {STEP_REPLY, 0, 200},
      {STEP_PROMPT, 0, 200}}},
    {"the leader stands still and the next one acknowledges",
     {{STEP_LEAD, 0, 1},
      {STEP_ORDER, 0, 1},
      {STEP_COPY, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 200},
      {STEP_PROMPT, 0, 200}}},
    {"the leader does not answer while the operator waits",
     {{STEP_LEAD, 0, 1},
      {STEP_ORDER, 0, 1},
      {STEP_COPY, 0, 0},
      {STEP_PROMPT, 0, 503}}},
    {"invalid order",
     {{STEP_LEAD, 0, 1},
      {STEP_ORDER, 0, 1},
      {STEP_COPY, 0, 0},
      {STEP_REPLY, 0, 400},
      {STEP_PROMPT, 0, 400}}},
    {"no leader",
     {{STEP_LISTEN, 0, 0}, {STEP_ORDER, 0, 1}, {STEP_PROMPT, 0, 503}}},
    {"target announced",
     {{STEP_LEAD, 0, 1},
      {STEP_BEAT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_REPLY, 0, 200},
      {STEP_PROMPT, 0, 200}}},
    {"long order goes to the leader",
     {{STEP_LEAD, 0, 1}, {STEP_ORDER, 0, 65}, {STEP_PROMPT, 0, 307}}},
    {"long order waits for the leader",
     {{STEP_LISTEN, 0, 0},
      {STEP_ORDER, 0, 65},
      {STEP_PAUSE, 0, 0},
      {STEP_LEAD, 0, 1},
      {STEP_PROMPT, 0, 307}}},
    {"read waits for the leader",
     {{STEP_LISTEN, 0, 0},
      {STEP_READ, 0, 0},
      {STEP_PAUSE, 0, 0},
      {STEP_LEAD, 0, 1},
      {STEP_PROMPT, 0, 307}}},
    {"read goes to the leader",
     {{STEP_LEAD, 0, 1}, {STEP_READ, 0, 0}, {STEP_PROMPT, 0, 307}}},
};

static const Script key_scripts[] = {
    {"request without a key, which earlier versions read",
     {{STEP_LEAD, 0, 1},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_ITEMS, 0, 6},
      {STEP_REPLY, 0, 401},
      {STEP_PROMPT, 0, 401}}},
    {"each copy has the key",
     {{STEP_LEAD, 0, 1},
      {STEP_KEY, 0, 0},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_ITEMS, 0, 7},
      {STEP_CRASH, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_ITEMS, 1, 7},
      {STEP_REPLY, 1, 200},
      {STEP_ANSWER, 0, 200}}},
    {"401 for the second copy, then the first is accepted",
     {{STEP_LEAD, 0, 1},
      {STEP_KEY, 0, 0},
      {STEP_SUBMIT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_LEAD, 1, 2},
      {STEP_COPY, 1, 0},
      {STEP_REPLY, 1, 401},
      {STEP_PAUSE, 0, 0},
      {STEP_REPLY, 0, 200},
      {STEP_ANSWER, 0, 200}}},
    {"a target's request needs no key",
     {{STEP_LEAD, 0, 1},
      {STEP_KEY, 0, 0},
      {STEP_BEAT, 0, 0},
      {STEP_COPY, 0, 0},
      {STEP_ITEMS, 0, 6},
      {STEP_REPLY, 0, 200},
      {STEP_PROMPT, 0, 200}}},
};

/* Guards against requests whose key does not reach the leader. */
START_TEST(key_is_forwarded_with_each_copy)
{
    check_script(&key_scripts[_i]);
}
END_TEST

START_TEST(order_is_answered_while_a_control_vm_stands_still)
{
    check_script(&order_scripts[_i]);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobentry");
    TCase *tcase = tcase_create("jobentry");

    tcase_add_loop_test(tcase, refusal_of_one_copy_is_not_a_refusal_of_the_job,
                        0,
                        (int)(sizeof(copy_scripts) / sizeof(copy_scripts[0])));
    tcase_add_loop_test(
        tcase, request_of_a_former_leader_goes_to_the_next, 0,
        (int)(sizeof(next_leader_scripts) / sizeof(next_leader_scripts[0])));
    tcase_add_loop_test(
        tcase, certain_refusal_is_passed_on_at_once, 0,
        (int)(sizeof(single_scripts) / sizeof(single_scripts[0])));
    tcase_add_loop_test(tcase, request_on_a_broken_link_is_sent_again, 0,
                        (int)(sizeof(link_scripts) / sizeof(link_scripts[0])));
    tcase_add_loop_test(
        tcase, order_is_answered_while_a_control_vm_stands_still, 0,
        (int)(sizeof(order_scripts) / sizeof(order_scripts[0])));
    tcase_add_loop_test(tcase, key_is_forwarded_with_each_copy, 0,
                        (int)(sizeof(key_scripts) / sizeof(key_scripts[0])));
    tcase_add_test(tcase, no_reply_is_awaited_from_an_earlier_incarnation);
    tcase_add_test(tcase, thawed_entry_vm_sends_no_burst_of_copies);
    tcase_add_test(tcase, request_after_start_waits_for_first_leader);
    tcase_add_test(tcase, request_after_the_grace_is_refused_unsent);
    tcase_add_test(tcase, reply_to_earlier_incarnation_answers_nobody);
    suite_add_tcase(suite, tcase);
    return suite;
}
