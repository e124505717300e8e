/*
 * NAME
 *     support_spare - recorded demand, a model of pools, and naive planners
 *
 * DESCRIPTION
 *     Demand is recorded once: five services by turns at five times their
 *     mean for some seconds and at a twentieth between, with short and a few
 *     long jobs. Each pool is a queue, first come, first served, in front of
 *     size * slots servers. Every planner sees the same demand.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_SPARE_H
#define COLTSFOOT_TESTS_SUPPORT_SPARE_H

#include "hist.h"
#include "spare.h"

#define SPARE_SERVICES 5
#define SPARE_SLOTS 8
#define SPARE_TICK_MS 50

typedef struct SpareUser {
    const char *name;
    uint32_t sizes[SPARE_SERVICES]; /* the last one is the spare pool */
    double short_ms;                /* mean run time */
    double peak_load; /* offered load at the peak by capacity of the pool */
    int64_t move_ms;  /* from the close to the opening in the new pool */
    SpareOptions options;
} SpareUser;

typedef struct SpareJob {
    uint32_t tick;
    uint32_t ticks; /* run time */
    uint8_t service;
    bool is_long;
} SpareJob;

typedef struct SpareDemand {
    SpareJob *jobs;
    size_t count;
    uint32_t ticks;
} SpareDemand;

typedef enum SparePolicy {
    SPARE_STATIC,
    SPARE_GREEDY,        /* a VM for each pool with waiting work, each time */
    SPARE_GREEDY_RETURN, /* and idle VMs above the first size go back */
    SPARE_RULE
} SparePolicy;

typedef struct SpareReport {
    double idle_vm_s; /* VMs without work, and VMs between two pools */
    double shortfall; /* waiting jobs by slots of a VM, in VM seconds */
    uint64_t moves;
    uint64_t broken;   /* moves below min_size or above the budget */
    uint64_t reversed; /* within 8 s of the move in the other direction */
    Hist wait_ms;      /* of short jobs */
} SpareReport;

SpareUser SpareUser_Hollis(void);
SpareUser SpareUser_Alliance(void);

/* The sizes of the user give the demand; free with SpareDemand_Free. */
SpareDemand SpareDemand_Record(const SpareUser *user, uint32_t seconds,
                               uint64_t seed);
void SpareDemand_Free(SpareDemand *demand);

/* Serves the demand by pools whose size is reduced by less VMs each. */
void SpareModel_Run(const SpareUser *user, const SpareDemand *demand,
                    uint32_t less, SparePolicy policy, SpareReport *report);

#endif
