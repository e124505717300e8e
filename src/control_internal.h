/*
 * NAME
 *     control_internal - declarations shared by the files of the control
 *     module
 */
#ifndef COLTSFOOT_CONTROL_INTERNAL_H
#define COLTSFOOT_CONTROL_INTERNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>
#include <msgpack.h>

#include "buf.h"
#include "control.h"
#include "escrow.h"
#include "feed.h"
#include "feed_server.h"
#include "gateway.h"
#include "httpclient.h"
#include "httpserver.h"
#include "journal.h"
#include "loop.h"
#include "mppack.h"
#include "oncelog.h"
#include "peer.h"
#include "replica.h"
#include "signals.h"
#include "state.h"
#include "statecmd.h"
#include "storage.h"
#include "strmap.h"
#include "table.h"

#define CONTROL_LOG_PREFIX "control"
#define CONTROL_MAX_TARGETS 65536
#define CONTROL_MAX_PROPOSALS 4096
#define CONTROL_PROPOSAL_TIMEOUT_MS 3000
/* Time after which a leader that cannot reach a majority answers a read as
 * unconfirmed. */
#define CONTROL_READ_TIMEOUT_MS 1000
/* Minimum interval between retries of a proposal with an unknown result. */
#define CONTROL_RETRY_INTERVAL_MS 1000

/* The latest announcement and the state of a target. */
typedef struct ControlTarget {
    char name[SETTINGS_NAME_BYTES];
    char data_centre[SETTINGS_NAME_BYTES];
    char rack[SETTINGS_NAME_BYTES];
    char pool[SETTINGS_NAME_BYTES]; /* requested for a new VM; may be empty */
    SettingsAddress address;
    SettingsAddress platform;
    uint64_t incarnation;
    uint32_t slots;
    uint32_t connections;
    bool leaving; /* true once the target announced its departure */
    bool suspect; /* true if silent for over target_suspect_ms */
    int64_t last_heard_ms;
    int64_t next_register_ms; /* earliest time of the next registration */
    /* Time of the last relay of the whole announcement to peers, or 0. */
    int64_t relayed_ms;
    uint64_t relayed_hash; /* hash of that announcement */
    bool draining;         /* true while the keeper's drain list names it */
    /* The remaining members are used by the keeper. Those with the prefix
     * platform_ describe calls to the platform interface and its replies. */
    bool platform_call_pending; /* true while a call is in flight */
    bool platform_draining;
    /* True if a reply has set platform_incarnation and reported no reboot in
     * progress, and no reboot was requested since. */
    bool platform_reboot_possible;
    uint64_t platform_incarnation;
    int64_t platform_call_ms; /* start of the last call, or 0 */
    uint32_t platform_in_flight;
    uint64_t idle_epoch;     /* assignment epoch under which it became idle */
    uint64_t close_sequence; /* sequence of its first drain list, or 0 */
} ControlTarget;

/* State that a peer reported about itself. */
typedef struct ControlPeer {
    uint64_t applied; /* index of the last applied log entry */
    uint64_t version; /* state version */
    uint64_t leader;  /* identity of the leader, or 0 if unknown */
    bool ready;
    int64_t version_ms;    /* time of the first report of this version */
    uint64_t drains_acked; /* sequence of the last acknowledged drain list */
} ControlPeer;

/* Receives the outcome of a proposal or read, exactly once: ST_OK with the
 * index and the result, ST_NOT_LEADER if the command was certainly not
 * accepted, or ST_AGAIN if it is unknown whether it was. */
typedef void (*ControlResultFn)(void *arg, Status status, uint64_t index,
                                const char *result, size_t len);

typedef struct ControlProposal {
    ControlResultFn fn;
    void *arg;
    int64_t deadline_ms; /* 0 for a proposal to the replica of this node */
    size_t peer; /* recipient if deadline_ms is not 0; SIZE_MAX for a read */
} ControlProposal;

struct Control {
    const Settings *settings;
    Loop *loop;
    Peers *peers;
    ControlPeer *peer_states; /* one for each peer of the settings */
    Storage *storage;
    Replica *replica; /* NULL without a disk */
    Feed *feed;       /* NULL with a disk */
    FeedServer *feed_server;
    State *state;
    HttpServer *server;
    HttpClient *client;
    Gateway *gateway;
    OnceLog *once_log; /* NULL without a disk */
    StrMap *targets;   /* ControlTarget by name */
    Table *proposals;  /* ControlProposal rows, including reads */
    LoopTimer *tick_timer;
    LoopTimer *status_timer;
    uint64_t incarnation;
    uint64_t applied;       /* index of the last applied log entry */
    uint64_t view_sequence; /* sequence of the last published view */
    uint64_t view_applied;  /* sequence of the view all traffic threads use */
    uint64_t view_version;  /* state version of the last published view */
    uint64_t in_force;      /* state version that all traffic threads use */
    int64_t last_view_ms;   /* time of the last published view */
    int64_t next_register_ms;
    int64_t next_ack_ms;
    int64_t stop_start_ms; /* start of the planned stop, or 0 */
    Escrow *escrow;        /* NULL without a disk */
    Journal *journal;
    struct ControlWave *waves;
    struct SparePlanner *spare;
    struct ControlLoads *loads; /* one for each peer of the settings */
    int64_t next_load_report_ms;
    int64_t next_spare_plan_ms;
    /* Earliest time of wave decisions. A restarted keeper that decided before
     * the VMs announce themselves again would skip them as down. */
    int64_t waves_start_ms;
    int64_t next_keeper_tick_ms;
    int64_t keeper_start_ms;
    int64_t next_propose_ms;
    uint64_t drains_sequence; /* sequence of this keeper's drain list */
    int64_t next_drains_ms;
    long drains_ack_peer; /* peer whose drain list to acknowledge, or -1 */
    uint64_t drains_ack_sequence; /* sequence of that drain list */
    /* Sequence of the first view that includes the latest drain list. */
    uint64_t drains_view_sequence;
    bool view_dirty; /* true if a new view has to be published */
    bool registered; /* true if the state contains this incarnation */
    bool ready;      /* true if new requests are accepted */
    Signals *signals;
};

/* control_log.c */
Status Control_OpenLog(Control *control, ErrCtx *err);
void Control_CloseLog(Control *control);
void Control_Propose(Control *control, const Buf *command, ControlResultFn fn,
                     void *arg);
/* Starts a read-index round. Calls fn with ST_OK once the state of this node
 * holds all entries committed before the call, or with an error if this node
 * is not the leader or cannot reach a majority in time. */
void Control_ConfirmRead(Control *control, ControlResultFn fn, void *arg);
void Control_ExpireProposals(Control *control, int64_t now);
/* Completes the proposals sent to a peer with ST_AGAIN, since it is down. */
void Control_FailProposals(Control *control, size_t peer);
void Control_OnPropose(Control *control, size_t peer,
                       const msgpack_object_array *message);
void Control_OnProposed(Control *control, const msgpack_object_array *message);
bool Control_IsLeader(const Control *control);
/* Returns the index of the peer that is the leader, or -1. */
long Control_GetLeaderPeer(const Control *control);
/* Returns the name of the leader, or "" if unknown. */
const char *Control_GetLeaderName(const Control *control);

const ReplicaMachineOps *Control_GetStateMachineOps(void);
void Control_OnApplied(void *arg, uint64_t index, const char *command,
                       size_t len, const Buf *result);
void Control_OnRestored(void *arg, uint64_t index);

/* control_feed.c */
Status Control_OpenFeed(Control *control, ErrCtx *err);
void Control_UpdateFeedPeers(Control *control);
void Control_OnFeedMessage(Control *control, size_t peer,
                           const msgpack_object_array *message);

/* control_once.c */
Status Control_OpenOnceLog(Control *control, ErrCtx *err);
void Control_RecordIntent(void *arg, uint64_t cookie, const char *record,
                          size_t len);
void Control_RecordOutcome(void *arg, const char *record, size_t len);
void Control_OnOnceMessage(Control *control, size_t peer, PeerMessageType type,
                           const msgpack_object_array *message);

/* control_targets.c */
Status Control_HandleAnnouncement(Control *control, const char *json,
                                  size_t len, bool relay, ErrCtx *err);
bool Control_MarkLeaving(Control *control, const char *name, bool relay);
void Control_TickTargets(Control *control, int64_t now);
void Control_PublishView(Control *control, int64_t now);
ControlTarget *Control_FindTarget(Control *control, const char *name);

/* control_relay.c: relays announcements to the peers of this data centre. */
void Control_RelayAnnouncement(Control *control, const char *json, size_t len);
/* Relays the whole announcement if it changed or was last relayed whole more
 * than 10 s ago, otherwise only a heartbeat. */
void Control_RelayIfChanged(Control *control, ControlTarget *target,
                            const char *json, size_t len);
/* Makes the next relay of each target a whole announcement, for a peer that
 * may have missed earlier ones. */
void Control_ResetRelays(Control *control);
/* Handles the heartbeat of a target that a peer relays in place of an
 * unchanged announcement. */
void Control_OnTargetHeartbeat(Control *control,
                               const msgpack_object_array *message);

/* control_admin.c */
void Control_HandleHttp(void *arg, HttpRequest *http);
void Control_ReplyJson(HttpRequest *http, int status, json_t *json);
void Control_ReplyError(HttpRequest *http, int status, const char *error,
                        const char *reason);

/* control_change.c */
void Control_HandlePatch(Control *control, HttpRequest *http);
void Control_HandleWaveStart(Control *control, HttpRequest *http);
void Control_HandleWaveAction(Control *control, HttpRequest *http,
                              const char *name, const char *action);
void Control_HandleRemoveVm(Control *control, HttpRequest *http,
                            const char *name);
void Control_HandleMemberDestroyed(Control *control, HttpRequest *http,
                                   const char *name);

/* control_maint.c */
void Control_AckClosedVms(Control *control, int64_t now);
void Control_OnDrainList(Control *control, size_t peer,
                         const msgpack_object_array *message);
void Control_OnDrainListAck(Control *control, size_t peer,
                            const msgpack_object_array *message);
void Control_AckDrainList(Control *control);

/* control_keeper.c */
Status Control_OpenKeeper(Control *control, ErrCtx *err);
void Control_CloseKeeper(Control *control);
void Control_TickKeeper(Control *control, int64_t now);

/* control_wave.c */
void Control_TickWaves(Control *control);
/* Returns the number of VMs of a pool that running waves have yet to drain. */
size_t Control_CountWavePending(const Control *control, const char *pool);
void Control_FreeWaves(Control *control);

/* control_spare.c */
void Control_OpenSparePlanner(Control *control);
void Control_CloseSparePlanner(Control *control);
void Control_TickSparePlanner(Control *control, int64_t now);
void Control_OnLoad(Control *control, size_t peer,
                    const msgpack_object_array *message);

/* ControlResultFn for commands whose result is not needed, since the caller
 * proposes them again until they take effect. */
void Control_IgnoreResult(void *arg, Status status, uint64_t index,
                          const char *result, size_t len);
/* Adds a decision to the journal. */
void Control_RecordDecision(Control *control, const JournalDecision *decision);

#endif
