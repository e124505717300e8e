/*
 * NAME
 *     state_impl - what the files of the state machine share
 *
 * DESCRIPTION
 *     Internal to state*.c. A handler checks its command as a whole before
 *     it changes anything, so a refusal leaves the state as it was. No
 *     result may depend on the order in which a StrMap lists its entries:
 *     it differs between a node that applied all commands and one that
 *     restored a snapshot.
 */
#ifndef COLTSFOOT_STATE_IMPL_H
#define COLTSFOOT_STATE_IMPL_H

#include "state.h"
#include "statecmd.h"
#include "strmap.h"

#define STATE_MAX_VMS (1U << 20)
#define STATE_MAX_ROWS 65536 /* pools, services, teams, limits, members */
/* Settling a pool takes quadratic time in the data centres. */
#define STATE_MAX_DATA_CENTRES 1024
#define STATE_MAX_SHARE 100000
#define STATE_KEY_BYTES (2 * STATE_NAME_BYTES)

/* The version at which a path last changed. Deleted paths form a list from
 * the oldest to the newest deletion. */
typedef struct StatePathRow {
    uint64_t version;
    bool deleted;
    struct StatePathRow *older;
    struct StatePathRow *newer;
    char path[STATE_PATH_BYTES];
} StatePathRow;

/* The answer to a request of an operator; key is "operator/request_id". */
typedef struct StateAnswer {
    char key[STATE_KEY_BYTES];
    uint64_t digest; /* of the command */
    size_t len;
    char *bytes;
} StateAnswer;

struct State {
    uint64_t version;
    uint64_t applied;
    uint64_t deletion_floor; /* lowest base that a patch may have */
    StrMap *data_centres;
    StrMap *pools;
    StrMap *services;
    StrMap *teams;
    StrMap *limits;
    StrMap *members;
    StrMap *vms;
    StrMap *moves; /* VMs with a move under way */
    StrMap *waves;
    StrMap *paths;
    StatePathRow *oldest_deletion;
    StatePathRow *newest_deletion;
    size_t deletion_count;
    StrMap *answers;
    StateAnswer *ring[STATE_ANSWERS]; /* from the oldest answer on */
    size_t ring_start;
    size_t ring_count;
};

/* Stores a refusal in the result and returns its status. */
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
StrMap *StateImpl_Section(const State *state, StateSection section);
void *StateImpl_AddRow(State *state, StateSection section, const char *name);
void StateImpl_RemoveRow(State *state, StateSection section, const char *name);
/* Finds or adds a data centre; NULL when there are too many. */
StateDataCentre *StateImpl_AddDataCentre(State *state, const char *name);
void StateImpl_AttachMember(State *state, StateMember *member,
                            StateDataCentre *centre);
void StateImpl_FreeMove(StateMove *move);
void StateImpl_FreeWave(StateWave *wave);

/* Returns or sets a field of a row. */
void StateImpl_GetField(const void *row, const StateField *field,
                        StateValue *value);
void StateImpl_SetField(void *row, const StateField *field,
                        const StateValue *value);

/* state_history.c: versions of paths, and answers to operators. */
void StateImpl_MarkSet(State *state, const char *path, uint64_t version);
void StateImpl_MarkDeleted(State *state, const char *path, uint64_t version);
const StateAnswer *StateImpl_FindAnswer(const State *state, const char *key);
void StateImpl_AddAnswer(State *state, const char *key, uint64_t digest,
                         const char *bytes, size_t len);

/* state_share.c */
StateShare *StateImpl_FindShare(const StatePool *pool,
                                const char *data_centre);
StateShare *StateImpl_AddShare(StatePool *pool, const char *data_centre);
/* Recomputes what each share moves towards, and grants what is free. */
void StateImpl_Settle(State *state, StatePool *pool);
Status StateImpl_ReleaseShare(State *state, const StateCmd *command,
                              StateResult *result);
Status StateImpl_AskShare(State *state, const StateCmd *command,
                          StateResult *result);

/* state_config.c */
Status StateImpl_Patch(State *state, const StateCmd *command,
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
/* Checks whether a VM may begin a move to a pool that exists; min_size is
 * that of its present pool. */
Status StateImpl_CheckMove(const State *state, const StateVm *vm,
                           const char *to, int64_t min_size,
                           StateResult *result);
void StateImpl_StartMove(State *state, StateVm *vm, StatePool *to);
Status StateImpl_BeginMove(State *state, const StateCmd *command,
                           StateResult *result);
Status StateImpl_CloseVm(State *state, const StateCmd *command,
                         StateResult *result);
Status StateImpl_AckClose(State *state, const StateCmd *command,
                          StateResult *result);
Status StateImpl_VmDrained(State *state, const StateCmd *command,
                           StateResult *result);
Status StateImpl_CancelMove(State *state, const StateCmd *command,
                            StateResult *result);
/* Counts the acknowledgements of a member as given: of incarnations below
 * this one. */
void StateImpl_MemberGone(State *state, const StateMember *member,
                          uint64_t below);

/* state_wave.c */
Status StateImpl_StartWave(State *state, const StateCmd *command,
                           StateResult *result);
Status StateImpl_WaveStep(State *state, const StateCmd *command,
                          StateResult *result);
Status StateImpl_WaveControl(State *state, const StateCmd *command,
                             StateResult *result);

#endif
