/*
 * NAME
 *     registry - requests indexed by caller and request id
 *
 * DESCRIPTION
 *     Reports the status of a caller's request and finds the request that a
 *     cancellation names. Holds running requests and the outcomes of the
 *     last REGISTRY_MAX_ENDED ended requests. Not thread-safe.
 */
#ifndef COLTSFOOT_REGISTRY_H
#define COLTSFOOT_REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "table.h"

#define REGISTRY_KEY_BYTES 256
#define REGISTRY_MAX_ENDED 65536

typedef struct Registry Registry;

typedef struct RegistryEntry {
    bool running;
    Handle request; /* handle of the request while it runs */
    char outcome[16];
} RegistryEntry;

Registry *Registry_New(uint32_t max_running);
void Registry_Free(Registry *registry);

/* Adds a running request and replaces an ended request of the same caller and
 * id. Returns false if a request of the same caller and id is running, if
 * max_running requests are running, if caller and id are too long together, or
 * if out of memory. */
bool Registry_Add(Registry *registry, const char *caller, const char *id);

/* Sets the handle of a running request. */
void Registry_SetHandle(Registry *registry, const char *caller, const char *id,
                        Handle request);

/* Marks a running request as ended with an outcome. */
void Registry_End(Registry *registry, const char *caller, const char *id,
                  const char *outcome);

/* Removes a running request without an outcome. */
void Registry_Drop(Registry *registry, const char *caller, const char *id);

/* Returns the entry, or NULL if there is none. The entry is valid until the
 * next call that changes the registry. */
const RegistryEntry *Registry_Find(const Registry *registry,
                                   const char *caller, const char *id);

#endif
