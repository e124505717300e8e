#include "common_conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common.h"
#include "mem.h"

struct Conn {
    Loop *loop;
    SettingsAddress address;
    int fd; /* -1 while closed */
    LoopWatch *watch;
    LoopTimer *timer;
    Buf out;
    size_t sent;
    Buf in;
    int64_t written_ms;
    ConnFn fn; /* NULL while idle */
    void *arg;
};

static void on_timeout(void *arg);

Conn *
Conn_New(Loop *loop, const SettingsAddress *address)
{
    Conn *conn = Mem_New(1, sizeof(*conn));

    conn->loop = loop;
    conn->address = *address;
    conn->fd = -1;
    conn->timer = Loop_NewTimer(loop, on_timeout, conn);
    return conn;
}

static void
close_socket(Conn *conn)
{
    if (conn->fd >= 0) {
        Loop_Unwatch(conn->watch);
        close(conn->fd);
        conn->fd = -1;
    }
}

void
Conn_Free(Conn *conn)
{
    close_socket(conn);
    Loop_FreeTimer(conn->timer);
    Buf_Free(&conn->in);
    Buf_Free(&conn->out);
    free(conn);
}

bool
Conn_IsBusy(const Conn *conn)
{
    return conn->fn != NULL;
}

bool
Conn_IsOpen(const Conn *conn)
{
    return conn->fd >= 0;
}

static void
finish(Conn *conn, ConnResult *result)
{
    ConnFn fn = conn->fn;

    conn->fn = NULL;
    Loop_Disarm(conn->timer);
    result->written_ms = conn->written_ms;
    if (fn != NULL) {
        fn(conn->arg, result);
    }
    Buf_Clear(&conn->in);
}

static void
fail_request(Conn *conn, ConnOutcome outcome)
{
    ConnResult result = {.outcome = outcome, .retry_after_s = -1};

    if (conn->sent == 0) {
        result.outcome = CONN_NOT_SENT;
    }
    close_socket(conn);
    finish(conn, &result);
}

static void
on_timeout(void *arg)
{
    Conn *conn = arg;

    /* Also ends a request whose connection could not be opened. */
    fail_request(conn, CONN_TIMED_OUT);
}

/* Returns the value of a header, or NULL. */
static const char *
find_header(const char *head, const char *name)
{
    const char *line = head;
    size_t len = strlen(name);

    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
            return line + len + 1;
        }
    }
    return NULL;
}

/* Reports the answer if it is complete. */
static void
take_answer(Conn *conn)
{
    ConnResult result = {.outcome = CONN_ANSWERED, .retry_after_s = -1};
    char *head = (char *)(uintptr_t)Buf_Text(&conn->in);
    char *end = strstr(head, "\r\n\r\n");
    const char *value;

    if (end == NULL) {
        return;
    }
    *end = '\0';
    value = find_header(head, "Content-Length");
    result.body_len = value != NULL ? strtoul(value, NULL, 10) : 0;
    value = find_header(head, "Retry-After");
    if (value != NULL) {
        result.retry_after_s = (int)strtol(value, NULL, 10);
    }
    value = find_header(head, "Connection");
    if (sscanf(head, "HTTP/1.%*d %d", &result.status) != 1) {
        fail_request(conn, CONN_BROKEN);
        return;
    }
    result.body = end + 4;
    if (conn->in.len < (size_t)(result.body - head) + result.body_len) {
        *end = '\r';
        return;
    }
    if (value != NULL && strncasecmp(value, " close", 6) == 0) {
        close_socket(conn);
    }
    finish(conn, &result);
}

static void
receive(Conn *conn)
{
    char bytes[16384];
    ssize_t count = recv(conn->fd, bytes, sizeof(bytes), 0);

    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count > 0 && conn->fn != NULL) {
        Buf_Append(&conn->in, bytes, (size_t)count);
        take_answer(conn);
    }
    else if (conn->fn != NULL) {
        fail_request(conn, CONN_BROKEN);
    }
    else {
        close_socket(conn);
    }
}

static void
send_rest(Conn *conn)
{
    ssize_t count = send(conn->fd, conn->out.data + conn->sent,
                         conn->out.len - conn->sent, MSG_NOSIGNAL);

    if (count > 0) {
        conn->sent += (size_t)count;
        if (conn->sent == conn->out.len) {
            conn->written_ms = Common_WallClockMs();
            Loop_SetEvents(conn->watch, LOOP_READ);
        }
    }
    else if (count < 0 && errno != EAGAIN && errno != EINTR) {
        fail_request(conn, CONN_BROKEN);
    }
}

static void
on_event(void *arg, int events)
{
    Conn *conn = arg;

    if ((events & LOOP_WRITE) != 0 && conn->fn != NULL &&
        conn->sent < conn->out.len) {
        send_rest(conn);
    }
    else if ((events & LOOP_READ) != 0) {
        receive(conn);
    }
}

static bool
open_socket(Conn *conn)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int on = 1;

    address.sin_port = htons((uint16_t)conn->address.port);
    inet_pton(AF_INET, conn->address.host, &address.sin_addr);
    conn->fd = socket(AF_INET, SOCK_STREAM, 0);
    if (conn->fd < 0) {
        return false;
    }
    fcntl(conn->fd, F_SETFL, O_NONBLOCK);
    setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(conn->fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        close(conn->fd);
        conn->fd = -1;
        return false;
    }
    conn->watch = Loop_Watch(conn->loop, conn->fd, LOOP_READ | LOOP_WRITE,
                             on_event, conn);
    return true;
}

void
Conn_Send(Conn *conn, Buf *request, int64_t timeout_ms, ConnFn fn, void *arg)
{
    Buf_Free(&conn->out);
    conn->out = *request;
    *request = (Buf)BUF_INIT;
    conn->sent = 0;
    conn->written_ms = 0;
    conn->fn = fn;
    conn->arg = arg;
    if (conn->fd >= 0) {
        Loop_SetEvents(conn->watch, LOOP_READ | LOOP_WRITE);
    }
    else if (!open_socket(conn)) {
        timeout_ms = 0;
    }
    Loop_Arm(conn->timer, timeout_ms, 0);
}
