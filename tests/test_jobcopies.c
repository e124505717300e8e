#include <check.h>
#include <string.h>

#include "jobcopies.h"
#include "rng.h"
#include "support.h"

#define RANDOM_SEEDS 2000
#define MAX_SENT 12
#define LEADERS 3

typedef enum EventKind {
    EVENT_NONE,
    EVENT_SEND,
    EVENT_REPLY,
    EVENT_LOSE
} EventKind;

typedef struct Event {
    EventKind kind;
    uint64_t sequence; /* of EVENT_LOSE: unused */
    size_t peer;
    int status;
    bool from_leader;
    JobCopiesVerdict verdict;
} Event;

static const struct {
    const char *name;
    JobRequestKind kind;
    Event events[8];
} cases[] = {
    {"acceptance answers at once",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 1, 0, 200, false, JOB_COPIES_ANSWER}}},
    {"refusal by a former leader asks for the next one",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_REPLY, 1, 0, 503, false, JOB_COPIES_RESEND}}},
    {"refusal with an open copy waits for its reply",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 2, 1, 429, true, JOB_COPIES_WAIT},
      {EVENT_REPLY, 1, 0, 503, false, JOB_COPIES_ANSWER}}},
    {"refusal with an open copy whose peer is lost",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 2, 1, 429, true, JOB_COPIES_WAIT},
      {EVENT_LOSE, 0, 0, 0, false, JOB_COPIES_UNKNOWN}}},
    {"refusal with an open copy whose outcome is unknown",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 2, 1, 429, true, JOB_COPIES_WAIT},
      {EVENT_REPLY, 1, 0, 504, false, JOB_COPIES_UNKNOWN}}},
    {"refusal by an earlier leader does not bind the next one",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 2, 1, 429, true, JOB_COPIES_WAIT},
      {EVENT_SEND, 3, 2, 0, false, 0},
      {EVENT_LOSE, 0, 0, 0, false, JOB_COPIES_WAIT},
      {EVENT_REPLY, 3, 2, 504, true, JOB_COPIES_RESEND}}},
    {"unknown outcome at the leader is asked again",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_REPLY, 1, 0, 504, true, JOB_COPIES_RESEND},
      {EVENT_SEND, 2, 0, 0, false, 0},
      {EVENT_REPLY, 2, 0, 503, true, JOB_COPIES_RESEND},
      {EVENT_SEND, 3, 0, 0, false, 0},
      {EVENT_REPLY, 3, 0, 404, true, JOB_COPIES_UNKNOWN}}},
    {"404 is a refusal of a submission",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_LOSE, 0, 0, 0, false, JOB_COPIES_RESEND},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 2, 1, 404, true, JOB_COPIES_UNKNOWN}}},
    {"key removed between two copies",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 2, 1, 401, true, JOB_COPIES_WAIT},
      {EVENT_REPLY, 1, 0, 200, false, JOB_COPIES_ANSWER}}},
    {"key unknown to the leader, other copy refused",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 2, 1, 401, true, JOB_COPIES_WAIT},
      {EVENT_REPLY, 1, 0, 503, false, JOB_COPIES_ANSWER}}},
    {"key unknown to a former leader",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_REPLY, 1, 0, 401, false, JOB_COPIES_RESEND}}},
    {"key unknown to the leader, other copy lost",
     JOB_REQUEST_CANCEL,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_LOSE, 0, 0, 0, false, JOB_COPIES_WAIT},
      {EVENT_REPLY, 2, 1, 401, true, JOB_COPIES_UNKNOWN}}},
    {"id of another tenant with an open copy",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 2, 1, 409, true, JOB_COPIES_WAIT},
      {EVENT_REPLY, 1, 0, 409, false, JOB_COPIES_ANSWER}}},
    {"id of another tenant at the only copy",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_REPLY, 1, 0, 409, true, JOB_COPIES_ANSWER}}},
    {"unknown key of a read",
     JOB_REQUEST_STATE,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_REPLY, 1, 0, 401, true, JOB_COPIES_ANSWER}}},
    {"a read has no promise to keep",
     JOB_REQUEST_STATE,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 1, 0, 503, false, JOB_COPIES_WAIT},
      {EVENT_REPLY, 2, 1, 503, true, JOB_COPIES_ANSWER}}},
    {"a cancelled job that does not exist",
     JOB_REQUEST_CANCEL,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_SEND, 2, 1, 0, false, 0},
      {EVENT_REPLY, 2, 1, 410, true, JOB_COPIES_ANSWER}}},
    {"reply to an unknown copy",
     JOB_REQUEST_SUBMIT,
     {{EVENT_SEND, 1, 0, 0, false, 0},
      {EVENT_REPLY, 7, 0, 200, true, JOB_COPIES_WAIT}}},
};

START_TEST(refusal_needs_all_copies_refused)
{
    JobCopies copies = {.count = 0};
    const Event *event;

    for (event = cases[_i].events; event->kind != EVENT_NONE; event++) {
        JobCopiesVerdict verdict = event->verdict;
        if (event->kind == EVENT_SEND) {
            JobCopies_Add(&copies, event->sequence, event->peer);
        }
        else if (event->kind == EVENT_REPLY) {
            verdict =
                JobCopies_Settle(&copies, cases[_i].kind, event->sequence,
                                 event->status, event->from_leader);
        }
        else {
            verdict = JobCopies_LosePeer(&copies, event->peer);
        }
        ck_assert_msg(verdict == event->verdict, "%s: event %td: %d",
                      cases[_i].name, event - cases[_i].events, verdict);
    }
}
END_TEST

START_TEST(dropped_copy_is_not_forgotten)
{
    JobCopies copies = {.count = 0};
    uint64_t sequence;

    for (sequence = 0; sequence <= JOB_COPIES_MAX; sequence++) {
        JobCopies_Add(&copies, sequence, 0);
    }
    for (sequence = 1; sequence <= JOB_COPIES_MAX; sequence++) {
        ck_assert_int_ne(
            JobCopies_Settle(&copies, JOB_REQUEST_SUBMIT, sequence, 503, true),
            JOB_COPIES_ANSWER);
    }
    ck_assert(JobCopies_MayBeDone(&copies));
}
END_TEST

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

/* One random history of copies. Each copy is carried out or not, and its
 * receiver replies truthfully, or that it does not know, or never. */
static void
play_history(uint64_t seed)
{
    JobCopies copies = {.count = 0};
    static const int refusals[] = {503, 429, 401, 409};
    bool done[MAX_SENT];
    bool any_done = false;
    uint64_t sent = 0;
    Rng rng;

    Rng_Seed(&rng, seed);
    while (sent < MAX_SENT) {
        uint64_t sequence = sent > 0 ? Rng_Below(&rng, (uint32_t)sent) : 0;
        JobCopiesVerdict verdict = JOB_COPIES_WAIT;
        bool refusal = false;
        bool settled = true;
        int status;
        if (sent == 0 || Rng_Below(&rng, 3) == 0) {
            done[sent] = Rng_Below(&rng, 4) == 0;
            any_done = any_done || done[sent];
            JobCopies_Add(&copies, sent++, Rng_Below(&rng, LEADERS));
            settled = false;
        }
        else if (Rng_Below(&rng, 4) == 0) {
            verdict = JobCopies_LosePeer(&copies, Rng_Below(&rng, LEADERS));
            ck_assert_int_ne(verdict, JOB_COPIES_ANSWER);
        }
        else if (JobCopies_Has(&copies, sequence)) {
            bool knows = Rng_Below(&rng, 4) != 0;
            refusal = knows && !done[sequence];
            status = refusal ? refusals[Rng_Below(&rng, 4)] : 200;
            verdict = JobCopies_Settle(&copies, JOB_REQUEST_SUBMIT, sequence,
                                       knows ? status : 504,
                                       Rng_Below(&rng, 2) == 0);
        }
        else {
            settled = false;
        }
        ck_assert_msg(verdict != JOB_COPIES_ANSWER || !refusal || !any_done,
                      "seed %llu: refused, but a copy is carried out",
                      (unsigned long long)seed);
        if (verdict == JOB_COPIES_ANSWER || verdict == JOB_COPIES_UNKNOWN) {
            return;
        }
        ck_assert(JobCopies_MayBeDone(&copies) || !any_done);
        ck_assert_msg(
            verdict != JOB_COPIES_WAIT || !settled || has_open_copy(&copies),
            "seed %llu: waits without an open copy", (unsigned long long)seed);
    }
}

START_TEST(random_histories_keep_refusals)
{
    uint64_t seed;

    for (seed = 1; seed <= RANDOM_SEEDS; seed++) {
        play_history(seed);
    }
}
END_TEST

Suite *
Test_Suite(void)
{
    Suite *suite = suite_create("jobcopies");
    TCase *tcase = tcase_create("jobcopies");

    tcase_add_loop_test(tcase, refusal_needs_all_copies_refused, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, dropped_copy_is_not_forgotten);
    tcase_add_test(tcase, random_histories_keep_refusals);
    suite_add_tcase(suite, tcase);
    return suite;
}
