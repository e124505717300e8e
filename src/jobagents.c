#include "jobagents.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

typedef struct Agent {
    size_t peer;
    char data_centre[JOB_NAME_BYTES];
    int64_t suspect_until_ms;
} Agent;

struct JobAgents {
    Agent list[JOB_AGENTS_MAX]; /* ordered by peer */
    size_t count;
};

JobAgents *
JobAgents_New(void)
{
    return Mem_New(1, sizeof(JobAgents));
}

void
JobAgents_Free(JobAgents *agents)
{
    free(agents);
}

static Agent *
find_agent(JobAgents *agents, size_t peer)
{
    size_t i;

    for (i = 0; i < agents->count; i++) {
        if (agents->list[i].peer == peer) {
            return &agents->list[i];
        }
    }
    return NULL;
}

void
JobAgents_Put(JobAgents *agents, size_t peer, const char *data_centre)
{
    Agent *agent = find_agent(agents, peer);
    size_t i;

    if (agent == NULL) {
        if (agents->count == JOB_AGENTS_MAX) {
            return;
        }
        for (i = agents->count; i > 0 && agents->list[i - 1].peer > peer;
             i--) {
            agents->list[i] = agents->list[i - 1];
        }
        agents->count++;
        agent = &agents->list[i];
    }
    memset(agent, 0, sizeof(*agent));
    agent->peer = peer;
    snprintf(agent->data_centre, sizeof(agent->data_centre), "%s",
             data_centre);
}

void
JobAgents_Remove(JobAgents *agents, size_t peer)
{
    Agent *agent = find_agent(agents, peer);
    size_t i;

    if (agent == NULL) {
        return;
    }
    agents->count--;
    for (i = (size_t)(agent - agents->list); i < agents->count; i++) {
        agents->list[i] = agents->list[i + 1];
    }
}

bool
JobAgents_Suspect(JobAgents *agents, int64_t now, size_t peer)
{
    Agent *agent = find_agent(agents, peer);
    bool was_usable = agent != NULL && now >= agent->suspect_until_ms;

    if (agent != NULL) {
        agent->suspect_until_ms = now + JOB_AGENTS_SUSPECT_MS;
    }
    return was_usable;
}

size_t
JobAgents_Choose(const JobAgents *agents, int64_t now, const char *data_centre,
                 uint32_t row)
{
    const Agent *local[JOB_AGENTS_MAX];
    const Agent *usable[JOB_AGENTS_MAX];
    size_t local_count = 0;
    size_t usable_count = 0;
    size_t i;

    for (i = 0; i < agents->count; i++) {
        const Agent *agent = &agents->list[i];
        if (now < agent->suspect_until_ms) {
            continue;
        }
        usable[usable_count++] = agent;
        if (strcmp(agent->data_centre, data_centre) == 0) {
            local[local_count++] = agent;
        }
    }
    if (local_count > 0) {
        return local[row % local_count]->peer;
    }
    return usable_count > 0 ? usable[row % usable_count]->peer
                            : JOB_AGENT_NONE;
}
