/*
 * NAME
 *     jobcallmsg - calls to targets that one control node makes for another
 *
 * DESCRIPTION
 *     The leader passes calls on to other control nodes (see jobagents), which
 *     send back what the targets answered. Both go as records, any number one
 *     after another in the bytes of a PEER_JOB_CALLS or PEER_JOB_ANSWERS
 *     message: [type, term, bytes]. The term is the leader's, so that answers
 *     to an earlier leader are told apart.
 *
 *     Decoders check every bound; texts point into the bytes that were read.
 */
#ifndef COLTSFOOT_JOBCALLMSG_H
#define COLTSFOOT_JOBCALLMSG_H

#include <msgpack.h>

#include "buf.h"
#include "jobsched.h"
#include "mpread.h"
#include "peer.h"

/* A call as it was passed on; action.cookie comes back with the answer. */
typedef struct JobCallMsg {
    JobAction action;
    int64_t timeout_ms;
} JobCallMsg;

/* The answer to a call with the lists that it points to. */
typedef struct JobAnswerMsg {
    uint64_t cookie;
    JobCallAnswer answer;
    JobRunning *running;
    JobEnd *ends;
} JobAnswerMsg;

void JobCallMsg_Pack(const JobCallMsg *call, Buf *out);
bool JobCallMsg_Read(MpRead *reader, JobCallMsg *call);

/* Checkpoints of running tasks are left out: only ends carry them on. */
void JobAnswerMsg_Pack(uint64_t cookie, const JobCallAnswer *answer, Buf *out);
/* Free the message also after a failure. */
bool JobAnswerMsg_Read(MpRead *reader, JobAnswerMsg *msg);
void JobAnswerMsg_Free(JobAnswerMsg *msg);

/* An announcement whole: what the log keeps of it lacks the order, the clock
 * and the time that a leaving target has left. */
void JobAnnounceMsg_Pack(const JobAnnouncement *says, Buf *out);
bool JobAnnounceMsg_Read(MpRead *reader, JobAnnouncement *says);

/* Encodes a message of packed records. */
void JobCallMsg_EncodeBatch(PeerMessageType type, uint64_t term,
                            const Buf *records, Buf *out);

/* Opens a message of records. */
bool JobCallMsg_OpenBatch(const msgpack_object_array *message, uint64_t *term,
                          MpRead *records);

#endif
