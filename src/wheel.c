#include "wheel.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define WHEEL_BUCKETS 1024
#define WHEEL_BUCKET_MS 8
#define WHEEL_NONE UINT32_MAX

typedef struct Item {
    int64_t due_ms;
    uint32_t next;
    uint32_t prev;   /* WHEEL_NONE for the first item of a bucket */
    uint32_t bucket; /* WHEEL_NONE while not in the wheel */
} Item;

struct Wheel {
    Item *items;
    uint32_t capacity;
    uint32_t count;
    bool started;    /* true once Wheel_TakeDue has set tick */
    int64_t tick;    /* time of the current bucket / WHEEL_BUCKET_MS */
    uint32_t cursor; /* next item to check in the bucket of tick */
    uint32_t heads[WHEEL_BUCKETS];
};

Wheel *
Wheel_New(void)
{
    Wheel *wheel = calloc(1, sizeof(*wheel));

    if (wheel != NULL) {
        memset(wheel->heads, 0xff, sizeof(wheel->heads));
        wheel->cursor = WHEEL_NONE;
    }
    return wheel;
}

void
Wheel_Free(Wheel *wheel)
{
    if (wheel != NULL) {
        free(wheel->items);
        free(wheel);
    }
}

static void
reserve(Wheel *wheel, uint32_t item)
{
    uint32_t capacity = wheel->capacity ? wheel->capacity : 64;
    uint32_t i;

    if (item < wheel->capacity) {
        return;
    }
    while (capacity <= item) {
        capacity *= 2;
    }
    wheel->items = Mem_Resize(wheel->items, capacity * sizeof(*wheel->items));
    for (i = wheel->capacity; i < capacity; i++) {
        wheel->items[i].bucket = WHEEL_NONE;
    }
    wheel->capacity = capacity;
}

void
Wheel_Add(Wheel *wheel, uint32_t item, int64_t due_ms)
{
    int64_t tick = due_ms / WHEEL_BUCKET_MS;
    uint32_t *head;
    Item *entry;

    reserve(wheel, item);
    /* An item that is overdue goes to the bucket being processed. */
    if (wheel->started && tick < wheel->tick) {
        tick = wheel->tick;
    }
    entry = &wheel->items[item];
    entry->due_ms = due_ms;
    entry->bucket = (uint32_t)((uint64_t)tick % WHEEL_BUCKETS);
    head = &wheel->heads[entry->bucket];
    entry->prev = WHEEL_NONE;
    entry->next = *head;
    if (*head != WHEEL_NONE) {
        wheel->items[*head].prev = item;
    }
    /* A cursor at the head of the bucket moves to the new head. */
    if (wheel->started && wheel->cursor == *head &&
        entry->bucket == (uint64_t)wheel->tick % WHEEL_BUCKETS) {
        wheel->cursor = item;
    }
    *head = item;
    wheel->count++;
}

void
Wheel_Remove(Wheel *wheel, uint32_t item)
{
    Item *entry;

    if (item >= wheel->capacity || wheel->items[item].bucket == WHEEL_NONE) {
        return;
    }
    entry = &wheel->items[item];
    if (wheel->cursor == item) {
        wheel->cursor = entry->next;
    }
    if (entry->prev != WHEEL_NONE) {
        wheel->items[entry->prev].next = entry->next;
    }
    else {
        wheel->heads[entry->bucket] = entry->next;
    }
    if (entry->next != WHEEL_NONE) {
        wheel->items[entry->next].prev = entry->prev;
    }
    entry->bucket = WHEEL_NONE;
    wheel->count--;
}

bool
Wheel_TakeDue(Wheel *wheel, int64_t now_ms, uint32_t *item)
{
    int64_t last = now_ms / WHEEL_BUCKET_MS;

    if (!wheel->started || wheel->tick + WHEEL_BUCKETS < last) {
        /* Starts one rotation back: that visits every bucket, and so finds
         * every due item. */
        wheel->tick = last - WHEEL_BUCKETS + 1;
        wheel->started = true;
        wheel->cursor = wheel->heads[(uint64_t)wheel->tick % WHEEL_BUCKETS];
    }
    while (wheel->count > 0) {
        while (wheel->cursor != WHEEL_NONE) {
            uint32_t candidate = wheel->cursor;
            wheel->cursor = wheel->items[candidate].next;
            if (wheel->items[candidate].due_ms <= now_ms) {
                Wheel_Remove(wheel, candidate);
                *item = candidate;
                return true;
            }
        }
        if (wheel->tick >= last) {
            break;
        }
        wheel->tick++;
        wheel->cursor = wheel->heads[(uint64_t)wheel->tick % WHEEL_BUCKETS];
    }
    if (wheel->tick < last) {
        wheel->tick = last;
    }
    /* The next call starts again at the head of the current tick's bucket. */
    wheel->cursor = wheel->heads[(uint64_t)wheel->tick % WHEEL_BUCKETS];
    return false;
}
