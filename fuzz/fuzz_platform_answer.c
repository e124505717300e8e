/*
 * NAME
 *     fuzz_platform_answer - fuzz target for what the platform tells of VMs
 *
 * DESCRIPTION
 *     The first byte selects a page of the VM list, the lists of a target, an
 *     announcement or a wave. The oracle reads the document again with the
 *     parser alone: an answer that counts as whole has each row of the
 *     document, and each text that was decoded is the whole text.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "platform_wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool condition)
{
    if (!condition) {
        abort();
    }
}

/* Returns whether a text is the whole text of a member, or empty as there is
 * no such member. */
static bool
is_whole_text(const json_t *object, const char *name, const char *text)
{
    const json_t *member = json_object_get(object, name);

    if (member == NULL || json_is_null(member)) {
        return text[0] == '\0';
    }
    return json_is_string(member) &&
           json_string_length(member) == strlen(text) &&
           strcmp(json_string_value(member), text) == 0;
}

static void
check_vm(const json_t *row, const JobVm *vm)
{
    require(is_whole_text(row, "machine", vm->name) && vm->name[0] != '\0');
    if (vm->unusable_field == NULL) {
        require(is_whole_text(row, "pool", vm->pool));
        require(is_whole_text(row, "id", vm->target));
        require(is_whole_text(row, "state", "up") == vm->up);
        require((is_whole_text(row, "state", "moving") ||
                 is_whole_text(row, "state", "upkeep")) == vm->busy);
        require(vm->up || vm->busy || is_whole_text(row, "state", "down"));
    }
}

static void
fuzz_vm_page(const JobWire *wire, const char *body, size_t len)
{
    JobVmCall call = {.kind = JOB_VM_LIST};
    json_t *root =
        len > 0 ? json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL) : NULL;
    const json_t *list = json_object_get(root, "machines");
    const json_t *token = json_object_get(root, "next-token");
    JobVmAnswer answer;
    size_t unnamed = 0;
    size_t i;

    wire->decode_vm_answer(&call, 200, body, len, &answer);
    require(answer.outcome == JOB_VM_OK || answer.why != NULL);
    require(answer.outcome != JOB_VM_OK || json_is_array(list));
    if (answer.outcome == JOB_VM_OK) {
        require(answer.vm_count + answer.unnamed_count ==
                json_array_size(list));
        for (i = 0; i < json_array_size(list); i++) {
            const json_t *row = json_array_get(list, i);
            size_t at = i - unnamed;
            if (at < answer.vm_count &&
                is_whole_text(row, "machine", answer.vms[at].name)) {
                check_vm(row, &answer.vms[at]);
            }
            else {
                unnamed++;
            }
        }
        require(unnamed == answer.unnamed_count);
        require(answer.next_page != NULL
                    ? is_whole_text(root, "next-token", answer.next_page)
                    : token == NULL || json_is_null(token) ||
                          json_string_length(token) == 0);
        require(token == NULL || json_is_null(token) || json_is_string(token));
    }
    JobVmAnswer_Free(&answer);
    json_decref(root);
}

/* Returns whether a row of a target's list speaks of this run. */
static bool
is_run(const json_t *row, size_t name_at, const JobTaskRef *task,
       uint32_t attempt)
{
    const char *text = json_string_value(json_array_get(row, name_at));
    JobTaskRef read = *task;
    char rest;

    /* Leading zeros name the same task. */
    return text != NULL && strlen(task->job) == strcspn(text, ".") &&
           strncmp(text, task->job, strlen(task->job)) == 0 &&
           sscanf(text + strlen(task->job), ".%u.%u.%u%c", &read.occurrence,
                  &read.step, &read.index, &rest) == 3 &&
           read.occurrence == task->occurrence && read.step == task->step &&
           read.index == task->index &&
           json_integer_value(json_array_get(row, name_at + 1)) ==
               (json_int_t)attempt;
}

static void
fuzz_target_lists(const JobWire *wire, const char *body, size_t len)
{
    JobAction action = {.kind = JOB_ACTION_HOLD};
    json_t *root =
        len > 0 ? json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL) : NULL;
    const json_t *running = json_object_get(root, "running");
    const json_t *finished = json_object_get(root, "finished");
    JobWireAnswer answer;
    size_t found = 0;
    size_t i;

    wire->decode_target_answer(&action, 200, body, len, &answer);
    if (answer.answer.outcome == JOB_CALL_OK) {
        require(json_is_array(running) && json_is_array(finished));
        require(answer.answer.end_count == json_array_size(finished));
        for (i = 0; i < json_array_size(running); i++) {
            const json_t *row = json_array_get(running, i);
            const JobRunning *out = &answer.answer.running[found];
            require(json_is_string(json_array_get(row, 0)));
            found += found < answer.answer.running_count &&
                     is_run(row, 0, &out->task, out->attempt);
        }
        require(found == answer.answer.running_count);
        for (i = 0; i < json_array_size(finished); i++) {
            const json_t *row = json_array_get(finished, i);
            const JobEnd *out = &answer.answer.ends[i];
            require(json_integer_value(json_array_get(row, 0)) ==
                    (json_int_t)out->number);
            require(out->task.job[0] == '\0' ||
                    is_run(row, 1, &out->task, out->attempt));
        }
    }
    else {
        require(answer.answer.running_count == 0 &&
                answer.answer.end_count == 0);
    }
    JobWireAnswer_Free(&answer);
    json_decref(root);
}

static void
fuzz_announcement(const JobWire *wire, const char *body, size_t len)
{
    JobHttpRequest http = {"PUT", "", "/api/instances/i-1", body, len, NULL};
    const JobAnnouncement *announcement;
    json_t *root = len > 0 ? json_loadb(body, len, 0, NULL) : NULL;
    const json_t *labels = json_object_get(root, "labels");
    JobRequest request;
    uint32_t i;

    wire->decode_control_request(&http, &request);
    announcement = &request.announcement;
    if (request.error == JOB_ERROR_NONE) {
        require(is_whole_text(root, "service", announcement->pool));
        require(is_whole_text(root, "address", announcement->address));
        require(is_whole_text(root, "zone", announcement->data_centre));
        require(is_whole_text(root, "machine", announcement->vm));
        require(json_array_size(labels) == announcement->label_count);
        for (i = 0; i < announcement->label_count; i++) {
            require(strcmp(json_string_value(json_array_get(labels, i)),
                           announcement->labels[i]) == 0);
        }
    }
    JobRequest_Free(&request);
    json_decref(root);
}

static void
fuzz_wave(const JobWire *wire, const char *body, size_t len)
{
    JobHttpRequest http = {"POST", "", "/api/wave-start", body, len, NULL};
    json_t *root = len > 0 ? json_loadb(body, len, 0, NULL) : NULL;
    const json_t *names = json_object_get(root, "machines");
    JobRequest request;
    size_t i;

    wire->decode_control_request(&http, &request);
    if (request.error == JOB_ERROR_NONE) {
        require(json_array_size(names) == request.wave.vm_count);
        for (i = 0; i < json_array_size(names); i++) {
            require(strcmp(json_string_value(json_array_get(names, i)),
                           request.wave.vms[i].vm) == 0);
        }
    }
    JobRequest_Free(&request);
    json_decref(root);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static void (*const targets[])(const JobWire *, const char *, size_t) = {
        fuzz_vm_page, fuzz_target_lists, fuzz_announcement, fuzz_wave};

    if (size > 0) {
        targets[data[0] % 4](PlatformWire_Get(), (const char *)data + 1,
                             size - 1);
    }
    return 0;
}
