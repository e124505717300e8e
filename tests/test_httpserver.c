#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buf.h"
#include "httpserver.h"
#include "loop.h"
#include "support.h"

#define MAX_WAIT_MS 5000

typedef struct World {
    Loop *loop;
    HttpServer *server;
    HttpRequest *request; /* the request that waits for a reply */
} World;

static void
keep_request(void *arg, HttpRequest *request)
{
    World *world = arg;

    world->request = request;
    Loop_Stop(world->loop);
}

static void
on_timeout(void *arg)
{
    (void)arg;
    ck_abort_msg("no request arrived");
}

static int
connect_to(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    return fd;
}

/* Returns a port that was free a moment ago. */
static int
choose_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t len = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, len), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&address, &len), 0);
    close(fd);
    return ntohs(address.sin_port);
}

/* Guards against a server that aborts the process, or drops the caller without
 * an answer, if it is freed while a request waits for its reply. */
START_TEST(waiting_request_is_answered_at_the_end)
{
    static const char request[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    World world = {NULL, NULL, NULL};
    ErrCtx err = {ST_OK, ""};
    HttpServerOptions options = {.max_body_bytes = 1000,
                                 .idle_timeout_s = 10,
                                 .handler = keep_request,
                                 .arg = &world};
    LoopTimer *timer;
    char answer[500] = "";
    int fd;

    world.loop = Loop_New(&err);
    ck_assert_ptr_nonnull(world.loop);
    snprintf(options.address.host, sizeof(options.address.host), "127.0.0.1");
    options.address.port = choose_port();
    world.server = HttpServer_New(world.loop, &options, &err);
    ck_assert_msg(world.server != NULL, "%s", err.message);
    timer = Loop_NewTimer(world.loop, on_timeout, NULL);
    Loop_Arm(timer, MAX_WAIT_MS, 0);
    fd = connect_to(options.address.port);
    ck_assert_int_eq(write(fd, request, sizeof(request) - 1),
                     sizeof(request) - 1);
    Loop_Run(world.loop);
    ck_assert_ptr_nonnull(world.request);
    HttpServer_Free(world.server);
    ck_assert_int_gt(read(fd, answer, sizeof(answer) - 1), 0);
    ck_assert_msg(strncmp(answer, "HTTP/1.1 504 ", 13) == 0, "%s", answer);
    close(fd);
    Loop_FreeTimer(timer);
    Loop_Free(world.loop);
}
END_TEST

/* --- limits --- */

#define LIMIT_BODY_BYTES 1000
#define LIMIT_OPEN_BYTES 2500
#define LIMIT_CONNECTIONS 8 /* of which 6 remain open */
#define MAX_CLIENTS 16
#define FEW_DESCRIPTORS 256
#define TICK_MS 10

/* A server that runs in a thread of its own. */
typedef struct LimitWorld {
    Loop *loop;
    HttpServer *server;
    LoopTimer *timer; /* copies the counts below for the test's thread */
    pthread_t thread;
    int port;
    int clients[MAX_CLIENTS];
    size_t client_count;
    size_t answer_bytes;
    atomic_size_t handled; /* requests that reached the handler */
    atomic_size_t bytes;
    atomic_size_t connections;
    atomic_size_t iterations; /* of the event loop */
    atomic_size_t ticks;      /* of the timer */
    atomic_size_t closed;     /* connections that were closed for a bound */
} LimitWorld;

/* Answers all requests but those for /wait. */
static void
answer_request(void *arg, HttpRequest *request)
{
    LimitWorld *world = arg;
    char *body;

    world->handled++;
    if (strcmp(HttpRequest_GetPath(request), "/wait") != 0) {
        body = calloc(1, world->answer_bytes + 1);
        memset(body, 'a', world->answer_bytes);
        HttpRequest_ReplyText(request, 200, "text/plain", body);
        free(body);
    }
}

static void
copy_counts(void *arg)
{
    LimitWorld *world = arg;
    const HttpBudget *budget = HttpServer_GetBudget(world->server);

    world->ticks++;
    world->bytes = budget->bytes;
    world->connections = budget->connections;
    world->closed = budget->counts[HTTP_CLOSED_CONNECTIONS] +
                    budget->counts[HTTP_CLOSED_BYTES];
}

static bool
count_iteration(void *arg)
{
    LimitWorld *world = arg;

    world->iterations++;
    return false;
}

static void *
run_loop(void *arg)
{
    Loop_Run(arg);
    return NULL;
}

static void
open_limit_world(LimitWorld *world, size_t answer_bytes,
                 const HttpLimits *limits)
{
    ErrCtx err = {ST_OK, ""};
    HttpServerOptions options = {.max_body_bytes = LIMIT_BODY_BYTES,
                                 .idle_timeout_s = 10,
                                 .max_connections = LIMIT_CONNECTIONS,
                                 .max_open_bytes = LIMIT_OPEN_BYTES,
                                 .handler = answer_request,
                                 .arg = world};

    memset(world, 0, sizeof(*world));
    world->answer_bytes = answer_bytes;
    world->loop = Loop_New(&err);
    world->port = choose_port();
    snprintf(options.address.host, sizeof(options.address.host), "127.0.0.1");
    options.address.port = world->port;
    world->server = HttpServer_New(world->loop, &options, &err);
    ck_assert_msg(world->server != NULL, "%s", err.message);
    if (limits != NULL) {
        HttpServer_SetLimits(world->server, limits);
    }
    world->timer = Loop_NewTimer(world->loop, copy_counts, world);
    Loop_Arm(world->timer, TICK_MS, TICK_MS);
    Loop_AddPrepareHook(world->loop, count_iteration, world);
    pthread_create(&world->thread, NULL, run_loop, world->loop);
}

static void
close_limit_world(LimitWorld *world)
{
    size_t i;

    Loop_Stop(world->loop);
    pthread_join(world->thread, NULL);
    Loop_FreeTimer(world->timer);
    HttpServer_Free(world->server);
    Loop_Free(world->loop);
    for (i = 0; i < world->client_count; i++) {
        close(world->clients[i]);
    }
}

static void
wait_until(atomic_size_t *count, size_t least)
{
    int64_t end = Loop_NowMs() + MAX_WAIT_MS;

    while (*count < least) {
        ck_assert_int_lt(Loop_NowMs(), end);
        usleep(1000);
    }
}

/* Opens a connection and sends the text and a number of body bytes. */
static int
send_text(LimitWorld *world, const char *text, size_t body_bytes)
{
    int fd = connect_to(world->port);
    char *body = calloc(1, body_bytes + 1);

    memset(body, 'b', body_bytes);
    world->clients[world->client_count++] = fd;
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
    if (body_bytes > 0) {
        send(fd, body, body_bytes, MSG_NOSIGNAL);
    }
    free(body);
    return fd;
}

/* Returns the status of the answer, or -1 if the connection is closed without
 * one. Fails if neither happens. */
static int
read_status(int fd)
{
    struct pollfd waits = {.fd = fd, .events = POLLIN};
    char answer[500] = "";
    int status = -1;

    ck_assert_int_eq(poll(&waits, 1, MAX_WAIT_MS), 1);
    if (recv(fd, answer, sizeof(answer) - 1, 0) > 0) {
        sscanf(answer, "HTTP/1.1 %d", &status);
    }
    return status;
}

static bool
is_open(int fd)
{
    char byte;

    return recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) < 0 && errno == EAGAIN;
}

#define HEAD "POST /x HTTP/1.1\r\nHost: a\r\n"

static const struct {
    const char *text;
    size_t body_bytes;
    int status;
    size_t handled;
} body_cases[] = {
    {HEAD "Content-Length: 1000\r\n\r\n", 1000, 200, 1},
    /* Refused before the body arrives. */
    {HEAD "Content-Length: 1001\r\n\r\n", 0, 413, 0},
    {HEAD "Content-Length: 99999999999999999\r\n\r\n", 0, 413, 0},
    {HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n", 0, 200, 1},
    /* Never ends. */
    {HEAD "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", 3000, 413, 0},
};

/* Guards against bodies over the limit that are read to their end, or for
 * ever. */
START_TEST(body_over_the_limit_is_refused)
{
    LimitWorld world;
    int fd;

    open_limit_world(&world, 5, NULL);
    fd = send_text(&world, body_cases[_i].text, body_cases[_i].body_bytes);
    ck_assert_int_eq(read_status(fd), body_cases[_i].status);
    ck_assert_uint_eq(world.handled, body_cases[_i].handled);
    close_limit_world(&world);
}
END_TEST

/* Cases of headers of about 16,000 bytes, which the deployments permit. */
static const struct {
    size_t lines;
    size_t line_bytes;
} header_cases[] = {{1, 16000}, {16, 1000}, {64, 250}};

/* Guards against memory for a connection that is too small for the headers
 * that are permitted. */
START_TEST(long_headers_are_accepted)
{
    LimitWorld world;
    Buf text = BUF_INIT;
    size_t i;

    Buf_Printf(&text, "GET /x HTTP/1.1\r\nHost: a\r\n");
    for (i = 0; i < header_cases[_i].lines; i++) {
        Buf_Printf(&text, "X-%zu: %0*d\r\n", i,
                   (int)header_cases[_i].line_bytes, 0);
    }
    Buf_Printf(&text, "\r\n");
    open_limit_world(&world, 5, NULL);
    ck_assert_int_eq(read_status(send_text(&world, Buf_Text(&text), 0)), 200);
    close_limit_world(&world);
    Buf_Free(&text);
}
END_TEST

static const struct {
    HttpLimits limits;
    const char *text;
    size_t body_bytes;
    int status;
} limit_cases[] = {
    {{0, 500, 0, 0}, HEAD "Content-Length: 500\r\n\r\n", 500, 200},
    {{0, 500, 0, 0}, HEAD "Content-Length: 501\r\n\r\n", 0, 413},
    {{0, 500, 0, 0},
     HEAD "Transfer-Encoding: chunked\r\n\r\nfff\r\n",
     1100,
     413},
    /* The limit of the server's options stays. */
    {{0, 5000, 0, 0}, HEAD "Content-Length: 1001\r\n\r\n", 0, 413},
    {{100, 0, 0, 0}, HEAD "X: yyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n\r\n", 0, 200},
    {{60, 0, 0, 0}, HEAD "X: yyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n\r\n", 0, 431},
    /* Headers, and a body, that do not go on. */
    {{0, 0, 100, 0}, "POST", 0, -1},
    {{0, 0, 0, 100}, HEAD "Content-Length: 500\r\n\r\n", 499, 408},
};

/* Guards against limits of the configuration that are not applied. */
START_TEST(limits_are_applied)
{
    LimitWorld world;
    int fd;

    open_limit_world(&world, 5, &limit_cases[_i].limits);
    fd = send_text(&world, limit_cases[_i].text, limit_cases[_i].body_bytes);
    ck_assert_int_eq(read_status(fd), limit_cases[_i].status);
    ck_assert_uint_eq(world.handled, limit_cases[_i].status == 200);
    close_limit_world(&world);
}
END_TEST

/* Guards against a chunked body a little over the limit that is closed without
 * an answer. */
START_TEST(complete_body_over_the_limit_is_answered)
{
    LimitWorld world;
    int fd;

    open_limit_world(&world, 5, NULL);
    fd = send_text(&world,
                   HEAD "Transfer-Encoding: chunked\r\n\r\n"
                        "5\r\nbbbbb\r\n3e8\r\n",
                   1000);
    ck_assert_int_eq(send(fd, "\r\n0\r\n\r\n", 7, MSG_NOSIGNAL), 7);
    ck_assert_int_eq(read_status(fd), 413);
    ck_assert_uint_eq(world.handled, 0);
    close_limit_world(&world);
}
END_TEST

/* Guards against open bodies within the limit that together take all
 * memory. */
START_TEST(open_bodies_are_bounded)
{
    LimitWorld world;
    int first;
    int second;
    int third;

    open_limit_world(&world, 5, NULL);
    first = send_text(&world, HEAD "Content-Length: 1000\r\n\r\n", 999);
    wait_until(&world.bytes, 1000);
    second = send_text(&world, HEAD "Content-Length: 1000\r\n\r\n", 999);
    wait_until(&world.bytes, 2000);
    usleep((HTTP_BUDGET_ACTIVE_MS + 10) * 1000);
    third = send_text(&world, HEAD "Content-Length: 1000\r\n\r\n", 1000);
    ck_assert_int_eq(read_status(third), 200);
    ck_assert_int_eq(read_status(first), 503);
    ck_assert(is_open(second));
    ck_assert_uint_eq(world.handled, 1);
    close_limit_world(&world);
}
END_TEST

/* Guards against bodies of requests that wait for their reply and are not
 * counted, and against closing such a request. */
START_TEST(bodies_of_waiting_requests_are_bounded)
{
    static const char wait[] =
        "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n";
    LimitWorld world;
    int first;
    int third;

    open_limit_world(&world, 5, NULL);
    first = send_text(&world, wait, 1000);
    send_text(&world, wait, 1000);
    wait_until(&world.handled, 2);
    usleep((HTTP_BUDGET_ACTIVE_MS + 10) * 1000);
    third = send_text(&world, HEAD "Content-Length: 1000\r\n\r\n", 1000);
    ck_assert_int_eq(read_status(third), 503);
    ck_assert(is_open(first));
    ck_assert_uint_eq(world.handled, 2);
    close_limit_world(&world);
}
END_TEST

/* Guards against idle connections that keep new ones out. */
START_TEST(new_connection_replaces_the_idlest)
{
    LimitWorld world;
    int first;
    int fd;
    size_t i;

    open_limit_world(&world, 5, NULL);
    first = send_text(&world, "POST", 0);
    wait_until(&world.connections, 1);
    for (i = 0; i < 10; i++) {
        send_text(&world, "POST", 0);
    }
    ck_assert_int_eq(read_status(first), -1);
    wait_until(&world.closed, 5);
    ck_assert_uint_lt(world.connections, LIMIT_CONNECTIONS);
    fd = send_text(&world, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 0);
    ck_assert_int_eq(read_status(fd), 200);
    close_limit_world(&world);
}
END_TEST

/* Leaves the process without a descriptor. Returns how many it took. */
static size_t
take_descriptors(int *taken, struct rlimit *before)
{
    struct rlimit limit;
    size_t count = 0;

    ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, before), 0);
    limit = *before;
    limit.rlim_cur = FEW_DESCRIPTORS;
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
    while ((taken[count] = dup(0)) >= 0) {
        count++;
    }
    ck_assert_uint_gt(count, 0);
    return count;
}

static void
return_descriptors(const int *taken, size_t count, const struct rlimit *before)
{
    while (count > 0) {
        close(taken[--count]);
    }
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, before), 0);
}

/* Sends a request on a socket that is not connected yet. */
static void
send_on_socket(const LimitWorld *world, int fd)
{
    static const char get[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)world->port)};

    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    ck_assert_int_eq(send(fd, get, sizeof(get) - 1, MSG_NOSIGNAL),
                     sizeof(get) - 1);
}

/* Guards against a busy loop while the process is out of descriptors and the
 * server has no connection, and against a server that stays paused. */
START_TEST(listener_pauses_without_descriptors)
{
    struct rlimit before;
    LimitWorld world;
    int taken[FEW_DESCRIPTORS];
    size_t count;
    size_t iterations;
    size_t ticks;
    int fd;

    open_limit_world(&world, 5, NULL);
    fd = socket(AF_INET, SOCK_STREAM, 0);
    world.clients[world.client_count++] = fd;
    count = take_descriptors(taken, &before);
    send_on_socket(&world, fd);
    ticks = world.ticks;
    iterations = world.iterations;
    wait_until(&world.ticks, ticks + 20);
    iterations = world.iterations - iterations;
    return_descriptors(taken, count, &before);
    /* A loop that does not wait makes hundreds for each tick. */
    ck_assert_uint_lt(iterations, 20 * 10);
    ck_assert_int_eq(read_status(fd), 200);
    close_limit_world(&world);
}
END_TEST

/* Guards against a server that no longer accepts connections after the process
 * has run out of descriptors. */
START_TEST(accepting_resumes_after_descriptors_ran_out)
{
    struct rlimit before;
    LimitWorld world;
    int taken[FEW_DESCRIPTORS];
    size_t count;
    int first;
    int fd;

    open_limit_world(&world, 5, NULL);
    first = send_text(&world, "POST", 0);
    wait_until(&world.connections, 1);
    fd = socket(AF_INET, SOCK_STREAM, 0);
    world.clients[world.client_count++] = fd;
    count = take_descriptors(taken, &before);
    send_on_socket(&world, fd);
    ck_assert_int_eq(read_status(fd), 200);
    ck_assert_int_eq(read_status(first), -1);
    close_limit_world(&world);
    return_descriptors(taken, count, &before);
}
END_TEST

/* Guards against answers that nobody reads and that take all memory. */
START_TEST(unread_answers_are_bounded)
{
    LimitWorld world;
    size_t i;

    /* More than the buffers of both sockets take. */
    open_limit_world(&world, 16000000, NULL);
    for (i = 1; i <= 4; i++) {
        send_text(&world, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 0);
        wait_until(&world.handled, i);
    }
    wait_until(&world.closed, 3);
    ck_assert_uint_le(world.bytes, 16000000);
    close_limit_world(&world);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("httpserver");
    TCase *tcase = tcase_create("server");

    tcase_add_test(tcase, waiting_request_is_answered_at_the_end);
    tcase_add_loop_test(tcase, body_over_the_limit_is_refused, 0,
                        sizeof(body_cases) / sizeof(body_cases[0]));
    tcase_add_loop_test(tcase, long_headers_are_accepted, 0,
                        sizeof(header_cases) / sizeof(header_cases[0]));
    tcase_add_loop_test(tcase, limits_are_applied, 0,
                        sizeof(limit_cases) / sizeof(limit_cases[0]));
    tcase_add_test(tcase, complete_body_over_the_limit_is_answered);
    tcase_add_test(tcase, open_bodies_are_bounded);
    tcase_add_test(tcase, bodies_of_waiting_requests_are_bounded);
    tcase_add_test(tcase, new_connection_replaces_the_idlest);
    tcase_add_test(tcase, listener_pauses_without_descriptors);
    tcase_add_test(tcase, accepting_resumes_after_descriptors_ran_out);
    tcase_add_test(tcase, unread_answers_are_bounded);
    suite_add_tcase(suite, tcase);
    return suite;
}
