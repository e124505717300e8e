#include "state_impl.h"

#include <stdio.h>
#include <string.h>

#include "mem.h"

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
    size_t position = pool->share_count;

    if (share != NULL) {
        return share;
    }
    share = Mem_Resize(pool->shares, (position + 1) * sizeof(*share));
    pool->shares = share;
    while (position > 0 &&
           strcmp(share[position - 1].data_centre, data_centre) > 0) {
        share[position] = share[position - 1];
        position--;
    }
    memset(&share[position], 0, sizeof(share[position]));
    snprintf(share[position].data_centre, sizeof(share[position].data_centre),
             "%s", data_centre);
    pool->share_count++;
    return &share[position];
}

int64_t
State_GetShareLimit(const StateShare *share)
{
    return (int64_t)(share->granted - share->released);
}

static int64_t
sum_share_limits(const StatePool *pool)
{
    int64_t sum = 0;
    size_t i;

    for (i = 0; i < pool->share_count; i++) {
        sum += State_GetShareLimit(&pool->shares[i]);
    }
    return sum;
}

int64_t
State_GetPoolBudget(const StatePool *pool)
{
    int64_t sum = sum_share_limits(pool);

    return sum > pool->max_unavailable ? sum : pool->max_unavailable;
}

static bool
has_keeper(const State *state, const StateShare *share)
{
    const StateDataCentre *centre =
        StrMap_Get(state->data_centres, share->data_centre);

    return centre != NULL && centre->keeper[0] != '\0';
}

/* Returns the upper bound of a share in one apportionment: the units that its
 * keeper requested if limit_to_asked, otherwise INT64_MAX. A share without VMs
 * or in a data centre without a keeper gets nothing. */
static int64_t
get_share_bound(const State *state, const StateShare *share,
                bool limit_to_asked)
{
    if (share->vms == 0 || !has_keeper(state, share)) {
        return 0;
    }
    return limit_to_asked ? share->asked : INT64_MAX;
}

/* Assigns each share its lower quota: its proportion of the budget by VMs,
 * rounded down. The highest-averages method gives no share less. Units that
 * exceed the bound of a share are divided among the others. */
static void
assign_lower_quotas(const StatePool *pool, const int64_t *bounds,
                    int64_t budget, int64_t *assigned)
{
    bool changed = true;

    while (changed) {
        int64_t weight = 0;
        int64_t remaining = budget;
        size_t i;
        changed = false;
        for (i = 0; i < pool->share_count; i++) {
            if (assigned[i] < bounds[i]) {
                weight += pool->shares[i].vms;
            }
            else {
                remaining -= assigned[i];
            }
        }
        for (i = 0; i < pool->share_count; i++) {
            if (assigned[i] < bounds[i]) {
                int64_t quota = remaining * pool->shares[i].vms / weight;
                quota = quota < bounds[i] ? quota : bounds[i];
                assigned[i] = quota > assigned[i] ? quota : assigned[i];
                changed = changed || assigned[i] == bounds[i];
            }
        }
    }
}

/* Apportions a budget by VMs with the highest-averages method of D'Hondt and
 * adds each share's units to its wanted. A tie goes to the first data centre
 * by name. Returns the units left over. */
static int64_t
apportion(const State *state, StatePool *pool, int64_t budget,
          bool limit_to_asked)
{
    int64_t bounds[STATE_MAX_DATA_CENTRES];
    int64_t assigned[STATE_MAX_DATA_CENTRES];
    size_t i;

    for (i = 0; i < pool->share_count; i++) {
        bounds[i] = get_share_bound(state, &pool->shares[i], limit_to_asked);
        assigned[i] = 0;
    }
    assign_lower_quotas(pool, bounds, budget, assigned);
    for (i = 0; i < pool->share_count; i++) {
        budget -= assigned[i];
    }
    while (budget > 0) {
        size_t best = pool->share_count;
        for (i = 0; i < pool->share_count; i++) {
            if (assigned[i] < bounds[i] &&
                (best == pool->share_count ||
                 pool->shares[i].vms * (assigned[best] + 1) >
                     pool->shares[best].vms * (assigned[i] + 1))) {
                best = i;
            }
        }
        if (best == pool->share_count) {
            break;
        }
        assigned[best]++;
        budget--;
    }
    for (i = 0; i < pool->share_count; i++) {
        pool->shares[i].wanted += assigned[i];
    }
    return budget;
}

void
StateImpl_RebalanceShares(State *state, StatePool *pool)
{
    int64_t budget = pool->max_unavailable;
    int64_t unallocated = pool->max_unavailable - sum_share_limits(pool);
    size_t i;

    /* Only a keeper can release units, so the share of a data centre without
     * a keeper keeps its size. */
    for (i = 0; i < pool->share_count; i++) {
        StateShare *share = &pool->shares[i];
        share->wanted = 0;
        if (!has_keeper(state, share)) {
            share->wanted = State_GetShareLimit(share);
            budget -= share->wanted;
        }
    }
    budget = apportion(state, pool, budget > 0 ? budget : 0, true);
    apportion(state, pool, budget, false);
    for (i = 0; i < pool->share_count && unallocated > 0; i++) {
        StateShare *share = &pool->shares[i];
        int64_t shortfall = share->wanted - State_GetShareLimit(share);
        if (shortfall > 0) {
            int64_t grant = shortfall < unallocated ? shortfall : unallocated;
            share->granted += (uint64_t)grant;
            unallocated -= grant;
        }
    }
}

/* Returns the share that a keeper's command names, or refuses the command and
 * returns NULL. */
static StateShare *
find_keeper_share(State *state, const StateCmd *command, StatePool **pool,
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
    StateShare *share = find_keeper_share(state, command, &pool, result);

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
    StateImpl_RebalanceShares(state, pool);
    return ST_OK;
}

Status
StateImpl_AskShare(State *state, const StateCmd *command, StateResult *result)
{
    StatePool *pool;
    StateShare *share = find_keeper_share(state, command, &pool, result);

    if (share == NULL) {
        return result->status;
    }
    if (command->units > STATE_MAX_SHARE_UNITS) {
        return StateImpl_Refuse(result, ST_INVALID, "at most %d units",
                                STATE_MAX_SHARE_UNITS);
    }
    share->asked = (int64_t)command->units;
    StateImpl_RebalanceShares(state, pool);
    return ST_OK;
}
