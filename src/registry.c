#include "registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* A power of two, so that a hash becomes a bucket by masking. */
#define REGISTRY_BUCKETS 65536

typedef struct Node {
    char key[REGISTRY_KEY_BYTES];
    RegistryEntry entry;
    struct Node *next;  /* in its bucket */
    struct Node *newer; /* in the order of ending */
    struct Node *older;
} Node;

struct Registry {
    Node *buckets[REGISTRY_BUCKETS];
    Node *newest;
    Node *oldest;
    uint32_t ended;
    uint32_t running;
    uint32_t max_running;
};

Registry *
Registry_New(uint32_t max_running)
{
    Registry *registry = calloc(1, sizeof(*registry));

    if (registry != NULL) {
        registry->max_running = max_running;
    }
    return registry;
}

void
Registry_Free(Registry *registry)
{
    size_t i;

    if (registry == NULL) {
        return;
    }
    for (i = 0; i < REGISTRY_BUCKETS; i++) {
        while (registry->buckets[i] != NULL) {
            Node *node = registry->buckets[i];
            registry->buckets[i] = node->next;
            free(node);
        }
    }
    free(registry);
}

/* Joins caller and id; a caller cannot contain the separator, since it comes
 * from one header line. */
static bool
make_key(char *key, const char *caller, const char *id)
{
    int len = snprintf(key, REGISTRY_KEY_BYTES, "%s\n%s", caller, id);

    return len > 0 && len < REGISTRY_KEY_BYTES;
}

static Node **
find_place(const Registry *registry, const char *key)
{
    size_t bucket = XXH3_64bits(key, strlen(key)) & (REGISTRY_BUCKETS - 1);
    Node **at = (Node **)&registry->buckets[bucket];

    while (*at != NULL && strcmp((*at)->key, key) != 0) {
        at = &(*at)->next;
    }
    return at;
}

static void
unlink_ended(Registry *registry, Node *node)
{
    if (node->newer != NULL) {
        node->newer->older = node->older;
    }
    else {
        registry->newest = node->older;
    }
    if (node->older != NULL) {
        node->older->newer = node->newer;
    }
    else {
        registry->oldest = node->newer;
    }
    node->newer = NULL;
    node->older = NULL;
    registry->ended--;
}

static void
remove_node(Node **at)
{
    Node *node = *at;

    *at = node->next;
    free(node);
}

bool
Registry_Add(Registry *registry, const char *caller, const char *id)
{
    char key[REGISTRY_KEY_BYTES];
    Node **at;
    Node *node;

    if (!make_key(key, caller, id) ||
        registry->running >= registry->max_running) {
        return false;
    }
    at = find_place(registry, key);
    node = *at;
    if (node != NULL && node->entry.running) {
        return false;
    }
    if (node != NULL) {
        unlink_ended(registry, node);
    }
    else {
        node = calloc(1, sizeof(*node));
        if (node == NULL) {
            return false;
        }
        memcpy(node->key, key, sizeof(key));
        *at = node;
    }
    node->entry.running = true;
    node->entry.request = HANDLE_NONE;
    node->entry.outcome[0] = '\0';
    registry->running++;
    return true;
}

static Node *
find_running(const Registry *registry, const char *caller, const char *id)
{
    char key[REGISTRY_KEY_BYTES];
    Node *node;

    if (!make_key(key, caller, id)) {
        return NULL;
    }
    node = *find_place(registry, key);
    return node != NULL && node->entry.running ? node : NULL;
}

void
Registry_SetHandle(Registry *registry, const char *caller, const char *id,
                   Handle request)
{
    Node *node = find_running(registry, caller, id);

    if (node != NULL) {
        node->entry.request = request;
    }
}

void
Registry_End(Registry *registry, const char *caller, const char *id,
             const char *outcome)
{
    Node *node = find_running(registry, caller, id);

    if (node == NULL) {
        return;
    }
    node->entry.running = false;
    snprintf(node->entry.outcome, sizeof(node->entry.outcome), "%s", outcome);
    registry->running--;
    node->older = registry->newest;
    if (registry->newest != NULL) {
        registry->newest->newer = node;
    }
    else {
        registry->oldest = node;
    }
    registry->newest = node;
    registry->ended++;
    if (registry->ended > REGISTRY_HISTORY) {
        Node *oldest = registry->oldest;
        Node **at = find_place(registry, oldest->key);
        unlink_ended(registry, oldest);
        remove_node(at);
    }
}

void
Registry_Drop(Registry *registry, const char *caller, const char *id)
{
    char key[REGISTRY_KEY_BYTES];
    Node **at;

    if (!make_key(key, caller, id)) {
        return;
    }
    at = find_place(registry, key);
    if (*at != NULL && (*at)->entry.running) {
        registry->running--;
        remove_node(at);
    }
}

const RegistryEntry *
Registry_Find(const Registry *registry, const char *caller, const char *id)
{
    char key[REGISTRY_KEY_BYTES];
    const Node *node;

    if (!make_key(key, caller, id)) {
        return NULL;
    }
    node = *find_place(registry, key);
    return node != NULL ? &node->entry : NULL;
}
