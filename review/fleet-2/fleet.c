/*
 * NAME
 *     fleet - a minion, and a client for one call, of the users' platform
 *
 * SYNOPSIS
 *     fleet call METHOD URL TIMEOUT_MS [HOST [BODY]]
 *     fleet minion --id ID --machine NAME --service NAME --listen HOST:PORT
 *         --control HOST:PORT[,HOST:PORT...] --events FILE [--cpu N] [--mem N]
 *         [--gpu N] [--labels L,L] [--hang FILE] [--linger-ms N]
 *         [--grey FILE] [--gangs FOLDER]
 *
 * DESCRIPTION
 *     call prints the status (000 without an answer within the time) and the
 *     body. It follows a 307 twice.
 *
 *     minion is one minion as PROTOCOL.md describes it: heartbeats, fencing
 *     tokens, leases, lists of runs and ends. The text of a job says what its
 *     tasks do: "lasts", or "ms=N" for a task that is done after N ms. SIGKILL
 *     is a crash. SIGUSR1 makes the minion drain and leave. While the file of
 *     --hang exists, it reads the calls to /api and neither carries them out
 *     nor answers them. While the file of --grey exists, each task ends as
 * failed at its start. A text "gang=N ms=M" is that of a gang of N tasks: the
 * minions that run them meet in the folder of --gangs, which is common to all;
 * they work from the moment when all are present, and end together. Each event
 * is a line of the events file: Unix time in ms, id, what.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_MESSAGE_BYTES (1024 * 1024)
#define MAX_RUNS 20000
#define MAX_ENDS 20000
#define MAX_TASKS 65536
#define MAX_LISTED_ENDS 500
#define MAX_CONTROLS 16
#define HEARTBEAT_MS 1500
#define HEARTBEAT_TIMEOUT_MS 1000
#define MAX_LEASE_MS 6000
#define MAX_WAIT_MS 2000
#define STOP_MS 100
#define STARTUP_MS 300
#define GANG_TIMEOUT_MS 3000
#define TICK_US 5000
#define MAX_REDIRECTS 2

static int64_t
now_ms(clockid_t clock)
{
    struct timespec at;

    clock_gettime(clock, &at);
    return (int64_t)at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

/* --- HTTP --- */

typedef struct Message {
    char start[512]; /* first line */
    char host[256];
    char instance[128];
    char location[256];
    char *body;
    size_t len;
} Message;

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
    char host[64];
    int port;

    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    if (sscanf(text, "%63[^:]:%d", host, &port) != 2 ||
        inet_pton(AF_INET, host, &out->sin_addr) != 1) {
        return false;
    }
    out->sin_port = htons((uint16_t)port);
    return true;
}

static bool
wait_for_socket(int fd, short events, int64_t due_ms)
{
    struct pollfd item = {fd, events, 0};
    int64_t left = due_ms - now_ms(CLOCK_MONOTONIC);

    return left > 0 && poll(&item, 1, (int)left) > 0;
}

static bool
send_all(int fd, const char *data, size_t len, int64_t due_ms)
{
    while (len > 0) {
        ssize_t sent = send(fd, data, len, MSG_NOSIGNAL | MSG_DONTWAIT);

        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            return false;
        }
        if (sent > 0) {
            data += sent;
            len -= (size_t)sent;
        }
        else if (!wait_for_socket(fd, POLLOUT, due_ms)) {
            return false;
        }
    }
    return true;
}

static void
copy_header(const char *head, const char *name, char *out, size_t size)
{
    const char *line = head;
    size_t len = strlen(name);

    out[0] = '\0';
    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
            const char *value = line + len + 1;
            value += strspn(value, " ");
            snprintf(out, size, "%.*s", (int)strcspn(value, "\r"), value);
            return;
        }
    }
}

/* Reads one message. The body is freed by the caller. */
static bool
read_message(int fd, int64_t due_ms, Message *message)
{
    char *data = malloc(MAX_MESSAGE_BYTES + 1);
    size_t len = 0;
    size_t head = 0;
    size_t total = 0;
    char length[32];

    memset(message, 0, sizeof(*message));
    while (head == 0 || len < total) {
        ssize_t got;
        char *end;
        if (!wait_for_socket(fd, POLLIN, due_ms)) {
            break;
        }
        got = recv(fd, data + len, MAX_MESSAGE_BYTES - len, 0);
        if (got <= 0) {
            break;
        }
        len += (size_t)got;
        data[len] = '\0';
        end = head == 0 ? strstr(data, "\r\n\r\n") : NULL;
        if (end != NULL) {
            head = (size_t)(end - data) + 4;
            end[2] = '\0';
            copy_header(data, "Content-Length", length, sizeof(length));
            copy_header(data, "Host", message->host, sizeof(message->host));
            copy_header(data, "X-Expected-Instance", message->instance,
                        sizeof(message->instance));
            copy_header(data, "Location", message->location,
                        sizeof(message->location));
            snprintf(message->start, sizeof(message->start), "%.*s",
                     (int)strcspn(data, "\r"), data);
            total = head + strtoull(length, NULL, 10);
        }
    }
    if (head == 0 || len < total) {
        free(data);
        return false;
    }
    message->len = total - head;
    memmove(data, data + head, message->len);
    data[message->len] = '\0';
    message->body = data;
    return true;
}

/* Makes one call. Returns the status, or 0 without an answer. */
static int
call_once(const char *method, const char *address, const char *path,
          const char *host, const char *body, int64_t timeout_ms,
          Message *answer)
{
    int64_t due_ms = now_ms(CLOCK_MONOTONIC) + timeout_ms;
    struct sockaddr_in to;
    char *request = NULL;
    int status = 0;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int len;

    memset(answer, 0, sizeof(*answer));
    if (!parse_address(address, &to)) {
        close(fd);
        return 0;
    }
    len = asprintf(&request,
                   "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                   "application/json\r\nX-Deadline-Ms: %lld\r\n"
                   "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                   method, path, host, (long long)timeout_ms, strlen(body),
                   body);
    if ((connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0 ||
         errno == EINPROGRESS) &&
        wait_for_socket(fd, POLLOUT, due_ms) &&
        send_all(fd, request, (size_t)len, due_ms) &&
        read_message(fd, due_ms, answer)) {
        sscanf(answer->start, "HTTP/1.%*d %d", &status);
    }
    free(request);
    close(fd);
    return status;
}

/* Makes a call to a URL without a scheme, and follows redirects. */
static int
call_url(const char *method, const char *url, const char *host,
         const char *body, int64_t timeout_ms, Message *answer)
{
    char target[256];
    int status = 0;
    int i;

    snprintf(target, sizeof(target), "%s",
             strncmp(url, "http://", 7) == 0 ? url + 7 : url);
    for (i = 0; i <= MAX_REDIRECTS; i++) {
        char address[64];
        size_t len = strcspn(target, "/");
        char path[256];

        snprintf(address, sizeof(address), "%.*s", (int)len, target);
        snprintf(path, sizeof(path), "%s", target + len);
        status =
            call_once(method, address, path, host[0] != '\0' ? host : address,
                      body, timeout_ms, answer);
        if (status != 307 || i == MAX_REDIRECTS ||
            strncmp(answer->location, "http://", 7) != 0) {
            break;
        }
        snprintf(target, sizeof(target), "%s", answer->location + 7);
        free(answer->body);
    }
    return status;
}

static int
run_call(int argc, char **argv)
{
    Message answer;
    int status;

    if (argc < 5) {
        return 2;
    }
    status = call_url(argv[2], argv[3], argc > 5 ? argv[5] : "",
                      argc > 6 ? argv[6] : "", atoll(argv[4]), &answer);
    printf("%03d %s\n", status, answer.body != NULL ? answer.body : "");
    free(answer.body);
    return 0;
}

/* --- the minion --- */

typedef struct Run {
    char task[128];
    int64_t attempt;
    int64_t begin_ms;
    int64_t due_ms; /* INT64_MAX: it lasts */
    bool stopping;
    int gang; /* members, or 0 */
    bool joined;
    int64_t span_ms;
    char saved[64]; /* checkpoint with which it was started */
} Run;

typedef struct End {
    int64_t number;
    char task[128];
    int64_t attempt;
    const char *how;
    char saved[64];
} End;

static struct {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    const char *id;
    const char *machine;
    const char *service;
    const char *listen;
    const char *labels;
    const char *hang;
    const char *grey;
    const char *gangs;
    const char *controls[MAX_CONTROLS];
    size_t control_count;
    size_t next_control;
    char named[64]; /* address for later heartbeats, or empty */
    FILE *events;
    int64_t cpu;
    int64_t mem;
    int64_t gpu;
    int64_t linger_ms;
    int64_t born;
    int64_t begin_ms;
    int64_t seq;
    int64_t fence;
    int64_t lease_ms; /* on the minion's clock; 0: none */
    Run runs[MAX_RUNS];
    size_t run_count;
    End ends[MAX_ENDS];
    size_t end_count;
    int64_t last_end;
    End highest[MAX_TASKS]; /* highest attempt that was stopped or ended, by
                               task */
    size_t highest_count;
    volatile sig_atomic_t drain;
    bool draining;
    int64_t drained_ms; /* when the drain was acknowledged */
} minion;

static int64_t
clock_ms(void)
{
    return 1 + now_ms(CLOCK_MONOTONIC) - minion.begin_ms;
}

static void
note(const char *format, ...)
{
    va_list args;

    fprintf(minion.events, "%lld %s ", (long long)now_ms(CLOCK_REALTIME),
            minion.id);
    va_start(args, format);
    vfprintf(minion.events, format, args);
    va_end(args);
    fputc('\n', minion.events);
    fflush(minion.events);
}

static int64_t *
highest_attempt(const char *task)
{
    size_t i = 0;

    while (i < minion.highest_count &&
           strcmp(minion.highest[i].task, task) != 0) {
        i++;
    }
    if (i == minion.highest_count &&
        i < sizeof(minion.highest) / sizeof(minion.highest[0])) {
        snprintf(minion.highest[i].task, sizeof(minion.highest[i].task), "%s",
                 task);
        minion.highest[i].attempt = 0;
        minion.highest_count++;
    }
    return &minion.highest[i < minion.highest_count ? i : 0].attempt;
}

static void
note_highest(const char *task, int64_t attempt)
{
    int64_t *highest = highest_attempt(task);

    if (*highest < attempt) {
        *highest = attempt;
    }
}

static Run *
find_run(const char *task, int64_t attempt)
{
    size_t i;

    for (i = 0; i < minion.run_count; i++) {
        if (minion.runs[i].attempt == attempt &&
            strcmp(minion.runs[i].task, task) == 0) {
            return &minion.runs[i];
        }
    }
    return NULL;
}

/* Writes the path of a member's file, or of the file that says that the gang
 * is done. */
static void
gang_path(const Run *run, int member, char *path, size_t size)
{
    const char *dot = strrchr(run->task, '.');

    snprintf(path, size, "%s/%.*s.%lld.%d", minion.gangs,
             (int)(dot - run->task), run->task, (long long)run->attempt,
             member);
}

static int
own_member(const Run *run)
{
    return atoi(strrchr(run->task, '.') + 1);
}

static bool
is_gang_present(const Run *run)
{
    char path[512];
    int i;

    for (i = 0; i < run->gang; i++) {
        gang_path(run, i, path, sizeof(path));
        if (access(path, F_OK) != 0) {
            return false;
        }
    }
    return true;
}

static void
enter_gang(const Run *run, int member)
{
    char path[512];
    FILE *file;

    gang_path(run, member, path, sizeof(path));
    file = fopen(path, "w");
    if (file != NULL) {
        fclose(file);
    }
}

static void
end_run(Run *run, const char *how)
{
    char path[512];

    if (run->gang > 0) {
        if (strcmp(how, "done") == 0) {
            enter_gang(run, run->gang);
        }
        gang_path(run, own_member(run), path, sizeof(path));
        unlink(path);
    }
    if (minion.end_count < MAX_ENDS) {
        End *end = &minion.ends[minion.end_count++];
        end->number = ++minion.last_end;
        snprintf(end->task, sizeof(end->task), "%s", run->task);
        end->attempt = run->attempt;
        end->how = how;
        snprintf(end->saved, sizeof(end->saved), "%s", run->saved);
    }
    note("end %s %lld %s", run->task, (long long)run->attempt, how);
    note_highest(run->task, run->attempt);
    *run = minion.runs[--minion.run_count];
    pthread_cond_broadcast(&minion.changed);
}

/* Returns how a member of a gang ends now, or NULL. */
static const char *
advance_gang(Run *run, int64_t now)
{
    char done[512];

    gang_path(run, run->gang, done, sizeof(done));
    if (run->joined) {
        if (access(done, F_OK) == 0) {
            return "done";
        }
        return is_gang_present(run) ? NULL : "broken";
    }
    if (is_gang_present(run)) {
        run->joined = true;
        run->due_ms = now + run->span_ms;
        return NULL;
    }
    return now - run->begin_ms >= GANG_TIMEOUT_MS ? "alone" : NULL;
}

/* Ends the runs whose time or lease is over. */
static void
advance(void)
{
    int64_t now = now_ms(CLOCK_MONOTONIC);
    size_t i;

    if (minion.lease_ms > 0 && clock_ms() >= minion.lease_ms) {
        minion.lease_ms = 0;
        while (minion.run_count > 0) {
            end_run(&minion.runs[0], "lapsed");
        }
    }
    for (i = minion.run_count; i > 0; i--) {
        Run *run = &minion.runs[i - 1];
        const char *how = run->gang > 0 ? advance_gang(run, now) : NULL;
        if (how != NULL) {
            end_run(run, how);
        }
        else if (run->due_ms <= now) {
            end_run(run, run->stopping ? "stopped" : "done");
        }
    }
}

static void
extend_lease(const json_t *body)
{
    int64_t deadline =
        json_integer_value(json_object_get(body, "deadline-ms"));
    int64_t latest = clock_ms() + MAX_LEASE_MS;

    if (deadline > latest) {
        deadline = latest;
    }
    if (deadline > minion.lease_ms && deadline > clock_ms()) {
        minion.lease_ms = deadline;
    }
}

/* Returns the reason of a refusal, or NULL. */
static const char *
start_run(const json_t *body, const char *task, int64_t attempt)
{
    const char *spec = json_string_value(json_object_get(body, "spec"));
    const char *saved = json_string_value(json_object_get(body, "checkpoint"));
    int64_t deadline =
        json_integer_value(json_object_get(body, "deadline-ms"));
    long long span;
    Run *run;

    if (deadline <= clock_ms()) {
        return "late";
    }
    extend_lease(body);
    if (find_run(task, attempt) != NULL) {
        return NULL;
    }
    if (attempt <= *highest_attempt(task)) {
        return "old";
    }
    if (minion.run_count == MAX_RUNS) {
        return "room";
    }
    run = &minion.runs[minion.run_count++];
    memset(run, 0, sizeof(*run));
    snprintf(run->task, sizeof(run->task), "%s", task);
    snprintf(run->saved, sizeof(run->saved), "%s", saved != NULL ? saved : "");
    run->attempt = attempt;
    run->begin_ms = now_ms(CLOCK_MONOTONIC);
    run->due_ms = spec != NULL && sscanf(spec, "ms=%lld", &span) == 1
                      ? run->begin_ms + span
                      : INT64_MAX;
    if (spec != NULL &&
        sscanf(spec, "gang=%d ms=%lld", &run->gang, &span) == 2) {
        run->span_ms = span;
        enter_gang(run, own_member(run));
    }
    note("start %s %lld%s%s", task, (long long)attempt,
         minion.draining ? " draining" : "",
         saved != NULL && saved[0] != '\0' ? " with a checkpoint" : "");
    if (minion.grey != NULL && access(minion.grey, F_OK) == 0) {
        end_run(run, "failed");
    }
    return NULL;
}

static void
stop_run(const char *task, int64_t attempt)
{
    Run *run = find_run(task, attempt);

    if (run == NULL) {
        note_highest(task, attempt);
    }
    else if (!run->stopping) {
        run->stopping = true;
        run->due_ms = now_ms(CLOCK_MONOTONIC) + STOP_MS;
    }
}

static void
hold_runs(const json_t *body)
{
    int64_t ack = json_integer_value(json_object_get(body, "ack-cursor"));
    int64_t wait = json_integer_value(json_object_get(body, "wait-ms"));
    int64_t due_ms =
        now_ms(CLOCK_MONOTONIC) + (wait < MAX_WAIT_MS ? wait : MAX_WAIT_MS);
    size_t kept = 0;
    size_t i;

    extend_lease(body);
    for (i = 0; i < minion.end_count; i++) {
        if (minion.ends[i].number > ack) {
            minion.ends[kept++] = minion.ends[i];
        }
        else {
            note("acked %s %lld %s", minion.ends[i].task,
                 (long long)minion.ends[i].attempt, minion.ends[i].how);
        }
    }
    minion.end_count = kept;
    while (wait > 0 && minion.end_count == 0 &&
           now_ms(CLOCK_MONOTONIC) < due_ms) {
        struct timespec until;
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += 20000000;
        if (until.tv_nsec >= 1000000000) {
            until.tv_nsec -= 1000000000;
            until.tv_sec++;
        }
        pthread_cond_timedwait(&minion.changed, &minion.lock, &until);
    }
}

static void
add_lists(json_t *answer)
{
    json_t *running = json_array();
    json_t *finished = json_array();
    size_t i;

    for (i = 0; i < minion.run_count; i++) {
        const Run *run = &minion.runs[i];
        int64_t age = now_ms(CLOCK_MONOTONIC) - run->begin_ms;
        int64_t percent = run->due_ms == INT64_MAX
                              ? (age >= STARTUP_MS ? 100 : 0)
                              : age * 100 / (run->due_ms - run->begin_ms + 1);
        json_array_append_new(running,
                              json_pack("[s,I,s,I,i]", run->task,
                                        (json_int_t)run->attempt, run->saved,
                                        (json_int_t)percent, 100));
    }
    for (i = 0; i < minion.end_count && i < MAX_LISTED_ENDS; i++) {
        const End *end = &minion.ends[i];
        json_array_append_new(finished,
                              json_pack("[I,s,I,s,s]", (json_int_t)end->number,
                                        end->task, (json_int_t)end->attempt,
                                        end->how, end->saved));
    }
    json_object_set_new(answer, "running", running);
    json_object_set_new(answer, "finished", finished);
}

/* Carries out a call. Returns the status. */
static int
handle_call(const Message *message, json_t *answer)
{
    json_t *body = json_loads(message->body, 0, NULL);
    const char *task = json_string_value(json_object_get(body, "task"));
    int64_t attempt = json_integer_value(json_object_get(body, "attempt"));
    int64_t fence = json_integer_value(json_object_get(body, "fencing-token"));
    bool is_start = strstr(message->start, " /api/run-start ") != NULL;
    bool is_stop = strstr(message->start, " /api/run-stop ") != NULL;
    const char *reason = NULL;
    int status = 200;

    advance();
    if (body == NULL || ((is_start || is_stop) && task == NULL)) {
        status = 400;
    }
    else if (message->instance[0] != '\0' &&
             strcmp(message->instance, minion.id) != 0) {
        status = 421;
    }
    else if (fence < minion.fence) {
        reason = "fence";
    }
    else {
        minion.fence = fence;
        if (is_start) {
            reason = start_run(body, task, attempt);
        }
        else if (is_stop) {
            stop_run(task, attempt);
        }
        else {
            hold_runs(body);
            advance();
            add_lists(answer);
        }
    }
    if (reason != NULL) {
        json_object_set_new(answer, "reason", json_string(reason));
        status = 409;
    }
    json_object_set_new(answer, "clock-ms", json_integer(clock_ms()));
    json_object_set_new(answer, "born", json_integer(minion.born));
    json_decref(body);
    return status;
}

static void
answer_message(int fd, const Message *message)
{
    json_t *answer = json_object();
    char head[128];
    char *text;
    int status = 200;

    if (strstr(message->start, " /api/") != NULL) {
        pthread_mutex_lock(&minion.lock);
        status = handle_call(message, answer);
        pthread_mutex_unlock(&minion.lock);
    }
    text = json_dumps(answer, JSON_COMPACT);
    snprintf(head, sizeof(head),
             "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n",
             status, strlen(text));
    send_all(fd, head, strlen(head), now_ms(CLOCK_MONOTONIC) + 1000);
    send_all(fd, text, strlen(text), now_ms(CLOCK_MONOTONIC) + 1000);
    free(text);
    json_decref(answer);
}

static bool
hangs(const Message *message)
{
    return minion.hang != NULL && access(minion.hang, F_OK) == 0 &&
           strstr(message->start, " /api/") != NULL;
}

static void *
serve_connection(void *arg)
{
    int fd = (int)(intptr_t)arg;
    Message message;

    while (read_message(fd, now_ms(CLOCK_MONOTONIC) + 60000, &message)) {
        if (hangs(&message)) {
            char byte;
            /* neither carried out nor answered; waits for the caller to go */
            free(message.body);
            while (recv(fd, &byte, 1, 0) > 0) {
            }
            break;
        }
        answer_message(fd, &message);
        free(message.body);
    }
    close(fd);
    return NULL;
}

static void *
serve(void *arg)
{
    int fd = (int)(intptr_t)arg;

    for (;;) {
        int client = accept(fd, NULL, NULL);
        int on = 1;
        pthread_t thread;
        if (client < 0) {
            continue;
        }
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        pthread_create(&thread, NULL, serve_connection,
                       (void *)(intptr_t)client);
        pthread_detach(thread);
    }
    return NULL;
}

static char *
write_heartbeat(void)
{
    json_t *labels = json_array();
    json_t *body;
    char *copy = strdup(minion.labels);
    char *state = NULL;
    char *label;
    char *text;

    for (label = strtok_r(copy, ",", &state); label != NULL;
         label = strtok_r(NULL, ",", &state)) {
        json_array_append_new(labels, json_string(label));
    }
    body = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:I,s:I},s:o,s:I,s:I,s:I}",
        "service", minion.service, "address", minion.listen, "zone", "north",
        "machine", minion.machine, "version", "v1", "slots", 8, "state",
        minion.draining ? "draining" : "ready", "cold-remaining-ms", 0,
        "capacity", "cpu", (json_int_t)minion.cpu, "mem-mb",
        (json_int_t)minion.mem, "gpu", (json_int_t)minion.gpu, "labels",
        labels, "born", (json_int_t)minion.born, "seq",
        (json_int_t)++minion.seq, "clock-ms", (json_int_t)clock_ms());
    if (minion.draining) {
        json_object_set_new(body, "drain-remaining-ms",
                            json_integer(minion.linger_ms));
    }
    text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    free(copy);
    return text;
}

/* Sends a heartbeat to one node after the other until one acknowledges it.
 * Returns false if none of them did. */
static bool
send_heartbeat(const char *method)
{
    size_t i;

    for (i = 0; i <= minion.control_count; i++) {
        Message answer;
        char url[256];
        char *text;
        int status;

        pthread_mutex_lock(&minion.lock);
        text = strcmp(method, "PUT") == 0 ? write_heartbeat() : strdup("");
        pthread_mutex_unlock(&minion.lock);
        snprintf(url, sizeof(url), "%s/api/instances/%s",
                 minion.named[0] != '\0'
                     ? minion.named
                     : minion.controls[minion.next_control],
                 minion.id);
        status =
            call_url(method, url, "", text, HEARTBEAT_TIMEOUT_MS, &answer);
        free(text);
        if (status >= 200 && status < 300) {
            json_t *root =
                json_loads(answer.body != NULL ? answer.body : "", 0, NULL);
            const char *named =
                json_string_value(json_object_get(root, "heartbeat-addr"));
            if (named != NULL) {
                snprintf(minion.named, sizeof(minion.named), "%s", named);
            }
            json_decref(root);
            free(answer.body);
            return true;
        }
        free(answer.body);
        if (minion.named[0] != '\0') {
            minion.named[0] = '\0';
        }
        else {
            minion.next_control =
                (minion.next_control + 1) % minion.control_count;
        }
    }
    return false;
}

static void
on_drain(int number)
{
    (void)number;
    minion.drain = 1;
}

static void
run_minion(void)
{
    int64_t beat_due_ms = 0;

    for (;;) {
        int64_t now = now_ms(CLOCK_MONOTONIC);
        if (minion.drain && !minion.draining) {
            minion.draining = true;
            note("draining");
            beat_due_ms = now;
        }
        if (now >= beat_due_ms) {
            bool draining = minion.draining;
            bool ok = send_heartbeat("PUT");
            beat_due_ms = now + HEARTBEAT_MS;
            if (minion.seq == 1) {
                note("announced %s", ok ? "acknowledged" : "unanswered");
            }
            if (ok && draining && minion.drained_ms == 0) {
                minion.drained_ms = now_ms(CLOCK_MONOTONIC);
                note("drain-acked");
            }
        }
        if (minion.drained_ms > 0 &&
            now_ms(CLOCK_MONOTONIC) - minion.drained_ms >= minion.linger_ms) {
            note("gone");
            send_heartbeat("DELETE");
            exit(0);
        }
        pthread_mutex_lock(&minion.lock);
        advance();
        pthread_mutex_unlock(&minion.lock);
        usleep(TICK_US);
    }
}

static void
read_options(int argc, char **argv)
{
    int i;

    minion.labels = "a,r1";
    minion.cpu = 16000;
    minion.mem = 32768;
    minion.linger_ms = 2500;
    for (i = 2; i + 1 < argc; i += 2) {
        const char *name = argv[i] + 2;
        char *value = argv[i + 1];
        char *state = NULL;
        char *item;

        if (strcmp(name, "id") == 0) {
            minion.id = value;
        }
        else if (strcmp(name, "machine") == 0) {
            minion.machine = value;
        }
        else if (strcmp(name, "service") == 0) {
            minion.service = value;
        }
        else if (strcmp(name, "listen") == 0) {
            minion.listen = value;
        }
        else if (strcmp(name, "labels") == 0) {
            minion.labels = value;
        }
        else if (strcmp(name, "hang") == 0) {
            minion.hang = value;
        }
        else if (strcmp(name, "grey") == 0) {
            minion.grey = value;
        }
        else if (strcmp(name, "gangs") == 0) {
            minion.gangs = value;
        }
        else if (strcmp(name, "events") == 0) {
            minion.events = fopen(value, "a");
        }
        else if (strcmp(name, "cpu") == 0) {
            minion.cpu = atoll(value);
        }
        else if (strcmp(name, "mem") == 0) {
            minion.mem = atoll(value);
        }
        else if (strcmp(name, "gpu") == 0) {
            minion.gpu = atoll(value);
        }
        else if (strcmp(name, "linger-ms") == 0) {
            minion.linger_ms = atoll(value);
        }
        else if (strcmp(name, "control") == 0) {
            for (item = strtok_r(value, ",", &state);
                 item != NULL && minion.control_count < MAX_CONTROLS;
                 item = strtok_r(NULL, ",", &state)) {
                minion.controls[minion.control_count++] = item;
            }
        }
    }
}

static int
start_minion(int argc, char **argv)
{
    struct sockaddr_in address;
    pthread_t thread;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    read_options(argc, argv);
    if (minion.id == NULL || minion.machine == NULL ||
        minion.service == NULL || minion.listen == NULL ||
        minion.events == NULL || minion.control_count == 0 ||
        !parse_address(minion.listen, &address)) {
        fprintf(stderr, "an option is missing\n");
        return 2;
    }
    pthread_mutex_init(&minion.lock, NULL);
    pthread_cond_init(&minion.changed, NULL);
    minion.born = now_ms(CLOCK_REALTIME);
    minion.begin_ms = now_ms(CLOCK_MONOTONIC);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 64) != 0) {
        perror(minion.listen);
        return 2;
    }
    signal(SIGUSR1, on_drain);
    signal(SIGPIPE, SIG_IGN);
    note("up");
    pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd);
    run_minion();
    return 0;
}

int
main(int argc, char **argv)
{
    if (argc > 1 && strcmp(argv[1], "call") == 0) {
        return run_call(argc, argv);
    }
    if (argc > 1 && strcmp(argv[1], "minion") == 0) {
        return start_minion(argc, argv);
    }
    fprintf(stderr, "usage: fleet call|minion ...\n");
    return 2;
}
