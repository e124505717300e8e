/*
 * NAME
 *     common_targets - state of the targets that one process stands for
 *
 * DESCRIPTION
 *     All functions but Targets_Lock and Targets_Unlock expect the lock to be
 *     held. A run is the execution of one request; it holds a slot until its
 *     due time.
 */
#ifndef COLTSFOOT_STANDIN_COMMON_TARGETS_H
#define COLTSFOOT_STANDIN_COMMON_TARGETS_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "buf.h"

struct MHD_Connection;
struct MHD_Daemon;

#define TARGET_TEXT_BYTES 128

typedef struct Run {
    struct Run *next; /* in the list of its target */
    struct MHD_Connection *connection;
    int64_t due_us;
    bool stopped; /* by the platform or a reboot */
    bool ended;
    char service[TARGET_TEXT_BYTES];
    char caller[TARGET_TEXT_BYTES];
    char id[TARGET_TEXT_BYTES];
    char attempt[TARGET_TEXT_BYTES];
    long deadline_ms;
    Buf body;
} Run;

typedef struct Target {
    struct MHD_Daemon *daemon; /* NULL while rebooting */
    char name[TARGET_TEXT_BYTES];
    char rack[TARGET_TEXT_BYTES];
    int port;
    int64_t incarnation;
    int64_t up_at_us; /* end of a reboot */
    bool draining;
    bool reboot_wanted;
    bool fail_all;
    double slow_factor;
    int in_flight;
    int highest; /* most runs at one time */
    int connections;
    int highest_connections;
    int64_t executions;
    int64_t refused;
    int64_t after_departure; /* runs asked for later than the bound */
    int64_t reboots;
    int64_t cut_off; /* runs that a reboot stopped */
    /* A target in one pool at a time runs one service at a time. */
    int64_t mixed;    /* runs started while another service's run was on */
    int64_t switches; /* changes of service from one start to the next */
    char last_service[TARGET_TEXT_BYTES];
    Run *runs;
} Target;

typedef struct TargetOptions {
    const char *host;
    const char *name;
    const char *data_centre;
    const char *rack;
    const char *pool; /* NULL: not announced */
    int port;
    int count;
    int per_rack;
    int slots;
    int connections;
    int cores;
    int memory_mb;
    int accelerators;
    int run_ms;
    int reboot_ms;
    int leave_ms;
    int late_percent;
    bool run_from_body;
    bool fail_all;
    double slow_factor;
    uint64_t seed;
} TargetOptions;

typedef struct Targets {
    TargetOptions options;
    pthread_mutex_t mutex;
    pthread_cond_t changed; /* for the announcers */
    Target *list;
    json_t *by_id;     /* executions by request id */
    json_t *by_caller; /* executions by "caller/request id" */
    char process[32];
    int64_t leaving_us; /* 0 until the process was asked to stop */
    bool ended;
    int most_unavailable; /* targets draining or rebooting at one time */
    uint64_t random;
} Targets;

/* A departing target must receive no new work after this time. */
#define DEPARTURE_BOUND_US 2000000

void Targets_Lock(Targets *targets);
void Targets_Unlock(Targets *targets);

/* Builds the list of targets from the options. */
void Targets_Init(Targets *targets, const TargetOptions *options);

/* Starts a run when the target has a free slot. Returns false, and counts a
 * refusal, when it does not run. */
bool Targets_Start(Targets *targets, Target *target, Run *run);

/* Counts the targets that are draining or rebooting; called after each change
 * of one, so that the highest count misses none. */
void Targets_CountUnavailable(Targets *targets);

/* Ends a run and frees its slot. */
void Targets_End(Target *target, Run *run);

/* Returns the runs in flight at all targets. */
int Targets_InFlight(const Targets *targets);

/* Returns counts as JSON; the caller owns the reference. */
json_t *Targets_Counts(const Targets *targets);

/* Returns the announcement of a target as JSON text to be freed. */
char *Targets_Announcement(const Targets *targets, const Target *target);

/* Runs a platform operation on a task: checkpoint, throttle or stop. Returns
 * false for an unknown task or operation. */
bool Targets_Task(Target *target, const char *id, const char *operation);

#endif
