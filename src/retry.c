#include "retry.h"

static void
refill(RetryBudget *budget, int64_t now_ms)
{
    if (!budget->started) {
        budget->started = true;
        budget->filled_ms = now_ms;
        budget->tokens = RETRY_MIN_PER_S;
    }
    budget->tokens +=
        (double)(now_ms - budget->filled_ms) * RETRY_MIN_PER_S / 1000.0;
    budget->filled_ms = now_ms;
    if (budget->tokens > RETRY_BURST) {
        budget->tokens = RETRY_BURST;
    }
}

void
Retry_Fresh(RetryBudget *budget, int64_t now_ms, uint32_t percent)
{
    budget->tokens += percent / 100.0;
    refill(budget, now_ms);
}

static void
add_failed(RetryState *state, uint32_t target)
{
    uint32_t i;

    state->failures++;
    for (i = 0; i < state->failed; i++) {
        if (state->targets[i] == target) {
            return;
        }
    }
    if (state->failed == RETRY_MAX_FAILED) {
        return;
    }
    /* The first refusal kept makes room and goes last. */
    state->targets[state->failed + state->kept_refused] =
        state->targets[state->failed];
    state->targets[state->failed++] = target;
}

static void
add_refused(RetryState *state, uint32_t target)
{
    uint32_t place = state->failed;

    state->refusals++;
    if (state->kept_refused < RETRY_KEPT_REFUSED) {
        place += state->kept_refused++;
    }
    else {
        place += state->refusals % RETRY_KEPT_REFUSED;
    }
    state->targets[place] = target;
}

RetryVerdict
Retry_Decide(RetryState *state, RetryBudget *budget, const RetryInput *input)
{
    bool late = input->now_ms >= input->deadline_ms;

    if (input->result == TRAFFIC_REFUSED) {
        add_refused(state, input->target);
        return state->refusals >= RETRY_MAX_REFUSALS ? RETRY_REFUSED
               : late                                ? RETRY_LATE
                                                     : RETRY_AGAIN;
    }
    add_failed(state, input->target);
    if (input->unrepeatable) {
        return RETRY_FORBIDDEN;
    }
    if (state->failed >= input->unable_targets) {
        return RETRY_UNABLE;
    }
    if (state->failures >= 2 * input->unable_targets) {
        return RETRY_FORBIDDEN;
    }
    if (late) {
        return RETRY_LATE;
    }
    refill(budget, input->now_ms);
    if (budget->tokens < 1.0) {
        return RETRY_SPENT;
    }
    budget->tokens -= 1.0;
    return RETRY_AGAIN;
}
