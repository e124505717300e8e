#include "jobnodes.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

struct JobNodes {
    bool *asked; /* by peer */
    size_t size;
    bool to_all;
    int64_t next_round_ms;
};

JobNodes *
JobNodes_New(void)
{
    return Mem_New(1, sizeof(JobNodes));
}

void
JobNodes_Free(JobNodes *nodes)
{
    if (nodes != NULL) {
        free(nodes->asked);
        free(nodes);
    }
}

static bool
has_node(const JobFleetMsg *msg, const SettingsAddress *address)
{
    size_t i;

    for (i = 0; i < msg->node_count; i++) {
        if (msg->nodes[i].port == address->port &&
            strcmp(msg->nodes[i].host, address->host) == 0) {
            return true;
        }
    }
    return false;
}

bool
JobNodes_IsQuestion(const JobFleetMsg *msg, const JobFleetMsg *known)
{
    size_t i;

    if (msg->leader_ready || msg->leader.host[0] != '\0') {
        return false;
    }
    for (i = 0; i < known->node_count; i++) {
        if (!has_node(msg, &known->nodes[i])) {
            return true;
        }
    }
    return false;
}

void
JobNodes_RecordQuestion(JobNodes *nodes, size_t peer)
{
    if (peer >= nodes->size) {
        size_t size = peer + 1;
        nodes->asked = Mem_Resize(nodes->asked, size * sizeof(bool));
        memset(nodes->asked + nodes->size, 0,
               (size - nodes->size) * sizeof(bool));
        nodes->size = size;
    }
    nodes->asked[peer] = true;
}

bool
JobNodes_BeginRound(JobNodes *nodes, int64_t now, bool leader_known)
{
    if (now < nodes->next_round_ms) {
        return false;
    }
    nodes->next_round_ms = now + JOB_NODES_INTERVAL_MS;
    nodes->to_all = !leader_known;
    return true;
}

bool
JobNodes_Take(JobNodes *nodes, size_t peer)
{
    bool asked = peer < nodes->size && nodes->asked[peer];

    if (asked) {
        nodes->asked[peer] = false;
    }
    return asked || nodes->to_all;
}
