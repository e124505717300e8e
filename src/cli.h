/*
 * NAME
 *     cli - the operators' command line
 *
 * DESCRIPTION
 *     Parses the arguments of coltsfoot(1), sends one request to a control
 *     port and prints the answer. A change carries a request id, and is resent
 *     with the same id if its answer is lost, so that it takes effect once.
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

typedef enum CliExitStatus {
    CLI_OK = 0,
    CLI_REFUSED = 1, /* conflict, unknown name or violated cluster rule */
    CLI_BAD_INPUT = 2,
    CLI_UNKNOWN = 3 /* cluster unreachable, or result unknown */
} CliExitStatus;

#define CLI_MAX_ADDRESSES 32
#define CLI_MAX_ITEMS 1024
#define CLI_REQUEST_ID_BYTES 64

/* Parsed options and positional arguments. The strings are borrowed. */
typedef struct CliOptions {
    const char *arguments[CLI_MAX_ITEMS]; /* command and its operands */
    int argument_count;
    SettingsAddress addresses[CLI_MAX_ADDRESSES];
    int address_count;
    bool json;
    int64_t timeout_ms;
    const char *base;          /* NULL if not given */
    const char *operator_name; /* NULL if not given */
    const char *request_id;    /* NULL if not given */
    const char *reason;
    const char *format;
    int64_t deadline_s; /* 0 if not given */
    const char *sets[CLI_MAX_ITEMS];
    int set_count;
    const char *deletes[CLI_MAX_ITEMS];
    int delete_count;
    const char *vms[CLI_MAX_ITEMS];
    int vm_count;
} CliOptions;

/* Runs the program. Returns a CliExitStatus as the exit status. */
int Cli_Main(int argc, char **argv);

/* Runs the command that the positional arguments name. */
CliExitStatus Cli_RunCommand(const CliOptions *options);

/* Writes a random request id to id, a buffer of CLI_REQUEST_ID_BYTES. */
void Cli_GenerateRequestId(char *id);

/* Builds the text of a patch from a file's text, which may be empty, and the
 * options. Keys that the text lacks (base, operator, request_id, set, delete)
 * are appended from the options, which keeps the line numbers of the text
 * valid. Generates a missing request id. Returns ST_INVALID with findings if
 * base, operator or edits are missing, or if an option contradicts the text.
 */
Status Cli_BuildPatch(const CliOptions *options, const char *text, size_t len,
                      Buf *out, Findings *findings);

#endif
