/*
 * NAME
 *     jobfounder - which control node creates the cluster of the job service
 *
 * DESCRIPTION
 *     Core without I/O. Nodes that start for the first time know the same
 *     seeds and nothing else of each other. The founder is the control node
 *     among the seeds whose address sorts first; seeds that are entry VMs are
 *     passed over. Two nodes never both found: of two control nodes among the
 *     seeds, the later one sees the earlier one as no entry VM.
 */
#ifndef COLTSFOOT_JOBFOUNDER_H
#define COLTSFOOT_JOBFOUNDER_H

#include <stdbool.h>
#include <stddef.h>

#include "settings.h"

typedef enum JobFounder {
    JOB_FOUNDER_SELF,
    JOB_FOUNDER_OTHER, /* another node, or one that is not known yet */
    JOB_FOUNDER_NOBODY /* every seed is an entry VM */
} JobFounder;

/* Chooses the founder among count seeds. self is the control address of this
 * node; is_entry tells for each seed whether it is known to be an entry VM. */
JobFounder JobFounder_Choose(const SettingsAddress *seeds,
                             const bool *is_entry, size_t count,
                             const SettingsAddress *self);

#endif
