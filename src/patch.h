/*
 * NAME
 *     patch - parses the YAML text of a configuration patch
 *
 * DESCRIPTION
 *     A patch is a map with base (the version it was written against),
 *     operator, request_id, set (a map of path to value) and delete (a list
 *     of paths). All findings are reported in one pass. State_Apply decides
 *     whether a patch conflicts with a newer version.
 */
#ifndef COLTSFOOT_PATCH_H
#define COLTSFOOT_PATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "findings.h"
#include "statepath.h"

typedef struct PatchEdit {
    bool is_delete;
    char path[STATE_PATH_BYTES];
    char value[STATE_VALUE_BYTES]; /* empty for a delete */
} PatchEdit;

typedef struct ParsedPatch {
    uint64_t base;
    char operator_name[STATE_NAME_BYTES];
    char request_id[STATE_NAME_BYTES];
    PatchEdit *edits; /* in the order of the text */
    size_t edit_count;
} ParsedPatch;

/* Parses text. Returns a patch, which the caller frees with Patch_Free, or
 * NULL with findings. */
ParsedPatch *Patch_Parse(const char *text, size_t len, Findings *findings);
void Patch_Free(ParsedPatch *patch);

#endif
