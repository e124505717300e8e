#include "slog.h"

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "buf.h"
#include "loop.h"
#include "mem.h"

#define MAX_EVENT_KINDS 128
#define RATE_WINDOW_MS 1000
/* A write of at most PIPE_BUF bytes to a pipe is atomic: no other writer's
 * line and no end of the process cuts a line of at most this length. */
#define MAX_LINE_BYTES PIPE_BUF
/* Part of a line that is kept free for the fields after long texts. */
#define LINE_RESERVE_BYTES 512
#define MAX_TEXT_BYTES 2048
/* Maximum time for which Slog_Close waits for the reader. */
#define CLOSE_TIMEOUT_MS 500

/* Lines of one event that share a rate limit. */
typedef enum RateClass {
    RATE_ROUTINE,
    RATE_OTHER,
    RATE_RARE,
    RATE_CLASS_COUNT
} RateClass;

typedef struct RateWindow {
    int64_t start_ms;
    uint32_t lines; /* lines since start_ms */
} RateWindow;

typedef struct EventKind {
    const char *event;
    RateWindow windows[RATE_CLASS_COUNT];
    uint64_t skipped; /* lines over a rate limit since the last line */
} EventKind;

typedef struct Slog {
    bool open;
    SlogOptions options;
    char node[64];
    Buf line;
    bool is_skipping; /* true if the current line exceeds its rate limit */
    char *ring;
    size_t start; /* offset of the first unwritten byte */
    size_t used;
    uint64_t left_out; /* lines over a rate limit */
    uint64_t dropped;  /* lines for which the ring had no room */
    uint64_t reported_dropped;
    int64_t wall_ms;
    int64_t now_ms;
    EventKind event_kinds[MAX_EVENT_KINDS];
    size_t event_kind_count;
} Slog;

static Slog slog;

void
Slog_Open(const SlogOptions *options)
{
    int flags = fcntl(options->fd, F_GETFL, 0);

    memset(&slog, 0, sizeof(slog));
    slog.options = *options;
    snprintf(slog.node, sizeof(slog.node), "%s", options->node);
    slog.ring = Mem_New(1, options->ring_bytes);
    if (flags >= 0) {
        fcntl(options->fd, F_SETFL, flags | O_NONBLOCK);
    }
    slog.open = true;
}

/* Writes the buffered lines, waiting for a reader that is slow. */
static void
drain_ring(void)
{
    struct pollfd pollfd = {.fd = slog.options.fd, .events = POLLOUT};
    int64_t deadline_ms = Loop_NowMs() + CLOSE_TIMEOUT_MS;

    while (Slog_Flush()) {
        int64_t left_ms = deadline_ms - Loop_NowMs();

        if (left_ms <= 0 || poll(&pollfd, 1, (int)left_ms) <= 0 ||
            (pollfd.revents & POLLOUT) == 0) {
            return;
        }
    }
}

void
Slog_Close(void)
{
    if (slog.open) {
        drain_ring();
        free(slog.ring);
        Buf_Free(&slog.line);
        memset(&slog, 0, sizeof(slog));
    }
}

void
Slog_SetTime(int64_t wall_ms, int64_t now_ms)
{
    slog.wall_ms = wall_ms;
    slog.now_ms = now_ms;
}

static EventKind *
find_event_kind(const char *event)
{
    size_t i;

    for (i = 0; i < slog.event_kind_count; i++) {
        if (slog.event_kinds[i].event == event ||
            strcmp(slog.event_kinds[i].event, event) == 0) {
            return &slog.event_kinds[i];
        }
    }
    if (slog.event_kind_count == MAX_EVENT_KINDS) {
        return &slog.event_kinds[MAX_EVENT_KINDS - 1];
    }
    slog.event_kinds[slog.event_kind_count].event = event;
    return &slog.event_kinds[slog.event_kind_count++];
}

static bool
exceeds_rate(EventKind *kind, RateClass class)
{
    uint32_t limit = class == RATE_ROUTINE ? slog.options.routine_per_s
                                           : slog.options.failure_per_s;
    RateWindow *window = &kind->windows[class];

    if (slog.now_ms - window->start_ms >= RATE_WINDOW_MS) {
        window->start_ms = slog.now_ms;
        window->lines = 0;
    }
    return window->lines++ >= limit;
}

static void
begin_line(SlogLevel level, const char *event, RateClass class)
{
    static const char *const levels[] = {"info", "change", "failure"};
    EventKind *kind;

    if (!slog.open) {
        return;
    }
    kind = find_event_kind(event);
    slog.is_skipping = exceeds_rate(kind, class);
    if (slog.is_skipping) {
        kind->skipped++;
        slog.left_out++;
        return;
    }
    Buf_Clear(&slog.line);
    Buf_Printf(&slog.line,
               "{\"t\":%lld,\"node\":\"%s\",\"level\":\"%s\","
               "\"event\":\"%s\"",
               (long long)slog.wall_ms, slog.node, levels[level], event);
    if (kind->skipped > 0) {
        Buf_Printf(&slog.line, ",\"left_out\":%llu",
                   (unsigned long long)kind->skipped);
        kind->skipped = 0;
    }
}

void
Slog_Begin(SlogLevel level, const char *event)
{
    begin_line(level, event,
               level == SLOG_ROUTINE ? RATE_ROUTINE : RATE_OTHER);
}

void
Slog_BeginRare(SlogLevel level, const char *event)
{
    begin_line(level, event, RATE_RARE);
}

void
Slog_AddText(const char *key, const char *value)
{
    const unsigned char *at = (const unsigned char *)value;
    size_t end = slog.line.len + MAX_TEXT_BYTES;

    if (!slog.open || slog.is_skipping) {
        return;
    }
    if (end > MAX_LINE_BYTES - LINE_RESERVE_BYTES) {
        end = MAX_LINE_BYTES - LINE_RESERVE_BYTES;
    }
    Buf_Printf(&slog.line, ",\"%s\":\"", key);
    for (; *at != '\0' && slog.line.len < end; at++) {
        if (*at == '"' || *at == '\\') {
            Buf_Printf(&slog.line, "\\%c", *at);
        }
        else if (*at < 0x20 || *at > 0x7e) {
            Buf_Printf(&slog.line, "\\u%04x", *at);
        }
        else {
            Buf_Append(&slog.line, at, 1);
        }
    }
    Buf_Append(&slog.line, "\"", 1);
}

void
Slog_AddInt(const char *key, int64_t value)
{
    if (slog.open && !slog.is_skipping) {
        Buf_Printf(&slog.line, ",\"%s\":%lld", key, (long long)value);
    }
}

void
Slog_AddHex(const char *key, uint64_t value)
{
    if (slog.open && !slog.is_skipping) {
        Buf_Printf(&slog.line, ",\"%s\":\"%016llx\"", key,
                   (unsigned long long)value);
    }
}

void
Slog_AddTask(const char *job, uint32_t occurrence, uint32_t step,
             uint32_t index)
{
    if (slog.open && !slog.is_skipping) {
        Slog_AddText("job", job);
        Buf_Printf(&slog.line, ",\"task\":\"%u.%u.%u\"", occurrence, step,
                   index);
    }
}

static bool
append_to_ring(const char *bytes, size_t len)
{
    size_t size = slog.options.ring_bytes;
    size_t end = (slog.start + slog.used) % size;
    size_t first = len < size - end ? len : size - end;

    if (slog.used + len > size) {
        return false;
    }
    memcpy(slog.ring + end, bytes, first);
    memcpy(slog.ring, bytes + first, len - first);
    slog.used += len;
    return true;
}

void
Slog_End(void)
{
    if (!slog.open || slog.is_skipping) {
        return;
    }
    Buf_Append(&slog.line, "}\n", 2);
    if (slog.line.len > MAX_LINE_BYTES ||
        !append_to_ring(slog.line.data, slog.line.len)) {
        slog.dropped++;
    }
}

static void
report_dropped(void)
{
    char line[160];
    int len;

    if (slog.dropped == slog.reported_dropped || slog.used > 0) {
        return;
    }
    len = snprintf(line, sizeof(line),
                   "{\"t\":%lld,\"node\":\"%s\",\"level\":\"change\","
                   "\"event\":\"log_dropped\",\"total\":%llu}\n",
                   (long long)slog.wall_ms, slog.node,
                   (unsigned long long)slog.dropped);
    if (append_to_ring(line, (size_t)len)) {
        slog.reported_dropped = slog.dropped;
    }
}

/* Copies as many complete lines from the start of the ring as one atomic write
 * takes. Returns their length. */
static size_t
copy_lines(char *chunk)
{
    size_t size = slog.options.ring_bytes;
    size_t len = slog.used < MAX_LINE_BYTES ? slog.used : MAX_LINE_BYTES;
    size_t first = len < size - slog.start ? len : size - slog.start;

    memcpy(chunk, slog.ring + slog.start, first);
    memcpy(chunk + first, slog.ring, len - first);
    while (chunk[len - 1] != '\n') {
        len--;
    }
    return len;
}

bool
Slog_Flush(void)
{
    char chunk[MAX_LINE_BYTES];

    if (!slog.open) {
        return false;
    }
    while (slog.used > 0) {
        size_t len = copy_lines(chunk);
        ssize_t written = write(slog.options.fd, chunk, len);
        if (written <= 0) {
            return true;
        }
        slog.start = (slog.start + (size_t)written) % slog.options.ring_bytes;
        slog.used -= (size_t)written;
    }
    report_dropped();
    return slog.used > 0;
}

uint64_t
Slog_CountLeftOut(void)
{
    return slog.left_out;
}

uint64_t
Slog_CountDropped(void)
{
    return slog.dropped;
}
