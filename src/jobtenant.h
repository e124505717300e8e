/*
 * NAME
 *     jobtenant - which requests on queues and jobs a key permits
 *
 * DESCRIPTION
 *     Core without I/O. A configuration with tenants asks each caller of a
 *     queue that is not public for a key of one of them. A configuration
 *     without tenants asks nobody for a key.
 */
#ifndef COLTSFOOT_JOBTENANT_H
#define COLTSFOOT_JOBTENANT_H

#include "job.h"
#include "jobstate.h"

typedef enum JobAccess {
    JOB_ACCESS_GRANTED,
    JOB_ACCESS_NO_QUEUE, /* the configuration has no such queue */
    JOB_ACCESS_DENIED    /* the key is missing or of no tenant */
} JobAccess;

/* Returns the tenant that has a key, or NULL. The time does not depend on the
 * bytes of the keys, only on their number and on whether key is empty. key has
 * JOB_KEY_BYTES bytes and is empty if the request has none. */
const JobTenant *JobTenant_FindByKey(const JobConfig *config, const char *key);

/* Decides whether a request with a key may use a queue. *tenant is set to the
 * name of the key's tenant, or to an empty text if the queue is public or the
 * configuration has no tenants. It points into the configuration. */
JobAccess JobTenant_CheckQueue(const JobConfig *config, const char *queue,
                               const char *key, const char **tenant);

/* Returns whether a request of a tenant may see and cancel a job. An empty
 * name is that of a request without a tenant, which may only use the jobs of
 * queues that are public now. */
bool JobTenant_MayUseJob(const JobConfig *config, const Job *job,
                         const char *tenant);

/* Returns whether a submission of a tenant to a queue, whose access was
 * checked by an earlier configuration, conforms to this one. */
bool JobTenant_MaySubmit(const JobConfig *config, const JobQueue *queue,
                         const char *tenant);

#endif
