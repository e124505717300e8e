/*
 * NAME
 *     slog - structured lines on standard output
 *
 * DESCRIPTION
 *     One JSON object a line, for each decision on a request and each change
 *     of what the process believes. Lines are built in a bounded ring and
 *     written without blocking by Slog_Flush; when the reader is too slow,
 *     lines are left out, counted, and the count is reported once there is
 *     room. Each event kind also has a rate limit; lines that explain a
 *     failure (SLOG_FAILURE) have a larger one than others.
 *
 *     Values are escaped as JSON. No secrets and no bodies go into a line.
 *     The ring belongs to one thread. Before Slog_Open all calls do nothing.
 */
#ifndef COLTSFOOT_SLOG_H
#define COLTSFOOT_SLOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum SlogLevel {
    SLOG_ROUTINE, /* a success */
    SLOG_CHANGE,  /* of what the process believes */
    SLOG_FAILURE  /* explains why a caller did not get an answer in time */
} SlogLevel;

typedef struct SlogOptions {
    int fd;           /* set to non-blocking mode */
    const char *node; /* stands in each line */
    size_t ring_bytes;
    uint32_t routine_per_s; /* lines of one event kind */
    uint32_t failure_per_s;
} SlogOptions;

#define SLOG_OPTIONS_DEFAULT                                                  \
    {                                                                         \
        .fd = 1, .node = "", .ring_bytes = 64 * 1024, .routine_per_s = 100,   \
        .failure_per_s = 200                                                  \
    }

void Slog_Open(const SlogOptions *options);
void Slog_Close(void);

/* Sets the time that stands in the lines, in ms of the wall clock, and the
 * steady time that rates go by. */
void Slog_SetTime(int64_t wall_ms, int64_t now_ms);

/* Begins a line. event is a literal; it names the kind and is listed in
 * docs/OPERATIONS.md. */
void Slog_Begin(SlogLevel level, const char *event);
void Slog_Text(const char *key, const char *value);
void Slog_Int(const char *key, int64_t value);
void Slog_Task(const char *job, uint32_t occurrence, uint32_t step,
               uint32_t index);
void Slog_End(void);

/* Writes what fits. Returns whether bytes are left. */
bool Slog_Flush(void);

/* Returns the lines left out since Slog_Open. */
uint64_t Slog_Dropped(void);

#endif
