/*
 * NAME
 *     jobfounder - which control node creates the cluster of the job service,
 *     and when that may serve
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
#include <stdint.h>

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

/* Longest wait of a founder for further voters. Below the time in which an
 * operator expects the first configuration to be stored. */
#define JOBFOUNDER_MAX_WAIT_MS 3000

/* What a leader knows when it may begin to serve. */
typedef struct JobFounding {
    bool is_used;         /* a configuration, a job or a wave is stored */
    size_t voters;        /* in the member list */
    size_t wanted_voters; /* so many that disks may be lost */
    int64_t waited_ms;    /* since the leader could have served */
} JobFounding;

/* Returns whether a leader may serve. The founder is the only voter at first:
 * what it acknowledges then is lost with its disk, and so is the quorum. Until
 * something was acknowledged, it waits for the voters that bear such a loss,
 * up to JOBFOUNDER_MAX_WAIT_MS, as one of them may be down. */
bool JobFounder_MayServe(const JobFounding *founding);

#endif
