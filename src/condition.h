/*
 * NAME
 *     condition - decides when a condition that lasts is logged
 *
 * DESCRIPTION
 *     Core without I/O. A condition is reported once it has held without
 *     interruption for CONDITION_FIRST_MS, then each CONDITION_INTERVAL_MS
 *     while it holds, and once when it ends. Shorter ones are not reported.
 *
 *     Times are ms of a monotonic clock.
 */
#ifndef COLTSFOOT_CONDITION_H
#define COLTSFOOT_CONDITION_H

#include <stdbool.h>
#include <stdint.h>

#define CONDITION_FIRST_MS 2000
#define CONDITION_INTERVAL_MS 5000

/* Initialize it with zeros. */
typedef struct Condition {
    bool holds;
    bool reported;
    int64_t since_ms;
    int64_t next_ms; /* time of the next report */
} Condition;

typedef enum ConditionReport {
    CONDITION_SILENT,
    CONDITION_LASTS,
    CONDITION_ENDED
} ConditionReport;

/* Records whether the condition holds now. Stores in *lasted_ms for how long
 * it has held, or did until now. */
ConditionReport Condition_Update(Condition *condition, int64_t now, bool holds,
                                 int64_t *lasted_ms);

/* Returns for how long the condition has held, or 0 if it does not hold. */
int64_t Condition_GetAgeMs(const Condition *condition, int64_t now);

#endif
