#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#include "state_impl.h"

static bool
is_finished(const StateWave *wave)
{
    return wave->state == STATE_WAVE_DONE ||
           wave->state == STATE_WAVE_CANCELLED;
}

/* Removes the finished wave that started first. Returns false if no wave is
 * finished. */
static bool
remove_oldest_finished(State *state)
{
    StateWave *oldest = NULL;
    size_t i;

    for (i = 0; i < StrMap_Count(state->waves); i++) {
        StateWave *wave = StrMap_At(state->waves, i);
        if (is_finished(wave) &&
            (oldest == NULL || wave->number < oldest->number)) {
            oldest = wave;
        }
    }
    if (oldest == NULL) {
        return false;
    }
    StrMap_Remove(state->waves, oldest->name);
    StateImpl_FreeWave(oldest);
    return true;
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(a, b);
}

/* Sorts the names of the command's VMs and checks that each VM exists and is
 * named once. */
static Status
sort_and_check_vms(const State *state, const StateCmd *command,
                   StateResult *result)
{
    size_t i;

    qsort(command->vms, command->vm_count, sizeof(*command->vms),
          compare_names);
    for (i = 0; i < command->vm_count; i++) {
        if (i > 0 && strcmp(command->vms[i - 1], command->vms[i]) == 0) {
            return StateImpl_Refuse(result, ST_INVALID, "VM %s stands twice",
                                    command->vms[i]);
        }
        if (StrMap_Get(state->vms, command->vms[i]) == NULL) {
            return StateImpl_Refuse(result, ST_NOT_FOUND, "no VM %s",
                                    command->vms[i]);
        }
    }
    return ST_OK;
}

Status
StateImpl_StartWave(State *state, const StateCmd *command, StateResult *result)
{
    StateWave *wave = StrMap_Get(state->waves, command->name);
    Status status;
    size_t i;

    if (wave != NULL) {
        return StateImpl_Refuse(result, ST_EXISTS, "wave %s exists",
                                command->name);
    }
    status = sort_and_check_vms(state, command, result);
    if (status != ST_OK) {
        return status;
    }
    if (StrMap_Count(state->waves) >= STATE_MAX_WAVES &&
        !remove_oldest_finished(state)) {
        return StateImpl_Refuse(result, ST_FULL, "%d waves are under way",
                                STATE_MAX_WAVES);
    }
    wave = Mem_New(1, sizeof(*wave));
    snprintf(wave->name, sizeof(wave->name), "%s", command->name);
    snprintf(wave->operator_name, sizeof(wave->operator_name), "%s",
             command->operator_name);
    wave->number = state->applied;
    wave->deadline_ms = command->deadline_ms;
    wave->vms = Mem_New(command->vm_count, sizeof(*wave->vms));
    wave->vm_count = command->vm_count;
    wave->steps[STATE_STEP_PENDING] = command->vm_count;
    for (i = 0; i < command->vm_count; i++) {
        snprintf(wave->vms[i].name, sizeof(wave->vms[i].name), "%s",
                 command->vms[i]);
    }
    StrMap_Put(state->waves, wave->name, wave);
    return ST_OK;
}

static int
compare_wave_vm(const void *name, const void *vm)
{
    return strcmp(name, ((const StateWaveVm *)vm)->name);
}

Status
StateImpl_RecordWaveStep(State *state, const StateCmd *command,
                         StateResult *result)
{
    StateWave *wave = StrMap_Get(state->waves, command->name);
    StateWaveVm *vm;
    StateStep step = (StateStep)command->code;

    if (wave == NULL) {
        return StateImpl_Refuse(result, ST_NOT_FOUND, "no wave %s",
                                command->name);
    }
    if (command->code >= STATE_STEP_COUNT) {
        return StateImpl_Refuse(result, ST_INVALID, "unknown step %llu",
                                (unsigned long long)command->code);
    }
    vm = bsearch(command->member, wave->vms, wave->vm_count,
                 sizeof(*wave->vms), compare_wave_vm);
    if (vm == NULL) {
        return StateImpl_Refuse(result, ST_NOT_FOUND,
                                "VM %s is not part of wave %s",
                                command->member, wave->name);
    }
    if (vm->step == step) {
        return StateImpl_Accept(result, "recorded before");
    }
    if (vm->step >= STATE_STEP_DONE) {
        return StateImpl_Refuse(result, ST_STALE,
                                "VM %s has left wave %s before", vm->name,
                                wave->name);
    }
    wave->steps[vm->step]--;
    wave->steps[step]++;
    vm->step = step;
    if (!is_finished(wave) && wave->steps[STATE_STEP_PENDING] == 0 &&
        wave->steps[STATE_STEP_STARTED] == 0) {
        wave->state = STATE_WAVE_DONE;
    }
    return ST_OK;
}

Status
StateImpl_ControlWave(State *state, const StateCmd *command,
                      StateResult *result)
{
    static const StateWaveState new_states[] = {
        STATE_WAVE_PAUSED, STATE_WAVE_RUNNING, STATE_WAVE_CANCELLED};
    StateWave *wave = StrMap_Get(state->waves, command->name);
    StateWaveState new_state;

    if (wave == NULL) {
        return StateImpl_Refuse(result, ST_NOT_FOUND, "no wave %s",
                                command->name);
    }
    if (command->code >= sizeof(new_states) / sizeof(new_states[0])) {
        return StateImpl_Refuse(result, ST_INVALID, "unknown action %llu",
                                (unsigned long long)command->code);
    }
    new_state = new_states[command->code];
    if (wave->state == new_state) {
        return StateImpl_Accept(result, "done before");
    }
    if (is_finished(wave)) {
        return StateImpl_Refuse(result, ST_INVALID, "wave %s has ended",
                                wave->name);
    }
    wave->state = new_state;
    if (new_state == STATE_WAVE_RUNNING) {
        wave->failed_at_resume = wave->steps[STATE_STEP_FAILED];
    }
    snprintf(wave->reason, sizeof(wave->reason), "%s", command->reason);
    return ST_OK;
}
