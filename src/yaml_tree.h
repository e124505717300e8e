/*
 * NAME
 *     yaml_tree - a YAML document as a tree with line numbers
 *
 * DESCRIPTION
 *     A thin layer over libyaml for settings and patches. Syntax errors and
 *     duplicate keys become findings with their line. Documents are bounded
 *     in size and depth; aliases are refused, so that a small hostile file
 *     cannot expand without bound.
 */
#ifndef COLTSFOOT_YAML_TREE_H
#define COLTSFOOT_YAML_TREE_H

#include <stdbool.h>
#include <stddef.h>

#include "findings.h"

#define YAML_TREE_MAX_BYTES (1024 * 1024)
#define YAML_TREE_MAX_DEPTH 16

typedef struct YamlTree YamlTree;
typedef struct YamlNode YamlNode;

typedef enum YamlKind { YAML_SCALAR, YAML_LIST, YAML_MAP } YamlKind;

/* Parses text. Returns NULL and adds findings when it is not one document;
 * *findings may hold findings for a returned tree as well. */
YamlTree *YamlTree_Parse(const char *text, size_t len, Findings *findings);
void YamlTree_Free(YamlTree *tree);

/* Returns the root node, or NULL for an empty document. */
const YamlNode *YamlTree_Root(const YamlTree *tree);

YamlKind YamlNode_Kind(const YamlNode *node);
size_t YamlNode_Line(const YamlNode *node);

/* Returns the text of a scalar; an empty string for other kinds. */
const char *YamlNode_Text(const YamlNode *node);

/* Returns the count of items of a list or of pairs of a map. */
size_t YamlNode_Count(const YamlNode *node);

/* Returns item i of a list or value i of a map. */
const YamlNode *YamlNode_Item(const YamlNode *node, size_t i);

/* Returns key i of a map and its line. */
const char *YamlNode_Key(const YamlNode *node, size_t i);
size_t YamlNode_KeyLine(const YamlNode *node, size_t i);

/* Returns the value of a key of a map, or NULL. */
const YamlNode *YamlNode_Find(const YamlNode *node, const char *key);

/* Reads a scalar as a whole number. Returns false when it is none. */
bool YamlNode_Integer(const YamlNode *node, long long *value);

#endif
