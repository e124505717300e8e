#include "jsonload.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Returns the number of values of a well-formed text, or a number above limit
 * if there are more. Of a malformed text, it is at least the number of values
 * up to the first error. */
static size_t
count_values(const char *text, size_t len, size_t limit)
{
    size_t count = 1;
    bool in_string = false;
    size_t i;

    for (i = 0; i < len && count <= limit; i++) {
        if (in_string && text[i] == '\\') {
            i++;
        }
        else if (text[i] == '"') {
            in_string = !in_string;
        }
        else if (!in_string &&
                 (text[i] == ',' || text[i] == '{' || text[i] == '[')) {
            count++;
        }
    }
    return count;
}

json_t *
JsonLoad_Parse(const char *text, size_t len, size_t flags, size_t max_values,
               json_error_t *error)
{
    if (count_values(text, len, max_values) <= max_values) {
        return json_loadb(text, len, flags, error);
    }
    if (error != NULL) {
        memset(error, 0, sizeof(*error));
        snprintf(error->text, sizeof(error->text), "more than %zu values",
                 max_values);
        /* Where json_error_code() finds it. */
        error->text[JSON_ERROR_TEXT_LENGTH - 1] = json_error_out_of_memory;
    }
    return NULL;
}
