/*
 * NAME
 *     strmap - index of rows by name
 *
 * DESCRIPTION
 *     Open addressing with linear probing (Knuth, volume 3, section 6.4,
 *     algorithms L and R) over a dense array of entries. Insertion, removal
 *     and look-up take constant expected time. The map owns neither keys nor
 *     values; a key normally lies inside its row, so its address must not
 *     change while it is in the map. Memory of removed entries is reused.
 */
#ifndef COLTSFOOT_STRMAP_H
#define COLTSFOOT_STRMAP_H

#include <stddef.h>

typedef struct StrMap StrMap;

/* Aborts the process when memory is exhausted. */
StrMap *StrMap_New(void);
void StrMap_Free(StrMap *map);

/* Frees the values with free(), then the map. */
void StrMap_FreeAll(StrMap *map);

/* Returns the value of a key, or NULL. */
void *StrMap_Get(const StrMap *map, const char *key);

/* Adds a key, or replaces its key pointer and value. */
void StrMap_Put(StrMap *map, const char *key, void *value);

/* Removes a key and returns its value, or NULL. The last entry takes the
 * position of the removed one. */
void *StrMap_Remove(StrMap *map, const char *key);

size_t StrMap_Count(const StrMap *map);

/* Returns the value at a position below the count, NULL past the end. */
void *StrMap_At(const StrMap *map, size_t position);

/* Returns all values ordered by key (strcmp); free the array. NULL when the
 * map is empty. */
void **StrMap_Sorted(const StrMap *map);

/* Returns the bytes that the map itself holds. */
size_t StrMap_Bytes(const StrMap *map);

#endif
