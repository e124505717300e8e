/*
 * NAME
 *     jobcallmsg - calls to targets that are forwarded between control nodes
 *
 * DESCRIPTION
 *     The leader forwards calls to other control nodes (see jobagents), which
 *     return the targets' answers. Calls and answers are records; a
 *     PEER_JOB_CALLS or PEER_JOB_ANSWERS message [type, term, bytes] holds any
 *     number of them, concatenated in its bytes. The term is the leader's, so
 *     that answers to a previous leader can be recognized.
 *
 *     A PEER_JOB_ANNOUNCED message has the same form, but holds one forwarded
 *     request of a target, and a request number in place of the term.
 *
 *     Decoders check all bounds; decoded texts point into the input.
 */
#ifndef COLTSFOOT_JOBCALLMSG_H
#define COLTSFOOT_JOBCALLMSG_H

#include <msgpack.h>

#include "buf.h"
#include "jobsched.h"
#include "mpread.h"
#include "peer.h"

/* Bytes of records from which a batch is sent. Together with the longest
 * record they fit in a frame; a longer batch would be dropped with all its
 * records. */
#define JOB_CALL_BATCH_BYTES ((size_t)1024 * 1024)

/* A forwarded call. The answer carries the same cookie as action. */
typedef struct JobCallMsg {
    JobAction action;
    int64_t timeout_ms;
} JobCallMsg;

/* The answer to a call, with the lists that the answer points to. */
typedef struct JobAnswerMsg {
    uint64_t cookie;
    JobCallAnswer answer;
    JobRunning *running;
    JobEnd *ends;
} JobAnswerMsg;

void JobCallMsg_Pack(const JobCallMsg *call, Buf *out);
bool JobCallMsg_Read(MpRead *reader, JobCallMsg *call);

/* Omits the checkpoints of running tasks, since only those of ended runs are
 * stored. */
void JobAnswerMsg_Pack(uint64_t cookie, const JobCallAnswer *answer, Buf *out);
/* The caller frees msg, also after a failure. */
bool JobAnswerMsg_Read(MpRead *reader, JobAnswerMsg *msg);
void JobAnswerMsg_Free(JobAnswerMsg *msg);

/* Encodes a complete announcement. JobCodec_PackAnnouncement, for the log,
 * omits order, clock_ms and drain_remaining_ms. */
void JobAnnounceMsg_Pack(const JobAnnouncement *announcement, Buf *out);
bool JobAnnounceMsg_Read(MpRead *reader, JobAnnouncement *announcement);

/* Encodes a message of the given type around the records. */
void JobCallMsg_EncodeBatch(PeerMessageType type, uint64_t term,
                            const Buf *records, Buf *out);

/* Decodes the term of a message and initializes a reader of its records. */
bool JobCallMsg_DecodeBatch(const msgpack_object_array *message,
                            uint64_t *term, MpRead *records);

#endif
