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
#define MAX_HEADERS 8
#define DEFAULT_FILL "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

/* Stands for a number in the path and the headers that differs in each
 * connection. */
#define NUMBER_MARK "################"

/* A client that misbehaves. All of them send the same bytes but for the
 * numbers in their heads. */
typedef struct Client {
    int fd;        /* -1 once closed */
    bool answered; /* received at least one byte */
    Buf head;
    size_t sent;     /* bytes of the head and the body */
    int rounds;      /* connections that it still opens after this one */
    int64_t next_us; /* earliest time of the next piece */
} Client;

typedef struct Options {
    SettingsAddress address;
    const char *shape;
    const char *host;
    const char *path;
    const char *method;
    const char *const *headers;
    size_t header_count;
    Buf fill;         /* what bodies consist of, repeated */
    size_t count;     /* number of clients */
    int rounds;       /* connections that each client opens one by one */
    int pipeline;     /* requests that a connection sends */
    bool unread;      /* answers stay unread after their first byte */
    size_t bytes;     /* bytes of the body, or of the headers, that are sent */
    size_t announce;  /* Content-Length */
    size_t chunk;     /* size of the chunks of a chunked body */
    size_t piece;     /* most bytes after the head that a connection sends at
                       * once; 0: all */
    int64_t pause_us; /* pause between two pieces */
    int64_t settle_us; /* a crowd that goes on counts as settled after this */
} Options;

typedef struct Crowd {
    Options options;
    Buf head; /* of each request, with marks in place of numbers */
    Buf body; /* what each connection sends after its head */
    Client *clients;
    struct pollfd *polls;
    uint64_t next_number;
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

/* Appends len bytes of the repeated fill. */
static void
append_fill(const Options *options, Buf *out, size_t len)
{
    while (len > 0) {
        size_t part = len < options->fill.len ? len : options->fill.len;
        Buf_Append(out, options->fill.data, part);
        len -= part;
    }
}

/* Appends chunks of which the last one lacks its last byte. */
static void
append_chunks(const Options *options, Buf *out)
{
    size_t bytes = options->bytes;

    while (bytes > 0) {
        size_t part = bytes < options->chunk ? bytes : options->chunk;
        Buf_Printf(out, "%zx\r\n", options->chunk);
        bytes -= part;
        append_fill(options, out, bytes > 0 ? part : part - 1);
        if (bytes > 0) {
            Buf_Append(out, "\r\n", 2);
        }
    }
}

/* Appends header lines of together at least the given length. */
static void
append_headers(const Options *options, Buf *out)
{
    size_t end = out->len + options->bytes;
    size_t i;

    for (i = 0; out->len < end; i++) {
        Buf_Printf(out, "X-%zu: ", i);
        append_fill(options, out, HEADER_BYTES);
        Buf_Append(out, "\r\n", 2);
    }
}

static void
append_head(const Options *options, Buf *out)
{
    size_t i;

    Buf_Printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", options->method,
               options->path, options->host);
    for (i = 0; i < options->header_count; i++) {
        Buf_Printf(out, "%s\r\n", options->headers[i]);
    }
}

/* Appends what follows the head of a request. Returns false for an unknown
 * shape. */
static bool
append_body(const Options *options, Buf *out)
{
    static const char chunked[] = "Transfer-Encoding: chunked\r\n\r\n";

    if (strcmp(options->shape, "announced") == 0) {
        Buf_Printf(out, "Content-Length: %zu\r\n\r\n", options->announce);
        append_fill(options, out, options->bytes);
    }
    else if (strcmp(options->shape, "chunked") == 0) {
        Buf_Printf(out, "%s", chunked);
        append_chunks(options, out);
    }
    else if (strcmp(options->shape, "extensions") == 0) {
        Buf_Printf(out, "%s%zx;x=", chunked, options->chunk);
        append_fill(options, out, options->bytes);
    }
    else if (strcmp(options->shape, "trailers") == 0) {
        Buf_Printf(out, "%s1\r\nx\r\n0\r\n", chunked);
        append_headers(options, out);
    }
    else if (strcmp(options->shape, "headers") == 0) {
        append_headers(options, out);
    }
    else if (strcmp(options->shape, "requests") == 0) {
        Buf_Printf(out, "\r\n");
    }
    else {
        return false;
    }
    return true;
}

static bool
build_streams(Crowd *crowd)
{
    const Options *options = &crowd->options;
    int i;

    if (strcmp(options->shape, "start") == 0) {
        Buf_Append(&crowd->head, "POST /jobs/", options->bytes);
        return true;
    }
    if (strcmp(options->shape, "raw") == 0) {
        append_fill(options, &crowd->body, options->bytes);
        return true;
    }
    append_head(options, &crowd->head);
    if (!append_body(options, &crowd->body)) {
        return false;
    }
    for (i = 1; i < options->pipeline; i++) {
        append_head(options, &crowd->body);
        append_body(options, &crowd->body);
    }
    return true;
}

/* Replaces each mark of a client's head by the next number. */
static void
number_head(Crowd *crowd, Client *client)
{
    char number[sizeof(NUMBER_MARK)];
    char *at;

    Buf_Clear(&client->head);
    Buf_Append(&client->head, crowd->head.data, crowd->head.len);
    at = client->head.len > 0 ? (char *)Buf_Text(&client->head) : NULL;
    while (at != NULL && (at = strstr(at, NUMBER_MARK)) != NULL) {
        snprintf(number, sizeof(number), "%016llx",
                 (unsigned long long)crowd->next_number);
        memcpy(at, number, sizeof(number) - 1);
    }
    crowd->next_number++;
}

/* --- connections --- */

static size_t
get_stream_len(const Crowd *crowd, const Client *client)
{
    return client->head.len + crowd->body.len;
}

static void
open_client(Crowd *crowd, Client *client)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    int small = 4096;

    to.sin_port = htons((uint16_t)crowd->options.address.port);
    inet_pton(AF_INET, crowd->options.address.host, &to.sin_addr);
    client->sent = 0;
    client->answered = false;
    client->next_us = 0;
    number_head(crowd, client);
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

/* Closes a connection. Its client comes again at once if it has rounds left.
 */
static void
close_client(Crowd *crowd, Client *client)
{
    close(client->fd);
    client->fd = -1;
    crowd->closed++;
    crowd->progress_us = Common_NowUs();
    if (client->rounds > 0) {
        client->rounds--;
        open_client(crowd, client);
    }
}

static void
send_piece(Crowd *crowd, Client *client, int64_t now_us)
{
    bool in_head = client->sent < client->head.len;
    const char *from =
        in_head ? client->head.data + client->sent
                : crowd->body.data + client->sent - client->head.len;
    size_t len = (in_head ? client->head.len : get_stream_len(crowd, client)) -
                 client->sent;
    ssize_t sent;

    /* A head in pieces would only meet the time limit of headers. */
    if (!in_head && crowd->options.piece > 0 && len > crowd->options.piece) {
        len = crowd->options.piece;
    }
    sent = send(client->fd, from, len, MSG_NOSIGNAL);
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
 * byte of an answer. */
static bool
is_reader(const Crowd *crowd)
{
    return !crowd->options.unread;
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
        if (client->rounds > 0 &&
            client->sent == get_stream_len(crowd, client)) {
            close_client(crowd, client);
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
        bool writes = client->sent < get_stream_len(crowd, client) &&
                      client->next_us <= now_us;
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
    size_t open = 0;
    size_t i;

    for (i = 0; i < crowd->options.count; i++) {
        const Client *client = &crowd->clients[i];
        complete += client->sent == get_stream_len(crowd, client);
        open += client->fd >= 0;
    }
    printf("{\"state\":\"%s\",\"clients\":%zu,\"sent_all\":%zu,"
           "\"answered\":%zu,\"closed\":%zu,\"open\":%zu}\n",
           state, crowd->options.count, complete, crowd->answered,
           crowd->closed, open);
    fflush(stdout);
}

/* Plays the crowd until a signal arrives. Connections stay open. */
static void
run(Crowd *crowd)
{
    int64_t settle_us = Common_NowUs() + crowd->options.settle_us;
    bool settled = false;
    size_t i;

    crowd->clients = Mem_New(crowd->options.count, sizeof(Client));
    crowd->polls = Mem_New(crowd->options.count, sizeof(struct pollfd));
    crowd->progress_us = Common_NowUs();
    for (i = 0; i < crowd->options.count; i++) {
        crowd->clients[i].fd = -1;
        crowd->clients[i].rounds = crowd->options.rounds - 1;
    }
    for (i = 0; i < crowd->options.count && !stopping; i++) {
        open_client(crowd, &crowd->clients[i]);
        if (i % 16 == 0) {
            poll_clients(crowd);
        }
    }
    while (!stopping) {
        poll_clients(crowd);
        if (!settled &&
            (Common_NowUs() - crowd->progress_us > SETTLE_US ||
             (crowd->options.settle_us > 0 && Common_NowUs() >= settle_us))) {
            settled = true;
            print_report(crowd, "settled");
        }
    }
    print_report(crowd, "ended");
    for (i = 0; i < crowd->options.count; i++) {
        Buf_Free(&crowd->clients[i].head);
    }
    free(crowd->clients);
    free(crowd->polls);
}

/* Reads the file that bodies consist of. */
static bool
read_fill(const char *name, Buf *fill)
{
    char bytes[65536];
    FILE *file = fopen(name, "rb");
    size_t len;

    if (file == NULL) {
        return false;
    }
    while ((len = fread(bytes, 1, sizeof(bytes), file)) > 0) {
        Buf_Append(fill, bytes, len);
    }
    fclose(file);
    return fill->len > 0;
}

/* The arguments of the command line; parallel to the fields of Options. */
typedef struct Args {
    struct arg_str *to;
    struct arg_str *shape;
    struct arg_str *host;
    struct arg_str *path;
    struct arg_str *method;
    struct arg_str *header;
    struct arg_file *body;
    struct arg_int *count;
    struct arg_int *rounds;
    struct arg_int *pipeline;
    struct arg_lit *unread;
    struct arg_int *bytes;
    struct arg_int *announce;
    struct arg_int *chunk;
    struct arg_int *piece;
    struct arg_int *pause;
    struct arg_int *settle;
    struct arg_end *end;
} Args;

static struct arg_str *
new_text(const char *name, const char *type, const char *text,
         const char *initial)
{
    struct arg_str *arg = arg_str0(NULL, name, type, text);

    arg->sval[0] = initial;
    return arg;
}

static struct arg_int *
new_int(const char *name, const char *text, int initial)
{
    struct arg_int *arg = arg_int0(NULL, name, "N", text);

    arg->ival[0] = initial;
    return arg;
}

static Args
new_args(void)
{
    Args args = {
        .to = arg_str1(NULL, "to", "ADDRESS", "server"),
        .shape = arg_str1(NULL, "shape", "NAME",
                          "announced, chunked, extensions, trailers, "
                          "headers, requests (unread), start or raw"),
        .host = new_text("host", "HOST", "Host header", "a.example"),
        .path = new_text("path", "PATH", "path; 16 '#' stand for a number",
                         "/jobs/00000000000000ff"),
        .method = new_text("method", "METHOD", "method", "POST"),
        .header = arg_strn(NULL, "header", "LINE", 0, MAX_HEADERS,
                           "header, with numbers as the path"),
        .body = arg_file0(NULL, "body", "FILE",
                          "what bodies consist of, repeated"),
        .count = new_int("count", "clients", 200),
        .rounds = new_int("rounds",
                          "connections of a client, one after the other", 1),
        .pipeline = new_int("pipeline", "requests of a connection", 1),
        .unread = arg_lit0(NULL, "unread", "read no answers"),
        .bytes = new_int(
            "bytes", "bytes of body or headers that are sent; the file", -1),
        .announce =
            new_int("announce", "Content-Length; bytes + 1, the file", -1),
        .chunk = new_int("chunk", "chunk size", 1),
        .piece = new_int("piece",
                         "most bytes after the head that are sent at once", 0),
        .pause = new_int("pause-ms", "pause between two pieces", 0),
        .settle = new_int(
            "settle-ms",
            "time after which a crowd that goes on counts as settled", 0),
        .end = arg_end(20),
    };

    return args;
}

static void
set_sizes(const Args *args, Options *options)
{
    if (args->bytes->ival[0] >= 0) {
        options->bytes = (size_t)args->bytes->ival[0];
        options->announce = options->bytes + 1;
    }
    else if (args->body->count > 0) {
        options->bytes = options->fill.len;
        options->announce = options->bytes;
    }
    if (args->announce->ival[0] >= 0) {
        options->announce = (size_t)args->announce->ival[0];
    }
    options->chunk = (size_t)args->chunk->ival[0];
    options->piece = (size_t)args->piece->ival[0];
}

/* Returns false with a message if the options cannot be used. */
static bool
set_options(const Args *args, Options *options)
{
    if (!Settings_ParseAddress(args->to->sval[0], &options->address)) {
        fprintf(stderr, "standin-crowd: no address: %s\n", args->to->sval[0]);
        return false;
    }
    if (args->body->count == 0) {
        Buf_Printf(&options->fill, "%s", DEFAULT_FILL);
    }
    else if (!read_fill(args->body->filename[0], &options->fill)) {
        fprintf(stderr, "standin-crowd: cannot read %s\n",
                args->body->filename[0]);
        return false;
    }
    options->shape = args->shape->sval[0];
    options->host = args->host->sval[0];
    options->path = args->path->sval[0];
    options->method = args->method->sval[0];
    options->headers = args->header->sval;
    options->header_count = (size_t)args->header->count;
    options->count = (size_t)args->count->ival[0];
    options->rounds = args->rounds->ival[0];
    options->pipeline = args->pipeline->ival[0];
    options->unread =
        args->unread->count > 0 || strcmp(options->shape, "requests") == 0;
    options->pause_us = (int64_t)args->pause->ival[0] * 1000;
    options->settle_us = (int64_t)args->settle->ival[0] * 1000;
    set_sizes(args, options);
    return true;
}

int
main(int argc, char **argv)
{
    Args args = new_args();
    void *table[] = {args.to,       args.shape,    args.host,   args.path,
                     args.method,   args.header,   args.body,   args.count,
                     args.rounds,   args.pipeline, args.unread, args.bytes,
                     args.announce, args.chunk,    args.piece,  args.pause,
                     args.settle,   args.end};
    Crowd crowd = {.head = BUF_INIT, .body = BUF_INIT};

    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, args.end, "standin-crowd");
        return 2;
    }
    if (!set_options(&args, &crowd.options)) {
        return 2;
    }
    if (!build_streams(&crowd)) {
        fprintf(stderr, "standin-crowd: unknown shape %s\n",
                crowd.options.shape);
        return 2;
    }
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    run(&crowd);
    Buf_Free(&crowd.head);
    Buf_Free(&crowd.body);
    Buf_Free(&crowd.options.fill);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}
