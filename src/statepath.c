#include "statepath.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state.h"

#define STATE_MAX_COUNT 1000000
#define STATE_MAX_TIME_MS 86400000

#define FIELD(section, row, field, kind, default_value, min, max)             \
    {                                                                         \
#field, section, kind, default_value, min, max, offsetof(row, field)  \
    }

static const StateField fields[] = {
    FIELD(STATE_POOLS, StatePool, max_unavailable, STATE_VALUE_INTEGER, 0, 0,
          100000),
    FIELD(STATE_POOLS, StatePool, min_size, STATE_VALUE_INTEGER, 0, 0,
          STATE_MAX_COUNT),
    FIELD(STATE_POOLS, StatePool, spare, STATE_VALUE_BOOL, 0, 0, 1),
    FIELD(STATE_POOLS, StatePool, service, STATE_VALUE_NAME, 0, 0, 0),
    FIELD(STATE_SERVICES, StateService, pool, STATE_VALUE_NAME, 0, 0, 0),
    FIELD(STATE_SERVICES, StateService, short_ms, STATE_VALUE_INTEGER, 1000, 1,
          STATE_MAX_TIME_MS),
    FIELD(STATE_SERVICES, StateService, slo_ms, STATE_VALUE_INTEGER, 10000, 1,
          STATE_MAX_TIME_MS),
    FIELD(STATE_SERVICES, StateService, slo_percent, STATE_VALUE_PERCENT,
          99000, 0, 100000),
    FIELD(STATE_SERVICES, StateService, max_queue, STATE_VALUE_INTEGER, 0, 0,
          STATE_MAX_COUNT),
    FIELD(STATE_TEAMS, StateTeam, quota, STATE_VALUE_INTEGER, 0, 0,
          STATE_MAX_COUNT),
};

static const char *const section_names[] = {"pools", "services", "teams",
                                            "limits"};

static const StateField limit_field = {.name = "",
                                       .section = STATE_LIMITS,
                                       .kind = STATE_VALUE_INTEGER,
                                       .min = -INT64_MAX,
                                       .max = INT64_MAX,
                                       .offset = offsetof(StateLimit, value)};

static const StateField move_field = {
    .name = "vms", .section = STATE_POOLS, .kind = STATE_VALUE_MOVE};

const StateField *
StatePath_GetFields(size_t *count)
{
    *count = sizeof(fields) / sizeof(fields[0]);
    return fields;
}

const char *
StatePath_GetSectionName(StateSection section)
{
    return section_names[section];
}

static bool
is_name_char(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool
StatePath_IsName(const char *text, size_t len)
{
    size_t i;

    if (len == 0 || len >= STATE_NAME_BYTES || text[0] == '.') {
        return false;
    }
    for (i = 0; i < len; i++) {
        if (!is_name_char(text[i])) {
            return false;
        }
    }
    return true;
}

bool
StatePath_ReadName(MpRead *reader, char *out, bool optional)
{
    return MpRead_Text(reader, out, STATE_NAME_BYTES) &&
           ((optional && out[0] == '\0') ||
            StatePath_IsName(out, strlen(out)));
}

/* Formats the reason and returns false, so that a parser can return the
 * result of this call. */
#if defined(__GNUC__)
__attribute__((format(printf, 2, 3)))
#endif
static bool
set_reason(char *reason, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    vsnprintf(reason, STATE_REASON_BYTES, format, args);
    va_end(args);
    return false;
}

/* Copies the next part of a path and advances *text, which becomes NULL after
 * the last part. */
static bool
read_part(const char **text, char *part, size_t part_bytes)
{
    const char *slash;
    size_t len;

    if (*text == NULL) {
        return false;
    }
    slash = strchr(*text, '/');
    len = slash != NULL ? (size_t)(slash - *text) : strlen(*text);
    if (len >= part_bytes) {
        return false;
    }
    memcpy(part, *text, len);
    part[len] = '\0';
    *text = slash != NULL ? slash + 1 : NULL;
    return true;
}

static const StateField *
find_field(StateSection section, const char *name)
{
    size_t i;

    for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        if (fields[i].section == section &&
            strcmp(fields[i].name, name) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

/* Parses the part that follows pools/NAME/vms/. */
static bool
parse_vm_part(const char *rest, bool is_delete, StatePath *path, char *reason)
{
    path->field = &move_field;
    if (!read_part(&rest, path->vm, sizeof(path->vm)) || rest != NULL ||
        !StatePath_IsName(path->vm, strlen(path->vm))) {
        return set_reason(reason, "a VM's name must follow vms/");
    }
    if (is_delete) {
        return set_reason(reason,
                          "a VM leaves a pool by a move to another one");
    }
    return true;
}

bool
StatePath_Parse(const char *text, bool is_delete, StatePath *path,
                char *reason)
{
    char part[STATE_NAME_BYTES];
    size_t section;
    const char *rest = text;

    memset(path, 0, sizeof(*path));
    if (!read_part(&rest, part, sizeof(part))) {
        return set_reason(reason, "unknown section");
    }
    for (section = 0; section <= STATE_LIMITS; section++) {
        if (strcmp(part, section_names[section]) == 0) {
            break;
        }
    }
    if (section > STATE_LIMITS) {
        return set_reason(reason,
                          "unknown section \"%s\"; there are pools, "
                          "services, teams and limits",
                          part);
    }
    path->section = (StateSection)section;
    if (!read_part(&rest, path->name, sizeof(path->name)) ||
        !StatePath_IsName(path->name, strlen(path->name))) {
        return set_reason(reason,
                          "a name of 1 to 63 of A-Z a-z 0-9 . _ - must "
                          "follow the section");
    }
    if (rest == NULL && section == STATE_LIMITS) {
        path->field = &limit_field;
        return true;
    }
    if (rest == NULL) {
        return is_delete ? true : set_reason(reason, "a field must follow");
    }
    if (!read_part(&rest, part, sizeof(part))) {
        return set_reason(reason, "unknown field");
    }
    if (section == STATE_POOLS && strcmp(part, "vms") == 0) {
        return parse_vm_part(rest, is_delete, path, reason);
    }
    path->field = find_field(path->section, part);
    if (path->field == NULL || rest != NULL) {
        return set_reason(reason, "unknown field");
    }
    return true;
}

static bool
parse_integer(const StateField *field, const char *text, StateValue *value,
              char *reason)
{
    const char *digit = text[0] == '-' ? text + 1 : text;
    char *end;

    /* Numbers of up to 18 digits fit in 64 bits. */
    if (digit[0] < '0' || digit[0] > '9' || strlen(digit) > 18) {
        return set_reason(reason, "must be a whole number");
    }
    value->number = strtoll(text, &end, 10);
    if (*end != '\0') {
        return set_reason(reason, "must be a whole number");
    }
    if (value->number < field->min || value->number > field->max) {
        return set_reason(reason, "%lld is outside %lld to %lld",
                          (long long)value->number, (long long)field->min,
                          (long long)field->max);
    }
    return true;
}

/* Parses a percentage with at most three decimals, without rounding. */
static bool
parse_percent(const char *text, StateValue *value, char *reason)
{
    int64_t number = 0;
    int decimals = -1;
    const char *c;

    for (c = text; *c != '\0' && number <= 100000; c++) {
        if (*c == '.' && decimals < 0 && c != text) {
            decimals = 0;
        }
        else if (*c >= '0' && *c <= '9' && decimals < 3) {
            number = number * 10 + (*c - '0');
            decimals += decimals >= 0;
        }
        else {
            break;
        }
    }
    for (decimals = decimals < 0 ? 0 : decimals; decimals < 3; decimals++) {
        number *= 10;
    }
    if (*c != '\0' || c == text || c[-1] == '.' || number > 100000) {
        return set_reason(reason, "must be a percentage from 0 to 100 with at "
                                  "most three decimals");
    }
    value->number = number;
    return true;
}

bool
StatePath_ParseValue(const StatePath *path, const char *text,
                     StateValue *value, char *reason)
{
    memset(value, 0, sizeof(*value));
    switch (path->field->kind) {
    case STATE_VALUE_INTEGER:
        return parse_integer(path->field, text, value, reason);
    case STATE_VALUE_PERCENT:
        return parse_percent(text, value, reason);
    case STATE_VALUE_BOOL:
        value->number = strcmp(text, "true") == 0;
        if (value->number == 0 && strcmp(text, "false") != 0) {
            return set_reason(reason, "must be true or false");
        }
        return true;
    case STATE_VALUE_NAME:
        if (text[0] != '\0' && !StatePath_IsName(text, strlen(text))) {
            return set_reason(reason, "must be a name or empty");
        }
        snprintf(value->name, sizeof(value->name), "%s", text);
        return true;
    default:
        if (strcmp(text, "move") != 0) {
            return set_reason(reason, "must be \"move\"");
        }
        return true;
    }
}
