/*
 * NAME
 *     keymap - hash map from 64-bit keys to 32-bit values
 *
 * DESCRIPTION
 *     Open addressing with linear probing. Removal shifts entries back instead
 *     of leaving tombstones, so look-ups stay short when entries are added and
 *     removed often.
 */
#ifndef COLTSFOOT_KEYMAP_H
#define COLTSFOOT_KEYMAP_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Keymap Keymap;

/* Returns an empty map, or NULL when memory is exhausted. */
Keymap *Keymap_New(void);
void Keymap_Free(Keymap *map);

/* Returns the 64-bit hash of a text as its key, never 0. Two texts can have
 * the same key, though by chance this is very unlikely; the caller compares
 * the texts where mistaking one for the other would do harm. */
uint64_t Keymap_HashText(const char *text);

/* Returns the key of an ordered pair of keys, never 0. */
uint64_t Keymap_CombineKeys(uint64_t a, uint64_t b);

/* Sets *value and returns true, or returns false when the key is absent. */
bool Keymap_Get(const Keymap *map, uint64_t key, uint32_t *value);

/* Adds the key, or replaces its value. The key must not be 0. Aborts the
 * process when memory is exhausted. */
void Keymap_Put(Keymap *map, uint64_t key, uint32_t value);

/* Removes the key. Returns false when the key is absent. */
bool Keymap_Remove(Keymap *map, uint64_t key);

uint32_t Keymap_Count(const Keymap *map);

#endif
