#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "state_impl.h"

#define DEFINE_QUERIES(type, section, rows)                                   \
    const type *State_##section(const State *state, const char *name)         \
    {                                                                         \
        return StrMap_Get(state->rows, name);                                 \
    }                                                                         \
    size_t State_##section##Count(const State *state)                         \
    {                                                                         \
        return StrMap_Count(state->rows);                                     \
    }                                                                         \
    const type *State_##section##At(const State *state, size_t i)             \
    {                                                                         \
        return StrMap_At(state->rows, i);                                     \
    }

DEFINE_QUERIES(StatePool, Pool, pools)
DEFINE_QUERIES(StateService, Service, services)
DEFINE_QUERIES(StateTeam, Team, teams)
DEFINE_QUERIES(StateLimit, Limit, limits)
DEFINE_QUERIES(StateVm, Vm, vms)
DEFINE_QUERIES(StateMember, Member, members)
DEFINE_QUERIES(StateWave, Wave, waves)
DEFINE_QUERIES(StateDataCentre, DataCentre, data_centres)

const StateShare *
State_FindShare(const State *state, const char *pool, const char *data_centre)
{
    const StatePool *row = StrMap_Get(state->pools, pool);

    return row != NULL ? StateImpl_FindShare(row, data_centre) : NULL;
}

size_t
State_MoveCount(const State *state)
{
    return StrMap_Count(state->moves);
}

const StateVm *
State_MoveAt(const State *state, size_t i)
{
    return StrMap_At(state->moves, i);
}

static void
append_value(const void *row, const StateField *field, Buf *out)
{
    StateValue value;

    StateImpl_GetField(row, field, &value);
    switch (field->kind) {
    case STATE_VALUE_NAME:
        Buf_Printf(out, "%s", value.name);
        break;
    case STATE_VALUE_BOOL:
        Buf_Printf(out, "%s", value.number ? "true" : "false");
        break;
    case STATE_VALUE_PERCENT:
        Buf_Printf(out, "%" PRId64 ".%03" PRId64, value.number / 1000,
                   value.number % 1000);
        break;
    default:
        Buf_Printf(out, "%" PRId64, value.number);
        break;
    }
}

bool
State_AppendPathValue(const State *state, const char *path, Buf *out)
{
    char reason[STATE_REASON_BYTES];
    StatePath parsed;
    const void *row;

    if (!StatePath_Parse(path, false, &parsed, reason)) {
        return false;
    }
    if (parsed.vm[0] != '\0') {
        const StateVm *vm = StrMap_Get(state->vms, parsed.vm);
        if (vm == NULL || strcmp(vm->pool, parsed.name) != 0) {
            return false;
        }
        Buf_Printf(out, "%s", vm->move != NULL ? "leaving" : "assigned");
        return true;
    }
    row = StrMap_Get(StateImpl_GetSection(state, parsed.section), parsed.name);
    if (row == NULL) {
        return false;
    }
    append_value(row, parsed.field, out);
    return true;
}

/* Appends the line of a field if its path begins with the prefix. */
static void
append_field_line(const char *prefix, StateSection section, const char *row,
                  const StateField *field, Buf *out)
{
    size_t begin = out->len;

    Buf_Printf(out, "%s/%s%s%s", StatePath_GetSectionName(section), row,
               field->name[0] ? "/" : "", field->name);
    if (strncmp(Buf_Text(out) + begin, prefix, strlen(prefix)) != 0) {
        out->len = begin;
        return;
    }
    Buf_Printf(out, ": ");
    append_value(row, field, out);
    Buf_Printf(out, "\n");
}

static void
append_section(const State *state, StateSection section, const char *prefix,
               Buf *out)
{
    const StrMap *map = StateImpl_GetSection(state, section);
    void **rows = StrMap_Sorted(map);
    const StateField *fields;
    size_t count;
    size_t i;
    size_t k;

    fields = StatePath_GetFields(&count);
    for (i = 0; i < StrMap_Count(map); i++) {
        for (k = 0; k < count; k++) {
            if (fields[k].section == section) {
                append_field_line(prefix, section, rows[i], &fields[k], out);
            }
        }
        if (section == STATE_LIMITS) {
            /* The field table has no entry for limits; parsing the path of
             * any limit gives the field that all limits share. */
            StatePath path;
            char reason[STATE_REASON_BYTES];
            StatePath_Parse("limits/x", false, &path, reason);
            append_field_line(prefix, section, rows[i], path.field, out);
        }
    }
    free(rows);
}

void
State_AppendConfig(const State *state, const char *prefix, Buf *out)
{
    append_section(state, STATE_LIMITS, prefix, out);
    append_section(state, STATE_POOLS, prefix, out);
    append_section(state, STATE_SERVICES, prefix, out);
    append_section(state, STATE_TEAMS, prefix, out);
}
