/*
 * NAME
 *     class - classification of work by observed run times
 *
 * DESCRIPTION
 *     A bounded table keyed by service and kind holds the mean run time and
 *     the share of long runs, both as exponential moving averages. Work
 *     becomes long when more than 70% of its runs are long, and short again
 *     at 50% or less. A kind with both short and long runs counts as short,
 *     and its long runs are reclassified while they run. If it counted as
 *     long, its short runs would wait longer than in a FIFO queue.
 *     The table is set-associative; the least recently used row of a set is
 *     replaced.
 */
#ifndef COLTSFOOT_CLASS_H
#define COLTSFOOT_CLASS_H

#include <stdbool.h>
#include <stdint.h>

#define CLASS_SETS 1024
#define CLASS_WAYS 4

/* The newest run has a weight of at least 1 / CLASS_AVERAGED_RUNS in the
 * averages. With 8, a kind with 10% long runs is sometimes classified as
 * long. */
#define CLASS_AVERAGED_RUNS 32

typedef struct ClassEstimate {
    bool known;
    bool is_long;
    int64_t run_us; /* mean run time; 0 if not known */
} ClassEstimate;

typedef struct Class Class;

Class *Class_New(void);
void Class_Free(Class *c);

/* Returns the estimate for a key made by Keymap_CombineKeys. */
ClassEstimate Class_GetEstimate(Class *c, int64_t now_ms, uint64_t key);

/* Records the run time of a completed run, which was long if it exceeded
 * short_us. overrun_recorded is true if Class_RecordOverrun was called for the
 * run. */
void Class_RecordRun(Class *c, int64_t now_ms, uint64_t key, int64_t run_us,
                     int64_t short_us, bool overrun_recorded);

/* Records that a run has exceeded short_us and is still running, so that its
 * kind can be classified as long before the first run ends. */
void Class_RecordOverrun(Class *c, int64_t now_ms, uint64_t key,
                         int64_t short_us);

#endif
