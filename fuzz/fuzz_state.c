/* Feeds the state machine with arbitrary input. The first byte selects the
 * format: 'r' is a snapshot without its checksum, which is computed here; 'c'
 * is a list of encoded commands, each after a length byte; anything else is
 * lines of commands as text. A state restored from the snapshot of the
 * resulting state must give a snapshot of the same bytes. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "state.h"
#include "state_format.h"
#include "support_state.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool condition)
{
    if (!condition) {
        abort();
    }
}

static void
check_round_trip(const State *state)
{
    State *restored = State_New();
    Buf first = BUF_INIT;
    Buf second = BUF_INIT;
    ErrCtx err;

    State_AppendSnapshot(state, &first);
    require(State_Restore(restored, first.data, first.len, &err) == ST_OK);
    State_AppendSnapshot(restored, &second);
    require(first.len == second.len &&
            memcmp(first.data, second.data, first.len) == 0);
    Buf_Free(&first);
    Buf_Free(&second);
    State_Free(restored);
}

static void
restore_snapshot(State *state, const uint8_t *data, size_t size)
{
    unsigned char checksum[STATE_FORMAT_CHECKSUM_BYTES];
    Buf bytes = BUF_INIT;
    ErrCtx err;

    Buf_Append(&bytes, data, size);
    StateFormat_WriteChecksum((const char *)data, size, checksum);
    Buf_Append(&bytes, checksum, sizeof(checksum));
    if (State_Restore(state, bytes.data, bytes.len, &err) != ST_OK) {
        require(err.message[0] != '\0');
    }
    Buf_Free(&bytes);
}

static void
apply_encoded(State *state, const uint8_t *data, size_t size)
{
    while (size > 0) {
        size_t len = data[0] < size - 1 ? data[0] : size - 1;
        Buf result = BUF_INIT;
        StateResult parsed;
        State_Apply(state, State_GetAppliedIndex(state) + 1,
                    (const char *)data + 1, len, &result);
        require(State_ParseResult(result.data, result.len, &parsed) == ST_OK);
        Buf_Free(&result);
        data += 1 + len;
        size -= 1 + len;
    }
}

static void
apply_lines(State *state, const uint8_t *data, size_t size)
{
    while (size > 0) {
        char line[512];
        const uint8_t *end = memchr(data, '\n', size);
        size_t len = end != NULL ? (size_t)(end - data) : size;
        size_t copied = len < sizeof(line) ? len : sizeof(line) - 1;
        Buf command = BUF_INIT;
        Buf result = BUF_INIT;
        memcpy(line, data, copied);
        line[copied] = '\0';
        if (SupportState_Encode(&command, line)) {
            State_Apply(state, State_GetAppliedIndex(state) + 1, command.data,
                        command.len, &result);
        }
        Buf_Free(&command);
        Buf_Free(&result);
        data += len + (end != NULL);
        size -= len + (end != NULL);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    State *state = State_New();

    if (size > 0 && data[0] == 'r') {
        restore_snapshot(state, data + 1, size - 1);
    }
    else if (size > 0 && data[0] == 'c') {
        apply_encoded(state, data + 1, size - 1);
    }
    else if (size > 0) {
        apply_lines(state, data, size);
    }
    check_round_trip(state);
    State_Free(state);
    return 0;
}
