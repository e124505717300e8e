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

/* Appends the text of a value; indent is the count of leading spaces. */
void Cli_Render(Buf *out, const json_t *value, int indent);

#endif
