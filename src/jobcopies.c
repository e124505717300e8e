#include "jobcopies.h"

#include <string.h>

typedef enum ReplyClass {
    REPLY_FINAL,   /* the request was carried out, or only read */
    REPLY_REFUSAL, /* the copy is never carried out */
    REPLY_UNKNOWN
} ReplyClass;

static bool
is_change(JobRequestKind kind)
{
    return kind == JOB_REQUEST_SUBMIT || kind == JOB_REQUEST_CANCEL;
}

static ReplyClass
classify_reply(JobRequestKind kind, int status)
{
    if (status < 400 || status == 410) {
        return REPLY_FINAL;
    }
    if (status == 503 || status == 429) {
        return REPLY_REFUSAL;
    }
    if (status >= 500) {
        return REPLY_UNKNOWN;
    }
    return is_change(kind) ? REPLY_REFUSAL : REPLY_FINAL;
}

static JobCopy *
find_copy(JobCopies *copies, uint64_t sequence)
{
    size_t i;

    for (i = 0; i < copies->count; i++) {
        if (copies->list[i].sequence == sequence) {
            return &copies->list[i];
        }
    }
    return NULL;
}

static bool
has_open_copy(const JobCopies *copies)
{
    size_t i;

    for (i = 0; i < copies->count; i++) {
        if (copies->list[i].state == JOB_COPY_OPEN) {
            return true;
        }
    }
    return false;
}

void
JobCopies_Add(JobCopies *copies, uint64_t sequence, size_t peer)
{
    if (copies->count == JOB_COPIES_MAX) {
        copies->dropped =
            copies->dropped || copies->list[0].state != JOB_COPY_REFUSED;
        copies->count--;
        memmove(copies->list, copies->list + 1,
                copies->count * sizeof(copies->list[0]));
    }
    copies->list[copies->count++] = (JobCopy){sequence, peer, JOB_COPY_OPEN};
    copies->sent++;
}

bool
JobCopies_Has(const JobCopies *copies, uint64_t sequence)
{
    size_t i;

    for (i = 0; i < copies->count; i++) {
        if (copies->list[i].sequence == sequence) {
            return true;
        }
    }
    return false;
}

bool
JobCopies_MayBeDone(const JobCopies *copies)
{
    size_t i;

    for (i = 0; i < copies->count; i++) {
        if (copies->list[i].state != JOB_COPY_REFUSED) {
            return true;
        }
    }
    return copies->dropped;
}

static JobCopiesVerdict
judge_refusal(const JobCopies *copies)
{
    if (!copies->leader_refused || has_open_copy(copies)) {
        return JOB_COPIES_WAIT;
    }
    return JobCopies_MayBeDone(copies) ? JOB_COPIES_UNKNOWN
                                       : JOB_COPIES_ANSWER;
}

JobCopiesVerdict
JobCopies_Settle(JobCopies *copies, JobRequestKind kind, uint64_t sequence,
                 int status, bool from_leader)
{
    JobCopy *copy = find_copy(copies, sequence);
    ReplyClass class = classify_reply(kind, status);

    if (copy == NULL) {
        return JOB_COPIES_WAIT;
    }
    if (class == REPLY_FINAL || (from_leader && !is_change(kind))) {
        return JOB_COPIES_ANSWER;
    }
    if (class == REPLY_UNKNOWN) {
        copy->state = JOB_COPY_LOST;
        return from_leader ? JOB_COPIES_RESEND : JOB_COPIES_WAIT;
    }
    copy->state = JOB_COPY_REFUSED;
    copies->leader_refused = copies->leader_refused || from_leader;
    return judge_refusal(copies);
}

JobCopiesVerdict
JobCopies_LosePeer(JobCopies *copies, size_t peer)
{
    size_t i;

    for (i = 0; i < copies->count; i++) {
        if (copies->list[i].peer == peer &&
            copies->list[i].state == JOB_COPY_OPEN) {
            copies->list[i].state = JOB_COPY_LOST;
        }
    }
    return copies->leader_refused && !has_open_copy(copies)
               ? JOB_COPIES_UNKNOWN
               : JOB_COPIES_WAIT;
}
