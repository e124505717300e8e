#include "retry.h"

static void
refill_budget(RetryBudget *budget, int64_t now_ms)
{
    if (!budget->initialized) {
        budget->initialized = true;
        budget->refilled_ms = now_ms;
        budget->tokens = RETRY_REFILL_PER_S;
    }
    budget->tokens +=
        (double)(now_ms - budget->refilled_ms) * RETRY_REFILL_PER_S / 1000.0;
    budget->refilled_ms = now_ms;
    if (budget->tokens > RETRY_MAX_TOKENS) {
        budget->tokens = RETRY_MAX_TOKENS;
    }
}

void
Retry_CountRequest(RetryBudget *budget, int64_t now_ms, uint32_t percent)
{
    budget->tokens += percent / 100.0;
    refill_budget(budget, now_ms);
}

static void
add_failed_target(RetryState *state, uint32_t target)
{
    uint32_t i;

    state->failed_attempts++;
    for (i = 0; i < state->failed_targets; i++) {
        if (state->targets[i] == target) {
            return;
        }
    }
    if (state->failed_targets == RETRY_MAX_FAILED_TARGETS) {
        return;
    }
    /* The array holds the failed targets, then the refusing ones. The first
     * refusing target moves to the end to make room for a failed one. */
    state->targets[state->failed_targets + state->refused_targets] =
        state->targets[state->failed_targets];
    state->targets[state->failed_targets++] = target;
}

static void
add_refused_target(RetryState *state, uint32_t target)
{
    uint32_t position = state->failed_targets;

    state->refusals++;
    if (state->refused_targets < RETRY_MAX_REFUSED_TARGETS) {
        position += state->refused_targets++;
    }
    else {
        position += state->refusals % RETRY_MAX_REFUSED_TARGETS;
    }
    state->targets[position] = target;
}

RetryDecision
Retry_Decide(RetryState *state, RetryBudget *budget, const RetryInput *input)
{
    bool deadline_passed = input->now_ms >= input->deadline_ms;

    if (input->result == TRAFFIC_REFUSED) {
        add_refused_target(state, input->target);
        return state->refusals >= RETRY_MAX_REFUSALS ? RETRY_REFUSED
               : deadline_passed                     ? RETRY_DEADLINE_PASSED
                                                     : RETRY_ALLOWED;
    }
    add_failed_target(state, input->target);
    if (input->unrepeatable) {
        return RETRY_FORBIDDEN;
    }
    if (state->failed_targets >= input->unable_targets) {
        return RETRY_UNABLE;
    }
    if (state->failed_attempts >= 2 * input->unable_targets) {
        return RETRY_FORBIDDEN;
    }
    if (deadline_passed) {
        return RETRY_DEADLINE_PASSED;
    }
    refill_budget(budget, input->now_ms);
    if (budget->tokens < 1.0) {
        return RETRY_BUDGET_SPENT;
    }
    budget->tokens -= 1.0;
    return RETRY_ALLOWED;
}
