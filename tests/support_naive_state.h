/*
 * NAME
 *     support_naive_state - reference implementation of the state machine
 *
 * DESCRIPTION
 *     Implements the rules of the state machine for differential tests in the
 *     simplest way: rows are found by linear search, counts are recomputed on
 *     each use, and the units of a budget are distributed one by one. Waves,
 *     snapshots, answers to operators and the limit on retained deletions
 *     are not implemented.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_NAIVE_STATE_H
#define COLTSFOOT_TESTS_SUPPORT_NAIVE_STATE_H

#include "buf.h"
#include "state.h"

typedef struct NaiveState NaiveState;

NaiveState *NaiveState_New(void);
void NaiveState_Free(NaiveState *naive);

/* Applies a command and returns its status. */
Status NaiveState_Apply(NaiveState *naive, uint64_t index, const char *command,
                        size_t len);

/* Returns the name of the first part that differs, or NULL when both states
 * are equal. */
const char *NaiveState_FindDifference(const NaiveState *naive,
                                      const State *state);

#endif
