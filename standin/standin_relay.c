/* Relays TCP connections between entry VMs to simulate network partitions.
 * Each pair of addresses belongs to a group. HTTP requests to the control port
 * cut, heal or delay a group. */
#include <apr_general.h>
#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buf.h"
#include "diag.h"
#include "httpserver.h"
#include "loop.h"
#include "settings.h"

#define RELAY_MAX_PAIRS 128
#define RELAY_MAX_GROUPS 32
#define RELAY_NAME_BYTES 64
#define RELAY_READ_BYTES 65536
#define RELAY_STOP_POLL_MS 50
/* A pipe that buffers this much reads no more until bytes are written. */
#define RELAY_MAX_BUFFERED_BYTES (8 * 1024 * 1024)

typedef enum RelayCut {
    RELAY_OPEN,   /* relays bytes */
    RELAY_SILENT, /* drops bytes; new connections hang */
    RELAY_REFUSE, /* drops bytes; new connections are refused */
    RELAY_LATE    /* holds bytes until the heal; new connections hang */
} RelayCut;

typedef struct Group {
    char name[RELAY_NAME_BYTES];
    RelayCut cut;
    int64_t delay_ms;
    int64_t dropped_bytes;
} Group;

typedef struct Pair {
    Group *group;
    SettingsAddress from; /* address to listen on */
    SettingsAddress to;   /* address to connect to */
    int listener;         /* -1: closed */
    LoopWatch *watch;
} Pair;

/* Bytes that may be written from due_ms on. */
typedef struct Chunk {
    int64_t due_ms;
    Buf bytes;
    struct Chunk *next;
} Chunk;

/* One direction of a link. */
typedef struct Pipe {
    struct Link *link;
    int in_fd;
    int out_fd;
    bool ended; /* the end of the input was read */
    size_t buffered_bytes;
    Chunk *first;
    Chunk **last;
} Pipe;

/* A client's connection and its relayed connection to the server. */
typedef struct Link {
    Pair *pair;
    int client_fd;
    int server_fd; /* -1: none */
    bool broken;   /* a cut dropped bytes; the stream cannot continue */
    Pipe pipes[2];
    LoopWatch *watches[2]; /* watches of client_fd and server_fd */
    LoopTimer *timer;
    struct Link *next;
    struct Link **prev_next; /* next member or head that points here */
} Link;

static Loop *loop;
static Group groups[RELAY_MAX_GROUPS];
static size_t group_count;
static Pair pairs[RELAY_MAX_PAIRS];
static size_t pair_count;
static Link *links;
static volatile sig_atomic_t stop_requested;

static void
handle_signal(int number)
{
    (void)number;
    stop_requested = 1;
}

static bool
to_socket_address(const SettingsAddress *address, struct sockaddr_in *out)
{
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)address->port);
    return inet_pton(AF_INET, address->host, &out->sin_addr) == 1;
}

static void
set_socket_options(int fd)
{
    int on = 1;

    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/* --- links --- */

static void
close_link(Link *link)
{
    size_t i;

    *link->prev_next = link->next;
    if (link->next != NULL) {
        link->next->prev_next = link->prev_next;
    }
    for (i = 0; i < 2; i++) {
        Pipe *pipe = &link->pipes[i];
        if (link->watches[i] != NULL) {
            Loop_Unwatch(link->watches[i]);
        }
        while (pipe->first != NULL) {
            Chunk *chunk = pipe->first;
            pipe->first = chunk->next;
            Buf_Free(&chunk->bytes);
            free(chunk);
        }
    }
    Loop_FreeTimer(link->timer);
    close(link->client_fd);
    if (link->server_fd >= 0) {
        close(link->server_fd);
    }
    free(link);
}

static bool
may_read(const Link *link, const Pipe *pipe)
{
    return !pipe->ended && pipe->buffered_bytes < RELAY_MAX_BUFFERED_BYTES &&
           link->pair->group->cut != RELAY_LATE;
}

/* Returns whether the first chunk of a pipe may be written now. */
static bool
may_write(const Link *link, const Pipe *pipe, int64_t now)
{
    return pipe->first != NULL && pipe->first->due_ms <= now &&
           link->pair->group->cut == RELAY_OPEN;
}

static void
update_events(Link *link)
{
    int64_t now = Loop_NowMs();
    int64_t next = -1;
    size_t i;

    for (i = 0; i < 2; i++) {
        Pipe *incoming = &link->pipes[i];
        Pipe *outgoing = &link->pipes[1 - i];
        if (link->watches[i] != NULL) {
            Loop_SetEvents(
                link->watches[i],
                (may_read(link, incoming) ? LOOP_READ : 0) |
                    (may_write(link, outgoing, now) ? LOOP_WRITE : 0));
        }
        if (incoming->first != NULL && incoming->first->due_ms > now &&
            (next < 0 || incoming->first->due_ms < next)) {
            next = incoming->first->due_ms;
        }
    }
    if (next >= 0) {
        Loop_Arm(link->timer, next - now, 0);
    }
}

static void
on_timer(void *arg)
{
    update_events(arg);
}

/* Reads available bytes into a pipe. Returns false if the socket failed. */
static bool
read_pipe(Link *link, Pipe *pipe)
{
    static char bytes[RELAY_READ_BYTES];
    Group *group = link->pair->group;
    ssize_t len = read(pipe->in_fd, bytes, sizeof(bytes));
    Chunk *chunk;

    if (len < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    if (len == 0) {
        pipe->ended = true;
        return true;
    }
    if (group->cut != RELAY_OPEN || link->broken) {
        link->broken = true;
        group->dropped_bytes += len;
        return true;
    }
    chunk = calloc(1, sizeof(*chunk));
    if (chunk == NULL) {
        abort();
    }
    chunk->due_ms = Loop_NowMs() + group->delay_ms;
    Buf_Append(&chunk->bytes, bytes, (size_t)len);
    pipe->buffered_bytes += (size_t)len;
    *pipe->last = chunk;
    pipe->last = &chunk->next;
    return true;
}

static bool
write_pipe(Link *link, Pipe *pipe)
{
    while (may_write(link, pipe, Loop_NowMs())) {
        Chunk *chunk = pipe->first;
        ssize_t len = send(pipe->out_fd, chunk->bytes.data, chunk->bytes.len,
                           MSG_NOSIGNAL);
        if (len < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        pipe->buffered_bytes -= (size_t)len;
        Buf_Consume(&chunk->bytes, (size_t)len);
        if (chunk->bytes.len > 0) {
            return true;
        }
        pipe->first = chunk->next;
        if (pipe->first == NULL) {
            pipe->last = &pipe->first;
        }
        Buf_Free(&chunk->bytes);
        free(chunk);
    }
    return true;
}

static void
handle_events(Link *link, size_t side, int events)
{
    Pipe *incoming = &link->pipes[side];
    Pipe *outgoing = &link->pipes[1 - side];

    if (((events & LOOP_READ) != 0 && may_read(link, incoming) &&
         !read_pipe(link, incoming)) ||
        !write_pipe(link, outgoing) || !write_pipe(link, incoming)) {
        close_link(link);
        return;
    }
    /* An end of input closes the link after all bytes before it were written.
     * During a cut the link stays open, since a partition also hides the
     * packets of a close. */
    if (link->pair->group->cut == RELAY_OPEN &&
        ((incoming->ended && incoming->first == NULL) ||
         (outgoing->ended && outgoing->first == NULL))) {
        close_link(link);
        return;
    }
    update_events(link);
}

static void
on_client(void *arg, int events)
{
    handle_events(arg, 0, events);
}

static void
on_server(void *arg, int events)
{
    handle_events(arg, 1, events);
}

/* Starts to connect to the server. Returns false if that fails at once. */
static bool
connect_server(Link *link)
{
    struct sockaddr_in address;

    link->server_fd = socket(AF_INET, SOCK_STREAM, 0);
    if (link->server_fd < 0 || !to_socket_address(&link->pair->to, &address)) {
        return false;
    }
    set_socket_options(link->server_fd);
    if (connect(link->server_fd, (struct sockaddr *)&address,
                sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        return false;
    }
    link->pipes[0].out_fd = link->server_fd;
    link->pipes[1].in_fd = link->server_fd;
    link->watches[1] =
        Loop_Watch(loop, link->server_fd, LOOP_READ, on_server, link);
    return link->watches[1] != NULL;
}

static void
accept_link(void *arg, int events)
{
    Pair *pair = arg;
    Link *link;
    size_t i;
    int fd = accept(pair->listener, NULL, NULL);

    (void)events;
    if (fd < 0) {
        return;
    }
    set_socket_options(fd);
    link = calloc(1, sizeof(*link));
    if (link == NULL) {
        abort();
    }
    link->pair = pair;
    link->client_fd = fd;
    link->server_fd = -1;
    for (i = 0; i < 2; i++) {
        link->pipes[i].link = link;
        link->pipes[i].last = &link->pipes[i].first;
    }
    link->pipes[0].in_fd = fd;
    link->pipes[1].out_fd = fd;
    link->timer = Loop_NewTimer(loop, on_timer, link);
    link->next = links;
    link->prev_next = &links;
    if (links != NULL) {
        links->prev_next = &link->next;
    }
    links = link;
    link->watches[0] = Loop_Watch(loop, fd, LOOP_READ, on_client, link);
    if (pair->group->cut != RELAY_OPEN) {
        link->broken = true;
    }
    else if (!connect_server(link)) {
        close_link(link);
        return;
    }
    update_events(link);
}

/* --- groups --- */

static bool
open_listener(Pair *pair)
{
    struct sockaddr_in address;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (fd < 0 || !to_socket_address(&pair->from, &address)) {
        return false;
    }
    set_socket_options(fd);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 64) != 0) {
        close(fd);
        Diag_Log(DIAG_ERROR, "relay", "Cannot listen on %s:%d: %s.",
                 pair->from.host, pair->from.port, strerror(errno));
        return false;
    }
    pair->listener = fd;
    pair->watch = Loop_Watch(loop, fd, LOOP_READ, accept_link, pair);
    return pair->watch != NULL;
}

static void
close_listener(Pair *pair)
{
    if (pair->listener >= 0) {
        Loop_Unwatch(pair->watch);
        close(pair->listener);
        pair->listener = -1;
    }
}

/* Applies a change of a group to its pairs and links. Returns false if a
 * listener cannot be opened. */
static bool
apply_group(Group *group)
{
    Link *link = links;
    size_t i;
    bool ok = true;

    for (i = 0; i < pair_count; i++) {
        if (pairs[i].group != group) {
            continue;
        }
        if (group->cut == RELAY_REFUSE) {
            close_listener(&pairs[i]);
        }
        else if (pairs[i].listener < 0) {
            ok = open_listener(&pairs[i]) && ok;
        }
    }
    while (link != NULL) {
        Link *next = link->next;
        if (link->pair->group != group) {
            link = next;
            continue;
        }
        /* After the heal, closes the links that lost bytes and those whose end
         * of input was hidden by the cut. */
        if (group->cut == RELAY_OPEN &&
            (link->broken || link->pipes[0].ended || link->pipes[1].ended)) {
            close_link(link);
        }
        else {
            update_events(link);
        }
        link = next;
    }
    return ok;
}

static Group *
find_group(const char *name, size_t len)
{
    size_t i;

    for (i = 0; i < group_count; i++) {
        if (strlen(groups[i].name) == len &&
            memcmp(groups[i].name, name, len) == 0) {
            return &groups[i];
        }
    }
    return NULL;
}

static void
reply_state(HttpRequest *http, int status)
{
    static const char *const cut_names[] = {"open", "silent", "refuse",
                                            "late"};
    Buf text = BUF_INIT;
    size_t i;

    for (i = 0; i < group_count; i++) {
        Buf_Printf(&text, "%s %s %lld ms, %lld bytes dropped\n",
                   groups[i].name, cut_names[groups[i].cut],
                   (long long)groups[i].delay_ms,
                   (long long)groups[i].dropped_bytes);
    }
    HttpRequest_ReplyText(http, status, "text/plain", Buf_Text(&text));
    Buf_Free(&text);
}

static bool
change_group(Group *group, const char *path, HttpRequest *http)
{
    const char *kind = HttpRequest_GetQuery(http, "kind");
    const char *ms = HttpRequest_GetQuery(http, "ms");

    if (strcmp(path, "/heal") == 0) {
        group->cut = RELAY_OPEN;
    }
    else if (strcmp(path, "/delay") == 0 && ms != NULL) {
        group->delay_ms = strtol(ms, NULL, 10);
    }
    else if (strcmp(path, "/cut") == 0) {
        if (kind == NULL || strcmp(kind, "silent") == 0) {
            group->cut = RELAY_SILENT;
        }
        else if (strcmp(kind, "refuse") == 0) {
            group->cut = RELAY_REFUSE;
        }
        else if (strcmp(kind, "late") == 0) {
            group->cut = RELAY_LATE;
        }
        else {
            return false;
        }
    }
    else {
        return false;
    }
    return apply_group(group);
}

static void
handle_http(void *arg, HttpRequest *http)
{
    const char *name = HttpRequest_GetQuery(http, "group");
    const char *path = HttpRequest_GetPath(http);
    Group *group = name != NULL ? find_group(name, strlen(name)) : NULL;

    (void)arg;
    if (strcmp(path, "/state") == 0) {
        reply_state(http, 200);
    }
    else if (group == NULL) {
        reply_state(http, 404);
    }
    else {
        reply_state(http, change_group(group, path, http) ? 200 : 400);
    }
}

/* --- start-up --- */

/* Adds a pair from the text "GROUP:IP:PORT=IP:PORT". */
static bool
add_pair(const char *text)
{
    const char *colon = strchr(text, ':');
    const char *equals = strchr(text, '=');
    char from[RELAY_NAME_BYTES];
    Pair *pair = &pairs[pair_count];
    size_t len;

    if (colon == NULL || equals == NULL || equals < colon ||
        pair_count == RELAY_MAX_PAIRS) {
        return false;
    }
    len = (size_t)(colon - text);
    pair->group = find_group(text, len);
    if (pair->group == NULL) {
        if (group_count == RELAY_MAX_GROUPS || len >= RELAY_NAME_BYTES) {
            return false;
        }
        pair->group = &groups[group_count++];
        memcpy(pair->group->name, text, len);
    }
    snprintf(from, sizeof(from), "%.*s", (int)(equals - colon - 1), colon + 1);
    pair->listener = -1;
    pair_count++;
    return Settings_ParseAddress(from, &pair->from) &&
           Settings_ParseAddress(equals + 1, &pair->to);
}

static void
check_stop(void *arg)
{
    (void)arg;
    if (stop_requested) {
        Loop_Stop(loop);
    }
}

static int
run_relay(const SettingsAddress *control)
{
    HttpServerOptions options = {.address = *control,
                                 .max_body_bytes = 1024,
                                 .idle_timeout_s = 30,
                                 .handler = handle_http};
    struct sigaction action = {.sa_handler = handle_signal};
    LoopTimer *timer;
    HttpServer *server;
    ErrCtx err = {0};
    size_t i;

    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    loop = Loop_New(&err);
    server = loop != NULL ? HttpServer_New(loop, &options, &err) : NULL;
    if (server == NULL) {
        Diag_Log(DIAG_ERROR, "relay", "Cannot start: %s.", err.message);
        return EXIT_FAILURE;
    }
    for (i = 0; i < pair_count; i++) {
        if (!open_listener(&pairs[i])) {
            return EXIT_FAILURE;
        }
    }
    timer = Loop_NewTimer(loop, check_stop, NULL);
    Loop_Arm(timer, RELAY_STOP_POLL_MS, RELAY_STOP_POLL_MS);
    Diag_Log(DIAG_INFO, "relay", "Relaying %zu pairs in %zu groups.",
             pair_count, group_count);
    Loop_Run(loop);
    while (links != NULL) {
        close_link(links);
    }
    for (i = 0; i < pair_count; i++) {
        close_listener(&pairs[i]);
    }
    Loop_FreeTimer(timer);
    HttpServer_Free(server);
    Loop_Free(loop);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    struct arg_str *pair =
        arg_strn(NULL, "pair", "GROUP:IP:PORT=IP:PORT", 1, RELAY_MAX_PAIRS,
                 "listens on the first and connects to the second; "
                 "repeatable");
    struct arg_str *control =
        arg_str1(NULL, "control", "IP:PORT",
                 "HTTP: POST /cut?group=G&kind=silent|refuse|late, "
                 "/heal?group=G, /delay?group=G&ms=N; GET /state");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this text");
    struct arg_end *end = arg_end(20);
    void *table[] = {pair, control, help, end};
    SettingsAddress address;
    int errors = arg_parse(argc, argv, table);
    int i;

    if (help->count > 0) {
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
        return EXIT_SUCCESS;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, "standin-relay");
        return 2;
    }
    for (i = 0; i < pair->count; i++) {
        if (!add_pair(pair->sval[i])) {
            fprintf(stderr, "standin-relay: bad pair %s\n", pair->sval[i]);
            return 2;
        }
    }
    if (!Settings_ParseAddress(control->sval[0], &address)) {
        fprintf(stderr, "standin-relay: bad address %s\n", control->sval[0]);
        return 2;
    }
    Diag_Init("standin-relay", DIAG_INFO);
    if (apr_initialize() != APR_SUCCESS) {
        return EXIT_FAILURE;
    }
    return run_relay(&address);
}
