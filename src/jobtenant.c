#include "jobtenant.h"

#include <string.h>

#include "jobcodec.h"

/* Returns all ones if byte is not 0, and 0 otherwise, without a branch. */
static unsigned
get_nonzero_mask(unsigned byte)
{
    return 0U - ((byte | (0U - byte)) >> (sizeof(unsigned) * 8 - 1));
}

/* Compares two texts of JOB_KEY_BYTES bytes in constant time. Returns 1 if
 * they are equal, and 0 otherwise. Bytes after the end of a text are ignored.
 */
static size_t
are_keys_equal(const char *a, const char *b)
{
    unsigned within = ~0U; /* 0 after the end of a */
    unsigned different = 0;
    size_t i;

    for (i = 0; i < JOB_KEY_BYTES; i++) {
        unsigned byte = (unsigned char)a[i];
        different |= (byte ^ (unsigned char)b[i]) & within;
        within &= get_nonzero_mask(byte);
    }
    return (size_t)1 & ~(size_t)get_nonzero_mask(different);
}

const JobTenant *
JobTenant_FindByKey(const JobConfig *config, const char *key)
{
    size_t found = config->tenant_count;
    size_t i;
    size_t k;

    if (key[0] == '\0') {
        return NULL;
    }
    for (i = 0; i < config->tenant_count; i++) {
        for (k = 0; k < config->tenants[i].key_count; k++) {
            size_t mask =
                (size_t)0 - are_keys_equal(key, config->tenants[i].keys[k]);
            found = (found & ~mask) | (i & mask);
        }
    }
    return found < config->tenant_count ? &config->tenants[found] : NULL;
}

JobAccess
JobTenant_CheckQueue(const JobConfig *config, const char *queue,
                     const char *key, const char **tenant)
{
    const JobQueue *row;
    const JobTenant *owner;

    *tenant = "";
    if (config->tenant_count == 0) {
        return JOB_ACCESS_GRANTED;
    }
    row = JobConfig_FindQueue(config, queue);
    if (row == NULL) {
        return JOB_ACCESS_NO_QUEUE;
    }
    if (row->is_public) {
        return JOB_ACCESS_GRANTED;
    }
    owner = JobTenant_FindByKey(config, key);
    if (owner == NULL) {
        return JOB_ACCESS_DENIED;
    }
    *tenant = owner->name;
    return JOB_ACCESS_GRANTED;
}

bool
JobTenant_MayUseJob(const JobConfig *config, const Job *job,
                    const char *tenant)
{
    const JobQueue *queue;

    if (config->tenant_count == 0) {
        return true;
    }
    if (tenant[0] != '\0') {
        return job->tenant == NULL || strcmp(job->tenant->name, tenant) == 0;
    }
    queue = JobConfig_FindQueue(config, job->queue);
    return queue != NULL && queue->is_public;
}

bool
JobTenant_MaySubmit(const JobConfig *config, const JobQueue *queue,
                    const char *tenant)
{
    if (tenant[0] != '\0') {
        return JobConfig_FindTenant(config, tenant) != NULL;
    }
    return config->tenant_count == 0 || queue->is_public;
}
