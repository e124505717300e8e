/*
 * NAME
 *     diag - syslog-style lines on standard error
 *
 * DESCRIPTION
 *     A line is "<priority>program: part: Text." Priorities are those of
 *     syslog (RFC 5424): 3 error, 4 warning, 5 notice, 6 info, 7 debug.
 *     Lines are written whole with one call, so those of several threads do
 *     not mix. No secrets and no request bodies go into a line.
 */
#ifndef COLTSFOOT_DIAG_H
#define COLTSFOOT_DIAG_H

typedef enum DiagLevel {
    DIAG_ERROR = 3,
    DIAG_WARNING = 4,
    DIAG_NOTICE = 5,
    DIAG_INFO = 6,
    DIAG_DEBUG = 7
} DiagLevel;

/* Sets the program name and the highest priority number that is written.
 * Call it before other threads start. */
void Diag_Init(const char *program, DiagLevel level);

/* Writes one line; part is the fixed prefix of the module. */
#if defined(__GNUC__)
__attribute__((format(printf, 3, 4)))
#endif
void
Diag_Log(DiagLevel level, const char *part, const char *format, ...);

#endif
