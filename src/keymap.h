/*
 * NAME
 *     keymap - hash map from 64-bit keys to 32-bit values
 *
 * DESCRIPTION
 *     Open addressing with linear probing; removal shifts entries back, so
 *     there are no tombstones and lookups stay short under churn.
 */
#ifndef COLTSFOOT_KEYMAP_H
#define COLTSFOOT_KEYMAP_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Keymap Keymap;

/* Returns an empty map, or NULL without memory. */
Keymap *Keymap_New(void);
void Keymap_Free(Keymap *map);

/* Returns the key of a text, never 0. Texts with equal keys are possible but
 * not found by chance in practice; compare names where a mix-up matters. */
uint64_t Keymap_Key(const char *text);

/* Returns a key made of two keys. */
uint64_t Keymap_Pair(uint64_t a, uint64_t b);

/* Stores the value and returns true, or false when the key is absent. */
bool Keymap_Get(const Keymap *map, uint64_t key, uint32_t *value);

/* Adds or replaces. Aborts the process when memory is exhausted. */
void Keymap_Put(Keymap *map, uint64_t key, uint32_t value);

/* Returns false when the key is absent. */
bool Keymap_Remove(Keymap *map, uint64_t key);

uint32_t Keymap_Count(const Keymap *map);

#endif
