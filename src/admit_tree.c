#include <string.h>

#include "mem.h"

#include "admit_internal.h"

static uint32_t
allocate_node(Admit *a)
{
    uint32_t node = a->free_node;

    if (node != ADMIT_NONE) {
        a->free_node = a->nodes[node].next;
    }
    else {
        if (a->node_count == a->node_capacity) {
            a->node_capacity = a->node_capacity ? a->node_capacity * 2 : 64;
            a->nodes =
                Mem_Resize(a->nodes, a->node_capacity * sizeof(AdmitNode));
        }
        node = a->node_count++;
    }
    memset(&a->nodes[node], 0, sizeof(AdmitNode));
    a->nodes[node].parent = ADMIT_NONE;
    a->nodes[node].current_child = ADMIT_NONE;
    a->nodes[node].head = ADMIT_NONE;
    a->nodes[node].tail = ADMIT_NONE;
    a->nodes[node].team = ADMIT_NONE;
    return node;
}

uint32_t
AdmitTree_FindOrAddRoot(Admit *a, uint32_t pool, TrafficClass class)
{
    uint32_t index = pool * TRAFFIC_CLASSES + (uint32_t) class;

    if (index >= a->root_count) {
        uint32_t count = (pool + 1) * TRAFFIC_CLASSES;
        uint32_t i;
        a->roots = Mem_Resize(a->roots, count * sizeof(*a->roots));
        for (i = a->root_count; i < count; i++) {
            uint32_t root = allocate_node(a);
            a->nodes[root].path_key = Keymap_CombineKeys(i + 1, 0);
            a->roots[i] = root;
        }
        a->root_count = count;
    }
    return a->roots[index];
}

uint32_t
AdmitTree_FindChild(const Admit *a, uint32_t parent, uint64_t key)
{
    uint64_t path = Keymap_CombineKeys(a->nodes[parent].path_key, key);
    uint32_t node;

    if (!Keymap_Get(a->node_by_path, path, &node) ||
        a->nodes[node].parent != parent || a->nodes[node].key != key) {
        return ADMIT_NONE;
    }
    return node;
}

uint32_t
AdmitTree_FindOrAddChild(Admit *a, uint32_t parent, uint64_t key)
{
    uint64_t path = Keymap_CombineKeys(a->nodes[parent].path_key, key);
    uint32_t node = AdmitTree_FindChild(a, parent, key);

    if (node != ADMIT_NONE) {
        return node;
    }
    if (Keymap_Get(a->node_by_path, path, &node)) {
        return ADMIT_NONE;
    }
    node = allocate_node(a);
    a->nodes[node].path_key = path;
    a->nodes[node].key = key;
    a->nodes[node].parent = parent;
    a->nodes[node].level = (uint8_t)(a->nodes[parent].level + 1);
    a->nodes[parent].children++;
    Keymap_Put(a->node_by_path, path, node);
    if (a->nodes[node].level == ADMIT_LEVEL_TEAM) {
        uint32_t team = AdmitTeam_FindOrAddRow(a, key);
        a->nodes[node].team = team;
        a->teams[team].nodes++;
    }
    return node;
}

static void
unpark_node(Admit *a, uint32_t node)
{
    AdmitNode *row = &a->nodes[node];

    if (row->park_prev != ADMIT_NONE) {
        a->nodes[row->park_prev].park_next = row->park_next;
    }
    else {
        a->teams[row->team].parked = row->park_next;
    }
    if (row->park_next != ADMIT_NONE) {
        a->nodes[row->park_next].park_prev = row->park_prev;
    }
    row->parked = false;
}

void
AdmitTree_PruneNode(Admit *a, uint32_t node)
{
    while (node != ADMIT_NONE) {
        AdmitNode *row = &a->nodes[node];
        uint32_t parent = row->parent;
        if (row->waiting > 0 || row->level == ADMIT_LEVEL_ROOT) {
            return;
        }
        AdmitTree_UnlinkNode(a, node);
        if (row->parked) {
            unpark_node(a, node);
        }
        if (row->team != ADMIT_NONE) {
            a->teams[row->team].nodes--;
            AdmitTeam_PruneRow(a, row->team);
        }
        a->nodes[parent].children--;
        Keymap_Remove(a->node_by_path, row->path_key);
        row->next = a->free_node;
        a->free_node = node;
        node = parent;
    }
}

void
AdmitTree_LinkNode(Admit *a, uint32_t node)
{
    AdmitNode *row = &a->nodes[node];

    while (row->level != ADMIT_LEVEL_ROOT && !row->linked && !row->parked) {
        AdmitNode *parent = &a->nodes[row->parent];
        row->linked = true;
        row->deficit = 1;
        if (parent->current_child == ADMIT_NONE) {
            row->prev = node;
            row->next = node;
            parent->current_child = node;
        }
        else {
            /* The node before the current child is the last in this round. */
            row->next = parent->current_child;
            row->prev = a->nodes[parent->current_child].prev;
            a->nodes[row->prev].next = node;
            a->nodes[row->next].prev = node;
        }
        node = row->parent;
        row = parent;
    }
}

void
AdmitTree_UnlinkNode(Admit *a, uint32_t node)
{
    AdmitNode *row = &a->nodes[node];

    while (row->level != ADMIT_LEVEL_ROOT && row->linked) {
        AdmitNode *parent = &a->nodes[row->parent];
        row->linked = false;
        if (row->next != node) {
            a->nodes[row->prev].next = row->next;
            a->nodes[row->next].prev = row->prev;
            if (parent->current_child == node) {
                parent->current_child = row->next;
            }
            return;
        }
        parent->current_child = ADMIT_NONE;
        node = row->parent;
        row = parent;
    }
}

void
AdmitTree_ParkNode(Admit *a, uint32_t node)
{
    AdmitNode *row = &a->nodes[node];
    AdmitTeam *team = &a->teams[row->team];

    AdmitTree_UnlinkNode(a, node);
    row->parked = true;
    row->park_prev = ADMIT_NONE;
    row->park_next = team->parked;
    if (team->parked != ADMIT_NONE) {
        a->nodes[team->parked].park_prev = node;
    }
    team->parked = node;
}

bool
AdmitTree_UnparkTeam(Admit *a, uint32_t team)
{
    bool any = a->teams[team].parked != ADMIT_NONE;

    while (a->teams[team].parked != ADMIT_NONE) {
        uint32_t node = a->teams[team].parked;
        unpark_node(a, node);
        AdmitTree_LinkNode(a, node);
    }
    return any;
}

uint32_t
AdmitTeam_FindOrAddRow(Admit *a, uint64_t key)
{
    uint32_t team;

    if (Keymap_Get(a->team_by_key, key, &team)) {
        return team;
    }
    team = a->free_team;
    if (team != ADMIT_NONE) {
        a->free_team = a->teams[team].next_free;
    }
    else {
        if (a->team_count == a->team_capacity) {
            a->team_capacity = a->team_capacity ? a->team_capacity * 2 : 64;
            a->teams =
                Mem_Resize(a->teams, a->team_capacity * sizeof(AdmitTeam));
        }
        team = a->team_count++;
    }
    memset(&a->teams[team], 0, sizeof(AdmitTeam));
    a->teams[team].key = key;
    a->teams[team].parked = ADMIT_NONE;
    Keymap_Put(a->team_by_key, key, team);
    return team;
}

void
AdmitTeam_PruneRow(Admit *a, uint32_t team)
{
    AdmitTeam *row = &a->teams[team];

    if (row->quota == 0 && row->started == 0 && row->nodes == 0) {
        Keymap_Remove(a->team_by_key, row->key);
        row->key = 0;
        row->next_free = a->free_team;
        a->free_team = team;
    }
}
