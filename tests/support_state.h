/*
 * NAME
 *     support_state - state machine commands written as text, for tests
 *
 * DESCRIPTION
 *     A command is a line of words in one of these forms. The word - stands
 *     for an empty text.
 *     patch BASE OPERATOR ID PATH=VALUE... -PATH...
 *     vm NAME DC RACK POOL; remove VM OPERATOR ID
 *     member NAME DC IDENTITY INCARNATION disk|nodisk
 *     destroyed MEMBER OPERATOR ID
 *     move VM EPOCH POOL; close VM EPOCH KEEPER_EPOCH
 *     ack VM EPOCH MEMBER INCARNATION; drained VM EPOCH; cancel VM EPOCH
 *     release POOL NUMBER DC KEEPER_EPOCH TOTAL
 *     ask POOL NUMBER DC KEEPER_EPOCH UNITS
 *     wave NAME OPERATOR ID DEADLINE VM...; step WAVE VM STEP
 *     control WAVE ACTION OPERATOR ID REASON; nothing
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_STATE_H
#define COLTSFOOT_TESTS_SUPPORT_STATE_H

#include <stdbool.h>

#include "buf.h"
#include "state.h"

/* Encodes the command of a line. Returns false when the kind is unknown. */
bool SupportState_Encode(Buf *out, const char *line);

/* Applies the command of a line at the next log index and returns its status.
 * Aborts when the kind is unknown. */
Status SupportState_Apply(State *state, const char *line);

/* Does the same as SupportState_Apply and stores the decoded result. */
Status SupportState_ApplyResult(State *state, const char *line,
                                StateResult *result);

#endif
