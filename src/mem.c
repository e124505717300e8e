#include "mem.h"

#include <stdlib.h>

void *
Mem_New(size_t count, size_t bytes)
{
    void *memory = calloc(count > 0 ? count : 1, bytes > 0 ? bytes : 1);

    if (memory == NULL) {
        abort();
    }
    return memory;
}

void *
Mem_Resize(void *memory, size_t bytes)
{
    void *resized = realloc(memory, bytes > 0 ? bytes : 1);

    if (resized == NULL) {
        abort();
    }
    return resized;
}
