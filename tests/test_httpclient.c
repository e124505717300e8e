#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpclient.h"
#include "loop.h"
#include "support.h"

#define SECOND_CALL_DELAY_MS 50

/* A target that answers its first request, and closes its listener and the
 * connection when it has read the second one. */
typedef struct CrashingTarget {
    Loop *loop;
    LoopWatch *watch;
    int listener;
    int connection;
    int port;
    int requests;
} CrashingTarget;

typedef struct Calls {
    HttpClient *client;
    HttpCallOptions options;
    Loop *loop;
    LoopTimer *timer;
    HttpCallStatus statuses[2];
    int count;
} Calls;

static void
on_request(void *arg, int events)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    CrashingTarget *target = arg;
    char bytes[4096];
    ssize_t len = read(target->connection, bytes, sizeof(bytes));

    (void)events;
    ck_assert_int_gt((int)len, 0);
    target->requests++;
    if (target->requests == 1) {
        ck_assert_int_gt(
            (int)write(target->connection, answer, strlen(answer)), 0);
        return;
    }
    Loop_Unwatch(target->watch);
    close(target->listener);
    close(target->connection);
}

static void
on_connection(void *arg, int events)
{
    CrashingTarget *target = arg;

    (void)events;
    target->connection = accept(target->listener, NULL, NULL);
    Loop_Unwatch(target->watch);
    target->watch = Loop_Watch(target->loop, target->connection, LOOP_READ,
                               on_request, target);
}

static void
open_target(CrashingTarget *target, Loop *loop)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);

    *target = (CrashingTarget){.loop = loop};
    target->listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(target->listener, (struct sockaddr *)&address, size),
                     0);
    ck_assert_int_eq(listen(target->listener, 4), 0);
    getsockname(target->listener, (struct sockaddr *)&address, &size);
    target->port = ntohs(address.sin_port);
    target->watch =
        Loop_Watch(loop, target->listener, LOOP_READ, on_connection, target);
}

static void
on_call_end(void *arg, const HttpCallResult *result)
{
    Calls *calls = arg;

    calls->statuses[calls->count++] = result->status;
    if (calls->count == 2) {
        Loop_Stop(calls->loop);
    }
    else {
        /* The connection is idle, and so reused, a moment later. */
        Loop_Arm(calls->timer, SECOND_CALL_DELAY_MS, 0);
    }
}

static void
set_options(Calls *calls, int port)
{
    calls->options = (HttpCallOptions){.method = "POST",
                                       .path = "/run",
                                       .body = "work",
                                       .body_len = 4,
                                       .timeout_ms = 3000,
                                       .max_answer_bytes = 4096};
    snprintf(calls->options.address.host, sizeof(calls->options.address.host),
             "127.0.0.1");
    calls->options.address.port = port;
}

static void
start_call(void *arg)
{
    Calls *calls = arg;

    HttpClient_StartCall(calls->client, &calls->options, on_call_end, calls);
}

START_TEST(resent_request_was_sent)
{
    ErrCtx err;
    Loop *loop = Loop_New(&err);
    CrashingTarget target;
    Calls calls = {.loop = loop, .client = HttpClient_New(loop, 4)};

    open_target(&target, loop);
    set_options(&calls, target.port);
    calls.timer = Loop_NewTimer(loop, start_call, &calls);
    start_call(&calls);
    Loop_Run(loop);
    ck_assert_int_eq(target.requests, 2);
    ck_assert_int_eq((int)calls.statuses[0], HTTP_CALL_ANSWERED);
    ck_assert_int_eq((int)calls.statuses[1], HTTP_CALL_LOST);
    Loop_FreeTimer(calls.timer);
    HttpClient_Free(calls.client);
    Loop_Free(loop);
}
END_TEST

START_TEST(refused_connection_is_not_sent)
{
    ErrCtx err;
    Loop *loop = Loop_New(&err);
    CrashingTarget target;
    Calls calls = {.loop = loop, .client = HttpClient_New(loop, 4)};

    open_target(&target, loop);
    Loop_Unwatch(target.watch);
    close(target.listener);
    set_options(&calls, target.port);
    calls.timer = Loop_NewTimer(loop, start_call, &calls);
    start_call(&calls);
    Loop_Run(loop);
    ck_assert_int_eq((int)calls.statuses[0], HTTP_CALL_NOT_SENT);
    ck_assert_int_eq((int)calls.statuses[1], HTTP_CALL_NOT_SENT);
    Loop_FreeTimer(calls.timer);
    HttpClient_Free(calls.client);
    Loop_Free(loop);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("httpclient");
    TCase *tcase = tcase_create("httpclient");

    tcase_add_test(tcase, resent_request_was_sent);
    tcase_add_test(tcase, refused_connection_is_not_sent);
    suite_add_tcase(suite, tcase);
    return suite;
}
