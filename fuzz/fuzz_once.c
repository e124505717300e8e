/* Entry VMs under the model's events, and damaged records and tokens. */
#include <stdint.h>
#include <stdlib.h>

#include "once.h"
#include "support_once.h"

static void
read_damaged(const char *bytes, size_t len)
{
    OnceOptions options = ONCE_OPTIONS_DEFAULT;
    OnceRecovery recovery;
    OnceView view;
    Once *once;
    Buf text = BUF_INIT;

    options.home = "a";
    options.incarnation = 9;
    options.max_tokens = 4;
    options.max_held = 4;
    once = Once_New(&options);
    Once_Recover(once, 1, bytes, len, &recovery, NULL);
    if (recovery.valid > len) {
        abort();
    }
    Once_HoldIntent(once, 1, bytes, len);
    Once_HoldOutcome(once, 1, bytes, len);
    Buf_Append(&text, bytes, len);
    if (Once_Begin(once, 1, Buf_Text(&text), "c", "r", &view) == ONCE_FRESH) {
        abort();
    }
    Buf_Free(&text);
    Once_Free(once);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    read_damaged((const char *)data, size);
    if (OnceModel_Run(1, data, size, (int)(size / 3) + 20, ONCE_FAULT_NONE)
            .violation != NULL) {
        abort();
    }
    return 0;
}
