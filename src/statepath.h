/*
 * NAME
 *     statepath - configuration paths and the values they accept
 *
 * DESCRIPTION
 *     A patch may set or delete these paths:
 *     pools/NAME/max_unavailable|min_size|spare|service,
 *     services/NAME/pool|short_ms|slo_ms|slo_percent|max_queue,
 *     teams/NAME/quota and limits/NAME. pools/NAME/vms/VM with the value
 *     "move" requests a move of VM to the pool NAME; this path can't be
 *     deleted. A delete may also name a whole pool, service or team. Names
 * have 1 to 63 of the characters A-Z a-z 0-9 . _ - and don't begin with a dot.
 */
#ifndef COLTSFOOT_STATEPATH_H
#define COLTSFOOT_STATEPATH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mpread.h"

#define STATE_NAME_BYTES 64
/* Holds the longest path, pools/NAME/vms/NAME. */
#define STATE_PATH_BYTES 160
#define STATE_VALUE_BYTES 64
#define STATE_REASON_BYTES 160

typedef enum StateSection {
    STATE_POOLS,
    STATE_SERVICES,
    STATE_TEAMS,
    STATE_LIMITS
} StateSection;

typedef enum StateValueKind {
    STATE_VALUE_INTEGER,
    STATE_VALUE_BOOL,
    STATE_VALUE_NAME,    /* may be empty */
    STATE_VALUE_PERCENT, /* up to three decimals, stored in thousandths */
    STATE_VALUE_MOVE     /* the text "move" */
} StateValueKind;

/* A field of the rows of a section. */
typedef struct StateField {
    const char *name;
    StateSection section;
    StateValueKind kind;
    int64_t default_value;
    int64_t min;
    int64_t max;
    size_t offset; /* offset of the member in the row */
} StateField;

typedef struct StatePath {
    StateSection section;
    char name[STATE_NAME_BYTES];
    const StateField *field;   /* NULL for a whole row */
    char vm[STATE_NAME_BYTES]; /* VM of pools/NAME/vms/VM, otherwise empty */
} StatePath;

typedef struct StateValue {
    int64_t number;              /* integer, bool or percentage */
    char name[STATE_NAME_BYTES]; /* value of STATE_VALUE_NAME */
} StateValue;

/* Returns whether text of len bytes is a valid name. */
bool StatePath_IsName(const char *text, size_t len);

/* Reads a valid name, or an empty one if optional, into an array of
 * STATE_NAME_BYTES. */
bool StatePath_ReadName(MpRead *reader, char *out, bool optional);

/* Returns the table of fields, ordered by section, and its length. */
const StateField *StatePath_GetFields(size_t *count);

/* Returns the section's name in a path. */
const char *StatePath_GetSectionName(StateSection section);

/* Parses a path to be set or deleted. If the path can't be set or deleted,
 * returns false and writes at most STATE_REASON_BYTES to reason. */
bool StatePath_Parse(const char *text, bool is_delete, StatePath *path,
                     char *reason);

/* Parses a value for a path. If the value is invalid, returns false and
 * writes at most STATE_REASON_BYTES to reason. */
bool StatePath_ParseValue(const StatePath *path, const char *text,
                          StateValue *value, char *reason);

#endif
