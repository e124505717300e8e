#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include <apr_time.h>

#include "diag.h"
#include "mem.h"
#include "wave.h"

#define WAVE_PART "wave"
/* Bounds the work of one turn; the next turn goes on. */
#define WAVE_MAX_DECISIONS 64

/* The plan of a running wave for this data centre. */
struct ControlWave {
    char name[STATE_NAME_BYTES];
    uint64_t number;
    WavePlan *plan;
    char reason[STATE_REASON_BYTES]; /* of the last wait */
    struct ControlWave *next;
};

static struct ControlWave *
find_plan(Control *control, const StateWave *wave)
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
drop_ended(Control *control)
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
Control_WavePending(const Control *control, const char *pool)
{
    const struct ControlWave *entry;
    size_t pending = 0;

    for (entry = control->waves; entry != NULL; entry = entry->next) {
        pending += WavePlan_Pending(entry->plan, pool);
    }
    return pending;
}

static void
note_decision(Control *control, const struct ControlWave *entry,
              const WaveDecision *decision, JournalKind kind)
{
    JournalNote note = {.kind = kind, .cause = decision->reason};

    note.subjects[JOURNAL_VM] = decision->vm;
    note.subjects[JOURNAL_WAVE] = entry->name;
    Control_Note(control, &note);
}

/* Notes a wait once for each new reason. */
static void
note_wait(Control *control, struct ControlWave *entry,
          const WaveDecision *decision)
{
    if (strcmp(entry->reason, decision->reason) != 0) {
        memcpy(entry->reason, decision->reason, sizeof(entry->reason));
        note_decision(control, entry, decision, JOURNAL_WAVE_PAUSE);
        Diag_Log(DIAG_INFO, WAVE_PART, "Wave %s waits: %s.", entry->name,
                 decision->reason);
    }
}

static void
propose_control(Control *control, const struct ControlWave *entry,
                const WaveDecision *decision, StateWaveAction action)
{
    Buf command = BUF_INIT;

    StateCmd_WaveControl(&command, entry->name, action, "", "",
                         decision->reason);
    Control_Propose(control, &command, Control_IgnoreResult, NULL);
    Buf_Free(&command);
}

/* Carries out one decision. Returns whether there may be another one. */
static bool
carry_out(Control *control, struct ControlWave *entry,
          const WaveDecision *decision)
{
    ErrCtx err = {0};

    switch (decision->action) {
    case WAVE_DRAIN:
        note_decision(control, entry, decision, JOURNAL_DRAIN);
        return Escrow_GrantDrain(control->escrow, decision->vm, entry->name,
                                 &err) == ST_OK;
    case WAVE_SKIP:
        note_decision(control, entry, decision, JOURNAL_WAVE_STEP);
        Escrow_Skip(control->escrow, entry->name, decision->vm);
        return true;
    case WAVE_PAUSE:
        note_wait(control, entry, decision);
        propose_control(control, entry, decision, STATE_WAVE_PAUSE);
        return false;
    case WAVE_CANCEL:
        note_wait(control, entry, decision);
        propose_control(control, entry, decision, STATE_WAVE_CANCEL);
        return false;
    case WAVE_WAIT:
        note_wait(control, entry, decision);
        return false;
    case WAVE_FINISHED:
        return false;
    }
    return false;
}

static void
run_wave(Control *control, const StateWave *wave, double burn)
{
    struct ControlWave *entry = find_plan(control, wave);
    int64_t wall_ms = apr_time_as_msec(apr_time_now());
    int turn;

    for (turn = 0; entry != NULL && turn < WAVE_MAX_DECISIONS; turn++) {
        WaveDecision decision = {0};
        WavePlan_Next(entry->plan, control->state, control->escrow, wall_ms,
                      burn, &decision);
        if (!carry_out(control, entry, &decision)) {
            return;
        }
    }
}

void
Control_WaveTick(Control *control)
{
    double burn = -1;
    size_t i;

    drop_ended(control);
    for (i = 0; i < State_WaveCount(control->state); i++) {
        const StateWave *wave = State_WaveAt(control->state, i);
        if (wave->state != STATE_WAVE_RUNNING) {
            continue;
        }
        if (burn < 0) {
            /* Adds up windows under the lock of the traffic threads, so it
             * is not asked for while no wave runs. */
            burn = Gateway_HighestBurn(control->gateway);
        }
        run_wave(control, wave, burn);
    }
}
