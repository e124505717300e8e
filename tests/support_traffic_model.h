/*
 * NAME
 *     support_traffic_model - oracle for sequences of calls to traffic
 *
 * DESCRIPTION
 *     Turns bytes into calls and checks every action against plain records
 *     of what was sent, answered and replied. Used at fixed seeds by a test
 *     and by the fuzz target.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_TRAFFIC_MODEL_H
#define COLTSFOOT_TESTS_SUPPORT_TRAFFIC_MODEL_H

#include <stddef.h>
#include <stdint.h>

/* Runs the calls. Returns NULL, or the text of the first rule that broke. */
const char *TrafficModel_Run(const uint8_t *bytes, size_t len);

/* Returns the count of actions of a kind in all runs so far, so that a test
 * can tell that it reached them. */
uint64_t TrafficModel_Seen(int action_kind);

/* Returns the count of replies with an outcome in all runs so far. */
uint64_t TrafficModel_Replies(int outcome);

#endif
