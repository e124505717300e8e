/*
 * NAME
 *     jobagents - which control node calls a target
 *
 * DESCRIPTION
 *     Core without I/O, for the leader. It answers the load of a fleet whose
 *     calls are more than one processor can make: the leader passes calls on
 *     to the other control nodes, its agents, by preference to one in the
 *     target's data centre. All calls to a target go through one agent as
 *     long as the agents stay the same.
 *
 *     An agent that did not answer in time gets no calls for a while. Without
 *     an agent the leader calls by itself.
 *
 *     Agents are told apart by their index as a peer. Times are ms of the
 *     steady clock.
 */
#ifndef COLTSFOOT_JOBAGENTS_H
#define COLTSFOOT_JOBAGENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "job.h"

#define JOB_AGENT_NONE SIZE_MAX
#define JOB_AGENTS_MAX 32
/* Smaller fleets are called by the leader itself: a way through another node
 * would only add to the time of each call. */
#define JOB_AGENTS_MIN_TARGETS 128
/* An agent that did not answer is tried again after this. */
#define JOB_AGENTS_SUSPECT_MS 2000

typedef struct JobAgents JobAgents;

JobAgents *JobAgents_New(void);
void JobAgents_Free(JobAgents *agents);

/* Adds an agent that is connected, or takes it away. */
void JobAgents_Put(JobAgents *agents, size_t peer, const char *data_centre);
void JobAgents_Remove(JobAgents *agents, size_t peer);

/* Notes that an agent did not answer a call in time. Returns whether it was
 * trusted before. */
bool JobAgents_Suspect(JobAgents *agents, int64_t now, size_t peer);

/* Returns the agent for the target in a row, or JOB_AGENT_NONE. */
size_t JobAgents_Choose(const JobAgents *agents, int64_t now,
                        const char *data_centre, uint32_t row);

#endif
