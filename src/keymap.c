#include "keymap.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "mem.h"

typedef struct Pair {
    uint64_t key; /* 0: empty */
    uint32_t value;
} Pair;

struct Keymap {
    Pair *pairs;
    uint32_t mask;
    uint32_t count;
};

#define KEYMAP_FIRST_SIZE 64

Keymap *
Keymap_New(void)
{
    Keymap *map = calloc(1, sizeof(*map));

    if (map == NULL) {
        return NULL;
    }
    map->pairs = calloc(KEYMAP_FIRST_SIZE, sizeof(*map->pairs));
    if (map->pairs == NULL) {
        free(map);
        return NULL;
    }
    map->mask = KEYMAP_FIRST_SIZE - 1;
    return map;
}

void
Keymap_Free(Keymap *map)
{
    if (map != NULL) {
        free(map->pairs);
        free(map);
    }
}

uint64_t
Keymap_Key(const char *text)
{
    uint64_t key = XXH64(text, strlen(text), 0);

    return key != 0 ? key : 1;
}

uint64_t
Keymap_Pair(uint64_t a, uint64_t b)
{
    uint64_t z = (a ^ (b >> 29) ^ (b << 35)) * UINT64_C(0x9e3779b97f4a7c15);

    z ^= (z >> 32) ^ b;
    z *= UINT64_C(0xbf58476d1ce4e5b9);
    z ^= z >> 29;
    return z != 0 ? z : 1;
}

static uint32_t
home_of(const Keymap *map, uint64_t key)
{
    return (uint32_t)((key * UINT64_C(0x9e3779b97f4a7c15)) >> 32) & map->mask;
}

/* Returns the position of the key or of the empty place where it belongs. */
static uint32_t
place_of(const Keymap *map, uint64_t key)
{
    uint32_t i = home_of(map, key);

    while (map->pairs[i].key != 0 && map->pairs[i].key != key) {
        i = (i + 1) & map->mask;
    }
    return i;
}

bool
Keymap_Get(const Keymap *map, uint64_t key, uint32_t *value)
{
    const Pair *pair = &map->pairs[place_of(map, key)];

    if (pair->key == 0) {
        return false;
    }
    *value = pair->value;
    return true;
}

static void
grow(Keymap *map)
{
    Pair *old = map->pairs;
    uint32_t old_size = map->mask + 1;
    uint32_t i;

    map->pairs = Mem_New((size_t)old_size * 2, sizeof(*map->pairs));
    map->mask = old_size * 2 - 1;
    for (i = 0; i < old_size; i++) {
        if (old[i].key != 0) {
            map->pairs[place_of(map, old[i].key)] = old[i];
        }
    }
    free(old);
}

void
Keymap_Put(Keymap *map, uint64_t key, uint32_t value)
{
    Pair *pair = &map->pairs[place_of(map, key)];

    if (pair->key == 0) {
        if (map->count >= map->mask - map->mask / 4) {
            grow(map);
            pair = &map->pairs[place_of(map, key)];
        }
        map->count++;
        pair->key = key;
    }
    pair->value = value;
}

bool
Keymap_Remove(Keymap *map, uint64_t key)
{
    uint32_t hole = place_of(map, key);
    uint32_t i = hole;

    if (map->pairs[hole].key == 0) {
        return false;
    }
    for (;;) {
        uint32_t home;
        i = (i + 1) & map->mask;
        if (map->pairs[i].key == 0) {
            break;
        }
        home = home_of(map, map->pairs[i].key);
        /* An entry moves back only if its home is not after the hole. */
        if (((i - home) & map->mask) >= ((i - hole) & map->mask)) {
            map->pairs[hole] = map->pairs[i];
            hole = i;
        }
    }
    map->pairs[hole].key = 0;
    map->count--;
    return true;
}

uint32_t
Keymap_Count(const Keymap *map)
{
    return map->count;
}
