/*
 * NAME
 *     support_state - commands of the state machine as text, for tests
 *
 * DESCRIPTION
 *     One line of words is one command:
 *     patch BASE OPERATOR ID PATH=VALUE... -PATH...
 *     vm NAME DC RACK POOL; remove VM OPERATOR ID
 *     member NAME DC IDENTITY INCARNATION disk|nodisk
 *     destroyed MEMBER OPERATOR ID
 *     move VM EPOCH POOL; close VM EPOCH KEEPER_EPOCH
 *     ack VM EPOCH MEMBER INCARNATION; drained VM EPOCH; cancel VM EPOCH
 *     release POOL NUMBER DC KEEPER_EPOCH TOTAL
 *     ask POOL NUMBER DC KEEPER_EPOCH UNITS
 *     wave NAME OPERATOR ID DEADLINE VM...; step WAVE VM STEP
 *     control WAVE ACTION OPERATOR ID REASON (- for an empty word); nothing
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_STATE_H
#define COLTSFOOT_TESTS_SUPPORT_STATE_H

#include <stdbool.h>

#include "buf.h"
#include "state.h"

/* Encodes a line. Returns false when it is none. */
bool SupportState_Encode(Buf *out, const char *line);

/* Applies a line at the next index and returns its status. */
Status SupportState_Apply(State *state, const char *line);

/* As SupportState_Apply, with the decoded result. */
Status SupportState_ApplyResult(State *state, const char *line,
                                StateResult *result);

#endif
