/*
 * NAME
 *     wheel - timing wheel for the deadlines of numbered items
 *
 * DESCRIPTION
 *     A hashed timing wheel (Varghese and Lauck, 1987): adding and removing
 *     an item take O(1). Items are numbers that the caller assigns densely
 *     from 0, since they index an array. Each item is in the wheel at most
 *     once.
 */
#ifndef COLTSFOOT_WHEEL_H
#define COLTSFOOT_WHEEL_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Wheel Wheel;

/* Returns an empty wheel, or NULL when memory is exhausted. */
Wheel *Wheel_New(void);
void Wheel_Free(Wheel *wheel);

/* Adds an item, which must not be in the wheel. Aborts the process when memory
 * is exhausted. */
void Wheel_Add(Wheel *wheel, uint32_t item, int64_t due_ms);

/* Removes an item if it is in the wheel. */
void Wheel_Remove(Wheel *wheel, uint32_t item);

/* Removes one item that is due at now_ms, sets *item to it and returns true.
 * Returns false when no due item is left. Time must not go backwards. */
bool Wheel_TakeDue(Wheel *wheel, int64_t now_ms, uint32_t *item);

#endif
