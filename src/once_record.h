/*
 * NAME
 *     once_record - encoding of tokens and records of the once module
 *
 * DESCRIPTION
 *     This module is private to once.c.
 *
 *     A token is the text "home~incarnation~number~issued~checksum" with
 *     lower-case hexadecimal numbers.
 *
 *     A record is a 4-byte big-endian body length, the XXH64 of the body in 8
 *     bytes, and the body: a flat msgpack array [kind, token, caller hash,
 *     request hash, outcome, status, dropped, answer or nil].
 */
#ifndef COLTSFOOT_ONCE_RECORD_H
#define COLTSFOOT_ONCE_RECORD_H

#include "once.h"

#define ONCE_RECORD_HEADER_BYTES 12
#define ONCE_RECORD_MAX_BYTES 4194304 /* maximum of a peer frame */

typedef struct OnceToken {
    char home[ONCE_HOME_BYTES];
    uint64_t incarnation;
    uint64_t number;
    int64_t issued_ms;
} OnceToken;

typedef struct OnceBinding {
    uint64_t caller;  /* XXH64 of the caller id */
    uint64_t request; /* XXH64 of the request id */
} OnceBinding;

typedef enum OnceRecordKind {
    ONCE_RECORD_INTENT = 1,
    ONCE_RECORD_OUTCOME = 2
} OnceRecordKind;

typedef struct OnceRecord {
    OnceRecordKind kind;
    char token_text[ONCE_TOKEN_BYTES];
    OnceToken token;
    OnceBinding binding;
    OnceOutcome outcome;
    int status;
    bool answer_dropped;
    const char *answer; /* in the decoded bytes; NULL if there is none */
    size_t answer_len;
} OnceRecord;

/* Returns whether a token can contain this home name. */
bool OnceToken_IsValidHome(const char *home);

void OnceToken_Format(const OnceToken *token, char out[ONCE_TOKEN_BYTES]);

/* Returns false unless text is exactly what OnceToken_Format would write. */
bool OnceToken_Parse(const char *text, OnceToken *token);

OnceBinding OnceBinding_Compute(const char *caller, const char *request_id);

void OnceRecord_Encode(const OnceRecord *record, Buf *out);

/* Decodes the record at the start of bytes and stores its size in *used.
 * Returns ST_AGAIN if the record is incomplete and ST_CORRUPT if it is
 * invalid, with the size in *used if the length is within bounds, else 0. */
Status OnceRecord_Decode(const char *bytes, size_t len, OnceRecord *record,
                         size_t *used);

#endif
