/*
 * NAME
 *     state_impl - internal declarations of the state machine
 *
 * DESCRIPTION
 *     Internal to state*.c. A handler validates the whole command before it
 *     changes anything, so a refusal leaves the state unchanged. No result
 *     may depend on the order in which a StrMap lists its entries: the order
 *     differs between a node that applied all commands and one that restored
 *     a snapshot.
 */
#ifndef COLTSFOOT_STATE_IMPL_H
#define COLTSFOOT_STATE_IMPL_H

#include "state.h"
#include "statecmd.h"
#include "strmap.h"

#define STATE_MAX_VMS (1U << 20)
#define STATE_MAX_ROWS 65536 /* maximum rows of a section, also of members */
/* Rebalancing the shares of a pool takes quadratic time in the number of data
 * centres. */
#define STATE_MAX_DATA_CENTRES 1024
#define STATE_MAX_SHARE_UNITS 100000
#define STATE_ANSWER_KEY_BYTES (2 * STATE_NAME_BYTES)

/* The version at which a path last changed. Deleted paths form a doubly
 * linked list ordered by the time of deletion. */
typedef struct StatePathRow {
    uint64_t version;
    bool deleted;
    struct StatePathRow *older;
    struct StatePathRow *newer;
    char path[STATE_PATH_BYTES];
} StatePathRow;

/* The recorded answer to an operator's request; the key is
 * "operator/request_id". */
typedef struct StateAnswer {
    char key[STATE_ANSWER_KEY_BYTES];
    uint64_t digest; /* XXH64 of the encoded command */
    size_t len;
    char *bytes;
} StateAnswer;

struct State {
    uint64_t version;
    uint64_t applied;
    uint64_t deletion_floor; /* lowest base version that a patch may have */
    StrMap *data_centres;
    StrMap *pools;
    StrMap *services;
    StrMap *teams;
    StrMap *limits;
    StrMap *members;
    StrMap *vms;
    StrMap *moves; /* VMs with a move in progress */
    StrMap *waves;
    StrMap *paths;
    StatePathRow *oldest_deletion;
    StatePathRow *newest_deletion;
    size_t deletion_count;
    StrMap *answers;
    StateAnswer *answer_ring[STATE_MAX_ANSWERS]; /* from oldest to newest */
    size_t answer_ring_start; /* position of the oldest answer */
    size_t answer_ring_count;
};

/* Stores the status and message of a refusal; returns the status. */
#if defined(__GNUC__)
__attribute__((format(printf, 3, 4)))
#endif
Status
StateImpl_Refuse(StateResult *result, Status status, const char *format, ...);

/* Stores a message for an accepted command and returns ST_OK. */
#if defined(__GNUC__)
__attribute__((format(printf, 2, 3)))
#endif
Status
StateImpl_Accept(StateResult *result, const char *format, ...);

void StateImpl_InitMaps(State *state);
void StateImpl_FreeRows(State *state);
StrMap *StateImpl_GetSection(const State *state, StateSection section);
void *StateImpl_AddRow(State *state, StateSection section, const char *name);
void StateImpl_RemoveRow(State *state, StateSection section, const char *name);
/* Finds or adds a data centre. Returns NULL if there are too many. */
StateDataCentre *StateImpl_AddDataCentre(State *state, const char *name);
void StateImpl_AttachMember(State *state, StateMember *member,
                            StateDataCentre *centre);
void StateImpl_FreeMove(StateMove *move);
void StateImpl_FreeWave(StateWave *wave);

/* Read and write a field of a row. */
void StateImpl_GetField(const void *row, const StateField *field,
                        StateValue *value);
void StateImpl_SetField(void *row, const StateField *field,
                        const StateValue *value);

/* state_history.c: versions of paths, and recorded answers */
void StateImpl_MarkPathSet(State *state, const char *path, uint64_t version);
void StateImpl_MarkPathDeleted(State *state, const char *path,
                               uint64_t version);
const StateAnswer *StateImpl_FindAnswer(const State *state, const char *key);
void StateImpl_AddAnswer(State *state, const char *key, uint64_t digest,
                         const char *bytes, size_t len);

/* state_share.c */
StateShare *StateImpl_FindShare(const StatePool *pool,
                                const char *data_centre);
StateShare *StateImpl_AddShare(StatePool *pool, const char *data_centre);
/* Recomputes the desired size of each share, first from the units that its
 * keeper requested, then from its VMs, and grants unallocated units. */
void StateImpl_RebalanceShares(State *state, StatePool *pool);
Status StateImpl_ReleaseShare(State *state, const StateCmd *command,
                              StateResult *result);
Status StateImpl_AskShare(State *state, const StateCmd *command,
                          StateResult *result);

/* state_config.c */
Status StateImpl_ApplyPatch(State *state, const StateCmd *command,
                            StateResult *result);

/* state_member.c */
Status StateImpl_RegisterMember(State *state, const StateCmd *command,
                                StateResult *result);
Status StateImpl_DeclareDestroyed(State *state, const StateCmd *command,
                                  StateResult *result);

/* state_move.c */
Status StateImpl_RegisterVm(State *state, const StateCmd *command,
                            StateResult *result);
Status StateImpl_RemoveVm(State *state, const StateCmd *command,
                          StateResult *result);
/* Checks whether a VM may move to an existing pool; min_size is that of the
 * VM's current pool. */
Status StateImpl_CheckMove(const State *state, const StateVm *vm,
                           const char *to, int64_t min_size,
                           StateResult *result);
void StateImpl_AddMove(State *state, StateVm *vm, StatePool *to);
Status StateImpl_BeginMove(State *state, const StateCmd *command,
                           StateResult *result);
Status StateImpl_CloseVm(State *state, const StateCmd *command,
                         StateResult *result);
Status StateImpl_AckClose(State *state, const StateCmd *command,
                          StateResult *result);
Status StateImpl_CompleteMove(State *state, const StateCmd *command,
                              StateResult *result);
Status StateImpl_CancelMove(State *state, const StateCmd *command,
                            StateResult *result);
/* Marks the pending acknowledgements of the member's incarnations below
 * before_incarnation as given, since their processes no longer run. */
void StateImpl_WaiveAcks(State *state, const StateMember *member,
                         uint64_t before_incarnation);

/* state_wave.c */
Status StateImpl_StartWave(State *state, const StateCmd *command,
                           StateResult *result);
Status StateImpl_RecordWaveStep(State *state, const StateCmd *command,
                                StateResult *result);
Status StateImpl_ControlWave(State *state, const StateCmd *command,
                             StateResult *result);

#endif
