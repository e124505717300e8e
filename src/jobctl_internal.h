/*
 * NAME
 *     jobctl_internal - shared by the files of jobctl
 */
#ifndef COLTSFOOT_JOBCTL_INTERNAL_H
#define COLTSFOOT_JOBCTL_INTERNAL_H

#include <msgpack.h>

#include "httpclient.h"
#include "httpserver.h"
#include "jobagents.h"
#include "jobcallmsg.h"
#include "jobcodec.h"
#include "jobctl.h"
#include "jobfleet.h"
#include "jobmetrics.h"
#include "jobreplymsg.h"
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
#include "table.h"
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

/* Packed calls and answers that leave for a peer with this turn. */
typedef struct JobAgentRecords {
    Buf calls;
    Buf answers;
} JobAgentRecords;

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
    JobAgents *agents;
    Table *delegated; /* calls that agents make: Delegated */
    Table *announced; /* requests of targets passed to the leader: Announced */
    JobAgentRecords *agent_records; /* by peer */
    size_t agent_peers;             /* entries in it */
    uint64_t agent_term; /* of the leader that this node makes calls for */
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
/* Returns the peer that leads, or JOB_AGENT_NONE. */
size_t JobControl_LeaderPeer(const JobControl *control);
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
/* Serves a request that a peer has decoded, which is emptied. */
void JobControl_ServePeer(JobControl *control, size_t peer, uint64_t sequence,
                          JobRequest *request);

/* jobctl_metrics.c */
Status JobControl_OpenMetrics(JobControl *control, ErrCtx *err);

/* jobctl_call.c: carries out what the scheduler and the fleet decided. */
void JobControl_TakeActions(JobControl *control);

/* Takes the answer to a call; peer and term are those of the call. */
typedef void (*JobCallFn)(JobControl *control, const JobAction *action,
                          const JobCallAnswer *answer, size_t peer,
                          uint64_t term);

void JobControl_CallTarget(JobControl *control, const JobAction *action,
                           int64_t timeout_ms, JobCallFn done, size_t peer,
                           uint64_t term);
/* Hands an answer to the scheduler. */
void JobControl_Answered(JobControl *control, const JobAction *action,
                         const JobCallAnswer *answer, size_t peer,
                         uint64_t term);

/* jobctl_agent.c: calls and announcements that other control nodes take off
 * the leader. */
void JobControl_OpenAgents(JobControl *control);
void JobControl_CloseAgents(JobControl *control);
/* Returns whether the fleet is large enough for agents. */
bool JobControl_UsesAgents(const JobControl *control);
/* Passes a call on. Returns false when the leader is to make it. */
bool JobControl_Delegate(JobControl *control, const JobAction *action,
                         int64_t timeout_ms);
/* Sends what was passed on in this turn. */
void JobControl_FlushAgents(JobControl *control);
void JobControl_AgentTick(JobControl *control, int64_t now);
/* Ends what waits for a peer that is down. */
void JobControl_AgentDown(JobControl *control, size_t peer);
/* Forgets all calls, at the end of a leadership. */
void JobControl_DropDelegated(JobControl *control);
void JobControl_OnCalls(JobControl *control, size_t peer,
                        const msgpack_object_array *message);
void JobControl_OnAnswers(JobControl *control, size_t peer,
                          const msgpack_object_array *message);
/* Passes a target's announcement, or that it has left, to the leader. */
void JobControl_PassAnnouncement(JobControl *control, size_t leader,
                                 HttpRequest *http, const JobRequest *request);
void JobControl_OnAnnounced(JobControl *control, size_t peer,
                            const msgpack_object_array *message);
void JobControl_OnAnnounceReply(JobControl *control,
                                const msgpack_object_array *message);
/* Returns the address for later announcements of a target that was announced
 * through this peer, or directly for JOB_AGENT_NONE. */
const char *JobControl_AnnounceAddress(const JobControl *control, size_t peer,
                                       const JobAnnouncement *says, char *text,
                                       size_t size);

#endif
