#include "cli_print.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define MAX_COLUMNS 32
#define INDENT_STEP 2

typedef struct Columns {
    const char *names[MAX_COLUMNS];
    size_t widths[MAX_COLUMNS];
    size_t count;
} Columns;

/* Replaces control bytes, so that a name cannot send escape sequences to the
 * terminal. */
static void
append_printable(Buf *out, const char *text)
{
    const char *at;

    for (at = text; *at != '\0'; at++) {
        if ((unsigned char)*at < 0x20 || *at == 0x7f) {
            Buf_Append(out, "?", 1);
        }
        else {
            Buf_Append(out, at, 1);
        }
    }
}

static void
append_scalar(Buf *out, const json_t *value)
{
    size_t i;
    const json_t *item;

    if (json_is_string(value)) {
        append_printable(out, json_string_value(value));
    }
    else if (json_is_integer(value)) {
        Buf_Printf(out, "%" JSON_INTEGER_FORMAT, json_integer_value(value));
    }
    else if (json_is_real(value)) {
        Buf_Printf(out, "%.4g", json_real_value(value));
    }
    else if (json_is_boolean(value)) {
        Buf_Printf(out, "%s", json_is_true(value) ? "yes" : "no");
    }
    else if (json_is_array(value)) {
        json_array_foreach(value, i, item)
        {
            if (i > 0) {
                Buf_Append(out, ",", 1);
            }
            append_scalar(out, item);
        }
    }
    else if (json_is_object(value)) {
        char *text = json_dumps(value, JSON_COMPACT);
        append_printable(out, text != NULL ? text : "");
        free(text);
    }
    else {
        Buf_Printf(out, "-");
    }
}

static void
append_spaces(Buf *out, size_t count)
{
    while (count-- > 0) {
        Buf_Append(out, " ", 1);
    }
}

static void
measure_column(Columns *columns, const char *name, const json_t *value)
{
    Buf cell = BUF_INIT;
    size_t i;

    for (i = 0; i < columns->count; i++) {
        if (strcmp(columns->names[i], name) == 0) {
            break;
        }
    }
    if (i == MAX_COLUMNS) {
        return;
    }
    if (i == columns->count) {
        columns->names[i] = name;
        columns->widths[i] = strlen(name);
        columns->count++;
    }
    append_scalar(&cell, value);
    if (cell.len > columns->widths[i]) {
        columns->widths[i] = cell.len;
    }
    Buf_Free(&cell);
}

static void
append_cell(Buf *out, const char *text, size_t len, size_t width, bool is_last)
{
    Buf_Append(out, text, len);
    if (!is_last) {
        append_spaces(out, width - len + 2);
    }
}

static void
append_table(Buf *out, const json_t *list, int indent)
{
    Columns columns = {{NULL}, {0}, 0};
    size_t i;
    size_t c;
    json_t *row;
    json_t *value;
    const char *key;

    json_array_foreach(list, i, row)
    {
        json_object_foreach(row, key, value)
        {
            measure_column(&columns, key, value);
        }
    }
    append_spaces(out, (size_t)indent);
    for (c = 0; c < columns.count; c++) {
        append_cell(out, columns.names[c], strlen(columns.names[c]),
                    columns.widths[c], c + 1 == columns.count);
    }
    Buf_Append(out, "\n", 1);
    json_array_foreach(list, i, row)
    {
        append_spaces(out, (size_t)indent);
        for (c = 0; c < columns.count; c++) {
            Buf cell = BUF_INIT;
            append_scalar(&cell, json_object_get(row, columns.names[c]));
            append_cell(out, Buf_Text(&cell), cell.len, columns.widths[c],
                        c + 1 == columns.count);
            Buf_Free(&cell);
        }
        Buf_Append(out, "\n", 1);
    }
}

/* Appends multi-line text as an indented block. */
static void
append_block(Buf *out, const char *text, int indent)
{
    while (*text != '\0') {
        size_t len = strcspn(text, "\n");
        Buf line = BUF_INIT;
        Buf_Append(&line, text, len);
        append_spaces(out, (size_t)indent);
        append_printable(out, Buf_Text(&line));
        Buf_Append(out, "\n", 1);
        Buf_Free(&line);
        text += len + (text[len] == '\n');
    }
}

static bool
is_table(const json_t *value)
{
    return json_is_array(value) && json_array_size(value) > 0 &&
           json_is_object(json_array_get(value, 0));
}

static void
append_object(Buf *out, const json_t *object, int indent)
{
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)(uintptr_t)object, key, value)
    {
        append_spaces(out, (size_t)indent);
        append_printable(out, key);
        if (is_table(value) ||
            (json_is_object(value) && json_object_size(value) > 0)) {
            Buf_Append(out, ":\n", 2);
            Cli_AppendJson(out, value, indent + INDENT_STEP);
        }
        else if (json_is_string(value) &&
                 strchr(json_string_value(value), '\n') != NULL) {
            Buf_Append(out, ":\n", 2);
            append_block(out, json_string_value(value), indent + INDENT_STEP);
        }
        else {
            Buf_Append(out, ": ", 2);
            append_scalar(out, value);
            Buf_Append(out, "\n", 1);
        }
    }
}

void
Cli_AppendJson(Buf *out, const json_t *value, int indent)
{
    if (is_table(value)) {
        append_table(out, value, indent);
    }
    else if (json_is_object(value)) {
        append_object(out, value, indent);
    }
    else {
        append_spaces(out, (size_t)indent);
        append_scalar(out, value);
        Buf_Append(out, "\n", 1);
    }
}
