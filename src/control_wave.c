#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include <apr_time.h>

#include "diag.h"
#include "mem.h"
#include "wave.h"

#define WAVE_LOG_PREFIX "wave"
/* Limits the decisions for a wave in one tick; the next tick continues. */
#define WAVE_MAX_DECISIONS 64

/* Plan of a running wave for this data centre. */
struct ControlWave {
    char name[STATE_NAME_BYTES];
    uint64_t number;
    WavePlan *plan;
    char reason[STATE_REASON_BYTES]; /* reason of the last wait */
    struct ControlWave *next;
};

static struct ControlWave *
get_plan(Control *control, const StateWave *wave)
{
    const WaveLimits limits = WAVE_LIMITS_DEFAULT;
    struct ControlWave *entry;

    for (entry = control->waves; entry != NULL; entry = entry->next) {
        if (entry->number == wave->number) {
            return entry;
        }
    }
    entry = Mem_New(1, sizeof(*entry));
    entry->plan = WavePlan_New(control->state, wave->name,
                               control->settings->data_centre, &limits);
    if (entry->plan == NULL) {
        free(entry);
        return NULL;
    }
    memcpy(entry->name, wave->name, sizeof(entry->name));
    entry->number = wave->number;
    entry->next = control->waves;
    control->waves = entry;
    return entry;
}

static void
free_plan(struct ControlWave *entry)
{
    WavePlan_Free(entry->plan);
    free(entry);
}

static void
free_ended_plans(Control *control)
{
    struct ControlWave **at = &control->waves;

    while (*at != NULL) {
        const StateWave *wave = State_Wave(control->state, (*at)->name);
        struct ControlWave *entry = *at;
        if (wave != NULL && wave->number == entry->number &&
            wave->state == STATE_WAVE_RUNNING) {
            at = &entry->next;
            continue;
        }
        *at = entry->next;
        free_plan(entry);
    }
}

void
Control_FreeWaves(Control *control)
{
    while (control->waves != NULL) {
        struct ControlWave *entry = control->waves;
        control->waves = entry->next;
        free_plan(entry);
    }
}

size_t
Control_CountWavePending(const Control *control, const char *pool)
{
    const struct ControlWave *entry;
    size_t pending = 0;

    for (entry = control->waves; entry != NULL; entry = entry->next) {
        pending += WavePlan_CountPending(entry->plan, pool);
    }
    return pending;
}

static void
record_decision(Control *control, const struct ControlWave *entry,
                const WaveDecision *decision, JournalKind kind)
{
    JournalDecision journal_decision = {.kind = kind,
                                        .cause = decision->reason};

    journal_decision.subjects[JOURNAL_VM] = decision->vm;
    journal_decision.subjects[JOURNAL_WAVE] = entry->name;
    Control_RecordDecision(control, &journal_decision);
}

/* Records why a wave waits, unless the last recorded reason is the same. */
static void
record_wait(Control *control, struct ControlWave *entry,
            const WaveDecision *decision)
{
    if (strcmp(entry->reason, decision->reason) != 0) {
        memcpy(entry->reason, decision->reason, sizeof(entry->reason));
        record_decision(control, entry, decision, JOURNAL_WAVE_PAUSE);
        Diag_Log(DIAG_INFO, WAVE_LOG_PREFIX, "Wave %s waits: %s.", entry->name,
                 decision->reason);
    }
}

static void
propose_action(Control *control, const struct ControlWave *entry,
               const WaveDecision *decision, StateWaveAction action)
{
    Buf command = BUF_INIT;

    StateCmd_EncodeWaveControl(&command, entry->name, action, "", "",
                               decision->reason);
    Control_Propose(control, &command, Control_IgnoreResult, NULL);
    Buf_Free(&command);
}

/* Applies a decision. Returns whether another one may follow in this tick. */
static bool
apply_decision(Control *control, struct ControlWave *entry,
               const WaveDecision *decision)
{
    ErrCtx err = {0};

    switch (decision->action) {
    case WAVE_DRAIN:
        record_decision(control, entry, decision, JOURNAL_DRAIN);
        return Escrow_GrantDrain(control->escrow, decision->vm, entry->name,
                                 &err) == ST_OK;
    case WAVE_SKIP:
        record_decision(control, entry, decision, JOURNAL_WAVE_STEP);
        Escrow_SkipVm(control->escrow, entry->name, decision->vm);
        return true;
    case WAVE_PAUSE:
        record_wait(control, entry, decision);
        propose_action(control, entry, decision, STATE_WAVE_PAUSE);
        return false;
    case WAVE_CANCEL:
        record_wait(control, entry, decision);
        propose_action(control, entry, decision, STATE_WAVE_CANCEL);
        return false;
    case WAVE_WAIT:
        record_wait(control, entry, decision);
        return false;
    case WAVE_FINISHED:
        return false;
    }
    return false;
}

static void
run_wave(Control *control, const StateWave *wave, double burn)
{
    struct ControlWave *entry = get_plan(control, wave);
    int64_t wall_ms = apr_time_as_msec(apr_time_now());
    int decisions;

    for (decisions = 0; entry != NULL && decisions < WAVE_MAX_DECISIONS;
         decisions++) {
        WaveDecision decision = {0};
        WavePlan_DecideNext(entry->plan, control->state, control->escrow,
                            wall_ms, burn, &decision);
        if (!apply_decision(control, entry, &decision)) {
            return;
        }
    }
}

void
Control_TickWaves(Control *control)
{
    double burn = -1;
    size_t i;

    free_ended_plans(control);
    for (i = 0; i < State_WaveCount(control->state); i++) {
        const StateWave *wave = State_WaveAt(control->state, i);
        if (wave->state != STATE_WAVE_RUNNING) {
            continue;
        }
        if (burn < 0) {
            /* The call adds up windows under the lock of the traffic
             * threads, so it is made only while a wave runs. */
            burn = Gateway_GetHighestBurn(control->gateway);
        }
        run_wave(control, wave, burn);
    }
}
