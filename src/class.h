/*
 * NAME
 *     class - class of work learned from run times
 *
 * DESCRIPTION
 *     A bounded table by (service, kind) holds the mean run time and the
 *     share of runs that were long, both as exponential averages. Work is
 *     long when more than 70% of its runs are, and short again at a half.
 *     Mixed work counts as short and is reclassified as it runs: held back
 *     among long work, its short part waited longer than by first come,
 *     first served. The table is set-associative; the row unused for the
 *     longest time in its set is replaced.
 */
#ifndef COLTSFOOT_CLASS_H
#define COLTSFOOT_CLASS_H

#include <stdbool.h>
#include <stdint.h>

#define CLASS_SETS 1024
#define CLASS_WAYS 4

/* Runs after which the averages forget the oldest ones. With 8, a kind of
 * which a tenth is long was at times taken for long as a whole. */
#define CLASS_MEMORY 32

typedef struct ClassEstimate {
    bool known;
    bool is_long;
    int64_t run_us; /* mean; 0 when not known */
} ClassEstimate;

typedef struct Class Class;

Class *Class_New(void);
void Class_Free(Class *c);

/* Returns what is known of a key, see Keymap_Pair. */
ClassEstimate Class_Get(Class *c, int64_t now_ms, uint64_t key);

/* Learns from one whole run. outlived tells that Class_Outlived was called
 * for it. */
void Class_Learn(Class *c, int64_t now_ms, uint64_t key, int64_t run_us,
                 int64_t short_us, bool outlived);

/* Learns that a run has outlived short_us and still goes on, so that further
 * work of its kind is known to be long before the first run ends. */
void Class_Outlived(Class *c, int64_t now_ms, uint64_t key, int64_t short_us);

#endif
