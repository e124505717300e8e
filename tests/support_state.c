#include "support_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "statecmd.h"

#define MAX_WORDS 64

typedef struct Words {
    char text[4096];
    char *word[MAX_WORDS];
    size_t count;
} Words;

static uint64_t
get_number(const Words *words, size_t i)
{
    return i < words->count ? strtoull(words->word[i], NULL, 10) : 0;
}

static const char *
get_word(const Words *words, size_t i)
{
    if (i >= words->count || strcmp(words->word[i], "-") == 0) {
        return "";
    }
    return words->word[i];
}

static void
split_line(Words *words, const char *line)
{
    char *token;
    char *save = NULL;

    snprintf(words->text, sizeof(words->text), "%s", line);
    words->count = 0;
    for (token = strtok_r(words->text, " ", &save);
         token != NULL && words->count < MAX_WORDS;
         token = strtok_r(NULL, " ", &save)) {
        words->word[words->count++] = token;
    }
}

static void
encode_patch(Buf *out, const Words *words)
{
    static PatchEdit edits[MAX_WORDS];
    ParsedPatch patch = {.base = get_number(words, 1), .edits = edits};
    size_t i;

    snprintf(patch.operator_name, sizeof(patch.operator_name), "%s",
             get_word(words, 2));
    snprintf(patch.request_id, sizeof(patch.request_id), "%s",
             get_word(words, 3));
    for (i = 4; i < words->count; i++) {
        PatchEdit *edit = &edits[patch.edit_count++];
        const char *text = words->word[i];
        const char *equals = strchr(text, '=');
        memset(edit, 0, sizeof(*edit));
        edit->is_delete = text[0] == '-';
        if (edit->is_delete || equals == NULL) {
            snprintf(edit->path, sizeof(edit->path), "%s",
                     text + edit->is_delete);
            continue;
        }
        snprintf(edit->path, sizeof(edit->path), "%.*s", (int)(equals - text),
                 text);
        snprintf(edit->value, sizeof(edit->value), "%s", equals + 1);
    }
    StateCmd_EncodePatch(out, &patch);
}

static bool
encode_vm(Buf *out, const Words *words)
{
    const char *kind = get_word(words, 0);
    const char *vm = get_word(words, 1);

    if (strcmp(kind, "vm") == 0) {
        StateCmd_EncodeRegisterVm(out, vm, get_word(words, 2),
                                  get_word(words, 3), get_word(words, 4));
    }
    else if (strcmp(kind, "remove") == 0) {
        StateCmd_EncodeRemoveVm(out, vm, get_word(words, 2),
                                get_word(words, 3));
    }
    else if (strcmp(kind, "move") == 0) {
        StateCmd_EncodeBeginMove(out, vm, get_number(words, 2),
                                 get_word(words, 3));
    }
    else if (strcmp(kind, "close") == 0) {
        StateCmd_EncodeCloseVm(out, vm, get_number(words, 2),
                               get_number(words, 3));
    }
    else if (strcmp(kind, "ack") == 0) {
        StateCmd_EncodeAckClose(out, vm, get_number(words, 2),
                                get_word(words, 3), get_number(words, 4));
    }
    else if (strcmp(kind, "drained") == 0) {
        StateCmd_EncodeVmDrained(out, vm, get_number(words, 2));
    }
    else if (strcmp(kind, "cancel") == 0) {
        StateCmd_EncodeCancelMove(out, vm, get_number(words, 2));
    }
    else {
        return false;
    }
    return true;
}

static bool
encode_wave(Buf *out, const Words *words)
{
    const char *kind = get_word(words, 0);
    const char *name = get_word(words, 1);

    if (strcmp(kind, "wave") == 0) {
        StateCmd_EncodeStartWave(out, name, get_word(words, 2),
                                 get_word(words, 3),
                                 (int64_t)get_number(words, 4),
                                 (const char *const *)&words->word[5],
                                 words->count > 5 ? words->count - 5 : 0);
    }
    else if (strcmp(kind, "step") == 0) {
        StateCmd_EncodeWaveStep(out, name, get_word(words, 2),
                                (StateStep)get_number(words, 3));
    }
    else if (strcmp(kind, "control") == 0) {
        StateCmd_EncodeWaveControl(
            out, name, (StateWaveAction)get_number(words, 2),
            get_word(words, 3), get_word(words, 4), get_word(words, 5));
    }
    else {
        return false;
    }
    return true;
}

bool
SupportState_Encode(Buf *out, const char *line)
{
    static Words words;
    const char *kind;

    split_line(&words, line);
    kind = get_word(&words, 0);
    if (strcmp(kind, "patch") == 0) {
        encode_patch(out, &words);
    }
    else if (strcmp(kind, "member") == 0) {
        StateCmd_EncodeRegisterMember(
            out, get_word(&words, 1), get_word(&words, 2),
            get_number(&words, 3), get_number(&words, 4),
            strcmp(get_word(&words, 5), "disk") == 0);
    }
    else if (strcmp(kind, "destroyed") == 0) {
        StateCmd_EncodeDeclareDestroyed(out, get_word(&words, 1),
                                        get_word(&words, 2),
                                        get_word(&words, 3));
    }
    else if (strcmp(kind, "release") == 0) {
        StateCmd_EncodeReleaseShare(
            out, get_word(&words, 1), get_number(&words, 2),
            get_word(&words, 3), get_number(&words, 4), get_number(&words, 5));
    }
    else if (strcmp(kind, "ask") == 0) {
        StateCmd_EncodeAskShare(out, get_word(&words, 1),
                                get_number(&words, 2), get_word(&words, 3),
                                get_number(&words, 4), get_number(&words, 5));
    }
    else if (strcmp(kind, "nothing") == 0) {
        StateCmd_EncodeNoop(out);
    }
    else {
        return encode_vm(out, &words) || encode_wave(out, &words);
    }
    return true;
}

Status
SupportState_ApplyResult(State *state, const char *line, StateResult *result)
{
    Buf command = BUF_INIT;
    Buf bytes = BUF_INIT;
    Status status;

    if (!SupportState_Encode(&command, line)) {
        abort();
    }
    status = State_Apply(state, State_GetAppliedIndex(state) + 1, command.data,
                         command.len, &bytes);
    if (State_ParseResult(bytes.data, bytes.len, result) != ST_OK ||
        result->status != status) {
        abort();
    }
    Buf_Free(&command);
    Buf_Free(&bytes);
    return status;
}

Status
SupportState_Apply(State *state, const char *line)
{
    StateResult result;

    return SupportState_ApplyResult(state, line, &result);
}
