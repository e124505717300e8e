/*
 * NAME
 *     jobfleetmsg - what control nodes tell all others about the fleet
 *
 * DESCRIPTION
 *     [PEER_FLEET, term, serves, leader host, leader port, nodes], the nodes
 *     as an array of host and port by turns.
 */
#ifndef COLTSFOOT_JOBFLEETMSG_H
#define COLTSFOOT_JOBFLEETMSG_H

#include <msgpack.h>

#include "buf.h"
#include "settings.h"

#define JOB_FLEET_NODES 32

typedef struct JobFleetMsg {
    uint64_t term;
    bool serves;            /* the sender leads and its state is complete */
    SettingsAddress leader; /* peer address; an empty host: not known */
    SettingsAddress nodes[JOB_FLEET_NODES]; /* of the control nodes */
    size_t node_count;
} JobFleetMsg;

void JobFleetMsg_Encode(const JobFleetMsg *msg, Buf *out);
bool JobFleetMsg_Decode(const msgpack_object_array *message, JobFleetMsg *msg);

#endif
