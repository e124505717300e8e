/*
 * NAME
 *     jobfleet_impl - declarations shared by the source files of jobfleet
 */
#ifndef COLTSFOOT_JOBFLEET_IMPL_H
#define COLTSFOOT_JOBFLEET_IMPL_H

#include "jobfleet.h"
#include "jobsizing.h"
#include "strmap.h"

/* A fencing token for the VM service holds the term above these bits and a
 * counter in them. Tokens for targets are numbered separately. */
#define FLEET_FENCE_BITS 20
#define FLEET_MAX_CALLS 64
#define FLEET_MAX_COMMANDS 64
/* Delay before a failed call or an unstored proposal is repeated. */
#define FLEET_RETRY_MS 500
/* A VM missing from the VM list for this time has left the platform. */
#define FLEET_ABSENT_MS 6000
/* Time after an order was stored in which it may be sent. A later call needs
 * the order to be stored again. */
#define FLEET_STORED_ORDER_VALID_MS 1000
/* Time after a call without an answer in which it may still be carried out. */
#define FLEET_LATE_CALL_MS 15000
/* A move is cancelled if the VM is not drained after this time. */
#define FLEET_MOVE_DRAIN_TIMEOUT_MS 4000
/* Maintenance interrupts short tasks that still run after this time. */
#define FLEET_WAVE_DRAIN_TIMEOUT_MS 3000
/* Time from cooldown_start_ms during which a VM does not move to standby. */
#define FLEET_MOVE_COOLDOWN_MS 2500

typedef enum FleetOrderKind {
    FLEET_ORDER_NONE,
    FLEET_ORDER_MOVE,
    FLEET_ORDER_MAINTAIN
} FleetOrderKind;

typedef struct FleetVm {
    JobVm listed; /* latest entry of the VM list */
    uint64_t last_list_number;
    int64_t listed_ms; /* request time of the last list that contained it */
    FleetOrderKind order;
    char pool[JOB_NAME_BYTES];         /* destination of the order */
    char ended_target[JOB_NAME_BYTES]; /* target that the order ends */
    uint64_t ended_born;               /* its start time, if it was known */
    uint64_t fence;                    /* fencing token of the order */
    uint64_t wave;
    int64_t order_ms;      /* creation time of the order */
    int64_t next_call_ms;  /* earliest time of the next call */
    int64_t next_store_ms; /* earliest time to propose storing the order */
    int64_t unsettled_until_ms; /* until when a call of the order without a
                                   clear answer may be carried out */
    int64_t accepted_ms;        /* time of acceptance by the VM service */
    int64_t cooldown_start_ms;  /* time of the last order that was accepted,
                                   refused or not drained in time */
    bool call_in_flight;
    bool call_sent; /* a call was sent; the order may have been carried out */
    bool accepted;  /* the VM service has accepted the order */
} FleetVm;

/* What was read of a list of VMs since its first page was requested. */
typedef struct FleetList {
    const char *flaw; /* why it may lack VMs, or NULL */
    uint64_t *tokens; /* hashes of the page tokens */
    size_t token_count;
    uint64_t names; /* sum of the hashes of the names, in any order */
    size_t rows;
} FleetList;

struct JobFleet {
    JobFleetOptions options;
    JobState *state;
    JobSched *sched;
    bool is_leader;
    int64_t lead_start_ms;
    int64_t wall_ms;
    int64_t confirmed_ms; /* last confirmation by a majority */
    uint64_t fence;       /* last fencing token used */
    StrMap *vms;          /* FleetVm by name */
    bool list_complete;   /* a VM list was read to its end */
    bool list_in_flight;
    int64_t list_due_ms;
    int64_t list_sent_ms; /* time of the last request for the first page */
    uint64_t list_number; /* count of lists requested */
    char *page; /* token of the next page of the list; NULL: the first */
    FleetList list;
    const char *last_flaw;  /* of the list before this one, or NULL */
    bool has_earlier_names; /* a list was read whole in this term */
    uint64_t earlier_names; /* as in FleetList, of the latest of these */
    size_t earlier_rows;
    int64_t whole_list_ms; /* request time of the latest list by which VMs
                            * were removed; 0: none in this term */
    uint64_t lists_incomplete;
    int64_t next_plan_ms;
    int64_t next_log_ms;
    JobSizing *sizings; /* one for each pool planned so far */
    size_t sizing_count;
    int64_t first_demand_ms; /* first work seen in this term; 0: none */
    JobVmCall calls[FLEET_MAX_CALLS];
    size_t call_count;
    Buf commands[FLEET_MAX_COMMANDS];
    size_t command_count;
};

FleetVm *FleetImpl_FindVm(JobFleet *fleet, const char *name);
/* Returns whether a VM is up, has no order and has no field that cannot be
 * used, so that it may get an order. */
bool FleetImpl_IsReady(const FleetVm *vm);
/* Returns the target that last announced itself on a VM, or NULL. */
JobTarget *FleetImpl_FindTarget(const JobFleet *fleet, const FleetVm *vm);
/* Returns whether an order of an earlier leader for the VM may still be in
 * effect. */
bool FleetImpl_HasEarlierOrder(const JobFleet *fleet, int64_t now,
                               const char *vm);
/* Returns until when a call of an earlier leader for the VM may be carried
 * out; 0: there is none. */
int64_t FleetImpl_GetLateUntil(const JobFleet *fleet, const char *vm);
/* Returns whether this leader is confirmed and no order of an earlier leader
 * for the VM may still be in effect. */
bool FleetImpl_MayOrderVm(const JobFleet *fleet, int64_t now,
                          const FleetVm *vm);
/* Queues a command for the log, or drops it if the queue is full. Takes over
 * its buffer. */
void FleetImpl_QueueCommand(JobFleet *fleet, Buf *command);
/* Gives a VM a new order. Later ticks drain the VM and send the order. */
void FleetImpl_OrderVm(JobFleet *fleet, int64_t now, FleetVm *vm,
                       FleetOrderKind order, const char *pool, uint64_t wave);
/* Cancels the order of a VM unless a call was sent for it. */
void FleetImpl_CancelOrder(JobFleet *fleet, FleetVm *vm);

/* Ends the order of a VM and lets its target take work again. */
void FleetImpl_ClearOrder(JobFleet *fleet, FleetVm *vm);
/* Returns a new call, or NULL if too many calls wait to be taken. */
JobVmCall *FleetImpl_AddCall(JobFleet *fleet, JobVmCallKind kind);

/* jobfleet_list.c */
/* Forgets what was read of lists, at the start or end of a term. */
void FleetImpl_ResetList(JobFleet *fleet);
/* Requests the next page of the VM list if it is due. */
void FleetImpl_RequestList(JobFleet *fleet, int64_t now);
void FleetImpl_HandleListAnswer(JobFleet *fleet, int64_t now,
                                const JobVmAnswer *answer);

/* jobfleet_wave.c */
/* Forgets which VMs of waves were missing from lists of an earlier term. */
void FleetImpl_ForgetAbsences(JobFleet *fleet);
void FleetImpl_PlanWaves(JobFleet *fleet, int64_t now, int64_t wall_ms);
/* jobfleet_move.c */
void FleetImpl_PlanMoves(JobFleet *fleet, int64_t now);

#endif
