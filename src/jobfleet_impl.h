/*
 * NAME
 *     jobfleet_impl - the inside of jobfleet, shared by its source files
 */
#ifndef COLTSFOOT_JOBFLEET_IMPL_H
#define COLTSFOOT_JOBFLEET_IMPL_H

#include "jobfleet.h"
#include "jobsizing.h"

/* Fences of the VM service by term, apart from those of targets. */
#define FLEET_FENCE_BITS 20
#define FLEET_MAX_CALLS 64
#define FLEET_MAX_COMMANDS 64
/* A move is given up when the VM is not free after this. */
#define FLEET_MOVE_DRAIN_MS 4000
/* Short work is cut off by maintenance after this. */
#define FLEET_WAVE_DRAIN_MS 3000
/* A VM that moved stays at least this long. */
#define FLEET_MOVE_AGAIN_MS 2500

typedef enum FleetOrder { FLEET_NONE, FLEET_MOVE, FLEET_MAINTAIN } FleetOrder;

typedef struct FleetVm {
    JobVm listed;
    uint64_t seen_list;
    FleetOrder order;
    char pool[JOB_NAME_BYTES];       /* where it is to move */
    char old_target[JOB_NAME_BYTES]; /* that the order ends */
    uint64_t fence;                  /* of the order */
    uint64_t wave;
    int64_t since_ms;   /* of the order */
    int64_t call_ms;    /* the next call is due */
    int64_t store_ms;   /* the next proposal to store the order is due */
    int64_t ordered_ms; /* the VM service has accepted it */
    int64_t moved_ms;
    bool calling;
    bool committed; /* it was called for and may have been carried out */
    bool ordered;
} FleetVm;

struct JobFleet {
    JobFleetOptions options;
    JobState *state;
    JobSched *sched;
    bool leads;
    int64_t lead_ms;
    int64_t wall_ms;
    int64_t confirmed_ms;
    uint64_t fence;
    FleetVm *vms;
    size_t vm_count;
    bool listed; /* the whole list was read once */
    bool listing;
    int64_t list_due_ms;
    int64_t list_sent_ms;
    uint64_t list_number;
    char page[JOB_NAME_BYTES];
    int64_t plan_ms;
    int64_t log_ms;
    JobSizing *sizings; /* of the pools that were planned */
    size_t sizing_count;
    int64_t demand_ms; /* when this leader first saw work arrive */
    JobVmCall calls[FLEET_MAX_CALLS];
    size_t call_count;
    Buf commands[FLEET_MAX_COMMANDS];
    size_t command_count;
};

FleetVm *FleetImpl_Find(JobFleet *fleet, const char *name);
/* Returns the latest target that runs on a VM, or NULL. */
JobTarget *FleetImpl_Target(const JobFleet *fleet, const FleetVm *vm);
/* Returns whether an earlier leader may have ordered the VM just now. */
bool FleetImpl_IsUnsettled(const JobFleet *fleet, int64_t now, const char *vm);
bool FleetImpl_MayOrder(const JobFleet *fleet, int64_t now, const FleetVm *vm);
void FleetImpl_Command(JobFleet *fleet, Buf *command);
void FleetImpl_Order(JobFleet *fleet, int64_t now, FleetVm *vm,
                     FleetOrder order, const char *pool, uint64_t wave);
/* Takes an order back that has not been called for. */
void FleetImpl_Cancel(JobFleet *fleet, FleetVm *vm);

/* jobfleet_wave.c */
void FleetImpl_PlanWaves(JobFleet *fleet, int64_t now, int64_t wall_ms);
/* jobfleet_move.c */
void FleetImpl_PlanMoves(JobFleet *fleet, int64_t now);

#endif
