#include "findings.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

struct Findings {
    char file[FINDINGS_PATH_BYTES];
    Finding *items;
    size_t stored;
    size_t capacity;
    size_t count;
};

Findings *
Findings_New(const char *file)
{
    Findings *findings = calloc(1, sizeof(*findings));

    if (findings != NULL) {
        snprintf(findings->file, sizeof(findings->file), "%s", file);
    }
    return findings;
}

void
Findings_Free(Findings *findings)
{
    if (findings != NULL) {
        free(findings->items);
        free(findings);
    }
}

static Finding *
add_slot(Findings *findings)
{
    Finding *items;
    size_t capacity;

    if (findings->stored >= FINDINGS_MAX) {
        return NULL;
    }
    if (findings->stored == findings->capacity) {
        capacity = findings->capacity ? findings->capacity * 2 : 8;
        items = realloc(findings->items, capacity * sizeof(*items));
        if (items == NULL) {
            return NULL;
        }
        findings->items = items;
        findings->capacity = capacity;
    }
    return &findings->items[findings->stored++];
}

void
Findings_Add(Findings *findings, size_t line, const char *path,
             const char *format, ...)
{
    Finding *item;
    va_list args;

    findings->count++;
    item = add_slot(findings);
    if (item == NULL) {
        return;
    }
    item->line = line;
    snprintf(item->path, sizeof(item->path), "%s", path);
    va_start(args, format);
    vsnprintf(item->reason, sizeof(item->reason), format, args);
    va_end(args);
}

size_t
Findings_Count(const Findings *findings)
{
    return findings->count;
}

const Finding *
Findings_Get(const Findings *findings, size_t i)
{
    return i < findings->stored ? &findings->items[i] : NULL;
}

const char *
Findings_GetFile(const Findings *findings)
{
    return findings->file;
}

void
Findings_Print(const Findings *findings, FILE *out)
{
    size_t i;

    for (i = 0; i < findings->stored; i++) {
        const Finding *item = &findings->items[i];
        fprintf(out, "%s:%zu: %s: %s\n", findings->file, item->line,
                item->path[0] ? item->path : "(file)", item->reason);
    }
    if (findings->count > findings->stored) {
        fprintf(out, "%s: %zu more findings are not shown\n", findings->file,
                findings->count - findings->stored);
    }
}
