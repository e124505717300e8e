/*
 * NAME
 *     mem - memory allocation that aborts the process on failure
 *
 * DESCRIPTION
 *     Used for state that must stay complete: when memory is exhausted the
 *     process aborts, and another process takes over its work. Results are
 *     freed with free().
 */
#ifndef COLTSFOOT_MEM_H
#define COLTSFOOT_MEM_H

#include <stddef.h>

/* Returns memory for count items of the given size, set to zero. Never returns
 * NULL, even for 0 items. */
void *Mem_New(size_t count, size_t bytes);

/* Resizes memory, which may be NULL. Added bytes are not initialized. Never
 * returns NULL. */
void *Mem_Resize(void *memory, size_t bytes);

#endif
