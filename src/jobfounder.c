#include "jobfounder.h"

#include <string.h>

static int
compare_addresses(const SettingsAddress *a, const SettingsAddress *b)
{
    int order = strcmp(a->host, b->host);

    return order != 0 ? order : a->port - b->port;
}

JobFounder
JobFounder_Choose(const SettingsAddress *seeds, const bool *is_entry,
                  size_t count, const SettingsAddress *self)
{
    bool is_seed = false;
    bool is_first = true;
    size_t entries = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        int order = compare_addresses(&seeds[i], self);
        is_seed = is_seed || order == 0;
        is_first = is_first && (order >= 0 || is_entry[i]);
        entries += is_entry[i];
    }
    if (is_seed) {
        return is_first ? JOB_FOUNDER_SELF : JOB_FOUNDER_OTHER;
    }
    return entries == count ? JOB_FOUNDER_NOBODY : JOB_FOUNDER_OTHER;
}

bool
JobFounder_MayServe(const JobFounding *founding)
{
    return founding->is_used || founding->voters >= founding->wanted_voters ||
           founding->waited_ms >= JOBFOUNDER_MAX_WAIT_MS;
}
