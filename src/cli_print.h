/*
 * NAME
 *     cli_print - prints JSON answers as text
 *
 * DESCRIPTION
 *     Scalars of an object become "key: value" lines and lists of objects
 *     become tables with one column for each key, so a field that a newer
 *     coltsfootd adds is shown without a change here.
 */
#ifndef COLTSFOOT_CLI_PRINT_H
#define COLTSFOOT_CLI_PRINT_H

#include <jansson.h>
#include <stdio.h>

#include "buf.h"

/* Appends a JSON value as text. indent is the number of leading spaces. */
void Cli_AppendJson(Buf *out, const json_t *value, int indent);

#endif
