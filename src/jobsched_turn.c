#include "jobsched_impl.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* Assignments per command, which bounds the bytes of a log entry and the time
 * of a placement. The tasks of one gang may exceed it, by JOB_MAX_TASKS. */
#define TURN_MAX_BATCH 512
/* Assignments of one job before it is the turn of the next one. A job with as
 * many tasks that are assigned is large and waits for the others to have had
 * theirs: a target starts only some tasks at a time, and would otherwise start
 * all of that job first. */
#define TURN_JOB_QUANTUM 64
/* Turn of a large job whose tasks last, which has to get each of them. */
#define TURN_LASTING_QUANTUM 8
/* Assignments after which the tenant with the lowest share is looked for
 * again. The shares of tenants that wait differ by about as many tasks. */
#define TURN_SHARE_QUANTUM 4

/* The candidates of one tenant in one pool that are in the same band. */
typedef struct Group {
    SchedAccount *account;
    SchedCandidate *next;
    SchedCandidate *end;
} Group;

static int
compare_ranks(const void *a, const void *b)
{
    const SchedCandidate *left = a;
    const SchedCandidate *right = b;

    return SchedImpl_CompareRanks(&left->rank, &right->rank);
}

static int
compare_groups(const void *a, const void *b)
{
    const SchedCandidate *left = a;
    const SchedCandidate *right = b;

    if (left->band != right->band) {
        return left->band < right->band ? -1 : 1;
    }
    if (left->account != right->account) {
        return left->account < right->account ? -1 : 1;
    }
    return SchedImpl_CompareRanks(&left->rank, &right->rank);
}

void
SchedImpl_CollectCandidates(SchedPass *pass)
{
    size_t capacity = 0;
    Job *job;

    for (job = JobState_FirstActive(pass->sched->state); job != NULL;
         job = job->next) {
        if (!job->has_waiting || job->phase >= JOB_COMPLETED) {
            continue;
        }
        if (pass->count == capacity) {
            capacity = capacity * 2 + 64;
            pass->candidates = Mem_Resize(pass->candidates,
                                          capacity * sizeof(SchedCandidate));
        }
        pass->candidates[pass->count++] =
            (SchedCandidate){.job = job,
                             .rank = SchedImpl_RankJob(pass->sched, pass->now,
                                                       pass->wall_ms, job)};
    }
}

/* Returns the number of assignments in the turn of a job. */
static size_t
get_turn(const Job *job)
{
    if (job->assigned + job->sched_state.proposed < TURN_JOB_QUANTUM) {
        return TURN_JOB_QUANTUM;
    }
    return job->spec.steps[0].lasting ? TURN_LASTING_QUANTUM : 0;
}

static void
limit_turn(SchedPass *pass, size_t turn)
{
    size_t limit = pass->sched->batch_count + turn;

    pass->batch_limit = limit < TURN_MAX_BATCH ? limit : TURN_MAX_BATCH;
}

/* Gives each candidate a turn, the lowest rank first, and then fills the batch
 * with the tasks of those whose turn was too short. */
static void
place_by_rank(SchedPass *pass)
{
    const JobSched *sched = pass->sched;
    size_t i;

    for (i = 0; i < pass->count && sched->batch_count < TURN_MAX_BATCH; i++) {
        SchedCandidate *candidate = &pass->candidates[i];
        size_t turn = get_turn(candidate->job);
        limit_turn(pass, turn);
        candidate->interrupted =
            turn == 0 || SchedImpl_PlaceJob(pass, candidate->job);
    }
    pass->batch_limit = TURN_MAX_BATCH;
    for (i = 0; i < pass->count && sched->batch_count < TURN_MAX_BATCH; i++) {
        if (pass->candidates[i].interrupted) {
            SchedImpl_PlaceJob(pass, pass->candidates[i].job);
        }
    }
}

/* Skips the candidates of a group that have had their turn in this round. */
static bool
has_next(Group *group, bool second)
{
    while (group->next < group->end && second && !group->next->interrupted) {
        group->next++;
    }
    return group->next < group->end;
}

/* Returns the group with the lowest share, or NULL if none is left. Stores in
 * *alone whether no other group of its pool is left. */
static Group *
choose_group(Group *groups, size_t count, bool second, bool *alone)
{
    Group *best = NULL;
    size_t i;

    for (i = 0; i < count; i++) {
        if (has_next(&groups[i], second) &&
            (best == NULL || groups[i].account->share < best->account->share ||
             (groups[i].account->share == best->account->share &&
              SchedImpl_CompareRanks(&groups[i].next->rank,
                                     &best->next->rank) < 0))) {
            best = &groups[i];
        }
    }
    *alone = true;
    for (i = 0; i < count && best != NULL; i++) {
        *alone = *alone && (&groups[i] == best ||
                            groups[i].account->pool != best->account->pool ||
                            !has_next(&groups[i], second));
    }
    return best;
}

/* Gives the next candidate of a group a turn, and passes over it once it has
 * used up its turn of this round or has no task left that can be placed. */
static void
place_next(SchedPass *pass, Group *group, bool second, bool alone)
{
    SchedCandidate *candidate = group->next;
    size_t first = pass->sched->batch_count;
    size_t turn = TURN_MAX_BATCH;
    bool left = true;

    if (!second) {
        turn = get_turn(candidate->job);
        if (candidate->taken == 0) {
            candidate->turn = turn;
        }
        turn = candidate->turn > candidate->taken
                   ? candidate->turn - candidate->taken
                   : 0;
    }
    if (!alone && turn > TURN_SHARE_QUANTUM) {
        turn = TURN_SHARE_QUANTUM;
    }
    if (turn > 0) {
        limit_turn(pass, turn);
        left = SchedImpl_PlaceJob(pass, candidate->job);
    }
    candidate->taken += pass->sched->batch_count - first;
    SchedImpl_ChargeAccount(pass, group->account, first);
    if (!left || (!second && candidate->taken >= candidate->turn)) {
        candidate->interrupted = !second && left;
        group->next++;
    }
}

/* Gives the candidates of one band turns, always the tenant with the lowest
 * share first. A group keeps its turn while its share does not change. */
static void
place_band(SchedPass *pass, Group *groups, size_t count, bool second)
{
    const JobSched *sched = pass->sched;
    Group *group = NULL;
    bool alone = false;

    while (sched->batch_count < TURN_MAX_BATCH) {
        size_t before = sched->batch_count;
        if (group == NULL) {
            group = choose_group(groups, count, second, &alone);
        }
        if (group == NULL) {
            return;
        }
        place_next(pass, group, second, alone);
        if (sched->batch_count != before || !has_next(group, second)) {
            group = NULL;
        }
    }
}

/* Finds the groups of the band that begins at a candidate. Returns the first
 * candidate of the next band. */
static SchedCandidate *
list_groups(const SchedPass *pass, SchedCandidate *first, Group *groups,
            size_t *count)
{
    SchedCandidate *end = pass->candidates + pass->count;
    SchedCandidate *at = first;

    *count = 0;
    while (at < end && at->band == first->band) {
        if (at == first || at->account != at[-1].account) {
            groups[(*count)++] = (Group){at->account, at, at};
        }
        groups[*count - 1].end = ++at;
    }
    return at;
}

static void
place_by_share(SchedPass *pass)
{
    Group *groups = Mem_New(pass->account_count, sizeof(*groups));
    SchedCandidate *end = pass->candidates + pass->count;
    SchedCandidate *at;
    size_t count;
    int round;

    for (round = 0; round < 2; round++) {
        for (at = pass->candidates; at < end;) {
            at = list_groups(pass, at, groups, &count);
            place_band(pass, groups, count, round == 1);
        }
    }
    free(groups);
}

void
SchedImpl_PlaceCandidates(SchedPass *pass)
{
    size_t i;

    if (!SchedImpl_OpenAccounts(pass)) {
        if (pass->count > 1) {
            qsort(pass->candidates, pass->count, sizeof(SchedCandidate),
                  compare_ranks);
        }
        place_by_rank(pass);
        return;
    }
    for (i = 0; i < pass->count; i++) {
        pass->candidates[i].band =
            SchedImpl_GetBand(&pass->candidates[i].rank);
    }
    qsort(pass->candidates, pass->count, sizeof(SchedCandidate),
          compare_groups);
    place_by_share(pass);
    free(pass->accounts);
}
