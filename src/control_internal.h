/*
 * NAME
 *     control_internal - shared by the files of the control module
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

#define CONTROL_PART "control"
#define CONTROL_MAX_TARGETS 65536
#define CONTROL_MAX_PROPOSALS 4096
#define CONTROL_PROPOSAL_MS 3000
/* A leader that hears no majority answers a read unconfirmed after this. */
#define CONTROL_READ_MS 1000
/* Limits how often a proposal without a known answer is repeated. */
#define CONTROL_REPEAT_MS 1000

/* The last word of a target, from its announcements. */
typedef struct ControlTarget {
    char name[SETTINGS_NAME_BYTES];
    char data_centre[SETTINGS_NAME_BYTES];
    char rack[SETTINGS_NAME_BYTES];
    char pool[SETTINGS_NAME_BYTES]; /* wish at the first announcement */
    SettingsAddress address;
    SettingsAddress platform;
    uint64_t incarnation;
    uint32_t slots;
    uint32_t connections;
    bool leaving;
    bool suspect;
    int64_t heard_ms;
    int64_t registered_ms; /* of the last proposal to register */
    int64_t relayed_ms;    /* when peers were last sent the whole text, or 0 */
    uint64_t relayed_hash; /* of that text */
    bool draining;         /* the keeper wants no new work sent to it */
    /* Of the keeper: what the platform said last. */
    bool platform_busy;
    bool platform_draining;
    /* The platform has named this incarnation, and no reboot is under way or
     * was asked for since. */
    bool platform_settled;
    uint64_t platform_incarnation;
    int64_t platform_ms;
    uint32_t platform_in_flight;
    uint64_t idle_epoch;     /* idle under this assignment epoch */
    uint64_t close_sequence; /* of the drain list that first names it */
} ControlTarget;

/* What a peer reported about itself. */
typedef struct ControlPeer {
    uint64_t applied;
    uint64_t version;
    uint64_t leader;
    bool ready;
    int64_t version_ms;    /* when this version was first reported */
    uint64_t drains_acked; /* sequence of the drain list it applied */
} ControlPeer;

/* Called once: ST_OK with index and result, ST_NOT_LEADER when the command
 * was surely not accepted, ST_AGAIN when that is unknown. */
typedef void (*ProposeFn)(void *arg, Status status, uint64_t index,
                          const char *result, size_t len);

typedef struct ControlProposal {
    ProposeFn fn;
    void *arg;
    int64_t due_ms; /* 0 for one given to the replica of this node */
    size_t peer;    /* that it was sent to, if due_ms is not 0 */
} ControlProposal;

struct Control {
    const Settings *settings;
    Loop *loop;
    Peers *peers;
    ControlPeer *peer_states; /* by index of the settings' peers */
    Storage *storage;
    Replica *replica; /* NULL without a disk */
    Feed *feed;       /* NULL with a disk */
    FeedServer *feed_server;
    State *state;
    HttpServer *server;
    HttpClient *client;
    Gateway *gateway;
    OnceLog *once_log; /* NULL without a disk */
    StrMap *targets;   /* ControlTarget */
    Table *proposals;
    LoopTimer *tick;
    LoopTimer *status_timer;
    uint64_t incarnation;
    uint64_t applied;
    uint64_t view_sequence;
    uint64_t view_applied;
    uint64_t view_version; /* state version of the last view */
    uint64_t in_force;     /* state version that all traffic threads use */
    int64_t view_ms;
    int64_t register_ms;
    int64_t ack_ms;
    int64_t stop_ms; /* 0, or when the planned stop began */
    Escrow *escrow;  /* NULL without a disk */
    Journal *journal;
    struct ControlWave *waves;
    struct Spare *spare;
    struct ControlLoads *loads; /* by index of the settings' peers */
    int64_t load_ms;
    int64_t spare_ms;
    /* Waves wait this long after a start: before a VM has announced itself
     * again, a restarted keeper would skip it as down. */
    int64_t waves_ms;
    int64_t keeper_ms;
    int64_t keeper_start_ms;
    int64_t propose_ms;
    uint64_t drains_sequence;
    int64_t drains_ms;
    /* A drain list of the keeper that waits for its view. */
    long drains_peer;
    uint64_t drains_seen;
    uint64_t drains_view;
    bool view_dirty;
    bool registered;
    bool ready;
    Signals *signals;
};

/* control_log.c */
Status Control_OpenLog(Control *control, ErrCtx *err);
void Control_CloseLog(Control *control);
void Control_Propose(Control *control, const Buf *command, ProposeFn fn,
                     void *arg);
/* Asks for a read-index round. Calls fn with ST_OK once the state of this
 * node holds all that was committed before the call; with an error when this
 * node does not lead or hears no majority in time. */
void Control_Read(Control *control, ProposeFn fn, void *arg);
void Control_ExpireProposals(Control *control, int64_t now);
/* Ends what was sent to a peer that is down; the results are unknown. */
void Control_AbandonProposals(Control *control, size_t peer);
void Control_OnPropose(Control *control, size_t peer,
                       const msgpack_object_array *message);
void Control_OnProposed(Control *control, const msgpack_object_array *message);
bool Control_IsLeader(const Control *control);
/* Returns the index of the peer that leads, or -1. */
long Control_LeaderPeer(const Control *control);
/* Returns the name of the leader as far as known, or "". */
const char *Control_LeaderName(const Control *control);

const ReplicaMachineOps *Control_MachineOps(void);
void Control_OnApplied(void *arg, uint64_t index, const char *command,
                       size_t len, const Buf *result);
void Control_OnRestored(void *arg, uint64_t index);

/* control_feed.c */
Status Control_OpenFeed(Control *control, ErrCtx *err);
void Control_UpdateFeedPeers(Control *control);
void Control_OnFeed(Control *control, size_t peer,
                    const msgpack_object_array *message);

/* control_once.c */
Status Control_OpenOnceLog(Control *control, ErrCtx *err);
void Control_RecordIntent(void *arg, uint64_t cookie, const char *record,
                          size_t len);
void Control_RecordOutcome(void *arg, const char *record, size_t len);
void Control_OnOnce(Control *control, size_t peer, PeerMessageType type,
                    const msgpack_object_array *message);

/* control_targets.c */
Status Control_Announce(Control *control, const char *json, size_t len,
                        bool relay, ErrCtx *err);
bool Control_Leave(Control *control, const char *name, bool relay);
void Control_TargetTick(Control *control, int64_t now);
void Control_PublishView(Control *control, int64_t now);
ControlTarget *Control_FindTarget(Control *control, const char *name);

/* control_relay.c: announcements for the peers of the own data centre. */
void Control_RelayText(Control *control, const char *json, size_t len);
/* Sends the text only when it is new to the peers. */
void Control_RelayNews(Control *control, ControlTarget *target,
                       const char *json, size_t len);
/* Sends whole announcements again: a peer may have missed some. */
void Control_RelayAll(Control *control);
/* A peer heard from a target whose announcement has not changed. */
void Control_OnTargetAlive(Control *control,
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
void Control_HandleDestroyed(Control *control, HttpRequest *http,
                             const char *name);

/* control_maint.c */
void Control_AckCloses(Control *control, int64_t now);
void Control_OnDrains(Control *control, size_t peer,
                      const msgpack_object_array *message);
void Control_OnDrainsAck(Control *control, size_t peer,
                         const msgpack_object_array *message);
void Control_AckDrains(Control *control);

/* control_keeper.c */
Status Control_OpenKeeper(Control *control, ErrCtx *err);
void Control_CloseKeeper(Control *control);
void Control_KeeperTick(Control *control, int64_t now);

/* control_wave.c */
void Control_WaveTick(Control *control);
/* Returns the VMs of a pool that running waves still have to drain. */
size_t Control_WavePending(const Control *control, const char *pool);
void Control_FreeWaves(Control *control);

/* control_spare.c */
void Control_OpenSpare(Control *control);
void Control_CloseSpare(Control *control);
void Control_SpareTick(Control *control, int64_t now);
void Control_OnLoad(Control *control, size_t peer,
                    const msgpack_object_array *message);

/* Ignores the result: the caller repeats what is still needed. */
void Control_IgnoreResult(void *arg, Status status, uint64_t index,
                          const char *result, size_t len);
void Control_Note(Control *control, const JournalNote *note);

#endif
