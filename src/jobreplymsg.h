/*
 * NAME
 *     jobreplymsg - the leader's answer to a request that another node passed
 * on
 *
 * DESCRIPTION
 *     [PEER_JOB_REPLY, sequence, status, retry, body], from the leader to the
 *     node that holds the HTTP request of a caller or a target.
 */
#ifndef COLTSFOOT_JOBREPLYMSG_H
#define COLTSFOOT_JOBREPLYMSG_H

#include <msgpack.h>

#include "buf.h"
#include "httpserver.h"

typedef struct JobReplyMsg {
    uint64_t sequence; /* the node's own number of the request */
    int status;        /* of HTTP */
    int64_t retry_ms;  /* when to come back; 0: not told */
    const char *body;  /* JSON */
    size_t body_len;
} JobReplyMsg;

void JobReplyMsg_Encode(const JobReplyMsg *msg, Buf *out);
/* The body points into the message. */
bool JobReplyMsg_Decode(const msgpack_object_array *message, JobReplyMsg *msg);

/* Answers the request over HTTP. */
void JobReplyMsg_Answer(const JobReplyMsg *msg, HttpRequest *http);

#endif
