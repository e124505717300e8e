/*
 * NAME
 *     slog - structured lines on standard output
 *
 * DESCRIPTION
 *     Logs one JSON object per line for each decision on a request and each
 *     change of state that the process observes. Lines are buffered in a
 *     bounded ring and written by Slog_Flush without blocking. If the reader
 *     is too slow, lines are dropped and counted, and the count is logged once
 *     the ring is empty. Each event also has rate limits of its own: one for
 *     SLOG_ROUTINE, a higher one for lines that report a change or a failure,
 *     and one for the lines of Slog_BeginRare.
 *
 *     Lines are written whole, also if the reader is slow, other modules write
 *     to the same pipe or the process is killed. For this a line is limited to
 *     PIPE_BUF bytes; long texts are cut.
 *
 *     Values are escaped as JSON. Lines must not contain secrets or bodies.
 *     Only one thread may use the log. Calls before Slog_Open have no effect.
 */
#ifndef COLTSFOOT_SLOG_H
#define COLTSFOOT_SLOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum SlogLevel {
    SLOG_ROUTINE, /* a success */
    SLOG_CHANGE,  /* a change of state that the process observes */
    SLOG_FAILURE  /* the reason why a caller got no answer in time */
} SlogLevel;

typedef struct SlogOptions {
    int fd;           /* switched to non-blocking mode by Slog_Open */
    const char *node; /* name of the node, written in each line */
    size_t ring_bytes;
    uint32_t routine_per_s; /* limit for SLOG_ROUTINE lines of one event */
    uint32_t failure_per_s; /* limit for the other lines of one event, and for
                             * its rare lines */
} SlogOptions;

#define SLOG_OPTIONS_DEFAULT                                                  \
    {                                                                         \
        .fd = 1, .node = "", .ring_bytes = 64 * 1024, .routine_per_s = 100,   \
        .failure_per_s = 200                                                  \
    }

void Slog_Open(const SlogOptions *options);

/* Writes the buffered lines and closes the log. Waits at most half a second
 * for the reader. */
void Slog_Close(void);

/* Sets the wall clock time that lines carry and the monotonic time that rate
 * limits use. */
void Slog_SetTime(int64_t wall_ms, int64_t now_ms);

/* Begins a line. event must be a string literal, since its pointer is kept.
 * docs/OPERATIONS.md lists all events. */
void Slog_Begin(SlogLevel level, const char *event);

/* Begins a line about a rare request, such as a change of the configuration,
 * which frequent lines of the same event do not displace. */
void Slog_BeginRare(SlogLevel level, const char *event);
void Slog_AddText(const char *key, const char *value);
void Slog_AddInt(const char *key, int64_t value);
/* Adds an identity as a text of 16 hexadecimal digits. */
void Slog_AddHex(const char *key, uint64_t value);
void Slog_AddTask(const char *job, uint32_t occurrence, uint32_t step,
                  uint32_t index);
void Slog_End(void);

/* Writes buffered lines until the descriptor would block. Returns whether
 * bytes remain. */
bool Slog_Flush(void);

/* Return the number of lines since Slog_Open that a rate limit left out, and
 * that were dropped because the reader was too slow. */
uint64_t Slog_CountLeftOut(void);
uint64_t Slog_CountDropped(void);

#endif
