/*
 * NAME
 *     jobfleetmsg - message by which a control node reports the leader and the
 *     control nodes to its peers
 *
 * DESCRIPTION
 *     [PEER_FLEET, term, leader ready, leader host, leader port, nodes], where
 *     nodes is a flat array [host, port, host, port, ...]. The leader appends
 *     the limits for callers to nodes, as an array of four numbers, unless its
 *     configuration has none. Earlier versions refuse messages with other
 *     numbers of items and unknown types, but ignore an odd last item of
 *     nodes.
 */
#ifndef COLTSFOOT_JOBFLEETMSG_H
#define COLTSFOOT_JOBFLEETMSG_H

#include <msgpack.h>

#include "buf.h"
#include "job.h"
#include "settings.h"

#define JOB_FLEET_MAX_NODES 32

typedef struct JobFleetMsg {
    uint64_t term;
    bool leader_ready; /* the sender is the leader and its state is complete */
    SettingsAddress leader; /* peer address; its host is empty if not known */
    SettingsAddress nodes[JOB_FLEET_MAX_NODES]; /* peer addresses */
    size_t node_count;
    JobClientLimits limits; /* all 0 if not sent */
} JobFleetMsg;

void JobFleetMsg_Encode(const JobFleetMsg *msg, Buf *out);
bool JobFleetMsg_Decode(const msgpack_object_array *message, JobFleetMsg *msg);

#endif
