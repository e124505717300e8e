/*
 * NAME
 *     jobctl_internal - declarations shared by the files of jobctl
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
#include "jobspace.h"
#include "jobstate.h"
#include "jobwatch.h"
#include "loop.h"
#include "looplag.h"
#include "loopstall.h"
#include "peer.h"
#include "replica.h"
#include "signals.h"
#include "slog.h"
#include "storage.h"
#include "strmap.h"
#include "table.h"
#include "wal.h"
#include "worker.h"

#define JOBCTL_LOG_PREFIX "jobctl"

/* Called exactly once: with ST_OK and the result, or with ST_AGAIN if the
 * outcome is unknown. The command was certainly not accepted with
 * ST_NOT_LEADER, ST_FULL if too many others are pending, or ST_INVALID if it
 * is too long for an entry of the log. */
typedef void (*JobCompletionFn)(void *arg, Status status, JobResult result);

/* A command that was proposed to the log and is still pending. */
typedef struct JobProposal {
    uint64_t cookie;
    JobCompletionFn fn;
    void *arg;
    int64_t proposed_ms;
    struct JobProposal *next;
} JobProposal;

/* A read that waits until a majority confirms that this node leads. */
typedef struct JobReadRequest {
    JobCompletionFn fn;
    void *arg;
    int64_t requested_ms;
    struct JobReadRequest *next;
} JobReadRequest;

/* Packed calls and answers that are sent to a peer at the end of the event
 * loop iteration. */
typedef struct JobAgentBatch {
    Buf calls;
    Buf answers;
} JobAgentBatch;

/* The pool with the most waiting work. CPU is in thousandths of a core. */
typedef struct JobPlacementSample {
    char pool[JOB_NAME_BYTES];
    uint32_t pools;       /* pools with waiting tasks */
    int64_t waiting;      /* CPU needed by its tasks that could start */
    int64_t free;         /* free CPU of its usable targets */
    int64_t largest_free; /* that of the one with the most */
    uint32_t usable;      /* its targets that may get tasks */
    uint32_t unusable;    /* its other targets */
    uint32_t runs_on_unusable;
} JobPlacementSample;

struct JobControl {
    const Settings *settings;
    const JobWire *wire;
    const char *settings_file;
    Loop *loop;
    Peers *peers;
    Storage *storage;
    Worker *log_syncer;     /* syncs the log off the event loop's thread */
    Status log_sync_status; /* result of the last sync */
    ErrCtx log_sync_err;
    int64_t log_sync_begun_ms; /* when the last sync was requested */
    int64_t log_sync_disk_ms;  /* how long the disk took for it */
    Replica *replica;
    bool log_failed;      /* the failure of the replica was logged */
    bool founder_missing; /* that no seed can found was logged */
    JobState *state;
    JobSched *sched;
    JobFleet *fleet;
    JobAgents *agents;
    Table *delegated_calls;    /* DelegatedCall rows: calls that agents make */
    Table *forwarded_requests; /* ForwardedRequest rows: targets' requests
                                * that were forwarded to the leader */
    JobAgentBatch *agent_batches; /* indexed by peer */
    size_t agent_batch_count;
    uint64_t agent_term; /* term of the leader whose calls this node makes */
    HttpServer *server;
    int64_t clients_logged_ms;
    JobClientLimits limits;     /* of the configuration of limits_version */
    uint64_t limits_version;    /* 0: none */
    HttpServer *metrics_server; /* NULL if no metrics address is set */
    JobMetrics *metrics;        /* NULL if no metrics address is set */
    HttpClient *client;
    Signals *signals;
    LoopTimer *tick_timer;
    LoopTimer *fleet_msg_timer;
    LoopTimer *place_timer;
    int64_t next_placement_us;      /* earliest time of the next placement */
    JobProposal *proposals;         /* newest first */
    int64_t next_late_proposals_ms; /* earliest time of the next line */
    uint64_t next_cookie;
    JobReadRequest *queued_reads; /* reads for the next confirmation */
    JobReadRequest *sent_reads;   /* reads for the confirmation in progress */
    bool read_in_progress;        /* a confirmation is in progress */
    bool taking_over;      /* the read that confirms the state is pending */
    uint64_t serving_term; /* term in which this node serves, or 0 */
    int64_t founding_since_ms;  /* since when it could have served but for the
                                 * voters of a new cluster, or 0 */
    int64_t next_confirm_ms;    /* time of the next leadership confirmation */
    int64_t iteration_end_us;   /* end of the last event loop iteration */
    uint64_t requests;          /* requests received */
    uint64_t denied_requests;   /* refused because of their key */
    JobSpace space;             /* for accepted jobs */
    int64_t stop_begun_ms;      /* start of the planned stop, or 0 */
    int64_t idle_since_ms;      /* during a planned stop, time since which
                                 * nothing is pending and another node may
                                 * lead, or 0 */
    uint64_t refused_messages;  /* of the log, from peers */
    RaftMembers logged_members; /* whose voters were logged last */
    JobWatch watch;
    uint64_t takeover_reads; /* reads begun to confirm the state */
    JobPlacementSample placement_sample;
    uint64_t sampled_starts; /* tasks started until the sample */
    int64_t next_placement_sample_ms;
    LoopLag tick_lag;
    LoopStall stall;
    int64_t next_node_update_ms; /* earliest time of the next node update */
    bool placement_due;
    uint64_t incarnation;
    char control_address[JOB_ADDRESS_BYTES];
};

/* jobctl.c */
/* Returns the leader's index as a peer, or JOB_AGENT_NONE if it is this node,
 * not known or not connected. */
size_t JobControl_FindLeaderPeer(const JobControl *control);
/* Returns whether this node leads and its state is known to be complete. */
bool JobControl_IsServing(const JobControl *control);
/* Returns the number of voters needed to tolerate the configured number of
 * lost disks. */
size_t JobControl_GetDesiredVoterCount(const JobControl *control);
/* Returns the control address of the leader, or NULL if
 * JobControl_FindLeaderPeer finds none. */
const char *JobControl_GetLeaderAddress(const JobControl *control, char *text,
                                        size_t size);

/* Sends the leader and the list of control nodes to all peers. */
void JobControl_BroadcastFleetMsg(JobControl *control);

/* jobctl_log.c */
Status JobControl_OpenLog(JobControl *control, ErrCtx *err);
void JobControl_CloseLog(JobControl *control);
void JobControl_Propose(JobControl *control, const Buf *command,
                        JobCompletionFn fn, void *arg);
/* Calls fn once the state contains every command that was committed before
 * this call. */
void JobControl_ConfirmRead(JobControl *control, JobCompletionFn fn,
                            void *arg);
void JobControl_TickLog(JobControl *control, int64_t now);
/* Stops serving and tells the peers. Requests that are pending are still
 * answered. */
void JobControl_StopServing(JobControl *control);

/* jobctl_voters.c */
/* Logs an event of the replica; arg is the JobControl. */
void JobControl_LogElectionEvent(void *arg, const RaftEvent *event);
/* Logs the voters if they have changed since the last call. */
void JobControl_WatchVoters(JobControl *control);
/* Adds the voters of the current member list to the current log line. */
void JobControl_LogVoters(const JobControl *control);
/* Adds what the leader knows of the voters' logs to the current log line. */
void JobControl_LogVoterLogs(const JobControl *control, int64_t now);
/* Returns the number of voters that are connected, this node included. */
size_t JobControl_CountVotersUp(const JobControl *control);
bool JobControl_IsVoter(const JobControl *control);

/* jobctl_watch.c */
/* Logs conditions that keep this node from its work. */
void JobControl_WatchConditions(JobControl *control, int64_t now);

/* jobctl_request.c */
void JobControl_HandleHttp(void *arg, HttpRequest *http);
/* Serves the request that an entry VM forwarded: a caller's, or one of an
 * operator or a target with PEER_JOB_CONTROL_REQUEST. */
void JobControl_HandleJobRequest(JobControl *control, size_t peer,
                                 PeerMessageType type,
                                 const msgpack_object_array *message);
/* Serves a request that a peer forwarded. Takes ownership of the request's
 * contents and clears it. */
void JobControl_ServePeerRequest(JobControl *control, size_t peer,
                                 uint64_t sequence, JobRequest *request);

/* jobctl_metrics.c */
Status JobControl_OpenMetrics(JobControl *control, ErrCtx *err);

/* jobctl_call.c */
/* Carries out the actions that the scheduler and the fleet have queued. */
void JobControl_ExecuteActions(JobControl *control);

/* Handles the answer to a call. peer and term are those that were given to
 * JobControl_CallTarget. */
typedef void (*JobCallFn)(JobControl *control, const JobAction *action,
                          const JobCallAnswer *answer, size_t peer,
                          uint64_t term);

void JobControl_CallTarget(JobControl *control, const JobAction *action,
                           int64_t timeout_ms, JobCallFn on_answer,
                           size_t peer, uint64_t term);
/* Passes an answer to the scheduler. */
void JobControl_HandleAnswer(JobControl *control, const JobAction *action,
                             const JobCallAnswer *answer, size_t peer,
                             uint64_t term);

/* jobctl_agent.c: calls that agents, other control nodes, make for the
 * leader, and announcements that they receive for it. */
void JobControl_OpenAgents(JobControl *control);
void JobControl_CloseAgents(JobControl *control);
/* Returns whether the fleet is large enough to use agents. */
bool JobControl_UsesAgents(const JobControl *control);
/* Delegates a call to an agent. Returns false if the leader must make the call
 * itself. */
bool JobControl_DelegateCall(JobControl *control, const JobAction *action,
                             int64_t timeout_ms);
/* Sends the calls and answers that were queued in this iteration. */
void JobControl_FlushAgentBatches(JobControl *control);
void JobControl_TickAgents(JobControl *control, int64_t now);
/* Fails the calls and requests that wait for a peer that is down. */
void JobControl_HandleAgentDown(JobControl *control, size_t peer);
/* Drops all delegated calls when this node stops leading. */
void JobControl_DropDelegatedCalls(JobControl *control);
void JobControl_HandleDelegatedCalls(JobControl *control, size_t peer,
                                     const msgpack_object_array *message);
void JobControl_HandleAgentAnswers(JobControl *control, size_t peer,
                                   const msgpack_object_array *message);
/* Forwards a target's announcement or notice of departure to the leader. */
void JobControl_ForwardAnnouncement(JobControl *control, size_t leader,
                                    HttpRequest *http,
                                    const JobRequest *request);
void JobControl_HandleForwardedRequest(JobControl *control, size_t peer,
                                       const msgpack_object_array *message);
void JobControl_HandleAnnouncementReply(JobControl *control,
                                        const msgpack_object_array *message);
/* Returns the address to which a target sends its later announcements. peer is
 * the node that forwarded this one, or JOB_AGENT_NONE if it came directly. */
const char *JobControl_GetAnnounceAddress(const JobControl *control,
                                          size_t peer,
                                          const JobAnnouncement *announcement,
                                          char *text, size_t size);

#endif
