#include "table.h"

#include <stdlib.h>
#include <string.h>

typedef struct Slot {
    uint32_t generation; /* odd while the row is in use */
    uint32_t next_free;
} Slot;

struct Table {
    size_t row_bytes;
    uint32_t max_rows;
    uint32_t used;             /* slots used at least once */
    uint32_t count;            /* rows in use */
    uint32_t capacity;         /* slots allocated */
    uint32_t free_head;        /* first free slot, or TABLE_NO_SLOT */
    uint32_t first_generation; /* of a new slot; even */
    Slot *slots;
    char *rows;
};

#define TABLE_NO_SLOT UINT32_MAX

Table *
Table_New(size_t row_bytes, uint32_t max_rows)
{
    Table *table = calloc(1, sizeof(*table));

    if (table != NULL) {
        table->row_bytes = row_bytes;
        table->max_rows = max_rows;
        table->free_head = TABLE_NO_SLOT;
    }
    return table;
}

Table *
Table_NewSeeded(size_t row_bytes, uint32_t max_rows, uint64_t seed)
{
    Table *table = Table_New(row_bytes, max_rows);

    if (table != NULL) {
        table->first_generation = (uint32_t)seed & ~1U;
    }
    return table;
}

void
Table_Free(Table *table)
{
    if (table != NULL) {
        free(table->slots);
        free(table->rows);
        free(table);
    }
}

static bool
grow(Table *table)
{
    uint32_t capacity = table->capacity ? table->capacity * 2 : 16;
    Slot *slots;
    char *rows;

    if (capacity > table->max_rows) {
        capacity = table->max_rows;
    }
    slots = realloc(table->slots, capacity * sizeof(*slots));
    if (slots == NULL) {
        return false;
    }
    table->slots = slots;
    rows = realloc(table->rows, capacity * table->row_bytes);
    if (rows == NULL) {
        return false;
    }
    table->rows = rows;
    table->capacity = capacity;
    return true;
}

Handle
Table_Add(Table *table)
{
    Handle handle;

    if (table->free_head != TABLE_NO_SLOT) {
        handle.index = table->free_head;
        table->free_head = table->slots[handle.index].next_free;
    }
    else {
        if (table->used == table->max_rows) {
            return HANDLE_NONE;
        }
        if (table->used == table->capacity && !grow(table)) {
            return HANDLE_NONE;
        }
        handle.index = table->used++;
        table->slots[handle.index].generation = table->first_generation;
    }
    table->slots[handle.index].generation++;
    handle.generation = table->slots[handle.index].generation;
    memset(table->rows + handle.index * table->row_bytes, 0, table->row_bytes);
    table->count++;
    return handle;
}

void *
Table_Get(const Table *table, Handle handle)
{
    if (handle.index >= table->used || (handle.generation & 1) == 0 ||
        table->slots[handle.index].generation != handle.generation) {
        return NULL;
    }
    return table->rows + handle.index * table->row_bytes;
}

bool
Table_Remove(Table *table, Handle handle)
{
    Slot *slot;

    if (Table_Get(table, handle) == NULL) {
        return false;
    }
    slot = &table->slots[handle.index];
    slot->generation++;
    slot->next_free = table->free_head;
    table->free_head = handle.index;
    table->count--;
    return true;
}

uint32_t
Table_Count(const Table *table)
{
    return table->count;
}

Handle
Table_Next(const Table *table, uint32_t *cursor)
{
    while (*cursor < table->used) {
        uint32_t index = (*cursor)++;
        uint32_t generation = table->slots[index].generation;
        if (generation & 1) {
            return (Handle){index, generation};
        }
    }
    return HANDLE_NONE;
}

bool
Handle_Equal(Handle a, Handle b)
{
    return a.index == b.index && a.generation == b.generation;
}

bool
Handle_IsNone(Handle handle)
{
    return handle.generation == 0;
}

uint64_t
Handle_Pack(Handle handle)
{
    return ((uint64_t)handle.generation << 32) | handle.index;
}

Handle
Handle_Unpack(uint64_t packed)
{
    return (Handle){(uint32_t)packed, (uint32_t)(packed >> 32)};
}
