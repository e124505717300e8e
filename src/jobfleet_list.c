#include "jobfleet_impl.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "mem.h"
#include "slog.h"

/* Interval of VM list requests while accepted orders are in progress. */
#define FLEET_LIST_PENDING_INTERVAL_MS 400
/* Pages of one list. A service that never ends a list would otherwise be asked
 * without pause. */
#define FLEET_MAX_LIST_PAGES 4096

static uint64_t
hash_text(const char *text)
{
    return XXH64(text, strlen(text), 0);
}

/* Sets the token of the next page of the list; NULL: the first page. */
static void
set_page(JobFleet *fleet, const char *page)
{
    free(fleet->page);
    fleet->page = NULL;
    if (page != NULL) {
        fleet->page = Mem_New(strlen(page) + 1, 1);
        memcpy(fleet->page, page, strlen(page));
    }
}

void
FleetImpl_ResetList(JobFleet *fleet)
{
    set_page(fleet, NULL);
    free(fleet->list.tokens);
    memset(&fleet->list, 0, sizeof(fleet->list));
    fleet->list_in_flight = false;
    fleet->list_complete = false;
    fleet->has_earlier_names = false;
    fleet->whole_list_ms = 0;
    fleet->last_flaw = NULL;
}

static void
note_flaw(JobFleet *fleet, const char *why)
{
    if (fleet->list.flaw == NULL) {
        fleet->list.flaw = why;
    }
}

static FleetVm *
add_vm(JobFleet *fleet, const JobVm *listed)
{
    FleetVm *vm = Mem_New(1, sizeof(*vm));

    vm->listed = *listed;
    vm->listed.unusable_field = NULL;
    StrMap_Put(fleet->vms, vm->listed.name, vm);
    vm->cooldown_start_ms = fleet->lead_start_ms - FLEET_MOVE_COOLDOWN_MS;
    return vm;
}

/* A VM with a field that cannot be used keeps an order that may have been
 * carried out, and gets no other. */
static void
note_unusable(JobFleet *fleet, FleetVm *vm, const JobVm *listed)
{
    if (listed->unusable_field == NULL) {
        return;
    }
    if (vm->listed.unusable_field == NULL) {
        Slog_Begin(SLOG_FAILURE, "vm_unusable");
        Slog_AddText("vm", listed->name);
        Slog_AddText("field", listed->unusable_field);
        Slog_End();
    }
    FleetImpl_CancelOrder(fleet, vm);
}

static void
update_vm(JobFleet *fleet, int64_t now, const JobVm *listed)
{
    FleetVm *vm = FleetImpl_FindVm(fleet, listed->name);

    if (vm == NULL) {
        vm = add_vm(fleet, listed);
    }
    else if (vm->last_list_number == fleet->list_number) {
        note_flaw(fleet, "a VM is listed twice");
    }
    note_unusable(fleet, vm, listed);
    vm->listed = *listed;
    vm->last_list_number = fleet->list_number;
    vm->listed_ms = fleet->list_sent_ms;
    fleet->list.names += hash_text(listed->name);
    fleet->list.rows++;
    if (vm->accepted && vm->accepted_ms < fleet->list_sent_ms && listed->up &&
        !listed->busy) {
        Slog_Begin(SLOG_CHANGE, "vm_back");
        Slog_AddText("vm", listed->name);
        Slog_AddText("pool", listed->pool);
        Slog_AddInt("after_ms", now - vm->accepted_ms);
        Slog_End();
        FleetImpl_ClearOrder(fleet, vm);
    }
}

/* Returns whether a VM that the list does not contain must be kept because its
 * order may be carried out. */
static bool
is_order_open(const JobFleet *fleet, const FleetVm *vm)
{
    return vm->call_in_flight || vm->call_sent ||
           (vm->accepted &&
            fleet->list_sent_ms - vm->listed_ms < FLEET_ABSENT_MS);
}

/* Removes the VMs that a whole list does not contain, as they may have left
 * the platform. */
static void
remove_missing_vms(JobFleet *fleet)
{
    size_t i = 0;

    while (i < StrMap_Count(fleet->vms)) {
        FleetVm *vm = StrMap_At(fleet->vms, i);
        if (vm->last_list_number == fleet->list_number ||
            is_order_open(fleet, vm)) {
            i++;
            continue;
        }
        FleetImpl_ClearOrder(fleet, vm);
        free(StrMap_Remove(fleet->vms, vm->listed.name));
    }
}

/* Returns whether the list has the names of the whole list before it. A VM
 * that leaves while the pages are read shifts the others, one of which then is
 * on no page. The list after it lacks the VM that left, so its names differ.
 */
static bool
repeats_earlier_names(const JobFleet *fleet)
{
    return fleet->has_earlier_names &&
           fleet->earlier_names == fleet->list.names &&
           fleet->earlier_rows == fleet->list.rows;
}

/* Ends the reading of a list. The VMs that it contains are known in any case.
 * What it lacks counts as missing only if it was read whole. */
static void
end_list(JobFleet *fleet)
{
    FleetList *list = &fleet->list;

    if (list->flaw == NULL) {
        if (list->token_count == 0 || repeats_earlier_names(fleet)) {
            remove_missing_vms(fleet);
            fleet->whole_list_ms = fleet->list_sent_ms;
        }
        fleet->has_earlier_names = true;
        fleet->earlier_names = list->names;
        fleet->earlier_rows = list->rows;
    }
    else {
        fleet->lists_incomplete++;
        if (fleet->last_flaw == NULL ||
            strcmp(fleet->last_flaw, list->flaw) != 0) {
            Slog_Begin(SLOG_FAILURE, "vm_list_incomplete");
            Slog_AddText("why", list->flaw);
            Slog_AddInt("vms", (int64_t)list->rows);
            Slog_End();
        }
    }
    fleet->last_flaw = list->flaw;
    set_page(fleet, NULL);
}

/* Returns whether the list goes on with the page of the token. */
static bool
go_to_page(JobFleet *fleet, const char *token)
{
    FleetList *list = &fleet->list;
    uint64_t hash;
    size_t i;

    if (token == NULL) {
        return false;
    }
    if (list->token_count == FLEET_MAX_LIST_PAGES) {
        note_flaw(fleet, "more pages than the limit");
        return false;
    }
    hash = hash_text(token);
    for (i = 0; i < list->token_count; i++) {
        if (list->tokens[i] == hash) {
            note_flaw(fleet, "a page token comes twice");
            return false;
        }
    }
    list->tokens = Mem_Resize(list->tokens,
                              (list->token_count + 1) * sizeof(*list->tokens));
    list->tokens[list->token_count++] = hash;
    set_page(fleet, token);
    return true;
}

/* Handles a page without rows that can be read. The list is not asked for
 * again at once if the service would answer the same. */
static void
handle_failed_page(JobFleet *fleet, int64_t now, const JobVmAnswer *answer)
{
    if (answer->why != NULL) {
        note_flaw(fleet, answer->why);
        fleet->list_complete = true;
        fleet->list_due_ms = now + fleet->options.list_interval_ms;
    }
    else {
        note_flaw(fleet, "a page without an answer");
        fleet->list_due_ms = now + FLEET_RETRY_MS;
    }
    end_list(fleet);
}

void
FleetImpl_HandleListAnswer(JobFleet *fleet, int64_t now,
                           const JobVmAnswer *answer)
{
    bool in_progress = false;
    size_t i;

    fleet->list_in_flight = false;
    if (answer->outcome != JOB_VM_OK) {
        handle_failed_page(fleet, now, answer);
        return;
    }
    if (answer->unnamed_count > 0) {
        note_flaw(fleet, "a row without a name");
    }
    for (i = 0; i < answer->vm_count; i++) {
        update_vm(fleet, now, &answer->vms[i]);
    }
    if (go_to_page(fleet, answer->next_page)) {
        fleet->list_due_ms = now;
        return;
    }
    end_list(fleet);
    fleet->list_complete = true;
    for (i = 0; i < StrMap_Count(fleet->vms); i++) {
        const FleetVm *vm = StrMap_At(fleet->vms, i);
        in_progress = in_progress || vm->accepted;
    }
    fleet->list_due_ms = now + (in_progress ? FLEET_LIST_PENDING_INTERVAL_MS
                                            : fleet->options.list_interval_ms);
}

void
FleetImpl_RequestList(JobFleet *fleet, int64_t now)
{
    JobVmCall *call;

    if (fleet->list_in_flight || now < fleet->list_due_ms) {
        return;
    }
    call = FleetImpl_AddCall(fleet, JOB_VM_LIST);
    if (call == NULL) {
        return;
    }
    call->page = fleet->page;
    if (fleet->page == NULL) {
        FleetList *list = &fleet->list;
        fleet->list_number++;
        fleet->list_sent_ms = now;
        list->flaw = NULL;
        list->token_count = 0;
        list->names = 0;
        list->rows = 0;
    }
    fleet->list_in_flight = true;
}
