#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#include "state_impl.h"

typedef struct Edit {
    const char *path_text;
    bool is_delete;
    StatePath path;
    StateValue value;
} Edit;

/* A patch under validation. Look-ups see the configuration as the patch would
 * leave it: they search the overlay first, then the rows. */
typedef struct PatchPlan {
    State *state;
    Edit *edits;
    size_t count;
    StrMap *overlay;     /* edits by path */
    StrMap *moves_by_vm; /* edits that move a VM, by its name */
} PatchPlan;

static void
format_path(char *out, StateSection section, const char *name,
            const char *field)
{
    snprintf(out, STATE_PATH_BYTES, "%s/%s%s%s",
             StatePath_GetSectionName(section), name, field[0] ? "/" : "",
             field);
}

static const Edit *
find_edit(const PatchPlan *plan, StateSection section, const char *name,
          const char *field)
{
    char path[STATE_PATH_BYTES];

    format_path(path, section, name, field);
    return StrMap_Get(plan->overlay, path);
}

static bool
is_whole_row(const Edit *edit)
{
    return edit->path.field == NULL;
}

static bool
is_move(const Edit *edit)
{
    return edit->path.vm[0] != '\0';
}

/* Returns whether a row of a section exists after the patch. */
static bool
will_exist(const PatchPlan *plan, StateSection section, const char *name)
{
    const StateField *fields;
    size_t count;
    size_t i;

    if (find_edit(plan, section, name, "") != NULL) {
        return false;
    }
    if (StrMap_Get(StateImpl_GetSection(plan->state, section), name) != NULL) {
        return true;
    }
    fields = StatePath_GetFields(&count);
    for (i = 0; i < count; i++) {
        const Edit *edit;
        if (fields[i].section != section) {
            continue;
        }
        edit = find_edit(plan, section, name, fields[i].name);
        if (edit != NULL && !edit->is_delete) {
            return true;
        }
    }
    return false;
}

/* Returns the min_size of a pool after the patch. */
static int64_t
get_planned_min_size(const PatchPlan *plan, const StatePool *pool)
{
    const Edit *edit = find_edit(plan, STATE_POOLS, pool->name, "min_size");

    return edit != NULL ? edit->value.number : pool->min_size;
}

static Status
parse_edits(PatchPlan *plan, const StateCmd *command, StateResult *result)
{
    char reason[STATE_REASON_BYTES] = "";
    size_t i;

    for (i = 0; i < command->edit_count; i++) {
        const PatchEdit *from = &command->edits[i];
        Edit *edit = &plan->edits[i];
        edit->path_text = from->path;
        edit->is_delete = from->is_delete;
        if (!StatePath_Parse(from->path, from->is_delete, &edit->path,
                             reason) ||
            (!from->is_delete &&
             !StatePath_ParseValue(&edit->path, from->value, &edit->value,
                                   reason))) {
            return StateImpl_Refuse(result, ST_INVALID, "%s: %s", from->path,
                                    reason);
        }
        if (edit->is_delete && !is_whole_row(edit)) {
            edit->value.number = edit->path.field->default_value;
        }
        if (StrMap_Get(plan->overlay, edit->path_text) != NULL ||
            (is_move(edit) &&
             StrMap_Get(plan->moves_by_vm, edit->path.vm) != NULL)) {
            return StateImpl_Refuse(result, ST_INVALID, "%s: stands twice",
                                    edit->path_text);
        }
        StrMap_Put(plan->overlay, edit->path_text, edit);
        if (is_move(edit)) {
            StrMap_Put(plan->moves_by_vm, edit->path.vm, edit);
        }
        plan->count++;
    }
    for (i = 0; i < plan->count; i++) {
        const Edit *edit = &plan->edits[i];
        if (!is_whole_row(edit) && edit->path.section != STATE_LIMITS &&
            find_edit(plan, edit->path.section, edit->path.name, "")) {
            return StateImpl_Refuse(result, ST_INVALID,
                                    "%s: the patch deletes the whole row",
                                    edit->path_text);
        }
    }
    return ST_OK;
}

static void
add_conflict(StateResult *result, const char *path)
{
    if (result->conflict_count < STATE_MAX_CONFLICTS) {
        snprintf(result->conflicts[result->conflict_count], STATE_PATH_BYTES,
                 "%s", path);
        result->conflict_count++;
    }
}

/* Adds the conflicting paths of one edit; returns their count. */
static size_t
add_path_conflicts(const State *state, uint64_t base, const Edit *edit,
                   StateResult *result)
{
    const StateField *fields;
    size_t conflicts = 0;
    size_t count;
    size_t i;

    if (is_move(edit)) {
        const StateVm *vm = StrMap_Get(state->vms, edit->path.vm);
        conflicts = vm != NULL && vm->changed > base;
    }
    else if (!is_whole_row(edit)) {
        conflicts = State_GetPathVersion(state, edit->path_text) > base;
    }
    if (!is_whole_row(edit)) {
        if (conflicts > 0) {
            add_conflict(result, edit->path_text);
        }
        return conflicts;
    }
    fields = StatePath_GetFields(&count);
    for (i = 0; i < count; i++) {
        char path[STATE_PATH_BYTES];
        format_path(path, edit->path.section, edit->path.name, fields[i].name);
        if (fields[i].section == edit->path.section &&
            State_GetPathVersion(state, path) > base) {
            add_conflict(result, path);
            conflicts++;
        }
    }
    return conflicts;
}

/* Checks that each section stays within the row limit of a snapshot. */
static Status
check_row_limits(const PatchPlan *plan, StateResult *result)
{
    size_t section;

    for (section = STATE_POOLS; section <= STATE_LIMITS; section++) {
        const StrMap *rows =
            StateImpl_GetSection(plan->state, (StateSection)section);
        if (StrMap_Count(rows) + plan->count > STATE_MAX_ROWS) {
            return StateImpl_Refuse(
                result, ST_FULL, "too many %s",
                StatePath_GetSectionName((StateSection)section));
        }
    }
    return ST_OK;
}

static Status
check_conflicts(const PatchPlan *plan, uint64_t base, StateResult *result)
{
    size_t conflicts = 0;
    size_t i;

    if (base > plan->state->version) {
        return StateImpl_Refuse(
            result, ST_INVALID, "base %llu is newer than the version %llu",
            (unsigned long long)base, (unsigned long long)result->version);
    }
    if (base < plan->state->deletion_floor) {
        return StateImpl_Refuse(
            result, ST_CONFLICT,
            "base %llu is older than the retained history, from %llu on",
            (unsigned long long)base,
            (unsigned long long)plan->state->deletion_floor);
    }
    for (i = 0; i < plan->count; i++) {
        conflicts +=
            add_path_conflicts(plan->state, base, &plan->edits[i], result);
    }
    if (conflicts > 0) {
        return StateImpl_Refuse(result, ST_CONFLICT,
                                "%zu paths changed after base %llu", conflicts,
                                (unsigned long long)base);
    }
    return ST_OK;
}

/* Checks that no remaining row refers to a row that the patch deletes.
 * Services refer to pools, and pools to services. */
static Status
check_not_referenced(const PatchPlan *plan, const Edit *edit,
                     StateResult *result)
{
    bool is_pool = edit->path.section == STATE_POOLS;
    StateSection section = is_pool ? STATE_SERVICES : STATE_POOLS;
    const char *field = is_pool ? "pool" : "service";
    const StrMap *rows = StateImpl_GetSection(plan->state, section);
    const char *first_row = NULL;
    size_t i;

    for (i = 0; i < StrMap_Count(rows); i++) {
        const char *row = StrMap_At(rows, i); /* name: first member of a row */
        const char *referenced =
            is_pool ? ((const StateService *)(const void *)row)->pool
                    : ((const StatePool *)(const void *)row)->service;
        if (strcmp(referenced, edit->path.name) == 0 &&
            find_edit(plan, section, row, field) == NULL &&
            find_edit(plan, section, row, "") == NULL &&
            (first_row == NULL || strcmp(row, first_row) < 0)) {
            first_row = row;
        }
    }
    if (first_row != NULL) {
        return StateImpl_Refuse(
            result, ST_INVALID, "%s: %s/%s/%s refers to it", edit->path_text,
            StatePath_GetSectionName(section), first_row, field);
    }
    return ST_OK;
}

static Status
check_delete(const PatchPlan *plan, const Edit *edit, StateResult *result)
{
    const void *row =
        StrMap_Get(StateImpl_GetSection(plan->state, edit->path.section),
                   edit->path.name);

    if (row == NULL) {
        return StateImpl_Refuse(result, ST_NOT_FOUND, "%s: there is none",
                                edit->path_text);
    }
    if (!is_whole_row(edit) || edit->path.section == STATE_TEAMS) {
        return ST_OK;
    }
    if (edit->path.section == STATE_POOLS) {
        const StatePool *pool = row;
        if (pool->vms > 0 || pool->moves_in > 0) {
            return StateImpl_Refuse(
                result, ST_INVALID,
                "%s: %u VMs are in the pool and %u move to it",
                edit->path_text, pool->vms, pool->moves_in);
        }
    }
    return check_not_referenced(plan, edit, result);
}

/* Checks a move and counts it in moves_out, so that the checks of later moves
 * in the same patch see it. The caller reverts the count. */
static Status
reserve_move(const PatchPlan *plan, const Edit *edit, StateResult *result)
{
    const StateVm *vm = StrMap_Get(plan->state->vms, edit->path.vm);
    StatePool *from;
    Status status;

    if (vm == NULL) {
        return StateImpl_Refuse(result, ST_NOT_FOUND, "%s: no such VM",
                                edit->path_text);
    }
    if (!will_exist(plan, STATE_POOLS, edit->path.name)) {
        return StateImpl_Refuse(result, ST_NOT_FOUND, "%s: no such pool",
                                edit->path_text);
    }
    from = StrMap_Get(plan->state->pools, vm->pool);
    status = StateImpl_CheckMove(plan->state, vm, edit->path.name,
                                 get_planned_min_size(plan, from), result);
    if (status == ST_OK) {
        from->moves_out++;
    }
    return status;
}

static Status
check_set(const PatchPlan *plan, const Edit *edit, StateResult *result)
{
    const StateField *field = edit->path.field;
    StateSection other =
        edit->path.section == STATE_POOLS ? STATE_SERVICES : STATE_POOLS;

    if (field->kind == STATE_VALUE_NAME && edit->value.name[0] != '\0' &&
        !will_exist(plan, other, edit->value.name)) {
        return StateImpl_Refuse(
            result, ST_INVALID, "%s: there is no %s/%s", edit->path_text,
            StatePath_GetSectionName(other), edit->value.name);
    }
    if (field->section == STATE_POOLS &&
        strcmp(field->name, "min_size") == 0) {
        const StatePool *pool =
            StrMap_Get(plan->state->pools, edit->path.name);
        if (pool != NULL && pool->moves_out > 0 &&
            edit->value.number >
                (int64_t)pool->vms - (int64_t)pool->moves_out) {
            return StateImpl_Refuse(
                result, ST_INVALID,
                "%s: %u of %u VMs are moving out of the pool", edit->path_text,
                pool->moves_out, pool->vms);
        }
    }
    return ST_OK;
}

/* Reverts the reservations of the moves among the first count edits. */
static void
revert_reservations(const PatchPlan *plan, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (is_move(&plan->edits[i])) {
            const StateVm *vm =
                StrMap_Get(plan->state->vms, plan->edits[i].path.vm);
            StatePool *from = StrMap_Get(plan->state->pools, vm->pool);
            from->moves_out--;
        }
    }
}

static Status
check_edits(const PatchPlan *plan, StateResult *result)
{
    Status status = ST_OK;
    size_t i;

    for (i = 0; i < plan->count && status == ST_OK; i++) {
        const Edit *edit = &plan->edits[i];
        if (edit->is_delete) {
            status = check_delete(plan, edit, result);
        }
        else if (!is_move(edit)) {
            status = check_set(plan, edit, result);
        }
    }
    if (status != ST_OK) {
        return status;
    }
    for (i = 0; i < plan->count; i++) {
        if (is_move(&plan->edits[i])) {
            status = reserve_move(plan, &plan->edits[i], result);
            if (status != ST_OK) {
                break;
            }
        }
    }
    revert_reservations(plan, i);
    return status;
}

static void
delete_row(State *state, const Edit *edit)
{
    const StateField *fields;
    size_t count;
    size_t i;

    fields = StatePath_GetFields(&count);
    for (i = 0; i < count; i++) {
        if (fields[i].section == edit->path.section) {
            char path[STATE_PATH_BYTES];
            format_path(path, edit->path.section, edit->path.name,
                        fields[i].name);
            StateImpl_MarkPathDeleted(state, path, state->version);
        }
    }
    StateImpl_RemoveRow(state, edit->path.section, edit->path.name);
}

static void
apply_edit(State *state, const Edit *edit)
{
    void *row;

    if (is_whole_row(edit)) {
        delete_row(state, edit);
        return;
    }
    if (edit->is_delete && edit->path.section == STATE_LIMITS) {
        StateImpl_MarkPathDeleted(state, edit->path_text, state->version);
        StateImpl_RemoveRow(state, STATE_LIMITS, edit->path.name);
        return;
    }
    row = StateImpl_AddRow(state, edit->path.section, edit->path.name);
    StateImpl_SetField(row, edit->path.field, &edit->value);
    if (edit->is_delete) {
        StateImpl_MarkPathDeleted(state, edit->path_text, state->version);
    }
    else {
        StateImpl_MarkPathSet(state, edit->path_text, state->version);
    }
    if (edit->path.section == STATE_POOLS) {
        StateImpl_RebalanceShares(state, row);
    }
}

static void
apply_edits(PatchPlan *plan)
{
    State *state = plan->state;
    size_t i;

    state->version++;
    for (i = 0; i < plan->count; i++) {
        if (!is_move(&plan->edits[i])) {
            apply_edit(state, &plan->edits[i]);
        }
    }
    /* Moves are applied last, since a later edit of the patch may create the
     * destination pool of a move. */
    for (i = 0; i < plan->count; i++) {
        const StatePath *path = &plan->edits[i].path;
        if (is_move(&plan->edits[i])) {
            StateImpl_AddMove(state, StrMap_Get(state->vms, path->vm),
                              StrMap_Get(state->pools, path->name));
        }
    }
}

Status
StateImpl_ApplyPatch(State *state, const StateCmd *command,
                     StateResult *result)
{
    PatchPlan plan = {.state = state};
    Status status;

    plan.edits = Mem_New(command->edit_count, sizeof(*plan.edits));
    plan.overlay = StrMap_New();
    plan.moves_by_vm = StrMap_New();
    status = parse_edits(&plan, command, result);
    if (status == ST_OK) {
        status = check_conflicts(&plan, command->base, result);
    }
    if (status == ST_OK) {
        status = check_row_limits(&plan, result);
    }
    if (status == ST_OK) {
        status = check_edits(&plan, result);
    }
    if (status == ST_OK) {
        apply_edits(&plan);
    }
    StrMap_Free(plan.overlay);
    StrMap_Free(plan.moves_by_vm);
    free(plan.edits);
    return status;
}
