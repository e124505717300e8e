#include <stdint.h>
#include <stdlib.h>

#include "settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Guards against a crash, a file that is accepted with a value out of bounds,
 * and a file that is refused without a finding. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    Settings *settings = malloc(sizeof(*settings));
    Findings *findings = Findings_New("fuzz");
    size_t count;
    const SettingsEntry *entries = Settings_GetEntries(&count);
    Status status =
        Settings_Parse((const char *)data, size, settings, findings);
    size_t i;

    if ((status == ST_OK) != (Findings_Count(findings) == 0)) {
        abort();
    }
    for (i = 0; status == ST_OK && i < count; i++) {
        long long value =
            *(const long long *)((const char *)settings + entries[i].offset);
        if (value < entries[i].min || value > entries[i].max) {
            abort();
        }
    }
    if (status == ST_OK &&
        (settings->name[0] == '\0' || settings->traffic.port < 1)) {
        abort();
    }
    Findings_Free(findings);
    free(settings);
    return 0;
}
