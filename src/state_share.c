#include "state_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

StateShare *
StateImpl_FindShare(const StatePool *pool, const char *data_centre)
{
    size_t i;

    for (i = 0; i < pool->share_count; i++) {
        if (strcmp(pool->shares[i].data_centre, data_centre) == 0) {
            return &pool->shares[i];
        }
    }
    return NULL;
}

StateShare *
StateImpl_AddShare(StatePool *pool, const char *data_centre)
{
    StateShare *share = StateImpl_FindShare(pool, data_centre);
    size_t at = pool->share_count;

    if (share != NULL) {
        return share;
    }
    share = realloc(pool->shares, (at + 1) * sizeof(*share));
    if (share == NULL) {
        abort();
    }
    pool->shares = share;
    while (at > 0 && strcmp(share[at - 1].data_centre, data_centre) > 0) {
        share[at] = share[at - 1];
        at--;
    }
    memset(&share[at], 0, sizeof(share[at]));
    snprintf(share[at].data_centre, sizeof(share[at].data_centre), "%s",
             data_centre);
    pool->share_count++;
    return &share[at];
}

int64_t
State_ShareLimit(const StateShare *share)
{
    return (int64_t)(share->granted - share->released);
}

static int64_t
limit_sum(const StatePool *pool)
{
    int64_t sum = 0;
    size_t i;

    for (i = 0; i < pool->share_count; i++) {
        sum += State_ShareLimit(&pool->shares[i]);
    }
    return sum;
}

int64_t
State_PoolBudget(const StatePool *pool)
{
    int64_t sum = limit_sum(pool);

    return sum > pool->max_unavailable ? sum : pool->max_unavailable;
}

static bool
has_keeper(const State *state, const StateShare *share)
{
    const StateDataCentre *centre =
        StrMap_Get(state->data_centres, share->data_centre);

    return centre != NULL && centre->keeper[0] != '\0';
}

/* What one share may still take in a round of apportion. */
static int64_t
room(const State *state, const StateShare *share, bool by_demand)
{
    if (share->vms == 0 || !has_keeper(state, share)) {
        return 0;
    }
    if (by_demand) {
        return share->asked > share->wanted ? share->asked - share->wanted : 0;
    }
    return INT64_MAX;
}

/* Returns whether the next unit goes to a rather than to b: the one with
 * more VMs a unit then (highest averages, D'Hondt). */
static bool
comes_first(const StateShare *a, const StateShare *b)
{
    return (int64_t)a->vms * (b->wanted + 1) >
           (int64_t)b->vms * (a->wanted + 1);
}

/* Adds to wanted by VMs in proportion, at most the room of each share.
 * Returns what is left over. */
static int64_t
apportion(const State *state, StatePool *pool, int64_t budget, bool by_demand)
{
    while (budget > 0) {
        int64_t weight = 0;
        int64_t given = 0;
        StateShare *first = NULL;
        size_t i;
        for (i = 0; i < pool->share_count; i++) {
            if (room(state, &pool->shares[i], by_demand) > 0) {
                weight += pool->shares[i].vms;
            }
        }
        if (weight == 0) {
            break;
        }
        for (i = 0; i < pool->share_count; i++) {
            StateShare *share = &pool->shares[i];
            int64_t limit = room(state, share, by_demand);
            int64_t quota = budget * share->vms / weight;
            if (limit == 0) {
                continue;
            }
            quota = quota < limit ? quota : limit;
            share->wanted += quota;
            given += quota;
            if (first == NULL || comes_first(share, first)) {
                first = share;
            }
        }
        if (given == 0 && first != NULL) {
            first->wanted++;
            given = 1;
        }
        budget -= given;
    }
    return budget;
}

void
StateImpl_Settle(State *state, StatePool *pool)
{
    int64_t budget = pool->max_unavailable;
    int64_t unused = pool->max_unavailable - limit_sum(pool);
    size_t i;

    /* Nobody can lower the share of a data centre without a keeper. */
    for (i = 0; i < pool->share_count; i++) {
        StateShare *share = &pool->shares[i];
        share->wanted = 0;
        if (!has_keeper(state, share)) {
            share->wanted = State_ShareLimit(share);
            budget -= share->wanted;
        }
    }
    budget = apportion(state, pool, budget, true);
    apportion(state, pool, budget, false);
    for (i = 0; i < pool->share_count && unused > 0; i++) {
        StateShare *share = &pool->shares[i];
        int64_t missing = share->wanted - State_ShareLimit(share);
        if (missing > 0) {
            int64_t grant = missing < unused ? missing : unused;
            share->granted += (uint64_t)grant;
            unused -= grant;
        }
    }
}

/* Finds the share that a keeper's command names, or refuses. */
static StateShare *
keeper_share(State *state, const StateCmd *command, StatePool **pool,
             StateResult *result)
{
    const StateDataCentre *centre =
        StrMap_Get(state->data_centres, command->data_centre);
    StateShare *share;

    *pool = StrMap_Get(state->pools, command->pool);
    if (*pool == NULL || (*pool)->number != command->pool_number) {
        StateImpl_Refuse(result, ST_STALE,
                         "pool %s is not that of number %llu", command->pool,
                         (unsigned long long)command->pool_number);
        return NULL;
    }
    share = StateImpl_FindShare(*pool, command->data_centre);
    if (centre == NULL || share == NULL) {
        StateImpl_Refuse(result, ST_NOT_FOUND, "pool %s has no share in %s",
                         command->pool, command->data_centre);
        return NULL;
    }
    if (centre->keeper_epoch != command->keeper_epoch) {
        StateImpl_Refuse(result, ST_STALE, "the keeper's epoch in %s is %llu",
                         centre->name,
                         (unsigned long long)centre->keeper_epoch);
        return NULL;
    }
    return share;
}

Status
StateImpl_ReleaseShare(State *state, const StateCmd *command,
                       StateResult *result)
{
    StatePool *pool;
    StateShare *share = keeper_share(state, command, &pool, result);

    if (share == NULL) {
        return result->status;
    }
    if (command->units <= share->released) {
        return StateImpl_Accept(result, "released before");
    }
    if (command->units > share->granted) {
        return StateImpl_Refuse(result, ST_INVALID,
                                "only %llu units were ever granted",
                                (unsigned long long)share->granted);
    }
    share->released = command->units;
    StateImpl_Settle(state, pool);
    return ST_OK;
}

Status
StateImpl_AskShare(State *state, const StateCmd *command, StateResult *result)
{
    StatePool *pool;
    StateShare *share = keeper_share(state, command, &pool, result);

    if (share == NULL) {
        return result->status;
    }
    if (command->units > STATE_MAX_SHARE) {
        return StateImpl_Refuse(result, ST_INVALID, "at most %d units",
                                STATE_MAX_SHARE);
    }
    share->asked = (int64_t)command->units;
    StateImpl_Settle(state, pool);
    return ST_OK;
}
