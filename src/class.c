#include "class.h"

#include <stdlib.h>
#include <string.h>

typedef struct Row {
    uint64_t key; /* 0: empty */
    int64_t last_used_ms;
    float mean_us;
    float long_share;
    uint8_t runs; /* saturates at CLASS_AVERAGED_RUNS */
    bool is_long;
} Row;

struct Class {
    Row rows[CLASS_SETS][CLASS_WAYS];
};

Class *
Class_New(void)
{
    return calloc(1, sizeof(Class));
}

void
Class_Free(Class *c)
{
    free(c);
}

static Row *
find_row(Class *c, uint64_t key)
{
    Row *set = c->rows[(key >> 20) % CLASS_SETS];
    int i;

    for (i = 0; i < CLASS_WAYS; i++) {
        if (set[i].key == key) {
            return &set[i];
        }
    }
    return NULL;
}

static Row *
find_or_replace_row(Class *c, int64_t now_ms, uint64_t key)
{
    Row *set = c->rows[(key >> 20) % CLASS_SETS];
    Row *row = find_row(c, key);
    int i;

    if (row == NULL) {
        row = &set[0];
        for (i = 1; i < CLASS_WAYS && row->key != 0; i++) {
            if (set[i].key == 0 || set[i].last_used_ms < row->last_used_ms) {
                row = &set[i];
            }
        }
        memset(row, 0, sizeof(*row));
        row->key = key;
    }
    row->last_used_ms = now_ms;
    return row;
}

ClassEstimate
Class_GetEstimate(Class *c, int64_t now_ms, uint64_t key)
{
    ClassEstimate estimate = {false, false, 0};
    Row *row = find_row(c, key);

    if (row != NULL) {
        row->last_used_ms = now_ms;
        estimate.known = true;
        estimate.is_long = row->is_long;
        estimate.run_us = (int64_t)row->mean_us;
    }
    return estimate;
}

static void
update_long_share(Row *row, bool was_long)
{
    float weight;

    if (row->runs < CLASS_AVERAGED_RUNS) {
        row->runs++;
    }
    weight = 1.0F / (float)row->runs;
    row->long_share += weight * ((was_long ? 1.0F : 0.0F) - row->long_share);
    if (row->long_share > 0.7F) {
        row->is_long = true;
    }
    else if (row->long_share <= 0.5F) {
        row->is_long = false;
    }
}

static void
update_mean(Row *row, int64_t run_us)
{
    float weight = 1.0F / (float)(row->runs > 0 ? row->runs : 1);

    row->mean_us += weight * ((float)run_us - row->mean_us);
}

void
Class_RecordRun(Class *c, int64_t now_ms, uint64_t key, int64_t run_us,
                int64_t short_us, bool overrun_recorded)
{
    Row *row = find_or_replace_row(c, now_ms, key);

    if (!overrun_recorded) {
        update_long_share(row, run_us > short_us);
    }
    update_mean(row, run_us);
}

void
Class_RecordOverrun(Class *c, int64_t now_ms, uint64_t key, int64_t short_us)
{
    Row *row = find_or_replace_row(c, now_ms, key);

    update_long_share(row, true);
    if (row->mean_us < (float)short_us) {
        update_mean(row, short_us * 2);
    }
}
