#include "keymap.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "mem.h"

typedef struct Slot {
    uint64_t key; /* 0 while the slot is free */
    uint32_t value;
} Slot;

struct Keymap {
    Slot *slots;
    uint32_t mask; /* number of slots - 1 */
    uint32_t count;
};

/* A power of two, so that masking a hash yields a slot. */
#define KEYMAP_INITIAL_SLOTS 64

Keymap *
Keymap_New(void)
{
    Keymap *map = calloc(1, sizeof(*map));

    if (map == NULL) {
        return NULL;
    }
    map->slots = calloc(KEYMAP_INITIAL_SLOTS, sizeof(*map->slots));
    if (map->slots == NULL) {
        free(map);
        return NULL;
    }
    map->mask = KEYMAP_INITIAL_SLOTS - 1;
    return map;
}

void
Keymap_Free(Keymap *map)
{
    if (map != NULL) {
        free(map->slots);
        free(map);
    }
}

uint64_t
Keymap_HashText(const char *text)
{
    uint64_t key = XXH64(text, strlen(text), 0);

    return key != 0 ? key : 1;
}

uint64_t
Keymap_CombineKeys(uint64_t a, uint64_t b)
{
    uint64_t z = (a ^ (b >> 29) ^ (b << 35)) * UINT64_C(0x9e3779b97f4a7c15);

    z ^= (z >> 32) ^ b;
    z *= UINT64_C(0xbf58476d1ce4e5b9);
    z ^= z >> 29;
    return z != 0 ? z : 1;
}

static uint32_t
get_home_slot(const Keymap *map, uint64_t key)
{
    return (uint32_t)((key * UINT64_C(0x9e3779b97f4a7c15)) >> 32) & map->mask;
}

/* Returns the index of the key, or of the free slot where to insert it. */
static uint32_t
find_slot(const Keymap *map, uint64_t key)
{
    uint32_t i = get_home_slot(map, key);

    while (map->slots[i].key != 0 && map->slots[i].key != key) {
        i = (i + 1) & map->mask;
    }
    return i;
}

bool
Keymap_Get(const Keymap *map, uint64_t key, uint32_t *value)
{
    const Slot *slot = &map->slots[find_slot(map, key)];

    if (slot->key == 0) {
        return false;
    }
    *value = slot->value;
    return true;
}

static void
grow(Keymap *map)
{
    Slot *old_slots = map->slots;
    uint32_t old_size = map->mask + 1;
    uint32_t i;

    map->slots = Mem_New((size_t)old_size * 2, sizeof(*map->slots));
    map->mask = old_size * 2 - 1;
    for (i = 0; i < old_size; i++) {
        if (old_slots[i].key != 0) {
            map->slots[find_slot(map, old_slots[i].key)] = old_slots[i];
        }
    }
    free(old_slots);
}

void
Keymap_Put(Keymap *map, uint64_t key, uint32_t value)
{
    Slot *slot = &map->slots[find_slot(map, key)];

    if (slot->key == 0) {
        if (map->count >= map->mask - map->mask / 4) {
            grow(map);
            slot = &map->slots[find_slot(map, key)];
        }
        map->count++;
        slot->key = key;
    }
    slot->value = value;
}

bool
Keymap_Remove(Keymap *map, uint64_t key)
{
    uint32_t hole = find_slot(map, key);
    uint32_t i = hole;

    if (map->slots[hole].key == 0) {
        return false;
    }
    for (;;) {
        uint32_t home;
        i = (i + 1) & map->mask;
        if (map->slots[i].key == 0) {
            break;
        }
        home = get_home_slot(map, map->slots[i].key);
        /* An entry moves back only if its home slot is not after the hole. */
        if (((i - home) & map->mask) >= ((i - hole) & map->mask)) {
            map->slots[hole] = map->slots[i];
            hole = i;
        }
    }
    map->slots[hole].key = 0;
    map->count--;
    return true;
}

uint32_t
Keymap_Count(const Keymap *map)
{
    return map->count;
}
