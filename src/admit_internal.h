/*
 * NAME
 *     admit_internal - tree of queues, shared by admit.c and admit_tree.c
 *
 * DESCRIPTION
 *     The levels of the tree are root (one for each pool and class), service,
 *     team and caller. A node is linked while it is in its parent's ring and
 *     can be chosen. The nodes of a team that has reached its quota are
 *     parked: unlinked and kept in a list of the team.
 */
#ifndef COLTSFOOT_ADMIT_INTERNAL_H
#define COLTSFOOT_ADMIT_INTERNAL_H

#include "admit.h"
#include "keymap.h"

#define ADMIT_NONE UINT32_MAX

enum {
    ADMIT_LEVEL_ROOT,
    ADMIT_LEVEL_SERVICE,
    ADMIT_LEVEL_TEAM,
    ADMIT_LEVEL_CALLER
};

typedef struct AdmitNode {
    uint64_t path_key; /* key in Admit.node_by_path */
    uint64_t key;
    uint32_t parent;
    uint32_t prev; /* previous node in the parent's ring */
    uint32_t next; /* next node in the parent's ring or the free list */
    uint32_t current_child; /* child whose turn it is */
    uint32_t children;      /* number of children, linked or parked */
    uint32_t head;          /* first entry of a caller */
    uint32_t tail;          /* last entry of a caller */
    uint32_t team;          /* row in Admit.teams, of a team node */
    uint32_t park_prev;
    uint32_t park_next;
    uint32_t waiting; /* number of entries in the subtree */
    int32_t deficit;
    int64_t backlog_us; /* expected run time of the subtree's entries */
    uint8_t level;
    bool linked;
    bool parked;
} AdmitNode;

typedef struct AdmitTeam {
    uint64_t key;
    uint32_t quota; /* 0: unlimited */
    uint32_t started;
    uint32_t nodes;  /* number of team nodes that refer to this row */
    uint32_t parked; /* head of the list of parked nodes */
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
    uint32_t node; /* caller's node, while waiting */
    uint32_t team;
    int64_t run_us;
    uint8_t cost;
    uint8_t state;
} AdmitEntry;

struct Admit {
    Keymap *node_by_path;
    Keymap *team_by_key;
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
    uint32_t *roots; /* root nodes by pool and class */
    uint32_t root_count;
};

/* Returns the root of a pool and class; creates it if there is none. */
uint32_t AdmitTree_FindOrAddRoot(Admit *a, uint32_t pool, TrafficClass class);

/* Returns the child with this key, or ADMIT_NONE. */
uint32_t AdmitTree_FindChild(const Admit *a, uint32_t parent, uint64_t key);

/* Returns the child with this key; creates it if there is none. Returns
 * ADMIT_NONE if another node has the same path key. */
uint32_t AdmitTree_FindOrAddChild(Admit *a, uint32_t parent, uint64_t key);

/* Frees the node and its ancestors up to the first that holds an entry. */
void AdmitTree_PruneNode(Admit *a, uint32_t node);

/* Links a node and those of its ancestors that are not linked. */
void AdmitTree_LinkNode(Admit *a, uint32_t node);
void AdmitTree_UnlinkNode(Admit *a, uint32_t node);

void AdmitTree_ParkNode(Admit *a, uint32_t node);

/* Unparks all nodes of a team. Returns true if there were any. */
bool AdmitTree_UnparkTeam(Admit *a, uint32_t team);

/* Returns the row of a team; creates it if there is none. */
uint32_t AdmitTeam_FindOrAddRow(Admit *a, uint64_t key);

/* Frees the row of a team without quota, started work and nodes. */
void AdmitTeam_PruneRow(Admit *a, uint32_t team);

#endif
