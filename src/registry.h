/*
 * NAME
 *     registry - requests of callers by caller and request id
 *
 * DESCRIPTION
 *     Answers "what became of my request" and finds the request that a
 *     cancellation names. Holds running requests and the outcomes of the
 *     last REGISTRY_HISTORY ended ones. Not thread-safe.
 */
#ifndef COLTSFOOT_REGISTRY_H
#define COLTSFOOT_REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "table.h"

#define REGISTRY_KEY_BYTES 256
#define REGISTRY_HISTORY 65536

typedef struct Registry Registry;

typedef struct RegistryEntry {
    bool running;
    Handle request; /* of the running request */
    char outcome[16];
} RegistryEntry;

Registry *Registry_New(uint32_t max_running);
void Registry_Free(Registry *registry);

/* Adds a running request. Returns false when the same key is running. An
 * ended one of the same key is replaced. */
bool Registry_Add(Registry *registry, const char *caller, const char *id);

/* Sets the handle of a running request. */
void Registry_SetHandle(Registry *registry, const char *caller, const char *id,
                        Handle request);

/* Ends a running request with an outcome. */
void Registry_End(Registry *registry, const char *caller, const char *id,
                  const char *outcome);

/* Drops a running request without an outcome. */
void Registry_Drop(Registry *registry, const char *caller, const char *id);

/* Returns the entry, or NULL; valid until the next change. */
const RegistryEntry *Registry_Find(const Registry *registry,
                                   const char *caller, const char *id);

#endif
