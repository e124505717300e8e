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
    const char *path; /* with query */
    const char *type; /* content type of the body */
    const char *body; /* NULL: none */
    const SettingsAddress *to;
    int to_count;
    int64_t timeout_ms; /* for all attempts together */
    /* Resent until it has a definite answer; needs a request id in the body,
     * so that a repeated request takes effect once. */
    bool resend;
} CliRequest;

typedef struct CliAnswer {
    long status; /* 0: no answer */
    Buf body;
    int attempts;
    bool sent;        /* some attempt may have reached a process */
    char reason[256]; /* of the last attempt without an answer */
} CliAnswer;

/* Sends a request to the addresses in turn. An address that cannot be reached
 * is skipped. Free answer->body afterwards. */
void Cli_Send(const CliRequest *request, CliAnswer *answer);

/* Returns the exit status for an HTTP status; 0 is no answer. */
CliExit Cli_ExitOf(long status);

/* Appends text with the escapes of a URL component. */
void Cli_EscapeUrl(Buf *out, const char *text);

#endif
