/*
 * NAME
 *     jsonload - JSON documents of clients, parsed within a bound on memory
 *
 * DESCRIPTION
 *     A parsed document takes several times the memory of its text, and up to
 *     80 times for text such as "{},{},{}". JsonLoad_Parse counts the values
 *     before it parses, so that a document has a bound on its parsed form.
 *     Thread-safe.
 */
#ifndef COLTSFOOT_JSONLOAD_H
#define COLTSFOOT_JSONLOAD_H

#include <stddef.h>

#include <jansson.h>

/* Limit for documents of one job, target or change. A job of 32 steps in which
 * each member is used has fewer than 2,000 values. A value takes up to 240
 * bytes. */
#define JSON_LOAD_FEW_VALUES 16384
/* Limit for lists of queues or VMs: more than the shortest rows in an entry of
 * the log. */
#define JSON_LOAD_MANY_VALUES 131072

/* Parses a document as json_loadb() does. Returns NULL and fills *error, which
 * may be NULL, if the text is malformed or has more than max_values lists,
 * objects, elements and members; the code of the error is then
 * json_error_out_of_memory. */
json_t *JsonLoad_Parse(const char *text, size_t len, size_t flags,
                       size_t max_values, json_error_t *error);

#endif
