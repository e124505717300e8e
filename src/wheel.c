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
    uint32_t prev;   /* WHEEL_NONE for the first of its bucket */
    uint32_t bucket; /* WHEEL_NONE while not in the wheel */
} Item;

struct Wheel {
    Item *items;
    uint32_t capacity;
    uint32_t count;
    bool started;
    int64_t turn;    /* bucket number, not reduced, that is being read */
    uint32_t cursor; /* next item to look at in that bucket */
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
    int64_t turn = due_ms / WHEEL_BUCKET_MS;
    uint32_t *head;
    Item *row;

    reserve(wheel, item);
    /* A time that was already passed is due in the bucket being read. */
    if (wheel->started && turn < wheel->turn) {
        turn = wheel->turn;
    }
    row = &wheel->items[item];
    row->due_ms = due_ms;
    row->bucket = (uint32_t)((uint64_t)turn % WHEEL_BUCKETS);
    head = &wheel->heads[row->bucket];
    row->prev = WHEEL_NONE;
    row->next = *head;
    if (*head != WHEEL_NONE) {
        wheel->items[*head].prev = item;
    }
    /* A bucket that is read from its head next includes the new item. */
    if (wheel->started && wheel->cursor == *head &&
        row->bucket == (uint64_t)wheel->turn % WHEEL_BUCKETS) {
        wheel->cursor = item;
    }
    *head = item;
    wheel->count++;
}

void
Wheel_Remove(Wheel *wheel, uint32_t item)
{
    Item *row;

    if (item >= wheel->capacity || wheel->items[item].bucket == WHEEL_NONE) {
        return;
    }
    row = &wheel->items[item];
    if (wheel->cursor == item) {
        wheel->cursor = row->next;
    }
    if (row->prev != WHEEL_NONE) {
        wheel->items[row->prev].next = row->next;
    }
    else {
        wheel->heads[row->bucket] = row->next;
    }
    if (row->next != WHEEL_NONE) {
        wheel->items[row->next].prev = row->prev;
    }
    row->bucket = WHEEL_NONE;
    wheel->count--;
}

bool
Wheel_Due(Wheel *wheel, int64_t now_ms, uint32_t *item)
{
    int64_t last = now_ms / WHEEL_BUCKET_MS;

    if (!wheel->started || wheel->turn + WHEEL_BUCKETS < last) {
        /* One whole round finds every item that is due. */
        wheel->turn = last - WHEEL_BUCKETS + 1;
        wheel->started = true;
        wheel->cursor = wheel->heads[(uint64_t)wheel->turn % WHEEL_BUCKETS];
    }
    while (wheel->count > 0) {
        while (wheel->cursor != WHEEL_NONE) {
            uint32_t found = wheel->cursor;
            wheel->cursor = wheel->items[found].next;
            if (wheel->items[found].due_ms <= now_ms) {
                Wheel_Remove(wheel, found);
                *item = found;
                return true;
            }
        }
        if (wheel->turn >= last) {
            break;
        }
        wheel->turn++;
        wheel->cursor = wheel->heads[(uint64_t)wheel->turn % WHEEL_BUCKETS];
    }
    if (wheel->turn < last) {
        wheel->turn = last;
    }
    /* The next call reads the present bucket again. */
    wheel->cursor = wheel->heads[(uint64_t)wheel->turn % WHEEL_BUCKETS];
    return false;
}
