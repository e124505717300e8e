#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buf.h"
#include "common.h"
#include "mem.h"
#include "settings.h"

/* The crowd is settled once no connection has made progress for this time. The
 * kernel may hold back connections that send nothing for a second or two. */
#define SETTLE_US 3000000
#define POLL_MS 20
/* Long lines, as a parsed header takes memory besides its bytes. */
#define HEADER_BYTES 1000

/* One connection that misbehaves. All of them send the same bytes. */
typedef struct Client {
    int fd;        /* -1 once closed */
    bool answered; /* received at least one byte */
    size_t sent;
    int64_t next_us; /* earliest time of the next piece */
} Client;

typedef struct Options {
    SettingsAddress address;
    const char *shape;
    const char *host;
    const char *path;
    const char *method;
    size_t count;
    size_t bytes;     /* bytes of the body, or of the headers, that are sent */
    size_t announce;  /* Content-Length */
    size_t chunk;     /* size of the chunks of a chunked body */
    size_t piece;     /* most bytes that a connection sends at once; 0: all */
    int64_t pause_us; /* pause between two pieces */
} Options;

typedef struct Crowd {
    Options options;
    Buf stream; /* what each connection sends */
    Client *clients;
    struct pollfd *polls;
    size_t answered;
    size_t closed;
    size_t unconnected; /* connections that the system refused */
    int64_t progress_us;
} Crowd;

static volatile sig_atomic_t stopping;

static void
on_signal(int number)
{
    (void)number;
    stopping = 1;
}

/* --- what is sent --- */

static void
append_fill(Buf *out, size_t len)
{
    static const char fill[] = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";

    while (len > 0) {
        size_t part = len < sizeof(fill) - 1 ? len : sizeof(fill) - 1;
        Buf_Append(out, fill, part);
        len -= part;
    }
}

/* Appends chunks of which the last one lacks its last byte. */
static void
append_chunks(Buf *out, size_t bytes, size_t chunk)
{
    while (bytes > 0) {
        size_t part = bytes < chunk ? bytes : chunk;
        Buf_Printf(out, "%zx\r\n", chunk);
        bytes -= part;
        append_fill(out, bytes > 0 ? part : part - 1);
        if (bytes > 0) {
            Buf_Append(out, "\r\n", 2);
        }
    }
}

static bool
build_stream(const Options *options, Buf *out)
{
    size_t i;

    if (strcmp(options->shape, "start") == 0) {
        Buf_Append(out, "POST /jobs/", options->bytes);
        return true;
    }
    Buf_Printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", options->method,
               options->path, options->host);
    if (strcmp(options->shape, "announced") == 0) {
        Buf_Printf(out, "Content-Length: %zu\r\n\r\n", options->announce);
        append_fill(out, options->bytes);
    }
    else if (strcmp(options->shape, "chunked") == 0) {
        Buf_Printf(out, "Transfer-Encoding: chunked\r\n\r\n");
        append_chunks(out, options->bytes, options->chunk);
    }
    else if (strcmp(options->shape, "headers") == 0) {
        for (i = 0; out->len < options->bytes; i++) {
            Buf_Printf(out, "X-%zu: ", i);
            append_fill(out, HEADER_BYTES);
            Buf_Append(out, "\r\n", 2);
        }
    }
    else if (strcmp(options->shape, "requests") == 0) {
        Buf_Printf(out, "\r\n");
    }
    else {
        return false;
    }
    return true;
}

/* --- connections --- */

static void
close_client(Crowd *crowd, Client *client)
{
    close(client->fd);
    client->fd = -1;
    crowd->closed++;
    crowd->progress_us = Common_NowUs();
}

static void
open_client(Crowd *crowd, Client *client)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    int small = 4096;

    to.sin_port = htons((uint16_t)crowd->options.address.port);
    inet_pton(AF_INET, crowd->options.address.host, &to.sin_addr);
    client->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (client->fd < 0) {
        crowd->unconnected++;
        return;
    }
    /* Clients that do not read must fill the buffers of both sides. */
    setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    if (connect(client->fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
        errno != EINPROGRESS) {
        close(client->fd);
        client->fd = -1;
        crowd->unconnected++;
    }
}

static void
send_piece(Crowd *crowd, Client *client, int64_t now_us)
{
    size_t len = crowd->stream.len - client->sent;
    ssize_t sent;

    if (crowd->options.piece > 0 && len > crowd->options.piece) {
        len = crowd->options.piece;
    }
    sent =
        send(client->fd, crowd->stream.data + client->sent, len, MSG_NOSIGNAL);
    if (sent > 0) {
        client->sent += (size_t)sent;
        client->next_us = now_us + crowd->options.pause_us;
        crowd->progress_us = now_us;
    }
    else if (errno != EAGAIN) {
        close_client(crowd, client);
    }
}

/* Returns whether the clients read their answers. Others notice the first
 * byte of an answer and leave it unread. */
static bool
is_reader(const Crowd *crowd)
{
    return strcmp(crowd->options.shape, "requests") != 0;
}

static void
receive(Crowd *crowd, Client *client)
{
    char bytes[512];
    ssize_t len = recv(client->fd, bytes, sizeof(bytes),
                       is_reader(crowd) ? 0 : MSG_PEEK);

    if (len > 0) {
        if (!client->answered) {
            client->answered = true;
            crowd->answered++;
            crowd->progress_us = Common_NowUs();
        }
    }
    else if (len == 0 || errno != EAGAIN) {
        close_client(crowd, client);
    }
}

static void
poll_clients(Crowd *crowd)
{
    int64_t now_us = Common_NowUs();
    size_t i;

    for (i = 0; i < crowd->options.count; i++) {
        Client *client = &crowd->clients[i];
        bool writes =
            client->sent < crowd->stream.len && client->next_us <= now_us;
        bool reads = is_reader(crowd) || !client->answered;
        crowd->polls[i].fd = client->fd;
        crowd->polls[i].events =
            (short)((writes ? POLLOUT : 0) | (reads ? POLLIN : 0));
    }
    if (poll(crowd->polls, crowd->options.count, POLL_MS) <= 0) {
        return;
    }
    now_us = Common_NowUs();
    for (i = 0; i < crowd->options.count; i++) {
        Client *client = &crowd->clients[i];
        short events = crowd->polls[i].revents;
        if (client->fd >= 0 && (events & POLLIN)) {
            receive(crowd, client);
        }
        if (client->fd >= 0 && (events & POLLOUT)) {
            send_piece(crowd, client, now_us);
        }
        if (client->fd >= 0 && (events & (POLLERR | POLLHUP)) &&
            !(events & POLLIN)) {
            close_client(crowd, client);
        }
    }
}

static void
print_report(const Crowd *crowd, const char *state)
{
    size_t complete = 0;
    size_t i;

    for (i = 0; i < crowd->options.count; i++) {
        complete += crowd->clients[i].sent == crowd->stream.len;
    }
    printf("{\"state\":\"%s\",\"clients\":%zu,\"sent_all\":%zu,"
           "\"answered\":%zu,\"closed\":%zu,\"open\":%zu}\n",
           state, crowd->options.count, complete, crowd->answered,
           crowd->closed,
           crowd->options.count - crowd->closed - crowd->unconnected);
    fflush(stdout);
}

/* Plays the crowd until a signal arrives. Connections stay open. */
static void
run(Crowd *crowd)
{
    bool settled = false;
    size_t i;

    crowd->clients = Mem_New(crowd->options.count, sizeof(Client));
    crowd->polls = Mem_New(crowd->options.count, sizeof(struct pollfd));
    crowd->progress_us = Common_NowUs();
    for (i = 0; i < crowd->options.count; i++) {
        crowd->clients[i].fd = -1;
    }
    for (i = 0; i < crowd->options.count && !stopping; i++) {
        open_client(crowd, &crowd->clients[i]);
        if (i % 16 == 0) {
            poll_clients(crowd);
        }
    }
    while (!stopping) {
        poll_clients(crowd);
        if (!settled && Common_NowUs() - crowd->progress_us > SETTLE_US) {
            settled = true;
            print_report(crowd, "settled");
        }
    }
    print_report(crowd, "ended");
    free(crowd->clients);
    free(crowd->polls);
}

int
main(int argc, char **argv)
{
    struct arg_str *to = arg_str1(NULL, "to", "ADDRESS", "server");
    struct arg_str *shape = arg_str1(
        NULL, "shape", "NAME",
        "announced, chunked, headers, requests (never read) or start");
    struct arg_str *host = arg_str0(NULL, "host", "HOST", "Host header");
    struct arg_str *path = arg_str0(NULL, "path", "PATH", "path");
    struct arg_str *method = arg_str0(NULL, "method", "METHOD", "method");
    struct arg_int *count = arg_int0(NULL, "count", "N", "connections");
    struct arg_int *bytes =
        arg_int0(NULL, "bytes", "N", "bytes of body or headers that are sent");
    struct arg_int *announce =
        arg_int0(NULL, "announce", "N", "Content-Length; bytes + 1");
    struct arg_int *chunk = arg_int0(NULL, "chunk", "N", "chunk size");
    struct arg_int *piece =
        arg_int0(NULL, "piece", "N", "most bytes that are sent at once");
    struct arg_int *pause =
        arg_int0(NULL, "pause-ms", "N", "pause between two pieces");
    struct arg_end *end = arg_end(20);
    void *table[] = {to,    shape,    host,  path,  method, count,
                     bytes, announce, chunk, piece, pause,  end};
    Crowd crowd = {.stream = BUF_INIT};
    Options *options = &crowd.options;

    host->sval[0] = "a.example";
    path->sval[0] = "/jobs/00000000000000ff";
    method->sval[0] = "POST";
    count->ival[0] = 200;
    bytes->ival[0] = 0;
    announce->ival[0] = -1;
    chunk->ival[0] = 1;
    piece->ival[0] = 0;
    pause->ival[0] = 0;
    if (arg_parse(argc, argv, table) != 0 ||
        !Settings_ParseAddress(to->sval[0], &options->address)) {
        arg_print_errors(stderr, end, "standin-crowd");
        return 2;
    }
    options->shape = shape->sval[0];
    options->host = host->sval[0];
    options->path = path->sval[0];
    options->method = method->sval[0];
    options->count = (size_t)count->ival[0];
    options->bytes = (size_t)bytes->ival[0];
    options->announce = announce->ival[0] >= 0 ? (size_t)announce->ival[0]
                                               : options->bytes + 1;
    options->chunk = (size_t)chunk->ival[0];
    options->piece = (size_t)piece->ival[0];
    options->pause_us = (int64_t)pause->ival[0] * 1000;
    if (!build_stream(options, &crowd.stream)) {
        fprintf(stderr, "standin-crowd: unknown shape %s\n", options->shape);
        return 2;
    }
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    run(&crowd);
    Buf_Free(&crowd.stream);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}
