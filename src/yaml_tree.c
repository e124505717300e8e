#include "yaml_tree.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <yaml.h>

#include "strmap.h"

struct YamlNode {
    YamlKind kind;
    size_t line;
    char *text;
    size_t count;
    size_t capacity;
    struct YamlNode **items;
    char **keys;
    size_t *key_lines;
};

struct YamlTree {
    YamlNode *root;
};

typedef struct Builder {
    yaml_parser_t parser;
    Findings *findings;
    size_t node_count;
    bool failed;
} Builder;

static void
free_node(YamlNode *node)
{
    size_t i;

    if (node == NULL) {
        return;
    }
    for (i = 0; i < node->count; i++) {
        /* YAML_TREE_MAX_DEPTH bounds the recursion. */
        free_node(node->items[i]);
        if (node->keys != NULL) {
            free(node->keys[i]);
        }
    }
    free(node->items);
    free(node->keys);
    free(node->key_lines);
    free(node->text);
    free(node);
}

static YamlNode *
new_node(YamlKind kind, size_t line)
{
    YamlNode *node = calloc(1, sizeof(*node));

    if (node != NULL) {
        node->kind = kind;
        node->line = line;
    }
    return node;
}

static bool
next_event(Builder *builder, yaml_event_t *event)
{
    if (yaml_parser_parse(&builder->parser, event)) {
        return true;
    }
    builder->failed = true;
    Findings_Add(
        builder->findings, builder->parser.problem_mark.line + 1, "", "%s",
        builder->parser.problem ? builder->parser.problem : "not valid YAML");
    return false;
}

static bool
add_item(YamlNode *parent, char *key, size_t key_line, YamlNode *item)
{
    if (parent->count == parent->capacity) {
        size_t capacity = parent->capacity ? parent->capacity * 2 : 4;
        void *items =
            realloc(parent->items, capacity * sizeof(*parent->items));
        if (items == NULL) {
            return false;
        }
        parent->items = items;
        if (parent->kind == YAML_MAP) {
            void *keys =
                realloc(parent->keys, capacity * sizeof(*parent->keys));
            void *lines;
            if (keys == NULL) {
                return false;
            }
            parent->keys = keys;
            lines = realloc(parent->key_lines,
                            capacity * sizeof(*parent->key_lines));
            if (lines == NULL) {
                return false;
            }
            parent->key_lines = lines;
        }
        parent->capacity = capacity;
    }
    parent->items[parent->count] = item;
    if (parent->kind == YAML_MAP) {
        parent->keys[parent->count] = key;
        parent->key_lines[parent->count] = key_line;
    }
    parent->count++;
    return true;
}

static YamlNode *build_node(Builder *builder, yaml_event_t *event, int depth);

static void
build_list(Builder *builder, YamlNode *list, int depth)
{
    yaml_event_t event;

    while (!builder->failed && next_event(builder, &event)) {
        YamlNode *item;
        if (event.type == YAML_SEQUENCE_END_EVENT) {
            yaml_event_delete(&event);
            return;
        }
        item = build_node(builder, &event, depth + 1);
        if (item != NULL && !add_item(list, NULL, 0, item)) {
            free_node(item);
            builder->failed = true;
        }
    }
}

/* Returns a copy of the key in an event, or NULL with a finding if the key is
 * not a scalar. seen holds the earlier keys of the map. */
static char *
copy_key(Builder *builder, const StrMap *seen, const yaml_event_t *event)
{
    size_t line = event->start_mark.line + 1;
    const char *text;

    if (event->type != YAML_SCALAR_EVENT) {
        Findings_Add(builder->findings, line, "", "a key must be a scalar");
        builder->failed = true;
        return NULL;
    }
    text = (const char *)event->data.scalar.value;
    if (StrMap_Get(seen, text) != NULL) {
        Findings_Add(builder->findings, line, text, "the key stands twice");
    }
    return strdup(text);
}

static void
build_pairs(Builder *builder, YamlNode *map, StrMap *seen, int depth)
{
    yaml_event_t event;

    while (!builder->failed && next_event(builder, &event)) {
        char *key;
        size_t line = event.start_mark.line + 1;
        YamlNode *value;
        if (event.type == YAML_MAPPING_END_EVENT) {
            yaml_event_delete(&event);
            return;
        }
        key = copy_key(builder, seen, &event);
        yaml_event_delete(&event);
        if (key == NULL || !next_event(builder, &event)) {
            free(key);
            return;
        }
        value = build_node(builder, &event, depth + 1);
        if (value == NULL || !add_item(map, key, line, value)) {
            free(key);
            free_node(value);
            builder->failed = true;
            return;
        }
        StrMap_Put(seen, key, value);
    }
}

static void
build_map(Builder *builder, YamlNode *map, int depth)
{
    StrMap *seen = StrMap_New();

    build_pairs(builder, map, seen, depth);
    StrMap_Free(seen);
}

/* Builds the node that starts with event, and deletes the event. */
static YamlNode *
build_node(Builder *builder, yaml_event_t *event, int depth)
{
    size_t line = event->start_mark.line + 1;
    YamlNode *node = NULL;

    if (depth > YAML_TREE_MAX_DEPTH) {
        Findings_Add(builder->findings, line, "",
                     "nesting is deeper than %d levels", YAML_TREE_MAX_DEPTH);
        builder->failed = true;
    }
    else if (builder->node_count++ == YAML_TREE_MAX_NODES) {
        Findings_Add(builder->findings, line, "", "more than %d values",
                     YAML_TREE_MAX_NODES);
        builder->failed = true;
    }
    else if (event->type == YAML_SCALAR_EVENT) {
        node = new_node(YAML_SCALAR, line);
        if (node != NULL) {
            node->text = strdup((const char *)event->data.scalar.value);
        }
    }
    else if (event->type == YAML_SEQUENCE_START_EVENT) {
        node = new_node(YAML_LIST, line);
        if (node != NULL) {
            build_list(builder, node, depth);
        }
    }
    else if (event->type == YAML_MAPPING_START_EVENT) {
        node = new_node(YAML_MAP, line);
        if (node != NULL) {
            build_map(builder, node, depth);
        }
    }
    else {
        Findings_Add(builder->findings, line, "", "aliases are not accepted");
        builder->failed = true;
    }
    yaml_event_delete(event);
    return node;
}

static YamlNode *
build_document(Builder *builder)
{
    yaml_event_t event;
    YamlNode *root = NULL;

    while (!builder->failed && next_event(builder, &event)) {
        yaml_event_type_t type = event.type;
        if (type == YAML_STREAM_START_EVENT ||
            type == YAML_DOCUMENT_START_EVENT ||
            type == YAML_DOCUMENT_END_EVENT) {
            yaml_event_delete(&event);
            continue;
        }
        if (type == YAML_STREAM_END_EVENT) {
            yaml_event_delete(&event);
            break;
        }
        if (root != NULL) {
            Findings_Add(builder->findings, event.start_mark.line + 1, "",
                         "only one document is accepted");
            builder->failed = true;
            yaml_event_delete(&event);
            break;
        }
        root = build_node(builder, &event, 0);
    }
    return root;
}

YamlTree *
YamlTree_Parse(const char *text, size_t len, Findings *findings)
{
    Builder builder = {.findings = findings};
    YamlTree *tree;

    if (len > YAML_TREE_MAX_BYTES) {
        Findings_Add(findings, 0, "", "larger than %d bytes",
                     YAML_TREE_MAX_BYTES);
        return NULL;
    }
    tree = calloc(1, sizeof(*tree));
    if (tree == NULL || !yaml_parser_initialize(&builder.parser)) {
        free(tree);
        return NULL;
    }
    yaml_parser_set_input_string(&builder.parser, (const unsigned char *)text,
                                 len);
    tree->root = build_document(&builder);
    yaml_parser_delete(&builder.parser);
    if (builder.failed) {
        YamlTree_Free(tree);
        return NULL;
    }
    return tree;
}

void
YamlTree_Free(YamlTree *tree)
{
    if (tree != NULL) {
        free_node(tree->root);
        free(tree);
    }
}

const YamlNode *
YamlTree_GetRoot(const YamlTree *tree)
{
    return tree->root;
}

YamlKind
YamlNode_GetKind(const YamlNode *node)
{
    return node->kind;
}

size_t
YamlNode_GetLine(const YamlNode *node)
{
    return node->line;
}

const char *
YamlNode_GetText(const YamlNode *node)
{
    return node->text != NULL ? node->text : "";
}

size_t
YamlNode_CountItems(const YamlNode *node)
{
    return node->count;
}

const YamlNode *
YamlNode_GetItem(const YamlNode *node, size_t i)
{
    return i < node->count ? node->items[i] : NULL;
}

const char *
YamlNode_GetKey(const YamlNode *node, size_t i)
{
    return node->kind == YAML_MAP && i < node->count ? node->keys[i] : "";
}

size_t
YamlNode_GetKeyLine(const YamlNode *node, size_t i)
{
    return node->kind == YAML_MAP && i < node->count ? node->key_lines[i] : 0;
}

const YamlNode *
YamlNode_FindValue(const YamlNode *node, const char *key)
{
    size_t i;

    if (node->kind != YAML_MAP) {
        return NULL;
    }
    for (i = 0; i < node->count; i++) {
        if (strcmp(node->keys[i], key) == 0) {
            return node->items[i];
        }
    }
    return NULL;
}

bool
YamlNode_ParseInteger(const YamlNode *node, long long *value)
{
    const char *text = YamlNode_GetText(node);
    char *end;

    if (node->kind != YAML_SCALAR || text[0] == '\0') {
        return false;
    }
    errno = 0;
    *value = strtoll(text, &end, 10);
    return errno == 0 && *end == '\0';
}
