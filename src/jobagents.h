/*
 * NAME
 *     jobagents - choice of the control node that calls a target
 *
 * DESCRIPTION
 *     Core without I/O, run by the leader. In a fleet that needs more calls
 *     than one processor can make, the leader forwards calls to the other
 *     control nodes, its agents, preferably to one in the data centre of the
 *     target. All calls to a target go through the same agent as long as the
 *     set of usable agents does not change.
 *
 *     An agent that did not answer in time gets no calls for
 *     JOB_AGENTS_SUSPECT_MS. Without a usable agent the leader calls targets
 *     itself.
 *
 *     Agents are identified by their peer index. Times are ms of the steady
 *     clock.
 */
#ifndef COLTSFOOT_JOBAGENTS_H
#define COLTSFOOT_JOBAGENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "job.h"

#define JOB_AGENT_NONE SIZE_MAX
#define JOB_AGENTS_MAX 32
/* The leader calls the targets of smaller fleets itself: forwarding would only
 * add latency to each call. */
#define JOB_AGENTS_MIN_TARGETS 128
/* Time for which an agent that did not answer gets no calls. */
#define JOB_AGENTS_SUSPECT_MS 2000

typedef struct JobAgents JobAgents;

JobAgents *JobAgents_New(void);
void JobAgents_Free(JobAgents *agents);

/* Adds or replaces a connected agent, or removes one. */
void JobAgents_Put(JobAgents *agents, size_t peer, const char *data_centre);
void JobAgents_Remove(JobAgents *agents, size_t peer);

/* Records that an agent did not answer a call in time. Returns whether it was
 * usable before. */
bool JobAgents_Suspect(JobAgents *agents, int64_t now, size_t peer);

/* Returns the peer index of the agent for the target with this row number, or
 * JOB_AGENT_NONE. */
size_t JobAgents_Choose(const JobAgents *agents, int64_t now,
                        const char *data_centre, uint32_t row);

#endif
