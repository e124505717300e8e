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
    Name to; /* empty: no move */
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

/* A list of equal items that keeps its order. */
typedef struct List {
    char *items;
    size_t bytes;
    size_t count;
    size_t capacity;
} List;

struct Naive {
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

#define EACH(type, item, list)                                                \
    type *item = (type *)(void *)(list)->items;                               \
    item < (type *)(void *)(list)->items + (list)->count;                     \
    item++

static void *
add(List *list)
{
    if (list->count == list->capacity) {
        list->capacity *= 2;
        list->items = realloc(list->items, list->capacity * list->bytes);
    }
    memset(list->items + list->count * list->bytes, 0, list->bytes);
    return list->items + list->count++ * list->bytes;
}

static void
drop(List *list, void *item)
{
    size_t at = (size_t)((char *)item - list->items);
    size_t end = --list->count * list->bytes;

    memmove(list->items + at, list->items + at + list->bytes, end - at);
}

/* A list always has memory, since its end is computed from its begin. */
static void
init(List *list, size_t bytes)
{
    list->bytes = bytes;
    list->capacity = 16;
    list->items = calloc(list->capacity, bytes);
}

Naive *
Naive_New(void)
{
    Naive *naive = calloc(1, sizeof(*naive));

    init(&naive->paths, sizeof(NaivePath));
    init(&naive->rows, sizeof(NaiveRow));
    init(&naive->members, sizeof(NaiveMember));
    init(&naive->centres, sizeof(NaiveCentre));
    init(&naive->acks, sizeof(NaiveAck));
    init(&naive->vms, sizeof(NaiveVm));
    init(&naive->shares, sizeof(NaiveShare));
    return naive;
}

void
Naive_Free(Naive *naive)
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
same(const char *a, const char *b)
{
    return strcmp(a, b) == 0;
}

static void
set(char *to, const char *from)
{
    snprintf(to, STATE_NAME_BYTES, "%s", from);
}

/* Finds by the name that is the first member of a row. */
static void *
find(const List *list, const char *name)
{
    size_t i;

    for (i = 0; i < list->count; i++) {
        if (same(list->items + i * list->bytes, name)) {
            return list->items + i * list->bytes;
        }
    }
    return NULL;
}

static NaiveRow *
find_row(const Naive *naive, StateSection section, const char *name)
{
    for (EACH(NaiveRow, row, &naive->rows)) {
        if (row->section == section && same(row->name, name)) {
            return row;
        }
    }
    return NULL;
}

/* Returns the value of a field, set or by default. */
static StateValue
value_of(const Naive *naive, StateSection section, const char *name,
         const StateField *field)
{
    char text[STATE_PATH_BYTES];
    NaivePath *path;
    StateValue value = {field->fallback, ""};

    snprintf(text, sizeof(text), "%s/%s%s%s", StatePath_SectionName(section),
             name, field->name[0] ? "/" : "", field->name);
    path = find(&naive->paths, text);
    return path != NULL && !path->deleted ? path->value : value;
}

static StateValue
pool_value(const Naive *naive, const char *pool, const char *name)
{
    const StateField *fields;
    size_t count;
    size_t i;
    StateValue none = {0, ""};

    fields = StatePath_Fields(&count);
    for (i = 0; i < count; i++) {
        if (fields[i].section == STATE_POOLS && same(fields[i].name, name)) {
            return value_of(naive, STATE_POOLS, pool, &fields[i]);
        }
    }
    return none;
}

static int64_t
count_vms(const Naive *naive, const char *pool, const char *centre)
{
    int64_t count = 0;

    for (EACH(NaiveVm, vm, &naive->vms)) {
        count += same(vm->pool, pool) &&
                 (centre == NULL || same(vm->centre, centre));
    }
    return count;
}

static int64_t
count_moves(const Naive *naive, const char *pool, bool in)
{
    int64_t count = 0;

    for (EACH(NaiveVm, vm, &naive->vms)) {
        count += vm->to[0] != '\0' && same(in ? vm->to : vm->pool, pool);
    }
    return count;
}

static NaiveShare *
find_share(const Naive *naive, const char *pool, const char *centre)
{
    for (EACH(NaiveShare, share, &naive->shares)) {
        if (same(share->pool, pool) && same(share->centre, centre)) {
            return share;
        }
    }
    return NULL;
}

static bool
kept(const Naive *naive, const char *centre)
{
    const NaiveCentre *row = find(&naive->centres, centre);

    return row->keeper[0] != '\0';
}

static int64_t
limit_of(const NaiveShare *share)
{
    return (int64_t)(share->granted - share->released);
}

/* Gives units one by one to the share with most VMs a unit; extra holds what
 * each has got in this round. */
static int64_t
give_units(const Naive *naive, const char *pool, int64_t budget, bool demand)
{
    size_t none = naive->shares.count;
    int64_t *extra = calloc(none + 1, sizeof(*extra));
    size_t i;

    while (budget > 0) {
        size_t best = none;
        int64_t best_vms = 0;
        NaiveShare *shares = (NaiveShare *)(void *)naive->shares.items;
        for (i = 0; i < naive->shares.count; i++) {
            int64_t vms = count_vms(naive, pool, shares[i].centre);
            bool before = best < none &&
                          strcmp(shares[i].centre, shares[best].centre) < 0;
            int64_t mine = best < none ? vms * (extra[best] + 1) : 1;
            int64_t theirs = best < none ? best_vms * (extra[i] + 1) : 0;
            if (!same(shares[i].pool, pool) || vms == 0 ||
                !kept(naive, shares[i].centre) ||
                (demand && extra[i] >= shares[i].asked)) {
                continue;
            }
            if (mine > theirs || (mine == theirs && before)) {
                best = i;
                best_vms = vms;
            }
        }
        if (best == none) {
            break;
        }
        extra[best]++;
        shares[best].wanted++;
        budget--;
    }
    free(extra);
    return budget;
}

static int
compare_shares(const void *a, const void *b)
{
    return strcmp(((const NaiveShare *)a)->centre,
                  ((const NaiveShare *)b)->centre);
}

static void
settle(Naive *naive, const char *pool)
{
    int64_t max = pool_value(naive, pool, "max_unavailable").number;
    int64_t budget = max;
    int64_t unused = max;

    qsort(naive->shares.items, naive->shares.count, sizeof(NaiveShare),
          compare_shares);
    for (EACH(NaiveShare, share, &naive->shares)) {
        if (same(share->pool, pool)) {
            bool stuck = !kept(naive, share->centre);
            share->wanted = stuck ? limit_of(share) : 0;
            budget -= share->wanted;
            unused -= limit_of(share);
        }
    }
    budget = give_units(naive, pool, budget > 0 ? budget : 0, true);
    give_units(naive, pool, budget, false);
    for (EACH(NaiveShare, share, &naive->shares)) {
        while (same(share->pool, pool) && unused > 0 &&
               limit_of(share) < share->wanted) {
            share->granted++;
            unused--;
        }
    }
}

static void
touch_share(Naive *naive, const char *pool, const char *centre)
{
    if (find_share(naive, pool, centre) == NULL) {
        NaiveShare *share = add(&naive->shares);
        set(share->pool, pool);
        set(share->centre, centre);
    }
    settle(naive, pool);
}

static NaiveCentre *
touch_centre(Naive *naive, const char *name)
{
    NaiveCentre *centre = find(&naive->centres, name);

    if (centre == NULL) {
        centre = add(&naive->centres);
        set(centre->name, name);
    }
    return centre;
}

/* What a patch would leave: the parsed edits over the present lists. */
typedef struct Edits {
    StatePath paths[64];
    StateValue values[64];
    const StateCmd *command;
} Edits;

static bool
edit_is(const Edits *edits, size_t i, StateSection section, const char *name,
        const char *field)
{
    const StatePath *path = &edits->paths[i];

    return path->section == section && same(path->name, name) &&
           path->vm[0] == '\0' &&
           same(path->field != NULL ? path->field->name : "-", field);
}

/* Returns the index of an edit, or -1. */
static int
find_edit(const Edits *edits, StateSection section, const char *name,
          const char *field)
{
    size_t i;

    for (i = 0; i < edits->command->edit_count; i++) {
        if (edit_is(edits, i, section, name, field)) {
            return (int)i;
        }
    }
    return -1;
}

static bool
exists_after(const Naive *naive, const Edits *edits, StateSection section,
             const char *name)
{
    size_t i;

    if (find_edit(edits, section, name, "-") >= 0) {
        return false;
    }
    for (i = 0; i < edits->command->edit_count; i++) {
        if (edits->paths[i].section == section &&
            same(edits->paths[i].name, name) &&
            edits->paths[i].vm[0] == '\0' &&
            !edits->command->edits[i].is_delete) {
            return true;
        }
    }
    return find_row(naive, section, name) != NULL;
}

static uint64_t
version_of(const Naive *naive, const char *text)
{
    const NaivePath *path = find(&naive->paths, text);

    return path != NULL ? path->version : 0;
}

static Status
parse(Edits *edits, const StateCmd *command)
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
            if (same(edit->path, command->edits[k].path) ||
                (edits->paths[i].vm[0] != '\0' &&
                 same(edits->paths[i].vm, edits->paths[k].vm))) {
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
conflicts(const Naive *naive, const Edits *edits, size_t i)
{
    const StatePath *path = &edits->paths[i];
    uint64_t base = edits->command->base;
    char prefix[STATE_PATH_BYTES];

    if (path->vm[0] != '\0') {
        const NaiveVm *vm = find(&naive->vms, path->vm);
        return vm != NULL && vm->changed > base;
    }
    if (path->field != NULL) {
        return version_of(naive, edits->command->edits[i].path) > base;
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

/* Returns whether a row that stays refers to a row that is deleted. */
static bool
referred(const Naive *naive, const Edits *edits, const StatePath *path)
{
    bool pool = path->section == STATE_POOLS;
    StateSection other = pool ? STATE_SERVICES : STATE_POOLS;
    const char *name = pool ? "pool" : "service";
    const StateField *fields;
    size_t count;
    size_t i;

    fields = StatePath_Fields(&count);
    for (i = 0; i < count; i++) {
        if (fields[i].section != other || !same(fields[i].name, name)) {
            continue;
        }
        for (EACH(NaiveRow, row, &naive->rows)) {
            if (row->section == other &&
                same(value_of(naive, other, row->name, &fields[i]).name,
                     path->name) &&
                find_edit(edits, other, row->name, name) < 0 &&
                find_edit(edits, other, row->name, "-") < 0) {
                return true;
            }
        }
    }
    return false;
}

static Status
check_edit(const Naive *naive, const Edits *edits, size_t i)
{
    const StatePath *path = &edits->paths[i];
    const StateValue *value = &edits->values[i];
    StateSection other =
        path->section == STATE_POOLS ? STATE_SERVICES : STATE_POOLS;
    int64_t out;

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
        return referred(naive, edits, path) ? ST_INVALID : ST_OK;
    }
    if (path->field->kind == STATE_VALUE_NAME && value->name[0] != '\0' &&
        !exists_after(naive, edits, other, value->name)) {
        return ST_INVALID;
    }
    out = count_moves(naive, path->name, false);
    if (path->section == STATE_POOLS && same(path->field->name, "min_size") &&
        out > 0 && value->number > count_vms(naive, path->name, NULL) - out) {
        return ST_INVALID;
    }
    return ST_OK;
}

static Status
check_move(const Naive *naive, const NaiveVm *vm, const char *to,
           int64_t min_size, int64_t more)
{
    if (vm->to[0] != '\0') {
        return ST_EXISTS;
    }
    if (same(vm->pool, to)) {
        return ST_INVALID;
    }
    return count_vms(naive, vm->pool, NULL) -
                       count_moves(naive, vm->pool, false) - more - 1 <
                   min_size
               ? ST_FULL
               : ST_OK;
}

static Status
check_move_edit(const Naive *naive, const Edits *edits, size_t i)
{
    const StatePath *path = &edits->paths[i];
    const NaiveVm *vm = find(&naive->vms, path->vm);
    int64_t more = 0;
    int64_t min;
    int at;
    size_t k;

    if (vm == NULL || !exists_after(naive, edits, STATE_POOLS, path->name)) {
        return ST_NOT_FOUND;
    }
    for (k = 0; k < i; k++) {
        const NaiveVm *earlier = find(&naive->vms, edits->paths[k].vm);
        more += earlier != NULL && same(earlier->pool, vm->pool);
    }
    at = find_edit(edits, STATE_POOLS, vm->pool, "min_size");
    min = at < 0 ? pool_value(naive, vm->pool, "min_size").number
                 : edits->values[at].number;
    return check_move(naive, vm, path->name, min, more);
}

static void
write_path(Naive *naive, const char *text, const StateValue *value)
{
    NaivePath *path = find(&naive->paths, text);

    if (path == NULL) {
        path = add(&naive->paths);
        snprintf(path->path, sizeof(path->path), "%s", text);
    }
    path->version = naive->version;
    path->deleted = value == NULL;
    if (value != NULL) {
        path->value = *value;
    }
}

static void
remove_row(Naive *naive, const StatePath *path)
{
    const StateField *fields;
    char text[STATE_PATH_BYTES];
    size_t count;
    size_t i;

    fields = StatePath_Fields(&count);
    for (i = 0; i < count; i++) {
        if (fields[i].section == path->section) {
            snprintf(text, sizeof(text), "%s/%s/%s",
                     StatePath_SectionName(path->section), path->name,
                     fields[i].name);
            write_path(naive, text, NULL);
        }
    }
    drop(&naive->rows, find_row(naive, path->section, path->name));
    for (i = naive->shares.count; i-- > 0;) {
        NaiveShare *share = (NaiveShare *)(void *)naive->shares.items + i;
        if (path->section == STATE_POOLS && same(share->pool, path->name)) {
            drop(&naive->shares, share);
        }
    }
}

static void
apply_edit(Naive *naive, const Edits *edits, size_t i)
{
    const StatePath *path = &edits->paths[i];
    const char *text = edits->command->edits[i].path;
    bool is_delete = edits->command->edits[i].is_delete;
    NaiveRow *row = find_row(naive, path->section, path->name);

    if (path->field == NULL) {
        remove_row(naive, path);
        return;
    }
    write_path(naive, text, is_delete ? NULL : &edits->values[i]);
    if (is_delete && path->section == STATE_LIMITS) {
        drop(&naive->rows, row);
        return;
    }
    if (row == NULL) {
        row = add(&naive->rows);
        row->section = path->section;
        row->number = naive->applied;
        set(row->name, path->name);
    }
    if (path->section == STATE_POOLS) {
        settle(naive, path->name);
    }
}

static Status
apply_patch(Naive *naive, const StateCmd *command)
{
    Edits edits;
    Status status;
    size_t i;

    memset(&edits, 0, sizeof(edits));
    status = parse(&edits, command);
    if (status != ST_OK) {
        return status;
    }
    if (command->base > naive->version) {
        return ST_INVALID;
    }
    for (i = 0; i < command->edit_count; i++) {
        if (conflicts(naive, &edits, i)) {
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
            NaiveVm *vm = find(&naive->vms, edits.paths[i].vm);
            set(vm->to, edits.paths[i].name);
            vm->changed = naive->version;
        }
    }
    return ST_OK;
}

static void
open_vm(Naive *naive, NaiveVm *vm)
{
    size_t i;

    vm->to[0] = '\0';
    vm->epoch++;
    vm->assignment = STATE_OPEN;
    vm->changed = ++naive->version;
    for (i = naive->acks.count; i-- > 0;) {
        NaiveAck *ack = (NaiveAck *)(void *)naive->acks.items + i;
        if (same(ack->vm, vm->name)) {
            drop(&naive->acks, ack);
        }
    }
}

static Status
register_vm(Naive *naive, const StateCmd *command)
{
    NaiveVm *vm = find(&naive->vms, command->name);

    if (vm != NULL) {
        if (!same(vm->centre, command->data_centre)) {
            return ST_INVALID;
        }
        naive->version += !same(vm->rack, command->rack);
        set(vm->rack, command->rack);
        return ST_OK;
    }
    if (find_row(naive, STATE_POOLS, command->pool) == NULL) {
        return ST_NOT_FOUND;
    }
    touch_centre(naive, command->data_centre);
    vm = add(&naive->vms);
    set(vm->name, command->name);
    set(vm->centre, command->data_centre);
    set(vm->rack, command->rack);
    set(vm->pool, command->pool);
    open_vm(naive, vm);
    touch_share(naive, vm->pool, vm->centre);
    return ST_OK;
}

/* Counts the waiting acknowledgements of a VM. */
static size_t
missing(const Naive *naive, const char *vm)
{
    size_t count = 0;

    for (EACH(NaiveAck, ack, &naive->acks)) {
        count += same(ack->vm, vm) && !ack->acked;
    }
    return count;
}

static void
check_closed(Naive *naive)
{
    for (EACH(NaiveVm, vm, &naive->vms)) {
        if (vm->assignment == STATE_CLOSING && missing(naive, vm->name) == 0) {
            vm->assignment = STATE_DRAINING;
        }
    }
}

static Status
close_vm(Naive *naive, const StateCmd *command, NaiveVm *vm)
{
    const NaiveCentre *centre = find(&naive->centres, vm->centre);

    if (vm->to[0] == '\0' || vm->assignment != STATE_OPEN) {
        return ST_INVALID;
    }
    if (centre->keeper[0] == '\0' || centre->epoch != command->keeper_epoch) {
        return ST_STALE;
    }
    if (count_vms(naive, vm->pool, NULL) -
            count_moves(naive, vm->pool, false) <
        pool_value(naive, vm->pool, "min_size").number) {
        return ST_FULL;
    }
    vm->epoch++;
    vm->changed = ++naive->version;
    vm->assignment = STATE_CLOSING;
    for (EACH(NaiveMember, member, &naive->members)) {
        if (same(member->centre, vm->centre) && !member->destroyed) {
            NaiveAck *ack = add(&naive->acks);
            set(ack->vm, vm->name);
            set(ack->member, member->name);
            ack->incarnation = member->incarnation;
        }
    }
    check_closed(naive);
    return ST_OK;
}

static Status
ack_close(Naive *naive, const StateCmd *command, const NaiveVm *vm)
{
    for (EACH(NaiveAck, ack, &naive->acks)) {
        if (same(ack->vm, vm->name) && same(ack->member, command->member)) {
            if (ack->incarnation != command->incarnation) {
                return ST_STALE;
            }
            ack->acked = true;
            check_closed(naive);
            return ST_OK;
        }
    }
    return ST_NOT_FOUND;
}

static Status
vm_drained(Naive *naive, NaiveVm *vm)
{
    Name from;

    if (vm->to[0] == '\0' || vm->assignment != STATE_DRAINING) {
        return ST_INVALID;
    }
    if (count_vms(naive, vm->pool, NULL) - 1 >=
        pool_value(naive, vm->pool, "min_size").number) {
        set(from, vm->pool);
        set(vm->pool, vm->to);
        touch_share(naive, from, vm->centre);
        touch_share(naive, vm->pool, vm->centre);
    }
    open_vm(naive, vm);
    return ST_OK;
}

static Status
apply_to_vm(Naive *naive, const StateCmd *command)
{
    NaiveVm *vm = find(&naive->vms, command->name);
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
        status = check_move(naive, vm, command->pool,
                            pool_value(naive, vm->pool, "min_size").number, 0);
        if (status == ST_OK) {
            set(vm->to, command->pool);
            vm->changed = ++naive->version;
        }
        return status;
    case STATE_CMD_CLOSE_VM:
        return close_vm(naive, command, vm);
    case STATE_CMD_ACK_CLOSE:
        return ack_close(naive, command, vm);
    case STATE_CMD_VM_DRAINED:
        return vm_drained(naive, vm);
    default:
        if (vm->to[0] == '\0') {
            return ST_INVALID;
        }
        open_vm(naive, vm);
        return ST_OK;
    }
}

static Status
remove_vm(Naive *naive, const StateCmd *command)
{
    NaiveVm *vm = find(&naive->vms, command->name);
    Name pool;
    Name centre;

    if (vm == NULL) {
        return ST_NOT_FOUND;
    }
    set(pool, vm->pool);
    set(centre, vm->centre);
    open_vm(naive, vm);
    drop(&naive->vms, find(&naive->vms, command->name));
    touch_share(naive, pool, centre);
    return ST_OK;
}

static bool
may_keep(const NaiveMember *member)
{
    return member->disk && !member->destroyed;
}

static void
check_keeper(Naive *naive, const char *centre_name)
{
    NaiveCentre *centre = find(&naive->centres, centre_name);
    const NaiveMember *keeper = find(&naive->members, centre->keeper);
    const NaiveMember *first = NULL;
    NaiveCentre before = *centre;

    if (keeper == NULL || !may_keep(keeper)) {
        for (EACH(NaiveMember, member, &naive->members)) {
            if (same(member->centre, centre_name) && may_keep(member) &&
                (first == NULL || strcmp(member->name, first->name) < 0)) {
                first = member;
            }
        }
        keeper = first;
    }
    set(centre->keeper, keeper != NULL ? keeper->name : "");
    centre->identity = keeper != NULL ? keeper->identity : 0;
    if (same(centre->keeper, before.keeper) &&
        centre->identity == before.identity) {
        return;
    }
    centre->epoch++;
    for (EACH(NaiveRow, row, &naive->rows)) {
        NaiveShare *share = find_share(naive, row->name, centre_name);
        if (row->section == STATE_POOLS && share != NULL) {
            share->asked = 0;
            settle(naive, row->name);
        }
    }
}

static void
member_gone(Naive *naive, const char *name, uint64_t below)
{
    for (EACH(NaiveAck, ack, &naive->acks)) {
        if (same(ack->member, name) && ack->incarnation < below) {
            ack->acked = true;
        }
    }
    check_closed(naive);
}

static Status
register_member(Naive *naive, const StateCmd *command)
{
    NaiveMember *member = find(&naive->members, command->name);

    if (member == NULL) {
        member = add(&naive->members);
        set(member->name, command->name);
        set(member->centre, command->data_centre);
        touch_centre(naive, member->centre);
        naive->version++;
    }
    else if (!same(member->centre, command->data_centre)) {
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
    member_gone(naive, member->name, member->incarnation);
    check_keeper(naive, command->data_centre);
    return ST_OK;
}

static Status
declare_destroyed(Naive *naive, const StateCmd *command)
{
    NaiveMember *member = find(&naive->members, command->name);

    if (member == NULL) {
        return ST_NOT_FOUND;
    }
    if (!member->destroyed) {
        member->destroyed = true;
        naive->version++;
        member_gone(naive, member->name, UINT64_MAX);
        check_keeper(naive, member->centre);
    }
    return ST_OK;
}

static Status
apply_share(Naive *naive, const StateCmd *command)
{
    const NaiveRow *row = find_row(naive, STATE_POOLS, command->pool);
    NaiveShare *share = find_share(naive, command->pool, command->data_centre);
    const NaiveCentre *centre = find(&naive->centres, command->data_centre);

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
    settle(naive, command->pool);
    return ST_OK;
}

Status
Naive_Apply(Naive *naive, uint64_t index, const char *bytes, size_t len)
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
        case STATE_CMD_NOTHING:
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
equal_config(const Naive *naive, const State *state)
{
    const StateField *fields;
    size_t count;
    size_t i;

    fields = StatePath_Fields(&count);
    for (EACH(NaiveRow, row, &naive->rows)) {
        const void *real =
            StrMap_Get(StateImpl_Section(state, row->section), row->name);
        if (real == NULL) {
            return false;
        }
        for (i = 0; i < count; i++) {
            StateValue mine;
            StateValue its;
            if (fields[i].section != row->section) {
                continue;
            }
            mine = value_of(naive, row->section, row->name, &fields[i]);
            StateImpl_GetField(real, &fields[i], &its);
            if (mine.number != its.number || !same(mine.name, its.name)) {
                return false;
            }
        }
    }
    for (EACH(NaivePath, path, &naive->paths)) {
        if (State_PathVersion(state, path->path) != path->version) {
            return false;
        }
    }
    return naive->rows.count ==
           State_PoolCount(state) + State_ServiceCount(state) +
               State_TeamCount(state) + State_LimitCount(state);
}

static bool
equal_vms(const Naive *naive, const State *state)
{
    for (EACH(NaiveVm, vm, &naive->vms)) {
        const StateVm *real = State_Vm(state, vm->name);
        if (real == NULL || !same(real->pool, vm->pool) ||
            !same(real->rack, vm->rack) ||
            !same(real->data_centre, vm->centre) || real->epoch != vm->epoch ||
            real->changed != vm->changed ||
            (int)real->assignment != vm->assignment ||
            !same(real->move != NULL ? real->move->to : "", vm->to) ||
            (real->move != NULL ? real->move->missing : 0) !=
                missing(naive, vm->name)) {
            return false;
        }
    }
    return naive->vms.count == State_VmCount(state);
}

static bool
equal_shares(const Naive *naive, const State *state)
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
            State_Share(state, share->pool, share->centre);
        if (real == NULL || real->granted != share->granted ||
            real->released != share->released ||
            real->wanted != share->wanted || real->asked != share->asked) {
            return false;
        }
    }
    return naive->shares.count == count;
}

static bool
equal_members(const Naive *naive, const State *state)
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
        if (real == NULL || !same(real->keeper, centre->keeper) ||
            real->keeper_identity != centre->identity ||
            real->keeper_epoch != centre->epoch) {
            return false;
        }
    }
    return naive->members.count == State_MemberCount(state) &&
           naive->centres.count == State_DataCentreCount(state);
}

const char *
Naive_Difference(const Naive *naive, const State *state)
{
    if (naive->version != State_Version(state)) {
        return "version";
    }
    if (!equal_config(naive, state)) {
        return "configuration";
    }
    if (!equal_vms(naive, state)) {
        return "VMs";
    }
    if (!equal_shares(naive, state)) {
        return "shares";
    }
    return equal_members(naive, state) ? NULL : "members";
}
