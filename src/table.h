/*
 * NAME
 *     table - rows addressed by generational handles
 *
 * DESCRIPTION
 *     A handle is a 32-bit index and a 32-bit generation. Adding and freeing a
 *     row increment its generation, so a handle to a freed row is detected as
 *     stale. Row addresses change when the table grows; keep handles, not
 *     pointers. The zero handle is never valid.
 */
#ifndef COLTSFOOT_TABLE_H
#define COLTSFOOT_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct Handle {
    uint32_t index;
    uint32_t generation;
} Handle;

#define HANDLE_NONE ((Handle){0, 0})

typedef struct Table Table;

/* Returns an empty table of at most max_rows rows of row_bytes each, or NULL
 * when memory is exhausted. */
Table *Table_New(size_t row_bytes, uint32_t max_rows);

/* Like Table_New, with handles whose generations start from the seed. For
 * handles that are sent to other processes: a late answer to an earlier
 * incarnation of this process then finds no row. */
Table *Table_NewSeeded(size_t row_bytes, uint32_t max_rows, uint64_t seed);
void Table_Free(Table *table);

/* Returns a handle to a zeroed row, or HANDLE_NONE when the table is full or
 * memory is exhausted. */
Handle Table_Add(Table *table);

/* Returns the row, or NULL for a stale handle. */
void *Table_Get(const Table *table, Handle handle);

/* Frees the row. Returns false for a stale handle. */
bool Table_Remove(Table *table, Handle handle);

/* Returns the number of rows in use. */
uint32_t Table_Count(const Table *table);

/* Returns the handle of the next row in use, or HANDLE_NONE at the end.
 * *cursor is 0 before the first call. */
Handle Table_Next(const Table *table, uint32_t *cursor);

bool Handle_Equal(Handle a, Handle b);
bool Handle_IsNone(Handle handle);

/* Convert a handle to and from 64 bits, for callbacks and messages. */
uint64_t Handle_Pack(Handle handle);
Handle Handle_Unpack(uint64_t packed);

#endif
