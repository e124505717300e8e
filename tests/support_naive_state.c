#include "support_naive_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state_impl.h"

typedef char Name[STATE_NAME_BYTES];

typedef struct NaivePath {
    char path[STATE_PATH_BYTES];
    StateValue value;
    uint64_t version;
    bool deleted;
} NaivePath;

typedef struct NaiveRow {
    StateSection section;
    Name name;
    uint64_t number;
} NaiveRow;

typedef struct NaiveMember {
    Name name;
    Name centre;
    uint64_t identity;
    uint64_t incarnation;
    bool disk;
    bool destroyed;
} NaiveMember;

typedef struct NaiveCentre {
    Name name;
    Name keeper;
    uint64_t identity;
    uint64_t epoch;
} NaiveCentre;

typedef struct NaiveAck {
    Name vm;
    Name member;
    uint64_t incarnation;
    bool acked;
} NaiveAck;

typedef struct NaiveVm {
    Name name;
    Name centre;
    Name rack;
    Name pool;
    Name to; /* pool that the VM moves to, or empty */
    uint64_t epoch;
    uint64_t changed;
    int assignment;
} NaiveVm;

typedef struct NaiveShare {
    Name pool;
    Name centre;
    uint64_t granted;
    uint64_t released;
    int64_t wanted;
    int64_t asked;
} NaiveShare;

/* An ordered array of items of the same size. */
typedef struct List {
    char *items;
    size_t bytes;
    size_t count;
    size_t capacity;
} List;

struct NaiveState {
    uint64_t version;
    uint64_t applied;
    List paths;
    List rows;
    List members;
    List centres;
    List acks;
    List vms;
    List shares;
};

/* The clauses of a for loop over the items of a list. */
#define EACH(type, item, list)                                                \
    type *item = (type *)(void *)(list)->items;                               \
    item < (type *)(void *)(list)->items + (list)->count;                     \
    item++

static void *
append_item(List *list)
{
    if (list->count == list->capacity) {
        list->capacity *= 2;
        list->items = realloc(list->items, list->capacity * list->bytes);
    }
    memset(list->items + list->count * list->bytes, 0, list->bytes);
    return list->items + list->count++ * list->bytes;
}

static void
remove_item(List *list, void *item)
{
    size_t offset = (size_t)((char *)item - list->items);
    size_t end = --list->count * list->bytes;

    memmove(list->items + offset, list->items + offset + list->bytes,
            end - offset);
}

/* Allocates memory even for an empty list, since EACH computes the end of the
 * list from its first item. */
static void
init_list(List *list, size_t bytes)
{
    list->bytes = bytes;
    list->capacity = 16;
    list->items = calloc(list->capacity, bytes);
}

NaiveState *
NaiveState_New(void)
{
    NaiveState *naive = calloc(1, sizeof(*naive));

    init_list(&naive->paths, sizeof(NaivePath));
    init_list(&naive->rows, sizeof(NaiveRow));
    init_list(&naive->members, sizeof(NaiveMember));
    init_list(&naive->centres, sizeof(NaiveCentre));
    init_list(&naive->acks, sizeof(NaiveAck));
    init_list(&naive->vms, sizeof(NaiveVm));
    init_list(&naive->shares, sizeof(NaiveShare));
    return naive;
}

void
NaiveState_Free(NaiveState *naive)
{
    free(naive->paths.items);
    free(naive->rows.items);
    free(naive->members.items);
    free(naive->centres.items);
    free(naive->acks.items);
    free(naive->vms.items);
    free(naive->shares.items);
    free(naive);
}

static bool
equals(const char *a, const char *b)
{
    return strcmp(a, b) == 0;
}

static void
copy_name(char *to, const char *from)
{
    snprintf(to, STATE_NAME_BYTES, "%s", from);
}

/* Returns the first item with a name, or NULL. The name is the first member of
 * an item. */
static void *
find_by_name(const List *list, const char *name)
{
    size_t i;

    for (i = 0; i < list->count; i++) {
        if (equals(list->items + i * list->bytes, name)) {
            return list->items + i * list->bytes;
        }
    }
    return NULL;
}

static NaiveRow *
find_row(const NaiveState *naive, StateSection section, const char *name)
{
    for (EACH(NaiveRow, row, &naive->rows)) {
        if (row->section == section && equals(row->name, name)) {
            return row;
        }
    }
    return NULL;
}

/* Returns the value of a field, or its default when the field is not set. */
static StateValue
get_value(const NaiveState *naive, StateSection section, const char *name,
          const StateField *field)
{
    char text[STATE_PATH_BYTES];
    NaivePath *path;
    StateValue value = {field->default_value, ""};

    snprintf(text, sizeof(text), "%s/%s%s%s",
             StatePath_GetSectionName(section), name,
             field->name[0] ? "/" : "", field->name);
    path = find_by_name(&naive->paths, text);
    return path != NULL && !path->deleted ? path->value : value;
}

static StateValue
get_pool_value(const NaiveState *naive, const char *pool, const char *name)
{
    const StateField *fields;
    size_t count;
    size_t i;
    StateValue none = {0, ""};

    fields = StatePath_GetFields(&count);
    for (i = 0; i < count; i++) {
        if (fields[i].section == STATE_POOLS && equals(fields[i].name, name)) {
            return get_value(naive, STATE_POOLS, pool, &fields[i]);
        }
    }
    return none;
}

static int64_t
count_vms(const NaiveState *naive, const char *pool, const char *centre)
{
    int64_t count = 0;

    for (EACH(NaiveVm, vm, &naive->vms)) {
        count += equals(vm->pool, pool) &&
                 (centre == NULL || equals(vm->centre, centre));
    }
    return count;
}

static int64_t
count_moves(const NaiveState *naive, const char *pool, bool incoming)
{
    int64_t count = 0;

    for (EACH(NaiveVm, vm, &naive->vms)) {
        count +=
            vm->to[0] != '\0' && equals(incoming ? vm->to : vm->pool, pool);
    }
    return count;
}

static NaiveShare *
find_share(const NaiveState *naive, const char *pool, const char *centre)
{
    for (EACH(NaiveShare, share, &naive->shares)) {
        if (equals(share->pool, pool) && equals(share->centre, centre)) {
            return share;
        }
    }
    return NULL;
}

static bool
has_keeper(const NaiveState *naive, const char *centre)
{
    const NaiveCentre *row = find_by_name(&naive->centres, centre);

    return row->keeper[0] != '\0';
}

static int64_t
get_limit(const NaiveShare *share)
{
    return (int64_t)(share->granted - share->released);
}

/* Distributes units one by one, each to the share with the most VMs per unit.
 * extra holds the units that each share was given by this call. Returns the
 * number of units left. */
static int64_t
distribute_units(const NaiveState *naive, const char *pool, int64_t units,
                 bool limit_to_asked)
{
    size_t none = naive->shares.count;
    int64_t *extra = calloc(none + 1, sizeof(*extra));
    size_t i;

    while (units > 0) {
        size_t best = none;
        int64_t best_vms = 0;
        NaiveShare *shares = (NaiveShare *)(void *)naive->shares.items;
        for (i = 0; i < naive->shares.count; i++) {
            int64_t vms = count_vms(naive, pool, shares[i].centre);
            bool sorts_first = best < none && strcmp(shares[i].centre,
                                                     shares[best].centre) < 0;
            int64_t product = best < none ? vms * (extra[best] + 1) : 1;
            int64_t best_product = best < none ? best_vms * (extra[i] + 1) : 0;
            if (!equals(shares[i].pool, pool) || vms == 0 ||
                !has_keeper(naive, shares[i].centre) ||
                (limit_to_asked && extra[i] >= shares[i].asked)) {
                continue;
            }
            if (product > best_product ||
                (product == best_product && sorts_first)) {
                best = i;
                best_vms = vms;
            }
        }
        if (best == none) {
            break;
        }
        extra[best]++;
        shares[best].wanted++;
        units--;
    }
    free(extra);
    return units;
}

static int
compare_shares(const void *a, const void *b)
{
    return strcmp(((const NaiveShare *)a)->centre,
                  ((const NaiveShare *)b)->centre);
}

static void
rebalance_shares(NaiveState *naive, const char *pool)
{
    int64_t max_unavailable =
        get_pool_value(naive, pool, "max_unavailable").number;
    int64_t budget = max_unavailable;
    int64_t unallocated = max_unavailable;

    qsort(naive->shares.items, naive->shares.count, sizeof(NaiveShare),
          compare_shares);
    for (EACH(NaiveShare, share, &naive->shares)) {
        if (equals(share->pool, pool)) {
            bool keeperless = !has_keeper(naive, share->centre);
            share->wanted = keeperless ? get_limit(share) : 0;
            budget -= share->wanted;
            unallocated -= get_limit(share);
        }
    }
    budget = distribute_units(naive, pool, budget > 0 ? budget : 0, true);
    distribute_units(naive, pool, budget, false);
    for (EACH(NaiveShare, share, &naive->shares)) {
        while (equals(share->pool, pool) && unallocated > 0 &&
               get_limit(share) < share->wanted) {
            share->granted++;
            unallocated--;
        }
    }
}

/* Adds the share if it is missing, and rebalances the shares of the pool. */
static void
update_share(NaiveState *naive, const char *pool, const char *centre)
{
    if (find_share(naive, pool, centre) == NULL) {
        NaiveShare *share = append_item(&naive->shares);
        copy_name(share->pool, pool);
        copy_name(share->centre, centre);
    }
    rebalance_shares(naive, pool);
}

static NaiveCentre *
ensure_centre(NaiveState *naive, const char *name)
{
    NaiveCentre *centre = find_by_name(&naive->centres, name);

    if (centre == NULL) {
        centre = append_item(&naive->centres);
        copy_name(centre->name, name);
    }
    return centre;
}

/* The parsed edits of a patch, which overlay the current lists. */
typedef struct Edits {
    StatePath paths[64];
    StateValue values[64];
    const StateCmd *command;
} Edits;

static bool
edit_matches(const Edits *edits, size_t i, StateSection section,
             const char *name, const char *field)
{
    const StatePath *path = &edits->paths[i];

    return path->section == section && equals(path->name, name) &&
           path->vm[0] == '\0' &&
           equals(path->field != NULL ? path->field->name : "-", field);
}

/* Returns the index of the edit of a field, or -1 when the patch has none. The
 * field "-" stands for the deletion of the whole row. */
static int
find_edit(const Edits *edits, StateSection section, const char *name,
          const char *field)
{
    size_t i;

    for (i = 0; i < edits->command->edit_count; i++) {
        if (edit_matches(edits, i, section, name, field)) {
            return (int)i;
        }
    }
    return -1;
}

static bool
exists_after_patch(const NaiveState *naive, const Edits *edits,
                   StateSection section, const char *name)
{
    size_t i;

    if (find_edit(edits, section, name, "-") >= 0) {
        return false;
    }
    for (i = 0; i < edits->command->edit_count; i++) {
        if (edits->paths[i].section == section &&
            equals(edits->paths[i].name, name) &&
            edits->paths[i].vm[0] == '\0' &&
            !edits->command->edits[i].is_delete) {
            return true;
        }
    }
    return find_row(naive, section, name) != NULL;
}

static uint64_t
get_path_version(const NaiveState *naive, const char *text)
{
    const NaivePath *path = find_by_name(&naive->paths, text);

    return path != NULL ? path->version : 0;
}

static Status
parse_edits(Edits *edits, const StateCmd *command)
{
    char reason[STATE_REASON_BYTES];
    size_t i;
    size_t k;

    edits->command = command;
    for (i = 0; i < command->edit_count; i++) {
        const PatchEdit *edit = &command->edits[i];
        if (!StatePath_Parse(edit->path, edit->is_delete, &edits->paths[i],
                             reason) ||
            (!edit->is_delete &&
             !StatePath_ParseValue(&edits->paths[i], edit->value,
                                   &edits->values[i], reason))) {
            return ST_INVALID;
        }
        for (k = 0; k < i; k++) {
            if (equals(edit->path, command->edits[k].path) ||
                (edits->paths[i].vm[0] != '\0' &&
                 equals(edits->paths[i].vm, edits->paths[k].vm))) {
                return ST_INVALID;
            }
        }
    }
    for (i = 0; i < command->edit_count; i++) {
        if (edits->paths[i].field != NULL &&
            find_edit(edits, edits->paths[i].section, edits->paths[i].name,
                      "-") >= 0) {
            return ST_INVALID;
        }
    }
    return ST_OK;
}

static bool
has_conflict(const NaiveState *naive, const Edits *edits, size_t i)
{
    const StatePath *path = &edits->paths[i];
    uint64_t base = edits->command->base;
    char prefix[STATE_PATH_BYTES];

    if (path->vm[0] != '\0') {
        const NaiveVm *vm = find_by_name(&naive->vms, path->vm);
        return vm != NULL && vm->changed > base;
    }
    if (path->field != NULL) {
        return get_path_version(naive, edits->command->edits[i].path) > base;
    }
    snprintf(prefix, sizeof(prefix), "%.150s/", edits->command->edits[i].path);
    for (EACH(NaivePath, row, &naive->paths)) {
        if (strncmp(row->path, prefix, strlen(prefix)) == 0 &&
            row->version > base) {
            return true;
        }
    }
    return false;
}

/* Returns true when a row that the patch keeps refers to the deleted row. */
static bool
is_referenced(const NaiveState *naive, const Edits *edits,
              const StatePath *path)
{
    bool is_pool = path->section == STATE_POOLS;
    StateSection other = is_pool ? STATE_SERVICES : STATE_POOLS;
    const char *field_name = is_pool ? "pool" : "service";
    const StateField *fields;
    size_t count;
    size_t i;

    fields = StatePath_GetFields(&count);
    for (i = 0; i < count; i++) {
        if (fields[i].section != other ||
            !equals(fields[i].name, field_name)) {
            continue;
        }
        for (EACH(NaiveRow, row, &naive->rows)) {
            if (row->section == other &&
                equals(get_value(naive, other, row->name, &fields[i]).name,
                       path->name) &&
                find_edit(edits, other, row->name, field_name) < 0 &&
                find_edit(edits, other, row->name, "-") < 0) {
                return true;
            }
        }
    }
    return false;
}

static Status
check_edit(const NaiveState *naive, const Edits *edits, size_t i)
{
    const StatePath *path = &edits->paths[i];
    const StateValue *value = &edits->values[i];
    StateSection other =
        path->section == STATE_POOLS ? STATE_SERVICES : STATE_POOLS;
    int64_t moves_out;

    if (edits->command->edits[i].is_delete) {
        if (find_row(naive, path->section, path->name) == NULL) {
            return ST_NOT_FOUND;
        }
        if (path->field != NULL || path->section == STATE_TEAMS) {
            return ST_OK;
        }
        if (path->section == STATE_POOLS &&
            count_vms(naive, path->name, NULL) +
                    count_moves(naive, path->name, true) >
                0) {
            return ST_INVALID;
        }
        return is_referenced(naive, edits, path) ? ST_INVALID : ST_OK;
    }
    if (path->field->kind == STATE_VALUE_NAME && value->name[0] != '\0' &&
        !exists_after_patch(naive, edits, other, value->name)) {
        return ST_INVALID;
    }
    moves_out = count_moves(naive, path->name, false);
    if (path->section == STATE_POOLS &&
        equals(path->field->name, "min_size") && moves_out > 0 &&
        value->number > count_vms(naive, path->name, NULL) - moves_out) {
        return ST_INVALID;
    }
    return ST_OK;
}

static Status
check_move(const NaiveState *naive, const NaiveVm *vm, const char *to_pool,
           int64_t min_size, int64_t other_moves)
{
    if (vm->to[0] != '\0') {
        return ST_EXISTS;
    }
    if (equals(vm->pool, to_pool)) {
        return ST_INVALID;
    }
    return count_vms(naive, vm->pool, NULL) -
                       count_moves(naive, vm->pool, false) - other_moves - 1 <
                   min_size
               ? ST_FULL
               : ST_OK;
}

static Status
check_move_edit(const NaiveState *naive, const Edits *edits, size_t i)
{
    const StatePath *path = &edits->paths[i];
    const NaiveVm *vm = find_by_name(&naive->vms, path->vm);
    int64_t other_moves = 0;
    int64_t min_size;
    int min_size_edit;
    size_t k;

    if (vm == NULL ||
        !exists_after_patch(naive, edits, STATE_POOLS, path->name)) {
        return ST_NOT_FOUND;
    }
    for (k = 0; k < i; k++) {
        const NaiveVm *earlier = find_by_name(&naive->vms, edits->paths[k].vm);
        other_moves += earlier != NULL && equals(earlier->pool, vm->pool);
    }
    min_size_edit = find_edit(edits, STATE_POOLS, vm->pool, "min_size");
    min_size = min_size_edit < 0
                   ? get_pool_value(naive, vm->pool, "min_size").number
                   : edits->values[min_size_edit].number;
    return check_move(naive, vm, path->name, min_size, other_moves);
}

/* Records that a path was set, or deleted if value is NULL. */
static void
record_path(NaiveState *naive, const char *text, const StateValue *value)
{
    NaivePath *path = find_by_name(&naive->paths, text);

    if (path == NULL) {
        path = append_item(&naive->paths);
        snprintf(path->path, sizeof(path->path), "%s", text);
    }
    path->version = naive->version;
    path->deleted = value == NULL;
    if (value != NULL) {
        path->value = *value;
    }
}

static void
remove_row(NaiveState *naive, const StatePath *path)
{
    const StateField *fields;
    char text[STATE_PATH_BYTES];
    size_t count;
    size_t i;

    fields = StatePath_GetFields(&count);
    for (i = 0; i < count; i++) {
        if (fields[i].section == path->section) {
            snprintf(text, sizeof(text), "%s/%s/%s",
                     StatePath_GetSectionName(path->section), path->name,
                     fields[i].name);
            record_path(naive, text, NULL);
        }
    }
    remove_item(&naive->rows, find_row(naive, path->section, path->name));
    for (i = naive->shares.count; i-- > 0;) {
        NaiveShare *share = (NaiveShare *)(void *)naive->shares.items + i;
        if (path->section == STATE_POOLS && equals(share->pool, path->name)) {
            remove_item(&naive->shares, share);
        }
    }
}

static void
apply_edit(NaiveState *naive, const Edits *edits, size_t i)
{
    const StatePath *path = &edits->paths[i];
    const char *text = edits->command->edits[i].path;
    bool is_delete = edits->command->edits[i].is_delete;
    NaiveRow *row = find_row(naive, path->section, path->name);

    if (path->field == NULL) {
        remove_row(naive, path);
        return;
    }
    record_path(naive, text, is_delete ? NULL : &edits->values[i]);
    if (is_delete && path->section == STATE_LIMITS) {
        remove_item(&naive->rows, row);
        return;
    }
    if (row == NULL) {
        row = append_item(&naive->rows);
        row->section = path->section;
        row->number = naive->applied;
        copy_name(row->name, path->name);
    }
    if (path->section == STATE_POOLS) {
        rebalance_shares(naive, path->name);
    }
}

static Status
apply_patch(NaiveState *naive, const StateCmd *command)
{
    Edits edits;
    Status status;
    size_t i;

    memset(&edits, 0, sizeof(edits));
    status = parse_edits(&edits, command);
    if (status != ST_OK) {
        return status;
    }
    if (command->base > naive->version) {
        return ST_INVALID;
    }
    for (i = 0; i < command->edit_count; i++) {
        if (has_conflict(naive, &edits, i)) {
            return ST_CONFLICT;
        }
    }
    for (i = 0; i < command->edit_count && status == ST_OK; i++) {
        if (edits.paths[i].vm[0] == '\0') {
            status = check_edit(naive, &edits, i);
        }
    }
    for (i = 0; i < command->edit_count && status == ST_OK; i++) {
        if (edits.paths[i].vm[0] != '\0') {
            status = check_move_edit(naive, &edits, i);
        }
    }
    if (status != ST_OK) {
        return status;
    }
    naive->version++;
    for (i = 0; i < command->edit_count; i++) {
        if (edits.paths[i].vm[0] == '\0') {
            apply_edit(naive, &edits, i);
        }
        else {
            NaiveVm *vm = find_by_name(&naive->vms, edits.paths[i].vm);
            copy_name(vm->to, edits.paths[i].name);
            vm->changed = naive->version;
        }
    }
    return ST_OK;
}

static void
open_vm(NaiveState *naive, NaiveVm *vm)
{
    size_t i;

    vm->to[0] = '\0';
    vm->epoch++;
    vm->assignment = STATE_OPEN;
    vm->changed = ++naive->version;
    for (i = naive->acks.count; i-- > 0;) {
        NaiveAck *ack = (NaiveAck *)(void *)naive->acks.items + i;
        if (equals(ack->vm, vm->name)) {
            remove_item(&naive->acks, ack);
        }
    }
}

static Status
register_vm(NaiveState *naive, const StateCmd *command)
{
    NaiveVm *vm = find_by_name(&naive->vms, command->name);

    if (vm != NULL) {
        if (!equals(vm->centre, command->data_centre)) {
            return ST_INVALID;
        }
        naive->version += !equals(vm->rack, command->rack);
        copy_name(vm->rack, command->rack);
        return ST_OK;
    }
    if (find_row(naive, STATE_POOLS, command->pool) == NULL) {
        return ST_NOT_FOUND;
    }
    ensure_centre(naive, command->data_centre);
    vm = append_item(&naive->vms);
    copy_name(vm->name, command->name);
    copy_name(vm->centre, command->data_centre);
    copy_name(vm->rack, command->rack);
    copy_name(vm->pool, command->pool);
    open_vm(naive, vm);
    update_share(naive, vm->pool, vm->centre);
    return ST_OK;
}

/* Returns the number of acknowledgements that a VM is still waiting for. */
static size_t
count_missing_acks(const NaiveState *naive, const char *vm)
{
    size_t count = 0;

    for (EACH(NaiveAck, ack, &naive->acks)) {
        count += equals(ack->vm, vm) && !ack->acked;
    }
    return count;
}

/* Sets every closing VM that waits for no acknowledgement to draining. */
static void
finish_closing(NaiveState *naive)
{
    for (EACH(NaiveVm, vm, &naive->vms)) {
        if (vm->assignment == STATE_CLOSING &&
            count_missing_acks(naive, vm->name) == 0) {
            vm->assignment = STATE_DRAINING;
        }
    }
}

static Status
close_vm(NaiveState *naive, const StateCmd *command, NaiveVm *vm)
{
    const NaiveCentre *centre = find_by_name(&naive->centres, vm->centre);

    if (vm->to[0] == '\0' || vm->assignment != STATE_OPEN) {
        return ST_INVALID;
    }
    if (centre->keeper[0] == '\0' || centre->epoch != command->keeper_epoch) {
        return ST_STALE;
    }
    if (count_vms(naive, vm->pool, NULL) -
            count_moves(naive, vm->pool, false) <
        get_pool_value(naive, vm->pool, "min_size").number) {
        return ST_FULL;
    }
    vm->epoch++;
    vm->changed = ++naive->version;
    vm->assignment = STATE_CLOSING;
    for (EACH(NaiveMember, member, &naive->members)) {
        if (equals(member->centre, vm->centre) && !member->destroyed) {
            NaiveAck *ack = append_item(&naive->acks);
            copy_name(ack->vm, vm->name);
            copy_name(ack->member, member->name);
            ack->incarnation = member->incarnation;
        }
    }
    finish_closing(naive);
    return ST_OK;
}

static Status
ack_close(NaiveState *naive, const StateCmd *command, const NaiveVm *vm)
{
    for (EACH(NaiveAck, ack, &naive->acks)) {
        if (equals(ack->vm, vm->name) &&
            equals(ack->member, command->member)) {
            if (ack->incarnation != command->incarnation) {
                return ST_STALE;
            }
            ack->acked = true;
            finish_closing(naive);
            return ST_OK;
        }
    }
    return ST_NOT_FOUND;
}

static Status
complete_move(NaiveState *naive, NaiveVm *vm)
{
    Name from;

    if (vm->to[0] == '\0' || vm->assignment != STATE_DRAINING) {
        return ST_INVALID;
    }
    if (count_vms(naive, vm->pool, NULL) - 1 >=
        get_pool_value(naive, vm->pool, "min_size").number) {
        copy_name(from, vm->pool);
        copy_name(vm->pool, vm->to);
        update_share(naive, from, vm->centre);
        update_share(naive, vm->pool, vm->centre);
    }
    open_vm(naive, vm);
    return ST_OK;
}

static Status
apply_to_vm(NaiveState *naive, const StateCmd *command)
{
    NaiveVm *vm = find_by_name(&naive->vms, command->name);
    Status status;

    if (vm == NULL) {
        return ST_NOT_FOUND;
    }
    if (vm->epoch != command->epoch) {
        return ST_STALE;
    }
    switch (command->kind) {
    case STATE_CMD_BEGIN_MOVE:
        if (find_row(naive, STATE_POOLS, command->pool) == NULL) {
            return ST_NOT_FOUND;
        }
        status =
            check_move(naive, vm, command->pool,
                       get_pool_value(naive, vm->pool, "min_size").number, 0);
        if (status == ST_OK) {
            copy_name(vm->to, command->pool);
            vm->changed = ++naive->version;
        }
        return status;
    case STATE_CMD_CLOSE_VM:
        return close_vm(naive, command, vm);
    case STATE_CMD_ACK_CLOSE:
        return ack_close(naive, command, vm);
    case STATE_CMD_VM_DRAINED:
        return complete_move(naive, vm);
    default:
        if (vm->to[0] == '\0') {
            return ST_INVALID;
        }
        open_vm(naive, vm);
        return ST_OK;
    }
}

static Status
remove_vm(NaiveState *naive, const StateCmd *command)
{
    NaiveVm *vm = find_by_name(&naive->vms, command->name);
    Name pool;
    Name centre;

    if (vm == NULL) {
        return ST_NOT_FOUND;
    }
    copy_name(pool, vm->pool);
    copy_name(centre, vm->centre);
    open_vm(naive, vm);
    remove_item(&naive->vms, find_by_name(&naive->vms, command->name));
    update_share(naive, pool, centre);
    return ST_OK;
}

static bool
can_be_keeper(const NaiveMember *member)
{
    return member->disk && !member->destroyed;
}

static void
update_keeper(NaiveState *naive, const char *centre_name)
{
    NaiveCentre *centre = find_by_name(&naive->centres, centre_name);
    const NaiveMember *keeper = find_by_name(&naive->members, centre->keeper);
    const NaiveMember *first = NULL;
    NaiveCentre old_centre = *centre;

    if (keeper == NULL || !can_be_keeper(keeper)) {
        for (EACH(NaiveMember, member, &naive->members)) {
            if (equals(member->centre, centre_name) && can_be_keeper(member) &&
                (first == NULL || strcmp(member->name, first->name) < 0)) {
                first = member;
            }
        }
        keeper = first;
    }
    copy_name(centre->keeper, keeper != NULL ? keeper->name : "");
    centre->identity = keeper != NULL ? keeper->identity : 0;
    if (equals(centre->keeper, old_centre.keeper) &&
        centre->identity == old_centre.identity) {
        return;
    }
    centre->epoch++;
    for (EACH(NaiveRow, row, &naive->rows)) {
        NaiveShare *share = find_share(naive, row->name, centre_name);
        if (row->section == STATE_POOLS && share != NULL) {
            share->asked = 0;
            rebalance_shares(naive, row->name);
        }
    }
}

static void
waive_acks(NaiveState *naive, const char *name, uint64_t before_incarnation)
{
    for (EACH(NaiveAck, ack, &naive->acks)) {
        if (equals(ack->member, name) &&
            ack->incarnation < before_incarnation) {
            ack->acked = true;
        }
    }
    finish_closing(naive);
}

static Status
register_member(NaiveState *naive, const StateCmd *command)
{
    NaiveMember *member = find_by_name(&naive->members, command->name);

    if (member == NULL) {
        member = append_item(&naive->members);
        copy_name(member->name, command->name);
        copy_name(member->centre, command->data_centre);
        ensure_centre(naive, member->centre);
        naive->version++;
    }
    else if (!equals(member->centre, command->data_centre)) {
        return ST_INVALID;
    }
    else if (command->incarnation < member->incarnation ||
             (command->incarnation == member->incarnation &&
              member->destroyed)) {
        return ST_STALE;
    }
    else if (command->incarnation == member->incarnation) {
        return member->identity == command->identity &&
                       member->disk == command->disk
                   ? ST_OK
                   : ST_EXISTS;
    }
    naive->version += member->destroyed;
    member->destroyed = false;
    member->identity = command->identity;
    member->incarnation = command->incarnation;
    member->disk = command->disk;
    waive_acks(naive, member->name, member->incarnation);
    update_keeper(naive, command->data_centre);
    return ST_OK;
}

static Status
declare_destroyed(NaiveState *naive, const StateCmd *command)
{
    NaiveMember *member = find_by_name(&naive->members, command->name);

    if (member == NULL) {
        return ST_NOT_FOUND;
    }
    if (!member->destroyed) {
        member->destroyed = true;
        naive->version++;
        waive_acks(naive, member->name, UINT64_MAX);
        update_keeper(naive, member->centre);
    }
    return ST_OK;
}

static Status
apply_share(NaiveState *naive, const StateCmd *command)
{
    const NaiveRow *row = find_row(naive, STATE_POOLS, command->pool);
    NaiveShare *share = find_share(naive, command->pool, command->data_centre);
    const NaiveCentre *centre =
        find_by_name(&naive->centres, command->data_centre);

    if (row == NULL || row->number != command->pool_number) {
        return ST_STALE;
    }
    if (share == NULL) {
        return ST_NOT_FOUND;
    }
    if (centre->epoch != command->keeper_epoch) {
        return ST_STALE;
    }
    if (command->kind == STATE_CMD_ASK_SHARE) {
        if (command->units > 100000) {
            return ST_INVALID;
        }
        share->asked = (int64_t)command->units;
    }
    else if (command->units > share->granted) {
        return ST_INVALID;
    }
    else if (command->units > share->released) {
        share->released = command->units;
    }
    else {
        return ST_OK;
    }
    rebalance_shares(naive, command->pool);
    return ST_OK;
}

Status
NaiveState_Apply(NaiveState *naive, uint64_t index, const char *bytes,
                 size_t len)
{
    StateCmd command;
    Status status = StateCmd_Decode(bytes, len, &command, NULL);

    naive->applied = index;
    if (status == ST_OK) {
        switch (command.kind) {
        case STATE_CMD_PATCH:
            status = apply_patch(naive, &command);
            break;
        case STATE_CMD_REGISTER_VM:
            status = register_vm(naive, &command);
            break;
        case STATE_CMD_REMOVE_VM:
            status = remove_vm(naive, &command);
            break;
        case STATE_CMD_REGISTER_MEMBER:
            status = register_member(naive, &command);
            break;
        case STATE_CMD_DECLARE_DESTROYED:
            status = declare_destroyed(naive, &command);
            break;
        case STATE_CMD_RELEASE_SHARE:
        case STATE_CMD_ASK_SHARE:
            status = apply_share(naive, &command);
            break;
        case STATE_CMD_NOOP:
            break;
        default:
            status = apply_to_vm(naive, &command);
            break;
        }
    }
    StateCmd_Free(&command);
    return status;
}

static bool
has_equal_config(const NaiveState *naive, const State *state)
{
    const StateField *fields;
    size_t count;
    size_t i;

    fields = StatePath_GetFields(&count);
    for (EACH(NaiveRow, row, &naive->rows)) {
        const void *real_row =
            StrMap_Get(StateImpl_GetSection(state, row->section), row->name);
        if (real_row == NULL) {
            return false;
        }
        for (i = 0; i < count; i++) {
            StateValue value;
            StateValue real_value;
            if (fields[i].section != row->section) {
                continue;
            }
            value = get_value(naive, row->section, row->name, &fields[i]);
            StateImpl_GetField(real_row, &fields[i], &real_value);
            if (value.number != real_value.number ||
                !equals(value.name, real_value.name)) {
                return false;
            }
        }
    }
    for (EACH(NaivePath, path, &naive->paths)) {
        if (State_GetPathVersion(state, path->path) != path->version) {
            return false;
        }
    }
    return naive->rows.count ==
           State_PoolCount(state) + State_ServiceCount(state) +
               State_TeamCount(state) + State_LimitCount(state);
}

static bool
has_equal_vms(const NaiveState *naive, const State *state)
{
    for (EACH(NaiveVm, vm, &naive->vms)) {
        const StateVm *real = State_Vm(state, vm->name);
        if (real == NULL || !equals(real->pool, vm->pool) ||
            !equals(real->rack, vm->rack) ||
            !equals(real->data_centre, vm->centre) ||
            real->epoch != vm->epoch || real->changed != vm->changed ||
            (int)real->assignment != vm->assignment ||
            !equals(real->move != NULL ? real->move->to : "", vm->to) ||
            (real->move != NULL ? real->move->missing : 0) !=
                count_missing_acks(naive, vm->name)) {
            return false;
        }
    }
    return naive->vms.count == State_VmCount(state);
}

static bool
has_equal_shares(const NaiveState *naive, const State *state)
{
    size_t count = 0;
    size_t i;

    for (i = 0; i < State_PoolCount(state); i++) {
        const StatePool *pool = State_PoolAt(state, i);
        count += pool->share_count;
        if (pool->vms != count_vms(naive, pool->name, NULL) ||
            pool->moves_out != count_moves(naive, pool->name, false) ||
            pool->moves_in != count_moves(naive, pool->name, true)) {
            return false;
        }
    }
    for (EACH(NaiveShare, share, &naive->shares)) {
        const StateShare *real =
            State_FindShare(state, share->pool, share->centre);
        if (real == NULL || real->granted != share->granted ||
            real->released != share->released ||
            real->wanted != share->wanted || real->asked != share->asked) {
            return false;
        }
    }
    return naive->shares.count == count;
}

static bool
has_equal_members(const NaiveState *naive, const State *state)
{
    for (EACH(NaiveMember, member, &naive->members)) {
        const StateMember *real = State_Member(state, member->name);
        if (real == NULL || real->identity != member->identity ||
            real->incarnation != member->incarnation ||
            real->disk != member->disk ||
            real->destroyed != member->destroyed) {
            return false;
        }
    }
    for (EACH(NaiveCentre, centre, &naive->centres)) {
        const StateDataCentre *real = State_DataCentre(state, centre->name);
        if (real == NULL || !equals(real->keeper, centre->keeper) ||
            real->keeper_identity != centre->identity ||
            real->keeper_epoch != centre->epoch) {
            return false;
        }
    }
    return naive->members.count == State_MemberCount(state) &&
           naive->centres.count == State_DataCentreCount(state);
}

const char *
NaiveState_FindDifference(const NaiveState *naive, const State *state)
{
    if (naive->version != State_GetVersion(state)) {
        return "version";
    }
    if (!has_equal_config(naive, state)) {
        return "configuration";
    }
    if (!has_equal_vms(naive, state)) {
        return "VMs";
    }
    if (!has_equal_shares(naive, state)) {
        return "shares";
    }
    return has_equal_members(naive, state) ? NULL : "members";
}
