/*
 * NAME
 *     cli - the operators' command line
 *
 * DESCRIPTION
 *     Parses the arguments of coltsfoot(1), sends one request to a control
 *     port and prints the answer. A request that changes something carries a
 *     request id and is resent with the same id when its answer is lost.
 */
#ifndef COLTSFOOT_CLI_H
#define COLTSFOOT_CLI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "findings.h"
#include "settings.h"
#include "status.h"

typedef enum CliExit {
    CLI_OK = 0,
    CLI_REFUSED = 1, /* a conflict, an unknown name, a rule of the cluster */
    CLI_BAD_INPUT = 2,
    CLI_UNKNOWN = 3 /* unreachable, or the result is not known */
} CliExit;

#define CLI_MAX_ADDRESSES 32
#define CLI_MAX_ITEMS 1024
#define CLI_ID_BYTES 64

/* Options and positional arguments; strings belong to the caller. */
typedef struct CliOptions {
    const char *words[CLI_MAX_ITEMS]; /* command first */
    int word_count;
    SettingsAddress to[CLI_MAX_ADDRESSES];
    int to_count;
    bool json;
    int64_t timeout_ms;
    const char *base;          /* NULL: not given */
    const char *operator_name; /* NULL: not given */
    const char *request_id;    /* NULL: not given */
    const char *reason;
    const char *format;
    int64_t deadline_s; /* 0: none */
    const char *sets[CLI_MAX_ITEMS];
    int set_count;
    const char *deletes[CLI_MAX_ITEMS];
    int delete_count;
    const char *vms[CLI_MAX_ITEMS];
    int vm_count;
} CliOptions;

/* Runs the program. Returns a CliExit. */
int Cli_Main(int argc, char **argv);

/* Runs the command of parsed options. */
CliExit Cli_Run(const CliOptions *options);

/* Writes a new random request id of CLI_ID_BYTES or less. */
void Cli_NewRequestId(char *id);

/* Builds the text of a patch from a file's text (may be empty) and options:
 * base, operator and request_id of the options are added where the text has
 * none, and edits of the options where the text has no edits of that kind.
 * Lines of the text keep their numbers. Returns ST_INVALID with findings when
 * base, operator or edits are missing, or when an option contradicts the text;
 * a missing request id gets a new one. */
Status Cli_PatchText(const CliOptions *options, const char *text, size_t len,
                     Buf *out, Findings *findings);

#endif
