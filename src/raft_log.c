#include "raft_log.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* Frees an entry's data, which the log owns despite the const pointer. */
static void
free_data(const RaftEntry *entry)
{
    union {
        const char *shared;
        char *owned;
    } data;

    data.shared = entry->data;
    free(data.owned);
}

void
RaftLog_Free(RaftLog *log)
{
    RaftLog_Reset(log, 0, 0);
    free(log->entries);
    log->entries = NULL;
    log->capacity = 0;
}

void
RaftLog_Reset(RaftLog *log, uint64_t base_index, uint64_t base_term)
{
    size_t i;

    for (i = 0; i < log->count; i++) {
        free_data(&log->entries[i]);
    }
    log->count = 0;
    log->bytes = 0;
    log->base_index = base_index;
    log->base_term = base_term;
}

void
RaftLog_Append(RaftLog *log, const RaftEntry *entry)
{
    RaftEntry copy = *entry;

    if (log->count == log->capacity) {
        size_t capacity = log->capacity ? log->capacity * 2 : 64;
        log->entries =
            Mem_Resize(log->entries, capacity * sizeof(*log->entries));
        log->capacity = capacity;
    }
    copy.data = NULL;
    if (entry->len > 0) {
        char *data = Mem_New(1, entry->len);

        memcpy(data, entry->data, entry->len);
        copy.data = data;
    }
    log->entries[log->count++] = copy;
    log->bytes += copy.len;
}

void
RaftLog_Truncate(RaftLog *log, uint64_t index)
{
    while (RaftLog_GetLastIndex(log) >= index && log->count > 0) {
        log->count--;
        log->bytes -= log->entries[log->count].len;
        free_data(&log->entries[log->count]);
    }
}

void
RaftLog_DropFront(RaftLog *log, uint64_t base)
{
    size_t dropped = (size_t)(base - log->base_index);
    uint64_t term = RaftLog_GetTerm(log, base);
    size_t i;

    for (i = 0; i < dropped; i++) {
        log->bytes -= log->entries[i].len;
        free_data(&log->entries[i]);
    }
    log->count -= dropped;
    memmove(log->entries, log->entries + dropped,
            log->count * sizeof(log->entries[0]));
    log->base_index = base;
    log->base_term = term;
}

uint64_t
RaftLog_GetLastIndex(const RaftLog *log)
{
    return log->base_index + log->count;
}

uint64_t
RaftLog_GetTerm(const RaftLog *log, uint64_t index)
{
    const RaftEntry *entry = RaftLog_GetEntry(log, index);

    if (entry != NULL) {
        return entry->term;
    }
    return index == log->base_index ? log->base_term : 0;
}

const RaftEntry *
RaftLog_GetEntry(const RaftLog *log, uint64_t index)
{
    if (index <= log->base_index || index > RaftLog_GetLastIndex(log)) {
        return NULL;
    }
    return &log->entries[index - log->base_index - 1];
}
