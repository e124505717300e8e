#include "registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* A power of two, so that masking a hash yields its bucket. */
#define REGISTRY_BUCKETS 65536

typedef struct Node {
    char key[REGISTRY_KEY_BYTES];
    RegistryEntry entry;
    struct Node *next;  /* next node of the bucket */
    struct Node *newer; /* the next request to end after this one */
    struct Node *older; /* the last request to end before this one */
} Node;

struct Registry {
    Node *buckets[REGISTRY_BUCKETS];
    Node *newest;
    Node *oldest;
    uint32_t ended;   /* number of ended requests that are kept */
    uint32_t running; /* number of running requests */
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

/* Joins caller and id by a line feed, which a caller can't contain because it
 * comes from one header line. Returns false if the key is too long. */
static bool
make_key(char *key, const char *caller, const char *id)
{
    int len = snprintf(key, REGISTRY_KEY_BYTES, "%s\n%s", caller, id);

    return len > 0 && len < REGISTRY_KEY_BYTES;
}

/* Returns the pointer in a bucket's list that refers to the node of a key, or
 * the NULL pointer at the end of the list. */
static Node **
find_link(const Registry *registry, const char *key)
{
    size_t bucket = XXH3_64bits(key, strlen(key)) & (REGISTRY_BUCKETS - 1);
    Node **link = (Node **)&registry->buckets[bucket];

    while (*link != NULL && strcmp((*link)->key, key) != 0) {
        link = &(*link)->next;
    }
    return link;
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
remove_node(Node **link)
{
    Node *node = *link;

    *link = node->next;
    free(node);
}

bool
Registry_Add(Registry *registry, const char *caller, const char *id)
{
    char key[REGISTRY_KEY_BYTES];
    Node **link;
    Node *node;

    if (!make_key(key, caller, id) ||
        registry->running >= registry->max_running) {
        return false;
    }
    link = find_link(registry, key);
    node = *link;
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
        *link = node;
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
    node = *find_link(registry, key);
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
    if (registry->ended > REGISTRY_MAX_ENDED) {
        Node *oldest = registry->oldest;
        Node **link = find_link(registry, oldest->key);
        unlink_ended(registry, oldest);
        remove_node(link);
    }
}

void
Registry_Drop(Registry *registry, const char *caller, const char *id)
{
    char key[REGISTRY_KEY_BYTES];
    Node **link;

    if (!make_key(key, caller, id)) {
        return;
    }
    link = find_link(registry, key);
    if (*link != NULL && (*link)->entry.running) {
        registry->running--;
        remove_node(link);
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
    node = *find_link(registry, key);
    return node != NULL ? &node->entry : NULL;
}
