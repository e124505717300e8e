#include "admit.h"

#include <stdlib.h>
#include <string.h>

#include "admit_internal.h"
#include "mem.h"

#define MIN_RETRY_DELAY_MS 10
#define MAX_RETRY_DELAY_MS 60000

Admit *
Admit_New(void)
{
    Admit *a = calloc(1, sizeof(*a));

    if (a == NULL) {
        return NULL;
    }
    a->free_node = ADMIT_NONE;
    a->free_team = ADMIT_NONE;
    a->node_by_path = Keymap_New();
    a->team_by_key = Keymap_New();
    if (a->node_by_path == NULL || a->team_by_key == NULL) {
        Admit_Free(a);
        return NULL;
    }
    return a;
}

void
Admit_Free(Admit *a)
{
    if (a != NULL) {
        Keymap_Free(a->node_by_path);
        Keymap_Free(a->team_by_key);
        free(a->nodes);
        free(a->teams);
        free(a->entries);
        free(a->roots);
        free(a);
    }
}

void
Admit_SetQuota(Admit *a, uint64_t team, uint32_t quota)
{
    uint32_t row = AdmitTeam_FindOrAddRow(a, team);

    a->teams[row].quota = quota;
    AdmitTree_UnparkTeam(a, row);
    AdmitTeam_PruneRow(a, row);
}

void
Admit_ClearQuotas(Admit *a)
{
    uint32_t i;

    for (i = 0; i < a->team_count; i++) {
        if (a->teams[i].key != 0 && a->teams[i].quota != 0) {
            Admit_SetQuota(a, a->teams[i].key, 0);
        }
    }
}

static AdmitEntry *
get_entry(Admit *a, uint32_t id)
{
    uint32_t capacity = a->entry_capacity ? a->entry_capacity : 64;

    if (id >= a->entry_capacity) {
        while (capacity <= id) {
            capacity *= 2;
        }
        a->entries = Mem_Resize(a->entries, capacity * sizeof(AdmitEntry));
        memset(a->entries + a->entry_capacity, 0,
               (capacity - a->entry_capacity) * sizeof(AdmitEntry));
        a->entry_capacity = capacity;
    }
    return &a->entries[id];
}

static void
update_node_totals(Admit *a, uint32_t node, int64_t run_us, bool add)
{
    while (node != ADMIT_NONE) {
        AdmitNode *row = &a->nodes[node];
        row->waiting += add ? 1 : UINT32_MAX;
        row->backlog_us += add ? run_us : -run_us;
        node = row->parent;
    }
}

/* Queues the work at its caller's node, which is created if there is none.
 * Returns false if the path key of that node or of one of its ancestors
 * collides with that of another node. */
static bool
enqueue_work(Admit *a, const AdmitWork *work, bool front)
{
    uint32_t node = AdmitTree_FindOrAddRoot(a, work->pool, work->class);
    uint64_t keys[] = {work->service + 1, work->team, work->caller};
    AdmitEntry *entry = get_entry(a, work->id);
    AdmitNode *caller;
    size_t i;

    for (i = 0; i < 3; i++) {
        uint32_t child = AdmitTree_FindOrAddChild(a, node, keys[i]);
        if (child == ADMIT_NONE) {
            AdmitTree_PruneNode(a, node);
            return false;
        }
        node = child;
    }
    caller = &a->nodes[node];
    entry->node = node;
    entry->team = a->nodes[caller->parent].team;
    entry->run_us = work->run_us;
    entry->cost = (uint8_t)work->cost;
    entry->state = ADMIT_WAITING;
    entry->prev = front ? ADMIT_NONE : caller->tail;
    entry->next = front ? caller->head : ADMIT_NONE;
    if (entry->prev != ADMIT_NONE) {
        a->entries[entry->prev].next = work->id;
    }
    else {
        caller->head = work->id;
    }
    if (entry->next != ADMIT_NONE) {
        a->entries[entry->next].prev = work->id;
    }
    else {
        caller->tail = work->id;
    }
    update_node_totals(a, node, work->run_us, true);
    AdmitTree_LinkNode(a, node);
    return true;
}

static void
dequeue_work(Admit *a, uint32_t id)
{
    AdmitEntry *entry = &a->entries[id];
    AdmitNode *caller = &a->nodes[entry->node];

    if (entry->prev != ADMIT_NONE) {
        a->entries[entry->prev].next = entry->next;
    }
    else {
        caller->head = entry->next;
    }
    if (entry->next != ADMIT_NONE) {
        a->entries[entry->next].prev = entry->prev;
    }
    else {
        caller->tail = entry->prev;
    }
    update_node_totals(a, entry->node, entry->run_us, false);
    entry->state = ADMIT_IDLE;
}

static int64_t
get_higher_backlog_us(const Admit *a, uint32_t pool, TrafficClass class)
{
    int64_t us = 0;
    uint32_t i;

    for (i = 0; i < (uint32_t) class; i++) {
        uint32_t index = pool * TRAFFIC_CLASSES + i;
        us += index < a->root_count ? a->nodes[a->roots[index]].backlog_us : 0;
    }
    return us;
}

/* Returns the expected run time of the work of the same class that is served
 * before the new work: the backlog of the class or, if that is less, the
 * caller's backlog with the new work times the number of callers that take
 * turns. */
static int64_t
estimate_backlog_ahead_us(const Admit *a, const AdmitWork *work, uint32_t root)
{
    int64_t total = a->nodes[root].backlog_us;
    uint32_t service = AdmitTree_FindChild(a, root, work->service + 1);
    uint32_t team = ADMIT_NONE;
    uint32_t caller = ADMIT_NONE;
    int64_t turns = a->nodes[root].children + (service == ADMIT_NONE);
    int64_t own = work->run_us;

    if (service != ADMIT_NONE) {
        team = AdmitTree_FindChild(a, service, work->team);
        turns *= a->nodes[service].children + (team == ADMIT_NONE);
    }
    if (team != ADMIT_NONE) {
        caller = AdmitTree_FindChild(a, team, work->caller);
        turns *= a->nodes[team].children + (caller == ADMIT_NONE);
    }
    if (caller != ADMIT_NONE) {
        own += a->nodes[caller].backlog_us;
    }
    return turns * own < total ? turns * own : total;
}

static int64_t
clamp_retry_delay_ms(int64_t ms)
{
    return ms < MIN_RETRY_DELAY_MS   ? MIN_RETRY_DELAY_MS
           : ms > MAX_RETRY_DELAY_MS ? MAX_RETRY_DELAY_MS
                                     : ms;
}

static int64_t
estimate_quota_wait_us(const Admit *a, const AdmitWork *work, uint32_t root)
{
    uint32_t service = AdmitTree_FindChild(a, root, work->service + 1);
    uint32_t node = service == ADMIT_NONE
                        ? ADMIT_NONE
                        : AdmitTree_FindChild(a, service, work->team);
    int64_t backlog = node == ADMIT_NONE ? 0 : a->nodes[node].backlog_us;
    uint32_t row;

    if (!Keymap_Get(a->team_by_key, work->team, &row) ||
        a->teams[row].quota == 0 ||
        a->teams[row].started < a->teams[row].quota) {
        return 0;
    }
    return (backlog + work->run_us) / a->teams[row].quota;
}

static bool
has_room(const Admit *a, const AdmitWork *work, uint32_t root, uint32_t max)
{
    uint32_t service = AdmitTree_FindChild(a, root, work->service + 1);
    uint32_t node;
    uint32_t room;

    if (service == ADMIT_NONE) {
        return max > 0;
    }
    if (a->nodes[service].waiting >= max) {
        return false;
    }
    room = max - a->nodes[service].waiting;
    node = AdmitTree_FindChild(a, service, work->team);
    if (node != ADMIT_NONE) {
        node = AdmitTree_FindChild(a, node, work->caller);
    }
    return node == ADMIT_NONE ||
           a->nodes[node].waiting < (uint64_t)room * ADMIT_FLOW_FACTOR;
}

AdmitResult
Admit_QueueWork(Admit *a, const AdmitWork *work, const AdmitLimits *limits,
                int64_t *retry_ms)
{
    uint32_t root = AdmitTree_FindOrAddRoot(a, work->pool, work->class);
    int64_t servers = limits->servers > 0 ? limits->servers : 1;
    int64_t left_us = limits->time_left_ms * 1000;
    int64_t wait_us = 0;
    int64_t quota_us = estimate_quota_wait_us(a, work, root);

    if (limits->free_servers == 0) {
        wait_us = estimate_backlog_ahead_us(a, work, root);
        if (limits->service_rate > 0) {
            /* The observed rate already accounts for the higher classes. */
            wait_us = (int64_t)((double)wait_us / limits->service_rate);
        }
        else {
            wait_us += get_higher_backlog_us(a, work->pool, work->class);
            wait_us /= servers;
        }
    }
    if (!has_room(a, work, root, limits->max_queue)) {
        *retry_ms = clamp_retry_delay_ms(wait_us / 1000 / 4);
        return ADMIT_QUEUE_FULL;
    }
    if (quota_us > left_us) {
        *retry_ms = clamp_retry_delay_ms((quota_us - left_us) / 1000);
        return ADMIT_OVER_QUOTA;
    }
    if (wait_us > left_us || left_us <= 0) {
        *retry_ms = clamp_retry_delay_ms((wait_us - left_us) / 1000);
        return ADMIT_TOO_LATE;
    }
    *retry_ms = 0;
    if (!enqueue_work(a, work, false)) {
        *retry_ms = MIN_RETRY_DELAY_MS;
        return ADMIT_QUEUE_FULL;
    }
    return ADMIT_QUEUED;
}

void
Admit_RequeueWork(Admit *a, const AdmitWork *work)
{
    AdmitWork other = *work;

    while (!enqueue_work(a, &other, true)) {
        other.caller++; /* avoids a collision of path keys */
    }
}

/* Returns the node of the caller whose turn it is, or ADMIT_NONE. */
static uint32_t
choose_caller(Admit *a, uint32_t root)
{
    uint32_t node = root;

    while (a->nodes[node].level != ADMIT_LEVEL_CALLER) {
        uint32_t child = a->nodes[node].current_child;
        AdmitNode *row;
        if (child == ADMIT_NONE) {
            return ADMIT_NONE; /* only the root can have an empty ring */
        }
        row = &a->nodes[child];
        if (row->deficit <= 0) {
            row->deficit++;
            a->nodes[node].current_child = row->next;
            continue;
        }
        if (row->level == ADMIT_LEVEL_TEAM) {
            const AdmitTeam *team = &a->teams[row->team];
            if (team->quota != 0 && team->started >= team->quota) {
                AdmitTree_ParkNode(a, child);
                node = root;
                continue;
            }
        }
        node = child;
    }
    return node;
}

bool
Admit_StartNext(Admit *a, uint32_t pool, TrafficClass class, uint32_t *id)
{
    uint32_t caller =
        choose_caller(a, AdmitTree_FindOrAddRoot(a, pool, class));
    uint32_t node = caller;
    uint32_t team;

    if (caller == ADMIT_NONE) {
        return false;
    }
    *id = a->nodes[caller].head;
    team = a->entries[*id].team;
    while (a->nodes[node].level != ADMIT_LEVEL_ROOT) {
        AdmitNode *row = &a->nodes[node];
        row->deficit -= a->entries[*id].cost;
        if (row->deficit <= 0) {
            row->deficit++;
            a->nodes[row->parent].current_child = row->next;
        }
        node = row->parent;
    }
    dequeue_work(a, *id);
    a->entries[*id].state = ADMIT_STARTED;
    a->teams[team].started++;
    AdmitTree_PruneNode(a, caller);
    return true;
}

void
Admit_RemoveWork(Admit *a, uint32_t id)
{
    if (id < a->entry_capacity && a->entries[id].state == ADMIT_WAITING) {
        uint32_t caller = a->entries[id].node;
        dequeue_work(a, id);
        AdmitTree_PruneNode(a, caller);
    }
}

static bool
finish_team_work(Admit *a, uint32_t team)
{
    bool freed;

    a->teams[team].started--;
    freed = AdmitTree_UnparkTeam(a, team);
    AdmitTeam_PruneRow(a, team);
    return freed;
}

bool
Admit_FinishWork(Admit *a, uint32_t id)
{
    if (id >= a->entry_capacity || a->entries[id].state != ADMIT_STARTED) {
        return false;
    }
    a->entries[id].state = ADMIT_IDLE;
    return finish_team_work(a, a->entries[id].team);
}

uint32_t
Admit_DetachWork(Admit *a, uint32_t id)
{
    a->entries[id].state = ADMIT_IDLE;
    return a->entries[id].team;
}

void
Admit_FinishDetached(Admit *a, uint32_t team)
{
    finish_team_work(a, team);
}

uint32_t
Admit_CountWaiting(const Admit *a, uint32_t pool, TrafficClass class)
{
    uint32_t index = pool * TRAFFIC_CLASSES + (uint32_t) class;

    return index < a->root_count ? a->nodes[a->roots[index]].waiting : 0;
}

int64_t
Admit_EstimateWait(const Admit *a, uint32_t pool, TrafficClass class,
                   uint32_t servers)
{
    int64_t us = get_higher_backlog_us(a, pool, class);
    uint32_t index = pool * TRAFFIC_CLASSES + (uint32_t) class;

    us += index < a->root_count ? a->nodes[a->roots[index]].backlog_us : 0;
    return us / (servers > 0 ? servers : 1) / 1000;
}
