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

/* Returns the index of a copy, or the number of copies if there is none. */
static size_t
find_copy(const JobCopies *copies, uint64_t sequence)
{
    size_t i = 0;

    while (i < copies->count && copies->list[i].sequence != sequence) {
        i++;
    }
    return i;
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
    copies->leader_refusal = 0;
}

bool
JobCopies_Has(const JobCopies *copies, uint64_t sequence)
{
    return find_copy(copies, sequence) < copies->count;
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

/* Judges a request without a final reply. */
static JobCopiesVerdict
judge(const JobCopies *copies)
{
    if (has_open_copy(copies)) {
        return JOB_COPIES_WAIT;
    }
    if (copies->leader_refusal == 0) {
        return JOB_COPIES_RESEND;
    }
    if (!JobCopies_MayBeDone(copies)) {
        return JOB_COPIES_ANSWER;
    }
    /* A leader that is only unavailable may still find the request. */
    return copies->leader_refusal == 503 ? JOB_COPIES_RESEND
                                         : JOB_COPIES_UNKNOWN;
}

JobCopiesVerdict
JobCopies_Settle(JobCopies *copies, JobRequestKind kind, uint64_t sequence,
                 int status, bool from_leader)
{
    size_t i = find_copy(copies, sequence);
    ReplyClass class = classify_reply(kind, status);

    if (i == copies->count) {
        return JOB_COPIES_WAIT;
    }
    if (class == REPLY_FINAL || (from_leader && !is_change(kind))) {
        return JOB_COPIES_ANSWER;
    }
    copies->list[i].state =
        class == REPLY_REFUSAL ? JOB_COPY_REFUSED : JOB_COPY_UNKNOWN;
    if (class == REPLY_REFUSAL && from_leader) {
        copies->leader_refusal = status;
    }
    return judge(copies);
}

JobCopiesVerdict
JobCopies_LosePeer(JobCopies *copies, size_t peer)
{
    size_t i;

    for (i = 0; i < copies->count; i++) {
        if (copies->list[i].peer == peer &&
            copies->list[i].state == JOB_COPY_OPEN) {
            copies->list[i].state = JOB_COPY_UNKNOWN;
        }
    }
    return judge(copies);
}
