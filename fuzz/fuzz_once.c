/* Fuzzes the at-most-once module: runs the model with events drawn from the
 * input, and decodes the input as records and as a token. */
#include <stdint.h>
#include <stdlib.h>

#include "once.h"
#include "support_once.h"

static void
decode_input(const char *bytes, size_t len)
{
    OnceOptions options = ONCE_OPTIONS_DEFAULT;
    OnceRecovery recovery;
    OnceView view;
    Once *once;
    Buf token = BUF_INIT;

    options.home = "a";
    options.incarnation = 9;
    options.max_tokens = 4;
    options.max_held = 4;
    once = Once_New(&options);
    Once_RecoverRecords(once, 1, bytes, len, &recovery, NULL);
    if (recovery.valid_bytes > len) {
        abort();
    }
    Once_HoldIntent(once, 1, bytes, len);
    Once_HoldOutcome(once, 1, bytes, len);
    Buf_Append(&token, bytes, len);
    if (Once_BeginRequest(once, 1, Buf_Text(&token), "c", "r", &view) ==
        ONCE_FIRST_USE) {
        abort();
    }
    Buf_Free(&token);
    Once_Free(once);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    decode_input((const char *)data, size);
    if (OnceModel_Run(1, data, size, (int)(size / 3) + 20, ONCE_FAULT_NONE)
            .violation != NULL) {
        abort();
    }
    return 0;
}
