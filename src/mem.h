/*
 * NAME
 *     mem - memory that is there or ends the process
 *
 * DESCRIPTION
 *     For state that has to be whole: a process without memory for it can keep
 *     no promise, and another one takes over. Free the results with free().
 */
#ifndef COLTSFOOT_MEM_H
#define COLTSFOOT_MEM_H

#include <stddef.h>

/* Returns count items of zeros; never NULL, also for none. */
void *Mem_New(size_t count, size_t bytes);

/* Changes the size of memory, which may be NULL; new bytes are not set. */
void *Mem_Resize(void *memory, size_t bytes);

#endif
