/*
 * NAME
 *     jobcopies - copies of a request that an entry VM has sent to leaders
 *
 * DESCRIPTION
 *     Core without I/O. An entry VM sends a pending request again when the
 *     leader changes, so several control nodes may hold a copy, and each copy
 *     has an outcome of its own. A refusal promises the caller that the
 *     request is never carried out. It is therefore passed on only if a leader
 *     refused the request and every other copy was refused too.
 */
#ifndef COLTSFOOT_JOBCOPIES_H
#define COLTSFOOT_JOBCOPIES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "jobwire.h"

#define JOB_COPIES_MAX 8

typedef enum JobCopyState {
    JOB_COPY_OPEN,    /* sent, without a reply */
    JOB_COPY_REFUSED, /* certainly never carried out */
    JOB_COPY_LOST     /* perhaps carried out; no reply is expected */
} JobCopyState;

typedef struct JobCopy {
    uint64_t sequence;
    size_t peer; /* the control node that it was sent to */
    JobCopyState state;
} JobCopy;

typedef struct JobCopies {
    JobCopy list[JOB_COPIES_MAX];
    size_t count;
    size_t sent;         /* copies sent, including those dropped from list */
    bool dropped;        /* an unrefused copy was dropped from list */
    bool leader_refused; /* the leader has refused a copy */
} JobCopies;

typedef enum JobCopiesVerdict {
    JOB_COPIES_ANSWER, /* the reply is the answer to the caller */
    JOB_COPIES_WAIT, /* another copy or the next leader may give the answer */
    JOB_COPIES_RESEND, /* the leader does not know the outcome; ask the next */
    JOB_COPIES_UNKNOWN /* no further reply can tell the outcome */
} JobCopiesVerdict;

/* Records a copy sent to a peer. The oldest copy is dropped beyond
 * JOB_COPIES_MAX. */
void JobCopies_Add(JobCopies *copies, uint64_t sequence, size_t peer);

bool JobCopies_Has(const JobCopies *copies, uint64_t sequence);

/* Returns whether some copy may have been or may still be carried out. */
bool JobCopies_MayBeDone(const JobCopies *copies);

/* Handles the reply to a copy. status is its HTTP status; from_leader tells
 * whether the sender is the leader that the entry VM knows. */
JobCopiesVerdict JobCopies_Settle(JobCopies *copies, JobRequestKind kind,
                                  uint64_t sequence, int status,
                                  bool from_leader);

/* Handles the loss of a peer or of the link to it: replies to its open copies
 * are not expected any more. Returns JOB_COPIES_UNKNOWN or JOB_COPIES_WAIT. */
JobCopiesVerdict JobCopies_LosePeer(JobCopies *copies, size_t peer);

#endif
