/*
 * NAME
 *     support_spare - synthetic demand, a model of pools, and naive planners
 *
 * DESCRIPTION
 *     Demand is generated once for a seed, and every planner gets the same
 *     demand. Five services peak in turn, at five times their mean rate for
 *     some seconds and at a twentieth of it in between, with short jobs and a
 *     few long ones. Each pool is a first-in, first-out queue in front of
 *     size * slots servers.
 */
#ifndef COLTSFOOT_TESTS_SUPPORT_SPARE_H
#define COLTSFOOT_TESTS_SUPPORT_SPARE_H

#include "hist.h"
#include "spare.h"

#define SPARE_SERVICES 5
#define SPARE_SLOTS 8
#define SPARE_TICK_MS 50

typedef struct SpareScenario {
    const char *name;
    uint32_t pool_sizes[SPARE_SERVICES]; /* VMs; the spare pool is last */
    double short_ms;                     /* mean run time of short jobs */
    double peak_load; /* offered load at the peak, relative to the capacity */
    int64_t move_ms;  /* time from the close to the opening in the new pool */
    SpareOptions options;
} SpareScenario;

typedef struct SpareJob {
    uint32_t arrival_tick;
    uint32_t run_ticks;
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
    SPARE_GREEDY,        /* one VM per call for each pool with waiting jobs */
    SPARE_GREEDY_RETURN, /* returns idle VMs above the initial size too */
    SPARE_REGRET         /* moves planned by SparePlanner */
} SparePolicy;

typedef struct SpareReport {
    double idle_vm_s; /* idle VMs and VMs in transit, in VM seconds */
    double shortfall; /* waiting jobs / slots of a VM, in VM seconds */
    uint64_t moves;
    uint64_t violations; /* moves below min_size or above the budget */
    uint64_t reversed; /* moves within 8 s of a move in the other direction */
    Hist wait_ms;      /* of short jobs */
} SpareReport;

SpareScenario SpareScenario_GetHollis(void);
SpareScenario SpareScenario_GetAlliance(void);

/* Returns demand scaled to the pool sizes; free it with SpareDemand_Free. */
SpareDemand SpareDemand_Generate(const SpareScenario *scenario,
                                 uint32_t seconds, uint64_t seed);
void SpareDemand_Free(SpareDemand *demand);

/* Serves the demand with pools that have removed_vms fewer VMs each. */
void SpareModel_Run(const SpareScenario *scenario, const SpareDemand *demand,
                    uint32_t removed_vms, SparePolicy policy,
                    SpareReport *report);

#endif
