/*
 * NAME
 *     jobctl_internal - shared by the files of jobctl
 */
#ifndef COLTSFOOT_JOBCTL_INTERNAL_H
#define COLTSFOOT_JOBCTL_INTERNAL_H

#include <msgpack.h>

#include "httpclient.h"
#include "httpserver.h"
#include "jobcodec.h"
#include "jobctl.h"
#include "jobfleet.h"
#include "jobmetrics.h"
#include "jobsched.h"
#include "jobstate.h"
#include "loop.h"
#include "looplag.h"
#include "peer.h"
#include "replica.h"
#include "signals.h"
#include "slog.h"
#include "storage.h"
#include "strmap.h"
#include "wal.h"
#include "worker.h"

#define JOBCTL_PART "jobctl"

/* Called once: ST_OK with the result, ST_NOT_LEADER when the command was
 * surely not accepted, ST_AGAIN when that is unknown. */
typedef void (*JobDoneFn)(void *arg, Status status, JobResult result);

/* A command given to the log, or a read that waits for confirmation. */
typedef struct JobWaiter {
    uint64_t cookie;
    JobDoneFn fn;
    void *arg;
    struct JobWaiter *next;
} JobWaiter;

typedef struct JobReader {
    JobDoneFn fn;
    void *arg;
    int64_t since_ms;
    struct JobReader *next;
} JobReader;

struct JobControl {
    const Settings *settings;
    const JobWire *wire;
    const char *settings_file;
    Loop *loop;
    Peers *peers;
    Storage *storage;
    Worker *syncer;     /* syncs the log while the loop goes on */
    Status sync_status; /* of its last sync */
    ErrCtx sync_err;
    Replica *replica;
    JobState *state;
    JobSched *sched;
    JobFleet *fleet;
    HttpServer *server;
    HttpServer *metrics_server; /* NULL without an address */
    JobMetrics *metrics;        /* NULL without an address */
    HttpClient *client;
    Signals *signals;
    LoopTimer *tick;
    LoopTimer *fleet_timer;
    LoopTimer *place_timer;
    int64_t placed_us; /* end of the last placement */
    JobWaiter *waiters;
    uint64_t next_cookie;
    JobReader *readers;      /* wait for the next confirmation */
    JobReader *readers_sent; /* covered by the one in progress */
    bool reading;
    bool taking_over;      /* a read asks whether the state is complete */
    uint64_t leading_term; /* 0: not serving */
    int64_t confirm_ms;
    int64_t turn_us; /* end of the last turn */
    LoopLag lag;     /* of the tick */
    int64_t node_ms; /* node rows are compared again */
    bool place_due;
    bool nodes_due;
    uint64_t incarnation;
    char control_address[JOB_ADDRESS_BYTES];
};

/* jobctl.c */
bool JobControl_Serves(const JobControl *control);
size_t JobControl_VotersWanted(const JobControl *control);
/* Returns the control address of the leader, or NULL. */
const char *JobControl_LeaderAddress(const JobControl *control, char *text,
                                     size_t size);

/* Tells all peers who leads and which control nodes there are. */
void JobControl_SendFleet(JobControl *control);

/* jobctl_log.c */
Status JobControl_OpenLog(JobControl *control, ErrCtx *err);
void JobControl_CloseLog(JobControl *control);
void JobControl_Propose(JobControl *control, const Buf *command, JobDoneFn fn,
                        void *arg);
/* Calls fn once the state holds all that was committed before the call. */
void JobControl_Read(JobControl *control, JobDoneFn fn, void *arg);
void JobControl_LogTick(JobControl *control, int64_t now);

/* jobctl_request.c */
void JobControl_HandleHttp(void *arg, HttpRequest *http);
void JobControl_OnJobRequest(JobControl *control, size_t peer,
                             const msgpack_object_array *message);

/* jobctl_metrics.c */
Status JobControl_OpenMetrics(JobControl *control, ErrCtx *err);

/* jobctl_call.c: carries out what the scheduler and the fleet decided. */
void JobControl_TakeActions(JobControl *control);

#endif
