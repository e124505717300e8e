/*
 * NAME
 *     jobfleetmsg - message by which a control node reports the leader and the
 *     control nodes to its peers
 *
 * DESCRIPTION
 *     [PEER_FLEET, term, leader ready, leader host, leader port, nodes], where
 *     nodes is a flat array [host, port, host, port, ...].
 */
#ifndef COLTSFOOT_JOBFLEETMSG_H
#define COLTSFOOT_JOBFLEETMSG_H

#include <msgpack.h>

#include "buf.h"
#include "settings.h"

#define JOB_FLEET_MAX_NODES 32

typedef struct JobFleetMsg {
    uint64_t term;
    bool leader_ready; /* the sender is the leader and its state is complete */
    SettingsAddress leader; /* peer address; its host is empty if not known */
    SettingsAddress nodes[JOB_FLEET_MAX_NODES]; /* peer addresses */
    size_t node_count;
} JobFleetMsg;

void JobFleetMsg_Encode(const JobFleetMsg *msg, Buf *out);
bool JobFleetMsg_Decode(const msgpack_object_array *message, JobFleetMsg *msg);

#endif
