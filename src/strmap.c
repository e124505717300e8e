#include "strmap.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "mem.h"

typedef struct Entry {
    uint64_t hash;
    const char *key;
    void *value;
} Entry;

struct StrMap {
    Entry *entries;
    size_t count;
    size_t capacity;
    uint32_t *slots; /* position of an entry + 1, or 0 for a free slot */
    size_t slot_count;
};

/* A power of two, so that masking a hash yields a slot. */
#define STRMAP_INITIAL_SLOTS 16

StrMap *
StrMap_New(void)
{
    StrMap *map = Mem_New(1, sizeof(*map));

    map->slot_count = STRMAP_INITIAL_SLOTS;
    map->slots = Mem_New(map->slot_count, sizeof(*map->slots));
    return map;
}

void
StrMap_Free(StrMap *map)
{
    if (map != NULL) {
        free(map->entries);
        free(map->slots);
        free(map);
    }
}

void
StrMap_FreeAll(StrMap *map)
{
    size_t i;

    for (i = 0; map != NULL && i < StrMap_Count(map); i++) {
        free(StrMap_At(map, i));
    }
    StrMap_Free(map);
}

static uint64_t
hash_key(const char *key)
{
    return XXH64(key, strlen(key), 0);
}

/* Returns the slot of a key, or the free slot where it is to be inserted. */
static size_t
find_slot(const StrMap *map, const char *key, uint64_t hash)
{
    size_t mask = map->slot_count - 1;
    size_t slot = (size_t)hash & mask;

    while (map->slots[slot] != 0) {
        const Entry *entry = &map->entries[map->slots[slot] - 1];
        if (entry->hash == hash && strcmp(entry->key, key) == 0) {
            break;
        }
        slot = (slot + 1) & mask;
    }
    return slot;
}

void *
StrMap_Get(const StrMap *map, const char *key)
{
    size_t slot = find_slot(map, key, hash_key(key));

    return map->slots[slot] ? map->entries[map->slots[slot] - 1].value : NULL;
}

static void
grow_slots(StrMap *map)
{
    size_t i;
    size_t mask;

    free(map->slots);
    map->slot_count *= 2;
    map->slots = Mem_New(map->slot_count, sizeof(*map->slots));
    mask = map->slot_count - 1;
    for (i = 0; i < map->count; i++) {
        size_t slot = (size_t)map->entries[i].hash & mask;
        while (map->slots[slot] != 0) {
            slot = (slot + 1) & mask;
        }
        map->slots[slot] = (uint32_t)(i + 1);
    }
}

void
StrMap_Put(StrMap *map, const char *key, void *value)
{
    uint64_t hash = hash_key(key);
    size_t slot = find_slot(map, key, hash);

    if (map->slots[slot] != 0) {
        map->entries[map->slots[slot] - 1].key = key;
        map->entries[map->slots[slot] - 1].value = value;
        return;
    }
    if (map->count == map->capacity) {
        size_t capacity = map->capacity ? map->capacity * 2 : 8;
        map->entries =
            Mem_Resize(map->entries, capacity * sizeof(*map->entries));
        map->capacity = capacity;
    }
    map->entries[map->count] = (Entry){hash, key, value};
    map->count++;
    map->slots[slot] = (uint32_t)map->count;
    if (map->count * 3 > map->slot_count * 2) {
        grow_slots(map);
    }
}

/* Frees a slot and moves later entries of its probe sequence back, so that
 * every entry stays reachable from its home slot. */
static void
free_slot(StrMap *map, size_t slot)
{
    size_t mask = map->slot_count - 1;
    size_t next = slot;

    for (;;) {
        size_t home;
        next = (next + 1) & mask;
        if (map->slots[next] == 0) {
            break;
        }
        home = (size_t)map->entries[map->slots[next] - 1].hash & mask;
        if (((next - home) & mask) >= ((next - slot) & mask)) {
            map->slots[slot] = map->slots[next];
            slot = next;
        }
    }
    map->slots[slot] = 0;
}

void *
StrMap_Remove(StrMap *map, const char *key)
{
    size_t slot = find_slot(map, key, hash_key(key));
    size_t position;
    void *value;

    if (map->slots[slot] == 0) {
        return NULL;
    }
    position = map->slots[slot] - 1;
    value = map->entries[position].value;
    free_slot(map, slot);
    map->count--;
    if (position != map->count) {
        const Entry *last = &map->entries[map->count];
        slot = find_slot(map, last->key, last->hash);
        map->slots[slot] = (uint32_t)(position + 1);
        map->entries[position] = *last;
    }
    return value;
}

size_t
StrMap_Count(const StrMap *map)
{
    return map->count;
}

void *
StrMap_At(const StrMap *map, size_t position)
{
    return position < map->count ? map->entries[position].value : NULL;
}

static int
compare_entries(const void *a, const void *b)
{
    return strcmp(((const Entry *)a)->key, ((const Entry *)b)->key);
}

void **
StrMap_Sorted(const StrMap *map)
{
    Entry *sorted;
    void **values;
    size_t i;

    if (map->count == 0) {
        return NULL;
    }
    sorted = Mem_New(map->count, sizeof(*sorted));
    values = Mem_New(map->count, sizeof(*values));
    memcpy(sorted, map->entries, map->count * sizeof(*sorted));
    qsort(sorted, map->count, sizeof(*sorted), compare_entries);
    for (i = 0; i < map->count; i++) {
        values[i] = sorted[i].value;
    }
    free(sorted);
    return values;
}

size_t
StrMap_GetMemoryBytes(const StrMap *map)
{
    return sizeof(*map) + map->capacity * sizeof(*map->entries) +
           map->slot_count * sizeof(*map->slots);
}
