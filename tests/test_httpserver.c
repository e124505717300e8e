#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

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

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("httpserver");
    TCase *tcase = tcase_create("server");

    tcase_add_test(tcase, waiting_request_is_answered_at_the_end);
    suite_add_tcase(suite, tcase);
    return suite;
}
