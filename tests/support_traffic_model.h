/*
 * NAME
 *     support_traffic_model - checks of the traffic module by random calls
 *
 * DESCRIPTION
 *     Turns bytes into calls of the traffic module and checks every action
 *     against records of what was dispatched, answered and replied. Used by
 *     a test with fixed seeds and by the fuzz target.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_TRAFFIC_MODEL_H
#define COLTSFOOT_TESTS_SUPPORT_TRAFFIC_MODEL_H

#include <stddef.h>
#include <stdint.h>

/* Runs the calls. Returns NULL, or the text of the first violated rule. */
const char *TrafficModel_Run(const uint8_t *bytes, size_t len);

/* Returns the number of actions of a kind in all runs so far, so that a test
 * can check that its runs cover them. */
uint64_t TrafficModel_CountActions(int action_kind);

/* Returns the number of replies with an outcome in all runs so far. */
uint64_t TrafficModel_CountReplies(int outcome);

#endif
