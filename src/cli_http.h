/*
 * NAME
 *     cli_http - HTTP exchanges of the operators' command line
 */
#ifndef COLTSFOOT_CLI_HTTP_H
#define COLTSFOOT_CLI_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "cli.h"
#include "settings.h"

typedef struct CliRequest {
    const char *method;
    const char *path; /* includes the query */
    const char *content_type;
    const char *body; /* NULL if the request has no body */
    const SettingsAddress *addresses;
    int address_count;
    int64_t timeout_ms; /* limit for all attempts together */
    /* True for a change. The body must carry a request id, so that a resent
     * change takes effect once. */
    bool resend;
} CliRequest;

typedef struct CliAnswer {
    long status; /* HTTP status, or 0 without an answer */
    Buf body;
    int attempts;
    bool sent;        /* true if an attempt may have reached a server */
    char reason[256]; /* error of the last attempt without an answer */
} CliAnswer;

/* Sends a request to the addresses in turn until one of them answers. If
 * resend is set, starts over until an answer tells the result or timeout_ms
 * has passed. The caller frees answer->body. */
void Cli_SendRequest(const CliRequest *request, CliAnswer *answer);

/* Returns the exit status for an HTTP status, or for 0 without an answer. */
CliExitStatus Cli_GetExitStatus(long status);

#endif
