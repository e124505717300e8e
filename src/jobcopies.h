/*
 * NAME
 *     jobcopies - copies of a request that an entry VM has sent to leaders
 *
 * DESCRIPTION
 *     Core without I/O. An entry VM sends a pending request again when the
 *     leader changes, when the link to it breaks, and when it does not know
 *     the outcome. So several control nodes may hold a copy, and each copy has
 *     an outcome of its own. A refusal promises the caller that the request is
 *     never carried out. It is therefore passed on only if the leader refused
 *     the request and every other copy was refused too.
 */
#ifndef COLTSFOOT_JOBCOPIES_H
#define COLTSFOOT_JOBCOPIES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "jobwire.h"

#define JOB_COPIES_MAX 8

typedef enum JobCopyState {
    JOB_COPY_OPEN,    /* sent; a reply is expected */
    JOB_COPY_REFUSED, /* certainly never carried out */
    JOB_COPY_UNKNOWN  /* perhaps carried out; no reply will tell */
} JobCopyState;

typedef struct JobCopy {
    uint64_t sequence;
    size_t peer; /* the control node that it was sent to */
    JobCopyState state;
} JobCopy;

typedef struct JobCopies {
    JobCopy list[JOB_COPIES_MAX];
    size_t count;
    size_t sent;  /* copies sent, including those dropped from list */
    bool dropped; /* a copy that was not refused was dropped from list */
    /* HTTP status of the refusal by the leader to which the last copy was
     * sent, or 0. */
    int leader_refusal;
} JobCopies;

typedef enum JobCopiesVerdict {
    JOB_COPIES_ANSWER, /* the reply is the answer to the caller */
    JOB_COPIES_WAIT,   /* the reply to another copy is awaited */
    JOB_COPIES_RESEND, /* a further copy, to the leader of that time, is
                        * needed */
    JOB_COPIES_UNKNOWN /* the outcome is not known, and a further copy would
                        * be refused */
} JobCopiesVerdict;

/* Records a copy sent to a peer. The oldest copy is dropped beyond
 * JOB_COPIES_MAX. */
void JobCopies_Add(JobCopies *copies, uint64_t sequence, size_t peer);

bool JobCopies_Has(const JobCopies *copies, uint64_t sequence);

/* Returns whether some copy may have been or may still be carried out. */
bool JobCopies_MayBeDone(const JobCopies *copies);

/* Handles the reply to a copy. status is its HTTP status; from_leader tells
 * whether the sender is the leader as far as the entry VM knows. */
JobCopiesVerdict JobCopies_Settle(JobCopies *copies, JobRequestKind kind,
                                  uint64_t sequence, int status,
                                  bool from_leader);

/* Handles the loss of a peer or of the link to it: replies to its open copies
 * are not expected any more. Never returns JOB_COPIES_ANSWER. */
JobCopiesVerdict JobCopies_LosePeer(JobCopies *copies, size_t peer);

#endif
