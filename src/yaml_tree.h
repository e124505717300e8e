/*
 * NAME
 *     yaml_tree - a YAML document as a tree with line numbers
 *
 * DESCRIPTION
 *     A thin layer over libyaml for settings and patches. Syntax errors and
 *     duplicate keys become findings with their line. Documents are limited
 *     in size, depth and number of nodes, and are parsed in linear time.
 *     Aliases are rejected, so that a small malicious file
 *     cannot expand without bound.
 */
#ifndef COLTSFOOT_YAML_TREE_H
#define COLTSFOOT_YAML_TREE_H

#include <stdbool.h>
#include <stddef.h>

#include "findings.h"

#define YAML_TREE_MAX_BYTES (1024 * 1024)
#define YAML_TREE_MAX_DEPTH 16
/* Bounds the memory of a tree, of which a node takes up to 200 bytes. */
#define YAML_TREE_MAX_NODES 131072

typedef struct YamlTree YamlTree;
typedef struct YamlNode YamlNode;

typedef enum YamlKind { YAML_SCALAR, YAML_LIST, YAML_MAP } YamlKind;

/* Parses a single document. Returns NULL with findings if the text is invalid.
 * A tree may be returned with findings as well, such as duplicate keys. */
YamlTree *YamlTree_Parse(const char *text, size_t len, Findings *findings);
void YamlTree_Free(YamlTree *tree);

/* Returns the root node, or NULL for an empty document. */
const YamlNode *YamlTree_GetRoot(const YamlTree *tree);

YamlKind YamlNode_GetKind(const YamlNode *node);
size_t YamlNode_GetLine(const YamlNode *node);

/* Returns the text of a scalar, or an empty string for other kinds. */
const char *YamlNode_GetText(const YamlNode *node);

/* Returns the number of items in a list or of pairs in a map. */
size_t YamlNode_CountItems(const YamlNode *node);

/* Returns item i of a list or value i of a map, or NULL past the end. */
const YamlNode *YamlNode_GetItem(const YamlNode *node, size_t i);

/* Return key i of a map and its line, or an empty string and 0 if none. */
const char *YamlNode_GetKey(const YamlNode *node, size_t i);
size_t YamlNode_GetKeyLine(const YamlNode *node, size_t i);

/* Returns the value of a key in a map, or NULL if it is absent. */
const YamlNode *YamlNode_FindValue(const YamlNode *node, const char *key);

/* Parses a scalar as a whole number. Returns false if it is not one. */
bool YamlNode_ParseInteger(const YamlNode *node, long long *value);

#endif
