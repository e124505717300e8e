/*
 * NAME
 *     support_naive_state - the state machine with linear lists, for comparison
 *
 * DESCRIPTION
 *     Follows the rules of the state machine in the plainest way: each row
 *     is found by a search through a list, each count is counted anew, and
 *     units of a share are given one by one. Waves, snapshots, answers to
 *     operators and the bound on deletions are left out.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_NAIVE_STATE_H
#define COLTSFOOT_TESTS_SUPPORT_NAIVE_STATE_H

#include "buf.h"
#include "state.h"

typedef struct Naive Naive;

Naive *Naive_New(void);
void Naive_Free(Naive *naive);

/* Applies a command and returns its status. */
Status Naive_Apply(Naive *naive, uint64_t index, const char *command,
                   size_t len);

/* Returns what differs between the two, or NULL. */
const char *Naive_Difference(const Naive *naive, const State *state);

#endif
