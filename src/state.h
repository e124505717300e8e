/*
 * NAME
 *     state - the replicated state machine of the configuration
 *
 * DESCRIPTION
 *     State_Apply applies the commands of the log in order. It is
 *     deterministic: the same commands give the same results, the same
 *     state and the same snapshot bytes on every node, whether the node
 *     applied every command or restored a snapshot in between.
 *
 *     These commands, if accepted, increment the configuration version: a
 *     patch; the registration, removal or change of rack of a VM; the
 *     request, close and end of a move; the first registration of a member,
 *     the declaration that it is destroyed, and its return after that.
 *     Acknowledgements, restarts of members and the commands of shares and
 *     waves leave the version unchanged.
 *
 *     The budget of a pool is its max_unavailable. Each data centre holds a
 *     share of the budget: granted minus released, two counters that never
 *     decrease. One entry VM of each data centre, the keeper, grants drains
 *     and moves against the share. The sum of all shares is at most
 *     max_unavailable. After a patch lowers max_unavailable below the sum,
 *     the sum only falls until it is within the bound again;
 *     State_GetPoolBudget returns the bound in force until then.
 *
 *     Row pointers stay valid until the next State_Apply or State_Restore.
 *     Not thread-safe; the caller serialises calls.
 */
#ifndef COLTSFOOT_STATE_H
#define COLTSFOOT_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "statepath.h"
#include "status.h"

/* Maximum number of recorded answers, which serve resent operator requests. */
#define STATE_MAX_ANSWERS 4096
/* Maximum number of deleted paths whose version is retained. A patch whose
 * base is older than the retained deletions is refused. */
#define STATE_MAX_DELETED_PATHS 4096
#define STATE_MAX_WAVES 256
#define STATE_MAX_WAVE_VMS 65536
#define STATE_MAX_EDITS 4096
#define STATE_MAX_CONFLICTS 32
#define STATE_MESSAGE_BYTES 256

typedef struct State State;

/* The share of one data centre in one pool's budget. */
typedef struct StateShare {
    char data_centre[STATE_NAME_BYTES];
    uint64_t granted;  /* total units granted */
    uint64_t released; /* total units released; rises with each release */
    int64_t wanted;    /* desired size in units */
    int64_t asked;     /* units that the keeper last requested */
    uint32_t vms;      /* VMs assigned to the pool in the data centre */
} StateShare;

typedef struct StatePool {
    char name[STATE_NAME_BYTES];
    uint64_t number; /* log index at which the pool was created */
    int64_t max_unavailable;
    int64_t min_size;
    int64_t spare;                  /* 0 or 1 */
    char service[STATE_NAME_BYTES]; /* empty: none */
    uint32_t vms;                   /* VMs assigned to the pool */
    uint32_t moves_out;             /* VMs moving out of the pool */
    uint32_t moves_in;              /* VMs moving into the pool */
    StateShare *shares;             /* ordered by data centre */
    size_t share_count;
} StatePool;

typedef struct StateService {
    char name[STATE_NAME_BYTES];
    char pool[STATE_NAME_BYTES]; /* empty: none */
    int64_t short_ms;            /* longest run time of short work */
    int64_t slo_ms;
    int64_t slo_percent; /* thousandths of a percent */
    int64_t max_queue;   /* queued requests; 0: the setting queue_limit */
} StateService;

typedef struct StateTeam {
    char name[STATE_NAME_BYTES];
    int64_t quota; /* requests in flight; 0: unlimited */
} StateTeam;

typedef struct StateLimit {
    char name[STATE_NAME_BYTES];
    int64_t value;
} StateLimit;

/* An entry VM: a member of the cluster that dispatches requests. */
typedef struct StateMember {
    char name[STATE_NAME_BYTES];
    const char *data_centre;
    uint64_t identity; /* identity of the data folder; 0 without a disk */
    uint64_t incarnation;
    bool disk;
    bool destroyed;
} StateMember;

typedef struct StateDataCentre {
    char name[STATE_NAME_BYTES];
    char keeper[STATE_NAME_BYTES]; /* empty: none */
    uint64_t keeper_identity;
    uint64_t keeper_epoch; /* rises when the keeper or its disk changes */
    StateMember **members; /* ordered by name */
    size_t member_count;
} StateDataCentre;

typedef enum StateAssignment {
    STATE_OPEN,    /* may receive work of its pool */
    STATE_CLOSING, /* closed, but not yet acknowledged by all entry VMs */
    STATE_DRAINING /* closed at all entry VMs; work in flight completes */
} StateAssignment;

typedef struct StateAck {
    char member[STATE_NAME_BYTES];
    uint64_t incarnation;
    bool acked;
} StateAck;

/* A move in progress. The VM's assignment tells how far the move has come: it
 * stays open until the keeper grants the move, then is closing, then
 * draining. */
typedef struct StateMove {
    const char *to;  /* destination pool */
    uint64_t number; /* log index of the command that requested the move */
    StateAck *acks;  /* entry VMs that have to acknowledge the close */
    size_t ack_count;
    size_t missing; /* entry VMs that have not acknowledged the close */
} StateMove;

typedef struct StateVm {
    char name[STATE_NAME_BYTES];
    char rack[STATE_NAME_BYTES];
    const char *data_centre;
    const char *pool;
    uint64_t epoch;
    uint64_t changed; /* version at which the VM last began or ended a move,
                       * was closed or was registered */
    StateAssignment assignment;
    StateMove *move; /* NULL: no move in progress */
} StateVm;

typedef enum StateWaveState {
    STATE_WAVE_RUNNING,
    STATE_WAVE_PAUSED,
    STATE_WAVE_CANCELLED,
    STATE_WAVE_DONE
} StateWaveState;

typedef enum StateStep {
    STATE_STEP_PENDING,
    STATE_STEP_STARTED,
    STATE_STEP_DONE,
    STATE_STEP_SKIPPED,
    STATE_STEP_FAILED
} StateStep;

#define STATE_STEP_COUNT 5

typedef struct StateWaveVm {
    char name[STATE_NAME_BYTES];
    StateStep step;
} StateWaveVm;

typedef struct StateWave {
    char name[STATE_NAME_BYTES];
    char operator_name[STATE_NAME_BYTES];
    uint64_t number; /* log index at which the wave started */
    int64_t deadline_ms;
    StateWaveState state;
    char reason[STATE_REASON_BYTES]; /* of the last pause, resume or cancel */
    StateWaveVm *vms;                /* ordered by name */
    size_t vm_count;
    size_t steps[STATE_STEP_COUNT]; /* number of VMs at each step */
    uint64_t failed_at_resume;      /* failed VMs at the last resume */
} StateWave;

/* The result of a command. */
typedef struct StateResult {
    Status status;
    uint64_t version; /* configuration version after the command */
    char message[STATE_MESSAGE_BYTES];
    size_t conflict_count;
    char conflicts[STATE_MAX_CONFLICTS][STATE_PATH_BYTES];
} StateResult;

/* Returns an empty state at version 0, or NULL if out of memory. */
State *State_New(void);
void State_Free(State *state);

/* Applies one command of the log and appends the msgpack array [status,
 * version, message, [conflicting paths]] to out. Operator commands are
 * idempotent: a repeated request id gets the bytes of the first answer, and
 * the same id with other content is refused with ST_EXISTS.
 *
 * RETURN VALUE: the status in the result. ST_OK; ST_CONFLICT for a patch of
 * a path that changed after the patch's base, or a base older than the
 * retained deletions; ST_INVALID, ST_NOT_FOUND, ST_EXISTS, ST_FULL for a
 * refusal; ST_STALE for an old epoch or incarnation, or for an index that
 * was already applied; ST_CORRUPT for bytes that don't encode a command;
 * ST_UNSUPPORTED for an unknown kind. Every status but ST_OK leaves the state
 * unchanged, except for the applied index and the recorded answer. */
Status State_Apply(State *state, uint64_t index, const char *command,
                   size_t len, Buf *out);

/* Decodes a result. Returns ST_CORRUPT for bytes that don't encode one. */
Status State_ParseResult(const char *bytes, size_t len, StateResult *result);

/* Appends a snapshot. Equal states give equal bytes. */
void State_AppendSnapshot(const State *state, Buf *out);

/* Replaces the state by a snapshot. A failure leaves the state unchanged and
 * sets err: ST_CORRUPT, ST_UNSUPPORTED for another version of the format, or
 * ST_NO_MEMORY. */
Status State_Restore(State *state, const char *bytes, size_t len, ErrCtx *err);

uint64_t State_GetVersion(const State *state);
uint64_t State_GetAppliedIndex(const State *state);

/* Each function returns the row of a name, or NULL. */
const StatePool *State_Pool(const State *state, const char *name);
const StateService *State_Service(const State *state, const char *name);
const StateTeam *State_Team(const State *state, const char *name);
const StateLimit *State_Limit(const State *state, const char *name);
const StateVm *State_Vm(const State *state, const char *name);
const StateMember *State_Member(const State *state, const char *name);
const StateWave *State_Wave(const State *state, const char *name);
const StateDataCentre *State_DataCentre(const State *state, const char *name);
const StateShare *State_FindShare(const State *state, const char *pool,
                                  const char *data_centre);

/* The functions below return the number of rows, and rows by position in no
 * particular order (NULL past the end). */
size_t State_PoolCount(const State *state);
size_t State_ServiceCount(const State *state);
size_t State_TeamCount(const State *state);
size_t State_LimitCount(const State *state);
size_t State_VmCount(const State *state);
size_t State_MemberCount(const State *state);
size_t State_WaveCount(const State *state);
size_t State_DataCentreCount(const State *state);
const StatePool *State_PoolAt(const State *state, size_t i);
const StateService *State_ServiceAt(const State *state, size_t i);
const StateTeam *State_TeamAt(const State *state, size_t i);
const StateLimit *State_LimitAt(const State *state, size_t i);
const StateVm *State_VmAt(const State *state, size_t i);
const StateMember *State_MemberAt(const State *state, size_t i);
const StateWave *State_WaveAt(const State *state, size_t i);
const StateDataCentre *State_DataCentreAt(const State *state, size_t i);

/* The functions below list the VMs with a move in progress, in no particular
 * order. */
size_t State_MoveCount(const State *state);
const StateVm *State_MoveAt(const State *state, size_t i);

/* Returns the size of a share: granted minus released. */
int64_t State_GetShareLimit(const StateShare *share);

/* Returns the budget in force: the larger of max_unavailable and the sum of
 * all shares. */
int64_t State_GetPoolBudget(const StatePool *pool);

/* Returns the version at which a path was last set or deleted, or 0 if the
 * path was never set or its deletion is no longer retained. */
uint64_t State_GetPathVersion(const State *state, const char *path);

/* Appends the value of a configuration path as text. Returns false if the
 * path is invalid or has no value. */
bool State_AppendPathValue(const State *state, const char *path, Buf *out);

/* Appends the configuration whose paths begin with a prefix ("" for all of
 * it) as lines "path: value", ordered by section and name. */
void State_AppendConfig(const State *state, const char *prefix, Buf *out);

#endif
