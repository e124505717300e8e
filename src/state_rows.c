#include "state_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

void
StateImpl_InitMaps(State *state)
{
    state->data_centres = StrMap_New();
    state->pools = StrMap_New();
    state->services = StrMap_New();
    state->teams = StrMap_New();
    state->limits = StrMap_New();
    state->members = StrMap_New();
    state->vms = StrMap_New();
    state->moves = StrMap_New();
    state->waves = StrMap_New();
    state->paths = StrMap_New();
    state->answers = StrMap_New();
}

void
StateImpl_FreeMove(StateMove *move)
{
    if (move != NULL) {
        free(move->acks);
        free(move);
    }
}

void
StateImpl_FreeWave(StateWave *wave)
{
    free(wave->vms);
    free(wave);
}

void
StateImpl_FreeRows(State *state)
{
    size_t i;

    for (i = 0; i < StrMap_Count(state->vms); i++) {
        StateVm *vm = StrMap_At(state->vms, i);
        StateImpl_FreeMove(vm->move);
    }
    for (i = 0; i < StrMap_Count(state->pools); i++) {
        StatePool *pool = StrMap_At(state->pools, i);
        free(pool->shares);
    }
    for (i = 0; i < StrMap_Count(state->data_centres); i++) {
        StateDataCentre *centre = StrMap_At(state->data_centres, i);
        free(centre->members);
    }
    for (i = 0; i < StrMap_Count(state->waves); i++) {
        StateWave *wave = StrMap_At(state->waves, i);
        free(wave->vms);
    }
    for (i = 0; i < StrMap_Count(state->answers); i++) {
        StateAnswer *answer = StrMap_At(state->answers, i);
        free(answer->bytes);
    }
    StrMap_Free(state->moves);
    StrMap_FreeAll(state->vms);
    StrMap_FreeAll(state->members);
    StrMap_FreeAll(state->data_centres);
    StrMap_FreeAll(state->pools);
    StrMap_FreeAll(state->services);
    StrMap_FreeAll(state->teams);
    StrMap_FreeAll(state->limits);
    StrMap_FreeAll(state->waves);
    StrMap_FreeAll(state->paths);
    StrMap_FreeAll(state->answers);
}

StrMap *
StateImpl_GetSection(const State *state, StateSection section)
{
    StrMap *const maps[] = {state->pools, state->services, state->teams,
                            state->limits};

    return maps[section];
}

static size_t
get_row_bytes(StateSection section)
{
    static const size_t bytes[] = {sizeof(StatePool), sizeof(StateService),
                                   sizeof(StateTeam), sizeof(StateLimit)};

    return bytes[section];
}

void *
StateImpl_AddRow(State *state, StateSection section, const char *name)
{
    StrMap *map = StateImpl_GetSection(state, section);
    char *row = StrMap_Get(map, name);
    const StateField *fields;
    size_t count;
    size_t i;

    if (row != NULL) {
        return row;
    }
    row = Mem_New(1, get_row_bytes(section));
    /* The name is the first member of each row. */
    snprintf(row, STATE_NAME_BYTES, "%s", name);
    fields = StatePath_GetFields(&count);
    for (i = 0; i < count; i++) {
        StateValue default_value = {fields[i].default_value, ""};
        if (fields[i].section == section) {
            StateImpl_SetField(row, &fields[i], &default_value);
        }
    }
    if (section == STATE_POOLS) {
        StatePool *pool = (StatePool *)(void *)row;
        pool->number = state->applied;
    }
    StrMap_Put(map, row, row);
    return row;
}

void
StateImpl_RemoveRow(State *state, StateSection section, const char *name)
{
    void *row = StrMap_Remove(StateImpl_GetSection(state, section), name);

    if (row != NULL && section == STATE_POOLS) {
        free(((StatePool *)row)->shares);
    }
    free(row);
}

StateDataCentre *
StateImpl_AddDataCentre(State *state, const char *name)
{
    StateDataCentre *centre = StrMap_Get(state->data_centres, name);

    if (centre == NULL &&
        StrMap_Count(state->data_centres) < STATE_MAX_DATA_CENTRES) {
        centre = Mem_New(1, sizeof(*centre));
        snprintf(centre->name, sizeof(centre->name), "%s", name);
        StrMap_Put(state->data_centres, centre->name, centre);
    }
    return centre;
}

void
StateImpl_AttachMember(State *state, StateMember *member,
                       StateDataCentre *centre)
{
    size_t position = centre->member_count;
    StateMember **members;

    members =
        Mem_Resize(centre->members, (position + 1) * sizeof(StateMember *));
    while (position > 0 &&
           strcmp(members[position - 1]->name, member->name) > 0) {
        members[position] = members[position - 1];
        position--;
    }
    members[position] = member;
    centre->members = members;
    centre->member_count++;
    member->data_centre = centre->name;
    StrMap_Put(state->members, member->name, member);
}

void
StateImpl_GetField(const void *row, const StateField *field, StateValue *value)
{
    const char *field_data = (const char *)row + field->offset;

    memset(value, 0, sizeof(*value));
    if (field->kind == STATE_VALUE_NAME) {
        snprintf(value->name, sizeof(value->name), "%s", field_data);
    }
    else {
        value->number = *(const int64_t *)(const void *)field_data;
    }
}

void
StateImpl_SetField(void *row, const StateField *field, const StateValue *value)
{
    char *field_data = (char *)row + field->offset;

    if (field->kind == STATE_VALUE_NAME) {
        snprintf(field_data, STATE_NAME_BYTES, "%s", value->name);
    }
    else {
        *(int64_t *)(void *)field_data = value->number;
    }
}
