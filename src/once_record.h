/*
 * NAME
 *     once_record - tokens and durable records of the at-most-once core
 *
 * DESCRIPTION
 *     Used by once.c. A token is "home~incarnation~number~issued~checksum"
 *     with lower-case hexadecimal numbers. A record is a 4-byte big-endian
 *     body length, the XXH64 of the body in 8 bytes, and a flat msgpack array
 *     [kind, token, caller hash, request hash, outcome, status, dropped,
 *     answer or nil].
 */
#ifndef COLTSFOOT_ONCE_RECORD_H
#define COLTSFOOT_ONCE_RECORD_H

#include "once.h"

#define ONCE_RECORD_HEADER_BYTES 12
#define ONCE_RECORD_MAX_BYTES 4194304 /* that of a frame */

typedef struct OnceToken {
    char home[ONCE_HOME_BYTES];
    uint64_t incarnation;
    uint64_t number;
    int64_t issued;
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
    char text[ONCE_TOKEN_BYTES];
    OnceToken token;
    OnceBinding binding;
    OnceOutcome outcome;
    int status;
    bool answer_dropped;
    const char *answer; /* points into the decoded bytes; NULL for none */
    size_t len;
} OnceRecord;

/* Returns whether a name can be the home's part of a token. */
bool OnceToken_ValidHome(const char *home);

void OnceToken_Format(const OnceToken *token, char out[ONCE_TOKEN_BYTES]);

/* Returns false unless text is what OnceToken_Format gives for its fields. */
bool OnceToken_Parse(const char *text, OnceToken *token);

OnceBinding OnceBinding_Of(const char *caller, const char *request_id);

void OnceRecord_Encode(const OnceRecord *record, Buf *out);

/* Decodes the record at the front of bytes and stores its size in *used.
 * Returns ST_AGAIN when bytes end within the record; ST_CORRUPT for a failed
 * check, with the size in *used if the length is within bounds, else 0. */
Status OnceRecord_Decode(const char *bytes, size_t len, OnceRecord *record,
                         size_t *used);

#endif
