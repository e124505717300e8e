/*
 * NAME
 *     jobreplymsg - the leader's reply to a forwarded request
 *
 * DESCRIPTION
 *     [PEER_JOB_REPLY, sequence, status, retry, body], sent by the leader to
 *     the node that received the HTTP request of a caller or a target.
 */
#ifndef COLTSFOOT_JOBREPLYMSG_H
#define COLTSFOOT_JOBREPLYMSG_H

#include <msgpack.h>

#include "buf.h"
#include "httpserver.h"

typedef struct JobReplyMsg {
    uint64_t sequence; /* number that the receiving node gave the request */
    int status;        /* HTTP status code */
    int64_t retry_ms;  /* suggested delay before a retry; 0: none */
    const char *body;  /* JSON */
    size_t body_len;
} JobReplyMsg;

void JobReplyMsg_Encode(const JobReplyMsg *msg, Buf *out);
/* The decoded body points into the message. */
bool JobReplyMsg_Decode(const msgpack_object_array *message, JobReplyMsg *msg);

/* Answers an HTTP request with a redirect of the same path to address, which
 * is HOST:PORT. */
void JobReplyMsg_RedirectHttp(HttpRequest *http, const char *address);

/* Sends the reply as the response to an HTTP request. */
void JobReplyMsg_SendHttp(const JobReplyMsg *msg, HttpRequest *http);

#endif
