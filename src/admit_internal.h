/*
 * NAME
 *     admit_internal - tree of queues, shared by admit.c and admit_tree.c
 *
 * DESCRIPTION
 *     Node levels: root (pool and class), service, team, caller. A node is
 *     linked while it is in its parent's ring, so can be chosen. A team at
 *     its quota is parked: unlinked and in its team's list.
 */
#ifndef COLTSFOOT_ADMIT_INTERNAL_H
#define COLTSFOOT_ADMIT_INTERNAL_H

#include "admit.h"
#include "keymap.h"

#define ADMIT_NONE UINT32_MAX

enum { ADMIT_ROOT, ADMIT_SERVICE, ADMIT_TEAM, ADMIT_CALLER };

typedef struct AdmitNode {
    uint64_t path; /* key in Admit.paths */
    uint64_t key;
    uint32_t parent;
    uint32_t prev; /* ring of the parent */
    uint32_t next;
    uint32_t current;  /* ring of children: whose turn it is */
    uint32_t children; /* linked or parked */
    uint32_t head;     /* of a caller: entries */
    uint32_t tail;
    uint32_t team; /* of a team: row in Admit.teams */
    uint32_t park_prev;
    uint32_t park_next;
    uint32_t waiting; /* entries below */
    int32_t deficit;
    int64_t backlog_us;
    uint8_t level;
    bool linked;
    bool parked;
} AdmitNode;

typedef struct AdmitTeam {
    uint64_t key;
    uint32_t quota; /* 0: none */
    uint32_t started;
    uint32_t nodes;  /* team nodes that refer to it */
    uint32_t parked; /* list of nodes */
    uint32_t next_free;
} AdmitTeam;

typedef enum AdmitEntryState {
    ADMIT_IDLE,
    ADMIT_WAITING,
    ADMIT_STARTED
} AdmitEntryState;

typedef struct AdmitEntry {
    uint32_t prev;
    uint32_t next;
    uint32_t node; /* the caller while waiting */
    uint32_t team;
    int64_t run_us;
    uint8_t cost;
    uint8_t state;
} AdmitEntry;

struct Admit {
    Keymap *paths;
    Keymap *team_keys;
    AdmitNode *nodes;
    uint32_t node_count;
    uint32_t node_capacity;
    uint32_t free_node;
    AdmitTeam *teams;
    uint32_t team_count;
    uint32_t team_capacity;
    uint32_t free_team;
    AdmitEntry *entries;
    uint32_t entry_capacity;
    uint32_t *roots; /* by pool and class */
    uint32_t root_count;
};

/* Returns the root of a pool and class, created when it is new. */
uint32_t AdmitTree_Root(Admit *a, uint32_t pool, TrafficClass class);

/* Returns the child with this key, or ADMIT_NONE. */
uint32_t AdmitTree_Find(const Admit *a, uint32_t parent, uint64_t key);

/* Returns the child with this key, created when it is new; ADMIT_NONE when
 * another node has the same path key. */
uint32_t AdmitTree_Get(Admit *a, uint32_t parent, uint64_t key);

/* Frees a node that holds no entry, and its parents likewise. */
void AdmitTree_Prune(Admit *a, uint32_t node);

/* Puts a node into its parent's ring, and the parents likewise. */
void AdmitTree_Link(Admit *a, uint32_t node);
void AdmitTree_Unlink(Admit *a, uint32_t node);

void AdmitTree_Park(Admit *a, uint32_t node);

/* Returns true when there was a parked node. */
bool AdmitTree_UnparkAll(Admit *a, uint32_t team);

/* Returns the row of a team, created when it is new. */
uint32_t AdmitTeam_Get(Admit *a, uint64_t key);

/* Frees the row when nothing refers to it. */
void AdmitTeam_Prune(Admit *a, uint32_t team);

#endif
