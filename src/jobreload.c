#include "jobreload.h"

#include <stdio.h>
#include <stdlib.h>

#include "findings.h"
#include "mem.h"
#include "slog.h"

void
JobReload_ReloadSettings(const char *file, Peers *peers)
{
    Findings *findings = Findings_New(file);
    Settings *settings = Mem_New(1, sizeof(*settings));
    Status status = Settings_Load(file, settings, findings);

    Slog_Begin(status == ST_OK ? SLOG_CHANGE : SLOG_FAILURE,
               "settings_reloaded");
    Slog_AddInt("findings", (int64_t)Findings_Count(findings));
    Slog_AddInt("seeds", (int64_t)settings->seed_count);
    Slog_End();
    Findings_Print(findings, stderr);
    if (status == ST_OK) {
        Peers_AddSeeds(peers, settings);
    }
    Findings_Free(findings);
    free(settings);
}
