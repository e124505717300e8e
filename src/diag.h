/*
 * NAME
 *     diag - syslog-style lines on standard error
 *
 * DESCRIPTION
 *     A line is "<priority>program: module: Text." Priorities are those of
 *     syslog (RFC 5424): 3 error, 4 warning, 5 notice, 6 info, 7 debug.
 *     Each line is written with one call, so that lines of several threads do
 *     not interleave. Lines must not contain secrets or request bodies.
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
 * Must be called before other threads start. */
void Diag_Init(const char *program, DiagLevel level);

/* Writes one line, prefixed with the name of the module. */
#if defined(__GNUC__)
__attribute__((format(printf, 3, 4)))
#endif
void
Diag_Log(DiagLevel level, const char *module, const char *format, ...);

#endif
