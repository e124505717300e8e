#include "cli.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "rng.h"
#include "yaml_tree.h"

void
Cli_GenerateRequestId(char *id)
{
    Rng rng;

    Rng_Seed(&rng, Rng_SystemSeed());
    snprintf(id, CLI_REQUEST_ID_BYTES, "cli-%016" PRIx64, Rng_Next(&rng));
}

/* Appends a scalar in double quotes, so that the value of an option is never
 * parsed as YAML syntax. */
static void
append_quoted(Buf *out, const char *text, size_t len)
{
    size_t i;

    Buf_Append(out, "\"", 1);
    for (i = 0; i < len; i++) {
        unsigned char c = (unsigned char)text[i];
        if (c == '"' || c == '\\') {
            Buf_Append(out, "\\", 1);
            Buf_Append(out, &text[i], 1);
        }
        else if (c < 0x20 || c == 0x7f) {
            Buf_Printf(out, "\\x%02x", (unsigned)c);
        }
        else {
            Buf_Append(out, &text[i], 1);
        }
    }
    Buf_Append(out, "\"", 1);
}

/* Appends a top-level key with the value of its option, unless the text has
 * the key. Adds a finding if neither the text nor the option gives a value, or
 * if their values differ. */
static void
append_key_from_option(Buf *out, const YamlNode *root, const char *key,
                       const char *value, Findings *findings)
{
    const YamlNode *node = root != NULL && YamlNode_GetKind(root) == YAML_MAP
                               ? YamlNode_FindValue(root, key)
                               : NULL;

    if (node == NULL && value == NULL) {
        Findings_Add(findings, 0, key, "is missing; give --%s",
                     strcmp(key, "request_id") == 0 ? "request-id" : key);
    }
    else if (node == NULL) {
        Buf_Printf(out, "%s: ", key);
        if (strcmp(key, "base") == 0 &&
            strspn(value, "0123456789") == strlen(value)) {
            Buf_Printf(out, "%s", value);
        }
        else {
            append_quoted(out, value, strlen(value));
        }
        Buf_Append(out, "\n", 1);
    }
    else if (value != NULL && strcmp(YamlNode_GetText(node), value) != 0) {
        Findings_Add(findings, YamlNode_GetLine(node), key,
                     "differs from the option, which is %s", value);
    }
}

static void
append_sets(Buf *out, const CliOptions *options, Findings *findings)
{
    int i;

    Buf_Printf(out, "set:\n");
    for (i = 0; i < options->set_count; i++) {
        const char *equals = strchr(options->sets[i], '=');
        if (equals == NULL || equals == options->sets[i]) {
            Findings_Add(findings, 0, "--set", "must be PATH=VALUE, not %s",
                         options->sets[i]);
            continue;
        }
        Buf_Printf(out, "  ");
        append_quoted(out, options->sets[i],
                      (size_t)(equals - options->sets[i]));
        Buf_Printf(out, ": ");
        append_quoted(out, equals + 1, strlen(equals + 1));
        Buf_Append(out, "\n", 1);
    }
}

static void
append_edits(Buf *out, const CliOptions *options, const YamlNode *root,
             Findings *findings)
{
    bool is_map = root != NULL && YamlNode_GetKind(root) == YAML_MAP;
    bool has_set = is_map && YamlNode_FindValue(root, "set") != NULL;
    bool has_delete = is_map && YamlNode_FindValue(root, "delete") != NULL;
    int i;

    if (options->set_count > 0 && has_set) {
        Findings_Add(findings, 0, "--set", "the file has a set of its own");
    }
    else if (options->set_count > 0) {
        append_sets(out, options, findings);
    }
    if (options->delete_count > 0 && has_delete) {
        Findings_Add(findings, 0, "--delete",
                     "the file has a delete of its own");
    }
    else if (options->delete_count > 0) {
        Buf_Printf(out, "delete:\n");
        for (i = 0; i < options->delete_count; i++) {
            Buf_Printf(out, "  - ");
            append_quoted(out, options->deletes[i],
                          strlen(options->deletes[i]));
            Buf_Append(out, "\n", 1);
        }
    }
    if (!has_set && !has_delete && options->set_count == 0 &&
        options->delete_count == 0) {
        Findings_Add(findings, 0, "", "the patch has no set and no delete");
    }
}

Status
Cli_BuildPatch(const CliOptions *options, const char *text, size_t len,
               Buf *out, Findings *findings)
{
    YamlTree *tree = NULL;
    const YamlNode *root = NULL;
    const char *id = options->request_id;
    char new_id[CLI_REQUEST_ID_BYTES];

    if (len > 0) {
        tree = YamlTree_Parse(text, len, findings);
        if (tree == NULL) {
            return ST_INVALID;
        }
        root = YamlTree_GetRoot(tree);
        if (root != NULL && YamlNode_GetKind(root) != YAML_MAP) {
            Findings_Add(findings, YamlNode_GetLine(root), "",
                         "a patch must be a map");
            YamlTree_Free(tree);
            return ST_INVALID;
        }
    }
    /* Appending the options keeps the line numbers of the text. */
    Buf_Append(out, text, len);
    if (len > 0 && text[len - 1] != '\n') {
        Buf_Append(out, "\n", 1);
    }
    append_key_from_option(out, root, "base", options->base, findings);
    append_key_from_option(out, root, "operator", options->operator_name,
                           findings);
    if (id == NULL &&
        (root == NULL || YamlNode_FindValue(root, "request_id") == NULL)) {
        Cli_GenerateRequestId(new_id);
        id = new_id;
    }
    append_key_from_option(out, root, "request_id", id, findings);
    append_edits(out, options, root, findings);
    YamlTree_Free(tree);
    return Findings_Count(findings) == 0 ? ST_OK : ST_INVALID;
}
