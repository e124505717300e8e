#include "patch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "state.h"
#include "strmap.h"
#include "yaml_tree.h"

static void
read_base(const YamlNode *root, ParsedPatch *patch, Findings *findings)
{
    const YamlNode *node = YamlNode_FindValue(root, "base");
    long long base = -1;

    if (node == NULL) {
        Findings_Add(findings, 0, "base",
                     "is missing; it is the version the "
                     "patch was written against");
        return;
    }
    if (!YamlNode_ParseInteger(node, &base) || base < 0) {
        Findings_Add(findings, YamlNode_GetLine(node), "base",
                     "must be a whole number of at least 0");
        return;
    }
    patch->base = (uint64_t)base;
}

static void
read_name(const YamlNode *root, const char *key, char *out, Findings *findings)
{
    const YamlNode *node = YamlNode_FindValue(root, key);
    const char *text;

    if (node == NULL) {
        Findings_Add(findings, 0, key, "is missing");
        return;
    }
    text = YamlNode_GetText(node);
    if (!StatePath_IsName(text, strlen(text))) {
        Findings_Add(findings, YamlNode_GetLine(node), key,
                     "must be a name of 1 to 63 of A-Z a-z 0-9 . _ -");
        return;
    }
    snprintf(out, STATE_NAME_BYTES, "%s", text);
}

/* Adds an edit, or a finding if its path or value is invalid or the path was
 * edited before. value is NULL for a delete. */
static void
add_edit(ParsedPatch *patch, StrMap *seen, size_t line, const char *path,
         const char *value, Findings *findings)
{
    char reason[STATE_REASON_BYTES] = "";
    StatePath parsed;
    StateValue number;
    PatchEdit *edit = &patch->edits[patch->edit_count];

    if (!StatePath_Parse(path, value == NULL, &parsed, reason) ||
        (value != NULL &&
         !StatePath_ParseValue(&parsed, value, &number, reason))) {
        Findings_Add(findings, line, path, "%s", reason);
        return;
    }
    if (StrMap_Get(seen, path) != NULL) {
        Findings_Add(findings, line, path, "stands twice in the patch");
        return;
    }
    edit->is_delete = value == NULL;
    snprintf(edit->path, sizeof(edit->path), "%s", path);
    snprintf(edit->value, sizeof(edit->value), "%s",
             value != NULL ? value : "");
    StrMap_Put(seen, edit->path, edit);
    patch->edit_count++;
}

static void
read_set(const YamlNode *set, ParsedPatch *patch, StrMap *seen,
         Findings *findings)
{
    size_t i;

    if (set == NULL) {
        return;
    }
    if (YamlNode_GetKind(set) != YAML_MAP) {
        Findings_Add(findings, YamlNode_GetLine(set), "set",
                     "must be a map of path to value");
        return;
    }
    for (i = 0; i < YamlNode_CountItems(set); i++) {
        const YamlNode *value = YamlNode_GetItem(set, i);
        if (YamlNode_GetKind(value) != YAML_SCALAR) {
            Findings_Add(findings, YamlNode_GetLine(value),
                         YamlNode_GetKey(set, i),
                         "the value must be a scalar");
            continue;
        }
        add_edit(patch, seen, YamlNode_GetKeyLine(set, i),
                 YamlNode_GetKey(set, i), YamlNode_GetText(value), findings);
    }
}

static void
read_delete(const YamlNode *list, ParsedPatch *patch, StrMap *seen,
            Findings *findings)
{
    size_t i;

    if (list == NULL) {
        return;
    }
    if (YamlNode_GetKind(list) != YAML_LIST) {
        Findings_Add(findings, YamlNode_GetLine(list), "delete",
                     "must be a list of paths");
        return;
    }
    for (i = 0; i < YamlNode_CountItems(list); i++) {
        const YamlNode *item = YamlNode_GetItem(list, i);
        add_edit(patch, seen, YamlNode_GetLine(item), YamlNode_GetText(item),
                 NULL, findings);
    }
}

/* Adds a finding for each edit below a path that the same patch deletes. */
static void
check_overlap(const ParsedPatch *patch, const StrMap *seen, Findings *findings)
{
    size_t i;

    for (i = 0; i < patch->edit_count; i++) {
        char row[STATE_PATH_BYTES];
        char *slash;
        snprintf(row, sizeof(row), "%s", patch->edits[i].path);
        slash = strchr(row, '/');
        slash = slash != NULL ? strchr(slash + 1, '/') : NULL;
        if (slash == NULL) {
            continue;
        }
        *slash = '\0';
        if (StrMap_Get(seen, row) != NULL) {
            Findings_Add(findings, 0, patch->edits[i].path,
                         "the patch deletes %s as a whole", row);
        }
    }
}

static void
check_keys(const YamlNode *root, Findings *findings)
{
    static const char *const known[] = {"base", "operator", "request_id",
                                        "set", "delete"};
    size_t i;
    size_t k;

    for (i = 0; i < YamlNode_CountItems(root); i++) {
        for (k = 0; k < sizeof(known) / sizeof(known[0]); k++) {
            if (strcmp(YamlNode_GetKey(root, i), known[k]) == 0) {
                break;
            }
        }
        if (k == sizeof(known) / sizeof(known[0])) {
            Findings_Add(findings, YamlNode_GetKeyLine(root, i),
                         YamlNode_GetKey(root, i), "unknown key");
        }
    }
}

static size_t
count_items(const YamlNode *node)
{
    return node != NULL ? YamlNode_CountItems(node) : 0;
}

static void
read_patch(const YamlNode *root, ParsedPatch *patch, Findings *findings)
{
    const YamlNode *set = YamlNode_FindValue(root, "set");
    const YamlNode *list = YamlNode_FindValue(root, "delete");
    size_t count = count_items(set) + count_items(list);
    StrMap *seen;

    check_keys(root, findings);
    read_base(root, patch, findings);
    read_name(root, "operator", patch->operator_name, findings);
    read_name(root, "request_id", patch->request_id, findings);
    if (count == 0 || count > STATE_MAX_EDITS) {
        Findings_Add(findings, 0, "set",
                     "a patch needs 1 to %d edits in set and delete, not %zu",
                     STATE_MAX_EDITS, count);
        return;
    }
    patch->edits = Mem_New(count, sizeof(*patch->edits));
    seen = StrMap_New();
    read_set(set, patch, seen, findings);
    read_delete(list, patch, seen, findings);
    check_overlap(patch, seen, findings);
    StrMap_Free(seen);
}

ParsedPatch *
Patch_Parse(const char *text, size_t len, Findings *findings)
{
    size_t before = Findings_Count(findings);
    YamlTree *tree = YamlTree_Parse(text, len, findings);
    const YamlNode *root = tree != NULL ? YamlTree_GetRoot(tree) : NULL;
    ParsedPatch *patch;

    if (root == NULL || YamlNode_GetKind(root) != YAML_MAP) {
        if (Findings_Count(findings) == before) {
            Findings_Add(findings, 0, "", "a patch must be a map");
        }
        YamlTree_Free(tree);
        return NULL;
    }
    patch = Mem_New(1, sizeof(*patch));
    read_patch(root, patch, findings);
    YamlTree_Free(tree);
    if (Findings_Count(findings) > before) {
        Patch_Free(patch);
        return NULL;
    }
    return patch;
}

void
Patch_Free(ParsedPatch *patch)
{
    if (patch != NULL) {
        free(patch->edits);
        free(patch);
    }
}
