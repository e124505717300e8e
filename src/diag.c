#include "diag.h"

#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

#define DIAG_LINE_BYTES 1024

static char diag_program[64] = "coltsfoot";
static DiagLevel diag_level = DIAG_INFO;

void
Diag_Init(const char *program, DiagLevel level)
{
    snprintf(diag_program, sizeof(diag_program), "%s", program);
    diag_level = level;
}

void
Diag_Log(DiagLevel level, const char *module, const char *format, ...)
{
    char line[DIAG_LINE_BYTES];
    int used;
    int more;
    va_list args;
    ssize_t written;

    if (level > diag_level) {
        return;
    }
    used = snprintf(line, sizeof(line) - 1, "<%d>%s: %s: ", (int)level,
                    diag_program, module);
    if (used < 0 || (size_t)used >= sizeof(line) - 1) {
        return;
    }
    va_start(args, format);
    more =
        vsnprintf(line + used, sizeof(line) - 1 - (size_t)used, format, args);
    va_end(args);
    if (more < 0) {
        return;
    }
    used += more;
    if ((size_t)used > sizeof(line) - 2) {
        used = (int)sizeof(line) - 2;
    }
    line[used++] = '\n';
    written = write(STDERR_FILENO, line, (size_t)used);
    (void)written; /* a failed write cannot be reported anywhere */
}
