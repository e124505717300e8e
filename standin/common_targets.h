/*
 * NAME
 *     common_targets - state of the targets that one process simulates
 *
 * DESCRIPTION
 *     All functions except Targets_Init, Targets_Lock and Targets_Unlock must
 *     be called with the lock held. A run is the execution of one request and
 *     occupies a slot until due_us.
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
    struct Run *next; /* next run of the target */
    struct MHD_Connection *connection;
    int64_t due_us; /* time at which the run ends */
    bool stopped;   /* stopped by the platform or by a reboot */
    bool ended;
    char service[TARGET_TEXT_BYTES];
    char caller[TARGET_TEXT_BYTES];
    char id[TARGET_TEXT_BYTES];
    char attempt[TARGET_TEXT_BYTES];
    long deadline_ms;
    Buf body;
} Run;

typedef struct Target {
    struct MHD_Daemon *daemon; /* NULL while the target is down */
    char name[TARGET_TEXT_BYTES];
    char rack[TARGET_TEXT_BYTES];
    int port;
    int64_t incarnation;
    int64_t reboot_end_us; /* time at which the target serves again */
    bool draining;
    bool rebooting; /* a reboot was requested and has not ended */
    bool fail_all;
    double slow_factor;
    int in_flight;
    int highest; /* maximum of in_flight */
    int connections;
    int highest_connections;
    int64_t executions;
    int64_t refused;
    int64_t after_departure; /* requests past TARGET_DEPARTURE_BOUND_US */
    int64_t reboots;
    int64_t cut_off; /* runs stopped by a reboot */
    /* A target is in one pool at a time, so it runs one service at a time. */
    int64_t mixed;    /* starts while another service was running */
    int64_t switches; /* starts of a service other than last_service */
    char last_service[TARGET_TEXT_BYTES];
    Run *runs;
} Target;

typedef struct TargetOptions {
    const char *host;
    const char *name;
    const char *data_centre;
    const char *rack;
    const char *pool; /* NULL: left out of the announcement */
    int port;
    int count;
    int per_rack;
    int slots;
    int connections;
    int cores;
    int memory_mb;
    int accelerators;
    int run_ms;
    int answer_bytes; /* least length of an answer */
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
    pthread_cond_t changed; /* wakes the announcers */
    Target *list;
    json_t *by_id;      /* executions by request id */
    json_t *by_caller;  /* executions by "caller/request id" */
    char process[32];   /* random id of this process */
    int64_t leaving_us; /* time of the stop signal; 0 before it */
    bool ended;
    int most_unavailable; /* most targets draining or rebooting at once */
    uint64_t random_state;
} Targets;

/* Time after the stop signal within which entry VMs must stop sending new runs
 * to a target. */
#define TARGET_DEPARTURE_BOUND_US 2000000

void Targets_Lock(Targets *targets);
void Targets_Unlock(Targets *targets);

/* Initializes targets with the list of targets that the options describe. */
void Targets_Init(Targets *targets, const TargetOptions *options);

/* Starts a run if the target is available and has a free slot. Otherwise
 * counts a refusal and returns false. */
bool Targets_StartRun(Targets *targets, Target *target, Run *run);

/* Updates most_unavailable. Must be called after each platform operation that
 * drains or reboots a target, so that no maximum is missed. */
void Targets_UpdateMostUnavailable(Targets *targets);

/* Ends a run and frees its slot. */
void Targets_EndRun(Target *target, Run *run);

/* Returns the number of runs in flight at all targets. */
int Targets_CountInFlight(const Targets *targets);

/* Returns the counts as JSON. The caller owns the reference. */
json_t *Targets_BuildCounts(const Targets *targets);

/* Returns a target's announcement as JSON text, which the caller frees. */
char *Targets_BuildAnnouncement(const Targets *targets, const Target *target);

/* Applies the platform's operation checkpoint, throttle or stop to a run,
 * found by its request id or attempt. Returns false if the run or the
 * operation is unknown. */
bool Targets_ControlTask(Target *target, const char *id,
                         const char *operation);

#endif
