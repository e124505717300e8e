#include "state_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

static StatePathRow *
find_or_add_path(State *state, const char *path)
{
    StatePathRow *row = StrMap_Get(state->paths, path);

    if (row == NULL) {
        row = Mem_New(1, sizeof(*row));
        snprintf(row->path, sizeof(row->path), "%s", path);
        StrMap_Put(state->paths, row->path, row);
    }
    return row;
}

/* Removes a row from the list of deletions. */
static void
unlink_deletion(State *state, StatePathRow *row)
{
    if (row->older != NULL) {
        row->older->newer = row->newer;
    }
    else {
        state->oldest_deletion = row->newer;
    }
    if (row->newer != NULL) {
        row->newer->older = row->older;
    }
    else {
        state->newest_deletion = row->older;
    }
    row->older = NULL;
    row->newer = NULL;
    row->deleted = false;
    state->deletion_count--;
}

void
StateImpl_MarkPathSet(State *state, const char *path, uint64_t version)
{
    StatePathRow *row = find_or_add_path(state, path);

    if (row->deleted) {
        unlink_deletion(state, row);
    }
    row->version = version;
}

void
StateImpl_MarkPathDeleted(State *state, const char *path, uint64_t version)
{
    StatePathRow *row = find_or_add_path(state, path);

    if (row->deleted) {
        unlink_deletion(state, row);
    }
    row->version = version;
    row->deleted = true;
    row->older = state->newest_deletion;
    if (row->older != NULL) {
        row->older->newer = row;
    }
    else {
        state->oldest_deletion = row;
    }
    state->newest_deletion = row;
    state->deletion_count++;
    if (state->deletion_count > STATE_MAX_DELETED_PATHS) {
        StatePathRow *oldest = state->oldest_deletion;
        state->deletion_floor = oldest->version;
        unlink_deletion(state, oldest);
        StrMap_Remove(state->paths, oldest->path);
        free(oldest);
    }
}

uint64_t
State_GetPathVersion(const State *state, const char *path)
{
    const StatePathRow *row = StrMap_Get(state->paths, path);

    return row != NULL ? row->version : 0;
}

const StateAnswer *
StateImpl_FindAnswer(const State *state, const char *key)
{
    return StrMap_Get(state->answers, key);
}

void
StateImpl_AddAnswer(State *state, const char *key, uint64_t digest,
                    const char *bytes, size_t len)
{
    StateAnswer *answer;

    if (state->answer_ring_count == STATE_MAX_ANSWERS) {
        StateAnswer *oldest = state->answer_ring[state->answer_ring_start];
        StrMap_Remove(state->answers, oldest->key);
        free(oldest->bytes);
        free(oldest);
        state->answer_ring_start =
            (state->answer_ring_start + 1) % STATE_MAX_ANSWERS;
        state->answer_ring_count--;
    }
    answer = Mem_New(1, sizeof(*answer));
    snprintf(answer->key, sizeof(answer->key), "%s", key);
    answer->digest = digest;
    answer->len = len;
    answer->bytes = Mem_New(len, 1);
    memcpy(answer->bytes, bytes, len);
    state->answer_ring[(state->answer_ring_start + state->answer_ring_count) %
                       STATE_MAX_ANSWERS] = answer;
    state->answer_ring_count++;
    StrMap_Put(state->answers, answer->key, answer);
}
