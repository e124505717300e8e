#include <fcntl.h>
#include <limits.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "buf.h"
#include "loop.h"
#include "rng.h"
#include "slog.h"
#include "support.h"

#define OTHER_WRITER_LINE "<4>coltsfootd: jobctl: A line on standard error.\n"

/* Lines that fill a pipe several times. */
#define LINES 2500
/* Time for which Slog_Close waits for the reader. */
#define CLOSE_WAIT_MS 500
#define MAX_CLOSE_MS 2000
/* Maximum number of runs until one was not held up. */
#define MAX_TRIES 10

typedef struct Pipe {
    int read_fd;
    int write_fd;
} Pipe;

static Pipe
open_pipe(void)
{
    int fds[2];

    ck_assert_int_eq(pipe(fds), 0);
    return (Pipe){fds[0], fds[1]};
}

static void
open_log(int fd, size_t ring_bytes)
{
    SlogOptions options = SLOG_OPTIONS_DEFAULT;

    options.fd = fd;
    options.node = "node-1";
    options.ring_bytes = ring_bytes;
    Slog_Open(&options);
    Slog_SetTime(1000, 1000);
}

static void
log_line(SlogLevel level, const char *event, int64_t number)
{
    Slog_Begin(level, event);
    Slog_AddInt("number", number);
    Slog_End();
}

static size_t
count_text(Buf *text, const char *wanted)
{
    const char *at = Buf_Text(text);
    size_t count = 0;

    for (; (at = strstr(at, wanted)) != NULL; at += strlen(wanted)) {
        count++;
    }
    return count;
}

static void
read_to_end(int fd, Buf *text)
{
    char chunk[4096];
    ssize_t len;

    while ((len = read(fd, chunk, sizeof(chunk))) > 0) {
        Buf_Append(text, chunk, (size_t)len);
    }
}

/* Fails unless text consists of complete lines of the log and of
 * OTHER_WRITER_LINE. */
static void
check_whole_lines(Buf *text)
{
    const char *at = Buf_Text(text);
    const char *end;

    for (; *at != '\0'; at = end + 1) {
        end = strchr(at, '\n');
        ck_assert_msg(end != NULL, "no end of line: %.80s", at);
        if (strncmp(at, OTHER_WRITER_LINE, strlen(OTHER_WRITER_LINE)) != 0) {
            ck_assert_msg(strncmp(at, "{\"t\":", 5) == 0 && end[-1] == '}' &&
                              memchr(at, '<', (size_t)(end - at)) == NULL,
                          "torn line: %.*s", (int)(end - at), at);
        }
    }
}

/* Logs without a limit of rate until the parent process stops reading, and is
 * then killed. Another module writes to the same pipe. */
static void
log_until_killed(int fd, uint64_t seed)
{
    static const char filler[] = "a value that makes the line longer, of text";
    Rng rng;
    int64_t i;

    Rng_Seed(&rng, seed);
    open_log(fd, 64 * 1024);
    for (i = 0;; i++) {
        struct timespec pause = {0, 200000};

        Slog_SetTime(i, i * 1000);
        Slog_Begin(SLOG_CHANGE, "event");
        Slog_AddInt("number", i);
        Slog_AddText("filler", filler + Rng_Below(&rng, sizeof(filler)));
        Slog_End();
        if (Rng_Below(&rng, 20) == 0 && Slog_Flush()) {
            nanosleep(&pause, NULL);
        }
        if (Rng_Below(&rng, 50) == 0 &&
            write(fd, OTHER_WRITER_LINE, strlen(OTHER_WRITER_LINE)) < 0) {
            nanosleep(&pause, NULL);
        }
    }
}

/* Guards against parts of lines in a captured log. */
START_TEST(killed_process_leaves_no_part_of_a_line)
{
    Pipe log = open_pipe();
    Buf text = BUF_INIT;
    Rng rng;
    pid_t child;
    int i;

    child = fork();
    if (child == 0) {
        close(log.read_fd);
        log_until_killed(log.write_fd, (uint64_t)_i);
    }
    ck_assert_int_gt(child, 0);
    close(log.write_fd);
    Rng_Seed(&rng, (uint64_t)_i);
    for (i = 0; i < 60; i++) {
        struct timespec pause = {0, 1000000};
        char chunk[8192];
        ssize_t len =
            read(log.read_fd, chunk, 1 + Rng_Below(&rng, sizeof(chunk)));

        ck_assert_int_gt(len, 0);
        Buf_Append(&text, chunk, (size_t)len);
        if (Rng_Below(&rng, 3) == 0) {
            nanosleep(&pause, NULL);
        }
    }
    nanosleep(&(struct timespec){0, 20000000}, NULL);
    kill(child, SIGKILL);
    waitpid(child, NULL, 0);
    read_to_end(log.read_fd, &text);
    check_whole_lines(&text);
    ck_assert_uint_gt(count_text(&text, "\"event\":\"event\""), 100);
    ck_assert_uint_gt(count_text(&text, OTHER_WRITER_LINE), 0);
    Buf_Free(&text);
    close(log.read_fd);
}
END_TEST

/* Logs LINES lines in another process and reads them late. Returns the time
 * until that process has ended. */
static int64_t
read_late(Buf *text)
{
    Pipe log = open_pipe();
    int64_t begun_ms = Loop_NowMs();
    pid_t child = fork();
    int i;

    if (child == 0) {
        close(log.read_fd);
        open_log(log.write_fd, 1024 * 1024);
        for (i = 0; i < LINES; i++) {
            Slog_SetTime(i, i * 1000);
            log_line(SLOG_CHANGE, "event", i);
        }
        Slog_Flush();
        Slog_Close();
        _exit(0);
    }
    ck_assert_int_gt(child, 0);
    close(log.write_fd);
    nanosleep(&(struct timespec){0, 50000000}, NULL);
    read_to_end(log.read_fd, text);
    waitpid(child, NULL, 0);
    close(log.read_fd);
    return Loop_NowMs() - begun_ms;
}

/* Guards against the loss of the lines that say why a process ends. */
START_TEST(last_lines_are_written_when_the_reader_is_slow)
{
    Buf text = BUF_INIT;
    int64_t took_ms = CLOSE_WAIT_MS;
    int i;

    /* Slog_Close may give up on a reader that gets no processor for longer. */
    for (i = 0; i < MAX_TRIES && took_ms >= CLOSE_WAIT_MS; i++) {
        Buf_Clear(&text);
        took_ms = read_late(&text);
        check_whole_lines(&text);
    }
    ck_assert_int_lt(took_ms, CLOSE_WAIT_MS);
    ck_assert_uint_eq(count_text(&text, "\"event\":\"event\""), LINES);
    Buf_Free(&text);
}
END_TEST

/* Returns the time that Slog_Close takes if nobody reads. */
static int64_t
close_unread(void)
{
    Pipe log = open_pipe();
    int64_t begun_ms;
    int64_t took_ms;
    int i;

    open_log(log.write_fd, 1024 * 1024);
    for (i = 0; i < LINES; i++) {
        Slog_SetTime(i, i * 1000);
        log_line(SLOG_CHANGE, "event", i);
    }
    begun_ms = Loop_NowMs();
    Slog_Close();
    took_ms = Loop_NowMs() - begun_ms;
    close(log.read_fd);
    close(log.write_fd);
    return took_ms;
}

/* Guards against a process that does not end because nobody reads its log. */
START_TEST(close_does_not_wait_for_a_reader_that_stopped)
{
    int64_t least_ms = INT64_MAX;
    int i;

    for (i = 0; i < MAX_TRIES && least_ms > MAX_CLOSE_MS; i++) {
        int64_t took_ms = close_unread();

        least_ms = took_ms < least_ms ? took_ms : least_ms;
    }
    ck_assert_int_le(least_ms, MAX_CLOSE_MS);
}
END_TEST

START_TEST(long_line_stays_a_complete_line)
{
    Pipe log = open_pipe();
    Buf text = BUF_INIT;
    char *value = malloc(3 * PIPE_BUF);

    memset(value, '"', 3 * PIPE_BUF - 1);
    value[3 * PIPE_BUF - 1] = '\0';
    open_log(log.write_fd, 64 * 1024);
    Slog_Begin(SLOG_FAILURE, "event");
    Slog_AddText("reason", value);
    Slog_AddText("id", "j1");
    Slog_AddInt("took_ms", 7);
    Slog_End();
    Slog_Close();
    close(log.write_fd);
    read_to_end(log.read_fd, &text);
    check_whole_lines(&text);
    ck_assert_uint_le(text.len, PIPE_BUF);
    ck_assert_uint_eq(count_text(&text, "\"id\":\"j1\",\"took_ms\":7}"), 1);
    free(value);
    Buf_Free(&text);
    close(log.read_fd);
}
END_TEST

START_TEST(identity_is_logged_with_all_its_digits)
{
    Pipe log = open_pipe();
    Buf text = BUF_INIT;

    open_log(log.write_fd, 64 * 1024);
    Slog_Begin(SLOG_CHANGE, "vote_answered");
    Slog_AddHex("identity", 0x00ab0000000000cdULL);
    Slog_End();
    Slog_Close();
    close(log.write_fd);
    read_to_end(log.read_fd, &text);
    ck_assert_uint_eq(
        count_text(&text, ",\"identity\":\"00ab0000000000cd\"}\n"), 1);
    Buf_Free(&text);
    close(log.read_fd);
}
END_TEST

/* Guards against successes that use up the rate limit of failures. */
START_TEST(failure_is_logged_after_a_burst_of_successes)
{
    Pipe log = open_pipe();
    Buf text = BUF_INIT;
    int i;

    open_log(log.write_fd, 64 * 1024);
    for (i = 0; i < 500; i++) {
        log_line(SLOG_ROUTINE, "request_answered", i);
        Slog_Flush();
    }
    log_line(SLOG_FAILURE, "request_answered", 7777);
    Slog_Close();
    close(log.write_fd);
    read_to_end(log.read_fd, &text);
    ck_assert_uint_eq(count_text(&text, "\"number\":7777"), 1);
    ck_assert_uint_eq(count_text(&text, "\"left_out\":400,"), 1);
    ck_assert_uint_eq(count_text(&text, "\"request_answered\""), 101);
    ck_assert_uint_eq(count_text(&text, "\"event\":\"log_dropped\""), 0);
    Buf_Free(&text);
    close(log.read_fd);
}
END_TEST

/* Guards against orders of the operator that a flood of other requests leaves
 * out of the log. */
START_TEST(rare_line_is_logged_in_a_flood_of_the_same_event)
{
    Pipe log = open_pipe();
    Buf text = BUF_INIT;
    int i;

    open_log(log.write_fd, 64 * 1024);
    for (i = 0; i < 500; i++) {
        log_line(_i == 0 ? SLOG_ROUTINE : SLOG_FAILURE, "request_answered", i);
        Slog_Flush();
    }
    for (i = 0; i < 300; i++) {
        Slog_BeginRare(SLOG_ROUTINE, "request_answered");
        Slog_AddInt("order", i);
        Slog_End();
        Slog_Flush();
    }
    Slog_Close();
    close(log.write_fd);
    read_to_end(log.read_fd, &text);
    ck_assert_uint_eq(count_text(&text, "\"order\":"), 200);
    ck_assert_uint_eq(count_text(&text, "\"order\":0}"), 1);
    Buf_Free(&text);
    close(log.read_fd);
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("slog");
    TCase *tcase = tcase_create("slog");

    tcase_add_loop_test(tcase, killed_process_leaves_no_part_of_a_line, 0, 12);
    tcase_add_test(tcase, last_lines_are_written_when_the_reader_is_slow);
    tcase_add_test(tcase, close_does_not_wait_for_a_reader_that_stopped);
    tcase_add_test(tcase, long_line_stays_a_complete_line);
    tcase_add_test(tcase, identity_is_logged_with_all_its_digits);
    tcase_add_test(tcase, failure_is_logged_after_a_burst_of_successes);
    tcase_add_loop_test(
        tcase, rare_line_is_logged_in_a_flood_of_the_same_event, 0, 2);
    suite_add_tcase(suite, tcase);
    return suite;
}
