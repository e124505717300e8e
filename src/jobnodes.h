/*
 * NAME
 *     jobnodes - when an entry VM sends the addresses of control nodes
 *
 * DESCRIPTION
 *     Core without I/O. Entry VMs learn of control nodes from each other, as
 *     their seeds may be entry VMs. A list that is sent only when a link opens
 *     is lost if the sender knew nothing then, so the exchange is repeated:
 *     a node without a leader sends its list to all peers once in
 *     JOB_NODES_INTERVAL_MS, and one that has a leader sends it to the peers
 *     that have asked since. A fleet message asks if its sender knows no
 *     leader and lacks a control node that the receiver knows. So a pair of
 *     nodes exchanges at most one message in each direction per interval, and
 *     none while both have a leader.
 *
 *     Peers are identified by their index; times are ms of a monotonic clock.
 */
#ifndef COLTSFOOT_JOBNODES_H
#define COLTSFOOT_JOBNODES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "jobfleetmsg.h"

#define JOB_NODES_INTERVAL_MS 1000

typedef struct JobNodes JobNodes;

JobNodes *JobNodes_New(void);
void JobNodes_Free(JobNodes *nodes);

/* Returns whether a fleet message asks for the list known. */
bool JobNodes_IsQuestion(const JobFleetMsg *msg, const JobFleetMsg *known);

/* Records that a peer has asked. */
void JobNodes_RecordQuestion(JobNodes *nodes, size_t peer);

/* Begins a round if the last one began JOB_NODES_INTERVAL_MS ago. Returns
 * whether it did; the caller then calls JobNodes_Take for each peer. */
bool JobNodes_BeginRound(JobNodes *nodes, int64_t now, bool leader_known);

/* Returns whether the list is sent to the peer in this round, and forgets its
 * question. */
bool JobNodes_Take(JobNodes *nodes, size_t peer);

#endif
