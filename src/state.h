/*
 * NAME
 *     state - the replicated state machine
 *
 * DESCRIPTION
 *     State_Apply takes the commands of the log in order. It is
 *     deterministic: the same commands give the same results, the same
 *     state and the same snapshot bytes on every node, whether a node
 *     applied all of them or restored a snapshot on the way.
 *
 *     The configuration version rises by one with each accepted command
 *     that changes the configuration: a patch, the registration or removal
 *     of a VM, a step of a move that changes the VM's epoch, and a change
 *     of a member. Bookkeeping (acknowledgements, share releases, steps of
 *     a wave) leaves it as it is.
 *
 *     A budget is max_unavailable of a pool. Each data centre holds a share
 *     of it: granted minus released, two totals that only rise. The sum of
 *     all shares is at most max_unavailable, except after a patch lowered
 *     it; then it only falls until it is back within the bound. The bound
 *     in force in the meantime is State_PoolBudget.
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

/* Answers to operator requests that are kept for a resend. */
#define STATE_ANSWERS 4096
/* Deleted paths whose version is kept; an older base is refused. */
#define STATE_DELETIONS 4096
#define STATE_MAX_WAVES 256
#define STATE_MAX_WAVE_VMS 65536
#define STATE_MAX_EDITS 4096
#define STATE_MAX_CONFLICTS 32
#define STATE_MESSAGE_BYTES 256

typedef struct State State;

/* The share of one data centre in one pool's budget. */
typedef struct StateShare {
    char data_centre[STATE_NAME_BYTES];
    uint64_t granted;  /* units ever granted */
    uint64_t released; /* units ever released; the release sequence */
    int64_t wanted;    /* units the share moves towards */
    int64_t asked;     /* units the keeper has work for */
    uint32_t vms;      /* VMs of the pool in this data centre */
} StateShare;

typedef struct StatePool {
    char name[STATE_NAME_BYTES];
    uint64_t number; /* log index of its creation */
    int64_t max_unavailable;
    int64_t min_size;
    int64_t spare;                  /* 0 or 1 */
    char service[STATE_NAME_BYTES]; /* empty: none */
    uint32_t vms;                   /* VMs assigned to the pool */
    uint32_t moves_out;             /* of these, VMs with a move under way */
    uint32_t moves_in;
    StateShare *shares; /* ordered by data centre */
    size_t share_count;
} StatePool;

typedef struct StateService {
    char name[STATE_NAME_BYTES];
    char pool[STATE_NAME_BYTES]; /* empty: none */
    int64_t short_ms;            /* run time up to which work is short */
    int64_t slo_ms;
    int64_t slo_percent; /* in thousandths of a percent */
    int64_t max_queue;   /* requests; 0: the setting queue_limit */
} StateService;

typedef struct StateTeam {
    char name[STATE_NAME_BYTES];
    int64_t quota; /* requests in flight; 0: no bound */
} StateTeam;

typedef struct StateLimit {
    char name[STATE_NAME_BYTES];
    int64_t value;
} StateLimit;

/* An entry VM. */
typedef struct StateMember {
    char name[STATE_NAME_BYTES];
    const char *data_centre;
    uint64_t identity; /* of its data folder; 0 without a disk */
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
    STATE_CLOSING, /* closed; some entry VM has not acknowledged it */
    STATE_DRAINING /* closed everywhere; work in flight ends */
} StateAssignment;

typedef struct StateAck {
    char member[STATE_NAME_BYTES];
    uint64_t incarnation;
    bool acked;
} StateAck;

/* A move under way. Its step is the assignment of the VM: a move of an open
 * VM waits for the grant of the keeper. */
typedef struct StateMove {
    const char *to;  /* pool */
    uint64_t number; /* log index of the command that asked for it */
    StateAck *acks;  /* entry VMs that have to acknowledge the close */
    size_t ack_count;
    size_t missing; /* of these, without an acknowledgement */
} StateMove;

typedef struct StateVm {
    char name[STATE_NAME_BYTES];
    char rack[STATE_NAME_BYTES];
    const char *data_centre;
    const char *pool;
    uint64_t epoch;
    uint64_t changed; /* version of the last change of its assignment */
    StateAssignment assignment;
    StateMove *move; /* NULL: none under way */
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
    uint64_t number; /* log index of its start */
    int64_t deadline_ms;
    StateWaveState state;
    char reason[STATE_REASON_BYTES]; /* of the last pause or cancel */
    StateWaveVm *vms;                /* ordered by name */
    size_t vm_count;
    size_t steps[STATE_STEP_COUNT]; /* VMs by step */
    uint64_t failed_before;         /* failures up to the last resume */
} StateWave;

/* The result of a command. */
typedef struct StateResult {
    Status status;
    uint64_t version; /* after the command; the current one on a refusal */
    char message[STATE_MESSAGE_BYTES];
    size_t conflict_count;
    char conflicts[STATE_MAX_CONFLICTS][STATE_PATH_BYTES];
} StateResult;

/* Returns an empty state at version 0, or NULL without memory. */
State *State_New(void);
void State_Free(State *state);

/* Applies one command of the log; result receives its msgpack result
 * [status, version, message, [conflicting paths]]. A command of an operator
 * that repeats a request id gets the bytes of the first answer; the same id
 * with other content is refused with ST_EXISTS.
 *
 * RETURN VALUE: the status in the result. ST_OK; ST_CONFLICT for a patch
 * that touches a path changed after its base, or a base older than the
 * retained deletions; ST_INVALID, ST_NOT_FOUND, ST_EXISTS, ST_FULL for a
 * refusal; ST_STALE for an old epoch or incarnation, and for an index that
 * was applied before; ST_AGAIN when it may be accepted later; ST_CORRUPT
 * for bytes that are no command, ST_UNSUPPORTED for an unknown kind. All but
 * ST_OK leave the state as it was, except for the recorded answer. */
Status State_Apply(State *state, uint64_t index, const char *command,
                   size_t len, Buf *result);

/* Decodes a result. Returns ST_CORRUPT for other bytes. */
Status State_ParseResult(const char *bytes, size_t len, StateResult *result);

/* Appends a snapshot; the same state gives the same bytes. */
void State_Snapshot(const State *state, Buf *out);

/* Replaces the state by a snapshot. On failure the state is as it was and
 * err names the reason; ST_CORRUPT, or ST_UNSUPPORTED for another version
 * of the format. */
Status State_Restore(State *state, const char *bytes, size_t len, ErrCtx *err);

uint64_t State_Version(const State *state);
uint64_t State_Applied(const State *state);

/* Each returns the row, or NULL. */
const StatePool *State_Pool(const State *state, const char *name);
const StateService *State_Service(const State *state, const char *name);
const StateTeam *State_Team(const State *state, const char *name);
const StateLimit *State_Limit(const State *state, const char *name);
const StateVm *State_Vm(const State *state, const char *name);
const StateMember *State_Member(const State *state, const char *name);
const StateWave *State_Wave(const State *state, const char *name);
const StateDataCentre *State_DataCentre(const State *state, const char *name);
const StateShare *State_Share(const State *state, const char *pool,
                              const char *data_centre);

/* Counts, and rows by position in no particular order; NULL past the end. */
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

/* VMs with a move under way, in no particular order. */
size_t State_MoveCount(const State *state);
const StateVm *State_MoveAt(const State *state, size_t i);

/* Returns granted minus released. */
int64_t State_ShareLimit(const StateShare *share);

/* Returns the budget in force: the larger of max_unavailable and the sum of
 * all shares. */
int64_t State_PoolBudget(const StatePool *pool);

/* Returns the version at which a path last changed or was deleted; 0 when it
 * never did, or its deletion is no longer retained. */
uint64_t State_PathVersion(const State *state, const char *path);

/* Appends the value of a configuration path as text; false when unset. */
bool State_PathValue(const State *state, const char *path, Buf *out);

/* Appends the configuration below a path prefix ("" for all of it) as lines
 * "path: value", ordered by path. */
void State_Config(const State *state, const char *prefix, Buf *out);

#endif
