/*
 * NAME
 *     wheel - deadlines of small numbered items
 *
 * DESCRIPTION
 *     A hashed timing wheel (Varghese and Lauck, 1987): adding and removing
 *     cost O(1). Items are numbers chosen by the caller, from 0 and dense;
 *     each is in the wheel at most once.
 */
#ifndef COLTSFOOT_WHEEL_H
#define COLTSFOOT_WHEEL_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Wheel Wheel;

/* Returns an empty wheel, or NULL without memory. */
Wheel *Wheel_New(void);
void Wheel_Free(Wheel *wheel);

/* Adds an item that is not in the wheel. Aborts without memory. */
void Wheel_Add(Wheel *wheel, uint32_t item, int64_t due_ms);

/* Does nothing when the item is not in the wheel. */
void Wheel_Remove(Wheel *wheel, uint32_t item);

/* Removes one item that is due at now_ms and returns true, or false when
 * none is left. Time must not go backwards. */
bool Wheel_Due(Wheel *wheel, int64_t now_ms, uint32_t *item);

#endif
