#include "httpbudget.h"

static void
unlink_holder(HttpBudget *budget, HttpHolder *holder)
{
    if (holder->previous != NULL) {
        holder->previous->next = holder->next;
    }
    else {
        budget->first[holder->state] = holder->next;
    }
    if (holder->next != NULL) {
        holder->next->previous = holder->previous;
    }
    else {
        budget->last[holder->state] = holder->previous;
    }
}

static void
link_holder(HttpBudget *budget, HttpHolder *holder)
{
    holder->next = NULL;
    holder->previous = budget->last[holder->state];
    if (holder->previous != NULL) {
        holder->previous->next = holder;
    }
    else {
        budget->first[holder->state] = holder;
    }
    budget->last[holder->state] = holder;
}

void
HttpBudget_Open(HttpBudget *budget, HttpHolder *holder, int64_t now)
{
    holder->state = HTTP_HOLDER_NEW;
    holder->bytes = 0;
    holder->opened_ms = now;
    holder->progress_ms = now;
    holder->counted = true;
    budget->connections++;
    link_holder(budget, holder);
}

void
HttpBudget_Close(HttpBudget *budget, HttpHolder *holder)
{
    if (holder->counted) {
        unlink_holder(budget, holder);
        budget->connections--;
        budget->bytes -= holder->bytes;
        holder->bytes = 0;
        holder->counted = false;
    }
}

void
HttpBudget_SetState(HttpBudget *budget, HttpHolder *holder,
                    HttpHolderState state, int64_t now)
{
    if (!holder->counted) {
        return;
    }
    unlink_holder(budget, holder);
    if (holder->state != state &&
        (holder->state == HTTP_HOLDER_KEPT || state == HTTP_HOLDER_KEPT)) {
        holder->opened_ms = now;
    }
    holder->state = state;
    holder->progress_ms = now;
    link_holder(budget, holder);
}

void
HttpBudget_SetBytes(HttpBudget *budget, HttpHolder *holder, size_t bytes)
{
    if (holder->counted) {
        budget->bytes += bytes - holder->bytes;
        holder->bytes = bytes;
    }
}

bool
HttpBudget_HasRoom(const HttpBudget *budget, size_t bytes)
{
    return budget->bytes <= budget->max_bytes &&
           bytes <= budget->max_bytes - budget->bytes;
}

/* Returns the one of two connections, each of which may be NULL, that has been
 * longer without progress. */
static HttpHolder *
get_older(HttpHolder *a, HttpHolder *b)
{
    if (a == NULL || b == NULL) {
        return a != NULL ? a : b;
    }
    return b->progress_ms < a->progress_ms ? b : a;
}

HttpHolder *
HttpBudget_FindOldest(const HttpBudget *budget, const HttpHolder *except)
{
    HttpHolder *oldest = NULL;
    int state;

    for (state = 0; state < HTTP_HOLDER_STATE_COUNT; state++) {
        HttpHolder *first = budget->first[state];
        if (first != NULL && first == except) {
            first = first->next;
        }
        if (state != HTTP_HOLDER_BUSY) {
            oldest = get_older(oldest, first);
        }
    }
    return oldest;
}

HttpHolder *
HttpBudget_FindExcess(const HttpBudget *budget, HttpHolder *newest)
{
    HttpHolder *oldest;

    if (budget->connections <= budget->max_connections) {
        return NULL;
    }
    oldest = HttpBudget_FindOldest(budget, newest);
    return oldest != NULL ? oldest : newest;
}

static bool
is_inactive(const HttpHolder *holder, int64_t now)
{
    return now - holder->progress_ms >= HTTP_BUDGET_ACTIVE_MS ||
           now - holder->opened_ms >= HTTP_BUDGET_SLOW_MS;
}

static HttpHolder *
find_inactive(HttpHolder *first, const HttpHolder *except, int64_t now)
{
    HttpHolder *at;

    for (at = first; at != NULL; at = at->next) {
        if (at != except && at->bytes > 0 && is_inactive(at, now)) {
            return at;
        }
    }
    return NULL;
}

HttpHolder *
HttpBudget_FindInactive(const HttpBudget *budget, const HttpHolder *holder,
                        int64_t now)
{
    return get_older(
        find_inactive(budget->first[HTTP_HOLDER_READING], holder, now),
        find_inactive(budget->first[HTTP_HOLDER_SENDING], holder, now));
}

HttpHolder *
HttpBudget_FindTimedOut(const HttpBudget *budget, int64_t now)
{
    HttpHolder *first = budget->first[HTTP_HOLDER_NEW];

    if (first != NULL &&
        now - first->progress_ms >= budget->header_timeout_ms) {
        return first;
    }
    first = budget->first[HTTP_HOLDER_READING];
    if (first != NULL && now - first->progress_ms >= budget->body_timeout_ms) {
        return first;
    }
    return NULL;
}

const char *
HttpBudget_GetCauseName(HttpBudgetCause cause)
{
    static const char *const names[HTTP_CAUSE_COUNT] = {
        [HTTP_CLOSED_CONNECTIONS] = "connections",
        [HTTP_CLOSED_BYTES] = "bytes",
        [HTTP_CLOSED_IDLE] = "idle",
        [HTTP_REFUSED_TOO_LARGE] = "too_large",
        [HTTP_REFUSED_BUSY] = "busy",
    };

    return names[cause];
}
