/*
 * NAME
 *     strmap - hash map from strings to pointers
 *
 * DESCRIPTION
 *     Open addressing with linear probing (Knuth, volume 3, section 6.4,
 *     algorithms L and R) over a dense array of entries. Insertion, removal
 *     and look-up take constant expected time. The map owns neither keys nor
 *     values. A key is normally a member of its value, so the value must not
 *     move in memory while it is in the map. The memory of removed entries is
 *     reused.
 */
#ifndef COLTSFOOT_STRMAP_H
#define COLTSFOOT_STRMAP_H

#include <stddef.h>

typedef struct StrMap StrMap;

/* Aborts the process when memory is exhausted. */
StrMap *StrMap_New(void);
void StrMap_Free(StrMap *map);

/* Frees each value with free(), then the map. */
void StrMap_FreeAll(StrMap *map);

/* Returns the value of a key, or NULL when the key is absent. */
void *StrMap_Get(const StrMap *map, const char *key);

/* Adds a key with its value. For a key that is present, replaces both the key
 * pointer and the value. */
void StrMap_Put(StrMap *map, const char *key, void *value);

/* Removes a key and returns its value, or NULL when the key is absent. The
 * last entry moves to the position of the removed one. */
void *StrMap_Remove(StrMap *map, const char *key);

size_t StrMap_Count(const StrMap *map);

/* Returns the value at a position, or NULL when position >= the count. */
void *StrMap_At(const StrMap *map, size_t position);

/* Returns an array of all values ordered by key (strcmp), or NULL when the map
 * is empty. The caller frees the array. */
void **StrMap_Sorted(const StrMap *map);

/* Returns the memory of the map in bytes, without its keys and values. */
size_t StrMap_GetMemoryBytes(const StrMap *map);

#endif
